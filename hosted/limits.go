package hosted

import (
	"math"

	"dogwoodrock.example/dogwoodrock/core"
	"dogwoodrock.example/dogwoodrock/events"
	"dogwoodrock.example/dogwoodrock/intake"
	"dogwoodrock.example/dogwoodrock/msgs"
)

// clientShare is what the clients of a listener may occupy of a process.
type clientShare struct {
	memory    float64 // of the memory limit, for bodies that are being read; reading takes up to twice that
	leastBody int64   // bytes for bodies that are granted whatever the memory limit is
	outdated  float64 // of the memory limit, for older versions of a document that are being sent
	contents  float64 // of the memory limit, for what bodies take once they are decoded
	conns     float64 // of the descriptors
	body      int64   // bytes of one body
	large     int64   // bytes from which bodies are read one after the other
	messages  bool    // the bodies are messages between hosts
	unread    int     // bytes that the system receives for a connection, at most
	unreadAll float64 // of the memory limit, for what it receives for all of them
}

// Sizes of bodies, in bytes.
const (
	jobBody     = 1 << 20
	reportBody  = 4 << 20
	configBody  = 64 << 20
	messageBody = configBody + 1<<20 // a configuration and what a message carries beside it
	noBody      = 64 << 10           // of requests that have none by their protocol

	// leastContents is what decoded contents may take whatever the memory limit is: the tasks or labels of a body
	// of the largest size, in the form that clients send them.
	leastContents = 1 << 20

	// largeConfig is the size from which configurations are read and committed one after the other. Those of
	// up to 12,300 routes are smaller, and reports can't be larger.
	largeConfig = 4 << 20
)

// Bytes that the system receives for a connection before the process reads them. A round trip to a caller
// takes 6 ms: 16 KB are 21 Mbit/s, more than the link of the smallest hosts. Hosts of the core have few
// clients and large bodies.
const (
	unreadOfMany  = 16 << 10
	unreadOfHosts = 32 << 10
	unreadOfCore  = 128 << 10

	// leastUnread is received for a connection whatever the memory limit is: within a round trip of 6 ms, 11 Mbit/s.
	leastUnread = 8 << 10
)

// entryShares are the shares of an entry host by listener. A third of the descriptors is left for
// connections to backend servers and to other hosts, and half of the memory for the other work. Each other
// host may keep two connections for messages: with 300 hosts they are 600 at a placer.
var entryShares = map[string]clientShare{
	"callers":         {memory: 1. / 16, leastBody: 2 * jobBody, contents: 1. / 16, conns: 0.25, body: jobBody, unread: unreadOfMany, unreadAll: 1. / 16},
	"beats":           {memory: 1. / 32, leastBody: reportBody, contents: 1. / 32, conns: 0.13, body: reportBody, unread: unreadOfHosts, unreadAll: 1. / 32},
	"readiness":       {memory: 1. / 256, leastBody: noBody, conns: 0.02, body: noBody, unread: unreadOfMany, unreadAll: 1. / 256},
	"operators":       {memory: 1. / 256, leastBody: noBody, conns: 0.02, body: noBody, unread: unreadOfMany, unreadAll: 1. / 256},
	msgs.ServicePeers: {memory: 1. / 16, leastBody: 2 << 20, contents: 1. / 16, conns: 0.25, body: messageBody, messages: true, unread: unreadOfHosts, unreadAll: 1. / 8},
}

// coreShares are the shares of a core host. One configuration of the largest size is read whatever the
// memory limit is, and one message with it.
var coreShares = map[string]clientShare{
	"control":         {memory: 1. / 6, leastBody: configBody, contents: 1. / 4, outdated: 1. / 16, conns: 0.33, body: configBody, large: largeConfig, unread: unreadOfCore, unreadAll: 1. / 8},
	"operators":       {memory: 1. / 256, leastBody: noBody, conns: 0.02, body: noBody, unread: unreadOfMany, unreadAll: 1. / 256},
	msgs.ServicePeers: {memory: 1. / 6, leastBody: messageBody, contents: 1. / 8, conns: 0.3, body: messageBody, messages: true, unread: unreadOfCore, unreadAll: 1. / 8},
}

// Values for a process without limits in its settings.
const (
	defaultMemory = 1 << 30
	defaultFDs    = 16384
)

// intakeLimits returns the limits for the clients of a listener.
func (s Settings) intakeLimits(listener string) intake.Limits {
	shares := entryShares
	if s.DataFolder != "" {
		shares = coreShares
	}
	share, ok := shares[listener]
	if !ok {
		share = entryShares["callers"]
	}
	memory, fds := s.MemoryBytes, s.MaxFDs
	if memory <= 0 {
		memory = defaultMemory
	}
	if fds <= 0 {
		fds = defaultFDs
	}
	conns := max(int(math.Min(share.conns*float64(fds), defaultFDs)), 1)
	return intake.Limits{
		Conns:     conns,
		BodyBytes: share.body,
		AllBodies: max(int64(share.memory*float64(memory)), s.leastBodies(share)),
		Contents:  max(int64(share.contents*float64(memory)), leastContents),
		Outdated:  int64(share.outdated * float64(memory)),
		Large:     share.large,
		Messages:  share.messages,
		Unread:    share.unreadBytes(memory, conns),
		Wide:      share.unread,
	}
}

// unreadBytes returns the bytes that the system receives for each of the connections.
func (s clientShare) unreadBytes(memory int64, conns int) int {
	return min(s.unread, max(int(s.unreadAll*float64(memory))/conns, leastUnread))
}

// leastBodies returns the bytes for bodies that a listener grants whatever its share of the memory is. A host of the core
// needs no more than its largest configuration in a message.
func (s Settings) leastBodies(share clientShare) int64 {
	if s.DataFolder == "" || s.MemoryBytes <= 0 {
		return share.leastBody
	}
	return min(share.leastBody, core.MaxRoutes(s.MemoryBytes, s.DiskBytes)+messageBody-configBody)
}

// clientsClosed returns the function that counts and logs the connections that a listener has closed.
func (h *Host) clientsClosed(listener string) func(intake.Closed) {
	return func(c intake.Closed) {
		h.Metrics.ClientsClosed.WithLabelValues(listener, c.Reason.String()).Add(float64(c.Count))
		h.Log.At(events.ClientsClosed).Str("Listener", listener).Stringer("Reason", c.Reason).Int64("Count", c.Count).
			Int("Connections", c.Conns).Int64("Bytes", c.Bytes).Send()
	}
}
