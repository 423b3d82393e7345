package outbound

import (
	"cmp"
	"errors"
	"io"
	"slices"
	"time"

	"whinrun/control"
	"whinrun/internal/clock"
	"whinrun/internal/engine"
	"whinrun/internal/eventloop"
	"whinrun/internal/h2"
)

func (p *Pool) elapsed() time.Duration { return clock.Elapsed(p.clock) }

// Opened is eventloop.Handler: it starts the protocol on a connection.
func (p *Pool) Opened(gc *eventloop.Conn) {
	c := &conn{pool: p, site: gc.Context.(*site), gc: gc}
	gc.Context = c
	c.l = p.proto.line(c, p.elapsed())
	p.opened.Add(1)
	p.mu.Lock()
	p.active[c] = struct{}{}
	c.site.conns = append(c.site.conns, c)
	c.site.lacking = false
	p.mu.Unlock()
	if st := c.l.state(); st.settled {
		c.ready(st.limit)
	}
	gc.Write(c.l.output())
}

// Ready is eventloop.Handler: it takes bytes of the peer, and what was put into the inbox.
func (p *Pool) Ready(gc *eventloop.Conn) {
	c := gc.Context.(*conn)
	now := p.elapsed()
	if in := gc.Inbound(); len(in) > 0 {
		if err := c.l.receive(now, in); err != nil {
			c.broken(err)
			return
		}
	}
	c.work(now)
	if err := c.l.check(now); err != nil {
		c.broken(err)
		return
	}
	c.flush()
}

func (c *conn) flush() {
	c.gc.Write(c.l.output())
	st := c.l.state()
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if !st.settled || st.busy {
		p.active[c] = struct{}{}
	} else {
		delete(p.active, c)
	}
	if st.settled {
		c.limit = st.limit
		c.usable = c.usable && !st.done
		p.refill(c.site)
	}
	if c.shut && c.load == 0 || st.done {
		c.usable = false
		c.gc.Close()
	}
}

// broken ends a connection on which the peer broke the protocol or a time limit.
func (c *conn) broken(err error) {
	c.gc.Write(c.l.output())
	kind := engine.ProtocolError
	var ce *h2.ConnError
	if errors.As(err, &ce) && ce.Code == h2.SettingsTimeout {
		kind = engine.ResetBeforeResponse
	}
	c.lose(kind, err.Error())
	c.gc.Close()
}

// Closed is eventloop.Handler: it ends what was out on the connection.
func (p *Pool) Closed(gc *eventloop.Conn, err error) {
	p.opened.Add(-1)
	why := "connection closed by the peer"
	if err != nil && !errors.Is(err, io.EOF) {
		why = err.Error()
	}
	gc.Context.(*conn).lose(engine.ResetBeforeResponse, why)
}

// lose takes a connection out of its pool, and ends all that was on it. What was never written has not run: it waits
// for another connection, once.
func (c *conn) lose(kind engine.OutcomeKind, why string) {
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
	p.cfg.Trace("endpoint %d: connection lost: %s; %d calls not written", c.site.ep, why, len(inbox))
	// The peer learns that nothing is waited for before the attempts are reported: another may follow at once.
	c.gc.CloseBoth()
	if !stood {
		p.noConnection(c.site, errors.New("no HTTP/2 on the connection: "+why))
	}
	c.l.lose(kind, why)
	for _, it := range inbox {
		if it.start != nil {
			c.again(it.start, why)
		}
	}
	p.mu.Lock()
	p.grow(c.site)
	p.mu.Unlock()
}

// work does what is in the inbox: calls to start, attempts to give up.
func (c *conn) work(now time.Duration) {
	p := c.pool
	p.mu.Lock()
	inbox := c.inbox
	c.inbox = nil
	shut := c.shut && c.load == 0
	p.mu.Unlock()
	for _, it := range inbox {
		if it.start != nil {
			c.start(it.start, now)
		} else if p.waits(it.give) {
			c.l.giveUp(now, it.give)
		}
	}
	if shut {
		c.l.shut(now)
	}
}

// waits tells whether an attempt has no end yet.
func (p *Pool) waits(t *task) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !t.ended
}

