package lab

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Host is an endpoint in discovery's list.
type Host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs int64   `json:"born_ms"`
}

// List is a version of discovery's list, and what it changes.
type List struct {
	Seq   int64  `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []Host `json:"hosts"`
}

// Agent is the platform's agent: discovery by watches, and notices.
type Agent struct {
	run  *Run
	name string
	ln   net.Listener
	srv  *http.Server

	mu sync.Mutex
	// whole holds the list, and changes what each version changed, from version first+1 on.
	whole   map[string]Host
	first   int64
	changes [][]Host
	changed chan struct{}
	// slow is how long each watch waits for its first list.
	slow    time.Duration
	notices map[string]time.Duration
}

// NewAgent starts an agent whose list has version seq.
func (r *Run) NewAgent(name string, seq int64, hosts ...Host) *Agent {
	a := &Agent{run: r, name: name, ln: r.Listen(), whole: map[string]Host{}, first: seq, changed: make(chan struct{}), notices: map[string]time.Duration{}}
	for _, h := range hosts {
		a.whole[h.Host] = h
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", a.watch)
	mux.HandleFunc("POST /v1/outcomes", a.outcomes)
	a.srv = &http.Server{Handler: mux}
	go func() { _ = a.srv.Serve(a.ln) }()
	return a
}

// Addr returns the address of the agent.
func (a *Agent) Addr() string { return a.ln.Addr().String() }

// SetSlow has each watch that is opened from now on wait so long for its first list.
func (a *Agent) SetSlow(d time.Duration) {
	a.mu.Lock()
	a.slow = d
	a.mu.Unlock()
}

// Publish makes the next version of the list.
func (a *Agent) Publish(hosts ...Host) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, h := range hosts {
		a.whole[h.Host] = h
		if h.Health == "gone" {
			delete(a.whole, h.Host)
		}
		a.run.Note("%s: version %d: %s is %s", a.name, a.first+int64(len(a.changes))+1, h.Host, h.Health)
	}
	a.changes = append(a.changes, hosts)
	close(a.changed)
	a.changed = make(chan struct{})
}

// Whole returns the whole list as JSON.
func (a *Agent) Whole() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.since(0)
}

// since returns what changed after a version, or the whole list if that is not known. The caller holds the lock.
func (a *Agent) since(from int64) string {
	l := List{Seq: a.first + int64(len(a.changes)), Whole: from < a.first || from > a.first+int64(len(a.changes)), Hosts: []Host{}}
	latest := map[string]bool{}
	if l.Whole {
		for _, h := range a.whole {
			l.Hosts = append(l.Hosts, h)
		}
	} else {
		for i := len(a.changes) - 1; i >= int(from-a.first); i-- {
			for _, h := range a.changes[i] {
				if !latest[h.Host] {
					latest[h.Host] = true
					l.Hosts = append(l.Hosts, h)
				}
			}
		}
	}
	slices.SortFunc(l.Hosts, func(x, y Host) int { return strings.Compare(x.Host, y.Host) })
	text, _ := json.Marshal(l)
	return string(text)
}

// watch serves a watch.
func (a *Agent) watch(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	a.mu.Lock()
	slow := a.slow
	a.mu.Unlock()
	a.run.Note("%s: watch opened from version %d", a.name, from)
	if slow > 0 {
		select {
		case <-time.After(slow):
		case <-r.Context().Done():
			a.run.Note("%s: a watch from version %d was closed by the dispatcher before its list came", a.name, from)
			return
		}
	}
	for first := true; ; first = false {
		a.mu.Lock()
		text, seq, changed := "", a.first+int64(len(a.changes)), a.changed
		if first || from != seq {
			text, from = a.since(from)+"\n", seq
		}
		a.mu.Unlock()
		if text != "" {
			a.run.Note("%s: list of version %d written", a.name, seq)
		}
		for again := text != ""; ; again = false {
			if !again {
				text = "\n"
			}
			if again || !first {
				_, _ = fmt.Fprint(w, text)
				w.(http.Flusher).Flush()
			}
			first = false
			select {
			case <-changed:
			case <-time.After(2 * time.Second):
				continue
			case <-r.Context().Done():
				return
			}
			break
		}
	}
}

// outcomes takes notices. They are answered at once.
func (a *Agent) outcomes(w http.ResponseWriter, r *http.Request) {
	d := json.NewDecoder(r.Body)
	for {
		var n struct {
			ID     string `json:"id"`
			Status string `json:"status"`
			Again  int64  `json:"again_ms"`
		}
		if d.Decode(&n) != nil {
			break
		}
		a.run.Note("%s: notice %s for %s, again after %d ms", a.name, n.Status, n.ID, n.Again)
		a.mu.Lock()
		if _, ok := a.notices[n.ID]; !ok {
			a.notices[n.ID] = a.run.Since()
		}
		a.mu.Unlock()
	}
	w.WriteHeader(http.StatusNoContent)
}

// Noticed returns when the first notice for a message came.
func (a *Agent) Noticed(id string) (at time.Duration, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	at, ok = a.notices[id]
	return at, ok
}

// CloseListener takes no new connection, and closes the open ones after a while.
func (a *Agent) CloseListener(after time.Duration) {
	_ = a.ln.Close()
	time.AfterFunc(after, func() { _ = a.srv.Close() })
}

// NodeSettings are the settings of a small deployment, with one class of each effect.
const NodeSettings = `{"classes":[
 {"effect":"free","gain":2,"group":"all","hard-limit":4000000,"late-worth":0,"name":"status","target":1000000,"window":1000000},
 {"effect":"guarded","gain":1,"group":"all","hard-limit":12000000,"late-worth":0.5,"name":"sync","target":1000000,"window":4000000},
 {"effect":"single_shot","gain":5,"group":"all","hard-limit":8000000,"late-worth":0.5,"name":"upload","target":1000000,"window":1000000}],
 "dcs":["east","west"],"extra":{"batch-by-kind":[5,1],"slots":10,"routes-apart":[false,false],"late":"linear"},
 "host-types":["bulk","single"],"instances":1,"me":0,"zone":0,"tick":5000,"weights":"none",
 "limits":{"conn-idle":5000000,"connect-timeout":1500000,"max-open":400,"max-retry-after":2000000,"may-cancel":true,"most-tries":6,
  "probes":true,"retry-after":true,"streams-per-conn":1},
 "report":{"names":[],"via":"none"},"rules":{"cold-from":0.5,"overload-for":2000000,"stop-sending-within":1000000,"tip-multiple":2,
  "warm-up":2000000,"settle-after-doubt":200000},"tenants":[{"name":"acme","quota-per-s":1000}]}`

// NodeConfig returns the configuration of a node. The pairs are texts of its settings and what replaces them.
func NodeConfig(listen, discovery, known string, pairs ...string) string {
	return fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
 "limits":{"cores":1,"memory_mb":64,"sockets":256,"disk_mb":3},"known":%s,"settings":%s}`, listen, discovery, known,
		strings.NewReplacer(pairs...).Replace(NodeSettings))
}

