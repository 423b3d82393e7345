package platform

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"whinrun/internal/eventloop/eventlooptest"
	"whinrun/internal/testbed"
)

// Calls on sockets fail for a moment, all kinds together, while endpoints misbehave and the dispatcher restarts: the six rules
// hold, and who hands a message in has an answer.
func TestSystemCallsFail(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			d := newDay(t)
			d.calls = &eventlooptest.FaultySystem{}
			d.endpoint("a", 1, "single", func(c testbed.Call) testbed.Reply {
				return testbed.Reply{Status: []int{200, 200, 503, 500}[c.Number%4], Delay: time.Duration(c.Number%5) * 3 * time.Millisecond, Drop: c.Number%17 == 0}
			})
			d.endpoint("b", 2, "bulk", ok)
			faults := map[string][]error{
				"socket": {unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM}, "connect": {unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.EINTR, unix.ETIMEDOUT,
					unix.ECONNREFUSED}, "epoll_ctl": {unix.ENOMEM, unix.ENOSPC}, "getsockopt": {unix.ENOBUFS}, "getpeername": {unix.ENOBUFS}}
			for call, errs := range eventlooptest.TransientErrors {
				faults[call] = errs
			}
			var names []string
			for round := range 2 {
				d.start()
				d.calls.SetFault(eventlooptest.RandomFaults(seed, 0.1, faults))
				names = append(names, d.load(fmt.Sprint("r", round), 500*time.Millisecond)...)
				d.kill()
				d.calls.SetFault(nil)
			}
			d.start()
			d.calls.SetFault(eventlooptest.RandomFaults(seed+100, 0.1, faults))
			d.over(names)
			d.calls.SetFault(nil)
			d.check()
			if len(names) < 20 {
				t.Errorf("only %d taken", len(names))
			}
		})
	}
}

// This machine can make no connections for a while: no endpoint is blamed for it, and what waited is delivered.
func TestNoConnectionsCanBeMade(t *testing.T) {
	for _, c := range []struct {
		call  string
		fault unix.Errno
	}{{"connect", unix.EADDRNOTAVAIL}, {"connect", unix.ENETUNREACH}, {"connect", unix.ENOBUFS}, {"socket", unix.ENFILE}, {"epoll_ctl", unix.ENOSPC}} {
		t.Run(c.call+" "+c.fault.Error(), func(t *testing.T) {
			t.Parallel()
			d := newDay(t)
			d.calls = &eventlooptest.FaultySystem{}
			d.endpoint("a", 1, "single", ok)
			d.start()
			d.calls.SetFault(func(call string) error {
				if call == c.call {
					return c.fault
				}
				return nil
			})
			var names []string
			if c.call == "epoll_ctl" { // clients can't be taken either: who was before is served
				d.calls.SetFault(nil)
				names = d.hand("x", 2, 1, "status", "upload")
			} else {
				names = d.hand("x", 2, 1, "status", "upload")
				d.s.Await(300*time.Millisecond, func(ev []testbed.Event) bool { return testbed.Count(ev, testbed.CallReceived, "") > 0 })
				d.calls.SetFault(nil)
			}
			d.over(names)
			d.check()
			if len(names) != 4 || d.count(testbed.NoticeReceived, "") > 0 {
				t.Errorf("%v taken, %d given up", names, d.count(testbed.NoticeReceived, ""))
			}
		})
	}
}

// Accepting fails for a while: who connects meanwhile is served afterwards, and the log says it once.
func TestAcceptFails(t *testing.T) {
	for _, fault := range []unix.Errno{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EPROTO, unix.EPERM} {
		t.Run(fault.Error(), func(t *testing.T) {
			t.Parallel()
			d := newDay(t)
			d.calls = &eventlooptest.FaultySystem{}
			d.endpoint("a", 1, "single", ok)
			d.start()
			met := make(chan struct{}, 1)
			d.calls.SetFault(func(call string) error {
				if call != "accept" {
					return nil
				}
				select {
				case met <- struct{}{}:
				default:
				}
				return fault
			})
			answer := make(chan int)
			go func() {
				status, _ := d.talk(string(testbed.EncodeRequest(msg("m", "status", 1))), 5*time.Second)
				answer <- status
			}()
			<-met
			d.calls.SetFault(nil)
			if status := <-answer; status != 202 {
				t.Errorf("answer %d", status)
			}
			if !slices.Contains([]int{0, 1}, d.count(testbed.NoticeReceived, "m")) {
				t.Error("more than one end")
			}
		})
	}
}
