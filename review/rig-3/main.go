// Command rig3 plays the scripts of the third review against the daemon. It exits with 1 if the rule was broken, 0 if it
// held, and 2 if the case couldn't run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// scenario plays a case and returns what breaks the rule, empty if it held.
type scenario func(s *system, w *workers, trouble bool) (string, error)

type kase struct {
	play    scenario
	late    lateOrder
	relayed bool // relays stand between the machines
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(runCase(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func runCase(name, folder string, trouble bool) int {
	c, ok := cases()[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return 2
	}
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	rec.printf("case %s, trouble %v", name, trouble)
	sys, err := newSystem(rec, c.relayed)
	if sys != nil {
		defer sys.stop()
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	type result struct {
		broken string
		err    error
	}
	done := make(chan result, 1)
	if err == nil {
		go func() {
			broken, err := play(sys, c, trouble)
			done <- result{broken, err}
		}()
		select {
		case r := <-done:
			err = r.err
			if err == nil && r.broken != "" {
				rec.printf("RULE BROKEN: %s", r.broken)
				return 1
			}
		case <-signals:
			err = errors.New("interrupted")
		case <-time.After(110 * time.Second):
			err = errors.New("the case took too long")
		}
	}
	if err != nil {
		rec.printf("NOT RUN: %v", err)
		return 2
	}
	rec.printf("the rule held")
	return 0
}

// play starts workers, puts a configuration and plays the case.
func play(sys *system, c kase, trouble bool) (string, error) {
	w := newWorkers(sys, c.late)
	defer w.stop()
	for z, zone := range zones {
		for n := range 3 {
			if _, err := w.add(fmt.Sprintf("i-%s-%d", zone, n+1), zone, sys.ip(z, 101+n), 16000, 65536); err != nil {
				return "", err
			}
		}
	}
	if err := sys.putConfig(config(7, serviceName)); err != nil {
		return "", err
	}
	var fronts []*machine
	for _, zone := range zones {
		fronts = append(fronts, sys.others(zone)...)
	}
	if err := sys.awaitReady(20*time.Second, fronts...); err != nil {
		return "", err
	}
	time.Sleep(6 * time.Second) // all is calm for longer than contact_ms; new servers are in use
	return c.play(sys, w, trouble)
}

// zonePlacer returns the machine that takes the heartbeats of a zone's workers.
func (f *workers) zonePlacer(zone string) *machine {
	for range 100 {
		for _, w := range f.list {
			if w.zone == zone {
				if m := f.sys.byIP(w.placer()); m != nil && m.class == "front" {
					return m
				}
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}
