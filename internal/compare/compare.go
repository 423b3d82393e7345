// Package compare benchmarks a dispatcher against the usual alternative, httputil.ReverseProxy over HTTP/2, and against
// direct calls of the stand-in partner. All targets are measured in one run on the same stand-ins, in turns.
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

// Options are the parameters of a comparison.
type Options struct {
	// Conns is the number of client connections.
	Conns int
	// Concurrency is the number of messages in flight while throughput is measured.
	Concurrency int
	// For is the length of each measurement.
	For time.Duration
	// Rounds is how often each target is measured.
	Rounds int
	// Pace is the mean service time of a call at the stand-in.
	Pace time.Duration
	// Size is the body size in bytes.
	Size int
	// Rate is the rate in messages a second at which latency is measured. 0 means half of the median throughput of the
	// slowest target.
	Rate float64
}

// settingsTemplate holds the dispatcher's settings; %s is the address of the stand-in.
const settingsTemplate = `[dispatcher]
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

// target is a server under test that leads to the stand-in.
type target struct {
	name       string
	addr       string
	amqp       bool                    // send over AMQP with publisher confirms
	throughput []float64               // messages a second, one value a round
	latency    *hdrhistogram.Histogram // microseconds
}

// Run measures the stand-in, the reverse proxy and the dispatcher, then the dispatcher's memory, and writes the results.
func Run(ctx context.Context, w io.Writer, o Options) error {
	direct, dispatcher, stop, err := startStandIn(partner.Config{ServiceTime: o.Pace}, settingsTemplate)
	if err != nil {
		return err
	}
	defer stop()
	proxy, stopProxy, err := startProxy(direct, o.Conns)
	if err != nil {
		return err
	}
	defer stopProxy()
	targets := []*target{{name: "direct", addr: direct}, {name: "ReverseProxy", addr: proxy}, {name: "whinrun", addr: dispatcher.Addr().String()}}
	if err := measureInTurns(ctx, w, o, targets); err != nil {
		return err
	}
	return measureMemory(ctx, w, o)
}

// startStandIn starts a stand-in partner with 1000 streams a connection, and a dispatcher in front of it. The %s in the
// settings template is replaced by the address of the stand-in. addr is that address, and stop ends both.
func startStandIn(cfg partner.Config, template string) (addr string, dispatcher *service.Service, stop func(), err error) {
	cfg.Name, cfg.MaxStreams, cfg.Seed = "p", 1000, 1
	standIn := partner.New(cfg, partner.NewLog(0))
	e, err := standIn.Listen("127.0.0.1:0")
	if err != nil {
		return "", nil, nil, err
	}
	if dispatcher, err = startDispatcher(fmt.Sprintf(template, e.Addr())); err != nil {
		standIn.Close()
		return "", nil, nil, err
	}
	return e.Addr().String(), dispatcher, func() { dispatcher.Kill(); standIn.Close() }, nil
}

// measureInTurns measures throughput and then latency of all targets and writes the table. Each round starts with another
// target.
func measureInTurns(ctx context.Context, w io.Writer, o Options, targets []*target) error {
	for _, t := range targets {
		t.latency = hdrhistogram.New(1, 60e6, 3)
	}
	for round := range o.Rounds {
		for i := range targets {
			t := targets[(i+round)%len(targets)]
			if err := t.measureThroughput(ctx, o); err != nil {
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
			t.measureLatency(ctx, o, rate)
		}
	}
	fmt.Fprintf(w, "stand-in pace %v, bodies of %d bytes, %d connections, %d at once; %d rounds of %v in turns; %d cores\n", o.Pace, o.Size, o.Conns,
		o.Concurrency, o.Rounds, o.For, runtime.NumCPU())
	fmt.Fprintf(w, "%-14s %14s %26s\n", "", "messages/s", fmt.Sprintf("at %.0f/s: p50 p99 p99.9 ms", rate))
	for _, t := range targets {
		quantileMs := func(x float64) float64 { return float64(t.latency.ValueAtQuantile(x)) / 1000 }
		fmt.Fprintf(w, "%-14s %14.0f %10.2f %7.2f %7.2f\n", t.name, median(t.throughput), quantileMs(50), quantileMs(99), quantileMs(99.9))
	}
	return nil
}

// startDispatcher starts a dispatcher with the given settings and discards its log.
func startDispatcher(settings string) (*service.Service, error) {
	cfg, err := config.Parse("settings of the measurement", []byte(settings))
	if err != nil {
		return nil, err
	}
	logger, err := logs.New(io.Discard, "error", 1)
	if err != nil {
		return nil, err
	}
	return service.Start(cfg, logger, nil)
}

// measureMemory measures the memory that a held message takes in addition to its body. It sends 20000 messages for a partner
// that cannot be reached, so that the dispatcher holds them.
func measureMemory(ctx context.Context, w io.Writer, o Options) error {
	const held = 20000
	template := strings.Replace(settingsTemplate, "slots = 4096", "slots = 16", 1)
	dispatcher, err := startDispatcher(fmt.Sprintf(template, "127.0.0.1:1"))
	if err != nil {
		return err
	}
	defer dispatcher.Kill()
	before := heapInUse()
	conns, err := openHeldMessages(dispatcher.Addr().String(), held, o.Size)
	defer closeAll(conns)
	if err != nil {
		return err
	}
	for dispatcher.Stats().Open < held*99/100 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
	after := heapInUse()
	n := dispatcher.Stats().Open
	fmt.Fprintf(w, "memory: %d messages held for a partner that is down: %d bytes each beside the body, its stream's share with it\n", n,
		(after-before)/n-o.Size)
	return nil
}

// median returns the middle value, the upper one of an even number.
func median(values []float64) float64 {
	ascending := slices.Sorted(slices.Values(values))
	return ascending[len(ascending)/2]
}

// startProxy starts the reverse proxy with unencrypted HTTP/2 on both sides.
func startProxy(to string, conns int) (addr string, stop func(), err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: to})
	proxy.Transport = &http.Transport{Protocols: &protocols, MaxConnsPerHost: conns}
	proxy.ErrorLog = log.New(io.Discard, "", 0) // Requests that the end of a measurement cancels would fill the log.
	server := &http.Server{Handler: proxy, Protocols: &protocols, HTTP2: &http.HTTP2Config{MaxConcurrentStreams: 1000}}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), func() { _ = server.Close() }, nil
}

// newSender returns a sender for the protocol of the target, and a function that closes it.
func (t *target) newSender(conns int) (load.Sender, func()) {
	if t.amqp {
		p := load.NewPublisher(t.addr, "t", "-", conns)
		return p, p.Close
	}
	c := load.NewClient(t.addr, conns)
	return c, c.Close
}

// measureThroughput measures throughput with a fixed number of messages in flight. It fails if more than one message is
// not served for a thousand that are.
func (t *target) measureThroughput(ctx context.Context, o Options) error {
	sender, closeSender := t.newSender(o.Conns)
	defer closeSender()
	ctx, stop := context.WithTimeout(ctx, o.For)
	defer stop()
	var served, failed atomic.Int64
	var workers sync.WaitGroup
	start := clock.StartStopwatch()
	for i := range o.Concurrency {
		workers.Add(1)
		go func() {
			defer workers.Done()
			m := load.Message{CorrelationID: fmt.Sprint("w", i), Class: "status", Path: "/p/status", TTL: 20, BodySize: o.Size}
			for ctx.Err() == nil {
				status, _, _, err := sender.Send(ctx, &m)
				switch {
				case err == nil && status == 201:
					served.Add(1)
				case ctx.Err() == nil:
					failed.Add(1)
				}
			}
		}()
	}
	workers.Wait()
	t.throughput = append(t.throughput, float64(served.Load())/start.Elapsed().Seconds())
	if n := failed.Load(); n > served.Load()/1000 {
		return fmt.Errorf("%s: %d of %d messages not served", t.name, n, n+served.Load())
	}
	return nil
}

// measureLatency measures latency at a fixed rate, from the time at which each message was due.
func (t *target) measureLatency(ctx context.Context, o Options, rate float64) {
	sender, closeSender := t.newSender(o.Conns)
	defer closeSender()
	n := int(rate * o.For.Seconds())
	messages := make([]load.Message, n)
	for i := range messages {
		messages[i] = load.Message{At: time.Duration(float64(i) / rate * float64(time.Second)), CorrelationID: "h", Class: "status", Path: "/p/status", TTL: 20, BodySize: o.Size}
	}
	start := clock.StartStopwatch()
	for i, r := range load.Run(ctx, sender, messages, func() time.Duration { return start.Elapsed() }, o.Concurrency*4) {
		// The first tenth of the messages warms up the connections and is not counted.
		if r.Status == 201 && i > n/10 {
			_ = t.latency.RecordValue(max(1, (r.Done - r.At).Microseconds()))
		}
	}
}
