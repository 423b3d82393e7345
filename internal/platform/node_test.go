package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"whinrun/internal/disk"
	"whinrun/internal/eventloop"
	"whinrun/internal/eventloop/eventlooptest"
	"whinrun/internal/logs"
	"whinrun/internal/testbed"
)

// testDispatcher is a dispatcher on a test bed. It collects the dispatcher's log.
type testDispatcher struct {
	t     *testing.T
	bed   *testbed.Testbed
	agent *testbed.Agent
	// tempDir holds the configuration file and the state directory.
	tempDir string
	env     map[string]string
	addr    string
	node    *Node
	// disk replaces the state directory, nil to use a real one.
	disk *disk.Memory
	// faulty replaces the kernel, nil to use the real one.
	faulty *eventlooptest.FaultySystem
	// fixedConfig is the text of the configuration file, nil to generate it from the present list.
	fixedConfig []byte
	logBuf      bytes.Buffer
	// logMu guards logBuf.
	logMu sync.Mutex
}

// Write appends to the collected log.
func (d *testDispatcher) Write(b []byte) (int, error) {
	d.logMu.Lock()
	defer d.logMu.Unlock()
	return d.logBuf.Write(b)
}

// newTestDispatcher returns a dispatcher that has not been started, on a test bed with an agent.
func newTestDispatcher(t *testing.T) *testDispatcher {
	t.Helper()
	d := &testDispatcher{t: t, bed: testbed.New(), tempDir: t.TempDir()}
	var err error
	if d.agent, err = d.bed.Agent(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.agent.Close)
	if d.addr, err = testbed.FreeAddr(); err != nil {
		t.Fatal(err)
	}
	d.env = map[string]string{"EDGE_CONFIG": filepath.Join(d.tempDir, "config.json"), "EDGE_STATE": filepath.Join(d.tempDir, "state")}
	return d
}

// writeConfig writes the configuration file.
func (d *testDispatcher) writeConfig() {
	d.t.Helper()
	text := d.fixedConfig
	if text == nil {
		text = testbed.Configuration(d.addr, d.agent)
	}
	if err := os.WriteFile(d.env["EDGE_CONFIG"], text, 0o600); err != nil {
		d.t.Fatal(err)
	}
}

// startReady starts the dispatcher and expects it to be ready.
func (d *testDispatcher) startReady() {
	d.t.Helper()
	d.launch()
	if status, _ := d.roundTrip("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n", time.Second); status != 200 {
		d.t.Fatalf("ready: %d", status)
	}
}

// launch starts the dispatcher.
func (d *testDispatcher) launch() {
	d.t.Helper()
	d.writeConfig()
	cfg, err := Load(func(k string) string { return d.env[k] })
	if err != nil {
		d.t.Fatal(err)
	}
	log, err := logs.New(d, "info", 1000)
	if err != nil {
		d.t.Fatal(err)
	}
	switch {
	case d.disk != nil:
		d.node, err = startWith(context.Background(), d.disk, d.system(), cfg, log)
	case d.faulty != nil:
		var folder disk.FS
		if folder, err = openStateDir(cfg.StateDir); err == nil {
			d.node, err = startWith(context.Background(), folder, d.system(), cfg, log)
		}
	default:
		d.node, err = Start(context.Background(), cfg, log)
	}
	if err != nil {
		d.t.Fatal(err)
	}
	node := d.node
	d.t.Cleanup(func() {
		if d.node == node {
			node.Kill()
		}
	})
}

// system returns what makes the dispatcher's system calls, nil for the kernel.
func (d *testDispatcher) system() eventloop.System {
	if d.faulty == nil {
		return nil
	}
	return d.faulty
}

// kill ends the dispatcher as a crash does.
func (d *testDispatcher) kill() { d.end(testbed.Event{Kind: testbed.Restarted}) }

// killUnrecorded ends the dispatcher as a crash does, while its disk refuses writes.
func (d *testDispatcher) killUnrecorded() {
	d.end(testbed.Event{Kind: testbed.Restarted, Unrecorded: true})
}

// end ends the dispatcher without a stop, and records that.
func (d *testDispatcher) end(event testbed.Event) {
	d.node.Kill()
	d.node = nil
	d.bed.Record(event)
}

// addEndpoint adds an endpoint and lists it as ready.
func (d *testDispatcher) addEndpoint(host string, dest int, class string, act func(testbed.Call) testbed.Reply) *testbed.Endpoint {
	d.t.Helper()
	e, err := d.bed.Endpoint(host, dest, "", act)
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(e.Close)
	d.setListed(e, class, "ready")
	return e
}

// setListed has the agent list an endpoint with the given health.
func (d *testDispatcher) setListed(e *testbed.Endpoint, class, health string) {
	d.agent.Publish(testbed.EndpointEntry{Host: e.Host, Dial: e.Addr, Site: "east", Class: class, Block: e.Dest, Health: health, Share: 1})
}

