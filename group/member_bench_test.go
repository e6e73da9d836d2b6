package group_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"dogwoodrock.example/dogwoodrock/codec"
	"dogwoodrock.example/dogwoodrock/group"
	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/place"
	"dogwoodrock.example/dogwoodrock/wire"
)

const (
	benchHosts     = 3
	benchCustomers = 30
	benchInFlight  = 64 // jobs at the same time
	benchSlots     = 8
	benchStep      = time.Millisecond
	warmupSteps    = 10_000 // until the group has a primary and the hosts have leases
)

// benchGroup is a data-centre group on a simulated clock. Messages between different members are
// encoded and decoded; messages of a member to itself are not.
type benchGroup struct {
	now     time.Time
	report  group.Report // from one member
	members map[string]*group.Member
	queue   []benchMessage
	bytes   int // of messages between hosts
	sent    int // messages between hosts
	grants  []msgs.Grant
	ended   int // jobs
	done    map[string]int
}

type benchMessage struct {
	from string
	to   string
	body any
}

// BenchmarkJob measures what the data-centre group does for one job: claim,
// placing, completions and outcome on the primary, and the log on two backups.
func BenchmarkJob(b *testing.B) {
	for _, tasks := range []int{1, 10, 130} {
		for _, servers := range []int{20, 160} {
			for name, keyed := range map[string]bool{"keyed": true, "unkeyed": false} {
				b.Run(fmt.Sprintf("tasks=%d/servers=%d/%s", tasks, servers, name), func(b *testing.B) {
					benchmarkJob(b, tasks, servers, keyed)
				})
			}
		}
	}
}

func benchmarkJob(b *testing.B, tasks, servers int, keyed bool) {
	g := newBenchGroup(b, servers)
	g.bytes, g.sent = 0, 0
	b.ReportAllocs()
	b.ResetTimer()
	for begun := 0; g.ended < b.N; {
		for ; begun < b.N && begun-g.ended < benchInFlight; begun++ {
			g.submit(begun, tasks, keyed)
		}
		g.round(tasks, keyed)
	}
	b.StopTimer()
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*tasks), "ns/task")
	b.ReportMetric(float64(g.bytes)/float64(b.N*tasks), "B/task")
	b.ReportMetric(float64(g.sent)/float64(b.N*tasks), "messages/task")
}

func newBenchGroup(b *testing.B, servers int) *benchGroup {
	g := &benchGroup{now: time.Unix(1_000_000, 0), members: map[string]*group.Member{}, done: map[string]int{}}
	random := rand.New(rand.NewPCG(1, 2))
	var hosts []model.Host
	for i := range benchHosts {
		hosts = append(hosts, model.Host{Name: fmt.Sprintf("h%d", i), DataCentre: "changwon", Incarnation: uint64(i) + 1})
	}
	for _, h := range hosts {
		n := &group.Member{
			Config: group.Config{
				Self: h, Members: hosts, DiskMembers: []string{"h0"}, Hosts: hosts, DataCentres: []string{"changwon"},
				Heartbeat: 100 * time.Millisecond, Lease: time.Second, ElectionTimeout: 1500 * time.Millisecond,
				BackendLease: time.Hour, KeyWindow: 5 * time.Minute, SessionEpoch: 2 * time.Minute, TaskTimeout: 30 * time.Second,
			},
			Codec: group.Codec{
				Entries: codec.Entries, FromEntries: codec.FromEntries,
				Snapshot: codec.Snapshot, FromSnapshot: codec.FromSnapshot,
			},
			Hooks:  benchHooks(b),
			Now:    func() time.Time { return g.now },
			Random: random.Uint64,
			Send: func(to, _ string, body any) error {
				g.queue = append(g.queue, benchMessage{from: h.Name, to: to, body: body})
				return nil
			},
		}
		n.Spawn = func(work func() any) {
			g.queue = append(g.queue, benchMessage{from: h.Name, to: h.Name, body: work()})
		}
		n.Start()
		g.members[h.Name] = n
	}
	g.prepare(servers)
	return g
}

func benchHooks(b *testing.B) group.Hooks {
	return group.Hooks{
		Expelled:    func(string, int, uint64) {},
		HostLeft:    func(string) {},
		Announced:   func(model.BackendServer) {},
		BackendLeft: func(string) {},
		Placed:      func(place.Event) {},
		Refused:     func(model.Code) {},
		Begun:       func() {},
		Failed:      func(err error) { b.Fatal(err) },
		Fresh:       func() bool { return true },
	}
}

