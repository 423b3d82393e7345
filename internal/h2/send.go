package h2

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"time"
)

// Errors of sending. Nothing has been sent when one is returned.
var (
	// ErrNoStreamAvailable reports that no further stream may be opened now; see Conn.AvailableStreams.
	ErrNoStreamAvailable = errors.New("h2: the peer takes no further stream now")
	// ErrClosed reports that the stream or the connection is closed, or that the response was already complete.
	ErrClosed = errors.New("h2: the stream is closed")
	// ErrTooLarge reports a header section above the peer's SETTINGS_MAX_HEADER_LIST_SIZE.
	ErrTooLarge = errors.New("h2: header section above the peer's limit")
)

// Request opens a stream, sends a complete request and returns the stream identifier, on clients only. It returns
// ErrNoStreamAvailable or ErrTooLarge, and then nothing has been sent. The Conn keeps body until the peer's windows allow
// all of it to be sent. The caller must not change body before that.
func (c *Conn) Request(now time.Duration, fields []Field, body []byte) (uint32, error) {
	c.now = now
	if c.AvailableStreams() == 0 {
		return 0, ErrNoStreamAvailable
	}
	if listSize(fields) > c.peerMaxHeaderList {
		return 0, ErrTooLarge
	}
	s := &stream{id: c.nextID, sendWindow: c.peerInitialWindow, recvWindow: int64(c.cfg.StreamWindow), contentLength: -1, openedAt: now}
	c.nextID += 2
	c.localOpen++
	c.streams[s.id] = s
	c.writeHeaders(s, fields, len(body) == 0)
	if len(body) > 0 {
		c.queueBody(s, body, true)
	}
	return s.id, nil
}

// Respond sends a complete response, on servers only. If :status in fields is 1xx, it sends only that section and the stream
// stays open for the final response. It returns ErrClosed if the stream takes no response. The body is kept as by Request.
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
	if s.endSent && !s.endReceived { // early response: the rest of the request is not needed (RFC 9113 section 8.1)
		c.writeReset(id, NoError)
		c.removeStream(s)
	}
	return nil
}

// BeginResponse sends the header section of a response and a part of its body, and leaves the stream open. Stand-ins use
// it to simulate a response that breaks off. It returns ErrClosed if the stream takes no response.
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

// listSize returns the size of a header section as SETTINGS_MAX_HEADER_LIST_SIZE counts it.
func listSize(fields []Field) (n int) {
	for _, f := range fields {
		n += fieldSize(f)
	}
	return n
}

// writeHeaders queues a header section as HEADERS and as many CONTINUATION frames as it needs. end sets END_STREAM.
func (c *Conn) writeHeaders(s *stream, fields []Field, end bool) {
	c.encoderBuf.Reset()
	for _, f := range fields {
		_ = c.encoder.WriteField(f) // writing to a bytes.Buffer does not fail
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

// queueBody queues a body, or the last part of it if end is set, and sends what the windows allow.
func (c *Conn) queueBody(s *stream, p []byte, end bool) {
	s.pendingBody, s.pendingEnd = p, end
	s.stalledSince = c.now
	c.sendQueue = append(c.sendQueue, s.id)
	c.flushBodies()
}

// flushBodies sends what the windows allow of the queued bodies, in the order queued.
func (c *Conn) flushBodies() {
	if len(c.sendQueue) == 0 {
		return
	}
	c.sendQueue = slices.DeleteFunc(c.sendQueue, func(id uint32) bool {
		s := c.streams[id]
		return s == nil || c.sendBody(s)
	})
}

// sendBody sends what the windows allow of one body and reports whether all of it was sent.
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

// Reset sends RST_STREAM and removes the stream. It reports whether the stream was still open.
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

// IsOpen reports whether the stream is still open.
func (c *Conn) IsOpen(id uint32) bool { return c.streams[id] != nil }

// SendBlocked reports whether bodies wait for the peer's flow control windows.
func (c *Conn) SendBlocked() bool { return len(c.sendQueue) > 0 }

// GoAway sends GOAWAY, which tells the peer to open no further streams. Open streams continue (RFC 9113 section 6.8). Later
// calls do nothing.
func (c *Conn) GoAway(now time.Duration, code ErrCode) {
	c.now = now
	if !c.goAwaySent {
		c.writeGoAway(code, "")
	}
}

// writeGoAway queues GOAWAY with the last stream that the peer opened, and with reason as debug data.
func (c *Conn) writeGoAway(code ErrCode, reason string) {
	c.goAwaySent = true
	last := c.lastPeerID
	c.writeBuf = appendHeader(c.writeBuf, 8+len(reason), FrameGoAway, 0, 0)
	c.writeBuf = binary.BigEndian.AppendUint32(c.writeBuf, last)
	c.writeBuf = binary.BigEndian.AppendUint32(c.writeBuf, uint32(code))
	c.writeBuf = append(c.writeBuf, reason...)
}

// SetMaxStreams changes the number of streams that the peer may have open and sends it in SETTINGS, on servers only.
func (c *Conn) SetMaxStreams(now time.Duration, n uint32) {
	c.now = now
	c.cfg.MaxStreams = n
	c.writeBuf = AppendFrame(c.writeBuf, FrameSettings, 0, 0, appendSetting(nil, SettingMaxConcurrentStreams, n))
}

// Check enforces the time limits of Config and must be called regularly. It guards against a preface or a header section
// that never ends, against SETTINGS that are never acknowledged, and against a peer that never opens its windows. After an
// error, which is a ConnError, the caller has to send the output and close the connection.
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
