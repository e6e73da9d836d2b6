package group

import (
	"fmt"
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/quota"
)

// wideBackend announces the backend server with a slot for every task.
var wideBackend = msgs.BackendAnnounce{Server: model.BackendServer{
	Name: "b1", Address: "10.0.0.1:9001", DataCentre: "dc", Services: []string{"dispatch"}, Slots: 100, Connections: 300, Lease: time.Hour,
}}

// TestPromises checks that the primary excludes the reserve of each host without a valid promise from
// its share. The share is 100 tasks and the reserve of each host is 12 or 13.
func TestPromises(t *testing.T) {
	tests := map[string]struct {
		do   func(f *fixture)
		want int
	}{
		"all hosts promise":        {do: func(*fixture) {}, want: 100},
		"one host is down":         {do: func(f *fixture) { f.kill(memberNames[2]) }, want: 88},
		"one host is restarted":    {do: func(f *fixture) { f.kill(memberNames[2]); f.run(time.Minute); f.restart(memberNames[2]) }, want: 100},
		"one host stops promising": {do: func(f *fixture) { f.hosts[memberNames[2]].noPromise = true }, want: 88},
		"a new primary":            {do: func(f *fixture) { f.kill(f.primary()) }, want: 87},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.makePrimary(memberNames[0])
			tt.do(f)
			f.run(10 * lease)
			if got := f.members[f.primary()].primary.placer.Usage("halny", f.now).MaxRunning; got != tt.want {
				t.Errorf("the primary may use %d, want %d", got, tt.want)
			}
		})
	}
}

// makePrimary hands leadership over until the host is the primary.
func (f *fixture) makePrimary(name string) {
	f.t.Helper()
	for range memberNames {
		if f.primary() == name {
			return
		}
		f.members[f.primary()].drain(nil)
		f.run(5 * lease)
	}
	f.t.Fatalf("%s does not become the primary", name)
}

// TestLoanExcludesReserve requests a loan while a host may be serving alone: the reserve of that host
// must not be lent.
func TestLoanExcludesReserve(t *testing.T) {
	tests := map[string]struct {
		down bool
		want int
	}{
		"all hosts are up": {want: 10},
		"one is down":      {down: true, want: 4},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.makePrimary(memberNames[0])
			f.holdGrants = true
			n := f.members[memberNames[0]]
			n.Handle(wideBackend)
			if tt.down {
				f.kill(memberNames[2])
			}
			for i := range 80 {
				f.ask(memberNames[0], fmt.Sprint("job", i), "", "")
			}
			f.run(10 * lease)
			want := quota.Limits{MaxRunning: 50}
			n.Handle(msgs.LoanAsk{Request: quota.Request{ID: "1", Customer: "halny", Lender: "dc", Borrower: "b", Want: want}, Host: "b-1"})
			f.run(lease)
			limits, _ := n.limitsOf("halny")
			if got := n.ledger.Lent("halny", limits).MaxRunning; got != tt.want {
				t.Errorf("lent %d, want %d", got, tt.want)
			}
		})
	}
}

// TestPlacesAlone checks the grants of a partitioned host that serves alone: only jobs without a key,
// within its reserve, with AloneView and its last known fence.
func TestPlacesAlone(t *testing.T) {
	const jobs = 30
	tests := map[string]struct {
		before func(f *fixture, n *Member)
		key    string
		want   int
	}{
		"jobs without a key, within its reserve": {before: func(*fixture, *Member) {}, want: 12},
		"jobs with a key":                        {before: func(*fixture, *Member) {}, key: "k"},
		"a request to stop serving alone":        {before: func(_ *fixture, n *Member) { n.Handle(msgs.Renew{Host: n.Self.Name}) }},
		"a plan that is too small": {before: func(_ *fixture, n *Member) {
			l := n.lists
			l.Plans = []model.Plan{l.Plans[0]}
			l.Plans[0].MaxRunning = 5
			n.Handle(Lists{Lists: l})
		}},
		"running tasks count": {before: func(_ *fixture, n *Member) {
			running := msgs.Grant{ID: 1, Job: "old", BackendServer: "b1", Service: "dispatch", Customer: "halny"}
			n.Handle(msgs.Renew{Host: n.Self.Name})
			n.Handle(msgs.Renew{Host: n.Self.Name, Alone: true, Reported: true, Outstanding: []msgs.Grant{running}})
		}, want: 11},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.makePrimary(memberNames[0])
			f.holdGrants = true
			last := memberNames[2]
			h, n := f.hosts[last], f.members[last]
			f.isolate(last, true)
			h.silent = true
			n.Handle(wideBackend)
			n.Handle(msgs.Renew{Host: last, Alone: true, Reported: true})
			f.deliver()
			if !h.lease.Alone || h.lease.Primary != last || h.lease.Fence != n.registry.Fence() {
				t.Fatalf("the lease is %+v", h.lease)
			}
			tt.before(f, n)
			for i := range jobs {
				f.ask(last, fmt.Sprint("job", i), "", tt.key)
			}
			f.run(lease)
			if len(h.grants) != tt.want {
				t.Errorf("%d grants, want %d", len(h.grants), tt.want)
			}
			for _, g := range h.grants {
				if g.View != msgs.AloneView || g.Fence != n.registry.Fence() {
					t.Errorf("the grant is %+v", g)
				}
			}
			if refused := len(receivedOf[msgs.JobRefused](f, last)); (refused == jobs) != (name == "a plan that is too small") {
				t.Errorf("%d jobs were refused", refused)
			}
		})
	}
}
