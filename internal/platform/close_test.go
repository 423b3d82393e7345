package platform

import (
	"errors"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"whinrun/internal/testbed"
)

// dial connects as a client.
func (d *testDispatcher) dial() net.Conn {
	d.t.Helper()
	c, err := net.DialTimeout("tcp", d.addr, time.Second)
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(8 * time.Second))
	return c
}

// submitOn submits a message on an open connection and expects the status want.
func (d *testDispatcher) submitOn(c net.Conn, m testbed.Message, want int) {
	d.t.Helper()
	if _, err := c.Write(testbed.EncodeRequest(m)); err != nil {
		d.t.Fatal(err)
	}
	if status, err := testbed.ReadStatus(c); status != want {
		d.t.Fatalf("%s: %d, %v", m.Name, status, err)
	}
	d.bed.Record(testbed.Event{Kind: testbed.Accepted, Name: m.Name, Class: m.Class, Dest: m.Dest, Due: time.Now().Add(m.Remaining)})
}

// An invalid request is answered and its connection closed in order while the client still sends. Closing the
// socket with unread data would cause a reset that destroys the answer.
func TestAnswerOutlivesAnUpload(t *testing.T) {
	t.Parallel()
	d := newTestDispatcher(t)
	d.addEndpoint("a", 1, "single", succeed)
	d.startReady()
	form := string(testbed.EncodeRequest(newMessage("big", "status", 1)))
	for name, text := range map[string]string{
		"413": strings.Replace(form, "Content-Length: 11", "Content-Length: 62914560", 1),
		"400": strings.Replace(form, "X-Remaining: 3.000", "X-Remaining: soon", 1) + form,
	} {
		c := d.dial()
		if _, err := io.WriteString(c, text+strings.Repeat("x", 100<<10)); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		answer, err := io.ReadAll(c)
		if err != nil || !strings.HasPrefix(string(answer), "HTTP/1.1 "+name+" ") {
			t.Errorf("%s: answered %.30q, %v", name, answer, err)
		}
	}
}

// A closing connection must not stay open for long, neither if the client does not close its side nor if it
// keeps sending.
func TestEndIsBounded(t *testing.T) {
	t.Parallel()
	d := newTestDispatcher(t)
	d.addEndpoint("a", 1, "single", succeed)
	d.startReady()
	for _, size := range []int{1, 64 << 10} {
		c := d.dial()
		_, _ = io.WriteString(c, "noise\r\n\r\n")
		// The client sees the end of the connection and does not close its own side.
		if _, err := io.ReadAll(c); err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		for {
			if _, err := c.Write(make([]byte, size)); err != nil {
				break
			}
			if time.Since(start) > 5*time.Second {
				t.Fatalf("pieces of %d: still open after 5 s", size)
			}
			// The sleep paces the client. The test does not wait for anything by it.
			time.Sleep(time.Millisecond)
		}
	}
}

// A request that arrives after its connection was shut down is not accepted, whichever comes first on the
// wire. Its sender sees the end of the connection without an answer and submits the message again. A request
// that was read before is answered.
func TestRequestCrossesTheEndOfItsConnection(t *testing.T) {
	t.Parallel()
	d := newTestDispatcher(t)
	d.addEndpoint("a", 1, "single", succeed)
	d.startReady()
	kept, late := d.dial(), d.dial()
	d.submitOn(kept, newMessage("first", "upload", 1), 202)
	d.submitOn(late, newMessage("second", "upload", 1), 202)
	stopped := make(chan struct{})
	go func() {
		d.node.Stop()
		close(stopped)
	}()
	for _, c := range []net.Conn{kept, late} {
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Fatalf("the end of an idle connection at a stop: %v", err)
		}
	}
	_, _ = late.Write(testbed.EncodeRequest(newMessage("crossed", "upload", 1)))
	if n, err := late.Read(make([]byte, 1)); n > 0 || err == nil {
		t.Errorf("an answer after the end of the connection: %v", err)
	}
	<-stopped
	d.node = nil
	d.bed.Record(testbed.Event{Kind: testbed.Restarted})
	d.startReady()
	d.awaitEnds([]string{"first", "second"})
	d.awaitEnds(d.submitOne(newMessage("crossed", "upload", 1)))
	if n := d.countEvents(testbed.CallReceived, "crossed"); n != 1 {
		t.Errorf("the crossed message was called %d times", n)
	}
	d.checkRules()
}

// A request may arrive cut anywhere, with the body after the head or in one piece with it.
func TestRequestInPieces(t *testing.T) {
	t.Parallel()
	d := newTestDispatcher(t)
	d.addEndpoint("a", 1, "single", succeed)
	d.startReady()
	c := d.dial()
	var names []string
	form := string(testbed.EncodeRequest(newMessage("piece-000", "sync", 1)))
	for cut := range len(form) {
		name := fmt.Sprintf("piece-%03d", cut)
		text := strings.ReplaceAll(form, "piece-000", name)
		_, _ = io.WriteString(c, text[:cut])
		if cut%16 == 0 {
			runtime.Gosched()
		}
		_, _ = io.WriteString(c, text[cut:])
		if status, err := testbed.ReadStatus(c); status != 202 {
			t.Fatalf("cut at %d: %d, %v", cut, status, err)
		}
		names = append(names, name)
	}
	d.awaitEnds(names)
}

// A message of a client that disconnects before its answer is withdrawn. The message of a client that disconnects
// after the answer is still processed to its end.
func TestClientGoesBesideItsAnswer(t *testing.T) {
	t.Parallel()
	d := newTestDispatcher(t)
	d.addEndpoint("a", 1, "single", succeed)
	d.startReady()
	var heard []string
	for i := range 60 {
		c := d.dial()
		name := fmt.Sprint("m", i)
		m := newMessage(name, "upload", 1)
		if _, err := c.Write(testbed.EncodeRequest(m)); err != nil {
			t.Fatal(err)
		}
		if i%2 == 0 {
			_ = c.Close()
			continue
		}
		if status, err := testbed.ReadStatus(c); status != 202 {
			t.Fatalf("%s: %d, %v", name, status, err)
		}
		_ = c.Close()
		d.bed.Record(testbed.Event{Kind: testbed.Accepted, Name: name, Class: m.Class, Dest: 1, Due: time.Now().Add(m.Remaining)})
		heard = append(heard, name)
	}
	d.awaitEnds(heard)
	for i := range 60 {
		if n := d.countEvents(testbed.CallReceived, fmt.Sprint("m", i)); n > 1 {
			t.Errorf("m%d was sent %d times", i, n)
		}
	}
	if entries, _ := d.node.ledger.Outstanding(); len(entries) > 0 {
		d.bed.Await(5*time.Second, func([]testbed.Event) bool { e, _ := d.node.ledger.Outstanding(); return len(e) == 0 })
		if entries, _ = d.node.ledger.Outstanding(); len(entries) > 0 {
			t.Errorf("still owed: %+v", entries)
		}
	}
}
