package control

// This file contains the decisions. The path of a message is onArrival, enqueue, dispatch, sendNext with
// maySend, and onOutcome, which ends it or queues it again. finish ends it if it is not delivered.

import (
	"maps"
	"math"
	"slices"
)

// Parameters of the decisions. None of them depends on a particular deployment.
const (
	windowReviewFactor = 4 // A window is reviewed after this many completions for each call that it permits.

	maxFailedShare = 0.1 // A window grows only if no larger share of the completions has failed.

	latencyGain  = 1.0 / 8  // This is the weight of a new sample in a destination's latency.
	baselineGain = 1.0 / 64 // This is the weight of a new sample in the baseline, which tells what is slow.

	latencyPriorSamples = 2 // The latency of the kind counts for this many samples of a new destination.

	silenceDeviations = 6 // Silence lasts at most this many deviations above the mean, or twice that at first.

	defaultLatency = 400 * Millisecond // This is assumed before the first answer.
	minSilence     = 300 * Millisecond // A shorter silence is never suspicious because short pauses are common.

	maxErrorStreak = 5 // It takes at most this many consecutive errors to suspect an endpoint.

	minConfirmFailures = 2 // An outage is confirmed by at least this many consecutive failures.
	lossConfirmFactor  = 6 // This times the share of lost answers is added to minConfirmFailures.

	lossGain = 1.0 / 8 // This is the weight of a call in the shares of lost answers, drops and good retries.

	minLossShare   = 0.01 // This is the smallest share of lost answers that is assumed.
	lossDeviations = 1    // The silence timeout has this minus ln(share of lost answers) deviations.
	slowFactor     = 3.0  // A destination is slow if its latency exceeds its baseline by this factor.

	trialBackoffFactor = 1.5 // The interval between trials grows by this factor with each trial.

	maxTrialInterval = 2 * Second // Longer intervals would waste the capacity of an endpoint that has returned.

	unseenWarmUps = 4   // A suspected endpoint is assumed to be warm this many warm-ups after its last failure.
	trialShare    = 0.5 // Trials use this share of the assumed capacity, as other dispatchers send some, too.

	minBackoff = 100 * Millisecond // The first backoff after a refusal without a wait is at least this.
	maxBackoff = 4 * Second        // The doubling of the backoff ends at this.

	allowanceDecrease    = 0.7  // A refusal multiplies the allowed share of the own demand by this.
	allowanceSuccessGain = 0.1  // A success adds this to the allowed share. Successes add no more in a second.
	allowanceDemandGain  = 0.05 // A message of demand adds this to the allowed share, for at most two a second.
	minAllowance         = 0.05 // The allowed share does not fall below this if the limit is unknown.

	heldRetryTargets = 2 // A queued message adds retrySuccess squared to the demand in this many targets.

	initialRetrySuccess = 0.3 // This is assumed for the share of calls after a refusal that go well.
	unlimitedAllowance  = 2.0 // From this multiple of the demand on, no limit is applied.

	rateTimeConstant    = 2 * Second // This is the time constant of the rate of successes.
	meterInitialHistory = Second / 2 // A new rate meter is taken to have measured for this long.

	minWeight = 0.1 // A demand that stands in for a weight counts as at least this many messages a second.

	demandTimeConstant = 10 * Second // This is the time constant of the demand that sizes ramps and shares.

	burstSeconds = 0.5 // This many seconds of the permitted rate may be sent at once.

	approximateWeightFactor = 1.5 // An approximate listed rate may be too low by this factor.

	maxRampMargin       = 1.2 // A ramp exceeds the own demand times the capacity by at most this factor.
	collapseMarginShare = 0.6 // A ramp stays below this share of CollapseMultiple, so chance does not reach it.
	maxRampEnd          = 1.5 // Every ramp ends at this multiple of the own demand, even with messages queued.

	fairShare        = 0.8 // A dispatcher may always use this share of its equal part of a known limit.
	limitUsedUpBelow = 0.1 // A refusal is put down to the limit only if less than this share of it is left.

	batchRampCost = 0.25 // Each further message of a call costs this many ramp tokens. The first one costs 1.

	connScarcityPeriod = 30 * Second // Connections count as scarce for this long after the last sign of it.

	zoneCostCalls = 40 // A zone cost of 1 counts as this many calls in flight in the choice of an endpoint.

	minDropIdleAge = Second / 2 // Up to this idle age, silence is no sign of a dropped connection.

	atMostOnceDropShare = 0.02 // AtMostOnce messages get new connections above this share of dropped ones.
	confirmedDropShare  = 0.2  // The safe idle age is lowered above this share of drops on idle connections.
	idleAgeMargin       = 0.8  // Idle connections are used up to this share of the safe idle age.
	idleAgeGrowth       = 1.02 // A success on an idle connection multiplies the safe idle age by this.

	overQuotaMargin = 1.1 // A tenant is over its quota if it exceeds the quota by this factor.

	minQueueDelay = 500 * Millisecond // The estimated queue delay is at least this.
	maxQueueDelay = 8 * Second        // This bound keeps a stalled queue comparable with a busy one.

	minThroughput = 0.2 // A destination that answers nothing is taken to complete this many calls a second.

	valueTieBreak = 0.01 // This share of its value counts for a message that loses nothing by waiting.

	stuckSilences = 2 // A call is stuck after this many silence timeouts.

	pullSpreadDivisor  = 2  // PullInterval over this is the spread of first requests and the longest backoff.
	pullBackoffDivisor = 16 // PullInterval over this is the first backoff. Each failure doubles it.
	pullRefreshFactor  = 6  // After this many silent PullIntervals the list is fetched, as a change may be lost.

	gossipBudget    = 0.02 // This share of the total value may be spent on gossip.
	hintCost        = 16   // A hint is charged with this many bytes, including the overhead of sending it.
	maxGossipCredit = 40   // This many bytes may be saved up for gossip.
	hintSize        = 4    // An encoded hint has this many bytes.

	hintWaitUnit  = 20 * Millisecond // This is the unit of the wait in a hint.
	defaultHold   = Second / 2       // A destination at its limit is held for this long if no wait was given.
	maxSpread     = 8 * Second       // The release after a hold is spread over at most this.
	gossipTimeout = 3 * Second       // Gossip counts as lost if none was received for this long.

	wakeTicks = 4 // While calls are in flight, the next round is at most this many ticks away.

	quietPeriod = 600 * Second // A destination without messages for this long is reduced to its list entries.

	never = Time(1 << 60) // This is later than every instant.

	wakeupsPerTick = 100 // About this many sleeping destinations are looked at in a tick.

	housekeepingInterval = 10 * Second // Garbage collections and log lines are at least this far apart.
)

