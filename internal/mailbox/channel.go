package mailbox

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Channel is the reading side of one channel of a connection. It holds the channel's consumers and unacknowledged
// deliveries. Its methods are calls of its Broker and are serialised with them.
type Channel struct {
	broker    *Broker
	tenant    int
	owner     uint64
	sink      Sink
	consumers map[string]*consumer
	// unacked is sorted by delivery tag.
	unacked []unackedDelivery
	// unwritten are the deliveries to consumers without acknowledgements that are not on their way yet.
	unwritten       []unackedDelivery
	lastDeliveryTag uint64
	// channelPrefetch bounds the unacknowledged deliveries of the channel, 0 for no bound.
	channelPrefetch int
	// consumerPrefetch is the prefetch of consumers that are started from now on, 0 for no bound.
	consumerPrefetch int
	paused           bool
}

// consumer is one consumer of a queue.
type consumer struct {
	channel   *Channel
	tag       string
	queue     *queue
	noAck     bool
	exclusive bool
	prefetch  int
	unacked   int
}

// unackedDelivery is a delivery that waits for an acknowledgement.
type unackedDelivery struct {
	deliveryTag uint64
	queue       *queue
	// consumer is nil for an answer fetched by Get, and for a consumer without acknowledgements.
	consumer *consumer
	answer   queuedAnswer
}

// Channel returns a new channel of the connection owner. Deliveries to its consumers go to sink.
func (b *Broker) Channel(tenant int, owner uint64, sink Sink) *Channel {
	return &Channel{broker: b, tenant: tenant, owner: owner, sink: sink, consumers: map[string]*consumer{}}
}

// hasCapacity reports whether the consumer may get another delivery: its channel is not paused, and it has no
// acknowledgements or is within both prefetch limits.
func (c *consumer) hasCapacity() bool {
	return !c.channel.paused && (c.noAck || (c.prefetch == 0 || c.unacked < c.prefetch) && (c.channel.channelPrefetch == 0 || len(c.channel.unacked) < c.channel.channelPrefetch))
}

// deliver passes an answer to a consumer and records it: as unacknowledged or, if the consumer needs no acknowledgement, as not
// written.
func (ch *Channel) deliver(q *queue, c *consumer, answer queuedAnswer) {
	ch.lastDeliveryTag++
	d := Delivery{ConsumerTag: c.tag, DeliveryTag: ch.lastDeliveryTag, Redelivered: answer.redelivered, Queue: q.name, Payload: answer.payload}
	q.unacked++
	if c.noAck {
		ch.unwritten = append(ch.unwritten, unackedDelivery{ch.lastDeliveryTag, q, nil, answer})
	} else {
		ch.unacked = append(ch.unacked, unackedDelivery{ch.lastDeliveryTag, q, c, answer})
		c.unacked++
	}
	ch.sink.Deliver(d)
}

// Written reports that a delivery is on its way to its consumer. One that needs no acknowledgement is settled by that; for others
// nothing changes.
func (ch *Channel) Written(now time.Duration, tag uint64) {
	ch.release(now, ch.takeUnwritten(tag), false)
}

// Return requeues a delivery that was not written, because its consumer has been cancelled. It does nothing if the delivery is
// settled.
func (ch *Channel) Return(now time.Duration, tag uint64) {
	if unwritten := ch.takeUnwritten(tag); unwritten != nil {
		ch.release(now, unwritten, true)
		return
	}
	_ = ch.Reject(now, tag, false, true)
}

// takeUnwritten removes a delivery from unwritten and returns it, or nil if it is not there.
func (ch *Channel) takeUnwritten(tag uint64) []unackedDelivery {
	i := slices.IndexFunc(ch.unwritten, func(u unackedDelivery) bool { return u.deliveryTag == tag })
	if i < 0 {
		return nil
	}
	taken := []unackedDelivery{ch.unwritten[i]}
	ch.unwritten = slices.Delete(ch.unwritten, i, i+1)
	return taken
}

// Consume adds a consumer to a queue and returns its tag. For an empty tag it generates one. Call StartDeliveries after
// it. Errors are ErrNotFound, ErrLocked, ErrConsumerTagInUse and ErrInUse.
func (ch *Channel) Consume(queue, tag string, noAck, exclusive bool) (string, error) {
	q, err := ch.broker.find(ch.tenant, queue, ch.owner)
	if err != nil {
		return "", err
	}
	if tag == "" {
		ch.broker.lastGeneratedName++
		tag = fmt.Sprintf("amq.ctag-%d", ch.broker.lastGeneratedName)
	}
	if ch.consumers[tag] != nil {
		return "", ErrConsumerTagInUse
	}
	if len(q.consumers) > 0 && (exclusive || q.consumers[0].exclusive) {
		return "", ErrInUse
	}
	c := &consumer{channel: ch, tag: tag, queue: q, noAck: noAck, exclusive: exclusive, prefetch: ch.consumerPrefetch}
	ch.consumers[tag] = c
	q.consumers = append(q.consumers, c)
	return tag, nil
}

// StartDeliveries delivers the answers that are ready for a consumer. It is separate from Consume so that the client
// can be told of the consumer tag before the first delivery.
func (ch *Channel) StartDeliveries(tag string) {
	if c := ch.consumers[tag]; c != nil {
		ch.broker.dispatch(c.queue)
	}
}

// Cancel removes a consumer. Its unacknowledged deliveries remain.
func (ch *Channel) Cancel(now time.Duration, tag string) {
	c := ch.consumers[tag]
	if c == nil {
		return
	}
	delete(ch.consumers, tag)
	ch.removeConsumer(now, c)
}

