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

// answers writes a text on a connection of its own, and reads answers until the connection ends or there are enough.
func (d *day) answers(text string, enough int) (statuses []int) {
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

func forms(names ...string) string {
	var b bytes.Buffer
	for _, n := range names {
		b.Write(testbed.EncodeRequest(msg(n, "status", 1)))
	}
	return b.String()
}

// Requests that come ahead of answers are answered in order, however many, and the first that can't be taken ends the
// connection behind its own answer.
func TestPipelinedRequests(t *testing.T) {
	d := newDay(t)
	d.endpoint("a", 1, "single", ok)
	d.start()
	var names []string
	for i := range 300 {
		names = append(names, fmt.Sprint("m", i))
	}
	bad := strings.Replace(forms("bad"), "dest=1", "dest=77", 1)
	for name, c := range map[string]struct {
		text string
		want []int
	}{
		"hundreds":               {forms(names...), slices.Repeat([]int{202}, 300)},
		"ready between messages": {forms("r1") + "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n" + forms("r2"), []int{202, 200, 202}},
		"one that can't be used": {forms("b1", "b2") + bad + forms("b3"), []int{202, 202, 404}},
		"the same id twice":      {forms("s1", "s1", "s2"), []int{202, 409}},
		"noise behind":           {forms("n1") + "\x16\x03\x01\r\n\r\n", []int{202, 400}},
		"half a request behind":  {forms("h1") + forms("h2")[:30], []int{202, 408}},
		"the last one asks for the end": {strings.Replace(forms("e1"), "Host:", "Connection: close\r\nHost:", 1) + forms("e2"),
			[]int{202}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if got := d.answers(c.text, 301); !slices.Equal(got, c.want) {
				t.Errorf("answers %v, want %v", got, c.want)
			}
		})
	}
	t.Cleanup(func() { // behind the parallel ones
		d.over(names)
		d.check()
		for _, n := range []string{"b3", "s2", "h2", "e2"} {
			if d.count(testbed.CallReceived, n) > 0 {
				t.Errorf("%s was taken", n)
			}
		}
	})
}

// A client that sends without end and reads nothing is held back: what is kept for it stays bounded, and others are served.
func TestPipelineIsBounded(t *testing.T) {
	d := newDay(t)
	d.endpoint("a", 1, "single", ok)
	d.start()
	c, err := net.DialTimeout("tcp", d.addr, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	ready := []byte(strings.Repeat("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n", 1000))
	_ = c.SetWriteDeadline(time.Now().Add(3 * time.Second))
	for sent := 0; sent < 64<<20; sent += len(ready) {
		if _, err = c.Write(ready); err != nil { // closed, or held back
			break
		}
	}
	if err == nil {
		t.Error("64 MiB of requests were read of a client that reads no answer")
	}
	if names := d.hand("u", 10, 1, "status"); len(names) != 10 {
		t.Errorf("%d of 10 taken", len(names))
	}
}

// A stop with requests ahead of answers: what was read has an answer, and what was taken on has its end.
func TestStopAmidAPipeline(t *testing.T) {
	d := newDay(t)
	d.endpoint("a", 1, "single", ok)
	d.start()
	var names []string
	for i := range 200 {
		names = append(names, fmt.Sprint("m", i))
	}
	got := make(chan []int)
	go func() { got <- d.answers(forms(names...)+forms("half")[:40], 201) }()
	d.s.Await(time.Second, func(ev []testbed.Event) bool { return testbed.Count(ev, testbed.CallReceived, "") > 0 })
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
	d.s.Record(testbed.Event{Kind: testbed.Restarted})
	d.start()
	d.over(taken)
	d.check()
}
