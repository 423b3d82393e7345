// Package control is the decision library of the delivery service. It decides which message is sent to which endpoint and when.
//
// The library does no I/O and reads no clock. The caller creates a Dispatcher from Settings, passes it the events of one round
// with Step and carries out the actions that Step returns. The same settings, seed and events always give the same actions.
//
// This file is the whole interface: settings, events and actions. The exception is Outage, which is declared in outage.go.
package control

// Time is an instant on the caller's clock or a duration. Its unit is the microsecond.
type Time int64

// Units of Time.
const (
	Millisecond Time = 1000
	Second      Time = 1000 * Millisecond
)

// StallMargin is the longest delay that is allowed for between the moment at which the caller reads its clock and the moment at
// which it carries out an action. Deduplication windows are taken to end this much earlier.
const StallMargin = 150 * Millisecond

// MessageID identifies a message. The caller assigns it and never uses one twice.
type MessageID uint64

// CurrentAttempt is an Event.Attempt for the attempt of a message that is in flight, whatever its number.
const CurrentAttempt = -1

// EndpointID identifies an endpoint. The caller assigns it. The library only compares IDs and derives hash values from them.
type EndpointID uint64

// RepeatEffect tells what happens when a message of a class is sent again after an attempt that was possibly executed.
type RepeatEffect uint8

// Effects of a repeated attempt.
const (
	// Idempotent means that the message may be repeated any number of times.
	Idempotent RepeatEffect = iota
	// Deduplicated means that the partner drops repeats within a deduplication window.
	Deduplicated
	// AtMostOnce means that the message must never take effect twice. A possibly executed attempt is not repeated.
	AtMostOnce
)

// Class describes a class of messages. The caller sets all fields.
type Class struct {
	// Name is for the caller only.
	Name string
	// Effect tells whether an attempt that was possibly executed may be repeated.
	Effect RepeatEffect
	// DedupPerZone tells that only the endpoints of one zone share their deduplication state. Otherwise all endpoints of the
	// destination share it. It applies to Deduplicated classes.
	DedupPerZone bool
	// DedupWindow is how long repeats are dropped. It starts when the first possibly executed attempt is sent. It applies to
	// Deduplicated classes.
	DedupWindow Time
	// Target is the age up to which a delivered message has its full value.
	Target Time
	// Deadline is the age at which a message is given up.
	Deadline Time
	// Value is what the delivery of one message is worth, relative to other classes.
	Value float64
	// LateValue is the share of Value that is left at the deadline, from 0 to 1.
	LateValue float64
	// InOrder tells that messages with the same key are sent one at a time, in order of arrival.
	InOrder bool
}

// Tenant describes a customer and its quota. The caller sets all fields.
type Tenant struct {
	// Name is for the caller only.
	Name string
	// Quota is the rate of messages a second that the tenant is entitled to, over all dispatchers.
	Quota float64
}

// DestinationKind describes a kind of destination. The caller sets all fields.
type DestinationKind struct {
	// Name is for the caller only.
	Name string
	// MaxBatch is the largest number of messages in one call.
	MaxBatch int
	// PerEndpointLimits tells that each endpoint has its own rate limit, waits and outages. Otherwise the endpoints of a
	// destination share them.
	PerEndpointLimits bool
}

// WeightKind tells what Entry.Weight means.
type WeightKind uint8

// Meanings of Entry.Weight.
const (
	// WeightNone means that the weight is ignored.
	WeightNone WeightKind = iota
	// WeightNominal means that the weight is the rate, in calls a second, that a destination accepts from all dispatchers.
	WeightNominal
	// WeightApproximate means the same rate, but inexact. The true one may be higher.
	WeightApproximate
)

