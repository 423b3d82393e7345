package amqp

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"time"

	"golang.org/x/time/rate"
)

// Config bounds one connection.
type Config struct {
	Product, Version string        // told to clients
	ChannelMax       uint16        // channels on the connection
	FrameMax         int           // bytes of a frame, with its overhead
	Heartbeat        time.Duration // asked for, in whole seconds; a client may ask for less. 0 for none
	Handshake        time.Duration // until connection.open must be here, and for the answer to a close
	BodyStallTimeout time.Duration // a body may stand still so long
	AbuseBurst       float64       // frames that do no work at once, beside two for each channel ...
	AbuseRate        float64       // ... and a second
}

// EventKind tells what an Event is.
type EventKind uint8

// Kinds of event; the fields each one uses are in brackets.
const (
	Login         EventKind = iota + 1 // answer with Accept or Refuse [User Secret]
	ChannelOpened                      // answer with AcceptChannel or Fail [Channel]
	ChannelClosed                      // closed by either side, or with the connection [Channel]
	ChannelMethod                      // any other method on an open channel [Channel Method]
	ContentHeader                      // a publish with its properties; its body follows [Channel Publish Properties Size End]
	ContentBody                        // a part of it; Data holds until the handler returns [Channel Data End]
)

// Event is something the client did.
type Event struct {
	Kind           EventKind
	Channel        uint16
	User, Password string
	Method         Method
	Publish        *BasicPublish
	Properties     *Properties
	Size           uint64
	Data           []byte
	Complete       bool // the message is whole
}

// phase of a connection.
type phase uint8

const (
	awaitHeader phase = iota
	awaitStartOK
	awaitLogin
	awaitTuneOK
	awaitOpen
	running
	awaitCloseOK // we sent connection.close
	closed
)

// channel is what the protocol knows of one.
type channel struct {
	closing bool // we sent channel.close: all but its answer is discarded
	opening bool // not answered yet

	publish        *BasicPublish // a publish whose content is not whole
	headerReceived bool          // its content header is here
	bodyRemaining  uint64        // bytes of its body to come
	lastProgress   time.Duration // when it last got longer
	discardBody    bool          // discard the rest of it
}

// Conn is the server's side of one connection.
type Conn struct {
	cfg        Config
	now        time.Duration
	start      time.Duration
	phase      phase
	in         []byte
	out        []byte
	handle     func(*Event)
	channels   map[uint16]*channel
	incomplete int // channels with a publish that is not whole

	frameMax      int
	channelMax    int
	heartbeat     time.Duration
	lastReceived  time.Duration
	lastSent      time.Duration
	closeDeadline time.Duration // the answer to our close is due then

	supportsBlocked, supportsCancelNotify, supportsAuthClose bool
	blocked                                                  bool
	ignoreInput                                              bool
	abuseLimiter                                             *rate.Limiter
}

// NewConn starts a connection. handle is called from Receive, for one event at a time; it may call any method but
// Receive and Check.
func NewConn(cfg Config, now time.Duration, handle func(*Event)) *Conn {
	return &Conn{cfg: cfg, now: now, start: now, lastReceived: now, lastSent: now, handle: handle, channels: map[uint16]*channel{}, frameMax: minFrameMax,
		abuseLimiter: rate.NewLimiter(rate.Limit(cfg.AbuseRate), int(cfg.AbuseBurst)+2*int(cfg.ChannelMax))}
}

// Receive takes bytes of the client. An error ends the connection at once; errors that the client is told of don't.
func (c *Conn) Receive(now time.Duration, b []byte) error {
	c.now, c.lastReceived = now, now
	if c.ignoreInput {
		return nil
	}
	if len(c.in) > 0 {
		b = append(c.in, b...)
	}
	var err error
	for err == nil && c.phase != closed {
		var n int
		if c.phase == awaitHeader {
			n, err = c.receiveProtocolHeader(b)
		} else {
			n, err = c.receiveFrame(b)
		}
		if n == 0 {
			break
		}
		b = b[n:]
	}
	if c.phase == closed || c.ignoreInput {
		b = nil
	}
	c.in = append(c.in[:0:0], b...)
	return err
}

