package platform

import (
	"context"
	"errors"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"whinrun/control"
	"whinrun/internal/admission"
	"whinrun/internal/clock"
	"whinrun/internal/dialscheduler"
	"whinrun/internal/disk"
	"whinrun/internal/engine"
	"whinrun/internal/eventloop"
	"whinrun/internal/front"
	"whinrun/internal/ledger"
	"whinrun/internal/logs"
	"whinrun/internal/outbound"
	"whinrun/internal/safety"
)

// Limits and times that do not follow from the settings.
const (
	// maxResponseBody is the largest accepted body of a response, in bytes. No response of the platform needs
	// more.
	maxResponseBody = 64 << 10
	// proofFraction is the fraction of the connections to endpoints up to which new ones are opened for the sake of a proof.
	proofFraction = 0.5
	// idleFraction is the fraction of the endpoints' idle timeout up to which an idle connection is reused.
	idleFraction = 0.8
	// maxHeldFactor bounds the messages held, as a multiple of the setting max-open. The decision library
	// sheds load down to max-open.
	maxHeldFactor = 2
	// drainTimeout is how long a stop waits for calls in flight.
	drainTimeout = 3000 * control.Millisecond
	// stopTimeout bounds the wait of a stop for calls and notices, counted from its beginning. The platform
	// kills the process no sooner than 3.7 s after SIGTERM.
	stopTimeout = 3200 * time.Millisecond
	// flushTimeout is how long a stop then waits for the last answers to be written. The process may be
	// suspended for half of that time.
	flushTimeout = 300 * time.Millisecond
)

// Node is a dispatcher running on the platform.
type Node struct {
	cfg *Config
	log *logs.Logger
	// system makes the system calls of the event loops, nil for the kernel.
	system eventloop.System
	clock  *clock.Process
	ledger *ledger.Ledger
	// directory numbers the endpoints and holds their addresses.
	directory *Directory
	// clients holds what the client sessions share.
	clients *ClientHandler
	// pool holds the connections to endpoints.
	pool  *outbound.Pool
	loop  *engine.Loop
	front *front.Front
	// agent is the platform's agent for discovery and notices.
	agent     *agent
	notices   *noticeSender
	listCache *listCache
	// hasList tells that an endpoint list is known.
	hasList atomic.Bool
	// listSeq is the version of the list that discovery sent last, and listAnswerMillis its EndpointList.AnswerMillis.
	listSeq, listAnswerMillis atomic.Int64
	// firstListReceived is closed when discovery has sent its first list.
	firstListReceived chan struct{}
	// quit is closed when the node ends.
	quit chan struct{}
	// storageDone is closed when maintainStorage has returned.
	storageDone chan struct{}
	// firstListOnce guards the closing of firstListReceived.
	firstListOnce sync.Once
}

// descriptorBudget divides the file descriptors, so that clients can never use up those of endpoints,
// discovery, notices and ledger. connecting is the number of connection attempts to endpoints at the same
// time.
type descriptorBudget struct{ clients, endpoints, connecting int }

// reservedDescriptors is the number of file descriptors kept for the standard streams, the event loops and
// their wakers, listeners, ledger, discovery, notices, and for what the runtime opens.
const reservedDescriptors = 40

// clientFraction is the fraction of the remaining file descriptors that clients may use. According to the
// platform, clients hold at most a third of all descriptors. Misbehaving clients come in addition.
const clientFraction = 0.6

// newDescriptorBudget divides the given number of sockets. slots is the number of calls that the dispatcher
// may have in flight.
func newDescriptorBudget(sockets, slots int) descriptorBudget {
	connecting := min(slots+4, sockets/16)
	// A connection that is being opened uses two descriptors for a moment.
	available := sockets - reservedDescriptors - connecting
	b := descriptorBudget{clients: int(clientFraction * float64(available)), connecting: connecting}
	b.endpoints = available - b.clients
	return b
}

