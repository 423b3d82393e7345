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
	Address(ep control.Endpoint) (addr netip.AddrPort, ok bool)
}

// Protocol is what is spoken on the connections of a Pool.
type Protocol interface {
	Resolver
	newSession(c *conn, now time.Duration) session
	batches() bool // the attempts of one Start go as one call; else each is a call
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
type session interface {
	receive(now time.Duration, b []byte) error
	checkDeadlines(now time.Duration) error
	takeOutput() []byte
	hasCapacity() bool                                                // a call can be started now
	start(now time.Duration, k *call, attempts []*attemptState) error // errNoRoom: the call waits for room again
	abandon(now time.Duration, t *attemptState)
	shutdown(now time.Duration) // it is closed next, idle
	state() sessionState
	connLost(kind engine.EndKind, reason string) // the connection is gone: all that is out ends
}

// sessionState is how a line stands.
type sessionState struct {
	ready        bool // it can carry calls
	hasDeadlines bool // its time limits are to be looked at
	done         bool // it is to be closed
	capacity     int  // calls that it can carry in all
}

// errNoCapacity tells that a connection can't carry a call that was put on it.
var errNoCapacity = errors.New("no room on the connection")

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
	cfg           Config
	proto         Protocol
	clock         clock.Clock
	report        func(engine.End)
	loops         *eventloop.Group
	schedulerWake chan struct{} // something changed for the planner
	quit          chan struct{}
	wg            sync.WaitGroup

	mu        sync.Mutex
	scheduler *dialscheduler.Scheduler
	endpoints map[control.Endpoint]*endpointPool // those with connections or attempts; the others cost nothing
	attempts  map[uint64]*attemptState           // attempts without an end
	idle      *list.List                         // connections without attempts, longest idle first
	monitored map[*conn]struct{}                 // connections whose time limits are looked at

	openConns atomic.Int64
}

// site is the pool of one endpoint. All fields are guarded by Pool.mu.
type endpointPool struct {
	id           control.Endpoint
	addr         netip.AddrPort
	conns        []*conn
	pending      []*call // calls for which no connection has room
	dialing      int
	requested    bool         // a connection more is wished for
	localFailure bool         // the last connection did not come about for want of something on this machine
	activeUntil  control.Time // counts as busy until then
}

// activePeriod is how long after its last connection an endpoint counts as busy to the planner.
const activePeriod = 60 * control.Second

// call is what goes out together: one attempt, or several where the protocol has bulk calls. Guarded by Pool.mu.
type call struct {
	endpoint  *endpointPool
	conn      *conn // where it was put, nil while it is pending
	attempts  []*attemptState
	remaining int  // tasks without an end
	requeued  bool // it lost the connection that it was put on before it was written
}

// attemptState is one attempt. ended, given and kind are guarded by Pool.mu; the rest belongs to the event loop of its conn.
type attemptState struct {
	attempt        *engine.Attempt
	call           *call
	ended          bool // reported
	abandoned      bool // it is to be given up ...
	endKind        engine.EndKind
	streamID       uint32
	responseFields []h2.Field
	responseBody   []byte
	hasHeaders     bool
}

// command is something for a connection's event loop: a call to start, or an attempt to give up.
type command struct {
	start   *call
	abandon *attemptState
}

// conn is one connection.
type conn struct {
	pool     *Pool
	endpoint *endpointPool
	netConn  *eventloop.Conn
	session  session // used on its event loop only

	// Guarded by Pool.mu.
	commands      []command
	closeWhenIdle bool // to be closed if idle
	inFlight      int  // calls put on it and not ended
	capacity      int  // calls that it can carry
	usable        bool
	idleSince     control.Time  // idle since
	idleElement   *list.Element // in Pool.idle
	established   bool          // the planner counts it as open
}

// New makes a Pool that reports ends to report, which must not block.
func New(cfg Config, proto Protocol, clock clock.Clock, report func(engine.End)) (*Pool, error) {
	p := &Pool{cfg: cfg, proto: proto, clock: clock, report: report, endpoints: map[control.Endpoint]*endpointPool{},
		attempts: map[uint64]*attemptState{}, quit: make(chan struct{}), schedulerWake: make(chan struct{}, 1),
		scheduler: dialscheduler.New(cfg.DialLimits), idle: list.New(), monitored: map[*conn]struct{}{}}
	if p.cfg.Trace == nil {
		p.cfg.Trace = func(string, ...any) {}
	}
	var err error
	p.loops, err = eventloop.New(eventloop.Config{Loops: cfg.Loops, TickInterval: p.tickInterval(), System: cfg.System, Log: func(text string) { p.cfg.Trace("%s", text) }}, p, clock)
	if err != nil {
		return nil, fmt.Errorf("outbound: %w", err)
	}
	p.loops.Start()
	p.wg.Go(p.runScheduler)
	return p, nil
}

// tickInterval is how often time limits are looked at.
func (p *Pool) tickInterval() time.Duration {
	return min(250*time.Millisecond, max(10*time.Millisecond, p.cfg.ConnectTimeout/8))
}

