package main

import (
	"bufio"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"whinrun/internal/audit"
	"whinrun/internal/load"
)

// build makes the program once for the tests that need a process of its own.
func build(t *testing.T) string {
	t.Helper()
	bin := filepath.Join(t.TempDir(), "whinrun")
	if out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return bin
}

// serve starts the program with a partner that calls block, and returns it with its address.
func serve(t *testing.T, bin string, handle http.HandlerFunc, more ...string) (cmd *exec.Cmd, addr string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var p http.Protocols
	p.SetUnencryptedHTTP2(true)
	srv := &http.Server{Handler: handle, Protocols: &p}
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { _ = srv.Close() })
	text, err := os.ReadFile("../../examples/quickstart.ini")
	if err != nil {
		t.Fatal(err)
	}
	settings := strings.NewReplacer("listen = 127.0.0.1:8420", "listen = 127.0.0.1:0\nstop-within = 1s", "127.0.0.1:8431", ln.Addr().String()).Replace(string(text))
	settings += strings.Join(more, "")
	file := filepath.Join(t.TempDir(), "w.ini")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd = exec.Command(bin, "serve", "--config", file)
	log, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	lines := bufio.NewScanner(log)
	for lines.Scan() {
		if _, rest, ok := strings.Cut(lines.Text(), "listening on "); ok {
			addr, _, _ = strings.Cut(rest, ": ")
			break
		}
	}
	go func() {
		for lines.Scan() {
		}
	}()
	if addr == "" {
		t.Fatal("the program does not say where it listens")
	}
	return cmd, addr
}

// SIGTERM: what was taken is answered within the time set, then the program exits with 0.
func TestTerminate(t *testing.T) {
	block, arrived := make(chan struct{}), make(chan struct{}, 1)
	defer close(block)
	cmd, addr := serve(t, build(t), func(http.ResponseWriter, *http.Request) {
		arrived <- struct{}{}
		<-block
	})
	c := load.NewClient(addr, 1)
	defer c.Close()
	answer := make(chan int, 1)
	go func() {
		status, _, _, _ := c.Send(context.Background(), &load.Message{CorrelationID: "x", Path: "/archive/upload", Token: "quickstart", TTL: 20})
		answer <- status
	}()
	<-arrived
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if status := <-answer; status != 502 && status != 504 {
		t.Error("answer", status)
	}
	if err := cmd.Wait(); err != nil {
		t.Error("exit:", err)
	}
}

// A second signal ends the program at once, with 1.
func TestTerminateTwice(t *testing.T) {
	block, arrived := make(chan struct{}), make(chan struct{}, 1)
	defer close(block)
	cmd, addr := serve(t, build(t), func(http.ResponseWriter, *http.Request) {
		arrived <- struct{}{}
		<-block
	})
	c := load.NewClient(addr, 1)
	defer c.Close()
	go func() {
		_, _, _, _ = c.Send(context.Background(), &load.Message{CorrelationID: "x", Path: "/archive/upload", Token: "quickstart", TTL: 20})
	}()
	<-arrived
	_ = cmd.Process.Signal(syscall.SIGTERM)
	start := time.Now()
	for cmd.ProcessState == nil && time.Since(start) < 500*time.Millisecond { // the first is to be seen as one of its own
		time.Sleep(50 * time.Millisecond)
		_ = cmd.Process.Signal(syscall.SIGTERM)
	}
	var exit *exec.ExitError
	if err := cmd.Wait(); !errors.As(err, &exit) || exit.ExitCode() != 1 {
		t.Error("exit:", err)
	}
}

