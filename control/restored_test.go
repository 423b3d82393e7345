package control

import (
	"slices"
	"testing"
)

// What an earlier process did for a message also restricts this one. Its attempts count, and a possibly executed message is sent
// again only as its class permits. A message that cannot be sent is answered in the same round.
func TestRestoredMessages(t *testing.T) {
	for _, c := range []struct {
		name             string
		class            int
		attempts         int
		possiblyExecuted bool
		sentAgo          Time
		zone             int
		sent             bool
		answer           ActionKind
	}{
		{"at most once, never sent", atMostOnce, 0, false, 0, 0, true, 0},
		{"at most once, refused before", atMostOnce, 2, false, 0, 0, true, 0},
		{"at most once, possibly executed", atMostOnce, 1, true, sec, 0, false, Fail},
		{"idempotent, possibly executed", idempotent, 1, true, sec, 0, true, 0},
		{"deduplicated, within its window", deduplicated, 1, true, sec, 0, true, 0},
		{"deduplicated, after its window", deduplicated, 1, true, 100 * sec, 0, false, Refuse},
		{"all attempts made", idempotent, 6, false, 0, 0, false, Refuse},
		{"all attempts but one made", idempotent, 5, true, sec, 0, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRunner(t, testSettings(), entry(1, 0, 0))
			e := r.arrival(c.class, 1)
			e.Attempt, e.PossiblyExecuted, e.Elapsed, e.Zone = c.attempts, c.possiblyExecuted, c.sentAgo, c.zone
			actions := r.step(0, e)
			if c.sent {
				r.wantSent(actions, 1)
				return
			}
			r.wantSent(actions)
			r.wantAnswer(actions, c.answer, 1)
		})
	}
}

// A refusal that may be that of another attempt tells of the endpoint, but not that the attempt was not executed: what may not be
// repeated ends, and the rest is repeated as its class permits.
func TestRefusalThatMayBeThatOfAnotherAttempt(t *testing.T) {
	for class, repeated := range map[int]bool{atMostOnce: false, deduplicated: true, idempotent: true} {
		r := newRunner(t, testSettings(), entry(1, 0, 0))
		r.wantSent(r.step(0, r.arrival(class, 1)), 1)
		refusal := outcome(1, 0, LimitExceeded)
		refusal.PossiblyExecuted = true
		actions := slices.Concat(r.step(sec/10, refusal), r.runFor(2*sec))
		sent := slices.ContainsFunc(actions, func(a Action) bool { return a.Kind == Send && a.Message == 1 })
		if failed := slices.ContainsFunc(actions, func(a Action) bool { return a.Kind == Fail && a.Message == 1 }); sent != repeated || failed == repeated {
			t.Errorf("class %d: sent again %v, failed %v", class, sent, failed)
		}
	}
}

// With KeepHeld the next process goes on with the open messages. Until then this dispatcher refuses new messages with the
// longest wait that is permitted. It starts no call that may not end in time, and it ends no queued message.
func TestShutdownThatKeepsMessages(t *testing.T) {
	settings := testSettings()
	settings.RetryAfter, settings.MaxRetryAfter, settings.Slots = true, 2*sec, 1
	r := newRunner(t, settings, entry(1, 0, 0))
	r.wantSent(r.step(0, r.arrival(atMostOnce, 1)), 1)
	r.step(sec/10, r.arrival(atMostOnce, 1), r.arrival(atMostOnce, 1)) // They are queued because the only slot is busy.
	r.step(0, Event{Kind: Shutdown, TimeLeft: 3 * sec, KeepHeld: true})
	actions := r.step(sec/100, r.arrival(atMostOnce, 1))
	r.wantAnswer(actions, Refuse, 4)
	if i := slices.IndexFunc(actions, func(a Action) bool { return a.Kind == Refuse }); actions[i].After != 2*sec {
		t.Errorf("the refusal carries a wait of %v", actions[i].After)
	}
	r.wantSent(r.step(sec/10, outcome(1, 0, OK)), 2) // There is time for one more call.
	actions = slices.Concat(r.runFor(2700*Millisecond), r.step(0, outcome(2, 0, OK)), r.runFor(sec))
	r.wantSent(actions)
	for _, a := range actions {
		if a.Kind == Refuse || a.Kind == Fail {
			t.Errorf("a message for the next process was ended: %+v", a)
		}
	}
}

// While attempts cannot be recorded, only messages of Idempotent classes are sent. The others are sent as soon as recording
// works again.
func TestOnlyIdempotentMessagesAreSentWhileRecordingFails(t *testing.T) {
	for class, sentMeanwhile := range map[int]bool{idempotent: true, deduplicated: false, atMostOnce: false} {
		r := newRunner(t, testSettings(), entry(1, 0, 0))
		r.step(0, Event{Kind: RecordingStatus, RecordingFails: true})
		meanwhile := slices.Concat(r.step(sec/10, r.arrival(class, 1)), r.runFor(sec))
		if got := len(sentMessages(meanwhile)) > 0; got != sentMeanwhile {
			t.Errorf("class %d: sent while recording fails: %v: %+v", class, got, meanwhile)
		}
		if sentMeanwhile {
			continue
		}
		r.wantSent(slices.Concat(r.step(0, Event{Kind: RecordingStatus}), r.runFor(sec/10)), 1)
	}
}

// Attempts that were not sent do not count towards MaxAttempts. Attempts that were sent and certainly not executed do.
func TestNotSentIsNotCountedAsAnAttempt(t *testing.T) {
	settings := testSettings()
	r := newRunner(t, settings, entry(1, 0, 0))
	actions := r.step(0, r.arrival(atMostOnce, 1))
	sends := len(sentMessages(actions))
	for n := range 3 * settings.MaxAttempts {
		actions = slices.Concat(r.step(sec/100, outcome(1, n, NotSent)), r.runFor(sec/20))
		sends += len(sentMessages(actions))
	}
	if sends != 3*settings.MaxAttempts+1 {
		t.Errorf("%d Send actions, want %d", sends, 3*settings.MaxAttempts+1)
	}
	for n := range settings.MaxAttempts {
		actions = slices.Concat(r.step(sec/100, outcome(1, 3*settings.MaxAttempts+n, NotExecuted)), r.runFor(sec/20))
	}
	r.wantAnswer(actions, Refuse, 1)
}

// After an earlier process all keys are first blocked for SettleTime, because its last calls may still be executed. A restored message
// that already had an attempt is sent at once.
func TestKeysRestBehindAnotherProcess(t *testing.T) {
	settings := testSettings()
	settings.HasPredecessor, settings.SettleTime = true, 2*sec
	r := newRunner(t, settings, entry(1, 0, 0))
	begun := r.keyedArrival(8)
	begun.Restored, begun.Attempt = true, 1
	r.wantSent(r.step(0, begun, r.keyedArrival(9)), begun.Message)
	r.wantSent(r.runFor(sec))
	r.wantSent(r.runFor(sec+sec/10), 2)
	r.wantSent(r.step(5*sec, r.keyedArrival(10)), 3)
}
