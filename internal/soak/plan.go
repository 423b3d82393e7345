// Package soak runs a few dozen real dispatchers against a stand-in for the platform under random faults that overlap:
// signals, the network, endpoints, discovery and clients. It checks the recorded events by the rules of the test bed.
// One seed gives one sequence of faults.
package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Config configures one run.
type Config struct {
	// Binary is the path of the dispatcher program.
	Binary string
	// Folder is where the state and logs of the run are kept, in a subfolder for the seed. If it is empty, a temporary
	// folder is used. Either one is removed after a run without violations.
	Folder string
	// Seed determines the faults and the load.
	Seed uint64
	// Nodes is the number of dispatchers.
	Nodes int
	// Duration is how long faults and load last. The run ends some seconds later.
	Duration time.Duration
	// Rate is the number of messages a second that are submitted to each dispatcher.
	Rate float64
	// Intensity is the factor on the rate of faults. Zero stands for 1.
	Intensity float64
	// FaultKinds lists the kinds of fault to use, empty for all.
	FaultKinds []string
	// Slots is the number of calls that a dispatcher may have in flight. Zero stands for that of the test bed.
	Slots int
	// Latency is the time that bytes take each way between dispatchers and endpoints.
	Latency time.Duration
	// MaxBody is the size below which bodies of messages are, in bytes. Zero stands for defaultMaxBody. Large ones fill ledgers.
	MaxBody int
}

// defaultMaxBody is the size below which bodies are without Config.MaxBody, in bytes.
const defaultMaxBody = 400

// maxBody returns the size below which bodies are.
func (c *Config) maxBody() int { return cmp.Or(c.MaxBody, defaultMaxBody) }

// Fault is one planned fault.
type Fault struct {
	// At is the time since the start of the run's faults.
	At time.Duration
	// Kind is one of FaultKinds.
	Kind string
	// Target selects a node or an endpoint, as the kind needs.
	Target int
	// Duration is how long the fault lasts, for kinds that last.
	Duration time.Duration
}

// faultKinds holds the kinds of fault and their relative weights in the random choice.
var faultKinds = []struct {
	name   string
	weight int
}{
	// SIGKILL and a restart.
	{"kill", 3},
	// SIGKILL and a restart, and both again while the process recovers from the first.
	{"kill-twice", 2},
	// SIGTERM and a restart.
	{"stop", 2},
	// SIGTERM, SIGKILL after 3.7 s if the process still runs, a restart, and SIGKILL while it recovers.
	{"stop-kill", 1},
	// SIGHUP with another agent, and SIGTERM right behind it.
	{"reload-stop", 1},
	// SIGSTOP for up to 0.15 s, SIGTERM, and the same again during the stop.
	{"pause-stop", 1},
	// SIGSTOP for up to 0.15 s.
	{"pause", 4},
	// SIGHUP with another agent for discovery, half of the time after a malformed file.
	{"reload", 1},
	// SIGHUP with up to three other agents in quick succession, which answer a watch after up to 3 s.
	{"slow-reload", 2},
	// A limit of descriptors at the number that is open.
	{"files", 1},
	// An endpoint does not answer. This is an outage, and the endpoint is cold afterwards.
	{"hang", 3},
	// An endpoint closes connections during calls. This is an outage, and the endpoint is cold afterwards.
	{"drop", 3},
	// An endpoint answers 500. This is an outage, and the endpoint is cold afterwards.
	{"errors", 2},
	// An endpoint answers 503.
	{"busy", 2},
	// An endpoint answers 429 with a wait.
	{"waits", 2},
	// An endpoint answers late.
	{"slow", 2},
	// An endpoint sends malformed answers.
	{"spoilt", 2},
	// An endpoint sends answers again, up to a second later.
	{"copies", 4},
	// An endpoint sends the first part of answers again, up to a second later.
	{"parts", 1},
	// An endpoint answers that some messages are over, half of the time in an answer that is cut off.
	{"over", 3},
	// An endpoint resets connections up to 0.1 s behind answers.
	{"reset-behind", 2},
	// An endpoint closes idle connections early, half of the time right behind a copy of an answer.
	{"early-close", 3},
	// An endpoint does all that together: copies, ends of messages, answers cut off, resets and calls without an answer.
	{"doubt", 3},
	// Connections to an endpoint are refused.
	{"refuse", 2},
	// The network to an endpoint lets nothing pass.
	{"hold", 3},
	// Bytes to and from an endpoint pass one at a time.
	{"trickle", 1},
	// The connections to an endpoint are reset.
	{"reset", 3},
	// An endpoint drains and is removed, and another replaces it.
	{"drain", 3},
	// An endpoint is removed, and behind the time at which all know, another one, of another destination, sits at its address.
	{"foreign", 2},
	// An agent answers watches after up to 3 s and notices after up to 1 s, half of the time behind the end of the open watches.
	{"slow-discovery", 3},
	// An agent answers no watches.
	{"mute", 2},
	// The open watches of an agent get no more answers.
	{"silence", 2},
	// An agent fails notices.
	{"notices", 2},
	// An agent sends answers and lists again.
	{"agent-copies", 2},
	// Requests come twice on their connections.
	{"request-copies", 2},
	// Clients send malformed requests.
	{"rude", 2},
	// Clients stop in the middle of a request.
	{"halves", 2},
	// Clients open connections and send nothing.
	{"crowd", 1},
	// A client sends requests without waiting for answers.
	{"pipeline", 2},
	// Clients close their connections before the answer.
	{"impatience", 1},
}

// FaultKinds returns the names of the kinds of fault.
func FaultKinds() []string {
	names := make([]string, len(faultKinds))
	for i, k := range faultKinds {
		names[i] = k.name
	}
	return names
}

// faultsPerSecond is the rate of faults for each 12 nodes.
const faultsPerSecond = 4

// plan returns the random faults of a run in the order of their times.
func (c *Config) plan() []Fault {
	rng := rand.New(rand.NewPCG(c.Seed, 0x50a4))
	var names []string
	for _, k := range faultKinds {
		if len(c.FaultKinds) == 0 || slices.Contains(c.FaultKinds, k.name) {
			names = append(names, slices.Repeat([]string{k.name}, k.weight)...)
		}
	}
	count := int(cmp.Or(c.Intensity, 1) * faultsPerSecond * float64(c.Nodes) / 12 * c.Duration.Seconds())
	faults := make([]Fault, max(1, count))
	for i := range faults {
		faults[i] = Fault{At: time.Duration(rng.Float64() * float64(c.Duration)), Kind: names[rng.IntN(len(names))], Target: rng.IntN(1 << 20),
			Duration: time.Duration((0.2 + 2.8*rng.Float64()*rng.Float64()) * float64(time.Second))}
	}
	if c.crowded() {
		for node := range c.Nodes {
			faults = append(faults, Fault{Kind: "crowd", Target: node, Duration: c.Duration})
		}
	}
	slices.SortFunc(faults, func(a, b Fault) int { return int(a.At - b.At) })
	return faults
}

// crowdedSeeds says how many seeds there are for each run that is crowded from its beginning to its end.
const crowdedSeeds = 5

// crowded reports whether idle clients fill the descriptors of all nodes throughout the run.
func (c *Config) crowded() bool {
	return c.Seed%crowdedSeeds == 0 && (len(c.FaultKinds) == 0 || slices.Contains(c.FaultKinds, "crowd"))
}

// joinNames joins names for a message.
func joinNames(names []string) string { return strings.Join(names, ", ") }
