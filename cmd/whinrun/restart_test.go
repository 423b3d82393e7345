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

// dedupWindow is how long partners drop repeats of a keyed message, where a test shortens the settings' own window.
const dedupWindow = 2 * time.Second

// shortenDedupWindow has the next process started with a window of keyWindow.
func (n *nodeProcess) shortenDedupWindow() {
	n.t.Helper()
	n.transform = func(text []byte) []byte {
		return bytes.ReplaceAll(text, []byte(`"window":4000000`), []byte(`"window":2000000`))
	}
}

// kill ends the process as SIGKILL does.
func (n *nodeProcess) kill(bed *testbed.Testbed) {
	_ = n.cmd.Process.Signal(syscall.SIGKILL)
	_ = n.cmd.Wait()
	bed.Note(testbed.Event{Kind: testbed.Restarted})
}

// callTimes returns when the calls of a message began.
func callTimes(events []testbed.Event, name string) (at []time.Time) {
	for _, e := range events {
		if e.Kind == testbed.Called && e.Name == name {
			at = append(at, e.At)
		}
	}
	return at
}

// A call is out when a first process is killed. What a second process learns of its own calls, each turned away unrun, says
// nothing of that one: a third process must not repeat the message once partners have forgotten its key.
func TestSecondRestartRemembersFirstCall(t *testing.T) {
	bed := testbed.New()
	node := newNodeProcess(t, bed)
	node.shortenDedupWindow()
	var reply atomic.Pointer[testbed.Reply]
	reply.Store(&testbed.Reply{Hang: true})
	endpoint, err := bed.Endpoint("a", 1, "", func(testbed.Call) testbed.Reply { return *reply.Load() })
	if err != nil {
		t.Fatal(err)
	}
	defer endpoint.Close()
	node.agent.Set(testbed.Host{Host: "a", Dial: endpoint.Addr, Class: "single", Block: 1, Health: "ready"})
	node.start()
	message := testbed.Message{Name: "m", Class: "sync", Tenant: "acme", Dest: 1, Key: "key-m", Left: 4 * time.Second}
	if status := bed.Hand(node.addr, message); status != 202 {
		t.Fatalf("answer %d", status)
	}
	if !bed.Await(5*time.Second, func(ev []testbed.Event) bool { return testbed.Count(ev, testbed.Called, "m") == 1 }) {
		t.Fatal("no call by the first process")
	}
	node.kill(bed)
	reply.Store(&testbed.Reply{Status: 429, Wait: dedupWindow / 4}) // the second process makes one call before it is killed
	node.start()
	if !bed.Await(5*time.Second, func(ev []testbed.Event) bool { return testbed.Count(ev, testbed.Answered, "m") == 1 }) {
		t.Fatal("no call by the second process")
	}
	node.kill(bed)
	reply.Store(&testbed.Reply{Status: 200})
	time.Sleep(time.Until(callTimes(bed.Events(), "m")[0].Add(dedupWindow))) // the window is a span of real time
	node.start()
	if !bed.Await(8*time.Second, func(ev []testbed.Event) bool { return testbed.AllEnded(ev, []string{"m"}) }) {
		t.Error("no end")
	}
	for _, f := range testbed.Check(bed.Events(), nodeRules(), time.Now()) {
		t.Error(f)
	}
	if t.Failed() {
		t.Logf("log: %s", node.output.String())
	}
}

// nodeRules are the figures of testbed.Settings with windows shortened to keyWindow, for processes that share a machine with others.
func nodeRules() testbed.Rules {
	return testbed.Rules{Slack: 2 * time.Second, Grace: time.Second, Once: []string{"upload"}, ColdBudget: 1 << 20,
		Windows: map[string]time.Duration{"sync": dedupWindow, "turns": dedupWindow}, WaitExcused: 150 * time.Millisecond, Lag: 100 * time.Millisecond}
}

// writeConfig puts a configuration in place.
func (n *nodeProcess) writeConfig(text []byte) {
	n.t.Helper()
	if n.transform != nil {
		text = n.transform(text)
	}
	if err := os.WriteFile(n.configFile, text, 0o600); err != nil {
		n.t.Fatal(err)
	}
}

// A folder that can't be used ends the start with one line and exit 1; one that another process still has is waited for.
func TestNodeStateFolder(t *testing.T) {
	bed := testbed.New()
	node := newNodeProcess(t, bed)
	node.agent.Set(testbed.Host{Host: "a", Dial: "127.0.0.1:1", Class: "single", Block: 1, Health: "ready"})
	folder := node.stateDir
	node.stateDir = filepath.Join(node.configFile, "state") // below a file
	node.configure()
	cmd := node.command()
	out, err := cmd.CombinedOutput()
	if cmd.ProcessState.ExitCode() != 1 || strings.Count(string(out), "\n") != 1 || !strings.Contains(string(out), node.configFile) {
		t.Errorf("%v, %q", err, out)
	}
	node.stateDir = folder
	node.start()
	first := node.cmd
	second := node.command()
	var log bytes.Buffer
	second.Stdout = &log
	if err := second.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = second.Process.Kill() }()
	time.Sleep(300 * time.Millisecond) // it finds the folder taken
	_ = first.Process.Kill()
	_ = first.Wait()
	node.waitUntilListening()
	_ = second.Process.Signal(syscall.SIGTERM)
	if err := second.Wait(); err != nil || !strings.Contains(log.String(), "in use by another process") {
		t.Errorf("%v, log %s", err, log.String())
	}
}
