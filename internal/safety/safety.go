// Package safety authorizes the operations that cannot be undone: making a call, writing it to a connection, and refusing a
// message, which tells its sender that submitting it again is harmless. It keeps the facts that its rules need separately from
// the decision library, and gets them from the engine. Each call is checked twice: when the library decides it (AuthorizeCall),
// and again immediately before its bytes are put on a connection (Write), because the facts may have changed in between.
//
// An error of AuthorizeCall or AuthorizeRefusal means that the library's state and these facts disagree. This is a defect. It is
// counted and reported, and the operation is not performed. An error of Write is not a defect but a race: an event overtook the
// call, which is then withdrawn unsent.
//
// The package performs no I/O and reads no clock. A Guard is safe for concurrent use.
package safety

import (
	"errors"
	"fmt"
	"maps"
	"sync"

	"whinrun/control"
)

// Reasons why an operation is not authorized.
var (
	// ErrUnknownMessage means that the message was not accepted, or has been removed after its end. For the end of an attempt it
	// also means that the attempt is not in flight.
	ErrUnknownMessage = errors.New("the message is not known")

	// ErrMessageFinished means that the message has its final answer or was withdrawn.
	ErrMessageFinished = errors.New("the message has its final answer")

	// ErrAttemptInFlight means that another attempt of the message is in flight.
	ErrAttemptInFlight = errors.New("another attempt of the message is out")

	// ErrAttemptsExhausted means that the message has reached the maximum number of attempts.
	ErrAttemptsExhausted = errors.New("all attempts allowed are made")

	// ErrDeadlineExceeded means that the message's deadline has been reached.
	ErrDeadlineExceeded = errors.New("the message's time is over")

	// ErrPossiblyExecuted means that a message of a class that allows no repeats may have been executed.
	ErrPossiblyExecuted = errors.New("it may have been executed, and its class does not allow a repeat")

	// ErrWindowExpired means that a message may have been executed, and that the partner's deduplication window ends too soon
	// for a repeat.
	ErrWindowExpired = errors.New("it may have been executed, and its window for repeats is over")

	// ErrOtherZone means that a message may have been executed in one zone, and that other zones would not deduplicate it.
	ErrOtherZone = errors.New("it may have been executed in another zone, where alone repeats are dropped")

	// ErrPossiblyOver means that an answer of which it is not known whether it is that of the message may tell that it is over.
	ErrPossiblyOver = errors.New("it may be over")

	// ErrEndpointWithdrawn means that the endpoint is draining or gone.
	ErrEndpointWithdrawn = errors.New("the endpoint drains or is gone")

	// ErrRetryAfterPending means that the destination or the endpoint asked to wait, and that the wait is not over.
	ErrRetryAfterPending = errors.New("a told wait is not over")

	// ErrOutOfOrder means that an earlier message of the same order key is not finished.
	ErrOutOfOrder = errors.New("an earlier message of the same key is unfinished")

	// ErrKeyBlocked means that an earlier attempt of the same order key may still be executing.
	ErrKeyBlocked = errors.New("the key rests: what became of an earlier message is not known")

	// ErrRecordMismatch means that the ledger's record of a message disagrees with the guard's facts.
	ErrRecordMismatch = errors.New("the record says otherwise what became of its attempts")

	// ErrAlreadyWritten means that an attempt was reported as unsent although it was written.
	ErrAlreadyWritten = errors.New("it was written")

	// ErrUnsafeRepeat means that the message cannot be refused, because submitting it again could execute it twice.
	ErrUnsafeRepeat = errors.New("handing it in again could execute it twice")
)

// Message holds the properties of an accepted message that the rules depend on.
type Message struct {
	ID       control.MessageID
	Class    int
	OrderKey uint64       // Zero if the message has no order key.
	Deadline control.Time // No call is made at this time or later.

	// Attempts is the number of attempts that earlier processes made.
	Attempts int

	// PossiblyExecuted is set if one of these attempts may have been executed.
	PossiblyExecuted bool

	// ExecutedAt is when the first possibly executed attempt began.
	ExecutedAt control.Time

	// ExecutedZone is the zone that this attempt went to.
	ExecutedZone int
}

// Call identifies one attempt and where it goes.
type Call struct {
	Message  control.MessageID
	Attempt  int // The first attempt has number zero.
	Endpoint control.EndpointID
	Dest     int
	Zone     int

	// PerEndpointLimits is set if limits and waits apply to the endpoint and not to the whole destination.
	PerEndpointLimits bool
}

