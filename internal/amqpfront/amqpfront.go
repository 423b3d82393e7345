// Package amqpfront is the AMQP 0-9-1 front towards clients. Programs publish as to a broker. The final answer comes
// back as a confirm. It also comes in full in an answer queue if the message names one in reply-to or a queue is bound
// to its exchange and routing key. docs/answers.md says what each of these guarantees. Like every front it decides
// nothing about messages: one that it rejects was never taken.
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

// Server holds what the sessions of the front share. It is safe for concurrent use.
type Server struct {
	cfg       amqp.Config
	catalog   *intake.Registry
	names     push.ExternalIDs
	admission *admission.Frontend
	now       func() time.Duration
	// lastOwner is the owner number of the latest session. It names the session to the answer queues.
	lastOwner atomic.Uint64

	// answers holds the answer queues.
	answers *mailbox.SharedBroker
}

// New returns a Server with the protocol limits cfg. catalog holds resources and tenants, names converts message
// numbers to message names, admission admits messages and channels, answers holds the answer queues, and now is the
// clock of the sessions.
func New(cfg amqp.Config, catalog *intake.Registry, names push.ExternalIDs, admission *admission.Frontend, answers *mailbox.SharedBroker, now func() time.Duration) *Server {
	return &Server{cfg: cfg, catalog: catalog, names: names, admission: admission, now: now, answers: answers}
}

// Open returns the session of a new connection.
func (server *Server) Open(c *front.Conn, now time.Duration) front.Session {
	s := &session{server: server, conn: c, owner: server.lastOwner.Add(1), channels: map[uint16]*channel{}, input: server.admission.NewReservation(0)}
	s.protocol = amqp.NewConn(server.cfg, now, s.handleEvent)
	return s
}

// session serves one client connection. Its event loop makes all calls.
type session struct {
	server   *Server
	conn     *front.Conn
	protocol *amqp.Conn
	owner    uint64
	now      time.Duration
	tenant   int
	user     string
	channels map[uint16]*channel
	// unflushed lists the channels with confirms to send. A channel may occur more than once.
	unflushed []*channel
	// unanswered is the number of accepted publishes without a final answer.
	unanswered int
	// input accounts for a large frame that is not complete, of which inputBytes are reserved.
	input      admission.Reservation
	inputBytes int
	hasPublished,
	// blockSent is set while the client is asked to publish nothing.
	blockSent,
	// goingAway is set once the dispatcher is stopping.
	goingAway bool
}

// channel is one channel of a session.
type channel struct {
	session *session
	id      uint16
	closed  bool
	// confirms is nil before confirm.select.
	confirms *amqp.ConfirmTracker
	// incoming is the publish whose body is incomplete, or nil.
	incoming *publish
	// reader is nil until the channel first uses a method for reading answers.
	reader *mailbox.Channel
	// confirmBuffer is reused between calls of sendConfirms.
	confirmBuffer []amqp.Confirm
}

// Receive processes bytes from the client. An error ends the connection.
func (s *session) Receive(now time.Duration, b []byte) error {
	s.now = now
	err := s.protocol.Receive(now, b)
	s.reserveInput()
	return err
}

// uncountedInput is the part of a frame that is not complete for which nothing is reserved, in bytes.
const uncountedInput = 16 << 10

// reserveInput reserves what a large frame needs until it is complete. Where the limits do not allow that, it closes the connection.
// Payloads of body frames are not buffered, and their bytes are reserved with their message.
func (s *session) reserveInput() {
	n := max(0, s.protocol.Buffered()-uncountedInput)
	if n == s.inputBytes {
		return
	}
	if err := s.input.Reserve(n - s.inputBytes); err != nil {
		s.protocol.Abort(&amqp.Error{Code: amqp.ResourceError, Text: "a large frame is not taken: " + err.Error()})
		n = 0
		_ = s.input.Reserve(-s.inputBytes) // Giving back does not fail.
	}
	s.inputBytes = n
}

// Check blocks or unblocks the client if it publishes, and enforces the time limits of the protocol. An error ends the
// connection.
func (s *session) Check(now time.Duration) error {
	s.now = now
	if s.hasPublished {
		s.setBlocked(now, s.goingAway || s.server.admission.Blocked())
	}
	return s.protocol.Check(now)
}

// setBlocked asks the client to stop or resume publishing. It uses connection.blocked or, for a client without that
// capability, channel.flow on each channel.
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

// NextCheck returns when Check is to be called next.
func (s *session) NextCheck(now time.Duration) time.Duration { return s.protocol.NextCheck(now) }

// GoAway makes the next Check ask the client to stop publishing permanently.
func (s *session) GoAway(time.Duration) { s.goingAway = true }

// Finish closes the connection after all answers have come.
func (s *session) Finish(now time.Duration) {
	// Closing removes the channels, and with them any confirms that are not sent yet.
	s.flush()
	s.protocol.Close(now, "the dispatcher is stopping")
}

// Output returns the bytes to be written, including the confirms that are due.
func (s *session) Output() []byte {
	s.flush()
	return s.protocol.Output()
}

// flush sends the confirms that are due on all channels.
func (s *session) flush() {
	for _, ch := range s.unflushed {
		s.sendConfirms(ch)
	}
	s.unflushed = s.unflushed[:0]
}

// Pending reports whether publishes have no final answer yet or a close is not complete.
func (s *session) Pending() bool {
	return s.unanswered > 0 || s.protocol.Closing() && !s.protocol.Done()
}

// Done reports whether the connection has ended.
func (s *session) Done() bool { return s.protocol.Done() }

// ConnClosed cleans up after the connection. Accepted publishes continue, because publishing hands the message over for good;
// their answers go to the reserved answer queues. Unacknowledged deliveries are requeued.
func (s *session) ConnClosed() {
	s.now = s.server.now()
	s.input.Withdraw()
	for _, ch := range s.channels {
		s.removeChannel(ch)
	}
	s.server.answers.Lock()
	s.server.answers.DeleteExclusive(s.owner)
	s.server.answers.Unlock()
}

// removeChannel cleans up after a channel that is closed.
func (s *session) removeChannel(ch *channel) {
	if ch.closed {
		return
	}
	ch.closed = true
	delete(s.channels, ch.id)
	s.server.admission.ReleaseChannels(1)
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

// handleEvent handles an event of the protocol.
func (s *session) handleEvent(e *amqp.Event) {
	switch e.Kind {
	case amqp.Login:
		s.login(e)
		return
	case amqp.ChannelOpened:
		if !s.server.admission.AcquireChannel() {
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

// login checks the credentials of a Login event and answers it.
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
	s.input = s.server.admission.NewReservation(tenant) // Frames before the login are too small to count.
	s.protocol.AcceptLogin()
}

// sendConfirms sends the confirms that are due on a channel.
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
		// An idle channel keeps no large buffer.
		ch.confirmBuffer = nil
	}
}

// settle records the outcome of a publish. The confirm goes out with the next output. Without confirms it does nothing.
func (s *session) settle(ch *channel, tag uint64, served bool) {
	if ch.confirms == nil || tag == 0 || ch.closed {
		return
	}
	ch.confirms.Settle(tag, served)
	s.unflushed = append(s.unflushed, ch)
}
