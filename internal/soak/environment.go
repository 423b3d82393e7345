package soak

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"whinrun/internal/testbed"
)

// proxiedEndpoint is one endpoint behind a proxy.
type proxiedEndpoint struct {
	entry    testbed.EndpointEntry
	endpoint *testbed.Endpoint
	proxy    *testbed.Proxy
	mode     atomic.Pointer[faultMode]
	removed  bool
}

// faultMode is how an endpoint behaves for a while.
type faultMode struct {
	kind  string
	until time.Time
}

// environment is what the dispatchers deliver to.
type environment struct {
	testbed *testbed.Testbed

	mu            sync.Mutex
	endpoints     []*proxiedEndpoint
	endpointCount int
	agents        []*nodeAgent // of the nodes, by number
}

// agent is the discovery of one node, and what it is told of changes.
type nodeAgent struct {
	*testbed.Agent
	muted       bool
	deferred    []testbed.EndpointEntry // changes that it learns when discovery returns
	silentUntil time.Time               // changes count as told then at the latest: open watches have fallen silent
}

// destinations of the world; odd ones take several messages in a call.
const (
	destinations      = 8
	watchSilenceLimit = 6 * time.Second // a change counts as told so long after a watch fell silent
	reloadLimit       = 4 * time.Second // and so long after SIGHUP
)

func newEnvironment(bed *testbed.Testbed) (*environment, error) {
	w := &environment{testbed: bed}
	for dest := range destinations {
		for range 1 + dest%3 {
			if _, err := w.addEndpoint(dest); err != nil {
				return nil, err
			}
		}
	}
	return w, nil
}

// endpointClass is the kind of a destination's endpoints.
func endpointClass(dest int) string {
	if dest%2 == 1 {
		return "bulk"
	}
	return "single"
}

// addEndpoint opens an endpoint and tells all agents of it.
func (w *environment) addEndpoint(dest int) (*proxiedEndpoint, error) {
	w.mu.Lock()
	w.endpointCount++
	name := fmt.Sprintf("e%d", w.endpointCount)
	w.mu.Unlock()
	p := &proxiedEndpoint{}
	var err error
	if p.endpoint, err = w.testbed.Endpoint(name, dest, "", p.handle); err != nil {
		return nil, err
	}
	if p.proxy, err = w.testbed.Proxy(p.endpoint); err != nil {
		return nil, err
	}
	site := []string{"east", "west"}[w.endpointCount%2]
	p.entry = testbed.EndpointEntry{Host: name, Dial: p.proxy.Addr, Site: site, Class: endpointClass(dest), Block: dest, Health: "ready", Share: 50}
	w.mu.Lock()
	w.endpoints = append(w.endpoints, p)
	w.mu.Unlock()
	w.publish(p.entry)
	return p, nil
}

// pickReady chooses an endpoint that is listed ready.
func (w *environment) pickReady(n int) *proxiedEndpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.endpoints {
		if p := w.endpoints[(n+i)%len(w.endpoints)]; p.entry.Health == "ready" {
			return p
		}
	}
	return nil
}

// publish has all agents learn of a change.
func (w *environment) publish(entry testbed.EndpointEntry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.agents {
		a.publishEntry(entry, w.testbed.Now())
	}
}

func (a *nodeAgent) publishEntry(entry testbed.EndpointEntry, now time.Time) {
	if a.muted {
		a.deferred = append(a.deferred, entry)
		return
	}
	at := now
	if a.silentUntil.After(now) {
		at = a.silentUntil
	}
	a.PublishAt(at, entry)
}

// agent opens the discovery of a node, which knows all that is listed.
func (w *environment) newAgent(node string) (*nodeAgent, error) {
	base, err := w.testbed.Agent()
	if err != nil {
		return nil, err
	}
	base.Node = node
	a := &nodeAgent{Agent: base}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.endpoints {
		if !p.removed {
			a.publishEntry(p.entry, w.testbed.Now())
		}
	}
	return a, nil
}

// agentOf is the discovery of a node.
func (w *environment) agentOf(node int) *nodeAgent {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.agents[node]
}