// Settings configure a Dispatcher. The caller sets them once, before New. New returns an error for a value out of range.
type Settings struct {
	// InstanceIndex is the number of this dispatcher and Instances is how many dispatchers there are. No decision depends on the
	// index.
	InstanceIndex, Instances int
	// Zone is the zone of this dispatcher. Endpoints in the same zone are preferred.
	Zone int
	// Tick is the granularity of the caller's rounds and timers. At least 1 microsecond.
	Tick Time
	// Classes are the message classes. Event.Class is an index into them. There is at least one.
	Classes []Class
	// Tenants are the customers. Event.Tenant is an index into them.
	Tenants []Tenant
	// DestinationKinds are the kinds of destination. Entry.DestinationKind is an index into them.
	DestinationKinds []DestinationKind
	// Weights tells what Entry.Weight means.
	Weights WeightKind
	// HalveLateValue tells that the value of a late message halves with each further Class.Target, down to Class.LateValue. If
	// it is false, the value falls linearly between the target and the deadline.
	HalveLateValue bool
	// OverQuotaFactor is the factor on the value of messages that a tenant sends above its quota.
	OverQuotaFactor float64
	// ReportRemainingIndex is the position in Event.Report of the share of the limit that is left. It is -1 if there is none.
	ReportRemainingIndex int
	// ReportLimitIndex is the position in Event.Report of the limit in calls a second. It is -1 if there is none.
	ReportLimitIndex int

	// Slots is the largest number of calls in flight. At least 1.
	Slots int
	// MaxOpen is the largest number of messages that have no final answer yet, whether they are queued or in flight. At least 1.
	MaxOpen int
	// MaxAttempts is the largest number of attempts that are sent for one message. At least 1.
	MaxAttempts int
	// MayCancel tells that the caller can carry out Cancel. Otherwise each Send of a repeatable class has a timeout instead.
	MayCancel bool
	// Probes tells that the caller can carry out Probe. The dispatcher returns no Probe actions at present.
	Probes bool
	// RetryAfter tells that a refusal may carry a wait, in Action.After.
	RetryAfter bool
	// MaxRetryAfter is the longest wait that a refusal may carry.
	MaxRetryAfter Time
	// ConnIdleTimeout is the idle age at which the caller closes a connection to an endpoint.
	ConnIdleTimeout Time
	// ConnectTimeout is how long a connect may take. It is for the caller only.
	ConnectTimeout Time
	// StreamsPerConn is the largest number of concurrent calls on one connection. It is for the caller only.
	StreamsPerConn int

	// PullList tells that the endpoint list is sent only after a Watch or Fetch action. Otherwise the list is pushed.
	PullList bool
	// PullInterval bounds how long the dispatcher may go without asking for the list. One that has not asked for this long is
	// taken to know the list of that moment. With 0 the dispatcher never asks.
	PullInterval Time

	// ZoneCosts gives for each zone the share of a message's value that sending it to an endpoint there costs. It applies to
	// kinds with PerEndpointLimits.
	ZoneCosts []float64

	// Gossip tells that dispatchers may send hints to each other. Hints may be late or lost.
	Gossip bool
	// GossipCost is the share of the total value that one byte of gossip for each message would cost.
	GossipCost float64

	// HasPredecessor tells that an earlier process dispatched under the same name. The results of its last calls are unknown.
	HasPredecessor bool

	// EarlyAck tells that the client learns in the round of an arrival that the message is accepted, unless the round ends the
	// message. Giving an acknowledged message up early costs more than refusing it at once.
	EarlyAck bool

	// TrackOutages tells that the caller calls Dispatcher.Outages after each Step.
	TrackOutages bool

	// StopSendingWithin is how soon sends to an endpoint must stop after it is listed as draining. It is for the caller only: the
	// dispatcher stops in the round of the ListUpdate.
	StopSendingWithin Time
	// ColdCapacity is the share of its capacity that a destination has when it returns from an outage, from 0 to 1.
	ColdCapacity float64
	// WarmUp is how long a destination takes from its return to its full capacity.
	WarmUp Time
	// CollapseMultiple is the multiple of its present capacity at which the load on a cold destination makes it fail again.
	CollapseMultiple float64
	// MaxOverload is the longest time that an overload lasts. What fails or refuses for longer is taken to be an outage.
	MaxOverload Time
	// SettleTime is how long the remaining messages of a key wait after an attempt that was possibly executed and may still be
	// running. It applies to classes with InOrder.
	SettleTime Time
}

// EventKind tells what an Event reports.
type EventKind uint8

