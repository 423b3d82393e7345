package engine

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"whinrun/control"
	"whinrun/internal/safety"
)

// book writes down, in order, what the ledger, the sender and the back end were told.
type book struct {
	lines []string
	full  bool
	calls [][]*Attempt
}

func (b *book) put(f string, a ...any) { b.lines = append(b.lines, fmt.Sprintf(f, a...)) }

func (b *book) RecordAccept(m *Message, _ control.Time) error {
	if b.full {
		return errors.New("full")
	}
	b.put("take %s", m.ExternalID)
	return nil
}

func (b *book) RecordAttemptEnd(a *Attempt, e safety.AttemptResult) {
	b.put("back %s %v", a.Message.ExternalID, e.PossiblyExecuted)
}
func (b *book) RecordOutages([]control.Outage)     {}
func (b *book) RecordFinish(m *Message, a *Answer) { b.put("over %s %v", m.ExternalID, a != nil) }
func (b *book) Accepted(m *Message)                { b.put("told %s", m.ExternalID) }
func (b *book) Answer(m *Message, a Answer)        { b.put("final %s %v", m.ExternalID, a.Kind) }
func (b *book) Cancel(a *Attempt, _ OutcomeKind)   { b.put("abandon %s", a.Message.ExternalID) }
func (b *book) CancelUnsent(a *Attempt)            { b.put("unsend %s", a.Message.ExternalID) }
func (b *book) CloseIdle(control.EndpointID)       {}
func (b *book) Info(string)                        {}
func (b *book) InternalError(text string)          { b.put("fault %s", text) }
func (b *book) Start(call []*Attempt)              { b.put("start %d", len(call)); b.calls = append(b.calls, call) }
func (b *book) take() (l []string)                 { l, b.lines = b.lines, nil; return l }
func (b *book) want(t *testing.T, lines ...string) {
	t.Helper()
	if got := b.take(); !slices.Equal(got, lines) {
		t.Errorf("%q, want %q", got, lines)
	}
}

func newBook(t *testing.T) (*book, *Core) {
	t.Helper()
	set := settings()
	set.MayCancel = true
	set.DestinationKinds = []control.DestinationKind{{Name: "bulk", MaxBatch: 3}, {Name: "single", MaxBatch: 1}}
	b := &book{}
	c, err := NewCore(Options{Settings: set, PathPerMessage: []bool{false, false}, Ledger: b, MaxCallBytes: 2000}, 1, b, nil, b)
	if err != nil {
		t.Fatal(err)
	}
	c.Round(control.Second, []Input{{List: &ListUpdate{Kind: control.ListFull, Entries: []control.Entry{
		{Endpoint: 1, Dest: 1, DestinationKind: 0, Health: control.Ready}, {Endpoint: 2, Dest: 2, DestinationKind: 1, Health: control.Ready}}}}})
	return b, c
}

func (b *book) msg(id control.MessageID, dest, size int) Input {
	return Input{Submit: &Message{ID: id, ExternalID: fmt.Sprint("m", id), Dest: dest, Lifetime: 3 * control.Second, Body: make([]byte, size), Origin: b}}
}

// On record before the sender hears; the end on record before anybody is told.
func TestRecordBeforePromise(t *testing.T) {
	b, c := newBook(t)
	c.Round(2*control.Second, []Input{b.msg(1, 2, 10)})
	b.want(t, "take m1", "told m1", "start 1")
	c.Round(2*control.Second+1000, []Input{{Outcome: &Outcome{Seq: b.calls[0][0].Seq, Kind: Answered, Status: 503}}})
	if got := b.take(); len(got) == 0 || got[0] != "back m1 true" { // 503 without a wait, by the table of push gateways
		t.Errorf("%q", got)
	}
}

// The sends of a round to one endpoint are one call, as far as kind and size allow.
func TestCallsOfARound(t *testing.T) {
	b, c := newBook(t)
	var in []Input
	for i := range 4 {
		in = append(in, b.msg(control.MessageID(i+1), 1, 10))
	}
	c.Round(2*control.Second, in)
	if len(b.calls) == 0 || len(b.calls[0]) != 3 {
		t.Fatalf("%d calls: %q", len(b.calls), b.lines)
	}
	b, c = newBook(t)
	c.Round(2*control.Second, []Input{b.msg(1, 1, 1000), b.msg(2, 1, 1000)})
	for _, call := range b.calls {
		if len(call) != 1 {
			t.Errorf("a call of %d messages is larger than calls may be", len(call))
		}
	}
}

