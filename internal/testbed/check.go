package testbed

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Kind is what happened.
type Kind uint8

// Kinds of event. Those of one dispatcher among several name it in Node.
const (
	Accepted         Kind = iota + 1 // a client heard 202 [Name Dest Class Due Key Node]
	Refused                          // a client heard anything else, or nothing [Name Status Node]
	CallReceived                     // the last byte of a call arrived, an event for each message [Name Host Dest Call]
	CallAnswered                     // the call's answer was written [Name Host Dest Call Status Wait]
	CallBroken                       // the call's connection ended without an answer [Name Host Dest Call]
	NoticeReceived                   // a notice came [Name Status]
	HealthListed                     // the list told of a host [Host Health Node]
	OutageBegan                      // calls at a host fail from now on [Host]
	OutageEnded                      // a host's outage ended: it is cold [Host]
	Restarted                        // the dispatcher was started anew: told waits end [Node]
	WatchOpened                      // a watch of the list was opened
	ListSent                         // a list was written to a watch
	NetworkDisturbed                 // the network to a host is spoilt until Due: answers from a second ahead may be lost, calls come late [Host Due]
	ClosedUnanswered                 // the dispatcher ended a connection under a whole request, with no answer [Name Node]
)

// Event is one thing that passed on the sockets.
type Event struct {
	At     time.Time
	Kind   Kind
	Node   string // the dispatcher, where there are several
	Name   string // of a message
	Class  string
	Dest   int
	Host   string
	Call   int
	Status int
	Wait   time.Duration
	Due    time.Time
	Key    string
	Health string
	Text   string
}

// SlowStart are the figures of a cold host's budget.
type SlowStart struct {
	Capacity        float64       // calls a second that a warm host bears
	InitialFraction float64       // part of that which it bears as it returns
	WarmUp          time.Duration // until it bears all
	OverloadFactor  float64       // of what it bears ...
	OverloadWindow  time.Duration // ... in any span of this it may be sent
	MaxAwareShare   float64       // broken where more than this part came from dispatchers that had seen the outage
}

