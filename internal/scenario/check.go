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
	arrived partner.Event
	end     time.Duration // answer, cut or gone; 0 where it had none
	endKind partner.EventKind
	status  int
	wait    time.Duration
	applied bool
}

func (a *attempt) where() string {
	return fmt.Sprintf("%s %v connection %d stream %d", a.arrived.Partner, a.arrived.Endpoint, a.arrived.Conn, a.arrived.Stream)
}

// proved tells that what the stand-in answered proves to the dispatcher that the attempt has not run.
func (a *attempt) proved() bool {
	switch a.endKind {
	case partner.Responded:
		return a.status == 429 || a.status == 503 && a.wait > 0
	case partner.StreamReset:
		return a.status == 7 // REFUSED_STREAM
	}
	return false
}

// doubtful tells that the dispatcher can't know whether the attempt has run, and that no answer came.
func (a *attempt) doubtful() bool {
	return a.endKind == partner.PeerClosed || a.endKind == partner.NoResponse
}

// checker holds a record against the rules.
type checker struct {
	r        *Recording
	classes  map[string]control.Class
	attempts []*attempt
	byTest   map[string][]*attempt
	blind    []partner.Event // endpoints that read nothing from then on
	breaches []Violation
}

// Check returns the breaches of all six rules that the record shows.
func Check(r *Recording) []Violation {
	c := &checker{r: r, classes: map[string]control.Class{}, byTest: map[string][]*attempt{}}
	for _, k := range r.Settings.Classes {
		c.classes[k.Name] = k
	}
	c.gather()
	c.answers()
	c.effects()
	c.drains()
	c.returns()
	c.order()
	c.waits()
	if r.HasAuditTrail {
		c.trail()
	}
	sort.SliceStable(c.breaches, func(i, j int) bool { return c.breaches[i].At < c.breaches[j].At })
	return c.breaches
}

func (c *checker) breach(rule int, at time.Duration, message, where, format string, a ...any) {
	c.breaches = append(c.breaches, Violation{rule, at, message, where, fmt.Sprintf(format, a...)})
}

// gather puts the events of each call together.
func (c *checker) gather() {
	type call struct {
		ep     netip.AddrPort
		conn   int
		stream uint32
	}
	open := map[call]*attempt{}
	for _, e := range c.r.Events {
		k := call{e.Endpoint, e.Conn, e.Stream}
		if e.Kind == partner.RequestReceived {
			a := &attempt{arrived: e}
			open[k] = a
			c.attempts = append(c.attempts, a)
			c.byTest[e.CorrelationID] = append(c.byTest[e.CorrelationID], a)
			continue
		}
		if e.Kind == partner.ReadingStopped {
			c.blind = append(c.blind, e)
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
				a.end, a.endKind, a.status, a.wait = e.At, e.Kind, e.Status, e.RetryAfter
			}
		case partner.NoResponse:
			if a.end == 0 {
				a.endKind = partner.NoResponse
			}
		}
	}
}

// alive tells whether one dispatcher ran all the time between two moments, not stopping.
func (c *checker) alive(from, to time.Duration) bool {
	for _, l := range c.r.Runs {
		if from >= l.From && (l.To == 0 || to <= l.To) {
			return true
		}
	}
	return false
}

// answers is rule 1: one final answer before the time ends, and nothing sent after it.
func (c *checker) answers() {
	if c.r.UncleanStop {
		c.breach(1, 0, "-", "dispatcher", "an orderly stop left messages without an answer")
	}
	for _, o := range c.r.Outcomes {
		k := c.classes[o.Class]
		life := min(time.Duration(k.Deadline)*time.Microsecond, time.Duration(o.TTL)*time.Second)
		over := o.Sent + life + Tolerance
		switch {
		case o.Canceled:
		case o.Status == 0 && c.lost(&o):
		case o.Status == 0:
			c.breach(1, o.Done, o.CorrelationID, "client", "no final answer: %s", o.Err)
		case o.Done > over:
			c.breach(1, o.Done, o.CorrelationID, "client", "final answer %d after %v, its time is %v", o.Status, o.Done-o.Sent, life)
		}
		if o.Status == 0 {
			continue
		}
		for _, a := range c.byTest[o.CorrelationID] {
			if a.arrived.At > o.Done+Tolerance {
				c.breach(1, a.arrived.At, o.CorrelationID, a.where(), "sent %v after its final answer %d", a.arrived.At-o.Done, o.Status)
			}
		}
		if load.AnswerKind(o.Status) == "served" && !c.taken(o.CorrelationID) {
			c.breach(1, o.Done, o.CorrelationID, "client", "served, and no stand-in took it")
		}
	}
}

