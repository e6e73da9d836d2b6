package proof

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/stand"
)

// conditionTimeout limits the wait for one condition. It is far above the usual time.
const conditionTimeout = 60 * time.Second

var dataCentres = []string{"changwon", "gimhae", "jinju"}

const hostsPerDataCentre = 3

// System is a complete system on loopback addresses.
type System struct {
	t      *testing.T
	Hosts  []*Host
	Relays *Relays // nil if the hosts connect to each other directly
	Fleet  *stand.Group
}

// systemOptions are the settings of a system that differ by test.
type systemOptions struct {
	relays bool   // whether the hosts connect to each other through relays
	timing string // lines of the section Timing of the settings
	// fleet adds the backend servers of one data centre. By default it adds two.
	fleet func(g *stand.Group, cfg stand.Config) error
}

// startSystem starts 9 entry hosts and their backend servers, puts the lists and waits until all hosts
// run tasks. All of it is stopped at the end of the test.
func startSystem(t *testing.T, opts systemOptions) *System {
	t.Helper()
	s := &System{t: t}
	s.addHosts()
	if opts.relays {
		s.Relays = startRelays(t, s.Hosts)
	}
	for _, h := range s.Hosts {
		h.writeSettings(t, s, opts.timing)
		h.Start(t)
	}
	s.putDefaultLists()
	s.awaitReady()
	s.startFleet(opts.fleet)
	return s
}

// addHosts adds three hosts for each data centre. Each host has its own loopback IP, derived from the
// process ID, so that fixed ports are free.
func (s *System) addHosts() {
	pid := os.Getpid()
	dir := s.t.TempDir()
	for i, dc := range dataCentres {
		for j := range hostsPerDataCentre {
			ip := fmt.Sprintf("127.%d.%d.%d", 1+pid/250%250, 1+pid%250, 10+i*hostsPerDataCentre+j)
			h := &Host{
				Name:       fmt.Sprintf("%s-%d", dc, j+1),
				DataCentre: dc,
				Address:    ip + ":7080",
				Front:      ip + ":8080",
				Folder:     filepath.Join(dir, fmt.Sprintf("%s-%d", dc, j+1)),
				Disk:       j == 0,
			}
			s.Hosts = append(s.Hosts, h)
		}
	}
}

func (s *System) startFleet(add func(g *stand.Group, cfg stand.Config) error) {
	s.t.Helper()
	if add == nil {
		add = func(g *stand.Group, cfg stand.Config) error { return g.AddMany(cfg, 2) }
	}
	s.Fleet = stand.NewGroup()
	for _, dc := range dataCentres {
		cfg := stand.Config{
			Name: "mrozna-" + dc, DataCentre: dc, Entries: s.fronts(dc),
			Services: []string{"dispatch"}, Slots: 8,
		}
		if err := add(s.Fleet, cfg); err != nil {
			s.t.Fatal(err)
		}
	}
	if err := s.Fleet.Start(context.Background()); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel() // don't wait for running tasks
		s.Fleet.Stop(ctx)
	})
	if len(s.Fleet.Names()) == 0 {
		return
	}
	for _, h := range s.Hosts {
		s.waitUntil(h.Name+" runs tasks", func() bool { return s.hostServes(h) })
	}
}

// serves reports whether a host of the data centre completes a job.
func (s *System) serves(dataCentre string) bool {
	return slices.ContainsFunc(s.hostsIn(dataCentre), s.hostServes)
}

// hostServes reports whether a host completes a job.
func (s *System) hostServes(h *Host) bool {
	return h.Running() && s.probe().submit(h, Job{Customer: "chime", Tasks: []string{"ms=1"}}).State == "Complete"
}

func (s *System) fronts(dataCentre string) []string {
	var fronts []string
	for _, h := range s.hostsIn(dataCentre) {
		fronts = append(fronts, h.Front)
	}
	return fronts
}

// hostsIn returns the hosts of a data centre.
func (s *System) hostsIn(dataCentre string) []*Host {
	return slices.DeleteFunc(slices.Clone(s.Hosts), func(h *Host) bool { return h.DataCentre != dataCentre })
}

// host returns a host by name and fails the test if there is none.
func (s *System) host(name string) *Host {
	s.t.Helper()
	i := slices.IndexFunc(s.Hosts, func(h *Host) bool { return h.Name == name })
	if i < 0 {
		s.t.Fatalf("no host is named %q", name)
	}
	return s.Hosts[i]
}

func (s *System) awaitReady() {
	s.t.Helper()
	for _, h := range s.Hosts {
		s.waitUntil(h.Name+" is ready", func() bool { return s.client().ready(h) })
	}
}

// pollInterval is the time between two checks of a condition.
const pollInterval = 20 * time.Millisecond

// waitUntil polls a condition and fails the test if it doesn't hold within conditionTimeout.
func (s *System) waitUntil(what string, condition func() bool) {
	s.t.Helper()
	deadline := time.Now().Add(conditionTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			s.t.Fatalf("timed out waiting for condition: %s", what)
		}
		<-time.After(pollInterval)
	}
}

// counts returns the counts of all stand-ins.
func (s *System) counts() stand.Counts {
	s.t.Helper()
	counts, err := s.Fleet.Counts(context.Background())
	if err != nil {
		s.t.Fatal(err)
	}
	return counts
}

// checkStarts fails the test if a task was started more than once.
func (s *System) checkStarts() {
	s.t.Helper()
	if repeated := s.counts().Repeated(); len(repeated) > 0 {
		s.t.Errorf("started more than once: %v", repeated)
	}
}
