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
		t.log.Debug("trace", "%s accepted: class %d, dest %d, life %d ms", m.Name, m.Class, m.Dest, m.Life/control.Millisecond)
		return
	}
	executed := "surely not executed"
	if r.PossiblyExecuted {
		executed = fmt.Sprintf("possibly executed %d ms ago in zone %d", (m.Taken-r.ExecutedAt)/control.Millisecond, r.Zone)
	}
	t.log.Debug("trace", "%s restored: class %d, dest %d, life %d ms, %d attempts, %s", m.Name, m.Class, m.Dest, m.Life/control.Millisecond,
		r.Attempts, executed)
}

// Started logs the start of an attempt.
func (t messageTrace) Started(a *engine.Attempt) {
	t.log.Debug("trace", "%s attempt %d to %s, may begin within %d ms", a.Msg.Name, a.N, t.directory.HostName(a.Endpoint), (a.Begin-a.Sent)/control.Millisecond)
}

// Ended logs the end of an attempt. after tells that the message already had its final answer.
func (t messageTrace) Ended(a *engine.Attempt, e *engine.End, v engine.Verdict, after bool) {
	t.log.Debug("trace", "%s attempt %d to %s ended: %s (%s), wait %d ms, after its end %v", a.Msg.Name, a.N, t.directory.HostName(a.Endpoint), v.Why, e.Detail,
		e.Wait/control.Millisecond, after)
}

// Withdrawn logs that a message was withdrawn by its sender.
func (t messageTrace) Withdrawn(m *engine.Message) { t.log.Debug("trace", "%s withdrawn", m.Name) }

// Answered logs the final answer of a message.
func (t messageTrace) Answered(m *engine.Message, a *engine.Answer) {
	t.log.Debug("trace", "%s class %d dest %d is %v after %d attempts: %s; %s", m.Name, m.Class, m.Dest, a.Final, a.Tries, a.Reason, a.Why)
}

// Learned logs a change of an endpoint in the list.
func (t messageTrace) Learned(e *control.Entry) {
	t.log.Debug("trace", "%s of dest %d listed, health %d", t.directory.HostName(e.Endpoint), e.Dest, e.Health)
}
