//go:build !linux

package hosted

import "net"

// turnAway does nothing: connections that come while the listener closes are
// reset.
func turnAway(net.Listener) error { return nil }
