// Package h1 is HTTP/1.1 (RFC 9112) for both sides of a connection, free of I/O: bytes go in, heads and bodies come
// out. It is strict where leniency lets two readers see two different messages: one form of line ends, one length at
// most, no folded lines, no length beside a transfer coding. Whatever it keeps is bounded.
package h1

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// Bounds on a head, in bytes and lines.
const (
	MaxHeadBytes = 8 << 10
	MaxFields    = 64
)

// Faults of a message. Each wraps into an error that names the place.
var (
	ErrSyntax   = errors.New("not HTTP/1.1")
	ErrTooLarge = errors.New("head too large")
	ErrLength   = errors.New("no one length")
	ErrCoding   = errors.New("transfer coding not taken")
)

// Field is one line of a head. Name is in lower case.
type Field struct{ Name, Value string }

// Fields are the lines of a head, in order.
type Fields []Field

// Single returns the value of a field that must stand once at most; ok is false where it stands more often.
func (f Fields) Single(name string) (value string, ok bool) {
	return f.Get(name), f.count(name) <= 1
}

// Get returns the first value of a field, "" if there is none.
func (f Fields) Get(name string) string {
	for i := range f {
		if f[i].Name == name {
			return f[i].Value
		}
	}
	return ""
}

// count tells how often a field stands.
func (f Fields) count(name string) (n int) {
	for i := range f {
		if f[i].Name == name {
			n++
		}
	}
	return n
}

// Request is the head of a request.
type Request struct {
	Method, Target string
	Fields         Fields
	Length         int64 // of the body
	Close          bool  // the client ends the connection after it
}

// Response is the head of a response.
type Response struct {
	Status  int
	Fields  Fields
	Length  int64 // of the body; -1: until the connection ends
	Chunked bool
	Close   bool
}

// splitHead finds the end of a head, and cuts its first line off. n is 0 while it is not all there.
func splitHead(buf []byte) (first, rest []byte, n int, err error) {
	end := bytes.Index(buf, []byte("\r\n\r\n"))
	if end < 0 && len(buf) > MaxHeadBytes || end+4 > MaxHeadBytes {
		return nil, nil, 0, ErrTooLarge
	}
	if end < 0 {
		return nil, nil, 0, validateHeadBytes(buf)
	}
	if err := validateHeadBytes(buf[:end+2]); err != nil {
		return nil, nil, 0, err
	}
	first, rest = cutLine(buf[:end+2])
	return first, rest, end + 4, nil
}

// validateHeadBytes tells what can be no head whatever follows. Guards against noise that would else be waited on to its end.
func validateHeadBytes(b []byte) error {
	for i, c := range b {
		switch {
		case c == '\n' && (i == 0 || b[i-1] != '\r'):
			return fmt.Errorf("%w: a bare line feed", ErrSyntax)
		case i > 0 && b[i-1] == '\r' && c != '\n':
			return fmt.Errorf("%w: a bare carriage return", ErrSyntax)
		case c < ' ' && c != '\t' && c != '\r' && c != '\n' || c >= 0x7f:
			return fmt.Errorf("%w: byte %#x in a head", ErrSyntax, c)
		}
	}
	return nil
}

// cutLine cuts the first line off.
func cutLine(b []byte) (first, rest []byte) {
	at := bytes.Index(b, []byte("\r\n"))
	return b[:at], b[at+2:]
}

func isToken(b []byte) bool {
	for _, c := range b {
		if !tokenByte[c] {
			return false
		}
	}
	return len(b) > 0
}

var tokenByte = func() (t [256]bool) {
	for c := '0'; c <= '9'; c++ {
		t[c] = true
	}
	for c := 'a'; c <= 'z'; c++ {
		t[c], t[c-'a'+'A'] = true, true
	}
	for _, c := range "!#$%&'*+-.^_`|~" {
		t[c] = true
	}
	return t
}()

func parseFields(lines []byte) (Fields, error) {
	var all Fields
	for len(lines) > 0 {
		var line []byte
		line, lines = cutLine(lines)
		at := bytes.IndexByte(line, ':')
		if at < 0 || !isToken(line[:at]) {
			return nil, fmt.Errorf("%w: a head line without a name", ErrSyntax)
		}
		if len(all) == MaxFields {
			return nil, ErrTooLarge
		}
		all = append(all, Field{string(bytes.ToLower(line[:at])), string(bytes.Trim(line[at+1:], " \t"))})
	}
	return all, nil
}

