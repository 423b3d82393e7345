package control

// The interface - settings, events, actions - is in api.go. This file holds
// every decision. A message's path: arrive -> hold (lanes of its destination)
// -> dispatch -> gate -> launch -> outcome -> back to its hold, or finish.

import (
	"maps"
	"math"
	"slices"
)

// Tuned values. None is a figure of one deployment; each says what it trades.
const (
	windowReviewFactor      = 4                 // F: completions of a whole window between two revisions
	maxFailedShare          = 0.1               // an interval with more than this share of bad ends is not clean
	latencyGain             = 1.0 / 8           // weight of a new latency sample
	baselineGain            = 1.0 / 64          // the same for the long view, against which slow is told
	latencyPriorSamples     = 2                 // samples that the latency of the kind counts for
	silenceDeviations       = 6                 // deviations past the mean before silence is suspicious, more at first
	defaultLatency          = 400 * Millisecond // latency believed before the first answer
	minSilence              = 300 * Millisecond // silence shorter than this is never suspicious: short pauses are common
	maxErrorStreak          = 5                 // errors in a row that make an endpoint suspect, at most
	minConfirmFailures      = 2                 // calls in a row that met nobody or silence before an outage is sure
	lossConfirmFactor       = 6                 // so many more for the share of answers that get lost, times this
	lossGain                = 1.0 / 8           // weight of a new call in the share of answers that get lost over a kind
	minLossShare            = 0.01              // share of them reckoned with at least
	lossDeviations          = 1                 // silence: so many deviations and one more for each factor e in that share
	slowFactor              = 3.0               // latency over its long view by this much: a slow destination
	trialBackoffFactor      = 1.5               // each failed trial spaces the next one so much wider ...
	maxTrialInterval        = 2 * Second        // ... up to this; longer would waste what a returned endpoint can do
	unseenWarmUps           = 4                 // warm-ups after which one unseen since its failure is tried like any other
	trialShare              = 0.5               // part of that which trials of a suspect take, as new senders try it, too
	minBackoff              = 100 * Millisecond // least first pause after a refusal that told no wait; doubles ...
	maxBackoff              = 4 * Second        // ... up to this
	allowanceDecrease       = 0.7               // share of the own demand allowed after a refusal, of the share before
	allowanceSuccessGain    = 0.1               // its growth by an ok, but no faster than this in a second ...
	allowanceDemandGain     = 0.05              // and by a message of the demand, two a second at most
	minAllowance            = 0.05              // its floor
	heldRetryTargets        = 2                 // aims after which a held message is demand again, times the square of ...
	initialRetrySuccess     = 0.3               // ... how often over a kind the call after a refusal goes well, at first
	unlimitedAllowance      = 2.0               // past so many times the demand a limit is not felt any more
	rateTimeConstant        = 2 * Second        // memory of the measured rates
	meterInitialHistory     = Second / 2        // history reckoned for a rate that has just begun to be measured
	minWeight               = 0.1               // a second, the least demand that stands in for a weight
	demandTimeConstant      = 10 * Second       // memory of the demand that ramps and shares are sized by
	burstSeconds            = 0.5               // seconds of the release rate that may go at once
	approximateWeightFactor = 1.5               // a rough listed rate may be this much too low
	maxRampMargin           = 1.2               // a ramp's rate over own demand x warmth, and at most this part ...
	collapseMarginShare     = 0.6               // ... of tip-multiple, lest chance alone reaches it
	maxRampEnd              = 1.5               // multiple of the own demand at which a ramp ends while messages are held
	fairShare               = 0.8               // part of an even share of a known limit that a sender may always use
	limitUsedUpBelow        = 0.1               // refused with more than this share of the limit left: not for the limit
	batchRampCost           = 0.25              // push of each further message of a call on a cold endpoint
	connScarcityPeriod      = 30 * Second       // connections count as scarce so long after the last sign of it
	zoneCostCalls           = 40                // calls that a fee of the whole result counts for in the choice of a route
	minDropIdleAge          = Second / 2        // idle age up to which silence does not tell of a dropped connection
	atMostOnceDropShare     = 0.02              // share of drops from which on single-shot messages get new connections
	confirmedDropShare      = 0.2               // share of calls on idle connections that fail before they count as dropped
	idleAgeMargin           = 0.8               // idle connections are used up to this part of the age at which one failed
	idleAgeGrowth           = 1.02              // growth of that age by an ok
	overQuotaMargin         = 1.1               // a tenant is over its share when past it by this factor
	minQueueDelay           = 500 * Millisecond // bounds on how far ahead the wait for a turn is reckoned; the upper one
	maxQueueDelay           = 8 * Second        // keeps a stalled hold comparable with a busy one
	minThroughput           = 0.2               // calls a second reckoned for a destination that answers nothing
	valueTieBreak           = 0.01              // of its worth counts for a message that loses nothing by waiting
	stuckSilences           = 2                 // silences after which a call is given up
	pullSpreadDivisor       = 2                 // the first asking for the list is spread over ask-every by this, and ...
	pullBackoffDivisor      = 16                // ... pauses after a failed one double from this part of it to the former
	pullRefreshFactor       = 6                 // a list silent for so many times ask-every is fetched whole, to be sure
	gossipBudget            = 0.02              // of the result may be spent on notes to peers
	hintCost                = 16                // bytes reckoned for a note with a hint
	maxGossipCredit         = 40                // bytes that may be saved up
	hintSize                = 4                 // bytes of one hint
	hintWaitUnit            = 20 * Millisecond  // unit of the wait in it
	defaultHold             = Second / 2        // hold of a destination at its limit where no wait was told
	maxSpread               = 8 * Second        // a release is spread over this at most
	gossipTimeout           = 3 * Second        // notes count as lost when none was heard for so long
	wakeTicks               = 4                 // ticks between looks at the clock while anything is held or out
	quietPeriod             = 600 * Second      // a destination silent for so long is kept as a line of the list alone
	never                   = Time(1 << 60)     // past all times
	wakeupsPerTick          = 100               // sleeping destinations looked at in a tick, about
	housekeepingInterval    = 10 * Second       // how often state without use is looked for and operators are told something
)

