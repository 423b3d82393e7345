package engine

import (
	"fmt"

	"whinrun/control"
)

// OutcomeKind is how an attempt ended, as a back end saw it.
type OutcomeKind uint8

// Ends of an attempt.
const (
	Answered             OutcomeKind = iota + 1 // a whole response came [Status Wait]
	NotConnected                                // no connection, or no SETTINGS on it, in time; nothing was sent
	Unsent                                      // given up before anything of it was written
	StreamRefused                               // RST_STREAM with REFUSED_STREAM (RFC 9113 section 8.7)
	GoAwayUnprocessed                           // GOAWAY with NO_ERROR below its stream, on a connection that had answered
	GoAwayBeforeResponse                        // the same on a connection that never answered anything
	GoAwayWithError                             // GOAWAY with an error code below its stream
	ResetBeforeResponse                         // any other RST_STREAM, or a connection lost, before response headers
	ResetDuringResponse                         // the same after response headers: the answer is cut
	ProtocolError                               // the peer broke the protocol on the stream or the connection
	HeadersTooLarge                             // header section above the peer's limit; nothing was sent
	TimedOut                                    // given up at its time-out
	Cancelled                                   // given up because the module said so
	NoFreeSlot                                  // the endpoint says that it has no slot free for this dispatcher: not executed
	NotRecorded                                 // it could not be put on record, and was not sent
)

// unsent tells that by this end nothing of the attempt was written.
func (k OutcomeKind) unsent() bool {
	return k == NotConnected || k == Unsent || k == HeadersTooLarge || k == NotRecorded
}

// Outcome is the end of one attempt; each attempt has exactly one.
type Outcome struct {
	Seq        uint64 // of the Attempt
	Kind       OutcomeKind
	Status     int          // HTTP status of the response
	RetryAfter control.Time // told by Retry-After, 0 where none was
	LoadReport []float32    // load report, where settings have them
	Detail     string
}

// Classification is what an end means to the module and to the message.
type Classification struct {
	Result           control.Result
	PossiblyExecuted bool // it may have run; false is proof that it has not
	Final            bool // the message ends with this, though not delivered
	Reason           string
}

// unheard tells that the peer said nothing of the attempt's end: it may be executed yet.
func (v Classification) unheard() bool {
	return v.PossiblyExecuted && v.Result != control.OK && v.Result != control.ErrorResponse
}

// verdicts holds the ends that no status is needed for. Doubt counts as "may have run".
var verdicts = map[OutcomeKind]Classification{
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
	Cancelled:            {control.Cancelled, true, false, "called off: it may have run"},
}

// Classify maps an end to what it means. own tells that a path belongs to the message (a device, a subscription) and not
// to the endpoint: a missing one then says nothing of the endpoint.
func Classify(e Outcome, own bool) Classification {
	if e.Kind != Answered {
		if v, ok := verdicts[e.Kind]; ok {
			return v
		}
		return Classification{control.Reset, true, false, "unknown end: it may have run"}
	}
	return judgeStatus(e.Status, e.RetryAfter, own)
}

func judgeStatus(status int, wait control.Time, own bool) Classification {
	why := func(s string) string { return fmt.Sprintf("status %d: %s", status, s) }
	switch {
	case status >= 200 && status < 300:
		return Classification{control.OK, true, true, why("taken")}
	case status == 429:
		return Classification{control.LimitExceeded, false, false, why("above the partner's limit, turned away unseen (RFC 6585 section 4)")}
	case status == 503 && wait > 0:
		return Classification{control.LimitExceeded, false, false, why("turned away with a wait (RFC 9110 section 15.6.4)")}
	case status >= 500:
		return Classification{control.ErrorResponse, true, false, why("error, it may have run")}
	case status == 408 || status == 425:
		return Classification{control.ErrorResponse, true, false, why("not taken now; no proof that it has not run")}
	case status >= 400 && aboutMessage(status, own):
		// The endpoint works: it answered for good. To the module that is an answer like any other.
		return Classification{control.OK, true, true, why("refused for good, for what the message is")}
	case status >= 400:
		return Classification{control.ErrorResponse, true, true, why("refused for good; the endpoint may be set up wrongly")}
	}
	return Classification{control.ErrorResponse, true, false, why("not followed, and no proof that it has not run")}
}

// aboutMessage tells a permanent refusal of the message from one of the endpoint's: 400, 409 and the like blame what
// was sent, 401 or 405 would meet every message there and count against the endpoint.
func aboutMessage(status int, own bool) bool {
	switch status {
	case 400, 402, 406, 409, 410, 411, 412, 413, 414, 415, 416, 417, 422, 428, 431, 451:
		return true
	case 404:
		return own
	}
	return false
}
