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
	name = "ledger"
	form = 2
)

// Ledger is the file and what it adds up to. Its methods may be called from any goroutine.
//
// Where a write fails the ledger is failing: lines that must count are kept and the others are refused, without trying the disk
// again for each, until Repair has brought the file up to date.
type Ledger struct {
	fs    disk.FS
	rules rules
	lock  io.Closer

	mu      sync.Mutex
	book    *book
	out     *recordfile.File
	pending []byte // lines that count and are not in the file
	failing bool
	closed  bool
	follows bool // there was a ledger
	buf     []byte
	broken  chan struct{} // holds a token once the ledger has begun to fail
}

// Open reads the ledger of a folder that may hold limit bytes, and writes it anew in a form that says now. What follows a torn
// or damaged line was never promised: it is left out. Where the folder can be read and can't be written for now, the ledger
// begins failing (see disk.ForNow); other faults are returned.
func Open(fs disk.FS, limit int64, now ClockReading) (*Ledger, error) {
	lock, err := fs.Lock()
	if err != nil {
		return nil, fmt.Errorf("ledger: %w", err)
	}
	l := &Ledger{fs: fs, rules: rules{limit - limit/10 - 4096}, lock: lock, book: newBook(), broken: make(chan struct{}, 1)}
	l.out = recordfile.New(fs, name)
	if err := l.open(now); err != nil {
		return nil, errors.Join(fmt.Errorf("ledger: %w", err), lock.Close())
	}
	return l, nil
}

func (l *Ledger) open(now ClockReading) error {
	text, err := recordfile.Read(l.fs, name, math.MaxInt64)
	if err == nil {
		err = l.book.load(text)
	}
	if err != nil && !disk.IsNotExist(err) {
		return err
	}
	l.follows = err == nil
	l.book.recoverAt(now)
	if err := l.rewrite(); err != nil {
		if !disk.IsTransient(err) {
			return err
		}
		l.fail()
	}
	return nil
}

// load applies the whole lines at the front of text.
func (b *book) load(text []byte) error {
	for at := 0; at < len(text); {
		line, next, err := logstore.NextRecord(text, at, 0)
		if err != nil {
			return nil
		}
		var r record
		if err := cbor.Unmarshal(line, &r); err != nil {
			return nil
		}
		if r.Version > form {
			return fmt.Errorf("%w: %d", ErrNewerVersion, r.Version)
		}
		switch {
		case r.Version == 0:
			b.apply(&r, next-at)
		case r.OpenedAt != nil: // the first form had Unix times and no such line: they are read as another boot's
			b.begin(*r.OpenedAt, r.Latest)
		}
		at = next
	}
	return nil
}

// line appends a record as it stands in the file.
func line(b []byte, r *record) ([]byte, error) {
	text, err := cbor.Marshal(r)
	if err != nil {
		return b, err
	}
	return logstore.AppendRecord(b, 0, text), nil
}

// whole is a file that holds what is owed alone.
func (b *book) whole() ([]byte, error) {
	text, err := line(nil, &record{Version: form, OpenedAt: &b.began, Latest: b.last})
	for _, e := range b.entries() {
		if err == nil {
			text, err = line(text, &record{Accepted: e})
		}
	}
	for _, n := range b.pending() {
		if err == nil {
			text, err = line(text, &record{Notice: n})
		}
	}
	if all := b.knownOutages(); err == nil && len(all) > 0 {
		text, err = line(text, &record{Outages: all})
	}
	return text, err
}

// rewrite puts a new file in the place of the old.
func (l *Ledger) rewrite() error {
	text, err := l.book.whole()
	if err != nil {
		return err
	}
	if err := l.out.Replace(text); err != nil {
		return err
	}
	l.pending = l.pending[:0]
	return nil
}

// put writes one line and applies it. counts tells that it is applied even if it can't be written: then it is kept, and written
// by Repair. An error tells that it is not on record; with recordfile.ErrUncertain it may be.
func (l *Ledger) put(r *record, counts bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return ErrClosed
	}
	b, err := line(l.buf[:0], r)
	l.buf = b
	if err != nil {
		return fmt.Errorf("ledger: %w", err)
	}
	if r.Accepted != nil && !l.rules.takes(l.book.live, len(b)) {
		return ErrFull
	}
	if err = l.write(b); err == nil || counts {
		l.book.apply(r, len(b))
	}
	if err != nil && counts {
		l.keep(b)
	}
	return err
}

