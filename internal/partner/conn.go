package partner

import (
	"net"
	"strconv"
	"sync"
	"time"

	"whinrun/internal/clock"
	"whinrun/internal/h2"
)

// conn is one connection from a dispatcher.
type conn struct {
	endpoint *Endpoint
	netConn  net.Conn
	id       int

	mu       sync.Mutex
	http2    *h2.Conn         // protocol state, nil until SettingsDelay is over
	calls    map[uint32]*call // open calls by stream
	lastUsed time.Duration    // when data was last received
	dead     bool             // the connection is closed, or is ignored because of IdleTimeout or Blackhole
}

// call is one request.
type call struct {
	conn      *conn
	stream    uint32
	fields    []h2.Field
	body      []byte
	baseEvent Event // the fields that all events of the call share
	applied   bool  // the call took effect
}

// now returns the time since the start of the log.
func (c *conn) now() time.Duration { return c.endpoint.partner.log.Now() }

// fault returns the faults of the endpoint that are in force.
func (c *conn) fault() Fault {
	c.endpoint.mu.Lock()
	defer c.endpoint.mu.Unlock()
	return c.endpoint.fault
}

// update calls apply with the connection locked and writes the resulting frames. It does nothing on a dead connection.
func (c *conn) update(apply func(now time.Duration)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.http2 == nil || c.dead {
		return
	}
	apply(c.now())
	c.write()
}

// write sends the frames that the protocol state has ready. conn.mu is held.
func (c *conn) write() {
	if out := c.http2.Output(); len(out) > 0 {
		_ = c.netConn.SetWriteDeadline(clock.After(2 * time.Second))
		_, _ = c.netConn.Write(out)
	}
}

// close closes the connection. With abrupt it sends a TCP reset.
func (c *conn) close(abrupt bool) {
	if tcp, ok := c.netConn.(*net.TCPConn); ok && abrupt {
		_ = tcp.SetLinger(0)
	}
	_ = c.netConn.Close()
}

// serve reads and handles frames until the connection ends.
func (c *conn) serve() {
	defer c.endpoint.wg.Done()
	defer func() {
		c.endpoint.mu.Lock()
		delete(c.endpoint.conns, c)
		c.endpoint.mu.Unlock()
		c.mu.Lock()
		c.dead = true
		for _, k := range c.calls {
			k.logEvent(PeerClosed, 0, 0)
		}
		c.mu.Unlock()
		_ = c.netConn.Close()
	}()
	if delay := c.endpoint.partner.cfg.SettingsDelay; delay > 0 {
		time.Sleep(delay)
	}
	// A blackholed endpoint accepts the connection and does nothing else.
	if c.fault().Blackhole {
		c.discard()
		return
	}
	maxStreams := c.endpoint.partner.cfg.MaxStreams
	c.mu.Lock()
	c.lastUsed = c.now()
	c.http2 = h2.NewServer(h2.Config{MaxStreams: maxStreams, AbuseBurst: 1e6, AbuseRate: 1e6, Handshake: time.Hour, AckTimeout: time.Hour}, c.now())
	c.write()
	c.mu.Unlock()
	buf := make([]byte, 16<<10)
	for {
		n, err := c.netConn.Read(buf)
		if err != nil {
			return
		}
		if c.fault().Blackhole {
			c.discard()
			return
		}
		if !c.receive(buf[:n]) {
			return
		}
	}
}

// discard marks the connection dead and drops all that is read until it ends.
func (c *conn) discard() {
	c.mu.Lock()
	c.dead = true
	c.mu.Unlock()
	buf := make([]byte, 4<<10)
	for {
		if _, err := c.netConn.Read(buf); err != nil {
			return
		}
	}
}

