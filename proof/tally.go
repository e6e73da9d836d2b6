package proof

import (
	"context"
	"maps"
	"strings"
	"testing"

	"dogwoodrock.example/dogwoodrock/kernel"
	"dogwoodrock.example/dogwoodrock/stand"
)

// prefixSeparator ends the prefix of a label by which tasks are counted.
const prefixSeparator = "/"

// Tally counts the tasks that run at the same time on all stand-ins, by the prefix of their label. Tasks
// without a prefix are not counted.
type Tally struct {
	self kernel.Ref
}

// Peaks are the highest numbers of tasks that ran at the same time.
type Peaks struct {
	All      int            // of all prefixes in total, since the start
	ByPrefix map[string]int // since the last call of Tally.Peaks
}

// tallyState is the state of the tally task.
type tallyState struct {
	runningByPrefix map[string]int
	peaks           Peaks
}

type (
	taskMsg struct {
		Prefix string
		Change int
	}
	peaksMsg struct{ Reply func(Peaks) }
)

func startTally(t *testing.T) *Tally {
	t.Helper()
	s := &tallyState{runningByPrefix: map[string]int{}, peaks: Peaks{ByPrefix: map[string]int{}}}
	k := kernel.New()
	if err := k.Register(kernel.Service{Name: "tally", Handle: s.handle}); err != nil {
		t.Fatal(err)
	}
	if err := k.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { k.Stop(context.Background()) })
	self, err := k.Find("tally")
	if err != nil {
		t.Fatal(err)
	}
	return &Tally{self: self}
}

// Observe records the start or end of a task on a stand-in. An end is reported before the slot can be
// assigned to another task, so the order of the messages never makes the count too high.
func (tally *Tally) Observe(c stand.Call, started bool) {
	prefix, _, ok := strings.Cut(stand.ParseWork(c.Body).Label, prefixSeparator)
	if !ok {
		return
	}
	change := 1
	if !started {
		change = -1
	}
	tally.self.Reply(taskMsg{Prefix: prefix, Change: change})
}

// Peaks returns the peaks and resets those by prefix to the tasks that run now.
func (tally *Tally) Peaks(t *testing.T) Peaks {
	t.Helper()
	peaks, err := kernel.Ask(t.Context(), tally.self, func(reply func(Peaks)) any { return peaksMsg{Reply: reply} })
	if err != nil {
		t.Fatal(err)
	}
	return peaks
}

func (s *tallyState) handle(_ *kernel.Task, msg any) {
	switch m := msg.(type) {
	case taskMsg:
		s.runningByPrefix[m.Prefix] += m.Change
		s.peaks.ByPrefix[m.Prefix] = max(s.peaks.ByPrefix[m.Prefix], s.runningByPrefix[m.Prefix])
		all := 0
		for _, n := range s.runningByPrefix {
			all += n
		}
		s.peaks.All = max(s.peaks.All, all)
	case peaksMsg:
		m.Reply(s.peaks)
		s.peaks.ByPrefix = maps.Clone(s.runningByPrefix)
	}
}
