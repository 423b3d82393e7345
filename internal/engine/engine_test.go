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

// world is both sides of a Core on a virtual clock: partners that answer, refuse, lose and hang by a seed.
type world struct {
	t       *testing.T
	core    *Core
	rng     *rand.Rand
	now     control.Time
	pending []Input
	at      []control.Time
	out     map[uint64]*Attempt
	trace   []string
	answers map[control.MessageID]int
	due     map[control.MessageID]control.Time
	applied map[control.MessageID]int
	class   map[control.MessageID]int
	faults  []string
}

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: control.Second, out: map[uint64]*Attempt{},
		answers: map[control.MessageID]int{}, due: map[control.MessageID]control.Time{}, applied: map[control.MessageID]int{},
		class: map[control.MessageID]int{}}
	var err error
	if w.core, err = NewCore(Options{Settings: settings(), PathPerMessage: []bool{false}}, seed, w, nil, w); err != nil {
		t.Fatal(err)
	}
	return w
}

func (w *world) Info(string) {}
func (w *world) InternalError(text string) {
	w.faults = append(w.faults, text)
}

func (w *world) later(after control.Time, in Input) {
	at := w.now + after
	i, _ := slices.BinarySearch(w.at, at+1)
	w.at = slices.Insert(w.at, i, at)
	w.pending = slices.Insert(w.pending, i, in)
}

func (w *world) CancelUnsent(*Attempt) {}

func (w *world) Start(call []*Attempt) {
	for _, a := range call {
		w.start(a)
	}
}

func (w *world) start(a *Attempt) {
	w.trace = append(w.trace, fmt.Sprint(w.now, " send ", a.Message.ID, a.Number, a.Endpoint))
	if w.answers[a.Message.ID] > 0 {
		w.t.Errorf("message %d is sent after its final answer", a.Message.ID)
	}
	for _, o := range w.out {
		if o.Message.ID == a.Message.ID {
			w.t.Errorf("message %d has two attempts out", a.Message.ID)
		}
	}
	w.out[a.Seq] = a
	end := Outcome{Seq: a.Seq, Kind: Answered, Status: 201}
	after := control.Time(w.rng.IntN(40)) * control.Millisecond
	switch p := w.rng.IntN(100); {
	case p < 60:
		w.applied[a.Message.ID]++
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
		w.applied[a.Message.ID]++
	case p < 88:
		end.Status = 404
	default:
		w.applied[a.Message.ID]++
		return // answers nothing
	}
	w.later(after, Input{Outcome: &end})
}

func (w *world) Cancel(a *Attempt, kind OutcomeKind) {
	if w.out[a.Seq] != nil {
		w.later(control.Millisecond, Input{Outcome: &Outcome{Seq: a.Seq, Kind: kind}})
	}
}
func (w *world) CloseIdle(control.EndpointID) {}

func (w *world) Answer(m *Message, a Answer) {
	w.trace = append(w.trace, fmt.Sprint(w.now, " final ", m.ID, a.Kind, a.RetryAfter, a.DeadlineExceeded))
	if w.answers[m.ID]++; w.answers[m.ID] > 1 {
		w.t.Errorf("message %d is answered twice", m.ID)
	}
	if w.now > w.due[m.ID] {
		w.t.Errorf("message %d is answered %d us after its time", m.ID, w.now-w.due[m.ID])
	}
	if a.Kind == Refused && m.Class == 1 && w.applied[m.ID] > 0 {
		w.t.Errorf("unsafe message %d is refused, and has taken effect", m.ID)
	}
	if a.Kind == Served && w.applied[m.ID] == 0 {
		w.t.Errorf("message %d is served, and nobody took it", m.ID)
	}
}

