package control

import (
	"testing"
)

// newRunners returns runners for n dispatchers that differ only in their seeds. Each has received the same endpoints.
func newRunners(t *testing.T, n int, settings Settings, entries ...Entry) []*runner {
	t.Helper()
	settings.Instances = n
	rigs := make([]*runner, n)
	for i := range rigs {
		r := newRunner(t, settings, entries...)
		r.dispatcher.rng += uint64(i) * 2862933555777941757
		r.runFor(20 * sec) // The history of the demand is complete after this.
		rigs[i] = r
	}
	return rigs
}

// Each of many dispatchers has one queued message and saw two failed connects. Their trials together must stay a part of their
// demand and not be one for each dispatcher.
func TestTrialsOfManySendersAddUpToAPartOfTheDemand(t *testing.T) {
	const n = 60
	sends := 0
	for _, r := range newRunners(t, n, testSettings(), entry(1, 0, 0)) {
		r.wantSent(r.step(0, r.arrival(idempotent, 1)), 1)
		repeats := sentMessages(append(r.step(sec/50, outcome(1, 0, ConnectFailed)), r.runFor(4*sec)...))
		if len(repeats) != 1 {
			t.Fatalf("%d attempts to confirm the outage, want one", len(repeats))
		}
		sends += len(sentMessages(append(r.step(sec/50, outcome(1, 1, ConnectFailed)), r.runFor(2*sec)...)))
	}
	if sends > n/4 {
		t.Errorf("%d trials of %d dispatchers in two seconds", sends, n)
	}
	if sends == 0 {
		t.Error("no dispatcher made a trial")
	}
}

// An outage mostly affects all endpoints of a destination. A failure of a second endpoint confirms the outage of both, and no
// further attempt is made at once.
func TestFailingEndpointsBearEachOtherOut(t *testing.T) {
	r := newRunner(t, testSettings(), entry(1, 0, 0), entry(1, 1, 0))
	r.runFor(20 * sec)
	r.wantSent(r.step(0, r.arrival(idempotent, 1)), 1)
	r.wantSent(r.step(sec/50, outcome(1, 0, ConnectFailed)), 1)
	r.wantSent(r.step(sec/50, outcome(1, 1, ConnectFailed)))
	if a, b := r.endpoint(endpointID(1, 0)), r.endpoint(endpointID(1, 1)); !r.dispatcher.outageConfirmed(a) || !r.dispatcher.outageConfirmed(b) {
		t.Error("two endpoints of one destination failed and the outage is not confirmed")
	}
}

// Refused calls may count against the limit. If many dispatchers retried independently, they would keep the limit used up.
func TestRetriesAfterRefusalsStayWithinTheOwnDemand(t *testing.T) {
	const n = 50
	sends := 0
	for _, r := range newRunners(t, n, testSettings(), entry(1, 0, 0)) {
		next := []Event{r.arrival(idempotent, 1)}
		for end := r.now + 15*sec; r.now < end; {
			events := next
			next = nil
			for _, id := range sentMessages(r.step(sec/20, events...)) {
				sends++
				next = append(next, refusal(id, r.dispatcher.messages[id].attempts-1, 0))
			}
		}
	}
	if sends < n || sends > 2*n {
		t.Errorf("%d attempts for %d messages in 15 s, all refused", sends, n)
	}
}

// Where calls after refusals mostly succeed, a queued message is sent again within a few target times.
func TestHeldMessagesGoAgainWhereRetriesGoWell(t *testing.T) {
	for _, c := range []struct {
		retrySuccess float64
		most         Time
	}{{1, 8 * sec}, {0.05, 0}} {
		served := 0
		for _, r := range newRunners(t, 20, testSettings(), entry(1, 0, 0)) {
			r.dispatcher.kinds[0].retrySuccess = c.retrySuccess
			r.wantSent(r.step(0, r.arrival(idempotent, 1)), 1)
			r.step(sec/10, refusal(1, 0, 0))
			if got := sentMessages(r.runFor(8 * sec)); len(got) > 0 {
				served++
			}
		}
		if c.retrySuccess == 1 && served < 15 || c.retrySuccess < 1 && served > 14 {
			t.Errorf("retry success %v: %d of 20 messages were sent again within 8 s", c.retrySuccess, served)
		}
	}
}

