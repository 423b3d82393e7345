package platform

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"whinrun/internal/testbed"
)

// pipelineStatuses writes a text on a new connection and returns the statuses of the answers, until the
// connection ends or there are enough.
func (d *testDispatcher) pipelineStatuses(text string, enough int) (statuses []int) {
	d.t.Helper()
	c, err := net.DialTimeout("tcp", d.addr, time.Second)
	if err != nil {
		d.t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	go func() { _, _ = io.WriteString(c, text) }()
	return testbed.ReadStatuses(c, enough)
}

// encodeMessages returns the requests of several messages, one after the other.
func encodeMessages(names ...string) string {
	var b bytes.Buffer
	for _, n := range names {
		b.Write(testbed.EncodeRequest(newMessage(n, "status", 1)))
	}
	return b.String()
}

// Pipelined requests are answered in order, however many there are. The first one that is invalid ends the
// connection after its own answer.
func TestPipelinedRequests(t *testing.T) {
	d := newTestDispatcher(t)
	d.addEndpoint("a", 1, "single", succeed)
	d.startReady()
	var names []string
	for i := range 300 {
		names = append(names, fmt.Sprint("m", i))
	}
	bad := strings.Replace(encodeMessages("bad"), "dest=1", "dest=77", 1)
	for name, c := range map[string]struct {
		text string
		want []int
	}{
		"hundreds":               {encodeMessages(names...), slices.Repeat([]int{202}, 300)},
		"ready between messages": {encodeMessages("r1") + "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n" + encodeMessages("r2"), []int{202, 200, 202}},
		"one that can't be used": {encodeMessages("b1", "b2") + bad + encodeMessages("b3"), []int{202, 202, 404}},
		"the same id twice":      {encodeMessages("s1", "s1", "s2"), []int{202, 409}},
		"noise behind":           {encodeMessages("n1") + "\x16\x03\x01\r\n\r\n", []int{202, 400}},
		"half a request behind":  {encodeMessages("h1") + encodeMessages("h2")[:30], []int{202, 408}},
		"the last one asks for the end": {strings.Replace(encodeMessages("e1"), "Host:", "Connection: close\r\nHost:", 1) + encodeMessages("e2"),
			[]int{202}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if got := d.pipelineStatuses(c.text, 301); !slices.Equal(got, c.want) {
				t.Errorf("answers %v, want %v", got, c.want)
			}
		})
	}
	// The cleanup runs after the parallel subtests.
	t.Cleanup(func() {
		d.awaitEnds(names)
		d.checkRules()
		for _, n := range []string{"b3", "s2", "h2", "e2"} {
			if d.countEvents(testbed.CallReceived, n) > 0 {
				t.Errorf("%s was taken", n)
			}
		}
	})
}

// A client that sends without end and reads nothing is held back: the data buffered for it stays bounded, and
// other clients are served.
func TestPipelineIsBounded(t *testing.T) {
	d := newTestDispatcher(t)
	d.addEndpoint("a", 1, "single", succeed)
	d.startReady()
	c, err := net.DialTimeout("tcp", d.addr, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	ready := []byte(strings.Repeat("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n", 1000))
	_ = c.SetWriteDeadline(time.Now().Add(3 * time.Second))
	for sent := 0; sent < 64<<20; sent += len(ready) {
		// The connection was closed or the client is held back.
		if _, err = c.Write(ready); err != nil {
			break
		}
	}
	if err == nil {
		t.Error("64 MiB of requests were read of a client that reads no answer")
	}
	if names := d.submitAll("u", 10, 1, "status"); len(names) != 10 {
		t.Errorf("%d of 10 taken", len(names))
	}
}

// A stop while requests are pipelined: every request that was read gets an answer, and every accepted message
// its end.
func TestStopAmidAPipeline(t *testing.T) {
	d := newTestDispatcher(t)
	d.addEndpoint("a", 1, "single", succeed)
	d.startReady()
	var names []string
	for i := range 200 {
		names = append(names, fmt.Sprint("m", i))
	}
	got := make(chan []int)
	go func() { got <- d.pipelineStatuses(encodeMessages(names...)+encodeMessages("half")[:40], 201) }()
	d.bed.Await(time.Second, func(ev []testbed.Event) bool { return testbed.Count(ev, testbed.CallReceived, "") > 0 })
	done := make(chan struct{})
	go func() {
		d.node.Stop()
		close(done)
	}()
	answers := <-got
	<-done
	d.node = nil
	if len(answers) != 201 {
		t.Errorf("%d answers to 200 requests and a half: %v", len(answers), answers)
	}
	var taken []string
	for i, status := range answers {
		if status == 202 {
			taken = append(taken, names[i])
		}
	}
	if len(taken) == 0 || answers[len(answers)-1] < 400 {
		t.Errorf("answers %v", answers)
	}
	d.bed.Record(testbed.Event{Kind: testbed.Restarted})
	d.startReady()
	d.awaitEnds(taken)
	d.checkRules()
}
