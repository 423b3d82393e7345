package clock

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"whinrun/control"
)

// Two processes of one boot agree on an instant, whatever their own clocks say.
func TestInstantsAreSharedByProcesses(t *testing.T) {
	first := New()
	at := first.Now()
	for second := New(); ; second = New() {
		if first.BootID() != second.BootID() || first.BootID() == "" {
			t.Skip("the boot can't be told apart here")
		}
		ago := second.Now() - second.FromInstant(first.ToInstant(at))
		passed := first.Now() - at
		if gap := passed - ago; gap < -50*control.Millisecond || gap > 50*control.Millisecond {
			t.Fatalf("the second process takes the moment for %d us ago, %d us have passed", ago, passed)
		}
		if passed > 20*control.Millisecond {
			return
		}
	}
}

func TestClockBeginsAboveZero(t *testing.T) {
	c := New()
	if now := c.Now(); now < firstNow || now > firstNow+10*control.Second || Elapsed(c) < time.Second {
		t.Errorf("it begins at %d us", now)
	}
	if c.ToInstant(0) <= 0 {
		t.Errorf("instants begin at %d", c.ToInstant(0))
	}
}

// readsOfClock are functions of package time that read a clock. Timers and tickers are spans on the monotonic clock.
var readsOfClock = []string{"Now", "Since", "Until"}

// No other package reads a clock; tests may.
func TestNoOtherPackageReadsAClock(t *testing.T) {
	root := filepath.Join("..", "..")
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case d.IsDir() && (d.Name() == "journal" || d.Name() == ".git"):
			return fs.SkipDir
		case d.IsDir() && filepath.Base(path) == "clock":
			return fs.SkipDir
		case d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go"):
			return nil
		}
		files := token.NewFileSet()
		f, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(f, func(n ast.Node) bool {
			s, ok := n.(*ast.SelectorExpr)
			if !ok {
				return true
			}
			if x, ok := s.X.(*ast.Ident); ok && x.Name == "time" && slices.Contains(readsOfClock, s.Sel.Name) {
				t.Errorf("%v reads a clock by time.%s", files.Position(n.Pos()), s.Sel.Name)
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
