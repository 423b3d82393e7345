// Package eventloop runs TCP connections on event loops over epoll (epoll(7)). Each connection belongs to one
// loop. Methods of the handler are called on the goroutine of that loop, one at a time, and must not block.
//
// The package keeps running whatever the system calls return. It repeats calls that are interrupted or fail with a
// transient error. It pauses accepting while a resource is short, and resumes. A loop whose epoll_wait fails polls
// all of its connections instead. A connection ends only if its peer or its handler ends it, or on an error that
// means that it has failed. docs/syscalls.md lists each system call with its errors and how they are handled.
//
// Connections are registered edge-triggered for reading and writing when they open, so that the registration never
// changes while they live.
package eventloop

import (
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"whinrun/control"
	"whinrun/internal/clock"
)

// Handler receives the events of connections and dials. Each method is called on the loop of its connection or
// dial. Tick is called on the first loop.
type Handler interface {
	// Opened reports a new connection, accepted or dialled.
	Opened(c *Conn)
	// Ready is called when bytes have arrived (see Conn.Inbound), after Wake, and when the kernel has taken all
	// that was written.
	Ready(c *Conn)
	// Closed reports that a connection has ended. The error is nil if this side closed it, and io.EOF if the peer
	// ended it.
	Closed(c *Conn, err error)
	// DialFailed reports that a dial with this context value has failed. IsLocal tells whether this machine is the
	// cause.
	DialFailed(context any, err error)
	// Tick is called about once each Config.TickInterval.
	Tick()
}

// Config configures a Group.
type Config struct {
	// Loops is the number of event loops. Values below 1 count as 1.
	Loops int
	// TickInterval is the time between calls of Handler.Tick. Values below a millisecond count as a millisecond.
	TickInterval time.Duration
	// System makes the system calls. If it is nil, Kernel is used.
	System System
	// Log is called with texts for operators. It may be nil.
	Log func(text string)
}

// Group is a set of event loops with one handler, and at most one listening socket.
type Group struct {
	cfg       Config
	handler   Handler
	clock     clock.Clock
	system    System
	loops     []*Loop
	nextIndex atomic.Uint32
	// listener belongs to the first loop. It is nil if the group does not listen.
	listener    *listener
	errorCounts ErrorCounts
	quit        chan struct{}
	done        sync.WaitGroup
}

// ErrorCounts counts system calls that failed without ending the group: accepts, waits for events, reads, writes
// and dials. Accepts includes accepted connections that epoll did not take. Dials includes only those dials that
// failed for a cause on this machine (see IsLocal).
type ErrorCounts struct {
	Accepts, Waits, Reads, Writes, Dials atomic.Int64
}

// New creates the loops, which Start runs. It fails if the machine lacks a resource that the loops need.
func New(cfg Config, handler Handler, c clock.Clock) (*Group, error) {
	if cfg.System == nil {
		cfg.System = Kernel{}
	}
	if cfg.Log == nil {
		cfg.Log = func(string) {}
	}
	cfg.TickInterval = max(cfg.TickInterval, time.Millisecond)
	g := &Group{cfg: cfg, handler: handler, clock: c, system: cfg.System, quit: make(chan struct{})}
	for i := range max(1, cfg.Loops) {
		l, err := newLoop(g, i)
		if err != nil {
			g.release()
			return nil, fmt.Errorf("event loop: %w", err)
		}
		g.loops = append(g.loops, l)
	}
	return g, nil
}

// Start runs the loops, each on a goroutine of its own.
func (g *Group) Start() {
	for _, l := range g.loops {
		g.done.Go(l.run)
	}
}

// Stop ends all loops and their connections, and waits until they have ended. The handler gets Closed for each
// connection. Stop must be called once at most.
func (g *Group) Stop() {
	close(g.quit)
	for _, l := range g.loops {
		l.wake()
	}
	g.done.Wait()
	g.release()
}

