package control

// State that control.go decides with, and the plain upkeep of it. Nothing is decided here.

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"slices"
)

// Dispatcher decides for one relay. It is deterministic and not safe for concurrent use.
type Dispatcher struct {
	settings                                           Settings
	rng                                                uint64
	minTarget                                          Time // the least aim of a class
	now, wakeAt, housekeepingAt, nextLogAt             Time
	stopAt                                             Time // this process ends then and its successor goes on, 0 if not known
	pullAt, pullTimerAt, pullBackoff                   Time // next asking for the list; its timer; pause after the next failure
	actions                                            []Action
	messages                                           map[MessageID]*message
	keys                                               map[uint64]*keyQueue
	destByNumber                                       map[int]*destination
	endpointByID                                       map[EndpointID]*endpoint
	endpointByHint                                     map[uint32]*endpoint // by the short name that notes between peers use
	restingKeys                                        []*keyQueue
	dests                                              []*destination // those that something was heard of or asked for
	unusedEntries                                      map[int][]unusedEntry
	unusedOwner                                        map[EndpointID]int // destinations of the endpoints in idle
	byVirtualTime, eligible, byVirtualFinish, sleeping destinationHeap    // see place
	calling, maybeInactive                             []*destination     // those with calls out, by seq; those that may be live no more
	activations, listCount                             uint64             // destinations that came to life; lists taken
	initialWindow, shedCursor                          int                // first window, by the last list; where the next look for what to shed begins
	kinds                                              []*kindState
	freedEndpoints                                     []*endpoint // calls there ended in this round
	changedOutages                                     []*endpoint // what is known of their outages has changed
	busySlots, openMessages                            int         // slots taken; messages owed an answer
	arrivalCount, round, scanCount                     uint64      // looks: destinations tried or watched, the work of rounds
	tenantRates                                        []rateMeter
	totalRate                                          rateMeter
	totalQuota, weightFactor                           float64 // messages a second within all shares; factor on a listed rate
	lossShare                                          float64 // share of answers that get lost
	slotShortage                                       bool    // messages wait for want of slots
	keysRestUntil                                      Time    // all keys rest until then: calls of a process before this one may be executed yet
	recordingFails                                     bool    // attempts can't be put on record now
	subscribed                                         bool    // subscribed to the list
	hints                                              []byte  // hints for the peers, sent at the end of the round
	gossipCredit, gossipCreditPerMessage               float64 // bytes that may be told now; what a message adds
	gossipHeardAt                                      Time
}

// message is one message from arrival to its end and its last outcome.
type message struct {
	id                       MessageID
	class                    *Class
	dest                     *destination
	lane                     int
	key                      *keyQueue
	createdAt, deadline      Time // when it was first handed in, when it is given up
	arrivalSeq               uint64
	arrivalRound             uint64 // in which it arrived
	restored                 bool   // a process before this one had taken it on
	overQuota, queued, ended bool
	attempts                 int // attempts decided ...
	attemptsNotSent          int // ... of them not sent
	call                     *call
	possiblyExecuted         bool // an attempt may have run ...
	possiblyExecutedAt       Time // ... the first such was sent then ...
	possiblyExecutedZone     int  // ... to this zone
}

// call is one call out, holding a slot: a message, or several of one round.
type call struct {
	ep               *endpoint
	sentAt           Time
	messages         []*message
	pending          int
	trial, cancelled bool // a trial of a suspect; called off by us
	connReset        bool // its connection broke
	connIdle         Time // how long the connection that it went out on had been idle, 0 if new or in use
}

// keyQueue orders the messages that share a key.
type keyQueue struct {
	key       uint64
	messages  []*message
	restUntil Time
	resting   bool // in the list of those at rest
}

