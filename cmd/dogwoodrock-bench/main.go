// Command dogwoodrock-bench generates recordings of requests, replays them against entry hosts,
// measures the resources that the hosts use, and runs the naive dispatcher for the baseline.
package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
)

// commands holds the subcommands of the command line.
type commands struct {
	Record recordCommand `command:"record" description:"draw a recording and write it to a file"`
	Replay replayCommand `command:"replay" description:"replay a recording against entry hosts, with stand-in backend servers"`
	Naive  naiveCommand  `command:"naive" description:"run naive entry hosts"`
	Usage  usageCommand  `command:"usage" description:"print what running entry hosts use in a window"`
}

func main() {
	if !run() {
		os.Exit(1)
	}
}

// run executes the command and reports whether it succeeded.
func run() bool {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	c := commands{
		Replay: replayCommand{ctx: ctx},
		Naive:  naiveCommand{ctx: ctx},
		Usage:  usageCommand{ctx: ctx},
	}
	_, err := flags.Parse(&c)
	var flagErr *flags.Error
	return err == nil || errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp
}
