package logstore

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"whinrun/internal/disk"
)

// recover lists the segments, cuts the torn end of the last one and makes missing indexes anew.
func (s *Store) recover(rep *RecoveryReport) error {
	names, err := s.fs.List()
	if err != nil {
		return err
	}
	files := map[uint64]map[string]bool{}
	for _, name := range names {
		if first, suffix, ok := parseName(name); ok {
			if files[first] == nil {
				files[first] = map[string]bool{}
			}
			files[first][suffix] = true
		}
	}
	var firsts []uint64
	for first, f := range files {
		if f[suffixOpen] || f[suffixPacked] {
			firsts = append(firsts, first)
		}
	}
	slices.Sort(firsts)
	s.next = 1
	if len(firsts) > 0 {
		s.next = firsts[0]
	}
	for i, first := range firsts {
		if first != s.next {
			rep.Problems = append(rep.Problems, fmt.Sprintf("records %d to %d are missing", s.next, first-1))
			s.next = first
		}
		g, err := s.load(first, files[first], i == len(firsts)-1, rep)
		if err != nil {
			return err
		}
		s.next += uint64(g.records)
		rep.Records += uint64(g.records)
	}
	s.durable, s.written = s.next, s.next
	return nil
}

// load takes one segment on. A compressed one whose plain file is still there was about to lose that.
func (s *Store) load(first uint64, files map[string]bool, last bool, rep *RecoveryReport) (g segment, err error) {
	g = segment{first: first, packed: files[suffixPacked]}
	if g.packed && files[suffixOpen] && !s.opt.ReadOnly {
		if err := s.fs.Remove(fileName(first, suffixOpen)); err != nil {
			return g, err
		}
	}
	f, err := s.fs.Open(fileName(first, g.suffix()))
	if err != nil {
		return g, err
	}
	if g.bytes, err = f.Size(); err != nil {
		return g, err
	}
	if files[suffixIndex] {
		if b, err := s.whole(fileName(first, suffixIndex)); err == nil {
			if x, err := parseIndex(b); err == nil {
				g.records, g.closed = x.records, x.closed
				s.closed = append(s.closed, g)
				return g, f.Close()
			}
		}
		rep.Problems = append(rep.Problems, fmt.Sprintf("the index of segment %x is made anew", first))
	}
	return g, s.mend(&g, f, last, rep)
}

// mend reads a segment that was not closed in order, up to the last whole record.
func (s *Store) mend(g *segment, f disk.File, last bool, rep *RecoveryReport) error {
	b, err := s.segment(*g)
	if err != nil && g.packed {
		rep.Problems = append(rep.Problems, fmt.Sprintf("segment %x: %v", g.first, err))
		return f.Close()
	}
	if err != nil {
		return err
	}
	first, made, err := parseHead(b)
	if err != nil || first != g.first {
		if !last {
			rep.Problems = append(rep.Problems, fmt.Sprintf("segment %x: its head is not as it was written", g.first))
			s.closed = append(s.closed, *g)
			return f.Close()
		}
		// A crash between making the file and its first sync: no record of it was ever durable.
		rep.TornBytes += int64(len(b))
		if s.opt.ReadOnly {
			return f.Close()
		}
		return errors.Join(f.Close(), s.fs.Remove(fileName(g.first, suffixOpen)), s.fs.SyncDir())
	}
	g.made = made
	s.last, s.marks = *g, nil
	at := headSize
	for at < len(b) {
		payload, next, err := NextRecord(b, at, g.first+uint64(s.last.records))
		if err != nil {
			break
		}
		s.label(payload)
		s.last.records++
		at = next
	}
	if torn := int64(len(b) - at); torn > 0 && !g.packed {
		rep.TornBytes += torn
		if s.opt.ReadOnly {
			s.last.bytes = int64(at)
			*g = s.last
			s.closed = append(s.closed, *g)
			return f.Close()
		}
		if err := s.replace(fileName(g.first, suffixTorn), b[at:]); err != nil {
			return err
		}
		if err := errors.Join(f.Truncate(int64(at)), f.Sync()); err != nil {
			return err
		}
		s.last.bytes = int64(at)
	}
	*g = s.last
	if last && !g.packed {
		s.file = f
		return nil
	}
	if s.opt.ReadOnly {
		s.closed = append(s.closed, *g)
		return f.Close()
	}
	g.closed = s.opt.WallClock()
	s.closed = append(s.closed, *g)
	err = s.replace(fileName(g.first, suffixIndex), appendIndex(nil, g.records, g.closed, s.marks))
	return errors.Join(err, f.Close())
}

