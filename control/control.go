package control

// The interface - settings, events, actions - is in api.go. This file holds
// every decision. A message's path: arrive -> hold (lanes of its destination)
// -> dispatch -> gate -> launch -> outcome -> back to its hold, or finish.

import (
	"fmt"
	"math"
	"slices"
)

// Tuned values. None is a figure of one deployment; each says what it trades.
const (
	fairF       = 4                 // F: completions of a whole window between two revisions
	cleanShare  = 0.1               // an interval with more than this share of bad ends is not clean
	latGain     = 1.0 / 8           // weight of a new latency sample
	baseGain    = 1.0 / 64          // the same for the long view, against which slow is told
	devs        = 6                 // deviations past the mean before silence is suspicious
	quietDevs   = 2                 // deviations past the mean before feeding stops while slots are scarce
	firstLat    = 400 * Millisecond // latency believed before the first answer
	leastSilent = 300 * Millisecond // silence shorter than this is never suspicious: short pauses are common
	failStreak  = 5                 // errors in a row that make an endpoint suspect
	slowFactor  = 3.0               // latency over its long view by this much: a slow destination
	trialGrow   = 1.5               // each failed trial spaces the next one so much wider ...
	trialMost   = 2 * Second        // ... up to this; longer would waste what a returned endpoint can do
	backoffBase = 100 * Millisecond // first pause after a refusal that told no wait; doubles up to trialMost
	rateCut     = 0.85              // release rate after a refusal, of the rate before
	rateRise    = 0.1               // its growth in a second, as a part of the demand
	leastRate   = 0.3               // and its floor, as a part of the demand
	rateTau     = 2 * Second        // memory of the measured rates
	meterStart  = Second / 2        // history reckoned for a rate that has just begun to be measured
	demandTau   = 10 * Second       // memory of the demand that a ramp is sized by
	rateBurst   = 0.5               // seconds of the release rate that may go at once
	roughSlack  = 1.5               // a rough listed rate may be this much too low
	rampMargin  = 1.2               // a ramp's rate over own demand x warmth, under tip-multiple
	batchExtra  = 0.25              // push of each further message of a call on a cold endpoint
	overMargin  = 1.1               // a tenant is over its share when past it by this factor
	leastAhead  = 500 * Millisecond // bounds on how far ahead the wait for a turn is reckoned; the upper one
	mostAhead   = 8 * Second        // keeps a stalled hold comparable with a busy one
	leastFlow   = 0.2               // calls a second reckoned for a destination that answers nothing
	worthTie    = 0.01              // of its worth counts for a message that loses nothing by waiting
	rateForget  = 2                 // a release rate past so many times the demand is not felt and forgotten
	stuckAfter  = 2                 // silences after which a call overtaken by others is called off
	openReserve = 16                // one part in so many of max-open is kept free for better messages
	wakeTicks   = 4                 // ticks between looks at the clock while anything is held or out
)

// Dispatcher decides for one relay. It is deterministic and not safe for concurrent use.
type Dispatcher struct {
	set          Settings
	rng          uint64
	now, wake    Time
	out          []Action
	msgs         map[MessageID]*message
	keys         map[uint64]*keyTurn
	byNo         map[int]*dest
	byID         map[Endpoint]*endpoint
	dests        []*dest
	busy, open   int // slots taken; messages owed an answer
	count, round uint64
	tenants      []meter
	all          meter
	quota        float64
}

// New returns a Dispatcher, or an error that names the setting at fault.
func New(s Settings, seed uint64) (*Dispatcher, error) {
	name := []string{"extra.slots", "limits.max-open", "limits.most-tries", "instances", "tick", "classes.count"}
	for i, v := range []int{s.Slots, s.MaxOpen, s.MaxTries, s.Instances, int(s.Tick), len(s.Classes)} {
		if v < 1 {
			return nil, fmt.Errorf("setting %s: %d is out of range", name[i], v)
		}
	}
	if s.ColdFrom > 1 {
		return nil, fmt.Errorf("setting rules.cold-from: %g is out of range", s.ColdFrom)
	}
	d := &Dispatcher{
		set: s, rng: seed*2862933555777941757 + 3037000493, msgs: map[MessageID]*message{},
		keys: map[uint64]*keyTurn{},
		byNo: map[int]*dest{}, byID: map[Endpoint]*endpoint{}, tenants: make([]meter, len(s.Tenants)),
	}
	for _, t := range s.Tenants {
		d.quota += t.Quota
	}
	return d, nil
}