// release closes the descriptors of loops that do not run.
func (g *Group) release() {
	for _, l := range g.loops {
		l.mu.Lock()
		l.released = true
		_ = g.system.Close(l.epollFD)
		_ = g.system.Close(l.wakeFD)
		l.mu.Unlock()
	}
	if g.listener != nil {
		g.listener.close(g.system)
	}
}

// ErrorCounts returns the counts of failed system calls. They change while the group runs.
func (g *Group) ErrorCounts() *ErrorCounts { return &g.errorCounts }

// nextLoop returns the loop for a new connection, in round-robin order.
func (g *Group) nextLoop() *Loop { return g.loops[int(g.nextIndex.Add(1))%len(g.loops)] }

// Loop is one event loop. Only its goroutine uses the fields, except for those guarded by mu.
type Loop struct {
	group *Group
	// first is true for the loop that also calls Handler.Tick and accepts connections.
	first   bool
	epollFD int
	// wakeFD is an eventfd. Writing to it ends a wait for events.
	wakeFD    int
	conns     map[int]*Conn
	dials     map[*dial]struct{}
	buffer    []byte
	events    []unix.EpollEvent
	lastTick  control.Time
	lastSweep control.Time

	// retries lists connections to be processed again a moment later, because a call failed with a transient error.
	retries []*Conn
	// unfinished lists connections with more to read than one turn allows. They are processed again behind the others.
	unfinished []*Conn

	// mu guards the fields below.
	mu sync.Mutex
	// posted lists functions to be run on the loop's goroutine.
	posted []func()
	// released is set once the loop's descriptors are closed.
	released bool
}

const (
	// readBufferSize is the size of a loop's read buffer in bytes. It also bounds the work of one read: requests may be small.
	readBufferSize = 16 << 10
	// maxEvents is the largest number of events that one wait returns.
	maxEvents = 256
	// maxReads is how often one connection is read from before the others have their turn.
	maxReads = 64
	// maxTurn is the time after which the others have their turn, even if that is after the first read. A client that sends small
	// requests at full speed must not keep others waiting.
	maxTurn = control.Millisecond
)

const (
	// maxWait is the longest wait for events in milliseconds. If a wake-up is lost, the loop continues after this
	// time.
	maxWait = 250
	// retryWait is the wait in milliseconds while something is to be tried again.
	retryWait = 2
)

// newLoop opens the descriptors of a loop. The loop with number 0 is the first one.
func newLoop(g *Group, number int) (*Loop, error) {
	l := &Loop{group: g, first: number == 0, conns: map[int]*Conn{}, dials: map[*dial]struct{}{}, buffer: make([]byte, readBufferSize),
		events: make([]unix.EpollEvent, maxEvents)}
	var err error
	if l.epollFD, err = g.system.EpollCreate(); err != nil {
		return nil, fmt.Errorf("epoll_create: %w", err)
	}
	if l.wakeFD, err = g.system.Eventfd(); err != nil {
		return nil, errors.Join(fmt.Errorf("eventfd: %w", err), g.system.Close(l.epollFD))
	}
	if err = g.system.EpollAdd(l.epollFD, l.wakeFD, unix.EPOLLIN|unix.EPOLLET); err != nil {
		return nil, errors.Join(fmt.Errorf("epoll_ctl: %w", err), g.system.Close(l.epollFD), g.system.Close(l.wakeFD))
	}
	return l, nil
}

// post has f run on the loop's goroutine. Functions run in the order of the calls. After Group.Stop it does nothing.
func (l *Loop) post(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.released {
		return
	}
	l.posted = append(l.posted, f)
	if len(l.posted) == 1 {
		l.wake()
	}
}

// wakeSignal is the number 1 as eight bytes in little-endian order. It is written to an eventfd.
var wakeSignal = []byte{1, 0, 0, 0, 0, 0, 0, 0}

