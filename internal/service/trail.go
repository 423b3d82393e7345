package service

import (
	"time"

	"whinrun/control"
	"whinrun/internal/audit"
	"whinrun/internal/config"
	"whinrun/internal/engine"
	"whinrun/internal/push"
	"whinrun/internal/roster"
)

// trail writes down what the engine does, in names.
type trail struct {
	keeper *audit.Keeper
	cfg    *config.Config
	roster *roster.Roster
	names  push.Names
}

var results = map[control.Result]string{control.OK: "ok", control.ConnectFailed: "connect failed", control.Reset: "reset",
	control.Full: "full", control.Errored: "error", control.TimedOut: "timed out", control.Cancelled: "cancelled", control.Moot: "moot"}

var standings = map[control.Health]string{control.Ready: "ready", control.Draining: "draining", control.Gone: "gone"}

func micros(t control.Time) int64 { return int64(t) }

func (t *trail) of(kind audit.Kind, m *engine.Message) *audit.Record {
	return &audit.Record{Kind: kind, Message: t.names.Of(m.ID), Partner: t.cfg.Partners[m.Dest].Name}
}

func (t *trail) at(r *audit.Record, a *engine.Attempt) *audit.Record {
	p, _ := t.roster.Place(a.Endpoint)
	r.Attempt, r.Endpoint = a.N+1, p.Addr.String()
	return r
}

// Accepted is engine.Trail, as are the others.
func (t *trail) Accepted(m *engine.Message) {
	r := t.of(audit.Accepted, m)
	r.Tenant, r.Class, r.Life, r.Size = t.cfg.Intake.Tenants[m.Tenant], t.cfg.Classes[m.Class], micros(m.Life), len(m.Body)
	t.keeper.Put(r)
}

func (t *trail) Started(a *engine.Attempt) { t.keeper.Put(t.at(t.of(audit.Started, a.Msg), a)) }

func (t *trail) Ended(a *engine.Attempt, e *engine.End, v engine.Verdict, after bool) {
	r := t.at(t.of(audit.Ended, a.Msg), a)
	r.Result, r.Ran, r.Status, r.Wait, r.Why, r.After = results[v.Result], v.Ran, e.Status, micros(e.Wait), v.Why, after
	r.Took = micros(max(0, control.Time(t.keeper.Now()/time.Microsecond)-a.Sent))
	t.keeper.Put(r)
}

func (t *trail) Withdrawn(m *engine.Message) {
	r := t.of(audit.Withdrawn, m)
	r.Tenant = t.cfg.Intake.Tenants[m.Tenant]
	t.keeper.Put(r)
}

func (t *trail) Answered(m *engine.Message, a *engine.Answer) {
	r := t.of(audit.Answered, m)
	r.Tenant, r.Result, r.Status, r.Wait, r.Attempts = t.cfg.Intake.Tenants[m.Tenant], a.Final.String(), a.Status, micros(a.Wait), a.Tries
	r.Why, r.Reason = a.Why, a.Reason
	t.keeper.Put(r)
}

func (t *trail) Learned(e *control.Entry) {
	r := &audit.Record{Kind: audit.Learned, Partner: t.cfg.Partners[e.Dest].Name, Result: standings[e.Health]}
	if p, ok := t.roster.Place(e.Endpoint); ok {
		r.Endpoint = p.Addr.String()
	}
	t.keeper.Put(r)
}
