package logstore

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"whinrun/internal/disk"
	"whinrun/internal/logstore/plan"
)

var errDisk = errors.New("no space left on device")

func options() Options {
	wall := time.Unix(1e9, 0)
	return Options{MaxPendingBytes: 1 << 16, Policy: plan.Policy{SyncWithin: 10 * time.Millisecond, SyncBytes: 4096, SegmentBytes: 600, RetryEvery: time.Second},
		Labels:    func(p []byte) []uint64 { return []uint64{uint64(p[0]), 1000} },
		WallClock: func() time.Time { wall = wall.Add(time.Second); return wall }}
}

func payload(i int) []byte {
	b := make([]byte, 9+i%40)
	b[0] = byte(i % 7)
	binary.LittleEndian.PutUint64(b[1:], uint64(i))
	return b
}

// add appends a record with the labels that options().Labels finds.
func add(s *Store, i int) error {
	p := payload(i)
	_, err := s.Append(time.Second, p, uint64(p[0]), 1000)
	return err
}

func number(p []byte) int { return int(binary.LittleEndian.Uint64(p[1:])) }

func open(t *testing.T, fs disk.FS) (*Store, RecoveryReport) {
	t.Helper()
	s, rep, err := Open(fs, options())
	if err != nil {
		t.Fatal(err)
	}
	return s, rep
}

// all reads everything and checks that it is what was written, in order.
func all(t *testing.T, s *Store) (got []int) {
	t.Helper()
	last := uint64(0)
	err := s.Read(0, func(seq uint64, p []byte) error {
		if seq <= last || string(p) != string(payload(number(p))) {
			t.Fatalf("record %d after %d: %x", seq, last, p)
		}
		last = seq
		got = append(got, number(p))
		return nil
	}, nil)
	if err != nil {
		t.Fatal(err)
	}
	return got
}

func fill(t *testing.T, s *Store, from, n int) {
	t.Helper()
	for i := range n {
		if err := add(s, from+i); err != nil {
			t.Fatal(err)
		}
		if i%5 == 4 || i == n-1 {
			if err := s.Commit(time.Second); err != nil {
				t.Fatal(err)
			}
		}
	}
}

func TestWriteReadFind(t *testing.T) {
	fs := disk.NewMemory()
	s, _ := open(t, fs)
	fill(t, s, 0, 200)
	check := func(s *Store) {
		t.Helper()
		if got := all(t, s); len(got) != 200 || got[0] != 0 || got[199] != 199 {
			t.Fatalf("%d records", len(got))
		}
		n := 0
		if err := s.Find(3, func(_ uint64, p []byte) error {
			if p[0] != 3 {
				t.Errorf("found %x", p)
			}
			n++
			return nil
		}, nil); err != nil || n != 29 {
			t.Errorf("%d found, want 29; %v", n, err)
		}
	}
	check(s)
	for {
		if more, err := s.Maintain(); err != nil {
			t.Fatal(err)
		} else if !more {
			break
		}
	}
	u := s.Usage()
	if u.Compressed < 5 || u.Compressed != u.Segments-1 {
		t.Errorf("%+v", u)
	}
	check(s)
	if _, _, err := Open(fs, options()); !errors.Is(err, disk.ErrLocked) {
		t.Error("opened twice:", err)
	}
	if err := s.Close(time.Second); err != nil {
		t.Fatal(err)
	}
	s, rep := open(t, fs)
	if rep.Records != 200 || rep.TornBytes != 0 || len(rep.Problems) != 0 {
		t.Errorf("%+v", rep)
	}
	check(s)
	fill(t, s, 200, 1)
	if got := all(t, s); len(got) != 201 || got[200] != 200 {
		t.Error("nothing can be added after opening again")
	}
}

// Hundreds of crashes at random operations: what was durable is there, in order, nothing is invented, and the store can
// be opened and written again.
func TestCrashes(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	fs := disk.NewMemory()
	next, durable := 0, 0
	for crash := range 400 {
		s, rep, err := Open(fs, options())
		if err != nil {
			t.Fatalf("crash %d: %v", crash, err)
		}
		if len(rep.Problems) > 0 && !strings.Contains(rep.Problems[0], "made anew") {
			t.Fatalf("crash %d: %v", crash, rep.Problems)
		}
		got := all(t, s)
		for i, n := range got {
			if n != i {
				t.Fatalf("crash %d: record %d is %d", crash, i, n)
			}
		}
		if len(got) < durable || len(got) > next {
			t.Fatalf("crash %d: %d records, %d durable, %d appended", crash, len(got), durable, next)
		}
		next, durable = len(got), len(got)
		ops := fs.OpCount + rng.IntN(40)
		fs.Fail = func(string, string) error {
			if fs.OpCount >= ops {
				return errDisk
			}
			return nil
		}
		for range 60 {
			if err := add(s, next); err == nil {
				next++
			}
			switch rng.IntN(4) {
			case 0:
				if s.Commit(time.Second) == nil {
					durable = next
				}
			case 1:
				_, _ = s.Maintain()
			}
		}
		fs.Crash(rng)
	}
	if next < 1000 {
		t.Errorf("only %d records over all crashes", next)
	}
}

