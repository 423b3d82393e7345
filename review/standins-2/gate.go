package main

import (
	"io"
	"net"
	"sync"
)

// gate stands between a dispatcher and its agent. While it is shut, watches are silent: those that are open get nothing more, for good, and
// those that are asked for get no answer, also later. Notices pass all the time.
type gate struct {
	listener net.Listener
	target   string

	mu   sync.Mutex
	shut bool
	// watches are the watches that pass.
	watches map[net.Conn]bool
	conns   []net.Conn
}

// newGate starts a gate to an address.
func newGate(target string) (*gate, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &gate{listener: ln, target: target, watches: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			g.mu.Lock()
			g.conns = append(g.conns, c)
			g.mu.Unlock()
			go g.serve(c)
		}
	}()
	return g, nil
}

// addr returns the address that the dispatcher uses.
func (g *gate) addr() string { return g.listener.Addr().String() }

// close ends all connections.
func (g *gate) close() {
	_ = g.listener.Close()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.conns {
		_ = c.Close()
	}
}

// setShut shuts the gate, or opens it.
func (g *gate) setShut(shut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shut = shut
	if shut {
		clear(g.watches)
	}
}

// serve passes on one connection, by its first request.
func (g *gate) serve(c net.Conn) {
	buf := make([]byte, 64<<10)
	n, err := c.Read(buf)
	if err != nil {
		_ = c.Close()
		return
	}
	isWatch := buf[0] == 'G'
	if isWatch {
		g.mu.Lock()
		g.watches[c] = !g.shut
		passes := g.watches[c]
		g.mu.Unlock()
		if !passes {
			// The dispatcher ends it.
			_, _ = io.Copy(io.Discard, c)
			_ = c.Close()
			return
		}
	}
	to, err := net.Dial("tcp", g.target)
	if err != nil {
		_ = c.Close()
		return
	}
	go func() {
		if _, err := to.Write(buf[:n]); err == nil {
			_, _ = io.Copy(to, c)
		}
		_ = to.Close()
		_ = c.Close()
	}()
	out := make([]byte, 64<<10)
	for {
		n, err := to.Read(out)
		if err != nil {
			break
		}
		g.mu.Lock()
		silent := isWatch && !g.watches[c]
		g.mu.Unlock()
		if silent {
			continue
		}
		if _, err := c.Write(out[:n]); err != nil {
			break
		}
	}
	_ = to.Close()
	_ = c.Close()
}
