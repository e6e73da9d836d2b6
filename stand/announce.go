package stand

import (
	"context"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"dogwoodrock.example/dogwoodrock/body"
	"dogwoodrock.example/dogwoodrock/kernel"
	"dogwoodrock.example/dogwoodrock/wire"
)

const announceTimeout = time.Second

// announcer renews the lease of one stand-in server at its entry hosts in round-robin order
// and releases the lease when the server stops.
type announcer struct {
	cfg       Config
	address   string
	client    *http.Client
	nextEntry int // index of the entry host tried first for the next message; taken modulo their number
	inFlight  bool
	leaving   bool
	released  bool
}

func newAnnouncer(cfg Config, address string, env kernel.Env) announcer {
	return announcer{
		cfg:     cfg,
		address: address,
		client: &http.Client{
			Timeout:   announceTimeout,
			Transport: &http.Transport{DialContext: env.Dial},
		},
	}
}

// renew sends an announcement unless the previous one is still in flight.
func (a *announcer) renew(t *kernel.Task) {
	if a.inFlight || a.leaving || len(a.cfg.Entries) == 0 {
		return
	}
	a.inFlight = true
	a.send(t, "/v1/backends/announce", a.announcement(), func(accepted bool) any { return announcedMsg{Accepted: accepted} })
}

// leave releases the lease. It does nothing while an announcement is in flight, so that no
// announcement can arrive after the release; drain calls it again until the lease is released.
func (a *announcer) leave(t *kernel.Task) {
	if a.leaving || a.inFlight {
		return
	}
	a.leaving = true
	if len(a.cfg.Entries) == 0 {
		a.released = true
		return
	}
	msg := &wire.Leave{Name: a.cfg.Name, DataCentre: a.cfg.DataCentre}
	a.send(t, "/v1/backends/leave", msg, func(bool) any { return leaseReleasedMsg{} })
}

func (a *announcer) announcement() *wire.Announce {
	return &wire.Announce{
		Name:         a.cfg.Name,
		Address:      a.address,
		DataCentre:   a.cfg.DataCentre,
		Services:     a.cfg.Services,
		Slots:        uint32(a.cfg.Slots),
		Connections:  uint32(a.cfg.Connections),
		MemoryMB:     uint32(a.cfg.MemoryMB),
		Accelerators: uint32(a.cfg.Accelerators),
		LeaseMs:      uint32(a.cfg.Lease.Milliseconds()),
	}
}

// send tries the entry hosts in turn until one accepts msg, and then sends the result of
// newMsg to the task.
func (a *announcer) send(t *kernel.Task, path string, msg proto.Message, newMsg func(accepted bool) any) {
	first := a.nextEntry
	a.nextEntry++
	client, entries := a.client, a.cfg.Entries
	t.Go(func(ctx context.Context) {
		accepted := false
		for i := 0; i < len(entries) && !accepted; i++ {
			host := entries[(first+i)%len(entries)]
			status, _, err := body.Send(ctx, client, http.MethodPost, "http://"+host+path, nil, msg)
			accepted = err == nil && status == http.StatusOK
		}
		t.Self.Reply(newMsg(accepted))
	})
}
