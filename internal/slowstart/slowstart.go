// Package slowstart plays the return of a destination from an outage against many dispatchers in one process, and measures what
// they send it together beside what it bears. Dispatchers are the decision module itself; the destination is a model. One seed
// gives one sequence of events.
package slowstart

import (
	"container/heap"
	"maps"
	"math"
	"math/rand/v2"
	"slices"

	"whinrun/control"
)

// Outage is how a destination fails.
type Outage uint8

// Outages.
const (
	RefusesConnections Outage = iota // connections are refused
	NeverAnswers                     // calls are taken and never answered
	AnswersErrors                    // calls are answered with errors
	ResetsConnections                // calls are broken off
	RejectsWithWait                  // calls are turned away and told to wait until it opens
	RejectsWithoutWait               // calls are turned away, and nothing is told
	outages
)

var outageNames = [...]string{"refuses", "silent", "errors", "resets", "shut", "shut, nothing told"}

func (o Outage) String() string { return outageNames[o] }

// Config is of one play.
type Config struct {
	Seed          uint64
	Dispatchers   int
	Outage        Outage
	RestartShare  float64 // share of the dispatchers that restart within the outage, or within a second after it
	TrafficSpread float64 // deviation of the logarithm of the dispatchers' shares of the traffic
}

// RandomConfig makes a play of a number of dispatchers from a seed.
func RandomConfig(seed uint64, dispatchers int) Config {
	rng := rand.New(rand.NewPCG(seed, 77))
	return Config{Seed: seed, Dispatchers: dispatchers, Outage: Outage(rng.IntN(int(outages))), RestartShare: 0.6 * float64(rng.IntN(2)),
		TrafficSpread: 1.2 * rng.Float64()}
}

// Result is what a play came to.
type Result struct {
	Config
	Capacity        float64 // calls a second that the destination bears when warm
	Load            float64 // demand, as a part of that
	WorstRatio      float64 // the most calls in a span, beside what is borne then
	WorstAt         float64 // when that was, in seconds after the return
	WorstCalls      int     // in that span
	WorstBound      float64
	AwareShare      float64 // part of them of dispatchers that had seen the outage
	Violated        bool    // the rule: past the bound, and over two thirds of those that had seen it
	RecoverySeconds float64 // seconds after the return until nine tenths of the demand are served; -1 for never
}

// Figures of the destination, in the ranges of the users' deployments.
const (
	coldLeast, coldMost   = 0.14, 0.27
	warmLeast, warmMost   = 7.9, 11.0 // seconds
	tipMultiple           = 2.0
	span                  = 2 * control.Second
	toldPart              = 2.0 / 3
	quiet                 = 20 * control.Second // ahead of the outage
	downLeast, downMost   = 5.0, 18.0           // seconds
	watched               = 14 * control.Second // behind the return
	latency               = 60 * control.Millisecond
	crossing              = 5 * control.Millisecond
	tick                  = 5 * control.Millisecond
	queueSeconds          = 0.5 // of its capacity may wait at the destination
	destination, endpoint = 1, control.EndpointID(10)
)

// dispatcher is one of them.
type dispatcher struct {
	mod    *control.Dispatcher
	number int
	share  float64
	told   bool
	memory map[control.EndpointID]control.Outage // what is on record of outages
	out    map[control.MessageID]int             // attempts out, by their number
	held   map[control.MessageID]*message        // what it owes, on record
	epoch  int                                   // processes so far
}

// message is one that a dispatcher owes.
type message struct {
	class    int
	deadline control.Time
	tries    int
	sent     control.Time // when its last attempt began
	doubt    control.Time // when the first began that may have been executed, 0 for none
}

// happening is something due at a moment.
type happening struct {
	at   control.Time
	seq  int
	who  *dispatcher
	what control.Event
	then func() // instead of an event of a dispatcher
	era  int    // epoch of the dispatcher that it is for
}

type agenda []*happening

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(*happening)) }
func (a *agenda) Pop() any {
	last := len(*a) - 1
	x := (*a)[last]
	*a = (*a)[:last]
	return x
}

