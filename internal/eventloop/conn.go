package eventloop

import (
	"errors"
	"io"
	"net/netip"
	"sync/atomic"

	"golang.org/x/sys/unix"
)

// Conn is one TCP connection on a Loop. Its methods must be called on the loop's goroutine, except for Wake and
// Peer, which any goroutine may call.
type Conn struct {
	loop *Loop
	// fd is -1 once the connection is closed.
	fd   int
	peer netip.AddrPort

	// Context is for the handler's own use.
	Context any

	// inbound is the bytes just read. It is valid during Handler.Ready only.
	inbound []byte
	// unsent is the bytes that the handler wrote and the kernel has not taken yet.
	unsent []byte
	// closeRequested is true if the connection is to be closed once the handler's method has returned.
	closeRequested bool
	// closeErr is the error that the connection is closed for. It is nil if the handler closed it.
	closeErr error
	// retryScheduled is true while the connection is in the loop's retries.
	retryScheduled bool
	// unfinished is true while the connection is in the loop's list of that name.
	unfinished bool
	// readTries is how often a read that returns EAGAIN is tried again, because an event says that there is something to read. It is 0
	// once a read has returned shortRead bytes.
	readTries int
	// readPaused is true while nothing is read.
	readPaused bool
	// opened is true once Handler.Opened has been called.
	opened bool
	// wakeScheduled is true while a call of Handler.Ready is posted.
	wakeScheduled atomic.Bool
}

// openConn adds a connected socket to the loop. On an error the socket is closed and the handler is not called.
func (l *Loop) openConn(fd int, peer netip.AddrPort, context any) error {
	c := &Conn{loop: l, fd: fd, peer: peer, Context: context}
	const events = unix.EPOLLIN | unix.EPOLLOUT | unix.EPOLLRDHUP | unix.EPOLLET
	err := retryInterrupted(func() error { return l.group.system.EpollAdd(l.epollFD, fd, events) })
	// EEXIST means that epoll watches the descriptor already, as it does for a dialled one.
	if err != nil && !errors.Is(err, unix.EEXIST) {
		_ = l.group.system.Close(fd)
		return err
	}
	l.register(c)
	return nil
}

// register reports a connection that epoll watches to the handler, and processes what arrived before.
func (l *Loop) register(c *Conn) {
	// Without TCP_NODELAY the connection is slower but works, so that the error is ignored.
	_ = retryInterrupted(func() error { return l.group.system.SetOption(c.fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) })
	l.conns[c.fd] = c
	c.opened = true
	l.group.handler.Opened(c)
	c.closeIfRequested()
	if c.fd >= 0 {
		c.processIO()
	}
}

// Peer returns the address of the other side.
func (c *Conn) Peer() netip.AddrPort { return c.peer }

// Inbound returns the bytes that have arrived and were not returned before. They are not valid after Handler.Ready
// returns.
func (c *Conn) Inbound() []byte {
	b := c.inbound
	c.inbound = nil
	return b
}

// PauseReading stops reading, or resumes it if on is false. While reading is paused, TCP flow control holds the
// sender back.
func (c *Conn) PauseReading(on bool) {
	if c.readPaused && !on {
		c.scheduleRetry()
	}
	c.readPaused = on
}

// Unsent returns the number of bytes that were written and that the kernel has not taken yet.
func (c *Conn) Unsent() int { return len(c.unsent) }

// Write queues bytes in order, without blocking. What the kernel does not take now is sent later. A failure of the
// connection is reported by Handler.Closed.
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

