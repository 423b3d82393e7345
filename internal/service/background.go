package service

import (
	"sync"
	"time"

	"whinrun/internal/chores"
	"whinrun/internal/mailbox"
)

// backgroundTasks runs the chores that internal/chores plans, one at a time, on one goroutine beside delivery.
type backgroundTasks struct {
	planner *chores.Planner
	tasks   []func() (more bool, err error)
	quit    chan struct{}
	done    sync.WaitGroup
}

// startBackground plans sealing, upkeep of the trail, expiry of answers and a look at old records.
func (s *Service) startBackground(room *mailbox.Room) {
	b := &backgroundTasks{quit: make(chan struct{})}
	all := []chores.Chore{{Name: "expire answers", Class: 1, Every: 5 * time.Second, Deadline: time.Minute}}
	b.tasks = append(b.tasks, func() (bool, error) {
		room.Lock()
		defer room.Unlock()
		room.Expire(s.now())
		return false, nil
	})
	if k := s.auditLog; k != nil {
		all = append(all, chores.Chore{Name: "seal", Class: 0, Every: s.cfg.Audit.SealEvery, Deadline: s.cfg.Audit.SealEvery},
			chores.Chore{Name: "compress and drop", Class: 2, Every: 500 * time.Millisecond, Deadline: time.Minute},
			chores.Chore{Name: "verify", Class: 3, Every: 30 * time.Second})
		b.tasks = append(b.tasks, func() (bool, error) { return false, k.SealNow() }, k.Tend, k.VerifyNext)
	}
	b.planner = chores.New(chores.Budget{Share: s.cfg.BackgroundShare, Burst: 200 * time.Millisecond}, all, s.now())
	s.background = b
	b.done.Go(func() {
		timer := time.NewTimer(0)
		defer timer.Stop()
		for {
			select {
			case <-b.quit:
				return
			case <-timer.C:
			}
			i, wait := b.planner.Next(s.now(), s.pressure())
			if i >= 0 {
				start := s.now()
				more, err := b.tasks[i]()
				if err != nil {
					s.log.Warn("background", "%s: %v", all[i].Name, err)
				}
				b.planner.Done(i, s.now(), s.now()-start, more && err == nil)
			}
			timer.Reset(wait)
		}
	})
}

// pressure is 1 where a round of the engine takes half a tick: then events begin to wait.
func (s *Service) pressure() float64 {
	return 2 * float64(s.loop.RoundTime()) / float64(time.Duration(s.cfg.Control.Tick)*time.Microsecond)
}

func (b *backgroundTasks) stop() {
	if b != nil {
		close(b.quit)
		b.done.Wait()
	}
}
