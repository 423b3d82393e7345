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

// Figures that follow from no setting.
const (
	maxAnswer  = 64 << 10 // bytes of an answer's body; none needs more
	idlePart   = 0.8      // of the time after which endpoints close idle connections, these are used
	heldOver   = 2        // messages held, as a multiple of max-open: the module sheds down to that
	stopCalls  = 3000 * control.Millisecond
	stopWithin = 3200 * time.Millisecond // the platform kills no sooner than 3.7 s after SIGTERM
	flushTime  = 300 * time.Millisecond  // for the last answers, behind that: a process may be held up for half of it
)

// Node is a dispatcher in service on the platform.
type Node struct {
	cfg         *Config
	log         *logs.Logger
	system      eventloop.System
	clock       *clock.Process
	ledger      *ledger.Ledger
	dir         *Directory
	desk        *ClientHandler
	pool        *outbound.Pool
	loop        *engine.Loop
	front       *front.Front
	agent       *agent
	notes       *noticer
	last        *lastList
	listed      atomic.Bool
	listSeq     atomic.Int64  // version of the list
	first       chan struct{} // closed when discovery has told its first list
	quit        chan struct{} // closed at the end
	storageDone chan struct{} // closed when nothing tends the folder any more
	heard1      sync.Once
}

// plan shares the descriptors out: clients can never take those of endpoints, discovery, notices and ledger.
type plan struct{ clients, endpoints, opening int }

// reserved descriptors: standard streams, event loops and their wakers, listeners, ledger, discovery, notices, and some
// for what the runtime opens.
const reserved = 40

// clientPart of what is left is for clients; they are said to hold a third of all at most, and bad ones come beside.
const clientPart = 0.6

func newPlan(sockets, slots int) plan {
	opening := min(slots+4, sockets/16)
	left := sockets - reserved - opening // a connection being opened takes two for a moment
	p := plan{clients: int(clientPart * float64(left)), opening: opening}
	p.endpoints = left - p.clients
	return p
}

// Start starts a dispatcher: what the ledger owes comes first.
func Start(cfg *Config, log *logs.Logger) (*Node, error) {
	folder, err := openFolder(cfg.StateDir)
	if err != nil {
		return nil, err
	}
	return startOn(folder, nil, cfg, log)
}

