package main

import (
	"fmt"
	"slices"
	"time"

	"whinrun/internal/clock"
	"whinrun/internal/testbed"
)

func init() { cases["7"] = changesOfOneHost }

// changesOfOneHost has the open watch fall silent while the endpoints of ten partners are replaced, twice in a row. The watch that follows
// tells all changes after the version that the dispatcher had, in their order, so that a host may be named twice.
func changesOfOneHost(e *caseEnv) ([]string, error) {
	const partners = 10
	agent, err := e.bed.Agent()
	if err != nil {
		return nil, err
	}
	defer agent.Close()
	var generations [3][]testbed.EndpointEntry
	for g := range generations {
		for p := range partners {
			host := fmt.Sprintf("s-%c%d", 'a'+g, p)
			endpoint, err := e.bed.Endpoint(host, 1+p, "", func(testbed.Call) testbed.Reply { return testbed.Reply{Status: 200, Delay: 30 * time.Millisecond} })
			if err != nil {
				return nil, err
			}
			e.cleanup(endpoint.Close)
			generations[g] = append(generations[g], testbed.EndpointEntry{Host: host, Dial: endpoint.Addr, Site: "east", Class: "small", Block: 1 + p, Health: "ready", Share: 1})
		}
	}
	agent.Publish(generations[0]...)
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
	loaded := make(chan struct{})
	go func() {
		defer close(loaded)
		every(20*time.Millisecond, 22*time.Second, func(i int) {
			class := []string{"upload", "sync", "status"}[i%3]
			name := newName("m")
			e.bed.Submit(n.addr, testbed.Message{Name: name, Class: class, Tenant: "core", IdempotencyKey: "k-" + name, Dest: 1 + i%partners, Remaining: 5 * time.Second, Body: name})
		})
	}()
	time.Sleep(3 * time.Second)
	silent := clock.Wall()
	if e.trouble {
		agent.SilenceOpenWatches()
		e.note("the open watch falls silent")
	}
	// Each partner's endpoint is replaced, one partner after the other, and so is the new one.
	for g := range 2 {
		for p := range partners {
			leaving := generations[g][p]
			leaving.Health = "draining"
			agent.Publish(generations[g+1][p])
			agent.Publish(leaving)
			time.Sleep(60 * time.Millisecond)
		}
		e.note("generation %d has taken the place of generation %d", g+2, g+1)
	}
	<-loaded
	time.Sleep(time.Second)
	// What a silent watch misses counts as told 6 s after it fell silent. Then come the grace of 1 s, 50 ms, and 150 ms of a hold-up.
	told := silent.Add(6*time.Second + 1200*time.Millisecond)
	late, last := map[string]int{}, time.Duration(0)
	for _, ev := range e.bed.Events() {
		if ev.Kind == testbed.CallReceived && ev.Host < "s-c" && ev.At.After(told) {
			late[ev.Host]++
			last = ev.At.Sub(silent)
		}
	}
	var broken []string
	for host, calls := range late {
		broken = append(broken, fmt.Sprintf("%d calls reached %s, which drains, later than 7.2 s after the watch fell silent", calls, host))
	}
	slices.Sort(broken)
	if len(broken) > 0 {
		broken = append(broken, fmt.Sprintf("the last of them came %.1f s after the watch fell silent", last.Seconds()))
	}
	return broken, nil
}