// Every operation fails in turn, once: nothing appended is lost, and the store goes on.
func TestEachOperationFailsOnce(t *testing.T) {
	for bad := range 60 {
		fs := disk.NewMemory()
		s, _ := open(t, fs)
		start, failed := fs.OpCount, false
		fs.Fail = func(string, string) error {
			if fs.OpCount == start+bad+1 && !failed {
				failed = true
				return errDisk
			}
			return nil
		}
		for i := range 100 {
			if err := add(s, i); err != nil {
				t.Fatal(err)
			}
			if i%4 == 3 {
				if err := s.Commit(time.Second); err != nil && s.Failing() == nil {
					t.Fatal("a failed commit does not show:", err)
				}
			}
			if i%10 == 9 {
				_, _ = s.Maintain()
			}
		}
		if err := s.Commit(time.Second); err != nil || s.Failing() != nil {
			t.Fatalf("operation %d: %v", bad, err)
		}
		if got := all(t, s); len(got) != 100 {
			t.Fatalf("operation %d: %d records", bad, len(got))
		}
		if err := s.Close(time.Second); err != nil {
			t.Fatal(err)
		}
		s, _ = open(t, fs)
		if got := all(t, s); len(got) != 100 {
			t.Fatalf("operation %d: %d records after opening again", bad, len(got))
		}
	}
}

// A full disk: appends go on up to the bound, then are refused; with room again all of them are written.
func TestFullDisk(t *testing.T) {
	fs := disk.NewMemory()
	s, _ := open(t, fs)
	fill(t, s, 0, 10)
	fs.Fail = func(op, _ string) error {
		if op == "write" {
			return errDisk
		}
		return nil
	}
	n := 10
	for ; ; n++ {
		if err := add(s, n); errors.Is(err, ErrBacklogFull) {
			break
		} else if err != nil {
			t.Fatal(err)
		}
		if n%100 == 0 {
			if err := s.Commit(time.Second); !errors.Is(err, errDisk) || !errors.Is(s.Failing(), errDisk) {
				t.Fatal(err, s.Failing())
			}
		}
	}
	if at, ok := s.NextCommit(); !ok || at != 2*time.Second {
		t.Errorf("tried again at %v", at)
	}
	fs.Fail = nil
	if err := s.Commit(2 * time.Second); err != nil || s.Failing() != nil {
		t.Fatal(err)
	}
	if got := all(t, s); len(got) != n || s.RejectedRecords != 1 {
		t.Errorf("%d of %d records, %d dropped", len(got), n, s.RejectedRecords)
	}
}

// What is not as it was written is found and named, and the rest is read.
func TestDamage(t *testing.T) {
	fs := disk.NewMemory()
	s, _ := open(t, fs)
	fill(t, s, 0, 100)
	_ = s.Close(time.Second)
	names, _ := fs.List()
	fs.Bytes(names[1])[200] ^= 1 // a record of the first segment
	for _, name := range names {
		if strings.HasSuffix(name, suffixIndex) && name != names[0] {
			fs.Bytes(name)[30] ^= 1
			break
		}
	}
	s, rep := open(t, fs)
	if len(rep.Problems) != 1 || !strings.Contains(rep.Problems[0], "made anew") {
		t.Error(rep.Problems)
	}
	var bad []error
	n := 0
	if err := s.Read(0, func(uint64, []byte) error { n++; return nil }, func(e error) { bad = append(bad, e) }); err != nil {
		t.Fatal(err)
	}
	if len(bad) != 1 || !errors.Is(bad[0], ErrCorrupt) || !strings.Contains(bad[0].Error(), "segment 1: record") || n < 80 {
		t.Errorf("%v, %d records read", bad, n)
	}
	if err := s.Read(0, func(uint64, []byte) error { return nil }, nil); !errors.Is(err, ErrCorrupt) {
		t.Error("damage is passed over:", err)
	}
	_ = s.Close(time.Second)
	if err := fs.Remove(names[1]); err != nil {
		t.Fatal(err)
	}
	s, rep = open(t, fs)
	u := s.Usage()
	if u.FirstSeq == 1 || len(rep.Problems) != 0 {
		t.Errorf("%+v %v", u, rep.Problems)
	}
	_ = s.Close(time.Second)
	names, _ = fs.List()
	for i, name := range names {
		if strings.HasSuffix(name, suffixOpen) && i > 5 {
			_ = fs.Remove(name)
			break
		}
	}
	if _, rep = open(t, fs); len(rep.Problems) != 1 || !strings.Contains(rep.Problems[0], "are missing") {
		t.Error(rep.Problems)
	}
}

