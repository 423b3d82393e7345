package outbound

import (
	"cmp"
	"math"
	"slices"
	"time"

	"whinrun/control"
	"whinrun/internal/clock"
)

// This file decides which connection a call goes to, and whether it waits for a new one. An answer that is not proven to be that of
// its call costs its message a repeat or its end (doubt.go), so connections on which any answer would be proven come first. On
// HTTP/1.1 without names these are new ones, and those that brought no answer within copyHorizon.

// proofRank tells which answers to the next call on a connection would be proven to belong to it.
type proofRank uint8

// Values of proofRank.
const (
	// anyAnswerProven means that any answer would be.
	anyAnswerProven proofRank = iota
	// refusalProven means that a refusal would be.
	refusalProven
	// nothingProvenYet means that no answer would surely be until some time has passed.
	nothingProvenYet
	// nothingProven means that no answer will be any more.
	nothingProven
	proofRanks
)

// preference orders the ranks of connections for a call, the best first.
type preference [proofRanks]proofRank

var (
	// preferRefusalProof is for messages that a refusal without a proof would end.
	preferRefusalProof = preference{anyAnswerProven, refusalProven, nothingProven, nothingProvenYet}
	// preferSpent is for the others. It leaves the connections that can prove something to the former.
	preferSpent = preference{anyAnswerProven, nothingProven, refusalProven, nothingProvenYet}
)

// position returns the place of a rank, the best being 0.
func (p *preference) position(rank proofRank) int {
	for i, r := range p {
		if r == rank {
			return i
		}
	}
	return len(p)
}

// proofRank returns the rank of a connection. Pool.mu must be held.
func (c *conn) proofRank(now control.Time) proofRank {
	switch {
	case c.provableAt <= now && c.doubtfulUntil <= now:
		return anyAnswerProven
	case c.doubtfulUntil <= now:
		return refusalProven
	case c.provableAt == neverProvable:
		return nothingProven
	}
	return nothingProvenYet
}

// needsProof reports whether an answer without a proof would cost a message of the call more than a repeat: one that may not be
// repeated, or whose successors wait for it.
func (k *call) needsProof() bool {
	return slices.ContainsFunc(k.attempts, func(t *attemptState) bool { return t.attempt.RunsOnce || t.attempt.Message.OrderKey != 0 })
}

// assign puts a call on a connection that has capacity, and reports whether it did. Of several connections of the best rank it takes
// the first: calls that start together then share a connection where they can and leave in one write. A call that needs a proof may
// have to wait for a new connection, but not where answers can name their messages: there only a refusal soon behind another one has
// no proof. Pool.mu must be held.
func (p *Pool) assign(k *call) bool {
	needsProof := k.needsProof()
	chosen, rank := p.chooseConn(k.endpoint, needsProof)
	if chosen == nil || needsProof && rank != anyAnswerProven && !chosen.canName && p.awaitsProof(k) {
		return false
	}
	k.conn = chosen
	chosen.inFlight++
	chosen.unmarkIdle()
	chosen.enqueue(command{start: k})
	return true
}

// chooseConn returns the best connection to an endpoint for a call, or nil if none has capacity. A connection that has been idle for
// longer than IdleTimeout is skipped, because its peer may be closing it. While copies of answers are expected, a connection is skipped
// until its next answer is sure to be proven. Pool.mu must be held.
func (p *Pool) chooseConn(s *endpointPool, needsProof bool) (chosen *conn, chosenRank proofRank) {
	now := p.clock.Now()
	idleBefore := now - control.Time(p.cfg.IdleTimeout/time.Microsecond)
	copiesExpected := p.expectsCopies(clock.Elapsed(p.clock))
	order := &preferSpent
	if needsProof {
		order = &preferRefusalProof
	}
	for _, c := range s.conns {
		if !c.usable || c.settling || c.inFlight >= c.capacity || c.inFlight == 0 && c.idleSince < idleBefore || copiesExpected && c.provableAt > now {
			continue
		}
		if rank := c.proofRank(now); chosen == nil || order.position(rank) < order.position(chosenRank) {
			chosen, chosenRank = c, rank
		}
		if chosenRank == anyAnswerProven {
			break
		}
	}
	return chosen, chosenRank
}

// assignPending assigns pending calls to connections, in order, while any has capacity. A call that waits for a proof does not keep
// those behind it. Pool.mu must be held.
func (p *Pool) assignPending(s *endpointPool) {
	waiting := s.pending[:0]
	for i, k := range s.pending {
		if p.assign(k) {
			continue
		}
		waiting = append(waiting, k)
		if free, _ := p.chooseConn(s, false); free == nil {
			waiting = append(waiting, s.pending[i+1:]...)
			break
		}
	}
	clear(s.pending[len(waiting):])
	s.pending = waiting
}

const (
	// proofPatience is how long a call waits for a new connection although another one has capacity.
	proofPatience = 150 * control.Millisecond
	// dialFailurePeriod is how long after a failed dial no call waits so: the endpoint may have too many connections.
	dialFailurePeriod = 10 * control.Second
)

// startBefore returns the time by which the first of the attempts has to be written.
func (k *call) startBefore() control.Time {
	before := control.Time(math.MaxInt64)
	for _, t := range k.attempts {
		before = min(before, cmp.Or(t.attempt.WriteBefore, t.attempt.Deadline))
	}
	return before
}

// awaitsProof reports whether a call that finds a connection without the best rank waits for a new one. Pool.mu must be held.
func (p *Pool) awaitsProof(k *call) bool {
	now, s := p.clock.Now(), k.endpoint
	failedLately := s.dialFailedAt > 0 && now-s.dialFailedAt < dialFailurePeriod
	if failedLately || k.startBefore()-now < 2*proofPatience || p.atConnLimit(s) && s.dialing == 0 || p.Connections() >= p.cfg.ProofConns {
		return false
	}
	if k.proofBy == 0 {
		k.proofBy = now + proofPatience
		time.AfterFunc(time.Duration(proofPatience)*time.Microsecond, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.assignPending(s)
			p.requestConn(s)
		})
	}
	return now < k.proofBy
}

// maxRestingFactor bounds the connections to an endpoint, as a multiple of Config.MaxConnsPerEndpoint, while copies of
// answers are expected and connections rest until their next answer can be proven.
const maxRestingFactor = 4

// atConnLimit reports whether an endpoint has as many connections as it may have. Connections that rest do not count
// towards Config.MaxConnsPerEndpoint. Pool.mu must be held.
func (p *Pool) atConnLimit(s *endpointPool) bool {
	now := p.clock.Now()
	resting := 0
	if p.expectsCopies(clock.Elapsed(p.clock)) {
		for _, c := range s.conns {
			if c.inFlight == 0 && c.provableAt > now {
				resting++
			}
		}
	}
	total := len(s.conns) + s.dialing
	return total-resting >= p.cfg.MaxConnsPerEndpoint || total >= maxRestingFactor*p.cfg.MaxConnsPerEndpoint
}
