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
	s      *session
	ch     *channel
	tag    uint64 // 0 on a channel that does not confirm
	how    *amqp.BasicPublish
	props  *amqp.Properties
	msg    *engine.Message
	ticket admission.Reservation
	place  *mailbox.Reservation
	answer engine.Answer
}

// content begins a message.
func (s *session) content(ch *channel, e *amqp.Event) {
	s.publishes = true
	p := &publish{s: s, ch: ch, how: e.Publish, props: e.Properties}
	if ch.confirms != nil {
		p.tag = ch.confirms.Publish()
	}
	if err := s.begin(p, e.Size); err != nil {
		s.desk.side.Rejected.Add(1)
		s.c.DiscardBody(ch.id)
		s.turnAway(p, err)
		return
	}
	ch.in = p
	if e.Complete {
		s.body(ch, nil, true)
	}
}

// begin finds what a message is for and takes its properties; an error is a protocol error or a refusal.
func (s *session) begin(p *publish, size uint64) error {
	if p.how.Immediate {
		return &amqp.Error{Code: amqp.NotImplemented, Text: "the immediate flag is not supported"}
	}
	if size > uint64(s.desk.book.MaxBody()) {
		return &amqp.Error{Code: amqp.ContentTooLarge, Text: fmt.Sprintf("body of %d bytes above %d", size, s.desk.book.MaxBody())}
	}
	r, target, err := s.route(p.how)
	if err != nil {
		return err
	}
	m := &engine.Message{Class: r.Class, Tenant: r.Tenant, Dest: r.Dest, TargetPath: target, ContentType: p.props.ContentType,
		ContentEncoding: p.props.ContentEncoding, Origin: p}
	if err := s.properties(m, r, p.props); err != nil {
		return &amqp.Error{Code: amqp.PreconditionFailed, Text: err.Error()}
	}
	s.desk.room.Lock()
	p.place, err = s.desk.room.Reserve(s.tenant, p.props.ReplyTo, p.how.Exchange, p.how.Key)
	s.desk.room.Unlock()
	if errors.Is(err, mailbox.ErrNotFound) {
		return &refusal{amqp.NoRoute, fmt.Sprintf("reply-to %q names no queue of answers", intake.Printable(p.props.ReplyTo))}
	} else if err != nil {
		return &refusal{amqp.NoConsumers, err.Error()}
	}
	p.msg, p.ticket = m, s.desk.side.NewReservation(m.Tenant)
	return nil
}

// refusal turns one message away and harms nothing else.
type refusal struct {
	code amqp.Code
	text string
}

func (r *refusal) Error() string { return r.text }

// route finds the resource of an exchange and routing key. The default exchange takes the paths of push resources.
func (s *session) route(how *amqp.BasicPublish) (*intake.Resource, string, error) {
	var r *intake.Resource
	var target string
	if how.Exchange == "" {
		r, target = s.desk.book.Find(how.Key)
	} else {
		x := s.desk.book.Exchange(how.Exchange)
		if x == nil {
			return nil, "", &amqp.Error{Code: amqp.NotFound, Text: fmt.Sprintf("no exchange %q", intake.Printable(how.Exchange))}
		}
		r, target = s.desk.book.Route(x, how.Key)
	}
	if r == nil {
		return nil, "", &refusal{amqp.NoRoute, fmt.Sprintf("routing key %q leads to no partner", intake.Printable(how.Key))}
	}
	if r.Tenant != s.tenant && !s.desk.book.IsOpen(r.Tenant) {
		return nil, "", &amqp.Error{Code: amqp.AccessRefused, Text: "that is another tenant's"}
	}
	return r, target, nil
}

