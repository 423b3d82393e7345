package scenario

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"whinrun/internal/audit"
)

// readAuditTrail reads and verifies the audit trail of a run.
func readAuditTrail(folder string) (records []*audit.Record, problems []string, err error) {
	store, report, err := audit.OpenReader(folder)
	if err != nil {
		return nil, nil, err
	}
	keys, err := audit.PublicKeys(folder)
	if err != nil {
		return nil, nil, err
	}
	verification, err := audit.Verify(store, keys)
	if err != nil {
		return nil, nil, err
	}
	records, err = audit.AllRecords(store)
	return records, append(report.Problems, verification.Problems...), err
}

// attemptID identifies an attempt in the audit trail and in the events of the stand-ins. Attempts are counted from 1.
type attemptID struct {
	message string
	attempt int
}

// checkAuditTrail compares the audit trail of the dispatcher with what the stand-ins saw on their sockets. No attempt
// may be missing, and no answered attempt may be invented. At most one attempt is in flight for a message at any time.
// Each message has one final answer and no attempt after it.
func (c *checker) checkAuditTrail() {
	for _, p := range c.recording.AuditProblems {
		c.reportAuditTrail("the trail: %s", p)
	}
	started := map[attemptID]*audit.Record{}
	inFlight, answered := map[string]int{}, map[string]bool{}
	for _, r := range c.recording.AuditTrail {
		switch r.Kind {
		case audit.AttemptStarted:
			if inFlight[r.Message] != 0 {
				c.reportAuditTrail("message %s: attempt %d went out while %d was", r.Message, r.Attempt, inFlight[r.Message])
			}
			if answered[r.Message] {
				c.reportAuditTrail("message %s: attempt %d went out after the final answer", r.Message, r.Attempt)
			}
			inFlight[r.Message] = r.Attempt
			started[attemptID{r.Message, r.Attempt}] = r
		case audit.AttemptEnded:
			if inFlight[r.Message] != r.Attempt {
				c.reportAuditTrail("message %s: attempt %d ended, %d was out", r.Message, r.Attempt, inFlight[r.Message])
			}
			inFlight[r.Message] = 0
		case audit.Answered, audit.Withdrawn:
			if answered[r.Message] {
				c.reportAuditTrail("message %s: a second final answer", r.Message)
			}
			answered[r.Message] = true
		}
	}
	c.checkAuditedAttempts(started)
}

// checkAuditedAttempts compares the attempts one by one. started holds the attempts in the trail.
func (c *checker) checkAuditedAttempts(started map[attemptID]*audit.Record) {
	// A kill loses only the end of a trail. An attempt may therefore be missing only if it arrived after the last
	// record of its dispatcher, with a tolerance of 1 ms. The delay of the disk does not matter.
	seen, lastRecord := map[attemptID]bool{}, map[string]time.Duration{}
	for _, r := range c.recording.AuditTrail {
		if r.Message != "" {
			lastRecord[dispatcherPrefix(r.Message)] = r.Time().Sub(c.recording.StartTime)
		}
	}
	for _, a := range c.attempts {
		n := 0
		_, _ = fmt.Sscan(a.received.Attempt, &n)
		k := attemptID{a.received.MessageID, n + 1}
		seen[k] = true
		switch r := started[k]; {
		case r == nil && !(c.anyKilled() && a.received.At >= lastRecord[dispatcherPrefix(k.message)]-time.Millisecond):
			c.reportAuditTrail("message %s: attempt %d came to %v and is not in the trail", k.message, k.attempt, a.received.Endpoint)
		case r != nil && r.Endpoint != a.received.Endpoint.String():
			c.reportAuditTrail("message %s: attempt %d came to %v, the trail has %s", k.message, k.attempt, a.received.Endpoint, r.Endpoint)
		}
	}
	for _, r := range c.recording.AuditTrail {
		if k := (attemptID{r.Message, r.Attempt}); r.Kind == audit.AttemptEnded && r.Status >= 200 && !seen[k] {
			c.reportAuditTrail("message %s: the trail has an answer to attempt %d, which no stand-in saw", k.message, k.attempt)
		}
	}
}

// anyKilled reports whether a dispatcher was killed in the run.
func (c *checker) anyKilled() bool {
	return slices.ContainsFunc(c.recording.Runs, func(l DispatcherRun) bool { return l.To > 0 && l.StopRequested == 0 })
}

// dispatcherPrefix returns the part of a message identifier that all messages of one dispatcher share.
func dispatcherPrefix(message string) string {
	return message[:max(0, strings.LastIndexByte(message, '-'))]
}

// reportAuditTrail reports a difference between the trail and the observations as a violation of rule 0.
func (c *checker) reportAuditTrail(format string, a ...any) {
	c.report(0, 0, "-", "trail", format, a...)
}
