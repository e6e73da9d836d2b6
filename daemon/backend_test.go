package daemon

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/kernel"
	"dogwoodrock.example/dogwoodrock/stand"
)

// backend is a stand-in backend server of one data centre.
type backend struct {
	name       string
	dataCentre string
	group      *stand.Group
	running    atomic.Int64 // tasks running now
}

// startBackend starts a backend server that announces itself to the entry hosts of its data
// centre in turn. Each of its tasks runs for the time work.
func (c *cluster) startBackend(t *testing.T, dataCentre string, n int, work time.Duration, changes ...func(*stand.Config)) {
	t.Helper()
	b := &backend{name: fmt.Sprintf("%s-b%d", dataCentre, n), dataCentre: dataCentre}
	b.group = stand.NewGroup(kernel.WithEnv(c.network.Env(b.name, uint64(len(c.backends)))))
	cfg := stand.Config{
		Name:       b.name,
		DataCentre: dataCentre,
		Listen:     fmt.Sprintf("10.1.%d.%d:9001", len(c.backends), n),
		Services:   []string{"dispatch"},
	}
	for _, change := range changes {
		change(&cfg)
	}
	for _, host := range hostsOf(dataCentre) {
		cfg.Entries = append(cfg.Entries, c.settings[host].Host.Listen)
	}
	runTime := func(s *stand.Behaviour) {
		s.RunTime = func(stand.Call, time.Duration) time.Duration { return work }
	}
	if err := b.group.Add(cfg, stand.WithMisbehaviour(runTime), stand.WithObserver(b.observe)); err != nil {
		t.Fatal(err)
	}
	if err := b.group.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	c.backends = append(c.backends, b)
	t.Cleanup(func() {
		expired, cancel := context.WithCancel(context.Background())
		cancel()
		b.group.Stop(expired)
	})
}

func (b *backend) observe(_ stand.Call, runs bool) {
	if runs {
		b.running.Add(1)
		return
	}
	b.running.Add(-1)
}

// stopAnnouncing ends the announcements without a leave message.
func (b *backend) stopAnnouncing() { _ = b.group.StopAnnouncing(b.name) }

// counts returns the statistics of the server.
func (b *backend) counts() stand.Counts {
	counts, err := b.group.Counts(context.Background())
	if err != nil {
		panic(err)
	}
	return counts
}

// starts returns how often all backend servers together have started the task with that label.
func (c *cluster) starts(label string) int {
	n := 0
	for _, b := range c.backends {
		n += b.counts().Starts[label]
	}
	return n
}