// New returns a Dispatcher, or an error that names the setting at fault.
func New(s Settings, seed uint64) (*Dispatcher, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	d := &Dispatcher{
		settings: s, rng: seed*2862933555777941757 + 3037000493, minTarget: s.Classes[0].Target, lossShare: minLossShare,
		gossipCredit:           maxGossipCredit / 2,
		gossipCreditPerMessage: gossipBudget / max(s.GossipCost*float64(s.Instances), gossipBudget),
		messages:               map[MessageID]*message{}, keys: map[uint64]*keyQueue{}, destByNumber: map[int]*destination{},
		unusedEntries: map[int][]unusedEntry{}, unusedOwner: map[EndpointID]int{},
		endpointByID: map[EndpointID]*endpoint{}, endpointByHint: map[uint32]*endpoint{}, tenantRates: make([]rateMeter, len(s.Tenants)),
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

// Step handles the events of one round, dispatches once and returns actions with its own appended.
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

// pullList subscribes to the list where it is not pushed; one silent for long is fetched whole, lest a change was
// lost. First askings are spread: restarts in numbers must not stampede the list. Guards against lists out of
// reach, broken subscriptions and lost answers. It could hurt by learning of new endpoints some seconds late.
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
		d.pullAt = d.now + d.settings.PullInterval/pullSpreadDivisor // should no answer come
	}
	if d.pullAt < d.pullTimerAt || d.pullTimerAt <= d.now {
		d.pullTimerAt = d.pullAt
		d.actions = append(d.actions, Action{Kind: Timer, After: d.pullAt - d.now})
	}
}

// planNextPull plans the next asking: after a failure with jittered backoff, else after a long silence.
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
	if m.attempts = e.Attempt; e.PossiblyExecuted { // a process that ended had it
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
	if !e.Restored { // else it was counted before
		m.dest.demand.add(d.now, 1)
	}
	d.gossipCredit = min(d.gossipCredit+d.gossipCreditPerMessage, maxGossipCredit)
	if d.stopAt > 0 {
		d.finish(m, true, "this dispatcher stops")
		return
	}
	// The answer leaves before the time is up, one round early for rounding.
	d.actions = append(d.actions, Action{Kind: Timer, After: max(e.TimeLeft-2*d.settings.Tick, 0), TimerToken: uint64(m.id) + 1})
	if class.InOrder && e.Key != 0 {
		queue := d.keys[e.Key]
		if queue == nil {
			queue = &keyQueue{key: e.Key, restUntil: d.keysRestUntil}
			d.keys[e.Key] = queue
		}
		m.key = queue
		if m.possiblyExecuted {
			queue.restUntil = d.now + d.settings.SettleTime
		}
		queue.messages = append(queue.messages, m)
		d.advanceKey(queue)
		return
	}
	d.enqueue(m)
}

