// Package service assembles a dispatcher from its settings: frontends, engine, decision library, outbound connections,
// endpoint list, audit trail and background tasks.
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
	cfg       *config.Config
	log       *logs.Logger
	clock     clock.Clock
	endpoints *endpointlist.Registry
	loop      *engine.Loop
	pool      *outbound.Pool
	admission *admission.Controller
	// frontends holds the push frontend and, if AMQP is enabled, the AMQP frontend after it.
	frontends []*front.Front
	poller    *listPoller
	// auditLog is nil if no audit trail is kept.
	auditLog *audit.Recorder
	trail    *auditTrail
	// mailboxes holds the queues of answers.
	mailboxes *mailbox.SharedBroker
	// identity tells this process's names and numbers of answers from those of earlier ones.
	identity mailbox.Identity
	// earlierReceipts is what the trail tells of receipts of earlier processes. It is nil if no trail is kept, and after the start.
	earlierReceipts *audit.Receipts

	background *backgroundTasks
}

// Start starts a dispatcher. If source is nil, the endpoint list comes from the list file or, if none is configured, from
// the settings.
func Start(cfg *config.Config, log *logs.Logger, source ListSource) (*Service, error) {
	s := &Service{cfg: cfg, log: log, clock: clock.New(), endpoints: endpointlist.New(cfg.Partners)}
	var seed [24]byte
	if _, err := rand.Read(seed[:]); err != nil {
		return nil, fmt.Errorf("random seed: %w", err)
	}
	ids := push.ExternalIDs{Epoch: strconv.FormatUint(binary.LittleEndian.Uint64(seed[8:16])>>16, 36)}
	var err error
	protocol := &partnerProtocol{endpoints: s.endpoints, resources: cfg.PartnerResources, dialects: cfg.Dialects, ids: ids, wall: clock.Wall}
	guard := safety.NewGuard(cfg.Control)
	poolConfig := cfg.Outbound
	poolConfig.Admission = guardAdmission{guard}
	s.pool, err = outbound.New(poolConfig, outbound.NewHTTP2(protocol), s.clock, func(e engine.Outcome) { s.loop.Enqueue(engine.Input{Outcome: &e}) })
	if err != nil {
		return nil, err
	}
	pathPerMessage := make([]bool, len(cfg.Dialects))
	for i, d := range cfg.Dialects {
		pathPerMessage[i] = d.PathPerMessage()
	}
	if source == nil {
		source = newListSource(cfg)
	}
	s.poller = &listPoller{source: source, endpoints: s.endpoints, log: log, stopping: make(chan struct{})}
	s.admission = admission.New(cfg.Admission, len(cfg.Intake.Tenants), engineAdapter{s})
	policy := engine.Options{Settings: cfg.Control, PathPerMessage: pathPerMessage, Guard: guard}
	s.identity = chooseIdentity(ids.Epoch, seed[16:], nil)
	if cfg.Audit.Folder != "" {
		if policy.Trail, err = s.openTrail(ids); err != nil {
			s.pool.Close()
			return nil, err
		}
	}
	core, err := engine.NewCore(policy, binary.LittleEndian.Uint64(seed[:]), s.pool, s.poller, s)
	if err != nil {
		s.pool.Close()
		s.closeTrail(true)
		return nil, err
	}
	s.loop = engine.NewLoop(core, s.clock, cfg.EngineBounds)
	s.poller.deliver = func(l engine.ListUpdate) { s.loop.Enqueue(engine.Input{List: &l}) }
	s.poller.start(cfg.ListInterval)
	go s.loop.Run()
	if err := s.listen(ids); err != nil {
		s.Kill()
		return nil, err
	}
	log.Info("service", "listening on %v: %s", s.Addr(), cfg.Describe())
	if a := s.AMQPAddr(); a != nil {
		log.Info("service", "AMQP on %v", a)
	}
	return s, nil
}

// engineAdapter passes calls of the admission control on to the engine. Admission control is created before the engine,
// because the audit trail must be able to close it as soon as the trail is open.
type engineAdapter struct{ s *Service }

// Submit hands a message over to the engine.
func (a engineAdapter) Submit(m *engine.Message) error { return a.s.loop.Submit(m) }

// Withdraw cancels a message.
func (a engineAdapter) Withdraw(id control.MessageID) { a.s.loop.Withdraw(id) }

