package proof

import (
	"fmt"
	"net/http"
	"strings"

	"dogwoodrock.example/dogwoodrock/wire"
)

const (
	defaultCustomers = `Customers:
  - Name: chime
    Plan: gold
  - Name: halny
    Plan: silver
  - Name: korona
    Plan: gold
`
	defaultPlans = `Plans:
  - Name: gold
    Services: [dispatch, entries]
    Weight: 4
    MaxRunning: 200
    MaxQueued: 20000
    StartsPerSecond: 5000
    MaxJobTasks: 130
  - Name: silver
    Services: [dispatch]
    Weight: 1
    MaxRunning: 100
    MaxQueued: 20000
    StartsPerSecond: 5000
    MaxJobTasks: 130
`
)

// edit replaces the text of a list if Base is its current version.
type edit struct {
	List string
	Base uint64
	ID   string
	Text string
}

// put sends an edit to a host and returns the new version, 0 if it was refused.
func (c Client) put(h *Host, e edit) (uint64, *wire.Refusal, error) {
	in := &wire.PutList{BaseVersion: e.Base, EditID: e.ID, Operator: "proof", Text: e.Text}
	var out wire.PutListAnswer
	refusal, err := c.do(h, http.MethodPut, "/v1/lists/"+e.List, nil, in, &out)
	if refusal == nil {
		refusal = out.Refusal
	}
	return out.Version, refusal, err
}

// get returns the text and version of a list at a host.
func (c Client) get(h *Host, list string) (*wire.ListText, error) {
	var text wire.ListText
	refusal, err := c.do(h, http.MethodGet, "/v1/lists/"+list, nil, nil, &text)
	if refusal != nil {
		err = fmt.Errorf("refused: %v", refusal)
	}
	return &text, err
}

// putUntilAccepted repeats an edit at the host until it is accepted, and returns the new version.
func (s *System) putUntilAccepted(h *Host, e edit) uint64 {
	s.t.Helper()
	var version uint64
	var last string
	defer func() {
		if version == 0 {
			s.t.Logf("last response to edit %s: %s", e.ID, last)
		}
	}()
	s.waitUntil("edit "+e.ID+" is accepted", func() bool {
		if !h.Running() {
			s.t.Fatalf("%s has exited", h.Name)
		}
		v, refusal, err := s.client().put(h, e)
		last = fmt.Sprint(refusal, err)
		if refusal == nil && err == nil {
			version = v
		}
		return version > 0
	})
	return version
}

func (s *System) putDefaultLists() {
	s.t.Helper()
	h := s.Hosts[0]
	version := s.putUntilAccepted(h, edit{List: "plans", ID: "usual-plans", Text: defaultPlans})
	version = s.putUntilAccepted(h, edit{List: "customers", Base: version, ID: "usual-customers", Text: defaultCustomers})
	s.awaitVersion(version, s.Hosts...)
}

// awaitVersion waits until that version of the lists, or a later one, is active on the hosts.
func (s *System) awaitVersion(version uint64, hosts ...*Host) {
	s.t.Helper()
	for _, h := range hosts {
		s.waitUntil(fmt.Sprintf("version %d is active on %s", version, h.Name), func() bool {
			status, err := s.client().status(h)
			return err == nil && status.ListsVersion >= version
		})
	}
}

// plansWith returns the default plans with the given weight of the first plan, so that each edit has a
// different text.
func plansWith(weight int) string {
	return strings.Replace(defaultPlans, "Weight: 4", fmt.Sprintf("Weight: %d", weight), 1)
}
