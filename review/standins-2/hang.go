package main

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"whinrun/internal/clock"
	"whinrun/internal/testbed"
)

func init() { cases["6"] = hangingPartner }

// hangingPartner sends large messages to two partners, one of which falls silent for 14 s. Afterwards the dispatcher has to serve the
// other partner, which was sound all the time.
func hangingPartner(e *caseEnv) ([]string, error) {
	var silent atomic.Bool
	answer := func(testbed.Call) testbed.Reply { return testbed.Reply{Status: 200, Delay: 80 * time.Millisecond} }
	first, err := e.bed.Endpoint("s-first", 1, "", func(c testbed.Call) testbed.Reply {
		if silent.Load() {
			return testbed.Reply{Hang: true}
		}
		return answer(c)
	})
	if err != nil {
		return nil, err
	}
	defer first.Close()
	second, err := e.bed.Endpoint("s-second", 2, "", answer)
	if err != nil {
		return nil, err
	}
	defer second.Close()
	agent, err := e.bed.Agent()
	if err != nil {
		return nil, err
	}
	defer agent.Close()
	agent.Publish(testbed.EndpointEntry{Host: "s-first", Dial: first.Addr, Site: "east", Class: "small", Block: 1, Health: "ready", Share: 1},
		testbed.EndpointEntry{Host: "s-second", Dial: second.Addr, Site: "east", Class: "small", Block: 2, Health: "ready", Share: 1})
	n, err := e.newNode("n0")
	if err != nil {
		return nil, err
	}
	if err := n.configure(configuration(n.addr, agent.Addr, agent.FullList(), smallLimits, smallSettings)); err != nil {
		return nil, err
	}
	if err := n.start(); err != nil {
		return nil, err
	}
	body := strings.Repeat("0123456789abcdef", 60_000/16)
	classes := []string{"upload", "sync", "status"}
	remaining := map[string]time.Duration{"upload": 28 * time.Second, "sync": 24 * time.Second, "status": 5 * time.Second}
	submit := func(dest, i int) (name string, status int) {
		class := classes[i%len(classes)]
		name = newName(fmt.Sprintf("d%d-", dest))
		return name, e.bed.Submit(n.addr, testbed.Message{Name: name, Class: class, Tenant: "core", IdempotencyKey: "k-" + name, Dest: dest, Remaining: remaining[class], Body: body})
	}
	// Three of ten messages are for the first partner.
	load := func(span time.Duration) {
		every(100*time.Millisecond, span, func(i int) {
			dest := 2
			if i%10 == 0 || i%10 == 3 || i%10 == 6 {
				dest = 1
			}
			submit(dest, i/2)
		})
	}
	load(5 * time.Second)
	if e.trouble {
		silent.Store(true)
		e.note("the first partner falls silent")
	}
	load(14 * time.Second)
	if e.trouble {
		silent.Store(false)
		e.note("the first partner answers again")
	}
	load(8 * time.Second)
	// All that was taken on during the silence is over after its time.
	e.note("no messages for 25 s")
	time.Sleep(25 * time.Second)
	from := clock.Wall()
	e.note("the last part begins: messages for the second partner alone")
	var taken atomic.Int64
	every(200*time.Millisecond, 15*time.Second, func(i int) {
		if _, status := submit(2, i); status == 202 {
			taken.Add(1)
		}
	})
	time.Sleep(2 * time.Second)
	delivered := 0
	for _, ev := range e.bed.Events() {
		if ev.Kind == testbed.CallReceived && ev.Host == "s-second" && ev.At.After(from) {
			delivered++
		}
	}
	e.note("last part: %d messages taken on for the second partner, %d calls made there", taken.Load(), delivered)
	if !n.alive() {
		return []string{"the dispatcher ended by itself: " + n.log()}, nil
	}
	if delivered == 0 {
		return []string{fmt.Sprintf("the dispatcher hangs: 75 messages for the sound partner in 15 s, %d of them taken on, and no attempt at all", taken.Load())}, nil
	}
	return nil, nil
}
