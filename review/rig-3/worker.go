package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// order is the body of a call to a worker.
type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Fence      uint64 `json:"fence_token"`
	AckCursor  uint64 `json:"ack_cursor"`
	WaitMS     int64  `json:"wait_ms"`
}

// lateOrder decides whether an order gets no answer and is carried out after a delay.
type lateOrder func(w *worker, path string, o order) (delay time.Duration, late bool)

// worker is a stand-in for a worker. One life of it has its own runs, fences, ends and clock.
type worker struct {
	fleet *workers
	id    string
	zone  string
	cpu   int64
	mem   int64

	mu      sync.Mutex
	life    *life
	cut     bool // partitioned from all machines of the system
	cutEnds chan struct{}
	beat    string // address for further heartbeats
	server  *http.Server
	addr    string
}

// life is one life of a worker.
type life struct {
	began   time.Time
	born    int64
	seq     uint64
	fence   uint64
	lease   int64
	runs    map[string]*run
	highest map[string]int // run of each task that was stopped or ended
	ends    [][]any
	lastEnd uint64
	changed chan struct{} // closed when a run ends
	over    chan struct{} // closed when the life ends
}

type run struct {
	number  int
	spec    string
	began   time.Time
	timer   *time.Timer
	cpu, mb int64
}

// span is a time in which a task ran on a worker.
type span struct {
	task, worker string
	run          int
	from, to     time.Time // to is zero while it runs
	how          string
}

// workers are all workers of the case, with what ran on them.
type workers struct {
	sys  *system
	rec  *record
	late lateOrder

	mu     sync.Mutex
	list   []*worker
	spans  []*span
	logged map[string]int // lines in the record, by job
}

func newWorkers(sys *system, late lateOrder) *workers {
	return &workers{sys: sys, rec: sys.rec, late: late, logged: map[string]int{}}
}

// add starts a worker and its heartbeats.
func (f *workers) add(id, zone string, ip string, cpu, mem int64) (*worker, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	w := &worker{fleet: f, id: id, zone: zone, cpu: cpu, mem: mem, addr: l.Addr().String()}
	w.life = newLife()
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve)}
	go func() { _ = w.server.Serve(l) }()
	f.list = append(f.list, w)
	go w.beats()
	return w, nil
}

func newLife() *life {
	now := time.Now()
	return &life{
		began: now, born: now.UnixMilli(), runs: map[string]*run{}, highest: map[string]int{},
		changed: make(chan struct{}), over: make(chan struct{}),
	}
}

func (f *workers) stop() {
	for _, w := range f.list {
		_ = w.server.Close()
	}
}

func (l *life) clock() int64 { return time.Since(l.began).Milliseconds() + 1 }

// setCut partitions the worker from all machines of the system, or ends that.
func (w *worker) setCut(cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if cut == w.cut {
		return
	}
	w.cut = cut
	if cut {
		w.cutEnds = make(chan struct{})
		w.fleet.rec.printf("network   %s is cut off", w.id)
		return
	}
	close(w.cutEnds)
	w.fleet.rec.printf("network   %s is connected again", w.id)
}

// crash ends the life of the worker, with all that runs.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fleet.rec.printf("worker    %s crashes", w.id)
	l := w.life
	for _, name := range names(l.runs) {
		w.end(l, name, "crashed")
	}
	close(l.over)
	w.life = nil
}

// begin begins the next life of the worker, under the same id and address.
func (w *worker) begin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.life, w.beat = newLife(), ""
	w.fleet.rec.printf("worker    %s begins its next life", w.id)
}