// A repeat that no connection has taken when its window ends is given up unsent.
func TestRepeatThatWaitsPastItsWindow(t *testing.T) {
	b, c := newBook(t)
	in := b.msg(1, 2, 10)
	in.Submit.Class, in.Submit.Lifetime = 2, 4*control.Second // guarded, a window of 3 s
	c.Round(2*control.Second, []Input{in})
	c.Round(3*control.Second, []Input{{Outcome: &Outcome{Seq: b.calls[0][0].Seq, Kind: Answered, Status: 500}}})
	for now, ok := c.NextTimer(); len(b.calls) < 2 && ok; now, ok = c.NextTimer() {
		c.Round(now, nil)
	}
	if len(b.calls) < 2 {
		t.Fatal("no repeat")
	}
	again := b.calls[1][0]
	if over := 5*control.Second - control.StallMargin - settings().Tick; again.WriteBefore != over || again.Deadline <= over {
		t.Fatalf("a repeat may begin until %d, is due %d", again.WriteBefore, again.Deadline)
	}
	b.take()
	for now, ok := c.NextTimer(); ok && now <= again.WriteBefore; now, ok = c.NextTimer() {
		c.Round(now, nil)
	}
	if got := b.take(); !slices.Contains(got, "unsend m1") {
		t.Errorf("%q", got)
	}
}

// A sender that goes, in each order beside what happens to its message, in one round or in two: nothing new is sent for it,
// and the ledger hears of one end.
func TestWithdrawalCrossings(t *testing.T) {
	for name, c := range map[string]struct {
		rounds func(b *book, seq uint64) [][]Input
		sent   int
		want   []string // beside what concerns the call
	}{
		"in the round that takes it": {func(b *book, _ uint64) [][]Input {
			return [][]Input{{b.msg(1, 2, 10), {Withdraw: 1}}}
		}, 0, nil},
		"in the next round": {func(b *book, _ uint64) [][]Input {
			return [][]Input{{b.msg(1, 2, 10)}, {{Withdraw: 1}}}
		}, 1, []string{"take m1", "told m1", "over m1 false"}},
		"ahead of a delivery": {func(b *book, seq uint64) [][]Input {
			return [][]Input{{b.msg(1, 2, 10)}, {{Withdraw: 1}, {Outcome: &Outcome{Seq: seq, Kind: Answered, Status: 201}}}}
		}, 1, []string{"take m1", "told m1", "over m1 false"}},
		"behind a delivery": {func(b *book, seq uint64) [][]Input {
			return [][]Input{{b.msg(1, 2, 10)}, {{Outcome: &Outcome{Seq: seq, Kind: Answered, Status: 201}}, {Withdraw: 1}}}
		}, 1, []string{"take m1", "told m1", "over m1 true", "final m1 served"}},
		"ahead of a failure": {func(b *book, seq uint64) [][]Input {
			return [][]Input{{b.msg(1, 2, 10)}, {{Withdraw: 1}, {Outcome: &Outcome{Seq: seq, Kind: NotConnected}}}, nil}
		}, 1, []string{"take m1", "told m1", "over m1 false"}},
		"behind a failure": {func(b *book, seq uint64) [][]Input {
			return [][]Input{{b.msg(1, 2, 10)}, {{Outcome: &Outcome{Seq: seq, Kind: NotConnected}}, {Withdraw: 1}}, nil}
		}, 1, []string{"take m1", "told m1", "back m1 false", "over m1 false"}},
	} {
		b, c2 := newBook(t)
		now := 2 * control.Second
		for _, in := range c.rounds(b, 1) {
			c2.Round(now, in)
			now += 20 * control.Millisecond
		}
		for range 200 {
			next, ok := c2.NextTimer()
			if !ok {
				break
			}
			c2.Round(max(now, next), nil)
		}
		var got []string
		for _, l := range b.take() {
			if !strings.HasPrefix(l, "out ") && !strings.HasPrefix(l, "start ") && !strings.HasPrefix(l, "abandon ") {
				got = append(got, l)
			}
		}
		if !slices.Equal(got, c.want) || len(b.calls) != c.sent {
			t.Errorf("%s: %q, want %q; %d calls, want %d", name, got, c.want, len(b.calls), c.sent)
		}
		if s := c2.Stats(); s.Open != 0 {
			t.Errorf("%s: %+v", name, s)
		}
	}
}

