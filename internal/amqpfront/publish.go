package amqpfront

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"whinrun/internal/admission"
	"whinrun/internal/amqp"
	"whinrun/internal/clock"
	"whinrun/internal/engine"
	"whinrun/internal/intake"
	"whinrun/internal/mailbox"
	"whinrun/internal/receipt"
)

// Names of message headers.
const (
	// HeaderOrderKey is sent by publishers: the key of messages to be delivered in order.
	HeaderOrderKey = "x-order-key"
	// HeaderAnswer is set on returned messages. Its value is "refused".
	HeaderAnswer = "x-answer"
	// HeaderReason is set on returned messages: the reason as text.
	HeaderReason = "x-reason"
	// HeaderRetryAfter is set on returned messages: the time to wait before a retry, in milliseconds.
	HeaderRetryAfter = "x-retry-after"
	// HeaderMessageName is set on returned messages that already have a message name: that name.
	HeaderMessageName = "whinrun-message"
	// HeaderReceipt is set on answers if receipts are signed: the signed receipt.
	HeaderReceipt = "x-receipt"
	// HeaderDeliveryTag is set on returned messages of channels with confirms: the delivery tag of the publish.
	HeaderDeliveryTag = "x-delivery-tag"
)

// publish is one message from its content header to its final answer. It is the engine.Origin of the message, and the
// front.Task that brings the answer to the connection's event loop.
type publish struct {
	session *session
	channel *channel
	// tag is the delivery tag, 0 on a channel without confirms.
	tag             uint64
	method          *amqp.BasicPublish
	props           *amqp.Properties
	message         *engine.Message
	loadReservation admission.Reservation
	// bodySize is the size of the body in bytes.
	bodySize int
	// reservation is the answer's place in its queue. It is nil if there is no queue, or once it is released.
	reservation *mailbox.Reservation
	answer      engine.Answer
}

// handleContentHeader starts a publish, or rejects it and discards its body.
func (s *session) handleContentHeader(ch *channel, e *amqp.Event) {
	s.hasPublished = true
	p := &publish{session: s, channel: ch, method: e.Publish, props: e.Properties}
	if ch.confirms != nil {
		p.tag = ch.confirms.Publish()
	}
	if err := s.prepare(p, e.Size, e.HeadSize); err != nil {
		if p.message == nil {
			s.server.admission.Rejected.Add(1)
		}
		s.protocol.DiscardBody(ch.id)
		s.reject(p, err)
		return
	}
	ch.incoming = p
	if e.Complete {
		s.handleBody(ch, nil, true)
	}
}

// prepare finds the resource for a publish, applies its properties and reserves a place for its answer. The error is an
// *amqp.Error, which closes the channel or the connection, or a *refusal. size is the size of the body in bytes, and headSize that of the
// properties.
func (s *session) prepare(p *publish, size uint64, headSize int) error {
	if p.method.Immediate {
		return &amqp.Error{Code: amqp.NotImplemented, Text: "the immediate flag is not supported"}
	}
	if size > uint64(s.server.catalog.MaxBody()) {
		return &amqp.Error{Code: amqp.ContentTooLarge, Text: fmt.Sprintf("body of %d bytes above %d", size, s.server.catalog.MaxBody())}
	}
	r, target, err := s.route(p.method)
	if err != nil {
		return err
	}
	m := &engine.Message{Class: r.Class, Tenant: r.Tenant, Dest: r.Dest, TargetPath: target, ContentType: p.props.ContentType,
		ContentEncoding: p.props.ContentEncoding, Origin: p}
	if err := s.applyProperties(m, r, p.props); err != nil {
		return &amqp.Error{Code: amqp.PreconditionFailed, Text: err.Error()}
	}
	p.message, p.loadReservation = m, s.server.admission.NewReservation(m.Tenant)
	p.bodySize = int(size)
	if err := p.loadReservation.Begin(headSize); err != nil {
		p.loadReservation.Reject()
		return &refusal{amqp.NoConsumers, "not taken: " + err.Error()}
	}
	s.server.answers.Lock()
	p.reservation, err = s.server.answers.Reserve(s.tenant, p.props.ReplyTo, p.method.Exchange, p.method.Key)
	s.server.answers.Unlock()
	if err != nil {
		p.loadReservation.Reject()
	}
	if errors.Is(err, mailbox.ErrNotFound) {
		return &refusal{amqp.NoRoute, fmt.Sprintf("reply-to %q names no queue of answers", intake.Printable(p.props.ReplyTo))}
	} else if err != nil {
		return &refusal{amqp.NoConsumers, err.Error()}
	}
	return nil
}