// write brings a line to the file, unless the ledger is failing.
func (l *Ledger) write(b []byte) error {
	if l.failing {
		return ErrFailing
	}
	var err error
	if l.rules.compacts(l.book.live, l.out.Size(), len(b)) {
		err = l.rewrite()
	}
	if err == nil {
		err = l.out.Append(b)
	}
	if err != nil {
		l.fail()
		return fmt.Errorf("ledger: %w", err)
	}
	return nil
}

// fail has the ledger failing until Repair succeeds.
func (l *Ledger) fail() {
	l.failing = true
	select {
	case l.broken <- struct{}{}:
	default:
	}
}

// pendingMost bounds the lines that are kept: with more the file is written anew.
const pendingMost = 64 << 10

// keep keeps a line for Repair.
func (l *Ledger) keep(b []byte) {
	if l.out.NeedsReplace() {
		return // the file is to be written anew
	}
	if l.pending = append(l.pending, b...); len(l.pending) > pendingMost {
		l.pending = l.pending[:0]
		l.out.RequireReplace()
	}
}

// FailureStarted is sent to when the ledger begins to fail: then Repair is to be called, until it returns nil.
func (l *Ledger) FailureStarted() <-chan struct{} { return l.broken }

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
	lines, err := l.pending, error(nil)
	if len(lines) == 0 { // whether the disk works shows by a line that says nothing
		lines, err = line(nil, &record{})
	}
	if l.out.NeedsReplace() || l.rules.compacts(l.book.live, l.out.Size(), len(lines)) {
		err = l.rewrite()
	} else if err == nil {
		err = l.out.Append(lines)
	}
	if err != nil {
		return fmt.Errorf("ledger: %w", err)
	}
	l.pending, l.failing = l.pending[:0], false
	return nil
}

// Take records a message as taken on.
func (l *Ledger) Accept(e *Entry) error { return l.put(&record{Accepted: e}, false) }

// Out records a call before it leaves: at is when it begins, zone where it goes. counts tells that it leaves even if that can't
// be written.
func (l *Ledger) StartAttempts(names []string, at clock.Instant, zone int, counts bool) error {
	return l.put(&record{Started: &sent{names, at, zone}}, counts)
}

// Back records the end of an attempt whose message has not ended, also of one that never went out: ran tells that it may have
// run, unsent that it does not count as an attempt.
func (l *Ledger) EndAttempt(name string, ran, unsent bool) error {
	return l.put(&record{Ended: &back{name, ran, unsent}}, true)
}

// RevokeAttempt records that an attempt that was recorded was not made.
func (l *Ledger) RevokeAttempt(name string) error {
	return l.put(&record{Ended: &back{name, false, true}}, true)
}

// Over records that nothing is owed for a message any more.
func (l *Ledger) Complete(name string) error { return l.put(&record{Completed: name}, true) }

// CompleteWithNotice records that a message ended with a notice.
func (l *Ledger) CompleteWithNotice(n Notice) error { return l.put(&record{Notice: &n}, true) }

// Acked records that the platform has taken notices.
func (l *Ledger) AcknowledgeNotices(names []string) error {
	return l.put(&record{Acknowledged: names}, true)
}

// Reopened tells whether a process before this one has used the folder.
func (l *Ledger) Reopened() bool { return l.follows }

// Outstanding returns what is owed: messages, and notices not acknowledged, each in the order in which they were taken down.
func (l *Ledger) Outstanding() (entries []Entry, notices []Notice) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.book.entries() {
		entries = append(entries, *e)
	}
	for _, n := range l.book.pending() {
		notices = append(notices, *n)
	}
	return entries, notices
}

// Contains tells whether a message is owed its end, or a notice of it is not acknowledged.
func (l *Ledger) Contains(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.book.owed[name] != nil || l.book.notices[name] != nil
}

// Size tells how much the file and what is owed of it take, in bytes.
func (l *Ledger) Size() (file, live int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.out.Size(), l.book.live
}

// Close ends the use of the folder.
func (l *Ledger) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	l.closed = true
	return errors.Join(l.out.Close(), l.lock.Close())
}
