// Package eventloop carries TCP connections on event loops over epoll (epoll(7)). A loop owns its connections: their
// handler's methods are called on its goroutine, one at a time, and must not block.
//
// It is made to outlive whatever the system calls return. What is interrupted or lacks something for a moment is done again;
// accepting pauses where a resource is short, and goes on; a loop whose epoll_wait fails looks at all its connections
// instead. A connection ends only by its peer, by an error that means so, or by its handler. docs/syscalls.md lists each call
// with its errors and what is done.
//
// Connections are watched edge-triggered for reading and writing from their start, so that nothing has to be changed in epoll
// while they live.
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

// Handler is told what happens to connections. Its methods are called on the loop of the connection, but for Tick.
type Handler interface {
	// Opened tells of a new connection: one accepted, or dialled.
	Opened(c *Conn)
	// Ready tells that bytes came (see Conn.Inbound), that Wake was called, or that all that was written has left.
	Ready(c *Conn)
	// Closed tells that a connection has ended: err is nil where this side closed it, io.EOF where its peer ended it.
	Closed(c *Conn, err error)
	// DialFailed tells that a connection that was dialled with a context value did not come about; see Local.
	DialFailed(context any, err error)
	// Tick is called about as often as Config.Tick says, on the first loop.
	Tick()
}

// Config is of a group of loops.
type Config struct {
	Loops        int           // at least one
	TickInterval time.Duration // how often the handler's Tick is called; at least a millisecond
	System       System        // nil for the kernel
	// Log is told of what operators should know, nil for nothing.
	Log func(text string)
}

// Group is some event loops with one handler.
type Group struct {
	cfg      Config
	handler  Handler
	clock    clock.Clock
	system   System
	loops    []*Loop
	next     atomic.Uint32
	listener *listener // of the first loop, nil for none
	trouble  ErrorCounts
	quit     chan struct{}
	done     sync.WaitGroup
}

// ErrorCounts counts system calls that failed and did not end anything.
type ErrorCounts struct {
	Accepts, Waits, Reads, Writes, Dials atomic.Int64
}

// New makes loops; Start has them run. An error tells that the machine lacks what they need.
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
			g.free()
			return nil, fmt.Errorf("event loop: %w", err)
		}
		g.loops = append(g.loops, l)
	}
	return g, nil
}

// Start has the loops run.
func (g *Group) Start() {
	for _, l := range g.loops {
		g.done.Go(l.run)
	}
}

// Stop ends all loops and their connections, and waits for it. Handlers hear Closed for each connection.
func (g *Group) Stop() {
	close(g.quit)
	for _, l := range g.loops {
		l.wake()
	}
	g.done.Wait()
	g.free()
}

// free gives back what loops that do not run hold.
func (g *Group) free() {
	for _, l := range g.loops {
		_ = g.system.Close(l.epoll)
		_ = g.system.Close(l.event)
	}
	if g.listener != nil {
		g.listener.close(g.system)
	}
}

// ErrorCounts returns the counts of calls that failed and did not end anything.
func (g *Group) ErrorCounts() *ErrorCounts { return &g.trouble }

// pick chooses a loop for a new connection, in turns.
func (g *Group) pick() *Loop { return g.loops[int(g.next.Add(1))%len(g.loops)] }

// Loop is one event loop. All fields but those under mu are its goroutine's.
type Loop struct {
	group  *Group
	first  bool // it also ticks and accepts
	epoll  int
	event  int // an eventfd that ends a wait
	conns  map[int]*Conn
	dials  map[*dial]struct{}
	buffer []byte
	events []unix.EpollEvent
	ticked control.Time
	swept  control.Time

	retries []*Conn // to be looked at again a moment later: a call failed for now, or there was too much to read at once

	mu     sync.Mutex
	posted []func()
}

// Sizes of a loop.
const (
	readSize   = 64 << 10
	eventsMost = 256
	readsMost  = 16 // of one connection before others have their turn
)

// Waits of a loop, in milliseconds.
const (
	waitMost  = 250 // a wake that was lost is found after this
	waitRetry = 2   // while something is to be tried again
)

func newLoop(g *Group, number int) (*Loop, error) {
	l := &Loop{group: g, first: number == 0, conns: map[int]*Conn{}, dials: map[*dial]struct{}{}, buffer: make([]byte, readSize),
		events: make([]unix.EpollEvent, eventsMost)}
	var err error
	if l.epoll, err = g.system.EpollCreate(); err != nil {
		return nil, fmt.Errorf("epoll_create: %w", err)
	}
	if l.event, err = g.system.Eventfd(); err != nil {
		return nil, errors.Join(fmt.Errorf("eventfd: %w", err), g.system.Close(l.epoll))
	}
	if err = g.system.EpollAdd(l.epoll, l.event, unix.EPOLLIN|unix.EPOLLET); err != nil {
		return nil, errors.Join(fmt.Errorf("epoll_ctl: %w", err), g.system.Close(l.epoll), g.system.Close(l.event))
	}
	return l, nil
}

// post has f run on the loop's goroutine, in the order of the calls.
func (l *Loop) post(f func()) {
	l.mu.Lock()
	l.posted = append(l.posted, f)
	first := len(l.posted) == 1
	l.mu.Unlock()
	if first {
		l.wake()
	}
}

// one is what is written to an eventfd.
var one = []byte{1, 0, 0, 0, 0, 0, 0, 0}

// wake ends the loop's wait. Should it fail, the wait ends by itself after waitMost.
func (l *Loop) wake() {
	_ = again(func() error {
		_, err := l.group.system.Write(l.event, one)
		return err
	})
}

