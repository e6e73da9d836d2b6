package opcmd

import (
	"fmt"
	"io"
	"os"
	"strings"

	"dogwoodrock.example/dogwoodrock/trace"
)

// trace prints the timeline of one job and marks the deciding line.
func (a *App) trace(o *TraceOptions) error {
	lines, ignored, err := a.readLogs(o.Args.Files)
	if err != nil {
		return err
	}
	timeline := trace.ForJob(o.Args.Job, lines)
	if len(timeline.Lines) == 0 {
		return &UsageError{Reason: fmt.Sprintf("none of %d lines tells of job %q; %d lines were no events", len(lines), o.Args.Job, ignored)}
	}
	var b strings.Builder
	for i, l := range timeline.Lines {
		marker := "  "
		if i == timeline.Deciding {
			marker = "> "
		}
		b.WriteString(marker + l.String() + "\n")
	}
	_, err = io.WriteString(a.Stdout, b.String())
	return err
}

// readLogs reads the files, or standard input if there are none.
func (a *App) readLogs(files []string) (lines []trace.Line, ignored int, err error) {
	if len(files) == 0 {
		return trace.Read(a.Stdin)
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, 0, fileError(name, err)
		}
		more, moreIgnored, err := trace.Read(f)
		_ = f.Close()
		if err != nil {
			return nil, 0, fileError(name, err)
		}
		lines, ignored = append(lines, more...), ignored+moreIgnored
	}
	return lines, ignored, nil
}
