// Package maintenance schedules background tasks (sealing, compression, retention, expiry, verification) that
// run alongside delivery. Tasks run by priority within a CPU budget, which is a share of one core and shrinks while the engine is under
// pressure. A task whose maximum delay has passed runs regardless of the budget. The package is deterministic and does no
// I/O: the caller passes in the time, the pressure and the cost of each run.
package maintenance

import "time"

// Task is one kind of background work that runs again and again.
type Task struct {
	// Name identifies the task to the caller.
	Name string
	// Priority orders tasks that are due. A lower number runs first.
	Priority int
	// Interval is the time from the end of one run until the next run is due.
	Interval time.Duration
	// MaxDelay is how long a due run may wait. After that, it runs regardless of the budget. 0 means no limit.
	MaxDelay time.Duration
}

// Budget limits the CPU time of all tasks together, as a token bucket.
type Budget struct {
	// Share is the share of one core that the tasks may use, 1 for a whole core.
	Share float64
	// Burst is the CPU time that may accumulate while no task runs.
	Burst time.Duration
}

// Scheduler decides which task runs next. It is not safe for concurrent use.
type Scheduler struct {
	budget  Budget
	tasks   []Task
	due     []time.Duration
	credit  time.Duration
	updated time.Duration
	// OverBudget counts the runs that started without budget because their maximum delay had passed.
	OverBudget int
}

// New returns a Scheduler that starts at now with a full budget. Every task is due at now.
func New(b Budget, tasks []Task, now time.Duration) *Scheduler {
	s := &Scheduler{budget: b, tasks: tasks, due: make([]time.Duration, len(tasks)), credit: b.Burst, updated: now}
	for i := range s.due {
		s.due[i] = now
	}
	return s
}

// minShareFactor is the factor that remains of Budget.Share under full pressure. Tasks slow down but never stop.
const minShareFactor = 0.1

// Next returns the index of the task that runs now, or -1 and the time to wait before the next call. The wait is at most
// one second. pressure is 0 when the engine is idle and 1 when its rounds take all the time that they may. Values above 1
// count as 1.
func (s *Scheduler) Next(now time.Duration, pressure float64) (task int, wait time.Duration) {
	share := s.budget.Share * max(minShareFactor, 1-max(0, pressure))
	s.credit = min(s.budget.Burst, s.credit+time.Duration(share*float64(now-s.updated)))
	s.updated = now
	best, wait := -1, time.Second
	for i, t := range s.tasks {
		lateness := now - s.due[i]
		switch {
		case lateness < 0:
			wait = min(wait, -lateness)
			continue
		case t.MaxDelay > 0 && lateness >= t.MaxDelay:
			if best < 0 || !s.overdue(best, now) || s.deadlineBefore(i, best) {
				best = i
			}
			continue
		case t.MaxDelay > 0:
			wait = min(wait, t.MaxDelay-lateness)
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

// overdue reports whether the maximum delay of a task has passed.
func (s *Scheduler) overdue(i int, now time.Duration) bool {
	return s.tasks[i].MaxDelay > 0 && now-s.due[i] >= s.tasks[i].MaxDelay
}

// deadlineBefore reports whether the maximum delay of task i ends before that of task j.
func (s *Scheduler) deadlineBefore(i, j int) bool {
	return s.due[i]+s.tasks[i].MaxDelay < s.due[j]+s.tasks[j].MaxDelay
}

// precedes reports whether due task i runs before due task j. It compares their priorities, then their due times.
func (s *Scheduler) precedes(i, j int) bool {
	a, b := s.tasks[i].Priority, s.tasks[j].Priority
	return a < b || a == b && s.due[i] < s.due[j]
}

// Done records that a run of a task ended at now and charges its CPU time to the budget. more reports that work is left:
// then the task is due again at once, otherwise after its interval.
func (s *Scheduler) Done(task int, now, cost time.Duration, more bool) {
	s.credit -= cost
	s.due[task] = now
	if !more {
		s.due[task] += s.tasks[task].Interval
	}
}
