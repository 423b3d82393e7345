package platform

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"whinrun/internal/h1"
)

// Times of the connections to the platform's agent, which is on this machine: it answers at once or is down.
const (
	agentConnect = time.Second
	agentSilent  = 5 * time.Second // a watch says something every 2 s
	againLeast   = 100 * time.Millisecond
	againMost    = time.Second
	maxListLine  = 4 << 20 // bytes of one line of a watch
)

// agent is where discovery and notices are. The address may change in service: connections to the old one end then.
type agent struct {
	mu    sync.Mutex
	addr  netip.AddrPort
	conns map[net.Conn]struct{}
	moved chan struct{} // closed at a change
	quit  chan struct{}
}

func newAgent(addr netip.AddrPort) *agent {
	return &agent{addr: addr, conns: map[net.Conn]struct{}{}, moved: make(chan struct{}), quit: make(chan struct{})}
}

// move changes the address.
func (a *agent) move(addr netip.AddrPort) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if addr == a.addr {
		return
	}
	a.addr = addr
	for c := range a.conns {
		_ = c.Close()
	}
	close(a.moved)
	a.moved = make(chan struct{})
}

// stop ends all connections, for good.
func (a *agent) stop() {
	close(a.quit)
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.conns {
		_ = c.Close()
	}
}

func (a *agent) stopped() bool {
	select {
	case <-a.quit:
		return true
	default:
		return false
	}
}

func (a *agent) dial() (net.Conn, error) {
	a.mu.Lock()
	addr := a.addr
	a.mu.Unlock()
	c, err := net.DialTimeout("tcp", addr.String(), agentConnect)
	if err != nil {
		return nil, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.addr != addr || a.stopped() {
		return nil, errors.Join(errors.New("the address has changed"), c.Close())
	}
	a.conns[c] = struct{}{}
	return c, nil
}

func (a *agent) hangUp(c net.Conn) {
	a.mu.Lock()
	delete(a.conns, c)
	a.mu.Unlock()
	_ = c.Close()
}

// pause waits before a next try; a new address ends the wait. It is false at the stop.
func (a *agent) pause(d time.Duration) bool {
	a.mu.Lock()
	moved := a.moved
	a.mu.Unlock()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-moved:
	case <-a.quit:
		return false
	}
	return true
}

// watcher keeps the endpoint list up to date by a watch.
type watcher struct {
	agent *agent
	seq   int64 // version of the list as told last
	told  func(List)
	log   func(format string, a ...any)
}

// run watches until the agent is stopped.
func (w *watcher) run() {
	gap := againLeast
	for !w.agent.stopped() {
		seq := w.seq
		start := time.Now()
		err := w.watch()
		if w.seq != seq || time.Since(start) > 2*agentSilent {
			gap = againLeast
		}
		if w.agent.stopped() {
			return
		}
		w.log("watch ended: %v", err)
		if !w.agent.pause(gap) {
			return
		}
		gap = min(2*gap, againMost)
	}
}

// watch follows one watch until it ends.
func (w *watcher) watch() error {
	c, err := w.agent.dial()
	if err != nil {
		return err
	}
	defer w.agent.hangUp(c)
	r := &watchReader{told: w.take}
	buf := make([]byte, 16<<10)
	_ = c.SetDeadline(time.Now().Add(agentSilent))
	_, err = c.Write(h1.AppendHead(nil, fmt.Sprintf("GET /v1/endpoints?watch=1&from=%d HTTP/1.1", w.seq), "Host", "discovery"))
	for err == nil {
		var n int
		if n, err = c.Read(buf); n > 0 {
			_ = c.SetDeadline(time.Now().Add(agentSilent))
			err = errors.Join(r.read(buf[:n]), err)
		}
	}
	return err
}

// take passes a list on. Changes that are known already change nothing.
func (w *watcher) take(l List) {
	if !l.Whole && l.Seq <= w.seq {
		return
	}
	w.seq = l.Seq
	w.told(l)
}

// watchReader reads the answer of a watch: a chunked body with a JSON object on each line.
type watchReader struct {
	told   func(List)
	head   *h1.Response
	in     []byte // a head that is not whole, then a line that is not
	chunks h1.Chunks
}

var errWatchEnds = errors.New("the watch has ended")

func (r *watchReader) read(b []byte) error {
	if r.head == nil {
		r.in = append(r.in, b...)
		head, n, err := h1.ParseResponse(r.in)
		if err != nil || n == 0 {
			return err
		}
		if head.Status != 200 {
			return fmt.Errorf("status %d", head.Status)
		}
		r.head, b, r.in = head, r.in[n:], nil
	}
	var err error
	if r.head.Chunked {
		r.in, _, err = r.chunks.Read(r.in, b)
	} else {
		r.in = append(r.in, b...)
	}
	if err != nil {
		return err
	}
	for {
		at := bytes.IndexByte(r.in, '\n')
		if at < 0 {
			break
		}
		if err := r.line(bytes.TrimSpace(r.in[:at])); err != nil {
			return err
		}
		r.in = r.in[at+1:]
	}
	if len(r.in) == 0 {
		r.in = nil
	}
	switch {
	case len(r.in) > maxListLine:
		return fmt.Errorf("a line longer than %d bytes", maxListLine)
	case r.chunks.Done():
		return errWatchEnds
	}
	return nil
}

func (r *watchReader) line(text []byte) error {
	if len(text) == 0 {
		return nil
	}
	var l List
	if err := json.Unmarshal(text, &l); err != nil {
		return fmt.Errorf("a line of the list: %w", err)
	}
	r.told(l)
	return nil
}
