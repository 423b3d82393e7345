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

// Violation is a violation of a rule, with the message and the connection that show it.
type Violation struct {
	// Rule is the number of the rule, 1 to 6. 0 is a wrong audit trail.
	Rule int
	// At is the time on the clock of the log.
	At time.Duration
	// Message is the client's identifier of the message.
	Message string
	// Where is the connection and stream of the attempt, or the side that saw the violation.
	Where string
	// Text describes the violation.
	Text string
}

// String formats the violation as one line.
func (b Violation) String() string {
	return fmt.Sprintf("rule %d at %.3f s: message %s, %s: %s", b.Rule, b.At.Seconds(), b.Message, b.Where, b.Text)
}

// Tolerance is the delay that sockets and a busy machine may add to a time limit of a rule before it counts as violated.
const Tolerance = 300 * time.Millisecond

// attempt is one attempt as a stand-in saw it.
type attempt struct {
	received   partner.Event
	end        time.Duration     // time of the response, the reset or the close, 0 without one
	endKind    partner.EventKind // kind of the end, empty without one
	status     int               // HTTP status of a response, or HTTP/2 error code of a reset
	retryAfter time.Duration
	applied    bool // the attempt took effect
}

// where describes the connection and stream of the attempt.
func (a *attempt) where() string {
	return fmt.Sprintf("%s %v connection %d stream %d", a.received.Partner, a.received.Endpoint, a.received.Conn, a.received.Stream)
}

// provenNotExecuted reports whether the response proves to the dispatcher that the attempt was not executed.
func (a *attempt) provenNotExecuted() bool {
	switch a.endKind {
	case partner.Responded:
		return a.status == 429 || a.status == 503 && a.retryAfter > 0
	case partner.StreamReset:
		return a.status == 7 // REFUSED_STREAM
	}
	return false
}

// endUnknown reports whether the attempt ended without a response, so that it was possibly executed.
func (a *attempt) endUnknown() bool {
	return a.endKind == partner.PeerClosed || a.endKind == partner.NoResponse
}

// checker checks a recording against the rules.
type checker struct {
	recording       *Recording
	classes         map[string]control.Class
	attempts        []*attempt
	byCorrelationID map[string][]*attempt
	readingStopped  []partner.Event // the ReadingStopped events
	violations      []Violation
}

// Check returns the violations of the six rules that a recording shows, sorted by time. If there is an audit trail, it
// is checked, too.
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

// report adds a violation.
func (c *checker) report(rule int, at time.Duration, message, where, format string, a ...any) {
	c.violations = append(c.violations, Violation{rule, at, message, where, fmt.Sprintf(format, a...)})
}

// collectAttempts groups the events into attempts.
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

// sameDispatcher reports whether one dispatcher ran during the whole time range. The time of its orderly stop counts as
// running.
func (c *checker) sameDispatcher(from, to time.Duration) bool {
	for _, l := range c.recording.Runs {
		if from >= l.From && (l.To == 0 || to <= l.To) {
			return true
		}
	}
	return false
}

// checkAnswers checks rule 1: each message gets one final answer within its lifetime, and no attempt is sent after it.
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

// answerImpossible reports whether a missing answer is excused. It is if no dispatcher ran when the message was sent,
// if the dispatcher was killed before the answer, or if the message was sent when the dispatcher was stopping. Messages
// sent before an orderly stop must be answered.
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

// servedByPartner reports whether a stand-in answered an attempt of the message with success.
func (c *checker) servedByPartner(correlationID string) bool {
	for _, a := range c.byCorrelationID[correlationID] {
		if a.endKind == partner.Responded && a.status < 300 {
			return true
		}
	}
	return false
}

// checkEffects checks rule 2: no unsafe message takes effect twice, a message has at most one attempt in flight, and a
// refused unsafe message was not executed.
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
		if class.Effect == control.AtMostOnce && applied > 1 {
			c.report(2, attempts[len(attempts)-1].received.At, correlationID, attempts[len(attempts)-1].where(), "applied %d times, its class must not repeat", applied)
		}
	}
	for _, o := range c.recording.Outcomes {
		if load.AnswerKind(o.Status) != "refused" || c.classes[o.Class].Effect != control.AtMostOnce {
			continue
		}
		for _, a := range c.byCorrelationID[o.CorrelationID] {
			if a.applied || !a.provenNotExecuted() && a.endKind != "" {
				c.report(2, o.Done, o.CorrelationID, a.where(), "refused to the client, and this attempt may have run")
			}
		}
	}
}

