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
}

// keyTurn orders the messages that share a key.
type keyTurn struct {
	key   uint64
	queue []*message
	rest  Time
}

// endpoint is a place to send to, with its own health.
type endpoint struct {
	id                      Endpoint
	dest                    *dest
	zone                    int
	health                  Health
	pace                    *pace
	calls                   []*call // out, oldest first
	conns, maxOut           int     // connections thought open; cap learned from connect failures, 0 none
	used, heard, okSent     Time    // last use; last answer; send time of the newest call answered ok
	bad                     int     // failed calls in a row
	suspect, proven         bool    // not fed; its last failure proved that calls do not run there
	downAt, trialAt, coldAt Time    // while suspect: since when, next trial; start of its ramp, 0 none
	trialGap, pushAt        Time
	push                    float64 // calls that the ramp permits now
}

// pace is what bounds the rate to a destination, or to one route where routes are apart.
type pace struct {
	wait, at, cutAt, fullSince Time // wait is told, or our own backoff
	rate, bound, tokens        float64
	streak                     int
	ok                         meter
}

// dest is a destination: its hold, turn counter, window and what was learned.
type dest struct {
	eps            []*endpoint
	pace           *pace
	batch          int
	weight, acc    float64
	lanes          [][]*message // by class and over-share, oldest first
	held           int
	w, wmax        int
	starting       bool
	ends, badEnds  int
	lat, dev, base float64 // latency, its deviation, its long view
	demand         meter
	blocked        uint64 // round in which nothing more can go
}

// meter is a rate with exponential decay.
type meter struct {
	v           float64
	at, tau, t0 Time
}

func (m *meter) add(now Time, n float64) {
	m.v = m.v*math.Exp(-float64(now-m.at)/float64(m.tau)) + n
	m.at = now
}

// rate is per second; the start is corrected for the short history.
func (m *meter) rate(now Time) float64 {
	span := 1 - math.Exp(-float64(now-m.t0+meterStart)/float64(m.tau))
	return m.v * math.Exp(-float64(now-m.at)/float64(m.tau)) / m.tau.seconds() / span
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

// troubled tells whether an endpoint of the destination is suspect.
func (t *dest) troubled() bool {
	return slices.ContainsFunc(t.eps, func(ep *endpoint) bool { return ep.suspect })
}

// healthy tells whether a destination has an endpoint that is not suspect.
func (t *dest) healthy() bool {
	return slices.ContainsFunc(t.eps, func(ep *endpoint) bool { return ep.health == Ready && !ep.suspect })
}

// trying tells whether a trial is out.
func (ep *endpoint) trying() bool {
	return slices.ContainsFunc(ep.calls, func(c *call) bool { return c.trial })
}

// well tells that an endpoint is listed ready, not suspect and not cold.
func well(ep *endpoint) bool { return ep.health == Ready && !ep.suspect && ep.coldAt == 0 }

// random returns a number from 0 to 1, from the seed alone.
func (d *Dispatcher) random() float64 {
	d.rng ^= d.rng << 13
	d.rng ^= d.rng >> 7
	d.rng ^= d.rng << 17
	return float64(d.rng>>11) / (1 << 53)
}

// ill tells that an endpoint is suspect or cold.
func ill(ep *endpoint) bool { return ep.suspect || ep.coldAt != 0 }

// share is the listed weight, else 1.
func (t *dest) share() float64 {
	if t.weight <= 0 {
		return 1
	}
	return t.weight
}

func (d *Dispatcher) newPace() *pace {
	return &pace{at: d.now, tokens: 1, ok: meter{tau: rateTau, at: d.now, t0: d.now}}
}

func byAim(m *message, at Time) int { return cmp.Compare(m.born+m.class.Aim, at) }
