// Package outbound carries attempts to endpoints. It keeps a connection pool for each endpoint, on event loops. A
// Protocol speaks on the connections: HTTP/2 (NewHTTP2) with one stream for each attempt, or HTTP/1.1 (NewHTTP1)
// with one call at a time. The package does not decide whether, when and where to send; its caller does. It
// reports the end of each attempt once.
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

// Resolver maps endpoints to addresses.
type Resolver interface {
	// Address returns the address of an endpoint. The result ok is false if the endpoint was never listed.
	Address(ep control.EndpointID) (addr netip.AddrPort, ok bool)
}

// Protocol creates the protocol state for the connections of a Pool. NewHTTP1 and NewHTTP2 implement it.
type Protocol interface {
	Resolver
	// newSession returns the session of a connection that has just opened.
	newSession(c *conn, now time.Duration) session
	// batches reports whether the attempts of one Pool.Start form one call. Otherwise each attempt is a call of
	// its own.
	batches() bool
}

// Admission decides, just before a call is written, which of its attempts may be written. Its methods are called
// on event loops and must not wait for the engine.
type Admission interface {
	// Write returns nil if an attempt may be written now, and otherwise the reason why not.
	Write(now control.Time, a *engine.Attempt) error
	// Record records attempts that are written next, as one call, before any byte is sent. It returns those that
	// may be written: all of them, or, with an error, those that need no record.
	Record(call []*engine.Attempt) (writable []*engine.Attempt, err error)
	// MarkUnwritten reports that an attempt for which Write returned nil was not written after all.
	MarkUnwritten(a *engine.Attempt)
	// MarkPossiblyOver reports that an answer which is not proven to be that of a call may have ended the messages of these
	// attempts. Until the ends of the attempts are known, no call may be written for them.
	MarkPossiblyOver(attempts []*engine.Attempt)
}

// session is the protocol state of one connection. Only the connection's event loop uses it. It reports the ends
// of attempts by Pool.reportEnd.
type session interface {
	// receive handles bytes from the peer. An error ends the connection.
	receive(now time.Duration, b []byte) error
	// checkDeadlines applies the time limits of the protocol. An error ends the connection.
	checkDeadlines(now time.Duration) error
	// takeOutput returns the bytes to be written, once.
	takeOutput() []byte
	// hasCapacity reports whether a call can be started now.
	hasCapacity() bool
	// start writes a call. If it returns errNoCapacity, the call is queued again. Any other error means that the
	// peer cannot take a call of this size.
	start(now time.Duration, k *call, attempts []*attemptState) error
	// abandon gives up an attempt that has been started.
	abandon(now time.Duration, t *attemptState)
	// shutdown prepares an idle connection for being closed.
	shutdown(now time.Duration)
	// state returns the state as it is now.
	state() sessionState
	// connLost ends all attempts in flight with the given kind and reason, because the connection is gone.
	connLost(kind engine.OutcomeKind, reason string)
}

// sessionState is what the pool has to know of a session.
type sessionState struct {
	// ready is true once the connection can carry calls.
	ready bool
	// hasDeadlines is true while checkDeadlines has to be called regularly.
	hasDeadlines bool
	// done is true if the connection is to be closed.
	done bool
	// unsettled is true while the connection must stay open although it carries no call, to see what still arrives.
	unsettled bool
	// capacity is the number of concurrent calls that the connection can carry, including those in flight.
	capacity int
}

// errNoCapacity means that a connection cannot carry a call that was assigned to it.
var errNoCapacity = errors.New("no room on the connection")

