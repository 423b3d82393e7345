package service

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/net/http2/hpack"

	"whinrun/internal/config"
	"whinrun/internal/h2"
	"whinrun/internal/load"
	"whinrun/internal/logs"
)

const base = `[class status]
effect = safe
aim = 1s
deadline = 4s
[class upload]
effect = unsafe
aim = 1s
deadline = 4s
[tenant t]
token = secret
[kind k]
[partner p]
kind = k
endpoints = ADDRESS
[push /p/status]
partner = p
class = status
tenant = t
[push /p/upload]
partner = p
class = upload
tenant = t
`

// start starts a dispatcher with one partner at addr and further settings.
func start(t *testing.T, addr, more string) *Service {
	t.Helper()
	text := "[dispatcher]\nlisten = 127.0.0.1:0\nstop-within = 1s\n" + strings.Replace(base, "ADDRESS", addr, 1) + more
	cfg, err := config.Parse("test", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	log, _ := logs.New(io.Discard, "info", 100)
	s, err := Start(cfg, log, nil)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// peer is a partner that we did not write: net/http's HTTP/2 server.
func peer(t *testing.T, h http.HandlerFunc) (addr string, srv *http.Server) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var p http.Protocols
	p.SetUnencryptedHTTP2(true)
	srv = &http.Server{Handler: h, Protocols: &p}
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { _ = srv.Close() })
	return ln.Addr().String(), srv
}

func post(c *load.Client, path string, more ...func(*load.Message)) (status int, err error) {
	m := load.Message{CorrelationID: "x", Class: "status", Path: path, Token: "secret", TTL: 3}
	for _, f := range more {
		f(&m)
	}
	ctx, stop := context.WithTimeout(context.Background(), 20*time.Second)
	defer stop()
	status, _, _, err = c.Send(ctx, &m)
	return status, err
}

// Interop on both sides with net/http: bodies large and small arrive whole, with what the protocol asks for.
func TestBetweenNetHTTPPeers(t *testing.T) {
	var mu sync.Mutex
	sizes := map[int]int{}
	addr, _ := peer(t, func(w http.ResponseWriter, r *http.Request) {
		b, err := io.ReadAll(r.Body)
		mu.Lock()
		defer mu.Unlock()
		if err != nil || r.Method != "POST" || r.Header.Get("Ttl") == "" || r.Header.Get("Whinrun-Message") == "" || r.ContentLength != int64(len(b)) {
			w.WriteHeader(400)
			return
		}
		sizes[len(b)]++
		w.Header().Set("Location", "/d/1")
		w.WriteHeader(201)
	})
	s := start(t, addr, "")
	defer s.Kill()
	c := load.NewClient(s.Addr().String(), 3)
	defer c.Close()
	var all sync.WaitGroup
	var bad atomic.Int64
	for i := range 200 {
		all.Add(1)
		go func() {
			defer all.Done()
			size := 100 + (i%5)*50000
			if status, err := post(c, "/p/upload", func(m *load.Message) { m.BodySize = size }); status != 201 || err != nil {
				bad.Add(1)
				t.Log(status, err)
			}
		}()
	}
	all.Wait()
	if bad.Load() > 0 || len(sizes) != 5 || sizes[200100] != 40 {
		t.Errorf("%d bad, sizes %v", bad.Load(), sizes)
	}
}

// A peer of net/http that shuts down sends GOAWAY: nothing that was out is lost, and nothing is sent twice.
func TestPartnerShutsDownUnderLoad(t *testing.T) {
	var served atomic.Int64
	addr, srv := peer(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(20 * time.Millisecond)
		served.Add(1)
		w.WriteHeader(201)
	})
	s := start(t, addr, "")
	defer s.Kill()
	c := load.NewClient(s.Addr().String(), 1)
	defer c.Close()
	var all sync.WaitGroup
	var ok atomic.Int64
	first := make(chan struct{})
	var once sync.Once
	for range 50 {
		all.Add(1)
		go func() {
			defer all.Done()
			if status, _ := post(c, "/p/upload"); status == 201 {
				ok.Add(1)
			}
			once.Do(func() { close(first) })
		}()
	}
	<-first
	_ = srv.Shutdown(context.Background())
	all.Wait()
	if ok.Load() != served.Load() {
		t.Errorf("%d served by the peer, %d answered as served", served.Load(), ok.Load())
	}
}