// New returns a Dispatcher, or an error that names a setting out of range. seed is for random numbers.
func New(s Settings, seed uint64) (*Dispatcher, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	d := &Dispatcher{
		settings: s, rng: seed*2862933555777941757 + 3037000493, minTarget: s.Classes[0].Target,
		lossShare:              minLossShare,
		gossipCredit:           maxGossipCredit / 2,
		gossipCreditPerMessage: gossipBudget / max(s.GossipCost*float64(s.Instances), gossipBudget),
		messages:               map[MessageID]*message{}, keys: map[uint64]*keyQueue{},
		destByNumber:  map[int]*destination{},
		unusedEntries: map[int][]unusedEntry{}, unusedOwner: map[EndpointID]int{},
		endpointByID: map[EndpointID]*endpoint{}, endpointByHint: map[uint32]*endpoint{},
		tenantRates: make([]rateMeter, len(s.Tenants)),
	}
	if d.weightFactor = 1; s.Weights == WeightApproximate {
		d.weightFactor = approximateWeightFactor
	}
	for _, t := range s.Tenants {
		d.totalQuota += t.Quota
	}
	for _, c := range s.Classes {
		d.minTarget = max(min(d.minTarget, c.Target), s.Tick)
	}
	d.byVirtualTime = destinationHeap{index: 0, key: func(t *destination) float64 { return t.virtualTime }}
	d.eligible = destinationHeap{index: 1, key: d.byVirtualTime.key}
	d.byVirtualFinish = destinationHeap{index: 2, key: func(t *destination) float64 { return t.virtualFinish }}
	d.sleeping = destinationHeap{index: 3, key: func(t *destination) float64 { return float64(t.wakeAt) }}
	for range max(1, len(s.DestinationKinds)) {
		d.kinds = append(d.kinds, &kindState{safeIdleAge: 2 * s.ConnIdleTimeout, retrySuccess: initialRetrySuccess})
	}
	return d, nil
}

// Step handles the events of one round at now, dispatches once and appends the resulting actions to actions.
func (d *Dispatcher) Step(now Time, events []Event, actions []Action) []Action {
	if d.now, d.actions = now, actions; d.round == 0 {
		d.startMeters()
		d.pullBackoff = d.settings.PullInterval / pullBackoffDivisor
		d.pullAt = now + Time(d.random()*float64(d.settings.PullInterval)/pullSpreadDivisor)
	}
	d.round++
	for i := range events {
		d.handle(&events[i])
	}
	d.deactivate()
	for _, dest := range d.calling {
		d.checkCalls(dest)
	}
	d.wakeUpDue()
	d.dispatch()
	d.pullList()
	d.sendHints()
	d.closeScarceConns()
	d.shed()
	if now-d.housekeepingAt >= housekeepingInterval {
		d.housekeepingAt = now
		d.collectGarbage()
	}
	d.scheduleNextRound()
	return d.actions
}

// pullList subscribes to a list that is not pushed. After a long time without one it fetches the whole list
// in case a change was lost. First requests are spread so that restarts of many do not overload discovery.
// This handles unreachable discovery, broken subscriptions and lost answers. New endpoints may be known
// seconds late.
func (d *Dispatcher) pullList() {
	if !d.settings.PullList || d.settings.PullInterval <= 0 {
		return
	}
	if d.now >= d.pullAt {
		kind := Watch
		if d.subscribed {
			kind = Fetch
		}
		d.actions = append(d.actions, Action{Kind: kind})
		d.pullAt = d.now + d.settings.PullInterval/pullSpreadDivisor // in case no answer comes
	}
	if d.pullAt < d.pullTimerAt || d.pullTimerAt <= d.now {
		d.pullTimerAt = d.pullAt
		d.actions = append(d.actions, Action{Kind: Timer, After: d.pullAt - d.now})
	}
}

// planNextPull schedules the next request: after a failure with jittered backoff, else after a long silence.
func (d *Dispatcher) planNextPull(kind ListKind) {
	switch kind {
	case ListCached:
	case ListFailed:
		d.subscribed = false
		d.pullAt = d.now + Time((0.5+d.random())*float64(d.pullBackoff))
		d.pullBackoff = min(2*d.pullBackoff, d.settings.PullInterval/pullSpreadDivisor)
	default:
		d.subscribed, d.pullBackoff = true, d.settings.PullInterval/pullBackoffDivisor
		d.pullAt = d.now + Time((pullRefreshFactor+d.random())*float64(d.settings.PullInterval))
	}
}

// onArrival accepts a new or restored message and queues it at its destination or behind its key.
func (d *Dispatcher) onArrival(e *Event) {
	if d.messages[e.Message] != nil {
		return
	}
	if e.Class < 0 || e.Class >= len(d.settings.Classes) {
		d.actions = append(d.actions, Action{Kind: Refuse, Message: e.Message})
		return
	}
	class := &d.settings.Classes[e.Class]
	d.arrivalCount++
	m := &message{id: e.Message, class: class, dest: d.destination(e.Dest), deadline: d.now + e.TimeLeft}
	m.arrivalSeq, m.arrivalRound, m.restored = d.arrivalCount, d.round, e.Restored
	m.createdAt = m.deadline - class.Deadline
	if m.attempts = e.Attempt; e.PossiblyExecuted { // an earlier process sent it
		d.markPossiblyExecuted(m, d.now-e.Elapsed, e.Zone)
	}
	m.overQuota = d.countAndCheckQuota(e.Tenant)
	m.lane = 2 * e.Class
	if m.overQuota {
		m.lane++
	}
	d.messages[m.id] = m
	d.openMessages++
	m.dest.openMessages++
	if !e.Restored { // a restored message was counted by the earlier process
		m.dest.demand.add(d.now, 1)
	}
	d.gossipCredit = min(d.gossipCredit+d.gossipCreditPerMessage, maxGossipCredit)
	if d.stopAt > 0 {
		d.finish(m, true, "this dispatcher stops")
		return
	}
	// The final answer leaves before the deadline. One more tick allows for rounding.
	d.actions = append(d.actions, Action{Kind: Timer, After: max(e.TimeLeft-2*d.settings.Tick, 0),
		TimerToken: uint64(m.id) + 1})
	if class.InOrder && e.Key != 0 {
		queue := d.keys[e.Key]
		if queue == nil {
			queue = &keyQueue{key: e.Key, blockedUntil: d.keysBlockedUntil}
			d.keys[e.Key] = queue
		}
		m.key = queue
		if m.possiblyExecuted {
			queue.blockedUntil = d.now + d.settings.SettleTime
		}
		queue.messages = append(queue.messages, m)
		d.advanceKey(queue)
		return
	}
	d.enqueue(m)
}