// Config configures a Pool.
type Config struct {
	// Loops is the number of event loops.
	Loops int
	// MaxConnsPerEndpoint is the largest number of connections to one endpoint, open or being opened.
	MaxConnsPerEndpoint int
	// MaxStreams is the largest number of concurrent attempts on one HTTP/2 connection. The peer may allow fewer.
	// Each dial under way counts as enough for this many pending calls.
	MaxStreams int
	// ConnectTimeout is the time for a connection to be established. With HTTP/2 the peer's SETTINGS have as long
	// again to arrive.
	ConnectTimeout time.Duration
	// IdleTimeout is the time after which a connection without attempts is closed.
	IdleTimeout time.Duration
	// DialLimits bounds the dials to all endpoints together, and the number of connections.
	DialLimits dialscheduler.Limits
	// ProofConns is the number of open connections below which a new one is opened for a call that needs a proof for its answer, and
	// would not surely have it on those that have capacity.
	ProofConns int
	// MaxAnswerBytes is the number of bytes kept of a response body. HTTP/2 discards the rest of a longer one.
	// HTTP/1.1 treats a longer one as malformed and closes the connection.
	MaxAnswerBytes int
	// Trace receives a text for each lost connection, each failed dial, each idle connection that is closed, and
	// each log text of the event loops. It may be nil.
	Trace func(format string, a ...any)
	// ReportAnswer receives a text for each copy of an answer and for each answer that is taken back. It may be nil.
	ReportAnswer func(ep control.EndpointID, text string)
	// H2 configures HTTP/2 connections. ConnectTimeout replaces its Handshake.
	H2 h2.Config
	// Admission is asked when a call is about to be written. If it is nil, every attempt may be written.
	Admission Admission
	// System makes the system calls. If it is nil, eventloop.Kernel is used.
	System eventloop.System
}

// Pool holds the connections to all endpoints. Its methods are safe for concurrent use.
type Pool struct {
	cfg    Config
	proto  Protocol
	clock  clock.Clock
	report func(engine.Outcome)
	loops  *eventloop.Group
	// schedulerWake has runScheduler ask the scheduler again.
	schedulerWake chan struct{}
	quit          chan struct{}
	wg            sync.WaitGroup

	// mu guards the fields below down to monitored.
	mu        sync.Mutex
	scheduler *dialscheduler.Scheduler
	// endpoints holds the endpoints that have connections or calls. Others use no memory.
	endpoints map[control.EndpointID]*endpointPool
	// attempts holds the attempts without an end, by their sequence number.
	attempts map[uint64]*attemptState
	// idle lists the connections without calls, the longest idle first.
	idle *list.List
	// monitored holds the connections whose time limits are checked at each tick.
	monitored map[*conn]struct{}
	// lastCopyAt is when a copy of an answer was last seen. It is 0 if there was none.
	lastCopyAt time.Duration
	// answerCounts are the counts of AnswerCounts.
	answerCounts AnswerCounts

	// openConns counts the connections that are open on the event loops.
	openConns atomic.Int64
	// openedConns counts the connections that were opened.
	openedConns atomic.Uint64
}

// endpointPool is the connection pool of one endpoint. All fields are guarded by Pool.mu.
type endpointPool struct {
	id    control.EndpointID
	addr  netip.AddrPort
	conns []*conn
	// pending is the queue of calls for which no connection has capacity.
	pending []*call
	// calls counts the calls that have not ended, wherever they are: pending, on a connection, or on the way between the two.
	calls int
	// dialing counts the connections that are being opened and those that cannot carry calls yet.
	dialing int
	// requested is true while the scheduler holds a request of this endpoint.
	requested bool
	// localFailure is true if the latest dial failed because of this machine.
	localFailure bool
	// dialFailedAt is when a dial last failed. It is 0 if none has.
	dialFailedAt control.Time
	// activeUntil is the time until which the endpoint counts as recently active.
	activeUntil control.Time
	// lastPartAt is when the endpoint last sent bytes that are no answer. It is 0 if it sent none.
	lastPartAt time.Duration
	// slowestAnswer is the longest time that a call took from its request to its answer. It fades with each answer.
	slowestAnswer time.Duration
	// counts are the endpoint's part of Pool.answerCounts.
	counts AnswerCounts
}

// activePeriod is how long after its latest new connection an endpoint counts as recently active, so that its
// requests do not queue behind a burst of other endpoints.
const activePeriod = 60 * control.Second

