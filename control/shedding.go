package control

import "math"

// This file contains load shedding: it refuses queued messages when there are too many open ones.

// Parameters of load shedding.
const (
	// openReserveDivisor sets the part of MaxOpen that is kept free for messages of more value: one part in this many.
	openReserveDivisor = 16
	// maxShedScan is the largest number of destinations that one scan for messages to shed looks at.
	maxShedScan = 512
	// ackedSheddingCost is the share of its value that giving up an acknowledged message early costs in addition to the value.
	ackedSheddingCost = 0.3
	// earlySheddingShare is the share of its deadline within which giving up an acknowledged message counts as early.
	earlySheddingShare = 0.7
)

// shed keeps the number of open messages below MaxOpen by refusing the queued messages of least value. It considers the two
// ends of each lane. This guards against overloads and outages that fill the queues. The cost is that messages are refused
// that could be delivered if an outage ends soon after. With very many active destinations each scan looks at some of them
// in turn, because a scan of all of them for each message would take too long.
func (d *Dispatcher) shed() {
	for d.openMessages > d.settings.MaxOpen-d.settings.MaxOpen/openReserveDivisor-1 {
		worst := d.leastValuable()
		if worst == nil {
			return
		}
		// Where traffic is rare, other dispatchers know no more about a limit. The message fails, so that the client does not try
		// them.
		retryPointless := worst.dest.limiter.allowance < 1 && worst.dest.demand.rate(d.now)*d.minTarget.seconds() < 1
		d.finish(worst, !retryPointless, "more is held than there is room for, and it is worth least")
	}
}

// leastValuable is the queued message whose refusal loses the least value. It is nil if no message may be refused.
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

// keepingValue is the value of keeping a message that would be delivered at an instant. Giving up an acknowledged message
// early costs more than its value. A message that an earlier process had acknowledged is kept as long as others can be
// shed.
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

// restoredValue is added to the value of a restored message. It is larger than the value of any message.
const restoredValue = 1e9
