package h2

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"golang.org/x/net/http2/hpack"
)

// Config bounds one connection. Zero values take the defaults named.
type Config struct {
	MaxStreams    uint32        // streams that the peer may have open (100)
	MaxHeaderList int           // bytes of a header section (16 KiB)
	StreamWindow  uint32        // bytes of a body that may come before we take them (64 KiB)
	ConnWindow    uint32        // the same for the connection (1 MiB)
	Handshake     time.Duration // until the peer's preface and SETTINGS are here (5 s)
	StallTimeout  time.Duration // a header section in parts, or a window held shut, may last (10 s)
	AbuseBurst    float64       // frames that do no work at once (200) ...
	AbuseRate     float64       // ... and a second (50)
	AckTimeout    time.Duration // until our SETTINGS are acknowledged (10 s)
}

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

// EventKind tells what an Event is.
type EventKind uint8

// Kinds of event; the fields each one uses are in brackets.
const (
	Ready           EventKind = iota + 1 // the peer's first SETTINGS are here []
	Headers                              // a header section came [Stream Fields End]
	Informational                        // a 1xx section came, client only [Stream Fields]
	Trailers                             // a trailer section came; the body is over [Stream Fields End]
	Data                                 // part of a body came; Data holds until the next Receive [Stream Data End]
	StreamReset                          // the peer reset the stream, or it was malformed and we did [Stream Code Local Reason]
	GoAwayReceived                       // the peer will work on no stream of ours above Last [Last Code]
	HeadersTooLarge                      // a header section over the limit; the stream is open without fields [Stream End]
	SettingsChanged                      // the peer changed how many streams we may open []
)

// Event is something the peer did.
type Event struct {
	Kind       EventKind
	Stream     uint32
	Fields     []Field
	Data       []byte
	End        bool // the peer sends no more on this stream
	Code       ErrCode
	LastStream uint32
	Local      bool
	Reason     string
}

// stream is one stream that is not closed yet.
type stream struct {
	id                           uint32
	sendWindow, recvWindow       int64
	uncredited                   int64 // taken bytes not yet credited back
	endSent, endReceived         bool
	headersReceived, body        bool // their header section is here; a part of their body
	contentLength, bodyReceived  int64
	pendingBody                  []byte // our body beyond the window
	pendingEnd                   bool
	trailers                     []Field
	hasTrailers, headersTooLarge bool
	stalledSince, opened         time.Duration
}

// Conn is one connection, client's or server's side.
type Conn struct {
	cfg     Config
	client  bool
	now     time.Duration
	created time.Duration

	readBuf          []byte // an unfinished frame
	writeBuf         []byte
	events           []Event
	prefaceReceived  bool // the peer's preface is here
	settingsReceived bool // ... and its first SETTINGS
	settingsAcked    bool // our SETTINGS are acknowledged
	err              error
	goAwaySent       bool // we sent GOAWAY
	goAwayReceived   bool
	peerLastStream   uint32

	streams           map[uint32]*stream
	sendQueue         []uint32 // ids with a body waiting, in order
	nextID            uint32
	lastPeerID        uint32
	localOpen         int // streams of ours open
	peerOpen          int
	sendWindow        int64
	recvWindow        int64
	uncredited        int64
	peerMaxFrameSize  int
	peerInitialWindow int64
	peerMaxStreams    uint32
	peerMaxHeaderList int

	decoder         *hpack.Decoder
	encoder         *hpack.Encoder
	encoderBuf      bytes.Buffer
	headerBlock     []byte // a header block in parts
	blockFrame      Frame
	blockFrameCount int
	blockStart      time.Duration
	inBlock         bool
	fields          []Field
	headerListSize  int

	abuseTokens  float64
	abuseUpdated time.Duration
}

// NewServer returns the server's side of a connection made at now.
func NewServer(cfg Config, now time.Duration) *Conn { return newConn(cfg, now, false) }

// NewClient returns the client's side; its preface is in the output at once.
func NewClient(cfg Config, now time.Duration) *Conn { return newConn(cfg, now, true) }

