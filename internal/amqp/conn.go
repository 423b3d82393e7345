package amqp

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	"golang.org/x/time/rate"
)

// Config holds the limits and timeouts of one connection.
type Config struct {
	// Product and Version name the server to clients in connection.start.
	Product, Version string
	// ChannelMax is the highest channel number, and so the number of channels on the connection.
	ChannelMax uint16
	// FrameMax is the largest frame in bytes, including frameOverhead.
	FrameMax int
	// Heartbeat is the interval proposed to the client, in whole seconds, 0 for none. The interval in the client's
	// tune-ok applies.
	Heartbeat time.Duration
	// Handshake is the time within which a new connection must reach connection.open. The wait for the answer to our
	// close is Handshake or two seconds, whichever is shorter.
	Handshake time.Duration
	// BodyStallTimeout is how long an incomplete message may receive no further frame.
	BodyStallTimeout time.Duration
	// AbuseBurst is the number of frames without work for a message that the client may send at once. Two frames for
	// each channel of ChannelMax are added to it, so that a client can open all its channels.
	AbuseBurst float64
	// AbuseRate is the number of such frames that the client may send per second.
	AbuseRate float64
}

// EventKind says what an Event reports.
type EventKind uint8

// Kinds of event. The brackets list the fields of Event that a kind uses.
const (
	// Login reports the client's credentials. Answer it with AcceptLogin or RefuseLogin. [User Password]
	Login EventKind = iota + 1
	// ChannelOpened reports channel.open. Answer it with AcceptChannel or CloseWithError. [Channel]
	ChannelOpened
	// ChannelClosed reports that either side has closed the channel, or that the connection has ended. [Channel]
	ChannelClosed
	// ChannelMethod reports any other method on an open channel. [Channel Method]
	ChannelMethod
	// ContentHeader reports a publish with its properties. Its body follows. [Channel Publish Properties Size HeadSize Complete]
	ContentHeader
	// ContentBody reports a part of the body. Data is valid until the handler returns. [Channel Data Complete]
	ContentBody
)

// Event is something that the client did.
type Event struct {
	Kind           EventKind
	Channel        uint16
	User, Password string
	Method         Method
	Publish        *BasicPublish
	Properties     *Properties
	// Size is the length of the whole body in bytes.
	Size uint64
	// HeadSize is the length of the properties in bytes, as the client sent them.
	HeadSize int
	Data     []byte
	// Complete is set when no more of the body follows.
	Complete bool
}

// phase is the state of a connection. The order matters: phases are compared with < and >=.
type phase uint8

const (
	awaitHeader phase = iota
	awaitStartOK
	awaitLogin
	awaitTuneOK
	awaitOpen
	running
	// awaitCloseOK follows our connection.close.
	awaitCloseOK
	closed
)

// channel is the protocol state of one channel.
type channel struct {
	// closing is set when we have sent channel.close. All but the answer to it is discarded then.
	closing bool
	// opening is set until channel.open is answered.
	opening bool

	// publish is a basic.publish whose content is incomplete, or nil.
	publish *BasicPublish
	// headerReceived is set once the content header of publish has come.
	headerReceived bool
	// bodyRemaining is the number of body bytes still to come.
	bodyRemaining uint64
	// lastProgress is when the last frame of the publish came.
	lastProgress time.Duration
	// discardBody suppresses the ContentBody events of the publish.
	discardBody bool
}

// Conn is the server side of one connection. It is not safe for concurrent use. All times passed to it are readings of
// one monotonic clock.
type Conn struct {
	cfg   Config
	now   time.Duration
	start time.Duration
	phase phase
	// in holds a frame that is not complete, but for the payload of a body frame, which is passed on as it comes.
	in  []byte
	out []byte
	// body is the body frame whose payload has come in part.
	body     partialFrame
	handle   func(*Event)
	channels map[uint16]*channel
	// incomplete is the number of channels whose publish is set.
	incomplete int

	frameMax     int
	channelMax   int
	heartbeat    time.Duration
	lastReceived time.Duration
	lastSent     time.Duration
	// closeDeadline is when the connection ends without an answer to our close.
	closeDeadline time.Duration

	// These are the capabilities that the client declared in start-ok.
	supportsBlocked, supportsCancelNotify, supportsAuthClose bool
	// blocked is set while a connection.blocked that we sent is in force.
	blocked bool
	// ignoreInput is set after a framing error. No frame can be recognised after it.
	ignoreInput bool
	// abuseLimiter is the budget for frames that do no work for a message.
	abuseLimiter *rate.Limiter
}

