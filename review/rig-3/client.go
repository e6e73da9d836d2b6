package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// job is a best-effort job with one step.
type job struct {
	id       string
	tasks    int
	cpu      int64
	work     time.Duration
	deadline time.Duration
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func (j job) body() string {
	return fmt.Sprintf(`{"spec":"ms=%d cpu=%d","phases":[{"count":%d,"cpu":%d,"mem_mb":1,"est_ms":%d}],"best_effort":true}`,
		j.work.Milliseconds(), j.cpu, j.tasks, j.cpu, j.work.Milliseconds())
}

// answer is what a client got. Status 0 stands for none.
type answer struct {
	status int
	body   string
	at     time.Time
}

func (a answer) String() string {
	if a.status == 0 {
		return "no answer"
	}
	return fmt.Sprintf("%d %s", a.status, a.body)
}

// call sends one request on a connection of its own, as the platform forwards it to a front machine.
func (s *system) call(ctx context.Context, m *machine, method, id, body string, deadline time.Duration) answer {
	s.rec.printf("client    %s %s%s to %s", method, routePrefix, id, m.name)
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+m.front+routePrefix+id, bytes.NewReader([]byte(body)))
	if err != nil {
		return answer{at: time.Now()}
	}
	r.Host = routeHost
	if body != "" {
		r.Header.Set("Content-Type", "application/json")
	}
	if deadline > 0 {
		r.Header.Set("Dogwoodrock-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	}
	out := answer{}
	a, err := c.Do(r)
	if err == nil {
		data, readErr := io.ReadAll(a.Body)
		_ = a.Body.Close()
		if readErr == nil {
			out = answer{status: a.StatusCode, body: strings.TrimSpace(string(data))}
		}
	}
	out.at = time.Now()
	s.rec.printf("client    %s %s%s to %s -> %s", method, routePrefix, id, m.name, out)
	return out
}

// post hands a job in. The answer comes when the job has ended.
func (s *system) post(ctx context.Context, m *machine, j job) <-chan answer {
	out := make(chan answer, 1)
	go func() { out <- s.call(ctx, m, http.MethodPost, j.id, j.body(), j.deadline) }()
	return out
}

func (s *system) cancelJob(m *machine, id string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return s.call(ctx, m, http.MethodDelete, id, "", 2*time.Second)
}

// insist hands a job in, and again retransmit_ms after no answer, a broken connection, 502 or 504, at the next machine.
func (s *system) insist(ctx context.Context, list []*machine, j job) {
	for n := 0; ctx.Err() == nil; n++ {
		switch a := <-s.post(ctx, list[n%len(list)], j); a.status {
		case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
			time.Sleep(retransmit)
		default:
			return
		}
	}
}

// quiet sends one request and leaves it out of the record.
func (s *system) quiet(ctx context.Context, m *machine, id, body string, deadline time.Duration) {
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.front+routePrefix+id, strings.NewReader(body))
	if err != nil {
		return
	}
	r.Host = routeHost
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Dogwoodrock-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if a, err := c.Do(r); err == nil {
		_, _ = io.Copy(io.Discard, a.Body)
		_ = a.Body.Close()
	}
}
