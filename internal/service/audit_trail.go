package service

import (
	"whinrun/control"
	"whinrun/internal/audit"
	"whinrun/internal/config"
	"whinrun/internal/endpointlist"
	"whinrun/internal/engine"
	"whinrun/internal/mailbox"
	"whinrun/internal/push"
)

// auditTrail implements engine.Trail. It records what the engine does, with the names of partners, tenants and classes in
// place of their numbers.
type auditTrail struct {
	log       *audit.Recorder
	cfg       *config.Config
	endpoints *endpointlist.Registry
	ids       push.ExternalIDs
}

// resultNames are the names of results in the audit trail.
var resultNames = map[control.Result]string{control.OK: "ok", control.ConnectFailed: "connect failed", control.Reset: "reset",
	control.LimitExceeded: "full", control.ErrorResponse: "error", control.TimedOut: "timed out", control.Cancelled: "cancelled", control.NotExecuted: "moot"}

// healthNames are the names of health states in the audit trail.
var healthNames = map[control.Health]string{control.Ready: "ready", control.Draining: "draining", control.Gone: "gone"}

// newRecord returns a record about a message.
func (t *auditTrail) newRecord(kind audit.Kind, m *engine.Message) *audit.Record {
	return &audit.Record{Kind: kind, Message: t.ids.Format(m.ID), Partner: t.cfg.Partners[m.Dest].Name}
}

// setAttempt adds the number of an attempt, counted from 1, and its endpoint to a record.
func (t *auditTrail) setAttempt(r *audit.Record, a *engine.Attempt) *audit.Record {
	p, _ := t.endpoints.Lookup(a.Endpoint)
	r.Attempt, r.Endpoint = a.Number+1, p.Addr.String()
	return r
}

// Accepted records that the engine accepted a message.
func (t *auditTrail) Accepted(m *engine.Message) {
	r := t.newRecord(audit.Accepted, m)
	r.Tenant, r.Class, r.LifetimeMicros, r.Size = t.cfg.Intake.Tenants[m.Tenant], t.cfg.Classes[m.Class], int64(m.Lifetime), len(m.Body)
	r.Receipt, r.Number = m.ReceiptSubscription, m.ReceiptNumber
	t.log.Enqueue(r)
}

// AttemptStarted records the start of an attempt.
func (t *auditTrail) AttemptStarted(a *engine.Attempt) {
	t.log.Enqueue(t.setAttempt(t.newRecord(audit.AttemptStarted, a.Message), a))
}

// AttemptEnded records the end of an attempt and its classification. late means that the message had its final answer before.
func (t *auditTrail) AttemptEnded(a *engine.Attempt, e *engine.Outcome, classification engine.Classification, late bool) {
	r := t.setAttempt(t.newRecord(audit.AttemptEnded, a.Message), a)
	r.Result, r.PossiblyExecuted, r.Status, r.WaitMicros, r.Detail, r.AfterAnswer = resultNames[classification.Result], classification.PossiblyExecuted, e.Status, int64(e.RetryAfter), classification.Reason, late
	r.TookMicros = max(0, t.log.Now().Microseconds()-int64(a.StartedAt))
	t.log.Enqueue(r)
}

// Withdrawn records that the sender canceled a message.
func (t *auditTrail) Withdrawn(m *engine.Message) {
	r := t.newRecord(audit.Withdrawn, m)
	r.Tenant = t.cfg.Intake.Tenants[m.Tenant]
	t.log.Enqueue(r)
}

// Answered records the final answer to a message.
func (t *auditTrail) Answered(m *engine.Message, a *engine.Answer) {
	r := t.newRecord(audit.Answered, m)
	r.Tenant, r.Result, r.Status, r.WaitMicros, r.Attempts = t.cfg.Intake.Tenants[m.Tenant], a.Kind.String(), a.Status, int64(a.RetryAfter), a.Attempts
	r.Detail, r.Reason, r.Receipt = a.AttemptDetail, a.Reason, m.ReceiptSubscription
	t.log.Enqueue(r)
}

// EndpointChanged records the health of an endpoint as the endpoint list reports it.
func (t *auditTrail) EndpointChanged(e *control.Entry) {
	r := &audit.Record{Kind: audit.Learned, Partner: t.cfg.Partners[e.Dest].Name, Result: healthNames[e.Health]}
	if p, ok := t.endpoints.Lookup(e.Endpoint); ok {
		r.Endpoint = p.Addr.String()
	}
	t.log.Enqueue(r)
}

// receiptChanged records a change of receipt subscriptions.
func (t *auditTrail) receiptChanged(c mailbox.Change) {
	r := &audit.Record{Tenant: t.cfg.Intake.Tenants[c.Tenant], Receipt: c.Queue}
	switch c.Kind {
	case mailbox.SubscriptionMade:
		r.Kind = audit.Subscribed
	case mailbox.SubscriptionRemoved:
		r.Kind = audit.Unsubscribed
	case mailbox.ReceiptTaken:
		r.Kind, r.Message = audit.Fetched, c.Receipt.Message
	}
	t.log.Enqueue(r)
}
