// Package engine runs the decision module: it turns what fronts and back ends report into the module's events, and
// the module's actions into final answers and attempts. It decides nothing of its own. Core is the pure part, a
// state machine that takes the time and its inputs; Loop runs a Core on the real clock, on one goroutine.
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

// Final is the kind of a final answer.
type AnswerKind uint8

// Final answers.
const (
	Served  AnswerKind = iota + 1 // a partner took it
	Refused                       // handing it in again is harmless
	Failed                        // nothing is promised
)

func (f AnswerKind) String() string { return [...]string{"none", "served", "refused", "failed"}[f] }

// Answer is the final answer of a message.
type Answer struct {
	Kind             AnswerKind
	RetryAfter       control.Time // Refused: stay away so long, 0 where nothing is known
	DeadlineExceeded bool         // Failed: its time ended
	Status           int          // the partner's last status, 0 if there was none
	Attempts         int
	AttemptDetail    string // of its last attempt
	Reason           string // the module's, where it ended the message and not a partner's answer
}

// Origin is where a message came from. Final is called once at most for each message, on the engine's goroutine; it
// must not block. It is not called for a message that was withdrawn.
type Origin interface {
	Answer(m *Message, a Answer)
}

// Message is what a front hands over. It is not changed after.
type Message struct {
	ID                  control.MessageID // given by the engine
	Class               int
	Tenant              int
	Dest                int
	OrderKey            uint64       // order key, 0 is none
	Lifetime            control.Time // time until it is given up, at most the deadline of its class
	AcceptedAt          control.Time // when the engine took it
	ReceivedAt          control.Time // when its sender's request was whole, 0 where Life counts from the round that takes it
	ExternalID          string       // id that its sender gave it, where the protocol has one
	IdempotencyKey      string       // key by which the partner drops repeats; empty: the message's id stands in
	Topic               string
	Urgency             string
	TargetPath          string // path at the partner, where the message names one
	ContentType         string // content type and coding
	ContentEncoding     string
	Body                []byte
	ReceiptSubscription string // subscription that gets the final answer, where its sender does not wait for it; for the Trail

	Recovered Recovered // what was done for it by a process that ended

	Origin    Origin
	OriginTag uint64 // for the Origin
}

// Recovered is what became of a message in processes before this one.
type Recovered struct {
	Restored         bool         // it was taken on by one of them
	Attempts         int          // made so far
	PossiblyExecuted bool         // one of them may have been executed ...
	ExecutedAt       control.Time // ... the first such began then, on the clock of this process, ...
	ExecutedZone     int          // ... to this zone
}

// AcceptNotifier is an Origin whose sender hears that its message is taken on before its end is known.
type AcceptNotifier interface {
	Origin
	Accepted(m *Message) // on the engine's goroutine; before Final, unless the round that took the message ended it
}

// Ledger records what must outlive the process. It is called on the engine's goroutine, each time before the promise that rests
// on it: Take before the sender hears that the message is taken on, Over before anybody hears of its end. Attempts are put on
// record by the back end, in the moment in which they are written.
type Ledger interface {
	// RecordAccept returns an error where the message is not on record: it is refused, or failed where it is ErrUncertain.
	RecordAccept(m *Message, due control.Time) error
	RecordAttemptEnd(a *Attempt, e safety.AttemptResult) // an attempt ended, its message did not
	RecordFinish(m *Message, a *Answer)                  // a message ended; a is nil where it was withdrawn
	RecordOutages(changed []control.Outage)              // what is known of outages has changed
}

// ErrRecordUncertain tells that a message may be on record, or may not.
var ErrRecordUncertain = errors.New("it is not known whether the message is on record")

// Placement is what the list says of where an endpoint belongs.
type Placement struct{ Dest, Kind, Zone int }

// Attempt is one attempt that a back end is to make. What it is told about the message's execution is as of its start.
type Attempt struct {
	Seq               uint64 // names it towards the back end
	Message           *Message
	Number            int // 0 is the first
	Endpoint          control.Endpoint
	Placement         Placement
	PerEndpointLimits bool         // its endpoint has limits and waits of its own
	Worth             float64      // of its message, as its class has it
	Deadline          control.Time // it is given up then, at the latest
	MessageDeadline   control.Time // its message's time is over then, and it is not sent again
	WriteBefore       control.Time // one that is not written by then is given up unsent, 0 for Due: a repeat would come too late
	StartedAt         control.Time
}

