package platform

import (
	"errors"
	"fmt"
	"time"

	"golang.org/x/sys/unix"

	"whinrun/internal/clock"
	"whinrun/internal/disk"
	"whinrun/internal/engine"
	"whinrun/internal/ledger"
)

// Pauses between tries on a folder that fails. The longest keeps a notice whose record fails within what may pass after the end
// of its message's time.
const (
	repairLeast = 20 * time.Millisecond
	repairMost  = 100 * time.Millisecond
	startWithin = 8 * time.Second // a start gives up then; the platform awaits ten
)

// openLedger opens the ledger.
func openLedger(folder disk.FS, limit int64, c *clock.Process, log func(string, ...any)) (l *ledger.Ledger, err error) {
	err = untilItWorks(log, func() error {
		l, err = ledger.Open(folder, limit, moment(c))
		return err
	})
	return l, err
}

// untilItWorks does something that a start needs, again while it fails by a fault that may pass by itself, for startWithin at
// most: a process that ends for one would be started again, to find the same.
func untilItWorks(log func(string, ...any), do func() error) error {
	begun := clock.StartStopwatch()
	gap := repairLeast
	for {
		err := do()
		if err == nil || !passing(err) || begun.Elapsed() > startWithin {
			return err
		}
		if gap == repairLeast {
			log("tried again until it works, for %v at most: %v", startWithin, err)
		}
		time.Sleep(gap)
		gap = min(2*gap, repairMost)
	}
}

// passing tells whether a fault that keeps a process from starting may pass by itself.
func passing(err error) bool {
	for _, e := range []error{unix.EADDRINUSE, unix.EADDRNOTAVAIL, unix.ENOBUFS} {
		if errors.Is(err, e) {
			return true
		}
	}
	return disk.IsTransient(err)
}

// openFolder makes and opens the folder that lasts.
func openFolder(path string) (disk.FS, error) {
	folder, err := disk.OpenFolder(path)
	if err != nil {
		return nil, fmt.Errorf("state folder: %w", err)
	}
	return folder, nil
}

// moment is now, for the ledger.
func moment(c *clock.Process) ledger.ClockReading {
	return ledger.ClockReading{Boot: c.BootID(), At: c.ToInstant(c.Now()), Wall: clock.Wall().UnixMicro()}
}

// keepStorage brings ledger and kept list up to date again whenever they fail, until the node ends. What waits for the ledger
// goes on then: attempts that need a record, and notices.
func (n *Node) keepStorage(k *keeper) {
	defer close(n.storageDone)
	for {
		select {
		case <-n.quit:
			return
		case <-n.ledger.FailureStarted():
		case <-n.last.broken:
		}
		n.repair(k)
	}
}

// repair tries until the folder works, or the node ends.
func (n *Node) repair(k *keeper) {
	failed := n.ledger.Failing()
	gap := repairLeast
	for {
		failed = failed || n.ledger.Failing()
		err := errors.Join(n.ledger.Repair(), n.last.repair())
		if failed && !n.ledger.Failing() {
			k.recorded()
			n.loop.Enqueue(engine.Input{LedgerWritable: true})
			n.log.Info("ledger", "it is written again")
			failed = false
		}
		if err == nil {
			return
		}
		k.overdue()
		select {
		case <-n.quit:
			return
		case <-time.After(gap):
		}
		gap = min(2*gap, repairMost)
	}
}
