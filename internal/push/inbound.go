package push

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"whinrun/control"
	"whinrun/internal/engine"
	"whinrun/internal/h2"
	"whinrun/internal/intake"
)

// RequestParser reads requests: it makes messages of them by the book.
type RequestParser struct{ book *intake.Registry }

// NewRequestParser returns a Desk.
func NewRequestParser(book *intake.Registry) *RequestParser { return &RequestParser{book} }

// Problem is a request that is not taken (RFC 9457); the message was never held.
type Problem struct {
	Status      int
	Title       string
	RetryAfter  time.Duration
	ExtraFields []h2.Field
}

func (p *Problem) Error() string { return fmt.Sprintf("%d %s", p.Status, p.Title) }

func problem(status int, format string, a ...any) *Problem {
	return &Problem{Status: status, Title: fmt.Sprintf(format, a...)}
}

// Read makes a message of a request's header section, or tells why not.
func (d *RequestParser) Read(fields []h2.Field) (*engine.Message, *Problem) {
	path, _, _ := strings.Cut(h2.Value(fields, ":path"), "?")
	r, target := d.book.Find(path)
	if r == nil {
		return nil, problem(404, "no push resource at this path")
	}
	if m := h2.Value(fields, ":method"); m != "POST" {
		p := problem(405, "a push resource takes POST")
		p.ExtraFields = []h2.Field{{Name: "allow", Value: "POST"}}
		return nil, p
	}
	if p := d.Authorize(r.Tenant, h2.Value(fields, "authorization")); p != nil {
		return nil, p
	}
	if n := h2.Value(fields, "content-length"); n != "" {
		if size, err := strconv.ParseUint(n, 10, 62); err == nil && size > uint64(d.MaxBody()) {
			return nil, d.BodyTooLarge()
		}
	}
	m := &engine.Message{Class: r.Class, Tenant: r.Tenant, Dest: r.Dest, TargetPath: target,
		ContentType: h2.Value(fields, "content-type"), ContentEncoding: h2.Value(fields, "content-encoding")}
	if p := d.times(m, r, fields); p != nil {
		return nil, p
	}
	if p := keys(m, r, fields); p != nil {
		return nil, p
	}
	return m, nil
}

// BodyTooLarge is the answer to a body above the limit.
func (d *RequestParser) BodyTooLarge() *Problem {
	return problem(413, "body above %d bytes", d.MaxBody())
}

// MaxBody is the largest body taken.
func (d *RequestParser) MaxBody() int { return d.book.MaxBody() }

// Rules is what the Desk goes by.
func (d *RequestParser) Rules() *intake.Registry { return d.book }

// Authorize looks at the bearer token (RFC 6750): 401 for none or an unknown one, 403 for another tenant's.
func (d *RequestParser) Authorize(tenant int, authorization string) *Problem {
	if d.book.IsOpen(tenant) {
		return nil
	}
	scheme, secret, _ := strings.Cut(authorization, " ")
	standing := d.book.CheckSecret(tenant, strings.TrimSpace(secret))
	switch {
	case !strings.EqualFold(scheme, "Bearer") || standing == intake.UnknownSecret:
		p := problem(401, "a bearer token of the tenant is needed")
		p.ExtraFields = []h2.Field{{Name: "www-authenticate", Value: `Bearer realm="push"`}}
		return p
	case standing == intake.OtherTenant:
		return problem(403, "that is another tenant's")
	}
	return nil
}

// times reads TTL and Urgency (RFC 8030 sections 5.2 and 5.3).
func (d *RequestParser) times(m *engine.Message, r *intake.Resource, fields []h2.Field) *Problem {
	v := h2.Value(fields, "ttl")
	switch {
	case v == "":
		return problem(400, "TTL is required (RFC 8030 section 5.2)")
	case h2.Count(fields, "ttl") > 1 || !isDigits(v):
		return problem(400, "TTL %q is not a number of seconds", intake.Printable(v))
	}
	asked := time.Duration(-1) // past 31 bits it is above any class's limit
	if n, err := strconv.ParseUint(v, 10, 31); err == nil {
		asked = time.Duration(n) * time.Second
	}
	m.Lifetime = d.book.Lifetime(r.MaxLifetime, asked)
	if m.Urgency = h2.Value(fields, "urgency"); !intake.ValidUrgency(m.Urgency) {
		return problem(400, "Urgency %q (RFC 8030 section 5.3)", intake.Printable(m.Urgency))
	}
	return nil
}