// SafetyCall names an attempt towards package safety.
func (a *Attempt) SafetyCall() safety.Call {
	return safety.Call{Message: a.Message.ID, Attempt: a.Number, Endpoint: a.Endpoint, Dest: a.Placement.Dest, Zone: a.Placement.Zone, PerEndpointLimits: a.PerEndpointLimits}
}

// Transport carries attempts out. Its methods are called on the engine's goroutine and must not block. For each attempt of a
// Start exactly one End comes back as an input, and soon after an Abandon, but where its call goes on for others: then with that.
type Transport interface {
	Start(call []*Attempt)               // several where the kind of destination takes several messages in a call
	CancelUnsent(a *Attempt)             // give up with the end Unsent, if no connection has it yet
	Cancel(a *Attempt, kind OutcomeKind) // give up: OutOfTime or CalledOff, unless another end is on its way
	CloseIdle(ep control.Endpoint)       // close idle connections to it
}

// Discovery is where the endpoint list comes from, for settings with AskList. Each call is answered by one List input.
type Discovery interface {
	Watch() // subscribe to the list from now on
	Fetch() // ask for the whole list once
}

// Input is one thing that happened; exactly one of its parts is set.
type Input struct {
	Submit         *Message
	Withdraw       control.MessageID
	Outcome        *Outcome
	List           *ListUpdate
	StopWithin     control.Time    // no message may take longer than this from now ...
	KeepMessages   bool            // ... or, where a ledger keeps them, no call
	LedgerWritable bool            // the ledger can be written again
	Outage         *control.Outage // that a process before this one had seen
}

// ListUpdate is news of the endpoint list.
type ListUpdate struct {
	Kind    control.ListKind
	Entries []control.Entry
}

// Trail takes down what happens to messages, as it happens. Its methods are called on the engine's goroutine; they must
// not block, and keep nothing of what they are given.
type Trail interface {
	Accepted(m *Message)
	AttemptStarted(a *Attempt)
	AttemptEnded(a *Attempt, e *Outcome, v Classification, after bool) // after: the message had its final answer before
	Withdrawn(m *Message)
	Answered(m *Message, a *Answer)
	EndpointChanged(e *control.Entry)
}

// Options is what the engine must know of a message beside the module's settings.
type Options struct {
	Trail          Trail                        // nil for none
	Ledger         Ledger                       // nil for none
	Guard          *safety.Guard                // permits what is irreversible; nil for one of the engine's own
	Classify       func(Outcome) Classification // what ends mean, nil for push gateways (see Judge)
	MaxCallBytes   int                          // bytes of bodies that one call of several messages may carry, 0 for any
	Settings       control.Settings
	PathPerMessage []bool // for each kind of destination: paths belong to messages (see Judge)
}

// Stats counts what the engine did since its start.
type Stats struct {
	Accepted, Served, Refused, Failed, Withdrawn uint64
	Attempts, Rounds                             uint64
	Open, InFlight                               int
	Violations                                   uint64 // of the rules, that were about to happen and were prevented
}

// Logger takes lines for the operators.
type Logger interface {
	Info(text string)
	InternalError(text string) // something that must not happen
}

// messageState is a message that is owed an answer or has an attempt out.
type messageState struct {
	message     *Message
	deadline    control.Time
	attempts    int
	ended       bool
	unannounced bool // its sender has not heard yet that it is taken on
	recorded    bool // the ledger has it
	inFlight    *Attempt
	lastDetail  string
	lastStatus  int
}

// Core turns inputs into the module's events and its actions into calls of its two sides.
type Core struct {
	options            Options
	module             *control.Dispatcher
	guard              *safety.Guard
	transport          Transport
	discovery          Discovery
	logger             Logger
	now                control.Time
	lastSeq            uint64
	messages           map[control.MessageID]*messageState
	inFlight           map[uint64]*Attempt
	placements         map[control.Endpoint]Placement
	unannounced        []*messageState
	pendingCalls       [][]*Attempt              // of this round, not started yet
	withdrawnEndpoints map[control.Endpoint]bool // told in this round to want nothing new ...
	waitingDests       map[int]bool              // ... and destinations whose partner told a wait
	nextEvents         []control.Event           // for the next round
	timers             timerHeap
	staleTimers        int // timers of messages that are over
	events             []control.Event
	actions            []control.Action
	stats              Stats
}

