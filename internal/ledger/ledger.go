// Package ledger is a write-ahead log of a dispatcher's outstanding work. It records accepted messages, the attempts that were
// made for them and whether those were possibly executed, final notices that the platform has not acknowledged yet, and known
// outages of endpoints. A message is acknowledged to its sender only after its record is written. On start, a process replays
// the records and continues where the process before it ended.
//
// Records are appended to a single file. The file is compacted from time to time: it is replaced by one that holds only what is
// still outstanding. Writes are not synced to disk. They survive the end of the process, but not a crash of the machine, which
// the ledger does not guard against.
package ledger

import (
	"errors"
	"fmt"
	"io"
	"math"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"whinrun/internal/clock"
	"whinrun/internal/disk"
	"whinrun/internal/logstore"
	"whinrun/internal/recordfile"
)

// Errors that the functions and methods of this package return, possibly wrapped.
var (
	// ErrFull is returned by Accept if the space for outstanding messages is used up.
	ErrFull = errors.New("the ledger is full")
	// ErrNewerVersion is returned by Open if a newer version of the program wrote the file.
	ErrNewerVersion = errors.New("the ledger is of a newer form")
	// ErrClosed is returned by methods that write after Close.
	ErrClosed = errors.New("the ledger is closed")
	// ErrFailing is returned by methods that write after an earlier write has failed, until Repair succeeds.
	ErrFailing = errors.New("the ledger can't be written for now")
)

const (
	// fileName is the name of the ledger file in its folder.
	fileName = "ledger"
	// formatVersion is the version of the file format. Version 1 stored Unix times instead of instants of the boot clock.
	formatVersion = 2
)

// Ledger is the ledger file together with the state that its records add up to. It is safe for concurrent use.
//
// After a failed write the ledger is failing until Repair has brought the file up to date. While it is failing it does not try
// the disk for each record. Records of things that have happened are applied and kept in memory for Repair. All other records
// are rejected.
type Ledger struct {
	fs     disk.FS
	limits spaceLimits
	lock   io.Closer

	mu             sync.Mutex
	state          *state
	file           *recordfile.File
	unwritten      []byte // encoded records that have been applied but are not in the file
	failing        bool
	closed         bool
	reopened       bool          // the folder already held a ledger when it was opened
	buf            []byte        // scratch space for encoding a record
	failureStarted chan struct{} // has a capacity of 1 and receives a value when the ledger starts to fail
}

// Open locks the folder, replays the ledger in it, if there is one, and compacts it. The folder may hold up to limit bytes. A
// tenth of the limit and another 4096 bytes are left unused. The file gets a header that says when it was opened.
//
// Replay stops at the first torn or damaged record. A record that was torn by the end of a process was never acknowledged.
//
// If the folder can be read, but writing fails with a transient error (see disk.IsTransient), the ledger is opened in the failing
// state. All other errors are returned.
func Open(fs disk.FS, limit int64, now ClockReading) (*Ledger, error) {
	lock, err := fs.Lock()
	if err != nil {
		return nil, fmt.Errorf("ledger: %w", err)
	}
	l := &Ledger{fs: fs, limits: spaceLimits{limit - limit/10 - 4096}, lock: lock, state: newState(), failureStarted: make(chan struct{}, 1)}
	l.file = recordfile.New(fs, fileName)
	if err := l.open(now); err != nil {
		return nil, errors.Join(fmt.Errorf("ledger: %w", err), lock.Close())
	}
	return l, nil
}

// open reads and compacts the file. A missing file counts as an empty ledger.
func (l *Ledger) open(now ClockReading) error {
	content, err := recordfile.Read(l.fs, fileName, math.MaxInt64)
	if err == nil {
		err = l.state.replay(content)
	}
	if err != nil && !disk.IsNotExist(err) {
		return err
	}
	l.reopened = err == nil
	l.state.recoverAt(now)
	if err := l.compact(); err != nil {
		if !disk.IsTransient(err) {
			return err
		}
		l.setFailing()
	}
	return nil
}