// A message that can't be kept is refused, and the module forgets it.
func TestLedgerFull(t *testing.T) {
	b, c := newBook(t)
	b.full = true
	c.Round(2*control.Second, []Input{b.msg(1, 2, 10)})
	b.want(t, "final m1 refused")
	c.Round(2*control.Second+5000, nil)
	b.want(t)
	if s := c.Stats(); s.Open != 0 || s.InFlight != 0 {
		t.Errorf("%+v", s)
	}
}

// A call that could not go on record was not made: the message goes on, and the module knows that nothing can be recorded until it
// hears otherwise.
func TestCallNotOnRecord(t *testing.T) {
	b, c := newBook(t)
	in := b.msg(1, 2, 10)
	in.Submit.Class = 2 // guarded
	c.Round(2*control.Second, []Input{in})
	b.want(t, "take m1", "told m1", "start 1")
	c.Round(2*control.Second+1000, []Input{{Outcome: &Outcome{Seq: b.calls[0][0].Seq, Kind: NotRecorded}}})
	b.want(t, "back m1 false")
	for i := range 20 {
		c.Round(2*control.Second+control.Time(i+1)*10*control.Millisecond, nil)
	}
	b.want(t)
	c.Round(3*control.Second, []Input{{LedgerWritable: true}})
	b.want(t, "start 1")
}

// What was not written when a drain or a wait is told is taken back.
func TestTakenBack(t *testing.T) {
	b, c := newBook(t)
	c.Round(2*control.Second, []Input{b.msg(1, 2, 10)})
	b.take()
	c.Round(2*control.Second+1000, []Input{{List: &ListUpdate{Entries: []control.Entry{{Endpoint: 2, Dest: 2, DestinationKind: 1, Health: control.Draining}}}}})
	b.want(t, "unsend m1")
	b, c = newBook(t)
	c.Round(2*control.Second, []Input{b.msg(1, 2, 10)})
	c.Round(2*control.Second+1000, []Input{b.msg(2, 2, 10)})
	if len(b.calls) < 2 {
		t.Fatalf("%d calls", len(b.calls))
	}
	b.take()
	c.Round(2*control.Second+2000, []Input{{Outcome: &Outcome{Seq: b.calls[0][0].Seq, Kind: Answered, Status: 429, RetryAfter: control.Second}}})
	if got := b.take(); !slices.Contains(got, "unsend m2") {
		t.Errorf("%q", got)
	}
}

// A restored message is not recorded anew, and keeps its attempts and its doubt.
func TestRestored(t *testing.T) {
	b, c := newBook(t)
	in := b.msg(1, 2, 10)
	in.Submit.Recovered = Recovered{Restored: true, Attempts: 2}
	c.Round(2*control.Second, []Input{in})
	b.want(t, "told m1", "start 1")
	if n := b.calls[0][0].Number; n != 2 {
		t.Errorf("the next attempt is number %d", n)
	}
}

// A restored message that can't be sent any more ends in the ledger, too: it must not come back at each start.
func TestRestoredEndsOnRecord(t *testing.T) {
	b, c := newBook(t)
	in := b.msg(1, 2, 10)
	in.Submit.Recovered = Recovered{Restored: true, Attempts: c.pol.Settings.MaxAttempts}
	c.Round(2*control.Second, []Input{in})
	b.want(t, "over m1 true", "final m1 refused")
}

// Time that passed before the round took a message is not given again.
func TestLateRound(t *testing.T) {
	b, c := newBook(t)
	in := b.msg(1, 2, 10)
	in.Submit.ReceivedAt = 2 * control.Second
	c.Round(2*control.Second+500*control.Millisecond, []Input{in})
	if due := b.calls[0][0].Deadline; due != 5*control.Second {
		t.Errorf("due at %d, want %d", due, 5*control.Second)
	}
}
