package front

import "time"

// Bounds on the end of a connection. A close over bytes that are not read resets it, and the last answer goes with that: so
// the write side is shut first, and what still comes is read and thrown away, for so long and so much.
const (
	flushWithin = time.Second // until the last answer is out; a client that reads nothing is not waited for
	restWithin  = time.Second // until the peer ends its side
	restMost    = 256 << 10   // bytes of it
)

// life is the end of one connection, free of I/O: whoever owns the socket passes the time and the counts in, and does as told.
type life struct {
	ended bool
	shut  bool // the write side
	since time.Duration
	rest  int // bytes thrown away
}

// todo is what to do with a socket.
type todo uint8

const (
	nothing todo = iota
	shutWrite
	closeAll
)

// end tells that nothing more will be written than has been handed over.
func (l *life) end(now time.Duration) {
	if !l.ended {
		l.ended, l.since = true, now
	}
}

// threw counts bytes that came after the end.
func (l *life) threw(n int) { l.rest += n }

// next tells what to do now; unread are bytes handed over and not sent.
func (l *life) next(now time.Duration, unread int) todo {
	switch {
	case !l.ended:
		return nothing
	case l.shut && (now >= l.since+restWithin || l.rest > restMost), !l.shut && unread > 0 && now >= l.since+flushWithin:
		return closeAll
	case l.shut || unread > 0:
		return nothing
	}
	l.shut, l.since = true, now
	return shutWrite
}
