package control

import "testing"

// runConnDrops sends messages on a connection that was idle for the given time. The first attempt of every second message ends
// with the given result, and the next one succeeds.
func runConnDrops(t *testing.T, idle Time, failure Result) *runner {
	t.Helper()
	r := newRunner(t, testSettings(), entry(1, 0, 0))
	send := func(res Result) {
		r.wantSent(r.step(idle, r.arrival(idempotent, 1)), r.lastID)
		r.step(sec/50, outcome(r.lastID, 0, res))
	}
	send(OK)
	for range 20 {
		send(failure)
		r.step(sec / 50)
		if m := r.dispatcher.messages[r.lastID]; m == nil || m.call == nil {
			t.Fatal("the message is not sent again")
		}
		r.step(sec/50, outcome(r.lastID, 1, OK))
		send(OK)
	}
	return r
}

// A short idle age is never learned as the age at which connections are dropped. Otherwise all calls would use new connections.
func TestShortIdleAgeIsNotLearned(t *testing.T) {
	for _, c := range []struct {
		idle    Time
		lowered bool
	}{{50 * Millisecond, false}, {400 * Millisecond, false}, {3 * sec, true}} {
		r := runConnDrops(t, c.idle, Reset)
		if got := r.dispatcher.kinds[0].safeIdleAge < 2*r.dispatcher.settings.ConnIdleTimeout; got != c.lowered {
			t.Errorf("after drops at an idle age of %v us: idle connections are used up to %v us", c.idle, r.dispatcher.kinds[0].safeIdleAge)
		}
	}
}

// Where idle connections are often reset, AtMostOnce messages are sent on new ones. A missing answer after a short idle time is
// no sign of a dropped connection.
func TestAtMostOnceUsesNewConnections(t *testing.T) {
	for _, c := range []struct {
		result Result
		class  int
		close  bool
	}{{Reset, atMostOnce, true}, {Reset, idempotent, false}, {TimedOut, atMostOnce, false}} {
		r := runConnDrops(t, 200*Millisecond, c.result)
		closed := false
		for _, a := range r.step(sec/5, r.arrival(c.class, 1)) {
			closed = closed || a.Kind == CloseIdle
		}
		if closed != c.close {
			t.Errorf("after result %d, class %d: connection closed %v", c.result, c.class, closed)
		}
	}
}
