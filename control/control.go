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
	fairF       = 4                 // F: completions of a whole window between two revisions
	cleanShare  = 0.1               // an interval with more than this share of bad ends is not clean
	latGain     = 1.0 / 8           // weight of a new latency sample
	baseGain    = 1.0 / 64          // the same for the long view, against which slow is told
	priorCount  = 2                 // samples that the latency of the kind counts for
	devs        = 6                 // deviations past the mean before silence is suspicious, more at first
	firstLat    = 400 * Millisecond // latency believed before the first answer
	leastSilent = 300 * Millisecond // silence shorter than this is never suspicious: short pauses are common
	failStreak  = 5                 // errors in a row that make an endpoint suspect, at most
	sureAfter   = 2                 // calls in a row that met nobody or silence before an outage is sure
	sureLost    = 6                 // so many more for the share of answers that get lost, times this
	lostGain    = 1.0 / 8           // weight of a new call in the share of answers that get lost over a kind
	leastLost   = 0.01              // share of them reckoned with at least
	lostDevs    = 1                 // silence: so many deviations and one more for each factor e in that share
	slowFactor  = 3.0               // latency over its long view by this much: a slow destination
	trialGrow   = 1.5               // each failed trial spaces the next one so much wider ...
	trialMost   = 2 * Second        // ... up to this; longer would waste what a returned endpoint can do
	doubtFade   = 4                 // warm-ups after which one unseen since its failure is tried like any other
	trialPart   = 0.5               // part of that which trials of a suspect take, as new senders try it, too
	backoffBase = 100 * Millisecond // least first pause after a refusal that told no wait; doubles ...
	backoffMost = 4 * Second        // ... up to this
	allowCut    = 0.7               // share of the own demand allowed after a refusal, of the share before
	allowOK     = 0.1               // its growth by an ok, but no faster than this in a second ...
	allowRise   = 0.05              // and by a message of the demand, two a second at most
	leastAllow  = 0.05              // its floor
	heldAims    = 2                 // aims after which a held message is demand again, times the square of ...
	firstAgain  = 0.3               // ... how often over a kind the call after a refusal goes well, at first
	unfelt      = 2.0               // past so many times the demand a limit is not felt any more
	rateTau     = 2 * Second        // memory of the measured rates
	meterStart  = Second / 2        // history reckoned for a rate that has just begun to be measured
	leastShare  = 0.1               // a second, the least demand that stands in for a weight
	demandTau   = 10 * Second       // memory of the demand that ramps and shares are sized by
	rateBurst   = 0.5               // seconds of the release rate that may go at once
	roughSlack  = 1.5               // a rough listed rate may be this much too low
	rampMargin  = 1.2               // a ramp's rate over own demand x warmth, and at most this part ...
	tipPart     = 0.6               // ... of tip-multiple, lest chance alone reaches it
	rampEnd     = 1.5               // multiple of the own demand at which a ramp ends while messages are held
	fairShare   = 0.8               // part of an even share of a known limit that a sender may always use
	limitLeft   = 0.1               // refused with more than this share of the limit left: not for the limit
	batchExtra  = 0.25              // push of each further message of a call on a cold endpoint
	scarceFor   = 30 * Second       // connections count as scarce so long after the last sign of it
	feeCalls    = 40                // calls that a fee of the whole result counts for in the choice of a route
	leastIdle   = Second / 2        // idle age up to which silence does not tell of a dropped connection
	onceDrops   = 0.02              // share of drops from which on single-shot messages get new connections
	dropsSure   = 0.2               // share of calls on idle connections that fail before they count as dropped
	keepShare   = 0.8               // idle connections are used up to this part of the age at which one failed
	keepGrow    = 1.02              // growth of that age by an ok
	overMargin  = 1.1               // a tenant is over its share when past it by this factor
	leastAhead  = 500 * Millisecond // bounds on how far ahead the wait for a turn is reckoned; the upper one
	mostAhead   = 8 * Second        // keeps a stalled hold comparable with a busy one
	leastFlow   = 0.2               // calls a second reckoned for a destination that answers nothing
	worthTie    = 0.01              // of its worth counts for a message that loses nothing by waiting
	stuckAfter  = 2                 // silences after which a call is given up
	askSpread   = 2                 // the first asking for the list is spread over ask-every by this, and ...
	askLeast    = 16                // ... pauses after a failed one double from this part of it to the former
	askCheck    = 6                 // a list silent for so many times ask-every is fetched whole, to be sure
	noteSpend   = 0.02              // of the result may be spent on notes to peers
	noteHead    = 16                // bytes reckoned for a note with a hint
	noteMost    = 40                // bytes that may be saved up
	hintSize    = 4                 // bytes of one hint
	hintUnit    = 20 * Millisecond  // unit of the wait in it
	hintHold    = Second / 2        // hold of a destination at its limit where no wait was told
	spreadMost  = 8 * Second        // a release is spread over this at most
	linkFor     = 3 * Second        // notes count as lost when none was heard for so long
	wakeTicks   = 4                 // ticks between looks at the clock while anything is held or out
	quietFor    = 600 * Second      // a destination silent for so long is kept as a line of the list alone
	never       = Time(1 << 60)     // past all times
	looksTick   = 100               // sleeping destinations looked at in a tick, about
	seldom      = 10 * Second       // how often state without use is looked for and operators are told something
)

