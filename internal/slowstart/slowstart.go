// Package slowstart simulates the end of a destination's outage with many dispatchers in one process, and compares the
// calls that they send together with the calls that the destination can serve. Each dispatcher is the decision library
// itself; the destination is a model. One seed gives one sequence of events.
package slowstart

import (
	"container/heap"
	"maps"
	"math"
	"math/rand/v2"
	"slices"

	"whinrun/control"
)

// Outage is a way in which a destination fails.
type Outage uint8

// Kinds of outage.
const (
	// RefusesConnections refuses connections.
	RefusesConnections Outage = iota
	// NeverAnswers takes calls and never answers them.
	NeverAnswers
	// AnswersErrors answers calls with errors.
	AnswersErrors
	// ResetsConnections resets the connections of calls.
	ResetsConnections
	// RejectsWithWait rejects calls as overloaded and asks to wait until the end of the outage.
	RejectsWithWait
	// RejectsWithoutWait rejects calls as overloaded and asks for no wait.
	RejectsWithoutWait
	// outageCount is the number of kinds of outage.
	outageCount
)

// outageNames holds the name of each kind of outage in reports.
var outageNames = [...]string{"refuses", "silent", "errors", "resets", "shut", "shut, nothing told"}

// String returns the name of the kind of outage in reports.
func (o Outage) String() string { return outageNames[o] }

// Config configures one simulation.
type Config struct {
	// Seed determines the destination, the times and all random events.
	Seed uint64
	// Dispatchers is the number of dispatchers.
	Dispatchers int
	Outage      Outage
	// RestartShare is the share of the dispatchers that restart during the outage or within a second after it.
	RestartShare float64
	// TrafficSpread is the standard deviation of the logarithm of the dispatchers' shares of the traffic.
	TrafficSpread float64
}

// RandomConfig returns the configuration of a simulation that a seed selects for a number of dispatchers.
func RandomConfig(seed uint64, dispatchers int) Config {
	rng := rand.New(rand.NewPCG(seed, 77))
	return Config{Seed: seed, Dispatchers: dispatchers, Outage: Outage(rng.IntN(int(outageCount))), RestartShare: 0.6 * float64(rng.IntN(2)),
		TrafficSpread: 1.2 * rng.Float64()}
}

// Result is the outcome of one simulation.
type Result struct {
	Config
	// Capacity is the number of calls a second that the destination can serve when warm.
	Capacity float64
	// Load is the demand as a fraction of Capacity.
	Load float64
	// WorstRatio is the largest ratio of the calls in a window of 2 s to the budget at its end, during the warm-up.
	WorstRatio float64
	// WorstAt is the end of that window, in seconds after the end of the outage.
	WorstAt float64
	// WorstCalls is the number of calls in that window.
	WorstCalls int
	// WorstBound is the budget at the end of that window, in calls.
	WorstBound float64
	// AwareShare is the share of the calls in that window that came from dispatchers that had seen the outage.
	AwareShare float64
	// Violated is set when a window exceeded the budget and more than two thirds of its calls came from dispatchers that
	// had seen the outage.
	Violated bool
	// RecoverySeconds is the time in seconds from the end of the outage until nine tenths of the demand are served, -1
	// for never.
	RecoverySeconds float64
}

// Parameters of the simulation. Those of the destination are within the ranges of the users' deployments.
const (
	// minColdFraction and maxColdFraction limit the part of its capacity that the destination has when the outage ends.
	minColdFraction, maxColdFraction = 0.14, 0.27
	// minWarmUpSeconds and maxWarmUpSeconds limit the time until the destination has all of its capacity.
	minWarmUpSeconds, maxWarmUpSeconds = 7.9, 11.0
	// overloadFactor times the present capacity is the rate that the dispatchers may send over overloadWindow.
	overloadFactor = 2.0
	// overloadWindow is the span in which calls are counted.
	overloadWindow = 2 * control.Second
	// maxAwareShare is the share of calls from dispatchers that had seen the outage above which an overload is a
	// violation.
	maxAwareShare = 2.0 / 3
	// steadyPeriod is the time before the outage.
	steadyPeriod = 20 * control.Second
	// minOutageSeconds and maxOutageSeconds limit the length of the outage.
	minOutageSeconds, maxOutageSeconds = 5.0, 18.0
	// observationPeriod is the time after the outage for which the simulation runs.
	observationPeriod = 14 * control.Second
	// meanServiceTime is the mean of the exponentially distributed time that the destination takes for a call.
	meanServiceTime = 60 * control.Millisecond
	// networkDelay is the time that a call or an answer takes on the network.
	networkDelay = 5 * control.Millisecond
	// tickInterval is the tick of the decision library.
	tickInterval = 5 * control.Millisecond
	// queueSeconds times the present capacity is the number of calls that the destination can take on at once. It takes on
	// at least one.
	queueSeconds = 0.5
	// destination and endpoint identify the only destination and its only endpoint.
	destination, endpoint = 1, control.EndpointID(10)
)

