package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"whinrun/internal/h1"
	"whinrun/internal/ledger"
)

// noticeSender sends notices to the platform and repeats each until it is acknowledged. A noticePlan decides what is sent when.
type noticeSender struct {
	agent *agent
	now   func() time.Duration
	// onAcknowledged is called with the message ids of acknowledged notices.
	onAcknowledged func(names []string)
	log            func(format string, a ...any)

	mu sync.Mutex
	// added holds the notices that run has not seen yet.
	added []ledger.Notice
	// count is the number of notices that are not acknowledged.
	count int
	// wake receives a value when a notice is added.
	wake chan struct{}
	// done is closed when run has returned.
	done chan struct{}

	// The fields below belong to the goroutine of run.

	plan noticePlan
	// open holds the function that closes each open request, by id.
	open map[uint64]context.CancelFunc
	// spare is a connection for the next request, nil if there is none. It is opened ahead, so that notices leave while
	// descriptors are short.
	spare net.Conn
	// wantSpare tells that a spare connection is to be opened, and openingSpare that one is being opened.
	wantSpare, openingSpare bool
	// avoidSpare has the next request opened on a new connection, because one on a spare connection has failed.
	avoidSpare bool
	events     chan noticeEvent
}

// noticeEvent reports the end of a request, or a spare connection.
type noticeEvent struct {
	// request is the id of the request that has ended, 0 for a spare connection.
	request uint64
	// size is the number of notices of the request.
	size int
	// status is the status of its answer, 0 if err tells why there is none.
	status int
	err    error
	// onSpare tells that the request was sent on a spare connection, which the agent may have closed before.
	onSpare bool
	// spare is a spare connection, nil if it could not be opened.
	spare net.Conn
}

// newNoticeSender returns a sender that posts notices to agent a once run is called.
func newNoticeSender(a *agent, now func() time.Duration, onAcknowledged func([]string), log func(string, ...any)) *noticeSender {
	return &noticeSender{agent: a, now: now, onAcknowledged: onAcknowledged, log: log, wake: make(chan struct{}, 1), done: make(chan struct{}),
		open: map[uint64]context.CancelFunc{}, wantSpare: true, events: make(chan noticeEvent)}
}

// enqueue adds notices. The queue needs no bound of its own: every notice is also in the ledger, which is
// bounded.
func (n *noticeSender) enqueue(all ...ledger.Notice) {
	n.mu.Lock()
	n.added = append(n.added, all...)
	n.count += len(all)
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
	return n.count
}

// run sends notices until the agent is stopped.
func (n *noticeSender) run() {
	defer close(n.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	changed := n.agent.addressChange()
	for {
		n.openSpare()
		n.startRequests(timer)
		select {
		case <-n.agent.quit:
			return
		case <-changed:
			if n.agent.stopped() {
				return
			}
			changed = n.agent.addressChange()
			n.discardSpare()
			n.closeRequests(n.plan.restart()...)
		case <-n.wake:
		case e := <-n.events:
			n.handleEvent(e)
		case <-timer.C:
		}
	}
}

// startRequests starts the requests that are due, and sets the timer for the next one.
func (n *noticeSender) startRequests(timer *time.Timer) {
	n.mu.Lock()
	added := n.added
	n.added = nil
	n.mu.Unlock()
	now := n.now()
	n.plan.add(added...)
	for {
		toClose, request, next := n.plan.step(now)
		if toClose > 0 {
			n.closeRequests(toClose)
		}
		if request == nil {
			timer.Stop()
			if next > 0 {
				timer.Reset(next - now)
			}
			return
		}
		n.start(request)
	}
}

// start starts a request in a goroutine of its own, on the spare connection if there is one.
func (n *noticeSender) start(r *noticeRequest) {
	ctx, stop := context.WithCancel(context.Background())
	n.open[r.id] = stop
	body := encodeNotices(r.notices)
	var spare net.Conn
	if !n.avoidSpare {
		spare, n.spare = n.spare, nil
	}
	n.avoidSpare = false
	event := noticeEvent{request: r.id, size: len(r.notices), onSpare: spare != nil}
	go func() {
		event.status, event.err = n.post(ctx, spare, body)
		n.send(event)
	}()
}

// closeRequests closes requests.
func (n *noticeSender) closeRequests(ids ...uint64) {
	for _, id := range ids {
		n.open[id]()
		delete(n.open, id)
	}
}

// send passes an event to run.
func (n *noticeSender) send(e noticeEvent) {
	select {
	case n.events <- e:
	case <-n.agent.quit:
	}
}

// openSpare opens a spare connection if one is wanted and there is none.
func (n *noticeSender) openSpare() {
	if !n.wantSpare || n.spare != nil || n.openingSpare {
		return
	}
	n.wantSpare, n.openingSpare = false, true
	go func() {
		c, _ := n.agent.dial(context.Background())
		n.send(noticeEvent{spare: c})
	}()
}

// discardSpare closes the spare connection and has another one opened.
func (n *noticeSender) discardSpare() {
	n.wantSpare = true
	if n.spare != nil {
		n.agent.closeConn(n.spare)
		n.spare = nil
	}
}

// handleEvent handles the end of a request or a spare connection. A request that the platform answers with status 400 is logged
// and then counts as acknowledged.
func (n *noticeSender) handleEvent(e noticeEvent) {
	if e.request == 0 {
		n.openingSpare, n.spare = false, e.spare
		return
	}
	n.wantSpare = true
	if n.open[e.request] != nil {
		n.closeRequests(e.request)
	}
	if e.err != nil || e.status != 204 && e.status != 200 && e.status != 400 {
		atOnce := e.onSpare && e.err != nil
		n.avoidSpare = n.avoidSpare || atOnce
		if n.plan.failed(e.request, n.now(), atOnce) && !atOnce {
			n.log("%d notices wait: status %d, %v", n.waiting(), e.status, e.err)
		}
		return
	}
	if e.status == 400 {
		n.log("%d notices were not understood", e.size)
	}
	acknowledged := n.plan.answered(e.request, n.now())
	if len(acknowledged) == 0 {
		return
	}
	n.onAcknowledged(acknowledged)
	n.mu.Lock()
	n.count -= len(acknowledged)
	n.mu.Unlock()
}

// post sends one request on a connection of its own and returns the status of its response. The response names no notice. On a
// connection with earlier requests it could be a second copy of an earlier response. The connection spare is used if it is not nil.
// Only ctx limits how long connecting and waiting may take.
func (n *noticeSender) post(ctx context.Context, spare net.Conn, body []byte) (int, error) {
	c := spare
	if c == nil {
		var err error
		if c, err = n.agent.dial(ctx); err != nil {
			return 0, err
		}
	}
	defer n.agent.closeConn(c)
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	return postNotices(c, body)
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
func encodeNotices(batch []*queuedNotice) (b []byte) {
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
func postNotices(c net.Conn, body []byte) (int, error) {
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