// step runs the next round: at the next input or timer.
func (w *world) step() bool {
	next, ok := w.core.NextTimer()
	if len(w.at) > 0 && (!ok || w.at[0] < next) {
		next, ok = w.at[0], true
	}
	if !ok {
		return false
	}
	w.now = max(w.now, next)
	var in []Input
	for len(w.at) > 0 && w.at[0] <= w.now {
		i := w.pending[0]
		w.at, w.pending = w.at[1:], w.pending[1:]
		if i.Outcome != nil {
			if w.out[i.Outcome.Seq] == nil { // the end of an attempt that was given up meanwhile
				continue
			}
			delete(w.out, i.Outcome.Seq)
		}
		if i.Submit != nil {
			w.class[i.Submit.ID] = i.Submit.Class
			w.due[i.Submit.ID] = w.now + min(i.Submit.Lifetime, settings().Classes[i.Submit.Class].Deadline)
		}
		in = append(in, i)
	}
	w.core.Round(w.now, in)
	return true
}

func (w *world) play(n int) {
	w.later(0, Input{List: &ListUpdate{Kind: control.ListFull, Entries: []control.Entry{
		{Endpoint: 1, Dest: 0, Health: control.Ready}, {Endpoint: 2, Dest: 0, Health: control.Ready}, {Endpoint: 3, Dest: 1, Health: control.Ready}}}})
	for i := range n {
		m := &Message{ID: control.MessageID(i + 1), Class: w.rng.IntN(3), Dest: w.rng.IntN(2), Lifetime: control.Time(1+w.rng.IntN(5)) * control.Second, Origin: w}
		if m.Class == 2 {
			m.OrderKey = uint64(1 + w.rng.IntN(5))
		}
		at := control.Time(w.rng.IntN(8000)) * control.Millisecond
		w.later(at, Input{Submit: m})
		if w.rng.IntN(20) == 0 {
			w.later(at+control.Time(w.rng.IntN(500))*control.Millisecond, Input{Withdraw: m.ID})
		}
	}
	for i := 0; w.step(); i++ {
		if i > 200000 {
			w.t.Fatal("the play does not end")
		}
	}
}

// Over random plays each message has one final answer in its time, none is sent after it, no unsafe one twice.
func TestRandomScenarios(t *testing.T) {
	for seed := range uint64(40) {
		w := newWorld(t, seed)
		w.play(400)
		s := w.core.Stats()
		if got := s.Served + s.Refused + s.Failed + s.Withdrawn; got != 400 || s.Open != 0 || s.InFlight != 0 || len(w.core.msgs) != 0 {
			t.Errorf("seed %d: %d of 400 ended, %d open, %d out, %d on the books", seed, got, s.Open, s.InFlight, len(w.core.msgs))
		}
		for id, n := range w.applied {
			if n > 1 && w.class[id] == 1 {
				t.Errorf("seed %d: unsafe message %d applied %d times", seed, id, n)
			}
		}
		if len(w.faults) > 0 {
			t.Errorf("seed %d: %v", seed, w.faults)
		}
	}
}

// The same seed gives the same day, to the last action.
func TestDeterministic(t *testing.T) {
	a, b := newWorld(t, 5), newWorld(t, 5)
	a.play(300)
	b.play(300)
	if !slices.Equal(a.trace, b.trace) {
		t.Error("two runs of one seed differ")
	}
}

// What each end proves: doubt counts as "may have run". The table is docs/answers.md's.
func TestClassify(t *testing.T) {
	for _, c := range []struct {
		end    Outcome
		own    bool
		result control.Result
		ran    bool
		final  bool
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
		{Outcome{Kind: ResetBeforeResponse}, false, control.Reset, true, false},
		{Outcome{Kind: ResetDuringResponse}, false, control.Reset, true, false},
		{Outcome{Kind: ProtocolError}, false, control.Reset, true, false},
		{Outcome{Kind: TimedOut}, false, control.TimedOut, true, false},
		{Outcome{Kind: Cancelled}, false, control.Cancelled, true, false},
		{Outcome{Kind: 99}, false, control.Reset, true, false},
	} {
		v := Classify(c.end, c.own)
		if v.Result != c.result || v.PossiblyExecuted != c.ran || v.Final != c.final || v.Reason == "" {
			t.Errorf("%+v own %v: %+v", c.end, c.own, v)
		}
		// The module takes these results as proof (its ranNot): the table may not claim less doubt than is there.
		if proof := v.Result == control.LimitExceeded || v.Result == control.ConnectFailed || v.Result == control.NotExecuted; proof == v.PossiblyExecuted {
			t.Errorf("%+v: result %v and ran %v disagree", c.end, v.Result, v.PossiblyExecuted)
		}
	}
}

