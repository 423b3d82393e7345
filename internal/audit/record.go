// Package audit keeps the trail of all messages: acceptance, attempts with what each proved, waits told, decisions not
// to send again with the module's reasons, drains and returns as learned, final answers. Records are chained by hash
// and sealed by a key at intervals, so that one removed or altered shows. docs/audit.md is the page of the form.
package audit

import (
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// Kind of a record.
type Kind uint8

// Kinds; the fields each one uses beside Kind and At are in brackets.
const (
	DispatcherStarted Kind = iota + 1 // a dispatcher started [Why: its version]
	Accepted                          // a message was taken [Message Partner Tenant Class Life Size]
	AttemptStarted                    // an attempt went out [Message Partner Attempt Endpoint]
	AttemptEnded                      // it ended [Message Partner Attempt Endpoint Result Ran Status Wait Took Why After]
	Answered                          // the final answer [Message Partner Tenant Result Status Wait Attempts Why Reason]
	Withdrawn                         // its sender gave it up [Message Partner Tenant]
	Learned                           // an endpoint's standing was learned [Partner Endpoint Result]
	Gap                               // records are missing: the disk did not take them [Count]
	Seal                              // all before is sealed [Seal]
	Subscribed                        // a receipt subscription was made [Tenant Receipt]
	Fetched                           // a receipt was taken out of its subscription [Message Tenant Receipt]
)

var kindNames = [...]string{"", "begin", "accepted", "attempt", "ended", "answered", "withdrawn", "learned", "gap", "seal", "subscribed", "fetched"}

func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return fmt.Sprint("kind ", uint8(k))
}

// Record is one line of the trail. Its keys in CBOR (RFC 8949) are numbers.
type Record struct {
	Kind             Kind      `cbor:"1,keyasint" json:"-"`
	At               int64     `cbor:"2,keyasint" json:"-"`                           // microseconds since 1970, by the wall clock
	Message          string    `cbor:"3,keyasint,omitempty" json:"message,omitempty"` // the dispatcher's name of it
	Partner          string    `cbor:"4,keyasint,omitempty" json:"partner,omitempty"`
	Tenant           string    `cbor:"5,keyasint,omitempty" json:"tenant,omitempty"`
	Class            string    `cbor:"6,keyasint,omitempty" json:"class,omitempty"`
	Attempt          int       `cbor:"7,keyasint,omitempty" json:"attempt,omitempty"` // from 1
	Endpoint         string    `cbor:"8,keyasint,omitempty" json:"endpoint,omitempty"`
	Result           string    `cbor:"9,keyasint,omitempty" json:"result,omitempty"`
	PossiblyExecuted bool      `cbor:"10,keyasint,omitempty" json:"may-have-run,omitempty"`
	Status           int       `cbor:"11,keyasint,omitempty" json:"status,omitempty"`
	WaitMicros       int64     `cbor:"12,keyasint,omitempty" json:"wait-us,omitempty"`
	TookMicros       int64     `cbor:"13,keyasint,omitempty" json:"took-us,omitempty"`
	Detail           string    `cbor:"14,keyasint,omitempty" json:"why,omitempty"`
	Reason           string    `cbor:"15,keyasint,omitempty" json:"reason,omitempty"` // the module's
	AfterAnswer      bool      `cbor:"16,keyasint,omitempty" json:"after-answer,omitempty"`
	Attempts         int       `cbor:"17,keyasint,omitempty" json:"attempts,omitempty"`
	LifetimeMicros   int64     `cbor:"18,keyasint,omitempty" json:"life-us,omitempty"`
	Size             int       `cbor:"19,keyasint,omitempty" json:"size,omitempty"`
	Count            uint64    `cbor:"20,keyasint,omitempty" json:"count,omitempty"`
	Seal             *SealData `cbor:"21,keyasint,omitempty" json:"seal,omitempty"`
	Receipt          string    `cbor:"23,keyasint,omitempty" json:"receipt,omitempty"` // subscription that gets the final answer
	Link             []byte    `cbor:"-" json:"-"`                                     // the first 8 bytes of the chain's hash after this record; they stand before the CBOR
}

// SealData is a seal: the chain's hash with all records before it, signed.
type SealData struct {
	Hash      []byte `cbor:"1,keyasint" json:"hash"`
	KeyID     string `cbor:"2,keyasint" json:"key"`
	Signature []byte `cbor:"3,keyasint" json:"-"`
}

// Time is when it was.
func (r *Record) Time() time.Time { return time.UnixMicro(r.At).UTC() }

const linkSize = 8

// chain is the hash over all records so far.
type chain [sha256.Size]byte

// next takes one record in, as it is encoded.
func (c chain) next(body []byte) chain {
	h := sha256.New()
	h.Write(c[:])
	h.Write(body)
	var sum chain
	h.Sum(sum[:0])
	return sum
}

// parse reads a record.
func parse(payload []byte) (*Record, error) {
	if len(payload) < linkSize {
		return nil, fmt.Errorf("audit record of %d bytes", len(payload))
	}
	r := &Record{Link: payload[:linkSize:linkSize]}
	if err := cbor.Unmarshal(payload[linkSize:], r); err != nil {
		return nil, fmt.Errorf("audit record: %w", err)
	}
	return r, nil
}

// label names a look-up: m a message, p a partner, t a tenant, o an outcome, k a kind.
func label(of byte, name string) uint64 { return xxhash.Sum64String(string(of) + ":" + name) }

// Labels are the look-ups that find a record.
func Labels(payload []byte) []uint64 {
	r, err := parse(payload)
	if err != nil {
		return nil
	}
	return r.labels()
}

func (r *Record) labels() []uint64 {
	var all []uint64
	add := func(of byte, name string) {
		if name != "" {
			all = append(all, label(of, name))
		}
	}
	add('m', r.Message)
	switch r.Kind { // one record of each message is enough to find it by, and its answer
	case Accepted:
		add('p', r.Partner)
		add('t', r.Tenant)
	case Answered:
		add('o', r.Result)
	case Learned:
		add('p', r.Partner)
	case Seal, DispatcherStarted, Gap, Subscribed:
		add('k', r.Kind.String())
	}
	if r.Receipt != "" && r.Kind != Subscribed {
		add('k', "receipt")
	}
	return all
}
