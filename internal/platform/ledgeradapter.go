package platform

import (
	"errors"
	"fmt"
	"sync"

	"whinrun/control"
	"whinrun/internal/clock"
	"whinrun/internal/engine"
	"whinrun/internal/ledger"
	"whinrun/internal/recordfile"
	"whinrun/internal/safety"
)

// ledgerAdapter implements engine.Ledger and outbound.Admission on the ledger on disk. It translates the
// engine's numbers into names and boot-clock times, which another process can interpret. Ends that the
// platform must be told of are passed to the notice sender once they are recorded. A delivered message needs
// no notice.
type ledgerAdapter struct {
	ledger    *ledger.Ledger
	notices   *noticeSender
	settings  *control.Settings
	clock     *clock.Process
	guard     *safety.Guard
	directory *Directory
	log       func(format string, a ...any)
	// reportFault logs a violation of an invariant.
	reportFault func(text string)

	mu sync.Mutex
	// unrecorded holds notices whose end could not be written to the ledger. It is guarded by mu.
	unrecorded []unrecordedNotice
}

// unrecordedNotice is a notice whose end is not recorded yet.
type unrecordedNotice struct {
	notice ledger.Notice
	// deadline is when the time of its message is over.
	deadline control.Time
}

// RecordAccept implements engine.Ledger. It records an accepted message. If it is uncertain whether the record was
// written, the error is engine.ErrUncertain, unless the message can be executed again without harm.
func (la *ledgerAdapter) RecordAccept(m *engine.Message, due control.Time) error {
	e := &ledger.Entry{Name: m.ExternalID, Class: la.settings.Classes[m.Class].Name, Destination: m.Dest, Deadline: la.clock.ToInstant(due), AcceptedAt: la.clock.ToInstant(m.AcceptedAt), IdempotencyKey: m.IdempotencyKey,
		OrderingKey: m.OrderKey, Body: m.Body}
	if m.Tenant < len(la.settings.Tenants) {
		e.Tenant = la.settings.Tenants[m.Tenant].Name
	}
	err := la.ledger.Accept(e)
	if errors.Is(err, recordfile.ErrUncertain) && !la.safeToRepeat(m) {
		return fmt.Errorf("%w: %w", engine.ErrRecordUncertain, err)
	}
	return err
}

// safeToRepeat reports whether a message can be executed again without harm, whoever submits it and whenever.
// That holds for idempotent classes, and for deduplicated classes whose repeats are dropped by
// all endpoints of the destination and not only by those of one zone.
func (la *ledgerAdapter) safeToRepeat(m *engine.Message) bool {
	c := &la.settings.Classes[m.Class]
	return c.Effect == control.Idempotent || c.Effect == control.Deduplicated && !c.DedupPerZone
}

// Write implements outbound.Admission. It returns why an attempt must not be written now, or nil.
func (la *ledgerAdapter) Write(now control.Time, a *engine.Attempt) error {
	return la.guard.Write(now, a.SafetyCall())
}

// MarkUnwritten implements outbound.Admission. It records that a permitted attempt was not written after all.
func (la *ledgerAdapter) MarkUnwritten(a *engine.Attempt) {
	la.guard.RevokeWrite(a.SafetyCall())
	la.logFailure(la.ledger.RevokeAttempt(a.Message.ExternalID))
}

// MarkPossiblyOver implements outbound.Admission. Neither this process nor a later one calls a message that may be over.
func (la *ledgerAdapter) MarkPossiblyOver(attempts []*engine.Attempt) {
	for _, a := range attempts {
		la.guard.MarkPossiblyOver(a.SafetyCall())
	}
	la.logFailure(la.ledger.MarkPossiblyOver(messageNames(attempts)))
}

