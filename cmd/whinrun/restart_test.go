package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"whinrun/internal/testbed"
)

// keyWindow is how long partners drop repeats of a keyed message, where a test shortens the settings' own window.
const keyWindow = 2 * time.Second

// shortenWindow has the next process started with a window of keyWindow.
func (n *node) shortenWindow() {
	n.t.Helper()
	n.adapt = func(text []byte) []byte {
		return bytes.ReplaceAll(text, []byte(`"window":4000000`), []byte(`"window":2000000`))
	}
}

// kill ends the process as SIGKILL does.
func (n *node) kill(s *testbed.Testbed) {
	_ = n.cmd.Process.Signal(syscall.SIGKILL)
	_ = n.cmd.Wait()
	s.Record(testbed.Event{Kind: testbed.Restarted})
}

// calls returns when the calls of a message began.
func calls(events []testbed.Event, name string) (at []time.Time) {
	for _, e := range events {
		if e.Kind == testbed.CallReceived && e.Name == name {
			at = append(at, e.At)
		}
	}
	return at
}

// A call is out when a first process is killed. What a second process learns of its own calls, each turned away unrun, says
// nothing of that one: a third process must not repeat the message once partners have forgotten its key.
func TestSecondRestartRemembersFirstCall(t *testing.T) {
	s := testbed.New()
	n := newNode(t, s)
	n.shortenWindow()
	var reply atomic.Pointer[testbed.Reply]
	reply.Store(&testbed.Reply{Hang: true})
	e, err := s.Endpoint("a", 1, "", func(testbed.Call) testbed.Reply { return *reply.Load() })
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	n.agent.Publish(testbed.EndpointEntry{Host: "a", Dial: e.Addr, Class: "single", Block: 1, Health: "ready"})
	n.start()
	m := testbed.Message{Name: "m", Class: "sync", Tenant: "acme", Dest: 1, IdempotencyKey: "key-m", Remaining: 4 * time.Second}
	if status := s.Submit(n.addr, m); status != 202 {
		t.Fatalf("answer %d", status)
	}
	if !s.Await(5*time.Second, func(ev []testbed.Event) bool { return testbed.Count(ev, testbed.CallReceived, "m") == 1 }) {
		t.Fatal("no call by the first process")
	}
	n.kill(s)
	reply.Store(&testbed.Reply{Status: 429, RetryAfter: keyWindow / 4}) // the second process makes one call before it is killed
	n.start()
	if !s.Await(5*time.Second, func(ev []testbed.Event) bool { return testbed.Count(ev, testbed.CallAnswered, "m") == 1 }) {
		t.Fatal("no call by the second process")
	}
	n.kill(s)
	reply.Store(&testbed.Reply{Status: 200})
	time.Sleep(time.Until(calls(s.Events(), "m")[0].Add(keyWindow))) // the window is a span of real time
	n.start()
	if !s.Await(8*time.Second, func(ev []testbed.Event) bool { return testbed.AllEnded(ev, []string{"m"}) }) {
		t.Error("no end")
	}
	for _, f := range testbed.Check(s.Events(), nodeRules(), time.Now()) {
		t.Error(f)
	}
	if t.Failed() {
		t.Logf("log: %s", n.out.String())
	}
}

// nodeRules are the figures of testbed.Settings with windows shortened to keyWindow, for processes that share a machine with others.
func nodeRules() testbed.Rules {
	return testbed.Rules{EndSlack: 2 * time.Second, DrainGrace: time.Second, AtMostOnce: []string{"upload"}, ColdBudget: 1 << 20,
		DedupWindows: map[string]time.Duration{"sync": keyWindow, "turns": keyWindow}, WaitGrace: 150 * time.Millisecond, ObservationLag: 100 * time.Millisecond}
}

// write puts a configuration in place.
func (n *node) write(text []byte) {
	n.t.Helper()
	if n.adapt != nil {
		text = n.adapt(text)
	}
	if err := os.WriteFile(n.file, text, 0o600); err != nil {
		n.t.Fatal(err)
	}
}

// A folder that can't be used ends the start with one line and exit 1; one that another process still has is waited for.
func TestNodeStateFolder(t *testing.T) {
	s := testbed.New()
	n := newNode(t, s)
	n.agent.Publish(testbed.EndpointEntry{Host: "a", Dial: "127.0.0.1:1", Class: "single", Block: 1, Health: "ready"})
	folder := n.state
	n.state = filepath.Join(n.file, "state") // below a file
	n.configure()
	cmd := n.command()
	out, err := cmd.CombinedOutput()
	if cmd.ProcessState.ExitCode() != 1 || strings.Count(string(out), "\n") != 1 || !strings.Contains(string(out), n.file) {
		t.Errorf("%v, %q", err, out)
	}
	n.state = folder
	n.start()
	first := n.cmd
	second := n.command()
	var log bytes.Buffer
	second.Stdout = &log
	if err := second.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = second.Process.Kill() }()
	time.Sleep(300 * time.Millisecond) // it finds the folder taken
	_ = first.Process.Kill()
	_ = first.Wait()
	n.awaitListening()
	_ = second.Process.Signal(syscall.SIGTERM)
	if err := second.Wait(); err != nil || !strings.Contains(log.String(), "in use by another process") {
		t.Errorf("%v, log %s", err, log.String())
	}
}
