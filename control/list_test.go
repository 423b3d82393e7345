package control

import (
	"slices"
	"testing"
)

// newPullRunner starts a Dispatcher whose list comes only when asked for.
func newPullRunner(t *testing.T, seed uint64) *runner {
	t.Helper()
	settings := testSettings()
	settings.PullList, settings.PullInterval = true, 10*sec
	dispatcher, err := New(settings, seed)
	if err != nil {
		t.Fatal(err)
	}
	r := &runner{t: t, dispatcher: dispatcher, now: 1000 * sec}
	r.step(0, Event{Kind: ListUpdate, ListKind: ListCached, Entries: []Entry{entry(1, 0, 0)}})
	return r
}

// listRequests plays rounds of 20 ms and tells when the list was asked for; each asking is answered by what answer makes.
func (r *runner) listRequests(span Time, answer func() Event) (at []Time, kinds []ActionKind) {
	var next []Event
	for end := r.now + span; r.now < end; {
		actions := r.step(20*Millisecond, next...)
		next = nil
		for _, a := range actions {
			if a.Kind == Watch || a.Kind == Fetch {
				at, kinds = append(at, r.now), append(kinds, a.Kind)
				next = append(next, answer())
			}
		}
	}
	return at, kinds
}

func listFailed() Event     { return Event{Kind: ListUpdate, ListKind: ListFailed} }
func emptyListDelta() Event { return Event{Kind: ListUpdate, ListKind: ListDelta} }

// A list that is only told when asked for was never asked for: drains went unheard.
func TestListIsRequestedWithinPullInterval(t *testing.T) {
	var first []Time
	for seed := range uint64(40) {
		r := newPullRunner(t, seed+1)
		at, kinds := r.listRequests(40*sec, emptyListDelta)
		if len(at) != 1 || kinds[0] != Watch || at[0] > 1006*sec {
			t.Fatalf("asked %v at %v, want one Watch inside half of ask-every", kinds, at)
		}
		first = append(first, at[0])
	}
	slices.Sort(first)
	if spread := first[len(first)-5] - first[4]; spread < 2*sec {
		t.Errorf("most of 40 that start together ask within %v us", spread)
	}
}

func TestPushedListIsNeverRequested(t *testing.T) {
	r := newRunner(t, testSettings(), entry(1, 0, 0))
	if at, _ := r.listRequests(100*sec, emptyListDelta); len(at) > 0 {
		t.Errorf("asked at %v", at)
	}
}

func TestFailedListRequestBacksOff(t *testing.T) {
	r := newPullRunner(t, 3)
	at, _ := r.listRequests(60*sec, listFailed)
	if len(at) < 8 || len(at) > 25 {
		t.Fatalf("%d askings in a minute out of reach", len(at))
	}
	for i := 1; i < len(at); i++ {
		if gap := at[i] - at[i-1]; gap > 8*sec || gap < sec/4 {
			t.Errorf("gap of %v us between two askings", gap)
		}
	}
	if at, _ = r.listRequests(30*sec, emptyListDelta); len(at) != 1 {
		t.Errorf("back in reach, asked at %v", at)
	}
	r.step(0, listFailed()) // the subscription broke
	if at, kinds := r.listRequests(5*sec, emptyListDelta); len(at) != 1 || kinds[0] != Watch || at[0] > r.now-3*sec {
		t.Errorf("after a break asked %v at %v", kinds, at)
	}
}

// No answer at all, and a subscription that died unseen: asked again, the whole list where it had been working.
func TestSilentListIsRequestedAgain(t *testing.T) {
	r := newPullRunner(t, 3)
	at, _ := r.listRequests(20*sec, func() Event { return Event{} })
	if len(at) < 2 {
		t.Errorf("a lost answer is waited for: %v", at)
	}
	r.step(0, emptyListDelta())
	if at, kinds := r.listRequests(80*sec, emptyListDelta); len(at) != 1 || kinds[0] != Fetch {
		t.Errorf("a silent subscription: asked %v at %v, want one Fetch", kinds, at)
	}
}

// What is listed after a gap binds at once: a whole list without an endpoint tells that it is gone.
func TestChangesOfAPulledListApplyAtOnce(t *testing.T) {
	r := newPullRunner(t, 3)
	r.wantSent(r.step(0, r.arrival(idempotent, 1)), 1)
	r.step(sec/10, outcome(1, 0, OK))
	r.step(sec, Event{Kind: ListUpdate, ListKind: ListFull, Entries: []Entry{entry(1, 1, 0)}})
	actions := r.step(sec/10, r.arrival(idempotent, 1))
	r.wantSent(actions, 2)
	if actions[0].Endpoint != endpointID(1, 1) {
		t.Error("sent to an endpoint that the whole list left out")
	}
	drains := entry(1, 1, 0)
	drains.Health = Draining
	r.step(sec/10, Event{Kind: ListUpdate, Entries: []Entry{drains}}, listFailed())
	r.wantSent(r.step(sec, r.arrival(idempotent, 1))) // a failure brings nothing back
}

// A destination that has said nothing for long is kept as a line of the list alone, and comes back without harm: its
// drains bind, its endpoints keep their destination. One that told to wait is kept in full until that is over.
func TestQuietDestinationsKeepOnlyListEntries(t *testing.T) {
	r := newRunner(t, testSettings(), entry(1, 0, 0), entry(1, 1, 0), entry(2, 0, 0))
	if len(r.dispatcher.dests) != 0 || len(r.dispatcher.unusedEntries) != 2 {
		t.Fatalf("%d destinations in full before anything was asked for", len(r.dispatcher.dests))
	}
	first, second := r.arrival(idempotent, 1), r.arrival(idempotent, 2)
	r.step(sec/10, first, second)
	r.step(sec/10, outcome(1, 0, OK), Event{Kind: Outcome, Message: 2, Endpoint: endpointID(2, 0), Result: LimitExceeded, RetryAfter: 2000 * sec})
	if len(r.dispatcher.dests) != 2 {
		t.Fatalf("%d destinations in full, want 2", len(r.dispatcher.dests))
	}
	for range 4 {
		r.step(200 * sec)
	}
	if r.dispatcher.destByNumber[1] != nil || r.dispatcher.destByNumber[2] == nil {
		t.Errorf("after 800 s: destination 1 in full %v, want not; 2, told to wait, %v, want so", r.dispatcher.destByNumber[1] != nil, r.dispatcher.destByNumber[2] != nil)
	}
	drained := entry(1, 0, 0)
	drained.Health = Draining
	moved := entry(2, 0, 0)
	moved.Dest = 1
	r.step(sec/10, Event{Kind: ListUpdate, Entries: []Entry{drained, moved}})
	for _, a := range r.step(sec/10, r.arrival(idempotent, 1)) {
		if a.Kind == Send && a.Endpoint != endpointID(1, 1) {
			t.Errorf("sent to %d: it drains, or is another destination's", a.Endpoint)
		}
	}
	r.step(sec/10, outcome(3, 0, OK), Event{Kind: ListUpdate, ListKind: ListFull, Entries: []Entry{entry(2, 0, 0)}})
	for range 3 {
		r.step(200 * sec)
	}
	if len(r.dispatcher.unusedEntries) != 0 || len(r.dispatcher.unusedOwner) != 0 || r.dispatcher.destByNumber[1] != nil {
		t.Errorf("gone endpoints are kept: %d idle, %d owned, destination 1 %v", len(r.dispatcher.unusedEntries), len(r.dispatcher.unusedOwner), r.dispatcher.destByNumber[1])
	}
}
