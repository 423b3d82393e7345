// Package load generates load: it sends messages to a dispatcher at times that are fixed beforehand, over HTTP/2 with
// net/http or over AMQP. Latency is measured from the time at which a message was due to be sent. A stall of the
// dispatcher therefore counts for all messages that waited behind it (no coordinated omission).
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

// Message is a message to be sent.
type Message struct {
	// At is when the message is due, on the clock of the run.
	At time.Duration
	// CorrelationID is the client's identifier of the message. It is the first word of the body.
	CorrelationID string
	// Class is the second word of the body. The stand-in partners read it there.
	Class string
	// OrderKey is the order key, sent as Topic over HTTP/2 and as x-order-key over AMQP. The empty string means none.
	OrderKey string
	// IdempotencyKey is sent as Idempotency-Key over HTTP/2 and as message-id over AMQP. The empty string means none.
	IdempotencyKey string
	// Path is the push resource, and the routing key over AMQP.
	Path string
	// Token is the bearer token over HTTP/2. The empty string means none.
	Token string
	// TTL is the time to live in seconds.
	TTL int
	// BodySize is the size of the body in bytes. A body is never shorter than its first line.
	BodySize int
	// CancelAfter is the time after which the client cancels the message. 0 means never.
	CancelAfter time.Duration
	// Timeout is how long the client waits. A message that times out counts as unanswered. 0 means no timeout.
	Timeout time.Duration
	// Partner is the partner that the message goes to, for the evaluation of the run. It is not sent.
	Partner string
	// AMQP makes a MultiSender send the message over AMQP.
	AMQP bool
}

// Outcome is what a client saw of a message.
type Outcome struct {
	Message
	// Sent and Done are the times of the request and of its end, on the clock of the run.
	Sent, Done time.Duration
	// Status is the HTTP status of the answer, 0 for none.
	Status int
	// RetryAfter is the Retry-After of the answer in seconds, 0 for none.
	RetryAfter int
	// MessageID is the dispatcher's identifier of the message. It is empty over AMQP.
	MessageID string
	// Err is the text of the error where there is no answer.
	Err string
	// Canceled reports that the client canceled the message after CancelAfter.
	Canceled bool
}

// Sender sends a message and waits for its answer. A Client and a Publisher are Senders. The result retryAfter is in
// seconds, messageID is the dispatcher's identifier of the message.
type Sender interface {
	Send(ctx context.Context, m *Message) (status, retryAfter int, messageID string, err error)
}

// MultiSender sends each message over the front that Message.AMQP selects.
type MultiSender struct{ Push, AMQP Sender }

// Send implements Sender.
func (s MultiSender) Send(ctx context.Context, m *Message) (status, retryAfter int, messageID string, err error) {
	if m.AMQP {
		return s.AMQP.Send(ctx, m)
	}
	return s.Push.Send(ctx, m)
}

// Client sends messages over a set of HTTP/2 connections to one dispatcher.
type Client struct {
	base    string
	clients []*http.Client
	next    atomic.Uint64
}

// NewClient returns a client with at least one connection. Each connection reconnects by itself.
func NewClient(addr string, conns int) *Client {
	client := &Client{base: "http://" + addr}
	for range max(1, conns) {
		var protocols http.Protocols
		protocols.SetUnencryptedHTTP2(true)
		client.clients = append(client.clients, &http.Client{Transport: &http.Transport{Protocols: &protocols, MaxConnsPerHost: 1,
			HTTP2: &http.HTTP2Config{StrictMaxConcurrentRequests: true}}})
	}
	return client
}

// Close closes the idle connections.
func (c *Client) Close() {
	for _, h := range c.clients {
		h.CloseIdleConnections()
	}
}

