// Package plan decides for the log store: what is written and synced when, when a segment is closed, which closed ones
// are compressed or dropped. It is deterministic, free of I/O, and the time is passed in.
package plan

import (
	"slices"
	"time"
)

// Policy is what operators set.
type Policy struct {
	SyncWithin   time.Duration // a record is on disk this soon after it was appended
	SyncBytes    int           // or sooner, when so many bytes wait
	SegmentBytes int64         // a segment is closed at this size ...
	SegmentAge   time.Duration // ... or this age, 0 for none
	KeepFor      time.Duration // closed segments are kept this long, 0 for ever
	KeepBytes    int64         // and within this in all, 0 for no bound
	RetryEvery   time.Duration // a disk that failed is tried again after this
}

// Backlog is what has not been written.
type Backlog struct {
	Bytes    int
	OldestAt time.Duration // when the oldest of it was appended
	Urgent   bool          // somebody waits for it to be on disk
	FailedAt time.Duration // when the disk failed last, 0 while it works
}

// NextCommit tells when what waits is to be written and synced; ok is false where nothing waits.
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

// ShouldRotate tells whether the open segment is to be closed before the next record.
func (p *Policy) ShouldRotate(bytes int64, age time.Duration) bool {
	return bytes >= p.SegmentBytes || p.SegmentAge > 0 && age >= p.SegmentAge
}

// Segment is a closed one.
type Segment struct {
	FirstSeq   uint64
	Bytes      int64     // on disk
	ClosedAt   time.Time // when it was closed
	Compressed bool
}

// NextToCompress names the next segment to compress: the oldest that is not.
func (p *Policy) NextToCompress(closed []Segment) (first uint64, ok bool) {
	for _, s := range closed {
		if !s.Compressed {
			return s.FirstSeq, true
		}
	}
	return 0, false
}

// Expired names the segments past what is kept, oldest first. A clock that was set back drops nothing by age.
func (p *Policy) Expired(closed []Segment, now time.Time) (firsts []uint64) {
	var sum int64
	for _, s := range closed {
		sum += s.Bytes
	}
	old := slices.Clone(closed)
	slices.SortFunc(old, func(a, b Segment) int { return int(min(max(int64(a.FirstSeq)-int64(b.FirstSeq), -1), 1)) })
	for _, s := range old {
		if !(p.KeepBytes > 0 && sum > p.KeepBytes || p.KeepFor > 0 && now.Sub(s.ClosedAt) > p.KeepFor) {
			break // what is kept has no holes
		}
		sum -= s.Bytes
		firsts = append(firsts, s.FirstSeq)
	}
	return firsts
}
