package hosted

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodrock.example/dogwoodrock/kernel"
	"dogwoodrock.example/dogwoodrock/kernel/memnet"
	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/placer"
)

// TestStopOfPlacer checks that the stop of a placer's host ends soon after the core has committed the
// next placement, and within the grace if the core doesn't answer.
func TestStopOfPlacer(t *testing.T) {
	const grace = 6 * time.Second
	tests := map[string]struct {
		delay time.Duration // delay of the next placement, 0 for none
		want  time.Duration // maximum duration of the stop
	}{
		"the core places at once": {delay: 100 * time.Millisecond, want: 300 * time.Millisecond},
		"the core places late":    {delay: 3 * time.Second, want: 3200 * time.Millisecond},
		"the core doesn't answer": {want: grace},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h, err := New(Settings{Address: "127.0.0.1", DataCentre: "dc", PeerPort: 1, Grace: grace}, WithEnv(memnet.New().Env("127.0.0.1", 1)))
				if err != nil {
					t.Fatal(err)
				}
				if err := h.Kernel.Start(t.Context()); err != nil {
					t.Fatal(err)
				}
				notify := func(p model.Placement) {
					p.DataCentre = "dc"
					h.post(msgs.ServiceEntry, msgs.HostRenewed{Host: "127.0.0.9", Placements: []model.Placement{p}})
				}
				notify(model.Placement{Host: h.self.Name, Incarnation: h.self.Incarnation, Epoch: 4})
				synctest.Wait()
				if got := epoch(t, h); got != 4 {
					t.Fatalf("the host places under epoch %d, want 4", got)
				}
				if tt.delay > 0 {
					time.AfterFunc(tt.delay, func() { notify(model.Placement{Host: "127.0.0.2", Incarnation: 1, Epoch: 5, Former: 4}) })
				}
				ctx, cancel := context.WithTimeout(t.Context(), grace)
				defer cancel()
				h.Leave()
				start := time.Now()
				h.Kernel.Stop(ctx)
				if took := time.Since(start); took > tt.want {
					t.Errorf("the stop took %v, want at most %v", took, tt.want)
				}
			})
		})
	}
}

// epoch returns the epoch under which a host places, 0 if it isn't a placer.
func epoch(t *testing.T, h *Host) uint64 {
	t.Helper()
	ref, err := h.Kernel.Find(msgs.ServicePlacer)
	if err != nil {
		t.Fatal(err)
	}
	v, err := kernel.Ask(t.Context(), ref, func(reply func(placer.View)) any { return placer.Inspect{Reply: reply} })
	if err != nil {
		t.Fatal(err)
	}
	return v.Epoch
}