// header takes the protocol header (section 4.2.2). Another one is answered with ours.
func (c *Conn) receiveProtocolHeader(b []byte) (int, error) {
	n := min(len(b), len(ProtocolHeader))
	if !bytes.Equal(b[:n], []byte(ProtocolHeader)[:n]) {
		c.out = append(c.out, ProtocolHeader...)
		c.phase = closed
		return 0, fmt.Errorf("protocol header %q is not that of AMQP 0-9-1", b[:n])
	}
	if n < len(ProtocolHeader) {
		return 0, nil
	}
	c.phase = awaitStartOK
	c.Send(0, &ConnectionStart{Major: 0, Minor: 9, Mechanisms: "PLAIN", Locales: "en_US", Properties: Table{
		{"product", c.cfg.Product}, {"version", c.cfg.Version}, {"capabilities", Table{{"publisher_confirms", true},
			{"basic.nack", true}, {"consumer_cancel_notify", true}, {"connection.blocked", true}, {"authentication_failure_close", true},
			{"per_consumer_qos", true}}}}})
	return n, nil
}

func (c *Conn) receiveFrame(b []byte) (int, error) {
	f, n, e := nextFrame(b, c.frameMax)
	if e != nil { // frames can't be told apart any more: the close is sent, what still comes is not looked at
		if err := c.reportError(e); err != nil {
			return 0, err
		}
		c.ignoreInput = true
		return 0, nil
	}
	if n == 0 {
		return 0, nil
	}
	return n, c.handleFrame(f)
}

func (c *Conn) handleFrame(f frame) error {
	switch f.kind {
	case frameMethod:
		m, e := parseMethod(f)
		if c.phase == awaitCloseOK {
			c.handleAfterClose(m)
			return nil
		}
		if e != nil {
			if ch := c.channels[f.channel]; ch != nil && ch.closing {
				return nil // what an unknown method was about is gone
			}
			return c.reportError(e)
		}
		if f.channel == 0 {
			return c.handleConnectionMethod(m)
		}
		return c.reportError(c.handleMethod(f.channel, m))
	case frameHeader, frameBody:
		if c.phase == awaitCloseOK {
			return nil
		}
		if c.phase != running || f.channel == 0 {
			return c.reportError(newError(UnexpectedFrame, f.channel, "content frame outside of an open channel"))
		}
		return c.reportError(c.handleContentFrame(f))
	case frameHeartbeat:
		if f.channel != 0 || len(f.payload) != 0 {
			return c.reportError(newError(FrameError, f.channel, "heartbeat on a channel, or with a payload"))
		}
		return c.reportError(c.chargeFrame(0, nil))
	}
	return c.reportError(newError(FrameError, f.channel, "frame of unknown type %d", f.kind))
}

// reportError tells the client of an error. Before the handshake is over there is nothing to keep: the connection ends.
func (c *Conn) reportError(e *Error) error {
	if e == nil {
		return nil
	}
	if c.phase < awaitTuneOK && c.phase != awaitCloseOK {
		c.phase = closed
		return e
	}
	c.CloseWithError(e)
	return nil
}

// chargeFrame counts a frame that does no work for a message against the budget.
func (c *Conn) chargeFrame(channel uint16, m Method) *Error {
	if c.abuseLimiter.AllowN(time.Unix(0, int64(c.now)), 1) {
		return nil
	}
	return newError(ResourceError, channel, "too many frames that carry no message").forMethod(m)
}

