package control

import "math"

// Load shedding: what is handed back where more is held than there is room for.

// Tuned values of load shedding.
const (
	openReserve  = 16  // one part in so many of max-open is kept free for better messages
	shedLooks    = 512 // destinations looked at for what to shed
	promiseCost  = 0.3 // part of its worth that giving a promised message up early costs beside the worth itself ...
	promiseEarly = 0.7 // ... before this part of its time
)

// shed keeps room below max-open by handing back what is worth least, from the lanes' two ends. Guards against overload and
// outages filling the hold. It could hurt just before an outage ends. Of very many destinations with messages it looks at some
// in turns, lest each message costs a look at all of them.
func (d *Dispatcher) shed() {
	for d.open > d.set.MaxOpen-d.set.MaxOpen/openReserve-1 {
		worst := d.worstHeld()
		if worst == nil {
			return
		}
		// Other senders know as little of a limit where traffic is rare: clients should not try them.
		hopeless := worst.dest.pace.allow < 1 && worst.dest.demand.rate(d.now)*d.aim.seconds() < 1
		d.finish(worst, !hopeless, "more is held than there is room for, and it is worth least")
	}
}

// worstHeld is the message that loses least by being handed back, nil where none may be.
func (d *Dispatcher) worstHeld() *message {
	var worst *message
	least := math.Inf(1)
	all := d.byAcc.items
	for k := range min(len(all), shedLooks) {
		t := all[(d.shedAt+k)%len(all)].t
		at := d.now + d.ahead(t)
		for _, lane := range t.lanes {
			if len(lane) == 0 {
				continue
			}
			for _, m := range [2]*message{lane[len(lane)-1], lane[0]} {
				v := d.keepingValue(m, at)
				if d.refusable(m) && (v < least || v == least && t.seq < worst.dest.seq) {
					worst, least = m, v
				}
			}
		}
	}
	d.shedAt += shedLooks
	return worst
}

// keepingValue is what keeping a message earns that would be delivered at a moment. One that its sender was promised costs more
// to give up early than its worth; one that a process before this one had promised is kept as long as others can go.
func (d *Dispatcher) keepingValue(m *message, at Time) float64 {
	v := d.worth(m, at) * min(1, m.dest.pace.allow)
	early := d.now < m.born+Time(promiseEarly*float64(m.class.Deadline))
	switch {
	case !d.set.EarlyAck || m.round == d.round || !early:
		return v
	case m.restored:
		return v + restoredValue
	}
	return v + promiseCost*d.worth(m, d.now)
}

// restoredValue is above the worth of any message.
const restoredValue = 1e9
