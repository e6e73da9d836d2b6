package placer

import (
	"slices"
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/runs"
)

// waiting is a placer whose answers to entry hosts are recorded.
type fixture struct {
	*Node
	now     time.Time
	replies []msgs.Pulsed
}

const (
	testEpoch  = 4
	processAge = 5 * time.Second // of the process
)

func newFixture() *fixture {
	w := &fixture{now: time.Unix(1000, 0)}
	w.Node = &Node{
		Self: "p1", DataCentre: "dc", Incarnation: 1, startedAt: w.now.Add(-processAge),
		servers: map[string]model.Server{}, hosts: map[string]*host{}, processes: map[string]*process{},
		Hooks: Hooks{
			PlacingBegan: func(model.Placement, InitialTable) {}, PlacingEnded: func(uint64, string, int) {}, RunEvent: func(uint64, runs.Event) {},
			JobEnded: func(runs.End) {}, JobHanded: func(msgs.JobHand) {}, State: func(View) {},
		},
		Send: func(_, _ string, body any) error {
			if m, ok := body.(msgs.Pulsed); ok {
				w.replies = append(w.replies, m)
			}
			return nil
		},
	}
	w.setPlacement(model.Placement{DataCentre: "dc", Host: "p1", Incarnation: 1, Epoch: testEpoch}, w.now)
	return w
}

// hear takes a pulse of host h1 with a stamp of some time ago.
func (w *fixture) receivePulse(epoch uint64, ago time.Duration, withdrawn ...msgs.JobWithdraw) {
	w.handlePulse(msgs.Pulse{
		Host: "h1", DataCentre: "dc", Incarnation: 1, Placing: epoch, Stamp: w.now.Add(-ago).Sub(w.startedAt), Withdrawn: withdrawn,
	}, w.now)
}

// take takes a job of host h1 that waits for what earlier placers left.
func (w *fixture) takeJob(hand uint64) {
	w.submitJob(msgs.JobHand{
		Job: "j", Host: "h1", Incarnation: 1, Epoch: testEpoch, Tasks: 1, Again: true, Hand: hand,
		Objective: time.Minute, Expires: time.Minute,
	}, w.now)
}

// TestLateWord has an entry host pulse each 200 ms, with the stamp that it was
// told last.
func TestLatePulses(t *testing.T) {
	tests := map[string]struct {
		late time.Duration // the way of each pulse
		more time.Duration // by which it grows with each pulse up to late, 0 for at once
		ends time.Duration // no pulse is sent from then on, 0 for never
		old  bool          // it returns the first stamp only
		lost bool
	}{
		"prompt":                    {},
		"late by two pulses":        {late: 400 * time.Millisecond},
		"all a second late":         {late: time.Second, lost: true},
		"later and later":           {late: time.Second, more: 100 * time.Millisecond, lost: true},
		"silent after a while":      {ends: 500 * time.Millisecond, lost: true},
		"none of its stamps is new": {old: true, lost: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newFixture()
			type pulse struct {
				arrives time.Time
				msgs.Pulse
			}
			var way []pulse
			begin, heard, lost := w.now, 0, false
			late := tt.late
			if tt.more > 0 {
				late = 0
			}
			send := func() {
				p := pulse{arrives: w.now.Add(late), Pulse: msgs.Pulse{Host: "h1", Incarnation: 1}}
				if n := len(w.replies); n > 0 {
					p.Placing, p.Stamp = testEpoch, w.replies[n-1].Stamp
					if tt.old {
						p.Stamp = w.replies[0].Stamp
					}
				}
				way = append(way, p)
				late = min(late+tt.more, tt.late)
			}
			for ; w.now.Sub(begin) < 4*time.Second; w.now = w.now.Add(tickInterval) {
				if now := w.now.Sub(begin); now%(200*time.Millisecond) == 0 && (tt.ends == 0 || now < tt.ends) {
					send()
				}
				for len(way) > 0 && !w.now.Before(way[0].arrives) {
					p := way[0]
					way = way[1:]
					heard++
					w.handlePulse(p.Pulse, w.now)
				}
				known := len(w.hosts)
				w.tick(w.now)
				lost = lost || len(w.hosts) < known
			}
			if heard == 0 || lost != tt.lost {
				t.Fatalf("lost %v after %d pulses, want %v", lost, heard, tt.lost)
			}
		})
	}
}

