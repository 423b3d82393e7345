// Command receiptslost plays a review case: the dispatcher of a small site is killed while a receipt waits for its reader, and
// another message has no answer yet.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"whinrun/review/standins/lab"
)

const (
	// earlier is how many subscriptions were made and left before: as many as a tenant may have at a time, never two at once.
	earlier = 64
	// queueIdle is the setting queue-idle.
	queueIdle = time.Second
)

func main() {
	r := lab.Start()
	var hang atomic.Bool
	partner := r.ServeH2(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		_, _ = io.ReadAll(q.Body)
		r.Note("partner: call %s attempt %s", q.Header.Get("Whinrun-Message"), q.Header.Get("Whinrun-Attempt"))
		if hang.Load() {
			<-q.Context().Done()
			return
		}
		w.WriteHeader(http.StatusCreated)
	}))
	listen := r.FreeAddr()
	trail := filepath.Join(r.Dir, "trail")
	if err := os.Mkdir(trail, 0o700); err != nil {
		r.Fatal("%v", err)
	}
	config := r.WriteFile("site.ini", fmt.Sprintf(`[dispatcher]
listen = %s
[answers]
queue-idle = %v
[audit]
folder = %s
[class upload]
effect = unsafe
aim = 2500ms
deadline = 20s
[tenant farm]
token = quickstart
[kind gateway]
dialect = push
[partner archive]
kind = gateway
endpoints = %s
[push /archive/upload]
partner = archive
class = upload
tenant = farm
`, listen, queueIdle, trail, partner))
	command := "exec bin/whinrun serve --config=" + config
	serve := r.Exec("dispatcher", command)
	r.AwaitListening(listen)
	client := lab.H2Client()
	url := "http://" + listen
	do := func(method, path, body string, header ...string) lab.Answer {
		return lab.Do(client, method, url+path, body, 5*time.Second, append(header, "Authorization", "Bearer quickstart")...)
	}
	subscribe := func() string {
		for range 300 {
			if a := do("POST", "/receipts/farm", ""); a.Status == 201 {
				return a.Header.Get("Location")
			}
			time.Sleep(100 * time.Millisecond)
		}
		r.Fatal("no subscription")
		return ""
	}
	// Readers before this one each used a subscription and left. Their queues are removed once idle.
	for range earlier {
		subscribe()
	}
	r.Note("%d subscriptions were made and left", earlier)
	time.Sleep(queueIdle + 6*time.Second)
	mine := subscribe()
	r.Note("client: subscription %s", mine)
	submit := func(body string) string {
		a := do("POST", "/archive/upload", body, "TTL", "20", "Prefer", "respond-async", "Push-Receipt", mine)
		r.Note("client: upload %q: answer %d, message %s, %v", body, a.Status, a.Header.Get("Whinrun-Message"), a.Err)
		if a.Status != 202 {
			r.Fatal("not taken: %s", a.Body)
		}
		return a.Header.Get("Whinrun-Message")
	}
	names := []string{submit("delivered")}
	receipts := func() (found map[string]string, status int) {
		a := do("GET", mine, "")
		var all []struct {
			Receipt struct {
				Message string `json:"message"`
				Answer  string `json:"answer"`
			} `json:"receipt"`
		}
		_ = json.Unmarshal([]byte(a.Body), &all)
		found = map[string]string{}
		for _, x := range all {
			found[x.Receipt.Message] = x.Receipt.Answer
		}
		r.Note("client: GET %s: %d, receipts %v %s", mine, a.Status, found, strings.TrimSpace(a.Body[:min(len(a.Body), 100)]))
		return found, a.Status
	}
	time.Sleep(time.Second)
	if found, _ := receipts(); found[names[0]] != "served" {
		r.Fatal("no receipt before the restart")
	}
	hang.Store(r.Trouble)
	names = append(names, submit("in flight"))
	time.Sleep(2 * time.Second) // far longer than sync-within
	if r.Trouble {
		serve.Signal(syscall.SIGKILL)
		serve.Wait()
		hang.Store(false)
		serve = r.Exec("dispatcher", command)
		r.AwaitListening(listen)
		client = lab.H2Client()
	}
	time.Sleep(2 * time.Second)
	found, status := receipts()
	for _, n := range names {
		if found[n] == "" {
			r.Break("message %s was taken with 202 and has no receipt: its subscription answers %d", n, status)
		}
	}
	serve.CopyLog()
	r.End()
}
