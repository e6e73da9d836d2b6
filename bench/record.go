package bench

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"
)

// Kind is the kind of request that a caller sends at an event.
type Kind string

// A caller submits a job, resubmits one with the same key, or cancels a group of jobs.
const (
	KindJob      Kind = "Job"
	KindResubmit Kind = "Again"
	KindCancel   Kind = "Cancel"
)

// Event is one request of a caller. KindCancel uses only At, Customer and Group.
type Event struct {
	Kind     Kind
	At       time.Duration // since the start of the recording
	Customer string
	Group    string
	Label    string // unique name of the job; KindResubmit repeats it
	Keyed    bool   // sent with an idempotency key
	Deadline time.Duration
	Tasks    []time.Duration // run times on a backend server of speed 1
}

// Ideal returns the shortest possible response time on backend servers of
// speed 1.
func (e Event) Ideal() time.Duration {
	var longest time.Duration
	for _, d := range e.Tasks {
		longest = max(longest, d)
	}
	return longest
}

// Recording is a list of events in the order of At.
type Recording struct {
	Events []Event
}

// FormatError reports a malformed line of a recording.
type FormatError struct {
	Line   int
	Reason string
}

// Error returns the line number and the reason.
func (e *FormatError) Error() string {
	return fmt.Sprintf("line %d of the recording: %s", e.Line, e.Reason)
}

// Write writes one line per event: kind, time, customer, group, label, whether keyed, deadline
// and run times of the tasks. Times are in milliseconds; "-" stands for an empty field.
func (r Recording) Write(w io.Writer) error {
	out := bufio.NewWriter(w)
	for _, e := range r.Events {
		_, _ = fmt.Fprintf(out, "%s %d %s %s %s %t %d %s\n", e.Kind, e.At.Milliseconds(),
			e.Customer, orDash(e.Group), orDash(e.Label), e.Keyed, e.Deadline.Milliseconds(), formatTasks(e.Tasks))
	}
	return out.Flush()
}

// Read parses a recording in the format of Write. It returns a *FormatError for a malformed line.
func Read(src io.Reader) (Recording, error) {
	const maxLineBytes = 1 << 20
	var r Recording
	lines := bufio.NewScanner(src)
	lines.Buffer(nil, maxLineBytes)
	for n := 1; lines.Scan(); n++ {
		e, err := parseEvent(strings.Fields(lines.Text()))
		if err != nil {
			return Recording{}, &FormatError{Line: n, Reason: err.Error()}
		}
		r.Events = append(r.Events, e)
	}
	return r, lines.Err()
}

func parseEvent(fields []string) (Event, error) {
	const fieldCount = 8
	if len(fields) != fieldCount {
		return Event{}, fmt.Errorf("%d fields instead of %d", len(fields), fieldCount)
	}
	at, err := parseMs(fields[1])
	if err != nil {
		return Event{}, err
	}
	deadline, err := parseMs(fields[6])
	if err != nil {
		return Event{}, err
	}
	tasks, err := parseTasks(fields[7])
	return Event{
		Kind:     Kind(fields[0]),
		At:       at,
		Customer: fields[2],
		Group:    fromDash(fields[3]),
		Label:    fromDash(fields[4]),
		Keyed:    fields[5] == "true",
		Deadline: deadline,
		Tasks:    tasks,
	}, err
}

func parseTasks(text string) ([]time.Duration, error) {
	if text == "-" {
		return nil, nil
	}
	var tasks []time.Duration
	for word := range strings.SplitSeq(text, ",") {
		d, err := parseMs(word)
		if err != nil {
			return nil, err
		}
		tasks = append(tasks, d)
	}
	return tasks, nil
}

func parseMs(text string) (time.Duration, error) {
	ms, err := strconv.Atoi(text)
	return time.Duration(ms) * time.Millisecond, err
}

func formatTasks(tasks []time.Duration) string {
	words := make([]string, 0, len(tasks))
	for _, d := range tasks {
		words = append(words, strconv.FormatInt(d.Milliseconds(), 10))
	}
	return orDash(strings.Join(words, ","))
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func fromDash(text string) string {
	if text == "-" {
		return ""
	}
	return text
}
