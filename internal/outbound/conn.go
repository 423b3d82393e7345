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

// elapsed returns the time on the clock that sessions and the scheduler use.
func (p *Pool) elapsed() time.Duration { return clock.Elapsed(p.clock) }

// Opened implements eventloop.Handler. It starts the protocol on a new connection.
func (p *Pool) Opened(netConn *eventloop.Conn) {
	c := &conn{pool: p, endpoint: netConn.Context.(*endpointPool), netConn: netConn, number: p.openedConns.Add(1)}
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

// Ready implements eventloop.Handler. It passes received bytes to the session and runs the connection's commands.
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

// flush writes the session's output and updates the connection from the session's state. It closes the connection
// if that is due.
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
	if c.closeWhenIdle && c.inFlight == 0 && !st.unsettled || st.done {
		c.usable = false
		c.netConn.Close()
	}
}

// protocolFailed ends a connection on which the peer has broken the protocol or exceeded a time limit.
func (c *conn) protocolFailed(err error) {
	c.netConn.Write(c.session.takeOutput())
	kind := engine.ProtocolError
	var ce *h2.ConnError
	if errors.As(err, &ce) && ce.Code == h2.SettingsTimeout {
		kind = engine.ResetBeforeResponse
	}
	c.remove(kind, err.Error())
	c.netConn.Close()
}

// Closed implements eventloop.Handler. It ends the attempts that are in flight on the connection.
func (p *Pool) Closed(netConn *eventloop.Conn, err error) {
	p.openConns.Add(-1)
	reason := "connection closed by the peer"
	if err != nil && !errors.Is(err, io.EOF) {
		reason = err.Error()
	}
	netConn.Context.(*conn).remove(engine.ResetBeforeResponse, reason)
}

// remove takes a connection out of its pool and ends all attempts that are in flight on it. Calls that were never
// written have not been executed. They are assigned to another connection, once. Further calls of remove do
// nothing.
func (c *conn) remove(kind engine.OutcomeKind, reason string) {
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
	// The connection is shut down before the ends are reported, because a next attempt may follow at once. The
	// peer then knows that no answer is awaited here.
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

// runCommands executes the connection's commands: calls to write and attempts to give up.
func (c *conn) runCommands(now time.Duration) {
	p := c.pool
	p.mu.Lock()
	commands := c.commands
	c.commands = nil
	shutdown := c.closeWhenIdle && c.inFlight == 0 && !c.session.state().unsettled
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

// isOutstanding reports whether an attempt has no end yet.
func (p *Pool) isOutstanding(t *attemptState) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !t.ended
}

// startCall writes a call, without those of its attempts that were abandoned, have run out of time or are not
// admitted. The time matters for a connection that is established late: by then, partners may have forgotten the
// idempotency keys of repeated attempts.
func (c *conn) startCall(k *call, now time.Duration) {
	// The capacity has fallen, or the peer has begun to close the connection, since the call was assigned.
	if !c.session.hasCapacity() {
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
		c.pool.reportUnwritten(t)
	}
	if errors.Is(err, errNoCapacity) {
		c.requeue(k, err.Error())
		return
	}
	for _, t := range admitted {
		c.pool.reportEnd(t, engine.Outcome{Kind: engine.HeadersTooLarge, Detail: err.Error()})
	}
}

// startable returns the attempts of a call that may still begin. The others end as Unsent.
func (c *conn) startable(k *call, now time.Duration) (startable []*attemptState) {
	p := c.pool
	for _, t := range k.attempts {
		p.mu.Lock()
		abandoned, ended := t.abandoned, t.ended
		p.mu.Unlock()
		switch {
		case ended:
		case abandoned:
			p.reportEnd(t, engine.Outcome{Kind: engine.Unsent})
		case time.Duration(cmp.Or(t.attempt.WriteBefore, t.attempt.Deadline))*time.Microsecond <= now:
			p.reportEnd(t, engine.Outcome{Kind: engine.Unsent, Detail: "its time, or that for repeats, is over"})
		default:
			startable = append(startable, t)
		}
	}
	return startable
}

// admit returns the attempts that may be written now and are recorded if they need to be. The others end as Unsent
// or NotRecorded.
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
			p.reportEnd(t, engine.Outcome{Kind: engine.Unsent, Detail: err.Error()})
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
		p.reportUnwritten(t)
		p.reportEnd(t, engine.Outcome{Kind: engine.NotRecorded, Detail: err.Error()})
		return true
	})
}

// reportUnwritten tells Admission that an attempt that it admitted was not written.
func (p *Pool) reportUnwritten(t *attemptState) {
	if p.cfg.Admission != nil {
		p.cfg.Admission.MarkUnwritten(t.attempt)
	}
}

// requeue assigns a call that was not written to another connection, or returns it to the pending calls. It does
// so once for each call, and then ends it as NotConnected. Otherwise a peer that accepts connections and drops
// them would keep a call going round for ever.
func (c *conn) requeue(k *call, reason string) {
	p := c.pool
	st := c.session.state()
	p.mu.Lock()
	// Without capacity the connection gets no calls, and is used again once its peer allows more, or closed when it has been idle.
	c.capacity = min(c.capacity, st.capacity)
	c.usable = c.usable && !st.done
	// All attempts of the call have ended, and reportEnd has taken the call off the connection.
	if k.remaining == 0 {
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
		p.reportEnd(t, engine.Outcome{Kind: engine.Unsent})
	}
}

// markUsable makes a connection available for calls. The capacity is the number of calls that it can carry at
// once.
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

// Tick implements eventloop.Handler. It wakes the connections whose time limits have to be checked: those of
// handshakes, and of calls in flight, such as the time that a flow-control window may stay closed. It also closes
// connections that have been idle for longer than IdleTimeout.
func (p *Pool) Tick() {
	idleBefore := p.clock.Now() - control.Time(p.cfg.IdleTimeout/time.Microsecond)
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.monitored {
		c.netConn.Wake()
	}
	// A connection may have become provable. One that never does is of no use.
	if p.expectsCopies(p.elapsed()) {
		for _, s := range p.endpoints {
			for _, c := range s.conns {
				if c.provableAt == neverProvable {
					c.closeIdle()
				}
			}
			if len(s.pending) > 0 {
				p.assignPending(s)
				p.requestConn(s)
			}
		}
	}
	for e := p.idle.Front(); e != nil && e.Value.(*conn).idleSince < idleBefore; e = p.idle.Front() {
		c := e.Value.(*conn)
		c.closeIdle()
		// The connection leaves the list even if closeIdle does nothing, as for one that is being closed already.
		// Otherwise the loop would not end.
		c.unmarkIdle()
	}
}
