// Command standins-2 plays the cases of the second review: it starts the dispatcher as a separate process and plays its clients, its
// endpoints and its platform on loopback addresses. It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the
// case could not run.
package main

import (
	"errors"
	"flag"
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

	"whinrun/internal/clock"
	"whinrun/internal/testbed"
)

// caseEnv is what a case works with.
type caseEnv struct {
	// run is the command of the deploy file that starts one dispatcher.
	run string
	// trouble is false for a run without the disruption.
	trouble bool
	// dir is a temporary folder.
	dir string
	bed *testbed.Testbed
	// start is when the case began.
	start time.Time

	mu    sync.Mutex
	notes []string
	// cleanups run in reverse order at the end.
	cleanups []func()
}

// cases are the cases by number. Each returns what broke its rule, or an error if it could not run.
var cases = map[string]func(*caseEnv) (broken []string, err error){}

func main() {
	name := flag.String("case", "", "number of the case")
	run := flag.String("run", "", "command that starts one dispatcher")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(play(*name, *run, *record))
}

// play plays one case and writes its record. It returns the exit code.
func play(name, run, record string) int {
	do := cases[name]
	if do == nil || run == "" {
		fmt.Fprintf(os.Stderr, "unknown case %q or no command\n", name)
		return 2
	}
	dir, err := os.MkdirTemp("", "whinrun-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	env := &caseEnv{run: run, trouble: os.Getenv("TROUBLE") != "0", dir: dir, bed: testbed.New(), start: clock.Wall()}
	broken, err := do(env)
	for i := len(env.cleanups) - 1; i >= 0; i-- {
		env.cleanups[i]()
	}
	_ = os.RemoveAll(dir)
	code, verdict := 0, "the rule held"
	switch {
	case err != nil:
		code, verdict = 2, "the case could not run: "+err.Error()
	case len(broken) > 0:
		code, verdict = 1, "the rule was broken:\n  "+strings.Join(broken, "\n  ")
	}
	if err := env.writeRecord(record, verdict); err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 2
	}
	fmt.Printf("case %s, trouble %v: %s\n", name, env.trouble, verdict)
	return code
}

// note adds a line to the record.
func (e *caseEnv) note(format string, args ...any) {
	now := clock.Wall()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.notes = append(e.notes, fmt.Sprintf("%s +%.3fs %s", now.Format("15:04:05.000000"), now.Sub(e.start).Seconds(), fmt.Sprintf(format, args...)))
}

// cleanup has f called at the end of the case.
func (e *caseEnv) cleanup(f func()) { e.cleanups = append(e.cleanups, f) }

// writeRecord writes the verdict, the notes and all events.
func (e *caseEnv) writeRecord(file, verdict string) error {
	var b strings.Builder
	fmt.Fprintf(&b, "trouble: %v\nresult: %s\n\nwhat was done:\n", e.trouble, verdict)
	e.mu.Lock()
	for _, n := range e.notes {
		fmt.Fprintln(&b, n)
	}
	e.mu.Unlock()
	fmt.Fprintln(&b, "\nwhat passed:")
	for _, ev := range e.bed.Events() {
		fmt.Fprintln(&b, ev.String())
	}
	return os.WriteFile(file, []byte(b.String()), 0o644)
}

// node is one dispatcher with the files and the address that outlast its processes.
type node struct {
	env        *caseEnv
	addr       string
	configFile string
	stateDir   string
	cmd        *exec.Cmd
	exited     chan struct{}
}

// newNode returns a dispatcher that is not started.
func (e *caseEnv) newNode(name string) (*node, error) {
	addr, err := testbed.FreeAddr()
	if err != nil {
		return nil, err
	}
	return &node{env: e, addr: addr, configFile: filepath.Join(e.dir, name+".json"), stateDir: filepath.Join(e.dir, name+"-state")}, nil
}

// configure writes the configuration file.
func (n *node) configure(text string) error {
	if err := os.WriteFile(n.configFile+".new", []byte(text), 0o644); err != nil {
		return err
	}
	return os.Rename(n.configFile+".new", n.configFile)
}

