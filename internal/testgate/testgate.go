// Package testgate decides whether a test run passes. Every failing test fails the run, except the tests recorded as
// known failures. Each run reports the results of the known failures. The record is a file of at most three entries,
// each with a test, a cause and an issue.
package testgate

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
)

// MaxKnownFailures is the largest number of recorded tests.
const MaxKnownFailures = 3

// KnownFailure is a test recorded as failing because of a fault that is not fixed yet.
type KnownFailure struct {
	Package string // import path, as go test prints it
	Test    string
	Cause   string
	Issue   string
}

// ParseKnownFailures reads a record. Each line has the form "PACKAGE.TEST | cause | issue". Empty lines and lines that
// begin with # are skipped. Errors name the line.
func ParseKnownFailures(r io.Reader) ([]KnownFailure, error) {
	var known []KnownFailure
	in := bufio.NewScanner(r)
	for n := 1; in.Scan(); n++ {
		text := strings.TrimSpace(in.Text())
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		parts := strings.Split(text, "|")
		for i := range parts {
			parts[i] = strings.TrimSpace(parts[i])
		}
		if len(parts) != 3 || slices.Contains(parts, "") {
			return nil, fmt.Errorf("line %d: expected PACKAGE.TEST | cause | issue", n)
		}
		dot := strings.LastIndex(parts[0], ".Test")
		if dot < 0 {
			return nil, fmt.Errorf("line %d: %q names no test", n, parts[0])
		}
		k := KnownFailure{parts[0][:dot], parts[0][dot+1:], parts[1], parts[2]}
		if slices.ContainsFunc(known, func(o KnownFailure) bool { return o.Package == k.Package && o.Test == k.Test }) {
			return nil, fmt.Errorf("line %d: %s is recorded twice", n, parts[0])
		}
		if known = append(known, k); len(known) > MaxKnownFailures {
			return nil, fmt.Errorf("line %d: more than %d tests are recorded", n, MaxKnownFailures)
		}
	}
	return known, in.Err()
}

// testEvent is one line of the output of go test -json.
type testEvent struct {
	Action, Package, Test, Output string
}

// testID identifies a test; the name is empty for the package itself.
type testID struct{ pkg, name string }

// Evaluate reads the output of go test -json. It prints the failures and the results of the known failures, and returns
// an error if the run does not pass.
func Evaluate(in io.Reader, known []KnownFailure, out io.Writer) error {
	r := testRun{outcomes: map[testID]string{}, output: map[testID][]string{}, packages: map[string]string{}}
	dec := json.NewDecoder(in)
	for {
		var e testEvent
		if err := dec.Decode(&e); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			return fmt.Errorf("output of go test -json: %w", err)
		}
		r.handle(e, out)
	}
	return r.evaluate(known, out)
}

// testRun collects the results of a run.
type testRun struct {
	outcomes map[testID]string // pass, fail or skip
	output   map[testID][]string
	packages map[string]string
}

// handle records an event. The result of a package is printed at once.
func (r *testRun) handle(e testEvent, out io.Writer) {
	t := testID{e.Package, e.Test}
	switch e.Action {
	case "output", "build-output":
		r.output[t] = append(r.output[t], e.Output)
	case "pass", "fail", "skip":
		if e.Test == "" {
			r.packages[e.Package] = e.Action
			_, _ = fmt.Fprintf(out, "%s\t%s\n", e.Action, e.Package)
		} else {
			r.outcomes[t] = e.Action
		}
		if e.Action != "fail" {
			delete(r.output, t)
		}
	case "build-fail":
		r.packages[e.Package] = "fail"
	}
}

// evaluate prints the results and returns an error for each reason why the run does not pass.
func (r *testRun) evaluate(known []KnownFailure, out io.Writer) error {
	var errs []error
	counts := map[string]int{}
	withKnownFailure := map[string]bool{} // packages in which a known failure failed
	unexpected := map[string]bool{}       // packages in which another test failed
	for _, t := range r.failed() {
		if isKnown(known, t) {
			withKnownFailure[t.pkg] = true
			continue
		}
		unexpected[t.pkg] = true
		errs = append(errs, fmt.Errorf("%s.%s failed", t.pkg, t.name))
		_, _ = fmt.Fprint(out, strings.Join(r.output[t], ""))
	}
	for t, end := range r.outcomes {
		if end != "fail" || !isKnown(known, t) {
			counts[end]++
		}
	}
	for pkg, end := range r.packages {
		// A package that fails without a failing test did not build or ended before its tests did.
		if end == "fail" && !withKnownFailure[pkg] && !unexpected[pkg] {
			errs = append(errs, fmt.Errorf("%s failed", pkg))
			_, _ = fmt.Fprint(out, strings.Join(r.output[testID{pkg: pkg}], ""))
		}
	}
	for _, k := range known {
		end, ran := r.outcomes[testID{k.Package, k.Test}]
		if !ran || end == "skip" {
			errs = append(errs, fmt.Errorf("known failure did not run: %s.%s", k.Package, k.Test))
			end = "did not run"
		}
		_, _ = fmt.Fprintf(out, "known red: %s.%s: %s this time (%s; issue %s)\n", k.Package, k.Test, end, k.Cause, k.Issue)
	}
	if len(r.outcomes) == 0 {
		errs = append(errs, errors.New("no test ran"))
	}
	_, _ = fmt.Fprintf(out, "%d passed, %d failed, %d skipped\n", counts["pass"], counts["fail"], counts["skip"])
	return errors.Join(errs...)
}

// failed returns the failed tests, sorted by package and name.
func (r *testRun) failed() (all []testID) {
	for t, end := range r.outcomes {
		if end == "fail" {
			all = append(all, t)
		}
	}
	slices.SortFunc(all, func(a, b testID) int { return strings.Compare(a.pkg+"."+a.name, b.pkg+"."+b.name) })
	return all
}

// isKnown reports whether a test or the top-level test that it belongs to is a known failure.
func isKnown(known []KnownFailure, t testID) bool {
	topLevel, _, _ := strings.Cut(t.name, "/")
	return slices.ContainsFunc(known, func(k KnownFailure) bool { return k.Package == t.pkg && k.Test == topLevel })
}
