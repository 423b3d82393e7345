package slowstart

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
)

// dispatcherCounts are the numbers of dispatchers that share a destination.
var dispatcherCounts = []int{2, 25, 300, 900}

// For each kind of outage, number of dispatchers, restarts and uneven traffic, the dispatchers together stay within the
// budget of a cold destination. The log shows how soon it is in full use again. WHINRUN_SEEDS sets the number of seeds
// for runs longer than those of CI.
func TestSumStaysWithinTheBudget(t *testing.T) {
	seeds := 12
	if n, err := strconv.Atoi(os.Getenv("WHINRUN_SEEDS")); err == nil {
		seeds = n
	}
	for _, size := range dispatcherCounts {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			results := make([]Result, seeds)
			var simulations sync.WaitGroup
			slots := make(chan struct{}, 4)
			for i := range results {
				simulations.Go(func() {
					slots <- struct{}{}
					results[i] = Simulate(RandomConfig(uint64(i+1), size))
					<-slots
				})
			}
			simulations.Wait()
			for _, r := range results {
				if r.Violated {
					t.Errorf("seed %d (%v): %d calls in the window that ends at %.2f s, the budget is %.1f; %.0f%% came from dispatchers that had seen the outage", r.Seed, r.Outage, r.WorstCalls, r.WorstAt, r.WorstBound,
						100*r.AwareShare)
				}
			}
			t.Log(Summary(results))
		})
	}
}

// The same seed gives the same result.
func TestPlaysRepeat(t *testing.T) {
	for seed := range uint64(4) {
		if a, b := Simulate(RandomConfig(seed, 25)), Simulate(RandomConfig(seed, 25)); a != b {
			t.Errorf("seed %d: %+v and %+v", seed, a, b)
		}
	}
}

// Summary counts the runs that never recover as infinitely long.
func TestSummary(t *testing.T) {
	all := []Result{{WorstRatio: 0.5, RecoverySeconds: 3}, {WorstRatio: 0.9, RecoverySeconds: -1}, {WorstRatio: 0.7, RecoverySeconds: 5}}
	if got := Summary(all); !slices.Contains([]string{"worst share of the budget p50 0.70, p90 0.90, most 0.90; in full use after p50 5.0 s, p90 never, 1 of 3 never"}, got) {
		t.Error(got)
	}
}
