package control

// State that control.go decides with, and the plain upkeep of it. Nothing is decided here.

import (
	"cmp"
	"math"
	"slices"
)

// message is one message from arrival to its end and its last outcome.
type message struct {
	id                MessageID
	class             *Class
	dest              *dest
	lane              int
	key               *keyTurn
	born, deadline    Time // when it was first handed in, when it is given up
	arrived           uint64
	over, held, ended bool
	tries             int
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
	idle         Time // how long the connection that it went out on had been idle, 0 if new or in use
}

// keyTurn orders the messages that share a key.
type keyTurn struct {
	key   uint64
	queue []*message
	rest  Time
}

// endpoint is a place to send to, with its own health.
type endpoint struct {
	id                  Endpoint
	dest                *dest
	zone                int
	health              Health
	pace                *pace
	calls               []*call // out, oldest first
	conns               int     // connections thought open
	used, heard, okSent Time    // last use; last answer; send time of the newest call answered ok
	bad, errs           int     // calls in a row that met nobody or silence; answers in a row that were errors
	suspect, proven     bool    // not fed; its last failure proved that calls do not run
	dropped             Time    // idle age of the connection on which the last failed call went out
	downAt, failedAt    Time    // while suspect: since when; when the last failure was known
	trialAt, trialGap   Time    // next trial, and how long until the one after
	coldAt              Time    // start of its ramp, 0 none
	push, past          float64 // calls that the ramp permits now; demand seen when that was reckoned
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
	allow, bound, tokens             float64 // share of the own demand let go, 0 all; listed or reported rate
	past                             float64 // demand seen when the tokens were reckoned
	streak                           int
	ok                               meter
}

// dest is a destination: its hold, turn counter, window and what was learned.
type dest struct {
	no            int
	eps           []*endpoint
	kind          *kind
	pace          *pace
	batch         int
	live          bool // in the list of those with messages held or out
	seen          Time
	weight, acc   float64
	lanes         [][]*message // by class and over-share, oldest first
	held          int
	w, wmax       int
	starting      bool
	ends, badEnds int
	lat           latency
	base          float64 // the long view of its latency
	demand        meter
	blocked       uint64 // round in which nothing more can go
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

// rest takes a destination with nothing held or out off the list of live ones.
func (t *dest) rest() bool {
	t.live = t.held > 0 || t.w > 0
	return !t.live
}

// trying tells whether a trial is out.
func (ep *endpoint) trying() bool {
	return slices.ContainsFunc(ep.calls, func(c *call) bool { return c.trial })
}

// random returns a number from 0 to 1, from the seed alone.
func (d *Dispatcher) random() float64 {
	d.rng ^= d.rng << 13
	d.rng ^= d.rng >> 7
	d.rng ^= d.rng << 17
	return float64(d.rng>>11) / (1 << 53)
}

func (d *Dispatcher) newPace() *pace {
	return &pace{at: d.now, tokens: 1, ok: meter{tau: rateTau, at: d.now, t0: d.now}}
}

func byAim(m *message, at Time) int { return cmp.Compare(m.born+m.class.Aim, at) }
