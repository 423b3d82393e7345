package ledger

import (
	"testing"

	"whinrun/internal/clock"
	"whinrun/internal/disk"
)

const second clock.Instant = 1_000_000

// restartAt lets one process accept a message and send one call, and opens its ledger again at the time now. The message is
// accepted at 100 s with a lifetime of 8 s, and its call is sent at 101 s.
func restartAt(t *testing.T, now ClockReading) Entry {
	t.Helper()
	fs := disk.NewMemory()
	l, err := Open(fs, mb, ClockReading{Boot: "this", At: 90 * second, Wall: int64(1000 * second)})
	must(t, err)
	must(t, l.Accept(&Entry{Name: "m", Class: "k", AcceptedAt: 100 * second, Deadline: 108 * second}))
	must(t, l.StartAttempts([]string{"m"}, 101*second, 1, false))
	must(t, l.Close())
	l, err = Open(fs, mb, now)
	must(t, err)
	entries, _ := l.Outstanding()
	if len(entries) != 1 {
		t.Fatalf("owed %+v", entries)
	}
	return entries[0]
}

// Checks the deadline and the attempt times of a message after a restart, for each way in which the clocks may have changed.
func TestTimesOverRestarts(t *testing.T) {
	const wallThen = int64(1012 * second) // the wall clock at 102 s of the first boot
	for _, c := range []struct {
		name     string
		now      ClockReading
		left     clock.Instant // time until the deadline
		called   clock.Instant // time since the call
		longPast bool          // the call counts as so long ago that no window is open
	}{
		{"same boot", ClockReading{"this", 102 * second, wallThen}, 6 * second, second, false},
		{"same boot, wall clock an hour back", ClockReading{"this", 102 * second, wallThen - int64(3600*second)}, 6 * second, second, false},
		{"same boot, wall clock an hour on", ClockReading{"this", 102 * second, wallThen + int64(3600*second)}, 6 * second, second, false},
		{"same boot, its time is over", ClockReading{"this", 120 * second, wallThen}, -12 * second, 19 * second, false},
		{"another boot", ClockReading{"other", 5 * second, wallThen}, 6 * second, 0, true},
		{"another boot, some seconds later", ClockReading{"other", 5 * second, wallThen + int64(4*second)}, 2 * second, 0, true},
		{"another boot, long after", ClockReading{"other", 5 * second, wallThen + int64(600*second)}, 0, 0, true},
		{"another boot, wall clock an hour back", ClockReading{"other", 5 * second, wallThen - int64(3600*second)}, 7 * second, 0, true},
		{"the boot is not known", ClockReading{"", 102 * second, wallThen}, 6 * second, 0, true},
		{"a clock that went back", ClockReading{"this", 95 * second, wallThen}, 6 * second, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := restartAt(t, c.now)
			if left := e.Deadline - c.now.At; left != c.left {
				t.Errorf("%d us left, want %d", left, c.left)
			}
			at, zone, ok := e.PossiblyExecuted()
			if !ok || zone != 1 {
				t.Fatalf("possibly executed: %v in zone %d", ok, zone)
			}
			if c.longPast != (at == longAgo) || !c.longPast && c.now.At-at != c.called {
				t.Errorf("called at %d, now is %d", at, c.now.At)
			}
		})
	}
}

// Times that were converted after a reboot must not be converted again by later processes of the same boot.
func TestRebasedTimesAreKept(t *testing.T) {
	fs := disk.NewMemory()
	l, err := Open(fs, mb, ClockReading{Boot: "first", At: 100 * second, Wall: int64(100 * second)})
	must(t, err)
	must(t, l.Accept(&Entry{Name: "m", Class: "k", AcceptedAt: 100 * second, Deadline: 130 * second}))
	must(t, l.StartAttempts([]string{"m"}, 101*second, 0, false))
	must(t, l.Close())
	for _, at := range []clock.Instant{5 * second, 6 * second, 7 * second} {
		l, err = Open(fs, mb, ClockReading{Boot: "second", At: at, Wall: int64(105*second + at)})
		must(t, err)
		entries, _ := l.Outstanding()
		if since, _, ok := entries[0].PossiblyExecuted(); !ok || since != longAgo {
			t.Errorf("at %d: possibly executed at %d, %v", at, since, ok)
		}
		if left := entries[0].Deadline - at; left != 20*second-(at-5*second) {
			t.Errorf("at %d: %d us left", at, left)
		}
		must(t, l.StartAttempts([]string{"m"}, at, 0, false))
		must(t, l.EndAttempt(AttemptEnd{Name: "m"}))
		must(t, l.Close())
	}
}

// A ledger of format version 1, which has Unix times, is read as one of another boot.
func TestFormatVersion1IsRead(t *testing.T) {
	fs := disk.NewMemory()
	unix := 1_700_000_000 * second
	b, err := appendRecord(nil, &record{Version: 1})
	must(t, err)
	for _, r := range []record{{Accepted: &Entry{Name: "m", Class: "k", Deadline: unix + 8*second}}, {Started: &attemptStart{Names: []string{"m"}, At: unix}}} {
		b, err = appendRecord(b, &r)
		must(t, err)
	}
	f, err := fs.Create(fileName)
	must(t, err)
	_, err = f.Write(b)
	must(t, err)
	must(t, f.Close())
	l, err := Open(fs, mb, ClockReading{Boot: "this", At: 50 * second, Wall: int64(unix + 3*second)})
	must(t, err)
	entries, _ := l.Outstanding()
	if len(entries) != 1 || entries[0].Deadline != 55*second || entries[0].PossiblyExecutedAt != longAgo || entries[0].InFlightSince != 0 {
		t.Errorf("owed %+v", entries)
	}
}
