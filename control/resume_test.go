package control

import (
	"slices"
	"testing"
)

// What a process that ended had done for a message binds its successor: attempts count, and what may have run goes
// again only as its class allows. What can't go is answered in that round.
func TestRestoredMessages(t *testing.T) {
	for _, c := range []struct {
		name  string
		class int
		tries int
		doubt bool
		ago   Time
		zone  int
		sent  bool
		end   ActionKind
	}{
		{"unsafe, never sent", single, 0, false, 0, 0, true, 0},
		{"unsafe, refused before", single, 2, false, 0, 0, true, 0},
		{"unsafe, may have run", single, 1, true, s, 0, false, Fail},
		{"free, may have run", free, 1, true, s, 0, true, 0},
		{"guarded, in its window", guarded, 1, true, s, 0, true, 0},
		{"guarded, past its window", guarded, 1, true, 100 * s, 0, false, Refuse},
		{"all attempts made", free, 6, false, 0, 0, false, Refuse},
		{"all but one made", free, 5, true, s, 0, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, testSettings(), entry(1, 0, 0))
			e := r.msg(c.class, 1)
			e.Attempt, e.PossiblyExecuted, e.Elapsed, e.Zone = c.tries, c.doubt, c.ago, c.zone
			acts := r.at(0, e)
			if c.sent {
				r.want(acts, 1)
				return
			}
			r.want(acts)
			r.wantEnd(acts, c.end, 1)
		})
	}
}

// A dispatcher whose successor goes on with what is held refuses what is new, with the longest wait that it may tell,
// begins no call that may not end in time, and ends nothing that is held.
func TestStopThatKeeps(t *testing.T) {
	set := testSettings()
	set.RetryAfter, set.MaxRetryAfter, set.Slots = true, 2*s, 1
	r := newRig(t, set, entry(1, 0, 0))
	r.want(r.at(0, r.msg(single, 1)), 1)
	r.at(s/10, r.msg(single, 1), r.msg(single, 1)) // held behind the slot
	r.at(0, Event{Kind: Shutdown, TimeLeft: 3 * s, KeepHeld: true})
	acts := r.at(s/100, r.msg(single, 1))
	r.wantEnd(acts, Refuse, 4)
	if i := slices.IndexFunc(acts, func(a Action) bool { return a.Kind == Refuse }); acts[i].After != 2*s {
		t.Errorf("told to stay away for %v", acts[i].After)
	}
	r.want(r.at(s/10, done(1, 0, OK)), 2) // there is time for one more
	acts = slices.Concat(r.wait(2700*Millisecond), r.at(0, done(2, 0, OK)), r.wait(s))
	r.want(acts)
	for _, a := range acts {
		if a.Kind == Refuse || a.Kind == Fail {
			t.Errorf("what is kept was ended: %+v", a)
		}
	}
}

// While attempts can't be put on record only what may be repeated at will is sent; what waits goes on when they can.
func TestWhileNothingCanBeRecorded(t *testing.T) {
	for class, sentMeanwhile := range map[int]bool{free: true, guarded: false, single: false} {
		r := newRig(t, testSettings(), entry(1, 0, 0))
		r.at(0, Event{Kind: RecordingStatus, RecordingFails: true})
		meanwhile := slices.Concat(r.at(s/10, r.msg(class, 1)), r.wait(s))
		if got := len(sent(meanwhile)) > 0; got != sentMeanwhile {
			t.Errorf("class %d: sent %v: %+v", class, got, meanwhile)
		}
		if sentMeanwhile {
			continue
		}
		r.want(slices.Concat(r.at(0, Event{Kind: RecordingStatus}), r.wait(s/10)), 1)
	}
}

// Attempts that were not sent do not count: the message has all that it may have.
func TestNotSentIsNoAttempt(t *testing.T) {
	set := testSettings()
	r := newRig(t, set, entry(1, 0, 0))
	acts := r.at(0, r.msg(single, 1))
	sends := len(sent(acts))
	for n := range 3 * set.MaxAttempts {
		acts = slices.Concat(r.at(s/100, done(1, n, NotSent)), r.wait(s/20))
		sends += len(sent(acts))
	}
	if sends != 3*set.MaxAttempts+1 {
		t.Errorf("%d times sent, want %d", sends, 3*set.MaxAttempts+1)
	}
	for n := range set.MaxAttempts {
		acts = slices.Concat(r.at(s/100, done(1, 3*set.MaxAttempts+n, NotExecuted)), r.wait(s/20))
	}
	r.wantEnd(acts, Refuse, 1)
}

// Behind another process all keys rest first: calls that it made may be executed yet. What it had begun itself goes on.
func TestKeysRestBehindAnotherProcess(t *testing.T) {
	set := testSettings()
	set.HasPredecessor, set.SettleTime = true, 2*s
	r := newRig(t, set, entry(1, 0, 0))
	begun := r.keyed(8)
	begun.Restored, begun.Attempt = true, 1
	r.want(r.at(0, begun, r.keyed(9)), begun.Message)
	r.want(r.wait(s))
	r.want(r.wait(s+s/10), 2)
	r.want(r.at(5*s, r.keyed(10)), 3)
}
