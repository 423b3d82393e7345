package outbound

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	"whinrun/internal/engine"
	"whinrun/internal/h1"
)

// This file carries out what attribution.go decides: it ends the call of an HTTP/1.1 connection by an answer, holds the
// answer, counts it provisionally, or skips it.

// handleAnswer handles a complete answer while a call is out. The slice rest holds the bytes behind the answer. It returns
// those that are to be read as a further answer.
func (s *h1Session) handleAnswer(now time.Duration, rest []byte) []byte {
	head, body := s.head, s.inBuffer
	names := s.codec.Names(s.request, head, body)
	id := identifyAnswer(head, body)
	judged := s.history.attribute(now, id, names, s.request.messages(), s.provisional.inDoubt())
	var description string
	if judged == belongsToOther || s.held != nil {
		description = s.describeAnswer(now, id)
	}
	s.closing = s.closing || head.Close
	if judged == belongsToOther {
		s.history.recordStray(now, id)
		s.skipAnswer(now, "an answer to another call: "+description)
		return rest
	}
	if names != NamesCall && holdsAnswer(body, rest) {
		s.history.recordAnswer(now, id, false)
		s.conn.pool.recordPart(s.conn, now)
		s.inBuffer = append(body[:len(body):len(body)], rest...)
		s.finishUnproven(takenBack, "an answer within another one")
		return nil
	}
	s.history.recordAnswer(now, id, names == NamesCall)
	switch {
	case s.held != nil && !s.held.add(id, judged, s.codec.TellsEnd(s.request, head.Status, body)):
		s.skipAnswer(now, "a further answer: "+description)
		return rest
	case s.held != nil:
		s.conn.pool.recordCopy(s.conn, now, "an answer to another call, of which this is not a copy: "+description)
		s.provisional.surplus = true
	case judged == unproven:
		return s.handleUnproven(now, id, rest)
	}
	s.finishProven(now, s.codec.Answer(s.request, head, body), rest)
	return nil
}

// skipAnswer reports an answer that does not end the call, and goes on waiting.
func (s *h1Session) skipAnswer(now time.Duration, description string) {
	s.conn.pool.recordCopy(s.conn, now, description)
	s.provisional.surplus = true
	if s.held != nil {
		s.scheduleSettling(now)
	}
	s.resetResponse()
}

// handleUnproven handles a first answer to the call that may be a copy. It returns the bytes that are to be read as a
// further answer.
func (s *h1Session) handleUnproven(now time.Duration, id answerID, rest []byte) []byte {
	ends := s.codec.Answer(s.request, s.head, s.inBuffer)
	if s.finishProvisional(now, ends, rest) {
		return nil
	}
	s.hold(now, id, ends)
	if s.call == nil {
		return nil
	}
	s.resetResponse()
	return rest
}

// finishProvisional ends the call with an unproven answer that delivers its only message, and reports whether it did. An answer
// to a later call that names its messages may prove it. That is not done while copies are expected, and for a message whose
// successors wait for its delivery.
func (s *h1Session) finishProvisional(now time.Duration, ends []engine.Outcome, rest []byte) bool {
	attempt := s.request.Attempts[0]
	_, delivers := s.codec.EndFromStatus(s.request, ends[0].Status)
	if !delivers || ends[0].Kind != engine.Answered || attempt.Message.OrderKey != 0 || len(rest) > 0 || s.closing || s.conn.pool.copiesExpected(now) {
		return false
	}
	ends[0].Provisional = true
	s.provisional.add(now, attempt)
	s.recordLatency(now)
	s.scheduleSettling(now)
	s.finish(ends)
	return true
}

// giveUpProvisional gives up the provisional answers that nothing has proven in time, also while a later call is out. The connection
// is used further, without a proof for what comes on it, unless copies are expected.
func (s *h1Session) giveUpProvisional(now time.Duration) {
	p := s.conn.pool
	if s.call == nil && (s.provisional.surplus || p.copiesExpected(now)) {
		s.retractProvisional(takenBack)
		return
	}
	s.settleProvisional(unconfirmed, "nothing proves it in time")
	p.mu.Lock()
	defer p.mu.Unlock()
	s.conn.settling = false
	s.updateProofTimes()
	p.assignPending(s.conn.endpoint)
}

