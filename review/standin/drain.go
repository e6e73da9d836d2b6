package main

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() {
	cases["drain-ack"] = drainAck
}

// powerLoss is how long the machine is dark that has acknowledged.
const powerLoss = 3 * time.Second

// load keeps clients of a zone busy at a front until it is stopped.
func (c *Case) load(front string, clients int, body string) (stop func() (complete int64)) {
	var done atomic.Int64
	var wg sync.WaitGroup
	ended := make(chan struct{})
	for range clients {
		wg.Go(func() {
			for {
				select {
				case <-ended:
					return
				default:
				}
				a := Do(Request{Method: http.MethodPost, URL: "http://" + front + routePrefix + NewID(), Host: routeHost, Body: body, DeadlineMS: 1500, Timeout: 2500 * time.Millisecond})
				if a.Status == http.StatusOK {
					done.Add(1)
				} else {
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	return func() int64 {
		close(ended)
		wg.Wait()
		return done.Load()
	}
}

// drainAck lets a worker leave while its zone is under load. With trouble, the machine that acknowledges the
// heartbeat with the state draining loses power right after that.
func drainAck(c *Case) (bool, error) {
	if err := c.addWorkersEverywhere(3); err != nil {
		return false, err
	}
	if err := c.Begin(Config(7, 1500, 600, true)); err != nil {
		return false, err
	}
	leaving := c.Workers[0]
	placer := c.ByIP(leaving.Placer())
	front := c.Fronts(0)[0]
	if placer == nil || placer == front {
		return false, errors.New("the first front of the zone is named for heartbeats, not the second")
	}
	stop := c.load(c.Front(front), 10, JobBody(4, 1000, 64, 150))
	time.Sleep(2 * time.Second)
	acked := make(chan time.Time, 1)
	leaving.OnBeatAck = func(from, state string) {
		ip, _, _ := net.SplitHostPort(from)
		if state != "draining" || ip != placer.IP {
			return
		}
		select {
		case acked <- time.Now():
			if c.Trouble {
				placer.Signal(syscall.SIGSTOP) // dark: it answers nothing, and its connections stay silent
				c.Rec.Line("platform: %s loses power", placer.Name)
			}
		default:
		}
	}
	leaving.SetState("draining")
	var at time.Time
	select {
	case at = <-acked:
	case <-time.After(ackTime):
		stop()
		return false, errors.New("the heartbeat with the state draining was not acknowledged by the machine named for heartbeats")
	}
	time.Sleep(time.Until(at.Add(powerLoss)))
	if c.Trouble {
		placer.Signal(syscall.SIGKILL)
		<-placer.ended
		c.Rec.Line("platform: %s starts again", placer.Name)
		if err := c.Start(placer); err != nil {
			return false, err
		}
	}
	time.Sleep(2 * time.Second)
	if stop() == 0 {
		return false, errors.New("no job of the load was served")
	}
	broken := false
	for _, s := range leaving.Seen("") {
		if late := s.At.Sub(at); late > drainTime {
			c.Rec.Line("DRAIN: %s run %d began on %s %.3f s after the acknowledgement", s.Task, s.Run, leaving.ID, late.Seconds())
			broken = true
		}
	}
	return broken, nil
}
