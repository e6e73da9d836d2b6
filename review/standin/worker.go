package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Worker is a stand-in worker. It follows PROTOCOL.md: leases on its own clock, fences, ends that are listed
// until they are acknowledged, and admission control.
type Worker struct {
	ID, Addr, Zone string
	CPU, MemMB     int64
	Guards         bool // rejects what does not fit
	Label          string
	Controls       []string
	Rec            *Record

	// Hold tells whether an order to start a task is left unanswered, to be carried out later by CarryOut.
	Hold func(b orderBody) bool

	// OnBeatAck is called with the address that acknowledged a heartbeat, and the state that it told.
	OnBeatAck func(from, state string)

	mu       sync.Mutex
	born     time.Time
	state    string
	seq      uint64
	cut      bool // from the core and from control
	beatAddr string
	fence    uint64
	lease    int64 // on the worker's clock
	active   map[string]*activeRun
	highest  map[string]int // highest run of a task that was stopped or has ended
	ended    []endedRun
	lastEnd  uint64
	changed  chan struct{}
	server   *http.Server
	stop     chan struct{}
	kick     chan struct{} // a heartbeat is due at once
	Starts   []StartSeen
	Ends     []EndSeen
}

// EndSeen is a run that has ended on the worker.
type EndSeen struct {
	At   time.Time
	Task string
	Run  int
}

// StartSeen is a task that the worker began.
type StartSeen struct {
	At   time.Time
	Task string
	Run  int
}

type activeRun struct {
	task       string
	run        int
	cpu, mem   int64
	began      time.Time
	work       time.Duration
	endsLapsed *time.Timer
}

type endedRun struct {
	n    uint64
	task string
	run  int
	how  string
}

type orderBody struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	FenceToken uint64 `json:"fence_token"`
	AckCursor  uint64 `json:"ack_cursor"`
	WaitMS     int64  `json:"wait_ms"`
}

// Start listens and begins to send heartbeats.
func (w *Worker) Start() error {
	w.born, w.state = time.Now(), "ready"
	w.active, w.highest = map[string]*activeRun{}, map[string]int{}
	w.changed, w.stop, w.kick = make(chan struct{}), make(chan struct{}), make(chan struct{}, 1)
	if err := w.listen(); err != nil {
		return err
	}
	go w.beats()
	go w.watchLease()
	return nil
}

func (w *Worker) listen() error {
	l, err := net.Listen("tcp", w.Addr)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.startOrHold)
	mux.HandleFunc("POST /run-stop", w.order(w.runStop))
	mux.HandleFunc("POST /hold", w.hold)
	mux.HandleFunc("GET /health", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) })
	w.server = &http.Server{Handler: mux}
	go func(server *http.Server) { _ = server.Serve(l) }(w.server)
	return nil
}

// Cut cuts the worker off from the core and from control, or ends that.
func (w *Worker) Cut(cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = cut
}

// Restart lets the worker crash and start again under its id. It holds and knows nothing of before, and its
// counts start anew.
func (w *Worker) Restart() error {
	_ = w.server.Close()
	w.mu.Lock()
	for _, r := range w.active {
		w.Rec.Line("worker %s: %s run %d is lost in the crash", w.ID, r.task, r.run)
		w.Ends = append(w.Ends, EndSeen{At: time.Now(), Task: r.task, Run: r.run})
	}
	w.born, w.seq, w.beatAddr, w.fence, w.lease = time.Now(), 0, "", 0, 0
	w.active, w.highest, w.ended, w.lastEnd = map[string]*activeRun{}, map[string]int{}, nil, 0
	w.mu.Unlock()
	w.Rec.Line("worker %s: has crashed and starts again under its id", w.ID)
	return w.listen()
}

// CarryOut carries out an order to start a task that was left unanswered.
func (w *Worker) CarryOut(b orderBody) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.Rec.Line("worker %s: carries out the late order for %s run %d, fence_token %d, deadline_ms %d, at clock_ms %d", w.ID, b.Task, b.Run, b.FenceToken, b.DeadlineMS, w.clock())
	reason := "fence"
	if b.FenceToken >= w.fence {
		w.fence = b.FenceToken
		reason = w.runStart(b)
	}
	if reason != "" {
		w.Rec.Line("worker %s: rejects the late order: %s", w.ID, reason)
	}
}

// Close ends the worker.
func (w *Worker) Close() {
	select {
	case <-w.stop:
		return
	default:
	}
	close(w.stop)
	_ = w.server.Close()
}

func (w *Worker) clock() int64 { return time.Since(w.born).Milliseconds() + 1 }

