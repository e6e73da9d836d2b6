package main

import (
	"context"
	"fmt"
	"time"

	"dogwoodrock.example/dogwoodrock/bench"
)

const (
	percent = 100
	million = 1e6
	kilo    = 1e3
)

// usageCommand measures the resources that running entry hosts use.
type usageCommand struct {
	Entries []string      `long:"entry" required:"yes" description:"IP and port of an entry host; may be repeated"`
	Window  time.Duration `long:"window" default:"15s" description:"time between the two samples"`
	Head    bool          `long:"head" description:"print the head of the table, too"`

	ctx context.Context
}

// Execute prints one row of a Markdown table.
func (c *usageCommand) Execute([]string) error {
	before, err := bench.Scrape(c.ctx, c.Entries)
	if err != nil {
		return err
	}
	select {
	case <-c.ctx.Done():
		return c.ctx.Err()
	case <-time.After(c.Window):
	}
	after, err := bench.Scrape(c.ctx, c.Entries)
	if err != nil {
		return err
	}
	if c.Head {
		fmt.Println("| hosts | tasks/s | core: mean / primaries / others | MB: mean / primaries | sent KB/s: mean / primaries / lead of the lists | a task: bytes sent / bytes of messages / messages | last change in force |")
		fmt.Println("|---|---|---|---|---|---|---|")
	}
	printRow(bench.Compare(before, after))
	return nil
}

func printRow(u bench.Usage) {
	fmt.Printf("| %d | %.0f | %.2f%% / %.2f%% / %.2f%% | %.1f / %.1f | %.1f / %.1f / %.1f | %.0f / %.0f / %.1f | %.2f s |\n",
		u.Hosts, u.TasksPerSecond,
		percent*u.Mean.Cores, percent*u.Primaries.Cores, percent*u.Others.Cores,
		u.Mean.Memory/million, u.Primaries.Memory/million,
		u.Mean.Sent/kilo, u.Primaries.Sent/kilo, u.ListsLeader.Sent/kilo,
		u.SentPerTask, u.BytesPerTask, u.MessagesPerTask,
		u.ReplicationTime.Seconds())
}