// A broken setup: one line each, exit code 2, for check and for serve.
func TestCheckExits(t *testing.T) {
	bin := build(t)
	file := filepath.Join(t.TempDir(), "w.ini")
	if err := os.WriteFile(file, []byte("[dispatcher]\nlisten = here\nlags = 1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, verb := range []string{"check", "serve"} {
		out, err := exec.Command(bin, verb, "--config", file).CombinedOutput()
		var exit *exec.ExitError
		if !errors.As(err, &exit) || exit.ExitCode() != 2 || strings.Count(string(out), "\n") != 2 || !strings.Contains(string(out), "w.ini:3: lags: no such key") {
			t.Errorf("%s: %v\n%s", verb, err, out)
		}
	}
	if out, err := exec.Command(bin, "check", "--config", "../../examples/quickstart.ini").CombinedOutput(); err != nil {
		t.Errorf("%v\n%s", err, out)
	}
}

// The program is killed again and again at random moments in load: its trail verifies, no attempt that a partner saw is
// missing but at the end that a kill took, and none is invented. WHINRUN_KILLS sets how often, 5 where it is not set.
func TestKilled(t *testing.T) {
	kills := 5
	if n, err := strconv.Atoi(os.Getenv("WHINRUN_KILLS")); err == nil {
		kills = n
	}
	var mu sync.Mutex
	type call struct{ message, attempt string }
	came := map[call]time.Time{}
	handle := func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		came[call{r.Header.Get("Whinrun-Message"), r.Header.Get("Whinrun-Attempt")}] = time.Now()
		n := len(came)
		mu.Unlock()
		if n%7 == 0 {
			w.WriteHeader(500)
			return
		}
		w.WriteHeader(201)
	}
	bin, folder, rng := build(t), t.TempDir(), rand.New(rand.NewPCG(5, 5))
	for range kills {
		cmd, addr := serve(t, bin, handle, "\n[audit]\nfolder = "+folder+"\nsegment = 64KiB\n")
		c := load.NewClient(addr, 1)
		ctx, stop := context.WithCancel(context.Background())
		var all sync.WaitGroup
		for i := range 8 {
			all.Go(func() {
				for ctx.Err() == nil {
					_, _, _, _ = c.Send(ctx, &load.Message{CorrelationID: "x", Path: []string{"/archive/upload", "/archive/status"}[i%2], Token: "quickstart", TTL: 20})
				}
			})
		}
		time.Sleep(time.Duration(rng.IntN(120)) * time.Millisecond)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		stop()
		all.Wait()
		c.Close()
	}
	store, rep, err := audit.OpenReader(folder)
	if err != nil {
		t.Fatal(err)
	}
	keys, err := audit.PublicKeys(folder)
	if err != nil {
		t.Fatal(err)
	}
	v, err := audit.Verify(store, keys)
	if err != nil || len(v.Problems) > 0 {
		t.Fatal(v.Problems, err)
	}
	records, err := audit.AllRecords(store)
	if err != nil {
		t.Fatal(err)
	}
	epoch := func(m string) string { return m[:max(0, strings.LastIndexByte(m, '-'))] }
	last, started := map[string]time.Time{}, map[call]bool{}
	for _, r := range records {
		if r.Message == "" {
			continue
		}
		last[epoch(r.Message)] = r.Time()
		k := call{r.Message, strconv.Itoa(r.Attempt - 1)}
		if r.Kind == audit.AttemptStarted {
			started[k] = true
		}
		if _, ok := came[k]; r.Kind == audit.AttemptEnded && r.Status > 0 && !ok {
			t.Errorf("attempt %v has an answer, and no partner saw it", k)
		}
	}
	lost := 0
	for k, at := range came {
		if !started[k] {
			if lost++; at.Before(last[epoch(k.message)].Add(-time.Millisecond)) {
				t.Errorf("attempt %v is missing, with later ones there", k)
			}
		}
	}
	t.Logf("%d kills, %d attempts seen, %d lost with the ends that kills took; %d records, %d seals, %v", kills, len(came), lost, v.Records, v.Seals,
		rep.Problems)
	if len(came) == 0 || kills > 2 && v.Seals == 0 {
		t.Error("nothing was tried")
	}
}
