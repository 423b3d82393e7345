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

// IdleOptions are the parameters of a measurement with many idle partners.
type IdleOptions struct {
	// Partners is the number of all partners.
	Partners int
	// Busy is how many of the partners get the steady load.
	Busy int
	// Rate is the rate of the steady load in messages a second.
	Rate float64
	// Wake is how many idle partners get one message each. The messages are spread over a run.
	Wake int
	// For is the length of each run.
	For time.Duration
	// Pairs is the number of pairs of runs, one without and one with the idle partners.
	Pairs int
}

// idleSettings returns settings for n partners that share the given addresses. The total number of outbound connections
// is bounded.
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

// Idle measures the latency of the busy partners with and without idle partners, in alternating runs.
func Idle(ctx context.Context, w io.Writer, o IdleOptions) error {
	log := partner.NewLog(0)
	standIn := partner.New(partner.Config{Name: "all", ServiceTime: 2 * time.Millisecond, MaxStreams: 1000, Seed: 1}, log)
	defer standIn.Close()
	var addrs []string
	for range 4 {
		e, err := standIn.Listen("127.0.0.1:0")
		if err != nil {
			return err
		}
		addrs = append(addrs, e.Addr().String())
	}
	alone, withIdle := hdrhistogram.New(1, 60e6, 3), hdrhistogram.New(1, 60e6, 3)
	var idleBytes, served, woken int
	fmt.Fprintf(w, "%-6s %22s %22s\n", "pair", "busy alone p50 p99 ms", "beside idle p50 p99 ms")
	for pair := range o.Pairs {
		aloneRun, _, _, err := o.measure(ctx, o.Busy, 0, addrs)
		if err != nil {
			return err
		}
		idleRun, bytesEach, wokenServed, err := o.measure(ctx, o.Partners, o.Wake, addrs)
		if err != nil {
			return err
		}
		alone.Merge(aloneRun)
		withIdle.Merge(idleRun)
		idleBytes, served, woken = bytesEach, served+wokenServed, woken+o.Wake
		quantileMs := func(h *hdrhistogram.Histogram, x float64) float64 { return float64(h.ValueAtQuantile(x)) / 1000 }
		fmt.Fprintf(w, "%-6d %14.2f %7.2f %14.2f %7.2f\n", pair+1, quantileMs(aloneRun, 50), quantileMs(aloneRun, 99), quantileMs(idleRun, 50), quantileMs(idleRun, 99))
	}
	ratio := func(x float64) float64 {
		return float64(withIdle.ValueAtQuantile(x)) / float64(alone.ValueAtQuantile(x))
	}
	fmt.Fprintf(w, "all pairs: p50 x%.2f, p99 x%.2f; %d partners, %d busy, %d bytes for each idle one; %d of %d woken ones served\n",
		ratio(50), ratio(99), o.Partners, o.Busy, idleBytes, served, woken)
	return nil
}

// heapInUse returns the bytes of allocated heap objects after two garbage collections.
func heapInUse() int {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc)
}

// measure does one run with the given number of partners, of which wake idle ones get one message each. It returns the
// latencies of the busy partners in microseconds without the first tenth of the run, the heap bytes for each partner,
// and the number of served messages to idle partners.
func (o IdleOptions) measure(ctx context.Context, partners, wake int, addrs []string) (h *hdrhistogram.Histogram, bytesEach, served int, err error) {
	before := heapInUse()
	dispatcher, err := startDispatcher(idleSettings(partners, addrs))
	if err != nil {
		return nil, 0, 0, err
	}
	defer dispatcher.Kill()
	bytesEach = (heapInUse() - before) / partners
	client := load.NewClient(dispatcher.Addr().String(), 4)
	defer client.Close()
	total := int(o.Rate * o.For.Seconds())
	var messages []load.Message
	for i := range total {
		messages = append(messages, load.Message{At: time.Duration(float64(i) / o.Rate * float64(time.Second)), CorrelationID: "b", Class: "status",
			Path: fmt.Sprintf("/p%d", i%o.Busy), TTL: 20, BodySize: 128, Partner: "busy"})
		if k := i * wake / total; k != (i+1)*wake/total {
			for j := k; j < (i+1)*wake/total; j++ {
				messages = append(messages, load.Message{At: messages[len(messages)-1].At, CorrelationID: "w", Class: "status", Path: fmt.Sprintf("/p%d", o.Busy+j), TTL: 20, BodySize: 128})
			}
		}
	}
	h = hdrhistogram.New(1, 60e6, 3)
	start := clock.StartStopwatch()
	for _, r := range load.Run(ctx, client, messages, func() time.Duration { return start.Elapsed() }, 20000) {
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
