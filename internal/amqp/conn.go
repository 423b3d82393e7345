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
	ending // we sent connection.close
	closed
)

// channel is what the protocol knows of one.
type channel struct {
	closing bool // we sent channel.close: all but its answer is discarded
	opening bool // not answered yet

	publish *BasicPublish // a publish whose content is not whole
	header  bool          // its content header is here
	left    uint64        // bytes of its body to come
	moved   time.Duration // when it last got longer
	skip    bool          // discard the rest of it
}

// Conn is the server's side of one connection.
type Conn struct {
	cfg      Config
	now      time.Duration
	start    time.Duration
	phase    phase
	in       []byte
	out      []byte
	handle   func(*Event)
	channels map[uint16]*channel
	partial  int // channels with a publish that is not whole

	frameMax   int
	channelMax int
	heartbeat  time.Duration
	heard      time.Duration
	sent       time.Duration
	closeBy    time.Duration // the answer to our close is due then

	canBlock, canCancel, authClose bool
	blocked                        bool
	deaf                           bool
	abuse                          *rate.Limiter
}

// NewConn starts a connection. handle is called from Receive, for one event at a time; it may call any method but
// Receive and Check.
func NewConn(cfg Config, now time.Duration, handle func(*Event)) *Conn {
	return &Conn{cfg: cfg, now: now, start: now, heard: now, sent: now, handle: handle, channels: map[uint16]*channel{}, frameMax: minFrame,
		abuse: rate.NewLimiter(rate.Limit(cfg.AbuseRate), int(cfg.AbuseBurst)+2*int(cfg.ChannelMax))}
}

// Receive takes bytes of the client. An error ends the connection at once; errors that the client is told of don't.
func (c *Conn) Receive(now time.Duration, b []byte) error {
	c.now, c.heard = now, now
	if c.deaf {
		return nil
	}
	if len(c.in) > 0 {
		b = append(c.in, b...)
	}
	var err error
	for err == nil && c.phase != closed {
		var n int
		if c.phase == awaitHeader {
			n, err = c.header(b)
		} else {
			n, err = c.frame(b)
		}
		if n == 0 {
			break
		}
		b = b[n:]
	}
	if c.phase == closed || c.deaf {
		b = nil
	}
	c.in = append(c.in[:0:0], b...)
	return err
}

