package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"
)

// Line is one log line of a host, with the fields that concern jobs.
type Line struct {
	Time          time.Time
	Host          string
	Event         int
	Name          string
	Job           string
	Task          string
	Run           int
	BackendServer string
	Placer        string
	Epoch         uint64
	Change        string
	Outcome       string
	Reason        string
	TookMs        int64
	WaitMs        int64
	Waiting       int
	Servers       int
	LeftOut       int64
}

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// Read parses a log. It skips any prefix before the first brace of a line. Lines without an event
// are counted in ignored.
func Read(r io.Reader) (lines []Line, ignored int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 1<<16), maxLineBytes)
	for s.Scan() {
		text := s.Bytes()
		start := bytes.IndexByte(text, '{')
		var l Line
		if start < 0 || json.Unmarshal(text[start:], &l) != nil || l.Event == 0 {
			ignored++
			continue
		}
		lines = append(lines, l)
	}
	return lines, ignored, s.Err()
}

// String formats the line for operators, without empty fields.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %d %s", l.Time.Format("15:04:05.000"), l.Host, l.Event, l.Name)
	for _, f := range []struct{ name, value string }{
		{"Change", l.Change},
		{"Outcome", l.Outcome},
		{"Task", l.Task},
		{"BackendServer", l.BackendServer},
		{"Placer", l.Placer},
		{"Reason", l.Reason},
	} {
		if f.value != "" {
			fmt.Fprintf(&b, " %s=%q", f.name, f.value)
		}
	}
	for _, f := range []struct {
		name  string
		value int64
	}{
		{"Run", int64(l.Run)},
		{"Epoch", int64(l.Epoch)},
		{"TookMs", l.TookMs},
		{"WaitMs", l.WaitMs},
		{"Waiting", int64(l.Waiting)},
		{"Servers", int64(l.Servers)},
		{"LeftOut", l.LeftOut},
	} {
		if f.value != 0 {
			fmt.Fprintf(&b, " %s=%d", f.name, f.value)
		}
	}
	return b.String()
}
