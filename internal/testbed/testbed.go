// Package testbed is a stand-in for the platform on loopback: clients, endpoints, and an agent for discovery and
// notices. It records what passes on its sockets, injects faults on command, and Check reports which rules were
// violated. It implements the protocol of the platform and knows nothing about the dispatcher's code.
package testbed

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"whinrun/internal/clock"
	"whinrun/internal/h1"
	"whinrun/internal/loopback"
)

// FreeAddr returns an address for one dispatcher to listen on, also after a restart.
func FreeAddr() (string, error) {
	ln, err := net.Listen("tcp", loopback.Next())
	if err != nil {
		return "", err
	}
	return ln.Addr().String(), ln.Close()
}

// Reply is what an endpoint does with a call.
type Reply struct {
	// Delay is the time from the call until the answer.
	Delay time.Duration
	// Status is the HTTP status of the answer. With Raw, it only tells the checker how to count the answer.
	Status int
	// RetryAfter is the wait in the Retry-After header, 0 for none.
	RetryAfter time.Duration
	// ExtraHeaders are further header fields: names and values in turn.
	ExtraHeaders []string
	Body         string
	// Raw is sent instead of a formatted answer where it is not empty.
	Raw string
	// Hang leaves the call unanswered and the connection open.
	Hang bool
	// Drop closes the connection instead of an answer.
	Drop bool
	// TrailingBytes are sent directly after the answer.
	TrailingBytes string
	// Close closes the connection after the answer.
	Close bool
	// Copies are sent after the answer, whatever the connection carries by then.
	Copies []Copy
	// Over are the messages of the call that are over. The answer tells it: as 410 for a single message, and as "void" in an
	// answer to several with the status 200.
	Over []string
	// BreakAt is the number of bytes of the answer after which the connection is reset, 0 for a whole answer.
	BreakAt int
	// ResetAfter is the time from the answer until the connection is reset, 0 if it is not. With BreakAt it is at least resetDelay.
	ResetAfter time.Duration
}

// resetDelay is the time from the last byte of an answer that is cut off until the reset, in which the bytes are read.
const resetDelay = 5 * time.Millisecond

// Copy is a second copy of an answer, which belongs to no call.
type Copy struct {
	// After is the time from the answer until the copy.
	After time.Duration
	// Cut is the number of bytes of the answer that the copy consists of, 0 for all.
	Cut int
}

// Call is a call as an endpoint received it.
type Call struct {
	Host         string
	Dest         int
	MessageNames []string
	// Number numbers the calls of a test bed from 1.
	Number          int
	IdempotencyKeys []string
	Body            string
	// Bulk is set for a call in the form for several messages, also where it has one.
	Bulk bool
}

// Testbed records events and creates the endpoints, agents and proxies that report them.
type Testbed struct {
	mu        sync.Mutex
	events    []Event
	callCount int
	connCount int
	// changed is closed and replaced at each event.
	changed chan struct{}
}

// New returns a test bed without events.
func New() *Testbed { return &Testbed{changed: make(chan struct{})} }

// Now returns the time on the clock that stamps events.
func (s *Testbed) Now() time.Time { return clock.Wall() }

