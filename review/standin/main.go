// Command standin plays one case of the review: it starts the system's programs and stand-ins of clients,
// workers and the platform on loopback addresses, and exits with 1 if the rule was broken, 0 if it held and
// 2 if the case couldn't run.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Record is the file that tells what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// Line appends a line with the time since the beginning.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Case is the environment of a case.
type Case struct {
	*Fleet
	Rec     *Record
	Trouble bool
	Workers []*Worker
}

// cases are the cases by name.
var cases = map[string]func(c *Case) (broken bool, err error){}

// Exit codes.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitCannot  = 2
	warmUpTime  = 25 * time.Second
	settledTime = contactTime + 500*time.Millisecond // after which all machines are in touch
)

func main() {
	os.Exit(run())
}

// run takes the root of the repository, the case's name and its folder from the arguments.
func run() int {
	if len(os.Args) != 4 || cases[os.Args[2]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin ROOT CASE FOLDER")
		return exitCannot
	}
	file, err := os.Create(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	defer func() { _ = file.Close() }()
	rec := &Record{file: file, began: time.Now()}
	f, err := NewFleet(os.Args[1], rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	defer f.Stop()
	c := &Case{Fleet: f, Rec: rec, Trouble: os.Getenv("TROUBLE") != "0"}
	defer func() {
		for _, w := range c.Workers {
			w.Close()
		}
	}()
	rec.Line("trouble: %v", c.Trouble)
	broken, err := cases[os.Args[2]](c)
	switch {
	case err != nil:
		rec.Line("the case couldn't run: %v", err)
		fmt.Println("the case couldn't run:", err)
		return exitCannot
	case broken:
		rec.Line("BROKEN")
		fmt.Println("broken")
		return exitBroken
	default:
		rec.Line("HELD")
		fmt.Println("held")
		return exitHeld
	}
}

// AddWorkers starts workers in a zone.
func (c *Case) AddWorkers(zone, n int, cpu, memMB int64, guards bool) error {
	for i := range n {
		w := &Worker{
			ID: fmt.Sprintf("i-%s-%d", zones[zone], i+1), Addr: addr(c.ip(zone, 50+i), c.Port+portWorker), Zone: zones[zone],
			CPU: cpu, MemMB: memMB, Guards: guards, Label: fmt.Sprintf("r%d-1", zone+1), Controls: c.Controls(), Rec: c.Rec,
		}
		if err := w.Start(); err != nil {
			return err
		}
		c.Workers = append(c.Workers, w)
	}
	return nil
}

const (
	routeHost   = "nony24.example"
	routePrefix = "/lohu930/"
)

// Config returns a configuration with one route.
func Config(version, timeoutMS, sloMS int, guards bool) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-1","host":%q,"prefix":%q,"kind":"mutating","timeout_ms":%d,"slo_ms":%d,"priority":0,"service":"dispatch","attempts":3,"slack_factor":1.6}],`+
		`"services":[{"name":"dispatch","health_path":"/health","max_conns":64,"proto":"h1","tls":false,"admission_control":%v,"standby":false}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, version, routeHost, routePrefix, timeoutMS, sloMS, guards)
}

// NewID returns an id for a job.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// JobBody returns a job with one step.
func JobBody(count int, cpu, memMB, workMS int64) string {
	return fmt.Sprintf(`{"spec":"work=%d cpu=%d mem=%d","best_effort":true,"phases":[{"count":%d,"cpu":%d,"mem_mb":%d,"est_ms":%d}]}`, workMS, cpu, memMB, count, cpu, memMB, workMS)
}

// Submit hands a job in at an address of a front.
func (c *Case) Submit(front, id, body string, deadlineMS int64) Reply {
	c.Rec.Line("client: POST %s%s to %s", routePrefix, id, front)
	a := Do(Request{Method: http.MethodPost, URL: "http://" + front + routePrefix + id, Host: routeHost, Body: body, DeadlineMS: deadlineMS, Timeout: time.Duration(deadlineMS+1000) * time.Millisecond})
	c.Rec.Line("client: POST of %s: %s", id, a)
	return a
}

// Cancel sends the DELETE of a job to an address of a front.
func (c *Case) Cancel(front, id string) Reply {
	c.Rec.Line("client: DELETE %s%s to %s", routePrefix, id, front)
	a := Do(Request{Method: http.MethodDelete, URL: "http://" + front + routePrefix + id, Host: routeHost, Timeout: 2 * time.Second})
	c.Rec.Line("client: DELETE of %s: %s", id, a)
	return a
}

// Begin starts the system, acknowledges a configuration, and waits until every front has served a job and
// all machines are in touch.
func (c *Case) Begin(config string) error {
	if err := c.StartAll(); err != nil {
		return err
	}
	if err := c.PutConfig(config, warmUpTime); err != nil {
		return err
	}
	end := time.Now().Add(warmUpTime)
	for z := range zones {
		for _, m := range c.Fronts(z) {
			for {
				a := Do(Request{Method: http.MethodPost, URL: "http://" + c.Front(m) + routePrefix + NewID(), Host: routeHost, Body: JobBody(1, 500, 64, 50), DeadlineMS: 1500, Timeout: 2 * time.Second})
				if a.Status == http.StatusOK {
					break
				}
				if time.Now().After(end) {
					return fmt.Errorf("%s has served no job: %s", m.Name, a)
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
	time.Sleep(settledTime)
	c.Rec.Line("the system serves, and all machines are in touch")
	return nil
}
