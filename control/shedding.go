package control

import "math"

// Load shedding: what is handed back where more is held than there is room for.

// Tuned values of load shedding.
const (
	openReserveDivisor = 16  // one part in so many of max-open is kept free for better messages
	maxShedScan        = 512 // destinations looked at for what to shed
	ackedSheddingCost  = 0.3 // part of its worth that giving a promised message up early costs beside the worth itself ...
	earlySheddingShare = 0.7 // ... before this part of its time
)

// shed keeps room below max-open by handing back what is worth least, from the lanes' two ends. Guards against overload and
// outages filling the hold. It could hurt just before an outage ends. Of very many destinations with messages it looks at some
// in turns, lest each message costs a look at all of them.
func (d *Dispatcher) shed() {
	for d.openMessages > d.settings.MaxOpen-d.settings.MaxOpen/openReserveDivisor-1 {
		worst := d.leastValuable()
		if worst == nil {
			return
		}
		// Other senders know as little of a limit where traffic is rare: clients should not try them.
		retryPointless := worst.dest.limiter.allowance < 1 && worst.dest.demand.rate(d.now)*d.minTarget.seconds() < 1
		d.finish(worst, !retryPointless, "more is held than there is room for, and it is worth least")
	}
}

// leastValuable is the message that loses least by being handed back, nil where none may be.
func (d *Dispatcher) leastValuable() *message {
	var worst *message
	least := math.Inf(1)
	all := d.byVirtualTime.items
	for k := range min(len(all), maxShedScan) {
		dest := all[(d.shedCursor+k)%len(all)].dest
		at := d.now + d.queueDelay(dest)
		for _, lane := range dest.lanes {
			if len(lane) == 0 {
				continue
			}
			for _, m := range [2]*message{lane[len(lane)-1], lane[0]} {
				value := d.keepingValue(m, at)
				if d.safeToRefuse(m) && (value < least || value == least && dest.activationSeq < worst.dest.activationSeq) {
					worst, least = m, value
				}
			}
		}
	}
	d.shedCursor += maxShedScan
	return worst
}

// keepingValue is what keeping a message earns that would be delivered at a moment. One that its sender was promised costs more
// to give up early than its worth; one that a process before this one had promised is kept as long as others can go.
func (d *Dispatcher) keepingValue(m *message, at Time) float64 {
	value := d.valueAt(m, at) * min(1, m.dest.limiter.allowance)
	early := d.now < m.createdAt+Time(earlySheddingShare*float64(m.class.Deadline))
	switch {
	case !d.settings.EarlyAck || m.arrivalRound == d.round || !early:
		return value
	case m.restored:
		return value + restoredValue
	}
	return value + ackedSheddingCost*d.valueAt(m, d.now)
}

// restoredValue is above the worth of any message.
const restoredValue = 1e9
