// Package h2 is HTTP/2 (RFC 9113) for both sides of a connection, free of I/O: bytes and the time go in, bytes and
// events come out. A Conn never blocks, reads no clock and starts no goroutine; one goroutine uses it at a time.
// Field compression (RFC 7541) is that of golang.org/x/net/http2/hpack; framing, streams, flow control, the rules
// for header fields and the bounds against abuse are here.
package h2

import (
	"encoding/binary"
	"fmt"
)

// Preface is what a client sends first (RFC 9113 section 3.4).
const Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"

// FrameType is the type of a frame (RFC 9113 section 6).
type FrameType uint8

// Frame types.
const (
	FrameData FrameType = iota
	FrameHeaders
	FramePriority
	FrameRSTStream
	FrameSettings
	FramePushPromise
	FramePing
	FrameGoAway
	FrameWindowUpdate
	FrameContinuation
)

// Flags of frames; END_STREAM and ACK share a value, on different types.
const (
	FlagEndStream  = 0x1
	FlagAck        = 0x1
	FlagEndHeaders = 0x4
	FlagPadded     = 0x8
	FlagPriority   = 0x20
)

// ErrCode is an error code (RFC 9113 section 7).
type ErrCode uint32

// Error codes.
const (
	NoError ErrCode = iota
	ProtocolError
	InternalError
	FlowControlError
	SettingsTimeout
	StreamClosed
	FrameSizeError
	RefusedStream
	Cancel
	CompressionError
	ConnectError
	EnhanceYourCalm
	InadequateSecurity
	HTTP11Required
)

var errNames = [...]string{"NO_ERROR", "PROTOCOL_ERROR", "INTERNAL_ERROR", "FLOW_CONTROL_ERROR", "SETTINGS_TIMEOUT",
	"STREAM_CLOSED", "FRAME_SIZE_ERROR", "REFUSED_STREAM", "CANCEL", "COMPRESSION_ERROR", "CONNECT_ERROR",
	"ENHANCE_YOUR_CALM", "INADEQUATE_SECURITY", "HTTP_1_1_REQUIRED"}

func (e ErrCode) String() string {
	if int(e) < len(errNames) {
		return errNames[e]
	}
	return fmt.Sprintf("error code %d", uint32(e))
}

// SettingID names a setting (RFC 9113 section 6.5.2).
type SettingID uint16

// Settings.
const (
	SettingHeaderTableSize SettingID = iota + 1
	SettingEnablePush
	SettingMaxConcurrentStreams
	SettingInitialWindowSize
	SettingMaxFrameSize
	SettingMaxHeaderListSize
)

// Sizes fixed by RFC 9113.
const (
	frameHeaderLen   = 9
	defaultFrameSize = 16384
	maxFrameSize     = 1<<24 - 1
	defaultWindow    = 65535
	maxWindow        = 1<<31 - 1
)

// Frame is one frame; Payload is not copied.
type Frame struct {
	Type    FrameType
	Flags   uint8
	Stream  uint32
	Payload []byte
}

// ConnError ends the connection with GOAWAY (RFC 9113 section 5.4.1).
type ConnError struct {
	Code   ErrCode
	Stream uint32 // 0 where the frame was of no stream
	Reason string
}

func (e *ConnError) Error() string {
	return fmt.Sprintf("connection error %v: stream %d: %s", e.Code, e.Stream, e.Reason)
}

// ParseFrame reads one frame from the start of p. It returns the bytes used, or 0 where p holds no whole frame; a
// frame longer than most is an error.
func ParseFrame(p []byte, maxSize int) (Frame, int, error) {
	if len(p) < frameHeaderLen {
		return Frame{}, 0, nil
	}
	size := int(p[0])<<16 | int(p[1])<<8 | int(p[2])
	f := Frame{Type: FrameType(p[3]), Flags: p[4], Stream: binary.BigEndian.Uint32(p[5:]) & maxWindow}
	if size > maxSize {
		return f, 0, &ConnError{FrameSizeError, f.Stream, fmt.Sprintf("frame of %d bytes, %d are allowed", size, maxSize)}
	}
	if len(p) < frameHeaderLen+size {
		return Frame{}, 0, nil
	}
	f.Payload = p[frameHeaderLen : frameHeaderLen+size]
	return f, frameHeaderLen + size, nil
}

// AppendFrame appends a frame to p.
func AppendFrame(p []byte, t FrameType, flags uint8, stream uint32, payload []byte) []byte {
	p = appendHeader(p, len(payload), t, flags, stream)
	return append(p, payload...)
}

func appendHeader(p []byte, size int, t FrameType, flags uint8, stream uint32) []byte {
	p = append(p, byte(size>>16), byte(size>>8), byte(size), byte(t), flags)
	return binary.BigEndian.AppendUint32(p, stream)
}

func appendSetting(p []byte, id SettingID, v uint32) []byte {
	return binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint16(p, uint16(id)), v)
}

// unpad strips the padding of DATA and HEADERS (RFC 9113 sections 6.1 and 6.2).
func unpad(f Frame) ([]byte, error) {
	p := f.Payload
	if f.Flags&FlagPadded == 0 {
		return p, nil
	}
	if len(p) == 0 || int(p[0]) > len(p)-1 {
		return nil, &ConnError{ProtocolError, f.Stream, "padding longer than the frame"}
	}
	return p[1 : len(p)-int(p[0])], nil
}
