package core

import "time"

const (
	// besideRoutes is what a call may carry beside a large message, see peers.
	besideRoutes = 1 << 20

	// largeRoutes is the size above which routes are sent to some hosts at a time, and routesInFlight the
	// bytes that are on their way then, or one document. Each call holds a copy: 44 of 8 MiB are as much
	// as a core host of 408 MB has.
	largeRoutes    = 4 << 20
	routesInFlight = 32 << 20

	// routesMemory is the memory of a core host for each byte of a document that it reads, decodes, commits and
	// sends. Measured with one entry host: 100 MB and 5.3 times the size; the rest is for further ones.
	routesMemory = 12

	// routesDisk is the space for each byte of a document on the disk: two states, and four thirds (base64)
	// of three documents in the log. The log has logDisk bytes besides. This isn't enough in all cases: neither the
	// reserve file nor several documents that aren't committed are counted, see TestLargeRoutesFitOnDiskWithRestarts.
	routesDisk = 6
	logDisk    = (snapshotBytes + proposalBytes) * 4 / 3
)

// MaxRoutes returns the size of the largest routes document that a host of the core can hold, 0 for any. A host
// without enough memory ends, and if the disks of all hosts are full, none of them takes a change any more. A disk
// can still become full for good with smaller ones, see routesDisk.
// Documents of up to largeRoutes are taken in any case.
func MaxRoutes(memoryBytes, diskBytes int64) int64 {
	most := memoryBytes / routesMemory
	if onDisk := (diskBytes - logDisk) / routesDisk; diskBytes > 0 && (memoryBytes <= 0 || onDisk < most) {
		most = onDisk
	}
	if memoryBytes <= 0 && diskBytes <= 0 {
		return 0
	}
	return max(most, largeRoutes)
}

// fits returns an answer with a limit if routes of a size exceed it, and with Observing if that isn't known yet. Routes
// that a host can't receive would never take effect on it. Only the leader knows what the entry hosts receive, once
// all that it can hear have renewed.
func (n *Core) fits(bytes int64, now time.Time) Answer {
	limit := n.MaxRoutesBytes
	observing := n.watch != nil && bytes > largeRoutes && n.watch.Observing(now)
	if n.watch != nil {
		known := n.RoutesBytes
		if smallest := n.watch.MessageBytes(); smallest > 0 {
			known = max(smallest-besideRoutes, smallest/2)
		} else if observing {
			known = 0
		}
		if limit == 0 || known > 0 && known < limit {
			limit = known
		}
	}
	if limit > 0 && bytes > limit {
		return Answer{Bytes: bytes, Limit: limit}
	}
	return Answer{Observing: observing}
}

// maySend reports whether another copy of the routes may be sent now.
func (n *Core) maySend(bytes int, now time.Time) bool {
	if bytes <= largeRoutes {
		return true
	}
	inFlight := bytes
	for host, last := range n.sent {
		m, ok := n.watch.Renewal(host)
		if ok && m.Routes < last.version && now.Sub(last.at) <= resendAfter {
			inFlight += bytes
		}
	}
	return inFlight == bytes || inFlight <= routesInFlight
}
