package platform

import (
	"fmt"

	"whinrun/control"
	"whinrun/internal/engine"
	"whinrun/internal/logs"
)

// trace writes down, at the level debug, what happens to messages: an engine.Trail for finding causes.
type trace struct {
	log *logs.Logger
	dir *Directory
}

func (t trace) Accepted(m *engine.Message) {
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

func (t trace) AttemptStarted(a *engine.Attempt) {
	t.log.Debug("trace", "%s attempt %d to %s, may begin within %d ms", a.Message.ExternalID, a.Number, t.dir.HostName(a.Endpoint), (a.WriteBefore-a.StartedAt)/control.Millisecond)
}

func (t trace) AttemptEnded(a *engine.Attempt, e *engine.Outcome, v engine.Classification, after bool) {
	t.log.Debug("trace", "%s attempt %d to %s ended: %s (%s), wait %d ms, after its end %v", a.Message.ExternalID, a.Number, t.dir.HostName(a.Endpoint), v.Reason, e.Detail,
		e.RetryAfter/control.Millisecond, after)
}

func (t trace) Withdrawn(m *engine.Message) { t.log.Debug("trace", "%s withdrawn", m.ExternalID) }

func (t trace) Answered(m *engine.Message, a *engine.Answer) {
	t.log.Debug("trace", "%s class %d dest %d is %v after %d attempts: %s; %s", m.ExternalID, m.Class, m.Dest, a.Kind, a.Attempts, a.Reason, a.AttemptDetail)
}

func (t trace) EndpointChanged(e *control.Entry) {
	t.log.Debug("trace", "%s of dest %d listed, health %d", t.dir.HostName(e.Endpoint), e.Dest, e.Health)
}
