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
func (p *Pool) Opened(netConn *eventloop.Conn) {
	c := &conn{pool: p, endpoint: netConn.Context.(*endpointPool), netConn: netConn}
	netConn.Context = c
	c.session = p.proto.newSession(c, p.elapsed())
	p.openConns.Add(1)
	p.mu.Lock()
	p.monitored[c] = struct{}{}
	c.endpoint.conns = append(c.endpoint.conns, c)
	c.endpoint.localFailure = false
	p.mu.Unlock()
	if st := c.session.state(); st.ready {
		c.markUsable(st.capacity)
	}
	netConn.Write(c.session.takeOutput())
}

// Ready is eventloop.Handler: it takes bytes of the peer, and what was put into the inbox.
func (p *Pool) Ready(netConn *eventloop.Conn) {
	c := netConn.Context.(*conn)
	now := p.elapsed()
	if in := netConn.Inbound(); len(in) > 0 {
		if err := c.session.receive(now, in); err != nil {
			c.protocolFailed(err)
			return
		}
	}
	c.runCommands(now)
	if err := c.session.checkDeadlines(now); err != nil {
		c.protocolFailed(err)
		return
	}
	c.flush()
}

func (c *conn) flush() {
	c.netConn.Write(c.session.takeOutput())
	st := c.session.state()
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if !st.ready || st.hasDeadlines {
		p.monitored[c] = struct{}{}
	} else {
		delete(p.monitored, c)
	}
	if st.ready {
		c.capacity = st.capacity
		c.usable = c.usable && !st.done
		p.assignPending(c.endpoint)
	}
	if c.closeWhenIdle && c.inFlight == 0 || st.done {
		c.usable = false
		c.netConn.Close()
	}
}

// protocolFailed ends a connection on which the peer broke the protocol or a time limit.
func (c *conn) protocolFailed(err error) {
	c.netConn.Write(c.session.takeOutput())
	kind := engine.Malformed
	var ce *h2.ConnError
	if errors.As(err, &ce) && ce.Code == h2.SettingsTimeout {
		kind = engine.ResetUnanswered
	}
	c.remove(kind, err.Error())
	c.netConn.Close()
}

// Closed is eventloop.Handler: it ends what was out on the connection.
func (p *Pool) Closed(netConn *eventloop.Conn, err error) {
	p.openConns.Add(-1)
	reason := "connection closed by the peer"
	if err != nil && !errors.Is(err, io.EOF) {
		reason = err.Error()
	}
	netConn.Context.(*conn).remove(engine.ResetUnanswered, reason)
}

// lose takes a connection out of its pool, and ends all that was on it. What was never written has not run: it waits
// for another connection, once.
func (c *conn) remove(kind engine.EndKind, reason string) {
	p := c.pool
	p.mu.Lock()
	remaining := c.endpoint.conns[:0]
	found := false
	for _, o := range c.endpoint.conns {
		if o != c {
			remaining = append(remaining, o)
		} else {
			found = true
		}
	}
	clear(c.endpoint.conns[len(remaining):])
	c.endpoint.conns = remaining
	c.usable = false
	c.unmarkIdle()
	delete(p.monitored, c)
	commands := c.commands
	c.commands = nil
	wasEstablished := c.established
	if c.established {
		c.established = false
		p.scheduler.Closed()
		p.wakeScheduler()
	}
	p.mu.Unlock()
	if !found {
		return
	}
	p.cfg.Trace("endpoint %d: connection lost: %s; %d calls not written", c.endpoint.id, reason, len(commands))
	// The peer learns that nothing is waited for before the attempts are reported: another may follow at once.
	c.netConn.CloseBoth()
	if !wasEstablished {
		p.connectFailed(c.endpoint, errors.New("no HTTP/2 on the connection: "+reason))
	}
	c.session.connLost(kind, reason)
	for _, cmd := range commands {
		if cmd.start != nil {
			c.requeue(cmd.start, reason)
		}
	}
	p.mu.Lock()
	p.requestConn(c.endpoint)
	p.mu.Unlock()
}

// runCommands does what is in the inbox: calls to start, attempts to give up.
func (c *conn) runCommands(now time.Duration) {
	p := c.pool
	p.mu.Lock()
	commands := c.commands
	c.commands = nil
	shutdown := c.closeWhenIdle && c.inFlight == 0
	p.mu.Unlock()
	for _, cmd := range commands {
		if cmd.start != nil {
			c.startCall(cmd.start, now)
		} else if p.isOutstanding(cmd.abandon) {
			c.session.abandon(now, cmd.abandon)
		}
	}
	if shutdown {
		c.session.shutdown(now)
	}
}

// isOutstanding tells whether an attempt has no end yet.
func (p *Pool) isOutstanding(t *attemptState) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !t.ended
}

