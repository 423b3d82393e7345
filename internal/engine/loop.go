package engine

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"whinrun/control"
	"whinrun/internal/clock"
)

// Reasons why a message is not taken. None of these was ever held: handing it in again is harmless.
var (
	ErrQueueFull   = errors.New("too many messages arrive at once")
	ErrTooManyHeld = errors.New("too many messages are held")
	ErrStopping    = errors.New("the dispatcher is stopping")
)

// Limits limit what a Loop takes on.
type Limits struct {
	MaxQueued int // messages that wait for the next round
	MaxHeld   int // messages owed an answer
}

// Loop runs a Core: inputs come from any goroutine, rounds run on one.
type Loop struct {
	core   *Core
	clock  clock.Clock
	bounds Limits
	nextID atomic.Uint64

	mu       sync.Mutex
	queue    []Input
	submits  int
	open     int // messages taken or queued and not yet over
	stopping bool
	empty    chan struct{} // closed when stopping and nothing is open

	wake  chan struct{}
	quit  chan struct{}
	done  chan struct{}
	stats atomic.Pointer[Stats]
	round atomic.Int64 // nanoseconds, decaying mean
}

// NewLoop makes a Loop; Run starts it.
func NewLoop(core *Core, clock clock.Clock, b Limits) *Loop {
	l := &Loop{core: core, clock: clock, bounds: b, wake: make(chan struct{}, 1), quit: make(chan struct{}),
		done: make(chan struct{}), empty: make(chan struct{})}
	l.stats.Store(&Stats{})
	return l
}

// Submit hands a message over, or tells why it is not taken. Once taken it gets exactly one final answer, at its
// Origin, unless it is withdrawn. The id is set before the message can be answered.
func (l *Loop) Submit(m *Message) error {
	m.ID = control.MessageID(l.nextID.Add(1))
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.stopping:
		return ErrStopping
	case l.submits >= l.bounds.MaxQueued:
		return ErrQueueFull
	case l.open >= l.bounds.MaxHeld:
		return ErrTooManyHeld
	}
	l.submits++
	l.open++
	l.put(Input{Submit: m})
	return nil
}

// Withdraw tells that nobody wants a message any more.
func (l *Loop) Withdraw(id control.MessageID) { l.Enqueue(Input{Withdraw: id}) }

// Enqueue adds an input that is not a message. It is never refused: attempts and messages taken bound how many come.
func (l *Loop) Enqueue(in Input) {
	l.mu.Lock()
	l.put(in)
	l.mu.Unlock()
}

func (l *Loop) put(in Input) {
	l.queue = append(l.queue, in)
	if len(l.queue) == 1 {
		select {
		case l.wake <- struct{}{}:
		default:
		}
	}
}

// Run runs rounds until Close.
func (l *Loop) Run() {
	defer close(l.done)
	var batch []Input
	sleep := time.NewTimer(time.Hour)
	defer sleep.Stop()
	for {
		if at, ok := l.core.NextTimer(); ok {
			sleep.Reset(max(0, time.Duration(at-l.clock.Now())*time.Microsecond))
		} else {
			sleep.Reset(time.Hour)
		}
		select {
		case <-l.wake:
		case <-sleep.C:
		case <-l.quit:
			return
		}
		l.mu.Lock()
		batch, l.queue = l.queue, batch[:0]
		l.submits = 0
		l.mu.Unlock()
		before := l.core.stats.ended()
		start := clock.StartStopwatch()
		l.core.Round(l.clock.Now(), batch)
		old := l.round.Load()
		l.round.Store(old + (int64(start.Elapsed())-old)/16)
		clear(batch)
		s := l.core.Stats()
		l.stats.Store(&s)
		l.settle(int(s.ended() - before))
	}
}

func (s Stats) ended() uint64 { return s.Served + s.Refused + s.Failed + s.Withdrawn }

func (l *Loop) settle(ended int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open -= ended
	if l.stopping && l.open == 0 {
		select {
		case <-l.empty:
		default:
			close(l.empty)
		}
	}
}

// Stats returns the counts after the last round.
func (l *Loop) Stats() Stats { return *l.stats.Load() }

// MeanRoundTime is how long rounds take, as a decaying mean over some sixteen of them.
func (l *Loop) MeanRoundTime() time.Duration { return time.Duration(l.round.Load()) }

// Stop takes no more messages; those taken have their answers within the time given. The channel is closed when
// none is owed one any more.
func (l *Loop) Stop(within time.Duration) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.stopping {
		l.stopping = true
		if l.open == 0 {
			close(l.empty)
		}
		l.put(Input{StopWithin: max(1, control.Time(within/time.Microsecond))})
	}
	return l.empty
}

// Close ends Run at once.
func (l *Loop) Close() {
	close(l.quit)
	<-l.done
}