// New returns a Dispatcher, or an error that names the setting at fault.
func New(s Settings, seed uint64) (*Dispatcher, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	d := &Dispatcher{
		set: s, rng: seed*2862933555777941757 + 3037000493, aim: s.Classes[0].Target, lost: leastLost,
		noteCredit: noteMost / 2,
		notePart:   noteSpend / max(s.GossipCost*float64(s.Instances), noteSpend),
		msgs:       map[MessageID]*message{}, keys: map[uint64]*keyTurn{}, byNo: map[int]*dest{},
		idle: map[int][]line{}, owner: map[EndpointID]int{},
		byID: map[EndpointID]*endpoint{}, byHint: map[uint32]*endpoint{}, tenants: make([]meter, len(s.Tenants)),
	}
	if d.slack = 1; s.Weights == WeightApproximate {
		d.slack = roughSlack
	}
	for _, t := range s.Tenants {
		d.quota += t.Quota
	}
	for _, c := range s.Classes {
		d.aim = max(min(d.aim, c.Target), s.Tick)
	}
	d.byAcc = order{of: 0, key: func(t *dest) float64 { return t.acc }}
	d.turns = order{of: 1, key: d.byAcc.key}
	d.costs = order{of: 2, key: func(t *dest) float64 { return t.cost }}
	d.naps = order{of: 3, key: func(t *dest) float64 { return float64(t.lookAt) }}
	for range max(1, len(s.DestinationKinds)) {
		d.kinds = append(d.kinds, &kind{keep: 2 * s.ConnIdleTimeout, again: firstAgain})
	}
	return d, nil
}

// Step handles the events of one round, dispatches once and returns actions with its own appended.
func (d *Dispatcher) Step(now Time, events []Event, actions []Action) []Action {
	if d.now, d.out = now, actions; d.round == 0 {
		d.begin()
		d.askGap = d.set.PullInterval / askLeast
		d.askAt = now + Time(d.random()*float64(d.set.PullInterval)/askSpread)
	}
	d.round++
	for i := range events {
		d.handle(&events[i])
	}
	d.rest()
	for _, t := range d.calling {
		d.watch(t)
	}
	d.rouse()
	d.dispatch()
	d.ask()
	d.share()
	d.leave()
	d.shed()
	if now-d.tidied >= seldom {
		d.tidied = now
		d.tidy()
	}
	d.stayAwake()
	return d.out
}

// ask subscribes to the list where it is not pushed; one silent for long is fetched whole, lest a change was
// lost. First askings are spread: restarts in numbers must not stampede the list. Guards against lists out of
// reach, broken subscriptions and lost answers. It could hurt by learning of new endpoints some seconds late.
func (d *Dispatcher) ask() {
	if !d.set.PullList || d.set.PullInterval <= 0 {
		return
	}
	if d.now >= d.askAt {
		kind := Watch
		if d.watching {
			kind = Fetch
		}
		d.out = append(d.out, Action{Kind: kind})
		d.askAt = d.now + d.set.PullInterval/askSpread // should no answer come
	}
	if d.askAt < d.askDue || d.askDue <= d.now {
		d.askDue = d.askAt
		d.out = append(d.out, Action{Kind: Timer, After: d.askAt - d.now})
	}
}

// listed plans the next asking: after a failure with jittered backoff, else after a long silence.
func (d *Dispatcher) listed(k ListKind) {
	switch k {
	case ListCached:
	case ListFailed:
		d.watching = false
		d.askAt = d.now + Time((0.5+d.random())*float64(d.askGap))
		d.askGap = min(2*d.askGap, d.set.PullInterval/askSpread)
	default:
		d.watching, d.askGap = true, d.set.PullInterval/askLeast
		d.askAt = d.now + Time((askCheck+d.random())*float64(d.set.PullInterval))
	}
}

func (d *Dispatcher) arrive(e *Event) {
	if d.msgs[e.Message] != nil {
		return
	}
	if e.Class < 0 || e.Class >= len(d.set.Classes) {
		d.out = append(d.out, Action{Kind: Refuse, Message: e.Message})
		return
	}
	c := &d.set.Classes[e.Class]
	d.count++
	m := &message{id: e.Message, class: c, dest: d.dest(e.Dest), deadline: d.now + e.TimeLeft}
	m.arrived, m.round, m.restored = d.count, d.round, e.Restored
	m.born = m.deadline - c.Deadline
	if m.tries = e.Attempt; e.PossiblyExecuted { // a process that ended had it
		d.mayRun(m, d.now-e.Elapsed, e.Zone)
	}
	m.over = d.overShare(e.Tenant)
	m.lane = 2 * e.Class
	if m.over {
		m.lane++
	}
	d.msgs[m.id] = m
	d.open++
	m.dest.open++
	if !e.Restored { // else it was counted before
		m.dest.demand.add(d.now, 1)
	}
	d.noteCredit = min(d.noteCredit+d.notePart, noteMost)
	if d.stopAt > 0 {
		d.finish(m, true, "this dispatcher stops")
		return
	}
	// The answer leaves before the time is up, one round early for rounding.
	d.out = append(d.out, Action{Kind: Timer, After: max(e.TimeLeft-2*d.set.Tick, 0), TimerToken: uint64(m.id) + 1})
	if c.InOrder && e.Key != 0 {
		k := d.keys[e.Key]
		if k == nil {
			k = &keyTurn{key: e.Key, rest: d.keysRest}
			d.keys[e.Key] = k
		}
		m.key = k
		if m.doubt {
			k.rest = d.now + d.set.SettleTime
		}
		k.queue = append(k.queue, m)
		d.turn(k)
		return
	}
	d.hold(m)
}

// mayRun binds a message to what its class allows: an attempt may have run, here or in a process before.
func (d *Dispatcher) mayRun(m *message, at Time, zone int) {
	m.doubt, m.doubtAt, m.doubtZone = true, at, zone
	over := at + m.class.DedupWindow - StallMargin - d.set.Tick - d.now
	d.out = append(d.out, Action{Kind: Timer, After: max(over, 0), TimerToken: uint64(m.id) + 1})
}

