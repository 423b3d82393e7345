package outbound

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"whinrun/internal/engine"
	"whinrun/internal/h1"
)

// HTTP1Codec translates calls into HTTP/1.1 requests, and responses into the ends of attempts.
type HTTP1Codec interface {
	Resolver
	// Request appends the request of a call to b. The slice left has the remaining time of each attempt.
	Request(b []byte, attempts []*engine.Attempt, left []time.Duration) []byte
	// Answer returns one end for each attempt of a call whose response is complete. The head is valid only until
	// Answer returns.
	Answer(attempts []*engine.Attempt, head *h1.Response, body []byte) []engine.Outcome
	// EndFromStatus returns the end of a call if the status code alone decides it, although the rest of the response is
	// missing or malformed. The result ok is false if the status code does not decide. It must be false for a call
	// of several attempts.
	EndFromStatus(attempts []*engine.Attempt, status int) (end engine.Outcome, ok bool)
}

// NewHTTP1 returns HTTP/1.1 with one call at a time on a connection. The attempts of one Pool.Start form one call.
func NewHTTP1(codec HTTP1Codec) Protocol { return http1{codec} }

// http1 implements Protocol.
type http1 struct{ HTTP1Codec }

func (http1) batches() bool { return true }

func (s http1) newSession(c *conn, _ time.Duration) session { return &h1Session{conn: c, codec: s} }

// bodyTimeout is how long the body of a response may take after its head, if the status code decides the call (see
// HTTP1Codec.EndFromStatus). The attempt then does not wait for a body that stalls.
const bodyTimeout = 300 * time.Millisecond

// h1Session is the state of one HTTP/1.1 connection.
type h1Session struct {
	conn      *conn
	codec     HTTP1Codec
	outBuffer []byte
	// inBuffer is what has arrived of an incomplete response: its head at first, and then its body without
	// transfer coding.
	inBuffer []byte
	// used is true once a request was written on the connection.
	used bool
	// closing is true if the connection is to be closed.
	closing bool

	// call is the call in flight. It is nil while there is none.
	call *call
	// engineAttempts are the attempts of the call that were written, in the order of the request.
	engineAttempts []*engine.Attempt
	// attempts are the states of engineAttempts, in the same order.
	attempts []*attemptState
	// status is the status code of the final response. It is 0 until its status line has arrived.
	status int
	head   *h1.Response
	// headAt is the time at which the head of the response was complete.
	headAt time.Duration
	chunks h1.ChunkDecoder
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

// hasCapacity reports whether a call can be started. It checks a connection that was used before: the peer may
// have closed it, or sent bytes that belong to no call.
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
	// The message with the most time goes first. Some peers take the deadline of a call from its first message. If
	// that one were to end early, the other messages would lose their remaining time.
	slices.SortStableFunc(attempts, func(x, y *attemptState) int { return cmp.Compare(y.attempt.Deadline, x.attempt.Deadline) })
	s.used, s.call, s.attempts = true, k, attempts
	s.engineAttempts = make([]*engine.Attempt, len(attempts))
	left := make([]time.Duration, len(attempts))
	for i, t := range attempts {
		s.engineAttempts[i] = t.attempt
		left[i] = time.Duration(t.attempt.Deadline)*time.Microsecond - now
	}
	s.status, s.head, s.inBuffer = 0, nil, nil
	s.outBuffer = s.codec.Request(s.outBuffer, s.engineAttempts, left)
	return nil
}

// abandon ends a call by closing its connection. There is one exception: if a message has run out of time for good
// while others of the call have not, the call goes on and the attempt ends with it. An attempt whose message is
// sent again must not stay in flight on an open connection.
func (s *h1Session) abandon(_ time.Duration, t *attemptState) {
	if s.call != t.call {
		return
	}
	if t.endKind == engine.TimedOut && t.attempt.Deadline >= t.attempt.MessageDeadline && !s.finishFromStatus() && s.hasLiveAttempts() {
		return
	}
	// connLost reports the end, once the connection is closed and nothing more can arrive.
	s.closing = true
}

// hasLiveAttempts reports whether an attempt of the call is still waited for.
func (s *h1Session) hasLiveAttempts() bool {
	s.conn.pool.mu.Lock()
	defer s.conn.pool.mu.Unlock()
	return slices.ContainsFunc(s.attempts, func(t *attemptState) bool { return !t.abandoned && !t.ended })
}

// finishFromStatus ends the call by the status code of its response, and reports whether that decides it. The
// connection is closed then, because the rest of the response is not read.
func (s *h1Session) finishFromStatus() bool {
	if s.call == nil || s.status == 0 {
		return false
	}
	end, ok := s.codec.EndFromStatus(s.engineAttempts, s.status)
	if !ok {
		return false
	}
	s.closing = true
	s.finish([]engine.Outcome{end})
	return true
}

// finish reports the ends of the call in flight. The slice ends has one for each of its attempts.
func (s *h1Session) finish(ends []engine.Outcome) {
	// The reported ends free capacity. A connection that is closing must not be assigned a call then.
	if s.closing {
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

func (s *h1Session) connLost(kind engine.OutcomeKind, reason string) {
	s.closing = true
	if s.call == nil || s.finishFromStatus() {
		return
	}
	ends := make([]engine.Outcome, len(s.attempts))
	for i, t := range s.attempts {
		ends[i] = engine.Outcome{Kind: kind, Detail: reason}
		s.conn.pool.mu.Lock()
		if t.abandoned {
			ends[i] = engine.Outcome{Kind: t.endKind}
		} else if s.head != nil && kind == engine.ResetBeforeResponse {
			ends[i].Kind = engine.ResetDuringResponse
		}
		s.conn.pool.mu.Unlock()
	}
	s.finish(ends)
}

// checkDeadlines ends a call whose status code decides it and whose body has not arrived within bodyTimeout.
func (s *h1Session) checkDeadlines(now time.Duration) error {
	if s.head != nil && now-s.headAt > bodyTimeout {
		s.finishFromStatus()
	}
	return nil
}

func (s *h1Session) receive(now time.Duration, b []byte) error {
	// Bytes that belong to no call make the connection unusable.
	if s.call == nil {
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

// readHead parses the head of the response. It skips interim responses (1xx).
func (s *h1Session) readHead(now time.Duration) error {
	for {
		if status, ok := h1.ParseStatus(s.inBuffer); ok && status >= 200 {
			s.status = status
		}
		head, n, err := h1.ParseResponse(s.inBuffer)
		if err != nil || n == 0 {
			return err
		}
		s.inBuffer = s.inBuffer[n:]
		if head.Status >= 200 {
			s.head, s.headAt, s.chunks = head, now, h1.ChunkDecoder{}
			return nil
		}
		if head.Status == 101 {
			return fmt.Errorf("%w: an upgrade that nobody asked for", h1.ErrSyntax)
		}
	}
}

// readBody handles bytes of the response body, and ends the call once the body is complete. A body of more than
// Config.MaxAnswerBytes is an error, and is not read to its end.
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
	// The body ends with the connection. The call ends in connLost.
	case s.head.Length < 0:
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
