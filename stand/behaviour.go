package stand

import "time"

// Behaviour is how a stand-in treats its tasks. A nil field means the usual
// treatment.
type Behaviour struct {
	Refuse  func(c Call) bool                               // refuses the call before anything starts
	RunTime func(c Call, usual time.Duration) time.Duration // replaces the run time
	Answer  func(r Result) Result                           // replaces the result
	Silent  func() bool                                     // reports whether answers are withheld
	Crash   func(starts int) bool                           // reports whether to die in the middle of this start
}

// Misbehaviour changes one aspect of a behaviour.
type Misbehaviour func(*Behaviour)

// FailAll starts every task and fails it at once.
func FailAll() Misbehaviour {
	return func(b *Behaviour) {
		b.RunTime = func(Call, time.Duration) time.Duration { return 0 }
		b.Answer = func(r Result) Result {
			r.Status, r.Result, r.Reason = StatusFailed, "", "this backend server fails everything"
			return r
		}
	}
}

// RefuseAll starts no task.
func RefuseAll() Misbehaviour {
	return func(b *Behaviour) {
		b.Refuse = func(Call) bool { return true }
	}
}

// Late answers only after the deadline has passed.
func Late() Misbehaviour {
	const margin = 200 * time.Millisecond
	return func(b *Behaviour) {
		b.RunTime = func(c Call, usual time.Duration) time.Duration {
			return max(c.Deadline, usual) + margin
		}
	}
}

// Crossed answers each call with the whole answer to the call before.
func Mismatched() Misbehaviour {
	return func(b *Behaviour) {
		previous := Result{Task: "another-task", Digest: 1, Status: StatusDone}
		b.Answer = func(r Result) Result {
			answer := previous
			previous = r
			return answer
		}
	}
}

// Silent takes task calls and revocations and never answers.
func Silent() Misbehaviour {
	return func(b *Behaviour) {
		b.Silent = func() bool { return true }
	}
}

// DieAfter dies in the middle of the n-th task.
func CrashAfter(n int) Misbehaviour {
	return func(b *Behaviour) {
		b.Crash = func(starts int) bool { return starts >= n }
	}
}
