package control

import (
	"slices"
	"testing"
)

// newOutageRunner makes a dispatcher that keeps what it knows of outages, of one destination with one endpoint.
func newOutageRunner(t *testing.T) *runner {
	settings := testSettings()
	settings.TrackOutages = true
	return newRunner(t, settings, entry(1, 0, 0))
}

// restart hands what one dispatcher had told of outages to another, as a process that follows it does.
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

// recordOutages keeps what is told, as a record does.
func recordOutages(recorded map[EndpointID]Outage, changed []Outage) {
	for _, o := range changed {
		if o.Ended() {
			delete(recorded, o.Endpoint)
		} else {
			recorded[o.Endpoint] = o
		}
	}
}

// A dispatcher that restarts within an outage goes on as one that has seen it: single trials, and a ramp on the return.
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
		t.Fatalf("told %+v", recorded)
	}
	for range 2 { // also a second process that follows
		r = r.restart(recorded, r.now+2*sec)
		var batch []Event
		for range 30 {
			batch = append(batch, r.arrival(idempotent, 1))
		}
		first := sentMessages(slices.Concat(r.step(0, batch...), r.runFor(sec)))
		if len(first) > 1 {
			t.Errorf("%d calls at once to an endpoint that was down", len(first))
		}
		recordOutages(recorded, r.dispatcher.Outages())
	}
	if e := r.endpoint(endpointID(1, 0)); !e.suspected || !r.dispatcher.outageConfirmed(e) {
		t.Error("the outage is forgotten")
	}
	res := ConnectFailed
	for n := 0; r.endpoint(endpointID(1, 0)).suspected && n < 2000; n++ { // with some demand a trial comes soon, fails first, and goes well then
		for _, id := range sentMessages(r.step(sec/20, r.arrival(idempotent, 1))) {
			r.step(sec/50, outcome(id, r.dispatcher.messages[id].attempts-1, res))
			res = OK
		}
	}
	recordOutages(recorded, r.dispatcher.Outages())
	if e := r.endpoint(endpointID(1, 0)); e.suspected || e.rampStart == 0 || recorded[endpointID(1, 0)].RampStart != e.rampStart {
		t.Errorf("after the return: suspect %v, cold since %d, told %+v", e.suspected, e.rampStart, recorded)
	}
	rampStart := r.endpoint(endpointID(1, 0)).rampStart
	if r = r.restart(recorded, r.now+sec); r.endpoint(endpointID(1, 0)).rampStart != rampStart {
		t.Errorf("the ramp began at %d, the next process has it begin at %d", rampStart, r.endpoint(endpointID(1, 0)).rampStart)
	}
}

// What is over is told as over: the record must not grow with outages that have passed.
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
		t.Errorf("left: %+v", recorded)
	}
}

// An endpoint that leaves the list, or was never in it, takes its outage off the record or leaves no trace.
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
		t.Errorf("left: %+v", recorded)
	}
}
