// Package clock is the program's only source of time. It keeps three clocks apart:
//
//   - The monotonic clock of this process (Process.Now), by which deadlines, windows, waits and graces are reckoned. Steps of
//     the wall clock do not show in it.
//   - The boot clock (Instant), for spans that outlive a process. It runs on from one process to the next on one machine, and
//     steps do not move it. Instants of different boots can't be compared.
//   - The wall clock (Wall), for what people and other systems read: times in logs, receipts and the trail. Nothing is
//     decided by it where one of the others can tell.
//
// No other package of the program reads a clock; a test checks that.
package clock

import (
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"whinrun/control"
)

// Clock is monotonic time of one process.
type Clock interface{ Now() control.Time }

// Elapsed is a clock's time as a duration.
func Elapsed(c Clock) time.Duration { return time.Duration(c.Now()) * time.Microsecond }

// Instant is a moment on the boot clock, in microseconds. It is above zero.
type Instant int64

// Process is the clock of this process. It also places its time on the boot clock of the machine.
type Process struct {
	start time.Time // with the monotonic clock's reading
	boot  string
	base  Instant // on the boot clock when Now was zero
}

// firstNow is what a clock says when it is made: no time is zero.
const firstNow = control.Second

// New starts the clock of a process.
func New() *Process {
	c := &Process{start: Wall().Add(-time.Duration(firstNow) * time.Microsecond)}
	since, id := bootTime()
	c.boot, c.base = id, since-Instant(firstNow)
	return c
}

// Now returns the time since a second before the process's clock was made.
func (c *Process) Now() control.Time { return control.Time(time.Since(c.start) / time.Microsecond) }

// BootID names the boot of the machine; it is empty where that can't be read. Instants are comparable where it is the same and
// not empty.
func (c *Process) BootID() string { return c.boot }

// ToInstant places a time of this process on the boot clock.
func (c *Process) ToInstant(t control.Time) Instant { return c.base + Instant(t) }

// FromInstant is the moment of an instant on this process's clock; it may lie before the process began, and be negative.
func (c *Process) FromInstant(i Instant) control.Time { return control.Time(i - c.base) }

// bootIDFile holds an identity that the kernel draws at each boot (proc(5)).
const bootIDFile = "/proc/sys/kernel/random/boot_id"

// bootTime reads the boot clock and the boot's identity, which is empty where either can't be had.
func bootTime() (since Instant, id string) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return firstInstant, ""
	}
	text, err := os.ReadFile(bootIDFile)
	if err != nil {
		return firstInstant, ""
	}
	return Instant(t.Nano()/int64(time.Microsecond)) + firstInstant, strings.TrimSpace(string(text))
}

// firstInstant is added to the boot clock, so that instants reckoned back from its start stay above zero.
const firstInstant = Instant(24 * time.Hour / time.Microsecond)

// Wall reads the wall clock. It may be stepped at any time: it is for what people and other systems read.
func Wall() time.Time { return time.Now() }

// After returns the moment a span from now, for deadlines of connections: it carries the monotonic clock's reading, which is
// what counts there.
func After(span time.Duration) time.Time { return time.Now().Add(span) }

// Stopwatch measures spans on the monotonic clock.
type Stopwatch struct{ start time.Time }

// StartStopwatch starts a stopwatch.
func StartStopwatch() Stopwatch { return Stopwatch{time.Now()} }

// StartedAt is the wall clock's time at the start.
func (s Stopwatch) StartedAt() time.Time { return s.start }

// Elapsed is the span since the start.
func (s Stopwatch) Elapsed() time.Duration { return time.Since(s.start) }