// markPossiblyExecuted binds a message to what its class allows: an attempt may have run, here or in a process before.
func (d *Dispatcher) markPossiblyExecuted(m *message, at Time, zone int) {
	m.possiblyExecuted, m.possiblyExecutedAt, m.possiblyExecutedZone = true, at, zone
	expiresIn := at + m.class.DedupWindow - StallMargin - d.settings.Tick - d.now
	d.actions = append(d.actions, Action{Kind: Timer, After: max(expiresIn, 0), TimerToken: uint64(m.id) + 1})
}

// countAndCheckQuota tells whether a tenant now sends more than its share, measured against what comes here.
func (d *Dispatcher) countAndCheckQuota(tenant int) bool {
	d.totalRate.add(d.now, 1)
	if tenant < 0 || tenant >= len(d.tenantRates) || d.totalQuota <= 0 {
		return false
	}
	d.tenantRates[tenant].add(d.now, 1)
	share := max(1/float64(d.settings.Instances), d.totalRate.rate(d.now)/d.totalQuota)
	return d.tenantRates[tenant].rate(d.now) > d.settings.Tenants[tenant].Quota*share*overQuotaMargin
}

// enqueue puts a message into its lane, by age. A hold turning non-empty takes the least other counter.
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

// expire answers a message whose time is nearly up, or that can't be sent any more.
func (d *Dispatcher) expire(m *message) {
	if d.now+2*d.settings.Tick >= m.deadline || m.queued && d.unsendable(m) {
		d.finish(m, true, d.endReason(m))
	}
}

// endReason tells what ends a message, for records: it decides nothing.
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

// shutdown cuts the time of all that is held, for a dispatcher that stops: each has its answer before that.
// Guards against leaving clients without one. It could hurt by refusing what would soon have been served.
// Where the next process goes on with what is held, only calls that may not end in time are not begun.
func (d *Dispatcher) shutdown(timeLeft Time, keep bool) {
	if keep {
		d.stopAt = d.now + timeLeft
		return
	}
	for _, id := range slices.Sorted(maps.Keys(d.messages)) {
		if m := d.messages[id]; d.now+timeLeft < m.deadline && !m.ended {
			m.deadline = d.now + timeLeft
			d.actions = append(d.actions, Action{Kind: Timer, After: max(timeLeft-2*d.settings.Tick, 0), TimerToken: uint64(id) + 1})
		}
	}
}

// finish gives a final answer: handed back, if that is wanted and provably harmless, else failed.
func (d *Dispatcher) finish(m *message, refuse bool, why string) {
	a := Action{Kind: Fail, Message: m.id, Text: why}
	if refuse && d.safeToRefuse(m) {
		if a.Kind = Refuse; d.settings.RetryAfter && d.stopAt > 0 {
			a.After = d.settings.MaxRetryAfter // its successor is not there sooner
		} else if d.settings.RetryAfter {
			a.After = min(max(d.availableAt(m)-d.now, 0), d.settings.MaxRetryAfter)
		}
	}
	d.actions = append(d.actions, a)
	d.endMessage(m)
}

// safeToRefuse tells whether handing the message in again can do no harm.
func (d *Dispatcher) safeToRefuse(m *message) bool {
	possiblyExecuted := m.possiblyExecuted || m.call != nil
	return !possiblyExecuted || m.class.Effect == Idempotent || m.class.Effect == Deduplicated && !m.class.DedupPerZone
}

// dispatch hands free slots to the destinations with the smallest counters. Who can release nothing sleeps
// until something happens there, or its time comes.
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

// nextWakeUp tells when a destination that can release nothing is looked at again: after the first wait; for what
// else changes with time, such as a ramp or a trial, in the next tick. Where very many sleep they take turns.
func (d *Dispatcher) nextWakeUp(dest *destination) Time {
	nextLook := d.now + d.settings.Tick*Time(1+len(d.sleeping.items)/wakeupsPerTick)
	at := never // only the list can change it
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

// weight is the listed one; where none is listed what is asked of the destination stands in.
func (d *Dispatcher) weight(dest *destination) float64 {
	if dest.listedWeight > 0 {
		return dest.listedWeight
	}
	return max(dest.demand.rate(d.now), minWeight)
}

// finishTag orders the turns: by the counter, and while messages wait for slots by what it will be after the call:
// who revives at the least counter for calls of seconds would take the slots from all that is held. It acts
// in any shortage of slots, and could hurt by later turns for a slow destination with little traffic.
func (d *Dispatcher) finishTag(dest *destination) float64 {
	mean, _ := d.latency(dest)
	return dest.virtualTime + mean/float64(Second)/d.weight(dest)
}

// sendNext sends the head of a destination's hold, with others in the same call where its kind allows.
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
		a := Action{Kind: Send, Message: m.id, Endpoint: ep.id, SendWithin: m.sendDeadline() - d.settings.Tick - d.now}
		if !d.settings.MayCancel && m.class.Effect != AtMostOnce {
			a.After = stuckSilences * d.silenceTimeout(dest)
		}
		d.actions = append(d.actions, a)
		if trial {
			break
		}
		m = d.pickMessage(dest, ep, false)
	}
	d.acquireSlot(c)
	ep.limiter.tokens--
	if !trial || d.outageConfirmed(ep) { // the trial that makes sure is not of the ramp
		ep.rampTokens -= 1 + batchRampCost*float64(len(c.messages)-1)
	}
	if c.trial {
		ep.trialAt = d.now + ep.trialInterval + Time(d.random()*float64(ep.trialInterval)/4)
		ep.trialInterval = min(Time(float64(ep.trialInterval)*trialBackoffFactor), maxTrialInterval)
	}
	return true
}

