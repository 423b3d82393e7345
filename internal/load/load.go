// Package load hands messages to a dispatcher, as ordinary clients would: by net/http over HTTP/2, at moments laid
// down before. Latency counts from the moment at which a message was due to be sent, so a stall of the dispatcher
// shows on all that waited behind it (no coordinated omission).
package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Message is one message to be handed in.
type Message struct {
	At             time.Duration // when, since the start
	CorrelationID  string        // its name, first word of the body
	Class          string        // second word: what the stand-ins go by
	OrderKey       string        // order key, sent as Topic
	IdempotencyKey string        // sent as Idempotency-Key
	Path           string
	Token          string
	TTL            int           // seconds
	BodySize       int           // bytes of the body, at least what the words take
	CancelAfter    time.Duration // the client gives up after this, 0 never
	Timeout        time.Duration // the client gives up waiting after this, and that counts as no answer; 0 never
	Partner        string
	AMQP           bool // hand it in by AMQP, where there are both
}

// Outcome is what a client saw of a message.
type Outcome struct {
	Message
	Sent, Done time.Duration
	Status     int    // 0: no answer
	RetryAfter int    // Retry-After
	MessageID  string // the dispatcher's name of it
	Err        string
	Canceled   bool
}

// Sender hands one message in and waits for its answer: a Client or a Publisher.
type Sender interface {
	Send(ctx context.Context, m *Message) (status, wait int, name string, err error)
}

// MultiSender hands each message in by the front that it names.
type MultiSender struct{ Push, AMQP Sender }

// Send is Poster.
func (f MultiSender) Send(ctx context.Context, m *Message) (status, wait int, name string, err error) {
	if m.AMQP {
		return f.AMQP.Send(ctx, m)
	}
	return f.Push.Send(ctx, m)
}

// Client is a set of connections to one dispatcher.
type Client struct {
	base  string
	https []*http.Client
	next  atomic.Uint64
}

// NewClient makes a client with so many connections; each reconnects by itself.
func NewClient(addr string, conns int) *Client {
	c := &Client{base: "http://" + addr}
	for range max(1, conns) {
		var p http.Protocols
		p.SetUnencryptedHTTP2(true)
		c.https = append(c.https, &http.Client{Transport: &http.Transport{Protocols: &p, MaxConnsPerHost: 1,
			HTTP2: &http.HTTP2Config{StrictMaxConcurrentRequests: true}}})
	}
	return c
}

// Close closes the connections.
func (c *Client) Close() {
	for _, h := range c.https {
		h.CloseIdleConnections()
	}
}

// Send hands one message in and waits for its answer.
func (c *Client) Send(ctx context.Context, m *Message) (status, wait int, name string, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+m.Path, bytes.NewReader(m.body()))
	if err != nil {
		return 0, 0, "", err
	}
	req.Header.Set("TTL", strconv.Itoa(m.TTL))
	if m.Token != "" {
		req.Header.Set("Authorization", "Bearer "+m.Token)
	}
	if m.OrderKey != "" {
		req.Header.Set("Topic", m.OrderKey)
	}
	if m.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", strconv.Quote(m.IdempotencyKey))
	}
	res, err := c.https[c.next.Add(1)%uint64(len(c.https))].Do(req)
	if err != nil {
		return 0, 0, "", err
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	wait, _ = strconv.Atoi(res.Header.Get("Retry-After"))
	return res.StatusCode, wait, res.Header.Get("Whinrun-Message"), nil
}

