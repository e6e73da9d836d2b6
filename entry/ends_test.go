package entry

import (
	"slices"
	"testing"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
)

// endHandover reports the end of a handover to p1.
func (f *fixture) endHandover(hand uint64, state model.JobEnd) {
	f.Handle(msgs.JobEnded{Job: "j", Host: "p1", Epoch: placedA.Epoch, Hand: hand, Incarnation: f.Incarnation, State: state})
}

// TestEndOfEarlierHandover guards against the late end of an earlier handover of a job
// ending its latest one.
func TestEndOfEarlierHandover(t *testing.T) {
	// The caller disconnected and resent the job to this host.
	resent := func(f *fixture) {
		f.submitJob("j", "/v/j")
		f.Handle(Abandon{Job: "j", Waiter: 1})
		f.submitJob("j", "/v/j")
	}
	// All data centres refused the job, and the own one got it again without its objective.
	lastAttempt := func(f *fixture) {
		f.submitJob("j", "/v/j")
		f.endHandover(1, model.JobEndRefused)
		f.Handle(msgs.JobEnded{Job: "j", Host: "q1", Epoch: placedB.Epoch, Hand: 2, Incarnation: f.Incarnation, State: model.JobEndRefused})
	}
	tests := map[string]struct {
		before func(f *fixture)
		end    func(f *fixture)
		to     []string // placers that get the job after it
		want   []Kind   // answers
	}{
		"refused before its caller resent it":        {before: resent, end: func(f *fixture) { f.endHandover(1, model.JobEndRefused) }},
		"unknown before its caller resent it":        {before: resent, end: func(f *fixture) { f.endHandover(1, model.JobEndUnknown) }},
		"failed before its caller resent it":         {before: resent, end: func(f *fixture) { f.endHandover(1, model.JobEndFailed) }},
		"complete before its caller resent it":       {before: resent, end: func(f *fixture) { f.endHandover(1, model.JobEndComplete) }, want: []Kind{KindComplete}},
		"refused after its caller resent it":         {before: resent, end: func(f *fixture) { f.endHandover(2, model.JobEndRefused) }, to: []string{"q1"}},
		"the own placer's first refusal is repeated": {before: lastAttempt, end: func(f *fixture) { f.endHandover(1, model.JobEndRefused) }},
		"the own placer refuses it once more":        {before: lastAttempt, end: func(f *fixture) { f.endHandover(3, model.JobEndRefused) }, want: []Kind{KindRefused}},
		"refused to the previous process": {before: lastAttempt, end: func(f *fixture) {
			f.Handle(msgs.JobEnded{Job: "j", Host: "p1", Epoch: placedA.Epoch, Hand: 3, Incarnation: f.Incarnation - 1, State: model.JobEndRefused})
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.receiveRenewed(2, "v", placedA, placedB)
			tt.before(f)
			f.sent = nil
			tt.end(f)
			var to []string
			for _, h := range f.handovers() {
				to = append(to, h.Host)
			}
			if !slices.Equal(to, tt.to) {
				t.Errorf("handed to %v, want %v", to, tt.to)
			}
			var got []Kind
			for _, o := range f.answers {
				got = append(got, o.Kind)
			}
			if !slices.Equal(got, tt.want) {
				t.Errorf("answers %v, want %v", got, tt.want)
			}
		})
	}
}
