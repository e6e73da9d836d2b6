package events

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// codes is how many event numbers there may be.
const codes = 1000

// limits counts the lines of each event within the current second. Many tasks
// log at the same time, so the counts are atomic and may be a line off where a
// second begins.
type limits struct {
	routine int64 // lines of a routine event a second
	other   int64
	dropped atomic.Int64
	counts  [2][codes]count
}

type count struct {
	second atomic.Int64
	lines  atomic.Int64
	left   atomic.Int64 // lines left out since the last that passed
}

// pass tells whether a line may be written, and how many of its event were left
// out since the last.
func (l *limits) pass(code int, level zerolog.Level, now time.Time) (bool, int64) {
	class, most := 0, l.routine
	if level >= zerolog.WarnLevel {
		class, most = 1, l.other
	}
	c := &l.counts[class][code%codes]
	if second := now.Unix(); c.second.Swap(second) != second {
		c.lines.Store(0)
	}
	if c.lines.Add(1) > most {
		c.left.Add(1)
		l.dropped.Add(1)
		return false, 0
	}
	return true, c.left.Swap(0)
}

// LeftOut returns how many lines were left out since the start.
func (l Logger) LeftOut() int64 {
	if l.limits == nil {
		return 0
	}
	return l.limits.dropped.Load()
}
