package outbound

import (
	"io"
	"net"
	"testing"
	"time"

	"whinrun/control"
	"whinrun/internal/engine"
)

// hookedProtocol is a Protocol whose sessions call a function when their connection is lost.
type hookedProtocol struct {
	Protocol
	onLost func()
}

func (h hookedProtocol) newSession(c *conn, now time.Duration) session {
	return hookedSession{h.Protocol.newSession(c, now), h.onLost}
}

// hookedSession calls onLost ahead of connLost.
type hookedSession struct {
	session
	onLost func()
}

func (h hookedSession) connLost(kind engine.OutcomeKind, reason string) {
	h.onLost()
	h.session.connLost(kind, reason)
}

// loopRest is a time in which an event loop without input comes to rest.
const loopRest = 100 * time.Millisecond

// assignUnwritten puts a call on the only connection to endpoint 1, which does not write it. The event loop must not be about to run
// the connection's commands.
func (tp *testPool) assignUnwritten(name string) {
	time.Sleep(loopRest)
	tp.p.mu.Lock()
	defer tp.p.mu.Unlock()
	s := tp.p.endpoints[1]
	tp.seq++
	deadline := tp.clock.Now() + 20*control.Second
	a := &engine.Attempt{Seq: tp.seq, Message: &engine.Message{ExternalID: name}, Endpoint: 1, Deadline: deadline, MessageDeadline: deadline}
	k := &call{endpoint: s, conn: s.conns[0], remaining: 1}
	k.attempts = []*attemptState{{attempt: a, call: k}}
	s.calls++
	tp.p.attempts[a.Seq] = k.attempts[0]
	s.conns[0].inFlight++
	s.conns[0].unmarkIdle()
	s.conns[0].commands = append(s.conns[0].commands, command{start: k})
}

// A call is on its way from a lost connection back to the queue when its endpoint is looked at for deletion, as a wait for a proof or
// another call ends. The call waited in the queue of an endpoint that nobody knew any more, in a slot, until its time was over.
func TestCallOfALostConnectionIsNotForgotten(t *testing.T) {
	tp := newTestPool(t)
	tp.p.proto = hookedProtocol{tp.p.proto, func() {
		tp.p.mu.Lock()
		defer tp.p.mu.Unlock()
		if s := tp.p.endpoints[1]; s != nil {
			tp.p.requestConn(s)
		}
	}}
	tp.start("first")
	c := tp.conn()
	tp.read(c)
	tp.answerAndWait(c)
	tp.assignUnwritten("second")
	_ = c.Close()
	c = tp.conn()
	tp.read(c)
	tp.answerAndWait(c)
	_ = c.Close()
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		tp.p.mu.Lock()
		left := len(tp.p.endpoints) + len(tp.p.attempts)
		tp.p.mu.Unlock()
		if left == 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d endpoints and attempts are kept, but no connection and no call", left)
		}
	}
}

// answerAndWait answers the call on a connection with 200, and waits for its end.
func (tp *testPool) answerAndWait(c net.Conn) {
	tp.t.Helper()
	if _, err := io.WriteString(c, okAnswer); err != nil {
		tp.t.Fatal(err)
	}
	tp.wantEnd(engine.Answered, 200)
}
