package fleet

import (
	"slices"
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
)

// step is a renewal at a time since the start of a Watch.
type step struct {
	at    time.Duration
	renew msgs.HostRenew
}

// renewals returns the renewals of a host between two times, one per RenewInterval.
func renewals(from, to time.Duration, m msgs.HostRenew) []step {
	var steps []step
	for at := from; at <= to; at += RenewInterval {
		steps = append(steps, step{at: at, renew: m})
	}
	return steps
}

func host(name string, capacity int64) msgs.HostRenew {
	return msgs.HostRenew{Host: name, Incarnation: 1, DataCentre: "dc", Capacity: capacity}
}

func TestWatch(t *testing.T) {
	placed := []model.Placement{{DataCentre: "dc", Host: "h1", Incarnation: 1, Epoch: 5}}
	leaving, restarted := host("h1", 900), host("h1", 900)
	leaving.Leaving, restarted.Incarnation = true, 2
	suspects := host("h2", 300)
	suspects.Suspect = "h1"
	hasTable := host("h3", 100)
	hasTable.Epoch = 5
	newer, older, same, former := hasTable, host("h2", 300), hasTable, hasTable
	newer.Servers = 8
	older.Epoch, older.Servers = 5, 7
	same.Servers = 7
	former.Epoch, former.Servers = 4, 9
	both := slices.Concat(renewals(0, 2*time.Second, host("h1", 900)), renewals(0, 2*time.Second, host("h2", 300)))
	tests := map[string]struct {
		steps   []step
		current []model.Placement
		at      time.Duration
		want    string // newly placed host, empty for no change
	}{
		"a new leader decides nothing":          {steps: both[:1], at: 100 * time.Millisecond},
		"the host with the most processor time": {steps: both, at: 2 * time.Second, want: "h1"},
		"a placer that renews stays":            {steps: both, current: placed, at: 2 * time.Second},
		"a placer that missed two renewals":     {steps: slices.Concat(renewals(0, time.Second, host("h1", 900)), renewals(0, 1400*time.Millisecond, host("h2", 300))), current: placed, at: 1500 * time.Millisecond},
		"a silent placer is replaced":           {steps: slices.Concat(renewals(0, time.Second, host("h1", 900)), renewals(0, 2*time.Second, host("h2", 300))), current: placed, at: 2 * time.Second, want: "h2"},
		"a suspected one, sooner":               {steps: slices.Concat(renewals(0, time.Second, host("h1", 900)), renewals(0, 1400*time.Millisecond, suspects)), current: placed, at: 1400 * time.Millisecond, want: "h2"},
		"one that is suspected but renews":      {steps: slices.Concat(renewals(0, 2*time.Second, host("h1", 900)), renewals(0, 2*time.Second, suspects)), current: placed, at: 2 * time.Second},
		"a leaving placer is replaced":          {steps: slices.Concat(both, []step{{at: 2 * time.Second, renew: leaving}}), current: placed, at: 2 * time.Second, want: "h2"},
		"a restarted placer is placed again":    {steps: slices.Concat(both, []step{{at: 2 * time.Second, renew: restarted}}), current: placed, at: 2 * time.Second, want: "h1"},
		"a host with the table of servers goes before one with more processor time": {
			steps: slices.Concat(renewals(0, 2*time.Second, host("h2", 300)), renewals(0, 2*time.Second, hasTable)), current: placed, at: 2 * time.Second, want: "h3",
		},
		"a host with a newer table goes before one with more processor time": {
			steps: slices.Concat(renewals(0, 2*time.Second, newer), renewals(0, 2*time.Second, older)), current: placed, at: 2 * time.Second, want: "h3",
		},
		"a host with the same table and more processor time": {
			steps: slices.Concat(renewals(0, 2*time.Second, same), renewals(0, 2*time.Second, older)), current: placed, at: 2 * time.Second, want: "h2",
		},
		"versions of other tables": {
			steps: slices.Concat(renewals(0, 2*time.Second, former), renewals(0, 2*time.Second, host("h2", 300))), current: placed, at: 2 * time.Second, want: "h2",
		},
		"a placer that may follow the previous leader": {steps: renewals(0, 700*time.Millisecond, host("h2", 300)), current: placed, at: 700 * time.Millisecond},
		"one that doesn't renew at the new leader":     {steps: renewals(0, 900*time.Millisecond, host("h2", 300)), current: placed, at: 900 * time.Millisecond, want: "h2"},
		"one that doesn't renew and is suspected":      {steps: renewals(0, 400*time.Millisecond, suspects), current: placed, at: 400 * time.Millisecond, want: "h2"},
		"after a partition another host renews first": {
			steps: slices.Concat(both, renewals(7600*time.Millisecond, 7900*time.Millisecond, host("h2", 300))), current: placed, at: 8 * time.Second,
		},
		"after a partition the placer doesn't renew": {
			steps: slices.Concat(both, renewals(7600*time.Millisecond, 8500*time.Millisecond, host("h2", 300))), current: placed, at: 8500 * time.Millisecond, want: "h2",
		},
		"after a partition the placer has restarted": {
			steps: slices.Concat(both, []step{{at: 7600 * time.Millisecond, renew: host("h2", 300)}, {at: 7700 * time.Millisecond, renew: restarted}}), current: placed, at: 7700 * time.Millisecond, want: "h1",
		},
		"no other host can take over": {steps: renewals(0, time.Second, host("h1", 900)), current: placed, at: 3 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			w := NewWatch(start)
			for _, s := range tt.steps {
				w.Renew(s.renew, start.Add(s.at))
			}
			got := ""
			for _, p := range w.Decide(tt.current, start.Add(tt.at)) {
				got = p.Host
			}
			if got != tt.want {
				t.Fatalf("placed %q, want %q", got, tt.want)
			}
			if again := w.Decide(tt.current, start.Add(tt.at+10*time.Millisecond)); len(again) != 0 {
				t.Fatalf("decided %v again within 10 ms, before the first decision could commit", again)
			}
		})
	}
}

