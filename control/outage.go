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
	if len(d.changedOutages) == 0 {
		return nil
	}
	changed := make([]Outage, len(d.changedOutages))
	for i, ep := range d.changedOutages {
		changed[i] = d.outageOf(ep)
		ep.outageChanged = false
	}
	d.changedOutages = d.changedOutages[:0]
	return changed
}

// outageOf is what is known of an endpoint's outage.
func (d *Dispatcher) outageOf(ep *endpoint) Outage {
	o := Outage{Endpoint: ep.id, Dest: ep.dest.number, Suspected: ep.suspected, Errors: ep.errorStreak, RampStart: ep.rampStart}
	if ep.limiter.presumedDown {
		o.RefusingSince = ep.limiter.refusingSince
	}
	if ep.suspected {
		o.Push = ep.rampTokens
		o.FailedAt, o.DownSince, o.Failures, o.Unreachable = ep.failedAt, ep.downSince, max(ep.failureStreak, ep.limiter.failureStreak), ep.unreachable
		if d.outageConfirmed(ep) { // by errors in a row, of which failures count one
			o.Failures = max(o.Failures, minConfirmFailures)
		}
	}
	if ep.health == Gone {
		return Outage{Endpoint: ep.id, Dest: ep.dest.number}
	}
	return o
}

// outageChanged notes that what is known of an endpoint's outage is another now.
func (d *Dispatcher) outageChanged(ep *endpoint) {
	if d.settings.TrackOutages && !ep.outageChanged {
		ep.outageChanged = true
		d.changedOutages = append(d.changedOutages, ep)
	}
}

// restoreOutage takes what a process before this one knew of an outage. The endpoint has to be listed.
func (d *Dispatcher) restoreOutage(o *Outage) {
	dest := d.destination(o.Dest)
	i := slices.IndexFunc(dest.endpoints, func(ep *endpoint) bool { return ep.id == o.Endpoint })
	if i < 0 || o.Ended() {
		return
	}
	ep := dest.endpoints[i]
	d.startRamp(ep)
	ep.rampStart, ep.errorStreak = o.RampStart, o.Errors
	ep.rampEnd = maxRampEnd
	if o.RefusingSince != 0 { // its next success is taken for the end of an outage
		ep.limiter.refusingSince, ep.limiter.presumedDown, ep.limiter.refusalStreak = o.RefusingSince, true, max(ep.limiter.refusalStreak, 1)
	}
	if o.Suspected {
		ep.rampTokens = o.Push
		ep.suspected, ep.unreachable, ep.downSince, ep.failedAt = true, o.Unreachable, o.DownSince, o.FailedAt
		ep.failureStreak, ep.limiter.failureStreak = o.Failures, max(ep.limiter.failureStreak, o.Failures)
		ep.trialInterval = d.silenceTimeout(dest)
		ep.trialAt = d.now + Time(d.random()*float64(ep.trialInterval))
	}
	d.wakeUp(dest)
}
