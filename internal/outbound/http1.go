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

func (s *h1Session) takeOutput() []byte {
	out := s.outBuffer
	s.outBuffer = nil
	return out
}

func (s *h1Session) shutdown(time.Duration) { s.closing = true }

func (s *h1Session) state() sessionState {
	return sessionState{ready: true, hasDeadlines: s.call != nil, done: s.closing, capacity: 1}
}

// hasCapacity tells whether a call can be started. A connection that was idle is looked at first: the peer may have closed it, or
// sent what belongs to no call.
func (s *h1Session) hasCapacity() bool {
	if s.call != nil || s.closing {
		return false
	}
	s.closing = s.used && s.conn.netConn.Stale()
	return !s.closing
}

// start writes a call.
func (s *h1Session) start(now time.Duration, k *call, attempts []*attemptState) error {
	if s.call != nil || s.closing {
		return errNoCapacity
	}
	// The message with the most time goes first. Guards against peers that reckon a call by its first message: its end
	// before that of the others would leave these without theirs.
	slices.SortStableFunc(attempts, func(x, y *attemptState) int { return cmp.Compare(y.attempt.Due, x.attempt.Due) })
	s.used, s.call, s.attempts = true, k, attempts
	s.engineAttempts = make([]*engine.Attempt, len(attempts))
	left := make([]time.Duration, len(attempts))
	for i, t := range attempts {
		s.engineAttempts[i] = t.attempt
		left[i] = time.Duration(t.attempt.Due)*time.Microsecond - now
	}
	s.status, s.head, s.inBuffer = 0, nil, nil
	s.outBuffer = s.codec.Request(s.outBuffer, s.engineAttempts, left)
	return nil
}

// abandon ends a call by closing its connection. Where only one message of several has ended with its time the others wait on,
// and its attempt is out with theirs: it ends with the call. One that is sent again must not be out on an open connection, too.
func (s *h1Session) abandon(_ time.Duration, t *attemptState) {
	if s.call != t.call {
		return
	}
	if t.endKind == engine.OutOfTime && t.attempt.Due >= t.attempt.Ends && !s.finishFromStatus() && s.hasLiveAttempts() {
		return
	}
	s.closing = true // lose reports it, once nothing can come any more
}

// hasLiveAttempts tells whether a message of the call is still waited for.
func (s *h1Session) hasLiveAttempts() bool {
	s.conn.pool.mu.Lock()
	defer s.conn.pool.mu.Unlock()
	return slices.ContainsFunc(s.attempts, func(t *attemptState) bool { return !t.abandoned && !t.ended })
}

// finishFromStatus ends the call by the first line of its answer, where that is enough.
func (s *h1Session) finishFromStatus() bool {
	if s.call == nil || s.status == 0 {
		return false
	}
	end, ok := s.codec.Assured(s.engineAttempts, s.status)
	if !ok {
		return false
	}
	s.closing = true
	s.finish([]engine.End{end})
	return true
}

func (s *h1Session) finish(ends []engine.End) {
	if s.closing { // before the ends make room for others
		s.conn.pool.mu.Lock()
		s.conn.usable = false
		s.conn.pool.mu.Unlock()
	}
	attempts := s.attempts
	s.call, s.engineAttempts, s.attempts, s.head, s.inBuffer = nil, nil, nil, nil, nil
	for i, t := range attempts {
		s.conn.pool.reportEnd(t, ends[i])
	}
}

func (s *h1Session) connLost(kind engine.EndKind, reason string) {
	s.closing = true
	if s.call == nil || s.finishFromStatus() {
		return
	}
	ends := make([]engine.End, len(s.attempts))
	for i, t := range s.attempts {
		ends[i] = engine.End{Kind: kind, Detail: reason}
		s.conn.pool.mu.Lock()
		if t.abandoned {
			ends[i] = engine.End{Kind: t.endKind}
		} else if s.head != nil && kind == engine.ResetUnanswered {
			ends[i].Kind = engine.ResetMidAnswer
		}
		s.conn.pool.mu.Unlock()
	}
	s.finish(ends)
}

// checkDeadlines gives the rest of an answer up whose first line says enough.
func (s *h1Session) checkDeadlines(now time.Duration) error {
	if s.head != nil && now-s.headAt > bodyTimeout {
		s.finishFromStatus()
	}
	return nil
}

func (s *h1Session) receive(now time.Duration, b []byte) error {
	if s.call == nil { // bytes that belong to no call spoil the connection
		s.closing = true
		return nil
	}
	if s.head == nil {
		s.inBuffer = append(s.inBuffer, b...)
		if err := s.readHead(now); err != nil || s.head == nil {
			return err
		}
		b, s.inBuffer = s.inBuffer, nil
	}
	return s.readBody(b)
}

// readHead reads the head of the answer; those of interim answers (1xx) are passed over.
func (s *h1Session) readHead(now time.Duration) error {
	for {
		if status, ok := h1.Status(s.inBuffer); ok && status >= 200 {
			s.status = status
		}
		head, n, err := h1.ParseResponse(s.inBuffer)
		if err != nil || n == 0 {
			return err
		}
		s.inBuffer = s.inBuffer[n:]
		if head.Status >= 200 {
			s.head, s.headAt, s.chunks = head, now, h1.Chunks{}
			return nil
		}
		if head.Status == 101 {
			return fmt.Errorf("%w: an upgrade that nobody asked for", h1.ErrSyntax)
		}
	}
}

// readBody takes bytes of the body; the call ends with its last one. One larger than any answer needs is not waited for.
func (s *h1Session) readBody(b []byte) error {
	maxBytes := int64(s.conn.pool.cfg.MaxAnswerBytes)
	if s.head.Length > maxBytes {
		return fmt.Errorf("%w: a body of %d bytes", h1.ErrLength, s.head.Length)
	}
	switch {
	case s.head.Chunked:
		body, rest, err := s.chunks.Read(s.inBuffer, b)
		if s.inBuffer = body; err != nil {
			return err
		}
		if int64(len(s.inBuffer)) > maxBytes {
			return fmt.Errorf("%w: an endless body", h1.ErrLength)
		}
		if !s.chunks.Done() {
			return nil
		}
		s.closing = s.closing || len(rest) > 0
	case s.head.Length < 0: // until the connection ends: what it says so far is all that is waited for
		s.inBuffer = append(s.inBuffer, b...)
		if int64(len(s.inBuffer)) > maxBytes {
			return fmt.Errorf("%w: an endless body", h1.ErrLength)
		}
		return nil
	default:
		s.inBuffer = append(s.inBuffer, b...)
		if int64(len(s.inBuffer)) < s.head.Length {
			return nil
		}
		s.closing = s.closing || int64(len(s.inBuffer)) > s.head.Length
		s.inBuffer = s.inBuffer[:s.head.Length]
	}
	s.closing = s.closing || s.head.Close
	s.finish(s.codec.Answer(s.engineAttempts, s.head, s.inBuffer))
	return nil
}
