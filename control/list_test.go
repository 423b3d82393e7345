package control

import (
	"slices"
	"testing"
)

// askRig starts a Dispatcher whose list comes only when asked for.
func askRig(t *testing.T, seed uint64) *rig {
	t.Helper()
	set := testSettings()
	set.PullList, set.PullInterval = true, 10*s
	d, err := New(set, seed)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, d: d, now: 1000 * s}
	r.at(0, Event{Kind: ListUpdate, ListKind: ListCached, Entries: []Entry{entry(1, 0, 0)}})
	return r
}

// asks plays rounds of 20 ms and tells when the list was asked for; each asking is answered by what answer makes.
func (r *rig) asks(span Time, answer func() Event) (at []Time, kinds []ActionKind) {
	var next []Event
	for end := r.now + span; r.now < end; {
		acts := r.at(20*Millisecond, next...)
		next = nil
		for _, a := range acts {
			if a.Kind == Watch || a.Kind == Fetch {
				at, kinds = append(at, r.now), append(kinds, a.Kind)
				next = append(next, answer())
			}
		}
	}
	return at, kinds
}

func listFailed() Event { return Event{Kind: ListUpdate, ListKind: ListFailed} }
func noChange() Event   { return Event{Kind: ListUpdate, ListKind: ListDelta} }

// A list that is only told when asked for was never asked for: drains went unheard.
func TestListIsAskedForInsideAskEvery(t *testing.T) {
	var first []Time
	for seed := range uint64(40) {
		r := askRig(t, seed+1)
		at, kinds := r.asks(40*s, noChange)
		if len(at) != 1 || kinds[0] != Watch || at[0] > 1006*s {
			t.Fatalf("asked %v at %v, want one Watch inside half of ask-every", kinds, at)
		}
		first = append(first, at[0])
	}
	slices.Sort(first)
	if spread := first[len(first)-5] - first[4]; spread < 2*s {
		t.Errorf("most of 40 that start together ask within %v us", spread)
	}
}

func TestPushedListIsNeverAskedFor(t *testing.T) {
	r := newRig(t, testSettings(), entry(1, 0, 0))
	if at, _ := r.asks(100*s, noChange); len(at) > 0 {
		t.Errorf("asked at %v", at)
	}
}

func TestFailedListIsAskedForAgainWithBackoff(t *testing.T) {
	r := askRig(t, 3)
	at, _ := r.asks(60*s, listFailed)
	if len(at) < 8 || len(at) > 25 {
		t.Fatalf("%d askings in a minute out of reach", len(at))
	}
	for i := 1; i < len(at); i++ {
		if gap := at[i] - at[i-1]; gap > 8*s || gap < s/4 {
			t.Errorf("gap of %v us between two askings", gap)
		}
	}
	if at, _ = r.asks(30*s, noChange); len(at) != 1 {
		t.Errorf("back in reach, asked at %v", at)
	}
	r.at(0, listFailed()) // the subscription broke
	if at, kinds := r.asks(5*s, noChange); len(at) != 1 || kinds[0] != Watch || at[0] > r.now-3*s {
		t.Errorf("after a break asked %v at %v", kinds, at)
	}
}

// No answer at all, and a subscription that died unseen: asked again, the whole list where it had been working.
func TestSilentListIsAskedForAgain(t *testing.T) {
	r := askRig(t, 3)
	at, _ := r.asks(20*s, func() Event { return Event{} })
	if len(at) < 2 {
		t.Errorf("a lost answer is waited for: %v", at)
	}
	r.at(0, noChange())
	if at, kinds := r.asks(80*s, noChange); len(at) != 1 || kinds[0] != Fetch {
		t.Errorf("a silent subscription: asked %v at %v, want one Fetch", kinds, at)
	}
}

// What is listed after a gap binds at once: a whole list without an endpoint tells that it is gone.
func TestGapsAndChangesOfAnAskedList(t *testing.T) {
	r := askRig(t, 3)
	r.want(r.at(0, r.msg(free, 1)), 1)
	r.at(s/10, done(1, 0, OK))
	r.at(s, Event{Kind: ListUpdate, ListKind: ListFull, Entries: []Entry{entry(1, 1, 0)}})
	acts := r.at(s/10, r.msg(free, 1))
	r.want(acts, 2)
	if acts[0].Endpoint != ep(1, 1) {
		t.Error("sent to an endpoint that the whole list left out")
	}
	drains := entry(1, 1, 0)
	drains.Health = Draining
	r.at(s/10, Event{Kind: ListUpdate, Entries: []Entry{drains}}, listFailed())
	r.want(r.at(s, r.msg(free, 1))) // a failure brings nothing back
}

// A destination that has said nothing for long is kept as a line of the list alone, and comes back without harm: its
// drains bind, its endpoints keep their destination. One that told to wait is kept in full until that is over.
func TestQuietDestinationsAreLinesOfTheList(t *testing.T) {
	r := newRig(t, testSettings(), entry(1, 0, 0), entry(1, 1, 0), entry(2, 0, 0))
	if len(r.d.dests) != 0 || len(r.d.idle) != 2 {
		t.Fatalf("%d destinations in full before anything was asked for", len(r.d.dests))
	}
	one, two := r.msg(free, 1), r.msg(free, 2)
	r.at(s/10, one, two)
	r.at(s/10, done(1, 0, OK), Event{Kind: Outcome, Message: 2, Endpoint: ep(2, 0), Result: LimitExceeded, RetryAfter: 2000 * s})
	if len(r.d.dests) != 2 {
		t.Fatalf("%d destinations in full, want 2", len(r.d.dests))
	}
	for range 4 {
		r.at(200 * s)
	}
	if r.d.byNo[1] != nil || r.d.byNo[2] == nil {
		t.Errorf("after 800 s: destination 1 in full %v, want not; 2, told to wait, %v, want so", r.d.byNo[1] != nil, r.d.byNo[2] != nil)
	}
	drained := entry(1, 0, 0)
	drained.Health = Draining
	moved := entry(2, 0, 0)
	moved.Dest = 1
	r.at(s/10, Event{Kind: ListUpdate, Entries: []Entry{drained, moved}})
	for _, a := range r.at(s/10, r.msg(free, 1)) {
		if a.Kind == Send && a.Endpoint != ep(1, 1) {
			t.Errorf("sent to %d: it drains, or is another destination's", a.Endpoint)
		}
	}
	r.at(s/10, done(3, 0, OK), Event{Kind: ListUpdate, ListKind: ListFull, Entries: []Entry{entry(2, 0, 0)}})
	for range 3 {
		r.at(200 * s)
	}
	if len(r.d.idle) != 0 || len(r.d.owner) != 0 || r.d.byNo[1] != nil {
		t.Errorf("gone endpoints are kept: %d idle, %d owned, destination 1 %v", len(r.d.idle), len(r.d.owner), r.d.byNo[1])
	}
}
