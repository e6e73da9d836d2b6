// Command rig plays one case of the review: it starts the daemons of a small deployment as separate
// processes on loopback addresses, with stand-ins for clients, workers and the operator.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// play is one run of a case.
type play struct {
	trouble string // value of TROUBLE; "0" leaves the disruptions out
	started time.Time
	mu      sync.Mutex
	record  *os.File
	cluster *cluster
	broken  []string
}

// note writes a line to the record.
func (p *play) note(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, _ = fmt.Fprintf(p.record, "%8.3f  %s\n", time.Since(p.started).Seconds(), fmt.Sprintf(format, args...))
}

// breaks records that the rule was broken.
func (p *play) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	p.note("BROKEN: %s", text)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.broken = append(p.broken, text)
}

// fail ends a play that can't run.
func (p *play) fail(format string, args ...any) { panic(notRun(fmt.Sprintf(format, args...))) }

type notRun string

// until waits until f holds, and reports whether it did within the limit.
func until(limit time.Duration, f func() bool) bool {
	for end := time.Now().Add(limit); ; time.Sleep(50 * time.Millisecond) {
		if f() {
			return true
		}
		if time.Now().After(end) {
			return false
		}
	}
}

var cases = map[string]func(p *play){
	"lost-config": lostConfig,
	"drain":       drain,
	"first-start": firstStart,
	"late-start":  lateStart,
}

func main() { os.Exit(run()) }

// run plays the case that the first argument names; the second is the folder of the record.
func run() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		return exitNotRun
	}
	record, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = record.Close() }()
	p := &play{trouble: os.Getenv("TROUBLE"), started: time.Now(), record: record}
	p.cluster = newCluster(p)
	defer p.cluster.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		p.cluster.close()
		os.Exit(exitNotRun)
	}()
	defer func() {
		if v := recover(); v != nil {
			reason, ok := v.(notRun)
			if !ok {
				panic(v)
			}
			p.note("NOT RUN: %s", string(reason))
			fmt.Println("not run:", reason)
			code = exitNotRun
		}
	}()
	cases[os.Args[1]](p)
	if len(p.broken) > 0 {
		fmt.Printf("broken (%d): %s\n", len(p.broken), p.broken[0])
		return exitBroken
	}
	p.note("held")
	fmt.Println("held")
	return exitHeld
}
