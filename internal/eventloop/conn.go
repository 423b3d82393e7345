package eventloop

import (
	"errors"
	"io"
	"net/netip"
	"sync/atomic"

	"golang.org/x/sys/unix"
)

// Conn is one connection. Its methods are for the loop's goroutine, but for Wake and Peer.
type Conn struct {
	loop *Loop
	fd   int // -1 once it is closed
	peer netip.AddrPort

	Context any // the handler's own

	inbound  []byte // valid during Handler.Ready
	out      []byte // written by the handler and not taken by the kernel yet
	closing  bool   // it is closed once the handler's method has returned ...
	failure  error  // ... for this error, if there was one
	retrying bool   // it is in the loop's list of retries
	holding  bool   // nothing is read
	opened   bool   // the handler has heard of it
	woken    atomic.Bool
}

// open takes a connected socket into the loop. An error tells that it could not be: the socket is closed.
func (l *Loop) open(fd int, peer netip.AddrPort, context any) error {
	c := &Conn{loop: l, fd: fd, peer: peer, Context: context}
	const events = unix.EPOLLIN | unix.EPOLLOUT | unix.EPOLLRDHUP | unix.EPOLLET
	err := again(func() error { return l.group.system.EpollAdd(l.epoll, fd, events) })
	if err != nil && !errors.Is(err, unix.EEXIST) { // a dialled one is in it already
		_ = l.group.system.Close(fd)
		return err
	}
	l.adopt(c)
	return nil
}

// adopt tells the handler of a connection that epoll knows, and looks at what came before.
func (l *Loop) adopt(c *Conn) {
	_ = again(func() error { return l.group.system.SetOption(c.fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) }) // slower without
	l.conns[c.fd] = c
	c.opened = true
	l.group.handler.Opened(c)
	c.settle()
	if c.fd >= 0 {
		c.io()
	}
}

// Peer is the address of the other side.
func (c *Conn) Peer() netip.AddrPort { return c.peer }

// Inbound is what came and was not returned yet. It is not valid after Ready returns.
func (c *Conn) Inbound() []byte {
	b := c.inbound
	c.inbound = nil
	return b
}

// PauseReading has nothing more read until it is called with false: what comes waits with its sender.
func (c *Conn) PauseReading(on bool) {
	if c.holding && !on {
		c.later()
	}
	c.holding = on
}

// Unsent counts the bytes written that the kernel has not taken yet.
func (c *Conn) Unsent() int { return len(c.out) }

// Write writes bytes, in order, without waiting: what the kernel doesn't take now goes later. A connection that fails is told
// by Closed.
func (c *Conn) Write(b []byte) {
	if c.fd < 0 || c.closing {
		return
	}
	if len(c.out) > 0 {
		c.out = append(c.out, b...)
		return
	}
	n := c.send(b)
	c.out = append(c.out, b[n:]...)
}

// send hands bytes to the kernel and tells how many it took. Where the connection has failed it is closed soon.
func (c *Conn) send(b []byte) (sent int) {
	for sent < len(b) {
		n, err := c.loop.group.system.Write(c.fd, b[sent:])
		switch {
		case err == nil:
			sent += max(0, n)
			if n == 0 { // nothing was taken, and no reason given
				c.later()
				return sent
			}
		case errors.Is(err, unix.EAGAIN):
			return sent
		case passing(err):
			c.loop.group.trouble.Writes.Add(1)
			c.later()
			return sent
		default:
			c.fail(err)
			return len(b)
		}
	}
	return sent
}

// later has the connection looked at again a moment later: no event may tell.
func (c *Conn) later() {
	if !c.retrying {
		c.retrying = true
		c.loop.retries = append(c.loop.retries, c)
	}
}

// fail ends the connection for an error, on the loop, behind what the handler is doing now.
func (c *Conn) fail(err error) {
	c.closing, c.failure = true, err
	c.loop.post(c.settle)
}

// Close closes the connection once the handler's method has returned: what the kernel has not taken is lost.
func (c *Conn) Close() { c.closing = true }

// CloseWrite ends this side: the peer reads an end behind what was written. It is false where the connection has failed.
func (c *Conn) CloseWrite() bool { return c.shutdown(unix.SHUT_WR) }

// CloseBoth ends both sides: nothing more comes or goes, and the peer sees that. The socket stays until Close.
func (c *Conn) CloseBoth() { c.shutdown(unix.SHUT_RDWR) }

func (c *Conn) shutdown(how int) bool {
	if c.fd < 0 {
		return false
	}
	return again(func() error { return c.loop.group.system.Shutdown(c.fd, how) }) == nil
}

// Stale tells whether there is something to read on a connection on which nothing is awaited: an end, an error, or bytes that
// nobody asked for.
func (c *Conn) Stale() bool {
	if c.fd < 0 || c.closing {
		return true
	}
	var b [1]byte
	err := again(func() error {
		_, err := c.loop.group.system.Peek(c.fd, b[:])
		return err
	})
	return !errors.Is(err, unix.EAGAIN) && !passing(err)
}

// Wake has Ready called soon, from any goroutine.
func (c *Conn) Wake() {
	if c.woken.Swap(true) {
		return
	}
	c.loop.post(func() {
		c.woken.Store(false)
		c.call()
	})
}

// call has the handler look at the connection.
func (c *Conn) call() {
	if c.fd < 0 || c.closing {
		return
	}
	c.loop.group.handler.Ready(c)
	c.inbound = nil
	c.settle()
}

// settle closes the connection if its handler wants that, or if it has failed.
func (c *Conn) settle() {
	if c.closing {
		c.end(c.failure)
	}
}

// io writes what waits and reads what came.
func (c *Conn) io() {
	if c.fd < 0 || c.closing {
		return
	}
	if len(c.out) > 0 {
		n := c.send(c.out)
		if c.closing {
			c.settle()
			return
		}
		if c.out = c.out[n:]; len(c.out) == 0 {
			c.out = nil
			c.call()
		}
	}
	for range readsMost {
		if c.fd < 0 || c.closing || c.holding || !c.receive() {
			return
		}
	}
	c.later() // others have their turn first
}

// receive reads once; it is false where nothing more is to be read now.
func (c *Conn) receive() bool {
	n, err := c.loop.group.system.Read(c.fd, c.loop.buffer)
	switch {
	case err == nil && n > 0:
		c.inbound = c.loop.buffer[:n]
		c.call()
		return true
	case err == nil:
		c.end(io.EOF)
	case errors.Is(err, unix.EAGAIN):
	case passing(err):
		c.loop.group.trouble.Reads.Add(1)
		c.later()
	default:
		c.end(err)
	}
	return false
}

// end closes the socket and tells the handler, once.
func (c *Conn) end(err error) {
	if c.fd < 0 {
		return
	}
	l := c.loop
	delete(l.conns, c.fd)
	_ = l.group.system.Close(c.fd) // the descriptor is free whatever it returns (close(2))
	c.fd = -1
	c.out, c.inbound = nil, nil
	if c.opened {
		l.group.handler.Closed(c, err)
	}
}
