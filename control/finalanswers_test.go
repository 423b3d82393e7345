package control

import (
	"testing"
)

// A message that cannot be sent any more gets its final answer in the same round. This holds wherever it is queued and also
// while its destination has to wait.
func TestGivenUpMessagesAreAnsweredAtOnce(t *testing.T) {
	for _, c := range []struct {
		name   string
		class  int
		wait   Time
		answer ActionKind
		after  Time
	}{
		{"idempotent, wait past its deadline", idempotent, 30 * sec, Refuse, 3 * sec},
		{"deduplicated, wait past its deadline", deduplicated, 30 * sec, Refuse, 3 * sec},
		{"at most once, wait past its deadline", atMostOnce, 30 * sec, Refuse, 3 * sec},
		{"idempotent, wait within its deadline", idempotent, 2 * sec, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			settings := testSettings()
			settings.RetryAfter, settings.MaxRetryAfter, settings.Slots = true, 3*sec, 1
			r := newRunner(t, settings, entry(1, 0, 0))
			r.wantSent(r.step(0, r.arrival(idempotent, 1)), 1)
			r.step(sec/10, r.arrival(c.class, 1), r.arrival(c.class, 1), r.arrival(c.class, 1)) // They are queued because the only slot is busy.
			actions := r.step(sec/10, refusal(1, 0, c.wait))
			late := r.step(sec/10, r.arrival(c.class, 1)) // This one arrives during the wait.
			if c.answer == 0 {
				if len(actions)+len(late) > 0 {
					t.Fatalf("answered although there is time after the wait: %+v %+v", actions, late)
				}
				return
			}
			for id := MessageID(1); id <= 4; id++ {
				r.wantAnswer(actions, c.answer, id)
			}
			r.wantAnswer(late, c.answer, 5)
			if actions[0].After != c.after {
				t.Errorf("the refusal carries a wait of %v, want %v", actions[0].After, c.after)
			}
			if d := r.dispatcher.destination(1); len(r.dispatcher.messages) > 0 || d.queuedCount > 0 || r.dispatcher.openMessages > 0 {
				t.Errorf("left: %d messages, %d queued, %d open", len(r.dispatcher.messages), d.queuedCount, r.dispatcher.openMessages)
			}
		})
	}
}

// A possibly executed message whose deduplication window ends before it can be sent again is answered. This holds although its
// destination has to wait and it is not first in its queue.
func TestEndedDedupWindowIsAnsweredWhileQueued(t *testing.T) {
	settings := testSettings()
	settings.RetryAfter, settings.MaxRetryAfter = true, 3*sec
	r := newRunner(t, settings, entry(1, 0, 0))
	r.wantSent(r.step(0, r.arrival(deduplicated, 1), r.arrival(deduplicated, 1)), 1, 2)
	r.step(sec/10, refusal(1, 0, 9*sec), outcome(2, 0, Reset)) // Both are queued. The second was possibly executed.
	actions := r.runFor(9800 * Millisecond)
	for _, a := range actions {
		if a.Kind == Fail || a.Kind == Refuse && r.now < 1009*sec {
			t.Errorf("answered within its window: %+v", a)
		}
	}
	r = newRunner(t, settings, entry(1, 0, 0))
	r.wantSent(r.step(0, r.arrival(deduplicated, 1), r.arrival(deduplicated, 1)), 1, 2)
	actions = r.step(sec/10, refusal(1, 0, 12*sec), outcome(2, 0, Reset))
	r.wantAnswer(actions, Refuse, 2) // The wait is longer than its window of 10 s.
	if r.dispatcher.messages[1] == nil {
		t.Error("a message that may still be sent was answered, too")
	}
}

// A refusal carries a wait only if RetryAfter permits it and a wait is known.
func TestNoRetryAfterWhereNoneIsKnownOrAllowed(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		settings := testSettings()
		settings.RetryAfter, settings.MaxRetryAfter, settings.MaxAttempts = allowed, 3*sec, 1
		r := newRunner(t, settings, entry(1, 0, 0))
		r.wantSent(r.step(0, r.arrival(idempotent, 1), r.arrival(idempotent, 1)), 1, 2)
		actions := r.step(sec/10, outcome(1, 0, ErrorResponse))
		r.wantAnswer(actions, Refuse, 1)
		if actions[0].After != 0 {
			t.Errorf("RetryAfter %v: the refusal carries a wait of %v although none is known", allowed, actions[0].After)
		}
		if actions = r.step(sec/10, refusal(2, 0, 2*sec)); !allowed && actions[0].After != 0 || allowed && actions[0].After < 2*sec {
			t.Errorf("RetryAfter %v: the refusal carries a wait of %v", allowed, actions[0].After)
		}
	}
}

// A dispatcher that stops answers all open messages within the time of the Shutdown event. Those of an AtMostOnce class that
// were possibly executed fail and the others are refused. Without the event, clients were cut off without an answer.
func TestShutdownAnswersAllMessages(t *testing.T) {
	dispatcher, err := New(Settings{Instances: 1, Tick: 5 * Millisecond, Slots: 4, MaxOpen: 100, MaxAttempts: 3, ReportRemainingIndex: -1, ReportLimitIndex: -1,
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
		for _, a := range dispatcher.Step(now, events, nil) {
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
		t.Errorf("%d of 10 messages answered at %d, want all by %d", len(answers), now, due)
	}
	for id, kind := range answers {
		if (kind == Fail) != sent[id] {
			t.Errorf("message %d: sent %v, answered by an action of kind %d", id, sent[id], kind)
		}
	}
}