// handleConnectionMethod takes a method on channel 0.
func (c *Conn) handleConnectionMethod(m Method) error {
	if e := c.chargeFrame(0, m); e != nil {
		return c.reportError(e)
	}
	switch m := m.(type) {
	case *ConnectionClose:
		c.Send(0, &ConnectionCloseOK{})
		c.terminateNow()
		return nil
	case *ConnectionStartOK:
		if c.phase == awaitStartOK {
			return c.handleStartOK(m)
		}
	case *ConnectionTuneOK:
		if c.phase == awaitTuneOK {
			return c.reportError(c.handleTuneOK(m))
		}
	case *ConnectionOpen:
		if c.phase == awaitOpen {
			return c.reportError(c.handleOpen(m))
		}
	case *ConnectionUpdateSecret:
		return c.reportError(newError(NotImplemented, 0, "connection.update-secret is not supported").forMethod(m))
	}
	return c.reportError(newError(CommandInvalid, 0, "method is not to be sent now, or not on channel 0").forMethod(m))
}

func (c *Conn) handleStartOK(m *ConnectionStartOK) error {
	if m.Mechanism != "PLAIN" {
		c.phase = closed
		return fmt.Errorf("SASL mechanism %.40q is not offered", m.Mechanism)
	}
	capabilities, _ := m.Properties.Get("capabilities").(Table)
	c.supportsBlocked, _ = capabilities.Get("connection.blocked").(bool)
	c.supportsCancelNotify, _ = capabilities.Get("consumer_cancel_notify").(bool)
	c.supportsAuthClose, _ = capabilities.Get("authentication_failure_close").(bool)
	parts := strings.Split(m.Response, "\x00") // RFC 4616: authorization identity, authentication identity, password
	if len(parts) != 3 || parts[1] == "" || parts[0] != "" && parts[0] != parts[1] {
		c.phase = awaitLogin
		return c.RefuseLogin("the PLAIN response is not an identity and a password (RFC 4616)")
	}
	c.phase = awaitLogin
	c.handle(&Event{Kind: Login, User: parts[1], Password: parts[2]})
	return nil
}

// AcceptLogin lets a client in after Login.
func (c *Conn) AcceptLogin() {
	c.phase = awaitTuneOK
	c.Send(0, &ConnectionTune{c.cfg.ChannelMax, uint32(c.cfg.FrameMax), uint16(c.cfg.Heartbeat / time.Second)})
}

// RefuseLogin turns a client away after Login; clients that can be told are told.
func (c *Conn) RefuseLogin(text string) error {
	if !c.supportsAuthClose {
		c.phase = closed
		return fmt.Errorf("login refused: %s", text)
	}
	c.CloseWithError(newError(AccessRefused, 0, "%s", text))
	return nil
}

// handleTuneOK settles the limits (section 1.4.2.6): a client may lower them.
func (c *Conn) handleTuneOK(m *ConnectionTuneOK) *Error {
	frameMax, channelMax := int64(m.FrameMax), int64(m.ChannelMax)
	if channelMax == 0 {
		channelMax = int64(c.cfg.ChannelMax) // "no limit" of the client's own: ours holds
	}
	if frameMax == 0 {
		frameMax = int64(c.cfg.FrameMax)
	}
	switch {
	case frameMax > int64(c.cfg.FrameMax) || frameMax < minFrameMax:
		return newError(NotAllowed, 0, "frame-max %d is not within %d and %d", m.FrameMax, minFrameMax, c.cfg.FrameMax).forMethod(m)
	case channelMax > int64(c.cfg.ChannelMax):
		return newError(NotAllowed, 0, "channel-max %d is above %d", m.ChannelMax, c.cfg.ChannelMax).forMethod(m)
	}
	c.frameMax, c.channelMax = int(frameMax), int(channelMax)
	c.heartbeat = time.Duration(m.Heartbeat) * time.Second
	c.phase = awaitOpen
	return nil
}

