package keeper

import (
	"time"

	"dogwoodrock.example/dogwoodrock/lists"
	"dogwoodrock.example/dogwoodrock/quorum"
)

// Inspect asks what is in force and what is known of the other hosts.
type Inspect struct {
	Reply func(Report)
}

// Report is what one host knows of the lists and of the other hosts.
type Report struct {
	Active          lists.Active
	Replica         quorum.Status
	Primary         string // of the lists group, empty when unknown
	Member          bool
	Peers           []PeerReport
	ReplicationTime time.Duration // of the last change, 0 while it is under way
}

// PeerReport is what is known of another host.
type PeerReport struct {
	Host      string
	Version   uint64
	Reachable bool
	SeenAgo   time.Duration // since its last hello
}

func (n *Keeper) inspect(now time.Time) Report {
	r := Report{Active: n.active, ReplicationTime: n.replication.duration}
	if n.replica != nil {
		r.Member = true
		r.Replica = n.replica.Status(now)
		if p := r.Replica.Primary; p >= 0 && p < len(n.Members) {
			r.Primary = n.Members[p]
		}
	}
	for _, h := range n.Hosts {
		p, ok := n.peers[h.Name]
		if !ok {
			continue
		}
		report := PeerReport{Host: h.Name, Version: p.version, Reachable: p.reachable && !p.seen.IsZero()}
		if !p.seen.IsZero() {
			report.SeenAgo = now.Sub(p.seen)
		}
		r.Peers = append(r.Peers, report)
	}
	return r
}