// retractProvisional shuts the connection down and takes all provisional answers back, in this order, so that a repeat does
// not meet a call that is still out.
func (s *h1Session) retractProvisional(result settlement) {
	s.closing = true
	s.conn.netConn.CloseBoth()
	s.settleProvisional(result, "the connection is out of step, or may be")
}

// settlement is how provisional answers end.
type settlement uint8

const (
	// confirmed means that they are proven.
	confirmed settlement = iota + 1
	// unconfirmed means that nothing has proven them, and that there is no sign of another answer.
	unconfirmed
	// takenBack means that there is such a sign, or that the connection is lost.
	takenBack
)

// settleProvisional reports the end of all provisional answers, for a reason that the trace tells.
func (s *h1Session) settleProvisional(result settlement, reason string) {
	p, kind := s.conn.pool, engine.DeliveryUnproven
	if result == confirmed {
		kind = engine.DeliveryConfirmed
	}
	for _, a := range s.provisional.take(result == confirmed) {
		p.cfg.Trace("endpoint %d: delivery of message %s by attempt %d, on connection %d, confirmed %v, %d ms behind the first that was provisional: %s",
			s.conn.endpoint.id, a.Message.ExternalID, a.Number, s.conn.number, result == confirmed, (p.elapsed() - s.provisional.since).Milliseconds(), reason)
		if result != confirmed {
			s.recordNotCounted(result, func() string {
				return fmt.Sprintf("delivery of message %s by attempt %d", a.Message.ExternalID, a.Number)
			})
		}
		p.report(engine.Outcome{Seq: a.Seq, Kind: kind})
	}
}

// recordLatency notes how long the call took.
func (s *h1Session) recordLatency(now time.Duration) {
	s.conn.pool.recordLatency(s.conn.endpoint, now-s.writtenAt)
}

// finishProven ends the call with an answer that is proven to be its own. The slice rest holds the bytes behind it.
func (s *h1Session) finishProven(now time.Duration, ends []engine.Outcome, rest []byte) {
	s.recordLatency(now)
	// If an answer names its call, and there were as many answers as calls, each belongs to its own.
	if s.provisional.pending() && s.provisional.surplus {
		s.retractProvisional(takenBack)
	}
	s.settleProvisional(confirmed, "a proven answer to a later call")
	// The call may still be out if its answer is malformed.
	if slices.ContainsFunc(ends, func(e engine.Outcome) bool { return e.Kind == engine.ProtocolError }) {
		s.closing = true
		s.markPossiblyOver(ends)
		s.conn.netConn.CloseBoth()
		if bytes.Contains(s.inBuffer, []byte(answerStart)) {
			s.conn.pool.recordPart(s.conn, now)
		}
	}
	s.readStray(now, rest)
	s.finish(ends)
}

// markPossiblyOver marks those of the ends that are malformed and whose message an answer in doubt may have ended.
func (s *h1Session) markPossiblyOver(ends []engine.Outcome) {
	for i, over := range s.possiblyOver() {
		if ends[i].Kind == engine.ProtocolError {
			ends[i].PossiblyOver = over
		}
	}
}

// hold keeps an unproven answer until a later one proves which is the call's own, or the time for that is over. An answer with a wait
// is not kept, because the wait counts from now on, and neither is one on a connection on which nothing can be proven any more: its
// call ends without a proof, and its connection with it. While a message may be over, nothing else may call it.
func (s *h1Session) hold(now time.Duration, id answerID, ends []engine.Outcome) {
	s.held = &heldAnswer{id: id, ends: ends, arrivedAt: now, tellsEnd: s.codec.TellsEnd(s.request, id.status, s.inBuffer)}
	s.admitNoCall(s.held.tellsEnd)
	s.conn.pool.cfg.Trace("endpoint %d: answer %d to attempt %d of message %s may be a copy: held", s.conn.endpoint.id, id.status, s.request.Attempts[0].Number,
		s.request.Attempts[0].Message.ExternalID)
	switch {
	case s.closing || slices.ContainsFunc(ends, func(e engine.Outcome) bool { return e.RetryAfter > 0 }):
		s.finishUnproven(takenBack, "an answer that may be that of another call")
	case s.provisional.inDoubt() && !s.request.Named:
		s.finishUnproven(unconfirmed, "an answer that may be that of an earlier call")
	default:
		s.scheduleSettling(now)
	}
}