// endpoint is a place to send to, with its own health.
type endpoint struct {
	id                            EndpointID
	dest                          *destination
	zone                          int
	health                        Health
	limiter                       *limiter
	calls                         []*call // out, oldest first
	connOpen                      bool    // a connection is thought open
	usedAt, heardAt, lastOKSentAt Time    // last use; last answer; send time of the newest call answered ok
	failureStreak, errorStreak    int     // calls in a row that met nobody or silence; answers in a row that were errors
	suspected, unreachable        bool    // not fed; its last failure proved that calls do not run
	failedConnIdle                Time    // idle age of the connection on which the last failed call went out
	downSince, failedAt           Time    // while suspect: since when; when the last failure was known
	trialAt, trialInterval        Time    // next trial, and how long until the one after
	rampStart                     Time    // start of its ramp, 0 none
	rampTokens, demandSeen        float64 // calls that the ramp permits now; demand seen when that was reckoned ...
	rampUpdatedAt                 Time    // ... which was then
	rampEnd                       float64 // multiple of the own demand at which its ramp ends, where a single message is held
	outageChanged                 bool    // what is known of its outage is to be told, see Outages
}

// unusedEntry is one listed endpoint of a destination that nothing was asked for yet: all that is kept of it.
type unusedEntry struct {
	id         EndpointID
	listedAt   Time // when it was listed
	weight     float64
	zone, kind int32
	health     Health
}

// kindState is what the destinations of one kind have in common.
type kindState struct {
	latency      latencyEstimate
	safeIdleAge  Time    // idle age up to which connections are known to hold
	retrySuccess float64 // how often the call after a refusal went well
	dropShare    float64 // share of calls on idle connections that failed where the next one went well
	scarceUntil  Time    // until then connections are taken to be scarce
}

// latencyEstimate is a running mean and deviation.
type latencyEstimate struct{ mean, deviation, samples float64 }

func (l *latencyEstimate) add(v, gain float64) {
	l.samples++
	l.deviation += gain * (math.Abs(v-l.mean) - l.deviation)
	l.mean += gain * (v - l.mean)
}

// limiter is what bounds the rate to a destination, or to one route where routes are apart.
type limiter struct {
	waitUntil, refilledAt, refusedAt, lastOKAt, refusingSince Time    // wait is told, or our own backoff
	allowance, knownRate, tokens                              float64 // share of the own demand let go; listed or reported rate
	demandSeen                                                float64 // demand seen when the tokens were reckoned
	holdUntil, spread                                         Time    // all senders hold until then and go on spread over this
	refusalStreak, failureStreak                              int     // refusals in a row; calls in a row that met nobody or silence, at all its endpoints
	successes                                                 rateMeter
	presumedDown                                              bool // it has refused for longer than an overload may last
}

// destination is a destination: its hold, turn counter, window and what was learned.
type destination struct {
	number                         int
	endpoints                      []*endpoint
	kind                           *kindState
	limiter                        *limiter
	maxBatch                       int
	active                         bool   // messages were held or out since the last round
	activationSeq, windowList      uint64 // place among the live ones; the list that its first window is by
	heapIndex                      [4]int // places in the orders, counted from 1
	inCalling                      bool   // it is among those with calls out
	virtualFinish                  float64
	wakeAt                         Time // asleep until then: nothing can be released
	asleep                         bool
	openMessages                   int // messages owed an answer
	listedWeight, virtualTime      float64
	lanes                          [][]*message // by class and over-share, oldest first
	queuedCount                    int
	inFlight, window               int
	windowStarting                 bool
	completions, failedCompletions int
	latency                        latencyEstimate
	baselineLatency                float64 // the long view of its latency
	demand                         rateMeter
}

// rateMeter is a rate with exponential decay.
type rateMeter struct {
	decayed, total                     float64
	updatedAt, timeConstant, startedAt Time
}

func (m *rateMeter) add(now Time, n float64) {
	m.decayed = m.decayed*math.Exp(-float64(now-m.updatedAt)/float64(m.timeConstant)) + n
	m.updatedAt = now
	m.total += n
}