// markPossiblyExecuted restricts further attempts, as this or an earlier process sent one that may have run.
func (d *Dispatcher) markPossiblyExecuted(m *message, at Time, zone int) {
	m.possiblyExecuted, m.possiblyExecutedAt, m.possiblyExecutedZone = true, at, zone
	expiresIn := at + m.class.DedupWindow - StallMargin - d.settings.Tick - d.now
	d.actions = append(d.actions, Action{Kind: Timer, After: max(expiresIn, 0), TimerToken: uint64(m.id) + 1})
}

// countAndCheckQuota tells whether a tenant exceeds its quota, scaled by the share of traffic that comes
// here.
func (d *Dispatcher) countAndCheckQuota(tenant int) bool {
	d.totalRate.add(d.now, 1)
	if tenant < 0 || tenant >= len(d.tenantRates) || d.totalQuota <= 0 {
		return false
	}
	d.tenantRates[tenant].add(d.now, 1)
	share := max(1/float64(d.settings.Instances), d.totalRate.rate(d.now)/d.totalQuota)
	return d.tenantRates[tenant].rate(d.now) > d.settings.Tenants[tenant].Quota*share*overQuotaMargin
}

// enqueue puts a message into its lane. An empty queue takes the least virtual time of the others.
func (d *Dispatcher) enqueue(m *message) {
	dest := m.dest
	if dest.queuedCount == 0 {
		if dest.virtualTime = d.byVirtualTime.minKeyExcept(dest); math.IsInf(dest.virtualTime, 1) {
			dest.virtualTime = 0
		}
	}
	dest.insert(m)
	if !dest.active {
		dest.active = true
		d.activations++
		dest.activationSeq = d.activations
	}
	d.wakeUp(dest)
	d.expire(m)
}

// expire answers a message that is close to its deadline or can no longer be sent.
func (d *Dispatcher) expire(m *message) {
	if d.now+2*d.settings.Tick >= m.deadline || m.queued && d.unsendable(m) {
		d.finish(m, true, d.endReason(m))
	}
}

// endReason returns the reason for the end of a message for records. It decides nothing.
func (d *Dispatcher) endReason(m *message) string {
	switch {
	case d.now+2*d.settings.Tick >= m.deadline:
		return "its time ends"
	case m.possiblyExecuted && m.class.Effect == AtMostOnce:
		return "it may have run, and its class does not allow a repeat"
	case m.attemptsSent() >= d.settings.MaxAttempts:
		return "all attempts allowed are made"
	case d.now+d.settings.Tick >= m.sendDeadline():
		return "it may have run, and partners forget its key before it could go again"
	}
	return "nothing opens for it before its time ends"
}

// shutdown shortens all deadlines so that each client has its answer before the process ends. The cost is
// refusals of messages that would soon have been delivered. With keep, the next process goes on with the
// messages. Then only calls that may not end in time are not started.
func (d *Dispatcher) shutdown(timeLeft Time, keep bool) {
	if keep {
		d.stopAt = d.now + timeLeft
		return
	}
	for _, id := range slices.Sorted(maps.Keys(d.messages)) {
		if m := d.messages[id]; d.now+timeLeft < m.deadline && !m.ended {
			m.deadline = d.now + timeLeft
			d.actions = append(d.actions, Action{Kind: Timer, After: max(timeLeft-2*d.settings.Tick, 0),
				TimerToken: uint64(id) + 1})
		}
	}
}

// finish gives a final answer: a refusal if that is wanted and a repeat is safe, else a failure.
func (d *Dispatcher) finish(m *message, refuse bool, why string) {
	a := Action{Kind: Fail, Message: m.id, Text: why}
	if refuse && d.safeToRefuse(m) {
		if a.Kind = Refuse; d.settings.RetryAfter && d.stopAt > 0 {
			a.After = d.settings.MaxRetryAfter // the next process is not ready sooner
		} else if d.settings.RetryAfter {
			a.After = min(max(d.availableAt(m)-d.now, 0), d.settings.MaxRetryAfter)
		}
	}
	d.actions = append(d.actions, a)
	d.endMessage(m)
}

// safeToRefuse tells whether the client can safely send the message again.
func (d *Dispatcher) safeToRefuse(m *message) bool {
	possiblyExecuted := m.possiblyExecuted || m.call != nil
	return !possiblyExecuted || m.class.Effect == Idempotent ||
		m.class.Effect == Deduplicated && !m.class.DedupPerZone
}

// dispatch gives free slots to the destinations with the least virtual time. One that cannot send sleeps
// until something changes there or its wake-up time comes.
func (d *Dispatcher) dispatch() {
	for d.busySlots < d.settings.Slots {
		dest := d.nextDestination()
		d.slotShortage = false
		if dest == nil {
			return
		}
		if !d.sendNext(dest) {
			dest.asleep, dest.wakeAt = true, d.nextWakeUp(dest)
			d.reindex(dest)
		}
	}
	d.slotShortage = len(d.eligible.items)+len(d.sleeping.items) > 0
}

// nextWakeUp is when a destination that cannot send is tried again: after its first wait, or in the next tick
// for what else changes with time, such as a ramp. Very many sleeping destinations take turns.
func (d *Dispatcher) nextWakeUp(dest *destination) Time {
	nextLook := d.now + d.settings.Tick*Time(1+len(d.sleeping.items)/wakeupsPerTick)
	at := never // without a ready endpoint only a new list helps
	for _, ep := range dest.endpoints {
		switch {
		case ep.health != Ready:
		case d.now < ep.limiter.waitUntil:
			at = min(at, ep.limiter.waitUntil)
		default:
			at = min(at, nextLook)
		}
	}
	return at
}

// weight is the listed weight. The demand stands in for it if none is listed.
func (d *Dispatcher) weight(dest *destination) float64 {
	if dest.listedWeight > 0 {
		return dest.listedWeight
	}
	return max(dest.demand.rate(d.now), minWeight)
}

// finishTag is the virtual time after the next call. It decides while messages wait for slots. Otherwise a
// destination that becomes active with calls of seconds would take the slots from all others. The cost is
// later turns for a slow destination with little traffic.
func (d *Dispatcher) finishTag(dest *destination) float64 {
	mean, _ := d.latency(dest)
	return dest.virtualTime + mean/float64(Second)/d.weight(dest)
}

