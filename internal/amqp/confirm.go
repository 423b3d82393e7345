package amqp

// ConfirmTracker decides which publisher confirms a channel sends. It numbers the publishes, accepts their outcomes in
// any order, and uses the "multiple" flag where that says the same in fewer frames. It does no I/O. The zero value is
// ready for use.
type ConfirmTracker struct {
	// lastTag is the tag of the last publish.
	lastTag uint64
	// firstTag is the tag of states[0]. After Flush it is the lowest pending tag, if there is one.
	firstTag uint64
	// states holds the state of each tag from firstTag to lastTag.
	states []confirmState
	// settled lists the tags that were settled since the last Flush, in that order.
	settled []uint64
}

// confirmState is the state of one publish.
type confirmState uint8

const (
	// pending means that the outcome is not known yet.
	pending confirmState = iota
	// ackDue means that a basic.ack is to be sent.
	ackDue
	// nackDue means that a basic.nack is to be sent.
	nackDue
	// confirmed means that Flush has returned the confirm.
	confirmed
)

// Confirm is one basic.ack, or basic.nack if Nack is set. With Multiple it covers all unconfirmed tags up to Tag.
type Confirm struct {
	Tag            uint64
	Multiple, Nack bool
}

// Publish returns the delivery tag of the next publish. Tags count from 1.
func (c *ConfirmTracker) Publish() uint64 {
	c.lastTag++
	if len(c.states) == 0 {
		c.firstTag = c.lastTag
	}
	c.states = append(c.states, pending)
	return c.lastTag
}

// Settle records the outcome of a publish: an ack or a nack. Later calls for the same tag are ignored.
func (c *ConfirmTracker) Settle(tag uint64, ack bool) {
	if tag < c.firstTag || tag-c.firstTag >= uint64(len(c.states)) || c.states[tag-c.firstTag] != pending {
		return
	}
	c.states[tag-c.firstTag] = nackDue
	if ack {
		c.states[tag-c.firstTag] = ackDue
	}
	c.settled = append(c.settled, tag)
}

// Outstanding returns the number of publishes for which Flush has returned no confirm yet.
func (c *ConfirmTracker) Outstanding() int {
	n := 0
	for _, s := range c.states {
		if s != confirmed {
			n++
		}
	}
	return n
}

// Flush appends to out the confirms of all publishes that were settled since the last Flush, and returns out. The nacks
// come first, so that an ack with Multiple cannot cover them. Then comes one ack for all tags below the lowest pending
// one, then a single ack for each tag above it.
func (c *ConfirmTracker) Flush(out []Confirm) []Confirm {
	if len(c.settled) == 0 {
		return out
	}
	for _, tag := range c.settled {
		if c.states[tag-c.firstTag] == nackDue {
			out = append(out, Confirm{Tag: tag, Nack: true})
			c.states[tag-c.firstTag] = confirmed
		}
	}
	settledPrefix, acks := 0, 0
	var highestAck uint64
	for settledPrefix < len(c.states) && c.states[settledPrefix] != pending {
		if c.states[settledPrefix] == ackDue {
			acks++
			highestAck = c.firstTag + uint64(settledPrefix)
			c.states[settledPrefix] = confirmed
		}
		settledPrefix++
	}
	if acks > 0 {
		out = append(out, Confirm{Tag: highestAck, Multiple: acks > 1})
	}
	for _, tag := range c.settled {
		if c.states[tag-c.firstTag] == ackDue {
			out = append(out, Confirm{Tag: tag})
			c.states[tag-c.firstTag] = confirmed
		}
	}
	c.settled = c.settled[:0]
	c.firstTag += uint64(settledPrefix)
	c.states = c.states[settledPrefix:]
	if len(c.states) == 0 {
		// An idle channel keeps no memory for its states.
		c.states = nil
	}
	return out
}
