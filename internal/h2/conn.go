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
	id                   uint32
	sendWin, recvWin     int64
	recvDue              int64 // taken bytes not yet credited back
	sentEnd, gotEnd      bool
	gotHeaders, body     bool // their header section is here; a part of their body
	length, got          int64
	pending              []byte // our body beyond the window
	pendingEnd           bool
	trailers             []Field
	hasTrailers, tooBig  bool
	stalledSince, opened time.Duration
}

// Conn is one connection, client's or server's side.
type Conn struct {
	cfg    Config
	client bool
	now    time.Duration
	start  time.Duration

	in       []byte // an unfinished frame
	out      []byte
	events   []Event
	preface  bool // the peer's preface is here
	settled  bool // ... and its first SETTINGS
	acked    bool // our SETTINGS are acknowledged
	failed   error
	closing  bool // we sent GOAWAY
	peerAway bool
	peerLast uint32

	streams     map[uint32]*stream
	order       []uint32 // ids with a body waiting, in order
	nextID      uint32
	lastPeerID  uint32
	opened      int // streams of ours open
	peerOpen    int
	sendWin     int64
	recvWin     int64
	recvDue     int64
	peerFrame   int
	peerWindow  int64
	peerStreams uint32
	peerList    int

	dec        *hpack.Decoder
	enc        *hpack.Encoder
	encBuf     bytes.Buffer
	block      []byte // a header block in parts
	blockFrom  Frame
	blockParts int
	blockSince time.Duration
	inBlock    bool
	fields     []Field
	listSize   int

	abuse   float64
	abuseAt time.Duration
}

// NewServer returns the server's side of a connection made at now.
func NewServer(cfg Config, now time.Duration) *Conn { return newConn(cfg, now, false) }

// NewClient returns the client's side; its preface is in the output at once.
func NewClient(cfg Config, now time.Duration) *Conn { return newConn(cfg, now, true) }

func newConn(cfg Config, now time.Duration, client bool) *Conn {
	cfg = cfg.withDefaults()
	c := &Conn{cfg: cfg, client: client, now: now, start: now, abuseAt: now, abuse: cfg.AbuseBurst,
		streams: map[uint32]*stream{}, nextID: 2, sendWin: defaultWindow, recvWin: int64(cfg.ConnWindow),
		peerFrame: defaultFrameSize, peerWindow: defaultWindow, peerStreams: 100, peerList: 1 << 30}
	c.dec = hpack.NewDecoder(4096, c.emit)
	c.dec.SetMaxStringLength(2*cfg.MaxHeaderList + defaultFrameSize) // what a block may hold: too large is no decoding error
	c.enc = hpack.NewEncoder(&c.encBuf)
	var set []byte
	if client {
		c.nextID = 1
		c.preface = true
		c.out = append(c.out, Preface...)
		set = appendSetting(set, SettingEnablePush, 0)
	} else {
		set = appendSetting(set, SettingMaxConcurrentStreams, cfg.MaxStreams)
	}
	set = appendSetting(set, SettingInitialWindowSize, cfg.StreamWindow)
	set = appendSetting(set, SettingMaxHeaderListSize, uint32(cfg.MaxHeaderList))
	c.out = AppendFrame(c.out, FrameSettings, 0, 0, set)
	if extra := cfg.ConnWindow - defaultWindow; extra > 0 {
		c.out = c.windowUpdate(c.out, 0, extra)
	}
	return c
}

func (c *Conn) windowUpdate(p []byte, stream, n uint32) []byte {
	return binary.BigEndian.AppendUint32(appendHeader(p, 4, FrameWindowUpdate, 0, stream), n)
}

// Output returns the bytes to be written to the peer and forgets them. They are valid until the Conn is next used.
func (c *Conn) Output() []byte {
	p := c.out
	c.out = c.out[:0]
	if cap(p) > 1<<16 { // a burst must not keep its buffer
		c.out = nil
	}
	return p
}

// Err returns the error that ended the connection, if one did; the GOAWAY for it is in the output.
func (c *Conn) Err() error { return c.failed }

// OpenStreams tells how many streams are not closed.
func (c *Conn) OpenStreams() int { return len(c.streams) }

// SettingsReceived tells whether the peer's first SETTINGS are here.
func (c *Conn) SettingsReceived() bool { return c.settled }

// AvailableStreams tells how many more streams we may open now.
func (c *Conn) AvailableStreams() int {
	if !c.settled || c.peerAway || c.closing || c.failed != nil || c.nextID > largestWindow-2 {
		return 0
	}
	return max(0, int(min(c.peerStreams, 1<<20))-c.opened)
}

