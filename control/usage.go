package control

import (
	"fmt"
	"slices"
)

// This file takes and gives back what a call occupies, and checks the sums of it.

// Usage tells what the messages and calls of a Dispatcher occupy. A Dispatcher without messages occupies nothing.
type Usage struct {
	// Messages is the number of messages that have no final answer or have an attempt in flight.
	Messages int
	// OpenMessages is the number of those without a final answer.
	OpenMessages int
	// Attempts is the number of attempts whose outcome was not reported yet.
	Attempts int
	// BusySlots is the number of calls in flight, each of which occupies a slot and a place in the window of its destination.
	BusySlots int
}

// Usage returns what is occupied now.
func (d *Dispatcher) Usage() Usage {
	return Usage{Messages: len(d.messages), OpenMessages: d.openMessages, Attempts: d.attemptsInFlight, BusySlots: d.busySlots}
}

// CheckUsage returns an error if the sums that the decisions rely on differ from what they are the sums of. It looks at every message,
// endpoint and key, so it is for tests.
func (d *Dispatcher) CheckUsage() error {
	var counted Usage
	counted.Messages = len(d.messages)
	for id, m := range d.messages {
		switch {
		case !m.ended:
			counted.OpenMessages++
		case m.call == nil:
			return fmt.Errorf("message %d is kept, but it has ended and has no attempt in flight", id)
		}
		if m.call != nil {
			counted.Attempts++
		}
	}
	for _, dest := range d.dests {
		calls := 0
		for _, ep := range dest.endpoints {
			calls += len(ep.calls)
			for _, c := range ep.calls {
				if err := c.check(); err != nil {
					return fmt.Errorf("endpoint %d: %w", ep.id, err)
				}
			}
		}
		if calls != dest.inFlight {
			return fmt.Errorf("destination %d: %d calls in flight, but its endpoints have %d", dest.number, dest.inFlight, calls)
		}
		counted.BusySlots += calls
	}
	if now := d.Usage(); counted != now {
		return fmt.Errorf("in use %+v, but counted %+v", now, counted)
	}
	return d.checkKeys()
}

// check returns an error if a call waits for another number of outcomes than it has messages in flight.
func (c *call) check() error {
	waiting := 0
	for _, m := range c.messages {
		if m.call == c {
			waiting++
		}
	}
	if waiting == 0 || waiting != c.pending {
		return fmt.Errorf("a call waits for %d outcomes and has %d messages in flight", c.pending, waiting)
	}
	return nil
}

// checkKeys returns an error if the turn of an ordering key belongs to a message that is not known any more.
func (d *Dispatcher) checkKeys() error {
	for _, queue := range d.keys {
		if len(queue.messages) == 0 {
			continue
		}
		if first := queue.messages[0]; d.messages[first.id] != first {
			return fmt.Errorf("key %d: it is the turn of message %d, which is not known", queue.key, first.id)
		}
	}
	return nil
}

// acquire makes a call occupy what it needs: a slot, a place in the window of its destination, tokens of its rate limit and ramp,
// and the endpoint's trial if it is one. The outcomes of its attempts release it.
func (d *Dispatcher) acquire(c *call) {
	ep, lim := c.ep, c.ep.limiter
	c.pending = len(c.messages)
	d.attemptsInFlight += len(c.messages)
	d.busySlots++
	ep.dest.inFlight++
	ep.calls = append(ep.calls, c)
	ep.connOpen, ep.usedAt = true, d.now
	d.reindex(ep.dest)
	lim.tokens--
	if !c.trial || d.outageConfirmed(ep) { // the trial that confirms an outage does not belong to the ramp
		c.rampCost = 1 + batchRampCost*float64(len(c.messages)-1)
		ep.rampTokens -= c.rampCost
	}
	if c.trial {
		c.trialInterval = ep.trialInterval
		ep.trialAt = d.now + ep.trialInterval + Time(d.random()*float64(ep.trialInterval)/4)
		ep.trialInterval = min(Time(float64(ep.trialInterval)*trialBackoffFactor), maxTrialInterval)
	}
}

// release gives back the slot and the place in the window of a call that has ended. If nothing of the call was sent, the endpoint has
// not seen it, so its tokens and its trial are given back, too.
func (d *Dispatcher) release(c *call) {
	ep := c.ep
	d.busySlots--
	ep.dest.inFlight--
	ep.calls = slices.DeleteFunc(ep.calls, func(o *call) bool { return o == c })
	ep.usedAt = d.now
	d.freedEndpoints = append(d.freedEndpoints, ep)
	d.wakeUp(ep.dest)
	if c.sent {
		return
	}
	ep.limiter.tokens++
	ep.rampTokens += c.rampCost
	if c.trial {
		ep.trialAt, ep.trialInterval = d.now, c.trialInterval
	}
}
