package service

import (
	"sync"
	"time"

	"whinrun/internal/chores"
	"whinrun/internal/mailbox"
)

// backgroundTasks runs the periodic background tasks one at a time on a goroutine of their own. The planner decides which
// task runs when.
type backgroundTasks struct {
	planner  *chores.Planner
	tasks    []func() (more bool, err error)
	stopping chan struct{}
	done     sync.WaitGroup
}

// startBackground starts the background tasks. They expire unread answers and, if an audit trail is kept, seal it, compress
// and drop old segments, and verify old records.
func (s *Service) startBackground(mailboxes *mailbox.Room) {
	background := &backgroundTasks{stopping: make(chan struct{})}
	tasks := []chores.Chore{{Name: "expire answers", Class: 1, Every: 5 * time.Second, Deadline: time.Minute}}
	background.tasks = append(background.tasks, func() (bool, error) {
		mailboxes.Lock()
		defer mailboxes.Unlock()
		mailboxes.Expire(s.now())
		return false, nil
	})
	if auditLog := s.auditLog; auditLog != nil {
		tasks = append(tasks, chores.Chore{Name: "seal", Class: 0, Every: s.cfg.Audit.SealEvery, Deadline: s.cfg.Audit.SealEvery},
			chores.Chore{Name: "compress and drop", Class: 2, Every: 500 * time.Millisecond, Deadline: time.Minute},
			chores.Chore{Name: "verify", Class: 3, Every: 30 * time.Second})
		background.tasks = append(background.tasks, func() (bool, error) { return false, auditLog.SealNow() }, auditLog.Tend, auditLog.VerifyNext)
	}
	background.planner = chores.New(chores.Budget{Share: s.cfg.BackgroundShare, Burst: 200 * time.Millisecond}, tasks, s.now())
	s.background = background
	background.done.Go(func() {
		timer := time.NewTimer(0)
		defer timer.Stop()
		for {
			select {
			case <-background.stopping:
				return
			case <-timer.C:
			}
			task, wait := background.planner.Next(s.now(), s.pressure())
			if task >= 0 {
				start := s.now()
				more, err := background.tasks[task]()
				if err != nil {
					s.log.Warn("background", "%s: %v", tasks[task].Name, err)
				}
				background.planner.Done(task, s.now(), s.now()-start, more && err == nil)
			}
			timer.Reset(wait)
		}
	})
}

// pressure returns the load of the engine. It is 1 if a round of the engine takes half a tick, which is when events begin to
// wait.
func (s *Service) pressure() float64 {
	return 2 * float64(s.loop.RoundTime()) / float64(time.Duration(s.cfg.Control.Tick)*time.Microsecond)
}

// stop ends the background tasks and waits for a running one. It does nothing if b is nil.
func (b *backgroundTasks) stop() {
	if b != nil {
		close(b.stopping)
		b.done.Wait()
	}
}
