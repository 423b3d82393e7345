package outbound

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"whinrun/internal/engine"
	"whinrun/internal/h1"
)

// HTTP1Codec turns calls into HTTP/1.1 requests and answers into ends.
type HTTP1Codec interface {
	Resolver
	// Request appends the request of a call to b; left is the time that each of its attempts has.
	Request(b []byte, as []*engine.Attempt, left []time.Duration) []byte
	// Answer makes a whole response into one end for each attempt of the call. The head is valid only until it returns.
	Answer(as []*engine.Attempt, head *h1.Response, body []byte) []engine.Outcome
	// Assured is the end of a call that is sure from the first line of an answer, though the rest of it was spoilt or
	// has not come; ok is false where the first line promises nothing.
	Assured(as []*engine.Attempt, status int) (end engine.Outcome, ok bool)
}

// NewHTTP1 is HTTP/1.1 with one call at a time on a connection; the attempts of one Start are one call.
func NewHTTP1(c HTTP1Codec) Protocol { return http1{c} }

type http1 struct{ HTTP1Codec }

func (http1) bulk() bool { return true }

func (s http1) line(c *conn, _ time.Duration) line { return &h1Line{c: c, calls: s} }

// bodyWithin is how long the rest of an answer may take once its head is here and promises enough.
const bodyWithin = 300 * time.Millisecond

// h1Line is one HTTP/1.1 connection.
type h1Line struct {
	c     *conn
	calls HTTP1Codec
	out   []byte
	in    []byte // of the answer, while it is not whole
	used  bool   // something was written on it before
	over  bool   // it is to be closed

	call   *call
	as     []*engine.Attempt // those written, and ...
	tasks  []*task           // ... their tasks
	status int               // of the first line that counts, 0 before
	head   *h1.Response
	headAt time.Duration
	chunks h1.ChunkDecoder
}

func (l *h1Line) output() []byte {
	out := l.out
	l.out = nil
	return out
}

func (l *h1Line) shut(time.Duration) { l.over = true }

func (l *h1Line) state() lineState {
	return lineState{settled: true, busy: l.call != nil, done: l.over, limit: 1}
}

// hasRoom tells whether a call can be started. A connection that was idle is looked at first: the peer may have closed it, or
// sent what belongs to no call.
func (l *h1Line) hasRoom() bool {
	if l.call != nil || l.over {
		return false
	}
	l.over = l.used && l.c.gc.Stale()
	return !l.over
}

// start writes a call.
func (l *h1Line) start(now time.Duration, k *call, tasks []*task) error {
	if l.call != nil || l.over {
		return errNoRoom
	}
	// The message with the most time goes first. Guards against peers that reckon a call by its first message: its end
	// before that of the others would leave these without theirs.
	slices.SortStableFunc(tasks, func(x, y *task) int { return cmp.Compare(y.a.Deadline, x.a.Deadline) })
	l.used, l.call, l.tasks = true, k, tasks
	l.as = make([]*engine.Attempt, len(tasks))
	left := make([]time.Duration, len(tasks))
	for i, t := range tasks {
		l.as[i] = t.a
		left[i] = time.Duration(t.a.Deadline)*time.Microsecond - now
	}
	l.status, l.head, l.in = 0, nil, nil
	l.out = l.calls.Request(l.out, l.as, left)
	return nil
}

// giveUp ends a call by closing its connection. Where only one message of several has ended with its time the others wait on,
// and its attempt is out with theirs: it ends with the call. One that is sent again must not be out on an open connection, too.
func (l *h1Line) giveUp(_ time.Duration, t *task) {
	if l.call != t.call {
		return
	}
	if t.kind == engine.TimedOut && t.a.Deadline >= t.a.MessageDeadline && !l.assured() && l.waitsForOthers() {
		return
	}
	l.over = true // lose reports it, once nothing can come any more
}

// waitsForOthers tells whether a message of the call is still waited for.
func (l *h1Line) waitsForOthers() bool {
	l.c.pool.mu.Lock()
	defer l.c.pool.mu.Unlock()
	return slices.ContainsFunc(l.tasks, func(t *task) bool { return !t.given && !t.ended })
}

