// Package outbound carries attempts out: a pool of connections for each endpoint, on event loops. What is spoken
// on them is a Protocol's: HTTP/2 (NewHTTP2), or HTTP/1.1 with one call at a time (NewHTTP1). It decides nothing:
// whether, when and where to send is told; each attempt's end is reported once.
package outbound

import (
	"container/list"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"whinrun/control"
	"whinrun/internal/clock"
	"whinrun/internal/dialscheduler"
	"whinrun/internal/engine"
	"whinrun/internal/eventloop"
	"whinrun/internal/h2"
)

// Resolver tells where endpoints are; ok is false for one that was never listed.
type Resolver interface {
	Address(ep control.EndpointID) (addr netip.AddrPort, ok bool)
}

// Protocol is what is spoken on the connections of a Pool.
type Protocol interface {
	Resolver
	line(c *conn, now time.Duration) line
	bulk() bool // the attempts of one Start go as one call; else each is a call
}

// Admission has the last word on calls. Its methods are called on event loops, and must not wait for the engine.
type Admission interface {
	// Write tells why an attempt must not be written now; nil permits it.
	Write(now control.Time, a *engine.Attempt) error
	// Record puts attempts on record that are written next, as one call. It returns those that may be: all, or with an error
	// those that need no record.
	Record(call []*engine.Attempt) (may []*engine.Attempt, err error)
	// TakenBack tells that an attempt that was permitted and recorded was not written after all.
	TakenBack(a *engine.Attempt)
}

// line speaks the protocol of one connection, on its event loop only. It reports ends by pool.end.
type line interface {
	receive(now time.Duration, b []byte) error
	check(now time.Duration) error
	output() []byte
	hasRoom() bool                                         // a call can be started now
	start(now time.Duration, k *call, tasks []*task) error // errNoRoom: the call waits for room again
	giveUp(now time.Duration, t *task)
	shut(now time.Duration) // it is closed next, idle
	state() lineState
	lose(kind engine.OutcomeKind, why string) // the connection is gone: all that is out ends
}

// lineState is how a line stands.
type lineState struct {
	settled bool // it can carry calls
	busy    bool // its time limits are to be looked at
	done    bool // it is to be closed
	limit   int  // calls that it can carry in all
}

// errNoRoom tells that a connection can't carry a call that was put on it.
var errNoRoom = errors.New("no room on the connection")

// Config bounds a Pool.
type Config struct {
	Loops               int                           // event loops
	MaxConnsPerEndpoint int                           // connections to one endpoint
	MaxStreams          int                           // attempts on one connection at once, where the peer allows more
	ConnectTimeout      time.Duration                 // until a connection and the peer's SETTINGS are there
	IdleTimeout         time.Duration                 // a connection without attempts is closed after this
	DialLimits          dialscheduler.Limits          // of new connections to all endpoints
	MaxAnswerBytes      int                           // bytes of an answer's body that are kept
	Trace               func(format string, a ...any) // told of each connection's end and each call taken back, nil for none
	H2                  h2.Config
	Admission           Admission        // asked in the moment in which a call is written; nil permits all
	System              eventloop.System // nil for the kernel
}

// Pool holds the connections to all endpoints.
type Pool struct {
	cfg    Config
	proto  Protocol
	clock  clock.Clock
	report func(engine.Outcome)
	loops  *eventloop.Group
	kick   chan struct{} // something changed for the planner
	quit   chan struct{}
	wg     sync.WaitGroup

	mu      sync.Mutex
	planner *dialscheduler.Scheduler
	sites   map[control.EndpointID]*site // those with connections or attempts; the others cost nothing
	tasks   map[uint64]*task             // attempts without an end
	idle    *list.List                   // connections without attempts, longest idle first
	active  map[*conn]struct{}           // connections whose time limits are looked at

	opened atomic.Int64
}

// site is the pool of one endpoint. All fields are guarded by Pool.mu.
type site struct {
	ep      control.EndpointID
	addr    netip.AddrPort
	conns   []*conn
	pending []*call // calls for which no connection has room
	dialing int
	wished  bool         // a connection more is wished for
	lacking bool         // the last connection did not come about for want of something on this machine
	busyTo  control.Time // counts as busy until then
}