// body is what is sent: the words that the stand-ins go by, filled up to the size.
func (m *Message) body() []byte {
	body := make([]byte, 0, max(m.BodySize, 64))
	body = fmt.Appendf(body, "%s %s %s\n", m.CorrelationID, m.Class, orDash(m.OrderKey))
	for len(body) < m.BodySize {
		body = append(body, '.')
	}
	return body
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// Run hands in all messages at their times, each on a goroutine of its own while it is out, and returns what became
// of them, in their order. now is the clock of the run; most bounds how many are out at once: the rest wait, and
// their latency counts.
func Run(ctx context.Context, c Sender, msgs []Message, now func() time.Duration, most int) []Outcome {
	out := make([]Outcome, len(msgs))
	room := make(chan struct{}, max(1, most))
	var all sync.WaitGroup
	for i := range msgs {
		if d := msgs[i].At - now(); d > 0 {
			select {
			case <-time.After(d):
			case <-ctx.Done():
			}
		}
		if ctx.Err() != nil {
			out = out[:i]
			break
		}
		room <- struct{}{}
		all.Add(1)
		go func() {
			defer all.Done()
			out[i] = one(ctx, c, msgs[i], now)
			<-room
		}()
	}
	all.Wait()
	return out
}

func one(ctx context.Context, c Sender, m Message, now func() time.Duration) Outcome {
	o := Outcome{Message: m, Sent: now()}
	if m.CancelAfter > 0 {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, m.CancelAfter)
		defer stop()
	}
	if m.Timeout > 0 {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, m.Timeout)
		defer stop()
	}
	var err error
	o.Status, o.RetryAfter, o.MessageID, err = c.Send(ctx, &m)
	o.Done = now()
	if err != nil {
		o.Err = err.Error()
		o.Canceled = m.CancelAfter > 0 && ctx.Err() != nil && o.Done-o.Sent >= m.CancelAfter
	}
	return o
}

// AnswerKind names the kind of final answer that a status is: served, refused, failed, or none.
func AnswerKind(status int) string {
	switch {
	case status >= 200 && status < 300:
		return "served"
	case status == 429 || status == 503:
		return "refused"
	case status == 502 || status == 504:
		return "failed"
	case status == 0:
		return "none"
	}
	return "rejected"
}

// ClassReport is what became of the messages of one class.
type ClassReport struct {
	Class                                         string
	Sent                                          int
	Served, Refused, Failed, Rejected, Unanswered int
	Latency                                       *hdrhistogram.Histogram // of those served, in microseconds, from when they were due
}

// Summarize sums outcomes up by class, in order of first sight.
func Summarize(out []Outcome) []*ClassReport {
	var all []*ClassReport
	by := map[string]*ClassReport{}
	for _, o := range out {
		r := by[o.Class]
		if r == nil {
			r = &ClassReport{Class: o.Class, Latency: hdrhistogram.New(1, 600e6, 3)}
			by[o.Class] = r
			all = append(all, r)
		}
		r.Sent++
		switch AnswerKind(o.Status) {
		case "served":
			r.Served++
			_ = r.Latency.RecordValue(max(1, (o.Done - o.At).Microseconds()))
		case "refused":
			r.Refused++
		case "failed":
			r.Failed++
		case "rejected":
			r.Rejected++
		default:
			r.Unanswered++
		}
	}
	return all
}

// Write prints reports as a table.
func Write(w io.Writer, reports []*ClassReport, elapsed time.Duration) {
	fmt.Fprintf(w, "%-10s %8s %8s %8s %8s %8s %8s %10s %10s %10s\n", "class", "sent", "served", "refused", "failed", "rejected", "none",
		"p50 ms", "p99 ms", "p99.9 ms")
	served := 0
	for _, r := range reports {
		served += r.Served
		q := func(p float64) float64 { return float64(r.Latency.ValueAtQuantile(p)) / 1000 }
		fmt.Fprintf(w, "%-10s %8d %8d %8d %8d %8d %8d %10.2f %10.2f %10.2f\n", r.Class, r.Sent, r.Served, r.Refused, r.Failed, r.Rejected, r.Unanswered,
			q(50), q(99), q(99.9))
	}
	fmt.Fprintf(w, "%.0f served a second over %.1f s\n", float64(served)/elapsed.Seconds(), elapsed.Seconds())
}
