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
		"jobs don't wait":  {after: earlyTime + time.Millisecond, table: 2},
		"who left is gone": {after: leftMemory + time.Millisecond, table: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			n := &Node{
				changed: map[string]change{
					"s1": {version: 1, server: model.Server{Name: "s1"}, at: now},
					"s2": {version: 2, server: model.Server{Name: "s2", Left: true}, at: now},
				},
				early: []early{{came: now}},
			}
			n.prune(now.Add(tt.after))
			if len(n.changed) != tt.table || len(n.early) != tt.waits {
				t.Fatalf("%d servers and %d early jobs are kept, want %d and %d", len(n.changed), len(n.early), tt.table, tt.waits)
			}
		})
	}
}

// handover is what two hosts of a data centre go through when the placing passes
// from one to the other.
type handover struct {
	former, next *Node
	sent         []model.ServerTable
	now          time.Time
}

func newHandover() *handover {
	h := &handover{now: time.Unix(1000, 0)}
	node := func(name string) *Node {
		return &Node{
			Self: name, DataCentre: "dc", Incarnation: 1,
			servers: map[string]model.Server{}, hosts: map[string]*host{},
			Hooks: Hooks{Began: func(model.Placement, Begun) {}, Ended: func(uint64, string, int) {}},
			Send: func(to, service string, body any) error {
				if m, ok := body.(model.ServerTable); ok && to == "next" && service == msgs.ServicePlacer {
					h.sent = append(h.sent, m)
				}
				return nil
			},
		}
	}
	h.former, h.next = node("former"), node("next")
	h.former.placed(model.Placement{DataCentre: "dc", Host: "former", Incarnation: 1, Epoch: 4}, h.now)
	for _, name := range []string{"s1", "s2"} {
		h.former.beat(model.Server{Name: name, DataCentre: "dc", Born: 1, Seq: 1, CPU: 1000}, h.now)
	}
	return h
}

// supersede lets a host learn that the next one places.
func (h *handover) supersede(n *Node, former uint64) {
	n.placed(model.Placement{DataCentre: "dc", Host: "next", Incarnation: 1, Epoch: 7, Former: former}, h.now)
}

func (h *handover) deliver() {
	for _, m := range h.sent {
		h.next.inherit(m, h.now)
	}
	h.sent = nil
}

func TestHandOver(t *testing.T) {
	tests := map[string]struct {
		play    func(h *handover)
		settled bool // what the placer before left is known as soon as its servers have answered
		known   int  // servers of the next placer
	}{
		"the next placer was told nothing yet": {
			play: func(h *handover) { h.supersede(h.next, 4); h.supersede(h.former, 4); h.deliver() }, settled: true, known: 2,
		},
		"the placer before was fenced off first": {
			play: func(h *handover) {
				h.supersede(h.next, 4)
				h.former.stop("fenced off")
				h.supersede(h.former, 4)
				h.deliver()
			}, settled: true, known: 2,
		},
		"the placer before has taken over the table of another one since": {
			play: func(h *handover) {
				h.former.stop("fenced off")
				h.former.adoptTable(Table{Epoch: 5, Whole: true})
				h.supersede(h.next, 4)
				h.supersede(h.former, 4)
				h.deliver()
			},
		},
		"the table comes first": {
			play: func(h *handover) { h.supersede(h.former, 4); h.deliver(); h.supersede(h.next, 4) }, settled: true, known: 2,
		},
		"the placer before is gone": {
			play: func(h *handover) { h.supersede(h.next, 4) },
		},
		"another host placed in between": {
			play: func(h *handover) { h.supersede(h.next, 6); h.supersede(h.former, 6); h.deliver() },
		},
		"the core kept an older table": {
			play: func(h *handover) {
				h.supersede(h.next, 6)
				h.next.learn(model.ServerTable{Epoch: 4, Servers: []model.Server{{Name: "s1"}, {Name: "s2"}}}, h.now)
			}, known: 2,
		},
		"a table that is late by one placer": {
			play: func(h *handover) { h.supersede(h.former, 4); h.supersede(h.next, 6); h.deliver() },
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHandover()
			tt.play(h)
			p := h.next.placer
			looks := p.Drain(h.now).Polls
			for _, l := range looks {
				p.Polled(runs.PollResult{Server: l.Server.Name, Born: 1, Seq: l.Seq, Outcome: runs.OutcomeTaken, Clock: 1, Sent: h.now}, h.now)
			}
			settled := false
			for _, e := range p.Drain(h.now).Events {
				settled = settled || e.Kind == runs.EventSettled
			}
			if settled != tt.settled {
				t.Errorf("settled at once after %d looks: %v, want %v", len(looks), settled, tt.settled)
			}
			if got := len(h.next.changed); got != tt.known || len(looks) != tt.known {
				t.Errorf("%d servers are told to the other hosts and %d looked at, want %d", got, len(looks), tt.known)
			}
		})
	}
}

// TestDrain stops a host as planned. It ends once it has learned who places next:
// only then can it send its table.
func TestDrain(t *testing.T) {
	fence := func(h *handover) {
		for _, l := range h.former.placer.Drain(h.now).Polls {
			h.former.placer.Polled(runs.PollResult{Server: l.Server.Name, Born: 1, Seq: l.Seq, Fence: l.Fence, Outcome: runs.OutcomeFenced, Sent: h.now}, h.now)
		}
		h.former.carryOut(h.now)
	}
	tests := map[string]struct {
		play    func(h *handover)
		drained bool
		sent    int // tables
	}{
		"it places": {play: func(*handover) {}},
		"it was fenced off and doesn't know the next placer": {play: fence},
		"it waits for the next placer":                       {play: func(h *handover) { fence(h); h.now = h.now.Add(successorWait) }},
		"it was fenced off and then superseded":              {play: func(h *handover) { fence(h); h.supersede(h.former, 4) }, drained: true, sent: 1},
		"it was superseded":                                  {play: func(h *handover) { h.supersede(h.former, 4) }, drained: true, sent: 1},
		"it never learns of the next placer": {
			play: func(h *handover) { fence(h); h.now = h.now.Add(successorWait + time.Millisecond) }, drained: true,
		},
		"it learns late of the next placer": {
			play: func(h *handover) {
				fence(h)
				h.now = h.now.Add(successorWait + time.Millisecond)
				h.supersede(h.former, 4)
			}, drained: true, sent: 1,
		},
		"another host places, and it never did": {
			play: func(h *handover) { h.former.placer, h.former.placedFor = nil, 0; h.supersede(h.former, 4) }, drained: true,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHandover()
			tt.play(h)
			if got := h.former.drained(h.now); got != tt.drained {
				t.Errorf("it may end: %v, want %v", got, tt.drained)
			}
			if got := len(h.sent); got != tt.sent {
				t.Errorf("%d tables were sent, want %d", got, tt.sent)
			}
		})
	}
}
