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

// submitTimeout is how long a client waits for its answer.
const submitTimeout = 400 * time.Millisecond

// classes and how long their messages live.
var messageLifetimes = map[string]time.Duration{"status": 3500 * time.Millisecond, "sync": 4500 * time.Millisecond, "upload": 4500 * time.Millisecond,
	"turns": 4500 * time.Millisecond}

// newMessage makes a message of a random class.
func (r *run) newMessage(rng *rand.Rand, n *node) testbed.Message {
	name := fmt.Sprintf("%s-%d", n.name, r.messageCount.Add(1))
	class := []string{"status", "status", "sync", "upload", "upload", "turns"}[rng.IntN(6)]
	m := testbed.Message{Name: name, Class: class, Tenant: "acme", Dest: rng.IntN(destinations), Remaining: messageLifetimes[class], Body: strings.Repeat("b", rng.IntN(400))}
	if rng.IntN(20) == 0 {
		m.Remaining = time.Duration(1+rng.IntN(300)) * time.Millisecond // very little time
	}
	if class == "sync" || class == "turns" {
		m.IdempotencyKey = "key-" + name
	}
	if class == "turns" {
		m.OrderKey = fmt.Sprintf("%s-%d", n.name, rng.IntN(5))
	}
	return m
}

// generateLoad hands messages to a node until ctx ends.
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
			continue // more are out than a run may have
		}
		r.runningClients.Go(func() {
			defer r.openClients.Add(-1)
			r.submit(n, m, 1)
		})
	}
}

// maxOpenClients bounds the clients that are out at once.
const maxOpenClients = 2000

func (r *run) acquireClient() bool {
	if r.openClients.Add(1) > maxOpenClients {
		r.openClients.Add(-1)
		return false
	}
	return true
}

// errNoAnswer tells that a connection ended with no answer.
var errNoAnswer = errors.New("the connection ended with no answer")

// submit hands a message in on a connection of its own, in so many pieces, and notes what its client hears.
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

// exchange writes a request and reads the status of its answer; it is 0 where none came in time.
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

// malformedRequests can't be used; each is owed an error or a close.
var malformedRequests = []string{
	"\x16\x03\x01\x00\xff\x00\r\n\r\n",
	"POST /status HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", 5000),
	"POST /status HTTP/1.1\r\nHost: a\r\nContent-Length: -7\r\n\r\n",
	"POST /status HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999\r\n\r\n",
	"POST /nothing HTTP/1.1\r\nHost: a\r\nX-Lane: nothing\r\nContent-Length: 0\r\n\r\n",
	"POST /status HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\nabc",
	"GET /secret HTTP/1.1\r\nHost: a\r\n\r\n",
}

// errorAnswerTimeout is how soon such a client has its error or its close.
const errorAnswerTimeout = 3 * time.Second

// sendMalformed sends what can't be used, and notes a client that is left with neither an error nor a close.
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

// sendPipelined sends requests ahead of answers: there is one for each, in order.
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

// exchangePipelined writes requests at once, and returns the statuses of what comes back.
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

// counter counts what is out.
type counter = atomic.Int64
