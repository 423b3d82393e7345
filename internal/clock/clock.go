// Package clock is the program's only source of time. It keeps three clocks apart:
//
//   - The monotonic clock of this process (Process.Now) is used for deadlines, windows, waits and grace periods. It is not
//     affected by steps of the wall clock.
//   - The boot clock (Instant) is used for spans that outlive a process. It continues from one process to the next on one
//     machine and is not affected by steps of the wall clock. Instants of different boots cannot be compared.
//   - The wall clock (Wall) is used for times that people and other systems read: times in logs, receipts and the audit
//     trail. It is not used for a decision where one of the other clocks can be used.
//
// No other package of the program reads a clock. A test checks this.
package clock

import (
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"whinrun/control"
)

// Clock reads the monotonic time of one process, in microseconds.
type Clock interface{ Now() control.Time }

// Elapsed returns the present time of c as a duration.
func Elapsed(c Clock) time.Duration { return time.Duration(c.Now()) * time.Microsecond }

// Instant is a moment on the boot clock, in microseconds. It is always positive.
type Instant int64

// Process is the monotonic clock of this process. It also converts its times to and from the boot clock of the machine.
type Process struct {
	start time.Time // The time at which Now was zero, with a monotonic clock reading.
	boot  string    // The boot's identity, or empty if it is unknown.
	base  Instant   // The boot clock's value when Now was zero.
}

// initialTime is the value of Now when a Process is created, so that no time of the process is zero.
const initialTime = control.Second

// New returns a clock that starts at one second.
func New() *Process {
	c := &Process{start: Wall().Add(-time.Duration(initialTime) * time.Microsecond)}
	since, id := bootTime()
	c.boot, c.base = id, since-Instant(initialTime)
	return c
}

// Now returns the time since one second before the clock was created, in microseconds.
func (c *Process) Now() control.Time { return control.Time(time.Since(c.start) / time.Microsecond) }

// BootID returns the identity of the machine's present boot, or an empty string if it cannot be read. Instants of two
// processes are comparable only if their boot IDs are equal and not empty.
func (c *Process) BootID() string { return c.boot }

// ToInstant converts a time of this process to the boot clock.
func (c *Process) ToInstant(t control.Time) Instant { return c.base + Instant(t) }

// FromInstant converts an instant to this process's clock. The result is negative for an instant that is earlier than
// zero on this clock.
func (c *Process) FromInstant(i Instant) control.Time { return control.Time(i - c.base) }

// bootIDFile contains an identity that the kernel generates at each boot (see proc(5)).
const bootIDFile = "/proc/sys/kernel/random/boot_id"

// bootTime reads the boot clock and the boot's identity. If either cannot be read, it returns instantOffset and an empty
// identity.
func bootTime() (since Instant, id string) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return instantOffset, ""
	}
	text, err := os.ReadFile(bootIDFile)
	if err != nil {
		return instantOffset, ""
	}
	return Instant(t.Nano()/int64(time.Microsecond)) + instantOffset, strings.TrimSpace(string(text))
}

// instantOffset is added to the boot clock, so that instants shortly before the boot remain positive.
const instantOffset = Instant(24 * time.Hour / time.Microsecond)

// Wall returns the wall clock's time. The wall clock can be stepped at any time, so the result is only for people and other
// systems to read.
func Wall() time.Time { return time.Now() }

// After returns the time that is span from now. It is meant for deadlines of connections, and carries a monotonic clock
// reading, which net uses for deadlines.
func After(span time.Duration) time.Time { return time.Now().Add(span) }

// Stopwatch measures elapsed time on the monotonic clock.
type Stopwatch struct{ start time.Time }

// StartStopwatch returns a stopwatch that starts now.
func StartStopwatch() Stopwatch { return Stopwatch{time.Now()} }

// StartedAt returns the wall clock's time at which the stopwatch was started.
func (s Stopwatch) StartedAt() time.Time { return s.start }

// Elapsed returns the time since the stopwatch was started.
func (s Stopwatch) Elapsed() time.Duration { return time.Since(s.start) }
