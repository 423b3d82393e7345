package h2

import (
	"bytes"
	"encoding/binary"
	"errors"
	"slices"
	"time"

	"golang.org/x/net/http2/hpack"
)

// Config holds the limits of one connection. A zero value selects the default of a field.
type Config struct {
	// MaxStreams is the maximum number of streams that the peer may have open. The default is 100.
	MaxStreams uint32
	// MaxHeaderList is the maximum size of a header section in bytes, as counted by SETTINGS_MAX_HEADER_LIST_SIZE. The
	// default is 16 KiB.
	MaxHeaderList int
	// StreamWindow is the receive window of each stream in bytes. The default is 64 KiB.
	StreamWindow uint32
	// ConnWindow is the receive window of the connection in bytes. The default is 1 MiB, which also replaces values up to
	// 65,535.
	ConnWindow uint32
	// Handshake is the time limit for the peer's preface and first SETTINGS. The default is 5 s.
	Handshake time.Duration
	// StallTimeout is the time limit for a header section that is sent in several frames, and for a peer that does not
	// open its window while a body waits. The default is 10 s.
	StallTimeout time.Duration
	// AbuseBurst is the size of the token bucket for frames that do no useful work, in frames. The default is 200.
	AbuseBurst float64
	// AbuseRate is the rate at which the bucket refills, in frames per second. The default is 50.
	AbuseRate float64
	// AckTimeout is the time limit for the acknowledgement of our SETTINGS. It starts after Handshake. The default is 10 s.
	AckTimeout time.Duration
}

// withDefaults returns the configuration with defaults in place of zero values.
func (c Config) withDefaults() Config {
	if c.MaxStreams == 0 {
		c.MaxStreams = 100
	}
	if c.MaxHeaderList == 0 {
		c.MaxHeaderList = 16 << 10
	}
	if c.StreamWindow == 0 {
		c.StreamWindow = 64 << 10
	}
	c.ConnWindow = max(c.ConnWindow, defaultWindow)
	if c.ConnWindow == defaultWindow {
		c.ConnWindow = 1 << 20
	}
	if c.Handshake == 0 {
		c.Handshake = 5 * time.Second
	}
	if c.StallTimeout == 0 {
		c.StallTimeout = 10 * time.Second
	}
	if c.AbuseBurst == 0 {
		c.AbuseBurst = 200
	}
	if c.AbuseRate == 0 {
		c.AbuseRate = 50
	}
	if c.AckTimeout == 0 {
		c.AckTimeout = 10 * time.Second
	}
	return c
}

// EventKind is the kind of an Event.
type EventKind uint8

// Kinds of events. Each comment names the fields of Event that are set.
const (
	// Ready reports the peer's first SETTINGS. It sets no other field.
	Ready EventKind = iota + 1
	// Headers reports the header section of a request or of a final response. It sets Stream, Fields and End.
	Headers
	// Informational reports a 1xx response, on clients only. It sets Stream and Fields.
	Informational
	// Trailers reports a trailer section, which ends the body. It sets Stream, Fields and End.
	Trailers
	// Data reports a part of a body. It sets Stream, Data and End.
	Data
	// StreamReset reports that the peer reset a stream, or that this side reset it because the peer broke the protocol. It
	// sets Stream and Code, and in the second case Local and Reason.
	StreamReset
	// GoAwayReceived reports that the peer processes no streams of this side above LastStream. It sets LastStream and Code.
	// On clients, the streams above LastStream are removed without a StreamReset event.
	GoAwayReceived
	// HeadersTooLarge reports a request whose header section is above Config.MaxHeaderList, on servers only. The stream is
	// open and can be answered. It sets Stream and End.
	HeadersTooLarge
	// SettingsChanged reports later SETTINGS of the peer. AvailableStreams may have changed. It sets no other field.
	SettingsChanged
)

// Event reports something that the peer did.
type Event struct {
	// Kind tells which of the other fields are set.
	Kind EventKind
	// Stream is the stream identifier.
	Stream uint32
	// Fields are the fields of a header or trailer section.
	Fields []Field
	// Data is a part of a body. It is valid until the next call of Receive.
	Data []byte
	// End reports that the peer sends nothing more on the stream.
	End bool
	// Code is the error code of RST_STREAM or GOAWAY.
	Code ErrCode
	// LastStream is the last stream that the peer processes after its GOAWAY.
	LastStream uint32
	// Local reports that this side reset the stream.
	Local bool
	// Reason describes why this side reset the stream.
	Reason string
}

