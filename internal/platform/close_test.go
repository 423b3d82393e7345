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
func (d *day) dial() net.Conn {
	d.t.Helper()
	c, err := net.DialTimeout("tcp", d.addr, time.Second)
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(8 * time.Second))
	return c
}

// ask hands a message in on a connection that is kept.
func (d *day) ask(c net.Conn, m testbed.Message, want int) {
	d.t.Helper()
	if _, err := c.Write(testbed.EncodeRequest(m)); err != nil {
		d.t.Fatal(err)
	}
	if status, err := testbed.ReadStatus(c); status != want {
		d.t.Fatalf("%s: %d, %v", m.Name, status, err)
	}
	d.s.Record(testbed.Event{Kind: testbed.Accepted, Name: m.Name, Class: m.Class, Dest: m.Dest, Due: time.Now().Add(m.Remaining)})
}

// A fault is answered and the connection ended in order while the client still sends: no reset takes the answer away.
func TestAnswerOutlivesAnUpload(t *testing.T) {
	t.Parallel()
	d := newDay(t)
	d.endpoint("a", 1, "single", ok)
	d.start()
	form := string(testbed.EncodeRequest(msg("big", "status", 1)))
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

// A client that does not end its side is not waited for for long, nor one that goes on sending.
func TestEndIsBounded(t *testing.T) {
	t.Parallel()
	d := newDay(t)
	d.endpoint("a", 1, "single", ok)
	d.start()
	for _, size := range []int{1, 64 << 10} {
		c := d.dial()
		_, _ = io.WriteString(c, "noise\r\n\r\n")
		if _, err := io.ReadAll(c); err != nil { // its end is seen, and not answered by an end
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
			time.Sleep(time.Millisecond) // the pace of a client, nothing is waited for by it
		}
	}
}

// A request that comes when its connection has been shut is not taken, whichever comes first on the wire: its sender sees the
// end without an answer and hands it in again. One that was read before is answered.
func TestRequestCrossesTheEndOfItsConnection(t *testing.T) {
	t.Parallel()
	d := newDay(t)
	d.endpoint("a", 1, "single", ok)
	d.start()
	kept, late := d.dial(), d.dial()
	d.ask(kept, msg("first", "upload", 1), 202)
	d.ask(late, msg("second", "upload", 1), 202)
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
	_, _ = late.Write(testbed.EncodeRequest(msg("crossed", "upload", 1)))
	if n, err := late.Read(make([]byte, 1)); n > 0 || err == nil {
		t.Errorf("an answer behind the end: %v", err)
	}
	<-stopped
	d.node = nil
	d.s.Record(testbed.Event{Kind: testbed.Restarted})
	d.start()
	d.over([]string{"first", "second"})
	d.over(d.handOne(msg("crossed", "upload", 1)))
	if n := d.count(testbed.CallReceived, "crossed"); n != 1 {
		t.Errorf("the message that crossed was sent on %d times", n)
	}
	d.check()
}

// A request may come in pieces cut anywhere, with the body behind the head or in one piece with it.
func TestRequestInPieces(t *testing.T) {
	t.Parallel()
	d := newDay(t)
	d.endpoint("a", 1, "single", ok)
	d.start()
	c := d.dial()
	var names []string
	form := string(testbed.EncodeRequest(msg("piece-000", "sync", 1)))
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
	d.over(names)
}

// A client that goes before it has heard wants nothing any more; one that goes behind the answer is owed the end.
func TestClientGoesBesideItsAnswer(t *testing.T) {
	t.Parallel()
	d := newDay(t)
	d.endpoint("a", 1, "single", ok)
	d.start()
	var heard []string
	for i := range 60 {
		c := d.dial()
		name := fmt.Sprint("m", i)
		m := msg(name, "upload", 1)
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
		d.s.Record(testbed.Event{Kind: testbed.Accepted, Name: name, Class: m.Class, Dest: 1, Due: time.Now().Add(m.Remaining)})
		heard = append(heard, name)
	}
	d.over(heard)
	for i := range 60 {
		if n := d.count(testbed.CallReceived, fmt.Sprint("m", i)); n > 1 {
			t.Errorf("m%d was sent %d times", i, n)
		}
	}
	if entries, _ := d.node.ledger.Outstanding(); len(entries) > 0 {
		d.s.Await(5*time.Second, func([]testbed.Event) bool { e, _ := d.node.ledger.Outstanding(); return len(e) == 0 })
		if entries, _ = d.node.ledger.Outstanding(); len(entries) > 0 {
			t.Errorf("still owed: %+v", entries)
		}
	}
}
