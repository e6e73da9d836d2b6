package opcmd

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

const (
	goldPlan       = "Plans:\n  - Name: gold\n    Services: [dispatch]\n    Weight: 4\n    MaxRunning: 200\n    MaxQueued: 2000\n    StartsPerSecond: 500\n    MaxJobTasks: 130\n"
	halny          = "Customers:\n  - Name: halny\n    Plan: gold\n"
	baseLineFormat = "# BaseVersion: %d\n"
)

// terminal runs commands against a fake entry host and records a transcript.
type terminal struct {
	app        *App
	front      *fakeFront
	host       string
	folder     string
	state      string
	edit       func(text string) string // simulates the operator's changes in the editor
	transcript strings.Builder
}

func newTerminal(t *testing.T) *terminal {
	front, host := startFront(t)
	m := &terminal{front: front, host: host, folder: t.TempDir(), edit: func(text string) string { return text }}
	m.state = filepath.Join(m.folder, "state")
	ids := 0
	m.app = New()
	m.app.Version = "v0"
	m.app.NewEditID = func() string { ids++; return fmt.Sprintf("edit-%d", ids) }
	m.app.OpenFile = func(path string) error {
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(path, []byte(m.edit(string(text))), 0o600)
	}
	return m
}

// run executes one command line and appends it with its output and exit code to the transcript. FILE
// stands for the path of the test's file.
func (m *terminal) run(line string) {
	var stdout, stderr bytes.Buffer
	stdoutBefore, stderrBefore := m.app.Stdout, m.app.Stderr
	defer func() { m.app.Stdout, m.app.Stderr = stdoutBefore, stderrBefore }() // for a command whose editor runs another command
	m.app.Stdout, m.app.Stderr = &stdout, &stderr
	m.app.Stdin = strings.NewReader(`{"Customer": "halny", "Tasks": [{"Service": "dispatch", "Body": "check"}]}`)
	args := []string{"--state", m.state, "--operator", "kim"}
	if !strings.Contains(line, "--host") {
		args = append(args, "--host", m.host)
	}
	for _, arg := range strings.Fields(line) {
		args = append(args, strings.Replace(arg, "FILE", filepath.Join(m.folder, "file"), 1))
	}
	code := m.app.Run(context.Background(), args)
	fmt.Fprintf(&m.transcript, "$ dogwoodrock %s\n%s%sexit %d\n\n", line, stdout.String(), stderr.String(), code)
}

func (m *terminal) writeFile(format string, args ...any) {
	if err := os.WriteFile(filepath.Join(m.folder, "file"), fmt.Appendf(nil, format, args...), 0o600); err != nil {
		panic(err)
	}
}

// putBothLists stores both lists and clears the transcript.
func (m *terminal) putBothLists() {
	m.writeFile(goldPlan+baseLineFormat, 0)
	m.run("put plans FILE")
	m.writeFile(halny+baseLineFormat, 1)
	m.run("put customers FILE")
	m.transcript.Reset()
}

// runFailingEditor runs an edit whose editor writes the text, unless it is empty, and then fails. It
// records the number of drafts left in the state folder.
func (m *terminal) runFailingEditor(text string) {
	m.app.OpenFile = func(path string) error {
		if text != "" {
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				return err
			}
		}
		return &UsageError{Reason: "exit status 1"}
	}
	drafts := func() int {
		names, _ := filepath.Glob(filepath.Join(m.state, "customers-*.yaml"))
		return len(names)
	}
	before := drafts()
	m.run("edit customers")
	fmt.Fprintf(&m.transcript, "drafts left: %d\n\n", drafts()-before)
}

func (m *terminal) normalizedTranscript() []byte {
	text := strings.NewReplacer(m.folder, "FOLDER", m.host, "HOST").Replace(m.transcript.String())
	return []byte(regexp.MustCompile(`-[0-9]+\.yaml`).ReplaceAllString(text, "-N.yaml"))
}

