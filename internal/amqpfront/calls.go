package amqpfront

import (
	"errors"
	"fmt"
	"time"

	"whinrun/internal/amqp"
	"whinrun/internal/intake"
	"whinrun/internal/mailbox"
	"whinrun/internal/receipt"
)

// call takes a method on an open channel. docs/amqp.md has the table of what is supported.
func (s *session) call(ch *channel, m amqp.Method) *amqp.Error {
	switch m := m.(type) {
	case *amqp.ConfirmSelect:
		if ch.confirms == nil {
			ch.confirms = &amqp.ConfirmTracker{}
		}
		s.reply(ch, m.NoWait, &amqp.ConfirmSelectOK{})
	case *amqp.ChannelFlow:
		return s.mail(ch, func(c *mailbox.Channel) error {
			c.SetPaused(!m.Active)
			s.c.Send(ch.id, &amqp.ChannelFlowOK{Active: m.Active})
			return nil
		})
	case *amqp.ChannelFlowOK: // what a client does with it shows in what it sends
	case *amqp.ExchangeDeclare:
		return s.exchange(ch, m)
	case *amqp.QueueDeclare:
		return s.declare(ch, m)
	case *amqp.QueueBind, *amqp.QueueUnbind, *amqp.QueuePurge, *amqp.QueueDelete:
		return s.queue(ch, m)
	case *amqp.BasicQos, *amqp.BasicConsume, *amqp.BasicCancel, *amqp.BasicGet, *amqp.BasicAck, *amqp.BasicNack, *amqp.BasicReject,
		*amqp.BasicRecover, *amqp.BasicRecoverAsync:
		return s.read(ch, m)
	case *amqp.ExchangeDelete:
		return unsupported("exchanges are set by the configuration")
	default:
		return &amqp.Error{Code: amqp.CommandInvalid, Text: "that is a server's method, or not to be sent now"}
	}
	return nil
}

func unsupported(format string, a ...any) *amqp.Error {
	return &amqp.Error{Code: amqp.NotImplemented, Text: fmt.Sprintf(format, a...)}
}

func (s *session) reply(ch *channel, noWait bool, m amqp.Method) {
	if !noWait {
		s.c.Send(ch.id, m)
	}
}

// problem maps what the mailbox says to reply codes.
func problem(err error) *amqp.Error {
	if err == nil {
		return nil
	}
	code := amqp.PreconditionFailed
	switch {
	case errors.Is(err, mailbox.ErrNotFound):
		code = amqp.NotFound
	case errors.Is(err, mailbox.ErrLocked):
		code = amqp.ResourceLocked
	case errors.Is(err, mailbox.ErrInUse):
		code = amqp.AccessRefused
	case errors.Is(err, mailbox.ErrConsumerTagInUse):
		code = amqp.NotAllowed
	}
	return &amqp.Error{Code: code, Text: err.Error()}
}

// exchange finds a configured exchange: declaring one makes none.
func (s *session) exchange(ch *channel, m *amqp.ExchangeDeclare) *amqp.Error {
	x := s.desk.book.Exchange(m.Exchange)
	switch {
	case m.Exchange != "" && x == nil && m.Passive:
		return &amqp.Error{Code: amqp.NotFound, Text: fmt.Sprintf("no exchange %q", intake.Printable(m.Exchange))}
	case m.Exchange != "" && x == nil:
		return &amqp.Error{Code: amqp.AccessRefused, Text: fmt.Sprintf("no exchange %q, and exchanges are set by the configuration",
			intake.Printable(m.Exchange))}
	case !m.Passive && (m.Type != "direct" || m.AutoDelete || m.Internal || len(m.Arguments) > 0):
		return &amqp.Error{Code: amqp.PreconditionFailed, Text: "exchanges here are direct, not auto-delete, not internal, without arguments"}
	}
	s.reply(ch, m.NoWait, &amqp.ExchangeDeclareOK{})
	return nil
}

