// Package logstore keeps records in append-only segments: checksummed, length-prefixed, written and synced in groups.
// What Durable has passed survives a crash. What is decided about syncing, closing, compressing and dropping stands in
// its package plan; the disk is behind an interface.
package logstore

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/klauspost/compress/zstd"

	"whinrun/internal/disk"
	"whinrun/internal/logstore/plan"
)

// ErrBacklogFull tells that the disk fails and no more records are kept for it.
var ErrBacklogFull = errors.New("the log can't be written, and what waits for it is at its bound")

// Options of a Store.
type Options struct {
	Policy          plan.Policy
	MaxPendingBytes int                           // bytes that may wait for the disk
	Labels          func(payload []byte) []uint64 // labels of a record, for look-ups
	WallClock       func() time.Time
	// ReadOnly opens beside a running writer: nothing is locked, mended or written, a torn end is passed over.
	ReadOnly bool
}

// RecoveryReport is what Open found.
type RecoveryReport struct {
	Records   uint64   // that are there
	TornBytes int64    // bytes at the end of the last segment that were not whole; they are kept in a file of their own
	Problems  []string // gaps, indexes made anew
}

// segment is one file of records.
type segment struct {
	first   uint64
	records uint32
	bytes   int64 // on disk
	made    time.Time
	closed  time.Time
	packed  bool
}

// Store is the log. Append may be called from any goroutine, Commit from one, Tend and VerifyNext from one.
type Store struct {
	fs     disk.FS
	opt    Options
	unlock io.Closer

	mu              sync.Mutex
	closed          []segment
	last            segment
	file            disk.File
	marks           []mark // of the last segment, written and not
	next            uint64 // number of the next record
	durable         uint64 // all below are on disk
	verified        int    // of closed: read again last
	pending         []byte // whole records, from written on
	labels          []tag  // of those
	written         uint64 // number of the first record in pending
	since           time.Duration
	urgent          bool
	failed          time.Duration
	lastErr         error
	RejectedRecords uint64 // records for which there was no room while the disk failed
}

// Open reads what is there and makes it whole.
func Open(fs disk.FS, opt Options) (*Store, RecoveryReport, error) {
	s := &Store{fs: fs, opt: opt}
	var rep RecoveryReport
	if !opt.ReadOnly {
		lock, err := fs.Lock()
		if err != nil {
			return nil, rep, fmt.Errorf("log store: %w", err)
		}
		s.unlock = lock
	}
	if err := s.recover(&rep); err != nil {
		if s.unlock != nil {
			_ = s.unlock.Close()
		}
		return nil, rep, fmt.Errorf("log store: %w", err)
	}
	return s, rep, nil
}

// Close writes what waits and ends the store.
func (s *Store) Close(now time.Duration) error {
	err := s.Commit(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.file != nil {
		err = errors.Join(err, s.file.Close())
	}
	if s.unlock != nil {
		err = errors.Join(err, s.unlock.Close())
	}
	return err
}

// tag is a label of a record that is not written yet.
type tag struct{ seq, label uint64 }

// Append takes a record with its labels, the same that Options.Labels finds in it. Its number tells the order; it is
// on disk once Durable has passed that.
func (s *Store) Append(now time.Duration, payload []byte, labels ...uint64) (seq uint64, err error) {
	if s.opt.ReadOnly {
		return 0, errors.New("the log is open for reading")
	}
	if len(payload) > maxRecord {
		return 0, fmt.Errorf("record of %d bytes above %d", len(payload), maxRecord)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending)+len(payload)+recordHead > s.opt.MaxPendingBytes {
		s.RejectedRecords++
		return 0, ErrBacklogFull
	}
	if len(s.pending) == 0 {
		s.since, s.written = now, s.next
	}
	s.pending = AppendRecord(s.pending, s.next, payload)
	for _, l := range labels {
		s.labels = append(s.labels, tag{s.next, l})
	}
	s.next++
	return s.next - 1, nil
}

// Durable is the number below which all records are on disk.
func (s *Store) Durable() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.durable
}