// Kinds of event. The comment of each one lists the fields of Event that it uses.
const (
	// Arrival reports a new message. It uses Message, Class, Tenant, Dest, Key and TimeLeft. Restored marks a message that an
	// earlier process had accepted. Then Attempt is the number of attempts already made. If PossiblyExecuted is set, the first
	// attempt that was possibly executed was sent Elapsed ago to an endpoint in Zone.
	Arrival EventKind = iota + 1
	// Outcome reports the end of an attempt. It uses Message, Attempt, Endpoint, Result, Elapsed, Closed, RetryAfter and Report.
	Outcome
	// Started reports the start of a streamed answer. It uses Message, Attempt, Endpoint and Elapsed. The dispatcher ignores it.
	Started
	// Withdrawn reports that the client no longer wants the message. It uses Message. No final answer follows.
	Withdrawn
	// TimerFired reports that a timer is due. It uses TimerToken.
	TimerFired
	// ProbeResult reports the end of a probe. It uses Endpoint, Result, Elapsed and Report. The dispatcher ignores it.
	ProbeResult
	// ListUpdate reports an endpoint list. It uses ListKind and Entries.
	ListUpdate
	// GossipReceived reports hints from another dispatcher. It uses Payload.
	GossipReceived
	// Shutdown reports that this dispatcher stops. It uses TimeLeft and KeepHeld. Without KeepHeld, every open message gets its
	// final answer within TimeLeft from now. With KeepHeld, messages that are still open then are kept for the next process and
	// need no answer, and new messages are refused.
	Shutdown
	// RecordingStatus reports whether attempts can be recorded in the ledger. It uses RecordingFails. While recording fails, only
	// messages of Idempotent classes are sent.
	RecordingStatus
	// OutageRestored reports an outage that an earlier process had observed. It uses Outage. The endpoint must be listed before.
	OutageRestored
)

// Result tells how an attempt or a probe ended.
type Result uint8

// Results of an attempt.
const (
	// OK means that the endpoint handled the message. An answer that permanently rejects the message counts as OK, too.
	OK Result = iota
	// ErrorResponse means that the endpoint answered with an error. The attempt was possibly executed.
	ErrorResponse
	// LimitExceeded means that the endpoint refused the attempt because a limit was reached. The attempt was not executed, unless the
	// event says PossiblyExecuted: the refusal may then be that of another attempt.
	LimitExceeded
	// TimedOut means that no answer came in time. The attempt was possibly executed.
	TimedOut
	// ConnectFailed means that there was no working connection. The attempt was not executed.
	ConnectFailed
	// Reset means that the connection or the stream broke. The attempt was possibly executed.
	Reset
	// Cancelled means that the caller stopped waiting. The attempt was possibly executed.
	Cancelled
	// NotExecuted means that the attempt was certainly not executed. It says nothing about the endpoint.
	NotExecuted
	// NotSent means that the attempt was never sent. It does not count as an attempt and tells nothing about the endpoint.
	NotSent
)

// ListKind tells how a ListUpdate relates to the list before it.
type ListKind uint8

// Kinds of list.
const (
	// ListDelta contains only the entries that changed.
	ListDelta ListKind = iota
	// ListFull is the whole list. Endpoints that are not in it are gone.
	ListFull
	// ListCached is a whole list that may be out of date, such as the last one of an earlier process.
	ListCached
	// ListFailed means that a Watch or Fetch failed or that the subscription broke. The list before it stays valid.
	ListFailed
)

// Health is the state of an endpoint in the list. It is independent of outages that the dispatcher observes.
type Health uint8

// States of a listed endpoint.
const (
	// Draining means that the endpoint takes no new calls and finishes those in flight.
	Draining Health = iota
	// Ready means that the endpoint takes calls.
	Ready
	// Gone means that the endpoint has been removed from the list.
	Gone
)

// Entry is one endpoint of a list. Discovery sets all fields.
type Entry struct {
	// Endpoint identifies the endpoint. An endpoint never changes its destination.
	Endpoint EndpointID
	// Dest is the number of its destination.
	Dest int
	// Zone is its zone.
	Zone int
	// DestinationKind is an index into Settings.DestinationKinds.
	DestinationKind int
	// Health tells whether the endpoint takes calls.
	Health Health
	// Weight is a rate as described by Settings.Weights, in calls a second. 0 means that none is listed.
	Weight float64
}