// TestSilenceOfAPlacerThatStood has a placer stand still while an entry host waits,
// whose pulses it hears only after its next tick, if at all.
func TestHostTimeoutAfterStall(t *testing.T) {
	tests := map[string]struct {
		tick time.Duration // between ticks
		lost bool
	}{
		"it stood still": {tick: hostTimeout + tickInterval},
		"it went on":     {tick: tickInterval, lost: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newFixture()
			w.tick(w.now)
			w.receivePulse(testEpoch, 0)
			w.takeJob(1)
			for begin := w.now; w.now.Sub(begin) <= hostTimeout; {
				w.now = w.now.Add(tt.tick)
				w.tick(w.now)
			}
			if lost := len(w.hosts) == 0; lost != tt.lost {
				t.Fatalf("the entry host counts as lost: %v, want %v", lost, tt.lost)
			}
			if jobs := w.placer.Jobs(); (jobs == 0) != tt.lost {
				t.Fatalf("%d jobs are left", jobs)
			}
		})
	}
}

func TestPulseRequests(t *testing.T) {
	heard := func(ago time.Duration) func(w *fixture) { return func(w *fixture) { w.receivePulse(testEpoch, ago) } }
	tests := map[string]struct {
		act  func(w *fixture)
		want []bool // of each answer, whether it asks for a pulse
	}{
		"a host that isn't known to have waited": {act: func(w *fixture) { w.receivePulse(0, 0) }, want: []bool{true}},
		"one that waited lately":                 {act: heard(pulseRequestAfter), want: []bool{false}},
		"one that waited some time ago":          {act: heard(pulseRequestAfter + time.Millisecond), want: []bool{true}},
		"a stamp of another epoch":               {act: func(w *fixture) { w.receivePulse(testEpoch-1, 0) }, want: []bool{true}},
		"a stamp of the future":                  {act: heard(-time.Millisecond), want: []bool{true}},
		"an older stamp after a newer one":       {act: func(w *fixture) { heard(0)(w); heard(time.Second)(w) }, want: []bool{false, false}},
		"a hand-over of an unknown host":         {act: func(w *fixture) { w.takeJob(1) }, want: []bool{true}},
		"hand-overs in a row":                    {act: func(w *fixture) { w.takeJob(1); w.takeJob(2); w.takeJob(3) }, want: []bool{true}},
		"a hand-over some time later":            {act: func(w *fixture) { w.takeJob(1); w.now = w.now.Add(pulseRequestInterval); w.takeJob(2) }, want: []bool{true, true}},
		"a hand-over of a host that waited":      {act: func(w *fixture) { heard(0)(w); w.takeJob(1) }, want: []bool{false}},
		"no word while a job is open": {act: func(w *fixture) {
			heard(0)(w)
			w.takeJob(1)
			w.now = w.now.Add(pulseRequestAfter + tickInterval)
			w.tick(w.now)
		}, want: []bool{false, true}},
		"no word while no job is open": {act: func(w *fixture) {
			heard(0)(w)
			w.now = w.now.Add(pulseRequestAfter + tickInterval)
			w.tick(w.now)
		}, want: []bool{false}},
		"a pulse just after the question": {act: func(w *fixture) { w.takeJob(1); w.receivePulse(0, 0) }, want: []bool{true, false}},
		"another process of the host": {act: func(w *fixture) {
			heard(0)(w)
			w.handlePulse(msgs.Pulse{Host: "h1", Incarnation: 2}, w.now)
		}, want: []bool{false, true}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newFixture()
			tt.act(w)
			var got []bool
			for _, m := range w.replies {
				got = append(got, m.Ask)
			}
			if !slices.Equal(got, tt.want) {
				t.Fatalf("answers that ask %v, want %v", got, tt.want)
			}
			if last := w.replies[len(w.replies)-1]; last.Epoch != testEpoch || last.Stamp < processAge {
				t.Fatalf("answer %+v, want a stamp of the process's age, %v", last, processAge)
			}
		})
	}
}

func TestWithdrawnByPulse(t *testing.T) {
	tests := map[string]struct {
		withdrawn []msgs.JobWithdraw
		epoch     uint64 // whose stamp the pulse returns
		jobs      int    // that are left
		hand      uint64 // of the job, 0 for the first
	}{
		"nothing":                 {epoch: testEpoch, jobs: 1},
		"the job":                 {epoch: testEpoch, withdrawn: []msgs.JobWithdraw{{Job: "j", Host: "h1", Incarnation: 1, Hand: 1}}},
		"another job":             {epoch: testEpoch, withdrawn: []msgs.JobWithdraw{{Job: "k", Host: "h1", Incarnation: 1, Hand: 1}}, jobs: 1},
		"an earlier hand-over":    {epoch: testEpoch, withdrawn: []msgs.JobWithdraw{{Job: "j", Host: "h1", Incarnation: 1, Hand: 1}}, jobs: 1, hand: 2},
		"by another process":      {epoch: testEpoch, withdrawn: []msgs.JobWithdraw{{Job: "j", Host: "h1", Incarnation: 7, Hand: 50}}, jobs: 1},
		"by a host without stamp": {withdrawn: []msgs.JobWithdraw{{Job: "j", Host: "h1", Incarnation: 1, Hand: 1}}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newFixture()
			w.takeJob(max(tt.hand, 1))
			w.receivePulse(tt.epoch, 0, tt.withdrawn...)
			if got := w.placer.Jobs(); got != tt.jobs {
				t.Fatalf("%d jobs are left, want %d", got, tt.jobs)
			}
		})
	}
}

