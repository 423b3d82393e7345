// Package testgate judges a run of the tests: it fails for any failing test but those on record as known to fail, which it
// names in each run with what they did. The record is a file of three lines at most: test, cause, issue.
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

// MaxKnownFailures is how many tests may be on record.
const MaxKnownFailures = 3

// KnownFailure is a test on record as failing for a fault that is not mended yet.
type KnownFailure struct {
	Package string // import path as go test prints it
	Test    string
	Cause   string
	Issue   string
}

// ParseKnownFailures reads the record: one line each, "PACKAGE.TEST | cause | issue". Empty lines and those that begin with # are
// passed over.
func ParseKnownFailures(r io.Reader) ([]KnownFailure, error) {
	var all []KnownFailure
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
			return nil, fmt.Errorf("line %d: want PACKAGE.TEST | cause | issue", n)
		}
		at := strings.LastIndex(parts[0], ".Test")
		if at < 0 {
			return nil, fmt.Errorf("line %d: %q names no test", n, parts[0])
		}
		k := KnownFailure{parts[0][:at], parts[0][at+1:], parts[1], parts[2]}
		if slices.ContainsFunc(all, func(o KnownFailure) bool { return o.Package == k.Package && o.Test == k.Test }) {
			return nil, fmt.Errorf("line %d: %s is there twice", n, parts[0])
		}
		if all = append(all, k); len(all) > MaxKnownFailures {
			return nil, fmt.Errorf("line %d: %d tests at most may be on record", n, MaxKnownFailures)
		}
	}
	return all, in.Err()
}

// event is one line of go test -json.
type event struct {
	Action, Package, Test, Output string
}

type test struct{ pkg, name string }

// Evaluate reads the output of go test -json, prints what failed and what became of the tests on record, and returns an
// error where the run does not pass.
func Evaluate(in io.Reader, known []KnownFailure, out io.Writer) error {
	r := run{ends: map[test]string{}, text: map[test][]string{}, pkgs: map[string]string{}}
	dec := json.NewDecoder(in)
	for {
		var e event
		if err := dec.Decode(&e); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			return fmt.Errorf("output of go test -json: %w", err)
		}
		r.take(e, out)
	}
	return r.verdict(known, out)
}

// run is what the tests of a run did.
type run struct {
	ends map[test]string // pass, fail or skip
	text map[test][]string
	pkgs map[string]string
}

func (r *run) take(e event, out io.Writer) {
	t := test{e.Package, e.Test}
	switch e.Action {
	case "output", "build-output":
		r.text[t] = append(r.text[t], e.Output)
	case "pass", "fail", "skip":
		if e.Test == "" {
			r.pkgs[e.Package] = e.Action
			_, _ = fmt.Fprintf(out, "%s\t%s\n", e.Action, e.Package)
		} else {
			r.ends[t] = e.Action
		}
		if e.Action != "fail" {
			delete(r.text, t)
		}
	case "build-fail":
		r.pkgs[e.Package] = "fail"
	}
}

// verdict tells whether all that failed is on record.
func (r *run) verdict(known []KnownFailure, out io.Writer) error {
	var faults []error
	counts := map[string]int{}
	excused := map[string]bool{} // packages in which a test on record failed
	other := map[string]bool{}   // packages in which another one did
	for _, t := range r.failed() {
		if recorded(known, t) {
			excused[t.pkg] = true
			continue
		}
		other[t.pkg] = true
		faults = append(faults, fmt.Errorf("%s.%s failed", t.pkg, t.name))
		_, _ = fmt.Fprint(out, strings.Join(r.text[t], ""))
	}
	for t, end := range r.ends {
		if end != "fail" || !recorded(known, t) {
			counts[end]++
		}
	}
	for pkg, end := range r.pkgs {
		if end == "fail" && !excused[pkg] && !other[pkg] { // it did not build, or ended before its tests did
			faults = append(faults, fmt.Errorf("%s failed", pkg))
			_, _ = fmt.Fprint(out, strings.Join(r.text[test{pkg: pkg}], ""))
		}
	}
	for _, k := range known {
		end, ran := r.ends[test{k.Package, k.Test}]
		if !ran || end == "skip" {
			faults = append(faults, fmt.Errorf("on record, but it did not run: %s.%s", k.Package, k.Test))
			end = "did not run"
		}
		_, _ = fmt.Fprintf(out, "known red: %s.%s: %s this time (%s; issue %s)\n", k.Package, k.Test, end, k.Cause, k.Issue)
	}
	if len(r.ends) == 0 {
		faults = append(faults, errors.New("no test ran"))
	}
	_, _ = fmt.Fprintf(out, "%d passed, %d failed, %d skipped\n", counts["pass"], counts["fail"], counts["skip"])
	return errors.Join(faults...)
}

// failed are the tests that failed, in order.
func (r *run) failed() (all []test) {
	for t, end := range r.ends {
		if end == "fail" {
			all = append(all, t)
		}
	}
	slices.SortFunc(all, func(a, b test) int { return strings.Compare(a.pkg+"."+a.name, b.pkg+"."+b.name) })
	return all
}

// recorded tells whether a test, or the one that it is a part of, is on record.
func recorded(known []KnownFailure, t test) bool {
	whole, _, _ := strings.Cut(t.name, "/")
	return slices.ContainsFunc(known, func(k KnownFailure) bool { return k.Package == t.pkg && k.Test == whole })
}
