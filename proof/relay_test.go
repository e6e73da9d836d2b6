package proof

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

func TestRelayPartitions(t *testing.T) {
	const silence = 100 * time.Millisecond // in which nothing may arrive
	none := func(string, string) bool { return false }
	tests := map[string]struct {
		blocked  func(from, to string) bool
		forwards bool // at the dialled host
		replies  bool // to the dialling host
	}{
		"no cut":         {blocked: none, forwards: true, replies: true},
		"there":          {blocked: func(from, _ string) bool { return from == "a" }, replies: true},
		"back":           {blocked: func(from, _ string) bool { return from == "b" }, forwards: true},
		"other hosts":    {blocked: func(from, _ string) bool { return from == "c" }, forwards: true, replies: true},
		"both ways":      {blocked: func(string, string) bool { return true }},
		"to itself only": {blocked: func(from, to string) bool { return from == to }, forwards: true, replies: true},
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
				passes   bool
			}{{dialled, accepted, tt.forwards}, {accepted, dialled, tt.replies}} {
				if _, err := io.WriteString(direction.from, "x"); err != nil {
					t.Fatal(err)
				}
				timeout := conditionTimeout
				if !direction.passes {
					timeout = silence
				}
				_ = direction.to.SetReadDeadline(time.Now().Add(timeout))
				_, err := io.ReadFull(direction.to, make([]byte, 1))
				if passed := !errors.Is(err, os.ErrDeadlineExceeded); passed != direction.passes {
					t.Errorf("from %v: %v", direction.from.LocalAddr(), err)
				}
			}
			relays.Heal(t)
			if !tt.forwards || !tt.replies {
				_ = dialled.SetReadDeadline(time.Now().Add(conditionTimeout))
				if _, err := dialled.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
					t.Errorf("the broken connection stays open: %v", err)
				}
			}
		})
	}
}
