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
	e  *Endpoint
	nc net.Conn
	id int

	mu    sync.Mutex
	h     *h2.Conn
	calls map[uint32]*call
	used  time.Duration
	dead  bool // reaped, or closed
}

// call is one request.
type call struct {
	c       *conn
	stream  uint32
	fields  []h2.Field
	body    []byte
	log     Event
	applied bool
}

func (c *conn) now() time.Duration { return c.e.p.log.Now() }

func (c *conn) fault() Fault {
	c.e.mu.Lock()
	defer c.e.mu.Unlock()
	return c.e.fault
}

// do uses the protocol state and writes what comes of it.
func (c *conn) do(use func(now time.Duration)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.h == nil || c.dead {
		return
	}
	use(c.now())
	c.write()
}

func (c *conn) write() {
	if out := c.h.Output(); len(out) > 0 {
		_ = c.nc.SetWriteDeadline(clock.After(2 * time.Second))
		_, _ = c.nc.Write(out)
	}
}

// close ends the connection; abrupt resets it.
func (c *conn) close(abrupt bool) {
	if t, ok := c.nc.(*net.TCPConn); ok && abrupt {
		_ = t.SetLinger(0)
	}
	_ = c.nc.Close()
}

func (c *conn) serve() {
	defer c.e.wg.Done()
	defer func() {
		c.e.mu.Lock()
		delete(c.e.conns, c)
		c.e.mu.Unlock()
		c.mu.Lock()
		c.dead = true
		for _, k := range c.calls {
			k.event(PeerClosed, 0, 0)
		}
		c.mu.Unlock()
		_ = c.nc.Close()
	}()
	if d := c.e.p.cfg.SettingsDelay; d > 0 {
		time.Sleep(d)
	}
	if c.fault().Blackhole { // takes the connection, and that is all
		c.drain()
		return
	}
	limit := c.e.p.cfg.MaxStreams
	c.mu.Lock()
	c.used = c.now()
	c.h = h2.NewServer(h2.Config{MaxStreams: limit, AbuseBurst: 1e6, AbuseRate: 1e6, Handshake: time.Hour, AckTimeout: time.Hour}, c.now())
	c.write()
	c.mu.Unlock()
	buf := make([]byte, 16<<10)
	for {
		n, err := c.nc.Read(buf)
		if err != nil {
			return
		}
		if c.fault().Blackhole {
			c.drain()
			return
		}
		if !c.take(buf[:n]) {
			return
		}
	}
}

// drain reads and drops until the connection ends.
func (c *conn) drain() {
	c.mu.Lock()
	c.dead = true
	c.mu.Unlock()
	buf := make([]byte, 4<<10)
	for {
		if _, err := c.nc.Read(buf); err != nil {
			return
		}
	}
}

func (c *conn) take(p []byte) bool {
	c.mu.Lock()
	now := c.now()
	if reap := c.e.p.cfg.IdleTimeout; reap > 0 && len(c.calls) == 0 && now-c.used > reap && c.h.SettingsReceived() {
		c.mu.Unlock()
		c.drain() // dropped unseen: whoever writes here hears nothing
		return false
	}
	events, err := c.h.Receive(now, p)
	var whole []*call
	for i := range events {
		if k := c.event(&events[i]); k != nil {
			whole = append(whole, k)
		}
	}
	c.used = now
	c.write()
	c.mu.Unlock()
	for _, k := range whole {
		k.arrive()
	}
	return err == nil
}

// event takes one event, and returns a call that is here in full.
func (c *conn) event(v *h2.Event) *call {
	k := c.calls[v.Stream]
	switch v.Kind {
	case h2.Headers:
		k = &call{c: c, stream: v.Stream, fields: v.Fields}
		c.calls[v.Stream] = k
	case h2.Data:
		if k != nil && len(k.body) < 1<<20 {
			k.body = append(k.body, v.Data...)
		}
	case h2.StreamReset:
		if k != nil {
			delete(c.calls, v.Stream)
			k.event(PeerClosed, 0, 0)
		}
		return nil
	}
	if k != nil && v.End {
		return k
	}
	return nil
}

func (k *call) event(kind EventKind, status int, wait time.Duration) {
	v := k.log
	v.At, v.Kind, v.Status, v.RetryAfter = 0, kind, status, wait
	k.c.e.event(v)
}