// Step handles the events of one round, dispatches once and returns actions with its own appended.
func (d *Dispatcher) Step(now Time, events []Event, actions []Action) []Action {
	if d.round == 0 {
		d.all = meter{tau: demandTau, at: now, t0: now}
		for i := range d.tenants {
			d.tenants[i] = d.all
		}
	}
	d.now, d.out = now, actions
	d.round++
	for i := range events {
		d.handle(&events[i])
	}
	d.watch()
	d.dispatch()
	d.shed()
	if (d.busy > 0 || d.open > 0) && d.wake <= now {
		after := wakeTicks * d.set.Tick
		d.wake = now + after
		d.out = append(d.out, Action{Kind: Timer, After: after})
	}
	return d.out
}

func (d *Dispatcher) handle(e *Event) {
	switch e.Kind {
	case Arrival:
		d.arrive(e)
	case Outcome:
		d.outcome(e)
	case Withdrawn:
		if m := d.msgs[e.Message]; m != nil {
			d.end(m)
		}
	case Tick:
		if m := d.msgs[MessageID(e.Mark-1)]; e.Mark > 0 && m != nil && !m.ended {
			d.finish(m)
		}
	case List:
		d.list(e)
	}
}

// ---- arrival, hold, end ----

func (d *Dispatcher) arrive(e *Event) {
	if e.Class < 0 || e.Class >= len(d.set.Classes) {
		d.out = append(d.out, Action{Kind: Refuse, Message: e.Message})
		return
	}
	c := &d.set.Classes[e.Class]
	d.count++
	m := &message{id: e.Message, class: c, dest: d.dest(e.Dest), arrived: d.count, deadline: d.now + e.Grace}
	m.born = m.deadline - c.Deadline
	m.over = d.overShare(e.Tenant)
	m.lane = 2 * e.Class
	if m.over {
		m.lane++
	}
	d.msgs[m.id] = m
	d.open++
	m.dest.demand.add(d.now, 1)
	// The answer leaves before the time is up, one round early for rounding.
	d.out = append(d.out, Action{Kind: Timer, After: max(e.Grace-2*d.set.Tick, 0), Mark: uint64(m.id) + 1})
	if c.InOrder && e.Key != 0 {
		k := d.keys[e.Key]
		if k == nil {
			k = &keyTurn{key: e.Key}
			d.keys[e.Key] = k
		}
		m.key = k
		k.queue = append(k.queue, m)
		d.turn(k)
		return
	}
	d.hold(m)
}

// overShare tells whether a tenant now sends more than its share. Only the part of the fleet's traffic
// that comes here is seen, so the share is measured against this dispatcher's own traffic.
func (d *Dispatcher) overShare(t int) bool {
	d.all.add(d.now, 1)
	if t < 0 || t >= len(d.tenants) || d.quota <= 0 {
		return false
	}
	d.tenants[t].add(d.now, 1)
	part := max(1/float64(d.set.Instances), d.all.rate(d.now)/d.quota)
	return d.tenants[t].rate(d.now) > d.set.Tenants[t].Quota*part*overMargin
}

// turn puts the message whose turn it is into its hold. One that waits for its turn is in no hold.
func (d *Dispatcher) turn(k *keyTurn) {
	for len(k.queue) > 0 && k.queue[0].ended && k.queue[0].out == nil {
		k.queue = k.queue[1:]
	}
	if len(k.queue) == 0 {
		if k.rest <= d.now {
			delete(d.keys, k.key)
		}
		return
	}
	if m := k.queue[0]; !m.ended && !m.held && m.out == nil {
		d.hold(m)
	}
}

