package eventloop

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"whinrun/control"
)

// ErrDialTimeout tells that a peer did not take a connection in time.
var ErrDialTimeout = errors.New("no connection in time")

// dial is a connection that is being made.
type dial struct {
	fd      int
	peer    netip.AddrPort
	context any
	until   control.Time
	retry   bool // a call failed for now: it is looked at again a moment later
}

// Dial makes a connection. The handler hears Opened with the context value in Conn.Context, or DialFailed.
func (g *Group) Dial(to netip.AddrPort, within time.Duration, context any) {
	l := g.pick()
	d := &dial{fd: -1, peer: to, context: context, until: g.clock.Now() + control.Time(within/time.Microsecond)}
	l.post(func() { l.dial(d) })
}

// dial begins a connection.
func (l *Loop) dial(d *dial) {
	system := l.group.system
	to, family := sockaddr(d.peer)
	var err error
	if d.fd, err = system.Socket(family, unix.SOCK_STREAM, 0); err != nil {
		d.fd = -1
		l.giveUp(d, fmt.Errorf("socket: %w", err))
		return
	}
	err = system.Connect(d.fd, to)
	// An interrupted connect goes on by itself (connect(2)).
	if err != nil && !is(err, unix.EINPROGRESS, unix.EINTR, unix.EALREADY, unix.EISCONN) {
		l.giveUp(d, fmt.Errorf("connect: %w", err))
		return
	}
	const events = unix.EPOLLIN | unix.EPOLLOUT | unix.EPOLLRDHUP | unix.EPOLLET
	if err := again(func() error { return system.EpollAdd(l.epoll, d.fd, events) }); err != nil {
		l.giveUp(d, fmt.Errorf("epoll_ctl: %w", &localError{err}))
		return
	}
	l.dials[d] = struct{}{}
}

// dialled looks at what became of a connection that is being made, after an event of its descriptor.
func (l *Loop) dialled(fd int) {
	for d := range l.dials {
		if d.fd == fd {
			l.established(d)
			return
		}
	}
}

// established takes a dialled connection over if it stands, or ends it if it failed.
func (l *Loop) established(d *dial) {
	pending, err := l.group.system.SocketError(d.fd)
	switch {
	case err != nil && passing(err):
		d.retry = true
	case err != nil:
		l.giveUp(d, fmt.Errorf("getsockopt: %w", &localError{err}))
	case pending != nil:
		l.giveUp(d, fmt.Errorf("connect: %w", pending))
	case !l.connected(d):
	default:
		delete(l.dials, d)
		l.adopt(&Conn{loop: l, fd: d.fd, peer: d.peer, Context: d.context})
	}
}

// connected tells whether a socket without an error has its peer: an event alone does not say so.
func (l *Loop) connected(d *dial) bool {
	_, err := l.group.system.Getpeername(d.fd)
	switch {
	case err == nil:
		return true
	case errors.Is(err, unix.ENOTCONN): // not yet
	case passing(err):
		d.retry = true
	default:
		l.giveUp(d, fmt.Errorf("getpeername: %w", &localError{err}))
	}
	return false
}

// overdue gives up what has taken too long, and looks again at what could not be looked at.
func (l *Loop) overdue(now control.Time) {
	for d := range l.dials {
		switch {
		case now >= d.until:
			l.giveUp(d, ErrDialTimeout)
		case d.retry:
			d.retry = false
			l.established(d)
		}
	}
}

// giveUp ends a connection that does not come about.
func (l *Loop) giveUp(d *dial, err error) {
	delete(l.dials, d)
	if d.fd >= 0 {
		_ = l.group.system.Close(d.fd)
		d.fd = -1
	}
	if IsLocal(err) {
		l.group.trouble.Dials.Add(1)
	}
	l.group.handler.DialFailed(d.context, err)
}

// localError marks an error of a call that says nothing of the peer, whatever its number.
type localError struct{ err error }

func (e *localError) Error() string { return e.err.Error() }

// Unwrap returns an error that counts as this machine's lack, and the cause.
func (e *localError) Unwrap() []error { return []error{unix.ENOBUFS, e.err} }
