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

// Times and sizes of client connections.
const (
	maxBody    = 64 << 10
	requestDue = 2 * time.Second // a first request must be whole so soon after connecting, others after their first byte
	idleMost   = 4 * time.Second // a connection without a request is closed after this
	maxName    = 64              // bytes of an id
	aheadMost  = 32 << 10        // bytes of further requests that are read ahead of an answer
	maxKey     = 128             // bytes of an idempotency key
	pause      = time.Second     // told with refusals at the door
)

// ClientHandler is what all client sessions share.
type ClientHandler struct {
	classes map[string]int
	keyed   []bool // classes whose messages carry an idempotency key
	tenants map[string]int
	knows   func(dest int) bool
	owes    func(name string) bool // a message of that id is owed its end
	ready   func() bool
	side    *admission.Frontend
	trace   func(format string, a ...any) // told of each answer and each connection that is given up
	closing atomic.Bool
}

// NewClientHandler returns a Desk for classes and tenants as the settings name them.
func NewClientHandler(s control.Settings, side *admission.Frontend) *ClientHandler {
	d := &ClientHandler{side: side, trace: func(string, ...any) {}}
	d.classes, d.tenants = numbers(&s)
	for _, c := range s.Classes {
		d.keyed = append(d.keyed, c.Effect == control.Deduplicated)
	}
	return d
}

// numbers tells which number each class and tenant has, by name.
func numbers(s *control.Settings) (classes, tenants map[string]int) {
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
	return &session{d: d, peer: c.Peer(), post: c.Post, opened: now, last: now}
}

// session is one client connection. Requests are taken one at a time, in order, each answered in the round that takes its
// message; what a client sends ahead of an answer waits (RFC 9112 section 9.3.2).
type session struct {
	d      *ClientHandler
	peer   string // address of the client, for the trace
	name   string // id of the last message that it handed in, for the trace
	post   func(front.Task) bool
	opened time.Duration
	last   time.Duration // when the last request was answered, or its first byte came
	in     []byte        // not taken yet
	head   *h1.Request   // its body is awaited
	size   int           // of that head
	room   *admission.Reservation
	ask    *ask // a message whose answer is awaited
	served bool // a request has been answered
	away   bool
	ending bool // the process ends: what is not whole is not awaited
	over   bool // closed once out is written
	out    []byte
}

// ask is the way of one message until its sender has heard what became of it: the Origin of the message.
type ask struct {
	s     *session
	close bool
	taken bool // used on the engine's goroutine only
}

// verdict is what a sender is to hear; it is a front.Parcel.
type verdict struct {
	ask   *ask
	final engine.AnswerKind // Served stands for taken on
	wait  control.Time
}

// Accepted is engine.Taker.
func (a *ask) Accepted(*engine.Message) {
	a.taken = true
	a.s.post(verdict{ask: a, final: engine.Served})
}

// Answer is engine.Origin. The end of a message that was taken on is the keeper's to tell.
func (a *ask) Answer(_ *engine.Message, x engine.Answer) {
	if !a.taken {
		a.s.post(verdict{a, x.Kind, x.RetryAfter})
	}
}

// Open is front.Parcel.
func (v verdict) Open(now time.Duration) {
	s := v.ask.s
	if s.ask != v.ask { // its sender has broken off
		return
	}
	s.ask = nil
	s.room.Complete(v.final, true)
	s.room = nil
	switch v.final {
	case engine.Served:
		s.answer(now, "202 Accepted", 0, v.ask.close)
	case engine.Refused:
		s.answer(now, "429 Too Many Requests", time.Duration(v.wait)*time.Microsecond, v.ask.close)
	default:
		s.answer(now, "500 Internal Server Error", 0, v.ask.close)
	}
	s.advance(now)
}

// Lost is front.Parcel: the session's own Lost withdraws the message.
func (verdict) Lost() {}

