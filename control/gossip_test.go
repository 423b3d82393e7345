package control

import (
	"math"
	"slices"
	"testing"
)

// gossipSettings returns the settings of dispatchers that send hints to each other and read reports.
func gossipSettings() Settings {
	settings := testSettings()
	settings.Gossip, settings.GossipCost, settings.Instances = true, 0.01/256, 100
	settings.ReportRemainingIndex, settings.ReportLimitIndex = 0, 1
	return settings
}

// usedUpRefusal returns a refusal with a report: the share of the limit that is left, and a limit of 10 calls a second.
func usedUpRefusal(m MessageID, attempt int, left float32) Event {
	event := refusal(m, attempt, 0)
	event.Report = []float32{left, 10}
	return event
}

// sentHints returns the payload of the first SendGossip action, or an empty string.
func sentHints(actions []Action) string {
	for _, a := range actions {
		if a.Kind == SendGossip {
			return a.Text
		}
	}
	return ""
}

// Hundreds of dispatchers that learned of a limit only from their own refusals once kept it used up, as refused calls counted
// against it. Now one dispatcher sends a hint, all hold their calls and resume at different times.
func TestUsedUpLimitIsToldAndHeldByAll(t *testing.T) {
	sender, receiver := newRunner(t, gossipSettings(), entry(1, 0, 0)), newRunner(t, gossipSettings(), entry(1, 0, 0))
	sender.wantSent(sender.step(0, sender.arrival(idempotent, 1)), 1)
	hints := sentHints(sender.step(sec/50, usedUpRefusal(1, 0, 0)))
	if hints == "" {
		t.Fatal("no hint about a used-up limit")
	}
	received := Event{Kind: GossipReceived, Payload: hints}
	receiver.wantSent(receiver.step(0, received, receiver.arrival(idempotent, 1)))
	receiver.wantSent(receiver.runFor(defaultHold - sec/50))
	if got := sentMessages(receiver.runFor(2 * maxSpread)); !slices.Equal(got, []MessageID{1}) {
		t.Errorf("sent %v after the hold, want message 1", got)
	}
	var at []Time // These are the release times of many receivers, which are spread.
	for seed := range uint64(20) {
		r := newRunner(t, gossipSettings(), entry(1, 0, 0))
		r.dispatcher.rng += seed * 2862933555777941757
		start := r.now
		r.step(0, received, r.arrival(idempotent, 1))
		for r.now < start+2*maxSpread && len(sentMessages(r.step(20*Millisecond))) == 0 {
		}
		at = append(at, r.now-start)
	}
	if slices.Sort(at); at[17]-at[2] < defaultHold/4 {
		t.Errorf("20 dispatchers resume within %v us", at[17]-at[2])
	}
}

// A report may be late, so the first two consecutive refusals lead to hints even if the report shows that the limit is not used
// up. More refusals do not, because a destination that is down for other reasons refuses with the same reports. Nor do refusals
// of an endpoint that is suspected or has a ramp. The refusals are further apart than the ramp of a presumed outage spaces
// calls.
func TestRefusalsWithLimitLeftAreGossipedTwice(t *testing.T) {
	r := newRunner(t, gossipSettings(), entry(1, 0, 0))
	r.dispatcher.gossipCredit = 1000
	apart := unseenWarmUps*r.dispatcher.settings.WarmUp + sec
	gossiped := 0
	for i := range 5 {
		r.wantSent(r.step(apart, r.arrival(idempotent, 1)), r.lastID)
		if sentHints(r.step(sec/50, usedUpRefusal(r.lastID, 0, 0.9))) != "" {
			gossiped++
		}
		r.step(0, Event{Kind: Withdrawn, Message: r.lastID})
		if want := min(i+1, minConfirmFailures); gossiped != want {
			t.Fatalf("%d consecutive refusals led to %d hints, want %d", i+1, gossiped, want)
		}
		r.dispatcher.destination(1).limiter.tokens, r.endpoint(endpointID(1, 0)).rampStart = 1, 0
	}
	r = newRunner(t, gossipSettings(), entry(1, 0, 0))
	r.wantSent(r.step(0, r.arrival(idempotent, 1)), 1)
	r.endpoint(endpointID(1, 0)).rampStart = r.now
	if got := sentHints(r.step(sec/50, usedUpRefusal(1, 0, 0.9))); got != "" {
		t.Errorf("a refusal during the ramp led to hints %q", got)
	}
}

// runUntilSent runs rounds of 20 ms until a message is sent. It fails the test if none is sent within the limit.
func (r *runner) runUntilSent(limit Time) {
	r.t.Helper()
	for end := r.now + limit; r.now < end; {
		if len(sentMessages(r.step(20*Millisecond))) > 0 {
			return
		}
	}
	r.t.Fatal("no message was sent")
}

