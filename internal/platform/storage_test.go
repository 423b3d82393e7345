package platform

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"whinrun/internal/clock"
	"whinrun/internal/disk"
	"whinrun/internal/testbed"
)

// failWrites makes every change of a directory fail with an error.
func failWrites(fs *disk.Memory, why error) {
	fs.SetFail(func(op, name string) error {
		if op == "open" || op == "list" {
			return nil
		}
		return fmt.Errorf("%s %s: %w", op, name, why)
	})
}

// awaitLogLine waits until the log contains a text.
func (d *testDispatcher) awaitLogLine(text string) {
	d.t.Helper()
	for watch := clock.StartStopwatch(); !strings.Contains(d.logText(), text); time.Sleep(time.Millisecond) {
		if watch.Elapsed() > 10*time.Second {
			d.t.Fatalf("the log does not say %q: %s", text, d.logText())
		}
	}
}

// The disk refuses writes for a while. No new message is accepted. Messages that need no record continue,
// those that need one wait without using up attempts, and every accepted message gets its end.
func TestFullDisk(t *testing.T) {
	d := newTestDispatcher(t)
	d.disk = disk.NewMemory()
	a := d.addEndpoint("a", 1, "single", alwaysReply(testbed.Reply{Status: 429, RetryAfter: 200 * time.Millisecond}))
	d.startReady()
	held := d.submitAll("held", 3, 1, "status", "sync", "upload")
	if !d.bed.Await(5*time.Second, func(ev []testbed.Event) bool { return testbed.Count(ev, testbed.CallAnswered, "") > 0 }) {
		t.Fatal("no call")
	}
	failWrites(d.disk, unix.ENOSPC)
	a.SetHandler(succeed)
	if more := d.submitAll("late", 3, 1, "status", "upload"); len(more) > 0 {
		t.Errorf("accepted without a record: %v", more)
	}
	d.bed.Await(time.Second, func(ev []testbed.Event) bool { return testbed.AllEnded(ev, held) })
	for _, e := range d.bed.Events() {
		if e.Kind == testbed.CallAnswered && e.Status == 200 && !strings.Contains(e.Name, "status") {
			t.Errorf("%s was called without a record", e.Name)
		}
	}
	for _, name := range held {
		if strings.Contains(name, "status") && d.countEvents(testbed.CallAnswered, name) == 0 {
			t.Errorf("%s waits although it needs no record", name)
		}
	}
	d.disk.SetFail(nil)
	d.awaitLogLine("it is written again")
	d.awaitEnds(held)
	d.checkRules()
	if lost := d.givenUp(); len(lost) > 0 {
		t.Errorf("given up: %v", lost)
	}
}

// The disk refuses writes, messages end meanwhile, and the process is killed before the disk works again. No
// sender may be told to submit a message again that the next process still finds outstanding.
func TestKilledWhileTheDiskRefuses(t *testing.T) {
	d := newTestDispatcher(t)
	d.disk = disk.NewMemory()
	a := d.addEndpoint("a", 1, "single", alwaysReply(testbed.Reply{Status: 500}))
	d.startReady()
	a.SetHandler(alwaysReply(testbed.Reply{Status: 500, Delay: 50 * time.Millisecond}))
	names := d.submitAll("x", 4, 1, "status", "sync", "upload")
	failWrites(d.disk, unix.EIO)
	d.bed.Await(500*time.Millisecond, func(ev []testbed.Event) bool { return testbed.AllEnded(ev, names) })
	for _, e := range d.bed.Events() {
		if e.Kind == testbed.NoticeReceived && e.Text == "deferred" {
			t.Errorf("%s got a deferred notice although its end is not recorded", e.Name)
		}
	}
	d.kill()
	d.disk.SetFail(nil)
	a.SetHandler(succeed)
	d.startReady()
	d.awaitEnds(names)
	d.checkRules()
}

