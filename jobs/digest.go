package jobs

import (
	"encoding/binary"
	"math/bits"

	"github.com/cespare/xxhash/v2"

	"dogwoodrock.example/dogwoodrock/model"
)

// Digest returns a digest of what a submission asks for. Two submissions of one
// key must have the same digest.
func Digest(sub model.Submission) [16]byte {
	low := xxhash.New()
	high := xxhash.NewWithSeed(digestSeed)
	write := func(b []byte) {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(b)))
		for _, h := range []*xxhash.Digest{low, high} {
			_, _ = h.Write(n[:])
			_, _ = h.Write(b)
		}
	}
	write([]byte(sub.Customer))
	write([]byte(sub.Group))
	write([]byte{flag(sub.NonIdempotent)})
	for _, t := range sub.Tasks {
		write([]byte(t.Service))
		write(t.Body)
	}
	var d [16]byte
	binary.BigEndian.PutUint64(d[:8], bits.ReverseBytes64(high.Sum64()))
	binary.BigEndian.PutUint64(d[8:], low.Sum64())
	return d
}

// digestSeed makes the two halves of a digest independent.
const digestSeed = 0x9e3779b97f4a7c15

func flag(b bool) byte {
	if b {
		return 1
	}
	return 0
}
