package main

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"whinrun/internal/testbed"
)

// node is the program on a test bed, in a process of its own.
type node struct {
	t     *testing.T
	bin   string
	addr  string
	file  string
	state string
	agent *testbed.Agent
	cmd   *exec.Cmd
	out   bytes.Buffer
	adapt func(configuration []byte) []byte // changes the configuration, nil for as it is
}

func newNode(t *testing.T, s *testbed.Testbed) *node {
	t.Helper()
	addr, err := testbed.FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	n := &node{t: t, bin: build(t), addr: addr, file: filepath.Join(dir, "config.json"), state: filepath.Join(dir, "state")}
	if n.agent, err = s.Agent(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.agent.Close)
	return n
}

func (n *node) configure() {
	n.t.Helper()
	n.write(testbed.Configuration(n.addr, n.agent))
}

func (n *node) start() {
	n.t.Helper()
	n.configure()
	n.cmd = n.command()
	n.cmd.Stdout = &n.out
	if err := n.cmd.Start(); err != nil {
		n.t.Fatal(err)
	}
	cmd := n.cmd
	n.t.Cleanup(func() { _ = cmd.Process.Kill() })
	n.awaitListening()
}

// command is the program as a node of this configuration.
func (n *node) command() *exec.Cmd {
	cmd := exec.Command(n.bin, "node")
	cmd.Env = append(os.Environ(), "EDGE_CONFIG="+n.file, "EDGE_STATE="+n.state)
	return cmd
}

// awaitListening waits until it takes connections.
func (n *node) awaitListening() {
	n.t.Helper()
	for over := time.Now().Add(10 * time.Second); time.Now().Before(over); time.Sleep(5 * time.Millisecond) {
		if c, err := net.Dial("tcp", n.addr); err == nil {
			_ = c.Close()
			return
		}
	}
	n.t.Fatal("it does not listen")
}

