package peers

import (
	"dogwoodrock.example/dogwoodrock/events"
	"dogwoodrock.example/dogwoodrock/kernel"
)

// addressUpdate is the message to a link with the address that its remote host advertises.
type addressUpdate struct{ address string }

// UpdateAddress passes the address that a host advertises to both links to it.
func UpdateAddress(find func(name string) (kernel.Ref, error), host, address string) {
	for _, ephemeral := range []bool{false, true} {
		if ref, err := find(linkName(host, ephemeral)); err == nil {
			ref.Reply(addressUpdate{address: address})
		}
	}
}

// updateAddress redirects the link when the remote host advertises another address
// than at first. The first advertised address doesn't count, because the configured
// address may differ from it, for example behind a relay. The link is redirected only
// while its current address is unreachable: of two processes with the same host name,
// the one that is reachable keeps the link.
func (l *Link) updateAddress(address string) {
	if l.advertised == "" {
		l.advertised = address
	}
	changed := l.redirected || address != l.advertised
	if !changed || address == l.Peer.Address || l.failingSince.IsZero() {
		return
	}
	l.redirected = true
	l.Peer.Address = address
	l.deliver = l.Dial(l.Peer)
	l.Log.At(events.PeerMoved).Str("Peer", l.Peer.Name).Str("Address", address).Send()
}