// takeSmoothed is what was counted since the last look, smoothed by the decay; last is moved on.
func (m *rateMeter) takeSmoothed(now Time, last *float64) float64 {
	smoothed := m.total - m.decayed*math.Exp(-float64(now-m.updatedAt)/float64(m.timeConstant))
	increment := smoothed - *last
	*last = smoothed
	return increment / m.filledShare(now)
}

// filledShare is the part of the memory that is filled.
func (m *rateMeter) filledShare(now Time) float64 {
	return 1 - math.Exp(-float64(now-m.startedAt+meterInitialHistory)/float64(m.timeConstant))
}

// rate is per second; the start is corrected for the short history.
func (m *rateMeter) rate(now Time) float64 {
	return m.decayed * math.Exp(-float64(now-m.updatedAt)/float64(m.timeConstant)) / m.timeConstant.seconds() / m.filledShare(now)
}

// uncorrectedRate is the rate per second as if nothing had come before the measure began: a burst at its start is none.
func (m *rateMeter) uncorrectedRate(now Time) float64 {
	return m.decayed * math.Exp(-float64(now-m.updatedAt)/float64(m.timeConstant)) / m.timeConstant.seconds()
}

func (t Time) seconds() float64 { return float64(t) / float64(Second) }

// insert adds a message to its lane, which is in order of arrival.
func (t *destination) insert(m *message) {
	lane := t.lanes[m.lane]
	at := len(lane)
	for at > 0 && lane[at-1].arrivalSeq > m.arrivalSeq {
		at--
	}
	t.lanes[m.lane] = slices.Insert(lane, at, m)
	m.queued = true
	t.queuedCount++
}

// remove takes a message out of its lane, if it is in one.
func (t *destination) remove(m *message) {
	if !m.queued {
		return
	}
	lane := t.lanes[m.lane]
	i, _ := slices.BinarySearchFunc(lane, m.arrivalSeq, func(o *message, n uint64) int { return cmp.Compare(o.arrivalSeq, n) })
	t.lanes[m.lane] = slices.Delete(lane, i, i+1)
	t.queuedCount--
	m.queued = false
}

// destinationHeap is a heap of destinations. Each knows its place in it. Keys stand in the heap as they were when each was last
// set: a comparison then reads one array and calls nothing, which is what a round mostly does.
type destinationHeap struct {
	index int
	key   func(*destination) float64
	items []heapItem
}

type heapItem struct {
	key  float64
	dest *destination
}

func (o *destinationHeap) Len() int { return len(o.items) }
func (o *destinationHeap) Less(i, j int) bool {
	a, b := &o.items[i], &o.items[j]
	return a.key < b.key || a.key == b.key && a.dest.activationSeq < b.dest.activationSeq
}
func (o *destinationHeap) Swap(i, j int) {
	o.items[i], o.items[j] = o.items[j], o.items[i]
	o.items[i].dest.heapIndex[o.index], o.items[j].dest.heapIndex[o.index] = i+1, j+1
}
func (o *destinationHeap) Push(x any) {
	t := x.(*destination)
	o.items = append(o.items, heapItem{o.key(t), t})
	t.heapIndex[o.index] = len(o.items)
}
func (o *destinationHeap) Pop() any {
	n := len(o.items) - 1
	t := o.items[n].dest
	o.items[n] = heapItem{}
	o.items = o.items[:n]
	t.heapIndex[o.index] = 0
	return t
}

// set puts a destination in its place, or takes it out.
func (o *destinationHeap) update(dest *destination, present bool) {
	switch at := dest.heapIndex[o.index]; {
	case present && at == 0:
		heap.Push(o, dest)
	case present:
		if k := o.key(dest); o.items[at-1].key != k {
			o.items[at-1].key = k
			heap.Fix(o, at-1)
		}
	case at > 0:
		heap.Remove(o, at-1)
	}
}

// minKeyExcept is the smallest key of all but one destination, or infinity.
func (o *destinationHeap) minKeyExcept(except *destination) float64 {
	switch n := len(o.items); {
	case n == 0:
		return math.Inf(1)
	case o.items[0].dest != except:
		return o.items[0].key
	default: // it is at the top: the next is one of the two below
		least := math.Inf(1)
		for _, s := range o.items[1:min(3, n)] {
			least = min(least, s.key)
		}
		return least
	}
}

