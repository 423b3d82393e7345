package control

import (
	"slices"
	"testing"
)

// newPullRunner returns a runner for a Dispatcher that has to request the endpoint list.
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

// listRequests runs rounds of 20 ms and returns when the list was requested and by which actions. Each request gets the event
// that answer returns.
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

// listFailed returns the answer to a list request that failed.
func listFailed() Event { return Event{Kind: ListUpdate, ListKind: ListFailed} }

// emptyListDelta returns an answer to a list request without changes.
func emptyListDelta() Event { return Event{Kind: ListUpdate, ListKind: ListDelta} }

// A list that is not pushed must be requested. A dispatcher that never did so missed that endpoints were draining.
func TestListIsRequestedWithinPullInterval(t *testing.T) {
	var first []Time
	for seed := range uint64(40) {
		r := newPullRunner(t, seed+1)
		at, kinds := r.listRequests(40*sec, emptyListDelta)
		if len(at) != 1 || kinds[0] != Watch || at[0] > 1006*sec {
			t.Fatalf("requests %v at %v, want one Watch within half of PullInterval", kinds, at)
		}
		first = append(first, at[0])
	}
	slices.Sort(first)
	if spread := first[len(first)-5] - first[4]; spread < 2*sec {
		t.Errorf("most of 40 dispatchers that start together send their requests within %v us", spread)
	}
}

// A list that is pushed is never requested.
func TestPushedListIsNeverRequested(t *testing.T) {
	r := newRunner(t, testSettings(), entry(1, 0, 0))
	if at, _ := r.listRequests(100*sec, emptyListDelta); len(at) > 0 {
		t.Errorf("requests at %v", at)
	}
}

// Requests that fail are repeated with a backoff. After a success there is one subscription, and a subscription that breaks is
// renewed.
func TestFailedListRequestBacksOff(t *testing.T) {
	r := newPullRunner(t, 3)
	at, _ := r.listRequests(60*sec, listFailed)
	if len(at) < 8 || len(at) > 25 {
		t.Fatalf("%d requests in a minute of failures", len(at))
	}
	for i := 1; i < len(at); i++ {
		if gap := at[i] - at[i-1]; gap > 8*sec || gap < sec/4 {
			t.Errorf("gap of %v us between two requests", gap)
		}
	}
	if at, _ = r.listRequests(30*sec, emptyListDelta); len(at) != 1 {
		t.Errorf("requests at %v after discovery answers again, want one", at)
	}
	r.step(0, listFailed()) // The subscription broke.
	if at, kinds := r.listRequests(5*sec, emptyListDelta); len(at) != 1 || kinds[0] != Watch || at[0] > r.now-3*sec {
		t.Errorf("requests %v at %v after the subscription broke, want one Watch", kinds, at)
	}
}

// A request without an answer is repeated. If a working subscription goes silent, the whole list is fetched, as the subscription
// may have broken without a sign.
func TestSilentListIsRequestedAgain(t *testing.T) {
	r := newPullRunner(t, 3)
	at, _ := r.listRequests(20*sec, func() Event { return Event{} })
	if len(at) < 2 {
		t.Errorf("requests at %v, want a repeat as no answer came", at)
	}
	r.step(0, emptyListDelta())
	if at, kinds := r.listRequests(80*sec, emptyListDelta); len(at) != 1 || kinds[0] != Fetch {
		t.Errorf("requests %v at %v after a silent subscription, want one Fetch", kinds, at)
	}
}

// Changes of the list apply at once, also after a gap. An endpoint that a whole list does not contain is gone.
func TestChangesOfAPulledListApplyAtOnce(t *testing.T) {
	r := newPullRunner(t, 3)
	r.wantSent(r.step(0, r.arrival(idempotent, 1)), 1)
	r.step(sec/10, outcome(1, 0, OK))
	r.step(sec, Event{Kind: ListUpdate, ListKind: ListFull, Entries: []Entry{entry(1, 1, 0)}})
	actions := r.step(sec/10, r.arrival(idempotent, 1))
	r.wantSent(actions, 2)
	if actions[0].Endpoint != endpointID(1, 1) {
		t.Error("sent to an endpoint that the whole list does not contain")
	}
	drains := entry(1, 1, 0)
	drains.Health = Draining
	r.step(sec/10, Event{Kind: ListUpdate, Entries: []Entry{drains}}, listFailed())
	r.wantSent(r.step(sec, r.arrival(idempotent, 1))) // A failed list does not make the draining endpoint ready again.
}

// A destination without messages for long is reduced to its list entries and created from them again when a message comes.
// Endpoints that are listed as draining meanwhile get no calls, and each endpoint stays with its destination. A destination that
// asked for a wait is kept in full until the wait is over.
func TestQuietDestinationsKeepOnlyListEntries(t *testing.T) {
	r := newRunner(t, testSettings(), entry(1, 0, 0), entry(1, 1, 0), entry(2, 0, 0))
	if len(r.dispatcher.dests) != 0 || len(r.dispatcher.unusedEntries) != 2 {
		t.Fatalf("%d destinations held in full before the first message", len(r.dispatcher.dests))
	}
	first, second := r.arrival(idempotent, 1), r.arrival(idempotent, 2)
	r.step(sec/10, first, second)
	r.step(sec/10, outcome(1, 0, OK), Event{Kind: Outcome, Message: 2, Endpoint: endpointID(2, 0), Result: LimitExceeded, RetryAfter: 2000 * sec})
	if len(r.dispatcher.dests) != 2 {
		t.Fatalf("%d destinations held in full, want 2", len(r.dispatcher.dests))
	}
	for range 4 {
		r.step(200 * sec)
	}
	if r.dispatcher.destByNumber[1] != nil || r.dispatcher.destByNumber[2] == nil {
		t.Errorf("after 800 s: destination 1 held in full %v, want false; destination 2, which asked for a wait, %v, want true", r.dispatcher.destByNumber[1] != nil, r.dispatcher.destByNumber[2] != nil)
	}
	drained := entry(1, 0, 0)
	drained.Health = Draining
	moved := entry(2, 0, 0)
	moved.Dest = 1
	r.step(sec/10, Event{Kind: ListUpdate, Entries: []Entry{drained, moved}})
	for _, a := range r.step(sec/10, r.arrival(idempotent, 1)) {
		if a.Kind == Send && a.Endpoint != endpointID(1, 1) {
			t.Errorf("sent to endpoint %d, which is draining or belongs to another destination", a.Endpoint)
		}
	}
	r.step(sec/10, outcome(3, 0, OK), Event{Kind: ListUpdate, ListKind: ListFull, Entries: []Entry{entry(2, 0, 0)}})
	for range 3 {
		r.step(200 * sec)
	}
	if len(r.dispatcher.unusedEntries) != 0 || len(r.dispatcher.unusedOwner) != 0 || r.dispatcher.destByNumber[1] != nil {
		t.Errorf("gone endpoints are kept: %d destinations with unused entries, %d owners of entries, destination 1 %v", len(r.dispatcher.unusedEntries), len(r.dispatcher.unusedOwner), r.dispatcher.destByNumber[1])
	}
}
