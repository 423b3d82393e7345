package slowstart

import (
	"fmt"
	"math"
	"slices"
)

// Summary describes the distribution of the worst ratio of calls to the budget and of the recovery time over results.
func Summary(all []Result) string {
	worst := make([]float64, len(all))
	recovery := make([]float64, len(all))
	never := 0
	for i, r := range all {
		worst[i], recovery[i] = r.WorstRatio, r.RecoverySeconds
		if r.RecoverySeconds < 0 {
			recovery[i] = math.Inf(1)
			never++
		}
	}
	slices.Sort(worst)
	slices.Sort(recovery)
	return fmt.Sprintf("worst share of the budget p50 %.2f, p90 %.2f, most %.2f; in full use after p50 %s, p90 %s, %d of %d never",
		quantile(worst, 0.5), quantile(worst, 0.9), quantile(worst, 1), formatSeconds(quantile(recovery, 0.5)), formatSeconds(quantile(recovery, 0.9)), never, len(all))
}

// formatSeconds formats a time in seconds, infinity as "never".
func formatSeconds(s float64) string {
	if math.IsInf(s, 1) {
		return "never"
	}
	return fmt.Sprintf("%.1f s", s)
}

// quantile returns the q-quantile of sorted values without interpolation, 0 where there is none.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
