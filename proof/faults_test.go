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
		"kill of an entry host": {fault: killNonPrimary},
		"kill of a primary":     {fault: killPrimary},
		"kill of two hosts in turn": {fault: func(s *System) func() {
			killPrimary(s)()
			return killPrimary(s)
		}},
		"freeze of a primary":             {fault: pausePrimary},
		"silent one-way cut of a primary": {relays: true, fault: partitionPrimary},
		"kill of a primary while a data centre is cut": {relays: true, fault: func(s *System) func() {
			heal := partitionDataCentre(s)
			revive := killPrimary(s)
			return func() { revive(); heal() } // an edit needs two of three lists hosts
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { runFault(t, tt.relays, tt.fault) })
	}
}

// TestCutBetweenDataCentres plays a cut in the same way.
func TestDataCentrePartition(t *testing.T) {
	runFault(t, true, partitionDataCentre)
}

// TestShortCuts cuts a data centre off so briefly that most hosts which hand jobs
// over don't miss the others' signs of life.
func TestBriefPartitions(t *testing.T) {
	const (
		partitions    = 6
		partitionTime = 300 * time.Millisecond
		healedTime    = 500 * time.Millisecond // between two cuts
	)
	s := startSystem(t, systemOptions{relays: true})
	var keyed []*jobRun
	for i := range partitions {
		s.Relays.Partition(s.t, func(from, to string) bool { return inDataCentre("jinju", from) != inDataCentre("jinju", to) })
		keyed = append(keyed, s.load(fmt.Sprintf("round%d-", i), 60, true)...)
		<-time.After(partitionTime)
		s.Relays.Heal(s.t)
		<-time.After(healedTime)
	}
	s.awaitAnswers(keyed)
	s.checkResubmissions(keyed)
}

func runFault(t *testing.T, relays bool, fault func(s *System) (heal func())) {
	s := startSystem(t, systemOptions{relays: relays})
	keyed := s.load("keyed", 27, true)
	plain := s.load("plain", 9, false)
	s.awaitStarts(20)
	heal := fault(s)
	later := s.load("later", 9, true)
	awaitAllServing(s)
	heal()
	keyed = append(keyed, later...)
	s.awaitAnswers(keyed)
	s.awaitAnswers(plain)
	s.checkResubmissions(keyed)
	awaitAllServing(s)
}

func killNonPrimary(s *System) (heal func()) {
	h := s.nonPrimary("changwon")
	h.Kill()
	return func() { s.restart(h) }
}

func killPrimary(s *System) (heal func()) {
	h := s.primary("gimhae")
	h.Kill()
	return func() { s.restart(h) }
}

func pausePrimary(s *System) (heal func()) {
	paused := s.primary("jinju")
	paused.Pause()
	s.waitUntil("jinju has another primary", func() bool { return s.primary("jinju") != paused })
	return paused.Resume
}

// cutDataCentre cuts jinju off until its hosts and the others have noticed.
func partitionDataCentre(s *System) (heal func()) {
	s.Relays.Partition(s.t, func(from, to string) bool { return inDataCentre("jinju", from) != inDataCentre("jinju", to) })
	s.waitUntil("both sides have noticed", func() bool {
		return !s.canReach("jinju-1", "gimhae-1") && !s.canReach("gimhae-1", "jinju-1")
	})
	return func() {
		version := s.putUntilAccepted(s.host("changwon-2"), edit{List: "plans", Base: s.version(s.Hosts[0]), ID: "cut", Text: plansWith(7)})
		s.Relays.Heal(s.t)
		s.awaitVersion(version, s.Hosts...)
	}
}

// cutPrimary lets a primary hear everything and be heard by nobody, until the
// others have chosen another one.
func partitionPrimary(s *System) (heal func()) {
	isolated := s.primary("changwon")
	s.Relays.Partition(s.t, func(from, _ string) bool { return from == isolated.Name })
	s.waitUntil("changwon has another primary", func() bool { return s.primary("changwon") != isolated })
	return func() { s.Relays.Heal(s.t) }
}

// lostHost matches the reason of a home that waits for a host of jinju in vain.
var unreachableHost = regexp.MustCompile(`^the entry host jinju-\d can't be reached$`)

// TestLossOfDataCentre kills all hosts of a data centre, and with them what
// they knew of its jobs. The others serve on, and after the restart no job of
// before starts again.
func TestLossOfDataCentre(t *testing.T) {
	s := startSystem(t, systemOptions{})
	runs := s.load("keyed", 27, true)
	s.awaitStarts(20)
	s.killDataCentre("jinju")
	for _, dc := range []string{"changwon", "gimhae"} {
		s.waitUntil(dc+" serves", func() bool { return s.serves(dc) })
	}
	s.restartDataCentre("jinju")
	for i, r := range runs {
		a := s.client().submit(s.Hosts[(i+4)%len(s.Hosts)], r.Job)
		s.checkNotRun(r, a)
		homeLost := claim.Home(dataCentres, r.Job.Customer, r.Job.Key) == "jinju"
		// Its home may have handed its tasks to a host there, and then says so.
		handedOver := unreachableHost.MatchString(a.Refusal.GetReason())
		if (homeLost || handedOver) != (a.Refusal.GetCode() == "OutcomeUnknown") {
			t.Errorf("job %s, forgotten %v, handed over %v: %+v", r.Job.Key, homeLost, handedOver, a)
		}
	}
	s.checkStarts()
}