// Record implements outbound.Admission. It records the attempts of a call before they are written. If that
// fails, only messages that may be repeated freely are allowed; they need no record before they are sent.
func (la *ledgerAdapter) Record(call []*engine.Attempt) ([]*engine.Attempt, error) {
	at, zone := la.clock.ToInstant(call[0].StartedAt), call[0].Placement.Zone
	err := la.ledger.StartAttempts(messageNames(call), at, zone, false)
	if err == nil {
		for _, a := range call {
			la.verifyHistory(a.Message)
		}
		return call, nil
	}
	var allowed []*engine.Attempt
	for _, a := range call {
		if la.settings.Classes[a.Message.Class].Effect == control.Idempotent {
			allowed = append(allowed, a)
		}
	}
	if len(allowed) > 0 {
		// The ledger keeps this record and writes it once writes succeed again.
		_ = la.ledger.StartAttempts(messageNames(allowed), at, zone, true)
	}
	return allowed, err
}

// messageNames returns the ids of the messages of a call.
func messageNames(call []*engine.Attempt) []string {
	names := make([]string, len(call))
	for i, a := range call {
		names[i] = a.Message.ExternalID
	}
	return names
}

// RecordAttemptEnd implements engine.Ledger. It records the end of an attempt whose message has not ended.
func (la *ledgerAdapter) RecordAttemptEnd(a *engine.Attempt, e safety.AttemptResult) {
	la.logFailure(la.ledger.EndAttempt(ledger.AttemptEnd{Name: a.Message.ExternalID, PossiblyExecuted: e.PossiblyExecuted, NotCounted: e.NotCounted, PossiblyOver: e.PossiblyOver}))
	la.verifyHistory(a.Message)
}

// verifyHistory compares the recorded attempts of a message with what this process knows of them. It guards
// against a record from which another process would conclude that a repeat is allowed.
func (la *ledgerAdapter) verifyHistory(m *engine.Message) {
	h, ok := la.ledger.History(m.ExternalID)
	if !ok {
		return
	}
	if err := la.guard.VerifyRecord(m.ID, h.Attempts, h.PossiblyExecutedAt > 0, la.clock.FromInstant(h.PossiblyExecutedAt)); err != nil {
		la.reportFault(err.Error())
	}
}

// RecordFinish implements engine.Ledger. It records the end of a message. A delivered or withdrawn message (a is nil
// for the latter) gets no notice, a refused one a deferred notice and a failed one an undeliverable notice.
func (la *ledgerAdapter) RecordFinish(m *engine.Message, a *engine.Answer) {
	if a == nil || a.Kind == engine.Served {
		la.logFailure(la.ledger.Complete(m.ExternalID))
		return
	}
	n := ledger.Notice{Name: m.ExternalID}
	if a.Kind == engine.Refused {
		n.Deferred, n.RetryAfterMillis = true, int64((a.RetryAfter+control.Millisecond-1)/control.Millisecond)
	}
	la.recordEnd(n, m.AcceptedAt+m.Lifetime)
}

// recordEnd records the end of a message and then sends its notice. The notice must not precede the record: a
// process that finds the message outstanding would send it while its sender submits it again.
func (la *ledgerAdapter) recordEnd(n ledger.Notice, deadline control.Time) {
	if err := la.ledger.CompleteWithNotice(n); err != nil {
		la.logFailure(err)
		la.mu.Lock()
		la.unrecorded = append(la.unrecorded, unrecordedNotice{n, deadline})
		la.mu.Unlock()
		return
	}
	la.notices.enqueue(n)
}

// sendRecorded sends the notices that waited for the ledger. It is called when the ledger is up to date
// again.
func (la *ledgerAdapter) sendRecorded() {
	la.mu.Lock()
	all := la.unrecorded
	la.unrecorded = nil
	la.mu.Unlock()
	for _, u := range all {
		la.notices.enqueue(u.notice)
	}
}

// sendExpired sends the waiting notices of messages whose time is over. A process that finds such a message
// outstanding does not send it any more. The notice says undeliverable, never deferred, because a sender must
// not submit a message again whose end is not recorded.
func (la *ledgerAdapter) sendExpired() {
	now := la.clock.Now()
	la.mu.Lock()
	var waiting, expired []unrecordedNotice
	for _, u := range la.unrecorded {
		if u.deadline > now {
			waiting = append(waiting, u)
		} else {
			expired = append(expired, u)
		}
	}
	la.unrecorded = waiting
	la.mu.Unlock()
	for _, u := range expired {
		la.notices.enqueue(ledger.Notice{Name: u.notice.Name})
	}
}

