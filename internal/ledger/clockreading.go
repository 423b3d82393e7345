package ledger

import "whinrun/internal/clock"

// Times in the ledger are instants of the boot clock. They measure real time across restarts of the process, and steps of the wall
// clock do not affect them. The header of the file names the boot that they belong to. In another boot they cannot be used as they
// are; rebase converts them conservatively.

// ClockReading is the current time on all clocks, as read by the process that opens a ledger.
type ClockReading struct {
	Boot string        `cbor:"1,keyasint,omitempty"` // id of the boot, empty if it is not known
	At   clock.Instant `cbor:"2,keyasint,omitempty"` // time on the boot clock
	Wall int64         `cbor:"3,keyasint,omitempty"` // Unix time in microseconds
}

// longAgo is an instant before any deduplication window that may still be open. It is the smallest instant that is not 0, as 0
// stands for none.
const longAgo clock.Instant = 1

// sameBoot reports whether the instants of a ledger are valid on the clock of now. The ledger was opened at openedAt, and latest is
// the latest instant in it. If latest is in the future, the clock went back, and it counts as another boot whatever its id says.
func sameBoot(openedAt ClockReading, latest clock.Instant, now ClockReading) bool {
	return openedAt.Boot != "" && openedAt.Boot == now.Boot && latest <= now.At
}

// rebase converts an entry of another boot to the clock of this one. The new deadline is the earlier of two: the one that follows
// from the wall clock, and the one that leaves the time that was left at the latest instant on record. It is not known how long ago
// an attempt was possibly executed. It is assumed to be so long ago that no deduplication window is still open.
func (e *Entry) rebase(openedAt ClockReading, latest clock.Instant, now ClockReading) {
	byWallClock := clock.Instant(openedAt.Wall-now.Wall) + e.Deadline - openedAt.At
	byTimeLeft := e.Deadline - latest
	e.Deadline = now.At + max(0, min(byWallClock, byTimeLeft))
	e.AcceptedAt = now.At
	if e.PossiblyExecutedAt > 0 {
		e.PossiblyExecutedAt = longAgo
	}
}
