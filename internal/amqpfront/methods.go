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

// handleMethod handles a method on an open channel. docs/amqp.md has the table of supported methods.
func (s *session) handleMethod(ch *channel, m amqp.Method) *amqp.Error {
	switch m := m.(type) {
	case *amqp.ConfirmSelect:
		if ch.confirms == nil {
			ch.confirms = &amqp.ConfirmTracker{}
		}
		s.reply(ch, m.NoWait, &amqp.ConfirmSelectOK{})
	case *amqp.ChannelFlow:
		return s.withReader(ch, func(c *mailbox.Channel) error {
			c.SetPaused(!m.Active)
			s.protocol.Send(ch.id, &amqp.ChannelFlowOK{Active: m.Active})
			return nil
		})
	case *amqp.ChannelFlowOK:
		// Nothing depends on it. Publishes are admitted or rejected one by one.
	case *amqp.ExchangeDeclare:
		return s.declareExchange(ch, m)
	case *amqp.QueueDeclare:
		return s.declareQueue(ch, m)
	case *amqp.QueueBind, *amqp.QueueUnbind, *amqp.QueuePurge, *amqp.QueueDelete:
		return s.handleQueueMethod(ch, m)
	case *amqp.BasicQos, *amqp.BasicConsume, *amqp.BasicCancel, *amqp.BasicGet, *amqp.BasicAck, *amqp.BasicNack, *amqp.BasicReject,
		*amqp.BasicRecover, *amqp.BasicRecoverAsync:
		return s.handleReaderMethod(ch, m)
	case *amqp.ExchangeDelete:
		return unsupported("exchanges are set by the configuration")
	default:
		return &amqp.Error{Code: amqp.CommandInvalid, Text: "that is a server's method, or not to be sent now"}
	}
	return nil
}

// unsupported returns an error that closes the connection with NotImplemented.
func unsupported(format string, a ...any) *amqp.Error {
	return &amqp.Error{Code: amqp.NotImplemented, Text: fmt.Sprintf(format, a...)}
}

// reply sends the answer to a method, unless its no-wait flag forbids one.
func (s *session) reply(ch *channel, noWait bool, m amqp.Method) {
	if !noWait {
		s.protocol.Send(ch.id, m)
	}
}