// TestForeignHosts has an entry host of another data centre hand jobs over. It
// doesn't keep the table of servers, nor hold the use of new ones back.
func TestHostsOfOtherDataCentres(t *testing.T) {
	tests := map[string]struct {
		dc     string
		table  int // servers that it is told
		usable int // at once after the other hosts know of them
	}{
		"of this data centre": {dc: "dc", table: 1},
		"of another one":      {dc: "other", usable: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newFixture()
			w.handleReport(model.Server{Name: "s", DataCentre: "dc", Service: "svc", CPU: 100, Born: 1, Seq: 1}, w.now)
			for _, l := range w.placer.Drain(w.now).Looks {
				w.placer.Looked(runs.Seen{Server: "s", Born: 1, Seq: l.Seq, Outcome: runs.OutcomeTaken, Clock: 1, Sent: w.now}, w.now)
			}
			w.handlePulse(msgs.Pulse{Host: "far", DataCentre: tt.dc, Incarnation: 1, Epoch: 9}, w.now)
			if got := len(w.replies[len(w.replies)-1].Table); got != tt.table {
				t.Fatalf("it is told %d servers, want %d", got, tt.table)
			}
			w.handlePulse(msgs.Pulse{Host: "near", DataCentre: "dc", Incarnation: 1, Epoch: testEpoch, Servers: w.tableVersion}, w.now)
			usable := 0
			for _, k := range w.placer.Kinds(w.now) {
				usable += k.Usable
			}
			if usable != tt.usable {
				t.Fatalf("%d servers are usable, want %d", usable, tt.usable)
			}
		})
	}
}

// TestTableIsWhole has the placer answer an entry host. What it says to be its
// table has to be all of it, since the host may place next.
func TestTableIsComplete(t *testing.T) {
	tests := map[string]struct {
		act  func(w *fixture)
		told uint64 // version of the table, 0 for none
	}{
		"a pulse":                        {act: func(w *fixture) { w.receivePulse(testEpoch, 0) }, told: 2},
		"a hand-over of an unknown host": {act: func(w *fixture) { w.takeJob(1) }},
		"a hand-over, then a pulse":      {act: func(w *fixture) { w.takeJob(1); w.receivePulse(testEpoch, 0) }, told: 2},
		"a pulse of another data centre": {act: func(w *fixture) {
			w.handlePulse(msgs.Pulse{Host: "h1", DataCentre: "other", Incarnation: 1}, w.now)
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newFixture()
			w.handleReport(model.Server{Name: "s", DataCentre: "dc", Service: "svc", CPU: 100, Born: 1, Seq: 1}, w.now)
			tt.act(w)
			last := w.replies[len(w.replies)-1]
			if last.Servers != tt.told {
				t.Fatalf("version %d is told, want %d", last.Servers, tt.told)
			}
			if tt.told > 0 && len(last.Table) != 1 {
				t.Fatalf("%d servers are told, want 1", len(last.Table))
			}
		})
	}
}

// TestEndNamesHand has a job that no backend server can run in time.
func TestJobEndNamesHandover(t *testing.T) {
	w := newFixture()
	var ends []msgs.JobEnded
	w.Send = func(_, _ string, body any) error {
		if m, ok := body.(msgs.JobEnded); ok {
			ends = append(ends, m)
		}
		return nil
	}
	w.submitJob(msgs.JobHand{
		Job: "j", Host: "h1", Incarnation: 3, Epoch: testEpoch, Tasks: 1, Hand: 7, Objective: tickInterval, Expires: tickInterval,
	}, w.now)
	w.now = w.now.Add(10 * tickInterval)
	w.tick(w.now)
	if len(ends) != 1 || ends[0].Hand != 7 || ends[0].Incarnation != 3 || ends[0].Epoch != testEpoch {
		t.Fatalf("ends %+v, want one of hand-over 7 by process 3", ends)
	}
}
