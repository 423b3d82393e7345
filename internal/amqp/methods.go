package amqp

// Code is a reply code (section 1.2).
type Code uint16

// Reply codes. Those below 500 close a channel, the others and 320, 402 the connection.
const (
	ReplySuccess       Code = 200
	ContentTooLarge    Code = 311
	NoRoute            Code = 312
	NoConsumers        Code = 313
	ConnectionForced   Code = 320
	InvalidPath        Code = 402
	AccessRefused      Code = 403
	NotFound           Code = 404
	ResourceLocked     Code = 405
	PreconditionFailed Code = 406
	FrameError         Code = 501
	SyntaxError        Code = 502
	CommandInvalid     Code = 503
	ChannelError       Code = 504
	UnexpectedFrame    Code = 505
	ResourceError      Code = 506
	NotAllowed         Code = 530
	NotImplemented     Code = 540
	InternalError      Code = 541
)

var codeNames = map[Code]string{ContentTooLarge: "CONTENT_TOO_LARGE", NoRoute: "NO_ROUTE", NoConsumers: "NO_CONSUMERS",
	ConnectionForced: "CONNECTION_FORCED", InvalidPath: "INVALID_PATH", AccessRefused: "ACCESS_REFUSED", NotFound: "NOT_FOUND",
	ResourceLocked: "RESOURCE_LOCKED", PreconditionFailed: "PRECONDITION_FAILED", FrameError: "FRAME_ERROR",
	SyntaxError: "SYNTAX_ERROR", CommandInvalid: "COMMAND_INVALID", ChannelError: "CHANNEL_ERROR",
	UnexpectedFrame: "UNEXPECTED_FRAME", ResourceError: "RESOURCE_ERROR", NotAllowed: "NOT_ALLOWED",
	NotImplemented: "NOT_IMPLEMENTED", InternalError: "INTERNAL_ERROR"}

// ClosesConnection tells whether an error ends the connection and not just a channel.
func (c Code) ClosesConnection() bool { return c >= 500 || c == ConnectionForced || c == InvalidPath }

// Method is one of the protocol's methods, with its arguments.
type Method interface {
	id() (class, method uint16)
	fields(coder)
}

// ID names a method by its class and number.
func ID(m Method) (class, method uint16) { return m.id() }

// Class numbers (section 1.4).
const (
	classConnection = 10
	classChannel    = 20
	classAccess     = 30
	classExchange   = 40
	classQueue      = 50
	classBasic      = 60
	classConfirm    = 85
	classTx         = 90
)

// bare is a method without arguments.
type bare struct{}

func (bare) fields(coder) {}

// Methods of the connection class (section 1.4.1).
type (
	ConnectionStart struct {
		Major, Minor        uint8
		Properties          Table
		Mechanisms, Locales string
	}
	ConnectionStartOK struct {
		Properties                  Table
		Mechanism, Response, Locale string
	}
	ConnectionTune struct {
		ChannelMax uint16
		FrameMax   uint32
		Heartbeat  uint16
	}
	ConnectionTuneOK ConnectionTune
	ConnectionOpen   struct {
		VHost, Reserved string
		Insist          bool
	}
	ConnectionOpenOK         struct{ Reserved string }
	ConnectionClose          closing
	ConnectionCloseOK        struct{ bare }
	ConnectionBlocked        struct{ Reason string }
	ConnectionUnblocked      struct{ bare }
	ConnectionUpdateSecret   struct{ Secret, Reason string }
	ConnectionUpdateSecretOK struct{ bare }
)

// closing is what both kinds of close say.
type closing struct {
	Code          Code
	Text          string
	Class, Method uint16 // that the close is about, 0 for none
}

func (m *closing) fields(c coder) {
	c.u16((*uint16)(&m.Code))
	c.short(&m.Text)
	c.u16(&m.Class)
	c.u16(&m.Method)
}

