package platform

import (
	"bytes"
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

// day is one dispatcher on a test bed.
type day struct {
	t     *testing.T
	s     *testbed.Testbed
	agent *testbed.Agent
	dir   string
	env   map[string]string
	addr  string
	node  *Node
	disk  *disk.Memory                // in place of the folder, nil for the folder
	calls *eventlooptest.FaultySystem // in place of the kernel, nil for the kernel
	old   []byte                      // the configuration, where it is not to be written anew
	log   bytes.Buffer
	logMu sync.Mutex
}

func (d *day) Write(b []byte) (int, error) {
	d.logMu.Lock()
	defer d.logMu.Unlock()
	return d.log.Write(b)
}

func newDay(t *testing.T) *day {
	t.Helper()
	d := &day{t: t, s: testbed.New(), dir: t.TempDir()}
	var err error
	if d.agent, err = d.s.Agent(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.agent.Close)
	if d.addr, err = testbed.FreeAddr(); err != nil {
		t.Fatal(err)
	}
	d.env = map[string]string{"EDGE_CONFIG": filepath.Join(d.dir, "config.json"), "EDGE_STATE": filepath.Join(d.dir, "state")}
	return d
}

// configure writes the configuration with the list as it is now.
func (d *day) configure() {
	d.t.Helper()
	text := d.old
	if text == nil {
		text = testbed.Configuration(d.addr, d.agent)
	}
	if err := os.WriteFile(d.env["EDGE_CONFIG"], text, 0o600); err != nil {
		d.t.Fatal(err)
	}
}

// start starts the dispatcher, which must be ready.
func (d *day) start() {
	d.t.Helper()
	d.launch()
	if status, _ := d.talk("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n", time.Second); status != 200 {
		d.t.Fatalf("ready: %d", status)
	}
}

// launch starts the dispatcher.
func (d *day) launch() {
	d.t.Helper()
	d.configure()
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
		d.node, err = startOn(d.disk, d.system(), cfg, log)
	case d.calls != nil:
		var folder disk.FS
		if folder, err = openFolder(cfg.StateDir); err == nil {
			d.node, err = startOn(folder, d.system(), cfg, log)
		}
	default:
		d.node, err = Start(cfg, log)
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

// system is what the dispatcher makes its calls by.
func (d *day) system() eventloop.System {
	if d.calls == nil {
		return nil
	}
	return d.calls
}

// kill ends it as a crash does.
func (d *day) kill() {
	d.node.Kill()
	d.node = nil
	d.s.Record(testbed.Event{Kind: testbed.Restarted})
}

// endpoint adds an endpoint and lists it.
func (d *day) endpoint(host string, dest int, class string, act func(testbed.Call) testbed.Reply) *testbed.Endpoint {
	d.t.Helper()
	e, err := d.s.Endpoint(host, dest, "", act)
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(e.Close)
	d.list(e, class, "ready")
	return e
}

func (d *day) list(e *testbed.Endpoint, class, health string) {
	d.agent.Publish(testbed.EndpointEntry{Host: e.Host, Dial: e.Addr, Site: "east", Class: class, Block: e.Dest, Health: health, Share: 1})
}

// talk writes bytes on a connection of its own and returns the status of the first answer, 0 where the connection was
// closed without one, -1 where neither came in time.
func (d *day) talk(text string, within time.Duration) (status int, took time.Duration) {
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

func msg(name, class string, dest int) testbed.Message {
	m := testbed.Message{Name: name, Class: class, Tenant: "acme", Dest: dest, Remaining: 3 * time.Second, Body: "body of " + name}
	if class == "sync" || class == "turns" {
		m.IdempotencyKey = "key-" + name
	}
	return m
}

// hand hands in n messages of each class and returns their names.
func (d *day) hand(prefix string, n, dest int, classes ...string) (names []string) {
	for i := range n {
		for _, c := range classes {
			name := fmt.Sprintf("%s-%s-%d", prefix, c, i)
			if d.s.Submit(d.addr, msg(name, c, dest)) == 202 {
				names = append(names, name)
			}
		}
	}
	return names
}

// over waits until all have their end.
func (d *day) over(names []string) {
	d.t.Helper()
	if !d.s.Await(10*time.Second, func(ev []testbed.Event) bool { return testbed.AllEnded(ev, names) }) {
		d.t.Fatalf("messages without an end; log: %s", d.text())
	}
}

func (d *day) text() string {
	d.logMu.Lock()
	defer d.logMu.Unlock()
	return d.log.String()
}

// check has the six rules checked from what passed on the sockets.
func (d *day) check() {
	d.t.Helper()
	faults := testbed.Check(d.s.Events(), testbed.Rules{EndSlack: 350 * time.Millisecond, DrainGrace: 1050 * time.Millisecond, AtMostOnce: []string{"upload"},
		Ordered: []string{"turns"}, DedupWindows: map[string]time.Duration{"sync": 4 * time.Second, "turns": 4 * time.Second}, ColdBudget: 1 << 20, WaitGrace: 150 * time.Millisecond, ObservationLag: 100 * time.Millisecond}, time.Now())
	for _, f := range faults {
		d.t.Error(f)
	}
	if strings.Contains(d.text(), `"level":"error"`) {
		d.t.Errorf("log: %s", d.text())
	}
}

func ok(testbed.Call) testbed.Reply { return testbed.Reply{Status: 200, Delay: 5 * time.Millisecond} }

func always(r testbed.Reply) func(testbed.Call) testbed.Reply {
	return func(testbed.Call) testbed.Reply { return r }
}

// first plays r for the first n calls, and is well from then on.
func first(n int, r testbed.Reply) func(testbed.Call) testbed.Reply {
	var mu sync.Mutex
	return func(c testbed.Call) testbed.Reply {
		mu.Lock()
		defer mu.Unlock()
		if n--; n >= 0 {
			return r
		}
		return ok(c)
	}
}

func (d *day) count(k testbed.Kind, name string) int { return testbed.Count(d.s.Events(), k, name) }

func TestAllMessagesDelivered(t *testing.T) {
	d := newDay(t)
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
		return ok(c)
	}
	d.endpoint("a", 1, "bulk", see)
	d.endpoint("b", 2, "single", see)
	d.start()
	names := slices.Concat(d.hand("x", 20, 1, "status", "sync", "upload", "turns"), d.hand("y", 20, 2, "status", "sync", "upload"))
	if len(names) != 140 {
		t.Errorf("%d taken of 140", len(names))
	}
	d.over(names)
	d.check()
	mu.Lock()
	defer mu.Unlock()
	if bodies["y-sync-3"] != "body of y-sync-3" || keys["y-sync-3"] != "key-y-sync-3" || keys["y-upload-3"] != "" {
		t.Errorf("body %q, key %q, key %q", bodies["y-sync-3"], keys["y-sync-3"], keys["y-upload-3"])
	}
	for _, e := range d.s.Events() {
		if e.Kind == testbed.NoticeReceived || e.Kind == testbed.Refused || e.Kind == testbed.CallBroken || e.Kind == testbed.CallAnswered && e.Status != 200 {
			t.Errorf("on a calm day: %+v", e)
		}
	}
}

// Messages that wait for the same endpoint leave as one call, and each gets its own end from the answer.
func TestBulkCall(t *testing.T) {
	d := newDay(t)
	var mu sync.Mutex
	most := 0
	e := d.endpoint("a", 1, "bulk", always(testbed.Reply{Status: 429, RetryAfter: 300 * time.Millisecond}))
	d.start()
	names := d.hand("x", 4, 1, "status", "upload")
	e.SetHandler(func(c testbed.Call) testbed.Reply {
		mu.Lock()
		defer mu.Unlock()
		most = max(most, len(c.MessageNames))
		body := ""
		for i, n := range c.MessageNames {
			body += n + " " + []string{"done", "failed", "busy"}[i%3] + "\r\n"
		}
		if len(c.MessageNames) == 1 {
			return ok(c)
		}
		return testbed.Reply{Status: 200, Body: body}
	})
	d.over(names)
	mu.Lock()
	defer mu.Unlock()
	if most < 2 || most > 5 {
		t.Errorf("at most %d messages in a call", most)
	}
	for _, n := range names {
		if calls := d.count(testbed.CallReceived, n); strings.Contains(n, "upload") && calls > 4 {
			t.Errorf("%s: %d calls", n, calls)
		}
	}
}

// An upload whose answer is lost is not sent again: it has its end at once, long before its time is up.
func TestAnswerLost(t *testing.T) {
	d := newDay(t)
	d.endpoint("a", 1, "single", first(3, testbed.Reply{Drop: true, Delay: 5 * time.Millisecond}))
	d.start()
	start := time.Now()
	names := d.hand("x", 3, 1, "upload")
	d.over(names)
	if took := time.Since(start); took > 2*time.Second {
		t.Errorf("the ends took %v", took)
	}
	if n := d.count(testbed.NoticeReceived, ""); n == 0 {
		t.Error("no notice")
	}
	more := d.hand("y", 3, 1, "status", "sync")
	d.over(more)
	d.check()
}

// What a killed process owed is owed by the next: what may not run twice ends with a notice, the rest is delivered.
func TestKillAndRestart(t *testing.T) {
	d := newDay(t)
	e := d.endpoint("a", 1, "single", always(testbed.Reply{Hang: true}))
	d.start()
	names := d.hand("x", 3, 1, "status", "sync", "upload")
	d.s.Await(time.Second, func(ev []testbed.Event) bool { return testbed.Count(ev, testbed.CallReceived, "") >= 3 })
	out := map[string]bool{}
	for _, ev := range d.s.Events() {
		if ev.Kind == testbed.CallReceived {
			out[ev.Name] = true
		}
	}
	d.kill()
	e.SetHandler(ok)
	d.start()
	d.over(names)
	d.check()
	for _, n := range names {
		if strings.Contains(n, "upload") && out[n] && (d.count(testbed.CallReceived, n) != 1 || d.count(testbed.NoticeReceived, n) != 1) {
			t.Errorf("%s: %d calls, %d notices", n, d.count(testbed.CallReceived, n), d.count(testbed.NoticeReceived, n))
		}
	}
	if len(out) == 0 {
		t.Error("nothing was out at the kill")
	}
}

// Kills again and again under load: nothing lost, no upload sent twice.
func TestKillsUnderLoad(t *testing.T) {
	d := newDay(t)
	d.endpoint("a", 1, "bulk", func(c testbed.Call) testbed.Reply {
		return testbed.Reply{Status: []int{200, 200, 200, 500, 503}[c.Number%5], Delay: time.Duration(c.Number%7) * 3 * time.Millisecond}
	})
	d.endpoint("b", 2, "single", func(c testbed.Call) testbed.Reply {
		return testbed.Reply{Status: 200, Drop: c.Number%6 == 0, Delay: time.Duration(c.Number%5) * 4 * time.Millisecond}
	})
	var names []string
	for round := range 6 {
		d.start()
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
					if d.s.Submit(d.addr, msg(n, c, 1+i%2)) == 202 {
						mu.Lock()
						names = append(names, n)
						mu.Unlock()
					}
				}
			})
		}
		had := len(d.s.Events())
		d.s.Await(3*time.Second, func(ev []testbed.Event) bool { return len(ev) > had+200+50*round })
		d.kill()
		close(stop)
		all.Wait()
	}
	d.start()
	d.over(names)
	d.check()
	if len(names) < 100 {
		t.Errorf("only %d taken", len(names))
	}
}

