package outbound

import (
	"net"
	"strings"
	"testing"
	"time"

	"whinrun/control"
	"whinrun/internal/engine"
	"whinrun/internal/h1"
)

// An answer counts for the call that is out if it names its messages, or if nothing like it came lately.
func TestAttribution(t *testing.T) {
	ok, busy, named := answerID{200, 1}, answerID{503, 2}, answerID{200, 3}
	const call, otherCall = 7, 8
	type past struct {
		id    answerID
		at    time.Duration
		named bool
	}
	for _, test := range []struct {
		name    string
		answers []past
		calls   []uint64
		now     time.Duration
		id      answerID
		names   AnswerNames
		want    attribution
		// provisional is set while an earlier answer is not settled.
		provisional bool
	}{
		{"first of the connection", nil, nil, 0, ok, NamesNone, belongsToCall, false},
		{"like the one before", []past{{ok, 0, false}}, []uint64{otherCall}, time.Second, ok, NamesNone, unproven, false},
		{"unlike the one before", []past{{ok, 0, false}}, []uint64{otherCall}, time.Second, busy, NamesNone, belongsToCall, false},
		{"like one two calls before", []past{{ok, 0, false}, {busy, 1, false}}, []uint64{otherCall}, time.Second, ok, NamesNone, unproven, false},
		{"like one long before", []past{{ok, 0, false}}, []uint64{otherCall}, copyHorizon + 1, ok, NamesNone, belongsToCall, false},
		{"names the call", []past{{ok, 0, false}}, []uint64{otherCall}, 1, named, NamesCall, belongsToCall, false},
		{"names the call, which went out on the connection before", []past{{named, 0, true}}, []uint64{call}, 1, named, NamesCall, unproven, false},
		{"the same with another result", []past{{named, 0, true}}, []uint64{call}, 1, answerID{200, 4}, NamesCall, belongsToCall, false},
		{"names others", []past{{named, 0, true}}, []uint64{otherCall}, 1, named, NamesOthers, belongsToOther, false},
		{"names others, and none came before", nil, nil, 0, named, NamesOthers, belongsToCall, false},
		{"names none though asked, like one before", []past{{ok, 0, false}}, []uint64{otherCall}, 1, ok, NamesMissing, belongsToOther, false},
		{"names none though asked, unlike any before", []past{{busy, 0, false}}, []uint64{otherCall}, 1, ok, NamesMissing, belongsToCall, false},
		{"unlike any before, behind a provisional one", []past{{ok, 0, false}}, []uint64{otherCall}, 1, busy, NamesNone, unproven, true},
		{"names the call, behind a provisional one", []past{{ok, 0, false}}, []uint64{otherCall}, 1, named, NamesCall, belongsToCall, true},
	} {
		var h answerHistory
		for _, a := range test.answers {
			h.recordAnswer(a.at, a.id, a.named)
		}
		for _, c := range test.calls {
			h.recordCall(0, c)
		}
		if got := h.attribute(test.now, test.id, test.names, call, test.provisional); got != test.want {
			t.Errorf("%s: %d, want %d", test.name, got, test.want)
		}
	}
}

// A connection with more answers than are kept proves nothing by what did not come on it.
func TestHistoryIsBounded(t *testing.T) {
	var h answerHistory
	for i := range 2 * maxHistory {
		h.recordAnswer(time.Duration(i), answerID{200, uint64(i)}, false)
		h.recordCall(time.Duration(i), uint64(i))
	}
	if len(h.answers) != maxHistory || len(h.calls) != maxHistory {
		t.Errorf("%d answers, %d calls", len(h.answers), len(h.calls))
	}
	if got := h.attribute(3*maxHistory, answerID{503, 0}, NamesNone, 1, false); got != unproven {
		t.Errorf("an answer behind too many others is %d", got)
	}
	if h.forget(2 * copyHorizon); len(h.answers)+len(h.calls) != 0 {
		t.Error("old answers are kept")
	}
}

