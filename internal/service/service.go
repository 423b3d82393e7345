// Package service puts a dispatcher together from its settings: front, engine, module, back end and endpoint list.
package service

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"time"

	"whinrun/control"
	"whinrun/internal/admission"
	"whinrun/internal/amqpfront"
	"whinrun/internal/audit"
	"whinrun/internal/clock"
	"whinrun/internal/config"
	"whinrun/internal/endpointlist"
	"whinrun/internal/engine"
	"whinrun/internal/front"
	"whinrun/internal/h2"
	"whinrun/internal/intake"
	"whinrun/internal/logs"
	"whinrun/internal/mailbox"
	"whinrun/internal/outbound"
	"whinrun/internal/push"
	"whinrun/internal/pushfront"
	"whinrun/internal/safety"
)

// Service is a running dispatcher.
type Service struct {
	cfg    *config.Config
	log    *logs.Logger
	clock  clock.Clock
	roster *endpointlist.Registry
	loop   *engine.Loop
	pool   *outbound.Pool
	door   *admission.Controller
	fronts []*front.Front // push, then AMQP where it is on
	lists  *lists
	keeper *audit.Recorder // nil where no trail is kept
	trail  *trail

	background *background
}

// Start starts a dispatcher. source may be nil: then the list is that of the settings, or of the list file.
func Start(cfg *config.Config, log *logs.Logger, source ListSource) (*Service, error) {
	s := &Service{cfg: cfg, log: log, clock: clock.New(), roster: endpointlist.New(cfg.Partners)}
	var seed [16]byte
	if _, err := rand.Read(seed[:]); err != nil {
		return nil, fmt.Errorf("random seed: %w", err)
	}
	names := push.ExternalIDs{Epoch: strconv.FormatUint(binary.LittleEndian.Uint64(seed[8:])>>16, 36)}
	var err error
	speech := &speech{roster: s.roster, sites: cfg.PartnerResources, dialects: cfg.Dialects, names: names, wall: clock.Wall}
	guard := safety.NewGuard(cfg.Control)
	pool := cfg.Outbound
	pool.Admission = permits{guard}
	s.pool, err = outbound.New(pool, outbound.NewHTTP2(speech), s.clock, func(e engine.Outcome) { s.loop.Enqueue(engine.Input{Outcome: &e}) })
	if err != nil {
		return nil, err
	}
	own := make([]bool, len(cfg.Dialects))
	for i, d := range cfg.Dialects {
		own[i] = d.PathPerMessage()
	}
	if source == nil {
		source = sourceOf(cfg)
	}
	s.lists = &lists{source: source, roster: s.roster, log: log, quit: make(chan struct{})}
	s.door = admission.New(cfg.Admission, len(cfg.Intake.Tenants), inner{s})
	policy := engine.Options{Settings: cfg.Control, PathPerMessage: own, Guard: guard}
	if cfg.Audit.Folder != "" {
		if policy.Trail, err = s.keep(names); err != nil {
			s.pool.Close()
			return nil, err
		}
	}
	core, err := engine.NewCore(policy, binary.LittleEndian.Uint64(seed[:]), s.pool, s.lists, s)
	if err != nil {
		s.pool.Close()
		s.endTrail(true)
		return nil, err
	}
	s.loop = engine.NewLoop(core, s.clock, cfg.EngineBounds)
	s.lists.put = func(l engine.ListUpdate) { s.loop.Enqueue(engine.Input{List: &l}) }
	s.lists.start(cfg.ListInterval)
	go s.loop.Run()
	if err := s.listen(names); err != nil {
		s.Kill()
		return nil, err
	}
	log.Info("service", "listening on %v: %s", s.Addr(), cfg.Describe())
	if a := s.AMQPAddr(); a != nil {
		log.Info("service", "AMQP on %v", a)
	}
	return s, nil
}

// inner is the engine as the door sees it; the door is there first, as the trail may have it shut.
type inner struct{ s *Service }

func (i inner) Submit(m *engine.Message) error { return i.s.loop.Submit(m) }
func (i inner) Withdraw(id control.MessageID)  { i.s.loop.Withdraw(id) }

// keep opens the trail. While its disk fails nothing new is taken; what is held is answered.
func (s *Service) keep(names push.ExternalIDs) (engine.Trail, error) {
	bad := func(err error) {
		if err != nil {
			err = errors.New("the audit trail can't be written")
		}
		s.door.Suspend(err)
	}
	var err error
	s.keeper, err = audit.Open(s.cfg.Audit, s.now, func(f string, a ...any) { s.log.Warn("audit", f, a...) }, bad)
	if err != nil {
		return nil, err
	}
	s.keeper.Enqueue(&audit.Record{Kind: audit.DispatcherStarted, Detail: "epoch " + names.Epoch})
	s.trail = &trail{s.keeper, s.cfg, s.roster, names}
	return s.trail, nil
}

// endTrail closes the trail, in order or as a crash would.
func (s *Service) endTrail(orderly bool) {
	switch {
	case s.keeper == nil:
	case !orderly:
		s.keeper.Kill()
	default:
		if err := s.keeper.Close(); err != nil {
			s.log.Error("audit", "%v", err)
		}
	}
	s.keeper = nil
}