// A hint tells other dispatchers that an endpoint has returned. Without it, a dispatcher with rare traffic noticed the return
// only after tens of seconds.
func TestReturnIsGossiped(t *testing.T) {
	sender, receiver := newRunner(t, gossipSettings(), entry(1, 0, 0)), newRunner(t, gossipSettings(), entry(1, 0, 0))
	sender.wantSent(sender.step(0, sender.arrival(idempotent, 1)), 1)
	sender.step(sec/50, outcome(1, 0, ConnectFailed))
	sender.runUntilSent(5 * sec)
	receiver.wantSent(receiver.step(0, receiver.arrival(idempotent, 1)), 1)
	receiver.step(sec/50, outcome(1, 0, ConnectFailed))
	receiver.runUntilSent(5 * sec)
	receiver.step(0, outcome(1, 1, ConnectFailed))
	sender.endpoint(endpointID(1, 0)).downSince -= 5 * sec // For this dispatcher the outage has lasted longer.
	ep := receiver.endpoint(endpointID(1, 0))
	if !ep.suspected || !receiver.dispatcher.outageConfirmed(ep) {
		t.Fatal("the outage is not confirmed")
	}
	hints := sentHints(sender.step(0, outcome(1, 1, OK)))
	receiver.step(0, Event{Kind: GossipReceived, Payload: hints})
	if ep.suspected || ep.rampStart == 0 {
		t.Errorf("suspected %v, ramp since %v after a hint about the return", ep.suspected, ep.rampStart)
	}
}

// Hints with any content are harmless, and the cost of hints is bounded.
func TestInvalidHintsAreIgnoredAndHintsAreBounded(t *testing.T) {
	r := newRunner(t, gossipSettings(), entry(1, 0, 0))
	for _, c := range []string{"", "a", "abc", "\x00\x00\x00\x00\x01", string(make([]byte, 999)), "\xff\xff\xff\xff"} {
		if actions := r.step(0, Event{Kind: GossipReceived, Payload: c}); len(actions) > 0 {
			t.Errorf("hints %q lead to %+v", c, actions)
		}
	}
	bytes := 0
	for range 400 {
		r.step(sec/10, r.arrival(idempotent, 1))
		for m := range r.dispatcher.messages {
			if r.dispatcher.messages[m].call != nil {
				bytes += len(sentHints(r.step(sec/100, usedUpRefusal(m, r.dispatcher.messages[m].attempts-1, 0))))
				break
			}
		}
	}
	if cost := float64(bytes) * 99 / 256 / 400 * 0.01; cost > 2*gossipBudget || bytes == 0 {
		t.Errorf("%d bytes, %v of the total value spent on gossip", bytes, cost)
	}
	if r := newRunner(t, testSettings(), entry(1, 0, 0)); true { // Without Gossip no hints are sent.
		r.wantSent(r.step(0, r.arrival(idempotent, 1)), 1)
		if got := sentHints(r.step(sec/50, usedUpRefusal(1, 0, 0))); got != "" {
			t.Errorf("hints %q without Gossip", got)
		}
	}
}

// A dispatcher whose calls are refused again and again uses its equal share of a known limit and no more.
func TestKnownLimitIsSharedEvenlyWhereItIsFelt(t *testing.T) {
	const n = 50
	sends := 0
	settings := testSettings()
	settings.ReportRemainingIndex, settings.ReportLimitIndex = 0, 1
	for _, r := range newRunners(t, n, settings, entry(1, 0, 0)) { // The limit is 10 a second for 50 dispatchers with one message a second each.
		var next []Event
		for i := range 30 * 20 {
			events := next
			if next = nil; i%20 == 0 {
				events = append(events, r.arrival(idempotent, 1))
			}
			for _, id := range sentMessages(r.step(sec/20, events...)) {
				if i >= 10*20 {
					sends++
				}
				next = append(next, usedUpRefusal(id, r.dispatcher.messages[id].attempts-1, 0))
			}
		}
	}
	if rate := float64(sends) / 20; rate > 10 || rate < 4 {
		t.Errorf("%v calls a second at a limit of 10", rate)
	}
}

// With a CollapseMultiple of 1.5, a ramp of 1.2 times the demand exceeded it by chance.
func TestRampStaysBelowCollapseMultiple(t *testing.T) {
	sends := 0
	settings := testSettings()
	settings.CollapseMultiple, settings.ColdCapacity = 1.5, 0.3
	const n = 40
	for _, r := range newRunners(t, n, settings, entry(1, 0, 0)) {
		ep := r.endpoint(endpointID(1, 0))
		for range 20 * 20 {
			for _, id := range sentMessages(r.step(sec/20, r.arrival(idempotent, 1))) {
				r.step(0, outcome(id, 0, OK))
			}
		}
		r.dispatcher.startSlowStart(ep, r.now)
		for range 3 * 20 {
			for _, id := range sentMessages(r.step(sec/20, r.arrival(idempotent, 1))) {
				r.step(0, outcome(id, r.dispatcher.messages[id].attempts-1, OK))
				sends++
			}
		}
	}
	mean := 0.3 + 0.7*1.5/10 // the capacity in the middle of the three seconds
	if part := float64(sends) / (n * 60); part > 1.05*mean {
		t.Errorf("%v of the demand was sent in the first 3 s, but a cold destination can do %v", part, mean)
	}
}

