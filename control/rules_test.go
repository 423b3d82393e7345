package control

import (
	"math/rand"
	"slices"
	"testing"
)

// ruleChecker observes the events and actions of a Dispatcher and checks them against the rules of the interface.
type ruleChecker struct {
	t        *testing.T
	settings Settings
	now      Time
	messages map[MessageID]*trackedMessage
	// waitUntil is the end of the wait by the key that waitKey returns.
	waitUntil map[int]Time
	// ready tells which endpoints are listed as ready.
	ready map[EndpointID]bool
	// calls counts the messages in flight of each call. The key is the time of the round and the endpoint.
	calls map[[2]int64]int
	// messagesByKey are the messages of each ordering key in order of arrival. Leading ones that are over are dropped.
	messagesByKey map[uint64][]*trackedMessage
	// keyRestUntil is when the next message of a key may have its first attempt.
	keyRestUntil map[uint64]Time
	// timers are the pending timers of messages. After is changed to the instant at which the timer is due.
	timers   []Action
	inFlight []*trackedMessage
	// unanswered are the messages without a final answer.
	unanswered []*trackedMessage
}

// trackedMessage is what the ruleChecker knows about a message.
type trackedMessage struct {
	id       MessageID
	class    *Class
	dest     int
	key      uint64
	deadline Time
	// ended tells that the message has its final answer or was delivered.
	ended    bool
	attempts int
	endpoint EndpointID
	// sentAt is when its last attempt was sent. With the endpoint it identifies the call.
	sentAt           Time
	inFlight         bool
	possiblyExecuted bool
	// possiblyExecutedAt is when the first attempt that was possibly executed was sent.
	possiblyExecutedAt Time
	// lastSentAt equals sentAt.
	lastSentAt Time
}

// check fails the test with the broken rule unless ok.
func (c *ruleChecker) check(ok bool, m *trackedMessage, rule string) {
	c.t.Helper()
	if !ok {
		c.t.Fatalf("at %d: %s: %+v", c.now, rule, *m)
	}
}

// onAction checks an action other than Cancel.
func (c *ruleChecker) onAction(a Action) {
	m := c.messages[a.Message]
	switch a.Kind {
	case Timer:
		if a.TimerToken != 0 {
			a.After += c.now
			c.timers = append(c.timers, a)
		}
		return
	case Log, CloseIdle, Watch, Fetch, SendGossip:
		return
	}
	if m == nil {
		c.t.Fatalf("action for an unknown message: %+v", a)
	}
	switch a.Kind {
	case Refuse, Fail:
		c.check(!m.ended, m, "second final answer")
		possiblyExecuted := (m.possiblyExecuted || m.inFlight) && m.class.Effect != Idempotent
		c.check(a.Kind == Fail || !possiblyExecuted || m.class.Effect == Deduplicated, m, "refused although it was possibly executed")
		m.ended = true
	case Send:
		c.onSend(m, a)
	}
}

// onSend checks that an attempt is permitted and records it.
func (c *ruleChecker) onSend(m *trackedMessage, a Action) {
	c.check(!m.ended && !m.inFlight, m, "sent although ended or in flight")
	c.check(c.ready[a.Endpoint] && int(a.Endpoint)/10 == m.dest, m, "sent to an endpoint that is not ready or not of its destination")
	c.check(c.now >= c.waitUntil[waitKey(m.dest, a.Endpoint)], m, "sent during a wait")
	c.check(m.attempts < c.settings.MaxAttempts && c.now < m.deadline, m, "sent too often or too late")
	if m.possiblyExecuted {
		c.check(m.class.Effect != AtMostOnce, m, "possibly executed at-most-once message sent again")
		c.check(m.class.Effect == Idempotent || c.now < m.possiblyExecutedAt+m.class.DedupWindow, m, "repeated after its deduplication window")
	}
	if m.key != 0 {
		queue := c.messagesByKey[m.key]
		for len(queue) > 0 && queue[0].ended && !queue[0].inFlight {
			queue = queue[1:]
		}
		c.messagesByKey[m.key] = queue
		c.check(queue[0] == m, m, "sent out of order")
		c.check(m.attempts > 0 || c.now >= c.keyRestUntil[m.key], m, "first attempt while its key rests")
	}
	m.attempts++
	m.inFlight, m.endpoint, m.sentAt, m.lastSentAt = true, a.Endpoint, c.now, c.now
	c.calls[[2]int64{int64(c.now), int64(a.Endpoint)}]++
	c.inFlight = append(c.inFlight, m)
	c.check(len(c.calls) <= c.settings.Slots, m, "more calls than slots")
}

