// Package partner provides stand-in partners: HTTP/2 servers with a configurable service time, concurrency, rate limit
// and cold start, and with faults that are injected on command. Every stand-in logs what it saw on its sockets. The
// package serves demonstrations, fault scenarios and tests.
package partner

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"

	"whinrun/internal/clock"
	"whinrun/internal/h2"
)

// Config describes a partner without faults.
type Config struct {
	// Name is the name under which events are logged.
	Name string
	// ServiceTime is the mean time that a call takes.
	ServiceTime time.Duration
	// Concurrency is how many calls an endpoint processes at once. Further calls are queued. 0 means no bound.
	Concurrency int
	// Capacity is how many calls a second all endpoints together can process when warm. It only matters for cold starts.
	// 0 means that the partner is never overloaded.
	Capacity float64
	// RateLimit is how many calls a second the partner accepts. It answers further calls with 429. 0 means no limit.
	RateLimit float64
	// SendRetryAfter adds a Retry-After header to the 429 answers.
	SendRetryAfter bool
	// ColdShare is the share of Capacity that is available right after an outage.
	ColdShare float64
	// WarmUp is the time in which the available capacity rises linearly from ColdShare to all of Capacity.
	WarmUp time.Duration
	// OverloadFactor is the multiple of the available capacity above which a cold partner fails permanently.
	OverloadFactor float64
	// OverloadWindow is the length of the sliding window in which calls are counted against OverloadFactor.
	OverloadWindow time.Duration
	// MaxConns is how many connections an endpoint accepts. 0 means no bound.
	MaxConns int
	// MaxStreams is the number of concurrent streams on a connection. 0 means 100.
	MaxStreams uint32
	// IdleTimeout is the idle time after which a connection silently stops answering. The dispatcher gets no sign of
	// it. 0 means never.
	IdleTimeout time.Duration
	// SettingsDelay is the time between the accept of a connection and the partner's SETTINGS frame.
	SettingsDelay time.Duration
	// Seed seeds the random service times and fault decisions.
	Seed uint64
}

// Fault is a set of faults of an endpoint. They are in force until the next SetFault. The zero value is no fault.
type Fault struct {
	// Crash resets all connections and refuses new ones.
	Crash bool
	// Blackhole ignores all that is read and writes nothing.
	Blackhole bool
	// Hang accepts streams and answers none.
	Hang bool
	// Unavailable answers all calls with 503 and a Retry-After. AvailableAt sets the time that it names.
	Unavailable bool
	// SlowFactor multiplies the service time. 0 leaves it as it is.
	SlowFactor float64
	// Pause is how long the endpoint stands still at the start of every PauseInterval.
	Pause time.Duration
	// PauseInterval is the time from the start of one pause to the start of the next. 0 means no pauses.
	PauseInterval time.Duration
	// LostResponseRate is the share of calls that are applied and never answered.
	LostResponseRate float64
	// Error is the share of calls that are answered with 500 at once and not applied.
	Error float64
	// ResetRate is the share of calls that are applied and whose stream is reset in the middle of the response.
	ResetRate float64
	// RefusalRate is the share of streams that are reset with REFUSED_STREAM.
	RefusalRate float64
	// ResponseDelay is the time between the effect of a call and its response.
	ResponseDelay time.Duration
	// MalformedRate is the share of calls that are applied and answered with a malformed frame.
	MalformedRate float64
	// NotFoundRate is the share of calls that are answered with 404.
	NotFoundRate float64
	// ErrorClass limits Error to messages of this class. The empty string means all classes.
	ErrorClass string
	// AvailableAt is when an Unavailable endpoint opens again, as time since the start of the log. The Retry-After of
	// its 503 answers counts down to it.
	AvailableAt time.Duration
}

// EventKind says what a stand-in saw or did.
type EventKind string

