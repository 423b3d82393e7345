package main

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"whinrun/internal/clock"
	"whinrun/internal/testbed"
)

func init() { cases["7"] = changesOfOneHost }

// Figures of the case.
const (
	// partners is the number of partners. The first ten have two endpoints, so that there are 30.
	partners, endpoints = 20, 30
	// outage is how long discovery is down.
	outage = 8 * time.Second
)

// replaced are the endpoints that one step of a deployment replaces: a fifth of all.
var replaced = []int{2, 5, 8, 11, 14, 17}

// changesOfOneHost takes discovery down for 8 s. Meanwhile partners lower their limits, which changes the entries of their endpoints, and
// then some of these endpoints drain. The first object behind the outage tells all changes in their order, so that a host is named twice.
func changesOfOneHost(e *caseEnv) ([]string, error) {
	agent, err := e.bed.Agent()
	if err != nil {
		return nil, err
	}
	defer agent.Close()
	create := func(host string, partner int) (testbed.EndpointEntry, error) {
		endpoint, err := e.bed.Endpoint(host, partner, "", func(testbed.Call) testbed.Reply { return testbed.Reply{Status: 200, Delay: 30 * time.Millisecond} })
		if err != nil {
			return testbed.EndpointEntry{}, err
		}
		e.cleanup(endpoint.Close)
		return testbed.EndpointEntry{Host: host, Dial: endpoint.Addr, Site: "east", Class: "small", Block: partner, Health: "ready", Share: 40}, nil
	}
	var hosts []testbed.EndpointEntry
	for i := range endpoints {
		entry, err := create(fmt.Sprintf("s-old%02d", i), 1+i%partners)
		if err != nil {
			return nil, err
		}
		hosts = append(hosts, entry)
	}
	agent.Publish(hosts...)
	platform, err := newGate(agent.Addr)
	if err != nil {
		return nil, err
	}
	defer platform.close()
	n, err := e.newNode("n0")
	if err != nil {
		return nil, err
	}
	settings := strings.Replace(smallSettings, `"weights":"none"`, `"weights":"nominal"`, 1)
	if err := n.configure(configuration(n.addr, platform.addr(), agent.FullList(), smallLimits, settings)); err != nil {
		return nil, err
	}
	if err := n.start(); err != nil {
		return nil, err
	}
	loaded := make(chan struct{})
	go func() {
		defer close(loaded)
		every(20*time.Millisecond, 30*time.Second, func(i int) {
			class := []string{"upload", "sync", "status"}[i%3]
			name := newName("m")
			e.bed.Submit(n.addr, testbed.Message{Name: name, Class: class, Tenant: "core", IdempotencyKey: "k-" + name, Dest: 1 + i%partners, Remaining: 5 * time.Second, Body: name})
		})
	}()
	time.Sleep(3 * time.Second)
	if e.trouble {
		platform.setShut(true)
		e.note("discovery is down")
	}
	time.Sleep(outage / 4)
	// Partners lower their limits, one after the other: the list tells the new rate of each of their endpoints.
	for k := range partners {
		partner := 1 + 7*k%partners
		var changed []testbed.EndpointEntry
		for i := range hosts {
			if hosts[i].Block == partner {
				hosts[i].Share = 30
				changed = append(changed, hosts[i])
			}
		}
		agent.Publish(changed...)
	}
	e.note("the partners have lowered their limits")
	time.Sleep(outage / 4)
	drained := map[string]bool{}
	for _, i := range replaced {
		entry, err := create(fmt.Sprintf("s-new%02d", i), hosts[i].Block)
		if err != nil {
			return nil, err
		}
		hosts[i].Health = "draining"
		drained[hosts[i].Host] = true
		agent.Publish(entry, hosts[i])
	}
	e.note("%d of %d endpoints drain, new ones are there", len(replaced), endpoints)
	time.Sleep(outage / 2)
	back := clock.Wall()
	if e.trouble {
		platform.setShut(false)
		e.note("discovery is back")
	}
	<-loaded
	time.Sleep(time.Second)
	// It counts as told 6 s after discovery could be reached at the latest. Then come the grace of 1 s, 50 ms, and 150 ms of a hold-up.
	told := back.Add(6*time.Second + 1200*time.Millisecond)
	late, last := map[string]int{}, time.Duration(0)
	for _, ev := range e.bed.Events() {
		if ev.Kind == testbed.CallReceived && drained[ev.Host] && ev.At.After(told) {
			late[ev.Host]++
			last = ev.At.Sub(back)
		}
	}
	var broken []string
	for host, calls := range late {
		broken = append(broken, fmt.Sprintf("%d calls reached %s, which drains, later than 7.2 s after discovery was back", calls, host))
	}
	slices.Sort(broken)
	if len(broken) > 0 {
		broken = append(broken, fmt.Sprintf("the last of them came %.1f s after its return", last.Seconds()))
	}
	return broken, nil
}
