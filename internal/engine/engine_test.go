package engine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"whinrun/control"
	"whinrun/internal/clock"
)

func settings() control.Settings {
	return control.Settings{Instances: 1, Tick: 5 * control.Millisecond, Slots: 8, MaxOpen: 400, MaxAttempts: 4, ReportRemainingIndex: -1, ReportLimitIndex: -1,
		MayCancel: true, RetryAfter: true, MaxRetryAfter: 60 * control.Second, ConnIdleTimeout: 10 * control.Second, ConnectTimeout: control.Second,
		StreamsPerConn: 100, StopSendingWithin: control.Second, ColdCapacity: 0.2, WarmUp: 3 * control.Second, CollapseMultiple: 2,
		MaxOverload: control.Second, SettleTime: control.Second / 2,
		Classes: []control.Class{
			{Name: "safe", Effect: control.Idempotent, Target: control.Second, Deadline: 4 * control.Second, Value: 1},
			{Name: "unsafe", Effect: control.AtMostOnce, Target: control.Second, Deadline: 4 * control.Second, Value: 3},
			{Name: "ordered", Effect: control.Deduplicated, DedupWindow: 3 * control.Second, Target: control.Second, Deadline: 4 * control.Second, Value: 1, InOrder: true},
		},
		DestinationKinds: []control.DestinationKind{{Name: "k", MaxBatch: 1}}}
}

// simulation implements the sides of a Core on a virtual clock. By a seed its partners answer, refuse, lose connections and do
// not answer.
type simulation struct {
	t          *testing.T
	core       *Core
	rng        *rand.Rand
	now        control.Time
	inputs     []Input
	inputTimes []control.Time
	inFlight   map[uint64]*Attempt
	actions    []string
	answers    map[control.MessageID]int
	deadlines  map[control.MessageID]control.Time
	executions map[control.MessageID]int
	classes    map[control.MessageID]int
	errors     []string

	// afterRound is called behind each round, unless it is nil.
	afterRound func()
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	w := &simulation{t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: control.Second, inFlight: map[uint64]*Attempt{},
		answers: map[control.MessageID]int{}, deadlines: map[control.MessageID]control.Time{}, executions: map[control.MessageID]int{},
		classes: map[control.MessageID]int{}}
	var err error
	if w.core, err = NewCore(Options{Settings: settings(), PathPerMessage: []bool{false}}, seed, w, nil, w); err != nil {
		t.Fatal(err)
	}
	return w
}

func (w *simulation) Info(string) {}
func (w *simulation) InternalError(text string) {
	w.errors = append(w.errors, text)
}

// schedule adds an input that is due after a time.
func (w *simulation) schedule(after control.Time, in Input) {
	due := w.now + after
	i, _ := slices.BinarySearch(w.inputTimes, due+1)
	w.inputTimes = slices.Insert(w.inputTimes, i, due)
	w.inputs = slices.Insert(w.inputs, i, in)
}

func (w *simulation) CancelUnsent(*Attempt) {}

func (w *simulation) Start(call []*Attempt) {
	for _, a := range call {
		w.start(a)
	}
}

func (w *simulation) start(a *Attempt) {
	w.actions = append(w.actions, fmt.Sprint(w.now, " send ", a.Message.ID, a.Number, a.Endpoint))
	if w.answers[a.Message.ID] > 0 {
		w.t.Errorf("message %d is sent after its final answer", a.Message.ID)
	}
	for _, o := range w.inFlight {
		if o.Message.ID == a.Message.ID {
			w.t.Errorf("message %d has two attempts in flight", a.Message.ID)
		}
	}
	w.inFlight[a.Seq] = a
	end := Outcome{Seq: a.Seq, Kind: Answered, Status: 201}
	after := control.Time(w.rng.IntN(40)) * control.Millisecond
	switch p := w.rng.IntN(100); {
	case p < 60:
		w.executions[a.Message.ID]++
	case p < 66:
		end.Kind = NotConnected
	case p < 70:
		end.Kind = StreamRefused
	case p < 74:
		end.Status = 500
	case p < 78:
		end.Status, end.RetryAfter = 503, control.Second
	case p < 82:
		end.Kind = GoAwayUnprocessed
	case p < 86:
		end.Kind = ResetBeforeResponse
		w.executions[a.Message.ID]++
	case p < 88:
		end.Status = 404
	default:
		w.executions[a.Message.ID]++
		return // The partner does not answer.
	}
	w.schedule(after, Input{Outcome: &end})
}