// prepare applies the lists, announces the backend servers and waits for a primary. The heartbeats of
// the hosts report a fresh installation.
func (g *benchGroup) prepare(servers int) {
	l := model.Lists{Version: 1, Plans: []model.Plan{{
		Name: "open", Services: []string{"dispatch"}, Weight: 1,
		MaxRunning: 1 << 20, MaxQueued: 1 << 20, StartsPerSecond: 1 << 20, MaxJobTasks: 1000,
	}}}
	for i := range benchCustomers {
		l.Customers = append(l.Customers, model.Customer{Name: fmt.Sprintf("c%d", i), Plan: "open"})
	}
	for _, n := range g.members {
		n.Handle(group.Lists{Lists: l})
		for i := range servers {
			n.Handle(msgs.BackendAnnounce{Server: model.BackendServer{
				Name: fmt.Sprintf("s%d", i), Address: fmt.Sprintf("127.0.0.1:%d", 10000+i), DataCentre: "changwon",
				Services: []string{"dispatch"}, Slots: benchSlots, Connections: 60, MemoryBytes: 64 << 30, Lease: time.Hour,
			}})
		}
	}
	for range warmupSteps {
		g.step()
		g.inspect()
	}
}

// step advances the clock, and runs the heartbeats and ticks that are due.
func (g *benchGroup) step() {
	g.now = g.now.Add(benchStep)
	if g.now.UnixMilli()%100 == 0 {
		for name, n := range g.members {
			for _, other := range g.members {
				other.Handle(msgs.Renew{
					Host: name, Incarnation: n.Self.Incarnation, SentAt: time.Duration(g.now.UnixNano()), Installation: msgs.InstallationFresh,
					Reported: true, Generation: g.report.Replica.Generation, View: g.report.Replica.View,
				})
			}
		}
	}
	if g.now.UnixMilli()%10 == 0 {
		for _, n := range g.members {
			n.Tick()
		}
	}
	g.deliver()
}

// inspect updates the report, which names the primary.
func (g *benchGroup) inspect() {
	g.members["h0"].Handle(group.Inspect{Reply: func(r group.Report) { g.report = r }})
}

func (g *benchGroup) submit(i, tasks int, keyed bool) {
	m := msgs.Ask{
		Job: fmt.Sprintf("changwon.h%d.%016x", i%benchHosts, i), Host: fmt.Sprintf("h%d", i%benchHosts),
		Incarnation: uint64(i%benchHosts) + 1, Customer: fmt.Sprintf("c%d", i%benchCustomers), Keyed: keyed, Count: tasks,
	}
	if keyed {
		m.Key = fmt.Sprintf("01JABCDEFGHJKMNPQ%09d", i)
	}
	for t := range tasks {
		m.Tasks = append(m.Tasks, msgs.Shape{Index: t, Service: "dispatch", Expected: 100 * time.Millisecond})
	}
	g.send(m.Host, g.report.Primary, m)
}

func (g *benchGroup) send(from, to string, body any) {
	g.queue = append(g.queue, benchMessage{from: from, to: to, body: body})
}

// round completes the tasks that were granted in the previous round.
func (g *benchGroup) round(tasks int, keyed bool) {
	primary := g.report.Primary
	grants := g.grants
	g.grants = nil
	for _, grant := range grants {
		g.send(grant.Host, primary, msgs.Done{Grant: grant.ID, View: grant.View, Result: msgs.ResultSucceeded, Ran: 100 * time.Millisecond, Host: grant.Host})
		g.done[grant.Job]++
		if g.done[grant.Job] < tasks {
			continue
		}
		delete(g.done, grant.Job)
		if !keyed {
			g.ended++
			continue
		}
		answer := model.Answer{Job: grant.Job, State: model.JobComplete}
		for range tasks {
			answer.Results = append(answer.Results, []byte("cell-17-healthy"))
		}
		g.send(grant.Host, primary, msgs.Finish{Job: grant.Job, Host: grant.Host, Incarnation: grant.Incarnation, Answer: answer})
	}
	g.step()
}

// deliver delivers messages until the queue is empty.
func (g *benchGroup) deliver() {
	for len(g.queue) > 0 {
		queue := g.queue
		g.queue = nil
		for _, m := range queue {
			body := m.body
			if m.from != m.to {
				body = g.roundTrip(m.body)
			}
			switch v := body.(type) {
			case msgs.Grant:
				g.grants = append(g.grants, v)
			case msgs.Verdict:
				if v.Refusal != nil {
					panic(v.Refusal.Error())
				}
			case msgs.Finished:
				g.ended++
			default:
				g.members[m.to].Handle(body)
			}
		}
	}
}

// roundTrip encodes and decodes a message, as if it was sent to another host.
func (g *benchGroup) roundTrip(body any) any {
	e, err := codec.ToWire(msgs.ServiceGroup, body)
	if err != nil {
		panic(err)
	}
	data, err := proto.Marshal(e)
	if err != nil {
		panic(err)
	}
	g.bytes += len(data)
	g.sent++
	back := new(wire.Envelope)
	if err := proto.Unmarshal(data, back); err != nil {
		panic(err)
	}
	plain, err := codec.FromWire(back)
	if err != nil {
		panic(err)
	}
	return plain
}
