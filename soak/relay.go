package soak

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"
)

// Mood is how a relay treats connections.
type Mood int32

// The moods of a relay.
const (
	MoodCalm      Mood = iota
	MoodDelayed        // bytes wait
	MoodSilent         // bytes to the host are held back, both ways look open
	MoodDeaf           // bytes from the host are held back
	MoodResetting      // connections break
)

const (
	relayDelay = 150 * time.Millisecond // of each piece in MoodDelayed
	relayCheck = 20 * time.Millisecond  // between looks at the mood while bytes are held back
)

// Relay passes connections on to another address.
type Relay struct {
	to       string
	mood     atomic.Int32
	listener net.Listener
}

// StartRelay listens on an address and passes on what comes until the context ends.
func StartRelay(ctx context.Context, listen, to string) (*Relay, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	r := &Relay{to: to, listener: l}
	go r.accept(ctx)
	context.AfterFunc(ctx, func() { _ = l.Close() })
	return r, nil
}

// Set changes the mood, also for open connections.
func (r *Relay) Set(m Mood) { r.mood.Store(int32(m)) }

func (r *Relay) is(m Mood) bool { return Mood(r.mood.Load()) == m }

func (r *Relay) accept(ctx context.Context) {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.pass(ctx, c)
	}
}

func (r *Relay) pass(ctx context.Context, in net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer func() { _ = in.Close() }()
	out, err := (&net.Dialer{}).DialContext(ctx, "tcp", r.to)
	if err != nil {
		return
	}
	context.AfterFunc(ctx, func() { _, _ = in.Close(), out.Close() })
	go func() {
		defer cancel()
		r.copy(ctx, in, out, MoodDeaf)
	}()
	r.copy(ctx, out, in, MoodSilent)
}

// copy moves pieces of bytes, but none in the mood that holds them back.
func (r *Relay) copy(ctx context.Context, to io.Writer, from io.Reader, held Mood) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil || r.is(MoodResetting) {
			return
		}
		for r.is(held) && ctx.Err() == nil {
			time.Sleep(relayCheck)
		}
		if r.is(MoodDelayed) {
			time.Sleep(relayDelay)
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}