// SIGTERM: new requests are refused, what is out is awaited, the rest is kept for the next process.
func TestStopKeepsWhatIsHeld(t *testing.T) {
	d := newDay(t)
	e := d.endpoint("a", 1, "single", always(testbed.Reply{Status: 200, Delay: 400 * time.Millisecond}))
	d.endpoint("b", 2, "single", always(testbed.Reply{Status: 429, RetryAfter: 10 * time.Second}))
	d.start()
	names := d.hand("x", 2, 1, "upload")
	m := msg("held", "sync", 2)
	m.Remaining = 5 * time.Second
	if d.s.Submit(d.addr, m) == 202 {
		names = append(names, "held")
	}
	done := make(chan struct{})
	start := time.Now()
	go func() {
		d.node.Stop()
		close(done)
	}()
	for !d.node.desk.closing.Load() {
		time.Sleep(time.Millisecond)
	}
	if status := d.s.Submit(d.addr, msg("late", "status", 1)); status != 503 && status != 429 && status != 0 {
		t.Errorf("a new request while stopping: %d", status)
	}
	<-done
	if took := time.Since(start); took > 3600*time.Millisecond {
		t.Errorf("the stop took %v", took)
	}
	d.node = nil
	d.s.Record(testbed.Event{Kind: testbed.Restarted})
	e.SetHandler(ok)
	d.start()
	d.over(names)
	d.check()
}

