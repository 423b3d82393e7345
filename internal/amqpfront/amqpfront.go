// Package amqpfront is the AMQP 0-9-1 side towards clients: programs publish as to a broker, the final answer comes
// back as a confirm, and in full in a queue of answers where one is named. What each promises is in docs/answers.md.
// Like every front it decides nothing about messages: what it turns away at the door was never taken.
package amqpfront

import (
	"sync/atomic"
	"time"

	"whinrun/internal/admission"
	"whinrun/internal/amqp"
	"whinrun/internal/front"
	"whinrun/internal/intake"
	"whinrun/internal/mailbox"
	"whinrun/internal/push"
)

// Server is what the sessions of one front share.
type Server struct {
	cfg   amqp.Config
	book  *intake.Registry
	names push.ExternalIDs
	side  *admission.Frontend
	now   func() time.Duration
	owner atomic.Uint64

	room *mailbox.SharedBroker
}

// New makes a Desk. now is the clock of the sessions.
func New(cfg amqp.Config, book *intake.Registry, names push.ExternalIDs, side *admission.Frontend, room *mailbox.SharedBroker, now func() time.Duration) *Server {
	return &Server{cfg: cfg, book: book, names: names, side: side, now: now, room: room}
}

// Open makes the session of a connection.
func (d *Server) Open(c *front.Conn, now time.Duration) front.Session {
	s := &session{desk: d, conn: c, owner: d.owner.Add(1), channels: map[uint16]*channel{}}
	s.c = amqp.NewConn(d.cfg, now, s.event)
	return s
}

// session is one client connection.
type session struct {
	desk     *Server
	conn     *front.Conn
	c        *amqp.Conn
	owner    uint64
	now      time.Duration
	tenant   int
	user     string
	channels map[uint16]*channel
	dirty    []*channel // with confirms to be sent
	awaiting int        // publishes taken without an answer yet
	publishes,
	asked, // publishers have been asked to stop
	away bool
}

// channel is one channel of a session.
type channel struct {
	s        *session
	id       uint16
	gone     bool
	confirms *amqp.ConfirmTracker // after confirm.select
	in       *publish             // its body is coming
	mail     *mailbox.Channel     // once it reads answers
	buf      []amqp.Confirm
}

// Receive takes bytes of the client.
func (s *session) Receive(now time.Duration, b []byte) error {
	s.now = now
	return s.c.Receive(now, b)
}

// Check asks publishers to stop, or lets them go on, and holds the protocol's time limits.
func (s *session) Check(now time.Duration) error {
	s.now = now
	if s.publishes {
		s.block(now, s.away || s.desk.side.Blocked())
	}
	return s.c.Check(now)
}

// block asks the client with connection.blocked or, where its library does not know that, with channel.flow.
func (s *session) block(now time.Duration, on bool) {
	if on == s.asked || !s.c.Running() {
		return
	}
	s.asked = on
	reason := "no messages are taken for now"
	if s.away {
		reason = "the dispatcher is stopping"
	}
	if s.c.SetBlocked(now, on, reason) {
		return
	}
	for id := range s.channels {
		s.c.Send(id, &amqp.ChannelFlow{Active: !on})
	}
}

// Due is when Check has something to look at.
func (s *session) Due(now time.Duration) time.Duration { return s.c.Due(now) }

// GoAway asks publishers to stop for good.
func (s *session) GoAway(time.Duration) { s.away = true }

// Finish closes the connection: all answers are out.
func (s *session) Finish(now time.Duration) {
	s.flush() // closing drops the channels, and what was to be confirmed on them
	s.c.Close(now, "the dispatcher is stopping")
}

// Output returns what is to be written, the confirms that have gathered with it.
func (s *session) Output() []byte {
	s.flush()
	return s.c.Output()
}

func (s *session) flush() {
	for _, ch := range s.dirty {
		s.confirm(ch)
	}
	s.dirty = s.dirty[:0]
}

// Owes tells whether publishes have no answer yet, or a close is under way.
func (s *session) Owes() bool { return s.awaiting > 0 || s.c.Closing() && !s.c.Done() }

// Done tells that the connection has ended.
func (s *session) Done() bool { return s.c.Done() }

// Lost lets what was taken be carried on: a publish is a hand-over, and does not end with its connection. Answers go
// to the queue that the message names. What the client read without acknowledging goes back.
func (s *session) Lost() {
	s.now = s.desk.now()
	for _, ch := range s.channels {
		s.forget(ch)
	}
	s.desk.room.Lock()
	s.desk.room.DeleteExclusive(s.owner)
	s.desk.room.Unlock()
}

// forget drops a channel that is gone.
func (s *session) forget(ch *channel) {
	if ch.gone {
		return
	}
	ch.gone = true
	delete(s.channels, ch.id)
	s.desk.side.ReleaseChannels(1)
	if ch.in != nil {
		ch.in.drop()
		ch.in = nil
	}
	if ch.mail != nil {
		s.desk.room.Lock()
		ch.mail.Close(s.now)
		s.desk.room.Unlock()
	}
}

func (s *session) event(e *amqp.Event) {
	switch e.Kind {
	case amqp.Login:
		s.login(e)
		return
	case amqp.ChannelOpened:
		if !s.desk.side.AcquireChannel() {
			s.c.CloseWithError(&amqp.Error{Code: amqp.ResourceError, Channel: e.Channel, Text: "too many channels are open on all connections"})
			return
		}
		s.channels[e.Channel] = &channel{s: s, id: e.Channel}
		s.c.AcceptChannel(e.Channel)
		return
	}
	ch := s.channels[e.Channel]
	if ch == nil {
		return
	}
	switch e.Kind {
	case amqp.ChannelClosed:
		s.forget(ch)
	case amqp.ContentHeader:
		s.content(ch, e)
	case amqp.ContentBody:
		s.body(ch, e.Data, e.Complete)
	case amqp.ChannelMethod:
		if err := s.call(ch, e.Method); err != nil {
			err.Channel = ch.id
			err.Class, err.Method = amqp.ID(e.Method)
			s.c.CloseWithError(err)
		}
	}
}

func (s *session) login(e *amqp.Event) {
	tenant, ok := s.desk.book.Login(e.User, e.Password)
	if !ok {
		s.desk.side.Malformed.Add(1)
		s.conn.Log("login refused for %q", intake.Printable(e.User))
		if err := s.c.RefuseLogin("no tenant of this name with this password"); err != nil {
			s.conn.Log("%v", err)
		}
		return
	}
	s.tenant, s.user = tenant, e.User
	s.c.AcceptLogin()
}

// confirm sends what is known of a channel's publishes.
func (s *session) confirm(ch *channel) {
	if ch.gone || ch.confirms == nil {
		return
	}
	ch.buf = ch.confirms.Flush(ch.buf[:0])
	for _, c := range ch.buf {
		if c.Nack {
			s.c.Send(ch.id, &amqp.BasicNack{DeliveryTag: c.Tag})
		} else {
			s.c.Send(ch.id, &amqp.BasicAck{DeliveryTag: c.Tag, Multiple: c.Multiple})
		}
	}
	if cap(ch.buf) > 64 {
		ch.buf = nil // an idle channel holds little
	}
}

// settle tells a publisher what became of a publish, with the next output.
func (s *session) settle(ch *channel, tag uint64, served bool) {
	if ch.confirms == nil || tag == 0 || ch.gone {
		return
	}
	ch.confirms.Settle(tag, served)
	s.dirty = append(s.dirty, ch)
}
