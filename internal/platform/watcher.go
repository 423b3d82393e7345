package platform

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"net/netip"
	"time"

	"whinrun/internal/h1"
)

// watcher keeps the endpoint list up to date through watches that a watchPlan opens and closes. Its fields
// belong to the goroutine of run; each watch has a goroutine of its own that reports to it through events.
type watcher struct {
	agent *agent
	now   func() time.Duration
	// source is the address that the list in force came from, and seq its version there. Another address may count anew.
	source netip.AddrPort
	seq    int64
	// received tells that a list has come in this process. Until then watches ask for the whole list, which comes at once: an agent that
	// has nothing newer than a version sends nothing that tells so.
	received bool
	// onList is called for each list or change, in order.
	onList func(EndpointList)
	log    func(format string, a ...any)
	// trace logs each watch that is opened, heard or closed. It may be nil.
	trace func(format string, a ...any)

	plan    watchPlan
	silence discoverySilence
	// open holds the open watches by id.
	open   map[uint64]*watchHandle
	events chan watchEvent
}

// watchHandle is an open watch.
type watchHandle struct {
	// close closes it.
	close context.CancelFunc
	// address is the address that it was opened to.
	address netip.AddrPort
	// openedAt is when it was opened.
	openedAt time.Duration
	// heard tells that it has shown a sign of life, the first one heardAfter it was opened.
	heard      bool
	heardAfter time.Duration
}

// watchEvent reports a list, a heartbeat, a part of a list or the end of a watch.
type watchEvent struct {
	// id identifies the watch.
	id uint64
	// list is the list that was read, nil for a heartbeat, a part or the end.
	list *EndpointList
	// part tells that bytes have arrived that complete nothing.
	part bool
	// err is why the watch ended, nil otherwise.
	err error
}

// newWatcher returns a watcher that continues from version seq and passes lists to onList once run is called.
func newWatcher(a *agent, now func() time.Duration, seq int64, onList func(EndpointList), log, trace func(string, ...any)) *watcher {
	if trace == nil {
		trace = func(string, ...any) {}
	}
	return &watcher{agent: a, now: now, source: a.address(), seq: seq, onList: onList, log: log, trace: trace, open: map[uint64]*watchHandle{}, events: make(chan watchEvent),
		silence: newDiscoverySilence(now())}
}

// run watches until the agent is stopped.
func (w *watcher) run() {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	changed := w.agent.addressChange()
	w.plan.setAddress(w.agent.address())
	for {
		select {
		case <-w.agent.quit:
			return
		case <-changed:
			if w.agent.stopped() {
				return
			}
			changed = w.agent.addressChange()
			w.plan.setAddress(w.agent.address())
			w.silence = newDiscoverySilence(w.now())
		case e := <-w.events:
			w.handleEvent(e)
		case <-timer.C:
		}
		now := w.now()
		toClose, toOpen, next := w.plan.step(now)
		w.closeWatches(toClose, "another one takes its place")
		if toOpen > 0 {
			w.openWatch(ctx, toOpen)
		}
		if text := w.silence.report(now); text != "" {
			w.log("%s: the list of version %d stays in force", text, w.seq)
		}
		timer.Reset(max(0, next-now))
	}
}

// openWatch opens a watch.
func (w *watcher) openWatch(ctx context.Context, id uint64) {
	ctx, stop := context.WithCancel(ctx)
	address := w.plan.address
	from := int64(0)
	if address == w.source && w.received {
		from = w.seq
	}
	w.open[id] = &watchHandle{close: stop, address: address, openedAt: w.now()}
	w.silence.opened++
	w.trace("watch %d: opened to %v from version %d", id, address, from)
	go w.watch(ctx, id, address, from)
}

// closeWatches closes watches for a reason.
func (w *watcher) closeWatches(ids []uint64, reason string) {
	for _, id := range ids {
		state := w.open[id]
		w.trace("watch %d: closed after %v, heard before %v: %s", id, w.now()-state.openedAt, state.heard, reason)
		state.close()
		delete(w.open, id)
	}
}

// handleEvent handles what a watch reports.
func (w *watcher) handleEvent(e watchEvent) {
	if e.err != nil {
		// A watch that was closed here needs no more handling.
		if w.open[e.id] != nil {
			w.log("watch ended: %v", e.err)
			w.plan.remove(e.id)
			w.closeWatches([]uint64{e.id}, "it has ended")
		}
		return
	}
	now := w.now()
	if e.part {
		w.plan.recordReceived(e.id, now)
		return
	}
	superseded, ok := w.plan.recordActivity(e.id, now)
	w.closeWatches(superseded, "another one is heard")
	if !ok {
		return
	}
	state := w.open[e.id]
	if !state.heard {
		state.heard, state.heardAfter = true, now-state.openedAt
		w.trace("watch %d: heard after %v", e.id, state.heardAfter)
	}
	if state.address == w.plan.address {
		if text := w.silence.end(now, now-state.openedAt); text != "" {
			w.log("%s", text)
		}
	}
	if e.list != nil {
		e.list.AnswerMillis = state.heardAfter.Milliseconds()
		w.passOn(e.list, state.address)
	}
}

// passOn passes on a list from an address. Changes continue only the list of their own address: those of an earlier address that
// the list in force did not come from are skipped. A new watch may start from a version before the last changes that the previous
// watch delivered. Such changes are known already and are skipped, too.
func (w *watcher) passOn(l *EndpointList, from netip.AddrPort) {
	if from != w.plan.address && from != w.source {
		return
	}
	if l.Whole || from != w.source || l.Seq >= w.seq {
		w.source, w.seq, w.received = from, l.Seq, true
		w.onList(*l)
	}
}

// watch runs one watch until it ends or ctx does, and reports its end.
func (w *watcher) watch(ctx context.Context, id uint64, address netip.AddrPort, from int64) {
	send := func(e watchEvent) {
		e.id = id
		select {
		case w.events <- e:
		case <-ctx.Done():
		case <-w.agent.quit:
		}
	}
	send(watchEvent{err: w.follow(ctx, address, from, send)})
}

// follow opens a connection, requests the changes since version from, and passes on what it reads until the
// watch ends. Only ctx limits how long connecting and waiting may take.
func (w *watcher) follow(ctx context.Context, address netip.AddrPort, from int64, send func(watchEvent)) error {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address.String())
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	// complete counts the lists and heartbeats.
	complete := 0
	// The first list may have any version, because discovery may count anew.
	latest := int64(math.MinInt64)
	onList := func(l EndpointList) {
		complete++
		// The versions of one watch only rise. A lower one is a second copy of a list, and would undo later changes.
		if l.Seq < latest {
			w.log("list of version %d behind version %d on one watch: skipped", l.Seq, latest)
			send(watchEvent{})
			return
		}
		latest = l.Seq
		send(watchEvent{list: &l})
	}
	r := &listReader{onList: onList, onHeartbeat: func() {
		complete++
		send(watchEvent{})
	}}
	_, err = c.Write(h1.AppendHead(nil, fmt.Sprintf("GET /v1/endpoints?watch=1&from=%d HTTP/1.1", from), "Host", "discovery"))
	buf := make([]byte, 16<<10)
	for err == nil {
		var n int
		if n, err = c.Read(buf); n == 0 {
			continue
		}
		before := complete
		err = errors.Join(r.read(buf[:n]), err)
		if complete == before {
			send(watchEvent{part: true})
		}
	}
	return err
}
