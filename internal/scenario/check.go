package scenario

import (
	"fmt"
	"io"
	"net/netip"
	"sort"
	"time"

	"whinrun/control"
	"whinrun/internal/load"
	"whinrun/internal/partner"
)

// Violation is one rule broken, with the message and the connection that show it.
type Violation struct {
	Rule    int
	At      time.Duration
	Message string
	Where   string
	Text    string
}

func (b Violation) String() string {
	return fmt.Sprintf("rule %d at %.3f s: message %s, %s: %s", b.Rule, b.At.Seconds(), b.Message, b.Where, b.Text)
}

// Tolerance is what sockets and a busy machine may take beyond a figure of a rule, before that counts as broken.
const Tolerance = 300 * time.Millisecond

// attempt is one call as a stand-in saw it.
type attempt struct {
	received   partner.Event
	end        time.Duration // answer, cut or gone; 0 where it had none
	endKind    partner.EventKind
	status     int
	retryAfter time.Duration
	applied    bool
}

func (a *attempt) where() string {
	return fmt.Sprintf("%s %v connection %d stream %d", a.received.Partner, a.received.Endpoint, a.received.Conn, a.received.Stream)
}

// provenNotExecuted tells that what the stand-in answered proves to the dispatcher that the attempt has not run.
func (a *attempt) provenNotExecuted() bool {
	switch a.endKind {
	case partner.Responded:
		return a.status == 429 || a.status == 503 && a.retryAfter > 0
	case partner.StreamReset:
		return a.status == 7 // REFUSED_STREAM
	}
	return false
}

// endUnknown tells that the dispatcher can't know whether the attempt has run, and that no answer came.
func (a *attempt) endUnknown() bool {
	return a.endKind == partner.PeerClosed || a.endKind == partner.NoResponse
}

// checker holds a record against the rules.
type checker struct {
	recording       *Recording
	classes         map[string]control.Class
	attempts        []*attempt
	byCorrelationID map[string][]*attempt
	readingStopped  []partner.Event // endpoints that read nothing from then on
	violations      []Violation
}

// Check returns the breaches of all six rules that the record shows.
func Check(r *Recording) []Violation {
	c := &checker{recording: r, classes: map[string]control.Class{}, byCorrelationID: map[string][]*attempt{}}
	for _, k := range r.Settings.Classes {
		c.classes[k.Name] = k
	}
	c.collectAttempts()
	c.checkAnswers()
	c.checkEffects()
	c.checkDrains()
	c.checkColdPartners()
	c.checkOrder()
	c.checkToldWaits()
	if r.HasAuditTrail {
		c.checkAuditTrail()
	}
	sort.SliceStable(c.violations, func(i, j int) bool { return c.violations[i].At < c.violations[j].At })
	return c.violations
}

func (c *checker) report(rule int, at time.Duration, message, where, format string, a ...any) {
	c.violations = append(c.violations, Violation{rule, at, message, where, fmt.Sprintf(format, a...)})
}

// collectAttempts puts the events of each call together.
func (c *checker) collectAttempts() {
	type call struct {
		ep     netip.AddrPort
		conn   int
		stream uint32
	}
	open := map[call]*attempt{}
	for _, e := range c.recording.Events {
		k := call{e.Endpoint, e.Conn, e.Stream}
		if e.Kind == partner.RequestReceived {
			a := &attempt{received: e}
			open[k] = a
			c.attempts = append(c.attempts, a)
			c.byCorrelationID[e.CorrelationID] = append(c.byCorrelationID[e.CorrelationID], a)
			continue
		}
		if e.Kind == partner.ReadingStopped {
			c.readingStopped = append(c.readingStopped, e)
		}
		a := open[k]
		if a == nil || e.Stream == 0 {
			continue
		}
		switch e.Kind {
		case partner.Applied:
			a.applied = true
		case partner.Responded, partner.StreamReset, partner.PeerClosed:
			if a.end == 0 {
				a.end, a.endKind, a.status, a.retryAfter = e.At, e.Kind, e.Status, e.RetryAfter
			}
		case partner.NoResponse:
			if a.end == 0 {
				a.endKind = partner.NoResponse
			}
		}
	}
}

// sameDispatcher tells whether one dispatcher ran all the time between two moments, not stopping.
func (c *checker) sameDispatcher(from, to time.Duration) bool {
	for _, l := range c.recording.Runs {
		if from >= l.From && (l.To == 0 || to <= l.To) {
			return true
		}
	}
	return false
}

