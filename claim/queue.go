package claim

// minCompaction is the minimum number of popped entries before a queue compacts its array.
const minCompaction = 64

// queue is a FIFO queue on a slice.
type queue[T any] struct {
	items []T
	head  int
}

func (q *queue[T]) push(item T) {
	q.items = append(q.items, item)
}

func (q *queue[T]) len() int {
	return len(q.items) - q.head
}

// peek returns the oldest entry; the queue must not be empty.
func (q *queue[T]) peek() T {
	return q.items[q.head]
}

// pop removes the oldest entry; the queue must not be empty.
func (q *queue[T]) pop() T {
	item := q.items[q.head]
	var zero T
	q.items[q.head] = zero
	q.head++
	if q.head >= minCompaction && q.head*2 >= len(q.items) {
		n := copy(q.items, q.items[q.head:])
		clear(q.items[n:])
		q.items, q.head = q.items[:n], 0
	}
	return item
}
