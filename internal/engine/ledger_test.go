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

// spy records, in order, the calls to the ledger, the sender and the transport.
type spy struct {
	lines      []string
	ledgerFull bool
	// ledgerRepaired tells that attempts can be recorded again.
	ledgerRepaired bool
	calls          [][]*Attempt
}

func (b *spy) add(format string, args ...any) {
	b.lines = append(b.lines, fmt.Sprintf(format, args...))
}

func (b *spy) RecordAccept(m *Message, _ control.Time) error {
	if b.ledgerFull {
		return errors.New("full")
	}
	b.add("take %s", m.ExternalID)
	return nil
}

func (b *spy) RecordAttemptEnd(a *Attempt, e safety.AttemptResult) {
	b.add("back %s %v", a.Message.ExternalID, e.PossiblyExecuted)
}
func (b *spy) RecordOutages([]control.Outage)     {}
func (b *spy) Failing() bool                      { return !b.ledgerRepaired }
func (b *spy) RecordFinish(m *Message, a *Answer) { b.add("over %s %v", m.ExternalID, a != nil) }
func (b *spy) Accepted(m *Message)                { b.add("told %s", m.ExternalID) }
func (b *spy) Answer(m *Message, a Answer)        { b.add("final %s %v", m.ExternalID, a.Kind) }
func (b *spy) Cancel(a *Attempt, _ OutcomeKind)   { b.add("abandon %s", a.Message.ExternalID) }
func (b *spy) CancelUnsent(a *Attempt)            { b.add("unsend %s", a.Message.ExternalID) }
func (b *spy) CloseIdle(control.EndpointID)       {}
func (b *spy) Info(string)                        {}
func (b *spy) InternalError(text string)          { b.add("fault %s", text) }
func (b *spy) Start(call []*Attempt)              { b.add("start %d", len(call)); b.calls = append(b.calls, call) }

// take returns the recorded lines and clears them.
func (b *spy) take() (l []string) { l, b.lines = b.lines, nil; return l }
func (b *spy) want(t *testing.T, lines ...string) {
	t.Helper()
	if got := b.take(); !slices.Equal(got, lines) {
		t.Errorf("%q, want %q", got, lines)
	}
}

func newSpy(t *testing.T) (*spy, *Core) {
	t.Helper()
	set := settings()
	set.MayCancel = true
	set.DestinationKinds = []control.DestinationKind{{Name: "bulk", MaxBatch: 3}, {Name: "single", MaxBatch: 1}}
	b := &spy{}
	c, err := NewCore(Options{Settings: set, PathPerMessage: []bool{false, false}, Ledger: b, MaxCallBytes: 2000}, 1, b, nil, b)
	if err != nil {
		t.Fatal(err)
	}
	c.Round(control.Second, []Input{{List: &ListUpdate{Kind: control.ListFull, Entries: []control.Entry{
		{Endpoint: 1, Dest: 1, DestinationKind: 0, Health: control.Ready}, {Endpoint: 2, Dest: 2, DestinationKind: 1, Health: control.Ready}}}}})
	return b, c
}

func (b *spy) msg(id control.MessageID, dest, size int) Input {
	return Input{Submit: &Message{ID: id, ExternalID: fmt.Sprint("m", id), Dest: dest, Lifetime: 3 * control.Second, Body: make([]byte, size), Origin: b}}
}

// TestRecordBeforePromise checks that a message is on record before its sender is told that it is accepted, and that its end is
// on record before anybody is told.
func TestRecordBeforePromise(t *testing.T) {
	b, c := newSpy(t)
	c.Round(2*control.Second, []Input{b.msg(1, 2, 10)})
	b.want(t, "take m1", "told m1", "start 1")
	c.Round(2*control.Second+1000, []Input{{Outcome: &Outcome{Seq: b.calls[0][0].Seq, Kind: Answered, Status: 503}}})
	if got := b.take(); len(got) == 0 || got[0] != "back m1 true" { // By the rules of push gateways, status 503 without a wait is no proof.
		t.Errorf("%q", got)
	}
}