// header takes the protocol header (section 4.2.2). Another one is answered with ours.
func (c *Conn) header(b []byte) (int, error) {
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

func (c *Conn) frame(b []byte) (int, error) {
	f, n, e := nextFrame(b, c.frameMax)
	if e != nil { // frames can't be told apart any more: the close is sent, what still comes is not looked at
		if err := c.failed(e); err != nil {
			return 0, err
		}
		c.deaf = true
		return 0, nil
	}
	if n == 0 {
		return 0, nil
	}
	return n, c.dispatch(f)
}

func (c *Conn) dispatch(f frame) error {
	switch f.kind {
	case frameMethod:
		m, e := parseMethod(f)
		if c.phase == ending {
			c.afterClose(m)
			return nil
		}
		if e != nil {
			if ch := c.channels[f.channel]; ch != nil && ch.closing {
				return nil // what an unknown method was about is gone
			}
			return c.failed(e)
		}
		if f.channel == 0 {
			return c.connection(m)
		}
		return c.failed(c.method(f.channel, m))
	case frameHeader, frameBody:
		if c.phase == ending {
			return nil
		}
		if c.phase != running || f.channel == 0 {
			return c.failed(fail(UnexpectedFrame, f.channel, "content frame outside of an open channel"))
		}
		return c.failed(c.content(f))
	case frameHeartbeat:
		if f.channel != 0 || len(f.payload) != 0 {
			return c.failed(fail(FrameError, f.channel, "heartbeat on a channel, or with a payload"))
		}
		return c.failed(c.idleWork(0, nil))
	}
	return c.failed(fail(FrameError, f.channel, "frame of unknown type %d", f.kind))
}

// failed tells the client of an error. Before the handshake is over there is nothing to keep: the connection ends.
func (c *Conn) failed(e *Error) error {
	if e == nil {
		return nil
	}
	if c.phase < awaitTuneOK && c.phase != ending {
		c.phase = closed
		return e
	}
	c.CloseWithError(e)
	return nil
}

// idleWork counts a frame that does no work for a message against the budget.
func (c *Conn) idleWork(channel uint16, m Method) *Error {
	if c.abuse.AllowN(time.Unix(0, int64(c.now)), 1) {
		return nil
	}
	return fail(ResourceError, channel, "too many frames that carry no message").about(m)
}

// connection takes a method on channel 0.
func (c *Conn) connection(m Method) error {
	if e := c.idleWork(0, m); e != nil {
		return c.failed(e)
	}
	switch m := m.(type) {
	case *ConnectionClose:
		c.Send(0, &ConnectionCloseOK{})
		c.shut()
		return nil
	case *ConnectionStartOK:
		if c.phase == awaitStartOK {
			return c.startOK(m)
		}
	case *ConnectionTuneOK:
		if c.phase == awaitTuneOK {
			return c.failed(c.tuneOK(m))
		}
	case *ConnectionOpen:
		if c.phase == awaitOpen {
			return c.failed(c.open(m))
		}
	case *ConnectionUpdateSecret:
		return c.failed(fail(NotImplemented, 0, "connection.update-secret is not supported").about(m))
	}
	return c.failed(fail(CommandInvalid, 0, "method is not to be sent now, or not on channel 0").about(m))
}

func (c *Conn) startOK(m *ConnectionStartOK) error {
	if m.Mechanism != "PLAIN" {
		c.phase = closed
		return fmt.Errorf("SASL mechanism %.40q is not offered", m.Mechanism)
	}
	caps, _ := m.Properties.Get("capabilities").(Table)
	c.canBlock, _ = caps.Get("connection.blocked").(bool)
	c.canCancel, _ = caps.Get("consumer_cancel_notify").(bool)
	c.authClose, _ = caps.Get("authentication_failure_close").(bool)
	part := strings.Split(m.Response, "\x00") // RFC 4616: authorization identity, authentication identity, password
	if len(part) != 3 || part[1] == "" || part[0] != "" && part[0] != part[1] {
		c.phase = awaitLogin
		return c.RefuseLogin("the PLAIN response is not an identity and a password (RFC 4616)")
	}
	c.phase = awaitLogin
	c.handle(&Event{Kind: Login, User: part[1], Password: part[2]})
	return nil
}

// AcceptLogin lets a client in after Login.
func (c *Conn) AcceptLogin() {
	c.phase = awaitTuneOK
	c.Send(0, &ConnectionTune{c.cfg.ChannelMax, uint32(c.cfg.FrameMax), uint16(c.cfg.Heartbeat / time.Second)})
}

// RefuseLogin turns a client away after Login; clients that can be told are told.
func (c *Conn) RefuseLogin(text string) error {
	if !c.authClose {
		c.phase = closed
		return fmt.Errorf("login refused: %s", text)
	}
	c.CloseWithError(fail(AccessRefused, 0, "%s", text))
	return nil
}

// tuneOK settles the limits (section 1.4.2.6): a client may lower them.
func (c *Conn) tuneOK(m *ConnectionTuneOK) *Error {
	frame, most := int64(m.FrameMax), int64(m.ChannelMax)
	if most == 0 {
		most = int64(c.cfg.ChannelMax) // "no limit" of the client's own: ours holds
	}
	if frame == 0 {
		frame = int64(c.cfg.FrameMax)
	}
	switch {
	case frame > int64(c.cfg.FrameMax) || frame < minFrame:
		return fail(NotAllowed, 0, "frame-max %d is not within %d and %d", m.FrameMax, minFrame, c.cfg.FrameMax).about(m)
	case most > int64(c.cfg.ChannelMax):
		return fail(NotAllowed, 0, "channel-max %d is above %d", m.ChannelMax, c.cfg.ChannelMax).about(m)
	}
	c.frameMax, c.channelMax = int(frame), int(most)
	c.heartbeat = time.Duration(m.Heartbeat) * time.Second
	c.phase = awaitOpen
	return nil
}

func (c *Conn) open(m *ConnectionOpen) *Error {
	if m.VHost != "/" && m.VHost != "" {
		return fail(NotAllowed, 0, "there is no virtual host %.60q, only /", m.VHost).about(m)
	}
	c.phase = running
	c.Send(0, &ConnectionOpenOK{})
	return nil
}

// method takes a method on a channel.
func (c *Conn) method(id uint16, m Method) *Error {
	if c.phase != running {
		return fail(CommandInvalid, id, "method on a channel before the connection is open").about(m)
	}
	ch := c.channels[id]
	if ch != nil && ch.closing {
		c.channelEnding(id, m)
		return nil
	}
	if ch != nil && ch.publish != nil {
		return fail(UnexpectedFrame, id, "method in the middle of a message").about(m)
	}
	if p, ok := m.(*BasicPublish); ok && ch != nil {
		ch.publish, ch.header, ch.moved = p, false, c.now
		c.partial++
		return nil
	}
	switch m.(type) {
	case *BasicAck, *BasicNack, *BasicReject: // they are about messages
	default:
		if e := c.idleWork(id, m); e != nil {
			return e
		}
	}
	switch m := m.(type) {
	case *ChannelOpen:
		return c.openChannel(id, ch, m)
	case *ChannelClose:
		if ch == nil {
			return fail(ChannelError, id, "channel is not open").about(m)
		}
		c.Send(id, &ChannelCloseOK{})
		c.drop(id)
		return nil
	}
	if ch == nil {
		return fail(ChannelError, id, "channel is not open").about(m)
	}
	if class, _ := m.id(); class == classConnection {
		return fail(CommandInvalid, id, "connection method on a channel").about(m)
	}
	c.handle(&Event{Kind: ChannelMethod, Channel: id, Method: m})
	return nil
}

func (c *Conn) openChannel(id uint16, ch *channel, m *ChannelOpen) *Error {
	switch {
	case ch != nil:
		return fail(ChannelError, id, "channel is open already").about(m)
	case int(id) > c.channelMax:
		return fail(NotAllowed, id, "channel above channel-max %d", c.channelMax).about(m)
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

// channelEnding takes what comes on a channel that we have closed (section 1.5.2.5): closes may cross.
func (c *Conn) channelEnding(id uint16, m Method) {
	switch m.(type) {
	case *ChannelCloseOK:
		delete(c.channels, id)
	case *ChannelClose:
		c.Send(id, &ChannelCloseOK{})
	}
}

// drop forgets a channel that is open no more.
func (c *Conn) drop(id uint16) {
	if ch := c.channels[id]; ch != nil && ch.publish != nil {
		c.partial--
	}
	delete(c.channels, id)
	c.handle(&Event{Kind: ChannelClosed, Channel: id})
}

// content takes a content header or a part of a body (section 4.2.6).
func (c *Conn) content(f frame) *Error {
	ch := c.channels[f.channel]
	if ch != nil && ch.closing {
		return nil
	}
	if ch == nil {
		return fail(ChannelError, f.channel, "content on a channel that is not open")
	}
	if ch.publish == nil || ch.header != (f.kind == frameBody) {
		return fail(UnexpectedFrame, f.channel, "content frame of type %d out of its order", f.kind)
	}
	ch.moved = c.now
	if f.kind == frameHeader {
		return c.contentHeader(f, ch)
	}
	n := uint64(len(f.payload))
	if n > ch.left {
		return fail(FrameError, f.channel, "body longer than its header says")
	}
	if n < 64 && n < ch.left { // bodies cut into shreds
		if e := c.idleWork(f.channel, ch.publish); e != nil {
			return e
		}
	}
	ch.left -= n
	e := Event{Kind: ContentBody, Channel: f.channel, Data: f.payload, Complete: ch.left == 0}
	skip := ch.skip
	if e.Complete {
		c.whole(ch)
	}
	if !skip {
		c.handle(&e)
	}
	return nil
}

func (c *Conn) contentHeader(f frame, ch *channel) *Error {
	class, size, p, e := parseHeader(f)
	if e != nil {
		return e
	}
	if class != classBasic {
		return fail(UnexpectedFrame, f.channel, "content header of class %d", class)
	}
	ch.header, ch.left, ch.skip = true, size, false
	ev := Event{Kind: ContentHeader, Channel: f.channel, Publish: ch.publish, Properties: &p, Size: size, Complete: size == 0}
	if ev.Complete {
		c.whole(ch)
	}
	c.handle(&ev)
	return nil
}

func (c *Conn) whole(ch *channel) {
	ch.publish, ch.header = nil, false
	c.partial--
}

// DiscardBody discards the rest of a message whose Content has just come: no Body events follow for it.
func (c *Conn) DiscardBody(id uint16) {
	if ch := c.channels[id]; ch != nil && ch.publish != nil {
		ch.skip = true
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
	c.sent = c.now
}

// SendContent sends a method with a message.
func (c *Conn) SendContent(id uint16, m Method, p *Properties, body []byte) {
	if !c.IsChannelOpen(id) {
		return
	}
	c.out = AppendMethod(c.out, id, m)
	c.out = appendContent(c.out, id, p, body, c.frameMax)
	c.sent = c.now
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
	if c.phase >= ending {
		return
	}
	if !e.Code.ClosesConnection() && e.Channel != 0 {
		ch := c.channels[e.Channel]
		if ch == nil || ch.closing {
			return
		}
		c.out = AppendMethod(c.out, e.Channel, &ChannelClose{e.Code, e.reply(), e.Class, e.Method})
		c.sent = c.now
		if ch.publish != nil {
			c.partial--
		}
		*ch = channel{closing: true}
		c.handle(&Event{Kind: ChannelClosed, Channel: e.Channel})
		return
	}
	c.out = AppendMethod(c.out, 0, &ConnectionClose{e.Code, e.reply(), e.Class, e.Method})
	c.sent = c.now
	c.end(ending)
	c.closeBy = c.now + min(c.cfg.Handshake, 2*time.Second)
}

// Close ends the connection in order.
func (c *Conn) Close(now time.Duration, text string) {
	c.now = now
	switch {
	case c.phase == running:
		c.CloseWithError(fail(ConnectionForced, 0, "%s", text))
	case c.phase < running:
		c.end(closed)
	}
}

// end drops all channels.
func (c *Conn) end(to phase) {
	c.phase = to
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
	c.partial = 0
}

func (c *Conn) shut() { c.end(closed) }

// ending takes what comes after our connection.close.
func (c *Conn) afterClose(m Method) {
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
func (c *Conn) SetBlocked(now time.Duration, on bool, reason string) bool {
	c.now = now
	if !c.canBlock || c.phase != running {
		return c.canBlock
	}
	if on && !c.blocked {
		c.Send(0, &ConnectionBlocked{reason})
	} else if !on && c.blocked {
		c.Send(0, &ConnectionUnblocked{})
	}
	c.blocked = on
	return true
}

// SupportsCancelNotify tells whether the client can be told that a consumer is cancelled.
func (c *Conn) SupportsCancelNotify() bool { return c.canCancel }

// Check holds the time limits: handshake, heartbeats, bodies that stand still, answers to our close.
func (c *Conn) Check(now time.Duration) error {
	c.now = now
	switch {
	case c.phase == closed:
		return nil
	case c.phase == ending:
		if now >= c.closeBy {
			c.phase = closed
		}
		return nil
	case c.phase < running && now-c.start > c.cfg.Handshake:
		c.phase = closed
		return fmt.Errorf("no connection.open within %v", c.cfg.Handshake)
	}
	if c.heartbeat > 0 && c.phase == running {
		if now-c.heard > 2*c.heartbeat { // section 4.2.7
			c.end(closed)
			return fmt.Errorf("nothing heard for %v: two heartbeats missed", now-c.heard)
		}
		if now-c.sent >= c.heartbeat/2 {
			c.out = append(appendFrameHead(c.out, frameHeartbeat, 0, 0), frameEnd)
			c.sent = now
		}
	}
	if c.partial > 0 {
		for id, ch := range c.channels {
			if ch.publish != nil && now-ch.moved > c.cfg.BodyStallTimeout {
				c.CloseWithError(fail(ResourceError, id, "a message has stood still for %v", c.cfg.BodyStallTimeout).about(ch.publish))
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
	case c.phase == ending:
		return c.closeBy
	case c.phase < running:
		return c.start + c.cfg.Handshake + time.Millisecond
	}
	due := now + time.Hour
	if c.heartbeat > 0 {
		due = min(c.sent+c.heartbeat/2, c.heard+2*c.heartbeat+time.Millisecond)
	}
	if c.partial > 0 {
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
func (c *Conn) Closing() bool { return c.phase >= ending }
