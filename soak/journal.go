package soak

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"
)

// journalTime is the time format of the journal. Like that of the daemons' logs it is UTC with fractions of
// a second, so that the lines of both can be put in order.
const journalTime = "2006-01-02T15:04:05.000000Z"

// journal records the faults, the failures and the answers to operators of a run with their times, which
// the report doesn't have. Each line is one write, so that several goroutines may write.
type journal struct {
	file   *os.File // nil to record nothing
	stalls *stalls
}

// stalls are the times in which the soak itself stood still.
type stalls struct {
	mu      sync.Mutex
	checked time.Time // all stalls before are known
	list    []stall
}

type stall struct {
	from, to time.Time
}

func (s *stalls) note(last, now time.Time) (late time.Duration, stalled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checked = now
	if late = now.Sub(last) - stallInterval; late < minStall {
		return 0, false
	}
	s.list = append(s.list, stall{from: last, to: now})
	return late, true
}

// cover reports whether the soak stood still at a time.
func (s *stalls) cover(at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.list, func(one stall) bool { return !at.Before(one.from) && !at.After(one.to) })
}

// known reports whether all stalls before a time are known.
func (s *stalls) known(at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.checked.Before(at)
}

// openJournal creates the file journal in the folder of a run.
func openJournal(folder string) (journal, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return journal{}, err
	}
	file, err := os.Create(filepath.Join(folder, "journal"))
	return journal{file: file, stalls: &stalls{}}, err
}

func (j journal) close() {
	if j.file != nil {
		_ = j.file.Close()
	}
}

const (
	stallInterval = 50 * time.Millisecond
	minStall      = 200 * time.Millisecond // shorter ones explain no failure
)

// recordStalls records when the soak itself stood still, until ctx is done. On a busy machine it then sees
// exits and answers late, and the hosts probably stood still as well.
func (j journal) recordStalls(ctx context.Context) {
	ticker := time.NewTicker(stallInterval)
	defer ticker.Stop()
	for last := time.Now(); ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		if late, stalled := j.stalls.note(last, now); stalled {
			j.write("stall of the soak itself for %v", late.Round(time.Millisecond))
		}
		last = now
	}
}

// write adds a line. Lines of goroutines that outlive the run are lost.
func (j journal) write(format string, args ...any) {
	if j.file != nil {
		_, _ = fmt.Fprintf(j.file, "%s %s\n", time.Now().UTC().Format(journalTime), fmt.Sprintf(format, args...))
	}
}
