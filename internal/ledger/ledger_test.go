package ledger

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"golang.org/x/sys/unix"

	"whinrun/internal/clock"
	"whinrun/internal/disk"
)

const mb = 1 << 20

// thisBoot returns a clock reading of the boot that the processes of the tests run in.
func thisBoot(at clock.Instant) ClockReading {
	return ClockReading{Boot: "this", At: at, Wall: 5_000_000 + int64(at)}
}

func open(t *testing.T, fs disk.FS, limit int64) *Ledger {
	t.Helper()
	l, err := Open(fs, limit, thisBoot(1000))
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// reopen closes a ledger and opens the folder again, as the next process does.
func reopen(t *testing.T, l *Ledger, fs disk.FS, limit int64) *Ledger {
	t.Helper()
	_ = l.Close()
	return open(t, fs, limit)
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func TestRestartOwesWhatWasOwed(t *testing.T) {
	fs := disk.NewMemory()
	l := open(t, fs, mb)
	for _, n := range []string{"a", "b", "c", "d", "e"} {
		must(t, l.Accept(&Entry{Name: n, Class: "k", Destination: 3, Deadline: 77, IdempotencyKey: "key-" + n, Body: []byte("body " + n)}))
	}
	must(t, l.StartAttempts([]string{"a", "b"}, 100, 1, false)) // a is in flight when the process ends
	must(t, l.EndAttempt(AttemptEnd{Name: "b"}))                // b was not executed
	must(t, l.StartAttempts([]string{"c"}, 110, 1, false))
	must(t, l.EndAttempt(AttemptEnd{Name: "c", PossiblyExecuted: true})) // c was possibly executed, in zone 1
	must(t, l.StartAttempts([]string{"c"}, 120, 0, false))
	must(t, l.Complete("d"))
	must(t, l.CompleteWithNotice(Notice{Name: "e", Deferred: true, RetryAfterMillis: 40}))
	l = reopen(t, l, fs, mb)
	entries, notices := l.Outstanding()
	want := []Entry{
		{Name: "a", Attempts: 1, PossiblyExecutedAt: 100, PossiblyExecutedZone: 1}, {Name: "b", Attempts: 1}, {Name: "c", Attempts: 2, PossiblyExecutedAt: 110, PossiblyExecutedZone: 1},
	}
	if len(entries) != len(want) {
		t.Fatalf("owed %+v", entries)
	}
	for i, e := range entries {
		w := want[i]
		if e.Name != w.Name || e.Attempts != w.Attempts || e.InFlightSince != w.InFlightSince || e.InFlightZone != w.InFlightZone || e.PossiblyExecutedAt != w.PossiblyExecutedAt || e.PossiblyExecutedZone != w.PossiblyExecutedZone ||
			e.Deadline != 77 || e.IdempotencyKey != "key-"+e.Name || string(e.Body) != "body "+e.Name {
			t.Errorf("owed %+v, want %+v", e, w)
		}
	}
	if len(notices) != 1 || notices[0].Name != "e" || !notices[0].Deferred || notices[0].RetryAfterMillis != 40 {
		t.Errorf("notices %+v", notices)
	}
	must(t, l.AcknowledgeNotices([]string{"e"}))
	l = reopen(t, l, fs, mb)
	if _, notices = l.Outstanding(); len(notices) != 0 {
		t.Errorf("notices %+v after they were acknowledged", notices)
	}
}

// The folder never holds more than its limit, even during a compaction, and a full ledger rejects messages.
func TestStaysWithinTheLimit(t *testing.T) {
	const limit = 256 << 10
	fs := disk.NewMemory()
	l := open(t, fs, limit)
	used := func() (sum int64) {
		names, _ := fs.List()
		for _, n := range names {
			sum += (int64(len(fs.Bytes(n))) + 511) / 512 * 512
		}
		return sum
	}
	var most int64
	body := bytes.Repeat([]byte("x"), 2000)
	var held []string
	full := 0
	for i := range 3000 {
		n := fmt.Sprintf("m%05d", i)
		switch err := l.Accept(&Entry{Name: n, Class: "k", Body: body}); {
		case errors.Is(err, ErrFull):
			full++
			for _, h := range held[:len(held)/2] {
				must(t, l.Complete(h))
			}
			held = held[len(held)/2:]
		case err != nil:
			t.Fatal(err)
		default:
			held = append(held, n)
			must(t, l.StartAttempts([]string{n}, clock.Instant(i), 0, false))
		}
		file, live := l.Size()
		most = max(most, used(), file+live)
	}
	if full == 0 || most > limit {
		t.Errorf("%d refused, at most %d bytes of %d", full, most, limit)
	}
	l = reopen(t, l, fs, limit)
	if entries, _ := l.Outstanding(); len(entries) != len(held) {
		t.Errorf("%d owed, want %d", len(entries), len(held))
	}
}

// A file that is cut at any byte, with or without garbage behind the cut, yields only entries that were written.
func TestTornAndDamagedTail(t *testing.T) {
	fs := disk.NewMemory()
	l := open(t, fs, mb)
	for i := range 5 {
		must(t, l.Accept(&Entry{Name: fmt.Sprint("m", i), Class: "k", Body: []byte("body")}))
	}
	whole := bytes.Clone(fs.Bytes(fileName))
	for cut := range whole {
		for _, tail := range [][]byte{whole[:cut], append(bytes.Clone(whole[:cut]), 0xff)} {
			b := newState()
			if err := b.replay(tail); err != nil {
				t.Fatal(err)
			}
			for i, e := range b.sortedEntries() {
				if e.Name != fmt.Sprint("m", i) || string(e.Body) != "body" {
					t.Fatalf("cut at %d: entry %+v", cut, e)
				}
			}
		}
	}
}

func TestNewerVersionIsRejected(t *testing.T) {
	fs := disk.NewMemory()
	b, err := appendRecord(nil, &record{Version: formatVersion + 1})
	must(t, err)
	f, err := fs.Create(fileName)
	must(t, err)
	if _, err := f.Write(b); err != nil {
		t.Fatal(err)
	}
	must(t, f.Close())
	if _, err := Open(fs, mb, thisBoot(1)); !errors.Is(err, ErrNewerVersion) {
		t.Errorf("error %v", err)
	}
}

var errDisk = fmt.Errorf("disk trouble: %w", unix.EIO)

// Lets each disk operation in turn fail, once or together with those that follow. After a restart the accepted messages must be
// outstanding and the rejected ones must not. Once the disk works again, so must the ledger.
func TestEachOperationFails(t *testing.T) {
	for _, forGood := range []bool{false, true} {
		for at := 1; ; at++ {
			fs := disk.NewMemory()
			l := open(t, fs, 64<<10)
			n := 0
			fs.SetFail(func(string, string) error {
				n++
				if n == at || forGood && n > at && n < at+40 {
					return errDisk
				}
				return nil
			})
			owed, over := map[string]bool{}, map[string]bool{}
			body := bytes.Repeat([]byte("x"), 3000)
			for i := range 60 {
				m := fmt.Sprint("m", i)
				if l.Accept(&Entry{Name: m, Class: "k", Body: body}) == nil {
					owed[m] = true
					_ = l.StartAttempts([]string{m}, 5, 0, false)
				}
				_ = l.Repair() // called after each event
				if o := fmt.Sprint("m", i-3); owed[o] {
					_ = l.Complete(o) // The message has ended even if the write fails.
					delete(owed, o)
					over[o] = true
				}
			}
			last := n
			fs.SetFail(nil)
			must(t, l.Repair())
			must(t, l.Accept(&Entry{Name: "after", Class: "k"}))
			owed["after"] = true
			l = reopen(t, l, fs, 64<<10)
			entries, _ := l.Outstanding()
			var got []string
			for _, e := range entries {
				got = append(got, e.Name)
				if !owed[e.Name] {
					t.Fatalf("operation %d: %s is owed, over %v", at, e.Name, over[e.Name])
				}
			}
			if len(got) != len(owed) {
				t.Fatalf("operation %d: owed %v, want %d", at, got, len(owed))
			}
			if at > last {
				break
			}
		}
	}
}

// Kills the process at random points. All completed writes remain. The next process must have the same outstanding messages.
func TestKilledAtRandom(t *testing.T) {
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 7))
		fs := disk.NewMemory()
		l := open(t, fs, 32<<10)
		owed, notices := map[string]bool{}, map[string]bool{}
		next := 0
		for range 8 {
			dead := errors.New("killed")
			left := 20 + rng.IntN(200)
			fs.SetFail(func(string, string) error {
				if left--; left < 0 {
					return dead
				}
				return nil
			})
			for left >= 0 {
				var name string
				if all := slices.Sorted(maps.Keys(owed)); len(all) > 0 {
					name = all[rng.IntN(len(all))]
				}
				if len(notices) > 20 { // The platform acknowledges them eventually.
					all := slices.Sorted(maps.Keys(notices))
					_ = l.AcknowledgeNotices(all)
					clear(notices)
				}
				switch k := rng.IntN(5); {
				case k < 2:
					name = fmt.Sprint("m", next)
					next++
					if l.Accept(&Entry{Name: name, Class: "k", Body: make([]byte, rng.IntN(900))}) == nil {
						owed[name] = true
					}
				case name == "":
				case k == 2:
					_ = l.Complete(name) // The message has ended even if the write fails.
					delete(owed, name)
				case k == 3 && l.CompleteWithNotice(Notice{Name: name}) == nil:
					delete(owed, name)
					notices[name] = true
				default:
					_ = l.StartAttempts([]string{name}, 1, 0, false)
				}
			}
			fs.SetFail(nil)
			l = reopen(t, l, fs, 32<<10)
			entries, pending := l.Outstanding()
			have, told := map[string]bool{}, map[string]bool{}
			for _, e := range entries {
				have[e.Name] = true
			}
			for _, x := range pending {
				told[x.Name] = true
			}
			for n := range owed {
				if !have[n] && !told[n] { // The last operation may have been written although it returned an error.
					t.Fatalf("seed %d: %s is lost", seed, n)
				}
			}
			for n := range notices {
				if !told[n] {
					t.Fatalf("seed %d: the notice of %s is lost", seed, n)
				}
			}
			owed, notices = have, told
		}
	}
}

func TestSpaceForACompaction(t *testing.T) {
	r := spaceLimits{usable: 1000}
	if !r.admits(0, 300) || r.admits(300, 100) || r.admits(0, 400) {
		t.Error("the limit for outstanding messages is wrong")
	}
	if r.needsCompaction(300, 600, 100) || !r.needsCompaction(300, 601, 100) {
		t.Error("a compaction comes too early or too late")
	}
}

func FuzzLoad(f *testing.F) {
	one, _ := appendRecord(nil, &record{Version: formatVersion})
	one, _ = appendRecord(one, &record{Accepted: &Entry{Name: "a", Class: "k"}})
	one, _ = appendRecord(one, &record{Started: &attemptStart{Names: []string{"a"}, At: 3}})
	f.Add(one)
	f.Add(slices.Concat(one, []byte{1, 2, 3}))
	f.Fuzz(func(t *testing.T, b []byte) {
		x := newState()
		_ = x.replay(b)
		if x.liveBytes < 0 {
			t.Fatalf("%d bytes live", x.liveBytes)
		}
	})
}