// Violation is the error for an operation that the rules forbid. The operation was prevented.
type Violation struct {
	Message control.MessageID
	Action  string // The operation, for use in the error text.
	Cause   error  // One of the reasons of this package.
}

func (v *Violation) Error() string {
	return fmt.Sprintf("safety: %s of message %d: %v", v.Action, v.Message, v.Cause)
}

// Unwrap returns the reason why the operation is not authorized.
func (v *Violation) Unwrap() error { return v.Cause }

// Guard keeps the facts about messages, endpoints, waits and order keys, and authorizes operations by them.
type Guard struct {
	settings control.Settings

	mu       sync.Mutex
	messages map[control.MessageID]*message

	// withdrawnSince holds when each endpoint that is draining or gone became so.
	withdrawnSince map[control.EndpointID]control.Time

	// destRetryAfter holds until when each destination asked to wait.
	destRetryAfter map[int]control.Time

	// endpointRetryAfter holds until when each endpoint that has its own limits asked to wait.
	endpointRetryAfter map[control.EndpointID]control.Time

	// keyQueues holds the unfinished messages of each order key, in the order of their acceptance.
	keyQueues map[uint64][]*message

	// blockedKeys holds until when no first attempt is made for an order key, because an earlier attempt may still be executing.
	blockedKeys map[uint64]control.Time

	// attemptsInFlight is the number of messages with an attempt in flight.
	attemptsInFlight int

	violations uint64
}

// message is the state of one message.
type message struct {
	Message
	class    *control.Class
	inFlight int  // The number of the attempt in flight, or noAttempt.
	written  bool // The attempt in flight may have been written.
	finished bool

	// possiblyOver is set if an answer may have told that the message is over.
	possiblyOver bool
}

// noAttempt is the value of message.inFlight while no attempt is in flight.
const noAttempt = -1

// NewGuard returns a Guard for the library's settings.
func NewGuard(s control.Settings) *Guard {
	return &Guard{settings: s, messages: map[control.MessageID]*message{}, withdrawnSince: map[control.EndpointID]control.Time{},
		destRetryAfter: map[int]control.Time{}, endpointRetryAfter: map[control.EndpointID]control.Time{}, keyQueues: map[uint64][]*message{}, blockedKeys: map[uint64]control.Time{}}
}

// Violations returns the number of violations that were prevented since the guard was created.
func (g *Guard) Violations() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.violations
}

// Usage tells how many messages a Guard keeps, and how many attempts are in flight.
type Usage struct{ Messages, Attempts int }

// Usage returns what the guard keeps now.
func (g *Guard) Usage() Usage {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Usage{Messages: len(g.messages), Attempts: g.attemptsInFlight}
}

// Accept adds a message that the dispatcher has accepted.
func (g *Guard) Accept(m Message) {
	g.mu.Lock()
	defer g.mu.Unlock()
	x := &message{Message: m, class: &g.settings.Classes[m.Class], inFlight: noAttempt}
	g.messages[m.ID] = x
	if x.class.InOrder && m.OrderKey != 0 {
		g.keyQueues[m.OrderKey] = append(g.keyQueues[m.OrderKey], x)
	}
}

// AuthorizeCall authorizes a call that the library has decided, and counts it as in flight. An error is a *Violation.
func (g *Guard) AuthorizeCall(now control.Time, c Call) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.messages[c.Message]
	err := g.checkCall(now, m, c)
	if err == nil && m.inFlight != noAttempt {
		err = ErrAttemptInFlight
	}
	if err == nil && m.Attempts >= g.settings.MaxAttempts {
		err = ErrAttemptsExhausted
	}
	if err != nil {
		return g.recordViolation("call", c.Message, err)
	}
	m.Attempts++
	m.inFlight, m.written = c.Attempt, false
	g.attemptsInFlight++
	return nil
}

// Write authorizes that an authorized call is put on a connection now. From this moment the call counts as written, and so
// may be executed. An error is one of the reasons of this package and not a *Violation.
func (g *Guard) Write(now control.Time, c Call) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.messages[c.Message]
	if err := g.checkCall(now, m, c); err != nil {
		return err
	}
	if m.inFlight != c.Attempt {
		return ErrAttemptInFlight
	}
	m.written = true
	return nil
}

// RevokeWrite records that a call that Write authorized was not written, because its connection had no room for it.
func (g *Guard) RevokeWrite(c Call) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.messages[c.Message]; m != nil && m.inFlight == c.Attempt {
		m.written = false
	}
}

// MarkPossiblyOver records that an answer, of which it is not known whether it is that of a call in flight, may tell that the
// message is over. Until FinishAttempt says otherwise, no call is authorized for it.
func (g *Guard) MarkPossiblyOver(c Call) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.messages[c.Message]; m != nil && m.inFlight == c.Attempt {
		m.possiblyOver = true
	}
}

