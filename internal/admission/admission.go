// Package admission limits the load that all frontends of the process take in together: connections, channels, buffered
// body bytes, bytes per tenant, and messages in flight. It counts outcomes per frontend and decides when publishers are
// asked to pause (backpressure). It does no I/O and reads no clock.
package admission

import (
	"errors"
	"sync"
	"sync/atomic"

	"whinrun/control"
	"whinrun/internal/engine"
)

// Errors of Reservation.Reserve. No bytes are reserved when one is returned, so the client may safely retry.
var (
	// ErrBytesFull reports that the limit on body bytes of the whole process is reached.
	ErrBytesFull = errors.New("too many bytes are held")
	// ErrTenantFull reports that the limit on body bytes of one tenant is reached.
	ErrTenantFull = errors.New("too many bytes are held for this tenant")
)

// Limits holds the limits that all frontends share.
type Limits struct {
	// Conns is the maximum number of client connections.
	Conns int
	// Channels is the maximum number of channels on those connections. It applies to protocols whose channels cost memory.
	Channels int
	// Bytes is the maximum number of body bytes that are buffered. A body counts from its first byte until its answer.
	Bytes int64
	// TenantBytes is the part of Bytes that one tenant may use. 0 means no limit per tenant.
	TenantBytes int64
	// Messages is the number of messages in flight that the engine accepts. The controller uses it only to compute the
	// backpressure level. The engine enforces the limit. 0 leaves messages out of the level.
	Messages int
	// BlockAt is the used share of Bytes or Messages, from 0 to 1, at which publishers are asked to pause.
	BlockAt float64
	// UnblockAt is the used share at which publishers may resume.
	UnblockAt float64
}

// Engine accepts the admitted messages. The engine's loop implements it.
type Engine interface {
	// Submit hands a message over and sets its ID. An error means that the message was not accepted.
	Submit(m *engine.Message) error
	// Withdraw cancels a message that was submitted.
	Withdraw(id control.MessageID)
}

// Counters counts the connections, messages and answers of one frontend since its start.
type Counters struct {
	// Conns counts accepted connections, ConnsRefused those closed because of the connection limit, and Malformed those
	// closed because of a protocol error.
	Conns, ConnsRefused, Malformed atomic.Int64
	// Accepted counts messages that the engine accepted. Rejected counts messages that were turned away before that.
	Accepted, Rejected atomic.Int64
	// Served, Refused and Failed count final answers by their outcome.
	Served, Refused, Failed atomic.Int64
	// Withdrawn counts messages that their clients cancelled. Undelivered counts final answers whose client was gone.
	Withdrawn, Undelivered atomic.Int64
}

// Controller enforces the limits that all frontends share. All messages enter through it. Its methods may be called
// from any goroutine.
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

// New returns a Controller for the given number of tenants. Tenants are numbered from 0.
func New(l Limits, tenants int, e Engine) *Controller {
	return &Controller{limits: l, engine: e, tenants: make([]int64, tenants), watermarks: Watermarks{High: l.BlockAt, Low: l.UnblockAt}}
}

// Suspend makes Reservation.Submit fail with reason until Suspend is called with nil. Messages accepted before are not
// affected.
func (c *Controller) Suspend(reason error) {
	if reason == nil {
		c.suspended.Store(nil)
		return
	}
	c.suspended.Store(&reason)
}

// Frontend is the view that one frontend has of the controller, with its own counters.
type Frontend struct {
	// Name identifies the frontend in reports.
	Name string
	Counters
	controller *Controller
}

// AddFrontend registers a frontend under a name.
func (c *Controller) AddFrontend(name string) *Frontend {
	f := &Frontend{Name: name, controller: c}
	c.mu.Lock()
	c.frontends = append(c.frontends, f)
	c.mu.Unlock()
	return f
}

// Frontends returns all registered frontends, so that their counters can be read.
func (c *Controller) Frontends() []*Frontend {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.frontends[:len(c.frontends):len(c.frontends)]
}

// Usage is a snapshot of the connections, channels, messages and body bytes in use, and of the backpressure state.
type Usage struct {
	Conns, Channels, Messages int
	Bytes                     int64
	Blocked                   bool
}

// Usage returns the current usage of all frontends together.
func (c *Controller) Usage() Usage {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Usage{c.conns, c.channels, c.messages, c.bytes, c.Blocked()}
}

// Blocked reports whether publishers are asked to pause. They are from the moment the level reaches BlockAt until it
// falls to UnblockAt, and while admission is suspended.
func (c *Controller) Blocked() bool { return c.blocked.Load() || c.suspended.Load() != nil }

// updateBlocked recomputes the backpressure state after a change of bytes or messages. The caller holds mu.
func (c *Controller) updateBlocked() {
	level := float64(c.bytes) / float64(max(1, c.limits.Bytes))
	if c.limits.Messages > 0 {
		level = max(level, float64(c.messages)/float64(c.limits.Messages))
	}
	c.blocked.Store(c.watermarks.Update(level))
}

// AcquireConn counts a new connection. It returns false if the connection limit is reached.
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

// idleEvictionShare is the share of the connection limit above which idle connections are closed. The remaining quarter
// absorbs a burst of new connections until the idle ones are closed.
const idleEvictionShare = 0.75

// NearConnLimit reports whether so many connections are open that idle ones should be closed.
func (f *Frontend) NearConnLimit() bool {
	f.controller.mu.Lock()
	defer f.controller.mu.Unlock()
	return float64(f.controller.conns) > idleEvictionShare*float64(f.controller.limits.Conns)
}

// ReleaseConn undoes a successful AcquireConn when the connection has ended.
func (f *Frontend) ReleaseConn() {
	f.controller.mu.Lock()
	f.controller.conns--
	f.controller.mu.Unlock()
}

