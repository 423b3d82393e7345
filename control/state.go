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
	set                       Settings
	rng                       uint64
	aim                       Time // the least aim of a class
	now, wake, tidied, noteAt Time
	stopAt                    Time // this process ends then and its successor goes on, 0 if not known
	askAt, askDue, askGap     Time // next asking for the list; its timer; pause after the next failure
	out                       []Action
	msgs                      map[MessageID]*message
	keys                      map[uint64]*keyTurn
	byNo                      map[int]*dest
	byID                      map[EndpointID]*endpoint
	byHint                    map[uint32]*endpoint // by the short name that notes between peers use
	resting                   []*keyTurn
	dests                     []*dest // those that something was heard of or asked for
	idle                      map[int][]line
	owner                     map[EndpointID]int // destinations of the endpoints in idle
	byAcc, turns, costs, naps order              // see place
	calling, emptied          []*dest            // those with calls out, by seq; those that may be live no more
	joins, lists              uint64             // destinations that came to life; lists taken
	fair, shedAt              int                // first window, by the last list; where the next look for what to shed begins
	kinds                     []*kind
	left                      []*endpoint // calls there ended in this round
	outages                   []*endpoint // what is known of their outages has changed
	busy, open                int         // slots taken; messages owed an answer
	count, round, looks       uint64      // looks: destinations tried or watched, the work of rounds
	tenants                   []meter
	all                       meter
	quota, slack              float64 // messages a second within all shares; factor on a listed rate
	lost                      float64 // share of answers that get lost
	short                     bool    // messages wait for want of slots
	keysRest                  Time    // all keys rest until then: calls of a process before this one may be executed yet
	unrecorded                bool    // attempts can't be put on record now
	watching                  bool    // subscribed to the list
	notes                     []byte  // hints for the peers, sent at the end of the round
	noteCredit, notePart      float64 // bytes that may be told now; what a message adds
	noteHeard                 Time
}

// message is one message from arrival to its end and its last outcome.
type message struct {
	id                MessageID
	class             *Class
	dest              *dest
	lane              int
	key               *keyTurn
	born, deadline    Time // when it was first handed in, when it is given up
	arrived           uint64
	round             uint64 // in which it arrived
	restored          bool   // a process before this one had taken it on
	over, held, ended bool
	tries             int // attempts decided ...
	unsent            int // ... of them not sent
	out               *call
	doubt             bool // an attempt may have run ...
	doubtAt           Time // ... the first such was sent then ...
	doubtZone         int  // ... to this zone
}

// call is one call out, holding a slot: a message, or several of one round.
type call struct {
	ep           *endpoint
	sent         Time
	msgs         []*message
	left         int
	trial, asked bool // a trial of a suspect; called off by us
	cut          bool // its connection broke
	idle         Time // how long the connection that it went out on had been idle, 0 if new or in use
}

// keyTurn orders the messages that share a key.
type keyTurn struct {
	key    uint64
	queue  []*message
	rest   Time
	parked bool // in the list of those at rest
}

// endpoint is a place to send to, with its own health.
type endpoint struct {
	id                  EndpointID
	dest                *dest
	zone                int
	health              Health
	pace                *pace
	calls               []*call // out, oldest first
	open                bool    // a connection is thought open
	used, heard, okSent Time    // last use; last answer; send time of the newest call answered ok
	bad, errs           int     // calls in a row that met nobody or silence; answers in a row that were errors
	suspect, proven     bool    // not fed; its last failure proved that calls do not run
	dropped             Time    // idle age of the connection on which the last failed call went out
	downAt, failedAt    Time    // while suspect: since when; when the last failure was known
	trialAt, trialGap   Time    // next trial, and how long until the one after
	coldAt              Time    // start of its ramp, 0 none
	push, past          float64 // calls that the ramp permits now; demand seen when that was reckoned ...
	rampAt              Time    // ... which was then
	liftAt              float64 // multiple of the own demand at which its ramp ends, where a single message is held
	changed             bool    // what is known of its outage is to be told, see Outages
}

// line is one listed endpoint of a destination that nothing was asked for yet: all that is kept of it.
type line struct {
	id         EndpointID
	at         Time // when it was listed
	weight     float64
	zone, kind int32
	health     Health
}

