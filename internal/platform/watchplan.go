package platform

import (
	"net/netip"
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
	// watchRetryInterval is the time between opening two of the first earlyWatches watches of a silence.
	watchRetryInterval = 500 * time.Millisecond
	// earlyWatches is the number of watches of a silence that are opened at watchRetryInterval. They replace a connection that is
	// lost or comes up late.
	earlyWatches = 4
	// lateWatchRetryInterval is the time between opening two later watches. What discovery learned in an outage counts as
	// received at its return, and a send to a removed endpoint is tolerated for one second.
	lateWatchRetryInterval = 800 * time.Millisecond
	// receivingRetryInterval is the time between opening two watches while one receives a list in pieces. Another one would
	// have to share what discovery can send.
	receivingRetryInterval = 2 * time.Second
	// maxOpenWatches bounds the watches that are open at the same time.
	maxOpenWatches = 8
	// watchPatience is how long the oldest watch waits for a sign of life before its place is taken. It doubles each time.
	watchPatience = 10 * time.Second
)

// watchPlan decides when watches are opened and closed and which of them counts. It does no I/O: its caller
// passes in the time and owns the connections.
//
// Only complete objects and heartbeats are signs of life. While no watch shows any, another one is opened now and then in
// addition to those that are open: a silent watch may be slow, may continue when discovery returns, or may be broken.
// The first watch that shows a sign of life closes the others.
//
// No watch is given up for being slow alone. When all places are taken, a new watch takes that of the second oldest. The oldest
// waits for longer each time, so discovery is heard however slow it is.
//
// Watches of an earlier address count until the present one is heard, but no watch there is opened.
type watchPlan struct {
	// address is the present address of discovery.
	address netip.AddrPort
	// open holds the open watches, oldest first.
	open []watchState
	// lastID is the id of the newest watch.
	lastID uint64
	// lastOpened is when the newest watch was opened.
	lastOpened time.Duration
	// openAtOnce has the next watch opened without waiting, because none is open to a new address.
	openAtOnce bool
	// openedInSilence counts the watches that were opened since the last sign of life or the last change of the address.
	openedInSilence int
	// patience is how long the oldest watch may wait, 0 for watchPatience.
	patience time.Duration
}

// watchState is an open watch.
type watchState struct {
	id uint64
	// address is the address that the watch was opened to.
	address netip.AddrPort
	// active tells that the watch has shown a sign of life.
	active bool
	// lastActivity is when the last sign of life arrived, or when the watch was opened.
	lastActivity time.Duration
	// lastReceived is when bytes last arrived. It is 0 if none have.
	lastReceived time.Duration
}

// receiving reports whether bytes arrive, of a list that may not be complete.
func (w *watchState) receiving(now time.Duration) bool {
	return w.lastReceived > 0 && now < w.lastReceived+watchIdleTimeout
}

// step returns the watches to close, the id of a watch to open (0 for none) and when to call step again.
func (p *watchPlan) step(now time.Duration) (toClose []uint64, toOpen uint64, next time.Duration) {
	for _, w := range p.open {
		if w.address == p.address && w.active && now < w.lastActivity+watchIdleTimeout {
			return nil, 0, w.lastActivity + watchIdleTimeout
		}
	}
	if at := p.nextOpening(now); now < at {
		return nil, 0, at
	}
	if len(p.open) == maxOpenWatches {
		i := p.leastPromising(now)
		toClose = append(toClose, p.open[i].id)
		p.open = slices.Delete(p.open, i, i+1)
	}
	p.lastID++
	p.lastOpened, p.openAtOnce = now, false
	p.openedInSilence++
	p.open = append(p.open, watchState{id: p.lastID, address: p.address, lastActivity: now})
	return toClose, p.lastID, p.nextOpening(now)
}

// nextOpening returns when the next watch is opened if no sign of life arrives.
func (p *watchPlan) nextOpening(now time.Duration) time.Duration {
	if p.openAtOnce {
		return now
	}
	at := p.lastOpened + lateWatchRetryInterval
	if p.openedInSilence < earlyWatches {
		at = p.lastOpened + watchRetryInterval
	}
	for i := range p.open {
		if w := &p.open[i]; w.address == p.address && w.receiving(now) {
			at = max(at, min(w.lastReceived+watchIdleTimeout, p.lastOpened+receivingRetryInterval))
		}
	}
	return at
}

// leastPromising returns the index of the watch that is closed for a new one: one of an earlier address, the oldest if it has
// waited for long, or the second oldest. A watch that is receiving is passed over.
func (p *watchPlan) leastPromising(now time.Duration) int {
	if i := slices.IndexFunc(p.open, func(w watchState) bool { return w.address != p.address }); i >= 0 {
		return i
	}
	p.patience = max(p.patience, watchPatience)
	if now-p.open[0].lastActivity >= p.patience && !p.open[0].receiving(now) {
		p.patience *= 2
		return 0
	}
	for i := 1; i < len(p.open); i++ {
		if !p.open[i].receiving(now) {
			return i
		}
	}
	return 1
}

// recordReceived records that bytes have arrived on a watch.
func (p *watchPlan) recordReceived(id uint64, now time.Duration) {
	if i := p.index(id); i >= 0 {
		p.open[i].lastReceived = now
	}
}

// recordActivity records a sign of life and returns the watches to close. It returns false for a watch that
// is closed already; its data must be ignored.
func (p *watchPlan) recordActivity(id uint64, now time.Duration) (superseded []uint64, ok bool) {
	i := p.index(id)
	if i < 0 {
		return nil, false
	}
	w := &p.open[i]
	w.active, w.lastActivity = true, now
	if w.address != p.address {
		return nil, true
	}
	for _, other := range p.open {
		if other.id != id {
			superseded = append(superseded, other.id)
		}
	}
	p.open = append(p.open[:0], *w)
	p.openedInSilence, p.patience = 0, 0
	return superseded, true
}

// remove records that a watch has ended.
func (p *watchPlan) remove(id uint64) {
	p.open = slices.DeleteFunc(p.open, func(w watchState) bool { return w.id == id })
}

// setAddress sets discovery's address, first at the start. The next step opens a watch there at once, unless one is open already.
func (p *watchPlan) setAddress(address netip.AddrPort) {
	p.address, p.openedInSilence = address, 0
	p.openAtOnce = !slices.ContainsFunc(p.open, func(w watchState) bool { return w.address == address })
}

// index returns the index of an open watch, or -1.
func (p *watchPlan) index(id uint64) int {
	return slices.IndexFunc(p.open, func(w watchState) bool { return w.id == id })
}