// NewCore returns a Core, or the module's error about its settings. lists may be nil where AskList is off.
func NewCore(p Options, seed uint64, back Transport, lists Discovery, log Logger) (*Core, error) {
	p.Settings.KeepOutages, p.Settings.Promises = p.Ledger != nil, p.Ledger != nil
	mod, err := control.New(p.Settings, seed)
	if err != nil {
		return nil, fmt.Errorf("engine: %w", err)
	}
	if p.Guard == nil {
		p.Guard = safety.NewGuard(p.Settings)
	}
	return &Core{options: p, module: mod, guard: p.Guard, transport: back, discovery: lists, logger: log, messages: map[control.MessageID]*messageState{}, inFlight: map[uint64]*Attempt{},
		placements: map[control.Endpoint]Placement{}, withdrawnEndpoints: map[control.Endpoint]bool{}, waitingDests: map[int]bool{}}, nil
}

// Stats returns the counts so far.
func (c *Core) Stats() Stats {
	s := c.stats
	s.InFlight = len(c.inFlight)
	s.Violations = c.guard.Violations()
	return s
}

// NextTimer tells when the next timer is due; ok is false where none is set.
func (c *Core) NextTimer() (at control.Time, ok bool) {
	if len(c.timers) == 0 {
		return 0, false
	}
	return c.timers[0].due, true
}

// Round takes the inputs of one round, with the timers due at now, and carries out what the module decides.
func (c *Core) Round(now control.Time, in []Input) {
	c.now = now
	c.stats.Rounds++
	c.events = append(c.events[:0], c.nextEvents...)
	c.nextEvents = c.nextEvents[:0]
	for i := range in {
		c.handleInput(&in[i])
	}
	c.cancelUnsent()
	c.fireTimers()
	told := len(c.events)
	c.actions = c.module.Step(now, c.events, c.actions[:0])
	if changed := c.module.Outages(); len(changed) > 0 && c.options.Ledger != nil {
		c.options.Ledger.RecordOutages(changed)
	}
	for i := range c.actions {
		c.perform(&c.actions[i])
	}
	c.startCalls()
	for _, h := range c.unannounced {
		c.announce(h)
	}
	clear(c.unannounced)
	c.unannounced = c.unannounced[:0]
	c.nextEvents = append(c.nextEvents, c.events[told:]...) // ends of calls that could not be made
	clear(c.events)
	c.compactTimers()
}

// announce tells a message's sender that it is taken on, once that is on record. It is false where the message can't be
// kept: then it is refused.
func (c *Core) announce(h *messageState) bool {
	if !h.unannounced || h.ended {
		return !h.ended
	}
	h.unannounced = false
	if l := c.options.Ledger; l != nil && !h.recorded {
		if err := l.RecordAccept(h.message, h.deadline); err != nil {
			c.nextEvents = append(c.nextEvents, control.Event{Kind: control.Withdrawn, Message: h.message.ID})
			a := Answer{Kind: Refused, RetryAfter: control.Second, Reason: err.Error()}
			if errors.Is(err, ErrRecordUncertain) { // a process after this one may find it on record
				a = Answer{Kind: Failed, Reason: err.Error()}
			}
			c.answer(h, a)
			return false
		}
		h.recorded = true
	}
	if t, ok := h.message.Origin.(AcceptNotifier); ok {
		t.Accepted(h.message)
	}
	return true
}

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
		c.events = append(c.events, control.Event{Kind: control.Recording})
	case in.StopWithin > 0:
		c.events = append(c.events, control.Event{Kind: control.Closing, Grace: in.StopWithin, Kept: in.KeepMessages})
	default:
		c.withdraw(in.Withdraw)
	}
}