// startOn starts a dispatcher on a folder; system may be nil for the kernel.
func startOn(folder disk.FS, system eventloop.System, cfg *Config, log *logs.Logger) (*Node, error) {
	var err error
	n := &Node{cfg: cfg, log: log, system: system, clock: clock.New(), dir: NewDirectory(cfg.Zones, cfg.Settings.DestinationKinds), agent: newAgent(cfg.Discovery),
		first: make(chan struct{}), quit: make(chan struct{}), storageDone: make(chan struct{})}
	n.last = newLastList(folder, int(listPart*cfg.Limits.DiskMB*(1<<20)), func() EndpointList { return n.dir.Snapshot(n.listSeq.Load()) }, n.warn("discovery"))
	if n.ledger, err = openLedger(folder, int64(cfg.Limits.DiskMB*(1<<20)), n.clock, n.warn("ledger")); err != nil {
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
	shares := newPlan(n.cfg.Limits.Sockets, set.Slots)
	keep := &keeper{l: n.ledger, settings: set, clock: n.clock, guard: guard, dir: n.dir, log: n.warn("ledger"), fault: n.InternalError}
	if err := n.openPool(shares, keep); err != nil {
		return err
	}
	n.notes = newNoticer(n.agent, keep.acked, n.warn("notices"))
	keep.notes = n.notes
	settings := *set
	settings.HasPredecessor = n.ledger.Reopened()
	policy := engine.Options{Settings: settings, Ledger: keep, Guard: guard, Classify: Classify, MaxCallBytes: maxBody}
	if n.cfg.Trace {
		policy.Trail = trace{n.log, n.dir}
	}
	core, err := engine.NewCore(policy, n.cfg.Seed, n.pool, lists{n}, n)
	if err != nil {
		n.pool.Close()
		return err
	}
	hold := heldOver * set.MaxOpen
	entries, owed := n.ledger.Outstanding()
	n.loop = engine.NewLoop(core, n.clock, engine.Limits{MaxQueued: hold + len(entries), MaxHeld: hold + len(entries)})
	n.notes.put(owed...)
	n.discover()
	n.restoreOutages(keep)
	n.restore(keep, entries)
	go n.loop.Run()
	go n.keepStorage(keep)
	if err := n.openFront(shares, hold); err != nil {
		n.agent.stop()
		n.loop.Close()
		n.pool.Close()
		close(n.quit)
		<-n.storageDone
		return err
	}
	go n.notes.run()
	n.log.Info("node", "%s listens on %v: %d messages and %d notices owed, %d connections for clients, %d for endpoints", n.cfg.Name, n.front.Addr(),
		len(entries), len(owed), shares.clients, shares.endpoints)
	return nil
}

// debug is where what happens to connections is told, nil for nowhere.
func (n *Node) debug() func(string, ...any) {
	if !n.cfg.Trace {
		return nil
	}
	return func(f string, a ...any) { n.log.Debug("trace", f, a...) }
}

// openPool opens the connections' side towards endpoints.
func (n *Node) openPool(shares plan, permits outbound.Admission) error {
	set := &n.cfg.Settings
	cfg := outbound.Config{
		Loops: 1, MaxConnsPerEndpoint: set.Slots + 1, MaxStreams: 1, MaxAnswerBytes: maxAnswer,
		ConnectTimeout: span(set.ConnectTimeout, 1500*time.Millisecond),
		IdleTimeout:    time.Duration(idlePart * float64(span(set.ConnIdleTimeout, 5*time.Second))),
		DialLimits:     dialscheduler.Limits{HandshakesPerSecond: float64(10 * shares.endpoints), MaxHandshakes: shares.opening, MaxConns: shares.endpoints},
		Trace:          n.debug(), Admission: permits, System: n.system,
	}
	calls := outbound.NewHTTP1(CallCodec{n.dir, n.cfg.LoadMetrics})
	report := func(e engine.Outcome) { n.loop.Enqueue(engine.Input{Outcome: &e}) }
	return untilItWorks(n.warn("node"), func() (err error) {
		n.pool, err = outbound.New(cfg, calls, n.clock, report)
		return err
	})
}

// openFront listens for clients.
func (n *Node) openFront(shares plan, hold int) error {
	set := &n.cfg.Settings
	bytes := int64(n.cfg.Limits.MemoryMB * (1 << 20) / 8)
	limits := admission.Limits{Conns: shares.clients, Bytes: bytes, Messages: hold, BlockAt: 1, UnblockAt: 1}
	n.desk = NewClientHandler(*set, admission.New(limits, max(1, len(set.Tenants)), n.loop).AddFrontend("platform"))
	n.desk.knows, n.desk.owes, n.desk.ready = n.dir.KnowsDestination, n.ledger.Contains, n.listed.Load
	if n.cfg.Trace {
		n.desk.trace = n.debug()
	}
	cfg := front.Config{Address: n.cfg.Listen.String(), Loops: 1, MaxUnread: 64 << 10, Trace: n.debug(), System: n.system}
	log := func(t string) { n.log.Warn("clients", "%s", t) }
	return untilItWorks(n.warn("node"), func() (err error) {
		n.front, err = front.New(cfg, n.desk.side, n.clock, log, n.desk.Open)
		return err
	})
}

func span(t control.Time, or time.Duration) time.Duration {
	if t <= 0 {
		return or
	}
	return time.Duration(t) * time.Microsecond
}

func (n *Node) elapsed() time.Duration { return clock.Elapsed(n.clock) }

func (n *Node) warn(part string) func(string, ...any) {
	return func(f string, a ...any) { n.log.Warn(part, f, a...) }
}

// firstList is how long discovery's first answer is awaited at a start. It comes at once or discovery is down; until then
// the list may name addresses that are another's by now.
const firstList = 500 * time.Millisecond

// discover begins with the newer of the two lists that are at hand, and has discovery's own before anything is sent, if it
// answers.
func (n *Node) discover() {
	known := n.cfg.Known
	if last, ok := n.last.load(); ok && last.Seq >= known.Seq {
		known = last
	}
	n.told(known, control.ListCached)
	go newWatcher(n.agent, n.elapsed, known.Seq, n.heard, n.warn("discovery")).run()
	wait := time.NewTimer(firstList)
	defer wait.Stop()
	select {
	case <-n.first:
	case <-wait.C:
		n.log.Warn("discovery", "no answer yet: the list of version %d is in force", known.Seq)
	}
}

// restore hands in what the process before this one owed.
func (n *Node) restore(k *keeper, entries []ledger.Entry) {
	all, void := k.owed(entries)
	for _, m := range all {
		m.Origin = nobody{}
		if err := n.loop.Submit(m); err != nil {
			void = append(void, m.ExternalID)
		}
	}
	for _, name := range void {
		k.end(ledger.Notice{Name: name}, n.clock.Now())
	}
}

// restoreOutages hands in what the process before this one knew of outages. Those of endpoints that are not listed any more go
// off the record.
func (n *Node) restoreOutages(k *keeper) {
	var gone []ledger.Outage
	for _, o := range n.ledger.Outages() {
		if e, ok := n.dir.Lookup(o.Host); ok {
			n.loop.Enqueue(engine.Input{Outage: k.known(&o, e)})
		} else {
			gone = append(gone, ledger.Outage{Host: o.Host})
		}
	}
	if len(gone) > 0 {
		k.told(k.l.UpdateOutages(gone))
	}
}

// nobody is where restored messages came from: their senders have heard that they are taken on, and wait no more.
type nobody struct{}

// Answer is engine.Origin.
func (nobody) Answer(*engine.Message, engine.Answer) {}

// heard takes a list from discovery.
func (n *Node) heard(l EndpointList) {
	kind := control.ListDelta
	if l.Whole {
		kind = control.ListFull
	}
	n.told(l, kind)
	if known := n.listSeq.Swap(l.Seq); l.Whole || len(l.Hosts) > 0 || known != l.Seq {
		n.last.changed(l)
	}
	n.heard1.Do(func() { close(n.first) })
}

func (n *Node) told(l EndpointList, kind control.ListKind) {
	entries, faults := n.dir.Apply(l, n.elapsed())
	for _, err := range faults {
		n.log.Warn("discovery", "%v", err)
	}
	n.loop.Enqueue(engine.Input{List: &engine.ListUpdate{Kind: kind, Entries: entries}})
	if len(l.Hosts) > 0 || kind == control.ListFull {
		n.listed.Store(true)
	}
}

// lists answers what settings with AskList ask for: the watch runs all the time.
type lists struct{ n *Node }

func (l lists) Watch() { l.answer() }
func (l lists) Fetch() { l.answer() }

func (l lists) answer() {
	l.n.loop.Enqueue(engine.Input{List: &engine.ListUpdate{Kind: control.ListDelta}})
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
	n.agent.move(cfg.Discovery)
	n.log.Info("node", "configuration read again: discovery at %v", cfg.Discovery)
}

// Stop ends a dispatcher in order: nothing new is taken, what is out is awaited within the time there is, the rest stays
// in the ledger.
func (n *Node) Stop() {
	n.log.Info("node", "stopping")
	n.desk.closing.Store(true)
	n.front.GoAway()
	n.loop.Enqueue(engine.Input{StopWithin: stopCalls, KeepMessages: true})
	begun := n.elapsed()
	for {
		st := n.loop.Stats()
		gone := n.elapsed() - begun
		quiet := st.InFlight == 0 && n.notes.waiting() == 0
		// Also with nothing left to do it stays: a client that is told when to come back fares better than one that
		// finds nobody.
		if gone > stopWithin || quiet && gone > time.Duration(stopCalls)*time.Microsecond {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	// A request that has been read is answered before its connection ends: its sender could not tell what became of it.
	n.front.StopAccepting()
	ctx, done := context.WithTimeout(context.Background(), flushTime)
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
	<-n.notes.done
	close(n.quit)
	<-n.storageDone
	if err := errors.Join(n.ledger.Close(), n.last.close()); err != nil {
		n.log.Warn("ledger", "%v", err)
	}
}

// HeapLimit is the soft limit of the heap for the memory that a dispatcher has, in bytes: the rest is for stacks, code,
// buffers of the kernel and the garbage of a moment.
func (l Limits) HeapLimit() int64 { return int64(math.Max(8, 0.55*l.MemoryMB)) << 20 }
