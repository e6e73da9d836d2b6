package proof

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// TestRelayPartitions checks that the relays discard bytes in the blocked directions only, and that
// healing closes the connections that lost bytes.
func TestRelayPartitions(t *testing.T) {
	const silence = 100 * time.Millisecond // for which no byte may arrive in a blocked direction
	none := func(string, string) bool { return false }
	tests := map[string]struct {
		blocked  func(from, to string) bool
		forwards bool // to the dialled host
		replies  bool // to the dialling host
	}{
		"no partition":         {blocked: none, forwards: true, replies: true},
		"to the dialled host":  {blocked: func(from, _ string) bool { return from == "a" }, replies: true},
		"to the dialling host": {blocked: func(from, _ string) bool { return from == "b" }, forwards: true},
		"other hosts":          {blocked: func(from, _ string) bool { return from == "c" }, forwards: true, replies: true},
		"both directions":      {blocked: func(string, string) bool { return true }},
		"to itself only":       {blocked: func(from, to string) bool { return from == to }, forwards: true, replies: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			relays := startRelays(t, []*Host{{Name: "a", Address: "127.0.0.1:1"}, {Name: "b", Address: ln.Addr().String()}})
			dialled, err := net.Dial("tcp", relays.Address(t, "a", "b"))
			if err != nil {
				t.Fatal(err)
			}
			defer dialled.Close()
			accepted, err := ln.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer accepted.Close()
			relays.Partition(t, tt.blocked)
			for _, direction := range []struct {
				from, to net.Conn
				forwards bool
			}{{dialled, accepted, tt.forwards}, {accepted, dialled, tt.replies}} {
				if _, err := io.WriteString(direction.from, "x"); err != nil {
					t.Fatal(err)
				}
				timeout := conditionTimeout
				if !direction.forwards {
					timeout = silence
				}
				_ = direction.to.SetReadDeadline(time.Now().Add(timeout))
				_, err := io.ReadFull(direction.to, make([]byte, 1))
				if forwarded := !errors.Is(err, os.ErrDeadlineExceeded); forwarded != direction.forwards {
					t.Errorf("from %v: %v", direction.from.LocalAddr(), err)
				}
			}
			relays.Heal(t)
			if !tt.forwards || !tt.replies {
				_ = dialled.SetReadDeadline(time.Now().Add(conditionTimeout))
				if _, err := dialled.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
					t.Errorf("a connection that lost bytes stays open: %v", err)
				}
			}
		})
	}
}
