package outbound

import (
	"fmt"
	"time"
)

// copyAlertPeriod is how long copies of answers are expected after one was seen.
const copyAlertPeriod = 60 * time.Second

// AnswerCounts counts answers that could not be attributed to a call.
type AnswerCounts struct {
	// Copies is the number of answers that belonged to no call, or to an earlier one.
	Copies uint64
	// TakenBack is the number of calls that ended as possibly executed although an answer came, because it may have been
	// that of another call.
	TakenBack uint64
	// Unconfirmed is the number of answers that do not count because nothing proves them, without a sign of another answer.
	Unconfirmed uint64
	// EndedInDoubt is the number of messages that get no further call because an answer that may have been that of another call, or
	// was not whole, may have ended them.
	EndedInDoubt uint64
}

// AnswerCounts returns the counts so far.
func (p *Pool) AnswerCounts() AnswerCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.answerCounts
}

// count raises a counter of the pool and of a connection's endpoint, and returns that of the endpoint.
func (p *Pool) count(c *conn, counter func(*AnswerCounts) *uint64) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	*counter(&p.answerCounts)++
	*counter(&c.endpoint.counts)++
	return *counter(&c.endpoint.counts)
}

// recordCopy counts and reports a copy of an answer. From now on copies are expected, from every endpoint: the cause may lie
// between here and all of them.
func (p *Pool) recordCopy(c *conn, now time.Duration, description string) {
	p.mu.Lock()
	p.lastCopyAt = now
	p.mu.Unlock()
	count := p.count(c, func(counts *AnswerCounts) *uint64 { return &counts.Copies })
	p.cfg.ReportAnswer(c.endpoint.id, fmt.Sprintf("copy %d of an answer, on connection %d: %s", count, c.number, description))
}

// recordPart reports bytes that are no answer, as the first part of a copy is. Copies are expected from now on.
func (p *Pool) recordPart(c *conn, now time.Duration) {
	p.mu.Lock()
	p.lastCopyAt, c.endpoint.lastPartAt = now, now
	p.mu.Unlock()
	p.cfg.ReportAnswer(c.endpoint.id, fmt.Sprintf("part of an answer, on connection %d, which ends", c.number))
}

// latencyDecay is the share by which endpointPool.slowestAnswer falls with each answer.
const latencyDecay = 1. / 32

// recordLatency notes how long a call to an endpoint took.
func (p *Pool) recordLatency(s *endpointPool, latency time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s.slowestAnswer = max(latency, s.slowestAnswer-time.Duration(latencyDecay*float64(s.slowestAnswer)))
}

// slowestAnswer returns the longest time that a call to an endpoint took lately.
func (p *Pool) slowestAnswer(s *endpointPool) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return s.slowestAnswer
}

// recordTakenBack counts and reports a call whose answer does not count, because it may have been that of another call.
func (p *Pool) recordTakenBack(c *conn, description string) {
	count := p.count(c, func(counts *AnswerCounts) *uint64 { return &counts.TakenBack })
	p.cfg.ReportAnswer(c.endpoint.id, fmt.Sprintf("answer %d taken back, on connection %d: %s", count, c.number, description))
}

// recordInDoubt counts and reports a message that an answer in doubt may have ended.
func (p *Pool) recordInDoubt(c *conn, description string) {
	count := p.count(c, func(counts *AnswerCounts) *uint64 { return &counts.EndedInDoubt })
	p.cfg.ReportAnswer(c.endpoint.id, fmt.Sprintf("end %d in doubt, on connection %d: %s", count, c.number, description))
}

// copiesExpected reports whether any endpoint sent a copy within copyAlertPeriod.
func (p *Pool) copiesExpected(now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.expectsCopies(now)
}

// expectsCopies does the work of copiesExpected. Pool.mu must be held.
func (p *Pool) expectsCopies(now time.Duration) bool { return isRecent(p.lastCopyAt, now) }

// isRecent reports whether a copy was seen within copyAlertPeriod. The time at is 0 if there was none.
func isRecent(at, now time.Duration) bool { return at > 0 && now-at <= copyAlertPeriod }
