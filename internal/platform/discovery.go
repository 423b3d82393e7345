package platform

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"whinrun/internal/h1"
)

// Times of the connections to the platform's agent, which is on this machine: it answers at once or is down.
const (
	agentConnect = time.Second
	againLeast   = 100 * time.Millisecond
	againMost    = time.Second
)

// agent is where discovery and notices are. The address may change in service: connections to the old one end then.
type agent struct {
	mu    sync.Mutex
	addr  netip.AddrPort
	conns map[net.Conn]struct{}
	moved chan struct{} // closed at a change
	quit  chan struct{}
}

func newAgent(addr netip.AddrPort) *agent {
	return &agent{addr: addr, conns: map[net.Conn]struct{}{}, moved: make(chan struct{}), quit: make(chan struct{})}
}

// move changes the address.
func (a *agent) move(addr netip.AddrPort) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if addr == a.addr {
		return
	}
	a.addr = addr
	for c := range a.conns {
		_ = c.Close()
	}
	close(a.moved)
	a.moved = make(chan struct{})
}

// stop ends all connections, for good.
func (a *agent) stop() {
	close(a.quit)
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.conns {
		_ = c.Close()
	}
}

func (a *agent) stopped() bool {
	select {
	case <-a.quit:
		return true
	default:
		return false
	}
}

// connect opens a connection that its caller owns, and tells where to.
func (a *agent) connect(ctx context.Context) (net.Conn, netip.AddrPort, error) {
	a.mu.Lock()
	addr := a.addr
	a.mu.Unlock()
	d := net.Dialer{Timeout: agentConnect}
	c, err := d.DialContext(ctx, "tcp", addr.String())
	return c, addr, err
}

// dial opens a connection that a change of the address ends.
func (a *agent) dial() (net.Conn, error) {
	c, addr, err := a.connect(context.Background())
	if err != nil {
		return nil, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.addr != addr || a.stopped() {
		return nil, errors.Join(errors.New("the address has changed"), c.Close())
	}
	a.conns[c] = struct{}{}
	return c, nil
}

func (a *agent) hangUp(c net.Conn) {
	a.mu.Lock()
	delete(a.conns, c)
	a.mu.Unlock()
	_ = c.Close()
}

// change returns what is closed when the address changes next.
func (a *agent) change() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.moved
}

// pause waits before a next try; a new address ends the wait. It is false at the stop.
func (a *agent) pause(d time.Duration) bool {
	moved := a.change()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-moved:
	case <-a.quit:
		return false
	}
	return true
}

// watcher keeps the endpoint list up to date by watches, as a watchPlan says. All but its read goroutines is run's.
type watcher struct {
	agent *agent
	now   func() time.Duration
	seq   int64 // version of the list as told last, 0 behind a change of the address: any counts then
	told  func(EndpointList)
	log   func(format string, a ...any)

	plan   watchPlan
	stops  map[uint64]context.CancelFunc
	events chan watchEvent
}

// watchEvent is what a watch has to tell: a list, an empty line, or its end.
type watchEvent struct {
	id   uint64
	list *EndpointList
	err  error
}

func newWatcher(a *agent, now func() time.Duration, seq int64, told func(EndpointList), log func(string, ...any)) *watcher {
	return &watcher{agent: a, now: now, seq: seq, told: told, log: log, stops: map[uint64]context.CancelFunc{}, events: make(chan watchEvent)}
}

// run watches until the agent is stopped.
func (w *watcher) run() {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	again := time.NewTimer(0)
	defer again.Stop()
	moved := w.agent.change()
	for {
		select {
		case <-w.agent.quit:
			return
		case <-moved:
			moved = w.agent.change()
			w.seq = 0
			w.shut(w.plan.moved())
		case e := <-w.events:
			w.take(e)
		case <-again.C:
		}
		now := w.now()
		shut, open, at := w.plan.step(now)
		w.shut(shut)
		if open > 0 {
			ctx, stop := context.WithCancel(ctx)
			w.stops[open] = stop
			go w.watch(ctx, open, w.seq)
		}
		again.Reset(max(0, at-now))
	}
}

func (w *watcher) shut(ids []uint64) {
	for _, id := range ids {
		w.stops[id]()
		delete(w.stops, id)
	}
}

func (w *watcher) take(e watchEvent) {
	if e.err != nil {
		if w.stops[e.id] != nil { // else it was closed here
			w.log("watch ended: %v", e.err)
			w.plan.ended(e.id)
			w.shut([]uint64{e.id})
		}
		return
	}
	shut, ok := w.plan.spoke(e.id, w.now())
	w.shut(shut)
	if !ok || e.list == nil {
		return
	}
	// Changes that are known already change nothing: a watch may begin before those of the one that it follows ended.
	if l := e.list; l.Whole || l.Seq >= w.seq {
		w.seq = l.Seq
		w.told(*l)
	}
}

// watch follows one watch until it ends, or ctx does.
func (w *watcher) watch(ctx context.Context, id uint64, from int64) {
	tell := func(e watchEvent) {
		e.id = id
		select {
		case w.events <- e:
		case <-ctx.Done():
		case <-w.agent.quit:
		}
	}
	tell(watchEvent{err: w.follow(ctx, from, tell)})
}

func (w *watcher) follow(ctx context.Context, from int64, tell func(watchEvent)) error {
	c, _, err := w.agent.connect(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	r := &listReader{told: func(l EndpointList) { tell(watchEvent{list: &l}) }, beat: func() { tell(watchEvent{}) }}
	_, err = c.Write(h1.AppendHead(nil, fmt.Sprintf("GET /v1/endpoints?watch=1&from=%d HTTP/1.1", from), "Host", "discovery"))
	buf := make([]byte, 16<<10)
	for err == nil {
		var n int
		if n, err = c.Read(buf); n > 0 {
			err = errors.Join(r.read(buf[:n]), err)
		}
	}
	return err
}
