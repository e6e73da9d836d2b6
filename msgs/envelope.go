package msgs

import (
	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/quorum"
)

// Names of the services that messages of other hosts are addressed to.
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

// Envelope addresses a message to a service of a host.
type Envelope struct {
	To      string // name of the host
	Service string
	Body    any // one of the structs of this package
}

// Ephemeral reports whether the message is worthless once late, so that it is
// sent once and never repeated.
func Ephemeral(body any) bool {
	switch body.(type) {
	case Renew, Lease, Hello, Load, Learned, BackendAnnounce, quorum.Message, HostRenew, HostRenewed, Pulse, Pulsed, ServerSeen, ServerNoted, CoreJoin, CoreJoined, CoreFound, model.ServerTable:
		return true
	default:
		return false
	}
}

// Request reports whether the message begins an exchange, so that a service
// that is full refuses it. All others belong to an exchange that was admitted.
func StartsExchange(body any) bool {
	switch body.(type) {
	case Ask, Fetch, SessionAsk, CancelAsk, Relay, Recall, Renew, Lease, Hello, BackendAnnounce, ListsAsk, UsageAsk, StatusAsk, LoanAsk, Load, Learned, quorum.Message, HostRenew, Pulse, ServerSeen, CoreJoin:
		return true
	default:
		return false
	}
}

// Patient reports whether the message may wait a few tens of milliseconds, so
// that it travels together with others.
func Batchable(body any) bool {
	switch body.(type) {
	case Renew, Lease, Hello, Load, Learned, BackendAnnounce:
		return true
	default:
		return false
	}
}

// Once reports whether the message must not be sent again once it is unknown
// whether it was taken: nothing else would recognize the repetition when the
// remote host has been restarted in between.
func AtMostOnce(body any) bool {
	relay, ok := body.(Relay)
	return ok && relay.Submission.Key == ""
}
