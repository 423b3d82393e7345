// Package testbed is a stand-in for the platform: clients, endpoints, discovery and the place for notices, on loopback.
// Everything that passes on its sockets is written down, faults are played on command, and Check tells which rule was
// broken. It knows the protocol of the platform, and nothing of the dispatcher.
package testbed

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"whinrun/internal/clock"
	"whinrun/internal/h1"
)

var addresses atomic.Uint32

// FreeAddr returns an address for one dispatcher to listen on, again after a restart. It is one of loopback's that no
// other socket of the tests uses: a port that was merely free a moment ago may be taken in the meantime.
func FreeAddr() (string, error) {
	pid, n := os.Getpid(), addresses.Add(1)
	ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+pid%128, pid/128%256, 1+n%250))
	if err != nil {
		return "", err
	}
	return ln.Addr().String(), ln.Close()
}

// Reply is what an endpoint does with a call.
type Reply struct {
	Delay         time.Duration
	Status        int           // of a plain answer
	RetryAfter    time.Duration // told by Retry-After
	ExtraHeaders  []string      // further fields, pairs of name and value
	Body          string
	Raw           string // instead of all that: these bytes; Status tells what they are worth to the checker
	Hang          bool   // say nothing
	Drop          bool   // end the connection instead of an answer
	TrailingBytes string // bytes behind the answer
	Close         bool   // end the connection behind it
}

// Call is a call as it came.
type Call struct {
	Host            string
	Dest            int
	MessageNames    []string
	Number          int // number of the call
	IdempotencyKeys []string
	Body            string
}

// Testbed is the stand-in.
type Testbed struct {
	mu     sync.Mutex
	events []Event
	calls  int
	change chan struct{} // closed at each event
}

// New makes an empty test bed.
func New() *Testbed { return &Testbed{change: make(chan struct{})} }

// Now is the time that events are noted by.
func (s *Testbed) Now() time.Time { return clock.Wall() }

// Record writes an event down.
func (s *Testbed) Record(all ...Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Wall()
	for _, e := range all {
		if e.At.IsZero() {
			e.At = now
		}
		s.events = append(s.events, e)
	}
	close(s.change)
	s.change = make(chan struct{})
}

// Events returns what has passed.
func (s *Testbed) Events() []Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.events[:len(s.events):len(s.events)]
}

// Await waits until what has passed is enough, or the time is over; it tells whether it was.
func (s *Testbed) Await(within time.Duration, enough func([]Event) bool) bool {
	over := time.After(within)
	for {
		s.mu.Lock()
		events, change := s.events[:len(s.events):len(s.events)], s.change
		s.mu.Unlock()
		if enough(events) {
			return true
		}
		select {
		case <-change:
		case <-over:
			return false
		}
	}
}

// Count counts events of a kind; name may be empty for all.
func Count(events []Event, k Kind, name string) (n int) {
	for _, e := range events {
		if e.Kind == k && (name == "" || e.Name == name) {
			n++
		}
	}
	return n
}

// AllEnded tells whether every one of the messages was delivered or ended by a notice.
func AllEnded(events []Event, names []string) bool {
	ended := map[string]bool{}
	for _, e := range events {
		if e.Kind == NoticeReceived || e.Kind == CallAnswered && e.Status == 200 {
			ended[e.Name] = true
		}
	}
	return !slices.ContainsFunc(names, func(n string) bool { return !ended[n] })
}

// Settings are settings for a dispatcher on a test bed, in the platform's form: classes of each effect, one that keeps its
// order, a kind of destination that takes several messages in a call and one that does not.
const Settings = `{"classes":[
 {"effect":"free","gain":2,"group":"all","hard-limit":4000000,"late-worth":0,"name":"status","target":1000000,"window":1000000},
 {"effect":"guarded","gain":1,"group":"all","hard-limit":5000000,"late-worth":0.5,"name":"sync","target":1000000,"window":4000000},
 {"effect":"single_shot","gain":5,"group":"all","hard-limit":5000000,"late-worth":0.5,"name":"upload","target":1000000,"window":1000000},
 {"effect":"guarded","gain":1,"group":"all","hard-limit":5000000,"late-worth":0.5,"name":"turns","target":1000000,"window":4000000,"by-arrival":true}],
 "dcs":["east","west"],"extra":{"batch-by-kind":[5,1],"slots":10,"routes-apart":[false,false],"late":"linear"},
 "host-types":["bulk","single"],"instances":1,"me":0,"zone":0,"tick":5000,"weights":"none",
 "limits":{"conn-idle":5000000,"connect-timeout":1500000,"max-open":400,"max-retry-after":2000000,"may-cancel":true,"most-tries":6,
  "probes":true,"retry-after":true,"streams-per-conn":1},
 "report":{"names":[],"via":"none"},"rules":{"cold-from":0.5,"overload-for":2000000,"stop-sending-within":1000000,"tip-multiple":2,
  "warm-up":2000000,"settle-after-doubt":200000},"tenants":[{"name":"acme","quota-per-s":1000}]}`

