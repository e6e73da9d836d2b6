package intake

import (
	"cmp"
	"context"
	"math"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"dogwoodrock.example/dogwoodrock/kernel"
)

// Gate bounds the clients of one listener.
type Gate struct {
	limits Limits
	closed func(Closed) // reports closed connections, called by the service

	task    kernel.Ref // of the service that owns the gate
	slots   []atomic.Pointer[conn]
	cursor  int // the slot at which the accepting goroutine looks first
	open    atomic.Int64
	stopped atomic.Bool  // the listener is closed
	reading atomic.Int64 // bodies being read
	bytes   atomic.Int64 // charged for them
	content atomic.Int64 // charged for their decoded contents
	counts  [reasons]atomic.Int64

	waiting   []shortage   // for bytes of refused bodies, until those are released
	waiters   atomic.Int64 // len(waiting), and one more while a shortage is handled
	lastSweep time.Time
	turns     []*turn // of large bodies; only the first may be granted
	sending   []sendBegun
}

// shortage is the request for bytes, or for connections if bytes is 0.
type shortage struct {
	conn    *conn // that needs the bytes
	bytes   int64
	content bool // for a decoded content
	reply   func(freed bool)
}

// released tells that bytes were released while bodies wait for some.
type released struct{}

// defaultConns is the limit for connections of a gate without one.
const defaultConns = 1 << 14

// New returns a gate with these limits; one that is 0 isn't set. It calls closed, unless that is nil, about
// connections that it closes, at most once per reason and sweep.
func New(limits Limits, closed func(Closed)) *Gate {
	limits.Conns = cmp.Or(limits.Conns, defaultConns)
	limits.BodyBytes = cmp.Or(limits.BodyBytes, math.MaxInt64)
	limits.AllBodies = cmp.Or(limits.AllBodies, math.MaxInt64)
	limits.Contents = cmp.Or(limits.Contents, math.MaxInt64)
	limits.Outdated = cmp.Or(limits.Outdated, math.MaxInt64)
	if closed == nil {
		closed = func(Closed) {}
	}
	return &Gate{limits: limits, closed: closed, slots: make([]atomic.Pointer[conn], limits.Conns)}
}

// Listener returns a listener whose connections belong to the gate. The service that owns the gate is
// task; it has to pass the messages for which Handle returns true.
func (g *Gate) Listener(l net.Listener, task kernel.Ref) (net.Listener, error) {
	g.task = task
	if err := boundUnread(l, g.limits.Unread); err != nil {
		return nil, err
	}
	return gateListener{Listener: l, gate: g}, nil
}

// Handle handles a message of the gate and reports whether it is one.
func (g *Gate) Handle(msg any, now time.Time) bool {
	switch m := msg.(type) {
	case released:
		g.retry()
	case turnAsked, turnEnded:
		g.handleTurn(m, now)
	case sendBegun, sendEnded:
		g.handleSend(m)
	case shortage:
		if m.bytes > 0 {
			g.waiters.Add(1)
			g.waiting = append(g.waiting, m)
			g.retry()
			return true
		}
		m.reply(g.freeConns(now))
	default:
		return false
	}
	return true
}

// retry answers the shortages for which there are bytes by now or can't be, and those of bodies that were
// refused meanwhile: what they hold is released only then.
func (g *Gate) retry() {
	isRefused := func(m shortage) bool { return m.conn.refused() != None }
	for again := true; again; again = slices.ContainsFunc(g.waiting, isRefused) {
		need, content := int64(0), int64(0)
		g.waiting = slices.DeleteFunc(g.waiting, func(m shortage) bool {
			result := bytesTaken
			switch {
			case isRefused(m): // needs nothing any more
			case m.content:
				content += m.bytes
				result = g.freeContent(content)
			default:
				need += m.bytes
				result = g.freeBytes(need)
			}
			if result == bytesComing {
				return false
			}
			m.reply(result == bytesFree)
			g.waiters.Add(-1)
			return true
		})
	}
}

// Results of freeBytes.
const (
	bytesFree   = iota // there are enough
	bytesComing        // there will be, when refused bodies have been released
	bytesTaken         // other requests hold them
)

func (g *Gate) evict(held []Held, need int64) []int {
	if g.limits.Messages {
		return EvictMessages(held, need, time.Now())
	}
	return EvictBodies(held, need)
}

// freeBytes refuses stalled bodies until the bytes can be charged. The bytes of a refused body count until
// the goroutine that reads it has dropped its buffer.
func (g *Gate) freeBytes(bytes int64) int {
	need := g.bytes.Load() + bytes - g.limits.AllBodies
	if need <= 0 {
		return bytesFree
	}
	held := g.held()
	for _, h := range held {
		if h.Phase == PhaseRefused {
			need -= h.Bytes
		}
	}
	if need <= 0 {
		return bytesComing
	}
	list := g.evict(held, need)
	if len(list) == 0 {
		return bytesTaken
	}
	for _, n := range list {
		if c := g.slots[n].Load(); c != nil {
			c.refuse(AllBodies)
		}
	}
	return bytesComing
}

// freeContent reports whether the bytes can be charged for decoded contents. Those that hold them are being decoded,
// which ends without the clients.
func (g *Gate) freeContent(bytes int64) int {
	if g.content.Load()+bytes <= g.limits.Contents {
		return bytesFree
	}
	return bytesComing
}

// evictShare is the part of the connections that is closed at a time. Each choice looks at all of them.
const evictShare = 32

