package core

import (
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
)

// reportTimeout is how long the placer may take to acknowledge that a backend server is draining. It
// is shorter than a second, after which the server asks another host.
const reportTimeout = 800 * time.Millisecond

// Report is a status report of a backend server, to be forwarded to its placer.
type Report struct {
	Server model.Server
	Reply  func(Reported)
}

// Reported is the reply to a Report.
type Reported struct {
	Taken  bool
	Placer string // host that takes the server's further reports, empty if unknown
}

// pendingReports are the reports that await the placer's acknowledgement.
type pendingReports struct {
	next    uint64
	waiting map[uint64]*pendingReport
}

type pendingReport struct {
	placer  string
	reply   func(Reported)
	expires time.Time
}

// report forwards a server's report to its placer. For a server that stays it replies immediately, since
// the next report follows soon. That a server is draining counts as taken only after its placer has
// acknowledged it.
func (n *Core) report(m Report, now time.Time) {
	if m.Server.Left {
		n.reportLeft(m)
		return
	}
	placer := n.placerOf(m.Server.DataCentre, m.Server.Name)
	draining := m.Server.Draining
	if placer == "" {
		m.Reply(Reported{Taken: !draining})
		return
	}
	n.reports.next++
	msg := msgs.ServerSeen{Server: m.Server, From: n.Self, Request: n.reports.next}
	err := n.Send(placer, msgs.ServicePlacer, msg)
	if !draining || err != nil {
		m.Reply(Reported{Taken: !draining, Placer: placer})
		return
	}
	n.reports.waiting[msg.Request] = &pendingReport{placer: placer, reply: m.Reply, expires: now.Add(reportTimeout)}
}

// reportLeft forwards the end of a server to the placer of its shard in each data centre, because the
// report doesn't name the server's data centre.
func (n *Core) reportLeft(m Report) {
	for _, p := range n.placements() {
		if p.Shard != model.ShardOf(m.Server.Name, p.Count()) {
			continue
		}
		_ = n.Send(p.Host, msgs.ServicePlacer, msgs.ServerSeen{Server: m.Server, From: n.Self}) // polls of the server fail anyway
	}
	m.Reply(Reported{Taken: true})
}

// placerOf returns the host that places for the shard of a backend server, empty if none is known.
func (n *Core) placerOf(dataCentre, server string) string {
	for _, p := range n.placements() {
		if p.DataCentre == dataCentre && p.Shard == model.ShardOf(server, p.Count()) {
			return p.Host
		}
	}
	return ""
}

func (r *pendingReports) complete(m msgs.ServerNoted) {
	if p, ok := r.waiting[m.Request]; ok {
		delete(r.waiting, m.Request)
		p.reply(Reported{Taken: m.Taken, Placer: p.placer})
	}
}

func (r *pendingReports) expire(now time.Time) {
	for id, p := range r.waiting {
		if now.After(p.expires) {
			delete(r.waiting, id)
			p.reply(Reported{})
		}
	}
}
