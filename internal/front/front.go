// Package front is the frontend for client connections. It runs the connections of all client protocols on event loops. A
// Session implements the protocol of one connection. The package implements what all protocols share: listening,
// connection limits, tasks that other goroutines post (such as final answers from the engine), time limits, clients that
// do not read their answers, and the orderly close. It makes no decisions about messages.
package front

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"whinrun/internal/admission"
	"whinrun/internal/clock"
	"whinrun/internal/eventloop"
)

// Session is the protocol of one client connection. Its methods are called on the connection's event loop only. ConnClosed
// is the last call and may come while the engine stops.
type Session interface {
	// Receive processes input. It must not keep b after it returns. An error ends the connection after Output is written.
	Receive(now time.Duration, b []byte) error
	// Check enforces time limits and tells the client when publishers are blocked or may resume. It is called after
	// Receive, after posted tasks, and when the time that NextCheck returned has come. An error ends the connection.
	Check(now time.Duration) error
	// NextCheck returns the time by which Check must be called, or 0 if there is none.
	NextCheck(now time.Duration) time.Duration
	// GoAway tells the client that no new messages are accepted. Answers are still sent. It may be called repeatedly.
	GoAway(now time.Duration)
	// Finish starts the orderly close, after all answers have been given. It may be called repeatedly.
	Finish(now time.Duration)
	// Output returns the bytes to be written and removes them from the session.
	Output() []byte
	// Pending reports whether something has to be sent or received before the connection may be closed at shutdown.
	Pending() bool
	// Done reports whether the orderly close is complete, so that the connection may be closed.
	Done() bool
	// ConnClosed tells the session that the connection is gone or that the session has ended.
	ConnClosed()
}

// Idler is an optional interface of a Session. Its connection may be closed while it is idle, to make room for others.
type Idler interface {
	// Idle returns the time since which nothing is in progress. ok is false while something is.
	Idle() (since time.Duration, ok bool)
}

// ReadPauser is an optional interface of a Session that applies backpressure. While Full returns true, nothing is read
// from its connection.
type ReadPauser interface{ Full() bool }

// Task is work for a session that another goroutine posts. For each task that Conn.Post accepts, either Run or Drop is
// called, once.
type Task interface {
	// Run runs the task on the connection's event loop.
	Run(now time.Duration)
	// Drop tells the task that it will not run because the connection is gone or its session has ended.
	Drop()
}

// Config configures one Front.
type Config struct {
	// Address is the listening address as host:port. Port 0 selects a free port.
	Address string
	// Loops is the number of event loops, at least one.
	Loops int
	// MaxUnread is the maximum number of output bytes that a client may leave unread, beyond those that the kernel buffers.
	// Above it, the connection is closed.
	MaxUnread int
	// Trace is called for each connection that is turned away or closed. It may be nil.
	Trace func(format string, a ...any)
	// System makes the system calls. nil selects the kernel's.
	System eventloop.System
}

// tickInterval is how often the time limits of connections are checked.
const tickInterval = 100 * time.Millisecond

// Front serves the connections of one listening address.
type Front struct {
	cfg        Config
	frontend   *admission.Frontend
	clock      clock.Clock
	log        func(text string)
	newSession func(c *Conn, now time.Duration) Session

	loops *eventloop.Group

	mu    sync.Mutex
	conns map[*Conn]struct{}

	// goingAway makes Ready call Session.GoAway, and finishing makes it call Session.Finish.
	goingAway, finishing atomic.Bool
	// lastBlocked is the backpressure state at the last tick. Only Tick uses it.
	lastBlocked bool
}

// Conn is one client connection.
type Conn struct {
	front    *Front
	loopConn *eventloop.Conn
	session  Session
	// closing is the state of the close. After its end, the session is not called any more, except for Pending.
	closing lingeringClose

	// mu guards inbox and closed.
	mu sync.Mutex
	// inbox holds posted tasks that have not run yet.
	inbox []Task
	// closed is set when no more tasks are accepted.
	closed bool
	// pending is set while something has to be sent or received before the connection may be closed at shutdown.
	pending atomic.Bool
	// nextCheck is the time in nanoseconds at which Tick wakes the connection, or 0.
	nextCheck atomic.Int64
	// idleSince is the time in nanoseconds since which the connection is idle, or 0 while it is not.
	idleSince atomic.Int64
	// evictRequested makes the connection close if it is idle.
	evictRequested atomic.Bool
}

// New listens on cfg.Address and serves connections. newSession returns the session of a new connection. frontend limits
// and counts connections. log receives lines for operators. The error is that of starting the event loops or of listening.
func New(cfg Config, frontend *admission.Frontend, clock clock.Clock, log func(string), newSession func(*Conn, time.Duration) Session) (*Front, error) {
	f := &Front{cfg: cfg, frontend: frontend, clock: clock, log: log, newSession: newSession, conns: map[*Conn]struct{}{}}
	if f.cfg.Trace == nil {
		f.cfg.Trace = func(string, ...any) {}
	}
	var err error
	if f.loops, err = eventloop.New(eventloop.Config{Loops: cfg.Loops, TickInterval: tickInterval, System: cfg.System, Log: log}, f, clock); err != nil {
		return nil, fmt.Errorf("front: %w", err)
	}
	if err := f.loops.Listen(cfg.Address); err != nil {
		f.loops.Stop()
		return nil, err
	}
	f.loops.Start()
	return f, nil
}