func (w *simulation) Cancel(a *Attempt, kind OutcomeKind) {
	if w.inFlight[a.Seq] != nil {
		w.schedule(control.Millisecond, Input{Outcome: &Outcome{Seq: a.Seq, Kind: kind}})
	}
}
func (w *simulation) CloseIdle(control.EndpointID) {}

func (w *simulation) Answer(m *Message, a Answer) {
	w.actions = append(w.actions, fmt.Sprint(w.now, " final ", m.ID, a.Kind, a.RetryAfter, a.DeadlineExceeded))
	if w.answers[m.ID]++; w.answers[m.ID] > 1 {
		w.t.Errorf("message %d is answered twice", m.ID)
	}
	if w.now > w.deadlines[m.ID] {
		w.t.Errorf("message %d is answered %d us after its deadline", m.ID, w.now-w.deadlines[m.ID])
	}
	if a.Kind == Refused && m.Class == 1 && w.executions[m.ID] > 0 {
		w.t.Errorf("unsafe message %d is refused, but a partner executed it", m.ID)
	}
	if a.Kind == Served && w.executions[m.ID] == 0 {
		w.t.Errorf("message %d is served, but no partner executed it", m.ID)
	}
}

// step runs the next round, at the time of the next input or timer. It returns false if there is neither.
func (w *simulation) step() bool {
	next, ok := w.core.NextTimer()
	if len(w.inputTimes) > 0 && (!ok || w.inputTimes[0] < next) {
		next, ok = w.inputTimes[0], true
	}
	if !ok {
		return false
	}
	w.now = max(w.now, next)
	var in []Input
	for len(w.inputTimes) > 0 && w.inputTimes[0] <= w.now {
		i := w.inputs[0]
		w.inputTimes, w.inputs = w.inputTimes[1:], w.inputs[1:]
		if i.Outcome != nil {
			if w.inFlight[i.Outcome.Seq] == nil { // The attempt was cancelled meanwhile.
				continue
			}
			delete(w.inFlight, i.Outcome.Seq)
		}
		if i.Submit != nil {
			w.classes[i.Submit.ID] = i.Submit.Class
			w.deadlines[i.Submit.ID] = w.now + min(i.Submit.Lifetime, settings().Classes[i.Submit.Class].Deadline)
		}
		in = append(in, i)
	}
	w.core.Round(w.now, in)
	if w.afterRound != nil {
		w.afterRound()
	}
	return true
}

// run submits n random messages within 8 s and runs rounds until nothing is left to do.
func (w *simulation) run(n int) {
	w.schedule(0, Input{List: &ListUpdate{Kind: control.ListFull, Entries: []control.Entry{
		{Endpoint: 1, Dest: 0, Health: control.Ready}, {Endpoint: 2, Dest: 0, Health: control.Ready}, {Endpoint: 3, Dest: 1, Health: control.Ready}}}})
	for i := range n {
		m := &Message{ID: control.MessageID(i + 1), Class: w.rng.IntN(3), Dest: w.rng.IntN(2), Lifetime: control.Time(1+w.rng.IntN(5)) * control.Second, Origin: w}
		if m.Class == 2 {
			m.OrderKey = uint64(1 + w.rng.IntN(5))
		}
		at := control.Time(w.rng.IntN(8000)) * control.Millisecond
		w.schedule(at, Input{Submit: m})
		if w.rng.IntN(20) == 0 {
			w.schedule(at+control.Time(w.rng.IntN(500))*control.Millisecond, Input{Withdraw: m.ID})
		}
	}
	for i := 0; w.step(); i++ {
		if i > 200000 {
			w.t.Fatal("the scenario does not end")
		}
	}
}

// TestRandomScenarios checks over random scenarios that each message has one final answer in time, that none is sent after its
// answer, and that no unsafe message is executed twice.
func TestRandomScenarios(t *testing.T) {
	for seed := range uint64(40) {
		w := newSimulation(t, seed)
		w.run(400)
		s := w.core.Stats()
		if got := s.Served + s.Refused + s.Failed + s.Withdrawn; got != 400 || s.Open != 0 || s.InFlight != 0 || len(w.core.messages) != 0 {
			t.Errorf("seed %d: %d of 400 ended, %d open, %d in flight, %d kept", seed, got, s.Open, s.InFlight, len(w.core.messages))
		}
		for id, n := range w.executions {
			if n > 1 && w.classes[id] == 1 {
				t.Errorf("seed %d: unsafe message %d executed %d times", seed, id, n)
			}
		}
		if len(w.errors) > 0 {
			t.Errorf("seed %d: %v", seed, w.errors)
		}
	}
}

