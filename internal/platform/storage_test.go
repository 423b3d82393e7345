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

// refuseWrites has each change of a folder fail.
func refuseWrites(fs *disk.Memory, why error) {
	fs.SetFail(func(op, name string) error {
		if op == "open" || op == "list" {
			return nil
		}
		return fmt.Errorf("%s %s: %w", op, name, why)
	})
}

// awaitLine waits until the log says something.
func (d *day) awaitLine(text string) {
	d.t.Helper()
	for watch := clock.StartStopwatch(); !strings.Contains(d.text(), text); time.Sleep(time.Millisecond) {
		if watch.Elapsed() > 10*time.Second {
			d.t.Fatalf("the log does not say %q: %s", text, d.text())
		}
	}
}

// A disk that refuses writes for a while: nothing new is taken on, what needs no record goes on, what needs one waits without
// using up its attempts, and all that was taken on has its end.
func TestFullDisk(t *testing.T) {
	d := newDay(t)
	d.disk = disk.NewMemory()
	a := d.endpoint("a", 1, "single", always(testbed.Reply{Status: 429, RetryAfter: 200 * time.Millisecond}))
	d.start()
	held := d.hand("held", 3, 1, "status", "sync", "upload")
	if !d.s.Await(5*time.Second, func(ev []testbed.Event) bool { return testbed.Count(ev, testbed.CallAnswered, "") > 0 }) {
		t.Fatal("no call")
	}
	refuseWrites(d.disk, unix.ENOSPC)
	a.SetHandler(ok)
	if more := d.hand("late", 3, 1, "status", "upload"); len(more) > 0 {
		t.Errorf("taken on without a record: %v", more)
	}
	d.s.Await(time.Second, func(ev []testbed.Event) bool { return testbed.AllEnded(ev, held) })
	for _, e := range d.s.Events() {
		if e.Kind == testbed.CallAnswered && e.Status == 200 && !strings.Contains(e.Name, "status") {
			t.Errorf("%s was called without a record", e.Name)
		}
	}
	for _, name := range held {
		if strings.Contains(name, "status") && d.count(testbed.CallAnswered, name) == 0 {
			t.Errorf("%s waits, and needs no record", name)
		}
	}
	d.disk.SetFail(nil)
	d.awaitLine("it is written again")
	d.over(held)
	d.check()
	for _, name := range held {
		if d.count(testbed.NoticeReceived, name) > 0 {
			t.Errorf("%s was given up", name)
		}
	}
}

// The disk refuses writes, messages end meanwhile, and the process is killed before the disk works again: nobody is told to hand
// a message in again that the next process still finds owed.
func TestKilledWhileTheDiskRefuses(t *testing.T) {
	d := newDay(t)
	d.disk = disk.NewMemory()
	a := d.endpoint("a", 1, "single", always(testbed.Reply{Status: 500}))
	d.start()
	a.SetHandler(always(testbed.Reply{Status: 500, Delay: 50 * time.Millisecond}))
	names := d.hand("x", 4, 1, "status", "sync", "upload")
	refuseWrites(d.disk, unix.EIO)
	d.s.Await(500*time.Millisecond, func(ev []testbed.Event) bool { return testbed.AllEnded(ev, names) })
	for _, e := range d.s.Events() {
		if e.Kind == testbed.NoticeReceived && e.Text == "deferred" {
			t.Errorf("%s is handed back and not on record as ended", e.Name)
		}
	}
	d.kill()
	d.disk.SetFail(nil)
	a.SetHandler(ok)
	d.start()
	d.over(names)
	d.check()
}

// Faults of the disk that come and go under load, and kills in between: the six rules hold.
func TestDiskFailsNowAndThen(t *testing.T) {
	for seed := range 3 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			d := newDay(t)
			d.disk = disk.NewMemory()
			d.endpoint("a", 1, "single", func(c testbed.Call) testbed.Reply {
				return testbed.Reply{Status: []int{200, 200, 503, 500}[c.Number%4], Delay: time.Duration(c.Number%5) * 3 * time.Millisecond, Drop: c.Number%17 == 0}
			})
			d.endpoint("b", 2, "bulk", func(c testbed.Call) testbed.Reply {
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
				d.start()
				d.disk.SetFail(fail)
				names = append(names, d.load(fmt.Sprint("r", round), 300*time.Millisecond)...)
				d.kill()
				d.disk.SetFail(nil)
			}
			d.start()
			d.over(names)
			d.check()
			if len(names) < 20 {
				t.Errorf("only %d taken", len(names))
			}
		})
	}
}

// load hands messages of all classes in for a while, and returns the names of those taken on.
func (d *day) load(prefix string, span time.Duration) (names []string) {
	watch := clock.StartStopwatch()
	for i := 0; watch.Elapsed() < span; i++ {
		c := []string{"status", "sync", "upload", "turns"}[i%4]
		m := msg(fmt.Sprintf("%s-%s-%d", prefix, c, i), c, 1+i%2)
		if c == "turns" {
			m.OrderKey = fmt.Sprint("order-", i%3)
		}
		if d.s.Submit(d.addr, m) == 202 {
			names = append(names, m.Name)
		}
	}
	return names
}

// A folder that can't be read for a moment, at a start: the process waits for it.
func TestFolderFailsAtTheStart(t *testing.T) {
	d := newDay(t)
	d.disk = disk.NewMemory()
	a := d.endpoint("a", 1, "single", always(testbed.Reply{Status: 429, RetryAfter: 2 * time.Second}))
	d.start()
	names := d.hand("x", 2, 1, "status", "sync", "upload")
	d.kill()
	tries := 0
	d.disk.SetFailRead(func(op, _ string) error {
		if tries++; tries < 8 {
			return fmt.Errorf("%s: %w", op, unix.EIO)
		}
		return nil
	})
	refuseWrites(d.disk, unix.ENOSPC) // and it can't be written until the process serves
	a.SetHandler(ok)
	d.start()
	if more := d.hand("late", 2, 1, "upload"); len(more) > 0 {
		t.Errorf("taken on without a record: %v", more)
	}
	d.disk.SetFail(nil)
	d.over(names)
	d.check()
	if !strings.Contains(d.text(), "tried again until it works") {
		t.Errorf("log: %s", d.text())
	}
}

// A dispatcher that restarts within an outage has seen it: what it holds is not dumped on the endpoint that returns.
func TestOutageIsKnownAfterARestart(t *testing.T) {
	d := newDay(t)
	a := d.endpoint("a", 1, "single", ok)
	d.start()
	d.over(d.hand("before", 3, 1, "status"))
	a.Close()
	names := d.hand("x", 20, 1, "status")
	for watch := clock.StartStopwatch(); len(d.node.ledger.Outages()) == 0; time.Sleep(time.Millisecond) {
		if watch.Elapsed() > 5*time.Second {
			t.Fatal("the outage is not on record")
		}
	}
	for range 2 {
		d.kill()
		d.start()
	}
	back, err := d.s.Endpoint("a", 1, a.Addr, always(testbed.Reply{Status: 200, Delay: 300 * time.Millisecond}))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(back.Close)
	since := len(d.s.Events())
	d.s.Await(5*time.Second, func(ev []testbed.Event) bool { return testbed.Count(ev[since:], testbed.CallAnswered, "") > 0 })
	if calls := testbed.Count(d.s.Events()[since:], testbed.CallReceived, ""); calls != 1 {
		t.Errorf("%d calls before the first answer, want a single trial", calls)
	}
	d.s.Await(5*time.Second, func(ev []testbed.Event) bool { return testbed.AllEnded(ev, names) })
	d.check()
}
