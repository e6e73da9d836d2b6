package jobs

import (
	"testing"

	"dogwoodrock.example/dogwoodrock/model"
)

// TestSumCancelled adds up the answers of three data centres to the cancel of a group.
func TestSumCancelled(t *testing.T) {
	cancelled := func(n int) CancelledAt { return CancelledAt{Jobs: n} }
	noAnswer := CancelledAt{Refusal: &model.RefusalError{Code: model.CodeOutcomeUnknown}}
	noPrimary := CancelledAt{Refusal: &model.RefusalError{Code: model.CodeUnavailable, NotRun: true}}
	tests := map[string]struct {
		all     []CancelledAt
		jobs    int
		partial model.Code // of the refusal that comes with a count
		refused model.Code
		notRun  bool
	}{
		"all answered":                            {all: []CancelledAt{cancelled(1), cancelled(0), cancelled(2)}, jobs: 3},
		"one doesn't answer":                      {all: []CancelledAt{cancelled(1), noAnswer, cancelled(2)}, jobs: 3, partial: model.CodeOutcomeUnknown},
		"one has no primary":                      {all: []CancelledAt{noPrimary, cancelled(0), cancelled(2)}, jobs: 2, partial: model.CodeOutcomeUnknown},
		"none answers":                            {all: []CancelledAt{noAnswer, noAnswer, noAnswer}, refused: model.CodeOutcomeUnknown},
		"none has a primary":                      {all: []CancelledAt{noPrimary, noPrimary, noPrimary}, refused: model.CodeUnavailable, notRun: true},
		"two have no primary, one doesn't answer": {all: []CancelledAt{noPrimary, noPrimary, noAnswer}, refused: model.CodeOutcomeUnknown},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			done, refusal := sumCancelled(tt.all)
			if refusal == nil {
				refusal = &model.RefusalError{}
			}
			if done.Refusal == nil {
				done.Refusal = &model.RefusalError{}
			}
			if done.Jobs != tt.jobs || done.Refusal.Code != tt.partial {
				t.Errorf("%d jobs and %+v", done.Jobs, done.Refusal)
			}
			if refusal.Code != tt.refused || refusal.NotRun != tt.notRun {
				t.Errorf("refused %+v", refusal)
			}
		})
	}
}
