package control

// This file contains the state of a Dispatcher and its bookkeeping. The decisions are in control.go.

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"slices"
)

// Dispatcher decides for one instance of the service. The same settings, seed and events always lead to the same decisions. It
// must not be used by several goroutines at once.
type Dispatcher struct {
	settings Settings
	// rng is the state of the random number generator.
	rng uint64
	// minTarget is the smallest Target of a class, but at least one tick.
	minTarget Time
	// now is the time of this round and wakeAt that of the next requested one. housekeepingAt is the time of the last garbage
	// collection. nextLogAt is the earliest time of the next log line.
	now, wakeAt, housekeepingAt, nextLogAt Time
	// stopAt is when this process ends and the next one goes on with its messages. 0 means that no end is known.
	stopAt Time
	// pullAt is when the list is requested next and pullTimerAt when the timer for that fires. pullBackoff is the pause after
	// the next failed request.
	pullAt, pullTimerAt, pullBackoff Time
	// actions are the actions of this round.
	actions []Action
	// messages are the messages that have no final answer or have an attempt in flight.
	messages map[MessageID]*message
	// keys are the queues of the ordering keys.
	keys map[uint64]*keyQueue
	// destByNumber finds a destination that is held in full.
	destByNumber map[int]*destination
	// endpointByID finds an endpoint of such a destination.
	endpointByID map[EndpointID]*endpoint
	// endpointByHint finds an endpoint by its hint ID.
	endpointByHint map[uint32]*endpoint
	// idleKeys are the keys without messages that are kept until their restUntil.
	idleKeys []*keyQueue
	// dests are the destinations that are held in full, because there was a message or a hint for them.
	dests []*destination
	// unusedEntries are the list entries of all other destinations, by destination number.
	unusedEntries map[int][]unusedEntry
	// unusedOwner is the destination number of each endpoint in unusedEntries.
	unusedOwner map[EndpointID]int
	// These heaps order the destinations. reindex describes them.
	byVirtualTime, eligible, byVirtualFinish, sleeping destinationHeap
	// calling are the destinations with calls in flight, by activationSeq. maybeInactive are those that may have become inactive.
	calling, maybeInactive []*destination
	// activations counts how often a destination became active. listCount counts the lists that were applied.
	activations, listCount uint64
	// initialWindow is the first window of a destination, by the last list. shedCursor is where the next scan for messages to
	// shed begins.
	initialWindow, shedCursor int
	// kinds are the states of the kinds of destination. The first one also serves destinations without a valid kind.
	kinds []*kindState
	// freedEndpoints are the endpoints where a call ended in this round.
	freedEndpoints []*endpoint
	// changedOutages are the endpoints for which Outages has something new to return.
	changedOutages []*endpoint
	// busySlots is the number of calls in flight. openMessages is the number of messages without a final answer.
	busySlots, openMessages int
	// attemptsInFlight is the number of attempts in these calls that have no outcome yet.
	attemptsInFlight int
	// arrivalCount counts arrivals and round counts rounds. scanCount counts the destinations that were tried or checked, which
	// is the main work of a round.
	arrivalCount, round, scanCount uint64
	// tenantRates are the rates of messages from each tenant.
	tenantRates []rateMeter
	// totalRate is the rate of messages from all tenants.
	totalRate rateMeter
	// totalQuota is the sum of all quotas in messages a second. weightFactor is the factor on a listed rate.
	totalQuota, weightFactor float64
	// lossShare is the estimated share of answers that get lost.
	lossShare float64
	// slotShortage tells that messages wait because all slots are busy.
	slotShortage bool
	// keysBlockedUntil is the restUntil of new keys. Calls of an earlier process may still be running before that.
	keysBlockedUntil Time
	// recordingFails tells that attempts cannot be recorded in the ledger at present.
	recordingFails bool
	// subscribed tells that the dispatcher is subscribed to the list.
	subscribed bool
	// hints are the encoded hints that are sent at the end of the round.
	hints []byte
	// gossipCredit is the number of bytes that may be sent now. gossipCreditPerMessage is what each message adds to it.
	gossipCredit, gossipCreditPerMessage float64
	// gossipHeardAt is when hints were last received.
	gossipHeardAt Time
}

