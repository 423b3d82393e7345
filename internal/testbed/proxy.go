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
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	p.close()
}

// Proxy opens a proxy before an endpoint.
func (s *Testbed) Proxy(endpoint *Endpoint) (*Proxy, error) {
	p := &Proxy{testbed: s, host: endpoint.Host, target: endpoint.Addr, conns: map[*proxiedConn]bool{}, stateChanged: make(chan struct{})}
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
		client, err := ln.Accept()
		if err != nil {
			return
		}
		go p.serve(client)
	}
}

func (p *Proxy) serve(client net.Conn) {
	endpoint, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		_ = client.Close()
		return
	}
	conn := &proxiedConn{client: client, endpoint: endpoint, closed: make(chan struct{})}
	p.mu.Lock()
	p.conns[conn] = true
	p.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { p.copyBytes(endpoint, client, conn, false) })
	directions.Go(func() { p.copyBytes(client, endpoint, conn, true) })
	directions.Wait()
	p.mu.Lock()
	delete(p.conns, conn)
	p.mu.Unlock()
}

// readAhead are what is read ahead of the other side, at most.
const readAhead = 64

// copyBytes carries bytes one way until either side ends. last tells that what came before the end still passes: what an endpoint
// wrote does, what a dispatcher wrote and then gave up does not.
func (p *Proxy) copyBytes(dst, src net.Conn, conn *proxiedConn, deliverPending bool) {
	defer conn.close()
	queue := make(chan []byte, readAhead)
	go func() {
		defer close(queue)
		for {
			buf := make([]byte, 4<<10)
			n, err := src.Read(buf)
			if n > 0 {
				select {
				case queue <- buf[:n]:
				case <-conn.closed:
					return
				}
			}
			if err != nil {
				if !deliverPending {
					conn.close()
				}
				return
			}
		}
	}()
	for b := range queue {
		if !p.send(dst, b, conn) {
			return
		}
	}
}

// send writes bytes as the network's state has it; it is false where the connection has ended.
func (p *Proxy) send(dst net.Conn, data []byte, conn *proxiedConn) bool {
	for len(data) > 0 {
		p.mu.Lock()
		state, stateChanged := p.state, p.stateChanged
		p.mu.Unlock()
		if state.stalled {
			select {
			case <-stateChanged:
			case <-conn.closed:
				return false
			}
			continue
		}
		time.Sleep(state.delay)
		n := len(data)
		if state.trickle {
			n = 1
		}
		if _, err := dst.Write(data[:n]); err != nil {
			return false
		}
		data = data[n:]
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
func (p *Proxy) Stall(duration time.Duration) {
	p.recordDisturbance(duration + time.Second)
	p.setState(networkState{stalled: true})
	time.AfterFunc(duration, func() { p.setState(networkState{}) })
}

// Throttle has bytes pass late, or one at a time, for a while.
func (p *Proxy) Throttle(duration, delay time.Duration, trickle bool) {
	p.recordDisturbance(duration + time.Second)
	p.setState(networkState{delay: delay, trickle: trickle})
	time.AfterFunc(duration, func() { p.setState(networkState{}) })
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
func (p *Proxy) RefuseConnections(duration time.Duration) {
	p.mu.Lock()
	_ = p.ln.Close()
	p.mu.Unlock()
	p.ResetConnections()
	time.AfterFunc(duration, func() {
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
func (p *Proxy) recordDisturbance(duration time.Duration) {
	now := p.testbed.Now()
	p.testbed.Record(Event{At: now, Kind: NetworkDisturbed, Host: p.host, Due: now.Add(duration)})
}
