// Command dogwoodrock is the operators' command line.
package main

import (
	"context"
	"os"
	"os/signal"

	"dogwoodrock.example/dogwoodrock/opcmd"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := opcmd.New().Run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}