// checkCall returns the reason why a call must not be made now, or nil. It holds the checks that AuthorizeCall and Write have
// in common. The caller holds the lock.
func (g *Guard) checkCall(now control.Time, m *message, c Call) error {
	if m == nil {
		return ErrUnknownMessage
	}
	switch {
	case m.finished:
		return ErrMessageFinished
	case m.possiblyOver:
		return ErrPossiblyOver
	case now >= m.Deadline:
		return ErrDeadlineExceeded
	case g.isWithdrawn(c.Endpoint):
		return ErrEndpointWithdrawn
	case now < g.retryAfter(c):
		return ErrRetryAfterPending
	case !g.isFirst(m):
		return ErrOutOfOrder
	case m.Attempts == 0 && now < g.blockedKeys[m.OrderKey]:
		return ErrKeyBlocked
	}
	return m.checkRepeat(now, c.Zone)
}

// checkRepeat returns the reason why a message that may have been executed must not be sent again, or nil. A repeat must be sent
// control.StallMargin before the deduplication window ends, because the caller may be delayed after reading its clock.
func (m *message) checkRepeat(now control.Time, zone int) error {
	switch {
	case !m.PossiblyExecuted || m.class.Effect == control.Idempotent:
		return nil
	case m.class.Effect == control.AtMostOnce:
		return ErrPossiblyExecuted
	case now+control.StallMargin > m.ExecutedAt+m.class.DedupWindow:
		return ErrWindowExpired
	case m.class.DedupPerZone && zone != m.ExecutedZone:
		return ErrOtherZone
	}
	return nil
}

// isWithdrawn reports whether an endpoint is draining or gone.
func (g *Guard) isWithdrawn(e control.EndpointID) bool {
	_, ok := g.withdrawnSince[e]
	return ok
}

// retryAfter returns until when the endpoint or the destination of a call asked to wait.
func (g *Guard) retryAfter(c Call) control.Time {
	if c.PerEndpointLimits {
		return g.endpointRetryAfter[c.Endpoint]
	}
	return g.destRetryAfter[c.Dest]
}

// isFirst reports whether no earlier message of the same order key is unfinished. It is true for messages without order.
func (g *Guard) isFirst(m *message) bool {
	queue := g.keyQueues[m.OrderKey]
	return !m.class.InOrder || m.OrderKey == 0 || len(queue) > 0 && queue[0] == m
}

// AttemptResult is what the end of an attempt proves.
type AttemptResult struct {
	// PossiblyExecuted is set if the attempt may have been executed.
	PossiblyExecuted bool

	// Unsent is set if this side claims that nothing of the attempt was written.
	Unsent bool

	// NotCounted is set if the attempt does not count towards the limit of attempts.
	NotCounted bool

	// Unconfirmed is set if the peer did not report the end of the attempt, which may still be executing.
	Unconfirmed bool

	// PossiblyOver is set if the message may be over. It replaces what MarkPossiblyOver said of the attempt.
	PossiblyOver bool
}

// FinishAttempt records the end of a call that began at the given time. An error is a *Violation: either the attempt is not
// known to be in flight, or the result claims that nothing was sent of a call that was written. In the second case the message
// counts as possibly executed.
func (g *Guard) FinishAttempt(now control.Time, c Call, began control.Time, result AttemptResult) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.messages[c.Message]
	if m == nil || m.inFlight != c.Attempt {
		return g.recordViolation("end of an attempt", c.Message, ErrUnknownMessage)
	}
	m.inFlight, m.possiblyOver = noAttempt, result.PossiblyOver
	g.attemptsInFlight--
	var err error
	if result.Unsent && m.written {
		err = g.recordViolation("end as unsent", c.Message, ErrAlreadyWritten)
	}
	if result.NotCounted && err == nil {
		m.Attempts--
	}
	if (result.PossiblyExecuted || err != nil) && !m.PossiblyExecuted {
		m.PossiblyExecuted, m.ExecutedAt, m.ExecutedZone = true, began, c.Zone
	}
	if result.Unconfirmed && m.class.InOrder && m.OrderKey != 0 {
		g.blockedKeys[m.OrderKey] = now + g.settings.SettleTime
	}
	g.removeIfDone(m)
	return err
}

