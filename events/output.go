package events

import (
	"io"

	"github.com/rs/zerolog/diode"
)

// queueLines is the capacity of the output queue: a few seconds of lines at a host's highest log
// rate.
const queueLines = 4096

// NewAsyncWriter returns a writer that never blocks: lines are queued for w in a bounded queue, and
// the oldest are dropped when it is full. onDrop is called with the number of dropped lines. Close
// flushes the queue.
func NewAsyncWriter(w io.Writer, onDrop func(lines int)) io.WriteCloser {
	return diode.NewWriter(w, queueLines, 0, onDrop)
}