// Timers of messages that are over do not pile up while their lives last.
func TestTimersAreCompacted(t *testing.T) {
	w := newWorld(t, 1)
	w.later(0, Input{List: &ListUpdate{Kind: control.ListFull, Entries: []control.Entry{{Endpoint: 1, Health: control.Ready}}}})
	w.step()
	for i := range 20000 {
		m := &Message{ID: control.MessageID(i + 1), Lifetime: 4 * control.Second, Origin: w}
		w.due[m.ID] = w.now + m.Lifetime
		w.core.Round(w.now, []Input{{Submit: m}, {Withdraw: m.ID}})
	}
	if n := len(w.core.timers); n > 3000 {
		t.Errorf("%d timers for no message", n)
	}
}

// At a stop all that is held has its answer within the time given.
func TestStopAnswersAll(t *testing.T) {
	w := newWorld(t, 2)
	for i := range 100 { // no endpoint is listed: all wait
		w.later(0, Input{Submit: &Message{ID: control.MessageID(i + 1), Class: i % 3, OrderKey: uint64(i % 4), Lifetime: 4 * control.Second, Origin: w}})
	}
	w.step()
	w.later(control.Second, Input{StopWithin: control.Second / 2})
	for w.core.Stats().Open > 0 && w.step() {
	}
	if w.now > 2500*control.Millisecond+control.Second/10 || len(w.answers) != 100 {
		t.Errorf("%d of 100 answered at %d ms", len(w.answers), w.now/1000)
	}
}

// Each bound of a Loop has its answer, and an orderly stop waits for those taken.
func TestLoopBounds(t *testing.T) {
	w := newWorld(t, 3)
	l := NewLoop(w.core, clock.New(), Limits{MaxQueued: 2, MaxHeld: 3})
	submit := func() error { return l.Submit(&Message{Lifetime: control.Second, Origin: w}) }
	if a, b, c := submit(), submit(), submit(); a != nil || b != nil || c != ErrQueueFull {
		t.Error("queue:", a, b, c)
	}
	l.queue, l.submits = nil, 0 // as if a round had taken them
	if a, b := submit(), submit(); a != nil || b != ErrTooManyHeld {
		t.Error("hold:", a, b)
	}
	l.open = 0
	done := l.Stop(time.Second)
	select {
	case <-done:
	default:
		t.Error("nothing is open, and the stop waits")
	}
	if submit() != ErrStopping {
		t.Error("taken while stopping")
	}
}

type sink struct{ ends []Input }

func (s *sink) CancelUnsent(*Attempt) {}

func (s *sink) Start(call []*Attempt) {
	for _, a := range call {
		s.start(a)
	}
}

func (s *sink) start(a *Attempt) {
	s.ends = append(s.ends, Input{Outcome: &Outcome{Seq: a.Seq, Kind: Answered, Status: 201}})
}
func (s *sink) Cancel(*Attempt, OutcomeKind) {}
func (s *sink) CloseIdle(control.EndpointID) {}
func (s *sink) Info(string)                  {}
func (s *sink) InternalError(string)         {}
func (s *sink) Answer(m *Message, a Answer)  {}

// BenchmarkRound is one message from its arrival through its attempt to its answer, in two rounds.
func BenchmarkRound(b *testing.B) {
	s := &sink{}
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
		core.Round(now+50, s.ends)
		s.ends = s.ends[:0]
	}
}
