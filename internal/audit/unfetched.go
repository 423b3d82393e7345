package audit

import (
	"errors"
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

// UnfetchedReceipts returns the records of the subscriptions that were made since a time, and the receipts of messages accepted since
// then that were not fetched, oldest first.
func UnfetchedReceipts(store *logstore.Store, since time.Time) (subscriptions []*Record, unfetched []*UnfetchedReceipt, err error) {
	byMessage := map[string]*UnfetchedReceipt{}
	collect := func(r *Record) {
		if r.Time().Before(since) {
			return
		}
		switch r.Kind {
		case Subscribed:
			subscriptions = append(subscriptions, r)
		case Accepted:
			p := &UnfetchedReceipt{Tenant: r.Tenant, Queue: r.Receipt, Accepted: r}
			byMessage[r.Message] = p
			unfetched = append(unfetched, p)
		case Answered:
			if p := byMessage[r.Message]; p != nil {
				p.Answered = r
			}
		case Fetched:
			delete(byMessage, r.Message)
		}
	}
	err = errors.Join(findByLabel(store, label('k', Subscribed.String()), collect), findByLabel(store, label('k', "receipt"), collect))
	remaining := unfetched[:0]
	for _, p := range unfetched {
		if byMessage[p.Accepted.Message] == p {
			remaining = append(remaining, p)
		}
	}
	return subscriptions, remaining, err
}
