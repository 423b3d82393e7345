package platform

import (
	"bytes"
	"math"
	"slices"
	"strconv"
	"strings"

	"whinrun/control"
	"whinrun/internal/engine"
	"whinrun/internal/h1"
	"whinrun/internal/outbound"
)

// CallCodec encodes calls to endpoints as HTTP/1.1 requests of the platform's protocol and decodes the
// responses. It implements outbound.HTTP1Codec.
type CallCodec struct {
	*Directory
	// LoadMetrics are the names of the values in a load report, in the order in which they are passed to the
	// engine.
	LoadMetrics []string
}

// CanName implements outbound.HTTP1Codec. Bulk responses name their messages, and an endpoint that takes several messages
// in a call takes one in that form.
func (c CallCodec) CanName(a *engine.Attempt) bool { return c.MaxBatch(a.Placement.Kind) > 1 }

// Request appends the request of one call to b: a single message, or a bulk request in the named form. X-Remaining
// is the longest remaining time among the attempts, in seconds.
func (c CallCodec) Request(b []byte, r outbound.HTTP1Request) []byte {
	host := "endpoint"
	if addr, ok := c.Address(r.Attempts[0].Endpoint); ok {
		host = addr.String()
	}
	remainingSeconds := strconv.FormatFloat(slices.Max(r.Left).Seconds(), 'f', 3, 64)
	if r.Named {
		body := bulkBody(r.Attempts)
		b = h1.AppendHead(b, "POST /inbox/bulk HTTP/1.1", "Host", host, "X-Remaining", remainingSeconds, "Content-Length", strconv.Itoa(len(body)))
		return append(b, body...)
	}
	m := r.Attempts[0].Message
	pairs := []string{"Host", host, "X-Txn", m.ExternalID, "X-Remaining", remainingSeconds, "Content-Length", strconv.Itoa(len(m.Body))}
	if m.IdempotencyKey != "" {
		pairs = append(pairs, "Idempotency-Key", m.IdempotencyKey)
	}
	return append(h1.AppendHead(b, "POST /inbox HTTP/1.1", pairs...), m.Body...)
}

// bulkBody returns the body of a bulk request. Each message has a line with its id, its idempotency key ("-"
// for none) and its length in bytes, followed by its body and CRLF.
func bulkBody(attempts []*engine.Attempt) (b []byte) {
	for _, a := range attempts {
		key := a.Message.IdempotencyKey
		if key == "" {
			key = "-"
		}
		b = append(b, a.Message.ExternalID+" "+key+" "+strconv.Itoa(len(a.Message.Body))+"\r\n"...)
		b = append(append(b, a.Message.Body...), "\r\n"...)
	}
	return b
}

// EndFromStatus implements outbound.HTTP1Codec. A single request is delivered once its status line says 200,
// even if the rest of the response is malformed or missing.
func (c CallCodec) EndFromStatus(r outbound.HTTP1Request, status int) (engine.Outcome, bool) {
	return engine.Outcome{Kind: engine.Answered, Status: status, Detail: "the rest of the answer was spoilt"}, status == 200 && !r.Named
}

// endingStatuses are the statuses that tell that a message is over (200, 410), or that it may not be attempted again (504).
var endingStatuses = []int{200, 410, 504}

// TellsEnd implements outbound.HTTP1Codec. A bulk response with status 200 tells the end of the messages in those of its lines
// that have arrived; a line that is cut off counts if its result can still be an end.
func (c CallCodec) TellsEnd(r outbound.HTTP1Request, status int, body []byte) []bool {
	tells := make([]bool, len(r.Attempts))
	if !r.Named || status != 200 {
		for i := range tells {
			tells[i] = slices.Contains(endingStatuses, status)
		}
		return tells
	}
	ended := endedMessages(body)
	for i, a := range r.Attempts {
		tells[i] = ended[a.Message.ExternalID]
	}
	return tells
}

// endedMessages returns the messages that the readable lines of a bulk response tell to have ended.
func endedMessages(body []byte) map[string]bool {
	ended := map[string]bool{}
	for line := range bytes.Lines(body) {
		name, result, _ := strings.Cut(strings.TrimRight(string(line), "\r\n"), " ")
		for text, status := range bulkStatus {
			if result != "" && strings.HasPrefix(text, result) && slices.Contains(endingStatuses, status) {
				ended[name] = true
			}
		}
	}
	return ended
}

// Names implements outbound.HTTP1Codec. Only a bulk response with status 200 names its messages.
func (c CallCodec) Names(r outbound.HTTP1Request, head *h1.Response, body []byte) outbound.AnswerNames {
	if !r.Named || head.Status != 200 {
		return outbound.NamesNone
	}
	statuses, ok := parseBulkEnds(body)
	if !ok || len(statuses) == 0 {
		return outbound.NamesMissing
	}
	own := 0
	for _, a := range r.Attempts {
		if statuses[a.Message.ExternalID] != 0 {
			own++
		}
	}
	switch {
	case own == 0:
		return outbound.NamesOthers
	// An answer that names a part of the messages may be that of an earlier call with these.
	case own == len(r.Attempts) && own == len(statuses):
		return outbound.NamesCall
	}
	return outbound.NamesMissing
}

