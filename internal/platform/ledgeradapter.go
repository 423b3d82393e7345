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

// ledgerAdapter is the engine's Ledger: it says messages in the ledger's terms, which another process understands, too. Ends that
// the platform is to hear go on to the notices once they are on record; a delivered message needs no word.
type ledgerAdapter struct {
	ledger      *ledger.Ledger
	notices     *noticeSender
	settings    *control.Settings
	clock       *clock.Process
	guard       *safety.Guard
	directory   *Directory
	log         func(format string, a ...any)
	reportFault func(text string) // something that must not happen

	mu         sync.Mutex
	unrecorded []unrecordedNotice
}

// unrecordedNotice is a notice that is not on record yet.
type unrecordedNotice struct {
	notice   ledger.Notice
	deadline control.Time // the time of its message is over then
}

// Take is engine.Ledger.
func (la *ledgerAdapter) Take(m *engine.Message, due control.Time) error {
	e := &ledger.Entry{Name: m.Name, Class: la.settings.Classes[m.Class].Name, Dest: m.Dest, Due: la.clock.Instant(due), TakenAt: la.clock.Instant(m.Taken), Key: m.Repeat,
		Order: m.Key, Body: m.Body}
	if m.Tenant < len(la.settings.Tenants) {
		e.Tenant = la.settings.Tenants[m.Tenant].Name
	}
	err := la.ledger.Take(e)
	if errors.Is(err, recordfile.ErrUncertain) && !la.safeToRepeat(m) {
		return fmt.Errorf("%w: %w", engine.ErrUncertain, err)
	}
	return err
}

// safeToRepeat tells whether executing a message again does no harm, whoever hands it in and when.
func (la *ledgerAdapter) safeToRepeat(m *engine.Message) bool {
	c := &la.settings.Classes[m.Class]
	return c.Effect == control.Free || c.Effect == control.Guarded && !c.ZoneGroup
}

// Write is outbound.Permits.
func (la *ledgerAdapter) Write(now control.Time, a *engine.Attempt) error {
	return la.guard.Write(now, a.Call())
}

// TakenBack is outbound.Permits.
func (la *ledgerAdapter) TakenBack(a *engine.Attempt) {
	la.guard.TakenBack(a.Call())
	la.logFailure(la.ledger.TakeBack(a.Msg.Name))
}

// Record is outbound.Permits. What may be repeated at will needs no record before it is written.
func (la *ledgerAdapter) Record(call []*engine.Attempt) ([]*engine.Attempt, error) {
	at, zone := la.clock.Instant(call[0].Sent), call[0].Place.Zone
	err := la.ledger.Out(messageNames(call), at, zone, false)
	if err == nil {
		for _, a := range call {
			la.verifyHistory(a.Msg)
		}
		return call, nil
	}
	var allowed []*engine.Attempt
	for _, a := range call {
		if la.settings.Classes[a.Msg.Class].Effect == control.Free {
			allowed = append(allowed, a)
		}
	}
	if len(allowed) > 0 {
		_ = la.ledger.Out(messageNames(allowed), at, zone, true) // it is kept, and written when that works again
	}
	return allowed, err
}

func messageNames(call []*engine.Attempt) []string {
	names := make([]string, len(call))
	for i, a := range call {
		names[i] = a.Msg.Name
	}
	return names
}

// Back is engine.Ledger.
func (la *ledgerAdapter) Back(a *engine.Attempt, e safety.End) {
	la.logFailure(la.ledger.Back(a.Msg.Name, e.PossiblyExecuted, e.NoAttempt))
	la.verifyHistory(a.Msg)
}

// verifyHistory compares what is on record of a message's attempts with what this process knows of them. Guards against a record
// from which another process would conclude that a repeat is allowed.
func (la *ledgerAdapter) verifyHistory(m *engine.Message) {
	h, ok := la.ledger.History(m.Name)
	if !ok {
		return
	}
	if err := la.guard.Recorded(m.ID, h.Attempts, h.ExecutedAt > 0, la.clock.Time(h.ExecutedAt)); err != nil {
		la.reportFault(err.Error())
	}
}

// Over is engine.Ledger.
func (la *ledgerAdapter) Over(m *engine.Message, a *engine.Answer) {
	if a == nil || a.Final == engine.Served {
		la.logFailure(la.ledger.Over(m.Name))
		return
	}
	n := ledger.Notice{Name: m.Name}
	if a.Final == engine.Refused {
		n.Deferred, n.Again = true, int64((a.Wait+control.Millisecond-1)/control.Millisecond)
	}
	la.recordEnd(n, m.Taken+m.Life)
}

