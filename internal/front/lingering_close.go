package front

import "time"

// Bounds on the end of a connection. A close over bytes that are not read resets it, and the last answer goes with that: so
// the write side is shut first, and what still comes is read and thrown away, for so long and so much.
const (
	flushTimeout   = time.Second // until the last answer is out; a client that reads nothing is not waited for
	lingerTimeout  = time.Second // until the peer ends its side
	maxLingerBytes = 256 << 10   // bytes of it
)

// lingeringClose is the end of one connection, free of I/O: whoever owns the socket passes the time and the counts in, and does as told.
type lingeringClose struct {
	ended       bool
	writeClosed bool // the write side
	phaseStart  time.Duration
	discarded   int // bytes thrown away
}

// closeAction is what to do with a socket.
type closeAction uint8

const (
	actionNone closeAction = iota
	actionCloseWrite
	actionClose
)

// end tells that nothing more will be written than has been handed over.
func (l *lingeringClose) end(now time.Duration) {
	if !l.ended {
		l.ended, l.phaseStart = true, now
	}
}

// addDiscarded counts bytes that came after the end.
func (l *lingeringClose) addDiscarded(n int) { l.discarded += n }

// next tells what to do now; unread are bytes handed over and not sent.
func (l *lingeringClose) next(now time.Duration, unsent int) closeAction {
	switch {
	case !l.ended:
		return actionNone
	case l.writeClosed && (now >= l.phaseStart+lingerTimeout || l.discarded > maxLingerBytes), !l.writeClosed && unsent > 0 && now >= l.phaseStart+flushTimeout:
		return actionClose
	case l.writeClosed || unsent > 0:
		return actionNone
	}
	l.writeClosed, l.phaseStart = true, now
	return actionCloseWrite
}