// bulkStatus maps the results that a bulk response names to the HTTP status that has the same meaning for a
// single message.
var bulkStatus = map[string]int{"done": 200, "failed": 500, "busy": 503, "void": 410, "used_up": 504}

// Answer converts a response into one end for each attempt of the call. An attempt whose result is missing
// from a bulk response, or whose bulk response cannot be parsed, ends as Malformed.
func (c CallCodec) Answer(r outbound.HTTP1Request, head *h1.Response, body []byte) []engine.Outcome {
	e := engine.Outcome{Kind: engine.Answered, Status: head.Status, RetryAfter: parseRetryAfter(head.Fields), LoadReport: c.parseLoadReport(head.Fields)}
	if head.Status == 503 && head.Fields.Get("x-line-busy") == "1" {
		e.Kind, e.Detail = engine.NoFreeSlot, "503"
	}
	ends := make([]engine.Outcome, len(r.Attempts))
	for i := range ends {
		ends[i] = e
	}
	if !r.Named || head.Status != 200 {
		return ends
	}
	statuses, ok := parseBulkEnds(body)
	for i, a := range r.Attempts {
		if ends[i].Status = statuses[a.Message.ExternalID]; !ok || ends[i].Status == 0 {
			ends[i] = engine.Outcome{Kind: engine.ProtocolError, RetryAfter: e.RetryAfter, Detail: "the answer does not tell its end"}
		}
	}
	return ends
}

// parseBulkEnds parses the body of a bulk response into a status for each message id. It returns false if any
// line cannot be parsed or if a message is named twice.
func parseBulkEnds(body []byte) (ends map[string]int, ok bool) {
	ends = map[string]int{}
	for line := range bytes.Lines(body) {
		text := strings.TrimRight(string(line), "\r\n")
		if text == "" {
			continue
		}
		name, end, _ := strings.Cut(text, " ")
		status := bulkStatus[end]
		if status == 0 || ends[name] != 0 {
			return nil, false
		}
		ends[name] = status
	}
	return ends, true
}

// parseRetryAfter returns the wait that a response asks for, rounded up to a microsecond, or 0 if it asks for
// none. Retry-After holds seconds, with decimals allowed. X-Come-Back-Ms holds milliseconds and is read only
// if Retry-After is missing or invalid.
func parseRetryAfter(f h1.Fields) control.Time {
	seconds, ok := parseDecimal(f.Get("retry-after"))
	if !ok {
		seconds, _ = parseDecimal(f.Get("x-come-back-ms"))
		seconds /= 1000
	}
	return control.Time(math.Ceil(min(seconds, maxSeconds) * float64(control.Second)))
}

// maxSeconds is the upper limit of the durations that peers send, in seconds. One hour is far longer than any
// message lives.
const maxSeconds = 3600

// parseDecimal parses a non-negative decimal number without sign or exponent.
func parseDecimal(text string) (float64, bool) {
	if len(text) == 0 || len(text) > 20 {
		return 0, false
	}
	for _, c := range []byte(text) {
		if (c < '0' || c > '9') && c != '.' {
			return 0, false
		}
	}
	v, err := strconv.ParseFloat(text, 64)
	return v, err == nil
}

// parseLoadReport parses the load report of a response. It returns nil if there is none or if it cannot be
// parsed.
func (c CallCodec) parseLoadReport(f h1.Fields) []float32 {
	text := f.Get("x-pressure")
	if text == "" || len(c.LoadMetrics) == 0 {
		return nil
	}
	out := make([]float32, len(c.LoadMetrics))
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		v, ok := parseDecimal(value)
		if !ok {
			return nil
		}
		for i, n := range c.LoadMetrics {
			if n == name {
				out[i] = float32(v)
			}
		}
	}
	return out
}

// Classify returns what an end of an attempt means on the platform. Statuses 400, 410, 413, 429, 503 and 504
// prove that the attempt was not executed.
func Classify(e engine.Outcome) engine.Classification {
	if e.Kind == engine.UnprovenAnswer && e.Status != 0 {
		e.Kind = engine.Answered
		return Classify(e).InDoubt()
	}
	if e.Kind != engine.Answered {
		return engine.Classify(e, false)
	}
	switch e.Status {
	case 200:
		return engine.Classification{Result: control.OK, PossiblyExecuted: true, Final: true, Reason: "200: delivered"}
	case 429:
		return engine.Classification{Result: control.LimitExceeded, Reason: "429: turned away, it never ran"}
	case 503:
		return engine.Classification{Result: control.LimitExceeded, Reason: "503: turned away, it never ran"}
	case 504:
		return engine.Classification{Result: control.NotExecuted, Final: true, Reason: "504: it has had all its attempts, this one never ran"}
	case 410:
		return engine.Classification{Result: control.NotExecuted, Final: true, Reason: "410: it is over"}
	case 400, 413:
		return engine.Classification{Result: control.NotExecuted, Reason: "the endpoint can't use the call: it never ran"}
	}
	return engine.Classification{Result: control.ErrorResponse, PossiblyExecuted: true, Reason: "error, it may have run"}
}