// listen opens the fronts. They are equals: each gets its side of the one door.
func (s *Service) listen(names push.ExternalIDs) error {
	cfg, book := s.cfg, intake.NewRegistry(s.cfg.Intake)
	add := func(name string, c front.Config, side *admission.Frontend, open func(*front.Conn, time.Duration) front.Session) error {
		f, err := front.New(c, side, s.clock, func(t string) { s.log.Warn(name, "%s", t) }, open)
		if err == nil {
			s.fronts = append(s.fronts, f)
		}
		return err
	}
	room := &mailbox.SharedBroker{Broker: mailbox.New(cfg.Mailbox)}
	if s.keeper != nil {
		room.Key, room.OnChange = s.keeper.Key(), s.trail.changed
		if err := s.restore(room, book); err != nil {
			return err
		}
	}
	s.startChores(room)
	side := s.door.AddFrontend("push")
	if err := add("push", cfg.Front, side, pushfront.SessionFactory(cfg.Push, push.NewRequestParser(book), names, side, room, s.now)); err != nil || cfg.AMQP.Address == "" {
		return err
	}
	side = s.door.AddFrontend("amqp")
	return add("amqp", cfg.AMQP, side, amqpfront.New(cfg.AMQPConn, book, names, side, room, s.now).Open)
}

// Addr is where clients connect by HTTP/2.
func (s *Service) Addr() net.Addr { return s.fronts[0].Addr() }

// AMQPAddr is where clients connect by AMQP, nil where that is off.
func (s *Service) AMQPAddr() net.Addr {
	if len(s.fronts) < 2 {
		return nil
	}
	return s.fronts[1].Addr()
}

// Stats returns the engine's counts.
func (s *Service) Stats() engine.Stats { return s.loop.Stats() }

// Admission gives access to what clients have handed in, for measurements and tests.
func (s *Service) Admission() *admission.Controller { return s.door }

// now is the dispatcher's clock as a duration.
func (s *Service) now() time.Duration { return clock.Elapsed(s.clock) }

// Info is engine.Log. What the module tells of partners, returns among it, goes into the trail, too.
func (s *Service) Info(text string) {
	s.log.Info("module", "%s", text)
	if s.keeper != nil {
		s.keeper.Enqueue(&audit.Record{Kind: audit.Learned, Detail: text})
	}
}

// InternalError is engine.Log.
func (s *Service) InternalError(text string) { s.log.Error("engine", "%s", text) }

// Stop ends a dispatcher in order: GOAWAY to clients, no new messages, answers for those taken, then all is closed.
// It tells whether every message had its answer; when ctx ends first the rest is cut off.
func (s *Service) Stop(ctx context.Context) bool {
	s.log.Info("service", "stopping: no new messages")
	for _, f := range s.fronts {
		f.GoAway()
	}
	answered := false
	select {
	case <-s.loop.Stop(s.cfg.StopTimeout):
		answered = true
	case <-ctx.Done():
	}
	if answered {
		for _, f := range s.fronts {
			f.Flush(ctx)
		}
	}
	s.end(true)
	st := s.Stats()
	s.log.Info("service", "stopped: %d taken, %d served, %d refused, %d failed, %d withdrawn, %d without an answer", st.Accepted, st.Served,
		st.Refused, st.Failed, st.Withdrawn, st.Open)
	return answered
}

// Kill ends a dispatcher at once, as a crash would, but for the sockets that it closes.
func (s *Service) Kill() { s.end(false) }

func (s *Service) end(orderly bool) {
	s.lists.stop()
	for _, f := range s.fronts {
		f.Close()
	}
	s.background.stop()
	s.loop.Close()
	s.pool.Close()
	s.endTrail(orderly)
}

// permits asks the guard alone: nothing of attempts outlives this kind of process.
type permits struct{ guard *safety.Guard }

func (p permits) Write(now control.Time, a *engine.Attempt) error {
	return p.guard.Write(now, a.SafetyCall())
}

func (permits) Record(call []*engine.Attempt) ([]*engine.Attempt, error) { return call, nil }

func (p permits) TakenBack(a *engine.Attempt) { p.guard.RevokeWrite(a.SafetyCall()) }

// speech speaks to each endpoint in the dialect of its partner's kind.
type speech struct {
	roster   *endpointlist.Registry
	sites    []push.PartnerResource
	dialects []push.Dialect
	names    push.ExternalIDs
	wall     func() time.Time
}

func (s *speech) Address(ep control.EndpointID) (netip.AddrPort, bool) {
	p, ok := s.roster.Lookup(ep)
	return p.Addr, ok
}

func (s *speech) Request(a *engine.Attempt, left time.Duration) []h2.Field {
	p, _ := s.roster.Lookup(a.Endpoint)
	site := s.sites[p.Partner]
	if site.Authority == "" {
		site.Authority = p.Addr.String()
	}
	return s.dialects[p.Kind].Request(site, s.names, a, left, s.wall())
}

func (s *speech) Answer(a *engine.Attempt, fields []h2.Field, body []byte) engine.Outcome {
	p, _ := s.roster.Lookup(a.Endpoint)
	status, _ := strconv.Atoi(h2.Value(fields, ":status"))
	e := engine.Outcome{Kind: engine.Answered, Status: status}
	if status >= 300 {
		e.RetryAfter = control.Time(push.RetryAfter(fields, s.wall()) / time.Microsecond)
		e.Detail = s.dialects[p.Kind].Reason(body)
	}
	return e
}
