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

// baseSettings holds two classes, a tenant and a partner with two push resources.
const baseSettings = `[class status]
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

// startService starts a dispatcher with one partner at partnerAddr and extra settings.
func startService(t *testing.T, partnerAddr, extraSections string) *Service {
	t.Helper()
	return startFromText(t, "[dispatcher]\nlisten = 127.0.0.1:0\nstop-within = 1s\n"+strings.Replace(baseSettings, "ADDRESS", partnerAddr, 1)+extraSections)
}

// startFromText starts a dispatcher with settings.
func startFromText(t *testing.T, text string) *Service {
	t.Helper()
	cfg, err := config.Parse("test", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	log, _ := logs.New(io.Discard, "info", 100)
	dispatcher, err := Start(cfg, log, nil)
	if err != nil {
		t.Fatal(err)
	}
	return dispatcher
}

// startHTTP2Partner starts a partner that uses the HTTP/2 server of net/http, an independent implementation.
func startHTTP2Partner(t *testing.T, handler http.HandlerFunc) (addr string, srv *http.Server) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var p http.Protocols
	p.SetUnencryptedHTTP2(true)
	srv = &http.Server{Handler: handler, Protocols: &p}
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { _ = srv.Close() })
	return ln.Addr().String(), srv
}

// postMessage posts a message and returns the status of the response.
func postMessage(c *load.Client, path string, more ...func(*load.Message)) (status int, err error) {
	m := load.Message{CorrelationID: "x", Class: "status", Path: path, Token: "secret", TTL: 3}
	for _, f := range more {
		f(&m)
	}
	ctx, stop := context.WithTimeout(context.Background(), 20*time.Second)
	defer stop()
	status, _, _, err = c.Send(ctx, &m)
	return status, err
}

// Client and partner are net/http. Small and large bodies arrive complete, with the header fields that the protocol requires.
func TestBetweenNetHTTPPeers(t *testing.T) {
	var mu sync.Mutex
	sizes := map[int]int{}
	addr, _ := startHTTP2Partner(t, func(w http.ResponseWriter, r *http.Request) {
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
	dispatcher := startService(t, addr, "")
	defer dispatcher.Kill()
	client := load.NewClient(dispatcher.Addr().String(), 3)
	defer client.Close()
	var clients sync.WaitGroup
	var bad atomic.Int64
	for i := range 200 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			size := 100 + (i%5)*50000
			if status, err := postMessage(client, "/p/upload", func(m *load.Message) { m.BodySize = size }); status != 201 || err != nil {
				bad.Add(1)
				t.Log(status, err)
			}
		}()
	}
	clients.Wait()
	if bad.Load() > 0 || len(sizes) != 5 || sizes[200100] != 40 {
		t.Errorf("%d bad, sizes %v", bad.Load(), sizes)
	}
}

// A partner that shuts down under load sends GOAWAY. No message in flight is lost, and none is sent twice.
func TestPartnerShutsDownUnderLoad(t *testing.T) {
	var served atomic.Int64
	addr, srv := startHTTP2Partner(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(20 * time.Millisecond)
		served.Add(1)
		w.WriteHeader(201)
	})
	dispatcher := startService(t, addr, "")
	defer dispatcher.Kill()
	client := load.NewClient(dispatcher.Addr().String(), 1)
	defer client.Close()
	var clients sync.WaitGroup
	var ok atomic.Int64
	first := make(chan struct{})
	var once sync.Once
	for range 50 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			if status, _ := postMessage(client, "/p/upload"); status == 201 {
				ok.Add(1)
			}
			once.Do(func() { close(first) })
		}()
	}
	<-first
	_ = srv.Shutdown(context.Background())
	clients.Wait()
	if ok.Load() != served.Load() {
		t.Errorf("the partner served %d messages, %d were answered as served", served.Load(), ok.Load())
	}
}

// In the device dialect each device has a path. A device that answers 410 says nothing about the health of the partner, so
// other devices are still served.
func TestDeviceDialect(t *testing.T) {
	addr, _ := startHTTP2Partner(t, func(w http.ResponseWriter, r *http.Request) {
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
	text := "[dispatcher]\nlisten = 127.0.0.1:0\n" + strings.Replace(baseSettings, "ADDRESS", addr, 1)
	text = strings.Replace(text, "[kind k]", "[kind k]\ndialect = device", 1)
	text = strings.Replace(text, "endpoints =", "path = /3/device\nendpoints =", 1)
	text = strings.ReplaceAll(text, "[push /p/status]", "[push /p/status/*]")
	dispatcher := startFromText(t, text)
	defer dispatcher.Kill()
	client := load.NewClient(dispatcher.Addr().String(), 1)
	defer client.Close()
	for range 10 { // more consecutive failures than outlier detection tolerates
		if status, err := postMessage(client, "/p/status/gone"); status != 502 {
			t.Error("gone:", status, err)
		}
	}
	if status, err := postMessage(client, "/p/status/here"); status != 201 {
		t.Error("here:", status, err)
	}
}

// Each admission limit has its own status, and no bytes stay reserved afterwards.
func TestAdmissionLimits(t *testing.T) {
	release := make(chan struct{})
	addr, _ := startHTTP2Partner(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		w.WriteHeader(201)
	})
	defer close(release)
	dispatcher := startService(t, addr, "[limits]\nhold = 16\nbody = 64KiB\nheaders = 4KiB\nhold-bytes = 128KiB\n")
	defer dispatcher.Kill()
	client := load.NewClient(dispatcher.Addr().String(), 2)
	defer client.Close()
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
		if status, err := postMessage(client, "/p/status", k.change); status != k.status {
			t.Errorf("%s: %d %v, want %d", k.name, status, err, k.status)
		}
	}
	if got := sendLargeHeaders(t, dispatcher.Addr().String()); got != "431" {
		t.Errorf("headers above the limit: %s", got)
	}
	var clients sync.WaitGroup
	var full atomic.Int64
	for range 60 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			if status, _ := postMessage(client, "/p/status", func(m *load.Message) { m.TTL = 1; m.BodySize = 6000 }); status == 503 || status == 504 {
				full.Add(1)
			}
		}()
	}
	clients.Wait()
	if full.Load() != 60 {
		t.Errorf("%d of 60 messages were refused or failed at a partner that does not answer", full.Load())
	}
	if n := dispatcher.Admission().Usage().Bytes; n != 0 {
		t.Errorf("%d bytes are still reserved", n)
	}
}

// sendLargeHeaders sends a header section larger than the dispatcher's SETTINGS allow. A client that respects SETTINGS would
// not send it. It returns the status of the response.
func sendLargeHeaders(t *testing.T, addr string) (status string) {
	client := dialRawClient(t, addr)
	defer client.conn.Close()
	if err := client.readUntil(func(e h2.Event) bool { return e.Kind == h2.Ready }); err != nil {
		t.Fatal(err)
	}
	var block bytes.Buffer
	enc := hpack.NewEncoder(&block)
	for _, f := range append(requestFields("/p/status"), h2.Field{Name: "x", Value: strings.Repeat("x", 5000)}) {
		_ = enc.WriteField(f)
	}
	if _, err := client.h2conn.Request(0, requestFields("/p/status"), nil); err != nil { // opens stream 1 in the client's state
		t.Fatal(err)
	}
	client.h2conn.Output()
	_, _ = client.conn.Write(h2.AppendFrame(nil, h2.FrameHeaders, h2.FlagEndHeaders|h2.FlagEndStream, 1, block.Bytes()))
	if err := client.readUntil(func(e h2.Event) bool {
		status = h2.Value(e.Fields, ":status")
		return e.Kind == h2.Headers
	}); err != nil {
		t.Fatal(err)
	}
	return status
}

// rawClient is a client on a raw socket, which can do things that net/http does not do.
type rawClient struct {
	t      *testing.T
	conn   net.Conn
	h2conn *h2.Conn
}

// dialRawClient connects a rawClient.
func dialRawClient(t *testing.T, addr string) *rawClient {
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	return &rawClient{t, nc, h2.NewClient(h2.Config{}, 0)}
}

// readUntil reads until found returns true for an event, or until the connection ends.
func (r *rawClient) readUntil(found func(h2.Event) bool) error {
	buf := make([]byte, 1<<16)
	for {
		if _, err := r.conn.Write(r.h2conn.Output()); err != nil {
			return err
		}
		_ = r.conn.SetReadDeadline(time.Now().Add(20 * time.Second))
		n, err := r.conn.Read(buf)
		if err != nil {
			return err
		}
		events, err := r.h2conn.Receive(0, buf[:n])
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

// requestFields returns the header section of a valid request.
func requestFields(path string) []h2.Field {
	return []h2.Field{{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"}, {Name: ":path", Value: path},
		{Name: "authorization", Value: "Bearer secret"}, {Name: "ttl", Value: "3"}}
}

// expectOtherClientServed checks that another client still gets its answer, with the given status.
func expectOtherClientServed(t *testing.T, dispatcher *Service, want int) {
	t.Helper()
	client := load.NewClient(dispatcher.Addr().String(), 1)
	defer client.Close()
	if status, err := postMessage(client, "/p/status"); status != want {
		t.Error("another client:", status, err)
	}
}

// A client that keeps its flow-control window at zero while answers wait is disconnected. Other clients are not affected.
func TestClientThatReadsNoAnswers(t *testing.T) {
	addr, _ := startHTTP2Partner(t, func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(400) }) // the dispatcher's 502 responses have bodies
	dispatcher := startService(t, addr, "[limits]\nstall = 300ms\n")
	defer dispatcher.Kill()
	client := dialRawClient(t, dispatcher.Addr().String())
	defer client.conn.Close()
	if err := client.readUntil(func(e h2.Event) bool { return e.Kind == h2.Ready }); err != nil {
		t.Fatal(err)
	}
	shut := h2.AppendFrame(nil, h2.FrameSettings, 0, 0, []byte{0, 4, 0, 0, 0, 0}) // SETTINGS_INITIAL_WINDOW_SIZE 0
	_, _ = client.conn.Write(shut)
	if _, err := client.h2conn.Request(0, requestFields("/p/status"), []byte("x")); err != nil {
		t.Fatal(err)
	}
	away := false
	err := client.readUntil(func(e h2.Event) bool {
		away = away || e.Kind == h2.GoAwayReceived && e.Code == h2.FlowControlError
		return e.Kind == h2.Data
	})
	if err == nil || !away {
		t.Errorf("the connection was not closed: %v, GOAWAY %v", err, away)
	}
	expectOtherClientServed(t, dispatcher, 502)
}

// A missing preface, a request in another protocol and a flood of resets close their connections and affect no other client.
func TestAbuseClosesItsConnection(t *testing.T) {
	addr, _ := startHTTP2Partner(t, func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(201) })
	dispatcher := startService(t, addr, "[limits]\nhandshake = 200ms\nabuse-burst = 50\nabuse-rate = 10/s\n")
	defer dispatcher.Kill()
	for name, send := range map[string]func(*rawClient) error{
		"nothing": func(r *rawClient) error { return nil },
		"HTTP/1": func(r *rawClient) error {
			_, err := io.WriteString(r.conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
			return err
		},
		"resets": func(r *rawClient) error {
			if err := r.readUntil(func(e h2.Event) bool { return e.Kind == h2.Ready }); err != nil {
				return err
			}
			for range 100 {
				id, err := r.h2conn.Request(0, requestFields("/p/status"), []byte("x"))
				if err != nil {
					break
				}
				r.h2conn.Reset(0, id, h2.Cancel)
			}
			_, err := r.conn.Write(r.h2conn.Output())
			return err
		},
	} {
		client := dialRawClient(t, dispatcher.Addr().String())
		if name != "resets" {
			client.h2conn = h2.NewClient(h2.Config{}, 0)
			client.h2conn.Output()
		}
		if err := send(client); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		_ = client.conn.SetReadDeadline(time.Now().Add(20 * time.Second))
		if _, err := io.Copy(io.Discard, client.conn); err != nil && strings.Contains(err.Error(), "timeout") {
			t.Errorf("%s: the connection is still open", name)
		}
		_ = client.conn.Close()
	}
	expectOtherClientServed(t, dispatcher, 201)
}

// Connections above the limit are rejected. Clients that are already connected are still served.
func TestConnectionLimit(t *testing.T) {
	addr, _ := startHTTP2Partner(t, func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(201) })
	dispatcher := startService(t, addr, "[limits]\nconnections = 1\n")
	defer dispatcher.Kill()
	client := load.NewClient(dispatcher.Addr().String(), 1)
	defer client.Close()
	if status, err := postMessage(client, "/p/status"); status != 201 {
		t.Fatal(status, err)
	}
	excess := dialRawClient(t, dispatcher.Addr().String())
	defer excess.conn.Close()
	if err := excess.readUntil(func(e h2.Event) bool { return e.Kind == h2.Ready }); err == nil {
		t.Error("a second connection was accepted")
	}
	if status, err := postMessage(client, "/p/status"); status != 201 {
		t.Error(status, err)
	}
}

// A graceful stop answers all accepted messages and then ends, even if the partner does not answer.
func TestGracefulStop(t *testing.T) {
	release := make(chan struct{})
	arrived := make(chan struct{}, 100)
	addr, _ := startHTTP2Partner(t, func(w http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		<-release
	})
	defer close(release)
	dispatcher := startService(t, addr, "")
	client := load.NewClient(dispatcher.Addr().String(), 1)
	defer client.Close()
	answers := make(chan int, 10)
	for range 10 {
		go func() {
			status, _ := postMessage(client, "/p/upload")
			answers <- status
		}()
	}
	for range 10 {
		<-arrived
	}
	ctx, done := context.WithTimeout(context.Background(), 20*time.Second)
	defer done()
	if !dispatcher.Stop(ctx) {
		t.Error("the stop left messages without an answer")
	}
	for range 10 {
		if status := <-answers; status != 502 && status != 504 {
			t.Error("status", status)
		}
	}
}

// One invalid line makes a list file invalid.
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

// The rate of log lines is limited, so that a fault cannot flood the log.
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
		t.Error(fmt.Sprint("log level loud was accepted"))
	}
}
