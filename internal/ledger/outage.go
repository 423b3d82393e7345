package ledger

import (
	"cmp"
	"slices"

	"whinrun/internal/clock"
)

// Outage is what is known about the outage of an endpoint or its recovery. It is the stored form of control.Outage. It identifies
// the endpoint by its host, as the numbers of endpoints change with each process.
type Outage struct {
	Host string `cbor:"1,keyasint"`
	// Suspected says that the endpoint gets no regular calls because the last one failed.
	Suspected bool `cbor:"2,keyasint,omitempty"`
	// FailedAt is when the last failed call became known.
	FailedAt clock.Instant `cbor:"3,keyasint,omitempty"`
	// DownSince is the assumed start of the outage: when the first call of the current series of failures failed.
	DownSince clock.Instant `cbor:"4,keyasint,omitempty"`
	// Failures counts the consecutive calls that could not connect or got no answer.
	Failures int `cbor:"5,keyasint,omitempty"`
	// Unreachable says that the last failed call was certainly not executed.
	Unreachable bool `cbor:"6,keyasint,omitempty"`
	// RampStart is when the endpoint came back and its slow start began. It is 0 if there is none.
	RampStart clock.Instant `cbor:"7,keyasint,omitempty"`
	// RefusingSince is since when the endpoint has refused every call, if that has lasted longer than an overload may last. It is 0
	// otherwise.
	RefusingSince clock.Instant `cbor:"8,keyasint,omitempty"`
	// Errors counts the consecutive error responses.
	Errors int `cbor:"9,keyasint,omitempty"`
	// RampTokens is the number of trials that the demand permits now while the endpoint is suspected, from 0 to 1.
	RampTokens float64 `cbor:"10,keyasint,omitempty"`
}

// ended reports whether there is nothing left to remember about the endpoint.
func (o *Outage) ended() bool {
	return !o.Suspected && o.Errors == 0 && o.RampStart == 0 && o.RefusingSince == 0
}

// rebase converts an outage of another boot to the clock of this one. It is not known how long ago its events were. They count as
// having happened now, so that the recovery of the endpoint is treated with full caution.
func (o *Outage) rebase(now ClockReading) {
	for _, at := range []*clock.Instant{&o.FailedAt, &o.DownSince, &o.RampStart, &o.RefusingSince} {
		if *at > 0 {
			*at = now.At
		}
	}
}

// outageSize is the size that is assumed for each outage on record, in bytes.
const outageSize = 192

// applyOutages replaces what is known about the hosts in changed. An outage that has ended removes its host.
func (s *state) applyOutages(changed []Outage) {
	for i := range changed {
		o := changed[i]
		if s.outages[o.Host] != nil {
			delete(s.outages, o.Host)
			s.liveBytes -= outageSize
		}
		if !o.ended() {
			s.outages[o.Host] = &o
			s.liveBytes += outageSize
		}
	}
}

// sortedOutages returns the outages on record, sorted by host.
func (s *state) sortedOutages() []Outage {
	all := make([]Outage, 0, len(s.outages))
	for _, o := range s.outages {
		all = append(all, *o)
	}
	slices.SortFunc(all, func(x, y Outage) int { return cmp.Compare(x.Host, y.Host) })
	return all
}

// UpdateOutages records what is known about outages now. An outage that has ended removes its host.
func (l *Ledger) UpdateOutages(changed []Outage) error {
	return l.logRecord(&record{Outages: changed}, true)
}

// Outages returns the outages on record, sorted by host.
func (l *Ledger) Outages() []Outage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.sortedOutages()
}
