package service

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"whinrun/internal/load"
	"whinrun/internal/testbed"
)

// executions records which partner has executed which message, and when.
type executions struct {
	mu   sync.Mutex
	byID map[string][]execution
}

type execution struct {
	partner string
	at      time.Time
}

// serve starts a partner at an address and returns a function that ends it as a crash does.
func (x *executions) serve(t *testing.T, partner, addr string) (end func()) {
	t.Helper()
	var listener net.Listener
	var err error
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		if listener, err = net.Listen("tcp", addr); err == nil {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal(err)
		}
	}
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Protocols: &protocols, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		x.mu.Lock()
		id, _, _ := strings.Cut(string(body), " ")
		x.byID[id] = append(x.byID[id], execution{partner, time.Now()})
		x.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		w.WriteHeader(201)
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return func() { _ = server.Close() }
}

// A process of another partner comes up at the address of one that has gone, and the list tells so at once or late. Once it is told, no
// message may go to the wrong partner, and none of a class that must not be repeated may run twice.
func TestAddressTakenByAnotherPartner(t *testing.T) {
	for _, late := range []time.Duration{0, 400 * time.Millisecond} {
		t.Run(fmt.Sprint("told after ", late), func(t *testing.T) {
			t.Parallel()
			x := &executions{byID: map[string][]execution{}}
			addr, err := testbed.FreeAddr()
			if err != nil {
				t.Fatal(err)
			}
			endFirst := x.serve(t, "p", addr)
			list := filepath.Join(t.TempDir(), "list")
			write := func(text string) {
				if err := os.WriteFile(list+".new", []byte(text), 0o600); err != nil {
					t.Error(err)
				}
				if err := os.Rename(list+".new", list); err != nil {
					t.Error(err)
				}
			}
			write("p " + addr + " ready\n")
			settings := "[dispatcher]\nlisten = 127.0.0.1:0\nstop-within = 1s\n[list]\nfile = " + list + "\nevery = 20ms\n[partner q]\nkind = k\n" +
				strings.Replace(baseSettings, "endpoints = ADDRESS\n", "", 1)
			dispatcher := startFromText(t, settings)
			defer dispatcher.Kill()
			client := load.NewClient(dispatcher.Addr().String(), 2)
			defer client.Close()
			var group sync.WaitGroup
			send := func(span time.Duration, phase string) {
				for i := 0; time.Duration(i)*12500*time.Microsecond < span; i++ {
					group.Go(func() {
						_, _ = postMessage(client, []string{"/p/upload", "/p/status"}[i%2], func(m *load.Message) { m.CorrelationID = fmt.Sprint(phase, "-", i) })
					})
					time.Sleep(12500 * time.Microsecond)
				}
			}
			send(500*time.Millisecond, "before")
			endFirst()
			x.serve(t, "q", addr)
			told := make(chan time.Time, 1)
			go func() {
				time.Sleep(late)
				write("q " + addr + " ready\n")
				told <- time.Now()
			}()
			send(1500*time.Millisecond, "behind")
			group.Wait()
			// The list is read every 20 ms, and nothing new goes to an endpoint later than drain-grace behind it.
			limit := (<-told).Add(20*time.Millisecond + time.Duration(dispatcher.cfg.Control.StopSendingWithin)*time.Microsecond)
			x.mu.Lock()
			defer x.mu.Unlock()
			wrong := 0
			for id, all := range x.byID {
				for _, e := range all {
					if e.partner == "q" {
						wrong++
					}
					if e.partner == "q" && e.at.After(limit) {
						t.Errorf("%s went to the wrong partner %v behind the list", id, e.at.Sub(limit))
					}
				}
				var number int
				if _, err := fmt.Sscanf(id[strings.IndexByte(id, '-')+1:], "%d", &number); err == nil && number%2 == 0 && len(all) > 1 {
					t.Errorf("%s ran %d times", id, len(all))
				}
			}
			t.Logf("%d messages ran, %d calls went to the other partner before it was told", len(x.byID), wrong)
			if len(x.byID) < 30 {
				t.Errorf("only %d messages ran", len(x.byID))
			}
		})
	}
}

// A list that replaces another one of the same size, with its time of modification, was taken for the old one.
func TestListOfTheSameSizeAndTime(t *testing.T) {
	name := filepath.Join(t.TempDir(), "list")
	var version string
	for _, text := range []string{"p 127.0.0.1:1 ready\n", "q 127.0.0.1:1 ready\n"} {
		if err := os.WriteFile(name+".new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chtimes(name+".new", time.Unix(1, 0), time.Unix(1, 0)); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(name+".new", name); err != nil {
			t.Fatal(err)
		}
		endpoints, next, err := listFile{name}.Load(version)
		if err != nil || len(endpoints) != 1 || endpoints[0].Partner != text[:1] {
			t.Fatalf("%q: %+v, %v", text, endpoints, err)
		}
		version = next
	}
}
