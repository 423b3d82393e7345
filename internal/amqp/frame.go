package amqp

import (
	"encoding/binary"
	"fmt"
)

// Frame types (section 4.2.3).
const (
	frameMethod    = 1
	frameHeader    = 2
	frameBody      = 3
	frameHeartbeat = 8
	frameEnd       = 0xCE

	frameOverhead = 8 // type, channel, size, end
	minFrame      = 4096
)

// ProtocolHeader opens a connection (section 4.2.2), and answers one that asks for another version.
const ProtocolHeader = "AMQP\x00\x00\x09\x01"

// Error is what ends a channel or a connection, as the peer is told.
type Error struct {
	Code          Code
	Channel       uint16
	Text          string
	Class, Method uint16
}

func (e *Error) Error() string {
	if e.Code.ClosesConnection() {
		return fmt.Sprintf("%d %s - %s (channel %d)", e.Code, codeNames[e.Code], e.Text, e.Channel)
	}
	return fmt.Sprintf("channel %d: %d %s - %s", e.Channel, e.Code, codeNames[e.Code], e.Text)
}

// reply is the text that goes with the code.
func (e *Error) reply() string { return codeNames[e.Code] + " - " + e.Text }

func fail(code Code, channel uint16, format string, a ...any) *Error {
	return &Error{Code: code, Channel: channel, Text: fmt.Sprintf(format, a...)}
}

// about names the method that an error is about.
func (e *Error) about(m Method) *Error {
	if m != nil {
		e.Class, e.Method = m.id()
	}
	return e
}

// frame is one frame as it came.
type frame struct {
	kind    byte
	channel uint16
	payload []byte
}

// nextFrame takes one whole frame off b. size 0: not all of it is here yet.
func nextFrame(b []byte, most int) (f frame, size int, err *Error) {
	if len(b) < 7 {
		return f, 0, nil
	}
	f.kind, f.channel = b[0], binary.BigEndian.Uint16(b[1:])
	n := binary.BigEndian.Uint32(b[3:])
	if uint64(n)+frameOverhead > uint64(most) {
		return f, 0, fail(FrameError, f.channel, "frame of %d bytes above frame-max %d", uint64(n)+frameOverhead, most)
	}
	size = int(n) + frameOverhead
	if len(b) < size {
		return f, 0, nil
	}
	if b[size-1] != frameEnd {
		return f, 0, fail(FrameError, f.channel, "frame of type %d without its end octet", f.kind)
	}
	f.payload = b[7 : size-1]
	return f, size, nil
}

func appendFrameHead(out []byte, kind byte, channel uint16, n int) []byte {
	out = append(out, kind)
	out = binary.BigEndian.AppendUint16(out, channel)
	return binary.BigEndian.AppendUint32(out, uint32(n))
}

// AppendMethod appends a method as a frame (section 2.3.5.1).
func AppendMethod(out []byte, channel uint16, m Method) []byte {
	at := len(out)
	out = appendFrameHead(out, frameMethod, channel, 0)
	class, method := m.id()
	w := writer{out}
	w.u16(&class)
	w.u16(&method)
	m.fields(&w)
	binary.BigEndian.PutUint32(w.b[at+3:], uint32(len(w.b)-at-7))
	return append(w.b, frameEnd)
}

// parseMethod reads a method frame's payload.
func parseMethod(f frame) (Method, *Error) {
	if len(f.payload) < 4 {
		return nil, fail(SyntaxError, f.channel, "method frame of %d bytes", len(f.payload))
	}
	id := binary.BigEndian.Uint32(f.payload)
	make := known[id]
	if make == nil {
		e := fail(NotImplemented, f.channel, "class %d method %d is not supported", id>>16, id&0xffff)
		e.Class, e.Method = uint16(id>>16), uint16(id)
		return nil, e
	}
	m := make()
	r := reader{b: f.payload[4:]}
	m.fields(&r)
	if err := r.done(); err != nil {
		return nil, fail(SyntaxError, f.channel, "class %d method %d: %v", id>>16, id&0xffff, err).about(m)
	}
	return m, nil
}

// Properties of a message (section 1.8). Empty values are left out, but for what has its own flag here.
type Properties struct {
	ContentType, ContentEncoding   string
	Headers                        Table
	DeliveryMode, Priority         uint8
	HasPriority                    bool
	CorrelationID, ReplyTo         string
	Expiration, MessageID          string
	Timestamp                      uint64
	Type, UserID, AppID, ClusterID string
}

// Flags of the properties, from the first bit.
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
	flagNone
	flagMore
)

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

// fields goes over the properties that flags name.
func (p *Properties) fields(c coder, flags uint16) {
	text := func(flag uint16, s *string) {
		if flags&flag != 0 {
			c.short(s)
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

// parseHeader reads a content header frame's payload (section 4.2.6.1).
func parseHeader(f frame) (class uint16, size uint64, p Properties, e *Error) {
	r := reader{b: f.payload}
	var weight, flags uint16
	r.u16(&class)
	r.u16(&weight)
	r.u64(&size)
	r.u16(&flags)
	if r.err == nil && flags&(flagMore|flagNone) != 0 {
		return class, size, p, fail(SyntaxError, f.channel, "content header with property flags that basic does not have")
	}
	p.fields(&r, flags)
	if err := r.done(); err != nil {
		return class, size, p, fail(SyntaxError, f.channel, "content header: %v", err)
	}
	return class, size, p, nil
}

// appendContent appends a content header and its body in frames of at most frameMax bytes.
func appendContent(out []byte, channel uint16, p *Properties, body []byte, frameMax int) []byte {
	at := len(out)
	out = appendFrameHead(out, frameHeader, channel, 0)
	class, weight, size, flags := uint16(classBasic), uint16(0), uint64(len(body)), p.flags()
	w := writer{out}
	w.u16(&class)
	w.u16(&weight)
	w.u64(&size)
	w.u16(&flags)
	p.fields(&w, flags)
	binary.BigEndian.PutUint32(w.b[at+3:], uint32(len(w.b)-at-7))
	out = append(w.b, frameEnd)
	for len(body) > 0 {
		n := min(len(body), frameMax-frameOverhead)
		out = appendFrameHead(out, frameBody, channel, n)
		out = append(append(out, body[:n]...), frameEnd)
		body = body[n:]
	}
	return out
}
