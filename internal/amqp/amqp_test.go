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

func config() Config {
	return Config{Product: "x", ChannelMax: 2047, FrameMax: 8192, Heartbeat: 10 * time.Second, Handshake: 5 * time.Second, BodyStallTimeout: 3 * time.Second,
		AbuseBurst: 100, AbuseRate: 10}
}

// fatal is what rapid's tests share with others.
type fatal interface {
	Fatal(...any)
	Fatalf(string, ...any)
}

// rig is a connection with its client's side written by hand.
type rig struct {
	t      fatal
	c      *Conn
	now    time.Duration
	events []Event
	bodies map[uint16][]byte
	err    error
}

func newRig(t fatal) *rig {
	r := &rig{t: t, bodies: map[uint16][]byte{}, now: time.Second}
	r.c = NewConn(config(), r.now, func(e *Event) {
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

func (r *rig) send(b []byte) *rig {
	if err := r.c.Receive(r.now, b); err != nil {
		r.err = err
	}
	return r
}

func (r *rig) methods(channel uint16, all ...Method) *rig {
	for _, m := range all {
		r.send(AppendMethod(nil, channel, m))
	}
	return r
}

// out reads what the server has written.
func (r *rig) out() (all []Method, channels []uint16) {
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
		all, channels = append(all, m), append(channels, f.channel)
	}
	return all, channels
}

func startOK(secret string) *ConnectionStartOK {
	return &ConnectionStartOK{Mechanism: "PLAIN", Response: "\x00t\x00" + secret, Properties: Table{{"capabilities",
		Table{{"connection.blocked", true}, {"authentication_failure_close", true}}}}}
}

// opened is a rig with an open connection and channel 1.
func opened(t fatal) *rig {
	r := newRig(t).send([]byte(ProtocolHeader)).methods(0, startOK("secret"), &ConnectionTuneOK{2047, 8192, 10}, &ConnectionOpen{VHost: "/"})
	r.methods(1, &ChannelOpen{})
	if r.err != nil || !r.c.IsChannelOpen(1) {
		t.Fatalf("handshake: %v", r.err)
	}
	r.out()
	r.events = nil
	return r
}

// closeCode is the code of the close that the server has written, 0 for none, and whether it is of the connection.
func (r *rig) closeCode() (code Code, hard bool) {
	all, _ := r.out()
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

func raw(kind byte, channel uint16, payload ...byte) []byte {
	return append(append(appendFrameHead(nil, kind, channel, len(payload)), payload...), frameEnd)
}

func publishFrames(size uint64) []byte {
	b := AppendMethod(nil, 1, &BasicPublish{Exchange: "x", Key: "k"})
	head := appendContent(nil, 1, &Properties{}, nil, 8192)
	head[7+11] = byte(size)
	head[7+10] = byte(size >> 8)
	return append(b, head...)
}

func TestHandshakeRefusals(t *testing.T) {
	if r := newRig(t).send([]byte("AMQP\x00\x01\x00\x00")); r.err == nil || string(r.c.Output()) != ProtocolHeader || !r.c.Done() {
		t.Errorf("another version: %v", r.err)
	}
	if r := newRig(t).send([]byte("PRI * HTTP/2.0\r\n")); r.err == nil || !r.c.Done() {
		t.Error("HTTP/2 was let in")
	}
	hello := func() *rig { r := newRig(t).send([]byte(ProtocolHeader)); r.out(); return r }
	if r := hello().methods(0, &ConnectionStartOK{Mechanism: "EXTERNAL"}); r.err == nil || !r.c.Done() {
		t.Error("another mechanism was let in")
	}
	if code, hard := hello().methods(0, startOK("wrong")).closeCode(); code != AccessRefused || !hard {
		t.Errorf("wrong password: %d", code)
	}
	old := startOK("wrong")
	old.Properties = nil
	if r := hello().methods(0, old); r.err == nil || !r.c.Done() {
		t.Error("a client that can't be told is not cut off")
	}
	if r := hello().methods(0, &ConnectionOpen{VHost: "/"}); r.err == nil || !r.c.Done() {
		t.Error("open before the login was let in")
	}
	for _, tune := range []*ConnectionTuneOK{{2047, 1 << 20, 0}, {2047, 100, 0}, {4000, 8192, 0}} {
		r := hello().methods(0, startOK("secret"), tune)
		if code, _ := r.closeCode(); code != NotAllowed {
			t.Errorf("tuned to %+v: %d", tune, code)
		}
	}
	r := hello().methods(0, startOK("secret"), &ConnectionTuneOK{0, 0, 0}, &ConnectionOpen{VHost: "other"})
	if code, _ := r.closeCode(); code != NotAllowed {
		t.Errorf("another virtual host: %d", code)
	}
	late := hello()
	if late.c.Check(late.now+6*time.Second) == nil || !late.c.Done() {
		t.Error("a handshake without end")
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
		"frame above frame-max":          {appendFrameHead(nil, frameBody, 1, 9000), FrameError, true},
		"no end octet":                   {append(appendFrameHead(nil, frameMethod, 1, 4), 0, 60, 0, 40, 0), FrameError, true},
		"unknown frame type":             {raw(9, 0), FrameError, true},
		"heartbeat on a channel":         {raw(frameHeartbeat, 1), FrameError, true},
		"unknown method":                 {raw(frameMethod, 1, 0, 90, 0, 10), NotImplemented, true},
		"short method":                   {raw(frameMethod, 1, 0, 60), SyntaxError, true},
		"arguments cut":                  {raw(frameMethod, 1, 0, 60, 0, 40, 0, 0, 9, 'x'), SyntaxError, true},
		"arguments too many":             {raw(frameMethod, 1, 0, 85, 0, 10, 0, 0), SyntaxError, true},
		"nested tables":                  {AppendMethod(nil, 1, &QueueDeclare{Arguments: deep}), SyntaxError, true},
		"table with many entries":        {AppendMethod(nil, 1, &QueueDeclare{Arguments: wide}), SyntaxError, true},
		"method on a closed channel":     {AppendMethod(nil, 7, &BasicQos{}), ChannelError, true},
		"channel opened twice":           {AppendMethod(nil, 1, &ChannelOpen{}), ChannelError, true},
		"channel above channel-max":      {AppendMethod(nil, 2048, &ChannelOpen{}), NotAllowed, true},
		"channel method on 0":            {AppendMethod(nil, 0, &BasicQos{}), CommandInvalid, true},
		"connection method on a channel": {AppendMethod(nil, 1, &ConnectionOpen{}), CommandInvalid, true},
		"open again":                     {AppendMethod(nil, 0, &ConnectionOpen{VHost: "/"}), CommandInvalid, true},
		"body without a publish":         {raw(frameBody, 1, 'x'), UnexpectedFrame, true},
		"header without a publish":       {appendContent(nil, 1, &Properties{}, nil, 8192), UnexpectedFrame, true},
		"method within a message":        {append(publishFrames(5), AppendMethod(nil, 1, &BasicQos{})...), UnexpectedFrame, true},
		"body longer than said":          {append(publishFrames(2), raw(frameBody, 1, 'x', 'y', 'z')...), FrameError, true},
		"body before its header":         {append(AppendMethod(nil, 1, &BasicPublish{}), raw(frameBody, 1, 'x')...), UnexpectedFrame, true},
		"content on channel 0":           {raw(frameBody, 0, 'x'), UnexpectedFrame, true},
		"well":                           {append(publishFrames(2), raw(frameBody, 1, 'x', 'y')...), 0, false},
	} {
		r := opened(t).send(c.b)
		if code, hard := r.closeCode(); code != c.code || hard != c.hard || r.err != nil {
			t.Errorf("%s: %d (connection: %v), want %d; %v", name, code, hard, c.code, r.err)
		}
		r.send(AppendMethod(nil, 0, &ConnectionCloseOK{}))
		if r.send(raw(frameHeartbeat, 0)); c.hard && c.code != FrameError && !r.c.Done() {
			t.Errorf("%s: not done after close-ok", name)
		}
		if _ = r.c.Check(r.now + 10*time.Second); c.hard && !r.c.Done() {
			t.Errorf("%s: not done in the end", name)
		}
	}
}

// Messages arrive whole however their bytes are cut, also on channels whose frames mix.
func TestContentSplitAnywhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := opened(t)
		r.methods(2, &ChannelOpen{})
		one, two := bytes.Repeat([]byte("a"), rapid.IntRange(0, 20000).Draw(t, "one")), bytes.Repeat([]byte("b"), rapid.IntRange(0, 300).Draw(t, "two"))
		var b []byte
		b = AppendMethod(b, 1, &BasicPublish{Key: "1"})
		b = AppendMethod(b, 2, &BasicPublish{Key: "2"})
		b = appendContent(b, 1, &Properties{MessageID: "m", Headers: Table{{"h", int64(4)}}}, one, 8192)
		b = appendContent(b, 2, &Properties{Priority: 3, HasPriority: true}, two, 4096)
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

// A message that stands still ends the connection, one that moves does not; its channel's close is no error.
func TestStalledMessage(t *testing.T) {
	r := opened(t).send(publishFrames(200))
	r.now += 2 * time.Second
	r.send(raw(frameBody, 1, bytes.Repeat([]byte("x"), 100)...))
	if r.c.Check(r.now + 2*time.Second); r.c.Closing() {
		t.Error("a message that moves is ended")
	}
	if r.c.Check(r.now + 4*time.Second); !r.c.Closing() {
		t.Error("a message that stands still is not ended")
	}
}

// Heartbeats: ours go out, any byte of the client's counts, two missed end the connection.
func TestHeartbeats(t *testing.T) {
	r := opened(t)
	r.c.SetBlocked(r.now, true, "full") // a throttled connection is heard, and hears of us, all the same
	r.out()
	for range 20 {
		r.now += 5 * time.Second
		if err := r.c.Check(r.now); err != nil {
			t.Fatal(err)
		}
		if out := r.c.Output(); !bytes.Equal(out, raw(frameHeartbeat, 0)) {
			t.Fatalf("no heartbeat: %x", out)
		}
		r.send(raw(frameHeartbeat, 0))
	}
	if err := r.c.Check(r.now + 19*time.Second); err != nil {
		t.Error(err)
	}
	if err := r.c.Check(r.now + 21*time.Second); err == nil || !r.c.Done() {
		t.Error("a client that is silent for two heartbeats is kept")
	}
}

// Frames that carry no message draw on a budget; publishes don't.
func TestFrameBudget(t *testing.T) {
	r := opened(t)
	for range 10000 {
		r.send(append(publishFrames(1), raw(frameBody, 1, 'x')...))
	}
	if r.c.Closing() {
		t.Fatal("publishes are taken for abuse")
	}
	n := 0
	for ; !r.c.Closing() && n < 10000; n++ {
		r.methods(2, &ChannelOpen{}, &ChannelClose{})
	}
	if code, _ := r.closeCode(); code != ResourceError || n > 3000 {
		t.Errorf("after %d rounds: %d", n, code)
	}
	all := opened(t)
	for id := uint16(2); id <= 2047; id++ {
		all.methods(id, &ChannelOpen{})
	}
	if all.c.Closing() || !all.c.IsChannelOpen(2047) {
		t.Error("2,047 channels can't be opened")
	}
}

// Closes cross: what comes on a channel that we have closed is discarded until the client has heard of it.
func TestCloseCrossesPublish(t *testing.T) {
	r := opened(t)
	r.c.CloseWithError(&Error{Code: PreconditionFailed, Channel: 1, Text: "no"})
	r.out()
	r.events = nil
	r.send(append(publishFrames(1), raw(frameBody, 1, 'x')...)).methods(1, &BasicQos{}, &ChannelClose{})
	all, _ := r.out()
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
	r.send(append(publishFrames(1), raw(frameBody, 1, 'x')...)).methods(0, &ConnectionCloseOK{})
	if !r.c.Done() {
		t.Error("not done after close-ok")
	}
}

// Every tag is confirmed exactly once, with what was settled, as a client reads acks, nacks and multiple.
func TestEachTagConfirmedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c ConfirmTracker
		told := map[uint64]bool{}
		want := map[uint64]bool{}
		var open []uint64
		flush := func() {
			for _, f := range c.Flush(nil) {
				tags := []uint64{f.Tag}
				if f.Multiple {
					tags = nil
					for tag := uint64(1); tag <= f.Tag; tag++ {
						if _, ok := told[tag]; !ok {
							tags = append(tags, tag)
						}
					}
				}
				for _, tag := range tags {
					if _, ok := told[tag]; ok {
						t.Fatalf("tag %d confirmed twice", tag)
					}
					if served, ok := want[tag]; !ok || served == f.Nack {
						t.Fatalf("tag %d: %+v, settled %v %v", tag, f, ok, served)
					}
					told[tag] = !f.Nack
				}
			}
			if len(told) != len(want) {
				t.Fatalf("%d settled, %d confirmed", len(want), len(told))
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				open = append(open, c.Publish())
			case 2:
				if len(open) > 0 {
					i := rapid.IntRange(0, len(open)-1).Draw(t, "which")
					ok := rapid.Bool().Draw(t, "served")
					c.Settle(open[i], ok)
					c.Settle(open[i], !ok) // only the first word counts
					want[open[i]] = ok
					open = append(open[:i], open[i+1:]...)
				}
			case 3:
				flush()
			}
		}
		flush()
		if c.Outstanding() != len(open) {
			t.Fatalf("%d open, want %d", c.Outstanding(), len(open))
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

// values draws field values of every type.
func values(depth int) *rapid.Generator[any] {
	text := rapid.StringMatching(`[a-z]{0,9}`)
	all := []*rapid.Generator[any]{rapid.Bool().AsAny(), rapid.Int8().AsAny(), rapid.Uint8().AsAny(), rapid.Int16().AsAny(), rapid.Uint16().AsAny(),
		rapid.Int32().AsAny(), rapid.Uint32().AsAny(), rapid.Int64().AsAny(), rapid.Float32().AsAny(), rapid.Float64().AsAny(), text.AsAny(),
		rapid.Just[any](nil), rapid.Map(rapid.SliceOfN(rapid.Byte(), 1, 5), func(b []byte) any { return Bytes(b) }),
		rapid.Map(rapid.Int64Range(0, math.MaxInt32), func(s int64) any { return time.Unix(s, 0).UTC() }),
		rapid.Map(rapid.Uint32(), func(v uint32) any { return Decimal{2, v} })}
	if depth > 0 {
		all = append(all, rapid.Map(rapid.SliceOfN(values(depth-1), 1, 3), func(v []any) any { return v }),
			rapid.Map(rapid.SliceOfN(values(depth-1), 1, 3), func(v []any) any {
				var t Table
				for i, x := range v {
					t = append(t, Entry{strings.Repeat("n", i+1), x})
				}
				return t
			}))
	}
	return rapid.OneOf(all...)
}

// What is written reads back the same: tables of all types, methods with arguments, properties.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := Table{{"v", values(3).Draw(t, "value")}, {"w", values(1).Draw(t, "other")}}
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
		f, _, _ = nextFrame(appendContent(nil, 1, &p, []byte("abc"), 4096), 1<<20)
		class, size, q, e := parseHeader(f)
		if e != nil || class != 60 || size != 3 || !reflect.DeepEqual(p, q) {
			t.Fatalf("%+v, want %+v; %v", q, p, e)
		}
	})
}

// Each method that is known reads back what its zero value writes.
func TestAllMethods(t *testing.T) {
	for id, make := range known {
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

// FuzzConn feeds bytes after a handshake: no crash, and what the server writes is well formed.
func FuzzConn(f *testing.F) {
	f.Add(append(publishFrames(2), raw(frameBody, 1, 'x', 'y')...))
	f.Add(AppendMethod(nil, 1, &QueueDeclare{Arguments: Table{{"a", Table{{"b", []any{int8(1)}}}}}}))
	f.Add(AppendMethod(nil, 0, &ConnectionClose{Code: 200}))
	f.Add(raw(frameMethod, 1, 0, 60, 0, 40, 0, 0, 9, 'x'))
	f.Fuzz(func(t *testing.T, b []byte) {
		r := opened(t)
		r.send(b[:len(b)/2]).send(b[len(b)/2:])
		r.out()
		_ = r.c.Check(r.now + time.Minute)
		r.out()
	})
}

// FuzzTable reads field tables: what was read writes to what reads the same.
func FuzzTable(f *testing.F) {
	var w writer
	w.table(&Table{{"a", int32(1)}, {"b", "x"}, {"c", Table{{"d", []any{true, nil}}}}})
	f.Add(w.b)
	f.Fuzz(func(t *testing.T, b []byte) {
		r := reader{b: b}
		var one, two Table
		r.table(&one)
		if r.err != nil {
			return
		}
		var w writer
		w.table(&one)
		again := reader{b: w.b}
		again.table(&two)
		var w2 writer
		w2.table(&two)
		if again.err != nil || !bytes.Equal(w.b, w2.b) { // compared as bytes: a NaN differs from itself
			t.Fatalf("%v: %x, then %x", again.err, w.b, w2.b)
		}
	})
}

func BenchmarkPublish(b *testing.B) {
	r := opened(b)
	msg := appendContent(AppendMethod(nil, 1, &BasicPublish{Key: "/p"}), 1, &Properties{MessageID: "m"}, make([]byte, 256), 8192)
	b.ReportAllocs()
	for b.Loop() {
		r.events = r.events[:0]
		r.bodies[1] = r.bodies[1][:0]
		r.send(msg)
		r.c.Send(1, &BasicAck{DeliveryTag: 1})
		r.c.Output()
	}
}
