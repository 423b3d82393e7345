// Package soak runs a few dozen real dispatchers against the platform's stand-in, has random faults overlap - signals, the
// network, endpoints, discovery, clients - and judges what passed by the rules. One seed gives one sequence of faults.
package soak

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Config is of one run.
type Config struct {
	Binary     string        // the program
	Folder     string        // for state and logs; empty for a temporary one, removed after a clean run
	Seed       uint64        //
	Nodes      int           // dispatchers
	Duration   time.Duration // of faults and load; the run ends some seconds later
	Rate       float64       // messages a second handed to each dispatcher
	FaultKinds []string      // kinds of fault, empty for all
}

// Fault is one trouble, planned ahead.
type Fault struct {
	At       time.Duration
	Kind     string
	Target   int           // number of a node or an endpoint, as the kind has it
	Duration time.Duration // how long it lasts, where it does
}

// kinds are the faults that there are, with how often each is drawn against the others.
var kinds = []struct {
	name  string
	share int
}{
	{"kill", 3},       // SIGKILL, and a restart
	{"kill-twice", 2}, // again while what the first left is being worked off
	{"stop", 2},       // SIGTERM, and a restart
	{"pause", 4},      // SIGSTOP for up to 0.15 s
	{"reload", 1},     // SIGHUP with another discovery, at times behind a broken file
	{"files", 1},      // fewer descriptors than are open
	{"hang", 3},       // an endpoint answers nothing
	{"drop", 3},       // an endpoint ends connections under calls: an outage, and cold afterwards
	{"errors", 2},     // an endpoint answers 500
	{"busy", 2},       // an endpoint turns calls away
	{"waits", 2},      // an endpoint tells to wait
	{"slow", 2},       // an endpoint answers late
	{"spoilt", 2},     // an endpoint answers what can't be read
	{"refuse", 2},     // an endpoint's connections are refused
	{"hold", 3},       // the network to an endpoint says nothing
	{"trickle", 1},    // bytes to and from an endpoint come one at a time
	{"reset", 3},      // the connections to an endpoint are reset
	{"drain", 3},      // an endpoint drains, goes, and another comes
	{"mute", 2},       // a discovery says nothing
	{"silence", 2},    // the open watches of a discovery fall silent
	{"notices", 2},    // notices are not taken
	{"rude", 2},       // clients that send what can't be used
	{"halves", 2},     // clients that stop in the middle of a request
	{"crowd", 1},      // connections that say nothing
	{"pipeline", 2},   // requests ahead of answers
	{"impatience", 1}, // clients that go before they are answered
}

// FaultKinds names the faults that there are.
func FaultKinds() []string {
	names := make([]string, len(kinds))
	for i, k := range kinds {
		names[i] = k.name
	}
	return names
}

// faultsPerSecond is for each dozen of nodes.
const faultsPerSecond = 4

// plan draws the faults of a run, in order.
func (c *Config) plan() []Fault {
	rng := rand.New(rand.NewPCG(c.Seed, 0x50a4))
	var names []string
	for _, k := range kinds {
		if len(c.FaultKinds) == 0 || slices.Contains(c.FaultKinds, k.name) {
			names = append(names, slices.Repeat([]string{k.name}, k.share)...)
		}
	}
	n := int(faultsPerSecond * float64(c.Nodes) / 12 * c.Duration.Seconds())
	all := make([]Fault, max(1, n))
	for i := range all {
		all[i] = Fault{At: time.Duration(rng.Float64() * float64(c.Duration)), Kind: names[rng.IntN(len(names))], Target: rng.IntN(1 << 20),
			Duration: time.Duration((0.2 + 2.8*rng.Float64()*rng.Float64()) * float64(time.Second))}
	}
	slices.SortFunc(all, func(a, b Fault) int { return int(a.At - b.At) })
	return all
}

// list joins names for people.
func list(names []string) string { return strings.Join(names, ", ") }
