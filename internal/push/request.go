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

// RequestParser converts push requests into messages and applies the intake rules to them.
type RequestParser struct{ rules *intake.Registry }

// NewRequestParser returns a RequestParser that applies the given intake rules.
func NewRequestParser(rules *intake.Registry) *RequestParser { return &RequestParser{rules} }

// Problem describes why a request is rejected (RFC 9457). The message of a rejected request was never accepted.
type Problem struct {
	// Status is the HTTP status code of the response.
	Status int
	// Title is a short explanation for the client.
	Title string
	// RetryAfter is the wait that a 429 or 503 response tells the client. It is rounded up to whole seconds, and is at
	// least one second.
	RetryAfter time.Duration
	// ExtraFields are additional header fields of the response.
	ExtraFields []h2.Field
}

// Error returns the status and the title.
func (p *Problem) Error() string { return fmt.Sprintf("%d %s", p.Status, p.Title) }

// newProblem returns a Problem with a formatted title.
func newProblem(status int, format string, a ...any) *Problem {
	return &Problem{Status: status, Title: fmt.Sprintf(format, a...)}
}

// Read converts the header section of a request into a message without a body. If the request is invalid, Read returns
// a Problem and no message.
func (parser *RequestParser) Read(fields []h2.Field) (*engine.Message, *Problem) {
	path, _, _ := strings.Cut(h2.Value(fields, ":path"), "?")
	resource, target := parser.rules.Find(path)
	if resource == nil {
		return nil, newProblem(404, "no push resource at this path")
	}
	if m := h2.Value(fields, ":method"); m != "POST" {
		p := newProblem(405, "a push resource takes POST")
		p.ExtraFields = []h2.Field{{Name: "allow", Value: "POST"}}
		return nil, p
	}
	if p := parser.Authorize(resource.Tenant, h2.Value(fields, "authorization")); p != nil {
		return nil, p
	}
	if n := h2.Value(fields, "content-length"); n != "" {
		if size, err := strconv.ParseUint(n, 10, 62); err == nil && size > uint64(parser.MaxBody()) {
			return nil, parser.BodyTooLarge()
		}
	}
	msg := &engine.Message{Class: resource.Class, Tenant: resource.Tenant, Dest: resource.Dest, TargetPath: target,
		ContentType: h2.Value(fields, "content-type"), ContentEncoding: h2.Value(fields, "content-encoding")}
	if p := parser.parseLifetime(msg, resource, fields); p != nil {
		return nil, p
	}
	if p := parseKeys(msg, resource, fields); p != nil {
		return nil, p
	}
	return msg, nil
}

// BodyTooLarge returns the problem for a body that exceeds MaxBody.
func (parser *RequestParser) BodyTooLarge() *Problem {
	return newProblem(413, "body above %d bytes", parser.MaxBody())
}

// MaxBody returns the largest accepted body in bytes.
func (parser *RequestParser) MaxBody() int { return parser.rules.MaxBody() }

// Rules returns the intake rules that the parser applies.
func (parser *RequestParser) Rules() *intake.Registry { return parser.rules }

// Authorize checks the bearer token (RFC 6750) of a request for a tenant. A missing or unknown token gives status 401,
// and the token of another tenant gives 403. A tenant without a token is open to everybody.
func (parser *RequestParser) Authorize(tenant int, authorization string) *Problem {
	if parser.rules.IsOpen(tenant) {
		return nil
	}
	scheme, secret, _ := strings.Cut(authorization, " ")
	standing := parser.rules.CheckSecret(tenant, strings.TrimSpace(secret))
	switch {
	case !strings.EqualFold(scheme, "Bearer") || standing == intake.UnknownSecret:
		p := newProblem(401, "a bearer token of the tenant is needed")
		p.ExtraFields = []h2.Field{{Name: "www-authenticate", Value: `Bearer realm="push"`}}
		return p
	case standing == intake.OtherTenant:
		return newProblem(403, "that is another tenant's")
	}
	return nil
}

