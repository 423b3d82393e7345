package amqp

import (
	"bytes"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func testConfig() Config {
	return Config{Product: "x", ChannelMax: 2047, FrameMax: 8192, Heartbeat: 10 * time.Second, Handshake: 5 * time.Second, BodyStallTimeout: 3 * time.Second,
		AbuseBurst: 100, AbuseRate: 10}
}

// testingT is the part of testing.TB that rapid.T also has.
type testingT interface {
	Fatal(...any)
	Fatalf(string, ...any)
}

// testConn is a connection whose client side the tests write frame by frame. It records the events.
type testConn struct {
	t      testingT
	c      *Conn
	now    time.Duration
	events []Event
	bodies map[uint16][]byte
	err    error
}

// newTestConn returns a connection before the protocol header. Its password is "secret".
func newTestConn(t testingT) *testConn {
	r := &testConn{t: t, bodies: map[uint16][]byte{}, now: time.Second}
	r.c = NewConn(testConfig(), r.now, func(e *Event) {
		v := *e
		v.Data = nil
		r.events = append(r.events, v)
		switch e.Kind {
		case Login:
			if e.Password == "secret" {
				r.c.AcceptLogin()
			} else if err := r.c.RefuseLogin("no"); err != nil {
				r.err = err
			}
		case ChannelOpened:
			r.c.AcceptChannel(e.Channel)
		case ContentBody:
			r.bodies[e.Channel] = append(r.bodies[e.Channel], e.Data...)
		}
	})
	return r
}

// send passes bytes of the client to the server.
func (r *testConn) send(b []byte) *testConn {
	if err := r.c.Receive(r.now, b); err != nil {
		r.err = err
	}
	return r
}

// methods sends methods on a channel as the client.
func (r *testConn) methods(channel uint16, methods ...Method) *testConn {
	for _, m := range methods {
		r.send(AppendMethod(nil, channel, m))
	}
	return r
}

// output returns the methods that the server has written, and their channels.
func (r *testConn) output() (methods []Method, channels []uint16) {
	b := r.c.Output()
	for len(b) > 0 {
		f, n, e := nextFrame(b, 1<<20)
		if e != nil || n == 0 {
			r.t.Fatalf("the server wrote %x: %v", b[:min(40, len(b))], e)
		}
		b = b[n:]
		if f.kind != frameMethod {
			continue
		}
		m, e := parseMethod(f)
		if e != nil {
			r.t.Fatal(e)
		}
		methods, channels = append(methods, m), append(channels, f.channel)
	}
	return methods, channels
}

func startOK(secret string) *ConnectionStartOK {
	return &ConnectionStartOK{Mechanism: "PLAIN", Response: "\x00t\x00" + secret, Properties: Table{{"capabilities",
		Table{{"connection.blocked", true}, {"authentication_failure_close", true}}}}}
}

// openTestConn returns a testConn after the handshake, with channel 1 open.
func openTestConn(t testingT) *testConn {
	r := newTestConn(t).send([]byte(ProtocolHeader)).methods(0, startOK("secret"), &ConnectionTuneOK{2047, 8192, 10}, &ConnectionOpen{VHost: "/"})
	r.methods(1, &ChannelOpen{})
	if r.err != nil || !r.c.IsChannelOpen(1) {
		t.Fatalf("handshake: %v", r.err)
	}
	r.output()
	r.events = nil
	return r
}

// closeCode returns the code of the close that the server has written, 0 for none, and whether it closes the connection.
func (r *testConn) closeCode() (code Code, hard bool) {
	all, _ := r.output()
	for _, m := range all {
		switch m := m.(type) {
		case *ChannelClose:
			code = m.Code
		case *ConnectionClose:
			return m.Code, true
		}
	}
	return code, false
}

// rawFrame returns a frame with any type and payload.
func rawFrame(kind byte, channel uint16, payload ...byte) []byte {
	return append(append(appendFrameHeader(nil, kind, channel, len(payload)), payload...), frameEnd)
}

// publishFrames returns a basic.publish on channel 1 and a content header that announces size bytes, at most 65535.
func publishFrames(size uint64) []byte {
	b := AppendMethod(nil, 1, &BasicPublish{Exchange: "x", Key: "k"})
	header := AppendContent(nil, 1, &Properties{}, nil, 8192)
	header[7+11] = byte(size)
	header[7+10] = byte(size >> 8)
	return append(b, header...)
}

func TestHandshakeRefusals(t *testing.T) {
	if r := newTestConn(t).send([]byte("AMQP\x00\x01\x00\x00")); r.err == nil || string(r.c.Output()) != ProtocolHeader || !r.c.Done() {
		t.Errorf("another version: %v", r.err)
	}
	if r := newTestConn(t).send([]byte("PRI * HTTP/2.0\r\n")); r.err == nil || !r.c.Done() {
		t.Error("an HTTP/2 preface was accepted")
	}
	afterHeader := func() *testConn { r := newTestConn(t).send([]byte(ProtocolHeader)); r.output(); return r }
	if r := afterHeader().methods(0, &ConnectionStartOK{Mechanism: "EXTERNAL"}); r.err == nil || !r.c.Done() {
		t.Error("another SASL mechanism was accepted")
	}
	if code, hard := afterHeader().methods(0, startOK("wrong")).closeCode(); code != AccessRefused || !hard {
		t.Errorf("wrong password: %d", code)
	}
	withoutCapabilities := startOK("wrong")
	withoutCapabilities.Properties = nil
	if r := afterHeader().methods(0, withoutCapabilities); r.err == nil || !r.c.Done() {
		t.Error("a refused client without authentication_failure_close is still connected")
	}
	if r := afterHeader().methods(0, &ConnectionOpen{VHost: "/"}); r.err == nil || !r.c.Done() {
		t.Error("connection.open before the login was accepted")
	}
	for _, tune := range []*ConnectionTuneOK{{2047, 1 << 20, 0}, {2047, 100, 0}, {4000, 8192, 0}} {
		r := afterHeader().methods(0, startOK("secret"), tune)
		if code, _ := r.closeCode(); code != NotAllowed {
			t.Errorf("tuned to %+v: %d", tune, code)
		}
	}
	r := afterHeader().methods(0, startOK("secret"), &ConnectionTuneOK{0, 0, 0}, &ConnectionOpen{VHost: "other"})
	if code, _ := r.closeCode(); code != NotAllowed {
		t.Errorf("another virtual host: %d", code)
	}
	idle := afterHeader()
	if idle.c.Check(idle.now+6*time.Second) == nil || !idle.c.Done() {
		t.Error("a handshake has no time limit")
	}
}

func TestProtocolErrors(t *testing.T) {
	deep := Table{{"a", nil}}
	for range 12 {
		deep = Table{{"a", deep}}
	}
	wide := make(Table, 2000)
	for name, c := range map[string]struct {
		b    []byte
		code Code
		hard bool
	}{
		"frame above frame-max":          {appendFrameHeader(nil, frameBody, 1, 9000), FrameError, true},
		"no end octet":                   {append(appendFrameHeader(nil, frameMethod, 1, 4), 0, 60, 0, 40, 0), FrameError, true},
		"unknown frame type":             {rawFrame(9, 0), FrameError, true},
		"heartbeat on a channel":         {rawFrame(frameHeartbeat, 1), FrameError, true},
		"unknown method":                 {rawFrame(frameMethod, 1, 0, 90, 0, 10), NotImplemented, true},
		"short method":                   {rawFrame(frameMethod, 1, 0, 60), SyntaxError, true},
		"arguments cut":                  {rawFrame(frameMethod, 1, 0, 60, 0, 40, 0, 0, 9, 'x'), SyntaxError, true},
		"arguments too many":             {rawFrame(frameMethod, 1, 0, 85, 0, 10, 0, 0), SyntaxError, true},
		"nested tables":                  {AppendMethod(nil, 1, &QueueDeclare{Arguments: deep}), SyntaxError, true},
		"table with many entries":        {AppendMethod(nil, 1, &QueueDeclare{Arguments: wide}), SyntaxError, true},
		"method on a closed channel":     {AppendMethod(nil, 7, &BasicQos{}), ChannelError, true},
		"channel opened twice":           {AppendMethod(nil, 1, &ChannelOpen{}), ChannelError, true},
		"channel above channel-max":      {AppendMethod(nil, 2048, &ChannelOpen{}), NotAllowed, true},
		"channel method on 0":            {AppendMethod(nil, 0, &BasicQos{}), CommandInvalid, true},
		"connection method on a channel": {AppendMethod(nil, 1, &ConnectionOpen{}), CommandInvalid, true},
		"open again":                     {AppendMethod(nil, 0, &ConnectionOpen{VHost: "/"}), CommandInvalid, true},
		"body without a publish":         {rawFrame(frameBody, 1, 'x'), UnexpectedFrame, true},
		"header without a publish":       {AppendContent(nil, 1, &Properties{}, nil, 8192), UnexpectedFrame, true},
		"method within a message":        {append(publishFrames(5), AppendMethod(nil, 1, &BasicQos{})...), UnexpectedFrame, true},
		"body longer than said":          {append(publishFrames(2), rawFrame(frameBody, 1, 'x', 'y', 'z')...), FrameError, true},
		"body before its header":         {append(AppendMethod(nil, 1, &BasicPublish{}), rawFrame(frameBody, 1, 'x')...), UnexpectedFrame, true},
		"content on channel 0":           {rawFrame(frameBody, 0, 'x'), UnexpectedFrame, true},
		"well":                           {append(publishFrames(2), rawFrame(frameBody, 1, 'x', 'y')...), 0, false},
	} {
		r := openTestConn(t).send(c.b)
		if code, hard := r.closeCode(); code != c.code || hard != c.hard || r.err != nil {
			t.Errorf("%s: %d (connection: %v), want %d; %v", name, code, hard, c.code, r.err)
		}
		r.send(AppendMethod(nil, 0, &ConnectionCloseOK{}))
		if r.send(rawFrame(frameHeartbeat, 0)); c.hard && c.code != FrameError && !r.c.Done() {
			t.Errorf("%s: not done after close-ok", name)
		}
		if _ = r.c.Check(r.now + 10*time.Second); c.hard && !r.c.Done() {
			t.Errorf("%s: not done in the end", name)
		}
	}
}

// Messages arrive complete however the input is split, and when the frames of two channels are interleaved.
func TestContentSplitAnywhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := openTestConn(t)
		r.methods(2, &ChannelOpen{})
		one, two := bytes.Repeat([]byte("a"), rapid.IntRange(0, 20000).Draw(t, "one")), bytes.Repeat([]byte("b"), rapid.IntRange(0, 300).Draw(t, "two"))
		var b []byte
		b = AppendMethod(b, 1, &BasicPublish{Key: "1"})
		b = AppendMethod(b, 2, &BasicPublish{Key: "2"})
		b = AppendContent(b, 1, &Properties{MessageID: "m", Headers: Table{{"h", int64(4)}}}, one, 8192)
		b = AppendContent(b, 2, &Properties{Priority: 3, HasPriority: true}, two, 4096)
		for len(b) > 0 {
			n := min(len(b), rapid.IntRange(1, 5000).Draw(t, "cut"))
			r.send(b[:n])
			b = b[n:]
		}
		if r.err != nil || !bytes.Equal(r.bodies[1], one) || !bytes.Equal(r.bodies[2], two) {
			t.Fatalf("%v, %d and %d bytes", r.err, len(r.bodies[1]), len(r.bodies[2]))
		}
	})
}