// The kinds of events.
const (
	// RequestReceived means that a complete request was received.
	RequestReceived EventKind = "arrived"
	// Applied means that the call took effect.
	Applied EventKind = "applied"
	// Deduplicated means that the call's idempotency key had taken effect before. The call was dropped and answered as
	// done.
	Deduplicated EventKind = "repeat"
	// Responded means that a response with a status was sent.
	Responded EventKind = "answer"
	// NoResponse means that the call will not be answered.
	NoResponse EventKind = "mute"
	// StreamReset means that the stand-in reset the stream or broke the connection with a malformed frame.
	StreamReset EventKind = "cut"
	// PeerClosed means that the dispatcher reset the stream, or the connection was closed.
	PeerClosed EventKind = "gone"
	// ConnRefused means that a connection was closed right after accept because of MaxConns.
	ConnRefused EventKind = "refused"
	// Overloaded means that a cold partner received too many calls and fails from then on.
	Overloaded EventKind = "tipped"
	// Recovered means that an outage ended and the partner is cold.
	Recovered EventKind = "returned"
	// OutageStarted means that an outage began.
	OutageStarted EventKind = "down"
	// ReadingStopped means that the endpoint reads nothing from then on, so the ends of its attempts are not logged.
	ReadingStopped EventKind = "blind"
)

// Event is one entry of the log.
type Event struct {
	// At is the time since the start of the log.
	At   time.Duration
	Kind EventKind
	// Partner is the name of the stand-in.
	Partner  string
	Endpoint netip.AddrPort
	// Conn is the number of the connection. It is unique in a partner.
	Conn   int
	Stream uint32
	// Path is the request path. The partners of a wave share a stand-in and differ in their paths.
	Path string
	// MessageID is the dispatcher's identifier of the message.
	MessageID string
	// Attempt is the dispatcher's identifier of the attempt.
	Attempt string
	// CorrelationID is the client's identifier of the message, the first word of the body.
	CorrelationID string
	// Class is the class of the message, the second word of the body.
	Class string
	// OrderKey is the order key, the third word of the body, or "-" without one.
	OrderKey string
	// Status is the HTTP status of a response, or the HTTP/2 error code of a reset.
	Status int
	// RetryAfter is the wait that the response named, 0 for none.
	RetryAfter time.Duration
}

// Log collects the events of all stand-ins of a run in one order and on one clock.
type Log struct {
	mu        sync.Mutex
	stopwatch clock.Stopwatch
	events    []Event
	maxEvents int // further events are dropped
}

// NewLog starts a log that keeps at most maxEvents events and drops all later ones.
func NewLog(maxEvents int) *Log { return &Log{stopwatch: clock.StartStopwatch(), maxEvents: maxEvents} }

// StartTime returns the wall-clock time at which the log started.
func (l *Log) StartTime() time.Time { return l.stopwatch.StartedAt() }

// Now returns the time since the start of the log.
func (l *Log) Now() time.Duration { return l.stopwatch.Elapsed() }

// add appends an event. An event without a time gets the present one.
func (l *Log) add(e Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.At == 0 {
		e.At = l.stopwatch.Elapsed()
	}
	if len(l.events) < l.maxEvents {
		l.events = append(l.events, e)
	}
}

// Events returns the events logged so far.
func (l *Log) Events() []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.events[:len(l.events):len(l.events)]
}

// Partner is a stand-in with its endpoints.
type Partner struct {
	cfg Config
	log *Log

	mu             sync.Mutex
	rng            *rand.Rand
	endpoints      []*Endpoint
	appliedKeys    map[string]bool // idempotency keys that took effect
	windowStart    time.Duration   // start of the one-second window of the rate limit
	windowCalls    int             // calls counted in that window
	rateLimit      float64         // calls a second, 0 for no limit
	sendRetryAfter bool
	recoveredAt    time.Duration   // end of the last outage, 0 for none
	overloaded     bool            // the partner has failed permanently
	recentCalls    []time.Duration // arrival times within OverloadWindow
	lastConnID     int
}

// New returns a partner without endpoints.
func New(cfg Config, log *Log) *Partner {
	return &Partner{cfg: cfg, log: log, rng: rand.New(rand.NewPCG(cfg.Seed, 7)), appliedKeys: map[string]bool{}, rateLimit: cfg.RateLimit,
		sendRetryAfter: cfg.SendRetryAfter}
}

// Name returns the partner's name.
func (p *Partner) Name() string { return p.cfg.Name }

// Endpoints returns the partner's endpoints in the order in which they were added.
func (p *Partner) Endpoints() []*Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endpoints[:len(p.endpoints):len(p.endpoints)]
}