// lost tells that no answer could come: no dispatcher ran when the message was sent, it was killed before the end, or
// the message came as it was stopping. What was on its way before an orderly stop must be answered.
func (c *checker) lost(o *load.Outcome) bool {
	for _, l := range c.r.Runs {
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

func (c *checker) taken(test string) bool {
	for _, a := range c.byTest[test] {
		if a.endKind == partner.Responded && a.status < 300 {
			return true
		}
	}
	return false
}

// effects is rule 2: no effect twice, one attempt out at a time, refused is harmless.
func (c *checker) effects() {
	for test, all := range c.byTest {
		class := c.classes[all[0].arrived.Class]
		applied := 0
		var doubt *attempt
		for i, a := range all {
			if i > 0 && all[i-1].arrived.MessageID == a.arrived.MessageID {
				c.alone(all[i-1], a, test)
			}
			if doubt != nil {
				c.again(doubt, a, test, class)
			}
			if a.applied {
				applied++
			}
			if doubt == nil && !a.proved() {
				doubt = a
			}
		}
		if class.Effect == control.AtMostOnce && applied > 1 {
			c.breach(2, all[len(all)-1].arrived.At, test, all[len(all)-1].where(), "applied %d times, its class must not repeat", applied)
		}
	}
	for _, o := range c.r.Outcomes {
		if load.AnswerKind(o.Status) != "refused" || c.classes[o.Class].Effect != control.AtMostOnce {
			continue
		}
		for _, a := range c.byTest[o.CorrelationID] {
			if a.applied || !a.proved() && a.endKind != "" {
				c.breach(2, o.Done, o.CorrelationID, a.where(), "refused to the client, and this attempt may have run")
			}
		}
	}
}

// alone checks that an attempt was sent after the end of the one before.
func (c *checker) alone(old, a *attempt, test string) {
	if c.unseen(old, a.arrived.At) {
		return
	}
	if old.end == 0 && old.endKind == "" || old.end > a.arrived.At+Tolerance {
		c.breach(2, a.arrived.At, test, a.where(), "sent while the attempt at %v is out", old.arrived.Endpoint)
	}
}

// unseen tells that the end of an attempt can't show: its endpoint read nothing any more, so neither the reset by which
// the dispatcher gave it up.
func (c *checker) unseen(old *attempt, by time.Duration) bool {
	for _, e := range c.blind {
		if e.Endpoint == old.arrived.Endpoint && e.At <= by && (old.end == 0 || old.end > e.At) {
			return true
		}
	}
	return false
}

// again checks an attempt sent after one that may have run.
func (c *checker) again(doubt, a *attempt, test string, class control.Class) {
	if a.arrived.MessageID != doubt.arrived.MessageID {
		return
	}
	switch class.Effect {
	case control.AtMostOnce:
		c.breach(2, a.arrived.At, test, a.where(), "sent again after the attempt at %v, which may have run", doubt.arrived.Endpoint)
	case control.Deduplicated:
		if late := a.arrived.At - doubt.arrived.At - time.Duration(class.DedupWindow)*time.Microsecond; late > Tolerance {
			c.breach(2, a.arrived.At, test, a.where(), "sent again %v after partners forgot its key", late)
		}
	}
}

// drains is rule 3: nothing new later than the grace after a drain or departure was told. Partners of a wave share
// endpoints, of which one list tells the same for each: it is checked once, a rebuild tells tens of thousands.
func (c *checker) drains() {
	grace := time.Duration(c.r.Settings.StopSendingWithin) * time.Microsecond
	tried := map[netip.AddrPort][]*attempt{}
	for _, a := range c.attempts {
		tried[a.arrived.Endpoint] = append(tried[a.arrived.Endpoint], a)
	}
	told := map[netip.AddrPort][]HealthChange{}
	for _, t := range c.r.HealthChanges {
		of := told[t.Endpoint]
		if n := len(of); n == 0 || of[n-1].At != t.At || of[n-1].Health != t.Health {
			told[t.Endpoint] = append(of, t)
		}
	}
	for at, news := range told {
		for i, t := range news {
			if t.Health == control.Ready {
				continue
			}
			until := time.Duration(1 << 62)
			for _, later := range news[i+1:] {
				if later.Health == control.Ready {
					until = min(until, later.At)
				}
			}
			for _, a := range tried[at] {
				if a.arrived.At > t.At+grace+Tolerance && a.arrived.At < until {
					c.breach(3, a.arrived.At, a.arrived.CorrelationID, a.where(), "sent %v after the endpoint was told to drain or be gone",
						a.arrived.At-t.At)
				}
			}
		}
	}
}

// returns is rule 4: a partner back from an outage is not pushed over while it is cold.
func (c *checker) returns() {
	for _, spec := range c.r.Script.Partners {
		k := spec.Config
		rate := k.Capacity * c.r.Script.RateScale
		if rate <= 0 {
			continue
		}
		for _, back := range c.returnsOf(k.Name) {
			var window []*attempt
			for _, a := range c.attempts {
				if a.arrived.Partner != k.Name || a.arrived.At < back || a.arrived.At > back+k.WarmUp {
					continue
				}
				window = append(window, a)
				for window[0].arrived.At < a.arrived.At-k.OverloadWindow {
					window = window[1:]
				}
				warm := k.ColdShare + (1-k.ColdShare)*float64(a.arrived.At-back)/float64(k.WarmUp)
				if most := partner.OverloadLimit(rate*warm, k.OverloadFactor, k.OverloadWindow); float64(len(window)) > most {
					c.breach(4, a.arrived.At, a.arrived.CorrelationID, a.where(), "%d calls within %v on a cold partner that stands %.0f", len(window), k.OverloadWindow, most)
					break
				}
			}
		}
	}
}

func (c *checker) returnsOf(name string) (all []time.Duration) {
	for _, e := range c.r.Events {
		if e.Kind == partner.Recovered && e.Partner == name {
			all = append(all, e.At)
		}
	}
	return all
}

// order is rule 5: messages of a key go one at a time, in the order in which they were handed in, and the key rests
// after an attempt whose end is not known.
func (c *checker) order() {
	settle := time.Duration(c.r.Settings.SettleTime) * time.Microsecond
	keys := map[string][]*attempt{}
	for _, a := range c.attempts {
		if c.classes[a.arrived.Class].InOrder && a.arrived.OrderKey != "-" {
			keys[a.arrived.OrderKey] = append(keys[a.arrived.OrderKey], a)
		}
	}
	sent := map[string]load.Outcome{}
	for _, o := range c.r.Outcomes {
		sent[o.CorrelationID] = o
	}
	for key, all := range keys {
		for i, a := range all {
			if i == 0 || all[i-1].arrived.CorrelationID == a.arrived.CorrelationID {
				continue
			}
			old := all[i-1]
			if !c.alive(old.arrived.At, a.arrived.At) {
				continue // a new dispatcher knows nothing of the one before
			}
			if c.unseen(old, a.arrived.At) {
				continue
			}
			if old.end == 0 || old.end > a.arrived.At+Tolerance/3 {
				c.breach(5, a.arrived.At, a.arrived.CorrelationID, a.where(), "key %s: sent while %s is out", key, old.arrived.CorrelationID)
			} else if old.doubtful() && a.arrived.At < old.end+settle-Tolerance/10 {
				c.breach(5, a.arrived.At, a.arrived.CorrelationID, a.where(), "key %s: sent %v after a doubtful end of %s, its rest is %v", key,
					a.arrived.At-old.end, old.arrived.CorrelationID, settle)
			}
			// A message that was handed in before a kill came again later: its client's library repeated it.
			if x, y := sent[old.arrived.CorrelationID], sent[a.arrived.CorrelationID]; x.Sent > y.Sent+Tolerance/3 && c.alive(y.Sent, a.arrived.At) {
				c.breach(5, a.arrived.At, a.arrived.CorrelationID, a.where(), "key %s: sent after %s, which was handed in %v later", key,
					old.arrived.CorrelationID, x.Sent-y.Sent)
			}
		}
	}
}

// waits is rule 6: while a told wait lasts nothing goes to the partner, or to the one route. What was under way when
// the wait was told is excused.
func (c *checker) waits() {
	apart := map[string]bool{}
	for _, p := range c.r.Script.Partners {
		apart[p.Config.Name] = p.IndependentEndpoints
	}
	by := map[string][]*attempt{}
	for _, a := range c.attempts {
		who := a.arrived.Partner + a.arrived.Path
		by[who] = append(by[who], a)
	}
	for _, e := range c.r.Events {
		if e.Kind != partner.Responded || e.RetryAfter == 0 || e.Status != 429 && e.Status != 503 {
			continue
		}
		for _, a := range by[e.Partner+e.Path] {
			at := a.arrived.At
			if at < e.At+Tolerance || at > e.At+e.RetryAfter-Tolerance/30 || apart[e.Partner] && a.arrived.Endpoint != e.Endpoint || !c.alive(e.At, at) {
				continue
			}
			c.breach(6, at, a.arrived.CorrelationID, a.where(), "sent %v after a wait of %v was told", at-e.At, e.RetryAfter)
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
