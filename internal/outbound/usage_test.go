package outbound

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"whinrun/control"
	"whinrun/internal/clock"
	"whinrun/internal/engine"
	"whinrun/internal/h2"
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

// streamPeer is a partner that answers every request on its connections with 201.
type streamPeer struct {
	listener net.Listener
	// maxStreams changes the number of streams that the peer allows.
	maxStreams chan uint32
}

// newStreamPeer starts a partner.
func newStreamPeer(t *testing.T) *streamPeer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	p := &streamPeer{ln, make(chan uint32)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p
}

// serve answers the requests on one connection.
func (p *streamPeer) serve(c net.Conn) {
	start := time.Now()
	server := h2.NewServer(h2.Config{MaxStreams: 10}, 0)
	_, _ = c.Write(server.Output())
	input := make(chan []byte)
	go func() {
		defer close(input)
		for {
			b := make([]byte, 4096)
			n, err := c.Read(b)
			if err != nil {
				return
			}
			input <- b[:n]
		}
	}()
	for {
		select {
		case b, ok := <-input:
			if !ok {
				return
			}
			events, _ := server.Receive(time.Since(start), b)
			for _, e := range events {
				if e.Kind == h2.Headers {
					_ = server.Respond(time.Since(start), e.Stream, []h2.Field{{Name: ":status", Value: "201"}}, nil)
				}
			}
		case n := <-p.maxStreams:
			server.SetMaxStreams(time.Since(start), n)
		}
		_, _ = c.Write(server.Output())
	}
}

// A partner allows no streams for a moment while a call is on its way to the connection. The connection was not used any more, and was
// not idle either, so that it kept its place for good. With all places taken so, nothing was sent to the partner.
func TestConnWithoutStreamsForAMomentIsUsedAgain(t *testing.T) {
	peer := newStreamPeer(t)
	tp := &testPool{t: t, clock: clock.New(), ends: make(chan engine.Outcome, 64)}
	cfg := testConfig()
	cfg.MaxConnsPerEndpoint = 1
	var err error
	if tp.p, err = New(cfg, NewHTTP2(testCodec{netip.MustParseAddrPort(peer.listener.Addr().String())}), tp.clock, func(e engine.Outcome) { tp.ends <- e }); err != nil {
		t.Fatal(err)
	}
	defer tp.p.Close()
	tp.start("first")
	tp.wantEnd(engine.Answered, 201)
	tp.assignUnwritten("second")
	peer.maxStreams <- 0
	// The call has left the connection.
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		tp.p.mu.Lock()
		pending := len(tp.p.endpoints[1].pending)
		tp.p.mu.Unlock()
		if pending == 1 {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("the call is not back in the queue")
		}
	}
	peer.maxStreams <- 10
	tp.wantEnd(engine.Answered, 201)
}
