package bench

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"dogwoodrock.example/dogwoodrock/kernel"
	"dogwoodrock.example/dogwoodrock/wire"
)

const (
	naiveMailboxDepth = 65536
	headerTimeout     = 10 * time.Second
)

// NaiveHost is one entry host of the naive dispatcher. It sends each task to the known backend
// servers in round-robin order and retries a failed call immediately on the next server.
type NaiveHost struct {
	Name   string
	Listen string   // IP and port
	Peers  []string // names of the other naive hosts, to which it forwards announcements

	RetryPause time.Duration // see WithRetryPause

	servers    []*wire.Announce
	nextServer int
	lastTask   uint64
	http       *http.Server
	address    string
}

// announceMsg carries the announcement of a backend server. Forwarded means that it came from a
// peer.
type announceMsg struct {
	Announce  *wire.Announce
	Forwarded bool
}

// leaveMsg reports that a backend server has released its lease. Forwarded means that the report
// came from a peer.
type leaveMsg struct {
	Name      string
	Forwarded bool
}

// pickMsg requests the backend server for the next call.
type pickMsg struct{ Reply func(pick) }

// pick is the selected backend server and a new task id. Address is empty when no backend server
// is known.
type pick struct {
	Address string
	Task    string
}

// addressMsg requests the address on which the host listens.
type addressMsg struct{ Reply func(string) }

// Service returns the kernel service of this host.
func (n *NaiveHost) Service() kernel.Service {
	return kernel.Service{
		Name:   n.Name,
		Depth:  naiveMailboxDepth,
		Start:  n.start,
		Handle: n.handle,
		Stop:   func(*kernel.Task) { _ = n.http.Close() },
	}
}

func (n *NaiveHost) start(t *kernel.Task) error {
	ln, err := t.Env.Listen(t.Context(), "tcp", n.Listen)
	if err != nil {
		return err
	}
	n.address = ln.Addr().String()
	n.http = &http.Server{Handler: newNaiveFront(t.Self, t.Env, n.RetryPause), ReadHeaderTimeout: headerTimeout}
	t.Go(func(context.Context) { _ = n.http.Serve(ln) })
	return nil
}

func (n *NaiveHost) handle(t *kernel.Task, msg any) {
	switch m := msg.(type) {
	case announceMsg:
		n.add(m.Announce)
		n.forward(t, m.Forwarded, announceMsg{Announce: m.Announce, Forwarded: true})
	case leaveMsg:
		n.remove(m.Name)
		n.forward(t, m.Forwarded, leaveMsg{Name: m.Name, Forwarded: true})
	case pickMsg:
		m.Reply(n.pick())
	case addressMsg:
		m.Reply(n.address)
	}
}

func (n *NaiveHost) add(a *wire.Announce) {
	sameName := func(known *wire.Announce) bool { return known.Name == a.Name }
	if i := slices.IndexFunc(n.servers, sameName); i >= 0 {
		n.servers[i] = a
		return
	}
	n.servers = append(n.servers, a)
}

func (n *NaiveHost) remove(name string) {
	n.servers = slices.DeleteFunc(n.servers, func(a *wire.Announce) bool { return a.Name == name })
}

func (n *NaiveHost) forward(t *kernel.Task, forwarded bool, msg any) {
	if forwarded {
		return
	}
	for _, name := range n.Peers {
		if peer, err := t.Find(name); err == nil {
			_ = peer.Offer(msg) // a lost announcement is repeated at the next renewal
		}
	}
}

func (n *NaiveHost) pick() pick {
	if len(n.servers) == 0 {
		return pick{}
	}
	n.nextServer++
	n.lastTask++
	return pick{
		Address: n.servers[n.nextServer%len(n.servers)].Address,
		Task:    fmt.Sprintf("%s-%d", n.Name, n.lastTask),
	}
}
