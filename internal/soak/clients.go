package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
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
	m := testbed.Message{Name: name, Class: class, Tenant: "acme", Dest: rng.IntN(destinations), Remaining: messageLifetimes[class], Body: strings.Repeat("b", rng.IntN(r.cfg.maxBody()))}
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
	r.recordAnswer(n, m, sent, status)
}

// recordAnswer records what a client was answered, 0 for nothing.
func (r *run) recordAnswer(n *node, m testbed.Message, sent time.Time, status int) {
	e := testbed.Event{Kind: testbed.Refused, Name: m.Name, Status: status, Node: n.name}
	if status == 202 || status == 200 {
		e = testbed.Event{Kind: testbed.Accepted, Name: m.Name, Class: m.Class, Dest: m.Dest, Due: sent.Add(m.Remaining), Key: m.OrderKey, Node: n.name, Sent: sent}
		r.acceptedCount.Add(1)
	}
	r.testbed.Record(e)
}

// exchange writes a request on a new connection, in a number of pieces, and reads the status of its answer as exchangeOn
// does.
func exchange(addr string, text []byte, pieces int) (int, error) {
	c, err := net.DialTimeout("tcp", addr, submitTimeout)
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(clock.After(submitTimeout))
	for i := range pieces - 1 {
		if _, err := c.Write(text[len(text)*i/pieces : len(text)*(i+1)/pieces]); err != nil {
			return 0, err
		}
	}
	return exchangeOn(c, text[len(text)*(pieces-1)/pieces:])
}

// exchangeOn writes a request and reads the status of its answer, 0 where none came in time. The error is errNoAnswer where
// the connection ended first.
func exchangeOn(c net.Conn, text []byte) (int, error) {
	_ = c.SetDeadline(clock.After(submitTimeout))
	if _, err := c.Write(text); err != nil {
		return 0, err
	}
	status, err := testbed.ReadStatus(c)
	if err != nil && !isTimeout(err) {
		err = errNoAnswer
	}
	return status, err
}

// isTimeout reports whether an error of a connection is that its deadline has passed.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
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
	// A node without descriptors accepts the connection later.
	exhaustions, exhausted := n.startedExhaustions.Load(), n.exhaustions.Load() > 0
	c, err := net.DialTimeout("tcp", n.addr, submitTimeout)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(clock.After(errorAnswerTimeout + 500*time.Millisecond))
	_, _ = io.WriteString(c, text)
	status, err := testbed.ReadStatus(c)
	if (isTimeout(err) || status > 0 && status < 400) && stateBefore == up && n.epoch.Load() == epoch && !exhausted && n.startedExhaustions.Load() == exhaustions {
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

// sendTwice sends a request twice on one connection, the second time after a pause. Only the first one may be taken.
func (r *run) sendTwice(n *node, m testbed.Message, pause time.Duration) {
	sent := r.testbed.Now()
	c, err := net.DialTimeout("tcp", n.addr, submitTimeout)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	text := testbed.EncodeRequest(m)
	_ = c.SetDeadline(clock.After(submitTimeout))
	if _, err := c.Write(text); err != nil {
		return
	}
	status, _ := testbed.ReadStatus(c)
	r.recordAnswer(n, m, sent, status)
	time.Sleep(pause)
	_ = c.SetDeadline(clock.After(submitTimeout))
	if _, err := c.Write(text); err != nil {
		return
	}
	if again, _ := testbed.ReadStatus(c); again > 0 && again < 400 && status != 0 {
		r.violation("%s: a request is answered %d, and its copy %d", n.name, status, again)
	}
}

// keepAliveClient submits messages on one connection, one at a time, for as long as it stays open, also while the node
// stops. A request that crosses the end of the connection is sent once more on a new one.
func (r *run) keepAliveClient(ctx context.Context, n *node, rng *rand.Rand) {
	var c net.Conn
	defer func() {
		if c != nil {
			_ = c.Close()
		}
	}()
	for ctx.Err() == nil {
		if c == nil {
			var err error
			if c, err = net.DialTimeout("tcp", n.addr, submitTimeout); err != nil {
				c = nil
				time.Sleep(100 * time.Millisecond)
				continue
			}
		}
		m := r.newMessage(rng, n)
		epoch, stateBefore, sent := n.epoch.Load(), nodeState(n.state.Load()), r.testbed.Now()
		status, err := exchangeOn(c, testbed.EncodeRequest(m))
		if err != nil && !isTimeout(err) && stateBefore != down {
			// A request that the node has not read is sent again. One that it has read is answered 409, and is lost.
			sent = r.testbed.Now()
			again, _ := exchange(n.addr, testbed.EncodeRequest(m), 1)
			if again == 409 && n.epoch.Load() == epoch && n.exhaustions.Load() == 0 {
				r.violation("%s: the connection of %s was ended with no answer, and it had been read", n.name, m.Name)
			}
			status = again
		}
		r.recordAnswer(n, m, sent, status)
		if err != nil || status == 0 {
			_ = c.Close()
			c = nil
		}
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(keepAlivePause)))
	}
}

// keepAlivePause is the mean time between two requests of a client that keeps its connection.
const keepAlivePause = 150 * time.Millisecond

// counter is a counter of the clients and messages of a run.
type counter = atomic.Int64

// Figures of the check that no process hangs.
const (
	// probeMessages is the number of small messages that each node gets behind all faults, at probeInterval.
	probeMessages = 40
	probeInterval = 25 * time.Millisecond
	// fewProbes is the number of accepted messages below which nothing is concluded.
	fewProbes = 10
)

// probe hands in small messages to a node behind all faults, when all messages of before have ended. At least one of those that it
// accepts must be called: what a node has lost it does not get back.
func (r *run) probe(n *node) {
	rng := rand.New(rand.NewPCG(r.cfg.Seed, uint64(2000+n.number)))
	accepted := map[string]bool{}
	for range probeMessages {
		m := r.newMessage(rng, n)
		m.Class, m.IdempotencyKey, m.OrderKey, m.Remaining, m.Body = "status", "", "", messageLifetimes["status"], "probe"
		sent := r.testbed.Now()
		status, _ := exchange(n.addr, testbed.EncodeRequest(m), 1)
		r.recordAnswer(n, m, sent, status)
		if status == 202 {
			accepted[m.Name] = true
		}
		time.Sleep(probeInterval)
	}
	called := func(events []testbed.Event) bool {
		return slices.ContainsFunc(events, func(e testbed.Event) bool { return e.Kind == testbed.CallReceived && accepted[e.Name] })
	}
	if len(accepted) >= fewProbes && !r.testbed.Await(messageLifetimes["status"], called) {
		r.violation("%s hangs: none of %d messages that it accepted behind all faults was called", n.name, len(accepted))
	}
}