func newConn(cfg Config, now time.Duration, client bool) *Conn {
	cfg = cfg.withDefaults()
	c := &Conn{cfg: cfg, client: client, now: now, created: now, abuseUpdated: now, abuseTokens: cfg.AbuseBurst,
		streams: map[uint32]*stream{}, nextID: 2, sendWindow: defaultWindow, recvWindow: int64(cfg.ConnWindow),
		peerMaxFrameSize: defaultFrameSize, peerInitialWindow: defaultWindow, peerMaxStreams: 100, peerMaxHeaderList: 1 << 30}
	c.decoder = hpack.NewDecoder(4096, c.addField)
	c.decoder.SetMaxStringLength(2*cfg.MaxHeaderList + defaultFrameSize) // what a block may hold: too large is no decoding error
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

func (c *Conn) appendWindowUpdate(p []byte, stream, n uint32) []byte {
	return binary.BigEndian.AppendUint32(appendHeader(p, 4, FrameWindowUpdate, 0, stream), n)
}

// Output returns the bytes to be written to the peer and forgets them. They are valid until the Conn is next used.
func (c *Conn) Output() []byte {
	p := c.writeBuf
	c.writeBuf = c.writeBuf[:0]
	if cap(p) > 1<<16 { // a burst must not keep its buffer
		c.writeBuf = nil
	}
	return p
}

// Err returns the error that ended the connection, if one did; the GOAWAY for it is in the output.
func (c *Conn) Err() error { return c.err }

// OpenStreams tells how many streams are not closed.
func (c *Conn) OpenStreams() int { return len(c.streams) }

// SettingsReceived tells whether the peer's first SETTINGS are here.
func (c *Conn) SettingsReceived() bool { return c.settingsReceived }

// AvailableStreams tells how many more streams we may open now.
func (c *Conn) AvailableStreams() int {
	if !c.settingsReceived || c.goAwayReceived || c.goAwaySent || c.err != nil || c.nextID > maxWindow-2 {
		return 0
	}
	return max(0, int(min(c.peerMaxStreams, 1<<20))-c.localOpen)
}

// Done tells that the connection drains and has nothing more to do.
func (c *Conn) Done() bool {
	return c.err != nil || (c.goAwaySent || c.goAwayReceived) && len(c.streams) == 0
}

func (c *Conn) fail(e *ConnError) error {
	if c.err == nil {
		c.err = e
		c.writeGoAway(e.Code, e.Reason)
	}
	return c.err
}

// Receive takes bytes of the peer. The events are valid until the next call. After an error, which is a ConnError,
// the output is to be written and the connection closed.
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
	if err == nil && n < len(buf) {
		c.readBuf = append(c.readBuf[:0], buf[n:]...)
	} else {
		c.readBuf = c.readBuf[:0]
		if cap(c.readBuf) > 4*defaultFrameSize {
			c.readBuf = nil
		}
	}
	return c.events, err
}

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

// chargeAbuse counts a frame that does no work for us: floods of them end the connection. It guards against floods of
// PING, SETTINGS, empty DATA, PRIORITY, and of streams opened and reset at once.
func (c *Conn) chargeAbuse(cost float64, what string, stream uint32) error {
	c.abuseTokens = min(c.cfg.AbuseBurst, c.abuseTokens+c.cfg.AbuseRate*(c.now-c.abuseUpdated).Seconds())
	c.abuseUpdated = c.now
	if c.abuseTokens -= cost; c.abuseTokens < 0 {
		return &ConnError{EnhanceYourCalm, stream, "flood of " + what}
	}
	return nil
}

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
	return c.chargeAbuse(1, "unknown frames", f.Stream) // ignored (RFC 9113 section 4.1)
}

