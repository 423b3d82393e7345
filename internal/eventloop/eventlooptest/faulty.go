// Package eventlooptest has what tests of event loops and of what runs on them need: system calls that fail.
package eventlooptest

import (
	"errors"
	"math/rand/v2"
	"sync"

	"golang.org/x/sys/unix"

	"whinrun/internal/eventloop"
)

// FaultySystem is the kernel with calls that fail on command. The zero value fails none.
type FaultySystem struct {
	eventloop.Kernel
	mu   sync.Mutex
	fail func(call string) error // nil: none; ErrShort: a part is read or written
}

// ErrShort has a read or a write take a part of what it could.
var ErrShort = errors.New("a short read or write")

// SetFault has each call asked for: an error is what it fails with, nil has it made. Calls are named as their manual pages are.
func (f *FaultySystem) SetFault(fail func(call string) error) {
	f.mu.Lock()
	f.fail = fail
	f.mu.Unlock()
}

func (f *FaultySystem) check(call string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fail == nil {
		return nil
	}
	return f.fail(call)
}

// Socket is eventloop.System.
func (f *FaultySystem) Socket(domain, kind, protocol int) (int, error) {
	if err := f.check("socket"); err != nil {
		return -1, err
	}
	return f.Kernel.Socket(domain, kind, protocol)
}

// Bind is eventloop.System.
func (f *FaultySystem) Bind(fd int, to unix.Sockaddr) error {
	if err := f.check("bind"); err != nil {
		return err
	}
	return f.Kernel.Bind(fd, to)
}

// Listen is eventloop.System.
func (f *FaultySystem) Listen(fd, n int) error {
	if err := f.check("listen"); err != nil {
		return err
	}
	return f.Kernel.Listen(fd, n)
}

// Accept is eventloop.System.
func (f *FaultySystem) Accept(fd int) (int, unix.Sockaddr, error) {
	if err := f.check("accept"); err != nil {
		return -1, nil, err
	}
	return f.Kernel.Accept(fd)
}

// Connect is eventloop.System.
func (f *FaultySystem) Connect(fd int, to unix.Sockaddr) error {
	err := f.check("connect")
	if err == nil || errors.Is(err, unix.EINTR) { // an interrupted one goes on
		if real := f.Kernel.Connect(fd, to); err == nil {
			return real
		}
	}
	return err
}

// SocketError is eventloop.System.
func (f *FaultySystem) SocketError(fd int) (error, error) {
	if err := f.check("getsockopt"); err != nil {
		return nil, err
	}
	return f.Kernel.SocketError(fd)
}

// Getpeername is eventloop.System.
func (f *FaultySystem) Getpeername(fd int) (unix.Sockaddr, error) {
	if err := f.check("getpeername"); err != nil {
		return nil, err
	}
	return f.Kernel.Getpeername(fd)
}

// SetOption is eventloop.System.
func (f *FaultySystem) SetOption(fd, level, option, value int) error {
	if err := f.check("setsockopt"); err != nil {
		return err
	}
	return f.Kernel.SetOption(fd, level, option, value)
}

// Read is eventloop.System.
func (f *FaultySystem) Read(fd int, b []byte) (int, error) {
	switch err := f.check("read"); {
	case errors.Is(err, ErrShort):
		b = b[:min(len(b), 8)]
	case err != nil:
		return -1, err
	}
	return f.Kernel.Read(fd, b)
}

// Write is eventloop.System.
func (f *FaultySystem) Write(fd int, b []byte) (int, error) {
	switch err := f.check("write"); {
	case errors.Is(err, ErrShort):
		b = b[:min(len(b), 8)]
	case err != nil:
		return -1, err
	}
	return f.Kernel.Write(fd, b)
}

// Close is eventloop.System.
func (f *FaultySystem) Close(fd int) error {
	err := f.Kernel.Close(fd) // the descriptor is gone in any case (close(2))
	if fault := f.check("close"); fault != nil {
		return fault
	}
	return err
}

// EpollAdd is eventloop.System.
func (f *FaultySystem) EpollAdd(epoll, fd int, events uint32) error {
	if err := f.check("epoll_ctl"); err != nil {
		return err
	}
	return f.Kernel.EpollAdd(epoll, fd, events)
}

// EpollWait is eventloop.System.
func (f *FaultySystem) EpollWait(epoll int, events []unix.EpollEvent, ms int) (int, error) {
	if err := f.check("epoll_wait"); err != nil {
		return -1, err
	}
	return f.Kernel.EpollWait(epoll, events, ms)
}

// RandomFaults fails calls at random, with one of the errors given for each.
func RandomFaults(seed uint64, share float64, errs map[string][]error) func(string) error {
	rng := rand.New(rand.NewPCG(seed, 3))
	return func(call string) error {
		if all := errs[call]; len(all) > 0 && rng.Float64() < share {
			return all[rng.IntN(len(all))]
		}
		return nil
	}
}

// TransientErrors are errors and shortfalls after which the call is to be made again, the connection as good as before.
var TransientErrors = map[string][]error{
	"read":       {unix.EINTR, unix.EAGAIN, unix.ENOMEM, unix.ENOBUFS, ErrShort},
	"write":      {unix.EINTR, unix.ENOMEM, unix.ENOBUFS, ErrShort},
	"accept":     {unix.EINTR, unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EPERM, unix.EPROTO, unix.ECONNABORTED, unix.ENETDOWN},
	"epoll_wait": {unix.EINTR, unix.EINVAL, unix.EBADF, unix.EFAULT},
	"setsockopt": {unix.ENOBUFS, unix.EINVAL, unix.ENOPROTOOPT},
	"close":      {unix.EINTR, unix.EIO},
}