// Configuration is the file of a dispatcher that listens on an address and learns from an agent, with the agent's list
// as the one that it had.
func Configuration(listen string, a *Agent) []byte {
	return fmt.Appendf(nil, `{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
 "limits":{"cores":1,"memory_mb":64,"sockets":256,"disk_mb":1},"known":%s,"settings":%s}`, listen, a.Addr, a.FullList(), Settings)
}

// Endpoint is one stand-in endpoint.
type Endpoint struct {
	s    *Testbed
	Host string
	Dest int
	Addr string
	ln   net.Listener

	mu    sync.Mutex
	act   func(c Call) Reply
	conns map[net.Conn]bool
	Conns int // taken so far
}

// Endpoint opens an endpoint; addr may be empty for a free port, or that of one that has closed.
func (s *Testbed) Endpoint(host string, dest int, addr string, act func(Call) Reply) (*Endpoint, error) {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	e := &Endpoint{s: s, Host: host, Dest: dest, Addr: ln.Addr().String(), ln: ln, act: act, conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns[c] = true
			e.Conns++
			e.mu.Unlock()
			go e.serve(c)
		}
	}()
	return e, nil
}

// SetHandler changes what the endpoint does.
func (e *Endpoint) SetHandler(act func(Call) Reply) {
	e.mu.Lock()
	e.act = act
	e.mu.Unlock()
}

// Close ends the endpoint and its connections.
func (e *Endpoint) Close() {
	_ = e.ln.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.conns {
		_ = c.Close()
	}
}

// AcceptedConns counts the connections taken so far.
func (e *Endpoint) AcceptedConns() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Conns
}

func (e *Endpoint) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
	}()
	var in []byte
	for {
		r, body, rest, err := readRequest(c, in)
		if err != nil {
			return
		}
		in = rest
		if !e.call(c, r, body) {
			return
		}
	}
}

// readRequest reads one request with its body.
func readRequest(c net.Conn, in []byte) (r *h1.Request, body, rest []byte, err error) {
	buf := make([]byte, 32<<10)
	for {
		r, n, err := h1.ParseRequest(in)
		if err != nil {
			return nil, nil, nil, err
		}
		if n > 0 && len(in) >= n+int(r.Length) {
			return r, in[n : n+int(r.Length)], in[n+int(r.Length):], nil
		}
		m, err := c.Read(buf)
		if err != nil {
			return nil, nil, nil, err
		}
		in = append(in, buf[:m]...)
	}
}

// call plays one call; false ends the connection.
func (e *Endpoint) call(c net.Conn, r *h1.Request, body []byte) bool {
	k := Call{Host: e.Host, Dest: e.Dest, Body: string(body)}
	if r.Target == "/inbox/bulk" {
		k.MessageNames, k.IdempotencyKeys = bulkNames(string(body))
	} else {
		k.MessageNames, k.IdempotencyKeys = []string{r.Fields.Get("x-txn")}, []string{r.Fields.Get("idempotency-key")}
	}
	e.s.mu.Lock()
	e.s.calls++
	k.Number = e.s.calls
	e.s.mu.Unlock()
	e.note(k, Event{Kind: CallReceived})
	e.mu.Lock()
	act := e.act
	e.mu.Unlock()
	p := act(k)
	gone := make(chan struct{})
	if p.Delay > 0 || p.Hang {
		// Only the dispatcher's end of the connection is watched meanwhile: no second request may come.
		go func() {
			defer close(gone)
			_, _ = c.Read(make([]byte, 1))
		}()
		var over <-chan time.Time
		if !p.Hang {
			over = time.After(p.Delay)
		}
		select {
		case <-gone:
			e.note(k, Event{Kind: CallBroken})
			return false
		case <-over:
			_ = c.SetReadDeadline(clock.Wall())
			<-gone
			_ = c.SetReadDeadline(time.Time{})
		}
	}
	if p.Drop {
		e.note(k, Event{Kind: CallBroken})
		return false
	}
	text := p.Raw
	if text == "" {
		text = answer(p, k)
	}
	e.note(k, Event{Kind: CallAnswered, Status: p.Status, Wait: p.RetryAfter})
	if _, err := io.WriteString(c, text+p.TrailingBytes); err != nil {
		return false
	}
	return !p.Close
}

