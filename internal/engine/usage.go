package engine

import (
	"fmt"

	"whinrun/control"
)

// This file checks that the library, the guard and the engine agree on what is in use. A message or an attempt that one of them alone
// knows would occupy a slot, a place in a window, or the turn of a key for good.

// checkUsage reports a disagreement as an internal error, once for each change of it. It is called at the end of each round.
func (c *Core) checkUsage() {
	fault := c.usageFault()
	if fault != c.reportedUsageFault && fault != "" {
		c.logger.InternalError(fault)
	}
	c.reportedUsageFault = fault
}

// usageFault describes a disagreement. It is empty if there is none.
func (c *Core) usageFault() string {
	library, guarded := c.dispatcher.Usage(), c.guard.Usage()
	rejected := 0
	for i := range c.nextEvents {
		if c.nextEvents[i].Kind == control.Outcome {
			rejected++
		}
	}
	atRest := len(c.messages) == 0 && len(c.nextEvents) == 0
	switch {
	case library.Attempts != len(c.inFlight)+rejected:
		return fmt.Sprintf("%d attempts occupy slots of the library, but %d are in flight and %d were not started", library.Attempts, len(c.inFlight), rejected)
	case guarded.Attempts != len(c.inFlight):
		return fmt.Sprintf("%d attempts are in flight for the guard, but %d for the engine", guarded.Attempts, len(c.inFlight))
	case guarded.Messages != len(c.messages):
		return fmt.Sprintf("the guard keeps %d messages, but the engine %d", guarded.Messages, len(c.messages))
	case atRest && library != control.Usage{}:
		return fmt.Sprintf("no message is left, but the library has in use: %+v", library)
	}
	return ""
}
