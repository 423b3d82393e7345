package engine

import (
	"testing"

	"whinrun/control"
)

// deliverProvisionally submits a message of a class and reports a provisional delivery of its first attempt.
func deliverProvisionally(t *testing.T, class int) (*spy, *Core, uint64) {
	t.Helper()
	b, c := newSpy(t)
	in := b.msg(1, 2, 10)
	in.Submit.Class = class
	c.Round(2*control.Second, []Input{in})
	b.want(t, "take m1", "told m1", "start 1")
	seq := b.calls[0][0].Seq
	c.Round(2*control.Second+1000, []Input{{Outcome: &Outcome{Seq: seq, Kind: Answered, Status: 200, Provisional: true}}})
	// On record as possibly executed, and owed.
	b.want(t, "back m1 true")
	if st := c.Stats(); st.Open != 1 || st.Served != 0 || st.InFlight != 0 || st.Unsettled != 1 {
		t.Errorf("%+v behind a provisional delivery", st)
	}
	return b, c, seq
}

// TestDeliveryConfirmed checks that a provisional delivery is final once it is confirmed, and not before.
func TestDeliveryConfirmed(t *testing.T) {
	b, c, seq := deliverProvisionally(t, 0)
	c.Round(3*control.Second, []Input{{Outcome: &Outcome{Seq: seq, Kind: DeliveryConfirmed}}})
	b.want(t, "over m1 true", "final m1 served")
	if st := c.Stats(); st.Open != 0 || st.Served != 1 || st.Violations != 0 {
		t.Errorf("%+v", st)
	}
}

// TestDeliveryUnproven checks that a message whose delivery is not proven is not called again, whatever its class, and fails at
// once.
func TestDeliveryUnproven(t *testing.T) {
	for class := range settings().Classes {
		b, c, seq := deliverProvisionally(t, class)
		c.Round(2*control.Second+300*control.Millisecond, []Input{{Outcome: &Outcome{Seq: seq, Kind: DeliveryUnproven}}})
		b.want(t, "over m1 true", "final m1 failed")
		for now, ok := c.NextTimer(); ok && now < 4*control.Second; now, ok = c.NextTimer() {
			c.Round(now, nil)
		}
		b.want(t)
		if st := c.Stats(); st.Accepted != 1 || st.Open != 0 || st.Failed != 1 || st.EndedInDoubt != 1 || st.Violations != 0 {
			t.Errorf("class %d: %+v", class, st)
		}
	}
}

// TestWithdrawnBehindAProvisionalDelivery checks that what comes behind a withdrawal changes nothing.
func TestWithdrawnBehindAProvisionalDelivery(t *testing.T) {
	b, c, seq := deliverProvisionally(t, 0)
	c.Round(3*control.Second, []Input{{Withdraw: 1}})
	b.take()
	c.Round(4*control.Second, []Input{{Outcome: &Outcome{Seq: seq, Kind: DeliveryUnproven}}})
	b.want(t)
}

// TestEndInDoubt checks that a message that may be over fails at once, whatever its class, and is not called again.
func TestEndInDoubt(t *testing.T) {
	for class := range settings().Classes {
		b, c := newSpy(t)
		in := b.msg(1, 2, 10)
		in.Submit.Class = class
		c.Round(2*control.Second, []Input{in})
		b.want(t, "take m1", "told m1", "start 1")
		c.Round(2*control.Second+1000, []Input{{Outcome: &Outcome{Seq: b.calls[0][0].Seq, Kind: UnprovenAnswer, PossiblyOver: true}}})
		b.want(t, "over m1 true", "final m1 failed")
		for now, ok := c.NextTimer(); ok && now < 4*control.Second; now, ok = c.NextTimer() {
			c.Round(now, nil)
		}
		b.want(t)
		if st := c.Stats(); st.Open != 0 || st.Failed != 1 || st.EndedInDoubt != 1 || st.Violations != 0 {
			t.Errorf("%+v", st)
		}
	}
}

// TestRefusalInDoubt checks that a refusal that may be that of another attempt proves nothing: a message that may not be repeated fails,
// and is not called again.
func TestRefusalInDoubt(t *testing.T) {
	for class := range settings().Classes {
		if settings().Classes[class].Effect != control.AtMostOnce {
			continue
		}
		b, c := newSpy(t)
		in := b.msg(1, 2, 10)
		in.Submit.Class = class
		c.Round(2*control.Second, []Input{in})
		b.want(t, "take m1", "told m1", "start 1")
		c.Round(2*control.Second+1000, []Input{{Outcome: &Outcome{Seq: b.calls[0][0].Seq, Kind: UnprovenAnswer, Status: 429}}})
		b.want(t, "back m1 true", "over m1 true", "final m1 failed")
		for now, ok := c.NextTimer(); ok && now < 4*control.Second; now, ok = c.NextTimer() {
			c.Round(now, nil)
		}
		b.want(t)
		return
	}
	t.Error("no class that may not be repeated")
}
