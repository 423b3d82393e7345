// Package control decides, for one relay, which message goes where and when.
//
// This file is the whole interface: the settings a Dispatcher starts with,
// the events it is told of and the actions it answers with. It holds no
// decision; those are in control.go.
package control

// Time is an instant on the caller's clock, or a span, in microseconds.
type Time int64

// Units of Time.
const (
	Millisecond Time = 1000
	Second      Time = 1000 * Millisecond
)

// StallMargin is how long the caller may be held up between reading its clock and carrying an action out. Windows for repeats
// are taken to end so much sooner.
const StallMargin = 150 * Millisecond

// MessageID names a message; no id is used twice.
type MessageID uint64

// EndpointID names an endpoint. It is opaque and only compared.
type EndpointID uint64

// RepeatEffect says what repeating a message of a class does.
type RepeatEffect uint8

// Effects of a class.
const (
	Idempotent   RepeatEffect = iota // may be repeated at will
	Deduplicated                     // repeats are dropped for a window of time
	AtMostOnce                       // must never take effect twice
)

// Class describes a class of message.
type Class struct {
	Name         string
	Effect       RepeatEffect
	DedupPerZone bool    // Guarded: only endpoints of one zone drop repeats (else all of the destination)
	DedupWindow  Time    // Guarded: how long repeats are dropped, from the first doubtful send
	Target       Time    // full worth when delivered within this
	Deadline     Time    // given up after this
	Value        float64 // worth of one message
	LateValue    float64 // share of the worth left at the deadline
	InOrder      bool    // messages sharing a key go one at a time, in order
}

// Tenant describes a customer and its share of the service.
type Tenant struct {
	Name  string
	Quota float64 // messages a second within its share, over all dispatchers
}

// DestinationKind describes a kind of destination.
type DestinationKind struct {
	Name              string
	MaxBatch          int  // most messages in one call
	PerEndpointLimits bool // endpoints have limits, waits and outages of their own
}

// WeightKind says what Entry.Weight means.
type WeightKind uint8

// Meanings of a listed weight.
const (
	WeightNone        WeightKind = iota // nothing
	WeightNominal                       // the rate a destination takes from all dispatchers
	WeightApproximate                   // the same, but inexact
)

// Settings are told once, at the start.
type Settings struct {
	InstanceIndex, Instances int // this dispatcher's number and how many there are
	Zone                     int
	Tick                     Time
	Classes                  []Class
	Tenants                  []Tenant
	DestinationKinds         []DestinationKind
	Weights                  WeightKind
	HalveLateValue           bool // late worth halves with each further aim, else falls evenly
	OverQuotaFactor          float64
	ReportRemainingIndex     int // position in a report of the share of the limit left, -1 if none
	ReportLimitIndex         int // position in a report of the limit in calls a second, -1 if none

	Slots           int // calls out at once
	MaxOpen         int // messages held, sent or not
	MaxAttempts     int
	MayCancel       bool
	Probes          bool
	RetryAfter      bool // a refusal may carry a wait
	MaxRetryAfter   Time
	ConnIdleTimeout Time
	ConnectTimeout  Time
	StreamsPerConn  int

	// AskList: the endpoint list comes only when asked for, by Watch or Fetch; else it is pushed. Who has not
	// asked for AskEvery counts as told of what was listed then.
	PullList     bool
	PullInterval Time

	// Fees: for each zone, the part of the result that a message costs which a route apart there takes on.
	ZoneCosts []float64

	// Peers: dispatchers may send each other notes, which may be late or lost. PeerPrice is the part of the result
	// that a byte delivered for each message would cost.
	Gossip     bool
	GossipCost float64

	// Follows: a process before this one dispatched for the same name. What became of its last calls is not known.
	HasPredecessor bool

	// Promises: who hands a message in hears in the round of its arrival that it is taken on, unless that round ends it.
	// Giving one up early that was promised costs more than refusing it at once.
	EarlyAck bool

	// KeepOutages: what is known of outages is asked for behind each Step (see Dispatcher.Outages).
	TrackOutages bool

	StopSendingWithin Time
	ColdCapacity      float64
	WarmUp            Time
	CollapseMultiple  float64
	MaxOverload       Time
	SettleTime        Time
}

// EventKind tells what an Event is.
type EventKind uint8

