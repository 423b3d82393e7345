package platform

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"whinrun/internal/testbed"
)

// submitEvenly submits messages at a steady rate for a while, in turn to both destinations, and returns the ids of the accepted
// ones and the number of the others.
func (d *testDispatcher) submitEvenly(prefix string, interval, span time.Duration, body string, classes ...string) (accepted []string, refused int) {
	var mu sync.Mutex
	var group sync.WaitGroup
	start := time.Now()
	for i := 0; time.Duration(i)*interval < span; i++ {
		time.Sleep(time.Duration(i)*interval - time.Since(start))
		group.Go(func() {
			m := newMessage(fmt.Sprintf("%s-%d", prefix, i), classes[i%len(classes)], 1+i%2)
			m.Body += body
			status := d.bed.Submit(d.addr, m)
			mu.Lock()
			defer mu.Unlock()
			if status == 202 {
				accepted = append(accepted, m.Name)
			} else {
				refused++
			}
		})
	}
	group.Wait()
	return accepted, refused
}

// Messages that the ledger has no room for cost slots for good, one each, until nothing was sent any more (review case 6). Both partners
// are sound. Behind the flood all slots have to be there, for 40 messages a second to both.
func TestFullLedgerCostsNoCapacity(t *testing.T) {
	d := newTestDispatcher(t)
	slow := testbed.Reply{Status: 200, Delay: 200 * time.Millisecond}
	d.addEndpoint("a", 1, "single", alwaysReply(slow))
	d.addEndpoint("b", 2, "bulk", alwaysReply(slow))
	d.startReady()
	large := strings.Repeat("0123456789abcdef", 60_000/16)
	names, refused := d.submitEvenly("large", 10*time.Millisecond, 3*time.Second, large, "status", "sync", "upload")
	if refused < 50 {
		t.Errorf("%d messages were refused, which is too few for this test", refused)
	}
	d.awaitEnds(names)
	small, refused := d.submitEvenly("small", 25*time.Millisecond, 2*time.Second, "", "status", "sync")
	d.awaitEnds(small)
	if refused > 0 {
		t.Errorf("%d small messages were refused", refused)
	}
	for _, name := range small {
		if d.countEvents(testbed.CallAnswered, name) == 0 {
			t.Errorf("%s was not delivered", name)
		}
	}
	d.checkRules()
	d.logIfFailed()
}