// message is one message from its arrival until it has its final answer and no attempt in flight.
type message struct {
	id    MessageID
	class *Class
	dest  *destination
	// lane is an index into the lanes of dest.
	lane int
	// key is the queue of its ordering key. It is nil if the message may be sent in any order.
	key *keyQueue
	// createdAt is when the client submitted the message. deadline is when it is given up.
	createdAt, deadline Time
	// arrivalSeq is the position of its arrival among all arrivals.
	arrivalSeq uint64
	// arrivalRound is the round in which it arrived.
	arrivalRound uint64
	// restored tells that an earlier process had accepted it.
	restored bool
	// overQuota tells that its tenant was over its quota. queued tells that it is in a lane. ended tells that it has its final
	// answer.
	overQuota, queued, ended bool
	// attempts is the number of attempts that were decided.
	attempts int
	// attemptsNotSent is how many of these were not sent.
	attemptsNotSent int
	// call is the call in flight that contains it, or nil.
	call *call
	// possiblyExecuted tells that an attempt was possibly executed.
	possiblyExecuted bool
	// possiblyExecutedAt is when the first such attempt was sent.
	possiblyExecutedAt Time
	// possiblyExecutedZone is the zone to which that attempt was sent.
	possiblyExecutedZone int
}

// call is a call in flight, which occupies a slot. It contains one message or several of the same round.
type call struct {
	ep       *endpoint
	sentAt   Time
	messages []*message
	// pending is the number of messages whose outcome is not known yet.
	pending int
	// trial marks a trial of a suspected endpoint. cancelled tells that this dispatcher cancelled the call.
	trial, cancelled bool
	// learned tells that the endpoint's state was updated from the first outcome that tells of it. sent tells that at least one of
	// the messages was sent.
	learned, sent bool
	// rampCost is the number of ramp tokens that the call took. trialInterval is the interval of its endpoint before the trial.
	rampCost      float64
	trialInterval Time
	// connReset tells that the connection broke.
	connReset bool
	// connIdle is how long the connection had been idle before the call. It is 0 for a new connection or one in use.
	connIdle Time
}

// keyQueue orders the messages that share a key.
type keyQueue struct {
	key uint64
	// messages are the messages that are not over, oldest first. Only the first one may be sent.
	messages []*message
	// blockedUntil is when the next message may have its first attempt. An earlier message may still be executed before that.
	blockedUntil Time
	// idle tells that the queue is in restingKeys.
	idle bool
}

// endpoint is a listed endpoint and what was learned about its health.
type endpoint struct {
	id     EndpointID
	dest   *destination
	zone   int
	health Health
	// limiter is that of the destination, or its own one if the kind has PerEndpointLimits.
	limiter *limiter
	// calls are the calls in flight, oldest first.
	calls []*call
	// connOpen tells that a connection is assumed to be open.
	connOpen bool
	// usedAt is when a call last began or ended. heardAt is when the last answer came. lastOKSentAt is when the latest call that
	// ended with OK was sent.
	usedAt, heardAt, lastOKSentAt Time
	// failureStreak is the number of consecutive calls that failed to connect or got no answer. errorStreak is the number of
	// consecutive answers that were errors.
	failureStreak, errorStreak int
	// suspected tells that the endpoint is possibly down and gets only trials. unreachable tells that the last failure proved
	// that calls are not executed.
	suspected, unreachable bool
	// failedConnIdle is how long the connection of the last failed call had been idle. It is 0 if that is no sign of a dropped
	// connection.
	failedConnIdle Time
	// downSince is the assumed start of the outage. failedAt is when the last failure became known. They apply while it is
	// suspected.
	downSince, failedAt Time
	// trialAt is when the next trial is due. trialInterval is the time from that trial to the one after it.
	trialAt, trialInterval Time
	// rampStart is when the ramp began. 0 means that there is none.
	rampStart Time
	// rampTokens is the number of calls that the ramp permits now. demandSeen is the demand that was counted at rampUpdatedAt.
	rampTokens, demandSeen float64
	// rampUpdatedAt is when rampTokens was last computed.
	rampUpdatedAt Time
	// rampEnd is the multiple of the own demand at which the ramp ends while at most one message is queued.
	rampEnd float64
	// outageChanged tells that the endpoint is in changedOutages.
	outageChanged bool
}