// Record appends events. An event without a time gets the present one.
func (s *Testbed) Record(events ...Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Wall()
	for _, e := range events {
		if e.At.IsZero() {
			e.At = now
		}
		s.events = append(s.events, e)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Events returns the events so far.
func (s *Testbed) Events() []Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.events[:len(s.events):len(s.events)]
}

// Await waits until enough returns true for the events so far. It returns false if that does not happen within timeout.
func (s *Testbed) Await(timeout time.Duration, enough func([]Event) bool) bool {
	timedOut := time.After(timeout)
	for {
		s.mu.Lock()
		events, changed := s.events[:len(s.events):len(s.events)], s.changed
		s.mu.Unlock()
		if enough(events) {
			return true
		}
		select {
		case <-changed:
		case <-timedOut:
			return false
		}
	}
}

// Count counts the events of a kind for the message name, or for all messages where name is empty.
func Count(events []Event, kind Kind, name string) (n int) {
	for _, e := range events {
		if e.Kind == kind && (name == "" || e.Name == name) {
			n++
		}
	}
	return n
}

// AllEnded reports whether each of the messages was delivered, was over, or ended by a notice.
func AllEnded(events []Event, names []string) bool {
	ended := map[string]bool{}
	for _, e := range events {
		if e.Kind == NoticeReceived || e.tellsEnd() {
			ended[e.Name] = true
		}
	}
	return !slices.ContainsFunc(names, func(n string) bool { return !ended[n] })
}

// Settings are the settings of a dispatcher on a test bed, in the platform's format. They have classes of each repeat
// effect, one class that keeps its order, a kind of destination that takes several messages in a call, and one that does
// not.
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

// Configuration returns the configuration file of a dispatcher that listens on an address and uses an agent. The agent's
// present list is the last known list in it.
func Configuration(listen string, agent *Agent) []byte {
	return fmt.Appendf(nil, `{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
 "limits":{"cores":1,"memory_mb":64,"sockets":256,"disk_mb":1},"known":%s,"settings":%s}`, listen, agent.Addr, agent.FullList(), Settings)
}

// Endpoint is a stand-in for an endpoint of a partner.
type Endpoint struct {
	testbed *Testbed
	Host    string
	Dest    int
	Addr    string
	ln      net.Listener

	mu      sync.Mutex
	handler func(c Call) Reply
	// conns are the open connections.
	conns map[net.Conn]bool
	// Conns counts the connections accepted so far.
	Conns int
	// closed is set by Close.
	closed bool
	// serving counts the goroutines that serve connections.
	serving sync.WaitGroup
}

// Endpoint starts an endpoint that answers calls by handler. An empty addr takes a free port; the address of a closed
// endpoint can be used again. It fails where it cannot listen on the address.
func (s *Testbed) Endpoint(host string, dest int, addr string, handler func(Call) Reply) (*Endpoint, error) {
	if addr == "" {
		addr = loopback.Next()
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	e := &Endpoint{testbed: s, Host: host, Dest: dest, Addr: ln.Addr().String(), ln: ln, handler: handler, conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			if e.closed {
				_ = c.Close()
			} else {
				e.conns[c] = true
				e.Conns++
				e.serving.Go(func() { e.serve(c) })
			}
			e.mu.Unlock()
		}
	}()
	return e, nil
}

// SetHandler replaces the handler for calls from now on.
func (e *Endpoint) SetHandler(handler func(Call) Reply) {
	e.mu.Lock()
	e.handler = handler
	e.mu.Unlock()
}

// Close stops listening and closes the connections. All their calls are recorded when it returns.
func (e *Endpoint) Close() {
	_ = e.ln.Close()
	e.mu.Lock()
	e.closed = true
	for c := range e.conns {
		_ = c.Close()
	}
	e.mu.Unlock()
	e.serving.Wait()
}

// AcceptedConns returns the number of connections accepted so far.
func (e *Endpoint) AcceptedConns() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Conns
}

// endpointConn is a connection of an endpoint.
type endpointConn struct {
	net.Conn
	// number numbers the connections of a test bed from 1.
	number int
}

// serve answers the requests of a connection one after the other.
func (e *Endpoint) serve(netConn net.Conn) {
	e.testbed.mu.Lock()
	e.testbed.connCount++
	c := &endpointConn{Conn: netConn, number: e.testbed.connCount}
	e.testbed.mu.Unlock()
	defer func() {
		_ = c.Close()
		e.testbed.Record(Event{Kind: ConnEnded, Host: e.Host, Conn: c.number})
		e.mu.Lock()
		delete(e.conns, netConn)
		e.mu.Unlock()
	}()
	var buffered []byte
	for {
		r, body, rest, err := readRequest(c, buffered)
		if err != nil {
			return
		}
		buffered = rest
		if !e.serveCall(c, r, body) {
			return
		}
	}
}

// readRequest reads one request with its body. It returns the bytes read beyond the request as rest.
func readRequest(c net.Conn, buffered []byte) (r *h1.Request, body, rest []byte, err error) {
	chunk := make([]byte, 32<<10)
	for {
		r, headLen, err := h1.ParseRequest(buffered)
		if err != nil {
			return nil, nil, nil, err
		}
		if headLen > 0 && len(buffered) >= headLen+int(r.Length) {
			return r, buffered[headLen : headLen+int(r.Length)], buffered[headLen+int(r.Length):], nil
		}
		n, err := c.Read(chunk)
		if err != nil {
			return nil, nil, nil, err
		}
		buffered = append(buffered, chunk[:n]...)
	}
}