func (c *Conn) handleOpen(m *ConnectionOpen) *Error {
	if m.VHost != "/" && m.VHost != "" {
		return newError(NotAllowed, 0, "there is no virtual host %.60q, only /", m.VHost).forMethod(m)
	}
	c.phase = running
	c.Send(0, &ConnectionOpenOK{})
	return nil
}

// handleMethod takes a method on a channel.
func (c *Conn) handleMethod(id uint16, m Method) *Error {
	if c.phase != running {
		return newError(CommandInvalid, id, "method on a channel before the connection is open").forMethod(m)
	}
	ch := c.channels[id]
	if ch != nil && ch.closing {
		c.handleClosingChannel(id, m)
		return nil
	}
	if ch != nil && ch.publish != nil {
		return newError(UnexpectedFrame, id, "method in the middle of a message").forMethod(m)
	}
	if p, ok := m.(*BasicPublish); ok && ch != nil {
		ch.publish, ch.headerReceived, ch.lastProgress = p, false, c.now
		c.incomplete++
		return nil
	}
	switch m.(type) {
	case *BasicAck, *BasicNack, *BasicReject: // they are about messages
	default:
		if e := c.chargeFrame(id, m); e != nil {
			return e
		}
	}
	switch m := m.(type) {
	case *ChannelOpen:
		return c.openChannel(id, ch, m)
	case *ChannelClose:
		if ch == nil {
			return newError(ChannelError, id, "channel is not open").forMethod(m)
		}
		c.Send(id, &ChannelCloseOK{})
		c.removeChannel(id)
		return nil
	}
	if ch == nil {
		return newError(ChannelError, id, "channel is not open").forMethod(m)
	}
	if class, _ := m.id(); class == classConnection {
		return newError(CommandInvalid, id, "connection method on a channel").forMethod(m)
	}
	c.handle(&Event{Kind: ChannelMethod, Channel: id, Method: m})
	return nil
}

func (c *Conn) openChannel(id uint16, ch *channel, m *ChannelOpen) *Error {
	switch {
	case ch != nil:
		return newError(ChannelError, id, "channel is open already").forMethod(m)
	case int(id) > c.channelMax:
		return newError(NotAllowed, id, "channel above channel-max %d", c.channelMax).forMethod(m)
	}
	c.channels[id] = &channel{opening: true}
	c.handle(&Event{Kind: ChannelOpened, Channel: id})
	return nil
}

// AcceptChannel lets a channel be, after ChannelOpened.
func (c *Conn) AcceptChannel(id uint16) {
	if ch := c.channels[id]; ch != nil && ch.opening {
		ch.opening = false
		c.Send(id, &ChannelOpenOK{})
	}
}

// handleClosingChannel takes what comes on a channel that we have closed (section 1.5.2.5): closes may cross.
func (c *Conn) handleClosingChannel(id uint16, m Method) {
	switch m.(type) {
	case *ChannelCloseOK:
		delete(c.channels, id)
	case *ChannelClose:
		c.Send(id, &ChannelCloseOK{})
	}
}

// removeChannel forgets a channel that is open no more.
func (c *Conn) removeChannel(id uint16) {
	if ch := c.channels[id]; ch != nil && ch.publish != nil {
		c.incomplete--
	}
	delete(c.channels, id)
	c.handle(&Event{Kind: ChannelClosed, Channel: id})
}

// handleContentFrame takes a content header or a part of a body (section 4.2.6).
func (c *Conn) handleContentFrame(f frame) *Error {
	ch := c.channels[f.channel]
	if ch != nil && ch.closing {
		return nil
	}
	if ch == nil {
		return newError(ChannelError, f.channel, "content on a channel that is not open")
	}
	if ch.publish == nil || ch.headerReceived != (f.kind == frameBody) {
		return newError(UnexpectedFrame, f.channel, "content frame of type %d out of its order", f.kind)
	}
	ch.lastProgress = c.now
	if f.kind == frameHeader {
		return c.handleContentHeader(f, ch)
	}
	size := uint64(len(f.payload))
	if size > ch.bodyRemaining {
		return newError(FrameError, f.channel, "body longer than its header says")
	}
	if size < 64 && size < ch.bodyRemaining { // bodies cut into shreds
		if e := c.chargeFrame(f.channel, ch.publish); e != nil {
			return e
		}
	}
	ch.bodyRemaining -= size
	event := Event{Kind: ContentBody, Channel: f.channel, Data: f.payload, Complete: ch.bodyRemaining == 0}
	discard := ch.discardBody
	if event.Complete {
		c.finishContent(ch)
	}
	if !discard {
		c.handle(&event)
	}
	return nil
}

