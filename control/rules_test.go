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

func (j *ruleChecker) check(ok bool, m *trackedMessage, rule string) {
	j.t.Helper()
	if !ok {
		j.t.Fatalf("at %d: %s: %+v", j.now, rule, *m)
	}
}

func (j *ruleChecker) onAction(a Action) {
	m := j.messages[a.Message]
	switch a.Kind {
	case Timer:
		if a.TimerToken != 0 {
			a.After += j.now
			j.timers = append(j.timers, a)
		}
		return
	case Log, Close, Watch, Fetch, SendGossip:
		return
	}
	if m == nil {
		j.t.Fatalf("acts for a message never taken: %+v", a)
	}
	switch a.Kind {
	case Refuse, Fail:
		j.check(!m.ended, m, "a second final answer")
		maybe := (m.possiblyExecuted || m.inFlight) && m.class.Effect != Idempotent
		j.check(a.Kind == Fail || !maybe || m.class.Effect == Deduplicated, m, "handed back though it may have run")
		m.ended = true
	case Send:
		j.onSend(m, a)
	}
}

func (j *ruleChecker) onSend(m *trackedMessage, a Action) {
	j.check(!m.ended && !m.inFlight, m, "sent though ended or out")
	j.check(j.ready[a.Endpoint] && int(a.Endpoint)/10 == m.dest, m, "sent to an endpoint not listed ready")
	j.check(j.now >= j.waitUntil[waitKey(m.dest, a.Endpoint)], m, "sent during a told wait")
	j.check(m.attempts < j.settings.MaxAttempts && j.now < m.deadline, m, "sent too often or too late")
	if m.possiblyExecuted {
		j.check(m.class.Effect != AtMostOnce, m, "unsafe message sent again in doubt")
		j.check(m.class.Effect == Idempotent || j.now < m.possiblyExecutedAt+m.class.DedupWindow, m, "repeat past its window")
	}
	if m.key != 0 {
		q := j.messagesByKey[m.key]
		for len(q) > 0 && q[0].ended && !q[0].inFlight {
			q = q[1:]
		}
		j.messagesByKey[m.key] = q
		j.check(q[0] == m, m, "out of order")
		j.check(m.attempts > 0 || j.now >= j.keyRestUntil[m.key], m, "sent while its key rests")
	}
	m.attempts++
	m.inFlight, m.endpoint, m.sentAt, m.lastSentAt = true, a.Endpoint, j.now, j.now
	j.calls[[2]int64{int64(j.now), int64(a.Endpoint)}]++
	j.inFlight = append(j.inFlight, m)
	j.check(len(j.calls) <= j.settings.Slots, m, "more calls than slots")
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
func (j *ruleChecker) endAttempt(m *trackedMessage, res Result, wait Time) Event {
	m.inFlight = false
	call := [2]int64{int64(m.sentAt), int64(m.endpoint)}
	if j.calls[call]--; j.calls[call] == 0 {
		delete(j.calls, call)
	}
	switch res {
	case OK:
		m.ended = true
	case LimitExceeded:
		if wait > 0 {
			k := waitKey(m.dest, m.endpoint)
			j.waitUntil[k] = max(j.waitUntil[k], j.now+wait)
		}
	case ConnectFailed:
	default:
		if !m.possiblyExecuted {
			m.possiblyExecuted, m.possiblyExecutedAt = true, m.lastSentAt
		}
		if m.key != 0 && res != ErrorResponse {
			j.keyRestUntil[m.key] = j.now + j.settings.SettleTime
		}
	}
	return Event{Kind: Outcome, Message: m.id, Attempt: m.attempts - 1, Endpoint: m.endpoint, Result: res, Closed: m.ended,
		Elapsed: j.now - m.sentAt, RetryAfter: wait, Report: []float32{float32(j.now%3) / 2, 5}}
}

// Random events, legal and not, for several seeds: whatever comes, the rules hold and each message has one answer.
func TestRulesHoldUnderRandomEvents(t *testing.T) {
	for seed := range int64(12) {
		runRandomEvents(t, seed)
	}
}

func runRandomEvents(t *testing.T, seed int64) {
	rng := rand.New(rand.NewSource(seed))
	set := testSettings()
	set.Slots, set.MaxOpen, set.Instances = 2+rng.Intn(8), 16+rng.Intn(60), 1+rng.Intn(40)
	set.Tick = 20 * Millisecond
	if seed%2 == 1 { // the newer settings
		set.PullList, set.PullInterval, set.Gossip, set.GossipCost = true, 10*sec, true, 0.01/256
		set.RetryAfter, set.MaxRetryAfter, set.ReportRemainingIndex, set.ReportLimitIndex = true, 3*sec, 0, 1
		set.ZoneCosts = []float64{0.05}
	}
	d, err := New(set, uint64(seed))
	if err != nil {
		t.Fatal(err)
	}
	j := &ruleChecker{t: t, settings: set, messages: map[MessageID]*trackedMessage{}, waitUntil: map[int]Time{}, ready: map[EndpointID]bool{},
		calls: map[[2]int64]int{}, messagesByKey: map[uint64][]*trackedMessage{}, keyRestUntil: map[uint64]Time{}}
	sick := map[int]Result{}
	for round := Time(0); round < 6000; round++ {
		j.now = round * 20 * Millisecond
		var events []Event
		for dest := 1; dest <= 4; dest++ { // destinations fall ill and well
			if rng.Intn(300) == 0 {
				sick[dest] = Result(rng.Intn(int(NotExecuted)))
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
			j.ready[e.Endpoint] = e.Health == Ready
			events = append(events, Event{Kind: ListUpdate, Entries: []Entry{e}})
		}
		if round < 4500 && rng.Intn(4) == 0 {
			events = append(events, j.arrival(rng))
		}
		rest := j.inFlight[:0]
		for _, m := range j.inFlight {
			res, lost := sick[m.dest], sick[m.dest] == TimedOut
			switch {
			case j.now >= m.deadline:
				events = append(events, j.endAttempt(m, TimedOut, 0))
			case lost || rng.Intn(10) > 0:
				rest = append(rest, m)
			case res == LimitExceeded && rng.Intn(2) == 0:
				events = append(events, j.endAttempt(m, LimitExceeded, Time(rng.Intn(3000))*Millisecond))
			default:
				events = append(events, j.endAttempt(m, res, 0))
			}
		}
		j.inFlight = rest
		j.timers = slices.DeleteFunc(j.timers, func(a Action) bool {
			if j.now < a.After {
				return false
			}
			events = append(events, Event{Kind: TimerFired, TimerToken: a.TimerToken})
			return true
		})
		events = append(events, illegalEvents(rng)...)
		for _, a := range d.Step(j.now, events, nil) {
			if a.Kind == Cancel {
				j.onCancel(a)
				continue
			}
			j.onAction(a)
		}
		j.unanswered = slices.DeleteFunc(j.unanswered, func(m *trackedMessage) bool {
			j.check(m.ended || j.now <= m.deadline, m, "no answer in time")
			return m.ended
		})
	}
	if len(d.messages) > 0 || d.busySlots != 0 || d.openMessages != 0 {
		t.Errorf("seed %d: left %d messages, %d slots, %d open", seed, len(d.messages), d.busySlots, d.openMessages)
	}
}

// onCancel checks that what is called off is out; its outcome comes like any other, sometimes never before its time.
func (j *ruleChecker) onCancel(a Action) {
	m := j.messages[a.Message]
	j.check(m != nil && m.inFlight && m.attempts-1 == a.Attempt, m, "cancels what is not out")
}

func (j *ruleChecker) arrival(rng *rand.Rand) Event {
	class := rng.Intn(4)
	m := &trackedMessage{id: MessageID(len(j.messages) + 1), class: &j.settings.Classes[class], dest: 1 + rng.Intn(4)}
	grace := Time(1+rng.Intn(20)) * sec
	if rng.Intn(4) == 0 {
		grace = Time(rng.Intn(1500)) * Millisecond // short patience
	}
	m.deadline = j.now + grace
	if m.class.InOrder {
		m.key = uint64(1 + m.dest)
		j.messagesByKey[m.key] = append(j.messagesByKey[m.key], m)
	}
	j.messages[m.id] = m
	j.unanswered = append(j.unanswered, m)
	return Event{Kind: Arrival, Message: m.id, Class: class, Dest: m.dest, Key: m.key, TimeLeft: grace}
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
		n := hintID(endpointID(1+rng.Intn(4), rng.Intn(3)))
		return []Event{{Kind: GossipReceived, Payload: string([]byte{byte(rng.Intn(256)), byte(n >> 16), byte(n >> 8), byte(n), 7})}}
	}
	return nil
}