// Kinds of event. The fields each one uses are in brackets.
const (
	// Arrival is a new message [Message Class Tenant Dest Key Grace], or one that a process before this had taken on
	// [also Restored; Attempt: attempts made; Doubt: one of them may have run, the first such was sent Lag ago to Zone].
	Arrival        EventKind = iota + 1
	Outcome                  // an attempt ended [Message Attempt Endpoint Result Lag Closed Wait Report]
	Started                  // a streamed answer began [Message Attempt Endpoint Lag]
	Withdrawn                // nobody wants the message any more [Message]
	TimerFired               // a timer came due [Mark]
	ProbeResult              // a probe ended [Endpoint Result Lag Report]
	ListUpdate               // the endpoint list [ListKind Entries]
	GossipReceived           // a note of another dispatcher [Content]
	// Closing: this dispatcher stops, no message may take longer than Grace from now; Kept: what is held then is kept
	// for the next process and needs no answer.
	Shutdown
	// RecordingStatus tells whether attempts can be put on record [Failing: they can't, and only what needs no record may be sent].
	RecordingStatus
	// OutageRestored tells of an outage that a process before this one had seen [Outage]; its endpoint is listed.
	OutageRestored
)

// Result is how an attempt or a probe ended.
type Result uint8

// Results.
const (
	OK Result = iota
	ErrorResponse
	LimitExceeded
	TimedOut
	ConnectFailed
	Reset
	Cancelled
	NotExecuted // it surely has not run, and says nothing of the endpoint
	NotSent     // the same, and it was not sent: it does not count as an attempt
)

// ListKind tells how a List event relates to the list before it.
type ListKind uint8

// Kinds of list.
const (
	ListDelta ListKind = iota
	ListFull
	ListCached
	ListFailed // a Watch or Fetch failed or the subscription broke; the list before it stays valid
)

// Health is an endpoint's standing in the list; it says nothing of outages.
type Health uint8

// Standings.
const (
	Draining Health = iota
	Ready
	Gone
)

// Entry is one line of the endpoint list.
type Entry struct {
	Endpoint        EndpointID
	Dest            int
	Zone            int
	DestinationKind int
	Health          Health
	Weight          float64
}

// Event is something a Dispatcher is told.
type Event struct {
	Kind             EventKind
	Message          MessageID
	Class            int
	Tenant           int
	Dest             int
	Key              uint64 // 0 is no key
	TimeLeft         Time   // time until the message is given up
	Attempt          int
	Endpoint         EndpointID
	Result           Result
	Closed           bool // the message has ended
	Elapsed          Time
	PossiblyExecuted bool
	Restored         bool
	Zone             int
	KeepHeld         bool
	RecordingFails   bool
	Outage           *Outage
	RetryAfter       Time // told wait, 0 if none
	Report           []float32
	TimerToken       uint64
	ListKind         ListKind
	Entries          []Entry
	Payload          string // bytes of a peer's note
}

// ActionKind tells what an Action is.
type ActionKind uint8

// Kinds of action. The fields each one uses are in brackets.
const (
	// Send starts an attempt [Message Endpoint After: its time-out, 0 is the deadline; Within: one that is not written
	// within this is given up unsent, however long it waits for a connection].
	Send       ActionKind = iota + 1
	Refuse                // final: handed back, harmless to repeat [Message After: stay away so long]
	Fail                  // final: nothing promised [Message]
	Cancel                // stop waiting for an attempt [Message Attempt]
	Timer                 // ask for a Tick [After Mark: 0, or a message's id + 1: of no use once that one is over]
	Probe                 // check an endpoint [Endpoint]
	Close                 // close the idle connections to an endpoint [Endpoint]
	Watch                 // AskList only: subscribe to the list from now on; answered by one List event []
	Fetch                 // AskList only: ask for the whole list once; answered by one List event []
	SendGossip            // Peers only: send a note to every other dispatcher [Text: its bytes, 256 at most]
	Log                   // a line for the operators [Text]
)

// Action is something a Dispatcher wants done.
type Action struct {
	Kind       ActionKind
	Message    MessageID
	Attempt    int
	Endpoint   EndpointID
	After      Time
	SendWithin Time
	TimerToken uint64
	Text       string // Note, Share: their text; Refuse, Fail: the reason, in words
}