// serveCall answers one call. It returns false when the connection is to be closed.
func (e *Endpoint) serveCall(c *endpointConn, r *h1.Request, body []byte) bool {
	call := Call{Host: e.Host, Dest: e.Dest, Body: string(body)}
	if call.Bulk = r.Target == "/inbox/bulk"; call.Bulk {
		call.MessageNames, call.IdempotencyKeys = parseBulkBody(string(body))
	} else {
		call.MessageNames, call.IdempotencyKeys = []string{r.Fields.Get("x-txn")}, []string{r.Fields.Get("idempotency-key")}
	}
	e.testbed.mu.Lock()
	e.testbed.callCount++
	call.Number = e.testbed.callCount
	e.testbed.mu.Unlock()
	e.record(call, Event{Kind: CallReceived})
	e.mu.Lock()
	handler := e.handler
	e.mu.Unlock()
	reply := handler(call)
	readEnded := make(chan struct{})
	if reply.Delay > 0 || reply.Hang {
		// Meanwhile the connection is read only to see the dispatcher close it, because no second request may arrive.
		var readErr error
		go func() {
			defer close(readEnded)
			_, readErr = c.Read(make([]byte, 1))
		}()
		var replyDue <-chan time.Time
		if !reply.Hang {
			replyDue = time.After(reply.Delay)
		}
		select {
		case <-readEnded:
			e.record(call, Event{Kind: CallBroken})
			return false
		case <-replyDue:
			_ = c.SetReadDeadline(clock.Wall())
			<-readEnded
			_ = c.SetReadDeadline(time.Time{})
			// The dispatcher closed the connection just now, and does not read the answer.
			if !errors.Is(readErr, os.ErrDeadlineExceeded) {
				e.record(call, Event{Kind: CallBroken})
				return false
			}
		}
	}
	if reply.Drop {
		e.record(call, Event{Kind: CallBroken})
		return false
	}
	text := reply.Raw
	if text == "" {
		text = formatResponse(reply, call)
	}
	cut := reply.BreakAt > 0 && reply.BreakAt < len(text)
	if cut {
		text, reply.TrailingBytes, reply.ResetAfter = text[:reply.BreakAt], "", max(reply.ResetAfter, resetDelay)
	}
	e.recordAnswer(c, call, &reply, text, cut)
	if _, err := io.WriteString(c, text+reply.TrailingBytes); err != nil {
		return false
	}
	for _, answerCopy := range reply.Copies {
		time.AfterFunc(answerCopy.After, func() { e.sendCopy(c, text, answerCopy, call) })
	}
	if reply.ResetAfter > 0 {
		time.AfterFunc(reply.ResetAfter, func() { reset(c.Conn) })
	}
	return !reply.Close && !cut
}

// recordAnswer records what an answer tells of each message of a call: its end, or nothing if the answer is cut off before. A
// delivery of several messages counts once the whole answer is written (protocol page).
func (e *Endpoint) recordAnswer(c *endpointConn, call Call, reply *Reply, text string, cut bool) {
	event := Event{At: clock.Wall(), Kind: CallAnswered, Status: reply.Status, Wait: reply.RetryAfter, Host: call.Host, Dest: call.Dest, Call: call.Number, Conn: c.number}
	events := make([]Event, len(call.MessageNames))
	for i, name := range call.MessageNames {
		events[i] = event
		events[i].Name = name
		told := strings.Contains(text, "\r\n")
		over, listed := slices.Contains(reply.Over, name), call.Bulk && reply.Status == 200
		switch {
		case over && listed:
			events[i].Status, told = 410, strings.Contains(text, voidLine(name))
		case over && !call.Bulk:
			events[i].Status = 410
		case listed:
			told = !cut
		}
		if !told {
			events[i] = Event{At: event.At, Kind: CallBroken, Name: name, Host: call.Host, Dest: call.Dest, Call: call.Number}
		}
	}
	e.testbed.Record(events...)
}

// voidLine returns the line of an answer to several messages that tells that one is over.
func voidLine(name string) string { return name + " void\r\n" }

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// sendCopy sends an answer again. The kernel keeps the writes of several goroutines to a connection apart.
func (e *Endpoint) sendCopy(c *endpointConn, answer string, answerCopy Copy, call Call) {
	cut := answerCopy.Cut > 0 && answerCopy.Cut < len(answer)
	if cut {
		answer = answer[:answerCopy.Cut]
	}
	if _, err := io.WriteString(c, answer); err == nil {
		e.testbed.Record(Event{Kind: AnswerCopied, Host: e.Host, Call: call.Number, Conn: c.number, Cut: cut})
	}
}

