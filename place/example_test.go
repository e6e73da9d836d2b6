package place_test

import (
	"fmt"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/place"
)

func ExamplePlacer() {
	now := time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
	p := place.New()
	p.SetLists(model.Lists{
		Customers: []model.Customer{{Name: "crew", Plan: "Basic"}},
		Plans: []model.Plan{{
			Name: "Basic", Services: []string{"check"}, Weight: 1,
			MaxRunning: 8, MaxQueued: 100, StartsPerSecond: 50, MaxJobTasks: 10,
		}},
	}, now)
	p.Announce(model.BackendServer{
		Name: "rack1-1", Address: "10.0.0.1:80", Services: []string{"check"}, Slots: 8, Lease: 3 * time.Second,
	}, now)
	refusal := p.Submit(place.Request{Job: "j1", Host: "entry1", Customer: "crew", Tasks: []place.Shape{{Service: "check"}}}, now)
	fmt.Println(refusal == nil)
	for _, g := range p.Drain().Grants {
		fmt.Println(g.Job, g.Task, g.BackendServer, g.Address)
		p.Complete(place.Completion{Grant: g.ID, Result: place.Succeeded, RunTime: 80 * time.Millisecond}, now)
	}
	// Output:
	// true
	// j1 0 rack1-1 10.0.0.1:80
}
