package jobs

import (
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/msgs"
)

func TestChooseDataCentre(t *testing.T) {
	const tasks = 4
	wait := func(wait time.Duration) msgs.ServiceLoad { return msgs.ServiceLoad{Wait: wait} }
	idle := func(n int) msgs.ServiceLoad { return msgs.ServiceLoad{Idle: n} }
	tests := map[string]struct {
		local, b, c msgs.ServiceLoad
		random      uint64
		key         string
		want        string
	}{
		"idle slots here":                           {idle(tasks), idle(16), idle(16), 0, "", ""},
		"idle slots elsewhere":                      {wait(time.Second), idle(0), idle(16), 0, "", "c"},
		"idle slots preferred to a short wait":      {wait(time.Second), wait(1), idle(1), 0, "", "c"},
		"a shorter wait elsewhere":                  {wait(time.Second), wait(900 * time.Millisecond), wait(600 * time.Millisecond), 0, "", "c"},
		"largest random number that goes elsewhere": {wait(time.Second), wait(time.Hour), wait(600 * time.Millisecond), 4e8 - 1, "", "c"},
		"smallest random number that stays":         {wait(time.Second), wait(time.Hour), wait(600 * time.Millisecond), 4e8, "", ""},
		"wait not shorter enough":                   {wait(time.Second), wait(time.Second), wait(901 * time.Millisecond), 0, "", ""},
		"longer waits elsewhere":                    {wait(time.Second), wait(2 * time.Second), wait(3 * time.Second), 0, "", ""},
		"a shorter wait, with a key":                {wait(time.Second), wait(time.Second), wait(600 * time.Millisecond), 0, "k", ""},
		"idle slots, with a key":                    {wait(time.Second), wait(time.Second), idle(1), 0, "k", "c"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.r.DataCentres = []string{"b", "c", "dc"}
			f.r.Random = func() uint64 { return tt.random }
			f.step(leaseOf(1, 1))
			for dc, load := range map[string]msgs.ServiceLoad{"dc": tt.local, "b": tt.b, "c": tt.c} {
				load.Service = "dispatch"
				f.step(msgs.Load{DataCentre: dc, Services: []msgs.ServiceLoad{load}})
			}
			if got := f.r.chooseDataCentre(submission(tt.key, tasks)); got != tt.want {
				t.Errorf("chose %q, want %q", got, tt.want)
			}
		})
	}
}
