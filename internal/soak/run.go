package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"whinrun/internal/clock"
	"whinrun/internal/testbed"
)

// Result is the outcome of one run.
type Result struct {
	// Seed is the seed of the run.
	Seed uint64
	// Faults are the planned faults.
	Faults []Fault
	// Elapsed is the time from the start of the run until the result.
	Elapsed time.Duration
	// Accepted counts the accepted messages.
	Accepted int64
	// Delivered counts the messages that a call was answered 200 for.
	Delivered int
	// EndedByNotice counts the notices.
	EndedByNotice int
	// Calls counts the calls at the endpoints.
	Calls int
	// Violations describes each violation of a rule, sorted.
	Violations []string
	// Folder is the folder with logs and events. It is empty where it was removed.
	Folder string
}

// run is the state of one run.
type run struct {
	cfg         Config
	testbed     *testbed.Testbed
	environment *environment
	nodes       []*node
	watch       clock.Stopwatch
	// faultRNG gives each fault its seed. It is guarded by mu.
	faultRNG *rand.Rand

	messageCount, openClients, acceptedCount counter
	runningClients                           sync.WaitGroup
	runningFaults                            sync.WaitGroup

	mu         sync.Mutex
	violations []string
}

// violation records a violation with the time since the start of the run.
func (r *run) violation(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf("at %.3f s: ", r.watch.Elapsed().Seconds())+fmt.Sprintf(format, a...))
}

// newFaultRNG returns a random number generator for one fault.
func (r *run) newFaultRNG() *rand.Rand {
	r.mu.Lock()
	defer r.mu.Unlock()
	return rand.New(rand.NewPCG(r.faultRNG.Uint64(), 1))
}

// Run executes one run. It returns an error where the run could not be set up. Violations are in the result.
func Run(ctx context.Context, cfg Config) (*Result, error) {
	r := &run{cfg: cfg, testbed: testbed.New(), watch: clock.StartStopwatch(), faultRNG: rand.New(rand.NewPCG(cfg.Seed, 7))}
	if cfg.Folder == "" {
		folder, err := os.MkdirTemp("", "soak")
		if err != nil {
			return nil, err
		}
		r.cfg.Folder = folder
	} else {
		r.cfg.Folder = filepath.Join(cfg.Folder, fmt.Sprint("seed-", cfg.Seed))
		// The state of an earlier run is of other endpoints, in lists of the same versions.
		if err := os.RemoveAll(r.cfg.Folder); err != nil {
			return nil, err
		}
	}
	if err := r.startNodes(); err != nil {
		return nil, err
	}
	defer r.environment.close()
	loadCtx, stop := context.WithCancel(ctx)
	var loadGenerators sync.WaitGroup
	for _, n := range r.nodes {
		loadGenerators.Go(func() { r.generateLoad(loadCtx, n) })
		for i := range keepAliveClients {
			rng := rand.New(rand.NewPCG(r.cfg.Seed, uint64(1000+n.number*keepAliveClients+i)))
			loadGenerators.Go(func() { r.keepAliveClient(loadCtx, n, rng) })
		}
	}
	plan := r.cfg.plan()
	r.runPlan(ctx, plan)
	stop()
	loadGenerators.Wait()
	r.runningFaults.Wait()
	r.runningClients.Wait()
	r.settle()
	return r.result(plan), nil
}

// keepAliveClients is the number of clients of each node that keep their connections.
const keepAliveClients = 2

// startNodes creates the environment and starts all nodes.
func (r *run) startNodes() error {
	var err error
	if r.environment, err = newEnvironment(r.testbed, r.cfg.Latency); err != nil {
		return err
	}
	for i := range r.cfg.Nodes {
		n, err := r.newNode(i)
		if err != nil {
			return err
		}
		agent, err := r.environment.newAgent(n.name, nil)
		if err != nil {
			return err
		}
		r.environment.agents = append(r.environment.agents, agent)
		r.nodes = append(r.nodes, n)
	}
	for _, n := range r.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	return nil
}

// runPlan starts the faults at their times, and returns at the end of the run's duration or of ctx.
func (r *run) runPlan(ctx context.Context, plan []Fault) {
	stopwatch := clock.StartStopwatch()
	for _, f := range plan {
		select {
		case <-ctx.Done():
			return
		case <-time.After(f.At - stopwatch.Elapsed()):
		}
		r.runningFaults.Go(func() { r.runFault(f) })
	}
	select {
	case <-ctx.Done():
	case <-time.After(r.cfg.Duration - stopwatch.Elapsed()):
	}
}