// run is the loop.
func (l *Loop) run() {
	defer l.shut()
	for {
		select {
		case <-l.group.quit:
			return
		default:
		}
		l.wait()
		l.work()
		l.retry()
		l.tick()
	}
}

// wait waits for events and has them dealt with. Where the wait itself fails, all connections are looked at: they don't block.
func (l *Loop) wait() {
	n, err := l.group.system.EpollWait(l.epoll, l.events, l.patience())
	switch {
	case err == nil:
		for i := range l.events[:max(0, n)] {
			l.ready(int(l.events[i].Fd))
		}
	case errors.Is(err, unix.EINTR):
	default:
		if l.group.trouble.Waits.Add(1) == 1 {
			l.group.cfg.Log(fmt.Sprintf("epoll_wait fails: %v; connections are looked at in turns", err))
		}
		time.Sleep(waitRetry * time.Millisecond)
		l.lookAtAll()
	}
}

// patience is how long a wait may be, in milliseconds.
func (l *Loop) patience() int {
	l.mu.Lock()
	posted := len(l.posted)
	l.mu.Unlock()
	wait := waitMost
	if l.first {
		wait = min(wait, l.millisecondsTo(l.ticked+control.Time(l.group.cfg.TickInterval/time.Microsecond)))
	}
	for d := range l.dials {
		if d.retry {
			wait = min(wait, waitRetry)
		}
		wait = min(wait, l.millisecondsTo(d.until))
	}
	switch {
	case posted > 0:
		return 0
	case len(l.retries) > 0:
		return min(wait, waitRetry)
	case l.listens() && l.group.listener.pausedUntil > 0:
		return min(wait, l.millisecondsTo(l.group.listener.pausedUntil))
	}
	return wait
}

// millisecondsTo is how long to wait until a moment, never too short by a fraction.
func (l *Loop) millisecondsTo(at control.Time) int {
	left := at - l.group.clock.Now()
	if left <= 0 {
		return 0
	}
	return int(left/control.Millisecond) + 1
}

func (l *Loop) listens() bool { return l.first && l.group.listener != nil }

// ready deals with an event of a descriptor.
func (l *Loop) ready(fd int) {
	switch c := l.conns[fd]; {
	case fd == l.event:
		l.drain()
	case l.listens() && fd == l.group.listener.fd:
		l.accept()
	case c != nil:
		c.io()
	default:
		l.dialled(fd)
	}
}

// drain empties the eventfd, so that the next write to it is an event again.
func (l *Loop) drain() {
	var b [8]byte
	_ = again(func() error {
		_, err := l.group.system.Read(l.event, b[:])
		return err
	})
}

// lookAtAll does what events would have asked for.
func (l *Loop) lookAtAll() {
	l.drain()
	if l.listens() {
		l.accept()
	}
	for _, c := range l.connections() {
		c.io()
	}
	for d := range l.dials {
		l.dialled(d.fd)
	}
}

// connections returns all connections; they may end while it is walked.
func (l *Loop) connections() []*Conn {
	all := make([]*Conn, 0, len(l.conns))
	for _, c := range l.conns {
		all = append(all, c)
	}
	return all
}

// work does what was posted.
func (l *Loop) work() {
	l.mu.Lock()
	posted := l.posted
	l.posted = nil
	l.mu.Unlock()
	for _, f := range posted {
		f()
	}
}

// retry looks again at connections whose calls failed for now.
func (l *Loop) retry() {
	again := l.retries
	l.retries = nil
	for _, c := range again {
		c.retrying = false
		c.io()
	}
}

// tick has what is due by time done.
func (l *Loop) tick() {
	now := l.group.clock.Now()
	l.overdue(now)
	if now >= l.swept+sweepEvery {
		l.swept = now
		l.sweep()
	}
	if !l.first {
		return
	}
	if l.listens() {
		l.resume(now)
	}
	if now >= l.ticked+control.Time(l.group.cfg.TickInterval/time.Microsecond) {
		l.ticked = now
		l.group.handler.Tick()
	}
}

// Connections are looked at now and then without an event: a call that wrongly said that there is nothing to do now has none
// behind it.
const (
	sweepEvery = 500 * control.Millisecond
	sweepMost  = 512 // at once, of very many others than the last time
)

// sweep looks at connections.
func (l *Loop) sweep() {
	looked := make([]*Conn, 0, min(len(l.conns), sweepMost))
	for _, c := range l.conns {
		if len(looked) == sweepMost {
			break
		}
		looked = append(looked, c)
	}
	for _, c := range looked {
		c.io()
	}
	for d := range l.dials {
		l.established(d)
	}
	if l.listens() {
		l.accept()
	}
}

// shut ends the loop's connections.
func (l *Loop) shut() {
	l.work() // dials that were posted hear that they failed
	for d := range l.dials {
		l.giveUp(d, errStopped)
	}
	for _, c := range l.connections() {
		c.end(nil)
	}
	if l.listens() {
		l.group.listener.close(l.group.system)
	}
}

var errStopped = errors.New("the event loops have stopped")

// sockaddr is an address in the kernel's form, with the family of its sockets.
func sockaddr(a netip.AddrPort) (to unix.Sockaddr, family int) {
	if a.Addr().Is4() || a.Addr().Is4In6() {
		return &unix.SockaddrInet4{Port: int(a.Port()), Addr: a.Addr().Unmap().As4()}, unix.AF_INET
	}
	return &unix.SockaddrInet6{Port: int(a.Port()), Addr: a.Addr().As16()}, unix.AF_INET6
}

// addrPort is an address of the kernel; it is not valid for one that is not of TCP.
func addrPort(s unix.Sockaddr) netip.AddrPort {
	switch a := s.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port))
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(a.Addr), uint16(a.Port))
	}
	return netip.AddrPort{}
}