// arrival is a call at the destination.
type arrival struct {
	at   control.Time
	told bool // its dispatcher had seen the outage before
}

// play is one play under way.
type play struct {
	cfg      Config
	set      control.Settings
	rng      *rand.Rand
	now      control.Time
	seq      int
	agenda   agenda
	fleet    []*dispatcher
	nextID   control.MessageID
	capacity float64
	demand   float64
	down, up control.Time // the outage
	budget   float64      // calls that the destination can begin now
	refilled control.Time
	calls    []arrival // of the last span
	served   []control.Time
	res      Result
}

// Simulate plays one play.
func Simulate(cfg Config) Result {
	p := &play{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Dispatchers)))}
	p.draw()
	p.open()
	end := p.up + watched
	for len(p.agenda) > 0 && p.agenda[0].at <= end {
		p.step()
	}
	p.res.RecoverySeconds = p.back()
	return p.res
}

// draw draws the destination and the times.
func (p *play) draw() {
	between := func(least, most float64) float64 { return least + p.rng.Float64()*(most-least) }
	p.capacity = math.Exp(between(math.Log(4), math.Log(400)))
	load := between(0.4, 1.15)
	p.demand = load * p.capacity
	p.down = quiet
	p.up = p.down + seconds(between(downLeast, downMost))
	classes := []control.Class{
		{Name: "status", Target: seconds(1.5), Deadline: seconds(5), Value: 2},
		{Name: "sync", Effect: control.Deduplicated, DedupWindow: seconds(10), Target: seconds(2.5), Deadline: seconds(24), Value: 1, LateValue: 0.5},
		{Name: "upload", Effect: control.AtMostOnce, Target: seconds(2.5), Deadline: seconds(28), Value: 5, LateValue: 0.4},
	}
	mine := p.demand / float64(p.cfg.Dispatchers)
	p.set = control.Settings{Instances: p.cfg.Dispatchers, Tick: tick, Classes: classes, DestinationKinds: []control.DestinationKind{{Name: "partners", MaxBatch: 1}},
		Weights: control.WeightNominal, Slots: max(3, int(2*mine)), MaxOpen: max(16, int(10*mine)), MaxAttempts: 6, MayCancel: true, RetryAfter: true,
		MaxRetryAfter: seconds(2), ConnIdleTimeout: seconds(5), ConnectTimeout: seconds(1.5), StreamsPerConn: 1, ReportRemainingIndex: -1, ReportLimitIndex: -1,
		StopSendingWithin: seconds(1), ColdCapacity: between(coldLeast, coldMost), WarmUp: seconds(between(warmLeast, warmMost)),
		CollapseMultiple: tipMultiple, MaxOverload: span, SettleTime: seconds(1), TrackOutages: true}
	p.res = Result{Config: p.cfg, Capacity: p.capacity, Load: load}
}

func seconds(s float64) control.Time { return control.Time(s * float64(control.Second)) }

// open starts the dispatchers and their traffic.
func (p *play) open() {
	sum := 0.0
	for i := range p.cfg.Dispatchers {
		d := &dispatcher{number: i, share: math.Exp(p.cfg.TrafficSpread * p.rng.NormFloat64()), memory: map[control.EndpointID]control.Outage{}, held: map[control.MessageID]*message{}}
		sum += d.share
		p.fleet = append(p.fleet, d)
	}
	for _, d := range p.fleet {
		d.share /= sum
		p.start(d)
		p.arrive(d)
		if p.rng.Float64() < p.cfg.RestartShare {
			at := p.down + control.Time(p.rng.Float64()*float64(p.up+control.Second-p.down))
			p.put(&happening{at: at, then: func() { p.start(d) }})
		}
	}
}

// start gives a dispatcher a process: what the one before knew of outages is on record, all else is gone.
func (p *play) start(d *dispatcher) {
	set := p.set
	set.InstanceIndex = d.number
	mod, err := control.New(set, p.cfg.Seed*1000+uint64(d.number)*7+uint64(d.epoch))
	if err != nil {
		panic(err) // the settings are this package's own
	}
	d.mod = mod
	d.epoch++
	entry := control.Entry{Endpoint: endpoint, Dest: destination, Health: control.Ready, Weight: p.capacity}
	events := []control.Event{{Kind: control.ListUpdate, ListKind: control.ListFull, Entries: []control.Entry{entry}}}
	for _, o := range d.memory {
		events = append(events, control.Event{Kind: control.OutageRestored, Outage: &o})
	}
	p.run(d, append(events, p.restored(d)...)...)
}