// Node starts a node by the line run of the deploy file.
func (r *Run) Node(config, state string) *Process {
	return r.Exec("node", "exec bin/whinrun node", "EDGE_NAME=n0", "EDGE_CONFIG="+config, "EDGE_STATE="+state)
}

// Message is a message that a client hands in to a node.
type Message struct {
	ID, Class, Key, Body string
	Dest                 int
	Remaining            time.Duration
}

// Submit hands a message in and returns the status, 0 if no answer came within 400 ms.
func (r *Run) Submit(addr string, m Message) int {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 400 * time.Millisecond}
	header := []string{"X-Txn", m.ID, "X-Lane", m.Class, "X-Org", "acme", "X-Remaining", strconv.FormatFloat(m.Remaining.Seconds(), 'f', 3, 64),
		"X-Consignee", fmt.Sprintf("dest=%d", m.Dest)}
	if m.Key != "" {
		header = append(header, "Idempotency-Key", m.Key)
	}
	a := Do(client, "POST", "http://"+addr+"/"+m.Class, m.Body, 400*time.Millisecond, header...)
	return a.Status
}

// AwaitReady waits until the node answers 200 to GET /ready.
func (r *Run) AwaitReady(addr string) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for range 1000 {
		if Do(client, "GET", "http://"+addr+"/ready", "", time.Second).Status == 200 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	r.Fatal("%s is not ready", addr)
}

// Endpoint is an endpoint of a partner, with HTTP/1.1.
type Endpoint struct {
	Name string
	run  *Run
	addr string
	srv  *http.Server
}

// NewEndpoint starts an endpoint.
func (r *Run) NewEndpoint(name string, handler http.Handler) *Endpoint {
	e := &Endpoint{Name: name, run: r}
	e.serve(r.Listen(), handler)
	return e
}

func (e *Endpoint) serve(ln net.Listener, handler http.Handler) {
	e.addr, e.srv = ln.Addr().String(), &http.Server{Handler: handler}
	go func(srv *http.Server) { _ = srv.Serve(ln) }(e.srv)
}

// Replace ends the endpoint with its connections, and starts another one at its address.
func (e *Endpoint) Replace(handler http.Handler) {
	_ = e.srv.Close()
	for range 100 {
		if ln, err := net.Listen("tcp", e.addr); err == nil {
			e.serve(ln, handler)
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	e.run.Fatal("the address of %s can't be used again", e.Name)
}

// Host returns the endpoint as discovery lists it.
func (e *Endpoint) Host(block int, health string) Host {
	return Host{Host: e.Name, Dial: e.addr, Site: "east", Class: "single", Block: block, Health: health, Share: 1}
}
