package front

import (
	"testing"
	"time"
)

// Each entry simulates one close. A step is a time in milliseconds, the bytes that came, the bytes still unsent, and the
// action expected.
func TestLife(t *testing.T) {
	type at struct {
		ms, came, unsent int
		want             closeAction
	}
	for name, steps := range map[string][]at{
		"nothing unsent":                {{0, 0, 0, actionCloseWrite}, {10, 0, 0, actionNone}, {999, 0, 0, actionNone}, {1000, 0, 0, actionClose}},
		"the answer leaves in time":     {{0, 0, 5, actionNone}, {900, 0, 5, actionNone}, {950, 0, 0, actionCloseWrite}, {1940, 0, 0, actionNone}, {1950, 0, 0, actionClose}},
		"the answer is not read":        {{0, 0, 5, actionNone}, {999, 0, 5, actionNone}, {1000, 0, 5, actionClose}},
		"a request crosses":             {{0, 300, 0, actionCloseWrite}, {10, 300, 0, actionNone}, {1000, 0, 0, actionClose}},
		"a large upload goes on":        {{0, 0, 0, actionCloseWrite}, {10, maxLingerBytes, 0, actionNone}, {20, 1, 0, actionClose}},
		"large, before the answer":      {{0, maxLingerBytes + 1, 5, actionNone}, {10, 0, 0, actionCloseWrite}, {20, 0, 0, actionClose}},
		"the last byte at the deadline": {{0, 0, 5, actionNone}, {1000, 0, 0, actionCloseWrite}, {1999, 0, 0, actionNone}, {2000, 0, 0, actionClose}},
	} {
		var l lingeringClose
		if got := l.next(0, 0); got != actionNone {
			t.Errorf("%s: before its end: %d", name, got)
		}
		l.end(0)
		for _, s := range steps {
			l.addDiscarded(s.came)
			l.end(time.Duration(s.ms) * time.Millisecond) // repeated calls of end must change nothing
			if got := l.next(time.Duration(s.ms)*time.Millisecond, s.unsent); got != s.want {
				t.Errorf("%s at %d ms: %d, want %d", name, s.ms, got, s.want)
			}
		}
	}
}
