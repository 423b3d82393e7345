// Package safety is the one place that permits what can't be taken back: that a call is made and written, and that a message is
// handed back as harmless. It keeps the facts that the rules rest on apart from the decision module, from what the engine
// learns, and is asked twice for each call: when the module decides it (Plan), and again in the moment in which its bytes are
// put on a connection (Write), as much may have happened in between.
//
// A refusal of Plan or of Refuse means that the module and these facts differ: that is a defect, it is counted and reported,
// and the call is not made. A refusal of Write is a crossing: the call is taken back unsent.
//
// The package does no input or output and reads no clock. A Guard may be used from any goroutine.
package safety

import (
	"errors"
	"fmt"
	"maps"
	"sync"

	"whinrun/control"
)

// Reasons why something is not permitted.
var (
	ErrUnknownMessage    = errors.New("the message is not known")
	ErrMessageFinished   = errors.New("the message has its final answer")
	ErrAttemptInFlight   = errors.New("another attempt of the message is out")
	ErrAttemptsExhausted = errors.New("all attempts allowed are made")
	ErrDeadlineExceeded  = errors.New("the message's time is over")
	ErrPossiblyExecuted  = errors.New("it may have been executed, and its class does not allow a repeat")
	ErrWindowExpired     = errors.New("it may have been executed, and its window for repeats is over")
	ErrOtherZone         = errors.New("it may have been executed in another zone, where alone repeats are dropped")
	ErrEndpointWithdrawn = errors.New("the endpoint drains or is gone")
	ErrRetryAfterPending = errors.New("a told wait is not over")
	ErrOutOfOrder        = errors.New("an earlier message of the same key is unfinished")
	ErrKeyBlocked        = errors.New("the key rests: what became of an earlier message is not known")
	ErrRecordMismatch    = errors.New("the record says otherwise what became of its attempts")
	ErrAlreadyWritten    = errors.New("it was written")
	ErrUnsafeRepeat      = errors.New("handing it in again could execute it twice")
)

// Message is what counts of a message when it is accepted.
type Message struct {
	ID               control.MessageID
	Class            int
	OrderKey         uint64       // order key, 0 for none
	Deadline         control.Time // its time is over then
	Attempts         int          // made by processes before this one
	PossiblyExecuted bool         // by one of them, which began ...
	ExecutedAt       control.Time // ... then ...
	ExecutedZone     int          // ... to this zone
}

// Call is one attempt.
type Call struct {
	Message           control.MessageID
	Attempt           int // 0 is the first
	Endpoint          control.EndpointID
	Dest              int
	Zone              int
	PerEndpointLimits bool // limits and waits are of the endpoint, and not of the destination
}

// Violation is something that the rules forbid and that was about to happen. It was prevented.
type Violation struct {
	Message control.MessageID
	Action  string
	Cause   error
}

func (v *Violation) Error() string {
	return fmt.Sprintf("safety: %s of message %d: %v", v.Action, v.Message, v.Cause)
}

// Unwrap returns the cause.
func (v *Violation) Unwrap() error { return v.Cause }

// Guard keeps the facts.
type Guard struct {
	settings control.Settings

	mu         sync.Mutex
	messages   map[control.MessageID]*message
	withdrawn  map[control.EndpointID]control.Time // draining or gone, and since when
	destWaits  map[int]control.Time                // until when destinations told to wait
	routeWaits map[control.EndpointID]control.Time // the same of endpoints with limits of their own
	keys       map[uint64][]*message               // unfinished messages of a key, in the order of their acceptance
	rests      map[uint64]control.Time             // until when keys rest
	violations uint64
}

// message is what is known of one.
type message struct {
	Message
	class   *control.Class
	out     int  // attempt that is out, -1 for none
	written bool // the attempt that is out may have been written
	ended   bool
}

const noAttempt = -1

// NewGuard makes a Guard for settings.
func NewGuard(s control.Settings) *Guard {
	return &Guard{settings: s, messages: map[control.MessageID]*message{}, withdrawn: map[control.EndpointID]control.Time{},
		destWaits: map[int]control.Time{}, routeWaits: map[control.EndpointID]control.Time{}, keys: map[uint64][]*message{}, rests: map[uint64]control.Time{}}
}

// Violations counts what was prevented.
func (g *Guard) Violations() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.violations
}

