package platform

import (
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"sync"

	"whinrun/internal/clock"
	"whinrun/internal/h1"
	"whinrun/internal/ledger"
)

// group bounds the notices of one request: far below 64 KiB of lines.
const group = 128

// noticer brings notices to the platform, in order, each until it is acknowledged.
type noticer struct {
	agent *agent
	acked func(names []string)
	log   func(format string, a ...any)

	mu    sync.Mutex
	queue []ledger.Notice
	kick  chan struct{}
	done  chan struct{}
}

func newNoticer(a *agent, acked func([]string), log func(string, ...any)) *noticer {
	return &noticer{agent: a, acked: acked, log: log, kick: make(chan struct{}, 1), done: make(chan struct{})}
}

// put adds a notice. The ledger bounds how many there can be: what waits here is in it.
func (n *noticer) put(all ...ledger.Notice) {
	n.mu.Lock()
	n.queue = append(n.queue, all...)
	n.mu.Unlock()
	select {
	case n.kick <- struct{}{}:
	default:
	}
}

// waiting counts the notices not acknowledged.
func (n *noticer) waiting() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.queue)
}

// run sends until the agent is stopped.
func (n *noticer) run() {
	defer close(n.done)
	var c net.Conn
	gap := againLeast
	for {
		n.mu.Lock()
		batch := n.queue[:min(group, len(n.queue)):min(group, len(n.queue))]
		n.mu.Unlock()
		if len(batch) == 0 {
			select {
			case <-n.kick:
				continue
			case <-n.agent.quit:
				return
			}
		}
		kept := c != nil
		var status int
		var err error
		if c == nil {
			c, err = n.agent.dial()
		}
		if err == nil {
			status, err = post(c, batch)
		}
		if err == nil && (status == 204 || status == 200 || status == 400) {
			if status == 400 {
				n.log("%d notices were not understood", len(batch))
			}
			n.taken(batch)
			gap = againLeast
			continue
		}
		if c != nil {
			n.agent.hangUp(c)
			c = nil
		}
		if kept && err != nil && !n.agent.stopped() { // the connection may have been closed while idle
			continue
		}
		if n.agent.stopped() {
			return
		}
		n.log("%d notices wait: status %d, %v", n.waiting(), status, err)
		if !n.agent.pause(gap) {
			return
		}
		gap = min(2*gap, againMost)
	}
}

func (n *noticer) taken(batch []ledger.Notice) {
	names := make([]string, len(batch))
	for i := range batch {
		names[i] = batch[i].Name
	}
	n.acked(names)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.queue = n.queue[len(batch):]; len(n.queue) == 0 {
		n.queue = nil
	}
}

// outcome is one line of a request.
type outcome struct {
	ID           string `json:"id"`
	Status       string `json:"status"`
	RetryAfterMs int64  `json:"again_ms,omitempty"`
}

func lines(batch []ledger.Notice) (b []byte) {
	for _, x := range batch {
		o := outcome{ID: x.Name, Status: "undeliverable"}
		if x.Deferred {
			o.Status, o.RetryAfterMs = "deferred", x.RetryAfterMillis
		}
		text, _ := json.Marshal(o) // plain strings and numbers: it can't fail
		b = append(append(b, text...), '\n')
	}
	return b
}

// post makes one request and reads its answer's status.
func post(c net.Conn, batch []ledger.Notice) (int, error) {
	body := lines(batch)
	_ = c.SetDeadline(clock.After(agentConnect))
	req := h1.AppendHead(nil, "POST /v1/outcomes HTTP/1.1", "Host", "discovery", "Content-Type", "application/x-ndjson",
		"Content-Length", strconv.Itoa(len(body)))
	if _, err := c.Write(append(req, body...)); err != nil {
		return 0, err
	}
	var in []byte
	buf := make([]byte, 4<<10)
	for {
		n, err := c.Read(buf)
		in = append(in, buf[:n]...)
		head, size, perr := h1.ParseResponse(in)
		switch {
		case perr != nil:
			return 0, perr
		case size > 0 && head.Length >= 0 && int64(len(in)-size) >= head.Length:
			if head.Close {
				_ = c.Close() // the next request finds it so, and takes another
			}
			return head.Status, nil
		case size > 0 && (head.Length < 0 || head.Length > int64(maxAnswer)):
			return head.Status, fmt.Errorf("status %d with a body that is not read", head.Status)
		case err != nil:
			return 0, err
		}
	}
}
