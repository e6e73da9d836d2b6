package group

import (
	"slices"
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/msgs"
)

// TestHostLeaves stops a host. The stop counts as planned only if this incarnation announced it and
// none of its jobs failed.
func TestHostLeaves(t *testing.T) {
	tests := map[string]struct {
		announces bool
		earlier   bool // the announcement is from another incarnation
		running   bool // a job of the host is running
		primary   bool // the host is the primary
		planned   bool
	}{
		"not announced":                   {},
		"stop announced":                  {announces: true, planned: true},
		"announced by the primary":        {announces: true, primary: true, planned: true},
		"announced by an earlier process": {announces: true, earlier: true},
		"announced with a running job":    {announces: true, running: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.holdGrants = true
			_, host := f.backups()
			if tt.primary {
				host = f.primary()
			}
			if tt.running {
				f.ask(host, "j1", f.session(host), "k")
				f.run(renewEvery)
			}
			if tt.announces {
				m := msgs.HostLeave{Host: host, Incarnation: f.hosts[host].incarnation}
				if tt.earlier {
					m.Incarnation++
				}
				for _, to := range memberNames {
					f.queue = append(f.queue, message{from: host, to: to, body: m})
				}
				f.deliver()
			}
			f.kill(host)
			f.run(8 * time.Second)
			left, expelled := []string{host}, []string(nil)
			if !tt.planned {
				left, expelled = expelled, left
			}
			if !slices.Equal(f.left, left) || !slices.Equal(f.expelled, expelled) {
				t.Errorf("left %v, expelled %v", f.left, f.expelled)
			}
		})
	}
}
