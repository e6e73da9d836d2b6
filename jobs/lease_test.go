package jobs

import (
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/msgs"
)

// TestRenew counts the renewals sent in a data centre of two hosts.
func TestRenew(t *testing.T) {
	const heartbeat = 100 * time.Millisecond
	lease := leaseOf(1, 1)
	tests := map[string]struct {
		script []any
		want   int
	}{
		"all hosts are asked without a primary":         {script: []any{heartbeat, heartbeat}, want: 4},
		"only the primary once it has answered":         {script: []any{heartbeat, lease, heartbeat, lease, heartbeat}, want: 4},
		"all hosts early if the primary doesn't answer": {script: []any{heartbeat, lease, heartbeat, heartbeat / 2}, want: 5},
		"all hosts until one answers":                   {script: []any{heartbeat, lease, heartbeat, heartbeat / 2, heartbeat / 2, heartbeat / 2, heartbeat}, want: 9},
		"all hosts once the lease has expired":          {script: []any{heartbeat, lease, 2 * leaseTime, heartbeat, heartbeat}, want: 7},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			for _, step := range tt.script {
				f.step(step)
			}
			if got := len(sentOf[msgs.Renew](f)); got != tt.want {
				t.Errorf("sent %d renewals, want %d", got, tt.want)
			}
		})
	}
}

// TestLeaseFromPreviousProcess guards against a host accepting the answer to a renewal of its
// previous process. SentAt is relative to the start of the process, so that answer has a SentAt that
// this process hasn't reached, and accepting it would make all later leases look overtaken.
func TestLeaseFromPreviousProcess(t *testing.T) {
	const heartbeat = 100 * time.Millisecond
	staleLease := leaseOf(1, 1)
	staleLease.SentAt = time.Hour
	staleExpulsion := expelled
	staleExpulsion.SentAt = time.Hour
	tests := map[string]msgs.Lease{"a lease": staleLease, "an expulsion": staleExpulsion}
	for name, m := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			for _, step := range []any{heartbeat, leaseOf(1, 1), m, heartbeat} {
				f.step(step)
			}
			renewals := sentOf[msgs.Renew](f)
			first, last := renewals[0], renewals[len(renewals)-1]
			if last.Incarnation != first.Incarnation {
				t.Errorf("it started a new incarnation, %d after %d", last.Incarnation, first.Incarnation)
			}
			lease := leaseOf(1, 2)
			lease.SentAt = last.SentAt
			f.step(lease)
			f.step(heartbeat)
			renewals = sentOf[msgs.Renew](f)
			if last = renewals[len(renewals)-1]; last.View != 2 {
				t.Errorf("the next lease was ignored: it renews in view %d, want 2", last.View)
			}
		})
	}
}