// checkAnswers is rule 1: one final answer before the time ends, and nothing sent after it.
func (c *checker) checkAnswers() {
	if c.recording.UncleanStop {
		c.report(1, 0, "-", "dispatcher", "an orderly stop left messages without an answer")
	}
	for _, o := range c.recording.Outcomes {
		class := c.classes[o.Class]
		lifetime := min(time.Duration(class.Deadline)*time.Microsecond, time.Duration(o.TTL)*time.Second)
		latest := o.Sent + lifetime + Tolerance
		switch {
		case o.Canceled:
		case o.Status == 0 && c.answerImpossible(&o):
		case o.Status == 0:
			c.report(1, o.Done, o.CorrelationID, "client", "no final answer: %s", o.Err)
		case o.Done > latest:
			c.report(1, o.Done, o.CorrelationID, "client", "final answer %d after %v, its time is %v", o.Status, o.Done-o.Sent, lifetime)
		}
		if o.Status == 0 {
			continue
		}
		for _, a := range c.byCorrelationID[o.CorrelationID] {
			if a.received.At > o.Done+Tolerance {
				c.report(1, a.received.At, o.CorrelationID, a.where(), "sent %v after its final answer %d", a.received.At-o.Done, o.Status)
			}
		}
		if load.AnswerKind(o.Status) == "served" && !c.servedByPartner(o.CorrelationID) {
			c.report(1, o.Done, o.CorrelationID, "client", "served, and no stand-in took it")
		}
	}
}

// answerImpossible tells that no answer could come: no dispatcher ran when the message was sent, it was killed before the end, or
// the message came as it was stopping. What was on its way before an orderly stop must be answered.
func (c *checker) answerImpossible(o *load.Outcome) bool {
	for _, l := range c.recording.Runs {
		if o.Sent < l.From || l.To != 0 && o.Sent > l.To {
			continue
		}
		if l.StopRequested > 0 {
			return o.Sent >= l.StopRequested-Tolerance/3
		}
		return l.To != 0 && o.Done >= l.To
	}
	return true
}

func (c *checker) servedByPartner(correlationID string) bool {
	for _, a := range c.byCorrelationID[correlationID] {
		if a.endKind == partner.Responded && a.status < 300 {
			return true
		}
	}
	return false
}

// checkEffects is rule 2: no effect twice, one attempt out at a time, refused is harmless.
func (c *checker) checkEffects() {
	for correlationID, attempts := range c.byCorrelationID {
		class := c.classes[attempts[0].received.Class]
		applied := 0
		var uncertain *attempt
		for i, a := range attempts {
			if i > 0 && attempts[i-1].received.MessageID == a.received.MessageID {
				c.checkOneInFlight(attempts[i-1], a, correlationID)
			}
			if uncertain != nil {
				c.checkResend(uncertain, a, correlationID, class)
			}
			if a.applied {
				applied++
			}
			if uncertain == nil && !a.provenNotExecuted() {
				uncertain = a
			}
		}
		if class.Effect == control.SingleShot && applied > 1 {
			c.report(2, attempts[len(attempts)-1].received.At, correlationID, attempts[len(attempts)-1].where(), "applied %d times, its class must not repeat", applied)
		}
	}
	for _, o := range c.recording.Outcomes {
		if load.AnswerKind(o.Status) != "refused" || c.classes[o.Class].Effect != control.SingleShot {
			continue
		}
		for _, a := range c.byCorrelationID[o.CorrelationID] {
			if a.applied || !a.provenNotExecuted() && a.endKind != "" {
				c.report(2, o.Done, o.CorrelationID, a.where(), "refused to the client, and this attempt may have run")
			}
		}
	}
}

// checkOneInFlight checks that an attempt was sent after the end of the one before.
func (c *checker) checkOneInFlight(previous, a *attempt, correlationID string) {
	if c.endUnobservable(previous, a.received.At) {
		return
	}
	if previous.end == 0 && previous.endKind == "" || previous.end > a.received.At+Tolerance {
		c.report(2, a.received.At, correlationID, a.where(), "sent while the attempt at %v is out", previous.received.Endpoint)
	}
}

// endUnobservable tells that the end of an attempt can't show: its endpoint read nothing any more, so neither the reset by which
// the dispatcher gave it up.
func (c *checker) endUnobservable(previous *attempt, by time.Duration) bool {
	for _, e := range c.readingStopped {
		if e.Endpoint == previous.received.Endpoint && e.At <= by && (previous.end == 0 || previous.end > e.At) {
			return true
		}
	}
	return false
}

