package fleet

import "time"

// MessageBytes returns the size of the largest message that all entry hosts receive, 0 if none has told.
func (w *Watch) MessageBytes() int64 {
	smallest := int64(0)
	for _, h := range w.hosts {
		if n := h.renewal.MessageBytes; n > 0 && (smallest == 0 || n < smallest) {
			smallest = n
		}
	}
	return smallest
}

// Observing reports whether there may be entry hosts that haven't renewed yet, as the leader is new.
func (w *Watch) Observing(now time.Time) bool {
	return now.Sub(w.since) < observeTime
}