// sendNext starts a call with a queued message, or several if the kind allows. It tells whether it could.
func (d *Dispatcher) sendNext(dest *destination) bool {
	d.scanCount++
	ep, trial := d.chooseEndpoint(dest)
	if ep == nil || dest.inFlight >= d.effectiveWindow(dest) {
		return false
	}
	m := d.pickMessage(dest, ep, trial)
	if m == nil {
		return false
	}
	c := &call{ep: ep, sentAt: d.now, trial: trial, connIdle: d.prepareConn(ep)}
	for n := dest.maxBatch; m != nil && n > 0; n-- {
		dest.remove(m)
		m.call = c
		m.attempts++
		c.messages = append(c.messages, m)
		a := Action{Kind: Send, Message: m.id, Endpoint: ep.id,
			SendWithin: m.sendDeadline() - d.settings.Tick - d.now}
		if !d.settings.MayCancel && m.class.Effect != AtMostOnce {
			a.After = stuckSilences * d.silenceTimeout(dest)
		}
		d.actions = append(d.actions, a)
		if trial {
			break
		}
		m = d.pickMessage(dest, ep, false)
	}
	d.acquire(c)
	return true
}

// maySend is the only place that permits an attempt. It contains every rule that restricts attempts.
func (d *Dispatcher) maySend(m *message, ep *endpoint) bool {
	class := m.class
	switch {
	case m.ended || m.call != nil || m.attemptsSent() >= d.settings.MaxAttempts || ep.dest != m.dest:
		return false
	case d.now+d.settings.Tick >= m.sendDeadline() || ep.health != Ready || d.now < ep.limiter.waitUntil:
		return false
	case d.stopAt > 0 && d.now+d.silenceTimeout(ep.dest) > d.stopAt:
		return false
	case d.recordingFails && class.Effect != Idempotent:
		return false
	case m.key != nil && (m.key.messages[0] != m || m.attempts == 0 && d.now < m.key.blockedUntil):
		return false
	case !m.possiblyExecuted || class.Effect == Idempotent:
		return true
	case class.Effect == AtMostOnce:
		return false
	}
	return !class.DedupPerZone || ep.zone == m.possiblyExecutedZone
}

// pickMessage picks the message that would lose the most value while the queue is worked off. With a short
// queue none loses any, and the value itself decides.
func (d *Dispatcher) pickMessage(dest *destination, ep *endpoint, trial bool) *message {
	var best *message
	maxLoss := -1.0
	mean, _ := d.latency(dest)
	deliveredAt := d.now + Time(mean)
	wait := d.queueDelay(dest)
	for i := range dest.lanes {
		if len(dest.lanes[i]) == 0 {
			continue
		}
		// Try the oldest and the oldest within its target: a late one may have no more value to lose.
		lane := dest.lanes[i]
		firstInTime, _ := slices.BinarySearchFunc(lane, deliveredAt, compareTarget)
		for _, m := range [2]*message{lane[0], lane[min(firstInTime, len(lane)-1)]} {
			// AtMostOnce has one try. Trials risk it after proof that calls do not run, or when rare.
			risky := m.class.Effect == AtMostOnce && !ep.unreachable && ep.trialInterval < maxTrialInterval
			if trial && risky || !d.maySend(m, ep) {
				continue
			}
			value := d.valueAt(m, deliveredAt)
			if loss := value - d.valueAt(m, deliveredAt+wait) + value*valueTieBreak; loss > maxLoss {
				best, maxLoss = m, loss
			}
		}
	}
	return best
}

// queueDelay estimates how long it takes to work off the queue.
func (d *Dispatcher) queueDelay(dest *destination) Time {
	wait := float64(dest.queuedCount) / max(dest.limiter.successes.rate(d.now), minThroughput) * float64(Second)
	return min(max(Time(wait), minQueueDelay), maxQueueDelay)
}

// unsendable tells that no attempt can be made any more, so the message is answered wherever it is queued.
func (d *Dispatcher) unsendable(m *message) bool {
	noAttemptLeft := m.attemptsSent() >= d.settings.MaxAttempts ||
		m.possiblyExecuted && m.class.Effect == AtMostOnce
	return noAttemptLeft || max(d.availableAt(m), d.now)+d.settings.Tick >= m.sendDeadline()
}

// maxWindow is the most calls in flight to one destination: below 3/4 of the slots, but at least 1.
func (d *Dispatcher) maxWindow() int { return max(1, (3*d.settings.Slots+3)/4-1) }

// degraded tells that a destination fails or is slow.
func (d *Dispatcher) degraded(dest *destination) bool {
	return dest.latency.mean > slowFactor*dest.baselineLatency ||
		slices.ContainsFunc(dest.endpoints, isSuspected)
}

// effectiveWindow is the window in force. Failing and slow destinations share half of the slots, so that two
// of them cannot take both of two slots.
func (d *Dispatcher) effectiveWindow(dest *destination) int {
	d.initWindow(dest)
	if !d.degraded(dest) {
		return max(1, min(dest.window, d.maxWindow()))
	}
	limit := max(1, d.settings.Slots/2)
	for _, other := range d.calling {
		if other != dest && d.degraded(other) {
			limit -= other.inFlight
		}
	}
	return min(dest.window, limit, d.maxWindow())
}

// adjustWindow reviews the window after a completion. inFlight still includes the call that ended.
func (d *Dispatcher) adjustWindow(dest *destination, result Result) {
	if result == Cancelled || result == NotExecuted || result == NotSent {
		return
	}
	d.initWindow(dest)
	if result != OK {
		dest.windowStarting = false
		dest.failedCompletions++
	}
	dest.completions++
	clean := float64(dest.failedCompletions) <= maxFailedShare*float64(dest.completions)
	switch {
	case dest.windowStarting:
		dest.window = min(dest.window+1, d.maxWindow())
		return
	case dest.completions < windowReviewFactor*dest.window:
		return
	case dest.inFlight >= dest.window && clean:
		dest.window = min(dest.window+1, d.maxWindow())
	case dest.inFlight >= dest.window:
		dest.window = max(dest.window-1, 1)
	}
	dest.completions, dest.failedCompletions = 0, 0
}

// onOutcome handles the end of an attempt. It ends the message or queues it again.
func (d *Dispatcher) onOutcome(e *Event) {
	m := d.messages[e.Message]
	if m == nil || m.call == nil || e.Attempt != CurrentAttempt && e.Attempt != m.attempts-1 {
		return
	}
	c := m.call
	m.call = nil
	if e.Result == NotSent {
		m.attemptsNotSent++
	}
	d.settleMessage(c, e)
	if (e.PossiblyExecuted || !provesNotExecuted(e.Result)) && e.Result != OK {
		if !m.possiblyExecuted {
			d.markPossiblyExecuted(m, c.sentAt, c.ep.zone)
		}
		if m.key != nil && e.Result != ErrorResponse {
			m.key.blockedUntil = d.now + d.settings.SettleTime
		}
	}
	switch {
	case e.Closed || m.ended || e.Result == OK:
		d.endMessage(m)
	default:
		d.enqueue(m)
	}
}

