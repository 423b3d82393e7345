package control

import (
	"slices"
	"testing"
)

// outageRig makes a dispatcher that keeps what it knows of outages, of one destination with one endpoint.
func outageRig(t *testing.T) *rig {
	set := testSettings()
	set.TrackOutages = true
	return newRig(t, set, entry(1, 0, 0))
}

// restart hands what one dispatcher had told of outages to another, as a process that follows it does.
func (r *rig) restart(told map[EndpointID]Outage, now Time) *rig {
	next := outageRig(r.t)
	next.now = now
	events := []Event{{Kind: ListUpdate, ListKind: ListFull, Entries: []Entry{entry(1, 0, 0)}}}
	for _, o := range told {
		events = append(events, Event{Kind: OutageRestored, Outage: &o})
	}
	next.at(0, events...)
	return next
}

// collect keeps what is told, as a record does.
func collect(told map[EndpointID]Outage, changed []Outage) {
	for _, o := range changed {
		if o.Ended() {
			delete(told, o.Endpoint)
		} else {
			told[o.Endpoint] = o
		}
	}
}

// A dispatcher that restarts within an outage goes on as one that has seen it: single trials, and a ramp on the return.
func TestOutageOutlivesTheProcess(t *testing.T) {
	r := outageRig(t)
	told := map[EndpointID]Outage{}
	r.wait(20 * s)
	r.want(r.at(0, r.msg(free, 1)), 1)
	for n := range 3 {
		r.at(s/50, done(1, n, ConnectFailed))
		collect(told, r.d.Outages())
		for range 1000 {
			if len(sent(r.at(s/50))) > 0 {
				break
			}
		}
	}
	if o := told[ep(1, 0)]; !o.Suspected || o.Failures < 2 || !o.Unreachable {
		t.Fatalf("told %+v", told)
	}
	for range 2 { // also a second process that follows
		r = r.restart(told, r.now+2*s)
		var batch []Event
		for range 30 {
			batch = append(batch, r.msg(free, 1))
		}
		first := sent(slices.Concat(r.at(0, batch...), r.wait(s)))
		if len(first) > 1 {
			t.Errorf("%d calls at once to an endpoint that was down", len(first))
		}
		collect(told, r.d.Outages())
	}
	if e := r.ep(ep(1, 0)); !e.suspect || !r.d.sure(e) {
		t.Error("the outage is forgotten")
	}
	res := ConnectFailed
	for n := 0; r.ep(ep(1, 0)).suspect && n < 2000; n++ { // with some demand a trial comes soon, fails first, and goes well then
		for _, id := range sent(r.at(s/20, r.msg(free, 1))) {
			r.at(s/50, done(id, r.d.msgs[id].tries-1, res))
			res = OK
		}
	}
	collect(told, r.d.Outages())
	if e := r.ep(ep(1, 0)); e.suspect || e.coldAt == 0 || told[ep(1, 0)].RampStart != e.coldAt {
		t.Errorf("after the return: suspect %v, cold since %d, told %+v", e.suspect, e.coldAt, told)
	}
	cold := r.ep(ep(1, 0)).coldAt
	if r = r.restart(told, r.now+s); r.ep(ep(1, 0)).coldAt != cold {
		t.Errorf("the ramp began at %d, the next process has it begin at %d", cold, r.ep(ep(1, 0)).coldAt)
	}
}

// What is over is told as over: the record must not grow with outages that have passed.
func TestOutagesEnd(t *testing.T) {
	r := outageRig(t)
	told := map[EndpointID]Outage{}
	r.wait(20 * s)
	for n := range 200 {
		r.at(s/2, r.msg(free, 1))
		for _, m := range r.d.msgs {
			if m.out == nil {
				continue
			}
			res := OK
			if n < 8 {
				res = ConnectFailed
			}
			r.at(s/50, done(m.id, m.tries-1, res))
		}
		collect(told, r.d.Outages())
	}
	if len(told) != 0 {
		t.Errorf("left: %+v", told)
	}
}

// An endpoint that leaves the list, or was never in it, takes its outage off the record or leaves no trace.
func TestOutageOfAnEndpointThatIsGone(t *testing.T) {
	r := outageRig(t)
	told := map[EndpointID]Outage{}
	r.wait(20 * s)
	r.want(r.at(0, r.msg(free, 1)), 1)
	r.at(s/50, done(1, 0, ConnectFailed))
	collect(told, r.d.Outages())
	gone := entry(1, 0, 0)
	gone.Health = Gone
	r.at(0, Event{Kind: ListUpdate, Entries: []Entry{gone}}, Event{Kind: OutageRestored, Outage: &Outage{Endpoint: 99, Dest: 7, Suspected: true}})
	for range 100 {
		r.at(s)
		collect(told, r.d.Outages())
	}
	if len(told) != 0 {
		t.Errorf("left: %+v", told)
	}
}
