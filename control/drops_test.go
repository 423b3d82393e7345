package control

import "testing"

// Answers that get lost are not blamed on idle connections: only one that was idle for long may have been dropped unseen.
func TestLostAnswersAreNoDrops(t *testing.T) {
	for _, c := range []struct {
		idle Time
		less bool
	}{{50 * Millisecond, false}, {400 * Millisecond, false}, {3 * s, true}} {
		r := newRig(t, testSettings(), entry(1, 0, 0))
		id := MessageID(0)
		send := func(res Result) {
			id++
			r.want(r.at(c.idle, r.msg(free, 1)), id)
			r.at(s/50, done(id, 0, res))
		}
		send(OK)
		for range 20 {
			send(Reset)
			for n := 1; r.d.msgs[id] != nil; n++ { // it goes again, and well
				r.at(s/50)
				if m := r.d.msgs[id]; m != nil && m.out != nil {
					r.at(s/50, done(id, n, OK))
				}
				if n > 1 {
					t.Fatal("it does not go again")
				}
			}
			send(OK)
		}
		if got := r.d.kinds[0].keep < 2*r.d.set.ConnIdle; got != c.less {
			t.Errorf("idle for %v: used up to %v", c.idle, r.d.kinds[0].keep)
		}
	}
}