// unusedEntry is a listed endpoint of a destination that has had no messages or is quiet. Nothing else is kept about it.
type unusedEntry struct {
	id         EndpointID
	listedAt   Time
	weight     float64
	zone, kind int32
	health     Health
}

// kindState is what all destinations of one kind share.
type kindState struct {
	latency latencyEstimate
	// safeIdleAge is the idle age up to which connections are known to stay open.
	safeIdleAge Time
	// retrySuccess is the share of calls after a refusal that ended with OK.
	retrySuccess float64
	// dropShare is the share of calls on idle connections that failed although the next call went well.
	dropShare float64
	// scarceUntil is until when connections are assumed to be scarce.
	scarceUntil Time
}

// latencyEstimate is a running mean and mean deviation of the latency, in microseconds. samples is the number of samples.
type latencyEstimate struct{ mean, deviation, samples float64 }

// add adds a sample in microseconds. gain is its weight in the moving averages.
func (l *latencyEstimate) add(v, gain float64) {
	l.samples++
	l.deviation += gain * (math.Abs(v-l.mean) - l.deviation)
	l.mean += gain * (v - l.mean)
}

// limiter limits the rate of calls to a destination, or to one endpoint if the kind has PerEndpointLimits.
type limiter struct {
	// waitUntil is when calls are permitted again after a wait that was asked for or a backoff. refilledAt is when the tokens were
	// last refilled. refusedAt is the time of the last refusal and lastOKAt that of the last success. refusingSince is the
	// first of the consecutive refusals that a used-up limit does not explain, or 0.
	waitUntil, refilledAt, refusedAt, lastOKAt, refusingSince Time
	// allowance is the share of the own demand that is permitted. knownRate is the listed or reported limit in calls a second,
	// or 0. tokens is the number of calls that are permitted now.
	allowance, knownRate, tokens float64
	// demandSeen is the demand that was counted when the tokens were last refilled.
	demandSeen float64
	// holdUntil is until when all dispatchers hold their calls. spread is the time over which they resume after that.
	holdUntil, spread Time
	// refusalStreak is the number of consecutive refusals. failureStreak is the number of consecutive calls to any of its
	// endpoints that failed to connect or got no answer.
	refusalStreak, failureStreak int
	// successes is the rate of successful calls.
	successes rateMeter
	// presumedDown tells that it has refused every call for longer than MaxOverload.
	presumedDown bool
}

// destination is a destination with its queue, its place in the fair queueing, its window and its estimates.
type destination struct {
	number    int
	endpoints []*endpoint
	kind      *kindState
	limiter   *limiter
	maxBatch  int
	// active tells that messages were queued or in flight since the last round.
	active bool
	// activationSeq is its position among the active destinations. windowList is the list from which its first window was
	// computed.
	activationSeq, windowList uint64
	// heapIndex is its position in each heap, counted from 1. 0 means that it is not in that heap.
	heapIndex [4]int
	// inCalling tells that it is in Dispatcher.calling.
	inCalling bool
	// virtualFinish is its finish tag when it was last placed in byVirtualFinish.
	virtualFinish float64
	// wakeAt is until when it sleeps, because it cannot send anything.
	wakeAt Time
	asleep bool
	// openMessages is the number of its messages without a final answer.
	openMessages int
	// listedWeight is the weight from the list, or 0. virtualTime is its virtual time in the weighted fair queueing.
	listedWeight, virtualTime float64
	// lanes are the queued messages, oldest first. Each class has one lane for messages within the quota and one for the others.
	lanes [][]*message
	// queuedCount is the number of messages in all lanes.
	queuedCount int
	// inFlight is the number of calls in flight. window is its largest number, before the limits of effectiveWindow.
	inFlight, window int
	// windowStarting tells that the window still grows with each success, because none has failed yet.
	windowStarting bool
	// completions and failedCompletions count the calls since the last review of the window.
	completions, failedCompletions int
	latency                        latencyEstimate
	// baselineLatency is the long-term mean latency in microseconds.
	baselineLatency float64
	// demand is the rate of new messages.
	demand rateMeter
}

