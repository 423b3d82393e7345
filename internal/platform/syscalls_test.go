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

// Socket calls of all kinds fail at times while endpoints misbehave and the dispatcher restarts. The six
// rules of testbed.Check hold, and every sender gets an answer.
func TestSystemCallsFail(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			d := newTestDispatcher(t)
			d.faulty = &eventlooptest.FaultySystem{}
			d.addEndpoint("a", 1, "single", func(c testbed.Call) testbed.Reply {
				return testbed.Reply{Status: []int{200, 200, 503, 500}[c.Number%4], Delay: time.Duration(c.Number%5) * 3 * time.Millisecond, Drop: c.Number%17 == 0}
			})
			d.addEndpoint("b", 2, "bulk", succeed)
			faults := map[string][]error{
				"socket": {unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM}, "connect": {unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.EINTR, unix.ETIMEDOUT,
					unix.ECONNREFUSED}, "epoll_ctl": {unix.ENOMEM, unix.ENOSPC}, "getsockopt": {unix.ENOBUFS}, "getpeername": {unix.ENOBUFS}}
			for call, errs := range eventlooptest.TransientErrors {
				faults[call] = errs
			}
			var names []string
			for round := range 2 {
				d.startReady()
				d.faulty.SetFault(eventlooptest.RandomFaults(seed, 0.1, faults))
				names = append(names, d.submitFor(fmt.Sprint("r", round), 500*time.Millisecond)...)
				d.kill()
				d.faulty.SetFault(nil)
			}
			d.startReady()
			d.faulty.SetFault(eventlooptest.RandomFaults(seed+100, 0.1, faults))
			d.awaitEnds(names)
			d.faulty.SetFault(nil)
			d.checkRules()
			d.logIfFailed()
			if len(names) < 20 {
				t.Errorf("only %d taken", len(names))
			}
		})
	}
}

// The machine cannot open connections for a while. No endpoint is blamed for it, and the messages that waited
// are delivered.
func TestNoConnectionsCanBeMade(t *testing.T) {
	for _, c := range []struct {
		call  string
		fault unix.Errno
	}{{"connect", unix.EADDRNOTAVAIL}, {"connect", unix.ENETUNREACH}, {"connect", unix.ENOBUFS}, {"socket", unix.ENFILE}, {"epoll_ctl", unix.ENOSPC}} {
		t.Run(c.call+" "+c.fault.Error(), func(t *testing.T) {
			t.Parallel()
			d := newTestDispatcher(t)
			d.faulty = &eventlooptest.FaultySystem{}
			d.addEndpoint("a", 1, "single", succeed)
			d.startReady()
			d.faulty.SetFault(func(call string) error {
				if call == c.call {
					return c.fault
				}
				return nil
			})
			var names []string
			// Clients cannot connect during this failure either, so it ends before the messages are
			// submitted.
			if c.call == "epoll_ctl" {
				d.faulty.SetFault(nil)
				names = d.submitAll("x", 2, 1, "status", "upload")
			} else {
				names = d.submitAll("x", 2, 1, "status", "upload")
				d.bed.Await(300*time.Millisecond, func(ev []testbed.Event) bool { return testbed.Count(ev, testbed.CallReceived, "") > 0 })
				d.faulty.SetFault(nil)
			}
			d.awaitEnds(names)
			d.checkRules()
			if lost := d.givenUp(); len(names) != 4 || len(lost) > 0 {
				t.Errorf("%v taken, %v given up", names, lost)
			}
		})
	}
}

// Accepting connections fails for a while. Clients that connect meanwhile are served afterwards.
func TestAcceptFails(t *testing.T) {
	for _, fault := range []unix.Errno{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EPROTO, unix.EPERM} {
		t.Run(fault.Error(), func(t *testing.T) {
			t.Parallel()
			d := newTestDispatcher(t)
			d.faulty = &eventlooptest.FaultySystem{}
			d.addEndpoint("a", 1, "single", succeed)
			d.startReady()
			met := make(chan struct{}, 1)
			d.faulty.SetFault(func(call string) error {
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
				status, _ := d.roundTrip(string(testbed.EncodeRequest(newMessage("m", "status", 1))), 5*time.Second)
				answer <- status
			}()
			<-met
			d.faulty.SetFault(nil)
			if status := <-answer; status != 202 {
				t.Errorf("answer %d", status)
			}
			if !slices.Contains([]int{0, 1}, d.countEvents(testbed.NoticeReceived, "m")) {
				t.Error("more than one end")
			}
		})
	}
}
