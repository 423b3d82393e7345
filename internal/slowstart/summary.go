package slowstart

import (
	"fmt"
	"math"
	"slices"
)

// Summary tells how plays were distributed: the worst share of the budget, and when the destination was in full use again.
func Summary(all []Result) string {
	worst := make([]float64, len(all))
	back := make([]float64, len(all))
	never := 0
	for i, r := range all {
		worst[i], back[i] = r.WorstRatio, r.RecoverySeconds
		if r.RecoverySeconds < 0 {
			back[i] = math.Inf(1)
			never++
		}
	}
	slices.Sort(worst)
	slices.Sort(back)
	return fmt.Sprintf("worst share of the budget p50 %.2f, p90 %.2f, most %.2f; in full use after p50 %s, p90 %s, %d of %d never",
		quantile(worst, 0.5), quantile(worst, 0.9), quantile(worst, 1), after(quantile(back, 0.5)), after(quantile(back, 0.9)), never, len(all))
}

func after(s float64) string {
	if math.IsInf(s, 1) {
		return "never"
	}
	return fmt.Sprintf("%.1f s", s)
}

// quantile of sorted values, the nearest one above.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
