package eventloop

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"whinrun/control"
)

// listener is the listening socket of the first loop. Accepting pauses while a resource is short. The kernel
// queues clients meanwhile.
type listener struct {
	fd   int
	addr netip.AddrPort
	// pausedUntil is the end of the current pause. It is 0 while the loop accepts.
	pausedUntil control.Time
	// nextPause is the length of the next pause.
	nextPause time.Duration
	// stopped is true once nothing more is to be accepted.
	stopped bool
	// brokenSince is the time since which accept fails because the descriptor is no listening socket. It is 0
	// while accept does not.
	brokenSince control.Time
}

// backlog is the largest number of connections that wait to be accepted. The kernel may apply a lower bound.
const backlog = 4096

const (
	// minPause is the first pause after accept has failed. Each further pause is twice as long.
	minPause = 5 * time.Millisecond
	// maxPause is the longest pause of accepting.
	maxPause = 500 * time.Millisecond
)

// Listen opens the listening socket on a host and port. Port 0 takes a free one, and without a host it listens on
// all addresses. Listen must be called once at most, before Start.
func (g *Group) Listen(address string) error {
	to, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return err
	}
	at := to.AddrPort()
	// There is no host in the address.
	if !at.Addr().IsValid() {
		at = netip.AddrPortFrom(netip.IPv6Unspecified(), uint16(to.Port))
	}
	fd, err := g.listenOn(at)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	localAddr, err := g.system.Getsockname(fd)
	if err == nil {
		err = retryInterrupted(func() error { return g.system.EpollAdd(g.loops[0].epollFD, fd, unix.EPOLLIN|unix.EPOLLET) })
	}
	if err != nil {
		return errors.Join(fmt.Errorf("listen on %s: %w", address, err), g.system.Close(fd))
	}
	g.listener = &listener{fd: fd, addr: addrPort(localAddr), nextPause: minPause}
	return nil
}

// listenOn opens a listening socket. On an error no descriptor is left open.
func (g *Group) listenOn(at netip.AddrPort) (fd int, err error) {
	to, family := sockaddr(at)
	if fd, err = g.system.Socket(family, unix.SOCK_STREAM, 0); err != nil {
		return 0, fmt.Errorf("socket: %w", err)
	}
	// If the option was needed and could not be set, bind fails.
	_ = g.system.SetOption(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if err = g.system.Bind(fd, to); err != nil {
		err = fmt.Errorf("bind: %w", err)
	} else if err = g.system.Listen(fd, backlog); err != nil {
		err = fmt.Errorf("listen: %w", err)
	}
	if err != nil {
		return 0, errors.Join(err, g.system.Close(fd))
	}
	return fd, nil
}

// Addr returns the address of the listening socket. It is not valid if the group does not listen.
func (g *Group) Addr() netip.AddrPort {
	if g.listener == nil {
		return netip.AddrPort{}
	}
	return g.listener.addr
}

// StopAccepting closes the listening socket and returns once nothing more is accepted. The kernel then refuses new
// clients. Open connections are not affected.
func (g *Group) StopAccepting() {
	done := make(chan struct{})
	g.loops[0].post(func() {
		if g.listener != nil {
			g.listener.close(g.system)
		}
		close(done)
	})
	select {
	case <-done:
	case <-g.quit:
	}
}

// close closes the listening socket. Further calls do nothing.
func (n *listener) close(system System) {
	if !n.stopped {
		n.stopped = true
		if n.fd >= 0 {
			_ = system.Close(n.fd)
		}
		n.fd = -1
	}
}

// maxAccepts is how many connections are accepted before other work has its turn.
const maxAccepts = 64

// accept accepts the connections that wait, up to maxAccepts.
func (l *Loop) accept() {
	n := l.group.listener
	if n.stopped || n.pausedUntil > 0 {
		return
	}
	for range maxAccepts {
		fd, from, err := l.group.system.Accept(n.fd)
		if err == nil {
			n.nextPause, n.brokenSince = minPause, 0
			l.group.handOff(fd, addrPort(from))
			continue
		}
		if errors.Is(err, unix.EAGAIN) {
			return
		}
		if !isSingleConnError(err) {
			l.pauseAccepting(err)
			return
		}
	}
	// More connections may wait. The time 1 lies in the past, so that the next round accepts again.
	n.pausedUntil = 1
}

// isSingleConnError reports whether accept failed because of the one connection that it took from the queue
// (accept(2)). The next connection may be sound.
func isSingleConnError(err error) bool {
	return isAnyOf(err, unix.EINTR, unix.ECONNABORTED, unix.ENETDOWN, unix.EPROTO, unix.ENOPROTOOPT, unix.EHOSTDOWN, unix.ENONET, unix.EHOSTUNREACH,
		unix.EOPNOTSUPP, unix.ENETUNREACH, unix.ETIMEDOUT)
}

// pauseAccepting stops accepting for a while, and doubles the next pause up to maxPause.
func (l *Loop) pauseAccepting(err error) {
	n := l.group.listener
	if n.nextPause == minPause {
		l.group.cfg.Log(fmt.Sprintf("accept fails: %v; clients wait", err))
	}
	l.group.errorCounts.Accepts.Add(1)
	if !isAnyOf(err, unix.EBADF, unix.EINVAL, unix.ENOTSOCK) {
		n.brokenSince = 0
	} else if n.brokenSince == 0 {
		n.brokenSince = l.group.clock.Now()
	}
	n.pausedUntil = l.group.clock.Now() + control.Time(n.nextPause/time.Microsecond)
	n.nextPause = min(2*n.nextPause, maxPause)
}

// reopenAfter is how long accept may fail because of the listening socket itself before another is opened in its
// place.
const reopenAfter = 2 * control.Second

// reopenListener opens the listening socket again after it has been lost. If that fails, it is tried again after
// reopenAfter.
func (l *Loop) reopenListener(now control.Time) {
	n, system := l.group.listener, l.group.system
	_ = system.Close(n.fd)
	fd, err := l.group.listenOn(n.addr)
	if err == nil {
		if err = retryInterrupted(func() error { return system.EpollAdd(l.epollFD, fd, unix.EPOLLIN|unix.EPOLLET) }); err != nil {
			_ = system.Close(fd)
		}
	}
	if err != nil {
		n.fd, n.brokenSince = -1, now
		l.group.cfg.Log(fmt.Sprintf("the listening socket is lost and can't be opened anew: %v", err))
		return
	}
	n.fd, n.brokenSince = fd, 0
	l.group.cfg.Log("the listening socket was lost and is opened anew")
}

// resumeAccepting ends a pause of accepting that is over.
func (l *Loop) resumeAccepting(now control.Time) {
	n := l.group.listener
	if n.pausedUntil == 0 || now < n.pausedUntil {
		return
	}
	n.pausedUntil = 0
	if n.brokenSince > 0 && now-n.brokenSince > reopenAfter {
		l.reopenListener(now)
	}
	l.accept()
}

// handOff gives an accepted connection to the next loop.
func (g *Group) handOff(fd int, peer netip.AddrPort) {
	l := g.nextLoop()
	l.post(func() {
		// The connection is closed without having been read from.
		if err := l.openConn(fd, peer, nil); err != nil {
			g.errorCounts.Accepts.Add(1)
			g.cfg.Log(fmt.Sprintf("client %v: not taken: %v", peer, err))
		}
	})
}
