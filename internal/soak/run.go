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
	"syscall"
	"time"

	"whinrun/internal/clock"
	"whinrun/internal/testbed"
)

// Result is what a run came to.
type Result struct {
	Seed          uint64
	Faults        []Fault
	Elapsed       time.Duration
	Accepted      int64
	Delivered     int
	EndedByNotice int // by a notice
	Calls         int
	Violations    []string
	Folder        string // where the logs are, if it was kept
}

// run is one run.
type run struct {
	cfg   Config
	bed   *testbed.Testbed
	world *world
	nodes []*node
	watch clock.Stopwatch
	rng   *rand.Rand // of the faults, under mu

	names, out, taken counter
	clients           sync.WaitGroup
	faults            sync.WaitGroup

	mu         sync.Mutex
	violations []string
}

// fail notes something that must not happen.
func (r *run) fail(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf("at %.3f s: ", r.watch.Elapsed().Seconds())+fmt.Sprintf(format, a...))
}

// draw gives a fault its own random numbers.
func (r *run) draw() *rand.Rand {
	r.mu.Lock()
	defer r.mu.Unlock()
	return rand.New(rand.NewPCG(r.rng.Uint64(), 1))
}

// Run plays one run. An error tells that it could not be played; what it found is in the result.
func Run(ctx context.Context, cfg Config) (*Result, error) {
	r := &run{cfg: cfg, bed: testbed.New(), watch: clock.StartStopwatch(), rng: rand.New(rand.NewPCG(cfg.Seed, 7))}
	if cfg.Folder == "" {
		folder, err := os.MkdirTemp("", "soak")
		if err != nil {
			return nil, err
		}
		r.cfg.Folder = folder
	} else {
		r.cfg.Folder = filepath.Join(cfg.Folder, fmt.Sprint("seed-", cfg.Seed))
	}
	if err := r.open(); err != nil {
		return nil, err
	}
	defer r.world.close()
	load, stop := context.WithCancel(ctx)
	var loads sync.WaitGroup
	for _, n := range r.nodes {
		loads.Go(func() { r.load(load, n) })
	}
	plan := r.cfg.plan()
	r.play(ctx, plan)
	stop()
	loads.Wait()
	r.faults.Wait()
	r.clients.Wait()
	r.settle()
	return r.result(plan), nil
}

// open starts all nodes.
func (r *run) open() error {
	var err error
	if r.world, err = newWorld(r.bed); err != nil {
		return err
	}
	for i := range r.cfg.Nodes {
		n, err := r.newNode(i)
		if err != nil {
			return err
		}
		a, err := r.world.agent(n.name)
		if err != nil {
			return err
		}
		r.world.agents = append(r.world.agents, a)
		r.nodes = append(r.nodes, n)
	}
	for _, n := range r.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	return nil
}

// play has the faults happen at their times.
func (r *run) play(ctx context.Context, plan []Fault) {
	begun := clock.StartStopwatch()
	for _, f := range plan {
		select {
		case <-ctx.Done():
			return
		case <-time.After(f.At - begun.Elapsed()):
		}
		r.faults.Go(func() { r.fault(f) })
	}
	select {
	case <-ctx.Done():
	case <-time.After(r.cfg.Duration - begun.Elapsed()):
	}
}

// fault plays one fault.
func (r *run) fault(f Fault) {
	n := r.nodes[f.Target%len(r.nodes)]
	rng := r.draw()
	switch f.Kind {
	case "kill", "kill-twice", "stop", "pause", "reload", "files":
		r.process(f, n, rng)
	case "rude", "halves", "crowd", "pipeline", "impatience":
		r.bother(f, n, rng)
	case "mute", "silence", "notices":
		r.discovery(f, n)
	default:
		if p := r.world.pick(f.Target); p != nil {
			r.endpoint(f, p)
		}
	}
}

// process plays a fault of a node's process. One that another fault has in hand is left alone.
func (r *run) process(f Fault, n *node, rng *rand.Rand) {
	if !n.busy.TryLock() {
		return
	}
	defer n.busy.Unlock()
	switch f.Kind {
	case "kill":
		r.restart(n, n.kill, f.Duration/4)
	case "kill-twice":
		r.restart(n, n.kill, f.Duration/4)
		time.Sleep(time.Duration(rng.IntN(800)) * time.Millisecond)
		r.restart(n, n.kill, f.Duration/4)
	case "stop":
		r.restart(n, n.stop, f.Duration/4)
	case "pause":
		n.signal(syscall.SIGSTOP)
		time.Sleep(time.Duration(20+rng.IntN(130)) * time.Millisecond)
		n.signal(syscall.SIGCONT)
	case "reload":
		if err := r.reload(n, rng.IntN(2) == 0); err != nil {
			r.fail("%s: reload: %v", n.name, err)
		}
	case "files":
		n.crowd.Add(1)
		defer n.crowd.Add(-1)
		restore, err := n.limitFiles()
		if err != nil {
			return
		}
		time.Sleep(f.Duration)
		restore()
		time.Sleep(time.Second) // accepting goes on after a pause
	}
}

// restart ends a process and starts the next, some time later.
func (r *run) restart(n *node, end func() error, after time.Duration) {
	if err := end(); err != nil {
		r.fail("%s: %v", n.name, err)
	}
	time.Sleep(after)
	if err := n.start(); err != nil {
		r.fail("%v", err)
	}
}

