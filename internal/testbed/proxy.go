package testbed

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"whinrun/internal/clock"
	"whinrun/internal/loopback"
)

// Proxy is a TCP proxy before an endpoint that disturbs the network on command. When the dispatcher closes a connection,
// the endpoint sees it at once in every state, as the kernel of the closing machine would tell it.
type Proxy struct {
	testbed *Testbed
	// Addr is the address that the proxy listens on.
	Addr string

	mu sync.Mutex
	// host is the name of the endpoint, and target its address.
	host, target string
	ln           net.Listener
	conns        map[*proxiedConn]bool
	state        networkState
	// latency is the time that bytes take each way.
	latency time.Duration
	// stateChanged is closed and replaced when the state changes.
	stateChanged chan struct{}
}

// networkState is how a proxy treats bytes.
type networkState struct {
	// stalled lets nothing pass.
	stalled bool
	// trickle passes one byte at a time.
	trickle bool
	// delay is added before each write.
	delay time.Duration
}

// proxiedConn is one connection through a proxy.
type proxiedConn struct {
	client, endpoint net.Conn
	closeOnce        sync.Once
	// endpointReset is set when the endpoint has reset its side.
	endpointReset atomic.Bool
	// closed is closed with the connection.
	closed chan struct{}
}

// close closes both sides. A reset by the endpoint is one for the client, too.
func (p *proxiedConn) close() {
	p.closeOnce.Do(func() { close(p.closed) })
	if p.endpointReset.Load() {
		reset(p.client)
	}
	_ = p.client.Close()
	_ = p.endpoint.Close()
}

// reset closes both sides with a TCP reset, as a machine does that has lost the connection's state.
func (p *proxiedConn) reset() {
	p.closeOnce.Do(func() { close(p.closed) })
	reset(p.client)
	reset(p.endpoint)
}

// Proxy starts a proxy before an endpoint.
func (s *Testbed) Proxy(endpoint *Endpoint) (*Proxy, error) {
	p := &Proxy{testbed: s, host: endpoint.Host, target: endpoint.Addr, conns: map[*proxiedConn]bool{}, stateChanged: make(chan struct{})}
	ln, err := net.Listen("tcp", loopback.Next())
	if err != nil {
		return nil, err
	}
	p.Addr, p.ln = ln.Addr().String(), ln
	go p.accept(ln)
	return p, nil
}

// SetEndpoint has the proxy lead to another endpoint, and ends its connections.
func (p *Proxy) SetEndpoint(endpoint *Endpoint) {
	p.mu.Lock()
	p.host, p.target = endpoint.Host, endpoint.Addr
	p.mu.Unlock()
	p.ResetConnections()
}

// accept accepts connections until the listener is closed.
func (p *Proxy) accept(ln net.Listener) {
	for {
		client, err := ln.Accept()
		if err != nil {
			return
		}
		go p.serve(client)
	}
}

// serve connects to the endpoint and copies bytes both ways until either side ends.
func (p *Proxy) serve(client net.Conn) {
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	endpoint, err := net.DialTimeout("tcp", target, time.Second)
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

// readAhead is the largest number of chunks, of up to 4 KiB, that are read before the other side takes them.
const readAhead = 64

// chunk is what one read returned, and when it arrives at the other side. The last one has no data.
type chunk struct {
	due  time.Time
	data []byte
}

// copyBytes copies bytes one way until either side ends. With deliverPending set, bytes read before the end still pass:
// what an endpoint wrote is delivered, what a dispatcher wrote before it gave up is not.
func (p *Proxy) copyBytes(dst, src net.Conn, conn *proxiedConn, deliverPending bool) {
	defer conn.close()
	latency := p.currentLatency()
	queue := make(chan chunk, readAhead)
	go func() {
		defer close(queue)
		for {
			buf := make([]byte, 4<<10)
			n, err := src.Read(buf)
			if n > 0 && !conn.enqueue(queue, chunk{clock.After(latency), buf[:n]}) {
				return
			}
			if err != nil {
				if !deliverPending {
					conn.close()
					return
				}
				if errors.Is(err, syscall.ECONNRESET) {
					conn.endpointReset.Store(true)
				}
				conn.enqueue(queue, chunk{due: clock.After(latency)})
				return
			}
		}
	}()
	for c := range queue {
		if !conn.wait(c.due) || !p.send(dst, c.data, conn) {
			// What the endpoint sent before is still on its way.
			conn.wait(clock.After(latency))
			return
		}
	}
}

// enqueue adds a chunk to a queue. It returns false when the connection has ended.
func (p *proxiedConn) enqueue(queue chan<- chunk, c chunk) bool {
	select {
	case queue <- c:
		return true
	case <-p.closed:
		return false
	}
}

// wait waits until a time. It returns false when the connection has ended before.
func (p *proxiedConn) wait(until time.Time) bool {
	left := until.Sub(clock.Wall())
	if left <= 0 {
		return true
	}
	select {
	case <-time.After(left):
		return true
	case <-p.closed:
		return false
	}
}

// SetLatency sets the time that bytes take each way, in order, on connections that are opened from now on. An end of the
// connection by the endpoint takes as long; one by the dispatcher is seen at once.
func (p *Proxy) SetLatency(latency time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.latency = latency
}

// currentLatency returns the time that bytes take each way.
func (p *Proxy) currentLatency() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.latency
}

// send writes data as the network's state allows. It returns false when the connection has ended.
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

// setState sets the state of the network and wakes stalled connections.
func (p *Proxy) setState(state networkState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = state
	close(p.stateChanged)
	p.stateChanged = make(chan struct{})
}

// Stall lets no bytes pass for a duration. Neither side is told.
func (p *Proxy) Stall(duration time.Duration) {
	p.recordDisturbance(duration + time.Second)
	p.setState(networkState{stalled: true})
	time.AfterFunc(duration, func() { p.setState(networkState{}) })
}

// Throttle delays each write for a duration; with trickle set, each write has one byte.
func (p *Proxy) Throttle(duration, delay time.Duration, trickle bool) {
	p.recordDisturbance(duration + time.Second)
	p.setState(networkState{delay: delay, trickle: trickle})
	time.AfterFunc(duration, func() { p.setState(networkState{}) })
}

// ResetConnections resets the open connections.
func (p *Proxy) ResetConnections() {
	p.recordDisturbance(time.Second)
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.reset()
	}
}

// RefuseConnections resets the open connections and refuses new ones for a duration.
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

// Close closes the listener and the connections.
func (p *Proxy) Close() {
	p.setState(networkState{})
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.ln.Close()
	for c := range p.conns {
		c.close()
	}
}

// recordDisturbance records that answers may be lost for a duration from now on.
func (p *Proxy) recordDisturbance(duration time.Duration) {
	now := p.testbed.Now()
	p.testbed.Record(Event{At: now, Kind: NetworkDisturbed, Host: p.host, Due: now.Add(duration)})
}
