// Package pushfront serves clients over HTTP/2. Clients submit messages by push (RFC 8030), and the final answer to a
// message is the response on its stream. The package makes no delivery decisions. A message that it rejects was never
// accepted.
package pushfront

import (
	"errors"
	"strconv"
	"time"

	"whinrun/internal/admission"
	"whinrun/internal/engine"
	"whinrun/internal/front"
	"whinrun/internal/h2"
	"whinrun/internal/mailbox"
	"whinrun/internal/push"
)

// Config is the configuration of all sessions.
type Config struct {
	// IdleTimeout is how long a connection may have no requests before it gets GOAWAY. 0 means no limit.
	IdleTimeout time.Duration
	// H2 is the HTTP/2 configuration of the connections.
	H2 h2.Config
}

// SessionFactory returns a function that creates the session of a new client connection. now returns the dispatcher's
// monotonic time.
func SessionFactory(cfg Config, parser *push.RequestParser, ids push.ExternalIDs, admitter *admission.Frontend, mailboxes *mailbox.SharedBroker, now func() time.Duration) func(*front.Conn, time.Duration) front.Session {
	return func(c *front.Conn, started time.Duration) front.Session {
		return &session{cfg: &cfg, parser: parser, ids: ids, admitter: admitter, mailboxes: mailboxes, now: now, conn: c, h2conn: h2.NewServer(cfg.H2, started), requests: map[uint32]*request{},
			idleSince: started}
	}
}

// session serves one client connection. All methods run on the event loop of the connection.
type session struct {
	cfg       *Config
	parser    *push.RequestParser
	ids       push.ExternalIDs
	admitter  *admission.Frontend
	mailboxes *mailbox.SharedBroker
	now       func() time.Duration
	conn      *front.Conn
	h2conn    *h2.Conn
	requests  map[uint32]*request
	idleSince time.Duration
}

// request is a message that a client sends on a stream, from its header section to its final answer.
type request struct {
	session         *session
	stream          uint32
	msg             *engine.Message
	loadReservation admission.Reservation
	// bodySize is the size of the body in bytes, or -1 if the client does not tell it.
	bodySize int
	complete bool
	answer   engine.Answer

	// reservation is the reserved place for the receipt. It is nil if the client waits for the answer on the stream.
	reservation *mailbox.Reservation
	// subscriptionURI is the receipt subscription that the client named.
	subscriptionURI string
	// told is set once status 202 is on its way. It is used on the engine's goroutine only.
	told bool
	// resourcePath is the path that the message was posted to. It is set if the client wants a receipt.
	resourcePath string
}

// Receive processes bytes from the client.
func (s *session) Receive(now time.Duration, b []byte) error {
	events, err := s.h2conn.Receive(now, b)
	for i := range events {
		s.handleEvent(&events[i], now)
	}
	s.h2conn.ReleaseEvents()
	return err
}

// Check sends GOAWAY to an idle client and enforces the time limits of the protocol.
func (s *session) Check(now time.Duration) error {
	if len(s.requests) > 0 {
		s.idleSince = now
	}
	if s.cfg.IdleTimeout > 0 && now-s.idleSince > s.cfg.IdleTimeout {
		s.h2conn.GoAway(now, h2.NoError)
	}
	return s.h2conn.Check(now)
}

// NextCheck returns when Check must run next. That is in a second while requests, streams or the handshake are open, and
// otherwise when the idle timeout ends. It is 0 if there is no idle timeout.
func (s *session) NextCheck(now time.Duration) time.Duration {
	switch {
	case s.Pending():
		return now + time.Second
	case s.cfg.IdleTimeout > 0:
		return s.idleSince + s.cfg.IdleTimeout + time.Millisecond
	}
	return 0
}

// GoAway tells the client not to open further streams.
func (s *session) GoAway(now time.Duration) { s.h2conn.GoAway(now, h2.NoError) }

// Finish does nothing, because GOAWAY already ends an HTTP/2 connection in order.
func (s *session) Finish(time.Duration) {}

// Output returns the bytes to write to the client and clears them.
func (s *session) Output() []byte { return s.h2conn.Output() }

// Pending reports whether requests or streams are open, or the handshake is not complete.
func (s *session) Pending() bool {
	return len(s.requests) > 0 || !s.h2conn.SettingsReceived() || s.h2conn.OpenStreams() > 0
}

// Done reports whether all streams have ended after a GOAWAY.
func (s *session) Done() bool { return s.h2conn.Done() }

// ConnClosed cancels the requests whose answers the client was waiting for.
func (s *session) ConnClosed() {
	for _, r := range s.requests {
		r.cancel()
	}
	s.requests = nil
}

