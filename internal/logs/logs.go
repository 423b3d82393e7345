// Package logs writes structured log lines with zerolog and limits their rate. Without the limit, a fault that logs one
// line per message could fill the disk of the machine.
package logs

import (
	"fmt"
	"io"
	"sync"
	"time"

	"whinrun/internal/clock"

	"github.com/rs/zerolog"
)

// Logger is a zerolog logger with a token bucket that limits the lines per second. It counts the lines that it drops, and
// the next line that it writes carries the count in the field left-out. A Logger is safe for concurrent use.
type Logger struct {
	logger     zerolog.Logger
	mu         sync.Mutex
	rate       float64
	tokens     float64
	refilledAt time.Time
	dropped    int
	now        func() time.Time
}

// New returns a Logger that writes JSON lines of the given level and above to w. The token bucket holds the lines of two
// seconds, so a burst of 2*linesPerSecond is possible. New returns an error if the level is unknown.
func New(w io.Writer, level string, linesPerSecond float64) (*Logger, error) {
	minLevel, err := zerolog.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level %q: %w", level, err)
	}
	return &Logger{logger: zerolog.New(w).Level(minLevel).With().Timestamp().Logger(), rate: linesPerSecond, tokens: 2 * linesPerSecond,
		refilledAt: clock.Wall(), now: clock.Wall}, nil
}

// allow takes a token from the bucket. It reports whether a line may be written and how many were dropped before it.
func (l *Logger) allow() (ok bool, dropped int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.tokens = min(2*l.rate, l.tokens+l.rate*max(0, now.Sub(l.refilledAt).Seconds()))
	l.refilledAt = now
	if l.tokens < 1 {
		l.dropped++
		return false, 0
	}
	l.tokens--
	dropped, l.dropped = l.dropped, 0
	return true, dropped
}

// write completes an event and writes it, unless the rate limit drops it. The event is nil if its level is disabled.
func (l *Logger) write(event *zerolog.Event, component, message string) {
	if event == nil {
		return
	}
	ok, dropped := l.allow()
	if !ok {
		return
	}
	if dropped > 0 {
		event = event.Int("left-out", dropped)
	}
	event.Str("part", component).Msg(message)
}

// Info logs an event of normal operation.
func (l *Logger) Info(component, format string, args ...any) {
	l.write(l.logger.Info(), component, fmt.Sprintf(format, args...))
}

// Warn logs a condition that may need the attention of an operator.
func (l *Logger) Warn(component, format string, args ...any) {
	l.write(l.logger.Warn(), component, fmt.Sprintf(format, args...))
}

// Error logs a violated invariant or a failed operation.
func (l *Logger) Error(component, format string, args ...any) {
	l.write(l.logger.Error(), component, fmt.Sprintf(format, args...))
}

// Debug logs a single event for troubleshooting.
func (l *Logger) Debug(component, format string, args ...any) {
	l.write(l.logger.Debug(), component, fmt.Sprintf(format, args...))
}
