package main

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"time"

	"dogwoodrock.example/dogwoodrock/bench"
	"dogwoodrock.example/dogwoodrock/kernel"
)

// replayCommand replays a recording against entry hosts.
type replayCommand struct {
	Entries []string      `long:"entry" required:"yes" description:"IP and port of an entry host; may be repeated"`
	FailAll int           `long:"fail-all" description:"backend servers that fail everything"`
	WarmUp  time.Duration `long:"warm-up" default:"2s" description:"time between the announcements and the first job"`
	JSON    string        `long:"json" description:"write the report to this file, too"`
	fleetFlags
	Args struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`

	ctx context.Context
}

// Execute replays the recording, prints the report and, with --json, also writes it to a file.
func (c *replayCommand) Execute([]string) error {
	recording, err := readRecording(c.Args.File)
	if err != nil {
		return err
	}
	fleet := c.fleet()
	fleet.Entries, fleet.FailAll = c.Entries, c.FailAll
	r := bench.Replay{Recording: recording, Fleet: fleet, WarmUp: c.WarmUp}
	report, err := r.Run(c.ctx, kernel.SystemEnv())
	if err != nil {
		return err
	}
	if err := report.Table(os.Stdout); err != nil || c.JSON == "" {
		return err
	}
	return writeFile(c.JSON, func(w io.Writer) error {
		out := json.NewEncoder(w)
		out.SetIndent("", "  ")
		return out.Encode(report)
	})
}

func readRecording(path string) (bench.Recording, error) {
	f, err := os.Open(path)
	if err != nil {
		return bench.Recording{}, err
	}
	defer func() { _ = f.Close() }()
	return bench.Read(f)
}
