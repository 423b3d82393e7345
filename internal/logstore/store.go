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
	firstSeq   uint64
	records    uint32
	bytes      int64 // on disk
	createdAt  time.Time
	closedAt   time.Time
	compressed bool
}

// Store is the log. Append may be called from any goroutine, Commit from one, Tend and VerifyNext from one.
type Store struct {
	fs      disk.FS
	options Options
	lock    io.Closer

	mu              sync.Mutex
	closedSegments  []segment
	active          segment
	activeFile      disk.File
	postings        []posting      // of the last segment, written and not
	nextSeq         uint64         // number of the next record
	durableSeq      uint64         // all below are on disk
	lastVerified    int            // of closed: read again last
	pending         []byte         // whole records, from written on
	pendingLabels   []pendingLabel // of those
	pendingSeq      uint64         // number of the first record in pending
	pendingSince    time.Duration
	urgent          bool
	failedAt        time.Duration
	lastErr         error
	RejectedRecords uint64 // records for which there was no room while the disk failed
}

// Open reads what is there and makes it whole.
func Open(fs disk.FS, opt Options) (*Store, RecoveryReport, error) {
	s := &Store{fs: fs, options: opt}
	var rep RecoveryReport
	if !opt.ReadOnly {
		lock, err := fs.Lock()
		if err != nil {
			return nil, rep, fmt.Errorf("log store: %w", err)
		}
		s.lock = lock
	}
	if err := s.recover(&rep); err != nil {
		if s.lock != nil {
			_ = s.lock.Close()
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
	if s.activeFile != nil {
		err = errors.Join(err, s.activeFile.Close())
	}
	if s.lock != nil {
		err = errors.Join(err, s.lock.Close())
	}
	return err
}

// pendingLabel is a label of a record that is not written yet.
type pendingLabel struct{ seq, label uint64 }

// Append takes a record with its labels, the same that Options.Labels finds in it. Its number tells the order; it is
// on disk once Durable has passed that.
func (s *Store) Append(now time.Duration, payload []byte, labels ...uint64) (seq uint64, err error) {
	if s.options.ReadOnly {
		return 0, errors.New("the log is open for reading")
	}
	if len(payload) > maxRecordSize {
		return 0, fmt.Errorf("record of %d bytes above %d", len(payload), maxRecordSize)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending)+len(payload)+recordHeaderSize > s.options.MaxPendingBytes {
		s.RejectedRecords++
		return 0, ErrBacklogFull
	}
	if len(s.pending) == 0 {
		s.pendingSince, s.pendingSeq = now, s.nextSeq
	}
	s.pending = AppendRecord(s.pending, s.nextSeq, payload)
	for _, l := range labels {
		s.pendingLabels = append(s.pendingLabels, pendingLabel{s.nextSeq, l})
	}
	s.nextSeq++
	return s.nextSeq - 1, nil
}

// Durable is the number below which all records are on disk.
func (s *Store) Durable() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.durableSeq
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
	if s.failedAt == 0 {
		return nil
	}
	return s.lastErr
}

// NextCommit tells when Commit is to be called.
func (s *Store) NextCommit() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.options.Policy.NextCommit(plan.Backlog{Bytes: len(s.pending), OldestAt: s.pendingSince, Urgent: s.urgent, FailedAt: s.failedAt})
}

// Commit writes and syncs what waits: one write and one sync for all of it. While the disk fails nothing of it is
// given up: the half-written end is cut off, and all is written again later.
func (s *Store) Commit(now time.Duration) error {
	s.mu.Lock()
	batch, labels, firstSeq, nextSeq := s.pending, s.pendingLabels, s.pendingSeq, s.nextSeq
	s.pending, s.pendingLabels, s.urgent = nil, nil, false
	wasFailed := s.failedAt > 0
	s.mu.Unlock()
	if len(batch) == 0 && !wasFailed {
		return nil
	}
	err := s.write(batch, labels, firstSeq, nextSeq)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.pending, s.pendingLabels = append(batch, s.pending...), append(labels, s.pendingLabels...)
		s.pendingSeq = firstSeq
		s.failedAt, s.lastErr = max(now, 1), err
		return fmt.Errorf("log store: %w", err)
	}
	s.failedAt = 0
	s.durableSeq = nextSeq
	if len(s.pending) > 0 {
		s.pendingSeq, s.pendingSince = nextSeq, now
	}
	return nil
}

// write puts a batch into the open segment, which is closed before where that is due.
func (s *Store) write(batch []byte, labels []pendingLabel, firstSeq, nextSeq uint64) error {
	if s.activeFile != nil && s.options.Policy.ShouldRotate(s.active.bytes, s.options.WallClock().Sub(s.active.createdAt)) {
		if err := s.rotate(); err != nil {
			return fmt.Errorf("close segment %x: %w", s.active.firstSeq, err)
		}
	}
	if s.activeFile == nil {
		if err := s.createSegment(firstSeq); err != nil {
			return err
		}
	}
	n, err := s.activeFile.Write(batch)
	if err == nil {
		err = s.activeFile.Sync()
	}
	if err != nil {
		if n > 0 { // what is half there must not stand before what is written later
			if truncateErr := s.activeFile.Truncate(s.active.bytes); truncateErr != nil {
				s.abandonSegment()
			}
		}
		return fmt.Errorf("segment %x: %w", s.active.firstSeq, err)
	}
	s.mu.Lock()
	s.active.bytes += int64(len(batch))
	s.active.records += uint32(nextSeq - firstSeq)
	for _, t := range labels {
		s.postings = append(s.postings, posting{t.label, uint32(t.seq - s.active.firstSeq)})
	}
	s.mu.Unlock()
	return nil
}