// TestPreviousProcessRenewsLate checks that a late renewal of a host's previous process changes nothing:
// it neither replaces the placer nor counts as the host's last renewal.
func TestPreviousProcessRenewsLate(t *testing.T) {
	former := host("h1", 900)
	former.Incarnation = 7
	leaving, suspects := former, former
	leaving.Leaving, suspects.Suspect = true, "h2"
	tests := map[string]struct {
		late    msgs.HostRenew
		silent  time.Duration // time between the previous and the current process
		current string        // host that is the placer
	}{
		"it was alive":                          {late: former, current: "h1"},
		"it was leaving":                        {late: leaving, current: "h1"},
		"it suspected the placer":               {late: suspects, current: "h2"},
		"it was alive, then the host was down":  {late: former, silent: 2 * time.Second, current: "h1"},
		"it was leaving, then the host was off": {late: leaving, silent: 10 * time.Second, current: "h1"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			w := NewWatch(now)
			w.Renew(former, now)
			now = now.Add(tt.silent)
			current := []model.Placement{{DataCentre: "dc", Host: tt.current, Incarnation: 1, Epoch: 5}}
			for range 10 {
				now = now.Add(RenewInterval)
				w.Renew(host("h1", 900), now)
				w.Renew(host("h2", 900), now)
			}
			now = now.Add(2 * RenewInterval)
			w.Renew(host("h1", 900), now)
			w.Renew(tt.late, now)
			if changes := w.Decide(current, now); len(changes) != 0 {
				t.Fatalf("placed %+v because of a renewal of a previous process", changes)
			}
			if m, _ := w.Renewal("h1"); m.Incarnation != 1 {
				t.Fatalf("h1 has incarnation %d, want 1", m.Incarnation)
			}
		})
	}
}

// TestFirstRenewalOfPreviousProcess covers the first renewal of a previous process that arrives after
// one of the current process. The current process, which then looks like a previous one, must not be
// ignored for good.
func TestFirstRenewalOfPreviousProcess(t *testing.T) {
	now := time.Unix(1000, 0)
	w := NewWatch(now)
	former := host("h1", 900)
	former.Incarnation = 7
	w.Renew(host("h1", 900), now)
	w.Renew(former, now)
	var last []model.Placement
	for end := now.Add(hostRetention + 2*proposalRetry); now.Before(end); {
		now = now.Add(RenewInterval)
		w.Renew(host("h1", 900), now)
		if changes := w.Decide(last, now); len(changes) > 0 {
			last = changes
		}
	}
	if len(last) != 1 || last[0].Incarnation != 1 {
		t.Fatalf("placed %+v, want the current process of h1", last)
	}
}