// refusal rejects one message without closing its channel.
type refusal struct {
	code amqp.Code
	text string
}

// Error returns the reason.
func (r *refusal) Error() string { return r.text }

// route returns the resource and target for an exchange and routing key. On the default exchange the routing key is the
// path of a push resource.
func (s *session) route(method *amqp.BasicPublish) (*intake.Resource, string, error) {
	var r *intake.Resource
	var target string
	if method.Exchange == "" {
		r, target = s.server.catalog.Find(method.Key)
	} else {
		x := s.server.catalog.Exchange(method.Exchange)
		if x == nil {
			return nil, "", &amqp.Error{Code: amqp.NotFound, Text: fmt.Sprintf("no exchange %q", intake.Printable(method.Exchange))}
		}
		r, target = s.server.catalog.Route(x, method.Key)
	}
	if r == nil {
		return nil, "", &refusal{amqp.NoRoute, fmt.Sprintf("routing key %q leads to no partner", intake.Printable(method.Key))}
	}
	if r.Tenant != s.tenant && !s.server.catalog.IsOpen(r.Tenant) {
		return nil, "", &amqp.Error{Code: amqp.AccessRefused, Text: "that is another tenant's"}
	}
	return r, target, nil
}

// applyProperties sets the lifetime, urgency, order key and deduplication key of a message from its properties. It
// returns an error for invalid properties.
func (s *session) applyProperties(m *engine.Message, r *intake.Resource, p *amqp.Properties) error {
	requested := time.Duration(-1)
	if p.Expiration != "" {
		ms, err := strconv.ParseUint(p.Expiration, 10, 63)
		if err != nil && !errors.Is(err, strconv.ErrRange) {
			return fmt.Errorf("expiration %q is no number of milliseconds", intake.Printable(p.Expiration))
		}
		if ms < uint64(r.MaxLifetime/time.Millisecond) {
			requested = time.Duration(ms) * time.Millisecond
		}
	}
	m.Lifetime = s.server.catalog.Lifetime(r.MaxLifetime, requested)
	if p.HasPriority {
		m.Urgency = urgency(p.Priority)
	}
	if p.UserID != "" && p.UserID != s.user {
		return fmt.Errorf("user-id is not that of the connection")
	}
	if err := intake.SetTopic(m, r.InOrder, p.Headers.GetString(HeaderOrderKey)); err != nil {
		return fmt.Errorf("header %s: %w", HeaderOrderKey, err)
	}
	if p.MessageID != "" {
		if err := intake.SetIdempotencyKey(m, p.MessageID); err != nil {
			return fmt.Errorf("message-id: %w", err)
		}
	}
	if strings.ContainsFunc(p.ContentType+p.ContentEncoding, func(r rune) bool { return r < ' ' || r > '~' }) {
		return errors.New("content-type and content-encoding are to be printable: they go on as header fields")
	}
	return nil
}

// urgency maps a priority to one of the four urgencies of RFC 8030. Priorities above 9 count as 9.
func urgency(priority uint8) string {
	switch {
	case priority <= 1:
		return "very-low"
	case priority <= 3:
		return "low"
	case priority <= 6:
		return "normal"
	}
	return "high"
}

// handleBody appends a part of the body. When the body is complete it submits the message.
func (s *session) handleBody(ch *channel, data []byte, complete bool) {
	p := ch.incoming
	if p == nil {
		return
	}
	var err error
	if p.message.Body, err = p.loadReservation.AppendBody(p.message.Body, data, p.bodySize); err == nil {
		if !complete {
			return
		}
		ch.incoming = nil
		s.unanswered++
		if err = p.loadReservation.Submit(p.message); err == nil {
			return
		}
		s.unanswered--
	}
	ch.incoming = nil
	s.protocol.DiscardBody(ch.id)
	p.abandon()
	s.reject(p, &refusal{amqp.NoConsumers, "not taken: " + err.Error()})
}

// abandon releases what a publish holds that was not accepted.
func (p *publish) abandon() {
	p.loadReservation.Reject()
	p.releaseReservation()
}

// releaseReservation gives the place in the answer queue back, if there is one.
func (p *publish) releaseReservation() {
	if p.reservation == nil {
		return
	}
	server := p.session.server
	server.answers.Lock()
	p.reservation.Release(p.session.now)
	server.answers.Unlock()
	p.reservation = nil
}

