// Package dialscheduler plans which connections are opened next, within budgets: handshakes a second, handshakes under way,
// connections in all. It keeps a wave of partners that all wake at once from taking the machine from those that are
// busy. It is deterministic and free of I/O: the time is passed in.
package dialscheduler

import (
	"container/heap"
	"time"
)

// Limits bounds what is opened. All fields are to be above zero.
type Limits struct {
	HandshakesPerSecond float64 // handshakes begun a second; a tenth of a second's may begin at once
	MaxHandshakes       int     // handshakes under way at once
	MaxConns            int     // connections open or being opened
}

// Request is a wish for a connection.
type Request struct {
	Key            uint64        // names who wants it; a new wish of the same key takes the place of the old
	Priority       float64       // of what waits for it, against others
	Deadline       time.Duration // when that is given up
	RecentlyActive bool          // it had a connection lately: it must not wait behind a wave of strangers
}

// priorityUnit is how much sooner than its due time a wish ranks for each unit of worth.
const priorityUnit = time.Second

// activeShare is how many of three openings the busy take at most while strangers wait, too: neither starves.
const activeShare, inactiveShare = 2, 1

// entry is a wish in its queue.
type entry struct {
	Request
	rank  time.Duration
	seq   uint64
	index int
	queue int
}

// requestQueue is a heap of wishes, the most pressing first.
type requestQueue []*entry

func (q requestQueue) Len() int { return len(q) }
func (q requestQueue) Less(i, j int) bool {
	return q[i].rank < q[j].rank || q[i].rank == q[j].rank && q[i].seq < q[j].seq
}
func (q requestQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}
func (q *requestQueue) Push(x any) {
	e := x.(*entry)
	e.index = len(*q)
	*q = append(*q, e)
}
func (q *requestQueue) Pop() any {
	n := len(*q) - 1
	e := (*q)[n]
	(*q)[n] = nil
	*q = (*q)[:n]
	return e
}

// Scheduler decides who is opened next.
type Scheduler struct {
	limits     Limits
	requests   map[uint64]*entry
	queues     [2]requestQueue // strangers, busy
	seq        uint64
	tokens     float64
	refilledAt time.Duration
	handshakes int
	conns      int
	shareTurn  int // openings since the last round of shares

	ceiling          int           // connections that the machine was found to bear, while holdUntil is not past
	holdUntil        time.Duration // no more than that are tried until then
	holdSpan         time.Duration // the last such span
	outOfDescriptors bool          // it was descriptors that were short: closing a connection makes room
}

// New returns a Planner.
func New(limits Limits) *Scheduler {
	return &Scheduler{limits: limits, requests: map[uint64]*entry{}, tokens: max(1, limits.HandshakesPerSecond/10)}
}

// Enqueue adds a wish, or changes it.
func (s *Scheduler) Enqueue(request Request) {
	s.Remove(request.Key)
	s.seq++
	e := &entry{Request: request, rank: request.Deadline - time.Duration(request.Priority*float64(priorityUnit)), seq: s.seq}
	if request.RecentlyActive {
		e.queue = 1
	}
	s.requests[request.Key] = e
	heap.Push(&s.queues[e.queue], e)
}

// Remove takes a wish back; it tells whether there was one.
func (s *Scheduler) Remove(key uint64) bool {
	e := s.requests[key]
	if e == nil {
		return false
	}
	delete(s.requests, key)
	heap.Remove(&s.queues[e.queue], e.index)
	return true
}

// Pending counts the wishes.
func (s *Scheduler) Pending() int { return len(s.requests) }

// Decision is what Next decided.
type Decision uint8

// Answers of Next.
const (
	NoAction   Decision = iota // no wish, or the next end of a handshake is to be waited for
	Dial                       // open a connection for the key; Opened or Failed is to follow
	RetryLater                 // ask again at the time given: handshakes of this second are spent, or the machine is short of something
	CloseIdle                  // no further connection may be open: an idle one is to be closed; ask again then, or at the time given if it is not 0
)

// Next decides what to do now.
func (s *Scheduler) Next(now time.Duration) (decision Decision, key uint64, retryAt time.Duration) {
	s.tokens = min(s.tokens+s.limits.HandshakesPerSecond*(now-s.refilledAt).Seconds(), max(1, s.limits.HandshakesPerSecond/10))
	s.refilledAt = now
	switch {
	case len(s.requests) == 0 || s.handshakes >= s.limits.MaxHandshakes:
		return NoAction, 0, 0
	case s.conns+s.handshakes >= s.limits.MaxConns:
		return CloseIdle, 0, 0
	case now < s.holdUntil && s.conns+s.handshakes >= s.ceiling && s.outOfDescriptors && s.conns > 0:
		return CloseIdle, 0, s.holdUntil
	case now < s.holdUntil && s.conns+s.handshakes >= s.ceiling:
		return RetryLater, 0, s.holdUntil
	case s.tokens < 1:
		return RetryLater, 0, now + time.Duration((1-s.tokens)/s.limits.HandshakesPerSecond*float64(time.Second)) + 1
	}
	q := s.pickQueue()
	e := heap.Pop(&s.queues[q]).(*entry)
	delete(s.requests, e.Key)
	s.tokens--
	s.handshakes++
	return Dial, e.Key, 0
}

// pickQueue chooses the queue: two of three for the busy, while both wait.
func (s *Scheduler) pickQueue() int {
	switch {
	case len(s.queues[0]) == 0:
		return 1
	case len(s.queues[1]) == 0:
		return 0
	}
	s.shareTurn = (s.shareTurn + 1) % (activeShare + inactiveShare)
	if s.shareTurn < activeShare {
		return 1
	}
	return 0
}

// Opened tells that a connection stands.
func (s *Scheduler) Opened() {
	s.handshakes--
	s.conns++
}

// Failure tells why a connection could not be made.
type Failure uint8

// Failures.
const (
	PeerFailed    Failure = iota // by its peer
	NoDescriptors                // this machine had no descriptor left for it
	LocalShortage                // this machine lacked something else
)

// Spans for which no more connections are tried than there were when the machine fell short. They double while it goes on: a
// shortage of a moment must not be taken for one that lasts.
const (
	minHold = 50 * time.Millisecond
	maxHold = 2 * time.Second
)

// Failed tells that a connection could not be made. Where this machine was short no more than are open now are tried for a
// while, or until one is closed.
func (s *Scheduler) Failed(now time.Duration, cause Failure) {
	s.handshakes--
	if cause == PeerFailed {
		return
	}
	if now > s.holdUntil+s.holdSpan { // the last shortage is long past
		s.holdSpan = 0
	}
	if now >= s.holdUntil {
		s.holdSpan = min(max(minHold, 2*s.holdSpan), maxHold)
	}
	s.holdUntil = now + s.holdSpan
	s.ceiling = s.conns + s.handshakes
	s.outOfDescriptors = cause == NoDescriptors
}

// Closed tells that a connection that stood is gone. While the machine is short another may be tried in its place.
func (s *Scheduler) Closed() { s.conns-- }
