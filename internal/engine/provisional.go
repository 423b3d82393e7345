package engine

import "whinrun/control"

// A delivery is provisional while it is not proven that the partner's answer belongs to the attempt. For the decision
// library the message has ended. For the guard and the ledger it has not: it may have been executed, and is owed.

// firstReopenedID is added to the IDs of messages that are opened again, which keeps them apart from those of Loop.Submit.
const firstReopenedID = 1 << 63

// settleDelivery ends a message whose delivery is confirmed, or opens it again.
func (c *Core) settleDelivery(outcome *Outcome) {
	state := c.provisional[outcome.Seq]
	delete(c.provisional, outcome.Seq)
	// The message was withdrawn, or its attempt ended in another way.
	if state == nil || state.ended {
		return
	}
	if outcome.Kind == DeliveryConfirmed {
		c.answer(state, Answer{Kind: Served})
		return
	}
	c.reopen(state)
}

// reopen submits a message again, as one that may have been executed. The decision library repeats it or ends it, as its
// class allows.
func (c *Core) reopen(state *messageState) {
	at, zone, possiblyExecuted := c.guard.FirstExecution(state.message.ID)
	m := *state.message
	c.markFinished(state)
	c.reopened++
	m.ID = control.MessageID(firstReopenedID + c.reopened)
	m.Lifetime, m.ReceivedAt = max(0, state.deadline-c.now), 0
	m.Recovered = Recovered{Restored: true, Attempts: state.attempts, PossiblyExecuted: possiblyExecuted, ExecutedAt: at, ExecutedZone: zone}
	c.submit(&m)
	reopened := c.messages[m.ID]
	reopened.deadline = state.deadline
	reopened.recorded, reopened.unannounced = state.recorded, false // Its sender was told of the acceptance before.
	reopened.lastStatus, reopened.lastDetail = state.lastStatus, state.lastDetail
	c.stats.Accepted--
}
