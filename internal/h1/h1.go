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

// head finds the end of a head, and cuts its first line off. n is 0 while it is not all there.
func head(b []byte) (first, rest []byte, n int, err error) {
	end := bytes.Index(b, []byte("\r\n\r\n"))
	if end < 0 && len(b) > MaxHeadBytes || end+4 > MaxHeadBytes {
		return nil, nil, 0, ErrTooLarge
	}
	if end < 0 {
		return nil, nil, 0, early(b)
	}
	if err := early(b[:end+2]); err != nil {
		return nil, nil, 0, err
	}
	first, rest = line(b[:end+2])
	return first, rest, end + 4, nil
}

// early tells what can be no head whatever follows. Guards against noise that would else be waited on to its end.
func early(b []byte) error {
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

// line cuts the first line off.
func line(b []byte) (first, rest []byte) {
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

func fields(b []byte) (Fields, error) {
	var all Fields
	for len(b) > 0 {
		var l []byte
		l, b = line(b)
		at := bytes.IndexByte(l, ':')
		if at < 0 || !isToken(l[:at]) {
			return nil, fmt.Errorf("%w: a head line without a name", ErrSyntax)
		}
		if len(all) == MaxFields {
			return nil, ErrTooLarge
		}
		all = append(all, Field{string(bytes.ToLower(l[:at])), string(bytes.Trim(l[at+1:], " \t"))})
	}
	return all, nil
}

// length reads the one length of a body; ok is false where none is stated.
func (f Fields) length() (n int64, ok bool, err error) {
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

func (f Fields) closes() bool {
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
func ParseRequest(b []byte) (r *Request, n int, err error) {
	first, rest, n, err := head(b)
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
	if r.Fields, err = fields(rest); err != nil {
		return nil, 0, err
	}
	if r.Fields.count("transfer-encoding") > 0 {
		return nil, 0, ErrCoding
	}
	if r.Length, _, err = r.Fields.length(); err != nil {
		return nil, 0, err
	}
	r.Close = r.Fields.closes() || string(parts[2]) == "HTTP/1.0"
	return r, n, nil
}

// ParseStatus reads the first line of a response alone; ok is false while it is not all there, or is none.
func ParseStatus(b []byte) (status int, ok bool) {
	end := bytes.Index(b, []byte("\r\n"))
	if end < 0 {
		return 0, false
	}
	status, err := statusLine(b[:end])
	return status, err == nil
}

func statusLine(l []byte) (int, error) {
	bad := fmt.Errorf("%w: no status line", ErrSyntax)
	if len(l) < 12 || string(l[:7]) != "HTTP/1." || l[7] != '1' && l[7] != '0' || l[8] != ' ' || len(l) > 12 && l[12] != ' ' {
		return 0, bad
	}
	status := 0
	for _, c := range l[9:12] {
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
func ParseResponse(b []byte) (r *Response, n int, err error) {
	const start = "HTTP/1."
	if m := min(len(b), len(start)); string(b[:m]) != start[:m] {
		return nil, 0, fmt.Errorf("%w: no status line", ErrSyntax)
	}
	first, rest, n, err := head(b)
	if n == 0 || err != nil {
		return nil, 0, err
	}
	r = &Response{}
	if r.Status, err = statusLine(first); err != nil {
		return nil, 0, err
	}
	if r.Fields, err = fields(rest); err != nil {
		return nil, 0, err
	}
	return r, n, r.frame(string(first[:8]) == "HTTP/1.0")
}

// frame tells how long the body is (RFC 9112 section 6.3).
func (r *Response) frame(old bool) error {
	size, stated, err := r.Fields.length()
	if err != nil {
		return err
	}
	coding := r.Fields.count("transfer-encoding")
	r.Close = old || r.Fields.closes()
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
	left  int64 // of the chunk, with its line end
	done  bool
	lines []byte // a line that is not all there
	last  bool   // in the trailer
}

// Done tells that the body has ended.
func (c *ChunkDecoder) Done() bool { return c.done }

// maxChunkLine bounds the line ahead of a chunk and each of the trailer; maxChunk one chunk.
const (
	maxChunkLine = 256
	maxChunk     = 16 << 20
)

// Read takes bytes and appends the body's to out; rest is what follows the body.
func (c *ChunkDecoder) Read(out, b []byte) (body, rest []byte, err error) {
	for len(b) > 0 && !c.done {
		if c.left > 2 {
			n := min(c.left-2, int64(len(b)))
			out = append(out, b[:n]...)
			b = b[n:]
			c.left -= n
			continue
		}
		if c.left > 0 { // the line end behind a chunk
			if want := "\r\n"[2-c.left]; b[0] != want {
				return out, nil, fmt.Errorf("%w: no line end behind a chunk", ErrSyntax)
			}
			c.left--
			b = b[1:]
			continue
		}
		at := bytes.IndexByte(b, '\n')
		if at < 0 {
			c.lines = append(c.lines, b...)
			b = nil
		} else {
			c.lines = append(c.lines, b[:at+1]...)
			b = b[at+1:]
		}
		if len(c.lines) > maxChunkLine {
			return out, nil, ErrTooLarge
		}
		if at < 0 {
			break
		}
		if err := c.size(); err != nil {
			return out, nil, err
		}
		c.lines = c.lines[:0]
	}
	return out, b, nil
}

// size takes the line ahead of a chunk, or one of the trailer.
func (c *ChunkDecoder) size() error {
	l, ok := bytes.CutSuffix(c.lines, []byte("\r\n"))
	if !ok {
		return fmt.Errorf("%w: a bare line feed", ErrSyntax)
	}
	if c.last {
		c.done = len(l) == 0
		return nil
	}
	if at := bytes.IndexByte(l, ';'); at >= 0 {
		l = bytes.TrimRight(l[:at], " \t")
	}
	n, err := strconv.ParseUint(string(l), 16, 63)
	if err != nil || n > maxChunk || l[0] == '+' {
		return fmt.Errorf("%w: chunk size %.20q", ErrLength, l)
	}
	if c.last = n == 0; !c.last {
		c.left = int64(n) + 2
	}
	return nil
}

// AppendHead appends a start line, fields as pairs of name and value, and the empty line.
func AppendHead(b []byte, start string, pairs ...string) []byte {
	b = append(append(b, start...), "\r\n"...)
	for i := 0; i+1 < len(pairs); i += 2 {
		b = append(append(b, pairs[i]...), ": "...)
		b = append(append(b, pairs[i+1]...), "\r\n"...)
	}
	return append(b, "\r\n"...)
}
