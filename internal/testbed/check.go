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

// callBudget is how many calls may come within Span, so long after the return: N, and something for chance.
func (s *SlowStart) callBudget(since time.Duration) float64 {
	capacityFraction := min(1, s.InitialFraction+(1-s.InitialFraction)*since.Seconds()/s.WarmUp.Seconds())
	expected := s.OverloadFactor * s.Capacity * capacityFraction * s.OverloadWindow.Seconds()
	if expected < 30 {
		return expected + 3*math.Sqrt(expected) + 3
	}
	return expected + 2*math.Sqrt(expected) + 2
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

// messageState is what the checker knows of one message.
type messageState struct {
	accepted              *Event
	rejected              bool // its client heard that handing it in again is harmless
	deliveredAt           time.Time
	noticedAt             time.Time         // by a notice
	openCall              int               // the call that is out, 0 for none
	possiblyExecuted      bool              // a call that ended may have run
	callStarts            map[int]time.Time // when each call began
	possiblyExecutedSince time.Time         // when the first call that may have run began
	deliveryKnown         bool              // a process that still runs heard that it was delivered
	orphanedCall          int               // the call that was out when a process ended: nobody hears its answer, 0 for none
}

// node is the dispatcher that a message was handed to.
func (m *messageState) node() string {
	if m.accepted == nil {
		return ""
	}
	return m.accepted.Node
}

// hostState is what the checker knows of an endpoint.
type hostState struct {
	disturbances []Event         // spans in which answers may not arrive
	coldCalls    []time.Time     // calls since its outage ended, for ColdBudget; nil where there was none
	down         bool            // its outage goes on
	awareNodes   map[string]bool // dispatchers that saw a call fail in its last outage
	recoveredAt  time.Time       // when that ended
	recentCalls  []arrival       // since then
	overloaded   bool
}

// arrival is a call at a cold host.
type arrival struct {
	at   time.Time
	call int
	node string
}

// Check tells which of the six rules were broken, from what passed on the sockets.
func Check(events []Event, r Rules, end time.Time) (faults []string) {
	c := &checker{rules: r, messages: map[string]*messageState{}, unavailable: map[listedHost]Event{}, waits: map[waitingDest]Event{}, hosts: map[string]*hostState{},
		callEnds: map[messageCall]time.Time{}, messageEnds: map[string]time.Time{}}
	events = slices.Clone(events)
	slices.SortStableFunc(events, func(a, b Event) int { return a.At.Compare(b.At) })
	for i := range events {
		c.indexEvent(&events[i])
	}
	for i := range events {
		c.applyEvent(&events[i])
	}
	for name, m := range c.messages {
		c.checkEnd(name, m, end)
	}
	slices.Sort(c.violations)
	return c.violations
}

type checker struct {
	rules       Rules
	messages    map[string]*messageState
	unavailable map[listedHost]Event // hosts that are draining or gone
	waits       map[waitingDest]Event
	hosts       map[string]*hostState
	callEnds    map[messageCall]time.Time // of calls
	messageEnds map[string]time.Time      // of messages: delivered, or told by a notice
	violations  []string
}

// listedHost is a host as a dispatcher's list has it.
type listedHost struct{ node, host string }

// waitingDest is a destination that told a dispatcher to wait.
type waitingDest struct {
	node string
	dest int
}

// out is one message of a call.
type messageCall struct {
	name string
	call int
}

func (c *checker) violation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

func (c *checker) message(name string) *messageState {
	m := c.messages[name]
	if m == nil {
		m = &messageState{callStarts: map[int]time.Time{}}
		c.messages[name] = m
	}
	return m
}

func (c *checker) host(name string) *hostState {
	h := c.hosts[name]
	if h == nil {
		h = &hostState{}
		c.hosts[name] = h
	}
	return h
}

// indexEvent takes what is known late: the 202 may be behind the call.
func (c *checker) indexEvent(e *Event) {
	switch e.Kind {
	case Accepted:
		c.message(e.Name).accepted = e
	case CallAnswered, CallBroken:
		c.callEnds[messageCall{e.Name, e.Call}] = e.At
		if e.Kind == CallAnswered && e.Status == 200 {
			c.noteMessageEnd(e)
		}
	case NoticeReceived:
		c.noteMessageEnd(e)
	case NetworkDisturbed:
		h := c.host(e.Host)
		h.disturbances = append(h.disturbances, *e)
	case Refused:
		if e.Status == 429 || e.Status == 503 {
			c.message(e.Name).rejected = true
		}
	}
}

// ended notes the first end of a message.
func (c *checker) noteMessageEnd(e *Event) {
	if _, ok := c.messageEnds[e.Name]; !ok {
		c.messageEnds[e.Name] = e.At
	}
}

func (c *checker) applyEvent(e *Event) {
	switch e.Kind {
	case CallReceived:
		c.applyCallStart(e)
	case CallAnswered, CallBroken:
		c.applyCallEnd(e)
	case NoticeReceived:
		if m := c.message(e.Name); m.noticedAt.IsZero() {
			m.noticedAt = e.At
		}
	case HealthListed:
		if at := (listedHost{e.Node, e.Host}); e.Health == "ready" {
			delete(c.unavailable, at)
		} else if _, ok := c.unavailable[at]; !ok {
			c.unavailable[at] = *e
		}
	case OutageBegan:
		h := c.host(e.Host)
		h.down, h.awareNodes, h.recentCalls = true, map[string]bool{}, nil
	case OutageEnded:
		h := c.host(e.Host)
		h.down, h.recoveredAt, h.overloaded = false, e.At, false
		if h.awareNodes == nil { // nothing is known of who saw it
			h.coldCalls = []time.Time{}
		}
	case Restarted:
		c.applyRestart(e.Node)
	case ClosedUnanswered:
		c.violation("rule 1: the connection of %s was ended with no answer", e.Name)
	}
}

// applyRestart ends the waits that a dispatcher was told. An answer that was on its way is lost: what may be repeated may come
// again.
func (c *checker) applyRestart(node string) {
	for at := range c.waits {
		if at.node == node {
			delete(c.waits, at)
		}
	}
	for _, m := range c.messages {
		if m.node() == node {
			m.deliveryKnown, m.orphanedCall = false, m.openCall
		}
	}
}

func (c *checker) applyCallStart(e *Event) {
	m := c.message(e.Name)
	disturbed := c.host(e.Host).mayLoseAnswer(e.At)
	if m.deliveryKnown && e.At.Sub(m.deliveredAt) < c.rules.ObservationLag { // given up as its answer came
		m.deliveryKnown = false
	}
	switch {
	case disturbed: // what it crossed on its way can't be told
	case !m.noticedAt.IsZero() && e.At.After(m.noticedAt.Add(c.rules.ObservationLag)): // a call that left before is seen here a little later
		c.violation("rule 1: %s is called after its notice", e.Name)
	case m.deliveryKnown:
		c.violation("rule 1: %s is called after it was delivered", e.Name)
	case m.rejected:
		c.violation("rule 1: %s is called though it was refused", e.Name)
	}
	c.checkRepeat(e, m, disturbed)
	m.callStarts[e.Call] = e.At
	m.openCall = e.Call
	if t, ok := c.unavailable[listedHost{m.node(), e.Host}]; ok && !disturbed && e.At.After(t.At.Add(c.rules.DrainGrace)) {
		c.violation("rule 3: %s is called at %s %v after that was told as %s", e.Name, e.Host, e.At.Sub(t.At), t.Health)
	}
	c.checkColdCall(e, m)
	if w, ok := c.waits[waitingDest{m.node(), e.Dest}]; ok && !disturbed && !c.host(w.Host).mayLoseAnswer(w.At) && e.At.After(w.At.Add(c.rules.WaitGrace)) && e.At.Before(w.At.Add(w.Wait)) {
		c.violation("rule 6: %s is called at destination %d within its wait", e.Name, e.Dest)
	}
	if m.accepted != nil && !disturbed && m.accepted.Key != "" && slices.Contains(c.rules.Ordered, m.accepted.Class) {
		c.checkOrder(e, m)
	}
}

// checkRepeat checks a call beside those before it; late tells that it may have left long before it came.
func (c *checker) checkRepeat(e *Event, m *messageState, disturbed bool) {
	if endedAt, ok := c.callEnds[messageCall{e.Name, m.openCall}]; m.openCall != 0 && (!ok || endedAt.After(e.At.Add(c.rules.ObservationLag))) {
		c.violation("rule 2: %s has two calls out", e.Name)
	}
	if m.accepted == nil {
		return
	}
	if slices.Contains(c.rules.AtMostOnce, m.accepted.Class) && (m.possiblyExecuted || m.openCall != 0) {
		c.violation("rule 2: %s is called again though it may have run", e.Name)
	}
	window, keyed := c.rules.DedupWindows[m.accepted.Class]
	if keyed && !disturbed && !m.possiblyExecutedSince.IsZero() && e.At.After(m.possiblyExecutedSince.Add(window)) {
		c.violation("rule 2: %s is repeated %v after a call that may have run, its window is %v", e.Name, e.At.Sub(m.possiblyExecutedSince), window)
	}
}

// checkColdCall checks a call at a host that is cold.
func (c *checker) checkColdCall(e *Event, m *messageState) {
	h := c.host(e.Host)
	if h.coldCalls != nil {
		h.coldCalls = append(h.coldCalls, e.At)
		if n := len(h.coldCalls); n > c.rules.ColdBudget && e.At.Sub(h.coldCalls[n-1-c.rules.ColdBudget]) < c.rules.ColdWindow {
			c.violation("rule 4: %s is pushed over by %s", e.Host, e.Name)
		}
	}
	s := c.rules.SlowStart
	if s == nil || h.awareNodes == nil || h.overloaded {
		return
	}
	if n := len(h.recentCalls); n == 0 || h.recentCalls[n-1].call != e.Call {
		h.recentCalls = append(h.recentCalls, arrival{e.At, e.Call, m.node()})
	}
	if since := e.At.Sub(h.recoveredAt); !h.down && since < s.WarmUp {
		c.checkSlowStart(e, h, s, since)
	}
}

// checkSlowStart checks the calls of the last span against the budget.
func (c *checker) checkSlowStart(e *Event, h *hostState, s *SlowStart, since time.Duration) {
	h.recentCalls = slices.DeleteFunc(h.recentCalls, func(a arrival) bool { return e.At.Sub(a.at) > s.OverloadWindow })
	budget := s.callBudget(since)
	if float64(len(h.recentCalls)) <= budget {
		return
	}
	h.overloaded = true
	aware := 0
	for _, call := range h.recentCalls {
		if h.awareNodes[call.node] {
			aware++
		}
	}
	if float64(aware) > s.MaxAwareShare*float64(len(h.recentCalls)) {
		c.violation("rule 4: %s fell over %v after its return: %d calls in %v, %d of them of those who had seen its outage, %.1f are borne", e.Host, since,
			len(h.recentCalls), s.OverloadWindow, aware, budget)
	}
}

// checkOrder checks the order within a key: no call while an earlier one is unfinished.
func (c *checker) checkOrder(e *Event, m *messageState) {
	for name, other := range c.messages {
		if name == e.Name || other.accepted == nil || other.accepted.Key != m.accepted.Key || other.accepted.Node != m.accepted.Node || !other.accepted.At.Before(m.accepted.At) {
			continue
		}
		endedAt, ok := c.messageEnds[name]
		if other.openCall != 0 || !ok || endedAt.After(e.At.Add(c.rules.ObservationLag)) { // its end may be seen here a little later than it came
			c.violation("rule 5: %s is called while %s of the same key is unfinished", e.Name, name)
		}
	}
}

func (c *checker) applyCallEnd(e *Event) {
	m := c.message(e.Name)
	if m.openCall == e.Call {
		m.openCall = 0
	}
	h := c.host(e.Host)
	switch {
	case e.Kind == CallAnswered && e.Status == 200:
		m.deliveryKnown, m.possiblyExecuted = m.deliveryKnown || e.Call != m.orphanedCall && !h.mayLoseAnswer(e.At), true
		if m.deliveredAt.IsZero() {
			m.deliveredAt = e.At
		}
	case e.Kind == CallBroken || e.Status >= 500 && e.Status != 503 && e.Status != 504:
		m.possiblyExecuted = true
	}
	if m.possiblyExecuted && m.possiblyExecutedSince.IsZero() {
		m.possiblyExecutedSince = m.callStarts[e.Call]
	}
	if h.down && (e.Kind == CallBroken || e.Status != 200) {
		h.awareNodes[m.node()] = true
	}
	if e.Wait > 0 {
		at := waitingDest{m.node(), e.Dest}
		if w, ok := c.waits[at]; !ok || e.At.Add(e.Wait).After(w.At.Add(w.Wait)) {
			c.waits[at] = *e
		}
	}
}

// disturbanceLead is how long ahead of a network's fault an answer may have been written that it still takes away.
const disturbanceLead = time.Second

// mayLoseAnswer tells whether an answer written then may not arrive.
func (h *hostState) mayLoseAnswer(at time.Time) bool {
	return slices.ContainsFunc(h.disturbances, func(e Event) bool { return at.After(e.At.Add(-disturbanceLead)) && at.Before(e.Due) })
}

// checkEnd checks that a message has its end in time.
func (c *checker) checkEnd(name string, m *messageState, end time.Time) {
	if m.accepted == nil || m.accepted.Due.Add(c.rules.EndSlack).After(end) {
		return
	}
	deadline := m.accepted.Due.Add(c.rules.EndSlack)
	if (m.deliveredAt.IsZero() || m.deliveredAt.After(deadline)) && (m.noticedAt.IsZero() || m.noticedAt.After(deadline)) {
		c.violation("rule 1: %s was taken and has no end in time", name)
	}
}

var kindNames = [...]string{Accepted: "taken", Refused: "refused", CallReceived: "called", CallAnswered: "answered", CallBroken: "broke", NoticeReceived: "noticed",
	HealthListed: "listed", OutageBegan: "outage began", OutageEnded: "outage ended", Restarted: "restarted", WatchOpened: "watched", ListSent: "told",
	NetworkDisturbed: "unheard", ClosedUnanswered: "closed"}

// String is the event as a line.
func (e Event) String() string {
	line := fmt.Sprintf("%s %s", e.At.Format("15:04:05.000000"), kindNames[e.Kind])
	for _, field := range []struct{ name, text string }{{"node", e.Node}, {"message", e.Name}, {"class", e.Class}, {"host", e.Host}, {"health", e.Health}, {"key", e.Key}, {"", e.Text}} {
		if field.text != "" {
			line += " " + field.name + " " + field.text
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
