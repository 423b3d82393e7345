package dialscheduler

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drain asks until nothing can be opened at that time, and returns the keys opened.
func drain(p *Planner, now time.Duration) (keys []uint64) {
	for {
		a, key, _ := p.Next(now)
		if a != Open {
			return keys
		}
		keys = append(keys, key)
	}
}

// Worth and time left decide; a busy one does not wait behind a wave of strangers, and they do not starve either.
func TestOrder(t *testing.T) {
	p := New(Budget{PerSecond: 1000, Opening: 100, Total: 100})
	p.Wish(Want{Key: 1, Worth: 1, Due: 10 * time.Second})
	p.Wish(Want{Key: 2, Worth: 1, Due: 5 * time.Second})
	p.Wish(Want{Key: 3, Worth: 7, Due: 10 * time.Second})
	if got := drain(p, 0); len(got) != 3 || got[0] != 3 || got[1] != 2 || got[2] != 1 {
		t.Error(got)
	}
	for k := range uint64(50) {
		p.Wish(Want{Key: 100 + k, Worth: 9, Due: time.Second})
	}
	for k := range uint64(10) {
		p.Wish(Want{Key: 10 + k, Due: time.Hour, Busy: true})
	}
	busy, strangers := 0, 0
	for i, key := range drain(p, time.Second) {
		if key < 100 {
			if busy++; i >= 16 {
				t.Errorf("busy one opened as number %d", i)
			}
		} else if strangers++; i == 11 && strangers < 3 {
			t.Error("strangers starve")
		}
	}
	if busy != 10 || strangers != 50 {
		t.Error(busy, strangers)
	}
}

// Ten thousand wishes at once keep to the budgets at every moment.
func TestWaveKeepsBudgets(t *testing.T) {
	b := Budget{PerSecond: 500, Opening: 40, Total: 20000}
	p := New(b)
	for k := range uint64(10000) {
		p.Wish(Want{Key: k, Worth: 1, Due: time.Minute})
	}
	begun := 0
	now := time.Duration(0)
	for ; p.Waiting() > 0 && now < time.Minute; now += 10 * time.Millisecond {
		n := len(drain(p, now))
		begun += n
		if n > b.Opening || float64(begun) > b.PerSecond*(now.Seconds()+0.1)+1 {
			t.Fatalf("%d begun after %v, %d at once", begun, now, n)
		}
		for range n {
			p.Opened()
		}
	}
	if p.Waiting() > 0 || now < 19*time.Second || now > 22*time.Second {
		t.Errorf("%d wait after %v", p.Waiting(), now)
	}
}

// Where the machine has no descriptors left the planner waits for a connection to close, and tries one more then, or when the
// shortage may have passed.
func TestShortOfDescriptors(t *testing.T) {
	p := New(Budget{PerSecond: 1000, Opening: 10, Total: 100})
	for k := range uint64(5) {
		p.Wish(Want{Key: k})
	}
	for range drain(p, 0)[:4] {
		p.Opened()
	}
	p.Failed(0, NoDescriptors)
	p.Wish(Want{Key: 9})
	if a, _, at := p.Next(holdLeast - 1); a != Full || at != holdLeast {
		t.Error("answer", a, at, "while no descriptor is left")
	}
	p.Closed()
	if a, key, _ := p.Next(holdLeast - 1); a != Open || key != 9 {
		t.Error("answer", a, key, "after one was closed")
	}
}

// A shortage is taken for one of a moment first, and tried less and less often while it lasts. It never bounds the connections
// for longer than that, also where there were none.
func TestShortagesPass(t *testing.T) {
	for _, why := range []Failure{NoDescriptors, Shortage} {
		p := New(Budget{PerSecond: 1000, Opening: 10, Total: 100})
		now, tries := time.Second, 0
		for ; now < 61*time.Second; now += 10 * time.Millisecond {
			p.Wish(Want{Key: 1})
			if a, _, at := p.Next(now); a == Open {
				tries++
				p.Failed(now, why)
			} else if a != Later || at <= now || at > now+holdMost {
				t.Fatalf("answer %v at %v, %v", a, at, now)
			}
		}
		if tries < 30 || tries > 40 {
			t.Errorf("%d tries in a minute", tries)
		}
		for k := range uint64(50) {
			p.Wish(Want{Key: k})
		}
		opened := 0
		for range 50 {
			now += holdMost
			for range drain(p, now) {
				opened++
				p.Opened()
			}
		}
		if opened != 50 {
			t.Errorf("%d opened after the shortage, want 50", opened)
		}
		p.Wish(Want{Key: 60})
		if a, _, _ := p.Next(now); a == Open {
			p.Failed(now, why)
		}
		p.Wish(Want{Key: 60})
		if a, _, _ := p.Next(now + holdLeast); a != Open {
			t.Errorf("answer %v behind a shortage of a moment, long after the last", a)
		}
	}
}

// Whatever happens: never more opening or open than the budgets allow, and no wish is lost or opened twice.
func TestBudgetsHold(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		b := Budget{PerSecond: rapid.Float64Range(1, 1000).Draw(r, "rate"), Opening: rapid.IntRange(1, 20).Draw(r, "opening"),
			Total: rapid.IntRange(1, 50).Draw(r, "total")}
		p := New(b)
		now := time.Duration(0)
		open, opening, wished, done := 0, 0, uint64(0), map[uint64]bool{}
		for range rapid.IntRange(1, 300).Draw(r, "steps") {
			switch rapid.IntRange(0, 4).Draw(r, "what") {
			case 0:
				wished++
				p.Wish(Want{Key: wished, Worth: float64(wished % 3), Due: now + time.Second, Busy: wished%2 == 0})
			case 1:
				now += time.Duration(rapid.IntRange(0, 100).Draw(r, "ms")) * time.Millisecond
			case 2:
				for _, key := range drain(p, now) {
					if done[key] {
						t.Fatal("opened twice")
					}
					done[key] = true
					opening++
				}
			case 3:
				if opening > 0 {
					opening--
					open++
					p.Opened()
				}
			case 4:
				if open > 0 {
					open--
					p.Closed()
				}
			}
			if opening > b.Opening || open+opening > b.Total {
				t.Fatalf("%d opening, %d open", opening, open)
			}
			if int(wished)-len(done) != p.Waiting() {
				t.Fatalf("%d wishes, %d opened, %d wait", wished, len(done), p.Waiting())
			}
		}
	})
}