func (c *Conn) handleContentHeader(f frame, ch *channel) *Error {
	class, size, properties, e := parseContentHeader(f)
	if e != nil {
		return e
	}
	if class != classBasic {
		return newError(UnexpectedFrame, f.channel, "content header of class %d", class)
	}
	ch.headerReceived, ch.bodyRemaining, ch.discardBody = true, size, false
	event := Event{Kind: ContentHeader, Channel: f.channel, Publish: ch.publish, Properties: &properties, Size: size, Complete: size == 0}
	if event.Complete {
		c.finishContent(ch)
	}
	c.handle(&event)
	return nil
}

func (c *Conn) finishContent(ch *channel) {
	ch.publish, ch.headerReceived = nil, false
	c.incomplete--
}

// DiscardBody discards the rest of a message whose Content has just come: no Body events follow for it.
func (c *Conn) DiscardBody(id uint16) {
	if ch := c.channels[id]; ch != nil && ch.publish != nil {
		ch.discardBody = true
	}
}

// Send sends a method, in the state it is valid in: on channels that are open, or on the connection.
func (c *Conn) Send(id uint16, m Method) {
	if id != 0 {
		if _, ok := m.(*ChannelCloseOK); !ok && !c.IsChannelOpen(id) {
			return
		}
	}
	c.out = AppendMethod(c.out, id, m)
	c.lastSent = c.now
}

// SendContent sends a method with a message.
func (c *Conn) SendContent(id uint16, m Method, p *Properties, body []byte) {
	if !c.IsChannelOpen(id) {
		return
	}
	c.out = AppendMethod(c.out, id, m)
	c.out = appendContent(c.out, id, p, body, c.frameMax)
	c.lastSent = c.now
}

// IsChannelOpen tells whether a channel is open.
func (c *Conn) IsChannelOpen(id uint16) bool {
	ch := c.channels[id]
	return ch != nil && !ch.closing && c.phase == running
}

// Running tells whether the handshake is over and no close has been sent or taken.
func (c *Conn) Running() bool { return c.phase == running }

// CloseWithError closes a channel or the connection with an error.
func (c *Conn) CloseWithError(e *Error) {
	if c.phase >= awaitCloseOK {
		return
	}
	if !e.Code.ClosesConnection() && e.Channel != 0 {
		ch := c.channels[e.Channel]
		if ch == nil || ch.closing {
			return
		}
		c.out = AppendMethod(c.out, e.Channel, &ChannelClose{e.Code, e.replyText(), e.Class, e.Method})
		c.lastSent = c.now
		if ch.publish != nil {
			c.incomplete--
		}
		*ch = channel{closing: true}
		c.handle(&Event{Kind: ChannelClosed, Channel: e.Channel})
		return
	}
	c.out = AppendMethod(c.out, 0, &ConnectionClose{e.Code, e.replyText(), e.Class, e.Method})
	c.lastSent = c.now
	c.terminate(awaitCloseOK)
	c.closeDeadline = c.now + min(c.cfg.Handshake, 2*time.Second)
}

// Close ends the connection in order.
func (c *Conn) Close(now time.Duration, text string) {
	c.now = now
	switch {
	case c.phase == running:
		c.CloseWithError(newError(ConnectionForced, 0, "%s", text))
	case c.phase < running:
		c.terminate(closed)
	}
}

