// Package mailbox keeps the queues in which senders' final answers wait for their readers, and decides who gets which:
// places promised before a message is taken, readers in turns, prefetch, acknowledgements, what goes back into a queue
// and where. It is deterministic and free of I/O; the time is passed in. A Box is not safe for concurrent use: its
// owner serialises the calls.
package mailbox

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"whinrun/internal/receipt"
)

// Errors of a Box.
var (
	ErrNotFound         = errors.New("there is no such queue")
	ErrLocked           = errors.New("the queue is another connection's")
	ErrPropertiesDiffer = errors.New("the queue exists with other properties")
	ErrTooManyQueues    = errors.New("too many queues")
	ErrQueueFull        = errors.New("the answer queue is full: its reader is behind")
	ErrInUse            = errors.New("the queue is in use")
	ErrAlreadyBound     = errors.New("the binding leads to another queue already")
	ErrConsumerTagInUse = errors.New("the consumer tag is taken")
	ErrUnknownDelivery  = errors.New("no such delivery is waiting for an acknowledgement")
)

// Limits of a Box.
type Limits struct {
	QueuesPerTenant int           // of a tenant
	QueueLength     int           // answers in a queue: waiting, with readers, and promised
	Keep            time.Duration // an answer that nobody reads is dropped after this, 0 for never
	Idle            time.Duration // a queue that is not exclusive goes after this without reader, answer or promise
}

// QueueSpec is how a queue is declared.
type QueueSpec struct {
	Name                  string
	Exclusive, AutoDelete bool
	Owner                 uint64 // connection that declares it
}

type queueKey struct {
	tenant int
	name   string
}

type bindingKey struct {
	tenant        int
	exchange, key string
}

// Broker holds all queues.
type Broker struct {
	limits            Limits
	queues            map[queueKey]*queue
	queuesByTenant    map[int]int // by tenant
	bindings          map[bindingKey]*queue
	lastSequence      uint64
	lastGeneratedName uint64
	DroppedAnswers    uint64 // answers whose queue was gone
}

// New makes a Box.
func New(l Limits) *Broker {
	return &Broker{limits: l, queues: map[queueKey]*queue{}, queuesByTenant: map[int]int{}, bindings: map[bindingKey]*queue{}}
}

// queue holds answers in the order in which they were known.
type queue struct {
	queueKey
	spec       QueueSpec
	ready      []queuedAnswer // by seq
	unacked    int            // with readers, not acknowledged
	reserved   int
	consumers  []*consumer
	lastServed int
	lastUsed   time.Duration
	removed    bool
}

type queuedAnswer struct {
	sequence    uint64
	queuedAt    time.Duration
	payload     any
	redelivered bool // delivered before
}

// Sink takes what is for a reader. It must not call the Box, nor block.
type Sink interface {
	Deliver(d Delivery)
	Cancelled(consumer string) // the queue is gone
}

// Delivery is one answer on its way to a reader.
type Delivery struct {
	ConsumerTag string
	DeliveryTag uint64
	Redelivered bool // it was delivered before
	Queue       string
	Payload     any
}

// Declare makes a queue, or finds one that is the same. An empty name gets one made up. passive only looks.
func (b *Broker) Declare(now time.Duration, tenant int, spec QueueSpec, passive bool) (name string, ready, consumers int, err error) {
	if q := b.queues[queueKey{tenant, spec.Name}]; q != nil && spec.Name != "" {
		switch {
		case q.spec.Exclusive && q.spec.Owner != spec.Owner:
			return "", 0, 0, ErrLocked
		case !passive && (q.spec.Exclusive != spec.Exclusive || q.spec.AutoDelete != spec.AutoDelete):
			return "", 0, 0, ErrPropertiesDiffer
		}
		q.lastUsed = now
		return spec.Name, len(q.ready), len(q.consumers), nil
	}
	if passive {
		return "", 0, 0, ErrNotFound
	}
	if b.queuesByTenant[tenant] >= b.limits.QueuesPerTenant {
		return "", 0, 0, ErrTooManyQueues
	}
	if spec.Name == "" {
		for spec.Name == "" || b.queues[queueKey{tenant, spec.Name}] != nil { // some may be back from before a restart
			b.lastGeneratedName++
			spec.Name = fmt.Sprintf("amq.gen-%d", b.lastGeneratedName)
		}
	}
	q := &queue{queueKey: queueKey{tenant, spec.Name}, spec: spec, lastUsed: now}
	b.queues[q.queueKey] = q
	b.queuesByTenant[tenant]++
	return spec.Name, 0, 0, nil
}

