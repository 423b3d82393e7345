package ledger

import (
	"math/rand/v2"
	"slices"
	"testing"

	"whinrun/internal/clock"
	"whinrun/internal/disk"
)

// history is the test's own model of the attempts of one message.
type history struct {
	attempts           int
	possiblyExecutedAt clock.Instant // start of the first attempt that was possibly executed, 0 for none
	zone               int           // zone of that attempt
	inFlightSince      clock.Instant // start of the attempt in flight, 0 for none
	inFlightZone       int           // zone of that attempt
}

func (h *history) begin(at clock.Instant, zone int) {
	h.attempts++
	h.inFlightSince, h.inFlightZone = at, zone
}

// end notes the end of the attempt in flight. possiblyExecuted is also set for an end that no process saw.
func (h *history) end(possiblyExecuted bool) {
	if possiblyExecuted && h.possiblyExecutedAt == 0 {
		h.possiblyExecutedAt, h.zone = h.inFlightSince, h.inFlightZone
	}
	h.inFlightSince = 0
}

// Restarts the process at random points between the records of a message. After each restart the ledger must still know the first
// attempt that was possibly executed, whatever the results of later attempts were.
func TestEveryRestartKnowsTheFirstAttemptInDoubt(t *testing.T) {
	for seed := range uint64(500) {
		rng := rand.New(rand.NewPCG(seed, 11))
		fs := disk.NewMemory()
		l := open(t, fs, mb)
		must(t, l.Accept(&Entry{Name: "m", Class: "k"}))
		var want history
		for now := clock.Instant(1); now < 30; now++ {
			switch {
			case rng.IntN(3) == 0:
				l = reopen(t, l, fs, mb)
				if want.inFlightSince != 0 { // No process will see its end.
					want.end(true)
				}
			case want.inFlightSince == 0:
				zone := rng.IntN(3)
				must(t, l.StartAttempts([]string{"m"}, now, zone, false))
				want.begin(now, zone)
			default:
				possiblyExecuted := rng.IntN(2) == 0
				must(t, l.EndAttempt(AttemptEnd{Name: "m", PossiblyExecuted: possiblyExecuted}))
				want.end(possiblyExecuted)
			}
		}
		if want.inFlightSince != 0 {
			want.end(true)
		}
		l = reopen(t, l, fs, mb)
		entries, _ := l.Outstanding()
		if len(entries) != 1 {
			t.Fatalf("seed %d: owed %+v", seed, entries)
		}
		at, zone, ok := entries[0].PossiblyExecuted()
		if at != want.possiblyExecutedAt || ok != (at > 0) || ok && zone != want.zone || entries[0].Attempts != want.attempts {
			t.Fatalf("seed %d: may have run since %d in zone %d after %d attempts, want %+v", seed, at, zone, entries[0].Attempts, want)
		}
	}
}

// Guards against a message that a later process calls although an answer may have ended it: the mark outlasts restarts, also
// several, until the end of an attempt says otherwise.
func TestRestartsKnowWhatMayBeOver(t *testing.T) {
	for _, test := range []struct {
		name string
		mark func(l *Ledger) error
	}{
		{"by an answer that was held", func(l *Ledger) error { return l.MarkPossiblyOver([]string{"m"}) }},
		{"by the end of an attempt", func(l *Ledger) error {
			return l.EndAttempt(AttemptEnd{Name: "m", PossiblyExecuted: true, PossiblyOver: true})
		}},
	} {
		fs := disk.NewMemory()
		l := open(t, fs, mb)
		must(t, l.Accept(&Entry{Name: "m", Class: "k"}))
		must(t, l.StartAttempts([]string{"m"}, 1, 0, false))
		must(t, test.mark(l))
		for range 2 {
			l = reopen(t, l, fs, mb)
			entries, _ := l.Outstanding()
			if len(entries) != 1 || !entries[0].PossiblyOver {
				t.Errorf("%s: owed %+v", test.name, entries)
			}
		}
		must(t, l.StartAttempts([]string{"m"}, 2, 0, false))
		must(t, l.EndAttempt(AttemptEnd{Name: "m"}))
		l = reopen(t, l, fs, mb)
		if entries, _ := l.Outstanding(); len(entries) != 1 || entries[0].PossiblyOver {
			t.Errorf("%s: owed %+v behind a proven end", test.name, entries)
		}
	}
}

// The end of an attempt whose start was not recorded must not clear the attempt that was in flight when the previous process ended.
func TestEndWithoutARecordedStart(t *testing.T) {
	for _, ends := range []AttemptEnd{{}, {NotCounted: true}, {PossiblyExecuted: true}} {
		fs := disk.NewMemory()
		l := open(t, fs, mb)
		must(t, l.Accept(&Entry{Name: "m", Class: "k"}))
		must(t, l.StartAttempts([]string{"m"}, 5, 2, false))
		l = reopen(t, l, fs, mb)
		must(t, l.EndAttempt(AttemptEnd{Name: "m", PossiblyExecuted: ends.PossiblyExecuted, NotCounted: ends.NotCounted}))
		l = reopen(t, l, fs, mb)
		entries, _ := l.Outstanding()
		want := 2
		if ends.NotCounted {
			want = 1
		}
		if at, zone, ok := entries[0].PossiblyExecuted(); !ok || at != 5 || zone != 2 || entries[0].Attempts != want {
			t.Errorf("%+v: possibly executed at %d in zone %d, %v, after %d attempts", ends, at, zone, ok, entries[0].Attempts)
		}
	}
}

// Outages survive restarts until they are over. In another boot their times become the time of the restart.
func TestOutagesAreKept(t *testing.T) {
	fs := disk.NewMemory()
	l := open(t, fs, mb)
	must(t, l.UpdateOutages([]Outage{{Host: "b", Suspected: true, FailedAt: 900, DownSince: 800, Failures: 3}, {Host: "a", RampStart: 700}, {Host: "c", RefusingSince: 5}}))
	must(t, l.UpdateOutages([]Outage{{Host: "c"}}))
	want := []Outage{{Host: "a", RampStart: 700}, {Host: "b", Suspected: true, FailedAt: 900, DownSince: 800, Failures: 3}}
	for range 2 {
		l = reopen(t, l, fs, mb)
		if got := l.Outages(); !slices.Equal(got, want) {
			t.Errorf("%+v", got)
		}
	}
	must(t, l.Close())
	l, err := Open(fs, mb, ClockReading{Boot: "other", At: 50})
	must(t, err)
	if got := l.Outages(); len(got) != 2 || got[0].RampStart != 50 || got[1].FailedAt != 50 || got[1].DownSince != 50 {
		t.Errorf("in another boot: %+v", got)
	}
	must(t, l.UpdateOutages([]Outage{{Host: "a"}, {Host: "b"}}))
	if _, live := l.Size(); live != 0 {
		t.Errorf("%d bytes live with nothing known", live)
	}
}
