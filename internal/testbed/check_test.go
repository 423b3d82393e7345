package testbed

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// on is an event of one dispatcher among several.
func on(node string, e Event) Event {
	e.Node = node
	return e
}

// coldCalls are calls of a dispatcher right behind the return of a host, in whose outage n1 had seen a call fail.
func coldCalls(at func(int) time.Time, n int, node string) []Event {
	all := []Event{{At: at(0), Kind: Accepted, Name: "first", Class: "free", Node: "n1", Due: at(9000)}, {At: at(1), Kind: OutageBegan, Host: "c"},
		{At: at(2), Kind: CallReceived, Name: "first", Host: "c", Call: 100}, {At: at(3), Kind: CallBroken, Name: "first", Host: "c", Call: 100},
		{At: at(3000), Kind: OutageEnded, Host: "c"}}
	for i := range n {
		name := fmt.Sprint("m", i)
		all = append(all, Event{At: at(3001), Kind: Accepted, Name: name, Class: "free", Node: node, Due: at(9000)},
			Event{At: at(3001 + i), Kind: CallReceived, Name: name, Host: "c", Call: 200 + i}, Event{At: at(3002 + i), Kind: CallAnswered, Name: name, Host: "c", Call: 200 + i,
				Status: 200})
	}
	return append(all, Event{At: at(8000), Kind: NoticeReceived, Name: "first"})
}