// overShare tells whether a tenant now sends more than its share, measured against what comes here.
func (d *Dispatcher) overShare(t int) bool {
	d.all.add(d.now, 1)
	if t < 0 || t >= len(d.tenants) || d.quota <= 0 {
		return false
	}
	d.tenants[t].add(d.now, 1)
	part := max(1/float64(d.set.Instances), d.all.rate(d.now)/d.quota)
	return d.tenants[t].rate(d.now) > d.set.Tenants[t].Quota*part*overMargin
}

// hold puts a message into its lane, by age. A hold turning non-empty takes the least other counter.
func (d *Dispatcher) hold(m *message) {
	t := m.dest
	if t.held == 0 {
		if t.acc = d.byAcc.least(t); math.IsInf(t.acc, 1) {
			t.acc = 0
		}
	}
	t.put(m)
	if !t.live {
		t.live = true
		d.joins++
		t.seq = d.joins
	}
	d.awaken(t)
	d.due(m)
}

// due answers a message whose time is nearly up, or that can't be sent any more.
func (d *Dispatcher) due(m *message) {
	if d.now+2*d.set.Tick >= m.deadline || m.held && d.spent(m) {
		d.finish(m, true, d.why(m))
	}
}

// why tells what ends a message, for records: it decides nothing.
func (d *Dispatcher) why(m *message) string {
	switch {
	case d.now+2*d.set.Tick >= m.deadline:
		return "its time ends"
	case m.doubt && m.class.Effect == AtMostOnce:
		return "it may have run, and its class does not allow a repeat"
	case m.made() >= d.set.MaxAttempts:
		return "all attempts allowed are made"
	case d.now+d.set.Tick >= m.lasts():
		return "it may have run, and partners forget its key before it could go again"
	}
	return "nothing opens for it before its time ends"
}

// closing cuts the time of all that is held, for a dispatcher that stops: each has its answer before that.
// Guards against leaving clients without one. It could hurt by refusing what would soon have been served.
// Where the next process goes on with what is held, only calls that may not end in time are not begun.
func (d *Dispatcher) closing(in Time, kept bool) {
	if kept {
		d.stopAt = d.now + in
		return
	}
	for _, id := range slices.Sorted(maps.Keys(d.msgs)) {
		if m := d.msgs[id]; d.now+in < m.deadline && !m.ended {
			m.deadline = d.now + in
			d.out = append(d.out, Action{Kind: Timer, After: max(in-2*d.set.Tick, 0), TimerToken: uint64(id) + 1})
		}
	}
}

// finish gives a final answer: handed back, if that is wanted and provably harmless, else failed.
func (d *Dispatcher) finish(m *message, back bool, why string) {
	a := Action{Kind: Fail, Message: m.id, Text: why}
	if back && d.refusable(m) {
		if a.Kind = Refuse; d.set.RetryAfter && d.stopAt > 0 {
			a.After = d.set.MaxRetryAfter // its successor is not there sooner
		} else if d.set.RetryAfter {
			a.After = min(max(d.opens(m)-d.now, 0), d.set.MaxRetryAfter)
		}
	}
	d.out = append(d.out, a)
	d.end(m)
}

// refusable tells whether handing the message in again can do no harm.
func (d *Dispatcher) refusable(m *message) bool {
	maybe := m.doubt || m.out != nil
	return !maybe || m.class.Effect == Idempotent || m.class.Effect == Deduplicated && !m.class.DedupPerZone
}

// dispatch hands free slots to the destinations with the smallest counters. Who can release nothing sleeps
// until something happens there, or its time comes.
func (d *Dispatcher) dispatch() {
	for d.busy < d.set.Slots {
		best := d.first()
		d.short = false
		if best == nil {
			return
		}
		if !d.release(best) {
			best.asleep, best.lookAt = true, d.look(best)
			d.place(best)
		}
	}
	d.short = len(d.turns.items)+len(d.naps.items) > 0
}

// look tells when a destination that can release nothing is looked at again: after the first wait; for what
// else changes with time, such as a ramp or a trial, in the next tick. Where very many sleep they take turns.
func (d *Dispatcher) look(t *dest) Time {
	soon := d.now + d.set.Tick*Time(1+len(d.naps.items)/looksTick)
	at := never // only the list can change it
	for _, ep := range t.eps {
		switch {
		case ep.health != Ready:
		case d.now < ep.pace.wait:
			at = min(at, ep.pace.wait)
		default:
			at = min(at, soon)
		}
	}
	return at
}

// weight is the listed one; where none is listed what is asked of the destination stands in.
func (d *Dispatcher) weight(t *dest) float64 {
	if t.share > 0 {
		return t.share
	}
	return max(t.demand.rate(d.now), leastShare)
}

// tag orders the turns: by the counter, and while messages wait for slots by what it will be after the call:
// who revives at the least counter for calls of seconds would take the slots from all that is held. It acts
// in any shortage of slots, and could hurt by later turns for a slow destination with little traffic.
func (d *Dispatcher) tag(t *dest) float64 {
	mean, _ := d.latency(t)
	return t.acc + mean/float64(Second)/d.weight(t)
}

