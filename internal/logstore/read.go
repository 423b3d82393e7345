package logstore

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"whinrun/internal/disk"
)

// recover loads all segments in order. It cuts torn ends off and rebuilds missing indexes.
func (s *Store) recover(report *RecoveryReport) error {
	names, err := s.fs.List()
	if err != nil {
		return err
	}
	files := map[uint64]map[string]bool{}
	for _, name := range names {
		if firstSeq, suffix, ok := parseName(name); ok {
			if files[firstSeq] == nil {
				files[firstSeq] = map[string]bool{}
			}
			files[firstSeq][suffix] = true
		}
	}
	var firstSeqs []uint64
	for firstSeq, f := range files {
		if f[suffixSegment] || f[suffixCompressed] {
			firstSeqs = append(firstSeqs, firstSeq)
		}
	}
	slices.Sort(firstSeqs)
	s.nextSeq = 1
	if len(firstSeqs) > 0 {
		s.nextSeq = firstSeqs[0]
	}
	for i, firstSeq := range firstSeqs {
		if firstSeq != s.nextSeq {
			report.Problems = append(report.Problems, fmt.Sprintf("records %d to %d are missing", s.nextSeq, firstSeq-1))
			s.nextSeq = firstSeq
		}
		g, err := s.loadSegment(firstSeq, files[firstSeq], i == len(firstSeqs)-1, report)
		if err != nil {
			return err
		}
		s.nextSeq += uint64(g.records)
		report.Records += uint64(g.records)
	}
	s.durableSeq, s.pendingSeq = s.nextSeq, s.nextSeq
	return nil
}

// loadSegment loads one segment, from its index if that is intact. If both the compressed and the plain file exist, the process ended
// before it could remove the plain one, and loadSegment removes it.
func (s *Store) loadSegment(firstSeq uint64, files map[string]bool, last bool, report *RecoveryReport) (g segment, err error) {
	g = segment{firstSeq: firstSeq, compressed: files[suffixCompressed]}
	if g.compressed && files[suffixSegment] && !s.options.ReadOnly {
		if err := s.fs.Remove(fileName(firstSeq, suffixSegment)); err != nil {
			return g, err
		}
	}
	f, err := s.fs.Open(fileName(firstSeq, g.suffix()))
	if err != nil {
		return g, err
	}
	if g.bytes, err = f.Size(); err != nil {
		return g, err
	}
	if files[suffixIndex] {
		if b, err := s.readFile(fileName(firstSeq, suffixIndex)); err == nil {
			if x, err := parseIndex(b); err == nil {
				g.records, g.closedAt = x.records, x.closedAt
				s.closedSegments = append(s.closedSegments, g)
				return g, f.Close()
			}
		}
		report.Problems = append(report.Problems, fmt.Sprintf("the index of segment %x is made anew", firstSeq))
	}
	return g, s.repairSegment(&g, f, last, report)
}

// repairSegment reads a segment without a valid index up to the last complete record, cuts the rest off and rebuilds the index. The
// last segment becomes the active one instead, unless it is compressed. A read-only store changes no file.
func (s *Store) repairSegment(g *segment, f disk.File, last bool, report *RecoveryReport) error {
	b, err := s.readSegment(*g)
	if err != nil && g.compressed {
		report.Problems = append(report.Problems, fmt.Sprintf("segment %x: %v", g.firstSeq, err))
		return f.Close()
	}
	if err != nil {
		return err
	}
	firstSeq, createdAt, err := parseSegmentHeader(b)
	if err != nil || firstSeq != g.firstSeq {
		if !last {
			report.Problems = append(report.Problems, fmt.Sprintf("segment %x: its head is not as it was written", g.firstSeq))
			s.closedSegments = append(s.closedSegments, *g)
			return f.Close()
		}
		// The process crashed between creating the file and its first sync. No record in it was ever durable.
		report.TornBytes += int64(len(b))
		if s.options.ReadOnly {
			return f.Close()
		}
		return errors.Join(f.Close(), s.fs.Remove(fileName(g.firstSeq, suffixSegment)), s.fs.SyncDir())
	}
	g.createdAt = createdAt
	s.active, s.postings = *g, nil
	at := segmentHeaderSize
	for at < len(b) {
		payload, next, err := NextRecord(b, at, g.firstSeq+uint64(s.active.records))
		if err != nil {
			break
		}
		s.indexRecord(payload)
		s.active.records++
		at = next
	}
	if torn := int64(len(b) - at); torn > 0 && !g.compressed {
		report.TornBytes += torn
		if s.options.ReadOnly {
			s.active.bytes = int64(at)
			*g = s.active
			s.closedSegments = append(s.closedSegments, *g)
			return f.Close()
		}
		if err := s.writeFileAtomic(fileName(g.firstSeq, suffixTorn), b[at:]); err != nil {
			return err
		}
		if err := errors.Join(f.Truncate(int64(at)), f.Sync()); err != nil {
			return err
		}
		s.active.bytes = int64(at)
	}
	*g = s.active
	if last && !g.compressed {
		s.activeFile = f
		return nil
	}
	if s.options.ReadOnly {
		s.closedSegments = append(s.closedSegments, *g)
		return f.Close()
	}
	g.closedAt = s.options.WallClock()
	s.closedSegments = append(s.closedSegments, *g)
	err = s.writeFileAtomic(fileName(g.firstSeq, suffixIndex), appendIndex(nil, g.records, g.closedAt, s.postings))
	return errors.Join(err, f.Close())
}

