package amqp

// ConfirmTracker decides how the publishes of one channel are confirmed: as soon as known, in any order, with "multiple"
// where that says the same in fewer frames. It is the pure part of publisher confirms.
type ConfirmTracker struct {
	last  uint64  // tag of the last publish
	base  uint64  // lowest tag that is not confirmed, where there is one
	slots []state // from base on
	fresh []uint64
}

type state uint8

const (
	waiting state = iota
	toAck
	toNack
	confirmed
)

// Confirm is one basic.ack or basic.nack.
type Confirm struct {
	Tag            uint64
	Multiple, Nack bool
}

// Publish gives the next publish its tag, from 1.
func (c *ConfirmTracker) Publish() uint64 {
	c.last++
	if len(c.slots) == 0 {
		c.base = c.last
	}
	c.slots = append(c.slots, waiting)
	return c.last
}

// Settle tells what became of a publish. Only the first word on a tag counts.
func (c *ConfirmTracker) Settle(tag uint64, served bool) {
	if tag < c.base || tag-c.base >= uint64(len(c.slots)) || c.slots[tag-c.base] != waiting {
		return
	}
	c.slots[tag-c.base] = toNack
	if served {
		c.slots[tag-c.base] = toAck
	}
	c.fresh = append(c.fresh, tag)
}

// Outstanding is how many publishes are not settled, or settled and not yet confirmed.
func (c *ConfirmTracker) Outstanding() int {
	n := 0
	for _, s := range c.slots {
		if s != confirmed {
			n++
		}
	}
	return n
}

// Flush returns what is to be sent for all that was settled since the last Flush: first the nacks, then one ack for
// the lowest tags without a gap, then those above a gap one by one.
func (c *ConfirmTracker) Flush(out []Confirm) []Confirm {
	if len(c.fresh) == 0 {
		return out
	}
	for _, tag := range c.fresh {
		if c.slots[tag-c.base] == toNack {
			out = append(out, Confirm{Tag: tag, Nack: true})
			c.slots[tag-c.base] = confirmed
		}
	}
	gap, acks := 0, 0
	var top uint64
	for gap < len(c.slots) && c.slots[gap] != waiting {
		if c.slots[gap] == toAck {
			acks++
			top = c.base + uint64(gap)
			c.slots[gap] = confirmed
		}
		gap++
	}
	if acks > 0 {
		out = append(out, Confirm{Tag: top, Multiple: acks > 1})
	}
	for _, tag := range c.fresh {
		if c.slots[tag-c.base] == toAck {
			out = append(out, Confirm{Tag: tag})
			c.slots[tag-c.base] = confirmed
		}
	}
	c.fresh = c.fresh[:0]
	c.base += uint64(gap)
	c.slots = c.slots[gap:]
	if len(c.slots) == 0 {
		c.slots = nil // an idle channel holds nothing
	}
	return out
}
