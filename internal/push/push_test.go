package push

import (
	"strings"
	"testing"
	"time"

	"whinrun/control"
	"whinrun/internal/engine"
	"whinrun/internal/h2"
	"whinrun/internal/intake"
)

func desk() *RequestParser {
	return NewRequestParser(intake.NewRegistry(intake.Config{Resources: []intake.Resource{{Path: "/a/status", Class: 0, Tenant: 0, Dest: 1, InOrder: true, MaxLifetime: 10 * time.Second},
		{Path: "/a/open", Class: 1, Tenant: 2, MaxLifetime: 10 * time.Second}, {Path: "/d/*", Tenant: 1, MaxLifetime: 10 * time.Second, Target: ""}},
		Tokens: []intake.Token{intake.NewToken("one", 0), intake.NewToken("two", 1)}, Tenants: []string{"x", "y", "z"},
		MaxBody: 1000, MinLifetime: time.Second}))
}

func request(path string, more ...string) []h2.Field {
	f := []h2.Field{{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"}, {Name: ":path", Value: path}}
	for i := 0; i < len(more); i += 2 {
		f = append(f, h2.Field{Name: more[i], Value: more[i+1]})
	}
	return f
}

func TestReadRejects(t *testing.T) {
	auth := []string{"authorization", "Bearer one"}
	with := func(more ...string) []string { return append(append([]string(nil), auth...), more...) }
	for _, c := range []struct {
		name   string
		fields []h2.Field
		status int
	}{
		{"well", request("/a/status", with("ttl", "5")...), 0},
		{"no such path", request("/b", with("ttl", "5")...), 404},
		{"no token", request("/a/status", "ttl", "5"), 401},
		{"unknown token", request("/a/status", "ttl", "5", "authorization", "Bearer three"), 401},
		{"no bearer", request("/a/status", "ttl", "5", "authorization", "Basic one"), 401},
		{"another tenant's", request("/a/status", "ttl", "5", "authorization", "Bearer two"), 403},
		{"open tenant", request("/a/open", "ttl", "5"), 0},
		{"no TTL", request("/a/status", auth...), 400},
		{"TTL no number", request("/a/status", with("ttl", "5s")...), 400},
		{"TTL below zero", request("/a/status", with("ttl", "-5")...), 400},
		{"two TTLs", request("/a/status", with("ttl", "5", "ttl", "6")...), 400},
		{"huge TTL", request("/a/status", with("ttl", "99999999999999999999")...), 0},
		{"urgency", request("/a/status", with("ttl", "5", "urgency", "now")...), 400},
		{"topic", request("/a/status", with("ttl", "5", "topic", "not a topic")...), 400},
		{"long topic", request("/a/status", with("ttl", "5", "topic", strings.Repeat("a", 33))...), 400},
		{"long key", request("/a/status", with("ttl", "5", "idempotency-key", strings.Repeat("a", 200))...), 400},
		{"length", request("/a/status", with("ttl", "5", "content-length", "1001")...), 413},
		{"device", request("/d/abc", "ttl", "5", "authorization", "Bearer two"), 0},
		{"no device", request("/d/", "ttl", "5", "authorization", "Bearer two"), 404},
		{"dots", request("/d/..", "ttl", "5", "authorization", "Bearer two"), 404},
		{"blank in the device", request("/d/a b", "ttl", "5", "authorization", "Bearer two"), 404},
		{"deeper", request("/d/a/b", "ttl", "5", "authorization", "Bearer two"), 404},
	} {
		_, p := desk().Read(c.fields)
		if got := statusOf(p); got != c.status {
			t.Errorf("%s: %d, want %d (%v)", c.name, got, c.status, p)
		}
	}
	get := request("/a/status", with("ttl", "5")...)
	get[0].Value = "GET"
	if _, p := desk().Read(get); statusOf(p) != 405 {
		t.Errorf("GET: %v", p)
	}
}

func statusOf(p *Problem) int {
	if p == nil {
		return 0
	}
	return p.Status
}

func TestReadSetsMessageFields(t *testing.T) {
	m, p := desk().Read(request("/a/status", "authorization", "bearer one", "ttl", "3", "topic", "t1", "idempotency-key", `"k1"`, "urgency", "high"))
	if p != nil {
		t.Fatal(p)
	}
	if m.Lifetime != 3*control.Second || m.OrderKey == 0 || m.IdempotencyKey != "0/k1" || m.Dest != 1 || m.Urgency != "high" {
		t.Errorf("%+v", m)
	}
	bare, _ := desk().Read(request("/a/status", "authorization", "Bearer one", "ttl", "0", "topic", "t1", "idempotency-key", "k1"))
	if bare.Lifetime != control.Second || bare.OrderKey != m.OrderKey || bare.IdempotencyKey != m.IdempotencyKey {
		t.Errorf("TTL 0, bare key: %+v", bare)
	}
	d, _ := desk().Read(request("/d/token9", "authorization", "Bearer two", "ttl", "100"))
	if d.TargetPath != "/token9" || d.Lifetime != 10*control.Second {
		t.Errorf("%+v", d)
	}
}

// Retry-After as seconds and as a date; a date counts from the answer's own Date, so that clocks which differ or step
// change no wait.
func TestRetryAfter(t *testing.T) {
	wall := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	for _, c := range []struct {
		value, date string
		want        time.Duration
	}{
		{"", "", 0}, {"7", "", 7 * time.Second}, {"-7", "", 0}, {"soon", "", 0}, {"99999999999999999999", "", mostWait}, {"9999999999", "", mostWait},
		{"Fri, 02 Jan 2026 03:04:15 GMT", "", 10 * time.Second},
		{"Fri, 02 Jan 2026 03:04:00 GMT", "", 0},
		{"Fri, 02 Jan 2026 08:00:30 GMT", "Fri, 02 Jan 2026 08:00:00 GMT", 30 * time.Second},
	} {
		f := []h2.Field{{Name: "retry-after", Value: c.value}}
		if c.date != "" {
			f = append(f, h2.Field{Name: "date", Value: c.date})
		}
		if got := RetryAfter(f, wall); got != c.want {
			t.Errorf("%q with %q: %v, want %v", c.value, c.date, got, c.want)
		}
	}
}

// What attempts look like in both dialects; the id is the same on every attempt.
func TestDialects(t *testing.T) {
	m := &engine.Message{ID: 40, Topic: "t", Urgency: "high", TargetPath: "/device9", Body: []byte("abc"), ContentType: "text/plain"}
	a := &engine.Attempt{Message: m, Number: 2}
	n := ExternalIDs{Epoch: "e"}
	wall := time.Unix(1000, 0)
	f := Standard{}.Request(PartnerResource{Authority: "h:1", Path: "/push"}, n, a, 3500*time.Millisecond, wall)
	for name, want := range map[string]string{":path": "/push/device9", "ttl": "3", "urgency": "high", "topic": "t", FieldMessageID: "e-14",
		FieldAttempt: "2", "idempotency-key": `"e-14"`, "content-length": "3", ":authority": "h:1"} {
		if got := h2.Value(f, name); got != want {
			t.Errorf("push %s: %q, want %q", name, got, want)
		}
	}
	f = Device{}.Request(PartnerResource{Authority: "h:1", Path: "/3/device", Topic: "app"}, n, a, 3500*time.Millisecond, wall)
	for name, want := range map[string]string{":path": "/3/device/device9", "apns-expiration": "1003", "apns-priority": "10", "apns-topic": "app",
		"apns-collapse-id": "t"} {
		if got := h2.Value(f, name); got != want {
			t.Errorf("device %s: %q, want %q", name, got, want)
		}
	}
	id := h2.Value(f, "apns-id")
	again := Device{}.Request(PartnerResource{}, n, &engine.Attempt{Message: m, Number: 3}, 0, wall)
	if len(id) != 36 || h2.Value(again, "apns-id") != id {
		t.Errorf("apns-id %q, then %q", id, h2.Value(again, "apns-id"))
	}
	if got := (Device{}).Reason([]byte(`{"reason":"Unregistered"}`)); got != "Unregistered" {
		t.Errorf("reason %q", got)
	}
	if got := (Device{}).Reason([]byte("garbage")); got != "" {
		t.Errorf("reason %q", got)
	}
}

// Each final answer's form; a refusal always tells a wait.
func TestResponse(t *testing.T) {
	m := &engine.Message{ID: 40, Lifetime: 3 * control.Second}
	for _, c := range []struct {
		a      engine.Answer
		status string
		wait   string
	}{
		{engine.Answer{Kind: engine.Served}, "201", ""},
		{engine.Answer{Kind: engine.Refused}, "503", "1"},
		{engine.Answer{Kind: engine.Refused, RetryAfter: 1500 * control.Millisecond, Status: 429}, "429", "2"},
		{engine.Answer{Kind: engine.Failed}, "502", ""},
		{engine.Answer{Kind: engine.Failed, DeadlineExceeded: true}, "504", ""},
	} {
		r := Response(ExternalIDs{"e"}, m, c.a)
		if got := h2.Value(r.Fields, ":status"); got != c.status {
			t.Errorf("%+v: status %s", c.a, got)
		}
		if got := h2.Value(r.Fields, "retry-after"); got != c.wait {
			t.Errorf("%+v: retry-after %q", c.a, got)
		}
	}
}

func FuzzRead(f *testing.F) {
	f.Add("/a/status", "Bearer one", "5", "t", `"k"`)
	f.Fuzz(func(t *testing.T, path, auth, ttl, topic, key string) {
		m, p := desk().Read(request(path, "authorization", auth, "ttl", ttl, "topic", topic, "idempotency-key", key))
		if (m == nil) == (p == nil) {
			t.Error("neither a message nor a problem, or both")
		}
		if m != nil && (m.Lifetime < control.Second || m.Lifetime > 10*control.Second) {
			t.Errorf("life %d", m.Lifetime)
		}
	})
}
