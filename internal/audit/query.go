package audit

import (
	"errors"
	"slices"
	"time"

	"whinrun/internal/clock"
	"whinrun/internal/disk"
	"whinrun/internal/logstore"
)

// OpenReader opens the trail in a folder for reading. A dispatcher may be writing to the trail at the same time.
func OpenReader(folder string) (*logstore.Store, logstore.RecoveryReport, error) {
	fs, err := disk.OpenFolder(folder)
	if err != nil {
		return nil, logstore.RecoveryReport{}, err
	}
	return logstore.Open(fs, logstore.Options{Labels: Labels, WallClock: clock.Wall, ReadOnly: true})
}

// AllRecords returns all records, in order. It fails if any of them is corrupt.
func AllRecords(store *logstore.Store) (all []*Record, err error) {
	err = store.Read(0, func(_ uint64, payload []byte) error {
		r, err := parse(payload)
		all = append(all, r)
		return err
	}, nil)
	return all, err
}

// MessageRecords returns all records of a message, in order. If parts of the trail are corrupt, it returns the records that can be read
// together with an error.
func MessageRecords(store *logstore.Store, message string) (all []*Record, err error) {
	err = findByLabel(store, label('m', message), func(r *Record) {
		if r.Message == message {
			all = append(all, r)
		}
	})
	return all, err
}

// findByLabel calls collect for each record that carries a label, in order. Corrupt segments are skipped, and their errors are
// returned.
func findByLabel(store *logstore.Store, labelHash uint64, collect func(*Record)) error {
	var corruptions []error
	err := store.Find(labelHash, func(_ uint64, payload []byte) error {
		r, err := parse(payload)
		if err == nil {
			collect(r)
		}
		return err
	}, func(e error) { corruptions = append(corruptions, e) })
	return errors.Join(append(corruptions, err)...)
}

// Query selects messages. Empty fields match all messages.
type Query struct {
	// Partner, Tenant and Outcome are the values that the message has to have.
	Partner, Tenant, Outcome string
	// Since is the earliest time of acceptance.
	Since time.Time
	// Limit is the maximum number of messages to return. 0 means no limit.
	Limit int
}

// Message is the summary of a message. Its fields are printed as JSON under their own names.
type Message struct {
	Name, Partner, Tenant, Class string
	// Taken is when the message was accepted. Answered is when it got its final answer or was withdrawn, and zero before that.
	Taken, Answered time.Time
	Outcome         string // served, refused, failed or withdrawn, empty before that
	Reason          string // reason for the outcome
	Attempts        int    // number of attempts
	Size            int    // size of the body in bytes
}

// FindMessages returns the messages that match a query, latest first. Messages whose acceptance is no longer in the trail are left out.
// If parts of the trail are corrupt, it returns the messages that can be read together with an error.
func FindMessages(store *logstore.Store, q Query) ([]*Message, error) {
	byName := map[string]*Message{}
	collect := func(r *Record) { collectRecord(byName, r) }
	var err error
	switch { // One look-up selects the messages. Their other records are read below.
	case q.Partner != "":
		err = findByLabel(store, label('p', q.Partner), collect)
	case q.Tenant != "":
		err = findByLabel(store, label('t', q.Tenant), collect)
	case q.Outcome != "":
		err = findByLabel(store, label('o', q.Outcome), collect)
	}
	filtered := q.Partner != "" || q.Tenant != "" || q.Outcome != ""
	readErr := store.Read(0, func(_ uint64, payload []byte) error {
		r, err := parse(payload)
		if err != nil {
			return err
		}
		if !filtered || byName[r.Message] != nil {
			collectRecord(byName, r)
		}
		return nil
	}, func(e error) { err = errors.Join(err, e) })
	var all []*Message
	for _, m := range byName {
		if m.Name != "" && !m.Taken.IsZero() && m.matches(&q) {
			all = append(all, m)
		}
	}
	slices.SortFunc(all, func(a, b *Message) int { return b.Taken.Compare(a.Taken) })
	if q.Limit > 0 && len(all) > q.Limit {
		all = all[:q.Limit]
	}
	return all, errors.Join(err, readErr)
}

// matches reports whether a message matches a query.
func (m *Message) matches(q *Query) bool {
	return (q.Partner == "" || m.Partner == q.Partner) && (q.Tenant == "" || m.Tenant == q.Tenant) &&
		(q.Outcome == "" || m.Outcome == q.Outcome) && !m.Taken.Before(q.Since)
}

// collectRecord adds a record to the summary of its message. Adding the same record again changes nothing.
func collectRecord(byName map[string]*Message, r *Record) {
	if r.Message == "" {
		return
	}
	m := byName[r.Message]
	if m == nil {
		m = &Message{Name: r.Message}
		byName[r.Message] = m
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
