// Package partner is a stand-in for the partners that messages go to: push services with pace, capacity, limits, cold
// starts and faults on command. It logs what it saw on its sockets. It is for demonstrations, rehearsals and tests.
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

// Config says what a partner is like when all is well.
type Config struct {
	Name           string
	ServiceTime    time.Duration // mean time that a call takes
	Concurrency    int           // calls worked on at once at an endpoint; more wait. 0 is no bound
	Capacity       float64       // calls a second that it can do with all endpoints, for cold starts. 0: it does not tip
	RateLimit      float64       // calls a second that it takes; more get 429. 0 is no limit
	SendRetryAfter bool          // with a Retry-After
	ColdShare      float64       // part of Rate after an outage ...
	WarmUp         time.Duration // ... rising to all of it over this
	OverloadFactor float64       // pushed with more than this multiple ...
	OverloadWindow time.Duration // ... for this long, it falls over for good
	MaxConns       int           // connections that an endpoint takes; 0 is no bound
	MaxStreams     uint32        // streams on a connection; 0 is 100
	IdleTimeout    time.Duration // a connection idle for longer is dead, unseen by its other side. 0: never
	SettingsDelay  time.Duration // time before its SETTINGS are sent
	Seed           uint64
}

// Fault is what an endpoint does wrong, until it is healed. The zero value is none.
type Fault struct {
	Crash            bool          // connections are reset, new ones refused
	Blackhole        bool          // nothing is read or written any more
	Hang             bool          // streams are taken, none is answered
	Unavailable      bool          // all calls get 503 with a wait until the time of opening, where that is told
	SlowFactor       float64       // calls take so many times longer
	Pause            time.Duration // stands still for so long every Every
	PauseInterval    time.Duration
	LostResponseRate float64       // share of calls that are applied and never answered
	Error            float64       // share of calls that get 500 at once, not applied
	ResetRate        float64       // share of calls applied and reset in mid-answer
	RefusalRate      float64       // share of streams reset with REFUSED_STREAM
	ResponseDelay    time.Duration // answers are applied at once and sent so much later
	MalformedRate    float64       // share of calls answered with a malformed frame, after being applied
	NotFoundRate     float64       // share of calls that get 404
	ErrorClass       string        // only messages of this class are hit by Error
	AvailableAt      time.Duration // with Shut: when it opens, since the start of the log
}

// EventKind is what a stand-in saw or did.
type EventKind string

// Kinds of event.
const (
	RequestReceived EventKind = "arrived"  // a whole call came
	Applied         EventKind = "applied"  // it took effect
	Deduplicated    EventKind = "repeat"   // its key had taken effect before: dropped, answered as done
	Responded       EventKind = "answer"   // a status went out
	NoResponse      EventKind = "mute"     // no answer will go out
	StreamReset     EventKind = "cut"      // reset, in one way or another
	PeerClosed      EventKind = "gone"     // the caller reset the stream, or the connection is gone
	ConnRefused     EventKind = "refused"  // a connection turned away
	Overloaded      EventKind = "tipped"   // fell over when cold
	Recovered       EventKind = "returned" // up again, cold
	OutageStarted   EventKind = "down"     // an outage began
	ReadingStopped  EventKind = "blind"    // from now on it reads nothing: ends of attempts don't show
)

// Event is one line of the log.
type Event struct {
	At            time.Duration
	Kind          EventKind
	Partner       string
	Endpoint      netip.AddrPort
	Conn          int
	Stream        uint32
	Path          string // of the request: partners of a wave share a stand-in and differ in it
	MessageID     string // the dispatcher's name of the message
	Attempt       string
	CorrelationID string // the client's name of the message, first word of its body
	Class         string // second word
	OrderKey      string // third word: the order key, or -
	Status        int
	RetryAfter    time.Duration // told to wait, 0 for none
}

// Log gathers what all stand-ins of a run saw, in one order and on one clock.
type Log struct {
	mu        sync.Mutex
	stopwatch clock.Stopwatch
	events    []Event
	maxEvents int
}

// NewLog starts a log that keeps so many events at most.
func NewLog(maxEvents int) *Log { return &Log{stopwatch: clock.Start(), maxEvents: maxEvents} }

// StartTime is the start of the log.
func (l *Log) StartTime() time.Time { return l.stopwatch.Began() }

// Now is the time since the start of the log.
func (l *Log) Now() time.Duration { return l.stopwatch.Elapsed() }

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

// Events returns what was logged so far.
func (l *Log) Events() []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.events[:len(l.events):len(l.events)]
}

// Partner is one stand-in with its endpoints.
type Partner struct {
	cfg Config
	log *Log

	mu             sync.Mutex
	rng            *rand.Rand
	endpoints      []*Endpoint
	appliedKeys    map[string]bool // idempotency keys that took effect
	windowStart    time.Duration   // rate limit: window of a second
	windowCalls    int
	rateLimit      float64
	sendRetryAfter bool
	recoveredAt    time.Duration // when it came back, 0 never
	overloaded     bool
	recentCalls    []time.Duration // arrivals, for tipping
	lastConnID     int
}

