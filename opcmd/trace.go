package opcmd

import (
	"fmt"
	"io"
	"os"
	"strings"

	"dogwoodrock.example/dogwoodrock/trace"
)

// trace prints what the logs tell of one job.
func (a *App) trace(o *TraceOptions) error {
	lines, ignored, err := a.readLogs(o.Args.Files)
	if err != nil {
		return err
	}
	story := trace.Of(o.Args.Job, lines)
	if len(story.Lines) == 0 {
		return &UsageError{Reason: fmt.Sprintf("none of %d lines tells of job %q; %d lines were no events", len(lines), o.Args.Job, ignored)}
	}
	var b strings.Builder
	for i, l := range story.Lines {
		mark := "  "
		if i == story.Deciding {
			mark = "> "
		}
		b.WriteString(mark + l.String() + "\n")
	}
	_, err = io.WriteString(a.Stdout, b.String())
	return err
}

// readLogs reads the files, or the standard input when there are none.
func (a *App) readLogs(files []string) (lines []trace.Line, ignored int, err error) {
	if len(files) == 0 {
		return trace.Read(a.Stdin)
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, 0, fileError(name, err)
		}
		more, odd, err := trace.Read(f)
		_ = f.Close()
		if err != nil {
			return nil, 0, fileError(name, err)
		}
		lines, ignored = append(lines, more...), ignored+odd
	}
	return lines, ignored, nil
}