// cancel cancels a request whose client no longer waits for the answer.
func (r *request) cancel() {
	r.loadReservation.Withdraw()
	r.releaseReceipt(r.session.now())
}

// handleEvent handles an event of the HTTP/2 connection.
func (s *session) handleEvent(e *h2.Event, now time.Duration) {
	switch e.Kind {
	case h2.Headers:
		s.handleHeaders(e, now)
	case h2.HeadersTooLarge:
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

// handleHeaders starts a request, or rejects it.
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
	r := &request{session: s, stream: e.Stream, msg: msg, loadReservation: s.admitter.NewReservation(msg.Tenant), bodySize: bodySize(e.Fields)}
	msg.Origin = r
	if err := r.loadReservation.Begin(msg.HeadSize()); err != nil {
		s.reject(r, rejectionProblem(err), now)
		return
	}
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

// bodySize returns the value of content-length, or -1. The connection has checked it.
func bodySize(fields []h2.Field) int {
	size, err := strconv.Atoi(h2.Value(fields, "content-length"))
	if err != nil {
		return -1
	}
	return size
}

// handleData appends a part of the body to the message and rejects a body that exceeds a limit.
func (s *session) handleData(r *request, e *h2.Event, now time.Duration) {
	if r.complete {
		return
	}
	if len(r.msg.Body)+len(e.Data) > s.parser.MaxBody() {
		s.reject(r, s.parser.BodyTooLarge(), now)
		return
	}
	size := r.bodySize
	if e.End {
		size = len(r.msg.Body) + len(e.Data)
	}
	var err error
	if r.msg.Body, err = r.loadReservation.AppendBody(r.msg.Body, e.Data, size); err != nil {
		s.reject(r, rejectionProblem(err), now)
		return
	}
	if e.End {
		s.submit(r, now)
	}
}

// submit hands a complete message over to the engine.
func (s *session) submit(r *request, now time.Duration) {
	if r.complete {
		return
	}
	r.complete = true
	if err := r.loadReservation.Submit(r.msg); err != nil {
		s.reject(r, rejectionProblem(err), now)
	} else if r.reservation != nil {
		// From now on, the end of its stream or of the connection does not withdraw the message: its receipt tells its end.
		delete(s.requests, r.stream)
	}
}

// rejectionProblem returns the problem for a message that admission or the engine rejects. A dispatcher that is stopping
// needs longer until it can accept messages again than one that is overloaded.
func rejectionProblem(cause error) *push.Problem {
	p := &push.Problem{Status: 503, Title: "not taken: " + cause.Error(), RetryAfter: time.Second}
	if errors.Is(cause, engine.ErrStopping) {
		p.RetryAfter = 5 * time.Second
	}
	return p
}

// reject ends a request whose message was not accepted and sends the problem.
func (s *session) reject(r *request, problem *push.Problem, now time.Duration) {
	delete(s.requests, r.stream)
	r.loadReservation.Reject()
	r.releaseReceipt(now)
	s.reply(r.stream, problem, now)
}

// reply sends a problem as the response on a stream. An error of Respond is ignored: the stream is then closed already.
func (s *session) reply(stream uint32, problem *push.Problem, now time.Duration) {
	reply := problem.Reply()
	_ = s.h2conn.Respond(now, stream, reply.Fields, reply.Body)
}

// Answer implements engine.Origin. It runs on the engine's goroutine and posts the answer to the connection.
func (r *request) Answer(_ *engine.Message, a engine.Answer) {
	r.answer = a
	if r.reservation != nil {
		r.Accepted(r.msg) // It may have ended in the round that accepted it.
		r.storeReceipt(&a)
		if !r.session.conn.Post(r) {
			r.Drop()
		}
		return
	}
	// If the connection is closed, its session has already canceled the message.
	r.session.conn.Post(r)
}

// Run runs on the event loop and sends the final answer, unless the client has canceled the message in the meantime. If
// the client wanted a receipt, Final has stored it, and Run only counts the answer.
func (r *request) Run(now time.Duration) {
	if r.loadReservation.Ended() {
		r.session.admitter.Undelivered.Add(1)
		return
	}
	r.loadReservation.Complete(r.answer.Kind, true)
	if r.reservation != nil {
		return
	}
	delete(r.session.requests, r.stream)
	reply := push.Response(r.session.ids, r.msg, r.answer)
	_ = r.session.h2conn.Respond(now, r.stream, reply.Fields, reply.Body)
}

// Drop counts an answer whose connection is closed. A receipt was stored before and counts as delivered.
func (r *request) Drop() {
	if r.reservation != nil {
		r.loadReservation.Complete(r.answer.Kind, true)
		return
	}
	r.session.admitter.Undelivered.Add(1)
}