// Requests that are read while the dispatcher ends are answered: no connection ends under one.
func TestStopAnswersWhatIsRead(t *testing.T) {
	d := newDay(t)
	d.endpoint("a", 1, "single", ok)
	d.start()
	done := make(chan struct{})
	go func() {
		d.node.Stop()
		close(done)
	}()
	var names []string
	cut := 0
	for i := 0; ; i++ {
		c, err := net.DialTimeout("tcp", d.addr, time.Second)
		if err != nil {
			break // it listens no more
		}
		n := fmt.Sprint("m", i)
		_ = c.SetDeadline(time.Now().Add(time.Second))
		if _, err = c.Write(testbed.EncodeRequest(msg(n, "status", 1))); err == nil {
			b := make([]byte, 200)
			if k, err := c.Read(b); err != nil {
				cut++ // it was not read: at most the last one, in the moment of the end
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
		t.Errorf("%d connections ended under a request", cut)
	}
	d.start()
	d.over(names)
}

// SIGHUP: discovery and notices move, a broken file leaves all as it was.
func TestReload(t *testing.T) {
	d := newDay(t)
	e := d.endpoint("a", 1, "single", ok)
	d.start()
	d.over(d.hand("x", 2, 1, "status"))
	old := d.agent
	if err := os.WriteFile(d.env["EDGE_CONFIG"], []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Load(func(k string) string { return d.env[k] }); err == nil {
		t.Error("a broken file is read")
	}
	var err error
	if d.agent, err = d.s.Agent(); err != nil {
		t.Fatal(err)
	}
	defer d.agent.Close()
	d.list(e, "single", "ready")
	d.configure()
	cfg, err := Load(func(k string) string { return d.env[k] })
	if err != nil {
		t.Fatal(err)
	}
	d.node.Reload(cfg)
	old.Close()
	d.endpoint("b", 2, "single", always(testbed.Reply{Status: 500}))
	for d.s.Submit(d.addr, msg("known?", "upload", 2)) == 404 { // until the new discovery has told of it
		time.Sleep(5 * time.Millisecond)
	}
	names := d.hand("y", 2, 2, "upload")
	d.over(append(names, "known?"))
	d.check()
	if n := d.count(testbed.NoticeReceived, ""); n != 3 {
		t.Errorf("%d notices at the new address, want 3", n)
	}
}

// Notices are repeated until they are acknowledged, over a restart, too.
func TestNoticesUntilAcknowledged(t *testing.T) {
	d := newDay(t)
	d.agent.FailNotices(500)
	d.endpoint("a", 1, "single", always(testbed.Reply{Status: 500}))
	d.start()
	names := d.hand("x", 3, 1, "upload")
	d.s.Await(2*time.Second, func(ev []testbed.Event) bool { return testbed.Count(ev, testbed.CallAnswered, "") >= 3 })
	for d.node.Stats().Failed < 3 {
		time.Sleep(time.Millisecond)
	}
	d.kill()
	d.agent.FailNotices(0)
	d.start()
	d.over(names)
	d.check()
}

// A drain binds at once, and what was not written to the endpoint goes elsewhere without blame.
func TestDrain(t *testing.T) {
	d := newDay(t)
	a := d.endpoint("a", 1, "single", ok)
	d.endpoint("b", 1, "single", ok)
	d.start()
	d.over(d.hand("x", 5, 1, "status"))
	d.list(a, "single", "draining")
	d.over(d.hand("y", 20, 1, "status", "upload"))
	d.list(a, "single", "gone")
	d.over(d.hand("z", 20, 1, "status"))
	d.check()
}

// A new endpoint at the address of one that has gone is another one: it gets no old connection.
func TestAddressReused(t *testing.T) {
	d := newDay(t)
	a := d.endpoint("a", 1, "single", ok)
	d.start()
	d.over(d.hand("x", 5, 1, "status"))
	had := a.AcceptedConns()
	d.list(a, "single", "gone")
	b := &testbed.Endpoint{Host: "b", Dest: 1, Addr: a.Addr}
	d.list(b, "single", "ready")
	d.s.Await(time.Second, func([]testbed.Event) bool { return false }) // both changes are told
	d.over(d.hand("y", 3, 1, "status"))
	if a.AcceptedConns() == had {
		t.Error("no connection was opened for the new endpoint")
	}
	d.check()
}

// Spoilt answers: a single call whose first line says 200 is delivered, all else may have run, and no connection that
// had one is used again.
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
			d := newDay(t)
			e := d.endpoint("a", 1, "single", first(1, c.reply))
			d.start()
			names := d.hand("x", 1, 1, "upload")
			d.over(names)
			if got := d.count(testbed.NoticeReceived, names[0]) == 0; got != c.delivered {
				t.Errorf("delivered %v, want %v; log %s", got, c.delivered, d.text())
			}
			d.over(d.hand("y", 2, 1, "status"))
			if !strings.HasPrefix(name, "interim") && name != "bad report" && e.AcceptedConns() < 2 {
				t.Error("the spoilt connection was used again")
			}
			d.check()
		})
	}
}

