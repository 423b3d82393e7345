package eventloop_test

import (
	"io"
	"net"
	"testing"
	"time"

	"whinrun/internal/clock"
	"whinrun/internal/eventloop"
)

// smallRequests is a handler for requests of requestSize bytes, each of which takes requestTime. It answers one byte for each.
type smallRequests struct{ echo }

func (h *smallRequests) Closed(*eventloop.Conn, error) {}

const (
	requestSize = 32
	requestTime = 20 * time.Microsecond
	// answerLimit is how long clients wait for an answer.
	answerLimit = 400 * time.Millisecond
)

func (h *smallRequests) Ready(c *eventloop.Conn) {
	n := len(c.Inbound()) / requestSize
	for watch := clock.StartStopwatch(); watch.Elapsed() < time.Duration(n)*requestTime; {
		continue
	}
	c.Write(make([]byte, n))
}

// startGroup starts a listening group with one loop, which is stopped at the end of the test.
func startGroup(t *testing.T, handler eventloop.Handler) *eventloop.Group {
	t.Helper()
	g, err := eventloop.New(eventloop.Config{Loops: 1, TickInterval: 10 * time.Millisecond}, handler, clock.New())
	if err != nil {
		t.Fatal(err)
	}
	if err := g.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	g.Start()
	t.Cleanup(g.Stop)
	return g
}

// While one client sends small requests at full speed, the others had their turn only after a megabyte of them.
func TestFloodOfSmallRequestsKeepsNobodyWaiting(t *testing.T) {
	handler := &smallRequests{}
	g := startGroup(t, handler)
	dial := func() net.Conn {
		c, err := net.Dial("tcp", g.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	flooding := dial()
	defer func() { _ = flooding.Close() }()
	go func() { _, _ = io.Copy(io.Discard, flooding) }()
	go func() {
		for batch := make([]byte, 64<<10); ; {
			if _, err := flooding.Write(batch); err != nil {
				return
			}
		}
	}()
	other := dial()
	defer func() { _ = other.Close() }()
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		watch := clock.StartStopwatch()
		if _, err := other.Write(make([]byte, requestSize)); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(other, make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
		if took := watch.Elapsed(); took > answerLimit {
			t.Fatalf("an answer took %v", took)
		}
	}
}
