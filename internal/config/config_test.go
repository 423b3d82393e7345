package config

import (
	"os"
	"strings"
	"testing"
)

func TestQuickstartIsValid(t *testing.T) {
	c, err := Load("../../examples/quickstart.ini")
	if err != nil {
		t.Fatal(err)
	}
	if len(c.Partners) != 3 || len(c.Endpoints) != 3 || len(c.Intake.Resources) != 7 || c.Control.Slots != 96 {
		t.Errorf("quickstart: %s", c.Describe())
	}
}

// Everything that is wrong is told in one go, with file, line and key; nothing of it panics or is passed over.
func TestProblemsNameFileLineAndKey(t *testing.T) {
	good, err := os.ReadFile("../../examples/quickstart.ini")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ name, old, new, want string }{
		{"unknown key", "log = info", "lgo = info", "f.ini:8: lgo: no such key"},
		{"unknown section", "[kind gateway]", "[kinds gateway]", "f.ini:41: [kinds gateway]: no such section"},
		{"duplicate key", "log = info", "log = info\nlog = warn", "f.ini:9: log: stands already in line 8"},
		{"duplicate section", "[kind gateway]", "[tenant farm]", "f.ini:41: [tenant farm]: stands already in line 36"},
		{"no unit", "aim = 1500ms", "aim = 1500", "f.ini:14: aim: \"1500\" is no duration"},
		{"range", "late-worth = 0.4", "late-worth = 4", "late-worth: \"4\" is out of range: 0 to 1"},
		{"choice", "effect = safe", "effect = sure", "f.ini:13: effect: \"sure\" is none of: safe, keyed, unsafe"},
		{"reference", "kind = gateway\nendpoints = 127.0.0.1:8431", "kind = gate\nendpoints = 127.0.0.1:8431", "kind: there is no [kind gate]"},
		{"address", "endpoints = 127.0.0.1:8431", "endpoints = archive.example:8431", "is no address with its port"},
		{"twice", "endpoints = 127.0.0.1:8431", "endpoints = 127.0.0.1:8431, 127.0.0.1:8431", "127.0.0.1:8431 stands twice"},
		{"missing", "aim = 1500ms\n", "", "aim: is required in [class status]"},
		{"window", "window = 10s\n", "", "window: is needed for keyed classes"},
		{"no line form", "log = info", "log info", "f.ini:8: neither a section, nor key = value"},
		{"bracket", "[kind gateway]", "[kind gateway", "f.ini:41: section without its closing bracket"},
		{"push path", "[push /archive/status]", "[push archive/status]", "is no name for it"},
		{"deadline", "deadline = 5s", "deadline = 1s", "deadline: is shorter than the aim"},
		{"empty token", "token = quickstart", "token =", "token: is empty"},
		{"list file", "log = info", "log = info\n[list]\nfile = none.here", "f.ini:10: file:"},
	} {
		text := strings.Replace(string(good), c.old, c.new, 1)
		_, err := Parse("f.ini", []byte(text))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got %v, want %q", c.name, err, c.want)
		}
	}
}

// The reference page is the program's own.
func TestReferencePage(t *testing.T) {
	page, err := os.ReadFile("../../docs/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	if string(page) != Reference() {
		t.Error("docs/settings.md differs from what the program checks: go run ./cmd/whinrun reference > docs/settings.md")
	}
}

func FuzzParse(f *testing.F) {
	good, err := os.ReadFile("../../examples/quickstart.ini")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add([]byte("[dispatcher]\nlisten = 1\n\\\n\x00=\"\"\"\n"))
	f.Add([]byte("[class a]\n= `x\n[push /*]\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := Parse("f.ini", text)
		if (c == nil) == (err == nil) {
			t.Errorf("config %v with error %v", c, err)
		}
	})
}