// runFault executes one fault.
func (r *run) runFault(f Fault) {
	n := r.nodes[f.Target%len(r.nodes)]
	rng := r.newFaultRNG()
	switch f.Kind {
	case "kill", "kill-twice", "stop", "stop-kill", "reload-stop", "pause-stop", "pause", "reload", "slow-reload", "files":
		r.runProcessFault(f, n, rng)
	case "rude", "halves", "crowd", "pipeline", "impatience", "request-copies":
		r.runClientFault(f, n, rng)
	case "mute", "silence", "notices", "agent-copies", "slow-discovery":
		r.runDiscoveryFault(f, n, rng)
	default:
		if p := r.environment.pickReady(f.Target); p != nil {
			r.runEndpointFault(f, p)
		}
	}
}

// runProcessFault executes a fault of a node's process. It does nothing while another fault works on the same process.
func (r *run) runProcessFault(f Fault, n *node, rng *rand.Rand) {
	if !n.processMu.TryLock() {
		return
	}
	defer n.processMu.Unlock()
	switch f.Kind {
	case "kill":
		r.restartNode(n, n.kill, f.Duration/4)
	case "kill-twice":
		r.restartNode(n, n.kill, f.Duration/4)
		time.Sleep(time.Duration(rng.IntN(800)) * time.Millisecond)
		r.restartNode(n, n.kill, f.Duration/4)
	case "stop":
		r.restartNode(n, n.stop, f.Duration/4)
	case "stop-kill":
		r.restartNode(n, n.stop, f.Duration/4)
		r.restartNode(n, n.kill, f.Duration/4)
	case "reload-stop":
		stopAfterReload := func() error {
			if err := r.startReload(n, rng.IntN(2) == 0, testbed.AgentPace{}); err != nil {
				return err
			}
			return n.stop()
		}
		r.restartNode(n, stopAfterReload, f.Duration/4)
	case "pause-stop":
		n.pause(rng)
		r.runningFaults.Go(func() {
			time.Sleep(time.Duration(rng.IntN(500)) * time.Millisecond)
			n.pause(rng)
		})
		r.restartNode(n, n.stop, f.Duration/4)
	case "pause":
		n.pause(rng)
	case "reload":
		if err := r.reloadNode(n, rng.IntN(2) == 0); err != nil {
			r.violation("%s: reload: %v", n.name, err)
		}
	case "slow-reload":
		if err := r.reloadToSlowAgents(n, rng); err != nil {
			r.violation("%s: reload: %v", n.name, err)
		}
	case "files":
		defer n.beginExhaustion()()
		restore, err := n.exhaustDescriptors()
		if err != nil {
			return
		}
		time.Sleep(f.Duration)
		restore()
		// After it failed to accept connections, the node resumes only after a pause.
		time.Sleep(time.Second)
	}
}

// restartNode ends a process and starts the next one after a pause.
func (r *run) restartNode(n *node, endProcess func() error, pause time.Duration) {
	if err := endProcess(); err != nil {
		r.violation("%s: %v", n.name, err)
	}
	time.Sleep(pause)
	if err := n.start(); err != nil {
		r.violation("%v", err)
	}
}

// runClientFault executes a fault of clients.
func (r *run) runClientFault(f Fault, n *node, rng *rand.Rand) {
	switch f.Kind {
	case "rude":
		for range 10 {
			r.runningClients.Go(func() { r.sendMalformed(n, malformedRequests[f.Target%len(malformedRequests)]) })
		}
	case "halves":
		for range 10 {
			text := string(testbed.EncodeRequest(r.newMessage(rng, n)))
			cut := 1 + rng.IntN(len(text)-1)
			r.runningClients.Go(func() { r.sendMalformed(n, text[:cut]) })
		}
	case "crowd":
		defer n.beginExhaustion()()
		for range 200 {
			if c, err := net.DialTimeout("tcp", n.addr, submitTimeout); err == nil {
				defer func() { _ = c.Close() }()
			}
		}
		time.Sleep(f.Duration)
	case "pipeline":
		r.sendPipelined(n, rng)
	case "request-copies":
		for range 10 {
			m := r.newMessage(rng, n)
			r.runningClients.Go(func() { r.sendTwice(n, m, f.Duration/10) })
		}
	case "impatience":
		for range 20 {
			if c, err := net.DialTimeout("tcp", n.addr, submitTimeout); err == nil {
				_, _ = c.Write(testbed.EncodeRequest(r.newMessage(rng, n)))
				_ = c.Close()
			}
		}
	}
}

// runEndpointFault executes a fault of an endpoint or of the network to it.
func (r *run) runEndpointFault(f Fault, p *proxiedEndpoint) {
	switch f.Kind {
	case "refuse":
		p.proxy.RefuseConnections(f.Duration)
	case "hold":
		p.proxy.Stall(f.Duration)
	case "trickle":
		p.proxy.Throttle(f.Duration, time.Millisecond, true)
	case "reset":
		p.proxy.ResetConnections()
	case "drain":
		if err := r.environment.drain(p, f.Duration); err != nil {
			r.violation("drain: %v", err)
		}
	case "foreign":
		if err := r.environment.replaceForeign(p, f.Duration/4); err != nil {
			r.violation("replacement by another destination: %v", err)
		}
	default:
		r.environment.setFaultMode(p, f.Kind, f.Duration)
	}
}

