package safety

import (
	"errors"
	"testing"

	"whinrun/control"
)

// s is one second, for short.
const s = control.Second

// Indexes of the classes of settings, one for each kind of rule.
const (
	classFree = iota
	classKeyed
	classSingleShot
	classZoned
	classOrdered
)

// settings returns settings with one class for each kind of rule.
func settings() control.Settings {
	return control.Settings{Tick: 5 * control.Millisecond, MaxAttempts: 3, SettleTime: s, Classes: []control.Class{
		classFree:       {Effect: control.Idempotent},
		classKeyed:      {Effect: control.Deduplicated, DedupWindow: 5 * s},
		classSingleShot: {Effect: control.AtMostOnce},
		classZoned:      {Effect: control.Deduplicated, DedupWindow: 5 * s, DedupPerZone: true},
		classOrdered:    {Effect: control.Idempotent, InOrder: true},
	}}
}

// TestCallAuthorization checks each reason to forbid a call, by what happened before it, at the decision and at the write.
func TestCallAuthorization(t *testing.T) {
	executed := AttemptResult{PossiblyExecuted: true}
	for _, c := range []struct {
		name   string
		class  int
		before func(g *Guard, first Call)
		at     control.Time
		change func(c *Call)
		want   error
	}{
		{"first", classSingleShot, nil, s, nil, nil},
		{"message ended", classFree, func(g *Guard, _ Call) { g.FinishMessage(1) }, s, nil, ErrUnknownMessage},
		{"time over", classFree, nil, 20 * s, nil, ErrDeadlineExceeded},
		{"endpoint drains", classFree, func(g *Guard, _ Call) { g.SetHealth(s, 7, control.Draining) }, s, nil, ErrEndpointWithdrawn},
		{"endpoint is back", classFree, func(g *Guard, _ Call) { g.SetHealth(s, 7, control.Gone); g.SetHealth(s, 7, control.Ready) }, s, nil, nil},
		{"destination waits", classFree, func(g *Guard, c Call) { g.SetRetryAfter(c, 4*s) }, 3 * s, nil, ErrRetryAfterPending},
		{"wait over", classFree, func(g *Guard, c Call) { g.SetRetryAfter(c, 4*s) }, 4 * s, nil, nil},
		{"shorter wait behind a longer one", classFree, func(g *Guard, c Call) { g.SetRetryAfter(c, 4*s); g.SetRetryAfter(c, 2*s) }, 3 * s, nil, ErrRetryAfterPending},
		{"another route waits", classFree, func(g *Guard, c Call) { c.PerEndpointLimits, c.Endpoint = true, 8; g.SetRetryAfter(c, 4*s) }, 3 * s, func(c *Call) { c.PerEndpointLimits = true }, nil},
		{"its route waits", classFree, func(g *Guard, c Call) { c.PerEndpointLimits = true; g.SetRetryAfter(c, 4*s) }, 3 * s, func(c *Call) { c.PerEndpointLimits = true }, ErrRetryAfterPending},
		{"possibly over", classFree, afterAttempt(AttemptResult{PossiblyExecuted: true, PossiblyOver: true}), 3 * s, nil, ErrPossiblyOver},
		{"possibly over, until its attempt's end said otherwise", classFree, func(g *Guard, c Call) {
			_ = g.AuthorizeCall(s, c)
			g.MarkPossiblyOver(c)
			_ = g.FinishAttempt(2*s, c, s, AttemptResult{})
		}, 3 * s, nil, nil},
		{"free, executed", classFree, afterAttempt(executed), 19 * s, nil, nil},
		{"once, never executed", classSingleShot, afterAttempt(AttemptResult{}), 3 * s, nil, nil},
		{"once, executed", classSingleShot, afterAttempt(executed), 3 * s, nil, ErrPossiblyExecuted},
		{"keyed, executed, in its window", classKeyed, afterAttempt(executed), 6*s - control.StallMargin, nil, nil},
		{"keyed, executed, a stall before its window's end", classKeyed, afterAttempt(executed), 6*s - control.StallMargin + 1, nil, ErrWindowExpired},
		{"keyed, never executed", classKeyed, afterAttempt(AttemptResult{}), 19 * s, nil, nil},
		{"zone, executed here", classZoned, afterAttempt(executed), 3 * s, nil, nil},
		{"zone, executed elsewhere", classZoned, afterAttempt(executed), 3 * s, func(c *Call) { c.Zone = 2 }, ErrOtherZone},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewGuard(settings())
			g.Accept(Message{ID: 1, Class: c.class, Deadline: 20 * s})
			call := Call{Message: 1, Endpoint: 7, Dest: 3, Zone: 1}
			if c.before != nil {
				c.before(g, call)
			}
			if g.messages[1] != nil {
				call.Attempt = g.messages[1].Attempts
			}
			if c.change != nil {
				c.change(&call)
			}
			before := g.Violations()
			err := g.AuthorizeCall(c.at, call)
			if !errors.Is(err, c.want) || err == nil != (g.Violations() == before) {
				t.Errorf("AuthorizeCall: %v, want %v; %d violations", err, c.want, g.Violations())
			}
			if err != nil {
				return
			}
			if err := g.Write(c.at, call); err != nil {
				t.Errorf("written: %v", err)
			}
			if err := g.AuthorizeCall(c.at, call); !errors.Is(err, ErrAttemptInFlight) {
				t.Errorf("a second call: %v", err)
			}
		})
	}
}

