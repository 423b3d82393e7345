package outbound

import (
	"errors"
	"time"

	"whinrun/internal/engine"
	"whinrun/internal/h2"
)

// HTTP2Codec turns attempts into HTTP/2 requests and answers into ends, for the endpoint's kind of partner.
type HTTP2Codec interface {
	Resolver
	Request(a *engine.Attempt, left time.Duration) []h2.Field
	// Answer makes a whole response into an end.
	Answer(a *engine.Attempt, fields []h2.Field, body []byte) engine.End
}

// NewHTTP2 is HTTP/2 with a speech; each attempt is a stream.
func NewHTTP2(codec HTTP2Codec) Protocol { return http2{codec} }

type http2 struct{ HTTP2Codec }

func (http2) batches() bool { return false }

func (s http2) newSession(c *conn, now time.Duration) session {
	cfg := c.pool.cfg.H2
	cfg.Handshake = c.pool.cfg.ConnectTimeout
	return &h2Session{conn: c, codec: s, h2conn: h2.NewClient(cfg, now), attempts: map[uint32]*attemptState{}}
}

// h2Session is one HTTP/2 connection. It carries attempts only when the peer's SETTINGS are here: an endpoint that takes
// connections and says nothing then costs no doubt.
type h2Session struct {
	conn     *conn
	codec    HTTP2Codec
	h2conn   *h2.Conn
	attempts map[uint32]*attemptState
	answered bool // it has answered something
}

func (s *h2Session) receive(now time.Duration, b []byte) error {
	events, err := s.h2conn.Receive(now, b)
	for i := range events {
		s.handleEvent(&events[i])
	}
	return err
}

func (s *h2Session) checkDeadlines(now time.Duration) error { return s.h2conn.Check(now) }
func (s *h2Session) takeOutput() []byte                     { return s.h2conn.Output() }
func (s *h2Session) shutdown(now time.Duration)             { s.h2conn.GoAway(now, h2.NoError) }

func (s *h2Session) capacity() int {
	return min(s.conn.pool.cfg.MaxStreams, s.h2conn.Room()+s.h2conn.Open())
}

func (s *h2Session) state() sessionState {
	return sessionState{ready: s.h2conn.Settled(), hasDeadlines: s.h2conn.Open() > 0, done: s.h2conn.Done(), capacity: s.capacity()}
}

func (s *h2Session) hasCapacity() bool { return s.h2conn.Room() > 0 }

func (s *h2Session) start(now time.Duration, _ *call, attempts []*attemptState) error {
	t := attempts[0] // HTTP/2 has no bulk calls
	left := time.Duration(t.attempt.Due)*time.Microsecond - now
	id, err := s.h2conn.Request(now, s.codec.Request(t.attempt, left), t.attempt.Msg.Body)
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
	s.conn.pool.reportEnd(t, engine.End{Kind: t.endKind})
}

func (s *h2Session) connLost(kind engine.EndKind, reason string) {
	for id, t := range s.attempts {
		delete(s.attempts, id)
		endKind := kind
		if t.hasHeaders && kind == engine.ResetUnanswered {
			endKind = engine.ResetMidAnswer
		}
		s.conn.pool.reportEnd(t, engine.End{Kind: endKind, Detail: reason})
	}
}

// handleEvent takes one event of the connection.
func (s *h2Session) handleEvent(e *h2.Event) {
	switch e.Kind {
	case h2.Ready:
		s.conn.markUsable(s.capacity())
		return
	case h2.PeerGoAway:
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
		p.reportEnd(t, resetEnd(t, e))
		return
	}
	if e.End {
		delete(s.attempts, e.Stream)
		s.answered = true
		p.reportEnd(t, s.codec.Answer(t.attempt, t.responseFields, t.responseBody))
		if s.h2conn.Wants(e.Stream) { // an early answer: the rest of our body is not wanted
			s.h2conn.Reset(p.elapsed(), e.Stream, h2.NoError)
		}
	}
}

// resetEnd tells what a reset of a stream proves.
func resetEnd(t *attemptState, e *h2.Event) engine.End {
	end := engine.End{Kind: engine.ResetUnanswered, Detail: "RST_STREAM " + e.Code.String()}
	switch {
	case e.Local:
		end.Kind, end.Detail = engine.Malformed, e.Reason
	case t.hasHeaders:
		end.Kind = engine.ResetMidAnswer
	case e.Code == h2.RefusedStream:
		end.Kind = engine.RefusedByStream
	}
	return end
}

// handleGoAway takes a GOAWAY: streams above the last one named have not run and never will; those below run on.
func (s *h2Session) handleGoAway(e *h2.Event) {
	p := s.conn.pool
	p.mu.Lock()
	s.conn.usable = false
	p.mu.Unlock()
	kind := engine.AwayUnseen
	switch {
	case e.Code != h2.NoError:
		kind = engine.AwayAngry
	case !s.answered:
		kind = engine.AwayAtOnce
	}
	for id, t := range s.attempts {
		if id > e.Last {
			delete(s.attempts, id)
			p.reportEnd(t, engine.End{Kind: kind, Detail: "GOAWAY " + e.Code.String()})
		}
	}
}
