package dialscheduler

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// dialAll calls Next until it has no further dial for that time, and returns the keys dialled.
func dialAll(s *Scheduler, now time.Duration) (keys []uint64) {
	for {
		a, key, _ := s.Next(now)
		if a != Dial {
			return keys
		}
		keys = append(keys, key)
	}
}

// Priority and deadline decide the order. Recently active requesters must not wait behind a burst of others, and
// the others must not starve.
func TestOrder(t *testing.T) {
	s := New(Limits{HandshakesPerSecond: 1000, MaxHandshakes: 100, MaxConns: 100})
	s.Enqueue(Request{Key: 1, Priority: 1, Deadline: 10 * time.Second})
	s.Enqueue(Request{Key: 2, Priority: 1, Deadline: 5 * time.Second})
	s.Enqueue(Request{Key: 3, Priority: 7, Deadline: 10 * time.Second})
	if got := dialAll(s, 0); len(got) != 3 || got[0] != 3 || got[1] != 2 || got[2] != 1 {
		t.Error(got)
	}
	for k := range uint64(50) {
		s.Enqueue(Request{Key: 100 + k, Priority: 9, Deadline: time.Second})
	}
	for k := range uint64(10) {
		s.Enqueue(Request{Key: 10 + k, Deadline: time.Hour, RecentlyActive: true})
	}
	active, inactive := 0, 0
	for i, key := range dialAll(s, time.Second) {
		if key < 100 {
			if active++; i >= 16 {
				t.Errorf("recently active requester dialled as number %d", i)
			}
		} else if inactive++; i == 11 && inactive < 3 {
			t.Error("requesters that were not recently active starve")
		}
	}
	if active != 10 || inactive != 50 {
		t.Error(active, inactive)
	}
}

// Ten thousand requests that arrive at once must stay within all limits at every moment.
func TestBurstKeepsLimits(t *testing.T) {
	b := Limits{HandshakesPerSecond: 500, MaxHandshakes: 40, MaxConns: 20000}
	s := New(b)
	for k := range uint64(10000) {
		s.Enqueue(Request{Key: k, Priority: 1, Deadline: time.Minute})
	}
	begun := 0
	now := time.Duration(0)
	for ; s.Pending() > 0 && now < time.Minute; now += 10 * time.Millisecond {
		n := len(dialAll(s, now))
		begun += n
		if n > b.MaxHandshakes || float64(begun) > b.HandshakesPerSecond*(now.Seconds()+0.1)+1 {
			t.Fatalf("%d begun after %v, %d at once", begun, now, n)
		}
		for range n {
			s.Opened()
		}
	}
	if s.Pending() > 0 || now < 19*time.Second || now > 22*time.Second {
		t.Errorf("%d pending after %v", s.Pending(), now)
	}
}

// If the machine has no file descriptors left, the scheduler waits for a connection to close. It dials once more
// then, or when the hold has ended.
func TestOutOfDescriptors(t *testing.T) {
	s := New(Limits{HandshakesPerSecond: 1000, MaxHandshakes: 10, MaxConns: 100})
	for k := range uint64(5) {
		s.Enqueue(Request{Key: k})
	}
	for range dialAll(s, 0)[:4] {
		s.Opened()
	}
	s.Failed(0, NoDescriptors)
	s.Enqueue(Request{Key: 9})
	if a, _, at := s.Next(minHold - 1); a != CloseIdle || at != minHold {
		t.Error("decision", a, at, "while no descriptor is left")
	}
	s.Closed()
	if a, key, _ := s.Next(minHold - 1); a != Dial || key != 9 {
		t.Error("decision", a, key, "after one was closed")
	}
}

// A first shortage must cause a short hold only, and a lasting one ever longer holds up to the bound. No hold may
// outlast the shortage by more than that, even where no connection is open.
func TestShortagesPass(t *testing.T) {
	for _, cause := range []Failure{NoDescriptors, LocalShortage} {
		s := New(Limits{HandshakesPerSecond: 1000, MaxHandshakes: 10, MaxConns: 100})
		now, tries := time.Second, 0
		for ; now < 61*time.Second; now += 10 * time.Millisecond {
			s.Enqueue(Request{Key: 1})
			if a, _, at := s.Next(now); a == Dial {
				tries++
				s.Failed(now, cause)
			} else if a != RetryLater || at <= now || at > now+maxHold {
				t.Fatalf("decision %v at %v, %v", a, at, now)
			}
		}
		if tries < 30 || tries > 40 {
			t.Errorf("%d dials in a minute", tries)
		}
		for k := range uint64(50) {
			s.Enqueue(Request{Key: k})
		}
		opened := 0
		for range 50 {
			now += maxHold
			for range dialAll(s, now) {
				opened++
				s.Opened()
			}
		}
		if opened != 50 {
			t.Errorf("%d opened after the shortage, want 50", opened)
		}
		s.Enqueue(Request{Key: 60})
		if a, _, _ := s.Next(now); a == Dial {
			s.Failed(now, cause)
		}
		s.Enqueue(Request{Key: 60})
		if a, _, _ := s.Next(now + minHold); a != Dial {
			t.Errorf("decision %v after a first short hold, long after the latest shortage", a)
		}
	}
}

// In any sequence of calls, no more connections may be opening or open than the limits allow, and no request may
// be lost or dialled twice.
func TestLimitsHold(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		b := Limits{HandshakesPerSecond: rapid.Float64Range(1, 1000).Draw(r, "rate"), MaxHandshakes: rapid.IntRange(1, 20).Draw(r, "opening"),
			MaxConns: rapid.IntRange(1, 50).Draw(r, "total")}
		s := New(b)
		now := time.Duration(0)
		open, opening, requested, done := 0, 0, uint64(0), map[uint64]bool{}
		for range rapid.IntRange(1, 300).Draw(r, "steps") {
			switch rapid.IntRange(0, 4).Draw(r, "what") {
			case 0:
				requested++
				s.Enqueue(Request{Key: requested, Priority: float64(requested % 3), Deadline: now + time.Second, RecentlyActive: requested%2 == 0})
			case 1:
				now += time.Duration(rapid.IntRange(0, 100).Draw(r, "ms")) * time.Millisecond
			case 2:
				for _, key := range dialAll(s, now) {
					if done[key] {
						t.Fatal("dialled twice")
					}
					done[key] = true
					opening++
				}
			case 3:
				if opening > 0 {
					opening--
					open++
					s.Opened()
				}
			case 4:
				if open > 0 {
					open--
					s.Closed()
				}
			}
			if opening > b.MaxHandshakes || open+opening > b.MaxConns {
				t.Fatalf("%d opening, %d open", opening, open)
			}
			if int(requested)-len(done) != s.Pending() {
				t.Fatalf("%d requests, %d dialled, %d pending", requested, len(done), s.Pending())
			}
		}
	})
}