// An incomplete message without a further frame for longer than BodyStallTimeout closes the connection. One that
// progresses does not.
func TestStalledMessage(t *testing.T) {
	r := openTestConn(t).send(publishFrames(200))
	r.now += 2 * time.Second
	r.send(rawFrame(frameBody, 1, bytes.Repeat([]byte("x"), 100)...))
	if r.c.Check(r.now + 2*time.Second); r.c.Closing() {
		t.Error("a message that progresses closed the connection")
	}
	if r.c.Check(r.now + 4*time.Second); !r.c.Closing() {
		t.Error("a stalled message did not close the connection")
	}
}

// The server sends heartbeats, any input counts as one of the client's, and two missed ones end the connection.
func TestHeartbeats(t *testing.T) {
	r := openTestConn(t)
	// Heartbeats go on in both directions while the client is blocked.
	r.c.SetBlocked(r.now, true, "full")
	r.output()
	for range 20 {
		r.now += 5 * time.Second
		if err := r.c.Check(r.now); err != nil {
			t.Fatal(err)
		}
		if out := r.c.Output(); !bytes.Equal(out, rawFrame(frameHeartbeat, 0)) {
			t.Fatalf("no heartbeat: %x", out)
		}
		r.send(rawFrame(frameHeartbeat, 0))
	}
	if err := r.c.Check(r.now + 19*time.Second); err != nil {
		t.Error(err)
	}
	if err := r.c.Check(r.now + 21*time.Second); err == nil || !r.c.Done() {
		t.Error("a client that missed two heartbeats is still connected")
	}
}

