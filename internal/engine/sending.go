package engine

import (
	"container/heap"
	"errors"
	"fmt"

	"whinrun/control"
)

// This file starts the attempts that the library decides.

// send starts an attempt that the library decided, if the guard authorizes it.
func (c *Core) send(action *control.Action) {
	attempt, err := c.prepareAttempt(action)
	if err != nil {
		c.rejectSend(action, err)
		return
	}
	state := c.messages[action.Message]
	state.inFlight = attempt
	c.inFlight[attempt.Seq] = attempt
	c.stats.Attempts++
	if c.options.Trail != nil {
		c.options.Trail.AttemptStarted(attempt)
	}
	if attempt.WriteBefore+c.options.Settings.Tick < attempt.Deadline {
		heap.Push(&c.timers, timer{due: attempt.WriteBefore, seq: attempt.Seq})
	}
	heap.Push(&c.timers, timer{due: attempt.Deadline, seq: attempt.Seq})
	c.addToCall(attempt)
}

// Reasons why an attempt that the library decided is not started.
var (
	// errNotAnnounced means that the message ended in this round, because it could not be recorded.
	errNotAnnounced = errors.New("the message is not on record")
	// errMessageEnded means that the message has ended, which the library did not know.
	errMessageEnded = errors.New("it has ended")
	// errAttemptOut means that the message has an attempt in flight, which the library did not know.
	errAttemptOut = errors.New("it has an attempt in flight")
)

// prepareAttempt returns the attempt that the library decided, or the reason why it must not be started.
func (c *Core) prepareAttempt(action *control.Action) (*Attempt, error) {
	state := c.messages[action.Message]
	switch {
	case state == nil || state.ended:
		return nil, errMessageEnded
	case state.inFlight != nil:
		return nil, errAttemptOut
	case !c.announce(state):
		return nil, errNotAnnounced
	}
	c.lastSeq++
	class := &c.options.Settings.Classes[state.message.Class]
	attempt := &Attempt{Seq: c.lastSeq, Message: state.message, Number: state.attempts, Endpoint: action.Endpoint, Placement: c.placements[action.Endpoint], Deadline: state.deadline,
		MessageDeadline: state.deadline, StartedAt: c.now, WriteBefore: c.now + action.SendWithin, Value: class.Value, RunsOnce: class.Effect == control.AtMostOnce}
	attempt.PerEndpointLimits = c.hasPerEndpointLimits(attempt.Placement.Kind)
	if action.After > 0 {
		attempt.Deadline = min(attempt.Deadline, c.now+action.After)
	}
	state.attempts++
	return attempt, c.guard.AuthorizeCall(c.now, attempt.SafetyCall())
}

// rejectSend reports an attempt that was not started to the library in the next round. From the Send action on the library counts
// the attempt as in flight: until its outcome it occupies a slot, a place in a window, and the turn of its key.
func (c *Core) rejectSend(action *control.Action, reason error) {
	event := control.Event{Kind: control.Outcome, Message: action.Message, Attempt: control.CurrentAttempt, Endpoint: action.Endpoint, Result: control.NotSent}
	switch reason {
	case errNotAnnounced:
		event.Closed = true
	case errMessageEnded:
		event.Closed = true
		c.logger.InternalError(fmt.Sprintf("send action for message %d: %v", action.Message, reason))
	default: // The attempt counts, so that the library does not repeat it without end.
		event.Result = control.NotExecuted
		c.logger.InternalError(fmt.Sprintf("send action for message %d: %v", action.Message, reason))
	}
	c.nextEvents = append(c.nextEvents, event)
}

// hasPerEndpointLimits reports whether endpoints of a kind have their own limits and waits.
func (c *Core) hasPerEndpointLimits(kind int) bool {
	return kind >= 0 && kind < len(c.options.Settings.DestinationKinds) && c.options.Settings.DestinationKinds[kind].PerEndpointLimits
}

// addToCall adds an attempt to a pending call to the same endpoint that has room, or begins a new call.
func (c *Core) addToCall(a *Attempt) {
	maxAttempts := 1
	if k := a.Placement.Kind; k >= 0 && k < len(c.options.Settings.DestinationKinds) {
		maxAttempts = max(1, c.options.Settings.DestinationKinds[k].MaxBatch)
	}
	if maxAttempts > 1 { // Otherwise the search would be useless, and slow in a round with very many calls.
		for i, call := range c.pendingCalls {
			if call[0].Endpoint == a.Endpoint && len(call) < maxAttempts && c.fits(call, a) {
				c.pendingCalls[i] = append(call, a)
				return
			}
		}
	}
	c.pendingCalls = append(c.pendingCalls, []*Attempt{a})
}

// messageOverhead is the size that is assumed for each message of a call in addition to its body, in bytes.
const messageOverhead = 256

// fits reports whether an attempt can be added to a call without exceeding MaxCallBytes.
func (c *Core) fits(call []*Attempt, a *Attempt) bool {
	size := len(a.Message.Body) + messageOverhead
	for _, o := range call {
		size += len(o.Message.Body) + messageOverhead
	}
	return c.options.MaxCallBytes == 0 || size <= c.options.MaxCallBytes
}

// startCalls hands the pending calls of this round to the transport.
func (c *Core) startCalls() {
	for _, call := range c.pendingCalls {
		c.transport.Start(call)
	}
	clear(c.pendingCalls)
	c.pendingCalls = c.pendingCalls[:0]
}
