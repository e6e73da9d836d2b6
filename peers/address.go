package peers

import (
	"dogwoodrock.example/dogwoodrock/events"
	"dogwoodrock.example/dogwoodrock/kernel"
)

// moved tells a link the address that its remote host gives as its own.
type addressUpdate struct{ address string }

// Follow tells both links to a host the address that it gives as its own.
func UpdateAddress(find func(name string) (kernel.Ref, error), host, address string) {
	for _, ephemeral := range []bool{false, true} {
		if ref, err := find(linkName(host, ephemeral)); err == nil {
			ref.Reply(addressUpdate{address: address})
		}
	}
}

// follow turns to another address of the remote host once that gives another one
// than before: the address in the settings may differ from the host's own, for
// example where a relay stands between the two. It does so only while the address
// in use can't be reached: of two processes with the same name, the one that is
// there stays.
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
