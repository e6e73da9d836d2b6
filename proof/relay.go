package proof

import (
	"context"
	"net"
	"testing"

	"dogwoodrock.example/dogwoodrock/kernel"
)

// Relays forwards the bytes between hosts, with a listener for each ordered pair of hosts. Its task
// decides for each chunk whether it is forwarded or discarded.
type Relays struct {
	kernel *kernel.Kernel
	self   kernel.Ref
}

// hostPair is an ordered pair of hosts: From dials To.
type hostPair struct{ From, To string }

// relayState is the state of the relay task.
type relayState struct {
	targets   map[hostPair]string
	addresses map[hostPair]string
	blocked   func(from, to string) bool // whether bytes between two hosts are discarded
	conns     map[*relayConn]bool
}

// relayConn is one connection through a relay.
type relayConn struct {
	pair    hostPair
	in, out net.Conn
	lossy   map[bool]bool // directions in which bytes were discarded, keyed like forwardMsg.Reverse
}

type (
	addressMsg struct {
		Pair  hostPair
		Reply func(string)
	}
	// partitionMsg replaces the rule by which bytes are discarded.
	partitionMsg struct {
		Blocked func(from, to string) bool
		Reply   func(bool)
	}
	openMsg  struct{ Conn *relayConn }
	closeMsg struct{ Conn *relayConn }
	// forwardMsg asks whether to forward a chunk; Reverse means from the dialled host.
	forwardMsg struct {
		Conn    *relayConn
		Reverse bool
		Reply   func(bool)
	}
)

func startRelays(t *testing.T, hosts []*Host) *Relays {
	t.Helper()
	s := &relayState{
		targets: map[hostPair]string{}, addresses: map[hostPair]string{}, conns: map[*relayConn]bool{},
		blocked: func(string, string) bool { return false },
	}
	for _, from := range hosts {
		for _, to := range hosts {
			if from != to {
				s.targets[hostPair{from.Name, to.Name}] = to.Address
			}
		}
	}
	k := kernel.New()
	if err := k.Register(kernel.Service{Name: "relays", Depth: 4096, Start: s.start, Handle: s.handle, Stop: s.stop}); err != nil {
		t.Fatal(err)
	}
	if err := k.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { k.Stop(context.Background()) })
	self, err := k.Find("relays")
	if err != nil {
		t.Fatal(err)
	}
	return &Relays{kernel: k, self: self}
}

// Address returns the address at which from reaches to.
func (r *Relays) Address(t *testing.T, from, to string) string {
	t.Helper()
	address, err := kernel.Ask(t.Context(), r.self, func(reply func(string)) any {
		return addressMsg{Pair: hostPair{from, to}, Reply: reply}
	})
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// Partition discards all bytes between hosts for which blocked returns true. It replaces the previous
// partition.
func (r *Relays) Partition(t *testing.T, blocked func(from, to string) bool) {
	t.Helper()
	_, err := kernel.Ask(t.Context(), r.self, func(reply func(bool)) any {
		return partitionMsg{Blocked: blocked, Reply: reply}
	})
	if err != nil {
		t.Fatal(err)
	}
}

// Heal forwards all bytes again. It closes the connections that lost bytes.
func (r *Relays) Heal(t *testing.T) {
	t.Helper()
	r.Partition(t, func(string, string) bool { return false })
}

func (s *relayState) start(t *kernel.Task) error {
	for pair, target := range s.targets {
		ln, err := t.Env.Listen(t.Context(), "tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		s.addresses[pair] = ln.Addr().String()
		t.Go(func(ctx context.Context) {
			defer context.AfterFunc(ctx, func() { _ = ln.Close() })()
			accept(ctx, t, ln, pair, target)
		})
	}
	return nil
}

// accept forwards each connection of a listener to the target.
func accept(ctx context.Context, t *kernel.Task, ln net.Listener, pair hostPair, target string) {
	for {
		in, err := ln.Accept()
		if err != nil {
			return
		}
		t.Go(func(context.Context) { forward(ctx, t, in, pair, target) })
	}
}

// forward connects to the target and copies bytes in both directions until either side closes its
// connection.
func forward(ctx context.Context, t *kernel.Task, in net.Conn, pair hostPair, target string) {
	out, err := t.Env.Dial(ctx, "tcp", target)
	if err != nil {
		_ = in.Close()
		return
	}
	c := &relayConn{pair: pair, in: in, out: out, lossy: map[bool]bool{}}
	t.Self.Reply(openMsg{Conn: c})
	defer context.AfterFunc(ctx, c.close)()
	t.Go(func(context.Context) { c.copyBytes(ctx, t, out, in, true) })
	c.copyBytes(ctx, t, in, out, false)
	t.Self.Reply(closeMsg{Conn: c})
}

func (c *relayConn) copyBytes(ctx context.Context, t *kernel.Task, from, to net.Conn, reverse bool) {
	defer c.close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		pass, err := kernel.Ask(ctx, t.Self, func(reply func(bool)) any {
			return forwardMsg{Conn: c, Reverse: reverse, Reply: reply}
		})
		if err != nil {
			return
		}
		if !pass {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (c *relayConn) close() {
	_ = c.in.Close()
	_ = c.out.Close()
}

func (s *relayState) handle(_ *kernel.Task, msg any) {
	switch m := msg.(type) {
	case addressMsg:
		m.Reply(s.addresses[m.Pair])
	case openMsg:
		s.conns[m.Conn] = true
	case closeMsg:
		delete(s.conns, m.Conn)
	case forwardMsg:
		m.Reply(s.decide(m))
	case partitionMsg:
		s.blocked = m.Blocked
		s.closeLossy()
		m.Reply(true)
	}
}

// decide reports whether to forward a chunk. If not, it marks the direction of the connection as lossy, so
// that all later bytes of the direction are discarded too.
func (s *relayState) decide(m forwardMsg) bool {
	from, to := m.Conn.pair.From, m.Conn.pair.To
	if m.Reverse {
		from, to = to, from
	}
	if m.Conn.lossy[m.Reverse] || s.blocked(from, to) {
		m.Conn.lossy[m.Reverse] = true
		return false
	}
	return true
}

// closeLossy closes the connections in which bytes were discarded, since the bytes after a gap can't be
// decoded.
func (s *relayState) closeLossy() {
	for c := range s.conns {
		if len(c.lossy) > 0 {
			c.close()
		}
	}
}

func (s *relayState) stop(*kernel.Task) {
	for c := range s.conns {
		c.close()
	}
}
