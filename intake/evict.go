package intake

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

// Phase is what the process does for a connection.
type Phase uint32

// Phases.
const (
	PhaseHeader  Phase = iota // new: the header of the first request hasn't arrived completely
	PhaseIdle                 // between two requests
	PhaseBody                 // the body of a request is being read
	PhaseServing              // a request is being served
	PhaseRefused              // a body was refused, and the connection will be closed
	PhaseUnread               // the handler has returned without reading the whole body, and the connection will be closed
)

// Held is what a connection holds, as Evict sees it.
type Held struct {
	Conn     int // number of the connection
	Phase    Phase
	Bytes    int64     // charged for its body
	Size     int64     // announced size of its body, 0 if unknown
	Progress time.Time // when the last bytes arrived; of a header, when it began
}

// headerGrace is the time in which the header of a new connection arrives from an ordinary client.
const headerGrace = 500 * time.Millisecond

// EvictBodies returns the connections whose bodies have to be refused to free the bytes, in the order in
// which they are refused: the body that has made no progress for the longest time first, of equal ones the
// largest. A request whose body has arrived is never refused. It returns nil if the bytes can't be freed.
//
// It handles many clients that stop short of the end of a large body and stay connected. Refusing whoever
// comes next instead would refuse ordinary clients until those have timed out.
func EvictBodies(all []Held, bytes int64) []int {
	return evictBodies(all, bytes, func(a, b Held) int {
		return cmp.Or(a.Progress.Compare(b.Progress), cmp.Compare(b.Bytes, a.Bytes), cmp.Compare(a.Conn, b.Conn))
	})
}

// evictBodies returns the connections to refuse in the order that compare defines.
func evictBodies(all []Held, bytes int64, compare func(a, b Held) int) []int {
	bodies := slices.DeleteFunc(slices.Clone(all), func(h Held) bool { return h.Phase != PhaseBody || h.Bytes == 0 })
	slices.SortFunc(bodies, compare)
	var list []int
	for _, h := range bodies {
		if bytes <= 0 {
			break
		}
		list = append(list, h.Conn)
		bytes -= h.Bytes
	}
	if bytes > 0 {
		return nil
	}
	return list
}

// progressTime is the time without bytes after which a message between hosts counts as stalled: several
// times what a lost segment costs.
const progressTime = 500 * time.Millisecond

// EvictMessages returns the connections whose bodies have to be refused to free the bytes, like EvictBodies, on a
// listener for other hosts: stalled ones as EvictBodies does, then the largest, and last the largest if it is
// the only one that makes progress. Of messages of about the same size, the one of which least has arrived goes
// first.
//
// It handles a configuration that takes most of the bytes while other hosts send small messages. It gets most
// of the link, so EvictBodies would refuse the small ones, on which jobs wait, for as long as it takes. Of two
// large ones that are sent again and again, one has to arrive.
func EvictMessages(all []Held, bytes int64, now time.Time) []int {
	progressing := 0
	stalled := func(h Held) bool { return now.Sub(h.Progress) >= progressTime }
	for _, h := range all {
		if h.Phase == PhaseBody && !stalled(h) {
			progressing++
		}
	}
	rank := func(h Held) int {
		switch {
		case stalled(h):
			return 0
		case progressing > 1:
			return 1
		default:
			return 2
		}
	}
	class := func(h Held) int { return bits.Len64(uint64(max(h.Size, h.Bytes))) } // sizes within a factor of two
	return evictBodies(all, bytes, func(a, b Held) int {
		if by := cmp.Compare(rank(a), rank(b)); by != 0 || rank(a) == 0 {
			return cmp.Or(by, a.Progress.Compare(b.Progress), cmp.Compare(b.Bytes, a.Bytes), cmp.Compare(a.Conn, b.Conn))
		}
		return cmp.Or(cmp.Compare(class(b), class(a)), cmp.Compare(a.Bytes, b.Bytes), cmp.Compare(a.Conn, b.Conn))
	})
}

// EvictConns returns up to n connections to close so that others can be accepted: those whose header
// or unread body doesn't arrive, then idle ones, then those whose body doesn't arrive, each in the order of their last
// progress. A request that is being served is never among them.
//
// It handles many clients that open connections and keep them. Accepting no more connections instead would
// lock ordinary clients out until those have timed out.
func EvictConns(all []Held, n int, now time.Time) []int {
	rank := func(h Held) int {
		switch {
		case (h.Phase == PhaseHeader || h.Phase == PhaseUnread) && now.Sub(h.Progress) >= headerGrace:
			return 0
		case h.Phase == PhaseIdle:
			return 1
		case h.Phase == PhaseBody:
			return 2
		default:
			return 3
		}
	}
	closable := slices.DeleteFunc(slices.Clone(all), func(h Held) bool { return h.Phase == PhaseServing || h.Phase == PhaseRefused })
	slices.SortFunc(closable, func(a, b Held) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), a.Progress.Compare(b.Progress), cmp.Compare(a.Conn, b.Conn))
	})
	var list []int
	for _, h := range closable[:min(n, len(closable))] {
		list = append(list, h.Conn)
	}
	return list
}

// progress is what a gate knows of the progress of a connection.
type progress struct {
	phase     uint32 // as conn.phase
	received  int64
	writes    int64
	moved     time.Time // when bytes were received last, or the phase changed
	wrote     time.Time // when writes changed last
	began     time.Time // of the phase
	atBegin   int64     // bytes received when the phase began
	header    time.Time // when bytes of a header were first seen on an idle connection
	writeOpen bool      // whether a write was in progress when it was seen last
}

// update records what a sweep sees, and returns why the connection has to be closed, or None.
func (p *progress) update(phase uint32, received, writes int64, now time.Time) Reason {
	if phase != p.phase || p.began.IsZero() {
		p.phase, p.began, p.moved, p.atBegin, p.header = phase, now, now, received, time.Time{}
	}
	if phaseOf(phase) == PhaseIdle && received > p.atBegin && p.header.IsZero() {
		p.header = now
	}
	if received != p.received {
		p.received, p.moved = received, now
	}
	if writes != p.writes {
		p.writes, p.wrote = writes, now
	}
	p.writeOpen = writes%2 == 1
	if p.writeOpen && now.Sub(p.wrote) >= StallTimeout {
		return Unread
	}
	if phaseOf(phase) != PhaseBody {
		return None
	}
	took := now.Sub(p.began)
	switch {
	case now.Sub(p.moved) >= StallTimeout:
		return Stalled
	case took >= rateGrace*3/2 && float64(received-p.atBegin) < minRate*(took-rateGrace).Seconds():
		return Slow
	default:
		return None
	}
}

// shift moves the times of a connection by a pause of this process, in which it read nothing.
func (p *progress) shift(pause time.Duration) {
	p.moved, p.wrote, p.began = p.moved.Add(pause), p.wrote.Add(pause), p.began.Add(pause)
	if !p.header.IsZero() {
		p.header = p.header.Add(pause)
	}
}