// hold puts a message into its lane, by age. A hold turning non-empty takes the least other counter.
func (d *Dispatcher) hold(m *message) {
	t := m.dest
	if t.held == 0 {
		least, found := 0.0, false
		for _, o := range d.dests {
			if o != t && (o.held > 0 || o.w > 0) && (!found || o.acc < least) {
				least, found = o.acc, true
			}
		}
		t.acc = least
	}
	t.put(m)
}

// finish gives a final answer: handed back where that is provably harmless, else failed.
func (d *Dispatcher) finish(m *message) {
	a := Action{Kind: Fail, Message: m.id}
	if d.refusable(m) {
		a.Kind = Refuse
	}
	d.out = append(d.out, a)
	d.end(m)
}

// refusable tells whether handing the message in again can do no harm.
func (d *Dispatcher) refusable(m *message) bool {
	maybe := m.doubt || m.out != nil
	return !maybe || m.class.Effect == Free || m.class.Effect == Guarded && !m.class.ZoneGroup
}

// end drops a message that is answered; one with an attempt out is kept until its outcome.
func (d *Dispatcher) end(m *message) {
	if !m.ended {
		m.ended = true
		d.open--
		m.dest.drop(m)
	}
	if m.out != nil {
		return
	}
	delete(d.msgs, m.id)
	if m.key != nil {
		d.turn(m.key)
	}
}

// worth is what delivering the message at t would earn.
func (d *Dispatcher) worth(m *message, t Time) float64 {
	c, v := m.class, m.class.Worth
	if m.over {
		v *= d.set.OverShare
	}
	late := t - m.born - c.Aim
	switch {
	case t >= m.deadline:
		return 0
	case late <= 0:
		return v
	case d.set.LateHalving:
		return v * max(c.LateWorth, math.Exp2(-float64(late)/float64(max(c.Aim, 1))))
	}
	return v * (1 - (1-c.LateWorth)*float64(late)/float64(max(c.Deadline-c.Aim, 1)))
}

// shed keeps room below max-open by handing back what is worth least, from the lanes' two ends.
// Guards against overload and long outages filling the hold, where better messages would be turned
// away unseen. It could hurt where an outage ends just after: the reserve is kept small for that.
func (d *Dispatcher) shed() {
	for d.open > d.set.MaxOpen-d.set.MaxOpen/openReserve-1 {
		var worst *message
		least := math.Inf(1)
		for _, t := range d.dests {
			ahead := d.ahead(t)
			for i := range t.lanes {
				l := t.lanes[i]
				if len(l) == 0 {
					continue
				}
				for _, m := range [2]*message{l[len(l)-1], l[0]} {
					if !d.refusable(m) {
						continue
					}
					if v := d.worth(m, d.now+ahead); v < least {
						worst, least = m, v
					}
				}
			}
		}
		if worst == nil {
			return
		}
		d.finish(worst)
	}
}

// ---- ordinary path: turns and windows ----

// dispatch hands free slots to the destinations with the smallest counters.
func (d *Dispatcher) dispatch() {
	for {
		var best *dest
		for _, t := range d.dests {
			if t.held > 0 && t.blocked != d.round && (best == nil || t.acc < best.acc) {
				best = t
			}
		}
		if best == nil {
			return
		}
		if d.busy >= d.set.Slots {
			d.reclaim()
			return
		}
		if !d.release(best) {
			best.blocked = d.round
		}
	}
}

// release sends the head of a destination's hold, with others in the same call where its kind allows.
func (d *Dispatcher) release(t *dest) bool {
	ep, trial := d.choose(t)
	if ep == nil || (t.w >= d.room(t) && !(trial && t.w < d.ceiling(t))) {
		return false
	}
	m := d.head(t, ep, trial)
	if m == nil {
		return false
	}
	c := &call{ep: ep, sent: d.now, trial: trial}
	for n := t.batch; m != nil && n > 0; n-- {
		d.launch(m, c)
		if trial {
			break
		}
		m = d.head(t, ep, false)
	}
	d.opened(t, ep, c)
	return true
}

