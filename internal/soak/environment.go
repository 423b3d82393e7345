package soak

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"whinrun/internal/testbed"
)

// proxiedEndpoint is an endpoint behind a proxy.
type proxiedEndpoint struct {
	// entry is the endpoint as it was last listed.
	entry    testbed.EndpointEntry
	endpoint *testbed.Endpoint
	proxy    *testbed.Proxy
	// mode is the present fault, nil for none.
	mode atomic.Pointer[faultMode]
	// removed is set when the endpoint has been listed as gone.
	removed bool
}

// faultMode is a fault of an endpoint for a limited time.
type faultMode struct {
	kind string
	// until is when the fault ends.
	until time.Time
}

// environment holds the endpoints and agents that the dispatchers of a run talk to.
type environment struct {
	testbed *testbed.Testbed
	// latency is the time that bytes take each way to and from endpoints.
	latency time.Duration

	mu        sync.Mutex
	endpoints []*proxiedEndpoint
	// endpointCount counts the endpoints created so far.
	endpointCount int
	// agents holds the agent of each node, by the node's number.
	agents []*nodeAgent
}

// nodeAgent is the agent of one node, with the changes that its node has not been told yet.
type nodeAgent struct {
	*testbed.Agent
	// muted is set while the agent answers no watches.
	muted bool
	// deferred holds the changes to publish when the agent answers again.
	deferred []testbed.EndpointEntry
	// silentUntil is the time from which the node has a new watch at the latest. Changes published before count as
	// listed then.
	silentUntil time.Time
	// unavailableSince holds when it counts as listed that an endpoint drains or is gone.
	unavailableSince map[string]time.Time
}

const (
	// destinations is the number of destinations. Those with odd numbers take several messages in a call.
	destinations = 8
	// watchSilenceLimit is how long after a watch fell silent a change counts as listed at the latest.
	watchSilenceLimit = 6 * time.Second
	// reloadLimit is how long after SIGHUP a change counts as listed at the latest.
	reloadLimit = 4 * time.Second
	// drainGrace is how long after that calls may still begin, with slack for a machine that all processes of a run share.
	drainGrace = 1250 * time.Millisecond
)

// newEnvironment starts one to three endpoints for each destination.
func newEnvironment(bed *testbed.Testbed, latency time.Duration) (*environment, error) {
	w := &environment{testbed: bed, latency: latency}
	for dest := range destinations {
		for range 1 + dest%3 {
			if _, err := w.addEndpoint(dest, nil); err != nil {
				return nil, err
			}
		}
	}
	return w, nil
}

// endpointClass returns the class of a destination's endpoints in the list.
func endpointClass(dest int) string {
	if dest%2 == 1 {
		return "bulk"
	}
	return "single"
}

// addEndpoint starts an endpoint of a destination and publishes it to all agents. It sits behind a proxy, a new one if that is nil.
func (w *environment) addEndpoint(dest int, proxy *testbed.Proxy) (*proxiedEndpoint, error) {
	w.mu.Lock()
	w.endpointCount++
	name := fmt.Sprintf("e%d", w.endpointCount)
	w.mu.Unlock()
	p := &proxiedEndpoint{proxy: proxy}
	var err error
	if p.endpoint, err = w.testbed.Endpoint(name, dest, "", p.handle); err != nil {
		return nil, err
	}
	if proxy != nil {
		proxy.SetEndpoint(p.endpoint)
	} else if p.proxy, err = w.testbed.Proxy(p.endpoint); err != nil {
		return nil, err
	}
	p.proxy.SetLatency(w.latency)
	site := []string{"east", "west"}[w.endpointCount%2]
	p.entry = testbed.EndpointEntry{Host: name, Dial: p.proxy.Addr, Site: site, Class: endpointClass(dest), Block: dest, Health: "ready", Share: 50}
	w.mu.Lock()
	w.endpoints = append(w.endpoints, p)
	w.mu.Unlock()
	w.publish(p.entry)
	return p, nil
}

// pickReady returns an endpoint that is listed as ready, selected by n, or nil where there is none.
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

// publish publishes a changed endpoint to all agents.
func (w *environment) publish(entry testbed.EndpointEntry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.agents {
		a.publishEntry(entry, w.testbed.Now())
	}
}