// busyFor is how long after its last connection an endpoint counts as busy to the planner.
const busyFor = 60 * control.Second

// call is what goes out together: one attempt, or several where the protocol has bulk calls. Guarded by Pool.mu.
type call struct {
	site  *site
	conn  *conn // where it was put, nil while it is pending
	tasks []*task
	left  int  // tasks without an end
	moved bool // it lost the connection that it was put on before it was written
}

// task is one attempt. ended, given and kind are guarded by Pool.mu; the rest belongs to the event loop of its conn.
type task struct {
	a       *engine.Attempt
	call    *call
	ended   bool // reported
	given   bool // it is to be given up ...
	kind    engine.OutcomeKind
	stream  uint32
	fields  []h2.Field
	body    []byte
	headers bool
}

// item is something for a connection's event loop: a call to start, or an attempt to give up.
type item struct {
	start *call
	give  *task
}

// conn is one connection.
type conn struct {
	pool *Pool
	site *site
	gc   *eventloop.Conn
	l    line // used on its event loop only

	// Guarded by Pool.mu.
	inbox  []item
	shut   bool // to be closed if idle
	load   int  // calls put on it and not ended
	limit  int  // calls that it can carry
	usable bool
	since  control.Time  // idle since
	place  *list.Element // in Pool.idle
	stood  bool          // the planner counts it as open
}

// New makes a Pool that reports ends to report, which must not block.
func New(cfg Config, proto Protocol, clock clock.Clock, report func(engine.Outcome)) (*Pool, error) {
	p := &Pool{cfg: cfg, proto: proto, clock: clock, report: report, sites: map[control.EndpointID]*site{},
		tasks: map[uint64]*task{}, quit: make(chan struct{}), kick: make(chan struct{}, 1),
		planner: dialscheduler.New(cfg.DialLimits), idle: list.New(), active: map[*conn]struct{}{}}
	if p.cfg.Trace == nil {
		p.cfg.Trace = func(string, ...any) {}
	}
	var err error
	p.loops, err = eventloop.New(eventloop.Config{Loops: cfg.Loops, TickInterval: p.tick(), System: cfg.System, Log: func(text string) { p.cfg.Trace("%s", text) }}, p, clock)
	if err != nil {
		return nil, fmt.Errorf("outbound: %w", err)
	}
	p.loops.Start()
	p.wg.Go(p.openings)
	return p, nil
}

// tick is how often time limits are looked at.
func (p *Pool) tick() time.Duration {
	return min(250*time.Millisecond, max(10*time.Millisecond, p.cfg.ConnectTimeout/8))
}

// Close ends all connections; attempts that are out have no end any more.
func (p *Pool) Close() {
	close(p.quit)
	p.wg.Wait()
	p.loops.Stop()
}

// Connections counts the open connections.
func (p *Pool) Connections() int { return int(p.opened.Load()) }

// Start is engine.Back.
func (p *Pool) Start(as []*engine.Attempt) {
	if p.proto.bulk() {
		p.begin(as)
		return
	}
	for i := range as {
		p.begin(as[i : i+1])
	}
}

// begin starts one call.
func (p *Pool) begin(as []*engine.Attempt) {
	p.mu.Lock()
	ep := as[0].Endpoint
	s := p.sites[ep]
	if s == nil {
		addr, ok := p.proto.Address(ep)
		if !ok {
			p.mu.Unlock()
			for _, a := range as {
				p.report(engine.Outcome{Seq: a.Seq, Kind: engine.NotConnected, Detail: "endpoint without an address"})
			}
			return
		}
		s = &site{ep: ep, addr: addr}
		p.sites[ep] = s
	}
	k := &call{site: s, left: len(as)}
	for _, a := range as {
		t := &task{a: a, call: k}
		k.tasks = append(k.tasks, t)
		p.tasks[a.Seq] = t
	}
	if !p.place(k) {
		s.pending = append(s.pending, k)
	}
	p.grow(s)
	p.mu.Unlock()
}