// A lost answer is no outage: the next call is sent at once and there is no ramp. Frequent lost answers shorten the silence
// timeout.
func TestLostAnswersAreLearned(t *testing.T) {
	r := newRunner(t, testSettings(), entry(1, 0, 0))
	for range 20 {
		r.wantSent(r.step(sec/2, r.arrival(idempotent, 1)), r.lastID)
		r.step(sec/10, outcome(r.lastID, 0, OK))
	}
	before := r.dispatcher.silenceTimeout(r.dispatcher.destination(1))
	for range 6 {
		r.wantSent(r.step(sec/2, r.arrival(atMostOnce, 1)), r.lastID)
		lost := r.lastID
		r.runFor(sec)
		r.wantSent(r.step(0, r.arrival(idempotent, 1)), r.lastID)
		r.step(sec/10, outcome(r.lastID, 0, OK))
		r.step(0, outcome(lost, 0, Cancelled))
		if e := r.endpoint(endpointID(1, 0)); e.suspected || e.rampStart != 0 {
			t.Fatalf("suspected %v, ramp since %v after one lost answer", e.suspected, e.rampStart)
		}
	}
	if after := r.dispatcher.silenceTimeout(r.dispatcher.destination(1)); r.dispatcher.lossShare < 0.2 || after >= before {
		t.Errorf("share of lost answers %v, silence timeout %v and %v before", r.dispatcher.lossShare, after, before)
	}
}

// Where a limit applies and traffic is rare, shed messages fail and are not refused. Their clients would otherwise try other
// dispatchers, which know nothing about the limit.
func TestShedMessagesAreFailedWhereALimitIsFeltAndTrafficIsRare(t *testing.T) {
	for _, c := range []struct {
		allowance float64
		want      ActionKind
	}{{0.2, Fail}, {unlimitedAllowance, Refuse}} {
		settings := testSettings()
		settings.MaxOpen = 3
		r := newRunner(t, settings, entry(1, 0, 0))
		r.runFor(20 * sec)
		r.step(0, r.arrival(idempotent, 1))
		r.step(sec/10, refusal(1, 0, 10*sec))
		r.dispatcher.destination(1).limiter.allowance = c.allowance
		actions := append(r.step(sec/10, r.arrival(idempotent, 1)), r.step(sec/10, r.arrival(idempotent, 1))...)
		if len(actions) != 1 || actions[0].Kind != c.want {
			t.Errorf("allowance %v: %+v, want one action of kind %d", c.allowance, actions, c.want)
		}
	}
}

// With two slots, two hung destinations must not occupy both.
func TestTwoHungDestinationsDoNotHoldTwoSlots(t *testing.T) {
	settings := testSettings()
	settings.Slots = 2
	r := newRunner(t, settings, entry(1, 0, 0), entry(2, 0, 0), entry(3, 0, 0))
	r.wantSent(r.step(0, r.arrival(atMostOnce, 1)), 1)
	r.runFor(4 * sec)
	r.step(0, r.arrival(atMostOnce, 2))
	r.runFor(4 * sec)
	first, second := r.dispatcher.destination(1), r.dispatcher.destination(2)
	if !r.dispatcher.degraded(first) || !r.dispatcher.degraded(second) {
		t.Fatal("not both destinations count as degraded")
	}
	actions := r.step(0, r.arrival(idempotent, 3))
	want := r.lastID
	for range 150 {
		var ends []Event
		for _, a := range actions {
			if a.Kind == Cancel {
				ends = append(ends, outcome(a.Message, a.Attempt, Cancelled))
			}
			if a.Kind == Send && a.Message == want {
				return
			}
		}
		actions = r.step(sec/50, ends...)
	}
	t.Error("a message for a healthy destination still waits for a slot that hung ones occupy")
}

