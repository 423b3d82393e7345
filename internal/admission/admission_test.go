package admission

import (
	"errors"
	"testing"

	"pgregory.net/rapid"

	"whinrun/control"
	"whinrun/internal/engine"
)

// core takes a set number of messages.
type core struct {
	room      int
	withdrawn []control.MessageID
	next      control.MessageID
}

func (c *core) Submit(m *engine.Message) error {
	if c.room == 0 {
		return engine.ErrTooManyHeld
	}
	c.room--
	c.next++
	m.ID = c.next
	return nil
}
func (c *core) Withdraw(id control.MessageID) { c.withdrawn = append(c.withdrawn, id) }

func limits() Limits {
	return Limits{Conns: 2, Channels: 3, Bytes: 100, TenantBytes: 60, Messages: 10, BlockAt: 0.9, UnblockAt: 0.5}
}

func TestLimitsAreSharedByFrontends(t *testing.T) {
	d := New(limits(), 2, &core{room: 1})
	a, b := d.AddFrontend("a"), d.AddFrontend("b")
	if !a.AcquireConn() || !b.AcquireConn() || a.AcquireConn() || b.ConnsRefused.Load() != 0 || a.ConnsRefused.Load() != 1 {
		t.Error("connections are not bounded over fronts")
	}
	a.ReleaseConn()
	if !b.AcquireConn() {
		t.Error("room given back on one side is not there for the other")
	}
	if !a.AcquireChannel() || !b.AcquireChannel() || !b.AcquireChannel() || a.AcquireChannel() {
		t.Error("channels are not bounded over fronts")
	}
	x, y, z := a.NewReservation(0), b.NewReservation(0), b.NewReservation(1)
	if x.Reserve(50) != nil || !errors.Is(y.Reserve(20), ErrTenantFull) || z.Reserve(40) != nil || !errors.Is(z.Reserve(20), ErrBytesFull) {
		t.Error("bytes are not bounded by tenant and in all")
	}
	if !d.Blocked() {
		t.Error("90 of 100 bytes held, and nobody is asked to stop")
	}
	x.Withdraw()
	if d.Blocked() || d.Usage().Bytes != 40 {
		t.Errorf("at %+v", d.Usage())
	}
}

// A ticket ends once: its bytes and its place are given back once, whatever comes after.
func TestReservationEndsOnce(t *testing.T) {
	c := &core{room: 1}
	d := New(limits(), 1, c)
	s := d.AddFrontend("a")
	x, y := s.NewReservation(0), s.NewReservation(0)
	m := &engine.Message{}
	if x.Reserve(10) != nil || x.Submit(m) != nil || !errors.Is(y.Submit(&engine.Message{}), engine.ErrTooManyHeld) {
		t.Fatal("submit")
	}
	y.Reject()
	x.Withdraw()
	x.Complete(engine.Served, true)
	x.Withdraw()
	x.Reject()
	if u := d.Usage(); u.Messages != 0 || u.Bytes != 0 || len(c.withdrawn) != 1 || c.withdrawn[0] != m.ID {
		t.Errorf("%+v, withdrawn %v", u, c.withdrawn)
	}
	if s.Withdrawn.Load() != 1 || s.Rejected.Load() != 1 || s.Served.Load() != 0 || s.Accepted.Load() != 1 {
		t.Error("counts are wrong")
	}
}

// A shut door takes nothing new and says so to publishers; what it took before is not touched.
func TestSuspend(t *testing.T) {
	c := &core{room: 5}
	d := New(limits(), 1, c)
	s := d.AddFrontend("a")
	x, y := s.NewReservation(0), s.NewReservation(0)
	if err := x.Submit(&engine.Message{}); err != nil {
		t.Fatal(err)
	}
	reason := errors.New("no disk")
	d.Suspend(reason)
	if err := y.Submit(&engine.Message{}); !errors.Is(err, reason) || !s.Blocked() {
		t.Error("taken by a shut door:", err)
	}
	x.Complete(engine.Served, true)
	d.Suspend(nil)
	if err := y.Submit(&engine.Message{}); err != nil || s.Blocked() || s.Served.Load() != 1 {
		t.Error("not open again:", err)
	}
}

// The valve changes its mind only across the gap: at levels within it, it stays as it was.
func TestWatermarksHaveHysteresis(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := Watermarks{High: 0.9, Low: 0.7}
		was := false
		for _, level := range rapid.SliceOf(rapid.Float64Range(0, 1.2)).Draw(t, "levels") {
			is := v.Update(level)
			switch {
			case level >= 0.9 && !is, level <= 0.7 && is, level > 0.7 && level < 0.9 && is != was:
				t.Fatalf("level %v: from %v to %v", level, was, is)
			}
			was = is
		}
	})
}
