// Package memnet joins hosts in memory, as the sockets of a kernel.Env: for tests
// that cut hosts off from each other without any traffic on the machine.
package memnet

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"dogwoodrock.example/dogwoodrock/kernel"
)

// Network joins hosts in memory. Bytes between two hosts are lost while the way
// is cut, and so is the rest of the connection that carried them.
type Network struct {
	mu          sync.Mutex
	listeners   map[string]*listener // by address
	partitioned map[direction]bool
}

// way is one direction between two hosts.
type direction struct {
	from, to string
}

// New returns a network without hosts or cuts.
func New() *Network {
	return &Network{listeners: map[string]*listener{}, partitioned: map[direction]bool{}}
}

// Env returns the world of one host.
func (n *Network) Env(host string, seed uint64) kernel.Env {
	var mu sync.Mutex
	pcg := rand.NewPCG(seed, seed)
	return kernel.Env{
		Now: time.Now,
		Random: func() uint64 {
			mu.Lock()
			defer mu.Unlock()
			return pcg.Uint64()
		},
		Dial: func(ctx context.Context, _, address string) (net.Conn, error) { return n.dial(ctx, host, address) },
		Listen: func(_ context.Context, _, address string) (net.Listener, error) {
			return n.Listen(host, address)
		},
	}
}

// Listen takes the connections to an address of a host.
func (n *Network) Listen(host, address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, syscall.EADDRINUSE
	}
	l := &listener{network: n, host: host, address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// LongestSYNWait is the last wait of the system before it gives a connection up.
const MaxSYNWait = 64 * time.Second

// dial connects, and is refused where nobody listens. While the way is cut it
// tries again like the system: after 1 s, 2 s, 4 s and so on.
func (n *Network) dial(ctx context.Context, from, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, syscall.ECONNREFUSED
	}
	for wait := time.Second; n.isPartitioned(from, l.host) || n.isPartitioned(l.host, from); wait *= 2 {
		if wait > MaxSYNWait {
			return nil, syscall.ETIMEDOUT
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	near, far := net.Pipe()
	select {
	case l.conns <- &conn{Conn: far, network: n, dir: direction{l.host, from}}:
		return &conn{Conn: near, network: n, dir: direction{from, l.host}}, nil
	case <-l.closed:
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (n *Network) isPartitioned(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partitioned[direction{from, to}]
}

// Cut loses everything that one group of hosts sends to another.
func (n *Network) Partition(from, to []string) { n.setPartitioned(from, to, true) }

// Heal ends what Cut began.
func (n *Network) Heal(from, to []string) { n.setPartitioned(from, to, false) }

func (n *Network) setPartitioned(from, to []string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range from {
		for _, b := range to {
			n.partitioned[direction{a, b}] = cut && a != b
		}
	}
}

// conn is one end of a connection.
type conn struct {
	net.Conn
	network *Network
	dir     direction
	broken  bool // bytes of this direction are missing
}

// Write sends bytes, or loses them.
func (c *conn) Write(p []byte) (int, error) {
	c.broken = c.broken || c.network.isPartitioned(c.dir.from, c.dir.to)
	if c.broken {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// listener takes the connections to one address.
type listener struct {
	network *Network
	host    string
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close frees the address.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, l.address)
	})
	return nil
}

// Addr returns the address.
func (l *listener) Addr() net.Addr {
	address, err := netip.ParseAddrPort(l.address)
	if err != nil {
		return &net.TCPAddr{}
	}
	return net.TCPAddrFromAddrPort(address)
}