// Close ends all connections; attempts that are out have no end any more.
func (p *Pool) Close() {
	close(p.quit)
	p.wg.Wait()
	p.loops.Stop()
}

// Connections counts the open connections.
func (p *Pool) Connections() int { return int(p.openConns.Load()) }

// Start is engine.Back.
func (p *Pool) Start(attempts []*engine.Attempt) {
	if p.proto.batches() {
		p.startCall(attempts)
		return
	}
	for i := range attempts {
		p.startCall(attempts[i : i+1])
	}
}

// startCall starts one call.
func (p *Pool) startCall(attempts []*engine.Attempt) {
	p.mu.Lock()
	ep := attempts[0].Endpoint
	s := p.endpoints[ep]
	if s == nil {
		addr, ok := p.proto.Address(ep)
		if !ok {
			p.mu.Unlock()
			for _, a := range attempts {
				p.report(engine.End{Seq: a.Seq, Kind: engine.NotConnected, Detail: "endpoint without an address"})
			}
			return
		}
		s = &endpointPool{id: ep, addr: addr}
		p.endpoints[ep] = s
	}
	k := &call{endpoint: s, remaining: len(attempts)}
	for _, a := range attempts {
		t := &attemptState{attempt: a, call: k}
		k.attempts = append(k.attempts, t)
		p.attempts[a.Seq] = t
	}
	if !p.assign(k) {
		s.pending = append(s.pending, k)
	}
	p.requestConn(s)
	p.mu.Unlock()
}

// place puts a call on the first connection with room: calls of one round to one endpoint share one where they can, so
// that a batch leaves in one write. One idle for too long is passed over: its peer may be closing it.
func (p *Pool) assign(k *call) bool {
	idleBefore := p.clock.Now() - control.Time(p.cfg.IdleTimeout/time.Microsecond)
	for _, c := range k.endpoint.conns {
		if c.usable && c.inFlight < c.capacity && (c.inFlight > 0 || c.idleSince >= idleBefore) {
			k.conn = c
			c.inFlight++
			c.unmarkIdle()
			c.enqueue(command{start: k})
			return true
		}
	}
	return false
}

// enqueue puts something into the inbox of a connection; guarded by Pool.mu.
func (c *conn) enqueue(cmd command) {
	c.commands = append(c.commands, cmd)
	if len(c.commands) == 1 {
		c.netConn.Wake()
	}
}

// requestConn wishes for a further connection where attempts wait for room; guarded by Pool.mu.
func (p *Pool) requestConn(s *endpointPool) {
	switch {
	case len(s.pending) <= s.dialing*p.cfg.MaxStreams || len(s.conns)+s.dialing >= p.cfg.MaxConnsPerEndpoint:
		if s.requested {
			s.requested = false
			p.scheduler.Remove(uint64(s.id))
		}
		// Ends that are still reported for a site dropped before must not drop the one made since.
		if len(s.conns) == 0 && s.dialing == 0 && len(s.pending) == 0 && p.endpoints[s.id] == s {
			delete(p.endpoints, s.id)
		}
		return
	case s.requested:
		return
	}
	s.requested = true
	first := s.pending[0].attempts[0].attempt
	p.scheduler.Enqueue(dialscheduler.Request{Key: uint64(s.id), Priority: first.Worth, Deadline: time.Duration(first.Due) * time.Microsecond,
		RecentlyActive: s.activeUntil > p.clock.Now()})
	p.wakeScheduler()
}

// wakeScheduler has the planner asked again.
func (p *Pool) wakeScheduler() {
	select {
	case p.schedulerWake <- struct{}{}:
	default:
	}
}

// runScheduler asks the planner what to open next, and hands it to the dialers.
func (p *Pool) runScheduler() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		p.mu.Lock()
		now := p.elapsed()
		decision, key, retryAt := p.scheduler.Next(now)
		var s *endpointPool
		switch decision {
		case dialscheduler.Dial:
			if s = p.endpoints[control.Endpoint(key)]; s == nil {
				p.scheduler.Failed(now, dialscheduler.PeerFailed)
			} else {
				s.requested = false
				s.dialing++
				p.requestConn(s) // many may wait: one connection more is wished for at once
			}
		case dialscheduler.CloseIdle: // the longest idle connection makes room; with none idle all wait
			if e := p.idle.Front(); e != nil {
				e.Value.(*conn).closeIdle()
				e.Value.(*conn).unmarkIdle()
			}
		}
		p.mu.Unlock()
		if s != nil {
			p.loops.Dial(s.addr, p.cfg.ConnectTimeout, s)
		}
		if decision == dialscheduler.Dial {
			continue
		}
		if retryAt > 0 {
			timer.Reset(max(retryAt-now, time.Millisecond))
		} else {
			timer.Reset(time.Second)
		}
		select {
		case <-p.schedulerWake:
		case <-timer.C:
		case <-p.quit:
			return
		}
	}
}