// The device dialect: a path per device, refusals with a reason in JSON; a device that is gone says nothing of the
// partner, so that others are served on.
func TestDeviceDialect(t *testing.T) {
	addr, _ := peer(t, func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Header.Get("Apns-Id") == "" || r.Header.Get("Apns-Expiration") == "":
			w.WriteHeader(500)
		case r.URL.Path == "/3/device/gone":
			w.WriteHeader(410)
			_, _ = io.WriteString(w, `{"reason":"Unregistered"}`)
		case r.URL.Path != "/3/device/here":
			w.WriteHeader(500)
		}
	})
	text := "[dispatcher]\nlisten = 127.0.0.1:0\n" + strings.Replace(base, "ADDRESS", addr, 1)
	text = strings.Replace(text, "[kind k]", "[kind k]\ndialect = device", 1)
	text = strings.Replace(text, "endpoints =", "path = /3/device\nendpoints =", 1)
	text = strings.ReplaceAll(text, "[push /p/status]", "[push /p/status/*]")
	cfg, err := config.Parse("test", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	log, _ := logs.New(io.Discard, "info", 100)
	s, err := Start(cfg, log, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Kill()
	c := load.NewClient(s.Addr().String(), 1)
	defer c.Close()
	for range 10 { // more in a row than make an endpoint suspect
		if status, err := post(c, "/p/status/gone"); status != 502 {
			t.Error("gone:", status, err)
		}
	}
	if status, err := post(c, "/p/status/here"); status != 201 {
		t.Error("here:", status, err)
	}
}

// Every limit at the door has its answer.
func TestAdmissionLimits(t *testing.T) {
	block := make(chan struct{})
	addr, _ := peer(t, func(w http.ResponseWriter, r *http.Request) {
		<-block
		w.WriteHeader(201)
	})
	defer close(block)
	s := start(t, addr, "[limits]\nhold = 16\nbody = 64KiB\nheaders = 4KiB\nhold-bytes = 128KiB\n")
	defer s.Kill()
	c := load.NewClient(s.Addr().String(), 2)
	defer c.Close()
	for _, k := range []struct {
		name   string
		status int
		change func(*load.Message)
	}{
		{"body above the limit", 413, func(m *load.Message) { m.BodySize = 70000 }},
		{"wrong token", 401, func(m *load.Message) { m.Token = "wrong" }},
		{"no such resource", 404, func(m *load.Message) { m.Path = "/q" }},
		{"bad topic", 400, func(m *load.Message) { m.OrderKey = "no topic" }},
	} {
		if status, err := post(c, "/p/status", k.change); status != k.status {
			t.Errorf("%s: %d %v, want %d", k.name, status, err, k.status)
		}
	}
	if got := largeHeaders(t, s.Addr().String()); got != "431" {
		t.Errorf("headers above the limit: %s", got)
	}
	var all sync.WaitGroup
	var full atomic.Int64
	for range 60 {
		all.Add(1)
		go func() {
			defer all.Done()
			if status, _ := post(c, "/p/status", func(m *load.Message) { m.TTL = 1; m.BodySize = 6000 }); status == 503 || status == 504 {
				full.Add(1)
			}
		}()
	}
	all.Wait()
	if full.Load() != 60 {
		t.Errorf("%d of 60 refused or failed at a partner that answers nothing", full.Load())
	}
	if n := s.Admission().Usage().Bytes; n != 0 {
		t.Errorf("%d bytes are still reserved", n)
	}
}

// largeHeaders sends a header section above what the dispatcher's SETTINGS allow, which a polite client does not.
func largeHeaders(t *testing.T, addr string) (status string) {
	r := dialRaw(t, addr)
	defer r.nc.Close()
	if err := r.until(func(e h2.Event) bool { return e.Kind == h2.Ready }); err != nil {
		t.Fatal(err)
	}
	var block bytes.Buffer
	enc := hpack.NewEncoder(&block)
	for _, f := range append(fields("/p/status"), h2.Field{Name: "x", Value: strings.Repeat("x", 5000)}) {
		_ = enc.WriteField(f)
	}
	if _, err := r.h.Request(0, fields("/p/status"), nil); err != nil { // opens stream 1 in the client's books
		t.Fatal(err)
	}
	r.h.Output()
	_, _ = r.nc.Write(h2.AppendFrame(nil, h2.FrameHeaders, h2.FlagEndHeaders|h2.FlagEndStream, 1, block.Bytes()))
	if err := r.until(func(e h2.Event) bool {
		status = h2.Value(e.Fields, ":status")
		return e.Kind == h2.Headers
	}); err != nil {
		t.Fatal(err)
	}
	return status
}

// raw is a client on a bare socket, for what net/http would not do.
type raw struct {
	t  *testing.T
	nc net.Conn
	h  *h2.Conn
}

func dialRaw(t *testing.T, addr string) *raw {
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	return &raw{t, nc, h2.NewClient(h2.Config{}, 0)}
}

// until reads until an event is found, or the connection ends.
func (r *raw) until(found func(h2.Event) bool) error {
	buf := make([]byte, 1<<16)
	for {
		if _, err := r.nc.Write(r.h.Output()); err != nil {
			return err
		}
		_ = r.nc.SetReadDeadline(time.Now().Add(20 * time.Second))
		n, err := r.nc.Read(buf)
		if err != nil {
			return err
		}
		events, err := r.h.Receive(0, buf[:n])
		for _, e := range events {
			if found(e) {
				return nil
			}
		}
		if err != nil {
			return err
		}
	}
}

func fields(path string) []h2.Field {
	return []h2.Field{{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"}, {Name: ":path", Value: path},
		{Name: "authorization", Value: "Bearer secret"}, {Name: "ttl", Value: "3"}}
}

// others checks that another client has its answer all the same.
func others(t *testing.T, s *Service, want int) {
	t.Helper()
	c := load.NewClient(s.Addr().String(), 1)
	defer c.Close()
	if status, err := post(c, "/p/status"); status != want {
		t.Error("another client:", status, err)
	}
}

// A client that keeps its window shut while answers wait is cut off; others go on.
func TestClientThatReadsNoAnswers(t *testing.T) {
	addr, _ := peer(t, func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(400) }) // its answers have bodies
	s := start(t, addr, "[limits]\nstall = 300ms\n")
	defer s.Kill()
	r := dialRaw(t, s.Addr().String())
	defer r.nc.Close()
	if err := r.until(func(e h2.Event) bool { return e.Kind == h2.Ready }); err != nil {
		t.Fatal(err)
	}
	shut := h2.AppendFrame(nil, h2.FrameSettings, 0, 0, []byte{0, 4, 0, 0, 0, 0}) // SETTINGS_INITIAL_WINDOW_SIZE 0
	_, _ = r.nc.Write(shut)
	if _, err := r.h.Request(0, fields("/p/status"), []byte("x")); err != nil {
		t.Fatal(err)
	}
	away := false
	err := r.until(func(e h2.Event) bool {
		away = away || e.Kind == h2.GoAwayReceived && e.Code == h2.FlowControlError
		return e.Kind == h2.Data
	})
	if err == nil || !away {
		t.Errorf("the connection is not ended: %v, GOAWAY %v", err, away)
	}
	others(t, s, 502)
}

// A preface that does not come, garbage, and a flood of resets end their connections and nothing else.
func TestAbuseClosesItsConnection(t *testing.T) {
	addr, _ := peer(t, func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(201) })
	s := start(t, addr, "[limits]\nhandshake = 200ms\nabuse-burst = 50\nabuse-rate = 10/s\n")
	defer s.Kill()
	for name, send := range map[string]func(*raw) error{
		"nothing": func(r *raw) error { return nil },
		"HTTP/1": func(r *raw) error {
			_, err := io.WriteString(r.nc, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
			return err
		},
		"resets": func(r *raw) error {
			if err := r.until(func(e h2.Event) bool { return e.Kind == h2.Ready }); err != nil {
				return err
			}
			for range 100 {
				id, err := r.h.Request(0, fields("/p/status"), []byte("x"))
				if err != nil {
					break
				}
				r.h.Reset(0, id, h2.Cancel)
			}
			_, err := r.nc.Write(r.h.Output())
			return err
		},
	} {
		r := dialRaw(t, s.Addr().String())
		if name != "resets" {
			r.h = h2.NewClient(h2.Config{}, 0)
			r.h.Output()
		}
		if err := send(r); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		_ = r.nc.SetReadDeadline(time.Now().Add(20 * time.Second))
		if _, err := io.Copy(io.Discard, r.nc); err != nil && strings.Contains(err.Error(), "timeout") {
			t.Errorf("%s: the connection is still open", name)
		}
		_ = r.nc.Close()
	}
	others(t, s, 201)
}

// Clients above the limit of connections are turned away, those there are served.
func TestConnectionLimit(t *testing.T) {
	addr, _ := peer(t, func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(201) })
	s := start(t, addr, "[limits]\nconnections = 1\n")
	defer s.Kill()
	c := load.NewClient(s.Addr().String(), 1)
	defer c.Close()
	if status, err := post(c, "/p/status"); status != 201 {
		t.Fatal(status, err)
	}
	r := dialRaw(t, s.Addr().String())
	defer r.nc.Close()
	if err := r.until(func(e h2.Event) bool { return e.Kind == h2.Ready }); err == nil {
		t.Error("a second connection is served")
	}
	if status, err := post(c, "/p/status"); status != 201 {
		t.Error(status, err)
	}
}

