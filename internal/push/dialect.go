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
func (e ExternalIDs) Format(id control.MessageID) string {
	return e.Epoch + "-" + strconv.FormatUint(uint64(id), 36)
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
func (Standard) Request(resource PartnerResource, ids ExternalIDs, attempt *engine.Attempt, remaining time.Duration, _ time.Time) []h2.Field {
	msg := attempt.Msg
	path := resource.Path
	if msg.Target != "" {
		path = strings.TrimSuffix(resource.Path, "/") + msg.Target
	}
	fields := make([]h2.Field, 0, 14)
	fields = append(fields, h2.Field{Name: ":method", Value: "POST"}, h2.Field{Name: ":scheme", Value: "http"},
		h2.Field{Name: ":authority", Value: resource.Authority}, h2.Field{Name: ":path", Value: path},
		h2.Field{Name: "ttl", Value: strconv.Itoa(int(remaining / time.Second))})
	fields = appendNonEmpty(fields, "urgency", msg.Urgency)
	fields = appendNonEmpty(fields, "topic", msg.Topic)
	fields = appendCommon(fields, ids, attempt)
	return append(fields, h2.Field{Name: "idempotency-key", Value: strconv.Quote(idempotencyKey(ids, msg)), Sensitive: true})
}

// Reason is the first line of the body.
func (Standard) Reason(body []byte) string {
	line, _, _ := strings.Cut(string(body), "\n")
	return intake.Printable(line)
}

func idempotencyKey(ids ExternalIDs, msg *engine.Message) string {
	if msg.Repeat != "" {
		return msg.Repeat
	}
	return ids.Format(msg.ID)
}

func appendNonEmpty(fields []h2.Field, name, value string) []h2.Field {
	if value == "" {
		return fields
	}
	return append(fields, h2.Field{Name: name, Value: value})
}

func appendCommon(fields []h2.Field, ids ExternalIDs, attempt *engine.Attempt) []h2.Field {
	msg := attempt.Msg
	fields = appendNonEmpty(fields, "content-type", msg.Type)
	fields = appendNonEmpty(fields, "content-encoding", msg.Coding)
	return append(fields, h2.Field{Name: "content-length", Value: strconv.Itoa(len(msg.Body))},
		h2.Field{Name: FieldMessageID, Value: ids.Format(msg.ID), Sensitive: true},
		h2.Field{Name: FieldAttempt, Value: strconv.Itoa(attempt.N)})
}

// Device is the form of the published provider interfaces for device notifications: a path per device, an id, an
// expiry as an absolute time, a priority, a topic, and refusals with a reason in JSON.
type Device struct{}

// PathPerMessage is true: the path is the device's.
func (Device) PathPerMessage() bool { return true }

// Request names the device in its path.
func (Device) Request(resource PartnerResource, ids ExternalIDs, attempt *engine.Attempt, remaining time.Duration, wall time.Time) []h2.Field {
	msg := attempt.Msg
	priority := "5"
	if msg.Urgency == "high" {
		priority = "10"
	}
	topic := resource.Topic
	fields := make([]h2.Field, 0, 14)
	fields = append(fields, h2.Field{Name: ":method", Value: "POST"}, h2.Field{Name: ":scheme", Value: "http"},
		h2.Field{Name: ":authority", Value: resource.Authority}, h2.Field{Name: ":path", Value: strings.TrimSuffix(resource.Path, "/") + msg.Target},
		h2.Field{Name: "apns-id", Value: uuidFor(ids.Format(msg.ID)), Sensitive: true},
		h2.Field{Name: "apns-expiration", Value: strconv.FormatInt(wall.Add(remaining).Unix(), 10)},
		h2.Field{Name: "apns-priority", Value: priority})
	fields = appendNonEmpty(fields, "apns-topic", topic)
	fields = appendNonEmpty(fields, "apns-collapse-id", msg.Topic)
	return appendCommon(fields, ids, attempt)
}

// Reason is the member of that name in a JSON object.
func (Device) Reason(body []byte) string {
	var reply struct {
		Reason string `json:"reason"`
	}
	if json.Unmarshal(body, &reply) != nil {
		return ""
	}
	return intake.Printable(reply.Reason)
}

// uuidFor makes a name into the form of a UUID (RFC 9562 version 8), the same for the same name.
func uuidFor(name string) string {
	var b [16]byte
	low, high := xxhash.Sum64String(name), xxhash.Sum64String("2"+name)
	for i := range 8 {
		b[i], b[8+i] = byte(low>>(8*i)), byte(high>>(8*i))
	}
	b[6] = b[6]&0x0f | 0x80
	b[8] = b[8]&0x3f | 0x80
	return fmt.Sprintf("%x-%x-%x-%x-%x", b[0:4], b[4:6], b[6:8], b[8:10], b[10:16])
}

// maxRetryAfter bounds what a told wait can count as: past it the figure is no figure.
const maxRetryAfter = 10 * 365 * 24 * time.Hour

// RetryAfter reads the wait of an answer (RFC 9110 section 10.2.3): seconds, or a date. A date is held against the
// answer's own Date field where it has one, so that clocks which differ or step do not matter.
func RetryAfter(fields []h2.Field, wall time.Time) time.Duration {
	value := strings.TrimSpace(h2.Value(fields, "retry-after"))
	if value == "" {
		return 0
	}
	if n, err := strconv.ParseUint(value, 10, 64); err == nil {
		if n > uint64(maxRetryAfter/time.Second) {
			return maxRetryAfter
		}
		return time.Duration(n) * time.Second
	} else if isDigits(value) {
		return maxRetryAfter
	}
	retryAt, err := http.ParseTime(value)
	if err != nil {
		return 0
	}
	reference := wall
	if d, err := http.ParseTime(h2.Value(fields, "date")); err == nil {
		reference = d
	}
	return min(max(retryAt.Sub(reference), 0), maxRetryAfter)
}

func isDigits(s string) bool {
	return strings.IndexFunc(s, func(r rune) bool { return r < '0' || r > '9' }) < 0
}