// Abandon is engine.Back.
func (p *Pool) Abandon(a *engine.Attempt, kind engine.EndKind) {
	p.mu.Lock()
	t := p.attempts[a.Seq]
	if t == nil || t.abandoned { // its end is on its way
		p.mu.Unlock()
		return
	}
	t.abandoned, t.endKind = true, kind
	if c := t.call.conn; c != nil {
		c.enqueue(command{abandon: t})
		p.mu.Unlock()
		return
	}
	end := engine.End{Kind: engine.Unsent}
	switch {
	case kind == engine.OutOfTime && t.call.endpoint.localFailure:
		end.Detail = "this machine could make no connection"
	case kind == engine.OutOfTime: // no connection had room for all its time
		end.Kind = engine.NotConnected
	}
	p.mu.Unlock()
	p.reportEnd(t, end)
}

// Unsend is engine.Back.
func (p *Pool) Unsend(a *engine.Attempt) {
	p.mu.Lock()
	t := p.attempts[a.Seq]
	waiting := t != nil && !t.abandoned && t.call.conn == nil
	if waiting {
		t.abandoned, t.endKind = true, engine.Unsent
	}
	p.mu.Unlock()
	if waiting {
		p.reportEnd(t, engine.End{Kind: engine.Unsent, Detail: "its endpoint is not to be sent to now"})
	}
}

// CloseIdle is engine.Back.
func (p *Pool) CloseIdle(ep control.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.endpoints[ep]; s != nil {
		for _, c := range s.conns {
			c.closeIdle()
		}
	}
}

// closeIdle closes a connection if nothing is on it; guarded by Pool.mu.
func (c *conn) closeIdle() {
	if c.inFlight == 0 && !c.closeWhenIdle && c.usable {
		c.pool.cfg.Trace("endpoint %d: an idle connection is closed", c.endpoint.id)
		c.usable, c.closeWhenIdle = false, true
		c.unmarkIdle()
		c.netConn.Wake()
	}
}

// markIdle puts a connection without attempts at the end of those that are idle; guarded by Pool.mu.
func (c *conn) markIdle() {
	c.idleSince = c.pool.clock.Now()
	if c.idleElement == nil && c.usable {
		c.idleElement = c.pool.idle.PushBack(c)
	}
}

// unmarkIdle takes a connection off those that are idle; guarded by Pool.mu.
func (c *conn) unmarkIdle() {
	if c.idleElement != nil {
		c.pool.idle.Remove(c.idleElement)
		c.idleElement = nil
	}
}

// reportEnd reports the end of an attempt, once.
func (p *Pool) reportEnd(t *attemptState, e engine.End) {
	p.mu.Lock()
	if t.ended {
		p.mu.Unlock()
		return
	}
	t.ended = true
	delete(p.attempts, t.attempt.Seq)
	k := t.call
	k.remaining--
	switch c := k.conn; {
	case c != nil && k.remaining == 0:
		if c.inFlight--; c.inFlight == 0 {
			c.markIdle()
		}
		p.assignPending(c.endpoint)
	case c == nil && k.remaining == 0:
		k.endpoint.pending = slices.DeleteFunc(k.endpoint.pending, func(o *call) bool { return o == k })
		p.requestConn(k.endpoint)
	}
	p.mu.Unlock()
	e.Seq = t.attempt.Seq
	p.report(e)
}

// assignPending puts pending calls on connections that have room again; guarded by Pool.mu.
func (p *Pool) assignPending(s *endpointPool) {
	n := 0
	for n < len(s.pending) && p.assign(s.pending[n]) {
		n++
	}
	s.pending = append(s.pending[:0], s.pending[n:]...)
}

// failCalls ends calls that were never written.
func (p *Pool) failCalls(calls []*call, reason string) {
	for _, k := range calls {
		for _, t := range k.attempts {
			p.reportEnd(t, engine.End{Kind: engine.NotConnected, Detail: reason})
		}
	}
}

// DialFailed is eventloop.Handler.
func (p *Pool) DialFailed(context any, err error) { p.connectFailed(context.(*endpointPool), err) }

// connectFailed tells all attempts that wait for a connection that there is none. That others of the endpoint may still be open
// is for the module to weigh. Where it is this machine that lacks something they go on waiting: that says nothing of the
// endpoint.
func (p *Pool) connectFailed(s *endpointPool, err error) {
	failure := classifyDialError(err)
	p.mu.Lock()
	s.dialing--
	s.localFailure = failure != dialscheduler.PeerFailed
	p.scheduler.Failed(p.elapsed(), failure)
	var failed []*call
	if !s.localFailure {
		failed, s.pending = s.pending, nil
	}
	p.requestConn(s)
	p.wakeScheduler()
	p.mu.Unlock()
	p.cfg.Trace("endpoint %d: no connection: %v; %d calls waited for it", s.id, err, len(failed))
	p.failCalls(failed, err.Error())
}

// classifyDialError tells whose lack it was that a connection did not come about.
func classifyDialError(err error) dialscheduler.Failure {
	switch {
	case errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE):
		return dialscheduler.NoDescriptors
	case eventloop.IsLocal(err):
		return dialscheduler.LocalShortage
	}
	return dialscheduler.PeerFailed
}
