package events

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// maxCodes is the exclusive upper bound of event codes.
const maxCodes = 1000

// limiter counts the lines of each event in the current second. Tasks log concurrently, so the
// counters are atomic; at the start of a second a count may be off by one line.
type limiter struct {
	routine  int64 // lines per second of an event below Warn
	warnings int64 // the same for Warn and above
	dropped  atomic.Int64
	counts   [2][maxCodes]lineCount
}

type lineCount struct {
	second  atomic.Int64
	lines   atomic.Int64
	leftOut atomic.Int64 // lines dropped since the last one written
}

// allow reports whether a line may be written and, if so, how many lines of the event were dropped
// since the last one written.
func (lim *limiter) allow(code int, level zerolog.Level, now time.Time) (bool, int64) {
	class, limit := 0, lim.routine
	if level >= zerolog.WarnLevel {
		class, limit = 1, lim.warnings
	}
	c := &lim.counts[class][code%maxCodes]
	if second := now.Unix(); c.second.Swap(second) != second {
		c.lines.Store(0)
	}
	if c.lines.Add(1) > limit {
		c.leftOut.Add(1)
		lim.dropped.Add(1)
		return false, 0
	}
	return true, c.leftOut.Swap(0)
}

// LeftOut returns the number of lines that the limits have dropped since the start.
func (l Logger) LeftOut() int64 {
	if l.limiter == nil {
		return 0
	}
	return l.limiter.dropped.Load()
}