// receive handles the bytes of one read. It reports whether the connection is still usable.
func (c *conn) receive(data []byte) bool {
	c.mu.Lock()
	now := c.now()
	if timeout := c.endpoint.partner.cfg.IdleTimeout; timeout > 0 && len(c.calls) == 0 && now-c.lastUsed > timeout && c.http2.SettingsReceived() {
		c.mu.Unlock()
		c.discard() // The dispatcher gets no answer and no reset.
		return false
	}
	events, err := c.http2.Receive(now, data)
	var complete []*call
	for i := range events {
		if k := c.handleEvent(&events[i]); k != nil {
			complete = append(complete, k)
		}
	}
	c.lastUsed = now
	c.write()
	c.mu.Unlock()
	for _, k := range complete {
		k.handle()
	}
	return err == nil
}

// handleEvent handles one protocol event. It returns the call that the event completes, or nil.
func (c *conn) handleEvent(event *h2.Event) *call {
	k := c.calls[event.Stream]
	switch event.Kind {
	case h2.Headers:
		k = &call{conn: c, stream: event.Stream, fields: event.Fields}
		c.calls[event.Stream] = k
	case h2.Data:
		if k != nil && len(k.body) < 1<<20 {
			k.body = append(k.body, event.Data...)
		}
	case h2.StreamReset:
		if k != nil {
			delete(c.calls, event.Stream)
			k.logEvent(PeerClosed, 0, 0)
		}
		return nil
	}
	if k != nil && event.End {
		return k
	}
	return nil
}

// logEvent logs an event of the call at the present time.
func (k *call) logEvent(kind EventKind, status int, wait time.Duration) {
	event := k.baseEvent
	event.At, event.Kind, event.Status, event.RetryAfter = 0, kind, status, wait
	k.conn.endpoint.logEvent(event)
}

// handle logs a complete call, and rejects it, leaves it without an answer or queues it, as limits and faults say.
func (k *call) handle() {
	c, e := k.conn, k.conn.endpoint
	now := c.now()
	correlationID, class, orderKey := parseBody(k.body)
	k.baseEvent = Event{Conn: c.id, Stream: k.stream, Path: h2.Value(k.fields, ":path"), MessageID: h2.Value(k.fields, "whinrun-message"),
		Attempt: h2.Value(k.fields, "whinrun-attempt"), CorrelationID: correlationID, Class: class, OrderKey: orderKey}
	k.logEvent(RequestReceived, 0, 0)
	fault := c.fault()
	overloaded, first := e.partner.checkOverload(now)
	if first {
		e.logEvent(Event{Kind: Overloaded})
	}
	limited, wait := e.partner.overRateLimit(now)
	switch {
	case overloaded:
		k.reset(h2.InternalError)
	case fault.Hang:
		k.logEvent(NoResponse, 0, 0)
	case fault.Unavailable:
		if fault.AvailableAt > now {
			wait = (fault.AvailableAt - now + time.Second - 1).Truncate(time.Second)
		}
		k.respond(503, max(wait, time.Second))
	case limited:
		k.respond(429, wait)
	case e.partner.chance(fault.RefusalRate):
		k.reset(h2.RefusedStream)
	case e.partner.chance(fault.NotFoundRate):
		k.respond(404, 0)
	case (fault.ErrorClass == "" || fault.ErrorClass == class) && e.partner.chance(fault.Error):
		k.respond(500, 0)
	default:
		e.enqueue(k)
	}
}

// enqueue processes a call at once, or queues it while Config.Concurrency calls are being processed.
func (e *Endpoint) enqueue(k *call) {
	e.mu.Lock()
	if e.partner.cfg.Concurrency > 0 && e.active >= e.partner.cfg.Concurrency {
		e.queue = append(e.queue, k)
		e.mu.Unlock()
		return
	}
	e.active++
	e.mu.Unlock()
	e.process(k)
}

// process finishes a call after its service time, and then starts the next call in the queue.
func (e *Endpoint) process(k *call) {
	time.AfterFunc(e.serviceTime(), func() {
		k.finish()
		e.mu.Lock()
		var next *call
		if len(e.queue) > 0 {
			next, e.queue = e.queue[0], e.queue[1:]
		} else {
			e.active--
		}
		e.mu.Unlock()
		if next != nil {
			e.process(next)
		}
	})
}