// checkResend checks an attempt sent after one that may have run.
func (c *checker) checkResend(uncertain, a *attempt, correlationID string, class control.Class) {
	if a.received.MessageID != uncertain.received.MessageID {
		return
	}
	switch class.Effect {
	case control.SingleShot:
		c.report(2, a.received.At, correlationID, a.where(), "sent again after the attempt at %v, which may have run", uncertain.received.Endpoint)
	case control.Guarded:
		if late := a.received.At - uncertain.received.At - time.Duration(class.Window)*time.Microsecond; late > Tolerance {
			c.report(2, a.received.At, correlationID, a.where(), "sent again %v after partners forgot its key", late)
		}
	}
}

// checkDrains is rule 3: nothing new later than the grace after a drain or departure was told. Partners of a wave share
// endpoints, of which one list tells the same for each: it is checked once, a rebuild tells tens of thousands.
func (c *checker) checkDrains() {
	grace := time.Duration(c.recording.Settings.StopSendingWithin) * time.Microsecond
	byEndpoint := map[netip.AddrPort][]*attempt{}
	for _, a := range c.attempts {
		byEndpoint[a.received.Endpoint] = append(byEndpoint[a.received.Endpoint], a)
	}
	changes := map[netip.AddrPort][]HealthChange{}
	for _, t := range c.recording.HealthChanges {
		known := changes[t.Endpoint]
		if n := len(known); n == 0 || known[n-1].At != t.At || known[n-1].Health != t.Health {
			changes[t.Endpoint] = append(known, t)
		}
	}
	for endpoint, history := range changes {
		for i, change := range history {
			if change.Health == control.Ready {
				continue
			}
			until := time.Duration(1 << 62)
			for _, later := range history[i+1:] {
				if later.Health == control.Ready {
					until = min(until, later.At)
				}
			}
			for _, a := range byEndpoint[endpoint] {
				if a.received.At > change.At+grace+Tolerance && a.received.At < until {
					c.report(3, a.received.At, a.received.CorrelationID, a.where(), "sent %v after the endpoint was told to drain or be gone",
						a.received.At-change.At)
				}
			}
		}
	}
}

// checkColdPartners is rule 4: a partner back from an outage is not pushed over while it is cold.
func (c *checker) checkColdPartners() {
	for _, spec := range c.recording.Script.Partners {
		cfg := spec.Config
		capacity := cfg.Capacity * c.recording.Script.RateScale
		if capacity <= 0 {
			continue
		}
		for _, recovered := range c.recoveriesOf(cfg.Name) {
			var window []*attempt
			for _, a := range c.attempts {
				if a.received.Partner != cfg.Name || a.received.At < recovered || a.received.At > recovered+cfg.WarmUp {
					continue
				}
				window = append(window, a)
				for window[0].received.At < a.received.At-cfg.OverloadWindow {
					window = window[1:]
				}
				share := cfg.ColdShare + (1-cfg.ColdShare)*float64(a.received.At-recovered)/float64(cfg.WarmUp)
				if limit := partner.OverloadLimit(capacity*share, cfg.OverloadFactor, cfg.OverloadWindow); float64(len(window)) > limit {
					c.report(4, a.received.At, a.received.CorrelationID, a.where(), "%d calls within %v on a cold partner that stands %.0f", len(window), cfg.OverloadWindow, limit)
					break
				}
			}
		}
	}
}

func (c *checker) recoveriesOf(name string) (all []time.Duration) {
	for _, e := range c.recording.Events {
		if e.Kind == partner.Recovered && e.Partner == name {
			all = append(all, e.At)
		}
	}
	return all
}

