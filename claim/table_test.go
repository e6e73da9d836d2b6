package claim

import (
	"math/rand/v2"
	"strconv"
	"testing"
)

// TestTable compares random insertions and removals with a map. A small number of distinct hashes
// makes long probe sequences, some of which wrap around the end of a shard.
func TestTable(t *testing.T) {
	tests := map[string]struct{ hashes, keys uint64 }{
		"distinct hashes":           {hashes: 1 << 40, keys: 3000},
		"all hashes equal":          {hashes: 1, keys: 40},
		"all in the first shard":    {hashes: 7, keys: 300},
		"all at the end of a shard": {hashes: 0, keys: 60},
		"nearly empty shards":       {hashes: tableShards, keys: 30},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			hashOf := func(key string) uint64 {
				n, _ := strconv.ParseUint(key, 10, 64)
				if tt.hashes == 0 {
					return ^uint64(0)
				}
				return n * 2654435761 % tt.hashes
			}
			tab := newTable(func(r *record) uint64 { return hashOf(r.key()) })
			model := map[string]*record{}
			rng := rand.New(rand.NewPCG(1, 1))
			for range 20_000 {
				key := strconv.FormatUint(rng.Uint64N(tt.keys), 10)
				got := tab.find(hashOf(key), func(r *record) bool { return r.key() == key })
				if got != model[key] {
					t.Fatalf("found %v for %s, want %v", got, key, model[key])
				}
				if got != nil {
					tab.remove(got)
					tab.remove(got) // has no effect
					delete(model, key)
					continue
				}
				r := &record{}
				r.setKeyAndJob(key, "")
				tab.add(r)
				model[key] = r
			}
			n := 0
			for r := range tab.all {
				if n++; model[r.key()] != r {
					t.Errorf("unexpected record %s in the table", r.key())
				}
			}
			if n != len(model) || tab.len() != n {
				t.Errorf("got %d records and length %d, want %d", n, tab.len(), len(model))
			}
		})
	}
}
