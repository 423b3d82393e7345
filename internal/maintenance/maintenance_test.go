package maintenance

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// run plays a planner for a time, with the cost of each chore, and counts runs.
func run(p *Scheduler, from, to time.Duration, pressure float64, cost []time.Duration, more []bool) (runs []int, spent time.Duration) {
	runs = make([]int, len(cost))
	for now := from; now < to; {
		i, wait := p.Next(now, pressure)
		if i < 0 {
			now += wait
			continue
		}
		now += cost[i]
		spent += cost[i]
		runs[i]++
		p.Done(i, now, cost[i], more[i])
	}
	return runs, spent
}

func TestWorkStaysWithinShare(t *testing.T) {
	for pressure, most := range map[float64]time.Duration{0: 2100 * ms, 0.5: 1100 * ms, 1: 300 * ms, 7: 300 * ms} {
		p := New(Budget{Share: 0.2, Burst: 50 * ms}, []Task{{Name: "compress", Priority: 1, Interval: time.Second}}, 0)
		if _, spent := run(p, 0, 10*time.Second, pressure, []time.Duration{20 * ms}, []bool{true}); spent > most || spent < most/2 {
			t.Errorf("pressure %v: %v of 10 s spent, at most %v", pressure, spent, most)
		}
	}
}

// Work without end in a low class keeps no chore of a higher class waiting, nor one whose deadline has come.
func TestPrioritiesAndMaxDelays(t *testing.T) {
	p := New(Budget{Share: 0.05, Burst: 10 * ms}, []Task{{Name: "verify", Priority: 3, Interval: time.Second},
		{Name: "seal", Priority: 0, Interval: 500 * ms, MaxDelay: 500 * ms}, {Name: "expire", Priority: 2, Interval: time.Second, MaxDelay: 5 * time.Second}}, 0)
	runs, _ := run(p, 0, 60*time.Second, 1, []time.Duration{50 * ms, ms, ms}, []bool{true, false, false})
	if runs[1] < 55 || runs[2] < 9 || runs[0] < 3 {
		t.Errorf("runs %v", runs)
	}
}

// Whatever happens, no chore with a deadline waits past it by more than one run of another, and time goes on.
func TestMaxDelayIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 5).Draw(t, "chores")
		var all []Task
		for range n {
			all = append(all, Task{Priority: rapid.IntRange(0, 2).Draw(t, "class"), Interval: time.Duration(rapid.IntRange(1, 500).Draw(t, "every")) * ms,
				MaxDelay: time.Duration(rapid.IntRange(1, 500).Draw(t, "deadline")) * ms})
		}
		p := New(Budget{Share: 0.1, Burst: 20 * ms}, all, 0)
		now := time.Duration(0)
		for range 300 {
			i, wait := p.Next(now, rapid.Float64Range(0, 2).Draw(t, "pressure"))
			for k, c := range all {
				if late := now - p.due[k] - c.MaxDelay; late > time.Duration(n)*10*ms {
					t.Fatalf("chore %d is %v past its deadline", k, late)
				}
			}
			if i < 0 {
				if wait <= 0 {
					t.Fatal("nothing to do, and no time to wait")
				}
				now += wait
				continue
			}
			now += 10 * ms
			p.Done(i, now, 10*ms, false)
		}
	})
}