// rateMeter measures a rate with exponential decay.
type rateMeter struct {
	// decayed is the count with decay and total the count without it.
	decayed, total float64
	// updatedAt is when something was last counted. timeConstant is the time in which the count decays by a factor of e.
	// startedAt is when the measurement began.
	updatedAt, timeConstant, startedAt Time
}

// add counts n at the instant now.
func (m *rateMeter) add(now Time, n float64) {
	m.decayed = m.decayed*math.Exp(-float64(now-m.updatedAt)/float64(m.timeConstant)) + n
	m.updatedAt = now
	m.total += n
}

// takeSmoothed returns what was counted since the last call with the same last, smoothed by the decay. It updates last.
func (m *rateMeter) takeSmoothed(now Time, last *float64) float64 {
	smoothed := m.total - m.decayed*math.Exp(-float64(now-m.updatedAt)/float64(m.timeConstant))
	increment := smoothed - *last
	*last = smoothed
	return increment / m.filledShare(now)
}

// filledShare is the share of the time constant's history that has been measured so far, from 0 to 1.
func (m *rateMeter) filledShare(now Time) float64 {
	return 1 - math.Exp(-float64(now-m.startedAt+meterInitialHistory)/float64(m.timeConstant))
}

// rate is the rate per second, corrected for a short history.
func (m *rateMeter) rate(now Time) float64 {
	return m.decayed * math.Exp(-float64(now-m.updatedAt)/float64(m.timeConstant)) / m.timeConstant.seconds() / m.filledShare(now)
}

// uncorrectedRate is the rate per second as if nothing had come before the measurement began. A burst at the start does not
// count as a high rate.
func (m *rateMeter) uncorrectedRate(now Time) float64 {
	return m.decayed * math.Exp(-float64(now-m.updatedAt)/float64(m.timeConstant)) / m.timeConstant.seconds()
}

// seconds converts a duration to seconds.
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

// remove takes a message out of its lane if it is in one.
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

// destinationHeap is a heap of destinations that implements heap.Interface. Each destination knows its position. The items
// contain the keys as of the last update, so that a comparison reads one array and calls nothing. Comparisons are most of
// the work of a round.
type destinationHeap struct {
	index int
	key   func(*destination) float64
	items []heapItem
}

// heapItem is a destination with its key as of the last update.
type heapItem struct {
	key  float64
	dest *destination
}

// Len implements heap.Interface.
func (h *destinationHeap) Len() int { return len(h.items) }

// Less implements heap.Interface. Destinations with equal keys are in order of activation.
func (h *destinationHeap) Less(i, j int) bool {
	a, b := &h.items[i], &h.items[j]
	return a.key < b.key || a.key == b.key && a.dest.activationSeq < b.dest.activationSeq
}

// Swap implements heap.Interface.
func (h *destinationHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].dest.heapIndex[h.index], h.items[j].dest.heapIndex[h.index] = i+1, j+1
}

// Push implements heap.Interface.
func (h *destinationHeap) Push(x any) {
	t := x.(*destination)
	h.items = append(h.items, heapItem{h.key(t), t})
	t.heapIndex[h.index] = len(h.items)
}

// Pop implements heap.Interface.
func (h *destinationHeap) Pop() any {
	n := len(h.items) - 1
	t := h.items[n].dest
	h.items[n] = heapItem{}
	h.items = h.items[:n]
	t.heapIndex[h.index] = 0
	return t
}

// update puts a destination at its position in the heap, or removes it if it is not present any more.
func (h *destinationHeap) update(dest *destination, present bool) {
	switch at := dest.heapIndex[h.index]; {
	case present && at == 0:
		heap.Push(h, dest)
	case present:
		if k := h.key(dest); h.items[at-1].key != k {
			h.items[at-1].key = k
			heap.Fix(h, at-1)
		}
	case at > 0:
		heap.Remove(h, at-1)
	}
}

