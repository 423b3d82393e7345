package platform

import (
	"slices"
	"time"
)

// Times of a watch. What a silent one misses counts as told 6 s after it fell silent, and a send is still allowed for a
// second: the whole chain (silence noticed, connections tried, list read) has to fit between.
const (
	watchIdleTimeout   = 2500 * time.Millisecond // a watch says something every 2 s
	watchRetryInterval = 500 * time.Millisecond  // between two tries: an agent that is there answers at once
	maxOpenWatches     = 4                       // open at once; a list may take a second or two to come in small pieces
)

// watchPlan decides when watches are opened and closed, and which of them counts. It is free of I/O: whoever carries it out
// passes the time in and owns the connections. Only whole objects and heartbeats are signs of life. While no watch gives
// any, another is tried every watchGap beside those that are open: one that was mute may speak when discovery returns, and
// another may have to be opened for it. The first that speaks ends the others.
type watchPlan struct {
	open       []watchState // oldest first
	lastID     uint64       // id of the newest
	lastOpened time.Duration
	hasOpened  bool
}

type watchState struct {
	id           uint64
	active       bool
	lastActivity time.Duration // last sign of life
}

// step tells what to do at a moment: which watches to close, whether to open one (id 0: none), and when to ask again.
func (p *watchPlan) step(now time.Duration) (shut []uint64, open uint64, again time.Duration) {
	for _, w := range p.open {
		if w.active && now < w.lastActivity+watchIdleTimeout {
			return nil, 0, w.lastActivity + watchIdleTimeout
		}
	}
	if p.hasOpened && now < p.lastOpened+watchRetryInterval {
		return nil, 0, p.lastOpened + watchRetryInterval
	}
	if len(p.open) == maxOpenWatches { // the oldest mute one goes, the one that spoke last may do so again
		i := max(0, slices.IndexFunc(p.open, func(w watchState) bool { return !w.active }))
		shut = append(shut, p.open[i].id)
		p.open = slices.Delete(p.open, i, i+1)
	}
	p.lastID++
	p.lastOpened, p.hasOpened = now, true
	p.open = append(p.open, watchState{id: p.lastID})
	return shut, p.lastID, now + watchRetryInterval
}

// spoke takes a sign of life. It tells which watches to close; ok is false for one that is closed already, whose word counts
// no more.
func (p *watchPlan) recordActivity(id uint64, now time.Duration) (shut []uint64, ok bool) {
	i := slices.IndexFunc(p.open, func(w watchState) bool { return w.id == id })
	if i < 0 {
		return nil, false
	}
	w := watchState{id: id, active: true, lastActivity: now}
	for _, o := range p.open {
		if o.id != id {
			shut = append(shut, o.id)
		}
	}
	p.open = append(p.open[:0], w)
	return shut, true
}

// remove takes the end of a watch.
func (p *watchPlan) remove(id uint64) {
	p.open = slices.DeleteFunc(p.open, func(w watchState) bool { return w.id == id })
}

// closeAll ends all watches and has one opened at once: the address is another.
func (p *watchPlan) closeAll() (shut []uint64) {
	for _, w := range p.open {
		shut = append(shut, w.id)
	}
	p.open, p.hasOpened = p.open[:0], false
	return shut
}
