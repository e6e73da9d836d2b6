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
	doorTime = 100 * time.Millisecond

	lingerTime = stopReserve / 4 // in which requests come on connections that are left, and are refused
)

// door closes a listener for callers and their connections without a request
// being lost on the way. The system takes connections for a listener until it is
// closed, and then resets those that weren't accepted. A server that shuts down
// closes connections on which it has just read a request.
type door struct {
	listener net.Listener
	failed   func(error) // hears what keeps the listener from closing without loss
	shutAt   time.Time   // when the system was told to take no more, zero before
	closed   bool
	emptyAt  time.Time // when the connections began to be closed, zero before
}

// shut tells whether the listener is being closed.
func (d *door) shut() bool { return d.closed || !d.shutAt.IsZero() }

// close tells whether the listener is closed. It has to be called again until
// then.
func (d *door) close(now time.Time) bool {
	switch {
	case d.closed:
	case !d.shut():
		d.shutAt = now
		if err := turnAway(d.listener); err != nil {
			d.failed(err)
		}
	case now.Sub(d.shutAt) >= doorTime:
		d.closed = true
		if err := d.listener.Close(); err != nil {
			d.failed(err)
		}
	}
	return d.closed
}

// empty closes the connections that aren't used and tells whether none is left,
// or whether the others had their time. It has to be called again until then.
func (d *door) empty(now time.Time, server *http.Server, conns int64) bool {
	if d.emptyAt.IsZero() {
		d.emptyAt = now
		server.SetKeepAlivesEnabled(false)
	}
	return conns == 0 || now.Sub(d.emptyAt) >= lingerTime
}