// call is a request on a connection. It carries one attempt, or several if the protocol batches attempts. All
// fields are guarded by Pool.mu.
type call struct {
	endpoint *endpointPool
	// conn is the connection that the call is assigned to. It is nil while the call is pending.
	conn     *conn
	attempts []*attemptState
	// remaining counts the attempts without an end.
	remaining int
	// requeued is true if the call was assigned to a connection before and returned from it without being written.
	requeued bool
	// proofBy is until when the call waits for a connection on which any answer would be proven. It is 0 until it waits.
	proofBy control.Time
}

// attemptState is the state of one attempt. The fields ended, abandoned and endKind are guarded by Pool.mu. The
// fields after them belong to the event loop of the attempt's connection.
type attemptState struct {
	attempt *engine.Attempt
	call    *call
	// ended is true once the end has been reported.
	ended bool
	// abandoned is true if the attempt is to be given up, with endKind as the kind of its end.
	abandoned bool
	endKind   engine.OutcomeKind
	// streamID is the HTTP/2 stream of the attempt.
	streamID uint32
	// responseFields are the header fields of the response.
	responseFields []h2.Field
	// responseBody is what has arrived of the response body, up to Config.MaxAnswerBytes.
	responseBody []byte
	// hasHeaders is true once headers of the response have arrived.
	hasHeaders bool
}

// command is an order to a connection's event loop. Exactly one of its fields is set.
type command struct {
	// start is a call to be written.
	start *call
	// abandon is an attempt to be given up.
	abandon *attemptState
}

// conn is one connection.
type conn struct {
	pool     *Pool
	endpoint *endpointPool
	netConn  *eventloop.Conn
	// number numbers the connections of the pool from 1.
	number uint64
	// session is used on the connection's event loop only.
	session session

	// commands are the orders that the event loop has not executed yet. This field and those below are guarded by
	// Pool.mu.
	commands []command
	// closeWhenIdle is true if the connection is to be closed and takes no further calls.
	closeWhenIdle bool
	// inFlight counts the calls that are assigned to the connection and have not ended.
	inFlight int
	// capacity is the number of calls that the connection can carry at once.
	capacity int
	// usable is true while calls may be assigned to the connection.
	usable bool
	// idleSince is the time at which the connection was last left without calls.
	idleSince control.Time
	// idleElement is the connection's element in Pool.idle. It is nil while the connection is not listed there.
	idleElement *list.Element
	// established is true while the scheduler counts the connection as open.
	established bool
	// provableAt is the time from which the answer to the next call is sure to be proven, or neverProvable.
	provableAt control.Time
	// doubtfulUntil is the time until which a refusal on the connection would not be proven.
	doubtfulUntil control.Time
	// settling is true while the connection rests until earlier answers on it are proven or given up.
	settling bool
	// canName is true if answers on the connection can name their messages.
	canName bool
}

// neverProvable is conn.provableAt of a connection on which no answer can be proven any more.
const neverProvable = control.Time(never / time.Microsecond)

