package audit

import (
	"errors"
	"slices"
	"time"

	"whinrun/internal/clock"
	"whinrun/internal/disk"
	"whinrun/internal/logstore"
)

// OpenReader opens a folder's trail for reading, also beside a running dispatcher.
func OpenReader(folder string) (*logstore.Store, logstore.RecoveryReport, error) {
	fs, err := disk.OpenFolder(folder)
	if err != nil {
		return nil, logstore.RecoveryReport{}, err
	}
	return logstore.Open(fs, logstore.Options{Labels: Labels, WallClock: clock.Wall, ReadOnly: true})
}

// AllRecords returns every record, in order.
func AllRecords(store *logstore.Store) (all []*Record, err error) {
	err = store.Read(0, func(_ uint64, payload []byte) error {
		r, err := parse(payload)
		all = append(all, r)
		return err
	}, nil)
	return all, err
}

// MessageRecords returns all records of a message, in order.
func MessageRecords(store *logstore.Store, message string) (all []*Record, err error) {
	err = find(store, label('m', message), func(r *Record) {
		if r.Message == message {
			all = append(all, r)
		}
	})
	return all, err
}

func find(store *logstore.Store, l uint64, take func(*Record)) error {
	var bad []error
	err := store.Find(l, func(_ uint64, payload []byte) error {
		r, err := parse(payload)
		if err == nil {
			take(r)
		}
		return err
	}, func(e error) { bad = append(bad, e) })
	return errors.Join(append(bad, err)...)
}

// Query asks for messages; empty fields ask for nothing.
type Query struct {
	Partner, Tenant, Outcome string
	Since                    time.Time
	Limit                    int // 0 for no bound
}

// Message is what became of one.
type Message struct {
	Name, Partner, Tenant, Class string
	Taken, Answered              time.Time // Answered is zero while it has no answer
	Outcome                      string    // served, refused, failed, withdrawn, or empty
	Reason                       string
	Attempts                     int
	Size                         int
}

// FindMessages returns the messages that a query asks for, the latest first, as far as the trail goes.
func FindMessages(store *logstore.Store, q Query) ([]*Message, error) {
	by := map[string]*Message{}
	take := func(r *Record) { collect(by, r) }
	var err error
	switch { // the narrowest look-up that there is; the answer of each is read with the rest
	case q.Partner != "":
		err = find(store, label('p', q.Partner), take)
	case q.Tenant != "":
		err = find(store, label('t', q.Tenant), take)
	case q.Outcome != "":
		err = find(store, label('o', q.Outcome), take)
	}
	named := q.Partner != "" || q.Tenant != "" || q.Outcome != ""
	rest := store.Read(0, func(_ uint64, payload []byte) error {
		r, err := parse(payload)
		if err != nil {
			return err
		}
		if !named || by[r.Message] != nil {
			collect(by, r)
		}
		return nil
	}, func(e error) { err = errors.Join(err, e) })
	var all []*Message
	for _, m := range by {
		if m.Name != "" && !m.Taken.IsZero() && m.is(&q) {
			all = append(all, m)
		}
	}
	slices.SortFunc(all, func(a, b *Message) int { return b.Taken.Compare(a.Taken) })
	if q.Limit > 0 && len(all) > q.Limit {
		all = all[:q.Limit]
	}
	return all, errors.Join(err, rest)
}

func (m *Message) is(q *Query) bool {
	return (q.Partner == "" || m.Partner == q.Partner) && (q.Tenant == "" || m.Tenant == q.Tenant) &&
		(q.Outcome == "" || m.Outcome == q.Outcome) && !m.Taken.Before(q.Since)
}

// collect takes a record of a message in; the same one twice changes nothing.
func collect(by map[string]*Message, r *Record) {
	if r.Message == "" {
		return
	}
	m := by[r.Message]
	if m == nil {
		m = &Message{Name: r.Message}
		by[r.Message] = m
	}
	switch r.Kind {
	case Accepted:
		m.Partner, m.Tenant, m.Class, m.Taken, m.Size = r.Partner, r.Tenant, r.Class, r.Time(), r.Size
	case AttemptStarted:
		m.Attempts = max(m.Attempts, r.Attempt)
	case Answered:
		m.Outcome, m.Answered, m.Reason = r.Result, r.Time(), r.Reason
		if m.Reason == "" {
			m.Reason = r.Detail
		}
	case Withdrawn:
		m.Outcome, m.Answered = "withdrawn", r.Time()
	}
}
