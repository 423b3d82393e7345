package platform

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"whinrun/internal/testbed"
)

// overFaults are the shares, in percent, of what an endpoint does besides answering.
type overFaults struct {
	// copied is the share of answers that are sent again within copyDelay.
	copied    int
	copyDelay copyDelays
	// broken is the share of answers about messages that are over whose connection is reset in the midst of the answer.
	broken int
	// hanging is the share of calls that get no answer.
	hanging int
	// reset is the share of answers behind which the connection is reset within resetDelay.
	reset int
	// refused is the share of calls that are answered 503.
	refused int
}

// resetDelay is the longest time from an answer until the reset of its connection.
const resetDelay = 100 * time.Millisecond

// isOver reports whether a message is over when it is called. Three in ten are.
func isOver(name string) bool {
	return strings.HasSuffix(name, "0") || strings.HasSuffix(name, "4") || strings.HasSuffix(name, "7")
}

// overEndpoint returns a handler that answers after 10 to 60 ms. Some messages are over, and some calls go wrong.
func overEndpoint(seed uint64, faults overFaults) func(testbed.Call) testbed.Reply {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 49))
	return func(call testbed.Call) testbed.Reply {
		mu.Lock()
		defer mu.Unlock()
		r := testbed.Reply{Status: 200, Delay: time.Duration(10+rng.IntN(50)) * time.Millisecond, Hang: rng.IntN(100) < faults.hanging}
		for _, name := range call.MessageNames {
			if isOver(name) {
				r.Over = append(r.Over, name)
			}
		}
		if rng.IntN(100) < faults.refused {
			return testbed.Reply{Status: 503, Delay: r.Delay}
		}
		if len(r.Over) > 0 && rng.IntN(100) < faults.broken {
			r.BreakAt = 13 + rng.IntN(60)
		}
		if rng.IntN(100) < faults.reset {
			r.ResetAfter = time.Duration(1 + rng.Int64N(int64(resetDelay)))
		}
		if rng.IntN(100) < faults.copied {
			r.Copies = []testbed.Copy{{After: faults.copyDelay.random(rng)}}
		}
		return r
	}
}

// Guards against a call for a message that is over, because the answer that told so was in doubt: it was like an earlier one,
// was cut off, or its connection ended behind it.
func TestMessagesThatAreOver(t *testing.T) {
	copies := copyDelays{0, 300 * time.Millisecond}
	for _, test := range []struct {
		name   string
		faults overFaults
	}{
		{"copies", overFaults{copied: 25, copyDelay: copies}},
		{"broken off", overFaults{broken: 50}},
		{"hangs and resets", overFaults{hanging: 8, reset: 30}},
		{"hangs, resets and refusals", overFaults{hanging: 4, reset: 10, refused: 10}},
		{"all", overFaults{copied: 25, copyDelay: copies, broken: 25, hanging: 4, reset: 10, refused: 10}},
	} {
		for seed, kind := range []string{"single", "bulk"} {
			t.Run(test.name+" "+kind, func(t *testing.T) {
				t.Parallel()
				d := newTestDispatcher(t)
				for i, dest := range []int{1, 1, 2, 2} {
					d.addEndpoint(fmt.Sprintf("e%d", i), dest, kind, overEndpoint(uint64(10*seed+i), test.faults))
				}
				d.startReady()
				names := d.submitSteadily(120)
				if !d.bed.Await(5*time.Second, func(ev []testbed.Event) bool { return testbed.AllEnded(ev, names) }) {
					t.Error("messages without an end")
				}
				d.checkRules()
				t.Logf("%d delivered, %d called, %d notices of %d", d.deliveredCount(), d.countEvents(testbed.CallReceived, ""), d.countEvents(testbed.NoticeReceived, ""), len(names))
				d.logIfFailed()
			})
		}
	}
}

// Guards against further calls for a message that its endpoint says to have had all its attempts: its end follows at once.
func TestNoAttemptIsLeft(t *testing.T) {
	for _, kind := range []string{"single", "bulk"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			d := newTestDispatcher(t)
			d.addEndpoint("a", 1, kind, func(call testbed.Call) testbed.Reply {
				if !call.Bulk {
					return testbed.Reply{Status: 504}
				}
				body := ""
				for _, name := range call.MessageNames {
					body += name + " used_up\r\n"
				}
				return testbed.Reply{Status: 200, Body: body}
			})
			d.startReady()
			names := d.submitAll("x", 4, 1, "status", "sync", "upload")
			d.bed.Await(2*time.Second, func(ev []testbed.Event) bool { return testbed.Count(ev, testbed.NoticeReceived, "") == len(names) })
			for _, name := range names {
				if calls, notices := d.countEvents(testbed.CallReceived, name), d.countEvents(testbed.NoticeReceived, name); calls != 1 || notices != 1 {
					t.Errorf("%s: %d calls, %d notices", name, calls, notices)
				}
			}
		})
	}
}
