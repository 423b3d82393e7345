// Package logstore is an append-only log of records in segment files. Records are length-prefixed and checksummed. They are written
// and synced in groups (group commit). All records below the number that Durable returns survive a crash. A closed segment has an
// index that finds records by label.
//
// Package plan decides when to sync, close, compress and remove. Package disk abstracts the file system.
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

// ErrBacklogFull is returned by Append if the pending records reach Options.MaxPendingBytes, as they do when the disk fails.
var ErrBacklogFull = errors.New("the backlog of records that are not on disk yet is full")

// Options are the options of a Store.
type Options struct {
	// Policy says when records are synced and when segments are closed, compressed and removed.
	Policy plan.Policy
	// MaxPendingBytes is the maximum size of the records that wait for the disk, in bytes.
	MaxPendingBytes int
	// Labels returns the labels of a record, by which Find looks it up.
	Labels func(payload []byte) []uint64
	// WallClock returns the current time.
	WallClock func() time.Time
	// ReadOnly opens the store for reading while another process may write to it. Nothing is locked, repaired or written. A torn
	// end is ignored.
	ReadOnly bool
}

// RecoveryReport describes what Open found.
type RecoveryReport struct {
	// Records is the number of records in the store.
	Records uint64
	// TornBytes is the size of the incomplete or damaged ends that were cut off, in bytes. Open saves each in a file of its own,
	// unless the header of the segment is affected, too, or the store is read-only.
	TornBytes int64
	// Problems lists missing records, damaged segments and indexes that are rebuilt.
	Problems []string
}

// segment is a file of records.
type segment struct {
	firstSeq   uint64    // number of the first record
	records    uint32    // number of records
	bytes      int64     // size on disk
	createdAt  time.Time // zero for a segment that was opened from its index
	closedAt   time.Time // zero for the active segment
	compressed bool
}

// Store is a log. Append may be called from any goroutine. Commit is to be called from one goroutine at a time, and so are Maintain
// and VerifyNext.
type Store struct {
	fs      disk.FS
	options Options
	lock    io.Closer

	mu              sync.Mutex
	closedSegments  []segment      // oldest first
	active          segment        // segment that records are written to
	activeFile      disk.File      // file of active, nil if there is none
	postings        []posting      // labels of the written records of active
	nextSeq         uint64         // number of the next record
	durableSeq      uint64         // all records below this number are on disk
	lastVerified    int            // position in closedSegments that VerifyNext read last
	pending         []byte         // encoded records that are not written, from pendingSeq on
	pendingLabels   []pendingLabel // labels of the pending records
	pendingSeq      uint64         // number of the first pending record
	pendingSince    time.Duration  // when the oldest pending record was appended
	urgent          bool           // RequestCommit was called
	failedAt        time.Duration  // when the disk failed last, 0 if it works
	lastErr         error          // error of the last failed Commit
	RejectedRecords uint64         // number of records that were rejected with ErrBacklogFull
}

// Open locks the folder and recovers the store in it. It cuts torn ends off and rebuilds missing indexes.
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

// Close commits the pending records, closes the files and unlocks the folder.
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

// pendingLabel is a label of a pending record.
type pendingLabel struct{ seq, label uint64 }

// Append adds a record to the pending ones and returns its number. Numbers are in the order of the records. labels has to be what
// Options.Labels returns for the record. The record is on disk once Durable is above its number. Append returns ErrBacklogFull if
// too many records are pending.
func (s *Store) Append(now time.Duration, payload []byte, labels ...uint64) (seq uint64, err error) {
	if s.options.ReadOnly {
		return 0, errors.New("the log store is open for reading only")
	}
	if len(payload) > maxRecordSize {
		return 0, fmt.Errorf("record of %d bytes exceeds the maximum of %d", len(payload), maxRecordSize)
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

// Durable returns the number below which all records are on disk.
func (s *Store) Durable() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.durableSeq
}

// RequestCommit makes NextCommit ask for the pending records to be written at once.
func (s *Store) RequestCommit() {
	s.mu.Lock()
	s.urgent = true
	s.mu.Unlock()
}

// Failing returns the error of the last Commit if it failed, and nil otherwise.
func (s *Store) Failing() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failedAt == 0 {
		return nil
	}
	return s.lastErr
}

// NextCommit returns when Commit has to be called, on the clock of Append. The second result is false if there is nothing to do.
func (s *Store) NextCommit() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.options.Policy.NextCommit(plan.Backlog{Bytes: len(s.pending), OldestAt: s.pendingSince, Urgent: s.urgent, FailedAt: s.failedAt})
}

// Commit writes all pending records with one write and one sync. If that fails, no record is lost. What was written in part is cut off
// and the records remain pending.
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

// write writes and syncs a batch of records to the active segment. Before that, it rotates the active segment if that is due, and
// creates one if there is none.
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
		if n > 0 { // A torn record must not precede the records that are written later.
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

// indexRecord adds the labels of the next record of the active segment to the postings.
func (s *Store) indexRecord(payload []byte) {
	if s.options.Labels == nil {
		return
	}
	for _, l := range s.options.Labels(payload) {
		s.postings = append(s.postings, posting{l, s.active.records})
	}
}

// createSegment creates the segment that starts with record firstSeq. Its header is synced before the first record is written.
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

// rotate writes the index of the active segment and closes it.
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

// abandonSegment closes an active segment whose torn end could not be cut off, without an index. The next record goes to a new
// segment. The next Open cuts off the torn end.
func (s *Store) abandonSegment() {
	_ = s.activeFile.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active.closedAt = s.options.WallClock()
	s.closedSegments = append(s.closedSegments, s.active)
	s.activeFile, s.postings = nil, nil
}

// All stores share one encoder and one decoder, as creating them costs more than coding a small segment. They code whole buffers and
// keep no state in between.
var (
	// encoder compresses segments.
	encoder = sync.OnceValue(func() *zstd.Encoder {
		e, _ := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1)) // It fails only for conflicting options.
		return e
	})
	// decoder decompresses segments of up to 1 GiB.
	decoder = sync.OnceValue(func() *zstd.Decoder {
		d, _ := zstd.NewReader(nil, zstd.WithDecoderConcurrency(2), zstd.WithDecoderMaxMemory(1<<30))
		return d
	})
)

// writeFileAtomic writes a file by way of a temporary one, so that after a crash the file is either complete or not there.
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

// Maintain does one step of maintenance: it removes one expired segment, or else compresses one closed segment. more says that there
// may be more to do.
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

// removeSegment removes a closed segment: first the file with its records, then its index.
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

// suffix returns the suffix of the segment's file.
func (g *segment) suffix() string {
	if g.compressed {
		return suffixCompressed
	}
	return suffixSegment
}

// compressSegment compresses a closed segment. It removes the plain file once the compressed one is on disk.
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

// readFile returns the content of a file.
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

// Abandon closes the store without writing the pending records, as if the process had crashed.
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