// AuthorizeRefusal authorizes that a message is refused, which tells its sender that submitting it again is harmless. An error
// is a *Violation, and the message must be failed instead.
func (g *Guard) AuthorizeRefusal(id control.MessageID) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.messages[id]
	switch {
	case m == nil:
		return g.recordViolation("refusal", id, ErrUnknownMessage)
	case m.finished:
		return g.recordViolation("refusal", id, ErrMessageFinished)
	case m.resubmissionIsHarmless():
		return nil
	}
	return g.recordViolation("refusal", id, ErrUnsafeRepeat)
}

// resubmissionIsHarmless reports whether the sender may submit the message again. The sender may do so at any time and to any
// dispatcher. If the message may have been executed, this is harmless if repeats have no effect, or if the partner deduplicates
// the message in all zones. It is not harmless if deduplication is limited to the zone of the first execution.
func (m *message) resubmissionIsHarmless() bool {
	possiblyExecuted := m.PossiblyExecuted || m.inFlight != noAttempt && m.written
	return !possiblyExecuted || m.class.Effect == control.Idempotent || m.class.Effect == control.Deduplicated && !m.class.DedupPerZone
}

// VerifyRecord checks that the record of a message, which a later process would rely on, agrees with the facts kept here.
// executedAt is the time at which the message may first have been executed; it counts only if executed is set. It must be
// called after each change of the record. An error is a *Violation. There is no error for a message that is not known any more.
func (g *Guard) VerifyRecord(id control.MessageID, attempts int, executed bool, executedAt control.Time) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.messages[id]
	if m == nil {
		return nil // The message has ended meanwhile.
	}
	if attempts != m.Attempts || executed != m.PossiblyExecuted || executed && executedAt != m.ExecutedAt {
		return g.recordViolation("record", id, ErrRecordMismatch)
	}
	return nil
}

// FinishMessage marks a message as finished. No further call is authorized for it.
func (g *Guard) FinishMessage(id control.MessageID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.messages[id]; m != nil {
		m.finished = true
		g.removeIfDone(m)
	}
}

// removeIfDone removes a message that is finished and has no attempt in flight. The caller holds the lock.
func (g *Guard) removeIfDone(m *message) {
	if !m.finished || m.inFlight != noAttempt {
		return
	}
	delete(g.messages, m.ID)
	queue := g.keyQueues[m.OrderKey]
	for i, o := range queue {
		if o == m {
			queue = append(queue[:i:i], queue[i+1:]...)
			break
		}
	}
	if len(queue) == 0 {
		delete(g.keyQueues, m.OrderKey)
	} else if m.OrderKey != 0 && m.class.InOrder {
		g.keyQueues[m.OrderKey] = queue
	}
}

// SetHealth records the health of an endpoint as the endpoint list gives it.
func (g *Guard) SetHealth(now control.Time, e control.EndpointID, h control.Health) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if h == control.Ready {
		delete(g.withdrawnSince, e)
		return
	}
	if !g.isWithdrawn(e) {
		g.withdrawnSince[e] = now
	}
	if len(g.withdrawnSince)+len(g.blockedKeys)+len(g.endpointRetryAfter) > cleanupThreshold {
		g.removeExpired(now)
	}
}

// SetRetryAfter records a wait that the answer to a call asked for. A shorter wait does not replace a longer one.
func (g *Guard) SetRetryAfter(c Call, until control.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.PerEndpointLimits {
		g.endpointRetryAfter[c.Endpoint] = max(g.endpointRetryAfter[c.Endpoint], until)
	} else {
		g.destRetryAfter[c.Dest] = max(g.destRetryAfter[c.Dest], until)
	}
}

const (
	// cleanupThreshold is the number of withdrawn endpoints, blocked keys and waits of endpoints together, above which expired
	// ones are removed.
	cleanupThreshold = 4096

	// withdrawnRetention is how long a withdrawn endpoint is kept. It is much longer than the lifetime of any message.
	withdrawnRetention = 600 * control.Second
)

// removeExpired removes withdrawn endpoints, waits of endpoints and blocked keys that have no effect any more. The caller
// holds the lock.
func (g *Guard) removeExpired(now control.Time) {
	maps.DeleteFunc(g.withdrawnSince, func(_ control.EndpointID, since control.Time) bool { return now-since > withdrawnRetention })
	maps.DeleteFunc(g.endpointRetryAfter, func(_ control.EndpointID, until control.Time) bool { return until < now })
	maps.DeleteFunc(g.blockedKeys, func(_ uint64, until control.Time) bool { return until < now })
}

// recordViolation counts a violation and returns it as an error. The caller holds the lock.
func (g *Guard) recordViolation(action string, id control.MessageID, cause error) error {
	g.violations++
	return &Violation{Message: id, Action: action, Cause: cause}
}
