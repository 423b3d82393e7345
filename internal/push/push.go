// Package push is the HTTP of push gateways: Generic Event Delivery Using HTTP Push (RFC 8030) on both sides, and
// towards partners a second dialect, in the form of the published provider interfaces for device notifications. It
// turns messages into header sections and header sections into messages and ends; it is free of I/O.
package push

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"whinrun/control"
	"whinrun/internal/engine"
	"whinrun/internal/h2"
	"whinrun/internal/intake"
)

// Names of the fields that an attempt carries beside the published ones.
const (
	FieldMessageID = "whinrun-message" // id of the message, the same on every attempt
	FieldAttempt   = "whinrun-attempt" // number of the attempt, from 0
)

// PartnerResource is where a partner takes messages.
type PartnerResource struct {
	Authority string // host and port
	Path      string // of the push resource, or before the device in the device dialect
	Topic     string // device dialect: the topic, where the message names none
}

// ExternalIDs gives messages their names outside: the same number never means two messages, over restarts neither.
type ExternalIDs struct{ Epoch string }

// Format returns the name of a message.
func (n ExternalIDs) Format(id control.MessageID) string {
	return n.Epoch + "-" + strconv.FormatUint(uint64(id), 36)
}

// Dialect is how a kind of partner is spoken to.
type Dialect interface {
	// Request returns the header section of an attempt. left is the time that the message has.
	Request(s PartnerResource, n ExternalIDs, a *engine.Attempt, left time.Duration, wall time.Time) []h2.Field
	// Reason returns what a partner says of a refusal, in its body.
	Reason(body []byte) string
	// PathPerMessage tells that paths belong to messages (see engine.Judge).
	PathPerMessage() bool
}

// Dialects by their names in the settings.
var Dialects = map[string]Dialect{"push": Standard{}, "device": Device{}}

// Standard is RFC 8030.
type Standard struct{}

// PathPerMessage is false: the push resource is the partner's.
func (Standard) PathPerMessage() bool { return false }

// Request is RFC 8030 section 5, with Idempotency-Key for repeats.
func (Standard) Request(s PartnerResource, n ExternalIDs, a *engine.Attempt, left time.Duration, _ time.Time) []h2.Field {
	m := a.Message
	path := s.Path
	if m.TargetPath != "" {
		path = strings.TrimSuffix(s.Path, "/") + m.TargetPath
	}
	f := make([]h2.Field, 0, 14)
	f = append(f, h2.Field{Name: ":method", Value: "POST"}, h2.Field{Name: ":scheme", Value: "http"},
		h2.Field{Name: ":authority", Value: s.Authority}, h2.Field{Name: ":path", Value: path},
		h2.Field{Name: "ttl", Value: strconv.Itoa(int(left / time.Second))})
	f = addIf(f, "urgency", m.Urgency)
	f = addIf(f, "topic", m.Topic)
	f = common(f, n, a)
	return append(f, h2.Field{Name: "idempotency-key", Value: strconv.Quote(repeatKey(n, m)), Sensitive: true})
}

// Reason is the first line of the body.
func (Standard) Reason(body []byte) string {
	line, _, _ := strings.Cut(string(body), "\n")
	return intake.Printable(line)
}

func repeatKey(n ExternalIDs, m *engine.Message) string {
	if m.IdempotencyKey != "" {
		return m.IdempotencyKey
	}
	return n.Format(m.ID)
}

func addIf(f []h2.Field, name, value string) []h2.Field {
	if value == "" {
		return f
	}
	return append(f, h2.Field{Name: name, Value: value})
}

func common(f []h2.Field, n ExternalIDs, a *engine.Attempt) []h2.Field {
	m := a.Message
	f = addIf(f, "content-type", m.ContentType)
	f = addIf(f, "content-encoding", m.ContentEncoding)
	return append(f, h2.Field{Name: "content-length", Value: strconv.Itoa(len(m.Body))},
		h2.Field{Name: FieldMessageID, Value: n.Format(m.ID), Sensitive: true},
		h2.Field{Name: FieldAttempt, Value: strconv.Itoa(a.Number)})
}

// Device is the form of the published provider interfaces for device notifications: a path per device, an id, an
// expiry as an absolute time, a priority, a topic, and refusals with a reason in JSON.
type Device struct{}

// PathPerMessage is true: the path is the device's.
func (Device) PathPerMessage() bool { return true }

// Request names the device in its path.
func (Device) Request(s PartnerResource, n ExternalIDs, a *engine.Attempt, left time.Duration, wall time.Time) []h2.Field {
	m := a.Message
	priority := "5"
	if m.Urgency == "high" {
		priority = "10"
	}
	topic := s.Topic
	f := make([]h2.Field, 0, 14)
	f = append(f, h2.Field{Name: ":method", Value: "POST"}, h2.Field{Name: ":scheme", Value: "http"},
		h2.Field{Name: ":authority", Value: s.Authority}, h2.Field{Name: ":path", Value: strings.TrimSuffix(s.Path, "/") + m.TargetPath},
		h2.Field{Name: "apns-id", Value: uuidOf(n.Format(m.ID)), Sensitive: true},
		h2.Field{Name: "apns-expiration", Value: strconv.FormatInt(wall.Add(left).Unix(), 10)},
		h2.Field{Name: "apns-priority", Value: priority})
	f = addIf(f, "apns-topic", topic)
	f = addIf(f, "apns-collapse-id", m.Topic)
	return common(f, n, a)
}

// Reason is the member of that name in a JSON object.
func (Device) Reason(body []byte) string {
	var v struct {
		Reason string `json:"reason"`
	}
	if json.Unmarshal(body, &v) != nil {
		return ""
	}
	return intake.Printable(v.Reason)
}

// uuidOf makes a name into the form of a UUID (RFC 9562 version 8), the same for the same name.
func uuidOf(name string) string {
	var b [16]byte
	h1, h2 := xxhash.Sum64String(name), xxhash.Sum64String("2"+name)
	for i := range 8 {
		b[i], b[8+i] = byte(h1>>(8*i)), byte(h2>>(8*i))
	}
	b[6] = b[6]&0x0f | 0x80
	b[8] = b[8]&0x3f | 0x80
	return fmt.Sprintf("%x-%x-%x-%x-%x", b[0:4], b[4:6], b[6:8], b[8:10], b[10:16])
}

// mostWait bounds what a told wait can count as: past it the figure is no figure.
const mostWait = 10 * 365 * 24 * time.Hour

// RetryAfter reads the wait of an answer (RFC 9110 section 10.2.3): seconds, or a date. A date is held against the
// answer's own Date field where it has one, so that clocks which differ or step do not matter.
func RetryAfter(fields []h2.Field, wall time.Time) time.Duration {
	v := strings.TrimSpace(h2.Value(fields, "retry-after"))
	if v == "" {
		return 0
	}
	if n, err := strconv.ParseUint(v, 10, 64); err == nil {
		if n > uint64(mostWait/time.Second) {
			return mostWait
		}
		return time.Duration(n) * time.Second
	} else if isDigits(v) {
		return mostWait
	}
	at, err := http.ParseTime(v)
	if err != nil {
		return 0
	}
	from := wall
	if d, err := http.ParseTime(h2.Value(fields, "date")); err == nil {
		from = d
	}
	return min(max(at.Sub(from), 0), mostWait)
}

func isDigits(s string) bool {
	return strings.IndexFunc(s, func(r rune) bool { return r < '0' || r > '9' }) < 0
}