// scheduleSettling sets settleAt, and has checkDeadlines called then. A message that was provisionally delivered has to have its end
// by its deadline.
func (s *h1Session) scheduleSettling(now time.Duration) {
	settleTime := provisionalTime
	if s.held != nil {
		settleTime = holdTime
	}
	s.settleAt = now + settleTime.after(s.conn.pool.slowestAnswer(s.conn.endpoint))
	if deadline, ok := s.provisional.deadline(); ok {
		s.settleAt = min(s.settleAt, deadline)
	}
	time.AfterFunc(s.settleAt-now, s.conn.netConn.Wake)
}

// giveUpHeld ends a call whose answer nothing has proven in time. Silence proves nothing: the call may still be out.
func (s *h1Session) giveUpHeld(now time.Duration) {
	result := unconfirmed
	if s.status != 0 || len(s.inBuffer) > 0 || s.conn.pool.copiesExpected(now) {
		result = takenBack
	}
	s.finishUnproven(result, "no answer that is surely its own came in time")
}

// finishUnproven ends the call as possibly executed, and its connection with it. The call may still be out.
func (s *h1Session) finishUnproven(result settlement, reason string) {
	possiblyOver := s.possiblyOver()
	s.retractProvisional(result)
	ends := make([]engine.Outcome, len(s.attempts))
	for i := range ends {
		ends[i] = engine.Outcome{Kind: engine.UnprovenAnswer, Detail: reason, PossiblyOver: possiblyOver[i]}
		if s.held == nil {
			continue
		}
		ends[i].RetryAfter = s.held.ends[i].RetryAfter
		if s.held.ends[i].Kind == engine.Answered {
			ends[i].Status = s.held.ends[i].Status
		}
	}
	s.recordNotCounted(result, func() string { return reason + ", messages out: " + s.request.names() })
	s.finish(ends)
}

// recordNotCounted counts an answer that does not count. It reports one for which there is a sign of another answer; only these are
// described, since the others are many.
func (s *h1Session) recordNotCounted(result settlement, describe func() string) {
	if result == takenBack {
		s.conn.pool.recordTakenBack(s.conn, describe())
		return
	}
	s.conn.pool.count(s.conn, func(counts *AnswerCounts) *uint64 { return &counts.Unconfirmed })
}

// readStray reads bytes that belong to no call. Complete answers are copies and are skipped. All else makes the connection
// unusable.
func (s *h1Session) readStray(now time.Duration, b []byte) {
	for len(b) > 0 && !s.closing {
		head, n, err := h1.ParseResponse(b)
		complete := err == nil && n > 0 && !head.Chunked && head.Length >= 0 && int64(len(b)-n) >= head.Length
		if !complete || !s.used {
			s.closing = true
			if s.history.mayBePart(now, b) {
				s.conn.pool.recordPart(s.conn, now)
			}
			break
		}
		body := b[n : n+int(head.Length)]
		b = b[n+int(head.Length):]
		if head.Status < 200 {
			continue
		}
		id := identifyAnswer(head, body)
		// An endpoint that sends other answers unasked is broken in another way.
		if !s.history.mayBeCopy(now, id) && !s.provisional.inDoubt() {
			s.closing = true
			break
		}
		s.conn.pool.recordCopy(s.conn, now, "an answer without a call: "+s.describeAnswer(now, id))
		s.history.recordStray(now, id)
		s.provisional.surplus = true
		s.strayAnswers++
		s.closing = head.Close || s.strayAnswers > maxStrayAnswers
	}
	// If one of the provisional answers was a copy, this is the answer to a later call.
	if s.provisional.inDoubt() && (s.provisional.surplus || s.closing) {
		s.retractProvisional(takenBack)
	}
	s.conn.pool.mu.Lock()
	defer s.conn.pool.mu.Unlock()
	s.updateProofTimes()
}

// describeAnswer describes an answer for a log line. It must be called before the answer is added to the history.
func (s *h1Session) describeAnswer(now time.Duration, id answerID) string {
	original := "none like it came lately"
	if at, ok := s.history.lastLike(id); ok {
		original = fmt.Sprintf("one like it came %d ms before", (now - at).Milliseconds())
	}
	return fmt.Sprintf("status %d, %s, messages out: %s", id.status, original, s.request.names())
}
