package ledger

import "whinrun/internal/clock"

// This file tracks the attempts of a message. The start and the end of an attempt are separate records. An attempt without a
// recorded end, because its process ended first, counts as possibly executed. It stays so: the results of later attempts say
// nothing about it, in this process or in any that follows.

// beginAttempt notes the start of an attempt. An earlier one that is still in flight counts as possibly executed.
func (e *Entry) beginAttempt(at clock.Instant, zone int) {
	e.resolveInFlight()
	e.Attempts++
	e.InFlightSince, e.InFlightZone = at, zone
}

// endAttempt notes the end of an attempt. If its start was not recorded, the attempt is counted now, unless end.NotCounted is set;
// a failed connection is such an attempt. If its start was recorded and end.NotCounted is set, it is subtracted from the count.
func (e *Entry) endAttempt(end AttemptEnd) {
	e.PossiblyOver = end.PossiblyOver
	if e.InFlightSince == 0 {
		if !end.NotCounted {
			e.Attempts++
		}
		return
	}
	if end.NotCounted {
		e.Attempts--
	}
	if end.PossiblyExecuted && e.PossiblyExecutedAt == 0 {
		e.PossiblyExecutedAt, e.PossiblyExecutedZone = e.InFlightSince, e.InFlightZone
	}
	e.InFlightSince, e.InFlightZone = 0, 0
}

// resolveInFlight ends an attempt whose end is not on record and marks it as possibly executed.
func (e *Entry) resolveInFlight() {
	if e.InFlightSince != 0 {
		e.endAttempt(AttemptEnd{PossiblyExecuted: true, PossiblyOver: e.PossiblyOver})
	}
}

// PossiblyExecuted returns the start and the zone of the first attempt that was possibly executed. ok is false if there is none.
// An attempt in flight is not considered. After Open it can only be an attempt of this process, as Open resolves all others.
func (e *Entry) PossiblyExecuted() (at clock.Instant, zone int, ok bool) {
	return e.PossiblyExecutedAt, e.PossiblyExecutedZone, e.PossiblyExecutedAt > 0
}

// History is what is on record about the attempts of a message.
type History struct {
	// Attempts counts the attempts made so far, including one in flight.
	Attempts int
	// PossiblyExecutedAt is the start of the first attempt that was possibly executed. It is 0 if there is none. An attempt in
	// flight is not considered.
	PossiblyExecutedAt clock.Instant
	// Zone is the zone that the attempt of PossiblyExecutedAt went to.
	Zone int
}

// History returns the history of an outstanding message. ok is false if no message of that name is outstanding.
func (l *Ledger) History(name string) (h History, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.state.messages[name]
	if e == nil {
		return History{}, false
	}
	return History{e.Attempts, e.PossiblyExecutedAt, e.PossiblyExecutedZone}, true
}