func (c *Core) submit(m *Message) {
	life := m.Lifetime
	if m.ReceivedAt > 0 { // a round may be late
		life = max(0, life-(c.now-m.ReceivedAt))
	}
	life = min(life, c.options.Settings.Classes[m.Class].Deadline)
	m.AcceptedAt = c.now
	r := m.Recovered
	h := &messageState{message: m, deadline: c.now + life, unannounced: true, recorded: r.Restored, attempts: r.Attempts}
	c.messages[m.ID] = h
	c.unannounced = append(c.unannounced, h)
	c.stats.Accepted++
	c.stats.Open++
	c.guard.Accept(safety.Message{ID: m.ID, Class: m.Class, OrderKey: m.OrderKey, Deadline: h.deadline, Attempts: r.Attempts,
		PossiblyExecuted: r.PossiblyExecuted, ExecutedAt: r.ExecutedAt, ExecutedZone: r.ExecutedZone})
	if c.options.Trail != nil {
		c.options.Trail.Accepted(m)
	}
	c.events = append(c.events, control.Event{Kind: control.Arrival, Message: m.ID, Class: m.Class, Tenant: m.Tenant,
		Dest: m.Dest, Key: m.OrderKey, Grace: life, Restored: r.Restored, Attempt: r.Attempts, Doubt: r.PossiblyExecuted, Lag: c.now - r.ExecutedAt, Zone: r.ExecutedZone})
}

func (c *Core) withdraw(id control.MessageID) {
	h := c.messages[id]
	if h == nil || h.ended {
		return
	}
	c.markFinished(h)
	c.recordFinish(h, nil)
	c.stats.Withdrawn++
	if c.options.Trail != nil {
		c.options.Trail.Withdrawn(h.message)
	}
	c.events = append(c.events, control.Event{Kind: control.Withdrawn, Message: id})
}

func (c *Core) updateList(l *ListUpdate) {
	for i, e := range l.Entries {
		c.updateEndpoint(&e)
		if c.options.Trail != nil && l.Kind == control.ListDelta {
			c.options.Trail.EndpointChanged(&l.Entries[i])
		}
	}
	c.events = append(c.events, control.Event{Kind: control.List, ListKind: l.Kind, Entries: l.Entries})
}

// updateEndpoint keeps what a line of the list says.
func (c *Core) updateEndpoint(e *control.Entry) {
	if e.Health == control.Gone {
		delete(c.placements, e.Endpoint)
		c.transport.CloseIdle(e.Endpoint)
	} else {
		c.placements[e.Endpoint] = Placement{e.Dest, e.Kind, e.Zone}
	}
	if e.Health != control.Ready {
		c.withdrawnEndpoints[e.Endpoint] = true
	}
	c.guard.SetHealth(c.now, e.Endpoint, e.Health)
}

// applyRetryAfter keeps what a partner told: of all its endpoints, or of one where routes are apart.
func (c *Core) applyRetryAfter(a *Attempt, wait control.Time) {
	c.guard.SetRetryAfter(a.SafetyCall(), c.now+wait)
	if a.PerEndpointLimits {
		c.withdrawnEndpoints[a.Endpoint] = true
		return
	}
	c.waitingDests[a.Placement.Dest] = true
}

// cancelUnsent gives up what was not written yet to endpoints that this round told to want nothing now: it goes elsewhere,
// or when the wait is over. All is looked through once a round, however many lines or waits came in it.
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

// handleOutcome takes the end of an attempt: the answer leaves at once where this is it.
func (c *Core) handleOutcome(e *Outcome) {
	a := c.inFlight[e.Seq]
	if a == nil {
		c.logger.InternalError(fmt.Sprintf("attempt %d ended twice", e.Seq))
		return
	}
	delete(c.inFlight, e.Seq)
	h := c.messages[a.Message.ID]
	v := c.classify(a, e)
	proof := safety.AttemptResult{PossiblyExecuted: v.PossiblyExecuted, Unsent: e.Kind.nothingWritten(), NotCounted: v.Result == control.NotSent, Unconfirmed: v.unconfirmed()}
	if err := c.guard.FinishAttempt(c.now, a.SafetyCall(), a.StartedAt, proof); err != nil {
		c.logger.InternalError(err.Error())
		v = Classification{control.Reset, true, false, "its end is not what was written: it may have run"}
		proof = safety.AttemptResult{PossiblyExecuted: true, Unconfirmed: true}
	}
	h.inFlight = nil
	h.lastStatus, h.lastDetail = e.Status, v.Reason
	if e.Detail != "" {
		h.lastDetail += " (" + e.Detail + ")"
	}
	if c.options.Trail != nil {
		c.options.Trail.AttemptEnded(a, e, v, h.ended)
	}
	if !h.ended && v.Final {
		kind := Failed
		if e.Kind == Answered && e.Status < 300 {
			kind = Served
		}
		c.answer(h, Answer{Kind: kind})
	}
	if l := c.options.Ledger; l != nil && !h.ended {
		l.RecordAttemptEnd(a, proof)
	}
	if e.RetryAfter > 0 {
		c.applyRetryAfter(a, e.RetryAfter)
	}
	if e.Kind == NotRecorded {
		c.events = append(c.events, control.Event{Kind: control.Recording, Failing: true})
	}
	c.events = append(c.events, control.Event{Kind: control.Outcome, Message: a.Message.ID, Attempt: a.Number, Endpoint: a.Endpoint,
		Result: v.Result, Closed: h.ended, Lag: c.now - a.StartedAt, Wait: e.RetryAfter, Report: e.LoadReport})
	c.removeIfDone(h)
}

