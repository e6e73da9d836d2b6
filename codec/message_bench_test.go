package codec

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/wire"
)

// BenchmarkMessage measures the conversion of the messages of one job to the wire
// type, to bytes and back.
func BenchmarkMessage(b *testing.B) {
	const job = "changwon.changwon-1.c0bb475bee94fc12"
	results := func(n int) [][]byte {
		all := make([][]byte, n)
		for i := range all {
			all[i] = []byte("cell-17-healthy")
		}
		return all
	}
	ask := func(n int) msgs.Ask {
		m := msgs.Ask{Job: job, Host: "changwon-1", Incarnation: 1 << 60, Customer: "field-crews", Key: "swap-1", Keyed: true, Count: n}
		for i := range n {
			m.Tasks = append(m.Tasks, msgs.Shape{Index: i, Service: "dispatch", Expected: 120 * time.Millisecond})
		}
		return m
	}
	learned := msgs.Learned{}
	for range 160 {
		learned.Speeds = append(learned.Speeds, msgs.LearnedSpeed{BackendServer: "mrozna-160", Service: "dispatch", Log: 0.5, Count: 900})
	}
	for range 150 {
		run := msgs.LearnedRun{Customer: "field-crews", Service: "dispatch", Log: 0.5, Count: 900, Average: 0.3, Variance: 0.8, Worst: 5 * time.Second}
		learned.Runs = append(learned.Runs, run)
	}
	bodies := map[string]any{
		"Learned":   learned,
		"Ask10":     ask(10),
		"Ask130":    ask(130),
		"Verdict":   msgs.Verdict{Job: job, Kind: msgs.VerdictClaimed},
		"Grant":     msgs.Grant{ID: 1 << 41, View: 2, Job: job, Task: 3, Host: "changwon-1", Incarnation: 1 << 60, Address: "10.1.0.9:9001", Service: "dispatch", Fence: 1 << 40},
		"Done":      msgs.Done{Grant: 1 << 41, View: 2, Result: msgs.ResultSucceeded, Ran: 120 * time.Millisecond, Host: "changwon-1"},
		"Finish10":  msgs.Finish{Job: job, Host: "changwon-1", Incarnation: 1 << 60, Answer: model.Answer{Job: job, State: model.JobComplete, Results: results(10)}},
		"Finish130": msgs.Finish{Job: job, Host: "changwon-1", Incarnation: 1 << 60, Answer: model.Answer{Job: job, State: model.JobComplete, Results: results(130)}},
		"Renew":     msgs.Renew{Host: "changwon-1", Incarnation: 1 << 60, SentAt: 1 << 60, Generation: 1 << 60, View: 2, ListsVersion: 7, Reported: true},
	}
	for name, body := range bodies {
		b.Run(name, func(b *testing.B) {
			size := 0
			b.ReportAllocs()
			for b.Loop() {
				size = roundTrip(b, body)
			}
			b.ReportMetric(float64(size), "B/message")
		})
	}
}

func roundTrip(b *testing.B, body any) int {
	e, err := ToWire("group", body)
	if err != nil {
		b.Fatal(err)
	}
	data, err := proto.Marshal(e)
	if err != nil {
		b.Fatal(err)
	}
	decoded := new(wire.Envelope)
	if err := proto.Unmarshal(data, decoded); err != nil {
		b.Fatal(err)
	}
	if _, err := FromWire(decoded); err != nil {
		b.Fatal(err)
	}
	return len(data)
}
