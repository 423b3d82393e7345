package soak

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"whinrun/internal/testbed"
)

// place is one endpoint behind a proxy.
type place struct {
	host  testbed.EndpointEntry
	end   *testbed.Endpoint
	proxy *testbed.Proxy
	mode  atomic.Pointer[mode]
	gone  bool
}

// mode is how an endpoint behaves for a while.
type mode struct {
	kind  string
	until time.Time
}

// world is what the dispatchers deliver to.
type world struct {
	bed *testbed.Testbed

	mu     sync.Mutex
	places []*place
	next   int
	agents []*agent // of the nodes, by number
}

// agent is the discovery of one node, and what it is told of changes.
type agent struct {
	*testbed.Agent
	muted   bool
	waiting []testbed.EndpointEntry // changes that it learns when discovery returns
	deafTo  time.Time               // changes count as told then at the latest: open watches have fallen silent
}

// destinations of the world; odd ones take several messages in a call.
const (
	destinations = 8
	silentFor    = 6 * time.Second // a change counts as told so long after a watch fell silent
	reloadFor    = 4 * time.Second // and so long after SIGHUP
)

func newWorld(bed *testbed.Testbed) (*world, error) {
	w := &world{bed: bed}
	for dest := range destinations {
		for range 1 + dest%3 {
			if _, err := w.add(dest); err != nil {
				return nil, err
			}
		}
	}
	return w, nil
}

// class is the kind of a destination's endpoints.
func class(dest int) string {
	if dest%2 == 1 {
		return "bulk"
	}
	return "single"
}

// add opens an endpoint and tells all agents of it.
func (w *world) add(dest int) (*place, error) {
	w.mu.Lock()
	w.next++
	name := fmt.Sprintf("e%d", w.next)
	w.mu.Unlock()
	p := &place{}
	var err error
	if p.end, err = w.bed.Endpoint(name, dest, "", p.act); err != nil {
		return nil, err
	}
	if p.proxy, err = w.bed.Proxy(p.end); err != nil {
		return nil, err
	}
	site := []string{"east", "west"}[w.next%2]
	p.host = testbed.EndpointEntry{Host: name, Dial: p.proxy.Addr, Site: site, Class: class(dest), Block: dest, Health: "ready", Share: 50}
	w.mu.Lock()
	w.places = append(w.places, p)
	w.mu.Unlock()
	w.tell(p.host)
	return p, nil
}

// pick chooses an endpoint that is listed ready.
func (w *world) pick(n int) *place {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.places {
		if p := w.places[(n+i)%len(w.places)]; p.host.Health == "ready" {
			return p
		}
	}
	return nil
}

// tell has all agents learn of a change.
func (w *world) tell(h testbed.EndpointEntry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.agents {
		a.learn(h, w.bed.Now())
	}
}

func (a *agent) learn(h testbed.EndpointEntry, now time.Time) {
	if a.muted {
		a.waiting = append(a.waiting, h)
		return
	}
	at := now
	if a.deafTo.After(now) {
		at = a.deafTo
	}
	a.PublishAt(at, h)
}

// agent opens the discovery of a node, which knows all that is listed.
func (w *world) agent(node string) (*agent, error) {
	plain, err := w.bed.Agent()
	if err != nil {
		return nil, err
	}
	plain.Node = node
	a := &agent{Agent: plain}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.places {
		if !p.gone {
			a.learn(p.host, w.bed.Now())
		}
	}
	return a, nil
}

// agentOf is the discovery of a node.
func (w *world) agentOf(node int) *agent {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.agents[node]
}

// move gives a node another discovery, and returns the one before.
func (w *world) move(node int, to *agent) *agent {
	w.mu.Lock()
	defer w.mu.Unlock()
	old := w.agents[node]
	w.agents[node] = to
	to.deafTo = w.bed.Now().Add(reloadFor)
	return old
}

// mute has a discovery say and learn nothing, or return.
func (w *world) mute(a *agent, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a.muted = on
	a.SetMuted(on)
	if !on {
		for _, h := range a.waiting {
			a.learn(h, w.bed.Now())
		}
		a.waiting = nil
	}
}

// silence has the open watches of a discovery fall silent.
func (w *world) silence(a *agent) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a.SilenceOpenWatches()
	a.deafTo = w.bed.Now().Add(silentFor)
}

// drain has an endpoint drain, another take its place, and the first go.
func (w *world) drain(p *place, after time.Duration) error {
	if _, err := w.add(p.host.Block); err != nil {
		return err
	}
	health := func(h string) {
		w.mu.Lock()
		p.host.Health = h
		p.gone = h == "gone"
		host := p.host
		w.mu.Unlock()
		w.tell(host)
	}
	health("draining")
	time.AfterFunc(after, func() { health("gone") })
	return nil
}

// close ends all.
func (w *world) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.places {
		p.proxy.Close()
		p.end.Close()
	}
	for _, a := range w.agents {
		a.Close()
	}
}

// behave has an endpoint behave in a way for a while.
func (w *world) behave(p *place, kind string, span time.Duration) {
	outage := kind == "drop" || kind == "hang" || kind == "errors"
	if outage {
		w.bed.Record(testbed.Event{Kind: testbed.OutageBegan, Host: p.host.Host})
	}
	m := &mode{kind, w.bed.Now().Add(span)}
	p.mode.Store(m)
	time.AfterFunc(span, func() {
		if p.mode.CompareAndSwap(m, nil) && outage {
			w.bed.Record(testbed.Event{Kind: testbed.OutageEnded, Host: p.host.Host})
		}
	})
}

// act is what the endpoint does with a call: mostly well, and as its mode says.
func (p *place) act(c testbed.Call) testbed.Reply {
	after := time.Duration(2+c.Number*7%20) * time.Millisecond
	m := p.mode.Load()
	if m == nil {
		switch c.Number % 97 {
		case 13:
			return testbed.Reply{Status: 500, Delay: after}
		case 31:
			return testbed.Reply{Status: 503, Delay: after}
		case 57:
			return testbed.Reply{Drop: true, Delay: after}
		}
		return testbed.Reply{Status: 200, Delay: after}
	}
	switch m.kind {
	case "hang":
		return testbed.Reply{Hang: true}
	case "drop":
		return testbed.Reply{Drop: true, Delay: after}
	case "errors":
		return testbed.Reply{Status: 500, Delay: after}
	case "busy":
		return testbed.Reply{Status: 503, Delay: after}
	case "waits":
		return testbed.Reply{Status: 429, RetryAfter: time.Duration(200+c.Number*37%700) * time.Millisecond, Delay: after}
	case "slow":
		return testbed.Reply{Status: 200, Delay: time.Duration(200+c.Number*53%900) * time.Millisecond}
	}
	return spoilt(c, after)
}

// spoilt is an answer that can't be read, or brings more than belongs to it.
func spoilt(c testbed.Call, after time.Duration) testbed.Reply {
	one := len(c.MessageNames) == 1
	switch {
	case c.Number%4 == 0:
		return testbed.Reply{Status: 500, Raw: "\x16\x03\x01 noise\r\n\r\n", Delay: after}
	case c.Number%4 == 1 && one: // the first line is true
		return testbed.Reply{Status: 200, Raw: "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nmore to come", Delay: after}
	case c.Number%4 == 2:
		return testbed.Reply{Status: 500, Raw: "HTTP/1.1 5", Close: true, Delay: after}
	}
	return testbed.Reply{Status: 200, TrailingBytes: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", Delay: after}
}
