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

type address struct {
	tenant int
	name   string
}

type binding struct {
	tenant        int
	exchange, key string
}

// Broker holds all queues.
type Broker struct {
	limits         Limits
	queues         map[address]*queue
	count          map[int]int // by tenant
	bindings       map[binding]*queue
	seq            uint64
	names          uint64
	DroppedAnswers uint64 // answers whose queue was gone
}

// New makes a Box.
func New(l Limits) *Broker {
	return &Broker{limits: l, queues: map[address]*queue{}, count: map[int]int{}, bindings: map[binding]*queue{}}
}

// queue holds answers in the order in which they were known.
type queue struct {
	address
	spec      QueueSpec
	ready     []item // by seq
	out       int    // with readers, not acknowledged
	promised  int
	consumers []*consumer
	turn      int
	used      time.Duration
	gone      bool
}

type item struct {
	seq     uint64
	at      time.Duration
	payload any
	again   bool // delivered before
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
func (b *Broker) Declare(now time.Duration, tenant int, s QueueSpec, passive bool) (name string, ready, consumers int, err error) {
	if q := b.queues[address{tenant, s.Name}]; q != nil && s.Name != "" {
		switch {
		case q.spec.Exclusive && q.spec.Owner != s.Owner:
			return "", 0, 0, ErrLocked
		case !passive && (q.spec.Exclusive != s.Exclusive || q.spec.AutoDelete != s.AutoDelete):
			return "", 0, 0, ErrPropertiesDiffer
		}
		q.used = now
		return s.Name, len(q.ready), len(q.consumers), nil
	}
	if passive {
		return "", 0, 0, ErrNotFound
	}
	if b.count[tenant] >= b.limits.QueuesPerTenant {
		return "", 0, 0, ErrTooManyQueues
	}
	if s.Name == "" {
		for s.Name == "" || b.queues[address{tenant, s.Name}] != nil { // some may be back from before a restart
			b.names++
			s.Name = fmt.Sprintf("amq.gen-%d", b.names)
		}
	}
	q := &queue{address: address{tenant, s.Name}, spec: s, used: now}
	b.queues[q.address] = q
	b.count[tenant]++
	return s.Name, 0, 0, nil
}

// find returns a queue that a connection may use.
func (b *Broker) find(tenant int, name string, owner uint64) (*queue, error) {
	q := b.queues[address{tenant, name}]
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
	b.remove(q)
	return n, nil
}

func (b *Broker) remove(q *queue) {
	q.gone = true
	b.DroppedAnswers += uint64(len(q.ready))
	for _, c := range q.consumers {
		delete(c.ch.consumers, c.tag)
		c.ch.sink.Cancelled(c.tag)
	}
	q.consumers, q.ready = nil, nil
	for k, o := range b.bindings {
		if o == q {
			delete(b.bindings, k)
		}
	}
	delete(b.queues, q.address)
	if b.count[q.tenant]--; b.count[q.tenant] == 0 {
		delete(b.count, q.tenant)
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
	k := binding{tenant, exchange, key}
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
	if k := (binding{tenant, exchange, key}); b.bindings[k] == q {
		delete(b.bindings, k)
	}
	return nil
}

// Reservation is the promise of a place in a queue, made before a message is taken: its answer is then never turned away.
// It ends once, by Fill or Drop.
type Reservation struct {
	b *Broker
	q *queue
}

// Reserve asks for a place in the queue that replyTo names or, where that is empty, in the one bound. Without either
// the place is nil, and there is no error.
func (b *Broker) Reserve(tenant int, replyTo, exchange, key string) (*Reservation, error) {
	var q *queue
	if replyTo != "" {
		if q = b.queues[address{tenant, replyTo}]; q == nil {
			return nil, ErrNotFound
		}
	} else if q = b.bindings[binding{tenant, exchange, key}]; q == nil {
		if q = b.bindings[binding{tenant, exchange, "#"}]; q == nil {
			return nil, nil
		}
	}
	if len(q.ready)+q.out+q.promised >= b.limits.QueueLength {
		return nil, ErrQueueFull
	}
	q.promised++
	return &Reservation{b, q}, nil
}

// Release gives the place back.
func (p *Reservation) Release(now time.Duration) {
	p.q.promised--
	p.q.used = now
}

// Fill puts the answer into the queue.
func (p *Reservation) Fill(now time.Duration, payload any) {
	p.Release(now)
	if p.q.gone {
		p.b.DroppedAnswers++
		return
	}
	p.b.seq++
	p.q.ready = append(p.q.ready, item{seq: p.b.seq, at: now, payload: payload})
	p.b.pump(p.q)
}

// pump hands out what waits, to the readers in turns.
func (b *Broker) pump(q *queue) {
	for len(q.ready) > 0 {
		c := q.next()
		if c == nil {
			return
		}
		it := q.ready[0]
		q.ready[0] = item{}
		q.ready = q.ready[1:]
		c.ch.hand(q, c, it)
	}
}

// next is the reader whose turn it is among those with room.
func (q *queue) next() *consumer {
	for range q.consumers {
		q.turn = (q.turn + 1) % len(q.consumers)
		if c := q.consumers[q.turn]; c.room() {
			return c
		}
	}
	return nil
}

// back puts an answer where it was.
func (q *queue) back(it item) {
	it.again = true
	i, _ := slices.BinarySearchFunc(q.ready, it.seq, func(x item, seq uint64) int { return cmp.Compare(x.seq, seq) })
	q.ready = slices.Insert(q.ready, i, it)
}

// PendingAnswer is an answer as a reader without a channel sees it: it stays until it is taken out by its number.
type PendingAnswer struct {
	Sequence uint64
	Payload  any
}

// Peek returns the first answers that wait in a queue.
func (b *Broker) Peek(now time.Duration, tenant int, name string, most int) ([]PendingAnswer, error) {
	q, err := b.find(tenant, name, 0)
	if err != nil {
		return nil, err
	}
	q.used = now
	var all []PendingAnswer
	for _, it := range q.ready[:min(most, len(q.ready))] {
		all = append(all, PendingAnswer{it.seq, it.payload})
	}
	return all, nil
}

// Take takes an answer out of a queue.
func (b *Broker) Take(now time.Duration, tenant int, name string, no uint64) (payload any, err error) {
	q, err := b.find(tenant, name, 0)
	if err != nil {
		return nil, err
	}
	q.used = now
	i, ok := slices.BinarySearchFunc(q.ready, no, func(x item, no uint64) int { return cmp.Compare(x.seq, no) })
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
		for b.limits.Keep > 0 && len(q.ready) > 0 && now-q.ready[0].at > b.limits.Keep {
			q.ready[0] = item{}
			q.ready = q.ready[1:]
			b.DroppedAnswers++
		}
		if b.limits.Idle > 0 && !q.spec.Exclusive && len(q.consumers)+len(q.ready)+q.out+q.promised == 0 && now-q.used > b.limits.Idle {
			b.remove(q)
		}
	}
}

// DeleteExclusive removes the queues that were exclusive to a connection. Its channels are to be closed before.
func (b *Broker) DeleteExclusive(owner uint64) {
	for _, q := range b.queues {
		if q.spec.Exclusive && q.spec.Owner == owner {
			b.remove(q)
		}
	}
}

// Usage is how many queues there are and answers in them.
func (b *Broker) Usage() (queues, answers int) {
	for _, q := range b.queues {
		answers += len(q.ready) + q.out
	}
	return len(b.queues), answers
}