// parseLifetime reads the TTL and Urgency fields (RFC 8030 sections 5.2 and 5.3).
func (parser *RequestParser) parseLifetime(msg *engine.Message, resource *intake.Resource, fields []h2.Field) *Problem {
	value := h2.Value(fields, "ttl")
	switch {
	case value == "":
		return newProblem(400, "TTL is required (RFC 8030 section 5.2)")
	case h2.Count(fields, "ttl") > 1 || !isDigits(value):
		return newProblem(400, "TTL %q is not a number of seconds", intake.Printable(value))
	}
	// A TTL of more than 31 bits exceeds the limit of every class, so the class limit applies.
	requested := time.Duration(-1)
	if n, err := strconv.ParseUint(value, 10, 31); err == nil {
		requested = time.Duration(n) * time.Second
	}
	msg.Lifetime = parser.rules.Lifetime(resource.MaxLifetime, requested)
	if msg.Urgency = h2.Value(fields, "urgency"); !intake.ValidUrgency(msg.Urgency) {
		return newProblem(400, "Urgency %q (RFC 8030 section 5.3)", intake.Printable(msg.Urgency))
	}
	return nil
}

// parseKeys reads the Topic and Idempotency-Key fields. Topic is also the order key if the class is ordered.
func parseKeys(msg *engine.Message, resource *intake.Resource, fields []h2.Field) *Problem {
	topic := h2.Value(fields, "topic")
	if err := intake.SetTopic(msg, resource.InOrder, topic); err != nil || h2.Count(fields, "topic") > 1 {
		return newProblem(400, "Topic %q: one key of at most 32 characters (RFC 8030 section 5.4)", intake.Printable(topic))
	}
	value := h2.Value(fields, "idempotency-key")
	if value == "" {
		return nil
	}
	key, err := strconv.Unquote(value)
	if err != nil {
		// Many clients omit the quotes that a structured field string requires.
		key = value
	}
	if err := intake.SetIdempotencyKey(msg, key); err != nil || h2.Count(fields, "idempotency-key") > 1 {
		return newProblem(400, "Idempotency-Key: %v", intake.ErrInvalidIdempotencyKey)
	}
	return nil
}

// Reply is a complete response.
type Reply struct {
	// Fields is the header section.
	Fields []h2.Field
	// Body is the response body. It is empty if there is none.
	Body []byte
}

// Response converts the final answer of a message into a response. docs/answers.md documents the guarantee of each
// answer.
func Response(ids ExternalIDs, msg *engine.Message, answer engine.Answer) Reply {
	id := ids.Format(msg.ID)
	switch answer.Kind {
	case engine.Served:
		return Reply{Fields: []h2.Field{{Name: ":status", Value: "201"}, {Name: "location", Value: "/m/" + id},
			{Name: "ttl", Value: strconv.Itoa(int(msg.Lifetime / control.Second))}, {Name: FieldMessageID, Value: id, Sensitive: true}}}
	case engine.Refused:
		p := newProblem(503, "refused: nothing has taken effect beyond what the class allows to repeat")
		if answer.Status == 429 {
			p.Status = 429
		}
		p.RetryAfter = time.Duration(answer.RetryAfter) * time.Microsecond
		return p.replyFor(id, answer)
	}
	if answer.DeadlineExceeded {
		return newProblem(504, "failed: its time ended; whether it took effect is not known").replyFor(id, answer)
	}
	return newProblem(502, "failed: whether it took effect is not known").replyFor(id, answer)
}

// Reply converts the problem into a response.
func (p *Problem) Reply() Reply { return p.replyFor("", engine.Answer{}) }

// problemBody is the problem document (RFC 9457) in the body of an error response.
type problemBody struct {
	Title    string `json:"title"`
	Status   int    `json:"status"`
	Detail   string `json:"detail,omitempty"`
	Message  string `json:"message,omitempty"`
	Attempts int    `json:"attempts,omitempty"`
	Partner  int    `json:"partner-status,omitempty"`
}

// replyFor converts the problem into a response. It includes the external message ID and the details of the answer if
// the request became a message.
func (p *Problem) replyFor(id string, answer engine.Answer) Reply {
	body, _ := json.Marshal(problemBody{p.Title, p.Status, answer.AttemptDetail, id, answer.Attempts, answer.Status})
	reply := Reply{Body: body, Fields: []h2.Field{{Name: ":status", Value: strconv.Itoa(p.Status)},
		{Name: "content-type", Value: "application/problem+json"}, {Name: "content-length", Value: strconv.Itoa(len(body))}}}
	if p.Status == 429 || p.Status == 503 {
		seconds := max(1, (p.RetryAfter+time.Second-1)/time.Second)
		reply.Fields = append(reply.Fields, h2.Field{Name: "retry-after", Value: strconv.Itoa(int(seconds))})
	}
	if id != "" {
		reply.Fields = append(reply.Fields, h2.Field{Name: FieldMessageID, Value: id, Sensitive: true})
	}
	reply.Fields = append(reply.Fields, p.ExtraFields...)
	return reply
}
