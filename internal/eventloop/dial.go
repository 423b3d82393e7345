package eventloop

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"whinrun/control"
)

// ErrDialTimeout means that a peer did not accept a connection within the time given to Group.Dial.
var ErrDialTimeout = errors.New("no connection in time")

// dial is a connection that is being established.
type dial struct {
	fd       int
	peer     netip.AddrPort
	context  any
	deadline control.Time
	// retry is true if a system call failed with a transient error. The dial is then checked again a moment later.
	retry bool
}

// Dial opens a connection to an address and returns at once. The handler gets Opened with the context value in
// Conn.Context, or DialFailed with it. ErrDialTimeout is the error if the connection is not open after the time
// given by within.
func (g *Group) Dial(to netip.AddrPort, within time.Duration, context any) {
	l := g.nextLoop()
	d := &dial{fd: -1, peer: to, context: context, deadline: g.clock.Now() + control.Time(within/time.Microsecond)}
	l.post(func() { l.startDial(d) })
}

// startDial begins to connect.
func (l *Loop) startDial(d *dial) {
	system := l.group.system
	to, family := sockaddr(d.peer)
	var err error
	if d.fd, err = system.Socket(family, unix.SOCK_STREAM, 0); err != nil {
		d.fd = -1
		l.failDial(d, fmt.Errorf("socket: %w", err))
		return
	}
	err = system.Connect(d.fd, to)
	// An interrupted connect continues in the background (connect(2)).
	if err != nil && !isAnyOf(err, unix.EINPROGRESS, unix.EINTR, unix.EALREADY, unix.EISCONN) {
		l.failDial(d, fmt.Errorf("connect: %w", err))
		return
	}
	const events = unix.EPOLLIN | unix.EPOLLOUT | unix.EPOLLRDHUP | unix.EPOLLET
	if err := retryInterrupted(func() error { return system.EpollAdd(l.epollFD, d.fd, events) }); err != nil {
		l.failDial(d, fmt.Errorf("epoll_ctl: %w", &localError{err}))
		return
	}
	l.dials[d] = struct{}{}
}

// handleDialEvent handles an event of a descriptor that may be a dialled one.
func (l *Loop) handleDialEvent(fd int) {
	for d := range l.dials {
		if d.fd == fd {
			l.completeDial(d)
			return
		}
	}
}

// completeDial registers the connection of a dial if it is established, and fails the dial if connecting has
// failed. Otherwise the dial goes on.
func (l *Loop) completeDial(d *dial) {
	pending, err := l.group.system.SocketError(d.fd)
	switch {
	case err != nil && isTransient(err):
		d.retry = true
	case err != nil:
		l.failDial(d, fmt.Errorf("getsockopt: %w", &localError{err}))
	case pending != nil:
		l.failDial(d, fmt.Errorf("connect: %w", pending))
	case !l.isConnected(d):
	default:
		delete(l.dials, d)
		l.register(&Conn{loop: l, fd: d.fd, peer: d.peer, Context: d.context})
	}
}

// isConnected reports whether a socket without a pending error has a peer. An event alone does not prove that.
func (l *Loop) isConnected(d *dial) bool {
	_, err := l.group.system.Getpeername(d.fd)
	switch {
	case err == nil:
		return true
	// The socket is not connected yet.
	case errors.Is(err, unix.ENOTCONN):
	case isTransient(err):
		d.retry = true
	default:
		l.failDial(d, fmt.Errorf("getpeername: %w", &localError{err}))
	}
	return false
}

// expireDials fails the dials that are past their deadline, and checks those again whose last check hit a
// transient error.
func (l *Loop) expireDials(now control.Time) {
	for d := range l.dials {
		switch {
		case now >= d.deadline:
			l.failDial(d, ErrDialTimeout)
		case d.retry:
			d.retry = false
			l.completeDial(d)
		}
	}
}

// failDial ends a dial with an error: it closes the socket and calls Handler.DialFailed.
func (l *Loop) failDial(d *dial, err error) {
	delete(l.dials, d)
	if d.fd >= 0 {
		_ = l.group.system.Close(d.fd)
		d.fd = -1
	}
	if IsLocal(err) {
		l.group.errorCounts.Dials.Add(1)
	}
	l.group.handler.DialFailed(d.context, err)
}

// localError marks an error of a system call that says nothing about the peer, whatever its number.
type localError struct{ err error }

func (e *localError) Error() string { return e.err.Error() }

// Unwrap returns the cause and ENOBUFS. The latter makes IsLocal true.
func (e *localError) Unwrap() []error { return []error{unix.ENOBUFS, e.err} }