// start writes a call, without the attempts that were given up or ran out of time meanwhile. Guards against a connection
// that comes up late: by then partners may have forgotten the keys of repeats.
func (c *conn) start(k *call, now time.Duration) {
	if !c.l.hasRoom() { // the limit fell, or the peer is closing, since it was put here
		c.again(k, errNoRoom.Error())
		return
	}
	alive := c.permitted(c.waiting(k, now))
	if len(alive) == 0 {
		return
	}
	err := c.l.start(now, k, alive)
	if err == nil {
		return
	}
	for _, t := range alive {
		c.pool.takenBack(t)
	}
	if errors.Is(err, errNoRoom) {
		c.again(k, err.Error())
		return
	}
	for _, t := range alive {
		c.pool.end(t, engine.Outcome{Kind: engine.HeadersTooLarge, Detail: err.Error()})
	}
}

// waiting are the attempts of a call that are still to be made; the others end.
func (c *conn) waiting(k *call, now time.Duration) (alive []*task) {
	p := c.pool
	for _, t := range k.tasks {
		p.mu.Lock()
		given, ended := t.given, t.ended
		p.mu.Unlock()
		switch {
		case ended:
		case given:
			p.end(t, engine.Outcome{Kind: engine.Unsent})
		case time.Duration(cmp.Or(t.a.WriteBefore, t.a.Deadline))*time.Microsecond <= now:
			p.end(t, engine.Outcome{Kind: engine.Unsent, Detail: "its time, or that for repeats, is over"})
		default:
			alive = append(alive, t)
		}
	}
	return alive
}

// permitted are the attempts that may be written now, and are on record where they need to be; the others end.
func (c *conn) permitted(tasks []*task) []*task {
	p := c.pool
	if p.cfg.Admission == nil || len(tasks) == 0 {
		return tasks
	}
	now := p.clock.Now()
	var alive []*task
	var call []*engine.Attempt
	for _, t := range tasks {
		if err := p.cfg.Admission.Write(now, t.a); err != nil {
			p.end(t, engine.Outcome{Kind: engine.Unsent, Detail: err.Error()})
			continue
		}
		alive, call = append(alive, t), append(call, t.a)
	}
	if len(call) == 0 {
		return nil
	}
	may, err := p.cfg.Admission.Record(call)
	if err == nil {
		return alive
	}
	return slices.DeleteFunc(alive, func(t *task) bool {
		if slices.Contains(may, t.a) {
			return false
		}
		p.takenBack(t)
		p.end(t, engine.Outcome{Kind: engine.NotRecorded, Detail: err.Error()})
		return true
	})
}

// takenBack tells that an attempt that was permitted was not written.
func (p *Pool) takenBack(t *task) {
	if p.cfg.Admission != nil {
		p.cfg.Admission.TakenBack(t.a)
	}
}

// again puts a call that was not written back among those that wait, once. Guards against a peer that takes
// connections and drops them: a call must not go round for ever.
func (c *conn) again(k *call, why string) {
	p := c.pool
	st := c.l.state()
	p.mu.Lock()
	c.limit = min(c.limit, st.limit)
	c.usable = c.usable && st.limit > 0 && !st.done
	if k.left == 0 { // its attempts have their ends, and took it off the connection
		p.mu.Unlock()
		return
	}
	if c.load--; c.load == 0 {
		c.idles()
	}
	k.conn = nil
	var given []*task
	for _, t := range k.tasks {
		if t.given && !t.ended {
			given = append(given, t)
		}
	}
	moved := k.moved
	k.moved = true
	if !moved && len(given) < k.left && !p.place(k) {
		k.site.pending = append(k.site.pending, k)
		p.grow(k.site)
	}
	p.mu.Unlock()
	if moved {
		p.fail([]*call{k}, why)
		return
	}
	for _, t := range given {
		p.end(t, engine.Outcome{Kind: engine.Unsent})
	}
}

// ready opens a connection for calls; limit is how many it carries.
func (c *conn) ready(limit int) {
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	c.site.dialing--
	c.usable, c.stood = true, true
	p.planner.Opened()
	p.nudge()
	c.site.busyTo = p.clock.Now() + busyFor
	c.limit = limit
	c.idles()
	p.refill(c.site)
	p.grow(c.site)
}

// Tick is eventloop.Handler: it looks after time limits, of handshakes, windows held shut and idle connections.
func (p *Pool) Tick() {
	long := p.clock.Now() - control.Time(p.cfg.IdleTimeout/time.Microsecond)
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.active {
		c.gc.Wake()
	}
	for e := p.idle.Front(); e != nil && e.Value.(*conn).since < long; e = p.idle.Front() {
		c := e.Value.(*conn)
		c.retire()
		c.unidle() // also where it drains already: the list must move on
	}
}
