// Package amqpfront is the AMQP 0-9-1 side towards clients: programs publish as to a broker, the final answer comes
// back as a confirm, and in full in a queue of answers where one is named. What each promises is in docs/answers.md.
// Like every front it decides nothing about messages: what it turns away at the door was never taken.
package amqpfront

import (
	"sync/atomic"
	"time"

	"whinrun/internal/amqp"
	"whinrun/internal/door"
	"whinrun/internal/front"
	"whinrun/internal/intake"
	"whinrun/internal/mailbox"
	"whinrun/internal/push"
)

// Server is what the sessions of one front share.
type Server struct {
	cfg       amqp.Config
	catalog   *intake.Book
	names     push.Names
	admission *door.Side
	now       func() time.Duration
	lastOwner atomic.Uint64

	answers *mailbox.SharedBroker
}

// New makes a Desk. now is the clock of the sessions.
func New(cfg amqp.Config, catalog *intake.Book, names push.Names, admission *door.Side, answers *mailbox.SharedBroker, now func() time.Duration) *Server {
	return &Server{cfg: cfg, catalog: catalog, names: names, admission: admission, now: now, answers: answers}
}

// Open makes the session of a connection.
func (d *Server) Open(c *front.Conn, now time.Duration) front.Session {
	s := &session{server: d, conn: c, owner: d.lastOwner.Add(1), channels: map[uint16]*channel{}}
	s.protocol = amqp.NewConn(d.cfg, now, s.handleEvent)
	return s
}

// session is one client connection.
type session struct {
	server     *Server
	conn       *front.Conn
	protocol   *amqp.Conn
	owner      uint64
	now        time.Duration
	tenant     int
	user       string
	channels   map[uint16]*channel
	unflushed  []*channel // with confirms to be sent
	unanswered int        // publishes taken without an answer yet
	hasPublished,
	blockSent, // publishers have been asked to stop
	goingAway bool
}

// channel is one channel of a session.
type channel struct {
	session       *session
	id            uint16
	closed        bool
	confirms      *amqp.ConfirmTracker // after confirm.select
	incoming      *publish             // its body is coming
	reader        *mailbox.Channel     // once it reads answers
	confirmBuffer []amqp.Confirm
}

// Receive takes bytes of the client.
func (s *session) Receive(now time.Duration, b []byte) error {
	s.now = now
	return s.protocol.Receive(now, b)
}

// Check asks publishers to stop, or lets them go on, and holds the protocol's time limits.
func (s *session) Check(now time.Duration) error {
	s.now = now
	if s.hasPublished {
		s.setBlocked(now, s.goingAway || s.server.admission.Blocked())
	}
	return s.protocol.Check(now)
}

// setBlocked asks the client with connection.blocked or, where its library does not know that, with channel.flow.
func (s *session) setBlocked(now time.Duration, blocked bool) {
	if blocked == s.blockSent || !s.protocol.Running() {
		return
	}
	s.blockSent = blocked
	reason := "no messages are taken for now"
	if s.goingAway {
		reason = "the dispatcher is stopping"
	}
	if s.protocol.SetBlocked(now, blocked, reason) {
		return
	}
	for id := range s.channels {
		s.protocol.Send(id, &amqp.ChannelFlow{Active: !blocked})
	}
}

// Due is when Check has something to look at.
func (s *session) Due(now time.Duration) time.Duration { return s.protocol.Due(now) }

// GoAway asks publishers to stop for good.
func (s *session) GoAway(time.Duration) { s.goingAway = true }

// Finish closes the connection: all answers are out.
func (s *session) Finish(now time.Duration) {
	s.flush() // closing drops the channels, and what was to be confirmed on them
	s.protocol.Close(now, "the dispatcher is stopping")
}

// Output returns what is to be written, the confirms that have gathered with it.
func (s *session) Output() []byte {
	s.flush()
	return s.protocol.Output()
}