// serve answers one order.
func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !w.connected(r.Context()) {
		panic(http.ErrAbortHandler)
	}
	if id := r.Header.Get("Dogwoodrock-Expect-Instance"); id != "" && id != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if json.Unmarshal(data, &o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if w.fleet.late != nil {
		if delay, late := w.fleet.late(w, r.URL.Path, o); late {
			w.fleet.rec.printf("worker    %s leaves %s of run %d of %s without an answer and carries it out in %v", w.id, r.URL.Path, o.Run, o.Task, delay)
			path := r.URL.Path
			time.AfterFunc(delay, func() {
				status, _ := w.carryOut(context.Background(), path, o, true)
				w.fleet.rec.printf("worker    %s carries out the late %s of run %d of %s: %d", w.id, path, o.Run, o.Task, status)
			})
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}
	status, body := w.carryOut(r.Context(), r.URL.Path, o, false)
	if status == 0 || !w.connected(r.Context()) {
		panic(http.ErrAbortHandler)
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

// connected waits while the worker is cut off. It returns false if the caller has given up meanwhile, or if the worker
// is down.
func (w *worker) connected(ctx context.Context) bool {
	for {
		w.mu.Lock()
		cut, ends, up := w.cut, w.cutEnds, w.life != nil
		w.mu.Unlock()
		if !cut {
			return up && ctx.Err() == nil
		}
		select {
		case <-ends:
		case <-ctx.Done():
			return false
		}
	}
}

// carryOut carries out an order and returns the status and body of the answer. Status 0 stands for no answer.
func (w *worker) carryOut(ctx context.Context, path string, o order, late bool) (int, any) {
	w.mu.Lock()
	l := w.life
	if l == nil {
		w.mu.Unlock()
		return 0, nil
	}
	w.expire(l)
	refuse := func(reason string) (int, any) {
		return http.StatusConflict, map[string]any{"clock_ms": l.clock(), "reason": reason}
	}
	if o.Fence < l.fence {
		defer w.mu.Unlock()
		return refuse("fence")
	}
	l.fence = o.Fence
	switch path {
	case "/run-start":
		defer w.mu.Unlock()
		return w.startRun(l, o, refuse)
	case "/run-stop":
		defer w.mu.Unlock()
		l.highest[o.Task] = max(l.highest[o.Task], o.Run)
		if r, ok := l.runs[o.Task]; ok && r.number <= o.Run {
			w.fleet.mu.Lock()
			w.fleet.logRun(o.Task, "worker    %s is told to stop run %d of %s", w.id, o.Run, o.Task)
			w.fleet.mu.Unlock()
			w.end(l, o.Task, "stopped")
		}
		return http.StatusOK, map[string]any{"clock_ms": l.clock()}
	case "/hold":
		l.extend(o.DeadlineMS)
		for len(l.ends) > 0 && l.ends[0][0].(uint64) <= o.AckCursor {
			l.ends = l.ends[1:]
		}
		changed, waiting := l.changed, len(l.ends) == 0 && o.WaitMS > 0
		w.mu.Unlock()
		if waiting && !late {
			select {
			case <-changed:
			case <-l.over:
				return 0, nil
			case <-ctx.Done():
				return 0, nil
			case <-time.After(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond):
			}
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.life != l {
			return 0, nil
		}
		w.expire(l)
		return http.StatusOK, l.lists()
	}
	w.mu.Unlock()
	return http.StatusNotFound, map[string]any{}
}

func (w *worker) startRun(l *life, o order, refuse func(string) (int, any)) (int, any) {
	if r, ok := l.runs[o.Task]; ok && r.number == o.Run {
		return http.StatusOK, map[string]any{"clock_ms": l.clock()}
	}
	s := parseSpec(o.Spec)
	used := int64(0)
	for _, r := range l.runs {
		used += r.cpu
	}
	_, active := l.runs[o.Task]
	switch {
	case o.DeadlineMS < l.clock():
		return refuse("late")
	case o.Run <= l.highest[o.Task] || active:
		l.extend(o.DeadlineMS)
		return refuse("old")
	case used+s.cpu > w.cpu:
		l.extend(o.DeadlineMS)
		return refuse("room")
	}
	l.extend(o.DeadlineMS)
	r := &run{number: o.Run, spec: o.Spec, began: time.Now(), cpu: s.cpu}
	l.runs[o.Task] = r
	w.fleet.began(o.Task, w.id, o.Run)
	r.timer = time.AfterFunc(s.work, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.life == l && l.runs[o.Task] == r {
			w.expire(l)
			w.end(l, o.Task, "done")
		}
	})
	return http.StatusOK, map[string]any{"clock_ms": l.clock()}
}

// extend prolongs the lease. It never shortens.
func (l *life) extend(deadline int64) {
	l.lease = max(l.lease, min(deadline, l.clock()+maxHold.Milliseconds()))
}

// expire ends all runs if the lease has expired.
func (w *worker) expire(l *life) {
	if l.clock() < l.lease {
		return
	}
	for _, name := range names(l.runs) {
		w.end(l, name, "lapsed")
	}
}

// end ends a run and lists its end.
func (w *worker) end(l *life, task, how string) {
	r, ok := l.runs[task]
	if !ok {
		return
	}
	r.timer.Stop()
	delete(l.runs, task)
	l.highest[task] = max(l.highest[task], r.number)
	l.lastEnd++
	l.ends = append(l.ends, []any{l.lastEnd, task, r.number, how, ""})
	w.fleet.ended(task, w.id, r.number, how)
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *life) lists() any {
	active, ended := [][]any{}, append([][]any{}, l.ends...)
	for _, name := range names(l.runs) {
		r := l.runs[name]
		active = append(active, []any{name, r.number, "", 50, r.cpu})
	}
	return map[string]any{"clock_ms": l.clock(), "born": l.born, "active": active, "ended": ended[:min(len(ended), 500)]}
}

func names(m map[string]*run) []string {
	var list []string
	for name := range m {
		list = append(list, name)
	}
	sort.Strings(list)
	return list
}

// lapse checks the lease in time.
func (w *worker) lapse() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.life != nil {
		w.expire(w.life)
	}
}

// beats sends heartbeats, and again at once to another machine after a failure.
func (w *worker) beats() {
	next, n := time.Now(), 0
	for {
		time.Sleep(20 * time.Millisecond)
		w.lapse()
		w.mu.Lock()
		l, cut, to := w.life, w.cut, w.beat
		w.mu.Unlock()
		if l == nil || cut || time.Now().Before(next) {
			continue
		}
		if to == "" {
			to = w.fleet.sys.controls[n%len(w.fleet.sys.controls)]
			n++
		}
		if w.report(l, to) {
			next = time.Now().Add(heartbeat)
		} else {
			w.mu.Lock()
			w.beat = ""
			w.mu.Unlock()
			next = time.Now().Add(100 * time.Millisecond)
		}
	}
}

func (w *worker) report(l *life, to string) bool {
	w.mu.Lock()
	l.seq++
	body, _ := json.Marshal(map[string]any{
		"service": serviceName, "addr": w.addr, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "warmup_left_ms": 0,
		"capacity": map[string]any{"cpu": w.cpu, "mem_mb": w.mem, "gpu": 0}, "labels": []string{"a", "r1-1"}, "clock_ms": l.clock(),
		"seq": l.seq, "born": l.born,
	})
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+to+"/instances/"+w.id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	r.Header.Set("Content-Type", "application/json")
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = a.Body.Close() }()
	var reply struct {
		Addr string `json:"heartbeat_addr"`
	}
	data, _ := io.ReadAll(a.Body)
	if a.StatusCode/100 != 2 {
		return false
	}
	_ = json.Unmarshal(data, &reply)
	if reply.Addr != "" {
		w.mu.Lock()
		w.beat = reply.Addr
		w.mu.Unlock()
	}
	return true
}

// placer returns the IP address of the machine to which the worker's heartbeats go, empty if it isn't known.
func (w *worker) placer() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	host, _, _ := net.SplitHostPort(w.beat)
	return host
}

