package eventloop_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"whinrun/internal/clock"
	"whinrun/internal/eventloop"
	"whinrun/internal/eventloop/eventlooptest"
)

// echo is a handler that writes back what it reads, and counts connections.
type echo struct {
	opened, closed atomic.Int64
	// failures receives the errors of dials and of connections that did not end in order.
	failures chan error
	dialled  chan *eventloop.Conn
}

func (e *echo) Opened(c *eventloop.Conn) {
	e.opened.Add(1)
	if c.Context != nil {
		e.dialled <- c
	}
}
func (e *echo) Ready(c *eventloop.Conn) { c.Write(c.Inbound()) }
func (e *echo) Closed(_ *eventloop.Conn, err error) {
	e.closed.Add(1)
	if err != nil && !errors.Is(err, io.EOF) {
		e.failures <- err
	}
}
func (e *echo) DialFailed(_ any, err error) { e.failures <- err }
func (e *echo) Tick()                       {}

// serve starts a listening group with an echo handler and injectable faults. When the test ends, every connection
// that was opened must have been closed.
func serve(t *testing.T, loops int) (*eventloop.Group, *echo, *eventlooptest.FaultySystem) {
	t.Helper()
	f, e := &eventlooptest.FaultySystem{}, &echo{failures: make(chan error, 1000), dialled: make(chan *eventloop.Conn, 100)}
	g, err := eventloop.New(eventloop.Config{Loops: loops, TickInterval: 10 * time.Millisecond, System: f}, e, clock.New())
	if err != nil {
		t.Fatal(err)
	}
	if err := g.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	g.Start()
	t.Cleanup(func() {
		f.SetFault(nil)
		g.Stop()
		if e.opened.Load() != e.closed.Load() {
			t.Errorf("%d connections opened, %d closed", e.opened.Load(), e.closed.Load())
		}
	})
	return g, e, f
}

// talk sends bytes over a new connection and expects the same bytes back.
func talk(g *eventloop.Group, text []byte) error {
	c, err := net.DialTimeout("tcp", g.Addr().String(), 5*time.Second)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	go func() { _, _ = c.Write(text) }()
	back := make([]byte, len(text))
	if _, err := io.ReadFull(c, back); err != nil {
		return err
	}
	if !bytes.Equal(back, text) {
		return errors.New("other bytes came back")
	}
	return nil
}

// Guards against a request that waits for the next sweep, because the read behind its event wrongly returned EAGAIN: a client then
// waited 0.4 s for its answer, and its message was ended late.
func TestReadThatWronglyReturnsEAGAIN(t *testing.T) {
	g, _, f := serve(t, 1)
	c, err := net.Dial("tcp", g.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	exchange := func() error {
		if _, err := c.Write([]byte("hello")); err != nil {
			return err
		}
		_, err := io.ReadFull(c, make([]byte, len("hello")))
		return err
	}
	// The connection is open and idle behind a first exchange.
	if err := exchange(); err != nil {
		t.Fatal(err)
	}
	for i := range 20 {
		// One or three reads in a row return it.
		var wrong atomic.Int64
		wrong.Store([]int64{1, 3}[i%2])
		f.SetFault(func(call string) error {
			if call == "read" && wrong.Add(-1) >= 0 {
				return unix.EAGAIN
			}
			return nil
		})
		watch := clock.StartStopwatch()
		if err := exchange(); err != nil {
			t.Fatal(err)
		}
		if took := watch.Elapsed(); took > 100*time.Millisecond {
			t.Errorf("answered after %v", took)
		}
	}
}

// maxRounds bounds the rounds of clients in TestCallsThatFailForAMoment.
const maxRounds = 20

// System calls fail at random with transient errors, all kinds together. Every byte must come back in order, and
// no connection may end.
func TestCallsThatFailForAMoment(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			g, e, f := serve(t, 1+int(seed%2))
			f.SetFault(eventlooptest.RandomFaults(seed, 0.3, eventlooptest.TransientErrors))
			counts := g.ErrorCounts()
			everyCallFailed := func() bool {
				return counts.Reads.Load() > 0 && counts.Writes.Load() > 0 && counts.Accepts.Load() > 0 && counts.Waits.Load() > 0
			}
			// How many calls of each kind 20 clients take depends on scheduling, so that one round may inject no failure of a kind.
			for round := 0; round == 0 || round < maxRounds && !everyCallFailed() && !t.Failed(); round++ {
				var clients sync.WaitGroup
				for n := range 20 {
					clients.Go(func() {
						if err := talk(g, bytes.Repeat([]byte{byte(n), 7}, 1000*(n+1))); err != nil {
							t.Errorf("client %d: %v", n, err)
						}
					})
				}
				clients.Wait()
			}
			if len(e.failures) > 0 {
				t.Errorf("a connection ended: %v", <-e.failures)
			}
			if !everyCallFailed() {
				t.Errorf("not every call has failed: %d reads, %d writes, %d accepts, %d waits", counts.Reads.Load(), counts.Writes.Load(), counts.Accepts.Load(),
					counts.Waits.Load())
			}
		})
	}
}

