package engine

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"whinrun/control"
	"whinrun/internal/clock"
)

// Reasons why a message is not accepted. The engine has not held such a message, so submitting it again is harmless.
var (
	// ErrQueueFull means that Limits.MaxQueued is reached.
	ErrQueueFull = errors.New("too many messages arrive at once")

	// ErrTooManyHeld means that Limits.MaxHeld is reached.
	ErrTooManyHeld = errors.New("too many messages are held")

	// ErrStopping means that Loop.Stop was called.
	ErrStopping = errors.New("the dispatcher is stopping")
)

// Limits limits the number of messages that a Loop accepts.
type Limits struct {
	MaxQueued int // The maximum number of messages that wait for the next round.
	MaxHeld   int // The maximum number of messages without a final answer.
}

// Loop runs a Core. It takes inputs from any goroutine and runs the rounds on one.
type Loop struct {
	core   *Core
	clock  clock.Clock
	limits Limits
	nextID atomic.Uint64

	mu             sync.Mutex
	queue          []Input
	queuedMessages int
	open           int // The number of messages that were accepted and are not finished.
	stopping       bool
	drained        chan struct{} // Closed when stopping and open is zero.

	wake      chan struct{}
	quit      chan struct{}
	done      chan struct{}
	stats     atomic.Pointer[Stats]
	meanRound atomic.Int64 // An exponentially weighted moving average, in nanoseconds.
}

// NewLoop returns a Loop. Run starts it.
func NewLoop(core *Core, clock clock.Clock, limits Limits) *Loop {
	l := &Loop{core: core, clock: clock, limits: limits, wake: make(chan struct{}, 1), quit: make(chan struct{}),
		done: make(chan struct{}), drained: make(chan struct{})}
	l.stats.Store(&Stats{})
	return l
}

// Submit submits a message, or returns the reason why it is not accepted. An accepted message gets exactly one final answer, at
// its Origin, unless it is withdrawn. The message's ID is set before the message can be answered.
func (l *Loop) Submit(m *Message) error {
	m.ID = control.MessageID(l.nextID.Add(1))
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.stopping:
		return ErrStopping
	case l.queuedMessages >= l.limits.MaxQueued:
		return ErrQueueFull
	case l.open >= l.limits.MaxHeld:
		return ErrTooManyHeld
	}
	l.queuedMessages++
	l.open++
	l.enqueueLocked(Input{Submit: m})
	return nil
}

// Withdraw withdraws a message whose answer nobody wants any more.
func (l *Loop) Withdraw(id control.MessageID) { l.Enqueue(Input{Withdraw: id}) }

// Enqueue adds an input that is not a message. It never refuses, because the number of such inputs is bounded by the numbers of
// attempts and of accepted messages.
func (l *Loop) Enqueue(in Input) {
	l.mu.Lock()
	l.enqueueLocked(in)
	l.mu.Unlock()
}

// enqueueLocked adds an input to the queue, and wakes Run if the queue was empty. The caller holds the lock.
func (l *Loop) enqueueLocked(in Input) {
	l.queue = append(l.queue, in)
	if len(l.queue) == 1 {
		select {
		case l.wake <- struct{}{}:
		default:
		}
	}
}

// Run runs rounds until Close is called.
func (l *Loop) Run() {
	defer close(l.done)
	var batch []Input
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		if at, ok := l.core.NextTimer(); ok {
			timer.Reset(max(0, time.Duration(at-l.clock.Now())*time.Microsecond))
		} else {
			timer.Reset(time.Hour)
		}
		select {
		case <-l.wake:
		case <-timer.C:
		case <-l.quit:
			return
		}
		l.mu.Lock()
		batch, l.queue = l.queue, batch[:0]
		l.queuedMessages = 0
		l.mu.Unlock()
		before := l.core.stats.finished()
		start := clock.StartStopwatch()
		l.core.Round(l.clock.Now(), batch)
		mean := l.meanRound.Load()
		l.meanRound.Store(mean + (int64(start.Elapsed())-mean)/16)
		clear(batch)
		s := l.core.Stats()
		l.stats.Store(&s)
		l.countFinished(int(s.finished() - before))
	}
}

// finished returns the number of messages that have ended.
func (s Stats) finished() uint64 { return s.Served + s.Refused + s.Failed + s.Withdrawn }

// countFinished subtracts messages that ended from the open ones, and closes the drained channel when a stopping loop has none.
func (l *Loop) countFinished(finished int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open -= finished
	if l.stopping && l.open == 0 {
		select {
		case <-l.drained:
		default:
			close(l.drained)
		}
	}
}

// Stats returns the counts after the last round.
func (l *Loop) Stats() Stats { return *l.stats.Load() }

// MeanRoundTime returns an exponentially weighted moving average of how long rounds take. A round has a weight of 1/16.
func (l *Loop) MeanRoundTime() time.Duration { return time.Duration(l.meanRound.Load()) }

// Stop stops accepting messages. Messages that were accepted are answered within the given time. The returned channel is closed
// when no message is without an answer.
func (l *Loop) Stop(within time.Duration) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.stopping {
		l.stopping = true
		if l.open == 0 {
			close(l.drained)
		}
		l.enqueueLocked(Input{StopWithin: max(1, control.Time(within/time.Microsecond))})
	}
	return l.drained
}

// Close stops Run without waiting for open messages, and returns after Run has returned.
func (l *Loop) Close() {
	close(l.quit)
	<-l.done
}
