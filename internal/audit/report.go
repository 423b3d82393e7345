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

// Text is a record in words.
func (r *Record) Text() string {
	var b strings.Builder
	add := func(on bool, format string, a ...any) {
		if on {
			if b.Len() > 0 {
				b.WriteString(", ")
			}
			fmt.Fprintf(&b, format, a...)
		}
	}
	add(r.Attempt > 0, "attempt %d", r.Attempt)
	add(r.Endpoint != "", "at %s", r.Endpoint)
	add(r.Partner != "" && r.Kind == Accepted, "for %s, class %s, tenant %s, %d bytes, time %v", r.Partner, r.Class, r.Tenant, r.Size, micros(r.LifetimeMicros))
	add(r.Result != "", "%s", r.Result)
	add(r.Kind == AttemptEnded && !r.PossiblyExecuted, "proved not to have run")
	add(r.Kind == AttemptEnded && r.PossiblyExecuted && r.Result != "ok", "may have run")
	add(r.WaitMicros > 0, "wait %v", micros(r.WaitMicros))
	add(r.TookMicros > 0, "took %v", micros(r.TookMicros))
	add(r.Detail != "", "%s", r.Detail)
	add(r.Reason != "", "decided: %s", r.Reason)
	add(r.AfterAnswer, "after the final answer, which it does not change")
	add(r.Attempts > 0, "%d attempts in all", r.Attempts)
	add(r.Count > 0, "%d records", r.Count)
	return b.String()
}

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// Report is a time of a trail summed up.
type Report struct {
	From, To  time.Time
	Intervals []Interval // the time in equal parts
	Partners  []*PartnerSummary
	Attempts  []Bar // messages by how many attempts they took
	Reasons   []Bar // of messages not served
	Messages  int
}

// Interval is a part of the time.
type Interval struct {
	At                                 time.Time
	Served, Refused, Failed, Withdrawn int
}

// PartnerSummary is a partner's part.
type PartnerSummary struct {
	Name                               string
	Served, Refused, Failed, Withdrawn int
	Attempts, Waits                    int
	LongestWait                        time.Duration
	took                               *hdrhistogram.Histogram
}

// P50 and P99 are how long attempts took that were answered.
func (p *PartnerSummary) P50() time.Duration { return micros(p.took.ValueAtQuantile(50)) }

// P99 is the 99th percentile.
func (p *PartnerSummary) P99() time.Duration { return micros(p.took.ValueAtQuantile(99)) }

// Bar is a count with its name.
type Bar struct {
	Name     string
	Count    int
	Fraction float64 // of the largest
}

const slots = 60

// Summarize reads a time of a trail.
func Summarize(store *logstore.Store, from, to time.Time) (*Report, error) {
	rep := &Report{From: from, To: to, Intervals: make([]Interval, slots)}
	by, tries, reasons := map[string]*PartnerSummary{}, map[string]int{}, map[string]int{}
	for i := range rep.Intervals {
		rep.Intervals[i].At = from.Add(to.Sub(from) * time.Duration(i) / slots)
	}
	err := store.Read(0, func(_ uint64, payload []byte) error {
		r, err := parse(payload)
		if err != nil || r.Time().Before(from) || !r.Time().Before(to) || r.Partner == "" {
			return err
		}
		p := by[r.Partner]
		if p == nil {
			p = &PartnerSummary{Name: r.Partner, took: hdrhistogram.New(1, 3600e6, 2)}
			by[r.Partner] = p
		}
		slot := &rep.Intervals[int(r.Time().Sub(from)*slots/to.Sub(from))]
		switch r.Kind {
		case AttemptEnded:
			p.Attempts++
			if r.WaitMicros > 0 {
				p.Waits++
				p.LongestWait = max(p.LongestWait, micros(r.WaitMicros))
			}
			if r.Status > 0 {
				_ = p.took.RecordValue(max(1, min(r.TookMicros, 3600e6)))
			}
		case Answered, Withdrawn:
			rep.Messages++
			outcome(r, p, slot)
			if r.Kind == Answered {
				tries[fmt.Sprint(r.Attempts)]++
				if r.Result != "served" {
					why := r.Reason
					if why == "" {
						why = r.Detail
					}
					reasons[r.Result+": "+why]++
				}
			}
		}
		return nil
	}, nil)
	for _, p := range by {
		rep.Partners = append(rep.Partners, p)
	}
	slices.SortFunc(rep.Partners, func(a, b *PartnerSummary) int { return strings.Compare(a.Name, b.Name) })
	rep.Attempts, rep.Reasons = bars(tries, false), bars(reasons, true)
	return rep, err
}

func outcome(r *Record, p *PartnerSummary, s *Interval) {
	switch {
	case r.Kind == Withdrawn:
		p.Withdrawn++
		s.Withdrawn++
	case r.Result == "served":
		p.Served++
		s.Served++
	case r.Result == "refused":
		p.Refused++
		s.Refused++
	default:
		p.Failed++
		s.Failed++
	}
}

// bars puts counts in order: by count or by name; twenty at most.
func bars(of map[string]int, byCount bool) (all []Bar) {
	most := 1
	for name, n := range of {
		all = append(all, Bar{Name: name, Count: n})
		most = max(most, n)
	}
	slices.SortFunc(all, func(a, b Bar) int {
		if byCount && a.Count != b.Count {
			return b.Count - a.Count
		}
		return strings.Compare(a.Name, b.Name)
	})
	for i := range all {
		all[i].Fraction = float64(all[i].Count) / float64(most)
	}
	return all[:min(20, len(all))]
}

//go:embed report.html
var page string

var pageTemplate = template.Must(template.New("report").Funcs(template.FuncMap{
	"percent": func(part float64) string { return fmt.Sprintf("%.1f", 100*part) },
	"height": func(n int, slots []Interval) float64 {
		most := 1
		for _, s := range slots {
			most = max(most, s.Served+s.Refused+s.Failed+s.Withdrawn)
		}
		return 120 * float64(n) / float64(most)
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
}).Parse(page))

// Write writes the report as one HTML page that needs nothing else.
func (r *Report) Write(w io.Writer) error { return pageTemplate.Execute(w, r) }
