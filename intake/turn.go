package intake

import (
	"context"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"dogwoodrock.example/dogwoodrock/kernel"
)

const (
	// TurnTimeout is how long a request waits to read its large body. An operator's order is answered
	// within that time.
	TurnTimeout = 5 * time.Second

	// turnStall is the time without progress after which a large body is refused if others wait for it.
	turnStall = time.Second

	// turnLimit bounds the turn of a request that isn't answered. The services that use a body answer
	// within 3 s, or when they give up what they were asked.
	turnLimit = 2 * TurnTimeout
)

// States of a turn.
const (
	turnWaiting uint32 = iota
	turnReading        // the body is being read
	turnServing        // the body has arrived and is used
	turnOver
)

// turn is the permission to read a large body and to use it. A gate with Limits.Large grants one at a time,
// in the order of the requests. Reading and decoding a body of 64 MiB takes most of the memory of a small
// host, and what is proposed to others holds it further.
type turn struct {
	gate  *Gate
	conn  *conn
	state atomic.Uint32
	reply func(bool)

	began time.Time // of the service's task: when it was granted
}

// turnAsked asks for a turn.
type turnAsked struct{ *turn }

// turnEnded tells that a turn is over, or that nobody waits for it any more.
type turnEnded struct{ *turn }

// takeTurn waits until the request may read its large body.
func (m *meter) takeTurn() error {
	t := &turn{gate: m.gate, conn: m.conn}
	ctx, cancel := context.WithTimeout(m.ctx, TurnTimeout)
	defer cancel()
	_, err := kernel.Ask(ctx, m.gate.task, func(reply func(bool)) any {
		t.reply = reply
		return turnAsked{t}
	})
	if err != nil && t.state.CompareAndSwap(turnWaiting, turnOver) {
		m.gate.counts[Turn].Add(1)
		m.gate.task.Reply(turnEnded{t})
		return &RefusedError{Reason: Turn}
	}
	m.turn = t
	m.conn.receive(m.gate.limits.Wide)
	return nil
}

// receive sets what the system receives on a connection before the process reads it.
func (c *conn) receive(bytes int) {
	if tcp, ok := c.Conn.(*net.TCPConn); ok && c.gate.limits.Wide > c.gate.limits.Unread {
		_ = tcp.SetReadBuffer(bytes) // if it fails, the connection is slower
	}
}

// needsTurn reports whether a body of this size has to be read in its turn and has none yet.
func (m *meter) needsTurn(size int64) bool {
	return m.gate != nil && m.gate.limits.Large > 0 && size > m.gate.limits.Large && m.turn == nil
}

// serve records that the body has arrived.
func (t *turn) serve() {
	if t != nil {
		t.state.CompareAndSwap(turnReading, turnServing)
	}
}

// end ends the turn. It may be called again.
func (t *turn) end() {
	if t != nil && t.state.Swap(turnOver) != turnOver {
		t.conn.receive(t.gate.limits.Unread)
		t.gate.task.Reply(turnEnded{t})
	}
}

// handleTurn handles a message about a turn.
func (g *Gate) handleTurn(msg any, now time.Time) {
	switch m := msg.(type) {
	case turnAsked:
		g.turns = append(g.turns, m.turn)
	case turnEnded:
		g.turns = slices.DeleteFunc(g.turns, func(t *turn) bool { return t == m.turn })
	}
	g.grantTurn(now)
}

// grantTurn grants the first turn unless it is granted. Those that nobody waits for any more are dropped.
func (g *Gate) grantTurn(now time.Time) {
	g.turns = slices.DeleteFunc(g.turns, func(t *turn) bool { return t.state.Load() == turnOver })
	if len(g.turns) > 0 && g.turns[0].state.CompareAndSwap(turnWaiting, turnReading) {
		g.turns[0].began = now
		g.turns[0].reply(true)
	}
}

// sweepTurn ends the turn of a client that stalls or is slow while others wait, and that of a request without an
// answer.
func (g *Gate) sweepTurn(now time.Time) {
	if len(g.turns) < 2 {
		return
	}
	t := g.turns[0]
	p := &t.conn.progress
	switch {
	case t.state.Load() == turnReading && phaseOf(p.phase) == PhaseBody && now.Sub(p.moved) >= turnStall:
		t.conn.refuse(Stalled)
	case t.state.Load() == turnReading && now.Sub(t.began) >= TurnTimeout:
		t.conn.refuse(Slow) // others wait no longer; 64 MiB within this time are 107 Mbit/s
	case t.state.Load() == turnServing && now.Sub(t.began) >= turnLimit:
		t.state.Store(turnOver)
	}
	g.grantTurn(now)
}