// TestCallsOfARound checks that the messages of a round to one endpoint share a call, as far as kind and size allow.
func TestCallsOfARound(t *testing.T) {
	b, c := newSpy(t)
	var in []Input
	for i := range 4 {
		in = append(in, b.msg(control.MessageID(i+1), 1, 10))
	}
	c.Round(2*control.Second, in)
	if len(b.calls) == 0 || len(b.calls[0]) != 3 {
		t.Fatalf("%d calls: %q", len(b.calls), b.lines)
	}
	b, c = newSpy(t)
	c.Round(2*control.Second, []Input{b.msg(1, 1, 1000), b.msg(2, 1, 1000)})
	for _, call := range b.calls {
		if len(call) != 1 {
			t.Errorf("a call of %d messages exceeds MaxCallBytes", len(call))
		}
	}
}

// TestRepeatThatWaitsPastItsWindow checks that a repeat is given up unsent if no connection has taken it when its window ends.
func TestRepeatThatWaitsPastItsWindow(t *testing.T) {
	b, c := newSpy(t)
	in := b.msg(1, 2, 10)
	in.Submit.Class, in.Submit.Lifetime = 2, 4*control.Second // Deduplicated, with a window of 3 s.
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
		t.Fatalf("a repeat must be written before %d, and its deadline is %d", again.WriteBefore, again.Deadline)
	}
	b.take()
	for now, ok := c.NextTimer(); ok && now <= again.WriteBefore; now, ok = c.NextTimer() {
		c.Round(now, nil)
	}
	if got := b.take(); !slices.Contains(got, "unsend m1") {
		t.Errorf("%q", got)
	}
}

