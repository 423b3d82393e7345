package soak

import (
	"bytes"
	"errors"
	"fmt"
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

// state is how a node stands.
type state int32

const (
	down     state = iota // its process is not there, or not ready
	up                    // it takes messages
	stopping              // it was told to end
)

// node is one dispatcher: a process at a time, with a folder that outlasts them.
type node struct {
	run    *run
	number int
	name   string
	addr   string
	folder string
	log    *os.File

	busy  sync.Mutex // one fault at a time ends or starts its process
	state atomic.Int32
	epoch atomic.Int64 // counts its processes and their ends
	crowd atomic.Int64 // connections that may be turned away unread: faults that fill it up

	mu  sync.Mutex
	cmd *exec.Cmd
	end chan error // of the process that runs
}

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

// keyWindow is how long partners remember keys: short, so that restarts and faults pass it.
const keyWindow = 1500 * time.Millisecond

func (n *node) config() string { return filepath.Join(n.folder, "config.json") }

// configure writes the configuration with the discovery of the moment.
func (n *node) configure() error {
	a := n.run.world.agentOf(n.number)
	text := testbed.Configuration(n.addr, a.Agent)
	text = bytes.ReplaceAll(text, []byte(`"instances":1`), fmt.Appendf(nil, `"instances":%d`, n.run.cfg.Nodes))
	text = bytes.ReplaceAll(text, []byte(`"name":"n0"`), fmt.Appendf(nil, `"name":%q`, n.name))
	text = bytes.ReplaceAll(text, []byte(`"window":4000000`), fmt.Appendf(nil, `"window":%d`, keyWindow.Microseconds()))
	return os.WriteFile(n.config(), text, 0o600)
}

// readyWithin is how soon a process has to be ready.
const readyWithin = 10 * time.Second

// start starts a process and waits until it is ready.
func (n *node) start() error {
	if err := n.configure(); err != nil {
		return err
	}
	cmd := exec.Command(n.run.cfg.Binary, "node")
	cmd.Env = append(os.Environ(), "EDGE_CONFIG="+n.config(), "EDGE_STATE="+filepath.Join(n.folder, "state"), "WHINRUN_TRACE=1")
	cmd.Stdout, cmd.Stderr = n.log, n.log
	if err := cmd.Start(); err != nil {
		return err
	}
	end := make(chan error, 1)
	n.mu.Lock()
	n.cmd, n.end = cmd, end
	n.mu.Unlock()
	go func() { end <- cmd.Wait() }()
	for watch := clock.StartStopwatch(); ; time.Sleep(5 * time.Millisecond) {
		select {
		case err := <-end:
			return fmt.Errorf("%s ended as it started: %w", n.name, errors.Join(err))
		default:
		}
		if n.ready() {
			n.epoch.Add(1)
			n.state.Store(int32(up))
			return nil
		}
		if watch.Elapsed() > readyWithin {
			return fmt.Errorf("%s is not ready after %v", n.name, readyWithin)
		}
	}
}

// ready asks for its state.
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

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		_ = n.cmd.Process.Signal(s)
	}
}

// leave marks the process as one that ends.
func (n *node) leave(s state) {
	n.state.Store(int32(s))
	n.epoch.Add(1)
}

// gone waits for the end of the process; it is nil where that ended with 0 or by SIGKILL.
func (n *node) gone() error {
	n.mu.Lock()
	end := n.end
	n.mu.Unlock()
	var err error
	select {
	case err = <-end:
	case <-time.After(stopWithin + time.Second):
		n.signal(syscall.SIGKILL)
		<-end
		err = fmt.Errorf("%s has not ended %v after SIGTERM", n.name, stopWithin+time.Second)
	}
	n.run.bed.Record(testbed.Event{Kind: testbed.Restarted, Node: n.name})
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		if w, ok := exit.Sys().(syscall.WaitStatus); ok && w.Signaled() && w.Signal() == syscall.SIGKILL {
			return nil
		}
	}
	return err
}

// stopWithin is how soon a process ends behind SIGTERM: the platform kills after this.
const stopWithin = 3700 * time.Millisecond

// kill ends the process as SIGKILL does.
func (n *node) kill() error {
	n.leave(down)
	n.signal(syscall.SIGKILL)
	return n.gone()
}

// stop ends it in order.
func (n *node) stop() error {
	n.leave(stopping)
	n.signal(syscall.SIGTERM)
	err := n.gone()
	n.state.Store(int32(down))
	return err
}

// limitFiles lowers the process's limit of descriptors to what it has open, and returns what raises it again. The limit of a
// child may be changed without privileges (prlimit(2)).
func (n *node) limitFiles() (restore func(), err error) {
	n.mu.Lock()
	pid := n.cmd.Process.Pid
	n.mu.Unlock()
	var old unix.Rlimit
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &old); err != nil {
		return nil, err
	}
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return nil, err
	}
	low := unix.Rlimit{Cur: uint64(len(open)), Max: old.Max}
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &low, nil); err != nil {
		return nil, err
	}
	return func() { _ = unix.Prlimit(pid, unix.RLIMIT_NOFILE, &old, nil) }, nil
}

// faults are the lines of its log that must not be there.
func (n *node) faults() (lines []string) {
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
