package amqp

import (
	"encoding/binary"
)

// This file contains the content of publishes: header frames and body frames (section 4.2.6).

// partialFrame is a body frame whose header has been handled.
type partialFrame struct {
	// open is true until the end octet has come.
	open    bool
	channel uint16
	// left is the number of bytes of the payload that have not come.
	left int
}

// beginBodyFrame handles the header of a body frame that is not complete, so that its payload needs no buffer. It returns the number of
// bytes used, which is 0 for other frames. The frame is checked as a whole one is.
func (c *Conn) beginBodyFrame(b []byte) (int, error) {
	if len(b) < frameHeaderSize || b[0] != frameBody || c.phase != running && c.phase != awaitCloseOK {
		return 0, nil
	}
	f := frame{kind: frameBody, channel: binary.BigEndian.Uint16(b[1:])}
	size := int(binary.BigEndian.Uint32(b[3:]))
	c.body = partialFrame{open: true, channel: f.channel, left: size}
	switch {
	case c.phase == awaitCloseOK:
		return frameHeaderSize, nil
	case f.channel == 0:
		return frameHeaderSize, c.reportError(newContentOutsideChannel(f.channel))
	}
	return frameHeaderSize, c.reportError(c.startBodyFrame(f.channel, size))
}

// newContentOutsideChannel returns the error for a content frame on the connection's own channel, or before the connection is open.
func newContentOutsideChannel(id uint16) *Error {
	return newError(UnexpectedFrame, id, "content frame outside of an open channel")
}

// receiveBodyPart handles a part of the payload of a body frame, or its end octet.
func (c *Conn) receiveBodyPart(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	if c.body.left == 0 {
		c.body.open = false
		if b[0] != frameEnd {
			c.ignoreInput = true
			return 0, c.reportError(newError(FrameError, c.body.channel, "frame of type %d without its end octet", frameBody))
		}
		c.handleBodyPart(c.body.channel, nil, true)
		return 1, nil
	}
	part := b[:min(len(b), c.body.left)]
	c.body.left -= len(part)
	c.handleBodyPart(c.body.channel, part, false)
	return len(part), nil
}

// handleContentFrame processes a content header frame or body frame (section 4.2.6).
func (c *Conn) handleContentFrame(f frame) *Error {
	if f.kind == frameBody {
		if e := c.startBodyFrame(f.channel, len(f.payload)); e != nil {
			return e
		}
		c.handleBodyPart(f.channel, f.payload, true)
		return nil
	}
	ch, e := c.incompleteChannel(f.channel, f.kind)
	if e != nil || ch == nil {
		return e
	}
	return c.handleContentHeader(f, ch)
}

// incompleteChannel returns the channel of a content frame, which must be in its order. The channel is nil if it is being closed and the
// frame is to be discarded.
func (c *Conn) incompleteChannel(id uint16, kind byte) (*channel, *Error) {
	ch := c.channels[id]
	if ch != nil && ch.closing {
		return nil, nil
	}
	if ch == nil {
		return nil, newError(ChannelError, id, "content on a channel that is not open")
	}
	if ch.publish == nil || ch.headerReceived != (kind == frameBody) {
		return nil, newError(UnexpectedFrame, id, "content frame of type %d out of its order", kind)
	}
	ch.lastProgress = c.now
	return ch, nil
}

// startBodyFrame checks a body frame of a size before its payload is handled.
func (c *Conn) startBodyFrame(id uint16, length int) *Error {
	ch, e := c.incompleteChannel(id, frameBody)
	if e != nil || ch == nil {
		return e
	}
	size := uint64(length)
	if size > ch.bodyRemaining {
		return newError(FrameError, id, "body longer than its header says")
	}
	if size < 64 && size < ch.bodyRemaining {
		// A body in very small frames costs more than its bytes. Each such frame but the last is charged.
		return c.chargeFrame(id, ch.publish)
	}
	return nil
}

// handleBodyPart handles a part of the payload of a body frame. frameEnds tells that the frame is complete with it. A part for a channel
// that has been closed meanwhile is discarded.
func (c *Conn) handleBodyPart(id uint16, part []byte, frameEnds bool) {
	ch := c.channels[id]
	if ch == nil || ch.closing || ch.publish == nil || !ch.headerReceived {
		return
	}
	ch.lastProgress = c.now
	ch.bodyRemaining -= uint64(len(part))
	event := Event{Kind: ContentBody, Channel: id, Data: part, Complete: frameEnds && ch.bodyRemaining == 0}
	discard := ch.discardBody || len(part) == 0 && !event.Complete
	if event.Complete {
		c.finishContent(ch)
	}
	if !discard {
		c.handle(&event)
	}
}

// handleContentHeader processes a content header frame of ch.
func (c *Conn) handleContentHeader(f frame, ch *channel) *Error {
	class, size, properties, e := parseContentHeader(f)
	if e != nil {
		return e
	}
	if class != classBasic {
		return newError(UnexpectedFrame, f.channel, "content header of class %d", class)
	}
	ch.headerReceived, ch.bodyRemaining, ch.discardBody = true, size, false
	event := Event{Kind: ContentHeader, Channel: f.channel, Publish: ch.publish, Properties: &properties, Size: size, HeadSize: len(f.payload), Complete: size == 0}
	if event.Complete {
		c.finishContent(ch)
	}
	c.handle(&event)
	return nil
}

// finishContent marks the message of ch as complete.
func (c *Conn) finishContent(ch *channel) {
	ch.publish, ch.headerReceived = nil, false
	c.incomplete--
}

// DiscardBody suppresses the remaining ContentBody events of the incomplete message on a channel.
func (c *Conn) DiscardBody(id uint16) {
	if ch := c.channels[id]; ch != nil && ch.publish != nil {
		ch.discardBody = true
	}
}