// Each rule broken by a planted fault is told, and a clean day is not blamed.
func TestPlantedFaults(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	rules := Rules{EndSlack: 300 * time.Millisecond, DrainGrace: time.Second, AtMostOnce: []string{"once"}, DedupWindows: map[string]time.Duration{"keyed": time.Second}, Ordered: []string{"turns"}, ColdBudget: 2,
		ColdWindow: time.Second, WaitGrace: 100 * time.Millisecond, ObservationLag: 50 * time.Millisecond,
		SlowStart: &SlowStart{Capacity: 2, InitialFraction: 0.5, WarmUp: 10 * time.Second, OverloadFactor: 1, OverloadWindow: 2 * time.Second, MaxAwareShare: 0.67}}
	taken := func(ms int, name, class, key string) Event {
		return Event{At: at(ms), Kind: Accepted, Name: name, Class: class, Key: key, Due: at(ms + 2000)}
	}
	call := func(ms int, name string, n int) Event {
		return Event{At: at(ms), Kind: CallReceived, Name: name, Host: "h", Call: n, Dest: 1}
	}
	back := func(ms int, name string, n, status int) Event {
		return Event{At: at(ms), Kind: CallAnswered, Name: name, Host: "h", Call: n, Dest: 1, Status: status}
	}
	wait := back(10, "b", 2, 429)
	wait.Wait = time.Second
	for _, c := range []struct {
		name, want string
		events     []Event
	}{
		{"clean", "", []Event{taken(0, "a", "free", ""), call(1, "a", 1), back(2, "a", 1, 500), call(3, "a", 2), back(4, "a", 2, 200)}},
		{"ended by a notice", "", []Event{taken(0, "a", "once", ""), {At: at(2000), Kind: NoticeReceived, Name: "a"}}},
		{"refused and sent again", "", []Event{taken(0, "a", "once", ""), call(1, "a", 1), back(2, "a", 1, 503), call(3, "a", 2), back(4, "a", 2, 200)}},
		{"no end", "rule 1", []Event{taken(0, "a", "free", ""), call(1, "a", 1), back(2, "a", 1, 500)}},
		{"an end too late", "rule 1", []Event{taken(0, "a", "free", ""), {At: at(2400), Kind: NoticeReceived, Name: "a"}}},
		{"called after its notice", "rule 1", []Event{taken(0, "a", "free", ""), {At: at(5), Kind: NoticeReceived, Name: "a"}, call(106, "a", 1)}},
		{"called after delivery", "rule 1", []Event{taken(0, "a", "free", ""), call(1, "a", 1), back(2, "a", 1, 200), call(60, "a", 2)}},
		{"given up as its answer came", "", []Event{taken(0, "a", "free", ""), call(1, "a", 1), back(2, "a", 1, 200), call(6, "a", 2), back(7, "a", 2, 500), call(90, "a", 3), back(91, "a", 3, 200)}},
		{"sent twice", "rule 2", []Event{taken(0, "a", "once", ""), call(1, "a", 1), {At: at(2), Kind: CallBroken, Name: "a", Host: "h", Call: 1}, call(6, "a", 2)}},
		{"two out", "rule 2", []Event{taken(0, "a", "free", ""), call(1, "a", 1), call(6, "a", 2), back(7, "a", 2, 200)}},
		{"end seen late", "", []Event{taken(0, "a", "free", ""), call(1, "a", 1), call(6, "a", 2), {At: at(8), Kind: CallBroken, Name: "a", Host: "h", Call: 1}, back(9, "a", 2, 200)}},
		{"end much later", "rule 2", []Event{taken(0, "a", "free", ""), call(1, "a", 1), call(6, "a", 2), {At: at(90), Kind: CallBroken, Name: "a", Host: "h", Call: 1}, back(95, "a", 2, 200)}},
		{"once, while one is out", "rule 2", []Event{taken(0, "a", "once", ""), call(1, "a", 1), call(6, "a", 2), {At: at(8), Kind: CallBroken, Name: "a", Host: "h", Call: 1}, back(9, "a", 2, 200)}},
		{"repeated over a restart", "", []Event{taken(0, "a", "free", ""), call(1, "a", 1), back(2, "a", 1, 200), {At: at(3), Kind: Restarted}, call(9, "a", 2), back(10, "a", 2, 200)}},
		{"answered as its process ended", "", []Event{taken(0, "a", "free", ""), call(1, "a", 1), {At: at(2), Kind: Restarted}, back(3, "a", 1, 200), call(9, "a", 2), back(10, "a", 2, 200)}},
		{"once, answered as its process ended", "rule 2", []Event{taken(0, "a", "once", ""), call(1, "a", 1), {At: at(2), Kind: Restarted}, back(3, "a", 1, 200), call(9, "a", 2), back(10, "a", 2, 200)}},
		{"called after delivery, by a later process", "rule 1", []Event{taken(0, "a", "free", ""), call(1, "a", 1), {At: at(2), Kind: Restarted}, back(3, "a", 1, 200), call(9, "a", 2), back(10, "a", 2, 200), call(91, "a", 3)}},
		{"once, over a restart", "rule 2", []Event{taken(0, "a", "once", ""), call(1, "a", 1), back(2, "a", 1, 200), {At: at(3), Kind: Restarted}, call(9, "a", 2), back(10, "a", 2, 200)}},
		{"keyed, in its window", "", []Event{taken(0, "a", "keyed", ""), call(1, "a", 1), back(2, "a", 1, 500), call(900, "a", 2), back(901, "a", 2, 200)}},
		{"keyed, past its window", "rule 2", []Event{taken(0, "a", "keyed", ""), call(1, "a", 1), back(2, "a", 1, 500), call(1100, "a", 2), back(1101, "a", 2, 200)}},
		{"keyed, long after calls that never ran", "", []Event{taken(0, "a", "keyed", ""), call(1, "a", 1), back(2, "a", 1, 503), call(1100, "a", 2), back(1101, "a", 2, 200)}},
		{"keyed, past the window of the first of two", "rule 2", []Event{taken(0, "a", "keyed", ""), call(1, "a", 1), {At: at(2), Kind: CallBroken, Name: "a", Host: "h", Call: 1},
			call(500, "a", 2), back(501, "a", 2, 500), call(1100, "a", 3), back(1101, "a", 3, 200)}},
		{"keyed, past its window over two restarts", "rule 2", []Event{taken(0, "a", "keyed", ""), call(1, "a", 1), {At: at(2), Kind: CallBroken, Name: "a", Host: "h", Call: 1},
			{At: at(2), Kind: Restarted}, call(500, "a", 2), back(501, "a", 2, 503), {At: at(600), Kind: Restarted}, call(1100, "a", 3), back(1101, "a", 3, 200)}},
		{"after a drain", "rule 3", []Event{taken(0, "a", "free", ""), {At: at(1), Kind: HealthListed, Host: "h", Health: "draining"}, call(1200, "a", 1), back(1201, "a", 1, 200)}},
		{"within the grace", "", []Event{taken(0, "a", "free", ""), {At: at(1), Kind: HealthListed, Host: "h", Health: "gone"}, call(800, "a", 1), back(801, "a", 1, 200)}},
		{"pushed over", "rule 4", []Event{{At: at(0), Kind: OutageEnded, Host: "h"}, call(1, "a", 1), call(2, "b", 2), call(3, "c", 3)}},
		{"out of turn", "rule 5", []Event{taken(0, "a", "turns", "k"), taken(1, "b", "turns", "k"), call(5, "b", 1), back(6, "b", 1, 200), call(107, "a", 2), back(108, "a", 2, 200)}},
		{"within a wait", "rule 6", []Event{taken(0, "a", "free", ""), call(1, "b", 2), wait, call(500, "a", 1), back(501, "a", 1, 200)}},
		{"called though it was refused", "rule 1", []Event{{At: at(0), Kind: Refused, Name: "a", Status: 429}, call(5, "a", 1), back(6, "a", 1, 200)}},
		{"called though nothing was heard", "", []Event{{At: at(0), Kind: Refused, Name: "a"}, call(5, "a", 1), back(6, "a", 1, 200)}},
		{"answer lost on the way", "", []Event{taken(0, "a", "free", ""), call(1, "a", 1), back(2, "a", 1, 200), {At: at(500), Kind: NetworkDisturbed, Host: "h", Due: at(600)},
			call(9, "a", 2), back(10, "a", 2, 200)}},
		{"unanswered", "rule 1", []Event{{At: at(0), Kind: ClosedUnanswered, Name: "a"}}},
		{"drain told to another dispatcher", "", []Event{on("n1", taken(0, "a", "free", "")), {At: at(1), Kind: HealthListed, Host: "h", Health: "gone", Node: "n2"}, call(1500, "a", 1),
			back(1501, "a", 1, 200)}},
		{"wait told to another dispatcher", "", []Event{on("n1", taken(0, "a", "free", "")), on("n2", taken(0, "b", "free", "")), call(1, "b", 2), wait, call(500, "a", 1),
			back(501, "a", 1, 200), {At: at(900), Kind: NoticeReceived, Name: "b"}}},
		{"another dispatcher restarts within a wait", "rule 6", []Event{on("n1", taken(0, "a", "free", "")), on("n1", taken(0, "b", "free", "")), call(1, "b", 2), wait,
			{At: at(400), Kind: Restarted, Node: "n2"}, call(500, "a", 1), back(501, "a", 1, 200)}},
		{"cold, within its budget", "", coldCalls(at, 8, "n1")},
		{"cold, pushed over by one that had seen the outage", "rule 4", coldCalls(at, 12, "n1")},
		{"cold, pushed over by one that had not", "", coldCalls(at, 12, "n2")},
		{"after a restart", "", []Event{taken(0, "a", "free", ""), call(1, "b", 2), wait, {At: at(400), Kind: Restarted}, call(500, "a", 1), back(501, "a", 1, 200)}},
	} {
		got := strings.Join(Check(c.events, rules, at(10000)), "; ")
		if c.want == "" && got != "" || !strings.Contains(got, c.want) {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}