// wake ends the loop's wait. If that fails, the wait ends by itself after maxWait. It must not be called once the descriptors
// are released: wakeFD may be another file's number by then.
func (l *Loop) wake() {
	_ = retryInterrupted(func() error {
		_, err := l.group.system.Write(l.wakeFD, wakeSignal)
		return err
	})
}

// run is the body of the loop's goroutine. It returns after Group.Stop.
func (l *Loop) run() {
	defer l.shutdown()
	for {
		select {
		case <-l.group.quit:
			return
		default:
		}
		l.wait()
		l.runPosted()
		l.runUnfinished()
		l.runRetries()
		l.runTimers()
	}
}

// wait waits for events and handles them. If the wait itself fails, wait polls everything instead; the descriptors
// do not block.
func (l *Loop) wait() {
	n, err := l.group.system.EpollWait(l.epollFD, l.events, l.waitTimeout())
	switch {
	case err == nil:
		for i := range l.events[:max(0, n)] {
			l.handleEvent(&l.events[i])
		}
	case errors.Is(err, unix.EINTR):
	default:
		if l.group.errorCounts.Waits.Add(1) == 1 {
			l.group.cfg.Log(fmt.Sprintf("epoll_wait fails: %v; connections are looked at in turns", err))
		}
		time.Sleep(retryWait * time.Millisecond)
		l.pollAll()
	}
}

// waitTimeout returns how long the next wait may last, in milliseconds.
func (l *Loop) waitTimeout() int {
	l.mu.Lock()
	posted := len(l.posted)
	l.mu.Unlock()
	wait := maxWait
	if l.first {
		wait = min(wait, l.millisecondsTo(l.lastTick+control.Time(l.group.cfg.TickInterval/time.Microsecond)))
	}
	for d := range l.dials {
		if d.retry {
			wait = min(wait, retryWait)
		}
		wait = min(wait, l.millisecondsTo(d.deadline))
	}
	switch {
	case posted > 0 || len(l.unfinished) > 0:
		return 0
	case len(l.retries) > 0:
		return min(wait, retryWait)
	case l.hasListener() && l.group.listener.pausedUntil > 0:
		return min(wait, l.millisecondsTo(l.group.listener.pausedUntil))
	}
	return wait
}

// millisecondsTo returns the milliseconds until a time, rounded up so that a wait does not end before it.
func (l *Loop) millisecondsTo(at control.Time) int {
	left := at - l.group.clock.Now()
	if left <= 0 {
		return 0
	}
	return int(left/control.Millisecond) + 1
}

// hasListener reports whether this loop accepts connections.
func (l *Loop) hasListener() bool { return l.first && l.group.listener != nil }

// handleEvent handles an event of a descriptor.
func (l *Loop) handleEvent(event *unix.EpollEvent) {
	fd := int(event.Fd)
	switch c := l.conns[fd]; {
	case fd == l.wakeFD:
		l.drainWakeFD()
	case l.hasListener() && fd == l.group.listener.fd:
		l.accept()
	case c != nil:
		if event.Events&unix.EPOLLIN != 0 {
			c.readTries = maxReadTries
		}
		// A read would find this out, but there is none while reading is paused.
		if c.readPaused && event.Events&(unix.EPOLLERR|unix.EPOLLHUP) != 0 {
			c.finish(unix.ECONNRESET)
			return
		}
		c.processIO()
	default:
		l.handleDialEvent(fd)
	}
}

// drainWakeFD empties the eventfd. With edge triggering, the next write to it is an event again.
func (l *Loop) drainWakeFD() {
	var b [8]byte
	_ = retryInterrupted(func() error {
		_, err := l.group.system.Read(l.wakeFD, b[:])
		return err
	})
}

// pollAll does what events would have caused, for every descriptor of the loop.
func (l *Loop) pollAll() {
	l.drainWakeFD()
	if l.hasListener() {
		l.accept()
	}
	for _, c := range l.connections() {
		c.processIO()
	}
	for d := range l.dials {
		l.handleDialEvent(d.fd)
	}
}