// Frames that carry no message are limited by a budget. Publishes are not.
func TestFrameBudget(t *testing.T) {
	r := openTestConn(t)
	for range 10000 {
		r.send(append(publishFrames(1), rawFrame(frameBody, 1, 'x')...))
	}
	if r.c.Closing() {
		t.Fatal("publishes count against the frame budget")
	}
	n := 0
	for ; !r.c.Closing() && n < 10000; n++ {
		r.methods(2, &ChannelOpen{}, &ChannelClose{})
	}
	if code, _ := r.closeCode(); code != ResourceError || n > 3000 {
		t.Errorf("after %d rounds: %d", n, code)
	}
	all := openTestConn(t)
	for id := uint16(2); id <= 2047; id++ {
		all.methods(id, &ChannelOpen{})
	}
	if all.c.Closing() || !all.c.IsChannelOpen(2047) {
		t.Error("2,047 channels can't be opened")
	}
}

// What the client sends on a channel that the server has closed is discarded until channel.close-ok. The client's own
// channel.close may cross the server's and is answered.
func TestCloseCrossesPublish(t *testing.T) {
	r := openTestConn(t)
	r.c.CloseWithError(&Error{Code: PreconditionFailed, Channel: 1, Text: "no"})
	r.output()
	r.events = nil
	r.send(append(publishFrames(1), rawFrame(frameBody, 1, 'x')...)).methods(1, &BasicQos{}, &ChannelClose{})
	all, _ := r.output()
	if len(r.events) != 0 || len(all) != 1 || r.c.Closing() {
		t.Errorf("events %v, wrote %v", r.events, all)
	}
	if _, ok := all[0].(*ChannelCloseOK); !ok {
		t.Errorf("wrote %T", all[0])
	}
	r.methods(1, &ChannelCloseOK{}, &ChannelOpen{})
	if !r.c.IsChannelOpen(1) {
		t.Error("the channel can't be opened again")
	}
	r.c.Close(r.now, "stop")
	r.send(append(publishFrames(1), rawFrame(frameBody, 1, 'x')...)).methods(0, &ConnectionCloseOK{})
	if !r.c.Done() {
		t.Error("not done after close-ok")
	}
}

