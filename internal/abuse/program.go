// Package abuse plays clients that misbehave against a dispatcher in a process of its own: clients that stop in the middle of requests,
// and clients that flood it. It measures what others notice: the peak of the process's memory, and the time that the requests of another
// client take.
package abuse

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"whinrun/internal/clock"
	"whinrun/internal/partner"
	"whinrun/internal/testbed"
)

// Front is the client side of a dispatcher that is abused.
type Front string

// Fronts.
const (
	// NodeHTTP1 is that of `whinrun node`.
	NodeHTTP1 Front = "node"
	// ServeHTTP2 is the push front of `whinrun serve`.
	ServeHTTP2 Front = "http2"
	// ServeAMQP is the AMQP front of `whinrun serve`.
	ServeAMQP Front = "amqp"
)

// ProgramConfig describes the process of a dispatcher.
type ProgramConfig struct {
	// Binary is the path of the program.
	Binary string
	// Folder is an empty folder for its files.
	Folder string
	Front  Front
	// OneCore binds the process to one core.
	OneCore bool
	// MemoryMB is the limit of a node, or the setting memory of `serve`, in MiB. With 0 there is none.
	MemoryMB int
	// HoldBytesMB is the setting hold-bytes of `serve`, in MiB.
	HoldBytesMB int
}

// Program is the process of a dispatcher, with a stand-in for its partner.
type Program struct {
	// Addr is the address of the abused front.
	Addr string
	// calls returns the calls that the stand-ins have got.
	calls   func() []call
	cmd     *exec.Cmd
	exited  chan error
	cleanup []func()
}

// call is one execution of a message at a stand-in.
type call struct {
	// id is what the client gave the message.
	id string
	at time.Time
}

// startTimeout is how soon a process has to answer.
const startTimeout = 10 * time.Second

// StartProgram starts a dispatcher and waits until its front answers.
func StartProgram(cfg ProgramConfig) (p *Program, err error) {
	p = &Program{exited: make(chan error, 1)}
	defer func() {
		if err != nil {
			p.Close()
		}
	}()
	if cfg.Front == NodeHTTP1 {
		err = p.prepareNode(cfg)
	} else {
		err = p.prepareServe(cfg)
	}
	if err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(cfg.Folder, "log"))
	if err != nil {
		return nil, err
	}
	p.cleanup = append(p.cleanup, func() { _ = log.Close() })
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() { p.exited <- p.cmd.Wait() }()
	if err := p.awaitStart(cfg); err != nil {
		return nil, err
	}
	if cfg.OneCore {
		return p, p.bindToOneCore()
	}
	return p, nil
}

// defaultNodeMemoryMB is the limit of a node for which none is given, in MiB.
const defaultNodeMemoryMB = 32

// prepareNode sets the command of a node with two partners.
func (p *Program) prepareNode(cfg ProgramConfig) error {
	bed := testbed.New()
	agent, err := bed.Agent()
	if err != nil {
		return err
	}
	p.cleanup = append(p.cleanup, agent.Close)
	p.calls = func() (all []call) {
		for _, e := range bed.Events() {
			if e.Kind == testbed.CallReceived {
				all = append(all, call{e.Name, e.At})
			}
		}
		return all
	}
	for dest, kind := range []string{"single", "bulk"} {
		endpoint, err := bed.Endpoint(kind, dest+1, "", func(testbed.Call) testbed.Reply { return testbed.Reply{Status: 200, Delay: 2 * time.Millisecond} })
		if err != nil {
			return err
		}
		p.cleanup = append(p.cleanup, endpoint.Close)
		agent.Publish(testbed.EndpointEntry{Host: kind, Dial: endpoint.Addr, Site: "east", Class: kind, Block: dest + 1, Health: "ready", Share: 1})
	}
	if p.Addr, err = testbed.FreeAddr(); err != nil {
		return err
	}
	memory := cfg.MemoryMB
	if memory == 0 {
		memory = defaultNodeMemoryMB
	}
	text := testbed.Configuration(p.Addr, agent)
	text = bytes.ReplaceAll(text, []byte(`"memory_mb":64,"sockets":256,"disk_mb":1`), fmt.Appendf(nil, `"memory_mb":%d,"sockets":1024,"disk_mb":3`, memory))
	file := filepath.Join(cfg.Folder, "config.json")
	p.cmd = exec.Command(cfg.Binary, "node")
	p.cmd.Env = append(os.Environ(), "EDGE_CONFIG="+file, "EDGE_STATE="+filepath.Join(cfg.Folder, "state"))
	return os.WriteFile(file, text, 0o600)
}

