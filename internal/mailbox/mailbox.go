// Package mailbox holds the answer queues, in which the final answers of messages wait for the programs that published
// them. A Broker reserves places before messages are accepted and delivers answers to consumers round robin, within
// prefetch limits. It keeps unacknowledged deliveries and requeues them in order. It is deterministic, does no I/O, and
// gets the time as an argument. A Broker is not safe for concurrent use; its callers serialise the calls.
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

// Errors of a Broker and its channels.
var (
	// ErrNotFound is returned for a queue that does not exist.
	ErrNotFound = errors.New("there is no such queue")
	// ErrLocked is returned for a queue that is exclusive to another connection.
	ErrLocked = errors.New("the queue is another connection's")
	// ErrPropertiesDiffer is returned by Declare for an existing queue with other properties.
	ErrPropertiesDiffer = errors.New("the queue exists with other properties")
	// ErrTooManyQueues is returned by Declare when the tenant has QueuesPerTenant queues.
	ErrTooManyQueues = errors.New("too many queues")
	// ErrQueueFull is returned by Reserve when the queue holds QueueLength answers.
	ErrQueueFull = errors.New("the answer queue is full: its reader is behind")
	// ErrInUse is returned when a queue has consumers or answers that forbid the operation.
	ErrInUse = errors.New("the queue is in use")
	// ErrAlreadyBound is returned by Bind for an exchange and key that are bound to another queue.
	ErrAlreadyBound = errors.New("the binding leads to another queue already")
	// ErrConsumerTagInUse is returned by Consume for a tag of another consumer of the channel.
	ErrConsumerTagInUse = errors.New("the consumer tag is taken")
	// ErrUnknownDelivery is returned for a delivery tag or number that names no answer.
	ErrUnknownDelivery = errors.New("no such delivery is waiting for an acknowledgement")
)

// Limits are the limits of a Broker.
type Limits struct {
	// QueuesPerTenant is the number of queues that a tenant may have.
	QueuesPerTenant int
	// QueueLength is the number of answers in a queue: ready, unacknowledged and reserved.
	QueueLength int
	// Keep is the age at which a ready answer is dropped, 0 for never.
	Keep time.Duration
	// Idle is the time after which a queue without consumers, answers and reservations is removed, 0 for never.
	// Exclusive queues are not removed.
	Idle time.Duration
}

// QueueSpec holds the properties with which a queue is declared.
type QueueSpec struct {
	Name                  string
	Exclusive, AutoDelete bool
	// Subscription marks the queue of a receipt subscription, whose removal is reported to Broker.OnChange.
	Subscription bool
	// Owner is the number of the connection that declares the queue.
	Owner uint64
}

// queueKey identifies a queue.
type queueKey struct {
	tenant int
	name   string
}

// bindingKey identifies a binding.
type bindingKey struct {
	tenant        int
	exchange, key string
}

// Identity tells the names and numbers that one process gives from those of all others. Clients hold them for longer than a process
// lives.
type Identity struct {
	// Epoch is a part of each generated name. No two processes have the same.
	Epoch string
	// LastNumber is the number before the first one that this process gives to an answer. No process gives a number that another one
	// has given.
	LastNumber uint64
}

// Broker holds all queues and bindings.
type Broker struct {
	limits   Limits
	identity Identity
	queues   map[queueKey]*queue
	// queuesByTenant is the number of queues of each tenant that has any.
	queuesByTenant map[int]int
	bindings       map[bindingKey]*queue
	// lastNumber is the number of the latest reservation in any queue.
	lastNumber uint64
	// lastGeneratedName is the number in the latest generated queue name or consumer tag.
	lastGeneratedName uint64
	// DroppedAnswers counts the answers that were dropped because their queue was removed or purged, or because they were
	// older than Keep.
	DroppedAnswers uint64

	// OnChange is called with each Change. It must neither block nor call the Broker. It may be nil.
	OnChange func(Change)
}

// ChangeKind is the kind of a Change.
type ChangeKind uint8

// Kinds of changes of receipt subscriptions. The broker reports SubscriptionRemoved itself, and its callers the others.
const (
	// SubscriptionMade means that a client has made a subscription.
	SubscriptionMade ChangeKind = iota + 1
	// SubscriptionRemoved means that a subscription is gone with its receipts, because it was idle or a client has deleted its queue.
	SubscriptionRemoved
	// ReceiptTaken means that a client has deleted a receipt.
	ReceiptTaken
)

// Change is a change of receipt subscriptions that outlives the process.
type Change struct {
	Kind   ChangeKind
	Tenant int
	Queue  string
	// Receipt is the receipt that was deleted.
	Receipt *receipt.Receipt
}

// NotifyChange passes a change to OnChange, if that is set.
func (b *Broker) NotifyChange(c Change) {
	if b.OnChange != nil {
		b.OnChange(c)
	}
}

