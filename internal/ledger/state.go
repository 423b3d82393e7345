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
	Started      *attemptStart `cbor:"2,keyasint,omitempty"`
	Ended        *attemptEnd   `cbor:"3,keyasint,omitempty"`
	Completed    string        `cbor:"4,keyasint,omitempty"` // delivered, or nobody's any more
	Notice       *Notice       `cbor:"5,keyasint,omitempty"` // ended by this
	Acknowledged []string      `cbor:"6,keyasint,omitempty"`
	Version      int           `cbor:"7,keyasint,omitempty"` // first line: version of this form, ...
	OpenedAt     *ClockReading `cbor:"8,keyasint,omitempty"` // ... when its process began, which tells whose instants these are, ...
	Latest       clock.Instant `cbor:"9,keyasint,omitempty"` // ... and the latest instant on record before this line
	Outages      []Outage      `cbor:"10,keyasint,omitempty"`
}

type attemptStart struct {
	Names []string      `cbor:"1,keyasint"`
	At    clock.Instant `cbor:"2,keyasint"`
	Zone  int           `cbor:"3,keyasint,omitempty"`
}

type attemptEnd struct {
	Name             string `cbor:"1,keyasint"`
	PossiblyExecuted bool   `cbor:"2,keyasint,omitempty"`
	NotCounted       bool   `cbor:"3,keyasint,omitempty"`
}

// entryOverhead is reckoned for each entry beside its record: what it may grow by, and the lines around it.
const entryOverhead, noticeSize = 64, 128

// state is what the records add up to: what a process that starts now would owe. It is free of I/O.
type state struct {
	messages  map[string]*Entry
	notices   map[string]*Notice
	outages   map[string]*Outage // by host
	seq       uint64
	liveBytes int64 // bytes that a compacted ledger takes, at most

	openedAt ClockReading  // whose instants these are
	latest   clock.Instant // the latest of them on record
}

func newState() *state {
	return &state{messages: map[string]*Entry{}, notices: map[string]*Notice{}, outages: map[string]*Outage{}}
}

// apply takes one record; size is that of its line. Records that name nothing known change nothing.
func (b *state) apply(r *record, size int) {
	switch {
	case r.Accepted != nil:
		b.remove(r.Accepted.Name)
		e := *r.Accepted
		b.latest = max(b.latest, e.AcceptedAt, e.InFlightSince)
		b.seq++
		e.seq, e.size = b.seq, size+entryOverhead
		b.messages[e.Name] = &e
		b.liveBytes += int64(e.size)
	case r.Started != nil:
		b.latest = max(b.latest, r.Started.At)
		for _, name := range r.Started.Names {
			if e := b.messages[name]; e != nil {
				e.beginAttempt(r.Started.At, r.Started.Zone)
			}
		}
	case r.Ended != nil:
		if e := b.messages[r.Ended.Name]; e != nil {
			e.endAttempt(*r.Ended)
		}
	case r.Completed != "":
		b.remove(r.Completed)
	case r.Notice != nil:
		b.remove(r.Notice.Name)
		n := *r.Notice
		b.seq++
		n.seq = b.seq
		b.notices[n.Name] = &n
		b.liveBytes += noticeSize
	case r.Outages != nil:
		b.applyOutages(r.Outages)
	default:
		for _, name := range r.Acknowledged {
			if b.notices[name] != nil {
				delete(b.notices, name)
				b.liveBytes -= noticeSize
			}
		}
	}
}

func (b *state) remove(name string) {
	if e := b.messages[name]; e != nil {
		b.liveBytes -= int64(e.size)
		delete(b.messages, name)
	}
}

// applyHeader takes the first line of a file.
func (b *state) applyHeader(openedAt ClockReading, latest clock.Instant) {
	b.openedAt = openedAt
	b.latest = max(b.latest, openedAt.At, latest)
}

// recoverAt takes the book over for a process that starts now: attempts without an end on record may have been executed, and
// all instants are put on its clock.
func (b *state) recoverAt(now ClockReading) {
	for _, e := range b.messages {
		e.resolveInFlight()
	}
	if !sameBoot(b.openedAt, b.latest, now) {
		for _, e := range b.messages {
			e.rebase(b.openedAt, b.latest, now)
		}
		for _, o := range b.outages {
			o.rebase(now)
		}
		b.latest = now.At
	}
	b.applyHeader(now, 0)
}

// sortedEntries are the messages owed an end, in the order in which they were taken.
func (b *state) sortedEntries() []*Entry {
	return slices.SortedFunc(maps.Values(b.messages), func(x, y *Entry) int { return cmp.Compare(x.seq, y.seq) })
}

func (b *state) sortedNotices() []*Notice {
	return slices.SortedFunc(maps.Values(b.notices), func(x, y *Notice) int { return cmp.Compare(x.seq, y.seq) })
}

// spaceLimits decide what fits. Of the room that a folder has, what is owed may take livePart at most: a compaction needs
// the old file and the new one beside each other, and between two of them there must be room for lines.
type spaceLimits struct{ usable int64 }

// maxLiveFraction is of the room: with more, compactions follow each other faster than lines; with less, less can be held.
const maxLiveFraction = 0.4

// admits tells whether a line of size n may be added to what is owed.
func (r spaceLimits) admits(liveBytes int64, size int) bool {
	return float64(liveBytes)+float64(size+entryOverhead) <= maxLiveFraction*float64(r.usable)
}

// needsCompaction tells whether the file is to be written anew before a line of size n is added.
func (r spaceLimits) needsCompaction(liveBytes, fileBytes int64, size int) bool {
	return fileBytes+int64(size)+liveBytes > r.usable
}