// recordEnd records an end, and has the platform told once it is on record: a process that finds the message owed would send it,
// while its sender hands it in again.
func (la *ledgerAdapter) recordEnd(n ledger.Notice, deadline control.Time) {
	if err := la.ledger.End(n); err != nil {
		la.logFailure(err)
		la.mu.Lock()
		la.unrecorded = append(la.unrecorded, unrecordedNotice{n, deadline})
		la.mu.Unlock()
		return
	}
	la.notices.enqueue(n)
}

// sendRecorded has the notices told that waited for the ledger to be up to date again.
func (la *ledgerAdapter) sendRecorded() {
	la.mu.Lock()
	all := la.unrecorded
	la.unrecorded = nil
	la.mu.Unlock()
	for _, u := range all {
		la.notices.enqueue(u.notice)
	}
}

// sendExpired has those notices told whose message's time is over: a process that still finds the message owed does not send it
// any more. Nobody is told to hand one in again that is not on record as ended.
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

// Learn is engine.Ledger.
func (la *ledgerAdapter) Learn(changed []control.Outage) {
	all := make([]ledger.Outage, 0, len(changed))
	for i := range changed {
		if o := &changed[i]; la.directory.IsListed(o.Endpoint) || o.Over() {
			all = append(all, la.toLedgerOutage(o))
		}
	}
	la.logFailure(la.ledger.Learn(all))
}

// toLedgerOutage says an outage in the ledger's terms.
func (la *ledgerAdapter) toLedgerOutage(o *control.Outage) ledger.Outage {
	instant := func(t control.Time) clock.Instant {
		if t == 0 {
			return 0
		}
		return la.clock.Instant(t)
	}
	return ledger.Outage{Host: la.directory.HostName(o.Endpoint), Suspect: o.Suspect, FailedAt: instant(o.FailedAt), DownAt: instant(o.DownAt),
		Failures: o.Failures, Proven: o.Proven, Errors: o.Errors, Push: o.Push, ColdAt: instant(o.ColdAt), FullAt: instant(o.FullAt)}
}

// toControlOutage says an outage of the ledger in the module's terms, of an endpoint.
func (la *ledgerAdapter) toControlOutage(o *ledger.Outage, e control.Entry) *control.Outage {
	at := func(i clock.Instant) control.Time {
		if i == 0 {
			return 0
		}
		if t := la.clock.Time(i); t != 0 { // which would say none
			return t
		}
		return -1
	}
	return &control.Outage{Endpoint: e.Endpoint, Dest: e.Dest, Suspect: o.Suspect, FailedAt: at(o.FailedAt), DownAt: at(o.DownAt),
		Failures: o.Failures, Proven: o.Proven, Errors: o.Errors, Push: o.Push, ColdAt: at(o.ColdAt), FullAt: at(o.FullAt)}
}

// acknowledge records that the platform has heard.
func (la *ledgerAdapter) acknowledge(names []string) { la.logFailure(la.ledger.Acked(names)) }

func (la *ledgerAdapter) logFailure(err error) {
	if err != nil && !errors.Is(err, ledger.ErrFailing) { // what it fails for was told before
		la.log("%v", err)
	}
}

// restoredMessages makes what the ledger holds into messages as the engine takes them, in order. Those of classes or tenants that the
// settings don't have any more can't be delivered: their names come apart.
func (la *ledgerAdapter) restoredMessages(entries []ledger.Entry) (messages []*engine.Message, undeliverable []string) {
	classes, tenants := indexByName(la.settings)
	now := la.clock.Now()
	for i := range entries {
		e := &entries[i]
		class, ok := classes[e.Class]
		tenant, known := tenants[e.Tenant]
		if !ok || !known && len(tenants) > 0 {
			undeliverable = append(undeliverable, e.Name)
			continue
		}
		m := &engine.Message{Class: class, Tenant: tenant, Dest: e.Dest, Key: e.Order, Name: e.Name, Repeat: e.Key, Body: e.Body,
			Life: max(0, la.clock.Time(e.Due)-now), Came: now,
			Recovered: engine.Recovered{Restored: true, Attempts: e.Attempts}}
		if at, zone, ok := e.PossiblyExecuted(); ok {
			m.Recovered.PossiblyExecuted, m.Recovered.ExecutedAt, m.Recovered.Zone = true, la.clock.Time(at), zone
		}
		messages = append(messages, m)
	}
	return messages, undeliverable
}