func (c *Core) classify(a *Attempt, e *Outcome) Classification {
	if c.options.Classify != nil {
		return c.options.Classify(*e)
	}
	k := a.Placement.Kind
	return Classify(*e, k >= 0 && k < len(c.options.PathPerMessage) && c.options.PathPerMessage[k])
}

// answer gives the one final answer.
func (c *Core) answer(h *messageState, a Answer) {
	a.Status, a.Attempts, a.AttemptDetail = h.lastStatus, h.attempts, h.lastDetail
	if h.inFlight != nil {
		a.AttemptDetail = fmt.Sprintf("attempt %d has no answer yet", h.inFlight.Number)
	} else if h.attempts == 0 {
		a.AttemptDetail = "no attempt was made"
	}
	switch a.Kind {
	case Served:
		c.stats.Served++
	case Refused:
		if err := c.guard.AuthorizeRefusal(h.message.ID); err != nil {
			c.logger.InternalError(err.Error())
			a.Kind = Failed
			c.stats.Failed++
			break
		}
		c.stats.Refused++
	case Failed:
		c.stats.Failed++
	}
	c.markFinished(h)
	c.recordFinish(h, &a)
	if c.options.Trail != nil {
		c.options.Trail.Answered(h.message, &a)
	}
	h.message.Origin.Answer(h.message, a)
}

// recordFinish has the ledger take an end down, before anybody is told.
func (c *Core) recordFinish(h *messageState, a *Answer) {
	if c.options.Ledger != nil && h.recorded {
		c.options.Ledger.RecordFinish(h.message, a)
	}
}

func (c *Core) markFinished(h *messageState) {
	h.ended = true
	c.guard.FinishMessage(h.message.ID)
	c.stats.Open--
	c.staleTimers++
	c.removeIfDone(h)
}

// removeIfDone drops a message that is answered and has nothing out.
func (c *Core) removeIfDone(h *messageState) {
	if h.ended && h.inFlight == nil {
		delete(c.messages, h.message.ID)
	}
}

func (c *Core) perform(a *control.Action) {
	switch a.Kind {
	case control.Send:
		c.send(a)
	case control.Refuse, control.Fail:
		c.finish(a)
	case control.Cancel:
		c.startCalls()
		if h := c.messages[a.Message]; h != nil && h.inFlight != nil && h.inFlight.Number == a.Attempt {
			c.transport.Cancel(h.inFlight, Cancelled)
		}
	case control.Timer:
		heap.Push(&c.timers, timer{due: c.now + a.After, mark: a.Mark})
	case control.Close:
		c.transport.CloseIdle(a.Endpoint)
	case control.Watch:
		c.discovery.Watch()
	case control.Fetch:
		c.discovery.Fetch()
	case control.Note:
		c.logger.Info(a.Text)
	default:
		c.logger.InternalError(fmt.Sprintf("action %d is not carried out here", a.Kind))
	}
}

func (c *Core) send(a *control.Action) {
	h := c.messages[a.Message]
	if h == nil || h.ended || h.inFlight != nil {
		c.logger.InternalError(fmt.Sprintf("send of message %d, which is over or out", a.Message))
		return
	}
	if !c.announce(h) {
		return
	}
	c.lastSeq++
	at := &Attempt{Seq: c.lastSeq, Message: h.message, Number: h.attempts, Endpoint: a.Endpoint, Placement: c.placements[a.Endpoint], Deadline: h.deadline, MessageDeadline: h.deadline, StartedAt: c.now,
		WriteBefore: c.now + a.Within, Worth: c.options.Settings.Classes[h.message.Class].Worth}
	at.PerEndpointLimits = c.hasPerEndpointLimits(at.Placement.Kind)
	if a.After > 0 {
		at.Deadline = min(at.Deadline, c.now+a.After)
	}
	h.attempts++
	if err := c.guard.AuthorizeCall(c.now, at.SafetyCall()); err != nil { // the module learns in the next round that it was not sent
		c.logger.InternalError(err.Error())
		c.nextEvents = append(c.nextEvents, control.Event{Kind: control.Outcome, Message: h.message.ID, Attempt: at.Number, Endpoint: at.Endpoint, Result: control.Moot})
		return
	}
	h.inFlight = at
	c.inFlight[at.Seq] = at
	c.stats.Attempts++
	if c.options.Trail != nil {
		c.options.Trail.AttemptStarted(at)
	}
	if at.WriteBefore+c.options.Settings.Tick < at.Deadline {
		heap.Push(&c.timers, timer{due: at.WriteBefore, seq: at.Seq})
	}
	heap.Push(&c.timers, timer{due: at.Deadline, seq: at.Seq})
	c.addToCall(at)
}

