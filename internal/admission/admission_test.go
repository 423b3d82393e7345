package admission

import (
	"errors"
	"testing"

	"pgregory.net/rapid"

	"whinrun/control"
	"whinrun/internal/engine"
)

// fakeEngine accepts capacity messages and then fails with engine.ErrTooManyHeld. It records withdrawn messages.
type fakeEngine struct {
	capacity  int
	withdrawn []control.MessageID
	next      control.MessageID
}

func (e *fakeEngine) Submit(m *engine.Message) error {
	if e.capacity == 0 {
		return engine.ErrTooManyHeld
	}
	e.capacity--
	e.next++
	m.ID = e.next
	return nil
}
func (e *fakeEngine) Withdraw(id control.MessageID) { e.withdrawn = append(e.withdrawn, id) }

func limits() Limits {
	return Limits{Conns: 2, Channels: 3, Bytes: 100, TenantBytes: 60, Messages: 10, BlockAt: 0.9, UnblockAt: 0.5}
}

func TestLimitsAreSharedByFrontends(t *testing.T) {
	controller := New(limits(), 2, &fakeEngine{capacity: 1})
	a, b := controller.AddFrontend("a"), controller.AddFrontend("b")
	if !a.AcquireConn() || !b.AcquireConn() || a.AcquireConn() || b.ConnsRefused.Load() != 0 || a.ConnsRefused.Load() != 1 {
		t.Error("the connection limit is not shared by the frontends")
	}
	a.ReleaseConn()
	if !b.AcquireConn() {
		t.Error("a connection released by one frontend is not available to the other")
	}
	if !a.AcquireChannel() || !b.AcquireChannel() || !b.AcquireChannel() || a.AcquireChannel() {
		t.Error("the channel limit is not shared by the frontends")
	}
	x, y, z := a.NewReservation(0), b.NewReservation(0), b.NewReservation(1)
	if x.Reserve(50) != nil || !errors.Is(y.Reserve(20), ErrTenantFull) || z.Reserve(40) != nil || !errors.Is(z.Reserve(20), ErrBytesFull) {
		t.Error("bytes are not limited per tenant and in total")
	}
	if !controller.Blocked() {
		t.Error("90 of 100 bytes reserved, and publishers are not blocked")
	}
	x.Withdraw()
	if controller.Blocked() || controller.Usage().Bytes != 40 {
		t.Errorf("after the withdrawal: usage %+v", controller.Usage())
	}
}

// Guards against releasing the bytes or the message of a reservation twice: Complete, Withdraw and Reject after the
// first of them must do nothing.
func TestReservationEndsOnce(t *testing.T) {
	e := &fakeEngine{capacity: 1}
	controller := New(limits(), 1, e)
	f := controller.AddFrontend("a")
	x, y := f.NewReservation(0), f.NewReservation(0)
	m := &engine.Message{}
	if x.Reserve(10) != nil || x.Submit(m) != nil || !errors.Is(y.Submit(&engine.Message{}), engine.ErrTooManyHeld) {
		t.Fatal("the first message must be accepted, the second rejected by the engine")
	}
	y.Reject()
	x.Withdraw()
	x.Complete(engine.Served, true)
	x.Withdraw()
	x.Reject()
	if u := controller.Usage(); u.Messages != 0 || u.Bytes != 0 || len(e.withdrawn) != 1 || e.withdrawn[0] != m.ID {
		t.Errorf("%+v, withdrawn %v", u, e.withdrawn)
	}
	if f.Withdrawn.Load() != 1 || f.Rejected.Load() != 1 || f.Served.Load() != 0 || f.Accepted.Load() != 1 {
		t.Error("wrong counters")
	}
}

// While admission is suspended, new messages fail with the given reason and publishers are blocked. Messages accepted
// before complete as usual.
func TestSuspend(t *testing.T) {
	e := &fakeEngine{capacity: 5}
	controller := New(limits(), 1, e)
	f := controller.AddFrontend("a")
	x, y := f.NewReservation(0), f.NewReservation(0)
	if err := x.Submit(&engine.Message{}); err != nil {
		t.Fatal(err)
	}
	reason := errors.New("no disk")
	controller.Suspend(reason)
	if err := y.Submit(&engine.Message{}); !errors.Is(err, reason) || !f.Blocked() {
		t.Error("submitted while admission is suspended:", err)
	}
	x.Complete(engine.Served, true)
	controller.Suspend(nil)
	if err := y.Submit(&engine.Message{}); err != nil || f.Blocked() || f.Served.Load() != 1 {
		t.Error("not accepted after admission was resumed:", err)
	}
}

// Between Low and High, the state must not change.
func TestWatermarksHaveHysteresis(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := Watermarks{High: 0.9, Low: 0.7}
		was := false
		for _, level := range rapid.SliceOf(rapid.Float64Range(0, 1.2)).Draw(t, "levels") {
			is := w.Update(level)
			switch {
			case level >= 0.9 && !is, level <= 0.7 && is, level > 0.7 && level < 0.9 && is != was:
				t.Fatalf("level %v: from %v to %v", level, was, is)
			}
			was = is
		}
	})
}

// A body reserves what it allocates, however it comes and whatever was announced, and no more than twice what has come.
func TestAppendBodyReservesWhatItAllocates(t *testing.T) {
	for name, c := range map[string]struct{ size, part, parts int }{
		"announced, in parts":        {240_000, 16_000, 15},
		"announced, little of it":    {240_000, 100, 1},
		"not announced":              {-1, 3000, 40},
		"whole":                      {700, 700, 1},
		"announced, last part small": {64_001, 16_000, 4},
	} {
		t.Run(name, func(t *testing.T) {
			controller := New(Limits{Bytes: 1 << 20}, 1, nil)
			r := controller.AddFrontend("f").NewReservation(0)
			var body []byte
			var err error
			for range c.parts {
				if body, err = r.AppendBody(body, make([]byte, c.part), c.size); err != nil {
					t.Fatal(err)
				}
				reserved := int(controller.Usage().Bytes)
				// The allocator may round up a size by an eighth.
				if reserved < cap(body)*8/9 || reserved > max(2*len(body), minBodyBuffer) {
					t.Errorf("%d bytes reserved for %d of %d", reserved, len(body), cap(body))
				}
			}
			if len(body) != c.part*c.parts {
				t.Errorf("%d bytes", len(body))
			}
		})
	}
	controller := New(Limits{Bytes: 8_000}, 1, nil)
	r := controller.AddFrontend("f").NewReservation(0)
	body, err := r.AppendBody(nil, make([]byte, 5000), -1)
	if err != nil {
		t.Fatal(err)
	}
	if again, err := r.AppendBody(body, make([]byte, 5000), -1); !errors.Is(err, ErrBytesFull) || len(again) != 5000 || controller.Usage().Bytes != 5000 {
		t.Errorf("%d bytes, %v, in use %+v", len(again), err, controller.Usage())
	}
}
