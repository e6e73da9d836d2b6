package main

import (
	"errors"
	"net/http"
	"os"
	"syscall"
	"time"
)

func init() {
	cases["late-leave"] = lateLeave
}

// lateLeave lets the workers of a zone leave and start again under their ids. With trouble, the DELETE with
// which one of them left arrives late, while the next process under its id works on a task, and the machine
// that places gets SIGTERM.
func lateLeave(c *Case) (bool, error) {
	if err := c.addWorkersEverywhere(2); err != nil {
		return false, err
	}
	if err := c.Begin(Config(7, 15000, 9000, true)); err != nil {
		return false, err
	}
	zone := c.Workers[:2]
	placer, front := c.ByIP(zone[0].Placer()), c.Fronts(0)[0]
	if placer == nil || placer == front {
		return false, errors.New("the first front of the zone places")
	}
	for _, w := range zone {
		w.SetState("draining")
		time.Sleep(drainTime + 300*time.Millisecond)
		w.mu.Lock()
		w.state = "ready"
		w.mu.Unlock()
		if err := w.Restart(); err != nil {
			return false, err
		}
		c.Rec.Line("worker %s: the DELETE of its former process is held up", w.ID)
		w.kick <- struct{}{}
	}
	time.Sleep(heartbeatTime) // the placer has polled both by then
	id := NewID()
	answered := make(chan Reply, 1)
	go func() { answered <- c.Submit(c.Front(front), id, JobBody(1, 4000, 64, 4000), 12000) }()
	var working *Worker
	for end := time.Now().Add(time.Second); working == nil && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for _, w := range zone {
			if len(w.Seen(id)) > 0 {
				working = w
			}
		}
	}
	if working == nil {
		return false, errors.New("no worker of the zone began the task")
	}
	if c.Trouble {
		delayed := c.Controls()[1]
		working.kick <- struct{}{} // a heartbeat, so that the next one is far
		time.Sleep(300 * time.Millisecond)
		if os.Getenv("TROUBLE") != "term" { // "term": the SIGTERM alone
			a := Do(Request{Method: http.MethodDelete, URL: "http://" + delayed + "/instances/" + working.ID, Timeout: time.Second})
			c.Rec.Line("network: the DELETE of the former process of %s, which was held up, arrives at %s: %s", working.ID, delayed, a)
		}
		time.Sleep(300 * time.Millisecond)
		placer.Signal(syscall.SIGTERM)
		c.Rec.Line("platform: %s gets SIGTERM", placer.Name)
	}
	if a := <-answered; a.Status != http.StatusOK {
		return false, errors.New("the job was not served")
	}
	return c.overlaps(id), nil
}
