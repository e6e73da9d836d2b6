package opcmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/user"
	"path/filepath"
	"runtime/debug"
	"strings"

	"github.com/jessevdk/go-flags"
	"github.com/oklog/ulid/v2"

	"dogwoodrock.example/dogwoodrock/client"
	"dogwoodrock.example/dogwoodrock/lists"
	"dogwoodrock.example/dogwoodrock/platform"
)

// App holds the external dependencies of the commands.
type App struct {
	Stdin     io.Reader
	Stdout    io.Writer
	Stderr    io.Writer
	NewClient func(hosts []string) (*client.Client, error)
	NewEditID func() string
	OpenFile  func(path string) error // opens a file in the operator's editor and waits until it is closed
	Version   string

	// CheckDocument returns the findings about a routes document and, unless inForce is nil, its
	// differences from the document in force. The error is about inForce.
	CheckDocument func(source, inForce []byte) ([]platform.Finding, error)
}

// New returns an App that uses the terminal, the network and $EDITOR.
func New() *App {
	return &App{
		Stdin:     os.Stdin,
		Stdout:    os.Stdout,
		Stderr:    os.Stderr,
		NewClient: func(hosts []string) (*client.Client, error) { return client.New(hosts) },
		NewEditID: func() string { return ulid.Make().String() },
		OpenFile:  runEditor,
		Version:   buildVersion(),

		CheckDocument: platform.CheckDocument,
	}
}

// Run executes one command line and returns its exit code. args excludes the program name.
func (a *App) Run(ctx context.Context, args []string) int {
	var o Options
	parser := flags.NewNamedParser("dogwoodrock", flags.HelpFlag|flags.PassDoubleDash)
	parser.SubcommandsOptional = true
	parser.LongDescription = exitCodeHelp
	if _, err := parser.AddGroup("Options", "", &o); err != nil {
		return a.fail(&o, err)
	}
	rest, err := parser.ParseArgs(args)
	var flagsErr *flags.Error
	switch {
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		return a.print(flagsErr.Message)
	case err != nil:
		return a.fail(&o, &UsageError{Reason: err.Error()})
	case len(rest) > 0 && parser.Active == nil:
		return a.fail(&o, &UsageError{Reason: fmt.Sprintf("no command is named %q; see --help", rest[0])})
	case len(rest) > 0:
		return a.fail(&o, &UsageError{Reason: "too many arguments: " + strings.Join(rest, " ")})
	case o.Version:
		return a.print(a.Version)
	case parser.Active == nil:
		return a.fail(&o, &UsageError{Reason: "no command given; see --help"})
	}
	return a.fail(&o, a.execute(ctx, &o, parser.Active.Name))
}

// commands maps the name of each command that needs a client to its implementation.
var commands = map[string]func(ctx context.Context, r *runner) error{
	"get":     get,
	"put":     put,
	"edit":    edit,
	"diff":    diff,
	"history": history,
	"explain": explain,
	"status":  status,
	"session": session,
	"submit":  submit,
	"fetch":   fetch,
	"cancel":  cancel,

	"evacuate": evacuate,
}

// runner holds the state of one command invocation.
type runner struct {
	*App
	*Options
	client *client.Client
}

func (a *App) execute(ctx context.Context, o *Options, name string) error {
	if o.State == "" {
		o.State = defaultState()
	}
	if o.Operator == "" {
		o.Operator = userName()
	}
	switch name {
	case "trace":
		return a.trace(&o.Trace)
	case "check-settings":
		return a.checkSettings(&o.Check)
	case "check":
		return a.checkDocument(ctx, o)
	}
	c, err := a.NewClient(o.Hosts)
	if err != nil {
		return &UsageError{Reason: err.Error()}
	}
	return commands[name](ctx, &runner{App: a, Options: o, client: c})
}

func (a *App) print(text string) int {
	if _, err := fmt.Fprintln(a.Stdout, text); err != nil {
		return ExitUsage
	}
	return ExitOK
}

// fail prints the error, unless it is nil, and returns the exit code.
func (a *App) fail(o *Options, err error) int {
	if err == nil {
		return ExitOK
	}
	text := describe(err)
	if o.JSON {
		text = refusalJSON(err, text)
	}
	_, _ = fmt.Fprintln(a.Stderr, text) // a failed write to Stderr can't be reported
	return exitCode(err)
}

func checkList(list string) error {
	if list != lists.Customers && list != lists.Plans {
		return &UsageError{Reason: fmt.Sprintf("no list is named %q; it must be %s or %s", list, lists.Customers, lists.Plans)}
	}
	return nil
}

// defaultState returns the state folder by the XDG conventions.
func defaultState() string {
	if folder := os.Getenv("XDG_STATE_HOME"); folder != "" {
		return filepath.Join(folder, "dogwoodrock")
	}
	home, err := os.UserHomeDir()
	if err != nil {
		home = os.TempDir()
	}
	return filepath.Join(home, ".local", "state", "dogwoodrock")
}

func runEditor(path string) error {
	editor := strings.Fields(os.Getenv("EDITOR"))
	if len(editor) == 0 {
		return &UsageError{Reason: "EDITOR names no editor"}
	}
	command := exec.Command(editor[0], append(editor[1:], path)...)
	command.Stdin, command.Stdout, command.Stderr = os.Stdin, os.Stdout, os.Stderr
	return command.Run()
}

func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return info.Main.Version
}

// userName returns the name of the operating system's user, empty if unknown.
func userName() string {
	if name := os.Getenv("USER"); name != "" {
		return name
	}
	u, err := user.Current()
	if err != nil {
		return ""
	}
	return u.Username
}