// RequestCommit has what waits written at once.
func (s *Store) RequestCommit() {
	s.mu.Lock()
	s.urgent = true
	s.mu.Unlock()
}

// Failing returns the error of a disk that fails, nil while it works.
func (s *Store) Failing() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed == 0 {
		return nil
	}
	return s.lastErr
}

// NextCommit tells when Commit is to be called.
func (s *Store) NextCommit() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opt.Policy.NextCommit(plan.Backlog{Bytes: len(s.pending), OldestAt: s.since, Urgent: s.urgent, FailedAt: s.failed})
}

// Commit writes and syncs what waits: one write and one sync for all of it. While the disk fails nothing of it is
// given up: the half-written end is cut off, and all is written again later.
func (s *Store) Commit(now time.Duration) error {
	s.mu.Lock()
	batch, labels, from, next := s.pending, s.labels, s.written, s.next
	s.pending, s.labels, s.urgent = nil, nil, false
	wasFailed := s.failed > 0
	s.mu.Unlock()
	if len(batch) == 0 && !wasFailed {
		return nil
	}
	err := s.write(batch, labels, from, next)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.pending, s.labels = append(batch, s.pending...), append(labels, s.labels...)
		s.written = from
		s.failed, s.lastErr = max(now, 1), err
		return fmt.Errorf("log store: %w", err)
	}
	s.failed = 0
	s.durable = next
	if len(s.pending) > 0 {
		s.written, s.since = next, now
	}
	return nil
}

// write puts a batch into the open segment, which is closed before where that is due.
func (s *Store) write(batch []byte, labels []tag, from, next uint64) error {
	if s.file != nil && s.opt.Policy.ShouldRotate(s.last.bytes, s.opt.WallClock().Sub(s.last.made)) {
		if err := s.rotate(); err != nil {
			return fmt.Errorf("close segment %x: %w", s.last.first, err)
		}
	}
	if s.file == nil {
		if err := s.begin(from); err != nil {
			return err
		}
	}
	n, err := s.file.Write(batch)
	if err == nil {
		err = s.file.Sync()
	}
	if err != nil {
		if n > 0 { // what is half there must not stand before what is written later
			if cut := s.file.Truncate(s.last.bytes); cut != nil {
				s.abandon()
			}
		}
		return fmt.Errorf("segment %x: %w", s.last.first, err)
	}
	s.mu.Lock()
	s.last.bytes += int64(len(batch))
	s.last.records += uint32(next - from)
	for _, t := range labels {
		s.marks = append(s.marks, mark{t.label, uint32(t.seq - s.last.first)})
	}
	s.mu.Unlock()
	return nil
}

func (s *Store) label(payload []byte) {
	if s.opt.Labels == nil {
		return
	}
	for _, l := range s.opt.Labels(payload) {
		s.marks = append(s.marks, mark{l, s.last.records})
	}
}

// begin makes a new segment. Its head is on disk before it has a record.
func (s *Store) begin(first uint64) error {
	made := s.opt.WallClock()
	f, err := s.fs.Create(fileName(first, suffixOpen))
	if err != nil {
		return err
	}
	_, err = f.Write(appendHead(nil, first, made))
	if err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = s.fs.SyncDir()
	}
	if err != nil {
		return errors.Join(err, f.Close())
	}
	s.mu.Lock()
	s.file, s.marks = f, nil
	s.last = segment{first: first, bytes: headSize, made: made}
	s.mu.Unlock()
	return nil
}

