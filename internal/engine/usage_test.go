package engine

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"whinrun/control"
	"whinrun/internal/safety"
)

// settle reports the ends of all calls that were started since the last time, and returns how many there were.
func (b *spy) settle(c *Core, now control.Time, end Outcome) (attempts int) {
	var ends []Input
	for _, call := range b.calls {
		for _, a := range call {
			end := end
			end.Seq = a.Seq
			ends = append(ends, Input{Outcome: &end})
		}
	}
	b.calls = nil
	c.Round(now, ends)
	return len(ends)
}

// Messages that are sent and cannot be recorded in one round must not cost slots, places in the window, or the trial of an endpoint: with
// more of them than there are slots, nothing was sent any more. The key's turn is the case "in order".
func TestUnrecordedMessagesCostNoCapacity(t *testing.T) {
	for name, c := range map[string]struct {
		class, dest int
		suspected   bool
	}{
		"single":              {class: 0, dest: 2},
		"in order":            {class: 2, dest: 2},
		"several in a call":   {class: 0, dest: 1},
		"trial of a partner":  {class: 0, dest: 2, suspected: true},
		"at most once":        {class: 1, dest: 2},
		"trial, several fit":  {class: 0, dest: 1, suspected: true},
		"in order, in a call": {class: 2, dest: 1},
	} {
		t.Run(name, func(t *testing.T) {
			b, core := newSpy(t)
			now := 2 * control.Second
			nextID := control.MessageID(0)
			submit := func(n int) {
				var in []Input
				for range n {
					nextID++
					m := b.msg(nextID, c.dest, 10)
					m.Submit.Class = c.class
					if c.class == 2 {
						m.Submit.OrderKey = 7
					}
					in = append(in, m)
				}
				core.Round(now, in)
				now += 50 * control.Millisecond
			}
			if c.suspected {
				submit(1)
				b.settle(core, now, Outcome{Kind: NotConnected})
			}
			b.ledgerFull = true
			for range 3 * settings().Slots {
				submit(2)
			}
			b.ledgerFull = false
			now += 10 * control.Second // Every message of before has ended.
			for end := now + control.Second/2; now < end; {
				core.Round(now, nil)
				now += 50 * control.Millisecond
			}
			b.settle(core, now, Outcome{Kind: Answered, Status: 201})
			for end := now + 5*control.Second; now < end; {
				submit(1)
				b.settle(core, now, Outcome{Kind: Answered, Status: 201})
			}
			b.take()
			submit(4)
			sent := 0
			for end := now + control.Second; now < end; now += 50 * control.Millisecond {
				sent += b.settle(core, now, Outcome{Kind: Answered, Status: 201})
			}
			if sent != 4 {
				t.Errorf("%d of 4 messages were sent behind the full ledger: %q", sent, b.lines)
			}
			if got := slices.DeleteFunc(b.lines, func(l string) bool { return len(l) < 5 || l[:5] != "fault" }); len(got) > 0 {
				t.Errorf("%q", got)
			}
		})
	}
}

// unreliableLedger refuses records by a seed.
type unreliableLedger struct {
	simulation *simulation
	refused    int
}

func (l *unreliableLedger) RecordAccept(*Message, control.Time) error {
	if l.simulation.rng.IntN(3) > 0 {
		return nil
	}
	if l.refused++; l.refused%2 == 0 {
		return fmt.Errorf("%w: it may be there", ErrRecordUncertain)
	}
	return errors.New("no room")
}
func (*unreliableLedger) RecordAttemptEnd(*Attempt, safety.AttemptResult) {}
func (*unreliableLedger) RecordFinish(*Message, *Answer)                  {}
func (*unreliableLedger) RecordOutages([]control.Outage)                  {}
func (*unreliableLedger) Failing() bool                                   { return false }

// Whatever records fail and however attempts end, nothing is in use once all messages have ended, and the sums are right on the way.
func TestNothingIsInUseAtRest(t *testing.T) {
	for seed := range uint64(40) {
		w := newSimulation(t, seed)
		ledger := &unreliableLedger{simulation: w}
		var err error
		if w.core, err = NewCore(Options{Settings: settings(), PathPerMessage: []bool{false}, Ledger: ledger}, seed, w, nil, w); err != nil {
			t.Fatal(err)
		}
		w.afterRound = func() {
			if err := w.core.dispatcher.CheckUsage(); err != nil {
				t.Fatalf("seed %d, at %d: %v", seed, w.now, err)
			}
		}
		w.run(400)
		if len(w.errors) > 0 {
			t.Errorf("seed %d: %v", seed, w.errors)
		}
		if u := w.core.dispatcher.Usage(); u != (control.Usage{}) || ledger.refused == 0 {
			t.Errorf("seed %d: at rest %+v are in use; %d records were refused", seed, u, ledger.refused)
		}
	}
}