// Send implements Sender.
func (c *Client) Send(ctx context.Context, m *Message) (status, retryAfter int, messageID string, err error) {
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
	res, err := c.clients[c.next.Add(1)%uint64(len(c.clients))].Do(req)
	if err != nil {
		return 0, 0, "", err
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	retryAfter, _ = strconv.Atoi(res.Header.Get("Retry-After"))
	return res.StatusCode, retryAfter, res.Header.Get("Whinrun-Message"), nil
}

// body returns the body to send: a line of words that the stand-in partners read, padded to BodySize.
func (m *Message) body() []byte {
	body := make([]byte, 0, max(m.BodySize, 64))
	body = fmt.Appendf(body, "%s %s %s\n", m.CorrelationID, m.Class, orDash(m.OrderKey))
	for len(body) < m.BodySize {
		body = append(body, '.')
	}
	return body
}

// orDash replaces the empty string by "-".
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// Run sends all messages at their times, each in a goroutine of its own, and returns their outcomes in the same order.
// The messages are expected in the order of At. now is the clock of the run. At most maxInFlight messages are in
// flight. Further messages wait, and the wait is part of their latency. Once ctx ends, no further message is sent and
// the outcomes end there.
func Run(ctx context.Context, sender Sender, messages []Message, now func() time.Duration, maxInFlight int) []Outcome {
	outcomes := make([]Outcome, len(messages))
	slots := make(chan struct{}, max(1, maxInFlight))
	var pending sync.WaitGroup
	for i := range messages {
		if d := messages[i].At - now(); d > 0 {
			select {
			case <-time.After(d):
			case <-ctx.Done():
			}
		}
		if ctx.Err() != nil {
			outcomes = outcomes[:i]
			break
		}
		slots <- struct{}{}
		pending.Add(1)
		go func() {
			defer pending.Done()
			outcomes[i] = sendOne(ctx, sender, messages[i], now)
			<-slots
		}()
	}
	pending.Wait()
	return outcomes
}

// sendOne sends a message and returns its outcome.
func sendOne(ctx context.Context, sender Sender, m Message, now func() time.Duration) Outcome {
	outcome := Outcome{Message: m, Sent: now()}
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
	outcome.Status, outcome.RetryAfter, outcome.MessageID, err = sender.Send(ctx, &m)
	outcome.Done = now()
	if err != nil {
		outcome.Err = err.Error()
		outcome.Canceled = m.CancelAfter > 0 && ctx.Err() != nil && outcome.Done-outcome.Sent >= m.CancelAfter
	}
	return outcome
}

// AnswerKind classifies the status of a final answer as "served", "refused", "failed" or "rejected", or "none" for
// status 0.
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

// ClassReport counts the outcomes of the messages of one class.
type ClassReport struct {
	// Class is the name of the class.
	Class string
	// Sent is the number of messages.
	Sent int
	// Served, Refused, Failed, Rejected and Unanswered count the messages by AnswerKind.
	Served, Refused, Failed, Rejected, Unanswered int
	// Latency holds the latencies of the served messages in microseconds, from the times at which they were due.
	Latency *hdrhistogram.Histogram
}

// Summarize counts outcomes by class. The reports are in the order in which the classes first occur.
func Summarize(outcomes []Outcome) []*ClassReport {
	var reports []*ClassReport
	byClass := map[string]*ClassReport{}
	for _, o := range outcomes {
		report := byClass[o.Class]
		if report == nil {
			report = &ClassReport{Class: o.Class, Latency: hdrhistogram.New(1, 600e6, 3)}
			byClass[o.Class] = report
			reports = append(reports, report)
		}
		report.Sent++
		switch AnswerKind(o.Status) {
		case "served":
			report.Served++
			_ = report.Latency.RecordValue(max(1, (o.Done - o.At).Microseconds()))
		case "refused":
			report.Refused++
		case "failed":
			report.Failed++
		case "rejected":
			report.Rejected++
		default:
			report.Unanswered++
		}
	}
	return reports
}

// Write prints reports as a table, and the rate of served messages over the elapsed time.
func Write(w io.Writer, reports []*ClassReport, elapsed time.Duration) {
	fmt.Fprintf(w, "%-10s %8s %8s %8s %8s %8s %8s %10s %10s %10s\n", "class", "sent", "served", "refused", "failed", "rejected", "none",
		"p50 ms", "p99 ms", "p99.9 ms")
	served := 0
	for _, r := range reports {
		served += r.Served
		quantileMs := func(p float64) float64 { return float64(r.Latency.ValueAtQuantile(p)) / 1000 }
		fmt.Fprintf(w, "%-10s %8d %8d %8d %8d %8d %8d %10.2f %10.2f %10.2f\n", r.Class, r.Sent, r.Served, r.Refused, r.Failed, r.Rejected, r.Unanswered,
			quantileMs(50), quantileMs(99), quantileMs(99.9))
	}
	fmt.Fprintf(w, "%.0f served a second over %.1f s\n", float64(served)/elapsed.Seconds(), elapsed.Seconds())
}