// contentLength reads the one length of a body; ok is false where none is stated.
func (f Fields) contentLength() (n int64, ok bool, err error) {
	switch f.count("content-length") {
	case 0:
		return 0, false, nil
	case 1:
	default:
		return 0, false, fmt.Errorf("%w: several are stated", ErrLength)
	}
	text := f.Get("content-length")
	for _, c := range []byte(text) {
		if c < '0' || c > '9' {
			return 0, false, fmt.Errorf("%w: %.20q", ErrLength, text)
		}
	}
	n, perr := strconv.ParseInt(text, 10, 64)
	if perr != nil {
		return 0, false, fmt.Errorf("%w: %.20q", ErrLength, text)
	}
	return n, true, nil
}

func (f Fields) hasConnectionClose() bool {
	for i := range f {
		if f[i].Name == "connection" {
			for _, t := range bytes.Split([]byte(f[i].Value), []byte(",")) {
				if bytes.EqualFold(bytes.TrimSpace(t), []byte("close")) {
					return true
				}
			}
		}
	}
	return false
}

// ParseRequest reads the head of a request from the front of b; n is its size, 0 while it is not all there. No
// transfer coding is taken: a body's length is stated.
func ParseRequest(buf []byte) (r *Request, n int, err error) {
	first, rest, n, err := splitHead(buf)
	if n == 0 || err != nil {
		return nil, 0, err
	}
	parts := bytes.Split(first, []byte(" "))
	if len(parts) != 3 || !isToken(parts[0]) || len(parts[1]) == 0 {
		return nil, 0, fmt.Errorf("%w: no request line", ErrSyntax)
	}
	if string(parts[2]) != "HTTP/1.1" && string(parts[2]) != "HTTP/1.0" {
		return nil, 0, fmt.Errorf("%w: version %.12q", ErrSyntax, parts[2])
	}
	r = &Request{Method: string(parts[0]), Target: string(parts[1])}
	if r.Fields, err = parseFields(rest); err != nil {
		return nil, 0, err
	}
	if r.Fields.count("transfer-encoding") > 0 {
		return nil, 0, ErrCoding
	}
	if r.Length, _, err = r.Fields.contentLength(); err != nil {
		return nil, 0, err
	}
	r.Close = r.Fields.hasConnectionClose() || string(parts[2]) == "HTTP/1.0"
	return r, n, nil
}

// ParseStatus reads the first line of a response alone; ok is false while it is not all there, or is none.
func ParseStatus(b []byte) (status int, ok bool) {
	end := bytes.Index(b, []byte("\r\n"))
	if end < 0 {
		return 0, false
	}
	status, err := parseStatusLine(b[:end])
	return status, err == nil
}

func parseStatusLine(line []byte) (int, error) {
	bad := fmt.Errorf("%w: no status line", ErrSyntax)
	if len(line) < 12 || string(line[:7]) != "HTTP/1." || line[7] != '1' && line[7] != '0' || line[8] != ' ' || len(line) > 12 && line[12] != ' ' {
		return 0, bad
	}
	status := 0
	for _, c := range line[9:12] {
		if c < '0' || c > '9' {
			return 0, bad
		}
		status = 10*status + int(c-'0')
	}
	if status < 100 {
		return 0, bad
	}
	return status, nil
}

// ParseResponse reads the head of a response to a request that was no HEAD; n is its size, 0 while it is not all there.
func ParseResponse(buf []byte) (r *Response, n int, err error) {
	const start = "HTTP/1."
	if m := min(len(buf), len(start)); string(buf[:m]) != start[:m] {
		return nil, 0, fmt.Errorf("%w: no status line", ErrSyntax)
	}
	first, rest, n, err := splitHead(buf)
	if n == 0 || err != nil {
		return nil, 0, err
	}
	r = &Response{}
	if r.Status, err = parseStatusLine(first); err != nil {
		return nil, 0, err
	}
	if r.Fields, err = parseFields(rest); err != nil {
		return nil, 0, err
	}
	return r, n, r.setBodyFraming(string(first[:8]) == "HTTP/1.0")
}

