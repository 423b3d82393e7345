package eventloop

import (
	"errors"

	"golang.org/x/sys/unix"
)

// System is the set of system calls that event loops make on sockets. Kernel is the implementation for production.
// Tests use others whose calls fail in the ways that the manual pages describe.
type System interface {
	Socket(domain, kind, protocol int) (fd int, err error)
	Bind(fd int, to unix.Sockaddr) error
	Listen(fd, backlog int) error
	Getsockname(fd int) (unix.Sockaddr, error)
	Accept(fd int) (conn int, from unix.Sockaddr, err error)
	Connect(fd int, to unix.Sockaddr) error
	// SocketError returns the pending error of a socket (SO_ERROR), or the error of the call itself.
	SocketError(fd int) (pending, err error)
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

// Kernel makes the system calls. Its descriptors are non-blocking and are closed on exec.
type Kernel struct{}

// Socket calls socket(2) for a non-blocking socket.
func (Kernel) Socket(domain, kind, protocol int) (int, error) {
	return unix.Socket(domain, kind|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, protocol)
}

// Bind calls bind(2).
func (Kernel) Bind(fd int, to unix.Sockaddr) error { return unix.Bind(fd, to) }

// Listen calls listen(2).
func (Kernel) Listen(fd, backlog int) error { return unix.Listen(fd, backlog) }

// Getsockname calls getsockname(2).
func (Kernel) Getsockname(fd int) (unix.Sockaddr, error) { return unix.Getsockname(fd) }

// Accept calls accept4(2) for a non-blocking socket.
func (Kernel) Accept(fd int) (int, unix.Sockaddr, error) {
	return unix.Accept4(fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
}

// Connect calls connect(2).
func (Kernel) Connect(fd int, to unix.Sockaddr) error { return unix.Connect(fd, to) }

// SocketError calls getsockopt(2) for SO_ERROR.
func (Kernel) SocketError(fd int) (pending, err error) {
	n, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err != nil || n == 0 {
		return nil, err
	}
	return unix.Errno(n), nil
}

// Getpeername calls getpeername(2).
func (Kernel) Getpeername(fd int) (unix.Sockaddr, error) { return unix.Getpeername(fd) }

// SetOption calls setsockopt(2) for an integer option.
func (Kernel) SetOption(fd, level, option, value int) error {
	return unix.SetsockoptInt(fd, level, option, value)
}

// Read calls read(2).
func (Kernel) Read(fd int, b []byte) (int, error) { return unix.Read(fd, b) }

// Peek calls recvfrom(2) without blocking and without consuming bytes.
func (Kernel) Peek(fd int, b []byte) (int, error) {
	n, _, err := unix.Recvfrom(fd, b, unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return n, err
}

// Write calls write(2).
func (Kernel) Write(fd int, b []byte) (int, error) { return unix.Write(fd, b) }

// Shutdown calls shutdown(2).
func (Kernel) Shutdown(fd, how int) error { return unix.Shutdown(fd, how) }

// Close calls close(2).
func (Kernel) Close(fd int) error { return unix.Close(fd) }

// EpollCreate calls epoll_create1(2).
func (Kernel) EpollCreate() (int, error) { return unix.EpollCreate1(unix.EPOLL_CLOEXEC) }

// EpollAdd calls epoll_ctl(2) with EPOLL_CTL_ADD.
func (Kernel) EpollAdd(epoll, fd int, events uint32) error {
	return unix.EpollCtl(epoll, unix.EPOLL_CTL_ADD, fd, &unix.EpollEvent{Events: events, Fd: int32(fd)})
}

// EpollWait calls epoll_wait(2).
func (Kernel) EpollWait(epoll int, events []unix.EpollEvent, milliseconds int) (int, error) {
	return unix.EpollWait(epoll, events, milliseconds)
}

// Eventfd calls eventfd(2) for a non-blocking descriptor with the count 0.
func (Kernel) Eventfd() (int, error) { return unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC) }

// maxInterruptedCalls is how many calls in a row a signal may interrupt before the error is returned.
const maxInterruptedCalls = 16

// retryInterrupted repeats a call while a signal interrupts it, up to maxInterruptedCalls times. It returns the
// last error.
func retryInterrupted(call func() error) error {
	var err error
	for range maxInterruptedCalls {
		if err = call(); !errors.Is(err, unix.EINTR) {
			return err
		}
	}
	return err
}

// isAnyOf reports whether an error is one of the given error numbers.
func isAnyOf(err error, codes ...unix.Errno) bool {
	for _, n := range codes {
		if errors.Is(err, n) {
			return true
		}
	}
	return false
}

// isTransient reports whether a call failed for a cause that may be gone a moment later: a signal or a shortage of
// memory. The connection is as good as before.
func isTransient(err error) bool { return isAnyOf(err, unix.EINTR, unix.ENOMEM, unix.ENOBUFS) }

// IsLocal reports whether a connection could not be made because of this machine: it lacked descriptors, memory,
// ports or a route, or refused the call. Such an error says nothing about the peer.
func IsLocal(err error) bool {
	return isAnyOf(err, unix.EMFILE, unix.ENFILE, unix.ENOMEM, unix.ENOBUFS, unix.ENOSPC, unix.EAGAIN, unix.EINTR, unix.EADDRNOTAVAIL,
		unix.EADDRINUSE, unix.ENETUNREACH, unix.ENETDOWN, unix.EACCES, unix.EPERM, unix.EAFNOSUPPORT, unix.EPROTONOSUPPORT, unix.EINVAL,
		unix.EBADF, unix.ENOTSOCK, unix.EFAULT, unix.EIO)
}
