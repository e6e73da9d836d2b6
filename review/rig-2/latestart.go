package main

import (
	"context"
	"encoding/json"
	"strings"
	"time"
)

// lateStart has a worker leave the start of a task unanswered and carry it out some seconds later. The
// worker is cut off right after the order. The client gets no answer within its deadline and sends the
// job again, to a front of another zone. With TROUBLE=placer the zone's placer is killed after the order
// too, and all attempts go to the zone's other front.
func lateStart(p *play) {
	const (
		late     = 3300 * time.Millisecond
		deadline = 1500 * time.Millisecond
		cutTime  = 5500 * time.Millisecond
		job      = "5c0e7a21d94b36f8"
	)
	cores, fronts := p.cluster.addAll()
	p.startUp(cores, fronts)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	workers := p.newPool(cores)
	go workers.watchLeases(ctx)
	var chosen *worker
	workers.lateBy = func(w *worker, o orderBody) time.Duration {
		if p.trouble == "0" || chosen != nil || o.Task != job+".0.0.0" {
			return 0
		}
		chosen = w
		if p.trouble != "late" {
			time.AfterFunc(20*time.Millisecond, func() {
				p.note("worker %s is cut off from all machines", w.id)
				workers.mu.Lock()
				defer workers.mu.Unlock()
				w.cut = true
			})
			time.AfterFunc(cutTime, func() {
				p.note("worker %s is reached again", w.id)
				workers.mu.Lock()
				defer workers.mu.Unlock()
				w.cut = false
			})
		}
		return late
	}
	workers.onStart = func(w *worker, task string, run int) {
		if task == job+".0.0.0" {
			p.note("worker %s runs %s run %d", w.id, task, run)
		}
	}
	for z := range zones {
		for n := range workersZone {
			workers.add(z, n+1)
		}
	}
	time.Sleep(3 * time.Second)
	var results []func() map[int]int
	for z := range zones {
		results = append(results, p.load(ctx, fronts[2*z:2*z+2], z, 300*time.Millisecond, 2, specBody{MS: 200, CPU: 6800}))
	}
	time.Sleep(5 * time.Second)
	spec, _ := json.Marshal(specBody{MS: 1200, CPU: 6800})
	body, _ := json.Marshal(map[string]any{
		"spec": string(spec), "best_effort": true, "phases": []any{map[string]any{"count": 1, "cpu": 6800, "mem_mb": 64, "est_ms": 1200}},
	})
	attempts := []*host{fronts[0], fronts[2], fronts[4]}
	if p.trouble == "placer" {
		placer, other := workers.placerOf(fronts[:2])
		attempts = []*host{other, other, other}
		time.AfterFunc(100*time.Millisecond, func() {
			placer.kill()
			time.Sleep(time.Second)
			placer.start()
		})
	}
	for n, front := range attempts {
		p.note("the client hands the job in at %s, attempt %d", front.name, n+1)
		status, answer := post(context.Background(), front, job, body, deadline)
		p.note("the answer: %d %.80s", status, answer)
		if status != 0 && status != 502 && status != 504 {
			break
		}
		time.Sleep(1300 * time.Millisecond) // retransmit_ms
	}
	time.Sleep(3 * time.Second)
	cancel()
	for z, counts := range results {
		p.note("answers in %s by status: %v", zones[z], counts())
	}
	workers.mu.Lock()
	defer workers.mu.Unlock()
	for _, text := range workers.doubles {
		p.breaks("%s", text)
	}
}

// placerOf returns which of two fronts takes the reports of the first worker, and the other one.
func (l *pool) placerOf(fronts []*host) (placer, other *host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if strings.HasPrefix(l.workers[0].beatAddr, fronts[0].ip+":") {
		return fronts[0], fronts[1]
	}
	return fronts[1], fronts[0]
}