// ready asks for its state and returns the status.
func (n *node) ready() int {
	n.t.Helper()
	c, err := net.DialTimeout("tcp", n.addr, time.Second)
	if err != nil {
		n.t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	_, _ = c.Write([]byte("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"))
	status, err := testbed.ReadStatus(c)
	if err != nil {
		n.t.Fatal(err)
	}
	return status
}

// The program killed again and again in load: every message taken has its end, no upload is sent twice.
func TestNodeKilledInLoad(t *testing.T) {
	s := testbed.New()
	n := newNode(t, s)
	e, err := s.Endpoint("a", 1, "", func(c testbed.Call) testbed.Reply {
		return testbed.Reply{Status: []int{200, 200, 500, 503}[c.Number%4], Delay: time.Duration(c.Number%5) * 3 * time.Millisecond, Drop: c.Number%11 == 0}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	n.agent.Publish(testbed.EndpointEntry{Host: "a", Dial: e.Addr, Class: "single", Block: 1, Health: "ready"})
	var mu sync.Mutex
	var names []string
	for round := range 5 {
		n.start()
		stop := make(chan struct{})
		var all sync.WaitGroup
		for w := range 4 {
			all.Go(func() {
				for i := 0; ; i++ {
					select {
					case <-stop:
						return
					default:
					}
					name := fmt.Sprintf("r%d-w%d-%d", round, w, i)
					class := []string{"status", "upload"}[i%2]
					if s.Submit(n.addr, testbed.Message{Name: name, Class: class, Tenant: "acme", Dest: 1, Remaining: 3 * time.Second, Body: name}) == 202 {
						mu.Lock()
						names = append(names, name)
						mu.Unlock()
					}
				}
			})
		}
		had := len(s.Events())
		s.Await(5*time.Second, func(ev []testbed.Event) bool { return len(ev) > had+150+37*round })
		_ = n.cmd.Process.Signal(syscall.SIGKILL)
		_ = n.cmd.Wait()
		s.Record(testbed.Event{Kind: testbed.Restarted})
		close(stop)
		all.Wait()
	}
	n.start()
	s.Await(8*time.Second, func(ev []testbed.Event) bool { return testbed.AllEnded(ev, names) })
	for _, f := range testbed.Check(s.Events(), testbed.Rules{EndSlack: 2 * time.Second, DrainGrace: time.Second, AtMostOnce: []string{"upload"}, ColdBudget: 1 << 20,
		WaitGrace: 150 * time.Millisecond, ObservationLag: 100 * time.Millisecond}, time.Now()) {
		t.Error(f)
	}
	if len(names) < 50 {
		t.Errorf("only %d taken", len(names))
	}
}

// failing starts the program beside an endpoint that answers errors.
func failing(t *testing.T) (*testbed.Testbed, *node, testbed.EndpointEntry) {
	t.Helper()
	s := testbed.New()
	n := newNode(t, s)
	e, err := s.Endpoint("a", 1, "", func(testbed.Call) testbed.Reply { return testbed.Reply{Status: 500} })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	host := testbed.EndpointEntry{Host: "a", Dial: e.Addr, Class: "single", Block: 1, Health: "ready"}
	n.agent.Publish(host)
	n.start()
	return s, n, host
}

// SIGHUP never ends it, whatever the file holds; SIGTERM ends it in order, with 0, before 3.7 s.
func TestNodeSignals(t *testing.T) {
	s, n, host := failing(t)
	if err := os.WriteFile(n.file, []byte("no configuration"), 0o600); err != nil {
		t.Fatal(err)
	}
	_ = n.cmd.Process.Signal(syscall.SIGHUP)
	old := n.agent
	var err error
	if n.agent, err = s.Agent(); err != nil {
		t.Fatal(err)
	}
	defer n.agent.Close()
	n.agent.Publish(host)
	n.configure()
	_ = n.cmd.Process.Signal(syscall.SIGHUP)
	old.Close()
	if status := s.Submit(n.addr, testbed.Message{Name: "m", Class: "upload", Tenant: "acme", Dest: 1, Remaining: 3 * time.Second}); status != 202 {
		t.Fatalf("answer %d", status)
	}
	if !s.Await(5*time.Second, func(ev []testbed.Event) bool { return testbed.Count(ev, testbed.NoticeReceived, "m") > 0 }) {
		t.Error("no notice at the new address")
	}
	start := time.Now()
	_ = n.cmd.Process.Signal(syscall.SIGTERM)
	if err := n.cmd.Wait(); err != nil {
		t.Error("exit:", err)
	}
	if took := time.Since(start); took > 3700*time.Millisecond {
		t.Errorf("the stop took %v", took)
	}
	if out := n.out.String(); !strings.Contains(out, "stopped: 1 taken") || strings.Contains(out, `"level":"error"`) {
		t.Errorf("log: %s", out)
	}
}

// A stop with a notice that nobody takes: a second SIGTERM changes nothing, a new address by SIGHUP counts, and the notice that is
// owed goes there.
func TestNodeReloadedWhileItStops(t *testing.T) {
	s, n, _ := failing(t)
	n.agent.FailNotices(503)
	if status := s.Submit(n.addr, testbed.Message{Name: "m", Class: "upload", Tenant: "acme", Dest: 1, Remaining: 3 * time.Second}); status != 202 {
		t.Fatalf("answer %d", status)
	}
	if !s.Await(5*time.Second, func(ev []testbed.Event) bool { return testbed.Count(ev, testbed.CallAnswered, "m") > 0 }) {
		t.Fatal("no call")
	}
	var err error
	if n.agent, err = s.Agent(); err != nil {
		t.Fatal(err)
	}
	defer n.agent.Close()
	n.configure()
	start := time.Now()
	_ = n.cmd.Process.Signal(syscall.SIGTERM)
	for n.ready() == 200 { // until it stops: signals that are pending together come in no order
	}
	for _, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		_ = n.cmd.Process.Signal(sig)
	}
	if !s.Await(3*time.Second, func(ev []testbed.Event) bool { return testbed.Count(ev, testbed.NoticeReceived, "m") > 0 }) {
		t.Error("no notice at the new address")
	}
	if err := n.cmd.Wait(); err != nil {
		t.Error("exit:", err)
	}
	if took := time.Since(start); took > 3700*time.Millisecond {
		t.Errorf("the stop took %v", took)
	}
}

// SIGTERM that comes while the program starts ends it in order, and what its ledger owes is kept.
func TestNodeStoppedBeforeItIsReady(t *testing.T) {
	s := testbed.New()
	n := newNode(t, s)
	n.agent.Publish(testbed.EndpointEntry{Host: "a", Dial: "127.0.0.1:1", Class: "single", Block: 1, Health: "ready"})
	n.agent.SetMuted(true) // the start waits for discovery's first answer
	n.configure()
	n.cmd = n.command()
	if err := n.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = n.cmd.Process.Kill() }()
	if !s.Await(10*time.Second, func(ev []testbed.Event) bool { return testbed.Count(ev, testbed.WatchOpened, "") > 0 }) {
		t.Fatal("discovery is not asked")
	}
	start := time.Now()
	_ = n.cmd.Process.Signal(syscall.SIGTERM)
	if err := n.cmd.Wait(); err != nil {
		t.Error("exit:", err)
	}
	if took := time.Since(start); took > 4200*time.Millisecond { // the start's half second beside the stop's time
		t.Errorf("the stop took %v", took)
	}
}

// A fault of the configuration is one line that names file and key.
func TestNodeInvalidConfiguration(t *testing.T) {
	bin := build(t)
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, []byte(`{"listen":"127.0.0.1:0","discovery":"x"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, env := range [][]string{{"EDGE_CONFIG=" + file, "EDGE_STATE=/x"}, {"EDGE_CONFIG=" + file + "-none"}, {}} {
		cmd := exec.Command(bin, "node")
		cmd.Env = env
		out, err := cmd.CombinedOutput()
		if err == nil || strings.Count(string(out), "\n") != 1 || len(env) > 1 && (!strings.Contains(string(out), file) || !strings.Contains(string(out), "discovery")) {
			t.Errorf("%v: %v, %q", env, err, out)
		}
	}
}