// openTrail opens the audit trail. While the trail cannot be written, no new messages are accepted, but the messages in
// progress still get their answers.
func (s *Service) openTrail(ids push.ExternalIDs) (engine.Trail, error) {
	onWriteError := func(err error) {
		if err != nil {
			err = errors.New("the audit trail can't be written")
		}
		s.admission.Suspend(err)
	}
	var err error
	s.auditLog, err = audit.Open(s.cfg.Audit, s.now, func(f string, a ...any) { s.log.Warn("audit", f, a...) }, onWriteError)
	if err != nil {
		return nil, err
	}
	if s.earlierReceipts, err = s.readReceipts(); err != nil {
		s.closeTrail(true)
		return nil, err
	}
	s.identity = chooseIdentity(ids.Epoch, nil, s.earlierReceipts)
	s.auditLog.Enqueue(&audit.Record{Kind: audit.DispatcherStarted, Detail: "epoch " + ids.Epoch, Number: s.identity.LastNumber})
	// The numbers of receipts rest on this record.
	if err := s.auditLog.Flush(startRecordTimeout); err != nil {
		s.log.Warn("audit", "the start is not on record yet: %v", err)
	}
	s.trail = &auditTrail{s.auditLog, s.cfg, s.endpoints, ids}
	return s.trail, nil
}

// closeTrail closes the audit trail. If orderly is false, it leaves the trail as a crash would.
func (s *Service) closeTrail(orderly bool) {
	switch {
	case s.auditLog == nil:
	case !orderly:
		s.auditLog.Kill()
	default:
		if err := s.auditLog.Close(); err != nil {
			s.log.Error("audit", "%v", err)
		}
	}
	s.auditLog = nil
}

// listen opens the frontends. They share one admission control, which applies the same limits to all of them.
func (s *Service) listen(ids push.ExternalIDs) error {
	cfg, rules := s.cfg, intake.NewRegistry(s.cfg.Intake)
	listenOn := func(name string, frontConfig front.Config, admitter *admission.Frontend, open func(*front.Conn, time.Duration) front.Session) error {
		frontend, err := front.New(frontConfig, admitter, s.clock, func(t string) { s.log.Warn(name, "%s", t) }, open)
		if err == nil {
			s.frontends = append(s.frontends, frontend)
		}
		return err
	}
	mailboxes := &mailbox.SharedBroker{Broker: mailbox.New(cfg.Mailbox, s.identity)}
	if s.auditLog != nil {
		mailboxes.Key, mailboxes.OnChange, mailboxes.AfterRecord = s.auditLog.Key(), s.trail.receiptChanged, s.auditLog.AfterRecord
		s.restoreReceipts(mailboxes, rules, s.earlierReceipts)
		s.earlierReceipts = nil
	}
	s.mailboxes = mailboxes
	s.startBackground(mailboxes)
	admitter := s.admission.AddFrontend("push")
	if err := listenOn("push", cfg.Front, admitter, pushfront.SessionFactory(cfg.Push, push.NewRequestParser(rules), ids, admitter, mailboxes, s.now)); err != nil || cfg.AMQP.Address == "" {
		return err
	}
	admitter = s.admission.AddFrontend("amqp")
	return listenOn("amqp", cfg.AMQP, admitter, amqpfront.New(cfg.AMQPConn, rules, ids, admitter, mailboxes, s.now).Open)
}

// Addr returns the address that HTTP/2 clients connect to.
func (s *Service) Addr() net.Addr { return s.frontends[0].Addr() }

// AMQPAddr returns the address that AMQP clients connect to. It is nil if AMQP is disabled.
func (s *Service) AMQPAddr() net.Addr {
	if len(s.frontends) < 2 {
		return nil
	}
	return s.frontends[1].Addr()
}

// Stats returns the counters of the engine.
func (s *Service) Stats() engine.Stats { return s.loop.Stats() }

// Admission returns the admission control, for measurements and tests.
func (s *Service) Admission() *admission.Controller { return s.admission }

// now returns the monotonic time of the dispatcher's clock.
func (s *Service) now() time.Duration { return clock.Elapsed(s.clock) }

// Info implements engine.Logger. It also writes the text to the audit trail, because the text reports what the decision library
// has learned about partners, such as their recovery from an outage.
func (s *Service) Info(text string) {
	s.log.Info("module", "%s", text)
	if s.auditLog != nil {
		s.auditLog.Enqueue(&audit.Record{Kind: audit.Learned, Detail: text})
	}
}

