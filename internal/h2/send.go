package h2

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"time"
)

// Errors of sending.
var (
	ErrNoStreamAvailable = errors.New("h2: the peer takes no further stream now")
	ErrClosed            = errors.New("h2: the stream is closed")
	ErrTooLarge          = errors.New("h2: header section above the peer's limit")
)

// Request opens a stream with a header section and a body, client only. Nothing of it has been sent where an error is
// returned. The body is kept until the peer's windows let it go and must not be changed before.
func (c *Conn) Request(now time.Duration, fields []Field, body []byte) (uint32, error) {
	c.now = now
	if c.AvailableStreams() == 0 {
		return 0, ErrNoStreamAvailable
	}
	if listSize(fields) > c.peerMaxHeaderList {
		return 0, ErrTooLarge
	}
	s := &stream{id: c.nextID, sendWindow: c.peerInitialWindow, recvWindow: int64(c.cfg.StreamWindow), contentLength: -1, opened: now}
	c.nextID += 2
	c.localOpen++
	c.streams[s.id] = s
	c.writeHeaders(s, fields, len(body) == 0)
	if len(body) > 0 {
		c.queueBody(s, body, true)
	}
	return s.id, nil
}

// Respond sends a whole response, or a 1xx section where that is what fields hold; server only.
func (c *Conn) Respond(now time.Duration, id uint32, fields []Field, body []byte) error {
	c.now = now
	s := c.streams[id]
	if s == nil || s.endSent || c.err != nil {
		return ErrClosed
	}
	if status := Value(fields, ":status"); len(status) == 3 && status[0] == '1' {
		c.writeHeaders(s, fields, false)
		s.endSent = false
		return nil
	}
	c.writeHeaders(s, fields, len(body) == 0)
	if len(body) > 0 {
		c.queueBody(s, body, true)
	}
	if s.endSent && !s.endReceived { // an early answer: the rest of the request is not wanted (RFC 9113 section 8.1)
		c.writeReset(id, NoError)
		c.removeStream(s)
	}
	return nil
}

// BeginResponse sends a response's header section and a part of its body and leaves the stream open. Stand-ins use it to
// break off in mid-answer.
func (c *Conn) BeginResponse(now time.Duration, id uint32, fields []Field, part []byte) error {
	c.now = now
	s := c.streams[id]
	if s == nil || s.endSent {
		return ErrClosed
	}
	c.writeHeaders(s, fields, false)
	c.queueBody(s, part, false)
	return nil
}

func listSize(fields []Field) (n int) {
	for _, f := range fields {
		n += fieldSize(f)
	}
	return n
}

// writeHeaders writes a header section, in as many frames as it needs.
func (c *Conn) writeHeaders(s *stream, fields []Field, end bool) {
	c.encoderBuf.Reset()
	for _, f := range fields {
		_ = c.encoder.WriteField(f) // to a bytes.Buffer: does not fail
	}
	t, flags := FrameHeaders, uint8(0)
	if end {
		flags = FlagEndStream
		s.endSent = true
	}
	for p := c.encoderBuf.Bytes(); ; {
		n := min(len(p), c.peerMaxFrameSize)
		if n == len(p) {
			flags |= FlagEndHeaders
		}
		c.writeBuf = AppendFrame(c.writeBuf, t, flags, s.id, p[:n])
		if p = p[n:]; len(p) == 0 {
			break
		}
		t, flags = FrameContinuation, 0
	}
	if end {
		c.removeIfClosed(s)
	}
}

func (c *Conn) queueBody(s *stream, p []byte, end bool) {
	s.pendingBody, s.pendingEnd = p, end
	s.stalledSince = c.now
	c.sendQueue = append(c.sendQueue, s.id)
	c.flushBodies()
}

// flushBodies sends what the windows allow of the bodies that wait, in their order.
func (c *Conn) flushBodies() {
	if len(c.sendQueue) == 0 {
		return
	}
	c.sendQueue = slices.DeleteFunc(c.sendQueue, func(id uint32) bool {
		s := c.streams[id]
		return s == nil || c.sendBody(s)
	})
}