// reindex puts a destination where its counts and its sleep say: byAcc are all live ones by their counters; turns and
// costs those that may release, by counter and by tag; naps those asleep; calling those with calls out.
func (d *Dispatcher) reindex(dest *destination) {
	active, awake := dest.queuedCount > 0 || dest.inFlight > 0, dest.queuedCount > 0 && !dest.asleep
	if !active {
		dest.asleep = false
		d.maybeInactive = append(d.maybeInactive, dest)
	}
	d.byVirtualTime.update(dest, active)
	d.eligible.update(dest, awake)
	if len(d.byVirtualFinish.items) > 0 { // kept only while very many wait
		if awake {
			dest.virtualFinish = d.finishTag(dest)
		}
		d.byVirtualFinish.update(dest, awake)
	}
	d.sleeping.update(dest, dest.asleep)
	if calls := dest.inFlight > 0; calls != dest.inCalling {
		dest.inCalling = calls
		i, _ := slices.BinarySearchFunc(d.calling, dest.activationSeq, func(o *destination, seq uint64) int { return cmp.Compare(o.activationSeq, seq) })
		if calls {
			d.calling = slices.Insert(d.calling, i, dest)
		} else {
			d.calling = slices.Delete(d.calling, i, i+1)
		}
	}
}

// wakeUp has a destination looked at again: something happened there.
func (d *Dispatcher) wakeUp(dest *destination) {
	dest.asleep = false
	d.reindex(dest)
}

// wakeUpDue wakes the destinations whose time has come.
func (d *Dispatcher) wakeUpDue() {
	for len(d.sleeping.items) > 0 && d.sleeping.items[0].dest.wakeAt <= d.now {
		d.wakeUp(d.sleeping.items[0].dest)
	}
}

// rest lets those be that have nothing held or out any more.
func (d *Dispatcher) deactivate() {
	for _, dest := range d.maybeInactive {
		if dest.queuedCount == 0 && dest.inFlight == 0 {
			dest.active = false
		}
	}
	d.maybeInactive = d.maybeInactive[:0]
}

// nextDestination is the destination whose turn it is: by counter, or by tag while messages wait for slots. Tags of a few are
// reckoned at the moment. Those of very many are as of when each was placed, but for the first, which is reckoned anew.
func (d *Dispatcher) nextDestination() *destination {
	if !d.slotShortage {
		if len(d.eligible.items) == 0 {
			return nil
		}
		return d.eligible.items[0].dest
	}
	if len(d.eligible.items) <= maxShedScan {
		for _, s := range d.byVirtualFinish.items {
			s.dest.heapIndex[d.byVirtualFinish.index] = 0
		}
		d.byVirtualFinish.items = d.byVirtualFinish.items[:0]
		var best *destination
		least := math.Inf(1)
		for _, s := range d.eligible.items {
			if tag := d.finishTag(s.dest); tag < least || tag == least && s.dest.activationSeq < best.activationSeq {
				best, least = s.dest, tag
			}
		}
		return best
	}
	if len(d.byVirtualFinish.items) == 0 {
		for _, s := range d.eligible.items {
			s.dest.virtualFinish = d.finishTag(s.dest)
			d.byVirtualFinish.update(s.dest, true)
		}
	}
	for {
		dest := d.byVirtualFinish.items[0].dest
		cost := d.finishTag(dest)
		if cost <= dest.virtualFinish {
			return dest
		}
		dest.virtualFinish = cost
		d.byVirtualFinish.update(dest, true)
	}
}

// hasTrial tells whether a trial is out.
func (ep *endpoint) hasTrial() bool {
	return slices.ContainsFunc(ep.calls, func(c *call) bool { return c.trial })
}

// readyCount counts the endpoints listed ready.
func (t *destination) readyCount() (n int) {
	for _, ep := range t.endpoints {
		if ep.health == Ready {
			n++
		}
	}
	return n
}

