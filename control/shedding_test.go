package control

import "testing"

// newEarlyAckRunner makes a dispatcher whose senders hear at once that a message is taken on, with room for a few.
func newEarlyAckRunner(t *testing.T) *runner {
	settings := testSettings()
	settings.EarlyAck, settings.MaxOpen, settings.Slots = true, 4, 1
	return newRunner(t, settings, entry(1, 0, 0))
}

// Where more comes than there is room for, what has just come is refused ahead of what was promised to be delivered, unless that
// is worth clearly less.
func TestPromisedMessagesAreShedLast(t *testing.T) {
	r := newEarlyAckRunner(t)
	r.wantSent(r.step(0, r.arrival(idempotent, 1)), 1)
	r.step(sec/100, r.arrival(idempotent, 1), r.arrival(idempotent, 1)) // held behind the slot
	actions := r.step(sec/100, r.arrival(idempotent, 1))
	r.wantAnswer(actions, Refuse, 4)
	if len(actions) == 0 || r.dispatcher.messages[2] == nil || r.dispatcher.messages[3] == nil {
		t.Errorf("%+v", actions)
	}
}

// What a process before this one had taken on, and found untried, is given up early only where nothing else may go.
func TestRestoredMessagesAreKept(t *testing.T) {
	r := newEarlyAckRunner(t)
	r.wantSent(r.step(0, r.arrival(idempotent, 1)), 1)
	restored := []Event{r.arrival(idempotent, 1), r.arrival(idempotent, 1)}
	for i := range restored {
		restored[i].Restored = true
	}
	r.step(sec/100, restored...)
	for range 20 {
		next := r.arrival(atMostOnce, 1) // worth more
		r.wantAnswer(r.step(sec/100, next), Refuse, next.Message)
	}
	if r.dispatcher.messages[2] == nil || r.dispatcher.messages[3] == nil {
		t.Error("a restored message was given up")
	}
}