// completedStreams is the number of ended streams on which a second copy of the response is recognized.
const completedStreams = 64

// stream is the state of one stream that is not closed. The fields body, trailers and hasTrailers are not used.
type stream struct {
	id uint32
	// sendWindow and recvWindow are the flow control windows in bytes. sendWindow may be negative.
	sendWindow, recvWindow int64
	// uncredited is the number of received bytes that no WINDOW_UPDATE has given back yet.
	uncredited int64
	// endSent and endReceived are set when END_STREAM was sent or received.
	endSent, endReceived bool
	// headersReceived is set when the peer's final header section was received.
	headersReceived, body bool
	// contentLength is the peer's content-length, or -1. bodyReceived counts the bytes of its body without padding.
	contentLength, bodyReceived int64
	// pendingBody is the part of our body that waits for the peer's windows.
	pendingBody []byte
	// pendingEnd is set when END_STREAM follows pendingBody.
	pendingEnd bool
	trailers   []Field
	// headersTooLarge is set when the peer's header section was above the limit.
	hasTrailers, headersTooLarge bool
	// stalledSince is when a part of the body was last queued or sent. openedAt is when the stream was opened.
	stalledSince, openedAt time.Duration
}

// Conn is one connection, as client or as server. Only one goroutine may use it at a time.
type Conn struct {
	cfg    Config
	client bool
	// now is the time passed to the current call.
	now time.Duration
	// created is the time passed to the constructor.
	created time.Duration

	// readBuf holds an incomplete frame.
	readBuf []byte
	// writeBuf holds the bytes that Output returns.
	writeBuf []byte
	// events holds the events that Receive returns.
	events []Event
	// prefaceReceived is set when the peer's preface was received. On clients, it is always set.
	prefaceReceived bool
	// settingsReceived is set when the peer's first SETTINGS were received.
	settingsReceived bool
	// settingsAcked is set when the peer has acknowledged our SETTINGS.
	settingsAcked bool
	// err is the error that ended the connection.
	err error
	// goAwaySent is set when this side has sent GOAWAY.
	goAwaySent bool
	// goAwayReceived is set when the peer has sent GOAWAY.
	goAwayReceived bool
	// peerLastStream is the last stream in the peer's GOAWAY.
	peerLastStream uint32

	// completed holds the streams that the peer of a client ended last, and completedCount counts them.
	completed      [completedStreams]uint32
	completedCount int
	// streams holds the streams that are not closed.
	streams map[uint32]*stream
	// sendQueue holds the identifiers of the streams whose bodies wait for the peer's windows, in the order queued.
	sendQueue []uint32
	// nextID is the next stream that this side opens.
	nextID uint32
	// lastPeerID is the last stream that the peer opened.
	lastPeerID uint32
	// localOpen counts the open streams that this side opened.
	localOpen int
	// peerOpen counts the open streams that the peer opened.
	peerOpen int
	// sendWindow is the send window of the connection in bytes.
	sendWindow int64
	// recvWindow is the receive window of the connection in bytes.
	recvWindow int64
	// uncredited is the number of received bytes of the connection that no WINDOW_UPDATE has given back yet.
	uncredited int64
	// peerMaxFrameSize is the largest payload that this side sends, at most 64 KiB.
	peerMaxFrameSize int
	// peerInitialWindow is the initial send window of new streams in bytes.
	peerInitialWindow int64
	// peerMaxStreams is the number of streams that this side may have open.
	peerMaxStreams uint32
	// peerMaxHeaderList is the largest header section in bytes that the peer accepts.
	peerMaxHeaderList int

	decoder *hpack.Decoder
	encoder *hpack.Encoder
	// encoderBuf receives the output of encoder.
	encoderBuf bytes.Buffer
	// headerBlock collects a header block that is sent in several frames.
	headerBlock []byte
	// blockFrame is the HEADERS frame that started the block.
	blockFrame Frame
	// blockFrameCount is the number of frames of the block so far.
	blockFrameCount int
	// blockStart is when the block started.
	blockStart time.Duration
	// inBlock is set while more frames of the block are expected.
	inBlock bool
	// fields collects the decoded fields of the block, up to Config.MaxHeaderList.
	fields []Field
	// headerListSize is the size in bytes of all fields of the block, including those that are not kept.
	headerListSize int

	// abuseTokens is the level of the token bucket for frames that do no useful work.
	abuseTokens float64
	// abuseUpdated is when the token bucket was last refilled.
	abuseUpdated time.Duration
}

// NewServer returns the server side of a connection that was accepted at now.
func NewServer(cfg Config, now time.Duration) *Conn { return newConn(cfg, now, false) }

