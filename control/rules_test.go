package control

import (
	"math/rand"
	"slices"
	"testing"
)

// judge follows a Dispatcher from outside and holds what it does against the rules.
type judge struct {
	t     *testing.T
	set   Settings
	now   Time
	msgs  map[MessageID]*judged
	wait  map[int]Time        // until when a destination, or a route apart, told to wait
	ready map[EndpointID]bool // listed ready
	calls map[[2]int64]int    // messages out by round and endpoint: one call
	order map[uint64][]*judged
	rest  map[uint64]Time
	marks []Action
	out   []*judged
	open  []*judged // without a final answer
}

type judged struct {
	id        MessageID
	class     *Class
	dest      int
	key       uint64
	deadline  Time
	ended     bool
	tries     int
	ep        EndpointID
	round     Time
	out       bool
	doubt     bool
	doubtAt   Time
	firstSent Time
}

func (j *judge) check(ok bool, m *judged, rule string) {
	j.t.Helper()
	if !ok {
		j.t.Fatalf("at %d: %s: %+v", j.now, rule, *m)
	}
}

func (j *judge) act(a Action) {
	m := j.msgs[a.Message]
	switch a.Kind {
	case Timer:
		if a.TimerToken != 0 {
			a.After += j.now
			j.marks = append(j.marks, a)
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
		maybe := (m.doubt || m.out) && m.class.Effect != Idempotent
		j.check(a.Kind == Fail || !maybe || m.class.Effect == Deduplicated, m, "handed back though it may have run")
		m.ended = true
	case Send:
		j.send(m, a)
	}
}

func (j *judge) send(m *judged, a Action) {
	j.check(!m.ended && !m.out, m, "sent though ended or out")
	j.check(j.ready[a.Endpoint] && int(a.Endpoint)/10 == m.dest, m, "sent to an endpoint not listed ready")
	j.check(j.now >= j.wait[bound(m.dest, a.Endpoint)], m, "sent during a told wait")
	j.check(m.tries < j.set.MaxAttempts && j.now < m.deadline, m, "sent too often or too late")
	if m.doubt {
		j.check(m.class.Effect != AtMostOnce, m, "unsafe message sent again in doubt")
		j.check(m.class.Effect == Idempotent || j.now < m.doubtAt+m.class.DedupWindow, m, "repeat past its window")
	}
	if m.key != 0 {
		q := j.order[m.key]
		for len(q) > 0 && q[0].ended && !q[0].out {
			q = q[1:]
		}
		j.order[m.key] = q
		j.check(q[0] == m, m, "out of order")
		j.check(m.tries > 0 || j.now >= j.rest[m.key], m, "sent while its key rests")
	}
	m.tries++
	m.out, m.ep, m.round, m.firstSent = true, a.Endpoint, j.now, j.now
	j.calls[[2]int64{int64(j.now), int64(a.Endpoint)}]++
	j.out = append(j.out, m)
	j.check(len(j.calls) <= j.set.Slots, m, "more calls than slots")
}

// apart is the destination of the random plays whose endpoints are routes apart.
const apart = 4

// bound is what a told wait binds: the destination, or the route where routes are apart.
func bound(dest int, e EndpointID) int {
	if dest == apart {
		return int(e)
	}
	return -dest
}

// resolve makes the outcome of one attempt out and notes what it tells.
func (j *judge) resolve(m *judged, res Result, wait Time) Event {
	m.out = false
	call := [2]int64{int64(m.round), int64(m.ep)}
	if j.calls[call]--; j.calls[call] == 0 {
		delete(j.calls, call)
	}
	switch res {
	case OK:
		m.ended = true
	case LimitExceeded:
		if wait > 0 {
			k := bound(m.dest, m.ep)
			j.wait[k] = max(j.wait[k], j.now+wait)
		}
	case ConnectFailed:
	default:
		if !m.doubt {
			m.doubt, m.doubtAt = true, m.firstSent
		}
		if m.key != 0 && res != ErrorResponse {
			j.rest[m.key] = j.now + j.set.SettleTime
		}
	}
	return Event{Kind: Outcome, Message: m.id, Attempt: m.tries - 1, Endpoint: m.ep, Result: res, Closed: m.ended,
		Elapsed: j.now - m.round, RetryAfter: wait, Report: []float32{float32(j.now%3) / 2, 5}}
}

// Random events, legal and not, for several seeds: whatever comes, the rules hold and each message has one answer.
func TestRulesHoldUnderRandomEvents(t *testing.T) {
	for seed := range int64(12) {
		play(t, seed)
	}
}

func play(t *testing.T, seed int64) {
	rng := rand.New(rand.NewSource(seed))
	set := testSettings()
	set.Slots, set.MaxOpen, set.Instances = 2+rng.Intn(8), 16+rng.Intn(60), 1+rng.Intn(40)
	set.Tick = 20 * Millisecond
	if seed%2 == 1 { // the newer settings
		set.PullList, set.PullInterval, set.Gossip, set.GossipCost = true, 10*s, true, 0.01/256
		set.RetryAfter, set.MaxRetryAfter, set.ReportRemainingIndex, set.ReportLimitIndex = true, 3*s, 0, 1
		set.ZoneCosts = []float64{0.05}
	}
	d, err := New(set, uint64(seed))
	if err != nil {
		t.Fatal(err)
	}
	j := &judge{t: t, set: set, msgs: map[MessageID]*judged{}, wait: map[int]Time{}, ready: map[EndpointID]bool{},
		calls: map[[2]int64]int{}, order: map[uint64][]*judged{}, rest: map[uint64]Time{}}
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
			if e.Health = Health(rng.Intn(3)); e.Dest == apart {
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
		rest := j.out[:0]
		for _, m := range j.out {
			res, lost := sick[m.dest], sick[m.dest] == TimedOut
			switch {
			case j.now >= m.deadline:
				events = append(events, j.resolve(m, TimedOut, 0))
			case lost || rng.Intn(10) > 0:
				rest = append(rest, m)
			case res == LimitExceeded && rng.Intn(2) == 0:
				events = append(events, j.resolve(m, LimitExceeded, Time(rng.Intn(3000))*Millisecond))
			default:
				events = append(events, j.resolve(m, res, 0))
			}
		}
		j.out = rest
		j.marks = slices.DeleteFunc(j.marks, func(a Action) bool {
			if j.now < a.After {
				return false
			}
			events = append(events, Event{Kind: TimerFired, TimerToken: a.TimerToken})
			return true
		})
		events = append(events, illegal(rng)...)
		for _, a := range d.Step(j.now, events, nil) {
			if a.Kind == Cancel {
				j.cancel(a)
				continue
			}
			j.act(a)
		}
		j.open = slices.DeleteFunc(j.open, func(m *judged) bool {
			j.check(m.ended || j.now <= m.deadline, m, "no answer in time")
			return m.ended
		})
	}
	if len(d.msgs) > 0 || d.busy != 0 || d.open != 0 {
		t.Errorf("seed %d: left %d messages, %d slots, %d open", seed, len(d.msgs), d.busy, d.open)
	}
}

// cancel checks that what is called off is out; its outcome comes like any other, sometimes never before its time.
func (j *judge) cancel(a Action) {
	m := j.msgs[a.Message]
	j.check(m != nil && m.out && m.tries-1 == a.Attempt, m, "cancels what is not out")
}

func (j *judge) arrival(rng *rand.Rand) Event {
	class := rng.Intn(4)
	m := &judged{id: MessageID(len(j.msgs) + 1), class: &j.set.Classes[class], dest: 1 + rng.Intn(4)}
	grace := Time(1+rng.Intn(20)) * s
	if rng.Intn(4) == 0 {
		grace = Time(rng.Intn(1500)) * Millisecond // short patience
	}
	m.deadline = j.now + grace
	if m.class.InOrder {
		m.key = uint64(1 + m.dest)
		j.order[m.key] = append(j.order[m.key], m)
	}
	j.msgs[m.id] = m
	j.open = append(j.open, m)
	return Event{Kind: Arrival, Message: m.id, Class: class, Dest: m.dest, Key: m.key, TimeLeft: grace}
}

// illegal makes events that no honest caller sends: they must change nothing that the rules see.
func illegal(rng *rand.Rand) []Event {
	switch rng.Intn(8) {
	case 0:
		return []Event{done(MessageID(1e9), 0, Result(rng.Intn(9))), {Kind: Withdrawn, Message: 1e9}}
	case 1:
		return []Event{{Kind: TimerFired, TimerToken: 1e12}, {Kind: ProbeResult, Endpoint: 999}, {Kind: EventKind(77)}}
	case 2:
		return []Event{done(MessageID(1+rng.Intn(50)), 90, OK), {Kind: ListUpdate, ListKind: ListFailed}}
	case 3:
		n := hintName(ep(1+rng.Intn(4), rng.Intn(3)))
		return []Event{{Kind: GossipReceived, Payload: string([]byte{byte(rng.Intn(256)), byte(n >> 16), byte(n >> 8), byte(n), 7})}}
	}
	return nil
}
