package quorum

import "slices"

// history is the part of the log that has not been compacted. Returned slices stay valid, because
// entries are never overwritten in place.
type history struct {
	base    uint64 // op of the last compacted entry
	entries []Entry
}

// last returns the op of the last entry.
func (h *history) last() uint64 {
	return h.base + uint64(len(h.entries))
}

func (h *history) add(entries ...Entry) {
	h.entries = append(h.entries, entries...)
}

// after returns at most limit entries that follow op.
func (h *history) after(op uint64, limit int) []Entry {
	return h.between(op, min(h.last(), op+uint64(limit)))
}

// afterBounded returns at most limit entries that follow op, with commands of at most size bytes in
// total, but at least one entry if there is any.
func (h *history) afterBounded(op uint64, limit, size int) []Entry {
	entries := h.after(op, limit)
	for i, e := range entries {
		if size -= len(e.Command); size < 0 {
			return entries[:max(i, 1):max(i, 1)]
		}
	}
	return entries
}

// between returns the entries with ops greater than after and up to and including to.
func (h *history) between(after, to uint64) []Entry {
	if to <= after {
		return nil
	}
	from, end := after-h.base, to-h.base
	return h.entries[from:end:end]
}

// bytes returns the total size of the commands with ops greater than after and up to and including to.
func (h *history) bytes(after, to uint64) (n int) {
	for _, e := range h.between(after, to) {
		n += len(e.Command)
	}
	return n
}

// truncateAfter removes the entries after op.
func (h *history) truncateAfter(op uint64) {
	n := op - h.base
	h.entries = h.entries[:n:n]
}

// compact removes the entries up to and including op.
func (h *history) compact(op uint64) {
	h.entries = slices.Clone(h.entries[op-h.base:])
	h.base = op
}