func (w *Worker) decode(rw http.ResponseWriter, r *http.Request) (orderBody, bool) {
	var b orderBody
	if id := r.Header.Get("Dogwoodrock-Expect-Instance"); id != "" && id != w.ID {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return b, false
	}
	data, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(data, &b) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return b, false
	}
	return b, true
}

func answer(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

// startOrHold handles an order to start a task.
func (w *Worker) startOrHold(rw http.ResponseWriter, r *http.Request) {
	b, ok := w.decode(rw, r)
	switch {
	case !ok:
	case w.Hold != nil && w.Hold(b):
		w.Rec.Line("worker %s: the order for %s run %d, fence_token %d, deadline_ms %d, gets no answer", w.ID, b.Task, b.Run, b.FenceToken, b.DeadlineMS)
		select {
		case <-time.After(5 * time.Second):
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler)
	default:
		w.answerOrder(rw, b, w.runStart)
	}
}

func (w *Worker) order(do func(b orderBody) string) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		if b, ok := w.decode(rw, r); ok {
			w.answerOrder(rw, b, do)
		}
	}
}

func (w *Worker) answerOrder(rw http.ResponseWriter, b orderBody, do func(b orderBody) string) {
	w.mu.Lock()
	reason := "fence"
	if b.FenceToken >= w.fence {
		w.fence = b.FenceToken
		reason = do(b)
	}
	clock, born := w.clock(), w.born.UnixMilli()
	w.mu.Unlock()
	if reason != "" {
		w.Rec.Line("worker %s: rejects the order for %s run %d, fence_token %d: %s", w.ID, b.Task, b.Run, b.FenceToken, reason)
		answer(rw, http.StatusConflict, map[string]any{"clock_ms": clock, "reason": reason})
		return
	}
	answer(rw, http.StatusOK, map[string]any{"clock_ms": clock, "born": born})
}

func (w *Worker) extend(deadline int64) {
	w.lease = max(w.lease, min(deadline, w.clock()+maxHold.Milliseconds()))
}

// runStart begins a run unless it has to be rejected. The spec tells the work and the resources of a task.
func (w *Worker) runStart(b orderBody) string {
	if r := w.active[b.Task]; r != nil && r.run == b.Run {
		return ""
	}
	if b.DeadlineMS <= w.clock() {
		return "late"
	}
	w.extend(b.DeadlineMS)
	if b.Run <= w.highest[b.Task] || w.active[b.Task] != nil {
		return "old"
	}
	var ms, cpu, mem int64
	if _, err := fmt.Sscanf(b.Spec, "work=%d cpu=%d mem=%d", &ms, &cpu, &mem); err != nil {
		ms, cpu, mem = 100, 1000, 64
	}
	usedCPU, usedMem := w.used()
	if w.Guards && (usedCPU+cpu > w.CPU || usedMem+mem > w.MemMB) {
		return "room"
	}
	r := &activeRun{task: b.Task, run: b.Run, cpu: cpu, mem: mem, began: time.Now(), work: time.Duration(ms) * time.Millisecond}
	w.active[b.Task] = r
	w.Starts = append(w.Starts, StartSeen{At: r.began, Task: b.Task, Run: b.Run})
	w.Rec.Line("worker %s: begins %s run %d, fence_token %d; now in use: cpu %d of %d, mem_mb %d of %d", w.ID, b.Task, b.Run, b.FenceToken, usedCPU+cpu, w.CPU, usedMem+mem, w.MemMB)
	time.AfterFunc(r.work, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.end(r, "done")
	})
	return ""
}

func (w *Worker) used() (cpu, mem int64) {
	for _, r := range w.active {
		cpu += r.cpu
		mem += r.mem
	}
	return cpu, mem
}

func (w *Worker) runStop(b orderBody) string {
	w.Rec.Line("worker %s: is told to stop %s run %d, fence_token %d", w.ID, b.Task, b.Run, b.FenceToken)
	w.highest[b.Task] = max(w.highest[b.Task], b.Run)
	if r := w.active[b.Task]; r != nil && r.run <= b.Run {
		time.AfterFunc(stopGrace/2, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.end(r, "stopped")
		})
	}
	return ""
}