// NewClient returns the client side of a connection that was opened at now. Output returns its preface at once.
func NewClient(cfg Config, now time.Duration) *Conn { return newConn(cfg, now, true) }

// newConn returns a connection whose SETTINGS are in the output.
func newConn(cfg Config, now time.Duration, client bool) *Conn {
	cfg = cfg.withDefaults()
	c := &Conn{cfg: cfg, client: client, now: now, created: now, abuseUpdated: now, abuseTokens: cfg.AbuseBurst,
		streams: map[uint32]*stream{}, nextID: 2, sendWindow: defaultWindow, recvWindow: int64(cfg.ConnWindow),
		peerMaxFrameSize: defaultFrameSize, peerInitialWindow: defaultWindow, peerMaxStreams: 100, peerMaxHeaderList: 1 << 30}
	c.decoder = hpack.NewDecoder(4096, c.addField)
	// A string may be as long as a whole header block. A field above MaxHeaderList must not become a decoding error, because
	// that would end the connection.
	c.decoder.SetMaxStringLength(2*cfg.MaxHeaderList + defaultFrameSize)
	c.encoder = hpack.NewEncoder(&c.encoderBuf)
	var set []byte
	if client {
		c.nextID = 1
		c.prefaceReceived = true
		c.writeBuf = append(c.writeBuf, Preface...)
		set = appendSetting(set, SettingEnablePush, 0)
	} else {
		set = appendSetting(set, SettingMaxConcurrentStreams, cfg.MaxStreams)
	}
	set = appendSetting(set, SettingInitialWindowSize, cfg.StreamWindow)
	set = appendSetting(set, SettingMaxHeaderListSize, uint32(cfg.MaxHeaderList))
	c.writeBuf = AppendFrame(c.writeBuf, FrameSettings, 0, 0, set)
	if extra := cfg.ConnWindow - defaultWindow; extra > 0 {
		c.writeBuf = c.appendWindowUpdate(c.writeBuf, 0, extra)
	}
	return c
}

// appendWindowUpdate appends a WINDOW_UPDATE frame that adds n bytes to a window. Stream 0 is the connection.
func (c *Conn) appendWindowUpdate(p []byte, stream, n uint32) []byte {
	return binary.BigEndian.AppendUint32(appendHeader(p, 4, FrameWindowUpdate, 0, stream), n)
}

// Output returns the bytes to be sent to the peer and removes them from the Conn. They are valid until its next use.
func (c *Conn) Output() []byte {
	p := c.writeBuf
	c.writeBuf = c.writeBuf[:0]
	if cap(p) > 1<<16 || len(p) == 0 && cap(p) > maxKeptOutput { // A quiet connection keeps no large buffer, and none keeps that of a burst.
		c.writeBuf = nil
	}
	return p
}

// Err returns the error that ended the connection, or nil. The GOAWAY that reports it is in the output.
func (c *Conn) Err() error { return c.err }

// OpenStreams returns the number of streams that are not closed, on both sides.
func (c *Conn) OpenStreams() int { return len(c.streams) }

// SettingsReceived reports whether the peer's first SETTINGS were received.
func (c *Conn) SettingsReceived() bool { return c.settingsReceived }

// AvailableStreams returns how many more streams this side may open now. It is 0 before the peer's SETTINGS, after a
// GOAWAY in either direction, after an error, and when the stream identifiers are used up.
func (c *Conn) AvailableStreams() int {
	if !c.settingsReceived || c.goAwayReceived || c.goAwaySent || c.err != nil || c.nextID > maxWindow-2 {
		return 0
	}
	return max(0, int(min(c.peerMaxStreams, 1<<20))-c.localOpen)
}

// Done reports whether the connection failed, or a GOAWAY was sent or received and no stream is open.
func (c *Conn) Done() bool {
	return c.err != nil || (c.goAwaySent || c.goAwayReceived) && len(c.streams) == 0
}

// fail records the first connection error, queues GOAWAY for it and returns it.
func (c *Conn) fail(e *ConnError) error {
	if c.err == nil {
		c.err = e
		c.writeGoAway(e.Code, e.Reason)
	}
	return c.err
}

// Receive processes bytes from the peer. The events are valid until the next call of Receive or ReleaseEvents. An error is a ConnError. The
// caller then has to send the output and close the connection.
func (c *Conn) Receive(now time.Duration, p []byte) ([]Event, error) {
	c.now = now
	clear(c.events)
	c.events = c.events[:0]
	if c.err != nil {
		return nil, c.err
	}
	buf := p
	if len(c.readBuf) > 0 {
		c.readBuf = append(c.readBuf, p...)
		buf = c.readBuf
	}
	n, err := c.processFrames(buf)
	c.keepIncomplete(buf[n:], err)
	return c.events, err
}

