package platform

import (
	"bytes"
	"fmt"
	"sync"
	"testing"
	"time"

	"whinrun/internal/testbed"
)

// Tests of ends that something missing would make certain: an orderly close, silence, or the lack of a further answer. The endpoints
// send some answers twice.

const (
	// haulLatency is the time one way between dispatcher and endpoint.
	haulLatency = 22 * time.Millisecond
	// workTime is how long an endpoint works on a call.
	workTime = 60 * time.Millisecond
	// copyGap is the time from an answer to its copy.
	copyGap = 10 * time.Millisecond
)

// newDistantDispatcher returns a dispatcher with two slots whose only endpoint, of destination 1, is behind a network with haulLatency.
func newDistantDispatcher(t *testing.T, handler func(testbed.Call) testbed.Reply) *testDispatcher {
	t.Helper()
	d := newTestDispatcher(t)
	e, err := d.bed.Endpoint("far", 1, "", handler)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	proxy, err := d.bed.Proxy(e)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	proxy.SetLatency(haulLatency)
	d.agent.Publish(testbed.EndpointEntry{Host: e.Host, Dial: proxy.Addr, Site: "east", Class: "single", Block: e.Dest, Health: "ready", Share: 1})
	d.fixedConfig = bytes.Replace(testbed.Configuration(d.addr, d.agent), []byte(`"slots":10`), []byte(`"slots":2`), 1)
	return d
}

// submitClumps hands in a clump of messages of each class, a second apart, and returns the ids of the accepted ones.
func (d *testDispatcher) submitClumps(size int) (names []string) {
	var mu sync.Mutex
	var clients sync.WaitGroup
	for clump, class := range []string{"status", "upload", "sync"} {
		for i := range size {
			m := newMessage(fmt.Sprintf("c%d-%d", clump, i), class, 1)
			clients.Go(func() {
				if d.bed.Submit(d.addr, m) == 202 {
					mu.Lock()
					defer mu.Unlock()
					names = append(names, m.Name)
				}
			})
		}
		time.Sleep(time.Second)
	}
	clients.Wait()
	return names
}

// checkEnds waits until all messages have ended, and checks the rules once their time is over.
func (d *testDispatcher) checkEnds(names []string) {
	d.t.Helper()
	if !d.bed.Await(5*time.Second, func(ev []testbed.Event) bool { return testbed.AllEnded(ev, names) }) {
		d.t.Error("messages without an end")
	}
	if d.countEvents(testbed.AnswerCopied, "") == 0 {
		d.t.Error("no answer was copied")
	}
	d.t.Logf("%d of %d delivered, %d notices", d.deliveredCount(), len(names), d.countEvents(testbed.NoticeReceived, ""))
	d.checkRules()
	d.logIfFailed()
}

// Guards against a message that is lost, because the copy of an answer counted as the answer to a call that the endpoint never read,
// and the orderly close of the connection behind it as proof.
func TestCopyAndCloseBehindAnAnswer(t *testing.T) {
	t.Parallel()
	const clumpSize = 4
	var mu sync.Mutex
	count := 0
	d := newDistantDispatcher(t, func(testbed.Call) testbed.Reply {
		mu.Lock()
		defer mu.Unlock()
		reply := testbed.Reply{Status: 200, Delay: workTime}
		if count++; count%clumpSize == 1 {
			reply.CloseIdleAfter, reply.CopyAtClose = copyGap, true
		}
		return reply
	})
	d.startReady()
	d.checkEnds(d.submitClumps(clumpSize))
}

// Guards against a message that is lost, because the copy of an answer counted as the answer to a call that the endpoint never
// answers, and the silence behind it as proof.
func TestCopyAndSilenceBehindAnAnswer(t *testing.T) {
	t.Parallel()
	const clumpSize = 2
	var mu sync.Mutex
	count := 0
	d := newDistantDispatcher(t, func(testbed.Call) testbed.Reply {
		mu.Lock()
		defer mu.Unlock()
		count++
		reply := testbed.Reply{Status: 200, Delay: workTime, Hang: count%clumpSize == 0}
		if count%clumpSize == 1 {
			reply.Copies = []testbed.Copy{{After: copyGap}}
		}
		return reply
	})
	d.startReady()
	d.checkEnds(d.submitClumps(clumpSize))
}