// budget is how many calls may come within Span, so long after the return: N, and something for chance.
func (s *SlowStart) budget(since time.Duration) float64 {
	warmth := min(1, s.InitialFraction+(1-s.InitialFraction)*since.Seconds()/s.WarmUp.Seconds())
	n := s.OverloadFactor * s.Capacity * warmth * s.OverloadWindow.Seconds()
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// Rules are the figures that the checker needs.
type Rules struct {
	EndSlack       time.Duration            // after a message's time in which its end still counts
	DrainGrace     time.Duration            // after a drain in which calls may still begin
	AtMostOnce     []string                 // classes that must not take effect twice
	DedupWindows   map[string]time.Duration // keyed classes: how long after a call that may have run another may begin
	Ordered        []string                 // classes that take turns by key
	ColdBudget     int                      // calls that a cold host bears ...
	ColdWindow     time.Duration            // ... in any span of this
	SlowStart      *SlowStart               // the same by the platform's figures, for all dispatchers together; nil for none
	WaitGrace      time.Duration            // after a told wait's answer in which calls are let through
	ObservationLag time.Duration            // after which the end of a connection is seen here at the latest
}

// message is what the checker knows of one message.
type message struct {
	taken     *Event
	refused   bool // its client heard that handing it in again is harmless
	delivered time.Time
	ended     time.Time         // by a notice
	out       int               // the call that is out, 0 for none
	mayRun    bool              // a call that ended may have run
	begun     map[int]time.Time // when each call began
	doubtful  time.Time         // when the first call that may have run began
	served    bool              // a process that still runs heard that it was delivered
	orphan    int               // the call that was out when a process ended: nobody hears its answer, 0 for none
}

// node is the dispatcher that a message was handed to.
func (m *message) node() string {
	if m.taken == nil {
		return ""
	}
	return m.taken.Node
}

// host is what the checker knows of an endpoint.
type host struct {
	unheard []Event         // spans in which answers may not arrive
	cold    []time.Time     // calls since its outage ended, for ColdBudget; nil where there was none
	down    bool            // its outage goes on
	told    map[string]bool // dispatchers that saw a call fail in its last outage
	back    time.Time       // when that ended
	calls   []arrival       // since then
	fell    bool
}

// arrival is a call at a cold host.
type arrival struct {
	at   time.Time
	call int
	node string
}

// Check tells which of the six rules were broken, from what passed on the sockets.
func Check(events []Event, r Rules, end time.Time) (faults []string) {
	c := &checker{r: r, msgs: map[string]*message{}, told: map[listing]Event{}, waits: map[waiting]Event{}, hosts: map[string]*host{},
		ends: map[out]time.Time{}, over: map[string]time.Time{}}
	events = slices.Clone(events)
	slices.SortStableFunc(events, func(a, b Event) int { return a.At.Compare(b.At) })
	for i := range events {
		c.foresee(&events[i])
	}
	for i := range events {
		c.event(&events[i])
	}
	for name, m := range c.msgs {
		c.finish(name, m, end)
	}
	slices.Sort(c.faults)
	return c.faults
}

type checker struct {
	r      Rules
	msgs   map[string]*message
	told   map[listing]Event // hosts that are draining or gone
	waits  map[waiting]Event
	hosts  map[string]*host
	ends   map[out]time.Time    // of calls
	over   map[string]time.Time // of messages: delivered, or told by a notice
	faults []string
}

// listing is a host as a dispatcher's list has it.
type listing struct{ node, host string }

// waiting is a destination that told a dispatcher to wait.
type waiting struct {
	node string
	dest int
}

// out is one message of a call.
type out struct {
	name string
	call int
}

func (c *checker) fault(f string, a ...any) { c.faults = append(c.faults, fmt.Sprintf(f, a...)) }

func (c *checker) get(name string) *message {
	m := c.msgs[name]
	if m == nil {
		m = &message{begun: map[int]time.Time{}}
		c.msgs[name] = m
	}
	return m
}

func (c *checker) host(name string) *host {
	h := c.hosts[name]
	if h == nil {
		h = &host{}
		c.hosts[name] = h
	}
	return h
}

// foresee takes what is known late: the 202 may be behind the call.
func (c *checker) foresee(e *Event) {
	switch e.Kind {
	case Accepted:
		c.get(e.Name).taken = e
	case CallAnswered, CallBroken:
		c.ends[out{e.Name, e.Call}] = e.At
		if e.Kind == CallAnswered && e.Status == 200 {
			c.ended(e)
		}
	case NoticeReceived:
		c.ended(e)
	case NetworkDisturbed:
		h := c.host(e.Host)
		h.unheard = append(h.unheard, *e)
	case Refused:
		if e.Status == 429 || e.Status == 503 {
			c.get(e.Name).refused = true
		}
	}
}

// ended notes the first end of a message.
func (c *checker) ended(e *Event) {
	if _, ok := c.over[e.Name]; !ok {
		c.over[e.Name] = e.At
	}
}

func (c *checker) event(e *Event) {
	switch e.Kind {
	case CallReceived:
		c.called(e)
	case CallAnswered, CallBroken:
		c.back(e)
	case NoticeReceived:
		if m := c.get(e.Name); m.ended.IsZero() {
			m.ended = e.At
		}
	case HealthListed:
		if at := (listing{e.Node, e.Host}); e.Health == "ready" {
			delete(c.told, at)
		} else if _, ok := c.told[at]; !ok {
			c.told[at] = *e
		}
	case OutageBegan:
		h := c.host(e.Host)
		h.down, h.told, h.calls = true, map[string]bool{}, nil
	case OutageEnded:
		h := c.host(e.Host)
		h.down, h.back, h.fell = false, e.At, false
		if h.told == nil { // nothing is known of who saw it
			h.cold = []time.Time{}
		}
	case Restarted:
		c.restarted(e.Node)
	case ClosedUnanswered:
		c.fault("rule 1: the connection of %s was ended with no answer", e.Name)
	}
}

// restarted ends the waits that a dispatcher was told. An answer that was on its way is lost: what may be repeated may come
// again.
func (c *checker) restarted(node string) {
	for at := range c.waits {
		if at.node == node {
			delete(c.waits, at)
		}
	}
	for _, m := range c.msgs {
		if m.node() == node {
			m.served, m.orphan = false, m.out
		}
	}
}

func (c *checker) called(e *Event) {
	m := c.get(e.Name)
	late := c.host(e.Host).loses(e.At)
	if m.served && e.At.Sub(m.delivered) < c.r.ObservationLag { // given up as its answer came
		m.served = false
	}
	switch {
	case late: // what it crossed on its way can't be told
	case !m.ended.IsZero() && e.At.After(m.ended.Add(c.r.ObservationLag)): // a call that left before is seen here a little later
		c.fault("rule 1: %s is called after its notice", e.Name)
	case m.served:
		c.fault("rule 1: %s is called after it was delivered", e.Name)
	case m.refused:
		c.fault("rule 1: %s is called though it was refused", e.Name)
	}
	c.repeat(e, m, late)
	m.begun[e.Call] = e.At
	m.out = e.Call
	if t, ok := c.told[listing{m.node(), e.Host}]; ok && !late && e.At.After(t.At.Add(c.r.DrainGrace)) {
		c.fault("rule 3: %s is called at %s %v after that was told as %s", e.Name, e.Host, e.At.Sub(t.At), t.Health)
	}
	c.push(e, m)
	if w, ok := c.waits[waiting{m.node(), e.Dest}]; ok && !late && !c.host(w.Host).loses(w.At) && e.At.After(w.At.Add(c.r.WaitGrace)) && e.At.Before(w.At.Add(w.Wait)) {
		c.fault("rule 6: %s is called at destination %d within its wait", e.Name, e.Dest)
	}
	if m.taken != nil && !late && m.taken.Key != "" && slices.Contains(c.r.Ordered, m.taken.Class) {
		c.turn(e, m)
	}
}

// repeat checks a call beside those before it; late tells that it may have left long before it came.
func (c *checker) repeat(e *Event, m *message, late bool) {
	if end, ok := c.ends[out{e.Name, m.out}]; m.out != 0 && (!ok || end.After(e.At.Add(c.r.ObservationLag))) {
		c.fault("rule 2: %s has two calls out", e.Name)
	}
	if m.taken == nil {
		return
	}
	if slices.Contains(c.r.AtMostOnce, m.taken.Class) && (m.mayRun || m.out != 0) {
		c.fault("rule 2: %s is called again though it may have run", e.Name)
	}
	window, keyed := c.r.DedupWindows[m.taken.Class]
	if keyed && !late && !m.doubtful.IsZero() && e.At.After(m.doubtful.Add(window)) {
		c.fault("rule 2: %s is repeated %v after a call that may have run, its window is %v", e.Name, e.At.Sub(m.doubtful), window)
	}
}

// push checks a call at a host that is cold.
func (c *checker) push(e *Event, m *message) {
	h := c.host(e.Host)
	if h.cold != nil {
		h.cold = append(h.cold, e.At)
		if n := len(h.cold); n > c.r.ColdBudget && e.At.Sub(h.cold[n-1-c.r.ColdBudget]) < c.r.ColdWindow {
			c.fault("rule 4: %s is pushed over by %s", e.Host, e.Name)
		}
	}
	s := c.r.SlowStart
	if s == nil || h.told == nil || h.fell {
		return
	}
	if n := len(h.calls); n == 0 || h.calls[n-1].call != e.Call {
		h.calls = append(h.calls, arrival{e.At, e.Call, m.node()})
	}
	if since := e.At.Sub(h.back); !h.down && since < s.WarmUp {
		c.fall(e, h, s, since)
	}
}

// fall checks the calls of the last span against the budget.
func (c *checker) fall(e *Event, h *host, s *SlowStart, since time.Duration) {
	h.calls = slices.DeleteFunc(h.calls, func(a arrival) bool { return e.At.Sub(a.at) > s.OverloadWindow })
	budget := s.budget(since)
	if float64(len(h.calls)) <= budget {
		return
	}
	h.fell = true
	told := 0
	for _, a := range h.calls {
		if h.told[a.node] {
			told++
		}
	}
	if float64(told) > s.MaxAwareShare*float64(len(h.calls)) {
		c.fault("rule 4: %s fell over %v after its return: %d calls in %v, %d of them of those who had seen its outage, %.1f are borne", e.Host, since,
			len(h.calls), s.OverloadWindow, told, budget)
	}
}

// turn checks the order within a key: no call while an earlier one is unfinished.
func (c *checker) turn(e *Event, m *message) {
	for name, o := range c.msgs {
		if name == e.Name || o.taken == nil || o.taken.Key != m.taken.Key || o.taken.Node != m.taken.Node || !o.taken.At.Before(m.taken.At) {
			continue
		}
		ended, ok := c.over[name]
		if o.out != 0 || !ok || ended.After(e.At.Add(c.r.ObservationLag)) { // its end may be seen here a little later than it came
			c.fault("rule 5: %s is called while %s of the same key is unfinished", e.Name, name)
		}
	}
}

func (c *checker) back(e *Event) {
	m := c.get(e.Name)
	if m.out == e.Call {
		m.out = 0
	}
	h := c.host(e.Host)
	switch {
	case e.Kind == CallAnswered && e.Status == 200:
		m.served, m.mayRun = m.served || e.Call != m.orphan && !h.loses(e.At), true
		if m.delivered.IsZero() {
			m.delivered = e.At
		}
	case e.Kind == CallBroken || e.Status >= 500 && e.Status != 503 && e.Status != 504:
		m.mayRun = true
	}
	if m.mayRun && m.doubtful.IsZero() {
		m.doubtful = m.begun[e.Call]
	}
	if h.down && (e.Kind == CallBroken || e.Status != 200) {
		h.told[m.node()] = true
	}
	if e.Wait > 0 {
		at := waiting{m.node(), e.Dest}
		if w, ok := c.waits[at]; !ok || e.At.Add(e.Wait).After(w.At.Add(w.Wait)) {
			c.waits[at] = *e
		}
	}
}

// unheardBefore is how long ahead of a network's fault an answer may have been written that it still takes away.
const unheardBefore = time.Second

// loses tells whether an answer written then may not arrive.
func (h *host) loses(at time.Time) bool {
	return slices.ContainsFunc(h.unheard, func(e Event) bool { return at.After(e.At.Add(-unheardBefore)) && at.Before(e.Due) })
}

// finish checks that a message has its end in time.
func (c *checker) finish(name string, m *message, end time.Time) {
	if m.taken == nil || m.taken.Due.Add(c.r.EndSlack).After(end) {
		return
	}
	last := m.taken.Due.Add(c.r.EndSlack)
	if (m.delivered.IsZero() || m.delivered.After(last)) && (m.ended.IsZero() || m.ended.After(last)) {
		c.fault("rule 1: %s was taken and has no end in time", name)
	}
}

var kindNames = [...]string{Accepted: "taken", Refused: "refused", CallReceived: "called", CallAnswered: "answered", CallBroken: "broke", NoticeReceived: "noticed",
	HealthListed: "listed", OutageBegan: "outage began", OutageEnded: "outage ended", Restarted: "restarted", WatchOpened: "watched", ListSent: "told",
	NetworkDisturbed: "unheard", ClosedUnanswered: "closed"}

// String is the event as a line.
func (e Event) String() string {
	line := fmt.Sprintf("%s %s", e.At.Format("15:04:05.000000"), kindNames[e.Kind])
	for _, x := range []struct{ name, text string }{{"node", e.Node}, {"message", e.Name}, {"class", e.Class}, {"host", e.Host}, {"health", e.Health}, {"key", e.Key}, {"", e.Text}} {
		if x.text != "" {
			line += " " + x.name + " " + x.text
		}
	}
	if e.Kind == CallReceived || e.Kind == CallAnswered || e.Kind == CallBroken {
		line += fmt.Sprintf(" dest %d call %d", e.Dest, e.Call)
	}
	if e.Status != 0 {
		line += fmt.Sprintf(" status %d", e.Status)
	}
	if e.Wait != 0 {
		line += fmt.Sprintf(" wait %v", e.Wait)
	}
	return line
}