// serviceTime returns how long a call takes that starts now. The time is uniform between half and one and a half of
// Config.ServiceTime. It is multiplied by SlowFactor, and extended by the rest of a pause.
func (e *Endpoint) serviceTime() time.Duration {
	e.mu.Lock()
	f := e.fault
	e.mu.Unlock()
	e.partner.mu.Lock()
	d := time.Duration(float64(e.partner.cfg.ServiceTime) * (0.5 + e.partner.rng.Float64()))
	e.partner.mu.Unlock()
	if f.SlowFactor > 0 {
		d = time.Duration(float64(d) * f.SlowFactor)
	}
	if f.PauseInterval > 0 {
		if offset := e.partner.log.Now() % f.PauseInterval; offset < f.Pause {
			d += f.Pause - offset
		}
	}
	return d
}

// finish applies a call and then answers it, unless a fault says otherwise.
func (k *call) finish() {
	p := k.conn.endpoint.partner
	fault := k.conn.fault()
	if fault.Crash || fault.Blackhole {
		return // The endpoint crashed with the call unprocessed.
	}
	k.apply()
	switch {
	case fault.Hang || p.chance(fault.LostResponseRate):
		k.logEvent(NoResponse, 0, 0)
	case p.chance(fault.ResetRate):
		k.conn.update(func(now time.Duration) {
			_ = k.conn.http2.BeginResponse(now, k.stream, []h2.Field{{Name: ":status", Value: "201"}, {Name: "content-length", Value: "100"}}, []byte("half"))
		})
		k.reset(h2.InternalError)
	case p.chance(fault.MalformedRate):
		k.logEvent(StreamReset, 0, 0)
		// The DATA frame has 2 bytes and claims 200 bytes of padding.
		k.conn.update(func(time.Duration) {
			_, _ = k.conn.netConn.Write(h2.AppendFrame(nil, h2.FrameData, h2.FlagPadded, k.stream, []byte{200, 0}))
		})
	case fault.ResponseDelay > 0:
		time.AfterFunc(fault.ResponseDelay, func() { k.respond(201, 0) })
	default:
		k.respond(201, 0)
	}
}

// apply records the effect of a call. Calls of class "keyed" take effect once for each idempotency key.
func (k *call) apply() {
	p := k.conn.endpoint.partner
	key := h2.Value(k.fields, "idempotency-key")
	// Repeated calls of other classes take effect again, so that the checker can find them.
	keyed := k.baseEvent.Class == "keyed"
	p.mu.Lock()
	duplicate := keyed && p.appliedKeys[key]
	if keyed && len(p.appliedKeys) < 1<<20 {
		p.appliedKeys[key] = true
	}
	p.mu.Unlock()
	if duplicate {
		k.logEvent(Deduplicated, 0, 0)
		return
	}
	k.applied = true
	k.logEvent(Applied, 0, 0)
}

// respond sends a response with a status, and with a Retry-After if wait is not 0.
func (k *call) respond(status int, wait time.Duration) {
	fields := []h2.Field{{Name: ":status", Value: strconv.Itoa(status)}}
	if wait > 0 {
		fields = append(fields, h2.Field{Name: "retry-after", Value: strconv.Itoa(int(wait / time.Second))})
	}
	if status == 201 {
		fields = append(fields, h2.Field{Name: "location", Value: "/d/" + k.baseEvent.CorrelationID})
	}
	c := k.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead || c.calls[k.stream] != k {
		return // The stream or the connection has ended.
	}
	// The event precedes the write, so the dispatcher never sees a response that is not logged yet.
	k.logEvent(Responded, status, wait)
	delete(c.calls, k.stream)
	_ = c.http2.Respond(c.now(), k.stream, fields, nil)
	c.write()
}

// reset resets the stream of a call with an HTTP/2 error code.
func (k *call) reset(code h2.ErrCode) {
	k.logEvent(StreamReset, int(code), 0)
	k.conn.update(func(now time.Duration) {
		delete(k.conn.calls, k.stream)
		k.conn.http2.Reset(now, k.stream, code)
	})
}
