package platform

import (
	"bytes"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"whinrun/control"
	"whinrun/internal/admission"
	"whinrun/internal/engine"
	"whinrun/internal/front"
	"whinrun/internal/h1"
)

// Limits of client connections.
const (
	// maxBody is the largest body of a request, in bytes. It also bounds the bodies of one bulk call.
	maxBody = 64 << 10
	// requestTimeout is how long a request may take to arrive: the first one from the time of connecting,
	// later ones from their first byte.
	requestTimeout = 2 * time.Second
	// clientIdleTimeout is how long a connection may stay open without a request.
	clientIdleTimeout = 4 * time.Second
	// maxMessageID is the largest length of a message id, in bytes.
	maxMessageID = 64
	// maxPipelinedBytes is the number of bytes of further requests that are read while an answer is pending.
	maxPipelinedBytes = 32 << 10
	// maxIdempotencyKey is the largest length of an idempotency key, in bytes.
	maxIdempotencyKey = 128
	// refusalRetryAfter is the Retry-After that goes with a 503 response.
	refusalRetryAfter = time.Second
)

// ClientHandler holds what all client sessions share.
type ClientHandler struct {
	// classes holds the number of each class, by name.
	classes map[string]int
	// requiresKey tells for each class whether its messages must carry an idempotency key.
	requiresKey []bool
	// tenants holds the number of each tenant, by name.
	tenants map[string]int
	// knowsDestination reports whether a destination is in the endpoint list or was until recently.
	knowsDestination func(dest int) bool
	// isOutstanding reports whether a message with an id has no final answer, or its notice is not acknowledged.
	isOutstanding func(name string) bool
	// recentIDs holds the ids of the messages that were handed in lately.
	recentIDs *recentIDs
	// ready reports whether an endpoint list is known.
	ready func() bool
	// admission limits and counts the clients' messages and connections.
	admission *admission.Frontend
	// trace is called for each response and each connection that times out.
	trace func(format string, a ...any)
	// stopping is set when the dispatcher begins to stop.
	stopping atomic.Bool
}

// NewClientHandler returns a ClientHandler for the classes and tenants of settings s. Its function fields
// must be set before the first session opens.
func NewClientHandler(s control.Settings, side *admission.Frontend) *ClientHandler {
	h := &ClientHandler{admission: side, recentIDs: newRecentIDs(), trace: func(string, ...any) {}}
	h.classes, h.tenants = indexByName(&s)
	for _, c := range s.Classes {
		h.requiresKey = append(h.requiresKey, c.Effect == control.Deduplicated)
	}
	return h
}

// indexByName returns the numbers of the classes and tenants of the settings, by name.
func indexByName(s *control.Settings) (classes, tenants map[string]int) {
	classes, tenants = map[string]int{}, map[string]int{}
	for i, c := range s.Classes {
		classes[c.Name] = i
	}
	for i, t := range s.Tenants {
		tenants[t.Name] = i
	}
	return classes, tenants
}

// Open returns the session of a new connection.
func (h *ClientHandler) Open(c *front.Conn, now time.Duration) front.Session {
	return &session{handler: h, peer: c.Peer(), deliver: c.Post, opened: now, lastActivity: now}
}

// session is one client connection. It handles one request at a time, in order. A message is answered in the
// engine round that takes it. Requests that a client sends ahead of an answer wait (RFC 9112 section 9.3.2).
type session struct {
	handler *ClientHandler
	// peer is the client's address, for the trace.
	peer string
	// lastID is the id of the last submitted message, for the trace.
	lastID string
	// deliver passes a task to the connection's event loop.
	deliver func(front.Task) bool
	// opened is when the connection was accepted.
	opened time.Duration
	// lastActivity is when the last request was answered, or when the first byte of the current request
	// arrived.
	lastActivity time.Duration
	// inBuf holds received bytes that have not been handled.
	inBuf []byte
	// head is the request head whose body is awaited, nil for none.
	head *h1.Request
	// headSize is the size of head, in bytes.
	headSize int
	// loadReservation accounts for the current request at admission. It is nil if there is none.
	loadReservation *admission.Reservation
	// pending is the submitted message whose answer is awaited, nil for none.
	pending *pendingRequest
	// answered tells that a request has been answered.
	answered bool
	// goingAway tells that the connection ends once no request is left.
	goingAway bool
	// stopping tells that the process ends and incomplete requests are not awaited.
	stopping bool
	// closing tells that the connection is closed once outBuf is written.
	closing bool
	// outBuf holds bytes to be written.
	outBuf []byte
}

