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

// nodeProcess is the program on a test bed, in a process of its own.
type nodeProcess struct {
	t          *testing.T
	bin        string
	addr       string
	configFile string
	stateDir   string
	agent      *testbed.Agent
	cmd        *exec.Cmd
	output     bytes.Buffer
	transform  func(configuration []byte) []byte // changes the configuration, nil for as it is
}

func newNodeProcess(t *testing.T, bed *testbed.Testbed) *nodeProcess {
	t.Helper()
	addr, err := testbed.FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	n := &nodeProcess{t: t, bin: buildProgram(t), addr: addr, configFile: filepath.Join(dir, "config.json"), stateDir: filepath.Join(dir, "state")}
	if n.agent, err = bed.Agent(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.agent.Close)
	return n
}

func (n *nodeProcess) configure() {
	n.t.Helper()
	n.writeConfig(testbed.Configuration(n.addr, n.agent))
}

func (n *nodeProcess) start() {
	n.t.Helper()
	n.configure()
	n.cmd = n.command()
	n.cmd.Stdout = &n.output
	if err := n.cmd.Start(); err != nil {
		n.t.Fatal(err)
	}
	cmd := n.cmd
	n.t.Cleanup(func() { _ = cmd.Process.Kill() })
	n.waitUntilListening()
}

// command is the program as a node of this configuration.
func (n *nodeProcess) command() *exec.Cmd {
	cmd := exec.Command(n.bin, "node")
	cmd.Env = append(os.Environ(), "EDGE_CONFIG="+n.configFile, "EDGE_STATE="+n.stateDir)
	return cmd
}

// waitUntilListening waits until it takes connections.
func (n *nodeProcess) waitUntilListening() {
	n.t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if c, err := net.Dial("tcp", n.addr); err == nil {
			_ = c.Close()
			return
		}
	}
	n.t.Fatal("it does not listen")
}

