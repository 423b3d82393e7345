// Command slowdiscovery plays review case 3: a new configuration names another discovery, which is slow. By its list an endpoint is
// gone, and a new one, which serves another destination, sits at its address.
package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"whinrun/review/standins/lab"
)

const (
	// slow is how long each watch waits for its first list. The pages give no figure; it is below all times at which what
	// discovery has to tell counts as told.
	slow = 3 * time.Second
	// told is when the list counts as told, after SIGHUP: 4 s by the page of the days, 6 s by the most lenient sentence.
	told = 6 * time.Second
	// grace is stop-sending-within of the settings, and the 50 ms by which every limit is longer on sockets.
	grace = time.Second + 50*time.Millisecond
	// watched is how long after SIGHUP the run lasts.
	watched = 20 * time.Second
	// oldDest and newDest are the destinations of the endpoint that is gone and of the new one at its address.
	oldDest, newDest = 3, 5
)

// calls records the calls to one endpoint.
type calls struct {
	run  *lab.Run
	name string
	dest int

	mu sync.Mutex
	// count is the number of calls, foreign that of messages for other destinations, late that of those after the list counted
	// as told.
	count, foreign, late int
	// hup is when SIGHUP was sent.
	hup time.Duration
}

// ServeHTTP runs a call and answers 200.
func (c *calls) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	at := c.run.Since()
	_, _ = io.ReadAll(q.Body)
	id := q.Header.Get("X-Txn")
	c.mu.Lock()
	c.count++
	if !strings.HasPrefix(id, fmt.Sprintf("d%d-", c.dest)) {
		c.foreign++
		if at > c.hup+told+grace {
			c.late++
		}
		c.run.Note("endpoint %s of destination %d: call for message %s, %.3f s after SIGHUP: FOREIGN, run", c.name, c.dest, id, (at - c.hup).Seconds())
	}
	c.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
	w.WriteHeader(200)
}

func main() {
	r := lab.Start()
	one, two, fresh := &calls{run: r, name: "s-one", dest: oldDest}, &calls{run: r, name: "s-two", dest: oldDest}, &calls{run: r, name: "s-new", dest: newDest}
	e1, e2 := r.NewEndpoint("s-one", one), r.NewEndpoint("s-two", two)
	first, second := r.NewAgent("discovery A", 41, e1.Host(oldDest, "ready")), r.NewAgent("discovery B", 41, e1.Host(oldDest, "ready"))
	if r.Trouble {
		second.SetSlow(slow)
		r.Note("discovery B: a watch waits %v for its first list", slow)
	}
	listen, state := r.FreeAddr(), r.Dir+"/state"
	config := r.WriteFile("config.json", lab.NodeConfig(listen, first.Addr(), first.Whole()))
	node := r.Node(config, state)
	r.AwaitListening(listen)
	r.AwaitReady(listen)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	answers := [2]map[int]int{{}, {}}
	for i, dest := range []int{oldDest, newDest} {
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				m := lab.Message{ID: fmt.Sprintf("d%d-%06d", dest, n), Class: "status", Dest: dest, Remaining: 3 * time.Second, Body: "x"}
				answers[i][r.Submit(listen, m)]++
			}
		})
	}
	time.Sleep(3 * time.Second)
	r.WriteFile("config.json", lab.NodeConfig(listen, second.Addr(), first.Whole()))
	node.Signal(syscall.SIGHUP)
	hup := r.Since()
	for _, c := range []*calls{one, two, fresh} {
		c.mu.Lock()
		c.hup = hup
		c.mu.Unlock()
	}
	first.CloseListener(1500 * time.Millisecond)
	second.Publish(e1.Host(oldDest, "gone"), e2.Host(oldDest, "ready"))
	// The endpoint ends only after the list counts as told, and after the grace.
	time.Sleep(told + grace)
	e1.Replace(fresh)
	r.Note("s-one has ended, s-new listens at its address")
	created := e1.Host(newDest, "ready")
	created.Host = "s-new"
	second.Publish(created)
	time.Sleep(watched - told - grace)
	close(stop)
	clients.Wait()
	r.Note("answers to messages for destination %d: %v, for %d: %v", oldDest, answers[0], newDest, answers[1])
	for _, c := range []*calls{one, two, fresh} {
		r.Note("endpoint %s of destination %d: %d calls, %d for another destination", c.name, c.dest, c.count, c.foreign)
		if c.late > 0 {
			r.Break("%d messages of destination %d were sent to %s, which serves destination %d, later than %v after SIGHUP", c.late, oldDest, c.name, c.dest, told+grace)
		}
	}
	node.CopyLog()
	r.End()
}
