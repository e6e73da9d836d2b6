package quorum

import "testing"

// TestReplacementQuorums checks for all sets of hosts that every majority of the old and of the new
// members contains a host that holds a committed replacement.
func TestReplacementQuorums(t *testing.T) {
	for name, n := range map[string]int{"three": 3, "five": 5, "seven": 7} {
		t.Run(name, func(t *testing.T) {
			e := Entry{Op: 1, Slot: 1, Replace: "new"}
			before := group{members: testConfig(n).Members}
			during := group{members: before.members, pending: &e}
			after := before
			after.applyReplacement(e)
			has := func(set int) func(name string) bool {
				return func(name string) bool {
					slot := before.memberSlot(name)
					return set>>(slot+1)&1 == 1 // bit 0 is the new host
				}
			}
			for holders := range 1 << (n + 1) {
				oldQuorum, newQuorum := before.hasQuorum(has(holders)), after.hasQuorum(has(holders))
				if during.hasQuorum(has(holders)) != (oldQuorum && newQuorum) {
					t.Errorf("hosts %b: quorum during the replacement differs from a quorum of both memberships", holders)
				}
				if !during.canCommit(e.Op, has(holders)) {
					continue
				}
				for set := range 1 << (n + 1) {
					if (before.hasQuorum(has(set)) || after.hasQuorum(has(set))) && set&holders == 0 {
						t.Fatalf("replacement committed by hosts %b is unknown to the majority %b", holders, set)
					}
				}
			}
		})
	}
}