// kind is what the destinations of one kind have in common.
type kind struct {
	lat    latency
	keep   Time    // idle age up to which connections are known to hold
	again  float64 // how often the call after a refusal went well
	drops  float64 // share of calls on idle connections that failed where the next one went well
	scarce Time    // until then connections are taken to be scarce
}

// latency is a running mean and deviation.
type latency struct{ mean, dev, n float64 }

func (l *latency) add(v, gain float64) {
	l.n++
	l.dev += gain * (math.Abs(v-l.mean) - l.dev)
	l.mean += gain * (v - l.mean)
}

// pace is what bounds the rate to a destination, or to one route where routes are apart.
type pace struct {
	wait, at, cutAt, okAt, fullSince Time    // wait is told, or our own backoff
	allow, bound, tokens             float64 // share of the own demand let go; listed or reported rate
	past                             float64 // demand seen when the tokens were reckoned
	holdTo, spread                   Time    // all senders hold until then and go on spread over this
	streak, bad                      int     // refusals in a row; calls in a row that met nobody or silence, at all its endpoints
	ok                               meter
	shutSeen                         bool // it has refused for longer than an overload may last
}

// dest is a destination: its hold, turn counter, window and what was learned.
type dest struct {
	no            int
	eps           []*endpoint
	kind          *kind
	pace          *pace
	batch         int
	live          bool   // messages were held or out since the last round
	seq, list     uint64 // place among the live ones; the list that its first window is by
	at            [4]int // places in the orders, counted from 1
	calls         bool   // it is among those with calls out
	cost          float64
	lookAt        Time // asleep until then: nothing can be released
	asleep        bool
	open          int // messages owed an answer
	share, acc    float64
	lanes         [][]*message // by class and over-share, oldest first
	held          int
	w, wmax       int
	starting      bool
	ends, badEnds int
	lat           latency
	base          float64 // the long view of its latency
	demand        meter
}

// meter is a rate with exponential decay.
type meter struct {
	v, n        float64
	at, tau, t0 Time
}

func (m *meter) add(now Time, n float64) {
	m.v = m.v*math.Exp(-float64(now-m.at)/float64(m.tau)) + n
	m.at = now
	m.n += n
}

// credit is what was counted since the last look, smoothed by the decay; last is moved on.
func (m *meter) credit(now Time, last *float64) float64 {
	past := m.n - m.v*math.Exp(-float64(now-m.at)/float64(m.tau))
	gone := past - *last
	*last = past
	return gone / m.span(now)
}

// span is the part of the memory that is filled.
func (m *meter) span(now Time) float64 {
	return 1 - math.Exp(-float64(now-m.t0+meterStart)/float64(m.tau))
}

// rate is per second; the start is corrected for the short history.
func (m *meter) rate(now Time) float64 {
	return m.v * math.Exp(-float64(now-m.at)/float64(m.tau)) / m.tau.seconds() / m.span(now)
}

// steady is the rate per second as if nothing had come before the measure began: a burst at its start is none.
func (m *meter) steady(now Time) float64 {
	return m.v * math.Exp(-float64(now-m.at)/float64(m.tau)) / m.tau.seconds()
}

func (t Time) seconds() float64 { return float64(t) / float64(Second) }

// put adds a message to its lane, which is in order of arrival.
func (t *dest) put(m *message) {
	l := t.lanes[m.lane]
	at := len(l)
	for at > 0 && l[at-1].arrived > m.arrived {
		at--
	}
	t.lanes[m.lane] = slices.Insert(l, at, m)
	m.held = true
	t.held++
}

// drop takes a message out of its lane, if it is in one.
func (t *dest) drop(m *message) {
	if !m.held {
		return
	}
	l := t.lanes[m.lane]
	i, _ := slices.BinarySearchFunc(l, m.arrived, func(o *message, n uint64) int { return cmp.Compare(o.arrived, n) })
	t.lanes[m.lane] = slices.Delete(l, i, i+1)
	t.held--
	m.held = false
}

// order is a heap of destinations. Each knows its place in it. Keys stand in the heap as they were when each was last
// set: a comparison then reads one array and calls nothing, which is what a round mostly does.
type order struct {
	of    int
	key   func(*dest) float64
	items []spot
}

type spot struct {
	key float64
	t   *dest
}