// restored are the messages that a process before had taken on.
func (p *play) restored(d *dispatcher) (events []control.Event) {
	for _, id := range slices.Sorted(maps.Keys(d.held)) {
		m := d.held[id]
		if n, out := d.out[id]; out && n == m.tries-1 && m.doubt == 0 {
			m.doubt = m.sent // its end is not known
		}
		events = append(events, control.Event{Kind: control.Arrival, Message: id, Class: m.class, Dest: destination, TimeLeft: max(0, m.deadline-p.now),
			Restored: true, Attempt: m.tries, PossiblyExecuted: m.doubt > 0, Elapsed: p.now - m.doubt})
	}
	d.out = map[control.MessageID]int{}
	return events
}

func (p *play) put(h *happening) {
	p.seq++
	h.seq = p.seq
	if h.who != nil {
		h.era = h.who.epoch
	}
	heap.Push(&p.agenda, h)
}

// arrive has the next message come to a dispatcher.
func (p *play) arrive(d *dispatcher) {
	rate := p.demand * d.share
	at := p.now + seconds(p.rng.ExpFloat64()/rate)
	p.put(&happening{at: at, then: func() {
		p.arrive(d)
		p.nextID++
		class := p.rng.IntN(len(p.set.Classes))
		d.held[p.nextID] = &message{class: class, deadline: p.now + p.set.Classes[class].Deadline}
		p.run(d, control.Event{Kind: control.Arrival, Message: p.nextID, Class: class, Dest: destination, TimeLeft: p.set.Classes[class].Deadline})
	}})
}

// step takes what is due next.
func (p *play) step() {
	h := heap.Pop(&p.agenda).(*happening)
	p.now = h.at
	switch {
	case h.then != nil:
		h.then()
	case h.era == h.who.epoch: // else it was for a process that has ended
		if h.what.Kind == control.Outcome {
			if n, out := h.who.out[h.what.Message]; !out || n != h.what.Attempt {
				return // its end has come already
			}
			delete(h.who.out, h.what.Message)
			p.ended(h.who, &h.what)
		}
		p.run(h.who, h.what)
	}
}

// ended notes the end of an attempt.
func (p *play) ended(d *dispatcher, e *control.Event) {
	m := d.held[e.Message]
	if m != nil && e.Result != control.OK && m.sent >= p.down && m.sent < p.up {
		d.told = true
	}
	switch {
	case e.Result == control.OK:
		p.served = append(p.served, p.now)
		delete(d.held, e.Message)
		e.Closed = true
	case m != nil && m.doubt == 0 && e.Result != control.LimitExceeded && e.Result != control.ConnectFailed:
		m.doubt = m.sent
	}
}

// run has a dispatcher decide, and carries out what it wants.
func (p *play) run(d *dispatcher, events ...control.Event) {
	for _, a := range d.mod.Step(p.now, events, nil) {
		switch a.Kind {
		case control.Timer:
			p.put(&happening{at: p.now + a.After, who: d, what: control.Event{Kind: control.TimerFired, TimerToken: a.TimerToken}})
		case control.Send:
			p.send(d, a)
		case control.Refuse, control.Fail:
			delete(d.held, a.Message)
		case control.Cancel:
			if n, out := d.out[a.Message]; out && n == a.Attempt {
				p.end(d, a.Message, n, control.Cancelled, 0, 0)
			}
		}
	}
	for _, o := range d.mod.Outages() {
		if o.Ended() {
			delete(d.memory, o.Endpoint)
		} else {
			d.memory[o.Endpoint] = o
		}
	}
}