// reload moves a node to another discovery, at times behind a file that can't be read.
func (r *run) reload(n *node, broken bool) error {
	if broken {
		if err := os.WriteFile(n.config(), []byte("{"), 0o600); err != nil {
			return err
		}
		n.signal(syscall.SIGHUP)
		time.Sleep(50 * time.Millisecond)
	}
	to, err := r.world.agent(n.name)
	if err != nil {
		return err
	}
	old := r.world.move(n.number, to)
	if err := n.configure(); err != nil {
		return err
	}
	n.signal(syscall.SIGHUP)
	time.Sleep(1500 * time.Millisecond)
	old.Close()
	return nil
}

// bother has clients behave badly.
func (r *run) bother(f Fault, n *node, rng *rand.Rand) {
	switch f.Kind {
	case "rude":
		for range 10 {
			r.clients.Go(func() { r.rude(n, rudeTexts[f.Target%len(rudeTexts)]) })
		}
	case "halves":
		for range 10 {
			text := string(testbed.EncodeRequest(r.message(rng, n)))
			cut := 1 + rng.IntN(len(text)-1)
			r.clients.Go(func() { r.rude(n, text[:cut]) })
		}
	case "crowd":
		n.crowd.Add(1)
		defer n.crowd.Add(-1)
		for range 200 {
			if c, err := net.DialTimeout("tcp", n.addr, handIn); err == nil {
				defer func() { _ = c.Close() }()
			}
		}
		time.Sleep(f.Duration)
	case "pipeline":
		r.pipeline(n, rng)
	case "impatience":
		for range 20 {
			if c, err := net.DialTimeout("tcp", n.addr, handIn); err == nil {
				_, _ = c.Write(testbed.EncodeRequest(r.message(rng, n)))
				_ = c.Close()
			}
		}
	}
}

// discovery plays a fault of a node's discovery.
func (r *run) discovery(f Fault, n *node) {
	a := r.world.agentOf(n.number)
	switch f.Kind {
	case "mute":
		r.world.mute(a, true)
		time.Sleep(f.Duration)
		r.world.mute(a, false)
	case "silence":
		r.world.silence(a)
	case "notices":
		a.FailNotices(503)
		time.Sleep(min(f.Duration, 250*time.Millisecond)) // longer, and notices could not come in time
		a.FailNotices(0)
	}
}

// endpoint plays a fault of an endpoint, or of the network to it.
func (r *run) endpoint(f Fault, p *place) {
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
		if err := r.world.drain(p, f.Duration); err != nil {
			r.fail("drain: %v", err)
		}
	default:
		r.world.behave(p, f.Kind, f.Duration)
	}
}

// settleWithin is how long messages may still take when nothing is wrong any more: their lives, and what may pass behind them.
const settleWithin = 6 * time.Second

// settle waits until what was taken has its end, and ends all nodes in order.
func (r *run) settle() {
	r.bed.Await(settleWithin, func(all []testbed.Event) bool {
		var names []string
		for _, e := range all {
			if e.Kind == testbed.Accepted {
				names = append(names, e.Name)
			}
		}
		return testbed.AllEnded(all, names)
	})
	var ends sync.WaitGroup
	for _, n := range r.nodes {
		ends.Go(func() {
			if err := n.stop(); err != nil {
				r.fail("%s: %v", n.name, err)
			}
		})
	}
	ends.Wait()
}

// spareCapacity is what an endpoint bears, as a multiple of its demand.
const spareCapacity = 1.5

// rules are the platform's, with slack for a machine that is shared by all processes of a run.
func (r *run) rules() testbed.Rules {
	demand := r.cfg.Rate * float64(r.cfg.Nodes) / destinations // of a destination, all of which may come to one endpoint
	return testbed.Rules{EndSlack: 700 * time.Millisecond, DrainGrace: 1250 * time.Millisecond, AtMostOnce: []string{"upload"}, Ordered: []string{"turns"},
		DedupWindows: map[string]time.Duration{"sync": keyWindow, "turns": keyWindow}, ColdBudget: 1 << 30,
		WaitGrace: 200 * time.Millisecond, ObservationLag: 250 * time.Millisecond,
		SlowStart: &testbed.SlowStart{Capacity: spareCapacity * demand, InitialFraction: 0.5, WarmUp: 2 * time.Second, OverloadFactor: 2, OverloadWindow: 2 * time.Second, MaxAwareShare: 2. / 3}}
}

// result judges what passed.
func (r *run) result(plan []Fault) *Result {
	events := r.bed.Events()
	res := &Result{Seed: r.cfg.Seed, Faults: plan, Accepted: r.taken.Load(), Folder: r.cfg.Folder}
	res.Violations = append(r.violations, testbed.Check(events, r.rules(), r.bed.Now())...)
	for _, n := range r.nodes {
		res.Violations = append(res.Violations, n.faults()...)
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
	slices.Sort(res.Violations)
	if len(res.Violations) == 0 && r.cfg.Folder != "" {
		_ = os.RemoveAll(r.cfg.Folder)
		res.Folder = ""
	} else {
		r.write(events)
	}
	return res
}

// write keeps what passed beside the logs.
func (r *run) write(events []testbed.Event) {
	f, err := os.Create(filepath.Join(r.cfg.Folder, "events.txt"))
	if err != nil {
		return
	}
	defer func() { _ = f.Close() }()
	for _, f2 := range r.cfg.plan() {
		_, _ = fmt.Fprintf(f, "fault %8.3f %s target %d for %v\n", f2.At.Seconds(), f2.Kind, f2.Target, f2.Duration)
	}
	for _, e := range events {
		_, _ = fmt.Fprintf(f, "%s\n", e)
	}
}
