package jobs

import (
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/msgs"
)

// TestRenew counts the renewals that follow a script, at two hosts of the data
// centre.
func TestRenew(t *testing.T) {
	const heartbeat = 100 * time.Millisecond
	lease := leaseOf(1, 1)
	tests := map[string]struct {
		script []any
		want   int
	}{
		"all hosts are asked without a primary":          {script: []any{heartbeat, heartbeat}, want: 4},
		"the primary alone once it has answered":         {script: []any{heartbeat, lease, heartbeat, lease, heartbeat}, want: 4},
		"all hosts soon when the primary doesn't answer": {script: []any{heartbeat, lease, heartbeat, heartbeat / 2}, want: 5},
		"all hosts until one answers":                    {script: []any{heartbeat, lease, heartbeat, heartbeat / 2, heartbeat / 2, heartbeat / 2, heartbeat}, want: 9},
		"all hosts once the lease has ended":             {script: []any{heartbeat, lease, 2 * leaseTime, heartbeat, heartbeat}, want: 7},
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

// TestLeaseOfFormerProcess has the answer to a renewal of the process before come
// to this one, which has begun later and so has sent no renewal of that time.
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
				t.Errorf("it began anew, as process %d after %d", last.Incarnation, first.Incarnation)
			}
			lease := leaseOf(1, 2)
			lease.SentAt = last.SentAt
			f.step(lease)
			f.step(heartbeat)
			renewals = sentOf[msgs.Renew](f)
			if last = renewals[len(renewals)-1]; last.View != 2 {
				t.Errorf("the lease that it was given after that doesn't count: it renews in view %d, want 2", last.View)
			}
		})
	}
}