// roundTrip writes a text on a new connection and returns the status of the first answer. The status is 0 if
// the connection was closed without an answer and -1 if neither happened in time.
func (d *testDispatcher) roundTrip(text string, within time.Duration) (status int, took time.Duration) {
	d.t.Helper()
	c, err := net.DialTimeout("tcp", d.addr, time.Second)
	if err != nil {
		d.t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	start := time.Now()
	_ = c.SetDeadline(start.Add(within))
	go func() { _, _ = io.WriteString(c, text) }()
	status, err = testbed.ReadStatus(c)
	if ne, ok := err.(net.Error); ok && ne.Timeout() {
		status = -1
	}
	return status, time.Since(start)
}

// newMessage returns a message with 3 s left. Messages of keyed classes get a key.
func newMessage(name, class string, dest int) testbed.Message {
	m := testbed.Message{Name: name, Class: class, Tenant: "acme", Dest: dest, Remaining: 3 * time.Second, Body: "body of " + name}
	if class == "sync" || class == "turns" {
		m.IdempotencyKey = "key-" + name
	}
	return m
}

// submitAll submits n messages of each class and returns the ids of the accepted ones.
func (d *testDispatcher) submitAll(prefix string, n, dest int, classes ...string) (names []string) {
	for i := range n {
		for _, c := range classes {
			name := fmt.Sprintf("%s-%s-%d", prefix, c, i)
			if d.bed.Submit(d.addr, newMessage(name, c, dest)) == 202 {
				names = append(names, name)
			}
		}
	}
	return names
}

// awaitEnds waits until all messages have ended.
func (d *testDispatcher) awaitEnds(names []string) {
	d.t.Helper()
	if !d.bed.Await(10*time.Second, func(ev []testbed.Event) bool { return testbed.AllEnded(ev, names) }) {
		d.t.Fatalf("messages without an end; log: %s", d.logText())
	}
}

// logText returns the collected log.
func (d *testDispatcher) logText() string {
	d.logMu.Lock()
	defer d.logMu.Unlock()
	return d.logBuf.String()
}

// logIfFailed logs the events and the dispatcher's log if the test has failed.
func (d *testDispatcher) logIfFailed() {
	d.t.Helper()
	if !d.t.Failed() {
		return
	}
	for _, e := range d.bed.Events() {
		d.t.Log(e)
	}
	d.t.Log(d.logText())
}

// checkRules checks the six rules of testbed.Check against the traffic on the sockets, and that the log
// contains no errors.
func (d *testDispatcher) checkRules() {
	d.t.Helper()
	faults := testbed.Check(d.bed.Events(), testbed.Rules{EndSlack: 350 * time.Millisecond, DrainGrace: 1050 * time.Millisecond, AtMostOnce: []string{"upload"},
		Ordered: []string{"turns"}, DedupWindows: map[string]time.Duration{"sync": 4 * time.Second, "turns": 4 * time.Second}, ColdBudget: 1 << 20, WaitGrace: 150 * time.Millisecond, ObservationLag: 100 * time.Millisecond, EndGrace: 100 * time.Millisecond}, time.Now())
	for _, f := range faults {
		d.t.Error(f)
	}
	if strings.Contains(d.logText(), `"level":"error"`) {
		d.t.Errorf("log: %s", d.logText())
	}
}

// givenUp returns the messages that a notice ended before they were delivered. A delivery that nothing proves gets a notice, too, behind
// its answer.
func (d *testDispatcher) givenUp() (names []string) {
	delivered := map[string]bool{}
	for _, e := range d.bed.Events() {
		switch {
		case e.Kind == testbed.CallAnswered && e.Status == 200:
			delivered[e.Name] = true
		case e.Kind == testbed.NoticeReceived && !delivered[e.Name]:
			names = append(names, e.Name)
		}
	}
	return names
}

// succeed answers a call with 200 after 5 ms.
func succeed(testbed.Call) testbed.Reply {
	return testbed.Reply{Status: 200, Delay: 5 * time.Millisecond}
}

// alwaysReply answers every call with r.
func alwaysReply(r testbed.Reply) func(testbed.Call) testbed.Reply {
	return func(testbed.Call) testbed.Reply { return r }
}

// replyFirst answers the first n calls with r and later ones with success.
func replyFirst(n int, r testbed.Reply) func(testbed.Call) testbed.Reply {
	var mu sync.Mutex
	return func(c testbed.Call) testbed.Reply {
		mu.Lock()
		defer mu.Unlock()
		if n--; n >= 0 {
			return r
		}
		return succeed(c)
	}
}

// countEvents returns the number of events of a kind for a message, or for all messages if name is empty.
func (d *testDispatcher) countEvents(k testbed.Kind, name string) int {
	return testbed.Count(d.bed.Events(), k, name)
}

// Without any failure all messages are delivered with their bodies and keys, and none is refused, broken off
// or given up.
func TestAllMessagesDelivered(t *testing.T) {
	d := newTestDispatcher(t)
	var mu sync.Mutex
	bodies, keys := map[string]string{}, map[string]string{}
	see := func(c testbed.Call) testbed.Reply {
		mu.Lock()
		defer mu.Unlock()
		if len(c.MessageNames) == 1 && !strings.Contains(c.Body, "\r\n") {
			bodies[c.MessageNames[0]] = c.Body
		}
		for i, n := range c.MessageNames {
			keys[n] = c.IdempotencyKeys[i]
		}
		return succeed(c)
	}
	d.addEndpoint("a", 1, "bulk", see)
	d.addEndpoint("b", 2, "single", see)
	d.startReady()
	names := slices.Concat(d.submitAll("x", 20, 1, "status", "sync", "upload", "turns"), d.submitAll("y", 20, 2, "status", "sync", "upload"))
	if len(names) != 140 {
		t.Errorf("%d taken of 140", len(names))
	}
	d.awaitEnds(names)
	d.checkRules()
	mu.Lock()
	defer mu.Unlock()
	if bodies["y-sync-3"] != "body of y-sync-3" || keys["y-sync-3"] != "key-y-sync-3" || keys["y-upload-3"] != "" {
		t.Errorf("body %q, key %q, key %q", bodies["y-sync-3"], keys["y-sync-3"], keys["y-upload-3"])
	}
	for _, e := range d.bed.Events() {
		if e.Kind == testbed.Refused || e.Kind == testbed.CallBroken || e.Kind == testbed.CallAnswered && e.Status != 200 {
			t.Errorf("unexpected event: %+v", e)
		}
	}
	if lost := d.givenUp(); len(lost) > 0 {
		t.Errorf("given up: %v", lost)
	}
}

// Messages that wait for the same endpoint are sent as one call, and each gets its own end from the answer.
func TestBulkCall(t *testing.T) {
	d := newTestDispatcher(t)
	var mu sync.Mutex
	most := 0
	e := d.addEndpoint("a", 1, "bulk", alwaysReply(testbed.Reply{Status: 429, RetryAfter: 300 * time.Millisecond}))
	d.startReady()
	names := d.submitAll("x", 4, 1, "status", "upload")
	e.SetHandler(func(c testbed.Call) testbed.Reply {
		mu.Lock()
		defer mu.Unlock()
		most = max(most, len(c.MessageNames))
		body := ""
		for i, n := range c.MessageNames {
			body += n + " " + []string{"done", "failed", "busy"}[i%3] + "\r\n"
		}
		if len(c.MessageNames) == 1 {
			return succeed(c)
		}
		return testbed.Reply{Status: 200, Body: body}
	})
	d.awaitEnds(names)
	mu.Lock()
	defer mu.Unlock()
	if most < 2 || most > 5 {
		t.Errorf("at most %d messages in a call", most)
	}
	for _, n := range names {
		if calls := d.countEvents(testbed.CallReceived, n); strings.Contains(n, "upload") && calls > 4 {
			t.Errorf("%s: %d calls", n, calls)
		}
	}
}

// An upload whose answer is lost is not sent again. It ends at once, long before its deadline.
func TestAnswerLost(t *testing.T) {
	d := newTestDispatcher(t)
	d.addEndpoint("a", 1, "single", replyFirst(3, testbed.Reply{Drop: true, Delay: 5 * time.Millisecond}))
	d.startReady()
	start := time.Now()
	names := d.submitAll("x", 3, 1, "upload")
	d.awaitEnds(names)
	if took := time.Since(start); took > 2*time.Second {
		t.Errorf("the ends took %v", took)
	}
	if n := d.countEvents(testbed.NoticeReceived, ""); n == 0 {
		t.Error("no notice")
	}
	more := d.submitAll("y", 3, 1, "status", "sync")
	d.awaitEnds(more)
	d.checkRules()
}

// A process takes over the outstanding work of a killed one. Messages that may not be executed twice end with a notice if
// they were sent, the others are delivered.
func TestKillAndRestart(t *testing.T) {
	d := newTestDispatcher(t)
	e := d.addEndpoint("a", 1, "single", alwaysReply(testbed.Reply{Hang: true}))
	d.startReady()
	names := d.submitAll("x", 3, 1, "status", "sync", "upload")
	d.bed.Await(time.Second, func(ev []testbed.Event) bool { return testbed.Count(ev, testbed.CallReceived, "") >= 3 })
	out := map[string]bool{}
	for _, ev := range d.bed.Events() {
		if ev.Kind == testbed.CallReceived {
			out[ev.Name] = true
		}
	}
	d.kill()
	e.SetHandler(succeed)
	d.startReady()
	d.awaitEnds(names)
	d.checkRules()
	for _, n := range names {
		if strings.Contains(n, "upload") && out[n] && (d.countEvents(testbed.CallReceived, n) != 1 || d.countEvents(testbed.NoticeReceived, n) != 1) {
			t.Errorf("%s: %d calls, %d notices", n, d.countEvents(testbed.CallReceived, n), d.countEvents(testbed.NoticeReceived, n))
		}
	}
	if len(out) == 0 {
		t.Error("no call was in flight at the kill")
	}
}

// The process is killed several times under load. No message may be lost and no upload sent twice.
func TestKillsUnderLoad(t *testing.T) {
	d := newTestDispatcher(t)
	d.addEndpoint("a", 1, "bulk", func(c testbed.Call) testbed.Reply {
		return testbed.Reply{Status: []int{200, 200, 200, 500, 503}[c.Number%5], Delay: time.Duration(c.Number%7) * 3 * time.Millisecond}
	})
	d.addEndpoint("b", 2, "single", func(c testbed.Call) testbed.Reply {
		return testbed.Reply{Status: 200, Drop: c.Number%6 == 0, Delay: time.Duration(c.Number%5) * 4 * time.Millisecond}
	})
	var names []string
	for round := range 6 {
		d.startReady()
		var mu sync.Mutex
		var all sync.WaitGroup
		stop := make(chan struct{})
		for w := range 4 {
			all.Go(func() {
				for i := 0; ; i++ {
					select {
					case <-stop:
						return
					default:
					}
					c := []string{"status", "sync", "upload"}[i%3]
					n := fmt.Sprintf("r%d-w%d-%s-%d", round, w, c, i)
					if d.bed.Submit(d.addr, newMessage(n, c, 1+i%2)) == 202 {
						mu.Lock()
						names = append(names, n)
						mu.Unlock()
					}
				}
			})
		}
		had := len(d.bed.Events())
		d.bed.Await(3*time.Second, func(ev []testbed.Event) bool { return len(ev) > had+200+50*round })
		d.kill()
		close(stop)
		all.Wait()
	}
	d.startReady()
	d.awaitEnds(names)
	d.checkRules()
	if len(names) < 100 {
		t.Errorf("only %d taken", len(names))
	}
}

// After SIGTERM new requests are refused, calls in flight are awaited, and the remaining messages are kept
// for the next process.
func TestStopKeepsWhatIsHeld(t *testing.T) {
	d := newTestDispatcher(t)
	e := d.addEndpoint("a", 1, "single", alwaysReply(testbed.Reply{Status: 200, Delay: 400 * time.Millisecond}))
	d.addEndpoint("b", 2, "single", alwaysReply(testbed.Reply{Status: 429, RetryAfter: 10 * time.Second}))
	d.startReady()
	names := d.submitAll("x", 2, 1, "upload")
	m := newMessage("held", "sync", 2)
	m.Remaining = 5 * time.Second
	if d.bed.Submit(d.addr, m) == 202 {
		names = append(names, "held")
	}
	done := make(chan struct{})
	start := time.Now()
	go func() {
		d.node.Stop()
		close(done)
	}()
	for !d.node.clients.stopping.Load() {
		time.Sleep(time.Millisecond)
	}
	if status := d.bed.Submit(d.addr, newMessage("late", "status", 1)); status != 503 && status != 429 && status != 0 {
		t.Errorf("a new request while stopping: %d", status)
	}
	<-done
	if took := time.Since(start); took > 3600*time.Millisecond {
		t.Errorf("the stop took %v", took)
	}
	d.node = nil
	d.bed.Record(testbed.Event{Kind: testbed.Restarted})
	e.SetHandler(succeed)
	d.startReady()
	d.awaitEnds(names)
	d.checkRules()
}

// Requests that are read while the dispatcher stops are answered. No connection may end with a request that
// was read.
func TestStopAnswersWhatIsRead(t *testing.T) {
	d := newTestDispatcher(t)
	d.addEndpoint("a", 1, "single", succeed)
	d.startReady()
	done := make(chan struct{})
	go func() {
		d.node.Stop()
		close(done)
	}()
	var names []string
	cut := 0
	for i := 0; ; i++ {
		c, err := net.DialTimeout("tcp", d.addr, time.Second)
		// The dispatcher no longer listens.
		if err != nil {
			break
		}
		n := fmt.Sprint("m", i)
		_ = c.SetDeadline(time.Now().Add(time.Second))
		if _, err = c.Write(testbed.EncodeRequest(newMessage(n, "status", 1))); err == nil {
			b := make([]byte, 200)
			if k, err := c.Read(b); err != nil {
				// The request was not read. That may happen to the last one at most, at the moment of the
				// end.
				cut++
			} else if strings.HasPrefix(string(b[:k]), "HTTP/1.1 202") {
				names = append(names, n)
			}
		}
		_ = c.Close()
		select {
		case <-done:
		case <-time.After(2 * time.Millisecond):
		}
	}
	<-done
	d.node = nil
	if cut > 1 {
		t.Errorf("%d connections ended without answering a request", cut)
	}
	d.startReady()
	d.awaitEnds(names)
}

// SIGHUP moves discovery and notices to a new address. A broken configuration file changes nothing.
func TestReload(t *testing.T) {
	d := newTestDispatcher(t)
	e := d.addEndpoint("a", 1, "single", succeed)
	d.startReady()
	d.awaitEnds(d.submitAll("x", 2, 1, "status"))
	old := d.agent
	if err := os.WriteFile(d.env["EDGE_CONFIG"], []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Load(func(k string) string { return d.env[k] }); err == nil {
		t.Error("a broken configuration file was accepted")
	}
	var err error
	if d.agent, err = d.bed.Agent(); err != nil {
		t.Fatal(err)
	}
	defer d.agent.Close()
	d.setListed(e, "single", "ready")
	d.writeConfig()
	cfg, err := Load(func(k string) string { return d.env[k] })
	if err != nil {
		t.Fatal(err)
	}
	d.node.Reload(cfg)
	old.Close()
	d.addEndpoint("b", 2, "single", alwaysReply(testbed.Reply{Status: 500}))
	// The destination is unknown until the new discovery has sent its list.
	for d.bed.Submit(d.addr, newMessage("known?", "upload", 2)) == 404 {
		time.Sleep(5 * time.Millisecond)
	}
	names := d.submitAll("y", 2, 2, "upload")
	d.awaitEnds(append(names, "known?"))
	d.checkRules()
	if n := d.countEvents(testbed.NoticeReceived, ""); n != 3 {
		t.Errorf("%d notices at the new address, want 3", n)
	}
}

// Notices are repeated until they are acknowledged, also after a restart.
func TestNoticesUntilAcknowledged(t *testing.T) {
	d := newTestDispatcher(t)
	d.agent.FailNotices(500)
	d.addEndpoint("a", 1, "single", alwaysReply(testbed.Reply{Status: 500}))
	d.startReady()
	names := d.submitAll("x", 3, 1, "upload")
	d.bed.Await(2*time.Second, func(ev []testbed.Event) bool { return testbed.Count(ev, testbed.CallAnswered, "") >= 3 })
	for d.node.Stats().Failed < 3 {
		time.Sleep(time.Millisecond)
	}
	d.kill()
	d.agent.FailNotices(0)
	d.startReady()
	d.awaitEnds(names)
	d.checkRules()
}

// A drain takes effect at once. Calls that were not written to the endpoint go to another one and are not
// counted against it.
func TestDrain(t *testing.T) {
	d := newTestDispatcher(t)
	a := d.addEndpoint("a", 1, "single", succeed)
	d.addEndpoint("b", 1, "single", succeed)
	d.startReady()
	d.awaitEnds(d.submitAll("x", 5, 1, "status"))
	d.setListed(a, "single", "draining")
	d.awaitEnds(d.submitAll("y", 20, 1, "status", "upload"))
	d.setListed(a, "single", "gone")
	d.awaitEnds(d.submitAll("z", 20, 1, "status"))
	d.checkRules()
}

// A new endpoint at the address of one that left the list is a different endpoint. It must not be called on
// an old connection.
func TestAddressReused(t *testing.T) {
	d := newTestDispatcher(t)
	a := d.addEndpoint("a", 1, "single", succeed)
	d.startReady()
	d.awaitEnds(d.submitAll("x", 5, 1, "status"))
	had := a.AcceptedConns()
	d.setListed(a, "single", "gone")
	b := &testbed.Endpoint{Host: "b", Dest: 1, Addr: a.Addr}
	d.setListed(b, "single", "ready")
	// Both changes of the list arrive within this second.
	d.bed.Await(time.Second, func([]testbed.Event) bool { return false })
	d.awaitEnds(d.submitAll("y", 3, 1, "status"))
	if a.AcceptedConns() == had {
		t.Error("no connection was opened for the new endpoint")
	}
	d.checkRules()
}

// Malformed responses: a single call whose status line says 200 is delivered, and any other may have been
// executed. A connection with a malformed response must not be used again.
func TestMalformedAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		reply     testbed.Reply
		delivered bool
	}{
		"noise":           {testbed.Reply{Raw: "\x00\x01\xfe\xff noise", Status: 500}, false},
		"noise behind":    {testbed.Reply{Status: 200, TrailingBytes: "noise"}, true},
		"second answer":   {testbed.Reply{Status: 200, TrailingBytes: "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n"}, true},
		"negative length": {testbed.Reply{Raw: "HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n", Status: 200}, true},
		"3 GB":            {testbed.Reply{Raw: "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n" + strings.Repeat("x", 1<<20), Status: 200}, true},
		"3 GB error":      {testbed.Reply{Raw: "HTTP/1.1 500 x\r\nContent-Length: 3221225472\r\n\r\n" + strings.Repeat("x", 1<<20), Status: 500}, false},
		"endless head":    {testbed.Reply{Raw: "HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", 10000), Status: 200}, true},
		"bad head line":   {testbed.Reply{Raw: "HTTP/1.1 200 OK\r\n\x00\x00\r\n\r\n", Status: 200}, true},
		"interim answers": {testbed.Reply{Raw: "HTTP/1.1 103 a\r\n\r\nHTTP/1.1 100 b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", Status: 200}, true},
		"cut body":        {testbed.Reply{Raw: "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc", Status: 200}, true},
		"bad report":      {testbed.Reply{Status: 200, ExtraHeaders: []string{"X-Pressure", "x0=zz,,=,x1"}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newTestDispatcher(t)
			e := d.addEndpoint("a", 1, "single", replyFirst(1, c.reply))
			d.startReady()
			names := d.submitAll("x", 1, 1, "upload")
			d.awaitEnds(names)
			if got := d.countEvents(testbed.NoticeReceived, names[0]) == 0; got != c.delivered {
				t.Errorf("delivered %v, want %v; log %s", got, c.delivered, d.logText())
			}
			d.awaitEnds(d.submitAll("y", 2, 1, "status"))
			if !strings.HasPrefix(name, "interim") && name != "bad report" && e.AcceptedConns() < 2 {
				t.Error("the connection with the malformed response was used again")
			}
			d.checkRules()
		})
	}
}