// Bad clients get an error or a close within 3 s of connecting, nothing of them reaches an endpoint, and the usual
// clients are served meanwhile.
func TestBadClients(t *testing.T) {
	d := newDay(t)
	d.endpoint("a", 1, "single", ok)
	d.start()
	good := string(testbed.EncodeRequest(msg("m", "status", 1)))
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
			if status, took := d.talk(text, 3*time.Second); status < 0 || status > 0 && status < 400 {
				t.Errorf("status %d after %v", status, took)
			}
		})
	}
	t.Run("usual", func(t *testing.T) {
		t.Parallel()
		if names := d.hand("u", 50, 1, "status"); len(names) != 50 {
			t.Errorf("%d of 50 taken", len(names))
		} else {
			d.over(names)
		}
	})
	t.Cleanup(func() {
		for _, e := range d.s.Events() {
			if e.Kind == testbed.CallReceived && !strings.HasPrefix(e.Name, "u-") {
				t.Errorf("%q reached an endpoint", e.Name)
			}
		}
	})
}

// Hundreds of mute connections: the usual clients come in all the same.
func TestMuteFlood(t *testing.T) {
	d := newDay(t)
	d.endpoint("a", 1, "single", ok)
	d.start()
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
		for range 5 { // a connection that was closed with nothing sent on for it may be tried again
			if d.s.Submit(d.addr, msg(n, "status", 1)) == 202 {
				names = append(names, n)
				break
			}
		}
	}
	if len(names) != 20 {
		t.Errorf("%d of 20 taken beside a flood", len(names))
	}
	d.over(names)
	for i, c := range conns {
		_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
		if _, err := c.Read(make([]byte, 1)); err == nil || strings.Contains(err.Error(), "timeout") {
			t.Fatalf("mute connection %d: %v", i, err)
		}
	}
	d.check()
}

