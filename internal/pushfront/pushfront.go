// Package pushfront is the HTTP/2 side towards clients: messages come by push (RFC 8030), final answers go back on
// their streams. It decides nothing about messages: what it refuses at the door was never taken.
package pushfront

import (
	"errors"
	"time"

	"whinrun/internal/admission"
	"whinrun/internal/engine"
	"whinrun/internal/front"
	"whinrun/internal/h2"
	"whinrun/internal/mailbox"
	"whinrun/internal/push"
)

// Config is of all sessions.
type Config struct {
	IdleTimeout time.Duration // a connection without requests is sent away after this, 0 for never
	H2          h2.Config
}

// SessionFactory makes sessions.
func SessionFactory(cfg Config, desk *push.RequestParser, names push.ExternalIDs, side *admission.Frontend, room *mailbox.SharedBroker, clock func() time.Duration) func(*front.Conn, time.Duration) front.Session {
	return func(c *front.Conn, now time.Duration) front.Session {
		return &session{cfg: &cfg, desk: desk, names: names, side: side, room: room, now: clock, conn: c, h: h2.NewServer(cfg.H2, now), requests: map[uint32]*request{},
			idleFrom: now}
	}
}

// session is one client connection.
type session struct {
	cfg      *Config
	desk     *push.RequestParser
	names    push.ExternalIDs
	side     *admission.Frontend
	room     *mailbox.SharedBroker
	now      func() time.Duration
	conn     *front.Conn
	h        *h2.Conn
	requests map[uint32]*request
	idleFrom time.Duration
}

// request is one stream from its header section to its answer.
type request struct {
	s      *session
	stream uint32
	msg    *engine.Message
	ticket admission.Reservation
	whole  bool
	answer engine.Answer

	place    *mailbox.Reservation // of the receipt, where one is wanted
	receipts string               // the subscription it goes to
	path     string
}

// Receive takes bytes of the client.
func (s *session) Receive(now time.Duration, b []byte) error {
	events, err := s.h.Receive(now, b)
	for i := range events {
		s.event(&events[i], now)
	}
	return err
}

// Check sends an idle client away and holds the protocol's time limits.
func (s *session) Check(now time.Duration) error {
	if len(s.requests) > 0 {
		s.idleFrom = now
	}
	if s.cfg.IdleTimeout > 0 && now-s.idleFrom > s.cfg.IdleTimeout {
		s.h.GoAway(now, h2.NoError)
	}
	return s.h.Check(now)
}

// Due is soon while something moves, else when the client has been idle for long.
func (s *session) Due(now time.Duration) time.Duration {
	switch {
	case s.Owes():
		return now + time.Second
	case s.cfg.IdleTimeout > 0:
		return s.idleFrom + s.cfg.IdleTimeout + time.Millisecond
	}
	return 0
}

// GoAway tells the client to open no further streams.
func (s *session) GoAway(now time.Duration) { s.h.GoAway(now, h2.NoError) }

// Finish has nothing to add to GOAWAY.
func (s *session) Finish(time.Duration) {}

// Output returns what is to be written.
func (s *session) Output() []byte { return s.h.Output() }

// Owes tells whether requests are open, or the handshake is not over.
func (s *session) Owes() bool {
	return len(s.requests) > 0 || !s.h.SettingsReceived() || s.h.OpenStreams() > 0
}

// Done tells whether all streams are over after a GOAWAY.
func (s *session) Done() bool { return s.h.Done() }

// Lost withdraws what the client waited for.
func (s *session) Lost() {
	for _, r := range s.requests {
		r.withdraw()
	}
	s.requests = nil
}

// withdraw ends a request that nobody waits for.
func (r *request) withdraw() {
	r.ticket.Withdraw()
	r.unpromise(r.s.now())
}

func (s *session) event(e *h2.Event, now time.Duration) {
	switch e.Kind {
	case h2.Headers:
		s.begin(e, now)
	case h2.HeadersTooLarge:
		s.side.Rejected.Add(1)
		s.reply(e.Stream, &push.Problem{Status: 431, Title: "header section too large"}, now)
	case h2.Data:
		if r := s.requests[e.Stream]; r != nil {
			s.body(r, e, now)
		}
	case h2.Trailers:
		if r := s.requests[e.Stream]; r != nil {
			s.submit(r, now)
		}
	case h2.StreamReset:
		if r := s.requests[e.Stream]; r != nil {
			delete(s.requests, e.Stream)
			r.withdraw()
		}
	}
}

