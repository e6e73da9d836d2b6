package place

import "time"

const (
	bucketWidth    = 250 * time.Millisecond
	backlogBuckets = 128 // at bucketWidth each, 32 s ahead
)

// backlog counts waiting tasks by due time, with the precision of bucketWidth.
type backlog struct {
	tasks [backlogBuckets]int32
	total int
}

// bucket returns the bucket of a due time. Past times share the first bucket, and times
// beyond the last bucket share the last one.
func (b *backlog) bucket(due, now time.Time) int64 {
	first := now.UnixNano() / int64(bucketWidth)
	return max(first, min(due.UnixNano()/int64(bucketWidth), first+backlogBuckets-1))
}

func (b *backlog) add(bucket int64, n int) {
	b.tasks[bucket%backlogBuckets] += int32(n)
	b.total += n
}

// dueBy returns how many tasks are due by the given time, including overdue ones.
func (b *backlog) dueBy(due, now time.Time) int {
	n := b.total
	last := now.UnixNano()/int64(bucketWidth) + backlogBuckets - 1
	for i := b.bucket(due, now) + 1; i <= last; i++ {
		n -= int(b.tasks[i%backlogBuckets])
	}
	return n
}
