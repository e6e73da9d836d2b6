package proof

import (
	"fmt"
	"testing"

	"dogwoodrock.example/dogwoodrock/wire"
)

// TestOperatorsRacing sends concurrent edits on the same version to all hosts. Exactly one may be
// accepted, and a repeated edit must get the same response from another host.
func TestOperatorsRacing(t *testing.T) {
	s := startSystem(t, systemOptions{})
	text, err := s.client().get(s.Hosts[0], "plans")
	if err != nil {
		t.Fatal(err)
	}
	type result struct {
		edit    edit
		version uint64
		refusal *wire.Refusal
		err     error
	}
	put := func(i int, e edit) result {
		r := result{edit: e}
		r.version, r.refusal, r.err = s.client().put(s.Hosts[i%len(s.Hosts)], e)
		return r
	}
	results := make(chan result, len(s.Hosts))
	for i := range s.Hosts {
		go func() {
			results <- put(i, edit{List: "plans", Base: text.Version, ID: fmt.Sprintf("race-%d", i), Text: plansWith(10 + i)})
		}()
	}
	accepted := 0
	for i := range s.Hosts {
		first := <-results
		if first.err != nil {
			t.Errorf("edit %s: %v", first.edit.ID, first.err)
			continue
		}
		if first.refusal == nil {
			accepted++
			s.awaitVersion(first.version, s.Hosts...)
		} else if first.refusal.Code != "Conflict" {
			t.Errorf("edit %s: %v", first.edit.ID, first.refusal)
		}
		repeated := put(i+1, first.edit)
		if repeated.version != first.version || repeated.refusal.GetCode() != first.refusal.GetCode() {
			t.Errorf("edit %s: first %+v, then %+v", first.edit.ID, first, repeated)
		}
	}
	if accepted != 1 {
		t.Errorf("%d edits were accepted, want 1", accepted)
	}
}

// TestLostDisk erases the disk of one lists host and, right after that host has recovered, kills another
// lists host. No accepted version may be lost.
func TestLostDisk(t *testing.T) {
	s := startSystem(t, systemOptions{})
	version := s.version(s.Hosts[0])
	for i := range 20 {
		version = s.putUntilAccepted(s.Hosts[i%len(s.Hosts)], edit{
			List: "plans", Base: version, ID: fmt.Sprintf("edit-%d", i), Text: plansWith(10 + i),
		})
	}
	erased := s.host("changwon-1")
	erased.Kill()
	erased.EraseDisk(t)
	s.restart(erased)
	s.awaitVersion(version, erased)
	s.host("gimhae-1").Kill()
	next := s.putUntilAccepted(s.host("jinju-2"), edit{List: "plans", Base: version, ID: "after", Text: plansWith(100)})
	s.awaitVersion(next, erased, s.host("jinju-1"), s.host("jinju-3"))
	if text, err := s.client().get(erased, "plans"); err != nil || text.Text != plansWith(100) || text.Version != next {
		t.Errorf("got %+v, %v", text, err)
	}
	if next <= version {
		t.Errorf("version %d after %d", next, version)
	}
}

// version returns the version of the lists that is active on a host.
func (s *System) version(h *Host) uint64 {
	s.t.Helper()
	status, err := s.client().status(h)
	if err != nil {
		s.t.Fatal(err)
	}
	return status.ListsVersion
}