// place puts a call on the first connection with room: calls of one round to one endpoint share one where they can, so
// that a batch leaves in one write. One idle for too long is passed over: its peer may be closing it.
func (p *Pool) place(k *call) bool {
	long := p.clock.Now() - control.Time(p.cfg.IdleTimeout/time.Microsecond)
	for _, c := range k.site.conns {
		if c.usable && c.load < c.limit && (c.load > 0 || c.since >= long) {
			k.conn = c
			c.load++
			c.unidle()
			c.send(item{start: k})
			return true
		}
	}
	return false
}

// send puts something into the inbox of a connection; guarded by Pool.mu.
func (c *conn) send(it item) {
	c.inbox = append(c.inbox, it)
	if len(c.inbox) == 1 {
		c.gc.Wake()
	}
}

// grow wishes for a further connection where attempts wait for room; guarded by Pool.mu.
func (p *Pool) grow(s *site) {
	switch {
	case len(s.pending) <= s.dialing*p.cfg.MaxStreams || len(s.conns)+s.dialing >= p.cfg.MaxConnsPerEndpoint:
		if s.wished {
			s.wished = false
			p.planner.Remove(uint64(s.ep))
		}
		// Ends that are still reported for a site dropped before must not drop the one made since.
		if len(s.conns) == 0 && s.dialing == 0 && len(s.pending) == 0 && p.sites[s.ep] == s {
			delete(p.sites, s.ep)
		}
		return
	case s.wished:
		return
	}
	s.wished = true
	first := s.pending[0].tasks[0].a
	p.planner.Enqueue(dialscheduler.Request{Key: uint64(s.ep), Priority: first.Worth, Deadline: time.Duration(first.Deadline) * time.Microsecond,
		RecentlyActive: s.busyTo > p.clock.Now()})
	p.nudge()
}

// nudge has the planner asked again.
func (p *Pool) nudge() {
	select {
	case p.kick <- struct{}{}:
	default:
	}
}

// openings asks the planner what to open next, and hands it to the dialers.
func (p *Pool) openings() {
	later := time.NewTimer(time.Hour)
	defer later.Stop()
	for {
		p.mu.Lock()
		now := p.elapsed()
		answer, key, at := p.planner.Next(now)
		var s *site
		switch answer {
		case dialscheduler.Dial:
			if s = p.sites[control.EndpointID(key)]; s == nil {
				p.planner.Failed(now, dialscheduler.PeerFailed)
			} else {
				s.wished = false
				s.dialing++
				p.grow(s) // many may wait: one connection more is wished for at once
			}
		case dialscheduler.CloseIdle: // the longest idle connection makes room; with none idle all wait
			if e := p.idle.Front(); e != nil {
				e.Value.(*conn).retire()
				e.Value.(*conn).unidle()
			}
		}
		p.mu.Unlock()
		if s != nil {
			p.loops.Dial(s.addr, p.cfg.ConnectTimeout, s)
		}
		if answer == dialscheduler.Dial {
			continue
		}
		if at > 0 {
			later.Reset(max(at-now, time.Millisecond))
		} else {
			later.Reset(time.Second)
		}
		select {
		case <-p.kick:
		case <-later.C:
		case <-p.quit:
			return
		}
	}
}

// Cancel is engine.Back.
func (p *Pool) Cancel(a *engine.Attempt, kind engine.OutcomeKind) {
	p.mu.Lock()
	t := p.tasks[a.Seq]
	if t == nil || t.given { // its end is on its way
		p.mu.Unlock()
		return
	}
	t.given, t.kind = true, kind
	if c := t.call.conn; c != nil {
		c.send(item{give: t})
		p.mu.Unlock()
		return
	}
	end := engine.Outcome{Kind: engine.Unsent}
	switch {
	case kind == engine.TimedOut && t.call.site.lacking:
		end.Detail = "this machine could make no connection"
	case kind == engine.TimedOut: // no connection had room for all its time
		end.Kind = engine.NotConnected
	}
	p.mu.Unlock()
	p.end(t, end)
}

