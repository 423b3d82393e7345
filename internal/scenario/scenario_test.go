package scenario

import (
	"context"
	"flag"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Days mostly wait: four at a time also where there are two cores.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("test.parallel", "4")
	os.Exit(m.Run())
}

// Every day of days/, scaled down, through the real dispatcher on loopback: all six rules, from the sockets.
func TestDays(t *testing.T) {
	files, err := filepath.Glob("../../days/*.day")
	if err != nil || len(files) < 15 {
		t.Fatal(len(files), err)
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".day")
		t.Run(name, func(t *testing.T) {
			if name == "all-at-once" && testing.Short() {
				t.Skip("long")
			}
			t.Parallel()
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			s, err := Parse(file, string(text))
			if err != nil {
				t.Fatal(err)
			}
			s.RateScale, s.AMQPShare = 0.3, 0.5 // half of the load on each front
			r, err := Run(context.Background(), s, io.Discard)
			if err != nil {
				t.Fatal(err)
			}
			sum := Summarize(r)
			for _, b := range sum.Violations {
				t.Error(b)
			}
			if sum.AppliedTwice > 0 || sum.Served == 0 {
				t.Errorf("%d unsafe messages applied twice, %d of %d served", sum.AppliedTwice, sum.Served, sum.Messages)
			}
		})
	}
}