// release sends the head of a destination's hold, with others in the same call where its kind allows.
func (d *Dispatcher) release(t *dest) bool {
	d.looks++
	ep, trial := d.choose(t)
	if ep == nil || t.w >= d.room(t) {
		return false
	}
	m := d.head(t, ep, trial)
	if m == nil {
		return false
	}
	c := &call{ep: ep, sent: d.now, trial: trial, idle: d.freshen(ep)}
	for n := t.batch; m != nil && n > 0; n-- {
		t.drop(m)
		m.out = c
		m.tries++
		c.msgs = append(c.msgs, m)
		a := Action{Kind: Send, Message: m.id, Endpoint: ep.id, SendWithin: m.lasts() - d.set.Tick - d.now}
		if !d.set.MayCancel && m.class.Effect != AtMostOnce {
			a.After = stuckAfter * d.silence(t)
		}
		d.out = append(d.out, a)
		if trial {
			break
		}
		m = d.head(t, ep, false)
	}
	d.take(c)
	ep.pace.tokens--
	if !trial || d.sure(ep) { // the trial that makes sure is not of the ramp
		ep.push -= 1 + batchExtra*float64(len(c.msgs)-1)
	}
	if c.trial {
		ep.trialAt = d.now + ep.trialGap + Time(d.random()*float64(ep.trialGap)/4)
		ep.trialGap = min(Time(float64(ep.trialGap)*trialGrow), trialMost)
	}
	return true
}

// gate is the one place that permits a send; every rule that binds sends is here.
func (d *Dispatcher) gate(m *message, ep *endpoint) bool {
	c := m.class
	switch {
	case m.ended || m.out != nil || m.made() >= d.set.MaxAttempts || ep.dest != m.dest:
		return false
	case d.now+d.set.Tick >= m.lasts() || ep.health != Ready || d.now < ep.pace.wait:
		return false
	case d.stopAt > 0 && d.now+d.silence(ep.dest) > d.stopAt:
		return false
	case d.unrecorded && c.Effect != Idempotent:
		return false
	case m.key != nil && (m.key.queue[0] != m || m.tries == 0 && d.now < m.key.rest):
		return false
	case !m.doubt || c.Effect == Idempotent:
		return true
	case c.Effect == AtMostOnce:
		return false
	}
	return !c.DedupPerZone || ep.zone == m.doubtZone
}

// head picks the message to send: of the oldest of each lane, the one that would lose most worth by
// waiting until the hold is worked off. With a short hold none loses any and worth decides.
func (d *Dispatcher) head(t *dest, ep *endpoint, trial bool) *message {
	var best *message
	top := -1.0
	mean, _ := d.latency(t)
	soon := d.now + Time(mean)
	wait := d.ahead(t)
	for i := range t.lanes {
		if len(t.lanes[i]) == 0 {
			continue
		}
		// The oldest, and the oldest still in time: late worth may have nothing more to lose.
		l := t.lanes[i]
		fresh, _ := slices.BinarySearchFunc(l, soon, byAim)
		for _, m := range [2]*message{l[0], l[min(fresh, len(l)-1)]} {
			// A doubtful unsafe one could only fail: trials risk it after proof that calls do not run, or when rare.
			risky := m.class.Effect == AtMostOnce && !ep.proven && ep.trialGap < trialMost
			if trial && risky || !d.gate(m, ep) {
				continue
			}
			now := d.worth(m, soon)
			if v := now - d.worth(m, soon+wait) + now*worthTie; v > top {
				best, top = m, v
			}
		}
	}
	return best
}

// ahead reckons how long the hold takes to be worked off.
func (d *Dispatcher) ahead(t *dest) Time {
	wait := float64(t.held) / max(t.pace.ok.rate(d.now), leastFlow) * float64(Second)
	return min(max(Time(wait), leastAhead), mostAhead)
}

// spent tells that no attempt can ever be made again: the message is answered at once, wherever it lies.
func (d *Dispatcher) spent(m *message) bool {
	used := m.made() >= d.set.MaxAttempts || m.doubt && m.class.Effect == AtMostOnce
	return used || max(d.opens(m), d.now)+d.set.Tick >= m.lasts()
}

// ceiling is the most calls out to one destination: under three quarters of the slots.
func (d *Dispatcher) ceiling() int { return max(1, (3*d.set.Slots+3)/4-1) }

// sick tells that a destination fails or is slow.
func (d *Dispatcher) sick(t *dest) bool {
	return t.lat.mean > slowFactor*t.base || slices.ContainsFunc(t.eps, doubted)
}

// room is the window in force: failing and slow destinations share half of the slots among them all, so
// that two of them cannot hold two slots of two.
func (d *Dispatcher) room(t *dest) int {
	d.started(t)
	if !d.sick(t) {
		return max(1, min(t.wmax, d.ceiling()))
	}
	most := max(1, d.set.Slots/2)
	for _, o := range d.calling {
		if o != t && d.sick(o) {
			most -= o.w
		}
	}
	return min(t.wmax, most, d.ceiling())
}

// revise is the window's completion test; w still counts the call that ended.
func (d *Dispatcher) revise(t *dest, r Result) {
	if r == Cancelled || r == NotExecuted || r == NotSent {
		return
	}
	d.started(t)
	if r != OK {
		t.starting = false
		t.badEnds++
	}
	t.ends++
	clean := float64(t.badEnds) <= cleanShare*float64(t.ends)
	switch {
	case t.starting:
		t.wmax = min(t.wmax+1, d.ceiling())
		return
	case t.ends < fairF*t.wmax:
		return
	case t.w >= t.wmax && clean:
		t.wmax = min(t.wmax+1, d.ceiling())
	case t.w >= t.wmax:
		t.wmax = max(t.wmax-1, 1)
	}
	t.ends, t.badEnds = 0, 0
}

// ---- outcomes and what is learned from them ----

func (d *Dispatcher) outcome(e *Event) {
	m := d.msgs[e.Message]
	if m == nil || m.out == nil || m.tries-1 != e.Attempt {
		return
	}
	c := m.out
	m.out = nil
	if e.Result == NotSent {
		m.unsent++
	}
	d.settle(c, e)
	if !ranNot(e.Result) && e.Result != OK {
		if !m.doubt {
			d.mayRun(m, c.sent, c.ep.zone)
		}
		if m.key != nil && e.Result != ErrorResponse {
			m.key.rest = d.now + d.set.SettleTime
		}
	}
	switch {
	case e.Closed || m.ended || e.Result == OK:
		d.end(m)
	default:
		d.hold(m)
	}
}

