package front

import (
	"testing"
	"time"
)

// Each row plays one end: at each time so many bytes came and so many are unsent, and this is to be done.
func TestLife(t *testing.T) {
	type at struct {
		ms, came, unsent int
		want             todo
	}
	for name, steps := range map[string][]at{
		"nothing unsent":                {{0, 0, 0, shutWrite}, {10, 0, 0, nothing}, {999, 0, 0, nothing}, {1000, 0, 0, closeAll}},
		"the answer leaves in time":     {{0, 0, 5, nothing}, {900, 0, 5, nothing}, {950, 0, 0, shutWrite}, {1940, 0, 0, nothing}, {1950, 0, 0, closeAll}},
		"the answer is not read":        {{0, 0, 5, nothing}, {999, 0, 5, nothing}, {1000, 0, 5, closeAll}},
		"a request crosses":             {{0, 300, 0, shutWrite}, {10, 300, 0, nothing}, {1000, 0, 0, closeAll}},
		"a large upload goes on":        {{0, 0, 0, shutWrite}, {10, restMost, 0, nothing}, {20, 1, 0, closeAll}},
		"large, before the answer":      {{0, restMost + 1, 5, nothing}, {10, 0, 0, shutWrite}, {20, 0, 0, closeAll}},
		"the last byte at the deadline": {{0, 0, 5, nothing}, {1000, 0, 0, shutWrite}, {1999, 0, 0, nothing}, {2000, 0, 0, closeAll}},
	} {
		var l life
		if got := l.next(0, 0); got != nothing {
			t.Errorf("%s: before its end: %d", name, got)
		}
		l.end(0)
		for _, s := range steps {
			l.threw(s.came)
			l.end(time.Duration(s.ms) * time.Millisecond) // ended twice is ended once
			if got := l.next(time.Duration(s.ms)*time.Millisecond, s.unsent); got != s.want {
				t.Errorf("%s at %d ms: %d, want %d", name, s.ms, got, s.want)
			}
		}
	}
}