// readSegment returns the uncompressed content of a segment.
func (s *Store) readSegment(g segment) ([]byte, error) {
	b, err := s.readFile(fileName(g.firstSeq, g.suffix()))
	if err != nil || !g.compressed {
		return b, err
	}
	if b, err = decoder().DecodeAll(b, nil); err != nil {
		return nil, fmt.Errorf("%w: %w", err, ErrCorrupt)
	}
	return b, nil
}

// allSegments returns the closed segments and the active one, oldest first.
func (s *Store) allSegments() []segment {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := slices.Clone(s.closedSegments)
	if s.activeFile != nil {
		all = append(all, s.active)
	}
	return all
}

// Read calls fn for each record on disk whose number is at least from, in order. It ends with the first error that fn returns. If a
// segment is corrupt, onCorrupt is called with the error, and reading continues with the next segment. If onCorrupt is nil, Read
// returns the error instead.
func (s *Store) Read(from uint64, fn func(seq uint64, payload []byte) error, onCorrupt func(error)) error {
	for _, g := range s.allSegments() {
		if g.firstSeq+uint64(g.records) <= from {
			continue
		}
		err := s.readRecords(g, func(seq uint64, payload []byte) error {
			if seq < from {
				return nil
			}
			return fn(seq, payload)
		})
		if errors.Is(err, ErrCorrupt) && onCorrupt != nil {
			onCorrupt(err)
		} else if err != nil {
			return err
		}
	}
	return nil
}

// readRecords calls fn for each record of a segment, in order.
func (s *Store) readRecords(g segment, fn func(uint64, []byte) error) error {
	b, err := s.readSegment(g)
	if err == nil {
		_, _, err = parseSegmentHeader(b)
	}
	if err != nil {
		return fmt.Errorf("segment %x: %w", g.firstSeq, err)
	}
	at := segmentHeaderSize
	for seq := g.firstSeq; seq < g.firstSeq+uint64(g.records); seq++ {
		payload, next, err := NextRecord(b, at, seq)
		if err != nil {
			return fmt.Errorf("segment %x: %w", g.firstSeq, err)
		}
		if err := fn(seq, payload); err != nil {
			return err
		}
		at = next
	}
	return nil
}

// VerifyNext reads one closed segment completely, the next one at each call, and returns an error if it is damaged.
func (s *Store) VerifyNext() error {
	s.mu.Lock()
	if len(s.closedSegments) == 0 {
		s.mu.Unlock()
		return nil
	}
	s.lastVerified = (s.lastVerified + 1) % len(s.closedSegments)
	g := s.closedSegments[s.lastVerified]
	s.mu.Unlock()
	err := s.readRecords(g, func(uint64, []byte) error { return nil })
	if disk.IsNotExist(err) { // It was compressed or removed in the meantime.
		return nil
	}
	return err
}

// Find calls fn for each record on disk that carries a label, in order. It treats errors and onCorrupt as Read does.
func (s *Store) Find(label uint64, fn func(seq uint64, payload []byte) error, onCorrupt func(error)) error {
	for _, g := range s.allSegments() {
		recordIndexes, err := s.findInSegment(g, label)
		indexMissing := err != nil // Then all records of the segment are checked.
		if !indexMissing && len(recordIndexes) == 0 {
			continue
		}
		err = s.readRecords(g, func(seq uint64, payload []byte) error {
			if _, in := slices.BinarySearch(recordIndexes, uint32(seq-g.firstSeq)); in || indexMissing && slices.Contains(s.options.Labels(payload), label) {
				return fn(seq, payload)
			}
			return nil
		})
		if errors.Is(err, ErrCorrupt) && onCorrupt != nil {
			onCorrupt(err)
		} else if err != nil {
			return err
		}
	}
	return nil
}

// findInSegment returns the positions of the records of a segment that carry a label. It fails if the index cannot be read.
func (s *Store) findInSegment(g segment, label uint64) (recordIndexes []uint32, err error) {
	if g.closedAt.IsZero() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, m := range s.postings {
			if m.label == label && s.active.firstSeq == g.firstSeq {
				recordIndexes = append(recordIndexes, m.recordIndex)
			}
		}
		return slices.Compact(recordIndexes), nil
	}
	b, err := s.readFile(fileName(g.firstSeq, suffixIndex))
	if err != nil {
		return nil, err
	}
	x, err := parseIndex(b)
	return slices.Compact(x.find(label)), err
}

// Usage describes what a store holds on disk.
type Usage struct {
	// Segments is the number of segments, and Compressed how many of them are compressed.
	Segments, Compressed int
	// Bytes is the size of all segments, in bytes.
	Bytes int64
	// FirstSeq is the number of the oldest record, and NextSeq that of the next record to be appended.
	FirstSeq, NextSeq uint64
	// OldestCreatedAt is when the oldest segment was created. It is zero if that segment was opened from its index.
	OldestCreatedAt time.Time
}

// Usage returns the current usage of the store.
func (s *Store) Usage() Usage {
	all := s.allSegments()
	u := Usage{Segments: len(all)}
	s.mu.Lock()
	u.NextSeq = s.nextSeq
	s.mu.Unlock()
	for i, g := range all {
		u.Bytes += g.bytes
		if g.compressed {
			u.Compressed++
		}
		if i == 0 {
			u.FirstSeq, u.OldestCreatedAt = g.firstSeq, g.createdAt
		}
	}
	return u
}
