package platform

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"whinrun/internal/ledger"
	"whinrun/internal/testbed"
)

// Guards against notices that wait for the answers to earlier ones: with an agent that takes long to answer notices, each still
// arrives in time, and what was answered is not sent again and again.
func TestSlowAnswersToNotices(t *testing.T) {
	for _, delay := range []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second} {
		t.Run(delay.String(), func(t *testing.T) {
			t.Parallel()
			d := newTestDispatcher(t)
			d.agent.SetPace(testbed.AgentPace{Notices: delay})
			d.addEndpoint("a", 1, "single", alwaysReply(testbed.Reply{Hang: true}))
			d.startReady()
			var names []string
			for i := range 60 {
				m := newMessage(fmt.Sprint("m-", i), "upload", 1)
				m.Remaining = time.Second
				if d.bed.Submit(d.addr, m) == 202 {
					names = append(names, m.Name)
				}
				time.Sleep(50 * time.Millisecond)
			}
			d.awaitEnds(names)
			if len(names) < 30 {
				t.Errorf("only %d messages are accepted", len(names))
			}
			d.checkRules()
			for deadline := time.Now().Add(20 * time.Second); d.node.notices.waiting() > 0 && time.Now().Before(deadline); {
				time.Sleep(10 * time.Millisecond)
			}
			sent := d.countEvents(testbed.NoticeReceived, "")
			if waiting := d.node.notices.waiting(); waiting > 0 || sent > 4*len(names) {
				t.Errorf("%d notices are not acknowledged; %d were sent for %d messages", waiting, sent, len(names))
			}
		})
	}
}

// However long the agent takes to answer, each notice is sent soon, and all are acknowledged in the end. Few requests are open.
func TestNoticePlan(t *testing.T) {
	for answer := 10 * time.Millisecond; answer < 100*time.Second; answer += answer/3 + 10*time.Millisecond {
		var p noticePlan
		open := map[uint64]time.Duration{}
		added, acknowledged, sent := 0, 0, 0
		addedAt := map[string]time.Duration{}
		now := time.Second
		for ; acknowledged < 200 && now < time.Hour; now += 5 * time.Millisecond {
			if added < 200 && now%(50*time.Millisecond) == 0 {
				name := fmt.Sprint(added)
				p.add(ledger.Notice{Name: name})
				addedAt[name] = now
				added++
			}
			for id, at := range open {
				if now >= at+answer {
					acknowledged += len(p.answered(id, now))
					delete(open, id)
				}
			}
			toClose, r, _ := p.step(now)
			delete(open, toClose)
			if r == nil {
				continue
			}
			open[r.id] = now
			sent += len(r.notices)
			for _, n := range r.notices {
				if at, ok := addedAt[n.Name]; ok && now-at > 200*time.Millisecond {
					t.Errorf("answers after %v: notice %s leaves after %v", answer, n.Name, now-at)
				}
				delete(addedAt, n.Name)
			}
			if len(open) > maxNoticeRequests {
				t.Fatalf("answers after %v: %d requests are open", answer, len(open))
			}
		}
		if acknowledged < 200 || now > 5*answer+20*time.Second {
			t.Errorf("answers after %v: %d of 200 are acknowledged after %v, %d were sent", answer, acknowledged, now, sent)
		}
	}
}

// A request that fails is sent again after a delay that grows, and at once behind a change of the address.
func TestNoticePlanBehindFailures(t *testing.T) {
	var p noticePlan
	p.add(ledger.Notice{Name: "m"})
	var starts []time.Duration
	now := time.Duration(0)
	for len(starts) < 6 {
		_, r, next := p.step(now)
		if r == nil {
			now = next
			continue
		}
		starts = append(starts, now)
		if !p.failed(r.id, now, false) || p.failed(r.id, now, false) {
			t.Fatal("a request does not fail once")
		}
	}
	want := []time.Duration{0, 100 * ms, 300 * ms, 700 * ms, 1500 * ms, 2500 * ms}
	if !slices.Equal(starts, want) {
		t.Errorf("requests at %v, want %v", starts, want)
	}
	p.restart()
	_, r, _ := p.step(now)
	if r == nil {
		t.Fatal("no request behind a change of the address")
	}
	if names := p.answered(r.id, now); !slices.Equal(names, []string{"m"}) || len(p.queue) > 0 {
		t.Errorf("acknowledged: %v, %d wait", names, len(p.queue))
	}
}
