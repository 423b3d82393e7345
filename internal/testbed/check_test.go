package testbed

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// atNode sets the dispatcher of an event.
func atNode(node string, e Event) Event {
	e.Node = node
	return e
}

// callsAfterOutage returns calls of a dispatcher directly after the end of an endpoint's outage. Dispatcher n1 had seen
// a call fail in the outage.
func callsAfterOutage(at func(int) time.Time, count int, node string) []Event {
	events := []Event{{At: at(0), Kind: Accepted, Name: "first", Class: "free", Node: "n1", Due: at(9000)}, {At: at(1), Kind: OutageBegan, Host: "c"},
		{At: at(2), Kind: CallReceived, Name: "first", Host: "c", Call: 100}, {At: at(3), Kind: CallBroken, Name: "first", Host: "c", Call: 100},
		{At: at(3000), Kind: OutageEnded, Host: "c"}}
	for i := range count {
		name := fmt.Sprint("m", i)
		events = append(events, Event{At: at(3001), Kind: Accepted, Name: name, Class: "free", Node: node, Due: at(9000)},
			Event{At: at(3001 + i), Kind: CallReceived, Name: name, Host: "c", Call: 200 + i}, Event{At: at(3002 + i), Kind: CallAnswered, Name: name, Host: "c", Call: 200 + i,
				Status: 200})
	}
	return append(events, Event{At: at(8000), Kind: NoticeReceived, Name: "first"})
}

