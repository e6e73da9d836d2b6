package jobs

import (
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
)

// stage tells how far a job has come on this host.
type stage int

const (
	stageClaiming   stage = iota + 1 // the primary hasn't decided on the claim
	stageJoined                      // an earlier submission of the key is in flight
	stageRunning                     // the claim holds; tasks wait for grants or run
	stageCommitting                  // the outcome waits for its commit
)

// taskState tells how far a task of a job has come.
type taskState int

const (
	taskWaiting taskState = iota
	taskCalled
	taskDone
)

// job is a submission that is in flight on this host.
type job struct {
	id         string
	sub        model.Submission
	digest     [16]byte
	keyed      bool // has a claim
	stage      stage
	acceptedAt time.Time
	deadline   time.Time // zero for none
	askedAt    time.Time // when the primary was last asked
	original   string    // the job of the earlier submission, when joined

	states       []taskState
	results      [][]byte
	remaining    int           // tasks that aren't done
	calls        int           // calls outstanding
	started      bool          // at least one call was sent, so a task may have run
	longestRun   time.Duration // run time of the slowest task so far
	acknowledged bool          // its submitter was told that it is in flight
	releaseKey   bool          // the outcome is a refusal after which the key may be claimed again
	remote       remoteRun     // where the tasks run, when not in this data centre
	origin       origin        // of a job without a key that another host has relayed

	answer  *model.Answer // the outcome, when finishing
	replies []Reply       // want the outcome
	acks    []Reply       // want to know whether the job was accepted
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

// waiting returns the shapes of the tasks that hold no grant.
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

// acknowledge tells those who don't wait that the job is in flight.
func (j *job) acknowledge(id string) {
	for _, r := range j.acks {
		j.acknowledged = true
		r(&model.Answer{Job: id, State: model.JobRunning}, nil)
	}
	j.acks = nil
}

// reply answers everyone who waits for the job.
func (j *job) reply(answer *model.Answer, refusal *model.RefusalError) {
	for _, r := range append(j.acks, j.replies...) {
		r(answer, refusal)
	}
	j.acks = nil
	j.replies = nil
}
