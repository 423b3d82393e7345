package outbound

import (
	"net"
	"net/http"
	"net/netip"
	"testing"

	"whinrun/control"
	"whinrun/internal/clock"
	"whinrun/internal/engine"
)

const overAnswer = "HTTP/1.1 410 x\r\nContent-Length: 0\r\n\r\n"

// resetConn closes a connection with a TCP reset.
func resetConn(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// Guards against a further call for a message that an answer in doubt may have ended. An answer in doubt that is no such end
// leaves the attempt possibly executed, and the message owed.
func TestAnswerInDoubt(t *testing.T) {
	giveUp := func(tp *testPool, _ net.Conn, call []*engine.Attempt) { tp.p.Cancel(call[0], engine.Cancelled) }
	timeOut := func(tp *testPool, _ net.Conn, call []*engine.Attempt) { tp.p.Cancel(call[0], engine.TimedOut) }
	reset := func(_ *testPool, c net.Conn, _ []*engine.Attempt) { resetConn(c) }
	again := func(text string) func(*testPool, net.Conn, []*engine.Attempt) {
		return func(_ *testPool, c net.Conn, _ []*engine.Attempt) { _, _ = c.Write([]byte(text)) }
	}
	for _, test := range []struct {
		name string
		// first is the answer to the call before, and text what arrives of the one to the call.
		first, text string
		// then is what happens behind it.
		then             func(tp *testPool, c net.Conn, call []*engine.Attempt)
		wantKind         engine.OutcomeKind
		wantPossiblyOver bool
	}{
		{"410 like the one before, given up", overAnswer, overAnswer, giveUp, engine.UnprovenAnswer, true},
		{"410 like the one before, out of time", overAnswer, overAnswer, timeOut, engine.UnprovenAnswer, true},
		{"410 like the one before, reset", overAnswer, overAnswer, reset, engine.ResetBeforeResponse, true},
		{"410 like the one before, twice", overAnswer, overAnswer, again(overAnswer), engine.UnprovenAnswer, true},
		{"410, broken off in its first line", overAnswer, "HTTP/1.1 410", reset, engine.ResetBeforeResponse, true},
		{"410, broken off in its body", okAnswer, "HTTP/1.1 410 x\r\nContent-Length: 9\r\n\r\nit", reset, engine.ResetDuringResponse, true},
		{"410, given up in its body", okAnswer, "HTTP/1.1 410 x\r\nContent-Length: 9\r\n\r\nit", giveUp, engine.Cancelled, true},
		{"410, whose body does not come", okAnswer, "HTTP/1.1 410 x\r\nContent-Length: 9\r\n\r\nit", nil, engine.UnprovenAnswer, true},
		{"410, malformed", okAnswer, "HTTP/1.1 410 x\r\nContent-Length: a\r\n\r\n", nil, engine.ProtocolError, true},
		{"410 behind a part of another answer", okAnswer, "HTTP/1.1 503 x\r\nConte" + overAnswer, nil, engine.ProtocolError, true},
		{"410 within the body of another answer", okAnswer, "HTTP/1.1 503 x\r\nContent-Length: 40\r\n\r\nabc" + overAnswer, nil, engine.UnprovenAnswer, true},
		{"200 like the one before, broken off", okAnswer, "HTTP/1.1 200 OK\r\nContent-Le", reset, engine.ResetBeforeResponse, true},
		{"503 like the one before, given up", busyAnswer, busyAnswer, giveUp, engine.UnprovenAnswer, false},
		{"503 like the one before, reset", busyAnswer, busyAnswer, reset, engine.ResetBeforeResponse, false},
		{"503, broken off", okAnswer, "HTTP/1.1 503 x\r\n", reset, engine.ResetBeforeResponse, false},
		{"500, broken off", okAnswer, "HTTP/1.1 500 x\r\nContent-Length: 9\r\n\r\n", reset, engine.ResetDuringResponse, false},
		{"nothing", okAnswer, "", reset, engine.ResetBeforeResponse, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			tp, c, call := startCallBehind(t, nil, test.first)
			defer func() { _ = c.Close() }()
			_, _ = c.Write([]byte(test.text))
			if test.then != nil {
				tp.awaitReceived(len(test.first) + len(test.text))
				test.then(tp, c, call)
			}
			end := <-tp.ends
			if end.Seq != call[0].Seq || end.Kind != test.wantKind || end.PossiblyOver != test.wantPossiblyOver {
				t.Errorf("end %+v, want kind %d, possibly over %v", end, test.wantKind, test.wantPossiblyOver)
			}
			if n := tp.p.AnswerCounts().EndedInDoubt; (n == 1) != test.wantPossiblyOver {
				t.Errorf("%d messages ended in doubt", n)
			}
		})
	}
}

// Guards against a call that another path makes for a message whose end is held: Admission is told first.
func TestHeldEndAdmitsNoCall(t *testing.T) {
	admission := &fakeAdmission{}
	tp, c, _ := startCallBehind(t, admission, overAnswer)
	defer func() { _ = c.Close() }()
	admission.takeEvents()
	_, _ = c.Write([]byte(overAnswer))
	tp.wantEnd(engine.UnprovenAnswer, 410)
	admission.wantEvents(t, "possibly over b")
}

// Guards against a second call for a message whose response was a final status, and whose stream was reset behind it.
func TestStreamResetBehindItsStatus(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Protocols: &protocols, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(201)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})}
	go func() { _ = server.Serve(ln) }()
	defer func() { _ = server.Close() }()
	ends := make(chan engine.Outcome, 1)
	timeSource := clock.New()
	pool, err := New(testConfig(), NewHTTP2(testCodec{netip.MustParseAddrPort(ln.Addr().String())}), timeSource, func(e engine.Outcome) { ends <- e })
	if err != nil {
		t.Fatal(err)
	}
	defer pool.Close()
	pool.Start([]*engine.Attempt{{Seq: 1, Message: &engine.Message{}, Endpoint: 1, Deadline: timeSource.Now() + 60*control.Second}})
	if end := <-ends; end.Kind != engine.ResetDuringResponse || !end.PossiblyOver {
		t.Errorf("end %+v, want one that may have ended the message", end)
	}
}

// Guards against a delivery that a drain, or a list without its endpoint, takes back: the connection is closed once it is settled.
func TestIdleCloseWaitsForAProvisionalDelivery(t *testing.T) {
	tp, c := startSecondCall(t)
	defer func() { _ = c.Close() }()
	_, _ = c.Write([]byte(okAnswer))
	tp.wantProvisional()
	tp.p.CloseIdle(1)
	tp.wantEnd(engine.DeliveryUnproven, 0)
	tp.wantClosed(c)
	if n := tp.p.AnswerCounts().TakenBack; n != 0 {
		t.Errorf("%d deliveries taken back", n)
	}
}
