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
	"whinrun/internal/clock"
	"whinrun/internal/disk"
	"whinrun/internal/door"
	"whinrun/internal/engine"
	"whinrun/internal/eventloop"
	"whinrun/internal/front"
	"whinrun/internal/ledger"
	"whinrun/internal/logs"
	"whinrun/internal/opener"
	"whinrun/internal/outbound"
	"whinrun/internal/safety"
)

// Figures that follow from no setting.
const (
	maxResponseBody = 64 << 10 // bytes of an answer's body; none needs more
	idleFraction    = 0.8      // of the time after which endpoints close idle connections, these are used
	maxHeldFactor   = 2        // messages held, as a multiple of max-open: the module sheds down to that
	drainTimeout    = 3000 * control.Millisecond
	stopTimeout     = 3200 * time.Millisecond // the platform kills no sooner than 3.7 s after SIGTERM
	flushTimeout    = 300 * time.Millisecond  // for the last answers, behind that: a process may be held up for half of it
)

// Node is a dispatcher in service on the platform.
type Node struct {
	cfg               *Config
	log               *logs.Logger
	system            eventloop.System
	clock             *clock.Process
	ledger            *ledger.Ledger
	directory         *Directory
	clients           *ClientHandler
	pool              *outbound.Pool
	loop              *engine.Loop
	front             *front.Front
	agent             *agent
	notices           *noticeSender
	listCache         *listCache
	hasList           atomic.Bool
	listSeq           atomic.Int64  // version of the list
	firstListReceived chan struct{} // closed when discovery has told its first list
	quit              chan struct{} // closed at the end
	storageDone       chan struct{} // closed when nothing tends the folder any more
	firstListOnce     sync.Once
}

// descriptorBudget shares the descriptors out: clients can never take those of endpoints, discovery, notices and ledger.
type descriptorBudget struct{ clients, endpoints, connecting int }

// reservedDescriptors descriptors: standard streams, event loops and their wakers, listeners, ledger, discovery, notices, and some
// for what the runtime opens.
const reservedDescriptors = 40

// clientFraction of what is left is for clients; they are said to hold a third of all at most, and bad ones come beside.
const clientFraction = 0.6

func newDescriptorBudget(sockets, slots int) descriptorBudget {
	opening := min(slots+4, sockets/16)
	left := sockets - reservedDescriptors - opening // a connection being opened takes two for a moment
	p := descriptorBudget{clients: int(clientFraction * float64(left)), connecting: opening}
	p.endpoints = left - p.clients
	return p
}

// Start starts a dispatcher: what the ledger owes comes first.
func Start(cfg *Config, log *logs.Logger) (*Node, error) {
	folder, err := openStateDir(cfg.StateDir)
	if err != nil {
		return nil, err
	}
	return startWith(folder, nil, cfg, log)
}

// startWith starts a dispatcher on a folder; system may be nil for the kernel.
func startWith(folder disk.FS, system eventloop.System, cfg *Config, log *logs.Logger) (*Node, error) {
	var err error
	n := &Node{cfg: cfg, log: log, system: system, clock: clock.New(), directory: NewDirectory(cfg.Zones, cfg.Settings.Kinds), agent: newAgent(cfg.Discovery),
		firstListReceived: make(chan struct{}), quit: make(chan struct{}), storageDone: make(chan struct{})}
	n.listCache = newListCache(folder, int(listDiskFraction*cfg.Limits.DiskMB*(1<<20)), func() EndpointList { return n.directory.Snapshot(n.listSeq.Load()) }, n.warnLogger("discovery"))
	if n.ledger, err = openLedger(folder, int64(cfg.Limits.DiskMB*(1<<20)), n.clock, n.warnLogger("ledger")); err != nil {
		return nil, err
	}
	if err := n.start(); err != nil {
		_ = n.ledger.Close()
		return nil, err
	}
	return n, nil
}

