package peers

import (
	"context"
	"net"
	"time"
)

// DialFunc opens a connection, as the Dial of a kernel.Env does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// DialWithin returns a dial that gives up after a timeout. An http.Transport
// doesn't end its dial with the request that wanted it, and further requests
// wait for that dial once it has as many connections as it may. The system
// itself tries for minutes to reach a host that is silent.
func DialWithTimeout(dial DialFunc, timeout time.Duration) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return dial(ctx, network, address)
	}
}
