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
	if listSize(fields) > c.peerList {
		return 0, ErrTooLarge
	}
	s := &stream{id: c.nextID, sendWin: c.peerWindow, recvWin: int64(c.cfg.StreamWindow), length: -1, opened: now}
	c.nextID += 2
	c.opened++
	c.streams[s.id] = s
	c.headers(s, fields, len(body) == 0)
	if len(body) > 0 {
		c.body(s, body, true)
	}
	return s.id, nil
}

// Respond sends a whole response, or a 1xx section where that is what fields hold; server only.
func (c *Conn) Respond(now time.Duration, id uint32, fields []Field, body []byte) error {
	c.now = now
	s := c.streams[id]
	if s == nil || s.sentEnd || c.failed != nil {
		return ErrClosed
	}
	if status := Value(fields, ":status"); len(status) == 3 && status[0] == '1' {
		c.headers(s, fields, false)
		s.sentEnd = false
		return nil
	}
	c.headers(s, fields, len(body) == 0)
	if len(body) > 0 {
		c.body(s, body, true)
	}
	if s.sentEnd && !s.gotEnd { // an early answer: the rest of the request is not wanted (RFC 9113 section 8.1)
		c.rst(id, NoError)
		c.drop(s)
	}
	return nil
}

// BeginResponse sends a response's header section and a part of its body and leaves the stream open. Stand-ins use it to
// break off in mid-answer.
func (c *Conn) BeginResponse(now time.Duration, id uint32, fields []Field, part []byte) error {
	c.now = now
	s := c.streams[id]
	if s == nil || s.sentEnd {
		return ErrClosed
	}
	c.headers(s, fields, false)
	c.body(s, part, false)
	return nil
}

func listSize(fields []Field) (n int) {
	for _, f := range fields {
		n += fieldSize(f)
	}
	return n
}

// headers writes a header section, in as many frames as it needs.
func (c *Conn) headers(s *stream, fields []Field, end bool) {
	c.encBuf.Reset()
	for _, f := range fields {
		_ = c.enc.WriteField(f) // to a bytes.Buffer: does not fail
	}
	t, flags := FrameHeaders, uint8(0)
	if end {
		flags = FlagEndStream
		s.sentEnd = true
	}
	for p := c.encBuf.Bytes(); ; {
		n := min(len(p), c.peerFrame)
		if n == len(p) {
			flags |= FlagEndHeaders
		}
		c.out = AppendFrame(c.out, t, flags, s.id, p[:n])
		if p = p[n:]; len(p) == 0 {
			break
		}
		t, flags = FrameContinuation, 0
	}
	if end {
		c.maybeClose(s)
	}
}

func (c *Conn) body(s *stream, p []byte, end bool) {
	s.pending, s.pendingEnd = p, end
	s.stalledSince = c.now
	c.order = append(c.order, s.id)
	c.flush()
}

// flush sends what the windows allow of the bodies that wait, in their order.
func (c *Conn) flush() {
	if len(c.order) == 0 {
		return
	}
	c.order = slices.DeleteFunc(c.order, func(id uint32) bool {
		s := c.streams[id]
		return s == nil || c.push(s)
	})
}

// push sends of one body what its windows allow and tells whether that was all.
func (c *Conn) push(s *stream) bool {
	for len(s.pending) > 0 {
		n := int(min(int64(len(s.pending)), int64(c.peerFrame), s.sendWin, c.sendWin))
		if n <= 0 {
			return false
		}
		end := s.pendingEnd && n == len(s.pending)
		var flags uint8
		if end {
			flags = FlagEndStream
		}
		c.out = AppendFrame(c.out, FrameData, flags, s.id, s.pending[:n])
		s.pending = s.pending[n:]
		s.sendWin -= int64(n)
		c.sendWin -= int64(n)
		s.stalledSince = c.now
		s.sentEnd = end
	}
	s.pending = nil
	if s.sentEnd {
		c.maybeClose(s)
	}
	return true
}

// Reset gives a stream up. It tells whether the stream was still open.
func (c *Conn) Reset(now time.Duration, id uint32, code ErrCode) bool {
	c.now = now
	s := c.streams[id]
	if s == nil || c.failed != nil {
		return false
	}
	c.rst(id, code)
	c.drop(s)
	return true
}

// IsOpen tells whether the stream is still open.
func (c *Conn) IsOpen(id uint32) bool { return c.streams[id] != nil }

// SendBlocked tells that bodies of ours wait for the peer's windows.
func (c *Conn) SendBlocked() bool { return len(c.order) > 0 }

// GoAway tells the peer to open no further streams; those open run on (RFC 9113 section 6.8).
func (c *Conn) GoAway(now time.Duration, code ErrCode) {
	c.now = now
	if !c.closing {
		c.goAway(code, "")
	}
}

func (c *Conn) goAway(code ErrCode, reason string) {
	c.closing = true
	last := c.lastPeerID
	c.out = appendHeader(c.out, 8+len(reason), FrameGoAway, 0, 0)
	c.out = binary.BigEndian.AppendUint32(c.out, last)
	c.out = binary.BigEndian.AppendUint32(c.out, uint32(code))
	c.out = append(c.out, reason...)
}

// SetMaxStreams changes how many streams the peer may open, and tells it; server only.
func (c *Conn) SetMaxStreams(now time.Duration, n uint32) {
	c.now = now
	c.cfg.MaxStreams = n
	c.out = AppendFrame(c.out, FrameSettings, 0, 0, appendSetting(nil, SettingMaxConcurrentStreams, n))
}

// Check looks at what takes too long, and is to be called now and then. After an error the connection is closed.
// It guards against a preface or a header section that never ends and against windows held shut.
func (c *Conn) Check(now time.Duration) error {
	c.now = now
	switch {
	case c.failed != nil:
		return c.failed
	case !c.settled && now-c.start > c.cfg.Handshake:
		return c.fail(&ConnError{SettingsTimeout, 0, "no preface or SETTINGS in time"})
	case c.settled && !c.acked && now-c.start > c.cfg.Handshake+c.cfg.AckTimeout:
		return c.fail(&ConnError{SettingsTimeout, 0, "SETTINGS not acknowledged in time"})
	case c.inBlock && now-c.blockSince > c.cfg.StallTimeout:
		return c.fail(&ConnError{EnhanceYourCalm, c.blockFrom.Stream, "header section not ended in time"})
	}
	for _, id := range c.order {
		if s := c.streams[id]; s != nil && now-s.stalledSince > c.cfg.StallTimeout {
			return c.fail(&ConnError{FlowControlError, id, fmt.Sprintf("window held shut for over %v", c.cfg.StallTimeout)})
		}
	}
	return nil
}
