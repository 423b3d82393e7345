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

// nodeProcess runs the program as a process against a testbed.
type nodeProcess struct {
	t          *testing.T
	bin        string
	addr       string
	configFile string
	stateDir   string
	agent      *testbed.Agent
	cmd        *exec.Cmd
	output     bytes.Buffer
	// transform changes the configuration before it is written. It is nil if nothing changes.
	transform func(configuration []byte) []byte
}

// newNodeProcess prepares a process with a free address, a state folder and an agent, but does not start it.
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

// configure writes the configuration for the current agent.
func (n *nodeProcess) configure() {
	n.t.Helper()
	n.writeConfig(testbed.Configuration(n.addr, n.agent))
}

// start writes the configuration, starts the process and waits until it listens.
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

// command returns the command that runs the program with this configuration and state folder.
func (n *nodeProcess) command() *exec.Cmd {
	cmd := exec.Command(n.bin, "node")
	cmd.Env = append(os.Environ(), "EDGE_CONFIG="+n.configFile, "EDGE_STATE="+n.stateDir)
	return cmd
}

// waitUntilListening waits until the program accepts connections.
func (n *nodeProcess) waitUntilListening() {
	n.t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if c, err := net.Dial("tcp", n.addr); err == nil {
			_ = c.Close()
			return
		}
	}
	n.t.Fatal("the program does not listen")
}

// readyStatus requests /ready and returns the status code.
func (n *nodeProcess) readyStatus() int {
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

// The program is killed repeatedly under load. Every accepted message still ends, and no upload is sent twice.
func TestNodeKilledInLoad(t *testing.T) {
	bed := testbed.New()
	node := newNodeProcess(t, bed)
	endpoint, err := bed.Endpoint("a", 1, "", func(c testbed.Call) testbed.Reply {
		return testbed.Reply{Status: []int{200, 200, 500, 503}[c.Number%4], Delay: time.Duration(c.Number%5) * 3 * time.Millisecond, Drop: c.Number%11 == 0}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer endpoint.Close()
	node.agent.Publish(testbed.EndpointEntry{Host: "a", Dial: endpoint.Addr, Class: "single", Block: 1, Health: "ready"})
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
					if bed.Submit(node.addr, testbed.Message{Name: name, Class: class, Tenant: "acme", Dest: 1, Remaining: 3 * time.Second, Body: name}) == 202 {
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
		bed.Record(testbed.Event{Kind: testbed.Restarted})
		close(stop)
		clients.Wait()
	}
	node.start()
	bed.Await(8*time.Second, func(ev []testbed.Event) bool { return testbed.AllEnded(ev, names) })
	for _, f := range testbed.Check(bed.Events(), testbed.Rules{EndSlack: 2 * time.Second, DrainGrace: time.Second, AtMostOnce: []string{"upload"}, ColdBudget: 1 << 20,
		WaitGrace: 150 * time.Millisecond, ObservationLag: 100 * time.Millisecond, EndGrace: 100 * time.Millisecond}, time.Now()) {
		t.Error(f)
	}
	if len(names) < 50 {
		t.Errorf("only %d messages were accepted", len(names))
	}
}

// startWithFailingEndpoint starts the program with one endpoint, which answers every call with status 500.
func startWithFailingEndpoint(t *testing.T) (*testbed.Testbed, *nodeProcess, testbed.EndpointEntry) {
	t.Helper()
	bed := testbed.New()
	node := newNodeProcess(t, bed)
	endpoint, err := bed.Endpoint("a", 1, "", func(testbed.Call) testbed.Reply { return testbed.Reply{Status: 500} })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(endpoint.Close)
	host := testbed.EndpointEntry{Host: "a", Dial: endpoint.Addr, Class: "single", Block: 1, Health: "ready"}
	node.agent.Publish(host)
	node.start()
	return bed, node, host
}

// SIGHUP never ends the program, even if the configuration is invalid. SIGTERM ends it gracefully with exit status 0 within
// 3.7 s.
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
	node.agent.Publish(host)
	node.configure()
	_ = node.cmd.Process.Signal(syscall.SIGHUP)
	old.Close()
	if status := bed.Submit(node.addr, testbed.Message{Name: "m", Class: "upload", Tenant: "acme", Dest: 1, Remaining: 3 * time.Second}); status != 202 {
		t.Fatalf("answer %d", status)
	}
	if !bed.Await(5*time.Second, func(ev []testbed.Event) bool { return testbed.Count(ev, testbed.NoticeReceived, "m") > 0 }) {
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

// The program stops while a notice is pending that the agent rejects. A second SIGTERM changes nothing. SIGHUP during the stop
// applies a new agent address, and the pending notice is delivered there.
func TestNodeReloadedWhileItStops(t *testing.T) {
	bed, node, _ := startWithFailingEndpoint(t)
	node.agent.FailNotices(503)
	if status := bed.Submit(node.addr, testbed.Message{Name: "m", Class: "upload", Tenant: "acme", Dest: 1, Remaining: 3 * time.Second}); status != 202 {
		t.Fatalf("answer %d", status)
	}
	if !bed.Await(5*time.Second, func(ev []testbed.Event) bool { return testbed.Count(ev, testbed.CallAnswered, "m") > 0 }) {
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
	// The program must have begun to stop before more signals are sent, because pending signals arrive in no fixed order.
	for node.readyStatus() == 200 {
	}
	for _, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		_ = node.cmd.Process.Signal(sig)
	}
	if !bed.Await(3*time.Second, func(ev []testbed.Event) bool { return testbed.Count(ev, testbed.NoticeReceived, "m") > 0 }) {
		t.Error("no notice at the new address")
	}
	if err := node.cmd.Wait(); err != nil {
		t.Error("exit:", err)
	}
	if took := time.Since(start); took > 3700*time.Millisecond {
		t.Errorf("the stop took %v", took)
	}
}

// SIGTERM during the start ends the program gracefully, and its ledger keeps the unfinished messages.
func TestNodeStoppedBeforeItIsReady(t *testing.T) {
	bed := testbed.New()
	node := newNodeProcess(t, bed)
	node.agent.Publish(testbed.EndpointEntry{Host: "a", Dial: "127.0.0.1:1", Class: "single", Block: 1, Health: "ready"})
	// The start waits for the first answer of discovery.
	node.agent.SetMuted(true)
	node.configure()
	node.cmd = node.command()
	if err := node.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = node.cmd.Process.Kill() }()
	if !bed.Await(10*time.Second, func(ev []testbed.Event) bool { return testbed.Count(ev, testbed.WatchOpened, "") > 0 }) {
		t.Fatal("the program sent no request to discovery")
	}
	start := time.Now()
	_ = node.cmd.Process.Signal(syscall.SIGTERM)
	if err := node.cmd.Wait(); err != nil {
		t.Error("exit:", err)
	}
	if took := time.Since(start); took > 4200*time.Millisecond { // the stop may take 3.7 s, and the start another 0.5 s
		t.Errorf("the stop took %v", took)
	}
}

// A configuration error is reported in one line that names the file and the key.
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
