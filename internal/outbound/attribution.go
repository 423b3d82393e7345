package outbound

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"whinrun/internal/engine"
	"whinrun/internal/h1"
)

// This file decides whether an answer belongs to the call that is out on an HTTP/1.1 connection. The order of the
// answers is the only tie between calls and answers, and a peer that sends an answer a second time breaks it: the copy
// seems to answer the next call, and the answer to that call seems to answer the one after it. An answer therefore ends a
// call only with one of these proofs:
//
//   - It names the messages of the call, and no other call of the connection had the same messages.
//   - It cannot be a copy: nothing like it came on the connection within copyHorizon.
//
// The file does no I/O and reads no clock.

// copyHorizon is how long after an answer a copy of it may arrive.
const copyHorizon = 1500 * time.Millisecond

// AnswerNames tells which messages an answer names.
type AnswerNames uint8

// Values of AnswerNames.
const (
	// NamesNone means that the answer names no message, and that the form of the call does not ask for names.
	NamesNone AnswerNames = iota
	// NamesCall means that the answer names all messages of the call, and no others.
	NamesCall
	// NamesOthers means that the answer names messages, and none of the call.
	NamesOthers
	// NamesMissing means that the form of the call asks for names, and that the answer has others: none that can be read, a
	// part of them, or some of other calls beside them.
	NamesMissing
)

// attribution tells to which call an answer belongs.
type attribution uint8

const (
	// belongsToCall means that it is proven that the answer belongs to the call that is out.
	belongsToCall attribution = iota + 1
	// belongsToOther means that it is proven that the answer belongs to another call.
	belongsToOther
	// unproven means that the answer may be that of the call, or a copy of an earlier one.
	unproven
)

// answerID identifies an answer among those of a connection. A copy of an answer has the same answerID.
type answerID struct {
	status int
	digest uint64
}

// transportFields are the header fields that an intermediary may change when it sends an answer again.
var transportFields = []string{"age", "connection", "date", "keep-alive", "via"}

// identifyAnswer returns the answerID of a complete answer.
func identifyAnswer(head *h1.Response, body []byte) answerID {
	digest := xxhash.New()
	for _, field := range head.Fields {
		if !slices.Contains(transportFields, field.Name) {
			_, _ = digest.WriteString(field.Name + ": " + field.Value + "\n")
		}
	}
	_, _ = digest.WriteString("\n")
	_, _ = digest.Write(body)
	return answerID{head.Status, digest.Sum64()}
}

// maxHistory bounds the answers and calls that an answerHistory keeps. A connection with more of them within copyHorizon
// proves nothing by what did not come on it.
const maxHistory = 256

// answerHistory is what passed on a connection within copyHorizon.
type answerHistory struct {
	answers []pastAnswer
	calls   []pastCall
}

// pastAnswer is an answer that arrived, whether it belonged to a call or not.
type pastAnswer struct {
	id    answerID
	at    time.Duration
	named bool
}

// pastCall is a call that ended, by a digest of the messages that it carried.
type pastCall struct {
	messages uint64
	at       time.Duration
}

// forget drops what is older than copyHorizon.
func (h *answerHistory) forget(now time.Duration) {
	h.answers = slices.DeleteFunc(h.answers, func(a pastAnswer) bool { return now-a.at > copyHorizon })
	h.calls = slices.DeleteFunc(h.calls, func(c pastCall) bool { return now-c.at > copyHorizon })
}

// recordAnswer adds an answer that arrived.
func (h *answerHistory) recordAnswer(now time.Duration, id answerID, named bool) {
	h.forget(now)
	if len(h.answers) < maxHistory {
		h.answers = append(h.answers, pastAnswer{id, now, named})
	}
}

// recordStray adds an answer that belongs to no call. A copy of a known answer adds nothing, because further copies of that
// are expected in any case.
func (h *answerHistory) recordStray(now time.Duration, id answerID) {
	if !h.mayBeCopy(now, id) {
		h.recordAnswer(now, id, false)
	}
}

