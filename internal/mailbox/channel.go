package mailbox

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Channel is one channel of a connection that reads answers: its consumers and what they have not acknowledged.
type Channel struct {
	broker           *Broker
	tenant           int
	owner            uint64
	sink             Sink
	consumers        map[string]*consumer
	unacked          []unackedDelivery // by tag
	lastDeliveryTag  uint64
	channelPrefetch  int // all consumers together, 0 for no bound
	consumerPrefetch int // new consumers, each
	paused           bool
}

type consumer struct {
	channel   *Channel
	tag       string
	queue     *queue
	noAck     bool
	exclusive bool
	prefetch  int
	unacked   int
}

type unackedDelivery struct {
	deliveryTag uint64
	queue       *queue
	consumer    *consumer // nil: fetched by Get
	answer      queuedAnswer
}

// Channel makes a channel of a connection.
func (b *Broker) Channel(tenant int, owner uint64, sink Sink) *Channel {
	return &Channel{broker: b, tenant: tenant, owner: owner, sink: sink, consumers: map[string]*consumer{}}
}

func (c *consumer) hasCapacity() bool {
	return !c.channel.paused && (c.noAck || (c.prefetch == 0 || c.unacked < c.prefetch) && (c.channel.channelPrefetch == 0 || len(c.channel.unacked) < c.channel.channelPrefetch))
}

// deliver gives an answer to a reader.
func (ch *Channel) deliver(q *queue, c *consumer, answer queuedAnswer) {
	ch.lastDeliveryTag++
	d := Delivery{ConsumerTag: c.tag, DeliveryTag: ch.lastDeliveryTag, Redelivered: answer.redelivered, Queue: q.name, Payload: answer.payload}
	if !c.noAck {
		ch.unacked = append(ch.unacked, unackedDelivery{ch.lastDeliveryTag, q, c, answer})
		c.unacked++
		q.unacked++
	}
	ch.sink.Deliver(d)
}

// Consume starts a reader of a queue. An empty tag gets one made up.
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

// StartDeliveries hands out what waits for a reader; it is apart from Consume so that the reader hears of its tag first.
func (ch *Channel) StartDeliveries(tag string) {
	if c := ch.consumers[tag]; c != nil {
		ch.broker.dispatch(c.queue)
	}
}

// Cancel ends a reader. What it has stays to be acknowledged.
func (ch *Channel) Cancel(now time.Duration, tag string) {
	c := ch.consumers[tag]
	if c == nil {
		return
	}
	delete(ch.consumers, tag)
	ch.removeConsumer(now, c)
}

func (ch *Channel) removeConsumer(now time.Duration, c *consumer) {
	q := c.queue
	q.consumers = slices.DeleteFunc(q.consumers, func(o *consumer) bool { return o == c })
	q.lastUsed = now
	if q.spec.AutoDelete && len(q.consumers) == 0 && !q.removed {
		ch.broker.removeQueue(q)
	}
}

// HasConsumer tells whether a tag is a reader's.
func (ch *Channel) HasConsumer(tag string) bool { return ch.consumers[tag] != nil }

// SetPrefetch bounds what is out unacknowledged: of the whole channel, or of each consumer from now on. 0 is no bound.
func (ch *Channel) SetPrefetch(n int, perChannel bool) {
	if perChannel {
		ch.channelPrefetch = n
		ch.dispatch()
	} else {
		ch.consumerPrefetch = n
	}
}

// SetPaused stops deliveries, or lets them go on.
func (ch *Channel) SetPaused(paused bool) {
	ch.paused = paused
	ch.dispatch()
}

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

// Get fetches one answer. ok is false where none waits.
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

// Ack takes an acknowledgement; multiple means all up to the tag, and 0 with it all there are.
func (ch *Channel) Ack(now time.Duration, tag uint64, multiple bool) error {
	return ch.settle(now, tag, multiple, false)
}

// Reject gives deliveries back, or drops them.
func (ch *Channel) Reject(now time.Duration, tag uint64, multiple, requeue bool) error {
	return ch.settle(now, tag, multiple, requeue)
}

// Recover gives all back that is not acknowledged.
func (ch *Channel) Recover(now time.Duration) {
	_ = ch.settle(now, 0, true, true)
}

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

// release takes what is no longer out, and hands on what that makes room for.
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

// Close ends all readers of the channel; what they had not acknowledged goes back.
func (ch *Channel) Close(now time.Duration) {
	returned := ch.unacked
	ch.unacked = nil
	consumers := ch.consumers
	ch.consumers = map[string]*consumer{}
	for _, c := range consumers { // first none of them may get anything
		c.queue.consumers = slices.DeleteFunc(c.queue.consumers, func(o *consumer) bool { return o == c })
	}
	ch.release(now, returned, true)
	for _, c := range consumers {
		ch.removeConsumer(now, c)
	}
}
