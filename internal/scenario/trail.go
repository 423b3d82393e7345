package scenario

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"whinrun/internal/audit"
)

// readTrail reads and verifies the trail of a day.
func readTrail(folder string) (all []*audit.Record, problems []string, err error) {
	store, rep, err := audit.OpenReader(folder)
	if err != nil {
		return nil, nil, err
	}
	keys, err := audit.PublicKeys(folder)
	if err != nil {
		return nil, nil, err
	}
	v, err := audit.Verify(store, keys)
	if err != nil {
		return nil, nil, err
	}
	all, err = audit.AllRecords(store)
	return all, append(rep.Problems, v.Problems...), err
}

// call names an attempt, as the dispatcher and the stand-ins both do.
type call struct {
	message string
	attempt int
}

// trail holds the dispatcher's own trail against what stand-ins saw on their sockets: no attempt is missing, none that
// was answered is invented, at most one is out for a message at any moment, one final answer for each, and nothing after.
func (c *checker) trail() {
	for _, p := range c.r.AuditProblems {
		c.breachTrail("the trail: %s", p)
	}
	started := map[call]*audit.Record{}
	out, answered := map[string]int{}, map[string]bool{}
	for _, r := range c.r.AuditTrail {
		switch r.Kind {
		case audit.AttemptStarted:
			if out[r.Message] != 0 {
				c.breachTrail("message %s: attempt %d went out while %d was", r.Message, r.Attempt, out[r.Message])
			}
			if answered[r.Message] {
				c.breachTrail("message %s: attempt %d went out after the final answer", r.Message, r.Attempt)
			}
			out[r.Message] = r.Attempt
			started[call{r.Message, r.Attempt}] = r
		case audit.AttemptEnded:
			if out[r.Message] != r.Attempt {
				c.breachTrail("message %s: attempt %d ended, %d was out", r.Message, r.Attempt, out[r.Message])
			}
			out[r.Message] = 0
		case audit.Answered, audit.Withdrawn:
			if answered[r.Message] {
				c.breachTrail("message %s: a second final answer", r.Message)
			}
			answered[r.Message] = true
		}
	}
	c.trailOfCalls(started)
}

// trailOfCalls compares attempts one by one.
func (c *checker) trailOfCalls(started map[call]*audit.Record) {
	// A kill loses the end of a trail and nothing before it: an attempt may be missing only if it came after all that
	// the trail of its dispatcher has. How long the disk took does not matter.
	seen, last := map[call]bool{}, map[string]time.Duration{}
	for _, r := range c.r.AuditTrail {
		if r.Message != "" {
			last[epoch(r.Message)] = r.Time().Sub(c.r.StartTime)
		}
	}
	for _, a := range c.attempts {
		n := 0
		_, _ = fmt.Sscan(a.arrived.Attempt, &n)
		k := call{a.arrived.MessageID, n + 1}
		seen[k] = true
		switch r := started[k]; {
		case r == nil && !(c.killed() && a.arrived.At >= last[epoch(k.message)]-time.Millisecond):
			c.breachTrail("message %s: attempt %d came to %v and is not in the trail", k.message, k.attempt, a.arrived.Endpoint)
		case r != nil && r.Endpoint != a.arrived.Endpoint.String():
			c.breachTrail("message %s: attempt %d came to %v, the trail has %s", k.message, k.attempt, a.arrived.Endpoint, r.Endpoint)
		}
	}
	for _, r := range c.r.AuditTrail {
		if k := (call{r.Message, r.Attempt}); r.Kind == audit.AttemptEnded && r.Status >= 200 && !seen[k] {
			c.breachTrail("message %s: the trail has an answer to attempt %d, which no stand-in saw", k.message, k.attempt)
		}
	}
}

// killed tells that a dispatcher was killed at all.
func (c *checker) killed() bool {
	return slices.ContainsFunc(c.r.Runs, func(l DispatcherRun) bool { return l.To > 0 && l.StopRequested == 0 })
}

// epoch is what the names of one dispatcher's messages begin with.
func epoch(message string) string {
	return message[:max(0, strings.LastIndexByte(message, '-'))]
}

// breachTrail reports a trail that is not what happened, as rule 0.
func (c *checker) breachTrail(format string, a ...any) { c.breach(0, 0, "-", "trail", format, a...) }
