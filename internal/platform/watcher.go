package platform

import (
	"context"
	"errors"
	"fmt"
	"math"
	"time"

	"whinrun/internal/h1"
)

// watcher keeps the endpoint list up to date through watches that a watchPlan opens and closes. Its fields
// belong to the goroutine of run; each watch has a goroutine of its own that reports to it through events.
type watcher struct {
	agent *agent
	now   func() time.Duration
	// seq is the version of the list that was passed on last. It is 0 after a change of the address, when any
	// version counts.
	seq int64
	// onList is called for each list or change, in order.
	onList func(EndpointList)
	log    func(format string, a ...any)

	plan watchPlan
	// cancels holds the function that closes each open watch, by id.
	cancels map[uint64]context.CancelFunc
	events  chan watchEvent
}

// watchEvent reports a list, a heartbeat or the end of a watch.
type watchEvent struct {
	// id identifies the watch.
	id uint64
	// list is the list that was read, nil for a heartbeat or the end.
	list *EndpointList
	// err is why the watch ended, nil otherwise.
	err error
}

// newWatcher returns a watcher that continues from version seq and passes lists to onList once run is called.
func newWatcher(a *agent, now func() time.Duration, seq int64, onList func(EndpointList), log func(string, ...any)) *watcher {
	return &watcher{agent: a, now: now, seq: seq, onList: onList, log: log, cancels: map[uint64]context.CancelFunc{}, events: make(chan watchEvent)}
}

// run watches until the agent is stopped.
func (w *watcher) run() {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	changed := w.agent.addressChange()
	for {
		select {
		case <-w.agent.quit:
			return
		case <-changed:
			changed = w.agent.addressChange()
			w.seq = 0
			w.cancelWatches(w.plan.closeAll())
		case e := <-w.events:
			w.handleEvent(e)
		case <-timer.C:
		}
		now := w.now()
		toClose, toOpen, next := w.plan.step(now)
		w.cancelWatches(toClose)
		if toOpen > 0 {
			ctx, stop := context.WithCancel(ctx)
			w.cancels[toOpen] = stop
			go w.watch(ctx, toOpen, w.seq)
		}
		timer.Reset(max(0, next-now))
	}
}

// cancelWatches closes watches.
func (w *watcher) cancelWatches(ids []uint64) {
	for _, id := range ids {
		w.cancels[id]()
		delete(w.cancels, id)
	}
}

// handleEvent handles what a watch reports.
func (w *watcher) handleEvent(e watchEvent) {
	if e.err != nil {
		// A watch that was closed here needs no more handling.
		if w.cancels[e.id] != nil {
			w.log("watch ended: %v", e.err)
			w.plan.remove(e.id)
			w.cancelWatches([]uint64{e.id})
		}
		return
	}
	superseded, ok := w.plan.recordActivity(e.id, w.now())
	w.cancelWatches(superseded)
	if !ok || e.list == nil {
		return
	}
	// A new watch may start from a version before the last changes that the previous watch delivered. Such
	// changes are known already and are skipped.
	if l := e.list; l.Whole || l.Seq >= w.seq {
		w.seq = l.Seq
		w.onList(*l)
	}
}

// watch runs one watch until it ends or ctx does, and reports its end.
func (w *watcher) watch(ctx context.Context, id uint64, from int64) {
	send := func(e watchEvent) {
		e.id = id
		select {
		case w.events <- e:
		case <-ctx.Done():
		case <-w.agent.quit:
		}
	}
	send(watchEvent{err: w.follow(ctx, from, send)})
}

// follow opens a connection, requests the changes since version from, and passes on what it reads until the
// watch ends.
func (w *watcher) follow(ctx context.Context, from int64, send func(watchEvent)) error {
	c, _, err := w.agent.connect(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	// The first list may have any version, because discovery may count anew.
	latest := int64(math.MinInt64)
	onList := func(l EndpointList) {
		// The versions of one watch only rise. A lower one is a second copy of a list, and would undo later changes.
		if l.Seq < latest {
			w.log("list of version %d behind version %d on one watch: skipped", l.Seq, latest)
			send(watchEvent{})
			return
		}
		latest = l.Seq
		send(watchEvent{list: &l})
	}
	r := &listReader{onList: onList, onHeartbeat: func() { send(watchEvent{}) }}
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
