package platform

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Times of the connections to the platform's agent. The agent runs on the same machine: it answers at once or
// is down.
const (
	// agentTimeout bounds a connection attempt and a request with notices.
	agentTimeout = time.Second
	// noticeBackoffMin is the first delay before notices are sent again after a failure.
	noticeBackoffMin = 100 * time.Millisecond
	// noticeBackoffMax is the longest delay before notices are sent again.
	noticeBackoffMax = time.Second
)

// agent is the platform's agent, which serves discovery and takes notices. Its address may change at run
// time; connections to the old address are closed then.
type agent struct {
	mu   sync.Mutex
	addr netip.AddrPort
	// conns holds the connections that a change of the address closes.
	conns map[net.Conn]struct{}
	// addrChanged is closed and replaced when the address changes.
	addrChanged chan struct{}
	// quit is closed by stop.
	quit chan struct{}
}

// newAgent returns the agent at an address.
func newAgent(addr netip.AddrPort) *agent {
	return &agent{addr: addr, conns: map[net.Conn]struct{}{}, addrChanged: make(chan struct{}), quit: make(chan struct{})}
}

// setAddress changes the address and closes the connections that dial opened to the old one.
func (a *agent) setAddress(addr netip.AddrPort) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if addr == a.addr {
		return
	}
	a.addr = addr
	for c := range a.conns {
		_ = c.Close()
	}
	close(a.addrChanged)
	a.addrChanged = make(chan struct{})
}

// stop closes all connections permanently.
func (a *agent) stop() {
	close(a.quit)
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.conns {
		_ = c.Close()
	}
}

// stopped reports whether stop has been called.
func (a *agent) stopped() bool {
	select {
	case <-a.quit:
		return true
	default:
		return false
	}
}

// connect opens a connection that the caller owns and returns it with the address it leads to.
func (a *agent) connect(ctx context.Context) (net.Conn, netip.AddrPort, error) {
	a.mu.Lock()
	addr := a.addr
	a.mu.Unlock()
	d := net.Dialer{Timeout: agentTimeout}
	c, err := d.DialContext(ctx, "tcp", addr.String())
	return c, addr, err
}

// dial opens a connection that is closed when the address changes or the agent is stopped.
func (a *agent) dial() (net.Conn, error) {
	c, addr, err := a.connect(context.Background())
	if err != nil {
		return nil, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.addr != addr || a.stopped() {
		return nil, errors.Join(errors.New("agent address changed or agent stopped while connecting"), c.Close())
	}
	a.conns[c] = struct{}{}
	return c, nil
}

// closeConn closes a connection that dial opened.
func (a *agent) closeConn(c net.Conn) {
	a.mu.Lock()
	delete(a.conns, c)
	a.mu.Unlock()
	_ = c.Close()
}

// address returns the present address.
func (a *agent) address() netip.AddrPort {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.addr
}

// addressChange returns a channel that is closed at the next change of the address.
func (a *agent) addressChange() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.addrChanged
}

// wait waits before a retry, until d has passed or the address changes. It returns false if the agent is
// stopped.
func (a *agent) wait(d time.Duration) bool {
	changed := a.addressChange()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-changed:
	case <-a.quit:
		return false
	}
	return true
}
