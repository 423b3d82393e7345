package soak

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"whinrun/internal/clock"
	"whinrun/internal/testbed"
)

// nodeState is the state of a node's process.
type nodeState int32

const (
	// down means that there is no process, or that it is not ready.
	down nodeState = iota
	// up means that the process accepts messages.
	up
	// stopping means that the process has been told to end.
	stopping
)

// node is one dispatcher. It has one process at a time, and a folder that outlives the processes.
type node struct {
	run    *run
	number int
	name   string
	addr   string
	folder string
	log    *os.File

	// processMu is held by the fault that ends or starts the process.
	processMu sync.Mutex
	state     atomic.Int32
	// epoch counts the starts and ends of processes.
	epoch atomic.Int64
	// exhaustions counts the running faults that use up connections or descriptors. While it is not 0, the node may
	// close connections without reading them.
	exhaustions atomic.Int64
	// startedExhaustions counts all of these faults.
	startedExhaustions atomic.Int64

	mu  sync.Mutex
	cmd *exec.Cmd
	// exited receives the result of the running process when it ends.
	exited chan error
}

// newNode creates a node with its folder and its log file. Its process is not started.
func (r *run) newNode(number int) (*node, error) {
	addr, err := testbed.FreeAddr()
	if err != nil {
		return nil, err
	}
	n := &node{run: r, number: number, name: fmt.Sprintf("n%d", number), addr: addr}
	n.folder = filepath.Join(r.cfg.Folder, n.name)
	if err := os.MkdirAll(n.folder, 0o700); err != nil {
		return nil, err
	}
	n.log, err = os.Create(filepath.Join(r.cfg.Folder, n.name+".log"))
	return n, err
}

// dedupWindow is the time for which partners remember idempotency keys. It is short, so that restarts and faults last
// longer.
const dedupWindow = 1500 * time.Millisecond

// configPath returns the path of the node's configuration file.
func (n *node) configPath() string { return filepath.Join(n.folder, "config.json") }

// writeConfig writes the configuration file with the node's present agent.
func (n *node) writeConfig() error {
	agent := n.run.environment.agentOf(n.number)
	text := testbed.Configuration(n.addr, agent.Agent)
	text = bytes.ReplaceAll(text, []byte(`"instances":1`), fmt.Appendf(nil, `"instances":%d`, n.run.cfg.Nodes))
	text = bytes.ReplaceAll(text, []byte(`"name":"n0"`), fmt.Appendf(nil, `"name":%q`, n.name))
	text = bytes.ReplaceAll(text, []byte(`"window":4000000`), fmt.Appendf(nil, `"window":%d`, dedupWindow.Microseconds()))
	if n.run.cfg.Slots > 0 {
		text = bytes.ReplaceAll(text, []byte(`"slots":10`), fmt.Appendf(nil, `"slots":%d`, n.run.cfg.Slots))
	}
	return os.WriteFile(n.configPath(), text, 0o600)
}

// readyTimeout is how soon a process has to be ready.
const readyTimeout = 10 * time.Second

// start starts a process and waits until it is ready. It returns an error where the process ends or is not ready in
// time.
func (n *node) start() error {
	if err := n.writeConfig(); err != nil {
		return err
	}
	cmd := exec.Command(n.run.cfg.Binary, "node")
	cmd.Env = append(os.Environ(), "EDGE_CONFIG="+n.configPath(), "EDGE_STATE="+filepath.Join(n.folder, "state"), "WHINRUN_TRACE=1")
	cmd.Stdout, cmd.Stderr = n.log, n.log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan error, 1)
	n.mu.Lock()
	n.cmd, n.exited = cmd, exited
	n.mu.Unlock()
	go func() { exited <- cmd.Wait() }()
	for stopwatch := clock.StartStopwatch(); ; time.Sleep(5 * time.Millisecond) {
		select {
		case err := <-exited:
			return fmt.Errorf("%s exited before it was ready: %w", n.name, errors.Join(err))
		default:
		}
		if n.ready() {
			n.epoch.Add(1)
			n.state.Store(int32(up))
			n.run.testbed.Record(testbed.Event{Kind: testbed.RestartEnded, Node: n.name})
			return nil
		}
		if stopwatch.Elapsed() > readyTimeout {
			return fmt.Errorf("%s is not ready after %v", n.name, readyTimeout)
		}
	}
}