// rotate closes the open segment with its index.
func (s *Store) rotate() error {
	now := s.opt.WallClock()
	if err := s.replace(fileName(s.last.first, suffixIndex), appendIndex(nil, s.last.records, now, s.marks)); err != nil {
		return err
	}
	if err := s.file.Close(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last.closed = now
	s.closed = append(s.closed, s.last)
	s.file, s.marks = nil, nil
	return nil
}

// abandon leaves a segment whose end can't be cut: recovery cuts it, and the next record begins another one.
func (s *Store) abandon() {
	_ = s.file.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last.closed = s.opt.WallClock()
	s.closed = append(s.closed, s.last)
	s.file, s.marks = nil, nil
}

// One coder each way serves all: whole buffers are coded without state. Making one costs more than a small segment.
var (
	encoder = sync.OnceValue(func() *zstd.Encoder {
		e, _ := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1)) // fails for options that don't go together only
		return e
	})
	decoder = sync.OnceValue(func() *zstd.Decoder {
		d, _ := zstd.NewReader(nil, zstd.WithDecoderConcurrency(2), zstd.WithDecoderMaxMemory(1<<30))
		return d
	})
)

// replace writes a whole file so that it is there in full or not at all.
func (s *Store) replace(name string, b []byte) error {
	f, err := s.fs.Create(name + ".new")
	if err != nil {
		return err
	}
	_, err = f.Write(b)
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return err
	}
	if err := s.fs.Rename(name+".new", name); err != nil {
		return err
	}
	return s.fs.SyncDir()
}

// Maintain does one piece of upkeep: it drops what is past its time, or compresses a closed segment. It tells whether
// there may be more to do.
func (s *Store) Maintain() (more bool, err error) {
	s.mu.Lock()
	var all []plan.Segment
	for _, g := range s.closed {
		all = append(all, plan.Segment{FirstSeq: g.first, Bytes: g.bytes, ClosedAt: g.closed, Compressed: g.packed})
	}
	s.mu.Unlock()
	if drop := s.opt.Policy.Expired(all, s.opt.WallClock()); len(drop) > 0 {
		return true, s.drop(drop[0])
	}
	if first, ok := s.opt.Policy.NextToCompress(all); ok {
		return true, s.pack(first)
	}
	return false, nil
}

// drop removes a segment; its records are gone first, then its index.
func (s *Store) drop(first uint64) error {
	s.mu.Lock()
	i := slices.IndexFunc(s.closed, func(g segment) bool { return g.first == first })
	g := s.closed[i]
	s.closed = slices.Delete(s.closed, i, i+1)
	s.mu.Unlock()
	for _, suffix := range []string{g.suffix(), suffixIndex} {
		if err := s.fs.Remove(fileName(first, suffix)); err != nil && !disk.IsNotExist(err) {
			return fmt.Errorf("drop segment %x: %w", first, err)
		}
	}
	return s.fs.SyncDir()
}

func (g *segment) suffix() string {
	if g.packed {
		return suffixPacked
	}
	return suffixOpen
}

// pack compresses a closed segment. The old file goes once the new one is on disk.
func (s *Store) pack(first uint64) error {
	b, err := s.whole(fileName(first, suffixOpen))
	if err != nil {
		return err
	}
	small := encoder().EncodeAll(b, nil)
	if err := s.replace(fileName(first, suffixPacked), small); err != nil {
		return fmt.Errorf("compress segment %x: %w", first, err)
	}
	s.mu.Lock()
	if i := slices.IndexFunc(s.closed, func(g segment) bool { return g.first == first }); i >= 0 {
		s.closed[i].packed, s.closed[i].bytes = true, int64(len(small))
	}
	s.mu.Unlock()
	if err := s.fs.Remove(fileName(first, suffixOpen)); err != nil {
		return fmt.Errorf("compress segment %x: %w", first, err)
	}
	return s.fs.SyncDir()
}

// whole reads a file.
func (s *Store) whole(name string) ([]byte, error) {
	f, err := s.fs.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	n, err := f.Size()
	if err != nil {
		return nil, err
	}
	b := make([]byte, n)
	if k, err := f.ReadAt(b, 0); err != nil && !(errors.Is(err, io.EOF) && int64(k) == n) {
		return nil, err
	}
	return b, nil
}

// Abandon ends the store as a crash would: what waits is not written.
func (s *Store) Abandon() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.file != nil {
		_ = s.file.Close()
	}
	if s.unlock != nil {
		_ = s.unlock.Close()
	}
}