// ranNot tells that a result proves the attempt never ran.
func ranNot(r Result) bool {
	return r == LimitExceeded || r == ConnectFailed || r == NotExecuted || r == NotSent
}

// settle takes one message of a call off it; the first outcome is learned from, the last frees the slot.
func (d *Dispatcher) settle(c *call, e *Event) {
	c.left--
	if e.RetryAfter > 0 { // every outcome's wait binds, also of a call learned from already
		c.ep.pace.wait = max(c.ep.pace.wait, d.now+e.RetryAfter+d.set.Tick)
		c.ep.dest.each(d.due) // some have no time left for it
	}
	if c.left == len(c.msgs)-1 {
		d.learn(c, e)
	}
	if c.left > 0 {
		return
	}
	t := c.ep.dest
	t.acc += (d.now - c.sent).seconds() / d.weight(t)
	d.revise(t, e.Result)
	d.free(c)
}

func (d *Dispatcher) learn(c *call, e *Event) {
	ep, t := c.ep, c.ep.dest
	c.cut = e.Result == Reset
	if i := d.set.ReportLimitIndex; i >= 0 && i < len(e.Report) && e.Report[i] > 0 && e.Report[i] <= math.MaxFloat32 {
		ep.pace.bound = float64(e.Report[i])
	}
	switch e.Result {
	case OK:
		d.sample(t, float64(e.Elapsed))
		d.succeeded(ep, c)
	case LimitExceeded:
		ep.heard = d.now
		left := d.set.ReportRemainingIndex
		known := ep.pace.bound > 0 && left >= 0 && left < len(e.Report)
		d.refused(ep, c, e.RetryAfter, known && e.Report[left] < limitLeft)
	case ConnectFailed:
		// An outage, or all its connections are taken. Idle ones of many senders fill a table made for calls.
		if d.set.Instances > d.set.Slots {
			t.kind.scarce = d.now + scarceFor
		}
		if ep.bad == 0 && len(ep.calls) > 1 && d.now-ep.heard < d.silence(t) {
			d.refused(ep, c, 0, false) // others are answered: no outage
			return
		}
		d.failed(ep, c, true)
	case TimedOut, Reset:
		d.failed(ep, c, false)
	case ErrorResponse:
		ep.heard = d.now
		ep.errs++
		d.outageChanged(ep)
		if d.erring(ep) {
			d.failed(ep, c, false)
		}
	}
}

// erring tells that errors in a row mean an outage: as many as the own demand brings in the time of an
// overload, by its long view. Guards against floods of errors of which hundreds of senders with little
// traffic see one call each, and against what a restart finds held: what all spend to make sure must not
// push the endpoint over. It could hurt where errors are common and calls rare.
func (d *Dispatcher) erring(ep *endpoint) bool {
	own := ep.dest.demand.steady(d.now) * d.set.MaxOverload.seconds()
	return ep.errs >= min(max(int(own), sureAfter), failStreak)
}

// latency is what a destination's calls take and how much that varies: its own samples, or those of its kind.
func (d *Dispatcher) latency(t *dest) (mean, dev float64) {
	switch {
	case t.lat.n > 0:
		return t.lat.mean, t.lat.dev
	case t.kind.lat.n > 0:
		return t.kind.lat.mean, t.kind.lat.dev
	}
	return float64(firstLat), float64(firstLat) / 2
}

// silence is how long a destination may say nothing with a call out before that is suspicious.
func (d *Dispatcher) silence(t *dest) Time {
	mean, dev := d.latency(t)
	return max(leastSilent, Time(mean+dev*min(devs, lostDevs-math.Log(d.lost))*(1+1/(1+t.lat.n))))
}

func (d *Dispatcher) succeeded(ep *endpoint, c *call) {
	p := ep.pace
	p.ok.add(d.now, 1)
	d.lost += lostGain * (leastLost - d.lost)
	if p.allow < unfelt {
		p.allow += allowOK * min(1, (d.now-max(p.okAt, p.cutAt)).seconds())
	}
	if k := ep.dest.kind; c.idle > 0 {
		k.drops -= lostGain * k.drops
		k.keep = min(Time(keepGrow*float64(k.keep)), d.set.ConnIdleTimeout*2)
	}
	if p.streak > 0 {
		d.reopened(ep, d.now)
		ep.dest.kind.again += lostGain * (1 - ep.dest.kind.again)
	}
	p.streak, p.fullSince, p.okAt = 0, 0, d.now
	if p.shutSeen {
		p.shutSeen = false
		d.outageChanged(ep)
	}
	d.cleared(ep, c)
	ep.okSent = max(ep.okSent, c.sent)
}

func (d *Dispatcher) cleared(ep *endpoint, c *call) {
	if ep.suspect {
		d.returned(ep, c)
		d.outageChanged(ep)
	}
	if ep.errs > 0 {
		d.outageChanged(ep)
	}
	ep.suspect, ep.proven, ep.dropped = false, false, 0
	ep.heard, ep.bad, ep.errs, ep.pace.bad = d.now, 0, 0, 0
}

// reopened starts the ramp of all that share a limit which refused for longer than an overload may last: it
// may have been shut, and a told wait tells when it opens. It could hurt by a ramp where a limit was lowered.
func (d *Dispatcher) reopened(ep *endpoint, at Time) {
	for _, o := range ep.dest.eps {
		since := ep.pace.fullSince
		if o.pace == ep.pace && since != 0 && at-since > d.set.MaxOverload && (o.coldAt == 0 || at > d.now) {
			d.chill(o, at)
		}
	}
}

