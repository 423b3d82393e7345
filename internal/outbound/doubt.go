package outbound

import (
	"bytes"
	"cmp"
	"fmt"
	"time"

	"whinrun/internal/engine"
	"whinrun/internal/h1"
)

// This file decides what follows from an answer in doubt: one without a proof that it belongs to the call, one that is cut off, or
// one that cannot be parsed. Such an answer has two readings, that it is the call's own and that it is another's. An action is
// allowed only if it keeps every rule under both.
//
//   - An answer that tells that its message is over (200, 410, "done", "void"), or that it has no attempt left (504, "used_up"):
//     there is no further call. Proof settles it. Without one the message fails, which does no harm if it was over.
//   - A refusal (429, 503, "busy"): its wait is kept. The attempt counts as possibly executed, and is repeated as its class allows,
//     after its connection is closed.
//   - An error (500, "failed"), or nothing that can be read: the attempt counts as possibly executed.

// maxEmbeddedAnswers bounds the answers that are looked for within bytes that cannot be parsed.
const maxEmbeddedAnswers = 16

// possiblyOver reports for each attempt of the call whether an answer in doubt may have ended its message: one that is held, one of
// which a part has arrived, or one that follows in the midst of another.
func (s *h1Session) possiblyOver() []bool {
	over := make([]bool, len(s.attempts))
	mark := func(tellsEnd []bool) {
		for i, told := range tellsEnd {
			over[i] = over[i] || told
		}
	}
	if s.held != nil {
		mark(s.held.tellsEnd)
	}
	if s.status != 0 {
		mark(s.codec.TellsEnd(s.request, s.status, s.partialBody()))
	}
	rest := s.inBuffer
	for range maxEmbeddedAnswers {
		at := bytes.Index(rest, []byte(answerStart))
		if at < 0 {
			break
		}
		rest = rest[at:]
		if status, ok := statusOf(rest); ok {
			mark(s.codec.TellsEnd(s.request, status, rest))
		}
		rest = rest[len(answerStart):]
	}
	return over
}

// statusCodeEnd is the length of a status line up to the end of its status code.
const statusCodeEnd = len("HTTP/1.1 200")

// statusOf returns the status code at the beginning of an answer, whose first line may be cut off behind it.
func statusOf(answer []byte) (status int, ok bool) {
	if len(answer) < statusCodeEnd {
		return 0, false
	}
	return h1.ParseStatus(append(answer[:statusCodeEnd:statusCodeEnd], "\r\n"...))
}

// partialBody returns what has arrived of the body of the answer that is being read.
func (s *h1Session) partialBody() []byte {
	if s.head == nil {
		return nil
	}
	return s.inBuffer
}

// holdsAnswer reports whether an answer begins within the body of another, and may go on behind it. That happens behind a copy
// that was cut off in its body.
func holdsAnswer(body, rest []byte) bool {
	tail := rest[:min(len(rest), len(answerStart)-1)]
	return bytes.Contains(append(body[:len(body):len(body)], tail...), []byte(answerStart))
}

// admitNoCall has Admission allow no call for the messages that may be over.
func (s *h1Session) admitNoCall(possiblyOver []bool) {
	admission := s.conn.pool.cfg.Admission
	if admission == nil {
		return
	}
	var attempts []*engine.Attempt
	for i, over := range possiblyOver {
		if over {
			attempts = append(attempts, s.request.Attempts[i])
		}
	}
	if len(attempts) > 0 {
		admission.MarkPossiblyOver(attempts)
	}
}

// reportDoubt reports the messages of the call that end because an answer in doubt may have ended them.
func (s *h1Session) reportDoubt(now time.Duration, ends []engine.Outcome) {
	for i := range ends {
		if !ends[i].PossiblyOver {
			continue
		}
		attempt := s.request.Attempts[i]
		s.conn.pool.recordInDoubt(s.conn, fmt.Sprintf("message %s, attempt %d, called %d ms before%s: %s; it may be over, and is not called again",
			attempt.Message.ExternalID, attempt.Number, (now-s.writtenAt).Milliseconds(), s.describeHeld(now), cmp.Or(ends[i].Detail, "given up")))
	}
}

// describeHeld describes the answer that is held, or the status of the one that is being read, for a log line.
func (s *h1Session) describeHeld(now time.Duration) string {
	switch {
	case s.held != nil:
		return fmt.Sprintf(", status %d held for %d ms", s.held.id.status, (now - s.held.arrivedAt).Milliseconds())
	case s.status != 0:
		return fmt.Sprintf(", status %d", s.status)
	}
	return ""
}
