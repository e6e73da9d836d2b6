package peers

import (
	"context"
	"errors"
	"net"
	"syscall"
)

// countedConn is a connection that reports the bytes it sends.
type countedConn struct {
	net.Conn
	sent func(bytes int)
}

// Write writes p to the connection and reports the bytes written.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent(n)
	return n, err
}

// countedListener accepts connections that report the bytes they send.
type countedListener struct {
	net.Listener
	sent func(bytes int)
}

// Accept waits for the next connection and wraps it in a countedConn.
func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{Conn: c, sent: l.sent}, nil
}

// SyscallConn returns the raw listener, to set its options.
func (l countedListener) SyscallConn() (syscall.RawConn, error) {
	if s, ok := l.Listener.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// CountSent returns a DialFunc whose connections report the bytes they send,
// HTTP headers included. Several tasks may call sent at the same time.
func CountSent(dial DialFunc, sent func(bytes int)) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return countedConn{Conn: c, sent: sent}, nil
	}
}
