package amqpfront

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"whinrun/internal/amqp"
	"whinrun/internal/clock"
	"whinrun/internal/door"
	"whinrun/internal/engine"
	"whinrun/internal/intake"
	"whinrun/internal/mailbox"
	"whinrun/internal/receipt"
)

// Headers that a publisher may send, and those that we set on returned messages.
const (
	HeaderOrderKey    = "x-order-key"
	HeaderAnswer      = "x-answer"        // refused
	HeaderReason      = "x-reason"        // in words
	HeaderRetryAfter  = "x-retry-after"   // milliseconds to stay away
	HeaderMessageName = "whinrun-message" // our name of the message
	HeaderReceipt     = "x-receipt"       // of an answer: the signed receipt
	HeaderDeliveryTag = "x-delivery-tag"  // of the publish, on channels that confirm
)

// publish is one message from its content header to its answer.
type publish struct {
	session     *session
	channel     *channel
	tag         uint64 // 0 on a channel that does not confirm
	method      *amqp.BasicPublish
	props       *amqp.Properties
	message     *engine.Message
	ticket      door.Ticket
	reservation *mailbox.Reservation
	answer      engine.Answer
}

// handleContentHeader begins a message.
func (s *session) handleContentHeader(ch *channel, e *amqp.Event) {
	s.hasPublished = true
	p := &publish{session: s, channel: ch, method: e.Publish, props: e.Properties}
	if ch.confirms != nil {
		p.tag = ch.confirms.Publish()
	}
	if err := s.prepare(p, e.Size); err != nil {
		s.server.admission.Rejected.Add(1)
		s.protocol.DiscardBody(ch.id)
		s.reject(p, err)
		return
	}
	ch.incoming = p
	if e.Complete {
		s.handleBody(ch, nil, true)
	}
}

// prepare finds what a message is for and takes its properties; an error is a protocol error or a refusal.
func (s *session) prepare(p *publish, size uint64) error {
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
	m := &engine.Message{Class: r.Class, Tenant: r.Tenant, Dest: r.Dest, Target: target, Type: p.props.ContentType,
		Coding: p.props.ContentEncoding, Origin: p}
	if err := s.applyProperties(m, r, p.props); err != nil {
		return &amqp.Error{Code: amqp.PreconditionFailed, Text: err.Error()}
	}
	s.server.answers.Lock()
	p.reservation, err = s.server.answers.Reserve(s.tenant, p.props.ReplyTo, p.method.Exchange, p.method.Key)
	s.server.answers.Unlock()
	if errors.Is(err, mailbox.ErrNotFound) {
		return &refusal{amqp.NoRoute, fmt.Sprintf("reply-to %q names no queue of answers", intake.Printable(p.props.ReplyTo))}
	} else if err != nil {
		return &refusal{amqp.NoConsumers, err.Error()}
	}
	p.message, p.ticket = m, s.server.admission.Ticket(m.Tenant)
	return nil
}

// refusal turns one message away and harms nothing else.
type refusal struct {
	code amqp.Code
	text string
}

func (r *refusal) Error() string { return r.text }

// route finds the resource of an exchange and routing key. The default exchange takes the paths of push resources.
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
	if r.Tenant != s.tenant && !s.server.catalog.Open(r.Tenant) {
		return nil, "", &amqp.Error{Code: amqp.AccessRefused, Text: "that is another tenant's"}
	}
	return r, target, nil
}

// applyProperties takes what the message asks for.
func (s *session) applyProperties(m *engine.Message, r *intake.Resource, p *amqp.Properties) error {
	requested := time.Duration(-1)
	if p.Expiration != "" {
		ms, err := strconv.ParseUint(p.Expiration, 10, 63)
		if err != nil && !errors.Is(err, strconv.ErrRange) {
			return fmt.Errorf("expiration %q is no number of milliseconds", intake.Printable(p.Expiration))
		}
		if ms < uint64(r.Life/time.Millisecond) {
			requested = time.Duration(ms) * time.Millisecond
		}
	}
	m.Life = s.server.catalog.Life(r.Life, requested)
	if p.HasPriority {
		m.Urgency = urgency(p.Priority)
	}
	if p.UserID != "" && p.UserID != s.user {
		return fmt.Errorf("user-id is not that of the connection")
	}
	if err := intake.Order(m, r.InOrder, p.Headers.GetString(HeaderOrderKey)); err != nil {
		return fmt.Errorf("header %s: %w", HeaderOrderKey, err)
	}
	if p.MessageID != "" {
		if err := intake.Repeat(m, p.MessageID); err != nil {
			return fmt.Errorf("message-id: %w", err)
		}
	}
	if strings.ContainsFunc(p.ContentType+p.ContentEncoding, func(r rune) bool { return r < ' ' || r > '~' }) {
		return errors.New("content-type and content-encoding are to be printable: they go on as header fields")
	}
	return nil
}

