package testbed

import (
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

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
	// quiet leaves out the first object of a watch if nothing has changed since the version of its request.
	quiet bool
	// silencedWatches is the number of the last watch that is silenced permanently. Watches are numbered from 1.
	silencedWatches int
	// openedWatches counts the watches so far.
	openedWatches int
	// brokenWatches is the number of the last watch whose connection is closed.
	brokenWatches int
	// pace tells how slowly requests are answered.
	pace AgentPace
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

// SetQuiet has a watch from the present version get nothing but empty lines.
func (a *Agent) SetQuiet(quiet bool) {
	a.mu.Lock()
	a.quiet = quiet
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
	watch, pace := a.openedWatches, a.pace
	a.mu.Unlock()
	a.testbed.Record(Event{Kind: WatchOpened})
	for first := true; ; {
		a.mu.Lock()
		changed, muted, broken := a.changed, a.muted || watch <= a.silencedWatches, watch <= a.brokenWatches
		text, slow := "", first && pace.FirstList > 0
		if !muted && (first && !(a.quiet && from == a.version) || from < a.version) {
			text, first, from = a.changesSince(from), false, a.version
		}
		a.mu.Unlock()
		if broken {
			panic(http.ErrAbortHandler)
		}
		if !slow || text == "" {
			_, _ = io.WriteString(w, text)
			flusher.Flush()
		} else if !a.writeSlowly(w, r, text, pace) {
			return
		}
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
	noticeStatus, pace := a.noticeStatus, a.pace
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
	time.Sleep(pace.Notices)
	w.WriteHeader(cmp.Or(status, 204))
}