// formatResponse formats an answer. A 200 for a bulk call gets a body that tells the end of each message. The answer to a call
// with a single message that is over has the status 410.
func formatResponse(reply Reply, call Call) string {
	body := reply.Body
	if reply.Status == 200 && call.Bulk && body == "" {
		for _, n := range call.MessageNames {
			if slices.Contains(reply.Over, n) {
				body += voidLine(n)
			} else {
				body += n + " done\r\n"
			}
		}
	}
	if !call.Bulk && len(reply.Over) > 0 {
		reply.Status, body = 410, cmp.Or(body, "it is over")
	}
	headers := append([]string{"Content-Length", strconv.Itoa(len(body))}, reply.ExtraHeaders...)
	if reply.RetryAfter > 0 {
		headers = append(headers, "Retry-After", strconv.FormatFloat(reply.RetryAfter.Seconds(), 'f', 3, 64))
	}
	return string(h1.AppendHead(nil, fmt.Sprintf("HTTP/1.1 %d x", reply.Status), headers...)) + body
}

// record records an event for each message of a call.
func (e *Endpoint) record(call Call, event Event) {
	event.Host, event.Dest, event.Call = call.Host, call.Dest, call.Number
	events := make([]Event, len(call.MessageNames))
	for i, n := range call.MessageNames {
		events[i] = event
		events[i].Name = n
	}
	e.testbed.Record(events...)
}

// parseBulkBody returns the names and idempotency keys of the messages in a bulk body, up to the first malformed one.
func parseBulkBody(body string) (names, keys []string) {
	for len(body) > 0 {
		line, rest, _ := strings.Cut(body, "\r\n")
		fields := strings.Fields(line)
		if len(fields) != 3 {
			return names, keys
		}
		bodyLen, _ := strconv.Atoi(fields[2])
		if bodyLen+2 > len(rest) {
			return names, keys
		}
		names, keys, body = append(names, fields[0]), append(keys, fields[1]), rest[bodyLen+2:]
	}
	return names, keys
}

// EndpointEntry is an endpoint in the list of discovery.
type EndpointEntry struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
}

// Agent is a stand-in for the platform's agent: it serves the endpoint list and takes notices.
type Agent struct {
	testbed *Testbed
	Addr    string
	// Node is the dispatcher that the agent belongs to, where there are several. It is set before the first use.
	Node string
	srv  *http.Server

	mu      sync.Mutex
	version int
	hosts   map[string]EndpointEntry
	// changes holds the published entries of each version, from version 1.
	changes [][]EndpointEntry
	// changed is closed and replaced when watches have to look again.
	changed chan struct{}
	// muted stops all answers to watches.
	muted bool
	// silencedWatches is the number of the last watch that is silenced permanently. Watches are numbered from 1.
	silencedWatches int
	// openedWatches counts the watches so far.
	openedWatches int
	// indent formats lists over several lines.
	indent bool
	// noticeStatus returns the status of the answer to a request with notices, 0 for 204 after they are recorded.
	noticeStatus func() int
	// copyDelay returns after which time a write is written again, and false where it is not. It is nil for no copies.
	copyDelay func() (time.Duration, bool)
	conns     int
}

// Agent starts an agent on a free port.
func (s *Testbed) Agent() (*Agent, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &Agent{testbed: s, Addr: ln.Addr().String(), hosts: map[string]EndpointEntry{}, changed: make(chan struct{}), noticeStatus: func() int { return 0 }}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", a.serveList)
	mux.HandleFunc("POST /v1/outcomes", a.serveNotices)
	a.srv = &http.Server{Handler: mux}
	go func() { _ = a.srv.Serve(copyingListener{ln, a}) }()
	return a, nil
}

// CopyWrites has the agent write some of its writes a second time: answers, and lists within a watch. The function copyDelay
// returns after which time a write is written again, and false where it is not.
func (a *Agent) CopyWrites(copyDelay func() (time.Duration, bool)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.copyDelay = copyDelay
}

// copyingListener accepts connections on which the agent's writes may be copied.
type copyingListener struct {
	net.Listener
	agent *Agent
}