// recordCall adds a call that ended.
func (h *answerHistory) recordCall(now time.Duration, messages uint64) {
	h.forget(now)
	if len(h.calls) < maxHistory {
		h.calls = append(h.calls, pastCall{messages, now})
	}
}

// quiet reports whether no answer came within copyHorizon, so that any answer to the next call is proven.
func (h *answerHistory) quiet(now time.Duration) bool {
	h.forget(now)
	return len(h.answers) == 0
}

// provableAt returns when the next call can be sure of a proof: an answer that names its messages where named is set, and
// one unlike all others in any case.
func (h *answerHistory) provableAt(named bool) (at time.Duration) {
	for _, a := range h.answers {
		if !named || !a.named {
			at = max(at, a.at+copyHorizon)
		}
	}
	return at
}

// refusedUntil returns until when a further answer with an error status may look like a copy.
func (h *answerHistory) refusedUntil() (at time.Duration) {
	for _, a := range h.answers {
		if a.id.status >= 400 {
			at = max(at, a.at+copyHorizon)
		}
	}
	return at
}

// hasStatus reports whether an answer with a status came within copyHorizon.
func (h *answerHistory) hasStatus(now time.Duration, status int) bool {
	h.forget(now)
	return len(h.answers) == maxHistory || slices.ContainsFunc(h.answers, func(a pastAnswer) bool { return a.id.status == status })
}

// deliveredUnnamed reports whether an answer that delivered a message without naming it came within copyHorizon. A plain
// delivery may then be a copy of it.
func (h *answerHistory) deliveredUnnamed(now time.Duration) bool {
	h.forget(now)
	return slices.ContainsFunc(h.answers, func(a pastAnswer) bool { return a.id.status == statusOK && !a.named })
}

// statusOK is the status of an answer that delivers.
const statusOK = 200

// mayBePart reports whether bytes that are no whole answer may be the first part of a copy.
func (h *answerHistory) mayBePart(now time.Duration, b []byte) bool {
	if status, ok := h1.ParseStatus(b); ok {
		return h.hasStatus(now, status)
	}
	size := min(len(b), len(answerStart))
	return len(h.answers) > 0 && string(b[:size]) == answerStart[:size]
}

// answerStart is how each answer begins.
const answerStart = "HTTP/1."

// lastLike returns when an answer like this one last came.
func (h *answerHistory) lastLike(id answerID) (at time.Duration, ok bool) {
	for _, a := range h.answers {
		if a.id == id {
			at, ok = a.at, true
		}
	}
	return at, ok
}

// mayBeCopy reports whether an answer like this one came within copyHorizon.
func (h *answerHistory) mayBeCopy(now time.Duration, id answerID) bool {
	h.forget(now)
	return len(h.answers) == maxHistory || slices.ContainsFunc(h.answers, func(a pastAnswer) bool { return a.id == id })
}

// attribute decides whether an answer belongs to the call that is out. The digest of the call's messages is messages. With inDoubt
// set, the answer to an earlier call is not proven, and this one may be the true one of that call.
func (h *answerHistory) attribute(now time.Duration, id answerID, names AnswerNames, messages uint64, inDoubt bool) attribution {
	h.forget(now)
	mayBeCopy := inDoubt || h.mayBeCopy(now, id)
	repeated := len(h.calls) == maxHistory || slices.ContainsFunc(h.calls, func(c pastCall) bool { return c.messages == messages })
	switch {
	case names == NamesCall && !repeated:
		return belongsToCall
	case names == NamesOthers && len(h.answers) > 0:
		return belongsToOther
	// An endpoint that answers without names may do so for each call, but a copy of an answer to a call without names does
	// not answer this one.
	case names == NamesMissing && h.mayBeCopy(now, id):
		return belongsToOther
	case mayBeCopy:
		return unproven
	}
	return belongsToCall
}