// ready reports whether the process answers the readiness request by 200.
func (n *node) ready() bool {
	c, err := net.DialTimeout("tcp", n.addr, 200*time.Millisecond)
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(clock.After(200 * time.Millisecond))
	if _, err := c.Write([]byte("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")); err != nil {
		return false
	}
	status, _ := testbed.ReadStatus(c)
	return status == 200
}

// beginExhaustion counts a fault that uses up connections or descriptors until the returned function is called.
func (n *node) beginExhaustion() (end func()) {
	n.exhaustions.Add(1)
	n.startedExhaustions.Add(1)
	return func() { n.exhaustions.Add(-1) }
}

// signal sends a signal to the process.
func (n *node) signal(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		_ = n.cmd.Process.Signal(sig)
	}
}

// markEnding sets the state of a process that is about to end, and starts a new epoch.
func (n *node) markEnding(state nodeState) {
	n.state.Store(int32(state))
	n.epoch.Add(1)
	n.run.testbed.Record(testbed.Event{Kind: testbed.RestartBegan, Node: n.name})
}

// awaitExit waits for the end of the process, and kills it where that takes too long. It returns nil for exit code 0 and
// for SIGKILL from another caller.
func (n *node) awaitExit() error {
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	var err error
	select {
	case err = <-exited:
	case <-time.After(stopTimeout + time.Second):
		n.signal(syscall.SIGKILL)
		<-exited
		err = fmt.Errorf("%s has not ended %v after SIGTERM", n.name, stopTimeout+time.Second)
	}
	n.run.testbed.Record(testbed.Event{Kind: testbed.Restarted, Node: n.name})
	var exitErr *exec.ExitError
	if errors.As(err, &exitErr) {
		if status, ok := exitErr.Sys().(syscall.WaitStatus); ok && status.Signaled() && status.Signal() == syscall.SIGKILL {
			return nil
		}
	}
	return err
}

// stopTimeout is how soon a process has to end after SIGTERM. The platform kills it after this time.
const stopTimeout = 3700 * time.Millisecond

// kill ends the process by SIGKILL.
func (n *node) kill() error {
	n.markEnding(down)
	n.signal(syscall.SIGKILL)
	return n.awaitExit()
}

// pause stops the process by SIGSTOP for up to 0.15 s.
func (n *node) pause(rng *rand.Rand) {
	n.signal(syscall.SIGSTOP)
	time.Sleep(time.Duration(20+rng.IntN(130)) * time.Millisecond)
	n.signal(syscall.SIGCONT)
}

// stop ends the process by SIGTERM.
func (n *node) stop() error {
	n.markEnding(stopping)
	n.signal(syscall.SIGTERM)
	err := n.awaitExit()
	n.state.Store(int32(down))
	return err
}

// exhaustDescriptors lowers the process's limit of descriptors to the number that it has open. The returned function
// restores the limit. The limit of a child process can be changed without privileges (prlimit(2)).
func (n *node) exhaustDescriptors() (restore func(), err error) {
	n.mu.Lock()
	pid := n.cmd.Process.Pid
	n.mu.Unlock()
	var old unix.Rlimit
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &old); err != nil {
		return nil, err
	}
	descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return nil, err
	}
	lowered := unix.Rlimit{Cur: uint64(len(descriptors)), Max: old.Max}
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &lowered, nil); err != nil {
		return nil, err
	}
	return func() { _ = unix.Prlimit(pid, unix.RLIMIT_NOFILE, &old, nil) }, nil
}

// logViolations returns the lines of the node's log that must not be there: errors, panics, and prevented violations.
func (n *node) logViolations() (lines []string) {
	_ = n.log.Close()
	text, err := os.ReadFile(n.log.Name())
	if err != nil {
		return []string{err.Error()}
	}
	for line := range strings.Lines(string(text)) {
		bad := strings.Contains(line, `"level":"error"`) || strings.Contains(line, "panic") || strings.Contains(line, "fatal error") ||
			strings.Contains(line, "violations prevented") && !strings.Contains(line, " 0 violations prevented")
		if bad {
			lines = append(lines, n.name+" logged: "+strings.TrimSpace(line))
		}
	}
	return lines
}