// Every tag is confirmed exactly once and with its outcome, as a client interprets acks, nacks and multiple.
func TestEachTagConfirmedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c ConfirmTracker
		confirmed := map[uint64]bool{}
		outcomes := map[uint64]bool{}
		var unsettled []uint64
		flush := func() {
			for _, f := range c.Flush(nil) {
				tags := []uint64{f.Tag}
				if f.Multiple {
					tags = nil
					for tag := uint64(1); tag <= f.Tag; tag++ {
						if _, ok := confirmed[tag]; !ok {
							tags = append(tags, tag)
						}
					}
				}
				for _, tag := range tags {
					if _, ok := confirmed[tag]; ok {
						t.Fatalf("tag %d confirmed twice", tag)
					}
					if served, ok := outcomes[tag]; !ok || served == f.Nack {
						t.Fatalf("tag %d: %+v, settled %v %v", tag, f, ok, served)
					}
					confirmed[tag] = !f.Nack
				}
			}
			if len(confirmed) != len(outcomes) {
				t.Fatalf("%d settled, %d confirmed", len(outcomes), len(confirmed))
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				unsettled = append(unsettled, c.Publish())
			case 2:
				if len(unsettled) > 0 {
					i := rapid.IntRange(0, len(unsettled)-1).Draw(t, "which")
					ok := rapid.Bool().Draw(t, "served")
					c.Settle(unsettled[i], ok)
					// Only the first outcome counts.
					c.Settle(unsettled[i], !ok)
					outcomes[unsettled[i]] = ok
					unsettled = append(unsettled[:i], unsettled[i+1:]...)
				}
			case 3:
				flush()
			}
		}
		flush()
		if c.Outstanding() != len(unsettled) {
			t.Fatalf("%d open, want %d", c.Outstanding(), len(unsettled))
		}
	})
}

