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

// dedupWindow is the deduplication window of partners in tests that shorten the window of the settings.
const dedupWindow = 2 * time.Second

// shortenDedupWindow makes the next process start with a deduplication window of dedupWindow.
func (n *nodeProcess) shortenDedupWindow() {
	n.t.Helper()
	n.transform = func(text []byte) []byte {
		return bytes.ReplaceAll(text, []byte(`"window":4000000`), []byte(`"window":2000000`))
	}
}

// kill ends the process with SIGKILL and notes the restart.
func (n *nodeProcess) kill(bed *testbed.Testbed) {
	_ = n.cmd.Process.Signal(syscall.SIGKILL)
	_ = n.cmd.Wait()
	bed.Record(testbed.Event{Kind: testbed.Restarted})
}

// callTimes returns the start times of the calls for a message.
func callTimes(events []testbed.Event, name string) (at []time.Time) {
	for _, e := range events {
		if e.Kind == testbed.CallReceived && e.Name == name {
			at = append(at, e.At)
		}
	}
	return at
}

// A process is killed while a call is in flight. A second process makes a call that the partner rejects without executing it,
// which says nothing about the first call. A third process must not repeat the message after the deduplication window of
// the first call has ended.
func TestSecondRestartKnowsTheFirstCall(t *testing.T) {
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
	node.agent.Publish(testbed.EndpointEntry{Host: "a", Dial: endpoint.Addr, Class: "single", Block: 1, Health: "ready"})
	node.start()
	message := testbed.Message{Name: "m", Class: "sync", Tenant: "acme", Dest: 1, IdempotencyKey: "key-m", Remaining: 4 * time.Second}
	if status := bed.Submit(node.addr, message); status != 202 {
		t.Fatalf("answer %d", status)
	}
	if !bed.Await(5*time.Second, func(ev []testbed.Event) bool { return testbed.Count(ev, testbed.CallReceived, "m") == 1 }) {
		t.Fatal("no call by the first process")
	}
	node.kill(bed)
	reply.Store(&testbed.Reply{Status: 429, RetryAfter: dedupWindow / 4}) // the wait lets the second process make one call only
	node.start()
	if !bed.Await(5*time.Second, func(ev []testbed.Event) bool { return testbed.Count(ev, testbed.CallAnswered, "m") == 1 }) {
		t.Fatal("no call by the second process")
	}
	node.kill(bed)
	reply.Store(&testbed.Reply{Status: 200})
	time.Sleep(time.Until(callTimes(bed.Events(), "m")[0].Add(dedupWindow))) // the window is real time
	node.start()
	if !bed.Await(8*time.Second, func(ev []testbed.Event) bool { return testbed.AllEnded(ev, []string{"m"}) }) {
		t.Error("the message has not ended")
	}
	for _, f := range testbed.Check(bed.Events(), nodeRules(), time.Now()) {
		t.Error(f)
	}
	if t.Failed() {
		t.Logf("log: %s", node.output.String())
	}
}

// nodeRules returns the rules for the settings of the testbed with deduplication windows of dedupWindow. The tolerances allow
// for a machine that also runs other processes.
func nodeRules() testbed.Rules {
	return testbed.Rules{EndSlack: 2 * time.Second, DrainGrace: time.Second, AtMostOnce: []string{"upload"}, ColdBudget: 1 << 20,
		DedupWindows: map[string]time.Duration{"sync": dedupWindow, "turns": dedupWindow}, WaitGrace: 150 * time.Millisecond, ObservationLag: 100 * time.Millisecond, EndGrace: 100 * time.Millisecond}
}

// writeConfig writes the configuration file.
func (n *nodeProcess) writeConfig(text []byte) {
	n.t.Helper()
	if n.transform != nil {
		text = n.transform(text)
	}
	if err := os.WriteFile(n.configFile, text, 0o600); err != nil {
		n.t.Fatal(err)
	}
}

// With an unusable state folder, the program prints one line and exits with status 1. If another process still uses the folder,
// the program waits for it.
func TestNodeFolder(t *testing.T) {
	bed := testbed.New()
	node := newNodeProcess(t, bed)
	node.agent.Publish(testbed.EndpointEntry{Host: "a", Dial: "127.0.0.1:1", Class: "single", Block: 1, Health: "ready"})
	folder := node.stateDir
	node.stateDir = filepath.Join(node.configFile, "state") // a path below a file cannot be a folder
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
	time.Sleep(300 * time.Millisecond) // the second process finds the folder in use
	_ = first.Process.Kill()
	_ = first.Wait()
	node.waitUntilListening()
	_ = second.Process.Signal(syscall.SIGTERM)
	if err := second.Wait(); err != nil || !strings.Contains(log.String(), "in use by another process") {
		t.Errorf("%v, log %s", err, log.String())
	}
}
