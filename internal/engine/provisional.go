package engine

// A delivery is provisional while it is not proven that the partner's answer belongs to the attempt. For the decision
// library the message has ended. For the guard and the ledger it has not: it may be over, and is owed. It gets no further
// attempt in any case.

// settleDelivery ends a message whose delivery is confirmed, or may be that of another attempt.
func (c *Core) settleDelivery(outcome *Outcome) {
	state := c.provisional[outcome.Seq]
	delete(c.provisional, outcome.Seq)
	switch {
	// The message was withdrawn, or its attempt ended in another way.
	case state == nil || state.ended:
	case outcome.Kind == DeliveryConfirmed:
		c.answer(state, Answer{Kind: Served})
	default:
		c.endInDoubt(state)
	}
}

// endInDoubt ends a message that may be over. It fails, because nothing proves that it was delivered.
func (c *Core) endInDoubt(state *messageState) {
	c.stats.EndedInDoubt++
	c.answer(state, Answer{Kind: Failed, Reason: "an answer in doubt may have ended it"})
}
