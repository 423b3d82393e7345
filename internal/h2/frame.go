// Package h2 implements HTTP/2 (RFC 9113) for clients and servers without doing I/O. Callers pass received bytes and the
// time in and get events and bytes to send back. A Conn never blocks, reads no clock and starts no goroutine. Only one
// goroutine may use it at a time. Header compression (RFC 7541) comes from golang.org/x/net/http2/hpack. This package
// implements framing, streams, flow control, the rules for header fields, and limits against abuse.
package h2

import (
	"encoding/binary"
	"fmt"
)

// Preface is the connection preface, the first bytes that a client sends (RFC 9113 section 3.4).
const Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"

// FrameType is the type of a frame (RFC 9113 section 6).
type FrameType uint8

// Frame types (RFC 9113 section 6), in the order of their values on the wire.
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

// Frame flags. FlagEndStream and FlagAck share a value because they apply to different frame types.
const (
	FlagEndStream  = 0x1
	FlagAck        = 0x1
	FlagEndHeaders = 0x4
	FlagPadded     = 0x8
	FlagPriority   = 0x20
)

// ErrCode is an error code of RST_STREAM and GOAWAY (RFC 9113 section 7).
type ErrCode uint32

// Error codes (RFC 9113 section 7), in the order of their values on the wire.
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

// errNames holds the names of the error codes by their values.
var errNames = [...]string{"NO_ERROR", "PROTOCOL_ERROR", "INTERNAL_ERROR", "FLOW_CONTROL_ERROR", "SETTINGS_TIMEOUT",
	"STREAM_CLOSED", "FRAME_SIZE_ERROR", "REFUSED_STREAM", "CANCEL", "COMPRESSION_ERROR", "CONNECT_ERROR",
	"ENHANCE_YOUR_CALM", "INADEQUATE_SECURITY", "HTTP_1_1_REQUIRED"}

// String returns the name of the error code in RFC 9113, or its number if it is unknown.
func (e ErrCode) String() string {
	if int(e) < len(errNames) {
		return errNames[e]
	}
	return fmt.Sprintf("error code %d", uint32(e))
}

// SettingID identifies a setting in a SETTINGS frame (RFC 9113 section 6.5.2).
type SettingID uint16

// Identifiers of settings (RFC 9113 section 6.5.2), in the order of their values on the wire.
const (
	SettingHeaderTableSize SettingID = iota + 1
	SettingEnablePush
	SettingMaxConcurrentStreams
	SettingInitialWindowSize
	SettingMaxFrameSize
	SettingMaxHeaderListSize
)

// Sizes in bytes that RFC 9113 fixes.
const (
	// frameHeaderLen is the size of a frame header.
	frameHeaderLen = 9
	// defaultFrameSize is the initial value of SETTINGS_MAX_FRAME_SIZE and its minimum.
	defaultFrameSize = 16384
	// maxFrameSize is the maximum value of SETTINGS_MAX_FRAME_SIZE.
	maxFrameSize = 1<<24 - 1
	// defaultWindow is the initial flow control window of the connection and of its streams.
	defaultWindow = 65535
	// maxWindow is the maximum flow control window. It also masks the reserved bit of 31-bit numbers.
	maxWindow = 1<<31 - 1
)

// Frame is one frame.
type Frame struct {
	// Type is the frame type.
	Type FrameType
	// Flags are the flags, whose meaning depends on the type.
	Flags uint8
	// Stream is the stream identifier, or 0 for the connection.
	Stream uint32
	// Payload is the payload with any padding. It refers to the bytes given to ParseFrame.
	Payload []byte
}

// ConnError is a connection error. It ends the connection with GOAWAY (RFC 9113 section 5.4.1).
type ConnError struct {
	// Code is the error code sent in GOAWAY.
	Code ErrCode
	// Stream is the stream of the frame that caused the error, or 0 if it belongs to no stream.
	Stream uint32
	// Reason describes the error. It is sent as the debug data of GOAWAY.
	Reason string
}

// Error returns the code, the stream and the reason.
func (e *ConnError) Error() string {
	return fmt.Sprintf("connection error %v: stream %d: %s", e.Code, e.Stream, e.Reason)
}

// ParseFrame parses one frame at the start of p. It returns the number of bytes used, or 0 while the frame is incomplete.
// A payload above maxSize bytes is a ConnError with FrameSizeError.
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

// AppendFrame appends a frame to p. The payload must be below 16 MiB; its size is not checked.
func AppendFrame(p []byte, t FrameType, flags uint8, stream uint32, payload []byte) []byte {
	p = appendHeader(p, len(payload), t, flags, stream)
	return append(p, payload...)
}

// appendHeader appends the header of a frame whose payload has the given size.
func appendHeader(p []byte, size int, t FrameType, flags uint8, stream uint32) []byte {
	p = append(p, byte(size>>16), byte(size>>8), byte(size), byte(t), flags)
	return binary.BigEndian.AppendUint32(p, stream)
}

// appendSetting appends one setting of a SETTINGS payload.
func appendSetting(p []byte, id SettingID, v uint32) []byte {
	return binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint16(p, uint16(id)), v)
}

// unpad returns the payload of a DATA or HEADERS frame without padding (RFC 9113 sections 6.1 and 6.2).
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