// opened accounts for a call that has just gone out.
func (d *Dispatcher) opened(t *dest, ep *endpoint, c *call) {
	d.busy++
	t.w++
	ep.calls = append(ep.calls, c)
	need := (len(ep.calls) + d.streams() - 1) / d.streams()
	if ep.conns < need || d.now-ep.used > d.set.ConnIdle {
		ep.conns = need
	}
	ep.used = d.now
	ep.pace.tokens--
	ep.push -= 1 + batchExtra*float64(len(c.msgs)-1)
	if c.trial {
		ep.trialAt = d.now + ep.trialGap
		ep.trialGap = min(Time(float64(ep.trialGap)*trialGrow), trialMost)
		ep.trialAt += Time(d.random() * float64(ep.trialGap) / 4)
	}
}

// launch sends one message as part of call c.
func (d *Dispatcher) launch(m *message, c *call) {
	m.dest.drop(m)
	m.out = c
	m.tries++
	c.msgs = append(c.msgs, m)
	c.left++
	var limit Time
	if !d.set.MayCancel && m.class.Effect != SingleShot {
		limit = stuckAfter * d.silence(m.dest)
	}
	d.out = append(d.out, Action{Kind: Send, Message: m.id, Endpoint: c.ep.id, After: limit})
}

// gate is the one place that permits a send; every rule that binds sends is here.
func (d *Dispatcher) gate(m *message, ep *endpoint) bool {
	c := m.class
	switch {
	case m.ended || m.out != nil || m.tries >= d.set.MaxTries || ep.dest != m.dest:
		return false
	case d.now+d.set.Tick >= m.deadline || ep.health != Ready || d.now < ep.pace.wait:
		return false
	case m.key != nil && (m.key.queue[0] != m || m.tries == 0 && d.now < m.key.rest):
		return false
	case !m.doubt || c.Effect == Free:
		return true
	case c.Effect == SingleShot:
		return false
	}
	return d.now+d.set.Tick < m.doubtAt+c.Window && (!c.ZoneGroup || ep.zone == m.doubtZone)
}

