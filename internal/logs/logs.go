// Package logs writes structured lines with zerolog, and bounds how many: a fault that makes a line for each message
// must not flood the disk of the machine it shows on.
package logs

import (
	"fmt"
	"io"
	"sync"
	"time"

	"whinrun/internal/clock"

	"github.com/rs/zerolog"
)

// Logger is a zerolog logger with a bound on lines a second. Lines left out are counted, and the count is told.
type Logger struct {
	logger     zerolog.Logger
	mu         sync.Mutex
	rate       float64
	tokens     float64
	refilledAt time.Time
	dropped    int
	now        func() time.Time
}

// New returns a Logger that writes JSON lines of that level and above to w.
func New(w io.Writer, level string, linesPerSecond float64) (*Logger, error) {
	minLevel, err := zerolog.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level %q: %w", level, err)
	}
	return &Logger{logger: zerolog.New(w).Level(minLevel).With().Timestamp().Logger(), rate: linesPerSecond, tokens: 2 * linesPerSecond,
		refilledAt: clock.Wall(), now: clock.Wall}, nil
}

// allow tells whether a line may go out, and how many were left out before it.
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

// Info logs what operators want to know.
func (l *Logger) Info(component, format string, args ...any) {
	l.write(l.logger.Info(), component, fmt.Sprintf(format, args...))
}

// Warn logs what may need an operator.
func (l *Logger) Warn(component, format string, args ...any) {
	l.write(l.logger.Warn(), component, fmt.Sprintf(format, args...))
}

// Error logs what must not happen.
func (l *Logger) Error(component, format string, args ...any) {
	l.write(l.logger.Error(), component, fmt.Sprintf(format, args...))
}

// Debug logs single events.
func (l *Logger) Debug(component, format string, args ...any) {
	l.write(l.logger.Debug(), component, fmt.Sprintf(format, args...))
}
