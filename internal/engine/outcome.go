package engine

import (
	"fmt"

	"whinrun/control"
)

// OutcomeKind is how an attempt ended, as the transport saw it.
type OutcomeKind uint8

// Outcomes of an attempt.
const (
	// Answered means that a complete response was received. Outcome.Status and Outcome.RetryAfter are set.
	Answered OutcomeKind = iota + 1

	// NotConnected means that no connection was established in time, or that it received no SETTINGS in time. Nothing was sent.
	NotConnected

	// Unsent means that the attempt was given up before anything of it was written.
	Unsent

	// StreamRefused means that the peer sent RST_STREAM with REFUSED_STREAM (RFC 9113 section 8.7).
	StreamRefused

	// GoAwayUnprocessed means that the peer sent GOAWAY with NO_ERROR and a last stream below the attempt's stream, on a
	// connection that had answered before.
	GoAwayUnprocessed

	// GoAwayBeforeResponse means the same as GoAwayUnprocessed, on a connection that never answered anything.
	GoAwayBeforeResponse

	// GoAwayWithError means that the peer sent GOAWAY with an error code and a last stream below the attempt's stream.
	GoAwayWithError

	// ResetBeforeResponse means that any other RST_STREAM was received, or the connection was lost, before response headers.
	ResetBeforeResponse

	// ResetDuringResponse means the same as ResetBeforeResponse, but after response headers. The response is truncated.
	ResetDuringResponse

	// ProtocolError means that the peer violated the protocol on the stream or the connection.
	ProtocolError

	// HeadersTooLarge means that the header section exceeds the peer's limit. Nothing was sent.
	HeadersTooLarge

	// TimedOut means that the attempt was given up at its deadline.
	TimedOut

	// Cancelled means that the attempt was given up because the library cancelled it.
	Cancelled

	// NoFreeSlot means that the endpoint reported that it has no free slot for this dispatcher. The attempt was not executed.
	NoFreeSlot

	// NotRecorded means that the attempt could not be recorded in the ledger, and was therefore not sent.
	NotRecorded

	// UnprovenAnswer means that a response came that may be that of another attempt, and that the connection was closed. Its status, if
	// it is known, tells of the endpoint, and not of the attempt.
	UnprovenAnswer

	// DeliveryConfirmed follows an outcome with Provisional set: the response was that of the attempt.
	DeliveryConfirmed

	// DeliveryUnproven follows an outcome with Provisional set: nothing proves that the response was that of the attempt. The
	// message may be over, and gets no further attempt.
	DeliveryUnproven
)

// nothingWritten reports whether the outcome means that nothing of the attempt was written.
func (k OutcomeKind) nothingWritten() bool {
	return k == NotConnected || k == Unsent || k == HeadersTooLarge || k == NotRecorded
}

// Outcome is the end of one attempt. Each attempt has exactly one, and one more if the first is provisional.
type Outcome struct {
	Seq        uint64 // The Seq of the Attempt.
	Kind       OutcomeKind
	Status     int          // The HTTP status of the response.
	RetryAfter control.Time // The wait of a Retry-After field, or zero if there was none.
	LoadReport []float32    // The load report, if the settings have one.
	Detail     string       // An optional explanation, which is appended to the reason.

	// PossiblyOver is set if a response, of which it is not known whether it is that of the attempt, or which is not whole, may tell that
	// the message is over or may not be attempted again. No further attempt is made. The message fails, which does no harm if it
	// was over.
	PossiblyOver bool

	// Provisional is set for a response that delivers the message unless it is that of another attempt. A second outcome
	// follows, which is DeliveryConfirmed or DeliveryUnproven.
	Provisional bool
}

// Classification is what an outcome means to the library and to the message.
type Classification struct {
	Result control.Result

	// PossiblyExecuted is set if the attempt may have been executed. If it is not set, the outcome proves that it was not.
	PossiblyExecuted bool

	// Final is set if the outcome ends the message, although it may not be delivered.
	Final bool

	Reason string
}

// unconfirmed reports whether the peer did not report the end of the attempt, which may still be executing.
func (v Classification) unconfirmed() bool {
	return v.PossiblyExecuted && v.Result != control.OK && v.Result != control.ErrorResponse
}

