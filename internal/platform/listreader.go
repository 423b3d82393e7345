package platform

import (
	"encoding/json"
	"errors"
	"fmt"

	"whinrun/internal/h1"
)

// maxList bounds the bytes of one object of a watch.
const maxList = 4 << 20

var errWatchEnds = errors.New("the watch has ended")

// listReader reads the answer of a watch: a chunked body of JSON objects, each on a line or on several, and empty lines
// while nothing changes. Pieces may end anywhere. It is free of I/O.
type listReader struct {
	told func(EndpointList)
	beat func() // an empty line

	head   *h1.Response
	in     []byte // of the head, while it is not whole
	chunks h1.ChunkDecoder
	object objectReader
}

func (r *listReader) read(b []byte) error {
	if r.head == nil {
		r.in = append(r.in, b...)
		head, n, err := h1.ParseResponse(r.in)
		if err != nil || n == 0 {
			return err
		}
		if head.Status != 200 {
			return fmt.Errorf("status %d", head.Status)
		}
		r.head, b, r.in = head, r.in[n:], nil
	}
	if r.head.Chunked {
		var err error
		if b, _, err = r.chunks.Read(nil, b); err != nil {
			return err
		}
	}
	if err := r.object.read(b, r.line, r.beat); err != nil {
		return err
	}
	if r.chunks.Done() {
		return errWatchEnds
	}
	return nil
}

func (r *listReader) line(text []byte) error {
	var l EndpointList
	if err := json.Unmarshal(text, &l); err != nil {
		return fmt.Errorf("an object of the list: %w", err)
	}
	r.told(l)
	return nil
}

// objectReader cuts a stream of bytes into JSON objects by their braces, however they are laid out. What an object holds is
// for the JSON parser to judge.
type objectReader struct {
	text   []byte // of the object that is not whole
	depth  int
	quoted bool // in a string
	escape bool // behind a backslash in it
	dirty  bool // something but space stands on this line
}

func (r *objectReader) read(b []byte, object func([]byte) error, empty func()) error {
	for _, c := range b {
		if r.depth == 0 {
			switch c {
			case '{':
			case '\n':
				if !r.dirty {
					empty()
				}
				r.dirty = false
				continue
			case ' ', '\t', '\r':
				continue
			default:
				return fmt.Errorf("byte %q between two objects of a list", c)
			}
		}
		r.text, r.dirty = append(r.text, c), true
		if len(r.text) > maxList {
			return fmt.Errorf("an object of more than %d bytes", maxList)
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
func (r *objectReader) step(c byte) bool {
	switch {
	case r.escape:
		r.escape = false
	case r.quoted:
		r.escape, r.quoted = c == '\\', c != '"'
	case c == '"':
		r.quoted = true
	case c == '{' || c == '[':
		r.depth++
	case c == '}' || c == ']':
		r.depth--
	}
	return r.depth == 0
}
