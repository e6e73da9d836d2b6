package kernel

import (
	"context"
	"math/rand/v2"
	"net"
	"time"
)

// Env holds what services take from the outside world. Tests replace its
// fields with fakes.
type Env struct {
	Now    func() time.Time
	Random func() uint64
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
	Listen func(ctx context.Context, network, address string) (net.Listener, error)
}

// SystemEnv returns the clock, random numbers and sockets of the system.
func SystemEnv() Env {
	var plain net.ListenConfig
	plain.SetMultipathTCP(false) // the system filters plain TCP only
	return Env{
		Now:    time.Now,
		Random: rand.Uint64,
		Dial:   (&net.Dialer{}).DialContext,
		Listen: plain.Listen,
	}
}
