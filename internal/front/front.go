// Package front carries client connections on event loops for all protocols that messages come by. A Session
// speaks the protocol of one connection; what they share is here: listening, limits, final answers that come from the
// engine's goroutine, deadlines, answers that nobody reads, an orderly end. It decides nothing about messages.
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

// Session is the protocol of one client connection. Its methods are called on the connection's event loop only, but
// for Lost, which is the last call and may come while the engine stops.
type Session interface {
	// Receive takes bytes; they are not valid after it. An error ends the connection once Output is written.
	Receive(now time.Duration, b []byte) error
	// Check looks at time limits and at whether publishers are blocked; it is called when Due has come, and after
	// Receive. An error ends the connection.
	Check(now time.Duration) error
	// Due is when Check is to be called at the latest, 0 for never.
	Due(now time.Duration) time.Duration
	// GoAway tells the client that no new messages are taken; answers still come.
	GoAway(now time.Duration)
	// Finish tells that all answers have come: the connection is to end in order.
	Finish(now time.Duration)
	// Output returns what is to be written and forgets it.
	Output() []byte
	// Owes tells that something is still to be written or heard before the connection may be closed at a stop.
	Owes() bool
	// Done tells that the connection has ended in order and may be closed.
	Done() bool
	// Lost tells that the connection is gone.
	Lost()
}

// Idler is a Session whose connection may be closed while nothing is under way on it, to make room for others.
type Idler interface {
	// Idle tells since when nothing is under way; ok is false while something is.
	Idle() (since time.Duration, ok bool)
}

// ReadPauser is a Session that can't take more for now: nothing is read for it meanwhile.
type ReadPauser interface{ Full() bool }

// Task is something for a session that came from another goroutine.
type Task interface {
	Open(now time.Duration) // on the connection's event loop
	Lost()                  // instead of Open: the connection is gone
}

// Config is of one front.
type Config struct {
	Address   string // host:port; port 0 takes a free one
	Loops     int
	MaxUnread int                           // bytes of answers that a client may leave unread
	Trace     func(format string, a ...any) // told of each connection's end, nil for none
	System    eventloop.System              // nil for the kernel
}

// tick is how often deadlines are looked at.
const tick = 100 * time.Millisecond

// Front is one listening address.
type Front struct {
	cfg   Config
	side  *admission.Frontend
	clock clock.Clock
	log   func(text string)
	open  func(c *Conn, now time.Duration) Session

	loops *eventloop.Group

	mu    sync.Mutex
	conns map[*Conn]struct{}

	away, finish atomic.Bool
	blocked      bool // as of the last tick
}

// Conn is one client connection.
type Conn struct {
	f       *Front
	gc      *eventloop.Conn
	session Session
	life    life // once it has ended the session is not called any more

	mu    sync.Mutex
	inbox []Task
	gone  bool
	owes  atomic.Bool
	due   atomic.Int64
	idle  atomic.Int64 // since when, 0 while it is not
	evict atomic.Bool  // it is to be closed if it is idle
}

// New makes a Front and listens. open makes the session of a new connection.
func New(cfg Config, side *admission.Frontend, clock clock.Clock, log func(string), open func(*Conn, time.Duration) Session) (*Front, error) {
	f := &Front{cfg: cfg, side: side, clock: clock, log: log, open: open, conns: map[*Conn]struct{}{}}
	if f.cfg.Trace == nil {
		f.cfg.Trace = func(string, ...any) {}
	}
	var err error
	if f.loops, err = eventloop.New(eventloop.Config{Loops: cfg.Loops, TickInterval: tick, System: cfg.System, Log: log}, f, clock); err != nil {
		return nil, fmt.Errorf("front: %w", err)
	}
	if err := f.loops.Listen(cfg.Address); err != nil {
		f.loops.Stop()
		return nil, err
	}
	f.loops.Start()
	return f, nil
}

// Addr is the address that the Front listens on.
func (f *Front) Addr() net.Addr { return net.TCPAddrFromAddrPort(f.loops.Addr()) }