// replaceAgent gives a node another discovery, and returns the one before.
func (w *environment) replaceAgent(node int, next *nodeAgent) *nodeAgent {
	w.mu.Lock()
	defer w.mu.Unlock()
	previous := w.agents[node]
	w.agents[node] = next
	next.silentUntil = w.testbed.Now().Add(reloadLimit)
	return previous
}

// setMuted has a discovery say and learn nothing, or return.
func (w *environment) setMuted(a *nodeAgent, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a.muted = on
	a.SetMuted(on)
	if !on {
		for _, h := range a.deferred {
			a.publishEntry(h, w.testbed.Now())
		}
		a.deferred = nil
	}
}

// silenceOpenWatches has the open watches of a discovery fall silent.
func (w *environment) silenceOpenWatches(a *nodeAgent) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a.SilenceOpenWatches()
	a.silentUntil = w.testbed.Now().Add(watchSilenceLimit)
}

// drain has an endpoint drain, another take its place, and the first go.
func (w *environment) drain(p *proxiedEndpoint, after time.Duration) error {
	if _, err := w.addEndpoint(p.entry.Block); err != nil {
		return err
	}
	setHealth := func(health string) {
		w.mu.Lock()
		p.entry.Health = health
		p.removed = health == "gone"
		entry := p.entry
		w.mu.Unlock()
		w.publish(entry)
	}
	setHealth("draining")
	time.AfterFunc(after, func() { setHealth("gone") })
	return nil
}

// close ends all.
func (w *environment) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.endpoints {
		p.proxy.Close()
		p.endpoint.Close()
	}
	for _, a := range w.agents {
		a.Close()
	}
}

// setFaultMode has an endpoint behave in a way for a while.
func (w *environment) setFaultMode(p *proxiedEndpoint, kind string, duration time.Duration) {
	outage := kind == "drop" || kind == "hang" || kind == "errors"
	if outage {
		w.testbed.Record(testbed.Event{Kind: testbed.OutageBegan, Host: p.entry.Host})
	}
	m := &faultMode{kind, w.testbed.Now().Add(duration)}
	p.mode.Store(m)
	time.AfterFunc(duration, func() {
		if p.mode.CompareAndSwap(m, nil) && outage {
			w.testbed.Record(testbed.Event{Kind: testbed.OutageEnded, Host: p.entry.Host})
		}
	})
}

// handle is what the endpoint does with a call: mostly well, and as its mode says.
func (p *proxiedEndpoint) handle(call testbed.Call) testbed.Reply {
	delay := time.Duration(2+call.Number*7%20) * time.Millisecond
	mode := p.mode.Load()
	if mode == nil {
		switch call.Number % 97 {
		case 13:
			return testbed.Reply{Status: 500, Delay: delay}
		case 31:
			return testbed.Reply{Status: 503, Delay: delay}
		case 57:
			return testbed.Reply{Drop: true, Delay: delay}
		}
		return testbed.Reply{Status: 200, Delay: delay}
	}
	switch mode.kind {
	case "hang":
		return testbed.Reply{Hang: true}
	case "drop":
		return testbed.Reply{Drop: true, Delay: delay}
	case "errors":
		return testbed.Reply{Status: 500, Delay: delay}
	case "busy":
		return testbed.Reply{Status: 503, Delay: delay}
	case "waits":
		return testbed.Reply{Status: 429, RetryAfter: time.Duration(200+call.Number*37%700) * time.Millisecond, Delay: delay}
	case "slow":
		return testbed.Reply{Status: 200, Delay: time.Duration(200+call.Number*53%900) * time.Millisecond}
	}
	return malformedReply(call, delay)
}

// malformedReply is an answer that can't be read, or brings more than belongs to it.
func malformedReply(call testbed.Call, delay time.Duration) testbed.Reply {
	single := len(call.MessageNames) == 1
	switch {
	case call.Number%4 == 0:
		return testbed.Reply{Status: 500, Raw: "\x16\x03\x01 noise\r\n\r\n", Delay: delay}
	case call.Number%4 == 1 && single: // the first line is true
		return testbed.Reply{Status: 200, Raw: "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nmore to come", Delay: delay}
	case call.Number%4 == 2:
		return testbed.Reply{Status: 500, Raw: "HTTP/1.1 5", Close: true, Delay: delay}
	}
	return testbed.Reply{Status: 200, TrailingBytes: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", Delay: delay}
}
