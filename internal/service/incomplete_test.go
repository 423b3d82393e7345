package service

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"whinrun/internal/admission"
	wire "whinrun/internal/amqp"
	"whinrun/internal/h2"
)

// Messages that have begun and do not go on are bounded by hold-bytes with what is kept of their heads, and those above it are refused.
// Without that, 250 streams on each of a thousand connections were held beside every limit.
func TestIncompleteMessagesAreBounded(t *testing.T) {
	const limit = 256 << 10
	addr, _ := startHTTP2Partner(t, nil)
	dispatcher := startService(t, addr, "[limits]\nhold-bytes = 256KiB\n")
	defer dispatcher.Kill()
	refused := 0
	for range 4 {
		client := dialRawClient(t, dispatcher.Addr().String())
		defer func() { _ = client.conn.Close() }()
		if err := client.readUntil(func(e h2.Event) bool { return e.Kind == h2.Ready }); err != nil {
			t.Fatal(err)
		}
		for range 100 {
			if _, err := client.h2conn.Request(0, append(requestFields("/p/status"), h2.Field{Name: "content-length", Value: "60000"},
				h2.Field{Name: "content-type", Value: strings.Repeat("x", 1000)}), make([]byte, 60_000)); err != nil {
				t.Fatal(err)
			}
		}
		// Only the heads are sent.
		out := client.h2conn.Output()
		heads := out[:0:0]
		for at := 0; at+9 <= len(out); {
			size := 9 + int(out[at])<<16 + int(out[at+1])<<8 + int(out[at+2])
			if h2.FrameType(out[at+3]) != h2.FrameData {
				heads = append(heads, out[at:at+size]...)
			}
			at += size
		}
		if _, err := client.conn.Write(heads); err != nil {
			t.Fatal(err)
		}
		for deadline := time.Now().Add(300 * time.Millisecond); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
			if held := dispatcher.Admission().Usage().Bytes; held > limit {
				t.Fatalf("%d bytes are held", held)
			}
		}
	}
	for _, f := range dispatcher.Admission().Frontends() {
		refused += int(f.Rejected.Load())
	}
	const perMessage = 1024 + 1000 // 1 KiB until it has come whole (docs/operating.md), and its content-type.
	most := limit / perMessage
	if refused < 400-most {
		t.Errorf("%d of 400 messages are refused, although %d have room", refused, most)
	}
}

// Large frames that have begun are bounded as well, and a connection that has no room for its frame is closed with 506.
func TestHalfFramesAreBounded(t *testing.T) {
	addr, _ := startHTTP2Partner(t, nil)
	dispatcher := startService(t, addr, amqpSettings+"[limits]\nhold-bytes = 512KiB\n")
	defer dispatcher.Kill()
	b := wire.AppendMethod([]byte(wire.ProtocolHeader), 0, &wire.ConnectionStartOK{Mechanism: "PLAIN", Response: "\x00t\x00secret"})
	b = wire.AppendMethod(b, 0, &wire.ConnectionTuneOK{})
	b = wire.AppendMethod(b, 0, &wire.ConnectionOpen{VHost: "/"})
	b = wire.AppendMethod(b, 1, &wire.ChannelOpen{})
	declare := wire.AppendMethod(nil, 1, &wire.QueueDeclare{Queue: "q", Arguments: wire.Table{{Name: "a", Value: strings.Repeat("x", 120_000)}}})
	b = append(b, declare[:110_000]...)
	var conns []net.Conn
	for range 20 {
		c, err := net.Dial("tcp", dispatcher.AMQPAddr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		conns = append(conns, c)
		if _, err := c.Write(b); err != nil {
			t.Fatal(err)
		}
	}
	closed := 0
	for _, c := range conns {
		_ = c.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
		var got strings.Builder
		buf := make([]byte, 4096)
		for {
			n, err := c.Read(buf)
			got.Write(buf[:n])
			if err != nil {
				break
			}
		}
		if strings.Contains(got.String(), fmt.Sprint("a large frame is not taken: ", admission.ErrBytesFull)) {
			closed++
		}
	}
	if held := dispatcher.Admission().Usage().Bytes; held > 512<<10 || closed < 10 {
		t.Errorf("%d bytes are held, %d of 20 connections are closed", held, closed)
	}
	for _, c := range conns {
		_ = c.Close()
	}
	for deadline := time.Now().Add(5 * time.Second); dispatcher.Admission().Usage().Bytes > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes are held for connections that have ended", dispatcher.Admission().Usage().Bytes)
		}
	}
}