func (*ConnectionStart) id() (uint16, uint16)          { return classConnection, 10 }
func (*ConnectionStartOK) id() (uint16, uint16)        { return classConnection, 11 }
func (*ConnectionTune) id() (uint16, uint16)           { return classConnection, 30 }
func (*ConnectionTuneOK) id() (uint16, uint16)         { return classConnection, 31 }
func (*ConnectionOpen) id() (uint16, uint16)           { return classConnection, 40 }
func (*ConnectionOpenOK) id() (uint16, uint16)         { return classConnection, 41 }
func (*ConnectionClose) id() (uint16, uint16)          { return classConnection, 50 }
func (*ConnectionCloseOK) id() (uint16, uint16)        { return classConnection, 51 }
func (*ConnectionBlocked) id() (uint16, uint16)        { return classConnection, 60 }
func (*ConnectionUnblocked) id() (uint16, uint16)      { return classConnection, 61 }
func (*ConnectionUpdateSecret) id() (uint16, uint16)   { return classConnection, 70 }
func (*ConnectionUpdateSecretOK) id() (uint16, uint16) { return classConnection, 71 }

func (m *ConnectionStart) fields(c coder) {
	c.u8(&m.Major)
	c.u8(&m.Minor)
	c.table(&m.Properties)
	c.long(&m.Mechanisms)
	c.long(&m.Locales)
}
func (m *ConnectionStartOK) fields(c coder) {
	c.table(&m.Properties)
	c.short(&m.Mechanism)
	c.long(&m.Response)
	c.short(&m.Locale)
}
func (m *ConnectionTune) fields(c coder) {
	c.u16(&m.ChannelMax)
	c.u32(&m.FrameMax)
	c.u16(&m.Heartbeat)
}
func (m *ConnectionTuneOK) fields(c coder) { (*ConnectionTune)(m).fields(c) }
func (m *ConnectionOpen) fields(c coder) {
	c.short(&m.VHost)
	c.short(&m.Reserved)
	c.bits(&m.Insist)
}
func (m *ConnectionOpenOK) fields(c coder)  { c.short(&m.Reserved) }
func (m *ConnectionClose) fields(c coder)   { (*closing)(m).fields(c) }
func (m *ConnectionBlocked) fields(c coder) { c.short(&m.Reason) }
func (m *ConnectionUpdateSecret) fields(c coder) {
	c.long(&m.Secret)
	c.short(&m.Reason)
}

// Methods of the channel class (section 1.5).
type (
	ChannelOpen    struct{ Reserved string }
	ChannelOpenOK  struct{ Reserved string }
	ChannelFlow    struct{ Active bool }
	ChannelFlowOK  struct{ Active bool }
	ChannelClose   closing
	ChannelCloseOK struct{ bare }
)

func (*ChannelOpen) id() (uint16, uint16)    { return classChannel, 10 }
func (*ChannelOpenOK) id() (uint16, uint16)  { return classChannel, 11 }
func (*ChannelFlow) id() (uint16, uint16)    { return classChannel, 20 }
func (*ChannelFlowOK) id() (uint16, uint16)  { return classChannel, 21 }
func (*ChannelClose) id() (uint16, uint16)   { return classChannel, 40 }
func (*ChannelCloseOK) id() (uint16, uint16) { return classChannel, 41 }

func (m *ChannelOpen) fields(c coder)   { c.short(&m.Reserved) }
func (m *ChannelOpenOK) fields(c coder) { c.long(&m.Reserved) }
func (m *ChannelFlow) fields(c coder)   { c.bits(&m.Active) }
func (m *ChannelFlowOK) fields(c coder) { c.bits(&m.Active) }
func (m *ChannelClose) fields(c coder)  { (*closing)(m).fields(c) }

// Methods of the exchange class (section 1.6).
type (
	ExchangeDeclare struct {
		Ticket                                         uint16
		Exchange, Type                                 string
		Passive, Durable, AutoDelete, Internal, NoWait bool
		Arguments                                      Table
	}
	ExchangeDeclareOK struct{ bare }
	ExchangeDelete    struct {
		Ticket           uint16
		Exchange         string
		IfUnused, NoWait bool
	}
)

func (*ExchangeDeclare) id() (uint16, uint16)   { return classExchange, 10 }
func (*ExchangeDeclareOK) id() (uint16, uint16) { return classExchange, 11 }
func (*ExchangeDelete) id() (uint16, uint16)    { return classExchange, 20 }

