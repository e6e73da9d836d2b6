package intake

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"dogwoodrock.example/dogwoodrock/kernel"
)

// connKey is the key of a connection in the context of its requests.
type connKey struct{}

// conn is a connection of a gate.
type conn struct {
	net.Conn
	gate *Gate
	slot int

	phase     atomic.Uint32 // a Phase, above it the Reason of a refusal, above that the number of phases so far
	received  atomic.Int64  // bytes read from the connection
	writes    atomic.Int64  // twice the pieces written, plus 1 while one is being written
	moved     atomic.Int64  // Unix nanoseconds of the last progress, exact only for large bodies
	bytes     atomic.Int64  // charged for the body
	content   atomic.Int64  // charged for its decoded content
	announced atomic.Int64  // size of the body, not positive if unknown
	sends     atomic.Uint64 // version of the document that is being sent, 0 for none
	closed    atomic.Bool
	lingers   atomic.Bool // Close has begun to wait for the client
	arrived   atomic.Bool // whether the body of the present request was read to its end

	progress progress // of the service's task
}

// Positions in conn.phase.
const (
	reasonShift = 4
	countShift  = 8
)

func phaseOf(v uint32) Phase { return Phase(v & (1<<reasonShift - 1)) }

// refusedPhase returns the value of conn.phase after v when the connection is refused.
func refusedPhase(v uint32, r Reason) uint32 {
	return v>>countShift<<countShift | uint32(r)<<reasonShift | uint32(PhaseRefused)
}

// begin starts a phase, unless a body was refused. Only the goroutine that serves the connection calls it.
func (c *conn) begin(p Phase) bool {
	v := c.phase.Load()
	return phaseOf(v) != PhaseRefused && c.phase.CompareAndSwap(v, (v>>countShift+1)<<countShift|uint32(p))
}

// refuse ends the reading of the present body, if one is being read. The goroutine that reads it gets the
// reason.
func (c *conn) refuse(r Reason) {
	v := c.phase.Load()
	if phaseOf(v) != PhaseBody || !c.phase.CompareAndSwap(v, refusedPhase(v, r)) {
		return
	}
	c.gate.counts[r].Add(1)
	_ = c.SetReadDeadline(time.Unix(1, 0))
}

// refused returns why the body was refused, or None.
func (c *conn) refused() Reason {
	v := c.phase.Load()
	if phaseOf(v) != PhaseRefused {
		return None
	}
	return Reason(v >> reasonShift & (1<<(countShift-reasonShift) - 1))
}

// Read reads from the connection and counts the bytes.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// Write writes p in pieces, so that the gate sees whether the client reads them.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	for {
		c.writes.Add(1)
		n, err := c.Conn.Write(p[written:min(written+writePiece, len(p))])
		c.writes.Add(1)
		written += n
		if err != nil || written >= len(p) {
			return written, err
		}
	}
}

// Close closes the connection, after the client had the time to read the response to a body that wasn't read.
// http.Server waits only if the client hasn't asked to close the connection.
func (c *conn) Close() error {
	p := phaseOf(c.phase.Load())
	if (p == PhaseRefused || p == PhaseUnread) && !c.closed.Load() && !c.gate.stopped.Load() && !c.lingers.Swap(true) {
		c.linger()
	}
	return c.drop()
}

// drop closes the connection at once. The first call frees its place in the gate.
func (c *conn) drop() error {
	if c.closed.Swap(true) {
		return nil
	}
	err := c.Conn.Close()
	c.gate.slots[c.slot].Store(nil)
	c.gate.open.Add(-1)
	return err
}

// evict drops the connection unless a request on it is being served. A request that arrives in this moment
// is refused.
func (c *conn) evict(r Reason) {
	v := c.phase.Load()
	if p := phaseOf(v); p != PhaseServing && p != PhaseRefused && c.phase.CompareAndSwap(v, refusedPhase(v, r)) {
		c.gate.counts[r].Add(1)
		_ = c.drop()
	}
}

// linger reads what the client has sent, so that closing the connection doesn't discard the refusal.
func (c *conn) linger() {
	end := time.Now().Add(lingerTime)
	_ = c.SetReadDeadline(end)
	_ = c.CloseWrite()
	if _, err := io.CopyN(io.Discard, c.Conn, lingerBytes); err != nil {
		return // the client has closed the connection, or the time is over
	}
	timer := time.NewTimer(time.Until(end))
	defer timer.Stop()
	<-timer.C
}

// CloseWrite ends the sending direction, which http.Server does before it closes a connection with unread
// bytes.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// SyscallConn returns the raw connection.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	if s, ok := c.Conn.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// gateListener accepts connections into the slots of a gate.
type gateListener struct {
	net.Listener
	gate *Gate
}

// Accept waits for the next connection that the gate has room for.
func (l gateListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if own := l.gate.admit(c); own != nil {
			return own, nil
		}
	}
}

// Close closes the listener. Connections that are closed afterwards don't wait for their clients.
func (l gateListener) Close() error {
	l.gate.stopped.Store(true)
	return l.Listener.Close()
}

// admit puts a connection into a free slot. Without one it closes a connection that isn't being served, or
// else refuses the new one and returns nil.
func (g *Gate) admit(c net.Conn) *conn {
	if int(g.open.Load()) >= len(g.slots) {
		freed, err := kernel.Ask(context.Background(), g.task, func(reply func(bool)) any { return shortage{reply: reply} })
		if err != nil || !freed {
			g.counts[Conns].Add(1)
			refuseConn(c)
			return nil
		}
	}
	own := &conn{Conn: c, gate: g}
	own.moved.Store(time.Now().UnixNano())
	for range g.slots {
		n := g.cursor
		g.cursor = (g.cursor + 1) % len(g.slots)
		if g.slots[n].Load() == nil {
			own.slot = n
			g.slots[n].Store(own)
			g.open.Add(1)
			return own
		}
	}
	g.counts[Conns].Add(1)
	refuseConn(c)
	return nil
}

const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// refuseConn answers that nothing was run and closes the connection. The response fits into the buffers of
// the system.
func refuseConn(c net.Conn) {
	_ = c.SetWriteDeadline(time.Now().Add(lingerTime))
	_, _ = io.WriteString(c, refusal)
	_ = c.Close()
}

// boundUnread bounds what the system receives for the connections of a listener. Connections inherit the
// size of the buffers.
func boundUnread(l net.Listener, bytes int) error {
	tcp, ok := l.(syscall.Conn)
	if !ok || bytes <= 0 {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if errors.Is(err, errors.ErrUnsupported) {
		return nil
	}
	if err != nil {
		return err
	}
	var optErr error
	err = raw.Control(func(fd uintptr) {
		optErr = errors.Join(
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes),
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, bytes),
			syscall.Listen(int(fd), backlog),
		)
	})
	return errors.Join(err, optErr)
}