func answer(p Reply, k Call) string {
	body := p.Body
	if p.Status == 200 && len(k.MessageNames) > 1 && body == "" {
		for _, n := range k.MessageNames {
			body += n + " done\r\n"
		}
	}
	pairs := append([]string{"Content-Length", strconv.Itoa(len(body))}, p.ExtraHeaders...)
	if p.RetryAfter > 0 {
		pairs = append(pairs, "Retry-After", strconv.FormatFloat(p.RetryAfter.Seconds(), 'f', 3, 64))
	}
	return string(h1.AppendHead(nil, fmt.Sprintf("HTTP/1.1 %d x", p.Status), pairs...)) + body
}

func (e *Endpoint) note(k Call, x Event) {
	x.Host, x.Dest, x.Call = k.Host, k.Dest, k.Number
	all := make([]Event, len(k.MessageNames))
	for i, n := range k.MessageNames {
		all[i] = x
		all[i].Name = n
	}
	e.s.Record(all...)
}

func bulkNames(body string) (names, keys []string) {
	for len(body) > 0 {
		line, rest, _ := strings.Cut(body, "\r\n")
		f := strings.Fields(line)
		if len(f) != 3 {
			return names, keys
		}
		n, _ := strconv.Atoi(f[2])
		if n+2 > len(rest) {
			return names, keys
		}
		names, keys, body = append(names, f[0]), append(keys, f[1]), rest[n+2:]
	}
	return names, keys
}

// EndpointEntry is an endpoint as the list has it.
type EndpointEntry struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
}

// Agent is discovery and the place for notices.
type Agent struct {
	s    *Testbed
	Addr string
	Node string // the dispatcher that it belongs to, where there are several; set before use
	srv  *http.Server

	mu      sync.Mutex
	seq     int
	hosts   map[string]EndpointEntry
	changes [][]EndpointEntry // since the start, by version
	more    chan struct{}
	mute    bool // nothing is answered
	deaf    int  // watches opened before this one have fallen silent for good
	opened  int  // watches so far
	indent  bool // lists come over several lines
	status  int  // of answers to notices, 0 for 204
	conns   int
}

// Agent opens discovery.
func (s *Testbed) Agent() (*Agent, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &Agent{s: s, Addr: ln.Addr().String(), hosts: map[string]EndpointEntry{}, more: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", a.list)
	mux.HandleFunc("POST /v1/outcomes", a.outcomes)
	a.srv = &http.Server{Handler: mux}
	go func() { _ = a.srv.Serve(ln) }()
	return a, nil
}

// Close ends it.
func (a *Agent) Close() { _ = a.srv.Close() }

// SetMuted has discovery say nothing any more, or speak again.
func (a *Agent) SetMuted(on bool) {
	a.mu.Lock()
	a.mute = on
	a.wake()
	a.mu.Unlock()
}

// SilenceOpenWatches has the watches that are open now say nothing any more; those opened later are answered.
func (a *Agent) SilenceOpenWatches() {
	a.mu.Lock()
	a.deaf = a.opened
	a.wake()
	a.mu.Unlock()
}

// IndentLists has lists laid out over several lines.
func (a *Agent) IndentLists() {
	a.mu.Lock()
	a.indent = true
	a.mu.Unlock()
}

// FailNotices has notices answered with a status, 0 for as usual.
func (a *Agent) FailNotices(status int) {
	a.mu.Lock()
	a.status = status
	a.mu.Unlock()
}

func (a *Agent) wake() {
	close(a.more)
	a.more = make(chan struct{})
}

// Publish tells of changes of hosts.
func (a *Agent) Publish(all ...EndpointEntry) { a.PublishAt(a.s.Now(), all...) }

// PublishAt tells of changes that count as told from a moment on.
func (a *Agent) PublishAt(at time.Time, all ...EndpointEntry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.seq++
	for _, h := range all {
		a.hosts[h.Host] = h
		if h.Health == "gone" {
			delete(a.hosts, h.Host)
		}
		a.s.Record(Event{At: at, Kind: HealthListed, Host: h.Host, Health: h.Health, Node: a.Node})
	}
	a.changes = append(a.changes, all)
	a.wake()
}

// FullList returns the whole list.
func (a *Agent) FullList() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	hosts := []EndpointEntry{}
	for _, h := range a.hosts {
		hosts = append(hosts, h)
	}
	text, _ := json.Marshal(map[string]any{"seq": a.seq, "whole": true, "hosts": hosts})
	return string(text)
}

