package control

import "testing"

// drops plays calls on a connection idle for so long that now and then end in a result, and go well the next time.
func drops(t *testing.T, idle Time, end Result) *rig {
	t.Helper()
	r := newRig(t, testSettings(), entry(1, 0, 0))
	send := func(res Result) {
		r.want(r.at(idle, r.msg(free, 1)), r.id)
		r.at(s/50, done(r.id, 0, res))
	}
	send(OK)
	for range 20 {
		send(end)
		r.at(s / 50)
		if m := r.d.msgs[r.id]; m == nil || m.out == nil {
			t.Fatal("it does not go again")
		}
		r.at(s/50, done(r.id, 1, OK))
		send(OK)
	}
	return r
}

// A short idle age is never learned as the one after which connections are dropped: all calls would go on new ones.
func TestShortIdleAgeIsNotLearned(t *testing.T) {
	for _, c := range []struct {
		idle Time
		less bool
	}{{50 * Millisecond, false}, {400 * Millisecond, false}, {3 * s, true}} {
		r := drops(t, c.idle, Reset)
		if got := r.d.kinds[0].keep < 2*r.d.set.ConnIdleTimeout; got != c.less {
			t.Errorf("idle for %v: used up to %v", c.idle, r.d.kinds[0].keep)
		}
	}
}

// Where kept connections are reset, what must not run twice goes on new ones; silence after a short rest tells nothing.
func TestSingleShotOnNewConnections(t *testing.T) {
	for _, c := range []struct {
		end   Result
		class int
		close bool
	}{{Reset, single, true}, {Reset, free, false}, {TimedOut, single, false}} {
		r := drops(t, 200*Millisecond, c.end)
		closed := false
		for _, a := range r.at(s/5, r.msg(c.class, 1)) {
			closed = closed || a.Kind == Close
		}
		if closed != c.close {
			t.Errorf("after %d, class %d: closed %v", c.end, c.class, closed)
		}
	}
}