// Misbehaving clients get an error or a closed connection within 3 s of connecting. Nothing of theirs may
// reach an endpoint, and well-behaved clients are served meanwhile.
func TestBadClients(t *testing.T) {
	d := newTestDispatcher(t)
	d.addEndpoint("a", 1, "single", succeed)
	d.startReady()
	good := string(testbed.EncodeRequest(newMessage("m", "status", 1)))
	swap := func(from, to string) string {
		if !strings.Contains(good, from) {
			t.Fatalf("no %q in %q", from, good)
		}
		return strings.Replace(good, from, to, 1)
	}
	for name, text := range map[string]string{
		"noise":             "\x16\x03\x01\x00\xff",
		"mute":              "",
		"endless head":      "POST /status HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", 20000),
		"half a head":       good[:40],
		"half a body":       good[:len(good)-3],
		"length and coding": swap("Content-Length", "Transfer-Encoding: chunked\r\nContent-Length"),
		"two lengths":       swap("Content-Length", "Content-Length: 3\r\nContent-Length"),
		"negative length":   swap("Content-Length: ", "Content-Length: -"),
		"huge length":       swap("Content-Length: ", "Content-Length: 9999999999999999999"),
		"60 MB":             swap("Content-Length: ", "Content-Length: 600000") + strings.Repeat("x", 1<<20),
		"unknown class":     strings.ReplaceAll(good, "status", "nothing"),
		"class apart":       swap("POST /status", "POST /sync"),
		"unknown dest":      swap("dest=1", "dest=77"),
		"dest no number":    swap("dest=1", "dest=x"),
		"no dest":           swap("dest=1", "to=1"),
		"unknown tenant":    swap("acme", "nobody"),
		"time no number":    swap("X-Remaining: 3.000", "X-Remaining: soon"),
		"time not finite":   swap("X-Remaining: 3.000", "X-Remaining: NaN"),
		"negative time":     swap("X-Remaining: 3.000", "X-Remaining: -3"),
		"no id":             swap("X-Txn: m", "X-Other: m"),
		"empty id":          swap("X-Txn: m", "X-Txn: "),
		"two ids":           swap("X-Txn: m", "X-Txn: m\r\nX-Txn: n"),
		"id with a space":   swap("X-Txn: m", "X-Txn: m n"),
		"no key":            string(testbed.EncodeRequest(testbed.Message{Name: "k", Class: "sync", Tenant: "acme", Dest: 1, Remaining: time.Second})),
		"other method":      "DELETE / HTTP/1.1\r\nHost: a\r\n\r\n",
		"other path":        "GET /secret HTTP/1.1\r\nHost: a\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if status, took := d.roundTrip(text, 3*time.Second); status < 0 || status > 0 && status < 400 {
				t.Errorf("status %d after %v", status, took)
			}
		})
	}
	t.Run("usual", func(t *testing.T) {
		t.Parallel()
		if names := d.submitAll("u", 50, 1, "status"); len(names) != 50 {
			t.Errorf("%d of 50 taken", len(names))
		} else {
			d.awaitEnds(names)
		}
	})
	t.Cleanup(func() {
		for _, e := range d.bed.Events() {
			if e.Kind == testbed.CallReceived && !strings.HasPrefix(e.Name, "u-") {
				t.Errorf("%q reached an endpoint", e.Name)
			}
		}
	})
}