// removeConsumer removes a consumer from its queue. An auto-delete queue is removed with its last consumer.
func (ch *Channel) removeConsumer(now time.Duration, c *consumer) {
	q := c.queue
	q.consumers = slices.DeleteFunc(q.consumers, func(o *consumer) bool { return o == c })
	q.lastUsed = now
	if q.spec.AutoDelete && len(q.consumers) == 0 && !q.removed {
		ch.broker.removeQueue(q)
	}
}

// HasConsumer reports whether the channel has a consumer with the tag.
func (ch *Channel) HasConsumer(tag string) bool { return ch.consumers[tag] != nil }

// SetPrefetch limits the number of unacknowledged deliveries: of the whole channel if perChannel is set, or else of
// each consumer that is started from now on. 0 is no limit.
func (ch *Channel) SetPrefetch(n int, perChannel bool) {
	if perChannel {
		ch.channelPrefetch = n
		ch.dispatch()
	} else {
		ch.consumerPrefetch = n
	}
}

// SetPaused stops deliveries to all consumers of the channel, or resumes them.
func (ch *Channel) SetPaused(paused bool) {
	ch.paused = paused
	ch.dispatch()
}

// dispatch delivers from the queues of all consumers, in the order of their tags so that it is deterministic.
func (ch *Channel) dispatch() {
	tags := make([]string, 0, len(ch.consumers))
	for tag := range ch.consumers {
		tags = append(tags, tag)
	}
	slices.Sort(tags)
	for _, tag := range tags {
		ch.broker.dispatch(ch.consumers[tag].queue)
	}
}

// Get fetches the first ready answer of a queue and returns the number of those that remain. ok is false if none is
// ready. Prefetch limits do not apply.
func (ch *Channel) Get(queue string, noAck bool) (d Delivery, remaining int, ok bool, err error) {
	q, err := ch.broker.find(ch.tenant, queue, ch.owner)
	if err != nil || len(q.ready) == 0 {
		return d, 0, false, err
	}
	answer := q.ready[0]
	q.ready = q.ready[1:]
	ch.lastDeliveryTag++
	if !noAck {
		ch.unacked = append(ch.unacked, unackedDelivery{ch.lastDeliveryTag, q, nil, answer})
		q.unacked++
	}
	return Delivery{DeliveryTag: ch.lastDeliveryTag, Redelivered: answer.redelivered, Queue: q.name, Payload: answer.payload}, len(q.ready), true, nil
}

// Ack acknowledges a delivery. With multiple it acknowledges all deliveries up to the tag, or all deliveries if the tag
// is 0. It returns ErrUnknownDelivery if the tag is not unacknowledged.
func (ch *Channel) Ack(now time.Duration, tag uint64, multiple bool) error {
	return ch.settle(now, tag, multiple, false)
}

// Reject requeues deliveries, or drops them if requeue is false. tag, multiple and the error are as for Ack.
func (ch *Channel) Reject(now time.Duration, tag uint64, multiple, requeue bool) error {
	return ch.settle(now, tag, multiple, requeue)
}

// Recover requeues all unacknowledged deliveries.
func (ch *Channel) Recover(now time.Duration) {
	_ = ch.settle(now, 0, true, true)
}

// settle removes deliveries from unacked and releases them.
func (ch *Channel) settle(now time.Duration, tag uint64, multiple, requeue bool) error {
	i, found := slices.BinarySearchFunc(ch.unacked, tag, func(u unackedDelivery, tag uint64) int { return cmp.Compare(u.deliveryTag, tag) })
	var settled []unackedDelivery
	switch {
	case multiple && tag == 0:
		settled, ch.unacked = ch.unacked, nil
	case !found:
		return ErrUnknownDelivery
	case multiple:
		settled = slices.Clone(ch.unacked[:i+1])
		ch.unacked = ch.unacked[i+1:]
	default:
		settled = []unackedDelivery{ch.unacked[i]}
		ch.unacked = slices.Delete(ch.unacked, i, i+1)
	}
	ch.release(now, settled, requeue)
	return nil
}

// release requeues or drops deliveries that are no longer unacknowledged, and delivers what that makes room for.
func (ch *Channel) release(now time.Duration, settled []unackedDelivery, requeue bool) {
	var queues []*queue
	for _, u := range settled {
		u.queue.unacked--
		u.queue.lastUsed = now
		if u.consumer != nil {
			u.consumer.unacked--
		}
		if requeue && !u.queue.removed {
			u.queue.requeue(u.answer)
		}
		if !slices.Contains(queues, u.queue) {
			queues = append(queues, u.queue)
		}
	}
	for _, q := range queues {
		if !q.removed {
			ch.broker.dispatch(q)
		}
	}
	if ch.channelPrefetch > 0 {
		ch.dispatch()
	}
}

// Close removes all consumers of the channel and requeues its deliveries that are not acknowledged, or not written.
func (ch *Channel) Close(now time.Duration) {
	returned := slices.Concat(ch.unacked, ch.unwritten)
	ch.unacked, ch.unwritten = nil, nil
	consumers := ch.consumers
	ch.consumers = map[string]*consumer{}
	// All consumers are detached first, so that none of them gets a requeued answer.
	for _, c := range consumers {
		c.queue.consumers = slices.DeleteFunc(c.queue.consumers, func(o *consumer) bool { return o == c })
	}
	ch.release(now, returned, true)
	for _, c := range consumers {
		ch.removeConsumer(now, c)
	}
}