func (m *ExchangeDeclare) fields(c coder) {
	c.u16(&m.Ticket)
	c.short(&m.Exchange)
	c.short(&m.Type)
	c.bits(&m.Passive, &m.Durable, &m.AutoDelete, &m.Internal, &m.NoWait)
	c.table(&m.Arguments)
}
func (m *ExchangeDelete) fields(c coder) {
	c.u16(&m.Ticket)
	c.short(&m.Exchange)
	c.bits(&m.IfUnused, &m.NoWait)
}

// Methods of the queue class (section 1.7).
type (
	QueueDeclare struct {
		Ticket                                          uint16
		Queue                                           string
		Passive, Durable, Exclusive, AutoDelete, NoWait bool
		Arguments                                       Table
	}
	QueueDeclareOK struct {
		Queue               string
		Messages, Consumers uint32
	}
	QueueBind struct {
		Ticket               uint16
		Queue, Exchange, Key string
		NoWait               bool
		Arguments            Table
	}
	QueueBindOK struct{ bare }
	QueuePurge  struct {
		Ticket uint16
		Queue  string
		NoWait bool
	}
	QueuePurgeOK struct{ Messages uint32 }
	QueueDelete  struct {
		Ticket                    uint16
		Queue                     string
		IfUnused, IfEmpty, NoWait bool
	}
	QueueDeleteOK struct{ Messages uint32 }
	QueueUnbind   struct {
		Ticket               uint16
		Queue, Exchange, Key string
		Arguments            Table
	}
	QueueUnbindOK struct{ bare }
)

func (*QueueDeclare) id() (uint16, uint16)   { return classQueue, 10 }
func (*QueueDeclareOK) id() (uint16, uint16) { return classQueue, 11 }
func (*QueueBind) id() (uint16, uint16)      { return classQueue, 20 }
func (*QueueBindOK) id() (uint16, uint16)    { return classQueue, 21 }
func (*QueuePurge) id() (uint16, uint16)     { return classQueue, 30 }
func (*QueuePurgeOK) id() (uint16, uint16)   { return classQueue, 31 }
func (*QueueDelete) id() (uint16, uint16)    { return classQueue, 40 }
func (*QueueDeleteOK) id() (uint16, uint16)  { return classQueue, 41 }
func (*QueueUnbind) id() (uint16, uint16)    { return classQueue, 50 }
func (*QueueUnbindOK) id() (uint16, uint16)  { return classQueue, 51 }

func (m *QueueDeclare) fields(c coder) {
	c.u16(&m.Ticket)
	c.short(&m.Queue)
	c.bits(&m.Passive, &m.Durable, &m.Exclusive, &m.AutoDelete, &m.NoWait)
	c.table(&m.Arguments)
}
func (m *QueueDeclareOK) fields(c coder) {
	c.short(&m.Queue)
	c.u32(&m.Messages)
	c.u32(&m.Consumers)
}
func (m *QueueBind) fields(c coder) {
	c.u16(&m.Ticket)
	c.short(&m.Queue)
	c.short(&m.Exchange)
	c.short(&m.Key)
	c.bits(&m.NoWait)
	c.table(&m.Arguments)
}
func (m *QueuePurge) fields(c coder) {
	c.u16(&m.Ticket)
	c.short(&m.Queue)
	c.bits(&m.NoWait)
}
func (m *QueuePurgeOK) fields(c coder) { c.u32(&m.Messages) }
func (m *QueueDelete) fields(c coder) {
	c.u16(&m.Ticket)
	c.short(&m.Queue)
	c.bits(&m.IfUnused, &m.IfEmpty, &m.NoWait)
}
func (m *QueueDeleteOK) fields(c coder) { c.u32(&m.Messages) }
func (m *QueueUnbind) fields(c coder) {
	c.u16(&m.Ticket)
	c.short(&m.Queue)
	c.short(&m.Exchange)
	c.short(&m.Key)
	c.table(&m.Arguments)
}

