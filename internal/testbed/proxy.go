package testbed

import (
	"net"
	"sync"
	"time"
)

// Proxy stands before an endpoint and spoils the network on command. The end of a connection by the dispatcher passes at once in
// every state, as its peer would be told it by the machine that ended it.
type Proxy struct {
	testbed *Testbed
	host    string
	target  string
	Addr    string

	mu           sync.Mutex
	ln           net.Listener
	conns        map[*proxiedConn]bool
	state        networkState
	stateChanged chan struct{} // closed when the state changes
}

// networkState is how a proxy treats bytes.
type networkState struct {
	stalled bool          // nothing passes
	trickle bool          // a byte at a time
	delay   time.Duration // of each piece
}

// proxiedConn is one connection through a proxy.
type proxiedConn struct {
	client, endpoint net.Conn
	closeOnce        sync.Once
	closed           chan struct{} // closed with it
}

func (p *proxiedConn) close() {
	p.closeOnce.Do(func() { close(p.closed) })
	_ = p.client.Close()
	_ = p.endpoint.Close()
}

// reset ends a connection as a machine does that knows nothing of it.
func (p *proxiedConn) reset() {
	for _, c := range []net.Conn{p.client, p.endpoint} {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
	}
	p.close()
}

// Proxy opens a proxy before an endpoint.
func (s *Testbed) Proxy(e *Endpoint) (*Proxy, error) {
	p := &Proxy{testbed: s, host: e.Host, target: e.Addr, conns: map[*proxiedConn]bool{}, stateChanged: make(chan struct{})}
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
		go p.serve(near)
	}
}

func (p *Proxy) serve(near net.Conn) {
	far, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		_ = near.Close()
		return
	}
	c := &proxiedConn{client: near, endpoint: far, closed: make(chan struct{})}
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copyBytes(far, near, c, false) })
	both.Go(func() { p.copyBytes(near, far, c, true) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// readAhead are what is read ahead of the other side, at most.
const readAhead = 64

// copyBytes carries bytes one way until either side ends. last tells that what came before the end still passes: what an endpoint
// wrote does, what a dispatcher wrote and then gave up does not.
func (p *Proxy) copyBytes(to, from net.Conn, c *proxiedConn, last bool) {
	defer c.close()
	queue := make(chan []byte, readAhead)
	go func() {
		defer close(queue)
		for {
			buf := make([]byte, 4<<10)
			n, err := from.Read(buf)
			if n > 0 {
				select {
				case queue <- buf[:n]:
				case <-c.closed:
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
func (p *Proxy) send(to net.Conn, b []byte, c *proxiedConn) bool {
	for len(b) > 0 {
		p.mu.Lock()
		state, clear := p.state, p.stateChanged
		p.mu.Unlock()
		if state.stalled {
			select {
			case <-clear:
			case <-c.closed:
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

func (p *Proxy) setState(state networkState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = state
	close(p.stateChanged)
	p.stateChanged = make(chan struct{})
}

// Stall has nothing pass for a while; nothing is said of it.
func (p *Proxy) Stall(span time.Duration) {
	p.recordDisturbance(span + time.Second)
	p.setState(networkState{stalled: true})
	time.AfterFunc(span, func() { p.setState(networkState{}) })
}

// Throttle has bytes pass late, or one at a time, for a while.
func (p *Proxy) Throttle(span, delay time.Duration, trickle bool) {
	p.recordDisturbance(span + time.Second)
	p.setState(networkState{delay: delay, trickle: trickle})
	time.AfterFunc(span, func() { p.setState(networkState{}) })
}

// ResetConnections resets the connections that are open.
func (p *Proxy) ResetConnections() {
	p.recordDisturbance(time.Second)
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
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
	p.setState(networkState{})
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.ln.Close()
	for c := range p.conns {
		c.close()
	}
}

// recordDisturbance notes that answers may not arrive.
func (p *Proxy) recordDisturbance(span time.Duration) {
	now := p.testbed.Now()
	p.testbed.Record(Event{At: now, Kind: NetworkDisturbed, Host: p.host, Due: now.Add(span)})
}
