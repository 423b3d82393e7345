package engine

import (
	"container/heap"

	"whinrun/control"
)

// This file contains the timers of the library and the time limits of attempts.

// NextTimer returns when the next timer is due. ok is false if no timer is set.
func (c *Core) NextTimer() (at control.Time, ok bool) {
	if len(c.timers) == 0 {
		return 0, false
	}
	return c.timers[0].due, true
}

// timer is either a timer that the decision library requested, or a time limit of an attempt. An attempt has a timer for WriteBefore and
// one for Deadline.
type timer struct {
	due   control.Time
	token uint64 // The token of a timer that the decision library requested.
	seq   uint64 // The Seq of the attempt, or zero for a timer of the library.
}

// timerHeap is a heap of timers, ordered by due time and then by seq.
type timerHeap []timer

func (t timerHeap) Len() int { return len(t) }

func (t timerHeap) Less(i, j int) bool {
	return t[i].due < t[j].due || t[i].due == t[j].due && t[i].seq < t[j].seq
}

func (t timerHeap) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

func (t *timerHeap) Push(x any) { *t = append(*t, x.(timer)) }

func (t *timerHeap) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	*t = (*t)[:last]
	return x
}

// fireTimers handles the timers that are due.
func (c *Core) fireTimers() {
	for len(c.timers) > 0 && c.timers[0].due <= c.now {
		t := heap.Pop(&c.timers).(timer)
		if t.seq == 0 {
			c.events = append(c.events, control.Event{Kind: control.TimerFired, TimerToken: t.token})
		} else if a := c.inFlight[t.seq]; a != nil && t.due < a.Deadline {
			c.transport.CancelUnsent(a)
		} else if a != nil {
			c.transport.Cancel(a, TimedOut)
		}
	}
}

// compactTimers removes the timers of finished messages and attempts, once at least 1024 messages have ended since the last
// time and they are half as many as the timers. Otherwise the timers of messages with long lifetimes would accumulate when these
// are answered quickly.
func (c *Core) compactTimers() {
	if c.staleTimers < 1024 || c.staleTimers < len(c.timers)/2 {
		return
	}
	c.staleTimers = 0
	keep := c.timers[:0]
	for _, t := range c.timers {
		if t.seq != 0 && c.inFlight[t.seq] == nil || t.token > 0 && c.messages[control.MessageID(t.token-1)] == nil {
			continue
		}
		keep = append(keep, t)
	}
	c.timers = keep
	heap.Init(&c.timers)
}