// afterAttempt returns a function that makes a first call at 1 s and finishes it with the given result.
func afterAttempt(e AttemptResult) func(*Guard, Call) {
	return func(g *Guard, c Call) {
		if g.AuthorizeCall(s, c) == nil && g.Write(s, c) == nil {
			_ = g.FinishAttempt(s, c, s, e)
		}
	}
}

// TestCrossings checks that an event between the decision and the write forbids the write, and does not count as a violation.
func TestCrossings(t *testing.T) {
	for name, c := range map[string]struct {
		between func(g *Guard, c Call)
		at      control.Time
		want    error
	}{
		"its final answer": {func(g *Guard, _ Call) { g.FinishMessage(1) }, s, ErrMessageFinished},
		"a drain":          {func(g *Guard, _ Call) { g.SetHealth(s, 7, control.Gone) }, s, ErrEndpointWithdrawn},
		"a wait":           {func(g *Guard, c Call) { g.SetRetryAfter(c, 9*s) }, s, ErrRetryAfterPending},
		"its time":         {func(*Guard, Call) {}, 20 * s, ErrDeadlineExceeded},
		"nothing":          {func(*Guard, Call) {}, s, nil},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewGuard(settings())
			g.Accept(Message{ID: 1, Class: classSingleShot, Deadline: 20 * s})
			call := Call{Message: 1, Endpoint: 7}
			if err := g.AuthorizeCall(s, call); err != nil {
				t.Fatal(err)
			}
			c.between(g, call)
			if err := g.Write(c.at, call); !errors.Is(err, c.want) {
				t.Errorf("%v, want %v", err, c.want)
			}
			if g.Violations() != 0 {
				t.Errorf("%d violations", g.Violations())
			}
		})
	}
}

// TestEndAsUnsent checks that a call that was written counts as possibly executed, although its result claims that nothing was
// sent.
func TestEndAsUnsent(t *testing.T) {
	g := NewGuard(settings())
	g.Accept(Message{ID: 1, Class: classSingleShot, Deadline: 20 * s})
	first := Call{Message: 1, Endpoint: 7}
	_, _ = g.AuthorizeCall(s, first), g.Write(s, first)
	g.RevokeWrite(first)
	if err := g.FinishAttempt(s, first, s, AttemptResult{Unsent: true}); err != nil {
		t.Errorf("taken back: %v", err)
	}
	second := Call{Message: 1, Attempt: 1, Endpoint: 7}
	_, _ = g.AuthorizeCall(2*s, second), g.Write(2*s, second)
	if err := g.FinishAttempt(2*s, second, 2*s, AttemptResult{Unsent: true}); !errors.Is(err, ErrAlreadyWritten) {
		t.Errorf("written: %v", err)
	}
	if m := g.messages[1]; m == nil || !m.PossiblyExecuted || m.ExecutedAt != 2*s {
		t.Errorf("possibly executed: %+v", m)
	}
}