// NewConn returns a connection that waits for the protocol header. The connection calls handle for one event at a time.
// handle may call any method of the Conn except Receive and Check.
func NewConn(cfg Config, now time.Duration, handle func(*Event)) *Conn {
	return &Conn{cfg: cfg, now: now, start: now, lastReceived: now, lastSent: now, handle: handle, channels: map[uint16]*channel{}, frameMax: minFrameMax,
		abuseLimiter: rate.NewLimiter(rate.Limit(cfg.AbuseRate), int(cfg.AbuseBurst)+2*int(cfg.ChannelMax))}
}

// Receive processes bytes from the client. It returns an error only if the connection has ended at once. Errors that
// the client is told of with a close are not returned.
func (c *Conn) Receive(now time.Duration, b []byte) error {
	c.now, c.lastReceived = now, now
	if c.ignoreInput {
		return nil
	}
	input := b
	if len(c.in) > 0 {
		c.in = append(c.in, b...)
		input = c.in
	}
	rest, err := c.receiveAll(input)
	if c.phase == closed || c.ignoreInput {
		rest = nil
	}
	c.keepIncomplete(rest)
	return err
}

// receiveAll processes what is complete of the input and returns the rest.
func (c *Conn) receiveAll(b []byte) (rest []byte, err error) {
	for err == nil && c.phase != closed {
		var n int
		switch {
		case c.phase == awaitHeader:
			n, err = c.receiveProtocolHeader(b)
		case c.body.open:
			n, err = c.receiveBodyPart(b)
		default:
			n, err = c.receiveFrame(b)
		}
		if n == 0 {
			break
		}
		b = b[n:]
	}
	return b, err
}

// keepIncomplete keeps the bytes of a frame that is not complete. Between frames a connection keeps no buffer: there may be very many
// connections.
func (c *Conn) keepIncomplete(rest []byte) {
	switch {
	case len(rest) == 0:
		c.in = nil
	case len(rest) == len(c.in): // Nothing was used of the buffer, which grows with the frame.
	default:
		c.in = bytes.Clone(rest)
	}
}

// Buffered returns the size of the buffer for a frame that is not complete, in bytes.
func (c *Conn) Buffered() int { return cap(c.in) }

// receiveFrame processes the first frame of b and returns its size, or 0 if the frame is incomplete.
func (c *Conn) receiveFrame(b []byte) (int, error) {
	f, n, e := nextFrame(b, c.frameMax)
	if e != nil {
		// The start of the next frame is unknown. A close is sent and all further input is ignored.
		if err := c.reportError(e); err != nil {
			return 0, err
		}
		c.ignoreInput = true
		return 0, nil
	}
	if n == 0 {
		return c.beginBodyFrame(b)
	}
	return n, c.handleFrame(f)
}

// handleFrame processes one frame by its type. An error ends the connection.
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
				// The channel is closed by us, so a malformed or unknown method on it needs no answer.
				return nil
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
			return c.reportError(newContentOutsideChannel(f.channel))
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

// reportError tells the client of an error with a close. Before the login is accepted it returns the error instead,
// which ends the connection at once.
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

// chargeFrame takes a frame that does no work for a message from the budget. It returns an error if none is left.
func (c *Conn) chargeFrame(channel uint16, m Method) *Error {
	if c.abuseLimiter.AllowN(time.Unix(0, int64(c.now)), 1) {
		return nil
	}
	return newError(ResourceError, channel, "too many frames that carry no message").forMethod(m)
}

// handleConnectionMethod processes a method on channel 0.
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

// handleMethod processes a method on a channel other than 0.
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
	case *BasicAck, *BasicNack, *BasicReject:
		// These settle messages, so they are not charged.
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

// openChannel processes channel.open. ch is the channel that is open under this number, or nil.
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

// AcceptChannel answers a ChannelOpened event with channel.open-ok.
func (c *Conn) AcceptChannel(id uint16) {
	if ch := c.channels[id]; ch != nil && ch.opening {
		ch.opening = false
		c.Send(id, &ChannelOpenOK{})
	}
}

// handleClosingChannel processes a method on a channel for which we have sent channel.close (section 1.5.2.5). The
// client may have sent its own channel.close meanwhile, which is answered. Our close stays open until its close-ok.
func (c *Conn) handleClosingChannel(id uint16, m Method) {
	switch m.(type) {
	case *ChannelCloseOK:
		delete(c.channels, id)
	case *ChannelClose:
		c.Send(id, &ChannelCloseOK{})
	}
}

// removeChannel removes a channel that the client has closed, and reports it.
func (c *Conn) removeChannel(id uint16) {
	if ch := c.channels[id]; ch != nil && ch.publish != nil {
		c.incomplete--
	}
	delete(c.channels, id)
	c.handle(&Event{Kind: ChannelClosed, Channel: id})
}

