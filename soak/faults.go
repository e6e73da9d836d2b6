package soak

import (
	"context"
	"fmt"
	"syscall"
	"time"
)

const (
	maxFaultInterval = 700 * time.Millisecond // between the starts of two faults
	maxFaultTime     = 4 * time.Second        // duration of one fault
	wipeInterval     = 10 * time.Second       // between disk losses: a host needs the others to recover
)

// injectFaults starts overlapping faults for the duration of the run, waits until all have ended and
// returns their kinds, hosts and durations. Seeds stand for sequences of faults, so the order of the
// random draws must not change.
func (s *System) injectFaults(ctx context.Context) []string {
	var names []string
	faulty := map[*host]bool{}
	ended := make(chan *host, 64)
	open := 0
	lastWipe := time.Now()
	end := time.Now().Add(s.Duration)
	for time.Now().Before(end) || open > 0 {
		select {
		case h := <-ended:
			open--
			delete(faulty, h)
			continue
		case <-ctx.Done():
			return names
		case <-time.After(time.Duration(s.rng.Int64N(int64(maxFaultInterval)))):
		}
		h := s.hosts[s.rng.IntN(len(s.hosts))]
		if time.Now().After(end) || faulty[h] || (h.core && s.coreFaulty(faulty)) {
			continue
		}
		kind := s.rng.IntN(len(faultNames))
		if s.Planned {
			kind = firstPlannedKind + s.rng.IntN(2)
		}
		wipe := kind == 0 && h.core && time.Since(lastWipe) > wipeInterval
		if wipe {
			lastWipe = time.Now()
		}
		duration := time.Duration(s.rng.Int64N(int64(maxFaultTime)))
		relay := s.backendRelays[s.rng.IntN(len(s.backendRelays))]
		mode := ModeDelay + RelayMode(s.rng.IntN(4))
		names = append(names, fmt.Sprintf("%s %s %v", faultNames[kind], h.name, duration.Round(time.Millisecond)))
		faulty[h] = true
		open++
		go func() {
			s.journal.write("begin %s %s %v, worker relay %s, mode %d, wipe %v", faultNames[kind], h.name, duration, relay.target, mode, wipe)
			s.inject(kind, h, relay, mode, duration, wipe)
			s.journal.write("end %s %s", faultNames[kind], h.name)
			ended <- h
		}()
	}
	return names
}

// coreFaulty reports whether a core host has a fault. The system tolerates the failure of one core host at
// a time.
func (s *System) coreFaulty(faulty map[*host]bool) bool {
	for h := range faulty {
		if h.core {
			return true
		}
	}
	return false
}

// firstPlannedKind is the index in faultNames of the first of two kinds that are planned work.
const firstPlannedKind = 6

// faultNames are the kinds of faults. A kind that is listed twice is twice as frequent.
var faultNames = []string{"kill", "kill", "pause", "relay", "worker-relay", "pause", "term", "hup", "full", "torn"}

// inject starts one fault, waits for its duration and ends it.
func (s *System) inject(kind int, h *host, relay *Relay, mode RelayMode, duration time.Duration, wipe bool) {
	switch faultNames[kind] {
	case "kill":
		h.stop(false)
		time.Sleep(duration)
		s.reportError(h.restart(wipe))
	case "pause":
		h.signal(syscall.SIGSTOP)
		h.paused = true
		time.Sleep(duration)
		h.signal(syscall.SIGCONT)
		h.paused = false
	case "relay":
		h.relay.SetMode(mode)
		time.Sleep(duration)
		h.relay.SetMode(ModeForward)
	case "worker-relay":
		relay.SetMode(mode)
		time.Sleep(duration)
		relay.SetMode(ModeForward)
	case "term":
		if !h.stop(true) {
			s.fail("%s didn't end within its grace", h.name)
		}
		s.reportError(h.restart(false))
		time.Sleep(2 * time.Second) // before the next fault on this host
	case "hup":
		h.signal(syscall.SIGHUP)
	case "full":
		s.reportError(h.failWrites(duration))
	case "torn":
		h.stop(false)
		s.reportError(h.appendTornWrite())
		s.reportError(h.restart(false))
	}
}

// reportError reports an error of the test itself as a failure.
func (s *System) reportError(err error) {
	if err != nil {
		s.fail("the soak itself: %v", err)
	}
}
