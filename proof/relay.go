package proof

import (
	"context"
	"net"
	"testing"

	"dogwoodrock.example/dogwoodrock/kernel"
)

// Relays forwards the bytes between hosts, with a listener for each pair of
// hosts and direction of dialling. Its task decides for each piece whether it
// passes or is swallowed.
type Relays struct {
	kernel *kernel.Kernel
	self   kernel.Ref
}

// route is one pair of hosts: From dials To.
type hostPair struct{ From, To string }

// relayState is what the task owns.
type relayState struct {
	targets   map[hostPair]string
	addresses map[hostPair]string
	blocked   func(from, to string) bool // whether bytes from one host to another are swallowed
	conns     map[*relayConn]bool
}

// link is one connection through a relay.
type relayConn struct {
	pair    hostPair
	in, out net.Conn
	lossy   map[bool]bool // directions that have swallowed bytes, by Back of passMsg
}

type (
	addressMsg struct {
		Pair  hostPair
		Reply func(string)
	}
	// cutMsg replaces the rule for swallowing.
	partitionMsg struct {
		Blocked func(from, to string) bool
		Reply   func(bool)
	}
	openMsg  struct{ Conn *relayConn }
	closeMsg struct{ Conn *relayConn }
	// passMsg asks whether a piece passes; Back is that of the dialled host.
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

// Address returns where a host reaches another one.
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

// Cut swallows all bytes from one host to another for which the rule holds.
func (r *Relays) Partition(t *testing.T, blocked func(from, to string) bool) {
	t.Helper()
	_, err := kernel.Ask(t.Context(), r.self, func(reply func(bool)) any {
		return partitionMsg{Blocked: blocked, Reply: reply}
	})
	if err != nil {
		t.Fatal(err)
	}
}

// Heal lets all bytes pass again.
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

func accept(ctx context.Context, t *kernel.Task, ln net.Listener, pair hostPair, target string) {
	for {
		in, err := ln.Accept()
		if err != nil {
			return
		}
		t.Go(func(context.Context) { forward(ctx, t, in, pair, target) })
	}
}

// forward carries one connection until either side closes it.
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
		m.Reply(s.forwards(m))
	case partitionMsg:
		s.blocked = m.Blocked
		s.closeLossy()
		m.Reply(true)
	}
}

func (s *relayState) forwards(m forwardMsg) bool {
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

// dropBroken closes the connections that have swallowed bytes: what came after
// a gap would be garbage.
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
