package stand

import "time"

// Behaviour defines how a stand-in server treats its tasks. A nil field means the normal
// behaviour.
type Behaviour struct {
	Refuse  func(c Call) bool                               // reports whether to refuse the call before the task starts
	RunTime func(c Call, usual time.Duration) time.Duration // returns the run time to use instead of the usual one
	Answer  func(r Result) Result                           // returns the result to send instead of r
	Silent  func() bool                                     // reports whether to withhold all answers
	Crash   func(starts int) bool                           // reports whether to crash halfway through the task just started
}

// Misbehaviour changes one aspect of a behaviour.
type Misbehaviour func(*Behaviour)

// FailAll starts every task and fails it immediately.
func FailAll() Misbehaviour {
	return func(b *Behaviour) {
		b.RunTime = func(Call, time.Duration) time.Duration { return 0 }
		b.Answer = func(r Result) Result {
			r.Status, r.Result, r.Reason = StatusFailed, "", "this backend server fails everything"
			return r
		}
	}
}

// RefuseAll refuses every task call.
func RefuseAll() Misbehaviour {
	return func(b *Behaviour) {
		b.Refuse = func(Call) bool { return true }
	}
}

// Late answers 200 ms after the deadline, or 200 ms after the usual run time if that is longer.
func Late() Misbehaviour {
	const margin = 200 * time.Millisecond
	return func(b *Behaviour) {
		b.RunTime = func(c Call, usual time.Duration) time.Duration {
			return max(c.Deadline, usual) + margin
		}
	}
}

// Mismatched answers each call with the complete result of the previous call.
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

// Silent accepts task calls and revocations and never answers them.
func Silent() Misbehaviour {
	return func(b *Behaviour) {
		b.Silent = func() bool { return true }
	}
}

// CrashAfter crashes halfway through the n-th task.
func CrashAfter(n int) Misbehaviour {
	return func(b *Behaviour) {
		b.Crash = func(starts int) bool { return starts >= n }
	}
}
