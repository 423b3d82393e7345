package soak

import (
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"

	"whinrun/internal/testbed"
)

// maxSlowList is the longest time until a slow agent has written the first list of a watch. It leaves time for it to count within
// reloadLimit.
const maxSlowList = 3 * time.Second

// slowPace returns the pace of a slow agent. Half of them write the first list in pieces.
func slowPace(rng *rand.Rand) testbed.AgentPace {
	return testbed.AgentPace{FirstList: time.Duration(rng.Int64N(int64(maxSlowList))), Pieces: 1 + 19*rng.IntN(2), Notices: time.Duration(rng.Int64N(int64(time.Second)))}
}

// runDiscoveryFault executes a fault of a node's agent.
func (r *run) runDiscoveryFault(f Fault, n *node, rng *rand.Rand) {
	agent := r.environment.agentOf(n.number)
	switch f.Kind {
	case "mute":
		r.environment.setMuted(agent, true)
		time.Sleep(f.Duration)
		r.environment.setMuted(agent, false)
	case "silence":
		r.environment.silenceOpenWatches(agent)
	case "agent-copies":
		var mu sync.Mutex
		agent.CopyWrites(func() (time.Duration, bool) {
			mu.Lock()
			defer mu.Unlock()
			return time.Duration(rng.IntN(300)) * time.Millisecond, rng.IntN(2) == 0
		})
		time.Sleep(f.Duration)
		agent.CopyWrites(nil)
	case "slow-discovery":
		r.environment.slowDown(agent, slowPace(rng), rng.IntN(2) == 0)
		time.Sleep(f.Duration)
		agent.SetPace(testbed.AgentPace{})
	case "notices":
		agent.FailNotices(503)
		// A longer failure would delay notices beyond their deadlines.
		time.Sleep(min(f.Duration, 250*time.Millisecond))
		agent.FailNotices(0)
	}
}

// reloadNode moves a node to another agent by SIGHUP. With broken set, it first reloads a malformed configuration file.
func (r *run) reloadNode(n *node, broken bool) error {
	if err := r.startReload(n, broken, testbed.AgentPace{}); err != nil {
		return err
	}
	time.Sleep(previousAgentTime)
	return nil
}

// previousAgentTime is how long the previous agent of a node goes on after SIGHUP.
const previousAgentTime = 1500 * time.Millisecond

// reloadToSlowAgents moves a node to up to three other agents in quick succession, which answer late.
func (r *run) reloadToSlowAgents(n *node, rng *rand.Rand) error {
	for range 1 + rng.IntN(3) {
		if err := r.startReload(n, false, slowPace(rng)); err != nil {
			return err
		}
		time.Sleep(time.Duration(rng.IntN(600)) * time.Millisecond)
	}
	time.Sleep(previousAgentTime)
	return nil
}

// startReload moves a node to another agent, which answers at a pace, and closes the previous agent later.
func (r *run) startReload(n *node, broken bool, pace testbed.AgentPace) error {
	if broken {
		if err := os.WriteFile(n.configPath(), []byte("{"), 0o600); err != nil {
			return err
		}
		n.signal(syscall.SIGHUP)
		time.Sleep(50 * time.Millisecond)
	}
	next, err := r.environment.newAgent(n.name, r.environment.agentOf(n.number))
	if err != nil {
		return err
	}
	next.SetPace(pace)
	previous := r.environment.replaceAgent(n.number, next)
	if err := n.writeConfig(); err != nil {
		return err
	}
	n.signal(syscall.SIGHUP)
	time.AfterFunc(previousAgentTime, previous.Close)
	return nil
}