// freeConns closes connections that aren't being served, unless one has been closed meanwhile.
func (g *Gate) freeConns(now time.Time) bool {
	if int(g.open.Load()) < len(g.slots) {
		return true
	}
	list := EvictConns(g.held(), 1+len(g.slots)/evictShare, now)
	for _, n := range list {
		if c := g.slots[n].Load(); c != nil {
			c.evict(Conns)
		}
	}
	return len(list) > 0
}

// held returns what the connections hold.
func (g *Gate) held() []Held {
	list := make([]Held, 0, len(g.slots))
	for n := range g.slots {
		if c := g.slots[n].Load(); c != nil {
			list = append(list, c.held())
		}
	}
	return list
}

// held returns what the connection holds. An idle one on which a part of a header has arrived counts as one
// whose header is awaited.
func (c *conn) held() Held {
	phase := c.phase.Load()
	h := Held{Conn: c.slot, Phase: phaseOf(phase), Bytes: c.bytes.Load(), Size: c.announced.Load(), Progress: time.Unix(0, c.moved.Load())}
	if phase == c.progress.phase && !c.progress.header.IsZero() {
		h.Phase, h.Progress = PhaseHeader, c.progress.header
	}
	return h
}

// Sweep closes connections that make no progress, and reports the connections that were closed since the
// last sweep.
func (g *Gate) Sweep(now time.Time) {
	pause := now.Sub(g.lastSweep)
	paused := !g.lastSweep.IsZero() && pause >= 2*SweepInterval
	g.lastSweep = now
	headers := int64(0)
	for n := range g.slots {
		c := g.slots[n].Load()
		if c == nil {
			continue
		}
		if paused {
			c.progress.shift(pause)
		}
		headers += g.sweepConn(c, now)
	}
	if need := g.bytes.Load() + headers - g.limits.AllBodies; need > 0 && headers > 0 {
		g.dropHeaders(need)
	}
	g.retry()
	g.sweepTurn(now)
	g.report()
}

// sweepConn returns the bytes of a header that is being read on the connection.
func (g *Gate) sweepConn(c *conn, now time.Time) int64 {
	phase, before := c.phase.Load(), c.progress.received
	reason := c.progress.update(phase, c.received.Load(), c.writes.Load(), now)
	if p := phaseOf(phase); c.progress.received != before && p != PhaseHeader && p != PhaseUnread {
		// Headers and unread bodies have a time from their beginning, whether or not bytes arrive.
		c.moved.Store(now.UnixNano())
	}
	switch {
	case reason == Unread:
		g.counts[reason].Add(1)
		_ = c.drop()
	case reason != None:
		c.refuse(reason)
	case phaseOf(phase) == PhaseHeader || phaseOf(phase) == PhaseIdle:
		return c.progress.received - c.progress.atBegin
	}
	return 0
}

// dropHeaders closes connections with incomplete headers until they hold need bytes less.
func (g *Gate) dropHeaders(need int64) {
	for n := range g.slots {
		c := g.slots[n].Load()
		if c == nil || need <= 0 {
			continue
		}
		phase, size := phaseOf(c.phase.Load()), c.progress.received-c.progress.atBegin
		if (phase == PhaseHeader || phase == PhaseIdle) && size > 0 {
			c.evict(AllBodies)
			need -= size
		}
	}
}

func (g *Gate) report() {
	for r := range g.counts {
		if n := g.counts[r].Swap(0); n > 0 {
			g.closed(Closed{Reason: Reason(r), Count: n, Conns: int(g.open.Load()), Bytes: g.bytes.Load()})
		}
	}
}

// charge charges bytes to a connection and reports whether they are within the limit of all bodies.
func (g *Gate) charge(ctx context.Context, c *conn, n int64) bool {
	for {
		if used := g.bytes.Add(n); used <= g.limits.AllBodies {
			c.bytes.Add(n)
			return true
		}
		g.bytes.Add(-n)
		freed, err := kernel.Ask(ctx, g.task, func(reply func(bool)) any { return shortage{conn: c, bytes: n, reply: reply} })
		if err != nil || !freed || c.refused() != None {
			return false
		}
	}
}

// chargeContent charges a decoded content to a connection, and waits until those of other bodies leave enough. It
// reports false if the body was refused meanwhile.
func (g *Gate) chargeContent(ctx context.Context, c *conn, n int64) bool {
	for {
		if used := g.content.Add(n); used <= g.limits.Contents {
			c.content.Add(n)
			return true
		}
		g.content.Add(-n)
		freed, err := kernel.Ask(ctx, g.task, func(reply func(bool)) any {
			return shortage{conn: c, bytes: n, content: true, reply: reply}
		})
		if err != nil || !freed || c.refused() != None {
			return false
		}
	}
}

// release returns what is charged to a connection.
func (g *Gate) release(c *conn) {
	n, content := c.bytes.Swap(0), c.content.Swap(0)
	if n+content == 0 {
		return
	}
	g.bytes.Add(-n)
	g.content.Add(-content)
	g.wakeWaiting()
}

// releaseContent returns what is charged to a connection for its decoded content.
func (g *Gate) releaseContent(c *conn) {
	if n := c.content.Swap(0); n > 0 {
		g.content.Add(-n)
		g.wakeWaiting()
	}
}

// wakeWaiting tells the service that bytes were released, if bodies wait for some.
func (g *Gate) wakeWaiting() {
	if g.waiters.Load() > 0 {
		g.task.Reply(released{})
	}
}

// ConnContext makes the connection known to Read. It is for http.Server.ConnContext.
func (g *Gate) ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// ConnState follows the requests of a connection. It is for http.Server.ConnState.
func (g *Gate) ConnState(c net.Conn, state http.ConnState) {
	own, ok := c.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		own.begin(PhaseServing)
	case http.StateIdle:
		own.begin(PhaseIdle)
	}
}