// CancelUnsent is engine.Back.
func (p *Pool) CancelUnsent(a *engine.Attempt) {
	p.mu.Lock()
	t := p.tasks[a.Seq]
	waits := t != nil && !t.given && t.call.conn == nil
	if waits {
		t.given, t.kind = true, engine.Unsent
	}
	p.mu.Unlock()
	if waits {
		p.end(t, engine.Outcome{Kind: engine.Unsent, Detail: "its endpoint is not to be sent to now"})
	}
}

// CloseIdle is engine.Back.
func (p *Pool) CloseIdle(ep control.EndpointID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.sites[ep]; s != nil {
		for _, c := range s.conns {
			c.retire()
		}
	}
}

// retire closes a connection if nothing is on it; guarded by Pool.mu.
func (c *conn) retire() {
	if c.load == 0 && !c.shut && c.usable {
		c.pool.cfg.Trace("endpoint %d: an idle connection is closed", c.site.ep)
		c.usable, c.shut = false, true
		c.unidle()
		c.gc.Wake()
	}
}

// idles puts a connection without attempts at the end of those that are idle; guarded by Pool.mu.
func (c *conn) idles() {
	c.since = c.pool.clock.Now()
	if c.place == nil && c.usable {
		c.place = c.pool.idle.PushBack(c)
	}
}

// unidle takes a connection off those that are idle; guarded by Pool.mu.
func (c *conn) unidle() {
	if c.place != nil {
		c.pool.idle.Remove(c.place)
		c.place = nil
	}
}

// end reports the end of an attempt, once.
func (p *Pool) end(t *task, e engine.Outcome) {
	p.mu.Lock()
	if t.ended {
		p.mu.Unlock()
		return
	}
	t.ended = true
	delete(p.tasks, t.a.Seq)
	k := t.call
	k.left--
	switch c := k.conn; {
	case c != nil && k.left == 0:
		if c.load--; c.load == 0 {
			c.idles()
		}
		p.refill(c.site)
	case c == nil && k.left == 0:
		k.site.pending = slices.DeleteFunc(k.site.pending, func(o *call) bool { return o == k })
		p.grow(k.site)
	}
	p.mu.Unlock()
	e.Seq = t.a.Seq
	p.report(e)
}

// refill puts pending calls on connections that have room again; guarded by Pool.mu.
func (p *Pool) refill(s *site) {
	n := 0
	for n < len(s.pending) && p.place(s.pending[n]) {
		n++
	}
	s.pending = append(s.pending[:0], s.pending[n:]...)
}

// fail ends calls that were never written.
func (p *Pool) fail(calls []*call, why string) {
	for _, k := range calls {
		for _, t := range k.tasks {
			p.end(t, engine.Outcome{Kind: engine.NotConnected, Detail: why})
		}
	}
}

// DialFailed is eventloop.Handler.
func (p *Pool) DialFailed(context any, err error) { p.noConnection(context.(*site), err) }

// noConnection tells all attempts that wait for a connection that there is none. That others of the endpoint may still be open
// is for the module to weigh. Where it is this machine that lacks something they go on waiting: that says nothing of the
// endpoint.
func (p *Pool) noConnection(s *site, err error) {
	why := failure(err)
	p.mu.Lock()
	s.dialing--
	s.lacking = why != dialscheduler.PeerFailed
	p.planner.Failed(p.elapsed(), why)
	var failed []*call
	if !s.lacking {
		failed, s.pending = s.pending, nil
	}
	p.grow(s)
	p.nudge()
	p.mu.Unlock()
	p.cfg.Trace("endpoint %d: no connection: %v; %d calls waited for it", s.ep, err, len(failed))
	p.fail(failed, err.Error())
}

// failure tells whose lack it was that a connection did not come about.
func failure(err error) dialscheduler.Failure {
	switch {
	case errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE):
		return dialscheduler.NoDescriptors
	case eventloop.IsLocal(err):
		return dialscheduler.LocalShortage
	}
	return dialscheduler.PeerFailed
}
