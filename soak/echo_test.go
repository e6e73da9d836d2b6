package soak

import (
	"context"
	"io"
	"net"
	"testing"
	"time"
)

// echoRelay returns a relay to an echo server, and a function that reports whether a byte sent through
// the relay is returned within 1 s.
func echoRelay(t *testing.T, ctx context.Context) (func() bool, *Relay) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	context.AfterFunc(ctx, func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	relay, err := StartRelay(ctx, "127.0.0.1:0", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	return func() bool {
		c, err := net.Dial("tcp", relay.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		if _, err := c.Write([]byte("x")); err != nil {
			return false
		}
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		_, err = io.ReadFull(c, make([]byte, 1))
		return err == nil
	}, relay
}