// find returns a queue that a connection may use.
func (b *Broker) find(tenant int, name string, owner uint64) (*queue, error) {
	q := b.queues[queueKey{tenant, name}]
	if q == nil {
		return nil, ErrNotFound
	}
	if q.spec.Exclusive && q.spec.Owner != owner {
		return nil, ErrLocked
	}
	return q, nil
}

// Delete removes a queue and tells how many answers were in it.
func (b *Broker) Delete(tenant int, name string, owner uint64, ifUnused, ifEmpty bool) (int, error) {
	q, err := b.find(tenant, name, owner)
	if errors.Is(err, ErrNotFound) {
		return 0, nil // as common implementations do: gone is what was wanted
	}
	if err != nil {
		return 0, err
	}
	if ifUnused && len(q.consumers) > 0 || ifEmpty && len(q.ready) > 0 {
		return 0, ErrInUse
	}
	n := len(q.ready)
	b.removeQueue(q)
	return n, nil
}

func (b *Broker) removeQueue(q *queue) {
	q.removed = true
	b.DroppedAnswers += uint64(len(q.ready))
	for _, c := range q.consumers {
		delete(c.channel.consumers, c.tag)
		c.channel.sink.Cancelled(c.tag)
	}
	q.consumers, q.ready = nil, nil
	for k, o := range b.bindings {
		if o == q {
			delete(b.bindings, k)
		}
	}
	delete(b.queues, q.queueKey)
	if b.queuesByTenant[q.tenant]--; b.queuesByTenant[q.tenant] == 0 {
		delete(b.queuesByTenant, q.tenant)
	}
}

// Purge drops the answers that wait in a queue.
func (b *Broker) Purge(tenant int, name string, owner uint64) (int, error) {
	q, err := b.find(tenant, name, owner)
	if err != nil {
		return 0, err
	}
	n := len(q.ready)
	b.DroppedAnswers += uint64(n)
	q.ready = nil
	return n, nil
}

// Bind has the answers of what a tenant publishes to an exchange with a key, "#" for any, go to a queue, where a
// message names none itself.
func (b *Broker) Bind(tenant int, exchange, key, name string, owner uint64) error {
	q, err := b.find(tenant, name, owner)
	if err != nil {
		return err
	}
	k := bindingKey{tenant, exchange, key}
	if old := b.bindings[k]; old != nil && old != q {
		return ErrAlreadyBound
	}
	b.bindings[k] = q
	return nil
}

// Unbind takes a binding back.
func (b *Broker) Unbind(tenant int, exchange, key, name string, owner uint64) error {
	q, err := b.find(tenant, name, owner)
	if err != nil {
		return err
	}
	if k := (bindingKey{tenant, exchange, key}); b.bindings[k] == q {
		delete(b.bindings, k)
	}
	return nil
}

// Reservation is the promise of a place in a queue, made before a message is taken: its answer is then never turned away.
// It ends once, by Fill or Drop.
type Reservation struct {
	broker *Broker
	queue  *queue
}

// Reserve asks for a place in the queue that replyTo names or, where that is empty, in the one bound. Without either
// the place is nil, and there is no error.
func (b *Broker) Reserve(tenant int, replyTo, exchange, key string) (*Reservation, error) {
	var q *queue
	if replyTo != "" {
		if q = b.queues[queueKey{tenant, replyTo}]; q == nil {
			return nil, ErrNotFound
		}
	} else if q = b.bindings[bindingKey{tenant, exchange, key}]; q == nil {
		if q = b.bindings[bindingKey{tenant, exchange, "#"}]; q == nil {
			return nil, nil
		}
	}
	if len(q.ready)+q.unacked+q.reserved >= b.limits.QueueLength {
		return nil, ErrQueueFull
	}
	q.reserved++
	return &Reservation{b, q}, nil
}

// Release gives the place back.
func (p *Reservation) Release(now time.Duration) {
	p.queue.reserved--
	p.queue.lastUsed = now
}

// Fill puts the answer into the queue.
func (p *Reservation) Fill(now time.Duration, payload any) {
	p.Release(now)
	if p.queue.removed {
		p.broker.DroppedAnswers++
		return
	}
	p.broker.lastSequence++
	p.queue.ready = append(p.queue.ready, queuedAnswer{sequence: p.broker.lastSequence, queuedAt: now, payload: payload})
	p.broker.dispatch(p.queue)
}