// random returns a number from 0 to 1, from the seed alone.
func (d *Dispatcher) random() float64 {
	d.rng ^= d.rng << 13
	d.rng ^= d.rng >> 7
	d.rng ^= d.rng << 17
	return float64(d.rng>>11) / (1 << 53)
}

// newLimiter returns a pace as of now.
func (d *Dispatcher) newLimiter() *limiter {
	return &limiter{refilledAt: d.now, tokens: 1, allowance: unlimitedAllowance, successes: rateMeter{timeConstant: rateTimeConstant, updatedAt: d.now, startedAt: d.now}}
}

func compareTarget(m *message, at Time) int { return cmp.Compare(m.createdAt+m.class.Target, at) }

// valueAt is what delivering the message at t would earn.
func (d *Dispatcher) valueAt(m *message, at Time) float64 {
	class, value := m.class, m.class.Value
	if m.overQuota {
		value *= d.settings.OverQuotaFactor
	}
	late := at - m.createdAt - class.Target
	switch {
	case at >= m.deadline:
		return 0
	case late <= 0:
		return value
	case d.settings.HalveLateValue:
		return value * max(class.LateValue, math.Exp2(-float64(late)/float64(max(class.Target, 1))))
	}
	return value * (1 - (1-class.LateValue)*float64(late)/float64(max(class.Deadline-class.Target, 1)))
}

// collectGarbage forgets what is of no more use: gone endpoints without calls, unlisted destinations and keys at rest.
// A told wait binds until it is over, a drain while calls are out, and a key's rest while it lasts.
func (d *Dispatcher) collectGarbage() {
	for _, dest := range d.dests {
		dest.endpoints = slices.DeleteFunc(dest.endpoints, func(ep *endpoint) bool {
			expired := ep.health == Gone && len(ep.calls) == 0 && ep.limiter.waitUntil <= d.now
			if expired {
				delete(d.endpointByID, ep.id)
				delete(d.endpointByHint, hintID(ep.id))
				if isUnhealthy(ep) || ep.errorStreak > 0 || ep.limiter.presumedDown {
					d.outageChanged(ep)
				}
			}
			return expired
		})
	}
	d.dests = slices.DeleteFunc(d.dests, func(dest *destination) bool {
		switch {
		case dest.openMessages > 0 || dest.inFlight > 0 || dest.limiter.waitUntil > d.now:
			return false
		case len(dest.endpoints) == 0:
			delete(d.destByNumber, dest.number)
			return true
		case !d.settings.Gossip && d.isQuiet(dest):
			d.demoteToUnused(dest)
			return true
		}
		return false
	})
	for number, lines := range d.unusedEntries {
		d.unusedEntries[number] = slices.DeleteFunc(lines, func(l unusedEntry) bool {
			if l.health == Gone {
				delete(d.unusedOwner, l.id)
			}
			return l.health == Gone
		})
		if len(d.unusedEntries[number]) == 0 {
			delete(d.unusedEntries, number)
		}
	}
	d.restingKeys = slices.DeleteFunc(d.restingKeys, func(k *keyQueue) bool {
		expired := len(k.messages) == 0 && k.restUntil <= d.now
		if expired {
			delete(d.keys, k.key)
		}
		return expired
	})
}

// logDestination tells the operators something, if nothing else was told lately.
func (d *Dispatcher) logDestination(dest *destination, text string) {
	if d.now >= d.nextLogAt {
		d.nextLogAt = d.now + housekeepingInterval
		d.actions = append(d.actions, Action{Kind: Log, Text: fmt.Sprintf("destination %d %s", dest.number, text)})
	}
}