func (o *order) Len() int { return len(o.items) }
func (o *order) Less(i, j int) bool {
	a, b := &o.items[i], &o.items[j]
	return a.key < b.key || a.key == b.key && a.t.seq < b.t.seq
}
func (o *order) Swap(i, j int) {
	o.items[i], o.items[j] = o.items[j], o.items[i]
	o.items[i].t.at[o.of], o.items[j].t.at[o.of] = i+1, j+1
}
func (o *order) Push(x any) {
	t := x.(*dest)
	o.items = append(o.items, spot{o.key(t), t})
	t.at[o.of] = len(o.items)
}
func (o *order) Pop() any {
	n := len(o.items) - 1
	t := o.items[n].t
	o.items[n] = spot{}
	o.items = o.items[:n]
	t.at[o.of] = 0
	return t
}

// set puts a destination in its place, or takes it out.
func (o *order) set(t *dest, in bool) {
	switch at := t.at[o.of]; {
	case in && at == 0:
		heap.Push(o, t)
	case in:
		if k := o.key(t); o.items[at-1].key != k {
			o.items[at-1].key = k
			heap.Fix(o, at-1)
		}
	case at > 0:
		heap.Remove(o, at-1)
	}
}

// least is the smallest key of all but one destination, or infinity.
func (o *order) least(but *dest) float64 {
	switch n := len(o.items); {
	case n == 0:
		return math.Inf(1)
	case o.items[0].t != but:
		return o.items[0].key
	default: // it is at the top: the next is one of the two below
		v := math.Inf(1)
		for _, s := range o.items[1:min(3, n)] {
			v = min(v, s.key)
		}
		return v
	}
}

// place puts a destination where its counts and its sleep say: byAcc are all live ones by their counters; turns and
// costs those that may release, by counter and by tag; naps those asleep; calling those with calls out.
func (d *Dispatcher) place(t *dest) {
	live, awake := t.held > 0 || t.w > 0, t.held > 0 && !t.asleep
	if !live {
		t.asleep = false
		d.emptied = append(d.emptied, t)
	}
	d.byAcc.set(t, live)
	d.turns.set(t, awake)
	if len(d.costs.items) > 0 { // kept only while very many wait
		if awake {
			t.cost = d.tag(t)
		}
		d.costs.set(t, awake)
	}
	d.naps.set(t, t.asleep)
	if calls := t.w > 0; calls != t.calls {
		t.calls = calls
		i, _ := slices.BinarySearchFunc(d.calling, t.seq, func(o *dest, seq uint64) int { return cmp.Compare(o.seq, seq) })
		if calls {
			d.calling = slices.Insert(d.calling, i, t)
		} else {
			d.calling = slices.Delete(d.calling, i, i+1)
		}
	}
}

// awaken has a destination looked at again: something happened there.
func (d *Dispatcher) awaken(t *dest) {
	t.asleep = false
	d.place(t)
}

// rouse wakes the destinations whose time has come.
func (d *Dispatcher) rouse() {
	for len(d.naps.items) > 0 && d.naps.items[0].t.lookAt <= d.now {
		d.awaken(d.naps.items[0].t)
	}
}

// rest lets those be that have nothing held or out any more.
func (d *Dispatcher) rest() {
	for _, t := range d.emptied {
		if t.held == 0 && t.w == 0 {
			t.live = false
		}
	}
	d.emptied = d.emptied[:0]
}

// first is the destination whose turn it is: by counter, or by tag while messages wait for slots. Tags of a few are
// reckoned at the moment. Those of very many are as of when each was placed, but for the first, which is reckoned anew.
func (d *Dispatcher) first() *dest {
	if !d.short {
		if len(d.turns.items) == 0 {
			return nil
		}
		return d.turns.items[0].t
	}
	if len(d.turns.items) <= shedLooks {
		for _, s := range d.costs.items {
			s.t.at[d.costs.of] = 0
		}
		d.costs.items = d.costs.items[:0]
		var best *dest
		least := math.Inf(1)
		for _, s := range d.turns.items {
			if v := d.tag(s.t); v < least || v == least && s.t.seq < best.seq {
				best, least = s.t, v
			}
		}
		return best
	}
	if len(d.costs.items) == 0 {
		for _, s := range d.turns.items {
			s.t.cost = d.tag(s.t)
			d.costs.set(s.t, true)
		}
	}
	for {
		t := d.costs.items[0].t
		cost := d.tag(t)
		if cost <= t.cost {
			return t
		}
		t.cost = cost
		d.costs.set(t, true)
	}
}

// trying tells whether a trial is out.
func (ep *endpoint) trying() bool {
	return slices.ContainsFunc(ep.calls, func(c *call) bool { return c.trial })
}

