package outbound

import (
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"whinrun/control"
	"whinrun/internal/clock"
	"whinrun/internal/dialscheduler"
	"whinrun/internal/engine"
	"whinrun/internal/h1"
)

// plain calls: the path has the names of the messages.
type plain struct{ addr netip.AddrPort }

func (p plain) Address(control.EndpointID) (netip.AddrPort, bool) { return p.addr, true }
func (p plain) Request(b []byte, as []*engine.Attempt, _ []time.Duration) []byte {
	names := make([]string, len(as))
	for i, a := range as {
		names[i] = a.Message.ExternalID
	}
	return h1.AppendHead(b, "POST /"+strings.Join(names, ",")+" HTTP/1.1", "Content-Length", "0")
}
func (p plain) Answer(as []*engine.Attempt, head *h1.Response, _ []byte) []engine.Outcome {
	ends := make([]engine.Outcome, len(as))
	for i := range ends {
		ends[i] = engine.Outcome{Kind: engine.Answered, Status: head.Status}
	}
	return ends
}
func (p plain) Assured(as []*engine.Attempt, status int) (engine.Outcome, bool) {
	return engine.Outcome{Kind: engine.Answered, Status: status}, status == 200 && len(as) == 1
}

// rig is a Pool and a peer whose connections the test has in its hand.
type rig struct {
	t     *testing.T
	p     *Pool
	clock clock.Clock
	conns chan net.Conn
	ends  chan engine.Outcome
	seq   uint64
	once  sync.Once
}

func newRig(t *testing.T) *rig { return newRigWith(t, nil) }

// newRigWith makes a rig whose calls need permits.
func newRigWith(t *testing.T, permits Admission) *rig {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, clock: clock.New(), conns: make(chan net.Conn, 16), ends: make(chan engine.Outcome, 64)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			r.conns <- c
		}
	}()
	cfg := Config{Loops: 1, MaxConnsPerEndpoint: 3, MaxStreams: 1, ConnectTimeout: time.Second, IdleTimeout: time.Minute, MaxAnswerBytes: 1000, Admission: permits,
		DialLimits: dialscheduler.Limits{HandshakesPerSecond: 1000, MaxHandshakes: 2, MaxConns: 3}}
	r.p, err = New(cfg, NewHTTP1(plain{netip.MustParseAddrPort(ln.Addr().String())}), r.clock, func(e engine.Outcome) { r.ends <- e })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		r.p.Close()
		_ = ln.Close()
	})
	return r
}

func (r *rig) start(names ...string) (call []*engine.Attempt) {
	for _, n := range names {
		r.seq++
		call = append(call, &engine.Attempt{Seq: r.seq, Message: &engine.Message{ExternalID: n}, Endpoint: 1, Deadline: r.clock.Now() + 20*control.Second})
	}
	r.p.Start(call)
	return call
}

func (r *rig) conn() net.Conn {
	r.t.Helper()
	select {
	case c := <-r.conns:
		return c
	case <-time.After(5 * time.Second):
		r.t.Fatal("no connection came")
		return nil
	}
}

// read reads what is written next.
func (r *rig) read(c net.Conn) string {
	r.t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	b := make([]byte, 4096)
	n, err := c.Read(b)
	if err != nil {
		r.t.Fatal(err)
	}
	return string(b[:n])
}

