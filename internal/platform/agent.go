package platform

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
)

// agent is the platform's agent, which serves discovery and takes notices. Its address may change at run
// time; connections to the old address are closed then.
type agent struct {
	mu   sync.Mutex
	addr netip.AddrPort
	// conns holds the connections that a change of the address closes.
	conns map[net.Conn]struct{}
	// present ends when the address changes or the agent is stopped, by leave. Each address has a context of its own.
	present context.Context
	leave   context.CancelFunc
	// quit is closed by stop.
	quit chan struct{}
}

// newAgent returns the agent at an address.
func newAgent(addr netip.AddrPort) *agent {
	a := &agent{addr: addr, conns: map[net.Conn]struct{}{}, quit: make(chan struct{})}
	a.present, a.leave = context.WithCancel(context.Background())
	return a
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
	a.leave()
	a.present, a.leave = context.WithCancel(context.Background())
}

// stop closes all connections permanently.
func (a *agent) stop() {
	close(a.quit)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leave()
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

// dial opens a connection that is closed when the address changes or the agent is stopped. Until then, only ctx limits how long
// that may take.
func (a *agent) dial(ctx context.Context) (net.Conn, error) {
	a.mu.Lock()
	addr, present := a.addr, a.present
	a.mu.Unlock()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	defer context.AfterFunc(present, stop)()
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if present.Err() != nil {
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
	return a.present.Done()
}
