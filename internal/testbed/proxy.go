package testbed

import (
	"net"
	"sync"
	"time"
)

// Proxy stands before an endpoint and spoils the network on command. The end of a connection by the dispatcher passes at once in
// every state, as its peer would be told it by the machine that ended it.
type Proxy struct {
	s    *Testbed
	host string
	to   string
	Addr string

	mu    sync.Mutex
	ln    net.Listener
	pairs map[*pair]bool
	state network
	clear chan struct{} // closed when the state changes
}

// network is how a proxy treats bytes.
type network struct {
	held    bool          // nothing passes
	trickle bool          // a byte at a time
	delay   time.Duration // of each piece
}

// pair is one connection through a proxy.
type pair struct {
	near, far net.Conn
	once      sync.Once
	over      chan struct{} // closed with it
}

func (p *pair) close() {
	p.once.Do(func() { close(p.over) })
	_ = p.near.Close()
	_ = p.far.Close()
}

// reset ends a connection as a machine does that knows nothing of it.
func (p *pair) reset() {
	for _, c := range []net.Conn{p.near, p.far} {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
	}
	p.close()
}

// Proxy opens a proxy before an endpoint.
func (s *Testbed) Proxy(e *Endpoint) (*Proxy, error) {
	p := &Proxy{s: s, host: e.Host, to: e.Addr, pairs: map[*pair]bool{}, clear: make(chan struct{})}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p.Addr, p.ln = ln.Addr().String(), ln
	go p.accept(ln)
	return p, nil
}

func (p *Proxy) accept(ln net.Listener) {
	for {
		near, err := ln.Accept()
		if err != nil {
			return
		}
		go p.carry(near)
	}
}

func (p *Proxy) carry(near net.Conn) {
	far, err := net.DialTimeout("tcp", p.to, time.Second)
	if err != nil {
		_ = near.Close()
		return
	}
	c := &pair{near: near, far: far, over: make(chan struct{})}
	p.mu.Lock()
	p.pairs[c] = true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.pass(far, near, c, false) })
	both.Go(func() { p.pass(near, far, c, true) })
	both.Wait()
	p.mu.Lock()
	delete(p.pairs, c)
	p.mu.Unlock()
}

// pieces are what is read ahead of the other side, at most.
const pieces = 64

// pass carries bytes one way until either side ends. last tells that what came before the end still passes: what an endpoint
// wrote does, what a dispatcher wrote and then gave up does not.
func (p *Proxy) pass(to, from net.Conn, c *pair, last bool) {
	defer c.close()
	queue := make(chan []byte, pieces)
	go func() {
		defer close(queue)
		for {
			buf := make([]byte, 4<<10)
			n, err := from.Read(buf)
			if n > 0 {
				select {
				case queue <- buf[:n]:
				case <-c.over:
					return
				}
			}
			if err != nil {
				if !last {
					c.close()
				}
				return
			}
		}
	}()
	for b := range queue {
		if !p.send(to, b, c) {
			return
		}
	}
}

// send writes bytes as the network's state has it; it is false where the connection has ended.
func (p *Proxy) send(to net.Conn, b []byte, c *pair) bool {
	for len(b) > 0 {
		p.mu.Lock()
		state, clear := p.state, p.clear
		p.mu.Unlock()
		if state.held {
			select {
			case <-clear:
			case <-c.over:
				return false
			}
			continue
		}
		time.Sleep(state.delay)
		n := len(b)
		if state.trickle {
			n = 1
		}
		if _, err := to.Write(b[:n]); err != nil {
			return false
		}
		b = b[n:]
	}
	return true
}

func (p *Proxy) set(state network) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = state
	close(p.clear)
	p.clear = make(chan struct{})
}

// Stall has nothing pass for a while; nothing is said of it.
func (p *Proxy) Stall(span time.Duration) {
	p.unheard(span + time.Second)
	p.set(network{held: true})
	time.AfterFunc(span, func() { p.set(network{}) })
}

// Throttle has bytes pass late, or one at a time, for a while.
func (p *Proxy) Throttle(span, delay time.Duration, trickle bool) {
	p.unheard(span + time.Second)
	p.set(network{delay: delay, trickle: trickle})
	time.AfterFunc(span, func() { p.set(network{}) })
}

// ResetConnections resets the connections that are open.
func (p *Proxy) ResetConnections() {
	p.unheard(time.Second)
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		c.reset()
	}
}

// RefuseConnections has connections refused for a while, and resets those that are open.
func (p *Proxy) RefuseConnections(span time.Duration) {
	p.mu.Lock()
	_ = p.ln.Close()
	p.mu.Unlock()
	p.ResetConnections()
	time.AfterFunc(span, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if ln, err := net.Listen("tcp", p.Addr); err == nil {
			p.ln = ln
			go p.accept(ln)
		}
	})
}

// Close ends the proxy.
func (p *Proxy) Close() {
	p.set(network{})
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.ln.Close()
	for c := range p.pairs {
		c.close()
	}
}

// unheard notes that answers may not arrive.
func (p *Proxy) unheard(span time.Duration) {
	now := p.s.Now()
	p.s.Record(Event{At: now, Kind: NetworkDisturbed, Host: p.host, Due: now.Add(span)})
}