// assured ends the call by the first line of its answer, where that is enough.
func (l *h1Line) assured() bool {
	if l.call == nil || l.status == 0 {
		return false
	}
	end, ok := l.calls.Assured(l.as, l.status)
	if !ok {
		return false
	}
	l.over = true
	l.finish([]engine.Outcome{end})
	return true
}

func (l *h1Line) finish(ends []engine.Outcome) {
	if l.over { // before the ends make room for others
		l.c.pool.mu.Lock()
		l.c.usable = false
		l.c.pool.mu.Unlock()
	}
	tasks := l.tasks
	l.call, l.as, l.tasks, l.head, l.in = nil, nil, nil, nil, nil
	for i, t := range tasks {
		l.c.pool.end(t, ends[i])
	}
}

func (l *h1Line) lose(kind engine.OutcomeKind, why string) {
	l.over = true
	if l.call == nil || l.assured() {
		return
	}
	ends := make([]engine.Outcome, len(l.tasks))
	for i, t := range l.tasks {
		ends[i] = engine.Outcome{Kind: kind, Detail: why}
		l.c.pool.mu.Lock()
		if t.given {
			ends[i] = engine.Outcome{Kind: t.kind}
		} else if l.head != nil && kind == engine.ResetBeforeResponse {
			ends[i].Kind = engine.ResetDuringResponse
		}
		l.c.pool.mu.Unlock()
	}
	l.finish(ends)
}

// check gives the rest of an answer up whose first line says enough.
func (l *h1Line) check(now time.Duration) error {
	if l.head != nil && now-l.headAt > bodyWithin {
		l.assured()
	}
	return nil
}

func (l *h1Line) receive(now time.Duration, b []byte) error {
	if l.call == nil { // bytes that belong to no call spoil the connection
		l.over = true
		return nil
	}
	if l.head == nil {
		l.in = append(l.in, b...)
		if err := l.readHead(now); err != nil || l.head == nil {
			return err
		}
		b, l.in = l.in, nil
	}
	return l.body(b)
}

// readHead reads the head of the answer; those of interim answers (1xx) are passed over.
func (l *h1Line) readHead(now time.Duration) error {
	for {
		if s, ok := h1.ParseStatus(l.in); ok && s >= 200 {
			l.status = s
		}
		head, n, err := h1.ParseResponse(l.in)
		if err != nil || n == 0 {
			return err
		}
		l.in = l.in[n:]
		if head.Status >= 200 {
			l.head, l.headAt, l.chunks = head, now, h1.ChunkDecoder{}
			return nil
		}
		if head.Status == 101 {
			return fmt.Errorf("%w: an upgrade that nobody asked for", h1.ErrSyntax)
		}
	}
}

// body takes bytes of the body; the call ends with its last one. One larger than any answer needs is not waited for.
func (l *h1Line) body(b []byte) error {
	most := int64(l.c.pool.cfg.MaxAnswerBytes)
	if l.head.Length > most {
		return fmt.Errorf("%w: a body of %d bytes", h1.ErrLength, l.head.Length)
	}
	switch {
	case l.head.Chunked:
		body, rest, err := l.chunks.Read(l.in, b)
		if l.in = body; err != nil {
			return err
		}
		if int64(len(l.in)) > most {
			return fmt.Errorf("%w: an endless body", h1.ErrLength)
		}
		if !l.chunks.Done() {
			return nil
		}
		l.over = l.over || len(rest) > 0
	case l.head.Length < 0: // until the connection ends: what it says so far is all that is waited for
		l.in = append(l.in, b...)
		if int64(len(l.in)) > most {
			return fmt.Errorf("%w: an endless body", h1.ErrLength)
		}
		return nil
	default:
		l.in = append(l.in, b...)
		if int64(len(l.in)) < l.head.Length {
			return nil
		}
		l.over = l.over || int64(len(l.in)) > l.head.Length
		l.in = l.in[:l.head.Length]
	}
	l.over = l.over || l.head.Close
	l.finish(l.calls.Answer(l.as, l.head, l.in))
	return nil
}