// properties takes what the message asks for.
func (s *session) properties(m *engine.Message, r *intake.Resource, p *amqp.Properties) error {
	asked := time.Duration(-1)
	if p.Expiration != "" {
		ms, err := strconv.ParseUint(p.Expiration, 10, 63)
		if err != nil && !errors.Is(err, strconv.ErrRange) {
			return fmt.Errorf("expiration %q is no number of milliseconds", intake.Printable(p.Expiration))
		}
		if ms < uint64(r.MaxLifetime/time.Millisecond) {
			asked = time.Duration(ms) * time.Millisecond
		}
	}
	m.Lifetime = s.desk.book.Lifetime(r.MaxLifetime, asked)
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

// body takes a part of the body; end has the message handed over.
func (s *session) body(ch *channel, data []byte, end bool) {
	p := ch.in
	if p == nil {
		return
	}
	err := p.ticket.Reserve(len(data))
	if err == nil {
		p.msg.Body = append(p.msg.Body, data...)
		if !end {
			return
		}
		ch.in = nil
		s.awaiting++
		if err = p.ticket.Submit(p.msg); err == nil {
			return
		}
		s.awaiting--
	}
	ch.in = nil
	s.c.DiscardBody(ch.id)
	p.drop()
	s.turnAway(p, &refusal{amqp.NoConsumers, "not taken: " + err.Error()})
}

// drop ends a message that was not taken.
func (p *publish) drop() {
	p.ticket.Reject()
	p.unpromise()
}

func (p *publish) unpromise() {
	if p.place == nil {
		return
	}
	d := p.s.desk
	d.room.Lock()
	p.place.Release(p.s.now)
	d.room.Unlock()
	p.place = nil
}

// turnAway tells the publisher of a message that was never taken: its channel is closed for what can never be right,
// else the message comes back with a nack. Without confirms and the mandatory flag a message without a route is
// dropped, as the specification has it (section 1.8.3.3), and one above the limits closes the channel: nobody else
// would tell its publisher.
func (s *session) turnAway(p *publish, err error) {
	var e *amqp.Error
	var r *refusal
	switch {
	case errors.As(err, &e):
		e.Channel = p.ch.id
		e.Class, e.Method = amqp.ID(p.how)
		s.c.CloseWithError(e)
	case errors.As(err, &r):
		if p.tag == 0 && !p.how.Mandatory {
			if r.code != amqp.NoRoute {
				class, method := amqp.ID(p.how)
				s.c.CloseWithError(&amqp.Error{Code: amqp.ContentTooLarge, Channel: p.ch.id, Text: r.text, Class: class, Method: method})
			}
			return
		}
		s.giveBack(p, r.code, r.text, time.Second)
		s.settle(p.ch, p.tag, false)
	}
}

// giveBack returns a message: handing it in again is harmless.
func (s *session) giveBack(p *publish, code amqp.Code, reason string, wait time.Duration) {
	if p.ch.gone {
		return
	}
	props := *p.props
	props.Headers = append(amqp.Table(nil), props.Headers...)
	props.Headers = props.Headers.Set(HeaderAnswer, "refused").Set(HeaderReason, reason).Set(HeaderRetryAfter, int64(wait/time.Millisecond))
	var body []byte
	if p.msg != nil {
		body = p.msg.Body
		if p.msg.ID != 0 {
			props.Headers = props.Headers.Set(HeaderMessageName, s.desk.names.Format(p.msg.ID))
		}
	}
	if p.tag > 0 {
		props.Headers = props.Headers.Set(HeaderDeliveryTag, int64(p.tag))
	}
	text := map[amqp.Code]string{amqp.NoRoute: "NO_ROUTE"}[code]
	if text == "" {
		text = "REFUSED"
	}
	s.c.SendContent(p.ch.id, &amqp.BasicReturn{Code: code, Text: text + " - " + reason, Exchange: p.how.Exchange, Key: p.how.Key}, &props, body)
}

// Answer is engine.Origin: it runs on the engine's goroutine. The answer goes into its queue first, whether or not the
// connection is still there.
func (p *publish) Answer(_ *engine.Message, a engine.Answer) {
	p.answer = a
	if p.place != nil {
		d := p.s.desk
		receipt := p.receipt()
		d.room.Lock()
		p.place.Fill(d.now(), receipt)
		d.room.Unlock()
	}
	if !p.s.conn.Post(p) {
		p.Lost()
	}
}

// Lost counts an answer for which the connection is not there any more.
func (p *publish) Lost() { p.ticket.Complete(p.answer.Kind, p.place != nil) }

// Open tells the publisher.
func (p *publish) Open(time.Duration) {
	s := p.s
	s.awaiting--
	told := !p.ch.gone && p.tag > 0
	if p.answer.Kind == engine.Refused && (p.tag > 0 || p.how.Mandatory) {
		s.giveBack(p, amqp.NoConsumers, p.answer.AttemptDetail, time.Duration(p.answer.RetryAfter)*time.Microsecond)
		told = !p.ch.gone
	}
	s.settle(p.ch, p.tag, p.answer.Kind == engine.Served)
	p.ticket.Complete(p.answer.Kind, told || p.place != nil)
}

// receipt is the full final answer, for the queue of answers.
func (p *publish) receipt() *receipt.Receipt {
	r := receipt.New(p.s.desk.names.Format(p.msg.ID), &p.answer, clock.Wall())
	r.MessageID, r.CorrelationID, r.Exchange, r.RoutingKey = p.props.MessageID, p.props.CorrelationID, p.how.Exchange, p.how.Key
	return r
}

// message makes a receipt a message: its correlation-id is the publisher's or, without one, the message-id. With a key
// the signed form goes along.
func (d *Server) message(r *receipt.Receipt) (*amqp.Properties, []byte) {
	p := &amqp.Properties{ContentType: "application/json", MessageID: r.Message, CorrelationID: r.CorrelationID, Type: r.Answer,
		DeliveryMode: 1, Timestamp: uint64(r.At.Unix())}
	if p.CorrelationID == "" {
		p.CorrelationID = r.MessageID
	}
	if d.room.Key != nil {
		p.Headers = amqp.Table{{Name: HeaderReceipt, Value: r.Sign(d.room.Key)}}
	}
	return p, r.JSON()
}
