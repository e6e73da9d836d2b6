package core

import (
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
)

// TestAnswersWhenTheLeadIsLost cuts the leader off while it decides.
func TestAnswersWhenTheLeadIsLost(t *testing.T) {
	tests := map[string]func(reply func(Answer)) any{
		"a change": func(reply func(Answer)) any {
			version++
			return Put{Routes: model.RoutesText{Version: version}, Reply: reply}
		},
		"a read": func(reply func(Answer)) any { return Read{Reply: reply} },
	}
	for name, build := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1)
			if !w.settled(10 * time.Second) {
				t.Fatal("the core doesn't begin")
			}
			h := w.leader()
			for _, other := range names {
				w.cuts[[2]string{h.name, other}], w.cuts[[2]string{other, h.name}] = true, true
			}
			var answers []Answer
			h.node.Handle(build(func(a Answer) { answers = append(answers, a) }))
			w.run(2 * election)
			if len(answers) != 1 || answers[0].Done || !answers[0].Lost || answers[0].Leader != "" {
				t.Fatalf("answers %+v, want one that the lead is lost", answers)
			}
		})
	}
}