// Event tells a Dispatcher what happened. The caller sets Kind and the fields that the kind uses.
type Event struct {
	Kind EventKind
	// Message identifies the message.
	Message MessageID
	// Class is an index into Settings.Classes.
	Class int
	// Tenant is an index into Settings.Tenants.
	Tenant int
	// Dest is the number of the destination.
	Dest int
	// Key is the ordering key. 0 means that there is none.
	Key uint64
	// TimeLeft is the time from now until the message is given up. In a Shutdown it is the time until the dispatcher stops.
	TimeLeft Time
	// Attempt is the number of the attempt, counted from 0. In an Arrival it is the number of attempts already made. In an Outcome it
	// may be CurrentAttempt.
	Attempt int
	// Endpoint is where the attempt or probe was sent.
	Endpoint EndpointID
	// Result tells how the attempt or probe ended.
	Result Result
	// Closed tells that the message has its final answer and is not sent again.
	Closed bool
	// Elapsed is the time since the attempt or probe was sent.
	Elapsed Time
	// PossiblyExecuted tells that an earlier process made an attempt that was possibly executed. In an Outcome it tells that the
	// attempt was, although the result would mean that it was not.
	PossiblyExecuted bool
	// Restored tells that an earlier process had accepted the message.
	Restored bool
	// Zone is the zone to which an earlier process sent the first attempt that was possibly executed.
	Zone int
	// KeepHeld tells that the next process goes on with the messages that are still open.
	KeepHeld bool
	// RecordingFails tells that attempts cannot be recorded in the ledger.
	RecordingFails bool
	// Outage is what an earlier process knew about an outage.
	Outage *Outage
	// RetryAfter is the wait that the endpoint asked for. 0 means that it asked for none.
	RetryAfter Time
	// Report holds the figures that the endpoint sent with its answer. Their positions are in Settings.
	Report []float32
	// TimerToken is the token of the Timer action.
	TimerToken uint64
	// ListKind tells how Entries relate to the list before.
	ListKind ListKind
	// Entries are the endpoints of the list.
	Entries []Entry
	// Payload holds the hints of another dispatcher, as SendGossip passed them.
	Payload string
}

// ActionKind tells what the caller has to do.
type ActionKind uint8

// Kinds of action. The comment of each one lists the fields of Action that it uses.
const (
	// Send starts an attempt. It uses Message, Endpoint, After and SendWithin. After is the timeout of the attempt; with 0 it
	// ends at the deadline of the message. An attempt that has not been written within SendWithin is dropped unsent, even if it
	// is still waiting for a connection.
	Send ActionKind = iota + 1
	// Refuse is a final answer: the message was not accepted and may safely be sent again by the client. It uses Message, After
	// and Text. After is the wait that the client is asked to keep.
	Refuse
	// Fail is a final answer that says nothing about the execution of the message. It uses Message and Text.
	Fail
	// Cancel stops waiting for an attempt. It uses Message and Attempt.
	Cancel
	// Timer asks for a TimerFired event. It uses After and TimerToken. The token is 0 or the ID of a message plus 1. The caller
	// may drop a timer whose message is over.
	Timer
	// Probe checks an endpoint. It uses Endpoint.
	Probe
	// CloseIdle closes the idle connections to an endpoint. It uses Endpoint.
	CloseIdle
	// Watch subscribes to the endpoint list. It is only returned with Settings.PullList. The caller answers with one ListUpdate
	// and reports changes from then on.
	Watch
	// Fetch asks once for the whole endpoint list. It is only returned with Settings.PullList. The caller answers with one
	// ListUpdate.
	Fetch
	// SendGossip sends hints to every other dispatcher. It is only returned with Settings.Gossip. It uses Text, which holds at
	// most 256 bytes.
	SendGossip
	// Log writes a line for the operators. It uses Text.
	Log
)

// Action is something that the caller has to do. The Dispatcher sets Kind and the fields that the kind uses.
type Action struct {
	Kind ActionKind
	// Message identifies the message.
	Message MessageID
	// Attempt is the number of the attempt, counted from 0.
	Attempt int
	// Endpoint is where to send, probe or close.
	Endpoint EndpointID
	// After is a duration: the timeout of a Send, the wait of a Refuse or the delay of a Timer.
	After Time
	// SendWithin is the time from now within which the attempt must be written.
	SendWithin Time
	// TimerToken is returned with the TimerFired event.
	TimerToken uint64
	// Text is the line of a Log, the bytes of a SendGossip or the reason of a Refuse or Fail in words.
	Text string
}
