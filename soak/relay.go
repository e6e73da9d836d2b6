package soak

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"
)

// Mood is how a relay treats connections.
type RelayMode int32

// The moods of a relay.
const (
	ModeForward      RelayMode = iota
	ModeDelay                  // bytes wait
	ModeHoldInbound            // bytes to the host are held back, both ways look open
	ModeHoldOutbound           // bytes from the host are held back
	ModeReset                  // connections break
)

const (
	relayDelay        = 150 * time.Millisecond // of each piece in MoodDelayed
	relayPollInterval = 20 * time.Millisecond  // between looks at the mood while bytes are held back
)

// Relay passes connections on to another address.
type Relay struct {
	target   string
	mode     atomic.Int32
	listener net.Listener
}

// StartRelay listens on an address and passes on what comes until the context ends.
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

// Set changes the mood, also for open connections.
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

// copy moves pieces of bytes, but none in the mood that holds them back.
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