// Accept fails for a while, with each of its errors. Clients must wait in the backlog and be served afterwards.
func TestAcceptGoesOn(t *testing.T) {
	for _, fault := range []unix.Errno{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EPROTO, unix.EPERM, unix.ECONNABORTED, unix.EINTR,
		unix.ENETDOWN, unix.ENOPROTOOPT, unix.EHOSTDOWN, unix.ENONET, unix.EHOSTUNREACH, unix.EOPNOTSUPP, unix.ENETUNREACH, unix.ENOSR, unix.ESOCKTNOSUPPORT,
		unix.EPROTONOSUPPORT, unix.ETIMEDOUT, unix.EINVAL, unix.EBADF, unix.ENOTSOCK, unix.EFAULT} {
		t.Run(fault.Error(), func(t *testing.T) {
			t.Parallel()
			g, _, f := serve(t, 1)
			met := make(chan struct{})
			var once sync.Once
			f.SetFault(func(call string) error {
				if call != "accept" {
					return nil
				}
				once.Do(func() { close(met) })
				return fault
			})
			done := make(chan error)
			go func() { done <- talk(g, []byte("hello")) }()
			<-met
			f.SetFault(nil)
			if err := <-done; err != nil {
				t.Error(err)
			}
		})
	}
}

// A listening socket that is lost permanently must be replaced by a new one.
func TestListeningSocketIsLost(t *testing.T) {
	g, _, f := serve(t, 1)
	var reopened atomic.Bool
	f.SetFault(func(call string) error {
		if call == "bind" {
			reopened.Store(true)
		}
		if call == "accept" && !reopened.Load() {
			return unix.EBADF
		}
		return nil
	})
	watch := clock.StartStopwatch()
	// Clients in the backlog of the old socket are lost with it.
	for talk(g, []byte("hello")) != nil {
		if watch.Elapsed() > 20*time.Second {
			t.Fatal("nobody is served")
		}
	}
}

// The error of a failed dial must tell whether this machine or the peer is the cause. An interrupted dial must go
// on.
func TestDials(t *testing.T) {
	for _, c := range []struct {
		call  string
		fault unix.Errno
		// want is "connected", "local" or "peer", or "none" for a dial that times out.
		want string
	}{
		{"socket", unix.EMFILE, "local"}, {"socket", unix.ENFILE, "local"}, {"socket", unix.ENOBUFS, "local"}, {"socket", unix.ENOMEM, "local"},
		{"socket", unix.EACCES, "local"},
		{"connect", unix.EADDRNOTAVAIL, "local"}, {"connect", unix.ENETUNREACH, "local"}, {"connect", unix.ENOBUFS, "local"},
		{"connect", unix.EAGAIN, "local"}, {"connect", unix.EPERM, "local"}, {"connect", unix.ECONNREFUSED, "peer"},
		{"connect", unix.ETIMEDOUT, "peer"}, {"connect", unix.EHOSTUNREACH, "peer"}, {"connect", unix.ECONNRESET, "peer"},
		{"connect", unix.EINTR, "connected"},
		{"epoll_ctl", unix.ENOMEM, "local"}, {"epoll_ctl", unix.ENOSPC, "local"},
		{"getsockopt", unix.EINVAL, "local"}, {"getsockopt", unix.ENOBUFS, "connected"}, {"getsockopt", unix.EINTR, "connected"},
		{"getpeername", unix.ENOBUFS, "connected"}, {"getpeername", unix.ENOTCONN, "none"},
	} {
		t.Run(c.call+" "+c.fault.Error(), func(t *testing.T) {
			t.Parallel()
			g, e, f := serve(t, 1)
			var times atomic.Int64
			f.SetFault(func(call string) error {
				if call == c.call && (c.want != "connected" || times.Add(1) < 4) {
					return c.fault
				}
				return nil
			})
			g.Dial(g.Addr(), 300*time.Millisecond, "a dial")
			got := ""
			select {
			case <-e.dialled:
				got = "connected"
			case err := <-e.failures:
				switch {
				case errors.Is(err, eventloop.ErrDialTimeout):
					got = "none"
				case eventloop.IsLocal(err):
					got = "local"
				default:
					got = "peer"
				}
			}
			if got != c.want {
				t.Errorf("it ends as %q, want %q", got, c.want)
			}
		})
	}
}

