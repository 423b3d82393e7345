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
	Request(b []byte, attempts []*engine.Attempt, left []time.Duration) []byte
	// Answer makes a whole response into one end for each attempt of the call. The head is valid only until it returns.
	Answer(attempts []*engine.Attempt, head *h1.Response, body []byte) []engine.End
	// Assured is the end of a call that is sure from the first line of an answer, though the rest of it was spoilt or
	// has not come; ok is false where the first line promises nothing.
	Assured(attempts []*engine.Attempt, status int) (end engine.End, ok bool)
}

// NewHTTP1 is HTTP/1.1 with one call at a time on a connection; the attempts of one Start are one call.
func NewHTTP1(codec HTTP1Codec) Protocol { return http1{codec} }

type http1 struct{ HTTP1Codec }

func (http1) batches() bool { return true }

func (s http1) newSession(c *conn, _ time.Duration) session { return &h1Session{conn: c, codec: s} }

// bodyTimeout is how long the rest of an answer may take once its head is here and promises enough.
const bodyTimeout = 300 * time.Millisecond

// h1Session is one HTTP/1.1 connection.
type h1Session struct {
	conn      *conn
	codec     HTTP1Codec
	outBuffer []byte
	inBuffer  []byte // of the answer, while it is not whole
	used      bool   // something was written on it before
	closing   bool   // it is to be closed

	call           *call
	engineAttempts []*engine.Attempt // those written, and ...
	attempts       []*attemptState   // ... their tasks
	status         int               // of the first line that counts, 0 before
	head           *h1.Response
	headAt         time.Duration
	chunks         h1.Chunks
}

func (l *h1Session) takeOutput() []byte {
	out := l.outBuffer
	l.outBuffer = nil
	return out
}

func (l *h1Session) shutdown(time.Duration) { l.closing = true }

func (l *h1Session) state() sessionState {
	return sessionState{ready: true, hasDeadlines: l.call != nil, done: l.closing, capacity: 1}
}

// hasCapacity tells whether a call can be started. A connection that was idle is looked at first: the peer may have closed it, or
// sent what belongs to no call.
func (l *h1Session) hasCapacity() bool {
	if l.call != nil || l.closing {
		return false
	}
	l.closing = l.used && l.conn.netConn.Stale()
	return !l.closing
}

// start writes a call.
func (l *h1Session) start(now time.Duration, k *call, attempts []*attemptState) error {
	if l.call != nil || l.closing {
		return errNoCapacity
	}
	// The message with the most time goes first. Guards against peers that reckon a call by its first message: its end
	// before that of the others would leave these without theirs.
	slices.SortStableFunc(attempts, func(x, y *attemptState) int { return cmp.Compare(y.attempt.Due, x.attempt.Due) })
	l.used, l.call, l.attempts = true, k, attempts
	l.engineAttempts = make([]*engine.Attempt, len(attempts))
	left := make([]time.Duration, len(attempts))
	for i, t := range attempts {
		l.engineAttempts[i] = t.attempt
		left[i] = time.Duration(t.attempt.Due)*time.Microsecond - now
	}
	l.status, l.head, l.inBuffer = 0, nil, nil
	l.outBuffer = l.codec.Request(l.outBuffer, l.engineAttempts, left)
	return nil
}

// abandon ends a call by closing its connection. Where only one message of several has ended with its time the others wait on,
// and its attempt is out with theirs: it ends with the call. One that is sent again must not be out on an open connection, too.
func (l *h1Session) abandon(_ time.Duration, t *attemptState) {
	if l.call != t.call {
		return
	}
	if t.endKind == engine.OutOfTime && t.attempt.Due >= t.attempt.Ends && !l.finishFromStatus() && l.hasLiveAttempts() {
		return
	}
	l.closing = true // lose reports it, once nothing can come any more
}

// hasLiveAttempts tells whether a message of the call is still waited for.
func (l *h1Session) hasLiveAttempts() bool {
	l.conn.pool.mu.Lock()
	defer l.conn.pool.mu.Unlock()
	return slices.ContainsFunc(l.attempts, func(t *attemptState) bool { return !t.abandoned && !t.ended })
}

