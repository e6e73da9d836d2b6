package stand

import (
	"strconv"
	"strings"
	"time"
)

// Status is the outcome of a task call or a revocation.
type Status string

// The statuses of docs/BACKENDS.md. StatusStarted is used only in answers to revocations.
const (
	StatusDone       Status = "Done"
	StatusFailed     Status = "Failed"
	StatusNotStarted Status = "NotStarted"
	StatusStarted    Status = "Started"
)

// Call is one task call from an entry host.
type Call struct {
	Task     string
	Service  string
	Body     string
	Deadline time.Duration // time left, 0 for no deadline
	Fence    uint64
	Digest   uint64
}

// Result is the answer to a Call.
type Result struct {
	Task   string
	Digest uint64
	Status Status
	Result string
	Reason string
}

// Work is the parsed body of a task for a stand-in server.
type Work struct {
	RunTime time.Duration // on a server of speed 1
	Result  string
	Label   string // identifies the logical task across several task ids
	Fail    string // reason of the failure, empty for success
}

// ParseWork parses a body such as "ms=120 result=abc label=xyz". It ignores unknown keys; a
// malformed or negative number of milliseconds counts as 0.
func ParseWork(body string) Work {
	var w Work
	for _, word := range strings.Fields(body) {
		key, value, _ := strings.Cut(word, "=")
		switch key {
		case "ms":
			ms, _ := strconv.Atoi(value)
			w.RunTime = time.Duration(max(ms, 0)) * time.Millisecond
		case "result":
			w.Result = value
		case "label":
			w.Label = value
		case "fail":
			w.Fail = value
		}
	}
	return w
}

func refused(c Call, reason string) Result {
	return Result{Task: c.Task, Digest: c.Digest, Status: StatusNotStarted, Reason: reason}
}
