package hosted

import (
	"net"
	"net/http"
	"time"
)

const (
	// doorTime is how long a listener that takes no new connections stays open:
	// handshakes that have begun end within some round trips of a region, and a
	// host that is short of processor time accepts what has come.
	acceptDrainTime = 100 * time.Millisecond

	connDrainTime = stopReserve / 4 // in which requests come on connections that are left, and are refused
)

// door closes a listener for callers and their connections without a request
// being lost on the way. The system takes connections for a listener until it is
// closed, and then resets those that weren't accepted. A server that shuts down
// closes connections on which it has just read a request.
type listenerCloser struct {
	listener   net.Listener
	onError    func(error) // hears what keeps the listener from closing without loss
	closingAt  time.Time   // when the system was told to take no more, zero before
	closed     bool
	drainingAt time.Time // when the connections began to be closed, zero before
}

// shut tells whether the listener is being closed.
func (d *listenerCloser) closing() bool { return d.closed || !d.closingAt.IsZero() }

// close tells whether the listener is closed. It has to be called again until
// then.
func (d *listenerCloser) close(now time.Time) bool {
	switch {
	case d.closed:
	case !d.closing():
		d.closingAt = now
		if err := dropNewConns(d.listener); err != nil {
			d.onError(err)
		}
	case now.Sub(d.closingAt) >= acceptDrainTime:
		d.closed = true
		if err := d.listener.Close(); err != nil {
			d.onError(err)
		}
	}
	return d.closed
}

// empty closes the connections that aren't used and tells whether none is left,
// or whether the others had their time. It has to be called again until then.
func (d *listenerCloser) drainConns(now time.Time, server *http.Server, conns int64) bool {
	if d.drainingAt.IsZero() {
		d.drainingAt = now
		server.SetKeepAlivesEnabled(false)
	}
	return conns == 0 || now.Sub(d.drainingAt) >= connDrainTime
}