// terminate drops all channels.
func (c *Conn) terminate(next phase) {
	c.phase = next
	ids := make([]uint16, 0, len(c.channels))
	for id := range c.channels {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		if !c.channels[id].closing {
			c.handle(&Event{Kind: ChannelClosed, Channel: id})
		}
	}
	clear(c.channels)
	c.incomplete = 0
}

func (c *Conn) terminateNow() { c.terminate(closed) }

// ending takes what comes after our connection.close.
func (c *Conn) handleAfterClose(m Method) {
	switch m.(type) {
	case *ConnectionCloseOK:
		c.phase = closed
	case *ConnectionClose:
		c.out = AppendMethod(c.out, 0, &ConnectionCloseOK{})
		c.phase = closed
	}
}

// SetBlocked asks the client to publish nothing, or lets it again; clients without that capability are not asked. It tells
// whether the client can be asked.
func (c *Conn) SetBlocked(now time.Duration, blocked bool, reason string) bool {
	c.now = now
	if !c.supportsBlocked || c.phase != running {
		return c.supportsBlocked
	}
	if blocked && !c.blocked {
		c.Send(0, &ConnectionBlocked{reason})
	} else if !blocked && c.blocked {
		c.Send(0, &ConnectionUnblocked{})
	}
	c.blocked = blocked
	return true
}

// SupportsCancelNotify tells whether the client can be told that a consumer is cancelled.
func (c *Conn) SupportsCancelNotify() bool { return c.supportsCancelNotify }

// Check holds the time limits: handshake, heartbeats, bodies that stand still, answers to our close.
func (c *Conn) Check(now time.Duration) error {
	c.now = now
	switch {
	case c.phase == closed:
		return nil
	case c.phase == awaitCloseOK:
		if now >= c.closeDeadline {
			c.phase = closed
		}
		return nil
	case c.phase < running && now-c.start > c.cfg.Handshake:
		c.phase = closed
		return fmt.Errorf("no connection.open within %v", c.cfg.Handshake)
	}
	if c.heartbeat > 0 && c.phase == running {
		if now-c.lastReceived > 2*c.heartbeat { // section 4.2.7
			c.terminate(closed)
			return fmt.Errorf("nothing heard for %v: two heartbeats missed", now-c.lastReceived)
		}
		if now-c.lastSent >= c.heartbeat/2 {
			c.out = append(appendFrameHeader(c.out, frameHeartbeat, 0, 0), frameEnd)
			c.lastSent = now
		}
	}
	if c.incomplete > 0 {
		for id, ch := range c.channels {
			if ch.publish != nil && now-ch.lastProgress > c.cfg.BodyStallTimeout {
				c.CloseWithError(newError(ResourceError, id, "a message has stood still for %v", c.cfg.BodyStallTimeout).forMethod(ch.publish))
				return nil
			}
		}
	}
	return nil
}

// Due is when Check has something to look at.
func (c *Conn) Due(now time.Duration) time.Duration {
	switch {
	case c.phase == closed:
		return now
	case c.phase == awaitCloseOK:
		return c.closeDeadline
	case c.phase < running:
		return c.start + c.cfg.Handshake + time.Millisecond
	}
	due := now + time.Hour
	if c.heartbeat > 0 {
		due = min(c.lastSent+c.heartbeat/2, c.lastReceived+2*c.heartbeat+time.Millisecond)
	}
	if c.incomplete > 0 {
		due = min(due, now+c.cfg.BodyStallTimeout/4)
	}
	return due
}

// Output returns what is to be written and forgets it.
func (c *Conn) Output() []byte {
	out := c.out
	c.out = nil
	return out
}

// Done tells that the connection has ended.
func (c *Conn) Done() bool { return c.phase == closed }

// Closing tells that a close is under way.
func (c *Conn) Closing() bool { return c.phase >= awaitCloseOK }
