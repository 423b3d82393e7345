package service

import (
	"sync"
	"time"

	"whinrun/internal/mailbox"
	"whinrun/internal/maintenance"
)

// background runs the chores that internal/chores plans, one at a time, on one goroutine beside delivery.
type background struct {
	planner *maintenance.Scheduler
	run     []func() (more bool, err error)
	quit    chan struct{}
	done    sync.WaitGroup
}

// startChores plans sealing, upkeep of the trail, expiry of answers and a look at old records.
func (s *Service) startChores(room *mailbox.SharedBroker) {
	b := &background{quit: make(chan struct{})}
	all := []maintenance.Task{{Name: "expire answers", Priority: 1, Interval: 5 * time.Second, MaxDelay: time.Minute}}
	b.run = append(b.run, func() (bool, error) {
		room.Lock()
		defer room.Unlock()
		room.Expire(s.now())
		return false, nil
	})
	if k := s.keeper; k != nil {
		all = append(all, maintenance.Task{Name: "seal", Priority: 0, Interval: s.cfg.Audit.SealEvery, MaxDelay: s.cfg.Audit.SealEvery},
			maintenance.Task{Name: "compress and drop", Priority: 2, Interval: 500 * time.Millisecond, MaxDelay: time.Minute},
			maintenance.Task{Name: "verify", Priority: 3, Interval: 30 * time.Second})
		b.run = append(b.run, func() (bool, error) { return false, k.SealNow() }, k.Maintain, k.VerifyNext)
	}
	b.planner = maintenance.New(maintenance.Budget{Share: s.cfg.BackgroundShare, Burst: 200 * time.Millisecond}, all, s.now())
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
				more, err := b.run[i]()
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
	return 2 * float64(s.loop.MeanRoundTime()) / float64(time.Duration(s.cfg.Control.Tick)*time.Microsecond)
}

func (b *background) stop() {
	if b != nil {
		close(b.quit)
		b.done.Wait()
	}
}
