package audit

import (
	"bytes"
	"crypto/ed25519"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"whinrun/internal/logstore"
)

// Trail writes records. It may be used from any goroutine.
type Trail struct {
	store *logstore.Store
	key   *Key
	wall  func() time.Time

	mu    sync.Mutex
	chain chain
	fresh int // records since the last seal
	lost  uint64
}

// Resume goes on with the chain that a store holds.
func Resume(store *logstore.Store, key *Key, wall func() time.Time) (*Trail, error) {
	t := &Trail{store: store, key: key, wall: wall}
	last := uint64(0)
	find := func(seq uint64, _ []byte) error { last = seq; return nil }
	if err := store.Find(label('k', Seal.String()), find, func(error) {}); err != nil {
		return nil, err
	}
	err := store.Read(last, func(seq uint64, payload []byte) error {
		r, err := parse(payload)
		if err != nil {
			return err
		}
		if r.Seal != nil && seq == last {
			copy(t.chain[:], r.Seal.Hash)
		}
		t.chain = t.chain.next(payload[linkSize:])
		return nil
	}, nil)
	if err != nil {
		return nil, fmt.Errorf("audit: the end of the trail can't be read: %w", err)
	}
	return t, nil
}

// Write takes one record down. Where the disk is behind and its bound reached the record is lost, and counted by the
// next Gap.
func (t *Trail) Write(now time.Duration, r *Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lost > 0 && r.Kind != Gap {
		lost := t.lost
		if t.put(now, &Record{Kind: Gap, Count: lost}) == nil {
			t.lost -= lost
		}
	}
	if t.lost > 0 || t.put(now, r) != nil {
		t.lost++
	}
}

func (t *Trail) put(now time.Duration, r *Record) error {
	if r.At == 0 {
		r.At = t.wall().UnixMicro()
	}
	body, err := cbor.Marshal(r)
	if err != nil {
		return err
	}
	next := t.chain.next(body)
	if _, err := t.store.Append(now, append(next[:linkSize:linkSize], body...), r.labels()...); err != nil {
		return err
	}
	t.chain = next
	t.fresh++
	return nil
}

// lose counts a record that nobody could take.
func (t *Trail) lose() {
	t.mu.Lock()
	t.lost++
	t.mu.Unlock()
}

// Seal signs all that was written since the last seal; without anything new there is nothing to do.
func (t *Trail) Seal(now time.Duration) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.fresh == 0 {
		return nil
	}
	hash := t.chain
	err := t.put(now, &Record{Kind: Seal, Seal: &SealData{Hash: hash[:], KeyID: t.key.ID(), Signature: t.key.Sign(sealed(hash[:]))}})
	if err == nil {
		t.fresh = 0
	}
	return err
}

// Lost is how many records the disk has not taken and no Gap tells of yet.
func (t *Trail) Lost() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lost
}

// sealed is what is signed: a text before the hash keeps signatures of one kind from being used as another's.
func sealed(hash []byte) []byte { return append([]byte("whinrun audit seal\x00"), hash...) }

// VerifyResult is what Verify found.
type VerifyResult struct {
	Records, Seals, Unsealed int
	Lost                     uint64    // told by gaps
	From, To                 time.Time // of the records
	Problems                 []string
}

// ErrUnknownKey tells of a seal by a key that is not among those given.
var ErrUnknownKey = errors.New("sealed by a key that is not known")

// Verify reads the whole trail: every record is to link to the one before, every seal to be by a known key and over
// the chain so far. The first seal that is there anchors the chain where older segments have been dropped.
func Verify(store *logstore.Store, keys map[string]ed25519.PublicKey) (v VerifyResult, err error) {
	var c chain
	anchored := store.Usage().FirstSeq == 1
	expect := store.Usage().FirstSeq
	bad := func(format string, a ...any) {
		if len(v.Problems) < 100 {
			v.Problems = append(v.Problems, fmt.Sprintf(format, a...))
		}
	}
	err = store.Read(0, func(seq uint64, payload []byte) error {
		if seq != expect {
			bad("records %d to %d are missing", expect, seq-1)
			anchored = false
		}
		expect = seq + 1
		r, err := parse(payload)
		if err != nil {
			bad("record %d: %v", seq, err)
			anchored = false
			return nil
		}
		v.count(r)
		if r.Seal != nil {
			v.seal(seq, r, &c, anchored, keys, bad)
			anchored = true
		}
		c = c.next(payload[linkSize:])
		if anchored && !bytes.Equal(c[:linkSize], r.Link) {
			bad("record %d: does not link to the one before: one of them was altered or removed", seq)
			anchored = false // until the next seal
		}
		return nil
	}, func(e error) { bad("%v", e) })
	return v, err
}

func (v *VerifyResult) count(r *Record) {
	v.Records++
	v.Unsealed++
	v.Lost += r.Count
	if at := r.Time(); v.From.IsZero() {
		v.From, v.To = at, at
	} else if at.After(v.To) {
		v.To = at
	}
}

func (v *VerifyResult) seal(seq uint64, r *Record, c *chain, anchored bool, keys map[string]ed25519.PublicKey, bad func(string, ...any)) {
	v.Seals++
	v.Unsealed = 0
	key, ok := keys[r.Seal.KeyID]
	switch {
	case !ok:
		bad("record %d: %v: %s", seq, ErrUnknownKey, r.Seal.KeyID)
	case len(r.Seal.Hash) != len(c) || !ed25519.Verify(key, sealed(r.Seal.Hash), r.Seal.Signature):
		bad("record %d: the seal's signature is wrong", seq)
	case anchored && !slices.Equal(c[:], r.Seal.Hash):
		bad("record %d: the seal is not over the records before it", seq)
	}
	copy(c[:], r.Seal.Hash)
}
