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
	outageCount
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
	return Config{Seed: seed, Dispatchers: dispatchers, Outage: Outage(rng.IntN(int(outageCount))), RestartShare: 0.6 * float64(rng.IntN(2)),
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
	minColdFraction, maxColdFraction   = 0.14, 0.27
	minWarmUpSeconds, maxWarmUpSeconds = 7.9, 11.0 // seconds
	overloadFactor                     = 2.0
	overloadWindow                     = 2 * control.Second
	maxAwareShare                      = 2.0 / 3
	steadyPeriod                       = 20 * control.Second // ahead of the outage
	minOutageSeconds, maxOutageSeconds = 5.0, 18.0           // seconds
	observationPeriod                  = 14 * control.Second // behind the return
	meanServiceTime                    = 60 * control.Millisecond
	networkDelay                       = 5 * control.Millisecond
	tickInterval                       = 5 * control.Millisecond
	queueSeconds                       = 0.5 // of its capacity may wait at the destination
	destination, endpoint              = 1, control.Endpoint(10)
)

// dispatcher is one of them.
type dispatcher struct {
	core          *control.Dispatcher
	number        int
	share         float64
	sawOutage     bool
	outageRecords map[control.Endpoint]control.Outage // what is on record of outages
	openAttempts  map[control.MessageID]int           // attempts out, by their number
	pending       map[control.MessageID]*message      // what it owes, on record
	epoch         int                                 // processes so far
}

// message is one that a dispatcher owes.
type message struct {
	class                 int
	deadline              control.Time
	attempts              int
	lastAttemptAt         control.Time // when its last attempt began
	possiblyExecutedSince control.Time // when the first began that may have been executed, 0 for none
}

// scheduledEvent is something due at a moment.
type scheduledEvent struct {
	at         control.Time
	seq        int
	dispatcher *dispatcher
	event      control.Event
	run        func() // instead of an event of a dispatcher
	epoch      int    // epoch of the dispatcher that it is for
}

type eventQueue []*scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(*scheduledEvent)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}

// call is a call at the destination.
type call struct {
	at        control.Time
	sawOutage bool // its dispatcher had seen the outage before
}

// simulation is one play under way.
type simulation struct {
	cfg                    Config
	settings               control.Settings
	rng                    *rand.Rand
	now                    control.Time
	seq                    int
	queue                  eventQueue
	dispatchers            []*dispatcher
	nextID                 control.MessageID
	capacity               float64
	demand                 float64
	outageStart, outageEnd control.Time // the outage
	tokens                 float64      // calls that the destination can begin now
	refilledAt             control.Time
	recentCalls            []call // of the last span
	servedAt               []control.Time
	result                 Result
}

// Simulate plays one play.
func Simulate(cfg Config) Result {
	p := &simulation{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Dispatchers)))}
	p.drawParameters()
	p.startDispatchers()
	end := p.outageEnd + observationPeriod
	for len(p.queue) > 0 && p.queue[0].at <= end {
		p.runNext()
	}
	p.result.RecoverySeconds = p.recoverySeconds()
	return p.result
}

// drawParameters draws the destination and the times.
func (p *simulation) drawParameters() {
	between := func(low, high float64) float64 { return low + p.rng.Float64()*(high-low) }
	p.capacity = math.Exp(between(math.Log(4), math.Log(400)))
	load := between(0.4, 1.15)
	p.demand = load * p.capacity
	p.outageStart = steadyPeriod
	p.outageEnd = p.outageStart + seconds(between(minOutageSeconds, maxOutageSeconds))
	classes := []control.Class{
		{Name: "status", Aim: seconds(1.5), Deadline: seconds(5), Worth: 2},
		{Name: "sync", Effect: control.Guarded, Window: seconds(10), Aim: seconds(2.5), Deadline: seconds(24), Worth: 1, LateWorth: 0.5},
		{Name: "upload", Effect: control.SingleShot, Aim: seconds(2.5), Deadline: seconds(28), Worth: 5, LateWorth: 0.4},
	}
	ownDemand := p.demand / float64(p.cfg.Dispatchers)
	p.settings = control.Settings{Instances: p.cfg.Dispatchers, Tick: tickInterval, Classes: classes, Kinds: []control.Kind{{Name: "partners", Batch: 1}},
		Weights: control.WeightNominal, Slots: max(3, int(2*ownDemand)), MaxOpen: max(16, int(10*ownDemand)), MaxTries: 6, MayCancel: true, RetryAfter: true,
		MaxRetryAfter: seconds(2), ConnIdle: seconds(5), ConnectTimeout: seconds(1.5), StreamsPerConn: 1, ReportLeft: -1, ReportLimit: -1,
		StopSendingWithin: seconds(1), ColdFrom: between(minColdFraction, maxColdFraction), WarmUp: seconds(between(minWarmUpSeconds, maxWarmUpSeconds)),
		TipMultiple: overloadFactor, OverloadFor: overloadWindow, SettleAfterDoubt: seconds(1), KeepOutages: true}
	p.result = Result{Config: p.cfg, Capacity: p.capacity, Load: load}
}

