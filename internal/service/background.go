package service

import (
	"sync"
	"time"

	"whinrun/internal/mailbox"
	"whinrun/internal/maintenance"
)

// backgroundTasks runs the periodic background tasks one at a time on a goroutine of their own. The planner decides which
// task runs when.
type backgroundTasks struct {
	planner  *maintenance.Scheduler
	tasks    []func() (more bool, err error)
	stopping chan struct{}
	done     sync.WaitGroup
}

// startBackground starts the background tasks. They expire unread answers and, if an audit trail is kept, seal it, compress
// and drop old segments, and verify old records.
func (s *Service) startBackground(mailboxes *mailbox.SharedBroker) {
	background := &backgroundTasks{stopping: make(chan struct{})}
	tasks := []maintenance.Task{{Name: "expire answers", Priority: 1, Interval: 5 * time.Second, MaxDelay: time.Minute}}
	background.tasks = append(background.tasks, func() (bool, error) {
		mailboxes.Lock()
		defer mailboxes.Unlock()
		mailboxes.Expire(s.now())
		return false, nil
	})
	if auditLog := s.auditLog; auditLog != nil {
		tasks = append(tasks, maintenance.Task{Name: "seal", Priority: 0, Interval: s.cfg.Audit.SealEvery, MaxDelay: s.cfg.Audit.SealEvery},
			maintenance.Task{Name: "compress and drop", Priority: 2, Interval: 500 * time.Millisecond, MaxDelay: time.Minute},
			maintenance.Task{Name: "verify", Priority: 3, Interval: 30 * time.Second})
		background.tasks = append(background.tasks, func() (bool, error) { return false, auditLog.SealNow() }, auditLog.Maintain, auditLog.VerifyNext)
	}
	background.planner = maintenance.New(maintenance.Budget{Share: s.cfg.BackgroundShare, Burst: 200 * time.Millisecond}, tasks, s.now())
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
	return 2 * float64(s.loop.MeanRoundTime()) / float64(time.Duration(s.cfg.Control.Tick)*time.Microsecond)
}

// stop ends the background tasks and waits for a running one. It does nothing if b is nil.
func (b *backgroundTasks) stop() {
	if b != nil {
		close(b.stopping)
		b.done.Wait()
	}
}
