package audit

import (
	"crypto/ed25519"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"whinrun/internal/disk"
	"whinrun/internal/logstore"
	"whinrun/internal/logstore/plan"
)

func wall() time.Time { return time.Unix(1e9, 0) }

func store(t *testing.T, fs disk.FS, buffer int) *logstore.Store {
	t.Helper()
	s, _, err := logstore.Open(fs, logstore.Options{Policy: plan.Policy{SegmentBytes: 2000, SyncWithin: time.Millisecond, RetryEvery: time.Second},
		MaxPendingBytes: buffer, Labels: Labels, WallClock: wall})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func key(t *testing.T) (*Key, map[string]ed25519.PublicKey) {
	t.Helper()
	dir := t.TempDir()
	k, err := OpenKey(dir)
	if err != nil {
		t.Fatal(err)
	}
	keys, err := PublicKeys(dir)
	if err != nil || len(keys) != 1 || keys[k.ID()] == nil {
		t.Fatal(keys, err)
	}
	return k, keys
}

// write writes the records of n messages, with a seal after every fourth message.
func write(t *testing.T, s *logstore.Store, k *Key, from, n int) *Trail {
	t.Helper()
	trail, err := Resume(s, k, wall)
	if err != nil {
		t.Fatal(err)
	}
	for i := from; i < from+n; i++ {
		id := fmt.Sprint("m", i)
		trail.Write(1, &Record{Kind: Accepted, Message: id, Partner: fmt.Sprint("p", i%3), Tenant: "t"})
		trail.Write(1, &Record{Kind: AttemptStarted, Message: id, Attempt: 1})
		trail.Write(1, &Record{Kind: Answered, Message: id, Result: []string{"served", "failed"}[i%2]})
		if i%4 == 0 {
			if err := trail.Seal(1); err != nil {
				t.Fatal(err)
			}
		}
		if err := s.Commit(1); err != nil {
			t.Fatal(err)
		}
	}
	return trail
}

func TestSealedAndResumed(t *testing.T) {
	fs := disk.NewMemory()
	k, keys := key(t)
	s := store(t, fs, 1<<16)
	write(t, s, k, 0, 40)
	_ = s.Close(1)
	k2, more := key(t) // After a change of the key, old seals can still be verified.
	s = store(t, fs, 1<<16)
	trail := write(t, s, k2, 40, 40)
	if err := errors.Join(trail.Seal(1), s.Commit(1)); err != nil {
		t.Fatal(err)
	}
	both := map[string]ed25519.PublicKey{k.ID(): keys[k.ID()], k2.ID(): more[k2.ID()]}
	v, err := Verify(s, both)
	if err != nil || len(v.Problems) > 0 || v.Records != 240+v.Seals || v.Seals < 20 || v.Unsealed != 0 {
		t.Errorf("%+v %v", v, err)
	}
	if v, _ = Verify(s, keys); len(v.Problems) == 0 || !strings.Contains(v.Problems[0], "not known") {
		t.Errorf("seals by an unknown key: %+v", v)
	}
	found, err := FindMessages(s, Query{Partner: "p1", Outcome: "served"})
	if err != nil || len(found) != 13 {
		t.Errorf("%d found, %v", len(found), err)
	}
	lines, err := MessageRecords(s, "m41")
	if err != nil || len(lines) != 3 || lines[0].Kind != Accepted || lines[2].Result != "failed" {
		t.Errorf("%v %v", lines, err)
	}
}

// An altered record with a correct checksum, a removed record and seals by another key are each detected.
func TestTamperingIsDetected(t *testing.T) {
	k, keys := key(t)
	other, _ := key(t)
	for name, tamper := range map[string]func(i int, r *Record) []*Record{
		"nothing": func(_ int, r *Record) []*Record { return []*Record{r} },
		"altered": func(i int, r *Record) []*Record {
			if i == 50 {
				r.Result = "served"
				r.Message = "x"
			}
			return []*Record{r}
		},
		"removed": func(i int, r *Record) []*Record {
			if i == 50 {
				return nil
			}
			return []*Record{r}
		},
		"another's seal": func(_ int, r *Record) []*Record {
			if r.Seal != nil {
				r.Seal.Signature = other.Sign(sealMessage(r.Seal.Hash))
			}
			return []*Record{r}
		},
	} {
		s := store(t, disk.NewMemory(), 1<<16)
		write(t, s, k, 0, 40)
		copied := store(t, disk.NewMemory(), 1<<20)
		i := 0
		if err := s.Read(0, func(_ uint64, payload []byte) error {
			r, err := parse(payload)
			if err != nil {
				return err
			}
			for _, r := range tamper(i, r) {
				b, _ := cbor.Marshal(r)
				if _, err := copied.Append(1, append(r.Link, b...), r.labels()...); err != nil {
					return err
				}
			}
			i++
			return nil
		}, nil); err != nil {
			t.Fatal(err)
		}
		if err := copied.Commit(1); err != nil {
			t.Fatal(err)
		}
		v, err := Verify(copied, keys)
		if err != nil || (len(v.Problems) == 0) != (name == "nothing") {
			t.Errorf("%s: %v %v", name, v.Problems, err)
		}
	}
}

// While the disk fails, records wait. Those beyond the limit are counted by a gap, and the chain stays intact.
func TestGap(t *testing.T) {
	fs := disk.NewMemory()
	k, keys := key(t)
	s := store(t, fs, 2000)
	trail := write(t, s, k, 0, 4)
	fs.Fail = func(op, _ string) error { return errors.New("full") }
	for i := range 100 {
		trail.Write(1, &Record{Kind: Accepted, Message: fmt.Sprint(i)})
	}
	if s.Commit(1) == nil || trail.Lost() == 0 {
		t.Fatal("nothing was lost in 2,000 bytes")
	}
	fs.Fail = nil
	if err := s.Commit(2); err != nil {
		t.Fatal(err)
	}
	lost := trail.Lost()
	trail.Write(3, &Record{Kind: Accepted, Message: "after"})
	if err := errors.Join(trail.Seal(3), s.Commit(3)); err != nil {
		t.Fatal(err)
	}
	v, err := Verify(s, keys)
	if err != nil || len(v.Problems) > 0 || v.Lost != lost || trail.Lost() != 0 {
		t.Errorf("%+v, %d lost, %v", v, lost, err)
	}
}

// BenchmarkRestart measures what a restart reads of a trail of a million records. One message in a hundred has a receipt.
func BenchmarkRestart(b *testing.B) {
	fs := disk.NewMemory()
	opt := logstore.Options{Policy: plan.Policy{SegmentBytes: 8 << 20}, MaxPendingBytes: 4 << 20, Labels: Labels, WallClock: wall}
	s, _, err := logstore.Open(fs, opt)
	if err != nil {
		b.Fatal(err)
	}
	k, err := OpenKey(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	trail, _ := Resume(s, k, wall)
	for i := range 250_000 {
		id, queue := fmt.Sprint("epoch-", i), ""
		if i%100 == 0 {
			queue = "amq.gen-1"
		}
		trail.Write(1, &Record{Kind: Accepted, Message: id, Partner: "p", Tenant: "t", Class: "c", Receipt: queue})
		trail.Write(1, &Record{Kind: AttemptStarted, Message: id, Attempt: 1, Endpoint: "127.0.0.1:8431"})
		trail.Write(1, &Record{Kind: AttemptEnded, Message: id, Attempt: 1, Endpoint: "127.0.0.1:8431", Result: "ok", Status: 201, TookMicros: 5000})
		trail.Write(1, &Record{Kind: Answered, Message: id, Partner: "p", Tenant: "t", Result: "served", Attempts: 1, Receipt: queue})
		if i%1000 == 999 {
			_ = trail.Seal(1)
			_ = s.Commit(1)
		}
	}
	for more := true; more; {
		more, _ = s.Maintain()
	}
	_ = s.Close(1)
	for b.Loop() {
		s, _, err := logstore.Open(fs, opt)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := Resume(s, k, wall); err != nil {
			b.Fatal(err)
		}
		if receipts, err := ReadReceipts(s, time.Time{}); err != nil || len(receipts.Unfetched) != 2500 {
			b.Fatal(len(receipts.Unfetched), err)
		}
		_ = s.Close(1)
	}
}