// Two sendings of an answer are the same, whatever an intermediary adds.
func TestAnswerID(t *testing.T) {
	parse := func(text string) answerID {
		head, n, err := h1.ParseResponse([]byte(text))
		if err != nil || n == 0 {
			t.Fatal(err)
		}
		return identifyAnswer(head, []byte(text[n:]))
	}
	base := parse("HTTP/1.1 429 x\r\nRetry-After: 0.2\r\nContent-Length: 2\r\nDate: a\r\n\r\nab")
	if base != parse("HTTP/1.1 429 y\r\nVia: p\r\nRetry-After: 0.2\r\nContent-Length: 2\r\nDate: b\r\n\r\nab") {
		t.Error("another date makes another answer")
	}
	for _, other := range []string{"HTTP/1.1 503 x\r\nRetry-After: 0.2\r\nContent-Length: 2\r\n\r\nab", "HTTP/1.1 429 x\r\nRetry-After: 0.3\r\nContent-Length: 2\r\n\r\nab",
		"HTTP/1.1 429 x\r\nRetry-After: 0.2\r\nContent-Length: 2\r\n\r\nac"} {
		if base == parse(other) {
			t.Errorf("the same as %q", other)
		}
	}
}

const (
	busyAnswer  = "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n"
	errorAnswer = "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n"
)

// startSecondCall has a first call answered with 200 and starts a second one on the same connection.
func startSecondCall(t *testing.T) (*testPool, net.Conn) {
	t.Helper()
	tp, c, _ := startCallBehind(t, nil, okAnswer)
	return tp, c
}

// startCallBehind has a first call answered and starts a second one, of message b, on the same connection.
func startCallBehind(t *testing.T, admission Admission, firstAnswer string) (tp *testPool, c net.Conn, call []*engine.Attempt) {
	t.Helper()
	tp = newTestPoolWith(t, admission)
	tp.start("a")
	c = tp.conn()
	tp.read(c)
	_, _ = c.Write([]byte(firstAnswer))
	status, _ := h1.ParseStatus([]byte(firstAnswer))
	tp.wantEnd(engine.Answered, status)
	call = tp.start("b")
	if got := tp.read(c); !strings.Contains(got, "/b") {
		t.Fatalf("%q on the connection used before", got)
	}
	return tp, c, call
}

// Guards against a copy that ends the next call: the call's own answer counts, if it is unlike the copy. Both come in one
// write, so that they are read at once.
func TestCopyBeforeTheAnswer(t *testing.T) {
	tp, c := startSecondCall(t)
	_, _ = c.Write([]byte(okAnswer + busyAnswer))
	tp.wantEnd(engine.Answered, 503)
	if n := tp.p.AnswerCounts().Copies; n != 1 {
		t.Errorf("%d copies counted", n)
	}
}

// Guards against a message that is lost behind a copy whose call is never answered: silence proves no delivery. The connection is
// used further, and what comes on it later has no proof, either, since it may be the answer that was not there in time.
func TestSilenceProvesNoDelivery(t *testing.T) {
	tp, c := startSecondCall(t)
	_, _ = c.Write([]byte(okAnswer))
	tp.wantProvisional()
	tp.wantEnd(engine.DeliveryUnproven, 0)
	tp.start("c")
	if got := tp.read(c); !strings.Contains(got, "/c") {
		t.Errorf("%q on the connection used before", got)
	}
	_, _ = c.Write([]byte(busyAnswer))
	tp.wantEnd(engine.UnprovenAnswer, 503)
	tp.wantClosed(c)
}

