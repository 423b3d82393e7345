package demo

import (
	"context"
	"strings"
	"testing"
)

// The demonstration answers every message and applies no upload twice, although one partner falls silent and another loses
// answers.
func TestDemo(t *testing.T) {
	var b strings.Builder
	if err := Run(context.Background(), &b); err != nil {
		t.Fatal(err)
	}
	if out := b.String(); !strings.Contains(out, "600 taken, 600 final answers") || !strings.Contains(out, "twice: 0.") {
		t.Errorf("demonstration:\n%s", out)
	}
}