func TestConfirmsUseMultiple(t *testing.T) {
	var c ConfirmTracker
	for range 100 {
		c.Publish()
	}
	for tag := uint64(100); tag > 0; tag-- {
		if tag != 60 {
			c.Settle(tag, true)
		}
	}
	got := c.Flush(nil)
	if len(got) != 41 || got[0] != (Confirm{Tag: 59, Multiple: true}) {
		t.Errorf("%d confirms, the first %+v", len(got), got[0])
	}
}

// fieldValues generates field values of every type. Arrays and tables nest up to depth levels.
func fieldValues(depth int) *rapid.Generator[any] {
	text := rapid.StringMatching(`[a-z]{0,9}`)
	all := []*rapid.Generator[any]{rapid.Bool().AsAny(), rapid.Int8().AsAny(), rapid.Uint8().AsAny(), rapid.Int16().AsAny(), rapid.Uint16().AsAny(),
		rapid.Int32().AsAny(), rapid.Uint32().AsAny(), rapid.Int64().AsAny(), rapid.Float32().AsAny(), rapid.Float64().AsAny(), text.AsAny(),
		rapid.Just[any](nil), rapid.Map(rapid.SliceOfN(rapid.Byte(), 1, 5), func(b []byte) any { return Bytes(b) }),
		rapid.Map(rapid.Int64Range(0, math.MaxInt32), func(s int64) any { return time.Unix(s, 0).UTC() }),
		rapid.Map(rapid.Uint32(), func(v uint32) any { return Decimal{2, v} })}
	if depth > 0 {
		all = append(all, rapid.Map(rapid.SliceOfN(fieldValues(depth-1), 1, 3), func(v []any) any { return v }),
			rapid.Map(rapid.SliceOfN(fieldValues(depth-1), 1, 3), func(v []any) any {
				var t Table
				for i, x := range v {
					t = append(t, Entry{strings.Repeat("n", i+1), x})
				}
				return t
			}))
	}
	return rapid.OneOf(all...)
}