// pendingRequest is the engine.Origin of a message until its sender has been answered.
type pendingRequest struct {
	session *session
	// closeAfter tells that the connection ends after the answer.
	closeAfter bool
	// accepted tells that the message was accepted. It is used on the engine's goroutine only.
	accepted bool
}

// submitResult is the answer that a sender is to get. It implements front.Task.
type submitResult struct {
	request *pendingRequest
	// final is how the message ended, Served if it was accepted.
	final engine.AnswerKind
	// retryAfter is the wait that is sent to a refused sender.
	retryAfter control.Time
}

// Accepted implements engine.AcceptNotifier.
func (r *pendingRequest) Accepted(*engine.Message) {
	r.accepted = true
	r.session.deliver(submitResult{request: r, final: engine.Served})
}

// Answer implements engine.Origin. The end of an accepted message is reported by the ledgerAdapter
// instead.
func (r *pendingRequest) Answer(_ *engine.Message, answer engine.Answer) {
	if !r.accepted {
		r.session.deliver(submitResult{r, answer.Kind, answer.RetryAfter})
	}
}

// Run implements front.Task. It answers the request on the connection's event loop.
func (r submitResult) Run(now time.Duration) {
	s := r.request.session
	// The sender has abandoned the request.
	if s.pending != r.request {
		return
	}
	s.pending = nil
	s.loadReservation.Complete(r.final, true)
	s.loadReservation = nil
	switch r.final {
	case engine.Served:
		s.respond(now, "202 Accepted", 0, r.request.closeAfter)
	case engine.Refused:
		s.respond(now, "429 Too Many Requests", time.Duration(r.retryAfter)*time.Microsecond, r.request.closeAfter)
	default:
		s.respond(now, "500 Internal Server Error", 0, r.request.closeAfter)
	}
	s.processInput(now)
}

// Drop implements front.Task. It does nothing, because session.ConnClosed withdraws the message.
func (submitResult) Drop() {}