// readyStatus asks for its state and returns the status.
func (n *nodeProcess) readyStatus() int {
	n.t.Helper()
	c, err := net.DialTimeout("tcp", n.addr, time.Second)
	if err != nil {
		n.t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	_, _ = c.Write([]byte("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"))
	status, err := testbed.Status(c)
	if err != nil {
		n.t.Fatal(err)
	}
	return status
}

// The program killed again and again in load: every message taken has its end, no upload is sent twice.
func TestNodeKilledInLoad(t *testing.T) {
	bed := testbed.New()
	node := newNodeProcess(t, bed)
	endpoint, err := bed.Endpoint("a", 1, "", func(c testbed.Call) testbed.Reply {
		return testbed.Reply{Status: []int{200, 200, 500, 503}[c.N%4], After: time.Duration(c.N%5) * 3 * time.Millisecond, Drop: c.N%11 == 0}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer endpoint.Close()
	node.agent.Set(testbed.Host{Host: "a", Dial: endpoint.Addr, Class: "single", Block: 1, Health: "ready"})
	var mu sync.Mutex
	var names []string
	for round := range 5 {
		node.start()
		stop := make(chan struct{})
		var clients sync.WaitGroup
		for worker := range 4 {
			clients.Go(func() {
				for i := 0; ; i++ {
					select {
					case <-stop:
						return
					default:
					}
					name := fmt.Sprintf("r%d-w%d-%d", round, worker, i)
					class := []string{"status", "upload"}[i%2]
					if bed.Hand(node.addr, testbed.Message{Name: name, Class: class, Tenant: "acme", Dest: 1, Left: 3 * time.Second, Body: name}) == 202 {
						mu.Lock()
						names = append(names, name)
						mu.Unlock()
					}
				}
			})
		}
		eventsBefore := len(bed.Events())
		bed.Await(5*time.Second, func(ev []testbed.Event) bool { return len(ev) > eventsBefore+150+37*round })
		_ = node.cmd.Process.Signal(syscall.SIGKILL)
		_ = node.cmd.Wait()
		bed.Note(testbed.Event{Kind: testbed.Restarted})
		close(stop)
		clients.Wait()
	}
	node.start()
	bed.Await(8*time.Second, func(ev []testbed.Event) bool { return testbed.AllEnded(ev, names) })
	for _, f := range testbed.Check(bed.Events(), testbed.Rules{Slack: 2 * time.Second, Grace: time.Second, Once: []string{"upload"}, ColdBudget: 1 << 20,
		WaitExcused: 150 * time.Millisecond, Lag: 100 * time.Millisecond}, time.Now()) {
		t.Error(f)
	}
	if len(names) < 50 {
		t.Errorf("only %d taken", len(names))
	}
}

// startWithFailingEndpoint starts the program beside an endpoint that answers errors.
func startWithFailingEndpoint(t *testing.T) (*testbed.Testbed, *nodeProcess, testbed.Host) {
	t.Helper()
	bed := testbed.New()
	node := newNodeProcess(t, bed)
	endpoint, err := bed.Endpoint("a", 1, "", func(testbed.Call) testbed.Reply { return testbed.Reply{Status: 500} })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(endpoint.Close)
	host := testbed.Host{Host: "a", Dial: endpoint.Addr, Class: "single", Block: 1, Health: "ready"}
	node.agent.Set(host)
	node.start()
	return bed, node, host
}

// SIGHUP never ends it, whatever the file holds; SIGTERM ends it in order, with 0, before 3.7 s.
func TestNodeSignals(t *testing.T) {
	bed, node, host := startWithFailingEndpoint(t)
	if err := os.WriteFile(node.configFile, []byte("no configuration"), 0o600); err != nil {
		t.Fatal(err)
	}
	_ = node.cmd.Process.Signal(syscall.SIGHUP)
	old := node.agent
	var err error
	if node.agent, err = bed.Agent(); err != nil {
		t.Fatal(err)
	}
	defer node.agent.Close()
	node.agent.Set(host)
	node.configure()
	_ = node.cmd.Process.Signal(syscall.SIGHUP)
	old.Close()
	if status := bed.Hand(node.addr, testbed.Message{Name: "m", Class: "upload", Tenant: "acme", Dest: 1, Left: 3 * time.Second}); status != 202 {
		t.Fatalf("answer %d", status)
	}
	if !bed.Await(5*time.Second, func(ev []testbed.Event) bool { return testbed.Count(ev, testbed.Noticed, "m") > 0 }) {
		t.Error("no notice at the new address")
	}
	start := time.Now()
	_ = node.cmd.Process.Signal(syscall.SIGTERM)
	if err := node.cmd.Wait(); err != nil {
		t.Error("exit:", err)
	}
	if took := time.Since(start); took > 3700*time.Millisecond {
		t.Errorf("the stop took %v", took)
	}
	if out := node.output.String(); !strings.Contains(out, "stopped: 1 taken") || strings.Contains(out, `"level":"error"`) {
		t.Errorf("log: %s", out)
	}
}

// A stop with a notice that nobody takes: a second SIGTERM changes nothing, a new address by SIGHUP counts, and the notice that is
// owed goes there.
func TestNodeReloadedWhileItStops(t *testing.T) {
	bed, node, _ := startWithFailingEndpoint(t)
	node.agent.Fail(503)
	if status := bed.Hand(node.addr, testbed.Message{Name: "m", Class: "upload", Tenant: "acme", Dest: 1, Left: 3 * time.Second}); status != 202 {
		t.Fatalf("answer %d", status)
	}
	if !bed.Await(5*time.Second, func(ev []testbed.Event) bool { return testbed.Count(ev, testbed.Answered, "m") > 0 }) {
		t.Fatal("no call")
	}
	var err error
	if node.agent, err = bed.Agent(); err != nil {
		t.Fatal(err)
	}
	defer node.agent.Close()
	node.configure()
	start := time.Now()
	_ = node.cmd.Process.Signal(syscall.SIGTERM)
	for node.readyStatus() == 200 { // until it stops: signals that are pending together come in no order
	}
	for _, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		_ = node.cmd.Process.Signal(sig)
	}
	if !bed.Await(3*time.Second, func(ev []testbed.Event) bool { return testbed.Count(ev, testbed.Noticed, "m") > 0 }) {
		t.Error("no notice at the new address")
	}
	if err := node.cmd.Wait(); err != nil {
		t.Error("exit:", err)
	}
	if took := time.Since(start); took > 3700*time.Millisecond {
		t.Errorf("the stop took %v", took)
	}
}

// SIGTERM that comes while the program starts ends it in order, and what its ledger owes is kept.
func TestNodeStoppedBeforeItIsReady(t *testing.T) {
	bed := testbed.New()
	node := newNodeProcess(t, bed)
	node.agent.Set(testbed.Host{Host: "a", Dial: "127.0.0.1:1", Class: "single", Block: 1, Health: "ready"})
	node.agent.Mute(true) // the start waits for discovery's first answer
	node.configure()
	node.cmd = node.command()
	if err := node.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = node.cmd.Process.Kill() }()
	if !bed.Await(10*time.Second, func(ev []testbed.Event) bool { return testbed.Count(ev, testbed.Watched, "") > 0 }) {
		t.Fatal("discovery is not asked")
	}
	start := time.Now()
	_ = node.cmd.Process.Signal(syscall.SIGTERM)
	if err := node.cmd.Wait(); err != nil {
		t.Error("exit:", err)
	}
	if took := time.Since(start); took > 4200*time.Millisecond { // the start's half second beside the stop's time
		t.Errorf("the stop took %v", took)
	}
}

// A fault of the configuration is one line that names file and key.
func TestNodeInvalidConfiguration(t *testing.T) {
	bin := buildProgram(t)
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
