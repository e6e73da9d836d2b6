package daemon

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"dogwoodrock.example/dogwoodrock/config"
	"dogwoodrock.example/dogwoodrock/events"
)

// Version is the version of the daemon, set by release builds.
var Version = "development"

// Exit codes of the daemon.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitSettings = 2 // invalid command line or settings
)

// Command holds the command-line flags of the daemon.
type Command struct {
	Settings string `long:"settings" short:"s" value-name:"FILE" description:"YAML settings; without it, one host of one data centre on loopback"`
	Check    bool   `long:"check" description:"check the settings and end"`
	Version  bool   `long:"version" description:"print the version and end"`
}

// Main runs the daemon with the given arguments, without the program name, and returns its exit
// code.
func Main(args []string, stdout, stderr io.Writer) int {
	var c Command
	parser := flags.NewParser(&c, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "dogwoodrockd"
	rest, err := parser.ParseArgs(args)
	if err != nil {
		return usage(err, stdout, stderr)
	}
	if len(rest) > 0 {
		_, _ = fmt.Fprintf(stderr, "dogwoodrockd: unknown argument %q\n", rest[0])
		return ExitSettings
	}
	if c.Version {
		_, _ = fmt.Fprintln(stdout, "dogwoodrockd", Version)
		return ExitOK
	}
	return c.run(stdout, stderr)
}

func usage(err error, stdout, stderr io.Writer) int {
	if flags.WroteHelp(err) {
		_, _ = fmt.Fprintln(stdout, err)
		return ExitOK
	}
	_, _ = fmt.Fprintln(stderr, "dogwoodrockd:", err)
	return ExitSettings
}

func (c *Command) run(stdout, stderr io.Writer) int {
	s := config.Default()
	if c.Settings != "" {
		loaded, err := config.Load(c.Settings)
		if err != nil {
			_, _ = fmt.Fprintln(stderr, err)
			return ExitSettings
		}
		s = loaded
	}
	for _, warning := range config.Warnings(s) {
		_, _ = fmt.Fprintln(stderr, "dogwoodrockd: warning:", warning)
	}
	if c.Check {
		_, _ = fmt.Fprintln(stdout, "the settings are good")
		return ExitOK
	}
	return serve(s, stderr)
}

// serve runs a host until a signal arrives or a fatal error occurs, and returns the exit code.
func serve(s config.Settings, stderr io.Writer) int {
	log := events.New(stderr, s.Log.Level, s.Host.Name)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	h, err := New(s, WithLog(log))
	if err == nil {
		err = h.Kernel.Start(context.Background())
	}
	if err != nil {
		log.At(events.Failed).Str("Error", err.Error()).Send()
		return ExitFailed
	}
	log.At(events.Started).Str("DataCentre", s.Host.DataCentre).Str("Listen", s.Host.Listen).Str("Version", Version).Send()
	return h.waitForShutdown(signals)
}

func (h *Host) waitForShutdown(signals <-chan os.Signal) int {
	select {
	case sig := <-signals:
		h.Log.At(events.Stopping).Str("Signal", sig.String()).Send()
	case <-h.Kernel.Failed():
		h.Log.At(events.Failed).Str("Error", h.Kernel.Err().Error()).Send()
		return ExitFailed
	}
	ctx, cancel := context.WithTimeout(context.Background(), h.Settings.Timing.ShutdownTimeout)
	defer cancel()
	h.Kernel.Stop(ctx)
	h.Log.At(events.Stopped).Send()
	return ExitOK
}
