package h1

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
)

func TestRequestHeads(t *testing.T) {
	long := "GET / HTTP/1.1\r\nA: " + strings.Repeat("x", MaxHeadBytes) + "\r\n\r\n"
	for _, c := range []struct {
		name, text string
		err        error
	}{
		{"plain", "POST /notice HTTP/1.1\r\nX-Txn: a\r\nContent-Length: 5\r\n\r\n", nil},
		{"no version", "GET /\r\n\r\n", ErrSyntax},
		{"another version", "GET / HTTP/2.0\r\n\r\n", ErrSyntax},
		{"bare line feed", "GET / HTTP/1.1\nA: b\n\n", ErrSyntax},
		{"bare carriage return", "GET / HTTP/1.1\r\nA: b\rc\r\n\r\n", ErrSyntax},
		{"noise", "\x00\xff\x12", ErrSyntax},
		{"folded line", "GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n", ErrSyntax},
		{"space before the colon", "GET / HTTP/1.1\r\nContent-Length : 1\r\n\r\n", ErrSyntax},
		{"no name", "GET / HTTP/1.1\r\n: b\r\n\r\n", ErrSyntax},
		{"negative length", "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", ErrLength},
		{"signed length", "POST / HTTP/1.1\r\nContent-Length: +1\r\n\r\n", ErrLength},
		{"huge length", "POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n", ErrLength},
		{"two lengths", "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n", ErrLength},
		{"list of lengths", "POST / HTTP/1.1\r\nContent-Length: 1, 1\r\n\r\n", ErrLength},
		{"empty length", "POST / HTTP/1.1\r\nContent-Length:\r\n\r\n", ErrLength},
		{"length beside a coding", "POST / HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n", ErrCoding},
		{"a coding alone", "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n", ErrCoding},
		{"too long", long, ErrTooLarge},
		{"endless", long[:MaxHeadBytes+10], ErrTooLarge},
		{"too many lines", "GET / HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", MaxFields+1) + "\r\n", ErrTooLarge},
	} {
		_, n, err := ParseRequest([]byte(c.text))
		if !errors.Is(err, c.err) || err == nil && n != len(c.text) {
			t.Errorf("%s: %d bytes, error %v, want %v", c.name, n, err, c.err)
		}
	}
}

// However a head is cut, nothing is said before it is whole.
func TestRequestInPieces(t *testing.T) {
	text := []byte("POST /a HTTP/1.1\r\nHost: b\r\nX-A:  c \r\nConnection: keep-alive, Close\r\nContent-Length: 3\r\n\r\nxyz")
	whole := len(text) - 3
	for i := range whole {
		if r, n, err := ParseRequest(text[:i]); r != nil || n != 0 || err != nil {
			t.Fatalf("after %d bytes: %v, %d, %v", i, r, n, err)
		}
	}
	r, n, err := ParseRequest(text)
	if err != nil || n != whole || r.Method != "POST" || r.Target != "/a" || r.Fields.Get("x-a") != "c" || r.Length != 3 || !r.Close {
		t.Errorf("%+v, %d, %v", r, n, err)
	}
}

func TestResponseHeads(t *testing.T) {
	for _, c := range []struct {
		text    string
		err     error
		length  int64
		chunked bool
		last    bool
	}{
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", nil, 2, false, false},
		{"HTTP/1.1 200\r\n\r\n", nil, -1, false, true},
		{"HTTP/1.1 204 No Content\r\n\r\n", nil, 0, false, false},
		{"HTTP/1.1 103 Early\r\n\r\n", nil, 0, false, false},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", nil, -1, true, false},
		{"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\n", nil, 2, false, true},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n", ErrLength, 0, false, false},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n", ErrCoding, 0, false, false},
		{"HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\n", ErrLength, 0, false, false},
		{"HTTP/1.1 2x0 OK\r\n\r\n", ErrSyntax, 0, false, false},
		{"HTTP/1.1 099 No\r\n\r\n", ErrSyntax, 0, false, false},
		{"HTTP/1.1 2000 No\r\n\r\n", ErrSyntax, 0, false, false},
		{"SSH-2.0-x\r\n\r\n", ErrSyntax, 0, false, false},
		{"S", ErrSyntax, 0, false, false},
	} {
		r, _, err := ParseResponse([]byte(c.text))
		if !errors.Is(err, c.err) {
			t.Errorf("%q: error %v, want %v", c.text, err, c.err)
			continue
		}
		if err == nil && (r.Length != c.length || r.Chunked != c.chunked || r.Close != c.last) {
			t.Errorf("%q: %+v", c.text, r)
		}
	}
}

