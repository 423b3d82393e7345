package ledger

import (
	"cmp"
	"maps"
	"slices"

	"whinrun/internal/clock"
)

// Entry is a message that was accepted and has not ended, with the history of its attempts. Instants are of the boot clock.
type Entry struct {
	Name           string        `cbor:"1,keyasint"`           // id that the client gave the message
	Class          string        `cbor:"2,keyasint"`           // name of the class; its number may differ in another process
	Tenant         string        `cbor:"3,keyasint,omitempty"` // name of the tenant
	Destination    int           `cbor:"4,keyasint"`           // number of the destination
	Deadline       clock.Instant `cbor:"5,keyasint"`           // end of the message's lifetime
	IdempotencyKey string        `cbor:"6,keyasint,omitempty"` // key by which partners detect repeats
	OrderingKey    uint64        `cbor:"7,keyasint,omitempty"` // messages of a class with the same key take turns; 0 is none
	Body           []byte        `cbor:"8,keyasint,omitempty"`

	// Attempts counts the attempts made so far, including one in flight.
	Attempts int `cbor:"9,keyasint,omitempty"`
	// PossiblyExecutedAt is the start of the first attempt that was possibly executed. It is 0 if there is none.
	PossiblyExecutedAt clock.Instant `cbor:"10,keyasint,omitempty"`
	// PossiblyExecutedZone is the zone that the attempt of PossiblyExecutedAt went to.
	PossiblyExecutedZone int `cbor:"11,keyasint,omitempty"`
	// InFlightSince is the start of the attempt that is in flight. It is 0 if there is none.
	InFlightSince clock.Instant `cbor:"12,keyasint,omitempty"`
	// InFlightZone is the zone that the attempt in flight goes to.
	InFlightZone int `cbor:"13,keyasint,omitempty"`
	// AcceptedAt is when the message was accepted.
	AcceptedAt clock.Instant `cbor:"14,keyasint,omitempty"`
	// PossiblyOver says that an answer may have ended the message, without proof that it is the answer to one of its attempts. The
	// message is owed its end, and gets no further attempt.
	PossiblyOver bool `cbor:"15,keyasint,omitempty"`

	seq  uint64 // position in the order of acceptance
	size int    // share of state.liveBytes, in bytes
}

// Notice is a final answer other than a delivery that the platform has not acknowledged yet.
type Notice struct {
	// Name is the id of the message.
	Name string `cbor:"1,keyasint"`
	// Deferred says that the message was handed back to be sent again later. Otherwise it is undeliverable.
	Deferred bool `cbor:"2,keyasint,omitempty"`
	// RetryAfterMillis is how long to wait before a deferred message is sent again, in milliseconds. It is 0 if that is unknown.
	RetryAfterMillis int64 `cbor:"3,keyasint,omitempty"`

	seq uint64 // position in the order of recording
}

// record is one record of the ledger. The first record of a file is the header, which sets Version, OpenedAt and Latest. All
// others set exactly one of the other fields. A record with no field set changes nothing; Repair writes one to test the disk.
type record struct {
	Accepted     *Entry        `cbor:"1,keyasint,omitempty"`
	Started      *attemptStart `cbor:"2,keyasint,omitempty"`
	Ended        *AttemptEnd   `cbor:"3,keyasint,omitempty"`
	Completed    string        `cbor:"4,keyasint,omitempty"` // message that was delivered or is no longer this dispatcher's
	Notice       *Notice       `cbor:"5,keyasint,omitempty"` // final notice of a message
	Acknowledged []string      `cbor:"6,keyasint,omitempty"` // messages whose notices were acknowledged
	Version      int           `cbor:"7,keyasint,omitempty"` // header: version of the file format
	OpenedAt     *ClockReading `cbor:"8,keyasint,omitempty"` // header: when the file was opened, and in which boot
	Latest       clock.Instant `cbor:"9,keyasint,omitempty"` // header: latest instant on record before this file
	Outages      []Outage      `cbor:"10,keyasint,omitempty"`
	PossiblyOver []string      `cbor:"11,keyasint,omitempty"` // messages that an answer to the attempt in flight may have ended
}

// attemptStart records the start of the attempts that are sent in one call.
type attemptStart struct {
	Names []string      `cbor:"1,keyasint"`
	At    clock.Instant `cbor:"2,keyasint"`
	Zone  int           `cbor:"3,keyasint,omitempty"`
}

// AttemptEnd is the end of one attempt.
type AttemptEnd struct {
	// Name is the id of the message.
	Name string `cbor:"1,keyasint"`
	// PossiblyExecuted says that the partner may have executed the attempt.
	PossiblyExecuted bool `cbor:"2,keyasint,omitempty"`
	// NotCounted says that it does not count as an attempt.
	NotCounted bool `cbor:"3,keyasint,omitempty"`
	// PossiblyOver says that its answer may have ended the message (see Entry). It replaces an earlier mark.
	PossiblyOver bool `cbor:"4,keyasint,omitempty"`
}

