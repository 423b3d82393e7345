package mailbox

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Channel is one channel of a connection that reads answers: its consumers and what they have not acknowledged.
type Channel struct {
	b         *Broker
	tenant    int
	owner     uint64
	sink      Sink
	consumers map[string]*consumer
	out       []unacked // by tag
	last      uint64
	most      int // all consumers together, 0 for no bound
	each      int // new consumers, each
	held      bool
}

type consumer struct {
	ch        *Channel
	tag       string
	q         *queue
	noAck     bool
	exclusive bool
	most      int
	out       int
}

type unacked struct {
	tag  uint64
	q    *queue
	c    *consumer // nil: fetched by Get
	item item
}

// Channel makes a channel of a connection.
func (b *Broker) Channel(tenant int, owner uint64, sink Sink) *Channel {
	return &Channel{b: b, tenant: tenant, owner: owner, sink: sink, consumers: map[string]*consumer{}}
}

func (c *consumer) room() bool {
	return !c.ch.held && (c.noAck || (c.most == 0 || c.out < c.most) && (c.ch.most == 0 || len(c.ch.out) < c.ch.most))
}

// hand gives an answer to a reader.
func (ch *Channel) hand(q *queue, c *consumer, it item) {
	ch.last++
	d := Delivery{ConsumerTag: c.tag, DeliveryTag: ch.last, Redelivered: it.again, Queue: q.name, Payload: it.payload}
	if !c.noAck {
		ch.out = append(ch.out, unacked{ch.last, q, c, it})
		c.out++
		q.out++
	}
	ch.sink.Deliver(d)
}

// Consume starts a reader of a queue. An empty tag gets one made up.
func (ch *Channel) Consume(queue, tag string, noAck, exclusive bool) (string, error) {
	q, err := ch.b.find(ch.tenant, queue, ch.owner)
	if err != nil {
		return "", err
	}
	if tag == "" {
		ch.b.names++
		tag = fmt.Sprintf("amq.ctag-%d", ch.b.names)
	}
	if ch.consumers[tag] != nil {
		return "", ErrConsumerTagInUse
	}
	if len(q.consumers) > 0 && (exclusive || q.consumers[0].exclusive) {
		return "", ErrInUse
	}
	c := &consumer{ch: ch, tag: tag, q: q, noAck: noAck, exclusive: exclusive, most: ch.each}
	ch.consumers[tag] = c
	q.consumers = append(q.consumers, c)
	return tag, nil
}

// StartDeliveries hands out what waits for a reader; it is apart from Consume so that the reader hears of its tag first.
func (ch *Channel) StartDeliveries(tag string) {
	if c := ch.consumers[tag]; c != nil {
		ch.b.pump(c.q)
	}
}

// Cancel ends a reader. What it has stays to be acknowledged.
func (ch *Channel) Cancel(now time.Duration, tag string) {
	c := ch.consumers[tag]
	if c == nil {
		return
	}
	delete(ch.consumers, tag)
	ch.leave(now, c)
}

func (ch *Channel) leave(now time.Duration, c *consumer) {
	q := c.q
	q.consumers = slices.DeleteFunc(q.consumers, func(o *consumer) bool { return o == c })
	q.used = now
	if q.spec.AutoDelete && len(q.consumers) == 0 && !q.gone {
		ch.b.remove(q)
	}
}

// HasConsumer tells whether a tag is a reader's.
func (ch *Channel) HasConsumer(tag string) bool { return ch.consumers[tag] != nil }

// SetPrefetch bounds what is out unacknowledged: of the whole channel, or of each consumer from now on. 0 is no bound.
func (ch *Channel) SetPrefetch(n int, whole bool) {
	if whole {
		ch.most = n
		ch.pump()
	} else {
		ch.each = n
	}
}

// SetPaused stops deliveries, or lets them go on.
func (ch *Channel) SetPaused(on bool) {
	ch.held = on
	ch.pump()
}

func (ch *Channel) pump() {
	tags := make([]string, 0, len(ch.consumers))
	for tag := range ch.consumers {
		tags = append(tags, tag)
	}
	slices.Sort(tags)
	for _, tag := range tags {
		ch.b.pump(ch.consumers[tag].q)
	}
}

// Get fetches one answer. ok is false where none waits.
func (ch *Channel) Get(queue string, noAck bool) (d Delivery, left int, ok bool, err error) {
	q, err := ch.b.find(ch.tenant, queue, ch.owner)
	if err != nil || len(q.ready) == 0 {
		return d, 0, false, err
	}
	it := q.ready[0]
	q.ready = q.ready[1:]
	ch.last++
	if !noAck {
		ch.out = append(ch.out, unacked{ch.last, q, nil, it})
		q.out++
	}
	return Delivery{DeliveryTag: ch.last, Redelivered: it.again, Queue: q.name, Payload: it.payload}, len(q.ready), true, nil
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
	i, found := slices.BinarySearchFunc(ch.out, tag, func(u unacked, tag uint64) int { return cmp.Compare(u.tag, tag) })
	var over []unacked
	switch {
	case multiple && tag == 0:
		over, ch.out = ch.out, nil
	case !found:
		return ErrUnknownDelivery
	case multiple:
		over = slices.Clone(ch.out[:i+1])
		ch.out = ch.out[i+1:]
	default:
		over = []unacked{ch.out[i]}
		ch.out = slices.Delete(ch.out, i, i+1)
	}
	ch.free(now, over, requeue)
	return nil
}

// free takes what is no longer out, and hands on what that makes room for.
func (ch *Channel) free(now time.Duration, over []unacked, requeue bool) {
	var queues []*queue
	for _, u := range over {
		u.q.out--
		u.q.used = now
		if u.c != nil {
			u.c.out--
		}
		if requeue && !u.q.gone {
			u.q.back(u.item)
		}
		if !slices.Contains(queues, u.q) {
			queues = append(queues, u.q)
		}
	}
	for _, q := range queues {
		if !q.gone {
			ch.b.pump(q)
		}
	}
	if ch.most > 0 {
		ch.pump()
	}
}

// Close ends all readers of the channel; what they had not acknowledged goes back.
func (ch *Channel) Close(now time.Duration) {
	out := ch.out
	ch.out = nil
	consumers := ch.consumers
	ch.consumers = map[string]*consumer{}
	for _, c := range consumers { // first none of them may get anything
		c.q.consumers = slices.DeleteFunc(c.q.consumers, func(o *consumer) bool { return o == c })
	}
	ch.free(now, out, true)
	for _, c := range consumers {
		ch.leave(now, c)
	}
}