// provesNotExecuted tells that a result proves that the attempt was not executed.
func provesNotExecuted(r Result) bool {
	return r == LimitExceeded || r == ConnectFailed || r == NotExecuted || r == NotSent
}

// settleMessage removes a message from its call. The first outcome of a message that was sent is evaluated,
// the last one releases what the call occupies.
func (d *Dispatcher) settleMessage(c *call, e *Event) {
	c.pending--
	d.attemptsInFlight--
	c.sent = c.sent || e.Result != NotSent
	if e.RetryAfter > 0 { // every outcome of a call may ask for a wait
		c.ep.limiter.waitUntil = max(c.ep.limiter.waitUntil, d.now+e.RetryAfter+d.settings.Tick)
		c.ep.dest.eachQueued(d.expire) // the wait outlasts the deadline of some messages
	}
	if !c.learned && c.sent {
		c.learned = true
		d.learnOutcome(c, e)
	}
	if c.pending > 0 {
		return
	}
	dest := c.ep.dest
	dest.virtualTime += (d.now - c.sentAt).seconds() / d.weight(dest)
	d.adjustWindow(dest, e.Result)
	d.release(c)
}

// learnOutcome updates the state of the endpoint and its destination from the result of a call.
func (d *Dispatcher) learnOutcome(c *call, e *Event) {
	ep, dest := c.ep, c.ep.dest
	c.connReset = e.Result == Reset
	if i := d.settings.ReportLimitIndex; i >= 0 && i < len(e.Report) &&
		e.Report[i] > 0 && e.Report[i] <= math.MaxFloat32 {
		ep.limiter.knownRate = float64(e.Report[i])
	}
	switch e.Result {
	case OK:
		d.recordLatency(dest, float64(e.Elapsed))
		d.onSuccess(ep, c)
	case LimitExceeded:
		ep.heardAt = d.now
		left := d.settings.ReportRemainingIndex
		known := ep.limiter.knownRate > 0 && left >= 0 && left < len(e.Report)
		d.onRefusal(ep, c, e.RetryAfter, known && e.Report[left] < limitUsedUpBelow)
	case ConnectFailed:
		// It may be out of connections: idle ones of many dispatchers can fill a table sized for calls.
		if d.settings.Instances > d.settings.Slots {
			dest.kind.scarceUntil = d.now + connScarcityPeriod
		}
		if ep.failureStreak == 0 && len(ep.calls) > 1 && d.now-ep.heardAt < d.silenceTimeout(dest) {
			d.onRefusal(ep, c, 0, false) // other calls are answered, so it is no outage
			return
		}
		d.onFailure(ep, c, true)
	case TimedOut, Reset:
		d.onFailure(ep, c, false)
	case ErrorResponse:
		ep.heardAt = d.now
		ep.errorStreak++
		d.outageChanged(ep)
		if d.errorsMeanOutage(ep) {
			d.onFailure(ep, c, false)
		}
	}
}

// errorsMeanOutage tells that consecutive errors mean an outage: as many as the long-term demand brings
// within MaxOverload. It detects floods of errors of which hundreds of dispatchers see one call each. After
// restarts, what all of them spend on detection must not overload the endpoint. It may suspect wrongly where
// errors are common and calls rare.
func (d *Dispatcher) errorsMeanOutage(ep *endpoint) bool {
	expected := ep.dest.demand.uncorrectedRate(d.now) * d.settings.MaxOverload.seconds()
	return ep.errorStreak >= min(max(int(expected), minConfirmFailures), maxErrorStreak)
}

// latency is the mean and deviation of the latency in microseconds, from own samples or those of the kind.
func (d *Dispatcher) latency(dest *destination) (mean, dev float64) {
	switch {
	case dest.latency.samples > 0:
		return dest.latency.mean, dest.latency.deviation
	case dest.kind.latency.samples > 0:
		return dest.kind.latency.mean, dest.kind.latency.deviation
	}
	return float64(defaultLatency), float64(defaultLatency) / 2
}

// silenceTimeout is how long a call may be without an answer before that is suspicious.
func (d *Dispatcher) silenceTimeout(dest *destination) Time {
	mean, dev := d.latency(dest)
	return max(minSilence, Time(mean+dev*min(silenceDeviations, lossDeviations-math.Log(d.lossShare))*
		(1+1/(1+dest.latency.samples))))
}

// onSuccess raises the allowance after a call that ended with OK and clears failures and refusals.
func (d *Dispatcher) onSuccess(ep *endpoint, c *call) {
	lim := ep.limiter
	lim.successes.add(d.now, 1)
	d.lossShare += lossGain * (minLossShare - d.lossShare)
	if lim.allowance < unlimitedAllowance {
		lim.allowance += allowanceSuccessGain * min(1, (d.now-max(lim.lastOKAt, lim.refusedAt)).seconds())
	}
	if kind := ep.dest.kind; c.connIdle > 0 {
		kind.dropShare -= lossGain * kind.dropShare
		kind.safeIdleAge = min(Time(idleAgeGrowth*float64(kind.safeIdleAge)), d.settings.ConnIdleTimeout*2)
	}
	if lim.refusalStreak > 0 {
		d.rampAfterRefusals(ep, d.now)
		ep.dest.kind.retrySuccess += lossGain * (1 - ep.dest.kind.retrySuccess)
	}
	lim.refusalStreak, lim.refusingSince, lim.lastOKAt = 0, 0, d.now
	if lim.presumedDown {
		lim.presumedDown = false
		d.outageChanged(ep)
	}
	d.clearFailures(ep, c)
	ep.lastOKSentAt = max(ep.lastOKSentAt, c.sentAt)
}

// clearFailures ends a suspicion after an answered call, or if c is nil after a hint.
func (d *Dispatcher) clearFailures(ep *endpoint, c *call) {
	if ep.suspected {
		d.onReturn(ep, c)
		d.outageChanged(ep)
	}
	if ep.errorStreak > 0 {
		d.outageChanged(ep)
	}
	ep.suspected, ep.unreachable, ep.failedConnIdle = false, false, 0
	ep.heardAt, ep.failureStreak, ep.errorStreak, ep.limiter.failureStreak = d.now, 0, 0, 0
}

