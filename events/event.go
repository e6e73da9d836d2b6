// Package events defines the daemons' log events. Each has a numeric code, under which
// operators find it in docs/EVENTS.md.
package events

import (
	"io"
	"time"

	"github.com/rs/zerolog"
)

// Event is one kind of log line.
type Event struct {
	Code    int
	Name    string
	Level   zerolog.Level
	Fields  []string
	Meaning string
	Action  string // what the operator should do
}

// Logger writes events as JSON lines.
type Logger struct {
	out     zerolog.Logger
	limiter *limiter // nil if lines are not limited
}

// Option configures a Logger in New.
type Option func(*Logger)

// WithLimits limits the lines per second of each event: to routine for levels below Warn, to
// warnings for Warn and above. The next line of an event reports in LeftOut how many were dropped.
func WithLimits(routine, warnings int) Option {
	return func(l *Logger) { l.limiter = &limiter{routine: int64(routine), warnings: int64(warnings)} }
}

// New returns a logger that writes events of at least the given level (Debug, Info, Warn or
// Error; Info for any other name). Each line contains the host.
func New(w io.Writer, level, host string, opts ...Option) Logger {
	zerolog.TimestampFieldName = "Time"
	zerolog.LevelFieldName = "Level"
	zerolog.MessageFieldName = "Message"
	zerolog.ErrorFieldName = "Error"
	zerolog.TimeFieldFormat = time.RFC3339Nano
	out := zerolog.New(shortWriter{w}).Level(parseLevel(level)).With().Timestamp().Str("Host", host).Logger()
	l := Logger{out: out}
	for _, opt := range opts {
		opt(&l)
	}
	return l
}

// Nop returns a logger that discards all events.
func Nop() Logger {
	return Logger{out: zerolog.Nop()}
}

// At starts a log line for e. The caller adds the event's fields and writes the line with Send.
func (l Logger) At(e Event) *zerolog.Event {
	level, leftOut := l.effectiveLevel(e.Level), int64(0)
	if level != zerolog.Disabled && l.limiter != nil {
		var allowed bool
		if allowed, leftOut = l.limiter.allow(e.Code, e.Level, time.Now()); !allowed {
			level = zerolog.Disabled
		}
	}
	line := l.out.WithLevel(level).Int("Event", e.Code).Str("Name", e.Name)
	if leftOut > 0 {
		line.Int64("LeftOut", leftOut)
	}
	return line
}

// effectiveLevel returns level, or Disabled if it is below the logger's level.
func (l Logger) effectiveLevel(level zerolog.Level) zerolog.Level {
	if level < l.out.GetLevel() {
		return zerolog.Disabled
	}
	return level
}

// IsLevel reports whether name is a level that New accepts.
func IsLevel(name string) bool {
	return name == "Info" || parseLevel(name) != zerolog.InfoLevel
}

func parseLevel(name string) zerolog.Level {
	switch name {
	case "Debug":
		return zerolog.DebugLevel
	case "Warn":
		return zerolog.WarnLevel
	case "Error":
		return zerolog.ErrorLevel
	default:
		return zerolog.InfoLevel
	}
}
