package amqp

import (
	"encoding/binary"
	"fmt"
)

// Frame types and the layout of frames (section 4.2.3).
const (
	frameMethod    = 1
	frameHeader    = 2
	frameBody      = 3
	frameHeartbeat = 8
	// frameEnd is the last octet of each frame.
	frameEnd = 0xCE

	// frameHeaderSize is the number of bytes of type, channel and size.
	frameHeaderSize = 7
	// frameOverhead is the number of bytes of type, channel, size and end octet.
	frameOverhead = 8
	// minFrameMax is the smallest frame-max that the specification allows, in bytes. It applies until tune-ok.
	minFrameMax = 4096
)

// ProtocolHeader is the first thing that a client sends (section 4.2.2). The server answers a header of another version
// with it.
const ProtocolHeader = "AMQP\x00\x00\x09\x01"

// Error is a protocol error that closes a channel or the connection. The peer gets the code and the text. Class and
// Method name the method that caused it, and are 0 if there is none.
type Error struct {
	Code          Code
	Channel       uint16
	Text          string
	Class, Method uint16
}

// Error returns the code, the text and the channel, for logs.
func (e *Error) Error() string {
	if e.Code.ClosesConnection() {
		return fmt.Sprintf("%d %s - %s (channel %d)", e.Code, codeNames[e.Code], e.Text, e.Channel)
	}
	return fmt.Sprintf("channel %d: %d %s - %s", e.Channel, e.Code, codeNames[e.Code], e.Text)
}

// replyText returns the reply text of the close.
func (e *Error) replyText() string { return codeNames[e.Code] + " - " + e.Text }

// newError returns an Error with a formatted text.
func newError(code Code, channel uint16, format string, a ...any) *Error {
	return &Error{Code: code, Channel: channel, Text: fmt.Sprintf(format, a...)}
}

// forMethod sets the method that caused the error, and returns the error.
func (e *Error) forMethod(m Method) *Error {
	if m != nil {
		e.Class, e.Method = m.id()
	}
	return e
}

// frame is one received frame. Its payload is part of the input buffer.
type frame struct {
	kind    byte
	channel uint16
	payload []byte
}

// nextFrame decodes the first frame of b and returns its size in bytes. The size is 0 if the frame is incomplete.
func nextFrame(b []byte, frameMax int) (f frame, size int, err *Error) {
	if len(b) < frameHeaderSize {
		return f, 0, nil
	}
	f.kind, f.channel = b[0], binary.BigEndian.Uint16(b[1:])
	n := binary.BigEndian.Uint32(b[3:])
	if uint64(n)+frameOverhead > uint64(frameMax) {
		return f, 0, newError(FrameError, f.channel, "frame of %d bytes above frame-max %d", uint64(n)+frameOverhead, frameMax)
	}
	size = int(n) + frameOverhead
	if len(b) < size {
		return f, 0, nil
	}
	if b[size-1] != frameEnd {
		return f, 0, newError(FrameError, f.channel, "frame of type %d without its end octet", f.kind)
	}
	f.payload = b[7 : size-1]
	return f, size, nil
}

// appendFrameHeader appends the type, channel and payload size of a frame.
func appendFrameHeader(out []byte, kind byte, channel uint16, n int) []byte {
	out = append(out, kind)
	out = binary.BigEndian.AppendUint16(out, channel)
	return binary.BigEndian.AppendUint32(out, uint32(n))
}

// AppendMethod appends a method frame to out (section 2.3.5.1) and returns out.
func AppendMethod(out []byte, channel uint16, m Method) []byte {
	at := len(out)
	out = appendFrameHeader(out, frameMethod, channel, 0)
	class, method := m.id()
	w := writer{out}
	w.u16(&class)
	w.u16(&method)
	m.fields(&w)
	binary.BigEndian.PutUint32(w.buf[at+3:], uint32(len(w.buf)-at-7))
	return append(w.buf, frameEnd)
}

// parseMethod decodes the payload of a method frame.
func parseMethod(f frame) (Method, *Error) {
	if len(f.payload) < 4 {
		return nil, newError(SyntaxError, f.channel, "method frame of %d bytes", len(f.payload))
	}
	id := binary.BigEndian.Uint32(f.payload)
	newMethod := methodsByID[id]
	if newMethod == nil {
		e := newError(NotImplemented, f.channel, "class %d method %d is not supported", id>>16, id&0xffff)
		e.Class, e.Method = uint16(id>>16), uint16(id)
		return nil, e
	}
	m := newMethod()
	r := reader{buf: f.payload[4:]}
	m.fields(&r)
	if err := r.finish(); err != nil {
		return nil, newError(SyntaxError, f.channel, "class %d method %d: %v", id>>16, id&0xffff, err).forMethod(m)
	}
	return m, nil
}

