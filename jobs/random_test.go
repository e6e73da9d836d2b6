package jobs

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
)

// taskRef names one task of one job.
type taskRef struct {
	job  string
	task int
}

// simulation sends a Runner random messages, including ones that no primary would send, and records
// the calls of each task in a list as the reference model.
type simulation struct {
	*fixture
	t          *testing.T
	rng        *rand.Rand
	ids        []string // of the jobs with an Ask
	replies    map[int]int
	history    map[taskRef][]msgs.Result // 0 for an outstanding call
	inFlight   map[uint64]taskRef        // by grant
	openRelays map[uint64]string         // relayed jobs, by request; empty for a relayed submission
	key        string                    // with its home in dc
	grants     []msgs.Grant
	view       uint64
	generation uint64
	nextID     uint64
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	sim := &simulation{
		fixture: newFixture(t), t: t, rng: rand.New(rand.NewPCG(seed, seed)), view: 1, generation: 1, nextID: 1,
		replies: map[int]int{}, history: map[taskRef][]msgs.Result{}, inFlight: map[uint64]taskRef{}, openRelays: map[uint64]string{},
	}
	sim.r.Call = sim.recordCall
	sim.r.Send = sim.sendTracked
	sim.key = sim.addDataCentre()
	return sim
}

// sendTracked records the tasks of a job that is relayed to another data centre as calls.
func (sim *simulation) sendTracked(to, service string, body any) error {
	m, ok := body.(msgs.Relay)
	if !ok {
		return sim.send(to, service, body)
	}
	sim.openRelays[m.Request] = ""
	for _, j := range sim.r.jobs {
		if j.remote.request != m.Request {
			continue
		}
		sim.openRelays[m.Request] = j.id
		for i := range m.Submission.Tasks {
			sim.recordStart(taskRef{j.id, i})
		}
	}
	return sim.send(to, service, body)
}

// answerRelay answers a Relay with a random result, unless it has been answered.
func (sim *simulation) answerRelay(request uint64) {
	if job, ok := sim.openRelays[request]; ok {
		delete(sim.openRelays, request)
		m := msgs.Relayed{Request: request, Answer: &model.Answer{State: model.JobComplete}}
		result := msgs.ResultSucceeded
		outcome := sim.rng.IntN(3)
		if job == "" {
			outcome = sim.rng.IntN(2)
		}
		switch outcome {
		case 0:
			result = msgs.ResultNotStarted
			m = msgs.Relayed{Request: request, Refusal: &model.RefusalError{Code: model.CodeQueueFull, NotRun: true}}
		case 1:
			result = msgs.ResultUnknown
			m = msgs.Relayed{Request: request, Refusal: &model.RefusalError{Code: model.CodeOutcomeUnknown}}
		}
		for i := 0; len(sim.history[taskRef{job, i}]) > 0; i++ {
			s := taskRef{job, i}
			sim.history[s] = sim.history[s][:len(sim.history[s])-1]
			if result != msgs.ResultNotStarted {
				sim.history[s] = append(sim.history[s], result)
			}
			m = sim.withResult(m, s)
		}
		sim.step(m)
	}
}

func (sim *simulation) withResult(m msgs.Relayed, s taskRef) msgs.Relayed {
	if m.Answer != nil {
		m.Answer.Results = append(m.Answer.Results, []byte(fmt.Sprint(s)))
	}
	return m
}

// recordStart records a start of a task and checks that no earlier start may have run.
func (sim *simulation) recordStart(s taskRef) {
	if slices.ContainsFunc(sim.history[s], func(r msgs.Result) bool { return r != msgs.ResultNotStarted }) {
		sim.t.Errorf("%v is called again after %v", s, sim.history[s])
	}
	sim.history[s] = append(sim.history[s], 0)
}

