package admission

import (
	"errors"
	"sync"
	"sync/atomic"

	"whinrun/control"
	"whinrun/internal/engine"
)

// Reasons why something is not taken in. Nothing was held: trying again is harmless.
var (
	ErrBytesFull  = errors.New("too many bytes are held")
	ErrTenantFull = errors.New("too many bytes are held for this tenant")
)

// Limits of all fronts together.
type Limits struct {
	Conns       int   // client connections
	Channels    int   // channels on them, where the protocol has channels that cost memory
	Bytes       int64 // bytes of bodies, from their first byte until the answer
	TenantBytes int64 // of them, for one tenant
	Messages    int   // messages owed an answer, as the engine bounds them
	BlockAt     float64
	UnblockAt   float64 // publishers are asked to stop from one share of Bytes or Hold until the other
}

// Engine is what messages are handed to: the engine's loop.
type Engine interface {
	Submit(m *engine.Message) error
	Withdraw(id control.MessageID)
}

// Counters is what came of it all at one front.
type Counters struct {
	Conns, ConnsRefused, Malformed atomic.Int64 // connections taken, turned away, ended for what they sent
	Accepted, Rejected             atomic.Int64 // messages taken; turned away at the door
	Served, Refused, Failed        atomic.Int64 // final answers
	Withdrawn, Undelivered         atomic.Int64 // by their senders; answers that nobody was there to hear
}

// Controller is the one way in.
type Controller struct {
	limits  Limits
	core    Engine
	blocked atomic.Bool
	shut    atomic.Pointer[error]

	mu       sync.Mutex
	valve    Watermarks
	conns    int
	channels int
	held     int
	bytes    int64
	tenants  []int64
	sides    []*Frontend
}

// New makes a Door for so many tenants.
func New(l Limits, tenants int, core Engine) *Controller {
	return &Controller{limits: l, core: core, tenants: make([]int64, tenants), valve: Watermarks{High: l.BlockAt, Low: l.UnblockAt}}
}

// Suspend has no more messages taken, for the reason given, until it is called with nil. Those taken are not touched.
func (d *Controller) Suspend(reason error) {
	if reason == nil {
		d.shut.Store(nil)
		return
	}
	d.shut.Store(&reason)
}

// Side is one front's way through the door.
type Frontend struct {
	Name string
	Counters
	d *Controller
}

// Side adds a front.
func (d *Controller) AddFrontend(name string) *Frontend {
	s := &Frontend{Name: name, d: d}
	d.mu.Lock()
	d.sides = append(d.sides, s)
	d.mu.Unlock()
	return s
}

// Frontends returns all fronts, for their counts.
func (d *Controller) Frontends() []*Frontend {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sides[:len(d.sides):len(d.sides)]
}

// Usage is what is held now.
type Usage struct {
	Conns, Channels, Messages int
	Bytes                     int64
	Blocked                   bool
}

// Usage returns what is held now.
func (d *Controller) Usage() Usage {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Usage{d.conns, d.channels, d.held, d.bytes, d.Blocked()}
}

// Blocked tells whether publishers are to stop for a while: too much is held, or the door is shut.
func (d *Controller) Blocked() bool { return d.blocked.Load() || d.shut.Load() != nil }

// level is called with the lock held after every change.
func (d *Controller) level() {
	l := float64(d.bytes) / float64(max(1, d.limits.Bytes))
	if d.limits.Messages > 0 {
		l = max(l, float64(d.held)/float64(d.limits.Messages))
	}
	d.blocked.Store(d.valve.Update(l))
}

// AcquireConn asks for room for a connection.
func (s *Frontend) AcquireConn() bool {
	s.d.mu.Lock()
	defer s.d.mu.Unlock()
	if s.d.conns >= s.d.limits.Conns {
		s.ConnsRefused.Add(1)
		return false
	}
	s.d.conns++
	s.Conns.Add(1)
	return true
}

// crowdedAt is the part of the room for connections from which on idle ones are to go: the rest bears a burst until
// they have gone.
const crowdedAt = 0.75

