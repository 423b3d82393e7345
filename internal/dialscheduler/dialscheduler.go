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

// perWorth is how much sooner than its due time a wish ranks for each unit of worth.
const perWorth = time.Second

// busyPart is how many of three openings the busy take at most while strangers wait, too: neither starves.
const busyPart, strangerPart = 2, 1

// item is a wish in its queue.
type item struct {
	Request
	rank  time.Duration
	seq   uint64
	index int
	queue int
}

// queue is a heap of wishes, the most pressing first.
type queue []*item

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].rank < q[j].rank || q[i].rank == q[j].rank && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}
func (q *queue) Push(x any) {
	it := x.(*item)
	it.index = len(*q)
	*q = append(*q, it)
}
func (q *queue) Pop() any {
	n := len(*q) - 1
	it := (*q)[n]
	(*q)[n] = nil
	*q = (*q)[:n]
	return it
}

// Scheduler decides who is opened next.
type Scheduler struct {
	budget  Limits
	wishes  map[uint64]*item
	queues  [2]queue // strangers, busy
	seq     uint64
	tokens  float64
	at      time.Duration
	opening int
	open    int
	turn    int // openings since the last round of shares

	ceiling     int           // connections that the machine was found to bear, while holdUntil is not past
	holdUntil   time.Duration // no more than that are tried until then
	hold        time.Duration // the last such span
	descriptors bool          // it was descriptors that were short: closing a connection makes room
}

// New returns a Planner.
func New(b Limits) *Scheduler {
	return &Scheduler{budget: b, wishes: map[uint64]*item{}, tokens: max(1, b.HandshakesPerSecond/10)}
}

// Enqueue adds a wish, or changes it.
func (p *Scheduler) Enqueue(w Request) {
	p.Remove(w.Key)
	p.seq++
	it := &item{Request: w, rank: w.Deadline - time.Duration(w.Priority*float64(perWorth)), seq: p.seq}
	if w.RecentlyActive {
		it.queue = 1
	}
	p.wishes[w.Key] = it
	heap.Push(&p.queues[it.queue], it)
}

// Remove takes a wish back; it tells whether there was one.
func (p *Scheduler) Remove(key uint64) bool {
	it := p.wishes[key]
	if it == nil {
		return false
	}
	delete(p.wishes, key)
	heap.Remove(&p.queues[it.queue], it.index)
	return true
}

// Pending counts the wishes.
func (p *Scheduler) Pending() int { return len(p.wishes) }

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
func (p *Scheduler) Next(now time.Duration) (a Decision, key uint64, at time.Duration) {
	p.tokens = min(p.tokens+p.budget.HandshakesPerSecond*(now-p.at).Seconds(), max(1, p.budget.HandshakesPerSecond/10))
	p.at = now
	switch {
	case len(p.wishes) == 0 || p.opening >= p.budget.MaxHandshakes:
		return NoAction, 0, 0
	case p.open+p.opening >= p.budget.MaxConns:
		return CloseIdle, 0, 0
	case now < p.holdUntil && p.open+p.opening >= p.ceiling && p.descriptors && p.open > 0:
		return CloseIdle, 0, p.holdUntil
	case now < p.holdUntil && p.open+p.opening >= p.ceiling:
		return RetryLater, 0, p.holdUntil
	case p.tokens < 1:
		return RetryLater, 0, now + time.Duration((1-p.tokens)/p.budget.HandshakesPerSecond*float64(time.Second)) + 1
	}
	q := p.pick()
	it := heap.Pop(&p.queues[q]).(*item)
	delete(p.wishes, it.Key)
	p.tokens--
	p.opening++
	return Dial, it.Key, 0
}

// pick chooses the queue: two of three for the busy, while both wait.
func (p *Scheduler) pick() int {
	switch {
	case len(p.queues[0]) == 0:
		return 1
	case len(p.queues[1]) == 0:
		return 0
	}
	p.turn = (p.turn + 1) % (busyPart + strangerPart)
	if p.turn < busyPart {
		return 1
	}
	return 0
}

// Opened tells that a connection stands.
func (p *Scheduler) Opened() {
	p.opening--
	p.open++
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
	holdLeast = 50 * time.Millisecond
	holdMost  = 2 * time.Second
)

// Failed tells that a connection could not be made. Where this machine was short no more than are open now are tried for a
// while, or until one is closed.
func (p *Scheduler) Failed(now time.Duration, why Failure) {
	p.opening--
	if why == PeerFailed {
		return
	}
	if now > p.holdUntil+p.hold { // the last shortage is long past
		p.hold = 0
	}
	if now >= p.holdUntil {
		p.hold = min(max(holdLeast, 2*p.hold), holdMost)
	}
	p.holdUntil = now + p.hold
	p.ceiling = p.open + p.opening
	p.descriptors = why == NoDescriptors
}

// Closed tells that a connection that stood is gone. While the machine is short another may be tried in its place.
func (p *Scheduler) Closed() { p.open-- }