func seconds(s float64) control.Time { return control.Time(s * float64(control.Second)) }

// startDispatchers starts the dispatchers and their traffic.
func (p *simulation) startDispatchers() {
	sum := 0.0
	for i := range p.cfg.Dispatchers {
		d := &dispatcher{number: i, share: math.Exp(p.cfg.TrafficSpread * p.rng.NormFloat64()), outageRecords: map[control.Endpoint]control.Outage{}, pending: map[control.MessageID]*message{}}
		sum += d.share
		p.dispatchers = append(p.dispatchers, d)
	}
	for _, d := range p.dispatchers {
		d.share /= sum
		p.startProcess(d)
		p.scheduleArrival(d)
		if p.rng.Float64() < p.cfg.RestartShare {
			at := p.outageStart + control.Time(p.rng.Float64()*float64(p.outageEnd+control.Second-p.outageStart))
			p.schedule(&scheduledEvent{at: at, run: func() { p.startProcess(d) }})
		}
	}
}

// startProcess gives a dispatcher a process: what the one before knew of outages is on record, all else is gone.
func (p *simulation) startProcess(d *dispatcher) {
	settings := p.settings
	settings.Me = d.number
	core, err := control.New(settings, p.cfg.Seed*1000+uint64(d.number)*7+uint64(d.epoch))
	if err != nil {
		panic(err) // the settings are this package's own
	}
	d.core = core
	d.epoch++
	entry := control.Entry{Endpoint: endpoint, Dest: destination, Health: control.Ready, Weight: p.capacity}
	events := []control.Event{{Kind: control.List, ListKind: control.ListFull, Entries: []control.Entry{entry}}}
	for _, o := range d.outageRecords {
		events = append(events, control.Event{Kind: control.OutageRestored, Outage: &o})
	}
	p.runDispatcher(d, append(events, p.restoredMessages(d)...)...)
}

// restoredMessages are the messages that a process before had taken on.
func (p *simulation) restoredMessages(d *dispatcher) (events []control.Event) {
	for _, id := range slices.Sorted(maps.Keys(d.pending)) {
		m := d.pending[id]
		if attempt, open := d.openAttempts[id]; open && attempt == m.attempts-1 && m.possiblyExecutedSince == 0 {
			m.possiblyExecutedSince = m.lastAttemptAt // its end is not known
		}
		events = append(events, control.Event{Kind: control.Arrival, Message: id, Class: m.class, Dest: destination, Grace: max(0, m.deadline-p.now),
			Restored: true, Attempt: m.attempts, Doubt: m.possiblyExecutedSince > 0, Lag: p.now - m.possiblyExecutedSince})
	}
	d.openAttempts = map[control.MessageID]int{}
	return events
}

func (p *simulation) schedule(event *scheduledEvent) {
	p.seq++
	event.seq = p.seq
	if event.dispatcher != nil {
		event.epoch = event.dispatcher.epoch
	}
	heap.Push(&p.queue, event)
}

