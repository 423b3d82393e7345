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
	limits    Limits
	engine    Engine
	blocked   atomic.Bool
	suspended atomic.Pointer[error]

	mu         sync.Mutex
	watermarks Watermarks
	conns      int
	channels   int
	messages   int
	bytes      int64
	tenants    []int64
	frontends  []*Frontend
}

// New makes a Door for so many tenants.
func New(l Limits, tenants int, e Engine) *Controller {
	return &Controller{limits: l, engine: e, tenants: make([]int64, tenants), watermarks: Watermarks{High: l.BlockAt, Low: l.UnblockAt}}
}

// Suspend has no more messages taken, for the reason given, until it is called with nil. Those taken are not touched.
func (c *Controller) Suspend(reason error) {
	if reason == nil {
		c.suspended.Store(nil)
		return
	}
	c.suspended.Store(&reason)
}

// Side is one front's way through the door.
type Frontend struct {
	Name string
	Counters
	controller *Controller
}

// Side adds a front.
func (c *Controller) AddFrontend(name string) *Frontend {
	f := &Frontend{Name: name, controller: c}
	c.mu.Lock()
	c.frontends = append(c.frontends, f)
	c.mu.Unlock()
	return f
}

// Frontends returns all fronts, for their counts.
func (c *Controller) Frontends() []*Frontend {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.frontends[:len(c.frontends):len(c.frontends)]
}

// Usage is what is held now.
type Usage struct {
	Conns, Channels, Messages int
	Bytes                     int64
	Blocked                   bool
}

// Usage returns what is held now.
func (c *Controller) Usage() Usage {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Usage{c.conns, c.channels, c.messages, c.bytes, c.Blocked()}
}

// Blocked tells whether publishers are to stop for a while: too much is held, or the door is shut.
func (c *Controller) Blocked() bool { return c.blocked.Load() || c.suspended.Load() != nil }

// updateBlocked is called with the lock held after every change.
func (c *Controller) updateBlocked() {
	level := float64(c.bytes) / float64(max(1, c.limits.Bytes))
	if c.limits.Messages > 0 {
		level = max(level, float64(c.messages)/float64(c.limits.Messages))
	}
	c.blocked.Store(c.watermarks.Update(level))
}

// AcquireConn asks for room for a connection.
func (f *Frontend) AcquireConn() bool {
	f.controller.mu.Lock()
	defer f.controller.mu.Unlock()
	if f.controller.conns >= f.controller.limits.Conns {
		f.ConnsRefused.Add(1)
		return false
	}
	f.controller.conns++
	f.Conns.Add(1)
	return true
}

// idleEvictionShare is the part of the room for connections from which on idle ones are to go: the rest bears a burst until
// they have gone.
const idleEvictionShare = 0.75

// NearConnLimit tells whether so many connections are open that idle ones are to make room.
func (f *Frontend) NearConnLimit() bool {
	f.controller.mu.Lock()
	defer f.controller.mu.Unlock()
	return float64(f.controller.conns) > idleEvictionShare*float64(f.controller.limits.Conns)
}

// ReleaseConn gives a connection's room back.
func (f *Frontend) ReleaseConn() {
	f.controller.mu.Lock()
	f.controller.conns--
	f.controller.mu.Unlock()
}

// AcquireChannel asks for room for a channel.
func (f *Frontend) AcquireChannel() bool {
	f.controller.mu.Lock()
	defer f.controller.mu.Unlock()
	if f.controller.channels >= f.controller.limits.Channels {
		return false
	}
	f.controller.channels++
	return true
}

// ReleaseChannels gives the room of n channels back.
func (f *Frontend) ReleaseChannels(n int) {
	f.controller.mu.Lock()
	f.controller.channels -= n
	f.controller.mu.Unlock()
}

// Blocked tells whether publishers are to stop for a while.
func (f *Frontend) Blocked() bool { return f.controller.Blocked() }

// Ticket is one message's way through the door, from its first byte to its answer. It is used by one goroutine at a
// time. Each Ticket ends once, by Answered, Withdraw or Turn; ends after the first do nothing.
type Reservation struct {
	frontend  *Frontend
	tenant    int
	bytes     int64
	id        control.MessageID
	submitted bool
	ended     bool
}

// Ticket begins a message of a tenant.
func (f *Frontend) NewReservation(tenant int) Reservation {
	return Reservation{frontend: f, tenant: tenant}
}

// Reserve asks for room for n more bytes of its body.
func (r *Reservation) Reserve(n int) error {
	c := r.frontend.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	switch more := int64(n); {
	case c.bytes+more > c.limits.Bytes:
		return ErrBytesFull
	case c.limits.TenantBytes > 0 && c.tenants[r.tenant]+more > c.limits.TenantBytes:
		return ErrTenantFull
	default:
		c.bytes += more
		c.tenants[r.tenant] += more
		r.bytes += more
		c.updateBlocked()
		return nil
	}
}

// Submit hands the whole message over. An error tells why it is not taken; the ticket is then still to be ended.
func (r *Reservation) Submit(m *engine.Message) error {
	c := r.frontend.controller
	if reason := c.suspended.Load(); reason != nil {
		return *reason
	}
	c.mu.Lock()
	c.messages++ // before the engine can answer
	c.updateBlocked()
	c.mu.Unlock()
	r.submitted = true
	if err := c.engine.Submit(m); err != nil {
		r.submitted = false
		c.mu.Lock()
		c.messages--
		c.updateBlocked()
		c.mu.Unlock()
		return err
	}
	r.id = m.ID
	r.frontend.Accepted.Add(1)
	return nil
}

// Taken tells whether the message was handed over.
func (r *Reservation) Submitted() bool { return r.submitted }

// Ended tells whether the ticket has ended.
func (r *Reservation) Ended() bool { return r.ended }

// Complete ends the ticket of a message that has its final answer; heard tells whether its sender was there.
func (r *Reservation) Complete(outcome engine.Final, delivered bool) {
	if !r.release() {
		return
	}
	switch outcome {
	case engine.Served:
		r.frontend.Served.Add(1)
	case engine.Refused:
		r.frontend.Refused.Add(1)
	default:
		r.frontend.Failed.Add(1)
	}
	if !delivered {
		r.frontend.Undelivered.Add(1)
	}
}

// Withdraw ends the ticket of a message that nobody waits for: nothing new is sent for it.
func (r *Reservation) Withdraw() {
	if !r.release() {
		return
	}
	if r.submitted {
		r.frontend.Withdrawn.Add(1)
		r.frontend.controller.engine.Withdraw(r.id)
	}
}

// Reject ends the ticket of a message that was not taken.
func (r *Reservation) Reject() {
	if r.release() {
		r.frontend.Rejected.Add(1)
	}
}

func (r *Reservation) release() bool {
	if r.ended {
		return false
	}
	r.ended = true
	c := r.frontend.controller
	c.mu.Lock()
	c.bytes -= r.bytes
	c.tenants[r.tenant] -= r.bytes
	if r.submitted {
		c.messages--
	}
	c.updateBlocked()
	c.mu.Unlock()
	return true
}