// returned judges what a suspect's first answer tells. After an outage it came back at some moment since the
// last failure, in the mean half way: what many senders reckon so adds up to its real warmth. A failure that
// the next call does not bear out was a lost answer or a dropped connection.
func (d *Dispatcher) returned(ep *endpoint, c *call) {
	gone := d.now - ep.downAt
	switch {
	case c != nil && !c.trial && gone <= 2*d.set.MaxOverload: // late, not lost: it is slow
	case c == nil || (ep.proven || d.sure(ep) || ep.overtaken() > d.enough(ep)) && gone > d.set.MaxOverload:
		back := d.now
		if c != nil {
			back -= (d.now - ep.failedAt) / 2
			d.tell(ep, 0)
		}
		d.chill(ep, back)
		for _, o := range ep.dest.eps { // of the others that failed it stays sure: each has its own return
			if o.suspect && o.pace == ep.pace {
				o.bad = max(o.bad, o.pace.bad)
			}
		}
	case !ep.proven:
		k := ep.dest.kind
		d.lost += float64(ep.bad) * lostGain * (1 - d.lost)
		if ep.dropped > 0 {
			if k.drops += lostGain * (1 - k.drops); k.drops > dropsSure && ep.dropped > leastIdle {
				k.keep = min(k.keep, ep.dropped)
			}
		}
	}
}

// overtaken counts the calls since the last one answered that began before the last failure and are still
// out: silence that stands beside it.
func (ep *endpoint) overtaken() (n int) {
	for _, c := range ep.calls {
		if c.sent > ep.okSent && c.sent < ep.failedAt {
			n++
		}
	}
	return n
}

// sure tells that what failed in a row means an outage. It mostly takes all endpoints of a destination: those
// that fail now bear each other out. Where answers get lost it takes more of them.
func (d *Dispatcher) sure(ep *endpoint) bool {
	return max(ep.bad, ep.pace.bad) >= d.enough(ep) || d.erring(ep)
}

// enough is how many failures in a row make sure.
func (d *Dispatcher) enough(ep *endpoint) int {
	if ep.proven {
		return sureAfter
	}
	return sureAfter + int(sureLost*d.lost)
}

// startRamp has what an endpoint is sent follow the demand from now on, with a drawn start.
func (d *Dispatcher) startRamp(ep *endpoint) {
	ep.push = d.random()
	ep.dest.demand.credit(d.now, &ep.past)
	ep.rampAt = d.now
}

// chill starts an endpoint's ramp, as if it had come back at the moment given.
func (d *Dispatcher) chill(ep *endpoint, back Time) {
	ep.coldAt = back
	ep.liftAt = 1 + (rampEnd-1)*d.random() // not all that were told the same moment at once
	d.outageChanged(ep)
	d.startRamp(ep)
	d.note(ep.dest, "is back, cold: its calls rise over the warm-up")
}

// failed counts calls that met nobody or silence; only one sent after the last failure was known is new
// evidence. One is enough to hold messages back and send single trials, as a sender with little traffic may
// see no second. Guards against crashes, silence, hangs and floods of errors. It could hurt at rare answers.
func (d *Dispatcher) failed(ep *endpoint, c *call, proven bool) {
	d.outageChanged(ep)
	if c.sent >= ep.failedAt {
		ep.bad++
		ep.pace.bad++ // kept when an endpoint that failed leaves the list
		if ep.failedAt, ep.proven, ep.dropped = d.now, proven, c.idle; !c.cut && c.idle <= leastIdle {
			ep.dropped = 0
		}
	}
	ep.proven = ep.proven || proven // silence at first, then no connection: it was no lost answer
	if ep.suspect {
		return
	}
	ep.suspect, ep.downAt = true, d.now
	d.startRamp(ep)
	if ep.trialAt, ep.trialGap = d.now, d.silence(ep.dest); ep.proven {
		ep.trialAt += Time(d.random() * float64(ep.trialGap))
	}
}

// refused learns from a refusal: waits are kept, a smaller share of the own demand is let go.
func (d *Dispatcher) refused(ep *endpoint, c *call, wait Time, spent bool) {
	p, k := ep.pace, ep.dest.kind
	if spent && wait <= d.set.MaxOverload {
		p.fullSince = 0
		if p.shutSeen {
			p.shutSeen = false
			d.outageChanged(ep)
		}
	} else if p.fullSince == 0 {
		p.fullSince = d.now
	} else if !p.shutSeen && d.now-p.fullSince > d.set.MaxOverload {
		p.shutSeen = true
		d.startRamp(ep)
		d.outageChanged(ep)
	}
	if wait > 0 {
		d.reopened(ep, d.now+wait)
	}
	if c.sent < p.cutAt {
		return
	}
	p.cutAt = d.now
	if p.streak++; p.streak > 1 {
		k.again -= lostGain * k.again
	}
	want := ep.dest.demand.rate(d.now)
	span := min(max(wait, hintHold), backoffMost)
	used := spent || p.bound > 0 && p.streak <= sureAfter && !ill(ep) // the report may be late
	told := used && (d.now < p.holdTo || d.tell(ep, span))
	switch {
	case told && d.now-d.noteHeard < linkFor: // all hold together, then this one may go again
		d.crowd(p, span)
		p.tokens++
	case wait == 0:
		base := max(backoffBase, Time(min(float64(d.aim), float64(Second)/want)/2))
		pause := min(base<<min(p.streak-1, 6), backoffMost)
		p.wait = max(p.wait, d.now+pause/2+Time(d.random()*float64(pause)/2))
		fallthrough
	default:
		p.tokens = min(p.tokens, d.random()) // retries, too, stay within the share
	}
	if p.allow = min(p.allow, 1) * allowCut; p.bound == 0 {
		p.allow = max(p.allow, leastAllow)
	}
}