// TestDeterministic checks that two runs with the same seed produce the same actions.
func TestDeterministic(t *testing.T) {
	a, b := newSimulation(t, 5), newSimulation(t, 5)
	a.run(300)
	b.run(300)
	if !slices.Equal(a.actions, b.actions) {
		t.Error("two runs of one seed differ")
	}
}

// TestClassify checks what each outcome proves. In case of doubt a message counts as possibly executed. The cases follow the
// table in docs/answers.md.
func TestClassify(t *testing.T) {
	for _, c := range []struct {
		end            Outcome
		pathPerMessage bool
		result         control.Result
		ran            bool
		final          bool
	}{
		{Outcome{Kind: Answered, Status: 201}, false, control.OK, true, true},
		{Outcome{Kind: Answered, Status: 204}, false, control.OK, true, true},
		{Outcome{Kind: Answered, Status: 301}, false, control.ErrorResponse, true, false},
		{Outcome{Kind: Answered, Status: 400}, false, control.OK, true, true},
		{Outcome{Kind: Answered, Status: 401}, false, control.ErrorResponse, true, true},
		{Outcome{Kind: Answered, Status: 404}, false, control.ErrorResponse, true, true},
		{Outcome{Kind: Answered, Status: 404}, true, control.OK, true, true},
		{Outcome{Kind: Answered, Status: 408}, false, control.ErrorResponse, true, false},
		{Outcome{Kind: Answered, Status: 410}, true, control.OK, true, true},
		{Outcome{Kind: Answered, Status: 429}, false, control.LimitExceeded, false, false},
		{Outcome{Kind: Answered, Status: 500}, false, control.ErrorResponse, true, false},
		{Outcome{Kind: Answered, Status: 503}, false, control.ErrorResponse, true, false},
		{Outcome{Kind: Answered, Status: 503, RetryAfter: 1}, false, control.LimitExceeded, false, false},
		{Outcome{Kind: NotConnected}, false, control.ConnectFailed, false, false},
		{Outcome{Kind: StreamRefused}, false, control.LimitExceeded, false, false},
		{Outcome{Kind: GoAwayUnprocessed}, false, control.NotExecuted, false, false},
		{Outcome{Kind: GoAwayBeforeResponse}, false, control.ConnectFailed, false, false},
		{Outcome{Kind: UnprovenAnswer}, false, control.Cancelled, true, false},
		{Outcome{Kind: UnprovenAnswer, Status: 429}, false, control.LimitExceeded, true, false},
		{Outcome{Kind: UnprovenAnswer, Status: 500}, false, control.Cancelled, true, false},
		{Outcome{Kind: UnprovenAnswer, Status: 201}, false, control.Cancelled, true, false},
		{Outcome{Kind: ResetBeforeResponse}, false, control.Reset, true, false},
		{Outcome{Kind: ResetDuringResponse}, false, control.Reset, true, false},
		{Outcome{Kind: ProtocolError}, false, control.Reset, true, false},
		{Outcome{Kind: TimedOut}, false, control.TimedOut, true, false},
		{Outcome{Kind: Cancelled}, false, control.Cancelled, true, false},
		{Outcome{Kind: 99}, false, control.Reset, true, false},
	} {
		v := Classify(c.end, c.pathPerMessage)
		if v.Result != c.result || v.PossiblyExecuted != c.ran || v.Final != c.final || v.Reason == "" {
			t.Errorf("%+v, pathPerMessage %v: %+v", c.end, c.pathPerMessage, v)
		}
		// The library takes these results as proof that the message was not executed, so each must agree with PossiblyExecuted. The
		// exception is a refusal in doubt, of which the library is told both (TestRefusalInDoubt).
		proof := v.Result == control.LimitExceeded || v.Result == control.ConnectFailed || v.Result == control.NotExecuted
		refusalInDoubt := c.end.Kind == UnprovenAnswer && v.Result == control.LimitExceeded
		if proof == v.PossiblyExecuted && !refusalInDoubt {
			t.Errorf("%+v: result %v and possibly executed %v disagree", c.end, v.Result, v.PossiblyExecuted)
		}
	}
}

