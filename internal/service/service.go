// Package service puts a dispatcher together from its settings: front, engine, module, back end and endpoint list.
package service

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"time"

	"whinrun/control"
	"whinrun/internal/config"
	"whinrun/internal/door"
	"whinrun/internal/engine"
	"whinrun/internal/front"
	"whinrun/internal/h2"
	"whinrun/internal/intake"
	"whinrun/internal/logs"
	"whinrun/internal/outbound"
	"whinrun/internal/push"
	"whinrun/internal/pushfront"
	"whinrun/internal/roster"
)

// Service is a running dispatcher.
type Service struct {
	cfg    *config.Config
	log    *logs.Logger
	clock  engine.Clock
	roster *roster.Roster
	loop   *engine.Loop
	pool   *outbound.Pool
	door   *door.Door
	front  *front.Front
	lists  *lists
}

// Start starts a dispatcher. source may be nil: then the list is that of the settings, or of the list file.
func Start(cfg *config.Config, log *logs.Logger, source ListSource) (*Service, error) {
	s := &Service{cfg: cfg, log: log, clock: engine.NewRealClock(), roster: roster.New(cfg.Partners)}
	var seed [16]byte
	if _, err := rand.Read(seed[:]); err != nil {
		return nil, fmt.Errorf("random seed: %w", err)
	}
	names := push.Names{Epoch: strconv.FormatUint(binary.LittleEndian.Uint64(seed[8:])>>16, 36)}
	var err error
	speech := &speech{roster: s.roster, sites: cfg.Sites, dialects: cfg.Dialects, names: names, wall: time.Now}
	s.pool, err = outbound.New(cfg.Outbound, speech, s.clock, func(e engine.End) { s.loop.Put(engine.Input{End: &e}) })
	if err != nil {
		return nil, err
	}
	own := make([]bool, len(cfg.Dialects))
	for i, d := range cfg.Dialects {
		own[i] = d.OwnPath()
	}
	if source == nil {
		source = sourceOf(cfg)
	}
	s.lists = &lists{source: source, roster: s.roster, log: log, quit: make(chan struct{})}
	core, err := engine.NewCore(engine.Policy{Settings: cfg.Module, OwnPath: own}, binary.LittleEndian.Uint64(seed[:]), s.pool, s.lists, s)
	if err != nil {
		s.pool.Close()
		return nil, err
	}
	s.loop = engine.NewLoop(core, s.clock, cfg.Bounds)
	s.lists.put = func(l engine.List) { s.loop.Put(engine.Input{List: &l}) }
	s.lists.start(cfg.ListEvery)
	go s.loop.Run()
	s.door = door.New(cfg.Door, len(cfg.Intake.Tenants), s.loop)
	book := intake.NewBook(cfg.Intake)
	side := s.door.Side("push")
	s.front, err = front.New(cfg.Front, side, s.clock, s.clients("push"), pushfront.Opener(cfg.Push, push.NewDesk(book), names, side))
	if err != nil {
		s.lists.stop()
		s.loop.Close()
		s.pool.Close()
		return nil, err
	}
	log.Info("service", "listening on %v: %s", s.front.Addr(), cfg.Describe())
	return s, nil
}

// clients logs what the clients of a front did wrong.
func (s *Service) clients(name string) func(string) {
	return func(t string) { s.log.Warn(name, "%s", t) }
}

// Addr is where clients connect.
func (s *Service) Addr() net.Addr { return s.front.Addr() }

// Stats returns the engine's counts.
func (s *Service) Stats() engine.Stats { return s.loop.Stats() }

// Door gives access to what clients have handed in, for measurements and tests.
func (s *Service) Door() *door.Door { return s.door }

// Note is engine.Log.
func (s *Service) Note(text string) { s.log.Info("module", "%s", text) }

// Fault is engine.Log.
func (s *Service) Fault(text string) { s.log.Error("engine", "%s", text) }

// Stop ends a dispatcher in order: GOAWAY to clients, no new messages, answers for those taken, then all is closed.
// It tells whether every message had its answer; when ctx ends first the rest is cut off.
func (s *Service) Stop(ctx context.Context) bool {
	s.log.Info("service", "stopping: no new messages")
	s.front.GoAway()
	answered := false
	select {
	case <-s.loop.Stop(s.cfg.StopWithin):
		answered = true
	case <-ctx.Done():
	}
	if answered {
		s.front.Flush(ctx)
	}
	s.Kill()
	st := s.Stats()
	s.log.Info("service", "stopped: %d taken, %d served, %d refused, %d failed, %d withdrawn, %d without an answer", st.Taken, st.Served,
		st.Refused, st.Failed, st.Withdrawn, st.Open)
	return answered
}

// Kill ends a dispatcher at once, as a crash would, but for the sockets that it closes.
func (s *Service) Kill() {
	s.lists.stop()
	ctx, done := context.WithTimeout(context.Background(), 2*time.Second)
	defer done()
	_ = s.front.Close(ctx)
	s.loop.Close()
	s.pool.Close()
}

// speech speaks to each endpoint in the dialect of its partner's kind.
type speech struct {
	roster   *roster.Roster
	sites    []push.Site
	dialects []push.Dialect
	names    push.Names
	wall     func() time.Time
}

func (s *speech) Address(ep control.Endpoint) (netip.AddrPort, bool) {
	p, ok := s.roster.Place(ep)
	return p.Addr, ok
}

func (s *speech) Request(a *engine.Attempt, left time.Duration) []h2.Field {
	p, _ := s.roster.Place(a.Endpoint)
	site := s.sites[p.Partner]
	if site.Authority == "" {
		site.Authority = p.Addr.String()
	}
	return s.dialects[p.Kind].Request(site, s.names, a, left, s.wall())
}

func (s *speech) Answer(a *engine.Attempt, fields []h2.Field, body []byte) engine.End {
	p, _ := s.roster.Place(a.Endpoint)
	status, _ := strconv.Atoi(h2.Value(fields, ":status"))
	e := engine.End{Kind: engine.Answered, Status: status}
	if status >= 300 {
		e.Wait = control.Time(push.RetryAfter(fields, s.wall()) / time.Microsecond)
		e.Detail = s.dialects[p.Kind].Reason(body)
	}
	return e
}