func TestFirstLineAlone(t *testing.T) {
	for text, want := range map[string]int{"HTTP/1.1 200 OK\r\n\x00\xff": 200, "HTTP/1.1 503 x\r\nA": 503, "HTTP/1.1 200 OK": 0, "noise\r\n": 0} {
		if got, _ := ParseStatus([]byte(text)); got != want {
			t.Errorf("%q: %d, want %d", text, got, want)
		}
	}
}

func TestChunks(t *testing.T) {
	text := []byte("5\r\nhello\r\n3;x=y\r\n we\r\n0\r\nA: b\r\n\r\nrest")
	for cut := range text {
		var c ChunkDecoder
		out, rest, err := c.Read(nil, text[:cut])
		if err == nil && len(rest) == 0 {
			out, rest, err = c.Read(out, text[cut:])
		} else if err == nil {
			rest = append(bytes.Clone(rest), text[cut:]...)
		}
		if err != nil || string(out) != "hello we" || string(rest) != "rest" || !c.Done() {
			t.Fatalf("cut at %d: %q, rest %q, %v", cut, out, rest, err)
		}
	}
	for _, bad := range []string{"x\r\n", "-1\r\n", "+1\r\na\r\n", "fffffffffff\r\n", "1\r\nabc", "1\nab", strings.Repeat("0", 300)} {
		var c ChunkDecoder
		if _, _, err := c.Read(nil, []byte(bad)); err == nil {
			t.Errorf("%q is read", bad)
		}
	}
}

// Whatever comes, reading in one piece and in two says the same, and nothing crashes.
func FuzzRequest(f *testing.F) {
	f.Add([]byte("POST /a HTTP/1.1\r\nX-Txn: a\r\nContent-Length: 3\r\n\r\nxyz"), 7)
	f.Add([]byte("GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"), 20)
	f.Fuzz(func(t *testing.T, b []byte, cut int) {
		r, n, err := ParseRequest(b)
		if n > len(b) || r != nil && (n == 0 || err != nil) {
			t.Fatalf("%v, %d, %v", r, n, err)
		}
		if r == nil || cut < 0 || cut >= n {
			return
		}
		if _, m, err := ParseRequest(b[:cut]); m != 0 || err != nil {
			t.Fatalf("whole at %d, but %d and %v at %d", n, m, err, cut)
		}
		again := AppendHead(nil, fmt.Sprintf("%s %s HTTP/1.1", r.Method, r.Target))
		if _, _, err := ParseRequest(again); err != nil {
			t.Fatalf("%q is not read again: %v", again, err)
		}
	})
}

func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 103 a\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		r, n, err := ParseResponse(b)
		if r != nil && err == nil && n > 0 {
			if s, ok := ParseStatus(b); !ok || s != r.Status {
				t.Fatalf("first line says %d, %v, the head %d", s, ok, r.Status)
			}
		}
	})
}

func FuzzChunks(f *testing.F) {
	f.Add([]byte("5\r\nhello\r\n0\r\n\r\n"), 4)
	f.Fuzz(func(t *testing.T, b []byte, cut int) {
		var one, two ChunkDecoder
		a, rest, err := one.Read(nil, b)
		if len(a)+len(rest) > len(b) {
			t.Fatalf("%d bytes from %d", len(a)+len(rest), len(b))
		}
		if cut < 0 || cut > len(b) {
			return
		}
		c, _, err2 := two.Read(nil, b[:cut])
		if err2 == nil && !two.Done() {
			c, _, err2 = two.Read(c, b[cut:])
		}
		if (err == nil) != (err2 == nil) || err == nil && !bytes.Equal(a, c) {
			t.Fatalf("%q, %v in one piece; %q, %v in two", a, err, c, err2)
		}
	})
}
