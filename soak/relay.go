package soak

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"
)

// RelayMode is how a relay handles connections.
type RelayMode int32

// The modes of a relay. While bytes are held back, the connections look open to both sides.
const (
	ModeForward      RelayMode = iota
	ModeDelay                  // bytes are delayed by relayDelay
	ModeHoldInbound            // bytes to the target are held back
	ModeHoldOutbound           // bytes from the target are held back
	ModeReset                  // connections are closed at the next bytes
)

const (
	relayDelay        = 150 * time.Millisecond // for each chunk in ModeDelay
	relayPollInterval = 20 * time.Millisecond  // between checks of the mode while bytes are held back
)

// Relay forwards connections to another address.
type Relay struct {
	target   string
	mode     atomic.Int32
	listener net.Listener
}

// StartRelay listens on an address and forwards connections until ctx is done.
func StartRelay(ctx context.Context, listen, to string) (*Relay, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	r := &Relay{target: to, listener: l}
	go r.accept(ctx)
	context.AfterFunc(ctx, func() { _ = l.Close() })
	return r, nil
}

// SetMode changes the mode, also for open connections.
func (r *Relay) SetMode(m RelayMode) { r.mode.Store(int32(m)) }

func (r *Relay) inMode(m RelayMode) bool { return RelayMode(r.mode.Load()) == m }

func (r *Relay) accept(ctx context.Context) {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(ctx, c)
	}
}

func (r *Relay) forward(ctx context.Context, in net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer func() { _ = in.Close() }()
	out, err := (&net.Dialer{}).DialContext(ctx, "tcp", r.target)
	if err != nil {
		return
	}
	context.AfterFunc(ctx, func() { _, _ = in.Close(), out.Close() })
	go func() {
		defer cancel()
		r.copy(ctx, in, out, ModeHoldOutbound)
	}()
	r.copy(ctx, out, in, ModeHoldInbound)
}

// copy copies chunks of bytes, but holds them back while the relay is in holdMode.
func (r *Relay) copy(ctx context.Context, to io.Writer, from io.Reader, holdMode RelayMode) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil || r.inMode(ModeReset) {
			return
		}
		for r.inMode(holdMode) && ctx.Err() == nil {
			time.Sleep(relayPollInterval)
		}
		if r.inMode(ModeDelay) {
			time.Sleep(relayDelay)
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}