// New creates a Pool and starts its event loops. The function report receives the end of each attempt. It is
// called from any goroutine and must not block. New fails if the machine lacks a resource that the event loops
// need.
func New(cfg Config, proto Protocol, clock clock.Clock, report func(engine.Outcome)) (*Pool, error) {
	p := &Pool{cfg: cfg, proto: proto, clock: clock, report: report, endpoints: map[control.EndpointID]*endpointPool{},
		attempts: map[uint64]*attemptState{}, quit: make(chan struct{}), schedulerWake: make(chan struct{}, 1),
		scheduler: dialscheduler.New(cfg.DialLimits), idle: list.New(), monitored: map[*conn]struct{}{}}
	if p.cfg.Trace == nil {
		p.cfg.Trace = func(string, ...any) {}
	}
	if p.cfg.ReportAnswer == nil {
		p.cfg.ReportAnswer = func(control.EndpointID, string) {}
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

// tickInterval returns the time between two checks of the time limits.
func (p *Pool) tickInterval() time.Duration {
	return min(250*time.Millisecond, max(10*time.Millisecond, p.cfg.ConnectTimeout/8))
}

// Close ends all connections and stops the event loops. Attempts that have no end yet may be reported until Close
// returns, or not at all.
func (p *Pool) Close() {
	close(p.quit)
	p.wg.Wait()
	p.loops.Stop()
}

// Connections returns the number of open connections.
func (p *Pool) Connections() int { return int(p.openConns.Load()) }

// Start sends attempts, which must all be to one endpoint if the protocol batches them. It does not block. An
// attempt to an endpoint without an address ends as NotConnected.
func (p *Pool) Start(attempts []*engine.Attempt) {
	if p.proto.batches() {
		p.startCall(attempts)
		return
	}
	for i := range attempts {
		p.startCall(attempts[i : i+1])
	}
}

// startCall starts one call. All its attempts are to the same endpoint.
func (p *Pool) startCall(attempts []*engine.Attempt) {
	p.mu.Lock()
	ep := attempts[0].Endpoint
	s := p.endpoints[ep]
	if s == nil {
		addr, ok := p.proto.Address(ep)
		if !ok {
			p.mu.Unlock()
			for _, a := range attempts {
				p.report(engine.Outcome{Seq: a.Seq, Kind: engine.NotConnected, Detail: "endpoint without an address"})
			}
			return
		}
		s = &endpointPool{id: ep, addr: addr}
		p.endpoints[ep] = s
	}
	k := &call{endpoint: s, remaining: len(attempts)}
	s.calls++
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

// enqueue adds a command for the connection's event loop. Pool.mu must be held.
func (c *conn) enqueue(cmd command) {
	c.commands = append(c.commands, cmd)
	if len(c.commands) == 1 {
		c.netConn.Wake()
	}
}

// requestConn asks the scheduler for another connection if calls wait for capacity, and withdraws the request if
// they no longer do. It also deletes an endpoint that has no connections and no calls. Pool.mu must be held.
func (p *Pool) requestConn(s *endpointPool) {
	switch {
	case len(s.pending) <= s.dialing*p.cfg.MaxStreams || p.atConnLimit(s):
		if s.requested {
			s.requested = false
			p.scheduler.Remove(uint64(s.id))
		}
		// The call that an end is reported for may have been the last one of an endpointPool that was deleted. The one that
		// replaced it stays.
		if len(s.conns) == 0 && s.dialing == 0 && s.calls == 0 && p.endpoints[s.id] == s {
			delete(p.endpoints, s.id)
		}
		return
	case s.requested:
		return
	}
	s.requested = true
	first := s.pending[0].attempts[0].attempt
	p.scheduler.Enqueue(dialscheduler.Request{Key: uint64(s.id), Priority: first.Value, Deadline: time.Duration(first.Deadline) * time.Microsecond,
		RecentlyActive: s.activeUntil > p.clock.Now()})
	p.wakeScheduler()
}

// wakeScheduler has runScheduler ask the scheduler again. It does not block.
func (p *Pool) wakeScheduler() {
	select {
	case p.schedulerWake <- struct{}{}:
	default:
	}
}

// runScheduler asks the scheduler what to dial next and starts the dials. It returns after Close.
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
			if s = p.endpoints[control.EndpointID(key)]; s == nil {
				p.scheduler.Failed(now, dialscheduler.PeerFailed)
			} else {
				s.requested = false
				s.dialing++
				// More calls may wait than this connection can carry. The next one is requested at once.
				p.requestConn(s)
			}
		// The connection that has been idle longest is closed for a new one. If none is idle, all requests wait.
		case dialscheduler.CloseIdle:
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

// Cancel gives up an attempt that the engine no longer waits for. An attempt that was written ends with the given
// kind, unless its real end comes first. One that was assigned to a connection and not written ends as Unsent. One
// that waits for a connection ends as Unsent, too, or as NotConnected if its time has run out and the latest dial
// did not fail because of this machine.
func (p *Pool) Cancel(a *engine.Attempt, kind engine.OutcomeKind) {
	p.mu.Lock()
	t := p.attempts[a.Seq]
	// The attempt has ended, or its end is already on the way.
	if t == nil || t.abandoned {
		p.mu.Unlock()
		return
	}
	t.abandoned, t.endKind = true, kind
	if c := t.call.conn; c != nil {
		c.enqueue(command{abandon: t})
		p.mu.Unlock()
		return
	}
	end := engine.Outcome{Kind: engine.Unsent}
	switch {
	case kind == engine.TimedOut && t.call.endpoint.localFailure:
		end.Detail = "this machine could make no connection"
	// No connection had capacity for the attempt in all its time.
	case kind == engine.TimedOut:
		end.Kind = engine.NotConnected
	}
	p.mu.Unlock()
	p.reportEnd(t, end)
}

// CancelUnsent withdraws an attempt that waits for a connection. It ends as Unsent. An attempt that is assigned to a
// connection is not affected.
func (p *Pool) CancelUnsent(a *engine.Attempt) {
	p.mu.Lock()
	t := p.attempts[a.Seq]
	waiting := t != nil && !t.abandoned && t.call.conn == nil
	if waiting {
		t.abandoned, t.endKind = true, engine.Unsent
	}
	p.mu.Unlock()
	if waiting {
		p.reportEnd(t, engine.Outcome{Kind: engine.Unsent, Detail: "its endpoint is not to be sent to now"})
	}
}

// CloseIdle closes the connections of an endpoint that carry no calls.
func (p *Pool) CloseIdle(ep control.EndpointID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.endpoints[ep]; s != nil {
		for _, c := range s.conns {
			c.closeIdle()
		}
	}
}

// closeIdle starts to close a connection if it carries no calls. Pool.mu must be held.
func (c *conn) closeIdle() {
	if c.inFlight == 0 && !c.closeWhenIdle && c.usable {
		c.pool.cfg.Trace("endpoint %d: an idle connection is closed", c.endpoint.id)
		c.usable, c.closeWhenIdle = false, true
		c.unmarkIdle()
		c.netConn.Wake()
	}
}

// markIdle appends a connection without calls to Pool.idle. Pool.mu must be held.
func (c *conn) markIdle() {
	c.idleSince = c.pool.clock.Now()
	if c.idleElement == nil && c.usable {
		c.idleElement = c.pool.idle.PushBack(c)
	}
}

// unmarkIdle removes a connection from Pool.idle. Pool.mu must be held.
func (c *conn) unmarkIdle() {
	if c.idleElement != nil {
		c.pool.idle.Remove(c.idleElement)
		c.idleElement = nil
	}
}

// reportEnd reports the end of an attempt, and does nothing if it was reported before. A call without further
// attempts leaves its connection or the queue.
func (p *Pool) reportEnd(t *attemptState, e engine.Outcome) {
	p.mu.Lock()
	if t.ended {
		p.mu.Unlock()
		return
	}
	t.ended = true
	delete(p.attempts, t.attempt.Seq)
	k := t.call
	if k.remaining--; k.remaining == 0 {
		k.endpoint.calls--
	}
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

// failCalls ends calls that were never written as NotConnected.
func (p *Pool) failCalls(calls []*call, reason string) {
	for _, k := range calls {
		for _, t := range k.attempts {
			p.reportEnd(t, engine.Outcome{Kind: engine.NotConnected, Detail: reason})
		}
	}
}

// DialFailed implements eventloop.Handler.
func (p *Pool) DialFailed(context any, err error) { p.connectFailed(context.(*endpointPool), err) }

// connectFailed handles a connection that was not established. If the peer is the cause, all calls that wait for a
// connection to the endpoint end as NotConnected, even if other connections to it are open; the engine weighs
// that. If this machine is the cause, the calls go on waiting, because that says nothing about the endpoint.
func (p *Pool) connectFailed(s *endpointPool, err error) {
	failure := classifyDialError(err)
	p.mu.Lock()
	s.dialing--
	s.localFailure, s.dialFailedAt = failure != dialscheduler.PeerFailed, p.clock.Now()
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

// classifyDialError returns the cause of a failed dial in the scheduler's terms.
func classifyDialError(err error) dialscheduler.Failure {
	switch {
	case errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE):
		return dialscheduler.NoDescriptors
	case eventloop.IsLocal(err):
		return dialscheduler.LocalShortage
	}
	return dialscheduler.PeerFailed
}