func (r *rig) want(kind engine.OutcomeKind, status int) {
	r.t.Helper()
	select {
	case e := <-r.ends:
		if e.Kind != kind || e.Status != status {
			r.t.Errorf("end %+v, want kind %d, status %d", e, kind, status)
		}
	case <-time.After(5 * time.Second):
		r.t.Fatal("no end came")
	}
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

// A used connection is used again; one that its peer has closed meanwhile is not written on, and nothing fails.
func TestConnectionUsedAgain(t *testing.T) {
	r := newRig(t)
	r.start("a")
	c := r.conn()
	r.read(c)
	_, _ = c.Write([]byte(okAnswer))
	r.want(engine.Answered, 200)
	r.start("b")
	if got := r.read(c); !strings.Contains(got, "/b") {
		t.Errorf("%q on the connection used before", got)
	}
	_, _ = c.Write([]byte(okAnswer))
	r.want(engine.Answered, 200)
	_ = c.Close()
	r.start("c")
	d := r.conn()
	r.read(d)
	_, _ = d.Write([]byte(okAnswer))
	r.want(engine.Answered, 200)
}

// Giving up closes the connection, and only then the end is told; what is left of an answer harms nobody.
func TestGivingUpCloses(t *testing.T) {
	r := newRig(t)
	call := r.start("a")
	c := r.conn()
	r.read(c)
	r.p.Cancel(call[0], engine.Cancelled)
	r.want(engine.Cancelled, 0)
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := c.Read(make([]byte, 1)); err == nil || strings.Contains(err.Error(), "timeout") {
		t.Errorf("the connection is open: %v", err)
	}
}

// Of several messages in a call one may run out of time: the others wait on, on the same connection. Its attempt is out with
// theirs until then, and ends with the call; with the time of the last one the call is given up.
func TestOneOfSeveralOutOfTime(t *testing.T) {
	r := newRig(t)
	call := r.start("a", "b")
	c := r.conn()
	r.read(c)
	r.p.Cancel(call[0], engine.TimedOut)
	select {
	case e := <-r.ends:
		t.Errorf("end %+v, and the call is out", e)
	case <-time.After(50 * time.Millisecond):
	}
	_, _ = c.Write([]byte("HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n"))
	r.want(engine.Answered, 500)
	r.want(engine.Answered, 500)
	call = r.start("c", "d")
	r.read(c)
	r.p.Cancel(call[0], engine.TimedOut)
	r.p.Cancel(call[1], engine.TimedOut)
	r.want(engine.TimedOut, 0)
	r.want(engine.TimedOut, 0)
}

// A time-out ahead of the message's end gives up the whole call: the message goes again, and must not be out twice.
func TestTimeOutOfOneThatGoesAgain(t *testing.T) {
	r := newRig(t)
	now := r.clock.Now()
	call := []*engine.Attempt{{Seq: 1, Message: &engine.Message{ExternalID: "a"}, Endpoint: 1, Deadline: now + 2*control.Second, MessageDeadline: now + 9*control.Second},
		{Seq: 2, Message: &engine.Message{ExternalID: "b"}, Endpoint: 1, Deadline: now + 9*control.Second, MessageDeadline: now + 9*control.Second}}
	r.p.Start(call)
	c := r.conn()
	r.read(c)
	r.p.Cancel(call[0], engine.TimedOut)
	got := map[uint64]engine.OutcomeKind{}
	for range call {
		select {
		case e := <-r.ends:
			got[e.Seq] = e.Kind
		case <-time.After(5 * time.Second):
			t.Fatalf("ends: %v", got)
		}
	}
	if got[1] != engine.TimedOut || got[2] != engine.ResetBeforeResponse {
		t.Errorf("ends: %v", got)
	}
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := c.Read(make([]byte, 1)); err == nil || strings.Contains(err.Error(), "timeout") {
		t.Errorf("the connection is open: %v", err)
	}
}

// The message with the most time leads a call, so that the first of a call is never over before the others.
func TestLongestLeadsACall(t *testing.T) {
	r := newRig(t)
	var call []*engine.Attempt
	now := r.clock.Now() // one moment for all: two of them have the same time
	for i, n := range []string{"short", "long", "middle", "long2"} {
		due := []control.Time{4, 12, 8, 12}[i]
		call = append(call, &engine.Attempt{Seq: uint64(i + 1), Message: &engine.Message{ExternalID: n}, Endpoint: 1, Deadline: now + due*control.Second})
	}
	r.p.Start(call)
	c := r.conn()
	if got := r.read(c); !strings.HasPrefix(got, "POST /long,long2,middle,short ") {
		t.Errorf("the call is %.40q", got)
	}
	r.p.Cancel(call[0], engine.TimedOut)
	_, _ = c.Write([]byte(okAnswer))
	for range call {
		r.want(engine.Answered, 200)
	}
}

// An attempt whose last moment has come when its connection is there is not written: the key of a repeat may be forgotten
// by then. One beside it in the call goes.
func TestTooLateToBegin(t *testing.T) {
	r := newRig(t)
	now := r.clock.Now()
	due := now + 20*control.Second
	r.p.Start([]*engine.Attempt{{Seq: 1, Message: &engine.Message{ExternalID: "late"}, Endpoint: 1, Deadline: due, WriteBefore: now},
		{Seq: 2, Message: &engine.Message{ExternalID: "early"}, Endpoint: 1, Deadline: due, WriteBefore: due}})
	c := r.conn()
	if got := r.read(c); !strings.HasPrefix(got, "POST /early ") {
		t.Errorf("the call is %.40q", got)
	}
	r.want(engine.Unsent, 0)
}

// An attempt that is given up before its connection is there is never written; the connection serves the next one.
func TestConnectionComesUpBehindTheGiveUp(t *testing.T) {
	r := newRig(t)
	call := r.start("gone")
	r.p.Cancel(call[0], engine.Cancelled)
	r.want(engine.Unsent, 0)
	r.start("next")
	c := r.conn()
	if got := r.read(c); !strings.HasPrefix(got, "POST /next ") {
		t.Errorf("%.40q is written", got)
	}
	_, _ = c.Write([]byte(okAnswer))
	r.want(engine.Answered, 200)
}

// An answer that is there before the give-up counts; one that crosses it is dropped with its connection. Either way the attempt
// has one end.
func TestAnswerCrossesTheGiveUp(t *testing.T) {
	for range 40 {
		r := newRig(t)
		call := r.start("a")
		c := r.conn()
		r.read(c)
		go func() { _, _ = c.Write([]byte(okAnswer)) }()
		r.p.Cancel(call[0], engine.Cancelled)
		select {
		case e := <-r.ends:
			if e.Kind != engine.Cancelled && (e.Kind != engine.Answered || e.Status != 200) {
				t.Fatalf("end %+v", e)
			}
		case <-time.After(5 * time.Second):
			t.Fatal("no end came")
		}
		r.start("b") // all that the pool still does for the first is done before this one ends
		answer := func(d net.Conn) {
			if _, err := d.Read(make([]byte, 4096)); err == nil {
				_, _ = d.Write([]byte(okAnswer))
			}
		}
		go answer(c) // used again, or closed
		go func() {
			select {
			case d := <-r.conns:
				answer(d)
			case <-time.After(5 * time.Second):
			}
		}()
		select {
		case e := <-r.ends:
			if e.Seq != 2 {
				t.Fatalf("a second end of the first: %+v", e)
			}
		case <-time.After(5 * time.Second):
			t.Fatal("no end of the second came")
		}
		r.p.mu.Lock()
		if n := len(r.p.tasks); n != 0 {
			t.Errorf("%d tasks are kept", n)
		}
		r.p.mu.Unlock()
	}
}

// An attempt that waits for a connection can be taken back: it has not run.
func TestUnsendWhileWaiting(t *testing.T) {
	r := newRig(t)
	var calls [][]*engine.Attempt
	for range 4 { // one more than connections are allowed
		calls = append(calls, r.start("x"))
	}
	for range 3 {
		r.read(r.conn())
	}
	r.p.CancelUnsent(calls[0][0]) // written: it stays out
	waiting := calls[3][0]
	r.p.mu.Lock()
	for _, k := range calls {
		if x := r.p.tasks[k[0].Seq]; x != nil && x.call.conn == nil {
			waiting = k[0]
		}
	}
	r.p.mu.Unlock()
	r.p.CancelUnsent(waiting)
	select {
	case e := <-r.ends:
		if e.Seq != waiting.Seq || e.Kind != engine.Unsent {
			t.Errorf("end %+v", e)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("no end came")
	}
}

// Ends of a site that was dropped leave the one made since alone: its wish for a connection would be lost with it.
func TestDroppedSiteLeavesTheNewOne(t *testing.T) {
	r := newRig(t)
	old := &site{ep: 1}
	r.start("a")
	r.p.mu.Lock()
	made := r.p.sites[1]
	r.p.grow(old)
	kept := r.p.sites[1] == made && made != nil
	r.p.mu.Unlock()
	if !kept {
		t.Error("the new site is gone")
	}
	c := r.conn()
	r.read(c)
	_, _ = c.Write([]byte(okAnswer))
	r.want(engine.Answered, 200)
}

// The first line that says 200 is enough, whatever becomes of the rest; without it a broken answer may have run.
func TestFirstLineDecides(t *testing.T) {
	for text, want := range map[string]engine.OutcomeKind{
		"HTTP/1.1 200 OK\r\n":                              engine.Answered,
		"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nabc": engine.Answered,
		"HTTP/1.1 103 x\r\n\r\nHTTP/1.1 200 OK\r\n":        engine.Answered,
		"HTTP/1.1 200": engine.ResetBeforeResponse,
		"HTTP/1.1 500 x\r\nContent-Length: 50\r\n\r\nabc": engine.ResetDuringResponse,
		"noise": engine.ProtocolError,
		"HTTP/1.1 500 x\r\nContent-Length: 3221225472\r\n\r\nab": engine.ProtocolError,
	} {
		r := newRig(t)
		r.start("a")
		c := r.conn()
		r.read(c)
		_, _ = c.Write([]byte(text))
		_ = c.Close()
		status := 0
		if want == engine.Answered {
			status = 200
		}
		r.want(want, status)
	}
}

// A head that promises enough and a body that never ends: the message is not kept waiting.
func TestBodyThatStalls(t *testing.T) {
	r := newRig(t)
	r.start("a")
	c := r.conn()
	r.read(c)
	start := time.Now()
	_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nabc"))
	r.want(engine.Answered, 200)
	if took := time.Since(start); took > 3*time.Second {
		t.Errorf("it took %v", took)
	}
}
