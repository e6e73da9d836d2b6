package jobs

import (
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
)

// stage is the progress of a job on this host.
type stage int

const (
	stageClaiming   stage = iota + 1 // waits for the primary's verdict on the claim
	stageJoined                      // waits for the outcome of an earlier submission of the key
	stageRunning                     // claimed; tasks wait for grants or run
	stageCommitting                  // waits for the commit of the outcome
)

// taskState is the progress of a task.
type taskState int

const (
	taskWaiting taskState = iota // holds no grant
	taskCalled
	taskDone
)

// job is a submission in flight on this host.
type job struct {
	id         string
	sub        model.Submission
	digest     [16]byte
	keyed      bool // needs a claim
	stage      stage
	acceptedAt time.Time
	deadline   time.Time // zero for none
	askedAt    time.Time // when the primary was last asked
	original   string    // job of the earlier submission, in stageJoined

	states       []taskState
	results      [][]byte
	remaining    int           // tasks not done
	calls        int           // outstanding calls
	started      bool          // a call was made, so a task may have run
	longestRun   time.Duration // run time of the slowest task so far
	acknowledged bool          // the submitter received JobRunning
	releaseKey   bool          // the outcome is a refusal that releases the key for another claim
	remote       remoteRun     // set when the tasks run in another data centre
	origin       origin        // of a job without a key that another host relayed

	answer  *model.Answer // the outcome, in stageCommitting
	replies []Reply       // callers that wait for the outcome
	acks    []Reply       // callers that wait for acceptance only
}

func newJob(id string, sub model.Submission, now time.Time) *job {
	j := &job{
		id:         id,
		sub:        sub,
		digest:     Digest(sub),
		keyed:      sub.Key != "",
		stage:      stageClaiming,
		acceptedAt: now,
		states:     make([]taskState, len(sub.Tasks)),
		results:    make([][]byte, len(sub.Tasks)),
		remaining:  len(sub.Tasks),
	}
	if sub.Deadline > 0 {
		j.deadline = now.Add(sub.Deadline)
	}
	return j
}

// waitingShapes returns the shapes of the tasks that hold no grant.
func (j *job) waitingShapes() []msgs.Shape {
	var shapes []msgs.Shape
	for i, state := range j.states {
		if state == taskWaiting {
			shapes = append(shapes, shapeOf(i, j.sub.Tasks[i]))
		}
	}
	return shapes
}

func shapeOf(i int, t model.Task) msgs.Shape {
	return msgs.Shape{
		Index:        i,
		Service:      t.Service,
		Expected:     t.Expected,
		MemoryBytes:  t.MemoryBytes,
		Accelerators: t.Accelerators,
	}
}

// acknowledge replies to the callers with NoWait that the job is in flight.
func (j *job) acknowledge(id string) {
	for _, r := range j.acks {
		j.acknowledged = true
		r(&model.Answer{Job: id, State: model.JobRunning}, nil)
	}
	j.acks = nil
}

// reply sends the outcome or the refusal to all waiting callers.
func (j *job) reply(answer *model.Answer, refusal *model.RefusalError) {
	for _, r := range append(j.acks, j.replies...) {
		r(answer, refusal)
	}
	j.acks = nil
	j.replies = nil
}