// Guards against a notice that comes after the time of its message: a delivery that is not proven by then ends unproven,
// however long the endpoint's answers take.
func TestUnprovenDeliveryEndsInTime(t *testing.T) {
	tp := newTestPool(t)
	tp.start("a")
	c := tp.conn()
	tp.read(c)
	_, _ = c.Write([]byte(okAnswer))
	tp.wantEnd(engine.Answered, 200)
	tp.p.mu.Lock()
	endpoint := tp.p.endpoints[1]
	tp.p.mu.Unlock()
	tp.p.recordLatency(endpoint, provisionalTime.max)
	// lostAfter is when a message without an end is lost (protocol page).
	const left, lostAfter = 300 * control.Millisecond, 300 * control.Millisecond
	call := tp.startWithin(left, "b")
	tp.read(c)
	_, _ = c.Write([]byte(okAnswer))
	tp.wantProvisional()
	tp.wantEnd(engine.DeliveryUnproven, 0)
	if late := tp.clock.Now() - call[0].MessageDeadline; late > lostAfter {
		t.Errorf("%d ms after the time of the message", late/control.Millisecond)
	}
}

// wantClosed expects the end of a connection, and no bytes before it.
func (tp *testPool) wantClosed(c net.Conn) {
	tp.t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if n, err := c.Read(make([]byte, 1)); err == nil {
		tp.t.Errorf("%d bytes instead of the end of the connection", n)
	}
}

// Guards against a message that is lost behind a copy, because an orderly close of the connection counted as proof that its call
// had been answered: the peer may have closed before it read the call.
func TestOrderlyCloseProvesNoDelivery(t *testing.T) {
	for name, closeConn := range map[string]func(c net.Conn){
		"both directions":   func(c net.Conn) { _ = c.Close() },
		"the peer's writes": func(c net.Conn) { _ = c.(*net.TCPConn).CloseWrite() },
	} {
		t.Run(name, func(t *testing.T) {
			tp, c := startSecondCall(t)
			_, _ = c.Write([]byte(okAnswer))
			tp.wantProvisional()
			closeConn(c)
			tp.wantEnd(engine.DeliveryUnproven, 0)
			if n := tp.p.AnswerCounts().TakenBack; n != 1 {
				t.Errorf("%d deliveries counted", n)
			}
		})
	}
}

// wantProvisional expects a delivery that is not confirmed.
func (tp *testPool) wantProvisional() {
	tp.t.Helper()
	if e := <-tp.ends; e.Kind != engine.Answered || e.Status != 200 || !e.Provisional {
		tp.t.Errorf("end %+v, want a provisional delivery", e)
	}
}

// Guards against a copy that ends a call with its connection idle afterwards: what comes behind a provisional delivery takes
// it back, and so does the loss of the connection.
func TestProvisionalDeliveryIsTakenBack(t *testing.T) {
	for name, end := range map[string]func(c net.Conn){
		"the call's own answer": func(c net.Conn) { _, _ = c.Write([]byte(busyAnswer)) },
		"a reset": func(c net.Conn) {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		},
		"half an answer": func(c net.Conn) { _, _ = c.Write([]byte(busyAnswer[:10])) },
	} {
		t.Run(name, func(t *testing.T) {
			tp, c := startSecondCall(t)
			_, _ = c.Write([]byte(okAnswer))
			tp.wantProvisional()
			end(c)
			tp.wantEnd(engine.DeliveryUnproven, 0)
			if n := tp.p.AnswerCounts().TakenBack; n != 1 {
				t.Errorf("%d deliveries counted", n)
			}
		})
	}
}

// Guards against a message that runs twice, because a refusal behind a provisional delivery counted for the later call once the
// connection was silent: it may be the answer to the call before.
func TestRefusalBehindAProvisionalDelivery(t *testing.T) {
	tp, c := startSecondCall(t)
	_, _ = c.Write([]byte(okAnswer))
	tp.wantProvisional()
	tp.start("c")
	tp.read(c)
	_, _ = c.Write([]byte(busyAnswer))
	tp.wantEnd(engine.DeliveryUnproven, 0)
	tp.wantEnd(engine.UnprovenAnswer, 503)
	tp.wantClosed(c)
}

