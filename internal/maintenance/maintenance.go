// Package maintenance plans background work (sealing, compression, retention, expiry, verification) beside delivery: by
// class, within a share of one core, less where the engine is under pressure, and never past a chore's deadline. It is
// deterministic and free of I/O: the time, the pressure and what a chore cost are passed in.
package maintenance

import "time"

// Task is one kind of work.
type Task struct {
	Name     string
	Priority int           // lower goes first
	Interval time.Duration // from the end of one run until the next is due
	MaxDelay time.Duration // a run this long after it was due goes whatever the budget; 0: it can wait for ever
}

// Budget bounds all chores together.
type Budget struct {
	Share float64       // of one core
	Burst time.Duration // of work that may be saved up
}

// Scheduler decides what runs next.
type Scheduler struct {
	budget     Budget
	tasks      []Task
	due        []time.Duration
	credit     time.Duration
	updated    time.Duration
	OverBudget int // runs that went over the budget, for their deadline
}

// New makes a Planner at a time; every chore is due then.
func New(b Budget, tasks []Task, now time.Duration) *Scheduler {
	s := &Scheduler{budget: b, tasks: tasks, due: make([]time.Duration, len(tasks)), credit: b.Burst, updated: now}
	for i := range s.due {
		s.due[i] = now
	}
	return s
}

// minShareFactor is the part of the share that is left under the worst pressure: chores slow down, they do not stop.
const minShareFactor = 0.1

// Next tells which chore runs now, or -1 and how long to wait. pressure is 0 where the engine is at ease and 1 where its
// rounds take all the time they may.
func (s *Scheduler) Next(now time.Duration, pressure float64) (task int, wait time.Duration) {
	share := s.budget.Share * max(minShareFactor, 1-max(0, pressure))
	s.credit = min(s.budget.Burst, s.credit+time.Duration(share*float64(now-s.updated)))
	s.updated = now
	best, wait := -1, time.Second
	for i, c := range s.tasks {
		lateness := now - s.due[i]
		switch {
		case lateness < 0:
			wait = min(wait, -lateness)
			continue
		case c.MaxDelay > 0 && lateness >= c.MaxDelay:
			if best < 0 || !s.overdue(best, now) || s.deadlineBefore(i, best) {
				best = i
			}
			continue
		case c.MaxDelay > 0:
			wait = min(wait, c.MaxDelay-lateness)
		}
		if best < 0 || !s.overdue(best, now) && s.precedes(i, best) {
			best = i
		}
	}
	switch {
	case best < 0:
		return -1, wait
	case s.overdue(best, now):
		if s.credit <= 0 {
			s.OverBudget++
		}
		return best, 0
	case s.credit > 0:
		return best, 0
	}
	return -1, min(wait, time.Duration(float64(-s.credit)/share)+time.Millisecond)
}

func (s *Scheduler) overdue(i int, now time.Duration) bool {
	return s.tasks[i].MaxDelay > 0 && now-s.due[i] >= s.tasks[i].MaxDelay
}

// deadlineBefore tells whether one chore's deadline came before another's.
func (s *Scheduler) deadlineBefore(i, j int) bool {
	return s.due[i]+s.tasks[i].MaxDelay < s.due[j]+s.tasks[j].MaxDelay
}

// precedes tells whether one due chore goes before another: by class, then by when they were due.
func (s *Scheduler) precedes(i, j int) bool {
	a, b := s.tasks[i].Priority, s.tasks[j].Priority
	return a < b || a == b && s.due[i] < s.due[j]
}

// Done tells that a run is over, what it cost, and whether there is more of the same to do: then it is due at once.
func (s *Scheduler) Done(task int, now, cost time.Duration, more bool) {
	s.credit -= cost
	s.due[task] = now
	if !more {
		s.due[task] += s.tasks[task].Interval
	}
}
