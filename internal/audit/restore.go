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
func UnfetchedReceipts(store *logstore.Store, since time.Time) (subscriptions []*Record, owed []*UnfetchedReceipt, err error) {
	by := map[string]*UnfetchedReceipt{}
	take := func(r *Record) {
		if r.Time().Before(since) {
			return
		}
		switch r.Kind {
		case Subscribed:
			subscriptions = append(subscriptions, r)
		case Accepted:
			p := &UnfetchedReceipt{Tenant: r.Tenant, Queue: r.Receipt, Accepted: r}
			by[r.Message] = p
			owed = append(owed, p)
		case Answered:
			if p := by[r.Message]; p != nil {
				p.Answered = r
			}
		case Fetched:
			delete(by, r.Message)
		}
	}
	err = errors.Join(find(store, label('k', Subscribed.String()), take), find(store, label('k', "receipt"), take))
	left := owed[:0]
	for _, p := range owed {
		if by[p.Accepted.Message] == p {
			left = append(left, p)
		}
	}
	return subscriptions, left, err
}
