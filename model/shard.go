package model

import "cmp"

// MaxShards is the largest number of shards of a data centre. Every entry host sends a pulse to each
// shard's placer of its data centre.
const MaxShards = 8

// ShardKey identifies a shard: a part of a data centre's backend servers that has its own placer.
type ShardKey struct {
	DataCentre string
	Shard      int
}

// Compare orders shards by data centre and number.
func (k ShardKey) Compare(other ShardKey) int {
	return cmp.Or(cmp.Compare(k.DataCentre, other.DataCentre), cmp.Compare(k.Shard, other.Shard))
}

// ShardCount is the number of shards of a data centre. It never changes once it is committed.
type ShardCount struct {
	DataCentre string
	Shards     int
}

// ShardOf returns the shard of a backend server or a job among a number of shards, by its name or id.
func ShardOf(name string, shards int) int {
	if shards <= 1 {
		return 0
	}
	return int(nameHash(name) % uint64(shards))
}

// ShardOrder returns all shards in the order in which a job tries them: its own shard first, the
// others rotated by the job's id, so that the jobs of one shard spread over all others. All hosts
// compute the same order, so that copies of a job meet at the same placer.
func ShardOrder(job string, shards int) []int {
	if shards <= 1 {
		return []int{0}
	}
	h, n := nameHash(job), uint64(shards)
	own, others := h%n, n-1
	order := []int{int(own)}
	for i := range others {
		order = append(order, int((own+1+(h/n+i)%others)%n))
	}
	return order
}

// nameHash returns the 64-bit FNV-1a hash of a name.
func nameHash(name string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * 1099511628211
	}
	return h
}

// WeightedShard returns one of the shards with a positive weight, chosen by a job's id in proportion to the
// weights, and false if none has one.
func WeightedShard(job string, weights []int) (int, bool) {
	sum := 0
	for _, weight := range weights {
		sum += max(weight, 0)
	}
	if sum == 0 {
		return 0, false
	}
	// The remainder of the hash gives the job's own shard, so the choice takes the quotient.
	point := int(nameHash(job) / uint64(len(weights)) % uint64(sum))
	for shard, weight := range weights {
		if point -= max(weight, 0); point < 0 {
			return shard, true
		}
	}
	return 0, false
}
