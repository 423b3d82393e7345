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

// buildProgram builds the program for a test that runs it as a process.
func buildProgram(t *testing.T) string {
	t.Helper()
	bin := filepath.Join(t.TempDir(), "whinrun")
	if out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return bin
}

// startServe starts the program with the quickstart settings and one HTTP/2 partner that calls handle. It returns the process
// and the address that clients connect to.
func startServe(t *testing.T, bin string, handle http.HandlerFunc, extraSections ...string) (cmd *exec.Cmd, addr string) {
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
	settings += strings.Join(extraSections, "")
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
		t.Fatal("the program did not log its listening address")
	}
	return cmd, addr
}

// After SIGTERM, the program answers the accepted messages within stop-within and exits with status 0.
func TestTerminate(t *testing.T) {
	block, arrived := make(chan struct{}), make(chan struct{}, 1)
	defer close(block)
	cmd, addr := startServe(t, buildProgram(t), func(http.ResponseWriter, *http.Request) {
		arrived <- struct{}{}
		<-block
	})
	client := load.NewClient(addr, 1)
	defer client.Close()
	answer := make(chan int, 1)
	go func() {
		status, _, _, _ := client.Send(context.Background(), &load.Message{CorrelationID: "x", Path: "/archive/upload", Token: "quickstart", TTL: 20})
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

// A second signal ends the program at once, with exit status 1.
func TestTerminateTwice(t *testing.T) {
	block, arrived := make(chan struct{}), make(chan struct{}, 1)
	defer close(block)
	cmd, addr := startServe(t, buildProgram(t), func(http.ResponseWriter, *http.Request) {
		arrived <- struct{}{}
		<-block
	})
	client := load.NewClient(addr, 1)
	defer client.Close()
	go func() {
		_, _, _, _ = client.Send(context.Background(), &load.Message{CorrelationID: "x", Path: "/archive/upload", Token: "quickstart", TTL: 20})
	}()
	<-arrived
	_ = cmd.Process.Signal(syscall.SIGTERM)
	start := time.Now()
	for cmd.ProcessState == nil && time.Since(start) < 500*time.Millisecond {
		// Signals that are pending at the same time merge into one, so the test waits before it sends the second one. It
		// repeats the second one for half a second.
		time.Sleep(50 * time.Millisecond)
		_ = cmd.Process.Signal(syscall.SIGTERM)
	}
	var exit *exec.ExitError
	if err := cmd.Wait(); !errors.As(err, &exit) || exit.ExitCode() != 1 {
		t.Error("exit:", err)
	}
}

// With invalid settings, check and serve print one line for each problem and exit with status 2.
func TestCheckExits(t *testing.T) {
	bin := buildProgram(t)
	file := filepath.Join(t.TempDir(), "w.ini")
	if err := os.WriteFile(file, []byte("[dispatcher]\nlisten = here\nlags = 1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, command := range []string{"check", "serve"} {
		out, err := exec.Command(bin, command, "--config", file).CombinedOutput()
		var exit *exec.ExitError
		if !errors.As(err, &exit) || exit.ExitCode() != 2 || strings.Count(string(out), "\n") != 2 || !strings.Contains(string(out), "w.ini:3: lags: no such key") {
			t.Errorf("%s: %v\n%s", command, err, out)
		}
	}
	if out, err := exec.Command(bin, "check", "--config", "../../examples/quickstart.ini").CombinedOutput(); err != nil {
		t.Errorf("%v\n%s", err, out)
	}
}

// The program is killed repeatedly at random moments under load. Afterwards the audit trail verifies. It lacks attempts that a
// partner received only at its end, where a kill can lose the last records, and it has no attempt that no partner received.
// WHINRUN_KILLS sets the number of kills. The default is 5.
func TestKilled(t *testing.T) {
	kills := 5
	if n, err := strconv.Atoi(os.Getenv("WHINRUN_KILLS")); err == nil {
		kills = n
	}
	var mu sync.Mutex
	type call struct{ message, attempt string }
	received := map[call]time.Time{}
	handle := func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		received[call{r.Header.Get("Whinrun-Message"), r.Header.Get("Whinrun-Attempt")}] = time.Now()
		n := len(received)
		mu.Unlock()
		if n%7 == 0 {
			w.WriteHeader(500)
			return
		}
		w.WriteHeader(201)
	}
	bin, folder, rng := buildProgram(t), t.TempDir(), rand.New(rand.NewPCG(5, 5))
	for range kills {
		cmd, addr := startServe(t, bin, handle, "\n[audit]\nfolder = "+folder+"\nsegment = 64KiB\n")
		client := load.NewClient(addr, 1)
		ctx, stop := context.WithCancel(context.Background())
		var clients sync.WaitGroup
		for i := range 8 {
			clients.Go(func() {
				for ctx.Err() == nil {
					_, _, _, _ = client.Send(ctx, &load.Message{CorrelationID: "x", Path: []string{"/archive/upload", "/archive/status"}[i%2], Token: "quickstart", TTL: 20})
				}
			})
		}
		time.Sleep(time.Duration(rng.IntN(120)) * time.Millisecond)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		stop()
		clients.Wait()
		client.Close()
	}
	store, rep, err := audit.OpenReader(folder)
	if err != nil {
		t.Fatal(err)
	}
	keys, err := audit.PublicKeys(folder)
	if err != nil {
		t.Fatal(err)
	}
	verified, err := audit.Verify(store, keys)
	if err != nil || len(verified.Problems) > 0 {
		t.Fatal(verified.Problems, err)
	}
	records, err := audit.AllRecords(store)
	if err != nil {
		t.Fatal(err)
	}
	epoch := func(m string) string { return m[:max(0, strings.LastIndexByte(m, '-'))] }
	lastRecord, started := map[string]time.Time{}, map[call]bool{}
	for _, r := range records {
		if r.Message == "" {
			continue
		}
		lastRecord[epoch(r.Message)] = r.Time()
		k := call{r.Message, strconv.Itoa(r.Attempt - 1)}
		if r.Kind == audit.AttemptStarted {
			started[k] = true
		}
		if _, ok := received[k]; r.Kind == audit.AttemptEnded && r.Status > 0 && !ok {
			t.Errorf("attempt %v has an answer, but no partner received it", k)
		}
	}
	lost := 0
	for k, at := range received {
		if !started[k] {
			if lost++; at.Before(lastRecord[epoch(k.message)].Add(-time.Millisecond)) {
				t.Errorf("attempt %v is missing, although later records exist", k)
			}
		}
	}
	t.Logf("%d kills, %d attempts received, %d of them lost at the end of a process; %d records, %d seals, %v", kills, len(received), lost, verified.Records, verified.Seals,
		rep.Problems)
	if len(received) == 0 || kills > 2 && verified.Seals == 0 {
		t.Error("no attempts were made, or no seals were written")
	}
}