// InternalError implements engine.Logger.
func (s *Service) InternalError(text string) { s.log.Error("engine", "%s", text) }

// Stop shuts a dispatcher down gracefully. It sends GOAWAY to clients, rejects new messages, waits for the answers to the
// accepted ones and closes everything. It reports whether all messages were answered. If ctx ends first, the remaining
// messages get no answer.
func (s *Service) Stop(ctx context.Context) bool {
	s.log.Info("service", "stopping: no new messages")
	for _, f := range s.frontends {
		f.GoAway()
	}
	answered := false
	select {
	case <-s.loop.Stop(s.cfg.StopTimeout):
		answered = true
	case <-ctx.Done():
	}
	if answered {
		for _, f := range s.frontends {
			f.Flush(ctx)
		}
	}
	s.close(true)
	stats := s.Stats()
	s.log.Info("service", "stopped: %d taken, %d served, %d refused, %d failed, %d withdrawn, %d without an answer", stats.Accepted, stats.Served,
		stats.Refused, stats.Failed, stats.Withdrawn, stats.Open)
	return answered
}

// Kill ends a dispatcher immediately, as a crash would, except that it closes its sockets.
func (s *Service) Kill() { s.close(false) }

// close stops all parts in order and closes the audit trail.
func (s *Service) close(orderly bool) {
	s.poller.stop()
	for _, f := range s.frontends {
		f.Close()
	}
	s.background.stop()
	s.loop.Close()
	s.pool.Close()
	s.closeTrail(orderly)
}

// guardAdmission implements outbound.Admission with the safety guard alone. It records nothing, because this kind of dispatcher
// keeps no ledger.
type guardAdmission struct{ guard *safety.Guard }

// Write asks the guard whether an attempt may be written now.
func (p guardAdmission) Write(now control.Time, a *engine.Attempt) error {
	return p.guard.Write(now, a.SafetyCall())
}

// Record permits all attempts of a call.
func (guardAdmission) Record(call []*engine.Attempt) ([]*engine.Attempt, error) { return call, nil }

// MarkUnwritten tells the guard that a permitted attempt was not written.
func (p guardAdmission) MarkUnwritten(a *engine.Attempt) { p.guard.RevokeWrite(a.SafetyCall()) }

// MarkPossiblyOver tells the guard that messages may be over.
func (p guardAdmission) MarkPossiblyOver(attempts []*engine.Attempt) {
	for _, a := range attempts {
		p.guard.MarkPossiblyOver(a.SafetyCall())
	}
}

// partnerProtocol builds requests and interprets responses in the dialect of each partner's kind.
type partnerProtocol struct {
	endpoints *endpointlist.Registry
	resources []push.PartnerResource
	dialects  []push.Dialect
	ids       push.ExternalIDs
	wall      func() time.Time
}

// Address returns the address of an endpoint, or false if the endpoint is unknown.
func (s *partnerProtocol) Address(ep control.EndpointID) (netip.AddrPort, bool) {
	location, ok := s.endpoints.Lookup(ep)
	return location.Addr, ok
}

// Request returns the header section of an attempt. If the settings name no authority for the partner, :authority is the
// address of the endpoint.
func (s *partnerProtocol) Request(a *engine.Attempt, remaining time.Duration) []h2.Field {
	location, _ := s.endpoints.Lookup(a.Endpoint)
	resource := s.resources[location.Partner]
	if resource.Authority == "" {
		resource.Authority = location.Addr.String()
	}
	return s.dialects[location.Kind].Request(resource, s.ids, a, remaining, s.wall())
}

// Answer converts a complete response into the end of an attempt. Retry-After and the reason count from status 300 on.
func (s *partnerProtocol) Answer(a *engine.Attempt, fields []h2.Field, body []byte) engine.Outcome {
	location, _ := s.endpoints.Lookup(a.Endpoint)
	status, _ := strconv.Atoi(h2.Value(fields, ":status"))
	end := engine.Outcome{Kind: engine.Answered, Status: status}
	if status >= 300 {
		end.RetryAfter = control.Time(push.RetryAfter(fields, s.wall()) / time.Microsecond)
		end.Detail = s.dialects[location.Kind].Reason(body)
	}
	return end
}
