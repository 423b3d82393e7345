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

// Config is the configuration of a Recorder.
type Config struct {
	// Folder is the folder of the trail and its keys. If it is empty, no trail is kept.
	Folder string
	// Policy says when records are synced and how long they are kept.
	Policy plan.Policy
	// Buffer is the maximum size of the records that wait for the disk, in bytes.
	Buffer int
	// SealEvery is the time between seals. The caller of SealNow observes it.
	SealEvery time.Duration
	// FS replaces the folder in tests. Only the keys are then stored in Folder.
	FS disk.FS
}

// Recorder writes the trail of a running dispatcher. It encodes, writes and syncs records on a goroutine of its own, so that no answer
// waits for the disk.
type Recorder struct {
	*Trail
	store             *logstore.Store
	now               func() time.Duration
	log               func(format string, a ...any)
	onDiskStateChange func(error) // called with the error when the disk starts to fail, and with nil when it works again

	mu       sync.Mutex
	queue    []queuedRecord // records that are not encoded yet
	maxQueue int            // maximum length of queue

	waiting    []func()      // functions of AfterRecord whose records are not on disk; used by run only
	lastCommit time.Duration // when the last commit began; used by run only

	wakeup chan struct{}
	quit   chan struct{}
	done   sync.WaitGroup
}

// queuedRecord is a record to be written, or a function to be called once all records before it are on disk.
type queuedRecord struct {
	record *Record
	then   func()
}

// Open opens the trail in a folder and continues it. It creates the folder and a key if they do not exist. now is the clock of the
// dispatcher, and log takes messages for the operator. onDiskStateChange is called with the error when the disk starts to fail, and
// with nil when it works again.
func Open(cfg Config, now func() time.Duration, log func(string, ...any), onDiskStateChange func(error)) (*Recorder, error) {
	folder, err := disk.OpenFolder(cfg.Folder)
	if err != nil {
		return nil, fmt.Errorf("audit: %w", err)
	}
	key, err := OpenKey(cfg.Folder)
	if err != nil {
		return nil, fmt.Errorf("audit: %w", err)
	}
	if cfg.FS != nil {
		return openRecorder(cfg, cfg.FS, key, now, log, onDiskStateChange)
	}
	return openRecorder(cfg, folder, key, now, log, onDiskStateChange)
}

// openRecorder opens the trail in fs and starts the goroutine that writes it.
func openRecorder(cfg Config, fs disk.FS, key *Key, now func() time.Duration, log func(string, ...any), onDiskStateChange func(error)) (*Recorder, error) {
	store, report, err := logstore.Open(fs, logstore.Options{Policy: cfg.Policy, MaxPendingBytes: cfg.Buffer, Labels: Labels, WallClock: clock.Wall})
	if err != nil {
		return nil, fmt.Errorf("audit: %w", err)
	}
	for _, p := range report.Problems {
		log("the trail: %s", p)
	}
	if report.TornBytes > 0 {
		log("the trail: %d incomplete bytes at its end were cut off; they are kept in a .torn file", report.TornBytes)
	}
	trail, err := Resume(store, key, clock.Wall)
	if err != nil {
		_ = store.Close(now())
		return nil, err
	}
	k := &Recorder{Trail: trail, store: store, now: now, log: log, onDiskStateChange: onDiskStateChange, maxQueue: cfg.Buffer / 128, wakeup: make(chan struct{}, 1), quit: make(chan struct{})}
	k.done.Go(k.run)
	return k, nil
}

// Enqueue adds a record to the queue and sets its time. The Recorder's goroutine encodes and hashes the record, so as not to delay the
// engine. If the queue is full, the record is lost and counted.
func (k *Recorder) Enqueue(r *Record) {
	r.At = clock.Wall().UnixMicro()
	k.mu.Lock()
	full := len(k.queue) >= k.maxQueue
	if !full {
		k.queue = append(k.queue, queuedRecord{record: r})
	}
	first := len(k.queue) == 1
	k.mu.Unlock()
	if full {
		k.countLost()
	}
	if first {
		k.signal()
	}
}

// AfterRecord has f called once the records that were enqueued so far are on disk, on the Recorder's goroutine, which it must not block. While
// the disk fails f waits. It is not called if the Recorder is closed or killed before that.
func (k *Recorder) AfterRecord(f func()) {
	k.mu.Lock()
	k.queue = append(k.queue, queuedRecord{then: f})
	first := len(k.queue) == 1
	k.mu.Unlock()
	if first {
		k.signal()
	}
}

// writeQueued writes the queued records to the trail.
func (k *Recorder) writeQueued(now time.Duration) {
	k.mu.Lock()
	queue := k.queue
	k.queue = nil
	k.mu.Unlock()
	for _, q := range queue {
		if q.then != nil {
			k.waiting = append(k.waiting, q.then)
		} else {
			k.Write(now, q.record)
		}
	}
}

