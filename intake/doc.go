// Package intake bounds what the clients of an HTTP listener may occupy in this process: open connections,
// bytes of bodies that are being read, and the processor time of bodies that arrive in very small pieces.
// It closes the connections of the clients that have made no progress for the longest time first, so that
// ordinary requests are still served beside clients that send large bodies and never end them.
//
// A Gate belongs to one listener. The service that owns the listener passes messages of the gate and ticks
// to it, in its own task; goroutines of connections share only atomic values with it. Which connections are
// closed is decided by pure functions (see Evict).
package intake