// connections returns a copy of the list of connections. They may end while a caller iterates over it.
func (l *Loop) connections() []*Conn {
	all := make([]*Conn, 0, len(l.conns))
	for _, c := range l.conns {
		all = append(all, c)
	}
	return all
}

// runPosted runs the functions that were posted.
func (l *Loop) runPosted() {
	l.mu.Lock()
	posted := l.posted
	l.posted = nil
	l.mu.Unlock()
	for _, f := range posted {
		f()
	}
}

// runUnfinished gives each connection another turn that had more to read than its last one allowed.
func (l *Loop) runUnfinished() {
	unfinished := l.unfinished
	l.unfinished = nil
	for _, c := range unfinished {
		c.unfinished = false
		c.processIO()
	}
}

// runRetries processes the connections again that are listed in retries.
func (l *Loop) runRetries() {
	retries := l.retries
	l.retries = nil
	for _, c := range retries {
		c.retryScheduled = false
		c.processIO()
	}
}

// runTimers does what is due by time: expired dials, sweeps, the end of an accept pause, and Handler.Tick.
func (l *Loop) runTimers() {
	now := l.group.clock.Now()
	l.expireDials(now)
	if now >= l.lastSweep+sweepInterval {
		l.lastSweep = now
		l.sweep()
	}
	if !l.first {
		return
	}
	if l.hasListener() {
		l.resumeAccepting(now)
	}
	if now >= l.lastTick+control.Time(l.group.cfg.TickInterval/time.Microsecond) {
		l.lastTick = now
		l.group.handler.Tick()
	}
}

// A loop sweeps over its connections at times, without an event. A system call that wrongly returned EAGAIN is not
// followed by an event. Reads behind an event are tried again sooner (see Conn.readTries).
const (
	// sweepInterval is the time between two sweeps.
	sweepInterval = 500 * control.Millisecond
	// maxSweep is the largest number of connections processed in one sweep. Map iteration order makes it a
	// different selection each time.
	maxSweep = 512
)

// sweep processes up to maxSweep connections, all dials and the listening socket.
func (l *Loop) sweep() {
	batch := make([]*Conn, 0, min(len(l.conns), maxSweep))
	for _, c := range l.conns {
		if len(batch) == maxSweep {
			break
		}
		batch = append(batch, c)
	}
	for _, c := range batch {
		c.processIO()
	}
	for d := range l.dials {
		l.completeDial(d)
	}
	if l.hasListener() {
		l.accept()
	}
}

// shutdown ends the loop's dials and connections and closes its listening socket.
func (l *Loop) shutdown() {
	// Posted dials are started here, and fail below with the others.
	l.runPosted()
	for d := range l.dials {
		l.failDial(d, errStopped)
	}
	for _, c := range l.connections() {
		c.finish(nil)
	}
	if l.hasListener() {
		l.group.listener.close(l.group.system)
	}
}

// errStopped is the error of dials that are under way when the group stops.
var errStopped = errors.New("the event loops have stopped")

// sockaddr converts an address to the kernel's form. It also returns the address family for the socket.
func sockaddr(a netip.AddrPort) (to unix.Sockaddr, family int) {
	if a.Addr().Is4() || a.Addr().Is4In6() {
		return &unix.SockaddrInet4{Port: int(a.Port()), Addr: a.Addr().Unmap().As4()}, unix.AF_INET
	}
	return &unix.SockaddrInet6{Port: int(a.Port()), Addr: a.Addr().As16()}, unix.AF_INET6
}

// addrPort converts an address from the kernel's form. The result is not valid if the address is not one of IPv4
// or IPv6.
func addrPort(s unix.Sockaddr) netip.AddrPort {
	switch a := s.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port))
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(a.Addr), uint16(a.Port))
	}
	return netip.AddrPort{}
}