func (f *workers) began(task, id string, number int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.logRun(task, "worker    %s starts run %d of %s", id, number, task)
	f.spans = append(f.spans, &span{task: task, worker: id, run: number, from: time.Now()})
}

func (f *workers) ended(task, id string, number int, how string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.logRun(task, "worker    %s run %d of %s ends: %s", id, number, task, how)
	for _, s := range f.spans {
		if s.task == task && s.worker == id && s.run == number && s.to.IsZero() {
			s.to, s.how = time.Now(), how
		}
	}
}

// maxLogged is the number of lines about the runs of one job that the record has at most.
const maxLogged = 60

// logRun records a line about a run. The caller holds the lock.
func (f *workers) logRun(task, format string, args ...any) {
	job, _, _ := strings.Cut(task, ".")
	if f.logged[job]++; f.logged[job] <= maxLogged {
		f.rec.printf(format, args...)
	} else if f.logged[job] == maxLogged+1 {
		f.rec.printf("worker    (further runs of %s are left out)", job)
	}
}

// runsOf returns the runs of a job's tasks, in the order of their start.
func (f *workers) runsOf(job string) []span {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []span
	for _, s := range f.spans {
		if strings.HasPrefix(s.task, job+".") {
			list = append(list, *s)
		}
	}
	return list
}

// spec is what the text of a job tells a stand-in.
type spec struct {
	work time.Duration
	cpu  int64
}

// parseSpec reads "ms=N cpu=N".
func parseSpec(text string) spec {
	s := spec{work: 100 * time.Millisecond, cpu: 1000}
	for _, field := range strings.Fields(text) {
		key, value, _ := strings.Cut(field, "=")
		n, err := strconv.ParseInt(value, 10, 64)
		if err != nil {
			continue
		}
		switch key {
		case "ms":
			s.work = time.Duration(n) * time.Millisecond
		case "cpu":
			s.cpu = n
		}
	}
	return s
}

func (s span) String() string {
	return fmt.Sprintf("run %d of %s on %s", s.run, s.task, s.worker)
}
