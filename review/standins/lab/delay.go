package lab

import (
	"io"
	"net"
	"time"
)

// DelayProxy listens on a free loopback address and passes connections on to another one. Bytes, ends and resets arrive after the
// given time, in order, as on a network with that latency one way.
func (r *Run) DelayProxy(to string, latency time.Duration) (addr string) {
	ln := r.Listen()
	go func() {
		for {
			near, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				time.Sleep(latency)
				far, err := net.Dial("tcp", to)
				if err != nil {
					reset(near)
					return
				}
				go pass(near, far, latency)
				pass(far, near, latency)
			}()
		}
	}()
	return ln.Addr().String()
}

// pass passes what comes from one side on to the other after the latency.
func pass(from, to net.Conn, latency time.Duration) {
	type piece struct {
		due  <-chan time.Time
		data []byte
		err  error
	}
	pieces := make(chan piece, 4096)
	go func() {
		for {
			b := make([]byte, 16<<10)
			n, err := from.Read(b)
			if n > 0 {
				pieces <- piece{time.After(latency), b[:n], nil}
			}
			if err != nil {
				pieces <- piece{time.After(latency), nil, err}
				return
			}
		}
	}()
	for p := range pieces {
		<-p.due
		if p.err == io.EOF {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		if p.err != nil {
			reset(to)
			return
		}
		if _, err := to.Write(p.data); err != nil {
			// The other side has closed: what is written to it now is answered by a reset.
			time.Sleep(latency)
			reset(from)
			return
		}
	}
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}
