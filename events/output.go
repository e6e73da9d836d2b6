package events

import (
	"io"

	"github.com/rs/zerolog/diode"
)

// outputLines is how many lines wait for a slow reader of the output: some
// seconds of the most that a host logs.
const outputLines = 4096

// Output returns a writer that never blocks: lines wait for w in a bounded queue,
// and the oldest are dropped when it is full. Dropped hears how many. Close it to
// write out what waits.
func Output(w io.Writer, dropped func(lines int)) io.WriteCloser {
	return diode.NewWriter(w, outputLines, 0, dropped)
}
