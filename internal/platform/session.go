package platform

import (
	"bytes"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"whinrun/control"
	"whinrun/internal/door"
	"whinrun/internal/engine"
	"whinrun/internal/front"
	"whinrun/internal/h1"
)

// Times and sizes of client connections.
const (
	maxBody           = 64 << 10
	requestTimeout    = 2 * time.Second // a first request must be whole so soon after connecting, others after their first byte
	clientIdleTimeout = 4 * time.Second // a connection without a request is closed after this
	maxMessageID      = 64              // bytes of an id
	maxPipelinedBytes = 32 << 10        // bytes of further requests that are read ahead of an answer
	maxIdempotencyKey = 128             // bytes of an idempotency key
	refusalRetryAfter = time.Second     // told with refusals at the door
)

// ClientHandler is what all client sessions share.
type ClientHandler struct {
	classes          map[string]int
	requiresKey      []bool // classes whose messages carry an idempotency key
	tenants          map[string]int
	knowsDestination func(dest int) bool
	isOwed           func(name string) bool // a message of that id is owed its end
	ready            func() bool
	admission        *door.Side
	trace            func(format string, a ...any) // told of each answer and each connection that is given up
	stopping         atomic.Bool
}

// NewClientHandler returns a Desk for classes and tenants as the settings name them.
func NewClientHandler(s control.Settings, side *door.Side) *ClientHandler {
	d := &ClientHandler{admission: side, trace: func(string, ...any) {}}
	d.classes, d.tenants = indexByName(&s)
	for _, c := range s.Classes {
		d.requiresKey = append(d.requiresKey, c.Effect == control.Guarded)
	}
	return d
}

// indexByName tells which number each class and tenant has, by name.
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

// Open makes the session of a new connection.
func (d *ClientHandler) Open(c *front.Conn, now time.Duration) front.Session {
	return &session{handler: d, peer: c.Peer(), deliver: c.Post, opened: now, lastActivity: now}
}

// session is one client connection. Requests are taken one at a time, in order, each answered in the round that takes its
// message; what a client sends ahead of an answer waits (RFC 9112 section 9.3.2).
type session struct {
	handler      *ClientHandler
	peer         string // address of the client, for the trace
	lastID       string // id of the last message that it handed in, for the trace
	deliver      func(front.Parcel) bool
	opened       time.Duration
	lastActivity time.Duration // when the last request was answered, or its first byte came
	inBuf        []byte        // not taken yet
	head         *h1.Request   // its body is awaited
	headSize     int           // of that head
	ticket       *door.Ticket
	pending      *pendingRequest // a message whose answer is awaited
	answered     bool            // a request has been answered
	goingAway    bool
	stopping     bool // the process ends: what is not whole is not awaited
	closing      bool // closed once out is written
	outBuf       []byte
}

// ask is the way of one message until its sender has heard what became of it: the Origin of the message.
type pendingRequest struct {
	session    *session
	closeAfter bool
	accepted   bool // used on the engine's goroutine only
}

// submitResult is what a sender is to hear; it is a front.Parcel.
type submitResult struct {
	request    *pendingRequest
	final      engine.AnswerKind // Served stands for taken on
	retryAfter control.Time
}

// Accepted is engine.Taker.
func (a *pendingRequest) Accepted(*engine.Message) {
	a.accepted = true
	a.session.deliver(submitResult{request: a, final: engine.Served})
}

// Answer is engine.Origin. The end of a message that was taken on is the keeper's to tell.
func (a *pendingRequest) Answer(_ *engine.Message, x engine.Answer) {
	if !a.accepted {
		a.session.deliver(submitResult{a, x.Kind, x.RetryAfter})
	}
}

// Open is front.Parcel.
func (v submitResult) Open(now time.Duration) {
	s := v.request.session
	if s.pending != v.request { // its sender has broken off
		return
	}
	s.pending = nil
	s.ticket.Answered(v.final, true)
	s.ticket = nil
	switch v.final {
	case engine.Served:
		s.respond(now, "202 Accepted", 0, v.request.closeAfter)
	case engine.Refused:
		s.respond(now, "429 Too Many Requests", time.Duration(v.retryAfter)*time.Microsecond, v.request.closeAfter)
	default:
		s.respond(now, "500 Internal Server Error", 0, v.request.closeAfter)
	}
	s.processInput(now)
}