// Start starts a dispatcher. Outstanding messages and notices of the ledger are restored before clients are
// served. The end of ctx ends the wait for discovery, so that a stop can begin; it does not stop the dispatcher.
func Start(ctx context.Context, cfg *Config, log *logs.Logger) (*Node, error) {
	folder, err := openStateDir(cfg.StateDir)
	if err != nil {
		return nil, err
	}
	return startWith(ctx, folder, nil, cfg, log)
}

// startWith starts a dispatcher on a state directory. system may be nil for the kernel.
func startWith(ctx context.Context, folder disk.FS, system eventloop.System, cfg *Config, log *logs.Logger) (*Node, error) {
	var err error
	n := &Node{cfg: cfg, log: log, system: system, clock: clock.New(), directory: NewDirectory(cfg.Zones, cfg.Settings.DestinationKinds), agent: newAgent(cfg.Discovery),
		firstListReceived: make(chan struct{}), quit: make(chan struct{}), storageDone: make(chan struct{})}
	n.listCache = newListCache(folder, int(listDiskFraction*cfg.Limits.DiskMB*(1<<20)), n.currentList, n.warnLogger("discovery"))
	if n.ledger, err = openLedger(folder, int64(cfg.Limits.DiskMB*(1<<20)), n.clock, n.warnLogger("ledger")); err != nil {
		return nil, err
	}
	if err := n.start(ctx); err != nil {
		_ = n.ledger.Close()
		return nil, err
	}
	return n, nil
}

// start starts the components in the order of their dependencies.
func (n *Node) start(ctx context.Context) error {
	set := &n.cfg.Settings
	guard := safety.NewGuard(*set)
	budget := newDescriptorBudget(n.cfg.Limits.Sockets, set.Slots)
	adapter := &ledgerAdapter{ledger: n.ledger, settings: set, clock: n.clock, guard: guard, directory: n.directory, log: n.warnLogger("ledger"), reportFault: n.InternalError}
	if err := n.openPool(budget, adapter); err != nil {
		return err
	}
	n.notices = newNoticeSender(n.agent, n.elapsed, adapter.acknowledge, n.warnLogger("notices"))
	adapter.notices = n.notices
	settings := *set
	settings.HasPredecessor = n.ledger.Reopened()
	options := engine.Options{Settings: settings, Ledger: adapter, Guard: guard, Classify: Classify, MaxCallBytes: maxBody}
	if n.cfg.Trace {
		options.Trail = messageTrace{n.log, n.directory}
	}
	core, err := engine.NewCore(options, n.cfg.Seed, n.pool, listSource{n}, n)
	if err != nil {
		n.pool.Close()
		return err
	}
	maxHeld := maxHeldFactor * set.MaxOpen
	entries, notices := n.ledger.Outstanding()
	n.loop = engine.NewLoop(core, n.clock, engine.Limits{MaxQueued: maxHeld + len(entries), MaxHeld: maxHeld + len(entries)})
	n.notices.enqueue(notices...)
	n.startDiscovery(ctx)
	n.restoreOutages(adapter)
	n.restoreMessages(adapter, entries)
	go n.loop.Run()
	go n.maintainStorage(adapter)
	if err := n.openFront(budget, maxHeld); err != nil {
		n.agent.stop()
		n.loop.Close()
		n.pool.Close()
		close(n.quit)
		<-n.storageDone
		return err
	}
	go n.notices.run()
	n.log.Info("node", "%s listens on %v: %d messages and %d notices owed, %d connections for clients, %d for endpoints", n.cfg.Name, n.front.Addr(),
		len(entries), len(notices), budget.clients, budget.endpoints)
	return nil
}

// debugLogger returns the function that logs what happens to connections, or nil if tracing is off.
func (n *Node) debugLogger() func(string, ...any) {
	if !n.cfg.Trace {
		return nil
	}
	return func(f string, a ...any) { n.log.Debug("trace", f, a...) }
}

// reportAnswer logs an answer that could not be attributed to a call.
func (n *Node) reportAnswer(ep control.EndpointID, text string) {
	n.log.Warn("answers", "%s: %s", n.directory.HostName(ep), text)
}

