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
	mu     sync.Mutex
	start  clock.Stopwatch
	events []Event
	most   int
}

// NewLog starts a log that keeps so many events at most.
func NewLog(most int) *Log { return &Log{start: clock.StartStopwatch(), most: most} }

// StartTime is the start of the log.
func (l *Log) StartTime() time.Time { return l.start.StartedAt() }

// Now is the time since the start of the log.
func (l *Log) Now() time.Duration { return l.start.Elapsed() }

func (l *Log) add(e Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.At == 0 {
		e.At = l.start.Elapsed()
	}
	if len(l.events) < l.most {
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

	mu        sync.Mutex
	rng       *rand.Rand
	endpoints []*Endpoint
	effects   map[string]bool // idempotency keys that took effect
	windowAt  time.Duration   // rate limit: window of a second
	windowN   int
	limit     float64
	tellWait  bool
	cold      time.Duration // when it came back, 0 never
	tipped    bool
	recent    []time.Duration // arrivals, for tipping
	nextConn  int
}

// New makes a partner without endpoints.
func New(cfg Config, log *Log) *Partner {
	return &Partner{cfg: cfg, log: log, rng: rand.New(rand.NewPCG(cfg.Seed, 7)), effects: map[string]bool{}, limit: cfg.RateLimit,
		tellWait: cfg.SendRetryAfter}
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
func (p *Partner) SetLimit(perSecond float64, tell bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit, p.tellWait = perSecond, tell
}

// Endpoint is one address of a partner.
type Endpoint struct {
	p    *Partner
	addr netip.AddrPort

	mu     sync.Mutex
	ln     net.Listener
	conns  map[*conn]bool
	fault  Fault
	busy   int
	queue  []*call
	closed bool
	wg     sync.WaitGroup
}

// Listen adds an endpoint at an address; port 0 takes a free one.
func (p *Partner) Listen(addr string) (*Endpoint, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("partner %s: %w", p.cfg.Name, err)
	}
	e := &Endpoint{p: p, addr: ln.Addr().(*net.TCPAddr).AddrPort(), ln: ln, conns: map[*conn]bool{}}
	p.mu.Lock()
	p.endpoints = append(p.endpoints, e)
	p.mu.Unlock()
	e.wg.Add(1)
	go e.accept(ln)
	return e, nil
}

// Addr is where the endpoint listens.
func (e *Endpoint) Addr() netip.AddrPort { return e.addr }

// Close ends the endpoint.
func (e *Endpoint) Close() {
	e.mu.Lock()
	e.closed = true
	if e.ln != nil {
		_ = e.ln.Close()
	}
	conns := e.list()
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

func (e *Endpoint) list() []*conn {
	var all []*conn
	for c := range e.conns {
		all = append(all, c)
	}
	return all
}

// outage tells whether a fault is an outage, from which a partner comes back cold.
func (f Fault) outage() bool {
	return f.Crash || f.Blackhole || f.Hang || f.Unavailable || f.Error >= 0.5
}

// SetFault puts a fault in force; the zero Fault heals. After an outage of all its endpoints the partner is cold.
func (e *Endpoint) SetFault(f Fault) error {
	e.mu.Lock()
	old := e.fault
	e.fault = f
	conns := e.list()
	var err error
	switch {
	case f.Crash && e.ln != nil:
		_ = e.ln.Close()
		e.ln = nil
	case !f.Crash && e.ln == nil && !e.closed:
		if e.ln, err = net.Listen("tcp", e.addr.String()); err == nil {
			e.wg.Add(1)
			go e.accept(e.ln)
		}
	}
	e.mu.Unlock()
	if f.Crash || old.Blackhole && !f.Blackhole {
		for _, c := range conns { // who vanished and is back knows nothing of its connections
			c.close(true)
		}
	}
	if f.Blackhole {
		e.event(Event{Kind: ReadingStopped})
	}
	switch {
	case f.outage() && !old.outage():
		e.event(Event{Kind: OutageStarted})
	case old.outage() && !f.outage():
		e.p.mu.Lock()
		e.p.cold = e.p.log.Now()
		e.p.recent = nil
		e.p.mu.Unlock()
		e.event(Event{Kind: Recovered})
	}
	if err != nil {
		return fmt.Errorf("partner %s: %w", e.p.cfg.Name, err)
	}
	return nil
}

// GoAway has all connections drain.
func (e *Endpoint) GoAway() {
	e.mu.Lock()
	conns := e.list()
	e.mu.Unlock()
	for _, c := range conns {
		c.do(func(now time.Duration) { c.h.GoAway(now, h2.NoError) })
	}
}

// Streams changes how many streams connections take.
func (e *Endpoint) SetMaxStreams(n uint32) {
	e.mu.Lock()
	conns := e.list()
	e.mu.Unlock()
	for _, c := range conns {
		c.do(func(now time.Duration) { c.h.SetMaxStreams(now, n) })
	}
}

func (e *Endpoint) event(v Event) {
	v.Partner, v.Endpoint = e.p.cfg.Name, e.addr
	e.p.log.add(v)
}

func (e *Endpoint) accept(ln net.Listener) {
	defer e.wg.Done()
	for {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		full := e.p.cfg.MaxConns > 0 && len(e.conns) >= e.p.cfg.MaxConns || e.closed
		e.p.mu.Lock()
		e.p.nextConn++
		id := e.p.nextConn
		e.p.mu.Unlock()
		c := &conn{e: e, nc: nc, id: id, calls: map[uint32]*call{}}
		if !full {
			e.conns[c] = true
			e.wg.Add(1)
		}
		e.mu.Unlock()
		if full {
			e.event(Event{Kind: ConnRefused, Conn: id})
			_ = nc.Close()
			continue
		}
		go c.serve()
	}
}

// warmth is the part of its capacity that the partner has now; guarded by Partner.mu.
func (p *Partner) warmth(now time.Duration) float64 {
	if p.cold == 0 || p.cfg.WarmUp <= 0 || now-p.cold >= p.cfg.WarmUp {
		return 1
	}
	return p.cfg.ColdShare + (1-p.cfg.ColdShare)*float64(now-p.cold)/float64(p.cfg.WarmUp)
}

// tip counts a call against what a cold partner can do, and tells whether it has fallen over. A window holds the
// calls of TipFor; it is allowed Tip times the capacity in it, and four standard deviations for chance.
func (p *Partner) tip(now time.Duration) (fell, first bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.tipped || p.cfg.Capacity <= 0 || p.warmth(now) >= 1 {
		return p.tipped, false
	}
	for len(p.recent) > 0 && now-p.recent[0] > p.cfg.OverloadWindow {
		p.recent = p.recent[1:]
	}
	p.recent = append(p.recent, now)
	if float64(len(p.recent)) > p.bound(now) {
		p.tipped = true
		return true, true
	}
	return false, false
}

func (p *Partner) bound(now time.Duration) float64 {
	return OverloadLimit(p.cfg.Capacity*p.warmth(now), p.cfg.OverloadFactor, p.cfg.OverloadWindow)
}

// OverloadLimit is how many calls in a window of that length a partner stands that can do rate calls a second.
func OverloadLimit(rate, tip float64, window time.Duration) float64 {
	mean := tip * rate * window.Seconds()
	return mean + 4*math.Sqrt(mean) + 4
}

// above counts a call against the limit and tells whether it is above it, and how long until there is room.
func (p *Partner) above(now time.Duration) (over bool, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.limit <= 0 {
		return false, 0
	}
	if now-p.windowAt >= time.Second {
		p.windowAt, p.windowN = now, 0
	}
	if p.windowN++; float64(p.windowN) <= p.limit {
		return false, 0
	}
	if p.tellWait {
		wait = time.Second // Retry-After knows whole seconds
	}
	return true, wait
}

func (p *Partner) chance(share float64) bool {
	if share <= 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rng.Float64() < share
}

// words splits a body into the client's name, class and key of the message.
func words(body []byte) (test, class, key string) {
	head := body[:min(len(body), 200)]
	part := strings.Fields(string(head))
	for len(part) < 3 {
		part = append(part, "-")
	}
	return part[0], part[1], part[2]
}
