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

// keeper is the engine's Ledger: it says messages in the ledger's terms, which another process understands, too. Ends that
// the platform is to hear go on to the notices once they are on record; a delivered message needs no word.
type keeper struct {
	l        *ledger.Ledger
	notes    *noticer
	settings *control.Settings
	clock    *clock.Process
	guard    *safety.Guard
	dir      *Directory
	log      func(format string, a ...any)
	fault    func(text string) // something that must not happen

	mu         sync.Mutex
	unrecorded []unrecorded
}

// unrecorded is a notice that is not on record yet.
type unrecorded struct {
	notice ledger.Notice
	due    control.Time // the time of its message is over then
}

// RecordAccept is engine.Ledger.
func (k *keeper) RecordAccept(m *engine.Message, due control.Time) error {
	e := &ledger.Entry{Name: m.ExternalID, Class: k.settings.Classes[m.Class].Name, Destination: m.Dest, Deadline: k.clock.ToInstant(due), AcceptedAt: k.clock.ToInstant(m.AcceptedAt), IdempotencyKey: m.IdempotencyKey,
		OrderingKey: m.OrderKey, Body: m.Body}
	if m.Tenant < len(k.settings.Tenants) {
		e.Tenant = k.settings.Tenants[m.Tenant].Name
	}
	err := k.l.Accept(e)
	if errors.Is(err, recordfile.ErrUncertain) && !k.repeatable(m) {
		return fmt.Errorf("%w: %w", engine.ErrRecordUncertain, err)
	}
	return err
}

// repeatable tells whether executing a message again does no harm, whoever hands it in and when.
func (k *keeper) repeatable(m *engine.Message) bool {
	c := &k.settings.Classes[m.Class]
	return c.Effect == control.Idempotent || c.Effect == control.Deduplicated && !c.DedupPerZone
}

// Write is outbound.Permits.
func (k *keeper) Write(now control.Time, a *engine.Attempt) error {
	return k.guard.Write(now, a.SafetyCall())
}

// TakenBack is outbound.Permits.
func (k *keeper) TakenBack(a *engine.Attempt) {
	k.guard.RevokeWrite(a.SafetyCall())
	k.told(k.l.RevokeAttempt(a.Message.ExternalID))
}

// Record is outbound.Permits. What may be repeated at will needs no record before it is written.
func (k *keeper) Record(call []*engine.Attempt) ([]*engine.Attempt, error) {
	at, zone := k.clock.ToInstant(call[0].StartedAt), call[0].Placement.Zone
	err := k.l.StartAttempts(messageNames(call), at, zone, false)
	if err == nil {
		for _, a := range call {
			k.verify(a.Message)
		}
		return call, nil
	}
	var may []*engine.Attempt
	for _, a := range call {
		if k.settings.Classes[a.Message.Class].Effect == control.Idempotent {
			may = append(may, a)
		}
	}
	if len(may) > 0 {
		_ = k.l.StartAttempts(messageNames(may), at, zone, true) // it is kept, and written when that works again
	}
	return may, err
}

func messageNames(call []*engine.Attempt) []string {
	names := make([]string, len(call))
	for i, a := range call {
		names[i] = a.Message.ExternalID
	}
	return names
}

// RecordAttemptEnd is engine.Ledger.
func (k *keeper) RecordAttemptEnd(a *engine.Attempt, e safety.AttemptResult) {
	k.told(k.l.EndAttempt(a.Message.ExternalID, e.PossiblyExecuted, e.NotCounted))
	k.verify(a.Message)
}

// verify compares what is on record of a message's attempts with what this process knows of them. Guards against a record
// from which another process would conclude that a repeat is allowed.
func (k *keeper) verify(m *engine.Message) {
	h, ok := k.l.History(m.ExternalID)
	if !ok {
		return
	}
	if err := k.guard.VerifyRecord(m.ID, h.Attempts, h.PossiblyExecutedAt > 0, k.clock.FromInstant(h.PossiblyExecutedAt)); err != nil {
		k.fault(err.Error())
	}
}

// RecordFinish is engine.Ledger.
func (k *keeper) RecordFinish(m *engine.Message, a *engine.Answer) {
	if a == nil || a.Kind == engine.Served {
		k.told(k.l.Complete(m.ExternalID))
		return
	}
	n := ledger.Notice{Name: m.ExternalID}
	if a.Kind == engine.Refused {
		n.Deferred, n.RetryAfterMillis = true, int64((a.RetryAfter+control.Millisecond-1)/control.Millisecond)
	}
	k.end(n, m.AcceptedAt+m.Lifetime)
}

