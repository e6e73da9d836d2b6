package kernel

import (
	"context"
	"math/rand/v2"
	"net"
	"time"
)

// Env holds the clock, random numbers and sockets that services use. Tests
// replace its fields with fakes.
type Env struct {
	Now    func() time.Time
	Random func() uint64
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
	Listen func(ctx context.Context, network, address string) (net.Listener, error)
}

// SystemEnv returns the clock, random numbers and sockets of the system.
func SystemEnv() Env {
	var plain net.ListenConfig
	plain.SetMultipathTCP(false) // the system's filters apply to plain TCP only
	return Env{
		Now:    time.Now,
		Random: rand.Uint64,
		Dial:   (&net.Dialer{}).DialContext,
		Listen: plain.Listen,
	}
}