// startCall writes a call, without the attempts that were given up or ran out of time meanwhile. Guards against a connection
// that comes up late: by then partners may have forgotten the keys of repeats.
func (c *conn) startCall(k *call, now time.Duration) {
	if !c.session.hasCapacity() { // the limit fell, or the peer is closing, since it was put here
		c.requeue(k, errNoCapacity.Error())
		return
	}
	admitted := c.admit(c.startable(k, now))
	if len(admitted) == 0 {
		return
	}
	err := c.session.start(now, k, admitted)
	if err == nil {
		return
	}
	for _, t := range admitted {
		c.pool.reportTakenBack(t)
	}
	if errors.Is(err, errNoCapacity) {
		c.requeue(k, err.Error())
		return
	}
	for _, t := range admitted {
		c.pool.reportEnd(t, engine.End{Kind: engine.TooLargeForPeer, Detail: err.Error()})
	}
}

// startable are the attempts of a call that are still to be made; the others end.
func (c *conn) startable(k *call, now time.Duration) (startable []*attemptState) {
	p := c.pool
	for _, t := range k.attempts {
		p.mu.Lock()
		abandoned, ended := t.abandoned, t.ended
		p.mu.Unlock()
		switch {
		case ended:
		case abandoned:
			p.reportEnd(t, engine.End{Kind: engine.Unsent})
		case time.Duration(cmp.Or(t.attempt.Begin, t.attempt.Due))*time.Microsecond <= now:
			p.reportEnd(t, engine.End{Kind: engine.Unsent, Detail: "its time, or that for repeats, is over"})
		default:
			startable = append(startable, t)
		}
	}
	return startable
}

// admit are the attempts that may be written now, and are on record where they need to be; the others end.
func (c *conn) admit(attempts []*attemptState) []*attemptState {
	p := c.pool
	if p.cfg.Admission == nil || len(attempts) == 0 {
		return attempts
	}
	now := p.clock.Now()
	var admitted []*attemptState
	var engineAttempts []*engine.Attempt
	for _, t := range attempts {
		if err := p.cfg.Admission.Write(now, t.attempt); err != nil {
			p.reportEnd(t, engine.End{Kind: engine.Unsent, Detail: err.Error()})
			continue
		}
		admitted, engineAttempts = append(admitted, t), append(engineAttempts, t.attempt)
	}
	if len(engineAttempts) == 0 {
		return nil
	}
	writable, err := p.cfg.Admission.Record(engineAttempts)
	if err == nil {
		return admitted
	}
	return slices.DeleteFunc(admitted, func(t *attemptState) bool {
		if slices.Contains(writable, t.attempt) {
			return false
		}
		p.reportTakenBack(t)
		p.reportEnd(t, engine.End{Kind: engine.NotRecorded, Detail: err.Error()})
		return true
	})
}

// reportTakenBack tells that an attempt that was permitted was not written.
func (p *Pool) reportTakenBack(t *attemptState) {
	if p.cfg.Admission != nil {
		p.cfg.Admission.TakenBack(t.attempt)
	}
}

// requeue puts a call that was not written back among those that wait, once. Guards against a peer that takes
// connections and drops them: a call must not go round for ever.
func (c *conn) requeue(k *call, reason string) {
	p := c.pool
	st := c.session.state()
	p.mu.Lock()
	c.capacity = min(c.capacity, st.capacity)
	c.usable = c.usable && st.capacity > 0 && !st.done
	if k.remaining == 0 { // its attempts have their ends, and took it off the connection
		p.mu.Unlock()
		return
	}
	if c.inFlight--; c.inFlight == 0 {
		c.markIdle()
	}
	k.conn = nil
	var abandoned []*attemptState
	for _, t := range k.attempts {
		if t.abandoned && !t.ended {
			abandoned = append(abandoned, t)
		}
	}
	requeuedBefore := k.requeued
	k.requeued = true
	if !requeuedBefore && len(abandoned) < k.remaining && !p.assign(k) {
		k.endpoint.pending = append(k.endpoint.pending, k)
		p.requestConn(k.endpoint)
	}
	p.mu.Unlock()
	if requeuedBefore {
		p.failCalls([]*call{k}, reason)
		return
	}
	for _, t := range abandoned {
		p.reportEnd(t, engine.End{Kind: engine.Unsent})
	}
}

// markUsable opens a connection for calls; limit is how many it carries.
func (c *conn) markUsable(capacity int) {
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	c.endpoint.dialing--
	c.usable, c.established = true, true
	p.scheduler.Opened()
	p.wakeScheduler()
	c.endpoint.activeUntil = p.clock.Now() + activePeriod
	c.capacity = capacity
	c.markIdle()
	p.assignPending(c.endpoint)
	p.requestConn(c.endpoint)
}

// Tick is eventloop.Handler: it looks after time limits, of handshakes, windows held shut and idle connections.
func (p *Pool) Tick() {
	idleBefore := p.clock.Now() - control.Time(p.cfg.IdleTimeout/time.Microsecond)
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.monitored {
		c.netConn.Wake()
	}
	for e := p.idle.Front(); e != nil && e.Value.(*conn).idleSince < idleBefore; e = p.idle.Front() {
		c := e.Value.(*conn)
		c.closeIdle()
		c.unmarkIdle() // also where it drains already: the list must move on
	}
}
