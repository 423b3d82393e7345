package amqp

// ConfirmTracker decides how the publishes of one channel are confirmed: as soon as known, in any order, with "multiple"
// where that says the same in fewer frames. It is the pure part of publisher confirms.
type ConfirmTracker struct {
	lastTag  uint64         // tag of the last publish
	firstTag uint64         // lowest tag that is not confirmed, where there is one
	states   []confirmState // from base on
	settled  []uint64
}

type confirmState uint8

const (
	pending confirmState = iota
	ackDue
	nackDue
	confirmed
)

// Confirm is one basic.ack or basic.nack.
type Confirm struct {
	Tag            uint64
	Multiple, Nack bool
}

// Publish gives the next publish its tag, from 1.
func (c *ConfirmTracker) Publish() uint64 {
	c.lastTag++
	if len(c.states) == 0 {
		c.firstTag = c.lastTag
	}
	c.states = append(c.states, pending)
	return c.lastTag
}

// Settle tells what became of a publish. Only the first word on a tag counts.
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

// Outstanding is how many publishes are not settled, or settled and not yet confirmed.
func (c *ConfirmTracker) Outstanding() int {
	n := 0
	for _, s := range c.states {
		if s != confirmed {
			n++
		}
	}
	return n
}

// Flush returns what is to be sent for all that was settled since the last Flush: first the nacks, then one ack for
// the lowest tags without a gap, then those above a gap one by one.
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
		c.states = nil // an idle channel holds nothing
	}
	return out
}