// Done tells that the connection drains and has nothing more to do.
func (c *Conn) Done() bool {
	return c.failed != nil || (c.closing || c.peerAway) && len(c.streams) == 0
}

func (c *Conn) fail(e *ConnError) error {
	if c.failed == nil {
		c.failed = e
		c.goAway(e.Code, e.Reason)
	}
	return c.failed
}

// Receive takes bytes of the peer. The events are valid until the next call. After an error, which is a ConnError,
// the output is to be written and the connection closed.
func (c *Conn) Receive(now time.Duration, p []byte) ([]Event, error) {
	c.now = now
	clear(c.events)
	c.events = c.events[:0]
	if c.failed != nil {
		return nil, c.failed
	}
	buf := p
	if len(c.in) > 0 {
		c.in = append(c.in, p...)
		buf = c.in
	}
	n, err := c.consume(buf)
	if err == nil && n < len(buf) {
		c.in = append(c.in[:0], buf[n:]...)
	} else {
		c.in = c.in[:0]
		if cap(c.in) > 4*defaultFrameSize {
			c.in = nil
		}
	}
	return c.events, err
}

func (c *Conn) consume(p []byte) (int, error) {
	at := 0
	if !c.preface {
		n := min(len(p), len(Preface))
		if string(p[:n]) != Preface[:n] {
			return 0, c.fail(&ConnError{ProtocolError, 0, "no HTTP/2 preface"})
		}
		if n < len(Preface) {
			return 0, nil
		}
		c.preface = true
		at = n
	}
	for {
		f, n, err := ParseFrame(p[at:], defaultFrameSize)
		if err == nil && n == 0 {
			return at, nil
		}
		if err == nil {
			at += n
			err = c.frame(f)
		}
		if err != nil {
			var ce *ConnError
			if !errors.As(err, &ce) {
				ce = &ConnError{InternalError, f.Stream, err.Error()}
			}
			return at, c.fail(ce)
		}
	}
}

// spend counts a frame that does no work for us: floods of them end the connection. It guards against floods of
// PING, SETTINGS, empty DATA, PRIORITY, and of streams opened and reset at once.
func (c *Conn) spend(cost float64, what string, stream uint32) error {
	c.abuse = min(c.cfg.AbuseBurst, c.abuse+c.cfg.AbuseRate*(c.now-c.abuseAt).Seconds())
	c.abuseAt = c.now
	if c.abuse -= cost; c.abuse < 0 {
		return &ConnError{EnhanceYourCalm, stream, "flood of " + what}
	}
	return nil
}

