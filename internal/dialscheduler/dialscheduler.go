// Package dialscheduler decides which endpoint gets the next new connection, within limits on the rate of
// handshakes, on concurrent handshakes and on all connections. When many partners become active at once, their
// dials must not exhaust the machine for those that are already active. The package is deterministic and does no
// I/O: callers pass the time in.
package dialscheduler

import (
	"container/heap"
	"time"
)

// Limits bounds the connections that a Scheduler opens. All fields must be above zero.
type Limits struct {
	// HandshakesPerSecond is the rate at which handshakes begin. A burst may have as many as a tenth of a second
	// allows, and at least one.
	HandshakesPerSecond float64
	// MaxHandshakes is the largest number of concurrent handshakes.
	MaxHandshakes int
	// MaxConns is the largest number of connections that are open or being opened.
	MaxConns int
}

// Request asks for one new connection.
type Request struct {
	// Key identifies the requester. A new request replaces an earlier one with the same key.
	Key uint64
	// Priority is the value of the work that waits for the connection, relative to that of other requests.
	Priority float64
	// Deadline is the time at which the waiting work is given up, on the clock that Next is called with.
	Deadline time.Duration
	// RecentlyActive is true if the requester had a connection recently. Such a request does not queue behind a
	// burst of requesters without one.
	RecentlyActive bool
}

// priorityUnit is how much earlier than its deadline a request ranks for each unit of priority.
const priorityUnit = time.Second

// activeShare and inactiveShare are the weights by which the two queues share dials while both have requests. Of
// three dials, two go to recently active requesters and one to the others, so neither group starves.
const activeShare, inactiveShare = 2, 1

// entry is a request in its queue.
type entry struct {
	Request
	// rank is the deadline less priorityUnit for each unit of priority. The lowest rank is dialled first.
	rank time.Duration
	// seq is the order of arrival and breaks ties of rank.
	seq uint64
	// index is the position in the heap.
	index int
	// queue is the index in Scheduler.queues.
	queue int
}

// requestQueue is a heap of requests, the lowest rank first. It implements heap.Interface.
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

// Scheduler decides which request is dialled next. It is not safe for concurrent use.
type Scheduler struct {
	limits   Limits
	requests map[uint64]*entry
	// queues holds the requests of requesters that were not recently active at index 0, and those of the recently
	// active at index 1.
	queues [2]requestQueue
	seq    uint64
	// tokens is the content of the token bucket for handshakes. It was refilled at refilledAt.
	tokens     float64
	refilledAt time.Duration
	// handshakes counts the dials that have begun and not ended.
	handshakes int
	// conns counts the open connections.
	conns int
	// shareTurn is the position in a round of activeShare+inactiveShare dials.
	shareTurn int

	// ceiling bounds open and opening connections until holdUntil. It is the number that the machine had when it
	// last ran short of a resource.
	ceiling int
	// holdUntil is the time until which ceiling applies.
	holdUntil time.Duration
	// holdSpan is the length of the latest hold.
	holdSpan time.Duration
	// outOfDescriptors is true if the latest shortage was one of file descriptors. Closing a connection then frees
	// one.
	outOfDescriptors bool
}

// New returns a Scheduler without requests and without connections.
func New(limits Limits) *Scheduler {
	return &Scheduler{limits: limits, requests: map[uint64]*entry{}, tokens: max(1, limits.HandshakesPerSecond/10)}
}

// Enqueue adds a request, or replaces the one with the same key.
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

// Remove withdraws a request. It reports whether there was one.
func (s *Scheduler) Remove(key uint64) bool {
	e := s.requests[key]
	if e == nil {
		return false
	}
	delete(s.requests, key)
	heap.Remove(&s.queues[e.queue], e.index)
	return true
}

// Pending returns the number of requests in the queues.
func (s *Scheduler) Pending() int { return len(s.requests) }

// InUse returns the number of open connections and that of handshakes under way.
func (s *Scheduler) InUse() (conns, handshakes int) { return s.conns, s.handshakes }

// Decision tells the caller of Next what to do.
type Decision uint8

const (
	// NoAction means that there is no request, or that as many handshakes are under way as are allowed. In the
	// latter case the caller asks again when one has ended.
	NoAction Decision = iota
	// Dial means that the caller dials for the returned key. It reports the outcome by Opened or Failed.
	Dial
	// RetryLater means that the caller asks again at the returned time. The handshake rate is used up, or the
	// machine is short of a resource.
	RetryLater
	// CloseIdle means that no further connection may be open. The caller closes an idle one and asks again once it
	// is closed, or at the returned time if that is not 0.
	CloseIdle
)

// Next decides what to do at the given time. The key is set for Dial only. The times are on one clock that does
// not go back.
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

// pickQueue returns the index of the queue that the next dial is taken from. At least one queue must have a
// request.
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

// Opened records that a dial has led to an open connection.
func (s *Scheduler) Opened() {
	s.handshakes--
	s.conns++
}

// Failure is the cause for which a dial failed.
type Failure uint8

const (
	// PeerFailed means that the peer did not accept the connection.
	PeerFailed Failure = iota
	// NoDescriptors means that this machine had no file descriptor left.
	NoDescriptors
	// LocalShortage means that this machine lacked another resource.
	LocalShortage
)

// A hold is a span during which no more connections are opened than there were when the machine ran short of a
// resource. Its length doubles from minHold to maxHold while the shortage lasts. The first hold is short because a
// shortage may be over in a moment.
const (
	// minHold is the length of the first hold.
	minHold = 50 * time.Millisecond
	// maxHold is the upper bound of a hold.
	maxHold = 2 * time.Second
)

// Failed records that a dial has failed. If this machine was short of a resource, no more connections than there
// are now are opened during a hold, or until one is closed.
func (s *Scheduler) Failed(now time.Duration, cause Failure) {
	s.handshakes--
	if cause == PeerFailed {
		return
	}
	// The latest shortage is long past.
	if now > s.holdUntil+s.holdSpan {
		s.holdSpan = 0
	}
	if now >= s.holdUntil {
		s.holdSpan = min(max(minHold, 2*s.holdSpan), maxHold)
	}
	s.holdUntil = now + s.holdSpan
	s.ceiling = s.conns + s.handshakes
	s.outOfDescriptors = cause == NoDescriptors
}

// Closed records that an open connection has ended. During a hold, another may be opened in its place.
func (s *Scheduler) Closed() { s.conns-- }
