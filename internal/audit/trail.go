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

// Trail appends records to a log store and maintains the hash chain over them. It is safe for concurrent use.
type Trail struct {
	store     *logstore.Store
	key       *Key
	wallClock func() time.Time

	mu       sync.Mutex
	chain    chain
	unsealed int    // number of records since the last seal
	lost     uint64 // number of lost records that no Gap has recorded yet
}

// Resume returns a Trail that continues the chain in a store. It computes the chain from the last seal on. It fails if the records since
// then cannot be read.
func Resume(store *logstore.Store, key *Key, wall func() time.Time) (*Trail, error) {
	t := &Trail{store: store, key: key, wallClock: wall}
	lastSeal := uint64(0)
	remember := func(seq uint64, _ []byte) error { lastSeal = seq; return nil }
	if err := store.Find(label('k', Seal.String()), remember, func(error) {}); err != nil {
		return nil, err
	}
	err := store.Read(lastSeal, func(seq uint64, payload []byte) error {
		r, err := parse(payload)
		if err != nil {
			return err
		}
		if r.Seal != nil && seq == lastSeal {
			copy(t.chain[:], r.Seal.Hash)
		}
		t.chain = t.chain.extend(payload[linkSize:])
		return nil
	}, nil)
	if err != nil {
		return nil, fmt.Errorf("audit: the end of the trail can't be read: %w", err)
	}
	return t, nil
}

// Write appends a record, on the clock of the store. If the store cannot take the record, it is lost and counted. Once the store takes
// records again, a Gap with that count precedes the next record.
func (t *Trail) Write(now time.Duration, r *Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lost > 0 && r.Kind != Gap {
		lost := t.lost
		if t.appendRecord(now, &Record{Kind: Gap, Count: lost}) == nil {
			t.lost -= lost
		}
	}
	if t.lost > 0 || t.appendRecord(now, r) != nil {
		t.lost++
	}
}

// appendRecord encodes a record and appends it to the chain and the store. It sets the record's time if that is not set.
func (t *Trail) appendRecord(now time.Duration, r *Record) error {
	if r.At == 0 {
		r.At = t.wallClock().UnixMicro()
	}
	body, err := cbor.Marshal(r)
	if err != nil {
		return err
	}
	next := t.chain.extend(body)
	if _, err := t.store.Append(now, append(next[:linkSize:linkSize], body...), r.labels()...); err != nil {
		return err
	}
	t.chain = next
	t.unsealed++
	return nil
}

// countLost counts a record that was lost before it reached Write.
func (t *Trail) countLost() {
	t.mu.Lock()
	t.lost++
	t.mu.Unlock()
}

// Seal appends a seal over all records so far. It does nothing if there is no record since the last seal.
func (t *Trail) Seal(now time.Duration) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.unsealed == 0 {
		return nil
	}
	hash := t.chain
	err := t.appendRecord(now, &Record{Kind: Seal, Seal: &SealData{Hash: hash[:], KeyID: t.key.ID(), Signature: t.key.Sign(sealMessage(hash[:]))}})
	if err == nil {
		t.unsealed = 0
	}
	return err
}

// Lost returns the number of lost records that no Gap has recorded yet.
func (t *Trail) Lost() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lost
}

// sealMessage returns what is signed for a seal. The prefix prevents a signature of another kind from being used as a seal, and the
// reverse.
func sealMessage(hash []byte) []byte { return append([]byte("whinrun audit seal\x00"), hash...) }

// VerifyResult is the result of Verify.
type VerifyResult struct {
	// Records and Seals count all records and the seals among them. Unsealed counts the records after the last seal.
	Records, Seals, Unsealed int
	// Lost is the number of records that were lost, according to the gaps in the trail.
	Lost uint64
	// From is the time of the first record, and To the latest time of all records.
	From, To time.Time
	// Problems describes the first 100 problems. The trail is intact if there are none.
	Problems []string
}

// ErrUnknownKey is the problem of a seal whose key is not among those given to Verify.
var ErrUnknownKey = errors.New("sealed by a key that is not known")

// Verify reads the whole trail. It checks that each record links to the one before, and that each seal is signed by one of the given keys
// and covers the records before it. If older segments have been removed, the links are checked from the first seal on.
func Verify(store *logstore.Store, keys map[string]ed25519.PublicKey) (v VerifyResult, err error) {
	var c chain
	anchored := store.Usage().FirstSeq == 1
	expectedSeq := store.Usage().FirstSeq
	addProblem := func(format string, a ...any) {
		if len(v.Problems) < 100 {
			v.Problems = append(v.Problems, fmt.Sprintf(format, a...))
		}
	}
	err = store.Read(0, func(seq uint64, payload []byte) error {
		if seq != expectedSeq {
			addProblem("records %d to %d are missing", expectedSeq, seq-1)
			anchored = false
		}
		expectedSeq = seq + 1
		r, err := parse(payload)
		if err != nil {
			addProblem("record %d: %v", seq, err)
			anchored = false
			return nil
		}
		v.countRecord(r)
		if r.Seal != nil {
			v.checkSeal(seq, r, &c, anchored, keys, addProblem)
			anchored = true
		}
		c = c.extend(payload[linkSize:])
		if anchored && !bytes.Equal(c[:linkSize], r.Link) {
			addProblem("record %d: does not link to the one before: one of them was altered or removed", seq)
			anchored = false // Links are checked again after the next seal.
		}
		return nil
	}, func(e error) { addProblem("%v", e) })
	return v, err
}

// countRecord counts a record.
func (v *VerifyResult) countRecord(r *Record) {
	v.Records++
	v.Unsealed++
	v.Lost += r.Count
	if at := r.Time(); v.From.IsZero() {
		v.From, v.To = at, at
	} else if at.After(v.To) {
		v.To = at
	}
}

// checkSeal checks a seal and sets the chain to the one that it signs. The chain so far is compared only if it is anchored, which means
// that it goes back to the first record or to a seal without a break.
func (v *VerifyResult) checkSeal(seq uint64, r *Record, c *chain, anchored bool, keys map[string]ed25519.PublicKey, addProblem func(string, ...any)) {
	v.Seals++
	v.Unsealed = 0
	key, ok := keys[r.Seal.KeyID]
	switch {
	case !ok:
		addProblem("record %d: %v: %s", seq, ErrUnknownKey, r.Seal.KeyID)
	case len(r.Seal.Hash) != len(c) || !ed25519.Verify(key, sealMessage(r.Seal.Hash), r.Seal.Signature):
		addProblem("record %d: the seal's signature is wrong", seq)
	case anchored && !slices.Equal(c[:], r.Seal.Hash):
		addProblem("record %d: the seal is not over the records before it", seq)
	}
	copy(c[:], r.Seal.Hash)
}