// serveSettings are the settings of `serve` with one partner. The tenant needs no token but for AMQP.
const serveSettings = `[dispatcher]
listen = %s
memory = %dMiB
[amqp]
listen = %s
[limits]
hold-bytes = %dMiB
connections = 1200
body = 256KiB
[answers]
queues = 1000
[class status]
effect = safe
aim = 1s
deadline = 4s
[tenant t]
token = secret
[kind k]
[partner p]
kind = k
endpoints = %s
[exchange x]
class = status
tenant = t
[push /p]
partner = p
class = status
tenant = t
`

// maxLoggedCalls bounds the events that the stand-in of serve keeps.
const maxLoggedCalls = 200_000

// prepareServe sets the command of a dispatcher of a small site with one partner.
func (p *Program) prepareServe(cfg ProgramConfig) error {
	log := partner.NewLog(maxLoggedCalls)
	standIn := partner.New(partner.Config{Name: "p", ServiceTime: 2 * time.Millisecond, Seed: 1}, log)
	p.calls = func() (all []call) {
		for _, e := range log.Events() {
			if e.Kind == partner.Applied {
				all = append(all, call{e.CorrelationID, log.StartTime().Add(e.At)})
			}
		}
		return all
	}
	p.cleanup = append(p.cleanup, standIn.Close)
	endpoint, err := standIn.Listen("127.0.0.1:0")
	if err != nil {
		return err
	}
	push, err := testbed.FreeAddr()
	if err != nil {
		return err
	}
	amqp, err := testbed.FreeAddr()
	if err != nil {
		return err
	}
	if p.Addr = push; cfg.Front == ServeAMQP {
		p.Addr = amqp
	}
	file := filepath.Join(cfg.Folder, "site.ini")
	p.cmd = exec.Command(cfg.Binary, "serve", "--config="+file)
	return os.WriteFile(file, fmt.Appendf(nil, serveSettings, push, cfg.MemoryMB, amqp, cfg.HoldBytesMB, endpoint.Addr()), 0o600)
}

// awaitStart waits until the front answers.
func (p *Program) awaitStart(cfg ProgramConfig) error {
	stopwatch := clock.StartStopwatch()
	for stopwatch.Elapsed() < startTimeout {
		select {
		case err := <-p.exited:
			p.exited <- err
			return fmt.Errorf("the program ended at its start: %w", errors.Join(err))
		default:
		}
		probe := newProbe(cfg.Front, p.Addr)
		err := probe.ask(context.Background())
		probe.close()
		if err == nil {
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return fmt.Errorf("the program does not answer at %s within %v", p.Addr, startTimeout)
}

// bindToOneCore binds all threads of the process to one core. Threads that they start inherit that.
func (p *Program) bindToOneCore() error {
	tasks, err := os.ReadDir(fmt.Sprintf("/proc/%d/task", p.cmd.Process.Pid))
	if err != nil {
		return err
	}
	var core unix.CPUSet
	core.Set(0)
	for _, task := range tasks {
		id, err := strconv.Atoi(task.Name())
		if err != nil {
			return err
		}
		if err := unix.SchedSetaffinity(id, &core); err != nil {
			return fmt.Errorf("thread %d: %w", id, err)
		}
	}
	return nil
}

// PeakMemory returns the largest resident set that the process has had, in bytes.
func (p *Program) PeakMemory() (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
			return kilobytes << 10, err
		}
	}
	return 0, errors.New("the process has ended")
}

// Close ends the process and the stand-ins.
func (p *Program) Close() {
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.exited
	}
	for i := len(p.cleanup) - 1; i >= 0; i-- {
		p.cleanup[i]()
	}
	p.cmd, p.cleanup = nil, nil
}

// dial opens a connection.
func dial(ctx context.Context, addr string) (net.Conn, error) {
	return (&net.Dialer{Timeout: 2 * time.Second}).DialContext(ctx, "tcp", addr)
}
