package events

import (
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

const onceSlots = 256 // subjects tracked at the same time; a data centre has fewer faulty servers

// Once tracks for which subjects an event has been logged. Its memory is fixed: a subject may be
// evicted by another one with the same slot.
type Once struct {
	slots [onceSlots]atomic.Uint64
}

// First reports whether the subject is not tracked yet, and tracks it.
func (o *Once) First(subject string) bool {
	sum := xxhash.Sum64String(subject) | 1 // never 0, which marks an empty slot
	return o.slots[(sum>>1)%onceSlots].Swap(sum) != sum
}
