package platform

import (
	"fmt"
	"time"
)

// silenceReportAfter is the time without a sign of life from discovery until the first report. Changes count as received
// 6 s after a silence began.
const silenceReportAfter = 5 * time.Second

// discoverySilence decides when a silence of discovery is reported. It does no I/O.
type discoverySilence struct {
	// heardAt is when the last sign of life arrived, or when discovery's address was set.
	heardAt time.Duration
	// reportAfter is how long the silence lasts at the next report. It doubles with each.
	reportAfter time.Duration
	// opened counts the watches that were opened since heardAt.
	opened int
}

// newDiscoverySilence returns the state at a time from which discovery is to be heard.
func newDiscoverySilence(now time.Duration) discoverySilence {
	return discoverySilence{heardAt: now, reportAfter: silenceReportAfter}
}

// report returns a text for the log if a report is due, and otherwise an empty text.
func (s *discoverySilence) report(now time.Duration) string {
	silent := now - s.heardAt
	if silent < s.reportAfter {
		return ""
	}
	s.reportAfter *= 2
	return fmt.Sprintf("silent for %.1f s, %d watches opened meanwhile", silent.Seconds(), s.opened)
}

// end records a sign of life on a watch of the given age. It returns a text for the log if the silence was reported, and
// otherwise an empty text.
func (s *discoverySilence) end(now, age time.Duration) string {
	silent, reported, opened := now-s.heardAt, s.reportAfter > silenceReportAfter, s.opened
	*s = newDiscoverySilence(now)
	if !reported {
		return ""
	}
	return fmt.Sprintf("heard again after %.1f s, on a watch of %.1f s, %d watches opened meanwhile", silent.Seconds(), age.Seconds(), opened)
}
