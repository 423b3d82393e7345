package testgate

import (
	"strings"
	"testing"
)

// lines makes the output of go test -json of "action package [test]".
func lines(all ...string) string {
	var b strings.Builder
	for _, l := range all {
		f := strings.Fields(l + " -")
		name := f[2]
		if name == "-" {
			name = ""
		}
		b.WriteString(`{"Action":"` + f[0] + `","Package":"` + f[1] + `","Test":"` + name + `"}` + "\n")
	}
	return b.String()
}

func TestEvaluate(t *testing.T) {
	const rec = "m/a.TestRed | a cause | 33\n"
	for name, c := range map[string]struct {
		record, in, says string
		passes           bool
	}{
		"all pass":                     {"", lines("pass m/a TestOne", "pass m/a"), "1 passed, 0 failed, 0 skipped", true},
		"one fails":                    {"", lines("fail m/a TestOne", "fail m/a"), "0 passed, 1 failed", false},
		"the known one fails":          {rec, lines("fail m/a TestRed", "pass m/a TestOne", "fail m/a"), "m/a.TestRed: fail this time (a cause; issue 33)", true},
		"a part of the known one":      {rec, lines("fail m/a TestRed/x", "fail m/a TestRed", "fail m/a"), "TestRed: fail", true},
		"the known one passes":         {rec, lines("pass m/a TestRed", "pass m/a"), "m/a.TestRed: pass this time", true},
		"another fails beside it":      {rec, lines("fail m/a TestRed", "fail m/a TestOne", "fail m/a"), "0 passed, 1 failed", false},
		"its name in another package":  {rec, lines("pass m/a TestRed", "pass m/a", "fail m/b TestRed", "fail m/b"), "1 failed", false},
		"a test whose name is longer":  {rec, lines("pass m/a TestRed", "fail m/a TestRedder", "fail m/a"), "1 failed", false},
		"the known one does not exist": {rec, lines("pass m/a TestOne", "pass m/a"), "did not run this time", false},
		"the known one is skipped":     {rec, lines("skip m/a TestRed", "pass m/a"), "did not run this time", false},
		"a package does not build":     {"", lines("pass m/a TestOne", "pass m/a", "fail m/b"), "1 passed", false},
		"a package ends early":         {"", lines("pass m/a TestOne", "fail m/a"), "1 passed", false},
		"nothing ran":                  {"", "", "0 passed", false},
	} {
		known, err := ParseKnownFailures(strings.NewReader(c.record))
		if err != nil {
			t.Fatal(err)
		}
		var out strings.Builder
		if err = Evaluate(strings.NewReader(c.in), known, &out); (err == nil) != c.passes {
			t.Errorf("%s: %v", name, err)
		}
		if !strings.Contains(out.String(), c.says) {
			t.Errorf("%s: prints %q, want %q", name, out.String(), c.says)
		}
	}
}

func TestParseKnownFailures(t *testing.T) {
	three := "a.TestA | x | 1\na.TestB | x | 1\n# a note\n\na.TestC | x | 1\n"
	for text, want := range map[string]int{"": 0, three: 3} {
		if all, err := ParseKnownFailures(strings.NewReader(text)); err != nil || len(all) != want {
			t.Errorf("%q: %d, %v", text, len(all), err)
		}
	}
	for _, text := range []string{three + "a.TestD | x | 1\n", "a.TestA | x\n", "a.TestA | | 1\n", "a.Bench | x | 1\n", "a.TestA|x|1\na.TestA|y|2\n"} {
		if all, err := ParseKnownFailures(strings.NewReader(text)); err == nil {
			t.Errorf("%q: taken as %v", text, all)
		}
	}
}
