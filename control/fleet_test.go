package control

import (
	"testing"
)

// fleet makes dispatchers that differ only in their seeds, each told of the same endpoints.
func fleet(t *testing.T, n int, set Settings, entries ...Entry) []*rig {
	t.Helper()
	set.Instances = n
	rigs := make([]*rig, n)
	for i := range rigs {
		r := newRig(t, set, entries...)
		r.d.rng += uint64(i) * 2862933555777941757
		r.wait(20 * s) // the memory of the demand is filled
		rigs[i] = r
	}
	return rigs
}

// Each of many senders with one held message saw two failed connections: what they try alone must add up to
// a part of their demand, not to a trial each.
func TestTrialsOfManySendersAddUpToAPartOfTheDemand(t *testing.T) {
	const n = 60
	sends := 0
	for _, r := range fleet(t, n, testSettings(), entry(1, 0, 0)) {
		r.want(r.at(0, r.msg(free, 1)), 1)
		again := sent(append(r.at(s/50, done(1, 0, ConnectFailed)), r.wait(4*s)...))
		if len(again) != 1 {
			t.Fatalf("%d tries to make sure, want one", len(again))
		}
		sends += len(sent(append(r.at(s/50, done(1, 1, ConnectFailed)), r.wait(2*s)...)))
	}
	if sends > n/4 {
		t.Errorf("%d trials of %d senders in two seconds", sends, n)
	}
	if sends == 0 {
		t.Error("nobody tries")
	}
}

// An outage mostly takes all endpoints of a destination: the second to fail makes sure, and neither is tried on.
func TestFailingEndpointsBearEachOtherOut(t *testing.T) {
	r := newRig(t, testSettings(), entry(1, 0, 0), entry(1, 1, 0))
	r.wait(20 * s)
	r.want(r.at(0, r.msg(free, 1)), 1)
	r.want(r.at(s/50, done(1, 0, ConnectFailed)), 1)
	r.want(r.at(s/50, done(1, 1, ConnectFailed)))
	if a, b := r.ep(ep(1, 0)), r.ep(ep(1, 1)); !r.d.sure(a) || !r.d.sure(b) {
		t.Error("two endpoints of one destination failed and the outage is not taken as sure")
	}
}

// Where refused calls use up the limit, many senders retrying on their own would keep it at nothing for good.
func TestRetriesAfterRefusalsStayWithinTheOwnDemand(t *testing.T) {
	const n = 50
	sends := 0
	for _, r := range fleet(t, n, testSettings(), entry(1, 0, 0)) {
		next := []Event{r.msg(free, 1)}
		for end := r.now + 15*s; r.now < end; {
			events := next
			next = nil
			for _, id := range sent(r.at(s/20, events...)) {
				sends++
				next = append(next, full(id, r.d.msgs[id].tries-1, 0))
			}
		}
	}
	if sends < n || sends > 2*n {
		t.Errorf("%d attempts for %d messages in 15 s, all refused", sends, n)
	}
}

// Where calls after refusals mostly go well, a held message has its turn again within some aims.
func TestHeldMessagesGoAgainWhereRetriesGoWell(t *testing.T) {
	for _, c := range []struct {
		again float64
		most  Time
	}{{1, 8 * s}, {0.05, 0}} {
		served := 0
		for _, r := range fleet(t, 20, testSettings(), entry(1, 0, 0)) {
			r.d.kinds[0].again = c.again
			r.want(r.at(0, r.msg(free, 1)), 1)
			r.at(s/10, full(1, 0, 0))
			if got := sent(r.wait(8 * s)); len(got) > 0 {
				served++
			}
		}
		if c.again == 1 && served < 15 || c.again < 1 && served > 14 {
			t.Errorf("record %v: %d of 20 went again within 8 s", c.again, served)
		}
	}
}

// A lost answer is no outage: the next call at once, no ramp, and silence is borne for less time from then on.
func TestLostAnswersAreLearned(t *testing.T) {
	r := newRig(t, testSettings(), entry(1, 0, 0))
	for range 20 {
		r.want(r.at(s/2, r.msg(free, 1)), r.id)
		r.at(s/10, done(r.id, 0, OK))
	}
	before := r.d.silence(r.d.dest(1))
	for range 6 {
		r.want(r.at(s/2, r.msg(single, 1)), r.id)
		lost := r.id
		r.wait(s)
		r.want(r.at(0, r.msg(free, 1)), r.id)
		r.at(s/10, done(r.id, 0, OK))
		r.at(0, done(lost, 0, Cancelled))
		if e := r.ep(ep(1, 0)); e.suspect || e.coldAt != 0 {
			t.Fatalf("suspect %v, cold since %v after one lost answer", e.suspect, e.coldAt)
		}
	}
	if after := r.d.silence(r.d.dest(1)); r.d.lost < 0.2 || after >= before {
		t.Errorf("share of lost answers %v, silence borne %v and %v before", r.d.lost, after, before)
	}
}

