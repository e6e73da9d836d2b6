package claim

const (
	tableShards     = 256 // shards grow independently, which bounds the pause of a single command
	shardBits       = 8
	minSlots        = 8
	loadDenominator = 4 // a shard grows when less than 1/loadDenominator of its slots would be free
)

// table is a hash table of records. The records contain their own keys, so a slot costs only one
// pointer.
type table struct {
	hash   func(r *record) uint64
	shards [tableShards]shard
	count  int
}

// shard is an open-addressing hash table with linear probing.
type shard struct {
	slots []*record // the length is a power of two
	count int
}

func newTable(hash func(r *record) uint64) *table {
	return &table{hash: hash}
}

func (t *table) len() int { return t.count }

// find returns the record with the given hash for which match returns true, or nil.
func (t *table) find(hash uint64, match func(r *record) bool) *record {
	s := t.shard(hash)
	if s.count == 0 {
		return nil
	}
	for i := s.homeSlot(hash); s.slots[i] != nil; i = s.nextSlot(i) {
		if match(s.slots[i]) {
			return s.slots[i]
		}
	}
	return nil
}

// add inserts a record, which must not be in the table.
func (t *table) add(r *record) {
	hash := t.hash(r)
	s := t.shard(hash)
	if (s.count+1)*loadDenominator > len(s.slots)*(loadDenominator-1) {
		s.grow(t.hash)
	}
	s.insert(r, hash)
	s.count++
	t.count++
}

// remove removes a record, if it is in the table.
func (t *table) remove(r *record) {
	hash := t.hash(r)
	s := t.shard(hash)
	if s.count == 0 {
		return
	}
	for i := s.homeSlot(hash); s.slots[i] != nil; i = s.nextSlot(i) {
		if s.slots[i] == r {
			s.clear(i, t.hash)
			s.count--
			t.count--
			return
		}
	}
}

// all iterates over the records in no particular order.
func (t *table) all(yield func(r *record) bool) {
	for i := range t.shards {
		for _, r := range t.shards[i].slots {
			if r != nil && !yield(r) {
				return
			}
		}
	}
}

func (t *table) shard(hash uint64) *shard {
	return &t.shards[hash%tableShards]
}

func (s *shard) homeSlot(hash uint64) int {
	return int(hash>>shardBits) & (len(s.slots) - 1)
}

func (s *shard) nextSlot(i int) int {
	return (i + 1) & (len(s.slots) - 1)
}

// insert stores a record in the first free slot. The shard must have a free slot.
func (s *shard) insert(r *record, hash uint64) {
	i := s.homeSlot(hash)
	for s.slots[i] != nil {
		i = s.nextSlot(i)
	}
	s.slots[i] = r
}

func (s *shard) grow(hash func(r *record) uint64) {
	old := s.slots
	s.slots = make([]*record, max(2*len(old), minSlots))
	for _, r := range old {
		if r != nil {
			s.insert(r, hash(r))
		}
	}
}

// clear empties a slot and reinserts the records in the occupied slots after it, which could
// otherwise no longer be found.
func (s *shard) clear(i int, hash func(r *record) uint64) {
	s.slots[i] = nil
	for j := s.nextSlot(i); s.slots[j] != nil; j = s.nextSlot(j) {
		r := s.slots[j]
		s.slots[j] = nil
		s.insert(r, hash(r))
	}
}
