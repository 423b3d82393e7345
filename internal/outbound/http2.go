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

func (l *h2Session) receive(now time.Duration, b []byte) error {
	events, err := l.h2conn.Receive(now, b)
	for i := range events {
		l.handleEvent(&events[i])
	}
	return err
}

func (l *h2Session) checkDeadlines(now time.Duration) error { return l.h2conn.Check(now) }
func (l *h2Session) takeOutput() []byte                     { return l.h2conn.Output() }
func (l *h2Session) shutdown(now time.Duration)             { l.h2conn.GoAway(now, h2.NoError) }

func (l *h2Session) capacity() int {
	return min(l.conn.pool.cfg.MaxStreams, l.h2conn.Room()+l.h2conn.Open())
}

func (l *h2Session) state() sessionState {
	return sessionState{ready: l.h2conn.Settled(), hasDeadlines: l.h2conn.Open() > 0, done: l.h2conn.Done(), capacity: l.capacity()}
}

func (l *h2Session) hasCapacity() bool { return l.h2conn.Room() > 0 }

func (l *h2Session) start(now time.Duration, _ *call, attempts []*attemptState) error {
	t := attempts[0] // HTTP/2 has no bulk calls
	left := time.Duration(t.attempt.Due)*time.Microsecond - now
	id, err := l.h2conn.Request(now, l.codec.Request(t.attempt, left), t.attempt.Msg.Body)
	switch {
	case err == nil:
		t.streamID = id
		l.attempts[id] = t
		return nil
	case errors.Is(err, h2.ErrTooLarge):
		return err
	}
	return errNoCapacity
}

func (l *h2Session) abandon(now time.Duration, t *attemptState) {
	l.h2conn.Reset(now, t.streamID, h2.Cancel)
	delete(l.attempts, t.streamID)
	l.conn.pool.reportEnd(t, engine.End{Kind: t.endKind})
}

func (l *h2Session) connLost(kind engine.EndKind, reason string) {
	for id, t := range l.attempts {
		delete(l.attempts, id)
		k := kind
		if t.hasHeaders && kind == engine.ResetUnanswered {
			k = engine.ResetMidAnswer
		}
		l.conn.pool.reportEnd(t, engine.End{Kind: k, Detail: reason})
	}
}

// handleEvent takes one event of the connection.
func (l *h2Session) handleEvent(e *h2.Event) {
	switch e.Kind {
	case h2.Ready:
		l.conn.markUsable(l.capacity())
		return
	case h2.PeerGoAway:
		l.handleGoAway(e)
		return
	}
	t := l.attempts[e.Stream]
	if t == nil {
		return
	}
	p := l.conn.pool
	switch e.Kind {
	case h2.Headers:
		t.responseFields, t.hasHeaders = e.Fields, true
	case h2.Data:
		if space := p.cfg.MaxAnswerBytes - len(t.responseBody); space > 0 {
			t.responseBody = append(t.responseBody, e.Data[:min(space, len(e.Data))]...)
		}
	case h2.StreamReset:
		delete(l.attempts, e.Stream)
		p.reportEnd(t, resetEnd(t, e))
		return
	}
	if e.End {
		delete(l.attempts, e.Stream)
		l.answered = true
		p.reportEnd(t, l.codec.Answer(t.attempt, t.responseFields, t.responseBody))
		if l.h2conn.Wants(e.Stream) { // an early answer: the rest of our body is not wanted
			l.h2conn.Reset(p.elapsed(), e.Stream, h2.NoError)
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
func (l *h2Session) handleGoAway(e *h2.Event) {
	p := l.conn.pool
	p.mu.Lock()
	l.conn.usable = false
	p.mu.Unlock()
	kind := engine.AwayUnseen
	switch {
	case e.Code != h2.NoError:
		kind = engine.AwayAngry
	case !l.answered:
		kind = engine.AwayAtOnce
	}
	for id, t := range l.attempts {
		if id > e.Last {
			delete(l.attempts, id)
			p.reportEnd(t, engine.End{Kind: kind, Detail: "GOAWAY " + e.Code.String()})
		}
	}
}