// rampAfterRefusals starts the ramp of all that share a limit that has refused for longer than MaxOverload,
// as they may have been down. A wait says when they return. The cost is a ramp where a limit was lowered.
func (d *Dispatcher) rampAfterRefusals(ep *endpoint, at Time) {
	for _, other := range ep.dest.endpoints {
		since := ep.limiter.refusingSince
		if other.limiter == ep.limiter && since != 0 && at-since > d.settings.MaxOverload &&
			(other.rampStart == 0 || at > d.now) {
			d.startSlowStart(other, at)
		}
	}
}

// onReturn evaluates the first answer of a suspected endpoint. It returned between the last failure and now.
// The middle is assumed, so that the ramps of many dispatchers add up to its true capacity. A failure that
// the next call does not confirm was a lost answer or a dropped connection.
func (d *Dispatcher) onReturn(ep *endpoint, c *call) {
	downFor := d.now - ep.downSince
	switch {
	case c != nil && !c.trial && downFor <= 2*d.settings.MaxOverload: // it was late, not lost
	case c == nil || (ep.unreachable || d.outageConfirmed(ep) || ep.overtakenCalls() > d.confirmThreshold(ep)) &&
		downFor > d.settings.MaxOverload:
		returnedAt := d.now
		if c != nil {
			returnedAt -= (d.now - ep.failedAt) / 2
			d.addHint(ep, 0)
		}
		d.startSlowStart(ep, returnedAt)
		for _, other := range ep.dest.endpoints { // their outages stay confirmed
			if other.suspected && other.limiter == ep.limiter {
				other.failureStreak = max(other.failureStreak, other.limiter.failureStreak)
			}
		}
	case !ep.unreachable:
		kind := ep.dest.kind
		d.lossShare += float64(ep.failureStreak) * lossGain * (1 - d.lossShare)
		if ep.failedConnIdle > 0 {
			if kind.dropShare += lossGain * (1 - kind.dropShare); kind.dropShare > confirmedDropShare &&
				ep.failedConnIdle > minDropIdleAge {
				kind.safeIdleAge = min(kind.safeIdleAge, ep.failedConnIdle)
			}
		}
	}
}

// overtakenCalls counts the calls in flight that were sent after the last OK and before the last failure.
// Their silence confirms that failure.
func (ep *endpoint) overtakenCalls() (n int) {
	for _, c := range ep.calls {
		if c.sentAt > ep.lastOKSentAt && c.sentAt < ep.failedAt {
			n++
		}
	}
	return n
}

// outageConfirmed tells that consecutive failures mean an outage. Those of all endpoints of a destination
// count, as it mostly fails as a whole.
func (d *Dispatcher) outageConfirmed(ep *endpoint) bool {
	return max(ep.failureStreak, ep.limiter.failureStreak) >= d.confirmThreshold(ep) || d.errorsMeanOutage(ep)
}

// confirmThreshold is how many failures confirm an outage. Where answers get lost, it takes more.
func (d *Dispatcher) confirmThreshold(ep *endpoint) int {
	if ep.unreachable {
		return minConfirmFailures
	}
	return minConfirmFailures + int(lossConfirmFactor*d.lossShare)
}

// startRamp makes the rate to an endpoint follow the demand from now on, with a random first token.
func (d *Dispatcher) startRamp(ep *endpoint) {
	ep.rampTokens = d.random()
	ep.dest.demand.takeSmoothed(d.now, &ep.demandSeen)
	ep.rampUpdatedAt = d.now
}

// startSlowStart starts a ramp as if the endpoint had returned at returnedAt.
func (d *Dispatcher) startSlowStart(ep *endpoint, returnedAt Time) {
	ep.rampStart = returnedAt
	ep.rampEnd = 1 + (maxRampEnd-1)*d.random() // random, so that ramps do not all end together
	d.outageChanged(ep)
	d.startRamp(ep)
	d.logDestination(ep.dest, "is back, cold: its calls rise over the warm-up")
}

// onFailure counts failed connects and missing answers. Only a call sent after the last failure was known is
// new evidence. One failure restricts the endpoint to trials, as a dispatcher with little traffic may see no
// second. This handles crashes, hangs and floods of errors. It may suspect wrongly where answers are rare.
func (d *Dispatcher) onFailure(ep *endpoint, c *call, unreachable bool) {
	d.outageChanged(ep)
	if c.sentAt >= ep.failedAt {
		ep.failureStreak++
		ep.limiter.failureStreak++ // kept when the endpoint leaves the list
		if ep.failedAt, ep.unreachable, ep.failedConnIdle = d.now, unreachable, c.connIdle; !c.connReset &&
			c.connIdle <= minDropIdleAge {
			ep.failedConnIdle = 0
		}
	}
	ep.unreachable = ep.unreachable || unreachable // proof that no answer was lost
	if ep.suspected {
		return
	}
	ep.suspected, ep.downSince = true, d.now
	d.startRamp(ep)
	if ep.trialAt, ep.trialInterval = d.now, d.silenceTimeout(ep.dest); ep.unreachable {
		ep.trialAt += Time(d.random() * float64(ep.trialInterval))
	}
}

// onRefusal keeps the wait of a refusal and lowers the allowed share of the own demand.
func (d *Dispatcher) onRefusal(ep *endpoint, c *call, wait Time, usedUp bool) {
	lim, kind := ep.limiter, ep.dest.kind
	if usedUp && wait <= d.settings.MaxOverload {
		lim.refusingSince = 0
		if lim.presumedDown {
			lim.presumedDown = false
			d.outageChanged(ep)
		}
	} else if lim.refusingSince == 0 {
		lim.refusingSince = d.now
	} else if !lim.presumedDown && d.now-lim.refusingSince > d.settings.MaxOverload {
		lim.presumedDown = true
		d.startRamp(ep)
		d.outageChanged(ep)
	}
	if wait > 0 {
		d.rampAfterRefusals(ep, d.now+wait)
	}
	if c.sentAt < lim.refusedAt {
		return
	}
	lim.refusedAt = d.now
	if lim.refusalStreak++; lim.refusalStreak > 1 {
		kind.retrySuccess -= lossGain * kind.retrySuccess
	}
	demand := ep.dest.demand.rate(d.now)
	span := min(max(wait, defaultHold), maxBackoff)
	limitUsedUp := usedUp || lim.knownRate > 0 && lim.refusalStreak <= minConfirmFailures &&
		!isUnhealthy(ep) // the report may be late
	hinted := limitUsedUp && (d.now < lim.holdUntil || d.addHint(ep, span))
	switch {
	case hinted && d.now-d.gossipHeardAt < gossipTimeout: // all hold, then this one may go again
		d.holdAndSpread(lim, span)
		lim.tokens++
	case wait == 0:
		base := max(minBackoff, Time(min(float64(d.minTarget), float64(Second)/demand)/2))
		pause := min(base<<min(lim.refusalStreak-1, 6), maxBackoff)
		lim.waitUntil = max(lim.waitUntil, d.now+pause/2+Time(d.random()*float64(pause)/2))
		fallthrough
	default:
		lim.tokens = min(lim.tokens, d.random()) // retries stay within the allowed share, too
	}
	if lim.allowance = min(lim.allowance, 1) * allowanceDecrease; lim.knownRate == 0 {
		lim.allowance = max(lim.allowance, minAllowance)
	}
}

