// Package audit writes and reads the audit trail. The trail records for each message its acceptance, its attempts with their results
// and the waits that partners asked for, and its final answer with the reason that the decision library gave. It also records what the
// dispatcher learned about endpoints, such as drains and recoveries.
//
// Records form a hash chain that is signed at intervals, so that removed or altered records are detected. The format is documented
// in docs/audit.md.
package audit

import (
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// Kind says what a record is about.
type Kind uint8

// Kinds of records. Brackets list the fields that a kind uses in addition to Kind and At. Kinds are stored as numbers.
const (
	DispatcherStarted Kind = iota + 1 // a dispatcher started [Detail: its epoch; Number: its receipts have higher numbers]
	Accepted                          // a message was accepted [Message Partner Tenant Class LifetimeMicros Size Receipt Number]
	AttemptStarted                    // an attempt was sent [Message Partner Attempt Endpoint]
	AttemptEnded                      // an attempt ended [Message Partner Attempt Endpoint Result PossiblyExecuted Status WaitMicros TookMicros Detail AfterAnswer]
	Answered                          // a message got its final answer [Message Partner Tenant Result Status WaitMicros Attempts Detail Reason Receipt]
	Withdrawn                         // the sender withdrew a message [Message Partner Tenant]
	Learned                           // something was learned about an endpoint or a partner [Partner Endpoint Result, or Detail]
	Gap                               // records are missing because they could not be written [Count]
	Seal                              // the chain of all records before this one was signed [Seal]
	Subscribed                        // a receipt subscription was made [Tenant Receipt]
	Fetched                           // a receipt was fetched from its subscription [Message Tenant Receipt]
	Unsubscribed                      // a receipt subscription was removed with its receipts [Tenant Receipt]
)

// kindNames are the names of the kinds in output and in labels.
var kindNames = [...]string{"", "begin", "accepted", "attempt", "ended", "answered", "withdrawn", "learned", "gap", "seal", "subscribed", "fetched", "unsubscribed"}

// String returns the name of a kind, or its number if it is unknown.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return fmt.Sprint("kind ", uint8(k))
}

// Record is one record of the trail. It is stored as CBOR (RFC 8949) with numbers as keys, and printed as JSON.
type Record struct {
	Kind             Kind      `cbor:"1,keyasint" json:"-"`
	At               int64     `cbor:"2,keyasint" json:"-"`                           // wall clock, in microseconds since 1970
	Message          string    `cbor:"3,keyasint,omitempty" json:"message,omitempty"` // id that the dispatcher gave the message
	Partner          string    `cbor:"4,keyasint,omitempty" json:"partner,omitempty"`
	Tenant           string    `cbor:"5,keyasint,omitempty" json:"tenant,omitempty"`
	Class            string    `cbor:"6,keyasint,omitempty" json:"class,omitempty"`
	Attempt          int       `cbor:"7,keyasint,omitempty" json:"attempt,omitempty"` // number of the attempt, from 1
	Endpoint         string    `cbor:"8,keyasint,omitempty" json:"endpoint,omitempty"`
	Result           string    `cbor:"9,keyasint,omitempty" json:"result,omitempty"`        // result of an attempt, outcome of a message or state of an endpoint
	PossiblyExecuted bool      `cbor:"10,keyasint,omitempty" json:"may-have-run,omitempty"` // the partner may have executed the attempt
	Status           int       `cbor:"11,keyasint,omitempty" json:"status,omitempty"`       // HTTP status, 0 if there was no response
	WaitMicros       int64     `cbor:"12,keyasint,omitempty" json:"wait-us,omitempty"`      // wait that was asked for, in microseconds
	TookMicros       int64     `cbor:"13,keyasint,omitempty" json:"took-us,omitempty"`      // duration of an attempt, in microseconds
	Detail           string    `cbor:"14,keyasint,omitempty" json:"why,omitempty"`          // explanation in words
	Reason           string    `cbor:"15,keyasint,omitempty" json:"reason,omitempty"`       // reason that the decision library gave
	AfterAnswer      bool      `cbor:"16,keyasint,omitempty" json:"after-answer,omitempty"` // the attempt ended after the final answer
	Attempts         int       `cbor:"17,keyasint,omitempty" json:"attempts,omitempty"`     // number of attempts of the message
	LifetimeMicros   int64     `cbor:"18,keyasint,omitempty" json:"life-us,omitempty"`      // lifetime of the message, in microseconds
	Size             int       `cbor:"19,keyasint,omitempty" json:"size,omitempty"`         // size of the body in bytes
	Count            uint64    `cbor:"20,keyasint,omitempty" json:"count,omitempty"`        // number of missing records
	Seal             *SealData `cbor:"21,keyasint,omitempty" json:"seal,omitempty"`
	Receipt          string    `cbor:"23,keyasint,omitempty" json:"receipt,omitempty"`    // subscription that gets the final answer
	Number           uint64    `cbor:"24,keyasint,omitempty" json:"receipt-no,omitempty"` // number of the receipt in that subscription
	Link             []byte    `cbor:"-" json:"-"`                                        // first linkSize bytes of the chain's hash after this record, stored before the CBOR
}