// GoAway tells all clients to hand in nothing more; answers still go out.
func (f *Front) GoAway() {
	f.away.Store(true)
	f.each(func(c *Conn) { c.wake() })
}

func (f *Front) each(do func(*Conn)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		do(c)
	}
}

// Flush ends all sessions in order, now that all answers have been given, and waits until everything is written or ctx ends. It
// tells how many connections still have something to be written or heard then.
func (f *Front) Flush(ctx context.Context) (left int) {
	f.finish.Store(true)
	f.each(func(c *Conn) { c.wake() })
	for {
		left = 0
		f.each(func(c *Conn) {
			if c.waits() {
				left++
				c.wake()
			}
		})
		if left == 0 {
			return 0
		}
		select {
		case <-ctx.Done():
			return left
		case <-time.After(2 * time.Millisecond):
		}
	}
}

// waits tells whether something is not written yet, or not read by a peer that was told the end. A message answered is off
// the connection's books only once its answer is in the socket, so owes covers the answers that its event loop has not seen.
func (c *Conn) waits() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.inbox) > 0 || c.owes.Load()
}

// StopAccepting has no more connections taken; those there are go on.
func (f *Front) StopAccepting() { f.loops.StopAccepting() }

// Close ends all connections. Nothing more is accepted first.
func (f *Front) Close() {
	f.loops.StopAccepting()
	f.loops.Stop()
}

func (f *Front) elapsed() time.Duration { return clock.Elapsed(f.clock) }

// Opened is eventloop.Handler: it starts a session, where there is room.
func (f *Front) Opened(gc *eventloop.Conn) {
	if !f.side.AcquireConn() {
		f.cfg.Trace("client %v: turned away, too many connections", gc.Peer())
		gc.Close()
		return
	}
	c := &Conn{f: f, gc: gc}
	now := f.elapsed()
	c.session = f.open(c, now)
	c.owes.Store(true)
	f.mu.Lock()
	f.conns[c] = struct{}{}
	f.mu.Unlock()
	gc.Context = c
	c.due.Store(int64(c.session.Due(now)))
	c.rests()
	if f.side.NearConnLimit() {
		f.makeRoom(c)
	}
	gc.Write(c.session.Output())
}

// DialFailed is eventloop.Handler; a front dials nobody.
func (f *Front) DialFailed(any, error) {}

// makeRoom has the connection closed that has been idle longest. Guards against clients that connect in numbers and say
// nothing: they must not keep the others out.
func (f *Front) makeRoom(not *Conn) {
	var longest *Conn
	f.each(func(c *Conn) {
		since := c.idle.Load()
		if c != not && since > 0 && !c.evict.Load() && (longest == nil || since < longest.idle.Load()) {
			longest = c
		}
	})
	if longest != nil {
		longest.evict.Store(true)
		longest.wake()
	}
}

// rests keeps since when a connection is idle.
func (c *Conn) rests() {
	since := time.Duration(0)
	if s, ok := c.session.(Idler); ok {
		if at, idle := s.Idle(); idle {
			since = max(at, 1)
		}
	}
	c.idle.Store(int64(since))
}

// Closed is eventloop.Handler: it tells the session, and all that is on its way to it.
func (f *Front) Closed(gc *eventloop.Conn, err error) {
	c, ok := gc.Context.(*Conn)
	if !ok { // it was turned away
		return
	}
	f.cfg.Trace("client %v: connection closed: ended in order %v, something owed %v, error %v", gc.Peer(), c.life.ended, c.session.Owes(), err)
	f.mu.Lock()
	delete(f.conns, c)
	f.mu.Unlock()
	f.side.ReleaseConn()
	c.end(f.elapsed())
}

// end is the end of the session, once: of its protocol, or of its connection. The socket is closed by OnTraffic's owner, the
// event loop, as life says.
func (c *Conn) end(now time.Duration) {
	if c.life.ended {
		return
	}
	c.life.end(now)
	c.gc.PauseReading(false)
	c.mu.Lock()
	late := c.inbox
	c.inbox, c.gone = nil, true
	c.mu.Unlock()
	for _, p := range late {
		p.Lost()
	}
	c.session.Lost()
	c.owes.Store(true) // until it is closed
	if c.idle.Load() == 0 {
		c.idle.Store(int64(now))
	}
}