func TestPlan(t *testing.T) {
	p := plan.Policy{SyncWithin: 10, SyncBytes: 100, SegmentBytes: 1000, SegmentAge: time.Hour, KeepFor: 24 * time.Hour, KeepBytes: 250, RetryEvery: 50}
	for _, c := range []struct {
		w  plan.Backlog
		at time.Duration
		ok bool
	}{{plan.Backlog{}, 0, false}, {plan.Backlog{Bytes: 5, OldestAt: 100}, 110, true}, {plan.Backlog{Bytes: 100, OldestAt: 100}, 100, true},
		{plan.Backlog{Bytes: 5, OldestAt: 100, Urgent: true}, 100, true}, {plan.Backlog{FailedAt: 200}, 250, true}} {
		if at, ok := p.NextCommit(c.w); at != c.at || ok != c.ok {
			t.Errorf("%+v: %v %v", c.w, at, ok)
		}
	}
	now := time.Unix(1e9, 0)
	seg := []plan.Segment{{FirstSeq: 9, Bytes: 100, ClosedAt: now}, {FirstSeq: 1, Bytes: 100, ClosedAt: now.Add(-25 * time.Hour)}, {FirstSeq: 5, Bytes: 100, ClosedAt: now}}
	if got := fmt.Sprint(p.Expired(seg, now)); got != "[1]" {
		t.Error(got)
	}
	p.KeepBytes = 120
	if got := fmt.Sprint(p.Expired(seg, now)); got != "[1 5]" {
		t.Error(got)
	}
	if got := p.Expired(seg[2:], now.Add(-100*24*time.Hour)); len(got) != 0 {
		t.Error("dropped by a clock set back", got)
	}
}

// FuzzSegment opens a store over any bytes as its last segment: no crash, and what is read was checked.
func FuzzSegment(f *testing.F) {
	good := appendHead(nil, 1, time.Unix(1, 0))
	good = AppendRecord(AppendRecord(good, 1, payload(1)), 2, payload(2))
	f.Add(good)
	f.Add(good[:50])
	f.Fuzz(func(t *testing.T, b []byte) {
		fs := disk.NewMemory()
		file, _ := fs.Create(fileName(1, suffixOpen))
		_, _ = file.Write(b)
		opt := options()
		opt.Labels = nil
		s, _, err := Open(fs, opt)
		if err != nil {
			return
		}
		if _, err := s.Append(time.Second, []byte("x")); err != nil {
			t.Fatal(err)
		}
		if err := s.Commit(time.Second); err != nil {
			t.Fatal(err)
		}
		if err := s.Read(0, func(uint64, []byte) error { return nil }, nil); err != nil {
			t.Fatal(err)
		}
	})
}

func BenchmarkCommit(b *testing.B) {
	for _, group := range []int{1, 10, 100} {
		b.Run(fmt.Sprint(group), func(b *testing.B) {
			folder, err := disk.OpenFolder(b.TempDir())
			if err != nil {
				b.Fatal(err)
			}
			opt := options()
			opt.Policy.SegmentBytes = 8 << 20
			s, _, err := Open(folder, opt)
			if err != nil {
				b.Fatal(err)
			}
			p := make([]byte, 200)
			for b.Loop() {
				for range group {
					if _, err := s.Append(time.Second, p); err != nil {
						b.Fatal(err)
					}
				}
				if err := s.Commit(time.Second); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.N*group)/b.Elapsed().Seconds(), "records/s")
		})
	}
}

// BenchmarkOpen is the recovery of a million records, of which the last segment is read.
func BenchmarkOpen(b *testing.B) {
	fs := disk.NewMemory()
	opt := options()
	opt.Policy.SegmentBytes, opt.MaxPendingBytes = 8<<20, 1<<20
	s, _, _ := Open(fs, opt)
	for i := range 1_000_000 {
		_, _ = s.Append(time.Second, payload(i))
		if i%1000 == 999 {
			_ = s.Commit(time.Second)
		}
	}
	_ = s.Close(time.Second)
	for b.Loop() {
		s, rep, err := Open(fs, opt)
		if err != nil || rep.Records != 1_000_000 {
			b.Fatal(err, rep)
		}
		_ = s.Close(time.Second)
	}
}
