package engine

import (
	"whinrun/control"
)

// This file contains messages, where they come from, and their final answers.

// AnswerKind is the kind of a final answer.
type AnswerKind uint8

// Kinds of final answers.
const (
	// Served means that a partner accepted the message.
	Served AnswerKind = iota + 1

	// Refused means that the message was not delivered, and that submitting it again is harmless.
	Refused

	// Failed means that the message was not confirmed as delivered. It may or may not have been executed.
	Failed
)

func (f AnswerKind) String() string { return [...]string{"none", "served", "refused", "failed"}[f] }

// Answer is the final answer of a message.
type Answer struct {
	Kind AnswerKind

	// RetryAfter is how long the sender of a refused message should wait before it tries again, or zero if that is unknown.
	RetryAfter control.Time

	// DeadlineExceeded is set for a failed message that is answered at its deadline, or less than three ticks before it.
	DeadlineExceeded bool

	// Status is the last HTTP status of the partner, or zero if there was none.
	Status int

	// Attempts is the number of attempts that were made, including those of earlier processes.
	Attempts int

	// AttemptDetail describes how the last attempt ended.
	AttemptDetail string

	// Reason is the library's reason for ending the message. It is empty if a partner's response ended it.
	Reason string
}

// Origin is the source of a message. Answer is called at most once for each message, on the engine's goroutine, and must not
// block. It is not called for a message that was withdrawn.
type Origin interface {
	Answer(m *Message, a Answer)
}

// Message is a message as a front submits it. It is not changed after it has been accepted.
type Message struct {
	ID       control.MessageID // Assigned by Loop.Submit.
	Class    int
	Tenant   int
	Dest     int
	OrderKey uint64 // Zero if the message has no order key.

	// Lifetime is the time until the message is given up. The deadline of its class limits it.
	Lifetime control.Time

	// AcceptedAt is the time of the round that accepted the message. The engine sets it.
	AcceptedAt control.Time

	// ReceivedAt is when the sender's request was complete. If it is zero, Lifetime counts from AcceptedAt.
	ReceivedAt control.Time

	// ExternalID is the ID that the sender gave the message, if the protocol has one.
	ExternalID string

	// IdempotencyKey is the key by which the partner deduplicates the message. If it is empty, the message's ID is used.
	IdempotencyKey string

	Topic   string
	Urgency string

	// TargetPath is the path at the partner, if the message names one.
	TargetPath string

	ContentType     string
	ContentEncoding string
	Body            []byte

	// ReceiptSubscription names the subscription that gets the final answer if the sender does not wait for it. It is recorded
	// in the Trail.
	ReceiptSubscription string

	// ReceiptNumber is the number that the final answer gets in that subscription.
	ReceiptNumber uint64

	// Recovered holds what earlier processes did for the message.
	Recovered Recovered

	// Origin gets the final answer.
	Origin Origin

	// OriginTag is for use by the Origin. The engine does not read it.
	OriginTag uint64
}

// HeadSize returns how many bytes the message keeps of what its sender gave beside the body.
func (m *Message) HeadSize() int {
	return len(m.ExternalID) + len(m.IdempotencyKey) + len(m.Topic) + len(m.TargetPath) + len(m.ContentType) + len(m.ContentEncoding)
}

// Recovered is what earlier processes did for a message.
type Recovered struct {
	// Restored is set if an earlier process accepted the message.
	Restored bool

	// Attempts is the number of attempts that were made.
	Attempts int

	// PossiblyExecuted is set if one of the attempts may have been executed.
	PossiblyExecuted bool

	// ExecutedAt is when the first possibly executed attempt began, on the clock of this process.
	ExecutedAt control.Time

	// ExecutedZone is the zone that this attempt went to.
	ExecutedZone int
}

// AcceptNotifier is an Origin that is told when its message has been accepted, before the final answer.
type AcceptNotifier interface {
	Origin

	// Accepted is called on the engine's goroutine, before Answer. It is not called if the message ended before its sender could
	// be told.
	Accepted(m *Message)
}
