package bench

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/stand"
)

func job(customer string, ideal, deadline time.Duration) Event {
	return Event{Kind: KindJob, Customer: customer, Deadline: deadline, Tasks: []time.Duration{ideal / 2, ideal}}
}

func TestMeasure(t *testing.T) {
	const ms = time.Millisecond
	resubmitted := job("a", 100*ms, 300*ms)
	resubmitted.Kind = KindResubmit
	tests := map[string]struct {
		outcomes []Outcome
		counts   stand.Counts
		want     Report
	}{
		"nothing": {},
		"complete, late, refused and cancelled": {
			outcomes: []Outcome{
				{Event: job("a", 100*ms, 300*ms), ResponseTime: 200 * ms, Complete: true},
				{Event: job("a", 100*ms, 300*ms), ResponseTime: 400 * ms, Complete: true, WrongResults: true},
				{Event: job("b", 100*ms, 300*ms), ResponseTime: 1 * ms, Code: "QueueFull"},
				{Event: job("b", 100*ms, 300*ms), ResponseTime: 1 * ms, Code: "Cancelled"},
				{Event: resubmitted, ResponseTime: 900 * ms, Complete: true},
			},
			counts: stand.Counts{
				Refused: 3, Duplicated: 1, Late: 2,
				Starts: map[string]int{"x": 1, "y": 3},
			},
			want: Report{
				Jobs: 4, Complete: 2, WrongAnswers: 1, Tasks: 8, RatioP50: 2, RatioP99: 4.001, OnTime: 1.0 / 3,
				Customers: []CustomerReport{
					{Name: "a", Jobs: 2, Complete: 2, OnTime: 0.5},
					{Name: "b", Jobs: 2},
				},
				Refusals: []CodeCount{{"Cancelled", 1}, {"QueueFull", 1}},
				Wasted:   Wasted{Refused: 3, Retried: 2, Duplicated: 1, Late: 2, PerTask: 1},
			},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := Measure(tt.outcomes, tt.counts); !reflect.DeepEqual(got, tt.want) {
				t.Errorf("got  %+v\nwant %+v", got, tt.want)
			}
		})
	}
}

func TestTable(t *testing.T) {
	r := Report{
		Jobs: 10, Complete: 9, Tasks: 40, RatioP50: 1.25, RatioP99: 3, OnTime: 0.9,
		Customers: []CustomerReport{{Name: "chime", Jobs: 10, Complete: 9, OnTime: 0.9}},
		Refusals:  []CodeCount{{"QueueFull", 1}},
		Wasted:    Wasted{Refused: 2, PerTask: 0.05},
	}
	var out strings.Builder
	if err := r.Table(&out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"10, 9 complete", "p50 1.25, p99 3.00", "90.0% of 10 jobs", "QueueFull", "0.050"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %q in\n%s", want, out.String())
		}
	}
}
