package ledger

import (
	"cmp"
	"slices"

	"whinrun/internal/clock"
)

// Outage is what is known of the outage of an endpoint, or of its return from one (see control.Outage), by the name that
// outlives processes.
type Outage struct {
	Host                string        `cbor:"1,keyasint"`
	Suspect             bool          `cbor:"2,keyasint,omitempty"`
	LastFailedAt        clock.Instant `cbor:"3,keyasint,omitempty"`
	FirstFailedAt       clock.Instant `cbor:"4,keyasint,omitempty"`
	ConsecutiveFailures int           `cbor:"5,keyasint,omitempty"`
	LastNotExecuted     bool          `cbor:"6,keyasint,omitempty"`
	RecoveredAt         clock.Instant `cbor:"7,keyasint,omitempty"`
	RefusingSince       clock.Instant `cbor:"8,keyasint,omitempty"`
	ConsecutiveErrors   int           `cbor:"9,keyasint,omitempty"`
	Push                float64       `cbor:"10,keyasint,omitempty"`
}

// over tells that nothing is left to be known.
func (o *Outage) over() bool {
	return !o.Suspect && o.ConsecutiveErrors == 0 && o.RecoveredAt == 0 && o.RefusingSince == 0
}

// rebase puts an outage of another boot on this one's clock. How long ago anything was is not known: it counts as of now, so
// that a return is taken as carefully as it ever was.
func (o *Outage) rebase(now ClockReading) {
	for _, at := range []*clock.Instant{&o.LastFailedAt, &o.FirstFailedAt, &o.RecoveredAt, &o.RefusingSince} {
		if *at > 0 {
			*at = now.At
		}
	}
}

// outageSize is reckoned for each outage on record.
const outageSize = 192

// learn takes what is known of outages now.
func (b *book) learn(changed []Outage) {
	for i := range changed {
		o := changed[i]
		if b.outages[o.Host] != nil {
			delete(b.outages, o.Host)
			b.live -= outageSize
		}
		if !o.over() {
			b.outages[o.Host] = &o
			b.live += outageSize
		}
	}
}

// knownOutages are those on record, by name.
func (b *book) knownOutages() []Outage {
	all := make([]Outage, 0, len(b.outages))
	for _, o := range b.outages {
		all = append(all, *o)
	}
	slices.SortFunc(all, func(x, y Outage) int { return cmp.Compare(x.Host, y.Host) })
	return all
}

// UpdateOutages records what is known of outages; an entry with nothing known takes its host off the record.
func (l *Ledger) UpdateOutages(changed []Outage) error { return l.put(&record{Outages: changed}, true) }

// Outages returns those on record, by name.
func (l *Ledger) Outages() []Outage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.book.knownOutages()
}
