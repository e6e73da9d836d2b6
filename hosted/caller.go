package hosted

import (
	"context"
	"errors"
	"net"
	"syscall"
)

// connKey is the key of a caller's connection in the context of its requests.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// CallerGone returns a function that asks the system whether the caller has closed
// the connection of a request. The context of the request tells that too, but only
// once the server's reader has had its turn.
func CallerGone(ctx context.Context) func() bool {
	left := func() bool { return ctx.Err() != nil }
	c, ok := ctx.Value(connKey{}).(syscall.Conn)
	if !ok {
		return left
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return left
	}
	return func() bool {
		if left() {
			return true
		}
		gone := false
		err := raw.Control(func(fd uintptr) { gone = closed(int(fd)) })
		return gone || errors.Is(err, net.ErrClosed)
	}
}

// closed tells whether a connection has ended. It takes no bytes off it.
func closed(fd int) bool {
	var next [1]byte
	n, _, err := syscall.Recvfrom(fd, next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	if err != nil {
		return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, syscall.EPIPE)
	}
	return n == 0
}
