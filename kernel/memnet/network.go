// Package memnet connects hosts in memory through the sockets of a kernel.Env, so
// that tests can partition hosts without any traffic on the real network.
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

// Network connects hosts in memory. While the direction between two hosts is
// partitioned, all bytes sent in it are lost; a connection that has lost bytes
// also loses all later bytes of that direction.
type Network struct {
	mu          sync.Mutex
	listeners   map[string]*listener // by address
	partitioned map[direction]bool
}

// direction is one direction of the traffic between two hosts.
type direction struct {
	from, to string
}

// New returns a network without hosts or partitions.
func New() *Network {
	return &Network{listeners: map[string]*listener{}, partitioned: map[direction]bool{}}
}

// Env returns the environment of one host, with random numbers from the seed.
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

// Listen listens on an address of a host. It returns EADDRINUSE if the address is in use.
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

// MaxSYNWait is the last interval that a dial waits between two attempts before it times out.
const MaxSYNWait = 64 * time.Second

// dial connects to an address and fails with ECONNREFUSED if there is no listener.
// While either direction is partitioned, it retries like the system, after 1 s,
// 2 s, 4 s and so on, and then fails with ETIMEDOUT.
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

// Partition drops everything that the hosts in from send to the hosts in to.
func (n *Network) Partition(from, to []string) { n.setPartitioned(from, to, true) }

// Heal ends the partition from one group of hosts to another.
func (n *Network) Heal(from, to []string) { n.setPartitioned(from, to, false) }

func (n *Network) setPartitioned(from, to []string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range from {
		for _, b := range to {
			n.partitioned[direction{a, b}] = partitioned && a != b
		}
	}
}

// conn is one end of a connection.
type conn struct {
	net.Conn
	network *Network
	dir     direction
	broken  bool // bytes of this direction were lost
}

// Write sends p, or drops it and reports success if the connection is broken or partitioned.
func (c *conn) Write(p []byte) (int, error) {
	c.broken = c.broken || c.network.isPartitioned(c.dir.from, c.dir.to)
	if c.broken {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// listener accepts the connections to one address.
type listener struct {
	network *Network
	host    string
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// Accept returns the next connection, or net.ErrClosed once the listener is closed.
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

// Addr returns the address, empty if it isn't an IP address with a port.
func (l *listener) Addr() net.Addr {
	address, err := netip.ParseAddrPort(l.address)
	if err != nil {
		return &net.TCPAddr{}
	}
	return net.TCPAddrFromAddrPort(address)
}
