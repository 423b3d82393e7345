package platform

import (
	"fmt"
	"net"
	"testing"
	"time"

	"whinrun/internal/testbed"
)

// Clients hand in many messages ahead of their answers and leave without reading one. What they hand in again, under the same ids, must
// not run twice, and nothing of what was not read may be called later.
func TestClientThatLeavesAPipeline(t *testing.T) {
	d := newTestDispatcher(t)
	d.addEndpoint("a", 1, "single", succeed)
	d.addEndpoint("b", 2, "bulk", succeed)
	d.startReady()
	const clients, messages = 10, 200
	var all []testbed.Message
	for client := range clients {
		c := d.dial()
		var request []byte
		for i := range messages {
			m := newMessage(fmt.Sprintf("left-%d-%d", client, i), []string{"upload", "sync"}[i%2], 1+i%2)
			all = append(all, m)
			request = append(request, testbed.EncodeRequest(m)...)
		}
		if _, err := c.Write(request); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Duration(client) * time.Millisecond)
		if client%2 == 0 {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		_ = c.Close()
	}
	// What was taken ends within the time of its message, which is 3 s.
	for deadline := time.Now().Add(5 * time.Second); d.node.Stats().Open > 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d messages are open", d.node.Stats().Open)
		}
	}
	time.Sleep(100 * time.Millisecond)
	calledBefore := d.countEvents(testbed.CallReceived, "")
	time.Sleep(500 * time.Millisecond)
	if later := d.countEvents(testbed.CallReceived, "") - calledBefore; later > 0 {
		t.Errorf("%d messages were called behind the end of all that was taken", later)
	}
	var again []string
	for i, m := range all {
		if i%10 == 0 && d.bed.Submit(d.addr, m) == 202 {
			again = append(again, m.Name)
		}
	}
	d.awaitEnds(again)
	calls := map[string]int{}
	for _, e := range d.bed.Events() {
		if e.Kind == testbed.CallReceived {
			calls[e.Name]++
		}
	}
	for name, n := range calls {
		if n > 1 {
			t.Errorf("%s ran %d times", name, n)
		}
	}
	if len(calls) == 0 || len(calls) == len(all) {
		t.Errorf("%d of %d messages were called, which says nothing", len(calls), len(all))
	}
}