// minKeyExcept is the smallest key of all destinations but one. It is infinite if there is no other.
func (h *destinationHeap) minKeyExcept(except *destination) float64 {
	switch n := len(h.items); {
	case n == 0:
		return math.Inf(1)
	case h.items[0].dest != except:
		return h.items[0].key
	default: // the exception is at the top, so the next smallest is one of the two below it
		least := math.Inf(1)
		for _, s := range h.items[1:min(3, n)] {
			least = min(least, s.key)
		}
		return least
	}
}

// reindex puts a destination into the heaps and lists to which its state belongs. byVirtualTime contains all active
// destinations. eligible and byVirtualFinish contain those that may send, by virtual time and by finish tag. sleeping
// contains those asleep, by wake-up time. calling contains those with calls in flight.
func (d *Dispatcher) reindex(dest *destination) {
	active, awake := dest.queuedCount > 0 || dest.inFlight > 0, dest.queuedCount > 0 && !dest.asleep
	if !active {
		dest.asleep = false
		d.maybeInactive = append(d.maybeInactive, dest)
	}
	d.byVirtualTime.update(dest, active)
	d.eligible.update(dest, awake)
	if len(d.byVirtualFinish.items) > 0 { // maintained only while very many destinations wait
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

// wakeUp makes a destination eligible again because its state has changed.
func (d *Dispatcher) wakeUp(dest *destination) {
	dest.asleep = false
	d.reindex(dest)
}

// wakeUpDue wakes the destinations whose wake-up time has come.
func (d *Dispatcher) wakeUpDue() {
	for len(d.sleeping.items) > 0 && d.sleeping.items[0].dest.wakeAt <= d.now {
		d.wakeUp(d.sleeping.items[0].dest)
	}
}

// deactivate marks the destinations inactive that have nothing queued or in flight any more.
func (d *Dispatcher) deactivate() {
	for _, dest := range d.maybeInactive {
		if dest.queuedCount == 0 && dest.inFlight == 0 {
			dest.active = false
		}
	}
	d.maybeInactive = d.maybeInactive[:0]
}

// nextDestination is the destination whose turn it is, by virtual time, or by finish tag while messages wait for slots.
// With few destinations the finish tags are computed afresh. With very many they are as of the last update, except that the
// smallest one is computed afresh until it stays the smallest.
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

// hasTrial tells whether a trial is in flight.
func (ep *endpoint) hasTrial() bool {
	return slices.ContainsFunc(ep.calls, func(c *call) bool { return c.trial })
}

// readyCount counts the endpoints that are listed as ready.
func (t *destination) readyCount() (n int) {
	for _, ep := range t.endpoints {
		if ep.health == Ready {
			n++
		}
	}
	return n
}

// random returns a pseudo-random number from 0 up to but not including 1. The sequence depends on the seed alone.
func (d *Dispatcher) random() float64 {
	d.rng ^= d.rng << 13
	d.rng ^= d.rng >> 7
	d.rng ^= d.rng << 17
	return float64(d.rng>>11) / (1 << 53)
}

// newLimiter returns a limiter that starts now, with one token and no limit.
func (d *Dispatcher) newLimiter() *limiter {
	return &limiter{refilledAt: d.now, tokens: 1, allowance: unlimitedAllowance, successes: rateMeter{timeConstant: rateTimeConstant, updatedAt: d.now, startedAt: d.now}}
}

// compareTarget compares the end of the target time of a message with an instant.
func compareTarget(m *message, at Time) int { return cmp.Compare(m.createdAt+m.class.Target, at) }

// valueAt is the value of delivering the message at an instant.
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

// collectGarbage drops state that is not needed any more: gone endpoints without calls, destinations that are unlisted or
// quiet, and idle keys. A wait is kept until it is over, a draining endpoint while it has calls in flight, and an idle
// key until its blockedUntil.
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
	for number, entries := range d.unusedEntries {
		d.unusedEntries[number] = slices.DeleteFunc(entries, func(l unusedEntry) bool {
			if l.health == Gone {
				delete(d.unusedOwner, l.id)
			}
			return l.health == Gone
		})
		if len(d.unusedEntries[number]) == 0 {
			delete(d.unusedEntries, number)
		}
	}
	d.idleKeys = slices.DeleteFunc(d.idleKeys, func(k *keyQueue) bool {
		expired := len(k.messages) == 0 && k.blockedUntil <= d.now
		if expired {
			delete(d.keys, k.key)
		}
		return expired
	})
}

// logDestination logs a line about a destination, unless another line was logged within housekeepingInterval.
func (d *Dispatcher) logDestination(dest *destination, text string) {
	if d.now >= d.nextLogAt {
		d.nextLogAt = d.now + housekeepingInterval
		d.actions = append(d.actions, Action{Kind: Log, Text: fmt.Sprintf("destination %d %s", dest.number, text)})
	}
}

// destination returns the destination with a number. If it is not held in full yet, it is created from its unused list entries,
// as of the times at which they were listed.
func (d *Dispatcher) destination(number int) *destination {
	dest := d.destByNumber[number]
	if dest == nil {
		entries, now := d.unusedEntries[number], d.now
		if len(entries) > 0 {
			d.now = entries[0].listedAt
		}
		dest = &destination{number: number, maxBatch: 1, windowStarting: true, lanes: make([][]*message, 2*len(d.settings.Classes))}
		dest.kind = d.kinds[0]
		dest.limiter = d.newLimiter()
		dest.demand = rateMeter{timeConstant: demandTimeConstant, updatedAt: d.now, startedAt: d.now}
		d.destByNumber[number] = dest
		d.dests = append(d.dests, dest)
		delete(d.unusedEntries, number)
		if dest.window, dest.windowList = d.initialWindow, d.listCount; len(entries) == 0 {
			dest.window = max(1, d.settings.Slots/(len(d.dests)+len(d.unusedEntries)))
		}
		for _, entry := range entries {
			d.now = entry.listedAt
			delete(d.unusedOwner, entry.id)
			d.addEndpoint(dest, &Entry{Endpoint: entry.id, Dest: number, Zone: int(entry.zone), DestinationKind: int(entry.kind), Health: entry.health, Weight: entry.weight})
		}
		d.now = now
	}
	return dest
}

// storeUnused keeps a list entry of a destination that has had no messages.
func (d *Dispatcher) storeUnused(entry *Entry) {
	if number, known := d.unusedOwner[entry.Endpoint]; known && number != entry.Dest || d.endpointByID[entry.Endpoint] != nil {
		return // an endpoint does not change its destination
	}
	d.unusedOwner[entry.Endpoint] = entry.Dest
	entries := d.unusedEntries[entry.Dest]
	i := slices.IndexFunc(entries, func(l unusedEntry) bool { return l.id == entry.Endpoint })
	if i < 0 {
		i = len(entries)
		entries = append(entries, unusedEntry{id: entry.Endpoint, listedAt: d.now})
		d.unusedEntries[entry.Dest] = entries
	}
	unused := &entries[i]
	unused.zone, unused.kind, unused.health, unused.weight = int32(entry.Zone), int32(entry.DestinationKind), entry.Health, entry.Weight
}

// demoteToUnused reduces a quiet destination to its list entries.
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

// applyList applies a new endpoint list. Endpoints that a whole list does not contain are gone.
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
		for _, entries := range d.unusedEntries {
			for i := range entries {
				entries[i].health = Gone
			}
		}
	}
	for i := range e.Entries {
		d.applyEntry(&e.Entries[i])
	}
	d.listCount++
	d.initialWindow = max(1, d.settings.Slots/max(1, len(d.dests)+len(d.unusedEntries)))
}