// destination returns a destination, making it when something is first asked for there, as if it had been since it was listed.
func (d *Dispatcher) destination(number int) *destination {
	dest := d.destByNumber[number]
	if dest == nil {
		lines, now := d.unusedEntries[number], d.now
		if len(lines) > 0 {
			d.now = lines[0].listedAt
		}
		dest = &destination{number: number, maxBatch: 1, windowStarting: true, lanes: make([][]*message, 2*len(d.settings.Classes))}
		dest.kind = d.kinds[0]
		dest.limiter = d.newLimiter()
		dest.demand = rateMeter{timeConstant: demandTimeConstant, updatedAt: d.now, startedAt: d.now}
		d.destByNumber[number] = dest
		d.dests = append(d.dests, dest)
		delete(d.unusedEntries, number)
		if dest.window, dest.windowList = d.initialWindow, d.listCount; len(lines) == 0 {
			dest.window = max(1, d.settings.Slots/(len(d.dests)+len(d.unusedEntries)))
		}
		for _, entry := range lines {
			d.now = entry.listedAt
			delete(d.unusedOwner, entry.id)
			d.addEndpoint(dest, &Entry{Endpoint: entry.id, Dest: number, Zone: int(entry.zone), DestinationKind: int(entry.kind), Health: entry.health, Weight: entry.weight})
		}
		d.now = now
	}
	return dest
}

// storeUnused keeps a line of the list for a destination that nothing was asked for yet.
func (d *Dispatcher) storeUnused(entry *Entry) {
	if number, known := d.unusedOwner[entry.Endpoint]; known && number != entry.Dest || d.endpointByID[entry.Endpoint] != nil {
		return // an endpoint does not change its destination
	}
	d.unusedOwner[entry.Endpoint] = entry.Dest
	lines := d.unusedEntries[entry.Dest]
	i := slices.IndexFunc(lines, func(l unusedEntry) bool { return l.id == entry.Endpoint })
	if i < 0 {
		i = len(lines)
		lines = append(lines, unusedEntry{id: entry.Endpoint, listedAt: d.now})
		d.unusedEntries[entry.Dest] = lines
	}
	unused := &lines[i]
	unused.zone, unused.kind, unused.health, unused.weight = int32(entry.Zone), int32(entry.DestinationKind), entry.Health, entry.Weight
}

// demoteToUnused makes a destination that has been quiet for long a line of the list again.
func (d *Dispatcher) demoteToUnused(dest *destination) {
	delete(d.destByNumber, dest.number)
	for _, ep := range dest.endpoints {
		delete(d.endpointByID, ep.id)
		delete(d.endpointByHint, hintID(ep.id))
		weight := dest.listedWeight
		if ep.limiter != dest.limiter {
			weight = ep.limiter.knownRate / d.weightFactor
		}
		kind := slices.Index(d.kinds, dest.kind)
		d.storeUnused(&Entry{Endpoint: ep.id, Dest: dest.number, Zone: ep.zone, DestinationKind: kind, Health: ep.health, Weight: weight})
	}
}

// list takes a new endpoint list; what a whole list leaves out is gone.
func (d *Dispatcher) applyList(e *Event) {
	if e.ListKind == ListFailed {
		return
	}
	if e.ListKind != ListDelta {
		for _, dest := range d.dests {
			for _, ep := range dest.endpoints {
				ep.health = Gone
			}
		}
		for _, lines := range d.unusedEntries {
			for i := range lines {
				lines[i].health = Gone
			}
		}
	}
	for i := range e.Entries {
		d.applyEntry(&e.Entries[i])
	}
	d.listCount++
	d.initialWindow = max(1, d.settings.Slots/max(1, len(d.dests)+len(d.unusedEntries)))
}

// applyEntry takes one line of the list. Peers may speak of any destination, so all are held in full where there are some.
func (d *Dispatcher) applyEntry(entry *Entry) {
	if dest := d.destByNumber[entry.Dest]; dest != nil || d.settings.Gossip {
		d.addEndpoint(d.destination(entry.Dest), entry)
		return
	}
	d.storeUnused(entry)
}

