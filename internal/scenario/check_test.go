package scenario

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"whinrun/control"
	"whinrun/internal/audit"
	"whinrun/internal/load"
	"whinrun/internal/partner"
)

const second = time.Second

var ep1, ep2 = netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")

// quiet is a record in which no rule is broken.
func quiet() *Recording {
	s := &Script{RateScale: 1, Partners: []PartnerSpec{{Config: partner.Config{Name: "p", Capacity: 10, ColdShare: 0.2, WarmUp: 4 * second, OverloadFactor: 2, OverloadWindow: second}}}}
	return &Recording{Script: s, Runs: []DispatcherRun{{From: 0}}, Settings: control.Settings{StopSendingWithin: control.Second, SettleTime: control.Second,
		Classes: []control.Class{{Name: "safe", Deadline: 4 * control.Second}, {Name: "upload", Effect: control.AtMostOnce, Deadline: 4 * control.Second},
			{Name: "keyed", Effect: control.Deduplicated, DedupWindow: 2 * control.Second, Deadline: 8 * control.Second},
			{Name: "ordered", Deadline: 8 * control.Second, InOrder: true}}}}
}

// call adds one attempt to a record: its arrival, and what became of it.
func (r *Recording) call(at time.Duration, test, class, key string, ep netip.AddrPort, stream uint32, rest ...partner.Event) {
	base := partner.Event{At: at, Kind: partner.RequestReceived, Partner: "p", Endpoint: ep, Conn: 1, Stream: stream, MessageID: "m" + test, CorrelationID: test, Class: class, OrderKey: key}
	r.Events = append(r.Events, base)
	for _, e := range rest {
		full := base
		full.At, full.Kind, full.Status, full.RetryAfter = e.At, e.Kind, e.Status, e.RetryAfter
		r.Events = append(r.Events, full)
	}
}

func (r *Recording) client(test, class string, sent, done time.Duration, status int) {
	r.Outcomes = append(r.Outcomes, load.Outcome{Message: load.Message{CorrelationID: test, Class: class, TTL: 60}, Sent: sent, Done: done, Status: status})
}

func ev(at time.Duration, kind partner.EventKind, status int) partner.Event {
	return partner.Event{At: at, Kind: kind, Status: status}
}