// arrive decides what becomes of a call.
func (k *call) arrive() {
	c, e := k.c, k.c.e
	now := c.now()
	test, class, key := words(k.body)
	k.log = Event{Conn: c.id, Stream: k.stream, Path: h2.Value(k.fields, ":path"), MessageID: h2.Value(k.fields, "whinrun-message"),
		Attempt: h2.Value(k.fields, "whinrun-attempt"), CorrelationID: test, Class: class, OrderKey: key}
	k.event(RequestReceived, 0, 0)
	f := c.fault()
	fell, first := e.p.tip(now)
	if first {
		e.event(Event{Kind: Overloaded})
	}
	over, wait := e.p.above(now)
	switch {
	case fell:
		k.cut(h2.InternalError)
	case f.Hang:
		k.event(NoResponse, 0, 0)
	case f.Unavailable:
		if f.AvailableAt > now {
			wait = (f.AvailableAt - now + time.Second - 1).Truncate(time.Second)
		}
		k.answer(503, max(wait, time.Second))
	case over:
		k.answer(429, wait)
	case e.p.chance(f.RefusalRate):
		k.cut(h2.RefusedStream)
	case e.p.chance(f.NotFoundRate):
		k.answer(404, 0)
	case (f.ErrorClass == "" || f.ErrorClass == class) && e.p.chance(f.Error):
		k.answer(500, 0)
	default:
		e.enqueue(k)
	}
}

// enqueue has a call wait for one of the endpoint's servers.
func (e *Endpoint) enqueue(k *call) {
	e.mu.Lock()
	if e.p.cfg.Concurrency > 0 && e.busy >= e.p.cfg.Concurrency {
		e.queue = append(e.queue, k)
		e.mu.Unlock()
		return
	}
	e.busy++
	e.mu.Unlock()
	e.work(k)
}

func (e *Endpoint) work(k *call) {
	time.AfterFunc(e.takes(), func() {
		k.done()
		e.mu.Lock()
		var next *call
		if len(e.queue) > 0 {
			next, e.queue = e.queue[0], e.queue[1:]
		} else {
			e.busy--
		}
		e.mu.Unlock()
		if next != nil {
			e.work(next)
		}
	})
}

// takes is how long a call takes now: half to one and a half of the pace, longer when slow or in a pause.
func (e *Endpoint) takes() time.Duration {
	e.mu.Lock()
	f := e.fault
	e.mu.Unlock()
	e.p.mu.Lock()
	d := time.Duration(float64(e.p.cfg.ServiceTime) * (0.5 + e.p.rng.Float64()))
	e.p.mu.Unlock()
	if f.SlowFactor > 0 {
		d = time.Duration(float64(d) * f.SlowFactor)
	}
	if f.PauseInterval > 0 {
		if at := e.p.log.Now() % f.PauseInterval; at < f.Pause {
			d += f.Pause - at
		}
	}
	return d
}

// done applies a call and answers it, or not.
func (k *call) done() {
	p := k.c.e.p
	f := k.c.fault()
	if f.Crash || f.Blackhole {
		return // died with it
	}
	k.apply()
	switch {
	case f.Hang || p.chance(f.LostResponseRate):
		k.event(NoResponse, 0, 0)
	case p.chance(f.ResetRate):
		k.c.do(func(now time.Duration) {
			_ = k.c.h.BeginResponse(now, k.stream, []h2.Field{{Name: ":status", Value: "201"}, {Name: "content-length", Value: "100"}}, []byte("half"))
		})
		k.cut(h2.InternalError)
	case p.chance(f.MalformedRate):
		k.event(StreamReset, 0, 0)
		k.c.do(func(time.Duration) { // DATA of 2 bytes, padded by 200
			_, _ = k.c.nc.Write(h2.AppendFrame(nil, h2.FrameData, h2.FlagPadded, k.stream, []byte{200, 0}))
		})
	case f.ResponseDelay > 0:
		time.AfterFunc(f.ResponseDelay, func() { k.answer(201, 0) })
	default:
		k.answer(201, 0)
	}
}

// apply has the call take effect, once for a key.
func (k *call) apply() {
	p := k.c.e.p
	key := h2.Value(k.fields, "idempotency-key")
	keyed := k.log.Class == "keyed" // other classes' repeats take effect again: that is what the checker looks for
	p.mu.Lock()
	again := keyed && p.effects[key]
	if keyed && len(p.effects) < 1<<20 {
		p.effects[key] = true
	}
	p.mu.Unlock()
	if again {
		k.event(Deduplicated, 0, 0)
		return
	}
	k.applied = true
	k.event(Applied, 0, 0)
}

func (k *call) answer(status int, wait time.Duration) {
	fields := []h2.Field{{Name: ":status", Value: strconv.Itoa(status)}}
	if wait > 0 {
		fields = append(fields, h2.Field{Name: "retry-after", Value: strconv.Itoa(int(wait / time.Second))})
	}
	if status == 201 {
		fields = append(fields, h2.Field{Name: "location", Value: "/d/" + k.log.CorrelationID})
	}
	c := k.c
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead || c.calls[k.stream] != k {
		return // the caller is gone
	}
	k.event(Responded, status, wait) // before it is written: nobody sees it earlier than the log
	delete(c.calls, k.stream)
	_ = c.h.Respond(c.now(), k.stream, fields, nil)
	c.write()
}

func (k *call) cut(code h2.ErrCode) {
	k.event(StreamReset, int(code), 0)
	k.c.do(func(now time.Duration) {
		delete(k.c.calls, k.stream)
		k.c.h.Reset(now, k.stream, code)
	})
}
