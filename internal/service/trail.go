package service

import (
	"fmt"

	"whinrun/control"
	"whinrun/internal/audit"
	"whinrun/internal/clock"
	"whinrun/internal/config"
	"whinrun/internal/endpointlist"
	"whinrun/internal/engine"
	"whinrun/internal/intake"
	"whinrun/internal/mailbox"
	"whinrun/internal/push"
	"whinrun/internal/receipt"
)

// trail writes down what the engine does, in names.
type trail struct {
	keeper *audit.Recorder
	cfg    *config.Config
	roster *endpointlist.Registry
	names  push.ExternalIDs
}

var results = map[control.Result]string{control.OK: "ok", control.ConnectFailed: "connect failed", control.Reset: "reset",
	control.LimitExceeded: "full", control.ErrorResponse: "error", control.TimedOut: "timed out", control.Cancelled: "cancelled", control.NotExecuted: "moot"}

var standings = map[control.Health]string{control.Ready: "ready", control.Draining: "draining", control.Gone: "gone"}

func (t *trail) of(kind audit.Kind, m *engine.Message) *audit.Record {
	return &audit.Record{Kind: kind, Message: t.names.Format(m.ID), Partner: t.cfg.Partners[m.Dest].Name}
}

func (t *trail) at(r *audit.Record, a *engine.Attempt) *audit.Record {
	p, _ := t.roster.Lookup(a.Endpoint)
	r.Attempt, r.Endpoint = a.Number+1, p.Addr.String()
	return r
}

// Accepted is engine.Trail, as are the others.
func (t *trail) Accepted(m *engine.Message) {
	r := t.of(audit.Accepted, m)
	r.Tenant, r.Class, r.LifetimeMicros, r.Size = t.cfg.Intake.Tenants[m.Tenant], t.cfg.Classes[m.Class], int64(m.Lifetime), len(m.Body)
	r.Receipt = m.ReceiptSubscription
	t.keeper.Enqueue(r)
}

func (t *trail) AttemptStarted(a *engine.Attempt) {
	t.keeper.Enqueue(t.at(t.of(audit.AttemptStarted, a.Message), a))
}

func (t *trail) AttemptEnded(a *engine.Attempt, e *engine.Outcome, v engine.Classification, after bool) {
	r := t.at(t.of(audit.AttemptEnded, a.Message), a)
	r.Result, r.PossiblyExecuted, r.Status, r.WaitMicros, r.Detail, r.AfterAnswer = results[v.Result], v.PossiblyExecuted, e.Status, int64(e.RetryAfter), v.Reason, after
	r.TookMicros = max(0, t.keeper.Now().Microseconds()-int64(a.StartedAt))
	t.keeper.Enqueue(r)
}

func (t *trail) Withdrawn(m *engine.Message) {
	r := t.of(audit.Withdrawn, m)
	r.Tenant = t.cfg.Intake.Tenants[m.Tenant]
	t.keeper.Enqueue(r)
}

func (t *trail) Answered(m *engine.Message, a *engine.Answer) {
	r := t.of(audit.Answered, m)
	r.Tenant, r.Result, r.Status, r.WaitMicros, r.Attempts = t.cfg.Intake.Tenants[m.Tenant], a.Kind.String(), a.Status, int64(a.RetryAfter), a.Attempts
	r.Detail, r.Reason, r.Receipt = a.AttemptDetail, a.Reason, m.ReceiptSubscription
	t.keeper.Enqueue(r)
}

func (t *trail) EndpointChanged(e *control.Entry) {
	r := &audit.Record{Kind: audit.Learned, Partner: t.cfg.Partners[e.Dest].Name, Result: standings[e.Health]}
	if p, ok := t.roster.Lookup(e.Endpoint); ok {
		r.Endpoint = p.Addr.String()
	}
	t.keeper.Enqueue(r)
}

// changed takes down what becomes of receipts.
func (t *trail) changed(tenant int, name string, taken *receipt.Receipt) {
	r := &audit.Record{Kind: audit.Subscribed, Tenant: t.cfg.Intake.Tenants[tenant], Receipt: name}
	if taken != nil {
		r.Kind, r.Message = audit.Fetched, taken.Message
	}
	t.keeper.Enqueue(r)
}

// restore puts the receipts back that were promised before the dispatcher ended and not fetched. What had no final
// answer by then gets the one that is true of it: failed, it may have been sent.
func (s *Service) restore(room *mailbox.SharedBroker, book *intake.Registry) error {
	since := clock.Wall().Add(-s.cfg.Mailbox.Keep)
	subscriptions, owed, err := s.keeper.UnfetchedReceipts(since)
	if err != nil {
		return fmt.Errorf("receipts of before: %w", err)
	}
	back := 0
	for _, r := range subscriptions {
		if tenant, ok := book.Tenant(r.Tenant); ok {
			_, _, _, _ = room.Declare(s.now(), tenant, mailbox.QueueSpec{Name: r.Receipt}, false) // one there is none too many
		}
	}
	for _, p := range owed {
		tenant, ok := book.Tenant(p.Tenant)
		if !ok {
			continue
		}
		place, err := room.Reserve(tenant, p.Queue, "", "")
		if err != nil {
			s.log.Warn("audit", "the receipt of %s is not put back: %v", p.Accepted.Message, err)
			continue
		}
		if p.Answered == nil {
			p.Answered = &audit.Record{Kind: audit.Answered, Message: p.Accepted.Message, Partner: p.Accepted.Partner, Tenant: p.Tenant,
				Result: engine.Failed.String(), Reason: "the dispatcher ended before a final answer; it may have been sent", Receipt: p.Queue}
			s.keeper.Enqueue(p.Answered) // from now on that is its answer
		}
		place.Fill(s.now(), receiptOf(p.Answered))
		back++
	}
	if back > 0 {
		s.log.Info("audit", "%d receipts of before are put back", back)
	}
	return nil
}

func receiptOf(a *audit.Record) *receipt.Receipt {
	return &receipt.Receipt{Message: a.Message, Answer: a.Result, At: a.Time(), Detail: a.Detail, Reason: a.Reason, Attempts: a.Attempts,
		PartnerStatus: a.Status, RetryAfterMillis: a.WaitMicros / 1000}
}