// Each rule's check catches a planted breach of it, and names the rule; what is near it but within the rule passes.
func TestCheckCatches(t *testing.T) {
	for _, c := range []struct {
		name, want string
		plant      func(r *Recording)
	}{
		{"served in time", "", func(r *Recording) {
			r.call(1*second, "a", "safe", "-", ep1, 1, ev(2*second, partner.Applied, 0), ev(2*second, partner.Responded, 201))
			r.client("a", "safe", second, 2*second, 201)
		}},
		{"no answer", "rule 1", func(r *Recording) { r.client("a", "safe", second, 5*second, 0) }},
		{"no answer, killed", "", func(r *Recording) { r.Runs[0].To = 2 * second; r.client("a", "safe", second, 2*second, 0) }},
		{"no answer at an orderly stop", "rule 1", func(r *Recording) {
			r.Runs[0].StopRequested, r.Runs[0].To = 3*second, 4*second
			r.client("a", "safe", second, 4*second, 0)
		}},
		{"too late", "rule 1", func(r *Recording) { r.client("a", "safe", second, 6*second, 502) }},
		{"sent after its answer", "rule 1", func(r *Recording) {
			r.client("a", "safe", second, 2*second, 502)
			r.call(3*second, "a", "safe", "-", ep1, 1, ev(3*second, partner.Responded, 201))
		}},
		{"served by nobody", "rule 1", func(r *Recording) { r.client("a", "safe", second, 2*second, 201) }},
		{"unsafe again in doubt", "rule 2", func(r *Recording) {
			r.call(1*second, "a", "upload", "-", ep1, 1, ev(2*second, partner.PeerClosed, 0))
			r.call(3*second, "a", "upload", "-", ep1, 3, ev(3*second, partner.Responded, 201))
		}},
		{"unsafe again with proof", "", func(r *Recording) {
			r.call(1*second, "a", "upload", "-", ep1, 1, ev(2*second, partner.Responded, 429))
			r.call(3*second, "a", "upload", "-", ep1, 3, ev(3*second, partner.Responded, 201))
		}},
		{"unsafe refused in doubt", "rule 2", func(r *Recording) {
			r.call(1*second, "a", "upload", "-", ep1, 1, ev(1*second, partner.Applied, 0), ev(2*second, partner.PeerClosed, 0))
			r.client("a", "upload", second, 3*second, 503)
		}},
		{"keyed after its window", "rule 2", func(r *Recording) {
			r.call(1*second, "a", "keyed", "-", ep1, 1, ev(2*second, partner.PeerClosed, 0))
			r.call(4*second, "a", "keyed", "-", ep1, 3, ev(4*second, partner.Responded, 201))
		}},
		{"two out at once", "rule 2", func(r *Recording) {
			r.call(1*second, "a", "safe", "-", ep1, 1, ev(3*second, partner.Responded, 201))
			r.call(2*second, "a", "safe", "-", ep2, 3, ev(2*second, partner.Responded, 201))
		}},
		{"given up at one that reads nothing", "", func(r *Recording) {
			r.call(1*second, "a", "safe", "-", ep1, 1)
			r.Events = append(r.Events, partner.Event{At: second, Kind: partner.ReadingStopped, Partner: "p", Endpoint: ep1})
			r.call(2*second, "a", "safe", "-", ep2, 3, ev(2*second, partner.Responded, 201))
		}},
		{"drained", "rule 3", func(r *Recording) {
			r.HealthChanges = []HealthChange{{At: second, Partner: "p", Endpoint: ep1, Health: control.Draining}}
			r.call(3*second, "a", "safe", "-", ep1, 1, ev(3*second, partner.Responded, 201))
		}},
		{"within the grace", "", func(r *Recording) {
			r.HealthChanges = []HealthChange{{At: second, Partner: "p", Endpoint: ep1, Health: control.Draining}}
			r.call(1900*time.Millisecond, "a", "safe", "-", ep1, 1, ev(2*second, partner.Responded, 201))
		}},
		{"pushed when cold", "rule 4", func(r *Recording) {
			r.Events = append(r.Events, partner.Event{At: second, Kind: partner.Recovered, Partner: "p", Endpoint: ep1})
			for i := range 40 {
				r.call(second+time.Duration(i)*10*time.Millisecond, "a"+string(rune('0'+i)), "safe", "-", ep1, uint32(2*i+1), ev(2*second, partner.Responded, 201))
			}
		}},
		{"key out of turn", "rule 5", func(r *Recording) {
			r.call(1*second, "a", "ordered", "k", ep1, 1, ev(3*second, partner.Responded, 201))
			r.call(2*second, "b", "ordered", "k", ep1, 3, ev(2*second, partner.Responded, 201))
		}},
		{"key without its rest", "rule 5", func(r *Recording) {
			r.call(1*second, "a", "ordered", "k", ep1, 1, ev(2*second, partner.PeerClosed, 0))
			r.call(2500*time.Millisecond, "b", "ordered", "k", ep1, 3, ev(3*second, partner.Responded, 201))
		}},
		{"key in the wrong order", "rule 5", func(r *Recording) {
			r.client("a", "ordered", 1*second, 4*second, 201)
			r.client("b", "ordered", 2*second, 3*second, 201)
			r.call(2500*time.Millisecond, "b", "ordered", "k", ep1, 1, ev(3*second, partner.Responded, 201))
			r.call(3500*time.Millisecond, "a", "ordered", "k", ep1, 3, ev(4*second, partner.Responded, 201))
		}},
		{"wait not kept", "rule 6", func(r *Recording) {
			r.call(1*second, "a", "safe", "-", ep1, 1, partner.Event{At: second, Kind: partner.Responded, Status: 429, RetryAfter: 2 * second})
			r.call(2*second, "b", "safe", "-", ep2, 3, ev(2*second, partner.Responded, 201))
		}},
		{"wait of another route", "", func(r *Recording) {
			r.Script.Partners[0].IndependentEndpoints = true
			r.call(1*second, "a", "safe", "-", ep1, 1, partner.Event{At: second, Kind: partner.Responded, Status: 429, RetryAfter: 2 * second})
			r.call(2*second, "b", "safe", "-", ep2, 3, ev(2*second, partner.Responded, 201))
		}},
	} {
		r := quiet()
		c.plant(r)
		got := Check(r)
		switch {
		case c.want == "" && len(got) > 0:
			t.Errorf("%s: %v", c.name, got[0])
		case c.want != "" && (len(got) == 0 || !strings.HasPrefix(got[0].String(), c.want)):
			t.Errorf("%s: %v, want %s", c.name, got, c.want)
		}
	}
}