// keys reads Topic, which is the order key where the class asks for order, and Idempotency-Key.
func keys(m *engine.Message, r *intake.Resource, fields []h2.Field) *Problem {
	topic := h2.Value(fields, "topic")
	if err := intake.SetTopic(m, r.InOrder, topic); err != nil || h2.Count(fields, "topic") > 1 {
		return problem(400, "Topic %q: one key of at most 32 characters (RFC 8030 section 5.4)", intake.Printable(topic))
	}
	v := h2.Value(fields, "idempotency-key")
	if v == "" {
		return nil
	}
	key, err := strconv.Unquote(v)
	if err != nil {
		key = v // commonly sent without the quotes of a structured string
	}
	if err := intake.SetIdempotencyKey(m, key); err != nil || h2.Count(fields, "idempotency-key") > 1 {
		return problem(400, "Idempotency-Key: %v", intake.ErrInvalidIdempotencyKey)
	}
	return nil
}

// Reply is a whole response.
type Reply struct {
	Fields []h2.Field
	Body   []byte
}

// Response makes a final answer into a response: docs/answers.md says what each promises.
func Response(n ExternalIDs, m *engine.Message, a engine.Answer) Reply {
	id := n.Format(m.ID)
	switch a.Kind {
	case engine.Served:
		return Reply{Fields: []h2.Field{{Name: ":status", Value: "201"}, {Name: "location", Value: "/m/" + id},
			{Name: "ttl", Value: strconv.Itoa(int(m.Lifetime / control.Second))}, {Name: FieldMessageID, Value: id, Sensitive: true}}}
	case engine.Refused:
		p := problem(503, "refused: nothing has taken effect beyond what the class allows to repeat")
		if a.Status == 429 {
			p.Status = 429
		}
		p.RetryAfter = time.Duration(a.RetryAfter) * time.Microsecond
		return p.reply(id, a)
	}
	if a.DeadlineExceeded {
		return problem(504, "failed: its time ended; whether it took effect is not known").reply(id, a)
	}
	return problem(502, "failed: whether it took effect is not known").reply(id, a)
}

// Reply makes a response of a problem.
func (p *Problem) Reply() Reply { return p.reply("", engine.Answer{}) }

type problemBody struct {
	Title    string `json:"title"`
	Status   int    `json:"status"`
	Detail   string `json:"detail,omitempty"`
	Message  string `json:"message,omitempty"`
	Attempts int    `json:"attempts,omitempty"`
	Partner  int    `json:"partner-status,omitempty"`
}

func (p *Problem) reply(id string, a engine.Answer) Reply {
	body, _ := json.Marshal(problemBody{p.Title, p.Status, a.AttemptDetail, id, a.Attempts, a.Status})
	r := Reply{Body: body, Fields: []h2.Field{{Name: ":status", Value: strconv.Itoa(p.Status)},
		{Name: "content-type", Value: "application/problem+json"}, {Name: "content-length", Value: strconv.Itoa(len(body))}}}
	if p.Status == 429 || p.Status == 503 {
		seconds := max(1, (p.RetryAfter+time.Second-1)/time.Second)
		r.Fields = append(r.Fields, h2.Field{Name: "retry-after", Value: strconv.Itoa(int(seconds))})
	}
	if id != "" {
		r.Fields = append(r.Fields, h2.Field{Name: FieldMessageID, Value: id, Sensitive: true})
	}
	r.Fields = append(r.Fields, p.ExtraFields...)
	return r
}