// Properties are the properties of a message (section 1.8). Properties with empty or zero values are not sent, except
// that HasPriority says whether Priority is sent.
type Properties struct {
	ContentType, ContentEncoding string
	Headers                      Table
	DeliveryMode, Priority       uint8
	HasPriority                  bool
	CorrelationID, ReplyTo       string
	Expiration, MessageID        string
	// Timestamp is in seconds since the Unix epoch.
	Timestamp                      uint64
	Type, UserID, AppID, ClusterID string
}

// Property flags, from the highest bit.
const (
	flagContentType = 1 << (15 - iota)
	flagContentEncoding
	flagHeaders
	flagDeliveryMode
	flagPriority
	flagCorrelationID
	flagReplyTo
	flagExpiration
	flagMessageID
	flagTimestamp
	flagType
	flagUserID
	flagAppID
	flagCluster
	// flagUnused is a bit that the basic class does not use.
	flagUnused
	// flagContinuation says that another word of flags follows. The basic class needs none.
	flagContinuation
)

// flags returns the flags of the properties that are set.
func (p *Properties) flags() (f uint16) {
	set := func(flag uint16, on bool) {
		if on {
			f |= flag
		}
	}
	set(flagContentType, p.ContentType != "")
	set(flagContentEncoding, p.ContentEncoding != "")
	set(flagHeaders, len(p.Headers) > 0)
	set(flagDeliveryMode, p.DeliveryMode != 0)
	set(flagPriority, p.HasPriority)
	set(flagCorrelationID, p.CorrelationID != "")
	set(flagReplyTo, p.ReplyTo != "")
	set(flagExpiration, p.Expiration != "")
	set(flagMessageID, p.MessageID != "")
	set(flagTimestamp, p.Timestamp != 0)
	set(flagType, p.Type != "")
	set(flagUserID, p.UserID != "")
	set(flagAppID, p.AppID != "")
	set(flagCluster, p.ClusterID != "")
	return f
}

// fields reads or writes the properties that flags names.
func (p *Properties) fields(c fieldCoder, flags uint16) {
	text := func(flag uint16, s *string) {
		if flags&flag != 0 {
			c.shortString(s)
		}
	}
	text(flagContentType, &p.ContentType)
	text(flagContentEncoding, &p.ContentEncoding)
	if flags&flagHeaders != 0 {
		c.table(&p.Headers)
	}
	if flags&flagDeliveryMode != 0 {
		c.u8(&p.DeliveryMode)
	}
	if flags&flagPriority != 0 {
		c.u8(&p.Priority)
		p.HasPriority = true
	}
	text(flagCorrelationID, &p.CorrelationID)
	text(flagReplyTo, &p.ReplyTo)
	text(flagExpiration, &p.Expiration)
	text(flagMessageID, &p.MessageID)
	if flags&flagTimestamp != 0 {
		c.u64(&p.Timestamp)
	}
	text(flagType, &p.Type)
	text(flagUserID, &p.UserID)
	text(flagAppID, &p.AppID)
	text(flagCluster, &p.ClusterID)
}

// parseContentHeader decodes the payload of a content header frame (section 4.2.6.1). size is that of the body in bytes.
func parseContentHeader(f frame) (class uint16, size uint64, p Properties, e *Error) {
	r := reader{buf: f.payload}
	var weight, flags uint16
	r.u16(&class)
	r.u16(&weight)
	r.u64(&size)
	r.u16(&flags)
	if r.err == nil && flags&(flagContinuation|flagUnused) != 0 {
		return class, size, p, newError(SyntaxError, f.channel, "content header with property flags that basic does not have")
	}
	p.fields(&r, flags)
	if err := r.finish(); err != nil {
		return class, size, p, newError(SyntaxError, f.channel, "content header: %v", err)
	}
	return class, size, p, nil
}

// AppendContent appends a content header frame and the body in frames of at most frameMax bytes.
func AppendContent(out []byte, channel uint16, p *Properties, body []byte, frameMax int) []byte {
	at := len(out)
	out = appendFrameHeader(out, frameHeader, channel, 0)
	class, weight, size, flags := uint16(classBasic), uint16(0), uint64(len(body)), p.flags()
	w := writer{out}
	w.u16(&class)
	w.u16(&weight)
	w.u64(&size)
	w.u16(&flags)
	p.fields(&w, flags)
	binary.BigEndian.PutUint32(w.buf[at+3:], uint32(len(w.buf)-at-7))
	out = append(w.buf, frameEnd)
	for len(body) > 0 {
		n := min(len(body), frameMax-frameOverhead)
		out = appendFrameHeader(out, frameBody, channel, n)
		out = append(append(out, body[:n]...), frameEnd)
		body = body[n:]
	}
	return out
}