// maySend is the one place that permits a send; every rule that binds sends is here.
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
	case m.key != nil && (m.key.messages[0] != m || m.attempts == 0 && d.now < m.key.restUntil):
		return false
	case !m.possiblyExecuted || class.Effect == Idempotent:
		return true
	case class.Effect == AtMostOnce:
		return false
	}
	return !class.DedupPerZone || ep.zone == m.possiblyExecutedZone
}

// pickMessage picks the message to send: of the oldest of each lane, the one that would lose most worth by
// waiting until the hold is worked off. With a short hold none loses any and worth decides.
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
		// The oldest, and the oldest still in time: late worth may have nothing more to lose.
		lane := dest.lanes[i]
		firstInTime, _ := slices.BinarySearchFunc(lane, deliveredAt, compareTarget)
		for _, m := range [2]*message{lane[0], lane[min(firstInTime, len(lane)-1)]} {
			// A doubtful unsafe one could only fail: trials risk it after proof that calls do not run, or when rare.
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

// queueDelay reckons how long the hold takes to be worked off.
func (d *Dispatcher) queueDelay(dest *destination) Time {
	wait := float64(dest.queuedCount) / max(dest.limiter.successes.rate(d.now), minThroughput) * float64(Second)
	return min(max(Time(wait), minQueueDelay), maxQueueDelay)
}

// unsendable tells that no attempt can ever be made again: the message is answered at once, wherever it lies.
func (d *Dispatcher) unsendable(m *message) bool {
	noAttemptLeft := m.attemptsSent() >= d.settings.MaxAttempts || m.possiblyExecuted && m.class.Effect == AtMostOnce
	return noAttemptLeft || max(d.availableAt(m), d.now)+d.settings.Tick >= m.sendDeadline()
}

// maxWindow is the most calls out to one destination: under three quarters of the slots.
func (d *Dispatcher) maxWindow() int { return max(1, (3*d.settings.Slots+3)/4-1) }

// degraded tells that a destination fails or is slow.
func (d *Dispatcher) degraded(dest *destination) bool {
	return dest.latency.mean > slowFactor*dest.baselineLatency || slices.ContainsFunc(dest.endpoints, isSuspected)
}

// effectiveWindow is the window in force: failing and slow destinations share half of the slots among them all, so
// that two of them cannot hold two slots of two.
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

// adjustWindow is the window's completion test; w still counts the call that ended.
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

// ---- outcomes and what is learned from them ----

func (d *Dispatcher) onOutcome(e *Event) {
	m := d.messages[e.Message]
	if m == nil || m.call == nil || m.attempts-1 != e.Attempt {
		return
	}
	c := m.call
	m.call = nil
	if e.Result == NotSent {
		m.attemptsNotSent++
	}
	d.settleMessage(c, e)
	if !provesNotExecuted(e.Result) && e.Result != OK {
		if !m.possiblyExecuted {
			d.markPossiblyExecuted(m, c.sentAt, c.ep.zone)
		}
		if m.key != nil && e.Result != ErrorResponse {
			m.key.restUntil = d.now + d.settings.SettleTime
		}
	}
	switch {
	case e.Closed || m.ended || e.Result == OK:
		d.endMessage(m)
	default:
		d.enqueue(m)
	}
}

// provesNotExecuted tells that a result proves the attempt never ran.
func provesNotExecuted(r Result) bool {
	return r == LimitExceeded || r == ConnectFailed || r == NotExecuted || r == NotSent
}

// settleMessage takes one message of a call off it; the first outcome is learned from, the last frees the slot.
func (d *Dispatcher) settleMessage(c *call, e *Event) {
	c.pending--
	if e.RetryAfter > 0 { // every outcome's wait binds, also of a call learned from already
		c.ep.limiter.waitUntil = max(c.ep.limiter.waitUntil, d.now+e.RetryAfter+d.settings.Tick)
		c.ep.dest.eachQueued(d.expire) // some have no time left for it
	}
	if c.pending == len(c.messages)-1 {
		d.learnOutcome(c, e)
	}
	if c.pending > 0 {
		return
	}
	dest := c.ep.dest
	dest.virtualTime += (d.now - c.sentAt).seconds() / d.weight(dest)
	d.adjustWindow(dest, e.Result)
	d.releaseSlot(c)
}

func (d *Dispatcher) learnOutcome(c *call, e *Event) {
	ep, dest := c.ep, c.ep.dest
	c.connReset = e.Result == Reset
	if i := d.settings.ReportLimitIndex; i >= 0 && i < len(e.Report) && e.Report[i] > 0 && e.Report[i] <= math.MaxFloat32 {
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
		// An outage, or all its connections are taken. Idle ones of many senders fill a table made for calls.
		if d.settings.Instances > d.settings.Slots {
			dest.kind.scarceUntil = d.now + connScarcityPeriod
		}
		if ep.failureStreak == 0 && len(ep.calls) > 1 && d.now-ep.heardAt < d.silenceTimeout(dest) {
			d.onRefusal(ep, c, 0, false) // others are answered: no outage
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

// errorsMeanOutage tells that errors in a row mean an outage: as many as the own demand brings in the time of an
// overload, by its long view. Guards against floods of errors of which hundreds of senders with little
// traffic see one call each, and against what a restart finds held: what all spend to make sure must not
// push the endpoint over. It could hurt where errors are common and calls rare.
func (d *Dispatcher) errorsMeanOutage(ep *endpoint) bool {
	expected := ep.dest.demand.uncorrectedRate(d.now) * d.settings.MaxOverload.seconds()
	return ep.errorStreak >= min(max(int(expected), minConfirmFailures), maxErrorStreak)
}

// latency is what a destination's calls take and how much that varies: its own samples, or those of its kind.
func (d *Dispatcher) latency(dest *destination) (mean, dev float64) {
	switch {
	case dest.latency.samples > 0:
		return dest.latency.mean, dest.latency.deviation
	case dest.kind.latency.samples > 0:
		return dest.kind.latency.mean, dest.kind.latency.deviation
	}
	return float64(defaultLatency), float64(defaultLatency) / 2
}

// silenceTimeout is how long a destination may say nothing with a call out before that is suspicious.
func (d *Dispatcher) silenceTimeout(dest *destination) Time {
	mean, dev := d.latency(dest)
	return max(minSilence, Time(mean+dev*min(silenceDeviations, lossDeviations-math.Log(d.lossShare))*(1+1/(1+dest.latency.samples))))
}

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

// rampAfterRefusals starts the ramp of all that share a limit which refused for longer than an overload may last: it
// may have been shut, and a told wait tells when it opens. It could hurt by a ramp where a limit was lowered.
func (d *Dispatcher) rampAfterRefusals(ep *endpoint, at Time) {
	for _, other := range ep.dest.endpoints {
		since := ep.limiter.refusingSince
		if other.limiter == ep.limiter && since != 0 && at-since > d.settings.MaxOverload && (other.rampStart == 0 || at > d.now) {
			d.startSlowStart(other, at)
		}
	}
}

// onReturn judges what a suspect's first answer tells. After an outage it came back at some moment since the
// last failure, in the mean half way: what many senders reckon so adds up to its real warmth. A failure that
// the next call does not bear out was a lost answer or a dropped connection.
func (d *Dispatcher) onReturn(ep *endpoint, c *call) {
	downFor := d.now - ep.downSince
	switch {
	case c != nil && !c.trial && downFor <= 2*d.settings.MaxOverload: // late, not lost: it is slow
	case c == nil || (ep.unreachable || d.outageConfirmed(ep) || ep.overtakenCalls() > d.confirmThreshold(ep)) && downFor > d.settings.MaxOverload:
		returnedAt := d.now
		if c != nil {
			returnedAt -= (d.now - ep.failedAt) / 2
			d.addHint(ep, 0)
		}
		d.startSlowStart(ep, returnedAt)
		for _, other := range ep.dest.endpoints { // of the others that failed it stays sure: each has its own return
			if other.suspected && other.limiter == ep.limiter {
				other.failureStreak = max(other.failureStreak, other.limiter.failureStreak)
			}
		}
	case !ep.unreachable:
		kind := ep.dest.kind
		d.lossShare += float64(ep.failureStreak) * lossGain * (1 - d.lossShare)
		if ep.failedConnIdle > 0 {
			if kind.dropShare += lossGain * (1 - kind.dropShare); kind.dropShare > confirmedDropShare && ep.failedConnIdle > minDropIdleAge {
				kind.safeIdleAge = min(kind.safeIdleAge, ep.failedConnIdle)
			}
		}
	}
}

// overtakenCalls counts the calls since the last one answered that began before the last failure and are still
// out: silence that stands beside it.
func (ep *endpoint) overtakenCalls() (n int) {
	for _, c := range ep.calls {
		if c.sentAt > ep.lastOKSentAt && c.sentAt < ep.failedAt {
			n++
		}
	}
	return n
}

// outageConfirmed tells that what failed in a row means an outage. It mostly takes all endpoints of a destination: those
// that fail now bear each other out. Where answers get lost it takes more of them.
func (d *Dispatcher) outageConfirmed(ep *endpoint) bool {
	return max(ep.failureStreak, ep.limiter.failureStreak) >= d.confirmThreshold(ep) || d.errorsMeanOutage(ep)
}

// confirmThreshold is how many failures in a row make sure.
func (d *Dispatcher) confirmThreshold(ep *endpoint) int {
	if ep.unreachable {
		return minConfirmFailures
	}
	return minConfirmFailures + int(lossConfirmFactor*d.lossShare)
}

// startRamp has what an endpoint is sent follow the demand from now on, with a drawn start.
func (d *Dispatcher) startRamp(ep *endpoint) {
	ep.rampTokens = d.random()
	ep.dest.demand.takeSmoothed(d.now, &ep.demandSeen)
	ep.rampUpdatedAt = d.now
}

// startSlowStart starts an endpoint's ramp, as if it had come back at the moment given.
func (d *Dispatcher) startSlowStart(ep *endpoint, returnedAt Time) {
	ep.rampStart = returnedAt
	ep.rampEnd = 1 + (maxRampEnd-1)*d.random() // not all that were told the same moment at once
	d.outageChanged(ep)
	d.startRamp(ep)
	d.logDestination(ep.dest, "is back, cold: its calls rise over the warm-up")
}

// onFailure counts calls that met nobody or silence; only one sent after the last failure was known is new
// evidence. One is enough to hold messages back and send single trials, as a sender with little traffic may
// see no second. Guards against crashes, silence, hangs and floods of errors. It could hurt at rare answers.
func (d *Dispatcher) onFailure(ep *endpoint, c *call, unreachable bool) {
	d.outageChanged(ep)
	if c.sentAt >= ep.failedAt {
		ep.failureStreak++
		ep.limiter.failureStreak++ // kept when an endpoint that failed leaves the list
		if ep.failedAt, ep.unreachable, ep.failedConnIdle = d.now, unreachable, c.connIdle; !c.connReset && c.connIdle <= minDropIdleAge {
			ep.failedConnIdle = 0
		}
	}
	ep.unreachable = ep.unreachable || unreachable // silence at first, then no connection: it was no lost answer
	if ep.suspected {
		return
	}
	ep.suspected, ep.downSince = true, d.now
	d.startRamp(ep)
	if ep.trialAt, ep.trialInterval = d.now, d.silenceTimeout(ep.dest); ep.unreachable {
		ep.trialAt += Time(d.random() * float64(ep.trialInterval))
	}
}

// onRefusal learns from a refusal: waits are kept, a smaller share of the own demand is let go.
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
	limitUsedUp := usedUp || lim.knownRate > 0 && lim.refusalStreak <= minConfirmFailures && !isUnhealthy(ep) // the report may be late
	hinted := limitUsedUp && (d.now < lim.holdUntil || d.addHint(ep, span))
	switch {
	case hinted && d.now-d.gossipHeardAt < gossipTimeout: // all hold together, then this one may go again
		d.holdAndSpread(lim, span)
		lim.tokens++
	case wait == 0:
		base := max(minBackoff, Time(min(float64(d.minTarget), float64(Second)/demand)/2))
		pause := min(base<<min(lim.refusalStreak-1, 6), maxBackoff)
		lim.waitUntil = max(lim.waitUntil, d.now+pause/2+Time(d.random()*float64(pause)/2))
		fallthrough
	default:
		lim.tokens = min(lim.tokens, d.random()) // retries, too, stay within the share
	}
	if lim.allowance = min(lim.allowance, 1) * allowanceDecrease; lim.knownRate == 0 {
		lim.allowance = max(lim.allowance, minAllowance)
	}
}

// addHint adds a hint to the notes of this round, as far as their price allows. A hint is four bytes: a wait, or
// 0 for a return, and the endpoint's short name.
func (d *Dispatcher) addHint(ep *endpoint, wait Time) bool {
	if !d.settings.Gossip || d.gossipCredit < hintCost {
		return false
	}
	d.gossipCredit -= hintCost
	hint := hintID(ep.id)
	d.hints = append(d.hints, byte(min(wait/hintWaitUnit, 255)), byte(hint>>16), byte(hint>>8), byte(hint))
	return true
}

// receiveHints takes a peer's hints. They are never proof, and all works without any. They tell what one sender sees
// too little of: limits and returns of partners that it seldom calls. Wrong ones hurt by a hold or a try.
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

// holdAndSpread holds messages for a used-up limit and spreads their release, longer when the next refusal follows
// soon. Guards against limits that refused calls keep at nothing. It hurts where only one sender was refused.
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

// keep is the age up to which an idle connection is used.
func (d *Dispatcher) maxIdleAge(dest *destination) Time {
	return min(d.settings.ConnIdleTimeout, Time(idleAgeMargin*float64(dest.kind.safeIdleAge)))
}

// closeScarceConns closes what this round left idle where connections are scarce. Guards against tables filled by the
// idle connections of many senders. It could hurt by handshakes, where the failed connect was an outage.
func (d *Dispatcher) closeScarceConns() {
	for _, ep := range d.freedEndpoints {
		if len(ep.calls) == 0 && ep.connOpen && d.now < ep.dest.kind.scarceUntil {
			d.actions = append(d.actions, Action{Kind: Close, Endpoint: ep.id})
			ep.connOpen = false
		}
	}
	d.freedEndpoints = d.freedEndpoints[:0]
}

// prepareConn closes connections idle for longer than is known to be safe before a call goes out on one, and
// tells how long the one that is used was idle. Guards against connections that were dropped unseen.
func (d *Dispatcher) prepareConn(ep *endpoint) Time {
	idle := d.now - ep.usedAt
	if ep.connOpen && ep.dest.kind.dropShare > atMostOnceDropShare && ep.dest.hasQueuedEffect(AtMostOnce) {
		d.actions = append(d.actions, Action{Kind: Close, Endpoint: ep.id})
		return 0
	} else if len(ep.calls) > 0 || !ep.connOpen {
		return 0
	} else if idle <= d.maxIdleAge(ep.dest) && ep.failedConnIdle == 0 {
		return idle
	} else if idle < d.settings.ConnIdleTimeout {
		d.actions = append(d.actions, Action{Kind: Close, Endpoint: ep.id})
	}
	ep.connOpen = false
	return 0
}

// checkCalls judges calls still out by their age and gives up those overtaken by later ones or at a suspect: those
// whose messages can go again, others only where messages wait for slots. Guards against hangs, lost answers
// and dead connections. It could hurt a slow destination, where work is done twice; trials wait longer.
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
			// Where answers get lost or messages wait for slots one silence is enough.
			age, lossDiscount := float64(d.now-c.sentAt)/float64(limit), min(1, lossConfirmFactor*d.lossShare)
			patience := stuckSilences - lossDiscount
			switch {
			case c.trial:
				patience = float64(1 + min(ep.failureStreak, maxErrorStreak))
			case d.slotShortage: // a slot of two is dearer than one of ten
				patience = max(1, patience-2/float64(d.settings.Slots))
			}
			if age > patience && (ep.lastOKSentAt > c.sentAt || ep.suspected) {
				d.cancelCall(c, d.slotShortage && age > patience*(stuckSilences-lossDiscount))
			}
		}
	}
}