// TestRefusals checks that a message is refused only if submitting it again is harmless.
func TestRefusals(t *testing.T) {
	for _, c := range []struct {
		name   string
		class  int
		before func(*Guard, Call)
		want   error
	}{
		{"never called", classSingleShot, nil, nil},
		{"once, never executed", classSingleShot, afterAttempt(AttemptResult{}), nil},
		{"once, executed", classSingleShot, afterAttempt(AttemptResult{PossiblyExecuted: true}), ErrUnsafeRepeat},
		{"once, planned and not written", classSingleShot, func(g *Guard, c Call) { _ = g.AuthorizeCall(s, c) }, nil},
		{"once, out", classSingleShot, func(g *Guard, c Call) { _, _ = g.AuthorizeCall(s, c), g.Write(s, c) }, ErrUnsafeRepeat},
		{"keyed, executed", classKeyed, afterAttempt(AttemptResult{PossiblyExecuted: true}), nil},
		{"zone, executed", classZoned, afterAttempt(AttemptResult{PossiblyExecuted: true}), ErrUnsafeRepeat},
		{"free, executed", classFree, afterAttempt(AttemptResult{PossiblyExecuted: true}), nil},
		{"ended", classSingleShot, func(g *Guard, c Call) { _, _ = g.AuthorizeCall(s, c), g.Write(s, c); g.FinishMessage(1) }, ErrMessageFinished},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewGuard(settings())
			g.Accept(Message{ID: 1, Class: c.class, Deadline: 20 * s})
			if c.before != nil {
				c.before(g, Call{Message: 1, Endpoint: 7})
			}
			if err := g.AuthorizeRefusal(1); !errors.Is(err, c.want) {
				t.Errorf("%v, want %v", err, c.want)
			}
		})
	}
}

// TestOrder checks that the messages of one order key are called one at a time and in order, and that the key is blocked for a
// while after an attempt whose end the peer did not report.
func TestOrder(t *testing.T) {
	g := NewGuard(settings())
	for id := range control.MessageID(3) {
		g.Accept(Message{ID: id + 1, Class: classOrdered, OrderKey: 5, Deadline: 20 * s})
	}
	first, second := Call{Message: 1}, Call{Message: 2}
	if err := g.AuthorizeCall(s, second); !errors.Is(err, ErrOutOfOrder) {
		t.Errorf("out of order: %v", err)
	}
	_, _ = g.AuthorizeCall(s, first), g.Write(s, first)
	g.FinishMessage(1)
	if err := g.AuthorizeCall(s, second); !errors.Is(err, ErrOutOfOrder) {
		t.Errorf("while the first is in flight: %v", err)
	}
	_ = g.FinishAttempt(2*s, first, s, AttemptResult{PossiblyExecuted: true, Unconfirmed: true})
	if err := g.AuthorizeCall(3*s-1, second); !errors.Is(err, ErrKeyBlocked) {
		t.Errorf("while the key is blocked: %v", err)
	}
	if err := g.AuthorizeCall(3*s, second); err != nil {
		t.Error(err)
	}
	_ = g.FinishAttempt(3*s, second, 3*s, AttemptResult{})
	for id := range control.MessageID(3) {
		g.FinishMessage(id + 1)
	}
	if len(g.messages)+len(g.keyQueues) != 0 {
		t.Errorf("%d messages and %d keys are kept", len(g.messages), len(g.keyQueues))
	}
}

// TestRestored checks that attempts of an earlier process count like attempts of this process.
func TestRestored(t *testing.T) {
	g := NewGuard(settings())
	g.Accept(Message{ID: 1, Class: classSingleShot, Deadline: 20 * s, Attempts: 1, PossiblyExecuted: true, ExecutedAt: -s})
	g.Accept(Message{ID: 2, Class: classKeyed, Deadline: 20 * s, Attempts: 1, PossiblyExecuted: true, ExecutedAt: -3 * s})
	g.Accept(Message{ID: 3, Class: classFree, Deadline: 20 * s, Attempts: 3})
	for id, want := range map[control.MessageID]error{1: ErrPossiblyExecuted, 2: ErrWindowExpired, 3: ErrAttemptsExhausted} {
		if err := g.AuthorizeCall(2*s, Call{Message: id}); !errors.Is(err, want) {
			t.Errorf("message %d: %v, want %v", id, err, want)
		}
	}
}

// TestGoneEndpointsAreForgotten checks that the number of endpoints kept after they left the list is bounded.
func TestGoneEndpointsAreForgotten(t *testing.T) {
	g := NewGuard(settings())
	for e := range control.EndpointID(20000) {
		g.SetHealth(control.Time(e)*s, e, control.Gone)
	}
	if len(g.withdrawnSince) > cleanupThreshold+1 {
		t.Errorf("%d are kept", len(g.withdrawnSince))
	}
}
