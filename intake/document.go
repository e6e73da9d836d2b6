package intake

import (
	"cmp"
	"net/http"
	"slices"
)

// Sending is a document that is being sent as a response.
type Sending struct {
	Conn    int // number of the connection among those that send
	Version uint64
	Bytes   int64 // of the document; responses with the same version share them
}

// sendBegun tells that a document is being sent, and sendEnded that it no longer is.
type (
	sendBegun struct {
		conn *conn
		Sending
	}
	sendEnded struct{ conn *conn }
)

// Send registers that the response to a request is a version of a document, until the returned function is called. If the
// older versions that are being sent take more than Limits.Outdated, the connections of the oldest ones are closed:
// who reads them gets what has been replaced.
func Send(r *http.Request, version uint64, bytes int64) (done func()) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok || bytes <= writePiece {
		return func() {}
	}
	c.sends.Store(version)
	c.gate.task.Reply(sendBegun{conn: c, Sending: Sending{Version: version, Bytes: bytes}})
	return func() {
		c.sends.Store(0)
		c.gate.task.Reply(sendEnded{conn: c})
	}
}

// handleSend handles a message about a document that is being sent.
func (g *Gate) handleSend(msg any) {
	switch m := msg.(type) {
	case sendBegun:
		g.sending = append(g.sending, m)
	case sendEnded:
		g.sending = slices.DeleteFunc(g.sending, func(s sendBegun) bool { return s.conn == m.conn })
	}
	all := make([]Sending, len(g.sending))
	for i, s := range g.sending {
		all[i] = Sending{Conn: i, Version: s.Version, Bytes: s.Bytes}
	}
	for _, i := range EvictOutdated(all, g.limits.Outdated) {
		if s := g.sending[i]; s.conn.sends.CompareAndSwap(s.Version, 0) {
			g.counts[Outdated].Add(1)
			_ = s.conn.drop()
		}
	}
}

// EvictOutdated returns the connections to close so that all versions that are being sent, but for the newest, take at
// most limit bytes: those with the oldest versions.
//
// It handles clients that read slowly while new versions come, each of which they would keep in memory.
func EvictOutdated(all []Sending, limit int64) []int {
	byVersion := slices.Clone(all)
	slices.SortFunc(byVersion, func(a, b Sending) int { return cmp.Or(cmp.Compare(b.Version, a.Version), cmp.Compare(a.Conn, b.Conn)) })
	var list []int
	outdated := int64(0)
	for i, s := range byVersion {
		if s.Version == byVersion[0].Version {
			continue
		}
		if s.Version != byVersion[i-1].Version {
			outdated += s.Bytes
		}
		if outdated > limit {
			list = append(list, s.Conn)
		}
	}
	return list
}
