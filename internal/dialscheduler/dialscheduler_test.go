package dialscheduler

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drain asks until nothing can be opened at that time, and returns the keys opened.
func drain(p *Scheduler, now time.Duration) (keys []uint64) {
	for {
		a, key, _ := p.Next(now)
		if a != Dial {
			return keys
		}
		keys = append(keys, key)
	}
}

// Worth and time left decide; a busy one does not wait behind a wave of strangers, and they do not starve either.
func TestOrder(t *testing.T) {
	p := New(Limits{HandshakesPerSecond: 1000, MaxHandshakes: 100, MaxConns: 100})
	p.Enqueue(Request{Key: 1, Priority: 1, Deadline: 10 * time.Second})
	p.Enqueue(Request{Key: 2, Priority: 1, Deadline: 5 * time.Second})
	p.Enqueue(Request{Key: 3, Priority: 7, Deadline: 10 * time.Second})
	if got := drain(p, 0); len(got) != 3 || got[0] != 3 || got[1] != 2 || got[2] != 1 {
		t.Error(got)
	}
	for k := range uint64(50) {
		p.Enqueue(Request{Key: 100 + k, Priority: 9, Deadline: time.Second})
	}
	for k := range uint64(10) {
		p.Enqueue(Request{Key: 10 + k, Deadline: time.Hour, RecentlyActive: true})
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
func TestBurstKeepsLimits(t *testing.T) {
	b := Limits{HandshakesPerSecond: 500, MaxHandshakes: 40, MaxConns: 20000}
	p := New(b)
	for k := range uint64(10000) {
		p.Enqueue(Request{Key: k, Priority: 1, Deadline: time.Minute})
	}
	begun := 0
	now := time.Duration(0)
	for ; p.Pending() > 0 && now < time.Minute; now += 10 * time.Millisecond {
		n := len(drain(p, now))
		begun += n
		if n > b.MaxHandshakes || float64(begun) > b.HandshakesPerSecond*(now.Seconds()+0.1)+1 {
			t.Fatalf("%d begun after %v, %d at once", begun, now, n)
		}
		for range n {
			p.Opened()
		}
	}
	if p.Pending() > 0 || now < 19*time.Second || now > 22*time.Second {
		t.Errorf("%d wait after %v", p.Pending(), now)
	}
}

// Where the machine has no descriptors left the planner waits for a connection to close, and tries one more then, or when the
// shortage may have passed.
func TestOutOfDescriptors(t *testing.T) {
	p := New(Limits{HandshakesPerSecond: 1000, MaxHandshakes: 10, MaxConns: 100})
	for k := range uint64(5) {
		p.Enqueue(Request{Key: k})
	}
	for range drain(p, 0)[:4] {
		p.Opened()
	}
	p.Failed(0, NoDescriptors)
	p.Enqueue(Request{Key: 9})
	if a, _, at := p.Next(holdLeast - 1); a != CloseIdle || at != holdLeast {
		t.Error("answer", a, at, "while no descriptor is left")
	}
	p.Closed()
	if a, key, _ := p.Next(holdLeast - 1); a != Dial || key != 9 {
		t.Error("answer", a, key, "after one was closed")
	}
}

// A shortage is taken for one of a moment first, and tried less and less often while it lasts. It never bounds the connections
// for longer than that, also where there were none.
func TestShortagesPass(t *testing.T) {
	for _, why := range []Failure{NoDescriptors, LocalShortage} {
		p := New(Limits{HandshakesPerSecond: 1000, MaxHandshakes: 10, MaxConns: 100})
		now, tries := time.Second, 0
		for ; now < 61*time.Second; now += 10 * time.Millisecond {
			p.Enqueue(Request{Key: 1})
			if a, _, at := p.Next(now); a == Dial {
				tries++
				p.Failed(now, why)
			} else if a != RetryLater || at <= now || at > now+holdMost {
				t.Fatalf("answer %v at %v, %v", a, at, now)
			}
		}
		if tries < 30 || tries > 40 {
			t.Errorf("%d tries in a minute", tries)
		}
		for k := range uint64(50) {
			p.Enqueue(Request{Key: k})
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
		p.Enqueue(Request{Key: 60})
		if a, _, _ := p.Next(now); a == Dial {
			p.Failed(now, why)
		}
		p.Enqueue(Request{Key: 60})
		if a, _, _ := p.Next(now + holdLeast); a != Dial {
			t.Errorf("answer %v behind a shortage of a moment, long after the last", a)
		}
	}
}

// Whatever happens: never more opening or open than the budgets allow, and no wish is lost or opened twice.
func TestLimitsHold(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		b := Limits{HandshakesPerSecond: rapid.Float64Range(1, 1000).Draw(r, "rate"), MaxHandshakes: rapid.IntRange(1, 20).Draw(r, "opening"),
			MaxConns: rapid.IntRange(1, 50).Draw(r, "total")}
		p := New(b)
		now := time.Duration(0)
		open, opening, wished, done := 0, 0, uint64(0), map[uint64]bool{}
		for range rapid.IntRange(1, 300).Draw(r, "steps") {
			switch rapid.IntRange(0, 4).Draw(r, "what") {
			case 0:
				wished++
				p.Enqueue(Request{Key: wished, Priority: float64(wished % 3), Deadline: now + time.Second, RecentlyActive: wished%2 == 0})
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
			if opening > b.MaxHandshakes || open+opening > b.MaxConns {
				t.Fatalf("%d opening, %d open", opening, open)
			}
			if int(wished)-len(done) != p.Pending() {
				t.Fatalf("%d wishes, %d opened, %d wait", wished, len(done), p.Pending())
			}
		}
	})
}
