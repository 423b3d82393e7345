package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"whinrun/internal/clock"
	"whinrun/internal/testbed"
)

// submitTimeout is how long a client waits for a connection and for its answer.
const submitTimeout = 400 * time.Millisecond

// messageLifetimes holds the time from submission to the deadline for the messages of each class.
var messageLifetimes = map[string]time.Duration{"status": 3500 * time.Millisecond, "sync": 4500 * time.Millisecond, "upload": 4500 * time.Millisecond,
	"turns": 4500 * time.Millisecond}

// newMessage returns a message of a random class.
func (r *run) newMessage(rng *rand.Rand, n *node) testbed.Message {
	name := fmt.Sprintf("%s-%d", n.name, r.messageCount.Add(1))
	class := []string{"status", "status", "sync", "upload", "upload", "turns"}[rng.IntN(6)]
	m := testbed.Message{Name: name, Class: class, Tenant: "acme", Dest: rng.IntN(destinations), Remaining: messageLifetimes[class], Body: strings.Repeat("b", rng.IntN(400))}
	// One message in 20 has a deadline of at most 0.3 s.
	if rng.IntN(20) == 0 {
		m.Remaining = time.Duration(1+rng.IntN(300)) * time.Millisecond
	}
	if class == "sync" || class == "turns" {
		m.IdempotencyKey = "key-" + name
	}
	if class == "turns" {
		m.OrderKey = fmt.Sprintf("%s-%d", n.name, rng.IntN(5))
	}
	return m
}

// generateLoad submits messages to a node until ctx ends.
func (r *run) generateLoad(ctx context.Context, n *node) {
	rng := rand.New(rand.NewPCG(r.cfg.Seed, uint64(n.number)))
	for {
		pause := time.Duration(rng.ExpFloat64() / r.cfg.Rate * float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		if nodeState(n.state.Load()) == down {
			continue
		}
		m := r.newMessage(rng, n)
		if !r.acquireClient() {
			// The limit of open clients is reached.
			continue
		}
		r.runningClients.Go(func() {
			defer r.openClients.Add(-1)
			r.submit(n, m, 1)
		})
	}
}

// maxOpenClients is the largest number of clients of the load that wait for an answer at once. A message that comes
// while the limit is reached is not submitted.
const maxOpenClients = 2000

// acquireClient counts one more open client. It returns false where the limit is reached.
func (r *run) acquireClient() bool {
	if r.openClients.Add(1) > maxOpenClients {
		r.openClients.Add(-1)
		return false
	}
	return true
}

// errNoAnswer is returned when a connection ended without an answer.
var errNoAnswer = errors.New("the connection ended with no answer")

// submit submits a message on a new connection, in a number of pieces, and records the result.
func (r *run) submit(n *node, m testbed.Message, pieces int) {
	epoch, stateBefore := n.epoch.Load(), nodeState(n.state.Load())
	sent := r.testbed.Now()
	status, err := exchange(n.addr, testbed.EncodeRequest(m), pieces)
	if errors.Is(err, errNoAnswer) && stateBefore == up && n.epoch.Load() == epoch && n.exhaustions.Load() == 0 {
		r.testbed.Record(testbed.Event{Kind: testbed.ClosedUnanswered, Name: m.Name, Node: n.name})
	}
	e := testbed.Event{Kind: testbed.Refused, Name: m.Name, Status: status, Node: n.name}
	if status == 202 || status == 200 {
		e = testbed.Event{Kind: testbed.Accepted, Name: m.Name, Class: m.Class, Dest: m.Dest, Due: sent.Add(m.Remaining), Key: m.OrderKey, Node: n.name}
		r.acceptedCount.Add(1)
	}
	r.testbed.Record(e)
}

// exchange writes a request and reads the status of its answer, 0 where none came in time. The error is errNoAnswer
// where the connection ended first.
func exchange(addr string, text []byte, pieces int) (int, error) {
	c, err := net.DialTimeout("tcp", addr, submitTimeout)
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(clock.After(submitTimeout))
	for i := range pieces {
		if _, err := c.Write(text[len(text)*i/pieces : len(text)*(i+1)/pieces]); err != nil {
			return 0, err
		}
	}
	status, err := testbed.ReadStatus(c)
	var netErr net.Error
	if err != nil && !(errors.As(err, &netErr) && netErr.Timeout()) {
		err = errNoAnswer
	}
	return status, err
}

// malformedRequests are requests that a dispatcher cannot use. Each has to be answered by an error or a close.
var malformedRequests = []string{
	"\x16\x03\x01\x00\xff\x00\r\n\r\n",
	"POST /status HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", 5000),
	"POST /status HTTP/1.1\r\nHost: a\r\nContent-Length: -7\r\n\r\n",
	"POST /status HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999\r\n\r\n",
	"POST /nothing HTTP/1.1\r\nHost: a\r\nX-Lane: nothing\r\nContent-Length: 0\r\n\r\n",
	"POST /status HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\nabc",
	"GET /secret HTTP/1.1\r\nHost: a\r\n\r\n",
}

