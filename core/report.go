package core

import (
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
)

// noteWait is how long the placer may take to note that a backend server
// leaves; the server asks another host after a second.
const reportTimeout = 800 * time.Millisecond

// Report passes on what a backend server reports of itself.
type Report struct {
	Server model.Server
	Reply  func(Reported)
}

// Reported answers a Report.
type Reported struct {
	Taken  bool
	Placer string // host that takes the server's further reports, empty when unknown
}

// notes are the reports that wait for the placer's answer.
type pendingReports struct {
	next    uint64
	waiting map[uint64]*pendingReport
}

type pendingReport struct {
	placer  string
	reply   func(Reported)
	expires time.Time
}

// report answers at once for a server that goes on: its next report comes soon.
// That a server leaves is taken only once its placer knows.
func (n *Node) report(m Report, now time.Time) {
	if m.Server.Left {
		n.reportLeft(m)
		return
	}
	placer := n.placerOf(m.Server.DataCentre)
	leaves := m.Server.Draining
	if placer == "" {
		m.Reply(Reported{Taken: !leaves})
		return
	}
	n.reports.next++
	seen := msgs.ServerSeen{Server: m.Server, From: n.Self, Request: n.reports.next}
	err := n.Send(placer, msgs.ServicePlacer, seen)
	if !leaves || err != nil {
		m.Reply(Reported{Taken: !leaves, Placer: placer})
		return
	}
	n.reports.waiting[seen.Request] = &pendingReport{placer: placer, reply: m.Reply, expires: now.Add(reportTimeout)}
}

// left tells all placers that a server has ended: it doesn't say where it was.
func (n *Node) reportLeft(m Report) {
	for _, p := range n.placements() {
		_ = n.Send(p.Host, msgs.ServicePlacer, msgs.ServerSeen{Server: m.Server, From: n.Self}) // its looks fail anyway
	}
	m.Reply(Reported{Taken: true})
}

func (n *Node) placerOf(dataCentre string) string {
	for _, p := range n.placements() {
		if p.DataCentre == dataCentre {
			return p.Host
		}
	}
	return ""
}

func (w *pendingReports) complete(m msgs.ServerNoted) {
	if q, ok := w.waiting[m.Request]; ok {
		delete(w.waiting, m.Request)
		q.reply(Reported{Taken: m.Taken, Placer: q.placer})
	}
}

func (w *pendingReports) expire(now time.Time) {
	for id, q := range w.waiting {
		if now.After(q.expires) {
			delete(w.waiting, id)
			q.reply(Reported{})
		}
	}
}