func (s *Store) indexRecord(payload []byte) {
	if s.options.Labels == nil {
		return
	}
	for _, l := range s.options.Labels(payload) {
		s.postings = append(s.postings, posting{l, s.active.records})
	}
}

// createSegment makes a new segment. Its head is on disk before it has a record.
func (s *Store) createSegment(firstSeq uint64) error {
	createdAt := s.options.WallClock()
	f, err := s.fs.Create(fileName(firstSeq, suffixSegment))
	if err != nil {
		return err
	}
	_, err = f.Write(appendSegmentHeader(nil, firstSeq, createdAt))
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
	s.activeFile, s.postings = f, nil
	s.active = segment{firstSeq: firstSeq, bytes: segmentHeaderSize, createdAt: createdAt}
	s.mu.Unlock()
	return nil
}

// rotate closes the open segment with its index.
func (s *Store) rotate() error {
	now := s.options.WallClock()
	if err := s.writeFileAtomic(fileName(s.active.firstSeq, suffixIndex), appendIndex(nil, s.active.records, now, s.postings)); err != nil {
		return err
	}
	if err := s.activeFile.Close(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active.closedAt = now
	s.closedSegments = append(s.closedSegments, s.active)
	s.activeFile, s.postings = nil, nil
	return nil
}

// abandonSegment leaves a segment whose end can't be cut: recovery cuts it, and the next record begins another one.
func (s *Store) abandonSegment() {
	_ = s.activeFile.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active.closedAt = s.options.WallClock()
	s.closedSegments = append(s.closedSegments, s.active)
	s.activeFile, s.postings = nil, nil
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

// writeFileAtomic writes a whole file so that it is there in full or not at all.
func (s *Store) writeFileAtomic(name string, b []byte) error {
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
	for _, g := range s.closedSegments {
		all = append(all, plan.Segment{FirstSeq: g.firstSeq, Bytes: g.bytes, ClosedAt: g.closedAt, Compressed: g.compressed})
	}
	s.mu.Unlock()
	if expired := s.options.Policy.Expired(all, s.options.WallClock()); len(expired) > 0 {
		return true, s.removeSegment(expired[0])
	}
	if firstSeq, ok := s.options.Policy.NextToCompress(all); ok {
		return true, s.compressSegment(firstSeq)
	}
	return false, nil
}

// removeSegment removes a segment; its records are gone first, then its index.
func (s *Store) removeSegment(firstSeq uint64) error {
	s.mu.Lock()
	i := slices.IndexFunc(s.closedSegments, func(g segment) bool { return g.firstSeq == firstSeq })
	g := s.closedSegments[i]
	s.closedSegments = slices.Delete(s.closedSegments, i, i+1)
	s.mu.Unlock()
	for _, suffix := range []string{g.suffix(), suffixIndex} {
		if err := s.fs.Remove(fileName(firstSeq, suffix)); err != nil && !disk.IsNotExist(err) {
			return fmt.Errorf("drop segment %x: %w", firstSeq, err)
		}
	}
	return s.fs.SyncDir()
}

func (g *segment) suffix() string {
	if g.compressed {
		return suffixCompressed
	}
	return suffixSegment
}

// compressSegment compresses a closed segment. The old file goes once the new one is on disk.
func (s *Store) compressSegment(firstSeq uint64) error {
	b, err := s.readFile(fileName(firstSeq, suffixSegment))
	if err != nil {
		return err
	}
	compressed := encoder().EncodeAll(b, nil)
	if err := s.writeFileAtomic(fileName(firstSeq, suffixCompressed), compressed); err != nil {
		return fmt.Errorf("compress segment %x: %w", firstSeq, err)
	}
	s.mu.Lock()
	if i := slices.IndexFunc(s.closedSegments, func(g segment) bool { return g.firstSeq == firstSeq }); i >= 0 {
		s.closedSegments[i].compressed, s.closedSegments[i].bytes = true, int64(len(compressed))
	}
	s.mu.Unlock()
	if err := s.fs.Remove(fileName(firstSeq, suffixSegment)); err != nil {
		return fmt.Errorf("compress segment %x: %w", firstSeq, err)
	}
	return s.fs.SyncDir()
}

// readFile reads a file.
func (s *Store) readFile(name string) ([]byte, error) {
	f, err := s.fs.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	size, err := f.Size()
	if err != nil {
		return nil, err
	}
	b := make([]byte, size)
	if k, err := f.ReadAt(b, 0); err != nil && !(errors.Is(err, io.EOF) && int64(k) == size) {
		return nil, err
	}
	return b, nil
}

// Abandon ends the store as a crash would: what waits is not written.
func (s *Store) Abandon() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.activeFile != nil {
		_ = s.activeFile.Close()
	}
	if s.lock != nil {
		_ = s.lock.Close()
	}
}