// sendBody sends of one body what its windows allow and tells whether that was all.
func (c *Conn) sendBody(s *stream) bool {
	for len(s.pendingBody) > 0 {
		n := int(min(int64(len(s.pendingBody)), int64(c.peerMaxFrameSize), s.sendWindow, c.sendWindow))
		if n <= 0 {
			return false
		}
		end := s.pendingEnd && n == len(s.pendingBody)
		var flags uint8
		if end {
			flags = FlagEndStream
		}
		c.writeBuf = AppendFrame(c.writeBuf, FrameData, flags, s.id, s.pendingBody[:n])
		s.pendingBody = s.pendingBody[n:]
		s.sendWindow -= int64(n)
		c.sendWindow -= int64(n)
		s.stalledSince = c.now
		s.endSent = end
	}
	s.pendingBody = nil
	if s.endSent {
		c.removeIfClosed(s)
	}
	return true
}

// Reset gives a stream up. It tells whether the stream was still open.
func (c *Conn) Reset(now time.Duration, id uint32, code ErrCode) bool {
	c.now = now
	s := c.streams[id]
	if s == nil || c.err != nil {
		return false
	}
	c.writeReset(id, code)
	c.removeStream(s)
	return true
}

// IsOpen tells whether the stream is still open.
func (c *Conn) IsOpen(id uint32) bool { return c.streams[id] != nil }

// SendBlocked tells that bodies of ours wait for the peer's windows.
func (c *Conn) SendBlocked() bool { return len(c.sendQueue) > 0 }

// GoAway tells the peer to open no further streams; those open run on (RFC 9113 section 6.8).
func (c *Conn) GoAway(now time.Duration, code ErrCode) {
	c.now = now
	if !c.goAwaySent {
		c.writeGoAway(code, "")
	}
}

func (c *Conn) writeGoAway(code ErrCode, reason string) {
	c.goAwaySent = true
	last := c.lastPeerID
	c.writeBuf = appendHeader(c.writeBuf, 8+len(reason), FrameGoAway, 0, 0)
	c.writeBuf = binary.BigEndian.AppendUint32(c.writeBuf, last)
	c.writeBuf = binary.BigEndian.AppendUint32(c.writeBuf, uint32(code))
	c.writeBuf = append(c.writeBuf, reason...)
}

// SetMaxStreams changes how many streams the peer may open, and tells it; server only.
func (c *Conn) SetMaxStreams(now time.Duration, n uint32) {
	c.now = now
	c.cfg.MaxStreams = n
	c.writeBuf = AppendFrame(c.writeBuf, FrameSettings, 0, 0, appendSetting(nil, SettingMaxConcurrentStreams, n))
}

// Check looks at what takes too long, and is to be called now and then. After an error the connection is closed.
// It guards against a preface or a header section that never ends and against windows held shut.
func (c *Conn) Check(now time.Duration) error {
	c.now = now
	switch {
	case c.err != nil:
		return c.err
	case !c.settingsReceived && now-c.created > c.cfg.Handshake:
		return c.fail(&ConnError{SettingsTimeout, 0, "no preface or SETTINGS in time"})
	case c.settingsReceived && !c.settingsAcked && now-c.created > c.cfg.Handshake+c.cfg.AckTimeout:
		return c.fail(&ConnError{SettingsTimeout, 0, "SETTINGS not acknowledged in time"})
	case c.inBlock && now-c.blockStart > c.cfg.StallTimeout:
		return c.fail(&ConnError{EnhanceYourCalm, c.blockFrame.Stream, "header section not ended in time"})
	}
	for _, id := range c.sendQueue {
		if s := c.streams[id]; s != nil && now-s.stalledSince > c.cfg.StallTimeout {
			return c.fail(&ConnError{FlowControlError, id, fmt.Sprintf("window held shut for over %v", c.cfg.StallTimeout)})
		}
	}
	return nil
}
