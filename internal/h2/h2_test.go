package h2

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"golang.org/x/net/http2/hpack"
	"pgregory.net/rapid"
)

var get = []Field{{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"}, {Name: ":path", Value: "/p"}}

// block encodes fields as a peer without a dynamic table would.
func block(fields ...Field) []byte {
	var b bytes.Buffer
	e := hpack.NewEncoder(&b)
	e.SetMaxDynamicTableSize(0)
	for _, f := range fields {
		f.Sensitive = true
		_ = e.WriteField(f)
	}
	return b.Bytes()
}

// hello is what a client sends first.
func hello() []byte { return AppendFrame([]byte(Preface), FrameSettings, 0, 0, nil) }

func u32(n uint32) []byte { return binary.BigEndian.AppendUint32(nil, n) }

// serve feeds a new server connection and returns what came of it.
func serve(t *testing.T, cfg Config, in ...[]byte) (*Conn, []Event, error) {
	t.Helper()
	c := NewServer(cfg, 0)
	c.Output()
	var all []Event
	for _, p := range append([][]byte{hello()}, in...) {
		events, err := c.Receive(time.Millisecond, p)
		for _, e := range events {
			e.Data = bytes.Clone(e.Data)
			all = append(all, e)
		}
		if err != nil {
			return c, all, err
		}
	}
	return c, all, nil
}

func frame(t FrameType, flags uint8, stream uint32, p []byte) []byte {
	return AppendFrame(nil, t, flags, stream, p)
}

func headers(stream uint32, flags uint8, fields ...Field) []byte {
	return frame(FrameHeaders, FlagEndHeaders|flags, stream, block(fields...))
}

// What ends a connection, and with which code (RFC 9113).
func TestConnectionErrors(t *testing.T) {
	long := strings.Repeat("x", 40000)
	for _, c := range []struct {
		name string
		code ErrCode
		in   [][]byte
	}{
		{"frame too long", FrameSizeError, [][]byte{{0xff, 0xff, 0xff, 0, 0, 0, 0, 0, 1}}},
		{"DATA on stream 0", ProtocolError, [][]byte{frame(FrameData, 0, 0, nil)}},
		{"DATA on an idle stream", ProtocolError, [][]byte{frame(FrameData, 0, 1, nil)}},
		{"HEADERS on stream 0", ProtocolError, [][]byte{headers(0, 0, get...)}},
		{"even stream from a client", ProtocolError, [][]byte{headers(2, 0, get...)}},
		{"closed stream again", StreamClosed, [][]byte{headers(3, FlagEndStream, get...), headers(1, 0, get...)}},
		{"depends on itself", ProtocolError, [][]byte{frame(FrameHeaders, FlagEndHeaders|FlagPriority, 1, append(u32(1), 0))}},
		{"padding too long", ProtocolError, [][]byte{frame(FrameHeaders, FlagEndHeaders|FlagPadded, 1, []byte{9, 1})}},
		{"CONTINUATION alone", ProtocolError, [][]byte{frame(FrameContinuation, 0, 1, nil)}},
		{"frame inside a block", ProtocolError, [][]byte{frame(FrameHeaders, 0, 1, nil), frame(FramePing, 0, 0, make([]byte, 8))}},
		{"bad HPACK", CompressionError, [][]byte{frame(FrameHeaders, FlagEndHeaders, 1, []byte{0x80})}},
		{"PRIORITY size", FrameSizeError, [][]byte{frame(FramePriority, 0, 1, nil)}},
		{"RST_STREAM size", FrameSizeError, [][]byte{frame(FrameRSTStream, 0, 1, nil)}},
		{"RST_STREAM idle", ProtocolError, [][]byte{frame(FrameRSTStream, 0, 1, u32(0))}},
		{"SETTINGS on a stream", ProtocolError, [][]byte{frame(FrameSettings, 0, 1, nil)}},
		{"SETTINGS size", FrameSizeError, [][]byte{frame(FrameSettings, 0, 0, []byte{1})}},
		{"SETTINGS ack with payload", FrameSizeError, [][]byte{frame(FrameSettings, FlagAck, 0, make([]byte, 6))}},
		{"window too large", FlowControlError, [][]byte{frame(FrameSettings, 0, 0, appendSetting(nil, SettingInitialWindowSize, 1<<31))}},
		{"frame size setting", ProtocolError, [][]byte{frame(FrameSettings, 0, 0, appendSetting(nil, SettingMaxFrameSize, 1))}},
		{"push setting", ProtocolError, [][]byte{frame(FrameSettings, 0, 0, appendSetting(nil, SettingEnablePush, 2))}},
		{"PUSH_PROMISE", ProtocolError, [][]byte{frame(FramePushPromise, 0, 1, nil)}},
		{"PING size", FrameSizeError, [][]byte{frame(FramePing, 0, 0, nil)}},
		{"GOAWAY size", FrameSizeError, [][]byte{frame(FrameGoAway, 0, 0, nil)}},
		{"WINDOW_UPDATE 0", ProtocolError, [][]byte{frame(FrameWindowUpdate, 0, 0, u32(0))}},
		{"window above 2^31-1", FlowControlError, [][]byte{frame(FrameWindowUpdate, 0, 0, u32(1<<31-1))}},
		{"PING flood", EnhanceYourCalm, repeat(300, frame(FramePing, 0, 0, make([]byte, 8)))},
		{"SETTINGS flood", EnhanceYourCalm, repeat(300, frame(FrameSettings, 0, 0, nil))},
		{"empty DATA flood", EnhanceYourCalm, append([][]byte{headers(1, 0, get...)}, repeat(300, frame(FrameData, 0, 1, nil))...)},
		{"CONTINUATION flood", EnhanceYourCalm, append([][]byte{frame(FrameHeaders, 0, 1, nil)}, repeat(100, frame(FrameContinuation, 0, 1, nil))...)},
		{"header bomb", EnhanceYourCalm, append([][]byte{frame(FrameHeaders, 0, 1, nil)}, repeat(10, frame(FrameContinuation, 0, 1, []byte(long[:16000])))...)},
		{"rapid reset", EnhanceYourCalm, rapidReset(300)},
		{"unknown frame flood", EnhanceYourCalm, repeat(300, frame(77, 0, 0, nil))},
	} {
		conn, _, err := serve(t, Config{}, c.in...)
		var ce *ConnError
		if !errors.As(err, &ce) || ce.Code != c.code {
			t.Errorf("%s: got %v, want %v", c.name, err, c.code)
			continue
		}
		if out := conn.Output(); !bytes.Contains(out, frameHead(FrameGoAway)) {
			t.Errorf("%s: no GOAWAY in the output", c.name)
		}
	}
}

func frameHead(t FrameType) []byte { return []byte{byte(t), 0, 0, 0, 0, 0} }

func repeat(n int, p []byte) [][]byte {
	all := make([][]byte, n)
	for i := range all {
		all[i] = p
	}
	return all
}

func rapidReset(n int) (all [][]byte) {
	for i := range n {
		id := uint32(2*i + 1)
		all = append(all, headers(id, FlagEndStream, get...), frame(FrameRSTStream, 0, id, u32(uint32(Cancel))))
	}
	return all
}

// What ends a stream and leaves the connection.
func TestStreamErrors(t *testing.T) {
	with := func(f ...Field) []Field { return append(append([]Field(nil), get...), f...) }
	for _, c := range []struct {
		name string
		code ErrCode
		in   [][]byte
	}{
		{"no path", ProtocolError, [][]byte{headers(1, 0, get[:2]...)}},
		{"pseudo after regular", ProtocolError, [][]byte{headers(1, 0, append([]Field{{Name: "a", Value: "b"}}, get...)...)}},
		{"pseudo twice", ProtocolError, [][]byte{headers(1, 0, with(Field{Name: ":path", Value: "/"})...)}},
		{"status in a request", ProtocolError, [][]byte{headers(1, 0, with(Field{Name: ":status", Value: "200"})...)}},
		{"connection field", ProtocolError, [][]byte{headers(1, 0, with(Field{Name: "connection", Value: "close"})...)}},
		{"upper case", ProtocolError, [][]byte{headers(1, 0, with(Field{Name: "Ttl", Value: "1"})...)}},
		{"te", ProtocolError, [][]byte{headers(1, 0, with(Field{Name: "te", Value: "gzip"})...)}},
		{"line break in a value", ProtocolError, [][]byte{headers(1, 0, with(Field{Name: "a", Value: "b\r\nc"})...)}},
		{"length and no body", ProtocolError, [][]byte{headers(1, FlagEndStream, with(Field{Name: "content-length", Value: "3"})...)}},
		{"body too short", ProtocolError, [][]byte{headers(1, 0, with(Field{Name: "content-length", Value: "3"})...), frame(FrameData, FlagEndStream, 1, []byte("ab"))}},
		{"body too long", ProtocolError, [][]byte{headers(1, 0, with(Field{Name: "content-length", Value: "1"})...), frame(FrameData, 0, 1, []byte("ab"))}},
		{"two lengths", ProtocolError, [][]byte{headers(1, 0, with(Field{Name: "content-length", Value: "1"}, Field{Name: "content-length", Value: "2"})...)}},
		{"DATA after the end", StreamClosed, [][]byte{headers(1, FlagEndStream, get...), frame(FrameData, 0, 1, []byte("a"))}},
		{"trailers without an end", ProtocolError, [][]byte{headers(1, 0, get...), headers(1, 0, Field{Name: "a", Value: "b"})}},
		{"pseudo in trailers", ProtocolError, [][]byte{headers(1, 0, get...), headers(1, FlagEndStream, get...)}},
		{"beyond the window", FlowControlError, [][]byte{headers(1, 0, get...), frame(FrameData, 0, 1, make([]byte, 8000)), frame(FrameData, 0, 1, make([]byte, 8000))}},
		{"window update 0", ProtocolError, [][]byte{headers(1, 0, get...), frame(FrameWindowUpdate, 0, 1, u32(0))}},
	} {
		cfg := Config{}
		if c.name == "beyond the window" {
			cfg.StreamWindow = 15000
		}
		conn, events, err := serve(t, cfg, c.in...)
		last := events[len(events)-1]
		if cfg.StreamWindow > 0 && err == nil && last.Kind == Data { // half of the window was given back meanwhile
			continue
		}
		if err != nil || last.Kind != StreamReset || last.Code != c.code || !last.Local {
			t.Errorf("%s: got %+v, %v, want %v", c.name, last, err, c.code)
		}
		if conn.OpenStreams() != 0 {
			t.Errorf("%s: %d streams still open", c.name, conn.OpenStreams())
		}
	}
}

// Streams above the limit are refused, so that their senders know that they have not run.
func TestStreamLimitRefuses(t *testing.T) {
	c, _, err := serve(t, Config{MaxStreams: 1}, headers(1, 0, get...), headers(3, 0, get...))
	if err != nil || c.OpenStreams() != 1 {
		t.Fatal(c.OpenStreams(), err)
	}
	if want := frame(FrameRSTStream, 0, 3, u32(uint32(RefusedStream))); !bytes.Contains(c.Output(), want) {
		t.Error("no REFUSED_STREAM")
	}
}

func TestTooLargeHeaderSection(t *testing.T) {
	c, events, err := serve(t, Config{MaxHeaderList: 1024}, headers(1, FlagEndStream, append(append([]Field(nil), get...),
		Field{Name: "a", Value: strings.Repeat("b", 900)}, Field{Name: "c", Value: strings.Repeat("d", 900)})...))
	if last := events[len(events)-1]; err != nil || last.Kind != HeadersTooLarge {
		t.Fatal(last, err)
	}
	if err := c.Respond(0, 1, []Field{{Name: ":status", Value: "431"}}, nil); err != nil {
		t.Error(err)
	}
}

// Time limits: a slow preface, a header section that never ends, a window held shut.
func TestCheck(t *testing.T) {
	c := NewServer(Config{}, 0)
	if err := c.Check(6 * time.Second); err == nil {
		t.Error("no preface for 6 s is well")
	}
	c, _, _ = serve(t, Config{}, frame(FrameSettings, FlagAck, 0, nil), frame(FrameHeaders, 0, 1, nil))
	if err := c.Check(11 * time.Second); err == nil {
		t.Error("a header section without an end for 11 s is well")
	}
	c, _, _ = serve(t, Config{}, frame(FrameSettings, FlagAck, 0, nil),
		frame(FrameSettings, 0, 0, appendSetting(nil, SettingInitialWindowSize, 0)), headers(1, FlagEndStream, get...))
	_ = c.Respond(time.Second, 1, []Field{{Name: ":status", Value: "200"}}, []byte("held back"))
	if err := c.Check(5 * time.Second); err != nil {
		t.Error(err)
	}
	if err := c.Check(12 * time.Second); err == nil {
		t.Error("a window held shut for 11 s is well")
	}
}

// pipe carries bytes between a client and a server until nothing moves.
func pipe(t testing.TB, cl, sv *Conn, chunk int) (toClient, toServer []Event) {
	keep := func(into *[]Event, events []Event) {
		for _, e := range events {
			e.Data = bytes.Clone(e.Data)
			*into = append(*into, e)
		}
	}
	send := func(from, to *Conn, into *[]Event) bool {
		out := bytes.Clone(from.Output())
		for p := out; len(p) > 0; {
			n := min(len(p), chunk)
			events, err := to.Receive(time.Second, p[:n])
			if err != nil {
				t.Fatal(err)
			}
			keep(into, events)
			p = p[n:]
		}
		return len(out) > 0
	}
	for send(cl, sv, &toServer) || send(sv, cl, &toClient) {
	}
	return toClient, toServer
}

// Whatever the sizes, chunks and windows: what one side sends arrives whole at the other, and no stream is left.
func TestExchange(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		body := rapid.SliceOfN(rapid.Byte(), 0, 200000).Draw(r, "body")
		answer := rapid.SliceOfN(rapid.Byte(), 0, 100000).Draw(r, "answer")
		chunk := rapid.IntRange(1, 70000).Draw(r, "chunk")
		window := uint32(rapid.IntRange(1, 200000).Draw(r, "window"))
		value := strings.Repeat("v", rapid.IntRange(0, 3000).Draw(r, "value"))
		if len(body) > 2000 {
			chunk = max(chunk, 500) // or it takes forever
			window = max(window, 500)
		}
		cl, sv := NewClient(Config{AbuseBurst: 1e6}, 0), NewServer(Config{StreamWindow: window, AbuseBurst: 1e6}, 0)
		pipe(t, cl, sv, chunk)
		id, err := cl.Request(0, append(get[:3:3], Field{Name: "x", Value: value}, Field{Name: "content-length", Value: fmt.Sprint(len(body))}), body)
		if err != nil {
			t.Fatal(err)
		}
		_, got := pipe(t, cl, sv, chunk)
		if joined := join(got); !bytes.Equal(joined, body) || Value(got[0].Fields, "x") != value && got[0].Kind == Headers {
			t.Fatalf("%d bytes arrived of %d", len(joined), len(body))
		}
		if err := sv.Respond(0, id, []Field{{Name: ":status", Value: "201"}}, answer); err != nil {
			t.Fatal(err)
		}
		back, _ := pipe(t, cl, sv, chunk)
		if !bytes.Equal(join(back), answer) || cl.OpenStreams() != 0 || sv.OpenStreams() != 0 {
			t.Fatalf("answer of %d bytes, %d came; open: %d, %d", len(answer), len(join(back)), cl.OpenStreams(), sv.OpenStreams())
		}
	})
}