func (s *session) declare(ch *channel, m *amqp.QueueDeclare) *amqp.Error {
	if m.Durable {
		return unsupported("queues of answers are not durable")
	}
	for _, a := range m.Arguments {
		if v, _ := a.Value.(string); a.Name != "x-queue-type" || v != "classic" {
			return &amqp.Error{Code: amqp.PreconditionFailed, Text: fmt.Sprintf("queue argument %q is not supported", intake.Printable(a.Name))}
		}
	}
	if len(m.Queue) >= 4 && m.Queue[:4] == "amq." && !m.Passive {
		return &amqp.Error{Code: amqp.AccessRefused, Text: "names that begin with amq. are the server's"}
	}
	s.desk.room.Lock()
	name, ready, consumers, err := s.desk.room.Declare(s.now, s.tenant, mailbox.QueueSpec{Name: m.Queue, Exclusive: m.Exclusive,
		AutoDelete: m.AutoDelete, Owner: s.owner}, m.Passive)
	s.desk.room.Unlock()
	if err == nil {
		s.reply(ch, m.NoWait, &amqp.QueueDeclareOK{Queue: name, Messages: uint32(ready), Consumers: uint32(consumers)})
	}
	return problem(err)
}

// queue takes the methods that are about a queue.
func (s *session) queue(ch *channel, m amqp.Method) *amqp.Error {
	s.desk.room.Lock()
	defer s.desk.room.Unlock()
	box := s.desk.room
	switch m := m.(type) {
	case *amqp.QueueBind:
		if m.Exchange == "" || s.desk.book.Exchange(m.Exchange) == nil {
			return &amqp.Error{Code: amqp.NotFound, Text: "queues of answers are bound to configured exchanges"}
		}
		if err := box.Bind(s.tenant, m.Exchange, m.Key, m.Queue, s.owner); err != nil {
			return problem(err)
		}
		s.reply(ch, m.NoWait, &amqp.QueueBindOK{})
	case *amqp.QueueUnbind:
		if err := box.Unbind(s.tenant, m.Exchange, m.Key, m.Queue, s.owner); err != nil {
			return problem(err)
		}
		s.c.Send(ch.id, &amqp.QueueUnbindOK{})
	case *amqp.QueuePurge:
		n, err := box.Purge(s.tenant, m.Queue, s.owner)
		if err != nil {
			return problem(err)
		}
		s.reply(ch, m.NoWait, &amqp.QueuePurgeOK{Messages: uint32(n)})
	case *amqp.QueueDelete:
		n, err := box.Delete(s.tenant, m.Queue, s.owner, m.IfUnused, m.IfEmpty)
		if errors.Is(err, mailbox.ErrInUse) {
			return &amqp.Error{Code: amqp.PreconditionFailed, Text: err.Error()}
		} else if err != nil {
			return problem(err)
		}
		s.reply(ch, m.NoWait, &amqp.QueueDeleteOK{Messages: uint32(n)})
	}
	return nil
}

// mail runs do on the channel's part of the mailbox, under its lock.
func (s *session) mail(ch *channel, do func(*mailbox.Channel) error) *amqp.Error {
	s.desk.room.Lock()
	defer s.desk.room.Unlock()
	if ch.mail == nil {
		ch.mail = s.desk.room.Channel(s.tenant, s.owner, ch)
	}
	return problem(do(ch.mail))
}

// read takes the methods of a reader of answers.
func (s *session) read(ch *channel, m amqp.Method) *amqp.Error {
	switch m := m.(type) {
	case *amqp.BasicQos:
		if m.PrefetchSize != 0 {
			return unsupported("a prefetch size is not supported")
		}
		return s.mail(ch, func(c *mailbox.Channel) error {
			c.SetPrefetch(int(m.PrefetchCount), m.Global)
			s.c.Send(ch.id, &amqp.BasicQosOK{})
			return nil
		})
	case *amqp.BasicConsume:
		return s.consume(ch, m)
	case *amqp.BasicCancel:
		return s.mail(ch, func(c *mailbox.Channel) error {
			c.Cancel(s.now, m.ConsumerTag)
			s.reply(ch, m.NoWait, &amqp.BasicCancelOK{ConsumerTag: m.ConsumerTag})
			return nil
		})
	case *amqp.BasicGet:
		return s.get(ch, m)
	case *amqp.BasicAck:
		return s.mail(ch, func(c *mailbox.Channel) error { return c.Ack(s.now, m.DeliveryTag, m.Multiple) })
	case *amqp.BasicNack:
		return s.mail(ch, func(c *mailbox.Channel) error { return c.Reject(s.now, m.DeliveryTag, m.Multiple, m.Requeue) })
	case *amqp.BasicReject:
		return s.mail(ch, func(c *mailbox.Channel) error { return c.Reject(s.now, m.DeliveryTag, false, m.Requeue) })
	case *amqp.BasicRecover:
		return s.recover(ch, m.Requeue, true)
	case *amqp.BasicRecoverAsync:
		return s.recover(ch, m.Requeue, false)
	}
	return nil
}