// New makes a partner without endpoints.
func New(cfg Config, log *Log) *Partner {
	return &Partner{cfg: cfg, log: log, rng: rand.New(rand.NewPCG(cfg.Seed, 7)), appliedKeys: map[string]bool{}, rateLimit: cfg.RateLimit,
		sendRetryAfter: cfg.SendRetryAfter}
}

// Name is the partner's name.
func (p *Partner) Name() string { return p.cfg.Name }

// Endpoints returns its endpoints.
func (p *Partner) Endpoints() []*Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endpoints[:len(p.endpoints):len(p.endpoints)]
}

// SetLimit changes its limit in calls a second, 0 for none, and whether refusals tell a wait.
func (p *Partner) SetLimit(perSecond float64, sendRetryAfter bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rateLimit, p.sendRetryAfter = perSecond, sendRetryAfter
}

// Endpoint is one address of a partner.
type Endpoint struct {
	partner *Partner
	addr    netip.AddrPort

	mu       sync.Mutex
	listener net.Listener
	conns    map[*conn]bool
	fault    Fault
	active   int
	queue    []*call
	closed   bool
	wg       sync.WaitGroup
}

// Listen adds an endpoint at an address; port 0 takes a free one.
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

// Addr is where the endpoint listens.
func (e *Endpoint) Addr() netip.AddrPort { return e.addr }

// Close ends the endpoint.
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

// Close ends all endpoints.
func (p *Partner) Close() {
	for _, e := range p.Endpoints() {
		e.Close()
	}
}

func (e *Endpoint) connList() []*conn {
	var all []*conn
	for c := range e.conns {
		all = append(all, c)
	}
	return all
}

// isOutage tells whether a fault is an outage, from which a partner comes back cold.
func (f Fault) isOutage() bool {
	return f.Crash || f.Blackhole || f.Hang || f.Unavailable || f.Error >= 0.5
}

// SetFault puts a fault in force; the zero Fault heals. After an outage of all its endpoints the partner is cold.
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
		for _, c := range conns { // who vanished and is back knows nothing of its connections
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

// GoAway has all connections drain.
func (e *Endpoint) GoAway() {
	e.mu.Lock()
	conns := e.connList()
	e.mu.Unlock()
	for _, c := range conns {
		c.update(func(now time.Duration) { c.http2.GoAway(now, h2.NoError) })
	}
}

// Streams changes how many streams connections take.
func (e *Endpoint) SetMaxStreams(n uint32) {
	e.mu.Lock()
	conns := e.connList()
	e.mu.Unlock()
	for _, c := range conns {
		c.update(func(now time.Duration) { c.http2.Limit(now, n) })
	}
}

func (e *Endpoint) logEvent(event Event) {
	event.Partner, event.Endpoint = e.partner.cfg.Name, e.addr
	e.partner.log.add(event)
}

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

// capacityShare is the part of its capacity that the partner has now; guarded by Partner.mu.
func (p *Partner) capacityShare(now time.Duration) float64 {
	if p.recoveredAt == 0 || p.cfg.WarmUp <= 0 || now-p.recoveredAt >= p.cfg.WarmUp {
		return 1
	}
	return p.cfg.ColdShare + (1-p.cfg.ColdShare)*float64(now-p.recoveredAt)/float64(p.cfg.WarmUp)
}

// checkOverload counts a call against what a cold partner can do, and tells whether it has fallen over. A window holds the
// calls of TipFor; it is allowed Tip times the capacity in it, and four standard deviations for chance.
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

func (p *Partner) overloadLimit(now time.Duration) float64 {
	return OverloadLimit(p.cfg.Capacity*p.capacityShare(now), p.cfg.OverloadFactor, p.cfg.OverloadWindow)
}

// OverloadLimit is how many calls in a window of that length a partner stands that can do rate calls a second.
func OverloadLimit(capacity, factor float64, window time.Duration) float64 {
	mean := factor * capacity * window.Seconds()
	return mean + 4*math.Sqrt(mean) + 4
}

// overRateLimit counts a call against the limit and tells whether it is above it, and how long until there is room.
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
		retryAfter = time.Second // Retry-After knows whole seconds
	}
	return true, retryAfter
}

func (p *Partner) chance(share float64) bool {
	if share <= 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rng.Float64() < share
}

// parseBody splits a body into the client's name, class and key of the message.
func parseBody(body []byte) (correlationID, class, orderKey string) {
	head := body[:min(len(body), 200)]
	words := strings.Fields(string(head))
	for len(words) < 3 {
		words = append(words, "-")
	}
	return words[0], words[1], words[2]
}
