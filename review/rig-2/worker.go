package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat    = 1500 * time.Millisecond
	maxHold      = int64(1000) // milliseconds, the longest lease that a worker grants
	stopTime     = 20 * time.Millisecond
	endsPerReply = 500
)

// pool is all workers of the deployment. One lock guards the state of all of them.
type pool struct {
	play     *play
	controls []string
	mu       sync.Mutex
	workers  []*worker
	doubles  []string                              // tasks that ran twice at the same time
	onStart  func(w *worker, task string, run int) // called with the lock held

	// lateBy returns how much later a start is carried out, without an answer, 0 for a usual one. It is
	// called with the lock held.
	lateBy func(w *worker, o orderBody) time.Duration
}

// worker is one worker. Its process may end and start again under the same id.
type worker struct {
	pool   *pool
	id     string
	zone   int
	ip     string
	cpu    int64
	labels []string

	controlCut bool // no packets pass between it and the machines that serve control
	cut        bool // no packets pass between it and any machine of the system
	up         bool
	draining   bool
	life       int
	listener   net.Listener
	server     *http.Server
	stopBeats  chan struct{}
	born       time.Time
	seq        int64
	beatAddr   string
	nextNode   int
	fence      uint64
	lease      int64
	used       int64
	runs       map[string]*taskRun
	lastRun    map[string]int64 // highest run that ended or was stopped
	ends       [][]any
	ended      int64
	changed    chan struct{}
	drainAcked time.Time // when its draining was acknowledged, zero before
}

type taskRun struct {
	number int64
	cpu    int64
	timer  *time.Timer
}

// specBody is the text that clients of the rig send as spec: the task's time and room.
type specBody struct {
	MS  int64 `json:"ms"`
	CPU int64 `json:"cpu"`
}

type orderBody struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	FenceToken uint64 `json:"fence_token"`
	AckCursor  int64  `json:"ack_cursor"`
	WaitMS     int64  `json:"wait_ms"`
}

func (p *play) newPool(cores []*host) *pool {
	l := &pool{play: p}
	for _, h := range cores {
		l.controls = append(l.controls, h.address(controlPort))
	}
	return l
}

// add starts a worker.
func (l *pool) add(zone, n int) *worker {
	w := &worker{
		pool: l, id: fmt.Sprintf("i-%d%02d", zone+1, n), zone: zone, ip: l.play.cluster.ip(zone, 100+n), cpu: 16000,
		labels: []string{"a", fmt.Sprintf("r%d-1", zone+1)}, nextNode: n,
	}
	l.workers = append(l.workers, w)
	w.start()
	return w
}

// start starts the worker's process, which knows nothing of before.
func (w *worker) start() {
	listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", w.ip, workerPort))
	if err != nil {
		w.pool.play.fail("%v", err)
	}
	w.pool.mu.Lock()
	defer w.pool.mu.Unlock()
	w.life++
	w.up, w.draining, w.born, w.seq, w.beatAddr = true, false, time.Now(), 0, ""
	w.fence, w.lease, w.used, w.ended, w.ends = 0, 0, 0, 0, nil
	w.runs, w.lastRun = map[string]*taskRun{}, map[string]int64{}
	w.changed, w.stopBeats, w.drainAcked = make(chan struct{}), make(chan struct{}), time.Time{}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.handle(w.runStart))
	mux.HandleFunc("POST /run-stop", w.handle(func(rw http.ResponseWriter, _ *http.Request, o orderBody) { w.runStop(rw, o) }))
	mux.HandleFunc("POST /hold", w.hold)
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	w.listener, w.server = listener, &http.Server{Handler: mux}
	go func(s *http.Server) { _ = s.Serve(listener) }(w.server)
	go w.beats(w.life, w.stopBeats)
}

// crash ends the worker's process and everything that runs on it.
func (w *worker) crash() {
	w.pool.mu.Lock()
	w.up = false
	close(w.stopBeats)
	for _, r := range w.runs {
		r.timer.Stop()
	}
	w.runs = map[string]*taskRun{}
	server := w.server
	w.pool.mu.Unlock()
	_ = server.Close()
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() + 1 }

