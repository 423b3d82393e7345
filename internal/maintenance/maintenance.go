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
	chores     []Task
	due        []time.Duration
	credit     time.Duration
	at         time.Duration
	OverBudget int // runs that went over the budget, for their deadline
}

// New makes a Planner at a time; every chore is due then.
func New(b Budget, chores []Task, now time.Duration) *Scheduler {
	p := &Scheduler{budget: b, chores: chores, due: make([]time.Duration, len(chores)), credit: b.Burst, at: now}
	for i := range p.due {
		p.due[i] = now
	}
	return p
}

// least is the part of the share that is left under the worst pressure: chores slow down, they do not stop.
const least = 0.1

// Next tells which chore runs now, or -1 and how long to wait. pressure is 0 where the engine is at ease and 1 where its
// rounds take all the time they may.
func (p *Scheduler) Next(now time.Duration, pressure float64) (chore int, wait time.Duration) {
	share := p.budget.Share * max(least, 1-max(0, pressure))
	p.credit = min(p.budget.Burst, p.credit+time.Duration(share*float64(now-p.at)))
	p.at = now
	best, wait := -1, time.Second
	for i, c := range p.chores {
		over := now - p.due[i]
		switch {
		case over < 0:
			wait = min(wait, -over)
			continue
		case c.MaxDelay > 0 && over >= c.MaxDelay:
			if best < 0 || !p.overdue(best, now) || p.sooner(i, best) {
				best = i
			}
			continue
		case c.MaxDelay > 0:
			wait = min(wait, c.MaxDelay-over)
		}
		if best < 0 || !p.overdue(best, now) && p.before(i, best) {
			best = i
		}
	}
	switch {
	case best < 0:
		return -1, wait
	case p.overdue(best, now):
		if p.credit <= 0 {
			p.OverBudget++
		}
		return best, 0
	case p.credit > 0:
		return best, 0
	}
	return -1, min(wait, time.Duration(float64(-p.credit)/share)+time.Millisecond)
}

func (p *Scheduler) overdue(i int, now time.Duration) bool {
	return p.chores[i].MaxDelay > 0 && now-p.due[i] >= p.chores[i].MaxDelay
}

// sooner tells whether one chore's deadline came before another's.
func (p *Scheduler) sooner(i, j int) bool {
	return p.due[i]+p.chores[i].MaxDelay < p.due[j]+p.chores[j].MaxDelay
}

// before tells whether one due chore goes before another: by class, then by when they were due.
func (p *Scheduler) before(i, j int) bool {
	a, b := p.chores[i].Priority, p.chores[j].Priority
	return a < b || a == b && p.due[i] < p.due[j]
}

// Done tells that a run is over, what it cost, and whether there is more of the same to do: then it is due at once.
func (p *Scheduler) Done(chore int, now, cost time.Duration, more bool) {
	p.credit -= cost
	p.due[chore] = now
	if !more {
		p.due[chore] += p.chores[chore].Interval
	}
}