// openPool opens the pool of connections to endpoints.
func (n *Node) openPool(budget descriptorBudget, poolAdmission outbound.Admission) error {
	set := &n.cfg.Settings
	cfg := outbound.Config{
		Loops: 1, MaxConnsPerEndpoint: set.Slots + 1, MaxStreams: 1, MaxAnswerBytes: maxResponseBody,
		ConnectTimeout: durationOr(set.ConnectTimeout, 1500*time.Millisecond),
		IdleTimeout:    time.Duration(idleFraction * float64(durationOr(set.ConnIdleTimeout, 5*time.Second))),
		DialLimits:     dialscheduler.Limits{HandshakesPerSecond: float64(10 * budget.endpoints), MaxHandshakes: budget.connecting, MaxConns: budget.endpoints},
		ProofConns:     int(proofFraction * float64(budget.endpoints)),
		Trace:          n.debugLogger(), Admission: poolAdmission, System: n.system, ReportAnswer: n.reportAnswer,
	}
	calls := outbound.NewHTTP1(CallCodec{n.directory, n.cfg.LoadMetrics})
	report := func(e engine.Outcome) { n.loop.Enqueue(engine.Input{Outcome: &e}) }
	return retryTransient(n.warnLogger("node"), func() (err error) {
		n.pool, err = outbound.New(cfg, calls, n.clock, report)
		return err
	})
}

// openFront listens for clients.
func (n *Node) openFront(budget descriptorBudget, maxHeld int) error {
	set := &n.cfg.Settings
	maxBytes := int64(n.cfg.Limits.MemoryMB * (1 << 20) / 8)
	limits := admission.Limits{Conns: budget.clients, Bytes: maxBytes, Messages: maxHeld, BlockAt: 1, UnblockAt: 1}
	n.clients = NewClientHandler(*set, admission.New(limits, max(1, len(set.Tenants)), n.loop).AddFrontend("platform"))
	n.clients.knowsDestination, n.clients.isOutstanding, n.clients.ready = n.directory.KnowsDestination, n.ledger.Contains, n.hasList.Load
	if n.cfg.Trace {
		n.clients.trace = n.debugLogger()
	}
	cfg := front.Config{Address: n.cfg.Listen.String(), Loops: 1, MaxUnread: 64 << 10, Trace: n.debugLogger(), System: n.system}
	log := func(t string) { n.log.Warn("clients", "%s", t) }
	return retryTransient(n.warnLogger("node"), func() (err error) {
		n.front, err = front.New(cfg, n.clients.admission, n.clock, log, n.clients.Open)
		return err
	})
}

// durationOr converts t to a time.Duration. It returns fallback if t is not positive.
func durationOr(t control.Time, fallback time.Duration) time.Duration {
	if t <= 0 {
		return fallback
	}
	return time.Duration(t) * time.Microsecond
}

// elapsed returns the time of the process's monotonic clock.
func (n *Node) elapsed() time.Duration { return clock.Elapsed(n.clock) }

// warnLogger returns a function that logs warnings of a component.
func (n *Node) warnLogger(part string) func(string, ...any) {
	return func(f string, a ...any) { n.log.Warn(part, f, a...) }
}

// Bounds of the time that a start waits for discovery's first list. Until discovery answers, the known list may name addresses that
// now belong to other endpoints. What discovery has counts as received from the first moment of a process.
const (
	// minFirstListTimeout is for a discovery that answered at once before: it answers at once again, or is down.
	minFirstListTimeout = 500 * time.Millisecond
	// maxFirstListTimeout is for a discovery of which nothing is known, too.
	maxFirstListTimeout = 4500 * time.Millisecond
	// firstListMargin is the factor on the time that discovery took the last time.
	firstListMargin = 1.5
)