// What is wrong with a script is told with file and line.
func TestScriptErrors(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"partner a\nload a status 5/s\nat 1s a explode", "d:3: at: a can't \"explode\""},
		{"partner a\nload b status 5/s", "no such partner or class"},
		{"partner a\nload a status 5/s\nat 1s b crash", "d:3: no such partner or endpoint: b"},
		{"partner a pace fast\nload a status 5/s", "d:1: partner: pace:"},
		{"partner a\nload a status 5/s\nat 1s a slow", "d:3: at: slow needs 1 values"},
		{"hello", "d:1: hello: no such word"},
		{"length 3s", "a day needs partners and load"},
	} {
		if _, err := Parse("d", c.text); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: got %v, want %q", c.text, err, c.want)
		}
	}
}

func FuzzScript(f *testing.F) {
	f.Add("partner a endpoints 2 rate 5\nload a status 5/s keys 3\nat 1s a.1 pauses 1s 2s for 3s\nat 2s load burst a x3")
	f.Fuzz(func(t *testing.T, text string) { _, _ = Parse("d", text) })
}

// The comparer of trails catches a planted loss, an invention, two attempts at once, and what comes after the answer.
func TestTrailCheckCatches(t *testing.T) {
	rec := func(kind audit.Kind, attempt int) *audit.Record {
		return &audit.Record{Kind: kind, Message: "ma", Attempt: attempt, Endpoint: ep1.String(), Status: 201}
	}
	well := []*audit.Record{rec(audit.Accepted, 0), rec(audit.AttemptStarted, 1), rec(audit.AttemptEnded, 1), rec(audit.Answered, 0)}
	late := rec(audit.Accepted, 0) // of the same dispatcher: the trail goes on after what is missing
	late.Message, late.At = "mb", (5 * second).Microseconds()
	for _, c := range []struct {
		name, want string
		trail      []*audit.Record
	}{
		{"well", "", well},
		{"a hole before a kill", "is not in the trail", []*audit.Record{well[0], well[3], late}},
		{"an attempt is missing", "is not in the trail", []*audit.Record{well[0], well[3]}},
		{"an attempt is invented", "which no stand-in saw", append(well[:3:3], rec(audit.AttemptStarted, 2), rec(audit.AttemptEnded, 2), well[3])},
		{"two at once", "while 1 was", []*audit.Record{well[0], well[1], rec(audit.AttemptStarted, 2), rec(audit.AttemptEnded, 2), well[3]}},
		{"after the answer", "after the final answer", append(well[:4:4], rec(audit.AttemptStarted, 2))},
		{"two answers", "a second final answer", append(well[:4:4], well[3])},
		{"another endpoint", "the trail has", []*audit.Record{well[0], {Kind: audit.AttemptStarted, Message: "ma", Attempt: 1, Endpoint: "x"}, well[2], well[3]}},
	} {
		r := quiet()
		r.call(1*second, "a", "safe", "-", ep1, 1, ev(2*second, partner.Applied, 0), ev(2*second, partner.Responded, 201))
		r.client("a", "safe", second, 2*second, 201)
		r.AuditTrail, r.HasAuditTrail, r.StartTime = c.trail, true, time.UnixMicro(0)
		if strings.Contains(c.name, "kill") {
			r.Runs[0].To = 10 * second
		}
		got := ""
		for _, b := range Check(r) {
			got += b.String()
		}
		if (c.want == "") != (got == "") || !strings.Contains(got, c.want) {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}