// TestTimersAreCompacted checks that timers of finished messages do not accumulate until the lifetimes of the messages end.
func TestTimersAreCompacted(t *testing.T) {
	w := newSimulation(t, 1)
	w.schedule(0, Input{List: &ListUpdate{Kind: control.ListFull, Entries: []control.Entry{{Endpoint: 1, Health: control.Ready}}}})
	w.step()
	for i := range 20000 {
		m := &Message{ID: control.MessageID(i + 1), Lifetime: 4 * control.Second, Origin: w}
		w.deadlines[m.ID] = w.now + m.Lifetime
		w.core.Round(w.now, []Input{{Submit: m}, {Withdraw: m.ID}})
	}
	if n := len(w.core.timers); n > 3000 {
		t.Errorf("%d timers, but no open message", n)
	}
}

// TestStopAnswersAll checks that a stop answers all held messages within the given time.
func TestStopAnswersAll(t *testing.T) {
	w := newSimulation(t, 2)
	for i := range 100 { // All messages wait, because no endpoint is listed.
		w.schedule(0, Input{Submit: &Message{ID: control.MessageID(i + 1), Class: i % 3, OrderKey: uint64(i % 4), Lifetime: 4 * control.Second, Origin: w}})
	}
	w.step()
	w.schedule(control.Second, Input{StopWithin: control.Second / 2})
	for w.core.Stats().Open > 0 && w.step() {
	}
	if w.now > 2500*control.Millisecond+control.Second/10 || len(w.answers) != 100 {
		t.Errorf("%d of 100 answered at %d ms", len(w.answers), w.now/1000)
	}
}

// TestLoopBounds checks the error for each limit of a Loop, and that a stop waits only for open messages.
func TestLoopBounds(t *testing.T) {
	w := newSimulation(t, 3)
	l := NewLoop(w.core, clock.New(), Limits{MaxQueued: 2, MaxHeld: 3})
	submit := func() error { return l.Submit(&Message{Lifetime: control.Second, Origin: w}) }
	if a, b, c := submit(), submit(), submit(); a != nil || b != nil || c != ErrQueueFull {
		t.Error("queue:", a, b, c)
	}
	l.queue, l.queuedMessages = nil, 0 // Pretends that a round has taken them.
	if a, b := submit(), submit(); a != nil || b != ErrTooManyHeld {
		t.Error("hold:", a, b)
	}
	l.open = 0
	done := l.Stop(time.Second)
	select {
	case <-done:
	default:
		t.Error("the stop waits, but no message is open")
	}
	if submit() != ErrStopping {
		t.Error("a message is accepted while stopping")
	}
}

// instantTransport answers each attempt with status 201. It collects the outcomes, which the test passes to the next round.
type instantTransport struct{ outcomes []Input }

func (s *instantTransport) CancelUnsent(*Attempt) {}

func (s *instantTransport) Start(call []*Attempt) {
	for _, a := range call {
		s.start(a)
	}
}

func (s *instantTransport) start(a *Attempt) {
	s.outcomes = append(s.outcomes, Input{Outcome: &Outcome{Seq: a.Seq, Kind: Answered, Status: 201}})
}
func (s *instantTransport) Cancel(*Attempt, OutcomeKind) {}
func (s *instantTransport) CloseIdle(control.EndpointID) {}
func (s *instantTransport) Info(string)                  {}
func (s *instantTransport) InternalError(string)         {}
func (s *instantTransport) Answer(m *Message, a Answer)  {}

// BenchmarkRound measures one message from its arrival through its attempt to its answer, in two rounds.
func BenchmarkRound(b *testing.B) {
	s := &instantTransport{}
	set := settings()
	set.MaxOpen = 100000
	core, err := NewCore(Options{Settings: set, PathPerMessage: []bool{false}}, 1, s, nil, s)
	if err != nil {
		b.Fatal(err)
	}
	core.Round(control.Second, []Input{{List: &ListUpdate{Kind: control.ListFull, Entries: []control.Entry{{Endpoint: 1, Health: control.Ready}}}}})
	now := 2 * control.Second
	in := make([]Input, 1)
	id := control.MessageID(0)
	b.ReportAllocs()
	for b.Loop() {
		id++
		now += 100
		in[0] = Input{Submit: &Message{ID: id, Lifetime: 4 * control.Second, Origin: s}}
		core.Round(now, in)
		core.Round(now+50, s.outcomes)
		s.outcomes = s.outcomes[:0]
	}
}