// urgency maps a priority (0 to 9, above counts as 9) to RFC 8030's four.
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

// handleBody takes a part of the body; end has the message handed over.
func (s *session) handleBody(ch *channel, data []byte, complete bool) {
	p := ch.incoming
	if p == nil {
		return
	}
	err := p.ticket.Grow(len(data))
	if err == nil {
		p.message.Body = append(p.message.Body, data...)
		if !complete {
			return
		}
		ch.incoming = nil
		s.unanswered++
		if err = p.ticket.Submit(p.message); err == nil {
			return
		}
		s.unanswered--
	}
	ch.incoming = nil
	s.protocol.DiscardBody(ch.id)
	p.abandon()
	s.reject(p, &refusal{amqp.NoConsumers, "not taken: " + err.Error()})
}

// abandon ends a message that was not taken.
func (p *publish) abandon() {
	p.ticket.Turn()
	p.releaseReservation()
}

func (p *publish) releaseReservation() {
	if p.reservation == nil {
		return
	}
	d := p.session.server
	d.answers.Lock()
	p.reservation.Release(p.session.now)
	d.answers.Unlock()
	p.reservation = nil
}

// reject tells the publisher of a message that was never taken: its channel is closed for what can never be right,
// else the message comes back with a nack. Without confirms and the mandatory flag a message without a route is
// dropped, as the specification has it (section 1.8.3.3), and one above the limits closes the channel: nobody else
// would tell its publisher.
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

// returnMessage returns a message: handing it in again is harmless.
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
			props.Headers = props.Headers.Set(HeaderMessageName, s.server.names.Of(p.message.ID))
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

// Final is engine.Origin: it runs on the engine's goroutine. The answer goes into its queue first, whether or not the
// connection is still there.
func (p *publish) Final(_ *engine.Message, a engine.Answer) {
	p.answer = a
	if p.reservation != nil {
		d := p.session.server
		receipt := p.receipt()
		d.answers.Lock()
		p.reservation.Fill(d.now(), receipt)
		d.answers.Unlock()
	}
	if !p.session.conn.Post(p) {
		p.Lost()
	}
}

// Lost counts an answer for which the connection is not there any more.
func (p *publish) Lost() { p.ticket.Answered(p.answer.Final, p.reservation != nil) }

// Open tells the publisher.
func (p *publish) Open(time.Duration) {
	s := p.session
	s.unanswered--
	notified := !p.channel.closed && p.tag > 0
	if p.answer.Final == engine.Refused && (p.tag > 0 || p.method.Mandatory) {
		s.returnMessage(p, amqp.NoConsumers, p.answer.Why, time.Duration(p.answer.Wait)*time.Microsecond)
		notified = !p.channel.closed
	}
	s.settle(p.channel, p.tag, p.answer.Final == engine.Served)
	p.ticket.Answered(p.answer.Final, notified || p.reservation != nil)
}

// receipt is the full final answer, for the queue of answers.
func (p *publish) receipt() *receipt.Receipt {
	r := receipt.New(p.session.server.names.Of(p.message.ID), &p.answer, clock.Wall())
	r.MessageID, r.Correlation, r.Exchange, r.Key = p.props.MessageID, p.props.CorrelationID, p.method.Exchange, p.method.Key
	return r
}

// receiptMessage makes a receipt a message: its correlation-id is the publisher's or, without one, the message-id. With a key
// the signed form goes along.
func (d *Server) receiptMessage(r *receipt.Receipt) (*amqp.Properties, []byte) {
	p := &amqp.Properties{ContentType: "application/json", MessageID: r.Message, CorrelationID: r.Correlation, Type: r.Answer,
		DeliveryMode: 1, Timestamp: uint64(r.At.Unix())}
	if p.CorrelationID == "" {
		p.CorrelationID = r.MessageID
	}
	if d.answers.Key != nil {
		p.Headers = amqp.Table{{Name: HeaderReceipt, Value: r.Sign(d.answers.Key)}}
	}
	return p, r.JSON()
}
