// Package ledger keeps on disk what a dispatcher still owes: messages taken on, what may have run of their attempts,
// and ends that the platform has not acknowledged. A promise is made only after its line is written; a process that
// starts reads the lines and knows what the one before it owed.
//
// Lines go to the end of one file; now and then the file is replaced by one that holds only what is still owed. Writes are not
// synced: they outlast the process, and the machine's end is not what this guards against.
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

// Faults of a ledger.
var (
	ErrFull         = errors.New("the ledger is full")
	ErrNewerVersion = errors.New("the ledger is of a newer form")
	ErrClosed       = errors.New("the ledger is closed")
	ErrFailing      = errors.New("the ledger can't be written for now")
)

const (
	fileName      = "ledger"
	formatVersion = 2
)

// Ledger is the file and what it adds up to. Its methods may be called from any goroutine.
//
// Where a write fails the ledger is failing: lines that must count are kept and the others are refused, without trying the disk
// again for each, until Repair has brought the file up to date.
type Ledger struct {
	fs     disk.FS
	limits spaceLimits
	lock   io.Closer

	mu             sync.Mutex
	state          *state
	file           *recordfile.File
	unwritten      []byte // lines that count and are not in the file
	failing        bool
	closed         bool
	reopened       bool // there was a ledger
	buf            []byte
	failureStarted chan struct{} // holds a token once the ledger has begun to fail
}

// Open reads the ledger of a folder that may hold limit bytes, and writes it anew in a form that says now. What follows a torn
// or damaged line was never promised: it is left out. Where the folder can be read and can't be written for now, the ledger
// begins failing (see disk.ForNow); other faults are returned.
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

func (l *Ledger) open(now ClockReading) error {
	text, err := recordfile.Read(l.fs, fileName, math.MaxInt64)
	if err == nil {
		err = l.state.replay(text)
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

// replay applies the whole lines at the front of text.
func (b *state) replay(text []byte) error {
	for at := 0; at < len(text); {
		encoded, next, err := logstore.NextRecord(text, at, 0)
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
			b.apply(&r, next-at)
		case r.OpenedAt != nil: // the first form had Unix times and no such line: they are read as another boot's
			b.applyHeader(*r.OpenedAt, r.Latest)
		}
		at = next
	}
	return nil
}

// appendRecord appends a record as it stands in the file.
func appendRecord(b []byte, r *record) ([]byte, error) {
	encoded, err := cbor.Marshal(r)
	if err != nil {
		return b, err
	}
	return logstore.AppendRecord(b, 0, encoded), nil
}

// snapshot is a file that holds what is owed alone.
func (b *state) snapshot() ([]byte, error) {
	text, err := appendRecord(nil, &record{Version: formatVersion, OpenedAt: &b.openedAt, Latest: b.latest})
	for _, e := range b.sortedEntries() {
		if err == nil {
			text, err = appendRecord(text, &record{Accepted: e})
		}
	}
	for _, n := range b.sortedNotices() {
		if err == nil {
			text, err = appendRecord(text, &record{Notice: n})
		}
	}
	if all := b.sortedOutages(); err == nil && len(all) > 0 {
		text, err = appendRecord(text, &record{Outages: all})
	}
	return text, err
}

// compact puts a new file in the place of the old.
func (l *Ledger) compact() error {
	text, err := l.state.snapshot()
	if err != nil {
		return err
	}
	if err := l.file.Replace(text); err != nil {
		return err
	}
	l.unwritten = l.unwritten[:0]
	return nil
}

// logRecord writes one line and applies it. counts tells that it is applied even if it can't be written: then it is kept, and written
// by Repair. An error tells that it is not on record; with recordfile.ErrUncertain it may be.
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
	if err = l.appendLine(b); err == nil || applyOnError {
		l.state.apply(r, len(b))
	}
	if err != nil && applyOnError {
		l.keepUnwritten(b)
	}
	return err
}

