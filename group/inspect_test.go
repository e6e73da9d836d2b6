package group

import (
	"fmt"
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
)

// TestStatus requests the status of a data centre with more backend servers and services than an
// answer holds: the totals must be complete.
func TestStatus(t *testing.T) {
	const servers, services = msgs.MaxStatusBackends + 20, msgs.MaxStatusServices + 3
	tests := map[string]struct {
		ask   func(f *fixture) string
		total int
		shown int
	}{
		"primary": {ask: (*fixture).primary, total: servers, shown: msgs.MaxStatusBackends},
		"backup":  {ask: func(f *fixture) string { name, _ := f.backups(); return name }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			b := model.BackendServer{Address: "10.0.0.2:9001", DataCentre: "dc", Slots: 1, Connections: 9, Lease: time.Hour}
			for i := range services {
				b.Services = append(b.Services, fmt.Sprintf("s%d", i))
			}
			for i := range servers - 1 { // besides the one of the fixture
				b.Name = fmt.Sprintf("a%d", i)
				f.members[f.primary()].Handle(msgs.BackendAnnounce{Server: b})
			}
			to := tt.ask(f)
			f.members[to].Handle(msgs.StatusAsk{Request: 7, Host: "h1"})
			done := f.queue[len(f.queue)-1].body.(msgs.StatusDone)
			if !done.Known || done.Host != to || done.Request != 7 || (done.Primary == to) != (tt.total > 0) {
				t.Errorf("got %+v", done)
			}
			if done.Total != tt.total || len(done.BackendServers) != tt.shown {
				t.Fatalf("%d of %d servers, want %d of %d", len(done.BackendServers), done.Total, tt.shown, tt.total)
			}
			for _, b := range done.BackendServers {
				if len(b.Services)+b.MoreServices != services || b.MoreServices != 3 {
					t.Fatalf("%s has %d services and %d more", b.Name, len(b.Services), b.MoreServices)
				}
			}
		})
	}
}
