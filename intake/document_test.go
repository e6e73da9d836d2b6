package intake

import (
	"net"
	"slices"
	"testing"
)

// TestEvictOutdated guards against versions of a document that stay in memory as long as somebody reads them, and against
// closing the connection of whoever reads the newest one.
func TestEvictOutdated(t *testing.T) {
	const size = 100
	sending := func(versions ...uint64) []Sending {
		var all []Sending
		for i, v := range versions {
			all = append(all, Sending{Conn: i, Version: v, Bytes: size})
		}
		return all
	}
	tests := map[string]struct {
		all   []Sending
		limit int64
		want  []int
	}{
		"none":                            {},
		"many readers of the newest":      {all: sending(5, 5, 5, 5)},
		"an older one within the limit":   {all: sending(4, 5), limit: size},
		"an older one above the limit":    {all: sending(4, 5), limit: size - 1, want: []int{0}},
		"many readers of an older one":    {all: sending(4, 5, 4, 4), limit: size},
		"the oldest ones":                 {all: sending(1, 5, 2, 4, 2, 3), limit: 2 * size, want: []int{2, 4, 0}},
		"the newest one isn't among them": {all: sending(3, 2, 1), want: []int{1, 2}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := EvictOutdated(tt.all, tt.limit); !slices.Equal(got, tt.want) {
				t.Errorf("closes %v, want %v", got, tt.want)
			}
		})
	}
}

// TestOutdatedOnce guards against closing a connection that has the place of one that was closed, and against closing one
// whose response has ended.
func TestOutdatedOnce(t *testing.T) {
	g := New(Limits{Conns: 2, Outdated: 1}, nil)
	open := func(slot int, version uint64) (*conn, sendBegun) {
		client, server := net.Pipe()
		t.Cleanup(func() { _ = client.Close() })
		c := &conn{Conn: server, gate: g, slot: slot}
		c.sends.Store(version)
		return c, sendBegun{conn: c, Sending: Sending{Version: version, Bytes: 100}}
	}
	first, begun := open(0, 1)
	g.handleSend(begun)
	second, begun := open(1, 2)
	g.handleSend(begun) // closes the first one, which ends later
	third, begun := open(0, 2)
	g.handleSend(begun)
	g.handleSend(sendEnded{conn: first})
	second.sends.Store(0) // its response has ended, which the gate doesn't know yet
	fourth, begun := open(0, 3)
	g.handleSend(begun)
	for name, tt := range map[string]struct {
		conn   *conn
		closed bool
	}{"outdated": {first, true}, "ended": {second, false}, "outdated later": {third, true}, "newest": {fourth, false}} {
		if tt.conn.closed.Load() != tt.closed {
			t.Errorf("%s: closed %v, want %v", name, !tt.closed, tt.closed)
		}
	}
	if n := g.counts[Outdated].Load(); n != 2 {
		t.Errorf("%d counted, want 2", n)
	}
}