// waitingInterval is the shortest time between two commits of which the second one is for functions that wait. Clients wait with them.
const waitingInterval = 2 * time.Millisecond

// nextCommit returns when the pending records are to be committed. The second result is false if there are none.
func (k *Recorder) nextCommit() (time.Duration, bool) {
	at, ok := k.store.NextCommit()
	if ok && len(k.waiting) > 0 && k.store.Failing() == nil {
		at = min(at, k.lastCommit+waitingInterval)
	}
	return at, ok
}

// callWaiting calls the functions whose records are on disk.
func (k *Recorder) callWaiting() {
	for _, f := range k.waiting {
		f()
	}
	clear(k.waiting)
	k.waiting = k.waiting[:0]
}

// Close stops the goroutine, writes and seals all records and closes the store.
func (k *Recorder) Close() error {
	close(k.quit)
	k.done.Wait()
	k.writeQueued(k.now())
	if err := k.Seal(k.now()); err != nil {
		k.log("the trail can't be sealed: %v", err)
	}
	return k.store.Close(k.now())
}

// Kill closes the Recorder without writing pending records, as if the process had crashed.
func (k *Recorder) Kill() {
	close(k.quit)
	k.done.Wait()
	k.store.Abandon()
}

// Key returns the key that signs seals and receipts.
func (k *Recorder) Key() *Key { return k.key }

// Receipts reads what the trail tells of receipts; see ReadReceipts.
func (k *Recorder) Receipts(since time.Time) (Receipts, error) { return ReadReceipts(k.store, since) }

// Flush waits until the records that were enqueued so far are on disk. It returns early, with an error, if the disk fails or that takes
// longer than the given time.
func (k *Recorder) Flush(within time.Duration) error {
	k.store.RequestCommit()
	k.signal()
	for deadline := k.now() + within; ; time.Sleep(time.Millisecond) {
		if err := k.Failing(); err != nil {
			return err
		}
		k.mu.Lock()
		queued := len(k.queue)
		k.mu.Unlock()
		if _, pending := k.store.NextCommit(); queued == 0 && !pending {
			return nil
		}
		if k.now() > deadline {
			return fmt.Errorf("audit: records are not on disk after %v", within)
		}
	}
}

// Failing returns the error of the disk while it fails, and nil while it works.
func (k *Recorder) Failing() error { return k.store.Failing() }

// Now returns the time on the dispatcher's clock.
func (k *Recorder) Now() time.Duration { return k.now() }

// Usage returns what the trail holds on disk.
func (k *Recorder) Usage() logstore.Usage { return k.store.Usage() }

// run writes and commits records until Close or Kill.
func (k *Recorder) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	failing := false
	for {
		now := k.now()
		k.writeQueued(now)
		if at, ok := k.nextCommit(); ok && at <= now {
			failing = k.commit(now, failing)
		}
		if _, pending := k.store.NextCommit(); !pending {
			k.callWaiting()
		}
		wait := time.Hour
		if at, ok := k.nextCommit(); ok {
			wait = max(at-k.now(), time.Millisecond)
		}
		timer.Reset(wait)
		select {
		case <-timer.C:
		case <-k.wakeup:
		case <-k.quit:
			return
		}
	}
}

// SealNow seals the records that were written since the last seal. It does nothing while the disk fails.
func (k *Recorder) SealNow() error {
	if k.Failing() != nil {
		return nil
	}
	err := k.Seal(k.now())
	k.signal()
	return err
}

// Maintain does one step of the store's maintenance. more says that there may be more to do. It does nothing while the disk fails.
func (k *Recorder) Maintain() (more bool, err error) {
	if k.Failing() != nil {
		return false, nil
	}
	return k.store.Maintain()
}

// VerifyNext reads one closed segment of the trail again, the next one at each call, to detect bit rot early. more is always false.
func (k *Recorder) VerifyNext() (more bool, err error) { return false, k.store.VerifyNext() }

// signal wakes the goroutine up.
func (k *Recorder) signal() {
	select {
	case k.wakeup <- struct{}{}:
	default:
	}
}

// commit commits the pending records. It reports when the disk starts or stops failing. wasFailing and failing say whether it failed
// before and does so now.
func (k *Recorder) commit(now time.Duration, wasFailing bool) (failing bool) {
	k.lastCommit = now
	err := k.store.Commit(now)
	if err != nil && !wasFailing {
		k.log("the trail can't be written, no new messages are accepted: %v", err)
		k.onDiskStateChange(err)
	} else if err == nil && wasFailing {
		k.log("the trail can be written again; %d records were lost", k.Lost())
		k.onDiskStateChange(nil)
	}
	return err != nil
}