// scheduleArrival has the next message come to a dispatcher.
func (p *simulation) scheduleArrival(d *dispatcher) {
	rate := p.demand * d.share
	at := p.now + seconds(p.rng.ExpFloat64()/rate)
	p.schedule(&scheduledEvent{at: at, run: func() {
		p.scheduleArrival(d)
		p.nextID++
		class := p.rng.IntN(len(p.settings.Classes))
		d.pending[p.nextID] = &message{class: class, deadline: p.now + p.settings.Classes[class].Deadline}
		p.runDispatcher(d, control.Event{Kind: control.Arrival, Message: p.nextID, Class: class, Dest: destination, Grace: p.settings.Classes[class].Deadline})
	}})
}

// runNext takes what is due next.
func (p *simulation) runNext() {
	next := heap.Pop(&p.queue).(*scheduledEvent)
	p.now = next.at
	switch {
	case next.run != nil:
		next.run()
	case next.epoch == next.dispatcher.epoch: // else it was for a process that has ended
		if next.event.Kind == control.Outcome {
			if attempt, open := next.dispatcher.openAttempts[next.event.Message]; !open || attempt != next.event.Attempt {
				return // its end has come already
			}
			delete(next.dispatcher.openAttempts, next.event.Message)
			p.applyAttemptEnd(next.dispatcher, &next.event)
		}
		p.runDispatcher(next.dispatcher, next.event)
	}
}

// applyAttemptEnd notes the end of an attempt.
func (p *simulation) applyAttemptEnd(d *dispatcher, e *control.Event) {
	m := d.pending[e.Message]
	if m != nil && e.Result != control.OK && m.lastAttemptAt >= p.outageStart && m.lastAttemptAt < p.outageEnd {
		d.sawOutage = true
	}
	switch {
	case e.Result == control.OK:
		p.servedAt = append(p.servedAt, p.now)
		delete(d.pending, e.Message)
		e.Closed = true
	case m != nil && m.possiblyExecutedSince == 0 && e.Result != control.Full && e.Result != control.ConnectFailed:
		m.possiblyExecutedSince = m.lastAttemptAt
	}
}

// runDispatcher has a dispatcher decide, and carries out what it wants.
func (p *simulation) runDispatcher(d *dispatcher, events ...control.Event) {
	for _, a := range d.core.Step(p.now, events, nil) {
		switch a.Kind {
		case control.Timer:
			p.schedule(&scheduledEvent{at: p.now + a.After, dispatcher: d, event: control.Event{Kind: control.Tick, Mark: a.Mark}})
		case control.Send:
			p.sendCall(d, a)
		case control.Refuse, control.Fail:
			delete(d.pending, a.Message)
		case control.Cancel:
			if attempt, open := d.openAttempts[a.Message]; open && attempt == a.Attempt {
				p.scheduleAttemptEnd(d, a.Message, attempt, control.Cancelled, 0, 0)
			}
		}
	}
	for _, o := range d.core.Outages() {
		if o.Over() {
			delete(d.outageRecords, o.Endpoint)
		} else {
			d.outageRecords[o.Endpoint] = o
		}
	}
}

// scheduleAttemptEnd has an attempt end after a while.
func (p *simulation) scheduleAttemptEnd(d *dispatcher, id control.MessageID, attempt int, result control.Result, delay, wait control.Time) {
	p.schedule(&scheduledEvent{at: p.now + delay, dispatcher: d, event: control.Event{Kind: control.Outcome, Message: id, Attempt: attempt, Endpoint: endpoint, Result: result,
		Lag: delay, Wait: wait}})
}

// sendCall has a call reach the destination, and its end come back.
func (p *simulation) sendCall(d *dispatcher, a control.Action) {
	m := d.pending[a.Message]
	attempt := m.attempts
	m.attempts++
	m.lastAttemptAt = p.now
	d.openAttempts[a.Message] = attempt
	timeLeft := m.deadline - p.now
	if a.After > 0 {
		timeLeft = min(timeLeft, a.After)
	}
	if p.now >= p.outageStart && p.now < p.outageEnd {
		p.failCall(d, a.Message, attempt, timeLeft)
		return
	}
	p.recordCall(d)
	if p.takeToken() {
		delay := control.Time(p.rng.ExpFloat64()*float64(meanServiceTime)) + networkDelay
		p.scheduleAttemptEnd(d, a.Message, attempt, control.OK, min(delay, timeLeft), 0)
		return
	}
	p.scheduleAttemptEnd(d, a.Message, attempt, control.Full, 2*networkDelay, 0)
}