// entryOverhead is added to the size of each entry's record, in bytes. It covers the growth of the entry by its attempts and the
// other records that belong to it. noticeSize is the size that is assumed for each notice, in bytes.
const entryOverhead, noticeSize = 64, 128

// state is the result of all records: the work that a process would take over if it started now. It does no I/O.
type state struct {
	messages  map[string]*Entry  // by name
	notices   map[string]*Notice // by name of the message
	outages   map[string]*Outage // by host
	seq       uint64             // last position given to an entry or notice
	liveBytes int64              // upper bound of the size of a compacted file, in bytes

	openedAt ClockReading  // names the boot that the instants belong to
	latest   clock.Instant // latest instant on record
}

func newState() *state {
	return &state{messages: map[string]*Entry{}, notices: map[string]*Notice{}, outages: map[string]*Outage{}}
}

// apply applies one record, whose encoded size is size bytes. Records about unknown messages change nothing.
func (s *state) apply(r *record, size int) {
	switch {
	case r.Accepted != nil:
		s.remove(r.Accepted.Name)
		e := *r.Accepted
		s.latest = max(s.latest, e.AcceptedAt, e.InFlightSince)
		s.seq++
		e.seq, e.size = s.seq, size+entryOverhead
		s.messages[e.Name] = &e
		s.liveBytes += int64(e.size)
	case r.Started != nil:
		s.latest = max(s.latest, r.Started.At)
		for _, name := range r.Started.Names {
			if e := s.messages[name]; e != nil {
				e.beginAttempt(r.Started.At, r.Started.Zone)
			}
		}
	case r.Ended != nil:
		if e := s.messages[r.Ended.Name]; e != nil {
			e.endAttempt(*r.Ended)
		}
	case r.Completed != "":
		s.remove(r.Completed)
	case r.Notice != nil:
		s.remove(r.Notice.Name)
		n := *r.Notice
		s.seq++
		n.seq = s.seq
		s.notices[n.Name] = &n
		s.liveBytes += noticeSize
	case r.Outages != nil:
		s.applyOutages(r.Outages)
	case r.PossiblyOver != nil:
		for _, name := range r.PossiblyOver {
			if e := s.messages[name]; e != nil {
				e.PossiblyOver = true
			}
		}
	default:
		for _, name := range r.Acknowledged {
			if s.notices[name] != nil {
				delete(s.notices, name)
				s.liveBytes -= noticeSize
			}
		}
	}
}

// remove removes a message that has ended, if it is known.
func (s *state) remove(name string) {
	if e := s.messages[name]; e != nil {
		s.liveBytes -= int64(e.size)
		delete(s.messages, name)
	}
}

// applyHeader applies the header of a file.
func (s *state) applyHeader(openedAt ClockReading, latest clock.Instant) {
	s.openedAt = openedAt
	s.latest = max(s.latest, openedAt.At, latest)
}

// recoverAt prepares the state for a process that starts now. Attempts without a recorded end count as possibly executed. If the
// state is of another boot, all instants are converted to the clock of this one.
func (s *state) recoverAt(now ClockReading) {
	for _, e := range s.messages {
		e.resolveInFlight()
	}
	if !sameBoot(s.openedAt, s.latest, now) {
		for _, e := range s.messages {
			e.rebase(s.openedAt, s.latest, now)
		}
		for _, o := range s.outages {
			o.rebase(now)
		}
		s.latest = now.At
	}
	s.applyHeader(now, 0)
}

// sortedEntries returns the outstanding messages in the order in which they were accepted.
func (s *state) sortedEntries() []*Entry {
	return slices.SortedFunc(maps.Values(s.messages), func(x, y *Entry) int { return cmp.Compare(x.seq, y.seq) })
}

// sortedNotices returns the unacknowledged notices in the order in which they were recorded.
func (s *state) sortedNotices() []*Notice {
	return slices.SortedFunc(maps.Values(s.notices), func(x, y *Notice) int { return cmp.Compare(x.seq, y.seq) })
}

// spaceLimits decides what fits into the folder, which has usable bytes. A compaction needs space for the old and the new file
// side by side, and there has to be space for new records between two compactions. Outstanding work may therefore use only a part
// of the space, maxLiveFraction.
type spaceLimits struct{ usable int64 }

// maxLiveFraction is the fraction of the usable bytes that outstanding work may take. With a larger one, compactions would become
// too frequent to leave space for records in between. With a smaller one, fewer messages could be held.
const maxLiveFraction = 0.4

// admits reports whether a message with a record of size bytes fits in addition to the liveBytes that are outstanding.
func (l spaceLimits) admits(liveBytes int64, size int) bool {
	return float64(liveBytes)+float64(size+entryOverhead) <= maxLiveFraction*float64(l.usable)
}

// needsCompaction reports whether the file has to be compacted before a record of size bytes is appended.
func (l spaceLimits) needsCompaction(liveBytes, fileBytes int64, size int) bool {
	return fileBytes+int64(size)+liveBytes > l.usable
}