// respond writes a response. A positive retryAfter is sent as Retry-After. The connection ends after the
// response if closeAfter is set, or if the session is going away and no input is left.
func (s *session) respond(now time.Duration, status string, retryAfter time.Duration, closeAfter bool) {
	pairs := []string{"Content-Length", "0"}
	if retryAfter > 0 {
		pairs = append(pairs, "Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	if closeAfter = closeAfter || s.goingAway && len(s.inBuf) == 0; closeAfter {
		pairs = append(pairs, "Connection", "close")
		s.closing = true
	}
	s.handler.trace("client %s: %s is answered %s, come back after %v, last answer %v", s.peer, s.lastID, status, retryAfter, closeAfter)
	s.outBuf = h1.AppendHead(s.outBuf, "HTTP/1.1 "+status, pairs...)
	s.answered, s.lastActivity = true, now
}

// reject answers an invalid request and ends the connection, because the bytes that follow cannot be
// interpreted safely.
func (s *session) reject(now time.Duration, status string) {
	s.handler.admission.Malformed.Add(1)
	s.withdraw()
	s.inBuf = nil
	s.respond(now, status, 0, true)
}

// withdraw abandons the current request.
func (s *session) withdraw() {
	s.head, s.headSize = nil, 0
	if s.loadReservation != nil {
		s.loadReservation.Withdraw()
		s.loadReservation = nil
	}
	s.pending = nil
}

// Receive implements front.Session.
func (s *session) Receive(now time.Duration, b []byte) error {
	if s.closing {
		return nil
	}
	if len(s.inBuf) == 0 {
		s.lastActivity = now
	}
	s.inBuf = append(s.inBuf, b...)
	s.processInput(now)
	return nil
}

// processInput handles complete requests until one waits for its answer.
func (s *session) processInput(now time.Duration) {
	for !s.closing && s.pending == nil && len(s.inBuf) > 0 {
		if s.head == nil && !s.readHead(now) {
			return
		}
		size := s.headSize + int(s.head.Length)
		if len(s.inBuf) < size {
			return
		}
		s.handleRequest(now, size)
	}
	if s.stopping {
		s.Finish(now)
	}
}

// readHead parses a request head. It returns false if the head is incomplete or the request was rejected.
func (s *session) readHead(now time.Duration) bool {
	head, n, err := h1.ParseRequest(s.inBuf)
	switch {
	case err != nil:
		s.reject(now, "400 Bad Request")
		return false
	case n == 0:
		return false
	}
	return s.acceptHead(now, head, n)
}

// acceptHead checks a head of n bytes before its body is awaited and reserves room for the body. It returns
// false if the request was answered instead.
func (s *session) acceptHead(now time.Duration, head *h1.Request, n int) bool {
	switch {
	case head.Length > maxBody:
		s.reject(now, "413 Content Too Large")
		return false
	case head.Length > 0 && head.Method != "POST":
		s.reject(now, "400 Bad Request")
		return false
	}
	loadReservation := s.handler.admission.NewReservation(0)
	s.head, s.headSize, s.loadReservation = head, n, &loadReservation
	if err := s.loadReservation.Reserve(int(head.Length)); err != nil {
		s.loadReservation.Reject()
		s.loadReservation = nil
		s.inBuf, s.head = nil, nil
		s.respond(now, "503 Service Unavailable", refusalRetryAfter, true)
		return false
	}
	return true
}

// handleRequest handles a complete request, which is the first size bytes of inBuf.
func (s *session) handleRequest(now time.Duration, size int) {
	// The message keeps its body for longer than the session keeps the buffer. Only the body is copied, because many
	// requests may wait behind it.
	head, body := s.head, bytes.Clone(s.inBuf[s.headSize:size])
	s.head, s.headSize = nil, 0
	if s.inBuf = s.inBuf[size:]; len(s.inBuf) == 0 {
		s.inBuf = nil
	}
	if len(s.inBuf) > 0 {
		s.lastActivity = now
	}
	if head.Method == "POST" {
		m, status := s.handler.parseMessage(head, body, now)
		if m == nil {
			s.reject(now, status)
			return
		}
		s.lastID = m.ExternalID
		s.submit(now, m, head.Close)
		return
	}
	s.loadReservation.Reject()
	s.loadReservation = nil
	switch {
	case head.Method != "GET":
		s.reject(now, "405 Method Not Allowed")
	case head.Target != "/ready":
		s.reject(now, "404 Not Found")
	case s.handler.stopping.Load() || !s.handler.ready():
		s.respond(now, "503 Service Unavailable", refusalRetryAfter, head.Close)
	default:
		s.respond(now, "200 OK", 0, head.Close)
	}
}

// submit hands a message to the engine. It answers 503 if no endpoint list is known or the message is not
// admitted.
func (s *session) submit(now time.Duration, m *engine.Message, closeAfter bool) {
	// While the dispatcher stops, the decision library refuses new messages.
	if s.handler.ready() {
		request := &pendingRequest{session: s, closeAfter: closeAfter}
		m.Origin = request
		s.pending = request
		if s.loadReservation.Submit(m) == nil {
			return
		}
	}
	s.pending = nil
	s.loadReservation.Reject()
	s.loadReservation = nil
	s.respond(now, "503 Service Unavailable", refusalRetryAfter, closeAfter || s.handler.stopping.Load())
}

// parseMessage converts a request into a message. For an invalid request it returns nil and the status of the
// response.
func (h *ClientHandler) parseMessage(r *h1.Request, body []byte, now time.Duration) (m *engine.Message, status string) {
	const bad = "400 Bad Request"
	var values [6]string
	for i, name := range [...]string{"x-txn", "x-lane", "x-org", "x-remaining", "x-consignee", "idempotency-key"} {
		var ok bool
		if values[i], ok = r.Fields.Single(name); !ok {
			return nil, bad
		}
	}
	class, ok := h.classes[values[1]]
	if !ok || !isClassPath(r.Target, values[1]) {
		return nil, "404 Not Found"
	}
	tenant, ok := h.tenants[values[2]]
	if !ok && (len(h.tenants) > 0 || values[2] != "") {
		return nil, bad
	}
	remaining, ok := parseDecimal(values[3])
	if !ok || !isVisibleASCII(values[0], maxMessageID) || values[5] != "" && !isVisibleASCII(values[5], maxIdempotencyKey) || values[5] == "" && h.requiresKey[class] {
		return nil, bad
	}
	dest, ok := parseDestination(values[4])
	if !ok {
		return nil, bad
	}
	// Without a list it is unknown which destinations exist; submit refuses the message then.
	if h.ready() && !h.knowsDestination(dest) {
		return nil, "404 Not Found"
	}
	orderKey, ok := parseOrderKey(r.Fields)
	if !ok {
		return nil, bad
	}
	// The connection ends behind a copy, because answers and requests on it no longer match for its sender.
	if !h.recentIDs.add(values[0], now) || h.isOutstanding(values[0]) {
		return nil, "409 Conflict"
	}
	return &engine.Message{Class: class, Tenant: tenant, Dest: dest, OrderKey: orderKey, ExternalID: values[0], IdempotencyKey: values[5],
		Lifetime: control.Time(min(remaining, maxSeconds) * float64(control.Second)), ReceivedAt: control.Time(now / time.Microsecond), Body: body}, ""
}

// isClassPath reports whether class is the first segment of a request path.
func isClassPath(path, class string) bool {
	rest, ok := strings.CutPrefix(path, "/"+class)
	return ok && (rest == "" || rest[0] == '/' || rest[0] == '?')
}

// isVisibleASCII reports whether a text consists of 1 to maxLength visible ASCII characters. Such a text can
// be written to header fields and lines as it is.
func isVisibleASCII(text string, maxLength int) bool {
	for _, c := range []byte(text) {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return len(text) > 0 && len(text) <= maxLength
}

// parseDestination returns the number of the destination. It returns false if there is none, more than one,
// or one that is not a 16-bit number.
func parseDestination(text string) (dest int, ok bool) {
	for part := range strings.FieldsFuncSeq(text, func(c rune) bool { return c == ',' || c == ';' || c == ' ' }) {
		if value, found := strings.CutPrefix(part, "dest="); found {
			if ok {
				return 0, false
			}
			n, err := strconv.ParseUint(value, 10, 16)
			if err != nil {
				return 0, false
			}
			dest, ok = int(n), true
		}
	}
	return dest, ok
}

// parseOrderKey returns the hash of the entity that a message is about, by which ordered classes keep their
// order. It returns 0 if there is none, and false if the header is repeated.
func parseOrderKey(f h1.Fields) (uint64, bool) {
	text, ok := f.Single("x-entity")
	if text == "" || !ok {
		return 0, ok
	}
	if _, value, found := strings.Cut(text, "key="); found {
		text = value
	}
	return max(1, xxhash.Sum64String(text)), true
}

// Check implements front.Session. It ends connections that have timed out.
func (s *session) Check(now time.Duration) error {
	due := s.NextCheck(now)
	if due == 0 || now < due || s.closing {
		return nil
	}
	if len(s.inBuf) > 0 {
		s.reject(now, "408 Request Timeout")
		return nil
	}
	s.handler.trace("client %s: mute or idle since %v, closed", s.peer, s.lastActivity)
	s.withdraw()
	// A silent or idle client has no request to answer.
	s.closing = true
	return nil
}

// NextCheck implements front.Session.
func (s *session) NextCheck(time.Duration) time.Duration {
	switch {
	case s.closing || s.pending != nil:
		return 0
	case !s.answered:
		return s.opened + requestTimeout
	case len(s.inBuf) > 0:
		return s.lastActivity + requestTimeout
	}
	return s.lastActivity + clientIdleTimeout
}

// GoAway implements front.Session. An idle connection ends at once, one with a request after its answer.
func (s *session) GoAway(time.Duration) {
	s.goingAway = true
	if s.pending == nil && len(s.inBuf) == 0 && s.answered {
		s.closing = true
	}
}

// Finish implements front.Session. It is called when the process ends. Complete requests have been handled by
// then. A client that stopped in the middle of a request is told to retry.
func (s *session) Finish(now time.Duration) {
	s.stopping, s.goingAway = true, true
	switch {
	case s.pending != nil || s.closing:
	case len(s.inBuf) == 0:
		s.closing = true
	default:
		s.withdraw()
		s.inBuf = nil
		s.respond(now, "503 Service Unavailable", refusalRetryAfter, true)
	}
}

// Full implements front.ReadPauser.
func (s *session) Full() bool { return s.pending != nil && len(s.inBuf) > maxPipelinedBytes }

// Idle implements front.Idler.
func (s *session) Idle() (time.Duration, bool) {
	return s.lastActivity, s.pending == nil && len(s.inBuf) == 0 && !s.closing
}

// Output implements front.Session.
func (s *session) Output() []byte {
	out := s.outBuf
	s.outBuf = nil
	return out
}

// Pending implements front.Session.
func (s *session) Pending() bool { return s.pending != nil }

// Done implements front.Session.
func (s *session) Done() bool { return s.closing && s.pending == nil }

// ConnClosed implements front.Session. A message that was not answered before its client disconnected is withdrawn.
func (s *session) ConnClosed() { s.withdraw() }