// end has an attempt end after a while.
func (p *play) end(d *dispatcher, id control.MessageID, attempt int, r control.Result, after, wait control.Time) {
	p.put(&happening{at: p.now + after, who: d, what: control.Event{Kind: control.Outcome, Message: id, Attempt: attempt, Endpoint: endpoint, Result: r,
		Elapsed: after, RetryAfter: wait}})
}

// send has a call reach the destination, and its end come back.
func (p *play) send(d *dispatcher, a control.Action) {
	m := d.held[a.Message]
	n := m.tries
	m.tries++
	m.sent = p.now
	d.out[a.Message] = n
	due := m.deadline - p.now
	if a.After > 0 {
		due = min(due, a.After)
	}
	if p.now >= p.down && p.now < p.up {
		p.fails(d, a.Message, n, due)
		return
	}
	p.reached(d)
	if p.borne() {
		wait := control.Time(p.rng.ExpFloat64()*float64(latency)) + crossing
		p.end(d, a.Message, n, control.OK, min(wait, due), 0)
		return
	}
	p.end(d, a.Message, n, control.LimitExceeded, 2*crossing, 0)
}

// fails has a call meet the outage.
func (p *play) fails(d *dispatcher, id control.MessageID, n int, due control.Time) {
	p.reached(d)
	switch p.cfg.Outage {
	case RefusesConnections:
		p.end(d, id, n, control.ConnectFailed, 2*crossing, 0)
	case NeverAnswers:
		p.end(d, id, n, control.TimedOut, due, 0)
	case AnswersErrors:
		p.end(d, id, n, control.ErrorResponse, 2*crossing, 0)
	case ResetsConnections:
		p.end(d, id, n, control.Reset, 2*crossing, 0)
	case RejectsWithWait:
		p.end(d, id, n, control.LimitExceeded, 2*crossing, p.up-p.now)
	default:
		p.end(d, id, n, control.LimitExceeded, 2*crossing, 0)
	}
}

// reached notes a call at the destination, and compares what came within the last span with what is borne.
func (p *play) reached(d *dispatcher) {
	p.calls = append(p.calls, arrival{p.now, d.told})
	for p.now-p.calls[0].at > span {
		p.calls = p.calls[1:]
	}
	if p.now < p.up || p.now >= p.up+p.set.WarmUp {
		return
	}
	bound := bound(tipMultiple * p.capacity * p.warmth() * float64(span) / float64(control.Second))
	share := float64(len(p.calls)) / bound
	if share <= p.res.WorstRatio {
		return
	}
	told := 0
	for _, c := range p.calls {
		if c.told {
			told++
		}
	}
	p.res.WorstRatio, p.res.WorstAt, p.res.WorstCalls, p.res.WorstBound = share, float64(p.now-p.up)/float64(control.Second), len(p.calls), bound
	p.res.AwareShare = float64(told) / float64(len(p.calls))
	p.res.Violated = p.res.Violated || share > 1 && p.res.AwareShare > toldPart
}

// bound is how many calls a span may have where the settings allow n.
func bound(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// borne tells whether the destination takes one call more.
func (p *play) borne() bool {
	p.budget = min(p.budget+p.capacity*p.warmth()*float64(p.now-p.refilled)/float64(control.Second), max(1, queueSeconds*p.capacity*p.warmth()))
	p.refilled = p.now
	if p.budget < 1 {
		return false
	}
	p.budget--
	return true
}

// back tells when the destination served nine tenths of the demand again, or of its capacity, over a span.
func (p *play) back() float64 {
	want := 0.9 * min(p.demand, p.capacity) * float64(span) / float64(control.Second)
	want -= 2 * math.Sqrt(want) // chance
	for i, at := range p.served {
		if at < p.up+span {
			continue
		}
		n := 0
		for j := i; j >= 0 && at-p.served[j] <= span; j-- {
			n++
		}
		if float64(n) >= want {
			return float64(at-p.up) / float64(control.Second)
		}
	}
	return -1
}

// warmth is the part of its capacity that the destination has.
func (p *play) warmth() float64 {
	if p.now < p.up {
		return p.set.ColdCapacity
	}
	return min(1, p.set.ColdCapacity+(1-p.set.ColdCapacity)*float64(p.now-p.up)/float64(p.set.WarmUp))
}