// recordCall records a call and checks its lease, fence and view.
func (sim *simulation) recordCall(c Call) {
	s := taskRef{c.Grant.Job, c.Grant.Task}
	sim.recordStart(s)
	if !sim.now.Before(c.LeaseExpires) {
		sim.t.Errorf("%v is called without a lease", s)
	}
	if c.Grant.Fence < sim.view { // the fence of its lease
		sim.t.Errorf("%v is called with fence %d in view %d", s, c.Grant.Fence, sim.view)
	}
	if c.Grant.View != sim.view {
		sim.t.Errorf("%v is called under a grant of view %d in view %d", s, c.Grant.View, sim.view)
	}
	sim.inFlight[c.Grant.ID] = s
}

func (sim *simulation) submit() {
	n := len(sim.replies)
	if n >= 8 {
		return
	}
	sim.replies[n] = 0
	sub := submission([]string{"", sim.key}[sim.rng.IntN(2)], 1+sim.rng.IntN(3))
	asks := len(sentOf[msgs.Ask](sim.fixture))
	job := ""
	sim.r.Handle(Submit{Submission: sub, NoWait: sim.rng.IntN(4) == 0, Reply: func(a *model.Answer, r *model.RefusalError) {
		sim.replies[n]++
		sim.checkReply(job, sub, a, r)
	}})
	if all := sentOf[msgs.Ask](sim.fixture); len(all) > asks {
		job = all[len(all)-1].Job
		sim.ids = append(sim.ids, job)
	}
}

// checkReply checks one reply against the recorded calls.
func (sim *simulation) checkReply(job string, sub model.Submission, a *model.Answer, refusal *model.RefusalError) {
	if a != nil {
		refusal = a.Refusal
		if a.State == model.JobComplete && a.Job == job && len(a.Results) != len(sub.Tasks) {
			sim.t.Errorf("%s is complete with %d results", job, len(a.Results))
		}
		for i, r := range a.Results {
			if string(r) != fmt.Sprint(taskRef{a.Job, i}) {
				sim.t.Errorf("task %d of %s has the result %q", i, a.Job, r)
			}
		}
	}
	if refusal == nil || !refusal.NotRun {
		return
	}
	for i := range sub.Tasks {
		if job != "" && len(sim.history[taskRef{job, i}]) > 0 {
			sim.t.Errorf("%s has NotRun (%s), but task %d was called", job, refusal.Code, i)
		}
	}
}

func (sim *simulation) randomJob() string {
	if len(sim.ids) == 0 {
		return firstJob
	}
	return sim.ids[sim.rng.IntN(len(sim.ids))]
}

func (sim *simulation) grant(id uint64) {
	g := grantOf(id, sim.randomJob(), sim.rng.IntN(3), sim.view-uint64(sim.rng.IntN(2)))
	if sim.rng.IntN(8) > 0 {
		g.Incarnation = sim.r.incarnation
	}
	sim.grants = append(sim.grants, g)
	sim.step(g)
}

// end ends the call of a grant.
func (sim *simulation) end(id uint64, result msgs.Result) {
	s, ok := sim.inFlight[id]
	if !ok {
		return
	}
	delete(sim.inFlight, id)
	h := sim.history[s]
	h[len(h)-1] = result
	sim.step(CallEnded{Grant: id, Result: result, Output: []byte(fmt.Sprint(s))})
}

func (sim *simulation) lease() {
	if sim.rng.IntN(4) == 0 {
		sim.view++
	}
	if sim.rng.IntN(8) == 0 {
		sim.generation++
	}
	sim.step(leaseOf(sim.generation, sim.view))
}

// finish commits an outcome that the Runner has sent, or another one.
func (sim *simulation) finish() {
	all := sentOf[msgs.Finish](sim.fixture)
	if len(all) > 0 && sim.rng.IntN(4) > 0 {
		f := all[sim.rng.IntN(len(all))]
		sim.step(msgs.Finished{Job: f.Job, Answer: f.Answer})
		return
	}
	job := sim.randomJob()
	sim.step(msgs.Finished{Job: job, Answer: model.Answer{Job: job, State: model.JobFailed, Refusal: failed}})
}

