package outbound

import (
	"errors"
	"time"

	"whinrun/internal/engine"
	"whinrun/internal/h2"
)

// HTTP2Codec translates attempts into HTTP/2 requests, and responses into the ends of attempts, in the manner of
// the endpoint's partner.
type HTTP2Codec interface {
	Resolver
	// Request returns the header fields of the request. The time left is what remains of the attempt's time.
	Request(a *engine.Attempt, left time.Duration) []h2.Field
	// Answer returns the end of an attempt whose response is complete. The body may be cut off at
	// Config.MaxAnswerBytes.
	Answer(a *engine.Attempt, fields []h2.Field, body []byte) engine.Outcome
}

// NewHTTP2 returns HTTP/2 with one stream for each attempt.
func NewHTTP2(codec HTTP2Codec) Protocol { return http2{codec} }

// http2 implements Protocol.
type http2 struct{ HTTP2Codec }

func (http2) batches() bool { return false }

func (s http2) newSession(c *conn, now time.Duration) session {
	cfg := c.pool.cfg.H2
	cfg.Handshake = c.pool.cfg.ConnectTimeout
	return &h2Session{conn: c, codec: s, h2conn: h2.NewClient(cfg, now), attempts: map[uint32]*attemptState{}}
}

// h2Session is the state of one HTTP/2 connection. It carries attempts only once the peer's SETTINGS have arrived.
// If an endpoint accepts connections and sends nothing, its attempts are then certain not to have been executed.
type h2Session struct {
	conn   *conn
	codec  HTTP2Codec
	h2conn *h2.Conn
	// attempts holds the attempts in flight by their stream.
	attempts map[uint32]*attemptState
	// answered is true once a response was complete on the connection.
	answered bool
}

func (s *h2Session) receive(now time.Duration, b []byte) error {
	events, err := s.h2conn.Receive(now, b)
	for i := range events {
		s.handleEvent(&events[i])
	}
	s.h2conn.ReleaseEvents()
	return err
}

func (s *h2Session) checkDeadlines(now time.Duration) error { return s.h2conn.Check(now) }
func (s *h2Session) takeOutput() []byte                     { return s.h2conn.Output() }
func (s *h2Session) shutdown(now time.Duration)             { s.h2conn.GoAway(now, h2.NoError) }

// capacity returns the number of streams that the connection can carry at once, including the open ones.
func (s *h2Session) capacity() int {
	return min(s.conn.pool.cfg.MaxStreams, s.h2conn.AvailableStreams()+s.h2conn.OpenStreams())
}

func (s *h2Session) state() sessionState {
	return sessionState{ready: s.h2conn.SettingsReceived(), hasDeadlines: s.h2conn.OpenStreams() > 0, done: s.h2conn.Done(), capacity: s.capacity()}
}

func (s *h2Session) hasCapacity() bool { return s.h2conn.AvailableStreams() > 0 }

func (s *h2Session) start(now time.Duration, _ *call, attempts []*attemptState) error {
	// HTTP/2 does not batch attempts: a call has one.
	t := attempts[0]
	left := time.Duration(t.attempt.Deadline)*time.Microsecond - now
	id, err := s.h2conn.Request(now, s.codec.Request(t.attempt, left), t.attempt.Message.Body)
	switch {
	case err == nil:
		t.streamID = id
		s.attempts[id] = t
		return nil
	case errors.Is(err, h2.ErrTooLarge):
		return err
	}
	return errNoCapacity
}

func (s *h2Session) abandon(now time.Duration, t *attemptState) {
	s.h2conn.Reset(now, t.streamID, h2.Cancel)
	delete(s.attempts, t.streamID)
	s.conn.pool.reportEnd(t, engine.Outcome{Kind: t.endKind, PossiblyOver: s.possiblyOver(t)})
}

// possiblyOver reports whether what has arrived of a response that is not complete tells that its message is over. The stream
// proves that it belongs to the attempt.
func (s *h2Session) possiblyOver(t *attemptState) bool {
	return t.hasHeaders && engine.EndsMessage(s.codec.Answer(t.attempt, t.responseFields, t.responseBody).Status)
}

func (s *h2Session) connLost(kind engine.OutcomeKind, reason string) {
	for id, t := range s.attempts {
		delete(s.attempts, id)
		endKind := kind
		if t.hasHeaders && kind == engine.ResetBeforeResponse {
			endKind = engine.ResetDuringResponse
		}
		s.conn.pool.reportEnd(t, engine.Outcome{Kind: endKind, Detail: reason, PossiblyOver: s.possiblyOver(t)})
	}
}

// handleEvent handles one event of the connection.
func (s *h2Session) handleEvent(e *h2.Event) {
	switch e.Kind {
	case h2.Ready:
		s.conn.markUsable(s.capacity())
		return
	case h2.GoAwayReceived:
		s.handleGoAway(e)
		return
	}
	t := s.attempts[e.Stream]
	if t == nil {
		return
	}
	p := s.conn.pool
	switch e.Kind {
	case h2.Headers:
		t.responseFields, t.hasHeaders = e.Fields, true
	case h2.Data:
		if space := p.cfg.MaxAnswerBytes - len(t.responseBody); space > 0 {
			t.responseBody = append(t.responseBody, e.Data[:min(space, len(e.Data))]...)
		}
	case h2.StreamReset:
		delete(s.attempts, e.Stream)
		end := resetEnd(t, e)
		end.PossiblyOver = s.possiblyOver(t)
		p.reportEnd(t, end)
		return
	}
	if e.End {
		delete(s.attempts, e.Stream)
		s.answered = true
		p.reportEnd(t, s.codec.Answer(t.attempt, t.responseFields, t.responseBody))
		// The response was complete before the request body was sent. The peer does not want the rest of it.
		if s.h2conn.IsOpen(e.Stream) {
			s.h2conn.Reset(p.elapsed(), e.Stream, h2.NoError)
		}
	}
}

// resetEnd returns the end of an attempt whose stream was reset. The error code tells whether the request may have
// been executed.
func resetEnd(t *attemptState, e *h2.Event) engine.Outcome {
	end := engine.Outcome{Kind: engine.ResetBeforeResponse, Detail: "RST_STREAM " + e.Code.String()}
	switch {
	case e.Local:
		end.Kind, end.Detail = engine.ProtocolError, e.Reason
	case t.hasHeaders:
		end.Kind = engine.ResetDuringResponse
	case e.Code == h2.RefusedStream:
		end.Kind = engine.StreamRefused
	}
	return end
}

// handleGoAway handles a GOAWAY frame. Streams above the last one that it names have not been processed and never
// will be (RFC 9113 section 6.8), so that their attempts end. The others continue.
func (s *h2Session) handleGoAway(e *h2.Event) {
	p := s.conn.pool
	p.mu.Lock()
	s.conn.usable = false
	p.mu.Unlock()
	kind := engine.GoAwayUnprocessed
	switch {
	case e.Code != h2.NoError:
		kind = engine.GoAwayWithError
	case !s.answered:
		kind = engine.GoAwayBeforeResponse
	}
	for id, t := range s.attempts {
		if id > e.LastStream {
			delete(s.attempts, id)
			p.reportEnd(t, engine.Outcome{Kind: kind, Detail: "GOAWAY " + e.Code.String(), PossiblyOver: s.possiblyOver(t)})
		}
	}
}