// firstListTimeout returns how long a start waits for discovery's first list. saved is the list that was kept in the state directory,
// if hasSaved is true.
func firstListTimeout(saved *EndpointList, hasSaved bool) time.Duration {
	if !hasSaved {
		return maxFirstListTimeout
	}
	lastTime := time.Duration(saved.AnswerMillis) * time.Millisecond
	return min(max(time.Duration(firstListMargin*float64(lastTime)), minFirstListTimeout), maxFirstListTimeout)
}

// startDiscovery applies the newer of the saved list and the configured one and starts watching discovery. It
// waits for discovery's own list, so that nothing is sent before it unless discovery does not answer in time or ctx ends.
func (n *Node) startDiscovery(ctx context.Context) {
	known := n.cfg.Known
	saved, hasSaved := n.listCache.load()
	if hasSaved && saved.Seq >= known.Seq {
		known = saved
	}
	n.applyList(known, control.ListCached)
	go newWatcher(n.agent, n.elapsed, known.Seq, n.receiveList, n.warnLogger("discovery"), n.debugLogger()).run()
	wait := time.NewTimer(firstListTimeout(&saved, hasSaved))
	defer wait.Stop()
	select {
	case <-n.firstListReceived:
	case <-ctx.Done():
	case <-wait.C:
		n.log.Warn("discovery", "no answer yet: the list of version %d is in force", known.Seq)
	}
}

// currentList returns the present list for the state directory.
func (n *Node) currentList() EndpointList {
	l := n.directory.Snapshot(n.listSeq.Load())
	l.AnswerMillis = n.listAnswerMillis.Load()
	return l
}

// restoreMessages submits the outstanding messages of the previous process. Those that cannot be submitted
// end as undeliverable.
func (n *Node) restoreMessages(adapter *ledgerAdapter, entries []ledger.Entry) {
	messages, undeliverable := adapter.restoredMessages(entries)
	for _, m := range messages {
		m.Origin = discardOrigin{}
		if err := n.loop.Submit(m); err != nil {
			undeliverable = append(undeliverable, m.ExternalID)
		}
	}
	for _, name := range undeliverable {
		adapter.recordEnd(ledger.Notice{Name: name}, n.clock.Now())
	}
}

// restoreOutages passes on the outages that the previous process had recorded. Records of endpoints that are
// no longer listed are removed.
func (n *Node) restoreOutages(adapter *ledgerAdapter) {
	var unlisted []ledger.Outage
	for _, o := range n.ledger.Outages() {
		if e, ok := n.directory.Lookup(o.Host); ok {
			n.loop.Enqueue(engine.Input{Outage: adapter.toControlOutage(&o, e)})
		} else {
			unlisted = append(unlisted, ledger.Outage{Host: o.Host})
		}
	}
	if len(unlisted) > 0 {
		adapter.logFailure(adapter.ledger.UpdateOutages(unlisted))
	}
}

// discardOrigin is the Origin of restored messages. Their senders were told that the messages are accepted
// and do not wait any more.
type discardOrigin struct{}

// Answer implements engine.Origin.
func (discardOrigin) Answer(*engine.Message, engine.Answer) {}

// receiveList handles a list or changes from discovery.
func (n *Node) receiveList(l EndpointList) {
	kind := control.ListDelta
	if l.Whole {
		kind = control.ListFull
	}
	n.applyList(l, kind)
	previous := EndpointList{Seq: n.listSeq.Swap(l.Seq), AnswerMillis: n.listAnswerMillis.Swap(l.AnswerMillis)}
	if l.Whole || len(l.Hosts) > 0 || previous.Seq != l.Seq || firstListTimeout(&previous, true) != firstListTimeout(&l, true) {
		n.listCache.update(l)
	}
	n.firstListOnce.Do(func() { close(n.firstListReceived) })
}

// applyList applies a list and passes its entries to the engine.
func (n *Node) applyList(l EndpointList, kind control.ListKind) {
	entries, faults := n.directory.Apply(l, n.elapsed())
	for _, err := range faults {
		n.log.Warn("discovery", "%v", err)
	}
	n.loop.Enqueue(engine.Input{List: &engine.ListUpdate{Kind: kind, Entries: entries}})
	if len(l.Hosts) > 0 || kind == control.ListFull {
		n.hasList.Store(true)
	}
}