// addHint adds a hint if the budget permits: one byte of wait, 0 for a return, and three of the hint ID.
func (d *Dispatcher) addHint(ep *endpoint, wait Time) bool {
	if !d.settings.Gossip || d.gossipCredit < hintCost {
		return false
	}
	d.gossipCredit -= hintCost
	hint := hintID(ep.id)
	d.hints = append(d.hints, byte(min(wait/hintWaitUnit, 255)), byte(hint>>16), byte(hint>>8), byte(hint))
	return true
}

// receiveHints applies hints about limits and returns of partners that one dispatcher rarely calls. A hint is
// never proof and may be lost. A wrong one costs a hold or a call.
func (d *Dispatcher) receiveHints(hints string) {
	d.gossipHeardAt = d.now
	for ; len(hints) >= hintSize; hints = hints[hintSize:] {
		ep := d.endpointByHint[uint32(hints[1])<<16|uint32(hints[2])<<8|uint32(hints[3])]
		switch wait := Time(hints[0]) * hintWaitUnit; {
		case ep == nil:
		case wait > 0:
			d.holdAndSpread(ep.limiter, wait)
		case ep.unreachable:
			d.clearFailures(ep, nil)
			d.wakeUp(ep.dest)
		}
	}
}

// holdAndSpread holds messages for a used-up limit and spreads their release, longer if refusals follow soon.
// This handles limits that refused calls keep used up. The cost is a hold if only one dispatcher was refused.
func (d *Dispatcher) holdAndSpread(lim *limiter, span Time) {
	switch {
	case d.now < lim.holdUntil:
	case d.now-lim.holdUntil < lim.spread/2:
		lim.spread = min(max(lim.spread*3/2, span), maxSpread)
	default:
		lim.spread = max(lim.spread*2/3, span)
	}
	if to := d.now + span; to > lim.holdUntil {
		lim.holdUntil = to
		lim.waitUntil = max(lim.waitUntil, to+Time(d.random()*float64(lim.spread)))
	}
}

// maxIdleAge is the age up to which an idle connection is used.
func (d *Dispatcher) maxIdleAge(dest *destination) Time {
	return min(d.settings.ConnIdleTimeout, Time(idleAgeMargin*float64(dest.kind.safeIdleAge)))
}

// closeScarceConns closes connections that became idle in this round where they are scarce, as those of many
// dispatchers fill connection tables. The cost is handshakes where the failed connect was an outage.
func (d *Dispatcher) closeScarceConns() {
	for _, ep := range d.freedEndpoints {
		if len(ep.calls) == 0 && ep.connOpen && d.now < ep.dest.kind.scarceUntil {
			d.actions = append(d.actions, Action{Kind: CloseIdle, Endpoint: ep.id})
			ep.connOpen = false
		}
	}
	d.freedEndpoints = d.freedEndpoints[:0]
}

// prepareConn closes a connection that was idle for too long before a call, as it may have been dropped
// unnoticed. It returns how long the connection of the call was idle.
func (d *Dispatcher) prepareConn(ep *endpoint) Time {
	idle := d.now - ep.usedAt
	if ep.connOpen && ep.dest.kind.dropShare > atMostOnceDropShare && ep.dest.hasQueuedEffect(AtMostOnce) {
		d.actions = append(d.actions, Action{Kind: CloseIdle, Endpoint: ep.id})
		return 0
	} else if len(ep.calls) > 0 || !ep.connOpen {
		return 0
	} else if idle <= d.maxIdleAge(ep.dest) && ep.failedConnIdle == 0 {
		return idle
	} else if idle < d.settings.ConnIdleTimeout {
		d.actions = append(d.actions, Action{Kind: CloseIdle, Endpoint: ep.id})
	}
	ep.connOpen = false
	return 0
}

// checkCalls cancels late calls that later ones have overtaken and late calls to suspected endpoints. Without
// a shortage of slots these are only repeatable ones. This handles hangs, lost answers and dead connections.
// The cost is double work at slow destinations. Trials may take longer.
func (d *Dispatcher) checkCalls(dest *destination) {
	d.scanCount++
	limit := d.silenceTimeout(dest)
	for _, ep := range dest.endpoints {
		if len(ep.calls) == 0 {
			continue
		}
		if old := ep.calls[0]; d.now-old.sentAt > limit && d.now-ep.heardAt > limit {
			d.onFailure(ep, old, false)
			ep.downSince = min(ep.downSince, max(old.sentAt, ep.heardAt))
		}
		for _, c := range ep.calls {
			// One silence timeout is enough where answers get lost or messages wait for slots.
			age, lossDiscount := float64(d.now-c.sentAt)/float64(limit), min(1, lossConfirmFactor*d.lossShare)
			patience := stuckSilences - lossDiscount
			switch {
			case c.trial:
				patience = float64(1 + min(ep.failureStreak, maxErrorStreak))
			case d.slotShortage: // each of few slots is worth more
				patience = max(1, patience-2/float64(d.settings.Slots))
			}
			if age > patience && (ep.lastOKSentAt > c.sentAt || ep.suspected) {
				d.cancelCall(c, d.slotShortage && age > patience*(stuckSilences-lossDiscount))
			}
		}
	}
}

// cancelCall stops waiting for a call whose messages can be repeated, or with force for any call.
func (d *Dispatcher) cancelCall(c *call, force bool) {
	if c.cancelled || !d.settings.MayCancel {
		return
	}
	for _, m := range c.messages {
		if m.call == c && !force && (m.class.Effect == AtMostOnce || m.attemptsSent() >= d.settings.MaxAttempts) {
			return
		}
	}
	c.cancelled = true
	if c.ep.lastOKSentAt > c.sentAt {
		d.lossShare += lossGain * (1 - d.lossShare)
	}
	for _, m := range c.messages {
		if m.call == c {
			d.actions = append(d.actions, Action{Kind: Cancel, Message: m.id, Attempt: m.attempts - 1})
		}
	}
}