// end lists the end of a run. The lock is held.
func (w *Worker) end(r *activeRun, how string) {
	if w.active[r.task] != r {
		return
	}
	delete(w.active, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.run)
	w.lastEnd++
	w.ended = append(w.ended, endedRun{n: w.lastEnd, task: r.task, run: r.run, how: how})
	w.Ends = append(w.Ends, EndSeen{At: time.Now(), Task: r.task, Run: r.run})
	w.Rec.Line("worker %s: %s run %d ended %s", w.ID, r.task, r.run, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *Worker) hold(rw http.ResponseWriter, r *http.Request) {
	b, ok := w.decode(rw, r)
	if !ok {
		return
	}
	w.mu.Lock()
	if b.FenceToken < w.fence {
		clock := w.clock()
		w.mu.Unlock()
		answer(rw, http.StatusConflict, map[string]any{"clock_ms": clock, "reason": "fence"})
		return
	}
	w.fence = b.FenceToken
	if b.DeadlineMS > w.clock() {
		w.extend(b.DeadlineMS)
	}
	for len(w.ended) > 0 && w.ended[0].n <= b.AckCursor {
		w.ended = w.ended[1:]
	}
	wait, changed := len(w.ended) == 0 && b.WaitMS > 0, w.changed
	w.mu.Unlock()
	if wait {
		select {
		case <-changed:
		case <-time.After(time.Duration(b.WaitMS) * time.Millisecond):
		case <-w.stop:
		}
	}
	w.mu.Lock()
	active, ended := [][]any{}, [][]any{}
	for _, a := range w.active {
		// The figure is the processor use over the last half second.
		figure := float64(a.cpu) * min(1, time.Since(a.began).Seconds()/0.5)
		active = append(active, []any{a.task, a.run, "", int(100 * min(1, time.Since(a.began).Seconds()/a.work.Seconds())), int(figure)})
	}
	for i, e := range w.ended {
		if i == 500 {
			break
		}
		ended = append(ended, []any{e.n, e.task, e.run, e.how, ""})
	}
	body := map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli(), "active": active, "ended": ended}
	w.mu.Unlock()
	answer(rw, http.StatusOK, body)
}

// watchLease ends all runs when the lease expires.
func (w *Worker) watchLease() {
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(2 * time.Millisecond):
		}
		w.mu.Lock()
		if w.clock() >= w.lease {
			for _, r := range w.active {
				w.end(r, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

// SetState changes the state that the next heartbeat tells, and sends one at once.
func (w *Worker) SetState(state string) {
	w.mu.Lock()
	w.state = state
	w.mu.Unlock()
	w.kick <- struct{}{}
}

func (w *Worker) beats() {
	w.beat()
	for {
		select {
		case <-w.stop:
			return
		case <-w.kick:
		case <-time.After(heartbeatTime):
		}
		w.beat()
	}
}

// beat sends one heartbeat: to the named address, or else to the control addresses one after the other. A
// call without an acknowledgement within a second is followed by one to the next node.
func (w *Worker) beat() {
	first := rand.IntN(len(w.Controls))
	for n := range 2 * len(w.Controls) {
		w.mu.Lock()
		if w.cut {
			w.mu.Unlock()
			return
		}
		w.seq++
		state, named := w.state, w.beatAddr != ""
		to := w.beatAddr
		if !named {
			to = w.Controls[(first+n)%len(w.Controls)]
		}
		body, _ := json.Marshal(map[string]any{
			"service": "dispatch", "addr": w.Addr, "zone": w.Zone, "version": "v1", "slots": 8, "state": state, "warmup_left_ms": 0,
			"capacity": map[string]any{"cpu": w.CPU, "mem_mb": w.MemMB, "gpu": 0}, "labels": []string{"a", w.Label},
			"clock_ms": w.clock(), "seq": w.seq, "born": w.born.UnixMilli(),
		})
		w.mu.Unlock()
		a := Do(Request{Method: http.MethodPut, URL: "http://" + to + "/instances/" + w.ID, Body: string(body), Timeout: time.Second})
		if a.Status >= 200 && a.Status < 300 {
			var reply struct {
				HeartbeatAddr string `json:"heartbeat_addr"`
			}
			_ = json.Unmarshal([]byte(a.Body), &reply)
			w.mu.Lock()
			if reply.HeartbeatAddr != "" {
				w.beatAddr = reply.HeartbeatAddr
			}
			w.mu.Unlock()
			if w.OnBeatAck != nil {
				w.OnBeatAck(to, state)
			}
			if state != "ready" {
				w.Rec.Line("worker %s: heartbeat with state %s acknowledged by %s", w.ID, state, to)
			}
			return
		}
		w.Rec.Line("worker %s: heartbeat with state %s to %s: %s", w.ID, state, to, strings.TrimSpace(a.String()))
		w.mu.Lock()
		w.beatAddr = ""
		w.mu.Unlock()
		select {
		case <-w.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// Placer returns the IP address of the machine that was named for heartbeats, empty before that.
func (w *Worker) Placer() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	ip, _, _ := net.SplitHostPort(w.beatAddr)
	return ip
}

// Seen returns the tasks of a job that the worker has begun; all of them for an empty id.
func (w *Worker) Seen(job string) []StartSeen {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []StartSeen
	for _, s := range w.Starts {
		if strings.HasPrefix(s.Task, job) {
			list = append(list, s)
		}
	}
	return list
}