// Accept implements net.Listener.
func (l copyingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return copyingConn{c, l.agent}, nil
}

// copyingConn is a connection of an agent.
type copyingConn struct {
	net.Conn
	agent *Agent
}

// Write implements net.Conn.
func (c copyingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.agent.mu.Lock()
	copyDelay := c.agent.copyDelay
	c.agent.mu.Unlock()
	if err != nil || copyDelay == nil {
		return n, err
	}
	if after, ok := copyDelay(); ok {
		again := bytes.Clone(b)
		time.AfterFunc(after, func() { _, _ = c.Conn.Write(again) })
	}
	return n, nil
}

// Close stops the agent.
func (a *Agent) Close() { _ = a.srv.Close() }

// SetMuted stops the answers to all watches, or resumes them.
func (a *Agent) SetMuted(muted bool) {
	a.mu.Lock()
	a.muted = muted
	a.wakeWatches()
	a.mu.Unlock()
}

// SilenceOpenWatches stops the answers to the watches that are open now. Later watches are answered.
func (a *Agent) SilenceOpenWatches() {
	a.mu.Lock()
	a.silencedWatches = a.openedWatches
	a.wakeWatches()
	a.mu.Unlock()
}

// IndentLists formats the lists sent from now on over several lines.
func (a *Agent) IndentLists() {
	a.mu.Lock()
	a.indent = true
	a.mu.Unlock()
}

// FailNotices answers notices with a status and does not record them. A status of 0 restores the normal answers.
func (a *Agent) FailNotices(status int) { a.SetNoticeStatus(func() int { return status }) }

// SetNoticeStatus sets the function that returns the status of the answer to each request with notices. Where it is 0, the
// notices are recorded and answered 204.
func (a *Agent) SetNoticeStatus(status func() int) {
	a.mu.Lock()
	a.noticeStatus = status
	a.mu.Unlock()
}

// wakeWatches wakes the open watches. The caller holds the lock.
func (a *Agent) wakeWatches() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// Publish publishes changed endpoints.
func (a *Agent) Publish(entries ...EndpointEntry) { a.PublishAt(a.testbed.Now(), entries...) }

// PublishAt publishes changed endpoints now, and records them as listed at the given time.
func (a *Agent) PublishAt(at time.Time, entries ...EndpointEntry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.version++
	for _, entry := range entries {
		a.hosts[entry.Host] = entry
		if entry.Health == "gone" {
			delete(a.hosts, entry.Host)
		}
		a.testbed.Record(Event{At: at, Kind: HealthListed, Host: entry.Host, Health: entry.Health, Node: a.Node})
	}
	a.changes = append(a.changes, entries)
	a.wakeWatches()
}

// FullList returns the full list as JSON.
func (a *Agent) FullList() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	entries := []EndpointEntry{}
	for _, h := range a.hosts {
		entries = append(entries, h)
	}
	text, _ := json.Marshal(map[string]any{"seq": a.version, "whole": true, "hosts": entries})
	return string(text)
}

// serveList answers a request for the list. Without a watch it sends the full list once. With a watch it sends the
// changes after a version, or the full list, and continues with later changes; an empty line every 2 s keeps the
// connection alive. While the agent is muted it sends nothing, and answers afterwards.
func (a *Agent) serveList(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("watch") == "" {
		_, _ = io.WriteString(w, a.FullList())
		return
	}
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	flusher := w.(http.Flusher)
	a.mu.Lock()
	a.openedWatches++
	watch := a.openedWatches
	a.mu.Unlock()
	a.testbed.Record(Event{Kind: WatchOpened})
	for first := true; ; {
		a.mu.Lock()
		changed, muted := a.changed, a.muted || watch <= a.silencedWatches
		text := ""
		if !muted && (first || from < a.version) {
			text, first, from = a.changesSince(from), false, a.version
		}
		a.mu.Unlock()
		_, _ = io.WriteString(w, text)
		flusher.Flush()
		if text != "" {
			a.testbed.Record(Event{Kind: ListSent})
		}
		select {
		case <-changed:
		case <-time.After(2 * time.Second):
			if !muted {
				_, _ = io.WriteString(w, "\n")
				flusher.Flush()
			}
		case <-r.Context().Done():
			return
		}
	}
}