// dispatcher is one of the simulated dispatchers.
type dispatcher struct {
	// core is the decision library of the present process.
	core   *control.Dispatcher
	number int
	// share is its part of the traffic.
	share float64
	// sawOutage is set once a call that it sent during the outage failed.
	sawOutage bool
	// outageRecords are the outages in its ledger.
	outageRecords map[control.EndpointID]control.Outage
	// openAttempts holds the open attempts of messages, by the attempt's number.
	openAttempts map[control.MessageID]int
	// pending holds the accepted messages in its ledger that have not ended.
	pending map[control.MessageID]*message
	// epoch counts its processes.
	epoch int
}

// message is an accepted message that has not ended.
type message struct {
	class    int
	deadline control.Time
	// attempts counts the attempts so far.
	attempts int
	// lastAttemptAt is when the last attempt began.
	lastAttemptAt control.Time
	// possiblyExecutedSince is when the first possibly executed attempt began, 0 for none.
	possiblyExecutedSince control.Time
}

// scheduledEvent is an event at a time of the simulation. It is either a function or an event for a dispatcher.
type scheduledEvent struct {
	// at is the virtual time of the event.
	at control.Time
	// seq keeps the order of events of the same time.
	seq int
	// dispatcher receives event. It is nil where run is set.
	dispatcher *dispatcher
	event      control.Event
	// run is called instead of giving an event to a dispatcher.
	run func()
	// epoch is the dispatcher's epoch at scheduling. The event is dropped in a later epoch.
	epoch int
}

// eventQueue is a heap of events by their times.
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

// call is a call that reached the destination.
type call struct {
	at control.Time
	// sawOutage is set when its dispatcher had seen the outage before.
	sawOutage bool
}

// simulation is the state of one simulation.
type simulation struct {
	cfg         Config
	settings    control.Settings
	rng         *rand.Rand
	now         control.Time
	seq         int
	queue       eventQueue
	dispatchers []*dispatcher
	nextID      control.MessageID
	capacity    float64
	demand      float64
	// outageStart and outageEnd limit the outage.
	outageStart, outageEnd control.Time
	// tokens is the number of calls that the destination can take on now, as a token bucket.
	tokens float64
	// refilledAt is when tokens was last refilled.
	refilledAt control.Time
	// recentCalls are the calls of the last overloadWindow.
	recentCalls []call
	// servedAt holds the times of the successful answers, in order.
	servedAt []control.Time
	result   Result
}

// Simulate runs one simulation.
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

// drawParameters sets the destination, the times and the settings at random.
func (p *simulation) drawParameters() {
	between := func(low, high float64) float64 { return low + p.rng.Float64()*(high-low) }
	p.capacity = math.Exp(between(math.Log(4), math.Log(400)))
	load := between(0.4, 1.15)
	p.demand = load * p.capacity
	p.outageStart = steadyPeriod
	p.outageEnd = p.outageStart + seconds(between(minOutageSeconds, maxOutageSeconds))
	classes := []control.Class{
		{Name: "status", Target: seconds(1.5), Deadline: seconds(5), Value: 2},
		{Name: "sync", Effect: control.Deduplicated, DedupWindow: seconds(10), Target: seconds(2.5), Deadline: seconds(24), Value: 1, LateValue: 0.5},
		{Name: "upload", Effect: control.AtMostOnce, Target: seconds(2.5), Deadline: seconds(28), Value: 5, LateValue: 0.4},
	}
	ownDemand := p.demand / float64(p.cfg.Dispatchers)
	p.settings = control.Settings{Instances: p.cfg.Dispatchers, Tick: tickInterval, Classes: classes, DestinationKinds: []control.DestinationKind{{Name: "partners", MaxBatch: 1}},
		Weights: control.WeightNominal, Slots: max(3, int(2*ownDemand)), MaxOpen: max(16, int(10*ownDemand)), MaxAttempts: 6, MayCancel: true, RetryAfter: true,
		MaxRetryAfter: seconds(2), ConnIdleTimeout: seconds(5), ConnectTimeout: seconds(1.5), StreamsPerConn: 1, ReportRemainingIndex: -1, ReportLimitIndex: -1,
		StopSendingWithin: seconds(1), ColdCapacity: between(minColdFraction, maxColdFraction), WarmUp: seconds(between(minWarmUpSeconds, maxWarmUpSeconds)),
		CollapseMultiple: overloadFactor, MaxOverload: overloadWindow, SettleTime: seconds(1), TrackOutages: true}
	p.result = Result{Config: p.cfg, Capacity: p.capacity, Load: load}
}