// replay applies the records in content, up to the first one that is torn, damaged or cannot be decoded. It returns an error only if
// the file is of a newer version.
func (s *state) replay(content []byte) error {
	for at := 0; at < len(content); {
		encoded, next, err := logstore.NextRecord(content, at, 0)
		if err != nil {
			return nil
		}
		var r record
		if err := cbor.Unmarshal(encoded, &r); err != nil {
			return nil
		}
		if r.Version > formatVersion {
			return fmt.Errorf("%w: %d", ErrNewerVersion, r.Version)
		}
		switch {
		case r.Version == 0:
			s.apply(&r, next-at)
		case r.OpenedAt != nil: // It is missing in version 1, whose Unix times are then read as those of another boot.
			s.applyHeader(*r.OpenedAt, r.Latest)
		}
		at = next
	}
	return nil
}

// appendRecord appends the encoded form of a record to b, as it is stored in the file.
func appendRecord(b []byte, r *record) ([]byte, error) {
	encoded, err := cbor.Marshal(r)
	if err != nil {
		return b, err
	}
	return logstore.AppendRecord(b, 0, encoded), nil
}

// snapshot returns the content of a compacted file: the header and only what is still outstanding.
func (s *state) snapshot() ([]byte, error) {
	content, err := appendRecord(nil, &record{Version: formatVersion, OpenedAt: &s.openedAt, Latest: s.latest})
	for _, e := range s.sortedEntries() {
		if err == nil {
			content, err = appendRecord(content, &record{Accepted: e})
		}
	}
	for _, n := range s.sortedNotices() {
		if err == nil {
			content, err = appendRecord(content, &record{Notice: n})
		}
	}
	if all := s.sortedOutages(); err == nil && len(all) > 0 {
		content, err = appendRecord(content, &record{Outages: all})
	}
	return content, err
}

// compact replaces the file by one that holds only what is still outstanding.
func (l *Ledger) compact() error {
	content, err := l.state.snapshot()
	if err != nil {
		return err
	}
	if err := l.file.Replace(content); err != nil {
		return err
	}
	l.unwritten = l.unwritten[:0]
	return nil
}

// logRecord writes a record and applies it. If applyOnError is set, a record that cannot be written is applied all the same and
// kept for Repair to write. After an error the record is not in the file. If the error is recordfile.ErrUncertain it may be there.
func (l *Ledger) logRecord(r *record, applyOnError bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return ErrClosed
	}
	b, err := appendRecord(l.buf[:0], r)
	l.buf = b
	if err != nil {
		return fmt.Errorf("ledger: %w", err)
	}
	if r.Accepted != nil && !l.limits.admits(l.state.liveBytes, len(b)) {
		return ErrFull
	}
	if err = l.appendEncoded(b); err == nil || applyOnError {
		l.state.apply(r, len(b))
	}
	if err != nil && applyOnError {
		l.keepUnwritten(b)
	}
	return err
}

// appendEncoded appends an encoded record to the file and compacts the file first if necessary. While the ledger is failing it
// returns ErrFailing without trying the disk.
func (l *Ledger) appendEncoded(b []byte) error {
	if l.failing {
		return ErrFailing
	}
	var err error
	if l.limits.needsCompaction(l.state.liveBytes, l.file.Size(), len(b)) {
		err = l.compact()
	}
	if err == nil {
		err = l.file.Append(b)
	}
	if err != nil {
		l.setFailing()
		return fmt.Errorf("ledger: %w", err)
	}
	return nil
}

// setFailing puts the ledger into the failing state, which lasts until Repair succeeds, and signals FailureStarted.
func (l *Ledger) setFailing() {
	l.failing = true
	select {
	case l.failureStarted <- struct{}{}:
	default:
	}
}

// maxUnwritten bounds the records that are kept for Repair, in bytes. With more of them Repair rewrites the whole file.
const maxUnwritten = 64 << 10

// keepUnwritten keeps an encoded record in memory for Repair.
func (l *Ledger) keepUnwritten(b []byte) {
	if l.file.NeedsReplace() {
		return // Repair will replace the whole file.
	}
	if l.unwritten = append(l.unwritten, b...); len(l.unwritten) > maxUnwritten {
		l.unwritten = l.unwritten[:0]
		l.file.RequireReplace()
	}
}