// replyError converts an error of the answer queues to one with a reply code. The default is PreconditionFailed.
func replyError(err error) *amqp.Error {
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

// declareExchange checks a declaration against the configured exchanges. It never creates one.
func (s *session) declareExchange(ch *channel, m *amqp.ExchangeDeclare) *amqp.Error {
	x := s.server.catalog.Exchange(m.Exchange)
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

// declareQueue declares an answer queue.
func (s *session) declareQueue(ch *channel, m *amqp.QueueDeclare) *amqp.Error {
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
	s.server.answers.Lock()
	name, ready, consumers, err := s.server.answers.Declare(s.now, s.tenant, mailbox.QueueSpec{Name: m.Queue, Exclusive: m.Exclusive,
		AutoDelete: m.AutoDelete, Owner: s.owner}, m.Passive)
	s.server.answers.Unlock()
	if err == nil {
		s.reply(ch, m.NoWait, &amqp.QueueDeclareOK{Queue: name, Messages: uint32(ready), Consumers: uint32(consumers)})
	}
	return replyError(err)
}

// handleQueueMethod handles the methods on existing queues.
func (s *session) handleQueueMethod(ch *channel, m amqp.Method) *amqp.Error {
	s.server.answers.Lock()
	defer s.server.answers.Unlock()
	answers := s.server.answers
	switch m := m.(type) {
	case *amqp.QueueBind:
		if m.Exchange == "" || s.server.catalog.Exchange(m.Exchange) == nil {
			return &amqp.Error{Code: amqp.NotFound, Text: "queues of answers are bound to configured exchanges"}
		}
		if err := answers.Bind(s.tenant, m.Exchange, m.Key, m.Queue, s.owner); err != nil {
			return replyError(err)
		}
		s.reply(ch, m.NoWait, &amqp.QueueBindOK{})
	case *amqp.QueueUnbind:
		if err := answers.Unbind(s.tenant, m.Exchange, m.Key, m.Queue, s.owner); err != nil {
			return replyError(err)
		}
		s.protocol.Send(ch.id, &amqp.QueueUnbindOK{})
	case *amqp.QueuePurge:
		n, err := answers.Purge(s.tenant, m.Queue, s.owner)
		if err != nil {
			return replyError(err)
		}
		s.reply(ch, m.NoWait, &amqp.QueuePurgeOK{Messages: uint32(n)})
	case *amqp.QueueDelete:
		n, err := answers.Delete(s.tenant, m.Queue, s.owner, m.IfUnused, m.IfEmpty)
		if errors.Is(err, mailbox.ErrInUse) {
			return &amqp.Error{Code: amqp.PreconditionFailed, Text: err.Error()}
		} else if err != nil {
			return replyError(err)
		}
		s.reply(ch, m.NoWait, &amqp.QueueDeleteOK{Messages: uint32(n)})
	}
	return nil
}

// withReader calls do with the channel's reader, under the lock of the answer queues. It creates the reader if needed.
func (s *session) withReader(ch *channel, do func(*mailbox.Channel) error) *amqp.Error {
	s.server.answers.Lock()
	defer s.server.answers.Unlock()
	if ch.reader == nil {
		ch.reader = s.server.answers.Channel(s.tenant, s.owner, ch)
	}
	return replyError(do(ch.reader))
}

// handleReaderMethod handles the methods for reading answers.
func (s *session) handleReaderMethod(ch *channel, m amqp.Method) *amqp.Error {
	switch m := m.(type) {
	case *amqp.BasicQos:
		if m.PrefetchSize != 0 {
			return unsupported("a prefetch size is not supported")
		}
		return s.withReader(ch, func(c *mailbox.Channel) error {
			c.SetPrefetch(int(m.PrefetchCount), m.Global)
			s.protocol.Send(ch.id, &amqp.BasicQosOK{})
			return nil
		})
	case *amqp.BasicConsume:
		return s.consume(ch, m)
	case *amqp.BasicCancel:
		return s.withReader(ch, func(c *mailbox.Channel) error {
			c.Cancel(s.now, m.ConsumerTag)
			s.reply(ch, m.NoWait, &amqp.BasicCancelOK{ConsumerTag: m.ConsumerTag})
			return nil
		})
	case *amqp.BasicGet:
		return s.get(ch, m)
	case *amqp.BasicAck:
		return s.withReader(ch, func(c *mailbox.Channel) error { return c.Ack(s.now, m.DeliveryTag, m.Multiple) })
	case *amqp.BasicNack:
		return s.withReader(ch, func(c *mailbox.Channel) error { return c.Reject(s.now, m.DeliveryTag, m.Multiple, m.Requeue) })
	case *amqp.BasicReject:
		return s.withReader(ch, func(c *mailbox.Channel) error { return c.Reject(s.now, m.DeliveryTag, false, m.Requeue) })
	case *amqp.BasicRecover:
		return s.recoverDeliveries(ch, m.Requeue, true)
	case *amqp.BasicRecoverAsync:
		return s.recoverDeliveries(ch, m.Requeue, false)
	}
	return nil
}

// recoverDeliveries requeues all unacknowledged deliveries of a channel.
func (s *session) recoverDeliveries(ch *channel, requeue, reply bool) *amqp.Error {
	if !requeue {
		return unsupported("recovering without requeue is not supported")
	}
	return s.withReader(ch, func(c *mailbox.Channel) error {
		c.Recover(s.now)
		if reply {
			s.protocol.Send(ch.id, &amqp.BasicRecoverOK{})
		}
		return nil
	})
}

// consume starts a consumer. Deliveries begin after basic.consume-ok is queued for output.
func (s *session) consume(ch *channel, m *amqp.BasicConsume) *amqp.Error {
	if len(m.Arguments) > 0 {
		return &amqp.Error{Code: amqp.PreconditionFailed, Text: "consumer arguments are not supported"}
	}
	return s.withReader(ch, func(c *mailbox.Channel) error {
		tag, err := c.Consume(m.Queue, m.ConsumerTag, m.NoAck, m.Exclusive)
		if err != nil {
			return err
		}
		s.reply(ch, m.NoWait, &amqp.BasicConsumeOK{ConsumerTag: tag})
		c.StartDeliveries(tag)
		return nil
	})
}

// get answers basic.get.
func (s *session) get(ch *channel, m *amqp.BasicGet) *amqp.Error {
	return s.withReader(ch, func(c *mailbox.Channel) error {
		d, remaining, ok, err := c.Get(m.Queue, m.NoAck)
		if err != nil {
			return err
		}
		if !ok {
			s.protocol.Send(ch.id, &amqp.BasicGetEmpty{})
			return nil
		}
		props, body := s.server.receiptMessage(d.Payload.(*receipt.Receipt))
		s.protocol.SendContent(ch.id, &amqp.BasicGetOK{DeliveryTag: d.DeliveryTag, Redelivered: d.Redelivered, Key: d.Queue, Messages: uint32(remaining)}, props, body)
		return nil
	})
}

// delivery passes an answer to the event loop of its consumer's connection.
type delivery struct {
	channel *channel
	answer  mailbox.Delivery
}

// Deliver implements mailbox.Sink. It runs on any goroutine, under the lock of the answer queues. If the connection is
// gone, its channels are about to be closed, which requeues the answer.
func (ch *channel) Deliver(d mailbox.Delivery) { ch.session.conn.Post(&delivery{ch, d}) }

// Run sends an answer to its consumer. It runs on the connection's event loop.
func (d *delivery) Run(now time.Duration) {
	if d.channel.closed {
		// Closing the channel has requeued the answer. The channel number may be in use again.
		return
	}
	answers := d.channel.session.server.answers
	answers.Lock()
	consuming := d.channel.reader.HasConsumer(d.answer.ConsumerTag)
	if consuming {
		d.channel.reader.Written(now, d.answer.DeliveryTag)
	} else {
		// The consumer was cancelled after the answer was handed to it.
		d.channel.reader.Return(now, d.answer.DeliveryTag)
	}
	answers.Unlock()
	if !consuming {
		return
	}
	props, body := d.channel.session.server.receiptMessage(d.answer.Payload.(*receipt.Receipt))
	d.channel.session.protocol.SendContent(d.channel.id, &amqp.BasicDeliver{ConsumerTag: d.answer.ConsumerTag, DeliveryTag: d.answer.DeliveryTag, Redelivered: d.answer.Redelivered, Key: d.answer.Queue},
		props, body)
}

// Drop does nothing, because closing the channel requeues the answer.
func (d *delivery) Drop() {}

// cancelled passes the removal of a queue to the event loop of its consumer's connection.
type cancelled struct {
	channel *channel
	tag     string
}

// Cancelled implements mailbox.Sink. It runs on any goroutine, under the lock of the answer queues.
func (ch *channel) Cancelled(tag string) { ch.session.conn.Post(&cancelled{ch, tag}) }

// Run sends basic.cancel if the client accepts it from a server.
func (c *cancelled) Run(time.Duration) {
	if !c.channel.closed && c.channel.session.protocol.SupportsCancelNotify() {
		c.channel.session.protocol.Send(c.channel.id, &amqp.BasicCancel{ConsumerTag: c.tag, NoWait: true})
	}
}

// Drop does nothing, because the consumer is gone with its connection.
func (c *cancelled) Drop() {}