// Guards against a message that runs twice, or has two calls out at once, because silence behind an answer that may be a copy
// counted as proof that it was the call's own: the call may still be out. It ends unproven, behind its connection.
func TestSilenceProvesNoHeldAnswer(t *testing.T) {
	for name, test := range map[string]struct {
		answer   string
		wantOver bool
	}{
		"refusal": {busyAnswer, false},
		"error":   {errorAnswer, false},
		"end":     {overAnswer, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tp, c, call := startCallBehind(t, nil, test.answer)
			_, _ = c.Write([]byte(test.answer))
			end := <-tp.ends
			if end.Seq != call[0].Seq || end.Kind != engine.UnprovenAnswer || end.PossiblyOver != test.wantOver {
				t.Errorf("end %+v, want an unproven answer, possibly over %v", end, test.wantOver)
			}
			tp.wantClosed(c)
		})
	}
}

// A provisional delivery is confirmed by an answer to a later call that names its message, if there were as many answers as calls.
// Guards against a message that is lost because an answer of another status in between, which is one more, was not counted.
func TestNamedAnswerSettlesProvisionalDeliveries(t *testing.T) {
	const name = namedPrefix + "c"
	for _, test := range []struct {
		name    string
		between string
		want    engine.OutcomeKind
	}{
		{"as many answers as calls", "", engine.DeliveryConfirmed},
		{"one more, like the first", okAnswer, engine.DeliveryUnproven},
		{"one more, of another status", busyAnswer, engine.DeliveryUnproven},
	} {
		t.Run(test.name, func(t *testing.T) {
			tp, c := startSecondCall(t)
			_, _ = c.Write([]byte(okAnswer))
			tp.wantProvisional()
			tp.start(name)
			tp.read(c)
			_, _ = c.Write([]byte(test.between + "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n" + name))
			tp.wantEnd(test.want, 0)
			tp.wantEnd(engine.Answered, 200)
		})
	}
}

// Guards against a conclusion from answers that do not tell which is the copy: the call has ended as possibly executed, and
// its connection is gone before that is reported.
func TestAnswersThatProveNothing(t *testing.T) {
	for name, text := range map[string]string{"twice the same": okAnswer + okAnswer, "half an answer": okAnswer + okAnswer[:20]} {
		tp, c := startSecondCall(t)
		_, _ = c.Write([]byte(text))
		tp.wantEnd(engine.UnprovenAnswer, 200)
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		if n, err := c.Read(make([]byte, 1)); err == nil {
			t.Errorf("%s: %d bytes instead of the end of the connection", name, n)
		}
		if n := tp.p.AnswerCounts().TakenBack; n != 1 {
			t.Errorf("%s: %d calls counted", name, n)
		}
	}
}

// Guards against a connection that is lost for each copy: whole answers without a call are skipped, and parts of one end it.
func TestAnswerWithoutACall(t *testing.T) {
	tp := newTestPool(t)
	tp.start("a")
	c := tp.conn()
	tp.read(c)
	_, _ = c.Write([]byte(okAnswer + okAnswer + "HTTP/1.1 100 Continue\r\n\r\n" + okAnswer))
	tp.wantEnd(engine.Answered, 200)
	for tp.p.AnswerCounts().Copies < 2 {
		time.Sleep(time.Millisecond)
	}
	// While copies are expected, the connection rests, and a call gets another.
	tp.start("b")
	d := tp.conn()
	tp.read(d)
	_, _ = d.Write([]byte(okAnswer + okAnswer[:10]))
	tp.wantEnd(engine.Answered, 200)
	_ = d.SetReadDeadline(time.Now().Add(5 * time.Second))
	if n, err := d.Read(make([]byte, 1)); err == nil {
		t.Errorf("%d bytes instead of the end of the connection", n)
	}
	for tp.p.Connections() != 1 {
		time.Sleep(time.Millisecond)
	}
}

