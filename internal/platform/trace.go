package platform

import (
	"fmt"

	"whinrun/control"
	"whinrun/internal/engine"
	"whinrun/internal/logs"
)

// messageTrace implements engine.Trail. It logs what happens to messages at the debug level, for
// troubleshooting.
type messageTrace struct {
	log       *logs.Logger
	directory *Directory
}

// Accepted logs that a message was accepted or restored from the ledger.
func (t messageTrace) Accepted(m *engine.Message) {
	r := &m.Recovered
	if !r.Restored {
		t.log.Debug("trace", "%s accepted: class %d, dest %d, life %d ms", m.ExternalID, m.Class, m.Dest, m.Lifetime/control.Millisecond)
		return
	}
	executed := "surely not executed"
	if r.PossiblyExecuted {
		executed = fmt.Sprintf("possibly executed %d ms ago in zone %d", (m.AcceptedAt-r.ExecutedAt)/control.Millisecond, r.ExecutedZone)
	}
	t.log.Debug("trace", "%s restored: class %d, dest %d, life %d ms, %d attempts, %s", m.ExternalID, m.Class, m.Dest, m.Lifetime/control.Millisecond,
		r.Attempts, executed)
}

// AttemptStarted logs the start of an attempt.
func (t messageTrace) AttemptStarted(a *engine.Attempt) {
	t.log.Debug("trace", "%s attempt %d to %s, may begin within %d ms", a.Message.ExternalID, a.Number, t.directory.HostName(a.Endpoint), (a.WriteBefore-a.StartedAt)/control.Millisecond)
}

// AttemptEnded logs the end of an attempt. late means that the message had its final answer before.
func (t messageTrace) AttemptEnded(a *engine.Attempt, e *engine.Outcome, v engine.Classification, late bool) {
	t.log.Debug("trace", "%s attempt %d to %s ended: %s (%s), wait %d ms, after its end %v", a.Message.ExternalID, a.Number, t.directory.HostName(a.Endpoint), v.Reason, e.Detail,
		e.RetryAfter/control.Millisecond, late)
}

// Withdrawn logs that a message was withdrawn by its sender.
func (t messageTrace) Withdrawn(m *engine.Message) {
	t.log.Debug("trace", "%s withdrawn", m.ExternalID)
}

// Answered logs the final answer of a message.
func (t messageTrace) Answered(m *engine.Message, a *engine.Answer) {
	t.log.Debug("trace", "%s class %d dest %d is %v after %d attempts: %s; %s", m.ExternalID, m.Class, m.Dest, a.Kind, a.Attempts, a.Reason, a.AttemptDetail)
}

// EndpointChanged logs a change of an endpoint in the list.
func (t messageTrace) EndpointChanged(e *control.Entry) {
	t.log.Debug("trace", "%s of dest %d listed, health %d", t.directory.HostName(e.Endpoint), e.Dest, e.Health)
}
