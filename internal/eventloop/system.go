package eventloop

import (
	"errors"

	"golang.org/x/sys/unix"
)

// System is the system calls that event loops make on sockets. There is one implementation in service, Kernel; tests put others
// before it that fail as the manual pages say they may.
type System interface {
	Socket(domain, kind, protocol int) (fd int, err error)
	Bind(fd int, to unix.Sockaddr) error
	Listen(fd, backlog int) error
	Getsockname(fd int) (unix.Sockaddr, error)
	Accept(fd int) (conn int, from unix.Sockaddr, err error)
	Connect(fd int, to unix.Sockaddr) error
	SocketError(fd int) (pending, err error) // SO_ERROR
	Getpeername(fd int) (unix.Sockaddr, error)
	SetOption(fd, level, option, value int) error
	Read(fd int, b []byte) (int, error)
	Peek(fd int, b []byte) (int, error)
	Write(fd int, b []byte) (int, error)
	Shutdown(fd, how int) error
	Close(fd int) error
	EpollCreate() (fd int, err error)
	EpollAdd(epoll, fd int, events uint32) error
	EpollWait(epoll int, events []unix.EpollEvent, milliseconds int) (int, error)
	Eventfd() (fd int, err error)
}

// Kernel makes the system calls.
type Kernel struct{}

// Socket is socket(2), not blocking.
func (Kernel) Socket(domain, kind, protocol int) (int, error) {
	return unix.Socket(domain, kind|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, protocol)
}

// Bind is bind(2).
func (Kernel) Bind(fd int, to unix.Sockaddr) error { return unix.Bind(fd, to) }

// Listen is listen(2).
func (Kernel) Listen(fd, backlog int) error { return unix.Listen(fd, backlog) }

// Getsockname is getsockname(2).
func (Kernel) Getsockname(fd int) (unix.Sockaddr, error) { return unix.Getsockname(fd) }

// Accept is accept4(2), not blocking.
func (Kernel) Accept(fd int) (int, unix.Sockaddr, error) {
	return unix.Accept4(fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
}

// Connect is connect(2).
func (Kernel) Connect(fd int, to unix.Sockaddr) error { return unix.Connect(fd, to) }

// SocketError is getsockopt(2) for SO_ERROR.
func (Kernel) SocketError(fd int) (pending, err error) {
	n, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err != nil || n == 0 {
		return nil, err
	}
	return unix.Errno(n), nil
}

// Getpeername is getpeername(2).
func (Kernel) Getpeername(fd int) (unix.Sockaddr, error) { return unix.Getpeername(fd) }

// SetOption is setsockopt(2) for a number.
func (Kernel) SetOption(fd, level, option, value int) error {
	return unix.SetsockoptInt(fd, level, option, value)
}

// Read is read(2).
func (Kernel) Read(fd int, b []byte) (int, error) { return unix.Read(fd, b) }

// Peek is recvfrom(2) that takes nothing and does not wait.
func (Kernel) Peek(fd int, b []byte) (int, error) {
	n, _, err := unix.Recvfrom(fd, b, unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return n, err
}

// Write is write(2).
func (Kernel) Write(fd int, b []byte) (int, error) { return unix.Write(fd, b) }

// Shutdown is shutdown(2).
func (Kernel) Shutdown(fd, how int) error { return unix.Shutdown(fd, how) }

// Close is close(2).
func (Kernel) Close(fd int) error { return unix.Close(fd) }

// EpollCreate is epoll_create1(2).
func (Kernel) EpollCreate() (int, error) { return unix.EpollCreate1(unix.EPOLL_CLOEXEC) }

// EpollAdd is epoll_ctl(2) with EPOLL_CTL_ADD.
func (Kernel) EpollAdd(epoll, fd int, events uint32) error {
	return unix.EpollCtl(epoll, unix.EPOLL_CTL_ADD, fd, &unix.EpollEvent{Events: events, Fd: int32(fd)})
}

// EpollWait is epoll_wait(2).
func (Kernel) EpollWait(epoll int, events []unix.EpollEvent, milliseconds int) (int, error) {
	return unix.EpollWait(epoll, events, milliseconds)
}

// Eventfd is eventfd(2), not blocking.
func (Kernel) Eventfd() (int, error) { return unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC) }

// interruptions is how often a call is made again at once that a signal interrupted.
const interruptions = 16

// again makes a call until no signal interrupts it.
func again(call func() error) error {
	var err error
	for range interruptions {
		if err = call(); !errors.Is(err, unix.EINTR) {
			return err
		}
	}
	return err
}

// is tells whether an error is one of those named.
func is(err error, names ...unix.Errno) bool {
	for _, n := range names {
		if errors.Is(err, n) {
			return true
		}
	}
	return false
}

// passing tells whether a read or a write failed for want of something that may be there a moment later, with the connection as
// good as before.
func passing(err error) bool { return is(err, unix.EINTR, unix.ENOMEM, unix.ENOBUFS) }

// IsLocal tells whether a connection could not be made for want of something on this machine: descriptors, memory, ports, a
// route. It says nothing of the peer.
func IsLocal(err error) bool {
	return is(err, unix.EMFILE, unix.ENFILE, unix.ENOMEM, unix.ENOBUFS, unix.ENOSPC, unix.EAGAIN, unix.EINTR, unix.EADDRNOTAVAIL,
		unix.EADDRINUSE, unix.ENETUNREACH, unix.ENETDOWN, unix.EACCES, unix.EPERM, unix.EAFNOSUPPORT, unix.EPROTONOSUPPORT, unix.EINVAL,
		unix.EBADF, unix.ENOTSOCK, unix.EFAULT, unix.EIO)
}