func join(events []Event) (b []byte) {
	for _, e := range events {
		if e.Kind == Data {
			b = append(b, e.Data...)
		}
	}
	return b
}

// GOAWAY names the last stream worked on; those above it can go elsewhere, those below run on.
func TestGoAwayKeepsWhatIsOut(t *testing.T) {
	cl, sv := NewClient(Config{}, 0), NewServer(Config{}, 0)
	pipe(t, cl, sv, 1000)
	first, _ := cl.Request(0, get, nil)
	pipe(t, cl, sv, 1000)
	second, _ := cl.Request(0, get, nil) // crosses the GOAWAY
	sv.GoAway(0, NoError)
	toClient, _ := pipe(t, cl, sv, 1000)
	if e := toClient[0]; e.Kind != GoAwayReceived || e.LastStream != first {
		t.Fatal(e)
	}
	if cl.IsOpen(second) || !cl.IsOpen(first) || cl.AvailableStreams() != 0 {
		t.Error("streams after GOAWAY:", cl.IsOpen(first), cl.IsOpen(second), cl.AvailableStreams())
	}
	if err := sv.Respond(0, first, []Field{{Name: ":status", Value: "201"}}, nil); err != nil {
		t.Fatal(err)
	}
	pipe(t, cl, sv, 1000)
	if !cl.Done() || !sv.Done() {
		t.Error("not done after the last answer")
	}
}

