package h2

import (
	"encoding/binary"
	"fmt"
)

// This file contains the frames that carry neither headers nor data.

// onPriority handles PRIORITY, which has no effect.
func (c *Conn) onPriority(f Frame) error {
	if f.Stream == 0 {
		return &ConnError{ProtocolError, 0, "PRIORITY on stream 0"}
	}
	if len(f.Payload) != 5 {
		return &ConnError{FrameSizeError, f.Stream, "PRIORITY of a wrong size"}
	}
	return c.chargeAbuse(1, "PRIORITY", f.Stream)
}

// onReset handles RST_STREAM. On servers, every reset counts as abuse. On clients, only those of closed streams do.
func (c *Conn) onReset(f Frame) error {
	if len(f.Payload) != 4 {
		return &ConnError{FrameSizeError, f.Stream, "RST_STREAM of a wrong size"}
	}
	if f.Stream == 0 || c.isIdle(f.Stream) {
		return &ConnError{ProtocolError, f.Stream, "RST_STREAM on an idle stream"}
	}
	s := c.streams[f.Stream]
	if s == nil {
		return c.chargeAbuse(0.25, "RST_STREAM on closed streams", f.Stream)
	}
	c.removeStream(s)
	c.events = append(c.events, Event{Kind: StreamReset, Stream: s.id, Code: ErrCode(binary.BigEndian.Uint32(f.Payload))})
	if c.client {
		return nil
	}
	return c.chargeAbuse(1, "streams reset by the peer (rapid reset)", f.Stream)
}

// onSettings handles SETTINGS and acknowledges them.
func (c *Conn) onSettings(f Frame) error {
	if f.Stream != 0 {
		return &ConnError{ProtocolError, f.Stream, "SETTINGS on a stream"}
	}
	if f.Flags&FlagAck != 0 {
		if len(f.Payload) != 0 {
			return &ConnError{FrameSizeError, 0, "SETTINGS ack with a payload"}
		}
		c.settingsAcked = true
		return c.chargeAbuse(1, "SETTINGS acks", 0)
	}
	if len(f.Payload)%6 != 0 {
		return &ConnError{FrameSizeError, 0, "SETTINGS of a wrong size"}
	}
	if c.settingsReceived {
		if err := c.chargeAbuse(2, "SETTINGS", 0); err != nil {
			return err
		}
	}
	for p := f.Payload; len(p) > 0; p = p[6:] {
		if err := c.applySetting(SettingID(binary.BigEndian.Uint16(p)), binary.BigEndian.Uint32(p[2:])); err != nil {
			return err
		}
	}
	c.writeBuf = AppendFrame(c.writeBuf, FrameSettings, FlagAck, 0, nil)
	if !c.settingsReceived {
		c.settingsReceived = true
		c.events = append(c.events, Event{Kind: Ready})
	} else {
		c.events = append(c.events, Event{Kind: SettingsChanged})
	}
	return nil
}

// applySetting applies one setting of the peer. Unknown settings are ignored. A new initial window changes the send window
// of every open stream by the difference (RFC 9113 section 6.9.2).
func (c *Conn) applySetting(id SettingID, v uint32) error {
	switch id {
	case SettingHeaderTableSize:
		c.encoder.SetMaxDynamicTableSizeLimit(min(v, 4096))
	case SettingEnablePush:
		if v > 1 || v == 1 && c.client {
			return &ConnError{ProtocolError, 0, fmt.Sprintf("SETTINGS_ENABLE_PUSH %d", v)}
		}
	case SettingMaxConcurrentStreams:
		c.peerMaxStreams = v
	case SettingInitialWindowSize:
		if v > maxWindow {
			return &ConnError{FlowControlError, 0, fmt.Sprintf("SETTINGS_INITIAL_WINDOW_SIZE %d", v)}
		}
		change := int64(v) - c.peerInitialWindow
		c.peerInitialWindow = int64(v)
		for _, s := range c.streams {
			if s.sendWindow += change; s.sendWindow > maxWindow {
				return &ConnError{FlowControlError, s.id, "window above its largest size"}
			}
		}
		c.flushBodies()
	case SettingMaxFrameSize:
		if v < defaultFrameSize || v > maxFrameSize {
			return &ConnError{ProtocolError, 0, fmt.Sprintf("SETTINGS_MAX_FRAME_SIZE %d", v)}
		}
		c.peerMaxFrameSize = int(min(v, 1<<16))
	case SettingMaxHeaderListSize:
		c.peerMaxHeaderList = int(min(v, 1<<30))
	}
	return nil
}

