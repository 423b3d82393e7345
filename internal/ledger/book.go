package ledger

import (
	"cmp"
	"maps"
	"slices"

	"whinrun/internal/clock"
)

// Entry is a message that is owed its end.
type Entry struct {
	Name           string        `cbor:"1,keyasint"`           // id that its client gave it
	Class          string        `cbor:"2,keyasint"`           // by name: another process may number them otherwise
	Tenant         string        `cbor:"3,keyasint,omitempty"` // by name
	Destination    int           `cbor:"4,keyasint"`           // number of its destination
	Deadline       clock.Instant `cbor:"5,keyasint"`           // when its time is over
	IdempotencyKey string        `cbor:"6,keyasint,omitempty"` // by which partners drop repeats
	OrderingKey    uint64        `cbor:"7,keyasint,omitempty"` // key by which its class takes turns, 0 is none
	Body           []byte        `cbor:"8,keyasint,omitempty"` //

	Attempts             int           `cbor:"9,keyasint,omitempty"`  // made so far, the one that is out among them
	PossiblyExecutedAt   clock.Instant `cbor:"10,keyasint,omitempty"` // when the first began that may have been executed, 0 for none
	PossiblyExecutedZone int           `cbor:"11,keyasint,omitempty"` // where that went
	InFlightSince        clock.Instant `cbor:"12,keyasint,omitempty"` // when the attempt that is out began, 0 for none ...
	InFlightZone         int           `cbor:"13,keyasint,omitempty"` // ... and its zone
	AcceptedAt           clock.Instant `cbor:"14,keyasint,omitempty"` // when it was taken on

	seq  uint64
	size int
}

// Notice is an end that the platform has not acknowledged yet.
type Notice struct {
	Name             string `cbor:"1,keyasint"`
	Deferred         bool   `cbor:"2,keyasint,omitempty"` // handed back; else undeliverable
	RetryAfterMillis int64  `cbor:"3,keyasint,omitempty"` // Deferred: come back after so many milliseconds, 0 where nothing is known

	seq uint64
}

// record is one line of the ledger; exactly one of its parts is set.
type record struct {
	Accepted     *Entry        `cbor:"1,keyasint,omitempty"`
	Started      *sent         `cbor:"2,keyasint,omitempty"`
	Ended        *back         `cbor:"3,keyasint,omitempty"`
	Completed    string        `cbor:"4,keyasint,omitempty"` // delivered, or nobody's any more
	Notice       *Notice       `cbor:"5,keyasint,omitempty"` // ended by this
	Acknowledged []string      `cbor:"6,keyasint,omitempty"`
	Version      int           `cbor:"7,keyasint,omitempty"` // first line: version of this form, ...
	OpenedAt     *ClockReading `cbor:"8,keyasint,omitempty"` // ... when its process began, which tells whose instants these are, ...
	Latest       clock.Instant `cbor:"9,keyasint,omitempty"` // ... and the latest instant on record before this line
	Outages      []Outage      `cbor:"10,keyasint,omitempty"`
}

type sent struct {
	Names []string      `cbor:"1,keyasint"`
	At    clock.Instant `cbor:"2,keyasint"`
	Zone  int           `cbor:"3,keyasint,omitempty"`
}

type back struct {
	Name             string `cbor:"1,keyasint"`
	PossiblyExecuted bool   `cbor:"2,keyasint,omitempty"`
	NotSent          bool   `cbor:"3,keyasint,omitempty"`
}

// overhead is reckoned for each entry beside its record: what it may grow by, and the lines around it.
const overhead, noticeSize = 64, 128

// book is what the records add up to: what a process that starts now would owe. It is free of I/O.
type book struct {
	owed    map[string]*Entry
	notices map[string]*Notice
	outages map[string]*Outage // by host
	seq     uint64
	live    int64 // bytes that a compacted ledger takes, at most

	began ClockReading  // whose instants these are
	last  clock.Instant // the latest of them on record
}

func newBook() *book {
	return &book{owed: map[string]*Entry{}, notices: map[string]*Notice{}, outages: map[string]*Outage{}}
}

// apply takes one record; size is that of its line. Records that name nothing known change nothing.
func (b *book) apply(r *record, size int) {
	switch {
	case r.Accepted != nil:
		b.drop(r.Accepted.Name)
		e := *r.Accepted
		b.last = max(b.last, e.AcceptedAt, e.InFlightSince)
		b.seq++
		e.seq, e.size = b.seq, size+overhead
		b.owed[e.Name] = &e
		b.live += int64(e.size)
	case r.Started != nil:
		b.last = max(b.last, r.Started.At)
		for _, name := range r.Started.Names {
			if e := b.owed[name]; e != nil {
				e.beginAttempt(r.Started.At, r.Started.Zone)
			}
		}
	case r.Ended != nil:
		if e := b.owed[r.Ended.Name]; e != nil {
			e.endAttempt(*r.Ended)
		}
	case r.Completed != "":
		b.drop(r.Completed)
	case r.Notice != nil:
		b.drop(r.Notice.Name)
		n := *r.Notice
		b.seq++
		n.seq = b.seq
		b.notices[n.Name] = &n
		b.live += noticeSize
	case r.Outages != nil:
		b.learn(r.Outages)
	default:
		for _, name := range r.Acknowledged {
			if b.notices[name] != nil {
				delete(b.notices, name)
				b.live -= noticeSize
			}
		}
	}
}

func (b *book) drop(name string) {
	if e := b.owed[name]; e != nil {
		b.live -= int64(e.size)
		delete(b.owed, name)
	}
}

// begin takes the first line of a file.
func (b *book) begin(began ClockReading, last clock.Instant) {
	b.began = began
	b.last = max(b.last, began.At, last)
}

// recoverAt takes the book over for a process that starts now: attempts without an end on record may have been executed, and
// all instants are put on its clock.
func (b *book) recoverAt(now ClockReading) {
	for _, e := range b.owed {
		e.conclude()
	}
	if !sameBoot(b.began, b.last, now) {
		for _, e := range b.owed {
			e.rebase(b.began, b.last, now)
		}
		for _, o := range b.outages {
			o.rebase(now)
		}
		b.last = now.At
	}
	b.begin(now, 0)
}

// entries are the messages owed an end, in the order in which they were taken.
func (b *book) entries() []*Entry {
	return slices.SortedFunc(maps.Values(b.owed), func(x, y *Entry) int { return cmp.Compare(x.seq, y.seq) })
}

func (b *book) pending() []*Notice {
	return slices.SortedFunc(maps.Values(b.notices), func(x, y *Notice) int { return cmp.Compare(x.seq, y.seq) })
}

// rules decide what fits. Of the room that a folder has, what is owed may take livePart at most: a compaction needs
// the old file and the new one beside each other, and between two of them there must be room for lines.
type rules struct{ room int64 }

// livePart is of the room: with more, compactions follow each other faster than lines; with less, less can be held.
const livePart = 0.4

// takes tells whether a line of size n may be added to what is owed.
func (r rules) takes(live int64, n int) bool {
	return float64(live)+float64(n+overhead) <= livePart*float64(r.room)
}

// compacts tells whether the file is to be written anew before a line of size n is added.
func (r rules) compacts(live, file int64, n int) bool { return file+int64(n)+live > r.room }
