package outbound

import (
	"net"
	"strconv"
	"strings"
	"testing"

	"whinrun/control"
	"whinrun/internal/engine"
)

// startOnce starts a call of a message that may not be repeated.
func (tp *testPool) startOnce(name string) {
	tp.seq++
	deadline := tp.clock.Now() + 20*control.Second
	tp.p.Start([]*engine.Attempt{{Seq: tp.seq, Message: &engine.Message{ExternalID: name}, Endpoint: 1, Deadline: deadline, MessageDeadline: deadline, RunsOnce: true}})
}

// newDoubtfulConn returns a pool of which up to proofConns connections are opened for a proof, and its only connection, on which no
// answer can be proven any more.
func newDoubtfulConn(t *testing.T, proofConns int) (*testPool, net.Conn) {
	t.Helper()
	tp := newTestPoolFrom(t, func(cfg *Config) { cfg.ProofConns = proofConns })
	tp.start("a")
	c := tp.conn()
	tp.read(c)
	_, _ = c.Write([]byte(okAnswer))
	tp.wantEnd(engine.Answered, 200)
	tp.start("b")
	tp.read(c)
	_, _ = c.Write([]byte(okAnswer))
	tp.wantProvisional()
	tp.wantEnd(engine.DeliveryUnproven, 0)
	return tp, c
}

// Guards against a message that may not be repeated and fails although it was refused, because its connection could prove nothing:
// it gets a new one. Other messages use the connection that there is.
func TestMessageThatRunsOnceGetsAProvingConnection(t *testing.T) {
	tp, c := newDoubtfulConn(t, 2)
	tp.startOnce("c")
	d := tp.conn()
	if got := tp.read(d); !strings.Contains(got, "/c") {
		t.Errorf("%q on the new connection", got)
	}
	_, _ = d.Write([]byte(busyAnswer))
	tp.wantEnd(engine.Answered, 503)
	tp.start("d")
	if got := tp.read(c); !strings.Contains(got, "/d") {
		t.Errorf("%q on the doubtful connection", got)
	}
}

// Guards against calls that wait, and connections that are opened, where answers name their messages: a message that may not be
// repeated follows a delivery and a refusal on its connection. It takes another one on which a refusal would be proven, if there is one.
func TestConnectionThatNamesMessages(t *testing.T) {
	tp := newTestPoolFrom(t, func(cfg *Config) { cfg.ProofConns = 3 })
	tp.start(namedPrefix + "a")
	c := tp.conn()
	tp.read(c)
	_, _ = c.Write([]byte(okAnswer))
	tp.wantEnd(engine.Answered, 200)
	for _, name := range []string{"b", "c"} {
		tp.startOnce(namedPrefix + name)
		if got := tp.read(c); !strings.Contains(got, namedPrefix+name) {
			t.Errorf("%q on the only connection", got)
		}
		if name == "b" {
			_, _ = c.Write([]byte(busyAnswer))
			tp.wantEnd(engine.Answered, 503)
		}
	}
	// While that call is out, another one opens a connection, which has refused nothing.
	tp.start(namedPrefix + "d")
	d := tp.conn()
	tp.read(d)
	_, _ = c.Write([]byte(namedAnswer("c")))
	tp.wantEnd(engine.Answered, 200)
	_, _ = d.Write([]byte(namedAnswer("d")))
	tp.wantEnd(engine.Answered, 200)
	tp.startOnce(namedPrefix + "e")
	if got := tp.read(d); !strings.Contains(got, "named-e") {
		t.Errorf("%q on the connection that has refused nothing", got)
	}
}

// namedAnswer returns a delivery that names its message.
func namedAnswer(name string) string {
	name = namedPrefix + name
	return "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(name)) + "\r\n\r\n" + name
}

// Guards against a call that waits for a connection that is not to be opened: at the limit, the doubtful one is used.
func TestProofConnsAreBounded(t *testing.T) {
	tp, c := newDoubtfulConn(t, 1)
	tp.startOnce("c")
	if got := tp.read(c); !strings.Contains(got, "/c") {
		t.Errorf("%q on the doubtful connection", got)
	}
}

// beginEndlessDials has the pool count this number of dials to endpoint 1 until the end of the test.
func (tp *testPool) beginEndlessDials(n int) {
	s := tp.p.endpoints[1]
	count := func(n int) {
		tp.p.mu.Lock()
		defer tp.p.mu.Unlock()
		s.dialing += n
	}
	count(n)
	tp.t.Cleanup(func() { count(-n) })
}

// Guards against calls that wait behind one that waits for a proof, while a connection is free.
func TestWaitForAProofKeepsNoOther(t *testing.T) {
	tp, c := newDoubtfulConn(t, 2)
	tp.start("c")
	tp.read(c)
	tp.beginEndlessDials(2)
	tp.startOnce("d")
	tp.start("e")
	_, _ = c.Write([]byte(okAnswer))
	tp.wantProvisional()
	if got := tp.read(c); !strings.Contains(got, "/e") {
		t.Errorf("%q on the connection that became free", got)
	}
}

// Guards against a call that waits for good: if no new connection comes up in time, the doubtful one is used.
func TestWaitForAProofIsBounded(t *testing.T) {
	tp, c := newDoubtfulConn(t, 2)
	tp.beginEndlessDials(1)
	tp.startOnce("c")
	if got := tp.read(c); !strings.Contains(got, "/c") {
		t.Errorf("%q on the doubtful connection", got)
	}
}
