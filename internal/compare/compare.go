// Package compare measures a dispatcher beside what a user would pick otherwise, httputil.ReverseProxy over HTTP/2,
// and beside the stand-in called directly: in one run, on the same stand-ins, in turns.
package compare

import (
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"whinrun/internal/clock"
	"whinrun/internal/config"
	"whinrun/internal/load"
	"whinrun/internal/logs"
	"whinrun/internal/partner"
	"whinrun/internal/service"
)

// Options of a comparison.
type Options struct {
	Conns       int
	Concurrency int
	For         time.Duration // of each measurement
	Rounds      int
	Pace        time.Duration // mean time of a call at the stand-in
	Size        int
	Rate        float64 // at which latency is measured; 0 is half of what the slowest bears
}

const settings = `[dispatcher]
listen = 127.0.0.1:0
log = error
[limits]
slots = 4096
hold = 100000
streams = 1000
abuse-burst = 1000000
[outbound]
connections = 8
streams = 100
[class status]
effect = safe
aim = 5s
deadline = 20s
[tenant t]
[kind k]
[partner p]
kind = k
path = /p/status
endpoints = %s
[push /p/status]
partner = p
class = status
tenant = t
`

// target is one way to the stand-in.
type target struct {
	name       string
	addr       string
	amqp       bool // by publish and confirm
	throughput []float64
	latency    *hdrhistogram.Histogram
}

// Run measures all three and writes the table.
func Run(ctx context.Context, w io.Writer, o Options) error {
	direct, s, stop, err := standIn(partner.Config{ServiceTime: o.Pace}, settings)
	if err != nil {
		return err
	}
	defer stop()
	proxy, stopProxy, err := startProxy(direct, o.Conns)
	if err != nil {
		return err
	}
	defer stopProxy()
	targets := []*target{{name: "direct", addr: direct}, {name: "ReverseProxy", addr: proxy}, {name: "whinrun", addr: s.Addr().String()}}
	if err := inTurns(ctx, w, o, targets); err != nil {
		return err
	}
	return memory(ctx, w, o)
}

// standIn starts a stand-in that talks to many at once, and a dispatcher in front of it; %s in the settings is its address.
func standIn(cfg partner.Config, text string) (addr string, s *service.Service, stop func(), err error) {
	cfg.Name, cfg.MaxStreams, cfg.Seed = "p", 1000, 1
	p := partner.New(cfg, partner.NewLog(0))
	e, err := p.Listen("127.0.0.1:0")
	if err != nil {
		return "", nil, nil, err
	}
	if s, err = startDispatcher(fmt.Sprintf(text, e.Addr())); err != nil {
		p.Close()
		return "", nil, nil, err
	}
	return e.Addr().String(), s, func() { s.Kill(); p.Close() }, nil
}

// inTurns measures all targets and writes the table.
func inTurns(ctx context.Context, w io.Writer, o Options, targets []*target) error {
	for _, t := range targets {
		t.latency = hdrhistogram.New(1, 60e6, 3)
	}
	for round := range o.Rounds {
		for i := range targets {
			t := targets[(i+round)%len(targets)]
			if err := t.saturate(ctx, o); err != nil {
				return err
			}
		}
	}
	slowest := slices.MinFunc(targets, func(a, b *target) int { return int(median(a.throughput) - median(b.throughput)) })
	rate := median(slowest.throughput) / 2
	if o.Rate > 0 {
		rate = o.Rate
	}
	for round := range o.Rounds {
		for i := range targets {
			t := targets[(i+round)%len(targets)]
			t.halfLoad(ctx, o, rate)
		}
	}
	fmt.Fprintf(w, "stand-in pace %v, bodies of %d bytes, %d connections, %d at once; %d rounds of %v in turns; %d cores\n", o.Pace, o.Size, o.Conns,
		o.Concurrency, o.Rounds, o.For, runtime.NumCPU())
	fmt.Fprintf(w, "%-14s %14s %26s\n", "", "messages/s", fmt.Sprintf("at %.0f/s: p50 p99 p99.9 ms", rate))
	for _, t := range targets {
		q := func(x float64) float64 { return float64(t.latency.ValueAtQuantile(x)) / 1000 }
		fmt.Fprintf(w, "%-14s %14.0f %10.2f %7.2f %7.2f\n", t.name, median(t.throughput), q(50), q(99), q(99.9))
	}
	return nil
}