// SetLimit changes the rate limit, in calls a second with 0 for none, and whether 429 answers carry a Retry-After.
func (p *Partner) SetLimit(perSecond float64, sendRetryAfter bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rateLimit, p.sendRetryAfter = perSecond, sendRetryAfter
}

// Endpoint is one listening address of a partner.
type Endpoint struct {
	partner *Partner
	addr    netip.AddrPort

	mu       sync.Mutex
	listener net.Listener
	conns    map[*conn]bool
	fault    Fault
	active   int     // calls being processed
	queue    []*call // calls waiting for a free place among Config.Concurrency
	closed   bool
	wg       sync.WaitGroup
}

// Listen adds an endpoint that listens at an address. Port 0 takes a free port.
func (p *Partner) Listen(addr string) (*Endpoint, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("partner %s: %w", p.cfg.Name, err)
	}
	e := &Endpoint{partner: p, addr: listener.Addr().(*net.TCPAddr).AddrPort(), listener: listener, conns: map[*conn]bool{}}
	p.mu.Lock()
	p.endpoints = append(p.endpoints, e)
	p.mu.Unlock()
	e.wg.Add(1)
	go e.accept(listener)
	return e, nil
}

// Addr returns the address at which the endpoint listens.
func (e *Endpoint) Addr() netip.AddrPort { return e.addr }

// Close closes the listener and all connections, and waits for their goroutines.
func (e *Endpoint) Close() {
	e.mu.Lock()
	e.closed = true
	if e.listener != nil {
		_ = e.listener.Close()
	}
	conns := e.connList()
	e.mu.Unlock()
	for _, c := range conns {
		c.close(false)
	}
	e.wg.Wait()
}

// Close closes all endpoints.
func (p *Partner) Close() {
	for _, e := range p.Endpoints() {
		e.Close()
	}
}

// connList returns the open connections. Endpoint.mu is held.
func (e *Endpoint) connList() []*conn {
	var all []*conn
	for c := range e.conns {
		all = append(all, c)
	}
	return all
}

// isOutage reports whether the fault is an outage, after which the partner is cold.
func (f Fault) isOutage() bool {
	return f.Crash || f.Blackhole || f.Hang || f.Unavailable || f.Error >= 0.5
}

// SetFault replaces the endpoint's faults; the zero Fault removes them. When an outage of the endpoint ends, the whole
// partner is cold again.
func (e *Endpoint) SetFault(f Fault) error {
	e.mu.Lock()
	old := e.fault
	e.fault = f
	conns := e.connList()
	var err error
	switch {
	case f.Crash && e.listener != nil:
		_ = e.listener.Close()
		e.listener = nil
	case !f.Crash && e.listener == nil && !e.closed:
		if e.listener, err = net.Listen("tcp", e.addr.String()); err == nil {
			e.wg.Add(1)
			go e.accept(e.listener)
		}
	}
	e.mu.Unlock()
	if f.Crash || old.Blackhole && !f.Blackhole {
		// An endpoint that returns from a blackhole has lost the state of its connections.
		for _, c := range conns {
			c.close(true)
		}
	}
	if f.Blackhole {
		e.logEvent(Event{Kind: ReadingStopped})
	}
	switch {
	case f.isOutage() && !old.isOutage():
		e.logEvent(Event{Kind: OutageStarted})
	case old.isOutage() && !f.isOutage():
		e.partner.mu.Lock()
		e.partner.recoveredAt = e.partner.log.Now()
		e.partner.recentCalls = nil
		e.partner.mu.Unlock()
		e.logEvent(Event{Kind: Recovered})
	}
	if err != nil {
		return fmt.Errorf("partner %s: %w", e.partner.cfg.Name, err)
	}
	return nil
}

// GoAway sends GOAWAY on all connections, so that they drain.
func (e *Endpoint) GoAway() {
	e.mu.Lock()
	conns := e.connList()
	e.mu.Unlock()
	for _, c := range conns {
		c.update(func(now time.Duration) { c.http2.GoAway(now, h2.NoError) })
	}
}

// SetMaxStreams changes the number of concurrent streams on all open connections.
func (e *Endpoint) SetMaxStreams(n uint32) {
	e.mu.Lock()
	conns := e.connList()
	e.mu.Unlock()
	for _, c := range conns {
		c.update(func(now time.Duration) { c.http2.SetMaxStreams(now, n) })
	}
}

