// Package push implements the HTTP semantics of a push gateway. Clients and partners use Generic Event Delivery Using
// HTTP Push (RFC 8030). Partners can also use a second dialect, which follows the published provider interfaces for
// device notifications. The package converts between header sections and messages or answers, and does no I/O.
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

// These header fields are sent with every attempt in addition to the standard ones.
const (
	// FieldMessageID is the name of the field that holds the external message ID. It has the same value on every attempt.
	FieldMessageID = "whinrun-message"
	// FieldAttempt is the name of the field that holds the attempt number, which starts at 0.
	FieldAttempt = "whinrun-attempt"
)

// PartnerResource describes where a partner accepts messages.
type PartnerResource struct {
	// Authority is the host and port that requests name in :authority.
	Authority string
	// Path is the path of the push resource. The path suffix of a message, such as a device token, is appended to it.
	Path string
	// Topic is the notification topic (apns-topic) in the device dialect. The standard dialect does not use it.
	Topic string
}

// ExternalIDs formats the message IDs that clients and partners see. Message numbers start over with each process. The
// epoch differs from process to process, so an external ID does not name another message after a restart.
type ExternalIDs struct{ Epoch string }

// Format returns the external ID of a message.
func (e ExternalIDs) Format(id control.MessageID) string {
	return e.Epoch + "-" + strconv.FormatUint(uint64(id), 36)
}

// Dialect is the request format that a kind of partner understands.
type Dialect interface {
	// Request returns the header section of an attempt. left is the remaining lifetime of the message, and wall is the
	// current wall-clock time.
	Request(s PartnerResource, n ExternalIDs, a *engine.Attempt, left time.Duration, wall time.Time) []h2.Field
	// Reason extracts the partner's explanation from the body of an error response. It is empty if there is none.
	Reason(body []byte) string
	// PathPerMessage reports whether the request path identifies the recipient of one message. If so, a status such as
	// 404 or 410 concerns that recipient and says nothing about the health of the partner.
	PathPerMessage() bool
}

// Dialects maps the dialect names of the settings to their implementations.
var Dialects = map[string]Dialect{"push": Standard{}, "device": Device{}}

// Standard implements RFC 8030.
type Standard struct{}

// PathPerMessage returns false because the push resource belongs to the partner.
func (Standard) PathPerMessage() bool { return false }

// Request returns a request for message delivery (RFC 8030 section 5). It adds an Idempotency-Key field so that the
// partner can drop repeated attempts.
func (Standard) Request(resource PartnerResource, ids ExternalIDs, attempt *engine.Attempt, remaining time.Duration, _ time.Time) []h2.Field {
	msg := attempt.Message
	path := resource.Path
	if msg.TargetPath != "" {
		path = strings.TrimSuffix(resource.Path, "/") + msg.TargetPath
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

// Reason returns the first line of the body, reduced to printable characters.
func (Standard) Reason(body []byte) string {
	line, _, _ := strings.Cut(string(body), "\n")
	return intake.Printable(line)
}

// idempotencyKey returns the key that the sender supplied, or the external message ID if it supplied none.
func idempotencyKey(ids ExternalIDs, msg *engine.Message) string {
	if msg.IdempotencyKey != "" {
		return msg.IdempotencyKey
	}
	return ids.Format(msg.ID)
}

// appendNonEmpty appends a field unless its value is empty.
func appendNonEmpty(fields []h2.Field, name, value string) []h2.Field {
	if value == "" {
		return fields
	}
	return append(fields, h2.Field{Name: name, Value: value})
}

// appendCommon appends the fields that all dialects share.
func appendCommon(fields []h2.Field, ids ExternalIDs, attempt *engine.Attempt) []h2.Field {
	msg := attempt.Message
	fields = appendNonEmpty(fields, "content-type", msg.ContentType)
	fields = appendNonEmpty(fields, "content-encoding", msg.ContentEncoding)
	return append(fields, h2.Field{Name: "content-length", Value: strconv.Itoa(len(msg.Body))},
		h2.Field{Name: FieldMessageID, Value: ids.Format(msg.ID), Sensitive: true},
		h2.Field{Name: FieldAttempt, Value: strconv.Itoa(attempt.Number)})
}

// Device implements the format of the published provider interfaces for device notifications. Each device has its own
// path. Requests carry an ID, an absolute expiry time, a priority and a topic. Error responses carry a reason in JSON.
type Device struct{}

// PathPerMessage returns true because the path belongs to the device.
func (Device) PathPerMessage() bool { return true }

// Request returns a notification request whose path names the device.
func (Device) Request(resource PartnerResource, ids ExternalIDs, attempt *engine.Attempt, remaining time.Duration, wall time.Time) []h2.Field {
	msg := attempt.Message
	priority := "5"
	if msg.Urgency == "high" {
		priority = "10"
	}
	topic := resource.Topic
	fields := make([]h2.Field, 0, 14)
	fields = append(fields, h2.Field{Name: ":method", Value: "POST"}, h2.Field{Name: ":scheme", Value: "http"},
		h2.Field{Name: ":authority", Value: resource.Authority}, h2.Field{Name: ":path", Value: strings.TrimSuffix(resource.Path, "/") + msg.TargetPath},
		h2.Field{Name: "apns-id", Value: uuidFor(ids.Format(msg.ID)), Sensitive: true},
		h2.Field{Name: "apns-expiration", Value: strconv.FormatInt(wall.Add(remaining).Unix(), 10)},
		h2.Field{Name: "apns-priority", Value: priority})
	fields = appendNonEmpty(fields, "apns-topic", topic)
	fields = appendNonEmpty(fields, "apns-collapse-id", msg.Topic)
	return appendCommon(fields, ids, attempt)
}

// Reason returns the "reason" member of a JSON object. It is empty if the body is not such an object.
func (Device) Reason(body []byte) string {
	var reply struct {
		Reason string `json:"reason"`
	}
	if json.Unmarshal(body, &reply) != nil {
		return ""
	}
	return intake.Printable(reply.Reason)
}

// uuidFor derives a UUID (RFC 9562 version 8) from a name. Equal names give equal UUIDs.
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

// maxRetryAfter caps the wait that a Retry-After field can request. A longer value is not plausible, and the cap keeps
// the conversion to time.Duration from overflowing.
const maxRetryAfter = 10 * 365 * 24 * time.Hour

// RetryAfter returns the wait that a response requests in Retry-After (RFC 9110 section 10.2.3), as seconds or as a
// date. A date is compared with the Date field of the same response if it has one, so that clock skew and clock steps
// do not matter. Otherwise it is compared with wall. The result is 0 if the field is missing or invalid.
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

// isDigits reports whether s contains nothing but ASCII digits.
func isDigits(s string) bool {
	return strings.IndexFunc(s, func(r rune) bool { return r < '0' || r > '9' }) < 0
}
