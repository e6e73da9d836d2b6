package main

import (
	"context"
	"fmt"

	"dogwoodrock.example/dogwoodrock/bench"
)

// naiveCommand runs naive entry hosts.
type naiveCommand struct {
	Listen []string `long:"listen" default:"127.0.0.1:0" description:"IP and port of an entry host; may be repeated"`

	ctx context.Context
}

// Execute prints the addresses of the hosts and serves until SIGTERM or an interrupt.
func (c *naiveCommand) Execute([]string) error {
	g, err := bench.StartNaive(c.ctx, c.Listen)
	if err != nil {
		return err
	}
	addresses, err := g.Addresses(c.ctx)
	if err != nil {
		return err
	}
	for _, address := range addresses {
		fmt.Println(address)
	}
	<-c.ctx.Done()
	g.Stop(context.Background())
	return nil
}