func (s *session) begin(e *h2.Event, now time.Duration) {
	if s.receiptCall(e, now) {
		return
	}
	m, p := s.desk.Read(e.Fields)
	uri := ""
	if p == nil {
		uri, p = wanted(e.Fields)
	}
	if p != nil {
		s.side.Rejected.Add(1)
		s.reply(e.Stream, p, now)
		return
	}
	r := &request{s: s, stream: e.Stream, msg: m, ticket: s.side.NewReservation(m.Tenant)}
	m.Origin = r
	if uri != "" {
		r.path = h2.Value(e.Fields, ":path")
		if p := s.promise(r, uri); p != nil {
			s.refuse(r, p, now)
			return
		}
	}
	s.requests[e.Stream] = r
	if h2.Value(e.Fields, "expect") == "100-continue" && !e.End {
		_ = s.h.Respond(now, e.Stream, []h2.Field{{Name: ":status", Value: "100"}}, nil)
	}
	if e.End {
		s.submit(r, now)
	}
}

func (s *session) body(r *request, e *h2.Event, now time.Duration) {
	if r.whole {
		return
	}
	if len(r.msg.Body)+len(e.Data) > s.desk.MaxBody() {
		s.refuse(r, s.desk.BodyTooLarge(), now)
		return
	}
	if err := r.ticket.Reserve(len(e.Data)); err != nil {
		s.refuse(r, notTaken(err), now)
		return
	}
	r.msg.Body = append(r.msg.Body, e.Data...)
	if e.End {
		s.submit(r, now)
	}
}

// submit hands a message over that is here in full.
func (s *session) submit(r *request, now time.Duration) {
	if r.whole {
		return
	}
	r.whole = true
	if err := r.ticket.Submit(r.msg); err != nil {
		s.refuse(r, notTaken(err), now)
	} else if r.place != nil {
		s.accepted(r, now)
	}
}

// notTaken is the answer to a message that the door or the engine does not take.
func notTaken(err error) *push.Problem {
	p := &push.Problem{Status: 503, Title: "not taken: " + err.Error(), RetryAfter: time.Second}
	if errors.Is(err, engine.ErrStopping) {
		p.RetryAfter = 5 * time.Second
	}
	return p
}

// refuse answers a request that never became a message.
func (s *session) refuse(r *request, p *push.Problem, now time.Duration) {
	delete(s.requests, r.stream)
	r.ticket.Reject()
	r.unpromise(now)
	s.reply(r.stream, p, now)
}

func (s *session) reply(stream uint32, p *push.Problem, now time.Duration) {
	reply := p.Reply()
	_ = s.h.Respond(now, stream, reply.Fields, reply.Body)
}

// Answer is engine.Origin: it runs on the engine's goroutine and posts the answer to the connection.
func (r *request) Answer(_ *engine.Message, a engine.Answer) {
	r.answer = a
	if r.place != nil {
		r.fill(&a)
		if !r.s.conn.Post(r) {
			r.Lost()
		}
		return
	}
	r.s.conn.Post(r) // where the connection is gone its session has withdrawn the message
}

// Open writes the final answer, unless the client has withdrawn the message meanwhile.
func (r *request) Open(now time.Duration) {
	if r.ticket.Ended() {
		r.s.side.Undelivered.Add(1)
		return
	}
	r.ticket.Complete(r.answer.Kind, true)
	if r.place != nil {
		return
	}
	delete(r.s.requests, r.stream)
	reply := push.Response(r.s.names, r.msg, r.answer)
	_ = r.s.h.Respond(now, r.stream, reply.Fields, reply.Body)
}

// Lost counts an answer that comes too late; a receipt is in its place already.
func (r *request) Lost() {
	if r.place != nil {
		r.ticket.Complete(r.answer.Kind, true)
		return
	}
	r.s.side.Undelivered.Add(1)
}
