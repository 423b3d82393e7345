package control

import "testing"

// promising makes a dispatcher whose senders hear at once that a message is taken on, with room for a few.
func promising(t *testing.T) *rig {
	set := testSettings()
	set.EarlyAck, set.MaxOpen, set.Slots = true, 4, 1
	return newRig(t, set, entry(1, 0, 0))
}

// Where more comes than there is room for, what has just come is refused ahead of what was promised to be delivered, unless that
// is worth clearly less.
func TestPromisedMessagesAreShedLast(t *testing.T) {
	r := promising(t)
	r.want(r.at(0, r.msg(free, 1)), 1)
	r.at(s/100, r.msg(free, 1), r.msg(free, 1)) // held behind the slot
	acts := r.at(s/100, r.msg(free, 1))
	r.wantEnd(acts, Refuse, 4)
	if len(acts) == 0 || r.d.msgs[2] == nil || r.d.msgs[3] == nil {
		t.Errorf("%+v", acts)
	}
}

// What a process before this one had taken on, and found untried, is given up early only where nothing else may go.
func TestRestoredMessagesAreKept(t *testing.T) {
	r := promising(t)
	r.want(r.at(0, r.msg(free, 1)), 1)
	restored := []Event{r.msg(free, 1), r.msg(free, 1)}
	for i := range restored {
		restored[i].Restored = true
	}
	r.at(s/100, restored...)
	for range 20 {
		next := r.msg(single, 1) // worth more
		r.wantEnd(r.at(s/100, next), Refuse, next.Message)
	}
	if r.d.msgs[2] == nil || r.d.msgs[3] == nil {
		t.Error("a restored message was given up")
	}
}
