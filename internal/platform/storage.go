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

// Times of retries after storage and start failures.
const (
	// retryBackoffMin is the first delay between two tries.
	retryBackoffMin = 20 * time.Millisecond
	// retryBackoffMax is the longest delay between two tries. It keeps a notice whose record fails within the
	// time that may pass after the deadline of its message.
	retryBackoffMax = 100 * time.Millisecond
	// startRetryLimit is how long a start is retried. The platform waits 10 s for a start.
	startRetryLimit = 8 * time.Second
)

// openLedger opens the ledger in a directory that may hold limit bytes. It retries transient errors.
func openLedger(folder disk.FS, limit int64, c *clock.Process, log func(string, ...any)) (l *ledger.Ledger, err error) {
	err = retryTransient(log, func() error {
		l, err = ledger.Open(folder, limit, ledgerNow(c))
		return err
	})
	return l, err
}

// retryTransient calls op until it succeeds, fails with an error that is not transient, or startRetryLimit
// has passed. If the process ended on a transient error instead, it would be restarted and meet the same
// error.
func retryTransient(log func(string, ...any), op func() error) error {
	stopwatch := clock.StartStopwatch()
	backoff := retryBackoffMin
	for {
		err := op()
		if err == nil || !isTransient(err) || stopwatch.Elapsed() > startRetryLimit {
			return err
		}
		if backoff == retryBackoffMin {
			log("tried again until it works, for %v at most: %v", startRetryLimit, err)
		}
		time.Sleep(backoff)
		backoff = min(2*backoff, retryBackoffMax)
	}
}

// isTransient reports whether an error that prevents a start may pass by itself.
func isTransient(err error) bool {
	for _, e := range []error{unix.EADDRINUSE, unix.EADDRNOTAVAIL, unix.ENOBUFS} {
		if errors.Is(err, e) {
			return true
		}
	}
	return disk.IsTransient(err)
}

// openStateDir opens the state directory and creates it if it does not exist.
func openStateDir(path string) (disk.FS, error) {
	folder, err := disk.OpenFolder(path)
	if err != nil {
		return nil, fmt.Errorf("state directory: %w", err)
	}
	return folder, nil
}

// ledgerNow returns the present time in the form of the ledger.
func ledgerNow(c *clock.Process) ledger.ClockReading {
	return ledger.ClockReading{Boot: c.BootID(), At: c.ToInstant(c.Now()), Wall: clock.Wall().UnixMicro()}
}

// maintainStorage repairs the ledger and the list cache whenever they fail, until the node ends. Attempts
// that need a record and notices wait for the ledger until then.
func (n *Node) maintainStorage(adapter *ledgerAdapter) {
	defer close(n.storageDone)
	for {
		select {
		case <-n.quit:
			return
		case <-n.ledger.FailureStarted():
		case <-n.listCache.failed:
		}
		n.repairStorage(adapter)
	}
}

// repairStorage retries until the state directory can be written again, or the node ends.
func (n *Node) repairStorage(adapter *ledgerAdapter) {
	failed := n.ledger.Failing()
	backoff := retryBackoffMin
	for {
		failed = failed || n.ledger.Failing()
		err := errors.Join(n.ledger.Repair(), n.listCache.repair())
		if failed && !n.ledger.Failing() {
			adapter.sendRecorded()
			n.loop.Enqueue(engine.Input{LedgerWritable: true})
			n.log.Info("ledger", "it is written again")
			failed = false
		}
		if err == nil {
			return
		}
		adapter.sendExpired()
		select {
		case <-n.quit:
			return
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, retryBackoffMax)
	}
}