// Accept takes a message on.
func (g *Guard) Accept(m Message) {
	g.mu.Lock()
	defer g.mu.Unlock()
	x := &message{Message: m, class: &g.settings.Classes[m.Class], out: noAttempt}
	g.messages[m.ID] = x
	if x.class.InOrder && m.OrderKey != 0 {
		g.keys[m.OrderKey] = append(g.keys[m.OrderKey], x)
	}
}

// AuthorizeCall permits a call that the module has decided, and counts it as out. An error is a *Violation.
func (g *Guard) AuthorizeCall(now control.Time, c Call) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.messages[c.Message]
	err := g.mayCall(now, m, c)
	if err == nil && m.out != noAttempt {
		err = ErrAttemptInFlight
	}
	if err == nil && m.Attempts >= g.settings.MaxAttempts {
		err = ErrAttemptsExhausted
	}
	if err != nil {
		return g.violated("call", c.Message, err)
	}
	m.Attempts++
	m.out, m.written = c.Attempt, false
	return nil
}

// Write permits that a planned call is put on a connection now. From here on it may be executed.
func (g *Guard) Write(now control.Time, c Call) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.messages[c.Message]
	if err := g.mayCall(now, m, c); err != nil {
		return err
	}
	if m.out != c.Attempt {
		return ErrAttemptInFlight
	}
	m.written = true
	return nil
}

// RevokeWrite tells that a call which Write permitted was not written after all: its connection had no room for it.
func (g *Guard) RevokeWrite(c Call) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.messages[c.Message]; m != nil && m.out == c.Attempt {
		m.written = false
	}
}

// mayCall tells why a call must not be made now, whoever asks; it is called with the lock held.
func (g *Guard) mayCall(now control.Time, m *message, c Call) error {
	if m == nil {
		return ErrUnknownMessage
	}
	switch {
	case m.ended:
		return ErrMessageFinished
	case now >= m.Deadline:
		return ErrDeadlineExceeded
	case g.drained(c.Endpoint):
		return ErrEndpointWithdrawn
	case now < g.waitsUntil(c):
		return ErrRetryAfterPending
	case !g.isFirst(m):
		return ErrOutOfOrder
	case m.Attempts == 0 && now < g.rests[m.OrderKey]:
		return ErrKeyBlocked
	}
	return m.mayRepeat(now, c.Zone)
}

// mayRepeat tells why a message that may have been executed must not be called again.
func (m *message) mayRepeat(now control.Time, zone int) error {
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

func (g *Guard) drained(e control.EndpointID) bool {
	_, ok := g.withdrawn[e]
	return ok
}

func (g *Guard) waitsUntil(c Call) control.Time {
	if c.PerEndpointLimits {
		return g.routeWaits[c.Endpoint]
	}
	return g.destWaits[c.Dest]
}

// isFirst tells whether no earlier message of the same key is unfinished.
func (g *Guard) isFirst(m *message) bool {
	queue := g.keys[m.OrderKey]
	return !m.class.InOrder || m.OrderKey == 0 || len(queue) > 0 && queue[0] == m
}

// AttemptResult is what the end of a call proved.
type AttemptResult struct {
	PossiblyExecuted bool // it may have been executed
	Unsent           bool // this side says that nothing of it was written
	NotCounted       bool // and it does not count as an attempt
	Unconfirmed      bool // the peer said nothing of its end: it may be executed yet
}

// FinishAttempt takes the end of a call that began at a moment. An error is a *Violation: the end claims that nothing was sent of a
// call that was written, and the message counts as possibly executed all the same.
func (g *Guard) FinishAttempt(now control.Time, c Call, began control.Time, e AttemptResult) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.messages[c.Message]
	if m == nil || m.out != c.Attempt {
		return g.violated("end of an attempt", c.Message, ErrUnknownMessage)
	}
	m.out = noAttempt
	var err error
	if e.Unsent && m.written {
		err = g.violated("end as unsent", c.Message, ErrAlreadyWritten)
	}
	if e.NotCounted && err == nil {
		m.Attempts--
	}
	if (e.PossiblyExecuted || err != nil) && !m.PossiblyExecuted {
		m.PossiblyExecuted, m.ExecutedAt, m.ExecutedZone = true, began, c.Zone
	}
	if e.Unconfirmed && m.class.InOrder && m.OrderKey != 0 {
		g.rests[m.OrderKey] = now + g.settings.SettleTime
	}
	g.forget(m)
	return err
}

