package placer

import (
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
)

// takeJobFrom submits a job of a process of host h1.
func (f *fixture) takeJobFrom(job string, incarnation, number uint64) {
	f.submitJob(msgs.JobHand{
		Job: job, Host: "h1", Incarnation: incarnation, Epoch: f.placement.Epoch, Tasks: 1, Again: true, Hand: number,
		Objective: time.Minute, Expires: time.Minute,
	}, f.now)
}

// receivePulseFrom handles a pulse of a process of host h1, with a stamp unless that is zero.
func (f *fixture) receivePulseFrom(incarnation uint64, stamp time.Duration) {
	m := msgs.Pulse{Host: "h1", DataCentre: "dc", Incarnation: incarnation}
	if stamp > 0 {
		m.Placing, m.Stamp = f.placement.Epoch, stamp
	}
	f.handlePulse(m, f.now)
}

// TestLateMessageOfPreviousProcess guards against forgetting the previous process of an
// entry host during a silence or a change of epoch: a late message of it would then drop
// the jobs of the current process.
func TestLateMessageOfPreviousProcess(t *testing.T) {
	silence := func(d time.Duration) func(f *fixture) {
		return func(f *fixture) {
			for end := f.now.Add(d); f.now.Before(end); {
				f.now = f.now.Add(standbyTick)
				f.tick(f.now)
			}
		}
	}
	between := map[string]func(f *fixture){
		"at once":                  func(*fixture) {},
		"after a silence":          silence(hostTimeout + standbyTick),
		"after a minute's silence": silence(time.Minute),
		"in the next epoch": func(f *fixture) {
			f.setPlacement(model.Placement{DataCentre: "dc", Host: "p1", Incarnation: 1, Epoch: testEpoch + 1, Former: testEpoch}, f.now)
		},
		"after another host placed": func(f *fixture) {
			f.setPlacement(model.Placement{DataCentre: "dc", Host: "p2", Incarnation: 1, Epoch: testEpoch + 1, Former: testEpoch}, f.now)
			silence(time.Minute)(f)
			f.setPlacement(model.Placement{DataCentre: "dc", Host: "p1", Incarnation: 1, Epoch: testEpoch + 2, Former: testEpoch + 1}, f.now)
		},
	}
	late := map[string]func(f *fixture){
		"a handover": func(f *fixture) { f.takeJobFrom("late", 7, 9) },
		"a pulse":    func(f *fixture) { f.receivePulseFrom(7, 0) },
		"a withdrawal": func(f *fixture) {
			f.withdrawJob(msgs.JobWithdraw{Job: "j", Host: "h1", Incarnation: 7, Hand: 9}, f.now)
		},
	}
	for when, wait := range between {
		for what, arrive := range late {
			t.Run(what+" "+when, func(t *testing.T) {
				f := newFixture()
				f.receivePulseFrom(7, 0)
				wait(f)
				f.takeJobFrom("j", 2, 1)
				arrive(f)
				f.receivePulseFrom(2, 0)
				f.takeJobFrom("k", 2, 2)
				if n := f.placer.Jobs(); n != 2 {
					t.Fatalf("%d jobs open, want both of the current process", n)
				}
			})
		}
	}
}

// TestLateFirstMessageOfPreviousProcess guards against ignoring the current process of an
// entry host after the first message of its previous process arrived late, so that the
// placer took that one for the current process.
func TestLateFirstMessageOfPreviousProcess(t *testing.T) {
	tests := map[string]func(f *fixture){
		"the current one pulses":                    func(*fixture) {},
		"it pulses after a silence":                 func(f *fixture) { f.now = f.now.Add(hostTimeout + tickInterval); f.tick(f.now) },
		"the previous one pulses with an old stamp": func(f *fixture) { f.receivePulseFrom(7, processAge) },
	}
	for name, act := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.receivePulseFrom(2, 0)
			f.now = f.now.Add(time.Millisecond)
			f.takeJobFrom("late", 7, 9)
			f.now = f.now.Add(time.Millisecond)
			act(f)
			for range 2 { // with the stamp that it received last
				f.receivePulseFrom(2, f.replies[len(f.replies)-1].Stamp)
				f.now = f.now.Add(time.Millisecond)
			}
			f.takeJobFrom("j", 2, 1)
			f.takeJobFrom("k", 2, 2)
			f.receivePulseFrom(7, processAge)
			f.takeJobFrom("late", 7, 9)
			if n := f.placer.Jobs(); n != 2 {
				t.Fatalf("%d jobs open, want both of the current process", n)
			}
		})
	}
}

// TestRestartedHostsAreEvicted guards against the jobs and processes of restarted hosts
// using more and more memory.
func TestRestartedHostsAreEvicted(t *testing.T) {
	f := newFixture()
	for i := range uint64(100) {
		f.takeJobFrom("j", i+1, 1)
		f.now = f.now.Add(time.Second)
		f.tick(f.now)
		if n := f.placer.Jobs(); n > 1 {
			t.Fatalf("%d jobs open after restart %d, want one at most", n, i)
		}
	}
	f.now = f.now.Add(processRetention + time.Second)
	f.tick(f.now)
	if n := len(f.processes); n != 0 {
		t.Fatalf("the processes of %d hosts are kept, want none", n)
	}
}