// A system call returns EAGAIN once although there is something to do, so that no event follows. The sweep must
// find it.
func TestWrongWordThatThereIsNothingToDo(t *testing.T) {
	for _, call := range []string{"read", "write", "accept"} {
		t.Run(call, func(t *testing.T) {
			t.Parallel()
			g, _, f := serve(t, 1)
			var times atomic.Int64
			f.SetFault(func(now string) error {
				if now == call && times.Add(1) == 1 {
					return unix.EAGAIN
				}
				return nil
			})
			if err := talk(g, []byte("hello")); err != nil {
				t.Error(err)
			}
		})
	}
}

// A dial to a port on which nobody listens must fail with ECONNREFUSED, which is not a local error.
func TestDialsThatMeetNobody(t *testing.T) {
	g, e, _ := serve(t, 1)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	nobody := netip.MustParseAddrPort(ln.Addr().String())
	_ = ln.Close()
	g.Dial(nobody, 5*time.Second, "a dial")
	if err := <-e.failures; !errors.Is(err, unix.ECONNREFUSED) || eventloop.IsLocal(err) {
		t.Error(err)
	}
}

// An error that ends a connection must reach Handler.Closed, whether a read or a write hits it.
func TestConnectionsEnd(t *testing.T) {
	for _, call := range []string{"read", "write"} {
		for _, fault := range []unix.Errno{unix.ECONNRESET, unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.ENETUNREACH, unix.EPIPE, unix.EIO} {
			t.Run(call+" "+fault.Error(), func(t *testing.T) {
				t.Parallel()
				g, e, f := serve(t, 1)
				c, err := net.Dial("tcp", g.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = c.Close() }()
				f.SetFault(func(now string) error {
					if now == call {
						return fault
					}
					return nil
				})
				if _, err := c.Write([]byte("x")); err != nil {
					t.Fatal(err)
				}
				if err := <-e.failures; !errors.Is(err, fault) {
					t.Errorf("it ended by %v", err)
				}
			})
		}
	}
}

// A peer that does not read must not hold up another client. It must get all bytes once it reads.
func TestSlowReader(t *testing.T) {
	g, _, _ := serve(t, 1)
	c, err := net.Dial("tcp", g.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	// 8 MiB is more than all socket buffers hold.
	text := bytes.Repeat([]byte("0123456789abcdef"), 1<<19)
	go func() { _, _ = c.Write(text) }()
	if err := talk(g, []byte("another client")); err != nil {
		t.Error(err)
	}
	back := make([]byte, len(text))
	if _, err := io.ReadFull(c, back); err != nil || !bytes.Equal(back, text) {
		t.Errorf("%v, the same bytes: %v", err, bytes.Equal(back, text))
	}
}

// If a resource is short at the start, New and Listen must return the error.
func TestStartLacksSomething(t *testing.T) {
	f := &eventlooptest.FaultySystem{}
	f.SetFault(func(call string) error {
		if call == "epoll_ctl" {
			return unix.ENOMEM
		}
		return nil
	})
	if _, err := eventloop.New(eventloop.Config{Loops: 2, System: f}, &echo{}, clock.New()); !errors.Is(err, unix.ENOMEM) {
		t.Error(err)
	}
	f.SetFault(nil)
	g, err := eventloop.New(eventloop.Config{System: f}, &echo{}, clock.New())
	if err != nil {
		t.Fatal(err)
	}
	for _, call := range []string{"socket", "bind", "listen"} {
		f.SetFault(func(now string) error {
			if now == call {
				return unix.EADDRINUSE
			}
			return nil
		})
		if err := g.Listen("127.0.0.1:0"); !errors.Is(err, unix.EADDRINUSE) {
			t.Errorf("%s: %v", call, err)
		}
	}
	g.Stop()
}

// keepingEcho is an echo that hands over its connections.
type keepingEcho struct {
	echo
	conns chan *eventloop.Conn
}

func (k *keepingEcho) Opened(c *eventloop.Conn) {
	k.echo.Opened(c)
	k.conns <- c
}

// Guards against a wake-up after the end of a group: the number of its closed descriptor may belong to a file by then, such as
// the ledger of the next process in a test, and eight bytes would be written into that.
func TestWakeAfterStop(t *testing.T) {
	handler := &keepingEcho{conns: make(chan *eventloop.Conn, 1)}
	g, err := eventloop.New(eventloop.Config{Loops: 1, TickInterval: time.Second}, handler, clock.New())
	if err != nil {
		t.Fatal(err)
	}
	if err := g.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	g.Start()
	client, err := net.Dial("tcp", g.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	c := <-handler.conns
	g.Stop()
	var files []*os.File
	for range 32 {
		file, err := os.Create(filepath.Join(t.TempDir(), "file"))
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = file.Close() }()
		files = append(files, file)
	}
	c.Wake()
	for _, file := range files {
		if info, err := file.Stat(); err != nil || info.Size() > 0 {
			t.Errorf("%d bytes were written to a file, %v", info.Size(), err)
		}
	}
}
