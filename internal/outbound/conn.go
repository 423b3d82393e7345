package outbound

import (
	"errors"
	"time"

	"github.com/panjf2000/gnet/v2"

	"whinrun/control"
	"whinrun/internal/engine"
	"whinrun/internal/h2"
)

func (p *Pool) elapsed() time.Duration { return engine.Elapsed(p.clock) }

// OnOpen starts HTTP/2 on a connection. It carries attempts only when the peer's SETTINGS are here: an endpoint that
// takes connections and says nothing then costs no doubt.
func (p *Pool) OnOpen(gc gnet.Conn) ([]byte, gnet.Action) {
	c := gc.Context().(*conn)
	c.gc = gc
	c.h = h2.NewClient(p.cfg.H2, p.elapsed())
	p.opened.Add(1)
	p.mu.Lock()
	p.active[c] = struct{}{}
	c.site.conns = append(c.site.conns, c)
	p.mu.Unlock()
	return c.h.Output(), gnet.None
}

// OnTraffic takes bytes of the peer, and what was put into the inbox.
func (p *Pool) OnTraffic(gc gnet.Conn) gnet.Action {
	c, ok := gc.Context().(*conn)
	if !ok || c.h == nil {
		return gnet.None
	}
	now := p.elapsed()
	if gc.InboundBuffered() > 0 {
		buf, _ := gc.Next(-1)
		events, err := c.h.Receive(now, buf)
		for i := range events {
			c.event(&events[i])
		}
		if err != nil {
			return c.broken(err)
		}
	}
	c.work(now)
	if err := c.h.Check(now); err != nil {
		return c.broken(err)
	}
	return c.flush()
}

func (c *conn) flush() gnet.Action {
	if out := c.h.Output(); len(out) > 0 {
		_, _ = c.gc.Write(out) // a failed write shows as OnClose
	}
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if !c.h.Settled() || c.h.Open() > 0 {
		p.active[c] = struct{}{}
	} else {
		delete(p.active, c)
	}
	if c.h.Settled() {
		c.limit = min(p.cfg.Streams, c.h.Room()+c.h.Open())
		c.usable = c.usable && !c.h.Done()
		p.refill(c.site)
	}
	if c.shut && c.load == 0 || c.h.Done() {
		c.usable = false
		return gnet.Close
	}
	return gnet.None
}

// broken ends a connection on which the peer broke the protocol or a time limit.
func (c *conn) broken(err error) gnet.Action {
	if out := c.h.Output(); len(out) > 0 {
		_, _ = c.gc.Write(out)
	}
	kind := engine.Malformed
	var ce *h2.ConnError
	if errors.As(err, &ce) && ce.Code == h2.SettingsTimeout {
		kind = engine.ResetUnanswered
	}
	c.lose(kind, err.Error())
	return gnet.Close
}

// OnClose ends what was out on the connection.
func (p *Pool) OnClose(gc gnet.Conn, err error) gnet.Action {
	c, ok := gc.Context().(*conn)
	if !ok {
		return gnet.None
	}
	p.opened.Add(-1)
	why := "connection closed by the peer"
	if err != nil {
		why = err.Error()
	}
	c.lose(engine.ResetUnanswered, why)
	return gnet.None
}

// lose takes a connection out of its pool, and ends all that was on it: what was never written has not run.
func (c *conn) lose(kind engine.EndKind, why string) {
	p := c.pool
	p.mu.Lock()
	held := c.site.conns[:0]
	found := false
	for _, o := range c.site.conns {
		if o != c {
			held = append(held, o)
		} else {
			found = true
		}
	}
	clear(c.site.conns[len(held):])
	c.site.conns = held
	c.usable = false
	c.unidle()
	delete(p.active, c)
	inbox := c.inbox
	c.inbox = nil
	stood := c.stood
	if c.stood {
		c.stood = false
		p.planner.Closed()
		p.nudge()
	}
	p.mu.Unlock()
	if !found {
		return
	}
	if !stood {
		p.noConnection(c.site, errors.New("no HTTP/2 on the connection: "+why))
	}
	for id, t := range c.tasks {
		delete(c.tasks, id)
		k := kind
		if t.headers && kind == engine.ResetUnanswered {
			k = engine.ResetMidAnswer
		}
		p.end(t, engine.End{Kind: k, Detail: why})
	}
	for _, t := range inbox {
		p.end(t, engine.End{Kind: engine.NotConnected, Detail: why}) // those written have ended above
	}
	p.mu.Lock()
	p.grow(c.site)
	p.mu.Unlock()
}

// work does what is in the inbox: attempts to send, attempts to give up.
func (c *conn) work(now time.Duration) {
	p := c.pool
	p.mu.Lock()
	inbox := c.inbox
	c.inbox = nil
	shut := c.shut && c.load == 0
	p.mu.Unlock()
	for _, t := range inbox {
		p.mu.Lock()
		given, kind, ended := t.given, t.kind, t.ended
		p.mu.Unlock()
		switch {
		case ended:
		case given && t.stream == 0:
			p.end(t, engine.End{Kind: engine.Unsent})
		case given:
			c.h.Reset(now, t.stream, h2.Cancel)
			delete(c.tasks, t.stream)
			p.end(t, engine.End{Kind: kind})
		case t.stream == 0:
			c.start(t, now)
		}
	}
	if shut {
		c.h.GoAway(now, h2.NoError)
	}
}

