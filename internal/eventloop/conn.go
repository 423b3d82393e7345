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

	inbound        []byte // valid during Handler.Ready
	unsent         []byte // written by the handler and not taken by the kernel yet
	closeRequested bool   // it is closed once the handler's method has returned ...
	closeErr       error  // ... for this error, if there was one
	retryScheduled bool   // it is in the loop's list of retries
	readPaused     bool   // nothing is read
	opened         bool   // the handler has heard of it
	wakeScheduled  atomic.Bool
}

// openConn takes a connected socket into the loop. An error tells that it could not be: the socket is closed.
func (l *Loop) openConn(fd int, peer netip.AddrPort, context any) error {
	c := &Conn{loop: l, fd: fd, peer: peer, Context: context}
	const events = unix.EPOLLIN | unix.EPOLLOUT | unix.EPOLLRDHUP | unix.EPOLLET
	err := retryInterrupted(func() error { return l.group.system.EpollAdd(l.epollFD, fd, events) })
	if err != nil && !errors.Is(err, unix.EEXIST) { // a dialled one is in it already
		_ = l.group.system.Close(fd)
		return err
	}
	l.register(c)
	return nil
}

// register tells the handler of a connection that epoll knows, and looks at what came before.
func (l *Loop) register(c *Conn) {
	_ = retryInterrupted(func() error { return l.group.system.SetOption(c.fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) }) // slower without
	l.conns[c.fd] = c
	c.opened = true
	l.group.handler.Opened(c)
	c.closeIfRequested()
	if c.fd >= 0 {
		c.processIO()
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
	if c.readPaused && !on {
		c.scheduleRetry()
	}
	c.readPaused = on
}

// Unsent counts the bytes written that the kernel has not taken yet.
func (c *Conn) Unsent() int { return len(c.unsent) }

// Write writes bytes, in order, without waiting: what the kernel doesn't take now goes later. A connection that fails is told
// by Closed.
func (c *Conn) Write(b []byte) {
	if c.fd < 0 || c.closeRequested {
		return
	}
	if len(c.unsent) > 0 {
		c.unsent = append(c.unsent, b...)
		return
	}
	n := c.send(b)
	c.unsent = append(c.unsent, b[n:]...)
}

// send hands bytes to the kernel and tells how many it took. Where the connection has failed it is closed soon.
func (c *Conn) send(b []byte) (sent int) {
	for sent < len(b) {
		n, err := c.loop.group.system.Write(c.fd, b[sent:])
		switch {
		case err == nil:
			sent += max(0, n)
			if n == 0 { // nothing was taken, and no reason given
				c.scheduleRetry()
				return sent
			}
		case errors.Is(err, unix.EAGAIN):
			return sent
		case isTransient(err):
			c.loop.group.errorCounts.Writes.Add(1)
			c.scheduleRetry()
			return sent
		default:
			c.closeWithError(err)
			return len(b)
		}
	}
	return sent
}

// scheduleRetry has the connection looked at again a moment later: no event may tell.
func (c *Conn) scheduleRetry() {
	if !c.retryScheduled {
		c.retryScheduled = true
		c.loop.retries = append(c.loop.retries, c)
	}
}

// closeWithError ends the connection for an error, on the loop, behind what the handler is doing now.
func (c *Conn) closeWithError(err error) {
	c.closeRequested, c.closeErr = true, err
	c.loop.post(c.closeIfRequested)
}

// Close closes the connection once the handler's method has returned: what the kernel has not taken is lost.
func (c *Conn) Close() { c.closeRequested = true }

// CloseWrite ends this side: the peer reads an end behind what was written. It is false where the connection has failed.
func (c *Conn) CloseWrite() bool { return c.shutdown(unix.SHUT_WR) }

// CloseBoth ends both sides: nothing more comes or goes, and the peer sees that. The socket stays until Close.
func (c *Conn) CloseBoth() { c.shutdown(unix.SHUT_RDWR) }

func (c *Conn) shutdown(how int) bool {
	if c.fd < 0 {
		return false
	}
	return retryInterrupted(func() error { return c.loop.group.system.Shutdown(c.fd, how) }) == nil
}

// Stale tells whether there is something to read on a connection on which nothing is awaited: an end, an error, or bytes that
// nobody asked for.
func (c *Conn) Stale() bool {
	if c.fd < 0 || c.closeRequested {
		return true
	}
	var b [1]byte
	err := retryInterrupted(func() error {
		_, err := c.loop.group.system.Peek(c.fd, b[:])
		return err
	})
	return !errors.Is(err, unix.EAGAIN) && !isTransient(err)
}

// Wake has Ready called soon, from any goroutine.
func (c *Conn) Wake() {
	if c.wakeScheduled.Swap(true) {
		return
	}
	c.loop.post(func() {
		c.wakeScheduled.Store(false)
		c.notifyReady()
	})
}

// notifyReady has the handler look at the connection.
func (c *Conn) notifyReady() {
	if c.fd < 0 || c.closeRequested {
		return
	}
	c.loop.group.handler.Ready(c)
	c.inbound = nil
	c.closeIfRequested()
}

// closeIfRequested closes the connection if its handler wants that, or if it has failed.
func (c *Conn) closeIfRequested() {
	if c.closeRequested {
		c.finish(c.closeErr)
	}
}

// processIO writes what waits and reads what came.
func (c *Conn) processIO() {
	if c.fd < 0 || c.closeRequested {
		return
	}
	if len(c.unsent) > 0 {
		n := c.send(c.unsent)
		if c.closeRequested {
			c.closeIfRequested()
			return
		}
		if c.unsent = c.unsent[n:]; len(c.unsent) == 0 {
			c.unsent = nil
			c.notifyReady()
		}
	}
	for range maxReads {
		if c.fd < 0 || c.closeRequested || c.readPaused || !c.readOnce() {
			return
		}
	}
	c.scheduleRetry() // others have their turn first
}

// readOnce reads once; it is false where nothing more is to be read now.
func (c *Conn) readOnce() bool {
	n, err := c.loop.group.system.Read(c.fd, c.loop.buffer)
	switch {
	case err == nil && n > 0:
		c.inbound = c.loop.buffer[:n]
		c.notifyReady()
		return true
	case err == nil:
		c.finish(io.EOF)
	case errors.Is(err, unix.EAGAIN):
	case isTransient(err):
		c.loop.group.errorCounts.Reads.Add(1)
		c.scheduleRetry()
	default:
		c.finish(err)
	}
	return false
}

// finish closes the socket and tells the handler, once.
func (c *Conn) finish(err error) {
	if c.fd < 0 {
		return
	}
	l := c.loop
	delete(l.conns, c.fd)
	_ = l.group.system.Close(c.fd) // the descriptor is free whatever it returns (close(2))
	c.fd = -1
	c.unsent, c.inbound = nil, nil
	if c.opened {
		l.group.handler.Closed(c, err)
	}
}
