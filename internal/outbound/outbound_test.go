package outbound

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"whinrun/control"
	"whinrun/internal/clock"
	"whinrun/internal/dialscheduler"
	"whinrun/internal/engine"
	"whinrun/internal/h2"
)

// TestMain is also the partner in a process of its own, so that it does not share this one's descriptors.
func TestMain(m *testing.M) {
	if os.Getenv("OUTBOUND_TEST_PEER") == "" {
		os.Exit(m.Run())
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		os.Exit(1)
	}
	var p http.Protocols
	p.SetUnencryptedHTTP2(true)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(201) }), Protocols: &p}
	go func() { _ = srv.Serve(ln) }()
	fmt.Println(ln.Addr())
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// peer starts the partner and returns its address.
func peer(t *testing.T) netip.AddrPort {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "OUTBOUND_TEST_PEER=1")
	in, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = in.Close()
		_ = cmd.Wait()
	})
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	return netip.MustParseAddrPort(strings.TrimSpace(line))
}

// speech is the plainest: every endpoint is the peer.
type speech struct{ addr netip.AddrPort }

func (s speech) Address(control.EndpointID) (netip.AddrPort, bool) { return s.addr, true }
func (s speech) Request(*engine.Attempt, time.Duration) []h2.Field {
	return []h2.Field{{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"}, {Name: ":authority", Value: "p"}, {Name: ":path", Value: "/"}}
}
func (s speech) Answer(*engine.Attempt, []h2.Field, []byte) engine.Outcome {
	return engine.Outcome{Kind: engine.Answered, Status: 201}
}

// gather collects the ends of n attempts, each to an endpoint of its own.
func gather(t *testing.T, cfg Config, n int) (ends map[engine.OutcomeKind]int, most int) {
	t.Helper()
	var mu sync.Mutex
	ends = map[engine.OutcomeKind]int{}
	all := make(chan struct{}, n)
	clock := clock.New()
	p, err := New(cfg, NewHTTP2(speech{peer(t)}), clock, func(e engine.Outcome) {
		mu.Lock()
		ends[e.Kind]++
		mu.Unlock()
		all <- struct{}{}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	for i := range n {
		p.Start([]*engine.Attempt{{Seq: uint64(i + 1), Message: &engine.Message{}, Endpoint: control.EndpointID(i + 1), Deadline: clock.Now() + 60*control.Second}})
	}
	for range n {
		<-all
		most = max(most, p.Connections())
	}
	mu.Lock()
	defer mu.Unlock()
	return ends, most
}

func config() Config {
	return Config{Loops: 1, MaxConnsPerEndpoint: 2, MaxStreams: 10, ConnectTimeout: 20 * time.Second, IdleTimeout: time.Minute, MaxAnswerBytes: 100,
		DialLimits: dialscheduler.Limits{HandshakesPerSecond: 1000, MaxHandshakes: 4, MaxConns: 1000}}
}

// At the bound of connections the longest idle one is closed for a new one: all are served, and never more are open.
func TestTotalMakesRoom(t *testing.T) {
	cfg := config()
	cfg.DialLimits.MaxConns = 5
	ends, most := gather(t, cfg, 60)
	if ends[engine.Answered] != 60 || most > 5 {
		t.Errorf("ends %v, %d connections at once", ends, most)
	}
}

// Out of descriptors attempts wait and are served as connections close; no endpoint is said to be down for it.
func TestDescriptorsRunOut(t *testing.T) {
	var old syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &old); err != nil {
		t.Fatal(err)
	}
	open, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Skip("no list of open descriptors on this system")
	}
	defer func() { _ = syscall.Setrlimit(syscall.RLIMIT_NOFILE, &old) }()
	cfg := config()
	// The peer is started, and the pool's own descriptors are taken, within gather: leave room for those and a few more.
	low := old
	low.Cur = uint64(len(open) + 40)
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &low); err != nil {
		t.Fatal(err)
	}
	ends, most := gather(t, cfg, 100)
	if ends[engine.Answered] != 100 || most >= 60 {
		t.Errorf("ends %v, %d connections at once", ends, most)
	}
}