// Clients of a sender with rare traffic would come again at others that know nothing of a limit.
func TestShedMessagesAreFailedWhereALimitIsFeltAndTrafficIsRare(t *testing.T) {
	for _, c := range []struct {
		allow float64
		want  ActionKind
	}{{0.2, Fail}, {unfelt, Refuse}} {
		set := testSettings()
		set.MaxOpen = 3
		r := newRig(t, set, entry(1, 0, 0))
		r.wait(20 * s)
		r.at(0, r.msg(free, 1))
		r.at(s/10, full(1, 0, 10*s))
		r.d.dest(1).pace.allow = c.allow
		acts := append(r.at(s/10, r.msg(free, 1)), r.at(s/10, r.msg(free, 1))...)
		if len(acts) != 1 || acts[0].Kind != c.want {
			t.Errorf("allowed share %v: %+v, want a single action %d", c.allow, acts, c.want)
		}
	}
}

// Two slots, two hung destinations: they must not hold both.
func TestTwoHungDestinationsDoNotHoldTwoSlots(t *testing.T) {
	set := testSettings()
	set.Slots = 2
	r := newRig(t, set, entry(1, 0, 0), entry(2, 0, 0), entry(3, 0, 0))
	r.want(r.at(0, r.msg(single, 1)), 1)
	r.wait(4 * s)
	r.at(0, r.msg(single, 2))
	r.wait(4 * s)
	one, two := r.d.dest(1), r.d.dest(2)
	if !r.d.sick(one) || !r.d.sick(two) {
		t.Fatal("not both are taken as hung")
	}
	acts := r.at(0, r.msg(free, 3))
	want := r.id
	for range 150 {
		var ends []Event
		for _, a := range acts {
			if a.Kind == Cancel {
				ends = append(ends, done(a.Message, a.Attempt, Cancelled))
			}
			if a.Kind == Send && a.Message == want {
				return
			}
		}
		acts = r.at(s/50, ends...)
	}
	t.Error("a message for a well destination waits for a slot held by hung ones")
}

// What is of no more use goes: endpoints replaced, destinations unlisted, keys that rested.
func TestStateDoesNotGrow(t *testing.T) {
	r := newRig(t, testSettings(), entry(1, 0, 0))
	for i := range 200 {
		e := entry(1, i+2, 0)
		o := entry(100+i, 0, 0)
		r.at(0, Event{Kind: ListUpdate, ListKind: ListFull, Entries: []Entry{e, o}})
		m, n, k := r.msg(free, 1), r.msg(free, 100+i), r.keyed(uint64(1000+i))
		acts := r.at(s/10, m, n, k)
		for _, id := range sent(acts) {
			res := OK
			if id == k.Message {
				res = Reset
			}
			r.at(s/50, done(id, 0, res))
		}
		r.at(s/50, Event{Kind: Withdrawn, Message: k.Message}, done(k.Message, 1, OK))
		r.wait(s)
	}
	r.wait(2 * seldom)
	d := r.d
	if len(d.byID) > 2 || len(d.byNo) > 2 || len(d.dests) > 2 || len(d.msgs) > 0 || len(d.keys) > 0 || len(d.resting) > 0 {
		t.Errorf("left: %d endpoints, %d/%d destinations, %d messages, %d/%d keys",
			len(d.byID), len(d.byNo), len(d.dests), len(d.msgs), len(d.keys), len(d.resting))
	}
}

// A key whose messages have all ended still rests, and those to come wait; a told wait outlives its endpoints.
func TestRestAndWaitOutliveTheirMessages(t *testing.T) {
	set := testSettings()
	set.SettleTime = 30 * s
	r := newRig(t, set, entry(1, 0, 0))
	r.want(r.at(0, r.keyed(9)), 1)
	r.at(s/10, Event{Kind: Withdrawn, Message: 1}, done(1, 0, Reset))
	r.wait(2 * seldom)
	e := r.keyed(9)
	e.TimeLeft = 40 * s
	r.want(append(r.at(0, e), r.wait(9*s)...))
	if got := sent(r.wait(2 * s)); len(got) != 1 {
		t.Errorf("after the rest sent %v", got)
	}
	r.at(0, done(2, 0, OK))
	r.want(r.at(s, r.msg(free, 1)), 3)
	gone := entry(1, 0, 0)
	gone.Health = Gone
	r.at(s/10, full(3, 0, 60*s), Event{Kind: ListUpdate, Entries: []Entry{gone}})
	r.wait(30 * s)
	r.want(append(r.at(0, Event{Kind: ListUpdate, Entries: []Entry{entry(1, 1, 0)}}, r.msg(free, 1)), r.wait(10*s)...))
}

func TestNotesAreRare(t *testing.T) {
	r := newRig(t, testSettings(), entry(1, 0, 0))
	notes := 0
	for range 40 {
		r.d.chill(r.ep(ep(1, 0)), r.now)
		r.now += s / 2
		for _, a := range r.d.Step(r.now, nil, nil) {
			if a.Kind == Log {
				notes++
			}
		}
	}
	if notes > 3 {
		t.Errorf("%d notes in 20 s", notes)
	}
}

