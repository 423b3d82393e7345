package audit

import (
	"fmt"
	"sync"
	"time"

	"whinrun/internal/clock"
	"whinrun/internal/disk"
	"whinrun/internal/logstore"
	"whinrun/internal/logstore/plan"
)

// Config of a Keeper.
type Config struct {
	Folder    string // empty: no trail is kept
	Policy    plan.Policy
	Buffer    int           // bytes that wait for a disk that fails
	SealEvery time.Duration // a seal this soon after a record
	FS        disk.FS       // for tests: the files are here, and only the keys in Folder
}

// Recorder owns the trail of a running dispatcher: it writes, syncs and seals on a goroutine of its own, so that no
// answer waits for the disk.
type Recorder struct {
	*Trail
	store *logstore.Store
	now   func() time.Duration
	log   func(format string, a ...any)
	bad   func(error) // told when the disk begins to fail, and with nil when it works again

	mu    sync.Mutex
	queue []*Record // not encoded yet
	most  int       // of them

	wake chan struct{}
	quit chan struct{}
	done sync.WaitGroup
}

// Open opens the folder and goes on with its trail. now is the dispatcher's clock.
func Open(cfg Config, now func() time.Duration, log func(string, ...any), bad func(error)) (*Recorder, error) {
	folder, err := disk.OpenFolder(cfg.Folder)
	if err != nil {
		return nil, fmt.Errorf("audit: %w", err)
	}
	key, err := OpenKey(cfg.Folder)
	if err != nil {
		return nil, fmt.Errorf("audit: %w", err)
	}
	if cfg.FS != nil {
		return open(cfg, cfg.FS, key, now, log, bad)
	}
	return open(cfg, folder, key, now, log, bad)
}

func open(cfg Config, fs disk.FS, key *Key, now func() time.Duration, log func(string, ...any), bad func(error)) (*Recorder, error) {
	store, rep, err := logstore.Open(fs, logstore.Options{Policy: cfg.Policy, MaxPendingBytes: cfg.Buffer, Labels: Labels, WallClock: clock.Wall})
	if err != nil {
		return nil, fmt.Errorf("audit: %w", err)
	}
	for _, p := range rep.Problems {
		log("the trail: %s", p)
	}
	if rep.TornBytes > 0 {
		log("the trail: %d bytes at its end were not whole; they are kept beside it", rep.TornBytes)
	}
	trail, err := Resume(store, key, clock.Wall)
	if err != nil {
		_ = store.Close(now())
		return nil, err
	}
	k := &Recorder{Trail: trail, store: store, now: now, log: log, bad: bad, most: cfg.Buffer / 128, wake: make(chan struct{}, 1), quit: make(chan struct{})}
	k.done.Go(k.run)
	return k, nil
}

// Enqueue takes a record, which is encoded and hashed on the Keeper's goroutine: the engine's has better to do.
func (k *Recorder) Enqueue(r *Record) {
	r.At = clock.Wall().UnixMicro()
	k.mu.Lock()
	full := len(k.queue) >= k.most
	if !full {
		k.queue = append(k.queue, r)
	}
	first := len(k.queue) == 1
	k.mu.Unlock()
	if full {
		k.lose()
	}
	if first {
		k.nudge()
	}
}

// take writes down what has been put.
func (k *Recorder) take(now time.Duration) {
	k.mu.Lock()
	queue := k.queue
	k.queue = nil
	k.mu.Unlock()
	for _, r := range queue {
		k.Write(now, r)
	}
}

// Close seals and writes all, and ends the Keeper.
func (k *Recorder) Close() error {
	close(k.quit)
	k.done.Wait()
	k.take(k.now())
	if err := k.Seal(k.now()); err != nil {
		k.log("the trail can't be sealed: %v", err)
	}
	return k.store.Close(k.now())
}

// Kill ends the Keeper as a crash would: what waits is not written.
func (k *Recorder) Kill() {
	close(k.quit)
	k.done.Wait()
	k.store.Abandon()
}

// Key signs the trail, and receipts with it.
func (k *Recorder) Key() *Key { return k.key }

// UnfetchedReceipts reads which receipts are still owed (see there).
func (k *Recorder) UnfetchedReceipts(since time.Time) ([]*Record, []*UnfetchedReceipt, error) {
	return UnfetchedReceipts(k.store, since)
}

// Failing returns the error of a disk that fails, nil while it works.
func (k *Recorder) Failing() error { return k.store.Failing() }

// Now is the dispatcher's clock.
func (k *Recorder) Now() time.Duration { return k.now() }

// Usage is what the trail takes on disk.
func (k *Recorder) Usage() logstore.Usage { return k.store.Usage() }

func (k *Recorder) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	failing := false
	for {
		now := k.now()
		k.take(now)
		if at, ok := k.store.NextCommit(); ok && at <= now {
			failing = k.commit(now, failing)
		}
		wait := time.Hour
		if at, ok := k.store.NextCommit(); ok {
			wait = max(at-k.now(), time.Millisecond)
		}
		timer.Reset(wait)
		select {
		case <-timer.C:
		case <-k.wake:
		case <-k.quit:
			return
		}
	}
}

// SealNow seals what was written since the last seal, while the disk works.
func (k *Recorder) SealNow() error {
	if k.Failing() != nil {
		return nil
	}
	err := k.Seal(k.now())
	k.nudge()
	return err
}

// Maintain does one piece of the store's upkeep, while the disk works.
func (k *Recorder) Maintain() (more bool, err error) {
	if k.Failing() != nil {
		return false, nil
	}
	return k.store.Maintain()
}

// VerifyNext reads one closed file of the trail again, in turns: a disk that loses bits shows before they are asked for.
func (k *Recorder) VerifyNext() (more bool, err error) { return false, k.store.VerifyNext() }

// nudge has the Keeper look at once.
func (k *Recorder) nudge() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// commit writes what waits, and tells of a disk that begins or ceases to fail.
func (k *Recorder) commit(now time.Duration, was bool) (failing bool) {
	err := k.store.Commit(now)
	if err != nil && !was {
		k.log("the trail can't be written, no new messages are taken: %v", err)
		k.bad(err)
	} else if err == nil && was {
		k.log("the trail is written again; %d records are missing", k.Lost())
		k.bad(nil)
	}
	return err != nil
}