func (s *session) recover(ch *channel, requeue, answer bool) *amqp.Error {
	if !requeue {
		return unsupported("recovering without requeue is not supported")
	}
	return s.mail(ch, func(c *mailbox.Channel) error {
		c.Recover(s.now)
		if answer {
			s.c.Send(ch.id, &amqp.BasicRecoverOK{})
		}
		return nil
	})
}

func (s *session) consume(ch *channel, m *amqp.BasicConsume) *amqp.Error {
	if len(m.Arguments) > 0 {
		return &amqp.Error{Code: amqp.PreconditionFailed, Text: "consumer arguments are not supported"}
	}
	return s.mail(ch, func(c *mailbox.Channel) error {
		tag, err := c.Consume(m.Queue, m.ConsumerTag, m.NoAck, m.Exclusive)
		if err != nil {
			return err
		}
		s.reply(ch, m.NoWait, &amqp.BasicConsumeOK{ConsumerTag: tag})
		c.StartDeliveries(tag)
		return nil
	})
}

func (s *session) get(ch *channel, m *amqp.BasicGet) *amqp.Error {
	return s.mail(ch, func(c *mailbox.Channel) error {
		d, left, ok, err := c.Get(m.Queue, m.NoAck)
		if err != nil {
			return err
		}
		if !ok {
			s.c.Send(ch.id, &amqp.BasicGetEmpty{})
			return nil
		}
		props, body := s.desk.message(d.Payload.(*receipt.Receipt))
		s.c.SendContent(ch.id, &amqp.BasicGetOK{DeliveryTag: d.DeliveryTag, Redelivered: d.Redelivered, Key: d.Queue, Messages: uint32(left)}, props, body)
		return nil
	})
}

// delivery is an answer on its way to the event loop of its reader.
type delivery struct {
	ch *channel
	d  mailbox.Delivery
}

// Deliver is mailbox.Sink: it runs under the mailbox's lock, on any goroutine. Where the connection is gone its
// channels are about to be closed, which puts the answer back.
func (ch *channel) Deliver(d mailbox.Delivery) { ch.s.conn.Post(&delivery{ch, d}) }

// Open writes an answer to its reader.
func (d *delivery) Open(now time.Duration) {
	if d.ch.gone { // closing it has put the answer back; its number may be another channel's by now
		return
	}
	m := d.ch.s.desk.room
	m.Lock()
	reads := d.ch.mail.HasConsumer(d.d.ConsumerTag)
	if !reads { // cancelled while this was on its way
		_ = d.ch.mail.Reject(now, d.d.DeliveryTag, false, true)
	}
	m.Unlock()
	if !reads {
		return
	}
	props, body := d.ch.s.desk.message(d.d.Payload.(*receipt.Receipt))
	d.ch.s.c.SendContent(d.ch.id, &amqp.BasicDeliver{ConsumerTag: d.d.ConsumerTag, DeliveryTag: d.d.DeliveryTag, Redelivered: d.d.Redelivered, Key: d.d.Queue},
		props, body)
}

// Lost does nothing: closing the channel puts the answer back.
func (d *delivery) Lost() {}

// cancelled tells a reader that its queue is gone.
type cancelled struct {
	ch  *channel
	tag string
}

// Cancelled is mailbox.Sink.
func (ch *channel) Cancelled(tag string) { ch.s.conn.Post(&cancelled{ch, tag}) }

// Open sends basic.cancel where the client can take it.
func (c *cancelled) Open(time.Duration) {
	if !c.ch.gone && c.ch.s.c.SupportsCancelNotify() {
		c.ch.s.c.Send(c.ch.id, &amqp.BasicCancel{ConsumerTag: c.tag, NoWait: true})
	}
}

// Lost does nothing.
func (c *cancelled) Lost() {}