// start starts the parts, each on those before it.
func (n *Node) start() error {
	set := &n.cfg.Settings
	guard := safety.NewGuard(*set)
	shares := newDescriptorBudget(n.cfg.Limits.Sockets, set.Slots)
	keep := &ledgerAdapter{ledger: n.ledger, settings: set, clock: n.clock, guard: guard, directory: n.directory, log: n.warnLogger("ledger"), reportFault: n.InternalError}
	if err := n.openPool(shares, keep); err != nil {
		return err
	}
	n.notices = newNoticeSender(n.agent, keep.acknowledge, n.warnLogger("notices"))
	keep.notices = n.notices
	settings := *set
	settings.Follows = n.ledger.Reopened()
	policy := engine.Options{Settings: settings, Ledger: keep, Guard: guard, Classify: Classify, MaxCallBytes: maxBody}
	if n.cfg.Trace {
		policy.Trail = messageTrace{n.log, n.directory}
	}
	core, err := engine.NewCore(policy, n.cfg.Seed, n.pool, listSource{n}, n)
	if err != nil {
		n.pool.Close()
		return err
	}
	hold := maxHeldFactor * set.MaxOpen
	entries, owed := n.ledger.Outstanding()
	n.loop = engine.NewLoop(core, n.clock, engine.Limits{MaxQueued: hold + len(entries), MaxHeld: hold + len(entries)})
	n.notices.enqueue(owed...)
	n.startDiscovery()
	n.restoreOutages(keep)
	n.restoreMessages(keep, entries)
	go n.loop.Run()
	go n.maintainStorage(keep)
	if err := n.openFront(shares, hold); err != nil {
		n.agent.stop()
		n.loop.Close()
		n.pool.Close()
		close(n.quit)
		<-n.storageDone
		return err
	}
	go n.notices.run()
	n.log.Info("node", "%s listens on %v: %d messages and %d notices owed, %d connections for clients, %d for endpoints", n.cfg.Name, n.front.Addr(),
		len(entries), len(owed), shares.clients, shares.endpoints)
	return nil
}

// debugLogger is where what happens to connections is told, nil for nowhere.
func (n *Node) debugLogger() func(string, ...any) {
	if !n.cfg.Trace {
		return nil
	}
	return func(f string, a ...any) { n.log.Debug("trace", f, a...) }
}

// openPool opens the connections' side towards endpoints.
func (n *Node) openPool(shares descriptorBudget, permits outbound.Permits) error {
	set := &n.cfg.Settings
	cfg := outbound.Config{
		Loops: 1, Conns: set.Slots + 1, Streams: 1, MaxAnswer: maxResponseBody,
		ConnectTimeout: durationOr(set.ConnectTimeout, 1500*time.Millisecond),
		Idle:           time.Duration(idleFraction * float64(durationOr(set.ConnIdle, 5*time.Second))),
		Opening:        opener.Budget{PerSecond: float64(10 * shares.endpoints), Opening: shares.connecting, Total: shares.endpoints},
		Trace:          n.debugLogger(), Permits: permits, System: n.system,
	}
	calls := outbound.NewHTTP1(CallCodec{n.directory, n.cfg.LoadMetrics})
	report := func(e engine.Outcome) { n.loop.Enqueue(engine.Input{Outcome: &e}) }
	return retryTransient(n.warnLogger("node"), func() (err error) {
		n.pool, err = outbound.New(cfg, calls, n.clock, report)
		return err
	})
}

// openFront listens for clients.
func (n *Node) openFront(shares descriptorBudget, hold int) error {
	set := &n.cfg.Settings
	bytes := int64(n.cfg.Limits.MemoryMB * (1 << 20) / 8)
	limits := door.Limits{Conns: shares.clients, Bytes: bytes, Hold: hold, BlockAt: 1, UnblockAt: 1}
	n.clients = NewClientHandler(*set, door.New(limits, max(1, len(set.Tenants)), n.loop).Side("platform"))
	n.clients.knowsDestination, n.clients.isOwed, n.clients.ready = n.directory.KnowsDestination, n.ledger.Contains, n.hasList.Load
	if n.cfg.Trace {
		n.clients.trace = n.debugLogger()
	}
	cfg := front.Config{Address: n.cfg.Listen.String(), Loops: 1, Unread: 64 << 10, Trace: n.debugLogger(), System: n.system}
	log := func(t string) { n.log.Warn("clients", "%s", t) }
	return retryTransient(n.warnLogger("node"), func() (err error) {
		n.front, err = front.New(cfg, n.clients.admission, n.clock, log, n.clients.Open)
		return err
	})
}

func durationOr(t control.Time, or time.Duration) time.Duration {
	if t <= 0 {
		return or
	}
	return time.Duration(t) * time.Microsecond
}

func (n *Node) elapsed() time.Duration { return clock.Elapsed(n.clock) }

func (n *Node) warnLogger(part string) func(string, ...any) {
	return func(f string, a ...any) { n.log.Warn(part, f, a...) }
}

// firstListTimeout is how long discovery's first answer is awaited at a start. It comes at once or discovery is down; until then
// the list may name addresses that are another's by now.
const firstListTimeout = 500 * time.Millisecond

// startDiscovery begins with the newer of the two lists that are at hand, and has discovery's own before anything is sent, if it
// answers.
func (n *Node) startDiscovery() {
	known := n.cfg.Known
	if last, ok := n.listCache.load(); ok && last.Seq >= known.Seq {
		known = last
	}
	n.applyList(known, control.ListCached)
	go newWatcher(n.agent, n.elapsed, known.Seq, n.receiveList, n.warnLogger("discovery")).run()
	wait := time.NewTimer(firstListTimeout)
	defer wait.Stop()
	select {
	case <-n.firstListReceived:
	case <-wait.C:
		n.log.Warn("discovery", "no answer yet: the list of version %d is in force", known.Seq)
	}
}

