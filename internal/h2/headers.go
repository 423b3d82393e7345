package h2

import (
	"encoding/binary"
	"errors"

	"golang.org/x/net/http2/hpack"
)

// This file contains header blocks: their frames, their decoding, and the streams that they open.

// maxKeptHeaderBlock is the largest buffer for header blocks that a connection keeps for the next block, in bytes.
const maxKeptHeaderBlock = 2 << 10

// onHeaders handles HEADERS, which starts a header block.
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
	f.Payload = nil // It is part of an input buffer.
	c.blockFrame, c.blockFrameCount, c.blockStart = f, 1, c.now
	if f.Flags&FlagEndHeaders == 0 {
		c.inBlock = true
		return nil
	}
	return c.handleHeaderBlock()
}

// onContinuation handles CONTINUATION, which continues a header block.
func (c *Conn) onContinuation(f Frame) error {
	if !c.inBlock {
		return &ConnError{ProtocolError, f.Stream, "CONTINUATION without HEADERS"}
	}
	c.blockFrameCount++
	// These limits guard against CONTINUATION floods, both of empty frames and of blocks far above the largest allowed
	// header section.
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

// addField is called by the decoder for each field. It counts every field and keeps those within Config.MaxHeaderList.
func (c *Conn) addField(f hpack.HeaderField) {
	if c.headerListSize += fieldSize(f); c.headerListSize <= c.cfg.MaxHeaderList {
		c.fields = append(c.fields, f)
	}
}

// handleHeaderBlock decodes a complete header block and passes it to its stream. The block is decoded even if the stream
// is gone, because that keeps the compression state of both sides the same.
func (c *Conn) handleHeaderBlock() error {
	f := c.blockFrame
	c.fields, c.headerListSize = nil, 0
	if _, err := c.decoder.Write(c.headerBlock); err != nil {
		return &ConnError{CompressionError, f.Stream, err.Error()}
	}
	if err := c.decoder.Close(); err != nil {
		return &ConnError{CompressionError, f.Stream, err.Error()}
	}
	if cap(c.headerBlock) > maxKeptHeaderBlock {
		c.headerBlock = nil
	}
	end := f.Flags&FlagEndStream != 0
	if c.client && c.isCompleted(f.Stream) {
		return &ConnError{StreamClosed, f.Stream, "HEADERS on a stream that the peer has ended"}
	}
	s := c.streams[f.Stream]
	if s == nil {
		if c.client { // the block crossed our RST_STREAM
			return c.chargeAbuse(0.25, "HEADERS on closed streams", f.Stream)
		}
		return c.openPeerStream(f.Stream, end)
	}
	if s.endReceived {
		return c.streamError(s, StreamClosed, "HEADERS after END_STREAM")
	}
	return c.handleFurtherHeaders(s, end)
}

// openPeerStream opens the stream of a request on a server. Streams above the limit are refused with REFUSED_STREAM, which
// tells the client that they were not processed.
func (c *Conn) openPeerStream(id uint32, end bool) error {
	c.lastPeerID = id
	if c.goAwaySent { // streams after our GOAWAY are ignored (RFC 9113 section 6.8)
		return nil
	}
	if c.peerOpen >= int(c.cfg.MaxStreams) {
		c.writeReset(id, RefusedStream)
		return c.chargeAbuse(1, "streams above the limit", id)
	}
	s := &stream{id: id, sendWindow: c.peerInitialWindow, recvWindow: int64(c.cfg.StreamWindow), contentLength: -1, headersReceived: true, openedAt: c.now}
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

// handleFurtherHeaders handles a section on a stream that is already open: a 1xx response, a final response, or trailers.
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