// classifications holds the classifications of outcomes without a status. In case of doubt an attempt counts as possibly
// executed.
var classifications = map[OutcomeKind]Classification{
	NotConnected:         {control.ConnectFailed, false, false, "no connection: nothing was sent"},
	Unsent:               {control.NotSent, false, false, "given up before it was written"},
	NotRecorded:          {control.NotSent, false, false, "it could not be put on record, and was not sent"},
	NoFreeSlot:           {control.NotExecuted, false, false, "the endpoint has no slot free for this dispatcher: not executed"},
	StreamRefused:        {control.LimitExceeded, false, false, "REFUSED_STREAM: the peer has not worked on it (RFC 9113 section 8.7)"},
	GoAwayUnprocessed:    {control.NotExecuted, false, false, "GOAWAY below its stream: not worked on (RFC 9113 section 6.8)"},
	GoAwayBeforeResponse: {control.ConnectFailed, false, false, "GOAWAY before any answer: not worked on, the endpoint takes no calls"},
	GoAwayWithError:      {control.LimitExceeded, false, false, "GOAWAY with an error below its stream: not worked on, too much for the peer"},
	ResetBeforeResponse:  {control.Reset, true, false, "broken off before an answer: it may have run"},
	ResetDuringResponse:  {control.Reset, true, false, "answer cut: it may have run"},
	ProtocolError:        {control.Reset, true, false, "protocol broken by the peer: it may have run"},
	HeadersTooLarge:      {control.NotExecuted, false, true, "header section above the peer's limit: can never be sent"},
	TimedOut:             {control.TimedOut, true, false, "no answer in time: it may have run or still do so"},
	UnprovenAnswer:       {control.Cancelled, true, false, "no answer that is surely its own: it may have run"},
	Cancelled:            {control.Cancelled, true, false, "called off: it may have run"},
}

// InDoubt returns the meaning of a response that may be that of another attempt. A refusal tells of the endpoint's limit all the
// same.
func (v Classification) InDoubt() Classification {
	doubt := classifications[UnprovenAnswer]
	if v.Result == control.LimitExceeded {
		doubt.Result = control.LimitExceeded
	}
	return doubt
}

// Classify returns what an outcome means. pathPerMessage is set if the path belongs to the message (a device or a subscription)
// and not to the endpoint. Status 404 then says nothing about the endpoint.
func Classify(e Outcome, pathPerMessage bool) Classification {
	if e.Kind == UnprovenAnswer && e.Status != 0 {
		return classifyStatus(e.Status, e.RetryAfter, pathPerMessage).InDoubt()
	}
	if e.Kind != Answered {
		if v, ok := classifications[e.Kind]; ok {
			return v
		}
		return Classification{control.Reset, true, false, "unknown end: it may have run"}
	}
	return classifyStatus(e.Status, e.RetryAfter, pathPerMessage)
}

// classifyStatus returns what a complete response with the given status and wait means.
func classifyStatus(status int, wait control.Time, pathPerMessage bool) Classification {
	reason := func(s string) string { return fmt.Sprintf("status %d: %s", status, s) }
	switch {
	case status >= 200 && status < 300:
		return Classification{control.OK, true, true, reason("taken")}
	case status == 429:
		return Classification{control.LimitExceeded, false, false, reason("above the partner's limit, turned away unseen (RFC 6585 section 4)")}
	case status == 503 && wait > 0:
		return Classification{control.LimitExceeded, false, false, reason("turned away with a wait (RFC 9110 section 15.6.4)")}
	case status >= 500:
		return Classification{control.ErrorResponse, true, false, reason("error, it may have run")}
	case status == 408 || status == 425:
		return Classification{control.ErrorResponse, true, false, reason("not taken now; no proof that it has not run")}
	case status >= 400 && rejectsMessage(status, pathPerMessage):
		// The endpoint works, because it gave a definitive answer. To the library this is an answer like any other.
		return Classification{control.OK, true, true, reason("refused for good, for what the message is")}
	case status >= 400:
		return Classification{control.ErrorResponse, true, true, reason("refused for good; the endpoint may be set up wrongly")}
	}
	return Classification{control.ErrorResponse, true, false, reason("not followed, and no proof that it has not run")}
}

// EndsMessage reports whether a response with a status ends its message: it was taken, or refused for good.
func EndsMessage(status int) bool { return classifyStatus(status, 0, false).Final }

// rejectsMessage reports whether a permanent refusal is about the message and not about the endpoint. Statuses such as 400 and
// 409 are about what was sent. Statuses such as 401 and 405 would be the answer to every message, and so count against the
// endpoint.
func rejectsMessage(status int, pathPerMessage bool) bool {
	switch status {
	case 400, 402, 406, 409, 410, 411, 412, 413, 414, 415, 416, 417, 422, 428, 431, 451:
		return true
	case 404:
		return pathPerMessage
	}
	return false
}
