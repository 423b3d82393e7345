// Package plan makes the decisions of the log store: when pending records are written and synced, when a segment is closed, and which
// closed segments are compressed or removed. It is deterministic and does no I/O. The time is passed in.
package plan

import (
	"slices"
	"time"
)

// Policy holds the settings of a log store.
type Policy struct {
	// SyncWithin is the maximum time between appending a record and writing and syncing it.
	SyncWithin time.Duration
	// SyncBytes is the number of pending bytes at which records are written and synced at once.
	SyncBytes int
	// SegmentBytes is the size in bytes at which a segment is closed.
	SegmentBytes int64
	// SegmentAge is the age at which a segment is closed. 0 means no limit.
	SegmentAge time.Duration
	// KeepFor is how long a closed segment is kept. 0 means no limit.
	KeepFor time.Duration
	// KeepBytes is the maximum size of all closed segments together, in bytes. 0 means no limit.
	KeepBytes int64
	// RetryEvery is the time between a failed write and the next one.
	RetryEvery time.Duration
}

// Backlog describes the records that have not been written.
type Backlog struct {
	Bytes    int           // size of the records in bytes
	OldestAt time.Duration // when the oldest of them was appended
	Urgent   bool          // they are to be written without waiting for Policy.SyncWithin
	FailedAt time.Duration // when the disk failed last, 0 if it works
}

// NextCommit returns when the backlog is to be written and synced. ok is false if there is nothing to do.
func (p *Policy) NextCommit(w Backlog) (at time.Duration, ok bool) {
	switch {
	case w.FailedAt > 0:
		return w.FailedAt + p.RetryEvery, true
	case w.Bytes == 0:
		return 0, false
	case w.Urgent || w.Bytes >= p.SyncBytes:
		return w.OldestAt, true
	}
	return w.OldestAt + p.SyncWithin, true
}

// ShouldRotate reports whether the active segment, with its size in bytes and its age, is to be closed before the next record.
func (p *Policy) ShouldRotate(bytes int64, age time.Duration) bool {
	return bytes >= p.SegmentBytes || p.SegmentAge > 0 && age >= p.SegmentAge
}

// Segment describes a closed segment.
type Segment struct {
	FirstSeq   uint64    // number of its first record, which identifies the segment
	Bytes      int64     // size on disk in bytes
	ClosedAt   time.Time // when it was closed
	Compressed bool      // whether it is compressed
}

// NextToCompress returns the first segment in closed that is not compressed. ok is false if all are.
func (p *Policy) NextToCompress(closed []Segment) (firstSeq uint64, ok bool) {
	for _, s := range closed {
		if !s.Compressed {
			return s.FirstSeq, true
		}
	}
	return 0, false
}

// Expired returns the segments that exceed KeepBytes or KeepFor, oldest first. A clock that was set back expires no segment by age.
func (p *Policy) Expired(closed []Segment, now time.Time) (firstSeqs []uint64) {
	var totalBytes int64
	for _, s := range closed {
		totalBytes += s.Bytes
	}
	oldestFirst := slices.Clone(closed)
	slices.SortFunc(oldestFirst, func(a, b Segment) int { return int(min(max(int64(a.FirstSeq)-int64(b.FirstSeq), -1), 1)) })
	for _, s := range oldestFirst {
		if !(p.KeepBytes > 0 && totalBytes > p.KeepBytes || p.KeepFor > 0 && now.Sub(s.ClosedAt) > p.KeepFor) {
			break // The segments that are kept have to be contiguous.
		}
		totalBytes -= s.Bytes
		firstSeqs = append(firstSeqs, s.FirstSeq)
	}
	return firstSeqs
}
