// Package eventlooptest provides system calls that fail, for tests of event loops and of programs that run on
// them.
package eventlooptest

import (
	"errors"
	"math/rand/v2"
	"sync"

	"golang.org/x/sys/unix"

	"whinrun/internal/eventloop"
)

// FaultySystem is eventloop.Kernel with injected faults. The zero value injects none. It is safe for concurrent
// use.
type FaultySystem struct {
	eventloop.Kernel
	mu sync.Mutex
	// fault returns the error to inject into a call. It is nil if no faults are injected.
	fault func(call string) error
}

// ErrShort makes a read or a write transfer at most 8 bytes instead of failing.
var ErrShort = errors.New("a short read or write")

// SetFault sets the function that decides on each call. The call fails with the returned error, and is made if
// that is nil. The argument is the call's name as in its manual page.
func (f *FaultySystem) SetFault(fail func(call string) error) {
	f.mu.Lock()
	f.fault = fail
	f.mu.Unlock()
}

// faultOf returns the error to inject into a call.
func (f *FaultySystem) faultOf(call string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fault == nil {
		return nil
	}
	return f.fault(call)
}

// Socket implements eventloop.System.
func (f *FaultySystem) Socket(domain, kind, protocol int) (int, error) {
	if err := f.faultOf("socket"); err != nil {
		return -1, err
	}
	return f.Kernel.Socket(domain, kind, protocol)
}

// Bind implements eventloop.System.
func (f *FaultySystem) Bind(fd int, to unix.Sockaddr) error {
	if err := f.faultOf("bind"); err != nil {
		return err
	}
	return f.Kernel.Bind(fd, to)
}

// Listen implements eventloop.System.
func (f *FaultySystem) Listen(fd, n int) error {
	if err := f.faultOf("listen"); err != nil {
		return err
	}
	return f.Kernel.Listen(fd, n)
}

// Accept implements eventloop.System.
func (f *FaultySystem) Accept(fd int) (int, unix.Sockaddr, error) {
	if err := f.faultOf("accept"); err != nil {
		return -1, nil, err
	}
	return f.Kernel.Accept(fd)
}

// Connect implements eventloop.System.
func (f *FaultySystem) Connect(fd int, to unix.Sockaddr) error {
	err := f.faultOf("connect")
	// The kernel goes on to connect after an interrupted call.
	if err == nil || errors.Is(err, unix.EINTR) {
		if kernelErr := f.Kernel.Connect(fd, to); err == nil {
			return kernelErr
		}
	}
	return err
}

// SocketError implements eventloop.System.
func (f *FaultySystem) SocketError(fd int) (error, error) {
	if err := f.faultOf("getsockopt"); err != nil {
		return nil, err
	}
	return f.Kernel.SocketError(fd)
}

// Getpeername implements eventloop.System.
func (f *FaultySystem) Getpeername(fd int) (unix.Sockaddr, error) {
	if err := f.faultOf("getpeername"); err != nil {
		return nil, err
	}
	return f.Kernel.Getpeername(fd)
}

// SetOption implements eventloop.System.
func (f *FaultySystem) SetOption(fd, level, option, value int) error {
	if err := f.faultOf("setsockopt"); err != nil {
		return err
	}
	return f.Kernel.SetOption(fd, level, option, value)
}

// Read implements eventloop.System.
func (f *FaultySystem) Read(fd int, b []byte) (int, error) {
	switch err := f.faultOf("read"); {
	case errors.Is(err, ErrShort):
		b = b[:min(len(b), 8)]
	case err != nil:
		return -1, err
	}
	return f.Kernel.Read(fd, b)
}

// Write implements eventloop.System.
func (f *FaultySystem) Write(fd int, b []byte) (int, error) {
	switch err := f.faultOf("write"); {
	case errors.Is(err, ErrShort):
		b = b[:min(len(b), 8)]
	case err != nil:
		return -1, err
	}
	return f.Kernel.Write(fd, b)
}

// Close implements eventloop.System.
func (f *FaultySystem) Close(fd int) error {
	// The descriptor is released in any case (close(2)).
	err := f.Kernel.Close(fd)
	if fault := f.faultOf("close"); fault != nil {
		return fault
	}
	return err
}

// EpollAdd implements eventloop.System.
func (f *FaultySystem) EpollAdd(epoll, fd int, events uint32) error {
	if err := f.faultOf("epoll_ctl"); err != nil {
		return err
	}
	return f.Kernel.EpollAdd(epoll, fd, events)
}

// EpollWait implements eventloop.System.
func (f *FaultySystem) EpollWait(epoll int, events []unix.EpollEvent, ms int) (int, error) {
	if err := f.faultOf("epoll_wait"); err != nil {
		return -1, err
	}
	return f.Kernel.EpollWait(epoll, events, ms)
}

// RandomFaults returns a function for FaultySystem.SetFault. It injects faults with the given probability into the
// calls that errs names, each one of the errors listed for the call. The function is not safe for concurrent use
// by itself; SetFault makes it so.
func RandomFaults(seed uint64, probability float64, errs map[string][]error) func(string) error {
	rng := rand.New(rand.NewPCG(seed, 3))
	return func(call string) error {
		if candidates := errs[call]; len(candidates) > 0 && rng.Float64() < probability {
			return candidates[rng.IntN(len(candidates))]
		}
		return nil
	}
}

// TransientErrors lists, for each call, errors and short transfers after which the loop repeats the call or goes
// on without it. They must not end a connection.
var TransientErrors = map[string][]error{
	"read":       {unix.EINTR, unix.EAGAIN, unix.ENOMEM, unix.ENOBUFS, ErrShort},
	"write":      {unix.EINTR, unix.ENOMEM, unix.ENOBUFS, ErrShort},
	"accept":     {unix.EINTR, unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EPERM, unix.EPROTO, unix.ECONNABORTED, unix.ENETDOWN},
	"epoll_wait": {unix.EINTR, unix.EINVAL, unix.EBADF, unix.EFAULT},
	"setsockopt": {unix.ENOBUFS, unix.EINVAL, unix.ENOPROTOOPT},
	"close":      {unix.EINTR, unix.EIO},
}
