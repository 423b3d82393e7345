package amqp

// Code is a reply code (section 1.2).
type Code uint16

// Reply codes. Codes below 500 close a channel, except for 320 and 402. These two and the others close the connection.
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

// codeNames holds the names that begin the reply texts.
var codeNames = map[Code]string{ContentTooLarge: "CONTENT_TOO_LARGE", NoRoute: "NO_ROUTE", NoConsumers: "NO_CONSUMERS",
	ConnectionForced: "CONNECTION_FORCED", InvalidPath: "INVALID_PATH", AccessRefused: "ACCESS_REFUSED", NotFound: "NOT_FOUND",
	ResourceLocked: "RESOURCE_LOCKED", PreconditionFailed: "PRECONDITION_FAILED", FrameError: "FRAME_ERROR",
	SyntaxError: "SYNTAX_ERROR", CommandInvalid: "COMMAND_INVALID", ChannelError: "CHANNEL_ERROR",
	UnexpectedFrame: "UNEXPECTED_FRAME", ResourceError: "RESOURCE_ERROR", NotAllowed: "NOT_ALLOWED",
	NotImplemented: "NOT_IMPLEMENTED", InternalError: "INTERNAL_ERROR"}

// ClosesConnection reports whether an error with this code closes the connection and not only a channel.
func (c Code) ClosesConnection() bool { return c >= 500 || c == ConnectionForced || c == InvalidPath }

// Method is a method of the protocol with its arguments.
type Method interface {
	// id returns the class and method numbers.
	id() (class, method uint16)
	// fields reads or writes the arguments in wire order.
	fields(fieldCoder)
}

// ID returns the class and method numbers of m.
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

// noArguments is embedded in methods without arguments.
type noArguments struct{}

func (noArguments) fields(fieldCoder) {}

// Methods of the connection class (section 1.4.1).
type (
	// ConnectionStart begins the handshake and names the SASL mechanisms.
	ConnectionStart struct {
		Major, Minor        uint8
		Properties          Table
		Mechanisms, Locales string
	}
	// ConnectionStartOK selects a SASL mechanism and carries its response.
	ConnectionStartOK struct {
		Properties                  Table
		Mechanism, Response, Locale string
	}
	// ConnectionTune proposes limits. Heartbeat is in seconds.
	ConnectionTune struct {
		ChannelMax uint16
		FrameMax   uint32
		Heartbeat  uint16
	}
	// ConnectionTuneOK carries the limits that the client selects.
	ConnectionTuneOK ConnectionTune
	// ConnectionOpen opens a virtual host and ends the handshake.
	ConnectionOpen struct {
		VHost, Reserved string
		Insist          bool
	}
	// ConnectionOpenOK answers ConnectionOpen.
	ConnectionOpenOK struct{ Reserved string }
	// ConnectionClose closes the connection with a reply code.
	ConnectionClose closeArguments
	// ConnectionCloseOK answers ConnectionClose.
	ConnectionCloseOK struct{ noArguments }
	// ConnectionBlocked asks the client to publish nothing for now.
	ConnectionBlocked struct{ Reason string }
	// ConnectionUnblocked ends ConnectionBlocked.
	ConnectionUnblocked struct{ noArguments }
	// ConnectionUpdateSecret replaces the credentials of an open connection.
	ConnectionUpdateSecret struct{ Secret, Reason string }
	// ConnectionUpdateSecretOK answers ConnectionUpdateSecret.
	ConnectionUpdateSecretOK struct{ noArguments }
)

// closeArguments are the arguments of ConnectionClose and ChannelClose.
type closeArguments struct {
	Code Code
	Text string
	// Class and Method name the method that caused the close, 0 for none.
	Class, Method uint16
}