// Hundreds of silent connections must not keep other clients out.
func TestMuteFlood(t *testing.T) {
	d := newTestDispatcher(t)
	d.addEndpoint("a", 1, "single", succeed)
	d.startReady()
	var conns []net.Conn
	defer func() {
		for _, c := range conns {
			_ = c.Close()
		}
	}()
	for range 300 {
		c, err := net.DialTimeout("tcp", d.addr, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
	}
	var names []string
	for i := range 20 {
		n := fmt.Sprint("u", i)
		// A client may retry on a connection that was closed before anything was sent on for it.
		for range 5 {
			if d.bed.Submit(d.addr, newMessage(n, "status", 1)) == 202 {
				names = append(names, n)
				break
			}
		}
	}
	if len(names) != 20 {
		t.Errorf("%d of 20 accepted during a flood of silent connections", len(names))
	}
	d.awaitEnds(names)
	for i, c := range conns {
		_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
		if _, err := c.Read(make([]byte, 1)); err == nil || strings.Contains(err.Error(), "timeout") {
			t.Fatalf("silent connection %d: %v", i, err)
		}
	}
	d.checkRules()
}

// A message with the id of one that is still outstanding is not accepted.
func TestIDTakenTwice(t *testing.T) {
	d := newTestDispatcher(t)
	d.addEndpoint("a", 1, "single", alwaysReply(testbed.Reply{Status: 200, Delay: 500 * time.Millisecond}))
	d.startReady()
	names := d.submitAll("x", 1, 1, "upload")
	if status, _ := d.roundTrip(string(testbed.EncodeRequest(newMessage(names[0], "upload", 1))), time.Second); status != 409 {
		t.Errorf("the id of an open message: %d", status)
	}
	d.awaitEnds(names)
	if n := d.countEvents(testbed.CallReceived, names[0]); n != 1 {
		t.Errorf("%d calls", n)
	}
	d.checkRules()
}

// A silent endpoint is given up if another one can take the message, and all messages end.
func TestSilentEndpoint(t *testing.T) {
	d := newTestDispatcher(t)
	d.addEndpoint("a", 1, "single", alwaysReply(testbed.Reply{Hang: true}))
	d.addEndpoint("b", 1, "single", succeed)
	d.startReady()
	names := d.submitAll("x", 10, 1, "status", "sync")
	d.awaitEnds(names)
	d.checkRules()
}

// A dispatcher that starts while discovery is down uses the list of the configuration.
func TestStartWithoutDiscovery(t *testing.T) {
	d := newTestDispatcher(t)
	d.addEndpoint("a", 1, "single", succeed)
	d.agent.Close()
	d.startReady()
	d.awaitEnds(d.submitAll("x", 5, 1, "status", "upload"))
	d.checkRules()
}

// Before any list is known a message is refused with 503 instead of 404, because it is unknown whether its
// destination exists.
func TestStartWithoutAnyList(t *testing.T) {
	d := newTestDispatcher(t)
	d.fixedConfig = testbed.Configuration(d.addr, d.agent)
	d.agent.SetMuted(true)
	d.launch()
	if status := d.bed.Submit(d.addr, newMessage("early", "status", 1)); status != 503 {
		t.Errorf("a message before any list: %d", status)
	}
	if status, _ := d.roundTrip("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n", time.Second); status != 503 {
		t.Errorf("ready: %d", status)
	}
	d.addEndpoint("a", 1, "single", succeed)
	since := len(d.bed.Events())
	d.agent.SetMuted(false)
	d.awaitList(since, 5*time.Second)
	for i := 0; ; i++ {
		name := fmt.Sprint("later", i)
		if status := d.bed.Submit(d.addr, newMessage(name, "status", 1)); status == 202 {
			d.awaitEnds([]string{name})
			break
		} else if status != 503 || i > 200 {
			t.Fatalf("a message after the list arrived: %d", status)
		}
	}
}

// The class is the first segment of the path. What follows it has no meaning here.
func TestPathsOfAClass(t *testing.T) {
	for path, want := range map[string]bool{"/status": true, "/status/": true, "/status/a/b": true, "/status?x=1": true, "/statuses": false,
		"/": false, "status": false, "/x/status": false, "//status": false} {
		if isClassPath(path, "status") != want {
			t.Errorf("%q: %v", path, !want)
		}
	}
}

// An endpoint that asks for a wait gets no call before the wait is over.
func TestRetryAfter(t *testing.T) {
	d := newTestDispatcher(t)
	d.addEndpoint("a", 1, "single", replyFirst(1, testbed.Reply{Status: 429, RetryAfter: 700 * time.Millisecond}))
	d.startReady()
	d.awaitEnds(d.submitAll("x", 5, 1, "status", "upload"))
	d.checkRules()
}

// Errors of the configuration name the key and fit on one line.
func TestConfigurationFaults(t *testing.T) {
	good := fmt.Sprintf(`{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964","extra":{"a":[1]},
 "limits":{"cores":1,"memory_mb":64,"sockets":256,"disk_mb":1},"known":{"seq":1,"whole":true,"hosts":[]},"settings":%s}`, testbed.Settings)
	env := func(k string) string { return map[string]string{"EDGE_STATE": "/x"}[k] }
	if c, err := parseConfig([]byte(good), env); err != nil || c.Settings.Slots != 10 || c.Listen != netip.MustParseAddrPort("127.0.0.1:0") {
		t.Fatalf("%+v, %v", c, err)
	}
	for _, c := range []struct{ from, to, key string }{
		{`"127.0.0.1:0"`, `"nowhere"`, "listen"}, {`"127.0.0.1:1"`, `""`, "discovery"}, {`8c1f30d27a5be964`, `xyz`, "seed"},
		{`"memory_mb":64`, `"memory_mb":1`, "limits.memory_mb"}, {`"sockets":256`, `"sockets":3`, "limits.sockets"},
		{`"disk_mb":1`, `"disk_mb":0`, "limits.disk_mb"}, {`"sockets":256`, `"sockets":"many"`, "limits.sockets"},
		{`"slots":10`, `"slots":-1`, "extra.slots"}, {`"tick":5000`, `"tick":"x"`, "tick"}, {`"name":"n"`, `"name":`, ""},
	} {
		text := strings.Replace(good, c.from, c.to, 1)
		if _, err := parseConfig([]byte(text), env); err == nil || !strings.Contains(err.Error(), c.key) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s for %s: %v", c.to, c.from, err)
		}
	}
}

