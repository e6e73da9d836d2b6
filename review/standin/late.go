package main

import (
	"errors"
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["late-order"] = lateOrder
}

const (
	crashAfter = 800 * time.Millisecond  // from the order without an answer to the crash of its worker
	lateAfter  = 3000 * time.Millisecond // from the order to its being carried out; the bench's kinds: 2 to 12 s
)

// heldOrder is an order that got no answer.
type heldOrder struct {
	worker *Worker
	body   orderBody
	at     time.Time
}

// lateOrder submits a job of one long task. With trouble, the first order to start it gets no answer and is
// carried out 3 s later. Its worker crashes meanwhile behind a cut from the core and from control, and has
// started again under its id.
func lateOrder(c *Case) (bool, error) {
	if err := c.addWorkersEverywhere(2); err != nil {
		return false, err
	}
	if err := c.Begin(Config(7, 15000, 9000, true)); err != nil {
		return false, err
	}
	id, held := NewID(), make(chan heldOrder, 1)
	if c.Trouble {
		var once sync.Once
		for _, w := range c.Workers {
			w.Hold = func(b orderBody) (first bool) {
				if b.Task == id+".0.0.0" {
					once.Do(func() {
						first = true
						held <- heldOrder{worker: w, body: b, at: time.Now()}
					})
				}
				return first
			}
		}
	}
	answered := make(chan Reply, 1)
	go func() { answered <- c.Submit(c.Front(c.Fronts(0)[0]), id, JobBody(1, 4000, 64, 5000), 12000) }()
	if c.Trouble {
		h := <-held
		time.Sleep(time.Until(h.at.Add(crashAfter)))
		c.Rec.Line("network: worker %s is cut off from the core and from control", h.worker.ID)
		h.worker.Cut(true)
		if err := h.worker.Restart(); err != nil {
			return false, err
		}
		time.Sleep(time.Until(h.at.Add(lateAfter)))
		h.worker.CarryOut(h.body)
		time.Sleep(2 * time.Second)
		c.Rec.Line("network: the cut is over")
		h.worker.Cut(false)
	}
	if a := <-answered; a.Status != http.StatusOK {
		return false, errors.New("the job was not served")
	}
	return c.overlaps(id), nil
}

// span is the time in which a worker ran a task.
type span struct {
	worker     string
	run        int
	began, end time.Time
}

// overlaps reports whether two runs of a task of a job were at work at the same time.
func (c *Case) overlaps(id string) bool {
	spans := map[string][]span{}
	for _, w := range c.Workers {
		w.mu.Lock()
		for _, s := range w.Starts {
			if len(s.Task) < len(id) || s.Task[:len(id)] != id {
				continue
			}
			end := time.Now()
			for _, e := range w.Ends {
				if e.Task == s.Task && e.Run == s.Run && e.At.After(s.At) {
					end = e.At
					break
				}
			}
			spans[s.Task] = append(spans[s.Task], span{worker: w.ID, run: s.Run, began: s.At, end: end})
		}
		w.mu.Unlock()
	}
	broken := false
	for task, list := range spans {
		for i, a := range list {
			for _, b := range list[i+1:] {
				if a.began.Before(b.end) && b.began.Before(a.end) {
					c.Rec.Line("TWICE: %s run %d on %s and run %d on %s were at work at the same time", task, a.run, a.worker, b.run, b.worker)
					broken = true
				}
			}
		}
	}
	return broken
}
