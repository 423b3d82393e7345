package front

import "time"

// Limits of a lingering close. Closing a socket with unread input makes the kernel send a reset, and the reset can destroy
// the last answer before the client has read it. So the write side is closed first, and further input is read and
// discarded within these limits.
const (
	// flushTimeout is how long the last answer may take to be sent. It bounds the wait for a client that does not read.
	flushTimeout = time.Second
	// lingerTimeout is how long to wait for the peer to close its side after the write side is closed.
	lingerTimeout = time.Second
	// maxLingerBytes is how many bytes of input are discarded before the connection is closed.
	maxLingerBytes = 256 << 10
)

// lingeringClose decides how one connection is closed. It does no I/O: the owner of the socket passes in the time and the
// byte counts and carries out the returned actions.
type lingeringClose struct {
	// ended is set when the session has written its last output.
	ended bool
	// writeClosed is set when the owner was told to close the write side.
	writeClosed bool
	// phaseStart is when the session ended or, after that, when the write side was closed.
	phaseStart time.Duration
	// discarded is the number of input bytes discarded since the session ended.
	discarded int
}

// closeAction is what the owner of the socket has to do.
type closeAction uint8

// Actions that lingeringClose.next returns.
const (
	// actionNone means to wait.
	actionNone closeAction = iota
	// actionCloseWrite means to close the write side and to go on reading.
	actionCloseWrite
	// actionClose means to close the connection.
	actionClose
)

// end records that no output follows what has been handed to the connection. Later calls do nothing.
func (l *lingeringClose) end(now time.Duration) {
	if !l.ended {
		l.ended, l.phaseStart = true, now
	}
}

// addDiscarded counts input bytes that arrived after the end.
func (l *lingeringClose) addDiscarded(n int) { l.discarded += n }

// next returns the action for this moment. unsent is the number of output bytes that the kernel has not taken yet.
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