// list answers at once with what changed after a version, or with the whole list, and goes on as it changes. While mute it
// says nothing; what is asked then is answered afterwards.
func (a *Agent) list(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("watch") == "" {
		_, _ = io.WriteString(w, a.FullList())
		return
	}
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	flush := w.(http.Flusher)
	a.mu.Lock()
	a.opened++
	me := a.opened
	a.mu.Unlock()
	a.s.Record(Event{Kind: WatchOpened})
	for first := true; ; {
		a.mu.Lock()
		more, mute := a.more, a.mute || me <= a.deaf
		text := ""
		if !mute && (first || from < a.seq) {
			text, first, from = a.since(from), false, a.seq
		}
		a.mu.Unlock()
		_, _ = io.WriteString(w, text)
		flush.Flush()
		if text != "" {
			a.s.Record(Event{Kind: ListSent})
		}
		select {
		case <-more:
		case <-time.After(2 * time.Second):
			if !mute {
				_, _ = io.WriteString(w, "\n")
				flush.Flush()
			}
		case <-r.Context().Done():
			return
		}
	}
}

// since is what changed after a version: changes, or the whole list where that version is not known. It is called with the
// lock held.
func (a *Agent) since(from int) string {
	whole := from <= 0 || from > a.seq
	hosts := []EndpointEntry{}
	if whole {
		for _, h := range a.hosts {
			hosts = append(hosts, h)
		}
	} else {
		for _, change := range a.changes[from:] {
			hosts = append(hosts, change...)
		}
	}
	v := map[string]any{"seq": a.seq, "whole": whole, "hosts": hosts}
	text, _ := json.Marshal(v)
	if a.indent {
		text, _ = json.MarshalIndent(v, "", "  ")
	}
	return string(text) + "\n"
}

func (a *Agent) outcomes(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	status := a.status
	a.mu.Unlock()
	if status != 0 {
		w.WriteHeader(status)
		return
	}
	dec := json.NewDecoder(r.Body)
	for {
		var o struct {
			ID     string `json:"id"`
			Status string `json:"status"`
			Again  int64  `json:"again_ms"`
		}
		if err := dec.Decode(&o); err != nil {
			break
		}
		a.s.Record(Event{Kind: NoticeReceived, Name: o.ID, Text: o.Status, Wait: time.Duration(o.Again) * time.Millisecond})
	}
	w.WriteHeader(204)
}

// Message is what a client hands in.
type Message struct {
	Name, Class, Tenant, IdempotencyKey, OrderKey string
	Dest                                          int
	Remaining                                     time.Duration
	Body                                          string
}

// Submit hands a message in on a connection of its own, and returns the status of the answer, 0 for none in time.
func (s *Testbed) Submit(addr string, m Message) int {
	sent := clock.Wall()
	status := hand(addr, m)
	e := Event{Kind: Refused, Name: m.Name, Status: status}
	if status == 202 || status == 200 {
		e = Event{Kind: Accepted, Name: m.Name, Class: m.Class, Dest: m.Dest, Due: sent.Add(m.Remaining), Key: m.OrderKey}
	}
	s.Record(e)
	return status
}

func hand(addr string, m Message) int {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(clock.After(400 * time.Millisecond))
	if _, err := c.Write(EncodeRequest(m)); err != nil {
		return 0
	}
	status, _ := ReadStatus(c)
	return status
}

// ReadStatus reads the status of the first answer on a connection; it is 0, with the error, where none comes.
func ReadStatus(c net.Conn) (int, error) {
	var in []byte
	buf := make([]byte, 4096)
	for {
		n, err := c.Read(buf)
		in = append(in, buf[:n]...)
		if r, size, perr := h1.ParseResponse(in); perr == nil && size > 0 {
			return r.Status, nil
		}
		if err != nil {
			return 0, err
		}
	}
}

// ReadStatuses reads so many answers on a connection and returns their statuses; fewer where it ends or its time is over.
func ReadStatuses(c net.Conn, enough int) (statuses []int) {
	var in []byte
	buf := make([]byte, 4096)
	for len(statuses) < enough {
		n, err := c.Read(buf)
		in = append(in, buf[:n]...)
		for {
			r, size, perr := h1.ParseResponse(in)
			if perr != nil || size == 0 {
				break
			}
			statuses = append(statuses, r.Status)
			in = in[size:]
		}
		if err != nil {
			break
		}
	}
	return statuses
}

// EncodeRequest is a message as it is handed in.
func EncodeRequest(m Message) []byte {
	pairs := []string{"Host", "api.internal", "X-Txn", m.Name, "X-Lane", m.Class, "X-Org", m.Tenant, "X-Remaining",
		strconv.FormatFloat(m.Remaining.Seconds(), 'f', 3, 64), "Content-Length", strconv.Itoa(len(m.Body)), "X-Consignee", fmt.Sprintf("dest=%d", m.Dest)}
	if m.IdempotencyKey != "" {
		pairs = append(pairs, "Idempotency-Key", m.IdempotencyKey)
	}
	if m.OrderKey != "" {
		pairs = append(pairs, "X-Entity", "key="+m.OrderKey)
	}
	return append(h1.AppendHead(nil, "POST /"+m.Class+" HTTP/1.1", pairs...), m.Body...)
}