// addEndpoint gives a destination a line of the list.
func (d *Dispatcher) addEndpoint(dest *destination, entry *Entry) {
	perEndpoint := false
	if entry.DestinationKind >= 0 && entry.DestinationKind < len(d.settings.DestinationKinds) {
		dest.kind = d.kinds[entry.DestinationKind]
		dest.maxBatch, perEndpoint = d.settings.DestinationKinds[entry.DestinationKind].MaxBatch, d.settings.DestinationKinds[entry.DestinationKind].PerEndpointLimits
	}
	ep := d.endpointByID[entry.Endpoint]
	if ep == nil {
		if _, other := d.unusedOwner[entry.Endpoint]; other {
			return
		}
		ep = &endpoint{id: entry.Endpoint, dest: dest, limiter: dest.limiter}
		if perEndpoint {
			ep.limiter = d.newLimiter()
		}
		d.endpointByID[entry.Endpoint] = ep
		d.endpointByHint[hintID(entry.Endpoint)] = ep
	}
	if ep.dest != dest {
		return // an endpoint does not change its destination
	}
	if !slices.Contains(dest.endpoints, ep) {
		d.onJoin(dest, ep)
		dest.endpoints = append(dest.endpoints, ep)
	}
	ep.zone, ep.health = entry.Zone, entry.Health
	d.wakeUp(dest)
	if entry.Weight > 0 && entry.Weight <= math.MaxFloat32 && d.settings.Weights != WeightNone {
		dest.listedWeight = entry.Weight
		ep.limiter.knownRate = entry.Weight * d.weightFactor
	}
}

// endMessage drops a message that is answered; one with an attempt out is kept until its outcome.
func (d *Dispatcher) endMessage(m *message) {
	if !m.ended {
		m.ended = true
		d.openMessages--
		m.dest.openMessages--
		m.dest.remove(m)
		d.reindex(m.dest)
	}
	if m.call != nil {
		return
	}
	delete(d.messages, m.id)
	if m.key != nil {
		d.advanceKey(m.key)
	}
}

// advanceKey puts the message whose turn it is into its hold. One that waits for its turn is in no hold.
func (d *Dispatcher) advanceKey(queue *keyQueue) {
	for len(queue.messages) > 0 && queue.messages[0].ended && queue.messages[0].call == nil {
		queue.messages = queue.messages[1:]
	}
	if len(queue.messages) == 0 {
		if !queue.resting { // its rest binds those to come; it is dropped later
			queue.resting = true
			d.restingKeys = append(d.restingKeys, queue)
		}
		return
	}
	if m := queue.messages[0]; !m.ended && !m.queued && m.call == nil {
		d.enqueue(m)
	}
}

// hintID is the short name of an endpoint in notes, the same at every dispatcher.
func hintID(id EndpointID) uint32 {
	h := uint64(id) * 0x9E3779B97F4A7C15
	return uint32(h >> 40)
}

// share sends what this round has to tell the peers.
func (d *Dispatcher) sendHints() {
	if len(d.hints) > 0 {
		d.actions = append(d.actions, Action{Kind: SendGossip, Text: string(d.hints)})
		d.hints = d.hints[:0]
	}
}

// handle takes an event to where it is dealt with.
func (d *Dispatcher) handle(e *Event) {
	switch e.Kind {
	case Arrival:
		d.onArrival(e)
	case Outcome:
		d.onOutcome(e)
	case Withdrawn:
		if m := d.messages[e.Message]; m != nil {
			d.endMessage(m)
		}
	case TimerFired:
		if m := d.messages[MessageID(e.TimerToken-1)]; e.TimerToken > 0 && m != nil && !m.ended {
			d.expire(m)
		}
	case GossipReceived:
		d.receiveHints(e.Payload)
	case ListUpdate:
		d.applyList(e)
		d.planNextPull(e.ListKind)
	case OutageRestored:
		d.restoreOutage(e.Outage)
	case RecordingStatus:
		d.recordingFails = e.RecordingFails
		for _, dest := range d.dests {
			d.wakeUp(dest)
		}
	case Shutdown:
		d.shutdown(e.TimeLeft, e.KeepHeld)
	}
}

