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
			if d := r.d.dest(1); len(r.d.msgs) > 0 || d.held > 0 || r.d.open > 0 {
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
		set.RetryAfter, set.MaxRetryAfter, set.MaxAttempts = allowed, 3*s, 1
		r := newRig(t, set, entry(1, 0, 0))
		r.want(r.at(0, r.msg(free, 1), r.msg(free, 1)), 1, 2)
		acts := r.at(s/10, done(1, 0, ErrorResponse))
		r.wantEnd(acts, Refuse, 1)
		if acts[0].After != 0 {
			t.Errorf("allowed %v: told %v though nothing is known", allowed, acts[0].After)
		}
		if acts = r.at(s/10, full(2, 0, 2*s)); !allowed && acts[0].After != 0 || allowed && acts[0].After < 2*s {
			t.Errorf("allowed %v: told to stay away for %v", allowed, acts[0].After)
		}
	}
}

// A dispatcher that stops answers all it holds within the time given, by the rules for final answers: what may have
// run of an unsafe class is failed, the rest handed back. Without the event clients were cut off without an answer.
func TestClosingAnswersAll(t *testing.T) {
	d, err := New(Settings{Instances: 1, Tick: 5 * Millisecond, Slots: 4, MaxOpen: 100, MaxAttempts: 3, ReportRemainingIndex: -1, ReportLimitIndex: -1,
		Classes: []Class{{Effect: AtMostOnce, Target: Second, Deadline: 60 * Second, Value: 1}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	events := []Event{{Kind: ListUpdate, ListKind: ListFull, Entries: []Entry{{Endpoint: 1, Dest: 1, Health: Ready}}}}
	for id := range MessageID(10) {
		events = append(events, Event{Kind: Arrival, Message: id + 1, Dest: 1 + int(id)%2, TimeLeft: 60 * Second})
	}
	sent, answers := map[MessageID]bool{}, map[MessageID]ActionKind{}
	now, due := Second, Time(0)
	for round := 0; len(answers) < 10 && round < 1000; round++ {
		for _, a := range d.Step(now, events, nil) {
			switch a.Kind {
			case Send:
				sent[a.Message] = true
			case Refuse, Fail:
				answers[a.Message] = a.Kind
			}
		}
		events = events[:0]
		if now += 10 * Millisecond; round == 5 {
			events = append(events, Event{Kind: Shutdown, TimeLeft: Second})
			due = now + Second
		}
		for id := range MessageID(10) {
			events = append(events, Event{Kind: TimerFired, TimerToken: uint64(id) + 2})
		}
	}
	if now > due || len(answers) != 10 {
		t.Errorf("%d of 10 answered at %d, due %d", len(answers), now, due)
	}
	for id, kind := range answers {
		if (kind == Fail) != sent[id] {
			t.Errorf("message %d, sent %v, has answer %d", id, sent[id], kind)
		}
	}
}
