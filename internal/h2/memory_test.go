package h2

import (
	"fmt"
	"runtime"
	"testing"
)

// Bounds of what a connection keeps, in bytes, as docs/operating.md has them.
const (
	maxKeptPerConn   = 20 << 10
	maxKeptPerStream = 1 << 10
)

// Guards against hundreds of clients that send heads of very many short fields and then nothing: each connection kept the fields of the
// last heads, half a megabyte, until it heard of its client again.
func TestQuietConnKeepsLittle(t *testing.T) {
	const conns, streams = 100, 30
	fields := []Field{{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"}, {Name: ":authority", Value: "x"}, {Name: ":path", Value: "/p"}}
	for i := range 350 {
		fields = append(fields, Field{Name: fmt.Sprint("a", i), Value: "b"})
	}
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	client := NewClient(Config{}, 0)
	input := append([]byte(nil), client.Output()...)
	if _, err := client.Receive(0, append([]byte(nil), NewServer(Config{}, 0).Output()...)); err != nil {
		t.Fatal(err)
	}
	for range streams {
		if _, err := client.Request(0, fields, make([]byte, 100)); err != nil {
			t.Fatal(err)
		}
	}
	input = append(input, client.Output()...)
	input = append(input, AppendFrame(nil, FrameData, 0, 1, make([]byte, 8000))[:5000]...) // A frame stops half way.
	before := heap()
	var all []*Conn
	for range conns {
		c := NewServer(Config{}, 0)
		opened := 0
		for rest := input; len(rest) > 0; {
			n := min(len(rest), 16<<10)
			events, err := c.Receive(0, rest[:n])
			for _, e := range events {
				if e.Kind == Headers {
					opened++
				}
			}
			if err != nil || len(events) == 0 && opened == 0 {
				t.Fatal(opened, err)
			}
			c.ReleaseEvents()
			c.Output()
			rest = rest[n:]
		}
		if opened != streams {
			t.Fatalf("%d streams", opened)
		}
		all = append(all, c)
	}
	kept := int(heap()-before) / conns
	if limit := maxKeptPerConn + streams*maxKeptPerStream; kept > limit {
		t.Errorf("%d bytes are kept for a connection with %d streams, %d at most", kept, streams, limit)
	}
	runtime.KeepAlive(all)
}
