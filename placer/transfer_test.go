package placer

import (
	"fmt"
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
)

// transfer is a placer that sends its table to many hosts, which confirm what they receive.
type transfer struct {
	*fixture
	delay    time.Duration // until a host confirms, 0 for never
	lose     int           // transfers of each host that are lost first
	sent     int           // changes
	has      map[string]uint64
	lost     map[string]int
	onTheWay []arrival
}

type arrival struct {
	at time.Time
	to string
	m  msgs.Pulsed
}

func newTransfer(servers, lose int, delay time.Duration) *transfer {
	x := &transfer{fixture: newFixture(), delay: delay, lose: lose, has: map[string]uint64{}, lost: map[string]int{}}
	for i := range servers {
		x.setServer(model.Server{Name: fmt.Sprintf("s%03d", i), DataCentre: "dc", Service: "svc", CPU: 100, Born: 1}, x.now)
	}
	x.Send = func(to, _ string, body any) error {
		m, ok := body.(msgs.Pulsed)
		if !ok || m.Servers == 0 {
			return nil
		}
		x.sent += len(m.Table)
		if len(m.Table) > 0 && x.lost[to] < x.lose {
			x.lost[to]++
			return nil
		}
		if x.delay > 0 {
			x.onTheWay = append(x.onTheWay, arrival{at: x.now.Add(x.delay), to: to, m: m})
		}
		return nil
	}
	return x
}

func (x *transfer) pulse(host string) {
	x.handlePulse(msgs.Pulse{Host: host, DataCentre: "dc", Incarnation: 1, Epoch: testEpoch, Servers: x.has[host]}, x.now)
}

// deliver has the hosts apply what has arrived, as an entry host does.
func (x *transfer) deliver() {
	arrived := x.onTheWay
	x.onTheWay = nil
	for _, a := range arrived {
		switch {
		case x.now.Before(a.at):
			x.onTheWay = append(x.onTheWay, a)
		case a.m.Since <= x.has[a.to] && a.m.Servers > x.has[a.to]:
			x.has[a.to] = a.m.Servers
			x.pulse(a.to)
		}
	}
}

// run has each host send a pulse each 200 ms.
func (x *transfer) run(span time.Duration, hosts int) {
	for end, n := x.now.Add(span), 0; x.now.Before(end); n++ {
		x.now = x.now.Add(tickInterval)
		x.deliver()
		for i := range hosts {
			if (n+i)%10 == 0 {
				x.pulse(fmt.Sprintf("h%02d", i))
			}
		}
		x.replicateTable(x.now)
		x.prune(x.now)
	}
}

// TestTableTransfer has all hosts of a large data centre start anew, as after a loss of power, and the
// placer send them its table. Sent anew with each pulse before it is confirmed, the table fills the
// placer's link for good, and the polls of its servers time out behind it.
func TestTableTransfer(t *testing.T) {
	const hosts, servers = 60, 600
	tests := map[string]struct {
		delay time.Duration
		lose  int
		span  time.Duration
		most  int // changes sent in the span
		have  int // hosts with the whole table in the end
	}{
		"no host confirms":                   {span: time.Second, most: 3 * maxChangesInFlight},
		"no host confirms for long":          {span: 10 * time.Second, most: 10 * maxChangesInFlight},
		"each confirms after 50 ms":          {delay: 50 * time.Millisecond, span: 3 * time.Second, most: hosts * servers, have: hosts},
		"each confirms after 300 ms":         {delay: 300 * time.Millisecond, span: 5 * time.Second, most: hosts * servers, have: hosts},
		"the first transfer to each is lost": {delay: 50 * time.Millisecond, lose: 1, span: 10 * time.Second, most: 2 * hosts * servers, have: hosts},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			x := newTransfer(servers, tt.lose, tt.delay)
			x.run(tt.span, hosts)
			have := 0
			for _, version := range x.has {
				if version == x.tableVersion {
					have++
				}
			}
			if x.sent > tt.most || have != tt.have {
				t.Errorf("%d changes sent in %v and %d hosts have the table, want at most %d and %d", x.sent, tt.span, have, tt.most, tt.have)
			}
		})
	}
}
