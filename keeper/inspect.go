package keeper

import (
	"time"

	"dogwoodrock.example/dogwoodrock/lists"
	"dogwoodrock.example/dogwoodrock/quorum"
)

// Inspect requests a Report.
type Inspect struct {
	Reply func(Report)
}

// Report is one host's view of the lists and of the other hosts.
type Report struct {
	Active          lists.Active
	Replica         quorum.Status
	Primary         string // of the lists group, empty if unknown
	Member          bool
	Peers           []PeerReport
	ReplicationTime time.Duration // until all reachable hosts had the active version, 0 until they do
}

// PeerReport is one host's view of another host.
type PeerReport struct {
	Host      string
	Version   uint64
	Reachable bool
	SeenAgo   time.Duration // time since its last hello
}

func (k *Keeper) inspect(now time.Time) Report {
	r := Report{Active: k.active, ReplicationTime: k.replication.duration}
	if k.replica != nil {
		r.Member = true
		r.Replica = k.replica.Status(now)
		if p := r.Replica.Primary; p >= 0 && p < len(k.Members) {
			r.Primary = k.Members[p]
		}
	}
	for _, h := range k.Hosts {
		p, ok := k.peers[h.Name]
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