// hasPerEndpointLimits tells whether endpoints of a kind have limits and waits of their own.
func (c *Core) hasPerEndpointLimits(kind int) bool {
	return kind >= 0 && kind < len(c.options.Settings.Kinds) && c.options.Settings.Kinds[kind].RoutesApart
}

// addToCall puts an attempt into a call of this round to the same endpoint that has room, or begins one.
func (c *Core) addToCall(a *Attempt) {
	most := 1
	if k := a.Placement.Kind; k >= 0 && k < len(c.options.Settings.Kinds) {
		most = max(1, c.options.Settings.Kinds[k].Batch)
	}
	if most > 1 { // else there is nothing to look for, in a round of very many
		for i, call := range c.pendingCalls {
			if call[0].Endpoint == a.Endpoint && len(call) < most && c.fits(call, a) {
				c.pendingCalls[i] = append(call, a)
				return
			}
		}
	}
	c.pendingCalls = append(c.pendingCalls, []*Attempt{a})
}

// messageOverhead is reckoned for each message of a call beside its body.
const messageOverhead = 256

func (c *Core) fits(call []*Attempt, a *Attempt) bool {
	size := len(a.Message.Body) + messageOverhead
	for _, o := range call {
		size += len(o.Message.Body) + messageOverhead
	}
	return c.options.MaxCallBytes == 0 || size <= c.options.MaxCallBytes
}

// startCalls hands the calls of this round over.
func (c *Core) startCalls() {
	for _, call := range c.pendingCalls {
		c.transport.Start(call)
	}
	clear(c.pendingCalls)
	c.pendingCalls = c.pendingCalls[:0]
}

func (c *Core) finish(a *control.Action) {
	h := c.messages[a.Message]
	if h == nil || h.ended {
		return
	}
	if a.Kind == control.Refuse {
		c.answer(h, Answer{Kind: Refused, RetryAfter: a.After, Reason: a.Text})
		return
	}
	late := c.now+3*c.options.Settings.Tick >= h.deadline
	c.answer(h, Answer{Kind: Failed, DeadlineExceeded: late, Reason: a.Text})
}

// timer is a Tick that the module asked for, or for an attempt the last moment to begin it or its time-out.
type timer struct {
	due  control.Time
	mark uint64 // of the module
	seq  uint64 // of an attempt, 0 if the module's
}

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

// due takes the timers that have come due.
func (c *Core) fireTimers() {
	for len(c.timers) > 0 && c.timers[0].due <= c.now {
		t := heap.Pop(&c.timers).(timer)
		if t.seq == 0 {
			c.events = append(c.events, control.Event{Kind: control.Tick, Mark: t.mark})
		} else if a := c.inFlight[t.seq]; a != nil && t.due < a.Deadline {
			c.transport.CancelUnsent(a)
		} else if a != nil {
			c.transport.Cancel(a, TimedOut)
		}
	}
}

// compactTimers drops the timers of what is over once they are the most. Guards against short answers to messages with long
// lives: their timers would pile up for as long as the lives are.
func (c *Core) compactTimers() {
	if c.staleTimers < 1024 || c.staleTimers < len(c.timers)/2 {
		return
	}
	c.staleTimers = 0
	keep := c.timers[:0]
	for _, t := range c.timers {
		if t.seq != 0 && c.inFlight[t.seq] == nil || t.mark > 0 && c.messages[control.MessageID(t.mark-1)] == nil {
			continue
		}
		keep = append(keep, t)
	}
	c.timers = keep
	heap.Init(&c.timers)
}