// keepIncomplete keeps the bytes of a frame that is not complete. Between frames a connection keeps no buffer, and within one no more
// than it needs: there may be very many connections.
func (c *Conn) keepIncomplete(rest []byte, err error) {
	switch {
	case err != nil || len(rest) == 0:
		c.readBuf = nil
	case len(rest) == len(c.readBuf): // Nothing was used of the buffer, which grows with the frame.
	default:
		c.readBuf = bytes.Clone(rest)
	}
}

// ReleaseEvents drops the events that Receive returned last. A connection may be quiet for long behind them.
func (c *Conn) ReleaseEvents() {
	clear(c.events)
	if c.events = c.events[:0]; cap(c.events) > maxKeptEvents {
		c.events = nil
	}
	c.fields = nil
}

// maxKeptOutput is the largest output buffer that a quiet connection keeps, in bytes.
const maxKeptOutput = 2 << 10

// maxKeptEvents is the largest capacity of the list of events that a connection keeps for the next call of Receive.
const maxKeptEvents = 64

// processFrames checks the preface, handles all complete frames in p, and returns the number of bytes used.
func (c *Conn) processFrames(p []byte) (int, error) {
	offset := 0
	if !c.prefaceReceived {
		n := min(len(p), len(Preface))
		if string(p[:n]) != Preface[:n] {
			return 0, c.fail(&ConnError{ProtocolError, 0, "no HTTP/2 preface"})
		}
		if n < len(Preface) {
			return 0, nil
		}
		c.prefaceReceived = true
		offset = n
	}
	for {
		f, n, err := ParseFrame(p[offset:], defaultFrameSize)
		if err == nil && n == 0 {
			return offset, nil
		}
		if err == nil {
			offset += n
			err = c.handleFrame(f)
		}
		if err != nil {
			var ce *ConnError
			if !errors.As(err, &ce) {
				ce = &ConnError{InternalError, f.Stream, err.Error()}
			}
			return offset, c.fail(ce)
		}
	}
}

// chargeAbuse takes the cost of a frame that does no useful work from the token bucket and returns an error when the bucket
// is empty. It guards against floods of PING, SETTINGS, empty DATA, PRIORITY and other such frames, and against rapid reset:
// streams that the peer opens and resets at once. what names the frames in the error.
func (c *Conn) chargeAbuse(cost float64, what string, stream uint32) error {
	c.abuseTokens = min(c.cfg.AbuseBurst, c.abuseTokens+c.cfg.AbuseRate*(c.now-c.abuseUpdated).Seconds())
	c.abuseUpdated = c.now
	if c.abuseTokens -= cost; c.abuseTokens < 0 {
		return &ConnError{EnhanceYourCalm, stream, "flood of " + what}
	}
	return nil
}

// handleFrame handles one complete frame.
func (c *Conn) handleFrame(f Frame) error {
	if c.inBlock && (f.Type != FrameContinuation || f.Stream != c.blockFrame.Stream) {
		return &ConnError{ProtocolError, f.Stream, "frame inside a header block"}
	}
	if !c.settingsReceived && (f.Type != FrameSettings || f.Flags&FlagAck != 0) {
		return &ConnError{ProtocolError, f.Stream, "first frame is not SETTINGS"}
	}
	switch f.Type {
	case FrameData:
		return c.onData(f)
	case FrameHeaders:
		return c.onHeaders(f)
	case FrameContinuation:
		return c.onContinuation(f)
	case FramePriority:
		return c.onPriority(f)
	case FrameRSTStream:
		return c.onReset(f)
	case FrameSettings:
		return c.onSettings(f)
	case FramePushPromise:
		return &ConnError{ProtocolError, f.Stream, "PUSH_PROMISE, and push is off"}
	case FramePing:
		return c.onPing(f)
	case FrameGoAway:
		return c.onGoAway(f)
	case FrameWindowUpdate:
		return c.onWindowUpdate(f)
	}
	return c.chargeAbuse(1, "unknown frames", f.Stream) // unknown frame types are ignored (RFC 9113 section 4.1)
}

// isIdle reports whether a stream was never opened.
func (c *Conn) isIdle(id uint32) bool {
	if (id%2 == 1) == c.client {
		return id >= c.nextID
	}
	return id > c.lastPeerID
}