// chooseEndpoint picks an endpoint whose trial is due, else the one with the least load.
func (d *Dispatcher) chooseEndpoint(dest *destination) (best *endpoint, trial bool) {
	for _, ep := range dest.endpoints {
		if ep.health != Ready || d.now < ep.limiter.waitUntil || !d.hasTokens(ep) {
			continue
		}
		if ep.suspected {
			if d.now >= ep.trialAt && !ep.hasTrial() {
				return ep, true
			}
			continue
		}
		if best == nil || d.endpointLoad(ep) < d.endpointLoad(best) {
			best = ep
		}
	}
	return best, false
}

// endpointLoad is the load in calls. A handshake and another zone each count as one, a zone cost as some.
func (d *Dispatcher) endpointLoad(ep *endpoint) float64 {
	load := float64(len(ep.calls))
	if ep.zone != d.settings.Zone {
		load++
	}
	if zone := ep.zone; ep.limiter != ep.dest.limiter && zone >= 0 && zone < len(d.settings.ZoneCosts) {
		load += zoneCostCalls * d.settings.ZoneCosts[zone]
	}
	if len(ep.calls) == 0 && (!ep.connOpen || d.now-ep.usedAt > d.maxIdleAge(ep.dest)) {
		load++
	}
	return load
}

// hasTokens refills the token bucket and tells whether it and the ramp permit one more call.
func (d *Dispatcher) hasTokens(ep *endpoint) bool {
	lim, dest := ep.limiter, ep.dest
	credit, elapsed := 1.0, (d.now - lim.refilledAt).seconds()
	demand := dest.demand.takeSmoothed(d.now, &lim.demandSeen)
	demand += dest.kind.retrySuccess * dest.kind.retrySuccess * float64(dest.queuedCount) * elapsed /
		(heldRetryTargets * d.minTarget.seconds())
	if lim.knownRate > 0 {
		credit = lim.knownRate * elapsed
	}
	if fair := fairShare * credit / float64(d.settings.Instances); lim.allowance < unlimitedAllowance {
		if lim.knownRate == 0 {
			fair = 0
			lim.allowance += allowanceDemandGain * min(demand, 2*elapsed)
		}
		credit = min(credit, max(lim.allowance*demand, fair))
	}
	lim.refilledAt = d.now
	lim.tokens = min(lim.tokens+credit,
		max(1, burstSeconds*lim.allowance*dest.demand.rate(d.now), burstSeconds*lim.knownRate))
	return lim.tokens >= 1 && d.rampPermits(ep)
}

// rampPermits limits calls to a suspected or returned endpoint to the own demand times its capacity, with a
// random first token. All dispatchers together then stay within what it can do, however many they are. This
// prevents overload. The cost is that a wrongly suspected endpoint is used less during the warm-up.
func (d *Dispatcher) rampPermits(ep *endpoint) bool {
	capacity := d.warmCapacity(d.now-ep.rampStart) *
		min(maxRampMargin, collapseMarginShare*max(d.settings.CollapseMultiple, 1))
	switch {
	case ep.suspected && !d.outageConfirmed(ep):
		return true // the trial that decides on an outage
	case ep.suspected:
		capacity = trialShare * d.warmCapacity((d.now-ep.failedAt)/unseenWarmUps)
	case ep.limiter.presumedDown: // it may return at any moment
		capacity = d.warmCapacity((d.now - ep.limiter.refusedAt) / unseenWarmUps)
	case ep.rampStart == 0:
		return true
	}
	if capacity >= maxRampEnd || capacity >= max(ep.rampEnd, 1) && ep.dest.queuedCount <= 1 {
		ep.rampStart = 0
		d.outageChanged(ep)
		return true
	}
	demand := d.rampDemand(ep) / float64(max(ep.dest.readyCount(), 1))
	if b := ep.limiter.knownRate; b > 0 { // demand above a known limit does not increase the capacity
		demand *= min(1, b/(float64(d.settings.Instances)*max(ep.dest.demand.rate(d.now), b/math.MaxInt32)))
	}
	ep.rampTokens = min(ep.rampTokens+capacity*demand, 1)
	return ep.rampTokens >= 1
}

// rampDemand is the demand since the last update. Demand before the return does not count: dispatchers that
// wait for the same moment would all have saved up a call and would make it at once.
func (d *Dispatcher) rampDemand(ep *endpoint) float64 {
	demand := ep.dest.demand.takeSmoothed(d.now, &ep.demandSeen)
	if span := d.now - ep.rampUpdatedAt; ep.rampStart > ep.rampUpdatedAt && span > 0 {
		demand *= float64(max(0, d.now-ep.rampStart)) / float64(span)
	}
	ep.rampUpdatedAt = d.now
	return demand
}

// warmCapacity is the share of its capacity that a destination has so long after its return.
func (d *Dispatcher) warmCapacity(since Time) float64 {
	return d.settings.ColdCapacity +
		(1-d.settings.ColdCapacity)*float64(since)/float64(max(d.settings.WarmUp, 1))
}

// initWindow sets the first window to an equal share of the slots, by the last list.
func (d *Dispatcher) initWindow(dest *destination) {
	if dest.windowStarting && dest.completions == 0 && dest.windowList != d.listCount {
		dest.window, dest.windowList = d.initialWindow, d.listCount
	}
}

// onJoin makes a new endpoint start cold if all others of its destination are down or cold, because the
// queued messages must not all be sent to it.
func (d *Dispatcher) onJoin(dest *destination, ep *endpoint) {
	if (dest.limiter.failureStreak > 0 || slices.ContainsFunc(dest.endpoints, isUnhealthy)) &&
		!slices.ContainsFunc(dest.endpoints, isHealthy) {
		d.startSlowStart(ep, d.now)
	}
}

// isQuiet tells that a destination was unused for long and that nothing learned there restricts calls. Then
// its state is not kept in memory. The cost is first calls judged by the latency of the kind.
func (d *Dispatcher) isQuiet(dest *destination) bool {
	if d.now-dest.demand.updatedAt < quietPeriod || dest.queuedCount > 0 {
		return false
	}
	return !slices.ContainsFunc(dest.endpoints, func(ep *endpoint) bool {
		lim := ep.limiter
		bound := lim.waitUntil > d.now || lim.holdUntil > d.now || lim.allowance < unlimitedAllowance ||
			lim.refusalStreak > 0 || lim.failureStreak > 0
		return bound || isUnhealthy(ep) || ep.failureStreak > 0 || ep.errorStreak > 0 ||
			len(ep.calls) > 0 || d.now-ep.usedAt < quietPeriod
	})
}

func isSuspected(ep *endpoint) bool { return ep.suspected }

func isUnhealthy(ep *endpoint) bool { return ep.suspected || ep.rampStart != 0 }

func isHealthy(ep *endpoint) bool { return ep.health == Ready && !isUnhealthy(ep) }