// end records an end, and has the platform told once it is on record: a process that finds the message owed would send it,
// while its sender hands it in again.
func (k *keeper) end(n ledger.Notice, due control.Time) {
	if err := k.l.CompleteWithNotice(n); err != nil {
		k.told(err)
		k.mu.Lock()
		k.unrecorded = append(k.unrecorded, unrecorded{n, due})
		k.mu.Unlock()
		return
	}
	k.notes.put(n)
}

// recorded has the notices told that waited for the ledger to be up to date again.
func (k *keeper) recorded() {
	k.mu.Lock()
	all := k.unrecorded
	k.unrecorded = nil
	k.mu.Unlock()
	for _, u := range all {
		k.notes.put(u.notice)
	}
}

// overdue has those notices told whose message's time is over: a process that still finds the message owed does not send it
// any more. Nobody is told to hand one in again that is not on record as ended.
func (k *keeper) overdue() {
	now := k.clock.Now()
	k.mu.Lock()
	var waiting, over []unrecorded
	for _, u := range k.unrecorded {
		if u.due > now {
			waiting = append(waiting, u)
		} else {
			over = append(over, u)
		}
	}
	k.unrecorded = waiting
	k.mu.Unlock()
	for _, u := range over {
		k.notes.put(ledger.Notice{Name: u.notice.Name})
	}
}

// RecordOutages is engine.Ledger.
func (k *keeper) RecordOutages(changed []control.Outage) {
	all := make([]ledger.Outage, 0, len(changed))
	for i := range changed {
		if o := &changed[i]; k.dir.IsListed(o.Endpoint) || o.Ended() {
			all = append(all, k.outage(o))
		}
	}
	k.told(k.l.UpdateOutages(all))
}

// outage says an outage in the ledger's terms.
func (k *keeper) outage(o *control.Outage) ledger.Outage {
	instant := func(t control.Time) clock.Instant {
		if t == 0 {
			return 0
		}
		return k.clock.ToInstant(t)
	}
	return ledger.Outage{Host: k.dir.HostName(o.Endpoint), Suspect: o.Suspected, LastFailedAt: instant(o.FailedAt), FirstFailedAt: instant(o.DownSince),
		ConsecutiveFailures: o.Failures, LastNotExecuted: o.Unreachable, ConsecutiveErrors: o.Errors, Push: o.Push, RecoveredAt: instant(o.RampStart), RefusingSince: instant(o.RefusingSince)}
}

// known says an outage of the ledger in the module's terms, of an endpoint.
func (k *keeper) known(o *ledger.Outage, e control.Entry) *control.Outage {
	at := func(i clock.Instant) control.Time {
		if i == 0 {
			return 0
		}
		if t := k.clock.FromInstant(i); t != 0 { // which would say none
			return t
		}
		return -1
	}
	return &control.Outage{Endpoint: e.Endpoint, Dest: e.Dest, Suspected: o.Suspect, FailedAt: at(o.LastFailedAt), DownSince: at(o.FirstFailedAt),
		Failures: o.ConsecutiveFailures, Unreachable: o.LastNotExecuted, Errors: o.ConsecutiveErrors, Push: o.Push, RampStart: at(o.RecoveredAt), RefusingSince: at(o.RefusingSince)}
}

// acked records that the platform has heard.
func (k *keeper) acked(names []string) { k.told(k.l.AcknowledgeNotices(names)) }

func (k *keeper) told(err error) {
	if err != nil && !errors.Is(err, ledger.ErrFailing) { // what it fails for was told before
		k.log("%v", err)
	}
}

// owed makes what the ledger holds into messages as the engine takes them, in order. Those of classes or tenants that the
// settings don't have any more can't be delivered: their names come apart.
func (k *keeper) owed(entries []ledger.Entry) (all []*engine.Message, void []string) {
	classes, tenants := numbers(k.settings)
	now := k.clock.Now()
	for i := range entries {
		e := &entries[i]
		class, ok := classes[e.Class]
		tenant, known := tenants[e.Tenant]
		if !ok || !known && len(tenants) > 0 {
			void = append(void, e.Name)
			continue
		}
		m := &engine.Message{Class: class, Tenant: tenant, Dest: e.Destination, OrderKey: e.OrderingKey, ExternalID: e.Name, IdempotencyKey: e.IdempotencyKey, Body: e.Body,
			Lifetime: max(0, k.clock.FromInstant(e.Deadline)-now), ReceivedAt: now,
			Recovered: engine.Recovered{Restored: true, Attempts: e.Attempts}}
		if at, zone, ok := e.PossiblyExecuted(); ok {
			m.Recovered.PossiblyExecuted, m.Recovered.ExecutedAt, m.Recovered.ExecutedZone = true, k.clock.FromInstant(at), zone
		}
		all = append(all, m)
	}
	return all, void
}
