package msgs

import (
	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/quorum"
)

// Names of the services that receive messages from other hosts.
const (
	ServicePeers = "peers"
	ServiceJobs  = "jobs"
	ServiceCalls = "calls"
	ServiceGroup = "group"
	ServiceLists = "lists"
	ServiceFront = "front"

	ServiceCore   = "core"
	ServiceEntry  = "entry"
	ServicePlacer = "placer"
)

// Envelope is a message with its destination, a service of a host.
type Envelope struct {
	To      string // name of the host
	Service string
	Body    any // one of the structs of this package
}

// Ephemeral reports whether the message is useless if it is late, so that it is sent once and never
// retransmitted.
func Ephemeral(body any) bool {
	switch body.(type) {
	case Renew, Lease, Hello, Load, Learned, BackendAnnounce, quorum.Message, HostRenew, HostRenewed, Pulse, Pulsed, ServerSeen, ServerNoted, CoreJoin, CoreJoined, CoreFound, CoreVote, model.ServerTable:
		return true
	default:
		return false
	}
}

// StartsExchange reports whether the message starts an exchange, so that a service whose queue is full
// refuses it. All other messages belong to an exchange that was already admitted.
func StartsExchange(body any) bool {
	switch body.(type) {
	case Ask, Fetch, SessionAsk, CancelAsk, Relay, Recall, Renew, Lease, Hello, BackendAnnounce, ListsAsk, UsageAsk, StatusAsk, LoanAsk, Load, Learned, quorum.Message, HostRenew, Pulse, ServerSeen, CoreJoin, CoreVote:
		return true
	default:
		return false
	}
}

// Batchable reports whether the message may be delayed by a few tens of milliseconds, so that it is
// sent in one batch with others.
func Batchable(body any) bool {
	switch body.(type) {
	case Renew, Lease, Hello, Load, Learned, BackendAnnounce:
		return true
	default:
		return false
	}
}

// AtMostOnce reports whether the message must not be retransmitted while it is unknown whether it was
// delivered. The remote host can't recognize the duplicate if it has restarted in between, since the
// submission has no key.
func AtMostOnce(body any) bool {
	relay, ok := body.(Relay)
	return ok && relay.Submission.Key == ""
}