// NearConnLimit tells whether so many connections are open that idle ones are to make room.
func (s *Frontend) NearConnLimit() bool {
	s.d.mu.Lock()
	defer s.d.mu.Unlock()
	return float64(s.d.conns) > crowdedAt*float64(s.d.limits.Conns)
}

// ReleaseConn gives a connection's room back.
func (s *Frontend) ReleaseConn() {
	s.d.mu.Lock()
	s.d.conns--
	s.d.mu.Unlock()
}

// AcquireChannel asks for room for a channel.
func (s *Frontend) AcquireChannel() bool {
	s.d.mu.Lock()
	defer s.d.mu.Unlock()
	if s.d.channels >= s.d.limits.Channels {
		return false
	}
	s.d.channels++
	return true
}

// ReleaseChannels gives the room of n channels back.
func (s *Frontend) ReleaseChannels(n int) {
	s.d.mu.Lock()
	s.d.channels -= n
	s.d.mu.Unlock()
}

// Blocked tells whether publishers are to stop for a while.
func (s *Frontend) Blocked() bool { return s.d.Blocked() }

// Ticket is one message's way through the door, from its first byte to its answer. It is used by one goroutine at a
// time. Each Ticket ends once, by Answered, Withdraw or Turn; ends after the first do nothing.
type Reservation struct {
	side   *Frontend
	tenant int
	bytes  int64
	id     control.MessageID
	taken  bool
	over   bool
}

// Ticket begins a message of a tenant.
func (s *Frontend) NewReservation(tenant int) Reservation {
	return Reservation{side: s, tenant: tenant}
}

// Reserve asks for room for n more bytes of its body.
func (t *Reservation) Reserve(n int) error {
	d := t.side.d
	d.mu.Lock()
	defer d.mu.Unlock()
	switch more := int64(n); {
	case d.bytes+more > d.limits.Bytes:
		return ErrBytesFull
	case d.limits.TenantBytes > 0 && d.tenants[t.tenant]+more > d.limits.TenantBytes:
		return ErrTenantFull
	default:
		d.bytes += more
		d.tenants[t.tenant] += more
		t.bytes += more
		d.level()
		return nil
	}
}

// Submit hands the whole message over. An error tells why it is not taken; the ticket is then still to be ended.
func (t *Reservation) Submit(m *engine.Message) error {
	d := t.side.d
	if reason := d.shut.Load(); reason != nil {
		return *reason
	}
	d.mu.Lock()
	d.held++ // before the engine can answer
	d.level()
	d.mu.Unlock()
	t.taken = true
	if err := d.core.Submit(m); err != nil {
		t.taken = false
		d.mu.Lock()
		d.held--
		d.level()
		d.mu.Unlock()
		return err
	}
	t.id = m.ID
	t.side.Accepted.Add(1)
	return nil
}

// Taken tells whether the message was handed over.
func (t *Reservation) Submitted() bool { return t.taken }

// Ended tells whether the ticket has ended.
func (t *Reservation) Ended() bool { return t.over }

// Complete ends the ticket of a message that has its final answer; heard tells whether its sender was there.
func (t *Reservation) Complete(f engine.AnswerKind, heard bool) {
	if !t.end() {
		return
	}
	switch f {
	case engine.Served:
		t.side.Served.Add(1)
	case engine.Refused:
		t.side.Refused.Add(1)
	default:
		t.side.Failed.Add(1)
	}
	if !heard {
		t.side.Undelivered.Add(1)
	}
}

// Withdraw ends the ticket of a message that nobody waits for: nothing new is sent for it.
func (t *Reservation) Withdraw() {
	if !t.end() {
		return
	}
	if t.taken {
		t.side.Withdrawn.Add(1)
		t.side.d.core.Withdraw(t.id)
	}
}

// Reject ends the ticket of a message that was not taken.
func (t *Reservation) Reject() {
	if t.end() {
		t.side.Rejected.Add(1)
	}
}

func (t *Reservation) end() bool {
	if t.over {
		return false
	}
	t.over = true
	d := t.side.d
	d.mu.Lock()
	d.bytes -= t.bytes
	d.tenants[t.tenant] -= t.bytes
	if t.taken {
		d.held--
	}
	d.level()
	d.mu.Unlock()
	return true
}
