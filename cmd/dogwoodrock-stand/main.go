// Command dogwoodrock-stand runs stand-in backend servers until SIGTERM or an interrupt.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"dogwoodrock.example/dogwoodrock/stand"
)

// options holds the command-line flags.
type options struct {
	Entry        []string `long:"entry" description:"IP and port of an entry host; may be repeated"`
	Name         string   `long:"name" default:"stand" description:"name of the backend server"`
	DataCentre   string   `long:"data-centre" default:"local" description:"data centre of the backend server"`
	Listen       string   `long:"listen" default:"127.0.0.1:0" description:"IP and port for task calls"`
	Services     []string `long:"services" default:"dispatch" description:"a service it runs; may be repeated"`
	Slots        int      `long:"slots" default:"8" description:"tasks it runs at the same time"`
	Connections  int      `long:"connections" default:"60" description:"connections it accepts"`
	MemoryMB     int      `long:"memory-mb" default:"65536" description:"memory it announces"`
	Accelerators int      `long:"accelerators" description:"accelerators it announces"`
	Speed        float64  `long:"speed" default:"1" description:"a task takes its declared time divided by this"`
	Count        int      `long:"count" description:"run that many, named NAME-1 and so on, on free ports"`
	misbehaviours
}

// misbehaviours holds the flags that make the stand-in servers misbehave.
type misbehaviours struct {
	FailAll   bool `long:"fail-all" description:"fail every task"`
	RefuseAll bool `long:"refuse-all" description:"start no task"`
	Late      bool `long:"late" description:"answer after the deadline"`
	Crossed   bool `long:"crossed" description:"answer for another task"`
	Silent    bool `long:"silent" description:"never answer"`
	DieAfter  int  `long:"die-after" description:"exit in the middle of the n-th task"`
}

const stopTimeout = 30 * time.Second

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		var flagErr *flags.Error
		if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
			return
		}
		os.Exit(2)
	}
	if err := run(opts); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run prints the name and address of each stand-in server and serves until SIGTERM or an
// interrupt.
func run(opts options) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	g := stand.NewGroup()
	if err := add(g, opts); err != nil {
		return err
	}
	if err := g.Start(ctx); err != nil {
		return err
	}
	for _, name := range g.Names() {
		address, err := g.Address(ctx, name)
		if err != nil {
			return err
		}
		fmt.Println(name, address)
	}
	<-ctx.Done()
	stopCtx, cancelStop := context.WithTimeout(context.Background(), stopTimeout)
	defer cancelStop()
	g.Stop(stopCtx)
	return nil
}

func add(g *stand.Group, opts options) error {
	cfg := stand.Config{
		Name:         opts.Name,
		DataCentre:   opts.DataCentre,
		Listen:       opts.Listen,
		Entries:      opts.Entry,
		Services:     opts.Services,
		Slots:        opts.Slots,
		Connections:  opts.Connections,
		MemoryMB:     opts.MemoryMB,
		Accelerators: opts.Accelerators,
		Speed:        opts.Speed,
	}
	changes := []stand.Option{
		stand.WithMisbehaviour(opts.enabled()...),
		stand.WithCrashHook(func() { os.Exit(1) }),
	}
	if opts.Count == 0 {
		return g.Add(cfg, changes...)
	}
	cfg.Listen = "127.0.0.1:0"
	return g.AddMany(cfg, opts.Count, changes...)
}

func (m misbehaviours) enabled() []stand.Misbehaviour {
	var list []stand.Misbehaviour
	for _, flag := range []struct {
		set          bool
		misbehaviour stand.Misbehaviour
	}{
		{m.FailAll, stand.FailAll()},
		{m.RefuseAll, stand.RefuseAll()},
		{m.Late, stand.Late()},
		{m.Crossed, stand.Mismatched()},
		{m.Silent, stand.Silent()},
		{m.DieAfter > 0, stand.CrashAfter(m.DieAfter)},
	} {
		if flag.set {
			list = append(list, flag.misbehaviour)
		}
	}
	return list
}
