package kernel

// Queue is a FIFO queue that grows as needed. The zero value is an empty queue.
type Queue[T any] struct {
	items []T
	head  int
	n     int
}

// Len returns the number of items held.
func (q *Queue[T]) Len() int {
	return q.n
}

// Push adds an item at the end.
func (q *Queue[T]) Push(item T) {
	if q.n == len(q.items) {
		q.grow()
	}
	q.items[(q.head+q.n)%len(q.items)] = item
	q.n++
}

// Pop removes and returns the item at the front. It returns false if the queue is empty.
func (q *Queue[T]) Pop() (T, bool) {
	var zero T
	if q.n == 0 {
		return zero, false
	}
	item := q.items[q.head]
	q.items[q.head] = zero
	q.head = (q.head + 1) % len(q.items)
	q.n--
	return item, true
}

func (q *Queue[T]) grow() {
	const smallest = 8
	items := make([]T, max(smallest, 2*len(q.items)))
	for i := range q.n {
		items[i] = q.items[(q.head+i)%len(q.items)]
	}
	q.items = items
	q.head = 0
}
