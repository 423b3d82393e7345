package slowstart

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
)

// sizes are how many dispatchers share a destination.
var sizes = []int{2, 25, 300, 900}

// Whatever the outage, however many dispatchers, restarts within it and uneven traffic included: together they stay within what a
// cold destination bears, and it is soon in full use again. WHINRUN_SEEDS plays more seeds than CI does.
func TestSumStaysWithinTheBudget(t *testing.T) {
	seeds := 12
	if n, err := strconv.Atoi(os.Getenv("WHINRUN_SEEDS")); err == nil {
		seeds = n
	}
	for _, size := range sizes {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			all := make([]Result, seeds)
			var plays sync.WaitGroup
			room := make(chan struct{}, 4)
			for i := range all {
				plays.Go(func() {
					room <- struct{}{}
					all[i] = Simulate(RandomConfig(uint64(i+1), size))
					<-room
				})
			}
			plays.Wait()
			for _, r := range all {
				if r.Violated {
					t.Errorf("seed %d (%v): %d calls at %.2f s, %.1f are borne; %.0f%% of those who had seen the outage", r.Seed, r.Outage, r.WorstCalls, r.WorstAt, r.WorstBound,
						100*r.AwareShare)
				}
			}
			t.Log(Summary(all))
		})
	}
}

// The same seed gives the same play.
func TestPlaysRepeat(t *testing.T) {
	for seed := range uint64(4) {
		if a, b := Simulate(RandomConfig(seed, 25)), Simulate(RandomConfig(seed, 25)); a != b {
			t.Errorf("seed %d: %+v and %+v", seed, a, b)
		}
	}
}

func TestSummary(t *testing.T) {
	all := []Result{{WorstRatio: 0.5, RecoverySeconds: 3}, {WorstRatio: 0.9, RecoverySeconds: -1}, {WorstRatio: 0.7, RecoverySeconds: 5}}
	if got := Summary(all); !slices.Contains([]string{"worst share of the budget p50 0.70, p90 0.90, most 0.90; in full use after p50 5.0 s, p90 never, 1 of 3 never"}, got) {
		t.Error(got)
	}
}
