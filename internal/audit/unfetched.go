package audit

import (
	"errors"
	"time"

	"whinrun/internal/logstore"
)

// UnfetchedReceipt is a receipt that was promised and not fetched before the dispatcher ended.
type UnfetchedReceipt struct {
	Tenant, Queue string
	Accepted      *Record
	Answered      *Record // nil: the dispatcher ended before its final answer
}

// UnfetchedReceipts reads which receipts are still owed, oldest first, and which subscriptions there are, since a time.
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
