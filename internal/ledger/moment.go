package ledger

import "whinrun/internal/clock"

// Times in the ledger are instants of the boot clock: they are spans of real time over restarts, and steps of the wall clock
// do not move them. The first line names the boot that they belong to. To a process of another boot they say nothing by
// themselves: it reads them with care (see rebase).

// ClockReading is now, as a process sees it that opens a ledger.
type ClockReading struct {
	Boot string        `cbor:"1,keyasint,omitempty"` // names the boot, empty where that is not known
	At   clock.Instant `cbor:"2,keyasint,omitempty"` // on its clock
	Wall int64         `cbor:"3,keyasint,omitempty"` // Unix time, in microseconds
}

// longAgo stands for a moment before any window that still matters: the least instant.
const longAgo clock.Instant = 1

// sameBoot tells whether instants of a ledger that was begun at one moment, and has seen instants up to last, mean the same
// at another. A clock that went back is not the same one, whatever the boot is called.
func sameBoot(began ClockReading, last clock.Instant, now ClockReading) bool {
	return began.Boot != "" && began.Boot == now.Boot && last <= now.At
}

// rebase puts an entry of another boot on this one's clock. Its deadline is the earlier of two: what the wall clock says, and
// the time that it had left when the ledger was last written. How long ago an attempt was that may have been executed is not
// known: long, so that no window for repeats is still open.
func (e *Entry) rebase(began ClockReading, last clock.Instant, now ClockReading) {
	byWall := clock.Instant(began.Wall-now.Wall) + e.Deadline - began.At
	byLast := e.Deadline - last
	e.Deadline = now.At + max(0, min(byWall, byLast))
	e.AcceptedAt = now.At
	if e.PossiblyExecutedAt > 0 {
		e.PossiblyExecutedAt = longAgo
	}
}
