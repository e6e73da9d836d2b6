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

// CallerGone returns a function that reports whether the caller has closed the connection of a
// request. It asks the operating system, because the context of the request is cancelled only after
// the server's reading goroutine has run.
func CallerGone(ctx context.Context) func() bool {
	cancelled := func() bool { return ctx.Err() != nil }
	c, ok := ctx.Value(connKey{}).(syscall.Conn)
	if !ok {
		return cancelled
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return cancelled
	}
	return func() bool {
		if cancelled() {
			return true
		}
		gone := false
		err := raw.Control(func(fd uintptr) { gone = closed(int(fd)) })
		return gone || errors.Is(err, net.ErrClosed)
	}
}

// closed reports whether the peer has closed a connection. It consumes no bytes.
func closed(fd int) bool {
	var peeked [1]byte
	n, _, err := syscall.Recvfrom(fd, peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	if err != nil {
		return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, syscall.EPIPE)
	}
	return n == 0
}