// logEvent logs an event of the endpoint.
func (e *Endpoint) logEvent(event Event) {
	event.Partner, event.Endpoint = e.partner.cfg.Name, e.addr
	e.partner.log.add(event)
}

// accept serves new connections until the listener is closed.
func (e *Endpoint) accept(listener net.Listener) {
	defer e.wg.Done()
	for {
		netConn, err := listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		full := e.partner.cfg.MaxConns > 0 && len(e.conns) >= e.partner.cfg.MaxConns || e.closed
		e.partner.mu.Lock()
		e.partner.lastConnID++
		id := e.partner.lastConnID
		e.partner.mu.Unlock()
		c := &conn{endpoint: e, netConn: netConn, id: id, calls: map[uint32]*call{}}
		if !full {
			e.conns[c] = true
			e.wg.Add(1)
		}
		e.mu.Unlock()
		if full {
			e.logEvent(Event{Kind: ConnRefused, Conn: id})
			_ = netConn.Close()
			continue
		}
		go c.serve()
	}
}

// capacityShare returns the share of Config.Capacity that is available now. Partner.mu is held.
func (p *Partner) capacityShare(now time.Duration) float64 {
	if p.recoveredAt == 0 || p.cfg.WarmUp <= 0 || now-p.recoveredAt >= p.cfg.WarmUp {
		return 1
	}
	return p.cfg.ColdShare + (1-p.cfg.ColdShare)*float64(now-p.recoveredAt)/float64(p.cfg.WarmUp)
}

// checkOverload counts a call against the capacity of a cold partner. It reports whether the partner has failed, and
// whether this call made it fail. The limit for the calls of one OverloadWindow is OverloadLimit.
func (p *Partner) checkOverload(now time.Duration) (overloaded, first bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.overloaded || p.cfg.Capacity <= 0 || p.capacityShare(now) >= 1 {
		return p.overloaded, false
	}
	for len(p.recentCalls) > 0 && now-p.recentCalls[0] > p.cfg.OverloadWindow {
		p.recentCalls = p.recentCalls[1:]
	}
	p.recentCalls = append(p.recentCalls, now)
	if float64(len(p.recentCalls)) > p.overloadLimit(now) {
		p.overloaded = true
		return true, true
	}
	return false, false
}

// overloadLimit returns the calls that the partner bears in one OverloadWindow now. Partner.mu is held.
func (p *Partner) overloadLimit(now time.Duration) float64 {
	return OverloadLimit(p.cfg.Capacity*p.capacityShare(now), p.cfg.OverloadFactor, p.cfg.OverloadWindow)
}

// OverloadLimit returns how many calls in a window a partner bears that can process capacity calls a second. The limit
// is factor times the capacity, plus four standard deviations of a Poisson count and four calls, so that chance alone
// does not exceed it.
func OverloadLimit(capacity, factor float64, window time.Duration) float64 {
	mean := factor * capacity * window.Seconds()
	return mean + 4*math.Sqrt(mean) + 4
}

// overRateLimit counts a call against the rate limit. It reports whether the call is above the limit, and the
// Retry-After to send, 0 for none.
func (p *Partner) overRateLimit(now time.Duration) (limited bool, retryAfter time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rateLimit <= 0 {
		return false, 0
	}
	if now-p.windowStart >= time.Second {
		p.windowStart, p.windowCalls = now, 0
	}
	if p.windowCalls++; float64(p.windowCalls) <= p.rateLimit {
		return false, 0
	}
	if p.sendRetryAfter {
		retryAfter = time.Second // Retry-After has a resolution of one second.
	}
	return true, retryAfter
}

// chance reports true with the given probability.
func (p *Partner) chance(share float64) bool {
	if share <= 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rng.Float64() < share
}

// parseBody returns the first three words of a body. A missing word is "-".
func parseBody(body []byte) (correlationID, class, orderKey string) {
	head := body[:min(len(body), 200)]
	words := strings.Fields(string(head))
	for len(words) < 3 {
		words = append(words, "-")
	}
	return words[0], words[1], words[2]
}