// A destination that was down told hundreds of dispatchers when its wait ends. They all sent their queued messages at that
// moment, while the destination was cold.
func TestEndOfALongRetryAfterStartsARamp(t *testing.T) {
	sends, queued := 0, 0
	for _, r := range newRunners(t, 30, testSettings(), entry(1, 0, 0)) {
		r.wantSent(r.step(0, r.arrival(idempotent, 1)), r.lastID)
		r.step(sec/10, refusal(r.lastID, 0, 8*sec), r.arrival(idempotent, 1), r.arrival(idempotent, 1))
		queued += 3
		r.runFor(8 * sec)
		sends += len(sentMessages(r.runFor(2 * sec)))
	}
	if sends > queued/4 {
		t.Errorf("%d of %d queued messages were sent in the first two seconds", sends, queued)
	}
}

// A hint about the return of one endpoint must leave the outages of the other endpoints confirmed. They once were not, and all
// dispatchers with one failure there tried them at the same moment.
func TestReturnOfOneEndpointLeavesTheOthersConfirmedDown(t *testing.T) {
	r := newRunner(t, gossipSettings(), entry(1, 0, 0), entry(1, 1, 0))
	r.runFor(20 * sec)
	r.wantSent(r.step(0, r.arrival(idempotent, 1)), 1)
	first := r.step(sec/50, outcome(1, 0, ConnectFailed))
	r.wantSent(first, 1) // It is sent to the other endpoint.
	r.step(sec/50, outcome(1, 1, ConnectFailed))
	r.runFor(4 * sec)
	returned, other := r.endpoint(endpointID(1, 0)), r.endpoint(endpointID(1, 1))
	hint := hintID(returned.id)
	r.step(0, Event{Kind: GossipReceived, Payload: string([]byte{0, byte(hint >> 16), byte(hint >> 8), byte(hint)})})
	if returned.suspected || !other.suspected || !r.dispatcher.outageConfirmed(other) {
		t.Errorf("endpoint that returned: suspected %v; the other one: suspected %v, confirmed %v", returned.suspected, other.suspected, r.dispatcher.outageConfirmed(other))
	}
}

// NaN, infinite and negative figures in reports and lists are harmless. They once stopped a destination for good.
func TestReportsAndWeightsOutOfRangeAreHarmless(t *testing.T) {
	inf, nan := float32(math.Inf(1)), float32(math.NaN())
	for _, report := range [][]float32{{nan, nan}, {inf, inf}, {-1, -1}, {0, inf}, {nan}, {}} {
		settings := gossipSettings()
		settings.Weights = WeightNominal
		listed := entry(1, 0, 0)
		listed.Weight = float64(inf)
		r := newRunner(t, settings, listed)
		for range 4 {
			r.wantSent(r.step(sec/10, r.arrival(idempotent, 1)), r.lastID)
			event := outcome(r.lastID, 0, OK)
			event.Report = report
			r.step(0, event)
			r.step(0, r.arrival(idempotent, 1)) // These are two rounds at the same instant.
			r.step(sec, outcome(r.lastID, 0, OK))
		}
	}
}

// The ramp after a hint about a return starts at the time of the hint, however long ago the own failure was.
func TestGossipedReturnStartsTheRampNow(t *testing.T) {
	r := newRunner(t, gossipSettings(), entry(1, 0, 0))
	r.wantSent(r.step(0, r.arrival(idempotent, 1)), 1)
	r.step(sec/50, outcome(1, 0, ConnectFailed), Event{Kind: Withdrawn, Message: 1})
	r.runFor(15 * sec)
	ep := r.endpoint(endpointID(1, 0))
	hint := hintID(ep.id)
	r.step(0, Event{Kind: GossipReceived, Payload: string([]byte{0, byte(hint >> 16), byte(hint >> 8), byte(hint)})})
	if ep.rampStart != r.now {
		t.Errorf("ramp since %v, hint at %v", ep.rampStart, r.now)
	}
}

// Demand above a known limit does not make the ramp steeper.
func TestRampKeepsToAKnownLimit(t *testing.T) {
	sends := 0
	settings := testSettings()
	settings.Weights = WeightNominal
	listed := entry(1, 0, 0)
	listed.Weight = 10
	const n = 20 // Each has 2 messages a second, which is 40 a second in all at a limit of 10.
	for _, r := range newRunners(t, n, settings, listed) {
		for i := range 400 {
			var events []Event
			if i%10 == 0 {
				events = append(events, r.arrival(idempotent, 1))
			}
			for _, id := range sentMessages(r.step(sec/20, events...)) {
				r.step(0, outcome(id, 0, OK))
			}
		}
		r.dispatcher.startSlowStart(r.endpoint(endpointID(1, 0)), r.now)
		for i := range 40 {
			var events []Event
			if i%10 == 0 {
				events = append(events, r.arrival(idempotent, 1))
			}
			for _, id := range sentMessages(r.step(sec/20, events...)) {
				sends++
				r.step(0, outcome(id, r.dispatcher.messages[id].attempts-1, OK))
			}
		}
	}
	if sends > 20 { // At a third of the capacity, 10 a second make about 7 calls. The rest allows for chance.
		t.Errorf("%d calls in two seconds, want 20 at most", sends)
	}
}