func (s *session) flush() {
	for _, ch := range s.unflushed {
		s.sendConfirms(ch)
	}
	s.unflushed = s.unflushed[:0]
}

// Owes tells whether publishes have no answer yet, or a close is under way.
func (s *session) Owes() bool { return s.unanswered > 0 || s.protocol.Closing() && !s.protocol.Done() }

// Done tells that the connection has ended.
func (s *session) Done() bool { return s.protocol.Done() }

// Lost lets what was taken be carried on: a publish is a hand-over, and does not end with its connection. Answers go
// to the queue that the message names. What the client read without acknowledging goes back.
func (s *session) Lost() {
	s.now = s.server.now()
	for _, ch := range s.channels {
		s.removeChannel(ch)
	}
	s.server.answers.Lock()
	s.server.answers.DeleteExclusive(s.owner)
	s.server.answers.Unlock()
}

// removeChannel drops a channel that is gone.
func (s *session) removeChannel(ch *channel) {
	if ch.closed {
		return
	}
	ch.closed = true
	delete(s.channels, ch.id)
	s.server.admission.CloseChannels(1)
	if ch.incoming != nil {
		ch.incoming.abandon()
		ch.incoming = nil
	}
	if ch.reader != nil {
		s.server.answers.Lock()
		ch.reader.Close(s.now)
		s.server.answers.Unlock()
	}
}

func (s *session) handleEvent(e *amqp.Event) {
	switch e.Kind {
	case amqp.Login:
		s.login(e)
		return
	case amqp.ChannelOpened:
		if !s.server.admission.OpenChannel() {
			s.protocol.CloseWithError(&amqp.Error{Code: amqp.ResourceError, Channel: e.Channel, Text: "too many channels are open on all connections"})
			return
		}
		s.channels[e.Channel] = &channel{session: s, id: e.Channel}
		s.protocol.AcceptChannel(e.Channel)
		return
	}
	ch := s.channels[e.Channel]
	if ch == nil {
		return
	}
	switch e.Kind {
	case amqp.ChannelClosed:
		s.removeChannel(ch)
	case amqp.ContentHeader:
		s.handleContentHeader(ch, e)
	case amqp.ContentBody:
		s.handleBody(ch, e.Data, e.Complete)
	case amqp.ChannelMethod:
		if err := s.handleMethod(ch, e.Method); err != nil {
			err.Channel = ch.id
			err.Class, err.Method = amqp.ID(e.Method)
			s.protocol.CloseWithError(err)
		}
	}
}

func (s *session) login(e *amqp.Event) {
	tenant, ok := s.server.catalog.Login(e.User, e.Password)
	if !ok {
		s.server.admission.Malformed.Add(1)
		s.conn.Log("login refused for %q", intake.Printable(e.User))
		if err := s.protocol.RefuseLogin("no tenant of this name with this password"); err != nil {
			s.conn.Log("%v", err)
		}
		return
	}
	s.tenant, s.user = tenant, e.User
	s.protocol.AcceptLogin()
}

// sendConfirms sends what is known of a channel's publishes.
func (s *session) sendConfirms(ch *channel) {
	if ch.closed || ch.confirms == nil {
		return
	}
	ch.confirmBuffer = ch.confirms.Flush(ch.confirmBuffer[:0])
	for _, c := range ch.confirmBuffer {
		if c.Nack {
			s.protocol.Send(ch.id, &amqp.BasicNack{DeliveryTag: c.Tag})
		} else {
			s.protocol.Send(ch.id, &amqp.BasicAck{DeliveryTag: c.Tag, Multiple: c.Multiple})
		}
	}
	if cap(ch.confirmBuffer) > 64 {
		ch.confirmBuffer = nil // an idle channel holds little
	}
}

// settle tells a publisher what became of a publish, with the next output.
func (s *session) settle(ch *channel, tag uint64, served bool) {
	if ch.confirms == nil || tag == 0 || ch.closed {
		return
	}
	ch.confirms.Settle(tag, served)
	s.unflushed = append(s.unflushed, ch)
}