// SealData is the content of a seal: the chain's hash over all records before the seal, the id of the key and the signature.
type SealData struct {
	Hash      []byte `cbor:"1,keyasint" json:"hash"`
	KeyID     string `cbor:"2,keyasint" json:"key"`
	Signature []byte `cbor:"3,keyasint" json:"-"`
}

// Time returns the time of the record, in UTC.
func (r *Record) Time() time.Time { return time.UnixMicro(r.At).UTC() }

// linkSize is the number of bytes of the chain's hash that are stored with each record.
const linkSize = 8

// chain is the state of the hash chain: the SHA-256 hash of the state before and the last record.
type chain [sha256.Size]byte

// extend returns the chain with one more encoded record.
func (c chain) extend(body []byte) chain {
	h := sha256.New()
	h.Write(c[:])
	h.Write(body)
	var sum chain
	h.Sum(sum[:0])
	return sum
}

// parse decodes a record with its link.
func parse(payload []byte) (*Record, error) {
	if len(payload) < linkSize {
		return nil, fmt.Errorf("audit record is too short: %d bytes", len(payload))
	}
	r := &Record{Link: payload[:linkSize:linkSize]}
	if err := cbor.Unmarshal(payload[linkSize:], r); err != nil {
		return nil, fmt.Errorf("audit record: %w", err)
	}
	return r, nil
}

// label returns the label of the log store that stands for a name in a dimension: 'm' for messages, 'p' for partners, 't' for tenants,
// 'o' for outcomes and 'k' for kinds. Records with a receipt also carry the label "receipt" of dimension 'k'.
func label(dimension byte, name string) uint64 {
	return xxhash.Sum64String(string(dimension) + ":" + name)
}

// Labels returns the labels by which a record is found, for logstore.Options.
func Labels(payload []byte) []uint64 {
	r, err := parse(payload)
	if err != nil {
		return nil
	}
	return r.labels()
}

// labels returns the labels of a record.
func (r *Record) labels() []uint64 {
	var all []uint64
	add := func(dimension byte, name string) {
		if name != "" {
			all = append(all, label(dimension, name))
		}
	}
	add('m', r.Message)
	switch r.Kind { // A message is found by its acceptance and its answer alone, so its other records need no further labels.
	case Accepted:
		add('p', r.Partner)
		add('t', r.Tenant)
	case Answered:
		add('o', r.Result)
	case Learned:
		add('p', r.Partner)
	case Seal, DispatcherStarted, Gap, Subscribed:
		add('k', r.Kind.String())
	case Unsubscribed: // It is found with what it ends.
		add('k', Subscribed.String())
	}
	if r.Receipt != "" && r.Kind != Subscribed && r.Kind != Unsubscribed {
		add('k', "receipt")
	}
	return all
}
