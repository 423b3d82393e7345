package testbed

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
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
	// CloseIdleAfter is the time from the answer until the connection is closed in order, unless a further call has begun to arrive by
	// then. It is 0 if the connection stays open.
	CloseIdleAfter time.Duration
	// CopyAtClose sends the answer again right before the close by CloseIdleAfter.
	CopyAtClose bool
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
	// idle tells how the connection is closed if no further call comes. It is nil while it is to stay open.
	idle *idleClose
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
		if c.idle != nil && len(buffered) == 0 {
			if buffered = e.awaitFurtherCall(c); buffered == nil {
				return
			}
		}
	}
}

// idleClose is what an endpoint does with a connection that carries no further call.
type idleClose struct {
	after time.Duration
	// finalCopy is sent before the close.
	finalCopy string
	// call is the last call.
	call Call
}

// awaitFurtherCall returns the first bytes of a further call, or nil if the connection is to be closed because there is none.
func (e *Endpoint) awaitFurtherCall(c *endpointConn) []byte {
	idle := c.idle
	c.idle = nil
	first := make([]byte, 32<<10)
	_ = c.SetReadDeadline(clock.After(idle.after))
	n, err := c.Read(first)
	_ = c.SetReadDeadline(time.Time{})
	switch {
	case n > 0:
		return first[:n]
	case errors.Is(err, os.ErrDeadlineExceeded) && idle.finalCopy != "":
		e.sendCopy(c, idle.finalCopy, Copy{}, idle.call)
	}
	return nil
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
	if reply.CloseIdleAfter > 0 {
		c.idle = &idleClose{after: reply.CloseIdleAfter, call: call}
		if reply.CopyAtClose {
			c.idle.finalCopy = text
		}
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