// send passes bytes to the kernel and returns how many are done with. If the connection has failed, send schedules
// its closing and returns the length of b.
func (c *Conn) send(b []byte) (sent int) {
	for sent < len(b) {
		n, err := c.loop.group.system.Write(c.fd, b[sent:])
		switch {
		case err == nil:
			sent += max(0, n)
			// The kernel took nothing and returned no error.
			if n == 0 {
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

// scheduleRetry has the connection processed again a moment later. It is for cases in which epoll may report no
// event.
func (c *Conn) scheduleRetry() {
	if !c.retryScheduled {
		c.retryScheduled = true
		c.loop.retries = append(c.loop.retries, c)
	}
}

// closeWithError closes the connection for an error, after the handler's current method has returned.
func (c *Conn) closeWithError(err error) {
	c.closeRequested, c.closeErr = true, err
	c.loop.post(c.closeIfRequested)
}

// Close closes the connection once the handler's method has returned. Bytes that the kernel has not taken are
// lost.
func (c *Conn) Close() { c.closeRequested = true }

// CloseWrite shuts down the sending side: the peer reads an end of file after the bytes that the kernel has taken.
// It returns false if the connection is closed or has failed.
func (c *Conn) CloseWrite() bool { return c.shutdown(unix.SHUT_WR) }

// CloseBoth shuts down both directions, which the peer sees. The socket stays open until Close.
func (c *Conn) CloseBoth() { c.shutdown(unix.SHUT_RDWR) }

func (c *Conn) shutdown(how int) bool {
	if c.fd < 0 {
		return false
	}
	return retryInterrupted(func() error { return c.loop.group.system.Shutdown(c.fd, how) }) == nil
}

// Stale reports whether there is something to read on a connection on which nothing is expected: an end of file,
// an error, or unsolicited bytes. A closed connection is stale.
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

// Wake has Handler.Ready called soon. Any goroutine may call it.
func (c *Conn) Wake() {
	if c.wakeScheduled.Swap(true) {
		return
	}
	c.loop.post(func() {
		c.wakeScheduled.Store(false)
		c.notifyReady()
	})
}

// notifyReady calls Handler.Ready.
func (c *Conn) notifyReady() {
	if c.fd < 0 || c.closeRequested {
		return
	}
	c.loop.group.handler.Ready(c)
	c.inbound = nil
	c.closeIfRequested()
}

// closeIfRequested closes the connection if its handler has asked for that, or if the connection has failed.
func (c *Conn) closeIfRequested() {
	if c.closeRequested {
		c.finish(c.closeErr)
	}
}

// processIO sends what is unsent and reads what has arrived.
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
	if c.unfinished {
		return // Its next turn is behind the others.
	}
	turnEnd := c.loop.group.clock.Now() + maxTurn
	for range maxReads {
		if c.fd < 0 || c.closeRequested || c.readPaused || !c.readOnce() {
			return
		}
		if c.loop.group.clock.Now() >= turnEnd {
			break
		}
	}
	// There may be more to read. Other connections have their turn first.
	c.unfinished = true
	c.loop.unfinished = append(c.loop.unfinished, c)
}

// maxReadTries is how often a read that returns EAGAIN behind an event is tried again, retryWait apart.
const maxReadTries = 5

// shortRead is the number of bytes below which a read may have been cut short. No message of a protocol here is so short.
const shortRead = 16

// readOnce reads once and calls the handler with the bytes. It returns false if nothing more is to be read now.
func (c *Conn) readOnce() bool {
	n, err := c.loop.group.system.Read(c.fd, c.loop.buffer)
	switch {
	case err == nil && n > 0:
		if n >= shortRead {
			c.readTries = 0
		}
		c.inbound = c.loop.buffer[:n]
		c.notifyReady()
		return true
	case err == nil:
		c.finish(io.EOF)
	case errors.Is(err, unix.EAGAIN):
		// The event said otherwise, and none may follow.
		if c.readTries > 0 {
			c.readTries--
			c.scheduleRetry()
		}
	case isTransient(err):
		c.loop.group.errorCounts.Reads.Add(1)
		c.scheduleRetry()
	default:
		c.finish(err)
	}
	return false
}

// finish closes the socket and reports that to the handler. Further calls do nothing.
func (c *Conn) finish(err error) {
	if c.fd < 0 {
		return
	}
	l := c.loop
	delete(l.conns, c.fd)
	// The descriptor is released whatever close returns (close(2)).
	_ = l.group.system.Close(c.fd)
	c.fd = -1
	c.unsent, c.inbound = nil, nil
	if c.opened {
		l.group.handler.Closed(c, err)
	}
}