// beats reports every heartbeat, first at the start. An unacknowledged report is sent to another node.
func (w *worker) beats(life int, stop chan struct{}) {
	for {
		if !w.beat(life) {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
				continue
			}
		}
		select {
		case <-stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

// beat sends one report and reports whether it was acknowledged.
func (w *worker) beat(life int) bool {
	w.pool.mu.Lock()
	to, control := w.beatAddr, false
	if to == "" {
		to, control = w.pool.controls[w.nextNode%len(w.pool.controls)], true
		w.nextNode++
	}
	w.seq++
	state := "ready"
	if w.draining {
		state = "draining"
	}
	cut, seq := w.cut || control && w.controlCut, w.seq
	body, _ := json.Marshal(map[string]any{
		"service": serviceName, "addr": fmt.Sprintf("%s:%d", w.ip, workerPort), "zone": zones[w.zone], "version": "v1", "slots": 8,
		"state": state, "warmup_left_ms": 0, "capacity": map[string]any{"cpu": w.cpu, "mem_mb": 65536, "gpu": 0},
		"labels": w.labels, "clock_ms": w.clock(), "seq": seq, "born": w.born.UnixMilli(),
	})
	w.pool.mu.Unlock()
	status, reply := 0, "no answer: the link to control is cut"
	if cut {
		time.Sleep(time.Second) // the packets are lost
	} else {
		status, reply = call(http.MethodPut, "http://"+to+"/instances/"+w.id, string(body), time.Second)
	}
	w.pool.mu.Lock()
	defer w.pool.mu.Unlock()
	if w.life != life {
		return true
	}
	if status < 200 || status > 299 {
		w.pool.play.note("worker %s: report %d (%s) to %s isn't acknowledged: %d %.60s", w.id, seq, state, to, status, reply)
		w.beatAddr = ""
		return false
	}
	var next struct {
		HeartbeatAddr string `json:"heartbeat_addr"`
	}
	if json.Unmarshal([]byte(reply), &next) == nil && next.HeartbeatAddr != "" {
		w.beatAddr = next.HeartbeatAddr
	}
	if state == "draining" && w.drainAcked.IsZero() {
		w.drainAcked = time.Now()
		w.pool.play.note("worker %s: report %d (draining) is acknowledged by %s with %d", w.id, seq, to, status)
	}
	return true
}

// drain makes the worker report that it drains.
func (w *worker) drain() {
	w.pool.mu.Lock()
	w.draining = true
	life := w.life
	w.pool.mu.Unlock()
	w.pool.play.note("worker %s drains", w.id)
	for !w.beat(life) {
		time.Sleep(50 * time.Millisecond)
	}
}

// readOrder decodes an order and checks whether this worker is meant and whether the fence is current.
// It is called with the lock held and writes the refusal.
func (w *worker) readOrder(rw http.ResponseWriter, r *http.Request, data []byte) (o orderBody, ok bool) {
	if !w.up {
		panic(http.ErrAbortHandler)
	}
	if id := r.Header.Get("Dogwoodrock-Expect-Instance"); id != "" && id != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return o, false
	}
	if json.Unmarshal(data, &o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	w.expire()
	if o.FenceToken < w.fence {
		w.reply(rw, http.StatusConflict, map[string]any{"reason": "fence"})
		return o, false
	}
	w.fence = o.FenceToken
	return o, true
}

func (w *worker) reply(rw http.ResponseWriter, status int, body map[string]any) {
	body["clock_ms"] = w.clock()
	data, _ := json.Marshal(body)
	rw.Header().Set("Content-Type", "application/json")
	rw.Header().Set("Content-Length", strconv.Itoa(len(data)))
	rw.WriteHeader(status)
	_, _ = rw.Write(data)
}

func (w *worker) handle(do func(rw http.ResponseWriter, r *http.Request, o orderBody)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		w.pool.mu.Lock()
		defer w.pool.mu.Unlock()
		if w.lost(r) {
			return
		}
		if o, ok := w.readOrder(rw, r, data); ok {
			do(rw, r, o)
		}
	}
}

// lost holds a call without an answer until its caller gives up, if the worker is cut off. The lock is
// held.
func (w *worker) lost(r *http.Request) bool {
	if !w.cut {
		return false
	}
	w.pool.mu.Unlock()
	<-r.Context().Done()
	w.pool.mu.Lock()
	return true
}

// late carries a start out later. Its time counts from then.
func (w *worker) late(o orderBody, by time.Duration) {
	w.pool.play.note("worker %s leaves the start of %s run %d unanswered", w.id, o.Task, o.Run)
	time.AfterFunc(by, func() {
		w.pool.mu.Lock()
		defer w.pool.mu.Unlock()
		o.DeadlineMS += by.Milliseconds()
		if o.FenceToken < w.fence {
			w.pool.play.note("worker %s refuses the late start of %s for its fence", w.id, o.Task)
			return
		}
		w.fence = o.FenceToken
		w.carryOut(o, func(s int, reason string) {
			w.pool.play.note("worker %s carries out the start of %s run %d, %.1f s late: %d %s", w.id, o.Task, o.Run, by.Seconds(), s, reason)
		})
	})
}

func (w *worker) runStart(rw http.ResponseWriter, r *http.Request, o orderBody) {
	if w.pool.lateBy != nil {
		if by := w.pool.lateBy(w, o); by > 0 {
			w.late(o, by)
			w.pool.mu.Unlock()
			<-r.Context().Done()
			w.pool.mu.Lock()
			return
		}
	}
	w.carryOut(o, func(status int, reason string) {
		body := map[string]any{}
		if reason != "" {
			body["reason"] = reason
		}
		w.reply(rw, status, body)
	})
}

// carryOut carries out a start and passes on the answer.
func (w *worker) carryOut(o orderBody, answer func(status int, reason string)) {
	if r, ok := w.runs[o.Task]; ok && r.number == o.Run {
		answer(http.StatusOK, "")
		return
	}
	var spec specBody
	if json.Unmarshal([]byte(o.Spec), &spec) != nil {
		answer(http.StatusBadRequest, "")
		return
	}
	switch _, other := w.runs[o.Task]; {
	case o.DeadlineMS <= w.clock():
		answer(http.StatusConflict, "late")
		return
	case other || o.Run <= w.lastRun[o.Task]:
		w.extend(o.DeadlineMS)
		answer(http.StatusConflict, "old")
		return
	case w.used+spec.CPU > w.cpu:
		w.extend(o.DeadlineMS)
		answer(http.StatusConflict, "room")
		return
	}
	w.extend(o.DeadlineMS)
	r := &taskRun{number: o.Run, cpu: spec.CPU}
	w.runs[o.Task] = r
	w.used += r.cpu
	r.timer = time.AfterFunc(time.Duration(spec.MS)*time.Millisecond, func() {
		w.pool.mu.Lock()
		defer w.pool.mu.Unlock()
		w.expire()
		w.end(o.Task, r, "done")
	})
	w.pool.started(w, o.Task, o.Run)
	answer(http.StatusOK, "")
}

func (w *worker) runStop(rw http.ResponseWriter, o orderBody) {
	w.lastRun[o.Task] = max(w.lastRun[o.Task], o.Run)
	if r, ok := w.runs[o.Task]; ok && r.number <= o.Run {
		time.AfterFunc(stopTime, func() {
			w.pool.mu.Lock()
			defer w.pool.mu.Unlock()
			w.end(o.Task, r, "stopped")
		})
	}
	w.reply(rw, http.StatusOK, map[string]any{})
}

// hold returns both lists, after an end or the time that the caller waits.
func (w *worker) hold(rw http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.pool.mu.Lock()
	defer w.pool.mu.Unlock()
	if w.lost(r) {
		return
	}
	o, ok := w.readOrder(rw, r, data)
	if !ok {
		return
	}
	if o.DeadlineMS > 0 {
		w.extend(o.DeadlineMS)
	}
	for len(w.ends) > 0 && w.ends[0][0].(int64) <= o.AckCursor {
		w.ends = w.ends[1:]
	}
	if len(w.ends) == 0 && o.WaitMS > 0 {
		life, changed := w.life, w.changed
		w.pool.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond):
		case <-r.Context().Done():
		}
		w.pool.mu.Lock()
		if !w.up || w.life != life {
			panic(http.ErrAbortHandler)
		}
		if w.lost(r) {
			return
		}
		w.expire()
	}
	active, ended := [][]any{}, append([][]any{}, w.ends...)
	for task, run := range w.runs {
		active = append(active, []any{task, run.number, "", 50, run.cpu})
	}
	w.reply(rw, http.StatusOK, map[string]any{"born": w.born.UnixMilli(), "active": active, "ended": ended[:min(len(ended), endsPerReply)]})
}

