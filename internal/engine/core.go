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