// New returns a Broker without queues.
func New(l Limits, id Identity) *Broker {
	return &Broker{limits: l, identity: id, lastNumber: id.LastNumber, queues: map[queueKey]*queue{}, queuesByTenant: map[int]int{}, bindings: map[bindingKey]*queue{}}
}

// queue holds answers in the order in which their messages were accepted.
type queue struct {
	queueKey
	spec QueueSpec
	// ready is sorted by number.
	ready []queuedAnswer
	// unacked is the number of unacknowledged deliveries from the queue.
	unacked int
	// reserved is the number of reservations that are neither filled nor released.
	reserved  int
	consumers []*consumer
	// lastServed is the index in consumers of the one that was tried last.
	lastServed int
	lastUsed   time.Duration
	removed    bool
}

// queuedAnswer is one answer in a queue.
type queuedAnswer struct {
	number   uint64
	queuedAt time.Duration
	payload  any
	// redelivered is set if the answer was delivered before.
	redelivered bool
}

// Sink receives what is for the consumers of a channel. Its methods run within calls of the Broker. They must neither
// call the Broker nor block.
type Sink interface {
	// Deliver passes on an answer for a consumer.
	Deliver(d Delivery)
	// Cancelled reports that a consumer has ended because its queue was removed.
	Cancelled(consumer string)
}

// Delivery is one answer for a consumer or for Get. ConsumerTag is empty for Get.
type Delivery struct {
	ConsumerTag string
	DeliveryTag uint64
	// Redelivered is set if the answer was delivered before.
	Redelivered bool
	Queue       string
	Payload     any
}

// Declare creates a queue, or finds an existing one with the same properties. For an empty name it generates one. With
// passive it creates nothing and does not compare the properties. It returns the name and the numbers of ready answers
// and consumers. Errors are ErrLocked, ErrPropertiesDiffer, ErrNotFound and ErrTooManyQueues.
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
		spec.Name = b.generateName()
	}
	b.addQueue(now, tenant, spec)
	return spec.Name, 0, 0, nil
}

// addQueue creates a queue.
func (b *Broker) addQueue(now time.Duration, tenant int, spec QueueSpec) *queue {
	q := &queue{queueKey: queueKey{tenant, spec.Name}, spec: spec, lastUsed: now}
	b.queues[q.queueKey] = q
	b.queuesByTenant[tenant]++
	return q
}

// generateName returns a queue name that neither this process nor another one has given to anybody.
func (b *Broker) generateName() string {
	b.lastGeneratedName++
	return fmt.Sprintf("amq.gen-%s-%d", b.identity.Epoch, b.lastGeneratedName)
}

// find returns a queue if the connection owner may use it, or else ErrNotFound or ErrLocked.
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

// Delete removes a queue and returns the number of ready answers that it held. With ifUnused or ifEmpty it returns
// ErrInUse for a queue with consumers or ready answers. Deleting a queue that does not exist is no error.
func (b *Broker) Delete(tenant int, name string, owner uint64, ifUnused, ifEmpty bool) (int, error) {
	q, err := b.find(tenant, name, owner)
	if errors.Is(err, ErrNotFound) {
		// Common implementations do the same: the result is what the client wants.
		return 0, nil
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

// removeQueue removes a queue with its ready answers, consumers and bindings.
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
	if q.spec.Subscription {
		b.NotifyChange(Change{Kind: SubscriptionRemoved, Tenant: q.tenant, Queue: q.name})
	}
	if b.queuesByTenant[q.tenant]--; b.queuesByTenant[q.tenant] == 0 {
		delete(b.queuesByTenant, q.tenant)
	}
}

// Purge drops the ready answers of a queue and returns their number.
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

// Bind routes answers to a queue: those of messages that the tenant publishes to the exchange with the key and that
// name no queue themselves. The key "#" stands for any key without a binding of its own.
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

// Unbind removes a binding. If there is no such binding to the queue it does nothing.
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

// Reservation is a reserved place in a queue. It is made before a message is accepted, so that there is always room for
// the answer. It must be ended exactly once, by Fill or Release.
type Reservation struct {
	broker *Broker
	queue  *queue
	number uint64
}

// Number returns the number that the answer will have in its queue.
func (r *Reservation) Number() uint64 { return r.number }

// Reserve reserves a place in the queue that replyTo names or, if replyTo is empty, in the queue that is bound to the
// exchange and key. If there is no binding either it returns nil without an error. Errors are ErrNotFound and
// ErrQueueFull.
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
	b.lastNumber++
	return &Reservation{b, q, b.lastNumber}, nil
}

// Release gives the place back without an answer.
func (r *Reservation) Release(now time.Duration) {
	r.queue.reserved--
	r.queue.lastUsed = now
}