// ready counts the endpoints listed ready.
func (t *dest) ready() (n int) {
	for _, ep := range t.eps {
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

// newPace returns a pace as of now.
func (d *Dispatcher) newPace() *pace {
	return &pace{at: d.now, tokens: 1, allow: unfelt, ok: meter{tau: rateTau, at: d.now, t0: d.now}}
}

func byAim(m *message, at Time) int { return cmp.Compare(m.born+m.class.Target, at) }

// worth is what delivering the message at t would earn.
func (d *Dispatcher) worth(m *message, t Time) float64 {
	c, v := m.class, m.class.Value
	if m.over {
		v *= d.set.OverQuotaFactor
	}
	late := t - m.born - c.Target
	switch {
	case t >= m.deadline:
		return 0
	case late <= 0:
		return v
	case d.set.HalveLateValue:
		return v * max(c.LateValue, math.Exp2(-float64(late)/float64(max(c.Target, 1))))
	}
	return v * (1 - (1-c.LateValue)*float64(late)/float64(max(c.Deadline-c.Target, 1)))
}

// tidy forgets what is of no more use: gone endpoints without calls, unlisted destinations and keys at rest.
// A told wait binds until it is over, a drain while calls are out, and a key's rest while it lasts.
func (d *Dispatcher) tidy() {
	for _, t := range d.dests {
		t.eps = slices.DeleteFunc(t.eps, func(ep *endpoint) bool {
			old := ep.health == Gone && len(ep.calls) == 0 && ep.pace.wait <= d.now
			if old {
				delete(d.byID, ep.id)
				delete(d.byHint, hintName(ep.id))
				if ill(ep) || ep.errs > 0 || ep.pace.shutSeen {
					d.outageChanged(ep)
				}
			}
			return old
		})
	}
	d.dests = slices.DeleteFunc(d.dests, func(t *dest) bool {
		switch {
		case t.open > 0 || t.w > 0 || t.pace.wait > d.now:
			return false
		case len(t.eps) == 0:
			delete(d.byNo, t.no)
			return true
		case !d.set.Gossip && d.quiet(t):
			d.forget(t)
			return true
		}
		return false
	})
	for no, lines := range d.idle {
		d.idle[no] = slices.DeleteFunc(lines, func(l line) bool {
			if l.health == Gone {
				delete(d.owner, l.id)
			}
			return l.health == Gone
		})
		if len(d.idle[no]) == 0 {
			delete(d.idle, no)
		}
	}
	d.resting = slices.DeleteFunc(d.resting, func(k *keyTurn) bool {
		old := len(k.queue) == 0 && k.rest <= d.now
		if old {
			delete(d.keys, k.key)
		}
		return old
	})
}

// note tells the operators something, if nothing else was told lately.
func (d *Dispatcher) note(t *dest, what string) {
	if d.now >= d.noteAt {
		d.noteAt = d.now + seldom
		d.out = append(d.out, Action{Kind: Log, Text: fmt.Sprintf("destination %d %s", t.no, what)})
	}
}

// dest returns a destination, making it when something is first asked for there, as if it had been since it was listed.
func (d *Dispatcher) dest(no int) *dest {
	t := d.byNo[no]
	if t == nil {
		lines, now := d.idle[no], d.now
		if len(lines) > 0 {
			d.now = lines[0].at
		}
		t = &dest{no: no, batch: 1, starting: true, lanes: make([][]*message, 2*len(d.set.Classes))}
		t.kind = d.kinds[0]
		t.pace = d.newPace()
		t.demand = meter{tau: demandTau, at: d.now, t0: d.now}
		d.byNo[no] = t
		d.dests = append(d.dests, t)
		delete(d.idle, no)
		if t.wmax, t.list = d.fair, d.lists; len(lines) == 0 {
			t.wmax = max(1, d.set.Slots/(len(d.dests)+len(d.idle)))
		}
		for _, l := range lines {
			d.now = l.at
			delete(d.owner, l.id)
			d.enlist(t, &Entry{Endpoint: l.id, Dest: no, Zone: int(l.zone), DestinationKind: int(l.kind), Health: l.health, Weight: l.weight})
		}
		d.now = now
	}
	return t
}

// remember keeps a line of the list for a destination that nothing was asked for yet.
func (d *Dispatcher) remember(n *Entry) {
	if no, known := d.owner[n.Endpoint]; known && no != n.Dest || d.byID[n.Endpoint] != nil {
		return // an endpoint does not change its destination
	}
	d.owner[n.Endpoint] = n.Dest
	lines := d.idle[n.Dest]
	i := slices.IndexFunc(lines, func(l line) bool { return l.id == n.Endpoint })
	if i < 0 {
		i = len(lines)
		lines = append(lines, line{id: n.Endpoint, at: d.now})
		d.idle[n.Dest] = lines
	}
	l := &lines[i]
	l.zone, l.kind, l.health, l.weight = int32(n.Zone), int32(n.DestinationKind), n.Health, n.Weight
}

// forget makes a destination that has been quiet for long a line of the list again.
func (d *Dispatcher) forget(t *dest) {
	delete(d.byNo, t.no)
	for _, ep := range t.eps {
		delete(d.byID, ep.id)
		delete(d.byHint, hintName(ep.id))
		weight := t.share
		if ep.pace != t.pace {
			weight = ep.pace.bound / d.slack
		}
		kind := slices.Index(d.kinds, t.kind)
		d.remember(&Entry{Endpoint: ep.id, Dest: t.no, Zone: ep.zone, DestinationKind: kind, Health: ep.health, Weight: weight})
	}
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
		for _, lines := range d.idle {
			for i := range lines {
				lines[i].health = Gone
			}
		}
	}
	for i := range e.Entries {
		d.entry(&e.Entries[i])
	}
	d.lists++
	d.fair = max(1, d.set.Slots/max(1, len(d.dests)+len(d.idle)))
}

// entry takes one line of the list. Peers may speak of any destination, so all are held in full where there are some.
func (d *Dispatcher) entry(n *Entry) {
	if t := d.byNo[n.Dest]; t != nil || d.set.Gossip {
		d.enlist(d.dest(n.Dest), n)
		return
	}
	d.remember(n)
}

// enlist gives a destination a line of the list.
func (d *Dispatcher) enlist(t *dest, n *Entry) {
	apart := false
	if n.DestinationKind >= 0 && n.DestinationKind < len(d.set.DestinationKinds) {
		t.kind = d.kinds[n.DestinationKind]
		t.batch, apart = d.set.DestinationKinds[n.DestinationKind].MaxBatch, d.set.DestinationKinds[n.DestinationKind].PerEndpointLimits
	}
	ep := d.byID[n.Endpoint]
	if ep == nil {
		if _, other := d.owner[n.Endpoint]; other {
			return
		}
		ep = &endpoint{id: n.Endpoint, dest: t, pace: t.pace}
		if apart {
			ep.pace = d.newPace()
		}
		d.byID[n.Endpoint] = ep
		d.byHint[hintName(n.Endpoint)] = ep
	}
	if ep.dest != t {
		return // an endpoint does not change its destination
	}
	if !slices.Contains(t.eps, ep) {
		d.joined(t, ep)
		t.eps = append(t.eps, ep)
	}
	ep.zone, ep.health = n.Zone, n.Health
	d.awaken(t)
	if n.Weight > 0 && n.Weight <= math.MaxFloat32 && d.set.Weights != WeightNone {
		t.share = n.Weight
		ep.pace.bound = n.Weight * d.slack
	}
}

// end drops a message that is answered; one with an attempt out is kept until its outcome.
func (d *Dispatcher) end(m *message) {
	if !m.ended {
		m.ended = true
		d.open--
		m.dest.open--
		m.dest.drop(m)
		d.place(m.dest)
	}
	if m.out != nil {
		return
	}
	delete(d.msgs, m.id)
	if m.key != nil {
		d.turn(m.key)
	}
}

// turn puts the message whose turn it is into its hold. One that waits for its turn is in no hold.
func (d *Dispatcher) turn(k *keyTurn) {
	for len(k.queue) > 0 && k.queue[0].ended && k.queue[0].out == nil {
		k.queue = k.queue[1:]
	}
	if len(k.queue) == 0 {
		if !k.parked { // its rest binds those to come; it is dropped later
			k.parked = true
			d.resting = append(d.resting, k)
		}
		return
	}
	if m := k.queue[0]; !m.ended && !m.held && m.out == nil {
		d.hold(m)
	}
}

// hintName is the short name of an endpoint in notes, the same at every dispatcher.
func hintName(e EndpointID) uint32 {
	h := uint64(e) * 0x9E3779B97F4A7C15
	return uint32(h >> 40)
}

// share sends what this round has to tell the peers.
func (d *Dispatcher) share() {
	if len(d.notes) > 0 {
		d.out = append(d.out, Action{Kind: SendGossip, Text: string(d.notes)})
		d.notes = d.notes[:0]
	}
}

// handle takes an event to where it is dealt with.
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
	case TimerFired:
		if m := d.msgs[MessageID(e.TimerToken-1)]; e.TimerToken > 0 && m != nil && !m.ended {
			d.due(m)
		}
	case GossipReceived:
		d.hear(e.Payload)
	case ListUpdate:
		d.list(e)
		d.listed(e.ListKind)
	case OutageRestored:
		d.restoreOutage(e.Outage)
	case RecordingStatus:
		d.unrecorded = e.RecordingFails
		for _, t := range d.dests {
			d.awaken(t)
		}
	case Shutdown:
		d.closing(e.TimeLeft, e.KeepHeld)
	}
}

