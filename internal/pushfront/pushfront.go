// Package pushfront is the HTTP/2 side towards clients: messages come by push (RFC 8030), final answers go back on
// their streams. It decides nothing about messages: what it refuses at the door was never taken.
package pushfront

import (
	"errors"
	"time"

	"whinrun/internal/door"
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
func SessionFactory(cfg Config, parser *push.RequestParser, ids push.ExternalIDs, admitter *door.Side, mailboxes *mailbox.Room, now func() time.Duration) func(*front.Conn, time.Duration) front.Session {
	return func(c *front.Conn, started time.Duration) front.Session {
		return &session{cfg: &cfg, parser: parser, ids: ids, admitter: admitter, mailboxes: mailboxes, now: now, conn: c, h2conn: h2.NewServer(cfg.H2, started), requests: map[uint32]*request{},
			idleSince: started}
	}
}

// session is one client connection.
type session struct {
	cfg       *Config
	parser    *push.RequestParser
	ids       push.ExternalIDs
	admitter  *door.Side
	mailboxes *mailbox.Room
	now       func() time.Duration
	conn      *front.Conn
	h2conn    *h2.Conn
	requests  map[uint32]*request
	idleSince time.Duration
}

// request is one stream from its header section to its answer.
type request struct {
	session  *session
	stream   uint32
	msg      *engine.Message
	ticket   door.Ticket
	complete bool
	answer   engine.Answer

	reservation     *mailbox.Place // of the receipt, where one is wanted
	subscriptionURI string         // the subscription it goes to
	resourcePath    string
}

// Receive takes bytes of the client.
func (s *session) Receive(now time.Duration, b []byte) error {
	events, err := s.h2conn.Receive(now, b)
	for i := range events {
		s.handleEvent(&events[i], now)
	}
	return err
}

// Check sends an idle client away and holds the protocol's time limits.
func (s *session) Check(now time.Duration) error {
	if len(s.requests) > 0 {
		s.idleSince = now
	}
	if s.cfg.IdleTimeout > 0 && now-s.idleSince > s.cfg.IdleTimeout {
		s.h2conn.GoAway(now, h2.NoError)
	}
	return s.h2conn.Check(now)
}

// Due is soon while something moves, else when the client has been idle for long.
func (s *session) Due(now time.Duration) time.Duration {
	switch {
	case s.Owes():
		return now + time.Second
	case s.cfg.IdleTimeout > 0:
		return s.idleSince + s.cfg.IdleTimeout + time.Millisecond
	}
	return 0
}

// GoAway tells the client to open no further streams.
func (s *session) GoAway(now time.Duration) { s.h2conn.GoAway(now, h2.NoError) }

// Finish has nothing to add to GOAWAY.
func (s *session) Finish(time.Duration) {}

// Output returns what is to be written.
func (s *session) Output() []byte { return s.h2conn.Output() }

// Owes tells whether requests are open, or the handshake is not over.
func (s *session) Owes() bool {
	return len(s.requests) > 0 || !s.h2conn.Settled() || s.h2conn.Open() > 0
}

// Done tells whether all streams are over after a GOAWAY.
func (s *session) Done() bool { return s.h2conn.Done() }

// Lost withdraws what the client waited for.
func (s *session) Lost() {
	for _, r := range s.requests {
		r.cancel()
	}
	s.requests = nil
}

// cancel ends a request that nobody waits for.
func (r *request) cancel() {
	r.ticket.Withdraw()
	r.releaseReceipt(r.session.now())
}

func (s *session) handleEvent(e *h2.Event, now time.Duration) {
	switch e.Kind {
	case h2.Headers:
		s.handleHeaders(e, now)
	case h2.TooLarge:
		s.admitter.Rejected.Add(1)
		s.reply(e.Stream, &push.Problem{Status: 431, Title: "header section too large"}, now)
	case h2.Data:
		if r := s.requests[e.Stream]; r != nil {
			s.handleData(r, e, now)
		}
	case h2.Trailers:
		if r := s.requests[e.Stream]; r != nil {
			s.submit(r, now)
		}
	case h2.StreamReset:
		if r := s.requests[e.Stream]; r != nil {
			delete(s.requests, e.Stream)
			r.cancel()
		}
	}
}

func (s *session) handleHeaders(e *h2.Event, now time.Duration) {
	if s.handleReceiptRequest(e, now) {
		return
	}
	msg, problem := s.parser.Read(e.Fields)
	subscriptionURI := ""
	if problem == nil {
		subscriptionURI, problem = requestedSubscription(e.Fields)
	}
	if problem != nil {
		s.admitter.Rejected.Add(1)
		s.reply(e.Stream, problem, now)
		return
	}
	r := &request{session: s, stream: e.Stream, msg: msg, ticket: s.admitter.Ticket(msg.Tenant)}
	msg.Origin = r
	if subscriptionURI != "" {
		r.resourcePath = h2.Value(e.Fields, ":path")
		if p := s.reserveReceipt(r, subscriptionURI); p != nil {
			s.reject(r, p, now)
			return
		}
	}
	s.requests[e.Stream] = r
	if h2.Value(e.Fields, "expect") == "100-continue" && !e.End {
		_ = s.h2conn.Respond(now, e.Stream, []h2.Field{{Name: ":status", Value: "100"}}, nil)
	}
	if e.End {
		s.submit(r, now)
	}
}

func (s *session) handleData(r *request, e *h2.Event, now time.Duration) {
	if r.complete {
		return
	}
	if len(r.msg.Body)+len(e.Data) > s.parser.MaxBody() {
		s.reject(r, s.parser.BodyTooLarge(), now)
		return
	}
	if err := r.ticket.Grow(len(e.Data)); err != nil {
		s.reject(r, rejectionProblem(err), now)
		return
	}
	r.msg.Body = append(r.msg.Body, e.Data...)
	if e.End {
		s.submit(r, now)
	}
}

// submit hands a message over that is here in full.
func (s *session) submit(r *request, now time.Duration) {
	if r.complete {
		return
	}
	r.complete = true
	if err := r.ticket.Submit(r.msg); err != nil {
		s.reject(r, rejectionProblem(err), now)
	} else if r.reservation != nil {
		s.respondAccepted(r, now)
	}
}

// rejectionProblem is the answer to a message that the door or the engine does not take.
func rejectionProblem(cause error) *push.Problem {
	p := &push.Problem{Status: 503, Title: "not taken: " + cause.Error(), RetryAfter: time.Second}
	if errors.Is(cause, engine.ErrStopping) {
		p.RetryAfter = 5 * time.Second
	}
	return p
}

// reject answers a request that never became a message.
func (s *session) reject(r *request, problem *push.Problem, now time.Duration) {
	delete(s.requests, r.stream)
	r.ticket.Turn()
	r.releaseReceipt(now)
	s.reply(r.stream, problem, now)
}

func (s *session) reply(stream uint32, problem *push.Problem, now time.Duration) {
	reply := problem.Reply()
	_ = s.h2conn.Respond(now, stream, reply.Fields, reply.Body)
}

// Final is engine.Origin: it runs on the engine's goroutine and posts the answer to the connection.
func (r *request) Final(_ *engine.Message, a engine.Answer) {
	r.answer = a
	if r.reservation != nil {
		r.storeReceipt(&a)
		if !r.session.conn.Post(r) {
			r.Lost()
		}
		return
	}
	r.session.conn.Post(r) // where the connection is gone its session has withdrawn the message
}

// Open writes the final answer, unless the client has withdrawn the message meanwhile.
func (r *request) Open(now time.Duration) {
	if r.ticket.Over() {
		r.session.admitter.Unheard.Add(1)
		return
	}
	r.ticket.Answered(r.answer.Final, true)
	if r.reservation != nil {
		return
	}
	delete(r.session.requests, r.stream)
	reply := push.Response(r.session.ids, r.msg, r.answer)
	_ = r.session.h2conn.Respond(now, r.stream, reply.Fields, reply.Body)
}

// Lost counts an answer that comes too late; a receipt is in its place already.
func (r *request) Lost() {
	if r.reservation != nil {
		r.ticket.Answered(r.answer.Final, true)
		return
	}
	r.session.admitter.Unheard.Add(1)
}
