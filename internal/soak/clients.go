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

// handIn is how long a client waits for its answer.
const handIn = 400 * time.Millisecond

// classes and how long their messages live.
var lives = map[string]time.Duration{"status": 3500 * time.Millisecond, "sync": 4500 * time.Millisecond, "upload": 4500 * time.Millisecond,
	"turns": 4500 * time.Millisecond}

// message makes a message of a random class.
func (r *run) message(rng *rand.Rand, n *node) testbed.Message {
	name := fmt.Sprintf("%s-%d", n.name, r.names.Add(1))
	c := []string{"status", "status", "sync", "upload", "upload", "turns"}[rng.IntN(6)]
	m := testbed.Message{Name: name, Class: c, Tenant: "acme", Dest: rng.IntN(destinations), Remaining: lives[c], Body: strings.Repeat("b", rng.IntN(400))}
	if rng.IntN(20) == 0 {
		m.Remaining = time.Duration(1+rng.IntN(300)) * time.Millisecond // very little time
	}
	if c == "sync" || c == "turns" {
		m.IdempotencyKey = "key-" + name
	}
	if c == "turns" {
		m.OrderKey = fmt.Sprintf("%s-%d", n.name, rng.IntN(5))
	}
	return m
}

// load hands messages to a node until ctx ends.
func (r *run) load(ctx context.Context, n *node) {
	rng := rand.New(rand.NewPCG(r.cfg.Seed, uint64(n.number)))
	for {
		pause := time.Duration(rng.ExpFloat64() / r.cfg.Rate * float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		if state(n.state.Load()) == down {
			continue
		}
		m := r.message(rng, n)
		if !r.begin() {
			continue // more are out than a run may have
		}
		r.clients.Go(func() {
			defer r.out.Add(-1)
			r.hand(n, m, 1)
		})
	}
}

// outMost bounds the clients that are out at once.
const outMost = 2000

func (r *run) begin() bool {
	if r.out.Add(1) > outMost {
		r.out.Add(-1)
		return false
	}
	return true
}

// errClosed tells that a connection ended with no answer.
var errClosed = errors.New("the connection ended with no answer")

// hand hands a message in on a connection of its own, in so many pieces, and notes what its client hears.
func (r *run) hand(n *node, m testbed.Message, pieces int) {
	epoch, before := n.epoch.Load(), state(n.state.Load())
	sent := r.bed.Now()
	status, err := exchange(n.addr, testbed.EncodeRequest(m), pieces)
	if errors.Is(err, errClosed) && before == up && n.epoch.Load() == epoch && n.crowd.Load() == 0 {
		r.bed.Record(testbed.Event{Kind: testbed.ClosedUnanswered, Name: m.Name, Node: n.name})
	}
	e := testbed.Event{Kind: testbed.Refused, Name: m.Name, Status: status, Node: n.name}
	if status == 202 || status == 200 {
		e = testbed.Event{Kind: testbed.Accepted, Name: m.Name, Class: m.Class, Dest: m.Dest, Due: sent.Add(m.Remaining), Key: m.OrderKey, Node: n.name}
		r.taken.Add(1)
	}
	r.bed.Record(e)
}

// exchange writes a request and reads the status of its answer; it is 0 where none came in time.
func exchange(addr string, text []byte, pieces int) (int, error) {
	c, err := net.DialTimeout("tcp", addr, handIn)
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(clock.After(handIn))
	for i := range pieces {
		if _, err := c.Write(text[len(text)*i/pieces : len(text)*(i+1)/pieces]); err != nil {
			return 0, err
		}
	}
	status, err := testbed.ReadStatus(c)
	var late net.Error
	if err != nil && !(errors.As(err, &late) && late.Timeout()) {
		err = errClosed
	}
	return status, err
}

// rudeTexts can't be used; each is owed an error or a close.
var rudeTexts = []string{
	"\x16\x03\x01\x00\xff\x00\r\n\r\n",
	"POST /status HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", 5000),
	"POST /status HTTP/1.1\r\nHost: a\r\nContent-Length: -7\r\n\r\n",
	"POST /status HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999\r\n\r\n",
	"POST /nothing HTTP/1.1\r\nHost: a\r\nX-Lane: nothing\r\nContent-Length: 0\r\n\r\n",
	"POST /status HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\nabc",
	"GET /secret HTTP/1.1\r\nHost: a\r\n\r\n",
}

// rudeWithin is how soon such a client has its error or its close.
const rudeWithin = 3 * time.Second

// rude sends what can't be used, and notes a client that is left with neither an error nor a close.
func (r *run) rude(n *node, text string) {
	epoch, before := n.epoch.Load(), state(n.state.Load())
	c, err := net.DialTimeout("tcp", n.addr, handIn)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(clock.After(rudeWithin + 500*time.Millisecond))
	_, _ = io.WriteString(c, text)
	status, err := testbed.ReadStatus(c)
	var late net.Error
	hung := errors.As(err, &late) && late.Timeout()
	if (hung || status > 0 && status < 400) && before == up && n.epoch.Load() == epoch {
		r.fail("%s: a client that sent %.20q has neither an error nor a close: status %d, %v", n.name, text, status, err)
	}
}

// pipeline sends requests ahead of answers: there is one for each, in order.
func (r *run) pipeline(n *node, rng *rand.Rand) {
	epoch, before := n.epoch.Load(), state(n.state.Load())
	var all []testbed.Message
	var text []byte
	for range 5 + rng.IntN(30) {
		m := r.message(rng, n)
		m.Class, m.IdempotencyKey, m.OrderKey, m.Remaining = "upload", "", "", lives["upload"]
		all = append(all, m)
		text = append(text, testbed.EncodeRequest(m)...)
	}
	sent := r.bed.Now()
	statuses := answers(n.addr, text, len(all))
	undisturbed := before == up && n.epoch.Load() == epoch && n.crowd.Load() == 0
	if len(statuses) < len(all) && undisturbed {
		r.fail("%s: %d answers to %d requests on one connection", n.name, len(statuses), len(all))
	}
	for i, status := range statuses {
		m := all[i]
		if status == 202 {
			r.taken.Add(1)
			r.bed.Record(testbed.Event{Kind: testbed.Accepted, Name: m.Name, Class: m.Class, Dest: m.Dest, Due: sent.Add(m.Remaining), Node: n.name})
		} else {
			r.bed.Record(testbed.Event{Kind: testbed.Refused, Name: m.Name, Status: status, Node: n.name})
		}
	}
}

// answers writes requests at once, and returns the statuses of what comes back.
func answers(addr string, text []byte, n int) (statuses []int) {
	c, err := net.DialTimeout("tcp", addr, handIn)
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