// cancelCall stops waiting for a call whose messages can go again; force also gives up the others.
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

// chooseEndpoint picks an endpoint: a trial that is due, else the least loaded, warm and near one.
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

// endpointLoad is the load of an endpoint in calls; a handshake or a crossing counts as one more, a fee as some.
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

// hasTokens tells whether the allowed share of the demand and the ramp leave room for one more call.
func (d *Dispatcher) hasTokens(ep *endpoint) bool {
	lim, dest := ep.limiter, ep.dest
	credit, elapsed := 1.0, (d.now - lim.refilledAt).seconds()
	demand := dest.demand.takeSmoothed(d.now, &lim.demandSeen)
	demand += dest.kind.retrySuccess * dest.kind.retrySuccess * float64(dest.queuedCount) * elapsed / (heldRetryTargets * d.minTarget.seconds())
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
	lim.tokens = min(lim.tokens+credit, max(1, burstSeconds*lim.allowance*dest.demand.rate(d.now), burstSeconds*lim.knownRate))
	return lim.tokens >= 1 && d.rampPermits(ep)
}

// rampPermits holds a suspect, and one back from an outage, to the own demand times its warmth, with a drawn start,
// so that all senders together stay within what a cold destination can do however many they are. Guards
// against pushing it over. It could hurt a wrongly suspected one, which is used less for the warm-up.
func (d *Dispatcher) rampPermits(ep *endpoint) bool {
	capacity := d.warmCapacity(d.now-ep.rampStart) * min(maxRampMargin, collapseMarginShare*max(d.settings.CollapseMultiple, 1))
	switch {
	case ep.suspected && !d.outageConfirmed(ep):
		return true // the trial that makes sure
	case ep.suspected:
		capacity = trialShare * d.warmCapacity((d.now-ep.failedAt)/unseenWarmUps)
	case ep.limiter.presumedDown: // it may open in any moment
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
	if b := ep.limiter.knownRate; b > 0 { // demand over a known limit does not make it stronger
		demand *= min(1, b/(float64(d.settings.Instances)*max(ep.dest.demand.rate(d.now), b/math.MaxInt32)))
	}
	ep.rampTokens = min(ep.rampTokens+capacity*demand, 1)
	return ep.rampTokens >= 1
}

// rampDemand is the demand since the ramp was last reckoned. What came before an endpoint opens counts for
// nothing: all that wait for the same moment would have saved up a call by then, and make it at once.
func (d *Dispatcher) rampDemand(ep *endpoint) float64 {
	demand := ep.dest.demand.takeSmoothed(d.now, &ep.demandSeen)
	if span := d.now - ep.rampUpdatedAt; ep.rampStart > ep.rampUpdatedAt && span > 0 {
		demand *= float64(max(0, d.now-ep.rampStart)) / float64(span)
	}
	ep.rampUpdatedAt = d.now
	return demand
}

// warmCapacity is the part of its capacity that a destination has so long after its return.
func (d *Dispatcher) warmCapacity(since Time) float64 {
	return d.settings.ColdCapacity + (1-d.settings.ColdCapacity)*float64(since)/float64(max(d.settings.WarmUp, 1))
}

// initWindow gives a destination without ends yet its first window: a fair share of the slots, by the last list.
func (d *Dispatcher) initWindow(dest *destination) {
	if dest.windowStarting && dest.completions == 0 && dest.windowList != d.listCount {
		dest.window, dest.windowList = d.initialWindow, d.listCount
	}
}

// onJoin judges an endpoint new to the list: one that joins a destination which is all down or cold shares
// its fate, as the held messages must not be dumped on it.
func (d *Dispatcher) onJoin(dest *destination, ep *endpoint) {
	if (dest.limiter.failureStreak > 0 || slices.ContainsFunc(dest.endpoints, isUnhealthy)) && !slices.ContainsFunc(dest.endpoints, isHealthy) {
		d.startSlowStart(ep, d.now)
	}
}

// isQuiet tells that a destination has said nothing for long and that nothing learned there binds: what is lost
// is its latency, for which that of its kind stands in. Guards against memory for partners that get a message
// a month. It could hurt by a first call or two judged by others' pace.
func (d *Dispatcher) isQuiet(dest *destination) bool {
	if d.now-dest.demand.updatedAt < quietPeriod || dest.queuedCount > 0 {
		return false
	}
	return !slices.ContainsFunc(dest.endpoints, func(ep *endpoint) bool {
		lim := ep.limiter
		bound := lim.waitUntil > d.now || lim.holdUntil > d.now || lim.allowance < unlimitedAllowance || lim.refusalStreak > 0 || lim.failureStreak > 0
		return bound || isUnhealthy(ep) || ep.failureStreak > 0 || ep.errorStreak > 0 || len(ep.calls) > 0 || d.now-ep.usedAt < quietPeriod
	})
}

func isSuspected(ep *endpoint) bool { return ep.suspected }
func isUnhealthy(ep *endpoint) bool { return ep.suspected || ep.rampStart != 0 }
func isHealthy(ep *endpoint) bool   { return ep.health == Ready && !isUnhealthy(ep) }