// Methods of the basic class (section 1.8), with the nack of the confirms extension.
type (
	BasicQos struct {
		PrefetchSize  uint32
		PrefetchCount uint16
		Global        bool
	}
	BasicQosOK   struct{ bare }
	BasicConsume struct {
		Ticket                            uint16
		Queue, ConsumerTag                string
		NoLocal, NoAck, Exclusive, NoWait bool
		Arguments                         Table
	}
	BasicConsumeOK struct{ ConsumerTag string }
	BasicCancel    struct {
		ConsumerTag string
		NoWait      bool
	}
	BasicCancelOK struct{ ConsumerTag string }
	BasicPublish  struct {
		Ticket               uint16
		Exchange, Key        string
		Mandatory, Immediate bool
	}
	BasicReturn struct {
		Code                Code
		Text, Exchange, Key string
	}
	BasicDeliver struct {
		ConsumerTag   string
		DeliveryTag   uint64
		Redelivered   bool
		Exchange, Key string
	}
	BasicGet struct {
		Ticket uint16
		Queue  string
		NoAck  bool
	}
	BasicGetOK struct {
		DeliveryTag   uint64
		Redelivered   bool
		Exchange, Key string
		Messages      uint32
	}
	BasicGetEmpty struct{ Reserved string }
	BasicAck      struct {
		DeliveryTag uint64
		Multiple    bool
	}
	BasicReject struct {
		DeliveryTag uint64
		Requeue     bool
	}
	BasicRecoverAsync struct{ Requeue bool }
	BasicRecover      struct{ Requeue bool }
	BasicRecoverOK    struct{ bare }
	BasicNack         struct {
		DeliveryTag       uint64
		Multiple, Requeue bool
	}
)

func (*BasicQos) id() (uint16, uint16)          { return classBasic, 10 }
func (*BasicQosOK) id() (uint16, uint16)        { return classBasic, 11 }
func (*BasicConsume) id() (uint16, uint16)      { return classBasic, 20 }
func (*BasicConsumeOK) id() (uint16, uint16)    { return classBasic, 21 }
func (*BasicCancel) id() (uint16, uint16)       { return classBasic, 30 }
func (*BasicCancelOK) id() (uint16, uint16)     { return classBasic, 31 }
func (*BasicPublish) id() (uint16, uint16)      { return classBasic, 40 }
func (*BasicReturn) id() (uint16, uint16)       { return classBasic, 50 }
func (*BasicDeliver) id() (uint16, uint16)      { return classBasic, 60 }
func (*BasicGet) id() (uint16, uint16)          { return classBasic, 70 }
func (*BasicGetOK) id() (uint16, uint16)        { return classBasic, 71 }
func (*BasicGetEmpty) id() (uint16, uint16)     { return classBasic, 72 }
func (*BasicAck) id() (uint16, uint16)          { return classBasic, 80 }
func (*BasicReject) id() (uint16, uint16)       { return classBasic, 90 }
func (*BasicRecoverAsync) id() (uint16, uint16) { return classBasic, 100 }
func (*BasicRecover) id() (uint16, uint16)      { return classBasic, 110 }
func (*BasicRecoverOK) id() (uint16, uint16)    { return classBasic, 111 }
func (*BasicNack) id() (uint16, uint16)         { return classBasic, 120 }

func (m *BasicQos) fields(c coder) {
	c.u32(&m.PrefetchSize)
	c.u16(&m.PrefetchCount)
	c.bits(&m.Global)
}
func (m *BasicConsume) fields(c coder) {
	c.u16(&m.Ticket)
	c.short(&m.Queue)
	c.short(&m.ConsumerTag)
	c.bits(&m.NoLocal, &m.NoAck, &m.Exclusive, &m.NoWait)
	c.table(&m.Arguments)
}
func (m *BasicConsumeOK) fields(c coder) { c.short(&m.ConsumerTag) }
func (m *BasicCancel) fields(c coder) {
	c.short(&m.ConsumerTag)
	c.bits(&m.NoWait)
}
func (m *BasicCancelOK) fields(c coder) { c.short(&m.ConsumerTag) }
func (m *BasicPublish) fields(c coder) {
	c.u16(&m.Ticket)
	c.short(&m.Exchange)
	c.short(&m.Key)
	c.bits(&m.Mandatory, &m.Immediate)
}
func (m *BasicReturn) fields(c coder) {
	c.u16((*uint16)(&m.Code))
	c.short(&m.Text)
	c.short(&m.Exchange)
	c.short(&m.Key)
}
func (m *BasicDeliver) fields(c coder) {
	c.short(&m.ConsumerTag)
	c.u64(&m.DeliveryTag)
	c.bits(&m.Redelivered)
	c.short(&m.Exchange)
	c.short(&m.Key)
}
func (m *BasicGet) fields(c coder) {
	c.u16(&m.Ticket)
	c.short(&m.Queue)
	c.bits(&m.NoAck)
}
func (m *BasicGetOK) fields(c coder) {
	c.u64(&m.DeliveryTag)
	c.bits(&m.Redelivered)
	c.short(&m.Exchange)
	c.short(&m.Key)
	c.u32(&m.Messages)
}
func (m *BasicGetEmpty) fields(c coder) { c.short(&m.Reserved) }
func (m *BasicAck) fields(c coder) {
	c.u64(&m.DeliveryTag)
	c.bits(&m.Multiple)
}
func (m *BasicReject) fields(c coder) {
	c.u64(&m.DeliveryTag)
	c.bits(&m.Requeue)
}
func (m *BasicRecoverAsync) fields(c coder) { c.bits(&m.Requeue) }
func (m *BasicRecover) fields(c coder)      { c.bits(&m.Requeue) }
func (m *BasicNack) fields(c coder) {
	c.u64(&m.DeliveryTag)
	c.bits(&m.Multiple, &m.Requeue)
}

