package platform

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"testing"

	"whinrun/internal/clock"
)

// Guards against a second copy of a whole list within a watch, which takes later changes back.
func TestCopiedList(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		text := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		for _, list := range []string{`{"seq":5,"whole":true,"hosts":[]}`, `{"seq":6,"whole":false,"hosts":[]}`, `{"seq":5,"whole":true,"hosts":[]}`, `{"seq":7,"whole":false,"hosts":[]}`} {
			text += fmt.Sprintf("%x\r\n%s\n\r\n", len(list)+1, list)
		}
		_, _ = io.WriteString(c, text)
	}()
	versions := make(chan int64, 10)
	a := newAgent(netip.MustParseAddrPort(ln.Addr().String()))
	defer a.stop()
	// The version known before is higher, because discovery counts anew.
	go newWatcher(a, clock.StartStopwatch().Elapsed, 9, func(l EndpointList) { versions <- l.Seq }, func(string, ...any) {}, nil).run()
	for _, want := range []int64{5, 6, 7} {
		if got := <-versions; got != want {
			t.Errorf("list of version %d, want %d", got, want)
		}
	}
}