// settleTimeout is how long messages may take to end after the last fault. It covers the longest lifetime of a message
// (4.5 s) and the slack of the rules.
const settleTimeout = 6 * time.Second

// settle waits until the accepted messages have ended, checks that no node hangs, and then stops all nodes.
func (r *run) settle() {
	r.awaitEnds()
	var probes sync.WaitGroup
	for _, n := range r.nodes {
		probes.Go(func() { r.probe(n) })
	}
	probes.Wait()
	r.awaitEnds()
	var stops sync.WaitGroup
	for _, n := range r.nodes {
		stops.Go(func() {
			if err := n.stop(); err != nil {
				r.violation("%s: %v", n.name, err)
			}
		})
	}
	stops.Wait()
}

// awaitEnds waits until the accepted messages have ended, settleTimeout at most.
func (r *run) awaitEnds() {
	r.testbed.Await(settleTimeout, func(events []testbed.Event) bool {
		var names []string
		for _, e := range events {
			if e.Kind == testbed.Accepted {
				names = append(names, e.Name)
			}
		}
		return testbed.AllEnded(events, names)
	})
}

// spareCapacity is the capacity of an endpoint as a multiple of its demand.
const spareCapacity = 1.5

// holdUp is how long a dispatcher may be held up between reading its clock and writing (the users' standing page).
const holdUp = 150 * time.Millisecond

// rules returns the platform's rules, with slack for a machine that all processes of a run share.
func (r *run) rules() testbed.Rules {
	// The demand of one destination may all go to one endpoint.
	demand := r.cfg.Rate * float64(r.cfg.Nodes) / destinations
	return testbed.Rules{EndSlack: 700 * time.Millisecond, DrainGrace: drainGrace, AtMostOnce: []string{"upload"}, Ordered: []string{"turns"},
		DedupWindows: map[string]time.Duration{"sync": dedupWindow, "turns": dedupWindow}, ColdBudget: 1 << 30,
		WaitGrace: 200 * time.Millisecond, ObservationLag: 250 * time.Millisecond, EndGrace: holdUp,
		SlowStart: &testbed.SlowStart{Capacity: spareCapacity * demand, InitialFraction: 0.5, WarmUp: 2 * time.Second, OverloadFactor: 2, OverloadWindow: 2 * time.Second, MaxAwareShare: 2. / 3}}
}

// minDelivered is the least share of the accepted messages that is delivered (the users' gate: half of what can be served).
const minDelivered = 0.5

// result checks the recorded events and returns the outcome. It removes the folder where there is no violation.
func (r *run) result(plan []Fault) *Result {
	events := r.testbed.Events()
	res := &Result{Seed: r.cfg.Seed, Faults: plan, Accepted: r.acceptedCount.Load(), Folder: r.cfg.Folder}
	res.Violations = append(r.violations, testbed.Check(events, r.rules(), r.testbed.Now())...)
	for _, n := range r.nodes {
		res.Violations = append(res.Violations, n.logViolations()...)
	}
	calls := map[int]bool{}
	delivered := map[string]bool{}
	for _, e := range events {
		switch {
		case e.Kind == testbed.CallReceived:
			calls[e.Call] = true
		case e.Kind == testbed.CallAnswered && e.Status == 200:
			delivered[e.Name] = true
		case e.Kind == testbed.NoticeReceived:
			res.EndedByNotice++
		}
	}
	res.Calls, res.Delivered, res.Elapsed = len(calls), len(delivered), r.watch.Elapsed()
	if float64(res.Delivered) < minDelivered*float64(res.Accepted) {
		res.Violations = append(res.Violations, fmt.Sprintf("only %d of %d messages are delivered", res.Delivered, res.Accepted))
	}
	slices.Sort(res.Violations)
	if len(res.Violations) == 0 && r.cfg.Folder != "" {
		_ = os.RemoveAll(r.cfg.Folder)
		res.Folder = ""
	} else {
		r.writeEvents(events)
	}
	return res
}

// writeEvents writes the faults and the events to events.txt in the folder of the run.
func (r *run) writeEvents(events []testbed.Event) {
	file, err := os.Create(filepath.Join(r.cfg.Folder, "events.txt"))
	if err != nil {
		return
	}
	defer func() { _ = file.Close() }()
	for _, fault := range r.cfg.plan() {
		_, _ = fmt.Fprintf(file, "fault %8.3f %s target %d for %v\n", fault.At.Seconds(), fault.Kind, fault.Target, fault.Duration)
	}
	for _, e := range events {
		_, _ = fmt.Fprintf(file, "%s\n", e)
	}
}
