// Command keyedrefusal plays review case 2: a partner takes calls, runs them and answers none for a while; the sender of a keyed
// message does what the dispatcher's refusal tells it.
package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"whinrun/review/standins/lab"
)

const (
	// window is how long the partner drops repeats of a key, counted from the moment in which it ran the first.
	window = 10 * time.Second
	// hang is how long the partner answers nothing (8.9 to 23 s by the brief).
	hang = 12 * time.Second
	// messages is the number of messages, a sender each.
	messages = 5
	// tries is how often a sender hands a message in again after a refusal (up to 3 times by the brief).
	tries = 3
)

// partner runs what it gets, and drops repeats of a key within its window.
type partner struct {
	run *lab.Run

	mu sync.Mutex
	// ranAt is when a key that is remembered was run.
	ranAt map[string]time.Duration
	// runs counts how often the work of a key was done.
	runs map[string]int
	// answering is closed when the partner answers again.
	answering chan struct{}
}

func (p *partner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.ReadAll(r.Body)
	key := r.Header.Get("Idempotency-Key")
	now := p.run.Since()
	p.mu.Lock()
	at, known := p.ranAt[key]
	repeat := known && now-at <= window
	if !repeat {
		p.ranAt[key] = now
		p.runs[key]++
	}
	answering, count := p.answering, p.runs[key]
	p.mu.Unlock()
	what := fmt.Sprintf("RUN number %d", count)
	if repeat {
		what = fmt.Sprintf("dropped as a repeat, %v after it ran", (now - at).Round(time.Millisecond))
	}
	p.run.Note("partner: call %s attempt %s key %s: %s", r.Header.Get("Whinrun-Message"), r.Header.Get("Whinrun-Attempt"), key, what)
	select {
	case <-answering:
	case <-r.Context().Done():
		p.run.Note("partner: call %s attempt %s key %s: given up by the dispatcher", r.Header.Get("Whinrun-Message"), r.Header.Get("Whinrun-Attempt"), key)
		return
	}
	w.WriteHeader(http.StatusCreated)
	p.run.Note("partner: call %s attempt %s key %s: answered 201", r.Header.Get("Whinrun-Message"), r.Header.Get("Whinrun-Attempt"), key)
}

func main() {
	r := lab.Start()
	p := &partner{run: r, ranAt: map[string]time.Duration{}, runs: map[string]int{}, answering: make(chan struct{})}
	addr, listen := r.ServeH2(p), r.FreeAddr()
	// The classes are those of examples/quickstart.ini.
	config := r.WriteFile("site.ini", fmt.Sprintf(`[dispatcher]
listen = %s
log = info
[class sync]
effect = keyed
window = 10s
aim = 2500ms
deadline = 20s
worth = 1
late-worth = 0.5
[tenant farm]
token = quickstart
[kind gateway]
dialect = push
[partner archive]
kind = gateway
endpoints = %s
[push /archive/sync]
partner = archive
class = sync
tenant = farm
`, listen, addr))
	serve := r.Exec("dispatcher", "exec bin/whinrun serve --config="+config)
	r.AwaitListening(listen)
	client := lab.H2Client()
	if !r.Trouble {
		close(p.answering)
	} else {
		r.Note("partner: takes calls and answers none for %v", hang)
		time.AfterFunc(hang, func() {
			r.Note("partner: answers again")
			close(p.answering)
		})
	}
	var senders sync.WaitGroup
	for i := range messages {
		key := fmt.Sprintf("upload-%d", i+1)
		senders.Go(func() { send(r, client, "http://"+listen+"/archive/sync", key) })
		time.Sleep(200 * time.Millisecond)
	}
	senders.Wait()
	for key, n := range p.runs {
		if n > 1 {
			r.Break("the work of key %s was done %d times, although its sender only did what it was told", key, n)
		}
	}
	if len(p.runs) != messages {
		r.Fatal("only %d messages came to the partner", len(p.runs))
	}
	serve.CopyLog()
	r.End()
}

// send hands a message in, and again after a refusal, as the refusal says.
func send(r *lab.Run, client *http.Client, url, key string) {
	for try := range 1 + tries {
		r.Note("sender: hands in %s, try %d", key, try+1)
		a := lab.Do(client, "POST", url, "sync "+key, 30*time.Second, "TTL", "20", "Authorization", "Bearer quickstart", "Idempotency-Key", `"`+key+`"`)
		r.Note("sender: %s try %d: answer %d, Retry-After %q, %v: %s", key, try+1, a.Status, a.Header.Get("Retry-After"), a.Err, a.Body)
		if a.Status != 503 && a.Status != 429 {
			return
		}
		seconds, err := strconv.Atoi(a.Header.Get("Retry-After"))
		if err != nil {
			seconds = 1
		}
		time.Sleep(time.Duration(seconds) * time.Second)
	}
}
