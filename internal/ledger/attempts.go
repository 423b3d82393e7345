package ledger

import "whinrun/internal/clock"

// What a message's attempts add up to. An attempt begins and ends by lines of their own. Where the end of one is not on
// record - its process ended first - it may have been executed, and it stays so: what later attempts come to says nothing of
// it, however many processes follow.

// beginAttempt takes an attempt down that begins at an instant, in a zone.
func (e *Entry) beginAttempt(at clock.Instant, zone int) {
	e.conclude()
	e.Attempts++
	e.InFlightSince, e.InFlightZone = at, zone
}

// endAttempt takes the end of an attempt. One that never went out counts where it was an attempt all the same, as one that met
// nobody; one that went out and counts for none is taken off the count.
func (e *Entry) endAttempt(end back) {
	if e.InFlightSince == 0 {
		if !end.NotSent {
			e.Attempts++
		}
		return
	}
	if end.NotSent {
		e.Attempts--
	}
	if end.PossiblyExecuted && e.PossiblyExecutedAt == 0 {
		e.PossiblyExecutedAt, e.PossiblyExecutedZone = e.InFlightSince, e.InFlightZone
	}
	e.InFlightSince, e.InFlightZone = 0, 0
}

// conclude takes it that an attempt without an end on record may have been executed.
func (e *Entry) conclude() {
	if e.InFlightSince != 0 {
		e.endAttempt(back{PossiblyExecuted: true})
	}
}

// PossiblyExecuted tells when the first attempt began that may have been executed, and the zone that it went to. ok is false
// where none may have been. One that is out is left aside: in an opened ledger none is another process's.
func (e *Entry) PossiblyExecuted() (at clock.Instant, zone int, ok bool) {
	return e.PossiblyExecutedAt, e.PossiblyExecutedZone, e.PossiblyExecutedAt > 0
}

// History is what is on record of a message's attempts.
type History struct {
	Attempts           int           // made so far, one that is out among them
	PossiblyExecutedAt clock.Instant // when the first began that may have been executed, 0 for none; one that is out is left aside
	Zone               int           // where that went
}

// History returns what is on record of a message that is owed its end; ok is false where none of that name is.
func (l *Ledger) History(name string) (h History, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.book.owed[name]
	if e == nil {
		return History{}, false
	}
	return History{e.Attempts, e.PossiblyExecutedAt, e.PossiblyExecutedZone}, true
}