func TestTranscripts(t *testing.T) {
	otherCustomer := strings.Replace(halny, "halny", "bora", 1)
	tests := map[string]struct {
		act func(m *terminal)
	}{
		"first_lists": {act: func(m *terminal) {
			m.run("get plans")
			m.writeFile(goldPlan+baseLineFormat, 0)
			m.run("put plans FILE")
			m.writeFile(halny+baseLineFormat, 1)
			m.run("put customers FILE")
			m.run("get customers")
			m.run("--json get customers")
			m.run("history")
		}},
		"conflict": {act: func(m *terminal) {
			m.putBothLists()
			m.writeFile(otherCustomer+baseLineFormat, 2)
			m.run("put customers FILE")
			m.writeFile(halny+baseLineFormat, 2)
			m.run("put customers FILE")
			m.run("--json put customers FILE")
			m.run("diff customers FILE")
			m.run("get customers --at 2")
			m.run("get customers --at 9")
		}},
		"refused_edits": {act: func(m *terminal) {
			m.putBothLists()
			m.writeFile("Plans: []\n"+baseLineFormat, 2)
			m.run("put plans FILE")
			m.writeFile("Customers:\n  - Name: halny\n    Plan: none\n  - Nam: x\n")
			m.run("put customers FILE --base 2")
			m.run("--json put customers FILE --base 2")
		}},
		"lost_answer": {act: func(m *terminal) {
			m.front.dropAnswer <- true
			m.writeFile(goldPlan+baseLineFormat, 0)
			m.run("put plans FILE")
			m.run("put plans FILE")
			m.run("put plans FILE")
			m.run("history")
		}},
		"editor": {act: func(m *terminal) {
			m.putBothLists()
			m.run("edit customers")
			m.edit = func(string) string { return otherCustomer }
			m.run("edit customers")
			m.edit = func(string) string { return "Customers:\n  - Name: bora\n    Plan: none\n" }
			m.run("edit customers")
			m.edit = func(string) string {
				m.writeFile(halny+baseLineFormat, 3)
				m.run("put customers FILE")
				return otherCustomer + "# mine\n"
			}
			m.run("edit customers")
			m.runFailingEditor("")
			m.runFailingEditor(otherCustomer)
		}},
		"reads": {act: func(m *terminal) {
			m.run("status")
			m.run("--json status")
			m.run("explain halny")
			m.run("--json explain halny")
			m.run("explain nobody")
		}},
		"jobs": {act: func(m *terminal) {
			m.run("session halny")
			m.run("submit -")
			m.run("fetch j1 --wait 1s")
			m.run("fetch j2")
			m.run("--json fetch j3")
			m.run("fetch j9")
			m.run("cancel --customer halny --group gala")
			m.run("--json cancel --customer halny --group gala")
			m.front.canned["POST /v1/cancel"] = `{"Jobs":1}`
			m.run("cancel --customer halny --key swap-1")
		}},
		"usage": {act: func(m *terminal) {
			m.writeFile("Plans: []\n")
			for _, line := range []string{
				"", "--version", "get hosts", "get", "put plans FILE", "put plans FILE.none", "submit FILE", "cancel --customer halny",
				"--host nowhere status", "get plans more", "stop",
			} {
				m.run(line)
			}
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m := newTerminal(t)
			tt.act(m)
			goldie.New(t).Assert(t, name, m.normalizedTranscript())
		})
	}
}

func TestExitCodeUnreachable(t *testing.T) {
	tests := map[string]struct {
		line string
		want int
	}{
		"read": {line: "--host 127.0.0.1:1 status", want: ExitUnreachable},
		"put":  {line: "--host 127.0.0.1:1 put plans FILE --base 0", want: ExitUnreachable},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m := newTerminal(t)
			m.writeFile(goldPlan)
			m.run(tt.line)
			if want := fmt.Sprintf("exit %d\n\n", tt.want); !strings.HasSuffix(m.transcript.String(), want) {
				t.Fatalf("got\n%s\nwant %s", m.transcript.String(), want)
			}
		})
	}
}