// head picks the message to send: of the oldest of each lane, the one that would lose most worth by
// waiting until the hold is worked off. With a short hold none loses any and worth decides.
func (d *Dispatcher) head(t *dest, ep *endpoint, trial bool) *message {
	var best *message
	top := -1.0
	soon := d.now + Time(t.lat)
	wait := d.ahead(t)
	for i := range t.lanes {
		for len(t.lanes[i]) > 0 && d.spent(t.lanes[i][0]) {
			d.finish(t.lanes[i][0])
		}
		if len(t.lanes[i]) == 0 {
			continue
		}
		// The oldest, and the oldest still in time: late worth may have nothing more to lose.
		l := t.lanes[i]
		fresh, _ := slices.BinarySearchFunc(l, soon, byAim)
		for _, m := range [2]*message{l[0], l[min(fresh, len(l)-1)]} {
			if trial && !harmless(m, ep) || !d.gate(m, ep) {
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
	wait := Time(float64(t.held) / max(t.pace.ok.rate(d.now), leastFlow) * float64(Second))
	return min(max(wait, leastAhead), mostAhead)
}

// harmless tells whether a trial may risk the message: a doubtful unsafe one could only fail, so it goes
// when the last failure proved that calls do not run, or when trials have become rare.
func harmless(m *message, ep *endpoint) bool {
	return m.class.Effect != SingleShot || ep.proven || ep.trialGap >= trialMost
}

// spent tells that no attempt can ever be made again.
func (d *Dispatcher) spent(m *message) bool {
	if m.tries >= d.set.MaxTries || m.doubt && m.class.Effect == SingleShot {
		return true
	}
	return m.doubt && m.class.Effect == Guarded && d.now+d.set.Tick >= m.doubtAt+m.class.Window
}

// ceiling is the most calls out to one destination: under three quarters of the slots.
func (d *Dispatcher) ceiling(t *dest) int { return max(1, (3*d.set.Slots+3)/4-1) }

func (t *dest) sick() bool { return t.lat > slowFactor*t.base || t.troubled() }

// room is the window in force: failing and slow destinations share half of the slots among them all.
func (d *Dispatcher) room(t *dest) int {
	most := d.ceiling(t)
	if t.sick() {
		most = min(most, d.set.Slots/2)
		for _, o := range d.dests {
			if o != t && o.sick() {
				most -= o.w
			}
		}
	}
	return max(1, min(t.wmax, most))
}

// revise is the window's completion test; w still counts the call that ended.
func (d *Dispatcher) revise(t *dest, r Result) {
	if r == Cancelled || r == Moot {
		return
	}
	if r != OK {
		t.starting = false
		t.badEnds++
	}
	t.ends++
	if t.starting {
		t.wmax = min(t.wmax+1, d.ceiling(t))
		return
	}
	if t.ends < fairF*t.wmax {
		return
	}
	if t.w >= t.wmax {
		if float64(t.badEnds) <= cleanShare*float64(t.ends) {
			t.wmax = min(t.wmax+1, d.ceiling(t))
		} else {
			t.wmax = max(t.wmax-1, 1)
		}
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
	d.settle(c, e)
	if !ranNot(e.Result) && e.Result != OK {
		if !m.doubt {
			m.doubt, m.doubtAt, m.doubtZone = true, c.sent, c.ep.zone
		}
		if m.key != nil && e.Result != Errored {
			m.key.rest = d.now + d.set.SettleAfterDoubt
		}
	}
	switch {
	case e.Closed || m.ended || e.Result == OK:
		d.end(m)
	case d.spent(m) || d.now+2*d.set.Tick >= m.deadline:
		d.finish(m)
	default:
		d.hold(m)
	}
}

// ranNot tells that a result proves the attempt never ran.
func ranNot(r Result) bool { return r == Full || r == ConnectFailed || r == Moot }

// settle takes one message of a call off it; the first outcome is learned from, the last frees the slot.
func (d *Dispatcher) settle(c *call, e *Event) {
	c.left--
	if e.Wait > 0 { // every outcome's wait binds, also of a call learned from already
		c.ep.pace.wait = max(c.ep.pace.wait, d.now+e.Wait+d.set.Tick)
	}
	if c.left == len(c.msgs)-1 {
		d.learn(c, e)
	}
	if c.left > 0 {
		return
	}
	t := c.ep.dest
	t.acc += (d.now - c.sent).seconds() / t.share()
	d.revise(t, e.Result)
	d.busy--
	t.w--
	i := slices.Index(c.ep.calls, c)
	c.ep.calls = slices.Delete(c.ep.calls, i, i+1)
	c.ep.used = d.now
}

func (d *Dispatcher) learn(c *call, e *Event) {
	ep, t := c.ep, c.ep.dest
	d.reported(ep, e.Report)
	switch e.Result {
	case OK:
		d.sample(t, float64(e.Lag))
		d.succeeded(ep, c.sent)
	case Full:
		ep.heard = d.now
		d.refused(ep, c, e.Wait)
	case ConnectFailed:
		// Connect failures amid successes tell of a connection cap, not of an outage.
		if ep.bad == 0 && len(ep.calls) > 1 && d.now-ep.heard < d.silence(t) {
			ep.maxOut = max(1, len(ep.calls)-1)
			return
		}
		d.failed(ep, true, failStreak)
	case TimedOut, Reset:
		d.failed(ep, false, failStreak)
	case Errored:
		ep.heard = d.now
		d.failed(ep, false, 1)
	}
}

// sample learns the latency of a destination.
func (d *Dispatcher) sample(t *dest, lag float64) {
	if t.base == 0 {
		t.lat, t.dev, t.base = lag, lag/2, lag
		return
	}
	t.dev += latGain * (math.Abs(lag-t.lat) - t.dev)
	t.lat += latGain * (lag - t.lat)
	t.base += baseGain * (lag - t.base)
}

// silence is how long a destination may say nothing with a call out before that is suspicious.
func (d *Dispatcher) silence(t *dest) Time {
	if t.base == 0 {
		return devs * firstLat / 2
	}
	return max(leastSilent, Time(t.lat+devs*t.dev))
}

func (d *Dispatcher) succeeded(ep *endpoint, sent Time) {
	ep.okSent = max(ep.okSent, sent)
	p := ep.pace
	p.ok.add(d.now, 1)
	if p.streak > 0 && p.fullSince > 0 && d.now-p.fullSince > d.set.OverloadFor {
		d.ramp(p, ep.dest.eps)
	}
	p.streak, p.fullSince = 0, 0
	if ep.suspect {
		// The answer to a call sent before the silence tells of slowness, unless it was long as an outage.
		if gone := d.now - ep.downAt; gone > 2*d.set.OverloadFor || gone > d.set.OverloadFor/2 && sent > ep.downAt {
			d.chill(ep)
		}
		ep.suspect, ep.proven = false, false
	}
	ep.heard, ep.bad = d.now, 0
}

// ramp makes every endpoint that shares a refusing limit return slowly: it may have been shut.
func (d *Dispatcher) ramp(p *pace, eps []*endpoint) {
	for _, o := range eps {
		if o.pace == p {
			d.chill(o)
		}
	}
}

func (d *Dispatcher) chill(ep *endpoint) { ep.coldAt, ep.push, ep.pushAt = d.now, 0, d.now }

// failed counts a failed call or probe. One that found nobody there is enough to make an endpoint suspect:
// a sender with little traffic may see no second before the endpoint returns. Errors take a streak, since
// an endpoint that answers some calls well still serves.
func (d *Dispatcher) failed(ep *endpoint, proven bool, weight int) {
	ep.bad += weight
	ep.proven = proven
	if ep.bad >= failStreak {
		d.doubtful(ep, d.now)
	}
}

// doubtful stops feeding an endpoint: its messages are held and single spaced trials find out.
// Guards against crashes, silence, hangs and floods of errors alike. It could hurt at an endpoint whose
// answers are merely rare and slow: any ok lifts it at once.
func (d *Dispatcher) doubtful(ep *endpoint, since Time) {
	if ep.suspect {
		return
	}
	ep.suspect, ep.downAt = true, since
	ep.trialGap = d.silence(ep.dest)
	ep.trialAt = d.now + Time(d.random()*float64(ep.trialGap))
}

// refused learns from a refusal: waits are kept, the release rate falls below what was getting through.
func (d *Dispatcher) refused(ep *endpoint, c *call, wait Time) {
	p := ep.pace
	if p.fullSince == 0 {
		p.fullSince = d.now
	}
	fresh := c.sent >= p.cutAt
	if fresh {
		p.streak++
	}
	if wait == 0 && fresh {
		pause := min(backoffBase<<min(p.streak-1, 6), trialMost)
		p.wait = max(p.wait, d.now+pause/2+Time(d.random()*float64(pause)/2))
	}
	if fresh {
		p.cutAt = d.now
		want := ep.dest.demand.rate(d.now)
		if p.rate == 0 {
			p.rate = max(p.ok.rate(d.now), want)
		}
		p.rate = max(p.rate*rateCut, want*leastRate)
		p.tokens = 0
	}
}

// reported takes the bounds that answers tell.
func (d *Dispatcher) reported(ep *endpoint, report []float32) {
	if i := d.set.ReportLimit; i >= 0 && i < len(report) && report[i] > 0 {
		ep.pace.bound = float64(report[i])
	}
}

// ---- health ----

// watch judges calls still out by their age and looks after those that are stuck.
func (d *Dispatcher) watch() {
	for _, t := range d.dests {
		if t.w == 0 {
			continue
		}
		limit := d.silence(t)
		for _, ep := range t.eps {
			d.inspect(ep, limit)
		}
	}
}

func (d *Dispatcher) inspect(ep *endpoint, limit Time) {
	if len(ep.calls) == 0 {
		return
	}
	if old := ep.calls[0]; d.now-old.sent > limit && d.now-ep.heard > limit {
		d.doubtful(ep, max(old.sent, ep.heard))
	}
	other := ep.dest.healthy()
	for _, c := range ep.calls {
		age := d.now - c.sent
		if age <= limit {
			break
		}
		patience := stuckAfter * limit
		if c.trial {
			patience = max(patience, stuckAfter*ep.trialGap)
		}
		stuck := ep.okSent > c.sent || ep.suspect && (other || c.trial)
		if age > patience && stuck {
			d.recall(c, false)
		}
	}
}

// recall stops waiting for a call whose messages can go again; force also gives up the others.
func (d *Dispatcher) recall(c *call, force bool) bool {
	if c.asked || !d.set.MayCancel {
		return false
	}
	for _, m := range c.msgs {
		if m.out == c && !force && (m.class.Effect == SingleShot || m.tries >= d.set.MaxTries) {
			return false
		}
	}
	c.asked = true
	for _, m := range c.msgs {
		if m.out == c {
			d.out = append(d.out, Action{Kind: Cancel, Message: m.id, Attempt: m.tries - 1})
		}
	}
	return true
}

// reclaim takes back the slot of the oldest call at a suspect endpoint when none is free: a hang must
// not starve the others. Calls that can go again come first.
func (d *Dispatcher) reclaim() {
	for _, force := range []bool{false, true} {
		var old *call
		for _, t := range d.dests {
			for _, ep := range t.eps {
				if !ep.suspect || len(ep.calls) == 0 {
					continue
				}
				for _, c := range ep.calls {
					if c.asked {
						return
					}
				}
				if c := ep.calls[0]; d.now-c.sent > stuckAfter*d.silence(t) && (old == nil || c.sent < old.sent) {
					old = c
				}
			}
		}
		if old != nil && d.recall(old, force) {
			return
		}
	}
}

// choose picks an endpoint: a trial that is due, else the least loaded, warm and near one.
func (d *Dispatcher) choose(t *dest) (best *endpoint, trial bool) {
	for _, ep := range t.eps {
		if ep.health != Ready || d.now < ep.pace.wait || ep.maxOut > 0 && len(ep.calls) >= ep.maxOut {
			continue
		}
		if ep.suspect {
			if d.now >= ep.trialAt && !ep.trying() {
				return ep, true
			}
			continue
		}
		if d.hesitant(ep) || !d.paced(ep) {
			continue
		}
		if best == nil || d.rank(ep) < d.rank(best) {
			best = ep
		}
	}
	return best, false
}

// hesitant tells that an endpoint is quiet for longer than most of its calls while slots are getting scarce:
// what may be the start of a hang must not take the slots of others before it is told for sure.
func (d *Dispatcher) hesitant(ep *endpoint) bool {
	quiet := Time(ep.dest.lat + quietDevs*ep.dest.dev)
	return len(ep.calls) > 1 && 2*d.busy >= d.set.Slots && d.now-max(ep.heard, ep.calls[0].sent) > quiet
}

// rank is the load of an endpoint in calls; a handshake or a crossing counts as one more.
func (d *Dispatcher) rank(ep *endpoint) float64 {
	v := float64(len(ep.calls))
	if ep.zone != d.set.Zone {
		v++
	}
	if d.now-ep.used > d.set.ConnIdle || len(ep.calls) >= ep.conns*d.streams() {
		v++
	}
	return v
}

func (d *Dispatcher) streams() int { return max(1, d.set.StreamsPerConn) }

// paced tells whether the release rate and the ramp leave room for one more call.
func (d *Dispatcher) paced(ep *endpoint) bool {
	p := ep.pace
	if p.rate > 0 {
		want := ep.dest.demand.rate(d.now)
		if p.rate += want * rateRise * (d.now - p.at).seconds(); p.rate > rateForget*want {
			p.rate = 0 // not felt any more
		}
	}
	rate := p.rate
	if p.bound > 0 && (rate == 0 || rate > p.bound) {
		rate = p.bound
	}
	if rate > 0 {
		p.tokens = min(p.tokens+rate*(d.now-p.at).seconds(), max(1, rate*rateBurst))
	} else {
		p.tokens = 1
	}
	p.at = d.now
	return p.tokens >= 1 && d.warm(ep)
}

// warm holds an endpoint back from an outage to its own demand times its warmth.
// Guards against pushing a cold endpoint over, with other senders doing the same.
func (d *Dispatcher) warm(ep *endpoint) bool {
	if ep.coldAt == 0 {
		return true
	}
	gone := float64(d.now-ep.coldAt) / float64(max(d.set.WarmUp, 1))
	if gone >= 1 {
		ep.coldAt = 0
		return true
	}
	n := 0
	for _, o := range ep.dest.eps {
		if o.health == Ready {
			n++
		}
	}
	warmth := d.set.ColdFrom + (1-d.set.ColdFrom)*gone
	rate := ep.dest.demand.rate(d.now) / float64(max(n, 1)) * warmth * rampMargin
	ep.push = min(ep.push+rate*(d.now-ep.pushAt).seconds(), 1)
	ep.pushAt = d.now
	return ep.push >= 1
}

// ---- the endpoint list ----

// dest returns a destination, making it when it is first heard of.
func (d *Dispatcher) dest(no int) *dest {
	t := d.byNo[no]
	if t == nil {
		t = &dest{batch: 1, starting: true, lanes: make([][]*message, 2*len(d.set.Classes))}
		t.pace = d.newPace()
		t.demand = meter{tau: demandTau, at: d.now, t0: d.now}
		t.lat = float64(firstLat)
		d.byNo[no] = t
		d.dests = append(d.dests, t)
		t.wmax = max(1, d.set.Slots/len(d.dests))
	}
	return t
}

// list takes a new endpoint list; what a whole list leaves out is gone.
func (d *Dispatcher) list(e *Event) {
	if e.ListKind == ListFailed {
		return
	}
	if e.ListKind != ListDelta {
		for _, t := range d.dests {
			for _, ep := range t.eps {
				ep.health = Gone
			}
		}
	}
	for i := range e.Entries {
		d.entry(&e.Entries[i])
	}
	for _, t := range d.dests {
		t.eps = slices.DeleteFunc(t.eps, func(ep *endpoint) bool { return ep.health == Gone && len(ep.calls) == 0 })
		if t.starting && t.ends == 0 {
			t.wmax = max(1, d.set.Slots/len(d.dests))
		}
	}
}

func (d *Dispatcher) entry(n *Entry) {
	t := d.dest(n.Dest)
	apart := false
	if n.Kind < len(d.set.Kinds) {
		t.batch, apart = d.set.Kinds[n.Kind].Batch, d.set.Kinds[n.Kind].RoutesApart
	}
	ep := d.byID[n.Endpoint]
	if ep == nil {
		ep = &endpoint{id: n.Endpoint, dest: t, pace: t.pace}
		if apart {
			ep.pace = d.newPace()
		}
		d.byID[n.Endpoint] = ep
	}
	if !slices.Contains(t.eps, ep) {
		// One that joins a destination which is all down or cold shares its fate: the held messages must
		// not be dumped on it.
		if slices.ContainsFunc(t.eps, ill) && !slices.ContainsFunc(t.eps, well) {
			d.chill(ep)
		}
		t.eps = append(t.eps, ep)
	}
	ep.zone, ep.health = n.Zone, n.Health
	if n.Weight > 0 && d.set.Weights != WeightNone {
		t.weight = n.Weight
		bound := n.Weight
		if d.set.Weights == WeightRough {
			bound *= roughSlack
		}
		ep.pace.bound = bound
	}
}