// isIdle tells whether a stream was never opened.
func (c *Conn) isIdle(id uint32) bool {
	if (id%2 == 1) == c.client {
		return id >= c.nextID
	}
	return id > c.lastPeerID
}

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
	if s == nil { // closed a moment ago
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

// creditWindow gives windows back once half is used: callers bound bodies by resetting streams, not by holding windows.
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

func (c *Conn) handleEndStream(s *stream) {
	s.endReceived = true
	c.removeIfClosed(s)
}

func (c *Conn) removeIfClosed(s *stream) {
	if s.endReceived && s.endSent {
		c.removeStream(s)
	}
}

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

// streamError resets a stream that the peer used against the rules (RFC 9113 section 5.4.2).
func (c *Conn) streamError(s *stream, code ErrCode, reason string) error {
	c.writeReset(s.id, code)
	c.removeStream(s)
	c.events = append(c.events, Event{Kind: StreamReset, Stream: s.id, Code: code, Local: true, Reason: reason})
	return c.chargeAbuse(1, "malformed streams", s.id)
}

func (c *Conn) writeReset(id uint32, code ErrCode) {
	c.writeBuf = binary.BigEndian.AppendUint32(appendHeader(c.writeBuf, 4, FrameRSTStream, 0, id), uint32(code))
}

func (c *Conn) onHeaders(f Frame) error {
	if f.Stream == 0 {
		return &ConnError{ProtocolError, 0, "HEADERS on stream 0"}
	}
	p, err := unpad(f)
	if err != nil {
		return err
	}
	if f.Flags&FlagPriority != 0 {
		if len(p) < 5 {
			return &ConnError{FrameSizeError, f.Stream, "HEADERS shorter than its priority"}
		}
		if binary.BigEndian.Uint32(p)&maxWindow == f.Stream {
			return &ConnError{ProtocolError, f.Stream, "stream depends on itself"}
		}
		p = p[5:]
	}
	ownStream := (f.Stream%2 == 1) == c.client
	switch {
	case ownStream && c.isIdle(f.Stream):
		return &ConnError{ProtocolError, f.Stream, "HEADERS on an idle stream"}
	case !ownStream && c.client:
		return &ConnError{ProtocolError, f.Stream, "a server may open no stream"}
	case !ownStream && c.streams[f.Stream] == nil && f.Stream <= c.lastPeerID:
		return &ConnError{StreamClosed, f.Stream, "HEADERS on a closed stream"}
	}
	c.headerBlock = append(c.headerBlock[:0], p...)
	c.blockFrame, c.blockFrameCount, c.blockStart = f, 1, c.now
	if f.Flags&FlagEndHeaders == 0 {
		c.inBlock = true
		return nil
	}
	return c.handleHeaderBlock()
}

func (c *Conn) onContinuation(f Frame) error {
	if !c.inBlock {
		return &ConnError{ProtocolError, f.Stream, "CONTINUATION without HEADERS"}
	}
	c.blockFrameCount++
	// Guards against CONTINUATION floods: empty ones, and blocks far above any header section that is allowed.
	if len(c.headerBlock)+len(f.Payload) > 2*c.cfg.MaxHeaderList+defaultFrameSize || c.blockFrameCount > 64 {
		return &ConnError{EnhanceYourCalm, f.Stream, "header block without end"}
	}
	c.headerBlock = append(c.headerBlock, f.Payload...)
	if f.Flags&FlagEndHeaders == 0 {
		return nil
	}
	c.inBlock = false
	return c.handleHeaderBlock()
}

func (c *Conn) addField(f hpack.HeaderField) {
	if c.headerListSize += fieldSize(f); c.headerListSize <= c.cfg.MaxHeaderList {
		c.fields = append(c.fields, f)
	}
}

// handleHeaderBlock decodes a whole header block and gives it to its stream.
func (c *Conn) handleHeaderBlock() error {
	f := c.blockFrame
	c.fields, c.headerListSize = nil, 0
	if _, err := c.decoder.Write(c.headerBlock); err != nil {
		return &ConnError{CompressionError, f.Stream, err.Error()}
	}
	if err := c.decoder.Close(); err != nil {
		return &ConnError{CompressionError, f.Stream, err.Error()}
	}
	if cap(c.headerBlock) > 2*defaultFrameSize {
		c.headerBlock = nil
	}
	end := f.Flags&FlagEndStream != 0
	s := c.streams[f.Stream]
	if s == nil {
		if c.client { // reset by us a moment ago
			return c.chargeAbuse(0.25, "HEADERS on closed streams", f.Stream)
		}
		return c.openPeerStream(f.Stream, end)
	}
	if s.endReceived {
		return c.streamError(s, StreamClosed, "HEADERS after END_STREAM")
	}
	return c.handleFurtherHeaders(s, end)
}

func (c *Conn) openPeerStream(id uint32, end bool) error {
	c.lastPeerID = id
	if c.goAwaySent { // RFC 9113 section 6.8: streams after our GOAWAY are not worked on
		return nil
	}
	if c.peerOpen >= int(c.cfg.MaxStreams) {
		c.writeReset(id, RefusedStream)
		return c.chargeAbuse(1, "streams above the limit", id)
	}
	s := &stream{id: id, sendWindow: c.peerInitialWindow, recvWindow: int64(c.cfg.StreamWindow), contentLength: -1, headersReceived: true, opened: c.now}
	c.streams[id] = s
	c.peerOpen++
	if c.headerListSize > c.cfg.MaxHeaderList {
		s.headersTooLarge = true
		c.events = append(c.events, Event{Kind: HeadersTooLarge, Stream: id, End: end})
	} else {
		n, err := validateFields(c.fields, true, false)
		if err == nil && end && n > 0 {
			err = errors.New("content-length without a body")
		}
		if err != nil {
			return c.streamError(s, ProtocolError, err.Error())
		}
		s.contentLength = n
		c.events = append(c.events, Event{Kind: Headers, Stream: id, Fields: c.fields, End: end})
	}
	if end {
		c.handleEndStream(s)
	}
	return nil
}

// handleFurtherHeaders takes a further section on an open stream: a response, a 1xx or trailers.
func (c *Conn) handleFurtherHeaders(s *stream, end bool) error {
	if c.headerListSize > c.cfg.MaxHeaderList {
		return c.streamError(s, EnhanceYourCalm, "header section too large")
	}
	trailers := s.headersReceived
	n, err := validateFields(c.fields, false, trailers)
	if err != nil {
		return c.streamError(s, ProtocolError, err.Error())
	}
	if trailers {
		if !end {
			return c.streamError(s, ProtocolError, "trailers without END_STREAM")
		}
		if s.contentLength >= 0 && s.bodyReceived != s.contentLength {
			return c.streamError(s, ProtocolError, "body does not match content-length")
		}
		c.events = append(c.events, Event{Kind: Trailers, Stream: s.id, Fields: c.fields, End: true})
		c.handleEndStream(s)
		return nil
	}
	if Value(c.fields, ":status")[0] == '1' {
		if end {
			return c.streamError(s, ProtocolError, "1xx with END_STREAM")
		}
		c.events = append(c.events, Event{Kind: Informational, Stream: s.id, Fields: c.fields})
		return c.chargeAbuse(0.5, "1xx sections", s.id)
	}
	s.headersReceived = true
	s.contentLength = n
	if end && n > 0 {
		return c.streamError(s, ProtocolError, "content-length without a body")
	}
	c.events = append(c.events, Event{Kind: Headers, Stream: s.id, Fields: c.fields, End: end})
	if end {
		c.handleEndStream(s)
	}
	return nil
}

func (c *Conn) onPriority(f Frame) error {
	if f.Stream == 0 {
		return &ConnError{ProtocolError, 0, "PRIORITY on stream 0"}
	}
	if len(f.Payload) != 5 {
		return &ConnError{FrameSizeError, f.Stream, "PRIORITY of a wrong size"}
	}
	return c.chargeAbuse(1, "PRIORITY", f.Stream)
}

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

func (c *Conn) onPing(f Frame) error {
	if f.Stream != 0 {
		return &ConnError{ProtocolError, f.Stream, "PING on a stream"}
	}
	if len(f.Payload) != 8 {
		return &ConnError{FrameSizeError, 0, "PING of a wrong size"}
	}
	if f.Flags&FlagAck != 0 {
		return c.chargeAbuse(1, "PING acks", 0) // we send no PING
	}
	c.writeBuf = AppendFrame(c.writeBuf, FramePing, FlagAck, 0, f.Payload)
	return c.chargeAbuse(1, "PING", 0)
}

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