// publishEntry publishes a changed endpoint, or defers it while the agent is muted. That an endpoint drains or is gone counts from
// its first listing on, once that counts. The caller holds the environment's lock.
func (a *nodeAgent) publishEntry(entry testbed.EndpointEntry, now time.Time) {
	if a.muted {
		a.deferred = append(a.deferred, entry)
		return
	}
	at := now
	if a.silentUntil.After(now) {
		at = a.silentUntil
	}
	if since, ok := a.unavailableSince[entry.Host]; ok && since.Before(now) {
		at = since
	}
	if entry.Health == "ready" {
		delete(a.unavailableSince, entry.Host)
	} else {
		a.unavailableSince[entry.Host] = at
	}
	a.PublishAt(at, entry)
}

// newAgent starts an agent for a node, the first one or, with SIGHUP to follow at once, the next one behind previous. Its list has all
// endpoints that are not removed.
func (w *environment) newAgent(node string, previous *nodeAgent) (*nodeAgent, error) {
	base, err := w.testbed.Agent()
	if err != nil {
		return nil, err
	}
	base.Node = node
	a := &nodeAgent{Agent: base, unavailableSince: map[string]time.Time{}}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.testbed.Now()
	if previous != nil {
		a.silentUntil = now.Add(reloadLimit)
		a.unavailableSince = maps.Clone(previous.unavailableSince)
	}
	for _, p := range w.endpoints {
		if !p.removed {
			a.publishEntry(p.entry, now)
		}
	}
	return a, nil
}

// agentOf returns the present agent of a node.
func (w *environment) agentOf(node int) *nodeAgent {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.agents[node]
}

// replaceAgent gives a node another agent and returns the previous one.
func (w *environment) replaceAgent(node int, next *nodeAgent) *nodeAgent {
	w.mu.Lock()
	defer w.mu.Unlock()
	previous := w.agents[node]
	w.agents[node] = next
	return previous
}

// setMuted stops the answers of an agent, or resumes them and publishes the deferred changes.
func (w *environment) setMuted(a *nodeAgent, muted bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a.muted = muted
	a.SetMuted(muted)
	if !muted {
		for _, h := range a.deferred {
			a.publishEntry(h, w.testbed.Now())
		}
		a.deferred = nil
	}
}

// silenceOpenWatches stops the answers to the open watches of an agent.
func (w *environment) silenceOpenWatches(a *nodeAgent) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a.SilenceOpenWatches()
	a.silentUntil = w.testbed.Now().Add(watchSilenceLimit)
}

// drain adds a replacement for an endpoint, lists the endpoint as draining, and lists it as gone after a time.
func (w *environment) drain(p *proxiedEndpoint, after time.Duration) error {
	if _, err := w.addEndpoint(p.entry.Block, nil); err != nil {
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

// replaceForeign drains an endpoint and lists it as gone after a time. When that counts as listed everywhere, and the time that
// calls may still begin is over, an endpoint of another destination takes its address.
func (w *environment) replaceForeign(p *proxiedEndpoint, after time.Duration) error {
	if err := w.drain(p, after); err != nil {
		return err
	}
	time.Sleep(after)
	for w.isDeferred(p.entry.Host) {
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(watchSilenceLimit + drainGrace)
	_, err := w.addEndpoint((p.entry.Block+1)%destinations, p.proxy)
	return err
}

// isDeferred reports whether an agent has not been told yet of a change of an endpoint.
func (w *environment) isDeferred(host string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.ContainsFunc(w.agents, func(a *nodeAgent) bool {
		return slices.ContainsFunc(a.deferred, func(e testbed.EndpointEntry) bool { return e.Host == host })
	})
}

// slowDown sets the pace of an agent. With breakWatches set, it ends the open watches, and changes count as listed only when a new
// one has to be heard.
func (w *environment) slowDown(a *nodeAgent, pace testbed.AgentPace, breakWatches bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a.SetPace(pace)
	if breakWatches {
		a.BreakWatches()
		a.silentUntil = w.testbed.Now().Add(watchSilenceLimit)
	}
}

// close closes the endpoints, proxies and agents.
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

// setFaultMode sets a fault of an endpoint for a duration. It records the beginning and the end of an outage.
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