// checkOrder is rule 5: messages of a key go one at a time, in the order in which they were handed in, and the key rests
// after an attempt whose end is not known.
func (c *checker) checkOrder() {
	rest := time.Duration(c.recording.Settings.SettleAfterDoubt) * time.Microsecond
	byKey := map[string][]*attempt{}
	for _, a := range c.attempts {
		if c.classes[a.received.Class].InOrder && a.received.OrderKey != "-" {
			byKey[a.received.OrderKey] = append(byKey[a.received.OrderKey], a)
		}
	}
	outcomes := map[string]load.Outcome{}
	for _, o := range c.recording.Outcomes {
		outcomes[o.CorrelationID] = o
	}
	for key, attempts := range byKey {
		for i, a := range attempts {
			if i == 0 || attempts[i-1].received.CorrelationID == a.received.CorrelationID {
				continue
			}
			previous := attempts[i-1]
			if !c.sameDispatcher(previous.received.At, a.received.At) {
				continue // a new dispatcher knows nothing of the one before
			}
			if c.endUnobservable(previous, a.received.At) {
				continue
			}
			if previous.end == 0 || previous.end > a.received.At+Tolerance/3 {
				c.report(5, a.received.At, a.received.CorrelationID, a.where(), "key %s: sent while %s is out", key, previous.received.CorrelationID)
			} else if previous.endUnknown() && a.received.At < previous.end+rest-Tolerance/10 {
				c.report(5, a.received.At, a.received.CorrelationID, a.where(), "key %s: sent %v after a doubtful end of %s, its rest is %v", key,
					a.received.At-previous.end, previous.received.CorrelationID, rest)
			}
			// A message that was handed in before a kill came again later: its client's library repeated it.
			if earlier, later := outcomes[previous.received.CorrelationID], outcomes[a.received.CorrelationID]; earlier.Sent > later.Sent+Tolerance/3 && c.sameDispatcher(later.Sent, a.received.At) {
				c.report(5, a.received.At, a.received.CorrelationID, a.where(), "key %s: sent after %s, which was handed in %v later", key,
					previous.received.CorrelationID, earlier.Sent-later.Sent)
			}
		}
	}
}

// checkToldWaits is rule 6: while a told wait lasts nothing goes to the partner, or to the one route. What was under way when
// the wait was told is excused.
func (c *checker) checkToldWaits() {
	independent := map[string]bool{}
	for _, p := range c.recording.Script.Partners {
		independent[p.Config.Name] = p.IndependentEndpoints
	}
	byDestination := map[string][]*attempt{}
	for _, a := range c.attempts {
		destination := a.received.Partner + a.received.Path
		byDestination[destination] = append(byDestination[destination], a)
	}
	for _, e := range c.recording.Events {
		if e.Kind != partner.Responded || e.RetryAfter == 0 || e.Status != 429 && e.Status != 503 {
			continue
		}
		for _, a := range byDestination[e.Partner+e.Path] {
			at := a.received.At
			if at < e.At+Tolerance || at > e.At+e.RetryAfter-Tolerance/30 || independent[e.Partner] && a.received.Endpoint != e.Endpoint || !c.sameDispatcher(e.At, at) {
				continue
			}
			c.report(6, at, a.received.CorrelationID, a.where(), "sent %v after a wait of %v was told", at-e.At, e.RetryAfter)
		}
	}
}

// Summary is what a day comes to.
type Summary struct {
	Messages, Served, Refused, Failed, Canceled, NoAnswer int
	Attempts, Applied, AppliedTwice                       int
	Violations                                            []Violation
}

// Summarize counts a record from both ends.
func Summarize(r *Recording) Summary {
	s := Summary{Messages: len(r.Outcomes), Violations: Check(r)}
	for _, o := range r.Outcomes {
		switch load.AnswerKind(o.Status) {
		case "served":
			s.Served++
		case "refused":
			s.Refused++
		case "failed":
			s.Failed++
		default:
			if o.Canceled {
				s.Canceled++
			} else {
				s.NoAnswer++
			}
		}
	}
	applied := map[string]int{}
	for _, e := range r.Events {
		switch e.Kind {
		case partner.RequestReceived:
			s.Attempts++
		case partner.Applied:
			s.Applied++
			if e.Class == "upload" {
				if applied[e.CorrelationID]++; applied[e.CorrelationID] == 2 {
					s.AppliedTwice++
				}
			}
		}
	}
	return s
}

// Write prints a summary.
func (s Summary) Write(w io.Writer) {
	fmt.Fprintf(w, "%d messages: %d served, %d refused, %d failed, %d withdrawn by their clients, %d without an answer (no dispatcher ran)\n",
		s.Messages, s.Served, s.Refused, s.Failed, s.Canceled, s.NoAnswer)
	fmt.Fprintf(w, "%d attempts seen by the stand-ins, %d applied, %d unsafe ones applied twice\n", s.Attempts, s.Applied, s.AppliedTwice)
	for i, b := range s.Violations {
		if i == 20 {
			fmt.Fprintf(w, "... and %d more\n", len(s.Violations)-20)
			break
		}
		fmt.Fprintln(w, "BREACH", b)
	}
	if len(s.Violations) == 0 {
		fmt.Fprintln(w, "all six rules kept")
	}
}