// The id of a message that is owed its end is not taken twice.
func TestIDTakenTwice(t *testing.T) {
	d := newDay(t)
	d.endpoint("a", 1, "single", always(testbed.Reply{Status: 200, Delay: 500 * time.Millisecond}))
	d.start()
	names := d.hand("x", 1, 1, "upload")
	if status, _ := d.talk(string(testbed.EncodeRequest(msg(names[0], "upload", 1))), time.Second); status != 409 {
		t.Errorf("the id of an open message: %d", status)
	}
	d.over(names)
	if n := d.count(testbed.CallReceived, names[0]); n != 1 {
		t.Errorf("%d calls", n)
	}
	d.check()
}

// A silent endpoint is given up where another can take the message, and all have their ends.
func TestSilentEndpoint(t *testing.T) {
	d := newDay(t)
	d.endpoint("a", 1, "single", always(testbed.Reply{Hang: true}))
	d.endpoint("b", 1, "single", ok)
	d.start()
	names := d.hand("x", 10, 1, "status", "sync")
	d.over(names)
	d.check()
}

// A start while discovery is down: the known list serves.
func TestStartWithoutDiscovery(t *testing.T) {
	d := newDay(t)
	d.endpoint("a", 1, "single", ok)
	d.agent.Close()
	d.start()
	d.over(d.hand("x", 5, 1, "status", "upload"))
	d.check()
}