// A stream limit that falls under what is open leaves no room until enough has ended.
func TestLimitFalls(t *testing.T) {
	cl, sv := NewClient(Config{}, 0), NewServer(Config{MaxStreams: 10}, 0)
	pipe(t, cl, sv, 1000)
	for range 3 {
		_, _ = cl.Request(0, get, nil)
	}
	pipe(t, cl, sv, 1000)
	sv.SetMaxStreams(0, 1)
	pipe(t, cl, sv, 1000)
	if cl.AvailableStreams() != 0 || cl.OpenStreams() != 3 {
		t.Fatal(cl.AvailableStreams(), cl.OpenStreams())
	}
	for _, id := range []uint32{1, 3, 5} {
		_ = sv.Respond(0, id, []Field{{Name: ":status", Value: "201"}}, nil)
	}
	pipe(t, cl, sv, 1000)
	if cl.AvailableStreams() != 1 {
		t.Error("room:", cl.AvailableStreams())
	}
}

func FuzzServer(f *testing.F) {
	f.Add(append(hello(), headers(1, FlagEndStream, get...)...))
	f.Add(append(hello(), bytes.Join(rapidReset(3), nil)...))
	f.Add(append(hello(), frame(FrameHeaders, FlagPadded|FlagPriority, 1, []byte{0, 0, 0, 0, 0, 0, 0x82})...))
	f.Fuzz(func(t *testing.T, p []byte) { feed(t, NewServer(Config{}, 0), p) })
}