// FirstExecution tells since when a message may have been executed, and where; ok is false where it surely was not.
func (g *Guard) FirstExecution(id control.MessageID) (at control.Time, zone int, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.messages[id]
	if m == nil || !m.PossiblyExecuted {
		return 0, 0, false
	}
	return m.ExecutedAt, m.ExecutedZone, true
}

// AuthorizeRefusal permits that a message is handed back as harmless. An error is a *Violation: it must be failed instead.
func (g *Guard) AuthorizeRefusal(id control.MessageID) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.messages[id]
	switch {
	case m == nil:
		return g.violated("refusal", id, ErrUnknownMessage)
	case m.ended:
		return g.violated("refusal", id, ErrMessageFinished)
	case m.mayBeHandedInAgain():
		return nil
	}
	return g.violated("refusal", id, ErrUnsafeRepeat)
}

// mayBeHandedInAgain tells whether executing a message again does no harm: its sender may bring it at any time, to any
// dispatcher, by its own clock.
func (m *message) mayBeHandedInAgain() bool {
	maybe := m.PossiblyExecuted || m.out != noAttempt && m.written
	return !maybe || m.class.Effect == control.Idempotent || m.class.Effect == control.Deduplicated && !m.class.DedupPerZone
}

// VerifyRecord checks that the record which another process would go by says the same of a message as this one knows: when it may
// first have been executed, 0 for never. It is to be asked behind each change of the record. An error is a *Violation.
func (g *Guard) VerifyRecord(id control.MessageID, attempts int, executed bool, executedAt control.Time) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.messages[id]
	if m == nil {
		return nil // it ended meanwhile
	}
	if attempts != m.Attempts || executed != m.PossiblyExecuted || executed && executedAt != m.ExecutedAt {
		return g.violated("record", id, ErrRecordMismatch)
	}
	return nil
}

// FinishMessage ends a message: nothing is sent for it any more.
func (g *Guard) FinishMessage(id control.MessageID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.messages[id]; m != nil {
		m.ended = true
		g.forget(m)
	}
}

// forget drops a message that has ended and has nothing out; it is called with the lock held.
func (g *Guard) forget(m *message) {
	if !m.ended || m.out != noAttempt {
		return
	}
	delete(g.messages, m.ID)
	queue := g.keys[m.OrderKey]
	for i, o := range queue {
		if o == m {
			queue = append(queue[:i:i], queue[i+1:]...)
			break
		}
	}
	if len(queue) == 0 {
		delete(g.keys, m.OrderKey)
	} else if m.OrderKey != 0 && m.class.InOrder {
		g.keys[m.OrderKey] = queue
	}
}

// SetHealth takes what the endpoint list says of an endpoint.
func (g *Guard) SetHealth(now control.Time, e control.EndpointID, h control.Health) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if h == control.Ready {
		delete(g.withdrawn, e)
		return
	}
	if !g.drained(e) {
		g.withdrawn[e] = now
	}
	if len(g.withdrawn)+len(g.rests)+len(g.routeWaits) > tidyAbove {
		g.tidy(now)
	}
}

// SetRetryAfter takes a wait that was told in the answer to a call.
func (g *Guard) SetRetryAfter(c Call, until control.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.PerEndpointLimits {
		g.routeWaits[c.Endpoint] = max(g.routeWaits[c.Endpoint], until)
	} else {
		g.destWaits[c.Dest] = max(g.destWaits[c.Dest], until)
	}
}

// Bounds of what is kept of endpoints that left the list, and of waits that are over.
const (
	tidyAbove = 4096
	keptFor   = 600 * control.Second // far longer than any message lives
)

// tidy forgets what is of no more use; it is called with the lock held.
func (g *Guard) tidy(now control.Time) {
	maps.DeleteFunc(g.withdrawn, func(_ control.EndpointID, since control.Time) bool { return now-since > keptFor })
	maps.DeleteFunc(g.routeWaits, func(_ control.EndpointID, until control.Time) bool { return until < now })
	maps.DeleteFunc(g.rests, func(_ uint64, until control.Time) bool { return until < now })
}

// violated counts a violation; it is called with the lock held.
func (g *Guard) violated(action string, id control.MessageID, cause error) error {
	g.violations++
	return &Violation{Message: id, Action: action, Cause: cause}
}