func (m *closeArguments) fields(c fieldCoder) {
	c.u16((*uint16)(&m.Code))
	c.shortString(&m.Text)
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

func (m *ConnectionStart) fields(c fieldCoder) {
	c.u8(&m.Major)
	c.u8(&m.Minor)
	c.table(&m.Properties)
	c.longString(&m.Mechanisms)
	c.longString(&m.Locales)
}
func (m *ConnectionStartOK) fields(c fieldCoder) {
	c.table(&m.Properties)
	c.shortString(&m.Mechanism)
	c.longString(&m.Response)
	c.shortString(&m.Locale)
}
func (m *ConnectionTune) fields(c fieldCoder) {
	c.u16(&m.ChannelMax)
	c.u32(&m.FrameMax)
	c.u16(&m.Heartbeat)
}
func (m *ConnectionTuneOK) fields(c fieldCoder) { (*ConnectionTune)(m).fields(c) }
func (m *ConnectionOpen) fields(c fieldCoder) {
	c.shortString(&m.VHost)
	c.shortString(&m.Reserved)
	c.bits(&m.Insist)
}
func (m *ConnectionOpenOK) fields(c fieldCoder)  { c.shortString(&m.Reserved) }
func (m *ConnectionClose) fields(c fieldCoder)   { (*closeArguments)(m).fields(c) }
func (m *ConnectionBlocked) fields(c fieldCoder) { c.shortString(&m.Reason) }
func (m *ConnectionUpdateSecret) fields(c fieldCoder) {
	c.longString(&m.Secret)
	c.shortString(&m.Reason)
}

// Methods of the channel class (section 1.5).
type (
	// ChannelOpen opens a channel.
	ChannelOpen struct{ Reserved string }
	// ChannelOpenOK answers ChannelOpen.
	ChannelOpenOK struct{ Reserved string }
	// ChannelFlow pauses or resumes the content that the peer sends on the channel.
	ChannelFlow struct{ Active bool }
	// ChannelFlowOK answers ChannelFlow.
	ChannelFlowOK struct{ Active bool }
	// ChannelClose closes a channel with a reply code.
	ChannelClose closeArguments
	// ChannelCloseOK answers ChannelClose.
	ChannelCloseOK struct{ noArguments }
)

func (*ChannelOpen) id() (uint16, uint16)    { return classChannel, 10 }
func (*ChannelOpenOK) id() (uint16, uint16)  { return classChannel, 11 }
func (*ChannelFlow) id() (uint16, uint16)    { return classChannel, 20 }
func (*ChannelFlowOK) id() (uint16, uint16)  { return classChannel, 21 }
func (*ChannelClose) id() (uint16, uint16)   { return classChannel, 40 }
func (*ChannelCloseOK) id() (uint16, uint16) { return classChannel, 41 }

func (m *ChannelOpen) fields(c fieldCoder)   { c.shortString(&m.Reserved) }
func (m *ChannelOpenOK) fields(c fieldCoder) { c.longString(&m.Reserved) }
func (m *ChannelFlow) fields(c fieldCoder)   { c.bits(&m.Active) }
func (m *ChannelFlowOK) fields(c fieldCoder) { c.bits(&m.Active) }
func (m *ChannelClose) fields(c fieldCoder)  { (*closeArguments)(m).fields(c) }

// Methods of the exchange class (section 1.6).
type (
	// ExchangeDeclare declares an exchange, or checks for one if Passive.
	ExchangeDeclare struct {
		Ticket                                         uint16
		Exchange, Type                                 string
		Passive, Durable, AutoDelete, Internal, NoWait bool
		Arguments                                      Table
	}
	// ExchangeDeclareOK answers ExchangeDeclare.
	ExchangeDeclareOK struct{ noArguments }
	// ExchangeDelete deletes an exchange.
	ExchangeDelete struct {
		Ticket           uint16
		Exchange         string
		IfUnused, NoWait bool
	}
)

func (*ExchangeDeclare) id() (uint16, uint16)   { return classExchange, 10 }
func (*ExchangeDeclareOK) id() (uint16, uint16) { return classExchange, 11 }
func (*ExchangeDelete) id() (uint16, uint16)    { return classExchange, 20 }

func (m *ExchangeDeclare) fields(c fieldCoder) {
	c.u16(&m.Ticket)
	c.shortString(&m.Exchange)
	c.shortString(&m.Type)
	c.bits(&m.Passive, &m.Durable, &m.AutoDelete, &m.Internal, &m.NoWait)
	c.table(&m.Arguments)
}
func (m *ExchangeDelete) fields(c fieldCoder) {
	c.u16(&m.Ticket)
	c.shortString(&m.Exchange)
	c.bits(&m.IfUnused, &m.NoWait)
}

// Methods of the queue class (section 1.7).
type (
	// QueueDeclare declares a queue, or checks for one if Passive.
	QueueDeclare struct {
		Ticket                                          uint16
		Queue                                           string
		Passive, Durable, Exclusive, AutoDelete, NoWait bool
		Arguments                                       Table
	}
	// QueueDeclareOK answers QueueDeclare with the name of the queue and its counts.
	QueueDeclareOK struct {
		Queue               string
		Messages, Consumers uint32
	}
	// QueueBind binds a queue to an exchange.
	QueueBind struct {
		Ticket               uint16
		Queue, Exchange, Key string
		NoWait               bool
		Arguments            Table
	}
	// QueueBindOK answers QueueBind.
	QueueBindOK struct{ noArguments }
	// QueuePurge drops the messages that are ready in a queue.
	QueuePurge struct {
		Ticket uint16
		Queue  string
		NoWait bool
	}
	// QueuePurgeOK answers QueuePurge with the number of dropped messages.
	QueuePurgeOK struct{ Messages uint32 }
	// QueueDelete deletes a queue.
	QueueDelete struct {
		Ticket                    uint16
		Queue                     string
		IfUnused, IfEmpty, NoWait bool
	}
	// QueueDeleteOK answers QueueDelete with the number of dropped messages.
	QueueDeleteOK struct{ Messages uint32 }
	// QueueUnbind removes the binding of a queue to an exchange.
	QueueUnbind struct {
		Ticket               uint16
		Queue, Exchange, Key string
		Arguments            Table
	}
	// QueueUnbindOK answers QueueUnbind.
	QueueUnbindOK struct{ noArguments }
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

func (m *QueueDeclare) fields(c fieldCoder) {
	c.u16(&m.Ticket)
	c.shortString(&m.Queue)
	c.bits(&m.Passive, &m.Durable, &m.Exclusive, &m.AutoDelete, &m.NoWait)
	c.table(&m.Arguments)
}
func (m *QueueDeclareOK) fields(c fieldCoder) {
	c.shortString(&m.Queue)
	c.u32(&m.Messages)
	c.u32(&m.Consumers)
}
func (m *QueueBind) fields(c fieldCoder) {
	c.u16(&m.Ticket)
	c.shortString(&m.Queue)
	c.shortString(&m.Exchange)
	c.shortString(&m.Key)
	c.bits(&m.NoWait)
	c.table(&m.Arguments)
}
func (m *QueuePurge) fields(c fieldCoder) {
	c.u16(&m.Ticket)
	c.shortString(&m.Queue)
	c.bits(&m.NoWait)
}
func (m *QueuePurgeOK) fields(c fieldCoder) { c.u32(&m.Messages) }
func (m *QueueDelete) fields(c fieldCoder) {
	c.u16(&m.Ticket)
	c.shortString(&m.Queue)
	c.bits(&m.IfUnused, &m.IfEmpty, &m.NoWait)
}
func (m *QueueDeleteOK) fields(c fieldCoder) { c.u32(&m.Messages) }
func (m *QueueUnbind) fields(c fieldCoder) {
	c.u16(&m.Ticket)
	c.shortString(&m.Queue)
	c.shortString(&m.Exchange)
	c.shortString(&m.Key)
	c.table(&m.Arguments)
}

// Methods of the basic class (section 1.8), and basic.nack of the confirm extension.
type (
	// BasicQos sets the prefetch limits. PrefetchSize is in bytes, PrefetchCount in messages, 0 is no limit.
	BasicQos struct {
		PrefetchSize  uint32
		PrefetchCount uint16
		Global        bool
	}
	// BasicQosOK answers BasicQos.
	BasicQosOK struct{ noArguments }
	// BasicConsume starts a consumer.
	BasicConsume struct {
		Ticket                            uint16
		Queue, ConsumerTag                string
		NoLocal, NoAck, Exclusive, NoWait bool
		Arguments                         Table
	}
	// BasicConsumeOK answers BasicConsume with the consumer tag.
	BasicConsumeOK struct{ ConsumerTag string }
	// BasicCancel ends a consumer. The server sends it when the queue has been removed.
	BasicCancel struct {
		ConsumerTag string
		NoWait      bool
	}
	// BasicCancelOK answers BasicCancel.
	BasicCancelOK struct{ ConsumerTag string }
	// BasicPublish publishes the message whose content follows.
	BasicPublish struct {
		Ticket               uint16
		Exchange, Key        string
		Mandatory, Immediate bool
	}
	// BasicReturn returns a message that was not accepted. Its content follows.
	BasicReturn struct {
		Code                Code
		Text, Exchange, Key string
	}
	// BasicDeliver delivers a message to a consumer. Its content follows.
	BasicDeliver struct {
		ConsumerTag   string
		DeliveryTag   uint64
		Redelivered   bool
		Exchange, Key string
	}
	// BasicGet fetches one message.
	BasicGet struct {
		Ticket uint16
		Queue  string
		NoAck  bool
	}
	// BasicGetOK answers BasicGet with a message. Messages is the number left in the queue.
	BasicGetOK struct {
		DeliveryTag   uint64
		Redelivered   bool
		Exchange, Key string
		Messages      uint32
	}
	// BasicGetEmpty answers BasicGet when no message is ready.
	BasicGetEmpty struct{ Reserved string }
	// BasicAck acknowledges a delivery or confirms a publish.
	BasicAck struct {
		DeliveryTag uint64
		Multiple    bool
	}
	// BasicReject rejects one delivery.
	BasicReject struct {
		DeliveryTag uint64
		Requeue     bool
	}
	// BasicRecoverAsync asks for redelivery of all unacknowledged messages, without an answer.
	BasicRecoverAsync struct{ Requeue bool }
	// BasicRecover asks for redelivery of all unacknowledged messages.
	BasicRecover struct{ Requeue bool }
	// BasicRecoverOK answers BasicRecover.
	BasicRecoverOK struct{ noArguments }
	// BasicNack rejects deliveries, or tells a publisher that a message was not accepted.
	BasicNack struct {
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

func (m *BasicQos) fields(c fieldCoder) {
	c.u32(&m.PrefetchSize)
	c.u16(&m.PrefetchCount)
	c.bits(&m.Global)
}
func (m *BasicConsume) fields(c fieldCoder) {
	c.u16(&m.Ticket)
	c.shortString(&m.Queue)
	c.shortString(&m.ConsumerTag)
	c.bits(&m.NoLocal, &m.NoAck, &m.Exclusive, &m.NoWait)
	c.table(&m.Arguments)
}
func (m *BasicConsumeOK) fields(c fieldCoder) { c.shortString(&m.ConsumerTag) }
func (m *BasicCancel) fields(c fieldCoder) {
	c.shortString(&m.ConsumerTag)
	c.bits(&m.NoWait)
}
func (m *BasicCancelOK) fields(c fieldCoder) { c.shortString(&m.ConsumerTag) }
func (m *BasicPublish) fields(c fieldCoder) {
	c.u16(&m.Ticket)
	c.shortString(&m.Exchange)
	c.shortString(&m.Key)
	c.bits(&m.Mandatory, &m.Immediate)
}
func (m *BasicReturn) fields(c fieldCoder) {
	c.u16((*uint16)(&m.Code))
	c.shortString(&m.Text)
	c.shortString(&m.Exchange)
	c.shortString(&m.Key)
}
func (m *BasicDeliver) fields(c fieldCoder) {
	c.shortString(&m.ConsumerTag)
	c.u64(&m.DeliveryTag)
	c.bits(&m.Redelivered)
	c.shortString(&m.Exchange)
	c.shortString(&m.Key)
}
func (m *BasicGet) fields(c fieldCoder) {
	c.u16(&m.Ticket)
	c.shortString(&m.Queue)
	c.bits(&m.NoAck)
}
func (m *BasicGetOK) fields(c fieldCoder) {
	c.u64(&m.DeliveryTag)
	c.bits(&m.Redelivered)
	c.shortString(&m.Exchange)
	c.shortString(&m.Key)
	c.u32(&m.Messages)
}
func (m *BasicGetEmpty) fields(c fieldCoder) { c.shortString(&m.Reserved) }
func (m *BasicAck) fields(c fieldCoder) {
	c.u64(&m.DeliveryTag)
	c.bits(&m.Multiple)
}
func (m *BasicReject) fields(c fieldCoder) {
	c.u64(&m.DeliveryTag)
	c.bits(&m.Requeue)
}
func (m *BasicRecoverAsync) fields(c fieldCoder) { c.bits(&m.Requeue) }
func (m *BasicRecover) fields(c fieldCoder)      { c.bits(&m.Requeue) }
func (m *BasicNack) fields(c fieldCoder) {
	c.u64(&m.DeliveryTag)
	c.bits(&m.Multiple, &m.Requeue)
}

// Methods of the confirm extension.
type (
	// ConfirmSelect turns on publisher confirms for the channel.
	ConfirmSelect struct{ NoWait bool }
	// ConfirmSelectOK answers ConfirmSelect.
	ConfirmSelectOK struct{ noArguments }
)

func (*ConfirmSelect) id() (uint16, uint16)   { return classConfirm, 10 }
func (*ConfirmSelectOK) id() (uint16, uint16) { return classConfirm, 11 }

func (m *ConfirmSelect) fields(c fieldCoder) { c.bits(&m.NoWait) }

// methodsByID holds constructors of the supported methods, by class number shifted left by 16 bits and method number.
// Other methods are answered with NotImplemented.
var methodsByID = map[uint32]func() Method{}

func init() {
	for _, newMethod := range []func() Method{
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
		class, method := newMethod().id()
		methodsByID[uint32(class)<<16|uint32(method)] = newMethod
	}
}
