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

// Waiting is what has not been written.
type Waiting struct {
	Bytes  int
	Since  time.Duration // when the oldest of it was appended
	Urgent bool          // somebody waits for it to be on disk
	Failed time.Duration // when the disk failed last, 0 while it works
}

// Commit tells when what waits is to be written and synced; ok is false where nothing waits.
func (p *Policy) Commit(w Waiting) (at time.Duration, ok bool) {
	switch {
	case w.Failed > 0:
		return w.Failed + p.RetryEvery, true
	case w.Bytes == 0:
		return 0, false
	case w.Urgent || w.Bytes >= p.SyncBytes:
		return w.Since, true
	}
	return w.Since + p.SyncWithin, true
}

// Rotate tells whether the open segment is to be closed before the next record.
func (p *Policy) Rotate(bytes int64, age time.Duration) bool {
	return bytes >= p.SegmentBytes || p.SegmentAge > 0 && age >= p.SegmentAge
}

// Segment is a closed one.
type Segment struct {
	First      uint64
	Bytes      int64     // on disk
	Last       time.Time // when it was closed
	Compressed bool
}

// Compress names the next segment to compress: the oldest that is not.
func (p *Policy) Compress(closed []Segment) (first uint64, ok bool) {
	for _, s := range closed {
		if !s.Compressed {
			return s.First, true
		}
	}
	return 0, false
}

// Drop names the segments past what is kept, oldest first. A clock that was set back drops nothing by age.
func (p *Policy) Drop(closed []Segment, now time.Time) (firsts []uint64) {
	var sum int64
	for _, s := range closed {
		sum += s.Bytes
	}
	old := slices.Clone(closed)
	slices.SortFunc(old, func(a, b Segment) int { return int(min(max(int64(a.First)-int64(b.First), -1), 1)) })
	for _, s := range old {
		if !(p.KeepBytes > 0 && sum > p.KeepBytes || p.KeepFor > 0 && now.Sub(s.Last) > p.KeepFor) {
			break // what is kept has no holes
		}
		sum -= s.Bytes
		firsts = append(firsts, s.First)
	}
	return firsts
}
