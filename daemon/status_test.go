package daemon

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// statusView holds the fields of a status that the tests check.
type statusView struct {
	Groups []struct {
		Name, Primary string
		Leading       bool
	}
	DataCentres []struct {
		Name, Primary  string
		Reachable      bool
		BackendServers int
	}
	BackendServers []struct{ Name, DataCentre string }
}

// TestStatusOfAllDataCentres requests the status from the hosts of changwon while others are
// unreachable. The status must show the reachable data centres and name the unreachable ones.
func TestStatusOfAllDataCentres(t *testing.T) {
	tests := map[string]struct {
		fault          func(c *cluster)
		wait           time.Duration
		unreachable    []string
		leaderless     []string
		servers        []string
		noListsPrimary bool // the primary of the lists group is unknown
	}{
		"all reachable": {
			fault:   func(*cluster) {},
			servers: []string{"changwon-b1", "changwon-b2", "gimhae-b1", "gimhae-b2", "jinju-b1", "jinju-b2"},
		},
		"a data centre partitioned just now": {
			fault:       func(c *cluster) { c.partition(hostsOf("jinju")) },
			unreachable: []string{"jinju"},
			servers:     []string{"changwon-b1", "changwon-b2", "gimhae-b1", "gimhae-b2"},
		},
		"a data centre partitioned for a while": {
			fault:       func(c *cluster) { c.partition(hostsOf("jinju")) },
			wait:        10 * time.Second,
			unreachable: []string{"jinju"},
			servers:     []string{"changwon-b1", "changwon-b2", "gimhae-b1", "gimhae-b2"},
		},
		"this data centre partitioned": {
			fault: func(c *cluster) {
				c.partition(hostsOf("gimhae"))
				c.partition(hostsOf("jinju"))
			},
			wait:           10 * time.Second,
			unreachable:    []string{"gimhae", "jinju"},
			servers:        []string{"changwon-b1", "changwon-b2"},
			noListsPrimary: true,
		},
		"a data centre with one host, which serves alone": {
			fault:      func(c *cluster) { c.kill("gimhae-2"); c.kill("gimhae-3") },
			wait:       aloneDelay,
			leaderless: []string{"gimhae"},
			servers:    []string{"changwon-b1", "changwon-b2", "gimhae-b1", "gimhae-b2", "jinju-b1", "jinju-b2"},
		},
		"a data centre without a majority": {
			fault:      func(c *cluster) { c.kill("gimhae-2"); c.kill("gimhae-3") },
			wait:       10 * time.Second,
			leaderless: []string{"gimhae"},
			servers:    []string{"changwon-b1", "changwon-b2", "jinju-b1", "jinju-b2"},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := startWithServers(t, 100*time.Millisecond)
				tt.fault(c)
				time.Sleep(tt.wait)
				for _, host := range hostsOf("changwon") {
					var s statusView
					c.decode(t, host, "/v1/status", &s)
					if err := s.check(tt.unreachable, tt.leaderless, tt.servers); err != "" {
						t.Errorf("%s: %s", host, err)
					}
					if host == "changwon-1" && (s.Groups[1].Primary == "") != tt.noListsPrimary {
						t.Errorf("%s names %q as the primary of the lists", host, s.Groups[1].Primary)
					}
				}
			})
		})
	}
}

func (s *statusView) check(unreachable, leaderless, servers []string) string {
	var down, noPrimary, names []string
	for _, d := range s.DataCentres {
		switch {
		case !d.Reachable:
			down = append(down, d.Name)
		case d.Primary == "":
			noPrimary = append(noPrimary, d.Name)
		}
	}
	for _, b := range s.BackendServers {
		names = append(names, b.Name)
	}
	if !slices.Equal(down, unreachable) || !slices.Equal(noPrimary, leaderless) || !slices.Equal(names, servers) {
		return fmt.Sprintf("unreachable %q, without a primary %q, backend servers %q", down, noPrimary, names)
	}
	return ""
}

// partition separates hosts from all other hosts, but not from each other, the backend servers or
// the operator.
func (c *cluster) partition(hosts []string) {
	var others []string
	for name := range c.settings {
		if !slices.Contains(hosts, name) {
			others = append(others, name)
		}
	}
	c.network.Partition(hosts, others)
	c.network.Partition(others, hosts)
}
