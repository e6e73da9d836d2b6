package main

import (
	"context"
	"time"
)

const (
	drainTime   = 2 * time.Second // drain_ms
	workersZone = 4               // workers in each zone
)

// drain cuts a worker off from the machines that serve control, not from the fronts. Behind the cut it
// crashes and starts again under its id. Long after the cut has healed it reports that it drains.
func drain(p *play) {
	cores, fronts := p.cluster.addAll()
	p.startUp(cores, fronts)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	workers := p.newPool(cores)
	go workers.watchLeases(ctx)
	var late, total int
	var last time.Duration
	workers.onStart = func(w *worker, task string, run int) {
		if w.drainAcked.IsZero() {
			return
		}
		since := time.Since(w.drainAcked)
		total++
		if since > drainTime {
			late++
			last = since
			p.note("worker %s: task %s run %d starts %.3f s after its draining was acknowledged", w.id, task, run, since.Seconds())
		}
	}
	for z := range zones {
		for n := range workersZone {
			workers.add(z, n+1)
		}
	}
	time.Sleep(2 * time.Second)
	var results []func() map[int]int
	for z := range zones {
		results = append(results, p.load(ctx, fronts[2*z:2*z+2], z, 100*time.Millisecond, 3, specBody{MS: 200, CPU: 6800}))
	}
	time.Sleep(30 * time.Second)

	w := workers.workers[0]
	if p.trouble != "0" {
		p.note("worker %s is cut off from control", w.id)
		setCut(workers, w, true)
		time.Sleep(time.Second)
		w.crash()
		p.note("worker %s crashes", w.id)
		time.Sleep(500 * time.Millisecond)
		w.start()
		p.note("worker %s starts again under its id", w.id)
		time.Sleep(3500 * time.Millisecond)
		setCut(workers, w, false)
		p.note("worker %s reaches control again", w.id)
	}
	time.Sleep(10 * time.Second)
	w.drain()
	time.Sleep(9 * time.Second) // the workers of the site serve on for 7 s
	w.crash()
	p.note("worker %s leaves; %d starts since its draining was acknowledged, %d later than drain_ms, the last after %.3f s", w.id, total, late, last.Seconds())
	cancel()
	for z, counts := range results {
		p.note("answers in %s by status: %v", zones[z], counts())
	}
	if late > 0 {
		p.breaks("%d tasks were started on worker %s later than drain_ms after its draining was acknowledged, the last after %.1f s", late, w.id, last.Seconds())
	}
}

func setCut(l *pool, w *worker, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w.controlCut = cut
}
