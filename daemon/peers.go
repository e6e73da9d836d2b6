package daemon

import (
	"dogwoodrock.example/dogwoodrock/jobs"
	"dogwoodrock.example/dogwoodrock/keeper"
	"dogwoodrock.example/dogwoodrock/kernel"
	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/peers"
	"dogwoodrock.example/dogwoodrock/quota"
)

// giveUpLeases is after how many leases a reliable link gives up what waits for
// a host that can't be reached.
const giveUpLeases = 4

// promiseLeases is how many leases a host's promise not to serve alone lasts.
const promiseLeases = 3

// aloneTimes returns the times after which a host may serve alone.
func (h *Host) aloneTimes() quota.AloneTimes {
	t := h.Settings.Timing
	return quota.AloneTimes{
		Promise:    promiseLeases * t.Lease,
		GrantDelay: giveUpLeases*t.Lease + t.CallTimeout,
		MaxRun:     t.TaskTimeout,
	}
}

func (h *Host) inbox() kernel.Service {
	b := &peers.Inbox{Incarnation: h.self.Incarnation, Log: h.Log, Sent: h.sent}
	return b.Service(h.self.Address, h.Settings.Timing.CallTimeout)
}

func (h *Host) links() []kernel.Service {
	var services []kernel.Service
	for _, peer := range h.hosts {
		if peer.Name == h.self.Name {
			continue
		}
		services = append(services, h.link(peer, false).Service(), h.link(peer, true).Service())
	}
	return services
}

func (h *Host) link(peer model.Host, ephemeral bool) *peers.Link {
	t := h.Settings.Timing
	env := h.env
	env.Dial = peers.CountSent(env.Dial, h.sent)
	l := &peers.Link{
		Self:      h.self,
		Peer:      peer,
		Ephemeral: ephemeral,
		Depth:     h.Settings.Limits.MailboxMessages,
		Timeout:   t.CallTimeout,
		GiveUp:    giveUpLeases * t.Lease,
		Dial:      func(peer model.Host) peers.Deliver { return peers.Dialer(env, peer) },
		Log:       h.Log,
		Metrics:   h.Metrics,
		OnState:   func(bool) {},
		OnLost: func(body any) {
			if m, ok := body.(msgs.Relay); ok {
				h.post(msgs.ServiceJobs, jobs.RelayLost{Host: peer.Name, Request: m.Request})
			}
		},
	}
	if ephemeral {
		l.Timeout = peers.EphemeralTimeout
		l.OnState = func(reachable bool) { h.tellPeerState(peer.Name, reachable) }
	}
	return l
}

// sent counts bytes on the connections between hosts.
func (h *Host) sent(bytes int) {
	h.Metrics.PeerSentBytes.Add(float64(bytes))
}

// tellPeerState lets the services that choose among hosts know which can be
// reached. The ephemeral link finds out first, as it carries the heartbeats.
func (h *Host) tellPeerState(peer string, reachable bool) {
	h.post(msgs.ServiceJobs, jobs.PeerState{Host: peer, Reachable: reachable})
	h.post(msgs.ServiceLists, keeper.PeerState{Host: peer, Reachable: reachable})
}

// post gives a message to a service of this host; it is part of no exchange that
// the service could refuse.
func (h *Host) post(service string, msg any) {
	ref, err := h.Kernel.Find(service)
	if err != nil {
		return
	}
	ref.Reply(msg)
}
