package control

import "testing"

// newEarlyAckRunner returns a runner for a dispatcher with EarlyAck that has room for a few open messages.
func newEarlyAckRunner(t *testing.T) *runner {
	settings := testSettings()
	settings.EarlyAck, settings.MaxOpen, settings.Slots = true, 4, 1
	return newRunner(t, settings, entry(1, 0, 0))
}

// When there are too many open messages, new ones are refused before acknowledged ones, unless the acknowledged ones have
// clearly less value.
func TestPromisedMessagesAreShedLast(t *testing.T) {
	r := newEarlyAckRunner(t)
	r.wantSent(r.step(0, r.arrival(idempotent, 1)), 1)
	r.step(sec/100, r.arrival(idempotent, 1), r.arrival(idempotent, 1)) // They are queued because the only slot is busy.
	actions := r.step(sec/100, r.arrival(idempotent, 1))
	r.wantAnswer(actions, Refuse, 4)
	if len(actions) == 0 || r.dispatcher.messages[2] == nil || r.dispatcher.messages[3] == nil {
		t.Errorf("an acknowledged message was shed: %+v", actions)
	}
}

// A message that an earlier process had acknowledged and never sent is shed early only if no other message can be.
func TestRestoredMessagesAreKept(t *testing.T) {
	r := newEarlyAckRunner(t)
	r.wantSent(r.step(0, r.arrival(idempotent, 1)), 1)
	restored := []Event{r.arrival(idempotent, 1), r.arrival(idempotent, 1)}
	for i := range restored {
		restored[i].Restored = true
	}
	r.step(sec/100, restored...)
	for range 20 {
		next := r.arrival(atMostOnce, 1) // It is newer and therefore worth a little more.
		r.wantAnswer(r.step(sec/100, next), Refuse, next.Message)
	}
	if r.dispatcher.messages[2] == nil || r.dispatcher.messages[3] == nil {
		t.Error("a restored message was shed")
	}
}