// answer writes an answer; wait above 0 tells when to come back. It is the last one where it has to be, or where the connection
// is to end and nothing more of its client is here.
func (s *session) answer(now time.Duration, status string, wait time.Duration, last bool) {
	pairs := []string{"Content-Length", "0"}
	if wait > 0 {
		pairs = append(pairs, "Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	}
	if last = last || s.away && len(s.in) == 0; last {
		pairs = append(pairs, "Connection", "close")
		s.over = true
	}
	s.d.trace("client %s: %s is answered %s, come back after %v, last answer %v", s.peer, s.name, status, wait, last)
	s.out = h1.AppendHead(s.out, "HTTP/1.1 "+status, pairs...)
	s.served, s.last = true, now
}

// fault answers what can't be taken, and ends the connection: what follows may not be what it seems.
func (s *session) fault(now time.Duration, status string) {
	s.d.side.Malformed.Add(1)
	s.leave()
	s.in = nil
	s.answer(now, status, 0, true)
}

// leave ends what is under way of a request.
func (s *session) leave() {
	s.head, s.size = nil, 0
	if s.room != nil {
		s.room.Withdraw()
		s.room = nil
	}
	s.ask = nil
}

// Receive is front.Session.
func (s *session) Receive(now time.Duration, b []byte) error {
	if s.over {
		return nil
	}
	if len(s.in) == 0 {
		s.last = now
	}
	s.in = append(s.in, b...)
	s.advance(now)
	return nil
}

// advance takes requests that are whole, until one waits for its answer.
func (s *session) advance(now time.Duration) {
	for !s.over && s.ask == nil && len(s.in) > 0 {
		if s.head == nil && !s.readHead(now) {
			return
		}
		whole := s.size + int(s.head.Length)
		if len(s.in) < whole {
			return
		}
		s.request(now, whole)
	}
	if s.ending {
		s.Finish(now)
	}
}

// readHead reads the head of a request; it is false where it is not whole, or can't be taken.
func (s *session) readHead(now time.Duration) bool {
	head, n, err := h1.ParseRequest(s.in)
	switch {
	case err != nil:
		s.fault(now, "400 Bad Request")
		return false
	case n == 0:
		return false
	}
	return s.begin(now, head, n)
}

// begin looks at a head before its body is awaited.
func (s *session) begin(now time.Duration, head *h1.Request, n int) bool {
	switch {
	case head.Length > maxBody:
		s.fault(now, "413 Content Too Large")
		return false
	case head.Length > 0 && head.Method != "POST":
		s.fault(now, "400 Bad Request")
		return false
	}
	room := s.d.side.NewReservation(0)
	s.head, s.size, s.room = head, n, &room
	if err := s.room.Reserve(int(head.Length)); err != nil {
		s.room.Reject()
		s.room = nil
		s.in, s.head = nil, nil
		s.answer(now, "503 Service Unavailable", pause, true)
		return false
	}
	return true
}

// request takes a whole request, the first so many bytes of what is here.
func (s *session) request(now time.Duration, whole int) {
	head, body := s.head, s.in[s.size:whole:whole]
	s.in = bytes.Clone(s.in[whole:]) // a message keeps its body
	s.head, s.size = nil, 0
	if len(s.in) > 0 {
		s.last = now
	}
	if head.Method == "POST" {
		m, status := s.d.message(head, body, now)
		if m == nil {
			s.fault(now, status)
			return
		}
		s.name = m.ExternalID
		s.submit(now, m, head.Close)
		return
	}
	s.room.Reject()
	s.room = nil
	switch {
	case head.Method != "GET":
		s.fault(now, "405 Method Not Allowed")
	case head.Target != "/ready":
		s.fault(now, "404 Not Found")
	case s.d.closing.Load() || !s.d.ready():
		s.answer(now, "503 Service Unavailable", pause, head.Close)
	default:
		s.answer(now, "200 OK", 0, head.Close)
	}
}

func (s *session) submit(now time.Duration, m *engine.Message, last bool) {
	if s.d.ready() { // while this dispatcher stops it is the module that refuses
		a := &ask{s: s, close: last}
		m.Origin = a
		s.ask = a
		if s.room.Submit(m) == nil {
			return
		}
	}
	s.ask = nil
	s.room.Reject()
	s.room = nil
	s.answer(now, "503 Service Unavailable", pause, last || s.d.closing.Load())
}

// message makes a request into a message, or tells the status of what is wrong with it.
func (d *ClientHandler) message(r *h1.Request, body []byte, now time.Duration) (m *engine.Message, status string) {
	const bad = "400 Bad Request"
	var v [6]string
	for i, name := range [...]string{"x-txn", "x-lane", "x-org", "x-remaining", "x-consignee", "idempotency-key"} {
		var ok bool
		if v[i], ok = r.Fields.Single(name); !ok {
			return nil, bad
		}
	}
	class, ok := d.classes[v[1]]
	if !ok || !beginsWith(r.Target, v[1]) {
		return nil, "404 Not Found"
	}
	tenant, ok := d.tenants[v[2]]
	if !ok && (len(d.tenants) > 0 || v[2] != "") {
		return nil, bad
	}
	left, ok := number(v[3])
	if !ok || !plain(v[0], maxName) || v[5] != "" && !plain(v[5], maxKey) || v[5] == "" && d.keyed[class] {
		return nil, bad
	}
	to, ok := consignee(v[4])
	if !ok {
		return nil, bad
	}
	if d.ready() && !d.knows(to) { // before a list is known nobody can tell: it is refused, see submit
		return nil, "404 Not Found"
	}
	if d.owes(v[0]) {
		return nil, "409 Conflict"
	}
	order, ok := orderKey(r.Fields)
	if !ok {
		return nil, bad
	}
	return &engine.Message{Class: class, Tenant: tenant, Dest: to, OrderKey: order, ExternalID: v[0], IdempotencyKey: v[5],
		Lifetime: control.Time(min(left, maxWait) * float64(control.Second)), ReceivedAt: control.Time(now / time.Microsecond), Body: body}, ""
}

// beginsWith tells whether the class is the first part of a path.
func beginsWith(path, class string) bool {
	rest, ok := strings.CutPrefix(path, "/"+class)
	return ok && (rest == "" || rest[0] == '/' || rest[0] == '?')
}

// plain tells whether a text is visible ASCII of a length from 1 to most: it goes into heads and lines as it is.
func plain(text string, most int) bool {
	for _, c := range []byte(text) {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return len(text) > 0 && len(text) <= most
}

// consignee reads the number of the destination.
func consignee(text string) (dest int, ok bool) {
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

// orderKey reads what a message is about, in classes that keep their order.
func orderKey(f h1.Fields) (uint64, bool) {
	text, ok := f.Single("x-entity")
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
	if due == 0 || now < due || s.over {
		return nil
	}
	if len(s.in) > 0 {
		s.fault(now, "408 Request Timeout")
		return nil
	}
	s.d.trace("client %s: mute or idle since %v, closed", s.peer, s.last)
	s.leave()
	s.over = true // mute, or idle: there is nothing to answer
	return nil
}

// Due is front.Session.
func (s *session) Due(time.Duration) time.Duration {
	switch {
	case s.over || s.ask != nil:
		return 0
	case !s.served:
		return s.opened + requestDue
	case len(s.in) > 0:
		return s.last + requestDue
	}
	return s.last + idleMost
}

// GoAway is front.Session: an idle connection ends, one with a request after its answer.
func (s *session) GoAway(time.Duration) {
	s.away = true
	if s.ask == nil && len(s.in) == 0 && s.served {
		s.over = true
	}
}

// Finish is front.Session: the process ends. What is whole has been taken; a client that stopped in the middle of a request is
// told to come back.
func (s *session) Finish(now time.Duration) {
	s.ending, s.away = true, true
	switch {
	case s.ask != nil || s.over:
	case len(s.in) == 0:
		s.over = true
	default:
		s.leave()
		s.in = nil
		s.answer(now, "503 Service Unavailable", pause, true)
	}
}

// Full is front.Filler.
func (s *session) Full() bool { return s.ask != nil && len(s.in) > aheadMost }

// Idle is front.Idler.
func (s *session) Idle() (time.Duration, bool) {
	return s.last, s.ask == nil && len(s.in) == 0 && !s.over
}

// Output is front.Session.
func (s *session) Output() []byte {
	out := s.out
	s.out = nil
	return out
}

// Owes is front.Session.
func (s *session) Owes() bool { return s.ask != nil }

// Done is front.Session.
func (s *session) Done() bool { return s.over && s.ask == nil }

// Lost is front.Session: a client that went before it heard wants nothing any more.
func (s *session) Lost() { s.leave() }