func (c *conn) start(t *task, now time.Duration) {
	left := time.Duration(t.a.Due)*time.Microsecond - now
	if left <= 0 {
		c.pool.end(t, engine.End{Kind: engine.Unsent, Detail: "its time is over"})
		return
	}
	id, err := c.h.Request(now, c.pool.speech.Request(t.a, left), t.a.Msg.Body)
	switch {
	case err == nil:
		t.stream = id
		c.tasks[id] = t
	case errors.Is(err, h2.ErrTooLarge):
		c.pool.end(t, engine.End{Kind: engine.TooLargeForPeer, Detail: err.Error()})
	default: // the limit fell, or GOAWAY came, since it was put here: it waits for room again
		c.again(t)
	}
}

// again puts an attempt that was not sent back among those that wait.
func (c *conn) again(t *task) {
	p := c.pool
	p.mu.Lock()
	c.limit = min(c.limit, c.h.Room()+c.h.Open())
	c.usable = c.usable && c.h.Room()+c.h.Open() > 0
	if c.load--; c.load == 0 {
		c.idles()
	}
	t.conn = nil
	var failed []*task
	if t.given {
		failed = []*task{t}
	} else if !p.place(t) {
		t.site.pending = append(t.site.pending, t)
		p.grow(t.site)
	}
	p.mu.Unlock()
	p.fail(failed, "no connection has room")
}

// event takes one event of the connection.
func (c *conn) event(e *h2.Event) {
	switch e.Kind {
	case h2.Ready:
		c.ready()
		return
	case h2.PeerGoAway:
		c.away(e)
		return
	}
	t := c.tasks[e.Stream]
	if t == nil {
		return
	}
	switch e.Kind {
	case h2.Headers:
		t.fields, t.headers = e.Fields, true
	case h2.Data:
		if room := c.pool.cfg.MaxAnswer - len(t.body); room > 0 {
			t.body = append(t.body, e.Data[:min(room, len(e.Data))]...)
		}
	case h2.StreamReset:
		delete(c.tasks, e.Stream)
		c.pool.end(t, resetEnd(t, e))
		return
	}
	if e.End {
		delete(c.tasks, e.Stream)
		c.proved = true
		c.pool.end(t, c.pool.speech.Answer(t.a, t.fields, t.body))
		if c.h.Wants(e.Stream) { // an early answer: the rest of our body is not wanted
			c.h.Reset(c.pool.elapsed(), e.Stream, h2.NoError)
		}
	}
}

// resetEnd tells what a reset of a stream proves.
func resetEnd(t *task, e *h2.Event) engine.End {
	end := engine.End{Kind: engine.ResetUnanswered, Detail: "RST_STREAM " + e.Code.String()}
	switch {
	case e.Local:
		end.Kind, end.Detail = engine.Malformed, e.Reason
	case t.headers:
		end.Kind = engine.ResetMidAnswer
	case e.Code == h2.RefusedStream:
		end.Kind = engine.RefusedByStream
	}
	return end
}

// ready opens a connection for attempts.
func (c *conn) ready() {
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	c.site.dialing--
	c.usable, c.stood = true, true
	p.planner.Opened()
	p.nudge()
	c.site.busyTo = p.clock.Now() + busyFor
	c.limit = min(p.cfg.Streams, c.h.Room())
	c.idles()
	p.refill(c.site)
	p.grow(c.site)
}

// away takes a GOAWAY: streams above the last one named have not run and never will; those below run on.
func (c *conn) away(e *h2.Event) {
	p := c.pool
	p.mu.Lock()
	c.usable = false
	p.mu.Unlock()
	kind := engine.AwayUnseen
	switch {
	case e.Code != h2.NoError:
		kind = engine.AwayAngry
	case !c.proved:
		kind = engine.AwayAtOnce
	}
	for id, t := range c.tasks {
		if id > e.Last {
			delete(c.tasks, id)
			p.end(t, engine.End{Kind: kind, Detail: "GOAWAY " + e.Code.String()})
		}
	}
}

// OnTick looks after time limits: handshakes, windows held shut, idle connections. It runs beside the event loops and
// only wakes connections.
func (p *Pool) OnTick() (time.Duration, gnet.Action) {
	long := p.clock.Now() - control.Time(p.cfg.Idle/time.Microsecond)
	p.mu.Lock()
	for c := range p.active {
		_ = c.gc.Wake(nil)
	}
	for e := p.idle.Front(); e != nil && e.Value.(*conn).since < long; e = p.idle.Front() {
		c := e.Value.(*conn)
		c.retire()
		c.unidle() // also where it drains already: the list must move on
	}
	p.mu.Unlock()
	return min(250*time.Millisecond, max(10*time.Millisecond, p.cfg.ConnectTimeout/8)), gnet.None
}