// FailureStarted returns a channel that receives a value when the ledger starts to fail. The receiver has to call Repair until it
// returns nil.
func (l *Ledger) FailureStarted() <-chan struct{} { return l.failureStarted }

// Failing reports whether a write has failed and Repair has not succeeded since.
func (l *Ledger) Failing() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failing
}

// Repair brings the file of a failing ledger up to date. It appends the missing records, or replaces the file. It does nothing if
// the ledger is not failing or is closed.
func (l *Ledger) Repair() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || !l.failing {
		return nil
	}
	encoded, err := l.unwritten, error(nil)
	if len(encoded) == 0 { // Without missing records, an empty record tests whether the disk works.
		encoded, err = appendRecord(nil, &record{})
	}
	if l.file.NeedsReplace() || l.limits.needsCompaction(l.state.liveBytes, l.file.Size(), len(encoded)) {
		err = l.compact()
	} else if err == nil {
		err = l.file.Append(encoded)
	}
	if err != nil {
		return fmt.Errorf("ledger: %w", err)
	}
	l.unwritten, l.failing = l.unwritten[:0], false
	return nil
}

// Accept records that a message was accepted. It returns ErrFull if there is no space for it.
func (l *Ledger) Accept(e *Entry) error { return l.logRecord(&record{Accepted: e}, false) }

// StartAttempts records the attempts of one call before the call is sent. names are the messages in the call, at is its start and
// zone the zone that it goes to. applyOnError says that the call will be sent even if the record cannot be written.
func (l *Ledger) StartAttempts(names []string, at clock.Instant, zone int, applyOnError bool) error {
	return l.logRecord(&record{Started: &attemptStart{names, at, zone}}, applyOnError)
}

// EndAttempt records the end of an attempt of a message that is still outstanding. It is also called for an attempt that was never
// sent.
func (l *Ledger) EndAttempt(end AttemptEnd) error { return l.logRecord(&record{Ended: &end}, true) }

// MarkPossiblyOver records that an answer may have ended the named messages, until the ends of their attempts are recorded.
func (l *Ledger) MarkPossiblyOver(names []string) error {
	return l.logRecord(&record{PossiblyOver: names}, true)
}

// RevokeAttempt records that an attempt was not made although its start was recorded.
func (l *Ledger) RevokeAttempt(name string) error {
	return l.EndAttempt(AttemptEnd{Name: name, NotCounted: true})
}

// Complete records that a message needs no further action: it was delivered, or it is no longer this dispatcher's.
func (l *Ledger) Complete(name string) error { return l.logRecord(&record{Completed: name}, true) }

// CompleteWithNotice records that a message ended with a notice that the platform has yet to acknowledge.
func (l *Ledger) CompleteWithNotice(n Notice) error { return l.logRecord(&record{Notice: &n}, true) }

// AcknowledgeNotices records that the platform has acknowledged the notices of the named messages.
func (l *Ledger) AcknowledgeNotices(names []string) error {
	return l.logRecord(&record{Acknowledged: names}, true)
}

// Reopened reports whether the folder already held a ledger of an earlier process when it was opened.
func (l *Ledger) Reopened() bool { return l.reopened }

// Outstanding returns the messages that have not ended and the notices that are not acknowledged, each in the order in which they
// were recorded.
func (l *Ledger) Outstanding() (entries []Entry, notices []Notice) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.state.sortedEntries() {
		entries = append(entries, *e)
	}
	for _, n := range l.state.sortedNotices() {
		notices = append(notices, *n)
	}
	return entries, notices
}

// Contains reports whether a message is outstanding or its notice is not acknowledged yet.
func (l *Ledger) Contains(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.messages[name] != nil || l.state.notices[name] != nil
}

// Size returns the size of the file and the upper bound of its size after a compaction, both in bytes.
func (l *Ledger) Size() (fileBytes, liveBytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.file.Size(), l.state.liveBytes
}

// Close closes the file and unlocks the folder. Further calls do nothing.
func (l *Ledger) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	l.closed = true
	return errors.Join(l.file.Close(), l.lock.Close())
}
