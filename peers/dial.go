package peers

import (
	"context"
	"net"
	"time"
)

// DialFunc opens a connection, like the Dial field of a kernel.Env.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// DialWithTimeout returns a DialFunc that fails after the timeout. Without it, a
// dial to a host that doesn't answer blocks for minutes, until the system times
// out: an http.Transport doesn't cancel a dial together with the request that
// started it, and at its connection limit further requests wait for that dial.
func DialWithTimeout(dial DialFunc, timeout time.Duration) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return dial(ctx, network, address)
	}
}