// restoreMessages hands in what the process before this one owed.
func (n *Node) restoreMessages(k *ledgerAdapter, entries []ledger.Entry) {
	all, void := k.restoredMessages(entries)
	for _, m := range all {
		m.Origin = discardOrigin{}
		if err := n.loop.Submit(m); err != nil {
			void = append(void, m.ExternalID)
		}
	}
	for _, name := range void {
		k.recordEnd(ledger.Notice{Name: name}, n.clock.Now())
	}
}

// restoreOutages hands in what the process before this one knew of outages. Those of endpoints that are not listed any more go
// off the record.
func (n *Node) restoreOutages(k *ledgerAdapter) {
	var gone []ledger.Outage
	for _, o := range n.ledger.Outages() {
		if e, ok := n.directory.Lookup(o.Host); ok {
			n.loop.Enqueue(engine.Input{Outage: k.toControlOutage(&o, e)})
		} else {
			gone = append(gone, ledger.Outage{Host: o.Host})
		}
	}
	if len(gone) > 0 {
		k.logFailure(k.ledger.UpdateOutages(gone))
	}
}

// discardOrigin is where restored messages came from: their senders have heard that they are taken on, and wait no more.
type discardOrigin struct{}

// Answer is engine.Origin.
func (discardOrigin) Answer(*engine.Message, engine.Answer) {}

// receiveList takes a list from discovery.
func (n *Node) receiveList(l EndpointList) {
	kind := control.ListDelta
	if l.Whole {
		kind = control.ListFull
	}
	n.applyList(l, kind)
	if known := n.listSeq.Swap(l.Seq); l.Whole || len(l.Hosts) > 0 || known != l.Seq {
		n.listCache.update(l)
	}
	n.firstListOnce.Do(func() { close(n.firstListReceived) })
}

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

// listSource answers what settings with AskList ask for: the watch runs all the time.
type listSource struct{ node *Node }

func (l listSource) Watch() { l.sendCurrent() }
func (l listSource) Fetch() { l.sendCurrent() }

func (l listSource) sendCurrent() {
	l.node.loop.Enqueue(engine.Input{List: &engine.ListUpdate{Kind: control.ListDelta}})
}

// Info is engine.Log.
func (n *Node) Info(text string) { n.log.Info("module", "%s", text) }

// InternalError is engine.Log.
func (n *Node) InternalError(text string) { n.log.Error("engine", "%s", text) }

// Addr is where clients connect.
func (n *Node) Addr() net.Addr { return n.front.Addr() }

// Stats returns the engine's counts.
func (n *Node) Stats() engine.Stats { return n.loop.Stats() }

// Reload takes a new configuration: discovery and notices move. All else stays as at the start.
func (n *Node) Reload(cfg *Config) {
	n.agent.setAddress(cfg.Discovery)
	n.log.Info("node", "configuration read again: discovery at %v", cfg.Discovery)
}

// Stop ends a dispatcher in order: nothing new is taken, what is out is awaited within the time there is, the rest stays
// in the ledger.
func (n *Node) Stop() {
	n.log.Info("node", "stopping")
	n.clients.stopping.Store(true)
	n.front.GoAway()
	n.loop.Enqueue(engine.Input{StopWithin: drainTimeout, KeepMessages: true})
	begun := n.elapsed()
	for {
		st := n.loop.Stats()
		gone := n.elapsed() - begun
		quiet := st.InFlight == 0 && n.notices.waiting() == 0
		// Also with nothing left to do it stays: a client that is told when to come back fares better than one that
		// finds nobody.
		if gone > stopTimeout || quiet && gone > time.Duration(drainTimeout)*time.Microsecond {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	// A request that has been read is answered before its connection ends: its sender could not tell what became of it.
	n.front.StopAccepting()
	ctx, done := context.WithTimeout(context.Background(), flushTimeout)
	if left := n.front.Flush(ctx); left > 0 {
		n.log.Warn("clients", "%d connections end with something unread or unheard", left)
	}
	done()
	n.end()
	st := n.loop.Stats()
	n.log.Info("node", "stopped: %d taken, %d delivered, %d refused, %d failed, %d stay in the ledger, %d violations prevented", st.Accepted,
		st.Served, st.Refused, st.Failed, st.Open, st.Violations)
}

// Kill ends a dispatcher at once, as a crash would, but for the sockets that it closes.
func (n *Node) Kill() { n.end() }

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

// HeapLimit is the soft limit of the heap for the memory that a dispatcher has, in bytes: the rest is for stacks, code,
// buffers of the kernel and the garbage of a moment.
func (l Limits) HeapLimit() int64 { return int64(math.Max(8, 0.55*l.MemoryMB)) << 20 }
