package ledger

import (
	"math/rand/v2"
	"slices"
	"testing"

	"whinrun/internal/clock"
	"whinrun/internal/disk"
)

// history is what surely is known of one message's attempts, kept beside the ledger by the test.
type history struct {
	attempts int
	first    clock.Instant // when the first attempt began that may have run, 0 for none
	zone     int           // where that went
	out      clock.Instant // when the attempt that is out began, 0 for none
	outZone  int
}

func (h *history) begin(at clock.Instant, zone int) {
	h.attempts++
	h.out, h.outZone = at, zone
}

// end takes the end of the attempt that is out; mayHaveRun also stands for an end that no process heard.
func (h *history) end(mayHaveRun bool) {
	if mayHaveRun && h.first == 0 {
		h.first, h.zone = h.out, h.outZone
	}
	h.out = 0
}

// Processes that come and go at any moment between the lines of a message: each of them knows of the first attempt that may
// have run, whatever those between them learned of later ones.
func TestEveryRestartKnowsTheFirstAttemptInDoubt(t *testing.T) {
	for seed := range uint64(500) {
		rng := rand.New(rand.NewPCG(seed, 11))
		fs := disk.NewMemory()
		l := open(t, fs, mb)
		must(t, l.Accept(&Entry{Name: "m", Class: "k"}))
		var truth history
		for now := clock.Instant(1); now < 30; now++ {
			switch {
			case rng.IntN(3) == 0:
				l = reopen(t, l, fs, mb)
				if truth.out != 0 { // nobody hears its end any more
					truth.end(true)
				}
			case truth.out == 0:
				zone := rng.IntN(3)
				must(t, l.StartAttempts([]string{"m"}, now, zone, false))
				truth.begin(now, zone)
			default:
				mayHaveRun := rng.IntN(2) == 0
				must(t, l.EndAttempt("m", mayHaveRun, false))
				truth.end(mayHaveRun)
			}
		}
		if truth.out != 0 {
			truth.end(true)
		}
		l = reopen(t, l, fs, mb)
		entries, _ := l.Outstanding()
		if len(entries) != 1 {
			t.Fatalf("seed %d: owed %+v", seed, entries)
		}
		at, zone, ok := entries[0].PossiblyExecuted()
		if at != truth.first || ok != (at > 0) || ok && zone != truth.zone || entries[0].Attempts != truth.attempts {
			t.Fatalf("seed %d: may have run since %d in zone %d after %d attempts, want %+v", seed, at, zone, entries[0].Attempts, truth)
		}
	}
}

// An attempt that never went on record, and its end, say nothing of one that was out when the process before ended.
func TestEndWithoutARecordedStart(t *testing.T) {
	for _, ends := range []back{{}, {NotSent: true}, {PossiblyExecuted: true}} {
		fs := disk.NewMemory()
		l := open(t, fs, mb)
		must(t, l.Accept(&Entry{Name: "m", Class: "k"}))
		must(t, l.StartAttempts([]string{"m"}, 5, 2, false))
		l = reopen(t, l, fs, mb)
		must(t, l.EndAttempt("m", ends.PossiblyExecuted, ends.NotSent))
		l = reopen(t, l, fs, mb)
		entries, _ := l.Outstanding()
		want := 2
		if ends.NotSent {
			want = 1
		}
		if at, zone, ok := entries[0].PossiblyExecuted(); !ok || at != 5 || zone != 2 || entries[0].Attempts != want {
			t.Errorf("%+v: possibly executed at %d in zone %d, %v, after %d attempts", ends, at, zone, ok, entries[0].Attempts)
		}
	}
}

// What is known of outages outlives processes, until it is over; in another boot it counts as of its start.
func TestOutagesAreKept(t *testing.T) {
	fs := disk.NewMemory()
	l := open(t, fs, mb)
	must(t, l.UpdateOutages([]Outage{{Host: "b", Suspect: true, LastFailedAt: 900, FirstFailedAt: 800, ConsecutiveFailures: 3}, {Host: "a", RecoveredAt: 700}, {Host: "c", RefusingSince: 5}}))
	must(t, l.UpdateOutages([]Outage{{Host: "c"}}))
	want := []Outage{{Host: "a", RecoveredAt: 700}, {Host: "b", Suspect: true, LastFailedAt: 900, FirstFailedAt: 800, ConsecutiveFailures: 3}}
	for range 2 {
		l = reopen(t, l, fs, mb)
		if got := l.Outages(); !slices.Equal(got, want) {
			t.Errorf("%+v", got)
		}
	}
	must(t, l.Close())
	l, err := Open(fs, mb, ClockReading{Boot: "other", At: 50})
	must(t, err)
	if got := l.Outages(); len(got) != 2 || got[0].RecoveredAt != 50 || got[1].LastFailedAt != 50 || got[1].FirstFailedAt != 50 {
		t.Errorf("in another boot: %+v", got)
	}
	must(t, l.UpdateOutages([]Outage{{Host: "a"}, {Host: "b"}}))
	if _, live := l.Size(); live != 0 {
		t.Errorf("%d bytes live with nothing known", live)
	}
}
