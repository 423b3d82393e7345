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

// maxNoticesPerRequest is the largest number of notices in one request. It keeps the body far below 64 KiB.
const maxNoticesPerRequest = 128

// noticeSender sends notices to the platform in order and repeats each until it is acknowledged.
type noticeSender struct {
	agent *agent
	// onAcknowledged is called with the message ids of acknowledged notices.
	onAcknowledged func(names []string)
	log            func(format string, a ...any)

	mu sync.Mutex
	// queue holds the notices that are not acknowledged, oldest first.
	queue []ledger.Notice
	// wake receives a value when a notice is added.
	wake chan struct{}
	// done is closed when run has returned.
	done chan struct{}
}

// newNoticeSender returns a sender that posts notices to agent a once run is called.
func newNoticeSender(a *agent, onAcknowledged func([]string), log func(string, ...any)) *noticeSender {
	return &noticeSender{agent: a, onAcknowledged: onAcknowledged, log: log, wake: make(chan struct{}, 1), done: make(chan struct{})}
}

// enqueue adds notices. The queue needs no bound of its own: every notice is also in the ledger, which is
// bounded.
func (n *noticeSender) enqueue(all ...ledger.Notice) {
	n.mu.Lock()
	n.queue = append(n.queue, all...)
	n.mu.Unlock()
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// waiting returns the number of notices that are not acknowledged.
func (n *noticeSender) waiting() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.queue)
}

// run sends notices until the agent is stopped. A batch that the platform answers with status 400 is logged
// and then counts as acknowledged.
func (n *noticeSender) run() {
	defer close(n.done)
	backoff := noticeBackoffMin
	for {
		// The connection of the next request is opened ahead of it, so that notices leave while descriptors are short.
		spare, _ := n.agent.dial()
		batch := n.nextBatch()
		if len(batch) == 0 {
			return
		}
		status, err := n.post(spare, batch)
		if err == nil && (status == 204 || status == 200 || status == 400) {
			if status == 400 {
				n.log("%d notices were not understood", len(batch))
			}
			n.dequeue(batch)
			backoff = noticeBackoffMin
			continue
		}
		if n.agent.stopped() {
			return
		}
		n.log("%d notices wait: status %d, %v", n.waiting(), status, err)
		if !n.agent.wait(backoff) {
			return
		}
		backoff = min(2*backoff, noticeBackoffMax)
	}
}

// nextBatch waits for notices and returns the oldest ones. It returns none if the agent is stopped.
func (n *noticeSender) nextBatch() []ledger.Notice {
	for {
		n.mu.Lock()
		size := min(maxNoticesPerRequest, len(n.queue))
		batch := n.queue[:size:size]
		n.mu.Unlock()
		if size > 0 {
			return batch
		}
		select {
		case <-n.wake:
		case <-n.agent.quit:
			return nil
		}
	}
}

// post sends one request on a connection of its own and returns the status of its response. The response names no notice.
// On a connection with earlier requests it could be a second copy of an earlier response. The connection spare is used if it
// is not nil; the agent may have closed it meanwhile.
func (n *noticeSender) post(spare net.Conn, batch []ledger.Notice) (int, error) {
	if spare != nil {
		status, err := postNotices(spare, batch)
		n.agent.closeConn(spare)
		if err == nil || n.agent.stopped() {
			return status, err
		}
	}
	c, err := n.agent.dial()
	if err != nil {
		return 0, err
	}
	defer n.agent.closeConn(c)
	return postNotices(c, batch)
}

// dequeue reports a batch as acknowledged and removes it from the queue.
func (n *noticeSender) dequeue(batch []ledger.Notice) {
	names := make([]string, len(batch))
	for i := range batch {
		names[i] = batch[i].Name
	}
	n.onAcknowledged(names)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.queue = n.queue[len(batch):]; len(n.queue) == 0 {
		n.queue = nil
	}
}

// outcome is one line of a request.
type outcome struct {
	// ID is the id of the message.
	ID string `json:"id"`
	// Status is "undeliverable" or "deferred".
	Status string `json:"status"`
	// RetryAfterMs is when a deferred message may be submitted again, in milliseconds from now, 0 if that is
	// not known.
	RetryAfterMs int64 `json:"again_ms,omitempty"`
}

// encodeNotices returns the body of a request, with one JSON object a line.
func encodeNotices(batch []ledger.Notice) (b []byte) {
	for _, notice := range batch {
		o := outcome{ID: notice.Name, Status: "undeliverable"}
		if notice.Deferred {
			o.Status, o.RetryAfterMs = "deferred", notice.RetryAfterMillis
		}
		// Marshalling plain strings and numbers cannot fail.
		text, _ := json.Marshal(o)
		b = append(append(b, text...), '\n')
	}
	return b
}

// postNotices sends one request and returns the status of its response.
func postNotices(c net.Conn, batch []ledger.Notice) (int, error) {
	body := encodeNotices(batch)
	_ = c.SetDeadline(clock.After(agentTimeout))
	req := h1.AppendHead(nil, "POST /v1/outcomes HTTP/1.1", "Host", "discovery", "Content-Type", "application/x-ndjson",
		"Connection", "close", "Content-Length", strconv.Itoa(len(body)))
	if _, err := c.Write(append(req, body...)); err != nil {
		return 0, err
	}
	var received []byte
	buf := make([]byte, 4<<10)
	for {
		n, err := c.Read(buf)
		received = append(received, buf[:n]...)
		head, size, parseErr := h1.ParseResponse(received)
		switch {
		case parseErr != nil:
			return 0, parseErr
		case size > 0 && head.Length >= 0 && int64(len(received)-size) >= head.Length:
			return head.Status, nil
		case size > 0 && (head.Length < 0 || head.Length > int64(maxResponseBody)):
			return head.Status, fmt.Errorf("status %d: response body has no length or is too large", head.Status)
		case err != nil:
			return 0, err
		}
	}
}
