// Command copyclose plays review case 1: an endpoint sends some answers twice, the second copy right behind the first while nothing
// else waits on the connection. It closes some idle connections early, with and without the copies.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"whinrun/review/standins/lab"
)

const (
	// latency is the time one way between dispatcher and endpoint (22 ms between the halls of the site).
	latency = 22 * time.Millisecond
	// work is how long the endpoint works on a call.
	work = 60 * time.Millisecond
	// behind is how long behind its answer the copy comes. The connection is closed with it.
	behind = 10 * time.Millisecond
	// clump is how many messages are handed in at once, and pause is the time between clumps.
	clump, pause = 4, time.Second
	// clumps is the number of clumps.
	clumps = 12
	// remaining is the time of each message.
	remaining = 4 * time.Second
)

const answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

// endpoint runs calls and answers them.
type endpoint struct {
	run *lab.Run

	mu     sync.Mutex
	count  int
	copies int
	// delivered holds the messages whose 200 was written.
	delivered map[string]bool
}

func (e *endpoint) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.ReadAll(q.Body)
		id := q.Header.Get("X-Txn")
		time.Sleep(work)
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
		e.mu.Lock()
		e.count++
		early := e.count%clump == 1
		e.delivered[id] = true
		e.mu.Unlock()
		e.run.Note("endpoint: %s ran, answered 200", id)
		if !early {
			continue
		}
		time.Sleep(behind)
		if waits(c, in) {
			continue
		}
		// Nothing else waits on the connection. What may be on its way has not arrived.
		if e.run.Trouble {
			_, _ = io.WriteString(c, answer)
			e.mu.Lock()
			e.copies++
			e.mu.Unlock()
		}
		e.run.Note("endpoint: behind the answer to %s the idle connection is closed, copy of the answer before: %v", id, e.run.Trouble)
		return
	}
}

// waits reports whether something has come on the connection that is not read.
func waits(c net.Conn, in *bufio.Reader) bool {
	if in.Buffered() > 0 {
		return true
	}
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	found := false
	_ = raw.Read(func(fd uintptr) bool {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		found = n > 0 && err == nil
		return true
	})
	return found
}

func main() {
	r := lab.Start()
	e := &endpoint{run: r, delivered: map[string]bool{}}
	ln := r.Listen()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	host := lab.Host{Host: "s-one", Dial: r.DelayProxy(ln.Addr().String(), latency), Site: "west", Class: "single", Block: 3, Health: "ready", Share: 1}
	agent := r.NewAgent("discovery", 41, host)
	listen := r.FreeAddr()
	node := r.Node(r.WriteFile("config.json", lab.NodeConfig(listen, agent.Addr(), agent.Whole(), `"slots":10`, `"slots":2`)), r.Dir+"/state")
	r.AwaitListening(listen)
	r.AwaitReady(listen)
	var mu sync.Mutex
	taken := map[string]time.Duration{}
	var clients sync.WaitGroup
	for n := range clumps {
		for i := range clump {
			clients.Go(func() {
				id, sent := fmt.Sprintf("c%02d-%d", n, i), r.Since()
				status := r.Submit(listen, lab.Message{ID: id, Class: []string{"upload", "status"}[n%2], Dest: 3, Remaining: remaining, Body: "x"})
				r.Note("client: %s answered %d", id, status)
				if status == 202 {
					mu.Lock()
					taken[id] = sent
					mu.Unlock()
				}
			})
		}
		time.Sleep(pause)
	}
	clients.Wait()
	time.Sleep(remaining + time.Second)
	lost := 0
	e.mu.Lock()
	for id, sent := range taken {
		_, noticed := agent.Noticed(id)
		if !e.delivered[id] && !noticed {
			lost++
			r.Note("message %s, handed in at %.3f and taken, never came to the endpoint, and there is no notice %.3f s after its time", id, sent.Seconds(), (r.Since() - sent - remaining).Seconds())
		}
	}
	r.Note("%d messages taken, %d delivered, %d answers sent twice", len(taken), len(e.delivered), e.copies)
	e.mu.Unlock()
	if lost > 0 {
		r.Break("%d messages that were taken are lost", lost)
	}
	node.CopyLog()
	r.End()
}