// applyEntry applies one list entry. With gossip all destinations are held in full, because a hint may concern any of them.
func (d *Dispatcher) applyEntry(entry *Entry) {
	if dest := d.destByNumber[entry.Dest]; dest != nil || d.settings.Gossip {
		d.addEndpoint(d.destination(entry.Dest), entry)
		return
	}
	d.storeUnused(entry)
}

// addEndpoint adds or updates an endpoint of a destination from a list entry.
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

// endMessage drops a message that has its final answer. If an attempt is in flight, the message is kept until its outcome.
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

// advanceKey queues the first message of a key at its destination. The later messages of the key are in no lane.
func (d *Dispatcher) advanceKey(queue *keyQueue) {
	for len(queue.messages) > 0 && queue.messages[0].ended && queue.messages[0].call == nil {
		queue.messages = queue.messages[1:]
	}
	if len(queue.messages) == 0 {
		if !queue.idle { // blockedUntil still applies to later messages, so the queue is dropped only after it
			queue.idle = true
			d.idleKeys = append(d.idleKeys, queue)
		}
		return
	}
	if m := queue.messages[0]; !m.ended && !m.queued && m.call == nil {
		d.enqueue(m)
	}
}

// hintID is the short ID of an endpoint in hints. It is the same at every dispatcher.
func hintID(id EndpointID) uint32 {
	h := uint64(id) * 0x9E3779B97F4A7C15
	return uint32(h >> 40)
}