// finishFromStatus ends the call by the first line of its answer, where that is enough.
func (l *h1Session) finishFromStatus() bool {
	if l.call == nil || l.status == 0 {
		return false
	}
	end, ok := l.codec.Assured(l.engineAttempts, l.status)
	if !ok {
		return false
	}
	l.closing = true
	l.finish([]engine.End{end})
	return true
}

func (l *h1Session) finish(ends []engine.End) {
	if l.closing { // before the ends make room for others
		l.conn.pool.mu.Lock()
		l.conn.usable = false
		l.conn.pool.mu.Unlock()
	}
	attempts := l.attempts
	l.call, l.engineAttempts, l.attempts, l.head, l.inBuffer = nil, nil, nil, nil, nil
	for i, t := range attempts {
		l.conn.pool.reportEnd(t, ends[i])
	}
}

func (l *h1Session) connLost(kind engine.EndKind, reason string) {
	l.closing = true
	if l.call == nil || l.finishFromStatus() {
		return
	}
	ends := make([]engine.End, len(l.attempts))
	for i, t := range l.attempts {
		ends[i] = engine.End{Kind: kind, Detail: reason}
		l.conn.pool.mu.Lock()
		if t.abandoned {
			ends[i] = engine.End{Kind: t.endKind}
		} else if l.head != nil && kind == engine.ResetUnanswered {
			ends[i].Kind = engine.ResetMidAnswer
		}
		l.conn.pool.mu.Unlock()
	}
	l.finish(ends)
}

// checkDeadlines gives the rest of an answer up whose first line says enough.
func (l *h1Session) checkDeadlines(now time.Duration) error {
	if l.head != nil && now-l.headAt > bodyTimeout {
		l.finishFromStatus()
	}
	return nil
}

func (l *h1Session) receive(now time.Duration, b []byte) error {
	if l.call == nil { // bytes that belong to no call spoil the connection
		l.closing = true
		return nil
	}
	if l.head == nil {
		l.inBuffer = append(l.inBuffer, b...)
		if err := l.readHead(now); err != nil || l.head == nil {
			return err
		}
		b, l.inBuffer = l.inBuffer, nil
	}
	return l.readBody(b)
}

// readHead reads the head of the answer; those of interim answers (1xx) are passed over.
func (l *h1Session) readHead(now time.Duration) error {
	for {
		if s, ok := h1.Status(l.inBuffer); ok && s >= 200 {
			l.status = s
		}
		head, n, err := h1.ParseResponse(l.inBuffer)
		if err != nil || n == 0 {
			return err
		}
		l.inBuffer = l.inBuffer[n:]
		if head.Status >= 200 {
			l.head, l.headAt, l.chunks = head, now, h1.Chunks{}
			return nil
		}
		if head.Status == 101 {
			return fmt.Errorf("%w: an upgrade that nobody asked for", h1.ErrSyntax)
		}
	}
}

// readBody takes bytes of the body; the call ends with its last one. One larger than any answer needs is not waited for.
func (l *h1Session) readBody(b []byte) error {
	maxBytes := int64(l.conn.pool.cfg.MaxAnswerBytes)
	if l.head.Length > maxBytes {
		return fmt.Errorf("%w: a body of %d bytes", h1.ErrLength, l.head.Length)
	}
	switch {
	case l.head.Chunked:
		body, rest, err := l.chunks.Read(l.inBuffer, b)
		if l.inBuffer = body; err != nil {
			return err
		}
		if int64(len(l.inBuffer)) > maxBytes {
			return fmt.Errorf("%w: an endless body", h1.ErrLength)
		}
		if !l.chunks.Done() {
			return nil
		}
		l.closing = l.closing || len(rest) > 0
	case l.head.Length < 0: // until the connection ends: what it says so far is all that is waited for
		l.inBuffer = append(l.inBuffer, b...)
		if int64(len(l.inBuffer)) > maxBytes {
			return fmt.Errorf("%w: an endless body", h1.ErrLength)
		}
		return nil
	default:
		l.inBuffer = append(l.inBuffer, b...)
		if int64(len(l.inBuffer)) < l.head.Length {
			return nil
		}
		l.closing = l.closing || int64(len(l.inBuffer)) > l.head.Length
		l.inBuffer = l.inBuffer[:l.head.Length]
	}
	l.closing = l.closing || l.head.Close
	l.finish(l.codec.Answer(l.engineAttempts, l.head, l.inBuffer))
	return nil
}
