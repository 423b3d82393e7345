package platform

import (
	"bytes"
	"math"
	"strconv"
	"strings"
	"time"

	"whinrun/control"
	"whinrun/internal/engine"
	"whinrun/internal/h1"
)

// CallCodec speaks to endpoints; it is outbound.Calls.
type CallCodec struct {
	*Directory
	LoadMetrics []string // names of the values of a load report, in order
}

// Request appends one call: a message, or several in the form of bulk calls.
func (c CallCodec) Request(b []byte, as []*engine.Attempt, left []time.Duration) []byte {
	host := "endpoint"
	if addr, ok := c.Address(as[0].Endpoint); ok {
		host = addr.String()
	}
	most := left[0]
	for _, l := range left {
		most = max(most, l)
	}
	waits := strconv.FormatFloat(most.Seconds(), 'f', 3, 64)
	if len(as) > 1 {
		body := bulk(as)
		b = h1.AppendHead(b, "POST /inbox/bulk HTTP/1.1", "Host", host, "X-Remaining", waits, "Content-Length", strconv.Itoa(len(body)))
		return append(b, body...)
	}
	m := as[0].Message
	pairs := []string{"Host", host, "X-Txn", m.ExternalID, "X-Remaining", waits, "Content-Length", strconv.Itoa(len(m.Body))}
	if m.IdempotencyKey != "" {
		pairs = append(pairs, "Idempotency-Key", m.IdempotencyKey)
	}
	return append(h1.AppendHead(b, "POST /inbox HTTP/1.1", pairs...), m.Body...)
}

func bulk(as []*engine.Attempt) (b []byte) {
	for _, a := range as {
		key := a.Message.IdempotencyKey
		if key == "" {
			key = "-"
		}
		b = append(b, a.Message.ExternalID+" "+key+" "+strconv.Itoa(len(a.Message.Body))+"\r\n"...)
		b = append(append(b, a.Message.Body...), "\r\n"...)
	}
	return b
}

// Assured is outbound.Calls: a call with one message whose first line says 200 is delivered.
func (c CallCodec) Assured(as []*engine.Attempt, status int) (engine.Outcome, bool) {
	return engine.Outcome{Kind: engine.Answered, Status: status, Detail: "the rest of the answer was spoilt"}, status == 200 && len(as) == 1
}

// statusOf are the ends that a bulk answer names, as the status that means the same for one message.
var statusOf = map[string]int{"done": 200, "failed": 500, "busy": 503, "void": 410, "used_up": 504}

// Answer makes an answer into one end for each message.
func (c CallCodec) Answer(as []*engine.Attempt, head *h1.Response, body []byte) []engine.Outcome {
	e := engine.Outcome{Kind: engine.Answered, Status: head.Status, RetryAfter: wait(head.Fields), LoadReport: c.report(head.Fields)}
	if head.Status == 503 && head.Fields.Get("x-line-busy") == "1" {
		e.Kind, e.Detail = engine.NoFreeSlot, "503"
	}
	ends := make([]engine.Outcome, len(as))
	for i := range ends {
		ends[i] = e
	}
	if len(as) == 1 || head.Status != 200 {
		return ends
	}
	told, ok := bulkEnds(body)
	for i, a := range as {
		if ends[i].Status = told[a.Message.ExternalID]; !ok || ends[i].Status == 0 {
			ends[i] = engine.Outcome{Kind: engine.ProtocolError, RetryAfter: e.RetryAfter, Detail: "the answer does not tell its end"}
		}
	}
	return ends
}

// bulkEnds reads a bulk answer; ok is false where any of it can't be read, or names a message twice.
func bulkEnds(body []byte) (ends map[string]int, ok bool) {
	ends = map[string]int{}
	for l := range bytes.Lines(body) {
		text := strings.TrimRight(string(l), "\r\n")
		if text == "" {
			continue
		}
		name, end, _ := strings.Cut(text, " ")
		status := statusOf[end]
		if status == 0 || ends[name] != 0 {
			return nil, false
		}
		ends[name] = status
	}
	return ends, true
}

// wait reads a told wait. Seconds with decimals stand in Retry-After, milliseconds in X-Come-Back-Ms.
func wait(f h1.Fields) control.Time {
	s, ok := number(f.Get("retry-after"))
	if !ok {
		s, _ = number(f.Get("x-come-back-ms"))
		s /= 1000
	}
	return control.Time(math.Ceil(min(s, maxWait) * float64(control.Second)))
}

// maxWait bounds a told wait, in seconds: an hour, far past the time of any message.
const maxWait = 3600

// number reads a plain decimal number, zero or more.
func number(text string) (float64, bool) {
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

// report reads a load report; one that can't be read is none.
func (c CallCodec) report(f h1.Fields) []float32 {
	text := f.Get("x-pressure")
	if text == "" || len(c.LoadMetrics) == 0 {
		return nil
	}
	out := make([]float32, len(c.LoadMetrics))
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		v, ok := number(value)
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

// Classify tells what ends mean on the platform.
func Classify(e engine.Outcome) engine.Classification {
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
		return engine.Classification{Result: control.NotExecuted, Reason: "504: it has had all its attempts, this one never ran"}
	case 410:
		return engine.Classification{Result: control.NotExecuted, Final: true, Reason: "410: it is over"}
	case 400, 413:
		return engine.Classification{Result: control.NotExecuted, Reason: "the endpoint can't use the call: it never ran"}
	}
	return engine.Classification{Result: control.ErrorResponse, PossiblyExecuted: true, Reason: "error, it may have run"}
}
