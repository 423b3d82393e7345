package control

import (
	"slices"
	"testing"
)

// newOutageRunner returns a runner for a dispatcher with TrackOutages and one destination with one endpoint.
func newOutageRunner(t *testing.T) *runner {
	settings := testSettings()
	settings.TrackOutages = true
	return newRunner(t, settings, entry(1, 0, 0))
}

// restart returns a runner for the next process, which gets the recorded outages.
func (r *runner) restart(recorded map[EndpointID]Outage, now Time) *runner {
	next := newOutageRunner(r.t)
	next.now = now
	events := []Event{{Kind: ListUpdate, ListKind: ListFull, Entries: []Entry{entry(1, 0, 0)}}}
	for _, o := range recorded {
		events = append(events, Event{Kind: OutageRestored, Outage: &o})
	}
	next.step(0, events...)
	return next
}

// recordOutages updates the recorded outages with what has changed.
func recordOutages(recorded map[EndpointID]Outage, changed []Outage) {
	for _, o := range changed {
		if o.Ended() {
			delete(recorded, o.Endpoint)
		} else {
			recorded[o.Endpoint] = o
		}
	}
}

// A dispatcher that restarts during an outage continues as one that has observed it. It makes single trials and starts a ramp
// when the endpoint returns.
func TestOutageOutlivesTheProcess(t *testing.T) {
	r := newOutageRunner(t)
	recorded := map[EndpointID]Outage{}
	r.runFor(20 * sec)
	r.wantSent(r.step(0, r.arrival(idempotent, 1)), 1)
	for n := range 3 {
		r.step(sec/50, outcome(1, n, ConnectFailed))
		recordOutages(recorded, r.dispatcher.Outages())
		for range 1000 {
			if len(sentMessages(r.step(sec/50))) > 0 {
				break
			}
		}
	}
	if o := recorded[endpointID(1, 0)]; !o.Suspected || o.Failures < 2 || !o.Unreachable {
		t.Fatalf("recorded %+v, want a confirmed outage of an unreachable endpoint", recorded)
	}
	for range 2 { // This restarts twice.
		r = r.restart(recorded, r.now+2*sec)
		var batch []Event
		for range 30 {
			batch = append(batch, r.arrival(idempotent, 1))
		}
		first := sentMessages(slices.Concat(r.step(0, batch...), r.runFor(sec)))
		if len(first) > 1 {
			t.Errorf("%d calls within a second to an endpoint that was down", len(first))
		}
		recordOutages(recorded, r.dispatcher.Outages())
	}
	if e := r.endpoint(endpointID(1, 0)); !e.suspected || !r.dispatcher.outageConfirmed(e) {
		t.Error("the outage is not confirmed after the restarts")
	}
	res := ConnectFailed
	// With some demand a trial comes soon. The first one fails and the second one succeeds.
	for n := 0; r.endpoint(endpointID(1, 0)).suspected && n < 2000; n++ {
		for _, id := range sentMessages(r.step(sec/20, r.arrival(idempotent, 1))) {
			r.step(sec/50, outcome(id, r.dispatcher.messages[id].attempts-1, res))
			res = OK
		}
	}
	recordOutages(recorded, r.dispatcher.Outages())
	if e := r.endpoint(endpointID(1, 0)); e.suspected || e.rampStart == 0 || recorded[endpointID(1, 0)].RampStart != e.rampStart {
		t.Errorf("after the return: suspected %v, ramp since %d, recorded %+v", e.suspected, e.rampStart, recorded)
	}
	rampStart := r.endpoint(endpointID(1, 0)).rampStart
	if r = r.restart(recorded, r.now+sec); r.endpoint(endpointID(1, 0)).rampStart != rampStart {
		t.Errorf("the ramp began at %d, but at %d in the next process", rampStart, r.endpoint(endpointID(1, 0)).rampStart)
	}
}

// Outages that are over are reported as ended. Otherwise the record would grow without bound.
func TestOutagesEnd(t *testing.T) {
	r := newOutageRunner(t)
	recorded := map[EndpointID]Outage{}
	r.runFor(20 * sec)
	for n := range 200 {
		r.step(sec/2, r.arrival(idempotent, 1))
		for _, m := range r.dispatcher.messages {
			if m.call == nil {
				continue
			}
			res := OK
			if n < 8 {
				res = ConnectFailed
			}
			r.step(sec/50, outcome(m.id, m.attempts-1, res))
		}
		recordOutages(recorded, r.dispatcher.Outages())
	}
	if len(recorded) != 0 {
		t.Errorf("outages left: %+v", recorded)
	}
}

// The outage of an endpoint that leaves the list is reported as ended. A restored outage of an endpoint that is not listed is
// ignored.
func TestOutageOfAGoneEndpointEnds(t *testing.T) {
	r := newOutageRunner(t)
	recorded := map[EndpointID]Outage{}
	r.runFor(20 * sec)
	r.wantSent(r.step(0, r.arrival(idempotent, 1)), 1)
	r.step(sec/50, outcome(1, 0, ConnectFailed))
	recordOutages(recorded, r.dispatcher.Outages())
	gone := entry(1, 0, 0)
	gone.Health = Gone
	r.step(0, Event{Kind: ListUpdate, Entries: []Entry{gone}}, Event{Kind: OutageRestored, Outage: &Outage{Endpoint: 99, Dest: 7, Suspected: true}})
	for range 100 {
		r.step(sec)
		recordOutages(recorded, r.dispatcher.Outages())
	}
	if len(recorded) != 0 {
		t.Errorf("outages left: %+v", recorded)
	}
}