// Addr returns the address that the Front listens on.
func (f *Front) Addr() net.Addr { return net.TCPAddrFromAddrPort(f.loops.Addr()) }

// GoAway tells all clients that no new messages are accepted. Answers are still sent.
func (f *Front) GoAway() {
	f.goingAway.Store(true)
	f.forEachConn(func(c *Conn) { c.wake() })
}

// forEachConn calls do for every open connection while it holds f.mu.
func (f *Front) forEachConn(do func(*Conn)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		do(c)
	}
}

// Flush starts the orderly close of all sessions and waits until everything is sent or ctx ends. It is called when all
// answers have been given. It returns the number of connections that still have something to send or receive.
func (f *Front) Flush(ctx context.Context) (remaining int) {
	f.finishing.Store(true)
	f.forEachConn(func(c *Conn) { c.wake() })
	for {
		remaining = 0
		f.forEachConn(func(c *Conn) {
			if c.hasPending() {
				remaining++
				c.wake()
			}
		})
		if remaining == 0 {
			return 0
		}
		select {
		case <-ctx.Done():
			return remaining
		case <-time.After(2 * time.Millisecond):
		}
	}
}

// hasPending reports whether the connection has tasks that did not run, output that is not sent, or a peer that has not
// answered the orderly close. A session stops counting a message as pending only after its answer is written, so pending
// also covers answers that the event loop has not processed yet.
func (c *Conn) hasPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.inbox) > 0 || c.pending.Load()
}

// StopAccepting closes the listening socket. Open connections are not affected.
func (f *Front) StopAccepting() { f.loops.StopAccepting() }

// Close stops accepting connections, closes those that are open, and stops the event loops.
func (f *Front) Close() {
	f.loops.StopAccepting()
	f.loops.Stop()
}

// elapsed returns the time on the monotonic clock that sessions are given.
func (f *Front) elapsed() time.Duration { return clock.Elapsed(f.clock) }

// Opened implements eventloop.Handler. It starts a session, or closes the connection if the connection limit is reached.
func (f *Front) Opened(loopConn *eventloop.Conn) {
	if !f.frontend.AcquireConn() {
		f.cfg.Trace("client %v: turned away, too many connections", loopConn.Peer())
		loopConn.Close()
		return
	}
	c := &Conn{front: f, loopConn: loopConn}
	now := f.elapsed()
	c.session = f.newSession(c, now)
	c.pending.Store(true)
	f.mu.Lock()
	f.conns[c] = struct{}{}
	f.mu.Unlock()
	loopConn.Context = c
	c.nextCheck.Store(int64(c.session.NextCheck(now)))
	c.updateIdle()
	if f.frontend.NearConnLimit() {
		f.evictLongestIdle(c)
	}
	loopConn.Write(c.session.Output())
}

// DialFailed implements eventloop.Handler. It is never called because a Front dials no connections.
func (f *Front) DialFailed(any, error) {}

// evictLongestIdle closes the connection that has been idle longest. It guards against clients that open many connections
// and send nothing on them: they must not lock out other clients.
func (f *Front) evictLongestIdle(except *Conn) {
	var longest *Conn
	f.forEachConn(func(c *Conn) {
		since := c.idleSince.Load()
		if c != except && since > 0 && !c.evictRequested.Load() && (longest == nil || since < longest.idleSince.Load()) {
			longest = c
		}
	})
	if longest != nil {
		longest.evictRequested.Store(true)
		longest.wake()
	}
}

// updateIdle records whether the session is idle and since when.
func (c *Conn) updateIdle() {
	since := time.Duration(0)
	if s, ok := c.session.(Idler); ok {
		if at, idle := s.Idle(); idle {
			since = max(at, 1)
		}
	}
	c.idleSince.Store(int64(since))
}

// Closed implements eventloop.Handler. It ends the session and drops the tasks that were posted to it.
func (f *Front) Closed(loopConn *eventloop.Conn, err error) {
	c, ok := loopConn.Context.(*Conn)
	if !ok { // the connection was turned away by Opened
		return
	}
	f.cfg.Trace("client %v: connection closed: ended in order %v, something owed %v, error %v", loopConn.Peer(), c.closing.ended, c.session.Pending(), err)
	f.mu.Lock()
	delete(f.conns, c)
	f.mu.Unlock()
	f.frontend.ReleaseConn()
	c.endSession(f.elapsed())
}

