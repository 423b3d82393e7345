package soak

import (
	"context"
	"os/exec"
	"path/filepath"
	"reflect"
	"testing"
	"time"
)

// One seed gives one sequence of faults, and every kind comes up.
func TestPlan(t *testing.T) {
	cfg := Config{Seed: 5, Nodes: 24, Duration: time.Minute}
	plan := cfg.plan()
	if !reflect.DeepEqual(plan, cfg.plan()) {
		t.Error("the same seed gives another plan")
	}
	seen := map[string]bool{}
	last := time.Duration(0)
	for _, f := range plan {
		seen[f.Kind] = true
		if f.At < last || f.At > cfg.Duration || f.Duration <= 0 {
			t.Errorf("%+v", f)
		}
		last = f.At
	}
	if len(seen) != len(FaultKinds()) {
		t.Errorf("%d of %d kinds", len(seen), len(FaultKinds()))
	}
	cfg.FaultKinds = []string{"kill", "hang"}
	for _, f := range cfg.plan() {
		if f.Kind != "kill" && f.Kind != "hang" {
			t.Errorf("%+v", f)
		}
	}
}

// A short run with few processes: what it takes is judged, and the rules are kept.
func TestShortRun(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "whinrun")
	if out, err := exec.Command("go", "build", "-o", binary, "whinrun/cmd/whinrun").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	res, err := Run(context.Background(), Config{Binary: binary, Seed: 3, Nodes: 4, Duration: 4 * time.Second, Rate: 10})
	if err != nil {
		t.Fatal(err)
	}
	if len(res.Violations) > 0 {
		t.Errorf("%q, logs in %s", res.Violations, res.Folder)
	}
	if res.Accepted < 50 || res.Delivered < 40 || len(res.Faults) < 3 {
		t.Errorf("%+v", res)
	}
}
