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

// TestStopOfPlacer stops a host that places. The core tells it meanwhile who
// places next.
func TestStopOfPlacer(t *testing.T) {
	const grace = 6 * time.Second
	tests := map[string]struct {
		tell time.Duration // after which the core tells of the next placement, 0 for never
		want time.Duration // at most, that the stop takes
	}{
		"the core places at once": {tell: 100 * time.Millisecond, want: 300 * time.Millisecond},
		"the core places late":    {tell: 3 * time.Second, want: 3200 * time.Millisecond},
		"the core is dark":        {want: grace},
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
				tell := func(p model.Placement) {
					p.DataCentre = "dc"
					h.post(msgs.ServiceEntry, msgs.HostRenewed{Host: "127.0.0.9", Placements: []model.Placement{p}})
				}
				tell(model.Placement{Host: h.self.Name, Incarnation: h.self.Incarnation, Epoch: 4})
				synctest.Wait()
				if got := epoch(t, h); got != 4 {
					t.Fatalf("the host places under epoch %d, want 4", got)
				}
				if tt.tell > 0 {
					time.AfterFunc(tt.tell, func() { tell(model.Placement{Host: "127.0.0.2", Incarnation: 1, Epoch: 5, Former: 4}) })
				}
				ctx, cancel := context.WithTimeout(t.Context(), grace)
				defer cancel()
				h.Leave()
				began := time.Now()
				h.Kernel.Stop(ctx)
				if took := time.Since(began); took > tt.want {
					t.Errorf("the stop took %v, want %v", took, tt.want)
				}
			})
		})
	}
}

// epoch returns the epoch under which a host places.
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
