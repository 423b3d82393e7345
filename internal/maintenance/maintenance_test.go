package maintenance

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// run simulates a scheduler from one time to another. Each run of a task takes its cost. It returns the runs per task and
// the time that they took.
func run(s *Scheduler, from, to time.Duration, pressure float64, cost []time.Duration, more []bool) (runs []int, spent time.Duration) {
	runs = make([]int, len(cost))
	for now := from; now < to; {
		i, wait := s.Next(now, pressure)
		if i < 0 {
			now += wait
			continue
		}
		now += cost[i]
		spent += cost[i]
		runs[i]++
		s.Done(i, now, cost[i], more[i])
	}
	return runs, spent
}

func TestWorkStaysWithinShare(t *testing.T) {
	for pressure, limit := range map[float64]time.Duration{0: 2100 * ms, 0.5: 1100 * ms, 1: 300 * ms, 7: 300 * ms} {
		s := New(Budget{Share: 0.2, Burst: 50 * ms}, []Task{{Name: "compress", Priority: 1, Interval: time.Second}}, 0)
		if _, spent := run(s, 0, 10*time.Second, pressure, []time.Duration{20 * ms}, []bool{true}); spent > limit || spent < limit/2 {
			t.Errorf("pressure %v: %v of 10 s spent, want at most %v and at least half of that", pressure, spent, limit)
		}
	}
}

// A task of the lowest priority that always has more work must starve neither tasks of higher priority nor tasks whose
// maximum delay has passed.
func TestPrioritiesAndMaxDelays(t *testing.T) {
	s := New(Budget{Share: 0.05, Burst: 10 * ms}, []Task{{Name: "verify", Priority: 3, Interval: time.Second},
		{Name: "seal", Priority: 0, Interval: 500 * ms, MaxDelay: 500 * ms}, {Name: "expire", Priority: 2, Interval: time.Second, MaxDelay: 5 * time.Second}}, 0)
	runs, _ := run(s, 0, 60*time.Second, 1, []time.Duration{50 * ms, ms, ms}, []bool{true, false, false})
	if runs[1] < 55 || runs[2] < 9 || runs[0] < 3 {
		t.Errorf("runs %v", runs)
	}
}

// A task may exceed its maximum delay only by the runs of other overdue tasks, 10 ms for each task. When no task runs,
// Next must return a positive wait.
func TestMaxDelayIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 5).Draw(t, "tasks")
		var tasks []Task
		for range n {
			tasks = append(tasks, Task{Priority: rapid.IntRange(0, 2).Draw(t, "class"), Interval: time.Duration(rapid.IntRange(1, 500).Draw(t, "every")) * ms,
				MaxDelay: time.Duration(rapid.IntRange(1, 500).Draw(t, "deadline")) * ms})
		}
		s := New(Budget{Share: 0.1, Burst: 20 * ms}, tasks, 0)
		now := time.Duration(0)
		for range 300 {
			i, wait := s.Next(now, rapid.Float64Range(0, 2).Draw(t, "pressure"))
			for k, task := range tasks {
				if late := now - s.due[k] - task.MaxDelay; late > time.Duration(n)*10*ms {
					t.Fatalf("task %d is %v past its maximum delay", k, late)
				}
			}
			if i < 0 {
				if wait <= 0 {
					t.Fatal("no task to run and no time to wait")
				}
				now += wait
				continue
			}
			now += 10 * ms
			s.Done(i, now, 10*ms, false)
		}
	})
}
