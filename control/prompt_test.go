package control

import (
	"testing"
)

// A message that can't be sent any more has its final answer in that round, wherever it lies in its hold, also
// while its destination is blocked; none is kept back.
func TestGivenUpMessagesAreAnsweredAtOnce(t *testing.T) {
	for _, c := range []struct {
		name  string
		class int
		wait  Time
		end   ActionKind
		after Time
	}{
		{"free, told wait past its time", free, 30 * s, Refuse, 3 * s},
		{"guarded, told wait past its time", guarded, 30 * s, Refuse, 3 * s},
		{"unsafe, told wait past its time", single, 30 * s, Refuse, 3 * s},
		{"free, in time after the wait", free, 2 * s, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			set := testSettings()
			set.RetryAfter, set.MaxRetryAfter, set.Slots = true, 3*s, 1
			r := newRig(t, set, entry(1, 0, 0))
			r.want(r.at(0, r.msg(free, 1)), 1)
			r.at(s/10, r.msg(c.class, 1), r.msg(c.class, 1), r.msg(c.class, 1)) // held behind the slot
			acts := r.at(s/10, full(1, 0, c.wait))
			late := r.at(s/10, r.msg(c.class, 1)) // one that arrives into the wait
			if c.end == 0 {
				if len(acts)+len(late) > 0 {
					t.Fatalf("answered early: %+v %+v", acts, late)
				}
				return
			}
			for id := MessageID(1); id <= 4; id++ {
				r.wantEnd(acts, c.end, id)
			}
			r.wantEnd(late, c.end, 5)
			if acts[0].After != c.after {
				t.Errorf("told to stay away for %v, want %v", acts[0].After, c.after)
			}
			if d := r.d.byNo[1]; len(r.d.msgs) > 0 || d.held > 0 || r.d.open > 0 {
				t.Errorf("left in the hold: %d messages, %d held, %d open", len(r.d.msgs), d.held, r.d.open)
			}
		})
	}
}

// A repeat window that ends ends the message, though the destination is blocked and it is not first in its hold.
func TestRepeatWindowOverIsAnsweredInTheHold(t *testing.T) {
	set := testSettings()
	set.RetryAfter, set.MaxRetryAfter = true, 3*s
	r := newRig(t, set, entry(1, 0, 0))
	r.want(r.at(0, r.msg(guarded, 1), r.msg(guarded, 1)), 1, 2)
	r.at(s/10, full(1, 0, 9*s), done(2, 0, Reset)) // both held; the second may have run
	acts := r.wait(9800 * Millisecond)
	for _, a := range acts {
		if a.Kind == Fail || a.Kind == Refuse && r.now < 1009*s {
			t.Errorf("answered: %+v", a)
		}
	}
	r = newRig(t, set, entry(1, 0, 0))
	r.want(r.at(0, r.msg(guarded, 1), r.msg(guarded, 1)), 1, 2)
	acts = r.at(s/10, full(1, 0, 12*s), done(2, 0, Reset))
	r.wantEnd(acts, Refuse, 2) // the wait outlasts its window of 10 s
	if r.d.msgs[1] == nil {
		t.Error("one that may still go was answered, too")
	}
}

func TestNoWaitIsToldWhereNoneIsKnownOrAllowed(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		set := testSettings()
		set.RetryAfter, set.MaxRetryAfter, set.MaxTries = allowed, 3*s, 1
		r := newRig(t, set, entry(1, 0, 0))
		r.want(r.at(0, r.msg(free, 1), r.msg(free, 1)), 1, 2)
		acts := r.at(s/10, done(1, 0, Errored))
		r.wantEnd(acts, Refuse, 1)
		if acts[0].After != 0 {
			t.Errorf("allowed %v: told %v though nothing is known", allowed, acts[0].After)
		}
		if acts = r.at(s/10, full(2, 0, 2*s)); !allowed && acts[0].After != 0 || allowed && acts[0].After < 2*s {
			t.Errorf("allowed %v: told to stay away for %v", allowed, acts[0].After)
		}
	}
}