// State that is not needed any more is dropped: replaced endpoints, unlisted destinations and keys whose settle time is over.
func TestStateDoesNotGrow(t *testing.T) {
	r := newRunner(t, testSettings(), entry(1, 0, 0))
	for i := range 200 {
		replacement := entry(1, i+2, 0)
		otherDest := entry(100+i, 0, 0)
		r.step(0, Event{Kind: ListUpdate, ListKind: ListFull, Entries: []Entry{replacement, otherDest}})
		first, second, keyed := r.arrival(idempotent, 1), r.arrival(idempotent, 100+i), r.keyedArrival(uint64(1000+i))
		actions := r.step(sec/10, first, second, keyed)
		for _, id := range sentMessages(actions) {
			res := OK
			if id == keyed.Message {
				res = Reset
			}
			r.step(sec/50, outcome(id, 0, res))
		}
		r.step(sec/50, Event{Kind: Withdrawn, Message: keyed.Message}, outcome(keyed.Message, 1, OK))
		r.runFor(sec)
	}
	r.runFor(2 * housekeepingInterval)
	dispatcher := r.dispatcher
	if len(dispatcher.endpointByID) > 2 || len(dispatcher.destByNumber) > 2 || len(dispatcher.dests) > 2 || len(dispatcher.messages) > 0 || len(dispatcher.keys) > 0 || len(dispatcher.idleKeys) > 0 {
		t.Errorf("state left: %d endpoints, %d/%d destinations, %d messages, %d/%d keys",
			len(dispatcher.endpointByID), len(dispatcher.destByNumber), len(dispatcher.dests), len(dispatcher.messages), len(dispatcher.keys), len(dispatcher.idleKeys))
	}
}

// A key whose messages are all over is still blocked, and its next messages wait. A wait outlives the endpoints that asked for it.
func TestKeyRestAndRetryAfterOutliveTheirMessages(t *testing.T) {
	settings := testSettings()
	settings.SettleTime = 30 * sec
	r := newRunner(t, settings, entry(1, 0, 0))
	r.wantSent(r.step(0, r.keyedArrival(9)), 1)
	r.step(sec/10, Event{Kind: Withdrawn, Message: 1}, outcome(1, 0, Reset))
	r.runFor(2 * housekeepingInterval)
	event := r.keyedArrival(9)
	event.TimeLeft = 40 * sec
	r.wantSent(append(r.step(0, event), r.runFor(9*sec)...))
	if got := sentMessages(r.runFor(2 * sec)); len(got) != 1 {
		t.Errorf("sent %v after the settle time, want one message", got)
	}
	r.step(0, outcome(2, 0, OK))
	r.wantSent(r.step(sec, r.arrival(idempotent, 1)), 3)
	gone := entry(1, 0, 0)
	gone.Health = Gone
	r.step(sec/10, refusal(3, 0, 60*sec), Event{Kind: ListUpdate, Entries: []Entry{gone}})
	r.runFor(30 * sec)
	r.wantSent(append(r.step(0, Event{Kind: ListUpdate, Entries: []Entry{entry(1, 1, 0)}}, r.arrival(idempotent, 1)), r.runFor(10*sec)...))
}

// Log lines are at least housekeepingInterval apart.
func TestLogLinesAreRateLimited(t *testing.T) {
	r := newRunner(t, testSettings(), entry(1, 0, 0))
	lines := 0
	for range 40 {
		r.dispatcher.startSlowStart(r.endpoint(endpointID(1, 0)), r.now)
		r.now += sec / 2
		for _, a := range r.dispatcher.Step(r.now, nil, nil) {
			if a.Kind == Log {
				lines++
			}
		}
	}
	if lines > 3 {
		t.Errorf("%d log lines in 20 s", lines)
	}
}

// An observed outage of a destination is remembered after the failed endpoint leaves the list. When it was forgotten, hundreds
// of dispatchers tried the other endpoint at the same moment.
func TestOutageOutlivesTheEndpointsThatShowedIt(t *testing.T) {
	r := newRunner(t, testSettings(), entry(1, 0, 0), entry(1, 1, 0))
	r.runFor(20 * sec)
	r.wantSent(r.step(0, r.arrival(idempotent, 1)), 1)
	actions := r.step(sec/50, outcome(1, 0, ConnectFailed))
	r.wantSent(actions, 1)
	gone := entry(1, int(actions[0].Endpoint)%10, 0)
	gone.Health = Gone
	r.step(sec/50, outcome(1, 1, ConnectFailed), Event{Kind: ListUpdate, Entries: []Entry{gone}})
	r.runFor(2 * housekeepingInterval)
	left := r.dispatcher.destination(1).endpoints
	if len(left) != 1 || !r.dispatcher.outageConfirmed(left[0]) {
		t.Fatalf("%d endpoints left, want one with a confirmed outage", len(left))
	}
	r.step(0, Event{Kind: ListUpdate, Entries: []Entry{entry(1, 2, 0)}})
	if e := r.endpoint(endpointID(1, 2)); e.rampStart == 0 {
		t.Error("an endpoint that joins has no ramp")
	}
}