// TestWithdrawalCrossings checks withdrawals before and after other events of the message, in the same round and in the next
// one. No attempt may start after the withdrawal, and the ledger must get one end.
func TestWithdrawalCrossings(t *testing.T) {
	for name, c := range map[string]struct {
		rounds func(b *spy, seq uint64) [][]Input
		sent   int
		want   []string // The recorded lines, without those of calls.
	}{
		"in the round that takes it": {func(b *spy, _ uint64) [][]Input {
			return [][]Input{{b.msg(1, 2, 10), {Withdraw: 1}}}
		}, 0, nil},
		"in the next round": {func(b *spy, _ uint64) [][]Input {
			return [][]Input{{b.msg(1, 2, 10)}, {{Withdraw: 1}}}
		}, 1, []string{"take m1", "told m1", "over m1 false"}},
		"ahead of a delivery": {func(b *spy, seq uint64) [][]Input {
			return [][]Input{{b.msg(1, 2, 10)}, {{Withdraw: 1}, {Outcome: &Outcome{Seq: seq, Kind: Answered, Status: 201}}}}
		}, 1, []string{"take m1", "told m1", "over m1 false"}},
		"behind a delivery": {func(b *spy, seq uint64) [][]Input {
			return [][]Input{{b.msg(1, 2, 10)}, {{Outcome: &Outcome{Seq: seq, Kind: Answered, Status: 201}}, {Withdraw: 1}}}
		}, 1, []string{"take m1", "told m1", "over m1 true", "final m1 served"}},
		"ahead of a failure": {func(b *spy, seq uint64) [][]Input {
			return [][]Input{{b.msg(1, 2, 10)}, {{Withdraw: 1}, {Outcome: &Outcome{Seq: seq, Kind: NotConnected}}}, nil}
		}, 1, []string{"take m1", "told m1", "over m1 false"}},
		"behind a failure": {func(b *spy, seq uint64) [][]Input {
			return [][]Input{{b.msg(1, 2, 10)}, {{Outcome: &Outcome{Seq: seq, Kind: NotConnected}}, {Withdraw: 1}}, nil}
		}, 1, []string{"take m1", "told m1", "back m1 false", "over m1 false"}},
	} {
		b, c2 := newSpy(t)
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

// TestLedgerFull checks that a message that cannot be recorded is refused, and that the library forgets it.
func TestLedgerFull(t *testing.T) {
	b, c := newSpy(t)
	b.ledgerFull = true
	c.Round(2*control.Second, []Input{b.msg(1, 2, 10)})
	b.want(t, "final m1 refused")
	c.Round(2*control.Second+5000, nil)
	b.want(t)
	if s := c.Stats(); s.Open != 0 || s.InFlight != 0 {
		t.Errorf("%+v", s)
	}
}

// TestCallNotOnRecord checks an attempt that could not be recorded and so was not made. The message must go on, and the library
// must not send until it is told that the ledger can be written again.
func TestCallNotOnRecord(t *testing.T) {
	b, c := newSpy(t)
	in := b.msg(1, 2, 10)
	in.Submit.Class = 2 // Deduplicated.
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

// TestLedgerRepairedBeforeTheOutcome checks an attempt that could not be recorded and whose outcome is overtaken by the ledger's repair.
// The library took the ledger for failing from then on, and sent nothing that needs a record any more.
func TestLedgerRepairedBeforeTheOutcome(t *testing.T) {
	b, c := newSpy(t)
	in := b.msg(1, 2, 10)
	in.Submit.Class = 2 // Deduplicated.
	c.Round(2*control.Second, []Input{in})
	b.take()
	b.ledgerRepaired = true
	c.Round(2*control.Second+1000, []Input{{LedgerWritable: true}})
	c.Round(2*control.Second+2000, []Input{{Outcome: &Outcome{Seq: b.calls[0][0].Seq, Kind: NotRecorded}}})
	c.Round(2*control.Second+50*control.Millisecond, nil)
	if got := b.take(); !slices.Contains(got, "start 1") {
		t.Errorf("not sent again: %q", got)
	}
}

// TestTakenBack checks that an unwritten attempt is cancelled when its endpoint drains or its destination asks to wait.
func TestTakenBack(t *testing.T) {
	b, c := newSpy(t)
	c.Round(2*control.Second, []Input{b.msg(1, 2, 10)})
	b.take()
	c.Round(2*control.Second+1000, []Input{{List: &ListUpdate{Entries: []control.Entry{{Endpoint: 2, Dest: 2, DestinationKind: 1, Health: control.Draining}}}}})
	b.want(t, "unsend m1")
	b, c = newSpy(t)
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

// TestRestored checks that a restored message is not recorded again, and that its attempts are counted.
func TestRestored(t *testing.T) {
	b, c := newSpy(t)
	in := b.msg(1, 2, 10)
	in.Submit.Recovered = Recovered{Restored: true, Attempts: 2}
	c.Round(2*control.Second, []Input{in})
	b.want(t, "told m1", "start 1")
	if n := b.calls[0][0].Number; n != 2 {
		t.Errorf("the next attempt is number %d", n)
	}
}

// TestRestoredEndsOnRecord checks that the end of a restored message that cannot be sent any more is recorded. Otherwise the
// message would be restored at each start.
func TestRestoredEndsOnRecord(t *testing.T) {
	b, c := newSpy(t)
	in := b.msg(1, 2, 10)
	in.Submit.Recovered = Recovered{Restored: true, Attempts: c.options.Settings.MaxAttempts}
	c.Round(2*control.Second, []Input{in})
	b.want(t, "over m1 true", "final m1 refused")
}

// TestLateRound checks that the time between the receipt of a message and its round counts against its lifetime.
func TestLateRound(t *testing.T) {
	b, c := newSpy(t)
	in := b.msg(1, 2, 10)
	in.Submit.ReceivedAt = 2 * control.Second
	c.Round(2*control.Second+500*control.Millisecond, []Input{in})
	if due := b.calls[0][0].Deadline; due != 5*control.Second {
		t.Errorf("deadline %d, want %d", due, 5*control.Second)
	}
}
