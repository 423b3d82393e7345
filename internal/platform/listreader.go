package platform

import (
	"encoding/json"
	"errors"
	"fmt"

	"whinrun/internal/h1"
)

// maxListBytes is the largest accepted size of one object of a watch, in bytes.
const maxListBytes = 4 << 20

// errWatchEnded reports that discovery ended the response of a watch.
var errWatchEnded = errors.New("end of response")

// listReader parses the response of a watch. The body is a sequence of JSON objects, each on one or several
// lines, with empty lines as heartbeats while nothing changes. The data may be cut anywhere. listReader does
// no I/O.
type listReader struct {
	// onList is called for each list.
	onList func(EndpointList)
	// onHeartbeat is called for each empty line.
	onHeartbeat func()

	// head is the response head, nil until it is complete.
	head *h1.Response
	// headBuf holds the bytes of an incomplete head.
	headBuf  []byte
	chunks   h1.ChunkDecoder
	splitter objectSplitter
}

// read consumes the next bytes of the response. It returns errWatchEnded at the end of the body.
func (r *listReader) read(b []byte) error {
	if r.head == nil {
		r.headBuf = append(r.headBuf, b...)
		head, n, err := h1.ParseResponse(r.headBuf)
		if err != nil || n == 0 {
			return err
		}
		if head.Status != 200 {
			return fmt.Errorf("unexpected status %d", head.Status)
		}
		r.head, b, r.headBuf = head, r.headBuf[n:], nil
	}
	if r.head.Chunked {
		var err error
		if b, _, err = r.chunks.Read(nil, b); err != nil {
			return err
		}
	}
	if err := r.splitter.read(b, r.handleObject, r.onHeartbeat); err != nil {
		return err
	}
	if r.chunks.Done() {
		return errWatchEnded
	}
	return nil
}

// handleObject decodes a complete object and passes the list on.
func (r *listReader) handleObject(text []byte) error {
	var l EndpointList
	if err := json.Unmarshal(text, &l); err != nil {
		return fmt.Errorf("decode list object: %w", err)
	}
	r.onList(l)
	return nil
}

// objectSplitter splits a stream of bytes into JSON objects by counting braces, whatever their layout. The
// JSON parser validates the objects themselves.
type objectSplitter struct {
	// text holds the bytes of an incomplete object.
	text []byte
	// depth is the number of open braces and brackets.
	depth int
	// inString tells that the next byte is inside a JSON string.
	inString bool
	// escaped tells that the previous byte was a backslash inside a string.
	escaped bool
	// lineHasObject tells that the current line contains bytes of an object, so its end is no heartbeat.
	lineHasObject bool
}

// read consumes bytes, calls onObject for each complete object and onEmptyLine for each empty line between
// objects.
func (r *objectSplitter) read(b []byte, onObject func([]byte) error, onEmptyLine func()) error {
	for _, c := range b {
		if r.depth == 0 {
			switch c {
			case '{':
			case '\n':
				if !r.lineHasObject {
					onEmptyLine()
				}
				r.lineHasObject = false
				continue
			case ' ', '\t', '\r':
				continue
			default:
				return fmt.Errorf("unexpected byte %q between two list objects", c)
			}
		}
		r.text, r.lineHasObject = append(r.text, c), true
		if len(r.text) > maxListBytes {
			return fmt.Errorf("list object exceeds %d bytes", maxListBytes)
		}
		if !r.step(c) {
			continue
		}
		text := r.text
		r.text = nil
		if err := onObject(text); err != nil {
			return err
		}
	}
	return nil
}

// step consumes one byte of an object and reports whether it is the last one.
func (r *objectSplitter) step(c byte) bool {
	switch {
	case r.escaped:
		r.escaped = false
	case r.inString:
		r.escaped, r.inString = c == '\\', c != '"'
	case c == '"':
		r.inString = true
	case c == '{' || c == '[':
		r.depth++
	case c == '}' || c == ']':
		r.depth--
	}
	return r.depth == 0
}