func (w *worker) extend(deadline int64) { w.lease = max(w.lease, min(deadline, w.clock()+maxHold)) }

// expire ends everything if the lease has expired.
func (w *worker) expire() {
	if w.clock() <= w.lease {
		return
	}
	for task, r := range w.runs {
		w.end(task, r, "lapsed")
	}
}

func (w *worker) end(task string, r *taskRun, how string) {
	if w.runs[task] != r || !w.up {
		return
	}
	r.timer.Stop()
	delete(w.runs, task)
	w.used -= r.cpu
	w.lastRun[task] = max(w.lastRun[task], r.number)
	w.ended++
	w.ends = append(w.ends, []any{w.ended, task, r.number, how, ""})
	close(w.changed)
	w.changed = make(chan struct{})
}

// watchLeases ends runs whose lease has expired, also while nobody calls.
func (l *pool) watchLeases(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
		l.mu.Lock()
		for _, w := range l.workers {
			if w.up {
				w.expire()
			}
		}
		l.mu.Unlock()
	}
}

// started checks a start against the runs of the same task on other workers. The lock is held.
func (l *pool) started(w *worker, task string, run int64) {
	for _, other := range l.workers {
		if r, ok := other.runs[task]; ok && other != w {
			l.play.note("task %s run %d starts on %s while run %d is on %s", task, run, w.id, r.number, other.id)
			l.doubles = append(l.doubles, fmt.Sprintf("task %s ran on %s and %s at the same time", task, other.id, w.id))
		}
	}
	if l.onStart != nil {
		l.onStart(w, task, int(run))
	}
}