// begin starts the measures that need the first round's time.
func (d *Dispatcher) begin() {
	if d.set.HasPredecessor {
		d.keysRest = d.now + d.set.SettleTime
	}
	d.all = meter{tau: demandTau, at: d.now, t0: d.now}
	for i := range d.tenants {
		d.tenants[i] = d.all
	}
}

// sample learns the latency of a destination and of its kind.
func (d *Dispatcher) sample(t *dest, lag float64) {
	if t.lat.n == 0 {
		t.lat.mean, t.lat.dev = d.latency(t)
		t.base = lag
	}
	t.lat.add(lag, max(latGain, 1/(t.lat.n+priorCount+1)))
	t.base += baseGain * (lag - t.base)
	t.kind.lat.add(lag, max(baseGain, 1/(t.kind.lat.n+1)))
}

// stayAwake asks for a next round: soon while calls are out, else when the first sleeper is to be looked at.
func (d *Dispatcher) stayAwake() {
	after, n := wakeTicks*d.set.Tick, d.naps.items
	switch {
	case d.busy > 0:
	case len(n) > 0 && n[0].t.lookAt < never:
		after = max(n[0].t.lookAt-d.now, after) // what is polled needs no more than that
	default:
		return
	}
	if at := d.now + after; d.wake <= d.now || at < d.wake {
		d.wake = at
		d.out = append(d.out, Action{Kind: Timer, After: after})
	}
}