func FuzzClient(f *testing.F) {
	f.Add(append(frame(FrameSettings, 0, 0, nil), headers(1, FlagEndStream, Field{Name: ":status", Value: "201"})...))
	f.Add(append(frame(FrameSettings, 0, 0, nil), frame(FrameGoAway, 0, 0, make([]byte, 8))...))
	f.Fuzz(func(t *testing.T, p []byte) {
		c := NewClient(Config{}, 0)
		if _, err := c.Receive(0, frame(FrameSettings, 0, 0, nil)); err != nil {
			t.Fatal(err)
		}
		_, _ = c.Request(0, get, []byte("body"))
		feed(t, c, p)
	})
}

// feed gives bytes in two parts, answers what comes, and checks that the books stay true.
func feed(t *testing.T, c *Conn, p []byte) {
	for _, part := range [][]byte{p[:len(p)/2], p[len(p)/2:]} {
		events, err := c.Receive(time.Millisecond, part)
		for _, e := range events {
			if e.Kind == Headers && !c.client {
				_ = c.Respond(0, e.Stream, []Field{{Name: ":status", Value: "200"}}, []byte("x"))
			}
		}
		if err != nil {
			if c.Err() == nil {
				t.Error("an error that did not end the connection")
			}
			return
		}
		if c.peerOpen+c.opened != len(c.streams) || c.peerOpen < 0 || c.opened < 0 {
			t.Errorf("books: %d + %d of %d streams", c.peerOpen, c.opened, len(c.streams))
		}
		c.Output()
	}
}

func FuzzParseFrame(f *testing.F) {
	f.Add(frame(FrameData, 1, 3, []byte("abc")))
	f.Fuzz(func(t *testing.T, p []byte) {
		fr, n, err := ParseFrame(p, defaultFrameSize)
		if err != nil || n == 0 {
			return
		}
		again := AppendFrame(nil, fr.Type, fr.Flags, fr.Stream, fr.Payload)
		again[5] |= p[5] & 0x80 // the reserved bit is not kept
		if !bytes.Equal(again, p[:n]) {
			t.Errorf("%x came back as %x", p[:n], again)
		}
	})
}

func BenchmarkRequestResponse(b *testing.B) {
	cl, sv := NewClient(Config{}, 0), NewServer(Config{AbuseBurst: 1e9}, 0)
	pipe(b, cl, sv, 1<<20)
	body := make([]byte, 256)
	b.ReportAllocs()
	for b.Loop() {
		id, err := cl.Request(0, get, body)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := sv.Receive(0, cl.Output()); err != nil {
			b.Fatal(err)
		}
		_ = sv.Respond(0, id, []Field{{Name: ":status", Value: "201"}}, nil)
		if _, err := cl.Receive(0, sv.Output()); err != nil {
			b.Fatal(err)
		}
	}
}