// Fill puts the answer into the queue. If the queue has been removed the answer is dropped and counted.
func (r *Reservation) Fill(now time.Duration, payload any) {
	r.Release(now)
	if r.queue.removed {
		r.broker.DroppedAnswers++
		return
	}
	r.queue.insert(queuedAnswer{number: r.number, queuedAt: now, payload: payload})
	r.broker.dispatch(r.queue)
}

// RestoredAnswer is an answer of an earlier process.
type RestoredAnswer struct {
	// Number is the number that the earlier process gave it, or 0 for one without a number, which gets a new one.
	Number uint64
	// Age is the time since the answer became known.
	Age     time.Duration
	Payload any
}

// Restore puts an answer of an earlier process into the queue of a receipt subscription. It creates the queue if there is none. No limit
// applies, because the answer had its place before.
func (b *Broker) Restore(now time.Duration, tenant int, name string, a RestoredAnswer) {
	q := b.queues[queueKey{tenant, name}]
	if q == nil {
		q = b.addQueue(now, tenant, QueueSpec{Name: name, Subscription: true})
	}
	if a.Number == 0 {
		b.lastNumber++
		a.Number = b.lastNumber
	}
	q.insert(queuedAnswer{number: a.Number, queuedAt: now - a.Age, payload: a.Payload})
}

// dispatch delivers the ready answers of a queue to its consumers round robin, while any has capacity.
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

// nextConsumer returns the next consumer in round-robin order that has capacity, or nil.
func (q *queue) nextConsumer() *consumer {
	for range q.consumers {
		q.lastServed = (q.lastServed + 1) % len(q.consumers)
		if c := q.consumers[q.lastServed]; c.hasCapacity() {
			return c
		}
	}
	return nil
}

// requeue puts an answer back in its place and marks it as redelivered.
func (q *queue) requeue(answer queuedAnswer) {
	answer.redelivered = true
	q.insert(answer)
}

// insert puts an answer in its place by number.
func (q *queue) insert(answer queuedAnswer) {
	i, _ := q.find(answer.number)
	q.ready = slices.Insert(q.ready, i, answer)
}

// find returns the place of a number among the ready answers, and whether it is there.
func (q *queue) find(number uint64) (int, bool) {
	return slices.BinarySearchFunc(q.ready, number, func(x queuedAnswer, no uint64) int { return cmp.Compare(x.number, no) })
}

// PendingAnswer is a ready answer as Peek returns it, for readers without a Channel. It stays in the queue until Take
// removes it by its number.
type PendingAnswer struct {
	Number  uint64
	Payload any
}

// Peek returns up to limit ready answers from the front of a queue. Exclusive queues give ErrLocked.
func (b *Broker) Peek(now time.Duration, tenant int, name string, limit int) ([]PendingAnswer, error) {
	q, err := b.find(tenant, name, 0)
	if err != nil {
		return nil, err
	}
	q.lastUsed = now
	var answers []PendingAnswer
	for _, answer := range q.ready[:min(limit, len(q.ready))] {
		answers = append(answers, PendingAnswer{answer.number, answer.payload})
	}
	return answers, nil
}

// Take removes a ready answer from a queue by its number and returns it. It returns ErrUnknownDelivery if there is none. Exclusive
// queues give ErrLocked.
func (b *Broker) Take(now time.Duration, tenant int, name string, number uint64) (payload any, err error) {
	q, err := b.find(tenant, name, 0)
	if err != nil {
		return nil, err
	}
	q.lastUsed = now
	i, ok := q.find(number)
	if !ok {
		return nil, ErrUnknownDelivery
	}
	payload = q.ready[i].payload
	q.ready = slices.Delete(q.ready, i, i+1)
	return payload, nil
}

// SharedBroker is a Broker with a lock, for several fronts. Hold the lock for each call of the Broker. Nothing may
// block under it.
type SharedBroker struct {
	sync.Mutex
	*Broker
	// Key signs the receipts that are given to clients. If it is nil they are not signed.
	Key receipt.Signer

	// AfterRecord calls a function once all that the engine has told so far is on record. It is nil if nothing is kept.
	AfterRecord func(f func())
}

// Expire drops ready answers that are older than Keep, and removes queues that have been idle for longer than Idle.
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

// DeleteExclusive removes the queues that are exclusive to a connection. Close the connection's channels first.
func (b *Broker) DeleteExclusive(owner uint64) {
	for _, q := range b.queues {
		if q.spec.Exclusive && q.spec.Owner == owner {
			b.removeQueue(q)
		}
	}
}

// Reserved returns the number of reservations that are neither filled nor released, in queues that are not removed.
func (b *Broker) Reserved() (places int) {
	for _, q := range b.queues {
		places += q.reserved
	}
	return places
}

// Usage returns the number of queues, and of ready and unacknowledged answers in them.
func (b *Broker) Usage() (queues, answers int) {
	for _, q := range b.queues {
		answers += len(q.ready) + q.unacked
	}
	return len(b.queues), answers
}