// Methods of the confirm extension.
type (
	ConfirmSelect   struct{ NoWait bool }
	ConfirmSelectOK struct{ bare }
)

func (*ConfirmSelect) id() (uint16, uint16)   { return classConfirm, 10 }
func (*ConfirmSelectOK) id() (uint16, uint16) { return classConfirm, 11 }

func (m *ConfirmSelect) fields(c coder) { c.bits(&m.NoWait) }

// known makes the methods that a client or a server may send; all others are not implemented.
var known = map[uint32]func() Method{}

func init() {
	for _, make := range []func() Method{
		func() Method { return &ConnectionStart{} }, func() Method { return &ConnectionStartOK{} }, func() Method { return &ConnectionTune{} },
		func() Method { return &ConnectionTuneOK{} }, func() Method { return &ConnectionOpen{} }, func() Method { return &ConnectionOpenOK{} },
		func() Method { return &ConnectionClose{} }, func() Method { return &ConnectionCloseOK{} }, func() Method { return &ConnectionBlocked{} },
		func() Method { return &ConnectionUnblocked{} }, func() Method { return &ConnectionUpdateSecret{} }, func() Method { return &ConnectionUpdateSecretOK{} },
		func() Method { return &ChannelOpen{} }, func() Method { return &ChannelOpenOK{} },
		func() Method { return &ChannelFlow{} }, func() Method { return &ChannelFlowOK{} }, func() Method { return &ChannelClose{} },
		func() Method { return &ChannelCloseOK{} }, func() Method { return &ExchangeDeclare{} }, func() Method { return &ExchangeDeclareOK{} },
		func() Method { return &ExchangeDelete{} }, func() Method { return &QueueDeclare{} }, func() Method { return &QueueDeclareOK{} },
		func() Method { return &QueueBind{} }, func() Method { return &QueueBindOK{} }, func() Method { return &QueuePurge{} },
		func() Method { return &QueuePurgeOK{} }, func() Method { return &QueueDelete{} }, func() Method { return &QueueDeleteOK{} },
		func() Method { return &QueueUnbind{} }, func() Method { return &QueueUnbindOK{} }, func() Method { return &BasicQos{} },
		func() Method { return &BasicQosOK{} }, func() Method { return &BasicConsume{} }, func() Method { return &BasicConsumeOK{} },
		func() Method { return &BasicCancel{} }, func() Method { return &BasicCancelOK{} }, func() Method { return &BasicPublish{} },
		func() Method { return &BasicReturn{} }, func() Method { return &BasicDeliver{} }, func() Method { return &BasicGet{} },
		func() Method { return &BasicGetOK{} }, func() Method { return &BasicGetEmpty{} }, func() Method { return &BasicAck{} },
		func() Method { return &BasicReject{} }, func() Method { return &BasicRecoverAsync{} }, func() Method { return &BasicRecover{} },
		func() Method { return &BasicRecoverOK{} }, func() Method { return &BasicNack{} }, func() Method { return &ConfirmSelect{} },
		func() Method { return &ConfirmSelectOK{} }} {
		class, method := make().id()
		known[uint32(class)<<16|uint32(method)] = make
	}
}