// Check reports each rule that a planted fault violates, and reports nothing for correct runs.
func TestPlantedFaults(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	rules := Rules{EndSlack: 300 * time.Millisecond, DrainGrace: time.Second, AtMostOnce: []string{"once"}, DedupWindows: map[string]time.Duration{"keyed": time.Second}, Ordered: []string{"turns"}, ColdBudget: 2,
		ColdWindow: time.Second, WaitGrace: 100 * time.Millisecond, ObservationLag: 50 * time.Millisecond, EndGrace: 50 * time.Millisecond,
		SlowStart: &SlowStart{Capacity: 2, InitialFraction: 0.5, WarmUp: 10 * time.Second, OverloadFactor: 1, OverloadWindow: 2 * time.Second, MaxAwareShare: 0.67}}
	accepted := func(ms int, name, class, key string) Event {
		return Event{At: at(ms), Kind: Accepted, Name: name, Class: class, Key: key, Due: at(ms + 2000), Dest: 1}
	}
	call := func(ms int, name string, n int) Event {
		return Event{At: at(ms), Kind: CallReceived, Name: name, Host: "h", Call: n, Dest: 1}
	}
	answered := func(ms int, name string, n, status int) Event {
		return Event{At: at(ms), Kind: CallAnswered, Name: name, Host: "h", Call: n, Dest: 1, Status: status}
	}
	withWait := func(e Event) Event {
		e.Wait = time.Second
		return e
	}
	answerWithWait := withWait(answered(10, "b", 2, 429))
	copied := Event{At: at(1), Kind: AnswerCopied, Host: "g", Conn: 8}
	part := Event{At: at(1), Kind: AnswerCopied, Host: "h", Conn: 7, Cut: true}
	late := accepted(1, "b", "turns", "k")
	late.Sent = at(-1)
	for _, c := range []struct {
		name, want string
		events     []Event
	}{
		{"repeated behind an answer, with copies about", "rule 1", []Event{copied, accepted(0, "a", "free", ""), call(1, "a", 1), answered(2, "a", 1, 200), call(600, "a", 2), answered(601, "a", 2, 200)}},
		{"repeated behind an answer whose connection ended", "rule 1", []Event{accepted(0, "a", "free", ""), call(1, "a", 1), answered(2, "a", 1, 200), {At: at(5), Kind: ConnEnded, Host: "h", Conn: 7}, call(600, "a", 2), answered(601, "a", 2, 200)}},
		{"repeated behind an answer, without copies", "rule 1", []Event{accepted(0, "a", "free", ""), call(1, "a", 1), answered(2, "a", 1, 200), call(600, "a", 2), answered(601, "a", 2, 200)}},
		{"repeated behind an answer that comes behind a part of a copy", "rule 1", []Event{part, accepted(0, "a", "free", ""), call(1, "a", 1), answered(2, "a", 1, 200), call(600, "a", 2), answered(601, "a", 2, 200)}},
		{"at most once, repeated with copies about", "rule 2", []Event{copied, accepted(0, "a", "once", ""), call(1, "a", 1), answered(2, "a", 1, 200), call(600, "a", 2), answered(601, "a", 2, 200)}},
		{"with a key, after the window, with copies about", "rule 2", []Event{copied, accepted(0, "a", "keyed", ""), call(1, "a", 1), answered(2, "a", 1, 200), call(1100, "a", 2), answered(1101, "a", 2, 200)}},
		{"two calls in flight, with copies about", "rule 2", []Event{copied, accepted(0, "a", "free", ""), call(1, "a", 1), call(6, "a", 2), answered(100, "a", 1, 200), answered(101, "a", 2, 200)}},
		{"a copy taken for the answer: turned away and no end", "rule 1", []Event{copied, accepted(0, "a", "free", ""), call(1, "a", 1), answered(2, "a", 1, 503)}},
		{"a key's messages handed in at once, in either order", "", []Event{accepted(0, "a", "turns", "k"), late, call(5, "b", 1), answered(6, "b", 1, 200), call(107, "a", 2), answered(108, "a", 2, 200)}},
		{"retried after an error", "", []Event{accepted(0, "a", "free", ""), call(1, "a", 1), answered(2, "a", 1, 500), call(3, "a", 2), answered(4, "a", 2, 200)}},
		{"ended by a notice", "", []Event{accepted(0, "a", "once", ""), {At: at(2000), Kind: NoticeReceived, Name: "a"}}},
		{"refused and sent again", "", []Event{accepted(0, "a", "once", ""), call(1, "a", 1), answered(2, "a", 1, 503), call(3, "a", 2), answered(4, "a", 2, 200)}},
		{"never ended", "rule 1", []Event{accepted(0, "a", "free", ""), call(1, "a", 1), answered(2, "a", 1, 500)}},
		{"notice within 1.5 s of a restart", "", []Event{accepted(0, "a", "free", ""), {At: at(1500), Kind: RestartBegan}, {At: at(3000), Kind: RestartEnded}, {At: at(4400), Kind: NoticeReceived, Name: "a"}}},
		{"notice within 1.5 s of the second of two restarts", "", []Event{accepted(0, "a", "free", ""), {At: at(1500), Kind: RestartBegan}, {At: at(2000), Kind: RestartEnded}, {At: at(2100), Kind: RestartBegan},
			{At: at(4000), Kind: RestartEnded}, {At: at(5400), Kind: NoticeReceived, Name: "a"}}},
		{"notice too late for a restart", "rule 1", []Event{accepted(0, "a", "free", ""), {At: at(1500), Kind: RestartBegan}, {At: at(3000), Kind: RestartEnded}, {At: at(4600), Kind: NoticeReceived, Name: "a"}}},
		{"notice due before a restart", "rule 1", []Event{accepted(0, "a", "free", ""), {At: at(2400), Kind: RestartBegan}, {At: at(3000), Kind: RestartEnded}, {At: at(3100), Kind: NoticeReceived, Name: "a"}}},
		{"no notice after a restart", "rule 1", []Event{accepted(0, "a", "free", ""), {At: at(1500), Kind: RestartBegan}, {At: at(3000), Kind: RestartEnded}}},
		{"ended too late", "rule 1", []Event{accepted(0, "a", "free", ""), {At: at(2400), Kind: NoticeReceived, Name: "a"}}},
		{"called after its notice", "rule 1", []Event{accepted(0, "a", "free", ""), {At: at(5), Kind: NoticeReceived, Name: "a"}, call(106, "a", 1)}},
		{"called after it was told to be over", "rule 1", []Event{accepted(0, "a", "free", ""), call(1, "a", 1), answered(2, "a", 1, 410), call(60, "a", 2), answered(61, "a", 2, 410)}},
		{"over, without a notice", "", []Event{accepted(0, "a", "once", ""), call(1, "a", 1), answered(2, "a", 1, 410)}},
		{"over, and called by a later process", "rule 1", []Event{accepted(0, "a", "free", ""), call(1, "a", 1), answered(2, "a", 1, 410), {At: at(60), Kind: Restarted}, call(90, "a", 2), answered(91, "a", 2, 410)}},
		{"delivered, not on record, and called by a later process", "", []Event{accepted(0, "a", "free", ""), call(1, "a", 1), answered(2, "a", 1, 200), {At: at(600), Kind: Restarted, Unrecorded: true}, call(900, "a", 2), answered(901, "a", 2, 200)}},
		{"delivered, and called by a later process", "rule 1", []Event{accepted(0, "a", "free", ""), call(1, "a", 1), answered(2, "a", 1, 200), {At: at(600), Kind: Restarted}, call(900, "a", 2), answered(901, "a", 2, 200)}},
		{"over as its process ended", "", []Event{accepted(0, "a", "free", ""), call(1, "a", 1), answered(2, "a", 1, 410), {At: at(30), Kind: Restarted}, call(90, "a", 2), answered(91, "a", 2, 410)}},
		{"called after delivery", "rule 1", []Event{accepted(0, "a", "free", ""), call(1, "a", 1), answered(2, "a", 1, 200), call(60, "a", 2)}},
		{"call given up while its answer arrived", "", []Event{accepted(0, "a", "free", ""), call(1, "a", 1), answered(2, "a", 1, 200), call(6, "a", 2), answered(7, "a", 2, 500), call(90, "a", 3), answered(91, "a", 3, 200)}},
		{"at most once, called again after a broken call", "rule 2", []Event{accepted(0, "a", "once", ""), call(1, "a", 1), {At: at(2), Kind: CallBroken, Name: "a", Host: "h", Call: 1}, call(6, "a", 2)}},
		{"two calls in flight", "rule 2", []Event{accepted(0, "a", "free", ""), call(1, "a", 1), call(6, "a", 2), answered(7, "a", 2, 200)}},
		{"end of a call seen within the observation lag", "", []Event{accepted(0, "a", "free", ""), call(1, "a", 1), call(6, "a", 2), {At: at(8), Kind: CallBroken, Name: "a", Host: "h", Call: 1}, answered(9, "a", 2, 200)}},
		{"end of a call seen after the observation lag", "rule 2", []Event{accepted(0, "a", "free", ""), call(1, "a", 1), call(6, "a", 2), {At: at(90), Kind: CallBroken, Name: "a", Host: "h", Call: 1}, answered(95, "a", 2, 200)}},
		{"at most once, second call while the first is in flight", "rule 2", []Event{accepted(0, "a", "once", ""), call(1, "a", 1), call(6, "a", 2), {At: at(8), Kind: CallBroken, Name: "a", Host: "h", Call: 1}, answered(9, "a", 2, 200)}},
		{"repeated after a restart", "", []Event{accepted(0, "a", "free", ""), call(1, "a", 1), answered(2, "a", 1, 200), {At: at(3), Kind: Restarted}, call(9, "a", 2), answered(10, "a", 2, 200)}},
		{"answered as its process ended", "", []Event{accepted(0, "a", "free", ""), call(1, "a", 1), {At: at(2), Kind: Restarted}, answered(3, "a", 1, 200), call(9, "a", 2), answered(10, "a", 2, 200)}},
		{"at most once, answered as its process ended", "rule 2", []Event{accepted(0, "a", "once", ""), call(1, "a", 1), {At: at(2), Kind: Restarted}, answered(3, "a", 1, 200), call(9, "a", 2), answered(10, "a", 2, 200)}},
		{"called after delivery, by a later process", "rule 1", []Event{accepted(0, "a", "free", ""), call(1, "a", 1), {At: at(2), Kind: Restarted}, answered(3, "a", 1, 200), call(9, "a", 2), answered(10, "a", 2, 200), call(91, "a", 3)}},
		{"at most once, repeated after a restart", "rule 2", []Event{accepted(0, "a", "once", ""), call(1, "a", 1), answered(2, "a", 1, 200), {At: at(3), Kind: Restarted}, call(9, "a", 2), answered(10, "a", 2, 200)}},
		{"with a key, within the deduplication window", "", []Event{accepted(0, "a", "keyed", ""), call(1, "a", 1), answered(2, "a", 1, 500), call(900, "a", 2), answered(901, "a", 2, 200)}},
		{"with a key, after the deduplication window", "rule 2", []Event{accepted(0, "a", "keyed", ""), call(1, "a", 1), answered(2, "a", 1, 500), call(1100, "a", 2), answered(1101, "a", 2, 200)}},
		{"with a key, long after a rejected call", "", []Event{accepted(0, "a", "keyed", ""), call(1, "a", 1), answered(2, "a", 1, 503), call(1100, "a", 2), answered(1101, "a", 2, 200)}},
		{"with a key, after the window of the first of two calls", "rule 2", []Event{accepted(0, "a", "keyed", ""), call(1, "a", 1), {At: at(2), Kind: CallBroken, Name: "a", Host: "h", Call: 1},
			call(500, "a", 2), answered(501, "a", 2, 500), call(1100, "a", 3), answered(1101, "a", 3, 200)}},
		{"with a key, after the window across two restarts", "rule 2", []Event{accepted(0, "a", "keyed", ""), call(1, "a", 1), {At: at(2), Kind: CallBroken, Name: "a", Host: "h", Call: 1},
			{At: at(2), Kind: Restarted}, call(500, "a", 2), answered(501, "a", 2, 503), {At: at(600), Kind: Restarted}, call(1100, "a", 3), answered(1101, "a", 3, 200)}},
		{"called after a drain", "rule 3", []Event{accepted(0, "a", "free", ""), {At: at(1), Kind: HealthListed, Host: "h", Health: "draining"}, call(1200, "a", 1), answered(1201, "a", 1, 200)}},
		{"called at an endpoint of another destination", "rule 3", []Event{accepted(0, "a", "free", ""), {At: at(1), Kind: CallReceived, Name: "a", Host: "h", Call: 1, Dest: 2}, answered(2, "a", 1, 200)}},
		{"called within the grace after a drain", "", []Event{accepted(0, "a", "free", ""), {At: at(1), Kind: HealthListed, Host: "h", Health: "gone"}, call(800, "a", 1), answered(801, "a", 1, 200)}},
		{"cold endpoint overloaded", "rule 4", []Event{{At: at(0), Kind: OutageEnded, Host: "h"}, call(1, "a", 1), call(2, "b", 2), call(3, "c", 3)}},
		{"in order, behind a notice that the agent refused", "", []Event{accepted(0, "a", "turns", "k"), accepted(1, "b", "turns", "k"), {At: at(4), Kind: NoticeRefused, Name: "a"}, call(5, "b", 1), answered(6, "b", 1, 200), {At: at(900), Kind: NoticeReceived, Name: "a"}}},
		{"a notice that the agent refused is no end", "rule 1", []Event{accepted(0, "a", "free", ""), {At: at(4), Kind: NoticeRefused, Name: "a"}}},
		{"out of order within a key", "rule 5", []Event{accepted(0, "a", "turns", "k"), accepted(1, "b", "turns", "k"), call(5, "b", 1), answered(6, "b", 1, 200), call(107, "a", 2), answered(108, "a", 2, 200)}},
		{"called within a wait", "rule 6", []Event{accepted(0, "a", "free", ""), call(1, "b", 2), answerWithWait, call(500, "a", 1), answered(501, "a", 1, 200)}},
		{"called after a 429 to the client", "rule 1", []Event{{At: at(0), Kind: Refused, Name: "a", Status: 429}, call(5, "a", 1), answered(6, "a", 1, 200)}},
		{"called after no answer to the client", "", []Event{{At: at(0), Kind: Refused, Name: "a"}, call(5, "a", 1), answered(6, "a", 1, 200)}},
		{"answer lost in the network", "", []Event{accepted(0, "a", "free", ""), call(1, "a", 1), answered(2, "a", 1, 200), {At: at(500), Kind: NetworkDisturbed, Host: "h", Due: at(600)},
			call(9, "a", 2), answered(10, "a", 2, 200)}},
		{"connection closed without an answer", "rule 1", []Event{{At: at(0), Kind: ClosedUnanswered, Name: "a"}}},
		{"drain listed for another dispatcher", "", []Event{atNode("n1", accepted(0, "a", "free", "")), {At: at(1), Kind: HealthListed, Host: "h", Health: "gone", Node: "n2"}, call(1500, "a", 1),
			answered(1501, "a", 1, 200)}},
		{"wait told to another dispatcher", "", []Event{atNode("n1", accepted(0, "a", "free", "")), atNode("n2", accepted(0, "b", "free", "")), call(1, "b", 2), answerWithWait, call(500, "a", 1),
			answered(501, "a", 1, 200), {At: at(900), Kind: NoticeReceived, Name: "b"}}},
		{"another dispatcher restarts within a wait", "rule 6", []Event{atNode("n1", accepted(0, "a", "free", "")), atNode("n1", accepted(0, "b", "free", "")), call(1, "b", 2), answerWithWait,
			{At: at(400), Kind: Restarted, Node: "n2"}, call(500, "a", 1), answered(501, "a", 1, 200)}},
		{"slow start, within the budget", "", callsAfterOutage(at, 8, "n1")},
		{"slow start, exceeded by a dispatcher that had seen the outage", "rule 4", callsAfterOutage(at, 12, "n1")},
		{"slow start, exceeded by a dispatcher that had not seen the outage", "", callsAfterOutage(at, 12, "n2")},
		{"called within a wait after a restart, its acceptance not heard", "", []Event{{At: at(0), Kind: Refused, Name: "a", Node: "n1"}, call(1, "a", 2), withWait(answered(10, "a", 2, 429)), {At: at(400), Kind: Restarted, Node: "n1"}, call(500, "a", 3), answered(501, "a", 3, 200)}},
		{"called within a wait after a restart", "", []Event{accepted(0, "a", "free", ""), call(1, "b", 2), answerWithWait, {At: at(400), Kind: Restarted}, call(500, "a", 1), answered(501, "a", 1, 200)}},
	} {
		got := strings.Join(Check(c.events, rules, at(10000)), "; ")
		if c.want == "" && got != "" || !strings.Contains(got, c.want) {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}
