package main

import (
	"fmt"
	"time"

	"whinrun/internal/clock"
	"whinrun/internal/testbed"
)

func init() { cases["10"] = slowDiscoveryAtStart }

// Figures of the case.
const (
	// drainGrace is the grace of the settings: sends to an endpoint have to stop so long after it was told as draining.
	drainGrace = time.Second
	// drainSlack is what every limit is longer on sockets (50 ms), and what a dispatcher may be held up (150 ms).
	drainSlack = 200 * time.Millisecond
	// slowList is how long discovery takes to answer a watch while it is slow.
	slowList = 2500 * time.Millisecond
)

// slowDiscoveryAtStart kills the dispatcher. While it is down one of a partner's two endpoints drains. The next process finds a
// discovery that answers slowly. What discovery has counts as told from the first moment of the new process.
func slowDiscoveryAtStart(e *caseEnv) ([]string, error) {
	answer := func(testbed.Call) testbed.Reply { return testbed.Reply{Status: 200, Delay: 60 * time.Millisecond} }
	agent, err := e.bed.Agent()
	if err != nil {
		return nil, err
	}
	defer agent.Close()
	var entries []testbed.EndpointEntry
	for i, host := range []string{"s-leaves", "s-stays"} {
		endpoint, err := e.bed.Endpoint(host, 1, "", answer)
		if err != nil {
			return nil, err
		}
		defer endpoint.Close()
		entries = append(entries, testbed.EndpointEntry{Host: host, Dial: endpoint.Addr, Site: []string{"east", "west"}[i], Class: "small", Block: 1, Health: "ready", Share: 1})
	}
	agent.Publish(entries...)
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
	load := func(span time.Duration) {
		every(80*time.Millisecond, span, func(i int) {
			class := []string{"upload", "sync", "status"}[i%3]
			name := newName("m")
			e.bed.Submit(n.addr, testbed.Message{Name: name, Class: class, Tenant: "core", IdempotencyKey: "k-" + name, Dest: 1, Remaining: 5 * time.Second, Body: name})
		})
	}
	load(4 * time.Second)
	n.kill()
	if e.trouble {
		agent.SetPace(testbed.AgentPace{FirstList: slowList})
		e.note("discovery is slow from now on: it answers a watch after %v", slowList)
	}
	leaving := entries[0]
	leaving.Health = "draining"
	agent.Publish(leaving)
	e.note("discovery has it that s-leaves drains")
	time.Sleep(600 * time.Millisecond)
	started := clock.Wall()
	if err := n.start(); err != nil {
		return nil, err
	}
	load(7 * time.Second)
	time.Sleep(time.Second)
	var broken []string
	late := 0
	var last time.Duration
	for _, ev := range e.bed.Events() {
		if ev.Kind == testbed.CallReceived && ev.Host == "s-leaves" && ev.At.After(started.Add(drainGrace+drainSlack)) {
			late++
			last = ev.At.Sub(started)
		}
	}
	if late > 0 {
		broken = append(broken, fmt.Sprintf("%d calls reached the draining endpoint later than %v after the start of the new process, the last one after %.2f s", late, drainGrace+drainSlack, last.Seconds()))
	}
	return broken, nil
}
