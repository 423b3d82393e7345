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
	Answer(a *engine.Attempt, fields []h2.Field, body []byte) engine.Outcome
}

// NewHTTP2 is HTTP/2 with a speech; each attempt is a stream.
func NewHTTP2(s HTTP2Codec) Protocol { return http2{s} }

type http2 struct{ HTTP2Codec }

func (http2) bulk() bool { return false }

func (s http2) line(c *conn, now time.Duration) line {
	cfg := c.pool.cfg.H2
	cfg.Handshake = c.pool.cfg.ConnectTimeout
	return &h2Line{c: c, speech: s, h: h2.NewClient(cfg, now), tasks: map[uint32]*task{}}
}

// h2Line is one HTTP/2 connection. It carries attempts only when the peer's SETTINGS are here: an endpoint that takes
// connections and says nothing then costs no doubt.
type h2Line struct {
	c      *conn
	speech HTTP2Codec
	h      *h2.Conn
	tasks  map[uint32]*task
	proved bool // it has answered something
}

func (l *h2Line) receive(now time.Duration, b []byte) error {
	events, err := l.h.Receive(now, b)
	for i := range events {
		l.event(&events[i])
	}
	return err
}

func (l *h2Line) check(now time.Duration) error { return l.h.Check(now) }
func (l *h2Line) output() []byte                { return l.h.Output() }
func (l *h2Line) shut(now time.Duration)        { l.h.GoAway(now, h2.NoError) }

func (l *h2Line) room() int {
	return min(l.c.pool.cfg.MaxStreams, l.h.AvailableStreams()+l.h.OpenStreams())
}

func (l *h2Line) state() lineState {
	return lineState{settled: l.h.SettingsReceived(), busy: l.h.OpenStreams() > 0, done: l.h.Done(), limit: l.room()}
}

func (l *h2Line) hasRoom() bool { return l.h.AvailableStreams() > 0 }

func (l *h2Line) start(now time.Duration, _ *call, tasks []*task) error {
	t := tasks[0] // HTTP/2 has no bulk calls
	left := time.Duration(t.a.Deadline)*time.Microsecond - now
	id, err := l.h.Request(now, l.speech.Request(t.a, left), t.a.Message.Body)
	switch {
	case err == nil:
		t.stream = id
		l.tasks[id] = t
		return nil
	case errors.Is(err, h2.ErrTooLarge):
		return err
	}
	return errNoRoom
}

func (l *h2Line) giveUp(now time.Duration, t *task) {
	l.h.Reset(now, t.stream, h2.Cancel)
	delete(l.tasks, t.stream)
	l.c.pool.end(t, engine.Outcome{Kind: t.kind})
}

func (l *h2Line) lose(kind engine.OutcomeKind, why string) {
	for id, t := range l.tasks {
		delete(l.tasks, id)
		k := kind
		if t.headers && kind == engine.ResetBeforeResponse {
			k = engine.ResetDuringResponse
		}
		l.c.pool.end(t, engine.Outcome{Kind: k, Detail: why})
	}
}

// event takes one event of the connection.
func (l *h2Line) event(e *h2.Event) {
	switch e.Kind {
	case h2.Ready:
		l.c.ready(l.room())
		return
	case h2.GoAwayReceived:
		l.away(e)
		return
	}
	t := l.tasks[e.Stream]
	if t == nil {
		return
	}
	p := l.c.pool
	switch e.Kind {
	case h2.Headers:
		t.fields, t.headers = e.Fields, true
	case h2.Data:
		if room := p.cfg.MaxAnswerBytes - len(t.body); room > 0 {
			t.body = append(t.body, e.Data[:min(room, len(e.Data))]...)
		}
	case h2.StreamReset:
		delete(l.tasks, e.Stream)
		p.end(t, resetEnd(t, e))
		return
	}
	if e.End {
		delete(l.tasks, e.Stream)
		l.proved = true
		p.end(t, l.speech.Answer(t.a, t.fields, t.body))
		if l.h.IsOpen(e.Stream) { // an early answer: the rest of our body is not wanted
			l.h.Reset(p.elapsed(), e.Stream, h2.NoError)
		}
	}
}

// resetEnd tells what a reset of a stream proves.
func resetEnd(t *task, e *h2.Event) engine.Outcome {
	end := engine.Outcome{Kind: engine.ResetBeforeResponse, Detail: "RST_STREAM " + e.Code.String()}
	switch {
	case e.Local:
		end.Kind, end.Detail = engine.ProtocolError, e.Reason
	case t.headers:
		end.Kind = engine.ResetDuringResponse
	case e.Code == h2.RefusedStream:
		end.Kind = engine.StreamRefused
	}
	return end
}

// away takes a GOAWAY: streams above the last one named have not run and never will; those below run on.
func (l *h2Line) away(e *h2.Event) {
	p := l.c.pool
	p.mu.Lock()
	l.c.usable = false
	p.mu.Unlock()
	kind := engine.GoAwayUnprocessed
	switch {
	case e.Code != h2.NoError:
		kind = engine.GoAwayWithError
	case !l.proved:
		kind = engine.GoAwayBeforeResponse
	}
	for id, t := range l.tasks {
		if id > e.LastStream {
			delete(l.tasks, id)
			p.end(t, engine.Outcome{Kind: kind, Detail: "GOAWAY " + e.Code.String()})
		}
	}
}
