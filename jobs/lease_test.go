package jobs

import (
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/msgs"
)

// TestRenew counts the renewals that follow a script, at two hosts of the data
// centre.
func TestRenew(t *testing.T) {
	const beat = 100 * time.Millisecond
	lease := leaseOf(1, 1)
	tests := map[string]struct {
		script []any
		want   int
	}{
		"all hosts are asked without a primary":          {script: []any{beat, beat}, want: 4},
		"the primary alone once it has answered":         {script: []any{beat, lease, beat, lease, beat}, want: 4},
		"all hosts soon when the primary doesn't answer": {script: []any{beat, lease, beat, beat / 2}, want: 5},
		"all hosts until one answers":                    {script: []any{beat, lease, beat, beat / 2, beat / 2, beat / 2, beat}, want: 9},
		"all hosts once the lease has ended":             {script: []any{beat, lease, 2 * leaseTime, beat, beat}, want: 7},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			for _, step := range tt.script {
				w.do(step)
			}
			if got := len(sentOf[msgs.Renew](w)); got != tt.want {
				t.Errorf("sent %d renewals, want %d", got, tt.want)
			}
		})
	}
}

// TestLeaseOfFormerProcess has the answer to a renewal of the process before come
// to this one, which has begun later and so has sent no renewal of that time.
func TestLeaseOfFormerProcess(t *testing.T) {
	const beat = 100 * time.Millisecond
	late := leaseOf(1, 1)
	late.SentAt = time.Hour
	gone := expelled
	gone.SentAt = time.Hour
	tests := map[string]msgs.Lease{"a lease": late, "an expulsion": gone}
	for name, m := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			for _, step := range []any{beat, leaseOf(1, 1), m, beat} {
				w.do(step)
			}
			renewals := sentOf[msgs.Renew](w)
			first, last := renewals[0], renewals[len(renewals)-1]
			if last.Incarnation != first.Incarnation {
				t.Errorf("it began anew, as process %d after %d", last.Incarnation, first.Incarnation)
			}
			lease := leaseOf(1, 2)
			lease.SentAt = last.SentAt
			w.do(lease)
			w.do(beat)
			renewals = sentOf[msgs.Renew](w)
			if last = renewals[len(renewals)-1]; last.View != 2 {
				t.Errorf("the lease that it was given after that doesn't count: it renews in view %d, want 2", last.View)
			}
		})
	}
}
