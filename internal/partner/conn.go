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
	http2    *h2.Conn
	calls    map[uint32]*call
	lastUsed time.Duration
	dead     bool // reaped, or closed
}

// call is one request.
type call struct {
	conn      *conn
	stream    uint32
	fields    []h2.Field
	body      []byte
	baseEvent Event
	applied   bool
}

func (c *conn) now() time.Duration { return c.endpoint.partner.log.Now() }

func (c *conn) fault() Fault {
	c.endpoint.mu.Lock()
	defer c.endpoint.mu.Unlock()
	return c.endpoint.fault
}

// update uses the protocol state and writes what comes of it.
func (c *conn) update(apply func(now time.Duration)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.http2 == nil || c.dead {
		return
	}
	apply(c.now())
	c.write()
}

func (c *conn) write() {
	if out := c.http2.Output(); len(out) > 0 {
		_ = c.netConn.SetWriteDeadline(clock.After(2 * time.Second))
		_, _ = c.netConn.Write(out)
	}
}

// close ends the connection; abrupt resets it.
func (c *conn) close(abrupt bool) {
	if tcp, ok := c.netConn.(*net.TCPConn); ok && abrupt {
		_ = tcp.SetLinger(0)
	}
	_ = c.netConn.Close()
}

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
	if c.fault().Blackhole { // takes the connection, and that is all
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

// discard reads and drops until the connection ends.
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

func (c *conn) receive(data []byte) bool {
	c.mu.Lock()
	now := c.now()
	if timeout := c.endpoint.partner.cfg.IdleTimeout; timeout > 0 && len(c.calls) == 0 && now-c.lastUsed > timeout && c.http2.Settled() {
		c.mu.Unlock()
		c.discard() // dropped unseen: whoever writes here hears nothing
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

// event takes one event, and returns a call that is here in full.
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

func (k *call) logEvent(kind EventKind, status int, wait time.Duration) {
	event := k.baseEvent
	event.At, event.Kind, event.Status, event.RetryAfter = 0, kind, status, wait
	k.conn.endpoint.logEvent(event)
}

// handle decides what becomes of a call.
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

// enqueue has a call wait for one of the endpoint's servers.
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

// serviceTime is how long a call takes now: half to one and a half of the pace, longer when slow or in a pause.
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

// finish applies a call and answers it, or not.
func (k *call) finish() {
	p := k.conn.endpoint.partner
	fault := k.conn.fault()
	if fault.Crash || fault.Blackhole {
		return // died with it
	}
	k.apply()
	switch {
	case fault.Hang || p.chance(fault.LostResponseRate):
		k.logEvent(NoResponse, 0, 0)
	case p.chance(fault.ResetRate):
		k.conn.update(func(now time.Duration) {
			_ = k.conn.http2.Begin(now, k.stream, []h2.Field{{Name: ":status", Value: "201"}, {Name: "content-length", Value: "100"}}, []byte("half"))
		})
		k.reset(h2.InternalError)
	case p.chance(fault.MalformedRate):
		k.logEvent(StreamReset, 0, 0)
		k.conn.update(func(time.Duration) { // DATA of 2 bytes, padded by 200
			_, _ = k.conn.netConn.Write(h2.AppendFrame(nil, h2.FrameData, h2.FlagPadded, k.stream, []byte{200, 0}))
		})
	case fault.ResponseDelay > 0:
		time.AfterFunc(fault.ResponseDelay, func() { k.respond(201, 0) })
	default:
		k.respond(201, 0)
	}
}

// apply has the call take effect, once for a key.
func (k *call) apply() {
	p := k.conn.endpoint.partner
	key := h2.Value(k.fields, "idempotency-key")
	keyed := k.baseEvent.Class == "keyed" // other classes' repeats take effect again: that is what the checker looks for
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
		return // the caller is gone
	}
	k.logEvent(Responded, status, wait) // before it is written: nobody sees it earlier than the log
	delete(c.calls, k.stream)
	_ = c.http2.Respond(c.now(), k.stream, fields, nil)
	c.write()
}

func (k *call) reset(code h2.ErrCode) {
	k.logEvent(StreamReset, int(code), 0)
	k.conn.update(func(now time.Duration) {
		delete(k.conn.calls, k.stream)
		k.conn.http2.Reset(now, k.stream, code)
	})
}