// settleTime is how long the connection must be silent until an unproven answer is given up, as a multiple of the slowest answer
// of the endpoint, between two bounds. If the answer was a copy, the one to the call is likely to come within that time.
type settleTime struct {
	factor   float64
	min, max time.Duration
}

var (
	// holdTime applies to held answers. It is short, because the call keeps its slot meanwhile.
	holdTime = settleTime{1.25, 250 * time.Millisecond, time.Second}
	// provisionalTime applies to provisional answers.
	provisionalTime = settleTime{3, 250 * time.Millisecond, 2 * time.Second}
)

// after returns the time for an endpoint whose slowest answer took that long.
func (t settleTime) after(slowestAnswer time.Duration) time.Duration {
	return min(t.max, max(t.min, time.Duration(t.factor*float64(slowestAnswer))))
}

// maxProvisionalTime is how long calls go on following provisional answers on a connection. Then it rests until they are
// settled.
const maxProvisionalTime = time.Second

// provisionalAnswers are the answers of a connection that deliver messages unless they are copies. If one of them was a copy, all
// answers after it belong to the calls before theirs, and there is one answer more than calls.
//
// Only an answer that names its call proves them. Silence, or an end of the connection, does not: a call whose answer seems to have
// come may never have been read, or may be answered later.
type provisionalAnswers struct {
	// attempts holds the attempts that were answered.
	attempts []*engine.Attempt
	// since is when the first of the answers came.
	since time.Duration
	// surplus is set when an answer came that belongs to no call, or to an earlier one.
	surplus bool
	// unproven is set once answers were given up without a proof. Their calls may still be answered on the connection.
	unproven bool
}

// add adds the answer to an attempt.
func (p *provisionalAnswers) add(now time.Duration, attempt *engine.Attempt) {
	if len(p.attempts) == 0 {
		p.since, p.surplus = now, false
	}
	p.attempts = append(p.attempts, attempt)
}

// pending reports whether there are provisional answers.
func (p *provisionalAnswers) pending() bool { return len(p.attempts) > 0 }

// inDoubt reports whether the next answer on the connection may be that of an earlier call than the one that is out.
func (p *provisionalAnswers) inDoubt() bool { return p.pending() || p.unproven }

// overdue reports whether the connection has to rest until the answers are settled.
func (p *provisionalAnswers) overdue(now time.Duration) bool {
	return p.pending() && now-p.since > maxProvisionalTime
}

// deadline returns when the first of the messages has to have its end, or ok false if there are no answers.
func (p *provisionalAnswers) deadline() (at time.Duration, ok bool) {
	for i, a := range p.attempts {
		if end := time.Duration(a.MessageDeadline) * time.Microsecond; i == 0 || end < at {
			at = end
		}
	}
	return at, p.pending()
}

// take removes and returns the attempts. If they are not proven, the connection stays in doubt.
func (p *provisionalAnswers) take(proven bool) []*engine.Attempt {
	attempts := p.attempts
	p.attempts = nil
	p.unproven = !proven && (p.unproven || len(attempts) > 0)
	return attempts
}

// heldAnswer is an unproven answer, with those that came after it for the same call.
type heldAnswer struct {
	id   answerID
	ends []engine.Outcome
	// arrivedAt is when the first answer came.
	arrivedAt time.Duration
	// tellsEnd holds for each attempt whether one of the answers tells that its message is over.
	tellsEnd []bool
}

// add adds a further answer of the call, which tells the end of some of its messages. It reports whether that one is proven: it is
// unlike all before it, so it is no copy, and the call that is out is the only one without an answer.
func (a *heldAnswer) add(id answerID, judged attribution, tellsEnd []bool) (proven bool) {
	switch {
	case id == a.id:
		return false
	case judged == belongsToCall:
		return true
	}
	for i, told := range tellsEnd {
		a.tellsEnd[i] = a.tellsEnd[i] || told
	}
	return false
}
