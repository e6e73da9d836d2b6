//go:build !linux

package hosted

import "net"

// dropNewConns does nothing; connections that arrive while the listener closes are reset.
func dropNewConns(net.Listener) error { return nil }
