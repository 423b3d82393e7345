// Package lab holds what the stand-ins of the review cases share: the record of a run, the program under test as a process, and
// free loopback addresses.
package lab

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"whinrun/internal/clock"
	"whinrun/internal/loopback"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Run is one run of a case.
type Run struct {
	// Dir is the temporary folder of the run.
	Dir string
	// Trouble is false if the run goes without the disruption.
	Trouble bool

	watch  clock.Stopwatch
	mu     sync.Mutex
	record *os.File
	procs  []*Process
	broken int
}

// Start begins a run. The first argument of the program is the folder of the case, where the record is written.
func Start() *Run {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: PROGRAM CASE-FOLDER, from the root of the repository")
		os.Exit(NotRun)
	}
	r := &Run{Trouble: os.Getenv("TROUBLE") != "0", watch: clock.StartStopwatch()}
	var err error
	if r.record, err = os.Create(filepath.Join(os.Args[1], "record.txt")); err == nil {
		r.Dir, err = os.MkdirTemp("", "review")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	r.Note("run with trouble: %v", r.Trouble)
	// A run that is told to end, or hangs, ends its processes.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		r.Fatal("told to end")
	}()
	time.AfterFunc(110*time.Second, func() { r.Fatal("the run takes too long") })
	return r
}

// Since returns the time since the start of the run.
func (r *Run) Since() time.Duration { return r.watch.Elapsed() }

// Note writes a line to the record, with the time since the start of the run.
func (r *Run) Note(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  ", r.watch.Elapsed().Seconds()) + fmt.Sprintf(format, a...) + "\n"
	_, _ = r.record.WriteString(line)
	_, _ = os.Stdout.WriteString(line)
}

// Break records that a rule was broken.
func (r *Run) Break(format string, a ...any) {
	r.mu.Lock()
	r.broken++
	r.mu.Unlock()
	r.Note("BROKEN: "+format, a...)
}

// Fatal ends a run that could not be made.
func (r *Run) Fatal(format string, a ...any) {
	r.Note("not run: "+format, a...)
	r.end(NotRun)
}

// End ends the run with the exit code of its result.
func (r *Run) End() {
	if r.broken > 0 {
		r.Note("result: the rule was broken, %d times", r.broken)
		r.end(Broken)
	}
	r.Note("result: the rule held")
	r.end(Held)
}

func (r *Run) end(code int) {
	for _, p := range r.procs {
		p.Signal(syscall.SIGKILL)
		p.Wait()
	}
	_ = os.RemoveAll(r.Dir)
	_ = r.record.Close()
	os.Exit(code)
}

// Process is a process of the program under test.
type Process struct {
	run  *Run
	name string
	cmd  *exec.Cmd
	done chan struct{}
	log  *os.File
}

// Exec starts a command of the deploy file or the pages by /bin/sh -c, from the root of the repository. Its output goes to a file
// in the folder of the run.
func (r *Run) Exec(name, command string, env ...string) *Process {
	p := &Process{run: r, name: name, cmd: exec.Command("/bin/sh", "-c", command), done: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), env...)
	var err error
	if p.log, err = os.OpenFile(filepath.Join(r.Dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_RDWR, 0o600); err != nil {
		r.Fatal("%v", err)
	}
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	if err := p.cmd.Start(); err != nil {
		r.Fatal("%v", err)
	}
	r.procs = append(r.procs, p)
	r.Note("%s started: %s, process %d", name, command, p.cmd.Process.Pid)
	go func() {
		err := p.cmd.Wait()
		r.Note("%s ended: %v", name, err)
		close(p.done)
	}()
	return p
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	select {
	case <-p.done:
		return
	default:
	}
	p.run.Note("signal to %s: %v", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

// Wait waits until the process has ended.
func (p *Process) Wait() { <-p.done }

// Log returns what the process has written.
func (p *Process) Log() string {
	b, _ := os.ReadFile(p.log.Name())
	return string(b)
}

// CopyLog adds the lines that the process has written to the record.
func (p *Process) CopyLog() { p.run.Note("log of %s:\n%s", p.name, p.Log()) }

// FreeAddr returns a free loopback address.
func (r *Run) FreeAddr() string {
	ln := r.Listen()
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

// Listen listens on a free loopback address.
func (r *Run) Listen() net.Listener {
	ln, err := net.Listen("tcp", loopback.Next())
	if err != nil {
		r.Fatal("%v", err)
	}
	return ln
}

// AwaitListening waits until an address accepts connections.
func (r *Run) AwaitListening(addr string) {
	for range 2000 {
		if c, err := net.DialTimeout("tcp", addr, time.Second); err == nil {
			_ = c.Close()
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	r.Fatal("%s does not listen", addr)
}

// WriteFile writes a file in the folder of the run, by a rename, and returns its path.
func (r *Run) WriteFile(name, text string) string {
	path := filepath.Join(r.Dir, name)
	err := os.WriteFile(path+".new", []byte(text), 0o600)
	if err == nil {
		err = os.Rename(path+".new", path)
	}
	if err != nil {
		r.Fatal("%v", err)
	}
	return path
}

// ServeH2 serves HTTP/2 in clear text with prior knowledge.
func (r *Run) ServeH2(h http.Handler) (addr string) {
	ln := r.Listen()
	srv := &http.Server{Handler: h, Protocols: h2c()}
	go func() { _ = srv.Serve(ln) }()
	return ln.Addr().String()
}

func h2c() *http.Protocols {
	p := &http.Protocols{}
	p.SetUnencryptedHTTP2(true)
	return p
}

// H2Client returns a client for HTTP/2 in clear text with prior knowledge.
func H2Client() *http.Client {
	return &http.Client{Transport: &http.Transport{Protocols: h2c(), TLSClientConfig: &tls.Config{}}}
}

// Answer is an answer over HTTP.
type Answer struct {
	Status int
	Header http.Header
	Body   string
	Err    error
}

// Do makes a request over HTTP/2.
func Do(c *http.Client, method, url, body string, timeout time.Duration, header ...string) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var content io.Reader
	if body != "" {
		content = io.NopCloser(&once{text: body})
	}
	req, err := http.NewRequestWithContext(ctx, method, url, content)
	if err != nil {
		return Answer{Err: err}
	}
	req.ContentLength = int64(len(body))
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := c.Do(req)
	if err != nil {
		return Answer{Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return Answer{resp.StatusCode, resp.Header, string(b), err}
}

// once is a body that can be read once, so that the library does not send it again on its own.
type once struct{ text string }

func (o *once) Read(p []byte) (int, error) {
	if o.text == "" {
		return 0, io.EOF
	}
	n := copy(p, o.text)
	o.text = o.text[n:]
	return n, nil
}