func FuzzConfiguration(f *testing.F) {
	f.Add([]byte(`{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","limits":{"memory_mb":64,"sockets":256,"disk_mb":1},"settings":{}}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		c, err := parseConfig(b, func(string) string { return "" })
		if (c == nil || c.Settings.Slots < 0) && err == nil {
			t.Fatal("neither a configuration nor an error")
		}
	})
}

func FuzzBulkAnswer(f *testing.F) {
	f.Add([]byte("a done\r\nb failed\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		ends, ok := parseBulkEnds(b)
		if ok && len(ends) > len(b) {
			t.Fatalf("%v", ends)
		}
	})
}

func FuzzWatch(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n\r\n\r\n"), 10)
	f.Add([]byte("HTTP/1.1 200 OK\r\n\r\n{\"seq\":1,\"hosts\":[{\"host\":\"a\"}]}\n"), 10)
	f.Fuzz(func(t *testing.T, b []byte, cut int) {
		d := NewDirectory(nil, nil)
		r := &listReader{onList: func(l EndpointList) { d.Apply(l, time.Second) }, onHeartbeat: func() {}}
		if cut = max(0, min(cut, len(b))); r.read(b[:cut]) == nil {
			_ = r.read(b[cut:])
		}
	})
}

// A whole list replaces an older one: endpoints that it does not name have left, and they are forgotten after
// goneRetention.
func TestKnownListIsOld(t *testing.T) {
	var l EndpointList
	if err := json.Unmarshal([]byte(`{"seq":3,"whole":true,"hosts":[{"host":"a","dial":"127.0.0.1:1","site":"west","class":"single","block":4,"health":"ready"}]}`), &l); err != nil {
		t.Fatal(err)
	}
	d := NewDirectory([]string{"east", "west"}, nil)
	entries, faults := d.Apply(l, time.Second)
	if len(faults) != 0 || len(entries) != 1 || entries[0].Zone != 1 || entries[0].Dest != 4 || !d.KnowsDestination(4) || d.KnowsDestination(5) {
		t.Fatalf("%+v, %v", entries, faults)
	}
	entries, _ = d.Apply(EndpointList{Seq: 4, Whole: true}, 2*time.Second)
	if len(entries) != 1 || entries[0].Health != 2 {
		t.Errorf("an endpoint that a whole list leaves out: %+v", entries)
	}
	d.Apply(EndpointList{Seq: 5, Whole: true}, 2*time.Second+2*goneRetention)
	if d.KnowsDestination(4) || len(d.hosts) != 0 || len(d.byEndpoint) != 0 {
		t.Error("endpoints that left the list are not forgotten")
	}
}
