package main

import (
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

func init() {
	cases["late-copy"] = lateCopy
	cases["cancel-retry"] = cancelRetry
}

// addWorkersEverywhere starts n workers in each zone.
func (c *Case) addWorkersEverywhere(n int) error {
	for z := range zones {
		if err := c.AddWorkers(z, n, 4000, 8192, true); err != nil {
			return err
		}
	}
	return nil
}

// lateCopy cancels a job. With trouble, a copy of its POST arrives at the other front of the zone seconds
// after the 2xx response.
func lateCopy(c *Case) (bool, error) {
	if err := c.addWorkersEverywhere(2); err != nil {
		return false, err
	}
	if err := c.Begin(Config(7, 1500, 60, true)); err != nil {
		return false, err
	}
	id, body := NewID(), JobBody(4, 1000, 64, 800)
	first, other := c.Fronts(0)[0], c.Fronts(0)[1]
	answered := make(chan Reply, 1)
	go func() { answered <- c.Submit(c.Front(first), id, body, 1500) }()
	time.Sleep(250 * time.Millisecond)
	if len(c.seen(id)) == 0 {
		return false, errors.New("no task of the job had begun before its cancelling")
	}
	if a := c.Cancel(c.Front(first), id); a.Status != http.StatusOK && a.Status != http.StatusGone {
		return false, errors.New("the cancelling was not acknowledged")
	}
	acked := time.Now()
	if a := <-answered; a.Status != http.StatusOK {
		return false, errors.New("the POST had no 2xx response")
	}
	time.Sleep(time.Until(acked.Add(4 * time.Second)))
	if c.Trouble {
		c.Rec.Line("network: a copy of the POST arrives at %s", other.Name)
		c.Submit(c.Front(other), id, body, 1500)
	}
	time.Sleep(2 * time.Second)
	return c.startsAfterCancel(id, acked), nil
}

// startsAfterCancel reports whether a task of a job began later than cancel_ms after its cancelling was
// acknowledged.
func (c *Case) startsAfterCancel(id string, acked time.Time) bool {
	broken := false
	for _, s := range c.seen(id) {
		if late := s.At.Sub(acked); late > cancelTime {
			c.Rec.Line("UNASKED: %s run %d began %.3f s after the acknowledgement of the cancelling", s.Task, s.Run, late.Seconds())
			broken = true
		}
	}
	return broken
}

// seen returns the tasks of a job that any worker has begun.
func (c *Case) seen(id string) []StartSeen {
	var list []StartSeen
	for _, w := range c.Workers {
		list = append(list, w.Seen(id)...)
	}
	return list
}

// vip stands in for the platform's address: it forwards each new connection to the front that the client's
// hash selects, and a retry to the next one. With reset set, it resets the next connection instead.
type vip struct {
	listener net.Listener
	fronts   []string
	reset    atomic.Bool
	retries  atomic.Int64
	rec      *Record
}

func newVIP(address string, fronts []string, rec *Record) (*vip, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	v := &vip{listener: l, fronts: fronts, rec: rec}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go v.forward(conn.(*net.TCPConn))
		}
	}()
	return v, nil
}

func (v *vip) forward(client *net.TCPConn) {
	defer func() { _ = client.Close() }()
	if v.reset.Swap(false) {
		v.retries.Add(1)
		v.rec.Line("network: a connection of the client is reset before its bytes reach a front")
		_ = client.SetLinger(0)
		return
	}
	front, err := net.Dial("tcp", v.fronts[int(v.retries.Load())%len(v.fronts)])
	if err != nil {
		return
	}
	defer func() { _ = front.Close() }()
	done := make(chan struct{}, 2)
	pipe := func(to, from net.Conn) {
		buf := make([]byte, 32<<10)
		for {
			n, err := from.Read(buf)
			if n > 0 {
				if _, err := to.Write(buf[:n]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		done <- struct{}{}
	}
	go pipe(front, client)
	go pipe(client, front)
	<-done
}

// cancelRetry cancels a job while its tasks run one after the other. With trouble, the connection of the
// DELETE is reset before it reaches a front, and the client's retry reaches the other front of the zone.
func cancelRetry(c *Case) (bool, error) {
	if err := c.addWorkersEverywhere(1); err != nil {
		return false, err
	}
	if err := c.Begin(Config(7, 10000, 9000, true)); err != nil {
		return false, err
	}
	fronts := []string{c.Front(c.Fronts(0)[0]), c.Front(c.Fronts(0)[1])}
	v, err := newVIP(addr(c.ip(0, 30), c.Port+portVIP), fronts, c.Rec)
	if err != nil {
		return false, err
	}
	defer func() { _ = v.listener.Close() }()
	address := v.listener.Addr().String()
	id, body := NewID(), JobBody(60, 1000, 64, 400)
	answered := make(chan Reply, 1)
	go func() { answered <- c.Submit(address, id, body, 10000) }()
	time.Sleep(600 * time.Millisecond)
	if len(c.seen(id)) == 0 {
		return false, errors.New("no task of the job had begun before its cancelling")
	}
	v.reset.Store(c.Trouble)
	var a Reply
	for range 3 {
		if a = c.Cancel(address, id); a.Err == nil {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	if a.Status != http.StatusOK && a.Status != http.StatusGone {
		return false, errors.New("the cancelling was not acknowledged")
	}
	acked := time.Now()
	<-answered
	time.Sleep(time.Until(acked.Add(cancelTime + time.Second)))
	return c.startsAfterCancel(id, acked), nil
}