// startDispatcher starts a dispatcher with the settings given.
func startDispatcher(text string) (*service.Service, error) {
	cfg, err := config.Parse("settings of the measurement", []byte(text))
	if err != nil {
		return nil, err
	}
	lines, err := logs.New(io.Discard, "error", 1)
	if err != nil {
		return nil, err
	}
	return service.Start(cfg, lines, nil)
}

// memory measures what a held message takes beside its body: many are held for a partner that answers nothing.
func memory(ctx context.Context, w io.Writer, o Options) error {
	const held = 20000
	text := strings.Replace(settings, "slots = 4096", "slots = 16", 1)
	s, err := startDispatcher(fmt.Sprintf(text, "127.0.0.1:1"))
	if err != nil {
		return err
	}
	defer s.Kill()
	before := heapNow()
	conns, err := holdRaw(s.Addr().String(), held, o.Size)
	defer closeAll(conns)
	if err != nil {
		return err
	}
	for s.Stats().Open < held*99/100 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
	after := heapNow()
	n := s.Stats().Open
	fmt.Fprintf(w, "memory: %d messages held for a partner that is down: %d bytes each beside the body, its stream's share with it\n", n,
		(after-before)/n-o.Size)
	return nil
}

func median(x []float64) float64 {
	s := slices.Sorted(slices.Values(x))
	return s[len(s)/2]
}

// startProxy starts the reverse proxy, HTTP/2 in clear text on both sides.
func startProxy(to string, conns int) (addr string, stop func(), err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	var p http.Protocols
	p.SetUnencryptedHTTP2(true)
	h := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: to})
	h.Transport = &http.Transport{Protocols: &p, MaxConnsPerHost: conns}
	h.ErrorLog = log.New(io.Discard, "", 0) // messages cut off at the end of a measurement are no news
	srv := &http.Server{Handler: h, Protocols: &p, HTTP2: &http.HTTP2Config{MaxConcurrentStreams: 1000}}
	go func() { _ = srv.Serve(ln) }()
	return ln.Addr().String(), func() { _ = srv.Close() }, nil
}

// client connects to the target, in its protocol.
func (t *target) client(conns int) (load.Sender, func()) {
	if t.amqp {
		p := load.NewPublisher(t.addr, "t", "-", conns)
		return p, p.Close
	}
	c := load.NewClient(t.addr, conns)
	return c, c.Close
}

// saturate measures throughput at a fixed number of messages out.
func (t *target) saturate(ctx context.Context, o Options) error {
	c, shut := t.client(o.Conns)
	defer shut()
	ctx, stop := context.WithTimeout(ctx, o.For)
	defer stop()
	var done, bad atomic.Int64
	var all sync.WaitGroup
	start := clock.StartStopwatch()
	for i := range o.Concurrency {
		all.Add(1)
		go func() {
			defer all.Done()
			m := load.Message{CorrelationID: fmt.Sprint("w", i), Class: "status", Path: "/p/status", TTL: 20, BodySize: o.Size}
			for ctx.Err() == nil {
				status, _, _, err := c.Send(ctx, &m)
				switch {
				case err == nil && status == 201:
					done.Add(1)
				case ctx.Err() == nil:
					bad.Add(1)
				}
			}
		}()
	}
	all.Wait()
	t.throughput = append(t.throughput, float64(done.Load())/start.Elapsed().Seconds())
	if n := bad.Load(); n > done.Load()/1000 {
		return fmt.Errorf("%s: %d of %d messages not served", t.name, n, n+done.Load())
	}
	return nil
}

// halfLoad measures latency at a fixed rate, from when each message was due.
func (t *target) halfLoad(ctx context.Context, o Options, rate float64) {
	c, shut := t.client(o.Conns)
	defer shut()
	n := int(rate * o.For.Seconds())
	msgs := make([]load.Message, n)
	for i := range msgs {
		msgs[i] = load.Message{At: time.Duration(float64(i) / rate * float64(time.Second)), CorrelationID: "h", Class: "status", Path: "/p/status", TTL: 20, BodySize: o.Size}
	}
	start := clock.StartStopwatch()
	for i, r := range load.Run(ctx, c, msgs, func() time.Duration { return start.Elapsed() }, o.Concurrency*4) {
		if r.Status == 201 && i > n/10 { // the first tenth warms connections up
			_ = t.latency.RecordValue(max(1, (r.Done - r.At).Microseconds()))
		}
	}
}
