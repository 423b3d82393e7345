package audit

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"whinrun/internal/logstore"
)

// Text returns a description of the record in words.
func (r *Record) Text() string {
	var b strings.Builder
	add := func(condition bool, format string, a ...any) {
		if condition {
			if b.Len() > 0 {
				b.WriteString(", ")
			}
			fmt.Fprintf(&b, format, a...)
		}
	}
	add(r.Attempt > 0, "attempt %d", r.Attempt)
	add(r.Endpoint != "", "at %s", r.Endpoint)
	add(r.Partner != "" && r.Kind == Accepted, "for %s, class %s, tenant %s, %d bytes, time %v", r.Partner, r.Class, r.Tenant, r.Size, microseconds(r.LifetimeMicros))
	add(r.Result != "", "%s", r.Result)
	add(r.Kind == AttemptEnded && !r.PossiblyExecuted, "proved not to have run")
	add(r.Kind == AttemptEnded && r.PossiblyExecuted && r.Result != "ok", "may have run")
	add(r.WaitMicros > 0, "wait %v", microseconds(r.WaitMicros))
	add(r.TookMicros > 0, "took %v", microseconds(r.TookMicros))
	add(r.Detail != "", "%s", r.Detail)
	add(r.Reason != "", "decided: %s", r.Reason)
	add(r.AfterAnswer, "after the final answer, which it does not change")
	add(r.Attempts > 0, "%d attempts in all", r.Attempts)
	add(r.Count > 0, "%d records", r.Count)
	return b.String()
}

// microseconds returns the duration of n microseconds.
func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// Report summarizes the trail of a period of time.
type Report struct {
	// From and To are the start and the end of the period. To is not part of it.
	From, To time.Time
	// Intervals divides the period into equal parts.
	Intervals []Interval
	// Partners are sorted by name.
	Partners []*PartnerSummary
	// Attempts counts the messages by their number of attempts.
	Attempts []Bar
	// Reasons counts the messages that were not served by result and reason.
	Reasons []Bar
	// Messages is the number of messages that ended.
	Messages int
}

// Interval counts the messages that ended in a part of the period, which starts at At, by outcome.
type Interval struct {
	At                                 time.Time
	Served, Refused, Failed, Withdrawn int
}

// PartnerSummary summarizes the messages and attempts to one partner.
type PartnerSummary struct {
	Name string
	// Served, Refused, Failed and Withdrawn count the messages that ended by outcome.
	Served, Refused, Failed, Withdrawn int
	// Attempts counts the attempts that ended, and Waits those whose response asked for a wait.
	Attempts, Waits int
	// LongestWait is the longest wait that was asked for.
	LongestWait time.Duration
	took        *hdrhistogram.Histogram // durations of the attempts that got a response, in microseconds
}

// P50 returns the median duration of the attempts that got a response.
func (p *PartnerSummary) P50() time.Duration { return microseconds(p.took.ValueAtQuantile(50)) }

// P99 returns the 99th percentile of the duration of the attempts that got a response.
func (p *PartnerSummary) P99() time.Duration { return microseconds(p.took.ValueAtQuantile(99)) }

// Bar is one bar of a chart.
type Bar struct {
	Name     string
	Count    int
	Fraction float64 // Count divided by the largest Count of the chart
}

// reportIntervals is the number of intervals in a report.
const reportIntervals = 60

// Summarize reads the trail and returns the report for the period from from up to, but not including, to.
func Summarize(store *logstore.Store, from, to time.Time) (*Report, error) {
	report := &Report{From: from, To: to, Intervals: make([]Interval, reportIntervals)}
	byPartner, attempts, reasons := map[string]*PartnerSummary{}, map[string]int{}, map[string]int{}
	for i := range report.Intervals {
		report.Intervals[i].At = from.Add(to.Sub(from) * time.Duration(i) / reportIntervals)
	}
	err := store.Read(0, func(_ uint64, payload []byte) error {
		r, err := parse(payload)
		if err != nil || r.Time().Before(from) || !r.Time().Before(to) || r.Partner == "" {
			return err
		}
		p := byPartner[r.Partner]
		if p == nil {
			p = &PartnerSummary{Name: r.Partner, took: hdrhistogram.New(1, 3600e6, 2)}
			byPartner[r.Partner] = p
		}
		interval := &report.Intervals[int(r.Time().Sub(from)*reportIntervals/to.Sub(from))]
		switch r.Kind {
		case AttemptEnded:
			p.Attempts++
			if r.WaitMicros > 0 {
				p.Waits++
				p.LongestWait = max(p.LongestWait, microseconds(r.WaitMicros))
			}
			if r.Status > 0 {
				_ = p.took.RecordValue(max(1, min(r.TookMicros, 3600e6)))
			}
		case Answered, Withdrawn:
			report.Messages++
			countOutcome(r, p, interval)
			if r.Kind == Answered {
				attempts[fmt.Sprint(r.Attempts)]++
				if r.Result != "served" {
					reason := r.Reason
					if reason == "" {
						reason = r.Detail
					}
					reasons[r.Result+": "+reason]++
				}
			}
		}
		return nil
	}, nil)
	for _, p := range byPartner {
		report.Partners = append(report.Partners, p)
	}
	slices.SortFunc(report.Partners, func(a, b *PartnerSummary) int { return strings.Compare(a.Name, b.Name) })
	report.Attempts, report.Reasons = bars(attempts, false), bars(reasons, true)
	return report, err
}

// countOutcome counts the outcome of a message for its partner and its interval.
func countOutcome(r *Record, p *PartnerSummary, interval *Interval) {
	switch {
	case r.Kind == Withdrawn:
		p.Withdrawn++
		interval.Withdrawn++
	case r.Result == "served":
		p.Served++
		interval.Served++
	case r.Result == "refused":
		p.Refused++
		interval.Refused++
	default:
		p.Failed++
		interval.Failed++
	}
}

// bars returns up to 20 counts as bars, sorted by name or, if byCount is set, by descending count.
func bars(counts map[string]int, byCount bool) (all []Bar) {
	largest := 1
	for name, n := range counts {
		all = append(all, Bar{Name: name, Count: n})
		largest = max(largest, n)
	}
	slices.SortFunc(all, func(a, b Bar) int {
		if byCount && a.Count != b.Count {
			return b.Count - a.Count
		}
		return strings.Compare(a.Name, b.Name)
	})
	for i := range all {
		all[i].Fraction = float64(all[i].Count) / float64(largest)
	}
	return all[:min(20, len(all))]
}

// reportHTML is the template of the report.
//
//go:embed report.html
var reportHTML string

// reportTemplate is the parsed template of the report, with the functions that it uses.
var reportTemplate = template.Must(template.New("report").Funcs(template.FuncMap{
	"percent": func(part float64) string { return fmt.Sprintf("%.1f", 100*part) },
	"height": func(n int, intervals []Interval) float64 {
		largest := 1
		for _, s := range intervals {
			largest = max(largest, s.Served+s.Refused+s.Failed+s.Withdrawn)
		}
		return 120 * float64(n) / float64(largest)
	},
	"add": func(a ...int) (n int) {
		for _, x := range a {
			n += x
		}
		return n
	},
	"sub":   func(a, b float64) float64 { return a - b },
	"mul":   func(a, b int) int { return a * b },
	"time":  func(t time.Time) string { return t.UTC().Format("2006-01-02 15:04:05") },
	"short": func(d time.Duration) string { return d.Round(100 * time.Microsecond).String() },
}).Parse(reportHTML))

// Write writes the report as a self-contained HTML page.
func (r *Report) Write(w io.Writer) error { return reportTemplate.Execute(w, r) }
