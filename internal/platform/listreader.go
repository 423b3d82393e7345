package platform

import (
	"encoding/json"
	"errors"
	"fmt"

	"whinrun/internal/h1"
)

// maxListBytes bounds the bytes of one object of a watch.
const maxListBytes = 4 << 20

var errWatchEnded = errors.New("the watch has ended")

// listReader reads the answer of a watch: a chunked body of JSON objects, each on a line or on several, and empty lines
// while nothing changes. Pieces may end anywhere. It is free of I/O.
type listReader struct {
	onList      func(EndpointList)
	onHeartbeat func() // an empty line

	head     *h1.Response
	headBuf  []byte // of the head, while it is not whole
	chunks   h1.Chunks
	splitter objectSplitter
}

func (r *listReader) read(b []byte) error {
	if r.head == nil {
		r.headBuf = append(r.headBuf, b...)
		head, n, err := h1.ParseResponse(r.headBuf)
		if err != nil || n == 0 {
			return err
		}
		if head.Status != 200 {
			return fmt.Errorf("status %d", head.Status)
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

func (r *listReader) handleObject(text []byte) error {
	var l EndpointList
	if err := json.Unmarshal(text, &l); err != nil {
		return fmt.Errorf("an object of the list: %w", err)
	}
	r.onList(l)
	return nil
}

// objectSplitter cuts a stream of bytes into JSON objects by their braces, however they are laid out. What an object holds is
// for the JSON parser to judge.
type objectSplitter struct {
	text          []byte // of the object that is not whole
	depth         int
	inString      bool // in a string
	escaped       bool // behind a backslash in it
	lineHasObject bool // something but space stands on this line
}

func (r *objectSplitter) read(b []byte, object func([]byte) error, empty func()) error {
	for _, c := range b {
		if r.depth == 0 {
			switch c {
			case '{':
			case '\n':
				if !r.lineHasObject {
					empty()
				}
				r.lineHasObject = false
				continue
			case ' ', '\t', '\r':
				continue
			default:
				return fmt.Errorf("byte %q between two objects of a list", c)
			}
		}
		r.text, r.lineHasObject = append(r.text, c), true
		if len(r.text) > maxListBytes {
			return fmt.Errorf("an object of more than %d bytes", maxListBytes)
		}
		if !r.step(c) {
			continue
		}
		text := r.text
		r.text = nil
		if err := object(text); err != nil {
			return err
		}
	}
	return nil
}

// step takes a byte of an object and tells whether it is the last one.
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