// reject tells the publisher of a message that was never taken. An *amqp.Error closes its channel or the connection.
// For a *refusal the message is returned and, on a channel with confirms, gets a nack. Without confirms, a refused
// message without the mandatory flag is dropped if it has no route (section 1.8.3.3). Any other such refusal closes the
// channel, because the publisher would not learn of it otherwise.
func (s *session) reject(p *publish, err error) {
	var e *amqp.Error
	var r *refusal
	switch {
	case errors.As(err, &e):
		e.Channel = p.channel.id
		e.Class, e.Method = amqp.ID(p.method)
		s.protocol.CloseWithError(e)
	case errors.As(err, &r):
		if p.tag == 0 && !p.method.Mandatory {
			if r.code != amqp.NoRoute {
				class, method := amqp.ID(p.method)
				s.protocol.CloseWithError(&amqp.Error{Code: amqp.ContentTooLarge, Channel: p.channel.id, Text: r.text, Class: class, Method: method})
			}
			return
		}
		s.returnMessage(p, r.code, r.text, time.Second)
		s.settle(p.channel, p.tag, false)
	}
}

// returnMessage sends a message back with basic.return and the headers that say why. wait is the time after which the
// publisher may retry. Publishing the message again is harmless.
func (s *session) returnMessage(p *publish, code amqp.Code, reason string, wait time.Duration) {
	if p.channel.closed {
		return
	}
	props := *p.props
	props.Headers = append(amqp.Table(nil), props.Headers...)
	props.Headers = props.Headers.Set(HeaderAnswer, "refused").Set(HeaderReason, reason).Set(HeaderRetryAfter, int64(wait/time.Millisecond))
	var body []byte
	if p.message != nil {
		body = p.message.Body
		if p.message.ID != 0 {
			props.Headers = props.Headers.Set(HeaderMessageName, s.server.names.Format(p.message.ID))
		}
	}
	if p.tag > 0 {
		props.Headers = props.Headers.Set(HeaderDeliveryTag, int64(p.tag))
	}
	text := map[amqp.Code]string{amqp.NoRoute: "NO_ROUTE"}[code]
	if text == "" {
		text = "REFUSED"
	}
	s.protocol.SendContent(p.channel.id, &amqp.BasicReturn{Code: code, Text: text + " - " + reason, Exchange: p.method.Exchange, Key: p.method.Key}, &props, body)
}

// Answer implements engine.Origin. It runs on the engine's goroutine. It puts the answer into its queue first, even if
// the connection is gone, and then passes it to the connection's event loop.
func (p *publish) Answer(_ *engine.Message, a engine.Answer) {
	p.answer = a
	if p.reservation != nil {
		server := p.session.server
		answer := p.receipt()
		server.answers.Lock()
		p.reservation.Fill(server.now(), answer)
		server.answers.Unlock()
	}
	if !p.session.conn.Post(p) {
		p.Drop()
	}
}

// Drop counts the answer of a publish whose connection is gone.
func (p *publish) Drop() { p.loadReservation.Complete(p.answer.Kind, p.reservation != nil) }

// Run confirms the publish, and returns the message if it was refused. It runs on the connection's event loop.
func (p *publish) Run(time.Duration) {
	s := p.session
	s.unanswered--
	notified := !p.channel.closed && p.tag > 0
	if p.answer.Kind == engine.Refused && (p.tag > 0 || p.method.Mandatory) {
		s.returnMessage(p, amqp.NoConsumers, p.answer.AttemptDetail, time.Duration(p.answer.RetryAfter)*time.Microsecond)
		notified = !p.channel.closed
	}
	s.settle(p.channel, p.tag, p.answer.Kind == engine.Served)
	p.loadReservation.Complete(p.answer.Kind, notified || p.reservation != nil)
}

// receipt returns the full final answer for the answer queue.
func (p *publish) receipt() *receipt.Receipt {
	r := receipt.New(p.session.server.names.Format(p.message.ID), &p.answer, clock.Wall())
	r.MessageID, r.CorrelationID, r.Exchange, r.RoutingKey = p.props.MessageID, p.props.CorrelationID, p.method.Exchange, p.method.Key
	return r
}

// receiptMessage converts a receipt to the properties and body of a message. The correlation-id is that of the publish
// or, without one, its message-id. If receipts are signed, a header carries the signed form.
func (server *Server) receiptMessage(r *receipt.Receipt) (*amqp.Properties, []byte) {
	p := &amqp.Properties{ContentType: "application/json", MessageID: r.Message, CorrelationID: r.CorrelationID, Type: r.Answer,
		DeliveryMode: 1, Timestamp: uint64(r.At.Unix())}
	if p.CorrelationID == "" {
		p.CorrelationID = r.MessageID
	}
	if server.answers.Key != nil {
		p.Headers = amqp.Table{{Name: HeaderReceipt, Value: r.Sign(server.answers.Key)}}
	}
	return p, r.JSON()
}