// checkOneInFlight checks that an attempt was sent after the end of the previous one.
func (c *checker) checkOneInFlight(previous, a *attempt, correlationID string) {
	if c.endUnobservable(previous, a.received.At) {
		return
	}
	if previous.end == 0 && previous.endKind == "" || previous.end > a.received.At+Tolerance {
		c.report(2, a.received.At, correlationID, a.where(), "sent while the attempt at %v is out", previous.received.Endpoint)
	}
}

// endUnobservable reports whether the end of an attempt cannot be seen. An endpoint that has stopped reading does not
// see the reset with which the dispatcher gave up the attempt.
func (c *checker) endUnobservable(previous *attempt, by time.Duration) bool {
	for _, e := range c.readingStopped {
		if e.Endpoint == previous.received.Endpoint && e.At <= by && (previous.end == 0 || previous.end > e.At) {
			return true
		}
	}
	return false
}

// checkResend checks an attempt that was sent after one that was possibly executed.
func (c *checker) checkResend(uncertain, a *attempt, correlationID string, class control.Class) {
	if a.received.MessageID != uncertain.received.MessageID {
		return
	}
	switch class.Effect {
	case control.AtMostOnce:
		c.report(2, a.received.At, correlationID, a.where(), "sent again after the attempt at %v, which may have run", uncertain.received.Endpoint)
	case control.Deduplicated:
		if late := a.received.At - uncertain.received.At - time.Duration(class.DedupWindow)*time.Microsecond; late > Tolerance {
			c.report(2, a.received.At, correlationID, a.where(), "sent again %v after partners forgot its key", late)
		}
	}
}

// checkDrains checks rule 3: no attempt is sent to an endpoint later than the grace period after its drain or removal
// was announced. The partners of a wave share endpoints, and the list announces the same change for each of them, tens
// of thousands for a rebuilt list. Each change is checked once.
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

// checkColdPartners checks rule 4: a partner is not overloaded while it is cold after an outage.
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

// recoveriesOf returns the times at which outages of a partner ended.
func (c *checker) recoveriesOf(name string) (all []time.Duration) {
	for _, e := range c.recording.Events {
		if e.Kind == partner.Recovered && e.Partner == name {
			all = append(all, e.At)
		}
	}
	return all
}

// checkOrder checks rule 5. Messages with the same order key are sent one at a time, in the order in which the clients
// sent them. After an attempt with an unknown end, the key is blocked for Settings.SettleTime.
func (c *checker) checkOrder() {
	rest := time.Duration(c.recording.Settings.SettleTime) * time.Microsecond
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
				continue // A new dispatcher does not know the attempts of the previous one.
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
			// Messages sent before a kill are exempt: the client library sent them again later.
			if previousOutcome, outcome := outcomes[previous.received.CorrelationID], outcomes[a.received.CorrelationID]; previousOutcome.Sent > outcome.Sent+Tolerance/3 && c.sameDispatcher(outcome.Sent, a.received.At) {
				c.report(5, a.received.At, a.received.CorrelationID, a.where(), "key %s: sent after %s, which was handed in %v later", key,
					previous.received.CorrelationID, previousOutcome.Sent-outcome.Sent)
			}
		}
	}
}

// checkToldWaits checks rule 6: during a Retry-After no attempt is sent to the partner, or to the endpoint if the
// partner's endpoints are independent. Attempts that were in flight when the wait was announced are exempt.
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

// Summary is the result of a scenario: the messages by final answer, the attempts, the applied attempts, the unsafe
// messages that were applied more than once, and the violations.
type Summary struct {
	Messages, Served, Refused, Failed, Canceled, NoAnswer int
	Attempts, Applied, AppliedTwice                       int
	Violations                                            []Violation
}

// Summarize counts the outcomes of the clients and the events of the stand-ins, and checks the rules.
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

// Write prints the summary with at most 20 violations.
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
