package proof

import (
	"fmt"
	"regexp"
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/claim"
)

// TestFaults injects a fault while jobs with and without keys run in all data centres, submits more
// jobs, and checks that each keyed job has one answer and no task is started twice.
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
		"pause of a primary":             {fault: pausePrimary},
		"one-way partition of a primary": {relays: true, fault: partitionPrimary},
		"kill of a primary while a data centre is partitioned": {relays: true, fault: func(s *System) func() {
			heal := partitionDataCentre(s)
			restart := killPrimary(s)
			// heal edits a list, which needs two of the three lists hosts, so the killed one is restarted first.
			return func() { restart(); heal() }
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { runFault(t, tt.relays, tt.fault) })
	}
}

// TestDataCentrePartition makes the checks of TestFaults while one data centre is partitioned from the
// others.
func TestDataCentrePartition(t *testing.T) {
	runFault(t, true, partitionDataCentre)
}

// TestBriefPartitions partitions a data centre so briefly that most hosts that hand over jobs don't
// notice missing heartbeats. Each keyed job must have one answer and no task may be started twice.
func TestBriefPartitions(t *testing.T) {
	const (
		partitions    = 6
		partitionTime = 300 * time.Millisecond
		healedTime    = 500 * time.Millisecond // between two partitions
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

// runFault injects a fault while jobs run, submits more, and heals the fault once all data centres
// serve.
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

// partitionDataCentre partitions jinju from the other data centres and waits until both sides have
// noticed. heal edits a list before it ends the partition, so that the hosts of jinju must catch up with a
// version that they missed.
func partitionDataCentre(s *System) (heal func()) {
	s.Relays.Partition(s.t, func(from, to string) bool { return inDataCentre("jinju", from) != inDataCentre("jinju", to) })
	s.waitUntil("both sides notice the partition", func() bool {
		return !s.canReach("jinju-1", "gimhae-1") && !s.canReach("gimhae-1", "jinju-1")
	})
	return func() {
		version := s.putUntilAccepted(s.host("changwon-2"), edit{List: "plans", Base: s.version(s.Hosts[0]), ID: "cut", Text: plansWith(7)})
		s.Relays.Heal(s.t)
		s.awaitVersion(version, s.Hosts...)
	}
}

// partitionPrimary blocks all messages from a primary, which still receives those of the others, and
// waits until the others have elected another primary.
func partitionPrimary(s *System) (heal func()) {
	isolated := s.primary("changwon")
	s.Relays.Partition(s.t, func(from, _ string) bool { return from == isolated.Name })
	s.waitUntil("changwon has another primary", func() bool { return s.primary("changwon") != isolated })
	return func() { s.Relays.Heal(s.t) }
}

// unreachableHost matches the reason of a refusal by a home data centre that waited for a host of jinju,
// to which it had handed the tasks of the job, and can't reach it.
var unreachableHost = regexp.MustCompile(`^the entry host jinju-\d can't be reached$`)

// TestLossOfDataCentre kills all hosts of a data centre, so that its claims are lost. The others must
// continue to serve, and after the restart no earlier job may be started again.
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
		// Its home may have handed its tasks to a host of jinju, and then refuses with that reason.
		handedOver := unreachableHost.MatchString(a.Refusal.GetReason())
		if (homeLost || handedOver) != (a.Refusal.GetCode() == "OutcomeUnknown") {
			t.Errorf("job %s, claim lost %v, handed over %v: %+v", r.Job.Key, homeLost, handedOver, a)
		}
	}
	s.checkStarts()
}
