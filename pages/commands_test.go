package pages

import (
	"bytes"
	"os"
	"regexp"
	"strings"
	"testing"

	"dogwoodrock.example/dogwoodrock/opcmd"
)

// TestCommands runs each command of the table on the operators' page, in the order of the table.
func TestCommands(t *testing.T) {
	text, file := readPage(t, "docs/OPERATIONS.md"), submission(t)
	host := startHost(t)
	startBackend(t, host)
	t.Chdir(t.TempDir())
	writeExample(t, "job.json", file)
	writeExample(t, "new.yaml", "Customers:\n  - Name: field-crews\n    Plan: crews\n# BaseVersion: 2\n")
	wantExitCodes := map[string]int{
		"put customers new.yaml --base 2": opcmd.ExitConflict, // the previous command was accepted
	}
	row := regexp.MustCompile("(?m)^\\| `dogwoodrock ([^`]+)`")
	job := regexp.MustCompile(`JOB +(\S+)`)
	rows := row.FindAllStringSubmatch(text, -1)
	if len(rows) == 0 {
		t.Fatal("the page has no commands")
	}
	lastJob := ""
	for _, m := range rows {
		var out bytes.Buffer
		app := opcmd.New()
		app.Stdout, app.Stderr = &out, &out
		app.OpenFile = func(string) error { return nil }
		args := append([]string{"--host", host, "--state", t.TempDir(), "--operator", "kim"},
			strings.Fields(strings.Replace(m[1], "JOB", lastJob, 1))...)
		if code := app.Run(t.Context(), args); code != wantExitCodes[m[1]] {
			t.Errorf("%s: exit code %d, want %d\n%s", m[1], code, wantExitCodes[m[1]], out.String())
		}
		if found := job.FindStringSubmatch(out.String()); found != nil {
			lastJob = found[1]
		}
	}
}

// submission returns the job file on the page.
func submission(t *testing.T) string {
	t.Helper()
	for _, b := range blocks(t, "docs/OPERATIONS.md") {
		if b.Message == "Submission" {
			return b.Text
		}
	}
	t.Fatal("the page has no job file")
	return ""
}

func writeExample(t *testing.T, name, text string) {
	t.Helper()
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}
