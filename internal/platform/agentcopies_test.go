package platform

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"whinrun/internal/clock"
	"whinrun/internal/ledger"
	"whinrun/internal/testbed"
)

// chance returns a function that is true with a probability, in a sequence given by a seed.
func chance(seed uint64, probability float64) func() bool {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 46))
	return func() bool {
		mu.Lock()
		defer mu.Unlock()
		return rng.Float64() < probability
	}
}

// Guards against a second copy of the agent's answer to notices that is taken for the answer to the next request: the
// notices of that one are forgotten though they were not received.
func TestCopiedAnswersToNotices(t *testing.T) {
	d := newTestDispatcher(t)
	d.addEndpoint("a", 1, "single", alwaysReply(testbed.Reply{Drop: true, Delay: 5 * time.Millisecond}))
	d.startReady()
	copied, fails := chance(1, 0.5), chance(2, 0.3)
	d.agent.CopyWrites(func() (time.Duration, bool) { return 5 * time.Millisecond, copied() })
	d.agent.SetNoticeStatus(func() int {
		if fails() {
			return 500
		}
		return 0
	})
	var names []string
	for range 40 {
		names = append(names, d.submitAll("m"+time.Now().Format("150405.000000"), 1, 1, "upload")...)
		time.Sleep(10 * time.Millisecond)
	}
	d.bed.Await(4*time.Second, func(ev []testbed.Event) bool { return testbed.AllEnded(ev, names) })
	without := 0
	for _, name := range names {
		if d.countEvents(testbed.NoticeReceived, name) == 0 {
			without++
		}
	}
	if without > 0 || len(names) < 30 {
		t.Errorf("%d of %d messages got no notice", without, len(names))
	}
}

// Guards against notices that wait because no connection can be opened, as while descriptors are short: the one for the next
// request is open before there are notices.
func TestNoticesWithoutANewConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := newAgent(netip.MustParseAddrPort(ln.Addr().String()))
	acknowledged := make(chan []string, 1)
	n := newNoticeSender(a, clock.StartStopwatch().Elapsed, func(names []string) { acknowledged <- names }, func(string, ...any) {})
	go n.run()
	c, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	_ = ln.Close()
	n.enqueue(ledger.Notice{Name: "m"})
	if _, err := c.Read(make([]byte, 4096)); err != nil {
		t.Fatal(err)
	}
	_, _ = c.Write([]byte("HTTP/1.1 204 No Content\r\n\r\n"))
	if names := <-acknowledged; len(names) != 1 || names[0] != "m" {
		t.Errorf("acknowledged: %v", names)
	}
	a.stop()
	<-n.done
}
