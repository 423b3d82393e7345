package abuse

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	amqp "github.com/rabbitmq/amqp091-go"

	"whinrun/internal/clock"
	"whinrun/internal/testbed"
)

// probe is a client that behaves. It asks for something small and waits for the answer.
type probe interface {
	// ask sends a request and waits for its answer.
	ask(ctx context.Context) error
	close()
}

// newProbe returns the probe of a front.
func newProbe(front Front, addr string) probe {
	switch front {
	case ServeHTTP2:
		var protocols http.Protocols
		protocols.SetUnencryptedHTTP2(true)
		return &http2Probe{addr, &http.Transport{Protocols: &protocols}}
	case ServeAMQP:
		return &amqpProbe{addr: addr}
	}
	return http1Probe{addr}
}

// http1Probe asks a node whether it is ready, on a new connection each time.
type http1Probe struct{ addr string }

func (p http1Probe) ask(ctx context.Context) error {
	c, err := dial(ctx, p.addr)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	if _, err := c.Write([]byte(readyRequest)); err != nil {
		return err
	}
	status, err := testbed.ReadStatus(c)
	if err == nil && status != 200 {
		err = fmt.Errorf("status %d", status)
	}
	return err
}

func (http1Probe) close() {}

// http2Probe hands in a message and waits for its final answer.
type http2Probe struct {
	addr      string
	transport *http.Transport
}

func (p *http2Probe) ask(ctx context.Context) error {
	request, err := http.NewRequestWithContext(ctx, "POST", "http://"+p.addr+"/p", strings.NewReader("probe"))
	if err != nil {
		return err
	}
	request.Header.Set("TTL", "3")
	request.Header.Set("Authorization", "Bearer secret")
	response, err := p.transport.RoundTrip(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusCreated {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}

func (p *http2Probe) close() { p.transport.CloseIdleConnections() }

// amqpProbe declares a queue again and again.
type amqpProbe struct {
	addr    string
	conn    *amqp.Connection
	channel *amqp.Channel
}

func (p *amqpProbe) ask(context.Context) (err error) {
	if p.conn == nil {
		if p.conn, err = amqp.Dial("amqp://t:secret@" + p.addr + "/"); err != nil {
			p.conn = nil
			return err
		}
		if p.channel, err = p.conn.Channel(); err != nil {
			return err
		}
	}
	_, err = p.channel.QueueDeclare("probe", false, false, false, false, nil)
	return err
}

func (p *amqpProbe) close() {
	if p.conn != nil {
		_ = p.conn.Close()
	}
}

// Latencies are the times that requests took. Those without an answer are not among them.
type Latencies struct {
	sorted []time.Duration
	// Failed is the number of requests that were not answered as expected, and LastError the last cause.
	Failed    int
	LastError error
}

// Count returns the number of requests that were answered.
func (l *Latencies) Count() int { return len(l.sorted) }

// Quantile returns a quantile from 0 to 1.
func (l *Latencies) Quantile(q float64) time.Duration {
	if len(l.sorted) == 0 {
		return 0
	}
	return l.sorted[min(len(l.sorted)-1, int(q*float64(len(l.sorted))))]
}

// Over returns how many requests took longer than a time.
func (l *Latencies) Over(limit time.Duration) int {
	i, _ := slices.BinarySearch(l.sorted, limit)
	return len(l.sorted) - i
}

// Figures of the probe.
const (
	// probeInterval is the time between two requests.
	probeInterval = 50 * time.Millisecond
	// probeTimeout is how long a request waits for its answer.
	probeTimeout = 5 * time.Second
)

// errProbeEnded ends the wait for an answer when the measurement ends.
var errProbeEnded = errors.New("the measurement has ended")

// measure sends requests one after the other until ctx ends.
func measure(ctx context.Context, front Front, addr string) *Latencies {
	p := newProbe(front, addr)
	defer p.close()
	l := &Latencies{}
	for ctx.Err() == nil {
		asking, stop := context.WithTimeoutCause(context.Background(), probeTimeout, errProbeEnded)
		stopwatch := clock.StartStopwatch()
		err := p.ask(asking)
		took := stopwatch.Elapsed()
		stop()
		if err != nil {
			l.Failed++
			l.LastError = err
		} else {
			l.sorted = append(l.sorted, took)
		}
		time.Sleep(max(0, probeInterval-took))
	}
	slices.Sort(l.sorted)
	return l
}
