package engine

import (
	"errors"

	"whinrun/control"
	"whinrun/internal/safety"
)

// This file contains what a Core needs of the packages around it.

// Ledger records the state that must outlive the process. Its methods are called on the engine's goroutine. Each is called
// before the answer or call that depends on the record: RecordAccept before the sender is told that the message is accepted, and
// RecordFinish before anybody is told of its end. The transport records attempts, immediately before they are written.
type Ledger interface {
	// RecordAccept records an accepted message with its deadline. An error means that the message is not on record. The
	// message is then refused, or failed if the error is ErrRecordUncertain.
	RecordAccept(m *Message, due control.Time) error

	// RecordAttemptEnd records that an attempt ended and its message did not.
	RecordAttemptEnd(a *Attempt, e safety.AttemptResult)

	// RecordFinish records that a message ended. a is nil if the message was withdrawn.
	RecordFinish(m *Message, a *Answer)

	// RecordOutages records changes of what is known of outages.
	RecordOutages(changed []control.Outage)

	// Failing reports whether attempts can't be recorded now. Once that is over, an input with LedgerWritable follows.
	Failing() bool
}

// ErrRecordUncertain means that a message may or may not be on record.
var ErrRecordUncertain = errors.New("it is not known whether the message is on record")

// Placement is the destination, kind and zone that the endpoint list gives for an endpoint.
type Placement struct{ Dest, Kind, Zone int }

// Attempt is one attempt that a transport is to make. Its facts about the execution of the message are as of its start.
type Attempt struct {
	Seq       uint64 // Identifies the attempt towards the transport.
	Message   *Message
	Number    int // The first attempt of a message has number zero.
	Endpoint  control.EndpointID
	Placement Placement

	// PerEndpointLimits is set if the endpoint has its own limits and waits, instead of those of its destination.
	PerEndpointLimits bool

	// Value is the worth of the message by its class.
	Value float64

	// RunsOnce is set if the message may not be repeated once it was possibly executed.
	RunsOnce bool

	// Deadline is the time at which the attempt is given up.
	Deadline control.Time

	// MessageDeadline is the time after which the message is not sent again.
	MessageDeadline control.Time

	// WriteBefore is the time at which an attempt that has not been written is given up unsent, because a repeat would be too
	// late. If it is zero, Deadline applies.
	WriteBefore control.Time

	// StartedAt is the time of the round that started the attempt.
	StartedAt control.Time
}

// SafetyCall identifies the attempt for package safety.
func (a *Attempt) SafetyCall() safety.Call {
	return safety.Call{Message: a.Message.ID, Attempt: a.Number, Endpoint: a.Endpoint, Dest: a.Placement.Dest, Zone: a.Placement.Zone, PerEndpointLimits: a.PerEndpointLimits}
}

// Transport makes attempts. Its methods are called on the engine's goroutine and must not block. Each attempt that is started
// is followed by exactly one Outcome as an input. The Outcome follows soon after a Cancel, unless the call goes on for other
// messages. In that case it comes with the end of the call.
type Transport interface {
	// Start starts a call. The call has several attempts if the kind of destination takes several messages in a call.
	Start(call []*Attempt)

	// CancelUnsent ends the attempt with the outcome Unsent if no connection has taken it yet.
	CancelUnsent(a *Attempt)

	// Cancel ends the attempt with the outcome TimedOut or Cancelled, unless another outcome is on its way.
	Cancel(a *Attempt, kind OutcomeKind)

	// CloseIdle closes the idle connections to an endpoint.
	CloseIdle(ep control.EndpointID)
}

// Discovery provides the endpoint list if the setting PullList is on. Each call is answered by one ListUpdate as an input.
type Discovery interface {
	// Watch subscribes to changes of the list.
	Watch()

	// Fetch requests the whole list once.
	Fetch()
}

// Trail records what happens to messages, at the time that it happens. Its methods are called on the engine's goroutine. They
// must not block, and must not retain their arguments.
type Trail interface {
	Accepted(m *Message)
	AttemptStarted(a *Attempt)

	// AttemptEnded is called with late set if the message had its final answer before.
	AttemptEnded(a *Attempt, e *Outcome, classification Classification, late bool)

	Withdrawn(m *Message)
	Answered(m *Message, a *Answer)
	EndpointChanged(e *control.Entry)
}

// Logger writes log lines for operators.
type Logger interface {
	// Info logs a message of the decision library.
	Info(text string)

	// InternalError logs an event that a correct program does not produce.
	InternalError(text string)
}
