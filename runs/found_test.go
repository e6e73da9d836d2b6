package runs

import (
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
)

// newTakeover returns a placer that takes over servers a, b and c from the one
// before. Their first looks are on their way.
func newTakeover(t *testing.T) *desk {
	d := &desk{t: t, now: time.Unix(1000, 0)}
	d.p = New(2, true, d.now)
	var servers []model.Server
	for _, name := range []string{"a", "b", "c"} {
		servers = append(servers, model.Server{Name: name, Address: name, Service: "svc", Born: 1, CPU: 1000, MemoryMB: 10})
	}
	d.p.TakeOver(servers, d.now)
	d.drain()
	return d
}

// TestUnclaimedRun has a new placer find a run on a sound server that no entry host
// claims in time.
func TestUnclaimedRun(t *testing.T) {
	d := newTakeover(t)
	d.look("a", []Listed{{Task: "j.0.0.0", Run: 1}}, nil)
	d.look("b", nil, nil)
	d.look("c", nil, nil)
	for range 8 {
		d.now = d.now.Add(50 * time.Millisecond)
		d.p.Tick(d.now)
		for _, e := range d.drain().Events {
			if e.Kind == EventEjected {
				t.Fatalf("server %s is ejected (%s) since nobody claims a run on it", e.Server, e.Reason)
			}
		}
	}
}

// TestLateLook has the answer of a server's process before come after the report
// of its next one.
func TestLateLook(t *testing.T) {
	d := newDesk(t)
	server := d.begin("j")
	d.drain()
	next := d.servers[0]
	if next.Name != server {
		next = d.servers[1]
	}
	next.Born, next.Seq = 2, 1
	seq := d.p.servers[server].looking
	if seq == 0 {
		t.Fatal("there is no look on its way")
	}
	d.p.Report(next, d.now)
	d.drain() // a look at the new process
	d.p.Looked(Seen{Server: server, Born: 1, Seq: seq, Outcome: OutcomeTaken, Clock: 486000, Sent: d.now}, d.now)
	s := d.p.servers[server]
	if s.Born != 2 || s.known || s.clock != 0 {
		t.Fatalf("born %d, known %v, clock %d after the late answer, want a new process that isn't known", s.Born, s.known, s.clock)
	}
}