// sendHints sends the hints of this round to the other dispatchers.
func (d *Dispatcher) sendHints() {
	if len(d.hints) > 0 {
		d.actions = append(d.actions, Action{Kind: SendGossip, Text: string(d.hints)})
		d.hints = d.hints[:0]
	}
}

// handle passes an event to the method that handles it.
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

// startMeters starts the rate meters, which need the time of the first round. It also sets how long keys are blocked
// after an earlier process.
func (d *Dispatcher) startMeters() {
	if d.settings.HasPredecessor {
		d.keysBlockedUntil = d.now + d.settings.SettleTime
	}
	d.totalRate = rateMeter{timeConstant: demandTimeConstant, updatedAt: d.now, startedAt: d.now}
	for i := range d.tenantRates {
		d.tenantRates[i] = d.totalRate
	}
}

// recordLatency adds a sample, in microseconds, to the latency of a destination and of its kind.
func (d *Dispatcher) recordLatency(dest *destination, elapsed float64) {
	if dest.latency.samples == 0 {
		dest.latency.mean, dest.latency.deviation = d.latency(dest)
		dest.baselineLatency = elapsed
	}
	dest.latency.add(elapsed, max(latencyGain, 1/(dest.latency.samples+latencyPriorSamples+1)))
	dest.baselineLatency += baselineGain * (elapsed - dest.baselineLatency)
	dest.kind.latency.add(elapsed, max(baselineGain, 1/(dest.kind.latency.samples+1)))
}

// scheduleNextRound requests a timer for the next round: a few ticks from now while calls are in flight, otherwise when the
// first sleeping destination is due.
func (d *Dispatcher) scheduleNextRound() {
	after, n := wakeTicks*d.settings.Tick, d.sleeping.items
	switch {
	case d.busySlots > 0:
	case len(n) > 0 && n[0].dest.wakeAt < never:
		after = max(n[0].dest.wakeAt-d.now, after) // polling more often is not needed
	default:
		return
	}
	if at := d.now + after; d.wakeAt <= d.now || at < d.wakeAt {
		d.wakeAt = at
		d.actions = append(d.actions, Action{Kind: Timer, After: after})
	}
}

// hasQueuedEffect tells whether a message of a class with the effect is queued.
func (t *destination) hasQueuedEffect(e RepeatEffect) bool {
	return slices.ContainsFunc(t.lanes, func(l []*message) bool { return len(l) > 0 && l[0].class.Effect == e })
}

// eachQueued calls f for every queued message.
func (t *destination) eachQueued(f func(*message)) {
	for i := range t.lanes {
		for _, m := range slices.Clone(t.lanes[i]) {
			f(m)
		}
	}
}

// attemptsSent counts the attempts that were sent.
func (m *message) attemptsSent() int { return m.attempts - m.attemptsNotSent }

// sendDeadline is when a message can no longer be sent. That is its deadline, or the end of the deduplication window of one
// that was possibly executed.
func (m *message) sendDeadline() Time {
	if m.possiblyExecuted && m.class.Effect == Deduplicated {
		return min(m.deadline, m.possiblyExecutedAt+m.class.DedupWindow-StallMargin)
	}
	return m.deadline
}

// availableAt is when the first endpoint that may get the message is past its wait. It is 0 if no such endpoint is listed.
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