// Disk failures come and go under load, with kills in between. The six rules of testbed.Check hold.
func TestDiskFailsNowAndThen(t *testing.T) {
	for seed := range 3 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			d := newTestDispatcher(t)
			d.disk = disk.NewMemory()
			d.addEndpoint("a", 1, "single", func(c testbed.Call) testbed.Reply {
				return testbed.Reply{Status: []int{200, 200, 503, 500}[c.Number%4], Delay: time.Duration(c.Number%5) * 3 * time.Millisecond, Drop: c.Number%17 == 0}
			})
			d.addEndpoint("b", 2, "bulk", func(c testbed.Call) testbed.Reply {
				return testbed.Reply{Status: []int{200, 429, 200}[c.Number%3], Delay: time.Duration(c.Number%7) * 2 * time.Millisecond}
			})
			var mu sync.Mutex
			ops := 0
			fail := func(op, name string) error {
				mu.Lock()
				defer mu.Unlock()
				if ops++; (ops+70*seed)%230 > 210 || (ops+7*seed)%41 == 0 {
					return fmt.Errorf("%s %s: %w", op, name, []error{unix.ENOSPC, unix.EIO}[ops%2])
				}
				return nil
			}
			var names []string
			for round := range 3 {
				d.startReady()
				d.disk.SetFail(fail)
				names = append(names, d.submitFor(fmt.Sprint("r", round), 300*time.Millisecond)...)
				d.killUnrecorded()
				d.disk.SetFail(nil)
			}
			d.startReady()
			d.awaitEnds(names)
			d.checkRules()
			if len(names) < 20 {
				t.Errorf("only %d taken", len(names))
			}
		})
	}
}

// submitFor submits messages of all classes for a while and returns the ids of the accepted ones.
func (d *testDispatcher) submitFor(prefix string, span time.Duration) (names []string) {
	watch := clock.StartStopwatch()
	for i := 0; watch.Elapsed() < span; i++ {
		c := []string{"status", "sync", "upload", "turns"}[i%4]
		m := newMessage(fmt.Sprintf("%s-%s-%d", prefix, c, i), c, 1+i%2)
		if c == "turns" {
			m.OrderKey = fmt.Sprint("order-", i%3)
		}
		if d.bed.Submit(d.addr, m) == 202 {
			names = append(names, m.Name)
		}
	}
	return names
}

// The state directory cannot be read for a moment at a start. The process waits for it.
func TestFolderFailsAtTheStart(t *testing.T) {
	d := newTestDispatcher(t)
	d.disk = disk.NewMemory()
	a := d.addEndpoint("a", 1, "single", alwaysReply(testbed.Reply{Status: 429, RetryAfter: 2 * time.Second}))
	d.startReady()
	names := d.submitAll("x", 2, 1, "status", "sync", "upload")
	d.kill()
	tries := 0
	d.disk.SetFailRead(func(op, _ string) error {
		if tries++; tries < 8 {
			return fmt.Errorf("%s: %w", op, unix.EIO)
		}
		return nil
	})
	// Writes fail as well, until the process serves.
	failWrites(d.disk, unix.ENOSPC)
	a.SetHandler(succeed)
	d.startReady()
	if more := d.submitAll("late", 2, 1, "upload"); len(more) > 0 {
		t.Errorf("accepted without a record: %v", more)
	}
	d.disk.SetFail(nil)
	d.awaitEnds(names)
	d.checkRules()
	if !strings.Contains(d.logText(), "tried again until it works") {
		t.Errorf("log: %s", d.logText())
	}
}

// A dispatcher that restarts during an outage knows of it from its ledger. It must not send all held messages
// at once to the endpoint that returns.
func TestOutageIsKnownAfterARestart(t *testing.T) {
	d := newTestDispatcher(t)
	a := d.addEndpoint("a", 1, "single", succeed)
	d.startReady()
	d.awaitEnds(d.submitAll("before", 3, 1, "status"))
	a.Close()
	names := d.submitAll("x", 20, 1, "status")
	for watch := clock.StartStopwatch(); len(d.node.ledger.Outages()) == 0; time.Sleep(time.Millisecond) {
		if watch.Elapsed() > 5*time.Second {
			t.Fatal("the outage is not on record")
		}
	}
	for range 2 {
		d.kill()
		d.startReady()
	}
	back, err := d.bed.Endpoint("a", 1, a.Addr, alwaysReply(testbed.Reply{Status: 200, Delay: 300 * time.Millisecond}))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(back.Close)
	since := len(d.bed.Events())
	d.bed.Await(5*time.Second, func(ev []testbed.Event) bool { return testbed.Count(ev[since:], testbed.CallAnswered, "") > 0 })
	if calls := testbed.Count(d.bed.Events()[since:], testbed.CallReceived, ""); calls != 1 {
		t.Errorf("%d calls before the first answer, want a single trial", calls)
	}
	d.bed.Await(5*time.Second, func(ev []testbed.Event) bool { return testbed.AllEnded(ev, names) })
	d.checkRules()
}
