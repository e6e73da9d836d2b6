package placer

import (
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/runs"
)

func TestPrune(t *testing.T) {
	tests := map[string]struct {
		after time.Duration
		table int
		waits int
	}{
		"at once":          {table: 2, waits: 1},
		"jobs don't wait":  {after: earlyJobRetention + time.Millisecond, table: 2},
		"who left is gone": {after: leftRetention + time.Millisecond, table: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			n := &Node{
				changes: map[string]change{
					"s1": {version: 1, server: model.Server{Name: "s1"}, changedAt: now},
					"s2": {version: 2, server: model.Server{Name: "s2", Left: true}, changedAt: now},
				},
				earlyJobs: []earlyJob{{arrivedAt: now}},
			}
			n.prune(now.Add(tt.after))
			if len(n.changes) != tt.table || len(n.earlyJobs) != tt.waits {
				t.Fatalf("%d servers and %d early jobs are kept, want %d and %d", len(n.changes), len(n.earlyJobs), tt.table, tt.waits)
			}
		})
	}
}

// handover is what two hosts of a data centre go through when the placing passes
// from one to the other.
type failover struct {
	former, next *Node
	sentTables   []model.ServerTable
	now          time.Time
}

func newFailover() *failover {
	h := &failover{now: time.Unix(1000, 0)}
	node := func(name string) *Node {
		return &Node{
			Self: name, DataCentre: "dc", Incarnation: 1,
			servers: map[string]model.Server{}, hosts: map[string]*host{},
			Hooks: Hooks{PlacingBegan: func(model.Placement, InitialTable) {}, PlacingEnded: func(uint64, string, int) {}},
			Send: func(to, service string, body any) error {
				if m, ok := body.(model.ServerTable); ok && to == "next" && service == msgs.ServicePlacer {
					h.sentTables = append(h.sentTables, m)
				}
				return nil
			},
		}
	}
	h.former, h.next = node("former"), node("next")
	h.former.setPlacement(model.Placement{DataCentre: "dc", Host: "former", Incarnation: 1, Epoch: 4}, h.now)
	for _, name := range []string{"s1", "s2"} {
		h.former.handleReport(model.Server{Name: name, DataCentre: "dc", Born: 1, Seq: 1, CPU: 1000}, h.now)
	}
	return h
}

// supersede lets a host learn that the next one places.
func (h *failover) supersede(n *Node, former uint64) {
	n.setPlacement(model.Placement{DataCentre: "dc", Host: "next", Incarnation: 1, Epoch: 7, Former: former}, h.now)
}

func (h *failover) deliver() {
	for _, m := range h.sentTables {
		h.next.receiveFinalTable(m, h.now)
	}
	h.sentTables = nil
}

func TestFailover(t *testing.T) {
	tests := map[string]struct {
		play    func(h *failover)
		settled bool // what the placer before left is known as soon as its servers have answered
		known   int  // servers of the next placer
	}{
		"the next placer was told nothing yet": {
			play: func(h *failover) { h.supersede(h.next, 4); h.supersede(h.former, 4); h.deliver() }, settled: true, known: 2,
		},
		"the placer before was fenced off first": {
			play: func(h *failover) {
				h.supersede(h.next, 4)
				h.former.stopPlacing("fenced off")
				h.supersede(h.former, 4)
				h.deliver()
			}, settled: true, known: 2,
		},
		"the placer before has taken over the table of another one since": {
			play: func(h *failover) {
				h.former.stopPlacing("fenced off")
				h.former.applyTable(TableUpdate{Epoch: 5, Complete: true})
				h.supersede(h.next, 4)
				h.supersede(h.former, 4)
				h.deliver()
			},
		},
		"the table comes first": {
			play: func(h *failover) { h.supersede(h.former, 4); h.deliver(); h.supersede(h.next, 4) }, settled: true, known: 2,
		},
		"the placer before is gone": {
			play: func(h *failover) { h.supersede(h.next, 4) },
		},
		"another host placed in between": {
			play: func(h *failover) { h.supersede(h.next, 6); h.supersede(h.former, 6); h.deliver() },
		},
		"the core kept an older table": {
			play: func(h *failover) {
				h.supersede(h.next, 6)
				h.next.addStoredServers(model.ServerTable{Epoch: 4, Servers: []model.Server{{Name: "s1"}, {Name: "s2"}}}, h.now)
			}, known: 2,
		},
		"a table that is late by one placer": {
			play: func(h *failover) { h.supersede(h.former, 4); h.supersede(h.next, 6); h.deliver() },
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			h := newFailover()
			tt.play(h)
			p := h.next.placer
			looks := p.Drain(h.now).Looks
			for _, l := range looks {
				p.Looked(runs.Seen{Server: l.Server.Name, Born: 1, Seq: l.Seq, Outcome: runs.OutcomeTaken, Clock: 1, Sent: h.now}, h.now)
			}
			settled := false
			for _, e := range p.Drain(h.now).Events {
				settled = settled || e.Kind == runs.EventSettled
			}
			if settled != tt.settled {
				t.Errorf("settled at once after %d looks: %v, want %v", len(looks), settled, tt.settled)
			}
			if got := len(h.next.changes); got != tt.known || len(looks) != tt.known {
				t.Errorf("%d servers are told to the other hosts and %d looked at, want %d", got, len(looks), tt.known)
			}
		})
	}
}

// TestDrain stops a host as planned. It ends once it has learned who places next:
// only then can it send its table.
func TestDrain(t *testing.T) {
	fence := func(h *failover) {
		for _, l := range h.former.placer.Drain(h.now).Looks {
			h.former.placer.Looked(runs.Seen{Server: l.Server.Name, Born: 1, Seq: l.Seq, Fence: l.Fence, Outcome: runs.OutcomeFenced, Sent: h.now}, h.now)
		}
		h.former.executeOrders(h.now)
	}
	tests := map[string]struct {
		play    func(h *failover)
		drained bool
		sent    int // tables
	}{
		"it places": {play: func(*failover) {}},
		"it was fenced off and doesn't know the next placer": {play: fence},
		"it waits for the next placer":                       {play: func(h *failover) { fence(h); h.now = h.now.Add(successorTimeout) }},
		"it was fenced off and then superseded":              {play: func(h *failover) { fence(h); h.supersede(h.former, 4) }, drained: true, sent: 1},
		"it was superseded":                                  {play: func(h *failover) { h.supersede(h.former, 4) }, drained: true, sent: 1},
		"it never learns of the next placer": {
			play: func(h *failover) { fence(h); h.now = h.now.Add(successorTimeout + time.Millisecond) }, drained: true,
		},
		"it learns late of the next placer": {
			play: func(h *failover) {
				fence(h)
				h.now = h.now.Add(successorTimeout + time.Millisecond)
				h.supersede(h.former, 4)
			}, drained: true, sent: 1,
		},
		"another host places, and it never did": {
			play: func(h *failover) { h.former.placer, h.former.lastEpochPlaced = nil, 0; h.supersede(h.former, 4) }, drained: true,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			h := newFailover()
			tt.play(h)
			if got := h.former.drained(h.now); got != tt.drained {
				t.Errorf("it may end: %v, want %v", got, tt.drained)
			}
			if got := len(h.sentTables); got != tt.sent {
				t.Errorf("%d tables were sent, want %d", got, tt.sent)
			}
		})
	}
}
