// Package testbed is a stand-in for the platform on loopback: clients, endpoints, and an agent for discovery and
// notices. It records what passes on its sockets, injects faults on command, and Check reports which rules were
// violated. It implements the protocol of the platform and knows nothing about the dispatcher's code.
package testbed

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"whinrun/internal/clock"
	"whinrun/internal/loopback"
)

// FreeAddr returns an address for one dispatcher to listen on, also after a restart.
func FreeAddr() (string, error) {
	ln, err := net.Listen("tcp", loopback.Next())
	if err != nil {
		return "", err
	}
	return ln.Addr().String(), ln.Close()
}

// Testbed records events and creates the endpoints, agents and proxies that report them.
type Testbed struct {
	mu        sync.Mutex
	events    []Event
	callCount int
	connCount int
	// changed is closed and replaced at each event.
	changed chan struct{}
}

// New returns a test bed without events.
func New() *Testbed { return &Testbed{changed: make(chan struct{})} }

// Now returns the time on the clock that stamps events.
func (s *Testbed) Now() time.Time { return clock.Wall() }

// Record appends events. An event without a time gets the present one.
func (s *Testbed) Record(events ...Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Wall()
	for _, e := range events {
		if e.At.IsZero() {
			e.At = now
		}
		s.events = append(s.events, e)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Events returns the events so far.
func (s *Testbed) Events() []Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.events[:len(s.events):len(s.events)]
}

// Await waits until enough returns true for the events so far. It returns false if that does not happen within timeout.
func (s *Testbed) Await(timeout time.Duration, enough func([]Event) bool) bool {
	timedOut := time.After(timeout)
	for {
		s.mu.Lock()
		events, changed := s.events[:len(s.events):len(s.events)], s.changed
		s.mu.Unlock()
		if enough(events) {
			return true
		}
		select {
		case <-changed:
		case <-timedOut:
			return false
		}
	}
}

// Count counts the events of a kind for the message name, or for all messages where name is empty.
func Count(events []Event, kind Kind, name string) (n int) {
	for _, e := range events {
		if e.Kind == kind && (name == "" || e.Name == name) {
			n++
		}
	}
	return n
}

// AllEnded reports whether each of the messages was delivered, was over, or ended by a notice.
func AllEnded(events []Event, names []string) bool {
	ended := map[string]bool{}
	for _, e := range events {
		if e.Kind == NoticeReceived || e.tellsEnd() {
			ended[e.Name] = true
		}
	}
	return !slices.ContainsFunc(names, func(n string) bool { return !ended[n] })
}

// Settings are the settings of a dispatcher on a test bed, in the platform's format. They have classes of each repeat
// effect, one class that keeps its order, a kind of destination that takes several messages in a call, and one that does
// not.
const Settings = `{"classes":[
 {"effect":"free","gain":2,"group":"all","hard-limit":4000000,"late-worth":0,"name":"status","target":1000000,"window":1000000},
 {"effect":"guarded","gain":1,"group":"all","hard-limit":5000000,"late-worth":0.5,"name":"sync","target":1000000,"window":4000000},
 {"effect":"single_shot","gain":5,"group":"all","hard-limit":5000000,"late-worth":0.5,"name":"upload","target":1000000,"window":1000000},
 {"effect":"guarded","gain":1,"group":"all","hard-limit":5000000,"late-worth":0.5,"name":"turns","target":1000000,"window":4000000,"by-arrival":true}],
 "dcs":["east","west"],"extra":{"batch-by-kind":[5,1],"slots":10,"routes-apart":[false,false],"late":"linear"},
 "host-types":["bulk","single"],"instances":1,"me":0,"zone":0,"tick":5000,"weights":"none",
 "limits":{"conn-idle":5000000,"connect-timeout":1500000,"max-open":400,"max-retry-after":2000000,"may-cancel":true,"most-tries":6,
  "probes":true,"retry-after":true,"streams-per-conn":1},
 "report":{"names":[],"via":"none"},"rules":{"cold-from":0.5,"overload-for":2000000,"stop-sending-within":1000000,"tip-multiple":2,
  "warm-up":2000000,"settle-after-doubt":200000},"tenants":[{"name":"acme","quota-per-s":1000}]}`

// Configuration returns the configuration file of a dispatcher that listens on an address and uses an agent. The agent's
// present list is the last known list in it.
func Configuration(listen string, agent *Agent) []byte {
	return fmt.Appendf(nil, `{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
 "limits":{"cores":1,"memory_mb":64,"sockets":256,"disk_mb":1},"known":%s,"settings":%s}`, listen, agent.Addr, agent.FullList(), Settings)
}