// Guards against the status line of a copy that is taken for that of the call whose connection breaks behind it.
func TestStatusLineOfACopy(t *testing.T) {
	tp, c := startSecondCall(t)
	_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-"))
	_ = c.Close()
	tp.wantEnd(engine.ResetBeforeResponse, 0)
}

// Guards against a provisional delivery that nothing settles, because other answers of the endpoint came more slowly meanwhile.
func TestDeliveryIsSettledWhenAnswersSlowDown(t *testing.T) {
	tp, c := startSecondCall(t)
	_, _ = c.Write([]byte(okAnswer))
	tp.wantProvisional()
	tp.p.mu.Lock()
	endpoint := tp.p.endpoints[1]
	tp.p.mu.Unlock()
	tp.p.recordLatency(endpoint, provisionalTime.max)
	tp.wantEnd(engine.DeliveryUnproven, 0)
}

// Guards against an alarm for a malformed answer, which is no sign of copies; an answer in the midst of another one is.
func TestWhatTellsOfParts(t *testing.T) {
	for text, want := range map[string]bool{
		"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nmore":              false,
		"\x16\x03\x01 noise\r\n\r\n":                                             false,
		"HTTP/1.1 200 OK\r\nContent-HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n": true,
		"HTTP/1.1 200 OK\r\nHTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n":         true,
		"HTTHTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n":                         true,
	} {
		tp, c := startSecondCall(t)
		_, _ = c.Write([]byte(text))
		tp.wantEnd(engine.ProtocolError, 0)
		if got := tp.p.copiesExpected(tp.p.elapsed()); got != want {
			t.Errorf("%q: copies are expected: %v", text, got)
		}
	}
}

// A call goes to a connection on which a refusal would be proven, if there is one: not to one that has refused a call lately.
func TestCallsAvoidDoubtfulConnections(t *testing.T) {
	tp := newTestPool(t)
	tp.start("a")
	c := tp.conn()
	tp.read(c)
	tp.start("b")
	d := tp.conn()
	tp.read(d)
	_, _ = c.Write([]byte(busyAnswer))
	tp.wantEnd(engine.Answered, 503)
	_, _ = d.Write([]byte(okAnswer))
	tp.wantEnd(engine.Answered, 200)
	tp.start("c")
	if got := tp.read(d); !strings.Contains(got, "/c") {
		t.Errorf("%q on the connection that has not refused a call", got)
	}
	// With no other connection, the doubtful one is used.
	tp.start("d")
	if got := tp.read(c); !strings.Contains(got, "/d") {
		t.Errorf("%q on the doubtful connection", got)
	}
}

// Guards against a status line that counts as proof behind a provisional delivery: it may be the first line of the answer to
// the call before. The answers before that are no longer remembered here, so that nothing else forbids it.
func TestStatusLineBehindAProvisionalDelivery(t *testing.T) {
	t.Parallel()
	tp, c := startSecondCall(t)
	tp.p.mu.Lock()
	endpoint := tp.p.endpoints[1]
	tp.p.mu.Unlock()
	// Provisional deliveries are settled after more than copyHorizon.
	tp.p.recordLatency(endpoint, provisionalTime.max)
	_, _ = c.Write([]byte(okAnswer))
	tp.wantProvisional()
	<-time.After(copyHorizon + 50*time.Millisecond)
	tp.start("c")
	tp.read(c)
	_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-"))
	_ = c.Close()
	tp.wantEnd(engine.DeliveryUnproven, 0)
	tp.wantEnd(engine.ResetBeforeResponse, 0)
}

// Guards against a notice that waits for the end of a later call: a provisional delivery ends while that call is out, too.
func TestDeliveryIsSettledWhileTheNextCallIsOut(t *testing.T) {
	tp, c := startSecondCall(t)
	_, _ = c.Write([]byte(okAnswer))
	tp.wantProvisional()
	tp.start("c")
	tp.read(c)
	tp.wantEnd(engine.DeliveryUnproven, 0)
	_ = c.Close()
	tp.wantEnd(engine.ResetBeforeResponse, 0)
}