// Encoding and decoding are inverse for tables with all types, methods with arguments, and properties.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := Table{{"v", fieldValues(3).Draw(t, "value")}, {"w", fieldValues(1).Draw(t, "other")}}
		m := &QueueDeclare{Ticket: 3, Queue: rapid.StringMatching(`[a-z]{0,20}`).Draw(t, "queue"), Durable: rapid.Bool().Draw(t, "durable"),
			NoWait: true, Arguments: table}
		f, n, e := nextFrame(AppendMethod(nil, 9, m), 1<<20)
		if e != nil || n == 0 || f.channel != 9 {
			t.Fatal(e)
		}
		got, e := parseMethod(f)
		if e != nil || !reflect.DeepEqual(got, m) {
			t.Fatalf("%+v, want %+v; %v", got, m, e)
		}
		p := Properties{ContentType: "a", Headers: table, DeliveryMode: 2, Priority: 0, HasPriority: true, CorrelationID: "c", ReplyTo: "r",
			Expiration: "5", MessageID: "m", Timestamp: 7, Type: "t", UserID: "u", AppID: "p"}
		f, _, _ = nextFrame(AppendContent(nil, 1, &p, []byte("abc"), 4096), 1<<20)
		class, size, q, e := parseContentHeader(f)
		if e != nil || class != 60 || size != 3 || !reflect.DeepEqual(p, q) {
			t.Fatalf("%+v, want %+v; %v", q, p, e)
		}
	})
}

// The zero value of each supported method is unchanged after encoding and decoding.
func TestAllMethods(t *testing.T) {
	for id, make := range methodsByID {
		m := make()
		class, method := ID(m)
		if uint32(class)<<16|uint32(method) != id {
			t.Errorf("%T is registered as %d.%d", m, id>>16, id&0xffff)
		}
		f, _, _ := nextFrame(AppendMethod(nil, 1, m), 1<<20)
		if got, e := parseMethod(f); e != nil || !reflect.DeepEqual(got, m) {
			t.Errorf("%T: %+v %v", m, got, e)
		}
	}
}

// FuzzConn sends arbitrary bytes after a handshake. The server must not crash, and its output must be well formed.
func FuzzConn(f *testing.F) {
	f.Add(append(publishFrames(2), rawFrame(frameBody, 1, 'x', 'y')...))
	f.Add(AppendMethod(nil, 1, &QueueDeclare{Arguments: Table{{"a", Table{{"b", []any{int8(1)}}}}}}))
	f.Add(AppendMethod(nil, 0, &ConnectionClose{Code: 200}))
	f.Add(rawFrame(frameMethod, 1, 0, 60, 0, 40, 0, 0, 9, 'x'))
	f.Fuzz(func(t *testing.T, b []byte) {
		r := openTestConn(t)
		r.send(b[:len(b)/2]).send(b[len(b)/2:])
		r.output()
		_ = r.c.Check(r.now + time.Minute)
		r.output()
	})
}

// FuzzTable decodes field tables. A decoded table must be the same after encoding and decoding it.
func FuzzTable(f *testing.F) {
	var w writer
	w.table(&Table{{"a", int32(1)}, {"b", "x"}, {"c", Table{{"d", []any{true, nil}}}}})
	f.Add(w.buf)
	f.Fuzz(func(t *testing.T, b []byte) {
		r := reader{buf: b}
		var one, two Table
		r.table(&one)
		if r.err != nil {
			return
		}
		var w writer
		w.table(&one)
		again := reader{buf: w.buf}
		again.table(&two)
		var w2 writer
		w2.table(&two)
		// The comparison is of bytes, because a NaN does not equal itself.
		if again.err != nil || !bytes.Equal(w.buf, w2.buf) {
			t.Fatalf("%v: %x, then %x", again.err, w.buf, w2.buf)
		}
	})
}

func BenchmarkPublish(b *testing.B) {
	r := openTestConn(b)
	msg := AppendContent(AppendMethod(nil, 1, &BasicPublish{Key: "/p"}), 1, &Properties{MessageID: "m"}, make([]byte, 256), 8192)
	b.ReportAllocs()
	for b.Loop() {
		r.events = r.events[:0]
		r.bodies[1] = r.bodies[1][:0]
		r.send(msg)
		r.c.Send(1, &BasicAck{DeliveryTag: 1})
		r.c.Output()
	}
}
