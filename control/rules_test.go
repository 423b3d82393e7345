package control

import (
	"math/rand"
	"slices"
	"testing"
)

// ruleChecker follows a Dispatcher from outside and holds what it does against the rules.
type ruleChecker struct {
	t             *testing.T
	settings      Settings
	now           Time
	messages      map[MessageID]*trackedMessage
	waitUntil     map[int]Time        // until when a destination, or a route apart, told to wait
	ready         map[EndpointID]bool // listed ready
	calls         map[[2]int64]int    // messages out by round and endpoint: one call
	messagesByKey map[uint64][]*trackedMessage
	keyRestUntil  map[uint64]Time
	timers        []Action
	inFlight      []*trackedMessage
	unanswered    []*trackedMessage // without a final answer
}

type trackedMessage struct {
	id                 MessageID
	class              *Class
	dest               int
	key                uint64
	deadline           Time
	ended              bool
	attempts           int
	endpoint           EndpointID
	sentAt             Time
	inFlight           bool
	possiblyExecuted   bool
	possiblyExecutedAt Time
	lastSentAt         Time
}

func (c *ruleChecker) check(ok bool, m *trackedMessage, rule string) {
	c.t.Helper()
	if !ok {
		c.t.Fatalf("at %d: %s: %+v", c.now, rule, *m)
	}
}

func (c *ruleChecker) onAction(a Action) {
	m := c.messages[a.Message]
	switch a.Kind {
	case Timer:
		if a.TimerToken != 0 {
			a.After += c.now
			c.timers = append(c.timers, a)
		}
		return
	case Log, Close, Watch, Fetch, SendGossip:
		return
	}
	if m == nil {
		c.t.Fatalf("acts for a message never taken: %+v", a)
	}
	switch a.Kind {
	case Refuse, Fail:
		c.check(!m.ended, m, "a second final answer")
		maybe := (m.possiblyExecuted || m.inFlight) && m.class.Effect != Idempotent
		c.check(a.Kind == Fail || !maybe || m.class.Effect == Deduplicated, m, "handed back though it may have run")
		m.ended = true
	case Send:
		c.onSend(m, a)
	}
}

func (c *ruleChecker) onSend(m *trackedMessage, a Action) {
	c.check(!m.ended && !m.inFlight, m, "sent though ended or out")
	c.check(c.ready[a.Endpoint] && int(a.Endpoint)/10 == m.dest, m, "sent to an endpoint not listed ready")
	c.check(c.now >= c.waitUntil[waitKey(m.dest, a.Endpoint)], m, "sent during a told wait")
	c.check(m.attempts < c.settings.MaxAttempts && c.now < m.deadline, m, "sent too often or too late")
	if m.possiblyExecuted {
		c.check(m.class.Effect != AtMostOnce, m, "unsafe message sent again in doubt")
		c.check(m.class.Effect == Idempotent || c.now < m.possiblyExecutedAt+m.class.DedupWindow, m, "repeat past its window")
	}
	if m.key != 0 {
		q := c.messagesByKey[m.key]
		for len(q) > 0 && q[0].ended && !q[0].inFlight {
			q = q[1:]
		}
		c.messagesByKey[m.key] = q
		c.check(q[0] == m, m, "out of order")
		c.check(m.attempts > 0 || c.now >= c.keyRestUntil[m.key], m, "sent while its key rests")
	}
	m.attempts++
	m.inFlight, m.endpoint, m.sentAt, m.lastSentAt = true, a.Endpoint, c.now, c.now
	c.calls[[2]int64{int64(c.now), int64(a.Endpoint)}]++
	c.inFlight = append(c.inFlight, m)
	c.check(len(c.calls) <= c.settings.Slots, m, "more calls than slots")
}

// perEndpointDest is the destination of the random plays whose endpoints are routes apart.
const perEndpointDest = 4

// waitKey is what a told wait binds: the destination, or the route where routes are apart.
func waitKey(dest int, e EndpointID) int {
	if dest == perEndpointDest {
		return int(e)
	}
	return -dest
}

// endAttempt makes the outcome of one attempt out and notes what it tells.
func (c *ruleChecker) endAttempt(m *trackedMessage, res Result, wait Time) Event {
	m.inFlight = false
	call := [2]int64{int64(m.sentAt), int64(m.endpoint)}
	if c.calls[call]--; c.calls[call] == 0 {
		delete(c.calls, call)
	}
	switch res {
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
		if m.key != 0 && res != ErrorResponse {
			c.keyRestUntil[m.key] = c.now + c.settings.SettleTime
		}
	}
	return Event{Kind: Outcome, Message: m.id, Attempt: m.attempts - 1, Endpoint: m.endpoint, Result: res, Closed: m.ended,
		Elapsed: c.now - m.sentAt, RetryAfter: wait, Report: []float32{float32(c.now%3) / 2, 5}}
}

// Random events, legal and not, for several seeds: whatever comes, the rules hold and each message has one answer.
func TestRulesHoldUnderRandomEvents(t *testing.T) {
	for seed := range int64(12) {
		runRandomEvents(t, seed)
	}
}

func runRandomEvents(t *testing.T, seed int64) {
	rng := rand.New(rand.NewSource(seed))
	settings := testSettings()
	settings.Slots, settings.MaxOpen, settings.Instances = 2+rng.Intn(8), 16+rng.Intn(60), 1+rng.Intn(40)
	settings.Tick = 20 * Millisecond
	if seed%2 == 1 { // the newer settings
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
		for dest := 1; dest <= 4; dest++ { // destinations fall ill and well
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
			checker.check(m.ended || checker.now <= m.deadline, m, "no answer in time")
			return m.ended
		})
	}
	if len(dispatcher.messages) > 0 || dispatcher.busySlots != 0 || dispatcher.openMessages != 0 {
		t.Errorf("seed %d: left %d messages, %d slots, %d open", seed, len(dispatcher.messages), dispatcher.busySlots, dispatcher.openMessages)
	}
}

// onCancel checks that what is called off is out; its outcome comes like any other, sometimes never before its time.
func (c *ruleChecker) onCancel(a Action) {
	m := c.messages[a.Message]
	c.check(m != nil && m.inFlight && m.attempts-1 == a.Attempt, m, "cancels what is not out")
}

func (c *ruleChecker) arrival(rng *rand.Rand) Event {
	class := rng.Intn(4)
	m := &trackedMessage{id: MessageID(len(c.messages) + 1), class: &c.settings.Classes[class], dest: 1 + rng.Intn(4)}
	timeLeft := Time(1+rng.Intn(20)) * sec
	if rng.Intn(4) == 0 {
		timeLeft = Time(rng.Intn(1500)) * Millisecond // short patience
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

// illegalEvents makes events that no honest caller sends: they must change nothing that the rules see.
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