// Post has a parcel opened on the connection's event loop, from any goroutine, without blocking. It is false where the
// connection is gone: then the parcel is the caller's.
func (c *Conn) Post(p Task) bool {
	c.mu.Lock()
	if c.gone {
		c.mu.Unlock()
		return false
	}
	c.inbox = append(c.inbox, p)
	first := len(c.inbox) == 1
	c.mu.Unlock()
	if first {
		c.wake()
	}
	return true
}

func (c *Conn) wake() { c.gc.Wake() }

// Peer names the client, for logs.
func (c *Conn) Peer() string { return c.gc.Peer().String() }

// Log writes a line about the client.
func (c *Conn) Log(format string, a ...any) {
	c.f.log(fmt.Sprintf("client %s: %s", c.Peer(), fmt.Sprintf(format, a...)))
}

// Ready is eventloop.Handler: it takes bytes of the client, and parcels out of the inbox.
func (f *Front) Ready(gc *eventloop.Conn) {
	c, ok := gc.Context.(*Conn)
	if !ok {
		return
	}
	now := f.elapsed()
	in := gc.Inbound()
	if c.life.ended {
		c.life.threw(len(in)) // nothing is taken from it any more
		c.finish(now)
		return
	}
	if len(in) > 0 {
		if err := c.session.Receive(now, in); err != nil {
			c.broken(now, err)
			return
		}
	}
	c.mu.Lock()
	inbox := c.inbox
	c.inbox = nil
	c.mu.Unlock()
	for _, p := range inbox {
		p.Open(now)
	}
	if f.away.Load() {
		c.session.GoAway(now)
	}
	if f.finish.Load() {
		c.session.Finish(now)
	}
	if err := c.session.Check(now); err != nil {
		c.broken(now, err)
		return
	}
	c.flush(now)
}

func (c *Conn) flush(now time.Duration) {
	c.gc.Write(c.session.Output()) // a failed write shows as Closed
	if s, ok := c.session.(ReadPauser); ok {
		c.gc.PauseReading(s.Full())
	}
	unread := c.gc.Unsent()
	c.owes.Store(unread > 0 || c.session.Owes())
	c.due.Store(int64(c.session.Due(now)))
	c.rests()
	switch {
	case unread > c.f.cfg.MaxUnread: // a client that stops reading must not hold memory
		c.Log("reads no answers: closed with %d bytes unread", unread)
		c.gc.Close()
	case c.evict.Swap(false) && c.idle.Load() > 0 && unread == 0: // idle for longest: its last answer was read long ago
		c.gc.Close()
	case c.session.Done():
		c.end(now)
		c.finish(now)
	}
}

// finish goes on with the end of the connection. One that has to make room for others is not waited for.
func (c *Conn) finish(now time.Duration) {
	switch c.life.next(now, c.gc.Unsent()) {
	case closeAll:
		c.gc.Close()
		return
	case shutWrite:
		if !c.gc.CloseWrite() {
			c.gc.Close()
			return
		}
	}
	if c.evict.Swap(false) {
		c.gc.Close()
		return
	}
	c.due.Store(int64(now + tick))
}

func (c *Conn) broken(now time.Duration, err error) {
	c.f.side.Malformed.Add(1)
	c.Log("%v", err)
	c.gc.Write(c.session.Output())
	c.end(now)
	c.finish(now)
}

// Tick is eventloop.Handler: it wakes the connections whose deadlines have come, and all when publishers are to stop or may go
// on.
func (f *Front) Tick() {
	now := int64(f.elapsed())
	blocked := f.side.Blocked()
	turned := blocked != f.blocked
	f.blocked = blocked
	f.each(func(c *Conn) {
		if due := c.due.Load(); turned || due > 0 && due <= now {
			c.wake()
		}
	})
}