// dispatch hands out what waits, to the readers in turns.
func (b *Broker) dispatch(q *queue) {
	for len(q.ready) > 0 {
		c := q.nextConsumer()
		if c == nil {
			return
		}
		answer := q.ready[0]
		q.ready[0] = queuedAnswer{}
		q.ready = q.ready[1:]
		c.channel.deliver(q, c, answer)
	}
}

// nextConsumer is the reader whose turn it is among those with room.
func (q *queue) nextConsumer() *consumer {
	for range q.consumers {
		q.lastServed = (q.lastServed + 1) % len(q.consumers)
		if c := q.consumers[q.lastServed]; c.hasCapacity() {
			return c
		}
	}
	return nil
}

// requeue puts an answer where it was.
func (q *queue) requeue(answer queuedAnswer) {
	answer.redelivered = true
	i, _ := slices.BinarySearchFunc(q.ready, answer.sequence, func(x queuedAnswer, seq uint64) int { return cmp.Compare(x.sequence, seq) })
	q.ready = slices.Insert(q.ready, i, answer)
}

// PendingAnswer is an answer as a reader without a channel sees it: it stays until it is taken out by its number.
type PendingAnswer struct {
	Sequence uint64
	Payload  any
}

// Peek returns the first answers that wait in a queue.
func (b *Broker) Peek(now time.Duration, tenant int, name string, limit int) ([]PendingAnswer, error) {
	q, err := b.find(tenant, name, 0)
	if err != nil {
		return nil, err
	}
	q.lastUsed = now
	var answers []PendingAnswer
	for _, it := range q.ready[:min(limit, len(q.ready))] {
		answers = append(answers, PendingAnswer{it.sequence, it.payload})
	}
	return answers, nil
}

// Take takes an answer out of a queue.
func (b *Broker) Take(now time.Duration, tenant int, name string, sequence uint64) (payload any, err error) {
	q, err := b.find(tenant, name, 0)
	if err != nil {
		return nil, err
	}
	q.lastUsed = now
	i, ok := slices.BinarySearchFunc(q.ready, sequence, func(x queuedAnswer, no uint64) int { return cmp.Compare(x.sequence, no) })
	if !ok {
		return nil, ErrUnknownDelivery
	}
	payload = q.ready[i].payload
	q.ready = slices.Delete(q.ready, i, i+1)
	return payload, nil
}

// SharedBroker is a Box that several fronts share. Nothing blocks under its lock.
type SharedBroker struct {
	sync.Mutex
	*Broker
	Key receipt.Signer // signs what is handed out; nil: nothing is signed

	// Told when a subscription is made (without a receipt) and when a receipt is taken out; nil: nobody is. They must
	// not block.
	OnChange func(tenant int, name string, taken *receipt.Receipt)
}

// NotifyChange calls Changed.
func (r *SharedBroker) NotifyChange(tenant int, name string, taken *receipt.Receipt) {
	if r.OnChange != nil {
		r.OnChange(tenant, name, taken)
	}
}

// Expire drops answers that nobody has read, and removes queues that nobody has used, for long.
func (b *Broker) Expire(now time.Duration) {
	for _, q := range b.queues {
		for b.limits.Keep > 0 && len(q.ready) > 0 && now-q.ready[0].queuedAt > b.limits.Keep {
			q.ready[0] = queuedAnswer{}
			q.ready = q.ready[1:]
			b.DroppedAnswers++
		}
		if b.limits.Idle > 0 && !q.spec.Exclusive && len(q.consumers)+len(q.ready)+q.unacked+q.reserved == 0 && now-q.lastUsed > b.limits.Idle {
			b.removeQueue(q)
		}
	}
}

// DeleteExclusive removes the queues that were exclusive to a connection. Its channels are to be closed before.
func (b *Broker) DeleteExclusive(owner uint64) {
	for _, q := range b.queues {
		if q.spec.Exclusive && q.spec.Owner == owner {
			b.removeQueue(q)
		}
	}
}

// Usage is how many queues there are and answers in them.
func (b *Broker) Usage() (queues, answers int) {
	for _, q := range b.queues {
		answers += len(q.ready) + q.unacked
	}
	return len(b.queues), answers
}