// Send queues a method for output. On a channel that is not open it sends nothing, except for channel.close-ok. Channel
// 0 is the connection.
func (c *Conn) Send(id uint16, m Method) {
	if id != 0 {
		if _, ok := m.(*ChannelCloseOK); !ok && !c.IsChannelOpen(id) {
			return
		}
	}
	c.out = AppendMethod(c.out, id, m)
	c.lastSent = c.now
}

// SendContent queues a method with a message for output. On a channel that is not open it sends nothing.
func (c *Conn) SendContent(id uint16, m Method, p *Properties, body []byte) {
	if !c.IsChannelOpen(id) {
		return
	}
	c.out = AppendMethod(c.out, id, m)
	c.out = AppendContent(c.out, id, p, body, c.frameMax)
	c.lastSent = c.now
}

// IsChannelOpen reports whether methods can be sent on a channel: neither it nor the connection is being closed.
func (c *Conn) IsChannelOpen(id uint16) bool {
	ch := c.channels[id]
	return ch != nil && !ch.closing && c.phase == running
}

// Running reports whether the handshake is complete and no connection.close has been sent or received.
func (c *Conn) Running() bool { return c.phase == running }

// CloseWithError closes a channel or the connection with an error. The reply code says which of the two; an error
// without a channel closes the connection.
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

// Abort closes the connection with an error and reads nothing more. It frees the buffer for input at once, while the peer may not have heard
// of the close.
func (c *Conn) Abort(e *Error) {
	c.CloseWithError(e)
	c.ignoreInput, c.in = true, nil
}

// Close closes a running connection with reply code 320 and the text, and waits for close-ok until closeDeadline.
// Before connection.open it ends the connection at once.
func (c *Conn) Close(now time.Duration, text string) {
	c.now = now
	switch {
	case c.phase == running:
		c.CloseWithError(newError(ConnectionForced, 0, "%s", text))
	case c.phase < running:
		c.terminate(closed)
	}
}

// terminate enters a phase in which no channel is open, and reports each open channel as closed.
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

// terminateNow ends the connection without waiting for an answer.
func (c *Conn) terminateNow() { c.terminate(closed) }

// handleAfterClose processes a method that comes after our connection.close. All but close and close-ok are ignored.
func (c *Conn) handleAfterClose(m Method) {
	switch m.(type) {
	case *ConnectionCloseOK:
		c.phase = closed
	case *ConnectionClose:
		c.out = AppendMethod(c.out, 0, &ConnectionCloseOK{})
		c.phase = closed
	}
}

// SetBlocked sends connection.blocked with the reason, or connection.unblocked, if the state changes. It returns false
// for a client without the connection.blocked capability, and sends nothing then.
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

// SupportsCancelNotify reports whether the client accepts a basic.cancel from the server.
func (c *Conn) SupportsCancelNotify() bool { return c.supportsCancelNotify }

// Check enforces the time limits: for the handshake, heartbeats, incomplete messages and the answer to our close. It
// also sends heartbeats. An error says why it has ended the connection.
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
		// Two missed heartbeats end the connection (section 4.2.7).
		if now-c.lastReceived > 2*c.heartbeat {
			c.terminate(closed)
			return fmt.Errorf("nothing heard for %v: two heartbeats missed", now-c.lastReceived)
		}
		if now-c.lastSent >= c.heartbeat/2 {
			c.out = append(appendFrameHeader(c.out, frameHeartbeat, 0, 0), frameEnd)
			c.lastSent = now
		}
	}
	if c.midFrame() && c.phase == running && now-c.lastReceived > c.cfg.BodyStallTimeout {
		c.CloseWithError(newError(ResourceError, 0, "a frame has stood still for %v", c.cfg.BodyStallTimeout))
		return nil
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

// NextCheck returns when Check is to be called next. Without a time limit that is in an hour.
func (c *Conn) NextCheck(now time.Duration) time.Duration {
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
	if c.midFrame() && c.phase == running {
		due = min(due, c.lastReceived+c.cfg.BodyStallTimeout+time.Millisecond)
	}
	if c.incomplete > 0 {
		// The time of the last progress is kept per channel, so a stalled message is found by polling.
		due = min(due, now+c.cfg.BodyStallTimeout/4)
	}
	return due
}

// midFrame reports whether a frame has begun and is not complete.
func (c *Conn) midFrame() bool { return len(c.in) > 0 || c.body.open }

// Output returns the bytes to be written to the client and clears them.
func (c *Conn) Output() []byte {
	out := c.out
	c.out = nil
	return out
}

// Done reports whether the connection has ended.
func (c *Conn) Done() bool { return c.phase == closed }

// Closing reports whether we have sent connection.close or the connection has ended.
func (c *Conn) Closing() bool { return c.phase >= awaitCloseOK }