// A failed endpoint that leaves the list takes nothing of what is known with it: hundreds of senders once tried
// its sibling at the same moment, when the gone one was forgotten.
func TestOutageOutlivesTheEndpointsThatShowedIt(t *testing.T) {
	r := newRig(t, testSettings(), entry(1, 0, 0), entry(1, 1, 0))
	r.wait(20 * s)
	r.want(r.at(0, r.msg(free, 1)), 1)
	acts := r.at(s/50, done(1, 0, ConnectFailed))
	r.want(acts, 1)
	gone := entry(1, int(acts[0].Endpoint)%10, 0)
	gone.Health = Gone
	r.at(s/50, done(1, 1, ConnectFailed), Event{Kind: ListUpdate, Entries: []Entry{gone}})
	r.wait(2 * seldom)
	left := r.d.dest(1).eps
	if len(left) != 1 || !r.d.sure(left[0]) {
		t.Fatalf("%d endpoints left, the outage is forgotten", len(left))
	}
	r.at(0, Event{Kind: ListUpdate, Entries: []Entry{entry(1, 2, 0)}})
	if e := r.ep(ep(1, 2)); e.coldAt == 0 {
		t.Error("an endpoint that joins does not start cold")
	}
}

// Aims of nothing are legal settings: shares and waits stay finite, and messages are sent and answered.
func TestAimOfNothingIsHarmless(t *testing.T) {
	set := testSettings()
	for i := range set.Classes {
		set.Classes[i].Target = 0
	}
	r := newRig(t, set, entry(1, 0, 0))
	r.want(r.at(0, r.msg(free, 1)), 1)
	r.at(s/10, full(1, 0, 0))
	p := r.d.dest(1).pace
	if r.wait(5 * s); p.tokens != p.tokens || p.wait > r.now+backoffMost {
		t.Errorf("tokens %v, wait until %v at %v", p.tokens, p.wait, r.now)
	}
	if d := r.d; !(d.aim > 0) {
		t.Errorf("aim %v", d.aim)
	}
}

// Replaced endpoints, failed lists and notes, over many cycles: nothing is kept of them.
func TestStateDoesNotGrowWithNotesAndFailedLists(t *testing.T) {
	set := peers()
	set.PullList, set.PullInterval = true, 10*s
	r := newRig(t, set, entry(1, 0, 2))
	for i := range 200 {
		n := hintName(ep(1, i+2))
		r.at(s/10, Event{Kind: ListUpdate, ListKind: ListFull, Entries: []Entry{entry(1, i+2, 2)}}, Event{Kind: ListUpdate, ListKind: ListFailed})
		m := r.msg(free, 1)
		r.at(s/10, m, Event{Kind: GossipReceived, Payload: string([]byte{byte(i), byte(n >> 16), byte(n >> 8), byte(n)})})
		r.wait(s)
		if r.d.msgs[m.Message] != nil && r.d.msgs[m.Message].out != nil {
			r.at(0, usedUp(m.Message, r.d.msgs[m.Message].tries-1, 0))
		}
		r.at(s/10, Event{Kind: Withdrawn, Message: m.Message})
	}
	r.wait(3 * seldom)
	if d := r.d; len(d.byHint) > 2 || len(d.byID) > 2 || len(d.notes) > 0 || len(d.msgs) > 0 || len(r.timers) > 40 {
		t.Errorf("left: %d names, %d endpoints, %d bytes of notes, %d messages, %d timers",
			len(d.byHint), len(d.byID), len(d.notes), len(d.msgs), len(r.timers))
	}
}

// A destination that is shut tells all senders to wait for the same moment. Demand that comes meanwhile is not saved up for it:
// what they send at once then is a part of their demand, and not a call each.
func TestAllWaitForTheSameMoment(t *testing.T) {
	const n = 60
	set := testSettings()
	atOnce, soon := 0, 0
	for _, r := range fleet(t, n, set, entry(1, 0, 0)) {
		r.want(r.at(0, r.msg(free, 1)), 1)
		opens := r.now + 8*s
		r.at(s/50, full(1, 0, opens-r.now-s/50))
		for r.now < opens-s/2 {
			r.at(s/2, r.msg(free, 1))
		}
		atOnce += len(sent(r.wait(opens + s/10 - r.now)))
		soon += len(sent(r.wait(2 * s)))
	}
	// Each has a demand of two a second. Cold, a destination of that demand bears about 0.2 of it; 120 x 0.2 x 0.1 s are 2.4.
	if atOnce > n/6 {
		t.Errorf("%d of %d senders call in the tenth of a second in which a destination opens", atOnce, n)
	}
	if soon < n/3 {
		t.Errorf("only %d calls of %d senders in the next two seconds", soon, n)
	}
}