func (sim *simulation) verdict() {
	v := msgs.Verdict{Job: sim.randomJob(), Kind: msgs.VerdictClaimed}
	switch sim.rng.IntN(12) {
	case 0:
		if sim.started(v.Job) {
			break // a group never sends VerdictJoined for a job that has started
		}
		v.Kind, v.Original = msgs.VerdictJoined, sim.randomJob()
	case 1:
		v.Kind, v.Answer = msgs.VerdictAnswered, &model.Answer{Job: v.Job, State: model.JobFailed, Refusal: failed}
	case 2:
		v.Kind, v.Refusal = msgs.VerdictRefused, &model.RefusalError{Code: model.CodeOutcomeUnknown}
	}
	sim.step(v)
}

func (sim *simulation) started(job string) bool {
	for s := range sim.history {
		if s.job == job {
			return true
		}
	}
	return false
}

func (sim *simulation) randomStep() {
	switch sim.rng.IntN(18) {
	case 0, 1:
		sim.submit()
	case 2, 3:
		sim.verdict()
	case 4, 5, 6:
		sim.nextID++
		sim.grant(sim.nextID)
	case 7, 8, 9:
		sim.end(sim.nextID-uint64(sim.rng.IntN(6)), msgs.Result(1+sim.rng.IntN(4)))
	case 10, 11:
		sim.lease()
	case 12:
		sim.step(time.Duration(sim.rng.IntN(600)) * time.Millisecond)
	case 13:
		sim.finish()
	case 14:
		sim.rareMessage()
	case 16:
		requests := slices.Sorted(maps.Keys(sim.openRelays))
		if len(requests) > 0 {
			sim.answerRelay(requests[sim.rng.IntN(len(requests))])
		}
	case 17:
		sim.step(loadOf([]string{"dc", "other"}[sim.rng.IntN(2)], "dispatch", sim.rng.IntN(3)))
	case 15:
		if len(sim.grants) > 0 {
			sim.step(sim.grants[sim.rng.IntN(len(sim.grants))])
		}
	}
}

// rareMessage sends a message that is rare in practice.
func (sim *simulation) rareMessage() {
	switch sim.rng.IntN(4) {
	case 3:
		sim.step(msgs.JobRefused{Job: sim.randomJob(), Refusal: &model.RefusalError{Code: model.CodeNoBackendServer, NotRun: true}})
	case 0:
		sim.step(msgs.RevokeJob{Job: sim.randomJob()})
	case 1:
		sim.step(msgs.JobRefused{Job: sim.randomJob(), Refusal: &model.RefusalError{Code: model.CodeQueueFull, NotRun: true}})
	case 2:
		sim.step(msgs.Lease{Primary: "h2", Generation: sim.generation, View: sim.view, Expelled: true})
	}
}

// finishAll ends all calls and gives every job an outcome. It checks that nothing is left and that every
// submission has one reply.
func (sim *simulation) finishAll() {
	for id := range sim.inFlight {
		sim.end(id, msgs.ResultUnknown)
	}
	for len(sim.openRelays) > 0 { // a job that is refused elsewhere may be relayed again
		for _, request := range slices.Sorted(maps.Keys(sim.openRelays)) {
			sim.answerRelay(request)
		}
	}
	sim.step(leaseOf(sim.generation, sim.view))
	for _, job := range sim.ids {
		sim.step(msgs.Verdict{Job: job, Kind: msgs.VerdictClaimed})
		sim.step(msgs.RevokeJob{Job: job})
		sim.step(msgs.Finished{Job: job, Answer: model.Answer{Job: job, State: model.JobFailed, Refusal: failed}})
	}
	if n := len(sim.r.jobs) + len(sim.r.grants) + len(sim.r.joined); n > 0 {
		sim.t.Errorf("%d jobs, grants or joins are left", n)
	}
	for n, count := range sim.replies {
		if count != 1 {
			sim.t.Errorf("submission %d got %d replies", n, count)
		}
	}
}

// TestRunnerRandom checks with random messages that no task is called again once it may have run, that
// results belong to their tasks, that NotRun is true and that every submission gets one reply.
func TestRunnerRandom(t *testing.T) {
	for seed := range uint64(2000) {
		sim := newSimulation(t, seed)
		sim.lease()
		for range 150 {
			sim.randomStep()
		}
		sim.finishAll()
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}