// errorAnswerTimeout is how soon a client with an unusable request must get an error or a close.
const errorAnswerTimeout = 3 * time.Second

// sendMalformed sends an unusable request, and records a violation where the client gets neither an error nor a close.
func (r *run) sendMalformed(n *node, text string) {
	epoch, stateBefore := n.epoch.Load(), nodeState(n.state.Load())
	c, err := net.DialTimeout("tcp", n.addr, submitTimeout)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(clock.After(errorAnswerTimeout + 500*time.Millisecond))
	_, _ = io.WriteString(c, text)
	status, err := testbed.ReadStatus(c)
	var netErr net.Error
	timedOut := errors.As(err, &netErr) && netErr.Timeout()
	if (timedOut || status > 0 && status < 400) && stateBefore == up && n.epoch.Load() == epoch {
		r.violation("%s: a client that sent %.20q has neither an error nor a close: status %d, %v", n.name, text, status, err)
	}
}

// sendPipelined sends requests without waiting for answers, and checks that there are as many answers as requests. An
// answer counts for the request in the same place.
func (r *run) sendPipelined(n *node, rng *rand.Rand) {
	epoch, stateBefore := n.epoch.Load(), nodeState(n.state.Load())
	var messages []testbed.Message
	var text []byte
	for range 5 + rng.IntN(30) {
		m := r.newMessage(rng, n)
		m.Class, m.IdempotencyKey, m.OrderKey, m.Remaining = "upload", "", "", messageLifetimes["upload"]
		messages = append(messages, m)
		text = append(text, testbed.EncodeRequest(m)...)
	}
	sent := r.testbed.Now()
	statuses := exchangePipelined(n.addr, text, len(messages))
	answersExpected := stateBefore == up && n.epoch.Load() == epoch && n.exhaustions.Load() == 0
	if len(statuses) < len(messages) && answersExpected {
		r.violation("%s: %d answers to %d requests on one connection", n.name, len(statuses), len(messages))
	}
	for i, status := range statuses {
		m := messages[i]
		if status == 202 {
			r.acceptedCount.Add(1)
			r.testbed.Record(testbed.Event{Kind: testbed.Accepted, Name: m.Name, Class: m.Class, Dest: m.Dest, Due: sent.Add(m.Remaining), Node: n.name})
		} else {
			r.testbed.Record(testbed.Event{Kind: testbed.Refused, Name: m.Name, Status: status, Node: n.name})
		}
	}
}

// exchangePipelined writes requests at once and returns the statuses of up to n answers.
func exchangePipelined(addr string, text []byte, n int) (statuses []int) {
	c, err := net.DialTimeout("tcp", addr, submitTimeout)
	if err != nil {
		return nil
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(clock.After(2 * time.Second))
	go func() { _, _ = c.Write(text) }()
	return testbed.ReadStatuses(c, n)
}

// counter is a counter of the clients and messages of a run.
type counter = atomic.Int64