func (c *Conn) frame(f Frame) error {
	if c.inBlock && (f.Type != FrameContinuation || f.Stream != c.blockFrom.Stream) {
		return &ConnError{ProtocolError, f.Stream, "frame inside a header block"}
	}
	if !c.settled && (f.Type != FrameSettings || f.Flags&FlagAck != 0) {
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
	return c.spend(1, "unknown frames", f.Stream) // ignored (RFC 9113 section 4.1)
}

// idle tells whether a stream was never opened.
func (c *Conn) idle(id uint32) bool {
	if (id%2 == 1) == c.client {
		return id >= c.nextID
	}
	return id > c.lastPeerID
}

func (c *Conn) onData(f Frame) error {
	if f.Stream == 0 || c.idle(f.Stream) {
		return &ConnError{ProtocolError, f.Stream, "DATA on a stream that is not open"}
	}
	size := int64(len(f.Payload))
	if c.recvWin -= size; c.recvWin < 0 {
		return &ConnError{FlowControlError, f.Stream, "DATA beyond the window of the connection"}
	}
	c.credit(nil, size)
	p, err := unpad(f)
	if err != nil {
		return err
	}
	if len(p) == 0 && f.Flags&FlagEndStream == 0 {
		if err := c.spend(1, "empty DATA", f.Stream); err != nil {
			return err
		}
	}
	s := c.streams[f.Stream]
	if s == nil { // closed a moment ago
		return c.spend(0.25, "DATA on closed streams", f.Stream)
	}
	if s.gotEnd {
		return c.streamError(s, StreamClosed, "DATA after END_STREAM")
	}
	if !s.gotHeaders {
		return c.streamError(s, ProtocolError, "DATA before HEADERS")
	}
	if s.recvWin -= size; s.recvWin < 0 {
		return c.streamError(s, FlowControlError, "DATA beyond the window of the stream")
	}
	s.got += int64(len(p))
	end := f.Flags&FlagEndStream != 0
	if s.length >= 0 && (s.got > s.length || end && s.got != s.length) {
		return c.streamError(s, ProtocolError, "body does not match content-length")
	}
	c.events = append(c.events, Event{Kind: Data, Stream: s.id, Data: p, End: end})
	if end {
		c.ended(s)
	} else {
		c.credit(s, size)
	}
	return nil
}

// credit gives windows back once half is used: callers bound bodies by resetting streams, not by holding windows.
func (c *Conn) credit(s *stream, n int64) {
	due, win, whole, id := &c.recvDue, &c.recvWin, int64(c.cfg.ConnWindow), uint32(0)
	if s != nil {
		due, win, whole, id = &s.recvDue, &s.recvWin, int64(c.cfg.StreamWindow), s.id
	}
	if *due += n; *due >= whole/2 && *due > 0 {
		c.out = c.windowUpdate(c.out, id, uint32(*due))
		*win += *due
		*due = 0
	}
}

func (c *Conn) ended(s *stream) {
	s.gotEnd = true
	c.maybeClose(s)
}

func (c *Conn) maybeClose(s *stream) {
	if s.gotEnd && s.sentEnd {
		c.drop(s)
	}
}

func (c *Conn) drop(s *stream) {
	if c.streams[s.id] != s {
		return
	}
	delete(c.streams, s.id)
	if (s.id%2 == 1) == c.client {
		c.opened--
	} else {
		c.peerOpen--
	}
}

// streamError resets a stream that the peer used against the rules (RFC 9113 section 5.4.2).
func (c *Conn) streamError(s *stream, code ErrCode, reason string) error {
	c.rst(s.id, code)
	c.drop(s)
	c.events = append(c.events, Event{Kind: StreamReset, Stream: s.id, Code: code, Local: true, Reason: reason})
	return c.spend(1, "malformed streams", s.id)
}

func (c *Conn) rst(id uint32, code ErrCode) {
	c.out = binary.BigEndian.AppendUint32(appendHeader(c.out, 4, FrameRSTStream, 0, id), uint32(code))
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
		if binary.BigEndian.Uint32(p)&largestWindow == f.Stream {
			return &ConnError{ProtocolError, f.Stream, "stream depends on itself"}
		}
		p = p[5:]
	}
	mine := (f.Stream%2 == 1) == c.client
	switch {
	case mine && c.idle(f.Stream):
		return &ConnError{ProtocolError, f.Stream, "HEADERS on an idle stream"}
	case !mine && c.client:
		return &ConnError{ProtocolError, f.Stream, "a server may open no stream"}
	case !mine && c.streams[f.Stream] == nil && f.Stream <= c.lastPeerID:
		return &ConnError{StreamClosed, f.Stream, "HEADERS on a closed stream"}
	}
	c.block = append(c.block[:0], p...)
	c.blockFrom, c.blockParts, c.blockSince = f, 1, c.now
	if f.Flags&FlagEndHeaders == 0 {
		c.inBlock = true
		return nil
	}
	return c.section()
}

func (c *Conn) onContinuation(f Frame) error {
	if !c.inBlock {
		return &ConnError{ProtocolError, f.Stream, "CONTINUATION without HEADERS"}
	}
	c.blockParts++
	// Guards against CONTINUATION floods: empty ones, and blocks far above any header section that is allowed.
	if len(c.block)+len(f.Payload) > 2*c.cfg.MaxHeaderList+defaultFrameSize || c.blockParts > 64 {
		return &ConnError{EnhanceYourCalm, f.Stream, "header block without end"}
	}
	c.block = append(c.block, f.Payload...)
	if f.Flags&FlagEndHeaders == 0 {
		return nil
	}
	c.inBlock = false
	return c.section()
}

func (c *Conn) emit(f hpack.HeaderField) {
	if c.listSize += fieldSize(f); c.listSize <= c.cfg.MaxHeaderList {
		c.fields = append(c.fields, f)
	}
}

// section decodes a whole header block and gives it to its stream.
func (c *Conn) section() error {
	f := c.blockFrom
	c.fields, c.listSize = nil, 0
	if _, err := c.dec.Write(c.block); err != nil {
		return &ConnError{CompressionError, f.Stream, err.Error()}
	}
	if err := c.dec.Close(); err != nil {
		return &ConnError{CompressionError, f.Stream, err.Error()}
	}
	if cap(c.block) > 2*defaultFrameSize {
		c.block = nil
	}
	end := f.Flags&FlagEndStream != 0
	s := c.streams[f.Stream]
	if s == nil {
		if c.client { // reset by us a moment ago
			return c.spend(0.25, "HEADERS on closed streams", f.Stream)
		}
		return c.newPeerStream(f.Stream, end)
	}
	if s.gotEnd {
		return c.streamError(s, StreamClosed, "HEADERS after END_STREAM")
	}
	return c.more(s, end)
}