// listSource implements engine.Discovery, which the engine uses with the setting PullList. It answers each request
// with an empty change, because the watch runs all the time.
type listSource struct{ node *Node }

// Watch implements engine.Discovery.
func (l listSource) Watch() { l.sendCurrent() }

// Fetch implements engine.Discovery.
func (l listSource) Fetch() { l.sendCurrent() }

// sendCurrent passes an empty change to the engine.
func (l listSource) sendCurrent() {
	l.node.loop.Enqueue(engine.Input{List: &engine.ListUpdate{Kind: control.ListDelta}})
}

// Info implements engine.Logger.
func (n *Node) Info(text string) { n.log.Info("module", "%s", text) }

// InternalError implements engine.Logger.
func (n *Node) InternalError(text string) { n.log.Error("engine", "%s", text) }

// Addr returns the address that clients connect to.
func (n *Node) Addr() net.Addr { return n.front.Addr() }

// Stats returns the engine's counters.
func (n *Node) Stats() engine.Stats { return n.loop.Stats() }

// Reload applies a new configuration. Only the address of discovery and notices changes; all other settings
// stay as they were at the start.
func (n *Node) Reload(cfg *Config) {
	n.agent.setAddress(cfg.Discovery)
	n.log.Info("node", "configuration read again: discovery at %v", cfg.Discovery)
}

// Stop ends the dispatcher in order. It refuses new messages, waits for calls in flight within the time there
// is, and leaves the remaining messages in the ledger.
func (n *Node) Stop() {
	n.log.Info("node", "stopping")
	n.clients.stopping.Store(true)
	n.front.GoAway()
	n.loop.Enqueue(engine.Input{StopWithin: drainTimeout, KeepMessages: true})
	start := n.elapsed()
	for {
		st := n.loop.Stats()
		elapsed := n.elapsed() - start
		idle := st.InFlight+st.Unsettled == 0 && n.notices.waiting() == 0
		// The dispatcher stays for drainTimeout even if nothing is left to do. For a client, an answer that
		// says when to retry is better than a failure to connect.
		if elapsed > stopTimeout || idle && elapsed > time.Duration(drainTimeout)*time.Microsecond {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	// A request that has been read is answered before its connection ends. Otherwise its sender could not
	// tell what became of it.
	n.front.StopAccepting()
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	if left := n.front.Flush(ctx); left > 0 {
		n.log.Warn("clients", "%d connections closed with unwritten or undelivered answers", left)
	}
	cancel()
	n.end()
	st, answers := n.loop.Stats(), n.pool.AnswerCounts()
	n.log.Info("node", "stopped: %d taken, %d delivered, %d refused, %d failed, %d stay in the ledger, %d violations prevented, %d copies of answers, %d taken back, %d not confirmed, %d ended in doubt",
		st.Accepted, st.Served, st.Refused, st.Failed, st.Open, st.Violations, answers.Copies, answers.TakenBack, answers.Unconfirmed, st.EndedInDoubt)
}

// Kill ends the dispatcher at once, as a crash would, except that it closes the sockets.
func (n *Node) Kill() { n.end() }

// end closes all components.
func (n *Node) end() {
	n.loop.Close()
	n.front.Close()
	n.pool.Close()
	n.agent.stop()
	<-n.notices.done
	close(n.quit)
	<-n.storageDone
	if err := errors.Join(n.ledger.Close(), n.listCache.close()); err != nil {
		n.log.Warn("ledger", "%v", err)
	}
}

// HeapLimit returns the soft limit of the Go heap in bytes, for a dispatcher with these limits. The rest of
// the memory is for stacks, code, kernel buffers and short-lived garbage.
func (l Limits) HeapLimit() int64 { return int64(math.Max(8, 0.55*l.MemoryMB)) << 20 }