// take has a call hold a slot, free gives it back.
func (d *Dispatcher) take(c *call) {
	c.left = len(c.msgs)
	d.busy++
	c.ep.dest.w++
	c.ep.calls = append(c.ep.calls, c)
	c.ep.open, c.ep.used = true, d.now
	d.place(c.ep.dest)
}

func (d *Dispatcher) free(c *call) {
	d.busy--
	c.ep.dest.w--
	c.ep.calls = slices.DeleteFunc(c.ep.calls, func(o *call) bool { return o == c })
	c.ep.used = d.now
	d.left = append(d.left, c.ep)
	d.awaken(c.ep.dest)
}

// holds tells whether a message of a class with that effect is held.
func (t *dest) holds(e RepeatEffect) bool {
	return slices.ContainsFunc(t.lanes, func(l []*message) bool { return len(l) > 0 && l[0].class.Effect == e })
}

// each calls f for every message held.
func (t *dest) each(f func(*message)) {
	for i := range t.lanes {
		for _, m := range slices.Clone(t.lanes[i]) {
			f(m)
		}
	}
}

// made counts the attempts that were sent.
func (m *message) made() int { return m.tries - m.unsent }

// lasts is when a message can't be sent any more: at its deadline, or once partners forget the key of one that may have run.
func (m *message) lasts() Time {
	if m.doubt && m.class.Effect == Deduplicated {
		return min(m.deadline, m.doubtAt+m.class.DedupWindow-StallMargin)
	}
	return m.deadline
}

// opens tells when the first endpoint that the message may go to is past its wait, 0 if none is listed.
func (d *Dispatcher) opens(m *message) Time {
	at, any := Time(math.MaxInt64), false
	for _, ep := range m.dest.eps {
		if ep.health == Ready && !(m.doubt && m.class.DedupPerZone && ep.zone != m.doubtZone) {
			at, any = min(at, ep.pace.wait), true
		}
	}
	if !any {
		return 0
	}
	return at
}