// answer is the last answer to a job.
type answer struct {
	status int
	body   string
	sends  int
}

// submit hands a job in at a front as the protocol requires: it is sent again 1.3 s after no answer, a
// broken connection, 502 or 504.
func submit(ctx context.Context, fronts []*host, id string, tasks int, spec specBody, wait time.Duration) answer {
	a := answer{}
	text, _ := json.Marshal(spec)
	body, _ := json.Marshal(map[string]any{
		"spec": string(text), "best_effort": true,
		"phases": []any{map[string]any{"count": tasks, "cpu": spec.CPU, "mem_mb": 64, "est_ms": spec.MS}},
	})
	for n := 0; n < 4 && ctx.Err() == nil; n++ {
		a.sends++
		a.status, a.body = post(ctx, fronts[n%len(fronts)], id, body, wait)
		if a.status != 0 && a.status != http.StatusBadGateway && a.status != http.StatusGatewayTimeout {
			return a
		}
		time.Sleep(1300 * time.Millisecond)
	}
	return a
}

var clients = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute}}

func post(ctx context.Context, front *host, id string, body []byte, wait time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front.address(frontPort)+routePrefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	r.Host = routeHost
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Dogwoodrock-Deadline-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	a, err := clients.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = a.Body.Close() }()
	data, err := io.ReadAll(a.Body)
	if err != nil {
		return 0, err.Error()
	}
	return a.StatusCode, strings.TrimSpace(string(data))
}

// load submits jobs at the fronts of a zone until the context ends, and returns the numbers of answers
// by status once it is called.
func (p *play) load(ctx context.Context, fronts []*host, zone int, every time.Duration, tasks int, spec specBody) func() map[int]int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	counts := map[int]int{}
	wg.Add(1)
	go func() {
		defer wg.Done()
		ticker := time.NewTicker(every)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				id := fmt.Sprintf("%04x%012x", zone+1, n)
				a := submit(context.WithoutCancel(ctx), []*host{fronts[n%len(fronts)], fronts[(n+1)%len(fronts)]}, id, tasks, spec, 1500*time.Millisecond)
				mu.Lock()
				counts[a.status]++
				mu.Unlock()
			}()
		}
	}()
	return func() map[int]int {
		wg.Wait()
		return counts
	}
}