// failCall has a call meet the outage.
func (p *simulation) failCall(d *dispatcher, id control.MessageID, attempt int, timeLeft control.Time) {
	p.recordCall(d)
	switch p.cfg.Outage {
	case RefusesConnections:
		p.scheduleAttemptEnd(d, id, attempt, control.ConnectFailed, 2*networkDelay, 0)
	case NeverAnswers:
		p.scheduleAttemptEnd(d, id, attempt, control.TimedOut, timeLeft, 0)
	case AnswersErrors:
		p.scheduleAttemptEnd(d, id, attempt, control.Errored, 2*networkDelay, 0)
	case ResetsConnections:
		p.scheduleAttemptEnd(d, id, attempt, control.Reset, 2*networkDelay, 0)
	case RejectsWithWait:
		p.scheduleAttemptEnd(d, id, attempt, control.Full, 2*networkDelay, p.outageEnd-p.now)
	default:
		p.scheduleAttemptEnd(d, id, attempt, control.Full, 2*networkDelay, 0)
	}
}

// recordCall notes a call at the destination, and compares what came within the last span with what is borne.
func (p *simulation) recordCall(d *dispatcher) {
	p.recentCalls = append(p.recentCalls, call{p.now, d.sawOutage})
	for p.now-p.recentCalls[0].at > overloadWindow {
		p.recentCalls = p.recentCalls[1:]
	}
	if p.now < p.outageEnd || p.now >= p.outageEnd+p.settings.WarmUp {
		return
	}
	bound := callBudget(overloadFactor * p.capacity * p.capacityFraction() * float64(overloadWindow) / float64(control.Second))
	ratio := float64(len(p.recentCalls)) / bound
	if ratio <= p.result.WorstRatio {
		return
	}
	aware := 0
	for _, c := range p.recentCalls {
		if c.sawOutage {
			aware++
		}
	}
	p.result.WorstRatio, p.result.WorstAt, p.result.WorstCalls, p.result.WorstBound = ratio, float64(p.now-p.outageEnd)/float64(control.Second), len(p.recentCalls), bound
	p.result.AwareShare = float64(aware) / float64(len(p.recentCalls))
	p.result.Violated = p.result.Violated || ratio > 1 && p.result.AwareShare > maxAwareShare
}

// callBudget is how many calls a span may have where the settings allow n.
func callBudget(expected float64) float64 {
	if expected < 30 {
		return expected + 3*math.Sqrt(expected) + 3
	}
	return expected + 2*math.Sqrt(expected) + 2
}

// takeToken tells whether the destination takes one call more.
func (p *simulation) takeToken() bool {
	p.tokens = min(p.tokens+p.capacity*p.capacityFraction()*float64(p.now-p.refilledAt)/float64(control.Second), max(1, queueSeconds*p.capacity*p.capacityFraction()))
	p.refilledAt = p.now
	if p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}

// recoverySeconds tells when the destination served nine tenths of the demand again, or of its capacity, over a span.
func (p *simulation) recoverySeconds() float64 {
	wanted := 0.9 * min(p.demand, p.capacity) * float64(overloadWindow) / float64(control.Second)
	wanted -= 2 * math.Sqrt(wanted) // chance
	for i, at := range p.servedAt {
		if at < p.outageEnd+overloadWindow {
			continue
		}
		served := 0
		for j := i; j >= 0 && at-p.servedAt[j] <= overloadWindow; j-- {
			served++
		}
		if float64(served) >= wanted {
			return float64(at-p.outageEnd) / float64(control.Second)
		}
	}
	return -1
}

// capacityFraction is the part of its capacity that the destination has.
func (p *simulation) capacityFraction() float64 {
	if p.now < p.outageEnd {
		return p.settings.ColdFrom
	}
	return min(1, p.settings.ColdFrom+(1-p.settings.ColdFrom)*float64(p.now-p.outageEnd)/float64(p.settings.WarmUp))
}