// tell adds a hint to the notes of this round, as far as their price allows. A hint is four bytes: a wait, or
// 0 for a return, and the endpoint's short name.
func (d *Dispatcher) tell(ep *endpoint, wait Time) bool {
	if !d.set.Gossip || d.noteCredit < noteHead {
		return false
	}
	d.noteCredit -= noteHead
	n := hintName(ep.id)
	d.notes = append(d.notes, byte(min(wait/hintUnit, 255)), byte(n>>16), byte(n>>8), byte(n))
	return true
}

// hear takes a peer's hints. They are never proof, and all works without any. They tell what one sender sees
// too little of: limits and returns of partners that it seldom calls. Wrong ones hurt by a hold or a try.
func (d *Dispatcher) hear(note string) {
	d.noteHeard = d.now
	for ; len(note) >= hintSize; note = note[hintSize:] {
		ep := d.byHint[uint32(note[1])<<16|uint32(note[2])<<8|uint32(note[3])]
		switch wait := Time(note[0]) * hintUnit; {
		case ep == nil:
		case wait > 0:
			d.crowd(ep.pace, wait)
		case ep.proven:
			d.cleared(ep, nil)
			d.awaken(ep.dest)
		}
	}
}

// crowd holds messages for a used-up limit and spreads their release, longer when the next refusal follows
// soon. Guards against limits that refused calls keep at nothing. It hurts where only one sender was refused.
func (d *Dispatcher) crowd(p *pace, span Time) {
	switch {
	case d.now < p.holdTo:
	case d.now-p.holdTo < p.spread/2:
		p.spread = min(max(p.spread*3/2, span), spreadMost)
	default:
		p.spread = max(p.spread*2/3, span)
	}
	if to := d.now + span; to > p.holdTo {
		p.holdTo = to
		p.wait = max(p.wait, to+Time(d.random()*float64(p.spread)))
	}
}

// keep is the age up to which an idle connection is used.
func (d *Dispatcher) keep(t *dest) Time {
	return min(d.set.ConnIdleTimeout, Time(keepShare*float64(t.kind.keep)))
}

// leave closes what this round left idle where connections are scarce. Guards against tables filled by the
// idle connections of many senders. It could hurt by handshakes, where the failed connect was an outage.
func (d *Dispatcher) leave() {
	for _, ep := range d.left {
		if len(ep.calls) == 0 && ep.open && d.now < ep.dest.kind.scarce {
			d.out = append(d.out, Action{Kind: Close, Endpoint: ep.id})
			ep.open = false
		}
	}
	d.left = d.left[:0]
}

// freshen closes connections idle for longer than is known to be safe before a call goes out on one, and
// tells how long the one that is used was idle. Guards against connections that were dropped unseen.
func (d *Dispatcher) freshen(ep *endpoint) Time {
	idle := d.now - ep.used
	if ep.open && ep.dest.kind.drops > onceDrops && ep.dest.holds(AtMostOnce) {
		d.out = append(d.out, Action{Kind: Close, Endpoint: ep.id})
		return 0
	} else if len(ep.calls) > 0 || !ep.open {
		return 0
	} else if idle <= d.keep(ep.dest) && ep.dropped == 0 {
		return idle
	} else if idle < d.set.ConnIdleTimeout {
		d.out = append(d.out, Action{Kind: Close, Endpoint: ep.id})
	}
	ep.open = false
	return 0
}

// watch judges calls still out by their age and gives up those overtaken by later ones or at a suspect: those
// whose messages can go again, others only where messages wait for slots. Guards against hangs, lost answers
// and dead connections. It could hurt a slow destination, where work is done twice; trials wait longer.
func (d *Dispatcher) watch(t *dest) {
	d.looks++
	limit := d.silence(t)
	for _, ep := range t.eps {
		if len(ep.calls) == 0 {
			continue
		}
		if old := ep.calls[0]; d.now-old.sent > limit && d.now-ep.heard > limit {
			d.failed(ep, old, false)
			ep.downAt = min(ep.downAt, max(old.sent, ep.heard))
		}
		for _, c := range ep.calls {
			// Where answers get lost or messages wait for slots one silence is enough.
			age, once := float64(d.now-c.sent)/float64(limit), min(1, sureLost*d.lost)
			patience := stuckAfter - once
			switch {
			case c.trial:
				patience = float64(1 + min(ep.bad, failStreak))
			case d.short: // a slot of two is dearer than one of ten
				patience = max(1, patience-2/float64(d.set.Slots))
			}
			if age > patience && (ep.okSent > c.sent || ep.suspect) {
				d.recall(c, d.short && age > patience*(stuckAfter-once))
			}
		}
	}
}

// recall stops waiting for a call whose messages can go again; force also gives up the others.
func (d *Dispatcher) recall(c *call, force bool) {
	if c.asked || !d.set.MayCancel {
		return
	}
	for _, m := range c.msgs {
		if m.out == c && !force && (m.class.Effect == AtMostOnce || m.made() >= d.set.MaxAttempts) {
			return
		}
	}
	c.asked = true
	if c.ep.okSent > c.sent {
		d.lost += lostGain * (1 - d.lost)
	}
	for _, m := range c.msgs {
		if m.out == c {
			d.out = append(d.out, Action{Kind: Cancel, Message: m.id, Attempt: m.tries - 1})
		}
	}
}

// choose picks an endpoint: a trial that is due, else the least loaded, warm and near one.
func (d *Dispatcher) choose(t *dest) (best *endpoint, trial bool) {
	for _, ep := range t.eps {
		if ep.health != Ready || d.now < ep.pace.wait || !d.paced(ep) {
			continue
		}
		if ep.suspect {
			if d.now >= ep.trialAt && !ep.trying() {
				return ep, true
			}
			continue
		}
		if best == nil || d.rank(ep) < d.rank(best) {
			best = ep
		}
	}
	return best, false
}