// appendLine brings a line to the file, unless the ledger is failing.
func (l *Ledger) appendLine(b []byte) error {
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

// setFailing has the ledger failing until Repair succeeds.
func (l *Ledger) setFailing() {
	l.failing = true
	select {
	case l.failureStarted <- struct{}{}:
	default:
	}
}

// maxUnwritten bounds the lines that are kept: with more the file is written anew.
const maxUnwritten = 64 << 10

// keepUnwritten keeps a line for Repair.
func (l *Ledger) keepUnwritten(b []byte) {
	if l.file.NeedsReplace() {
		return // the file is to be written anew
	}
	if l.unwritten = append(l.unwritten, b...); len(l.unwritten) > maxUnwritten {
		l.unwritten = l.unwritten[:0]
		l.file.RequireReplace()
	}
}

// FailureStarted is sent to when the ledger begins to fail: then Repair is to be called, until it returns nil.
func (l *Ledger) FailureStarted() <-chan struct{} { return l.failureStarted }

// Failing tells whether the file is not up to date.
func (l *Ledger) Failing() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failing
}

// Repair brings a failing ledger's file up to date: by the lines that it lacks, or as a whole. It does nothing where the ledger
// is well.
func (l *Ledger) Repair() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || !l.failing {
		return nil
	}
	lines, err := l.unwritten, error(nil)
	if len(lines) == 0 { // whether the disk works shows by a line that says nothing
		lines, err = appendRecord(nil, &record{})
	}
	if l.file.NeedsReplace() || l.limits.needsCompaction(l.state.liveBytes, l.file.Size(), len(lines)) {
		err = l.compact()
	} else if err == nil {
		err = l.file.Append(lines)
	}
	if err != nil {
		return fmt.Errorf("ledger: %w", err)
	}
	l.unwritten, l.failing = l.unwritten[:0], false
	return nil
}

// Take records a message as taken on.
func (l *Ledger) Accept(e *Entry) error { return l.logRecord(&record{Accepted: e}, false) }

// Out records a call before it leaves: at is when it begins, zone where it goes. counts tells that it leaves even if that can't
// be written.
func (l *Ledger) StartAttempts(names []string, at clock.Instant, zone int, applyOnError bool) error {
	return l.logRecord(&record{Started: &attemptStart{names, at, zone}}, applyOnError)
}

// Back records the end of an attempt whose message has not ended, also of one that never went out: ran tells that it may have
// run, unsent that it does not count as an attempt.
func (l *Ledger) EndAttempt(name string, possiblyExecuted, notCounted bool) error {
	return l.logRecord(&record{Ended: &attemptEnd{name, possiblyExecuted, notCounted}}, true)
}

// RevokeAttempt records that an attempt that was recorded was not made.
func (l *Ledger) RevokeAttempt(name string) error {
	return l.logRecord(&record{Ended: &attemptEnd{name, false, true}}, true)
}

// Over records that nothing is owed for a message any more.
func (l *Ledger) Complete(name string) error { return l.logRecord(&record{Completed: name}, true) }

// CompleteWithNotice records that a message ended with a notice.
func (l *Ledger) CompleteWithNotice(n Notice) error { return l.logRecord(&record{Notice: &n}, true) }

// Acked records that the platform has taken notices.
func (l *Ledger) AcknowledgeNotices(names []string) error {
	return l.logRecord(&record{Acknowledged: names}, true)
}

// Reopened tells whether a process before this one has used the folder.
func (l *Ledger) Reopened() bool { return l.reopened }

// Outstanding returns what is owed: messages, and notices not acknowledged, each in the order in which they were taken down.
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

// Contains tells whether a message is owed its end, or a notice of it is not acknowledged.
func (l *Ledger) Contains(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.messages[name] != nil || l.state.notices[name] != nil
}

// Size tells how much the file and what is owed of it take, in bytes.
func (l *Ledger) Size() (fileBytes, liveBytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.file.Size(), l.state.liveBytes
}

// Close ends the use of the folder.
func (l *Ledger) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	l.closed = true
	return errors.Join(l.file.Close(), l.lock.Close())
}