// launch starts a process and does not wait until it is ready.
func (n *node) launch() error {
	n.cmd = exec.Command("/bin/sh", "-c", n.env.run)
	n.cmd.Env = append(os.Environ(), "EDGE_CONFIG="+n.configFile, "EDGE_STATE="+n.stateDir)
	log, err := os.OpenFile(n.configFile+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	n.cmd.Stdout, n.cmd.Stderr = log, log
	if err := n.cmd.Start(); err != nil {
		return err
	}
	_ = log.Close()
	cmd, exited := n.cmd, make(chan struct{})
	n.exited = exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	n.env.note("dispatcher started")
	n.env.cleanup(func() {
		_ = cmd.Process.Kill()
		<-exited
	})
	return nil
}

// awaitReady waits until the process is ready, 30 s at most.
func (n *node) awaitReady() error {
	watch := clock.StartStopwatch()
	for watch.Elapsed() < 30*time.Second {
		if n.ready() {
			n.env.note("dispatcher ready")
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return errors.New("the dispatcher did not get ready within 30 s")
}

// ready reports whether GET /ready is answered 200.
func (n *node) ready() bool {
	c, err := net.DialTimeout("tcp", n.addr, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(clock.After(time.Second))
	if _, err := c.Write([]byte("GET /ready HTTP/1.1\r\nHost: api.internal\r\n\r\n")); err != nil {
		return false
	}
	status, err := testbed.ReadStatus(c)
	return err == nil && status == 200
}

// start starts a process and waits until it is ready.
func (n *node) start() error {
	if err := n.launch(); err != nil {
		return err
	}
	return n.awaitReady()
}

// kill sends SIGKILL and waits for the end of the process.
func (n *node) kill() {
	_ = n.cmd.Process.Signal(syscall.SIGKILL)
	<-n.exited
	n.env.note("dispatcher killed (SIGKILL)")
}

// alive reports whether the process runs.
func (n *node) alive() bool {
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

// log returns what the dispatcher wrote to its log.
func (n *node) log() string {
	text, _ := os.ReadFile(n.configFile + ".log")
	return string(text)
}

// names numbers messages.
var names atomic.Int64

// newName returns a fresh message id.
func newName(prefix string) string { return fmt.Sprintf("%s%06d", prefix, names.Add(1)) }

// every calls f at a steady rate for a span of time, each call on a goroutine of its own, and returns when all have returned.
func every(interval, span time.Duration, f func(i int)) {
	var wg sync.WaitGroup
	watch := clock.StartStopwatch()
	for i := 0; time.Duration(i)*interval < span; i++ {
		time.Sleep(time.Duration(i)*interval - watch.Elapsed())
		wg.Go(func() { f(i) })
	}
	wg.Wait()
}

// configuration returns a configuration file. The settings are those of a small deployment: three classes, one of each effect, two
// kinds of endpoint, of which the first takes ten messages in a call.
func configuration(listen, discovery, known string, limits, settings string) string {
	return fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964","limits":%s,"known":%s,"settings":%s}`,
		listen, discovery, limits, known, settings)
}

// smallLimits are the limits of one dispatcher.
const smallLimits = `{"cores":1.0,"memory_mb":128,"sockets":512,"disk_mb":3}`

// smallSettings are the settings of a small deployment.
const smallSettings = `{"instances":1,"me":0,"zone":0,"tick":5000,"dcs":["east","west"],"host-types":["large","small"],
 "classes":[
  {"name":"sync","effect":"guarded","gain":1,"group":"all","target":2500000,"hard-limit":24000000,"late-worth":0.5,"window":10000000},
  {"name":"status","effect":"free","gain":2,"group":"all","target":1500000,"hard-limit":5000000,"late-worth":0,"window":5000000},
  {"name":"upload","effect":"single_shot","gain":5,"group":"all","target":2500000,"hard-limit":28000000,"late-worth":0.4,"window":5000000}],
 "extra":{"batch-by-kind":[10,1],"slots":13,"routes-apart":[false,false],"late":"linear"},"weights":"none",
 "limits":{"conn-idle":5000000,"connect-timeout":1500000,"max-open":313,"max-retry-after":2000000,"may-cancel":true,"most-tries":6,
  "probes":true,"retry-after":true,"streams-per-conn":8},"membership-mode":"automatic",
 "rules":{"answer-slack":20000,"cold-from":0.19,"overload-for":2000000,"stop-sending-within":1000000,"tip-multiple":2,"warm-up":10000000},
 "report":{"names":[],"via":"none"},"over-share-worth":0.05,"tenants":[{"name":"core","fraction":1,"quota-per-s":100}]}`
