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

// discardLeases is the time, in leases, after which a reliable link discards the messages queued
// for an unreachable host.
const discardLeases = 4

// promiseLeases is how long a host's promise not to serve alone holds, in leases.
const promiseLeases = 3

// aloneTimes returns the times that determine when a host may serve alone.
func (h *Host) aloneTimes() quota.AloneTimes {
	t := h.Settings.Timing
	return quota.AloneTimes{
		Promise:    promiseLeases * t.Lease,
		GrantDelay: discardLeases*t.Lease + t.CallTimeout,
		MaxRun:     t.TaskTimeout,
	}
}

func (h *Host) inbox() kernel.Service {
	limits := h.intakeLimits(unreadOfHosts)
	// Messages hold bodies of callers and more. Twirp reads one into buffers that it copies as they grow, which
	// takes twice as much memory as the body of a caller.
	limits.AllBodies = max(limits.AllBodies/2, 2*limits.BodyBytes)
	limits.BodyBytes = limits.AllBodies
	b := &peers.Inbox{
		Incarnation: h.self.Incarnation, Log: h.Log, OnSent: h.countSent,
		Limits: limits, OnClosed: h.clientsClosed(msgs.ServicePeers),
		OnRefused: func(reason string) { h.Metrics.PeerRefused.WithLabelValues(reason).Inc() },
	}
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
	env.Dial = peers.CountSent(env.Dial, h.countSent)
	l := &peers.Link{
		Self:         h.self,
		Peer:         peer,
		Ephemeral:    ephemeral,
		Depth:        h.Settings.Limits.MailboxMessages,
		Timeout:      t.CallTimeout,
		DiscardAfter: discardLeases * t.Lease,
		Dial:         func(peer model.Host) peers.DeliverFunc { return peers.DialTwirp(env, peer) },
		Log:          h.Log,
		Metrics:      h.Metrics,
		OnReachable:  func(bool) {},
		OnLost: func(body any) {
			if m, ok := body.(msgs.Relay); ok {
				h.post(msgs.ServiceJobs, jobs.RelayLost{Host: peer.Name, Request: m.Request})
			}
		},
	}
	if ephemeral {
		l.Timeout = peers.EphemeralTimeout
		l.OnReachable = func(reachable bool) { h.postPeerState(peer.Name, reachable) }
	}
	return l
}

// countSent counts the bytes sent on connections between hosts.
func (h *Host) countSent(bytes int) {
	h.Metrics.PeerSentBytes.Add(float64(bytes))
}

// postPeerState notifies the services that choose among hosts of a change in reachability. The
// ephemeral link calls it: it carries the heartbeats, so it detects changes first.
func (h *Host) postPeerState(peer string, reachable bool) {
	h.post(msgs.ServiceJobs, jobs.PeerState{Host: peer, Reachable: reachable})
	h.post(msgs.ServiceLists, keeper.PeerState{Host: peer, Reachable: reachable})
}

// post sends a notification to a service of this host. It uses Reply, which is accepted even if
// the mailbox is full: no exchange could carry a refusal back.
func (h *Host) post(service string, msg any) {
	ref, err := h.Kernel.Find(service)
	if err != nil {
		return
	}
	ref.Reply(msg)
}
