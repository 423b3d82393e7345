package platform

import (
	"fmt"
	"testing"
	"time"

	"whinrun/internal/testbed"
)

// Guards against a second copy of a request that is taken on as another message once the first has ended or was refused.
func TestCopiedRequests(t *testing.T) {
	d := newTestDispatcher(t)
	d.addEndpoint("a", 1, "single", succeed)
	d.startReady()
	names := d.submitAll("m", 5, 1, "upload", "sync")
	d.awaitEnds(names)
	for _, name := range names {
		if status, _ := d.roundTrip(string(testbed.EncodeRequest(newMessage(name, "upload", 1))), time.Second); status != 409 {
			t.Errorf("the copy of %s is answered %d", name, status)
		}
	}
	// A message behind the copies shows that they have been handled.
	d.awaitEnds(d.submitAll("last", 1, 1, "upload"))
	for _, name := range names {
		if n := d.countEvents(testbed.CallReceived, name); n != 1 {
			t.Errorf("%s was called %d times", name, n)
		}
	}
	d.checkRules()
}

// Ids are remembered for idMemory, and no more than maxRecentIDs of them.
func TestRecentIDs(t *testing.T) {
	r := newRecentIDs()
	if !r.add("a", 0) || r.add("a", idMemory) || !r.add("a", idMemory+1) {
		t.Error("an id is not known for the right time")
	}
	for i := range maxRecentIDs {
		r.add(fmt.Sprint(i), 2*idMemory)
	}
	if len(r.order) != maxRecentIDs || len(r.arrivals) != maxRecentIDs || r.add("0", 2*idMemory) {
		t.Errorf("%d and %d ids", len(r.order), len(r.arrivals))
	}
}