// changesSince returns the changes after a version, or the full list where that version is unknown. The caller holds the
// lock.
func (a *Agent) changesSince(from int) string {
	whole := from <= 0 || from > a.version
	entries := []EndpointEntry{}
	if whole {
		for _, h := range a.hosts {
			entries = append(entries, h)
		}
	} else {
		for _, change := range a.changes[from:] {
			entries = append(entries, change...)
		}
	}
	list := map[string]any{"seq": a.version, "whole": whole, "hosts": entries}
	text, _ := json.Marshal(list)
	if a.indent {
		text, _ = json.MarshalIndent(list, "", "  ")
	}
	return string(text) + "\n"
}

// serveNotices records the notices of a request, one JSON value each.
func (a *Agent) serveNotices(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	noticeStatus := a.noticeStatus
	a.mu.Unlock()
	status, kind := noticeStatus(), NoticeReceived
	if status != 0 {
		kind = NoticeRefused
	}
	dec := json.NewDecoder(r.Body)
	for {
		var notice struct {
			ID     string `json:"id"`
			Status string `json:"status"`
			Again  int64  `json:"again_ms"`
		}
		if err := dec.Decode(&notice); err != nil {
			break
		}
		a.testbed.Record(Event{Kind: kind, Name: notice.ID, Text: notice.Status, Wait: time.Duration(notice.Again) * time.Millisecond})
	}
	w.WriteHeader(cmp.Or(status, 204))
}

// Message is a message that a client submits.
type Message struct {
	// Name identifies the message, IdempotencyKey is its key at the partner, and OrderKey is the key of its order.
	Name, Class, Tenant, IdempotencyKey, OrderKey string
	Dest                                          int
	// Remaining is the time until the deadline.
	Remaining time.Duration
	Body      string
}

// Submit submits a message on a new connection and records the result. It returns the status of the answer, 0 where none
// came within 400 ms.
func (s *Testbed) Submit(addr string, m Message) int {
	sent := clock.Wall()
	status := submit(addr, m)
	e := Event{Kind: Refused, Name: m.Name, Status: status}
	if status == 202 || status == 200 {
		e = Event{Kind: Accepted, Name: m.Name, Class: m.Class, Dest: m.Dest, Due: sent.Add(m.Remaining), Key: m.OrderKey, Sent: sent}
	}
	s.Record(e)
	return status
}

// submit submits a message on a new connection and returns the status of the answer, 0 for none.
func submit(addr string, m Message) int {
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

// ReadStatus reads the status of the first answer on a connection. It returns 0 and the error where none can be read.
func ReadStatus(c net.Conn) (int, error) {
	var buffered []byte
	buf := make([]byte, 4096)
	for {
		n, err := c.Read(buf)
		buffered = append(buffered, buf[:n]...)
		if r, size, perr := h1.ParseResponse(buffered); perr == nil && size > 0 {
			return r.Status, nil
		}
		if err != nil {
			return 0, err
		}
	}
}

// ReadStatuses reads up to count answers on a connection and returns their statuses. It returns fewer where the
// connection ends, an answer is malformed or the read deadline passes.
func ReadStatuses(c net.Conn, count int) (statuses []int) {
	var buffered []byte
	buf := make([]byte, 4096)
	for len(statuses) < count {
		n, err := c.Read(buf)
		buffered = append(buffered, buf[:n]...)
		for {
			r, size, perr := h1.ParseResponse(buffered)
			if perr != nil || size == 0 {
				break
			}
			statuses = append(statuses, r.Status)
			buffered = buffered[size:]
		}
		if err != nil {
			break
		}
	}
	return statuses
}

// EncodeRequest returns the HTTP/1.1 request that submits a message.
func EncodeRequest(m Message) []byte {
	headers := []string{"Host", "api.internal", "X-Txn", m.Name, "X-Lane", m.Class, "X-Org", m.Tenant, "X-Remaining",
		strconv.FormatFloat(m.Remaining.Seconds(), 'f', 3, 64), "Content-Length", strconv.Itoa(len(m.Body)), "X-Consignee", fmt.Sprintf("dest=%d", m.Dest)}
	if m.IdempotencyKey != "" {
		headers = append(headers, "Idempotency-Key", m.IdempotencyKey)
	}
	if m.OrderKey != "" {
		headers = append(headers, "X-Entity", "key="+m.OrderKey)
	}
	return append(h1.AppendHead(nil, "POST /"+m.Class+" HTTP/1.1", headers...), m.Body...)
}
