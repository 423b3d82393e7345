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
	Endpoint          control.EndpointID
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
	CloseIdle(ep control.EndpointID)     // close idle connections to it
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

// held is a message that is owed an answer or has an attempt out.
type held struct {
	msg     *Message
	due     control.Time
	tries   int
	ended   bool
	fresh   bool // its sender has not heard yet that it is taken on
	kept    bool // the ledger has it
	out     *Attempt
	lastWhy string
	status  int
}

// Core turns inputs into the module's events and its actions into calls of its two sides.
type Core struct {
	pol    Options
	mod    *control.Dispatcher
	guard  *safety.Guard
	back   Transport
	lists  Discovery
	log    Logger
	now    control.Time
	seq    uint64
	msgs   map[control.MessageID]*held
	out    map[uint64]*Attempt
	places map[control.EndpointID]Placement
	fresh  []*held
	calls  [][]*Attempt                // of this round, not started yet
	shut   map[control.EndpointID]bool // told in this round to want nothing new ...
	told   map[int]bool                // ... and destinations whose partner told a wait
	later  []control.Event             // for the next round
	timers timers
	stale  int // timers of messages that are over
	events []control.Event
	acts   []control.Action
	stats  Stats
}

// NewCore returns a Core, or the module's error about its settings. lists may be nil where AskList is off.
func NewCore(p Options, seed uint64, back Transport, lists Discovery, log Logger) (*Core, error) {
	p.Settings.TrackOutages, p.Settings.EarlyAck = p.Ledger != nil, p.Ledger != nil
	mod, err := control.New(p.Settings, seed)
	if err != nil {
		return nil, fmt.Errorf("engine: %w", err)
	}
	if p.Guard == nil {
		p.Guard = safety.NewGuard(p.Settings)
	}
	return &Core{pol: p, mod: mod, guard: p.Guard, back: back, lists: lists, log: log, msgs: map[control.MessageID]*held{}, out: map[uint64]*Attempt{},
		places: map[control.EndpointID]Placement{}, shut: map[control.EndpointID]bool{}, told: map[int]bool{}}, nil
}

// Stats returns the counts so far.
func (c *Core) Stats() Stats {
	s := c.stats
	s.InFlight = len(c.out)
	s.Violations = c.guard.Violations()
	return s
}

// NextTimer tells when the next timer is due; ok is false where none is set.
func (c *Core) NextTimer() (at control.Time, ok bool) {
	if len(c.timers) == 0 {
		return 0, false
	}
	return c.timers[0].at, true
}

// Round takes the inputs of one round, with the timers due at now, and carries out what the module decides.
func (c *Core) Round(now control.Time, in []Input) {
	c.now = now
	c.stats.Rounds++
	c.events = append(c.events[:0], c.later...)
	c.later = c.later[:0]
	for i := range in {
		c.input(&in[i])
	}
	c.takeBack()
	c.due()
	told := len(c.events)
	c.acts = c.mod.Step(now, c.events, c.acts[:0])
	if changed := c.mod.Outages(); len(changed) > 0 && c.pol.Ledger != nil {
		c.pol.Ledger.RecordOutages(changed)
	}
	for i := range c.acts {
		c.act(&c.acts[i])
	}
	c.start()
	for _, h := range c.fresh {
		c.promise(h)
	}
	clear(c.fresh)
	c.fresh = c.fresh[:0]
	c.later = append(c.later, c.events[told:]...) // ends of calls that could not be made
	clear(c.events)
	c.compact()
}

// promise tells a message's sender that it is taken on, once that is on record. It is false where the message can't be
// kept: then it is refused.
func (c *Core) promise(h *held) bool {
	if !h.fresh || h.ended {
		return !h.ended
	}
	h.fresh = false
	if l := c.pol.Ledger; l != nil && !h.kept {
		if err := l.RecordAccept(h.msg, h.due); err != nil {
			c.later = append(c.later, control.Event{Kind: control.Withdrawn, Message: h.msg.ID})
			a := Answer{Kind: Refused, RetryAfter: control.Second, Reason: err.Error()}
			if errors.Is(err, ErrRecordUncertain) { // a process after this one may find it on record
				a = Answer{Kind: Failed, Reason: err.Error()}
			}
			c.answer(h, a)
			return false
		}
		h.kept = true
	}
	if t, ok := h.msg.Origin.(AcceptNotifier); ok {
		t.Accepted(h.msg)
	}
	return true
}