// onPing answers PING.
func (c *Conn) onPing(f Frame) error {
	if f.Stream != 0 {
		return &ConnError{ProtocolError, f.Stream, "PING on a stream"}
	}
	if len(f.Payload) != 8 {
		return &ConnError{FrameSizeError, 0, "PING of a wrong size"}
	}
	if f.Flags&FlagAck != 0 {
		return c.chargeAbuse(1, "PING acks", 0) // this side sends no PING
	}
	c.writeBuf = AppendFrame(c.writeBuf, FramePing, FlagAck, 0, f.Payload)
	return c.chargeAbuse(1, "PING", 0)
}

// onGoAway handles GOAWAY. Clients remove the streams that the peer does not process.
func (c *Conn) onGoAway(f Frame) error {
	if f.Stream != 0 {
		return &ConnError{ProtocolError, f.Stream, "GOAWAY on a stream"}
	}
	if len(f.Payload) < 8 {
		return &ConnError{FrameSizeError, 0, "GOAWAY of a wrong size"}
	}
	last := binary.BigEndian.Uint32(f.Payload) & maxWindow
	if c.goAwayReceived && last > c.peerLastStream {
		return &ConnError{ProtocolError, 0, "GOAWAY with a rising last stream"}
	}
	c.goAwayReceived, c.peerLastStream = true, last
	c.events = append(c.events, Event{Kind: GoAwayReceived, LastStream: last, Code: ErrCode(binary.BigEndian.Uint32(f.Payload[4:]))})
	if c.client {
		for id, s := range c.streams {
			if id > last {
				c.removeStream(s)
			}
		}
	}
	return c.chargeAbuse(1, "GOAWAY", 0)
}

// onWindowUpdate handles WINDOW_UPDATE and sends the bodies that it allows.
func (c *Conn) onWindowUpdate(f Frame) error {
	if len(f.Payload) != 4 {
		return &ConnError{FrameSizeError, f.Stream, "WINDOW_UPDATE of a wrong size"}
	}
	n := int64(binary.BigEndian.Uint32(f.Payload) & maxWindow)
	if f.Stream == 0 {
		if n == 0 {
			return &ConnError{ProtocolError, 0, "WINDOW_UPDATE of 0"}
		}
		if c.sendWindow += n; c.sendWindow > maxWindow {
			return &ConnError{FlowControlError, 0, "window above its largest size"}
		}
		c.flushBodies()
		return c.chargeAbuse(0.1, "WINDOW_UPDATE", 0)
	}
	if c.isIdle(f.Stream) {
		return &ConnError{ProtocolError, f.Stream, "WINDOW_UPDATE on an idle stream"}
	}
	s := c.streams[f.Stream]
	if s == nil {
		return c.chargeAbuse(0.1, "WINDOW_UPDATE", f.Stream)
	}
	if n == 0 {
		return c.streamError(s, ProtocolError, "WINDOW_UPDATE of 0")
	}
	if s.sendWindow += n; s.sendWindow > maxWindow {
		return c.streamError(s, FlowControlError, "window above its largest size")
	}
	c.flushBodies()
	return c.chargeAbuse(0.1, "WINDOW_UPDATE", f.Stream)
}