// perEndpointDest is the destination whose kind has PerEndpointLimits.
const perEndpointDest = 4

// waitKey identifies what a wait applies to: the endpoint for perEndpointDest, otherwise the destination.
func waitKey(dest int, e EndpointID) int {
	if dest == perEndpointDest {
		return int(e)
	}
	return -dest
}

// endAttempt returns the outcome of an attempt in flight and records what follows from it.
func (c *ruleChecker) endAttempt(m *trackedMessage, result Result, wait Time) Event {
	m.inFlight = false
	callKey := [2]int64{int64(m.sentAt), int64(m.endpoint)}
	if c.calls[callKey]--; c.calls[callKey] == 0 {
		delete(c.calls, callKey)
	}
	switch result {
	case OK:
		m.ended = true
	case LimitExceeded:
		if wait > 0 {
			key := waitKey(m.dest, m.endpoint)
			c.waitUntil[key] = max(c.waitUntil[key], c.now+wait)
		}
	case ConnectFailed:
	default:
		if !m.possiblyExecuted {
			m.possiblyExecuted, m.possiblyExecutedAt = true, m.lastSentAt
		}
		if m.key != 0 && result != ErrorResponse {
			c.keyRestUntil[m.key] = c.now + c.settings.SettleTime
		}
	}
	return Event{Kind: Outcome, Message: m.id, Attempt: m.attempts - 1, Endpoint: m.endpoint, Result: result, Closed: m.ended,
		Elapsed: c.now - m.sentAt, RetryAfter: wait, Report: []float32{float32(c.now%3) / 2, 5}}
}

// With random valid and invalid events for several seeds, the rules hold and each message gets exactly one final answer in time.
func TestRulesHoldUnderRandomEvents(t *testing.T) {
	for seed := range int64(12) {
		runRandomEvents(t, seed)
	}
}

// runRandomEvents simulates two minutes of random events and checks every action.
func runRandomEvents(t *testing.T, seed int64) {
	rng := rand.New(rand.NewSource(seed))
	settings := testSettings()
	settings.Slots, settings.MaxOpen, settings.Instances = 2+rng.Intn(8), 16+rng.Intn(60), 1+rng.Intn(40)
	settings.Tick = 20 * Millisecond
	if seed%2 == 1 { // Odd seeds also use the optional features.
		settings.PullList, settings.PullInterval, settings.Gossip, settings.GossipCost = true, 10*sec, true, 0.01/256
		settings.RetryAfter, settings.MaxRetryAfter, settings.ReportRemainingIndex, settings.ReportLimitIndex = true, 3*sec, 0, 1
		settings.ZoneCosts = []float64{0.05}
	}
	dispatcher, err := New(settings, uint64(seed))
	if err != nil {
		t.Fatal(err)
	}
	checker := &ruleChecker{t: t, settings: settings, messages: map[MessageID]*trackedMessage{}, waitUntil: map[int]Time{}, ready: map[EndpointID]bool{},
		calls: map[[2]int64]int{}, messagesByKey: map[uint64][]*trackedMessage{}, keyRestUntil: map[uint64]Time{}}
	failing := map[int]Result{}
	for round := Time(0); round < 6000; round++ {
		checker.now = round * 20 * Millisecond
		var events []Event
		for dest := 1; dest <= 4; dest++ { // Destinations change between failures and success.
			if rng.Intn(300) == 0 {
				failing[dest] = Result(rng.Intn(int(NotExecuted)))
			}
		}
		if round == 0 || rng.Intn(100) == 0 {
			e := entry(1+rng.Intn(4), rng.Intn(3), rng.Intn(2))
			if e.Health = Health(rng.Intn(3)); e.Dest == perEndpointDest {
				e.DestinationKind = 2
			}
			if round < 3 {
				e.Health = Ready
			}
			checker.ready[e.Endpoint] = e.Health == Ready
			events = append(events, Event{Kind: ListUpdate, Entries: []Entry{e}})
		}
		if round < 4500 && rng.Intn(4) == 0 {
			events = append(events, checker.arrival(rng))
		}
		stillInFlight := checker.inFlight[:0]
		for _, m := range checker.inFlight {
			res, lost := failing[m.dest], failing[m.dest] == TimedOut
			switch {
			case checker.now >= m.deadline:
				events = append(events, checker.endAttempt(m, TimedOut, 0))
			case lost || rng.Intn(10) > 0:
				stillInFlight = append(stillInFlight, m)
			case res == LimitExceeded && rng.Intn(2) == 0:
				events = append(events, checker.endAttempt(m, LimitExceeded, Time(rng.Intn(3000))*Millisecond))
			default:
				events = append(events, checker.endAttempt(m, res, 0))
			}
		}
		checker.inFlight = stillInFlight
		checker.timers = slices.DeleteFunc(checker.timers, func(a Action) bool {
			if checker.now < a.After {
				return false
			}
			events = append(events, Event{Kind: TimerFired, TimerToken: a.TimerToken})
			return true
		})
		events = append(events, illegalEvents(rng)...)
		for _, a := range dispatcher.Step(checker.now, events, nil) {
			if a.Kind == Cancel {
				checker.onCancel(a)
				continue
			}
			checker.onAction(a)
		}
		checker.unanswered = slices.DeleteFunc(checker.unanswered, func(m *trackedMessage) bool {
			checker.check(m.ended || checker.now <= m.deadline, m, "no final answer by the deadline")
			return m.ended
		})
	}
	if len(dispatcher.messages) > 0 || dispatcher.busySlots != 0 || dispatcher.openMessages != 0 {
		t.Errorf("seed %d: left: %d messages, %d busy slots, %d open messages", seed, len(dispatcher.messages), dispatcher.busySlots, dispatcher.openMessages)
	}
}