// A Target of 0 is a legal setting. Shares and waits stay finite, and messages are sent and answered.
func TestZeroTargetIsHarmless(t *testing.T) {
	settings := testSettings()
	for i := range settings.Classes {
		settings.Classes[i].Target = 0
	}
	r := newRunner(t, settings, entry(1, 0, 0))
	r.wantSent(r.step(0, r.arrival(idempotent, 1)), 1)
	r.step(sec/10, refusal(1, 0, 0))
	limiter := r.dispatcher.destination(1).limiter
	if r.runFor(5 * sec); limiter.tokens != limiter.tokens || limiter.waitUntil > r.now+maxBackoff {
		t.Errorf("tokens %v, wait until %v at %v", limiter.tokens, limiter.waitUntil, r.now)
	}
	if d := r.dispatcher; !(d.minTarget > 0) {
		t.Errorf("minTarget is %v", d.minTarget)
	}
}

// State does not grow over many cycles of replaced endpoints, failed lists and hints.
func TestStateDoesNotGrowWithHintsAndFailedLists(t *testing.T) {
	settings := gossipSettings()
	settings.PullList, settings.PullInterval = true, 10*sec
	r := newRunner(t, settings, entry(1, 0, 2))
	for i := range 200 {
		hint := hintID(endpointID(1, i+2))
		r.step(sec/10, Event{Kind: ListUpdate, ListKind: ListFull, Entries: []Entry{entry(1, i+2, 2)}}, Event{Kind: ListUpdate, ListKind: ListFailed})
		m := r.arrival(idempotent, 1)
		r.step(sec/10, m, Event{Kind: GossipReceived, Payload: string([]byte{byte(i), byte(hint >> 16), byte(hint >> 8), byte(hint)})})
		r.runFor(sec)
		if r.dispatcher.messages[m.Message] != nil && r.dispatcher.messages[m.Message].call != nil {
			r.step(0, usedUpRefusal(m.Message, r.dispatcher.messages[m.Message].attempts-1, 0))
		}
		r.step(sec/10, Event{Kind: Withdrawn, Message: m.Message})
	}
	r.runFor(3 * housekeepingInterval)
	if d := r.dispatcher; len(d.endpointByHint) > 2 || len(d.endpointByID) > 2 || len(d.hints) > 0 || len(d.messages) > 0 || len(r.timers) > 40 {
		t.Errorf("state left: %d hint IDs, %d endpoints, %d bytes of hints, %d messages, %d timers",
			len(d.endpointByHint), len(d.endpointByID), len(d.hints), len(d.messages), len(r.timers))
	}
}

// A destination that refuses tells all dispatchers to wait until the same moment. Demand during the wait does not earn tokens.
// What the dispatchers send when the wait ends is a part of their demand and not a call each.
func TestAllWaitForTheSameMoment(t *testing.T) {
	const n = 60
	settings := testSettings()
	atOnce, soon := 0, 0
	for _, r := range newRunners(t, n, settings, entry(1, 0, 0)) {
		r.wantSent(r.step(0, r.arrival(idempotent, 1)), 1)
		waitEnd := r.now + 8*sec
		r.step(sec/50, refusal(1, 0, waitEnd-r.now-sec/50))
		for r.now < waitEnd-sec/2 {
			r.step(sec/2, r.arrival(idempotent, 1))
		}
		atOnce += len(sentMessages(r.runFor(waitEnd + sec/10 - r.now)))
		soon += len(sentMessages(r.runFor(2 * sec)))
	}
	// Each dispatcher has a demand of 2 messages a second, which is 120 in all. A cold destination can do about 0.2 of that. In
	// 0.1 s this makes 120 x 0.2 x 0.1 = 2.4 calls.
	if atOnce > n/6 {
		t.Errorf("%d calls of %d dispatchers in the tenth of a second after the wait", atOnce, n)
	}
	if soon < n/3 {
		t.Errorf("only %d calls of %d dispatchers in the next two seconds", soon, n)
	}
}
