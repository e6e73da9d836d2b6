package codec

import (
	"fmt"
	"iter"
	"reflect"
	"testing"

	"dogwoodrock.example/dogwoodrock/claim"
	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/quota"
)

// registryWith returns a Registry with some claims, every second one ended.
func registryWith(claims int) *claim.Registry {
	registry := claim.New("changwon")
	registry.Apply(claim.Command{Kind: claim.KindBegin, Generation: 3, Epoch: 4, FirstInstallation: true})
	registry.Apply(claim.Command{Kind: claim.KindJoin, Host: "h1", Incarnation: 5})
	for i := range claims {
		job := fmt.Sprint("j", i)
		registry.Apply(claim.Command{
			Kind: claim.KindClaim, Customer: "halny", Key: fmt.Sprint("k", i), Job: job, Host: "h1", Incarnation: 5, Tasks: 1,
		})
		if i%2 == 0 {
			registry.Apply(claim.Command{
				Kind: claim.KindFinish, Job: job, Host: "h1", Incarnation: 5,
				Answer: model.Answer{State: model.JobComplete, Results: [][]byte{[]byte("r")}},
			})
		}
	}
	return registry
}

// TestSnapshotInParts encodes a copy of a Registry in parts while the Registry applies another
// command. The decoded snapshot must be the state at the time of the copy.
func TestSnapshotInParts(t *testing.T) {
	tests := map[string]struct{ claims, size int }{
		"no claims":        {claims: 0, size: 2},
		"one part":         {claims: 5, size: 9},
		"even parts":       {claims: 6, size: 3},
		"a shorter part":   {claims: 7, size: 3},
		"a part per claim": {claims: 4, size: 1},
	}
	ledger := quota.NewLedger("changwon")
	ledger.Apply(quota.Command{Kind: quota.KindBegin, DataCentres: []string{"changwon", "jinju"}, FirstInstallation: true})
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			registry := registryWith(tt.claims)
			want := msgs.GroupSnapshot{Claims: registry.Snapshot(), Quotas: ledger.Snapshot()}
			c := registry.Copy()
			applied := make(chan claim.Result)
			go func() { applied <- registry.Apply(claim.Command{Kind: claim.KindExpel, Host: "h1", Incarnation: 5}) }()
			data, err := Snapshot(parts(c, want.Quotas, tt.size))
			<-applied
			if err != nil {
				t.Fatal(err)
			}
			got, err := FromSnapshot(data)
			if err != nil {
				t.Fatal(err)
			}
			if got, want := claim.Restore(got.Claims).Snapshot(), want.Claims; !reflect.DeepEqual(got, want) {
				t.Errorf("claims: got %+v\nwant %+v", got, want)
			}
			if got, want := quota.Restore(got.Quotas).Snapshot(), want.Quotas; !reflect.DeepEqual(got, want) {
				t.Errorf("quotas: got %+v\nwant %+v", got, want)
			}
		})
	}
}

func parts(c *claim.Copy, quotas quota.Snapshot, size int) iter.Seq[msgs.GroupSnapshot] {
	return func(yield func(msgs.GroupSnapshot) bool) {
		if !yield(msgs.GroupSnapshot{Quotas: quotas}) {
			return
		}
		for part := range c.Parts(size) {
			if !yield(msgs.GroupSnapshot{Claims: part}) {
				return
			}
		}
	}
}

// BenchmarkSnapshot measures the copy, which a group's task makes for a snapshot,
// and the encoding, which runs in another task.
func BenchmarkSnapshot(b *testing.B) {
	const claims = 100_000
	registry := registryWith(claims)
	b.Run("copy", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			registry.Copy()
		}
	})
	b.Run("encode", func(b *testing.B) {
		bytes := 0
		b.ReportAllocs()
		for b.Loop() {
			data, err := Snapshot(parts(registry.Copy(), quota.Snapshot{}, 1000))
			if err != nil {
				b.Fatal(err)
			}
			bytes = len(data)
		}
		b.ReportMetric(float64(bytes)/claims, "B/claim")
	})
}
