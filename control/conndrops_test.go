package control

import "testing"

// runConnDrops plays calls on a connection idle for so long that now and then end in a result, and go well the next time.
func runConnDrops(t *testing.T, idle Time, end Result) *runner {
	t.Helper()
	r := newRunner(t, testSettings(), entry(1, 0, 0))
	send := func(res Result) {
		r.wantSent(r.step(idle, r.arrival(idempotent, 1)), r.lastID)
		r.step(sec/50, outcome(r.lastID, 0, res))
	}
	send(OK)
	for range 20 {
		send(end)
		r.step(sec / 50)
		if m := r.dispatcher.messages[r.lastID]; m == nil || m.call == nil {
			t.Fatal("it does not go again")
		}
		r.step(sec/50, outcome(r.lastID, 1, OK))
		send(OK)
	}
	return r
}

// A short idle age is never learned as the one after which connections are dropped: all calls would go on new ones.
func TestShortIdleAgeIsNotLearned(t *testing.T) {
	for _, c := range []struct {
		idle Time
		less bool
	}{{50 * Millisecond, false}, {400 * Millisecond, false}, {3 * sec, true}} {
		r := runConnDrops(t, c.idle, Reset)
		if got := r.dispatcher.kinds[0].safeIdleAge < 2*r.dispatcher.settings.ConnIdleTimeout; got != c.less {
			t.Errorf("idle for %v: used up to %v", c.idle, r.dispatcher.kinds[0].safeIdleAge)
		}
	}
}

// Where kept connections are reset, what must not run twice goes on new ones; silence after a short rest tells nothing.
func TestAtMostOnceUsesNewConnections(t *testing.T) {
	for _, c := range []struct {
		end   Result
		class int
		close bool
	}{{Reset, atMostOnce, true}, {Reset, idempotent, false}, {TimedOut, atMostOnce, false}} {
		r := runConnDrops(t, 200*Millisecond, c.end)
		closed := false
		for _, a := range r.step(sec/5, r.arrival(c.class, 1)) {
			closed = closed || a.Kind == Close
		}
		if closed != c.close {
			t.Errorf("after %d, class %d: closed %v", c.end, c.class, closed)
		}
	}
}
