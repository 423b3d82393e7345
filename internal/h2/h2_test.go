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

var postRequest = []Field{{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"}, {Name: ":path", Value: "/p"}}

// encodeBlock encodes a header block without the dynamic table.
func encodeBlock(fields ...Field) []byte {
	var b bytes.Buffer
	e := hpack.NewEncoder(&b)
	e.SetMaxDynamicTableSize(0)
	for _, f := range fields {
		f.Sensitive = true
		_ = e.WriteField(f)
	}
	return b.Bytes()
}

// clientPreface returns the preface and the SETTINGS that a client sends first.
func clientPreface() []byte { return AppendFrame([]byte(Preface), FrameSettings, 0, 0, nil) }

func u32(n uint32) []byte { return binary.BigEndian.AppendUint32(nil, n) }

// feedServer passes a client preface and then input to a new server connection. It returns the connection, its events and
// its first error.
func feedServer(t *testing.T, cfg Config, in ...[]byte) (*Conn, []Event, error) {
	t.Helper()
	c := NewServer(cfg, 0)
	c.Output()
	var all []Event
	for _, p := range append([][]byte{clientPreface()}, in...) {
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
	return frame(FrameHeaders, FlagEndHeaders|flags, stream, encodeBlock(fields...))
}

// Each input must end the connection with the given error code and a GOAWAY (RFC 9113).
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
		{"HEADERS on stream 0", ProtocolError, [][]byte{headers(0, 0, postRequest...)}},
		{"even stream from a client", ProtocolError, [][]byte{headers(2, 0, postRequest...)}},
		{"closed stream again", StreamClosed, [][]byte{headers(3, FlagEndStream, postRequest...), headers(1, 0, postRequest...)}},
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
		{"empty DATA flood", EnhanceYourCalm, append([][]byte{headers(1, 0, postRequest...)}, repeat(300, frame(FrameData, 0, 1, nil))...)},
		{"CONTINUATION flood", EnhanceYourCalm, append([][]byte{frame(FrameHeaders, 0, 1, nil)}, repeat(100, frame(FrameContinuation, 0, 1, nil))...)},
		{"header bomb", EnhanceYourCalm, append([][]byte{frame(FrameHeaders, 0, 1, nil)}, repeat(10, frame(FrameContinuation, 0, 1, []byte(long[:16000])))...)},
		{"rapid reset", EnhanceYourCalm, rapidReset(300)},
		{"unknown frame flood", EnhanceYourCalm, repeat(300, frame(77, 0, 0, nil))},
	} {
		conn, _, err := feedServer(t, Config{}, c.in...)
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
		all = append(all, headers(id, FlagEndStream, postRequest...), frame(FrameRSTStream, 0, id, u32(uint32(Cancel))))
	}
	return all
}

// Each input must reset its stream with the given error code and leave the connection open.
func TestStreamErrors(t *testing.T) {
	with := func(f ...Field) []Field { return append(append([]Field(nil), postRequest...), f...) }
	for _, c := range []struct {
		name string
		code ErrCode
		in   [][]byte
	}{
		{"no path", ProtocolError, [][]byte{headers(1, 0, postRequest[:2]...)}},
		{"pseudo after regular", ProtocolError, [][]byte{headers(1, 0, append([]Field{{Name: "a", Value: "b"}}, postRequest...)...)}},
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
		{"DATA after the end", StreamClosed, [][]byte{headers(1, FlagEndStream, postRequest...), frame(FrameData, 0, 1, []byte("a"))}},
		{"trailers without an end", ProtocolError, [][]byte{headers(1, 0, postRequest...), headers(1, 0, Field{Name: "a", Value: "b"})}},
		{"pseudo in trailers", ProtocolError, [][]byte{headers(1, 0, postRequest...), headers(1, FlagEndStream, postRequest...)}},
		{"beyond the window", FlowControlError, [][]byte{headers(1, 0, postRequest...), frame(FrameData, 0, 1, make([]byte, 8000)), frame(FrameData, 0, 1, make([]byte, 8000))}},
		{"window update 0", ProtocolError, [][]byte{headers(1, 0, postRequest...), frame(FrameWindowUpdate, 0, 1, u32(0))}},
	} {
		cfg := Config{}
		if c.name == "beyond the window" {
			cfg.StreamWindow = 15000
		}
		conn, events, err := feedServer(t, cfg, c.in...)
		last := events[len(events)-1]
		if cfg.StreamWindow > 0 && err == nil && last.Kind == Data { // half of the window was credited back before the second frame
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

// A stream above the limit must be reset with REFUSED_STREAM, which tells the client that its request was not processed.
func TestStreamLimitRefuses(t *testing.T) {
	c, _, err := feedServer(t, Config{MaxStreams: 1}, headers(1, 0, postRequest...), headers(3, 0, postRequest...))
	if err != nil || c.OpenStreams() != 1 {
		t.Fatal(c.OpenStreams(), err)
	}
	if want := frame(FrameRSTStream, 0, 3, u32(uint32(RefusedStream))); !bytes.Contains(c.Output(), want) {
		t.Error("no REFUSED_STREAM")
	}
}

func TestTooLargeHeaderSection(t *testing.T) {
	c, events, err := feedServer(t, Config{MaxHeaderList: 1024}, headers(1, FlagEndStream, append(append([]Field(nil), postRequest...),
		Field{Name: "a", Value: strings.Repeat("b", 900)}, Field{Name: "c", Value: strings.Repeat("d", 900)})...))
	if last := events[len(events)-1]; err != nil || last.Kind != HeadersTooLarge {
		t.Fatal(last, err)
	}
	if err := c.Respond(0, 1, []Field{{Name: ":status", Value: "431"}}, nil); err != nil {
		t.Error(err)
	}
}

// Check must fail for a missing preface, for a header section without end, and for a send window that stays closed.
func TestCheck(t *testing.T) {
	c := NewServer(Config{}, 0)
	if err := c.Check(6 * time.Second); err == nil {
		t.Error("no error without a preface for 6 s")
	}
	c, _, _ = feedServer(t, Config{}, frame(FrameSettings, FlagAck, 0, nil), frame(FrameHeaders, 0, 1, nil))
	if err := c.Check(11 * time.Second); err == nil {
		t.Error("no error for a header section without end for 11 s")
	}
	c, _, _ = feedServer(t, Config{}, frame(FrameSettings, FlagAck, 0, nil),
		frame(FrameSettings, 0, 0, appendSetting(nil, SettingInitialWindowSize, 0)), headers(1, FlagEndStream, postRequest...))
	_ = c.Respond(time.Second, 1, []Field{{Name: ":status", Value: "200"}}, []byte("held back"))
	if err := c.Check(5 * time.Second); err != nil {
		t.Error(err)
	}
	if err := c.Check(12 * time.Second); err == nil {
		t.Error("no error for a window that stays closed for 11 s")
	}
}

// exchange passes output between a client and a server, in pieces of at most chunk bytes, until neither has any. It returns
// the events of both.
func exchange(t testing.TB, client, server *Conn, chunk int) (toClient, toServer []Event) {
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
	for send(client, server, &toServer) || send(server, client, &toClient) {
	}
	return toClient, toServer
}

// A request and its response must arrive unchanged for any body sizes, chunk sizes and windows, and leave no open stream.
func TestExchange(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		body := rapid.SliceOfN(rapid.Byte(), 0, 200000).Draw(r, "body")
		answer := rapid.SliceOfN(rapid.Byte(), 0, 100000).Draw(r, "answer")
		chunk := rapid.IntRange(1, 70000).Draw(r, "chunk")
		window := uint32(rapid.IntRange(1, 200000).Draw(r, "window"))
		value := strings.Repeat("v", rapid.IntRange(0, 3000).Draw(r, "value"))
		if len(body) > 2000 {
			chunk = max(chunk, 500) // smaller values take too long
			window = max(window, 500)
		}
		client, server := NewClient(Config{AbuseBurst: 1e6}, 0), NewServer(Config{StreamWindow: window, AbuseBurst: 1e6}, 0)
		exchange(t, client, server, chunk)
		id, err := client.Request(0, append(postRequest[:3:3], Field{Name: "x", Value: value}, Field{Name: "content-length", Value: fmt.Sprint(len(body))}), body)
		if err != nil {
			t.Fatal(err)
		}
		_, got := exchange(t, client, server, chunk)
		if joined := joinData(got); !bytes.Equal(joined, body) || Value(got[0].Fields, "x") != value && got[0].Kind == Headers {
			t.Fatalf("%d bytes arrived of %d", len(joined), len(body))
		}
		if err := server.Respond(0, id, []Field{{Name: ":status", Value: "201"}}, answer); err != nil {
			t.Fatal(err)
		}
		back, _ := exchange(t, client, server, chunk)
		if !bytes.Equal(joinData(back), answer) || client.OpenStreams() != 0 || server.OpenStreams() != 0 {
			t.Fatalf("answer of %d bytes, %d came; open: %d, %d", len(answer), len(joinData(back)), client.OpenStreams(), server.OpenStreams())
		}
	})
}

// Guards against a second copy of a response, which changes the compression state: the copied block adds fields to the table
// once more, and the response to another request is then decoded with the wrong fields. The connection ends before that.
func TestCopiedResponse(t *testing.T) {
	client, server := NewClient(Config{}, 0), NewServer(Config{}, 0)
	exchange(t, client, server, 1<<20)
	var ids []uint32
	for range 2 {
		id, err := client.Request(0, postRequest, nil)
		if err != nil {
			t.Fatal(err)
		}
		ids = append(ids, id)
	}
	exchange(t, client, server, 1<<20)
	// Fields that are not in the static table are added to the dynamic one.
	if err := server.Respond(0, ids[0], []Field{{Name: ":status", Value: "503"}, {Name: "x", Value: "y"}}, nil); err != nil {
		t.Fatal(err)
	}
	response := server.Output()
	if events, err := client.Receive(0, response); err != nil || len(events) != 1 || !events[0].End {
		t.Fatalf("%v, %v", events, err)
	}
	var connErr *ConnError
	if _, err := client.Receive(0, response); !errors.As(err, &connErr) || connErr.Code != StreamClosed {
		t.Errorf("a copied response gives %v", err)
	}
}

func joinData(events []Event) (b []byte) {
	for _, e := range events {
		if e.Kind == Data {
			b = append(b, e.Data...)
		}
	}
	return b
}

// GOAWAY names the last stream that the server processes. The client must drop streams above it and finish those up to it.
// The second request here is on its way when the server sends GOAWAY.
func TestGoAwayKeepsWhatIsOut(t *testing.T) {
	client, server := NewClient(Config{}, 0), NewServer(Config{}, 0)
	exchange(t, client, server, 1000)
	first, _ := client.Request(0, postRequest, nil)
	exchange(t, client, server, 1000)
	second, _ := client.Request(0, postRequest, nil) // crosses the GOAWAY
	server.GoAway(0, NoError)
	toClient, _ := exchange(t, client, server, 1000)
	if e := toClient[0]; e.Kind != GoAwayReceived || e.LastStream != first {
		t.Fatal(e)
	}
	if client.IsOpen(second) || !client.IsOpen(first) || client.AvailableStreams() != 0 {
		t.Error("streams after GOAWAY:", client.IsOpen(first), client.IsOpen(second), client.AvailableStreams())
	}
	if err := server.Respond(0, first, []Field{{Name: ":status", Value: "201"}}, nil); err != nil {
		t.Fatal(err)
	}
	exchange(t, client, server, 1000)
	if !client.Done() || !server.Done() {
		t.Error("not done after the last answer")
	}
}

// When the stream limit falls below the number of open streams, no stream is available until enough of them have ended.
func TestLimitFalls(t *testing.T) {
	client, server := NewClient(Config{}, 0), NewServer(Config{MaxStreams: 10}, 0)
	exchange(t, client, server, 1000)
	for range 3 {
		_, _ = client.Request(0, postRequest, nil)
	}
	exchange(t, client, server, 1000)
	server.SetMaxStreams(0, 1)
	exchange(t, client, server, 1000)
	if client.AvailableStreams() != 0 || client.OpenStreams() != 3 {
		t.Fatal(client.AvailableStreams(), client.OpenStreams())
	}
	for _, id := range []uint32{1, 3, 5} {
		_ = server.Respond(0, id, []Field{{Name: ":status", Value: "201"}}, nil)
	}
	exchange(t, client, server, 1000)
	if client.AvailableStreams() != 1 {
		t.Error("available streams:", client.AvailableStreams())
	}
}

func FuzzServer(f *testing.F) {
	f.Add(append(clientPreface(), headers(1, FlagEndStream, postRequest...)...))
	f.Add(append(clientPreface(), bytes.Join(rapidReset(3), nil)...))
	f.Add(append(clientPreface(), frame(FrameHeaders, FlagPadded|FlagPriority, 1, []byte{0, 0, 0, 0, 0, 0, 0x82})...))
	f.Fuzz(func(t *testing.T, p []byte) { feedInHalves(t, NewServer(Config{}, 0), p) })
}

func FuzzClient(f *testing.F) {
	f.Add(append(frame(FrameSettings, 0, 0, nil), headers(1, FlagEndStream, Field{Name: ":status", Value: "201"})...))
	f.Add(append(frame(FrameSettings, 0, 0, nil), frame(FrameGoAway, 0, 0, make([]byte, 8))...))
	f.Fuzz(func(t *testing.T, p []byte) {
		c := NewClient(Config{}, 0)
		if _, err := c.Receive(0, frame(FrameSettings, 0, 0, nil)); err != nil {
			t.Fatal(err)
		}
		_, _ = c.Request(0, postRequest, []byte("body"))
		feedInHalves(t, c, p)
	})
}

// feedInHalves passes p in two parts, answers requests, and checks that the counts of open streams match the streams.
func feedInHalves(t *testing.T, c *Conn, p []byte) {
	for _, part := range [][]byte{p[:len(p)/2], p[len(p)/2:]} {
		events, err := c.Receive(time.Millisecond, part)
		for _, e := range events {
			if e.Kind == Headers && !c.client {
				_ = c.Respond(0, e.Stream, []Field{{Name: ":status", Value: "200"}}, []byte("x"))
			}
		}
		if err != nil {
			if c.Err() == nil {
				t.Error("Receive returned an error and Err is nil")
			}
			return
		}
		if c.peerOpen+c.localOpen != len(c.streams) || c.peerOpen < 0 || c.localOpen < 0 {
			t.Errorf("%d + %d streams counted, %d open", c.peerOpen, c.localOpen, len(c.streams))
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
	client, server := NewClient(Config{}, 0), NewServer(Config{AbuseBurst: 1e9}, 0)
	exchange(b, client, server, 1<<20)
	body := make([]byte, 256)
	b.ReportAllocs()
	for b.Loop() {
		id, err := client.Request(0, postRequest, body)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := server.Receive(0, client.Output()); err != nil {
			b.Fatal(err)
		}
		_ = server.Respond(0, id, []Field{{Name: ":status", Value: "201"}}, nil)
		if _, err := client.Receive(0, server.Output()); err != nil {
			b.Fatal(err)
		}
	}
}