// RecordOutages implements engine.Ledger. It records changed outages of listed endpoints, and outages that are over.
func (la *ledgerAdapter) RecordOutages(changed []control.Outage) {
	all := make([]ledger.Outage, 0, len(changed))
	for i := range changed {
		if o := &changed[i]; la.directory.IsListed(o.Endpoint) || o.Ended() {
			all = append(all, la.toLedgerOutage(o))
		}
	}
	la.logFailure(la.ledger.UpdateOutages(all))
}

// Failing implements engine.Ledger.
func (la *ledgerAdapter) Failing() bool { return la.ledger.Failing() }

// toLedgerOutage converts an outage to the form of the ledger.
func (la *ledgerAdapter) toLedgerOutage(o *control.Outage) ledger.Outage {
	instant := func(t control.Time) clock.Instant {
		if t == 0 {
			return 0
		}
		return la.clock.ToInstant(t)
	}
	return ledger.Outage{Host: la.directory.HostName(o.Endpoint), Suspected: o.Suspected, FailedAt: instant(o.FailedAt), DownSince: instant(o.DownSince),
		Failures: o.Failures, Unreachable: o.Unreachable, Errors: o.Errors, RampTokens: o.RampTokens, RampStart: instant(o.RampStart), RefusingSince: instant(o.RefusingSince)}
}

// toControlOutage converts an outage of the ledger to the form of the decision library, for the endpoint of
// entry e.
func (la *ledgerAdapter) toControlOutage(o *ledger.Outage, e control.Entry) *control.Outage {
	at := func(i clock.Instant) control.Time {
		if i == 0 {
			return 0
		}
		// Time 0 stands for none, so an instant that maps to 0 becomes -1.
		if t := la.clock.FromInstant(i); t != 0 {
			return t
		}
		return -1
	}
	return &control.Outage{Endpoint: e.Endpoint, Dest: e.Dest, Suspected: o.Suspected, FailedAt: at(o.FailedAt), DownSince: at(o.DownSince),
		Failures: o.Failures, Unreachable: o.Unreachable, Errors: o.Errors, RampTokens: o.RampTokens, RampStart: at(o.RampStart), RefusingSince: at(o.RefusingSince)}
}

// acknowledge records that the platform has received notices.
func (la *ledgerAdapter) acknowledge(names []string) {
	la.logFailure(la.ledger.AcknowledgeNotices(names))
}

// logFailure logs a ledger error. Errors that only say that the ledger is failing are dropped, because the
// cause has been logged.
func (la *ledgerAdapter) logFailure(err error) {
	if err != nil && !errors.Is(err, ledger.ErrFailing) {
		la.log("%v", err)
	}
}

// restoredMessages converts ledger entries into messages for the engine, in order. Messages of a class or
// tenant that the settings no longer have cannot be delivered, and those that may be over are not called again; their ids are
// returned as undeliverable.
func (la *ledgerAdapter) restoredMessages(entries []ledger.Entry) (messages []*engine.Message, undeliverable []string) {
	classes, tenants := indexByName(la.settings)
	now := la.clock.Now()
	for i := range entries {
		e := &entries[i]
		class, ok := classes[e.Class]
		tenant, known := tenants[e.Tenant]
		if !ok || !known && len(tenants) > 0 || e.PossiblyOver {
			undeliverable = append(undeliverable, e.Name)
			continue
		}
		m := &engine.Message{Class: class, Tenant: tenant, Dest: e.Destination, OrderKey: e.OrderingKey, ExternalID: e.Name, IdempotencyKey: e.IdempotencyKey, Body: e.Body,
			Lifetime: max(0, la.clock.FromInstant(e.Deadline)-now), ReceivedAt: now,
			Recovered: engine.Recovered{Restored: true, Attempts: e.Attempts}}
		if at, zone, ok := e.PossiblyExecuted(); ok {
			m.Recovered.PossiblyExecuted, m.Recovered.ExecutedAt, m.Recovered.ExecutedZone = true, la.clock.FromInstant(at), zone
		}
		messages = append(messages, m)
	}
	return messages, undeliverable
}