func (c *Core) input(in *Input) {
	switch {
	case in.Submit != nil:
		c.submit(in.Submit)
	case in.Outcome != nil:
		c.end(in.Outcome)
	case in.List != nil:
		c.list(in.List)
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

func (c *Core) submit(m *Message) {
	life := m.Lifetime
	if m.ReceivedAt > 0 { // a round may be late
		life = max(0, life-(c.now-m.ReceivedAt))
	}
	life = min(life, c.pol.Settings.Classes[m.Class].Deadline)
	m.AcceptedAt = c.now
	r := m.Recovered
	h := &held{msg: m, due: c.now + life, fresh: true, kept: r.Restored, tries: r.Attempts}
	c.msgs[m.ID] = h
	c.fresh = append(c.fresh, h)
	c.stats.Accepted++
	c.stats.Open++
	c.guard.Accept(safety.Message{ID: m.ID, Class: m.Class, OrderKey: m.OrderKey, Deadline: h.due, Attempts: r.Attempts,
		PossiblyExecuted: r.PossiblyExecuted, ExecutedAt: r.ExecutedAt, ExecutedZone: r.ExecutedZone})
	if c.pol.Trail != nil {
		c.pol.Trail.Accepted(m)
	}
	c.events = append(c.events, control.Event{Kind: control.Arrival, Message: m.ID, Class: m.Class, Tenant: m.Tenant,
		Dest: m.Dest, Key: m.OrderKey, TimeLeft: life, Restored: r.Restored, Attempt: r.Attempts, PossiblyExecuted: r.PossiblyExecuted, Elapsed: c.now - r.ExecutedAt, Zone: r.ExecutedZone})
}

func (c *Core) withdraw(id control.MessageID) {
	h := c.msgs[id]
	if h == nil || h.ended {
		return
	}
	c.over(h)
	c.record(h, nil)
	c.stats.Withdrawn++
	if c.pol.Trail != nil {
		c.pol.Trail.Withdrawn(h.msg)
	}
	c.events = append(c.events, control.Event{Kind: control.Withdrawn, Message: id})
}

func (c *Core) list(l *ListUpdate) {
	for i, e := range l.Entries {
		c.listed(&e)
		if c.pol.Trail != nil && l.Kind == control.ListDelta {
			c.pol.Trail.EndpointChanged(&l.Entries[i])
		}
	}
	c.events = append(c.events, control.Event{Kind: control.ListUpdate, ListKind: l.Kind, Entries: l.Entries})
}

// listed keeps what a line of the list says.
func (c *Core) listed(e *control.Entry) {
	if e.Health == control.Gone {
		delete(c.places, e.Endpoint)
		c.back.CloseIdle(e.Endpoint)
	} else {
		c.places[e.Endpoint] = Placement{e.Dest, e.DestinationKind, e.Zone}
	}
	if e.Health != control.Ready {
		c.shut[e.Endpoint] = true
	}
	c.guard.SetHealth(c.now, e.Endpoint, e.Health)
}

// waits keeps what a partner told: of all its endpoints, or of one where routes are apart.
func (c *Core) waits(a *Attempt, wait control.Time) {
	c.guard.SetRetryAfter(a.SafetyCall(), c.now+wait)
	if a.PerEndpointLimits {
		c.shut[a.Endpoint] = true
		return
	}
	c.told[a.Placement.Dest] = true
}

// takeBack gives up what was not written yet to endpoints that this round told to want nothing now: it goes elsewhere,
// or when the wait is over. All is looked through once a round, however many lines or waits came in it.
func (c *Core) takeBack() {
	if len(c.shut)+len(c.told) == 0 {
		return
	}
	for _, seq := range slices.Sorted(maps.Keys(c.out)) {
		if a := c.out[seq]; c.shut[a.Endpoint] || c.told[a.Placement.Dest] {
			c.back.CancelUnsent(a)
		}
	}
	clear(c.shut)
	clear(c.told)
}

// end takes the end of an attempt: the answer leaves at once where this is it.
func (c *Core) end(e *Outcome) {
	a := c.out[e.Seq]
	if a == nil {
		c.log.InternalError(fmt.Sprintf("attempt %d ended twice", e.Seq))
		return
	}
	delete(c.out, e.Seq)
	h := c.msgs[a.Message.ID]
	v := c.judge(a, e)
	proof := safety.AttemptResult{PossiblyExecuted: v.PossiblyExecuted, Unsent: e.Kind.unsent(), NotCounted: v.Result == control.NotSent, Unconfirmed: v.unheard()}
	if err := c.guard.FinishAttempt(c.now, a.SafetyCall(), a.StartedAt, proof); err != nil {
		c.log.InternalError(err.Error())
		v = Classification{control.Reset, true, false, "its end is not what was written: it may have run"}
		proof = safety.AttemptResult{PossiblyExecuted: true, Unconfirmed: true}
	}
	h.out = nil
	h.status, h.lastWhy = e.Status, v.Reason
	if e.Detail != "" {
		h.lastWhy += " (" + e.Detail + ")"
	}
	if c.pol.Trail != nil {
		c.pol.Trail.AttemptEnded(a, e, v, h.ended)
	}
	if !h.ended && v.Final {
		kind := Failed
		if e.Kind == Answered && e.Status < 300 {
			kind = Served
		}
		c.answer(h, Answer{Kind: kind})
	}
	if l := c.pol.Ledger; l != nil && !h.ended {
		l.RecordAttemptEnd(a, proof)
	}
	if e.RetryAfter > 0 {
		c.waits(a, e.RetryAfter)
	}
	if e.Kind == NotRecorded {
		c.events = append(c.events, control.Event{Kind: control.RecordingStatus, RecordingFails: true})
	}
	c.events = append(c.events, control.Event{Kind: control.Outcome, Message: a.Message.ID, Attempt: a.Number, Endpoint: a.Endpoint,
		Result: v.Result, Closed: h.ended, Elapsed: c.now - a.StartedAt, RetryAfter: e.RetryAfter, Report: e.LoadReport})
	c.forget(h)
}

func (c *Core) judge(a *Attempt, e *Outcome) Classification {
	if c.pol.Classify != nil {
		return c.pol.Classify(*e)
	}
	k := a.Placement.Kind
	return Classify(*e, k >= 0 && k < len(c.pol.PathPerMessage) && c.pol.PathPerMessage[k])
}

// answer gives the one final answer.
func (c *Core) answer(h *held, a Answer) {
	a.Status, a.Attempts, a.AttemptDetail = h.status, h.tries, h.lastWhy
	if h.out != nil {
		a.AttemptDetail = fmt.Sprintf("attempt %d has no answer yet", h.out.Number)
	} else if h.tries == 0 {
		a.AttemptDetail = "no attempt was made"
	}
	switch a.Kind {
	case Served:
		c.stats.Served++
	case Refused:
		if err := c.guard.AuthorizeRefusal(h.msg.ID); err != nil {
			c.log.InternalError(err.Error())
			a.Kind = Failed
			c.stats.Failed++
			break
		}
		c.stats.Refused++
	case Failed:
		c.stats.Failed++
	}
	c.over(h)
	c.record(h, &a)
	if c.pol.Trail != nil {
		c.pol.Trail.Answered(h.msg, &a)
	}
	h.msg.Origin.Answer(h.msg, a)
}

// record has the ledger take an end down, before anybody is told.
func (c *Core) record(h *held, a *Answer) {
	if c.pol.Ledger != nil && h.kept {
		c.pol.Ledger.RecordFinish(h.msg, a)
	}
}

func (c *Core) over(h *held) {
	h.ended = true
	c.guard.FinishMessage(h.msg.ID)
	c.stats.Open--
	c.stale++
	c.forget(h)
}

// forget drops a message that is answered and has nothing out.
func (c *Core) forget(h *held) {
	if h.ended && h.out == nil {
		delete(c.msgs, h.msg.ID)
	}
}

func (c *Core) act(a *control.Action) {
	switch a.Kind {
	case control.Send:
		c.send(a)
	case control.Refuse, control.Fail:
		c.finish(a)
	case control.Cancel:
		c.start()
		if h := c.msgs[a.Message]; h != nil && h.out != nil && h.out.Number == a.Attempt {
			c.back.Cancel(h.out, Cancelled)
		}
	case control.Timer:
		heap.Push(&c.timers, timer{at: c.now + a.After, mark: a.TimerToken})
	case control.Close:
		c.back.CloseIdle(a.Endpoint)
	case control.Watch:
		c.lists.Watch()
	case control.Fetch:
		c.lists.Fetch()
	case control.Log:
		c.log.Info(a.Text)
	default:
		c.log.InternalError(fmt.Sprintf("action %d is not carried out here", a.Kind))
	}
}

func (c *Core) send(a *control.Action) {
	h := c.msgs[a.Message]
	if h == nil || h.ended || h.out != nil {
		c.log.InternalError(fmt.Sprintf("send of message %d, which is over or out", a.Message))
		return
	}
	if !c.promise(h) {
		return
	}
	c.seq++
	at := &Attempt{Seq: c.seq, Message: h.msg, Number: h.tries, Endpoint: a.Endpoint, Placement: c.places[a.Endpoint], Deadline: h.due, MessageDeadline: h.due, StartedAt: c.now,
		WriteBefore: c.now + a.SendWithin, Worth: c.pol.Settings.Classes[h.msg.Class].Value}
	at.PerEndpointLimits = c.routesApart(at.Placement.Kind)
	if a.After > 0 {
		at.Deadline = min(at.Deadline, c.now+a.After)
	}
	h.tries++
	if err := c.guard.AuthorizeCall(c.now, at.SafetyCall()); err != nil { // the module learns in the next round that it was not sent
		c.log.InternalError(err.Error())
		c.later = append(c.later, control.Event{Kind: control.Outcome, Message: h.msg.ID, Attempt: at.Number, Endpoint: at.Endpoint, Result: control.NotExecuted})
		return
	}
	h.out = at
	c.out[at.Seq] = at
	c.stats.Attempts++
	if c.pol.Trail != nil {
		c.pol.Trail.AttemptStarted(at)
	}
	if at.WriteBefore+c.pol.Settings.Tick < at.Deadline {
		heap.Push(&c.timers, timer{at: at.WriteBefore, seq: at.Seq})
	}
	heap.Push(&c.timers, timer{at: at.Deadline, seq: at.Seq})
	c.join(at)
}

// routesApart tells whether endpoints of a kind have limits and waits of their own.
func (c *Core) routesApart(kind int) bool {
	return kind >= 0 && kind < len(c.pol.Settings.DestinationKinds) && c.pol.Settings.DestinationKinds[kind].PerEndpointLimits
}

// join puts an attempt into a call of this round to the same endpoint that has room, or begins one.
func (c *Core) join(a *Attempt) {
	most := 1
	if k := a.Placement.Kind; k >= 0 && k < len(c.pol.Settings.DestinationKinds) {
		most = max(1, c.pol.Settings.DestinationKinds[k].MaxBatch)
	}
	if most > 1 { // else there is nothing to look for, in a round of very many
		for i, call := range c.calls {
			if call[0].Endpoint == a.Endpoint && len(call) < most && c.fits(call, a) {
				c.calls[i] = append(call, a)
				return
			}
		}
	}
	c.calls = append(c.calls, []*Attempt{a})
}

// lineSize is reckoned for each message of a call beside its body.
const lineSize = 256

func (c *Core) fits(call []*Attempt, a *Attempt) bool {
	size := len(a.Message.Body) + lineSize
	for _, o := range call {
		size += len(o.Message.Body) + lineSize
	}
	return c.pol.MaxCallBytes == 0 || size <= c.pol.MaxCallBytes
}

// start hands the calls of this round over.
func (c *Core) start() {
	for _, call := range c.calls {
		c.back.Start(call)
	}
	clear(c.calls)
	c.calls = c.calls[:0]
}

func (c *Core) finish(a *control.Action) {
	h := c.msgs[a.Message]
	if h == nil || h.ended {
		return
	}
	if a.Kind == control.Refuse {
		c.answer(h, Answer{Kind: Refused, RetryAfter: a.After, Reason: a.Text})
		return
	}
	late := c.now+3*c.pol.Settings.Tick >= h.due
	c.answer(h, Answer{Kind: Failed, DeadlineExceeded: late, Reason: a.Text})
}

// timer is a Tick that the module asked for, or for an attempt the last moment to begin it or its time-out.
type timer struct {
	at   control.Time
	mark uint64 // of the module
	seq  uint64 // of an attempt, 0 if the module's
}

type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].seq < t[j].seq
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	*t = (*t)[:last]
	return x
}

// due takes the timers that have come due.
func (c *Core) due() {
	for len(c.timers) > 0 && c.timers[0].at <= c.now {
		t := heap.Pop(&c.timers).(timer)
		if t.seq == 0 {
			c.events = append(c.events, control.Event{Kind: control.TimerFired, TimerToken: t.mark})
		} else if a := c.out[t.seq]; a != nil && t.at < a.Deadline {
			c.back.CancelUnsent(a)
		} else if a != nil {
			c.back.Cancel(a, TimedOut)
		}
	}
}

// compact drops the timers of what is over once they are the most. Guards against short answers to messages with long
// lives: their timers would pile up for as long as the lives are.
func (c *Core) compact() {
	if c.stale < 1024 || c.stale < len(c.timers)/2 {
		return
	}
	c.stale = 0
	keep := c.timers[:0]
	for _, t := range c.timers {
		if t.seq != 0 && c.out[t.seq] == nil || t.mark > 0 && c.msgs[control.MessageID(t.mark-1)] == nil {
			continue
		}
		keep = append(keep, t)
	}
	c.timers = keep
	heap.Init(&c.timers)
}