// onCancel checks that a cancelled attempt is in flight. Its outcome comes like that of any other attempt, so it may come only
// at the deadline.
func (c *ruleChecker) onCancel(a Action) {
	m := c.messages[a.Message]
	c.check(m != nil && m.inFlight && m.attempts-1 == a.Attempt, m, "cancelled without an attempt in flight")
}

// arrival returns the Arrival event of a new random message.
func (c *ruleChecker) arrival(rng *rand.Rand) Event {
	class := rng.Intn(4)
	m := &trackedMessage{id: MessageID(len(c.messages) + 1), class: &c.settings.Classes[class], dest: 1 + rng.Intn(4)}
	timeLeft := Time(1+rng.Intn(20)) * sec
	if rng.Intn(4) == 0 {
		timeLeft = Time(rng.Intn(1500)) * Millisecond // This is a client with a short timeout.
	}
	m.deadline = c.now + timeLeft
	if m.class.InOrder {
		m.key = uint64(1 + m.dest)
		c.messagesByKey[m.key] = append(c.messagesByKey[m.key], m)
	}
	c.messages[m.id] = m
	c.unanswered = append(c.unanswered, m)
	return Event{Kind: Arrival, Message: m.id, Class: class, Dest: m.dest, Key: m.key, TimeLeft: timeLeft}
}

// illegalEvents returns random events that no correct caller sends. They must not break any rule.
func illegalEvents(rng *rand.Rand) []Event {
	switch rng.Intn(8) {
	case 0:
		return []Event{outcome(MessageID(1e9), 0, Result(rng.Intn(9))), {Kind: Withdrawn, Message: 1e9}}
	case 1:
		return []Event{{Kind: TimerFired, TimerToken: 1e12}, {Kind: ProbeResult, Endpoint: 999}, {Kind: EventKind(77)}}
	case 2:
		return []Event{outcome(MessageID(1+rng.Intn(50)), 90, OK), {Kind: ListUpdate, ListKind: ListFailed}}
	case 3:
		hint := hintID(endpointID(1+rng.Intn(4), rng.Intn(3)))
		return []Event{{Kind: GossipReceived, Payload: string([]byte{byte(rng.Intn(256)), byte(hint >> 16), byte(hint >> 8), byte(hint), 7})}}
	}
	return nil
}