// endSession ends the session when its protocol or its connection has ended. Later calls do nothing. It does not close the
// socket: the event loop does that when lingeringClose tells it to.
func (c *Conn) endSession(now time.Duration) {
	if c.closing.ended {
		return
	}
	c.closing.end(now)
	c.loopConn.PauseReading(false)
	c.mu.Lock()
	dropped := c.inbox
	c.inbox, c.closed = nil, true
	c.mu.Unlock()
	for _, task := range dropped {
		task.Drop()
	}
	c.session.ConnClosed()
	c.pending.Store(true) // Flush waits until the connection is closed
	if c.idleSince.Load() == 0 {
		c.idleSince.Store(int64(now))
	}
}

// Post queues a task to run on the connection's event loop. It may be called from any goroutine and does not block. It
// returns false if the connection is gone. The task is then neither run nor dropped, and stays with the caller.
func (c *Conn) Post(task Task) bool {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return false
	}
	c.inbox = append(c.inbox, task)
	first := len(c.inbox) == 1
	c.mu.Unlock()
	if first {
		c.wake()
	}
	return true
}

// wake makes the event loop call Ready soon.
func (c *Conn) wake() { c.loopConn.Wake() }

// Peer returns the address of the client, for logs.
func (c *Conn) Peer() string { return c.loopConn.Peer().String() }

// Log writes a log line that names the client.
func (c *Conn) Log(format string, a ...any) {
	c.front.log(fmt.Sprintf("client %s: %s", c.Peer(), fmt.Sprintf(format, a...)))
}

// Ready implements eventloop.Handler. It passes input to the session, runs posted tasks, checks time limits and writes
// output.
func (f *Front) Ready(loopConn *eventloop.Conn) {
	c, ok := loopConn.Context.(*Conn)
	if !ok {
		return
	}
	now := f.elapsed()
	in := loopConn.Inbound()
	if c.closing.ended {
		c.closing.addDiscarded(len(in)) // input after the end is discarded
		c.advanceClose(now)
		return
	}
	if len(in) > 0 {
		if err := c.session.Receive(now, in); err != nil {
			c.fail(now, err)
			return
		}
	}
	c.mu.Lock()
	inbox := c.inbox
	c.inbox = nil
	c.mu.Unlock()
	for _, task := range inbox {
		task.Run(now)
	}
	if f.goingAway.Load() {
		c.session.GoAway(now)
	}
	if f.finishing.Load() {
		c.session.Finish(now)
	}
	if err := c.session.Check(now); err != nil {
		c.fail(now, err)
		return
	}
	c.flush(now)
}

// flush writes the session's output, updates the state that other goroutines read, and closes the connection if the client
// reads too slowly, if it has to make room for others, or if the session is done.
func (c *Conn) flush(now time.Duration) {
	c.loopConn.Write(c.session.Output()) // a failed write is reported by Closed
	if s, ok := c.session.(ReadPauser); ok {
		c.loopConn.PauseReading(s.Full())
	}
	unsent := c.loopConn.Unsent()
	c.pending.Store(unsent > 0 || c.session.Pending())
	c.nextCheck.Store(int64(c.session.NextCheck(now)))
	c.updateIdle()
	switch {
	case unsent > c.front.cfg.MaxUnread: // a client that does not read must not consume memory
		c.Log("reads no answers: closed with %d bytes unread", unsent)
		c.loopConn.Close()
	case c.evictRequested.Swap(false) && c.idleSince.Load() > 0 && unsent == 0: // evict only when the kernel has taken all output
		c.loopConn.Close()
	case c.session.Done():
		c.endSession(now)
		c.advanceClose(now)
	}
}

// advanceClose carries out the next step of the lingering close. A connection that has to make room for others is closed
// without waiting.
func (c *Conn) advanceClose(now time.Duration) {
	switch c.closing.next(now, c.loopConn.Unsent()) {
	case actionClose:
		c.loopConn.Close()
		return
	case actionCloseWrite:
		if !c.loopConn.CloseWrite() {
			c.loopConn.Close()
			return
		}
	}
	if c.evictRequested.Swap(false) {
		c.loopConn.Close()
		return
	}
	c.nextCheck.Store(int64(now + tickInterval))
}

// fail ends the connection after a protocol error and sends the output that reports the error to the client.
func (c *Conn) fail(now time.Duration, err error) {
	c.front.frontend.Malformed.Add(1)
	c.Log("%v", err)
	c.loopConn.Write(c.session.Output())
	c.endSession(now)
	c.advanceClose(now)
}

// Tick implements eventloop.Handler. It wakes the connections whose next check is due, and all connections when publishers
// become blocked or unblocked.
func (f *Front) Tick() {
	now := int64(f.elapsed())
	blocked := f.frontend.Blocked()
	blockedChanged := blocked != f.lastBlocked
	f.lastBlocked = blocked
	f.forEachConn(func(c *Conn) {
		if due := c.nextCheck.Load(); blockedChanged || due > 0 && due <= now {
			c.wake()
		}
	})
}
