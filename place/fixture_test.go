package place

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
)

const (
	testSeed = "20261204"
	longTime = 1000 * time.Hour
	ms       = time.Millisecond
)

var start = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", testSeed); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// plan returns a plan whose limits are not reached.
func plan(name string, weight int) model.Plan {
	return model.Plan{
		Name: name, Services: []string{"check", "swap"}, Weight: weight, MaxRunning: 10000,
		MaxQueued: 100000, StartsPerSecond: 100000, MaxJobTasks: 130,
	}
}

// listsOf returns lists in which every plan has one customer of its name.
func listsOf(plans ...model.Plan) model.Lists {
	l := model.Lists{Plans: plans}
	for _, p := range plans {
		l.Customers = append(l.Customers, model.Customer{Name: p.Name, Plan: p.Name})
	}
	return l
}

func backend(i, slots int) model.BackendServer {
	return model.BackendServer{
		Name: fmt.Sprintf("b%03d", i), Address: fmt.Sprintf("10.0.0.%d:1", i),
		Services: []string{"check"}, Slots: slots, MemoryBytes: 64, Accelerators: 1, Lease: longTime,
	}
}

func newPlacer(l model.Lists, servers, slots int, opts ...Option) *Placer {
	p := New(opts...)
	p.SetLists(l, start)
	for i := range servers {
		p.Announce(backend(i, slots), start)
	}
	return p
}

func jobOf(name, customer string, tasks int) Request {
	req := Request{Job: name, Host: "h1", Incarnation: 1, Customer: customer}
	for i := range tasks {
		req.Tasks = append(req.Tasks, Shape{Index: i, Service: "check", Expected: 100 * ms})
	}
	return req
}

// drainGrants returns the drained grants as "job/task@server".
func drainGrants(p *Placer) []string {
	var list []string
	for _, g := range p.Drain().Grants {
		list = append(list, fmt.Sprintf("%s/%d@%s", g.Job, g.Task, g.BackendServer))
	}
	return list
}

// grantTest states which grants a placer with one customer x issues after some inputs.
type grantTest struct {
	servers, slots int
	inputs         func(p *Placer)
	want           []string
}

func checkGrants(t *testing.T, tests map[string]grantTest) {
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPlacer(listsOf(plan("x", 1)), tt.servers, tt.slots)
			tt.inputs(p)
			if got := drainGrants(p); !slices.Equal(got, tt.want) {
				t.Errorf("granted %v, want %v", got, tt.want)
			}
		})
	}
}