// AcquireChannel counts a new channel. It returns false if the channel limit is reached.
func (f *Frontend) AcquireChannel() bool {
	f.controller.mu.Lock()
	defer f.controller.mu.Unlock()
	if f.controller.channels >= f.controller.limits.Channels {
		return false
	}
	f.controller.channels++
	return true
}

// ReleaseChannels undoes n successful calls of AcquireChannel.
func (f *Frontend) ReleaseChannels(n int) {
	f.controller.mu.Lock()
	f.controller.channels -= n
	f.controller.mu.Unlock()
}

// Blocked reports whether publishers are asked to pause; see Controller.Blocked.
func (f *Frontend) Blocked() bool { return f.controller.Blocked() }

// Reservation accounts for one message from its first body byte to its final answer. It may be used by one goroutine at
// a time. It ends once, by Complete, Withdraw or Reject, and then releases what it holds. Later calls of these three
// methods do nothing.
type Reservation struct {
	frontend *Frontend
	tenant   int
	bytes    int64
	// overhead is the part of bytes that is reserved until the message is complete.
	overhead  int
	id        control.MessageID
	submitted bool
	ended     bool
}

// NewReservation starts the accounting of a message of a tenant. It holds no bytes yet.
func (f *Frontend) NewReservation(tenant int) Reservation {
	return Reservation{frontend: f, tenant: tenant}
}

// Reserve reserves n more bytes. It returns ErrBytesFull or ErrTenantFull if a limit does not allow that. A negative n gives bytes back.
func (r *Reservation) Reserve(n int) error {
	c := r.frontend.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	switch more := int64(n); {
	case more > 0 && c.bytes+more > c.limits.Bytes:
		return ErrBytesFull
	case more > 0 && c.limits.TenantBytes > 0 && c.tenants[r.tenant]+more > c.limits.TenantBytes:
		return ErrTenantFull
	default:
		c.bytes += more
		c.tenants[r.tenant] += more
		r.bytes += more
		c.updateBlocked()
		return nil
	}
}

// minBodyBuffer is the smallest buffer for a body that comes in parts, in bytes.
const minBodyBuffer = 4 << 10

// incompleteOverhead is reserved for a message that has begun and is not complete, in bytes, for what is kept of it beside its strings.
// Complete messages are limited by their number.
const incompleteOverhead = 1 << 10

// Begin reserves what a message needs whose head has come: incompleteOverhead until the message is complete, and headSize bytes for
// what is kept of its head. Errors are those of Reserve.
func (r *Reservation) Begin(headSize int) error {
	if err := r.Reserve(incompleteOverhead + headSize); err != nil {
		return err
	}
	r.overhead = incompleteOverhead
	return nil
}

// AppendBody appends a part to a body and reserves what that allocates. size is the size of the whole body, or -1 if it is not known.
// The buffer doubles, up to size: a client that announces a large body and sends little of it gets no large buffer. Errors are
// those of Reserve.
func (r *Reservation) AppendBody(body, part []byte, size int) ([]byte, error) {
	length := len(body) + len(part)
	overhead := 0
	if length == size {
		overhead = r.overhead
	}
	capacity := cap(body)
	if length > capacity {
		capacity = bodyCapacity(length, capacity, size)
	}
	if more := capacity - cap(body) - overhead; more != 0 {
		if err := r.Reserve(more); err != nil {
			return body, err
		}
	}
	r.overhead -= overhead
	if length <= cap(body) {
		return append(body, part...), nil
	}
	grown := make([]byte, len(body), capacity)
	copy(grown, body)
	return append(grown, part...), nil
}

// bodyCapacity returns the capacity of the next buffer for a body of which length bytes have come, behind one with a smaller capacity.
func bodyCapacity(length, capacity, size int) int {
	next := length
	if length != size {
		next = max(length, 2*capacity, minBodyBuffer)
	}
	if size >= length {
		next = min(next, size)
	}
	return next
}

// endOverhead gives back what is reserved for a message because it is not complete.
func (r *Reservation) endOverhead() {
	if r.overhead > 0 {
		_ = r.Reserve(-r.overhead) // Giving back does not fail.
		r.overhead = 0
	}
}

// Submit hands the complete message to the engine. It fails with the reason given to Suspend or with the engine's error.
// The message is then not accepted, and the caller still has to end the reservation.
func (r *Reservation) Submit(m *engine.Message) error {
	r.endOverhead()
	c := r.frontend.controller
	if reason := c.suspended.Load(); reason != nil {
		return *reason
	}
	c.mu.Lock()
	// The message counts before Submit, because the engine may answer before Submit returns.
	c.messages++
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

// Submitted reports whether the engine accepted the message.
func (r *Reservation) Submitted() bool { return r.submitted }

// Ended reports whether the reservation has ended.
func (r *Reservation) Ended() bool { return r.ended }

// Complete ends the reservation of a message that has its final answer. delivered tells whether the client was still
// there to receive the answer.
func (r *Reservation) Complete(outcome engine.AnswerKind, delivered bool) {
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

// Withdraw ends the reservation of a message whose client no longer waits. If the message was submitted, the engine is
// told to start no new attempt for it.
func (r *Reservation) Withdraw() {
	if !r.release() {
		return
	}
	if r.submitted {
		r.frontend.Withdrawn.Add(1)
		r.frontend.controller.engine.Withdraw(r.id)
	}
}

// Reject ends the reservation of a message that was not accepted and counts it as rejected.
func (r *Reservation) Reject() {
	if r.release() {
		r.frontend.Rejected.Add(1)
	}
}

// release returns the bytes and the message to the controller. It returns false if the reservation had already ended.
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
