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

// listener is a listening socket, on the first loop. Accepting pauses where a call fails for want of something; the kernel keeps
// the clients meanwhile.
type listener struct {
	fd          int
	addr        netip.AddrPort
	pausedUntil control.Time // 0 while it accepts
	nextPause   time.Duration
	stopped     bool         // nothing more is accepted
	brokenSince control.Time // since when accept says that the socket is none, 0 while it does not
}

// backlog is how many connections may wait to be accepted; the kernel has its own bound.
const backlog = 4096

// Pauses of accepting.
const (
	minPause = 5 * time.Millisecond
	maxPause = 500 * time.Millisecond
)

// Listen opens a listening socket; port 0 takes a free one. It is to be called once at most, before Start.
func (g *Group) Listen(address string) error {
	to, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return err
	}
	at := to.AddrPort()
	if !at.Addr().IsValid() { // no host: all addresses
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

func (g *Group) listenOn(at netip.AddrPort) (fd int, err error) {
	to, family := sockaddr(at)
	if fd, err = g.system.Socket(family, unix.SOCK_STREAM, 0); err != nil {
		return 0, fmt.Errorf("socket: %w", err)
	}
	_ = g.system.SetOption(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1) // bind tells where it was needed
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

// Addr is the address that the group listens on; it is not valid where it does not.
func (g *Group) Addr() netip.AddrPort {
	if g.listener == nil {
		return netip.AddrPort{}
	}
	return g.listener.addr
}

// StopAccepting closes the listening socket, and waits until nothing more is accepted. Clients that connect are turned away by
// the kernel; connections there are go on.
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

func (n *listener) close(system System) {
	if !n.stopped {
		n.stopped = true
		if n.fd >= 0 {
			_ = system.Close(n.fd)
		}
		n.fd = -1
	}
}

// maxAccepts is how many connections are accepted before others have their turn.
const maxAccepts = 64

// accept takes new connections.
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
	n.pausedUntil = 1 // more may wait: the next round goes on
}

// isSingleConnError tells whether accept failed for what became of the one connection (accept(2)): the next one may be well.
func isSingleConnError(err error) bool {
	return isAnyOf(err, unix.EINTR, unix.ECONNABORTED, unix.ENETDOWN, unix.EPROTO, unix.ENOPROTOOPT, unix.EHOSTDOWN, unix.ENONET, unix.EHOSTUNREACH,
		unix.EOPNOTSUPP, unix.ENETUNREACH, unix.ETIMEDOUT)
}

// pauseAccepting has nothing accepted for a while, longer each time.
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

// reopenAfter is how long accept may say that the listening socket is none before another is opened in its place.
const reopenAfter = 2 * control.Second

// reopenListener opens the listening socket anew where it has been lost.
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

// resumeAccepting goes on accepting once a pause is over.
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

// handOff gives a new connection to a loop.
func (g *Group) handOff(fd int, peer netip.AddrPort) {
	l := g.nextLoop()
	l.post(func() {
		if err := l.openConn(fd, peer, nil); err != nil { // it is closed unread
			g.errorCounts.Accepts.Add(1)
			g.cfg.Log(fmt.Sprintf("client %v: not taken: %v", peer, err))
		}
	})
}