// rank is the load of an endpoint in calls; a handshake or a crossing counts as one more, a fee as some.
func (d *Dispatcher) rank(ep *endpoint) float64 {
	v := float64(len(ep.calls))
	if ep.zone != d.set.Zone {
		v++
	}
	if z := ep.zone; ep.pace != ep.dest.pace && z >= 0 && z < len(d.set.ZoneCosts) {
		v += feeCalls * d.set.ZoneCosts[z]
	}
	if len(ep.calls) == 0 && (!ep.open || d.now-ep.used > d.keep(ep.dest)) {
		v++
	}
	return v
}

// paced tells whether the allowed share of the demand and the ramp leave room for one more call.
func (d *Dispatcher) paced(ep *endpoint) bool {
	p, t := ep.pace, ep.dest
	credit, gone := 1.0, (d.now - p.at).seconds()
	want := t.demand.credit(d.now, &p.past)
	want += t.kind.again * t.kind.again * float64(t.held) * gone / (heldAims * d.aim.seconds())
	if p.bound > 0 {
		credit = p.bound * gone
	}
	if fair := fairShare * credit / float64(d.set.Instances); p.allow < unfelt {
		if p.bound == 0 {
			fair = 0
			p.allow += allowRise * min(want, 2*gone)
		}
		credit = min(credit, max(p.allow*want, fair))
	}
	p.at = d.now
	p.tokens = min(p.tokens+credit, max(1, rateBurst*p.allow*t.demand.rate(d.now), rateBurst*p.bound))
	return p.tokens >= 1 && d.warm(ep)
}

// warm holds a suspect, and one back from an outage, to the own demand times its warmth, with a drawn start,
// so that all senders together stay within what a cold destination can do however many they are. Guards
// against pushing it over. It could hurt a wrongly suspected one, which is used less for the warm-up.
func (d *Dispatcher) warm(ep *endpoint) bool {
	warmth := d.warmth(d.now-ep.coldAt) * min(rampMargin, tipPart*max(d.set.CollapseMultiple, 1))
	switch {
	case ep.suspect && !d.sure(ep):
		return true // the trial that makes sure
	case ep.suspect:
		warmth = trialPart * d.warmth((d.now-ep.failedAt)/doubtFade)
	case ep.pace.shutSeen: // it may open in any moment
		warmth = d.warmth((d.now - ep.pace.cutAt) / doubtFade)
	case ep.coldAt == 0:
		return true
	}
	if warmth >= rampEnd || warmth >= max(ep.liftAt, 1) && ep.dest.held <= 1 {
		ep.coldAt = 0
		d.outageChanged(ep)
		return true
	}
	want := d.rampDemand(ep) / float64(max(ep.dest.ready(), 1))
	if b := ep.pace.bound; b > 0 { // demand over a known limit does not make it stronger
		want *= min(1, b/(float64(d.set.Instances)*max(ep.dest.demand.rate(d.now), b/math.MaxInt32)))
	}
	ep.push = min(ep.push+warmth*want, 1)
	return ep.push >= 1
}

// rampDemand is the demand since the ramp was last reckoned. What came before an endpoint opens counts for
// nothing: all that wait for the same moment would have saved up a call by then, and make it at once.
func (d *Dispatcher) rampDemand(ep *endpoint) float64 {
	want := ep.dest.demand.credit(d.now, &ep.past)
	if span := d.now - ep.rampAt; ep.coldAt > ep.rampAt && span > 0 {
		want *= float64(max(0, d.now-ep.coldAt)) / float64(span)
	}
	ep.rampAt = d.now
	return want
}

// warmth is the part of its capacity that a destination has so long after its return.
func (d *Dispatcher) warmth(since Time) float64 {
	return d.set.ColdCapacity + (1-d.set.ColdCapacity)*float64(since)/float64(max(d.set.WarmUp, 1))
}

// started gives a destination without ends yet its first window: a fair share of the slots, by the last list.
func (d *Dispatcher) started(t *dest) {
	if t.starting && t.ends == 0 && t.list != d.lists {
		t.wmax, t.list = d.fair, d.lists
	}
}

// joined judges an endpoint new to the list: one that joins a destination which is all down or cold shares
// its fate, as the held messages must not be dumped on it.
func (d *Dispatcher) joined(t *dest, ep *endpoint) {
	if (t.pace.bad > 0 || slices.ContainsFunc(t.eps, ill)) && !slices.ContainsFunc(t.eps, well) {
		d.chill(ep, d.now)
	}
}

// quiet tells that a destination has said nothing for long and that nothing learned there binds: what is lost
// is its latency, for which that of its kind stands in. Guards against memory for partners that get a message
// a month. It could hurt by a first call or two judged by others' pace.
func (d *Dispatcher) quiet(t *dest) bool {
	if d.now-t.demand.at < quietFor || t.held > 0 {
		return false
	}
	return !slices.ContainsFunc(t.eps, func(ep *endpoint) bool {
		p := ep.pace
		bound := p.wait > d.now || p.holdTo > d.now || p.allow < unfelt || p.streak > 0 || p.bad > 0
		return bound || ill(ep) || ep.bad > 0 || ep.errs > 0 || len(ep.calls) > 0 || d.now-ep.used < quietFor
	})
}

func doubted(ep *endpoint) bool { return ep.suspect }
func ill(ep *endpoint) bool     { return ep.suspect || ep.coldAt != 0 }
func well(ep *endpoint) bool    { return ep.health == Ready && !ill(ep) }
