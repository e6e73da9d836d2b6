package pqueue

// Heap is a binary heap that reports its position to each item. Less and SetPos must be
// set before the first Push.
type Heap[T any] struct {
	Less   func(a, b T) bool     // reports whether a goes before b
	SetPos func(item T, pos int) // stores the position in the item; -1 after its removal

	items []T
}

// Len returns how many items the heap holds.
func (h *Heap[T]) Len() int { return len(h.items) }

// Top returns the first item. It panics on an empty heap.
func (h *Heap[T]) Top() T { return h.items[0] }

// Second returns the item that would be first if the top were removed, and false if there is none.
func (h *Heap[T]) Second() (T, bool) {
	switch {
	case len(h.items) < 2:
		var none T
		return none, false
	case len(h.items) > 2 && h.Less(h.items[2], h.items[1]):
		return h.items[2], true
	default:
		return h.items[1], true
	}
}

// Items returns the items in no particular order. The caller must not change the slice.
func (h *Heap[T]) Items() []T { return h.items }

// Push adds an item.
func (h *Heap[T]) Push(item T) {
	h.items = append(h.items, item)
	h.up(len(h.items)-1, item)
}

// Fix restores the heap order after the key of the item at pos has changed.
func (h *Heap[T]) Fix(pos int) {
	item := h.items[pos]
	if pos > 0 && h.Less(item, h.items[(pos-1)/2]) {
		h.up(pos, item)
		return
	}
	h.down(pos, item)
}

// Remove removes the item at pos.
func (h *Heap[T]) Remove(pos int) {
	last := len(h.items) - 1
	removed, moved := h.items[pos], h.items[last]
	var none T
	h.items[last] = none
	h.items = h.items[:last]
	h.SetPos(removed, -1)
	if pos == last {
		return
	}
	h.items[pos] = moved
	h.Fix(pos)
}

func (h *Heap[T]) up(pos int, item T) {
	for pos > 0 {
		parent := (pos - 1) / 2
		if !h.Less(item, h.items[parent]) {
			break
		}
		h.set(pos, h.items[parent])
		pos = parent
	}
	h.set(pos, item)
}

func (h *Heap[T]) down(pos int, item T) {
	for {
		child := 2*pos + 1
		if child >= len(h.items) {
			break
		}
		if child+1 < len(h.items) && h.Less(h.items[child+1], h.items[child]) {
			child++
		}
		if !h.Less(h.items[child], item) {
			break
		}
		h.set(pos, h.items[child])
		pos = child
	}
	h.set(pos, item)
}

func (h *Heap[T]) set(pos int, item T) {
	h.items[pos] = item
	h.SetPos(item, pos)
}
