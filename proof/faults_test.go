package proof

import (
	"fmt"
	"regexp"
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/claim"
)

// TestFaults submits keyed and other jobs all over the system, lets a fault
// come while they run, submits more, and checks that each keyed job has one
// answer and no task has started twice.
func TestFaults(t *testing.T) {
	tests := map[string]struct {
		relays bool
		fault  func(s *System) (heal func())
	}{
		"kill of an entry host": {fault: killOther},
		"kill of a primary":     {fault: killPrimary},
		"kill of two hosts in turn": {fault: func(s *System) func() {
			killPrimary(s)()
			return killPrimary(s)
		}},
		"freeze of a primary":             {fault: freezePrimary},
		"silent one-way cut of a primary": {relays: true, fault: cutPrimary},
		"kill of a primary while a data centre is cut": {relays: true, fault: func(s *System) func() {
			heal := cutDataCentre(s)
			revive := killPrimary(s)
			return func() { revive(); heal() } // an edit needs two of three lists hosts
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { playFault(t, tt.relays, tt.fault) })
	}
}

// TestCutBetweenDataCentres plays a cut in the same way.
func TestCutBetweenDataCentres(t *testing.T) {
	playFault(t, true, cutDataCentre)
}

// TestShortCuts cuts a data centre off so briefly that most hosts which hand jobs
// over don't miss the others' signs of life.
func TestShortCuts(t *testing.T) {
	const (
		cuts    = 6
		cutTime = 300 * time.Millisecond
		calm    = 500 * time.Millisecond // between two cuts
	)
	s := start(t, systemOptions{relays: true})
	var keyed []*run
	for i := range cuts {
		s.Relays.Cut(s.t, func(from, to string) bool { return away("jinju", from) != away("jinju", to) })
		keyed = append(keyed, s.load(fmt.Sprintf("round%d-", i), 60, true)...)
		<-time.After(cutTime)
		s.Relays.Heal(s.t)
		<-time.After(calm)
	}
	s.finish(keyed)
	s.checkSameAgain(keyed)
}

func playFault(t *testing.T, relays bool, fault func(s *System) (heal func())) {
	s := start(t, systemOptions{relays: relays})
	keyed := s.load("keyed", 27, true)
	plain := s.load("plain", 9, false)
	s.awaitStarts(20)
	heal := fault(s)
	later := s.load("later", 9, true)
	servesAll(s)
	heal()
	keyed = append(keyed, later...)
	s.finish(keyed)
	s.finish(plain)
	s.checkSameAgain(keyed)
	servesAll(s)
}

func killOther(s *System) (heal func()) {
	h := s.other("changwon")
	h.Kill()
	return func() { s.revive(h) }
}

func killPrimary(s *System) (heal func()) {
	h := s.primary("gimhae")
	h.Kill()
	return func() { s.revive(h) }
}

func freezePrimary(s *System) (heal func()) {
	frozen := s.primary("jinju")
	frozen.Freeze()
	s.until("jinju has another primary", func() bool { return s.primary("jinju") != frozen })
	return frozen.Thaw
}

// cutDataCentre cuts jinju off until its hosts and the others have noticed.
func cutDataCentre(s *System) (heal func()) {
	s.Relays.Cut(s.t, func(from, to string) bool { return away("jinju", from) != away("jinju", to) })
	s.until("both sides have noticed", func() bool {
		return !s.reaches("jinju-1", "gimhae-1") && !s.reaches("gimhae-1", "jinju-1")
	})
	return func() {
		version := s.putUntil(s.host("changwon-2"), edit{List: "plans", Base: s.version(s.Hosts[0]), ID: "cut", Text: plansWith(7)})
		s.Relays.Heal(s.t)
		s.awaitVersion(version, s.Hosts...)
	}
}

// cutPrimary lets a primary hear everything and be heard by nobody, until the
// others have chosen another one.
func cutPrimary(s *System) (heal func()) {
	cut := s.primary("changwon")
	s.Relays.Cut(s.t, func(from, _ string) bool { return from == cut.Name })
	s.until("changwon has another primary", func() bool { return s.primary("changwon") != cut })
	return func() { s.Relays.Heal(s.t) }
}

// lostHost matches the reason of a home that waits for a host of jinju in vain.
var lostHost = regexp.MustCompile(`^the entry host jinju-\d can't be reached$`)

// TestLossOfDataCentre kills all hosts of a data centre, and with them what
// they knew of its jobs. The others serve on, and after the restart no job of
// before starts again.
func TestLossOfDataCentre(t *testing.T) {
	s := start(t, systemOptions{})
	runs := s.load("keyed", 27, true)
	s.awaitStarts(20)
	s.killAll("jinju")
	for _, dc := range []string{"changwon", "gimhae"} {
		s.until(dc+" serves", func() bool { return s.serves(dc) })
	}
	s.restartAll("jinju")
	for i, r := range runs {
		a := s.client().submit(s.Hosts[(i+4)%len(s.Hosts)], r.Job)
		s.checkNotRun(r, a)
		forgotten := claim.Home(dataCentres, r.Job.Customer, r.Job.Key) == "jinju"
		// Its home may have handed its tasks to a host there, and then says so.
		handed := lostHost.MatchString(a.Refusal.GetReason())
		if (forgotten || handed) != (a.Refusal.GetCode() == "OutcomeUnknown") {
			t.Errorf("job %s, forgotten %v, handed over %v: %+v", r.Job.Key, forgotten, handed, a)
		}
	}
	s.checkStarts()
}
