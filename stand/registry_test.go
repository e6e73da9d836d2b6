package stand

import "testing"

// step is one operation on a registry and its expected answer.
type step struct {
	call    Call
	end     string
	revoke  string
	verdict Verdict
	reason  string
	status  Status
}

func TestTaskRegistry(t *testing.T) {
	call := func(task string, fence uint64) Call {
		return Call{Task: task, Service: "dispatch", Fence: fence, Body: "label=" + task}
	}
	tests := map[string]struct {
		steps []step
		want  Counts
	}{
		"a lower fence is refused": {
			steps: []step{
				{call: call("a", 7), verdict: VerdictStart},
				{call: call("b", 6), verdict: VerdictRefuse, reason: "stale fence"},
				{call: call("b", 7), verdict: VerdictStart},
			},
			want: Counts{Calls: 3, Total: 2, Refused: 1, Stale: 1},
		},
		"a refused call raises the fence too": {
			steps: []step{
				{call: Call{Task: "a", Service: "other", Fence: 9}, verdict: VerdictRefuse, reason: "unknown service"},
				{call: call("b", 8), verdict: VerdictRefuse, reason: "stale fence"},
			},
			want: Counts{Calls: 2, Refused: 2, Stale: 1},
		},
		"all slots are taken until a task ends": {
			steps: []step{
				{call: call("a", 1), verdict: VerdictStart},
				{call: call("b", 1), verdict: VerdictStart},
				{call: call("c", 1), verdict: VerdictRefuse, reason: "no free slot"},
				{end: "a"},
				{call: call("c", 1), verdict: VerdictStart},
			},
			want: Counts{Calls: 4, Total: 3, Refused: 1, OverSlots: 1},
		},
		"a revoked task never starts": {
			steps: []step{
				{revoke: "a", status: StatusNotStarted},
				{call: call("a", 1), verdict: VerdictRefuse, reason: "revoked"},
				{revoke: "a", status: StatusNotStarted},
			},
			want: Counts{Calls: 1, Refused: 1, Revoked: 2},
		},
		"a revocation returns the status of the task": {
			steps: []step{
				{call: call("a", 1), verdict: VerdictStart},
				{revoke: "a", status: StatusStarted},
				{end: "a"},
				{revoke: "a", status: StatusDone},
			},
			want: Counts{Calls: 1, Total: 1, Revoked: 2},
		},
		"a task never starts twice": {
			steps: []step{
				{call: call("a", 1), verdict: VerdictStart},
				{call: call("a", 2), verdict: VerdictJoin},
				{end: "a"},
				{call: call("a", 1), verdict: VerdictRepeat},
			},
			want: Counts{Calls: 3, Total: 1, Duplicated: 2},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			reg := NewTaskRegistry([]string{"dispatch"}, 2)
			for i, s := range tt.steps {
				s.check(t, reg, i)
			}
			if got := reg.Counts; got.Calls != tt.want.Calls || got.Total != tt.want.Total ||
				got.Refused != tt.want.Refused || got.OverSlots != tt.want.OverSlots ||
				got.Stale != tt.want.Stale || got.Duplicated != tt.want.Duplicated ||
				got.Revoked != tt.want.Revoked {
				t.Errorf("counts: got %+v, want %+v", got, tt.want)
			}
			if repeated := reg.Counts.Repeated(); len(repeated) > 0 {
				t.Errorf("started more than once: %v", repeated)
			}
		})
	}
}

func (s step) check(t *testing.T, reg *TaskRegistry, i int) {
	t.Helper()
	switch {
	case s.end != "":
		reg.Complete(s.end, Result{Task: s.end, Status: StatusDone})
	case s.revoke != "":
		if got := reg.Revoke(s.revoke); got != s.status {
			t.Errorf("step %d: got status %s, want %s", i, got, s.status)
		}
	default:
		verdict, r := reg.Admit(s.call)
		if verdict != s.verdict || r.Reason != s.reason {
			t.Errorf("step %d: got %d %q, want %d %q", i, verdict, r.Reason, s.verdict, s.reason)
		}
	}
}