// An orderly stop answers what was taken, also where the partner answers nothing, and then ends.
func TestGracefulStop(t *testing.T) {
	block := make(chan struct{})
	arrived := make(chan struct{}, 100)
	addr, _ := peer(t, func(w http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		<-block
	})
	defer close(block)
	s := start(t, addr, "")
	c := load.NewClient(s.Addr().String(), 1)
	defer c.Close()
	answers := make(chan int, 10)
	for range 10 {
		go func() {
			status, _ := post(c, "/p/upload")
			answers <- status
		}()
	}
	for range 10 {
		<-arrived
	}
	ctx, done := context.WithTimeout(context.Background(), 20*time.Second)
	defer done()
	if !s.Stop(ctx) {
		t.Error("stopped without all answers")
	}
	for range 10 {
		if status := <-answers; status != 502 && status != 504 {
			t.Error("status", status)
		}
	}
}

// The list file: one bad line voids it, the list before it stays valid.
func TestParseList(t *testing.T) {
	lines, err := ParseList("f", []byte("# list\np 127.0.0.1:1 ready\n\np 127.0.0.1:2 draining\n"))
	if err != nil || len(lines) != 2 {
		t.Error(lines, err)
	}
	for _, bad := range []string{"p 127.0.0.1:1", "p nowhere ready", "p 127.0.0.1:1 perhaps"} {
		if _, err := ParseList("f", []byte("\n"+bad)); err == nil || !strings.HasPrefix(err.Error(), "f:2: ") {
			t.Errorf("%q: %v", bad, err)
		}
	}
}

func FuzzParseList(f *testing.F) {
	f.Add([]byte("p 127.0.0.1:1 ready"))
	f.Fuzz(func(t *testing.T, b []byte) { _, _ = ParseList("f", b) })
}

// Logs are bounded: what a fault would flood is counted instead.
func TestLogRateIsLimited(t *testing.T) {
	var b bytes.Buffer
	l, err := logs.New(&b, "info", 5)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 1000 {
		l.Warn("test", "line %d", i)
	}
	if n := bytes.Count(b.Bytes(), []byte("\n")); n < 5 || n > 30 {
		t.Error(n, "lines of 1000")
	}
	if _, err := logs.New(&b, "loud", 5); err == nil {
		t.Error(fmt.Sprint("level loud is taken"))
	}
}
