package eventloop_test

import (
	"net"
	"testing"
	"time"

	"whinrun/internal/eventloop"
)

// pausing is a handler that pauses reading behind the first bytes of a connection.
type pausing struct{ closed chan error }

func (*pausing) Opened(*eventloop.Conn)              {}
func (*pausing) Ready(c *eventloop.Conn)             { c.PauseReading(len(c.Inbound()) > 0) }
func (h *pausing) Closed(_ *eventloop.Conn, e error) { h.closed <- e }
func (*pausing) DialFailed(any, error)               {}
func (*pausing) Tick()                               {}

// A client that is ahead of its answers leaves while nothing is read from it. It was noticed at the next answer only, and the request
// behind that had been sent on by then.
func TestResetIsNoticedWhileReadingIsPaused(t *testing.T) {
	handler := &pausing{closed: make(chan error, 1)}
	g := startGroup(t, handler)
	c, err := net.Dial("tcp", g.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Write([]byte("much to do")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
	select {
	case err := <-handler.closed:
		if err == nil {
			t.Error("closed in order")
		}
	case <-time.After(5 * time.Second):
		t.Error("the reset was not noticed")
	}
}
