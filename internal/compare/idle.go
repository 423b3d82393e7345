package compare

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"whinrun/internal/clock"
	"whinrun/internal/load"
	"whinrun/internal/partner"
)

// IdleOptions describe a measurement beside many idle destinations.
type IdleOptions struct {
	Partners int           // in all
	Busy     int           // of them, with all of the steady load
	Rate     float64       // messages a second to the busy ones
	Wake     int           // idle ones that get a message each, spread over a run
	For      time.Duration // of each run
	Pairs    int
}

// idleSettings are settings for n partners on the addresses given; connections to all of them are bounded.
func idleSettings(n int, addrs []string) string {
	var b strings.Builder
	b.WriteString("[dispatcher]\nlisten = 127.0.0.1:0\nlog = error\n[limits]\nslots = 512\nhold = 50000\n[outbound]\nconnections = 2\n" +
		"total = 3000\nidle = 10s\n[class status]\neffect = safe\naim = 2s\ndeadline = 20s\n[tenant t]\n[kind k]\n")
	for i := range n {
		fmt.Fprintf(&b, "[partner p%d]\nkind = k\npath = /p%d\nendpoints = %s\n[push /p%d]\npartner = p%d\nclass = status\ntenant = t\n",
			i, i, addrs[i%len(addrs)], i, i)
	}
	return b.String()
}

// Idle measures the delivery times of the busy partners with and without idle ones beside them, in alternated pairs.
func Idle(ctx context.Context, w io.Writer, o IdleOptions) error {
	log := partner.NewLog(0)
	p := partner.New(partner.Config{Name: "all", ServiceTime: 2 * time.Millisecond, MaxStreams: 1000, Seed: 1}, log)
	defer p.Close()
	var addrs []string
	for range 4 {
		e, err := p.Listen("127.0.0.1:0")
		if err != nil {
			return err
		}
		addrs = append(addrs, e.Addr().String())
	}
	alone, beside := hdrhistogram.New(1, 60e6, 3), hdrhistogram.New(1, 60e6, 3)
	var bytes, served, woken int
	fmt.Fprintf(w, "%-6s %22s %22s\n", "pair", "busy alone p50 p99 ms", "beside idle p50 p99 ms")
	for pair := range o.Pairs {
		a, _, _, err := o.run(ctx, o.Busy, 0, addrs)
		if err != nil {
			return err
		}
		b, per, ok, err := o.run(ctx, o.Partners, o.Wake, addrs)
		if err != nil {
			return err
		}
		alone.Merge(a)
		beside.Merge(b)
		bytes, served, woken = per, served+ok, woken+o.Wake
		q := func(h *hdrhistogram.Histogram, x float64) float64 { return float64(h.ValueAtQuantile(x)) / 1000 }
		fmt.Fprintf(w, "%-6d %14.2f %7.2f %14.2f %7.2f\n", pair+1, q(a, 50), q(a, 99), q(b, 50), q(b, 99))
	}
	ratio := func(x float64) float64 {
		return float64(beside.ValueAtQuantile(x)) / float64(alone.ValueAtQuantile(x))
	}
	fmt.Fprintf(w, "all pairs: p50 x%.2f, p99 x%.2f; %d partners, %d busy, %d bytes for each idle one; %d of %d woken ones served\n",
		ratio(50), ratio(99), o.Partners, o.Busy, bytes, served, woken)
	return nil
}

func heapNow() int {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc)
}

// run is one run with so many partners, of which wake get one message each.
func (o IdleOptions) run(ctx context.Context, partners, wake int, addrs []string) (h *hdrhistogram.Histogram, bytesEach, served int, err error) {
	before := heapNow()
	s, err := startDispatcher(idleSettings(partners, addrs))
	if err != nil {
		return nil, 0, 0, err
	}
	defer s.Kill()
	bytesEach = (heapNow() - before) / partners
	c := load.NewClient(s.Addr().String(), 4)
	defer c.Close()
	n := int(o.Rate * o.For.Seconds())
	var msgs []load.Message
	for i := range n {
		msgs = append(msgs, load.Message{At: time.Duration(float64(i) / o.Rate * float64(time.Second)), CorrelationID: "b", Class: "status",
			Path: fmt.Sprintf("/p%d", i%o.Busy), TTL: 20, BodySize: 128, Partner: "busy"})
		if k := i * wake / n; k != (i+1)*wake/n {
			for j := k; j < (i+1)*wake/n; j++ {
				msgs = append(msgs, load.Message{At: msgs[len(msgs)-1].At, CorrelationID: "w", Class: "status", Path: fmt.Sprintf("/p%d", o.Busy+j), TTL: 20, BodySize: 128})
			}
		}
	}
	h = hdrhistogram.New(1, 60e6, 3)
	start := clock.StartStopwatch()
	for _, r := range load.Run(ctx, c, msgs, func() time.Duration { return start.Elapsed() }, 20000) {
		switch {
		case r.Partner != "busy":
			if r.Status == 201 {
				served++
			}
		case r.Status == 201 && r.At > o.For/10:
			_ = h.RecordValue(max(1, (r.Done - r.At).Microseconds()))
		}
	}
	return h, bytesEach, served, ctx.Err()
}