// startMeters starts the measures that need the first round's time.
func (d *Dispatcher) startMeters() {
	if d.settings.HasPredecessor {
		d.keysRestUntil = d.now + d.settings.SettleTime
	}
	d.totalRate = rateMeter{timeConstant: demandTimeConstant, updatedAt: d.now, startedAt: d.now}
	for i := range d.tenantRates {
		d.tenantRates[i] = d.totalRate
	}
}

// recordLatency learns the latency of a destination and of its kind.
func (d *Dispatcher) recordLatency(dest *destination, elapsed float64) {
	if dest.latency.samples == 0 {
		dest.latency.mean, dest.latency.deviation = d.latency(dest)
		dest.baselineLatency = elapsed
	}
	dest.latency.add(elapsed, max(latencyGain, 1/(dest.latency.samples+latencyPriorSamples+1)))
	dest.baselineLatency += baselineGain * (elapsed - dest.baselineLatency)
	dest.kind.latency.add(elapsed, max(baselineGain, 1/(dest.kind.latency.samples+1)))
}

// scheduleNextRound asks for a next round: soon while calls are out, else when the first sleeper is to be looked at.
func (d *Dispatcher) scheduleNextRound() {
	after, n := wakeTicks*d.settings.Tick, d.sleeping.items
	switch {
	case d.busySlots > 0:
	case len(n) > 0 && n[0].dest.wakeAt < never:
		after = max(n[0].dest.wakeAt-d.now, after) // what is polled needs no more than that
	default:
		return
	}
	if at := d.now + after; d.wakeAt <= d.now || at < d.wakeAt {
		d.wakeAt = at
		d.actions = append(d.actions, Action{Kind: Timer, After: after})
	}
}

// acquireSlot has a call hold a slot, free gives it back.
func (d *Dispatcher) acquireSlot(c *call) {
	c.pending = len(c.messages)
	d.busySlots++
	c.ep.dest.inFlight++
	c.ep.calls = append(c.ep.calls, c)
	c.ep.connOpen, c.ep.usedAt = true, d.now
	d.reindex(c.ep.dest)
}

func (d *Dispatcher) releaseSlot(c *call) {
	d.busySlots--
	c.ep.dest.inFlight--
	c.ep.calls = slices.DeleteFunc(c.ep.calls, func(o *call) bool { return o == c })
	c.ep.usedAt = d.now
	d.freedEndpoints = append(d.freedEndpoints, c.ep)
	d.wakeUp(c.ep.dest)
}

// hasQueuedEffect tells whether a message of a class with that effect is held.
func (t *destination) hasQueuedEffect(e RepeatEffect) bool {
	return slices.ContainsFunc(t.lanes, func(l []*message) bool { return len(l) > 0 && l[0].class.Effect == e })
}

// eachQueued calls f for every message held.
func (t *destination) eachQueued(f func(*message)) {
	for i := range t.lanes {
		for _, m := range slices.Clone(t.lanes[i]) {
			f(m)
		}
	}
}

// attemptsSent counts the attempts that were sent.
func (m *message) attemptsSent() int { return m.attempts - m.attemptsNotSent }

// sendDeadline is when a message can't be sent any more: at its deadline, or once partners forget the key of one that may have run.
func (m *message) sendDeadline() Time {
	if m.possiblyExecuted && m.class.Effect == Deduplicated {
		return min(m.deadline, m.possiblyExecutedAt+m.class.DedupWindow-StallMargin)
	}
	return m.deadline
}

// availableAt tells when the first endpoint that the message may go to is past its wait, 0 if none is listed.
func (d *Dispatcher) availableAt(m *message) Time {
	earliest, found := Time(math.MaxInt64), false
	for _, ep := range m.dest.endpoints {
		if ep.health == Ready && !(m.possiblyExecuted && m.class.DedupPerZone && ep.zone != m.possiblyExecutedZone) {
			earliest, found = min(earliest, ep.limiter.waitUntil), true
		}
	}
	if !found {
		return 0
	}
	return earliest
}
