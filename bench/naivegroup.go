package bench

import (
	"context"
	"fmt"
	"slices"
	"time"

	"dogwoodrock.example/dogwoodrock/kernel"
)

// NaiveGroup runs the entry hosts of a naive dispatcher in one process.
type NaiveGroup struct {
	kernel *kernel.Kernel
	names  []string
}

// NaiveOption configures a naive entry host.
type NaiveOption func(*NaiveHost)

// WithRetryPause makes the hosts wait this long between two calls of a task and retry until the
// deadline of its job. Without a pause they retry immediately, and a job fails when naiveAttempts
// calls of one of its tasks fail, for example because the backend servers are full.
func WithRetryPause(pause time.Duration) NaiveOption {
	return func(n *NaiveHost) { n.RetryPause = pause }
}

// StartNaive starts one naive entry host for each IP and port.
func StartNaive(ctx context.Context, listen []string, opts ...NaiveOption) (*NaiveGroup, error) {
	g := &NaiveGroup{kernel: kernel.New()}
	for i := range listen {
		g.names = append(g.names, fmt.Sprintf("naive-%d", i+1))
	}
	for i, address := range listen {
		peers := slices.DeleteFunc(slices.Clone(g.names), func(name string) bool { return name == g.names[i] })
		n := &NaiveHost{Name: g.names[i], Listen: address, Peers: peers}
		for _, opt := range opts {
			opt(n)
		}
		if err := g.kernel.Register(n.Service()); err != nil {
			return nil, err
		}
	}
	return g, g.kernel.Start(ctx)
}

// Addresses returns the IP and port of each host.
func (g *NaiveGroup) Addresses(ctx context.Context) ([]string, error) {
	var addresses []string
	for _, name := range g.names {
		ref, err := g.kernel.Find(name)
		if err != nil {
			return nil, err
		}
		address, err := kernel.Ask(ctx, ref, func(reply func(string)) any { return addressMsg{Reply: reply} })
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// Stop stops the hosts immediately, without waiting for their jobs.
func (g *NaiveGroup) Stop(ctx context.Context) {
	g.kernel.Stop(ctx)
}