// seconds converts seconds to the time of the decision library.
func seconds(s float64) control.Time { return control.Time(s * float64(control.Second)) }

// startDispatchers creates the dispatchers and schedules their traffic and restarts.
func (p *simulation) startDispatchers() {
	sum := 0.0
	for i := range p.cfg.Dispatchers {
		d := &dispatcher{number: i, share: math.Exp(p.cfg.TrafficSpread * p.rng.NormFloat64()), outageRecords: map[control.EndpointID]control.Outage{}, pending: map[control.MessageID]*message{}}
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

// startProcess starts a new process of a dispatcher. Its outages and pending messages are restored, all else is lost.
func (p *simulation) startProcess(d *dispatcher) {
	settings := p.settings
	settings.InstanceIndex = d.number
	core, err := control.New(settings, p.cfg.Seed*1000+uint64(d.number)*7+uint64(d.epoch))
	if err != nil {
		// The settings are this package's own, so an error is a fault of the package.
		panic(err)
	}
	d.core = core
	d.epoch++
	entry := control.Entry{Endpoint: endpoint, Dest: destination, Health: control.Ready, Weight: p.capacity}
	events := []control.Event{{Kind: control.ListUpdate, ListKind: control.ListFull, Entries: []control.Entry{entry}}}
	for _, o := range d.outageRecords {
		events = append(events, control.Event{Kind: control.OutageRestored, Outage: &o})
	}
	p.runDispatcher(d, append(events, p.restoredMessages(d)...)...)
}

// restoredMessages returns the events that restore the pending messages after a restart. An attempt that was open at the
// restart counts as possibly executed.
func (p *simulation) restoredMessages(d *dispatcher) (events []control.Event) {
	for _, id := range slices.Sorted(maps.Keys(d.pending)) {
		m := d.pending[id]
		if attempt, open := d.openAttempts[id]; open && attempt == m.attempts-1 && m.possiblyExecutedSince == 0 {
			m.possiblyExecutedSince = m.lastAttemptAt
		}
		events = append(events, control.Event{Kind: control.Arrival, Message: id, Class: m.class, Dest: destination, TimeLeft: max(0, m.deadline-p.now),
			Restored: true, Attempt: m.attempts, PossiblyExecuted: m.possiblyExecutedSince > 0, Elapsed: p.now - m.possiblyExecutedSince})
	}
	d.openAttempts = map[control.MessageID]int{}
	return events
}

// schedule adds an event to the queue.
func (p *simulation) schedule(event *scheduledEvent) {
	p.seq++
	event.seq = p.seq
	if event.dispatcher != nil {
		event.epoch = event.dispatcher.epoch
	}
	heap.Push(&p.queue, event)
}

// scheduleArrival schedules the next message of a dispatcher. The arrivals are a Poisson process.
func (p *simulation) scheduleArrival(d *dispatcher) {
	rate := p.demand * d.share
	at := p.now + seconds(p.rng.ExpFloat64()/rate)
	p.schedule(&scheduledEvent{at: at, run: func() {
		p.scheduleArrival(d)
		p.nextID++
		class := p.rng.IntN(len(p.settings.Classes))
		d.pending[p.nextID] = &message{class: class, deadline: p.now + p.settings.Classes[class].Deadline}
		p.runDispatcher(d, control.Event{Kind: control.Arrival, Message: p.nextID, Class: class, Dest: destination, TimeLeft: p.settings.Classes[class].Deadline})
	}})
}

// runNext removes the next event from the queue and runs it.
func (p *simulation) runNext() {
	next := heap.Pop(&p.queue).(*scheduledEvent)
	p.now = next.at
	switch {
	case next.run != nil:
		next.run()
	// An event for a process that has ended is dropped.
	case next.epoch == next.dispatcher.epoch:
		if next.event.Kind == control.Outcome {
			if attempt, open := next.dispatcher.openAttempts[next.event.Message]; !open || attempt != next.event.Attempt {
				// The attempt has already ended.
				return
			}
			delete(next.dispatcher.openAttempts, next.event.Message)
			p.applyAttemptEnd(next.dispatcher, &next.event)
		}
		p.runDispatcher(next.dispatcher, next.event)
	}
}

// applyAttemptEnd records the end of an attempt.
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
	case m != nil && m.possiblyExecutedSince == 0 && e.Result != control.LimitExceeded && e.Result != control.ConnectFailed:
		m.possiblyExecutedSince = m.lastAttemptAt
	}
}