// Lost is front.Parcel: the session's own Lost withdraws the message.
func (submitResult) Lost() {}

// respond writes an answer; wait above 0 tells when to come back. It is the last one where it has to be, or where the connection
// is to end and nothing more of its client is here.
func (s *session) respond(now time.Duration, status string, wait time.Duration, last bool) {
	pairs := []string{"Content-Length", "0"}
	if wait > 0 {
		pairs = append(pairs, "Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	}
	if last = last || s.goingAway && len(s.inBuf) == 0; last {
		pairs = append(pairs, "Connection", "close")
		s.closing = true
	}
	s.handler.trace("client %s: %s is answered %s, come back after %v, last answer %v", s.peer, s.lastID, status, wait, last)
	s.outBuf = h1.AppendHead(s.outBuf, "HTTP/1.1 "+status, pairs...)
	s.answered, s.lastActivity = true, now
}

// reject answers what can't be taken, and ends the connection: what follows may not be what it seems.
func (s *session) reject(now time.Duration, status string) {
	s.handler.admission.Malformed.Add(1)
	s.withdraw()
	s.inBuf = nil
	s.respond(now, status, 0, true)
}

// withdraw ends what is under way of a request.
func (s *session) withdraw() {
	s.head, s.headSize = nil, 0
	if s.ticket != nil {
		s.ticket.Withdraw()
		s.ticket = nil
	}
	s.pending = nil
}

// Receive is front.Session.
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

// processInput takes requests that are whole, until one waits for its answer.
func (s *session) processInput(now time.Duration) {
	for !s.closing && s.pending == nil && len(s.inBuf) > 0 {
		if s.head == nil && !s.readHead(now) {
			return
		}
		whole := s.headSize + int(s.head.Length)
		if len(s.inBuf) < whole {
			return
		}
		s.handleRequest(now, whole)
	}
	if s.stopping {
		s.Finish(now)
	}
}

// readHead reads the head of a request; it is false where it is not whole, or can't be taken.
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

// acceptHead looks at a head before its body is awaited.
func (s *session) acceptHead(now time.Duration, head *h1.Request, n int) bool {
	switch {
	case head.Length > maxBody:
		s.reject(now, "413 Content Too Large")
		return false
	case head.Length > 0 && head.Method != "POST":
		s.reject(now, "400 Bad Request")
		return false
	}
	room := s.handler.admission.Ticket(0)
	s.head, s.headSize, s.ticket = head, n, &room
	if err := s.ticket.Grow(int(head.Length)); err != nil {
		s.ticket.Turn()
		s.ticket = nil
		s.inBuf, s.head = nil, nil
		s.respond(now, "503 Service Unavailable", refusalRetryAfter, true)
		return false
	}
	return true
}

// handleRequest takes a whole request, the first so many bytes of what is here.
func (s *session) handleRequest(now time.Duration, whole int) {
	head, body := s.head, s.inBuf[s.headSize:whole:whole]
	s.inBuf = bytes.Clone(s.inBuf[whole:]) // a message keeps its body
	s.head, s.headSize = nil, 0
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
	s.ticket.Turn()
	s.ticket = nil
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

func (s *session) submit(now time.Duration, m *engine.Message, last bool) {
	if s.handler.ready() { // while this dispatcher stops it is the module that refuses
		a := &pendingRequest{session: s, closeAfter: last}
		m.Origin = a
		s.pending = a
		if s.ticket.Submit(m) == nil {
			return
		}
	}
	s.pending = nil
	s.ticket.Turn()
	s.ticket = nil
	s.respond(now, "503 Service Unavailable", refusalRetryAfter, last || s.handler.stopping.Load())
}

// parseMessage makes a request into a message, or tells the status of what is wrong with it.
func (d *ClientHandler) parseMessage(r *h1.Request, body []byte, now time.Duration) (m *engine.Message, status string) {
	const bad = "400 Bad Request"
	var v [6]string
	for i, name := range [...]string{"x-txn", "x-lane", "x-org", "x-remaining", "x-consignee", "idempotency-key"} {
		var ok bool
		if v[i], ok = r.Fields.One(name); !ok {
			return nil, bad
		}
	}
	class, ok := d.classes[v[1]]
	if !ok || !isClassPath(r.Target, v[1]) {
		return nil, "404 Not Found"
	}
	tenant, ok := d.tenants[v[2]]
	if !ok && (len(d.tenants) > 0 || v[2] != "") {
		return nil, bad
	}
	left, ok := parseDecimal(v[3])
	if !ok || !isVisibleASCII(v[0], maxMessageID) || v[5] != "" && !isVisibleASCII(v[5], maxIdempotencyKey) || v[5] == "" && d.requiresKey[class] {
		return nil, bad
	}
	to, ok := parseDestination(v[4])
	if !ok {
		return nil, bad
	}
	if d.ready() && !d.knowsDestination(to) { // before a list is known nobody can tell: it is refused, see submit
		return nil, "404 Not Found"
	}
	if d.isOwed(v[0]) {
		return nil, "409 Conflict"
	}
	order, ok := parseOrderKey(r.Fields)
	if !ok {
		return nil, bad
	}
	return &engine.Message{Class: class, Tenant: tenant, Dest: to, OrderKey: order, ExternalID: v[0], IdempotencyKey: v[5],
		Lifetime: control.Time(min(left, maxSeconds) * float64(control.Second)), ReceivedAt: control.Time(now / time.Microsecond), Body: body}, ""
}

// isClassPath tells whether the class is the first part of a path.
func isClassPath(path, class string) bool {
	rest, ok := strings.CutPrefix(path, "/"+class)
	return ok && (rest == "" || rest[0] == '/' || rest[0] == '?')
}

// isVisibleASCII tells whether a text is visible ASCII of a length from 1 to most: it goes into heads and lines as it is.
func isVisibleASCII(text string, most int) bool {
	for _, c := range []byte(text) {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return len(text) > 0 && len(text) <= most
}

// parseDestination reads the number of the destination.
func parseDestination(text string) (dest int, ok bool) {
	for part := range strings.FieldsFuncSeq(text, func(c rune) bool { return c == ',' || c == ';' || c == ' ' }) {
		if value, is := strings.CutPrefix(part, "dest="); is {
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

// parseOrderKey reads what a message is about, in classes that keep their order.
func parseOrderKey(f h1.Fields) (uint64, bool) {
	text, ok := f.One("x-entity")
	if text == "" || !ok {
		return 0, ok
	}
	if _, value, is := strings.Cut(text, "key="); is {
		text = value
	}
	return max(1, xxhash.Sum64String(text)), true
}

// Check is front.Session.
func (s *session) Check(now time.Duration) error {
	due := s.Due(now)
	if due == 0 || now < due || s.closing {
		return nil
	}
	if len(s.inBuf) > 0 {
		s.reject(now, "408 Request Timeout")
		return nil
	}
	s.handler.trace("client %s: mute or idle since %v, closed", s.peer, s.lastActivity)
	s.withdraw()
	s.closing = true // mute, or idle: there is nothing to answer
	return nil
}

// Due is front.Session.
func (s *session) Due(time.Duration) time.Duration {
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

// GoAway is front.Session: an idle connection ends, one with a request after its answer.
func (s *session) GoAway(time.Duration) {
	s.goingAway = true
	if s.pending == nil && len(s.inBuf) == 0 && s.answered {
		s.closing = true
	}
}

// Finish is front.Session: the process ends. What is whole has been taken; a client that stopped in the middle of a request is
// told to come back.
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

// Full is front.Filler.
func (s *session) Full() bool { return s.pending != nil && len(s.inBuf) > maxPipelinedBytes }

// Idle is front.Idler.
func (s *session) Idle() (time.Duration, bool) {
	return s.lastActivity, s.pending == nil && len(s.inBuf) == 0 && !s.closing
}

// Output is front.Session.
func (s *session) Output() []byte {
	out := s.outBuf
	s.outBuf = nil
	return out
}

// Owes is front.Session.
func (s *session) Owes() bool { return s.pending != nil }

// Done is front.Session.
func (s *session) Done() bool { return s.closing && s.pending == nil }

// Lost is front.Session: a client that went before it heard wants nothing any more.
func (s *session) Lost() { s.withdraw() }
