package intake

import "time"

// Limits bounds the clients of one listener.
type Limits struct {
	Conns     int   // open connections
	BodyBytes int64 // size of one body
	AllBodies int64 // bytes of all bodies that are being read or decoded. Reading a body takes up to twice its size
	Contents  int64 // bytes that the contents of all bodies take once they are decoded, see WithWeight
	Outdated  int64 // bytes of older versions of a document that are being sent, see Send
	Large     int64 // size from which bodies are read and used one after the other, 0 for no such size
	Messages  bool  // the bodies are messages between hosts: EvictMessages decides
	Unread    int   // bytes that the system receives for a connection before the process reads them, 0 for the system's default
	Wide      int   // the same for the connection whose large body is read in its turn, 0 for no other value
}

const (
	// smallBody is the size in bytes up to which a body isn't charged. The buffers of its connection take
	// as much.
	smallBody = 4 << 10

	// StallTimeout is the longest time without progress of a body or of a response. A data centre that is
	// partitioned for 6 s and a retransmission after it stay below.
	StallTimeout = 10 * time.Second

	// minRate in bytes per second is the lowest average rate of a body, after rateGrace. A client with a
	// hundredth of the slowest link of a host (19 Mbit/s) is ten times as fast.
	minRate   = 2 << 10
	rateGrace = StallTimeout

	// framingBytes are the bytes of chunk headers that a body may have in addition to as many bytes as its
	// content has. A job body of 262,144 bytes in chunks of one byte has 1.3 MB of them.
	framingBytes = 2 << 20

	// smallRead is the size in bytes below which reads of bodies are paced, after the first freeReads of a
	// body. All bodies of a gate together get smallReads such reads per second: each costs about 10 µs, so
	// that they take 20 ms of processor time per second, a seventh of the smallest host's.
	smallRead  = 512
	freeReads  = 8
	smallReads = 2000

	// backlog is the number of connections that the system holds until the process accepts them. What they
	// send takes memory before any bound of this package applies to it.
	backlog = 512

	// writePiece is the part of a response that has to be sent within StallTimeout.
	writePiece = 64 << 10

	// lingerTime is how long a connection on which a body wasn't read stays open after its response, and
	// lingerBytes bounds what is read and dropped meanwhile. Without that, unread bytes make the system reset
	// the connection, and the response is lost: of five clients that sent 20 MiB and asked to close the
	// connection, one received it. The time is many round trips.
	lingerTime  = 200 * time.Millisecond
	lingerBytes = 256 << 10

	// unreadTimeout is the time in which the rest of a body that the handler hasn't read is received and
	// dropped, so that the client gets the response. http.Server waits for it until its ReadTimeout.
	unreadTimeout = time.Second

	// RetryAfter is the time in seconds after which a refused client may come back: stalled bodies are
	// closed at once when others need their place.
	RetryAfter = 1
)

// SweepInterval is the interval at which the service of a gate calls Sweep.
const SweepInterval = 500 * time.Millisecond

// Reason is why a connection was closed or a body was refused.
type Reason uint32

// Reasons.
const (
	None      Reason = iota
	Conns            // there are too many connections
	AllBodies        // the bodies being read are too large together
	BodySize         // the body is larger than one may be
	Stalled          // the body made no progress
	Slow             // the body arrives too slowly
	Framing          // the chunks of the body are too small
	Unread           // the client doesn't read its response
	Turn             // other large bodies were read and used all the time
	Outdated         // the response is a version of a document that has been replaced
	Content          // the content of the body would take too much memory once it is decoded
	reasons
)

var reasonNames = [reasons]string{"None", "Connections", "AllBodies", "BodySize", "Stalled", "Slow", "Framing", "Unread", "Turn", "Outdated", "Content"}

// String returns the name of the reason in logs and metrics.
func (r Reason) String() string {
	if r >= reasons {
		return reasonNames[None]
	}
	return reasonNames[r]
}

// Closed tells how many connections a gate has closed or refused for one reason since the last report, and
// what decided.
type Closed struct {
	Reason Reason
	Count  int64
	Conns  int   // open connections of the gate
	Bytes  int64 // of the bodies being read
}