// onData handles DATA. The whole payload counts toward the windows, with its padding.
func (c *Conn) onData(f Frame) error {
	if f.Stream == 0 || c.isIdle(f.Stream) {
		return &ConnError{ProtocolError, f.Stream, "DATA on a stream that is not open"}
	}
	size := int64(len(f.Payload))
	if c.recvWindow -= size; c.recvWindow < 0 {
		return &ConnError{FlowControlError, f.Stream, "DATA beyond the window of the connection"}
	}
	c.creditWindow(nil, size)
	p, err := unpad(f)
	if err != nil {
		return err
	}
	if len(p) == 0 && f.Flags&FlagEndStream == 0 {
		if err := c.chargeAbuse(1, "empty DATA", f.Stream); err != nil {
			return err
		}
	}
	s := c.streams[f.Stream]
	if s == nil { // the frame crossed the end of the stream
		return c.chargeAbuse(0.25, "DATA on closed streams", f.Stream)
	}
	if s.endReceived {
		return c.streamError(s, StreamClosed, "DATA after END_STREAM")
	}
	if !s.headersReceived {
		return c.streamError(s, ProtocolError, "DATA before HEADERS")
	}
	if s.recvWindow -= size; s.recvWindow < 0 {
		return c.streamError(s, FlowControlError, "DATA beyond the window of the stream")
	}
	s.bodyReceived += int64(len(p))
	end := f.Flags&FlagEndStream != 0
	if s.contentLength >= 0 && (s.bodyReceived > s.contentLength || end && s.bodyReceived != s.contentLength) {
		return c.streamError(s, ProtocolError, "body does not match content-length")
	}
	c.events = append(c.events, Event{Kind: Data, Stream: s.id, Data: p, End: end})
	if end {
		c.handleEndStream(s)
	} else {
		c.creditWindow(s, size)
	}
	return nil
}

// creditWindow counts n received bytes of a stream, or of the connection if s is nil. It sends WINDOW_UPDATE when half of
// the window is used. Callers limit bodies by resetting streams, not by withholding window updates.
func (c *Conn) creditWindow(s *stream, n int64) {
	uncredited, window, full, id := &c.uncredited, &c.recvWindow, int64(c.cfg.ConnWindow), uint32(0)
	if s != nil {
		uncredited, window, full, id = &s.uncredited, &s.recvWindow, int64(c.cfg.StreamWindow), s.id
	}
	if *uncredited += n; *uncredited >= full/2 && *uncredited > 0 {
		c.writeBuf = c.appendWindowUpdate(c.writeBuf, id, uint32(*uncredited))
		*window += *uncredited
		*uncredited = 0
	}
}

// handleEndStream records that the peer sends nothing more on a stream.
func (c *Conn) handleEndStream(s *stream) {
	s.endReceived = true
	if c.client {
		c.completed[c.completedCount%len(c.completed)] = s.id
		c.completedCount++
	}
	c.removeIfClosed(s)
}

// isCompleted reports whether the peer ended a stream of this client lately. Another header block on it is a second copy of a
// response. It may have changed the compression state, after which other responses would be decoded wrongly, so that the
// connection cannot go on (RFC 9113 section 5.1, closed).
func (c *Conn) isCompleted(id uint32) bool { return slices.Contains(c.completed[:], id) }

// removeIfClosed removes a stream that both sides have ended.
func (c *Conn) removeIfClosed(s *stream) {
	if s.endReceived && s.endSent {
		c.removeStream(s)
	}
}

// removeStream removes a stream, if it is still open, and updates the counts.
func (c *Conn) removeStream(s *stream) {
	if c.streams[s.id] != s {
		return
	}
	delete(c.streams, s.id)
	if (s.id%2 == 1) == c.client {
		c.localOpen--
	} else {
		c.peerOpen--
	}
}

// streamError resets a stream after a stream error (RFC 9113 section 5.4.2) and reports it as an event. The returned error
// is that of chargeAbuse.
func (c *Conn) streamError(s *stream, code ErrCode, reason string) error {
	c.writeReset(s.id, code)
	c.removeStream(s)
	c.events = append(c.events, Event{Kind: StreamReset, Stream: s.id, Code: code, Local: true, Reason: reason})
	return c.chargeAbuse(1, "malformed streams", s.id)
}

// writeReset queues RST_STREAM.
func (c *Conn) writeReset(id uint32, code ErrCode) {
	c.writeBuf = binary.BigEndian.AppendUint32(appendHeader(c.writeBuf, 4, FrameRSTStream, 0, id), uint32(code))
}
