package events

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/rs/zerolog/diode"
)

// queueLines is the capacity of the output queue: a few seconds of lines at a host's highest log
// rate.
const queueLines = 4096

// maxLine is the size in bytes of the longest line that is written as it is, and keptText the part of a longer one that
// is kept. Lines quote what clients send.
const (
	maxLine  = 8 << 10
	keptText = 2 << 10
)

// shortWriter shortens lines that are longer than maxLine to their first fields, their size and the beginning of their
// text.
type shortWriter struct {
	io.Writer
}

// Write writes one line.
func (w shortWriter) Write(p []byte) (int, error) {
	short := p
	if len(p) > maxLine {
		short = shorten(p)
	}
	if _, err := w.Writer.Write(short); err != nil {
		return 0, err
	}
	return len(p), nil
}

func shorten(line []byte) []byte {
	first := []byte("{")
	if i := bytes.Index(line[:keptText], []byte(`,"Name":`)); i >= 0 {
		first = append(bytes.Clone(line[:i]), ',')
	}
	var text bytes.Buffer
	encoder := json.NewEncoder(&text)
	encoder.SetEscapeHTML(false) // would make six characters of one
	if err := encoder.Encode(string(line[:keptText])); err != nil {
		text.WriteString(`""`)
	}
	return fmt.Appendf(first, `"LongLine":%d,"Text":%s}`+"\n", len(line), bytes.TrimSpace(text.Bytes()))
}

// NewAsyncWriter returns a writer that never blocks: lines are queued for w in a bounded queue, and
// the oldest are dropped when it is full. onDrop is called with the number of dropped lines. Close
// flushes the queue.
func NewAsyncWriter(w io.Writer, onDrop func(lines int)) io.WriteCloser {
	return diode.NewWriter(w, queueLines, 0, onDrop)
}
