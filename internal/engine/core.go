// Package engine runs the decision library. It turns the reports of fronts and transports into the library's events, and the
// module's actions into final answers and attempts. It makes no decisions of its own. Core is a deterministic state machine
// without I/O, which is given the time and its inputs. Loop runs a Core on the real clock, on one goroutine.
package engine

import (
	"container/heap"
	"errors"
	"fmt"
	"maps"
	"slices"

	"whinrun/control"
	"whinrun/internal/safety"
)

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

// Input is one event for a Core. Exactly one kind of event is set.
type Input struct {
	Submit   *Message
	Withdraw control.MessageID
	Outcome  *Outcome
	List     *ListUpdate

	// StopWithin is positive if the dispatcher is stopping. It is the longest time that any message may still take.
	StopWithin control.Time

	// KeepMessages goes with StopWithin. It is set if a ledger keeps the messages. StopWithin then limits calls and not messages.
	KeepMessages bool

	// LedgerWritable is set if the ledger can be written again.
	LedgerWritable bool

	// Outage is an outage that an earlier process observed.
	Outage *control.Outage
}

// ListUpdate is a new endpoint list or a change of it.
type ListUpdate struct {
	Kind    control.ListKind
	Entries []control.Entry
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

// Options configures a Core.
type Options struct {
	Trail  Trail  // Nil if there is none.
	Ledger Ledger // Nil if there is none.

	// Guard authorizes irreversible operations. If it is nil, the engine creates one.
	Guard *safety.Guard

	// Classify maps outcomes to their meaning. If it is nil, the rules of push gateways apply (see the function Classify).
	Classify func(Outcome) Classification

	// MaxCallBytes is the maximum size of a call of several messages, in bytes. Zero means that there is no maximum.
	MaxCallBytes int

	// Settings are the settings of the decision library.
	Settings control.Settings

	// PathPerMessage tells for each kind of destination whether paths belong to messages (see the function Classify).
	PathPerMessage []bool
}

// Stats counts what the engine has done since its start.
type Stats struct {
	Accepted, Served, Refused, Failed, Withdrawn uint64
	Attempts, Rounds                             uint64

	// Open is the number of messages without a final answer. InFlight is the number of attempts in flight, and Unsettled that of
	// provisional deliveries.
	Open, InFlight, Unsettled int

	// EndedInDoubt is the number of failed messages that may have been over before (see Outcome.PossiblyOver).
	EndedInDoubt uint64

	// Violations is the number of violations of the safety rules that were prevented.
	Violations uint64
}

// Logger writes log lines for operators.
type Logger interface {
	// Info logs a message of the decision library.
	Info(text string)

	// InternalError logs an event that a correct program does not produce.
	InternalError(text string)
}

// messageState is the state of a message that has no final answer yet or has an attempt in flight.
type messageState struct {
	message     *Message
	deadline    control.Time
	attempts    int
	ended       bool     // The message has its final answer or was withdrawn.
	unannounced bool     // The sender has not been told that the message is accepted.
	recorded    bool     // The ledger has the message.
	inFlight    *Attempt // Nil if no attempt is in flight.
	lastDetail  string
	lastStatus  int
}

// Core turns inputs into events of the library, and actions of the library into calls of Origin, Transport and Discovery.
type Core struct {
	options    Options
	dispatcher *control.Dispatcher
	guard      *safety.Guard
	transport  Transport
	discovery  Discovery
	logger     Logger
	now        control.Time
	lastSeq    uint64 // The Seq of the last attempt.
	messages   map[control.MessageID]*messageState
	inFlight   map[uint64]*Attempt

	// provisional holds the messages whose delivery is not confirmed, by the Seq of the attempt.
	provisional map[uint64]*messageState

	placements   map[control.EndpointID]Placement
	unannounced  []*messageState // Messages that this round accepted.
	pendingCalls [][]*Attempt    // Calls of this round that have not been started.

	// withdrawnEndpoints holds the endpoints that this round withdrew, or that asked to wait in it and have their own limits.
	withdrawnEndpoints map[control.EndpointID]bool

	// waitingDests holds the destinations that asked to wait in this round.
	waitingDests map[int]bool

	nextEvents  []control.Event // Events for the next round.
	timers      timerHeap
	staleTimers int // An estimate of how many timers belong to finished messages.
	events      []control.Event
	actions     []control.Action
	stats       Stats

	// reportedUsageFault is the disagreement that checkUsage reported last. It is empty while there is none.
	reportedUsageFault string
}

// NewCore returns a Core, or the library's error about its settings. discovery may be nil if the setting PullList is off.
func NewCore(options Options, seed uint64, transport Transport, discovery Discovery, log Logger) (*Core, error) {
	options.Settings.TrackOutages, options.Settings.EarlyAck = options.Ledger != nil, options.Ledger != nil
	dispatcher, err := control.New(options.Settings, seed)
	if err != nil {
		return nil, fmt.Errorf("engine: %w", err)
	}
	if options.Guard == nil {
		options.Guard = safety.NewGuard(options.Settings)
	}
	return &Core{options: options, dispatcher: dispatcher, guard: options.Guard, transport: transport, discovery: discovery, logger: log, messages: map[control.MessageID]*messageState{}, inFlight: map[uint64]*Attempt{}, provisional: map[uint64]*messageState{},
		placements: map[control.EndpointID]Placement{}, withdrawnEndpoints: map[control.EndpointID]bool{}, waitingDests: map[int]bool{}}, nil
}

// Stats returns the counts so far.
func (c *Core) Stats() Stats {
	s := c.stats
	s.InFlight, s.Unsettled = len(c.inFlight), len(c.provisional)
	s.Violations = c.guard.Violations()
	return s
}

// NextTimer returns when the next timer is due. ok is false if no timer is set.
func (c *Core) NextTimer() (at control.Time, ok bool) {
	if len(c.timers) == 0 {
		return 0, false
	}
	return c.timers[0].due, true
}

// Round handles the inputs of one round and the timers that are due at now, and performs the actions that the library decides.
func (c *Core) Round(now control.Time, inputs []Input) {
	c.now = now
	c.stats.Rounds++
	c.events = append(c.events[:0], c.nextEvents...)
	c.nextEvents = c.nextEvents[:0]
	for i := range inputs {
		c.handleInput(&inputs[i])
	}
	c.cancelUnsent()
	c.fireTimers()
	handled := len(c.events)
	c.actions = c.dispatcher.Step(now, c.events, c.actions[:0])
	if changed := c.dispatcher.Outages(); len(changed) > 0 && c.options.Ledger != nil {
		c.options.Ledger.RecordOutages(changed)
	}
	for i := range c.actions {
		c.perform(&c.actions[i])
	}
	c.startCalls()
	for _, state := range c.unannounced {
		c.announce(state)
	}
	clear(c.unannounced)
	c.unannounced = c.unannounced[:0]
	c.nextEvents = append(c.nextEvents, c.events[handled:]...) // Events that were added after the library's step.
	clear(c.events)
	c.compactTimers()
	c.checkUsage()
}

// announce tells the sender that its message is accepted, after the ledger has recorded it. If the ledger cannot record it, the
// message is refused. The result is false if the message has ended.
func (c *Core) announce(state *messageState) bool {
	if !state.unannounced || state.ended {
		return !state.ended
	}
	state.unannounced = false
	if l := c.options.Ledger; l != nil && !state.recorded {
		if err := l.RecordAccept(state.message, state.deadline); err != nil {
			c.nextEvents = append(c.nextEvents, control.Event{Kind: control.Withdrawn, Message: state.message.ID})
			a := Answer{Kind: Refused, RetryAfter: control.Second, Reason: err.Error()}
			if errors.Is(err, ErrRecordUncertain) { // A later process may find the message on record and deliver it.
				a = Answer{Kind: Failed, Reason: err.Error()}
			}
			c.answer(state, a)
			return false
		}
		state.recorded = true
	}
	if t, ok := state.message.Origin.(AcceptNotifier); ok {
		t.Accepted(state.message)
	}
	return true
}

// handleInput dispatches one input by its kind.
func (c *Core) handleInput(in *Input) {
	switch {
	case in.Submit != nil:
		c.submit(in.Submit)
	case in.Outcome != nil:
		c.handleOutcome(in.Outcome)
	case in.List != nil:
		c.updateList(in.List)
	case in.Outage != nil:
		c.events = append(c.events, control.Event{Kind: control.OutageRestored, Outage: in.Outage})
	case in.LedgerWritable:
		c.events = append(c.events, control.Event{Kind: control.RecordingStatus})
	case in.StopWithin > 0:
		c.events = append(c.events, control.Event{Kind: control.Shutdown, TimeLeft: in.StopWithin, KeepHeld: in.KeepMessages})
	default:
		c.withdraw(in.Withdraw)
	}
}

// submit accepts a message.
func (c *Core) submit(m *Message) {
	lifetime := m.Lifetime
	if m.ReceivedAt > 0 { // The time that passed until this round counts, because a round may be late.
		lifetime = max(0, lifetime-(c.now-m.ReceivedAt))
	}
	lifetime = min(lifetime, c.options.Settings.Classes[m.Class].Deadline)
	m.AcceptedAt = c.now
	recovered := m.Recovered
	state := &messageState{message: m, deadline: c.now + lifetime, unannounced: true, recorded: recovered.Restored, attempts: recovered.Attempts}
	c.messages[m.ID] = state
	c.unannounced = append(c.unannounced, state)
	c.stats.Accepted++
	c.stats.Open++
	c.guard.Accept(safety.Message{ID: m.ID, Class: m.Class, OrderKey: m.OrderKey, Deadline: state.deadline, Attempts: recovered.Attempts,
		PossiblyExecuted: recovered.PossiblyExecuted, ExecutedAt: recovered.ExecutedAt, ExecutedZone: recovered.ExecutedZone})
	if c.options.Trail != nil {
		c.options.Trail.Accepted(m)
	}
	c.events = append(c.events, control.Event{Kind: control.Arrival, Message: m.ID, Class: m.Class, Tenant: m.Tenant,
		Dest: m.Dest, Key: m.OrderKey, TimeLeft: lifetime, Restored: recovered.Restored, Attempt: recovered.Attempts, PossiblyExecuted: recovered.PossiblyExecuted, Elapsed: c.now - recovered.ExecutedAt, Zone: recovered.ExecutedZone})
}

// withdraw ends a message without an answer, because its sender does not want one any more.
func (c *Core) withdraw(id control.MessageID) {
	state := c.messages[id]
	if state == nil || state.ended {
		return
	}
	c.markFinished(state)
	c.recordFinish(state, nil)
	c.stats.Withdrawn++
	if c.options.Trail != nil {
		c.options.Trail.Withdrawn(state.message)
	}
	c.events = append(c.events, control.Event{Kind: control.Withdrawn, Message: id})
}

// updateList applies an update of the endpoint list.
func (c *Core) updateList(l *ListUpdate) {
	for i, e := range l.Entries {
		c.updateEndpoint(&e)
		if c.options.Trail != nil && l.Kind == control.ListDelta {
			c.options.Trail.EndpointChanged(&l.Entries[i])
		}
	}
	c.events = append(c.events, control.Event{Kind: control.ListUpdate, ListKind: l.Kind, Entries: l.Entries})
}

// updateEndpoint applies one entry of the endpoint list.
func (c *Core) updateEndpoint(entry *control.Entry) {
	if entry.Health == control.Gone {
		delete(c.placements, entry.Endpoint)
		c.transport.CloseIdle(entry.Endpoint)
	} else {
		c.placements[entry.Endpoint] = Placement{entry.Dest, entry.DestinationKind, entry.Zone}
	}
	if entry.Health != control.Ready {
		c.withdrawnEndpoints[entry.Endpoint] = true
	}
	c.guard.SetHealth(c.now, entry.Endpoint, entry.Health)
}

// applyRetryAfter applies a wait that a partner asked for. It holds for one endpoint if limits are per endpoint, else for the
// whole destination.
func (c *Core) applyRetryAfter(a *Attempt, wait control.Time) {
	c.guard.SetRetryAfter(a.SafetyCall(), c.now+wait)
	if a.PerEndpointLimits {
		c.withdrawnEndpoints[a.Endpoint] = true
		return
	}
	c.waitingDests[a.Placement.Dest] = true
}

// cancelUnsent cancels the unwritten attempts to endpoints and destinations that were withdrawn or asked to wait in this round.
// Their messages go to other endpoints or wait. The attempts in flight are searched once a round, however many list entries or
// waits it had.
func (c *Core) cancelUnsent() {
	if len(c.withdrawnEndpoints)+len(c.waitingDests) == 0 {
		return
	}
	for _, seq := range slices.Sorted(maps.Keys(c.inFlight)) {
		if a := c.inFlight[seq]; c.withdrawnEndpoints[a.Endpoint] || c.waitingDests[a.Placement.Dest] {
			c.transport.CancelUnsent(a)
		}
	}
	clear(c.withdrawnEndpoints)
	clear(c.waitingDests)
}

// handleOutcome handles the end of an attempt. If the outcome is final, the message is answered immediately.
func (c *Core) handleOutcome(outcome *Outcome) {
	if outcome.Kind == DeliveryConfirmed || outcome.Kind == DeliveryUnproven {
		c.settleDelivery(outcome)
		return
	}
	attempt := c.inFlight[outcome.Seq]
	if attempt == nil {
		c.logger.InternalError(fmt.Sprintf("attempt %d ended twice", outcome.Seq))
		return
	}
	delete(c.inFlight, outcome.Seq)
	state := c.messages[attempt.Message.ID]
	classification := c.classify(attempt, outcome)
	provisional := outcome.Provisional && classification.Final && !state.ended
	result := safety.AttemptResult{PossiblyExecuted: classification.PossiblyExecuted, Unsent: outcome.Kind.nothingWritten(), NotCounted: classification.Result == control.NotSent, Unconfirmed: classification.unconfirmed(),
		PossiblyOver: outcome.PossiblyOver || provisional}
	if err := c.guard.FinishAttempt(c.now, attempt.SafetyCall(), attempt.StartedAt, result); err != nil {
		c.logger.InternalError(err.Error())
		classification = Classification{control.Reset, true, false, "its end is not what was written: it may have run"}
		result = safety.AttemptResult{PossiblyExecuted: true, Unconfirmed: true}
	}
	state.inFlight = nil
	state.lastStatus, state.lastDetail = outcome.Status, classification.Reason
	if outcome.Detail != "" {
		state.lastDetail += " (" + outcome.Detail + ")"
	}
	if c.options.Trail != nil {
		c.options.Trail.AttemptEnded(attempt, outcome, classification, state.ended)
	}
	switch {
	case provisional:
		c.provisional[outcome.Seq] = state
	case !state.ended && classification.Final:
		kind := Failed
		if outcome.Kind == Answered && outcome.Status < 300 {
			kind = Served
		}
		c.answer(state, Answer{Kind: kind})
	case !state.ended && outcome.PossiblyOver:
		c.endInDoubt(state)
	}
	if l := c.options.Ledger; l != nil && !state.ended {
		l.RecordAttemptEnd(attempt, result)
	}
	if outcome.RetryAfter > 0 {
		c.applyRetryAfter(attempt, outcome.RetryAfter)
	}
	// The ledger may have been repaired since, and the input that says so may have come before.
	if outcome.Kind == NotRecorded && c.options.Ledger != nil && c.options.Ledger.Failing() {
		c.events = append(c.events, control.Event{Kind: control.RecordingStatus, RecordingFails: true})
	}
	c.events = append(c.events, control.Event{Kind: control.Outcome, Message: attempt.Message.ID, Attempt: attempt.Number, Endpoint: attempt.Endpoint,
		Result: classification.Result, Closed: state.ended || provisional, Elapsed: c.now - attempt.StartedAt, RetryAfter: outcome.RetryAfter, Report: outcome.LoadReport,
		PossiblyExecuted: classification.PossiblyExecuted})
	c.removeIfDone(state)
}

// classify returns the meaning of an attempt's outcome.
func (c *Core) classify(a *Attempt, e *Outcome) Classification {
	if c.options.Classify != nil {
		return c.options.Classify(*e)
	}
	k := a.Placement.Kind
	return Classify(*e, k >= 0 && k < len(c.options.PathPerMessage) && c.options.PathPerMessage[k])
}

// answer gives a message its final answer.
func (c *Core) answer(state *messageState, answer Answer) {
	answer.Status, answer.Attempts, answer.AttemptDetail = state.lastStatus, state.attempts, state.lastDetail
	if state.inFlight != nil {
		answer.AttemptDetail = fmt.Sprintf("attempt %d has no answer yet", state.inFlight.Number)
	} else if state.attempts == 0 {
		answer.AttemptDetail = "no attempt was made"
	}
	switch answer.Kind {
	case Served:
		c.stats.Served++
	case Refused:
		if err := c.guard.AuthorizeRefusal(state.message.ID); err != nil {
			c.logger.InternalError(err.Error())
			answer.Kind = Failed
			c.stats.Failed++
			break
		}
		c.stats.Refused++
	case Failed:
		c.stats.Failed++
	}
	c.markFinished(state)
	c.recordFinish(state, &answer)
	if c.options.Trail != nil {
		c.options.Trail.Answered(state.message, &answer)
	}
	state.message.Origin.Answer(state.message, answer)
}

// recordFinish records the end of a message in the ledger, before anybody is told of it.
func (c *Core) recordFinish(state *messageState, a *Answer) {
	if c.options.Ledger != nil && state.recorded {
		c.options.Ledger.RecordFinish(state.message, a)
	}
}

// markFinished marks a message as ended.
func (c *Core) markFinished(state *messageState) {
	state.ended = true
	c.guard.FinishMessage(state.message.ID)
	c.stats.Open--
	c.staleTimers++
	c.removeIfDone(state)
}

// removeIfDone removes a message that has ended and has no attempt in flight.
func (c *Core) removeIfDone(state *messageState) {
	if state.ended && state.inFlight == nil {
		delete(c.messages, state.message.ID)
	}
}

// perform performs one action of the library.
func (c *Core) perform(a *control.Action) {
	switch a.Kind {
	case control.Send:
		c.send(a)
	case control.Refuse, control.Fail:
		c.finish(a)
	case control.Cancel:
		c.startCalls()
		if state := c.messages[a.Message]; state != nil && state.inFlight != nil && state.inFlight.Number == a.Attempt {
			c.transport.Cancel(state.inFlight, Cancelled)
		}
	case control.Timer:
		heap.Push(&c.timers, timer{due: c.now + a.After, token: a.TimerToken})
	case control.CloseIdle:
		c.transport.CloseIdle(a.Endpoint)
	case control.Watch:
		c.discovery.Watch()
	case control.Fetch:
		c.discovery.Fetch()
	case control.Log:
		c.logger.Info(a.Text)
	default:
		c.logger.InternalError(fmt.Sprintf("action %d is not supported by the engine", a.Kind))
	}
}

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

// finish refuses or fails a message as the library decided.
func (c *Core) finish(a *control.Action) {
	state := c.messages[a.Message]
	if state == nil || state.ended {
		return
	}
	if a.Kind == control.Refuse {
		c.answer(state, Answer{Kind: Refused, RetryAfter: a.After, Reason: a.Text})
		return
	}
	deadlineExceeded := c.now+3*c.options.Settings.Tick >= state.deadline
	c.answer(state, Answer{Kind: Failed, DeadlineExceeded: deadlineExceeded, Reason: a.Text})
}

// timer is either a timer that the decision library requested, or a time limit of an attempt. An attempt has a timer for WriteBefore and
// one for Deadline.
type timer struct {
	due   control.Time
	token uint64 // The token of a timer that the decision library requested.
	seq   uint64 // The Seq of the attempt, or zero for a timer of the library.
}

// timerHeap is a heap of timers, ordered by due time and then by seq.
type timerHeap []timer

func (t timerHeap) Len() int { return len(t) }
func (t timerHeap) Less(i, j int) bool {
	return t[i].due < t[j].due || t[i].due == t[j].due && t[i].seq < t[j].seq
}
func (t timerHeap) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timerHeap) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timerHeap) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	*t = (*t)[:last]
	return x
}

// fireTimers handles the timers that are due.
func (c *Core) fireTimers() {
	for len(c.timers) > 0 && c.timers[0].due <= c.now {
		t := heap.Pop(&c.timers).(timer)
		if t.seq == 0 {
			c.events = append(c.events, control.Event{Kind: control.TimerFired, TimerToken: t.token})
		} else if a := c.inFlight[t.seq]; a != nil && t.due < a.Deadline {
			c.transport.CancelUnsent(a)
		} else if a != nil {
			c.transport.Cancel(a, TimedOut)
		}
	}
}

// compactTimers removes the timers of finished messages and attempts, once at least 1024 messages have ended since the last
// time and they are half as many as the timers. Otherwise the timers of messages with long lifetimes would accumulate when these
// are answered quickly.
func (c *Core) compactTimers() {
	if c.staleTimers < 1024 || c.staleTimers < len(c.timers)/2 {
		return
	}
	c.staleTimers = 0
	keep := c.timers[:0]
	for _, t := range c.timers {
		if t.seq != 0 && c.inFlight[t.seq] == nil || t.token > 0 && c.messages[control.MessageID(t.token-1)] == nil {
			continue
		}
		keep = append(keep, t)
	}
	c.timers = keep
	heap.Init(&c.timers)
}
