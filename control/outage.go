package control

import "slices"

// This file exports what is known of outages, so that it can outlive the process. Slow start applies to every dispatcher that has
// observed an outage. A dispatcher that restarts during the outage, or while the endpoint is still cold, must observe it, too.

// Outage is what a Dispatcher knows about the outage of one endpoint, or about its return from one. The Dispatcher sets all
// fields. The caller keeps them for the next process, which gets them with OutageRestored. Instants are on the same clock.
type Outage struct {
	Endpoint EndpointID
	// Dest is the number of its destination.
	Dest int
	// Suspected tells that the endpoint is possibly down and gets only trials.
	Suspected bool
	// FailedAt is when the last failed call became known. It applies while Suspected.
	FailedAt Time
	// DownSince is the assumed start of the outage. It applies while Suspected.
	DownSince Time
	// Failures is the number of consecutive calls that failed to connect or got no answer. It applies while Suspected.
	Failures int
	// Unreachable tells that the last failed call was certainly not executed. It applies while Suspected.
	Unreachable bool
	// Errors is the number of consecutive answers that were errors.
	Errors int
	// RampTokens is the number of trials that the own demand permits now, from 0 to 1. It applies while Suspected.
	RampTokens float64
	// RampStart is when the endpoint returned. Its calls rise over the warm-up from then on. 0 means that there is no ramp.
	RampStart Time
	// RefusingSince is the start of a series of refusals of every call that has lasted longer than Settings.MaxOverload. 0 means
	// that there is none.
	RefusingSince Time
}

// Ended tells that the outage and its ramp are over. Nothing needs to be kept about the endpoint.
func (o *Outage) Ended() bool {
	return !o.Suspected && o.Errors == 0 && o.RampStart == 0 && o.RefusingSince == 0
}

// Outages returns what has changed since the last call, with one entry for each endpoint, in the order of the changes. A
// caller that sets Settings.TrackOutages calls it after each Step.
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

// outageOf returns what is known about the outage of an endpoint.
func (d *Dispatcher) outageOf(ep *endpoint) Outage {
	o := Outage{Endpoint: ep.id, Dest: ep.dest.number, Suspected: ep.suspected, Errors: ep.errorStreak, RampStart: ep.rampStart}
	if ep.limiter.presumedDown {
		o.RefusingSince = ep.limiter.refusingSince
	}
	if ep.suspected {
		o.RampTokens = ep.rampTokens
		o.FailedAt, o.DownSince, o.Failures, o.Unreachable = ep.failedAt, ep.downSince, max(ep.failureStreak, ep.limiter.failureStreak), ep.unreachable
		if d.outageConfirmed(ep) { // consecutive errors may have confirmed it, and they count as a single failure
			o.Failures = max(o.Failures, minConfirmFailures)
		}
	}
	if ep.health == Gone {
		return Outage{Endpoint: ep.id, Dest: ep.dest.number}
	}
	return o
}

// outageChanged records that what is known about the outage of an endpoint has changed.
func (d *Dispatcher) outageChanged(ep *endpoint) {
	if d.settings.TrackOutages && !ep.outageChanged {
		ep.outageChanged = true
		d.changedOutages = append(d.changedOutages, ep)
	}
}

// restoreOutage restores what an earlier process knew about an outage. It does nothing if the endpoint is not listed.
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
	if o.RefusingSince != 0 { // the next success then counts as the end of an outage
		ep.limiter.refusingSince, ep.limiter.presumedDown, ep.limiter.refusalStreak = o.RefusingSince, true, max(ep.limiter.refusalStreak, 1)
	}
	if o.Suspected {
		ep.rampTokens = o.RampTokens
		ep.suspected, ep.unreachable, ep.downSince, ep.failedAt = true, o.Unreachable, o.DownSince, o.FailedAt
		ep.failureStreak, ep.limiter.failureStreak = o.Failures, max(ep.limiter.failureStreak, o.Failures)
		ep.trialInterval = d.silenceTimeout(dest)
		ep.trialAt = d.now + Time(d.random()*float64(ep.trialInterval))
	}
	d.wakeUp(dest)
}