// runDispatcher gives events to a dispatcher and carries out the actions that it returns.
func (p *simulation) runDispatcher(d *dispatcher, events ...control.Event) {
	for _, a := range d.core.Step(p.now, events, nil) {
		switch a.Kind {
		case control.Timer:
			p.schedule(&scheduledEvent{at: p.now + a.After, dispatcher: d, event: control.Event{Kind: control.TimerFired, TimerToken: a.TimerToken}})
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
		if o.Ended() {
			delete(d.outageRecords, o.Endpoint)
		} else {
			d.outageRecords[o.Endpoint] = o
		}
	}
}

// scheduleAttemptEnd schedules the end of an attempt after a delay.
func (p *simulation) scheduleAttemptEnd(d *dispatcher, id control.MessageID, attempt int, result control.Result, delay, wait control.Time) {
	p.schedule(&scheduledEvent{at: p.now + delay, dispatcher: d, event: control.Event{Kind: control.Outcome, Message: id, Attempt: attempt, Endpoint: endpoint, Result: result,
		Elapsed: delay, RetryAfter: wait}})
}

// sendCall delivers a call to the destination and schedules its end.
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
	p.scheduleAttemptEnd(d, a.Message, attempt, control.LimitExceeded, 2*networkDelay, 0)
}

// failCall schedules the end of a call that reaches the destination during the outage.
func (p *simulation) failCall(d *dispatcher, id control.MessageID, attempt int, timeLeft control.Time) {
	p.recordCall(d)
	switch p.cfg.Outage {
	case RefusesConnections:
		p.scheduleAttemptEnd(d, id, attempt, control.ConnectFailed, 2*networkDelay, 0)
	case NeverAnswers:
		p.scheduleAttemptEnd(d, id, attempt, control.TimedOut, timeLeft, 0)
	case AnswersErrors:
		p.scheduleAttemptEnd(d, id, attempt, control.ErrorResponse, 2*networkDelay, 0)
	case ResetsConnections:
		p.scheduleAttemptEnd(d, id, attempt, control.Reset, 2*networkDelay, 0)
	case RejectsWithWait:
		p.scheduleAttemptEnd(d, id, attempt, control.LimitExceeded, 2*networkDelay, p.outageEnd-p.now)
	default:
		p.scheduleAttemptEnd(d, id, attempt, control.LimitExceeded, 2*networkDelay, 0)
	}
}

// recordCall records a call at the destination. During the warm-up it compares the calls of the last window with the
// budget.
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

// callBudget returns how many calls a window may have where the settings allow an expected number. Two to three standard
// deviations are added, because the arrivals are random.
func callBudget(expected float64) float64 {
	if expected < 30 {
		return expected + 3*math.Sqrt(expected) + 3
	}
	return expected + 2*math.Sqrt(expected) + 2
}

// takeToken reports whether the destination takes on one more call.
func (p *simulation) takeToken() bool {
	p.tokens = min(p.tokens+p.capacity*p.capacityFraction()*float64(p.now-p.refilledAt)/float64(control.Second), max(1, queueSeconds*p.capacity*p.capacityFraction()))
	p.refilledAt = p.now
	if p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}

// recoverySeconds returns the time in seconds from the end of the outage until the calls served in a window reach nine
// tenths of the demand, or of the capacity where that is less. It returns -1 for never.
func (p *simulation) recoverySeconds() float64 {
	wanted := 0.9 * min(p.demand, p.capacity) * float64(overloadWindow) / float64(control.Second)
	// Two standard deviations are allowed for random arrivals.
	wanted -= 2 * math.Sqrt(wanted)
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

// capacityFraction returns the part of its capacity that the destination has now.
func (p *simulation) capacityFraction() float64 {
	if p.now < p.outageEnd {
		return p.settings.ColdCapacity
	}
	return min(1, p.settings.ColdCapacity+(1-p.settings.ColdCapacity)*float64(p.now-p.outageEnd)/float64(p.settings.WarmUp))
}