// segment reads a segment's bytes, uncompressed.
func (s *Store) segment(g segment) ([]byte, error) {
	b, err := s.whole(fileName(g.first, g.suffix()))
	if err != nil || !g.packed {
		return b, err
	}
	if b, err = decoder().DecodeAll(b, nil); err != nil {
		return nil, fmt.Errorf("%w: %w", err, ErrCorrupt)
	}
	return b, nil
}

// segments are all, oldest first.
func (s *Store) segments() []segment {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := slices.Clone(s.closed)
	if s.file != nil {
		all = append(all, s.last)
	}
	return all
}

// Read calls fn with the records on disk from a number on, in order. What is not as it was written goes to bad, and
// reading goes on with the next segment; without bad it ends with that error.
func (s *Store) Read(from uint64, fn func(seq uint64, payload []byte) error, bad func(error)) error {
	for _, g := range s.segments() {
		if g.first+uint64(g.records) <= from {
			continue
		}
		err := s.each(g, func(seq uint64, payload []byte) error {
			if seq < from {
				return nil
			}
			return fn(seq, payload)
		})
		if errors.Is(err, ErrCorrupt) && bad != nil {
			bad(err)
		} else if err != nil {
			return err
		}
	}
	return nil
}

func (s *Store) each(g segment, fn func(uint64, []byte) error) error {
	b, err := s.segment(g)
	if err == nil {
		_, _, err = parseHead(b)
	}
	if err != nil {
		return fmt.Errorf("segment %x: %w", g.first, err)
	}
	at := headSize
	for seq := g.first; seq < g.first+uint64(g.records); seq++ {
		payload, next, err := NextRecord(b, at, seq)
		if err != nil {
			return fmt.Errorf("segment %x: %w", g.first, err)
		}
		if err := fn(seq, payload); err != nil {
			return err
		}
		at = next
	}
	return nil
}

// VerifyNext reads one closed segment whole, the next in turn, and returns what is wrong with it.
func (s *Store) VerifyNext() error {
	s.mu.Lock()
	if len(s.closed) == 0 {
		s.mu.Unlock()
		return nil
	}
	s.verified = (s.verified + 1) % len(s.closed)
	g := s.closed[s.verified]
	s.mu.Unlock()
	err := s.each(g, func(uint64, []byte) error { return nil })
	if disk.IsNotExist(err) { // compressed or dropped meanwhile
		return nil
	}
	return err
}

// Find calls fn with the records on disk that carry a label, in order.
func (s *Store) Find(label uint64, fn func(seq uint64, payload []byte) error, bad func(error)) error {
	for _, g := range s.segments() {
		nos, err := s.lookUp(g, label)
		blind := err != nil // without its index the segment is read whole
		if !blind && len(nos) == 0 {
			continue
		}
		err = s.each(g, func(seq uint64, payload []byte) error {
			if _, in := slices.BinarySearch(nos, uint32(seq-g.first)); in || blind && slices.Contains(s.opt.Labels(payload), label) {
				return fn(seq, payload)
			}
			return nil
		})
		if errors.Is(err, ErrCorrupt) && bad != nil {
			bad(err)
		} else if err != nil {
			return err
		}
	}
	return nil
}

// lookUp returns which records of a segment carry a label.
func (s *Store) lookUp(g segment, label uint64) (nos []uint32, err error) {
	if g.closed.IsZero() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, m := range s.marks {
			if m.label == label && s.last.first == g.first {
				nos = append(nos, m.no)
			}
		}
		return slices.Compact(nos), nil
	}
	b, err := s.whole(fileName(g.first, suffixIndex))
	if err != nil {
		return nil, err
	}
	x, err := parseIndex(b)
	return slices.Compact(x.find(label)), err
}

// Usage is what the store takes on disk.
type Usage struct {
	Segments, Compressed int
	Bytes                int64
	FirstSeq, NextSeq    uint64
	OldestCreatedAt      time.Time
}

// Usage sums the store up.
func (s *Store) Usage() Usage {
	all := s.segments()
	u := Usage{Segments: len(all)}
	s.mu.Lock()
	u.NextSeq = s.next
	s.mu.Unlock()
	for i, g := range all {
		u.Bytes += g.bytes
		if g.packed {
			u.Compressed++
		}
		if i == 0 {
			u.FirstSeq, u.OldestCreatedAt = g.first, g.made
		}
	}
	return u
}