// setBodyFraming tells how long the body is (RFC 9112 section 6.3).
func (r *Response) setBodyFraming(http10 bool) error {
	size, stated, err := r.Fields.contentLength()
	if err != nil {
		return err
	}
	coding := r.Fields.count("transfer-encoding")
	r.Close = http10 || r.Fields.hasConnectionClose()
	switch {
	case coding > 0 && stated:
		return fmt.Errorf("%w: beside a transfer coding", ErrLength)
	case coding > 1 || coding == 1 && !bytes.EqualFold([]byte(r.Fields.Get("transfer-encoding")), []byte("chunked")):
		return ErrCoding
	case r.Status < 200 || r.Status == 204 || r.Status == 304:
	case coding == 1:
		r.Chunked, r.Length = true, -1
	case stated:
		r.Length = size
	default:
		r.Length, r.Close = -1, true
	}
	return nil
}

// ChunkDecoder reads a chunked body (RFC 9112 section 7.1).
type ChunkDecoder struct {
	remaining   int64 // of the chunk, with its line end
	done        bool
	partialLine []byte // a line that is not all there
	inTrailer   bool   // in the trailer
}

// Done tells that the body has ended.
func (c *ChunkDecoder) Done() bool { return c.done }

// maxChunkLine bounds the line ahead of a chunk and each of the trailer; maxChunk one chunk.
const (
	maxChunkLineBytes = 256
	maxChunkBytes     = 16 << 20
)

// Read takes bytes and appends the body's to out; rest is what follows the body.
func (c *ChunkDecoder) Read(dst, src []byte) (body, rest []byte, err error) {
	for len(src) > 0 && !c.done {
		if c.remaining > 2 {
			n := min(c.remaining-2, int64(len(src)))
			dst = append(dst, src[:n]...)
			src = src[n:]
			c.remaining -= n
			continue
		}
		if c.remaining > 0 { // the line end behind a chunk
			if want := "\r\n"[2-c.remaining]; src[0] != want {
				return dst, nil, fmt.Errorf("%w: no line end behind a chunk", ErrSyntax)
			}
			c.remaining--
			src = src[1:]
			continue
		}
		at := bytes.IndexByte(src, '\n')
		if at < 0 {
			c.partialLine = append(c.partialLine, src...)
			src = nil
		} else {
			c.partialLine = append(c.partialLine, src[:at+1]...)
			src = src[at+1:]
		}
		if len(c.partialLine) > maxChunkLineBytes {
			return dst, nil, ErrTooLarge
		}
		if at < 0 {
			break
		}
		if err := c.parseLine(); err != nil {
			return dst, nil, err
		}
		c.partialLine = c.partialLine[:0]
	}
	return dst, src, nil
}

// parseLine takes the line ahead of a chunk, or one of the trailer.
func (c *ChunkDecoder) parseLine() error {
	line, ok := bytes.CutSuffix(c.partialLine, []byte("\r\n"))
	if !ok {
		return fmt.Errorf("%w: a bare line feed", ErrSyntax)
	}
	if c.inTrailer {
		c.done = len(line) == 0
		return nil
	}
	if at := bytes.IndexByte(line, ';'); at >= 0 {
		line = bytes.TrimRight(line[:at], " \t")
	}
	n, err := strconv.ParseUint(string(line), 16, 63)
	if err != nil || n > maxChunkBytes || line[0] == '+' {
		return fmt.Errorf("%w: chunk size %.20q", ErrLength, line)
	}
	if c.inTrailer = n == 0; !c.inTrailer {
		c.remaining = int64(n) + 2
	}
	return nil
}

// AppendHead appends a start line, fields as pairs of name and value, and the empty line.
func AppendHead(dst []byte, start string, pairs ...string) []byte {
	dst = append(append(dst, start...), "\r\n"...)
	for i := 0; i+1 < len(pairs); i += 2 {
		dst = append(append(dst, pairs[i]...), ": "...)
		dst = append(append(dst, pairs[i+1]...), "\r\n"...)
	}
	return append(dst, "\r\n"...)
}
