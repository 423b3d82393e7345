package audit

import (
	"errors"
	"slices"
	"time"

	"whinrun/internal/logstore"
)

// UnfetchedReceipt is a receipt that a client asked for and had not fetched when the dispatcher ended.
type UnfetchedReceipt struct {
	// Tenant is the name of the client's tenant, and Queue that of the subscription.
	Tenant, Queue string
	// Accepted is the acceptance of the message.
	Accepted *Record
	// Answered is the final answer to the message. It is nil if the dispatcher ended before that.
	Answered *Record
}

// last returns the last record about the receipt.
func (u *UnfetchedReceipt) last() *Record {
	if u.Answered != nil {
		return u.Answered
	}
	return u.Accepted
}

// Subscription is a receipt subscription that was not removed.
type Subscription struct {
	Tenant, Queue string
	// LastUsed is the time of the last record about it.
	LastUsed time.Time
}

// Receipts is what a trail tells of receipts.
type Receipts struct {
	// Subscriptions are the subscriptions that were not removed, the one used last first.
	Subscriptions []Subscription
	// Unfetched are the receipts that were not fetched, in the order in which their messages were accepted.
	Unfetched []*UnfetchedReceipt
	// HighestNumber is the highest number that a receipt has, or 0 if none has a number. Numbers that an earlier process gave
	// without a record of it are below the next multiple of numbersPerProcess.
	HighestNumber uint64
	// Continued tells that a dispatcher has written the trail before.
	Continued bool
}

// numbersPerProcess is the size of the range of numbers that each process takes. Numbers stay below 2^53, up to which every JSON reader
// is exact, for two million processes.
const numbersPerProcess = 1 << 32

// NextRange returns the number before the first one that no process has given, whether it is on record or not.
func (r *Receipts) NextRange() uint64 {
	if !r.Continued {
		return 0
	}
	return (r.HighestNumber/numbersPerProcess + 1) * numbersPerProcess
}

// ReadReceipts reads what a trail tells of receipts. Of the receipts it returns those whose last record is not before since.
func ReadReceipts(store *logstore.Store, since time.Time) (Receipts, error) {
	c := receiptCollector{since: since, subscriptions: map[subscriptionKey]*Subscription{}, removed: map[subscriptionKey]bool{}, byMessage: map[string]*UnfetchedReceipt{}}
	err := errors.Join(
		findByLabel(store, label('k', DispatcherStarted.String()), c.addStart),
		findByLabel(store, label('k', Subscribed.String()), c.addSubscription),
		findByLabel(store, label('k', "receipt"), c.addReceipt))
	return c.result(), err
}

// subscriptionKey identifies a subscription by the names of its tenant and its queue.
type subscriptionKey struct{ tenant, queue string }

// receiptCollector collects the records about receipts.
type receiptCollector struct {
	since         time.Time
	receipts      Receipts
	subscriptions map[subscriptionKey]*Subscription
	// removed are the subscriptions that were removed. Their names are not given again.
	removed   map[subscriptionKey]bool
	byMessage map[string]*UnfetchedReceipt
	// accepted are the receipts in order, with those that were fetched since.
	accepted []*UnfetchedReceipt
}

// addStart adds the start of a dispatcher.
func (c *receiptCollector) addStart(r *Record) {
	c.receipts.Continued = true
	c.receipts.HighestNumber = max(c.receipts.HighestNumber, r.Number)
}

// addSubscription adds a record about a subscription.
func (c *receiptCollector) addSubscription(r *Record) {
	key := subscriptionKey{r.Tenant, r.Receipt}
	switch r.Kind {
	case Subscribed:
		c.subscriptions[key] = &Subscription{Tenant: r.Tenant, Queue: r.Receipt, LastUsed: r.Time()}
	case Unsubscribed:
		delete(c.subscriptions, key)
		c.removed[key] = true
	}
}

// addReceipt adds a record about a receipt. Records of a message come in order.
func (c *receiptCollector) addReceipt(r *Record) {
	c.receipts.HighestNumber = max(c.receipts.HighestNumber, r.Number)
	if s := c.subscriptions[subscriptionKey{r.Tenant, r.Receipt}]; s != nil && r.Time().After(s.LastUsed) {
		s.LastUsed = r.Time()
	}
	switch r.Kind {
	case Accepted:
		// Receipts that are surely too old use no memory.
		if latest := r.Time().Add(time.Duration(r.LifetimeMicros) * time.Microsecond); latest.Before(c.since) {
			return
		}
		u := &UnfetchedReceipt{Tenant: r.Tenant, Queue: r.Receipt, Accepted: r}
		c.byMessage[r.Message] = u
		c.accepted = append(c.accepted, u)
	case Answered:
		if u := c.byMessage[r.Message]; u != nil {
			u.Answered = r
		}
	case Fetched:
		delete(c.byMessage, r.Message)
	}
}

// result returns what was collected.
func (c *receiptCollector) result() Receipts {
	for _, u := range c.accepted {
		unfetched := c.byMessage[u.Accepted.Message] == u && !c.removed[subscriptionKey{u.Tenant, u.Queue}]
		if unfetched && !u.last().Time().Before(c.since) {
			c.receipts.Unfetched = append(c.receipts.Unfetched, u)
		}
	}
	for _, s := range c.subscriptions {
		c.receipts.Subscriptions = append(c.receipts.Subscriptions, *s)
	}
	slices.SortFunc(c.receipts.Subscriptions, func(a, b Subscription) int { return b.LastUsed.Compare(a.LastUsed) })
	return c.receipts
}