func (c *Conn) newPeerStream(id uint32, end bool) error {
	c.lastPeerID = id
	if c.closing { // RFC 9113 section 6.8: streams after our GOAWAY are not worked on
		return nil
	}
	if c.peerOpen >= int(c.cfg.MaxStreams) {
		c.rst(id, RefusedStream)
		return c.spend(1, "streams above the limit", id)
	}
	s := &stream{id: id, sendWin: c.peerWindow, recvWin: int64(c.cfg.StreamWindow), length: -1, gotHeaders: true, opened: c.now}
	c.streams[id] = s
	c.peerOpen++
	if c.listSize > c.cfg.MaxHeaderList {
		s.tooBig = true
		c.events = append(c.events, Event{Kind: HeadersTooLarge, Stream: id, End: end})
	} else {
		n, err := fieldRules(c.fields, true, false)
		if err == nil && end && n > 0 {
			err = errors.New("content-length without a body")
		}
		if err != nil {
			return c.streamError(s, ProtocolError, err.Error())
		}
		s.length = n
		c.events = append(c.events, Event{Kind: Headers, Stream: id, Fields: c.fields, End: end})
	}
	if end {
		c.ended(s)
	}
	return nil
}

// more takes a further section on an open stream: a response, a 1xx or trailers.
func (c *Conn) more(s *stream, end bool) error {
	if c.listSize > c.cfg.MaxHeaderList {
		return c.streamError(s, EnhanceYourCalm, "header section too large")
	}
	trailers := s.gotHeaders
	n, err := fieldRules(c.fields, false, trailers)
	if err != nil {
		return c.streamError(s, ProtocolError, err.Error())
	}
	if trailers {
		if !end {
			return c.streamError(s, ProtocolError, "trailers without END_STREAM")
		}
		if s.length >= 0 && s.got != s.length {
			return c.streamError(s, ProtocolError, "body does not match content-length")
		}
		c.events = append(c.events, Event{Kind: Trailers, Stream: s.id, Fields: c.fields, End: true})
		c.ended(s)
		return nil
	}
	if Value(c.fields, ":status")[0] == '1' {
		if end {
			return c.streamError(s, ProtocolError, "1xx with END_STREAM")
		}
		c.events = append(c.events, Event{Kind: Informational, Stream: s.id, Fields: c.fields})
		return c.spend(0.5, "1xx sections", s.id)
	}
	s.gotHeaders = true
	s.length = n
	if end && n > 0 {
		return c.streamError(s, ProtocolError, "content-length without a body")
	}
	c.events = append(c.events, Event{Kind: Headers, Stream: s.id, Fields: c.fields, End: end})
	if end {
		c.ended(s)
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
	return c.spend(1, "PRIORITY", f.Stream)
}

func (c *Conn) onReset(f Frame) error {
	if len(f.Payload) != 4 {
		return &ConnError{FrameSizeError, f.Stream, "RST_STREAM of a wrong size"}
	}
	if f.Stream == 0 || c.idle(f.Stream) {
		return &ConnError{ProtocolError, f.Stream, "RST_STREAM on an idle stream"}
	}
	s := c.streams[f.Stream]
	if s == nil {
		return c.spend(0.25, "RST_STREAM on closed streams", f.Stream)
	}
	c.drop(s)
	c.events = append(c.events, Event{Kind: StreamReset, Stream: s.id, Code: ErrCode(binary.BigEndian.Uint32(f.Payload))})
	if c.client {
		return nil
	}
	return c.spend(1, "streams reset by the peer (rapid reset)", f.Stream)
}

func (c *Conn) onSettings(f Frame) error {
	if f.Stream != 0 {
		return &ConnError{ProtocolError, f.Stream, "SETTINGS on a stream"}
	}
	if f.Flags&FlagAck != 0 {
		if len(f.Payload) != 0 {
			return &ConnError{FrameSizeError, 0, "SETTINGS ack with a payload"}
		}
		c.acked = true
		return c.spend(1, "SETTINGS acks", 0)
	}
	if len(f.Payload)%6 != 0 {
		return &ConnError{FrameSizeError, 0, "SETTINGS of a wrong size"}
	}
	if c.settled {
		if err := c.spend(2, "SETTINGS", 0); err != nil {
			return err
		}
	}
	for p := f.Payload; len(p) > 0; p = p[6:] {
		if err := c.setting(SettingID(binary.BigEndian.Uint16(p)), binary.BigEndian.Uint32(p[2:])); err != nil {
			return err
		}
	}
	c.out = AppendFrame(c.out, FrameSettings, FlagAck, 0, nil)
	if !c.settled {
		c.settled = true
		c.events = append(c.events, Event{Kind: Ready})
	} else {
		c.events = append(c.events, Event{Kind: SettingsChanged})
	}
	return nil
}

func (c *Conn) setting(id SettingID, v uint32) error {
	switch id {
	case SettingHeaderTableSize:
		c.enc.SetMaxDynamicTableSizeLimit(min(v, 4096))
	case SettingEnablePush:
		if v > 1 || v == 1 && c.client {
			return &ConnError{ProtocolError, 0, fmt.Sprintf("SETTINGS_ENABLE_PUSH %d", v)}
		}
	case SettingMaxConcurrentStreams:
		c.peerStreams = v
	case SettingInitialWindowSize:
		if v > largestWindow {
			return &ConnError{FlowControlError, 0, fmt.Sprintf("SETTINGS_INITIAL_WINDOW_SIZE %d", v)}
		}
		change := int64(v) - c.peerWindow
		c.peerWindow = int64(v)
		for _, s := range c.streams {
			if s.sendWin += change; s.sendWin > largestWindow {
				return &ConnError{FlowControlError, s.id, "window above its largest size"}
			}
		}
		c.flush()
	case SettingMaxFrameSize:
		if v < defaultFrameSize || v > largestFrameSize {
			return &ConnError{ProtocolError, 0, fmt.Sprintf("SETTINGS_MAX_FRAME_SIZE %d", v)}
		}
		c.peerFrame = int(min(v, 1<<16))
	case SettingMaxHeaderListSize:
		c.peerList = int(min(v, 1<<30))
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
		return c.spend(1, "PING acks", 0) // we send no PING
	}
	c.out = AppendFrame(c.out, FramePing, FlagAck, 0, f.Payload)
	return c.spend(1, "PING", 0)
}

func (c *Conn) onGoAway(f Frame) error {
	if f.Stream != 0 {
		return &ConnError{ProtocolError, f.Stream, "GOAWAY on a stream"}
	}
	if len(f.Payload) < 8 {
		return &ConnError{FrameSizeError, 0, "GOAWAY of a wrong size"}
	}
	last := binary.BigEndian.Uint32(f.Payload) & largestWindow
	if c.peerAway && last > c.peerLast {
		return &ConnError{ProtocolError, 0, "GOAWAY with a rising last stream"}
	}
	c.peerAway, c.peerLast = true, last
	c.events = append(c.events, Event{Kind: GoAwayReceived, LastStream: last, Code: ErrCode(binary.BigEndian.Uint32(f.Payload[4:]))})
	if c.client {
		for id, s := range c.streams {
			if id > last {
				c.drop(s)
			}
		}
	}
	return c.spend(1, "GOAWAY", 0)
}

func (c *Conn) onWindowUpdate(f Frame) error {
	if len(f.Payload) != 4 {
		return &ConnError{FrameSizeError, f.Stream, "WINDOW_UPDATE of a wrong size"}
	}
	n := int64(binary.BigEndian.Uint32(f.Payload) & largestWindow)
	if f.Stream == 0 {
		if n == 0 {
			return &ConnError{ProtocolError, 0, "WINDOW_UPDATE of 0"}
		}
		if c.sendWin += n; c.sendWin > largestWindow {
			return &ConnError{FlowControlError, 0, "window above its largest size"}
		}
		c.flush()
		return c.spend(0.1, "WINDOW_UPDATE", 0)
	}
	if c.idle(f.Stream) {
		return &ConnError{ProtocolError, f.Stream, "WINDOW_UPDATE on an idle stream"}
	}
	s := c.streams[f.Stream]
	if s == nil {
		return c.spend(0.1, "WINDOW_UPDATE", f.Stream)
	}
	if n == 0 {
		return c.streamError(s, ProtocolError, "WINDOW_UPDATE of 0")
	}
	if s.sendWin += n; s.sendWin > largestWindow {
		return c.streamError(s, FlowControlError, "window above its largest size")
	}
	c.flush()
	return c.spend(0.1, "WINDOW_UPDATE", f.Stream)
}
