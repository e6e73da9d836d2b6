package soak

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"time"

	"github.com/jessevdk/go-flags"
)

// Options are the flags of the command.
type Options struct {
	Seed     uint64        `long:"seed" default:"1" description:"first seed"`
	Seeds    int           `long:"seeds" default:"1" description:"number of seeds, one after the other"`
	Duration time.Duration `long:"duration" default:"15s" description:"of the faults of each seed"`
	Daemon   string        `long:"daemon" default:"target/dogwoodrockd" value-name:"FILE" description:"program to run"`
	Folder   string        `long:"folder" value-name:"FOLDER" description:"for settings, data and logs, kept when a seed fails; a temporary one by default"`
	Evacuate bool          `long:"evacuate" description:"also evacuate data centres, one after the other"`
}

// plannedEvery divides the seeds that run planned work only.
const plannedEvery = 4

// Main runs seeds and returns the exit code: 1 if a seed failed, 2 for wrong arguments.
func Main(args []string, stdout, stderr io.Writer) int {
	var o Options
	if _, err := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash).ParseArgs(args); err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return 2
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	defer cancel()
	failed := 0
	for seed := o.Seed; seed < o.Seed+uint64(o.Seeds) && ctx.Err() == nil; seed++ {
		if !o.runSeed(ctx, seed, stdout) {
			failed++
		}
	}
	_, _ = fmt.Fprintf(stdout, "%d of %d seeds failed\n", failed, o.Seeds)
	if failed > 0 {
		return 1
	}
	return 0
}

// runSeed runs one seed, prints its report and reports whether it passed. The folder of a failed seed
// is kept.
func (o Options) runSeed(ctx context.Context, seed uint64, stdout io.Writer) bool {
	folder := filepath.Join(o.Folder, fmt.Sprintf("seed-%d", seed))
	if o.Folder == "" {
		folder = filepath.Join(os.TempDir(), fmt.Sprintf("dogwoodrock-soak-%d", seed))
	}
	_ = os.RemoveAll(folder) // of an earlier run
	s := &System{Seed: seed, Duration: o.Duration, Daemon: o.Daemon, Folder: folder, Planned: seed%plannedEvery == 0, Evacuate: o.Evacuate}
	r, err := s.Run(ctx)
	if err != nil {
		r.Failures = append(r.Failures, err.Error())
	}
	_, _ = fmt.Fprintf(stdout, "seed %d: %d faults, %d jobs, %d complete, %d refused, %d cut; after the recovery %d of %d served\n",
		seed, len(r.Faults), r.Jobs, r.Complete, r.Refused, r.Unanswered, r.ServedAfterRecovery, r.AfterRecovery)
	for _, f := range r.Failures {
		_, _ = fmt.Fprintf(stdout, "  FAILED %s\n", f)
	}
	if len(r.Failures) == 0 {
		_ = os.RemoveAll(folder)
		return true
	}
	_, _ = fmt.Fprintf(stdout, "  faults %q\n  logs in %s\n", r.Faults, folder)
	return false
}
