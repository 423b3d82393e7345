package platform

import (
	"slices"
	"time"
)

// Times and bounds of watches. Changes that a silent watch misses count as received 6 s after it fell silent,
// and a send to a removed endpoint is tolerated for one more second. Noticing the silence, opening
// connections and reading the list must together fit into that time.
const (
	// watchIdleTimeout is the time without a sign of life after which a watch counts as silent. A healthy
	// watch sends a list or a heartbeat at least every 2 s.
	watchIdleTimeout = 2500 * time.Millisecond
	// watchRetryInterval is the time between opening two watches. An agent that is running answers at once.
	watchRetryInterval = 500 * time.Millisecond
	// maxOpenWatches bounds the watches that are open at the same time. A list that arrives in small pieces
	// may take a second or two; with this bound a new watch has 2 s before it is closed.
	maxOpenWatches = 4
)

// watchPlan decides when watches are opened and closed and which of them counts. It does no I/O: its caller
// passes in the time and owns the connections.
//
// Only complete objects and heartbeats are signs of life. While no watch shows any, another one is opened
// every watchRetryInterval in addition to those that are open. A silent watch may continue when discovery returns, or
// a new one may be needed. The first watch that shows a sign of life closes the others.
type watchPlan struct {
	// open holds the open watches, oldest first.
	open []watchState
	// lastID is the id of the newest watch.
	lastID uint64
	// lastOpened is when the newest watch was opened.
	lastOpened time.Duration
	// hasOpened makes the next watch wait for watchRetryInterval since lastOpened. It is false at the start
	// and after closeAll.
	hasOpened bool
}

// watchState is an open watch.
type watchState struct {
	id uint64
	// active tells that the watch has shown a sign of life.
	active bool
	// lastActivity is when the last sign of life arrived.
	lastActivity time.Duration
}

// step returns the watches to close, the id of a watch to open (0 for none) and when to call step again.
func (p *watchPlan) step(now time.Duration) (toClose []uint64, toOpen uint64, next time.Duration) {
	for _, w := range p.open {
		if w.active && now < w.lastActivity+watchIdleTimeout {
			return nil, 0, w.lastActivity + watchIdleTimeout
		}
	}
	if p.hasOpened && now < p.lastOpened+watchRetryInterval {
		return nil, 0, p.lastOpened + watchRetryInterval
	}
	// The oldest watch without a sign of life is closed. A watch that was active before may continue.
	if len(p.open) == maxOpenWatches {
		i := max(0, slices.IndexFunc(p.open, func(w watchState) bool { return !w.active }))
		toClose = append(toClose, p.open[i].id)
		p.open = slices.Delete(p.open, i, i+1)
	}
	p.lastID++
	p.lastOpened, p.hasOpened = now, true
	p.open = append(p.open, watchState{id: p.lastID})
	return toClose, p.lastID, now + watchRetryInterval
}

// recordActivity records a sign of life and returns the watches to close. It returns false for a watch that
// is closed already; its data must be ignored.
func (p *watchPlan) recordActivity(id uint64, now time.Duration) (superseded []uint64, ok bool) {
	i := slices.IndexFunc(p.open, func(w watchState) bool { return w.id == id })
	if i < 0 {
		return nil, false
	}
	w := watchState{id: id, active: true, lastActivity: now}
	for _, other := range p.open {
		if other.id != id {
			superseded = append(superseded, other.id)
		}
	}
	p.open = append(p.open[:0], w)
	return superseded, true
}

// remove records that a watch has ended.
func (p *watchPlan) remove(id uint64) {
	p.open = slices.DeleteFunc(p.open, func(w watchState) bool { return w.id == id })
}

// closeAll closes all watches and has the next step open one at once, because discovery's address has
// changed.
func (p *watchPlan) closeAll() (closed []uint64) {
	for _, w := range p.open {
		closed = append(closed, w.id)
	}
	p.open, p.hasOpened = p.open[:0], false
	return closed
}
