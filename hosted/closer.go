package hosted

import (
	"net"
	"net/http"
	"time"
)

const (
	// acceptDrainTime is how long a listener stays open after it stops taking new connections.
	// Handshakes in progress complete within some round trips of a region, and a host that is short
	// of processor time accepts the connections that have arrived.
	acceptDrainTime = 100 * time.Millisecond

	connDrainTime = stopReserve / 4 // in which late requests on the remaining connections are refused
)

// listenerCloser closes a listener for callers and its connections without losing requests in transit.
// It is needed because the operating system takes connections for a listener until it is closed and
// then resets those that weren't accepted, and because http.Server.Shutdown may close a connection on
// which it has just read a request.
type listenerCloser struct {
	listener   net.Listener
	onError    func(error) // receives errors because of which connections may be lost
	closingAt  time.Time   // when the system stopped taking new connections, zero before
	closed     bool
	drainingAt time.Time // when the draining of the connections began, zero before
}

// closing reports whether the listener is being closed or is closed.
func (c *listenerCloser) closing() bool { return c.closed || !c.closingAt.IsZero() }

// close starts or continues to close the listener and reports whether it is closed. It has to be
// called until then.
func (c *listenerCloser) close(now time.Time) bool {
	switch {
	case c.closed:
	case !c.closing():
		c.closingAt = now
		if err := dropNewConns(c.listener); err != nil {
			c.onError(err)
		}
	case now.Sub(c.closingAt) >= acceptDrainTime:
		c.closed = true
		if err := c.listener.Close(); err != nil {
			c.onError(err)
		}
	}
	return c.closed
}

// drainConns closes idle connections and reports whether none is left or connDrainTime has passed. It
// has to be called until then.
func (c *listenerCloser) drainConns(now time.Time, server *http.Server, conns int64) bool {
	if c.drainingAt.IsZero() {
		c.drainingAt = now
		server.SetKeepAlivesEnabled(false)
	}
	return conns == 0 || now.Sub(c.drainingAt) >= connDrainTime
}