// Before any list is known a message is refused, not failed: nobody can tell yet that its destination is none.
func TestStartWithoutAnyList(t *testing.T) {
	d := newDay(t)
	d.old = testbed.Configuration(d.addr, d.agent)
	d.agent.SetMuted(true)
	d.launch()
	if status := d.s.Submit(d.addr, msg("early", "status", 1)); status != 503 {
		t.Errorf("a message before any list: %d", status)
	}
	if status, _ := d.talk("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n", time.Second); status != 503 {
		t.Errorf("ready: %d", status)
	}
	d.endpoint("a", 1, "single", ok)
	since := len(d.s.Events())
	d.agent.SetMuted(false)
	d.told(since, 5*time.Second)
	for i := 0; ; i++ {
		name := fmt.Sprint("later", i)
		if status := d.s.Submit(d.addr, msg(name, "status", 1)); status == 202 {
			d.over([]string{name})
			break
		} else if status != 503 || i > 200 {
			t.Fatalf("a message when the list is there: %d", status)
		}
	}
}

// The class is the first part of the path; what follows it means nothing here.
func TestPathsOfAClass(t *testing.T) {
	for path, want := range map[string]bool{"/status": true, "/status/": true, "/status/a/b": true, "/status?x=1": true, "/statuses": false,
		"/": false, "status": false, "/x/status": false, "//status": false} {
		if beginsWith(path, "status") != want {
			t.Errorf("%q: %v", path, !want)
		}
	}
}

func TestRetryAfter(t *testing.T) {
	d := newDay(t)
	d.endpoint("a", 1, "single", first(1, testbed.Reply{Status: 429, RetryAfter: 700 * time.Millisecond}))
	d.start()
	d.over(d.hand("x", 5, 1, "status", "upload"))
	d.check()
}

func TestConfigurationFaults(t *testing.T) {
	good := fmt.Sprintf(`{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964","extra":{"a":[1]},
 "limits":{"cores":1,"memory_mb":64,"sockets":256,"disk_mb":1},"known":{"seq":1,"whole":true,"hosts":[]},"settings":%s}`, testbed.Settings)
	env := func(k string) string { return map[string]string{"EDGE_STATE": "/x"}[k] }
	if c, err := parse([]byte(good), env); err != nil || c.Settings.Slots != 10 || c.Listen != netip.MustParseAddrPort("127.0.0.1:0") {
		t.Fatalf("%+v, %v", c, err)
	}
	for _, c := range []struct{ from, to, key string }{
		{`"127.0.0.1:0"`, `"nowhere"`, "listen"}, {`"127.0.0.1:1"`, `""`, "discovery"}, {`8c1f30d27a5be964`, `xyz`, "seed"},
		{`"memory_mb":64`, `"memory_mb":1`, "limits.memory_mb"}, {`"sockets":256`, `"sockets":3`, "limits.sockets"},
		{`"disk_mb":1`, `"disk_mb":0`, "limits.disk_mb"}, {`"sockets":256`, `"sockets":"many"`, "limits.sockets"},
		{`"slots":10`, `"slots":-1`, "extra.slots"}, {`"tick":5000`, `"tick":"x"`, "tick"}, {`"name":"n"`, `"name":`, ""},
	} {
		text := strings.Replace(good, c.from, c.to, 1)
		if _, err := parse([]byte(text), env); err == nil || !strings.Contains(err.Error(), c.key) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s for %s: %v", c.to, c.from, err)
		}
	}
}

func FuzzConfiguration(f *testing.F) {
	f.Add([]byte(`{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","limits":{"memory_mb":64,"sockets":256,"disk_mb":1},"settings":{}}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		c, err := parse(b, func(string) string { return "" })
		if (c == nil || c.Settings.Slots < 0) && err == nil {
			t.Fatal("neither a configuration nor an error")
		}
	})
}

func FuzzBulkAnswer(f *testing.F) {
	f.Add([]byte("a done\r\nb failed\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		ends, ok := bulkEnds(b)
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
		r := &listReader{told: func(l EndpointList) { d.Apply(l, time.Second) }, beat: func() {}}
		if cut = max(0, min(cut, len(b))); r.read(b[:cut]) == nil {
			_ = r.read(b[cut:])
		}
	})
}

// Both forms of one object give equal settings.
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
	d.Apply(EndpointList{Seq: 5, Whole: true}, 2*time.Second+2*forgetAfter)
	if d.KnowsDestination(4) || len(d.hosts) != 0 || len(d.byID) != 0 {
		t.Error("what is gone for long is kept")
	}
}
