// Package h1 parses and writes HTTP/1.1 messages (RFC 9112) for clients and servers. It does no I/O: callers pass bytes in
// and get heads and bodies back. The parser is strict where a lenient one would allow request smuggling: lines must end in
// CRLF, at most one Content-Length is allowed, folded lines are rejected, and Content-Length together with
// Transfer-Encoding is rejected. All buffered data is bounded.
package h1

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// Limits of a message head.
const (
	// MaxHeadBytes is the maximum size of a head in bytes, with the empty line that ends it.
	MaxHeadBytes = 8 << 10
	// MaxFields is the maximum number of field lines of a head.
	MaxFields = 64
)

// Errors of a malformed or unsupported message. Returned errors are one of these or wrap one with a detail.
var (
	// ErrSyntax reports bytes that are not valid HTTP/1.1.
	ErrSyntax = errors.New("not HTTP/1.1")
	// ErrTooLarge reports a head, a chunk line or a trailer line above its limit.
	ErrTooLarge = errors.New("head too large")
	// ErrLength reports an invalid, repeated or contradictory body length.
	ErrLength = errors.New("no one length")
	// ErrCoding reports a transfer coding that is not supported.
	ErrCoding = errors.New("transfer coding not taken")
)

// Field is one header field. Name is in lower case.
type Field struct{ Name, Value string }

// Fields are the header fields of a head, in the order received.
type Fields []Field

// Single returns the value of a field that may occur at most once. ok is false if it occurs more often. The value is ""
// if the field is absent.
func (f Fields) Single(name string) (value string, ok bool) {
	return f.Get(name), f.count(name) <= 1
}

// Get returns the first value of the field with that name, in lower case, or "" if there is none.
func (f Fields) Get(name string) string {
	for i := range f {
		if f[i].Name == name {
			return f[i].Value
		}
	}
	return ""
}

// count returns how often a field occurs.
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
	// Method and Target come from the request line.
	Method, Target string
	// Fields are the header fields.
	Fields Fields
	// Length is the size of the body in bytes, 0 if none is stated.
	Length int64
	// Close reports that the connection ends after this request.
	Close bool
}

// Response is the head of a response.
type Response struct {
	// Status is the status code.
	Status int
	// Fields are the header fields.
	Fields Fields
	// Length is the size of the body in bytes. It is -1 if the body is chunked or lasts until the connection ends.
	Length int64
	// Chunked reports that the body has the chunked transfer coding.
	Chunked bool
	// Close reports that the connection ends after this response.
	Close bool
}

// splitHead splits a complete head at the start of buf into its first line and its field lines. n is the size of the head,
// or 0 while it is incomplete.
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

// validateHeadBytes rejects bytes that cannot occur in a head, even if the head is incomplete. Without this check, the
// caller would wait for the end of a head that can never become valid.
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

// cutLine splits b behind its first line. b must contain a CRLF, which is part of neither result.
func cutLine(b []byte) (first, rest []byte) {
	at := bytes.Index(b, []byte("\r\n"))
	return b[:at], b[at+2:]
}

// isToken reports whether b is a token (RFC 9110 section 5.6.2).
func isToken(b []byte) bool {
	for _, c := range b {
		if !tokenByte[c] {
			return false
		}
	}
	return len(b) > 0
}

// tokenByte marks the bytes that may occur in a token.
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

// parseFields parses field lines, each of which ends in CRLF.
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

// contentLength parses the Content-Length field. ok is false if there is none.
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

// hasConnectionClose reports whether a Connection field lists the option close.
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

// ParseRequest parses the head of a request at the start of buf. n is the size of the head, or 0 while it is incomplete.
// Requests with a Transfer-Encoding are rejected, so the body length is always known. The error wraps ErrSyntax,
// ErrTooLarge, ErrLength or ErrCoding.
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

// ParseStatus parses only the status line of a response. ok is false if the line is incomplete or invalid.
func ParseStatus(b []byte) (status int, ok bool) {
	end := bytes.Index(b, []byte("\r\n"))
	if end < 0 {
		return 0, false
	}
	status, err := parseStatusLine(b[:end])
	return status, err == nil
}

// parseStatusLine returns the status code of a status line without its CRLF.
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

// ParseResponse parses the head of a response at the start of buf. n is the size of the head, or 0 while it is incomplete.
// The request must not have been a HEAD request, because the body length is derived without knowing the method. The error
// wraps ErrSyntax, ErrTooLarge, ErrLength or ErrCoding.
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

// setBodyFraming sets Length, Chunked and Close from the head (RFC 9112 section 6.3). http10 reports an HTTP/1.0 response.
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

// ChunkDecoder decodes a body with the chunked transfer coding (RFC 9112 section 7.1). Its zero value is ready to use.
type ChunkDecoder struct {
	// remaining is the number of bytes left of the current chunk, with the CRLF after it.
	remaining int64
	// done is set when the trailer section has ended.
	done bool
	// partialLine holds the part of a line that has been received so far.
	partialLine []byte
	// inTrailer is set when the last chunk has been received.
	inTrailer bool
}

// Done reports whether the body and its trailer section have ended.
func (c *ChunkDecoder) Done() bool { return c.done }

// Limits of a chunked body, in bytes.
const (
	// maxChunkLineBytes is the maximum size of a chunk size line and of a trailer line, with its CRLF.
	maxChunkLineBytes = 256
	// maxChunkBytes is the maximum size of the data of one chunk.
	maxChunkBytes = 16 << 20
)

// Read decodes src, appends body bytes to dst and returns the extended dst as body. rest holds the bytes of src that follow
// the end of the body. The error wraps ErrSyntax, ErrTooLarge or ErrLength.
func (c *ChunkDecoder) Read(dst, src []byte) (body, rest []byte, err error) {
	for len(src) > 0 && !c.done {
		if c.remaining > 2 {
			n := min(c.remaining-2, int64(len(src)))
			dst = append(dst, src[:n]...)
			src = src[n:]
			c.remaining -= n
			continue
		}
		if c.remaining > 0 { // the CRLF after the data of a chunk
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

// parseLine parses the complete line in partialLine: a chunk size line, or a line of the trailer section.
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

// AppendHead appends a head to dst: a start line without its CRLF, fields given as pairs of name and value, and the empty
// line.
func AppendHead(dst []byte, start string, pairs ...string) []byte {
	dst = append(append(dst, start...), "\r\n"...)
	for i := 0; i+1 < len(pairs); i += 2 {
		dst = append(append(dst, pairs[i]...), ": "...)
		dst = append(append(dst, pairs[i+1]...), "\r\n"...)
	}
	return append(dst, "\r\n"...)
}
