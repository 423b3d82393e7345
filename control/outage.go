package control

import "slices"

// What is known of outages, in a form that outlives the process: slow start binds every dispatcher that has seen an outage, and
// one that restarts within it, or while the endpoint is still cold, has seen it all the same.

// Outage is what a Dispatcher knows of the outage of one endpoint, or of its return from one.
type Outage struct {
	Endpoint      EndpointID
	Dest          int
	Suspected     bool    // it is not fed: its last call failed, at ...
	FailedAt      Time    // ... this moment ...
	DownSince     Time    // ... the first such at this one
	Failures      int     // calls in a row that met nobody or silence
	Unreachable   bool    // the last one surely was not executed
	Errors        int     // answers in a row that were errors
	Push          float64 // while Suspect: part of a trial that its own demand has earned
	RampStart     Time    // it came back then, and its calls rise over the warm-up; 0 for none
	RefusingSince Time    // since then it has refused every call, for longer than an overload may last; 0 for none
}

// Ended tells that nothing is left to be known.
func (o *Outage) Ended() bool {
	return !o.Suspected && o.Errors == 0 && o.RampStart == 0 && o.RefusingSince == 0
}

// Outages returns what has changed since it was last called, one entry for each endpoint, in the order of the changes. It is to
// be called behind each Step by a caller that keeps outages for another process (Settings.KeepOutages).
func (d *Dispatcher) Outages() []Outage {
	if len(d.outages) == 0 {
		return nil
	}
	changed := make([]Outage, len(d.outages))
	for i, ep := range d.outages {
		changed[i] = d.outage(ep)
		ep.changed = false
	}
	d.outages = d.outages[:0]
	return changed
}

// outage is what is known of an endpoint's outage.
func (d *Dispatcher) outage(ep *endpoint) Outage {
	o := Outage{Endpoint: ep.id, Dest: ep.dest.no, Suspected: ep.suspect, Errors: ep.errs, RampStart: ep.coldAt}
	if ep.pace.shutSeen {
		o.RefusingSince = ep.pace.fullSince
	}
	if ep.suspect {
		o.Push = ep.push
		o.FailedAt, o.DownSince, o.Failures, o.Unreachable = ep.failedAt, ep.downAt, max(ep.bad, ep.pace.bad), ep.proven
		if d.sure(ep) { // by errors in a row, of which failures count one
			o.Failures = max(o.Failures, sureAfter)
		}
	}
	if ep.health == Gone {
		return Outage{Endpoint: ep.id, Dest: ep.dest.no}
	}
	return o
}

// outageChanged notes that what is known of an endpoint's outage is another now.
func (d *Dispatcher) outageChanged(ep *endpoint) {
	if d.set.TrackOutages && !ep.changed {
		ep.changed = true
		d.outages = append(d.outages, ep)
	}
}

// restoreOutage takes what a process before this one knew of an outage. The endpoint has to be listed.
func (d *Dispatcher) restoreOutage(o *Outage) {
	t := d.dest(o.Dest)
	i := slices.IndexFunc(t.eps, func(ep *endpoint) bool { return ep.id == o.Endpoint })
	if i < 0 || o.Ended() {
		return
	}
	ep := t.eps[i]
	d.startRamp(ep)
	ep.coldAt, ep.errs = o.RampStart, o.Errors
	ep.liftAt = rampEnd
	if o.RefusingSince != 0 { // its next success is taken for the end of an outage
		ep.pace.fullSince, ep.pace.shutSeen, ep.pace.streak = o.RefusingSince, true, max(ep.pace.streak, 1)
	}
	if o.Suspected {
		ep.push = o.Push
		ep.suspect, ep.proven, ep.downAt, ep.failedAt = true, o.Unreachable, o.DownSince, o.FailedAt
		ep.bad, ep.pace.bad = o.Failures, max(ep.pace.bad, o.Failures)
		ep.trialGap = d.silence(t)
		ep.trialAt = d.now + Time(d.random()*float64(ep.trialGap))
	}
	d.awaken(t)
}
