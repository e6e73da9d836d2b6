package jobs

import (
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/msgs"
)

// TestStatus requests the status of the only data centre. If its primary doesn't answer, the host's
// own group member does.
func TestStatus(t *testing.T) {
	primary := msgs.StatusDone{Known: true, Host: "h2", Primary: "h2"}
	ownMember := msgs.StatusDone{Known: true, Host: "h1"}
	tests := map[string]struct {
		before  []any
		answers []any // answer the last request, or advance the clock
		want    string
	}{
		"the primary answers":        {before: []any{lease1}, answers: []any{primary}, want: "h2"},
		"the primary doesn't answer": {before: []any{lease1}, answers: []any{600 * time.Millisecond, ownMember}, want: "h1"},
		"the primary is unreachable": {
			before: []any{lease1}, answers: []any{PeerState{Host: "h2"}, ownMember}, want: "h1",
		},
		"no primary":   {answers: []any{ownMember}, want: "h1"},
		"none answers": {answers: []any{600 * time.Millisecond}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			for _, step := range tt.before {
				f.step(step)
			}
			var got [][]msgs.StatusDone
			f.step(Status{Reply: func(all []msgs.StatusDone) { got = append(got, all) }})
			for _, answer := range tt.answers {
				if done, ok := answer.(msgs.StatusDone); ok {
					asks := sentOf[msgs.StatusAsk](f)
					done.Request = asks[len(asks)-1].Request
					answer = done
				}
				f.step(answer)
			}
			if len(got) != 1 || len(got[0]) != 1 || got[0][0].Host != tt.want || got[0][0].Known != (tt.want != "") {
				t.Errorf("got %+v, want one answer from %q", got, tt.want)
			}
		})
	}
}
